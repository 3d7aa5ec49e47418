//! The scheduling pass: places waiting steps in the order of their ranks.

use std::collections::BTreeMap;
use std::sync;
use std::time;

use pier_core::ids;
use pier_core::map::Map;
use pier_core::resources::Resources;

use crate::decider::reclaim::Claims;
use crate::decider::room::RoomBounds;
use crate::decider::shares::PassOrder;
use crate::decider::{Context, Decider};
use crate::job::{AccountId, JobSpec, Step, StepIndex, TaskIndex, TaskRef};
use crate::place::{self, SpeedTolerance};
use crate::progress::Phase;
use crate::ranking::{self, Rank};
use crate::run::{Run, RunPhase};
use crate::worker::WorkerIncarnation;

/// The maximum number of gangs that reserve workers at the same time. More would leave too little
/// for the steps behind them.
const MAX_GANGS_RESERVING_WORKERS: usize = 2;

/// How long a step waits for a worker that is fast enough. After that any worker will do, because a
/// step must not wait while resources are free.
const MAX_FAST_WORKER_WAIT: time::Duration = time::Duration::from_millis(1_200);

/// How long a part of an account's limit stays reserved for one of its gangs while the account uses
/// at most half of the limit, and how long a step waits behind that.
const MAX_UNDERUSED_RESERVATION: time::Duration = time::Duration::from_millis(1_500);

/// A step that has tasks ready to start.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub(super) rank: Rank,
    pub(super) speed_tolerance: SpeedTolerance,
    pub(super) job: ids::JobId,
    pub(super) step: StepIndex,
    pub(super) spec: sync::Arc<JobSpec>,
    pub(super) waiting: Vec<TaskIndex>,
    /// The expected run time of a task.
    pub(super) run_time: time::Duration,
}

impl Candidate {
    pub(super) fn step(&self) -> &Step {
        &self.spec.steps[self.step]
    }

    pub(super) fn key(&self) -> (ids::JobId, StepIndex) {
        (ids::JobId::clone(&self.job), self.step)
    }
}

/// The part of an account's limit that steps behind a gang leave to it.
#[derive(Debug)]
pub(super) struct LimitReservation {
    gang: (ids::JobId, StepIndex),
    need: Resources,
}

impl Decider {
    /// Places waiting steps, and requests advice for those that need it first.
    pub(super) fn schedule(&mut self, context: &mut Context<'_>) {
        if !self.has_worker_list {
            return;
        }
        let mut candidates = self.candidates(context);
        self.update_waiting_since(context.now, &mut candidates);
        self.build_forecasts(context, &candidates);
        let mut limit_reservations: Map<AccountId, LimitReservation> = Map::default();
        let mut reserving_gangs = 0;
        let mut reserving_steps = Vec::new();
        let mut gang_pass = self.begin_load_pass(context, &candidates);
        self.reclaim.begin_pass(context.now, &candidates, &self.runs);
        self.shares.divide(context, &self.workers, &self.runs, &candidates);
        let mut order = PassOrder::new(candidates);
        let mut room = RoomBounds::default();
        let mut claims = Claims::default();
        while let Some((candidate, within)) = self.shares.next_candidate(&mut order) {
            let candidate = &candidate;
            let Some(queue) = context.declaration.queue(&candidate.spec.queue) else {
                continue;
            };
            let mut limit = self.account_left(context, candidate);
            if let Some(account) = &candidate.spec.account
                && let Some(reservation) = limit_reservations.get(account)
            {
                let waiting_since = self.waiting_since.get(&candidate.key()).copied();
                limit = self.account_left_unreserved(
                    context,
                    account,
                    &reservation.need,
                    waiting_since,
                );
            }
            let step = candidate.step();
            if !step.need.fits_in(&limit) {
                continue;
            }
            let waiting = candidate.waiting.len();
            if step.gang && place::fit_count(&step.need, &limit) < waiting {
                // Steps behind the gang must not use up the account's limit bit by bit.
                if let Some(account) = &candidate.spec.account
                    && !limit_reservations.contains_key(account)
                    && self.could_run_whole(context, candidate, queue)
                {
                    let need = step.need.scaled(u64::try_from(waiting).unwrap_or(u64::MAX), 1);
                    let reservation = LimitReservation { gang: candidate.key(), need };
                    limit_reservations.insert(AccountId::clone(account), reservation);
                }
                continue;
            }
            // Without a ticket or an idle host to request one, nothing can be done for the step
            // now.
            let has_ticket = queue.advice.is_none()
                || self
                    .advice
                    .get(&candidate.key())
                    .is_some_and(|advice| advice.has_ticket(context.now));
            if !has_ticket
                && (gang_pass.is_none() || !step.gang)
                && self.idle_adviser_host().is_none()
            {
                self.note_waiting(context, &mut room, candidate, queue, has_ticket);
                continue;
            }
            let at_once = if step.gang { waiting } else { 1 };
            // Few workers have a ticket, so that looking at them costs less than the bound.
            let has_room = queue.advice.is_some()
                || self.room_bound(context, &mut room, queue, &step.need) >= at_once
                || self.has_reserved(candidate);
            let mut workers = if has_room {
                self.dispatchable_workers(context, candidate, queue)
            } else {
                Vec::new()
            };
            if let Some(pass) = &gang_pass
                && step.gang
                && !self.may_use_failed(candidate)
            {
                workers.retain(|worker| !pass.has_failed(&worker.worker));
            }
            let placed = place::place(
                candidate.step(),
                within,
                &limit,
                &candidate.speed_tolerance,
                &mut workers,
            );
            for (index, position) in candidate.waiting.iter().zip(&placed) {
                self.assign(context, candidate, *index, &workers[*position].worker);
            }
            self.shares.charge(candidate, placed.len());
            if placed.len() == waiting {
                if gang_pass.is_some() && step.gang {
                    self.on_gang_assigned(context, candidate);
                }
                continue;
            }
            if placed.len() == within {
                order.defer_rest(candidate, within);
                continue;
            }
            claims.record_waiting(context, candidate, queue, placed.len(), &limit);
            if has_room && queue.advice.is_none() && step.required_label.is_none() {
                room.record(queue, &step.need, &workers);
            }
            if place::fit_count(&step.need, &limit) > placed.len() {
                self.note_waiting(context, &mut room, candidate, queue, has_ticket);
            }
            if let Some(pass) = &mut gang_pass {
                self.prepare_start(context, pass, candidate, queue, &limit);
                continue;
            }
            let mut has_reservation = false;
            if candidate.step().gang
                && reserving_gangs < MAX_GANGS_RESERVING_WORKERS
                && self.shares.may_reserve(context, candidate)
            {
                let reserved_before = self.gangs.whole_workers.len();
                has_reservation = self.reserve_workers(context, candidate, queue, &limit);
                if has_reservation || self.gangs.whole_workers.len() != reserved_before {
                    // Workers that were reserved before may be open now.
                    room = RoomBounds::default();
                }
                if has_reservation {
                    reserving_gangs += 1;
                    reserving_steps.push(candidate.key());
                }
            }
            if let Some(terms) = queue.advice {
                self.request_advice(context, candidate, queue, terms, &limit, has_reservation);
            }
        }
        if let Some(pass) = &gang_pass {
            self.report_gang_levels(pass);
        }
        self.shares.report(context, &mut self.load_report);
        self.reclaim(context, claims);
        self.below_half_since.retain(|account, _| limit_reservations.contains_key(account));
        self.set_limit_reservations(limit_reservations);
        self.gangs.whole_workers.retain(|_, (job, step, _)| {
            reserving_steps.iter().any(|(reserving_job, reserving_step)| {
                reserving_job == job && reserving_step == step
            })
        });
    }

    /// Keeps the reservations of this pass, and logs those that have changed since the last one.
    fn set_limit_reservations(&mut self, reservations: Map<AccountId, LimitReservation>) {
        for (account, reservation) in &reservations {
            let before = self.limit_reservations.get(account);
            if before.is_some_and(|before| before.gang == reservation.gang) {
                continue;
            }
            let (job, step) = &reservation.gang;
            tracing::info!(%account, %job, step, cpu_milli = reservation.need.cpu_milli,
                "reserved a part of the account's limit for a gang");
        }
        for (account, before) in &self.limit_reservations {
            if !reservations.contains_key(account) {
                tracing::info!(%account, job = %before.gang.0, step = before.gang.1,
                    "released the account's limit");
            }
        }
        self.limit_reservations = reservations;
    }

    /// Updates since when each step waits, and lifts the slowdown limits of steps that have waited
    /// for long.
    fn update_waiting_since(&mut self, now: time::Duration, candidates: &mut [Candidate]) {
        let before = std::mem::take(&mut self.waiting_since);
        let mut waiting_since = BTreeMap::new();
        for candidate in candidates {
            let key = candidate.key();
            let since = before.get(&key).copied().unwrap_or(now);
            if now >= since.saturating_add(MAX_FAST_WORKER_WAIT) {
                candidate.speed_tolerance.max_slowdown = f64::INFINITY;
                candidate.speed_tolerance.cross_rack_slowdown = 1.0;
            }
            waiting_since.insert(key, since);
        }
        self.waiting_since = waiting_since;
    }

    /// The steps that may start, in order of rank.
    fn candidates(&self, context: &Context<'_>) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for id in context.cell_state.live.keys() {
            self.push_candidates(context, id, &mut candidates);
        }
        candidates.sort_by(|a, b| (a.rank, &a.job, a.step).cmp(&(b.rank, &b.job, b.step)));
        candidates
    }

    pub(super) fn push_candidates(
        &self,
        context: &Context<'_>,
        id: &ids::JobId,
        candidates: &mut Vec<Candidate>,
    ) {
        let Some(job) = context.cell_state.live.get(id) else {
            return;
        };
        let Some(queue) = context.declaration.queue(&job.spec.queue) else {
            return;
        };
        if job.progress.final_state.is_some() {
            return;
        }
        let mut critical_paths = None;
        let has_runs = self.has_runs(id);
        for (step, tasks) in job.progress.steps.iter().enumerate() {
            let mut waiting = Vec::new();
            for (index, task) in tasks.iter().enumerate() {
                if task.phase != Phase::Waiting {
                    continue;
                }
                let task_ref = TaskRef { job: ids::JobId::clone(id), step, index };
                if !has_runs || !self.runs.contains_key(&task_ref) {
                    waiting.push(index);
                }
            }
            let can_start_whole = !job.spec.steps[step].gang || waiting.len() == tasks.len();
            if waiting.is_empty() || !can_start_whole || !job.progress.is_ready(&job.spec, step) {
                continue;
            }
            let critical_paths = critical_paths
                .get_or_insert_with(|| self.remaining_critical_paths(context, &job.spec));
            let mut rank = ranking::rank(
                queue,
                &job.spec,
                job.accepted_wall_ms,
                context.wall_ms,
                critical_paths[step],
                self.shares.exceeded_bucket(id),
            );
            rank.promised_ms = self.admission.promised_ms(id);
            let speed_tolerance = ranking::speed_tolerance(
                rank,
                context.wall_ms,
                critical_paths[step],
                context.options.remote_slowdown,
            );
            candidates.push(Candidate {
                rank,
                speed_tolerance,
                job: ids::JobId::clone(id),
                step,
                spec: sync::Arc::clone(&job.spec),
                waiting,
                run_time: self.expected_run_time(context, &job.spec.queue, &job.spec.steps[step]),
            });
        }
    }

    /// The resources that another step of an account may use while a part of its limit is reserved
    /// for a gang. The reservation does not leave the limit unused for long: after a while, half of
    /// it can be used again, and all of it by a step that has waited as long.
    fn account_left_unreserved(
        &mut self,
        context: &Context<'_>,
        name: &AccountId,
        reserved: &Resources,
        waiting_since: Option<time::Duration>,
    ) -> Resources {
        let Some(account) = context.declaration.account(name) else {
            return Resources::ZERO;
        };
        let used = self.shares.used(name);
        let half = account.cap.scaled(1, 2);
        let mut left = account.cap.minus(reserved);
        if used.fits_in(&half) {
            let since = *self.below_half_since.entry(AccountId::clone(name)).or_insert(context.now);
            if context.now >= since.saturating_add(MAX_UNDERUSED_RESERVATION) {
                let is_overdue = waiting_since
                    .is_some_and(|at| context.now >= at.saturating_add(MAX_UNDERUSED_RESERVATION));
                left = if is_overdue { account.cap } else { left.max(&half) };
            }
        } else {
            self.below_half_since.remove(name);
        }
        left.minus(&used)
    }

    /// The resources that the candidate may use within its account's limit. A single task may exceed
    /// a limit that was lowered below its size since it was accepted, while the account uses at most
    /// half of the limit: it would wait for good otherwise.
    pub(super) fn account_left(&self, context: &Context<'_>, candidate: &Candidate) -> Resources {
        let spec = &candidate.spec;
        let Some(name) = &spec.account else {
            return Resources::MAX;
        };
        let Some(account) = context.declaration.account(name) else {
            return Resources::ZERO;
        };
        let used = self.shares.used(name).plus(&self.reclaim.held_of_limit(name, spec));
        let step = candidate.step();
        let is_single = !step.gang || step.tasks == 1;
        if is_single && !step.need.fits_in(&account.cap) && used.fits_in(&account.cap.scaled(1, 2))
        {
            return step.need;
        }
        account.cap.minus(&used)
    }

    fn assign(
        &mut self,
        context: &mut Context<'_>,
        candidate: &Candidate,
        index: TaskIndex,
        worker: &ids::WorkerId,
    ) {
        let task = TaskRef { job: ids::JobId::clone(&candidate.job), step: candidate.step, index };
        let incarnation: WorkerIncarnation =
            self.workers.get(worker).map_or(0, |worker| worker.info.incarnation);
        let mut number = Self::next_run_number(context, &task);
        let Some(job) = context.cell_state.live.get_mut(&candidate.job) else {
            return;
        };
        let tasks = &mut job.progress.steps[candidate.step];
        if candidate.step().gang {
            // All members of a gang start with the same run number.
            for member in tasks.iter() {
                if member.phase == Phase::Waiting {
                    number = number.max(member.last_run.saturating_add(1));
                } else {
                    number = number.max(member.last_run);
                }
            }
        }
        let state = &mut tasks[index];
        state.phase = Phase::Assigned { worker: ids::WorkerId::clone(worker), incarnation };
        state.last_run = number;
        let run = Run {
            worker: ids::WorkerId::clone(worker),
            incarnation,
            number,
            phase: RunPhase::Recording,
            need: candidate.step().need,
            account: candidate.spec.account.clone(),
            is_confirmed: false,
            decided_at: context.now,
            is_resumed: state.checkpoint.is_some(),
            expected_run_time: candidate.run_time,
            progress: None,
        };
        self.dirty.insert(ids::JobId::clone(&candidate.job));
        self.reclaim.on_assigned(&task, worker);
        self.pending_starts.push(task.clone());
        self.insert_run(task, run);
    }
}
