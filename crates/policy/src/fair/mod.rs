//! The default policy: urgent work first, then services, then batch and gang work by slack and by
//! the usage of each team relative to its share.

mod order;
mod preemption;
mod reservation;
mod spread;

use pier_core::{caller, resources, task};

use crate::{capacity, view};

/// The maximum number of unplaceable demands remembered within one decision.
const MAX_UNPLACEABLE_DEMANDS: usize = 32;
/// The maximum number of unplaced tasks of a phase once no worker could hold any task. The first
/// ones suffice to choose victims, or the task for which a worker is reserved.
const MAX_UNPLACED: usize = 256;

/// The default policy.
#[derive(Debug, Default)]
pub(crate) struct Fair {
    settings: view::Settings,
    reservation: reservation::Reservation,
    preemptions: preemption::PreemptionHistory,
}

impl view::Policy for Fair {
    fn name(&self) -> &'static str {
        "fair"
    }

    fn configure(&mut self, settings: &view::Settings) {
        self.settings = settings.clone();
    }

    fn decide(&mut self, view: &view::View<'_>) -> Vec<view::Decision> {
        let mut pass = SchedulingPass {
            view,
            capacity: capacity::FreeCapacity::from_view(view),
            order: order::Order::new(view, &self.settings),
            spread: spread::Spread::default(),
            unplaceable: Vec::new(),
            unplaced: Vec::new(),
            decisions: Vec::new(),
        };
        pass.start_phase(order::Phase::Urgent, None);
        let urgent = std::mem::take(&mut pass.unplaced);
        preemption::preempt_for(&mut pass, &mut self.preemptions, &urgent);
        // The entries were recorded without the reservation, which may withhold capacity from other
        // work.
        pass.unplaceable.clear();
        self.reservation.drop_if_invalid(view, &pass.capacity);
        let reserved = self.reservation.reserved_worker(view);
        pass.start_reserved_task(reserved.as_ref());
        for phase in [order::Phase::Service, order::Phase::ShortSlack, order::Phase::Remaining] {
            pass.start_phase(phase, reserved.as_ref());
        }
        self.reservation.update(view, &pass.unplaced);
        pass.decisions
    }
}

/// The state of one decision.
struct SchedulingPass<'v> {
    view: &'v view::View<'v>,
    capacity: capacity::FreeCapacity,
    order: order::Order<'v>,
    spread: spread::Spread<'v>,
    /// Demands that no worker can satisfy any more. The same holds for all larger demands.
    unplaceable: Vec<resources::Resources>,
    /// Tasks that fit on no worker although the limit of their team allows them.
    unplaced: Vec<usize>,
    decisions: Vec<view::Decision>,
}

impl<'v> SchedulingPass<'v> {
    /// Whether the host has workers and an urgent task exceeds the total resources of each.
    fn never_fits(&self, task: &view::PendingTask) -> bool {
        let bounded = task.class == task::Class::Urgent && task.start_by.is_some();
        if !bounded || self.view.workers.is_empty() {
            return false;
        }
        // In most cases the task fits on one of the first workers, which ends the search.
        !self.view.workers.iter().any(|worker| capacity::can_hold(&worker.total, &task.resources))
    }

    /// Starts the task for which a worker is reserved, if it fits by now.
    fn start_reserved_task(&mut self, reserved: Option<&reservation::ReservedWorker>) {
        let Some(reserved) = reserved else {
            return;
        };
        let Some(task) = self.view.pending.get(reserved.pending) else {
            return;
        };
        let team = capacity::team_index(self.view, &task.team);
        self.start(reserved.pending, team, Some(reserved));
    }

    /// Starts the tasks of a phase, taking each one from the team that is first in order.
    fn start_phase(&mut self, phase: order::Phase, reserved: Option<&reservation::ReservedWorker>) {
        let mut queue = self.order.phase_queue(self.view, phase);
        while let Some((pending, team)) = queue.next(&self.order) {
            if self.capacity.candidates().is_empty() && self.unplaced.len() >= MAX_UNPLACED {
                break;
            }
            let tried_before = reserved.is_some_and(|reserved| reserved.pending == pending);
            if tried_before || !self.start(pending, team, reserved) {
                queue.record_not_started();
            }
        }
    }

    /// Starts a task, or refuses it if it certainly cannot start in time. Returns whether it
    /// starts.
    fn start(
        &mut self,
        pending: usize,
        team: Option<usize>,
        reserved: Option<&reservation::ReservedWorker>,
    ) -> bool {
        let Some(task) = self.view.pending.get(pending) else {
            return false;
        };
        let too_late = task.start_by.is_some_and(|start_by| start_by <= self.view.now);
        if too_late || self.never_fits(task) {
            let kind = caller::RefusalKind::NoRoom;
            self.decisions.push(view::Decision::Refuse { pending, kind });
            return false;
        }
        if !self.capacity.team_allows(team, &task.resources) {
            return false;
        }
        let chosen = self.choose_worker(pending, task, reserved);
        let backfill = || reserved?.backfill(self.view.now, &self.capacity, task);
        let Some(worker) = chosen.or_else(backfill) else {
            self.unplaced.push(pending);
            return false;
        };
        self.capacity.allocate(worker, team, &task.resources);
        self.order.charge(self.view, team, &task.resources);
        self.spread.record_start(task, worker);
        self.decisions.push(view::Decision::Start { pending, worker });
        true
    }

    /// Returns the worker on which a task starts; `None` if it fits nowhere.
    fn choose_worker(
        &mut self,
        pending: usize,
        task: &view::PendingTask,
        reserved: Option<&reservation::ReservedWorker>,
    ) -> Option<usize> {
        let demand = &task.resources;
        if self.capacity.candidates().is_empty() {
            return None;
        }
        // The reserved worker is available to the task that owns the reservation, so an entry that
        // was recorded for other tasks does not apply to it.
        let owns_reservation = reserved.is_some_and(|reserved| reserved.pending == pending);
        if !owns_reservation
            && self.unplaceable.iter().any(|smaller| capacity::can_hold(demand, smaller))
        {
            return None;
        }
        let capacity = &self.capacity;
        let allowed = |worker| {
            reserved.is_none_or(|reserved| reserved.allows(capacity, pending, worker, demand))
        };
        let chosen = if task.class == task::Class::Service {
            let counts = self.spread.task_counts(self.view, task);
            capacity.min_cost_worker(demand, allowed, |worker| {
                (counts.cost(worker), capacity.fit_cost(worker, demand))
            })
        } else {
            capacity.min_cost_worker(demand, allowed, |worker| capacity.fit_cost(worker, demand))
        };
        if chosen.is_none() && !owns_reservation && self.unplaceable.len() < MAX_UNPLACEABLE_DEMANDS
        {
            self.unplaceable.push(*demand);
        }
        chosen
    }
}
