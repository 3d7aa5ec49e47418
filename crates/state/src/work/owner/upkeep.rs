//! The passing of time, and workers and epochs that end.

use std::time;

use pier_core::{caller, ids};

use super::{END_REPEAT, MOVE_AFTER, MOVE_INTERVAL, Owner, send_end};
use crate::work::placement::AttemptId;
use crate::work::{ledger, memory, step};

impl Owner {
    /// Acts on the passing of time.
    pub(in crate::work) fn tick(&mut self, step: &mut step::Step<'_>, ledger: &mut ledger::Ledger) {
        self.memory.expire(step.now);
        self.kept.tick(step);
        self.dirty |= !self.backlog.is_empty();
        self.expire_waiting(step);
        self.send_back(step, ledger);
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
                ending.next_send = step.now + END_REPEAT;
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

    /// Sends job tasks back that wait here while another owner has room for them.
    pub(super) fn send_back(&mut self, step: &mut step::Step<'_>, ledger: &ledger::Ledger) {
        if step.now < self.moved_at + MOVE_INTERVAL {
            return;
        }
        self.moved_at = step.now;
        let mut rooms = Vec::new();
        for peer in step.cluster.peers.values() {
            let heard = peer.heard_at.is_some_and(|at| step.now < at + self.options.suspect_after);
            if heard && !peer.leaving {
                rooms.push(peer.summary.room.largest_free);
            }
        }
        let mut moved = Vec::new();
        for (slot, view) in self.backlog.by_arrival() {
            let old = step.now >= view.arrived + MOVE_AFTER;
            let reserve = self.arrivals.get(&slot).is_some_and(|arrival| arrival.reserve);
            if view.job.is_none() || !old || reserve {
                continue;
            }
            if ledger.has_room(&view.resources) {
                // The limit of the team holds the task back, and does so everywhere.
                continue;
            }
            if let Some(room) = rooms.iter().position(|room| view.resources.fits_in(room)) {
                rooms.swap_remove(room);
                moved.push(slot);
            }
            if rooms.is_empty() {
                break;
            }
        }
        for slot in moved {
            self.refuse_waiting(step, slot, caller::RefusalKind::NoRoom);
        }
    }

    /// Refuses everything that waits or is reserved.
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

    /// Gives reservations on a worker back.
    pub(in crate::work) fn expire_on(
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

    /// Remembers a task of a worker that was given up.
    pub(in crate::work) fn gave_up(
        &mut self,
        now: time::Duration,
        id: AttemptId,
        entry: &ledger::Entry,
    ) {
        if entry.own_call && entry.phase != ledger::Phase::Lost {
            self.calls.insert(id, entry.origin.clone());
            return;
        }
        self.memory.put(now, id, memory::Fate::Gone);
    }

    /// Acts on a new epoch: tasks of jobs follow the owner of the job.
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
        let moved = self.kept.take_moved(step);
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
            self.memory.put(step.now, id, memory::Fate::Gone);
        }
        self.dirty = true;
    }
}
