//! Selects the workers that are available to a step and reserves workers for gangs.

use pier_core::ids;
use pier_core::resources::Resources;

use crate::decider::schedule::Candidate;
use crate::decider::{Context, Decider};
use crate::declaration::Queue;
use crate::job::Step;
use crate::place::{self, AvailableWorker};
use crate::worker::Worker;

impl Decider {
    /// The workers that can be sent the step's tasks now. If the queue has a policy, these are the
    /// workers with a valid ticket.
    pub(super) fn dispatchable_workers(
        &self,
        context: &Context<'_>,
        candidate: &Candidate,
        queue: &Queue,
    ) -> Vec<AvailableWorker> {
        if queue.advice.is_none() {
            return self.available_workers(context, candidate, queue);
        }
        let mut workers = Vec::new();
        let Some(advice) = self.advice.get(&candidate.key()) else {
            return workers;
        };
        for id in advice.workers_with_ticket(context.now) {
            let worker = self.workers.get(id);
            workers.extend(
                worker.and_then(|worker| self.available_worker(context, candidate, queue, worker)),
            );
        }
        workers
    }

    /// The workers that may run the step's tasks, regardless of tickets.
    pub(super) fn available_workers(
        &self,
        context: &Context<'_>,
        candidate: &Candidate,
        queue: &Queue,
    ) -> Vec<AvailableWorker> {
        let mut workers = Vec::new();
        for worker in self.workers.values() {
            workers.extend(self.available_worker(context, candidate, queue, worker));
        }
        workers
    }

    /// What the worker offers to the step, or none if it may not run the step's tasks.
    pub(super) fn available_worker(
        &self,
        context: &Context<'_>,
        candidate: &Candidate,
        queue: &Queue,
        worker: &Worker,
    ) -> Option<AvailableWorker> {
        let step = candidate.step();
        if !worker.accepts_work(context.now) || !is_suitable(context, step, queue, worker) {
            return None;
        }
        let (free, is_reserved) = self.gangs.free_for(candidate, context.now, worker)?;
        if step.gang && self.gangs.is_excluded(&candidate.key(), &worker.info.id) {
            return None;
        }
        let spread_left = match step.spread_limit {
            None => usize::MAX,
            Some(limit) => {
                let is_own = |task: &&crate::job::TaskRef| {
                    task.job == candidate.job && task.step == candidate.step
                };
                limit.saturating_sub(worker.runs.iter().filter(is_own).count())
            }
        };
        let is_data_local = step.data_rack.as_ref().is_none_or(|rack| worker.rack() == Some(rack));
        let data_slowdown = if is_data_local { 1.0 } else { context.options.remote_slowdown };
        let held = self.reclaim.held_for_others(&worker.info.id, &candidate.job, candidate.step);
        Some(AvailableWorker {
            worker: ids::WorkerId::clone(&worker.info.id),
            free: free.minus(&held),
            capacity: worker.info.capacity,
            rack: worker.rack().cloned(),
            slowdown: self.speeds.slowdown(context.now, &worker.info.id) * data_slowdown,
            spread_left,
            is_reserved,
        })
    }

    /// Whether the gang would fit in its account's limit and on the workers if nothing else ran.
    /// Nothing is reserved for a gang that has to wait for other limits or other workers.
    pub(super) fn could_run_whole(
        &self,
        context: &Context<'_>,
        candidate: &Candidate,
        queue: &Queue,
    ) -> bool {
        let step = candidate.step();
        let waiting = candidate.waiting.len();
        let account =
            candidate.spec.account.as_ref().and_then(|name| context.declaration.account(name));
        if account.is_some_and(|account| place::fit_count(&step.need, &account.cap) < waiting) {
            return false;
        }
        let mut covered: usize = 0;
        for worker in self.workers.values() {
            if !worker.is_usable() || !is_suitable(context, step, queue, worker) {
                continue;
            }
            let spread = step.spread_limit.unwrap_or(usize::MAX);
            let fits = place::fit_count(&step.need, &worker.info.capacity).min(spread);
            covered = covered.saturating_add(fits);
            if covered >= waiting {
                return true;
            }
        }
        false
    }

    /// Reserves workers for a gang that does not fit now. Returns whether it has a reservation.
    pub(super) fn reserve_workers(
        &mut self,
        context: &Context<'_>,
        candidate: &Candidate,
        queue: &Queue,
        limit: &Resources,
    ) -> bool {
        let key = candidate.key();
        let waiting = candidate.waiting.len();
        let mut covered: usize = 0;
        let mut are_reserved_available = true;
        for (id, (job, step, _)) in &self.gangs.whole_workers {
            if *job != key.0 || *step != key.1 {
                continue;
            }
            let worker = self.workers.get(id);
            let available =
                worker.and_then(|worker| self.available_worker(context, candidate, queue, worker));
            match available {
                Some(worker) => {
                    covered = covered.saturating_add(place::coverage(candidate.step(), &worker));
                }
                None => are_reserved_available = false,
            }
        }
        // A reserved worker may have started again as a smaller one.
        if are_reserved_available && covered >= waiting {
            return true;
        }
        self.gangs.whole_workers.retain(|_, (job, step, _)| *job != key.0 || *step != key.1);
        // Reserved workers would be of no use while the account's limit is exceeded.
        if place::fit_count(&candidate.step().need, limit) < waiting {
            return false;
        }
        let mut workers = self.available_workers(context, candidate, queue);
        if queue.advice.is_some() {
            workers.retain(|worker| {
                self.advice.get(&key).is_some_and(|advice| advice.is_eligible(&worker.worker))
            });
        }
        workers.retain(|worker| worker.slowdown <= candidate.speed_tolerance.max_slowdown);
        let Some(reserved) = place::reserve(candidate.step(), waiting, &workers) else {
            return false;
        };
        tracing::info!(job = %candidate.job, step = candidate.step, workers = reserved.len(),
            "reserved workers for a gang");
        for worker in reserved {
            let reservation = (ids::JobId::clone(&key.0), key.1, queue.priority);
            self.gangs.whole_workers.insert(worker, reservation);
        }
        true
    }
}

/// Whether the worker is of the kind and in a place that the step can run in.
pub(super) fn is_suitable(
    context: &Context<'_>,
    step: &Step,
    queue: &Queue,
    worker: &Worker,
) -> bool {
    let has_label =
        step.required_label.as_ref().is_none_or(|label| worker.info.labels.contains(label));
    has_label
        && worker.info.service == queue.service
        && !context.zones_out.contains(&worker.info.zone)
}
