//! Gang jobs, whose tasks all start together.

use std::collections;
use std::time;

use pier_core::{caller, task};

use super::{admission, job, ranges};
use crate::work::ledger;
use crate::{cluster, record};

/// The initial backoff after a failed reservation. It doubles with each consecutive failure.
const RESERVE_BACKOFF: time::Duration = time::Duration::from_millis(250);
/// The maximum backoff after a failed reservation.
const RESERVE_BACKOFF_MAX: time::Duration = time::Duration::from_secs(15);
/// The initial backoff after a failed run.
const RUN_BACKOFF: time::Duration = time::Duration::from_secs(1);
/// The maximum backoff after a failed run.
const RUN_BACKOFF_MAX: time::Duration = time::Duration::from_secs(60);

/// The phase of a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Nothing runs. The gang may reserve capacity from `not_before` on.
    Idle { not_before: time::Duration },
    /// Capacity for the tasks is being reserved.
    Reserving { since: time::Duration },
    /// The start of every task was requested.
    Running,
    /// The reserved and started tasks are being cancelled. The gang may reserve capacity again from
    /// `not_before` on.
    Stopping { not_before: time::Duration },
}

/// The state of a gang job in addition to its tasks.
#[derive(Debug)]
pub(super) struct Gang {
    phase: Phase,
    reserved: collections::BTreeSet<u32>,
    /// The tasks that are done in the current run.
    done: collections::BTreeSet<u32>,
    refusals: u32,
    failures: u32,
    unknown_ends: u32,
}

impl Default for Gang {
    fn default() -> Self {
        Self {
            phase: Phase::Idle { not_before: time::Duration::ZERO },
            reserved: collections::BTreeSet::new(),
            done: collections::BTreeSet::new(),
            refusals: 0,
            failures: 0,
            unknown_ends: 0,
        }
    }
}

impl Gang {
    /// Records that a task that an earlier owner started is done.
    pub(super) fn record_done(&mut self, index: u32) {
        if matches!(self.phase, Phase::Idle { .. }) {
            self.done.insert(index);
        }
    }

    pub(super) fn record_reserved(&mut self, index: u32) {
        if matches!(self.phase, Phase::Reserving { .. }) {
            self.reserved.insert(index);
        }
    }
}

impl job::Job {
    /// Performs the next steps of a gang that are due.
    pub(super) fn advance_gang(&mut self, step: &mut job::Step<'_>) {
        if self.recovering {
            return;
        }
        if self.spec.tasks > admission::MAX_GANG_TASKS {
            let detail = "the gang has too many tasks";
            self.fail(step.now, caller::Refusal::not_run(caller::RefusalKind::BadRequest, detail));
            return;
        }
        match self.gang.phase {
            Phase::Idle { .. } if self.active_count() > 0 || !self.gang.done.is_empty() => {
                self.resume_gang(step);
            }
            Phase::Idle { not_before } => self.reserve_gang(not_before, step),
            Phase::Reserving { since } => self.commit_gang(since, step),
            Phase::Running => self.finish_gang(step),
            Phase::Stopping { not_before } => {
                self.cancel_all(step.commands);
                if self.active_count() == 0 {
                    self.gang.phase = Phase::Idle { not_before };
                }
            }
        }
    }

    /// Continues the run of an earlier owner if it is complete, and stops it otherwise.
    fn resume_gang(&mut self, step: &mut job::Step<'_>) {
        if self.running + self.gang.done.len() == self.size() {
            self.gang.phase = Phase::Running;
            self.finish_gang(step);
            return;
        }
        if !self.spec.repeatable {
            self.fail_non_repeatable(0, None, step.now);
            return;
        }
        self.stop_gang(step.now, step);
    }

    fn size(&self) -> usize {
        usize::try_from(self.spec.tasks).unwrap_or(usize::MAX)
    }

    /// Reserves capacity for every task.
    fn reserve_gang(&mut self, not_before: time::Duration, step: &mut job::Step<'_>) {
        let ready = step.now >= not_before.max(self.orphans_until());
        if !ready || !step.may_place() || !self.may_start_gang(step) {
            return;
        }
        self.gang.reserved.clear();
        self.gang.done.clear();
        self.gang.phase = Phase::Reserving { since: step.now };
        for index in 0..self.spec.tasks {
            self.place(index, true, step);
        }
    }

    /// Whether the tasks may start. A non-repeatable gang needs an entry in the log for that; the
    /// entry is appended if it is missing.
    fn may_start_gang(&mut self, step: &mut job::Step<'_>) -> bool {
        if self.spec.repeatable {
            return true;
        }
        let Some(fold) = step.cluster.jobs.get(&self.id) else {
            return false;
        };
        if ranges::Ranges::from_task_ranges(&fold.started).len() >= self.spec.tasks {
            return true;
        }
        let again = self
            .start_entry_appended_at
            .is_none_or(|at| step.now >= at + job::APPEND_RETRY_INTERVAL);
        if again && !step.cluster.log_unreachable {
            self.start_entry_appended_at = Some(step.now);
            let all = record::TaskRange { first: 0, end: self.spec.tasks };
            step.out
                .append(record::Entry::JobAttempts { job: self.id.clone(), started: vec![all] });
        }
        false
    }

    /// Starts the gang once capacity is reserved for all its tasks.
    fn commit_gang(&mut self, since: time::Duration, step: &mut job::Step<'_>) {
        if step.now >= since + step.options.gang_reserve {
            let detail = "capacity for the whole gang could not be reserved in time";
            self.last_refusal = Some(caller::Refusal::not_run(caller::RefusalKind::NoRoom, detail));
            self.back_off_gang(step);
            return;
        }
        if self.gang.reserved.len() < self.size() {
            return;
        }
        self.gang.phase = Phase::Running;
        self.gang.refusals = 0;
        self.last_refusal = None;
        for (index, task) in &self.tasks {
            let Some(active) = &task.active else {
                continue;
            };
            step.commands.commit.push((self.task_id(*index), active.attempt));
        }
    }

    fn finish_gang(&mut self, step: &mut job::Step<'_>) {
        if self.gang.done.len() < self.size() {
            return;
        }
        self.done.insert_range(record::TaskRange { first: 0, end: self.spec.tasks });
        self.end(step.now, caller::JobPhase::Done, None);
        self.advance_ending(step);
    }

    /// Cancels the reservation and retries after a randomized backoff, so that two gangs that hold
    /// capacity that the other one needs do not collide again and again.
    fn back_off_gang(&mut self, step: &mut job::Step<'_>) {
        self.gang.refusals = self.gang.refusals.saturating_add(1);
        let wait = job::backoff(RESERVE_BACKOFF, RESERVE_BACKOFF_MAX, self.gang.refusals);
        let wait_ms = pier_core::clock::millis(wait);
        let random_ms = self.jitter_ms(step, self.gang.refusals, wait_ms);
        let not_before = step.now + wait / 2 + time::Duration::from_millis(random_ms);
        self.stop_gang(not_before, step);
    }

    fn stop_gang(&mut self, not_before: time::Duration, step: &mut job::Step<'_>) {
        self.gang.done.clear();
        self.gang.reserved.clear();
        self.gang.phase = Phase::Stopping { not_before };
        self.cancel_all(step.commands);
    }

    /// Handles the refusal of a task of the gang.
    pub(super) fn on_gang_task_refused(
        &mut self,
        index: u32,
        active: &job::ActiveAttempt,
        refusal: caller::Refusal,
        step: &mut job::Step<'_>,
    ) {
        if active.cancelled {
            return;
        }
        self.record_history(format!("task {index} attempt {}: {}", active.attempt, refusal.kind));
        self.last_refusal = Some(refusal);
        match self.gang.phase {
            Phase::Idle { .. } | Phase::Stopping { .. } => {}
            Phase::Reserving { .. } => self.back_off_gang(step),
            Phase::Running if self.spec.repeatable => self.back_off_gang(step),
            Phase::Running => self.fail_non_repeatable(index, None, step.now),
        }
    }

    /// Handles the end of a task of the gang.
    pub(super) fn on_gang_task_ended(
        &mut self,
        index: u32,
        active: &job::ActiveAttempt,
        kind: Option<task::EndKind>,
        step: &mut job::Step<'_>,
    ) {
        if matches!(self.gang.phase, Phase::Stopping { .. }) || active.cancelled {
            return;
        }
        if kind == Some(task::EndKind::Done) {
            self.gang.done.insert(index);
            return;
        }
        if !self.spec.repeatable {
            self.fail_non_repeatable(index, kind, step.now);
            return;
        }
        let mut tries = 0;
        match kind {
            Some(task::EndKind::Failed) => {
                self.gang.failures = self.gang.failures.saturating_add(1);
                tries = self.gang.failures;
            }
            None => {
                self.gang.unknown_ends = self.gang.unknown_ends.saturating_add(1);
                tries = self.gang.unknown_ends;
            }
            _ => {}
        }
        if self.gang.failures >= step.options.max_attempts {
            self.fail(step.now, job::attempts_exhausted(index, self.gang.failures));
            return;
        }
        if self.gang.unknown_ends
            >= step.options.max_attempts.saturating_mul(job::UNKNOWN_ENDS_PER_FAILURE)
        {
            self.fail(step.now, job::too_many_unknown_ends(index, self.gang.unknown_ends));
            return;
        }
        let wait = job::backoff(RUN_BACKOFF, RUN_BACKOFF_MAX, tries);
        self.stop_gang(step.now + wait, step);
    }
}

/// Whether all tasks of a gang would fit on the workers of the cell at once if these were empty.
pub(super) fn fits_cell(
    cluster: &cluster::Cluster,
    tasks: u32,
    resources: &pier_core::Resources,
) -> bool {
    let mut left = u64::from(tasks);
    for info in cluster.workers.values() {
        left = left.saturating_sub(ledger::count_fitting(resources, &info.entry.resources));
        if left == 0 {
            return true;
        }
    }
    false
}
