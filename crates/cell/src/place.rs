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
pub struct Room {
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
    pub is_kept: bool,
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
    /// A step that runs wherever there is room.
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

/// Chooses a worker for each of `count` tasks: the position in `rooms` of each. A gang gets all or
/// nothing. The rooms are reduced by what was placed.
pub fn place(
    step: &Step,
    count: usize,
    limit: &Resources,
    speed_tolerance: &SpeedTolerance,
    rooms: &mut [Room],
) -> Vec<usize> {
    let mut open = Vec::with_capacity(rooms.len());
    for (index, room) in rooms.iter().enumerate() {
        if room.slowdown <= speed_tolerance.max_slowdown {
            open.push(index);
        }
    }
    if !step.gang {
        return place_among(step, count, limit, speed_tolerance, rooms, &open);
    }
    for group in gang_groups(step, speed_tolerance, rooms, open) {
        let before: Vec<Resources> = group.iter().map(|index| rooms[*index].free).collect();
        let spread_before: Vec<usize> =
            group.iter().map(|index| rooms[*index].spread_left).collect();
        let placed = place_among(step, count, limit, speed_tolerance, rooms, &group);
        if placed.len() == count {
            return placed;
        }
        for (position, index) in group.iter().enumerate() {
            rooms[*index].free = before[position];
            rooms[*index].spread_left = spread_before[position];
        }
    }
    Vec::new()
}

/// The sets of rooms that a gang tries in turn. Its members end together, so one on a slow worker
/// holds all others: equal workers come first, and a mixture last.
fn gang_groups(
    step: &Step,
    speed_tolerance: &SpeedTolerance,
    rooms: &[Room],
    open: Vec<usize>,
) -> Vec<Vec<usize>> {
    let mut groups = Vec::new();
    if step.same_rack {
        let mut racks: BTreeMap<Option<&Label>, Vec<usize>> = BTreeMap::new();
        for index in &open {
            racks.entry(rooms[*index].rack.as_ref()).or_default().push(*index);
        }
        groups.extend(racks.into_values());
        if speed_tolerance.cross_rack_slowdown > speed_tolerance.max_slowdown {
            return groups;
        }
    }
    let mut speed_classes: BTreeMap<u8, Vec<usize>> = BTreeMap::new();
    for index in &open {
        let preference = speed_tolerance.preference(SpeedClass::of(rooms[*index].slowdown));
        speed_classes.entry(preference).or_default().push(*index);
    }
    if speed_classes.len() > 1 {
        groups.extend(speed_classes.into_values());
    }
    groups.push(open);
    groups
}

fn place_among(
    step: &Step,
    count: usize,
    limit: &Resources,
    speed_tolerance: &SpeedTolerance,
    rooms: &mut [Room],
    among: &[usize],
) -> Vec<usize> {
    let mut placed = Vec::with_capacity(count);
    let mut left = *limit;
    for _ in 0..count {
        if !step.need.fits_in(&left) {
            break;
        }
        let Some(best) = best_room(step, speed_tolerance, rooms, among) else {
            break;
        };
        let room = &mut rooms[best];
        room.free = room.free.minus(&step.need);
        room.spread_left -= 1;
        left = left.minus(&step.need);
        placed.push(best);
    }
    placed
}

fn best_room(
    step: &Step,
    speed_tolerance: &SpeedTolerance,
    rooms: &[Room],
    among: &[usize],
) -> Option<usize> {
    let mut best: Option<(usize, (bool, u8, u64))> = None;
    for index in among {
        let room = &rooms[*index];
        if room.spread_left == 0 || !step.need.fits_in(&room.free) {
            continue;
        }
        let rest = room.free.minus(&step.need);
        let speed_class = speed_tolerance.preference(SpeedClass::of(room.slowdown));
        let rank = (room.is_kept, speed_class, rest.dominant_share_ppm(&room.capacity));
        if best.is_none_or(|(_, best_rank)| rank < best_rank) {
            best = Some((*index, rank));
        }
    }
    best.map(|(index, _)| index)
}

/// The workers to keep for a gang of `count` tasks that does not fit now: those that are nearest
/// to being free, until the gang would fit on them empty. None when it would not fit on all of them.
pub fn keep(step: &Step, count: usize, rooms: &[Room]) -> Option<Set<ids::WorkerId>> {
    let mut by_free: Vec<&Room> = rooms.iter().filter(|room| !room.is_kept).collect();
    by_free.sort_by_key(|room| std::cmp::Reverse(room.free.dominant_share_ppm(&room.capacity)));
    let mut kept = Set::default();
    let mut covered = 0;
    for room in by_free {
        if covered >= count {
            break;
        }
        let fits = times(&step.need, &room.capacity).min(room.spread_left);
        if fits == 0 {
            continue;
        }
        covered += fits;
        kept.insert(ids::WorkerId::clone(&room.worker));
    }
    (covered >= count).then_some(kept)
}

/// How many times `need` fits in `room`.
pub fn times(need: &Resources, room: &Resources) -> usize {
    let mut most = u64::MAX;
    for (need, room) in need.to_array().into_iter().zip(room.to_array()) {
        if let Some(fits) = room.checked_div(need) {
            most = most.min(fits);
        }
    }
    usize::try_from(most).unwrap_or(usize::MAX)
}
