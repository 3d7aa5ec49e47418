//! The default policy: urgent work first, then services, then batch and gang work by slack and by
//! the distance of each team from its share.

mod order;
mod reserve;
mod spread;
mod yields;

use pier_core::{caller, resources, task};

use crate::{room, view};

/// How many shapes of tasks that found no room are remembered within one decision.
const MAX_SHAPES: usize = 32;
/// How many tasks of a phase without room are remembered once no worker could hold any task. The
/// first ones are enough to choose victims, or the task for which a worker is kept.
const MAX_UNPLACED: usize = 256;

/// The default policy.
#[derive(Debug, Default)]
pub(crate) struct Fair {
    settings: view::Settings,
    reservation: reserve::Reservation,
    asked: yields::Asked,
}

impl view::Policy for Fair {
    fn name(&self) -> &'static str {
        "fair"
    }

    fn configure(&mut self, settings: &view::Settings) {
        self.settings = settings.clone();
    }

    fn decide(&mut self, view: &view::View<'_>) -> Vec<view::Decision> {
        let mut round = Round {
            view,
            room: room::Room::of(view),
            order: order::Order::of(view, &self.settings),
            spread: spread::Spread::default(),
            full: Vec::new(),
            unplaced: Vec::new(),
            decisions: Vec::new(),
        };
        round.start_phase(order::Phase::Urgent, None);
        let urgent = std::mem::take(&mut round.unplaced);
        yields::make_room(&mut round, &mut self.asked, &urgent);
        // What did not fit around urgent work may be kept from other work by the reservation.
        round.full.clear();
        self.reservation.refresh(view, &round.room);
        let kept = self.reservation.kept(view);
        round.start_kept(kept.as_ref());
        for phase in [order::Phase::Service, order::Phase::ShortSlack, order::Phase::Rest] {
            round.start_phase(phase, kept.as_ref());
        }
        self.reservation.choose(view, &round.unplaced);
        round.decisions
    }
}

/// One decision.
struct Round<'v> {
    view: &'v view::View<'v>,
    room: room::Room,
    order: order::Order<'v>,
    spread: spread::Spread<'v>,
    /// Shapes of tasks for which no worker has room any more, so that it has none for larger ones.
    full: Vec<resources::Resources>,
    /// Tasks that found no room although their team's limit allows them.
    unplaced: Vec<usize>,
    decisions: Vec<view::Decision>,
}

impl<'v> Round<'v> {
    /// Whether the host has workers and none of them could hold an urgent task if it were empty.
    fn never_fits(&self, task: &view::PendingTask) -> bool {
        let bounded = task.class == task::Class::Urgent && task.start_by.is_some();
        if !bounded || self.view.workers.is_empty() {
            return false;
        }
        // Most often the first workers already show that the task fits.
        !self.view.workers.iter().any(|worker| room::holds(&worker.total, &task.resources))
    }

    /// Starts the task for which a worker is kept, if it has room by now.
    fn start_kept(&mut self, kept: Option<&reserve::Kept>) {
        let Some(kept) = kept else {
            return;
        };
        let Some(task) = self.view.pending.get(kept.pending) else {
            return;
        };
        let team = room::team_index(self.view, &task.team);
        self.start(kept.pending, team, Some(kept));
    }

    /// Starts the tasks of a phase, the next one always of the team that is first in order.
    fn start_phase(&mut self, phase: order::Phase, kept: Option<&reserve::Kept>) {
        let mut queues = self.order.queues(self.view, phase);
        while let Some((pending, team)) = queues.next(&self.order) {
            if self.room.candidates().is_empty() && self.unplaced.len() >= MAX_UNPLACED {
                break;
            }
            let tried_before = kept.is_some_and(|kept| kept.pending == pending);
            if tried_before || !self.start(pending, team, kept) {
                queues.note_not_started();
            }
        }
    }

    /// Starts a task, or refuses it if it can certainly not start in time. Returns whether it
    /// starts.
    fn start(&mut self, pending: usize, team: Option<usize>, kept: Option<&reserve::Kept>) -> bool {
        let Some(task) = self.view.pending.get(pending) else {
            return false;
        };
        let late = task.start_by.is_some_and(|start_by| start_by <= self.view.now);
        if late || self.never_fits(task) {
            let kind = caller::RefusalKind::NoRoom;
            self.decisions.push(view::Decision::Refuse { pending, kind });
            return false;
        }
        if !self.room.team_allows(team, &task.resources) {
            return false;
        }
        let chosen = self.choose(pending, task, kept);
        let backfill = || kept?.backfill(self.view.now, &self.room, task);
        let Some(worker) = chosen.or_else(backfill) else {
            self.unplaced.push(pending);
            return false;
        };
        self.room.take(worker, team, &task.resources);
        self.order.charge(self.view, team, &task.resources);
        self.spread.add(task, worker);
        self.decisions.push(view::Decision::Start { pending, worker });
        true
    }

    /// The worker on which a task starts; none if it finds no room.
    fn choose(
        &mut self,
        pending: usize,
        task: &view::PendingTask,
        kept: Option<&reserve::Kept>,
    ) -> Option<usize> {
        let need = &task.resources;
        if self.room.candidates().is_empty() {
            return None;
        }
        // For its own task the kept worker is open too.
        let own_kept = kept.is_some_and(|kept| kept.pending == pending);
        if !own_kept && self.full.iter().any(|shape| room::holds(need, shape)) {
            return None;
        }
        let room = &self.room;
        let allowed =
            |worker| kept.is_none_or(|kept| kept.allows_beside(room, pending, worker, need));
        let chosen = if task.class == task::Class::Service {
            let counts = self.spread.counts(self.view, task);
            room.cheapest(need, allowed, |worker| (counts.cost(worker), room.score(worker, need)))
        } else {
            room.cheapest(need, allowed, |worker| room.score(worker, need))
        };
        if chosen.is_none() && !own_kept && self.full.len() < MAX_SHAPES {
            self.full.push(*need);
        }
        chosen
    }
}
