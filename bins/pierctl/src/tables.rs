//! Formats answers of hosts as text and tables for people.

use persimmonpier::core::resources::Resources;
use persimmonpier::state::{record, report};

const MILLIS_PER_SECOND: u64 = 1_000;
const SECONDS_PER_DAY: u64 = 86_400;

pub(crate) fn indent_lines(lines: &[String]) -> String {
    let mut text = String::new();
    for line in lines {
        text.push_str(&format!("  {line}\n"));
    }
    text
}

pub(crate) fn conflict(conflict: &report::Conflict) -> String {
    let mut text = format!(
        "conflict: version {} is in force and nothing was applied\n\
         changes made by others since the base version:\n",
        conflict.version
    );
    text.push_str(&audit(&conflict.theirs));
    text.push_str(&format!("your changes against version {}:\n", conflict.version));
    text.push_str(&indent_lines(&conflict.ours));
    text
}

pub(crate) fn audit(records: &[record::AuditRecord]) -> String {
    let mut text = String::new();
    for record in records {
        text.push_str(&format!(
            "version {} from {} by {} at {}\n{}",
            record.version,
            record.base_version,
            record.author,
            format_utc(record.wall_ms),
            indent_lines(&record.changes)
        ));
    }
    text
}

pub(crate) fn explanation(explanation: &report::Explanation) -> String {
    let mut text = format!("{}: {}\n", explanation.task, explanation.state);
    if let Some(worker) = &explanation.worker {
        text.push_str(&format!("  worker: {worker}\n"));
    }
    if let Some(kind) = explanation.waits_for {
        text.push_str(&format!("  waits for: {kind}\n"));
    }
    if let Some(cause) = &explanation.limit {
        text.push_str(&format!(
            "  waits for: the limit of team {} ({}); in use {}, held by this host {}, needed {}\n",
            cause.team,
            format_amounts(&cause.limit),
            format_amounts(&cause.used),
            format_amounts(&cause.held_here),
            format_amounts(&cause.needed)
        ));
    }
    for step in &explanation.tried {
        text.push_str(&format!("  tried: {step}\n"));
    }
    if let Some(address) = &explanation.ask_address {
        text.push_str(&format!("  more is known at: {address}\n"));
    }
    text
}

pub(crate) fn status(status: &report::Status) -> String {
    let yes_no = |flag: bool| if flag { "yes" } else { "no" }.to_owned();
    let mut text = table(
        &[
            "host",
            "epoch",
            "member",
            "version",
            "log offset",
            "authority",
            "left ms",
            "log away",
            "leaving",
        ],
        &[vec![
            status.host.to_string(),
            status.epoch.to_string(),
            yes_no(status.is_member),
            status.version.to_string(),
            status.fold_offset.to_string(),
            status.authority.to_string(),
            status.authority_left_ms.to_string(),
            yes_no(status.log_unreachable),
            yes_no(status.leaving),
        ]],
    );
    text.push_str(&format!(
        "\nrequests {}, waiting tasks {}, jobs {}\n\n",
        status.requests, status.waiting, status.jobs
    ));
    let mut rows = Vec::new();
    for member in &status.members {
        rows.push(vec![
            member.host.to_string(),
            member.availability_zone.to_string(),
            member.heard_ms_ago.map_or_else(|| "never".to_owned(), |ms| ms.to_string()),
            member.workers.to_string(),
        ]);
    }
    text.push_str(&table(&["member", "zone", "heard ms ago", "workers"], &rows));
    text.push('\n');
    let mut rows = Vec::new();
    for worker in &status.workers {
        rows.push(vec![
            worker.worker.to_string(),
            worker.availability_zone.to_string(),
            yes_no(worker.taken_over),
            yes_no(worker.closed),
            worker.failures.to_string(),
            worker.tasks.to_string(),
            format_amounts(&worker.free),
            format_amounts(&worker.total),
        ]);
    }
    text.push_str(&table(
        &["worker", "zone", "taken over", "closed", "failures", "tasks", "free", "total"],
        &rows,
    ));
    text.push('\n');
    let mut rows = Vec::new();
    for team in &status.teams {
        rows.push(vec![
            team.team.to_string(),
            format_amounts(&team.used_here),
            format_amounts(&team.held_here),
            format_amounts(&team.used),
            team.limit.as_ref().map_or_else(|| "none".to_owned(), format_amounts),
        ]);
    }
    text.push_str(&table(&["team", "used here", "held here", "used", "limit"], &rows));
    if status.queues.is_empty() {
        return text;
    }
    text.push('\n');
    let mut rows = Vec::new();
    for queue in &status.queues {
        rows.push(vec![
            queue.team.to_string(),
            queue.queue.to_string(),
            queue.runs.to_string(),
            queue.run_mean_ms.to_string(),
            queue.run_deviation_ms.to_string(),
            queue.uses.to_string(),
            queue.use_percent.to_string(),
        ]);
    }
    let header = ["team", "queue", "runs", "mean ms", "deviation ms", "reports", "use %"];
    text.push_str(&table(&header, &rows));
    text
}

/// Formats amounts in a fixed order: CPU in thousandths of a core, memory in megabytes,
/// accelerators, slots and connections. The largest amount, which stands for no limit, is shown as
/// `-`.
fn format_amounts(resources: &Resources) -> String {
    let mut parts = Vec::new();
    for amount in resources.to_array() {
        parts.push(if amount == u64::MAX { "-".to_owned() } else { amount.to_string() });
    }
    parts.join("/")
}

fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    let header: Vec<String> = header.iter().map(|&cell| cell.to_owned()).collect();
    for row in std::iter::once(&header).chain(rows) {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            line.push_str(&format!("{cell:<width$}  "));
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Formats a wall clock time in UTC, such as `2026-01-31T08:15:00Z`.
pub(crate) fn format_utc(wall_ms: u64) -> String {
    let seconds = wall_ms / MILLIS_PER_SECOND;
    let (days, rest) = (seconds / SECONDS_PER_DAY, seconds % SECONDS_PER_DAY);
    let (year, month, day) = civil_from_days(days);
    let (hour, minute, second) = (rest / 3_600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Converts days since 1970-01-01 to a date of the Gregorian calendar.
fn civil_from_days(days: u64) -> (u64, u64, u64) {
    const DAYS_PER_ERA: u64 = 146_097;
    // Days since 0000-03-01. With years that start in March, a leap day is the last day of its
    // year.
    let days_from_march = days + 719_468;
    let (era, day_of_era) = (days_from_march / DAYS_PER_ERA, days_from_march % DAYS_PER_ERA);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
