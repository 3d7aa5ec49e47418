//! Attempts of the tasks of one job.

use std::time;

use pier_core::{ids, task};

use super::job;
use crate::work::placement;

/// The number of low bits of an attempt number that count the attempts of one epoch. A task that
/// uses up the 16,384 numbers of an epoch waits for the next epoch: at the longest back-off that
/// takes eleven days of failures, and numbers that two owners could both use would be worse.
const ATTEMPT_BITS: u32 = 14;
/// The epochs that attempt numbers tell apart. They come around after years.
const ATTEMPT_EPOCHS: u64 = 1 << (ids::Attempt::BITS - ATTEMPT_BITS);

/// Whether the number says that the attempt was placed in an epoch before `epoch`.
///
/// A request to place such an attempt may be so late that the job has had another owner in
/// between, who has placed the task again. Numbers below those of the first epoch say nothing.
pub fn placed_before(attempt: ids::Attempt, epoch: ids::Epoch) -> bool {
    let placed_in = u64::from(attempt >> ATTEMPT_BITS);
    let epoch = epoch % ATTEMPT_EPOCHS;
    // The epochs of attempt numbers come around, so only the shorter way tells which is earlier.
    let behind = (epoch + ATTEMPT_EPOCHS - placed_in) % ATTEMPT_EPOCHS;
    placed_in != 0 && behind != 0 && behind < ATTEMPT_EPOCHS / 2
}

impl job::Job {
    /// Until when a cancelled attempt of an earlier owner may still run.
    pub(super) fn orphan_until(&self, index: u32, now: time::Duration) -> Option<time::Duration> {
        let mut until = None;
        let range = (index, 0)..=(index, ids::Attempt::MAX);
        for (_, lapse) in self.orphans.range(range) {
            if *lapse > now {
                until = until.max(Some(*lapse));
            }
        }
        until
    }

    /// Until when any cancelled attempt of an earlier owner may still run.
    pub(super) fn orphans_until(&self) -> time::Duration {
        self.orphans.values().max().copied().unwrap_or_default()
    }

    /// Keeps a task from being placed while a cancelled attempt of an earlier owner may run.
    pub(super) fn add_orphan(&mut self, index: u32, attempt: ids::Attempt, until: time::Duration) {
        self.orphans.insert((index, attempt), until);
    }

    /// The next attempt number of a task; none if this epoch has no more.
    fn next_attempt(&self, index: u32, epoch: ids::Epoch) -> Option<ids::Attempt> {
        let low = u32::try_from(epoch % ATTEMPT_EPOCHS).unwrap_or(0) << ATTEMPT_BITS;
        let mut last = self.tasks.get(&index).map_or(0, |task| task.last_attempt);
        for ((_, attempt), _) in self.orphans.range((index, 0)..=(index, ids::Attempt::MAX)) {
            last = last.max(*attempt);
        }
        // Numbers behind those of the epoch are old, also after the epochs have come around.
        let ahead = last.wrapping_sub(low);
        if ahead > ids::Attempt::MAX / 2 {
            return Some(low + 1);
        }
        (ahead + 1 < 1 << ATTEMPT_BITS).then(|| last + 1)
    }

    /// Places a new attempt of a task.
    pub(super) fn place(&mut self, index: u32, reserve: bool, step: &mut job::Step<'_>) {
        let Some(attempt) = self.next_attempt(index, step.cluster.epoch) else {
            self.wait_until(index, step.now + job::FAILURE_BACKOFF_MAX);
            return;
        };
        let spec = task::TaskSpec {
            task: self.task_id(index),
            job: Some(self.id.clone()),
            team: self.spec.team.clone(),
            queue: self.spec.queue.clone(),
            class: self.spec.class,
            resources: self.spec.resources,
            repeatable: self.spec.repeatable,
            run_estimate_ms: self.spec.run_estimate_ms,
            checkpoint_interval_ms: self.spec.checkpoint_interval_ms,
            payload: self.spec.payload.clone(),
        };
        step.orders.place.push(placement::Placement {
            spec,
            attempt,
            start_by: reserve.then_some(step.now + step.options.gang_reserve),
            deadline: self.spec.deadline,
            reserve,
        });
        let generation = self.generation;
        let task = self.tasks.entry(index).or_default();
        task.last_attempt = attempt;
        task.active = Some(job::Active {
            attempt,
            stage: job::Stage::Queued,
            cancelled: false,
            generation,
            since: step.now,
        });
        self.queued += 1;
        step.team_room = step.team_room.saturating_sub(1);
    }

    /// Takes what placement tells of an attempt.
    pub(super) fn on_placed(
        &mut self,
        index: u32,
        attempt: ids::Attempt,
        placed: placement::AttemptEvent,
        step: &mut job::Step<'_>,
    ) {
        let current = self.tasks.get(&index).and_then(|task| task.active.as_ref());
        if current.is_none_or(|active| active.attempt != attempt) {
            self.on_orphan(index, attempt, &placed, step);
            return;
        }
        match placed {
            placement::AttemptEvent::Reserved => {
                self.set_stage(index, job::Stage::Reserved, step.now);
                self.gang.note_reserved(index);
            }
            placement::AttemptEvent::Started { worker } => {
                self.set_stage(index, job::Stage::Running(worker), step.now);
            }
            placement::AttemptEvent::NotRun { refusal } => {
                let active = self.close(index);
                self.on_refused(index, &active, refusal, step);
            }
            placement::AttemptEvent::Ended { end, worker } => {
                let active = self.close(index);
                self.on_ended(index, &active, end.map(|end| end.kind), worker, step);
            }
        }
    }

    /// Takes the end of an attempt that is not the current one: a cancelled one, or one of an
    /// earlier owner whose end comes before the list of the owner of its worker.
    fn on_orphan(
        &mut self,
        index: u32,
        attempt: ids::Attempt,
        placed: &placement::AttemptEvent,
        step: &mut job::Step<'_>,
    ) {
        let kind = match placed {
            placement::AttemptEvent::Reserved | placement::AttemptEvent::Started { .. } => return,
            placement::AttemptEvent::NotRun { .. } => None,
            placement::AttemptEvent::Ended { end, .. } => Some(end.as_ref().map(|end| end.kind)),
        };
        if index >= self.spec.tasks || self.done.contains(index) {
            return;
        }
        let was_orphan = self.orphans.remove(&(index, attempt)).is_some();
        let task = self.tasks.entry(index).or_default();
        if attempt <= task.closed {
            return;
        }
        let current = task.active.as_ref().map(|active| active.attempt);
        if current.is_none_or(|current| attempt < current) {
            task.closed = attempt;
        }
        task.last_attempt = task.last_attempt.max(attempt);
        if let Some(kind) = kind {
            self.on_foreign_end(index, kind, step);
        }
        let idle = self.tasks.get(&index).is_some_and(|task| task.active.is_none());
        if idle && (was_orphan || kind.is_some()) {
            self.wait_until(index, step.now);
        }
    }

    /// Takes the end of an attempt that ran and that this host has not adopted.
    fn on_foreign_end(
        &mut self,
        index: u32,
        kind: Option<task::EndKind>,
        step: &mut job::Step<'_>,
    ) {
        let done = kind == Some(task::EndKind::Done);
        match self.spec.class {
            task::Class::Gang if done && self.recovering => self.gang.note_done(index),
            task::Class::Gang | task::Class::Service => {}
            _ if done => {
                if self.tasks.get(&index).is_some_and(|task| task.active.is_some()) {
                    self.cancel_task(index, step.orders);
                    self.close(index);
                }
                self.mark_done(index);
                return;
            }
            _ => {}
        }
        if !done && !self.spec.repeatable {
            self.fail_once(index, kind, step.now);
        }
    }

    /// Moves an attempt to a later stage. A late message cannot move it back.
    pub(super) fn set_stage(&mut self, index: u32, stage: job::Stage, now: time::Duration) {
        let Some(active) = self.tasks.get_mut(&index).and_then(|task| task.active.as_mut()) else {
            return;
        };
        if matches!(active.stage, job::Stage::Running(_)) {
            return;
        }
        if matches!(stage, job::Stage::Running(_)) {
            active.since = now;
            self.queued -= 1;
            self.running += 1;
            self.last_refusal = None;
        }
        active.stage = stage;
    }

    /// Takes the current attempt off a task.
    fn close(&mut self, index: u32) -> job::Active {
        let task = self.tasks.get_mut(&index).expect("the caller has found the task");
        let active = task.active.take().expect("the caller has found the attempt");
        task.closed = task.closed.max(active.attempt);
        match active.stage {
            job::Stage::Running(_) => self.running -= 1,
            job::Stage::Queued | job::Stage::Reserved => self.queued -= 1,
        }
        active
    }

    /// Gives up the current attempt of a task. Its end is still waited for.
    pub(super) fn cancel_task(&mut self, index: u32, orders: &mut placement::Commands) {
        let id = self.task_id(index);
        let Some(active) = self.tasks.get_mut(&index).and_then(|task| task.active.as_mut()) else {
            return;
        };
        if active.cancelled {
            return;
        }
        active.cancelled = true;
        orders.cancel.push((id, active.attempt));
    }

    pub(super) fn cancel_all(&mut self, orders: &mut placement::Commands) {
        let mut indices = Vec::new();
        for (index, task) in &self.tasks {
            if task.active.is_some() {
                indices.push(*index);
            }
        }
        for index in indices {
            self.cancel_task(index, orders);
        }
    }

    /// Cancels the attempts that do not run, before another host becomes the job's owner.
    pub(super) fn cancel_queued(&self, orders: &mut placement::Commands) {
        for (index, task) in &self.tasks {
            let Some(active) = &task.active else {
                continue;
            };
            if active.cancelled || matches!(active.stage, job::Stage::Running(_)) {
                continue;
            }
            orders.cancel.push((self.task_id(*index), active.attempt));
        }
    }

    /// Takes an attempt that an owner of workers counts.
    pub(super) fn on_held(
        &mut self,
        index: u32,
        attempt: ids::Attempt,
        owner: &ids::HostId,
        worker: &ids::WorkerId,
        step: &mut job::Step<'_>,
    ) {
        let id = (self.task_id(index), attempt);
        if index >= self.spec.tasks || self.done.contains(index) || self.ending.is_some() {
            // The end of an attempt that is already cancelled is waited for elsewhere.
            step.orders.cancel.push(id);
            return;
        }
        let lapse = step.now + step.lease_end();
        let task = self.tasks.entry(index).or_default();
        if attempt <= task.closed {
            return;
        }
        if let Some(active) = &task.active {
            if active.attempt == attempt {
                self.set_stage(index, job::Stage::Running(worker.clone()), step.now);
                return;
            }
            self.orphans.insert((index, attempt), lapse);
            step.orders.cancel.push(id);
            return;
        }
        task.last_attempt = task.last_attempt.max(attempt);
        task.active = Some(job::Active {
            attempt,
            stage: job::Stage::Running(worker.clone()),
            cancelled: false,
            generation: self.generation,
            since: step.now,
        });
        let not_before = task.not_before;
        self.waiting.remove(&(not_before, index));
        self.running += 1;
        step.orders.adopt.push(placement::Adoption {
            attempt: id,
            owner: owner.clone(),
            worker: worker.clone(),
        });
    }
}
