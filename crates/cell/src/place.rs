//! Placement of the tasks of a step on workers.
//!
//! Tasks of odd sizes are packed by best fit: each goes to the worker that it leaves with the least
//! free resources, so that whole workers stay free for wide gangs and large tasks. A gang that does
//! not fit reserves workers and later steps are placed elsewhere, so that a stream of small tasks
//! does not starve it.
//!
//! Workers may differ in speed: steps with little time are placed on fast workers, steps with time
//! to spare leave these to others, and no step is placed where it would certainly be late.

use std::collections::BTreeMap;

use pier_core::ids;
use pier_core::map::Set;
use pier_core::resources::Resources;

use crate::job::{Label, Step};
use crate::speed::SpeedClass;

/// What a worker offers to a step at the moment.
#[derive(Debug, Clone)]
pub struct AvailableWorker {
    /// The worker.
    pub worker: ids::WorkerId,
    /// The free resources.
    pub free: Resources,
    /// The total resources.
    pub capacity: Resources,
    /// The rack.
    pub rack: Option<Label>,
    /// The factor by which the step's tasks run longer there than usual.
    pub slowdown: f64,
    /// How many more tasks of the step the worker may run under the spread limit.
    pub spread_left: usize,
    /// Whether the worker is reserved for another step. It is then used last.
    pub is_reserved: bool,
}

/// The slowdown that a step tolerates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedTolerance {
    /// The maximum slowdown of a worker for the step.
    pub max_slowdown: f64,
    /// Whether the step prefers slow workers, to leave fast ones to other steps.
    pub avoids_fast_workers: bool,
    /// The slowdown of a gang that should share a rack and does not.
    pub cross_rack_slowdown: f64,
}

impl SpeedTolerance {
    /// Any worker with free resources.
    pub const ANY: Self =
        Self { max_slowdown: f64::INFINITY, avoids_fast_workers: false, cross_rack_slowdown: 1.0 };

    /// The order in which speed classes are preferred. Lower values come first.
    fn preference(&self, speed_class: SpeedClass) -> u8 {
        match (speed_class, self.avoids_fast_workers) {
            (SpeedClass::Normal, false) | (SpeedClass::Slow, true) => 0,
            (SpeedClass::Normal, true) | (SpeedClass::Slow, false) => 1,
            (SpeedClass::VerySlow, _) => 2,
        }
    }
}

/// Chooses a worker for each of `count` tasks and returns their indexes in `workers`. A gang is
/// placed as a whole or not at all. The resources of the placed tasks are subtracted from
/// `workers`.
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

/// The sets of workers that are tried for a gang, in order. The members of a gang finish together,
/// so one on a slow worker delays all others: sets of equal speed come first and a mixed set last.
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
        let preference = speed_tolerance.preference(SpeedClass::of(worker.slowdown));
        let rank = (worker.is_reserved, preference, rest.dominant_share_ppm(&worker.capacity));
        if best.is_none_or(|(_, best_rank)| rank < best_rank) {
            best = Some((*index, rank));
        }
    }
    best.map(|(index, _)| index)
}

/// The workers to reserve for a gang of `count` tasks that does not fit now: those with the largest
/// free share, until the gang would fit on them when they are empty. None if it would not even fit
/// on all of them.
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
    let mut covered: usize = 0;
    for worker in by_free {
        if covered >= count {
            break;
        }
        let fits = coverage(step, worker);
        if fits == 0 {
            continue;
        }
        covered = covered.saturating_add(fits);
        reserved.insert(ids::WorkerId::clone(&worker.worker));
    }
    (covered >= count).then_some(reserved)
}

/// How many tasks of the step fit on the worker when it is empty.
pub fn coverage(step: &Step, worker: &AvailableWorker) -> usize {
    fit_count(&step.need, &worker.capacity).min(worker.spread_left)
}

/// How many times `need` fits in `capacity`.
pub fn fit_count(need: &Resources, capacity: &Resources) -> usize {
    let mut max = u64::MAX;
    for (need, capacity) in need.to_array().into_iter().zip(capacity.to_array()) {
        if let Some(fits) = capacity.checked_div(need) {
            max = max.min(fits);
        }
    }
    usize::try_from(max).unwrap_or(usize::MAX)
}
