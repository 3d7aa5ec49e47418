//! The decider: the one host that appends to the cell's log.
//!
//! It changes the ledger in memory, appends what has changed, and acts only when the append is
//! stored: submissions are answered, starts are ordered and ends are acknowledged to workers after
//! their records. Another decider's claim makes the append fail, and then nothing is acted on.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync;
use std::time;

use pier_core::ids;
use pier_core::map::Map;
use pier_core::resources::Resources;

use crate::advice::StepAdvice;
use crate::cell_state::CellState;
use crate::decider::append::{InFlight, append_effect};
use crate::declaration::Declaration;
use crate::effect::{Effect, Target};
use crate::job::{AccountId, JobState, RunNumber, StepIndex, TaskRef};
use crate::options::Options;
use crate::order::ShareUse;
use crate::pace::Paces;
use crate::peer::{Message, PeerInfo, RequestOutcome};
use crate::progress::Phase;
use crate::record::Claim;
use crate::run::Run;
use crate::worker::{Life, Worker};

mod append;
mod ask;
mod carry;
mod intake;
mod looks;
mod orders;
mod rooms;
mod schedule;
mod speeds;
mod takeover;

/// What the decider works with besides its own state.
pub struct Context<'a> {
    /// The time since the process started.
    pub now: time::Duration,
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Times and limits.
    pub options: &'a Options,
    /// The operators' declaration.
    pub directory: &'a Declaration,
    /// The zones that get no work.
    pub zones_out: &'a BTreeSet<ids::ZoneId>,
    /// The jobs.
    pub ledger: &'a mut CellState,
    /// What is to be done.
    pub effects: &'a mut Vec<Effect>,
}

/// Who is to hear what became of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A caller of this host.
    Local(ids::Ticket),
    /// A caller of another host.
    Remote(ids::HostId, ids::Ticket),
}

/// A question that a host is asking the adviser.
#[derive(Debug)]
struct Asked {
    job: ids::JobId,
    step: StepIndex,
    host: Option<ids::HostId>,
    workers: Vec<ids::WorkerId>,
    gives_up_at: time::Duration,
}

/// The state of the decider. The jobs are in the [`CellState`].
#[derive(Debug)]
pub struct Decider {
    token: u64,
    /// Where the log ends, as far as this decider has written it.
    end: ids::Offset,
    incarnation: ids::Incarnation,
    next_ticket: ids::Ticket,
    in_flight: Option<InFlight>,
    last_append_at: time::Duration,
    last_stored_at: time::Duration,
    last_schedule_at: time::Duration,
    log_lost_told_at: time::Duration,
    /// Something has happened since the last look at what may start.
    has_news: bool,
    /// Jobs whose newest state is not in an append yet.
    dirty: BTreeSet<ids::JobId>,
    /// Those of them that were just taken.
    accepted: BTreeSet<ids::JobId>,
    /// Ended jobs in the order of their ends, to be forgotten in time.
    ended_order: VecDeque<(u64, ids::JobId)>,
    /// What is told, ordered and acknowledged when the next append is stored.
    replies: Vec<(Origin, RequestOutcome)>,
    orders: Vec<TaskRef>,
    ends: Vec<(ids::WorkerId, Life, u64)>,
    workers: BTreeMap<ids::WorkerId, Worker>,
    has_worker_list: bool,
    runs: BTreeMap<TaskRef, Run>,
    /// Workers at which a look may be due.
    touched: BTreeSet<ids::WorkerId>,
    /// When a look at some other worker may be due.
    look_timer_at: time::Duration,
    leases_checked_at: time::Duration,
    /// Runs whose stop is not acknowledged.
    stopping: BTreeSet<TaskRef>,
    account_used: Map<AccountId, Resources>,
    /// Since when an account that is held back for a gang uses less than half of its limit.
    low_since: Map<AccountId, time::Duration>,
    share_use: Map<AccountId, ShareUse>,
    /// Jobs that their accounts submitted beyond their shares.
    beyond_share: BTreeSet<ids::JobId>,
    advice: BTreeMap<(ids::JobId, StepIndex), StepAdvice>,
    asked: BTreeMap<ids::Ticket, Asked>,
    /// The hosts that are asking; none is this host.
    asking: BTreeSet<Option<ids::HostId>>,
    paces: Paces,
    /// The workers in descending order of free room, and when they were sorted.
    by_free: Vec<ids::WorkerId>,
    sorted_at: time::Duration,
    /// Since when each waiting step waits, as far as this decider has seen.
    waiting_since: BTreeMap<(ids::JobId, StepIndex), time::Duration>,
    /// The connected hosts, which can ask the adviser and call workers.
    peers: BTreeMap<ids::HostId, PeerInfo>,
    /// Workers that are kept for a gang, with the priority of its queue.
    kept: Map<ids::WorkerId, (ids::JobId, StepIndex, u32)>,
    local_verdicts: Vec<(ids::Ticket, RequestOutcome)>,
    /// The claim that gives up the decider's place, once the host is to end.
    release: Option<Claim>,
    deposed: Option<&'static str>,
}

impl Decider {
    /// Whether and why the host no longer decides.
    pub fn deposed(&self) -> Option<&'static str> {
        self.deposed
    }

    /// The fencing token.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// When an append was stored last.
    pub fn last_stored_at(&self) -> time::Duration {
        self.last_stored_at
    }

    /// The verdicts on calls of this host.
    pub fn take_local_verdicts(&mut self) -> Vec<(ids::Ticket, RequestOutcome)> {
        std::mem::take(&mut self.local_verdicts)
    }

    /// Whether the job's newest state is stored.
    pub fn is_stored(&self, job: &str) -> bool {
        !self.dirty.contains(job)
            && !self.in_flight.as_ref().is_some_and(|append| append.jobs.contains(job))
    }

    /// When something is due.
    pub fn due_at(&self, options: &Options) -> time::Duration {
        self.look_timer_at.min(self.append_due_at(options))
    }

    fn append_due_at(&self, options: &Options) -> time::Duration {
        match &self.in_flight {
            Some(append) => append.retry_at.unwrap_or(time::Duration::MAX),
            None if self.has_changes() || self.has_news => self
                .last_append_at
                .max(self.last_schedule_at)
                .saturating_add(options.min_append_interval),
            None => self.last_append_at.saturating_add(options.heartbeat_interval),
        }
    }

    /// Notes that something has happened that may let waiting work start.
    pub fn note_news(&mut self) {
        self.has_news = true;
    }

    /// Gives up the decider's place with the next append. Nothing more is started.
    pub fn release(&mut self, claim: Claim) {
        self.release = Some(claim);
    }

    fn has_changes(&self) -> bool {
        self.release.is_some()
            || !self.dirty.is_empty()
            || !self.ends.is_empty()
            || !self.replies.is_empty()
    }

    /// Does what is due.
    pub fn advance(&mut self, context: &mut Context<'_>) {
        self.settle_leases(context);
        self.send_stops(context);
        self.send_looks(context);
        self.give_up_questions(context);
        self.tell_log_lost(context);
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
        self.has_news = false;
        if self.release.is_none() {
            self.schedule(context);
        }
        self.settle_done_jobs(context);
        let is_silent =
            context.now >= self.last_append_at.saturating_add(context.options.heartbeat_interval);
        if self.has_changes() || is_silent {
            self.append(context);
        }
    }

    fn reply(&mut self, context: &mut Context<'_>, origin: Origin, verdict: RequestOutcome) {
        match origin {
            Origin::Local(ticket) => self.local_verdicts.push((ticket, verdict)),
            Origin::Remote(to, ticket) => {
                let message = Message::Outcome { ticket, token: self.token, outcome: verdict };
                context.effects.push(Effect::Send { to, message });
            }
        }
    }

    fn ticket(&mut self) -> ids::Ticket {
        self.next_ticket += 1;
        self.next_ticket
    }

    fn has_runs(&self, job: &ids::JobId) -> bool {
        let first = TaskRef { job: ids::JobId::clone(job), step: 0, index: 0 };
        self.runs.range(first..).next().is_some_and(|(task, _)| task.job == *job)
    }

    fn target(&self, worker: &Worker) -> Target {
        Target {
            worker: ids::WorkerId::clone(&worker.entry.id),
            address: sync::Arc::clone(&worker.entry.address),
            token: self.token,
        }
    }

    /// Counts a run against its worker and its account.
    fn insert_run(&mut self, task: TaskRef, run: Run) {
        if let Some(account) = &run.account {
            let used = self.account_used.entry(AccountId::clone(account)).or_default();
            *used = used.plus(&run.need);
        }
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.used = worker.used.plus(&run.need);
            worker.runs.insert(task.clone());
            self.touched.insert(ids::WorkerId::clone(&run.worker));
        }
        self.runs.insert(task, run);
    }

    /// Takes a run that is certainly not alive out of all counts. Its task waits again unless it is
    /// done.
    fn remove_run(&mut self, context: &mut Context<'_>, task: &TaskRef) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.stopping.remove(task);
        if let Some(account) = &run.account
            && let Some(used) = self.account_used.get_mut(account)
        {
            *used = used.minus(&run.need);
        }
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.used = worker.used.minus(&run.need);
            worker.runs.remove(task);
        }
        if let Some(job) = context.ledger.live.get_mut(&task.job) {
            let state = &mut job.progress.steps[task.step][task.index];
            if matches!(state.phase, Phase::Ordered { .. }) {
                state.phase = Phase::Waiting;
            }
            self.dirty.insert(ids::JobId::clone(&task.job));
        }
        Some(run)
    }

    /// The job's tasks are all done, or it has failed or was cancelled: nothing of it is to run.
    fn set_verdict(&mut self, context: &mut Context<'_>, id: &ids::JobId, verdict: JobState) {
        let Some(job) = context.ledger.live.get_mut(id) else {
            return;
        };
        if job.progress.verdict.is_some() {
            return;
        }
        job.progress.verdict = Some(verdict);
        let waited_ms = context.wall_ms.saturating_sub(job.accepted_wall_ms);
        tracing::info!(job = %id, queue = %job.spec.queue, ?verdict, waited_ms, "job decided");
        self.dirty.insert(ids::JobId::clone(id));
        if verdict != JobState::Completed {
            self.stop_runs_of(id, None);
        }
    }

    fn settle_done_jobs(&mut self, context: &mut Context<'_>) {
        let mut done = Vec::new();
        for id in &self.dirty {
            let Some(job) = context.ledger.live.get(id) else {
                continue;
            };
            if job.progress.verdict.is_none() && job.progress.is_done() {
                done.push(ids::JobId::clone(id));
            }
        }
        for id in done {
            self.set_verdict(context, &id, JobState::Completed);
        }
    }

    fn next_run_number(context: &Context<'_>, task: &TaskRef) -> RunNumber {
        let Some(job) = context.ledger.live.get(&task.job) else {
            return 1;
        };
        job.progress.steps[task.step][task.index].last_run.saturating_add(1)
    }
}
