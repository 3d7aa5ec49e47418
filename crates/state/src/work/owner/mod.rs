//! The owner of workers: tasks that wait for them, starts, yields and ends.

mod done;
mod events;
mod starts;
mod upkeep;

use std::collections;
use std::time;

use pier_core::{caller, ids, map, resources, task};
use pier_policy::view;

use crate::work::placement::AttemptId;
use crate::work::{jobs, learned, ledger, limits, memory, step, usage};
use crate::{message, options, report};

/// The shortest interval between two decisions while many tasks wait, because the cost of a
/// decision grows with their number.
const DECIDE_INTERVAL: time::Duration = time::Duration::from_millis(2);
/// Up to this number of waiting tasks every change is decided on at once.
const FEW_WAITING: usize = 128;
/// How long a job task waits at one owner at the most.
const JOB_WAIT: time::Duration = time::Duration::from_secs(60);
/// How long a job task waits at an owner without room before it is sent back because another owner
/// has room.
const MOVE_AFTER: time::Duration = time::Duration::from_secs(2);
/// The interval between looks for such tasks. At each look one is sent back for each owner with
/// room.
const MOVE_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// After how long an unanswered request to yield is repeated.
const YIELD_REPEAT: time::Duration = time::Duration::from_secs(2);
/// The interval between repeats of an end that is not acknowledged.
const END_REPEAT: time::Duration = time::Duration::from_millis(500);
/// The advice of refusals for want of room.
const RETRY_AFTER_MS: u64 = 1_000;

/// The number of waits that are kept until they are taken. Later ones are dropped.
const MAX_UNTAKEN_WAITS: usize = 4_096;

/// What an origin asks to have placed.
#[derive(Debug)]
pub(in crate::work) struct Arrival {
    pub(in crate::work) origin: ids::HostId,
    pub(in crate::work) spec: Box<task::TaskSpec>,
    pub(in crate::work) attempt: ids::Attempt,
    pub(in crate::work) start_by: Option<time::Duration>,
    pub(in crate::work) deadline: Option<time::Duration>,
    pub(in crate::work) reserve: bool,
}

/// Room that is held for a task of a gang until its job commits it.
#[derive(Debug)]
struct Reservation {
    reserved: ledger::Reserved,
    arrival: Arrival,
    until: time::Duration,
}

/// An end that the origin has not acknowledged.
#[derive(Debug)]
struct Ending {
    origin: ids::HostId,
    job: Option<ids::JobId>,
    end: Option<task::TaskEnd>,
    worker: ids::WorkerId,
    next_send: time::Duration,
}

/// The policy in force.
struct Chosen {
    name: std::sync::Arc<str>,
    settings: pier_policy::Settings,
    policy: Box<dyn view::Policy>,
}

impl std::fmt::Debug for Chosen {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Chosen({})", self.name)
    }
}

/// The parts of the work state that a decision needs.
pub(in crate::work) struct Books<'a> {
    pub(in crate::work) ledger: &'a mut ledger::Ledger,
    pub(in crate::work) limits: &'a mut limits::Limits,
    pub(in crate::work) usage: &'a usage::Usage,
}

/// What this host does as an owner of workers.
#[derive(Debug)]
pub(in crate::work) struct Owner {
    options: options::Options,
    /// The tasks that wait, as policies see them.
    backlog: pier_policy::Backlog,
    /// What was asked for each task, by its slot in the backlog.
    arrivals: map::Map<usize, Arrival>,
    by_attempt: map::Map<AttemptId, usize>,
    /// What the waiting tasks of each team need.
    by_team: map::Map<ids::TeamId, resources::Resources>,
    reservations: collections::BTreeMap<AttemptId, Reservation>,
    ends: collections::BTreeMap<AttemptId, Ending>,
    kept: done::Kept,
    memory: memory::Memory,
    /// Open calls to workers that this host has given up.
    calls: collections::BTreeMap<AttemptId, ids::HostId>,
    chosen: Option<Chosen>,
    dirty: bool,
    /// Whether an urgent task has arrived for which there may be room.
    urgent: bool,
    decided_at: time::Duration,
    moved_at: time::Duration,
    /// The run times and sizes of the tasks that ended or run here.
    pub(in crate::work) learned: learned::Learned,
    /// The waits of started tasks that nobody has taken yet.
    waits: Vec<report::Wait>,
    pub(in crate::work) counters: report::Counters,
}

impl Owner {
    pub(in crate::work) fn new(options: options::Options) -> Self {
        Self {
            options,
            backlog: pier_policy::Backlog::default(),
            arrivals: map::Map::default(),
            by_attempt: map::Map::default(),
            by_team: map::Map::default(),
            reservations: collections::BTreeMap::new(),
            ends: collections::BTreeMap::new(),
            kept: done::Kept::default(),
            memory: memory::Memory::default(),
            calls: collections::BTreeMap::new(),
            chosen: None,
            dirty: false,
            urgent: false,
            decided_at: time::Duration::ZERO,
            moved_at: time::Duration::ZERO,
            learned: learned::Learned::default(),
            waits: Vec::new(),
            counters: report::Counters::default(),
        }
    }

    /// The number of tasks that wait.
    pub(in crate::work) fn waiting(&self) -> usize {
        self.backlog.len()
    }

    /// Asks for a decision in this step, because a team has more room.
    pub(in crate::work) fn hurry(&mut self) {
        self.dirty = true;
        self.urgent |= !self.backlog.is_empty();
    }

    /// What the waiting tasks of a team need.
    pub(in crate::work) fn waiting_of(&self, team: &ids::TeamId) -> resources::Resources {
        self.by_team.get(team).copied().unwrap_or_default()
    }

    /// The longest wait of a task that waits now.
    pub(in crate::work) fn oldest_wait(&self, now: time::Duration) -> time::Duration {
        match self.backlog.by_arrival().next() {
            Some((_, oldest)) => now.saturating_sub(oldest.arrived),
            None => time::Duration::ZERO,
        }
    }

    /// Whether an end is unacknowledged or a call to a worker is open.
    pub(in crate::work) fn is_drained(&self) -> bool {
        self.ends.is_empty() && self.calls.is_empty()
    }

    /// Brings what policies see of the workers up to date with the cluster and the back-off.
    pub(in crate::work) fn refresh(&self, step: &step::Step<'_>, ledger: &mut ledger::Ledger) {
        refresh_workers(step, ledger);
    }

    /// Asks for a decision.
    pub(in crate::work) fn wake(&mut self) {
        self.dirty = true;
    }

    /// Takes a task to place. The same attempt is placed once at most.
    pub(in crate::work) fn place(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &ledger::Ledger,
        arrival: Arrival,
    ) {
        let id = (arrival.spec.task.clone(), arrival.attempt);
        if self.answer_repeat(step, ledger, &arrival.origin, &id) {
            return;
        }
        if let Some(refusal) = self.refusal_of(step, ledger, &arrival) {
            self.refuse(step, &arrival.origin, id, refusal);
            return;
        }
        let bound = match arrival.spec.job {
            Some(_) => {
                let longest = step.now + JOB_WAIT;
                Some(arrival.start_by.map_or(longest, |start_by| start_by.min(longest)))
            }
            None => arrival.start_by,
        };
        let arrival = Arrival { start_by: bound, ..arrival };
        self.urgent |=
            arrival.spec.class == task::Class::Urgent && ledger.has_room(&arrival.spec.resources);
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
            run_estimate: self.learned.estimate(
                step.now,
                &arrival.spec.team,
                &arrival.spec.queue,
                time::Duration::from_millis(arrival.spec.run_estimate_ms),
            ),
        });
        let waiting = self.by_team.entry(arrival.spec.team.clone()).or_default();
        *waiting = waiting.plus(&arrival.spec.resources);
        self.by_attempt.insert(id, slot);
        self.arrivals.insert(slot, arrival);
    }

    /// Answers a message about an attempt that is known. Returns whether it is.
    fn answer_repeat(
        &self,
        step: &mut step::Step<'_>,
        ledger: &ledger::Ledger,
        origin: &ids::HostId,
        id: &AttemptId,
    ) -> bool {
        let (task, attempt) = id.clone();
        if self.by_attempt.contains_key(id) || self.calls.contains_key(id) {
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
        match self.memory.get(id) {
            Some(memory::Fate::Refused(refusal)) => {
                let refusal = refusal.clone();
                let message = message::PlaceMessage::Refused { task, attempt, refusal };
                step.send_place(origin, message);
                true
            }
            Some(memory::Fate::Gone) => true,
            None => false,
        }
    }

    /// Why a task cannot be placed here at all.
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
            return refusal(caller::RefusalKind::NoAuthority, "the host is not a member");
        }
        if let Some(job) = &arrival.spec.job
            && step.cluster.home_of(job) != Some(&arrival.origin)
        {
            return refusal(caller::RefusalKind::NoAuthority, "the job has another owner");
        }
        if arrival.spec.job.is_some() && jobs::placed_before(arrival.attempt, step.cluster.epoch) {
            return refusal(caller::RefusalKind::NoAuthority, "it was placed in an earlier epoch");
        }
        if self.waiting() >= self.options.max_waiting {
            return refusal(caller::RefusalKind::Overloaded, "too many tasks wait at the host");
        }
        if !ledger.could_hold(&arrival.spec.resources) {
            return refusal(caller::RefusalKind::NoRoom, "no worker of the host can hold the task");
        }
        None
    }

    /// Tells the origin that the attempt has not started and never will, and remembers it.
    fn refuse(
        &mut self,
        step: &mut step::Step<'_>,
        origin: &ids::HostId,
        id: AttemptId,
        refusal: caller::Refusal,
    ) {
        let (task, attempt) = id.clone();
        self.memory.put(step.now, id, memory::Fate::Refused(refusal.clone()));
        step.send_place(origin, message::PlaceMessage::Refused { task, attempt, refusal });
    }

    /// Takes a waiting task off the queue; none if the slot is empty.
    fn take_waiting(&mut self, slot: usize) -> Option<(view::PendingTask, Arrival)> {
        let pending = self.backlog.remove(slot)?;
        let arrival = self.arrivals.remove(&slot)?;
        self.by_attempt.remove(&(pending.task.clone(), arrival.attempt));
        if let Some(needed) = self.by_team.get_mut(&pending.team) {
            *needed = needed.minus(&pending.resources);
            if needed.is_zero() {
                self.by_team.remove(&pending.team);
            }
        }
        Some((pending, arrival))
    }

    /// Drops an attempt that its origin no longer wants.
    pub(in crate::work) fn cancel(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        from: &ids::HostId,
        id: AttemptId,
    ) {
        let cancelled =
            caller::Refusal::not_run(caller::RefusalKind::Cancelled, "the task was cancelled");
        if let Some(slot) = self.by_attempt.get(&id).copied() {
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
        let job = match ledger.entry(&id) {
            Some((_, entry)) => entry.labels.job.is_some() && entry.origin == *from,
            None => {
                // The cancellation may have overtaken the task.
                if !self.answer_repeat(step, ledger, from, &id) {
                    self.refuse(step, from, id, cancelled);
                }
                return;
            }
        };
        // A request that runs is not interrupted.
        if job {
            self.make_yield(step, ledger, &id, task::PreemptionMode::Stop);
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

    /// The waits of tasks that were started since the last call.
    pub(in crate::work) fn take_waits(&mut self) -> Vec<report::Wait> {
        std::mem::take(&mut self.waits)
    }

    /// A task that waits here.
    pub(in crate::work) fn waiting_task(&self, task: &ids::TaskId) -> Option<&view::PendingTask> {
        let mut waiting = self.backlog.by_arrival();
        waiting.find(|(_, pending)| pending.task == *task).map(|(_, pending)| pending)
    }
}

/// The lease that a job task gets at its start and at a renewal.
///
/// It is shorter than `task_lease` by the longest time for which an owner may act on an epoch that
/// has ended, so that an attempt has ended when a new owner of its job has waited `task_lease`.
pub(in crate::work) fn job_lease(options: &options::Options) -> time::Duration {
    let safe = options.task_lease.saturating_sub(options.authority_ttl + options.start_valid);
    safe.max(options.task_lease / 2)
}

fn send_end(step: &mut step::Step<'_>, id: &AttemptId, ending: &Ending) {
    let (task, attempt) = id.clone();
    let (end, worker) = (ending.end.clone(), ending.worker.clone());
    let message = message::PlaceMessage::Ended { task, attempt, end, worker };
    step.send_place(&ending.origin, message);
}

/// Brings what policies see of the workers up to date with the cluster and the back-off.
fn refresh_workers(step: &step::Step<'_>, ledger: &mut ledger::Ledger) {
    ledger.refresh(step.now, |worker| {
        let info = step.cluster.workers.get(worker)?;
        Some((info.entry.resources, info.token.is_some() && !info.closed))
    });
}

fn worker_startable(ledger: &ledger::Ledger, worker: &ids::WorkerId) -> bool {
    ledger.view_of(worker).is_some_and(|view| view.schedulable)
}

fn running_attempt(ledger: &ledger::Ledger, worker: usize, running: usize) -> Option<AttemptId> {
    let view = ledger.views().get(worker)?;
    let task = &view.running.get(running)?.task;
    let own = ledger.workers().get(&view.worker)?;
    let (id, _) = own.entries.range((task.clone(), 0)..).next()?;
    (id.0 == *task).then(|| id.clone())
}
