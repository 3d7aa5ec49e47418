//! Texts and tables for people.

use persimmonpier::core::resources::Resources;
use persimmonpier::state::{record, report};

const MILLIS_PER_SECOND: u64 = 1_000;
const SECONDS_PER_DAY: u64 = 86_400;

pub(crate) fn lines(lines: &[String]) -> String {
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
    text.push_str(&lines(&conflict.ours));
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
            utc(record.wall_ms),
            lines(&record.changes)
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
            amounts(&cause.limit),
            amounts(&cause.used),
            amounts(&cause.held_here),
            amounts(&cause.needed)
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
            amounts(&worker.free),
            amounts(&worker.total),
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
            amounts(&team.used_here),
            amounts(&team.held_here),
            amounts(&team.used),
            team.limit.as_ref().map_or_else(|| "none".to_owned(), amounts),
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
    let head = ["team", "queue", "runs", "mean ms", "deviation ms", "reports", "use %"];
    text.push_str(&table(&head, &rows));
    text
}

/// Amounts in a fixed order: cores in thousandths, memory in megabytes, accelerators, slots and
/// connections.
fn amounts(resources: &Resources) -> String {
    let mut parts = Vec::new();
    for amount in resources.to_array() {
        parts.push(if amount == u64::MAX { "-".to_owned() } else { amount.to_string() });
    }
    parts.join("/")
}

fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = head.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    let head: Vec<String> = head.iter().map(|&cell| cell.to_owned()).collect();
    for row in std::iter::once(&head).chain(rows) {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            line.push_str(&format!("{cell:<width$}  "));
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// A time of the wall clock in UTC, as `2026-01-31T08:15:00Z`.
pub(crate) fn utc(wall_ms: u64) -> String {
    let seconds = wall_ms / MILLIS_PER_SECOND;
    let (days, rest) = (seconds / SECONDS_PER_DAY, seconds % SECONDS_PER_DAY);
    let (year, month, day) = civil(days);
    let (hour, minute, second) = (rest / 3_600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// The date of a day counted from 1970-01-01 in the Gregorian calendar.
fn civil(days: u64) -> (u64, u64, u64) {
    const DAYS_PER_ERA: u64 = 146_097;
    // Counts from 0000-03-01, so that a leap day is the last day of a year.
    let shifted = days + 719_468;
    let (era, day_of_era) = (shifted / DAYS_PER_ERA, shifted % DAYS_PER_ERA);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
