//! Which workers are open to a step, and which are kept for a gang.

use pier_core::ids;
use pier_core::resources::Resources;

use crate::decider::schedule::Candidate;
use crate::decider::{Context, Decider};
use crate::declaration::Queue;
use crate::place::{self, Room};
use crate::worker::Worker;

impl Decider {
    /// The workers that may be sent the step's tasks now: with a policy, those with a ticket.
    pub(super) fn ready_rooms(
        &self,
        context: &Context<'_>,
        candidate: &Candidate,
        queue: &Queue,
    ) -> Vec<Room> {
        if queue.advice.is_none() {
            return self.open_rooms(context, candidate, queue);
        }
        let mut rooms = Vec::new();
        let Some(advice) = self.advice.get(&candidate.key()) else {
            return rooms;
        };
        for id in advice.ticketed(context.now) {
            let worker = self.workers.get(id);
            rooms.extend(worker.and_then(|worker| self.room(context, candidate, queue, worker)));
        }
        rooms
    }

    /// The workers that may run the step's tasks, with tickets or without.
    pub(super) fn open_rooms(
        &self,
        context: &Context<'_>,
        candidate: &Candidate,
        queue: &Queue,
    ) -> Vec<Room> {
        let mut rooms = Vec::new();
        for worker in self.workers.values() {
            rooms.extend(self.room(context, candidate, queue, worker));
        }
        rooms
    }

    /// What the worker offers the step; none when it may not run the step's tasks.
    pub(super) fn room(
        &self,
        context: &Context<'_>,
        candidate: &Candidate,
        queue: &Queue,
        worker: &Worker,
    ) -> Option<Room> {
        let step = candidate.step();
        if worker.entry.service != queue.service
            || !worker.takes_work(context.now)
            || context.zones_out.contains(&worker.entry.zone)
        {
            return None;
        }
        if let Some(label) = &step.required_label
            && !worker.entry.labels.contains(label)
        {
            return None;
        }
        let holder = self.kept.get(&worker.entry.id);
        let is_kept =
            holder.is_some_and(|(job, step, _)| *job != candidate.job || *step != candidate.step);
        // More urgent steps may use kept workers if nothing else is left.
        if is_kept && holder.is_some_and(|(_, _, priority)| *priority <= queue.priority) {
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
        let is_near = step.data_rack.as_ref().is_none_or(|rack| worker.rack() == Some(rack));
        let way = if is_near { 1.0 } else { context.options.remote_slowdown };
        Some(Room {
            worker: ids::WorkerId::clone(&worker.entry.id),
            free: worker.free(),
            capacity: worker.entry.capacity,
            rack: worker.rack().cloned(),
            slowness: self.paces.slowness(context.now, &worker.entry.id) * way,
            spread_left,
            is_kept,
        })
    }

    /// Keeps workers for a gang that does not fit now. Returns whether it keeps any.
    pub(super) fn keep_workers(
        &mut self,
        context: &Context<'_>,
        candidate: &Candidate,
        queue: &Queue,
        limit: &Resources,
    ) -> bool {
        let key = candidate.key();
        let waiting = candidate.waiting.len();
        let mut held_count = 0;
        let mut is_held_open = true;
        for (id, (job, step, _)) in &self.kept {
            if *job != key.0 || *step != key.1 {
                continue;
            }
            held_count += 1;
            let worker = self.workers.get(id);
            is_held_open = is_held_open
                && worker
                    .is_some_and(|worker| self.room(context, candidate, queue, worker).is_some());
        }
        if held_count > 0 && is_held_open {
            return true;
        }
        self.kept.retain(|_, (job, step, _)| *job != key.0 || *step != key.1);
        // Workers are of no use while the account's limit is in the way.
        if place::times(&candidate.step().need, limit) < waiting {
            return false;
        }
        let mut rooms = self.open_rooms(context, candidate, queue);
        if queue.advice.is_some() {
            rooms.retain(|room| {
                self.advice.get(&key).is_some_and(|advice| advice.is_eligible(&room.worker))
            });
        }
        rooms.retain(|room| room.slowness <= candidate.leeway.worst_slowness);
        let Some(kept) = place::keep(candidate.step(), waiting, &rooms) else {
            return false;
        };
        tracing::info!(job = %candidate.job, step = candidate.step, workers = kept.len(),
            "workers kept for a gang");
        for worker in kept {
            let holder = (ids::JobId::clone(&key.0), key.1, queue.priority);
            self.kept.insert(worker, holder);
        }
        true
    }
}
