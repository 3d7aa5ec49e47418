//! Preemption of batch tasks by urgent tasks.

use std::time;

use pier_core::{ids, map, resources, task};

use crate::{capacity, view};

/// The low bits of a size that are dropped to compare it in 32 bits. A dimension has 40 bits.
const SIZE_SHIFT: u32 = 12;
/// The maximum number of urgent tasks for which one decision searches victims. The next decision
/// continues. The bound keeps a decision fast.
const MAX_VICTIM_SEARCHES: usize = 16;
/// The number of sorted victims. Most searches end among them and so do not read every running task
/// of a large cell.
const SORTED_VICTIMS: usize = 256;
/// The minimum time that a preemption takes. Nothing is preempted for a task that must start
/// earlier.
const MIN_PREEMPTION_TIME: time::Duration = time::Duration::from_millis(100);
/// The time during which no second preemption of the same task is requested. Its job may place the
/// task again immediately, and the request to a task that does not end must not be repeated in
/// every decision.
const PREEMPTION_RETRY_DELAY: time::Duration = time::Duration::from_secs(30);
/// The maximum number of remembered preemption requests.
const MAX_PREEMPTION_HISTORY: usize = 10_000;

/// The tasks whose preemption was requested recently, and when.
#[derive(Debug, Default)]
pub(super) struct PreemptionHistory {
    requested: map::Map<ids::TaskId, time::Duration>,
}

/// A running task that can be preempted.
#[derive(Debug, Clone, Copy)]
struct Victim {
    worker: usize,
    running: usize,
    /// The lost work in whole seconds of run time, then the scaled size. The smallest is first.
    cost: (u32, u32),
    resources: resources::Resources,
    /// Whether the task has been selected in this decision.
    chosen: bool,
}

impl Victim {
    /// Breaks ties between victims of equal cost whose teams have equal usage per share.
    fn position(&self) -> (usize, usize) {
        (self.worker, self.running)
    }
}

/// Preempts batch tasks until each of the urgent tasks will fit.
pub(super) fn preempt_for(
    pass: &mut super::SchedulingPass<'_>,
    history: &mut PreemptionHistory,
    urgent: &[usize],
) {
    if urgent.is_empty() {
        return;
    }
    let view = pass.view;
    history.expire(view.now);
    let mut future = FutureCapacity::new(view, &pass.capacity);
    let mut victims: Option<Vec<Victim>> = None;
    let mut unsatisfiable: Vec<resources::Resources> = Vec::new();
    let mut searches = 0;
    for pending in urgent {
        let Some(task) = view.pending.get(*pending) else {
            continue;
        };
        let demand = &task.resources;
        if task.start_by.is_some_and(|start_by| start_by < view.now + MIN_PREEMPTION_TIME) {
            continue;
        }
        if future.claim(demand) {
            continue;
        }
        if searches >= MAX_VICTIM_SEARCHES || unsatisfiable.contains(demand) {
            continue;
        }
        searches += 1;
        let victims = victims.get_or_insert_with(|| collect_victims(view, history, &pass.capacity));
        let chosen = cheapest_single(view, victims, &future, demand)
            .map(|victim| vec![victim])
            .or_else(|| cheapest_set(victims, &future, demand));
        let Some(chosen) = chosen else {
            unsatisfiable.push(*demand);
            continue;
        };
        for index in chosen {
            let victim = &mut victims[index];
            victim.chosen = true;
            future.add(victim);
            pass.decisions.push(history.request(view, victim));
        }
        // Only this worker will have enough resources, because the claim before the search failed.
        future.claim(demand);
    }
}

impl PreemptionHistory {
    fn expire(&mut self, now: time::Duration) {
        self.requested.retain(|_, at| now < *at + PREEMPTION_RETRY_DELAY);
    }

    /// Returns the decision that preempts a victim: by a checkpoint if it supports one, else by a
    /// stop.
    fn request(&mut self, view: &view::View<'_>, victim: &Victim) -> view::Decision {
        let running = &view.workers[victim.worker].running[victim.running];
        if self.requested.len() < MAX_PREEMPTION_HISTORY {
            self.requested.insert(running.task.clone(), view.now);
        }
        let can_checkpoint = !running.checkpoint_interval.is_zero();
        let mode = if can_checkpoint {
            task::PreemptionMode::Checkpoint
        } else {
            task::PreemptionMode::Stop
        };
        view::Decision::Preempt { worker: victim.worker, running: victim.running, mode }
    }
}

/// The free resources of the workers after all requested preemptions.
#[derive(Debug)]
struct FutureCapacity {
    free: Vec<resources::Resources>,
    /// The schedulable workers with preemptions, which will have more free resources than now.
    preempting_workers: Vec<usize>,
}

impl FutureCapacity {
    fn new(view: &view::View<'_>, capacity: &capacity::FreeCapacity) -> Self {
        let mut future =
            Self { free: Vec::with_capacity(view.workers.len()), preempting_workers: Vec::new() };
        for (index, (worker, current)) in view.workers.iter().zip(&capacity.workers).enumerate() {
            let mut free = current.free;
            let mut preempting = false;
            for running in &worker.running {
                if running.preemption_requested {
                    free = free.plus(&running.resources);
                    preempting = true;
                }
            }
            future.free.push(free);
            if current.schedulable && preempting {
                future.preempting_workers.push(index);
            }
        }
        future
    }

    fn add(&mut self, victim: &Victim) {
        let free = &mut self.free[victim.worker];
        *free = free.plus(&victim.resources);
        if !self.preempting_workers.contains(&victim.worker) {
            self.preempting_workers.push(victim.worker);
        }
    }

    /// Claims resources for a task on a worker with preemptions. Returns whether any has enough.
    fn claim(&mut self, demand: &resources::Resources) -> bool {
        for worker in &self.preempting_workers {
            let free = &mut self.free[*worker];
            if capacity::can_hold(free, demand) {
                *free = free.minus(demand);
                return true;
            }
        }
        false
    }
}

/// Collects the running tasks that can be preempted. The first [`SORTED_VICTIMS`] are the cheapest,
/// in ascending order of cost.
fn collect_victims(
    view: &view::View<'_>,
    history: &PreemptionHistory,
    capacity: &capacity::FreeCapacity,
) -> Vec<Victim> {
    let mut victims = Vec::new();
    for (worker, info) in view.workers.iter().enumerate() {
        if !capacity.workers[worker].schedulable {
            continue;
        }
        for (index, running) in info.running.iter().enumerate() {
            if !is_preemptible(running) || history.requested.contains_key(&running.task) {
                continue;
            }
            let lost = lost_work(view.now, running).as_secs();
            let size = capacity.size(&running.resources) >> SIZE_SHIFT;
            let saturate = |amount: u64| u32::try_from(amount).unwrap_or(u32::MAX);
            victims.push(Victim {
                worker,
                running: index,
                cost: (saturate(lost), saturate(size)),
                resources: running.resources,
                chosen: false,
            });
        }
    }
    let key = |victim: &Victim| (victim.cost, victim.position());
    if victims.len() > SORTED_VICTIMS {
        victims.select_nth_unstable_by_key(SORTED_VICTIMS, key);
    }
    let sorted = victims.len().min(SORTED_VICTIMS);
    victims[..sorted].sort_unstable_by_key(key);
    victims
}

fn is_preemptible(running: &view::RunningTask) -> bool {
    running.class == task::Class::Batch && running.repeatable && !running.preemption_requested
}

/// The usage of a victim's team per unit of its share.
fn usage_per_share(view: &view::View<'_>, victim: &Victim) -> u64 {
    let running = &view.workers[victim.worker].running[victim.running];
    let Some(team) = capacity::team_index(view, &running.team) else {
        return 0;
    };
    let team = &view.teams[team];
    team.decayed_ppm / u64::from(team.share).max(1)
}

/// The work that is lost if a task is preempted now: all since its last checkpoint.
fn lost_work(now: time::Duration, running: &view::RunningTask) -> time::Duration {
    let ran = now.saturating_sub(running.started);
    let interval_ms = millis(running.checkpoint_interval);
    match millis(ran).checked_rem(interval_ms) {
        Some(since_ms) => time::Duration::from_millis(since_ms),
        None => ran,
    }
}

/// The milliseconds of a duration, computed without a 128-bit division.
fn millis(duration: time::Duration) -> u64 {
    duration.as_secs().saturating_mul(1_000) + u64::from(duration.subsec_millis())
}

/// The cheapest victim that suffices on its own. Ties go to the victim whose team has the highest
/// usage per share.
fn cheapest_single(
    view: &view::View<'_>,
    victims: &[Victim],
    future: &FutureCapacity,
    demand: &resources::Resources,
) -> Option<usize> {
    let mut best: Option<usize> = None;
    for (index, victim) in victims.iter().enumerate() {
        if best.is_some_and(|best| victims[best].cost < victim.cost) {
            if index < SORTED_VICTIMS {
                break;
            }
            continue;
        }
        if victim.chosen
            || !capacity::can_hold(&future.free[victim.worker].plus(&victim.resources), demand)
        {
            continue;
        }
        if best.is_none_or(|best| is_preferred(view, victim, &victims[best])) {
            best = Some(index);
        }
    }
    best
}

/// Whether a victim is preferred to another one whose cost is not lower.
fn is_preferred(view: &view::View<'_>, victim: &Victim, other: &Victim) -> bool {
    if victim.cost != other.cost {
        return true;
    }
    let usage = (usage_per_share(view, victim), usage_per_share(view, other));
    usage.0 > usage.1 || (usage.0 == usage.1 && victim.position() < other.position())
}

/// The victims on one worker that suffice together: the smallest set, then the one that loses the
/// least work. The indices are in ascending order.
fn cheapest_set(
    victims: &[Victim],
    future: &FutureCapacity,
    demand: &resources::Resources,
) -> Option<Vec<usize>> {
    let mut by_worker: map::Map<usize, Vec<usize>> = map::Map::default();
    for (index, victim) in victims.iter().enumerate() {
        if victim.chosen {
            continue;
        }
        by_worker.entry(victim.worker).or_default().push(index);
    }
    let mut best: Option<((usize, u64, usize), Vec<usize>)> = None;
    for (worker, indices) in by_worker {
        let Some(set) = smallest_set(victims, indices, future.free[worker], demand) else {
            continue;
        };
        let mut lost = 0;
        for index in &set {
            lost += u64::from(victims[*index].cost.0);
        }
        let cost = (set.len(), lost, worker);
        if best.as_ref().is_none_or(|(min_cost, _)| cost < *min_cost) {
            best = Some((cost, set));
        }
    }
    best.map(|(_, set)| set)
}

/// A minimal set of victims of one worker: it suffices, and no victim in it is redundant.
fn smallest_set(
    victims: &[Victim],
    mut indices: Vec<usize>,
    free: resources::Resources,
    demand: &resources::Resources,
) -> Option<Vec<usize>> {
    indices.sort_unstable_by_key(|index| (victims[*index].cost, victims[*index].position()));
    let mut freed = free;
    let mut selected = Vec::new();
    for index in indices {
        if capacity::can_hold(&freed, demand) {
            break;
        }
        freed = freed.plus(&victims[index].resources);
        selected.push(index);
    }
    if !capacity::can_hold(&freed, demand) {
        return None;
    }
    // Drops victims that later ones have made redundant, the most expensive first.
    for index in selected.clone().into_iter().rev() {
        let reduced = freed.minus(&victims[index].resources);
        if capacity::can_hold(&reduced, demand) {
            freed = reduced;
            selected.retain(|candidate| *candidate != index);
        }
    }
    selected.sort_unstable();
    Some(selected)
}
