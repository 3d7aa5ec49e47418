//! Where the tasks of services run, so that each is spread over availability zones, then racks.

use pier_core::{map, task};

use crate::view;

/// The tasks of services by job.
#[derive(Debug, Default)]
pub(super) struct Spread<'v> {
    jobs: Option<map::Map<&'v str, Vec<usize>>>,
    places: Vec<Place>,
}

/// Where a worker stands, as numbers.
#[derive(Debug, Clone, Copy)]
struct Place {
    zone: usize,
    rack: usize,
}

/// How many tasks of one service run in each place.
#[derive(Debug)]
pub(super) struct Counts<'a> {
    places: &'a [Place],
    zones: Vec<u32>,
    racks: Vec<u32>,
    workers: Vec<u32>,
}

impl Counts<'_> {
    /// What orders the workers: the tasks in the zone, then in the rack, then on the worker.
    pub(super) fn cost(&self, worker: usize) -> (u32, u32, u32) {
        let place = self.places[worker];
        (self.zones[place.zone], self.racks[place.rack], self.workers[worker])
    }
}

impl<'v> Spread<'v> {
    /// Where the tasks of the service of `task` run.
    pub(super) fn counts(&mut self, view: &view::View<'v>, task: &view::PendingTask) -> Counts<'_> {
        self.fill(view);
        let mut counts = Counts {
            places: &self.places,
            zones: vec![0; self.places.len()],
            racks: vec![0; self.places.len()],
            workers: vec![0; self.places.len()],
        };
        let (Some(jobs), Some(job)) = (&self.jobs, &task.job) else {
            return counts;
        };
        for worker in jobs.get(job.as_ref()).map(Vec::as_slice).unwrap_or_default() {
            let place = self.places[*worker];
            counts.zones[place.zone] += 1;
            counts.racks[place.rack] += 1;
            counts.workers[*worker] += 1;
        }
        counts
    }

    /// Counts a task that starts.
    pub(super) fn add(&mut self, task: &'v view::PendingTask, worker: usize) {
        let (Some(jobs), Some(job)) = (&mut self.jobs, &task.job) else {
            return;
        };
        if task.class == task::Class::Service {
            jobs.entry(job.as_ref()).or_default().push(worker);
        }
    }

    /// Collects the running tasks of services, once for each decision that needs them.
    fn fill(&mut self, view: &view::View<'v>) {
        if self.jobs.is_some() {
            return;
        }
        let mut jobs: map::Map<&'v str, Vec<usize>> = map::Map::default();
        let mut zones: map::Map<&str, usize> = map::Map::default();
        let mut racks: map::Map<(usize, &str), usize> = map::Map::default();
        for (index, worker) in view.workers.iter().enumerate() {
            let next = zones.len();
            let zone = *zones.entry(worker.availability_zone.as_ref()).or_insert(next);
            let next = racks.len();
            let rack = *racks.entry((zone, worker.rack.as_ref())).or_insert(next);
            self.places.push(Place { zone, rack });
            for running in &worker.running {
                if running.class != task::Class::Service {
                    continue;
                }
                if let Some(job) = &running.job {
                    jobs.entry(job.as_ref()).or_default().push(index);
                }
            }
        }
        self.jobs = Some(jobs);
    }
}
