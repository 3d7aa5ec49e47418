//! Scheduling decisions, reservations and starts.

use std::collections;
use std::time;

use pier_core::{caller, clock, ids, task, wire};
use pier_policy::view;

use super::{
    ActivePolicy, Arrival, DECIDE_INTERVAL, DecisionState, IMMEDIATE_DECISION_LIMIT,
    MAX_UNTAKEN_WAITS, Owner, RETRY_AFTER_MS, Reservation, job_lease, refresh_workers,
    running_attempt, worker_schedulable,
};
use crate::work::placement::AttemptId;
use crate::work::{fallback, ledger, step};
use crate::{Effect, effect, message, report};

impl Owner {
    /// Runs the policy and applies its decisions, if a decision was requested and is due.
    pub(in crate::work) fn decide(
        &mut self,
        step: &mut step::Step<'_>,
        state: &mut DecisionState<'_>,
    ) {
        let is_backlog_small = self.backlog.len() <= IMMEDIATE_DECISION_LIMIT;
        let is_due = is_backlog_small || step.now >= self.decided_at + DECIDE_INTERVAL;
        let is_requested = self.decide_now || (self.dirty && is_due);
        if !is_requested {
            return;
        }
        self.decide_now = false;
        self.dirty = false;
        self.decided_at = step.now;
        refresh_workers(step, state.ledger);
        if self.backlog.is_empty() || !step.cluster.may_start(step.now) {
            return;
        }
        let teams = state.usage.teams(step.cluster, state.ledger, state.limits);
        self.choose_policy(step);
        let Some(active) = &mut self.active else {
            return;
        };
        let view = view::View {
            now: step.now,
            pending: &self.backlog,
            workers: state.ledger.views(),
            teams: &teams,
            cell_total: step.cluster.cell_total,
        };
        let decisions = active.policy.decide(&view);
        let workers: Vec<ids::WorkerId> =
            state.ledger.views().iter().map(|view| view.worker.clone()).collect();
        let mut preemptions = Vec::new();
        for decision in &decisions {
            if let view::Decision::Preempt { worker, running, mode } = decision
                && let Some(id) = running_attempt(state.ledger, *worker, *running)
            {
                preemptions.push((id, *mode));
            }
        }
        for decision in decisions {
            match decision {
                view::Decision::Start { pending, worker } => {
                    if let Some(worker) = workers.get(worker) {
                        self.start(step, state, pending, worker);
                    }
                }
                view::Decision::Refuse { pending, kind } => {
                    self.refuse_waiting(step, pending, kind)
                }
                view::Decision::Preempt { .. } => {}
            }
        }
        for (id, how) in preemptions {
            self.preempt(step, state.ledger, &id, how);
        }
        self.record_blocked_teams(step, state);
    }

    /// Records the teams with a waiting task that exceeds the team's headroom. An urgent task is
    /// always recorded for an immediate report, because other tasks are preempted for it only
    /// within the team's headroom.
    pub(super) fn record_blocked_teams(
        &self,
        step: &step::Step<'_>,
        state: &mut DecisionState<'_>,
    ) {
        let mut checked: collections::BTreeSet<(&ids::TeamId, bool)> = collections::BTreeSet::new();
        for (_, task) in self.backlog.heads() {
            let is_urgent = task.class == task::Class::Urgent;
            if !checked.insert((&task.team, is_urgent)) {
                continue;
            }
            let used = state.ledger.team_used(&task.team);
            let headroom = state.limits.headroom(step.cluster, &task.team, &used);
            if task.resources.fits_in(&headroom) {
                continue;
            }
            if is_urgent || state.ledger.has_capacity(&task.resources) {
                state.limits.record_use(step.now, &task.team, &task.resources, is_urgent, false);
            } else {
                state.limits.record_queued(step.now, &task.team, &task.resources);
            }
        }
    }

    pub(super) fn choose_policy(&mut self, step: &step::Step<'_>) {
        let declared = &step.cluster.declaration.policy;
        let settings = pier_policy::Settings {
            waiting_weight_percent: declared.waiting_weight_percent,
            ..pier_policy::Settings::default()
        };
        if let Some(active) = &mut self.active
            && active.name == declared.name
        {
            if active.settings != settings {
                active.policy.configure(&settings);
                active.settings = settings;
            }
            return;
        }
        let mut policy = match pier_policy::by_name(&declared.name) {
            Some(policy) => policy,
            None => Box::new(fallback::FirstFit),
        };
        policy.configure(&settings);
        self.active = Some(ActivePolicy { name: declared.name.clone(), settings, policy });
    }

    /// Starts a waiting task on a worker or reserves capacity for it, if that is allowed.
    pub(super) fn start(
        &mut self,
        step: &mut step::Step<'_>,
        state: &mut DecisionState<'_>,
        slot: usize,
        worker: &ids::WorkerId,
    ) {
        let Some(arrival) = self.arrivals.get(&slot) else {
            return;
        };
        let is_late = arrival.start_by.is_some_and(|start_by| start_by <= step.now);
        if is_late || !self.may_use(step, worker) {
            return;
        }
        if !worker_schedulable(state.ledger, worker) {
            return;
        }
        let spec = &arrival.spec;
        let id = (spec.task.clone(), arrival.attempt);
        let (reserved_team, amount) = (spec.team.clone(), spec.resources);
        let is_urgent = spec.class == task::Class::Urgent;
        let estimate = self.backlog.get(slot).map(|task| task.run_estimate).unwrap_or_default();
        let headroom =
            state.limits.headroom(step.cluster, &spec.team, &state.ledger.team_used(&spec.team));
        let entry = ledger::Entry {
            labels: spec.to_labels(),
            resources: spec.resources,
            origin: arrival.origin.clone(),
            phase: ledger::Phase::Reserved,
            own_call: spec.job.is_none(),
            seen_at: None,
            latest_end: step.now + self.options.gang_reserve,
            end_seen_at: None,
            kept_at: step.now,
            renewed_at: step.now,
            preemption: None,
            started: step.now,
            started_here: true,
            ends: (!estimate.is_zero()).then(|| step.now + estimate),
            checkpoint_interval: time::Duration::from_millis(spec.checkpoint_interval_ms),
        };
        let reserved = match state.ledger.reserve(worker, &id, entry, &headroom) {
            Ok(reserved) => reserved,
            Err(error) => {
                self.counters.invariant_violations += 1;
                step.log_notice(effect::Notice::Invariant { error });
                return;
            }
        };
        state.limits.record_use(step.now, &reserved_team, &amount, is_urgent, true);
        let Some((pending, arrival)) = self.take_waiting(slot) else {
            return;
        };
        if self.waits.len() < MAX_UNTAKEN_WAITS {
            let waited = step.now.saturating_sub(pending.arrived);
            self.waits.push(report::Wait { class: pending.class, waited });
        }
        if !arrival.reserve {
            self.send_start(step, state.ledger, reserved, arrival);
            return;
        }
        let (task, attempt) = id.clone();
        step.send_place(&arrival.origin, message::PlaceMessage::Reserved { task, attempt });
        let until = step.now + self.options.gang_reserve;
        self.reservations.insert(id, Reservation { reserved, arrival, until });
    }

    /// Sends a start to a worker.
    pub(super) fn send_start(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        reserved: ledger::Reserved,
        arrival: Arrival,
    ) {
        let info = step.cluster.workers.get(&reserved.worker);
        let Some((info, token)) = info.and_then(|info| Some((info, info.token?))) else {
            ledger.give_back(&reserved);
            let refusal = caller::Refusal::not_run(
                caller::RefusalKind::NoRoom,
                "the worker is not owned by the host",
            );
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
        let latest_end = not_after + lease + self.options.lease_margin;
        if ledger.start(reserved, step.now, latest_end).is_none() {
            return;
        }
        self.counters.starts += 1;
        if spec.job.is_none() {
            // The worker answers a request only when it ends, so the origin is told now.
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

    /// Whether this host may start tasks on the worker at all.
    pub(super) fn may_use(&self, step: &step::Step<'_>, worker: &ids::WorkerId) -> bool {
        let Some(info) = step.cluster.workers.get(worker) else {
            return false;
        };
        info.token.is_some() && !info.closed && step.cluster.may_start(step.now) && !step.leaving
    }

    /// Starts a task for which capacity is reserved.
    pub(in crate::work) fn commit(
        &mut self,
        step: &mut step::Step<'_>,
        state: &mut DecisionState<'_>,
        from: &ids::HostId,
        id: AttemptId,
    ) {
        let Some(reservation) = self.reservations.remove(&id) else {
            if !self.answer_duplicate(step, state.ledger, from, &id) {
                let kind = caller::RefusalKind::NoRoom;
                let refusal = caller::Refusal::not_run(kind, "the reservation has expired");
                self.refuse(step, from, id, refusal);
            }
            return;
        };
        if reservation.until <= step.now || !self.may_use(step, &reservation.reserved.worker) {
            self.expire(step, state.ledger, id, &reservation);
            return;
        }
        self.send_start(step, state.ledger, reservation.reserved, reservation.arrival);
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
