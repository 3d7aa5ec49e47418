//! Summaries of several loads side by side.

use std::collections;

use crate::load::{stats, summary};

const NAME_WIDTH: usize = 34;
const VALUE_WIDTH: usize = 14;
const PERCENT: f64 = 100.0;

/// A table with a column for each summary and a line for each measure. A measure that a summary
/// lacks is shown as `-`.
pub fn table(columns: &[(String, summary::Summary)]) -> String {
    let mut table = Table { columns, text: String::new() };
    table.line("", |_| None, true);
    table.requests();
    table.classes();
    table.deadlines();
    table.cell();
    table.work();
    table.text
}

struct Table<'a> {
    columns: &'a [(String, summary::Summary)],
    text: String,
}

impl Table<'_> {
    /// Adds a line, or the names of the columns if `is_header` is set.
    fn line(
        &mut self,
        name: &str,
        value: impl Fn(&summary::Summary) -> Option<String>,
        is_header: bool,
    ) {
        let mut line = format!("{name:<NAME_WIDTH$}");
        for (column, summary) in self.columns {
            let cell = if is_header {
                column.clone()
            } else {
                value(summary).unwrap_or_else(|| "-".into())
            };
            line.push_str(&format!(" {cell:>VALUE_WIDTH$}"));
        }
        self.text.push_str(line.trim_end());
        self.text.push('\n');
    }

    fn value(&mut self, name: &str, value: impl Fn(&summary::Summary) -> Option<String>) {
        self.line(name, value, false);
    }

    fn requests(&mut self) {
        let sum = |counts: &collections::BTreeMap<String, u64>| counts.values().sum::<u64>();
        self.value("requests", |summary| Some(summary.requests.total.to_string()));
        self.value("  answered", |summary| Some(summary.requests.answered.to_string()));
        self.value("  refused, not run", |summary| {
            Some(sum(&summary.requests.not_run).to_string())
        });
        self.value("  failed", |summary| Some(sum(&summary.requests.failed).to_string()));
        self.value("  unknown", |summary| Some(sum(&summary.requests.unknown).to_string()));
        self.value("  wrong", |summary| Some(sum(&summary.requests.wrong).to_string()));
    }

    fn classes(&mut self) {
        // Times of a load generator that fell behind say nothing of the cell.
        self.value("load behind plan: p99, ms", |summary| {
            Some(format!("{:.1}", summary.send_delay.p99_ms))
        });
        self.quantiles("wait of", |summary| &summary.wait);
        self.quantiles("wait of team", |summary| &summary.wait_by_team);
        self.quantiles("start of a job of", |summary| &summary.jobs.start_wait);
        self.quantiles("end of a job of", |summary| &summary.jobs.turnaround);
    }

    fn quantiles(
        &mut self,
        label: &str,
        times: impl Fn(&summary::Summary) -> &collections::BTreeMap<String, stats::Quantiles>,
    ) {
        for name in self.keys(&times) {
            let quantile = |select: fn(&stats::Quantiles) -> f64| {
                let (name, times) = (name.clone(), &times);
                move |summary: &summary::Summary| {
                    times(summary).get(&name).map(|found| format!("{:.1}", select(found)))
                }
            };
            let p50 = quantile(|found| found.p50_ms);
            let p99 = quantile(|found| found.p99_ms);
            let p999 = quantile(|found| found.p999_ms);
            self.value(&format!("{label} {name}: p50, ms"), p50);
            self.value("  p99", p99);
            self.value("  p99.9", p999);
        }
    }

    fn deadlines(&mut self) {
        let rate = |deadlines: Option<&stats::DeadlineCounts>| {
            deadlines.map(|found| format!("{} of {}", found.met, found.met + found.missed))
        };
        for name in self.keys(|summary| &summary.deadlines) {
            self.value(&format!("deadlines of {name}"), |summary| {
                rate(summary.deadlines.get(&name))
            });
        }
        for name in self.keys(|summary| &summary.jobs.deadlines) {
            self.value(&format!("deadlines of jobs of {name}"), |summary| {
                rate(summary.jobs.deadlines.get(&name))
            });
        }
    }

    fn cell(&mut self) {
        let percent = |value: f64| format!("{:.1}%", value * PERCENT);
        self.value("packing", |summary| summary.cell.map(|cell| percent(cell.packing)));
        self.value("full for long, s", |summary| {
            summary.cell.map(|cell| (cell.long_full_ms / 1_000).to_string())
        });
        self.value("  distance from shares", |summary| {
            summary.cell?.share_distance_long_full.map(percent)
        });
        self.value("  distance from entitlements", |summary| {
            summary.cell?.entitlement_distance_long_full.map(percent)
        });
    }

    fn work(&mut self) {
        let first = self.columns.first().map(|(_, summary)| summary.jobs.core_s);
        self.value("job tasks done", |summary| Some(summary.jobs.tasks_done.to_string()));
        self.value("work of them, core s", |summary| Some(format!("{:.0}", summary.jobs.core_s)));
        self.value("  ratio to the first column", |summary| {
            let first = first.filter(|first| *first > 0.0)?;
            Some(format!("{:.2}", summary.jobs.core_s / first))
        });
        for team in self.keys(|summary| &summary.jobs.core_s_by_team) {
            self.value(&format!("  of team {team}"), |summary| {
                summary.jobs.core_s_by_team.get(&team).map(|core_s| format!("{core_s:.0}"))
            });
        }
    }

    /// All keys of a map over the summaries.
    fn keys<T>(
        &self,
        map: impl Fn(&summary::Summary) -> &collections::BTreeMap<String, T>,
    ) -> collections::BTreeSet<String> {
        let mut names = collections::BTreeSet::new();
        for (_, summary) in self.columns {
            names.extend(map(summary).keys().cloned());
        }
        names
    }
}
