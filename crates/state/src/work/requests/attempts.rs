//! Handles updates on the attempts of a request, retries and timeouts.

use pier_core::{caller, ids};

use super::{
    CANCEL_GRACE, Commands, MAX_ATTEMPTS, PlaceCommand, RETRY_AFTER_MS, RETRY_COST, Requests,
    is_retryable,
};
use crate::effect;
use crate::work::origin::UpdateKind;
use crate::work::placement::{AttemptEvent, AttemptId};
use crate::work::step;

impl Requests {
    /// Handles an update on an attempt.
    pub(in crate::work) fn on_attempt_update(
        &mut self,
        step: &mut step::Step<'_>,
        id: &AttemptId,
        owner: Option<ids::HostId>,
        kind: UpdateKind,
    ) -> Commands {
        let mut commands = Commands::default();
        let Some(request) = self.open.get_mut(&id.0) else {
            return commands;
        };
        if request.attempt != id.1 {
            return commands;
        }
        match kind {
            UpdateKind::Event(AttemptEvent::Reserved) => {}
            UpdateKind::Event(AttemptEvent::Started { .. }) => self.mark_started(&id.0),
            UpdateKind::Lost => {
                request.tried.push(format!("attempt {}: its answer was lost", id.1));
                let repeatable = request.spec.repeatable;
                self.mark_started(&id.0);
                if !repeatable {
                    let kind = caller::RefusalKind::WorkerLost;
                    let refusal = caller::Refusal::unknown(kind, "the answer was lost");
                    self.answer_task(step, &id.0, effect::CallerAnswer::Refused(refusal));
                }
            }
            UpdateKind::Event(AttemptEvent::Ended { end: Some(end), .. }) => {
                let task = id.0.clone();
                self.report_end(&id.0, Some(end.clone()), &mut commands);
                self.answer_task(step, &id.0, effect::CallerAnswer::Task { task, end });
                self.close(&id.0);
            }
            UpdateKind::Event(AttemptEvent::Ended { end: None, .. }) => {
                request.tried.push(format!("attempt {}: ended without an answer", id.1));
                // The time limit for a start does not apply while the end of a lost attempt is
                // awaited.
                request.start_by = request.give_up_at;
                request.may_have_run = true;
                if self.may_retry(step, &id.0) && self.is_repeatable(&id.0) {
                    commands.place.extend(self.retry(&id.0));
                    return commands;
                }
                let kind = caller::RefusalKind::WorkerLost;
                let refusal = caller::Refusal::unknown(kind, "the answer was lost");
                self.answer_task(step, &id.0, effect::CallerAnswer::Refused(refusal));
                self.close(&id.0);
            }
            UpdateKind::Event(AttemptEvent::NotRun { refusal }) => {
                request.tried.push(format!("attempt {}: {}", id.1, refusal.kind));
                let can_retry = owner.is_some() && is_retryable(refusal.kind);
                // A failed worker is no reason to avoid the owner, which may have other workers.
                if refusal.kind != caller::RefusalKind::WorkerLost {
                    request.refused_by.extend(owner);
                }
                if can_retry && self.may_retry(step, &id.0) {
                    commands.place.extend(self.retry(&id.0));
                    return commands;
                }
                if self.open.get(&id.0).is_some_and(|request| !request.may_have_run) {
                    self.report_end(&id.0, None, &mut commands);
                }
                let refusal = self.final_refusal(step, &id.0, refusal);
                self.answer_task(step, &id.0, effect::CallerAnswer::Refused(refusal));
                self.close(&id.0);
            }
        }
        commands
    }

    pub(super) fn is_repeatable(&self, task: &ids::TaskId) -> bool {
        self.open.get(task).is_some_and(|request| request.spec.repeatable)
    }

    /// Whether another attempt is wanted and the retry budget allows it.
    pub(super) fn may_retry(&self, step: &step::Step<'_>, task: &ids::TaskId) -> bool {
        let Some(request) = self.open.get(task) else {
            return false;
        };
        request.ticket.is_some()
            && !request.cancelled
            && step.now < request.start_by
            && step.now < request.give_up_at
            && request.attempt < MAX_ATTEMPTS
            && self.retry_budget >= RETRY_COST
    }

    pub(super) fn retry(&mut self, task: &ids::TaskId) -> Option<PlaceCommand> {
        let request = self.open.get_mut(task)?;
        self.retry_budget -= RETRY_COST;
        self.counters.place_retries += 1;
        request.attempt += 1;
        if request.started {
            request.started = false;
            *self.backlog.entry(request.spec.queue.clone()).or_default() += 1;
        }
        Some(request.to_place_command())
    }

    /// The refusal that a caller gets whose request is given up.
    pub(super) fn final_refusal(
        &self,
        step: &step::Step<'_>,
        task: &ids::TaskId,
        refusal: caller::Refusal,
    ) -> caller::Refusal {
        let Some(request) = self.open.get(task) else {
            return refusal;
        };
        let deadline_passed = request.deadline.is_some_and(|deadline| deadline <= step.now);
        if request.may_have_run {
            return caller::Refusal { outcome: caller::Outcome::Unknown, ..refusal };
        }
        if deadline_passed {
            let kind = caller::RefusalKind::DeadlinePassed;
            return caller::Refusal::not_run(kind, "the deadline passed before the task started");
        }
        refusal
    }

    /// Cancels or gives up the requests that have timed out.
    pub(in crate::work) fn tick(&mut self, step: &mut step::Step<'_>) -> Commands {
        let mut commands = Commands::default();
        while let Some((at, task)) = self.timeouts.first().cloned() {
            if step.now < at {
                break;
            }
            self.timeouts.pop_first();
            let Some(request) = self.open.get_mut(&task) else {
                continue;
            };
            if request.ticket.is_none() {
                continue;
            }
            if request.awaiting_verdict {
                let kind = caller::RefusalKind::NoRoom;
                let refusal =
                    caller::Refusal::not_run(kind, "the idempotency key could not be checked");
                let refusal = refusal.with_retry_after(RETRY_AFTER_MS);
                let refusal = self.final_refusal(step, &task, refusal);
                self.report_end(&task, None, &mut commands);
                self.answer_task(step, &task, effect::CallerAnswer::Refused(refusal));
                self.close(&task);
                continue;
            }
            if !request.cancelled && !request.started {
                // The owner may still confirm that the request did not run.
                request.cancelled = true;
                request.give_up_at = step.now + CANCEL_GRACE;
                self.timeouts.insert((request.give_up_at, task.clone()));
                commands.cancel.push((task, request.attempt));
                continue;
            }
            let kind = caller::RefusalKind::DeadlinePassed;
            let refusal = caller::Refusal::unknown(kind, "no answer arrived in time");
            self.answer_task(step, &task, effect::CallerAnswer::Refused(refusal));
        }
        commands
    }
}
