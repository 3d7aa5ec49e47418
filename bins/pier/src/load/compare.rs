//! Comparison of the summaries of several loads.

use std::collections;

use crate::load::{stats, summary};

const NAME_WIDTH: usize = 34;
const VALUE_WIDTH: usize = 14;
const PERCENT: f64 = 100.0;

/// Returns a table with a column for each summary and a row for each measure. A measure that a
/// summary lacks is shown as `-`.
pub fn table(columns: &[(String, summary::Summary)]) -> String {
    let mut table = Table { columns, text: String::new() };
    table.add_row("", |_| None, true);
    table.add_requests();
    table.add_times();
    table.add_deadlines();
    table.add_cell();
    table.add_work();
    table.text
}

struct Table<'a> {
    columns: &'a [(String, summary::Summary)],
    text: String,
}

impl Table<'_> {
    /// Adds a row, or the header row with the column names if `is_header` is set.
    fn add_row(
        &mut self,
        name: &str,
        value: impl Fn(&summary::Summary) -> Option<String>,
        is_header: bool,
    ) {
        let mut row = format!("{name:<NAME_WIDTH$}");
        for (column, summary) in self.columns {
            let cell = if is_header {
                column.clone()
            } else {
                value(summary).unwrap_or_else(|| "-".into())
            };
            row.push_str(&format!(" {cell:>VALUE_WIDTH$}"));
        }
        self.text.push_str(row.trim_end());
        self.text.push('\n');
    }

    fn add_value(&mut self, name: &str, value: impl Fn(&summary::Summary) -> Option<String>) {
        self.add_row(name, value, false);
    }

    fn add_requests(&mut self) {
        let sum = |counts: &collections::BTreeMap<String, u64>| counts.values().sum::<u64>();
        self.add_value("requests", |summary| Some(summary.requests.total.to_string()));
        self.add_value("  answered", |summary| Some(summary.requests.answered.to_string()));
        self.add_value("  refused, not run", |summary| {
            Some(sum(&summary.requests.not_run).to_string())
        });
        self.add_value("  failed", |summary| Some(sum(&summary.requests.failed).to_string()));
        self.add_value("  unknown", |summary| Some(sum(&summary.requests.unknown).to_string()));
        self.add_value("  wrong", |summary| Some(sum(&summary.requests.wrong).to_string()));
    }

    fn add_times(&mut self) {
        // Shows whether the load generator kept up: if it did not, the waiting times say nothing
        // about the cell.
        self.add_value("send delay: p99, ms", |summary| {
            Some(format!("{:.1}", summary.send_delay.p99_ms))
        });
        self.add_quantiles("wait of", |summary| &summary.wait);
        self.add_quantiles("wait of team", |summary| &summary.wait_by_team);
        self.add_quantiles("start of a job of", |summary| &summary.jobs.start_wait);
        self.add_quantiles("end of a job of", |summary| &summary.jobs.turnaround);
    }

    fn add_quantiles(
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
            self.add_value(&format!("{label} {name}: p50, ms"), p50);
            self.add_value("  p99", p99);
            self.add_value("  p99.9", p999);
        }
    }

    fn add_deadlines(&mut self) {
        let met_of_total = |deadlines: Option<&stats::DeadlineCounts>| {
            deadlines.map(|found| format!("{} of {}", found.met, found.met + found.missed))
        };
        for name in self.keys(|summary| &summary.deadlines) {
            self.add_value(&format!("deadlines of {name}"), |summary| {
                met_of_total(summary.deadlines.get(&name))
            });
        }
        for name in self.keys(|summary| &summary.jobs.deadlines) {
            self.add_value(&format!("deadlines of jobs of {name}"), |summary| {
                met_of_total(summary.jobs.deadlines.get(&name))
            });
        }
    }

    fn add_cell(&mut self) {
        let percent = |value: f64| format!("{:.1}%", value * PERCENT);
        self.add_value("packing", |summary| summary.cell.map(|cell| percent(cell.packing)));
        self.add_value("long full, s", |summary| {
            summary.cell.map(|cell| (cell.long_full_ms / 1_000).to_string())
        });
        self.add_value("  distance from shares", |summary| {
            summary.cell?.share_distance_long_full.map(percent)
        });
        self.add_value("  distance from entitlements", |summary| {
            summary.cell?.entitlement_distance_long_full.map(percent)
        });
    }

    fn add_work(&mut self) {
        let first = self.columns.first().map(|(_, summary)| summary.jobs.core_s);
        self.add_value("job tasks done", |summary| Some(summary.jobs.tasks_done.to_string()));
        self.add_value("work done, core s", |summary| Some(format!("{:.0}", summary.jobs.core_s)));
        self.add_value("  ratio to the first column", |summary| {
            let first = first.filter(|first| *first > 0.0)?;
            Some(format!("{:.2}", summary.jobs.core_s / first))
        });
        for team in self.keys(|summary| &summary.jobs.core_s_by_team) {
            self.add_value(&format!("  of team {team}"), |summary| {
                summary.jobs.core_s_by_team.get(&team).map(|core_s| format!("{core_s:.0}"))
            });
        }
    }

    /// Returns the keys of a map in all summaries.
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
