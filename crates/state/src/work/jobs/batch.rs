//! The tasks of batch jobs and services, which start independently of each other.

use std::time;

use pier_core::{caller, ids, task};

use super::{job, ranges};
use crate::record;

/// The maximum number of tasks of a job that wait for a worker.
const MAX_QUEUED_PER_JOB: usize = 32;
/// The same limit for a non-repeatable job. It is small because a task that waits when the owner of
/// its job is lost must be treated as possibly started.
const MAX_QUEUED_PER_NON_REPEATABLE_JOB: usize = 8;
/// The initial backoff before a failed task is retried. It doubles with each failure.
const FAILURE_BACKOFF: time::Duration = time::Duration::from_secs(1);
/// The initial backoff before a refused task is placed again. It doubles with each consecutive
/// refusal.
const REFUSAL_BACKOFF: time::Duration = time::Duration::from_millis(250);
/// The maximum backoff before a refused task is placed again.
const REFUSAL_BACKOFF_MAX: time::Duration = time::Duration::from_secs(10);
/// The run time after which a service task counts as stable and its failure counts are reset.
const SERVICE_STABLE: time::Duration = time::Duration::from_secs(120);

impl job::Job {
    /// Places ready tasks until the limits of queued tasks are reached.
    pub(super) fn advance_tasks(&mut self, step: &mut job::Step<'_>) {
        if self.done.len() >= self.spec.tasks && !self.is_service() {
            self.end(step.now, caller::JobPhase::Done, None);
            self.advance_ending(step);
            return;
        }
        self.replace_outdated(step);
        if self.recovering || !step.may_place() {
            return;
        }
        if !self.spec.repeatable {
            self.place_non_repeatable(step);
            return;
        }
        let window = MAX_QUEUED_PER_JOB.min(step.job_queue_share.max(1));
        while self.queued < window && step.team_queue_left > 0 {
            let Some(index) = self.take_ready(step) else {
                break;
            };
            self.place(index, false, step);
        }
    }

    /// Places the tasks of a non-repeatable job whose `JobAttempts` entry is in the folded log, and
    /// appends the entry for the next tasks.
    fn place_non_repeatable(&mut self, step: &mut job::Step<'_>) {
        let Some(fold) = step.cluster.jobs.get(&self.id) else {
            return;
        };
        let started = ranges::Ranges::from_task_ranges(&fold.started);
        let pending_starts = std::mem::take(&mut self.pending_starts);
        for index in pending_starts.indices() {
            if !started.contains(index) {
                self.pending_starts.insert(index);
                continue;
            }
            self.place(index, false, step);
        }
        let mut has_new = false;
        let queued_or_pending = |job: &Self| {
            job.queued + usize::try_from(job.pending_starts.len()).unwrap_or(usize::MAX)
        };
        while queued_or_pending(self) < MAX_QUEUED_PER_NON_REPEATABLE_JOB
            && step.team_queue_left > 0
        {
            let Some(index) = self.take_ready(step) else {
                break;
            };
            // The task was refused before, and its entry is already in the folded log.
            if started.contains(index) {
                self.place(index, false, step);
                continue;
            }
            self.pending_starts.insert(index);
            has_new = true;
        }
        let again = self
            .start_entry_appended_at
            .is_none_or(|at| step.now >= at + job::APPEND_RETRY_INTERVAL);
        if self.pending_starts.len() == 0 || step.cluster.log_unreachable || !(has_new || again) {
            return;
        }
        self.start_entry_appended_at = Some(step.now);
        step.out.append(record::Entry::JobAttempts {
            job: self.id.clone(),
            started: self.pending_starts.to_vec(),
        });
    }

    /// Takes the next task that may be placed now.
    fn take_ready(&mut self, step: &job::Step<'_>) -> Option<u32> {
        loop {
            let index = match self.waiting.first().copied() {
                Some((not_before, index)) if not_before <= step.now => {
                    self.waiting.remove(&(not_before, index));
                    index
                }
                _ => self.take_untried()?,
            };
            if index >= self.spec.tasks
                || self.done.contains(index)
                || self.pending_starts.contains(index)
            {
                continue;
            }
            let Some(lapses_at) = self.orphan_until(index, step.now) else {
                return Some(index);
            };
            self.wait_until(index, lapses_at);
        }
    }

    fn take_untried(&mut self) -> Option<u32> {
        while self.next_untried < self.spec.tasks {
            let index = self.next_untried;
            self.next_untried += 1;
            if !self.tasks.contains_key(&index) {
                return Some(index);
            }
        }
        None
    }

    pub(super) fn on_refused(
        &mut self,
        index: u32,
        active: &job::ActiveAttempt,
        refusal: caller::Refusal,
        step: &mut job::Step<'_>,
    ) {
        if self.ending.is_some() {
            return;
        }
        if self.spec.class == task::Class::Gang {
            self.on_gang_task_refused(index, active, refusal, step);
            return;
        }
        if active.cancelled {
            self.wait_until(index, step.now);
            return;
        }
        self.record_history(format!("task {index} attempt {}: {}", active.attempt, refusal.kind));
        self.last_refusal = Some(refusal);
        let task = self.tasks.entry(index).or_default();
        task.refusals = task.refusals.saturating_add(1);
        let wait = job::backoff(REFUSAL_BACKOFF, REFUSAL_BACKOFF_MAX, task.refusals);
        self.wait_until(index, step.now + wait);
    }

    pub(super) fn on_ended(
        &mut self,
        index: u32,
        active: &job::ActiveAttempt,
        kind: Option<task::EndKind>,
        worker: Option<ids::WorkerId>,
        step: &mut job::Step<'_>,
    ) {
        if self.ending.is_some() {
            if kind == Some(task::EndKind::Done) && self.spec.class == task::Class::Batch {
                self.mark_done(index);
            }
            return;
        }
        if kind != Some(task::EndKind::Done) {
            let how = kind.map_or_else(|| "unknown".to_owned(), |kind| kind.to_string());
            let place = worker.map_or_else(String::new, |worker| format!(" on worker {worker}"));
            self.record_history(format!("task {index} attempt {}: {how}{place}", active.attempt));
        }
        if self.spec.class == task::Class::Gang {
            self.on_gang_task_ended(index, active, kind, step);
            return;
        }
        if kind == Some(task::EndKind::Done) && !self.is_service() {
            self.mark_done(index);
            return;
        }
        if !self.spec.repeatable {
            self.fail_non_repeatable(index, kind, step.now);
            return;
        }
        self.retry(index, active, kind, step);
    }

    /// Schedules the next attempt of a repeatable task, or fails the job.
    fn retry(
        &mut self,
        index: u32,
        active: &job::ActiveAttempt,
        kind: Option<task::EndKind>,
        step: &mut job::Step<'_>,
    ) {
        let stable = step.now.saturating_sub(active.since) >= SERVICE_STABLE;
        let service = self.is_service();
        let task = self.tasks.entry(index).or_default();
        if service && stable {
            task.failures = 0;
            task.unknown_ends = 0;
        }
        task.refusals = 0;
        let tries = match kind {
            _ if active.cancelled => 0,
            Some(task::EndKind::Failed | task::EndKind::Done) => {
                task.failures = task.failures.saturating_add(1);
                task.failures
            }
            None => {
                task.unknown_ends = task.unknown_ends.saturating_add(1);
                task.unknown_ends
            }
            Some(task::EndKind::Checkpointed | task::EndKind::Stopped | task::EndKind::Lapsed) => 0,
        };
        let (failures, unknown_ends) = (task.failures, task.unknown_ends);
        if !service && failures >= step.options.max_attempts {
            self.fail(step.now, job::attempts_exhausted(index, failures));
            return;
        }
        if !service
            && unknown_ends
                >= step.options.max_attempts.saturating_mul(job::UNKNOWN_ENDS_PER_FAILURE)
        {
            self.fail(step.now, job::too_many_unknown_ends(index, unknown_ends));
            return;
        }
        self.wait_until(
            index,
            step.now + job::backoff(FAILURE_BACKOFF, job::FAILURE_BACKOFF_MAX, tries),
        );
    }

    /// Fails a non-repeatable job after an attempt that did not end as done.
    pub(super) fn fail_non_repeatable(
        &mut self,
        index: u32,
        kind: Option<task::EndKind>,
        now: time::Duration,
    ) {
        let reason = match kind {
            Some(kind) => caller::Refusal {
                kind: caller::RefusalKind::AttemptsExhausted,
                detail: format!("task {index} ended as {kind} and is not repeatable"),
                outcome: caller::Outcome::Ran,
                retry_after_ms: None,
            },
            None => caller::Refusal::unknown(
                caller::RefusalKind::WorkerLost,
                format!("the outcome of task {index} is unknown and it is not repeatable"),
            ),
        };
        self.fail(now, reason);
    }

    pub(super) fn mark_done(&mut self, index: u32) {
        if let Some(task) = self.tasks.remove(&index) {
            self.waiting.remove(&(task.not_before, index));
        }
        self.done.insert(index);
    }

    pub(super) fn wait_until(&mut self, index: u32, not_before: time::Duration) {
        let task = self.tasks.entry(index).or_default();
        let old = std::mem::replace(&mut task.not_before, not_before);
        self.waiting.remove(&(old, index));
        self.waiting.insert((not_before, index));
    }
}
