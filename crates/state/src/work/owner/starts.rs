//! Decisions, reservations and starts.

use std::collections;
use std::time;

use pier_core::{caller, clock, ids, task, wire};
use pier_policy::view;

use super::{
    Arrival, Books, Chosen, DECIDE_INTERVAL, FEW_WAITING, MAX_UNTAKEN_WAITS, Owner, RETRY_AFTER_MS,
    Reservation, job_lease, refresh_workers, running_attempt, worker_startable,
};
use crate::work::placement::AttemptId;
use crate::work::{fallback, ledger, step};
use crate::{Effect, effect, message, report};

impl Owner {
    /// Decides what starts, if there is reason to.
    pub(in crate::work) fn decide(&mut self, step: &mut step::Step<'_>, books: &mut Books<'_>) {
        let few = self.backlog.len() <= FEW_WAITING;
        let due = few || step.now >= self.decided_at + DECIDE_INTERVAL;
        let asked = self.urgent || (self.dirty && due);
        if !asked {
            return;
        }
        self.urgent = false;
        self.dirty = false;
        self.decided_at = step.now;
        refresh_workers(step, books.ledger);
        if self.backlog.is_empty() || !step.cluster.may_start(step.now) {
            return;
        }
        let teams = books.usage.teams(step.cluster, books.ledger, books.limits);
        self.choose_policy(step);
        let Some(chosen) = &mut self.chosen else {
            return;
        };
        let view = view::View {
            now: step.now,
            pending: &self.backlog,
            workers: books.ledger.views(),
            teams: &teams,
            cell_total: step.cluster.cell_total,
        };
        let decisions = chosen.policy.decide(&view);
        let workers: Vec<ids::WorkerId> =
            books.ledger.views().iter().map(|view| view.worker.clone()).collect();
        let mut yields = Vec::new();
        for decision in &decisions {
            if let view::Decision::Preempt { worker, running, mode } = decision
                && let Some(id) = running_attempt(books.ledger, *worker, *running)
            {
                yields.push((id, *mode));
            }
        }
        for decision in decisions {
            match decision {
                view::Decision::Start { pending, worker } => {
                    if let Some(worker) = workers.get(worker) {
                        self.start(step, books, pending, worker);
                    }
                }
                view::Decision::Refuse { pending, kind } => {
                    self.refuse_waiting(step, pending, kind)
                }
                view::Decision::Preempt { .. } => {}
            }
        }
        for (id, how) in yields {
            self.make_yield(step, books.ledger, &id, how);
        }
        self.note_short(step, books);
    }

    /// Notes the teams with a waiting task that does not fit in the team's room. An urgent task is
    /// reported at once in any case, because other work yields to it only within the team's room.
    pub(super) fn note_short(&self, step: &step::Step<'_>, books: &mut Books<'_>) {
        let mut looked_at: collections::BTreeSet<(&ids::TeamId, bool)> =
            collections::BTreeSet::new();
        for (_, view) in self.backlog.heads() {
            let is_urgent = view.class == task::Class::Urgent;
            if !looked_at.insert((&view.team, is_urgent)) {
                continue;
            }
            let used = books.ledger.team_used(&view.team);
            let room = books.limits.room(step.cluster, &view.team, &used);
            if view.resources.fits_in(&room) {
                continue;
            }
            if is_urgent || books.ledger.has_room(&view.resources) {
                books.limits.note_use(step.now, &view.team, &view.resources, is_urgent, false);
            } else {
                books.limits.note_queued(step.now, &view.team, &view.resources);
            }
        }
    }

    pub(super) fn choose_policy(&mut self, step: &step::Step<'_>) {
        let declared = &step.cluster.declaration.policy;
        let settings = pier_policy::Settings {
            waiting_weight_percent: declared.waiting_weight_percent,
            ..pier_policy::Settings::default()
        };
        if let Some(chosen) = &mut self.chosen
            && chosen.name == declared.name
        {
            if chosen.settings != settings {
                chosen.policy.configure(&settings);
                chosen.settings = settings;
            }
            return;
        }
        let mut policy = match pier_policy::by_name(&declared.name) {
            Some(policy) => policy,
            None => Box::new(fallback::FirstFit),
        };
        policy.configure(&settings);
        self.chosen = Some(Chosen { name: declared.name.clone(), settings, policy });
    }

    /// Starts a waiting task on a worker, or reserves room for it, if that is allowed.
    pub(super) fn start(
        &mut self,
        step: &mut step::Step<'_>,
        books: &mut Books<'_>,
        slot: usize,
        worker: &ids::WorkerId,
    ) {
        let Some(arrival) = self.arrivals.get(&slot) else {
            return;
        };
        let late = arrival.start_by.is_some_and(|start_by| start_by <= step.now);
        if late || !self.may_use(step, worker) {
            return;
        }
        if !worker_startable(books.ledger, worker) {
            return;
        }
        let spec = &arrival.spec;
        let id = (spec.task.clone(), arrival.attempt);
        let (reserved_team, amount) = (spec.team.clone(), spec.resources);
        let is_urgent = spec.class == task::Class::Urgent;
        let estimate = self.backlog.get(slot).map(|task| task.run_estimate).unwrap_or_default();
        let room = books.limits.room(step.cluster, &spec.team, &books.ledger.team_used(&spec.team));
        let entry = ledger::Entry {
            labels: spec.to_labels(),
            resources: spec.resources,
            origin: arrival.origin.clone(),
            phase: ledger::Phase::Reserved,
            own_call: spec.job.is_none(),
            seen_at: None,
            gone_at: step.now + self.options.gang_reserve,
            over_at: None,
            kept_at: step.now,
            renewed_at: step.now,
            yielding: None,
            started: step.now,
            started_here: true,
            ends: (!estimate.is_zero()).then(|| step.now + estimate),
            checkpoint_interval: time::Duration::from_millis(spec.checkpoint_interval_ms),
        };
        let reserved = match books.ledger.reserve(worker, &id, entry, &room) {
            Ok(reserved) => reserved,
            Err(error) => {
                self.counters.invariant_violations += 1;
                step.notice(effect::Notice::Invariant { error });
                return;
            }
        };
        books.limits.note_use(step.now, &reserved_team, &amount, is_urgent, true);
        let Some((pending, arrival)) = self.take_waiting(slot) else {
            return;
        };
        if self.waits.len() < MAX_UNTAKEN_WAITS {
            let waited = step.now.saturating_sub(pending.arrived);
            self.waits.push(report::Wait { class: pending.class, waited });
        }
        if !arrival.reserve {
            self.launch(step, books.ledger, reserved, arrival);
            return;
        }
        let (task, attempt) = id.clone();
        step.send_place(&arrival.origin, message::PlaceMessage::Reserved { task, attempt });
        let until = step.now + self.options.gang_reserve;
        self.reservations.insert(id, Reservation { reserved, arrival, until });
    }

    /// Hands a start out.
    pub(super) fn launch(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        reserved: ledger::Reserved,
        arrival: Arrival,
    ) {
        let info = step.cluster.workers.get(&reserved.worker);
        let Some((info, token)) = info.and_then(|info| Some((info, info.token?))) else {
            ledger.give_back(&reserved);
            let refusal = caller::Refusal::not_run(caller::RefusalKind::NoRoom, "no worker");
            self.refuse(step, &arrival.origin, reserved.attempt, refusal);
            return;
        };
        let mut not_after = step.cluster.authority_until.min(step.now + self.options.start_valid);
        if let Some(start_by) = arrival.start_by {
            not_after = not_after.min(start_by);
        }
        let spec = arrival.spec;
        let (kind, lease) = match spec.job {
            None => (wire::StartKind::Answer, self.options.request_lease),
            Some(_) => (wire::StartKind::Run, job_lease(&self.options)),
        };
        let worker = reserved.worker.clone();
        let gone_at = not_after + lease + self.options.lease_margin;
        if ledger.start(reserved, step.now, gone_at).is_none() {
            return;
        }
        self.counters.starts += 1;
        if spec.job.is_none() {
            // The worker answers a request at its end only.
            let (task, attempt) = (spec.task.clone(), arrival.attempt);
            let worker = worker.clone();
            let message = message::PlaceMessage::Started { task, attempt, worker };
            step.send_place(&arrival.origin, message);
        }
        let start = wire::StartTask {
            labels: spec.to_labels(),
            task: spec.task,
            attempt: arrival.attempt,
            token,
            lease_ms: clock::millis(lease),
            resources: spec.resources,
            kind,
            payload: spec.payload,
        };
        step.out.push(Effect::WorkerStart {
            worker,
            address: info.entry.address.clone(),
            not_after,
            start: start.into(),
        });
    }

    pub(super) fn refuse_waiting(
        &mut self,
        step: &mut step::Step<'_>,
        slot: usize,
        kind: caller::RefusalKind,
    ) {
        let Some((pending, arrival)) = self.take_waiting(slot) else {
            return;
        };
        let id = (pending.task, arrival.attempt);
        let refusal = caller::Refusal::not_run(kind, "the task cannot start in time");
        self.refuse(step, &arrival.origin, id, refusal.with_retry_after(RETRY_AFTER_MS));
    }

    /// Whether the worker may get work at all.
    pub(super) fn may_use(&self, step: &step::Step<'_>, worker: &ids::WorkerId) -> bool {
        let Some(info) = step.cluster.workers.get(worker) else {
            return false;
        };
        info.token.is_some() && !info.closed && step.cluster.may_start(step.now) && !step.leaving
    }

    /// Starts a reserved task.
    pub(in crate::work) fn commit(
        &mut self,
        step: &mut step::Step<'_>,
        books: &mut Books<'_>,
        from: &ids::HostId,
        id: AttemptId,
    ) {
        let Some(reservation) = self.reservations.remove(&id) else {
            if !self.answer_repeat(step, books.ledger, from, &id) {
                let kind = caller::RefusalKind::NoRoom;
                let refusal = caller::Refusal::not_run(kind, "the reservation has expired");
                self.refuse(step, from, id, refusal);
            }
            return;
        };
        if reservation.until <= step.now || !self.may_use(step, &reservation.reserved.worker) {
            self.expire(step, books.ledger, id, &reservation);
            return;
        }
        self.launch(step, books.ledger, reservation.reserved, reservation.arrival);
    }

    pub(super) fn expire(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        id: AttemptId,
        reservation: &Reservation,
    ) {
        ledger.give_back(&reservation.reserved);
        self.dirty = true;
        let kind = caller::RefusalKind::NoRoom;
        let refusal = caller::Refusal::not_run(kind, "the reservation has expired");
        self.refuse(step, &reservation.arrival.origin, id, refusal);
    }
}
