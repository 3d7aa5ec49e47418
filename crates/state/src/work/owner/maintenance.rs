//! Periodic work of the owner, and reactions to released workers and new epochs.

use std::time;

use pier_core::{caller, ids};

use super::{END_RETRY_INTERVAL, Owner, RETURN_AFTER, RETURN_INTERVAL, send_end};
use crate::work::placement::AttemptId;
use crate::work::{closed, ledger, step};

impl Owner {
    /// Expires waiting tasks and reservations and repeats unacknowledged ends.
    pub(in crate::work) fn tick(&mut self, step: &mut step::Step<'_>, ledger: &mut ledger::Ledger) {
        self.closed.expire(step.now);
        self.unfolded.tick(step);
        self.dirty |= !self.backlog.is_empty();
        self.expire_waiting(step);
        self.return_waiting(step, ledger);
        let mut expired = Vec::new();
        for (id, reservation) in &self.reservations {
            if reservation.until <= step.now {
                expired.push(id.clone());
            }
        }
        for id in expired {
            if let Some(reservation) = self.reservations.remove(&id) {
                self.expire(step, ledger, id, &reservation);
            }
        }
        for (id, ending) in &mut self.ends {
            if ending.next_send <= step.now {
                ending.next_send = step.now + END_RETRY_INTERVAL;
                send_end(step, id, ending);
            }
        }
    }

    pub(super) fn expire_waiting(&mut self, step: &mut step::Step<'_>) {
        let mut late = Vec::new();
        for (slot, pending) in self.backlog.by_arrival() {
            if pending.start_by.is_some_and(|by| by <= step.now) {
                late.push(slot);
            }
        }
        let kind = match step.cluster.may_start(step.now) {
            true => caller::RefusalKind::NoRoom,
            false => caller::RefusalKind::NoAuthority,
        };
        for slot in late {
            self.refuse_waiting(step, slot, kind);
        }
    }

    /// Returns job tasks to their origin if they wait here while another owner has capacity for
    /// them.
    pub(super) fn return_waiting(&mut self, step: &mut step::Step<'_>, ledger: &ledger::Ledger) {
        if step.now < self.returned_at + RETURN_INTERVAL {
            return;
        }
        self.returned_at = step.now;
        let mut peer_capacity = Vec::new();
        for peer in step.cluster.peers.values() {
            let is_recently_heard =
                peer.heard_at.is_some_and(|at| step.now < at + self.options.suspect_after);
            if is_recently_heard && !peer.leaving {
                peer_capacity.push(peer.summary.load.largest_free);
            }
        }
        let mut returned = Vec::new();
        for (slot, view) in self.backlog.by_arrival() {
            let is_overdue = step.now >= view.arrived + RETURN_AFTER;
            let is_reservation = self.arrivals.get(&slot).is_some_and(|arrival| arrival.reserve);
            if view.job.is_none() || !is_overdue || is_reservation {
                continue;
            }
            if ledger.has_capacity(&view.resources) {
                // The team limit blocks the task, and does so on every host.
                continue;
            }
            if let Some(room) = peer_capacity.iter().position(|room| view.resources.fits_in(room)) {
                peer_capacity.swap_remove(room);
                returned.push(slot);
            }
            if peer_capacity.is_empty() {
                break;
            }
        }
        for slot in returned {
            self.refuse_waiting(step, slot, caller::RefusalKind::NoRoom);
        }
    }

    /// Refuses all waiting tasks and expires all reservations.
    pub(in crate::work) fn refuse_all(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        kind: caller::RefusalKind,
    ) {
        let waiting: Vec<usize> = self.backlog.by_arrival().map(|(slot, _)| slot).collect();
        for slot in waiting {
            self.refuse_waiting(step, slot, kind);
        }
        while let Some((id, reservation)) = self.reservations.pop_first() {
            self.expire(step, ledger, id, &reservation);
        }
    }

    /// Expires the reservations on a worker.
    pub(in crate::work) fn expire_on_worker(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        worker: &ids::WorkerId,
    ) {
        let mut on_worker = Vec::new();
        for (id, reservation) in &self.reservations {
            if reservation.reserved.worker == *worker {
                on_worker.push(id.clone());
            }
        }
        for id in on_worker {
            if let Some(reservation) = self.reservations.remove(&id) {
                self.expire(step, ledger, id, &reservation);
            }
        }
    }

    /// Remembers an attempt on a released worker. If its call is still open, the answer will be
    /// passed on.
    pub(in crate::work) fn on_worker_released(
        &mut self,
        now: time::Duration,
        id: AttemptId,
        entry: &ledger::Entry,
    ) {
        if entry.own_call && entry.phase != ledger::Phase::Lost {
            self.open_calls.insert(id, entry.origin.clone());
            return;
        }
        self.closed.put(now, id, closed::Outcome::Closed);
    }

    /// Refuses waiting job tasks whose job has a new owner, and sends unacknowledged ends to the
    /// new owners. Ends whose origin is gone are dropped.
    pub(in crate::work) fn on_epoch(&mut self, step: &mut step::Step<'_>) {
        let mut moved = Vec::new();
        for (slot, pending) in self.backlog.by_arrival() {
            let Some(job) = &pending.job else {
                continue;
            };
            let origin = self.arrivals.get(&slot).map(|arrival| &arrival.origin);
            if step.cluster.home_of(job) != origin {
                moved.push(slot);
            }
        }
        for slot in moved {
            self.refuse_waiting(step, slot, caller::RefusalKind::NoAuthority);
        }
        let moved = self.unfolded.take_moved(step);
        for (id, mut ending) in moved {
            ending.next_send = step.now;
            self.ends.insert(id, ending);
        }
        let mut gone = Vec::new();
        for (id, ending) in &mut self.ends {
            if let Some(job) = &ending.job {
                if let Some(home) = step.cluster.home_of(job) {
                    ending.origin = home.clone();
                }
            } else if step.incarnation_of(&ending.origin).is_none() {
                gone.push(id.clone());
            }
        }
        for id in gone {
            self.ends.remove(&id);
            self.closed.put(step.now, id, closed::Outcome::Closed);
        }
        self.dirty = true;
    }
}
