//! Checks, from outside, of how long tasks and gangs wait, and of the limits of accounts.

use std::collections::BTreeMap;

use pier_cell::declaration::{Account, Declaration};
use pier_cell::job::{Step, TaskRef};
use pier_core::resources::Resources;

use crate::sim::Sim;
use crate::sim::worker::SimWorker;

/// How long a task that fits in its account's limit and in the free room of a worker may wait.
const MAX_FITTING_WAIT_MS: u64 = 3_000;
/// The interval between checks.
const CHECK_INTERVAL_MS: u64 = 100;
/// Runs count as alive for this long after their end, until the decider may know of it.
const END_DELAY_MS: u64 = 400;
/// A worker counts as usable this long after its start: it reports itself, and the list is read.
const WORKER_START_MS: u64 = 2_500;
/// After a host was killed, waits are not checked for this long: another host takes over, and members
/// of gangs that the killed host was starting end alone.
const FAILOVER_MS: u64 = 4_000;
/// The runs of a worker that is gone count against their accounts for at most this long: until their
/// leases have ended, also those of an earlier decider (docs/cell.md, section 4).
const LOST_RUN_MS: u64 = 12_500;
/// The decider has read a declaration this long after it was written.
const DECLARATION_DELAY_MS: u64 = 2_000;

/// What the checks remember.
#[derive(Debug, Default)]
pub struct Waits {
    /// Whether waits are checked. This needs a cell in which the hosts and the store do not fail.
    pub is_enabled: bool,
    /// Since when a job's first step could run at once.
    fitting_since_ms: BTreeMap<String, u64>,
    /// The declaration before the current one, and when it was replaced.
    replaced: Option<(Declaration, u64)>,
    /// Until when waits are not checked because a host was killed.
    suspended_until_ms: u64,
    /// The resources of runs that have ended lately, by worker and account.
    ended: Vec<EndedRun>,
}

#[derive(Debug)]
struct EndedRun {
    /// Until when the decider may not know of the end.
    counts_until_ms: u64,
    /// None if the worker is gone.
    worker: Option<String>,
    account: Option<String>,
    need: Resources,
}

/// The free room of the workers that can be used, and the use of accounts, as the decider knows them
/// at the worst.
struct Room<'a> {
    workers: Vec<(&'a SimWorker, Resources)>,
    used: BTreeMap<&'a str, Resources>,
}

impl<'a> Room<'a> {
    fn add_use(&mut self, account: Option<&'a String>, need: &Resources) {
        if let Some(account) = account {
            let used = self.used.entry(account).or_default();
            *used = used.plus(need);
        }
    }
}

impl Sim {
    /// Handles a change of what is allowed. The current declaration is about to be replaced.
    pub(super) fn restart_waits(&mut self) {
        self.waits.fitting_since_ms.clear();
        self.waits.replaced = Some((self.declaration.clone(), self.now_ms));
    }

    /// Checks after a start that the account of the job is within its limit.
    pub(super) fn check_limit(&mut self, job: &str) {
        let Some(name) = self.account_of.get(job).cloned().flatten() else {
            return;
        };
        let mut used = Resources::ZERO;
        for worker in self.workers.values().filter(|worker| worker.is_up) {
            for (task, run) in &worker.running {
                if self.account_of.get(&*task.job).is_some_and(|of| of.as_deref() == Some(&*name)) {
                    used = used.plus(&run.need);
                }
            }
        }
        let is_within = |declaration: &Declaration| {
            let last = self.last_accounts.get(&name);
            declaration.account(&name).or(last).is_none_or(|account| used.fits_in(&account.cap))
        };
        let was_within = self.waits.replaced.as_ref().is_some_and(|(earlier, at_ms)| {
            self.now_ms < at_ms + DECLARATION_DELAY_MS && is_within(earlier)
        });
        if self.waits.is_enabled && !is_within(&self.declaration) && !was_within {
            self.observed.violations.push(format!("{} ms: {name} is over its limit", self.now_ms));
        }
    }

    pub(super) fn record_run_end(&mut self, worker: &str, job: &str, need: Resources) {
        let account = self.account_of.get(job).cloned().flatten();
        let counts_until_ms = self.now_ms + END_DELAY_MS;
        let worker = Some(worker.to_owned());
        self.waits.ended.push(EndedRun { counts_until_ms, worker, account, need });
    }

    /// Handles the loss of a run with its worker, which is gone.
    pub(super) fn record_lost_run(&mut self, job: &str, need: Resources) {
        let account = self.account_of.get(job).cloned().flatten();
        let counts_until_ms = self.now_ms + LOST_RUN_MS;
        self.waits.ended.push(EndedRun { counts_until_ms, worker: None, account, need });
    }

    /// Suspends the checks of waits after a host was killed.
    pub(super) fn suspend_waits(&mut self) {
        self.waits.suspended_until_ms = self.now_ms + FAILOVER_MS;
        self.waits.fitting_since_ms.clear();
    }

    /// Checks the waits. To be called every millisecond.
    pub(super) fn check_waits(&mut self) {
        if !self.now_ms.is_multiple_of(CHECK_INTERVAL_MS) {
            return;
        }
        let now_ms = self.now_ms;
        self.waits.ended.retain(|run| run.counts_until_ms >= now_ms);
        if !self.waits.is_enabled || now_ms < self.waits.suspended_until_ms {
            return;
        }
        let fitting = self.fitting_unstarted_jobs();
        let earlier = std::mem::take(&mut self.waits.fitting_since_ms);
        for id in fitting {
            let since_ms = earlier.get(&id).copied().unwrap_or(self.now_ms);
            if self.now_ms > since_ms + MAX_FITTING_WAIT_MS {
                let broken = format!("{} ms: {id} fits since {since_ms} ms", self.now_ms);
                self.observed.violations.push(broken);
            }
            self.waits.fitting_since_ms.insert(id, since_ms);
        }
    }

    /// The gangs that wait, also to be started again, and that could run if nothing else did.
    fn waiting_gangs(&self) -> Vec<&str> {
        let mut waiting = Vec::new();
        for id in &self.observed.accepted {
            let step = &self.specs[id].steps[0];
            if step.gang && !self.is_active(id) && self.could_gang_run(id, step) {
                waiting.push(id.as_str());
            }
        }
        waiting
    }

    /// Whether a task of the job runs or is done.
    fn is_active(&self, job: &str) -> bool {
        let first = TaskRef { job: job.into(), step: 0, index: 0 };
        let is_of_job = |task: &TaskRef| *task.job == *job;
        if self.observed.done.range(&first..).next().is_some_and(is_of_job) {
            return true;
        }
        self.workers.values().filter(|worker| worker.is_up).any(|worker| {
            worker.running.range(&first..).next().is_some_and(|(task, _)| is_of_job(task))
        })
    }

    /// The jobs that have never started and that fit now, beside all gangs that wait.
    fn fitting_unstarted_jobs(&self) -> Vec<String> {
        let gangs = self.waiting_gangs();
        let room = self.room();
        let mut fitting = Vec::new();
        for id in &self.observed.accepted {
            let first = TaskRef { job: id.as_str().into(), step: 0, index: 0 };
            let next = self.observed.last_start_ms.range(first..).next();
            let has_started = next.is_some_and(|(task, _)| *task.job == **id);
            if has_started || self.observed.cancelled.contains(id) {
                continue;
            }
            if self.fits_now(id, &self.specs[id].steps[0], &gangs, &room) {
                fitting.push(id.clone());
            }
        }
        fitting
    }

    /// Checks that gangs start whole, or that their members are told in time that they do not.
    pub(super) fn record_member_alone(&mut self, task: &TaskRef) {
        if self.waits.is_enabled && self.now_ms >= self.waits.suspended_until_ms {
            let broken = format!("{} ms: {task:?} has waited for its gang in vain", self.now_ms);
            self.observed.violations.push(broken);
        }
    }

    fn limit_of(&self, job: &str) -> Option<&Account> {
        let name = self.account_of.get(job)?.as_ref()?;
        self.last_accounts.get(name)
    }

    /// Whether the gang could run if nothing else did.
    fn could_gang_run(&self, job: &str, step: &Step) -> bool {
        let mut places = 0;
        for worker in self.workers.values().filter(|worker| is_of_kind(worker, step)) {
            places += fit_count(worker.capacity, step, step.tasks);
        }
        let within_limit = self
            .limit_of(job)
            .is_none_or(|account| fit_count(account.cap, step, step.tasks) >= step.tasks);
        places >= step.tasks && within_limit
    }

    fn room(&self) -> Room<'_> {
        let mut room = Room { workers: Vec::new(), used: BTreeMap::new() };
        for run in &self.waits.ended {
            room.add_use(run.account.as_ref(), &run.need);
        }
        for worker in self.workers.values() {
            for (task, run) in &worker.running {
                room.add_use(self.account_of.get(&*task.job).and_then(Option::as_ref), &run.need);
            }
        }
        for worker in self.workers.values() {
            let is_usable = worker.is_up
                && worker.leaving.is_none()
                && self.now_ms > worker.incarnation + WORKER_START_MS;
            if !is_usable {
                continue;
            }
            let mut free = worker.capacity.minus(&worker.used());
            for run in &self.waits.ended {
                if run.worker.as_ref() == Some(&worker.id) {
                    free = free.minus(&run.need);
                }
            }
            room.workers.push((worker, free));
        }
        room
    }

    /// Whether a task of the step, or all of a gang, fits in its account's limit and on workers, also
    /// if room and parts of the limit are kept for all gangs that wait.
    fn fits_now(&self, job: &str, step: &Step, gangs: &[&str], room: &Room<'_>) -> bool {
        let mut needed = if step.gang { step.tasks } else { 1 };
        let mut needed_of_limit = needed;
        for gang in gangs.iter().filter(|gang| **gang != job) {
            let other = &self.specs[*gang].steps[0];
            // A task of the gang takes the room of so many tasks of this step.
            let per_task = other.need.cpu_milli.div_ceil(step.need.cpu_milli);
            let kept = other.tasks * usize::try_from(per_task).unwrap_or(usize::MAX);
            needed += kept;
            if self.account_of.get(*gang) == self.account_of.get(job) {
                needed_of_limit += kept;
            }
        }
        if let Some(account) = self.limit_of(job) {
            let used = room.used.get(&*account.name).copied().unwrap_or_default();
            let left = account.cap.minus(&used);
            if fit_count(left, step, needed_of_limit) < needed_of_limit {
                return false;
            }
        }
        let mut places = 0;
        for (worker, free) in &room.workers {
            if is_of_kind(worker, step) {
                places += fit_count(*free, step, needed);
            }
        }
        places >= needed
    }
}

/// Whether the worker has the label that the step needs.
pub(super) fn is_of_kind(worker: &SimWorker, step: &Step) -> bool {
    step.required_label.as_ref().is_none_or(|label| worker.labels.contains(label))
}

/// How many tasks of the step fit, at most this many.
fn fit_count(room: Resources, step: &Step, most: usize) -> usize {
    let mut left = room;
    let mut count = 0;
    while count < most && step.need.fits_in(&left) {
        left = left.minus(&step.need);
        count += 1;
    }
    count
}
