//! One worker that is kept for a large task, so that small ones cannot pass it forever.

use std::time;

use pier_core::{ids, resources, task};

use crate::{room, view};

/// How long a large task waits before a worker is kept for it.
const LARGE_WAIT: time::Duration = time::Duration::from_secs(5);
/// A task is large if it needs at least this part of the largest worker in some dimension.
const LARGE_DIVISOR: u64 = 2;

/// A small task must be expected to end earlier than needed by this part of its run time, because
/// run times are estimates.
const BACKFILL_MARGIN_DIVISOR: u32 = 4;

/// The task for which a worker is kept.
#[derive(Debug, Default)]
pub(super) struct Reservation {
    kept: Option<(usize, ids::TaskId, ids::WorkerId)>,
}

/// The kept worker in the present view.
#[derive(Debug, Clone)]
pub(super) struct Kept {
    pub(super) pending: usize,
    worker: usize,
    need: resources::Resources,
    /// When the running tasks of the worker are expected to have left the large task its room;
    /// none when that is unknown.
    room_at: Option<time::Duration>,
}

impl Kept {
    /// Whether a task may use a worker: any but the kept one, and that only where the large task
    /// is not set back.
    pub(super) fn allows_beside(
        &self,
        room: &room::Room,
        pending: usize,
        worker: usize,
        need: &resources::Resources,
    ) -> bool {
        worker != self.worker
            || pending == self.pending
            || spares(&room.workers[worker].free, &self.need, need)
    }

    /// The kept worker, if a task has room there and is expected to end before the large task
    /// could start anyway.
    pub(super) fn backfill(
        &self,
        now: time::Duration,
        room: &room::Room,
        task: &view::PendingTask,
    ) -> Option<usize> {
        if task.run_estimate.is_zero() || !room.fits(self.worker, &task.resources) {
            return None;
        }
        let ends = now + task.run_estimate + task.run_estimate / BACKFILL_MARGIN_DIVISOR;
        self.room_at.is_some_and(|room_at| ends <= room_at).then_some(self.worker)
    }
}

impl Reservation {
    /// Drops the reservation if its task or worker has gone.
    pub(super) fn refresh(&mut self, view: &view::View<'_>, room: &room::Room) {
        let valid = self.kept(view).is_some_and(|kept| room.workers[kept.worker].open);
        if !valid {
            self.kept = None;
        }
    }

    /// The kept worker; none if none is kept.
    pub(super) fn kept(&self, view: &view::View<'_>) -> Option<Kept> {
        let (pending, task, worker) = self.kept.as_ref()?;
        let large = view.pending.get(*pending).filter(|pending| pending.task == *task)?;
        let worker = view.workers.binary_search_by(|known| known.worker.cmp(worker)).ok()?;
        let need = large.resources;
        let room_at = room_at(view.now, &view.workers[worker], &need);
        Some(Kept { pending: *pending, worker, need, room_at })
    }

    /// Keeps a worker for the large task that has waited longest, if there is one and no worker is
    /// kept yet.
    pub(super) fn choose(&mut self, view: &view::View<'_>, unplaced: &[usize]) {
        if let Some(kept) = self.kept(view)
            && unplaced.contains(&kept.pending)
        {
            return;
        }
        self.kept = None;
        let Some(pending) = oldest_large(view, unplaced) else {
            return;
        };
        let Some(task) = view.pending.get(pending) else {
            return;
        };
        if let Some(worker) = nearest_worker(view, &task.resources) {
            self.kept = Some((pending, task.task.clone(), view.workers[worker].worker.clone()));
        }
    }
}

/// When the tasks that run on a worker are expected to have left the room for a large one; none
/// when that is unknown. A task that has run beyond its expected end may run for any time.
fn room_at(
    now: time::Duration,
    worker: &view::Worker,
    need: &resources::Resources,
) -> Option<time::Duration> {
    let mut ends = Vec::with_capacity(worker.running.len());
    for running in &worker.running {
        if let Some(at) = running.ends.filter(|at| *at > now) {
            ends.push((at, &running.resources));
        }
    }
    ends.sort_unstable_by_key(|(at, _)| *at);
    let mut free = worker.free;
    for (at, resources) in ends {
        free = free.plus(resources);
        if room::holds(&free, need) {
            return Some(at);
        }
    }
    None
}

/// The oldest of the large tasks that have waited for long.
fn oldest_large(view: &view::View<'_>, unplaced: &[usize]) -> Option<usize> {
    let mut oldest: Option<(time::Duration, usize)> = None;
    let mut largest: Option<resources::Resources> = None;
    for pending in unplaced {
        let Some(task) = view.pending.get(*pending) else {
            continue;
        };
        let waited = view.now.saturating_sub(task.arrived);
        if task.class == task::Class::Urgent || waited < LARGE_WAIT {
            continue;
        }
        let largest = largest.get_or_insert_with(|| largest_worker(view));
        if !is_large(&task.resources, largest) {
            continue;
        }
        if oldest.is_none_or(|(arrived, _)| task.arrived < arrived) {
            oldest = Some((task.arrived, *pending));
        }
    }
    oldest.map(|(_, pending)| pending)
}

/// The largest amount that a worker has, in each dimension.
fn largest_worker(view: &view::View<'_>) -> resources::Resources {
    let mut largest = resources::Resources::ZERO;
    for worker in view.workers {
        largest = largest.max(&worker.total);
    }
    largest
}

fn is_large(need: &resources::Resources, largest: &resources::Resources) -> bool {
    for (amount, whole) in need.to_array().into_iter().zip(largest.to_array()) {
        if amount > 0 && amount.saturating_mul(LARGE_DIVISOR) >= whole {
            return true;
        }
    }
    false
}

/// The open worker that could hold a task when empty and lacks the smallest part of it now.
fn nearest_worker(view: &view::View<'_>, need: &resources::Resources) -> Option<usize> {
    let mut nearest = None;
    for (index, worker) in view.workers.iter().enumerate() {
        if !worker.schedulable || worker.failures > 0 || !room::holds(&worker.total, need) {
            continue;
        }
        let lacks = room::dominant_ppm(&need.minus(&worker.free), &worker.total);
        if nearest.is_none_or(|(least, _)| lacks < least) {
            nearest = Some((lacks, index));
        }
    }
    nearest.map(|(_, index)| index)
}

/// Whether a small task leaves a large one what it needs, in every dimension that both use.
fn spares(
    free: &resources::Resources,
    large: &resources::Resources,
    small: &resources::Resources,
) -> bool {
    let amounts = free.to_array().into_iter().zip(large.to_array()).zip(small.to_array());
    for ((free, large), small) in amounts {
        if large > 0 && small > 0 && free.saturating_sub(small) < large {
            return false;
        }
    }
    true
}
