//! What waiting gangs reserve on the workers, in the order in which they began to.

use std::collections::BTreeSet;
use std::time;

use pier_core::ids;
use pier_core::map::Map;
use pier_core::resources::Resources;
use pier_load::gangs::{self, GangPlan, WorkerRoom};

use crate::advice::StepAdvice;
use crate::decider::availability::is_suitable;
use crate::decider::schedule::Candidate;
use crate::decider::{Context, Decider};
use crate::declaration::{Queue, ServiceId};
use crate::job::{Label, RunNumber, StepIndex};
use crate::load_report::LoadLevels;
use crate::place;
use crate::ranking::{self, DeadlineStatus};
use crate::run::RunPhase;
use crate::worker::Worker;

/// The most gangs that reserve capacity at the same time. It bounds the time of a pass.
const MAX_RESERVING_GANGS: usize = 48;
/// The most gangs without a reservation that are planned for in a pass, for the same reason.
const MAX_NEW_PLANS: usize = 16;
/// The most capacity that is reserved and idle, in parts per million.
const MAX_IDLE_PPM: u64 = 100_000;
/// How long after its decision a run starts.
const START_DELAY: time::Duration = time::Duration::from_millis(100);
/// How long a run that is being stopped still uses its worker.
const STOP_DELAY: time::Duration = time::Duration::from_millis(200);

/// Runs that end within this time make room for steps whose advice is requested now: about the
/// time of a call.
const ROOM_HORIZON: time::Duration = time::Duration::from_millis(500);

/// A step of a job.
pub(super) type StepKey = (ids::JobId, StepIndex);
/// Which work may use capacity that is reserved for other work. Lower values go first.
type Urgency = (DeadlineStatus, u32);

/// A plan with the names of the workers.
#[derive(Debug)]
pub(super) struct Reservation {
    pub(super) key: StepKey,
    urgency: Urgency,
    began_at: time::Duration,
    /// When all slots are expected to be free.
    pub(super) ready_at: time::Duration,
    pub(super) slots: Vec<(ids::WorkerId, usize)>,
    pub(super) spares: Vec<ids::WorkerId>,
    uses_failed: bool,
    /// Until when the tickets are valid that were requested last.
    pub(super) tickets_until: time::Duration,
    /// The gang was broken, and some of its runs are not stopped yet.
    is_restarting: bool,
}

/// An amount that is reserved on a worker.
#[derive(Debug)]
struct Held {
    key: StepKey,
    urgency: Urgency,
    ready_at: time::Duration,
    amount: Resources,
}

/// Why a gang was broken, and what follows for its next start.
#[derive(Debug, Default)]
struct Break {
    last_run: RunNumber,
    excluded: BTreeSet<ids::WorkerId>,
}

/// What waiting gangs reserve.
#[derive(Debug, Default)]
pub(super) struct GangReservations {
    /// Without `options.load.gangs`: the workers that are reserved whole, with the priority of the
    /// gang's queue.
    pub(super) whole_workers: Map<ids::WorkerId, (ids::JobId, StepIndex, u32)>,
    /// In the order in which the gangs began to reserve.
    reserving: Vec<Reservation>,
    held: Map<ids::WorkerId, Vec<Held>>,
    /// The reserved capacity that is idle, by service, in parts per million.
    idle_ppm: Map<ServiceId, u64>,
    breaks: Map<StepKey, Break>,
}

impl GangReservations {
    /// What is left of the worker's free resources for the step, and whether the step would use
    /// resources that are reserved for others. None if the worker is reserved as a whole.
    pub(super) fn free_for(
        &self,
        candidate: &Candidate,
        now: time::Duration,
        worker: &Worker,
    ) -> Option<(Resources, bool)> {
        let free = worker.free();
        let is_own =
            |job: &ids::JobId, step: StepIndex| *job == candidate.job && step == candidate.step;
        if let Some((job, step, priority)) = self.whole_workers.get(&worker.info.id)
            && !is_own(job, *step)
        {
            // More urgent steps may use reserved workers if no others are left.
            return (candidate.rank.priority < *priority).then_some((free, true));
        }
        let Some(held) = self.held.get(&worker.info.id) else {
            return Some((free, false));
        };
        let ends_at = now.saturating_add(candidate.run_time);
        let mut open = free;
        let mut unreserved = free;
        for held in held {
            if is_own(&held.key.0, held.key.1) {
                continue;
            }
            unreserved = unreserved.minus(&held.amount);
            if urgency(candidate) >= held.urgency && ends_at > held.ready_at {
                open = open.minus(&held.amount);
            }
        }
        Some((open, !candidate.step().need.fits_in(&unreserved)))
    }

    /// The gang's reservation, if it has one.
    pub(super) fn get(&self, key: &StepKey) -> Option<&Reservation> {
        self.reserving.iter().find(|reservation| reservation.key == *key)
    }

    pub(super) fn get_mut(&mut self, key: &StepKey) -> Option<&mut Reservation> {
        self.reserving.iter_mut().find(|reservation| reservation.key == *key)
    }

    /// Whether the worker broke the gang's last run.
    pub(super) fn is_excluded(&self, key: &StepKey, worker: &ids::WorkerId) -> bool {
        self.breaks.get(key).is_some_and(|broken| broken.excluded.contains(worker))
    }

    /// Removes the reservation of a gang that starts.
    fn on_start(&mut self, now: time::Duration, key: &StepKey, waited: time::Duration) {
        if let Some(broken) = self.breaks.get_mut(key) {
            broken.excluded.clear();
        }
        let Some(position) = self.reserving.iter().position(|held| held.key == *key) else {
            return;
        };
        let reservation = self.reserving.remove(position);
        self.release(key);
        tracing::info!(job = %key.0, step = key.1, workers = reservation.slots.len(),
            waited_ms = pier_core::clock::millis(waited),
            reserved_ms = pier_core::clock::millis(now.saturating_sub(reservation.began_at)),
            "gang starts on reserved capacity");
    }

    fn release(&mut self, key: &StepKey) {
        for held in self.held.values_mut() {
            held.retain(|held| held.key != *key);
        }
    }

    /// Records that the run of a gang was broken. Returns whether this was not known yet.
    fn on_broken(&mut self, now: time::Duration, key: &StepKey, number: RunNumber) -> bool {
        let broken = self.breaks.entry(key.clone()).or_default();
        if broken.last_run >= number {
            return false;
        }
        broken.last_run = number;
        // The gang starts again at once, before others gather more.
        self.reserving.retain(|reservation| reservation.key != *key);
        let reservation = Reservation {
            key: key.clone(),
            urgency: (DeadlineStatus::OnTime, 0),
            began_at: now,
            ready_at: now,
            slots: Vec::new(),
            spares: Vec::new(),
            uses_failed: false,
            tickets_until: time::Duration::ZERO,
            is_restarting: true,
        };
        self.reserving.insert(0, reservation);
        true
    }

    /// Releases what gangs reserve, after the part was switched off.
    fn release_all(&mut self) {
        self.reserving.clear();
        self.held.clear();
        self.idle_ppm.clear();
        self.breaks.clear();
    }

    /// What is reserved on the worker for gangs that are at least as urgent.
    fn reserved_on(&self, worker: &ids::WorkerId, urgency: Urgency) -> Resources {
        let mut reserved = Resources::ZERO;
        for held in self.held.get(worker).into_iter().flatten() {
            if held.urgency <= urgency {
                reserved = reserved.plus(&held.amount);
            }
        }
        reserved
    }

    /// The number of gangs that reserve capacity and are at least as urgent. A gang that waits for
    /// its account's limit only keeps no other from reserving.
    fn count_ahead(&self, urgency: Urgency) -> usize {
        let is_ahead = |reservation: &&Reservation| {
            !reservation.slots.is_empty() && reservation.urgency <= urgency
        };
        self.reserving.iter().filter(is_ahead).count()
    }
}

fn urgency(candidate: &Candidate) -> Urgency {
    (candidate.rank.deadline_status, candidate.rank.priority)
}

/// A worker as one scheduling pass sees it.
#[derive(Debug)]
pub(super) struct PassWorker {
    /// The expected ends of its runs, in order of time.
    pub(super) ends: Vec<(time::Duration, Resources)>,
    slowdown: f64,
    pub(super) has_failed: bool,
}

/// What a scheduling pass computes once.
#[derive(Debug, Default)]
pub(super) struct GangPass {
    pub(super) workers: Map<ids::WorkerId, PassWorker>,
    capacity: Map<ServiceId, Resources>,
    new_plans: usize,
    /// The gangs without a reservation that may learn where they may run, and how many of them know
    /// it already, by queue.
    pub(super) learners: Map<ids::QueueId, (usize, usize)>,
    waiting_gangs: usize,
    /// The tasks that the steps ahead wait to place, by service.
    pub(super) demand_ahead: Map<ServiceId, Resources>,
    /// What is free, or will be within the validity of a ticket, by service.
    pub(super) room: Map<ServiceId, Resources>,
}

impl GangPass {
    /// Counts a plan for a gang without a reservation. Returns whether it may be made.
    pub(super) fn count_new_plan(&mut self) -> bool {
        self.new_plans += 1;
        self.new_plans <= MAX_NEW_PLANS
    }

    /// Whether a run has failed on the worker recently.
    pub(super) fn has_failed(&self, worker: &ids::WorkerId) -> bool {
        self.workers.get(worker).is_some_and(|worker| worker.has_failed)
    }
}

impl Decider {
    /// Prepares a scheduling pass, if gangs reserve amounts.
    pub(super) fn begin_load_pass(
        &mut self,
        context: &Context<'_>,
        candidates: &[Candidate],
    ) -> Option<GangPass> {
        if !context.options.load.gangs {
            self.gangs.release_all();
            return None;
        }
        let pass = self.begin_gang_pass(context, candidates);
        self.begin_advice_pass(context, candidates);
        Some(pass)
    }

    /// Reserves capacity and requests advice for a step that could not be placed whole.
    pub(super) fn prepare_start(
        &mut self,
        context: &mut Context<'_>,
        pass: &mut GangPass,
        candidate: &Candidate,
        queue: &Queue,
        limit: &Resources,
    ) {
        if candidate.step().gang {
            pass.waiting_gangs += 1;
            self.begin_reservation(context, pass, candidate, queue, limit);
        }
        if let Some(terms) = queue.advice {
            self.advise(context, pass, candidate, queue, terms);
        }
    }

    /// Prepares the pass: plans anew for the gangs that have begun to reserve.
    pub(super) fn begin_gang_pass(
        &mut self,
        context: &Context<'_>,
        candidates: &[Candidate],
    ) -> GangPass {
        let mut pass = self.pass_workers(context);
        let before = std::mem::take(&mut self.gangs.reserving);
        self.gangs.held.clear();
        self.gangs.idle_ppm.clear();
        let mut positions = vec![None; before.len()];
        for (index, candidate) in candidates.iter().enumerate() {
            if !candidate.step().gang || before.is_empty() {
                continue;
            }
            let is_own = |reservation: &Reservation| {
                reservation.key.1 == candidate.step && reservation.key.0 == candidate.job
            };
            if let Some(position) = before.iter().position(is_own) {
                positions[position] = Some(index);
            }
        }
        // The more urgent gangs plan first, and gangs of equal urgency in the order in which they
        // began to reserve.
        let mut ordered: Vec<(Reservation, Option<&Candidate>)> = Vec::with_capacity(before.len());
        for (reservation, position) in before.into_iter().zip(positions) {
            ordered.push((reservation, position.and_then(|index| candidates.get(index))));
        }
        ordered.sort_by_key(|(_, candidate)| candidate.map(urgency));
        for (reservation, candidate) in ordered {
            let Some(candidate) = candidate else {
                self.keep_restarting(context, reservation);
                continue;
            };
            self.renew_reservation(context, &mut pass, candidate, reservation);
        }
        self.gangs.breaks.retain(|key, _| context.cell_state.live.contains_key(&key.0));
        pass
    }

    fn pass_workers(&self, context: &Context<'_>) -> GangPass {
        let mut pass = GangPass::default();
        for (id, worker) in &self.workers {
            if worker.is_usable() {
                let capacity = pass.capacity.entry(worker.info.service.clone()).or_default();
                *capacity = capacity.plus(&worker.info.capacity);
            }
            if worker.accepts_work(context.now) {
                let room = pass.room.entry(worker.info.service.clone()).or_default();
                *room = room.plus(&worker.free());
            }
            let state = PassWorker {
                ends: Vec::with_capacity(worker.runs.len()),
                slowdown: self.speeds.slowdown(context.now, id),
                has_failed: worker.has_failed_recently(context.now),
            };
            pass.workers.insert(ids::WorkerId::clone(id), state);
        }
        let room_until = context.now.saturating_add(ROOM_HORIZON);
        for run in self.runs.values() {
            let Some(worker) = pass.workers.get_mut(&run.worker) else {
                continue;
            };
            let ends_at = match run.phase {
                RunPhase::Stopping { .. } | RunPhase::Stopped { .. } => {
                    context.now.saturating_add(STOP_DELAY)
                }
                RunPhase::Running { since } => {
                    gangs::expected_end(context.now, since, run.expected_run_time)
                }
                RunPhase::Recording | RunPhase::Sent | RunPhase::Unknown { .. } => {
                    let since = run.decided_at.saturating_add(START_DELAY);
                    gangs::expected_end(context.now, since, run.expected_run_time)
                }
            };
            worker.ends.push((ends_at, run.need));
            if ends_at <= room_until
                && let Some(service) = self.workers.get(&run.worker).map(|w| &w.info.service)
            {
                let room = pass.room.entry(ServiceId::clone(service)).or_default();
                *room = room.plus(&run.need);
            }
        }
        for worker in pass.workers.values_mut() {
            worker.ends.sort_unstable_by_key(|(at, _)| *at);
        }
        pass
    }

    /// Keeps the place of a broken gang whose runs are not all stopped yet.
    fn keep_restarting(&mut self, context: &Context<'_>, reservation: Reservation) {
        let is_live = context.cell_state.live.get(&reservation.key.0).is_some_and(|job| {
            job.progress.final_state.is_none() && !job.progress.is_step_done(reservation.key.1)
        });
        if reservation.is_restarting && is_live {
            self.gangs.reserving.push(reservation);
        }
    }

    fn renew_reservation(
        &mut self,
        context: &Context<'_>,
        pass: &mut GangPass,
        candidate: &Candidate,
        mut reservation: Reservation,
    ) {
        let give_up = |reason: &'static str| {
            let waited = context.now.saturating_sub(reservation.began_at);
            tracing::info!(job = %candidate.job, step = candidate.step, reason,
                reserved_ms = pier_core::clock::millis(waited), "gang gave up its reservation");
        };
        let Some(queue) = context.declaration.queue(&candidate.spec.queue) else {
            return give_up("the terms of the queue are unknown");
        };
        if candidate.rank.deadline_status == DeadlineStatus::Expired {
            return give_up("the job has expired");
        }
        reservation.urgency = urgency(candidate);
        reservation.is_restarting = false;
        let limit = self.account_left(context, candidate);
        if place::fit_count(&candidate.step().need, &limit) < candidate.waiting.len() {
            // Reserved workers would be of no use now. The gang keeps its place.
            reservation.slots.clear();
            reservation.spares.clear();
            self.gangs.reserving.push(reservation);
            return;
        }
        let until = reservation.tickets_until;
        let Some((plan, workers)) = self.plan_gang(context, pass, candidate, queue, until) else {
            // All workers may be excluded.
            self.gangs.breaks.remove(&candidate.key());
            let is_known = queue.advice.is_none() || self.advice.contains_key(&candidate.key());
            if is_known {
                return give_up("the gang does not fit on the workers that may run it");
            }
            reservation.slots.clear();
            self.gangs.reserving.push(reservation);
            return;
        };
        reservation.take_plan(plan, &workers);
        self.hold(pass, candidate, queue, reservation);
    }

    /// Reserves capacity for a gang that does not fit now, if it is its turn.
    pub(super) fn begin_reservation(
        &mut self,
        context: &Context<'_>,
        pass: &mut GangPass,
        candidate: &Candidate,
        queue: &Queue,
        limit: &Resources,
    ) {
        let step = candidate.step();
        let key = candidate.key();
        let count = self.gangs.count_ahead(urgency(candidate));
        let idle_ppm = self.gangs.idle_ppm.get(&queue.service).copied().unwrap_or_default();
        if self.gangs.get(&key).is_some()
            || candidate.rank.deadline_status == DeadlineStatus::Expired
            || count >= MAX_RESERVING_GANGS
            || (count > 0 && idle_ppm >= MAX_IDLE_PPM)
            || place::fit_count(&step.need, limit) < candidate.waiting.len()
        {
            return;
        }
        if queue.advice.is_some() && !self.advice.contains_key(&key) {
            return;
        }
        if !pass.count_new_plan() {
            return;
        }
        let Some((plan, workers)) =
            self.plan_gang(context, pass, candidate, queue, time::Duration::ZERO)
        else {
            if queue.advice.is_none() {
                self.gangs.breaks.remove(&key);
            }
            return;
        };
        let ready_in = plan.ready_at.saturating_sub(context.now);
        if count > 0 && ready_in > start_limit(context, candidate, queue) {
            return;
        }
        let mut reservation = Reservation {
            key,
            urgency: urgency(candidate),
            began_at: context.now,
            ready_at: plan.ready_at,
            slots: Vec::new(),
            spares: Vec::new(),
            uses_failed: false,
            tickets_until: time::Duration::ZERO,
            is_restarting: false,
        };
        let waited = self.waiting_since.get(&reservation.key).copied().unwrap_or(context.now);
        tracing::info!(job = %candidate.job, step = candidate.step, workers = plan.slots.len(),
            waited_ms = pier_core::clock::millis(context.now.saturating_sub(waited)),
            ready_in_ms = pier_core::clock::millis(ready_in), place = count,
            "gang begins to reserve capacity");
        reservation.take_plan(plan, &workers);
        self.hold(pass, candidate, queue, reservation);
    }

    /// Plans for a gang on the workers that may run it. Workers with tickets are preferred if the
    /// gang can start there while the tickets are valid, so that plans do not move to others.
    pub(super) fn plan_gang(
        &self,
        context: &Context<'_>,
        pass: &GangPass,
        candidate: &Candidate,
        queue: &Queue,
        tickets_until: time::Duration,
    ) -> Option<(GangPlan, Vec<ids::WorkerId>)> {
        let key = candidate.key();
        let step = candidate.step();
        let tasks = candidate.waiting.len();
        let advice = self.advice.get(&key);
        let mut rooms = Vec::new();
        let mut racks: Vec<Option<&Label>> = Vec::new();
        let mut names = Vec::new();
        let mut usable_until = Vec::new();
        let mut push = |worker: &'_ Worker, until: time::Duration| {
            let id = &worker.info.id;
            let Some(state) = pass.workers.get(id) else {
                return;
            };
            if !worker.accepts_work(context.now)
                || !is_suitable(context, step, queue, worker)
                || place::fit_count(&step.need, &worker.info.capacity) == 0
                || state.slowdown > candidate.speed_tolerance.max_slowdown
                || self.gangs.is_excluded(&key, id)
            {
                return;
            }
            rooms.push(WorkerRoom {
                free: worker.free(),
                reserved: self.gangs.reserved_on(id, urgency(candidate)),
                ends: &state.ends,
                spread_left: step.spread_limit.unwrap_or(usize::MAX),
                has_failed: state.has_failed,
            });
            racks.push(None);
            names.push(ids::WorkerId::clone(id));
            usable_until.push(until);
        };
        if queue.advice.is_some() {
            for id in advice.into_iter().flat_map(StepAdvice::eligible) {
                let until =
                    advice.map(|advice| advice.usable_until(id, tickets_until)).unwrap_or_default();
                if let Some(worker) = self.workers.get(id) {
                    push(worker, until);
                }
            }
        } else {
            for worker in self.workers.values() {
                push(worker, time::Duration::MAX);
            }
        }
        let tolerance = &candidate.speed_tolerance;
        if step.same_rack && tolerance.cross_rack_slowdown > tolerance.max_slowdown {
            for (index, id) in names.iter().enumerate() {
                racks[index] = self.workers.get(id).and_then(Worker::rack);
            }
        }
        let mut with_ticket = Vec::new();
        let mut all = Vec::new();
        for (index, until) in usable_until.iter().enumerate() {
            all.push(index);
            if *until > context.now {
                with_ticket.push(index);
            }
        }
        if queue.advice.is_some()
            && let Some(plan) =
                plan_on(context.now, tasks, &step.need, &rooms, &racks, &with_ticket)
            && plan.slots.iter().all(|(index, _)| usable_until[*index] >= plan.ready_at)
        {
            return Some((plan, names));
        }
        let plan = plan_on(context.now, tasks, &step.need, &rooms, &racks, &all)?;
        Some((plan, names))
    }

    /// Subtracts the reservation's slots from what other steps may use. Beyond the limit of idle
    /// capacity only the gang that has reserved for longest gets more.
    fn hold(
        &mut self,
        pass: &GangPass,
        candidate: &Candidate,
        queue: &Queue,
        reservation: Reservation,
    ) {
        let capacity = pass.capacity.get(&queue.service).copied().unwrap_or_default();
        let is_first = self.gangs.reserving.is_empty();
        let mut idle_ppm = self.gangs.idle_ppm.get(&queue.service).copied().unwrap_or_default();
        for (id, tasks) in &reservation.slots {
            let Some(worker) = self.workers.get(id) else {
                continue;
            };
            let tasks = u64::try_from(*tasks).unwrap_or(u64::MAX);
            let amount = candidate.step().need.scaled(tasks, 1);
            let free = worker.free().minus(&self.gangs.reserved_on(id, reservation.urgency));
            let idle = amount.min(&free).dominant_share_ppm(&capacity);
            if !is_first && idle_ppm.saturating_add(idle) > MAX_IDLE_PPM {
                continue;
            }
            idle_ppm = idle_ppm.saturating_add(idle);
            let held = Held {
                key: reservation.key.clone(),
                urgency: reservation.urgency,
                ready_at: reservation.ready_at,
                amount,
            };
            self.gangs.held.entry(ids::WorkerId::clone(id)).or_default().push(held);
        }
        self.gangs.idle_ppm.insert(ServiceId::clone(&queue.service), idle_ppm);
        self.gangs.reserving.push(reservation);
    }

    /// Whether the gang may use workers with a recent failure.
    pub(super) fn may_use_failed(&self, candidate: &Candidate) -> bool {
        self.gangs.get(&candidate.key()).is_some_and(|reservation| reservation.uses_failed)
    }

    /// Handles the start of all members of a gang.
    pub(super) fn on_gang_assigned(&mut self, context: &Context<'_>, candidate: &Candidate) {
        let key = candidate.key();
        let since = self.waiting_since.get(&key).copied().unwrap_or(context.now);
        self.gangs.on_start(context.now, &key, context.now.saturating_sub(since));
    }

    /// Records that a member of a gang has ended before the gang was done. The worker, if it was the
    /// cause, does not take part in the next start.
    pub(super) fn on_gang_broken(
        &mut self,
        context: &Context<'_>,
        key: &StepKey,
        number: RunNumber,
        worker: Option<&ids::WorkerId>,
        cause: &'static str,
    ) {
        if !context.options.load.gangs {
            return;
        }
        let Some(job) = context.cell_state.live.get(&key.0) else {
            return;
        };
        if !job.spec.steps.get(key.1).is_some_and(|step| step.gang) {
            return;
        }
        if self.gangs.on_broken(context.now, key, number) {
            self.load_report.gang_ends.push(cause);
        }
        if let (Some(worker), Some(broken)) = (worker, self.gangs.breaks.get_mut(key))
            && broken.last_run == number
        {
            broken.excluded.insert(ids::WorkerId::clone(worker));
        }
    }

    /// Reports the levels after a pass.
    pub(super) fn report_gang_levels(&mut self, pass: &GangPass) {
        let reserving_gangs = self.gangs.reserving.len();
        let levels = self.load_report.levels.get_or_insert_with(LoadLevels::default);
        levels.waiting_gangs = pass.waiting_gangs.saturating_sub(reserving_gangs);
        levels.reserving_gangs = reserving_gangs;
        levels.busy_adviser_hosts = self.busy_adviser_hosts.len();
    }
}

impl Reservation {
    fn take_plan(&mut self, plan: GangPlan, workers: &[ids::WorkerId]) {
        self.ready_at = plan.ready_at;
        self.uses_failed = plan.uses_failed;
        self.slots.clear();
        for (index, tasks) in plan.slots {
            self.slots.push((ids::WorkerId::clone(&workers[index]), tasks));
        }
        self.spares = plan.spares.iter().map(|index| workers[*index].clone()).collect();
    }
}

/// The plan of the rack in which the gang can start first. All workers have the same rack (none) if
/// the gang may be spread over several.
fn plan_on(
    now: time::Duration,
    tasks: usize,
    need: &Resources,
    rooms: &[WorkerRoom<'_>],
    racks: &[Option<&Label>],
    usable: &[usize],
) -> Option<GangPlan> {
    let mut groups: Map<Option<&Label>, Vec<usize>> = Map::default();
    for index in usable {
        groups.entry(racks[*index]).or_default().push(*index);
    }
    let mut best: Option<GangPlan> = None;
    for group in groups.into_values() {
        let group_rooms: Vec<WorkerRoom<'_>> = group.iter().map(|index| rooms[*index]).collect();
        let Some(mut plan) = gangs::plan(now, tasks, need, &group_rooms) else {
            continue;
        };
        if best.as_ref().is_some_and(|best| best.ready_at <= plan.ready_at) {
            continue;
        }
        for (index, _) in &mut plan.slots {
            *index = group[*index];
        }
        for index in &mut plan.spares {
            *index = group[*index];
        }
        best = Some(plan);
    }
    best
}

/// How much later the gang may start: in time for its objective or, if it is late, before it
/// expires.
pub(super) fn start_limit(
    context: &Context<'_>,
    candidate: &Candidate,
    queue: &Queue,
) -> time::Duration {
    let mut latest_ms = candidate.rank.latest_start_ms;
    if candidate.rank.deadline_status != DeadlineStatus::OnTime {
        let objective = ranking::objective(queue, &candidate.spec);
        let until_expired = objective.saturating_mul(ranking::EXPIRED_AFTER_OBJECTIVES - 1);
        latest_ms = latest_ms.saturating_add(pier_core::clock::millis(until_expired));
    }
    time::Duration::from_millis(latest_ms.saturating_sub(context.wall_ms))
}
