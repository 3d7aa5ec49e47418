//! The worker owner: waiting tasks, starts, preemption and ends of tasks on this host's workers.

mod events;
mod maintenance;
mod starts;
mod unfolded;

use std::collections;
use std::time;

use pier_core::{caller, ids, map, resources, task};
use pier_policy::view;

use crate::work::placement::AttemptId;
use crate::work::{closed, jobs, ledger, limits, queue_stats, step, usage};
use crate::{message, options, report};

/// The minimum interval between two decisions while many tasks wait, because the cost of a decision
/// grows with their number.
const DECIDE_INTERVAL: time::Duration = time::Duration::from_millis(2);
/// Up to this number of waiting tasks a decision is made after every change.
const IMMEDIATE_DECISION_LIMIT: usize = 128;
/// The maximum time a job task waits at one owner.
const MAX_JOB_WAIT: time::Duration = time::Duration::from_secs(60);
/// How long a job task waits without capacity before it is returned because another owner has
/// capacity.
const RETURN_AFTER: time::Duration = time::Duration::from_secs(2);
/// The interval between checks for such tasks. Each check returns at most one task per owner with
/// capacity.
const RETURN_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// The interval between repeats of an unanswered preemption request.
const PREEMPT_RETRY_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// The interval between repeats of an unacknowledged end.
const END_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// The suggested retry delay in refusals.
const RETRY_AFTER_MS: u64 = 1_000;

/// The maximum number of waits that are stored until they are taken. Further ones are dropped.
const MAX_UNTAKEN_WAITS: usize = 4_096;

/// A request of an origin to place an attempt.
#[derive(Debug)]
pub(in crate::work) struct Arrival {
    pub(in crate::work) origin: ids::HostId,
    pub(in crate::work) spec: Box<task::TaskSpec>,
    pub(in crate::work) attempt: ids::Attempt,
    pub(in crate::work) start_by: Option<time::Duration>,
    pub(in crate::work) deadline: Option<time::Duration>,
    pub(in crate::work) reserve: bool,
}

/// Capacity reserved for a gang task until its job commits it.
#[derive(Debug)]
struct Reservation {
    reserved: ledger::Reserved,
    arrival: Arrival,
    until: time::Duration,
}

/// The end of an attempt as reported to its origin.
#[derive(Debug)]
struct AttemptEnd {
    origin: ids::HostId,
    job: Option<ids::JobId>,
    end: Option<task::TaskEnd>,
    worker: ids::WorkerId,
    next_send: time::Duration,
}

/// The scheduling policy in force.
struct ActivePolicy {
    name: std::sync::Arc<str>,
    settings: pier_policy::Settings,
    policy: Box<dyn view::Policy>,
}

impl std::fmt::Debug for ActivePolicy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ActivePolicy({})", self.name)
    }
}

/// The parts of the work state that a scheduling decision uses.
pub(in crate::work) struct DecisionState<'a> {
    pub(in crate::work) ledger: &'a mut ledger::Ledger,
    pub(in crate::work) limits: &'a mut limits::Limits,
    pub(in crate::work) usage: &'a usage::Usage,
}

/// The owner of this host's workers.
#[derive(Debug)]
pub(in crate::work) struct Owner {
    options: options::Options,
    /// Waiting tasks as seen by policies.
    backlog: pier_policy::Backlog,
    /// The placement request of each waiting task, by its slot in the backlog.
    arrivals: map::Map<usize, Arrival>,
    waiting_slots: map::Map<AttemptId, usize>,
    /// The total resources that the waiting tasks of each team need.
    waiting_by_team: map::Map<ids::TeamId, resources::Resources>,
    reservations: collections::BTreeMap<AttemptId, Reservation>,
    /// Ends that their origin has not acknowledged.
    ends: collections::BTreeMap<AttemptId, AttemptEnd>,
    unfolded: unfolded::UnfoldedEnds,
    closed: closed::ClosedAttempts,
    /// Open calls to workers that this host no longer owns, with the origin to answer.
    open_calls: collections::BTreeMap<AttemptId, ids::HostId>,
    active: Option<ActivePolicy>,
    /// Whether a decision was requested since the last one.
    dirty: bool,
    /// Whether to decide in this step, because an urgent task may have capacity or a team has more
    /// headroom.
    decide_now: bool,
    decided_at: time::Duration,
    returned_at: time::Duration,
    /// Observed run times and usage of the tasks that run or ended here.
    pub(in crate::work) queue_stats: queue_stats::QueueStats,
    /// Queue waits of started tasks that were not taken yet.
    waits: Vec<report::Wait>,
    pub(in crate::work) counters: report::Counters,
}

impl Owner {
    pub(in crate::work) fn new(options: options::Options) -> Self {
        Self {
            options,
            backlog: pier_policy::Backlog::default(),
            arrivals: map::Map::default(),
            waiting_slots: map::Map::default(),
            waiting_by_team: map::Map::default(),
            reservations: collections::BTreeMap::new(),
            ends: collections::BTreeMap::new(),
            unfolded: unfolded::UnfoldedEnds::default(),
            closed: closed::ClosedAttempts::default(),
            open_calls: collections::BTreeMap::new(),
            active: None,
            dirty: false,
            decide_now: false,
            decided_at: time::Duration::ZERO,
            returned_at: time::Duration::ZERO,
            queue_stats: queue_stats::QueueStats::default(),
            waits: Vec::new(),
            counters: report::Counters::default(),
        }
    }

    /// The number of waiting tasks.
    pub(in crate::work) fn waiting(&self) -> usize {
        self.backlog.len()
    }

    /// Requests a decision in this step because a team has more headroom.
    pub(in crate::work) fn request_immediate_decision(&mut self) {
        self.dirty = true;
        self.decide_now |= !self.backlog.is_empty();
    }

    /// The total resources that the waiting tasks of a team need.
    pub(in crate::work) fn waiting_of(&self, team: &ids::TeamId) -> resources::Resources {
        self.waiting_by_team.get(team).copied().unwrap_or_default()
    }

    /// The longest time that a waiting task has waited.
    pub(in crate::work) fn oldest_wait(&self, now: time::Duration) -> time::Duration {
        match self.backlog.by_arrival().next() {
            Some((_, oldest)) => now.saturating_sub(oldest.arrived),
            None => time::Duration::ZERO,
        }
    }

    /// Whether every end has been acknowledged and no call to a released worker is open.
    pub(in crate::work) fn is_drained(&self) -> bool {
        self.ends.is_empty() && self.open_calls.is_empty()
    }

    /// Updates the policy views of the workers from the cluster state and their back-off.
    pub(in crate::work) fn refresh(&self, step: &step::Step<'_>, ledger: &mut ledger::Ledger) {
        refresh_workers(step, ledger);
    }

    /// Requests a decision.
    pub(in crate::work) fn request_decision(&mut self) {
        self.dirty = true;
    }

    /// Queues a task for placement. An attempt is placed at most once.
    pub(in crate::work) fn place(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &ledger::Ledger,
        arrival: Arrival,
    ) {
        let id = (arrival.spec.task.clone(), arrival.attempt);
        if self.answer_duplicate(step, ledger, &arrival.origin, &id) {
            return;
        }
        if let Some(refusal) = self.refusal_of(step, ledger, &arrival) {
            self.refuse(step, &arrival.origin, id, refusal);
            return;
        }
        let bound = match arrival.spec.job {
            Some(_) => {
                let latest_start = step.now + MAX_JOB_WAIT;
                Some(arrival.start_by.map_or(latest_start, |start_by| start_by.min(latest_start)))
            }
            None => arrival.start_by,
        };
        let arrival = Arrival { start_by: bound, ..arrival };
        self.decide_now |= arrival.spec.class == task::Class::Urgent
            && ledger.has_capacity(&arrival.spec.resources);
        self.dirty = true;
        let slot = self.backlog.push(view::PendingTask {
            task: arrival.spec.task.clone(),
            job: arrival.spec.job.clone(),
            team: arrival.spec.team.clone(),
            class: arrival.spec.class,
            resources: arrival.spec.resources,
            arrived: step.now,
            start_by: arrival.start_by,
            deadline: arrival.deadline,
            run_estimate: self.queue_stats.estimate(
                step.now,
                &arrival.spec.team,
                &arrival.spec.queue,
                time::Duration::from_millis(arrival.spec.run_estimate_ms),
            ),
        });
        let waiting = self.waiting_by_team.entry(arrival.spec.team.clone()).or_default();
        *waiting = waiting.plus(&arrival.spec.resources);
        self.waiting_slots.insert(id, slot);
        self.arrivals.insert(slot, arrival);
    }

    /// Answers a repeated message about a known attempt. Returns whether the attempt is known.
    fn answer_duplicate(
        &self,
        step: &mut step::Step<'_>,
        ledger: &ledger::Ledger,
        origin: &ids::HostId,
        id: &AttemptId,
    ) -> bool {
        let (task, attempt) = id.clone();
        if self.waiting_slots.contains_key(id) || self.open_calls.contains_key(id) {
            step.send_place(origin, message::PlaceMessage::Accepted { task, attempt });
            return true;
        }
        if let Some((worker, entry)) = ledger.entry(id) {
            let message = match entry.phase {
                ledger::Phase::Reserved => message::PlaceMessage::Reserved { task, attempt },
                ledger::Phase::Starting if entry.labels.job.is_some() => {
                    message::PlaceMessage::Accepted { task, attempt }
                }
                ledger::Phase::Lost => message::PlaceMessage::Lost { task, attempt },
                ledger::Phase::Starting | ledger::Phase::Running => {
                    message::PlaceMessage::Started { task, attempt, worker: worker.clone() }
                }
            };
            step.send_place(origin, message);
            return true;
        }
        if self.ends.contains_key(id) {
            // The end is repeated until it is acknowledged.
            return true;
        }
        match self.closed.get(id) {
            Some(closed::Outcome::Refused(refusal)) => {
                let refusal = refusal.clone();
                let message = message::PlaceMessage::Refused { task, attempt, refusal };
                step.send_place(origin, message);
                true
            }
            Some(closed::Outcome::Closed) => true,
            None => false,
        }
    }

    /// Why a task cannot be placed here at all; none if it can.
    fn refusal_of(
        &self,
        step: &step::Step<'_>,
        ledger: &ledger::Ledger,
        arrival: &Arrival,
    ) -> Option<caller::Refusal> {
        let refusal = |kind, detail: &str| {
            Some(caller::Refusal::not_run(kind, detail).with_retry_after(RETRY_AFTER_MS))
        };
        if step.leaving {
            return refusal(caller::RefusalKind::ShuttingDown, "the host is shutting down");
        }
        if !step.cluster.is_member {
            return refusal(
                caller::RefusalKind::NoAuthority,
                "the host is not a member of the cell",
            );
        }
        if let Some(job) = &arrival.spec.job
            && step.cluster.home_of(job) != Some(&arrival.origin)
        {
            return refusal(caller::RefusalKind::NoAuthority, "the job is owned by another host");
        }
        if arrival.spec.job.is_some()
            && jobs::is_from_earlier_epoch(arrival.attempt, step.cluster.epoch)
        {
            return refusal(
                caller::RefusalKind::NoAuthority,
                "the attempt was placed in an earlier epoch",
            );
        }
        if self.waiting() >= self.options.max_waiting {
            return refusal(
                caller::RefusalKind::Overloaded,
                "too many tasks are waiting at the host",
            );
        }
        if !ledger.could_hold(&arrival.spec.resources) {
            return refusal(
                caller::RefusalKind::NoRoom,
                "no worker of the host is large enough for the task",
            );
        }
        None
    }

    /// Tells the origin that the attempt has not run and never will, and remembers the refusal.
    fn refuse(
        &mut self,
        step: &mut step::Step<'_>,
        origin: &ids::HostId,
        id: AttemptId,
        refusal: caller::Refusal,
    ) {
        let (task, attempt) = id.clone();
        self.closed.put(step.now, id, closed::Outcome::Refused(refusal.clone()));
        step.send_place(origin, message::PlaceMessage::Refused { task, attempt, refusal });
    }

    /// Removes a waiting task from the backlog; none if the slot is empty.
    fn take_waiting(&mut self, slot: usize) -> Option<(view::PendingTask, Arrival)> {
        let pending = self.backlog.remove(slot)?;
        let arrival = self.arrivals.remove(&slot)?;
        self.waiting_slots.remove(&(pending.task.clone(), arrival.attempt));
        if let Some(needed) = self.waiting_by_team.get_mut(&pending.team) {
            *needed = needed.minus(&pending.resources);
            if needed.is_zero() {
                self.waiting_by_team.remove(&pending.team);
            }
        }
        Some((pending, arrival))
    }

    /// Cancels an attempt on request of its origin.
    pub(in crate::work) fn cancel(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        from: &ids::HostId,
        id: AttemptId,
    ) {
        let cancelled =
            caller::Refusal::not_run(caller::RefusalKind::Cancelled, "the task was cancelled");
        if let Some(slot) = self.waiting_slots.get(&id).copied() {
            if self.arrivals.get(&slot).is_some_and(|arrival| arrival.origin == *from) {
                self.take_waiting(slot);
                self.refuse(step, from, id, cancelled);
            }
            return;
        }
        if let Some(reservation) = self.reservations.get(&id) {
            if reservation.arrival.origin == *from {
                ledger.give_back(&reservation.reserved);
                self.reservations.remove(&id);
                self.dirty = true;
                self.refuse(step, from, id, cancelled);
            }
            return;
        }
        let may_stop = match ledger.entry(&id) {
            Some((_, entry)) => entry.labels.job.is_some() && entry.origin == *from,
            None => {
                // The cancellation may have arrived before the task.
                if !self.answer_duplicate(step, ledger, from, &id) {
                    self.refuse(step, from, id, cancelled);
                }
                return;
            }
        };
        // Running requests are not interrupted.
        if may_stop {
            self.preempt(step, ledger, &id, task::PreemptionMode::Stop);
        }
    }

    /// The ends of job tasks that `origin` has not acknowledged.
    pub(in crate::work) fn unacknowledged(
        &self,
        origin: &ids::HostId,
    ) -> Vec<(ids::TaskId, ids::Attempt, ids::WorkerId)> {
        let mut tasks = Vec::new();
        for (id, ending) in &self.ends {
            if ending.job.is_some() && ending.origin == *origin {
                tasks.push((id.0.clone(), id.1, ending.worker.clone()));
            }
        }
        tasks
    }

    /// Takes the queue waits of tasks that started since the last call.
    pub(in crate::work) fn take_waits(&mut self) -> Vec<report::Wait> {
        std::mem::take(&mut self.waits)
    }

    /// A waiting task; none if it does not wait here.
    pub(in crate::work) fn waiting_task(&self, task: &ids::TaskId) -> Option<&view::PendingTask> {
        let mut waiting = self.backlog.by_arrival();
        waiting.find(|(_, pending)| pending.task == *task).map(|(_, pending)| pending)
    }
}

/// The lease of a job task at its start and at each renewal.
///
/// It is shorter than `task_lease` by the maximum time for which an owner may act on a past epoch.
/// A new owner of the job that has waited for `task_lease` can therefore rely on the attempt having
/// ended.
pub(in crate::work) fn job_lease(options: &options::Options) -> time::Duration {
    let safe = options.task_lease.saturating_sub(options.authority_ttl + options.start_valid);
    safe.max(options.task_lease / 2)
}

fn send_end(step: &mut step::Step<'_>, id: &AttemptId, ending: &AttemptEnd) {
    let (task, attempt) = id.clone();
    let (end, worker) = (ending.end.clone(), ending.worker.clone());
    let message = message::PlaceMessage::Ended { task, attempt, end, worker };
    step.send_place(&ending.origin, message);
}

/// Updates the policy views of the workers from the cluster state and their back-off.
fn refresh_workers(step: &step::Step<'_>, ledger: &mut ledger::Ledger) {
    ledger.refresh(step.now, |worker| {
        let info = step.cluster.workers.get(worker)?;
        Some((info.entry.resources, info.token.is_some() && !info.closed))
    });
}

fn worker_schedulable(ledger: &ledger::Ledger, worker: &ids::WorkerId) -> bool {
    ledger.view_of(worker).is_some_and(|view| view.schedulable)
}

fn running_attempt(ledger: &ledger::Ledger, worker: usize, running: usize) -> Option<AttemptId> {
    let view = ledger.views().get(worker)?;
    let task = &view.running.get(running)?.task;
    let own = ledger.workers().get(&view.worker)?;
    let (id, _) = own.entries.range((task.clone(), 0)..).next()?;
    (id.0 == *task).then(|| id.clone())
}
