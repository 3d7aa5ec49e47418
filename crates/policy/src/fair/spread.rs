//! Spreading of the tasks of each service over availability zones, then racks, then workers.

use pier_core::{map, task};

use crate::view;

/// The locations of the tasks of services.
#[derive(Debug, Default)]
pub(super) struct Spread<'v> {
    workers_by_job: Option<map::Map<&'v str, Vec<usize>>>,
    domains: Vec<FailureDomain>,
}

/// The indexes of the availability zone and the rack of a worker.
#[derive(Debug, Clone, Copy)]
struct FailureDomain {
    zone: usize,
    rack: usize,
}

/// The number of tasks of one service in each failure domain.
#[derive(Debug)]
pub(super) struct TaskCounts<'a> {
    domains: &'a [FailureDomain],
    zones: Vec<u32>,
    racks: Vec<u32>,
    workers: Vec<u32>,
}

impl TaskCounts<'_> {
    /// Returns the cost of a worker: the number of tasks in its zone, then in its rack, then on the
    /// worker itself.
    pub(super) fn cost(&self, worker: usize) -> (u32, u32, u32) {
        let domain = self.domains[worker];
        (self.zones[domain.zone], self.racks[domain.rack], self.workers[worker])
    }
}

impl<'v> Spread<'v> {
    /// Counts the tasks of the service that `task` belongs to.
    pub(super) fn task_counts(
        &mut self,
        view: &view::View<'v>,
        task: &view::PendingTask,
    ) -> TaskCounts<'_> {
        self.index_running_tasks(view);
        let mut counts = TaskCounts {
            domains: &self.domains,
            zones: vec![0; self.domains.len()],
            racks: vec![0; self.domains.len()],
            workers: vec![0; self.domains.len()],
        };
        let (Some(workers_by_job), Some(job)) = (&self.workers_by_job, &task.job) else {
            return counts;
        };
        for worker in workers_by_job.get(job.as_ref()).map(Vec::as_slice).unwrap_or_default() {
            let domain = self.domains[*worker];
            counts.zones[domain.zone] += 1;
            counts.racks[domain.rack] += 1;
            counts.workers[*worker] += 1;
        }
        counts
    }

    /// Counts a started task.
    pub(super) fn record_start(&mut self, task: &'v view::PendingTask, worker: usize) {
        let (Some(workers_by_job), Some(job)) = (&mut self.workers_by_job, &task.job) else {
            return;
        };
        if task.class == task::Class::Service {
            workers_by_job.entry(job.as_ref()).or_default().push(worker);
        }
    }

    /// Indexes the running tasks of services, once per decision that needs them.
    fn index_running_tasks(&mut self, view: &view::View<'v>) {
        if self.workers_by_job.is_some() {
            return;
        }
        let mut workers_by_job: map::Map<&'v str, Vec<usize>> = map::Map::default();
        let mut zones: map::Map<&str, usize> = map::Map::default();
        let mut racks: map::Map<(usize, &str), usize> = map::Map::default();
        for (index, worker) in view.workers.iter().enumerate() {
            let next = zones.len();
            let zone = *zones.entry(worker.availability_zone.as_ref()).or_insert(next);
            let next = racks.len();
            let rack = *racks.entry((zone, worker.rack.as_ref())).or_insert(next);
            self.domains.push(FailureDomain { zone, rack });
            for running in &worker.running {
                if running.class != task::Class::Service {
                    continue;
                }
                if let Some(job) = &running.job {
                    workers_by_job.entry(job.as_ref()).or_default().push(index);
                }
            }
        }
        self.workers_by_job = Some(workers_by_job);
    }
}
