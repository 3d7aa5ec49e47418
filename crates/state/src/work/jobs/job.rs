//! One job of which this host is the owner.

use std::collections;
use std::time;

use pier_core::{body, caller, clock, ids, rendezvous, resources, task};

use super::ranges;
use crate::work::placement;
use crate::{cluster, options, outbox, record};

/// The longest wait before a failed task is tried again.
pub(super) const FAILURE_BACKOFF_MAX: time::Duration = time::Duration::from_secs(60);
/// The shortest interval between two progress entries of a job.
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// After how long an entry that is not in the fold is appended again.
pub(super) const APPEND_AGAIN: time::Duration = time::Duration::from_secs(10);
/// How many ends of an attempt may be unknown for each failure that is allowed. An unknown end is
/// most often the loss of a worker, which is no fault of the task; a task that kills its workers
/// has to end nevertheless.
pub(super) const LOSSES_PER_FAILURE: u32 = 4;
/// The interval between checks whether the cell could hold a task of a waiting job.
const FIT_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// How long the cell may be without a worker that could hold a task before the job fails. The host
/// list can be without a zone for a while.
const UNFIT_LIMIT: time::Duration = time::Duration::from_secs(600);
/// The number of lines that are kept of what was tried.
const HISTORY_LINES: usize = 16;

/// What a job's tasks need and how they may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Spec {
    pub(super) team: ids::TeamId,
    pub(super) queue: ids::QueueId,
    pub(super) class: task::Class,
    pub(super) tasks: u32,
    pub(super) resources: resources::Resources,
    pub(super) repeatable: bool,
    pub(super) run_estimate_ms: u64,
    pub(super) checkpoint_interval_ms: u64,
    pub(super) payload: body::Body,
    pub(super) deadline: Option<time::Duration>,
}

impl Spec {
    /// The tasks of a job of the log that was first seen at `seen`.
    pub(super) fn of_record(record: &record::JobRecord, seen: time::Duration) -> Self {
        let request = &record.request;
        let deadline = request.deadline_ms.map(time::Duration::from_millis);
        Self {
            team: record.team.clone(),
            queue: request.queue.clone(),
            class: record.class,
            tasks: request.tasks,
            resources: request.resources,
            repeatable: request.repeatable,
            run_estimate_ms: request.run_estimate_ms,
            checkpoint_interval_ms: request.checkpoint_interval_ms,
            payload: body::Body::from(request.payload.as_str()),
            deadline: deadline.map(|deadline| seen.saturating_add(deadline)),
        }
    }

    /// The tasks of a declared service. Its name stands for the queue.
    pub(super) fn of_service(service: &pier_decl::model::ServiceDecl) -> Self {
        Self {
            team: service.team.clone(),
            queue: service.name.clone(),
            class: task::Class::Service,
            tasks: service.replicas,
            resources: service.resources,
            repeatable: true,
            run_estimate_ms: 0,
            checkpoint_interval_ms: 0,
            payload: service.to_payload(),
            deadline: None,
        }
    }
}

/// How far an attempt has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Stage {
    /// Placement looks for a worker.
    Queued,
    /// Room is reserved.
    Reserved,
    /// A worker runs it.
    Running(ids::WorkerId),
}

/// An attempt of which placement has not told the end.
#[derive(Debug, Clone)]
pub(super) struct Active {
    pub(super) attempt: ids::Attempt,
    pub(super) stage: Stage,
    pub(super) cancelled: bool,
    /// The generation of the specification with which the attempt was placed.
    pub(super) generation: u32,
    pub(super) since: time::Duration,
}

/// A task of which an attempt was made and that is not done.
#[derive(Debug, Clone, Default)]
pub(super) struct Task {
    /// The largest attempt number that was used.
    pub(super) last_attempt: ids::Attempt,
    /// The largest attempt number whose end was told.
    pub(super) closed: ids::Attempt,
    pub(super) failures: u32,
    pub(super) losses: u32,
    pub(super) refusals: u32,
    pub(super) active: Option<Active>,
    pub(super) not_before: time::Duration,
}

/// The end that a job is brought to.
#[derive(Debug, Clone)]
pub(super) struct Ending {
    pub(super) phase: caller::JobPhase,
    pub(super) reason: Option<caller::Refusal>,
    pub(super) since: time::Duration,
    /// Whether the attempts of the job were cancelled.
    pub(super) stopped: bool,
    pub(super) appended_at: Option<time::Duration>,
}

/// What one step of a job needs.
pub(super) struct Step<'a> {
    pub(super) now: time::Duration,
    pub(super) cluster: &'a cluster::Cluster,
    pub(super) options: &'a options::Options,
    /// Whether every member has told the attempts that it counts in this epoch.
    pub(super) all_told: bool,
    /// How many tasks of the job's team may wait for a worker besides those that do.
    pub(super) team_room: usize,
    /// The job's part of what its team may have waiting, so that each job of a team goes on.
    pub(super) job_window: usize,
    pub(super) out: &'a mut outbox::Outbox,
    pub(super) orders: &'a mut placement::Commands,
}

impl Step<'_> {
    /// How long an attempt can outlive the last word of its job's owner.
    pub(super) fn lease_end(&self) -> time::Duration {
        self.options.task_lease + self.options.lease_margin
    }

    /// How long an attempt of an earlier owner can run after this host has become the owner. The
    /// earlier owner and the owner of the worker may learn of the epoch as late as their authority
    /// lasts.
    fn recovery_wait(&self) -> time::Duration {
        self.lease_end() + self.options.takeover_wait()
    }

    pub(super) fn may_place(&self) -> bool {
        !self.cluster.leaving && self.cluster.may_start(self.now)
    }
}

/// A job of which this host is the owner.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: ids::JobId,
    pub(super) spec: Spec,
    pub(super) done: ranges::Ranges,
    pub(super) tasks: collections::BTreeMap<u32, Task>,
    /// The tasks of `tasks` without an attempt, by the time from which they may be placed.
    pub(super) waiting: collections::BTreeSet<(time::Duration, u32)>,
    /// The tasks whose `JobAttempts` entry is not in the fold yet.
    pub(super) asked: ranges::Ranges,
    pub(super) asked_at: Option<time::Duration>,
    pub(super) next_fresh: u32,
    /// The number of attempts that do not run yet.
    pub(super) queued: usize,
    pub(super) running: usize,
    pub(super) owned_since: time::Duration,
    /// Whether attempts of an earlier owner may run that this host does not know.
    pub(super) recovering: bool,
    pub(super) ending: Option<Ending>,
    progress_at: Option<time::Duration>,
    fit_checked_at: time::Duration,
    unfit_since: Option<time::Duration>,
    pub(super) gang: super::gang::Gang,
    pub(super) generation: u32,
    pub(super) last_refusal: Option<caller::Refusal>,
    /// Attempts of earlier owners that were cancelled, with the time at which they have lapsed.
    pub(super) orphans: collections::BTreeMap<(u32, ids::Attempt), time::Duration>,
    history: collections::VecDeque<String>,
}

impl Job {
    /// A job that this host owns since `owned_since`. It places nothing until it has recovered.
    pub(super) fn new(id: ids::JobId, spec: Spec, owned_since: time::Duration) -> Self {
        Self {
            id,
            spec,
            done: ranges::Ranges::default(),
            tasks: collections::BTreeMap::new(),
            waiting: collections::BTreeSet::new(),
            asked: ranges::Ranges::default(),
            asked_at: None,
            next_fresh: 0,
            queued: 0,
            running: 0,
            owned_since,
            recovering: true,
            ending: None,
            progress_at: None,
            fit_checked_at: time::Duration::ZERO,
            unfit_since: None,
            gang: super::gang::Gang::default(),
            generation: 0,
            last_refusal: None,
            orphans: collections::BTreeMap::new(),
            history: collections::VecDeque::new(),
        }
    }

    pub(super) fn is_service(&self) -> bool {
        self.spec.class == task::Class::Service
    }

    /// The number of attempts of which placement has not told the end.
    pub(super) fn active(&self) -> usize {
        self.queued + self.running
    }

    pub(super) fn task_id(&self, index: u32) -> ids::TaskId {
        format!("{}/{index}", self.id).into()
    }

    /// The lines on what was tried, oldest first.
    pub(super) fn history(&self) -> Vec<String> {
        self.history.iter().cloned().collect()
    }

    pub(super) fn note(&mut self, line: String) {
        if self.history.len() >= HISTORY_LINES {
            self.history.pop_front();
        }
        self.history.push_back(line);
    }

    /// The state as callers see it.
    pub(super) fn status(&self) -> caller::JobStatus {
        let all_done = self.done.len() >= self.spec.tasks && !self.is_service();
        let phase = match &self.ending {
            Some(ending) => ending.phase,
            None if all_done => caller::JobPhase::Done,
            None if self.running > 0 || self.done.len() > 0 => caller::JobPhase::Running,
            None => caller::JobPhase::Waiting,
        };
        let reason = match &self.ending {
            Some(ending) => ending.reason.clone(),
            None => self.last_refusal.clone(),
        };
        caller::JobStatus {
            job: self.id.clone(),
            phase,
            tasks: self.spec.tasks,
            done: self.done.len(),
            running: u32::try_from(self.running).unwrap_or(u32::MAX),
            reason,
        }
    }

    /// Takes the job's state from the fold.
    pub(super) fn read_fold(&mut self, fold: &record::JobFold) {
        for range in &fold.done {
            self.done.insert_range(*range);
        }
    }

    /// Does what is due.
    pub(super) fn drive(&mut self, step: &mut Step<'_>) {
        self.recover(step);
        self.check_fit(step);
        if self.ending.is_some() {
            self.drive_end(step);
        } else if self.spec.class == task::Class::Gang {
            self.drive_gang(step);
        } else {
            self.drive_tasks(step);
        }
        self.append_progress(step);
    }

    /// Fails a job of which no worker of the cell could hold a task for a long time.
    fn check_fit(&mut self, step: &Step<'_>) {
        if self.is_service() || self.active() > 0 || step.now < self.fit_checked_at + FIT_INTERVAL {
            return;
        }
        self.fit_checked_at = step.now;
        let fits = match self.spec.class {
            task::Class::Gang => {
                super::gang::fits_cell(step.cluster, self.spec.tasks, &self.spec.resources)
            }
            _ => super::admission::fits_some_worker(step.cluster, &self.spec.resources),
        };
        if fits || step.cluster.workers.is_empty() {
            self.unfit_since = None;
            return;
        }
        let since = *self.unfit_since.get_or_insert(step.now);
        let detail = "the workers of the cell could not hold it for a long time";
        let refusal = caller::Refusal::not_run(caller::RefusalKind::NeverFits, detail);
        if step.now >= since + UNFIT_LIMIT {
            self.fail(step.now, refusal);
        } else {
            self.last_refusal = Some(refusal);
        }
    }

    /// Ends the wait of a new owner once no attempt can run that it does not know.
    fn recover(&mut self, step: &Step<'_>) {
        let lapsed = step.now >= self.owned_since + step.recovery_wait();
        if !self.recovering || !(step.all_told || lapsed) {
            return;
        }
        self.recovering = false;
        if !self.spec.repeatable {
            self.fail_unknown(step);
        }
    }

    /// Fails a job that is not repeatable and of which a task may have run under an earlier owner
    /// with an end that nobody knows.
    fn fail_unknown(&mut self, step: &Step<'_>) {
        let Some(fold) = step.cluster.jobs.get(&self.id) else {
            return;
        };
        let started = ranges::Ranges::of(&fold.started).minus(&self.done);
        for index in started.indices() {
            if self.tasks.contains_key(&index) {
                continue;
            }
            let detail = format!("the end of task {index} is unknown and it may not run again");
            let reason = caller::Refusal::unknown(caller::RefusalKind::WorkerLost, detail);
            self.end(step.now, caller::JobPhase::Failed, Some(reason));
            return;
        }
    }

    pub(super) fn fail(&mut self, now: time::Duration, reason: caller::Refusal) {
        self.end(now, caller::JobPhase::Failed, Some(reason));
    }

    /// Begins the end of the job. The first reason stays.
    pub(super) fn end(
        &mut self,
        now: time::Duration,
        phase: caller::JobPhase,
        reason: Option<caller::Refusal>,
    ) {
        if self.ending.is_some() {
            return;
        }
        self.ending = Some(Ending { phase, reason, since: now, stopped: false, appended_at: None });
    }

    /// Stops what runs and then appends the end of the job.
    pub(super) fn drive_end(&mut self, step: &mut Step<'_>) {
        let Some(ending) = &mut self.ending else {
            return;
        };
        if !std::mem::replace(&mut ending.stopped, true) {
            self.cancel_all(step.orders);
        }
        let active = self.active();
        let Some(ending) = &mut self.ending else {
            return;
        };
        let lapsed = step.now >= ending.since.saturating_add(step.lease_end());
        let again = ending.appended_at.is_none_or(|at| step.now >= at + APPEND_AGAIN);
        if (active > 0 && !lapsed) || !again || step.cluster.log_away {
            return;
        }
        let Some(fold) = step.cluster.jobs.get(&self.id) else {
            return;
        };
        if fold.phase.is_some() {
            return;
        }
        ending.appended_at = Some(step.now);
        step.out.append(record::Entry::JobEnded {
            job: self.id.clone(),
            phase: ending.phase,
            reason: ending.reason.clone(),
        });
    }

    /// Appends the tasks that are done and not in the fold, in one entry.
    fn append_progress(&mut self, step: &mut Step<'_>) {
        if self.is_service() || step.cluster.log_away || self.spec.class == task::Class::Gang {
            return;
        }
        let due = self.progress_at.is_none_or(|at| step.now >= at + PROGRESS_INTERVAL);
        let ended = self.ending.as_ref().is_some_and(|ending| ending.appended_at.is_some());
        if !due || ended {
            return;
        }
        let Some(fold) = step.cluster.jobs.get(&self.id) else {
            return;
        };
        let mut folded: u32 = 0;
        for range in &fold.done {
            folded = folded.saturating_add(range.end.saturating_sub(range.first));
        }
        if folded >= self.done.len() {
            return;
        }
        let news = self.done.minus(&ranges::Ranges::of(&fold.done));
        self.progress_at = Some(step.now);
        step.out.append(record::Entry::JobProgress { job: self.id.clone(), done: news.to_vec() });
    }

    /// A number between zero and `below` that differs between hosts, jobs and rounds.
    pub(super) fn spread(&self, step: &Step<'_>, round: u32, below: u64) -> u64 {
        let key = format!("{}#{round}#{}", self.id, clock::millis(step.now));
        rendezvous::weight(&key, &step.cluster.me.host).checked_rem(below).unwrap_or(0)
    }
}

/// The wait after `tries` in a row: nothing, then `first`, doubled each time up to `longest`.
pub(super) fn backoff(
    first: time::Duration,
    longest: time::Duration,
    tries: u32,
) -> time::Duration {
    if tries == 0 {
        return time::Duration::ZERO;
    }
    let factor = 1_u32.checked_shl(tries - 1).unwrap_or(u32::MAX);
    first.saturating_mul(factor).min(longest)
}

pub(super) fn exhausted(index: u32, failures: u32) -> caller::Refusal {
    caller::Refusal {
        kind: caller::RefusalKind::AttemptsExhausted,
        detail: format!("task {index} failed {failures} times"),
        outcome: caller::Outcome::Ran,
        retry_after_ms: None,
    }
}

pub(super) fn lost(index: u32, losses: u32) -> caller::Refusal {
    caller::Refusal::unknown(
        caller::RefusalKind::WorkerLost,
        format!("task {index} ended {losses} times without a known end"),
    )
}
