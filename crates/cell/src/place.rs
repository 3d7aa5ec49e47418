//! Where the tasks of a step go.
//!
//! Answers packing under a load of odd sizes: each task goes where it leaves the least, so that
//! whole workers stay free for wide and large steps. A gang that does not fit keeps workers for
//! itself; later steps go elsewhere meanwhile, so that a stream of small tasks does not starve it.

use pier_core::ids;
use pier_core::map::Set;
use pier_core::resources::Resources;

use crate::job::Step;

/// What the load of a moment allows on a worker.
#[derive(Debug, Clone)]
pub struct Room {
    /// The worker.
    pub worker: ids::WorkerId,
    /// What is free.
    pub free: Resources,
    /// What it has.
    pub capacity: Resources,
    /// Whether it is in the rack of the step's data.
    pub is_near: bool,
    /// How many more tasks of the step it may take by the spread limit.
    pub spread_left: usize,
    /// Whether it is kept for another step. It is then the last choice.
    pub is_kept: bool,
}

/// Chooses a worker for each of `count` tasks: the position in `rooms` of each. A gang gets all or
/// nothing. The rooms are reduced by what was placed.
pub fn place(step: &Step, count: usize, limit: &Resources, rooms: &mut [Room]) -> Vec<usize> {
    let mut placed = Vec::with_capacity(count);
    let mut left = *limit;
    let before: Vec<Room> = if step.gang { rooms.to_vec() } else { Vec::new() };
    for _ in 0..count {
        if !step.need.fits_in(&left) {
            break;
        }
        let Some(best) = best_room(step, rooms) else {
            break;
        };
        let room = &mut rooms[best];
        room.free = room.free.minus(&step.need);
        room.spread_left -= 1;
        left = left.minus(&step.need);
        placed.push(best);
    }
    if step.gang && placed.len() < count {
        rooms.clone_from_slice(&before);
        placed.clear();
    }
    placed
}

fn best_room(step: &Step, rooms: &[Room]) -> Option<usize> {
    let mut best: Option<(usize, (bool, bool, u64))> = None;
    for (index, room) in rooms.iter().enumerate() {
        if room.spread_left == 0 || !step.need.fits_in(&room.free) {
            continue;
        }
        let rest = room.free.minus(&step.need);
        let rank = (room.is_kept, !room.is_near, rest.dominant_share_ppm(&room.capacity));
        if best.is_none_or(|(_, best_rank)| rank < best_rank) {
            best = Some((index, rank));
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
