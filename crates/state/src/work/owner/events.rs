//! Handles worker events and the ends of attempts.

use pier_core::{caller, ids, task, wire};

use super::{
    AttemptEnd, END_RETRY_INTERVAL, Owner, PREEMPT_RETRY_INTERVAL, RETRY_AFTER_MS, job_lease,
    send_end,
};
use crate::work::placement::AttemptId;
use crate::work::{closed, ledger, step};
use crate::{Effect, effect, event, message};

impl Owner {
    /// Handles a worker's answer to a start or to a preemption request.
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
            event::WorkerEvent::PreemptionReply { worker, task, attempt, mode: how, confirmed } => {
                self.on_preempted(step, ledger, &worker, (task, attempt), how, confirmed);
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
        // The worker counts the lease from the receipt of the start, which is in the past.
        let latest_end = step.now + job_lease(&self.options) + self.options.lease_margin;
        let Some(entry) = ledger.entry_mut(&id) else {
            return;
        };
        if entry.phase == ledger::Phase::Reserved {
            return;
        }
        entry.latest_end = entry.latest_end.min(latest_end);
        entry.phase = ledger::Phase::Running;
        entry.seen_at = Some(step.now);
        let origin = entry.origin.clone();
        let (task, attempt) = id;
        let worker_id = worker.clone();
        let message = message::PlaceMessage::Started { task, attempt, worker: worker_id };
        step.send_place(&origin, message);
        if let Some(own) = ledger.worker_mut(worker) {
            own.mark_reachable();
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
        if let Some(origin) = self.open_calls.remove(&id) {
            // The worker may have returned to this host.
            ledger.remove(&id);
            self.report_end(step, id, origin, None, Some(end), worker.clone());
            return;
        }
        if ledger.worker_of(&id) != Some(worker) {
            return;
        }
        if let Some(own) = ledger.worker_mut(worker) {
            own.mark_reachable();
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
        // The worker already knows the attempt, so it may have run.
        if refused_kind == Some(wire::WorkerRefusalKind::Duplicate) {
            self.on_start_unknown(step, ledger, worker, id);
            return;
        }
        let kind = caller::RefusalKind::WorkerLost;
        let refusal = caller::Refusal::not_run(kind, format!("worker {worker}: {reason}"))
            .with_retry_after(RETRY_AFTER_MS);
        if let Some(origin) = self.open_calls.remove(&id) {
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
        if let Some(origin) = self.open_calls.remove(&id) {
            self.closed.put(step.now, id, closed::Outcome::Closed);
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

    pub(super) fn on_preempted(
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
            ledger.set_preemption(&id, None);
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

    /// Counts a failed start against its worker.
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
        step.log_notice(effect::Notice::WorkerInBackoff { worker: worker.clone(), failures });
    }

    /// Removes an attempt that has certainly ended and reports its end to the origin.
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
            own.record_end(step.now, entry.started, end.kind);
        }
        let is_done = end.as_ref().is_some_and(|end| end.kind == task::EndKind::Done);
        if is_done && entry.started_here {
            let ran = step.now.saturating_sub(entry.started);
            self.queue_stats.record_run(step.now, &entry.labels, ran);
        }
        // The host that holds the call to the worker answers the origin of a request.
        if entry.labels.job.is_none() && !entry.own_call {
            self.closed.put(step.now, id, closed::Outcome::Closed);
            return;
        }
        self.report_end(step, id, entry.origin, entry.labels.job, end, worker);
    }

    /// Reports an end to its origin. The report is repeated until it is acknowledged.
    pub(super) fn report_end(
        &mut self,
        step: &mut step::Step<'_>,
        id: AttemptId,
        origin: ids::HostId,
        job: Option<ids::JobId>,
        end: Option<task::TaskEnd>,
        worker: ids::WorkerId,
    ) {
        let next_send = step.now + END_RETRY_INTERVAL;
        let ending = AttemptEnd { origin, job, end, worker, next_send };
        send_end(step, &id, &ending);
        self.ends.insert(id, ending);
    }

    /// Handles the origin's acknowledgement of an end.
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
            self.unfolded.keep(step, &id, ending);
        }
        self.closed.put(step.now, id, closed::Outcome::Closed);
    }

    /// Asks a worker to preempt a task. A request made shortly before is not repeated.
    pub(in crate::work) fn preempt(
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
        if let Some((last, at)) = entry.preemption
            && last == how
            && step.now < at + PREEMPT_RETRY_INTERVAL
        {
            return;
        }
        let Some(info) = step.cluster.workers.get(worker) else {
            return;
        };
        let Some(token) = info.token else {
            return;
        };
        step.out.push(Effect::WorkerPreempt {
            worker: worker.clone(),
            address: info.entry.address.clone(),
            token,
            task: id.0.clone(),
            attempt: id.1,
            mode: how,
        });
        self.counters.preemptions += 1;
        ledger.set_preemption(id, Some((how, step.now)));
    }
}
