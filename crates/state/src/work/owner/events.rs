//! Events of workers and ends of attempts.

use pier_core::{caller, ids, task, wire};

use super::{END_REPEAT, Ending, Owner, RETRY_AFTER_MS, YIELD_REPEAT, job_lease, send_end};
use crate::work::placement::AttemptId;
use crate::work::{ledger, memory, step};
use crate::{Effect, effect, event, message};

impl Owner {
    /// Takes what came from a worker about a start or a request to yield.
    pub(in crate::work) fn on_worker(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        event: event::WorkerEvent,
    ) {
        match event {
            event::WorkerEvent::Started { worker, task, attempt } => {
                self.on_started(step, ledger, &worker, (task, attempt));
            }
            event::WorkerEvent::Answered { worker, task, attempt, end } => {
                self.on_answered(step, ledger, &worker, (task, attempt), end);
            }
            event::WorkerEvent::NotStarted { worker, task, attempt, reason } => {
                self.on_not_started(step, ledger, &worker, (task, attempt), reason);
            }
            event::WorkerEvent::StartUnknown { worker, task, attempt } => {
                self.on_start_unknown(step, ledger, &worker, (task, attempt));
            }
            event::WorkerEvent::Yielded { worker, task, attempt, how, confirmed } => {
                self.on_yielded(step, ledger, &worker, (task, attempt), how, confirmed);
            }
            _ => {}
        }
    }

    pub(super) fn on_started(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        worker: &ids::WorkerId,
        id: AttemptId,
    ) {
        if ledger.worker_of(&id) != Some(worker) {
            return;
        }
        // The worker counts the lease from when it got the start, which is over.
        let gone_at = step.now + job_lease(&self.options) + self.options.lease_margin;
        let Some(entry) = ledger.entry_mut(&id) else {
            return;
        };
        if entry.phase == ledger::Phase::Reserved {
            return;
        }
        entry.gone_at = entry.gone_at.min(gone_at);
        entry.phase = ledger::Phase::Running;
        entry.seen_at = Some(step.now);
        let origin = entry.origin.clone();
        let (task, attempt) = id;
        let worker_id = worker.clone();
        let message = message::PlaceMessage::Started { task, attempt, worker: worker_id };
        step.send_place(&origin, message);
        if let Some(own) = ledger.worker_mut(worker) {
            own.reached();
            own.start_failures = 0;
        }
        self.dirty = true;
    }

    pub(super) fn on_answered(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        worker: &ids::WorkerId,
        id: AttemptId,
        end: task::TaskEnd,
    ) {
        if let Some(origin) = self.calls.remove(&id) {
            // The worker may have come back to this host.
            ledger.remove(&id);
            self.end(step, id, origin, None, Some(end), worker.clone());
            return;
        }
        if ledger.worker_of(&id) != Some(worker) {
            return;
        }
        if let Some(own) = ledger.worker_mut(worker) {
            own.reached();
            own.start_failures = 0;
        }
        self.finish(step, ledger, id, Some(end));
    }

    pub(super) fn on_not_started(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        worker: &ids::WorkerId,
        id: AttemptId,
        reason: event::NotStarted,
    ) {
        let refused_kind = match reason {
            event::NotStarted::Refused(kind) => Some(kind),
            event::NotStarted::NoConnection | event::NotStarted::Expired => None,
        };
        // The worker knows the attempt, so it may have run.
        if refused_kind == Some(wire::WorkerRefusalKind::Duplicate) {
            self.on_start_unknown(step, ledger, worker, id);
            return;
        }
        let kind = caller::RefusalKind::WorkerLost;
        let refusal = caller::Refusal::not_run(kind, format!("worker {worker}: {reason}"))
            .with_retry_after(RETRY_AFTER_MS);
        if let Some(origin) = self.calls.remove(&id) {
            self.refuse(step, &origin, id, refusal);
            return;
        }
        if ledger.worker_of(&id) != Some(worker) {
            return;
        }
        match ledger.entry(&id) {
            Some((_, entry)) if entry.phase == ledger::Phase::Starting => {}
            _ => return,
        }
        if reason != event::NotStarted::Expired {
            self.count_failure(step, ledger, worker);
        }
        if let Some((_, entry)) = ledger.remove(&id) {
            self.refuse(step, &entry.origin, id, refusal);
        }
        self.dirty = true;
    }

    pub(super) fn on_start_unknown(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        worker: &ids::WorkerId,
        id: AttemptId,
    ) {
        let (task, attempt) = id.clone();
        if let Some(origin) = self.calls.remove(&id) {
            self.memory.put(step.now, id, memory::Fate::Gone);
            step.send_place(&origin, message::PlaceMessage::Lost { task, attempt });
            return;
        }
        if ledger.worker_of(&id) != Some(worker) {
            return;
        }
        let Some(entry) = ledger.entry_mut(&id) else {
            return;
        };
        if entry.phase != ledger::Phase::Starting {
            return;
        }
        entry.phase = ledger::Phase::Lost;
        if entry.labels.job.is_none() {
            let origin = entry.origin.clone();
            step.send_place(&origin, message::PlaceMessage::Lost { task, attempt });
        }
        self.count_failure(step, ledger, worker);
    }

    pub(super) fn on_yielded(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        worker: &ids::WorkerId,
        id: AttemptId,
        how: task::PreemptionMode,
        confirmed: bool,
    ) {
        if ledger.worker_of(&id) != Some(worker) {
            return;
        }
        if !confirmed {
            ledger.set_yielding(&id, None);
            return;
        }
        let kind = match how {
            task::PreemptionMode::Checkpoint => task::EndKind::Checkpointed,
            task::PreemptionMode::Stop => task::EndKind::Stopped,
            task::PreemptionMode::Throttle => return,
        };
        let own_call = ledger.entry(&id).is_some_and(|(_, entry)| entry.own_call);
        let end = task::TaskEnd { kind, body: pier_core::body::Body::default() };
        self.finish(step, ledger, id, (!own_call).then_some(end));
    }

    /// Counts a start that was not carried out against its worker.
    pub(super) fn count_failure(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        worker: &ids::WorkerId,
    ) {
        let Some(own) = ledger.worker_mut(worker) else {
            return;
        };
        own.start_failures = own.start_failures.saturating_add(1);
        let failures = own.back_off(step.now);
        step.notice(effect::Notice::WorkerBacksOff { worker: worker.clone(), failures });
    }

    /// Takes an attempt whose end is certain off the ledger and tells its origin.
    pub(in crate::work) fn finish(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        id: AttemptId,
        end: Option<task::TaskEnd>,
    ) {
        if let Some(reservation) = self.reservations.remove(&id) {
            self.expire(step, ledger, id, &reservation);
            return;
        }
        let Some((worker, entry)) = ledger.remove(&id) else {
            return;
        };
        self.dirty = true;
        if let Some(own) = ledger.worker_mut(&worker)
            && let Some(end) = &end
        {
            own.note_end(step.now, entry.started, end.kind);
        }
        let done = end.as_ref().is_some_and(|end| end.kind == task::EndKind::Done);
        if done && entry.started_here {
            let ran = step.now.saturating_sub(entry.started);
            self.learned.note_run(step.now, &entry.labels, ran);
        }
        // The host that holds the call to the worker answers the origin of a request.
        if entry.labels.job.is_none() && !entry.own_call {
            self.memory.put(step.now, id, memory::Fate::Gone);
            return;
        }
        self.end(step, id, entry.origin, entry.labels.job, end, worker);
    }

    /// Tells the origin of an end until it is acknowledged.
    pub(super) fn end(
        &mut self,
        step: &mut step::Step<'_>,
        id: AttemptId,
        origin: ids::HostId,
        job: Option<ids::JobId>,
        end: Option<task::TaskEnd>,
        worker: ids::WorkerId,
    ) {
        let next_send = step.now + END_REPEAT;
        let ending = Ending { origin, job, end, worker, next_send };
        send_end(step, &id, &ending);
        self.ends.insert(id, ending);
    }

    /// Takes the acknowledgement of an end.
    pub(in crate::work) fn on_ended_ack(
        &mut self,
        step: &step::Step<'_>,
        from: &ids::HostId,
        id: AttemptId,
    ) {
        match self.ends.get(&id) {
            Some(ending) if ending.origin == *from => {}
            _ => return,
        }
        if let Some(ending) = self.ends.remove(&id) {
            self.kept.keep(step, &id, ending);
        }
        self.memory.put(step.now, id, memory::Fate::Gone);
    }

    /// Asks a worker to make a task yield. A request that was made shortly before is not repeated.
    pub(in crate::work) fn make_yield(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        id: &AttemptId,
        how: task::PreemptionMode,
    ) {
        let Some((worker, entry)) = ledger.entry(id) else {
            return;
        };
        if entry.phase == ledger::Phase::Reserved {
            return;
        }
        if let Some((last, at)) = entry.yielding
            && last == how
            && step.now < at + YIELD_REPEAT
        {
            return;
        }
        let Some(info) = step.cluster.workers.get(worker) else {
            return;
        };
        let Some(token) = info.token else {
            return;
        };
        step.out.push(Effect::WorkerYield {
            worker: worker.clone(),
            address: info.entry.address.clone(),
            token,
            task: id.0.clone(),
            attempt: id.1,
            how,
        });
        self.counters.yields += 1;
        ledger.set_yielding(id, Some((how, step.now)));
    }
}
