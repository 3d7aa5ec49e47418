//! The attempts of a job's tasks.

use std::time;

use pier_core::{ids, task};

use super::job;
use crate::work::placement;

/// The number of low bits of an attempt number that count the attempts of one epoch. A task that
/// has used all 16,384 numbers of an epoch waits for the next epoch, so that two owners never use
/// the same number. At the maximum backoff this takes eleven days of failures.
const ATTEMPT_BITS: u32 = 14;
/// The number of epochs that attempt numbers distinguish. They wrap around after years.
const ATTEMPT_EPOCHS: u64 = 1 << (ids::Attempt::BITS - ATTEMPT_BITS);

/// Whether the attempt was placed in an epoch before `epoch`, according to its number.
///
/// A request to place such an attempt may be so late that another host owned the job in between and
/// placed the task again. Numbers below those of the first epoch do not identify an epoch.
pub fn is_from_earlier_epoch(attempt: ids::Attempt, epoch: ids::Epoch) -> bool {
    let placed_in = u64::from(attempt >> ATTEMPT_BITS);
    let epoch = epoch % ATTEMPT_EPOCHS;
    // The epochs in attempt numbers wrap around, so the shorter distance decides which is earlier.
    let behind = (epoch + ATTEMPT_EPOCHS - placed_in) % ATTEMPT_EPOCHS;
    placed_in != 0 && behind != 0 && behind < ATTEMPT_EPOCHS / 2
}

impl job::Job {
    /// The time until which a cancelled attempt of an earlier owner may still run the task.
    pub(super) fn orphan_until(&self, index: u32, now: time::Duration) -> Option<time::Duration> {
        let mut until = None;
        let range = (index, 0)..=(index, ids::Attempt::MAX);
        for (_, lapses_at) in self.orphans.range(range) {
            if *lapses_at > now {
                until = until.max(Some(*lapses_at));
            }
        }
        until
    }

    /// The time until which any cancelled attempt of an earlier owner may still run.
    pub(super) fn orphans_until(&self) -> time::Duration {
        self.orphans.values().max().copied().unwrap_or_default()
    }

    /// Records a cancelled attempt of an earlier owner. The task is not placed while it may run.
    pub(super) fn add_orphan(&mut self, index: u32, attempt: ids::Attempt, until: time::Duration) {
        self.orphans.insert((index, attempt), until);
    }

    /// The next attempt number of a task; none if the numbers of this epoch are used up.
    fn next_attempt(&self, index: u32, epoch: ids::Epoch) -> Option<ids::Attempt> {
        let epoch_base = u32::try_from(epoch % ATTEMPT_EPOCHS).unwrap_or(0) << ATTEMPT_BITS;
        let mut last = self.tasks.get(&index).map_or(0, |task| task.last_attempt);
        for ((_, attempt), _) in self.orphans.range((index, 0)..=(index, ids::Attempt::MAX)) {
            last = last.max(*attempt);
        }
        // Numbers behind those of the epoch are from earlier epochs, also after a wraparound.
        let ahead = last.wrapping_sub(epoch_base);
        if ahead > ids::Attempt::MAX / 2 {
            return Some(epoch_base + 1);
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
        step.commands.place.push(placement::Placement {
            spec,
            attempt,
            start_by: reserve.then_some(step.now + step.options.gang_reserve),
            deadline: self.spec.deadline,
            reserve,
        });
        let generation = self.generation;
        let task = self.tasks.entry(index).or_default();
        task.last_attempt = attempt;
        task.active = Some(job::ActiveAttempt {
            attempt,
            stage: job::Stage::Queued,
            cancelled: false,
            generation,
            since: step.now,
        });
        self.queued += 1;
        step.team_queue_left = step.team_queue_left.saturating_sub(1);
    }

    /// Handles an event of an attempt.
    pub(super) fn on_attempt_event(
        &mut self,
        index: u32,
        attempt: ids::Attempt,
        event: placement::AttemptEvent,
        step: &mut job::Step<'_>,
    ) {
        let current = self.tasks.get(&index).and_then(|task| task.active.as_ref());
        if current.is_none_or(|active| active.attempt != attempt) {
            self.on_orphan_event(index, attempt, &event, step);
            return;
        }
        match event {
            placement::AttemptEvent::Reserved => {
                self.set_stage(index, job::Stage::Reserved, step.now);
                self.gang.record_reserved(index);
            }
            placement::AttemptEvent::Started { worker } => {
                self.set_stage(index, job::Stage::Running(worker), step.now);
            }
            placement::AttemptEvent::NotRun { refusal } => {
                let active = self.take_active(index);
                self.on_refused(index, &active, refusal, step);
            }
            placement::AttemptEvent::Ended { end, worker } => {
                let active = self.take_active(index);
                self.on_ended(index, &active, end.map(|end| end.kind), worker, step);
            }
        }
    }

    /// Handles the end of an attempt that is not the active one: a cancelled attempt, or one of an
    /// earlier owner whose end arrives before the list from the owner of its worker.
    fn on_orphan_event(
        &mut self,
        index: u32,
        attempt: ids::Attempt,
        event: &placement::AttemptEvent,
        step: &mut job::Step<'_>,
    ) {
        let kind = match event {
            placement::AttemptEvent::Reserved | placement::AttemptEvent::Started { .. } => return,
            placement::AttemptEvent::NotRun { .. } => None,
            placement::AttemptEvent::Ended { end, .. } => Some(end.as_ref().map(|end| end.kind)),
        };
        if index >= self.spec.tasks || self.done.contains(index) {
            return;
        }
        let was_orphan = self.orphans.remove(&(index, attempt)).is_some();
        let task = self.tasks.entry(index).or_default();
        if attempt <= task.last_ended {
            return;
        }
        let current = task.active.as_ref().map(|active| active.attempt);
        if current.is_none_or(|current| attempt < current) {
            task.last_ended = attempt;
        }
        task.last_attempt = task.last_attempt.max(attempt);
        if let Some(kind) = kind {
            self.on_unadopted_end(index, kind, step);
        }
        let idle = self.tasks.get(&index).is_some_and(|task| task.active.is_none());
        if idle && (was_orphan || kind.is_some()) {
            self.wait_until(index, step.now);
        }
    }

    /// Handles the end of an attempt that ran and that this host has not adopted.
    fn on_unadopted_end(
        &mut self,
        index: u32,
        kind: Option<task::EndKind>,
        step: &mut job::Step<'_>,
    ) {
        let done = kind == Some(task::EndKind::Done);
        match self.spec.class {
            task::Class::Gang if done && self.recovering => self.gang.record_done(index),
            task::Class::Gang | task::Class::Service => {}
            _ if done => {
                if self.tasks.get(&index).is_some_and(|task| task.active.is_some()) {
                    self.cancel_task(index, step.commands);
                    self.take_active(index);
                }
                self.mark_done(index);
                return;
            }
            _ => {}
        }
        if !done && !self.spec.repeatable {
            self.fail_non_repeatable(index, kind, step.now);
        }
    }

    /// Moves the active attempt to a later stage. A delayed message cannot move it back.
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

    /// Removes the active attempt of a task and returns it.
    fn take_active(&mut self, index: u32) -> job::ActiveAttempt {
        let task = self.tasks.get_mut(&index).expect("the caller has found the task");
        let active = task.active.take().expect("the caller has found the attempt");
        task.last_ended = task.last_ended.max(active.attempt);
        match active.stage {
            job::Stage::Running(_) => self.running -= 1,
            job::Stage::Queued | job::Stage::Reserved => self.queued -= 1,
        }
        active
    }

    /// Cancels the active attempt of a task, which stays active until its end is known.
    pub(super) fn cancel_task(&mut self, index: u32, commands: &mut placement::Commands) {
        let id = self.task_id(index);
        let Some(active) = self.tasks.get_mut(&index).and_then(|task| task.active.as_mut()) else {
            return;
        };
        if active.cancelled {
            return;
        }
        active.cancelled = true;
        commands.cancel.push((id, active.attempt));
    }

    pub(super) fn cancel_all(&mut self, commands: &mut placement::Commands) {
        let mut indices = Vec::new();
        for (index, task) in &self.tasks {
            if task.active.is_some() {
                indices.push(*index);
            }
        }
        for index in indices {
            self.cancel_task(index, commands);
        }
    }

    /// Cancels the attempts that do not run yet, because another host becomes the job's owner.
    pub(super) fn cancel_queued(&self, commands: &mut placement::Commands) {
        for (index, task) in &self.tasks {
            let Some(active) = &task.active else {
                continue;
            };
            if active.cancelled || matches!(active.stage, job::Stage::Running(_)) {
                continue;
            }
            commands.cancel.push((self.task_id(*index), active.attempt));
        }
    }

    /// Handles an attempt that a worker owner tracks.
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
            // Only cancels the attempt. The end of an attempt that is already cancelled is awaited
            // elsewhere.
            step.commands.cancel.push(id);
            return;
        }
        let lapses_at = step.now + step.lease_with_margin();
        let task = self.tasks.entry(index).or_default();
        if attempt <= task.last_ended {
            return;
        }
        if let Some(active) = &task.active {
            if active.attempt == attempt {
                self.set_stage(index, job::Stage::Running(worker.clone()), step.now);
                return;
            }
            self.orphans.insert((index, attempt), lapses_at);
            step.commands.cancel.push(id);
            return;
        }
        task.last_attempt = task.last_attempt.max(attempt);
        task.active = Some(job::ActiveAttempt {
            attempt,
            stage: job::Stage::Running(worker.clone()),
            cancelled: false,
            generation: self.generation,
            since: step.now,
        });
        let not_before = task.not_before;
        self.waiting.remove(&(not_before, index));
        self.running += 1;
        step.commands.adopt.push(placement::Adoption {
            attempt: id,
            owner: owner.clone(),
            worker: worker.clone(),
        });
    }
}
