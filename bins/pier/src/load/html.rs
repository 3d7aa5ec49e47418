//! The HTML report: one self-contained page with the summary and plots.

use std::fmt::Write;

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, GREEN, IntoDrawingArea, IntoLogRange, LineSeries, MAGENTA,
    PathElement, RED, RGBColor, SVGBackend, WHITE,
};

use crate::load::{profile, run};
use crate::{Error, Result};

const PLOT_SIZE: (u32, u32) = (900, 340);
const COLORS: [RGBColor; 5] = [BLUE, RED, GREEN, MAGENTA, BLACK];
/// The number of intervals between the points of a quantile curve.
const QUANTILE_STEPS: u32 = 200;
const MIN_PLOTTED_WAIT_MS: f64 = 0.1;
const STYLE: &str = "body{font:15px sans-serif;max-width:60em;margin:2em auto;color:#222}\
    pre{background:#f4f4f4;padding:1em;overflow:auto}svg{max-width:100%;height:auto}";

type Points = Vec<(f64, f64)>;

/// A curve in a plot.
struct Curve {
    name: String,
    points: Points,
}

/// Renders the report.
///
/// # Errors
/// [`Error::Plot`] if a plot cannot be drawn.
pub fn page(profile: &profile::Profile, result: &run::LoadResult) -> Result<String> {
    let mut page = String::new();
    page.push_str("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">");
    page.push_str("<title>Load report</title><style>");
    page.push_str(STYLE);
    page.push_str("</style></head><body><h1>Load report</h1>");
    let summary = escape(&result.summary.to_text());
    section(&mut page, "Summary", &format!("<pre>{summary}</pre>"));
    let waits = quantile_curves(result);
    section(
        &mut page,
        "Waiting time of answered requests",
        &plot(&waits, "percentile", "waiting time in ms", true)?,
    );
    section(
        &mut page,
        "Requests by second of arrival",
        &plot(&per_second_curves(result), "second", "requests", false)?,
    );
    section(
        &mut page,
        "Longest waiting time by second of arrival",
        &plot(&longest_wait_curve(result), "second", "waiting time in ms", true)?,
    );
    if !result.cell_samples.is_empty() {
        section(
            &mut page,
            "Packing and distance from shares",
            &plot(&cell_curves(result), "second", "percent", false)?,
        );
    }
    section(&mut page, "Profile", &format!("<pre>{}</pre>", escape(&redacted_profile(profile))));
    page.push_str("</body></html>\n");
    Ok(page)
}

/// Formats the profile as JSON without its API keys and operator token.
fn redacted_profile(profile: &profile::Profile) -> String {
    let mut profile = profile.clone();
    for stream in &mut profile.streams {
        stream.key = stream.key.take().map(|_| "(not shown)".to_owned());
    }
    for job in &mut profile.jobs {
        job.key = job.key.take().map(|_| "(not shown)".to_owned());
    }
    if let Some(operator) = &mut profile.operator {
        operator.token = "(not shown)".to_owned();
    }
    serde_json::to_string_pretty(&profile).unwrap_or_default()
}

fn section(page: &mut String, title: &str, content: &str) {
    write!(page, "<h2>{title}</h2>{content}").expect("writing to a string does not fail");
}

fn quantile_curves(result: &run::LoadResult) -> Vec<Curve> {
    let mut curves = Vec::new();
    for (class, times) in &result.stats.waits {
        let mut points = Vec::new();
        for step in 0..=QUANTILE_STEPS {
            let quantile = f64::from(step) / f64::from(QUANTILE_STEPS);
            points.push((quantile * 100.0, times.quantile_ms(quantile)));
        }
        points.push((99.9, times.quantile_ms(0.999)));
        points.sort_by(|left, right| left.0.total_cmp(&right.0));
        curves.push(Curve { name: class.clone(), points });
    }
    curves
}

fn per_second_curves(result: &run::LoadResult) -> Vec<Curve> {
    let names = ["sent", "answered", "not run", "unknown"];
    let mut curves: Vec<Curve> = Vec::new();
    for name in names {
        curves.push(Curve { name: name.to_owned(), points: Points::new() });
    }
    for (index, second) in result.stats.seconds.iter().enumerate() {
        let values = [second.sent, second.answered, second.not_run, second.unknown];
        for (curve, value) in curves.iter_mut().zip(values) {
            curve.points.push((to_coordinate(index), to_coordinate(value)));
        }
    }
    curves
}

fn longest_wait_curve(result: &run::LoadResult) -> Vec<Curve> {
    let mut points = Points::new();
    for (index, second) in result.stats.seconds.iter().enumerate() {
        points.push((to_coordinate(index), second.longest_wait.as_secs_f64() * 1_000.0));
    }
    vec![Curve { name: "longest".to_owned(), points }]
}

fn cell_curves(result: &run::LoadResult) -> Vec<Curve> {
    let mut packing = Points::new();
    let mut distance = Points::new();
    let mut entitlement = Points::new();
    for sample in &result.cell_samples {
        let second = to_coordinate(sample.at_ms) / 1_000.0;
        packing.push((second, sample.packing * 100.0));
        distance.push((second, sample.share_distance * 100.0));
        entitlement.push((second, sample.entitlement_distance * 100.0));
    }
    vec![
        Curve { name: "packing".to_owned(), points: packing },
        Curve { name: "distance from shares".to_owned(), points: distance },
        Curve { name: "distance from entitlements".to_owned(), points: entitlement },
    ]
}

/// Draws curves as SVG. On a logarithmic scale, values below the lower end are drawn at the lower
/// end.
fn plot(curves: &[Curve], x_label: &str, y_label: &str, is_log_scale: bool) -> Result<String> {
    let mut x_max: f64 = 1.0;
    let mut y_max: f64 = 1.0;
    for curve in curves {
        for (x, y) in &curve.points {
            x_max = x_max.max(*x);
            y_max = y_max.max(*y);
        }
    }
    let plot_error = |detail: String| Error::Plot { detail };
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|error| plot_error(error.to_string()))?;
        let mut builder = ChartBuilder::on(&area);
        builder.margin(12).x_label_area_size(40).y_label_area_size(64);
        // The linear and the logarithmic chart have different types, so a macro holds the steps
        // that they share.
        macro_rules! draw {
            ($chart:expr, $y_min:expr) => {{
                let mut chart = $chart.map_err(|error| plot_error(error.to_string()))?;
                chart
                    .configure_mesh()
                    .x_desc(x_label)
                    .y_desc(y_label)
                    .draw()
                    .map_err(|error| plot_error(error.to_string()))?;
                for (index, curve) in curves.iter().enumerate() {
                    let color = COLORS[index % COLORS.len()];
                    let points = curve.points.iter().map(|(x, y)| (*x, y.max($y_min)));
                    chart
                        .draw_series(LineSeries::new(points, &color))
                        .map_err(|error| plot_error(error.to_string()))?
                        .label(curve.name.as_str())
                        .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
                }
                chart
                    .configure_series_labels()
                    .background_style(WHITE)
                    .border_style(BLACK)
                    .draw()
                    .map_err(|error| plot_error(error.to_string()))?;
            }};
        }
        if is_log_scale {
            let y_range = (MIN_PLOTTED_WAIT_MS..y_max * 1.2).log_scale();
            draw!(builder.build_cartesian_2d(0.0..x_max, y_range), MIN_PLOTTED_WAIT_MS);
        } else {
            draw!(builder.build_cartesian_2d(0.0..x_max, 0.0..y_max * 1.1), 0.0);
        }
        area.present().map_err(|error| plot_error(error.to_string()))?;
    }
    Ok(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Converts an integer to a coordinate; values above `u32::MAX` are clamped to it.
fn to_coordinate(value: impl TryInto<u32>) -> f64 {
    f64::from(value.try_into().unwrap_or(u32::MAX))
}
