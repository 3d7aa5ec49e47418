//! Bounds, during a scheduling pass, of how many tasks of a size the workers have room for.
//!
//! While a cell is full, most of the waiting steps fit nowhere. The bounds skip the search for
//! workers for them, which would take most of the pass.

use pier_core::map::Map;
use pier_core::resources::Resources;

use crate::decider::schedule::Candidate;
use crate::decider::{Context, Decider};
use crate::declaration::{Queue, ServiceId};
use crate::place::{self, AvailableWorker};

/// Upper bounds for a pass. They hold while workers only become fuller and nothing that is reserved
/// is released. They do not hold for a step that something is reserved for.
#[derive(Debug, Default)]
pub(super) struct RoomBounds {
    /// By service, size and priority of the queue: less urgent queues may use less.
    tasks: Map<(ServiceId, Resources, u32), usize>,
    /// Sizes of which not even one task fits, and the most urgent priority for which this is known.
    nothing_fits: Vec<(ServiceId, Resources, u32)>,
}

impl RoomBounds {
    /// Records what is left after a placement, among all workers that a step of the queue may use.
    pub(super) fn record(&mut self, queue: &Queue, need: &Resources, workers: &[AvailableWorker]) {
        let mut tasks: usize = 0;
        for worker in workers {
            tasks = tasks.saturating_add(place::fit_count(need, &worker.free));
        }
        self.set(queue, need, tasks);
    }

    fn set(&mut self, queue: &Queue, need: &Resources, tasks: usize) {
        let key = (ServiceId::clone(&queue.service), *need, queue.priority);
        if tasks == 0 {
            self.nothing_fits.push(key.clone());
        }
        self.tasks.insert(key, tasks);
    }
}

impl Decider {
    /// How many tasks of this size fit in the free capacity of the queue's workers at most.
    pub(super) fn room_bound(
        &self,
        context: &Context<'_>,
        bounds: &mut RoomBounds,
        queue: &Queue,
        need: &Resources,
    ) -> usize {
        for (service, size, priority) in &bounds.nothing_fits {
            if *service == queue.service && *priority <= queue.priority && size.fits_in(need) {
                return 0;
            }
        }
        let key = (ServiceId::clone(&queue.service), *need, queue.priority);
        if let Some(tasks) = bounds.tasks.get(&key) {
            return *tasks;
        }
        let mut tasks: usize = 0;
        for worker in self.workers.values() {
            let is_open = worker.info.service == queue.service
                && worker.accepts_work(context.now)
                && !context.zones_out.contains(&worker.info.zone);
            if is_open {
                tasks = tasks.saturating_add(place::fit_count(need, &worker.free()));
            }
        }
        bounds.set(queue, need, tasks);
        tasks
    }

    /// Whether something is reserved for the step that is closed to others.
    pub(super) fn has_reserved(&self, candidate: &Candidate) -> bool {
        if self.reclaim.holds_for(&candidate.job, candidate.step)
            || self.gangs.get(&candidate.key()).is_some()
        {
            return true;
        }
        let is_own =
            |(job, step, _): &(_, _, u32)| *job == candidate.job && *step == candidate.step;
        candidate.step().gang && self.gangs.whole_workers.values().any(is_own)
    }
}
