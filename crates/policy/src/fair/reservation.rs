//! Reservation of one worker for a large task, so that small tasks cannot starve it.

use std::time;

use pier_core::{ids, resources, task};

use crate::{capacity, view};

/// The time that a large task waits before a worker is reserved for it.
const RESERVATION_DELAY: time::Duration = time::Duration::from_secs(5);
/// A task is large if it needs at least this part of the largest worker in some dimension.
const LARGE_TASK_DIVISOR: u64 = 2;

/// The margin of a backfill, as a part of the small task's run time: it must be expected to end
/// this much before the large task could start, because run times are estimates.
const BACKFILL_MARGIN_DIVISOR: u32 = 4;

/// The task for which a worker is reserved.
#[derive(Debug, Default)]
pub(super) struct Reservation {
    reserved: Option<(usize, ids::TaskId, ids::WorkerId)>,
}

/// The reserved worker in the current view.
#[derive(Debug, Clone)]
pub(super) struct ReservedWorker {
    pub(super) pending: usize,
    worker: usize,
    demand: resources::Resources,
    /// When the running tasks of the worker are expected to have freed enough resources for the
    /// large task; `None` if unknown.
    available_at: Option<time::Duration>,
}

impl ReservedWorker {
    /// Whether a task may use a worker: any but the reserved one, and the reserved one only if this
    /// does not delay the large task.
    pub(super) fn allows(
        &self,
        capacity: &capacity::FreeCapacity,
        pending: usize,
        worker: usize,
        demand: &resources::Resources,
    ) -> bool {
        worker != self.worker
            || pending == self.pending
            || leaves_enough(&capacity.workers[worker].free, &self.demand, demand)
    }

    /// Returns the reserved worker if a task fits there and is expected to end before the large
    /// task could start anyway.
    pub(super) fn backfill(
        &self,
        now: time::Duration,
        capacity: &capacity::FreeCapacity,
        task: &view::PendingTask,
    ) -> Option<usize> {
        if task.run_estimate.is_zero() || !capacity.fits(self.worker, &task.resources) {
            return None;
        }
        let ends = now + task.run_estimate + task.run_estimate / BACKFILL_MARGIN_DIVISOR;
        self.available_at.is_some_and(|available_at| ends <= available_at).then_some(self.worker)
    }
}

impl Reservation {
    /// Drops the reservation if its task is no longer pending or its worker no longer schedulable.
    pub(super) fn drop_if_invalid(
        &mut self,
        view: &view::View<'_>,
        capacity: &capacity::FreeCapacity,
    ) {
        let valid = self
            .reserved_worker(view)
            .is_some_and(|reserved| capacity.workers[reserved.worker].schedulable);
        if !valid {
            self.reserved = None;
        }
    }

    /// Returns the reserved worker; `None` if no worker is reserved.
    pub(super) fn reserved_worker(&self, view: &view::View<'_>) -> Option<ReservedWorker> {
        let (pending, task, worker) = self.reserved.as_ref()?;
        let large = view.pending.get(*pending).filter(|pending| pending.task == *task)?;
        let worker = view.workers.binary_search_by(|known| known.worker.cmp(worker)).ok()?;
        let demand = large.resources;
        let available_at = available_at(view.now, &view.workers[worker], &demand);
        Some(ReservedWorker { pending: *pending, worker, demand, available_at })
    }

    /// Reserves a worker for the large task that has waited longest, unless the current reservation
    /// is still needed.
    pub(super) fn update(&mut self, view: &view::View<'_>, unplaced: &[usize]) {
        if let Some(reserved) = self.reserved_worker(view)
            && unplaced.contains(&reserved.pending)
        {
            return;
        }
        self.reserved = None;
        let Some(pending) = oldest_large_task(view, unplaced) else {
            return;
        };
        let Some(task) = view.pending.get(pending) else {
            return;
        };
        if let Some(worker) = smallest_deficit_worker(view, &task.resources) {
            self.reserved = Some((pending, task.task.clone(), view.workers[worker].worker.clone()));
        }
    }
}

/// When the running tasks of a worker are expected to have freed enough resources for a demand;
/// `None` if unknown. A task that has run beyond its expected end may run for any time.
fn available_at(
    now: time::Duration,
    worker: &view::Worker,
    demand: &resources::Resources,
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
        if capacity::can_hold(&free, demand) {
            return Some(at);
        }
    }
    None
}

/// The oldest large task that has waited for at least [`RESERVATION_DELAY`].
fn oldest_large_task(view: &view::View<'_>, unplaced: &[usize]) -> Option<usize> {
    let mut oldest: Option<(time::Duration, usize)> = None;
    let mut largest: Option<resources::Resources> = None;
    for pending in unplaced {
        let Some(task) = view.pending.get(*pending) else {
            continue;
        };
        let waited = view.now.saturating_sub(task.arrived);
        if task.class == task::Class::Urgent || waited < RESERVATION_DELAY {
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

/// The largest total of any worker in each dimension.
fn largest_worker(view: &view::View<'_>) -> resources::Resources {
    let mut largest = resources::Resources::ZERO;
    for worker in view.workers {
        largest = largest.max(&worker.total);
    }
    largest
}

fn is_large(demand: &resources::Resources, largest: &resources::Resources) -> bool {
    for (amount, capacity) in demand.to_array().into_iter().zip(largest.to_array()) {
        if amount > 0 && amount.saturating_mul(LARGE_TASK_DIVISOR) >= capacity {
            return true;
        }
    }
    false
}

/// The schedulable worker that could hold a demand when empty and that lacks the smallest part of
/// it now.
fn smallest_deficit_worker(view: &view::View<'_>, demand: &resources::Resources) -> Option<usize> {
    let mut best = None;
    for (index, worker) in view.workers.iter().enumerate() {
        if !worker.schedulable || worker.failures > 0 || !capacity::can_hold(&worker.total, demand)
        {
            continue;
        }
        let deficit_ppm = capacity::dominant_share_ppm(&demand.minus(&worker.free), &worker.total);
        if best.is_none_or(|(smallest, _)| deficit_ppm < smallest) {
            best = Some((deficit_ppm, index));
        }
    }
    best.map(|(_, index)| index)
}

/// Whether a small task leaves enough for a large one in every dimension that both use.
fn leaves_enough(
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
