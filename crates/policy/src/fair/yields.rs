//! Batch work that yields to urgent work.

use std::time;

use pier_core::{ids, map, resources, task};

use crate::{room, view};

/// The bits of a size that are dropped to compare it in 32 bits. A dimension has 40 bits.
const SIZE_SHIFT: u32 = 12;
/// The number of urgent tasks for which victims are looked for in one decision. The next decision
/// goes on; the bound keeps a decision short.
const MAX_SEARCHES: usize = 16;
/// The number of victims that are sorted. Most searches end among them, so that they do not read
/// every running task of a large cell.
const SORTED_VICTIMS: usize = 256;
/// The time that a running task needs to yield at the least. Nothing yields to a task that must
/// start earlier.
const SHORTEST_YIELD: time::Duration = time::Duration::from_millis(100);
/// How long a running task that was asked to yield is left alone. Its job may place it again at
/// once, and a task that does not yield is not asked again and again.
const ASK_AGAIN: time::Duration = time::Duration::from_secs(30);
/// The number of tasks that were asked to yield and are remembered.
const MAX_ASKED: usize = 10_000;

/// The running tasks that were asked to yield, and when.
#[derive(Debug, Default)]
pub(super) struct Asked {
    tasks: map::Map<ids::TaskId, time::Duration>,
}

/// A running task that could yield.
#[derive(Debug, Clone, Copy)]
struct Victim {
    worker: usize,
    running: usize,
    /// The work that is lost, in whole seconds of run time, then the size. The smallest is first.
    cost: (u32, u32),
    resources: resources::Resources,
    /// Whether the task has been chosen in this decision.
    chosen: bool,
}

impl Victim {
    /// The order of victims of equal cost whose teams are equally over their shares.
    fn place(&self) -> (usize, usize) {
        (self.worker, self.running)
    }
}

/// Makes batch work yield until there will be room for each of the urgent tasks.
pub(super) fn make_room(round: &mut super::Round<'_>, asked: &mut Asked, urgent: &[usize]) {
    if urgent.is_empty() {
        return;
    }
    let view = round.view;
    asked.forget(view.now);
    let mut coming = Coming::of(view, &round.room);
    let mut victims: Option<Vec<Victim>> = None;
    let mut without: Vec<resources::Resources> = Vec::new();
    let mut searches = 0;
    for pending in urgent {
        let Some(task) = view.pending.get(*pending) else {
            continue;
        };
        let need = &task.resources;
        if task.start_by.is_some_and(|start_by| start_by < view.now + SHORTEST_YIELD) {
            continue;
        }
        if coming.claim(need) {
            continue;
        }
        if searches >= MAX_SEARCHES || without.contains(need) {
            continue;
        }
        searches += 1;
        let victims = victims.get_or_insert_with(|| collect(view, asked, &round.room));
        let chosen = cheapest_single(view, victims, &coming, need)
            .map(|victim| vec![victim])
            .or_else(|| cheapest_set(victims, &coming, need));
        let Some(chosen) = chosen else {
            without.push(*need);
            continue;
        };
        for index in chosen {
            let victim = &mut victims[index];
            victim.chosen = true;
            coming.add(victim);
            round.decisions.push(asked.ask(view, victim));
        }
        // It is the only worker with room that comes, because the task found none before.
        coming.claim(need);
    }
}

impl Asked {
    fn forget(&mut self, now: time::Duration) {
        self.tasks.retain(|_, at| now < *at + ASK_AGAIN);
    }

    /// The decision that makes a victim yield: by a checkpoint where it can, else by a stop.
    fn ask(&mut self, view: &view::View<'_>, victim: &Victim) -> view::Decision {
        let running = &view.workers[victim.worker].running[victim.running];
        if self.tasks.len() < MAX_ASKED {
            self.tasks.insert(running.task.clone(), view.now);
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

/// The room that comes on the workers when all that yields has ended.
#[derive(Debug)]
struct Coming {
    free: Vec<resources::Resources>,
    /// The open workers on which something yields, so that there will be more room than now.
    yielding: Vec<usize>,
}

impl Coming {
    fn of(view: &view::View<'_>, room: &room::Room) -> Self {
        let mut coming =
            Self { free: Vec::with_capacity(view.workers.len()), yielding: Vec::new() };
        for (index, (worker, left)) in view.workers.iter().zip(&room.workers).enumerate() {
            let mut free = left.free;
            let mut yields = false;
            for running in &worker.running {
                if running.preemption_requested {
                    free = free.plus(&running.resources);
                    yields = true;
                }
            }
            coming.free.push(free);
            if left.open && yields {
                coming.yielding.push(index);
            }
        }
        coming
    }

    fn add(&mut self, victim: &Victim) {
        let free = &mut self.free[victim.worker];
        *free = free.plus(&victim.resources);
        if !self.yielding.contains(&victim.worker) {
            self.yielding.push(victim.worker);
        }
    }

    /// Takes room for a task on a worker on which something yields. Returns whether there is any.
    fn claim(&mut self, need: &resources::Resources) -> bool {
        for worker in &self.yielding {
            let free = &mut self.free[*worker];
            if room::holds(free, need) {
                *free = free.minus(need);
                return true;
            }
        }
        false
    }
}

/// The running tasks that could yield. The first [`SORTED_VICTIMS`] are the cheapest, in order.
fn collect(view: &view::View<'_>, asked: &Asked, room: &room::Room) -> Vec<Victim> {
    let mut victims = Vec::new();
    for (worker, info) in view.workers.iter().enumerate() {
        if !room.workers[worker].open {
            continue;
        }
        for (index, running) in info.running.iter().enumerate() {
            if !may_yield(running) || asked.tasks.contains_key(&running.task) {
                continue;
            }
            let lost = lost_work(view.now, running).as_secs();
            let size = room.size(&running.resources) >> SIZE_SHIFT;
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
    let key = |victim: &Victim| (victim.cost, victim.place());
    if victims.len() > SORTED_VICTIMS {
        victims.select_nth_unstable_by_key(SORTED_VICTIMS, key);
    }
    let sorted = victims.len().min(SORTED_VICTIMS);
    victims[..sorted].sort_unstable_by_key(key);
    victims
}

/// Whether a running task can be a victim.
fn may_yield(running: &view::RunningTask) -> bool {
    running.class == task::Class::Batch && running.repeatable && !running.preemption_requested
}

/// The usage of a victim's team for each unit of its share.
fn over_share(view: &view::View<'_>, victim: &Victim) -> u64 {
    let running = &view.workers[victim.worker].running[victim.running];
    let Some(team) = room::team_index(view, &running.team) else {
        return 0;
    };
    let team = &view.teams[team];
    team.decayed_ppm / u64::from(team.share).max(1)
}

/// The work that is lost when a task yields now: all since its last checkpoint.
fn lost_work(now: time::Duration, running: &view::RunningTask) -> time::Duration {
    let ran = now.saturating_sub(running.started);
    let interval_ms = millis(running.checkpoint_interval);
    match millis(ran).checked_rem(interval_ms) {
        Some(since_ms) => time::Duration::from_millis(since_ms),
        None => ran,
    }
}

/// The milliseconds of a duration without a division of 128 bits.
fn millis(duration: time::Duration) -> u64 {
    duration.as_secs().saturating_mul(1_000) + u64::from(duration.subsec_millis())
}

/// The cheapest victim that is enough for a task on its own. Of equal ones it is that of the team
/// most over its share.
fn cheapest_single(
    view: &view::View<'_>,
    victims: &[Victim],
    coming: &Coming,
    need: &resources::Resources,
) -> Option<usize> {
    let mut best: Option<usize> = None;
    for (index, victim) in victims.iter().enumerate() {
        if best.is_some_and(|best| victims[best].cost < victim.cost) {
            if index < SORTED_VICTIMS {
                break;
            }
            continue;
        }
        if victim.chosen || !room::holds(&coming.free[victim.worker].plus(&victim.resources), need)
        {
            continue;
        }
        if best.is_none_or(|best| is_better(view, victim, &victims[best])) {
            best = Some(index);
        }
    }
    best
}

/// Whether a victim is preferred to another one that costs no less.
fn is_better(view: &view::View<'_>, victim: &Victim, other: &Victim) -> bool {
    if victim.cost != other.cost {
        return true;
    }
    let over = (over_share(view, victim), over_share(view, other));
    over.0 > over.1 || (over.0 == over.1 && victim.place() < other.place())
}

/// The victims on one worker that are enough for a task together: as few as can be, then those
/// that lose the least. The indices are in ascending order.
fn cheapest_set(
    victims: &[Victim],
    coming: &Coming,
    need: &resources::Resources,
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
        let Some(set) = smallest_set(victims, indices, coming.free[worker], need) else {
            continue;
        };
        let mut lost = 0;
        for index in &set {
            lost += u64::from(victims[*index].cost.0);
        }
        let cost = (set.len(), lost, worker);
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, set));
        }
    }
    best.map(|(_, set)| set)
}

/// Victims of one worker that are enough, none of which could be left out.
fn smallest_set(
    victims: &[Victim],
    mut indices: Vec<usize>,
    free: resources::Resources,
    need: &resources::Resources,
) -> Option<Vec<usize>> {
    indices.sort_unstable_by_key(|index| (victims[*index].cost, victims[*index].place()));
    let mut room = free;
    let mut taken = Vec::new();
    for index in indices {
        if room::holds(&room, need) {
            break;
        }
        room = room.plus(&victims[index].resources);
        taken.push(index);
    }
    if !room::holds(&room, need) {
        return None;
    }
    // Leaves out what the later ones have made unnecessary, the costliest first.
    for index in taken.clone().into_iter().rev() {
        let without = room.minus(&victims[index].resources);
        if room::holds(&without, need) {
            room = without;
            taken.retain(|kept| *kept != index);
        }
    }
    taken.sort_unstable();
    Some(taken)
}
