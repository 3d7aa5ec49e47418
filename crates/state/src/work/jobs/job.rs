//! A job that this host owns.

use std::collections;
use std::time;

use pier_core::{body, caller, clock, ids, rendezvous, resources, task};

use super::ranges;
use crate::work::placement;
use crate::{cluster, options, outbox, record};

/// The maximum backoff before a failed task is retried.
pub(super) const FAILURE_BACKOFF_MAX: time::Duration = time::Duration::from_secs(60);
/// The minimum interval between two progress entries of a job.
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// How long after an append an entry that is still missing from the folded log is appended again.
pub(super) const APPEND_RETRY_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// How many unknown ends of attempts are allowed for each allowed failure. The usual cause of an
/// unknown end is the loss of a worker, which is not the task's fault, but the retries of a task
/// that crashes its workers must end too.
pub(super) const UNKNOWN_ENDS_PER_FAILURE: u32 = 4;
/// The interval between checks whether the tasks of a waiting job fit on the workers of the cell.
const FIT_CHECK_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// How long the tasks of a job may fit on no workers before the job fails. The host list can lack an
/// availability zone for a while.
const MAX_UNFIT_TIME: time::Duration = time::Duration::from_secs(600);
/// The maximum number of lines in the attempt history of a job.
const MAX_HISTORY_LINES: usize = 16;

/// The specification of a job's tasks.
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
    /// The specification of a stored job that was first seen at `first_seen`.
    pub(super) fn from_record(record: &record::JobRecord, first_seen: time::Duration) -> Self {
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
            deadline: deadline.map(|deadline| first_seen.saturating_add(deadline)),
        }
    }

    /// The specification of a declared service. Its name is used as the name of the queue.
    pub(super) fn from_service(service: &pier_decl::model::ServiceDecl) -> Self {
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

/// The stage of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Stage {
    /// The attempt waits for a worker.
    Queued,
    /// Capacity is reserved for the attempt.
    Reserved,
    /// A worker runs it.
    Running(ids::WorkerId),
}

/// An attempt whose end is not known yet.
#[derive(Debug, Clone)]
pub(super) struct ActiveAttempt {
    pub(super) attempt: ids::Attempt,
    pub(super) stage: Stage,
    pub(super) cancelled: bool,
    /// The generation of the specification with which the attempt was placed.
    pub(super) generation: u32,
    pub(super) since: time::Duration,
}

/// A task that is not done and has had at least one attempt.
#[derive(Debug, Clone, Default)]
pub(super) struct Task {
    /// The largest attempt number that was used.
    pub(super) last_attempt: ids::Attempt,
    /// The largest attempt number whose end is known.
    pub(super) last_ended: ids::Attempt,
    pub(super) failures: u32,
    pub(super) unknown_ends: u32,
    pub(super) refusals: u32,
    pub(super) active: Option<ActiveAttempt>,
    pub(super) not_before: time::Duration,
}

/// The final state that a job is moving to.
#[derive(Debug, Clone)]
pub(super) struct Ending {
    pub(super) phase: caller::JobPhase,
    pub(super) reason: Option<caller::Refusal>,
    pub(super) since: time::Duration,
    pub(super) attempts_cancelled: bool,
    pub(super) appended_at: Option<time::Duration>,
}

/// The context of one step of a job.
pub(super) struct Step<'a> {
    pub(super) now: time::Duration,
    pub(super) cluster: &'a cluster::Cluster,
    pub(super) options: &'a options::Options,
    /// Whether every member has reported the attempts that it tracks in this epoch.
    pub(super) all_members_reported: bool,
    /// How many more tasks of the job's team may be queued for a worker.
    pub(super) team_queue_left: usize,
    /// The job's share of the queued tasks of its team, so that every job of a team makes progress.
    pub(super) job_queue_share: usize,
    pub(super) out: &'a mut outbox::Outbox,
    pub(super) commands: &'a mut placement::Commands,
}

impl Step<'_> {
    /// How long an attempt can outlive the last renewal requested by its job's owner.
    pub(super) fn lease_with_margin(&self) -> time::Duration {
        self.options.task_lease + self.options.lease_margin
    }

    /// How long an attempt of an earlier owner can run after this host became the owner. The earlier
    /// owner and the owner of the worker may learn of the epoch only when their authority ends.
    fn recovery_wait(&self) -> time::Duration {
        self.lease_with_margin() + self.options.takeover_wait()
    }

    pub(super) fn may_place(&self) -> bool {
        !self.cluster.leaving && self.cluster.may_start(self.now)
    }
}

/// A job that this host owns.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: ids::JobId,
    pub(super) spec: Spec,
    pub(super) done: ranges::Ranges,
    pub(super) tasks: collections::BTreeMap<u32, Task>,
    /// The tasks in `tasks` without an active attempt, by the time from which they may be placed.
    pub(super) waiting: collections::BTreeSet<(time::Duration, u32)>,
    /// The tasks whose `JobAttempts` entry is not in the folded log yet.
    pub(super) pending_starts: ranges::Ranges,
    pub(super) start_entry_appended_at: Option<time::Duration>,
    pub(super) next_untried: u32,
    /// The number of active attempts that do not run yet.
    pub(super) queued: usize,
    pub(super) running: usize,
    pub(super) owned_since: time::Duration,
    /// Whether attempts of an earlier owner that this host does not know may still run.
    pub(super) recovering: bool,
    pub(super) ending: Option<Ending>,
    progress_at: Option<time::Duration>,
    fit_checked_at: time::Duration,
    unfit_since: Option<time::Duration>,
    pub(super) gang: super::gang::Gang,
    pub(super) generation: u32,
    pub(super) last_refusal: Option<caller::Refusal>,
    /// Cancelled attempts of earlier owners, with the time at which their leases have certainly
    /// expired.
    pub(super) orphans: collections::BTreeMap<(u32, ids::Attempt), time::Duration>,
    history: collections::VecDeque<String>,
}

impl Job {
    /// Creates a job that this host has owned since `owned_since`. No task is placed until the
    /// recovery from the earlier owner is finished.
    pub(super) fn new(id: ids::JobId, spec: Spec, owned_since: time::Duration) -> Self {
        Self {
            id,
            spec,
            done: ranges::Ranges::default(),
            tasks: collections::BTreeMap::new(),
            waiting: collections::BTreeSet::new(),
            pending_starts: ranges::Ranges::default(),
            start_entry_appended_at: None,
            next_untried: 0,
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

    /// The number of attempts whose end is not known yet.
    pub(super) fn active_count(&self) -> usize {
        self.queued + self.running
    }

    pub(super) fn task_id(&self, index: u32) -> ids::TaskId {
        format!("{}/{index}", self.id).into()
    }

    /// The attempt history, oldest first, one attempt per line.
    pub(super) fn history(&self) -> Vec<String> {
        self.history.iter().cloned().collect()
    }

    pub(super) fn record_history(&mut self, line: String) {
        if self.history.len() >= MAX_HISTORY_LINES {
            self.history.pop_front();
        }
        self.history.push_back(line);
    }

    /// The status that callers see.
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

    /// Adds the progress in the folded log to the job.
    pub(super) fn read_fold(&mut self, fold: &record::JobFold) {
        for range in &fold.done {
            self.done.insert_range(*range);
        }
    }

    /// Performs the next steps that are due.
    pub(super) fn advance(&mut self, step: &mut Step<'_>) {
        self.recover(step);
        self.check_fit(step);
        if self.ending.is_some() {
            self.advance_ending(step);
        } else if self.spec.class == task::Class::Gang {
            self.advance_gang(step);
        } else {
            self.advance_tasks(step);
        }
        self.append_progress(step);
    }

    /// Fails a job whose tasks have not fit on the workers of the cell for a long time.
    fn check_fit(&mut self, step: &Step<'_>) {
        if self.is_service()
            || self.active_count() > 0
            || step.now < self.fit_checked_at + FIT_CHECK_INTERVAL
        {
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
        let detail = "the job has not fit on the workers of the cell for a long time";
        let refusal = caller::Refusal::not_run(caller::RefusalKind::NeverFits, detail);
        if step.now >= since + MAX_UNFIT_TIME {
            self.fail(step.now, refusal);
        } else {
            self.last_refusal = Some(refusal);
        }
    }

    /// Ends the recovery of a new owner once no attempt that it does not know can still run.
    fn recover(&mut self, step: &Step<'_>) {
        let lapsed = step.now >= self.owned_since + step.recovery_wait();
        if !self.recovering || !(step.all_members_reported || lapsed) {
            return;
        }
        self.recovering = false;
        if !self.spec.repeatable {
            self.fail_on_unknown_end(step);
        }
    }

    /// Fails a non-repeatable job if one of its tasks may have run under an earlier owner with an
    /// unknown end.
    fn fail_on_unknown_end(&mut self, step: &Step<'_>) {
        let Some(fold) = step.cluster.jobs.get(&self.id) else {
            return;
        };
        let started = ranges::Ranges::from_task_ranges(&fold.started).difference(&self.done);
        for index in started.indices() {
            if self.tasks.contains_key(&index) {
                continue;
            }
            let detail = format!("the outcome of task {index} is unknown and it is not repeatable");
            let reason = caller::Refusal::unknown(caller::RefusalKind::WorkerLost, detail);
            self.end(step.now, caller::JobPhase::Failed, Some(reason));
            return;
        }
    }

    pub(super) fn fail(&mut self, now: time::Duration, reason: caller::Refusal) {
        self.end(now, caller::JobPhase::Failed, Some(reason));
    }

    /// Starts to end the job. If it is already ending, the first phase and reason stay.
    pub(super) fn end(
        &mut self,
        now: time::Duration,
        phase: caller::JobPhase,
        reason: Option<caller::Refusal>,
    ) {
        if self.ending.is_some() {
            return;
        }
        self.ending = Some(Ending {
            phase,
            reason,
            since: now,
            attempts_cancelled: false,
            appended_at: None,
        });
    }

    /// Cancels the active attempts and, once they have ended, appends the end of the job.
    pub(super) fn advance_ending(&mut self, step: &mut Step<'_>) {
        let Some(ending) = &mut self.ending else {
            return;
        };
        if !std::mem::replace(&mut ending.attempts_cancelled, true) {
            self.cancel_all(step.commands);
        }
        let active = self.active_count();
        let Some(ending) = &mut self.ending else {
            return;
        };
        let lapsed = step.now >= ending.since.saturating_add(step.lease_with_margin());
        let again = ending.appended_at.is_none_or(|at| step.now >= at + APPEND_RETRY_INTERVAL);
        if (active > 0 && !lapsed) || !again || step.cluster.log_unreachable {
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

    /// Appends one entry with the done tasks that are missing from the folded log.
    fn append_progress(&mut self, step: &mut Step<'_>) {
        if self.is_service() || step.cluster.log_unreachable || self.spec.class == task::Class::Gang
        {
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
        let new_done = self.done.difference(&ranges::Ranges::from_task_ranges(&fold.done));
        self.progress_at = Some(step.now);
        step.out
            .append(record::Entry::JobProgress { job: self.id.clone(), done: new_done.to_vec() });
    }

    /// A pseudorandom number of milliseconds below `below`, derived from the host, job, round and
    /// time.
    pub(super) fn jitter_ms(&self, step: &Step<'_>, round: u32, below: u64) -> u64 {
        let key = format!("{}#{round}#{}", self.id, clock::millis(step.now));
        rendezvous::weight(&key, &step.cluster.identity.host).checked_rem(below).unwrap_or(0)
    }
}

/// The exponential backoff after `tries` consecutive tries: zero, then `first`, doubled each time up
/// to `longest`.
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

pub(super) fn attempts_exhausted(index: u32, failures: u32) -> caller::Refusal {
    caller::Refusal {
        kind: caller::RefusalKind::AttemptsExhausted,
        detail: format!("task {index} failed {failures} times"),
        outcome: caller::Outcome::Ran,
        retry_after_ms: None,
    }
}

pub(super) fn too_many_unknown_ends(index: u32, unknown_ends: u32) -> caller::Refusal {
    caller::Refusal::unknown(
        caller::RefusalKind::WorkerLost,
        format!("{unknown_ends} attempts of task {index} ended with an unknown outcome"),
    )
}
