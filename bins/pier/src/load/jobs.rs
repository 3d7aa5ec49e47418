//! The jobs of a load: submission, cancellation, and polling until they have ended.

use std::collections;
use std::sync;
use std::thread;
use std::time;

use persimmonpier::core::caller;
use serde::{Deserialize, Serialize};

use crate::load::{profile, stats};
use crate::{Error, client, job};

/// The pause between two polling rounds over all unfinished jobs.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// The maximum number of attempts to submit a job without a certain outcome.
const SUBMIT_ATTEMPTS: u32 = 5;
const SUBMIT_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// An accepted job.
struct TrackedJob {
    class: String,
    team: String,
    /// The work of one task in core seconds.
    task_core_s: f64,
    deadline: Option<time::Duration>,
    target: client::Target,
    status: caller::JobStatus,
    submitted_at: time::Instant,
    cancel_at: Option<time::Instant>,
    start_recorded: bool,
    /// Whether the host did not know the job in the last poll.
    is_missing: bool,
}

/// Counts and times of jobs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobCounts {
    /// Jobs whose submission was attempted.
    pub planned: u64,
    /// Jobs that were accepted.
    pub accepted: u64,
    /// Jobs that were refused, by reason.
    pub refused: collections::BTreeMap<String, u64>,
    /// Jobs of which it is unknown whether they were accepted.
    pub unknown: u64,
    /// Jobs that are done.
    pub done: u64,
    /// Jobs that failed, by reason.
    pub failed: collections::BTreeMap<String, u64>,
    /// Jobs that were cancelled.
    pub cancelled: u64,
    /// Accepted jobs that had not ended when the load ended, including lost ones.
    pub unfinished: u64,
    /// Accepted jobs that the hosts no longer knew when the load ended.
    pub lost: u64,
    /// Tasks of accepted jobs that are done.
    pub tasks_done: u64,
    /// The work of done tasks in core seconds: their planned run times multiplied by their
    /// requested cores.
    pub core_s: f64,
    /// The work of done tasks in core seconds, by team.
    pub core_s_by_team: collections::BTreeMap<String, f64>,
    /// The met and missed deadlines by class.
    pub deadlines: collections::BTreeMap<String, stats::DeadlineCounts>,
    /// The times from submission to the first started task, by class, at the resolution of the
    /// polling interval.
    pub start_wait: collections::BTreeMap<String, stats::Quantiles>,
    /// The times from submission to the end, by class, at the resolution of the polling interval.
    pub turnaround: collections::BTreeMap<String, stats::Quantiles>,
}

#[derive(Default)]
struct State {
    counts: JobCounts,
    unfinished: Vec<TrackedJob>,
    /// The teams with job tasks that are neither running nor done, as of the last poll.
    waiting_teams: collections::BTreeSet<String>,
    start_waits: collections::BTreeMap<String, stats::LatencyHistogram>,
    turnarounds: collections::BTreeMap<String, stats::LatencyHistogram>,
}

/// Submits the jobs of a load and follows their states.
#[derive(Default)]
pub(crate) struct JobTracker {
    state: sync::Mutex<State>,
}

impl JobTracker {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Submits a job. If the outcome is unknown or the host refuses the connection, the submission
    /// is retried at the next host with the same idempotency key.
    pub fn submit(
        &self,
        targets: &[client::Target],
        series: &profile::JobSeries,
        idempotency_key: &str,
    ) {
        let mut request = series.request.clone();
        if let Some(run_ms) = series.run_ms {
            request.payload = format!("{{\"run_ms\":{run_ms}}}");
        }
        self.lock().counts.planned += 1;
        let submitted_at = time::Instant::now();
        let mut targets = targets.iter().cycle();
        let mut last_error = None;
        for _ in 0..SUBMIT_ATTEMPTS {
            let Some(target) = targets.next() else {
                break;
            };
            let target = client::Target { key: series.key.clone(), ..target.clone() };
            match job::submit(&target, &request, Some(idempotency_key)) {
                Ok(status) => {
                    let cancel_after = series.cancel_after_ms.map(time::Duration::from_millis);
                    let mut state = self.lock();
                    state.counts.accepted += 1;
                    state.unfinished.push(TrackedJob {
                        class: series.class.clone(),
                        team: series.team.clone(),
                        task_core_s: task_core_s(series),
                        deadline: request.deadline_ms.map(time::Duration::from_millis),
                        target,
                        status,
                        submitted_at,
                        cancel_at: cancel_after.map(|after| submitted_at + after),
                        start_recorded: false,
                        is_missing: false,
                    });
                    return;
                }
                Err(Error::Refused { refusal }) if refusal.outcome == caller::Outcome::NotRun => {
                    let mut state = self.lock();
                    *state.counts.refused.entry(refusal.kind.to_string()).or_default() += 1;
                    return;
                }
                Err(error) => last_error = Some(error),
            }
            thread::sleep(SUBMIT_RETRY_INTERVAL);
        }
        let mut state = self.lock();
        match last_error {
            Some(Error::NotSent { .. }) => {
                *state.counts.refused.entry("no_connection".to_owned()).or_default() += 1;
            }
            _ => state.counts.unknown += 1,
        }
    }

    /// Polls all unfinished jobs once and cancels those that are due for cancellation. Returns the
    /// number of jobs that are still unfinished.
    pub fn poll(&self, targets: &[client::Target]) -> usize {
        let mut jobs = std::mem::take(&mut self.lock().unfinished);
        for (index, tracked) in jobs.iter_mut().enumerate() {
            tracked.poll(&targets[index % targets.len()]);
        }
        let mut state = self.lock();
        let mut remaining = Vec::new();
        for mut tracked in jobs {
            state.record_start(&mut tracked);
            if !job::has_ended(tracked.status.phase) {
                remaining.push(tracked);
                continue;
            }
            state.record_end(&tracked);
        }
        // The list may already hold jobs that were submitted during the polling round.
        state.unfinished.append(&mut remaining);
        state.update_waiting_teams();
        state.unfinished.len()
    }

    /// Polls the jobs until `stop` returns `true`, and from then on until all jobs have ended or
    /// `limit` has passed.
    pub fn poll_until_finished(
        &self,
        targets: &[client::Target],
        stop: impl Fn() -> bool,
        limit: time::Duration,
    ) {
        let mut stopped_at = None;
        loop {
            let unfinished = self.poll(targets);
            if stop() {
                let since = stopped_at.get_or_insert_with(time::Instant::now);
                if unfinished == 0 || since.elapsed() > limit {
                    return;
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// The teams with job tasks that are neither running nor done.
    pub fn waiting_teams(&self) -> collections::BTreeSet<String> {
        self.lock().waiting_teams.clone()
    }

    /// The numbers of unfinished and of done jobs.
    pub fn progress(&self) -> (usize, u64) {
        let state = self.lock();
        (state.unfinished.len(), state.counts.done)
    }

    /// Returns the final counts, with the jobs that have not ended.
    pub fn to_counts(&self) -> JobCounts {
        let state = self.lock();
        let mut counts = state.counts.clone();
        for tracked in &state.unfinished {
            counts.unfinished += 1;
            counts.lost += u64::from(tracked.is_missing);
            counts.add_work(tracked);
            counts.add_deadline(tracked, false);
        }
        for (class, times) in &state.start_waits {
            counts.start_wait.insert(class.clone(), times.to_quantiles());
        }
        for (class, times) in &state.turnarounds {
            counts.turnaround.insert(class.clone(), times.to_quantiles());
        }
        counts
    }
}

impl JobCounts {
    fn add_work(&mut self, tracked: &TrackedJob) {
        self.tasks_done += u64::from(tracked.status.done);
        let core_s = f64::from(tracked.status.done) * tracked.task_core_s;
        self.core_s += core_s;
        *self.core_s_by_team.entry(tracked.team.clone()).or_default() += core_s;
    }

    fn add_deadline(&mut self, tracked: &TrackedJob, is_met: bool) {
        if tracked.deadline.is_some() {
            self.deadlines.entry(tracked.class.clone()).or_default().record(is_met);
        }
    }
}

/// The work of one task of a job in core seconds.
fn task_core_s(series: &profile::JobSeries) -> f64 {
    let run = time::Duration::from_millis(series.run_ms.unwrap_or(0));
    let cpu_milli = u32::try_from(series.request.resources.cpu_milli).unwrap_or(u32::MAX);
    run.as_secs_f64() * f64::from(cpu_milli) / 1_000.0
}

impl State {
    /// Records the waiting time of a job when it is first seen to have started.
    fn record_start(&mut self, tracked: &mut TrackedJob) {
        let has_started = tracked.status.running > 0 || tracked.status.done > 0;
        if tracked.start_recorded || !has_started {
            return;
        }
        tracked.start_recorded = true;
        let wait = tracked.submitted_at.elapsed();
        self.start_waits.entry(tracked.class.clone()).or_default().record(wait);
    }

    fn update_waiting_teams(&mut self) {
        self.waiting_teams.clear();
        for tracked in &self.unfinished {
            let status = &tracked.status;
            if status.done + status.running < status.tasks {
                self.waiting_teams.insert(tracked.team.clone());
            }
        }
    }

    fn record_end(&mut self, tracked: &TrackedJob) {
        let turnaround = tracked.submitted_at.elapsed();
        self.turnarounds.entry(tracked.class.clone()).or_default().record(turnaround);
        self.counts.add_work(tracked);
        let is_done = tracked.status.phase == caller::JobPhase::Done;
        let is_in_time = tracked.deadline.is_none_or(|deadline| turnaround <= deadline);
        self.counts.add_deadline(tracked, is_done && is_in_time);
        match tracked.status.phase {
            caller::JobPhase::Done => self.counts.done += 1,
            caller::JobPhase::Cancelled => self.counts.cancelled += 1,
            _ => {
                let reason = tracked.status.reason.as_ref();
                let reason = reason.map_or("none".to_owned(), |reason| reason.kind.to_string());
                *self.counts.failed.entry(reason).or_default() += 1;
            }
        }
    }
}

impl TrackedJob {
    fn poll(&mut self, fallback: &client::Target) {
        let is_cancel_due = self.cancel_at.is_some_and(|at| time::Instant::now() >= at);
        let send = |target: &client::Target| {
            if is_cancel_due {
                job::cancel(target, &self.status.job)
            } else {
                job::query(target, &self.status.job)
            }
        };
        let mut result = send(&self.target);
        if matches!(result, Err(Error::NotSent { .. })) {
            // The host refuses connections, so the job is polled at another host from now on.
            let key = self.target.key.clone();
            self.target = client::Target { key, ..fallback.clone() };
            result = send(&self.target);
        }
        match result {
            Ok(status) => {
                self.is_missing = false;
                self.status = status;
                if is_cancel_due {
                    self.cancel_at = None;
                }
            }
            Err(Error::Refused { refusal }) => {
                self.is_missing = refusal.kind == caller::RefusalKind::UnknownJob;
            }
            Err(_) => {}
        }
    }
}
