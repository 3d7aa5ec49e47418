//! The summary of a load, as text and as JSON.

use std::collections;
use std::fmt::Write;
use std::time;

use serde::{Deserialize, Serialize};

use crate::load::{cell_stats, jobs, stats};

/// The measurements of a load.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Summary {
    /// The duration of the load with the wait for jobs, in milliseconds.
    pub elapsed_ms: u64,
    /// The requests by outcome.
    pub requests: stats::RequestCounts,
    /// The requests by outcome, by team.
    pub requests_by_team: collections::BTreeMap<String, stats::RequestCounts>,
    /// The waiting times of answered requests by class: from the planned arrival to the answer,
    /// minus the run time.
    pub wait: collections::BTreeMap<String, stats::Quantiles>,
    /// The waiting times of answered requests by team.
    pub wait_by_team: collections::BTreeMap<String, stats::Quantiles>,
    /// The met and missed deadlines of requests by class.
    pub deadlines: collections::BTreeMap<String, stats::DeadlineCounts>,
    /// The delays between the planned arrivals and the sending of the requests, caused by the load
    /// generator itself.
    #[serde(rename = "behind")]
    pub send_delay: stats::Quantiles,
    /// Counts and times of jobs.
    pub jobs: jobs::JobCounts,
    /// Packing and distances from the shares; none without the interface for operators.
    pub cell: Option<cell_stats::CellMeans>,
    /// Resource usage of the hosts' processes; none without metrics.
    pub usage: Option<cell_stats::ProcessUsage>,
    /// The audit of the stand-in; none without its control interface.
    pub audit: Option<Audit>,
}

/// Counts from the stand-in's audit. All but `tasks` and `runs` must be zero.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// The number of tasks that ran.
    pub tasks: u64,
    /// The number of runs.
    pub runs: u64,
    /// The number of workers that were assigned more resources than they have.
    pub over_committed_workers: u64,
    /// The number of tasks with two concurrent runs.
    pub overlapped_tasks: u64,
    /// The number of non-repeatable tasks that ran more than once.
    pub not_repeatable_run_again: u64,
}

impl Summary {
    /// Builds the summary.
    pub(crate) fn new(
        elapsed: time::Duration,
        load_stats: &stats::LoadStats,
        jobs: jobs::JobCounts,
        cell: Option<cell_stats::CellMeans>,
        usage: Option<cell_stats::ProcessUsage>,
        audit: Option<standin::audit::Report>,
    ) -> Self {
        let mut wait = collections::BTreeMap::new();
        for (class, times) in &load_stats.waits {
            wait.insert(class.clone(), times.to_quantiles());
        }
        let mut wait_by_team = collections::BTreeMap::new();
        for (team, times) in &load_stats.waits_by_team {
            wait_by_team.insert(team.clone(), times.to_quantiles());
        }
        let audit = audit.map(|report| Audit {
            tasks: report.tasks,
            runs: report.runs,
            over_committed_workers: u64::try_from(report.over_committed_workers.len())
                .unwrap_or(u64::MAX),
            overlapped_tasks: report.overlapped.count,
            not_repeatable_run_again: report.not_repeatable_run_again.count,
        });
        Self {
            elapsed_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            requests: load_stats.counts.clone(),
            requests_by_team: load_stats.counts_by_team.clone(),
            wait,
            wait_by_team,
            deadlines: load_stats.deadlines.clone(),
            send_delay: load_stats.send_delays.to_quantiles(),
            jobs,
            cell,
            usage,
            audit,
        }
    }

    /// Whether no answer was wrong, no job was lost and no guarantee was violated.
    pub fn passes_checks(&self) -> bool {
        let audit = self.audit.clone().unwrap_or_default();
        self.requests.wrong.is_empty()
            && self.jobs.lost == 0
            && audit.over_committed_workers == 0
            && audit.overlapped_tasks == 0
            && audit.not_repeatable_run_again == 0
    }

    /// Formats the summary as text.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        self.write(&mut text).expect("writing to a string does not fail");
        text
    }

    fn write(&self, out: &mut String) -> std::fmt::Result {
        let requests = &self.requests;
        writeln!(out, "requests: {} in {} ms", requests.total, self.elapsed_ms)?;
        writeln!(out, "  answered {}", requests.answered)?;
        write_counts(out, "failed", &requests.failed)?;
        write_counts(out, "not run", &requests.not_run)?;
        write_counts(out, "unknown", &requests.unknown)?;
        write_counts(out, "WRONG", &requests.wrong)?;
        writeln!(out, "waiting time (ms)       count      p50      p99    p99.9      max")?;
        for (class, quantiles) in &self.wait {
            write_quantiles(out, class, quantiles)?;
        }
        if self.wait_by_team.len() > 1 {
            for (team, quantiles) in &self.wait_by_team {
                write_quantiles(out, &format!("team {team}"), quantiles)?;
            }
        }
        write_quantiles(out, "send delay", &self.send_delay)?;
        write_deadlines(out, &self.deadlines)?;
        let jobs = &self.jobs;
        if jobs.planned > 0 {
            writeln!(
                out,
                "jobs: {} planned, {} accepted, {} done, {} cancelled, {} unfinished, {} lost, \
                 {} unknown; {} tasks done",
                jobs.planned,
                jobs.accepted,
                jobs.done,
                jobs.cancelled,
                jobs.unfinished,
                jobs.lost,
                jobs.unknown,
                jobs.tasks_done
            )?;
            write_counts(out, "refused", &jobs.refused)?;
            write_counts(out, "failed", &jobs.failed)?;
            for (class, quantiles) in &jobs.start_wait {
                write_quantiles(out, &format!("{class} start"), quantiles)?;
            }
            for (class, quantiles) in &jobs.turnaround {
                write_quantiles(out, &format!("{class} end"), quantiles)?;
            }
            write_deadlines(out, &jobs.deadlines)?;
            writeln!(out, "work of done job tasks: {:.0} core seconds", jobs.core_s)?;
            for (team, core_s) in &jobs.core_s_by_team {
                writeln!(out, "  {team:<18} {core_s:>9.0}")?;
            }
        }
        if let Some(cell) = &self.cell {
            write!(out, "packing {:.1}%, ", cell.packing * 100.0)?;
            write!(out, "distance from shares {:.1}%", cell.share_distance * 100.0)?;
            if let Some(full) = cell.share_distance_full {
                write!(out, ", {:.1}% while the cell was full", full * 100.0)?;
            }
            writeln!(out)?;
            if let (Some(share), Some(entitlement)) =
                (cell.share_distance_long_full, cell.entitlement_distance_long_full)
            {
                writeln!(
                    out,
                    "long full for {} ms: distance from shares {:.1}%, from entitlements {:.1}%",
                    cell.long_full_ms,
                    share * 100.0,
                    entitlement * 100.0
                )?;
            }
        }
        if let Some(usage) = &self.usage {
            for (host, cpu) in &usage.cpu_percent {
                let memory = usage.memory_bytes.get(host).copied().unwrap_or(0.0) / 1e6;
                writeln!(out, "host {host}: {cpu:.1}% of a core, {memory:.1} MB")?;
            }
            if let Some(p99_ms) = usage.control_step_p99_ms {
                writeln!(out, "control step: 99% within {p99_ms} ms")?;
            }
        }
        if let Some(audit) = &self.audit {
            writeln!(
                out,
                "audit: {} tasks, {} runs; {} workers over-committed, {} tasks with concurrent \
                 runs, {} non-repeatable tasks run more than once",
                audit.tasks,
                audit.runs,
                audit.over_committed_workers,
                audit.overlapped_tasks,
                audit.not_repeatable_run_again
            )?;
        }
        Ok(())
    }
}

fn write_counts(
    out: &mut String,
    name: &str,
    counts: &collections::BTreeMap<String, u64>,
) -> std::fmt::Result {
    for (reason, count) in counts {
        writeln!(out, "  {name} {count}: {reason}")?;
    }
    Ok(())
}

fn write_deadlines(
    out: &mut String,
    deadlines: &collections::BTreeMap<String, stats::DeadlineCounts>,
) -> std::fmt::Result {
    for (class, stats::DeadlineCounts { met, missed }) in deadlines {
        writeln!(out, "  deadlines of {class}: {met} met, {missed} missed")?;
    }
    Ok(())
}

fn write_quantiles(out: &mut String, name: &str, times: &stats::Quantiles) -> std::fmt::Result {
    let stats::Quantiles { count, p50_ms, p99_ms, p999_ms, max_ms } = times;
    writeln!(
        out,
        "  {name:<18} {count:>9} {p50_ms:>8.1} {p99_ms:>8.1} {p999_ms:>8.1} {max_ms:>8.1}"
    )
}
