//! The decider: the one host that schedules the cell and appends to its log.
//!
//! It changes the cell state in memory, appends the changes, and acts on them only when the append
//! is stored: responses to submissions, start requests to workers and acknowledgements of run ends
//! are sent after their records are stored. The claim of another decider makes the append fail, and
//! then the changes have no effect.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync;
use std::time;

use pier_core::ids;
use pier_core::map::Map;

use crate::advice::StepAdvice;
use crate::cell_state::CellState;
use crate::decider::admission::JobAdmission;
use crate::decider::advice_calls::AdviserLoad;
use crate::decider::append::{InFlightAppend, append_effect};
use crate::decider::forecast::Forecasts;
use crate::decider::gangs::GangReservations;
use crate::decider::reclaim::Reclaim;
use crate::decider::schedule::LimitReservation;
use crate::decider::shares::AccountShares;
use crate::declaration::Declaration;
use crate::effect::{Effect, Target};
use crate::job::{AccountId, JobState, RunNumber, StepIndex, TaskRef};
use crate::load_report::LoadReport;
use crate::options::Options;
use crate::peer::{Message, PeerInfo, RequestOutcome};
use crate::progress::Phase;
use crate::record::{Claim, Record};
use crate::run::Run;
use crate::speed::WorkerSpeeds;
use crate::worker::{Worker, WorkerIncarnation};

mod admission;
mod advice_calls;
mod adviser;
mod append;
mod availability;
mod dispatch;
mod forecast;
mod forecast_build;
mod gangs;
mod learned;
mod polls;
mod reclaim;
mod relay;
mod requests;
mod room;
mod run_times;
mod schedule;
mod shares;
mod takeover;
mod terms;

/// The inputs and outputs of the decider besides its own state.
pub struct Context<'a> {
    /// The monotonic time since the process started.
    pub now: time::Duration,
    /// The wall clock, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Timeouts and limits.
    pub options: &'a Options,
    /// The operators' declaration, with the terms of removed queues and accounts of accepted jobs.
    pub declaration: &'a Declaration,
    /// The availability zones that are out of service and get no work.
    pub zones_out: &'a BTreeSet<ids::ZoneId>,
    /// The state that is folded from the log, which holds the jobs.
    pub cell_state: &'a mut CellState,
    /// Issues the tickets of the process's calls.
    pub tickets: &'a mut ids::TicketSequence,
    /// The effects to carry out.
    pub effects: &'a mut Vec<Effect>,
}

/// Where the outcome of a caller's request is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOrigin {
    /// A caller of this host.
    Local(ids::Ticket),
    /// A caller of another host.
    Remote(ids::HostId, ids::Ticket),
}

/// An advice request that has no response yet. The host is none for this host.
#[derive(Debug)]
struct PendingAdvice {
    job: ids::JobId,
    step: StepIndex,
    is_gang: bool,
    host: Option<ids::HostId>,
    workers: Vec<ids::WorkerId>,
    expires_at: time::Duration,
}

/// A claim of the decider role that the log has stored.
#[derive(Debug, Clone)]
pub struct Term {
    /// The incarnation of the process that claimed the role.
    pub incarnation: ids::Incarnation,
    /// The fencing token.
    pub token: u64,
    /// The end of the log after the claim.
    pub end: ids::Offset,
    /// A time at which the claim was the latest one: when it was sent, or when it was read.
    pub confirmed_at: time::Duration,
    /// When this host had read all records of earlier deciders.
    pub earlier_records_read_at: time::Duration,
    /// The decider before this one, if this host has read its claim.
    pub predecessor: Option<Predecessor>,
}

/// The decider before the current one.
#[derive(Debug, Clone)]
pub struct Predecessor {
    /// Its host.
    pub host: ids::HostId,
    /// The incarnation of its process.
    pub incarnation: ids::Incarnation,
    /// When this host had read its claim, and so all records of the deciders before it.
    pub claim_read_at: time::Duration,
}

/// The state of the decider, except for the jobs, which are in the [`CellState`].
#[derive(Debug)]
pub struct Decider {
    token: u64,
    /// The end of the log after the last append of this decider.
    end: ids::Offset,
    incarnation: ids::Incarnation,
    in_flight: Option<InFlightAppend>,
    last_append_at: time::Duration,
    last_stored_at: time::Duration,
    /// When the host was last certainly the decider: when the last append that is stored was sent.
    /// Its response may have waited, and another host may have claimed the role meanwhile.
    confirmed_at: time::Duration,
    /// When all leases that earlier deciders have given end.
    inherited_leases_end_at: time::Duration,
    /// The decider before this one, until its process is known to have ended.
    predecessor: Option<Predecessor>,
    last_schedule_at: time::Duration,
    log_loss_reported_at: time::Duration,
    /// Whether something has happened since the last scheduling pass.
    needs_scheduling: bool,
    /// Jobs with changes that are not part of an append yet.
    dirty: BTreeSet<ids::JobId>,
    /// The `dirty` jobs that were just accepted.
    newly_accepted: BTreeSet<ids::JobId>,
    /// Ended jobs in order of their ends, with the time from which their retention counts: that of
    /// the end or, for ends under an earlier decider, that of the claim. The wall clock, which may
    /// be wrong on a host, only determines the order.
    ended_order: VecDeque<(time::Duration, ids::JobId)>,
    /// Withdrawn job ids in order, with the time from which their retention counts.
    withdrawn_order: VecDeque<(time::Duration, ids::JobId)>,
    /// Responses, start requests and acknowledgements to send once the next append is stored.
    pending_replies: Vec<(RequestOrigin, RequestOutcome)>,
    pending_starts: Vec<TaskRef>,
    pending_ends: Vec<(ids::WorkerId, WorkerIncarnation, u64)>,
    workers: BTreeMap<ids::WorkerId, Worker>,
    has_worker_list: bool,
    runs: BTreeMap<TaskRef, Run>,
    /// Workers that may be due for a poll.
    poll_candidates: BTreeSet<ids::WorkerId>,
    /// When all workers are checked for due polls next.
    next_poll_pass_at: time::Duration,
    last_lease_check_at: time::Duration,
    /// Runs that are being stopped without an acknowledgement yet.
    stopping: BTreeSet<TaskRef>,
    /// What the accounts use, and how the capacity is divided among them.
    shares: AccountShares,
    /// What is preempted, and for which steps.
    reclaim: Reclaim,
    /// The parts of accounts' limits that are reserved for waiting gangs.
    limit_reservations: Map<AccountId, LimitReservation>,
    /// For accounts whose limit is reserved for a waiting gang: since when the account has used at
    /// most half of its limit.
    below_half_since: Map<AccountId, time::Duration>,
    admission: JobAdmission,
    /// The version of the declaration that was last applied, see [`Self::apply_declaration`].
    applied_version: ids::Version,
    /// The records of terms that are not part of an append yet.
    changed_terms: VecDeque<Record>,
    advice: BTreeMap<(ids::JobId, StepIndex), StepAdvice>,
    advice_requests: BTreeMap<ids::Ticket, PendingAdvice>,
    /// The hosts with an open advice request. None stands for this host.
    busy_adviser_hosts: BTreeSet<Option<ids::HostId>>,
    /// For hosts whose last advice requests had no response: how many. None stands for this host.
    adviser_failures: BTreeMap<Option<ids::HostId>, u32>,
    speeds: WorkerSpeeds,
    forecasts: Forecasts,
    /// The workers in descending order of their free share, and the time of the sort.
    workers_by_free: Vec<ids::WorkerId>,
    workers_sorted_at: time::Duration,
    /// When this decider first saw each waiting step.
    waiting_since: BTreeMap<(ids::JobId, StepIndex), time::Duration>,
    /// The connected hosts, which can send advice requests and relay calls to workers.
    peers: BTreeMap<ids::HostId, PeerInfo>,
    /// What is reserved for waiting gangs on the workers.
    gangs: GangReservations,
    adviser_load: AdviserLoad,
    local_outcomes: Vec<(ids::Ticket, RequestOutcome)>,
    load_report: LoadReport,
    /// The claim that releases the decider role, set when the host shuts down.
    release: Option<Claim>,
    deposed: Option<&'static str>,
}

impl Decider {
    /// The reason why the host is no longer the decider, if so.
    pub fn deposed(&self) -> Option<&'static str> {
        self.deposed
    }

    /// The fencing token.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// When the host was last certainly the decider.
    pub fn confirmed_at(&self) -> time::Duration {
        self.confirmed_at
    }

    /// Takes the outcomes of requests that callers of this host have made.
    pub fn take_local_outcomes(&mut self) -> Vec<(ids::Ticket, RequestOutcome)> {
        std::mem::take(&mut self.local_outcomes)
    }

    /// Takes the report of decisions under load since the last one.
    pub fn take_load_report(&mut self) -> LoadReport {
        std::mem::take(&mut self.load_report)
    }

    /// Whether all changes of the job are stored in the log.
    pub fn is_stored(&self, job: &str) -> bool {
        !self.dirty.contains(job)
            && !self.in_flight.as_ref().is_some_and(|append| append.jobs.contains(job))
    }

    /// When [`Decider::advance`] has to be called next.
    pub fn due_at(&self, options: &Options) -> time::Duration {
        self.next_poll_pass_at.min(self.append_due_at(options))
    }

    fn append_due_at(&self, options: &Options) -> time::Duration {
        match &self.in_flight {
            Some(append) => append.retry_at.unwrap_or(time::Duration::MAX),
            None if self.has_changes() || self.needs_scheduling => self
                .last_append_at
                .max(self.last_schedule_at)
                .saturating_add(options.min_append_interval),
            None => self.last_append_at.saturating_add(options.heartbeat_interval),
        }
    }

    /// Requests a scheduling pass after an event that may let waiting work start.
    pub fn request_scheduling(&mut self) {
        self.needs_scheduling = true;
    }

    /// Releases the decider role with the next append. No more work is started.
    pub fn release(&mut self, claim: Claim) {
        self.release = Some(claim);
    }

    fn has_changes(&self) -> bool {
        self.release.is_some()
            || !self.dirty.is_empty()
            || !self.changed_terms.is_empty()
            || !self.pending_ends.is_empty()
            || !self.pending_replies.is_empty()
    }

    /// Carries out everything that is due.
    pub fn advance(&mut self, context: &mut Context<'_>) {
        self.expire_leases(context);
        self.stop_runs_on_leaving_workers(context);
        self.send_stops(context);
        self.send_polls(context);
        self.expire_advice_requests(context);
        self.report_log_loss(context);
        if let Some(append) = &mut self.in_flight {
            if append.retry_at.is_some_and(|at| context.now >= at) {
                append.retry_at = None;
                let effect = append_effect(append, self.end, context.options);
                context.effects.push(effect);
            }
            return;
        }
        let last_at = self.last_append_at.max(self.last_schedule_at);
        if context.now < last_at.saturating_add(context.options.min_append_interval) {
            return;
        }
        self.last_schedule_at = context.now;
        self.needs_scheduling = false;
        self.apply_declaration(context);
        if self.release.is_none() {
            self.schedule(context);
        }
        self.complete_done_jobs(context);
        let is_heartbeat_due =
            context.now >= self.last_append_at.saturating_add(context.options.heartbeat_interval);
        if self.has_changes() || is_heartbeat_due {
            self.append(context);
        }
    }

    fn reply(&mut self, context: &mut Context<'_>, origin: RequestOrigin, outcome: RequestOutcome) {
        match origin {
            RequestOrigin::Local(ticket) => self.local_outcomes.push((ticket, outcome)),
            RequestOrigin::Remote(to, ticket) => {
                let message = Message::Outcome { ticket, token: self.token, outcome };
                context.effects.push(Effect::Send { to, message });
            }
        }
    }

    fn has_runs(&self, job: &ids::JobId) -> bool {
        let first = TaskRef { job: ids::JobId::clone(job), step: 0, index: 0 };
        self.runs.range(first..).next().is_some_and(|(task, _)| task.job == *job)
    }

    fn target(&self, worker: &Worker) -> Target {
        Target {
            worker: ids::WorkerId::clone(&worker.info.id),
            incarnation: worker.addressed_incarnation(),
            address: sync::Arc::clone(&worker.info.address),
            token: self.token,
        }
    }

    /// Adds a run and counts its resources against its worker and its account.
    fn insert_run(&mut self, task: TaskRef, run: Run) {
        if let Some(account) = &run.account {
            self.shares.add_use(account, &run.need);
        }
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.used = worker.used.plus(&run.need);
            worker.runs.insert(task.clone());
            self.poll_candidates.insert(ids::WorkerId::clone(&run.worker));
        }
        self.runs.insert(task, run);
    }

    /// Removes a run that is certainly not alive and frees its resources. Its task waits again
    /// unless it is done.
    fn remove_run(&mut self, context: &mut Context<'_>, task: &TaskRef) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.stopping.remove(task);
        if let Some(account) = &run.account {
            self.shares.remove_use(account, &run.need);
        }
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.used = worker.used.minus(&run.need);
            worker.runs.remove(task);
        }
        if let Some(job) = context.cell_state.live.get_mut(&task.job) {
            let state = &mut job.progress.steps[task.step][task.index];
            if matches!(state.phase, Phase::Assigned { .. }) {
                state.phase = Phase::Waiting;
            }
            self.dirty.insert(ids::JobId::clone(&task.job));
        }
        Some(run)
    }

    /// Sets the final state of the job. Unless it is completed, its remaining runs are stopped.
    fn set_final_state(
        &mut self,
        context: &mut Context<'_>,
        id: &ids::JobId,
        final_state: JobState,
    ) {
        let Some(job) = context.cell_state.live.get_mut(id) else {
            return;
        };
        if job.progress.final_state.is_some() {
            return;
        }
        job.progress.final_state = Some(final_state);
        let waited_ms = context.wall_ms.saturating_sub(job.accepted_wall_ms);
        tracing::info!(job = %id, queue = %job.spec.queue, verdict = ?final_state, waited_ms,
            "job reached its final state");
        self.dirty.insert(ids::JobId::clone(id));
        if final_state != JobState::Completed {
            self.stop_runs_of(id, None);
        }
    }

    fn complete_done_jobs(&mut self, context: &mut Context<'_>) {
        let mut done = Vec::new();
        for id in &self.dirty {
            let Some(job) = context.cell_state.live.get(id) else {
                continue;
            };
            if job.progress.final_state.is_none() && job.progress.is_done() {
                done.push(ids::JobId::clone(id));
            }
        }
        for id in done {
            self.set_final_state(context, &id, JobState::Completed);
        }
    }

    fn next_run_number(context: &Context<'_>, task: &TaskRef) -> RunNumber {
        let Some(job) = context.cell_state.live.get(&task.job) else {
            return 1;
        };
        job.progress.steps[task.step][task.index].last_run.saturating_add(1)
    }
}
