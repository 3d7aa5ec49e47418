//! Bounds, during a scheduling pass, of how many tasks of a size the workers have room for.
//!
//! While a cell is full, most of the waiting steps fit nowhere. The bounds skip the search for
//! workers for them, which would take most of the pass.

use pier_core::map::Map;
use pier_core::resources::Resources;

use crate::decider::{Context, Decider};
use crate::declaration::{Queue, ServiceId};
use crate::place;

/// Upper bounds for a pass. They hold during the whole pass, in which workers only become fuller.
#[derive(Debug, Default)]
pub(super) struct RoomBounds {
    tasks: Map<(ServiceId, Resources), usize>,
    /// Sizes of which not even one task fits.
    nothing_fits: Vec<(ServiceId, Resources)>,
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
        for (service, size) in &bounds.nothing_fits {
            if *service == queue.service && size.fits_in(need) {
                return 0;
            }
        }
        let key = (ServiceId::clone(&queue.service), *need);
        if let Some(tasks) = bounds.tasks.get(&key) {
            return *tasks;
        }
        self.refresh_room_bound(context, bounds, queue, need)
    }

    /// Counts anew how many tasks of this size fit.
    pub(super) fn refresh_room_bound(
        &self,
        context: &Context<'_>,
        bounds: &mut RoomBounds,
        queue: &Queue,
        need: &Resources,
    ) -> usize {
        let mut tasks: usize = 0;
        for worker in self.workers.values() {
            let is_open = worker.info.service == queue.service
                && worker.accepts_work(context.now)
                && !context.zones_out.contains(&worker.info.zone);
            if is_open {
                tasks = tasks.saturating_add(place::fit_count(need, &worker.free()));
            }
        }
        let key = (ServiceId::clone(&queue.service), *need);
        if tasks == 0 {
            bounds.nothing_fits.push(key.clone());
        }
        bounds.tasks.insert(key, tasks);
        tasks
    }
}
