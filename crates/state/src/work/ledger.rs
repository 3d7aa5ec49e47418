//! The tasks on the workers of this host and the room that they hold.
//!
//! An entry counts until its end is certain. Room is only given out as a [`Reserved`] value, and
//! only a [`Reserved`] value can be turned into a start.

use std::collections;
use std::time;

use pier_core::{ids, map, resources, task, wire};
use pier_policy::view;

use crate::work::placement::AttemptId;
use crate::{Error, Result};

/// The rest of a worker after its first failure.
const FIRST_BACK_OFF: time::Duration = time::Duration::from_millis(200);
/// The longest rest of a worker.
const LONGEST_BACK_OFF: time::Duration = time::Duration::from_secs(30);
/// The number of doublings after which the longest rest is reached.
const MAX_DOUBLINGS: u32 = 8;
/// The number of failed tasks in a row that count against the worker and not against the tasks.
const FAILED_RUNS: u32 = 3;
/// How long a task must run for its failure not to count against the worker, and how long a worker
/// that is tried again gets no second task.
const PROBE_SETTLES: time::Duration = time::Duration::from_secs(10);
/// How long after its rest a worker stays on trial without another failure. Room that is reserved
/// for gangs proves nothing, so a trial without an end would keep gangs off the worker for ever
/// where no other work comes.
const TRIAL_LIMIT: time::Duration = time::Duration::from_secs(30);

/// How far an entry has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Room is held, nothing was sent to the worker.
    Reserved,
    /// The start was handed out; nobody knows yet whether the worker has it.
    Starting,
    /// The start was handed out and its result is lost.
    Lost,
    /// The worker runs the task.
    Running,
}

/// A task that holds room on a worker.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) labels: task::TaskLabels,
    pub(super) resources: resources::Resources,
    /// The host that waits for the end.
    pub(super) origin: ids::HostId,
    pub(super) phase: Phase,
    /// Whether this process holds the call to the worker that returns the answer.
    pub(super) own_call: bool,
    /// Since when the worker certainly knows the task; none while that is not certain.
    pub(super) seen_at: Option<time::Duration>,
    /// When the attempt has certainly ended at the latest, margin included.
    pub(super) gone_at: time::Duration,
    /// When a report first showed that the attempt is over, while its call was still open.
    pub(super) over_at: Option<time::Duration>,
    /// When the origin last confirmed that it wants the attempt.
    pub(super) kept_at: time::Duration,
    /// When a renewal was last handed out.
    pub(super) renewed_at: time::Duration,
    /// The last request to yield and when it was handed out.
    pub(super) yielding: Option<(task::PreemptionMode, time::Duration)>,
    pub(super) started: time::Duration,
    /// Whether this host started the attempt, so that `started` is when it began.
    pub(super) started_here: bool,
    /// When the attempt is expected to end; none when unknown.
    pub(super) ends: Option<time::Duration>,
    pub(super) checkpoint_interval: time::Duration,
}

impl Entry {
    /// Notes that the worker knew the task at `at` or later.
    pub(super) fn note_seen(&mut self, at: time::Duration) {
        self.seen_at = Some(self.seen_at.map_or(at, |seen_at| seen_at.max(at)));
    }
}

/// Room on a worker that is held for an attempt. It is turned into a start or given back.
#[derive(Debug)]
#[must_use]
pub(super) struct Reserved {
    pub(super) attempt: AttemptId,
    pub(super) worker: ids::WorkerId,
}

/// A worker of this host.
#[derive(Debug)]
pub(super) struct OwnWorker {
    pub(super) entries: collections::BTreeMap<AttemptId, Entry>,
    pub(super) used: resources::Resources,
    /// Starts in a row that were not carried out.
    pub(super) start_failures: u32,
    /// Tasks in a row that failed soon after their start.
    run_failures: u32,
    /// Until when the worker gets no work after failures.
    retry_at: time::Duration,
    /// Whether the last renewal, report or start did not reach the worker.
    pub(super) unreachable: bool,
    /// When the renewal was sent that is not answered yet.
    pub(super) renewal_sent: Option<time::Duration>,
    /// What the worker last said it has.
    reported: Option<resources::Resources>,
}

impl OwnWorker {
    /// The failures in a row.
    pub(super) fn failures(&self) -> u32 {
        self.start_failures.max(self.run_failures)
    }

    /// Notes that the worker has answered something.
    pub(super) fn reached(&mut self) {
        self.unreachable = false;
    }

    /// Lets the worker rest for a time that doubles with each failure. Returns the failures.
    pub(super) fn back_off(&mut self, now: time::Duration) -> u32 {
        let doublings = self.failures().saturating_sub(1).min(MAX_DOUBLINGS);
        self.retry_at = now + (FIRST_BACK_OFF * 2_u32.pow(doublings)).min(LONGEST_BACK_OFF);
        self.failures()
    }

    /// Counts the end of a task for or against the worker.
    pub(super) fn note_end(
        &mut self,
        now: time::Duration,
        started: time::Duration,
        kind: task::EndKind,
    ) {
        if kind == task::EndKind::Done {
            self.run_failures = 0;
        }
        if kind != task::EndKind::Failed || now >= started + PROBE_SETTLES {
            return;
        }
        self.run_failures = self.run_failures.saturating_add(1);
        if self.run_failures >= FAILED_RUNS {
            self.back_off(now);
        }
    }

    /// Whether so many starts or runs have failed in a row that one task must prove the worker.
    fn is_on_trial(&self, now: time::Duration) -> bool {
        let failing = self.start_failures > 0 || self.run_failures >= FAILED_RUNS;
        failing && now < self.retry_at + TRIAL_LIMIT
    }

    /// Whether the worker may get a task: it does not back off, or one task tries it again.
    fn rested(&self, now: time::Duration) -> bool {
        if !self.is_on_trial(now) {
            return true;
        }
        if now < self.retry_at {
            return false;
        }
        for entry in self.entries.values() {
            if entry.started >= self.retry_at && now < entry.started + PROBE_SETTLES {
                return false;
            }
        }
        true
    }
}

/// The ledger of all workers of this host.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    workers: collections::BTreeMap<ids::WorkerId, OwnWorker>,
    /// What policies see of the workers, in ascending order of id. It is kept up to date with
    /// every change of an entry, so that a decision does not have to rebuild it.
    views: Vec<view::Worker>,
    by_attempt: map::Map<AttemptId, ids::WorkerId>,
    team_used: collections::BTreeMap<ids::TeamId, resources::Resources>,
}

impl Ledger {
    /// The workers in ascending order.
    pub(super) fn workers(&self) -> &collections::BTreeMap<ids::WorkerId, OwnWorker> {
        &self.workers
    }

    pub(super) fn worker_mut(&mut self, worker: &ids::WorkerId) -> Option<&mut OwnWorker> {
        self.workers.get_mut(worker)
    }

    /// What policies see of the workers.
    pub(super) fn views(&self) -> &[view::Worker] {
        &self.views
    }

    /// What policies see of one worker.
    pub(super) fn view_of(&self, worker: &ids::WorkerId) -> Option<&view::Worker> {
        let slot = self.slot(worker).ok()?;
        self.views.get(slot)
    }

    /// Brings what policies see of the workers up to date. `info` returns what a worker has and
    /// whether it may get work.
    pub(super) fn refresh(
        &mut self,
        now: time::Duration,
        info: impl Fn(&ids::WorkerId) -> Option<(resources::Resources, bool)>,
    ) {
        for (view, own) in self.views.iter_mut().zip(self.workers.values()) {
            let (listed, usable) = info(&view.worker).unwrap_or_default();
            view.total = match own.reported {
                Some(reported) => listed.min(&reported),
                None => listed,
            };
            view.free = view.total.minus(&own.used);
            view.failures = if own.is_on_trial(now) { own.failures() } else { 0 };
            view.schedulable = usable && !own.unreachable && own.rested(now);
        }
    }

    /// What a team uses on the workers of this host.
    pub(super) fn team_used(&self, team: &ids::TeamId) -> resources::Resources {
        self.team_used.get(team).copied().unwrap_or_default()
    }

    /// What each team uses, in ascending order of team.
    pub(super) fn usage(&self) -> &collections::BTreeMap<ids::TeamId, resources::Resources> {
        &self.team_used
    }

    /// The worker that an attempt holds room on.
    pub(super) fn worker_of(&self, attempt: &AttemptId) -> Option<&ids::WorkerId> {
        self.by_attempt.get(attempt)
    }

    /// The worker on which some attempt of a task holds room.
    pub(super) fn worker_of_task(&self, task: &ids::TaskId) -> Option<&ids::WorkerId> {
        for (worker, own) in &self.workers {
            let next = own.entries.range((task.clone(), 0)..).next();
            if next.is_some_and(|(id, _)| id.0 == *task) {
                return Some(worker);
            }
        }
        None
    }

    /// Sets the origin of the tasks of jobs.
    pub(super) fn retarget(&mut self, home: impl Fn(&ids::JobId) -> Option<ids::HostId>) {
        for own in self.workers.values_mut() {
            for entry in own.entries.values_mut() {
                let Some(origin) = entry.labels.job.as_ref().and_then(&home) else {
                    continue;
                };
                entry.origin = origin;
            }
        }
    }

    pub(super) fn entry(&self, attempt: &AttemptId) -> Option<(&ids::WorkerId, &Entry)> {
        let worker = self.by_attempt.get(attempt)?;
        let entry = self.workers.get(worker)?.entries.get(attempt)?;
        Some((worker, entry))
    }

    pub(super) fn entry_mut(&mut self, attempt: &AttemptId) -> Option<&mut Entry> {
        let worker = self.by_attempt.get(attempt)?;
        self.workers.get_mut(worker)?.entries.get_mut(attempt)
    }

    /// Whether some worker of this host could hold the amount when it is empty.
    pub(super) fn could_hold(&self, amount: &resources::Resources) -> bool {
        self.views.iter().any(|worker| amount.fits_in(&worker.total))
    }

    /// Whether some worker that takes work has room now.
    pub(super) fn has_room(&self, amount: &resources::Resources) -> bool {
        self.views.iter().any(|worker| worker.schedulable && amount.fits_in(&worker.free))
    }

    /// How many tasks of the amount could start now. A worker on trial takes one.
    pub(super) fn places(&self, amount: &resources::Resources) -> u64 {
        let mut places: u64 = 0;
        for worker in &self.views {
            if !worker.schedulable {
                continue;
            }
            let fit = copies(amount, &worker.free);
            places = places.saturating_add(if worker.failures > 0 { fit.min(1) } else { fit });
        }
        places
    }

    /// What is free on all workers that take work.
    pub(super) fn free(&self) -> resources::Resources {
        let mut free = resources::Resources::ZERO;
        for worker in &self.views {
            if worker.schedulable {
                free = free.plus(&worker.free);
            }
        }
        free
    }

    /// Adds a worker without tasks. A worker that is known is left alone.
    pub(super) fn add_worker(&mut self, entry: &wire::HostEntry) {
        let Err(slot) = self.slot(&entry.id) else {
            return;
        };
        let own = OwnWorker {
            entries: collections::BTreeMap::new(),
            used: resources::Resources::ZERO,
            start_failures: 0,
            run_failures: 0,
            retry_at: time::Duration::ZERO,
            unreachable: false,
            renewal_sent: None,
            reported: None,
        };
        self.workers.insert(entry.id.clone(), own);
        let view = view::Worker {
            worker: entry.id.clone(),
            availability_zone: entry.availability_zone.clone(),
            rack: entry.rack.clone(),
            total: entry.resources,
            free: entry.resources,
            schedulable: false,
            failures: 0,
            running: Vec::new(),
        };
        self.views.insert(slot, view);
    }

    /// Removes a worker and returns its tasks.
    pub(super) fn remove_worker(&mut self, worker: &ids::WorkerId) -> Vec<(AttemptId, Entry)> {
        let attempts: Vec<AttemptId> = match self.workers.get(worker) {
            Some(own) => own.entries.keys().cloned().collect(),
            None => return Vec::new(),
        };
        let mut removed = Vec::with_capacity(attempts.len());
        for attempt in attempts {
            if let Some((_, entry)) = self.remove(&attempt) {
                removed.push((attempt, entry));
            }
        }
        self.workers.remove(worker);
        if let Ok(slot) = self.slot(worker) {
            self.views.remove(slot);
        }
        removed
    }

    /// Takes what a worker says it has.
    pub(super) fn set_reported(&mut self, worker: &ids::WorkerId, amount: resources::Resources) {
        if let Some(own) = self.workers.get_mut(worker) {
            own.reported = Some(amount);
        }
    }

    /// Holds room on a worker.
    ///
    /// # Errors
    /// The worker has too little free, or the team would use more than `team_room`.
    pub(super) fn reserve(
        &mut self,
        worker: &ids::WorkerId,
        attempt: &AttemptId,
        entry: Entry,
        team_room: &resources::Resources,
    ) -> Result<Reserved> {
        let over = Error::WorkerOverCommitted { worker: worker.clone() };
        let Ok(slot) = self.slot(worker) else {
            return Err(over);
        };
        if !entry.resources.fits_in(&self.views[slot].free) || self.by_attempt.contains_key(attempt)
        {
            return Err(over);
        }
        if !entry.resources.fits_in(team_room) {
            return Err(Error::TeamOverHolding { team: entry.labels.team.clone() });
        }
        self.insert(worker, attempt, Entry { phase: Phase::Reserved, ..entry });
        // A worker on trial takes one task, whatever the policy has decided in this step.
        let view = &mut self.views[slot];
        view.schedulable &= view.failures == 0;
        Ok(Reserved { attempt: attempt.clone(), worker: worker.clone() })
    }

    /// Turns held room into a start that may be sent until `not_after`.
    pub(super) fn start(
        &mut self,
        reserved: Reserved,
        now: time::Duration,
        gone_at: time::Duration,
    ) -> Option<&Entry> {
        let entry = self.entry_mut(&reserved.attempt)?;
        entry.phase = Phase::Starting;
        entry.started = now;
        entry.kept_at = now;
        entry.renewed_at = now;
        entry.gone_at = gone_at;
        Some(entry)
    }

    /// Gives held room back.
    pub(super) fn give_back(&mut self, reserved: &Reserved) {
        self.remove(&reserved.attempt);
    }

    /// Counts a task that already runs, whether or not there is room for it.
    pub(super) fn insert(&mut self, worker: &ids::WorkerId, attempt: &AttemptId, entry: Entry) {
        let Ok(slot) = self.slot(worker) else {
            return;
        };
        if self.by_attempt.contains_key(attempt) {
            return;
        }
        let Some(own) = self.workers.get_mut(worker) else {
            return;
        };
        own.used = own.used.plus(&entry.resources);
        let used = self.team_used.entry(entry.labels.team.clone()).or_default();
        *used = used.plus(&entry.resources);
        let view = &mut self.views[slot];
        view.free = view.total.minus(&own.used);
        view.running.push(view::RunningTask {
            task: attempt.0.clone(),
            job: entry.labels.job.clone(),
            team: entry.labels.team.clone(),
            class: entry.labels.class,
            resources: entry.resources,
            started: entry.started,
            ends: entry.ends,
            checkpoint_interval: entry.checkpoint_interval,
            repeatable: entry.labels.repeatable,
            preemption_requested: entry.yielding.is_some(),
        });
        own.entries.insert(attempt.clone(), entry);
        self.by_attempt.insert(attempt.clone(), worker.clone());
    }

    /// Stops counting an attempt.
    pub(super) fn remove(&mut self, attempt: &AttemptId) -> Option<(ids::WorkerId, Entry)> {
        let worker = self.by_attempt.remove(attempt)?;
        let own = self.workers.get_mut(&worker)?;
        let entry = own.entries.remove(attempt)?;
        // The sums are taken anew where subtraction from a saturated sum would be wrong.
        let mut used = resources::Resources::ZERO;
        for other in own.entries.values() {
            used = used.plus(&other.resources);
        }
        own.used = used;
        if let Some(team) = self.team_used.get_mut(&entry.labels.team) {
            *team = team.minus(&entry.resources);
            if team.is_zero() {
                self.team_used.remove(&entry.labels.team);
            }
        }
        if let Ok(slot) = self.slot(&worker) {
            let view = &mut self.views[slot];
            view.free = view.total.minus(&used);
            let position = view.running.iter().position(|running| running.task == attempt.0);
            if let Some(position) = position {
                view.running.remove(position);
            }
        }
        Some((worker, entry))
    }

    /// Notes a request to yield, or that the last one has failed.
    pub(super) fn set_yielding(
        &mut self,
        attempt: &AttemptId,
        yielding: Option<(task::PreemptionMode, time::Duration)>,
    ) {
        let Some(entry) = self.entry_mut(attempt) else {
            return;
        };
        entry.yielding = yielding;
        let Some(worker) = self.by_attempt.get(attempt) else {
            return;
        };
        let Ok(slot) = self.slot(worker) else {
            return;
        };
        for running in &mut self.views[slot].running {
            if running.task == attempt.0 {
                running.preemption_requested = yielding.is_some();
            }
        }
    }

    fn slot(&self, worker: &ids::WorkerId) -> std::result::Result<usize, usize> {
        self.views.binary_search_by(|view| view.worker.cmp(worker))
    }
}

/// How many times `resources` fit in `total`.
pub(super) fn copies(resources: &resources::Resources, total: &resources::Resources) -> u64 {
    let mut copies = u64::MAX;
    for (amount, whole) in resources.to_array().into_iter().zip(total.to_array()) {
        if let Some(times) = whole.checked_div(amount) {
            copies = copies.min(times);
        }
    }
    copies
}
