//! Accounts for the tasks on this host's workers and the capacity they occupy.
//!
//! An entry counts until its end is certain. Capacity is only handed out as a [`Reserved`] value,
//! and only a [`Reserved`] value can be turned into a start.

use std::collections;
use std::time;

use pier_core::{ids, map, resources, task, wire};
use pier_policy::view;

use crate::work::placement::AttemptId;
use crate::{Error, Result};

/// The back-off of a worker after its first failure.
const MIN_BACK_OFF: time::Duration = time::Duration::from_millis(200);
/// The maximum back-off of a worker.
const MAX_BACK_OFF: time::Duration = time::Duration::from_secs(30);
/// The number of doublings after which the back-off reaches its maximum.
const MAX_DOUBLINGS: u32 = 8;
/// The number of consecutive failed tasks from which on the worker is considered faulty, and not
/// the tasks.
const RUN_FAILURE_LIMIT: u32 = 3;
/// A task that runs for at least this long does not count against the worker when it fails. A
/// worker on probation gets no second task for this long.
const PROBE_DURATION: time::Duration = time::Duration::from_secs(10);
/// The maximum time a worker stays on probation after its back-off without another failure. Without
/// a limit, a worker would stay unusable for gangs forever if no other work arrives, because
/// capacity reserved for a gang does not show whether the worker is healthy.
const PROBATION_LIMIT: time::Duration = time::Duration::from_secs(30);

/// The progress of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Capacity is reserved and nothing was sent to the worker.
    Reserved,
    /// The start was issued, and it is not known whether the worker has received it.
    Starting,
    /// The start was issued and its result was lost.
    Lost,
    /// The worker runs the task.
    Running,
}

/// A task that occupies capacity on a worker.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) labels: task::TaskLabels,
    pub(super) resources: resources::Resources,
    /// The host that is told the end of the task.
    pub(super) origin: ids::HostId,
    pub(super) phase: Phase,
    /// Whether this process holds the open call to the worker that returns the answer.
    pub(super) own_call: bool,
    /// The latest time at which the worker is known to have had the task; none if that is not
    /// certain.
    pub(super) seen_at: Option<time::Duration>,
    /// The time by which the attempt has certainly ended, including the lease margin.
    pub(super) latest_end: time::Duration,
    /// When a renewal or a report first showed that the attempt is over, while its answer or end
    /// could still arrive.
    pub(super) end_seen_at: Option<time::Duration>,
    /// When the origin last confirmed that it wants the attempt.
    pub(super) kept_at: time::Duration,
    /// When a renewal was last issued.
    pub(super) renewed_at: time::Duration,
    /// The last preemption request and when it was issued.
    pub(super) preemption: Option<(task::PreemptionMode, time::Duration)>,
    pub(super) started: time::Duration,
    /// Whether this host started the attempt, so that `started` is its actual start time.
    pub(super) started_here: bool,
    /// When the attempt is expected to end; none if that is unknown.
    pub(super) ends: Option<time::Duration>,
    pub(super) checkpoint_interval: time::Duration,
}

impl Entry {
    /// Records that the worker had the task at `at` or later.
    pub(super) fn record_seen(&mut self, at: time::Duration) {
        self.seen_at = Some(self.seen_at.map_or(at, |seen_at| seen_at.max(at)));
    }
}

/// Capacity on a worker that is reserved for an attempt. It must be turned into a start or given
/// back.
#[derive(Debug)]
#[must_use]
pub(super) struct Reserved {
    pub(super) attempt: AttemptId,
    pub(super) worker: ids::WorkerId,
}

/// The state of a worker that this host owns.
#[derive(Debug)]
pub(super) struct OwnWorker {
    pub(super) entries: collections::BTreeMap<AttemptId, Entry>,
    pub(super) used: resources::Resources,
    /// The number of consecutive starts that were not carried out.
    pub(super) start_failures: u32,
    /// The number of consecutive tasks that failed soon after their start.
    run_failures: u32,
    /// The end of the current back-off. The worker gets no tasks before it.
    retry_at: time::Duration,
    /// Whether the last renewal, report request or start failed to reach the worker.
    pub(super) unreachable: bool,
    /// When the renewal that is still unanswered was sent.
    pub(super) renewal_sent: Option<time::Duration>,
    /// The total resources that the worker last reported.
    reported: Option<resources::Resources>,
}

impl OwnWorker {
    /// The number of consecutive failures.
    pub(super) fn failures(&self) -> u32 {
        self.start_failures.max(self.run_failures)
    }

    /// Records that the worker has answered.
    pub(super) fn mark_reachable(&mut self) {
        self.unreachable = false;
    }

    /// Starts a back-off that doubles with each consecutive failure. Returns the number of
    /// failures.
    pub(super) fn back_off(&mut self, now: time::Duration) -> u32 {
        let doublings = self.failures().saturating_sub(1).min(MAX_DOUBLINGS);
        self.retry_at = now + (MIN_BACK_OFF * 2_u32.pow(doublings)).min(MAX_BACK_OFF);
        self.failures()
    }

    /// Updates the worker's failure count after the end of a task.
    pub(super) fn record_end(
        &mut self,
        now: time::Duration,
        started: time::Duration,
        kind: task::EndKind,
    ) {
        if kind == task::EndKind::Done {
            self.run_failures = 0;
        }
        if kind != task::EndKind::Failed || now >= started + PROBE_DURATION {
            return;
        }
        self.run_failures = self.run_failures.saturating_add(1);
        if self.run_failures >= RUN_FAILURE_LIMIT {
            self.back_off(now);
        }
    }

    /// Whether so many consecutive starts or tasks have failed that a single task must show that
    /// the worker is healthy.
    fn is_on_probation(&self, now: time::Duration) -> bool {
        let failing = self.start_failures > 0 || self.run_failures >= RUN_FAILURE_LIMIT;
        failing && now < self.retry_at + PROBATION_LIMIT
    }

    /// Whether the worker may get a task: it is not on probation, or its back-off is over and no
    /// probe task is in progress.
    fn may_take_task(&self, now: time::Duration) -> bool {
        if !self.is_on_probation(now) {
            return true;
        }
        if now < self.retry_at {
            return false;
        }
        for entry in self.entries.values() {
            if entry.started >= self.retry_at && now < entry.started + PROBE_DURATION {
                return false;
            }
        }
        true
    }
}

/// The accounts of all workers of this host.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    workers: collections::BTreeMap<ids::WorkerId, OwnWorker>,
    /// The workers as seen by policies, in ascending order of id. The views are updated with every
    /// change of an entry, so that a decision does not have to rebuild them.
    views: Vec<view::Worker>,
    by_attempt: map::Map<AttemptId, ids::WorkerId>,
    team_used: collections::BTreeMap<ids::TeamId, resources::Resources>,
}

impl Ledger {
    /// The workers in ascending order of id.
    pub(super) fn workers(&self) -> &collections::BTreeMap<ids::WorkerId, OwnWorker> {
        &self.workers
    }

    pub(super) fn worker_mut(&mut self, worker: &ids::WorkerId) -> Option<&mut OwnWorker> {
        self.workers.get_mut(worker)
    }

    /// The workers as seen by policies.
    pub(super) fn views(&self) -> &[view::Worker] {
        &self.views
    }

    /// One worker as seen by policies.
    pub(super) fn view_of(&self, worker: &ids::WorkerId) -> Option<&view::Worker> {
        let slot = self.slot(worker).ok()?;
        self.views.get(slot)
    }

    /// Updates the policy views of all workers. `info` returns the listed resources of a worker and
    /// whether it may get tasks.
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
            view.failures = if own.is_on_probation(now) { own.failures() } else { 0 };
            view.schedulable = usable && !own.unreachable && own.may_take_task(now);
        }
    }

    /// What a team uses on this host's workers.
    pub(super) fn team_used(&self, team: &ids::TeamId) -> resources::Resources {
        self.team_used.get(team).copied().unwrap_or_default()
    }

    /// What each team uses on this host's workers, in ascending order of team.
    pub(super) fn usage(&self) -> &collections::BTreeMap<ids::TeamId, resources::Resources> {
        &self.team_used
    }

    /// The worker on which an attempt occupies capacity.
    pub(super) fn worker_of(&self, attempt: &AttemptId) -> Option<&ids::WorkerId> {
        self.by_attempt.get(attempt)
    }

    /// The worker on which any attempt of a task occupies capacity.
    pub(super) fn worker_of_task(&self, task: &ids::TaskId) -> Option<&ids::WorkerId> {
        for (worker, own) in &self.workers {
            let next = own.entries.range((task.clone(), 0)..).next();
            if next.is_some_and(|(id, _)| id.0 == *task) {
                return Some(worker);
            }
        }
        None
    }

    /// Sets the origin of each job task to the host that `home` returns for its job.
    pub(super) fn reassign_origins(&mut self, home: impl Fn(&ids::JobId) -> Option<ids::HostId>) {
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

    /// Whether any worker of this host could hold `amount` when it is empty.
    pub(super) fn could_hold(&self, amount: &resources::Resources) -> bool {
        self.views.iter().any(|worker| amount.fits_in(&worker.total))
    }

    /// Whether any worker that accepts tasks has enough free capacity now.
    pub(super) fn has_capacity(&self, amount: &resources::Resources) -> bool {
        self.views.iter().any(|worker| worker.schedulable && amount.fits_in(&worker.free))
    }

    /// The number of tasks of size `amount` that could start now. A worker on probation accepts
    /// one.
    pub(super) fn schedulable_tasks(&self, amount: &resources::Resources) -> u64 {
        let mut count: u64 = 0;
        for worker in &self.views {
            if !worker.schedulable {
                continue;
            }
            let fitting = count_fitting(amount, &worker.free);
            count =
                count.saturating_add(if worker.failures > 0 { fitting.min(1) } else { fitting });
        }
        count
    }

    /// The total free capacity of the workers that accept tasks.
    pub(super) fn free(&self) -> resources::Resources {
        let mut free = resources::Resources::ZERO;
        for worker in &self.views {
            if worker.schedulable {
                free = free.plus(&worker.free);
            }
        }
        free
    }

    /// Adds a worker without tasks. Has no effect if the worker is already known.
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

    /// Removes a worker and returns its entries.
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

    /// Records the total resources that a worker reports.
    pub(super) fn set_reported(&mut self, worker: &ids::WorkerId, amount: resources::Resources) {
        if let Some(own) = self.workers.get_mut(worker) {
            own.reported = Some(amount);
        }
    }

    /// Reserves capacity on a worker for an attempt.
    ///
    /// # Errors
    /// The worker has too little free capacity or the attempt is already known, or the team would
    /// use more than `team_headroom`.
    pub(super) fn reserve(
        &mut self,
        worker: &ids::WorkerId,
        attempt: &AttemptId,
        entry: Entry,
        team_headroom: &resources::Resources,
    ) -> Result<Reserved> {
        let over_committed = Error::WorkerOverCommitted { worker: worker.clone() };
        let Ok(slot) = self.slot(worker) else {
            return Err(over_committed);
        };
        if !entry.resources.fits_in(&self.views[slot].free) || self.by_attempt.contains_key(attempt)
        {
            return Err(over_committed);
        }
        if !entry.resources.fits_in(team_headroom) {
            return Err(Error::TeamOverQuota { team: entry.labels.team.clone() });
        }
        self.insert(worker, attempt, Entry { phase: Phase::Reserved, ..entry });
        // A worker on probation gets a single task, even if the policy assigned more in this step.
        let view = &mut self.views[slot];
        view.schedulable &= view.failures == 0;
        Ok(Reserved { attempt: attempt.clone(), worker: worker.clone() })
    }

    /// Turns reserved capacity into a start. `latest_end` is when the attempt has ended for
    /// certain.
    pub(super) fn start(
        &mut self,
        reserved: Reserved,
        now: time::Duration,
        latest_end: time::Duration,
    ) -> Option<&Entry> {
        let entry = self.entry_mut(&reserved.attempt)?;
        entry.phase = Phase::Starting;
        entry.started = now;
        entry.kept_at = now;
        entry.renewed_at = now;
        entry.latest_end = latest_end;
        Some(entry)
    }

    /// Releases reserved capacity.
    pub(super) fn give_back(&mut self, reserved: &Reserved) {
        self.remove(&reserved.attempt);
    }

    /// Adds an entry without checking for free capacity, for example for a task that is already
    /// running.
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
            preemption_requested: entry.preemption.is_some(),
        });
        own.entries.insert(attempt.clone(), entry);
        self.by_attempt.insert(attempt.clone(), worker.clone());
    }

    /// Removes the entry of an attempt and releases its capacity.
    pub(super) fn remove(&mut self, attempt: &AttemptId) -> Option<(ids::WorkerId, Entry)> {
        let worker = self.by_attempt.remove(attempt)?;
        let own = self.workers.get_mut(&worker)?;
        let entry = own.entries.remove(attempt)?;
        // The sum is computed anew because subtracting from a saturated sum would give a wrong
        // result.
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

    /// Records a preemption request, or clears it after it has failed.
    pub(super) fn set_preemption(
        &mut self,
        attempt: &AttemptId,
        preemption: Option<(task::PreemptionMode, time::Duration)>,
    ) {
        let Some(entry) = self.entry_mut(attempt) else {
            return;
        };
        entry.preemption = preemption;
        let Some(worker) = self.by_attempt.get(attempt) else {
            return;
        };
        let Ok(slot) = self.slot(worker) else {
            return;
        };
        for running in &mut self.views[slot].running {
            if running.task == attempt.0 {
                running.preemption_requested = preemption.is_some();
            }
        }
    }

    fn slot(&self, worker: &ids::WorkerId) -> std::result::Result<usize, usize> {
        self.views.binary_search_by(|view| view.worker.cmp(worker))
    }
}

/// How many times `resources` fit in `total`.
pub(super) fn count_fitting(resources: &resources::Resources, total: &resources::Resources) -> u64 {
    let mut count = u64::MAX;
    for (amount, whole) in resources.to_array().into_iter().zip(total.to_array()) {
        if let Some(times) = whole.checked_div(amount) {
            count = count.min(times);
        }
    }
    count
}
