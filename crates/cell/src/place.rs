//! Where the tasks of a step go.
//!
//! Answers packing under a load of odd sizes: each task goes where it leaves the least, so that
//! whole workers stay free for wide and large steps. A gang that does not fit keeps workers for
//! itself; later steps go elsewhere meanwhile, so that a stream of small tasks does not starve it.
//!
//! Answers workers of unequal speed, too: steps with little time go to fast workers, steps with
//! time to spare leave those to them, and none goes where it would certainly be late.

use std::collections::BTreeMap;

use pier_core::ids;
use pier_core::map::Set;
use pier_core::resources::Resources;

use crate::job::{Label, Step};
use crate::speed::SpeedClass;

/// What the load of a moment allows on a worker.
#[derive(Debug, Clone)]
pub struct AvailableWorker {
    /// The worker.
    pub worker: ids::WorkerId,
    /// What is free.
    pub free: Resources,
    /// What it has.
    pub capacity: Resources,
    /// Its rack.
    pub rack: Option<Label>,
    /// How many times as long as usual the step's tasks take there.
    pub slowdown: f64,
    /// How many more tasks of the step it may take by the spread limit.
    pub spread_left: usize,
    /// Whether it is kept for another step. It is then the last choice.
    pub is_reserved: bool,
}

/// How much time a step has.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedTolerance {
    /// How many times as long as usual its tasks may take at most.
    pub max_slowdown: f64,
    /// It leaves fast workers to others if it can.
    pub avoids_fast_workers: bool,
    /// How many times as long the tasks of a gang take that should share a rack and does not.
    pub cross_rack_slowdown: f64,
}

impl SpeedTolerance {
    /// A step that runs wherever there is worker.
    pub const ANY: Self =
        Self { max_slowdown: f64::INFINITY, avoids_fast_workers: false, cross_rack_slowdown: 1.0 };

    /// The place of a speed_class in the order of choice.
    fn preference(&self, speed_class: SpeedClass) -> u8 {
        match (speed_class, self.avoids_fast_workers) {
            (SpeedClass::Normal, false) | (SpeedClass::Slow, true) => 0,
            (SpeedClass::Normal, true) | (SpeedClass::Slow, false) => 1,
            (SpeedClass::VerySlow, _) => 2,
        }
    }
}

/// Chooses a worker for each of `count` tasks: the position in `workers` of each. A gang gets all or
/// nothing. The workers are reduced by what was placed.
pub fn place(
    step: &Step,
    count: usize,
    limit: &Resources,
    speed_tolerance: &SpeedTolerance,
    workers: &mut [AvailableWorker],
) -> Vec<usize> {
    let mut allowed = Vec::with_capacity(workers.len());
    for (index, worker) in workers.iter().enumerate() {
        if worker.slowdown <= speed_tolerance.max_slowdown {
            allowed.push(index);
        }
    }
    if !step.gang {
        return place_tasks(step, count, limit, speed_tolerance, workers, &allowed);
    }
    for group in gang_groups(step, speed_tolerance, workers, allowed) {
        let before: Vec<Resources> = group.iter().map(|index| workers[*index].free).collect();
        let spread_before: Vec<usize> =
            group.iter().map(|index| workers[*index].spread_left).collect();
        let placed = place_tasks(step, count, limit, speed_tolerance, workers, &group);
        if placed.len() == count {
            return placed;
        }
        for (position, index) in group.iter().enumerate() {
            workers[*index].free = before[position];
            workers[*index].spread_left = spread_before[position];
        }
    }
    Vec::new()
}

/// The sets of workers that a gang tries in turn. Its members end together, so one on a slow worker
/// holds all others: equal workers come first, and a mixture last.
fn gang_groups(
    step: &Step,
    speed_tolerance: &SpeedTolerance,
    workers: &[AvailableWorker],
    allowed: Vec<usize>,
) -> Vec<Vec<usize>> {
    let mut groups = Vec::new();
    if step.same_rack {
        let mut racks: BTreeMap<Option<&Label>, Vec<usize>> = BTreeMap::new();
        for index in &allowed {
            racks.entry(workers[*index].rack.as_ref()).or_default().push(*index);
        }
        groups.extend(racks.into_values());
        if speed_tolerance.cross_rack_slowdown > speed_tolerance.max_slowdown {
            return groups;
        }
    }
    let mut speed_classes: BTreeMap<u8, Vec<usize>> = BTreeMap::new();
    for index in &allowed {
        let preference = speed_tolerance.preference(SpeedClass::of(workers[*index].slowdown));
        speed_classes.entry(preference).or_default().push(*index);
    }
    if speed_classes.len() > 1 {
        groups.extend(speed_classes.into_values());
    }
    groups.push(allowed);
    groups
}

fn place_tasks(
    step: &Step,
    count: usize,
    limit: &Resources,
    speed_tolerance: &SpeedTolerance,
    workers: &mut [AvailableWorker],
    candidates: &[usize],
) -> Vec<usize> {
    let mut placed = Vec::with_capacity(count);
    let mut left = *limit;
    for _ in 0..count {
        if !step.need.fits_in(&left) {
            break;
        }
        let Some(best) = best_worker(step, speed_tolerance, workers, candidates) else {
            break;
        };
        let worker = &mut workers[best];
        worker.free = worker.free.minus(&step.need);
        worker.spread_left -= 1;
        left = left.minus(&step.need);
        placed.push(best);
    }
    placed
}

fn best_worker(
    step: &Step,
    speed_tolerance: &SpeedTolerance,
    workers: &[AvailableWorker],
    candidates: &[usize],
) -> Option<usize> {
    let mut best: Option<(usize, (bool, u8, u64))> = None;
    for index in candidates {
        let worker = &workers[*index];
        if worker.spread_left == 0 || !step.need.fits_in(&worker.free) {
            continue;
        }
        let rest = worker.free.minus(&step.need);
        let speed_class = speed_tolerance.preference(SpeedClass::of(worker.slowdown));
        let rank = (worker.is_reserved, speed_class, rest.dominant_share_ppm(&worker.capacity));
        if best.is_none_or(|(_, best_rank)| rank < best_rank) {
            best = Some((*index, rank));
        }
    }
    best.map(|(index, _)| index)
}

/// The workers to keep for a gang of `count` tasks that does not fit now: those that are nearest
/// to being free, until the gang would fit on them empty. None when it would not fit on all of them.
pub fn reserve(
    step: &Step,
    count: usize,
    workers: &[AvailableWorker],
) -> Option<Set<ids::WorkerId>> {
    let mut by_free: Vec<&AvailableWorker> =
        workers.iter().filter(|worker| !worker.is_reserved).collect();
    by_free
        .sort_by_key(|worker| std::cmp::Reverse(worker.free.dominant_share_ppm(&worker.capacity)));
    let mut reserved = Set::default();
    let mut covered = 0;
    for worker in by_free {
        if covered >= count {
            break;
        }
        let fits = fit_count(&step.need, &worker.capacity).min(worker.spread_left);
        if fits == 0 {
            continue;
        }
        covered += fits;
        reserved.insert(ids::WorkerId::clone(&worker.worker));
    }
    (covered >= count).then_some(reserved)
}

/// How many times `need` fits in `room`.
pub fn fit_count(need: &Resources, capacity: &Resources) -> usize {
    let mut max = u64::MAX;
    for (need, capacity) in need.to_array().into_iter().zip(capacity.to_array()) {
        if let Some(fits) = capacity.checked_div(need) {
            max = max.min(fits);
        }
    }
    usize::try_from(max).unwrap_or(usize::MAX)
}
