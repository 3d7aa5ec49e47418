//! Preemption: stops runs for steps that would otherwise miss their objective, and runs on workers
//! that leave.

use std::collections::BTreeMap;
use std::time;

use pier_core::ids;
use pier_core::map::Map;
use pier_core::resources::Resources;
use pier_load::reclaim::{self, Cause, Grounds, Limits, Room, Victim};

use crate::decider::schedule::Candidate;
use crate::decider::{Context, Decider};
use crate::declaration::{Queue, ServiceId};
use crate::job::{AccountId, JobSpec, Step, StepIndex, TaskRef};
use crate::load_report::{Preempted, PreemptionCause};
use crate::place;
use crate::ranking::{self, DeadlineStatus};
use crate::run::{Run, RunPhase};
use crate::worker::{WorkerIncarnation, WorkerInfo};

/// The time from a stop to the start of another task in its place.
const STOP_TIME: time::Duration = time::Duration::from_millis(500);
/// Runs are stopped only for steps whose latest start is nearer than this. Earlier, the runs that
/// end meanwhile may do.
const MAX_TIME_TO_LATEST_START: time::Duration = time::Duration::from_millis(1_000);
/// The checkpoint that a stop yields is at most this much work old.
const CHECKPOINT_AGE: time::Duration = time::Duration::from_millis(500);
/// How long freed capacity is held for the step that it was freed for.
const HOLD_TIME: time::Duration = time::Duration::from_millis(2_000);
/// A job is not preempted again for this long.
const PROTECTION_TIME: time::Duration = time::Duration::from_secs(10);
/// The part of the capacity that may be reclaimed at a time, in parts per million.
const MAX_RECLAIMED_PPM: u64 = 50_000;
/// The part of a step's work, as a divisor, that may be lost for it.
const MAX_LOST_PART: f64 = 4.0;
/// The steps for which a pass searches victims.
const MAX_CLAIMS_PER_PASS: usize = 4;
/// The part of the capacity of ending runs that waiting steps can use, in percent. The rest is in
/// pieces that are too small.
const USABLE_PERCENT: u64 = 80;
/// The part of its expected run time, as a divisor, by which a run may take longer than expected.
const RUN_TIME_MARGIN: u32 = 4;

/// Runs that are being preempted, and what is held for the steps that they were stopped for.
#[derive(Debug, Default)]
pub(super) struct Reclaim {
    holds: Vec<Hold>,
    /// Preempted runs that may be alive, with their services.
    reclaiming: BTreeMap<TaskRef, (ServiceId, Resources)>,
    /// When jobs were preempted last.
    preempted_at: BTreeMap<ids::JobId, time::Duration>,
    drains: BTreeMap<ids::WorkerId, Drain>,
}

/// Capacity that is held for a step, some of which is still being freed.
#[derive(Debug)]
struct Hold {
    job: ids::JobId,
    step: StepIndex,
    account: Option<AccountId>,
    need: Resources,
    /// The number of tasks on each worker.
    slots: Map<ids::WorkerId, usize>,
    until: time::Duration,
}

impl Hold {
    fn tasks(&self) -> usize {
        self.slots.values().sum()
    }

    fn is_for(&self, job: &ids::JobId, step: StepIndex) -> bool {
        self.job == *job && self.step == step
    }

    fn amount(&self, tasks: usize) -> Resources {
        self.need.scaled(u64::try_from(tasks).unwrap_or(u64::MAX), 1)
    }
}

/// A worker that leaves.
#[derive(Debug)]
struct Drain {
    incarnation: WorkerIncarnation,
    /// For how long it stays, until it is known when that was read.
    unread_remaining: Option<time::Duration>,
    leaves_at: time::Duration,
}

/// A step that waits for capacity although it fits its account's limit and share.
#[derive(Debug)]
pub(super) struct Claim {
    candidate: Candidate,
    /// What steps of a better rank wait for on the same service.
    ahead: Resources,
}

/// The steps of a pass for which runs may be stopped.
#[derive(Debug, Default)]
pub(super) struct Claims {
    claims: Vec<Claim>,
    waiting: BTreeMap<ServiceId, Resources>,
}

/// Runs that can only be stopped together.
struct Reclaimable {
    service: ServiceId,
    priority: u32,
    account: Option<AccountId>,
    /// Why they may be stopped. Those beyond a share and less urgent ones only for some steps.
    cause: Cause,
    tasks: Vec<TaskRef>,
}

/// The runs of the cell in a pass.
struct Reclaimables {
    victims: Vec<Victim>,
    /// What the victims are, in the same order.
    reclaimables: Vec<Reclaimable>,
    /// The expected ends of all runs.
    ends: Vec<(ServiceId, time::Duration, Resources)>,
    /// The positions of the workers.
    positions: Map<ids::WorkerId, usize>,
    /// The slowdowns of the workers.
    slowdowns: Vec<f64>,
}

impl Reclaim {
    /// What is held on the worker for steps other than this one.
    pub(super) fn held_for_others(
        &self,
        worker: &ids::WorkerId,
        job: &ids::JobId,
        step: StepIndex,
    ) -> Resources {
        let mut held = Resources::ZERO;
        for hold in &self.holds {
            if hold.is_for(job, step) {
                continue;
            }
            if let Some(tasks) = hold.slots.get(worker) {
                held = held.plus(&hold.amount(*tasks));
            }
        }
        held
    }

    /// Whether capacity is held for the step.
    pub(super) fn holds_for(&self, job: &ids::JobId, step: StepIndex) -> bool {
        self.holds.iter().any(|hold| hold.is_for(job, step))
    }

    /// What is held of the account's limit for other jobs.
    pub(super) fn held_of_limit(&self, account: &AccountId, spec: &JobSpec) -> Resources {
        let mut held = Resources::ZERO;
        for hold in &self.holds {
            if hold.account.as_ref() == Some(account) && hold.job != spec.id {
                held = held.plus(&hold.amount(hold.tasks()));
            }
        }
        held
    }

    /// Releases what is held for a task that starts: its place on the worker, or another one.
    pub(super) fn on_assigned(&mut self, task: &TaskRef, worker: &ids::WorkerId) {
        for hold in &mut self.holds {
            if !hold.is_for(&task.job, task.step) {
                continue;
            }
            let mut used = hold.slots.contains_key(worker).then(|| ids::WorkerId::clone(worker));
            if used.is_none() {
                used = hold.slots.keys().min().cloned();
            }
            let Some(used) = used else {
                continue;
            };
            if let Some(tasks) = hold.slots.get_mut(&used) {
                *tasks -= 1;
                if *tasks == 0 {
                    hold.slots.remove(&used);
                }
            }
        }
        self.holds.retain(|hold| !hold.slots.is_empty());
    }

    /// Records whether a worker leaves, from its record in the worker list.
    pub(super) fn record_drain(&mut self, info: &WorkerInfo) {
        let Some(remaining) = info.remaining.filter(|_| info.is_draining) else {
            self.drains.remove(&info.id);
            return;
        };
        let drain = self.drains.entry(ids::WorkerId::clone(&info.id)).or_insert(Drain {
            incarnation: info.incarnation,
            unread_remaining: None,
            leaves_at: time::Duration::MAX,
        });
        if drain.incarnation != info.incarnation {
            drain.incarnation = info.incarnation;
            drain.leaves_at = time::Duration::MAX;
        }
        drain.unread_remaining = Some(remaining);
    }

    /// Starts a pass: releases holds that are overdue or whose steps do not wait any more.
    pub(super) fn begin_pass(
        &mut self,
        now: time::Duration,
        candidates: &[Candidate],
        runs: &BTreeMap<TaskRef, Run>,
    ) {
        self.reclaiming.retain(|task, _| runs.contains_key(task));
        self.preempted_at.retain(|_, at| now < at.saturating_add(PROTECTION_TIME));
        self.holds.retain(|hold| {
            let is_waiting =
                candidates.iter().any(|candidate| hold.is_for(&candidate.job, candidate.step));
            if is_waiting && now >= hold.until {
                tracing::warn!(job = %hold.job, step = hold.step, tasks = hold.tasks(),
                    "capacity that was freed for a step was not used in time");
            }
            is_waiting && now < hold.until
        });
    }

    fn reclaimed(&self, service: &ServiceId) -> Resources {
        let mut reclaimed = Resources::ZERO;
        for (of_service, need) in self.reclaiming.values() {
            if of_service == service {
                reclaimed = reclaimed.plus(need);
            }
        }
        reclaimed
    }
}

impl Claims {
    /// Records that tasks of the candidate wait. Only a step that is on time and within its share,
    /// and all of whose tasks fit its account's limit, may have runs stopped for it.
    pub(super) fn record_waiting(
        &mut self,
        context: &Context<'_>,
        candidate: &Candidate,
        queue: &Queue,
        placed: usize,
        limit: &Resources,
    ) {
        if !context.options.load.reclaim {
            return;
        }
        let need = candidate.step().need;
        let waiting = candidate.waiting.len() - placed;
        let ahead = self.waiting.entry(ServiceId::clone(&queue.service)).or_default();
        let before = *ahead;
        *ahead = ahead.plus(&need.scaled(u64::try_from(waiting).unwrap_or(u64::MAX), 1));
        let left_ms = candidate.rank.latest_start_ms.saturating_sub(context.wall_ms);
        let left = time::Duration::from_millis(left_ms);
        let is_due = (STOP_TIME..=MAX_TIME_TO_LATEST_START).contains(&left);
        if candidate.rank.deadline_status != DeadlineStatus::OnTime
            || !is_due
            || self.claims.len() >= MAX_CLAIMS_PER_PASS
            || place::fit_count(&need, limit) < candidate.waiting.len()
        {
            return;
        }
        let mut candidate = candidate.clone();
        candidate.waiting.drain(..placed);
        self.claims.push(Claim { candidate, ahead: before });
    }
}

impl Decider {
    /// Stops runs for steps that wait, if they would miss their objective otherwise and can start
    /// in time then.
    pub(super) fn reclaim(&mut self, context: &mut Context<'_>, claims: Claims) {
        if claims.claims.is_empty() {
            return;
        }
        let mut reclaimables = None;
        for claim in claims.claims {
            let candidate = &claim.candidate;
            let is_held = self.reclaim.holds_for(&candidate.job, candidate.step);
            let Some(queue) = context.declaration.queue(&candidate.spec.queue) else {
                continue;
            };
            // Placement may need the tasks on one rack, which a plan does not ensure.
            let needs_one_rack = candidate.step().same_rack
                && candidate.speed_tolerance.cross_rack_slowdown
                    > candidate.speed_tolerance.max_slowdown;
            if is_held || needs_one_rack {
                continue;
            }
            let reclaimables =
                reclaimables.get_or_insert_with(|| self.collect_reclaimables(context));
            if starts_without_stops(context, &claim, queue, reclaimables) {
                continue;
            }
            self.reclaim_for(context, candidate, queue, reclaimables);
        }
        self.send_stops(context);
    }

    fn reclaim_for(
        &mut self,
        context: &Context<'_>,
        candidate: &Candidate,
        queue: &Queue,
        reclaimables: &Reclaimables,
    ) {
        let step = candidate.step();
        let rooms = self.rooms(context, candidate, queue, reclaimables);
        let (capacity, mut shares) = match self.shares.excess(&queue.service) {
            Some((capacity, excess)) => (capacity, excess),
            None => (self.capacity_of(&queue.service), BTreeMap::new()),
        };
        for (task, (service, need)) in &self.reclaim.reclaiming {
            let account = self.runs.get(task).and_then(|run| run.account.as_ref());
            if let Some(excess) = account.and_then(|account| shares.get_mut(account))
                && *service == queue.service
            {
                *excess = excess.saturating_sub(need.dominant_share_ppm(&capacity));
            }
        }
        let excess_ppm: Vec<u64> = shares.values().copied().collect();
        let mut grounds = Vec::with_capacity(reclaimables.victims.len());
        for reclaimable in &reclaimables.reclaimables {
            grounds.push(self.grounds(candidate, queue, reclaimable, &shares));
        }
        let tasks = candidate.waiting.len();
        let run_time = self.speeds.expected(&candidate.spec.queue, step.estimate());
        let work_core_s = core_seconds(&step.need, run_time) * as_f64(tasks);
        let reclaimed_ppm = self.reclaim.reclaimed(&queue.service).dominant_share_ppm(&capacity);
        let limits = Limits {
            lost_core_s: work_core_s / MAX_LOST_PART,
            capacity,
            freed_ppm: MAX_RECLAIMED_PPM.saturating_sub(reclaimed_ppm),
            excess_ppm: &excess_ppm,
        };
        let claim = reclaim::Claim { tasks, need: step.need };
        let Some(plan) = reclaim::plan(&claim, &rooms, &reclaimables.victims, &grounds, &limits)
        else {
            return;
        };
        for chosen in &plan.victims {
            let cause = match grounds[*chosen].map(|grounds| grounds.cause) {
                Some(Cause::NoLongerUseful) => PreemptionCause::NoLongerUseful,
                Some(Cause::BeyondShare) => PreemptionCause::BeyondShare,
                Some(Cause::LessUrgent) | None => PreemptionCause::LessUrgent,
            };
            for task in &reclaimables.reclaimables[*chosen].tasks {
                self.preempt(context, task, cause, Some(&candidate.job));
            }
        }
        let mut slots = Map::default();
        for (worker, position) in &reclaimables.positions {
            let held = plan.slots.iter().find(|(planned, _)| planned == position);
            if let Some((_, tasks)) = held {
                slots.insert(ids::WorkerId::clone(worker), *tasks);
            }
        }
        self.reclaim.holds.push(Hold {
            job: ids::JobId::clone(&candidate.job),
            step: candidate.step,
            account: candidate.spec.account.clone(),
            need: step.need,
            slots,
            until: context.now.saturating_add(HOLD_TIME),
        });
    }

    /// Why the runs may be stopped for the step, if they may. The accounts that use more than their
    /// shares are given with the excess.
    fn grounds(
        &self,
        candidate: &Candidate,
        queue: &Queue,
        reclaimable: &Reclaimable,
        shares: &BTreeMap<AccountId, u64>,
    ) -> Option<Grounds> {
        if reclaimable.service != queue.service
            || self.reclaim.preempted_at.contains_key(&reclaimable.tasks[0].job)
        {
            return None;
        }
        if reclaimable.cause == Cause::NoLongerUseful {
            return Some(Grounds { cause: Cause::NoLongerUseful, account: None });
        }
        let account = reclaimable.account.as_ref();
        let position = shares.keys().position(|name| Some(name) == account);
        if position.is_some() && account != candidate.spec.account.as_ref() {
            return Some(Grounds { cause: Cause::BeyondShare, account: position });
        }
        let is_less_urgent =
            reclaimable.cause == Cause::LessUrgent && reclaimable.priority > queue.priority;
        is_less_urgent.then_some(Grounds { cause: Cause::LessUrgent, account: None })
    }

    /// What each worker has for the step, by the position of the worker.
    fn rooms(
        &self,
        context: &Context<'_>,
        candidate: &Candidate,
        queue: &Queue,
        reclaimables: &Reclaimables,
    ) -> Vec<Room> {
        let nothing = Room { free: Resources::ZERO, max_tasks: 0 };
        let mut rooms = vec![nothing; reclaimables.positions.len()];
        let advice = self.advice.get(&candidate.key());
        for worker in self.dispatchable_workers(context, candidate, queue) {
            let is_fast_enough = worker.slowdown <= candidate.speed_tolerance.max_slowdown;
            let keeps_ticket = queue.advice.is_none()
                || advice.is_some_and(|advice| {
                    advice.ticket(context.now.saturating_add(STOP_TIME), &worker.worker).is_some()
                });
            let Some(position) = reclaimables.positions.get(&worker.worker) else {
                continue;
            };
            if is_fast_enough && keeps_ticket && !worker.is_reserved {
                rooms[*position] = Room { free: worker.free, max_tasks: worker.spread_left };
            }
        }
        rooms
    }

    fn capacity_of(&self, service: &ServiceId) -> Resources {
        let mut capacity = Resources::ZERO;
        for worker in self.workers.values() {
            if worker.is_usable() && worker.info.service == *service {
                capacity = capacity.plus(&worker.info.capacity);
            }
        }
        capacity
    }

    /// Stops a run, reports and logs it.
    fn preempt(
        &mut self,
        context: &Context<'_>,
        task: &TaskRef,
        cause: PreemptionCause,
        for_job: Option<&ids::JobId>,
    ) {
        let (Some(run), Some(job)) = (self.runs.get(task), context.cell_state.live.get(&task.job))
        else {
            return;
        };
        let step = &job.spec.steps[task.step];
        let run_time = self.expected_duration(context, run, &job.spec, step);
        let lost_core_s = core_seconds(&run.need, lost_time(context, run, step, run_time));
        tracing::info!(job = %task.job, step = task.step, task = task.index, run = run.number,
            worker = %run.worker, %cause, lost_core_s, for_job = for_job.map(|id| &**id),
            "preempting a run");
        if for_job.is_some()
            && let Some(worker) = self.workers.get(&run.worker)
        {
            let service = ServiceId::clone(&worker.info.service);
            self.reclaim.reclaiming.insert(task.clone(), (service, run.need));
        }
        self.reclaim.preempted_at.insert(ids::JobId::clone(&task.job), context.now);
        self.load_report.preempted.push(Preempted { cause, lost_core_s });
        self.stop_run(task);
    }

    /// The runs that may be stopped for some step, and when runs are expected to end.
    fn collect_reclaimables(&self, context: &Context<'_>) -> Reclaimables {
        let mut positions = Map::default();
        let mut slowdowns = Vec::with_capacity(self.workers.len());
        for (position, id) in self.workers.keys().enumerate() {
            positions.insert(ids::WorkerId::clone(id), position);
            slowdowns.push(self.speeds.slowdown(context.now, id));
        }
        let mut collected = Reclaimables {
            victims: Vec::new(),
            reclaimables: Vec::new(),
            ends: Vec::new(),
            positions,
            slowdowns,
        };
        let mut tasks = self.runs.iter().peekable();
        while let Some((task, run)) = tasks.next() {
            let Some(job) = context.cell_state.live.get(&task.job) else {
                continue;
            };
            let Some(queue) = context.declaration.queue(&job.spec.queue) else {
                continue;
            };
            let step = &job.spec.steps[task.step];
            let mut members = vec![(task, run)];
            while let Some((member, run)) =
                tasks.next_if(|(other, _)| other.job == task.job && other.step == task.step)
            {
                members.push((member, run));
            }
            let elapsed_ms = context.wall_ms.saturating_sub(job.accepted_wall_ms);
            let is_expired =
                time::Duration::from_millis(elapsed_ms) > ranking::expires_after(queue, &job.spec);
            let cause = if is_expired {
                Cause::NoLongerUseful
            } else if step.checkpointing {
                Cause::LessUrgent
            } else {
                // May be stopped only if the account is beyond its share.
                Cause::BeyondShare
            };
            let mut groups: Vec<Vec<(&TaskRef, &Run)>> = Vec::new();
            if step.gang {
                groups.push(members);
            } else {
                groups.extend(members.into_iter().map(|member| vec![member]));
            }
            for group in groups {
                self.collect_group(context, &mut collected, &job.spec, queue, cause, &group);
            }
        }
        collected
    }

    fn collect_group(
        &self,
        context: &Context<'_>,
        collected: &mut Reclaimables,
        spec: &JobSpec,
        queue: &Queue,
        cause: Cause,
        group: &[(&TaskRef, &Run)],
    ) {
        let usual = group.first().map_or(time::Duration::ZERO, |(task, _)| {
            self.speeds.expected(&spec.queue, spec.steps[task.step].estimate())
        });
        let mut can_stop = true;
        let mut lost_core_s = 0.0;
        let mut frees = Vec::new();
        let mut tasks = Vec::new();
        for (task, run) in group {
            let step = &spec.steps[task.step];
            let Some(position) = collected.positions.get(&run.worker) else {
                can_stop = false;
                continue;
            };
            let run_time = scaled(usual, collected.slowdowns[*position]);
            let end = expected_end(context, run, run_time);
            collected.ends.push((ServiceId::clone(&queue.service), end, run.need));
            // Runs that are about to end free their capacity without a stop.
            let is_running = matches!(run.phase, RunPhase::Running { .. }) && run.is_confirmed;
            can_stop = can_stop && is_running && end > context.now.saturating_add(STOP_TIME);
            lost_core_s += core_seconds(&run.need, lost_time(context, run, step, run_time));
            frees.push((*position, run.need));
            tasks.push((*task).clone());
        }
        if !can_stop || tasks.is_empty() {
            return;
        }
        collected.victims.push(Victim { lost_core_s, frees });
        collected.reclaimables.push(Reclaimable {
            service: ServiceId::clone(&queue.service),
            priority: queue.priority,
            account: spec.account.clone(),
            cause,
            tasks,
        });
    }

    /// The expected run time of a run on its worker.
    fn expected_duration(
        &self,
        context: &Context<'_>,
        run: &Run,
        spec: &JobSpec,
        step: &Step,
    ) -> time::Duration {
        let usual = self.speeds.expected(&spec.queue, step.estimate());
        scaled(usual, self.speeds.slowdown(context.now, &run.worker))
    }

    /// Stops the runs on workers that leave before the runs can end, in time for a new checkpoint.
    pub(super) fn stop_runs_on_leaving_workers(&mut self, context: &Context<'_>) {
        if !context.options.load.reclaim {
            self.reclaim.drains.clear();
        }
        if self.reclaim.drains.is_empty() {
            return;
        }
        let lead = STOP_TIME.saturating_add(context.options.worker_call_timeout);
        let mut leaving = Vec::new();
        let workers = &self.workers;
        self.reclaim.drains.retain(|id, _| workers.contains_key(id));
        for (id, drain) in &mut self.reclaim.drains {
            if let Some(remaining) = drain.unread_remaining.take() {
                // The record may be older than its last reading.
                drain.leaves_at = drain.leaves_at.min(context.now.saturating_add(remaining));
            }
            if context.now.saturating_add(lead) >= drain.leaves_at {
                leaving.push((ids::WorkerId::clone(id), drain.leaves_at));
            }
        }
        for (id, leaves_at) in leaving {
            let Some(worker) = self.workers.get(&id) else {
                continue;
            };
            let tasks: Vec<TaskRef> = worker.runs.iter().cloned().collect();
            for task in tasks {
                if self.must_move(context, &task, leaves_at) {
                    self.move_run(context, &task);
                }
            }
        }
    }

    /// Whether the run cannot end before its worker leaves, and its progress can be saved.
    fn must_move(&self, context: &Context<'_>, task: &TaskRef, leaves_at: time::Duration) -> bool {
        let (Some(run), Some(job)) = (self.runs.get(task), context.cell_state.live.get(&task.job))
        else {
            return false;
        };
        let step = &job.spec.steps[task.step];
        if !matches!(run.phase, RunPhase::Running { .. }) || !step.checkpointing {
            return false;
        }
        let run_time = self.expected_duration(context, run, &job.spec, step);
        let margin = run_time / RUN_TIME_MARGIN;
        expected_end(context, run, run_time).saturating_add(margin) > leaves_at
    }

    /// Stops a run that is to start elsewhere. The members of a gang are stopped together.
    fn move_run(&mut self, context: &Context<'_>, task: &TaskRef) {
        let is_gang = context
            .cell_state
            .live
            .get(&task.job)
            .is_some_and(|job| job.spec.steps[task.step].gang);
        if !is_gang {
            self.preempt(context, task, PreemptionCause::WorkerLeaves, None);
            return;
        }
        let first = TaskRef { index: 0, ..task.clone() };
        let mut members = Vec::new();
        for (member, run) in self.runs.range(first..) {
            if member.job != task.job || member.step != task.step {
                break;
            }
            if matches!(run.phase, RunPhase::Running { .. }) {
                members.push(member.clone());
            }
        }
        for member in members {
            self.preempt(context, &member, PreemptionCause::WorkerLeaves, None);
        }
        // Members whose start has no response yet.
        self.stop_runs_of(&task.job, Some(task.step));
    }
}

/// Whether the runs that end until the latest start free enough for the step and for what is ahead
/// of it.
fn starts_without_stops(
    context: &Context<'_>,
    claim: &Claim,
    queue: &Queue,
    reclaimables: &Reclaimables,
) -> bool {
    let left_ms = claim.candidate.rank.latest_start_ms.saturating_sub(context.wall_ms);
    let latest_start = context.now.saturating_add(time::Duration::from_millis(left_ms));
    let mut freed = Resources::ZERO;
    for (service, end, need) in &reclaimables.ends {
        if *service == queue.service && *end <= latest_start {
            freed = freed.plus(need);
        }
    }
    let tasks = u64::try_from(claim.candidate.waiting.len()).unwrap_or(u64::MAX);
    let need = claim.candidate.step().need.scaled(tasks, 1);
    need.plus(&claim.ahead).fits_in(&freed.scaled(USABLE_PERCENT, 100))
}

/// When a run is expected to end that takes `run_time` in all.
fn expected_end(context: &Context<'_>, run: &Run, run_time: time::Duration) -> time::Duration {
    let RunPhase::Running { since } = run.phase else {
        return context.now.saturating_add(run_time);
    };
    let passed = context.now.saturating_sub(since);
    if passed > run_time {
        // It takes longer than expected, and does not end at once.
        return context.now.saturating_add(passed / RUN_TIME_MARGIN);
    }
    since.saturating_add(run_time)
}

/// The work that a stop of the run loses, as a part of its run time. A stop yields a new checkpoint
/// of tasks that write some.
fn lost_time(
    context: &Context<'_>,
    run: &Run,
    step: &Step,
    run_time: time::Duration,
) -> time::Duration {
    let RunPhase::Running { since } = run.phase else {
        return time::Duration::ZERO;
    };
    let passed = context.now.saturating_sub(since);
    if step.checkpointing {
        return passed.min(CHECKPOINT_AGE);
    }
    // An earlier decider has started it, at a time that is not known.
    let is_adopted = run.is_resumed;
    if is_adopted { passed.max(run_time) } else { passed }
}

fn scaled(run_time: time::Duration, factor: f64) -> time::Duration {
    let seconds = run_time.as_secs_f64() * factor;
    time::Duration::try_from_secs_f64(seconds).unwrap_or(time::Duration::MAX)
}

fn core_seconds(need: &Resources, run_time: time::Duration) -> f64 {
    let cores = u32::try_from(need.cpu_milli).unwrap_or(u32::MAX);
    f64::from(cores) / 1_000.0 * run_time.as_secs_f64()
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
