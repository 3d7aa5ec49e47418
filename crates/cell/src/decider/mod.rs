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
use crate::directory::Directory;
use crate::effect::{Effect, Target};
use crate::event::AppendAnswer;
use crate::follow::{Read, Topic};
use crate::job::{AccountId, JobState, RunNumber, StepIndex, TaskRef};
use crate::ledger::{EndedJob, Ledger};
use crate::options::Options;
use crate::order::ShareUse;
use crate::peer::{Message, Verdict};
use crate::progress::Phase;
use crate::record::{Batch, Change, Claim, JobRecord, Record};
use crate::run::Run;
use crate::worker::{Life, Worker};

mod intake;
mod looks;
mod orders;
mod schedule;
mod takeover;

/// The most ended jobs that one append forgets, so that appends stay small.
const MOST_FORGOTTEN: usize = 200;

/// What the decider works with besides its own state.
pub struct Context<'a> {
    /// The time since the process started.
    pub now: time::Duration,
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Times and limits.
    pub options: &'a Options,
    /// The operators' declaration.
    pub directory: &'a Directory,
    /// The zones that get no work.
    pub zones_out: &'a BTreeSet<ids::ZoneId>,
    /// The jobs.
    pub ledger: &'a mut Ledger,
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

/// An append that has not been answered for good.
#[derive(Debug)]
struct InFlight {
    ticket: ids::Ticket,
    records: sync::Arc<Vec<Record>>,
    jobs: BTreeSet<ids::JobId>,
    replies: Vec<(Origin, Verdict)>,
    orders: Vec<TaskRef>,
    /// Final states that it makes known.
    verdicts: Vec<(ids::JobId, JobState)>,
    ends: Vec<(ids::WorkerId, Life, u64)>,
    /// The decider's place is given up with it.
    releases: bool,
    /// An attempt was not answered, so that the records may already be there.
    is_unsure: bool,
    /// An attempt was refused or not answered.
    has_failed: bool,
    /// A read is under way that tells whether an earlier attempt was carried out.
    is_resolving: bool,
    /// When it was sent first.
    sent_at: time::Duration,
    /// When it is to be sent again; none while a call is under way.
    retry_at: Option<time::Duration>,
}

/// A question that a host is asking the adviser.
#[derive(Debug)]
struct Asked {
    job: ids::JobId,
    step: StepIndex,
    host: Option<ids::HostId>,
    gives_up_at: time::Duration,
}

/// The state of the decider. The jobs are in the [`Ledger`].
#[derive(Debug)]
pub struct Decider {
    token: u64,
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
    dirty: BTreeSet<ids::JobId>,
    accepted: BTreeSet<ids::JobId>,
    ended_order: VecDeque<(u64, ids::JobId)>,
    replies: Vec<(Origin, Verdict)>,
    orders: Vec<TaskRef>,
    ends: Vec<(ids::WorkerId, Life, u64)>,
    workers: BTreeMap<ids::WorkerId, Worker>,
    has_worker_list: bool,
    runs: BTreeMap<TaskRef, Run>,
    stopping: BTreeSet<TaskRef>,
    account_used: Map<AccountId, Resources>,
    /// The hosts that the jobs came from, where it is not this one.
    job_hosts: BTreeMap<ids::JobId, ids::HostId>,
    share_use: Map<AccountId, ShareUse>,
    beyond_share: BTreeSet<ids::JobId>,
    advice: BTreeMap<(ids::JobId, StepIndex), StepAdvice>,
    asked: BTreeMap<ids::Ticket, Asked>,
    peers: BTreeSet<ids::HostId>,
    kept: Map<ids::WorkerId, (ids::JobId, StepIndex, u32)>,
    local_verdicts: Vec<(ids::Ticket, Verdict)>,
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

    /// The verdicts on calls of this host.
    pub fn take_local_verdicts(&mut self) -> Vec<(ids::Ticket, Verdict)> {
        std::mem::take(&mut self.local_verdicts)
    }

    /// Whether the job's newest state is stored.
    pub fn is_stored(&self, job: &str) -> bool {
        !self.dirty.contains(job)
            && !self.in_flight.as_ref().is_some_and(|append| append.jobs.contains(job))
    }

    /// When something is due.
    pub fn due_at(&self, options: &Options) -> time::Duration {
        match &self.in_flight {
            Some(append) => append.retry_at.unwrap_or(time::Duration::MAX),
            None if self.has_changes() || self.has_news => {
                self.last_append_at.max(self.last_schedule_at).saturating_add(options.append_gap)
            }
            None => self.last_append_at.saturating_add(options.heartbeat),
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
        if context.now < last_at.saturating_add(context.options.append_gap) {
            return;
        }
        self.last_schedule_at = context.now;
        self.has_news = false;
        if self.release.is_none() {
            self.schedule(context);
        }
        self.settle_done_jobs(context);
        let is_silent =
            context.now >= self.last_append_at.saturating_add(context.options.heartbeat);
        if self.has_changes() || is_silent {
            self.append(context);
        }
    }

    /// Tells the other hosts that this one does not reach the log, so that one that does can claim.
    fn tell_log_lost(&mut self, context: &mut Context<'_>) {
        let Some(append) = &self.in_flight else {
            return;
        };
        let patience =
            if append.has_failed { context.options.log_loss } else { context.options.log_slowness };
        let is_lost = context.now >= append.sent_at.saturating_add(patience);
        let is_told = context.now < self.log_lost_told_at.saturating_add(context.options.log_loss);
        if !is_lost || is_told {
            return;
        }
        self.log_lost_told_at = context.now;
        for host in &self.peers {
            let message = Message::LogLost { token: self.token };
            context.effects.push(Effect::Send { to: ids::HostId::clone(host), message });
        }
    }

    fn append(&mut self, context: &mut Context<'_>) {
        let sequence = self.ticket();
        let mut records = vec![Record::batch(&Batch { incarnation: self.incarnation, sequence })];
        let jobs = std::mem::take(&mut self.dirty);
        let accepted = std::mem::take(&mut self.accepted);
        let mut verdicts = Vec::new();
        for id in &jobs {
            if let Some(verdict) = context.ledger.live.get(id).and_then(|job| job.progress.verdict)
            {
                verdicts.push((ids::JobId::clone(id), verdict));
            }
            self.push_job_records(context, id, accepted.contains(id), &mut records);
        }
        self.push_forgotten(context, &mut records);
        if let Some(claim) = &self.release {
            records.push(Record::claim(claim));
        }
        let append = InFlight {
            ticket: sequence,
            records: sync::Arc::new(records),
            jobs,
            replies: std::mem::take(&mut self.replies),
            orders: std::mem::take(&mut self.orders),
            verdicts,
            ends: std::mem::take(&mut self.ends),
            releases: self.release.is_some(),
            is_unsure: false,
            is_resolving: false,
            has_failed: false,
            sent_at: context.now,
            retry_at: None,
        };
        self.last_append_at = context.now;
        context.effects.push(append_effect(&append, self.end, context.options));
        self.in_flight = Some(append);
    }

    fn push_job_records(
        &mut self,
        context: &mut Context<'_>,
        id: &ids::JobId,
        is_new: bool,
        records: &mut Vec<Record>,
    ) {
        let Some(job) = context.ledger.live.get(id) else {
            return;
        };
        if is_new {
            let record = JobRecord::Accepted {
                accepted_wall_ms: job.accepted_wall_ms,
                spec: sync::Arc::clone(&job.spec),
            };
            records.push(Record::job(id, Some(&record)));
        }
        let Some(state) = job.progress.verdict.filter(|_| !self.has_runs(id)) else {
            records.push(Record::progress(id, Some(&job.progress)));
            return;
        };
        let queue = ids::QueueId::clone(&job.spec.queue);
        context.ledger.live.remove(id);
        self.beyond_share.remove(id);
        let ended =
            EndedJob { queue: ids::QueueId::clone(&queue), state, ended_wall_ms: context.wall_ms };
        context.ledger.ended.insert(ids::JobId::clone(id), ended);
        self.ended_order.push_back((context.wall_ms, ids::JobId::clone(id)));
        let record = JobRecord::Ended { queue, state, ended_wall_ms: context.wall_ms };
        records.push(Record::job(id, Some(&record)));
        records.push(Record::progress(id, None));
        while let Some((key, _)) =
            self.advice.range((ids::JobId::clone(id), 0)..).next().filter(|(key, _)| key.0 == *id)
        {
            let key = key.clone();
            self.advice.remove(&key);
        }
    }

    fn push_forgotten(&mut self, context: &mut Context<'_>, records: &mut Vec<Record>) {
        let remember_ms = pier_core::clock::millis(context.options.remember_ended);
        for _ in 0..MOST_FORGOTTEN {
            let Some((ended_wall_ms, id)) = self.ended_order.front() else {
                return;
            };
            if context.wall_ms < ended_wall_ms.saturating_add(remember_ms) {
                return;
            }
            context.ledger.ended.remove(id);
            records.push(Record::job(id, None));
            self.ended_order.pop_front();
        }
    }

    /// Takes the answer to an append.
    pub fn on_appended(
        &mut self,
        context: &mut Context<'_>,
        ticket: ids::Ticket,
        answer: AppendAnswer,
    ) {
        let Some(append) = self.in_flight.as_mut().filter(|append| append.ticket == ticket) else {
            return;
        };
        match answer {
            AppendAnswer::Stored { end } => self.on_stored(context, end),
            AppendAnswer::Refused => {
                append.has_failed = true;
                append.retry_at = Some(context.now.saturating_add(context.options.log_retry));
                tracing::warn!(append = ticket, "append refused, to be repeated");
            }
            AppendAnswer::NoAnswer => {
                append.is_unsure = true;
                append.has_failed = true;
                append.retry_at = Some(context.now.saturating_add(context.options.log_retry));
                tracing::warn!(append = ticket, "append without an answer, to be repeated");
            }
            AppendAnswer::Moved if append.is_unsure => {
                // Either an earlier attempt was carried out after all, or another host has claimed.
                let read = Read::From { offset: self.end, wait: time::Duration::ZERO };
                append.is_resolving = true;
                let timeout = context.options.log_timeout;
                context.effects.push(Effect::Read { topic: Topic::Cell, read, timeout });
            }
            AppendAnswer::Moved => self.deposed = Some("another host has claimed"),
        }
    }

    /// Takes the records behind the last known end, after an append of which it is not known
    /// whether it was carried out. None stands for a failed read.
    pub fn on_resolved(
        &mut self,
        context: &mut Context<'_>,
        records: Option<&[(ids::Offset, Record)]>,
    ) {
        // A read from before the claim may be answered now.
        let Some(append) = self.in_flight.as_mut().filter(|append| append.is_resolving) else {
            return;
        };
        if records
            .is_some_and(|records| records.first().is_some_and(|(offset, _)| *offset < self.end))
        {
            return;
        }
        append.is_resolving = false;
        let Some(records) = records.filter(|records| !records.is_empty()) else {
            append.retry_at = Some(context.now.saturating_add(context.options.log_retry));
            return;
        };
        let own = Batch { incarnation: self.incarnation, sequence: append.ticket };
        let is_own = records.first().is_some_and(|(_, record)| {
            matches!(record.to_change(), Ok(Some(Change::Batch(batch))) if batch == own)
        });
        if !is_own || records.len() > append.records.len() {
            self.deposed = Some("another host has claimed");
            return;
        }
        let added = u64::try_from(append.records.len()).unwrap_or(u64::MAX);
        self.on_stored(context, self.end.saturating_add(added));
    }

    fn on_stored(&mut self, context: &mut Context<'_>, end: ids::Offset) {
        let Some(append) = self.in_flight.take() else {
            return;
        };
        self.end = end;
        self.last_stored_at = context.now;
        for (origin, verdict) in append.replies {
            self.reply(context, origin, verdict);
        }
        for (job, state) in append.verdicts {
            if let Some(to) = self.job_hosts.remove(&job) {
                context.effects.push(Effect::Send { to, message: Message::Ended { job, state } });
            }
        }
        for (worker, life, up_to) in append.ends {
            let Some(worker) = self.workers.get_mut(&worker) else {
                continue;
            };
            if worker.entry.life == life {
                worker.ends_stored = worker.ends_stored.max(up_to);
            }
        }
        if append.releases {
            self.deposed = Some("the place was given up");
            return;
        }
        self.send_starts(context, &append.orders);
    }

    fn reply(&mut self, context: &mut Context<'_>, origin: Origin, verdict: Verdict) {
        match origin {
            Origin::Local(ticket) => self.local_verdicts.push((ticket, verdict)),
            Origin::Remote(to, ticket) => {
                let message = Message::Verdict { ticket, token: self.token, verdict };
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

fn append_effect(append: &InFlight, at: ids::Offset, options: &Options) -> Effect {
    Effect::Append {
        ticket: append.ticket,
        at,
        records: sync::Arc::clone(&append.records),
        timeout: options.log_timeout,
    }
}
