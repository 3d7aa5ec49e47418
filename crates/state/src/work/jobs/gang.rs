//! Jobs whose tasks all start together.

use std::collections;
use std::time;

use pier_core::{caller, task};

use super::{admission, job, ranges};
use crate::work::ledger;
use crate::{cluster, record};

/// The first wait after a reservation that failed. It doubles with each one in a row.
const RESERVE_BACKOFF: time::Duration = time::Duration::from_millis(250);
/// The longest wait after a reservation that failed.
const RESERVE_BACKOFF_MAX: time::Duration = time::Duration::from_secs(15);
/// The first wait after a run that failed.
const RUN_BACKOFF: time::Duration = time::Duration::from_secs(1);
/// The longest wait after a run that failed.
const RUN_BACKOFF_MAX: time::Duration = time::Duration::from_secs(60);

/// How far a gang has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Nothing runs; the gang may reserve from this time on.
    Idle { not_before: time::Duration },
    /// Room is being reserved since this time.
    Reserving { since: time::Duration },
    /// Every task was told to start.
    Running,
    /// What was reserved or started is given up; the gang may reserve again from this time on.
    Stopping { not_before: time::Duration },
}

/// What a gang job keeps besides its tasks.
#[derive(Debug)]
pub(super) struct Gang {
    phase: Phase,
    reserved: collections::BTreeSet<u32>,
    /// The tasks that are done in the present run.
    done: collections::BTreeSet<u32>,
    refusals: u32,
    failures: u32,
    losses: u32,
}

impl Default for Gang {
    fn default() -> Self {
        Self {
            phase: Phase::Idle { not_before: time::Duration::ZERO },
            reserved: collections::BTreeSet::new(),
            done: collections::BTreeSet::new(),
            refusals: 0,
            failures: 0,
            losses: 0,
        }
    }
}

impl Gang {
    /// Notes a task that an earlier owner has started and that is done.
    pub(super) fn note_done(&mut self, index: u32) {
        if matches!(self.phase, Phase::Idle { .. }) {
            self.done.insert(index);
        }
    }

    pub(super) fn note_reserved(&mut self, index: u32) {
        if matches!(self.phase, Phase::Reserving { .. }) {
            self.reserved.insert(index);
        }
    }
}

impl job::Job {
    /// Does what is due for a gang.
    pub(super) fn drive_gang(&mut self, step: &mut job::Step<'_>) {
        if self.recovering {
            return;
        }
        if self.spec.tasks > admission::MAX_GANG_TASKS {
            let detail = "the gang has too many tasks";
            self.fail(step.now, caller::Refusal::not_run(caller::RefusalKind::BadRequest, detail));
            return;
        }
        match self.gang.phase {
            Phase::Idle { .. } if self.active() > 0 || !self.gang.done.is_empty() => {
                self.resume_gang(step);
            }
            Phase::Idle { not_before } => self.reserve_gang(not_before, step),
            Phase::Reserving { since } => self.commit_gang(since, step),
            Phase::Running => self.finish_gang(step),
            Phase::Stopping { not_before } => {
                self.cancel_all(step.orders);
                if self.active() == 0 {
                    self.gang.phase = Phase::Idle { not_before };
                }
            }
        }
    }

    /// Goes on with the run of an earlier owner if it is whole, and gives it up otherwise.
    fn resume_gang(&mut self, step: &mut job::Step<'_>) {
        if self.running + self.gang.done.len() == self.size() {
            self.gang.phase = Phase::Running;
            self.finish_gang(step);
            return;
        }
        if !self.spec.repeatable {
            self.fail_once(0, None, step.now);
            return;
        }
        self.stop_gang(step.now, step);
    }

    fn size(&self) -> usize {
        usize::try_from(self.spec.tasks).unwrap_or(usize::MAX)
    }

    /// Reserves room for every task.
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

    /// Whether the fold says that the tasks may start. Asks for the entry if it does not.
    fn may_start_gang(&mut self, step: &mut job::Step<'_>) -> bool {
        if self.spec.repeatable {
            return true;
        }
        let Some(fold) = step.cluster.jobs.get(&self.id) else {
            return false;
        };
        if ranges::Ranges::of(&fold.started).len() >= self.spec.tasks {
            return true;
        }
        let again = self.asked_at.is_none_or(|at| step.now >= at + job::APPEND_AGAIN);
        if again && !step.cluster.log_away {
            self.asked_at = Some(step.now);
            let all = record::TaskRange { first: 0, end: self.spec.tasks };
            step.out
                .append(record::Entry::JobAttempts { job: self.id.clone(), started: vec![all] });
        }
        false
    }

    /// Starts the gang once room is reserved for all of it.
    fn commit_gang(&mut self, since: time::Duration, step: &mut job::Step<'_>) {
        if step.now >= since + step.options.gang_reserve {
            let detail = "room for the whole gang could not be reserved in time";
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
            step.orders.commit.push((self.task_id(*index), active.attempt));
        }
    }

    fn finish_gang(&mut self, step: &mut job::Step<'_>) {
        if self.gang.done.len() < self.size() {
            return;
        }
        self.done.insert_range(record::TaskRange { first: 0, end: self.spec.tasks });
        self.end(step.now, caller::JobPhase::Done, None);
        self.drive_end(step);
    }

    /// Gives a reservation up and tries again after a random wait, so that two gangs that hold
    /// what the other one needs do not meet again and again.
    fn back_off_gang(&mut self, step: &mut job::Step<'_>) {
        self.gang.refusals = self.gang.refusals.saturating_add(1);
        let wait = job::backoff(RESERVE_BACKOFF, RESERVE_BACKOFF_MAX, self.gang.refusals);
        let wait_ms = pier_core::clock::millis(wait);
        let random_ms = self.spread(step, self.gang.refusals, wait_ms);
        let not_before = step.now + wait / 2 + time::Duration::from_millis(random_ms);
        self.stop_gang(not_before, step);
    }

    fn stop_gang(&mut self, not_before: time::Duration, step: &mut job::Step<'_>) {
        self.gang.done.clear();
        self.gang.reserved.clear();
        self.gang.phase = Phase::Stopping { not_before };
        self.cancel_all(step.orders);
    }

    /// Takes a refusal of one task of the gang.
    pub(super) fn gang_refused(
        &mut self,
        index: u32,
        active: &job::Active,
        refusal: caller::Refusal,
        step: &mut job::Step<'_>,
    ) {
        if active.cancelled {
            return;
        }
        self.note(format!("task {index} attempt {}: {}", active.attempt, refusal.kind));
        self.last_refusal = Some(refusal);
        match self.gang.phase {
            Phase::Idle { .. } | Phase::Stopping { .. } => {}
            Phase::Reserving { .. } => self.back_off_gang(step),
            Phase::Running if self.spec.repeatable => self.back_off_gang(step),
            Phase::Running => self.fail_once(index, None, step.now),
        }
    }

    /// Takes the end of one task of the gang.
    pub(super) fn gang_ended(
        &mut self,
        index: u32,
        active: &job::Active,
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
            self.fail_once(index, kind, step.now);
            return;
        }
        let mut tries = 0;
        match kind {
            Some(task::EndKind::Failed) => {
                self.gang.failures = self.gang.failures.saturating_add(1);
                tries = self.gang.failures;
            }
            None => {
                self.gang.losses = self.gang.losses.saturating_add(1);
                tries = self.gang.losses;
            }
            _ => {}
        }
        if self.gang.failures >= step.options.max_attempts {
            self.fail(step.now, job::exhausted(index, self.gang.failures));
            return;
        }
        if self.gang.losses >= step.options.max_attempts.saturating_mul(job::LOSSES_PER_FAILURE) {
            self.fail(step.now, job::lost(index, self.gang.losses));
            return;
        }
        let wait = job::backoff(RUN_BACKOFF, RUN_BACKOFF_MAX, tries);
        self.stop_gang(step.now + wait, step);
    }
}

/// Whether the workers of the cell could hold all tasks of a gang at once if they were empty.
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
