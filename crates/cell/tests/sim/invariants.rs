//! What the cell guarantees, and the checks of it.

use std::collections::{BTreeMap, BTreeSet};

use pier_cell::effect::CallerResponse;
use pier_cell::job::{JobState, RunNumber, TaskRef};

use crate::sim::load::Leaving;
use crate::sim::{MAX_KEY_BYTES, Sim, step};

/// How long after an acknowledged cancelling tasks of the job may still be started.
const MAX_CANCEL_MS: u64 = 3_000;
/// How long after a worker has announced that it leaves work may still be started there: the worker
/// list is read, and starts that were decided before are carried out.
const MAX_LEAVING_START_MS: u64 = 2_000;

/// The violations of the cell's guarantees, the responses to callers, and counts of calls.
#[derive(Debug, Default)]
pub struct Observations {
    pub violations: Vec<String>,
    pub accepted: BTreeSet<String>,
    pub rejected: BTreeSet<String>,
    /// How often callers have submitted each job.
    pub submissions: BTreeMap<String, u32>,
    /// How many of these submissions were rejected.
    pub rejections: BTreeMap<String, u32>,
    /// How many submissions were repetitions of rejected ones.
    pub submitted_again: u64,
    /// How many workers have left as they had announced.
    pub workers_left: u64,
    pub unknown_outcomes: BTreeSet<String>,
    pub responses: BTreeMap<String, CallerResponse>,
    pub starts: u64,
    pub start_times_ms: Vec<u64>,
    pub claims: u64,
    pub advice_requests_by_host: BTreeMap<usize, u64>,
    pub advice_calls: Vec<AdviceCall>,
    pub worker_calls_by_host: BTreeMap<usize, u64>,
    pub cell_reads_by_host: BTreeMap<usize, u64>,
    /// The number of messages between hosts.
    pub messages: u64,
    /// The jobs that callers have cancelled.
    pub cancelled: BTreeSet<String>,
    /// When the first cancelling of a job was acknowledged, also as that of an unknown job.
    pub cancel_acknowledged_ms: BTreeMap<String, u64>,
    /// The numbers of the runs of each task that failed.
    pub failed_runs: BTreeMap<TaskRef, BTreeSet<RunNumber>>,
    pub(super) last_start_ms: BTreeMap<TaskRef, u64>,
    pub(super) done: BTreeSet<TaskRef>,
}

/// A call of the adviser.
#[derive(Debug)]
pub struct AdviceCall {
    pub job: String,
    pub is_gang: bool,
    pub at_ms: u64,
    pub named: usize,
    pub took_ms: u64,
}

impl Sim {
    pub(super) fn check_sizes(&mut self, records: &[pier_cell::record::Record]) {
        let mut bytes = 0;
        for record in records {
            bytes += 4 + record.stored_bytes();
            let is_too_long = record.stored_bytes() > self.options.max_record_bytes;
            if is_too_long || record.key.len() > MAX_KEY_BYTES {
                self.observed
                    .violations
                    .push(format!("the record of {:.80} is too long", record.key));
            }
        }
        if bytes > self.options.max_append_bytes {
            self.observed.violations.push(format!("an append of {bytes} bytes"));
        }
    }

    /// Checks a start that a worker did not carry out late.
    pub(super) fn check_not_cancelled(&mut self, task: &TaskRef) {
        let acknowledged_ms = self.observed.cancel_acknowledged_ms.get(&*task.job);
        if acknowledged_ms.is_some_and(|at| self.now_ms > at + MAX_CANCEL_MS) {
            let broken = format!("{} ms: {task:?} started after cancel", self.now_ms);
            self.observed.violations.push(broken);
        }
    }

    /// Whether all submissions of the job were rejected. A submission without a response may have
    /// been accepted.
    fn is_rejected(&self, job: &str) -> bool {
        let rejections = self.observed.rejections.get(job).copied().unwrap_or_default();
        rejections > 0 && self.observed.submissions.get(job) == Some(&rejections)
    }

    /// Checks a job that has just been rejected.
    pub(super) fn check_rejected_before_start(&mut self, id: &str) {
        let first = TaskRef { job: id.into(), step: 0, index: 0 };
        let mut starts = self.observed.last_start_ms.range(first..);
        let has_started = starts.next().is_some_and(|(task, _)| *task.job == *id);
        if has_started && self.is_rejected(id) {
            let broken = format!("{} ms: {id} was rejected after its start", self.now_ms);
            self.observed.violations.push(broken);
        }
    }

    pub(super) fn record_start(&mut self, id: &str, task: &TaskRef, is_over_capacity: bool) {
        self.observed.starts += 1;
        self.observed.start_times_ms.push(self.now_ms);
        self.observed.last_start_ms.insert(task.clone(), self.now_ms);
        if is_over_capacity {
            self.observed.violations.push(format!("{} ms: {id} is over its capacity", self.now_ms));
        }
        if self.is_rejected(&task.job) {
            let broken = format!("{} ms: {task:?} started after its rejection", self.now_ms);
            self.observed.violations.push(broken);
        }
        let is_late = |leaving: Leaving| self.now_ms > leaving.announced_ms + MAX_LEAVING_START_MS;
        if self.workers[id].leaving.is_some_and(is_late) {
            let broken = format!("{} ms: {task:?} started on {id}, which leaves", self.now_ms);
            self.observed.violations.push(broken);
        }
        if self.observed.done.contains(task) {
            self.observed
                .violations
                .push(format!("{} ms: {task:?} started after done", self.now_ms));
        }
        let is_running_elsewhere = self
            .workers
            .values()
            .filter(|worker| worker.is_up && worker.id != id)
            .any(|worker| worker.running.contains_key(task));
        if is_running_elsewhere {
            self.observed.violations.push(format!("{} ms: {task:?} runs twice", self.now_ms));
        }
    }
}

/// Checks the guarantees at the end of a simulation.
pub fn check_invariants(sim: &Sim) {
    assert_eq!(sim.observed.violations, Vec::<String>::new());
    let stored = sim.stored_cell_state();
    let mut unfinished = BTreeSet::new();
    for id in &sim.observed.accepted {
        match stored.job_state(id) {
            Some(JobState::Completed | JobState::Failed) => {}
            Some(JobState::Cancelled) if sim.observed.cancelled.contains(id) => {}
            state => {
                unfinished.insert(format!("{id} is {state:?}"));
            }
        }
    }
    assert_eq!(unfinished, BTreeSet::new(), "accepted jobs that have not ended");
    for id in &sim.observed.rejected {
        // REFUSED (RULES.md): "A task starts, and all client attempts to hand its job in were
        // rejected." Another attempt may have been accepted, or have got no response.
        if sim.observed.rejections[id] < sim.observed.submissions[id] {
            continue;
        }
        assert_eq!(stored.job_state(id), None, "{id} was rejected, but the log has it");
    }
}

/// Submits jobs at the hosts other than `decider` and returns the time from `at_ms` to the first
/// start, not counting the first 100 ms.
pub fn first_start_after(sim: &mut Sim, decider: usize, at_ms: u64) -> u64 {
    for index in 0..sim.hosts.len() {
        if index != decider {
            sim.submit(index, &format!("after{index:011}"), "urgent", vec![step(1, 1)]);
        }
    }
    sim.run_for(4_000);
    let first = sim.observed.start_times_ms.iter().find(|start| **start > at_ms + 100);
    first.map_or(u64::MAX, |start| start - at_ms)
}

/// Checks that jobs have failed by as many failed runs of a task as their queues allow, and that no
/// task had more.
pub fn check_attempts(sim: &Sim, max_attempts: usize) {
    let mut failures: BTreeMap<(String, usize, usize), usize> = BTreeMap::new();
    for (task, runs) in &sim.observed.failed_runs {
        let is_gang = sim.specs[&*task.job].steps[task.step].gang;
        // The failures of all members of a gang count together.
        let index = if is_gang { 0 } else { task.index };
        *failures.entry((task.job.to_string(), task.step, index)).or_default() += runs.len();
    }
    for id in &sim.observed.accepted {
        let counts = failures.iter().filter(|((job, ..), _)| job == id).map(|(_, count)| *count);
        let most = counts.max().unwrap_or_default();
        if sim.stored_state(id) == Some(JobState::Failed) {
            assert!(most >= max_attempts, "{id} has failed after {most} failed runs of a task");
        }
    }
}
