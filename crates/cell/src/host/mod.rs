//! A host: it serves callers, follows the cell's log and decides when its claim stands.

use std::collections::{BTreeMap, BTreeSet};
use std::sync;
use std::time;

use pier_core::ids;

use crate::callers::Calls;
use crate::decider::{Context, Decider};
use crate::directory::Directory;
use crate::effect::Effect;
use crate::event::{Event, OperatorRecord, ReadAnswer, WorkerRecord};
use crate::follow::{Follower, Learned, ReadError, Topic};
use crate::ledger::Ledger;
use crate::options::Options;
use crate::peer::{Message, PeerInfo};
use crate::record::{Batch, Claim, Record};

mod calls;
mod claim;
mod observe;
mod peers;

/// How long the decider's connection may be away before the host takes no new callers. A change of
/// the decider is over by then.
const DISCONNECTED_READY: time::Duration = time::Duration::from_millis(1_800);
/// A host whose view of the log is older than that, and which has no decider, counts as cut off.
const CUT_OFF_AFTER: time::Duration = time::Duration::from_millis(2_000);
/// How old the view of the jobs may be for the host to tell that a job does not exist.
const VIEW_FRESHNESS: time::Duration = time::Duration::from_millis(2_500);
/// The longest time between two looks at the clock.
const LONGEST_SLEEP: time::Duration = time::Duration::from_millis(200);

/// Who a host is.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its id.
    pub host: ids::HostId,
    /// Where it takes connections of other hosts.
    pub address: sync::Arc<str>,
    /// Its process.
    pub incarnation: ids::Incarnation,
    /// The part of a processor core that it may use, in thousandths.
    pub core_permille: u32,
}

impl Member {
    /// The record that claims the decider's place, or gives it up.
    fn to_claim(&self, is_released: bool) -> Claim {
        Claim {
            host: ids::HostId::clone(&self.host),
            address: sync::Arc::clone(&self.address),
            incarnation: self.incarnation,
            core_permille: self.core_permille,
            is_released,
        }
    }
}

#[derive(Debug)]
enum Role {
    /// Another host decides, or none.
    Following,
    /// The host's claim is under way.
    Claiming {
        ticket: ids::Ticket,
        at: ids::Offset,
    },
    Deciding(Box<Decider>),
}

/// The state of a host.
#[derive(Debug)]
pub struct Host {
    options: Options,
    me: Member,
    cell: Follower<Record>,
    operators: Follower<OperatorRecord>,
    workers: Follower<WorkerRecord>,
    ledger: Ledger,
    directory: sync::Arc<Directory>,
    zones_out: BTreeSet<ids::ZoneId>,
    role: Role,
    calls: Calls,
    next_ticket: ids::Ticket,
    /// When the log last had a record of a living decider.
    heard_at: time::Duration,
    /// The hosts with a connection to this one.
    peers: BTreeMap<ids::HostId, PeerInfo>,
    connected_to: Option<ids::HostId>,
    wanted_connection: Option<(ids::HostId, sync::Arc<str>)>,
    disconnected_at: time::Duration,
    /// The announcements of deciders, for a host that does not follow the cell's log.
    deciders: Follower<Record>,
    /// Whether the host leaves the cell's log to others.
    is_observing: bool,
    /// When a decider was last connected, or when the host started.
    decider_seen_at: Option<time::Duration>,
    /// When the next announcement of this decider is due; none while one is under way.
    announce_at: Option<time::Duration>,
    /// The token of the decider that has said that it does not reach the log, and when it did last.
    log_lost: Option<(u64, time::Duration)>,
    /// When the calls that a host was not ready for are passed to it again.
    repeat_calls_at: Option<time::Duration>,
    /// The token of a decider that has said that it no longer decides.
    deposed_token: u64,
    /// Where a claim of this host did not land. The log goes on behind it.
    missed_at: Option<ids::Offset>,
    /// The fencing token of this host's last time as decider.
    last_token: u64,
    is_ready: bool,
    is_stopping: bool,
}

impl Host {
    /// A host that has just started.
    pub fn new(me: Member, options: Options) -> Self {
        tracing::info!(host = %me.host, address = %me.address, incarnation = me.incarnation,
            "host starts");
        Self {
            cell: Follower::new(options.follow_gap),
            operators: Follower::new(time::Duration::ZERO),
            workers: Follower::new(options.list_gap),
            ledger: Ledger::default(),
            directory: sync::Arc::default(),
            zones_out: BTreeSet::new(),
            role: Role::Following,
            calls: Calls::default(),
            next_ticket: 0,
            heard_at: time::Duration::ZERO,
            peers: BTreeMap::new(),
            connected_to: None,
            wanted_connection: None,
            disconnected_at: time::Duration::ZERO,
            log_lost: None,
            repeat_calls_at: None,
            deposed_token: 0,
            missed_at: None,
            deciders: Follower::new(time::Duration::ZERO),
            is_observing: false,
            decider_seen_at: None,
            announce_at: None,
            last_token: 0,
            is_ready: false,
            is_stopping: false,
            options,
            me,
        }
    }

    /// Whether this host decides.
    pub fn is_decider(&self) -> bool {
        matches!(self.role, Role::Deciding(_))
    }

    /// Whether the host may end: it was told to, and no caller waits.
    pub fn is_finished(&self) -> bool {
        self.is_stopping && self.calls.is_empty() && !self.is_decider()
    }

    /// Takes other times and limits.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    /// Takes what happened at `now` and returns what is to be done.
    pub fn apply(&mut self, now: time::Duration, wall_ms: u64, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        let is_news = !matches!(event, Event::Tick | Event::Cell(_) | Event::Operators(_));
        self.take(now, wall_ms, event, &mut effects);
        if let Role::Deciding(decider) = &mut self.role
            && is_news
        {
            decider.request_scheduling();
        }
        self.advance(now, wall_ms, &mut effects);
        effects
    }

    /// How long nothing is due if nothing happens.
    pub fn sleep(&self, now: time::Duration) -> time::Duration {
        let mut due_at = now.saturating_add(LONGEST_SLEEP);
        due_at = due_at.min(self.calls.due_at(now, self.has_decider()));
        due_at = due_at.min(self.repeat_calls_at.unwrap_or(due_at));
        due_at = due_at.min(self.operators.due_at().unwrap_or(due_at));
        match &self.role {
            Role::Deciding(decider) => {
                due_at = due_at.min(decider.due_at(&self.options));
                due_at = due_at.min(self.workers.due_at().unwrap_or(due_at));
            }
            _ if self.is_observing => {
                due_at = due_at.min(self.deciders.due_at().unwrap_or(due_at));
            }
            _ => due_at = due_at.min(self.cell.due_at().unwrap_or(due_at)),
        }
        due_at.saturating_sub(now)
    }

    fn take(&mut self, now: time::Duration, wall_ms: u64, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => {}
            Event::Cell(answer) => self.on_cell(now, wall_ms, answer, out),
            Event::Deciders(answer) => self.on_deciders(now, answer),
            Event::Announced { is_stored } => self.on_announced(now, is_stored),
            Event::Operators(answer) => self.on_operators(now, answer),
            Event::Workers(answer) => self.on_workers(now, wall_ms, answer, out),
            Event::Called { ticket, call } => self.on_call(now, wall_ms, ticket, *call, out),
            Event::Shutdown => self.on_shutdown(),
            Event::PeerGone { host } => self.on_peer_gone(now, wall_ms, &host, out),
            Event::Peer { from, message } => self.on_peer(now, wall_ms, from, message, out),
            Event::Appended { ticket, answer } if !self.is_decider() => {
                self.on_claim_answered(now, wall_ms, ticket, answer, out);
            }
            Event::Replied(reply) if !self.is_decider() => {
                // The decider had this host call the worker.
                if let Some(to) = self.connected_to.clone() {
                    out.push(Effect::Send { to, message: Message::Reply(reply) });
                }
            }
            Event::Advised { ticket, answer } if !self.is_decider() => {
                // The decider had this host ask.
                if let Some(to) = self.connected_to.clone() {
                    out.push(Effect::Send { to, message: Message::Advice { ticket, answer } });
                }
            }
            event => self.with_decider(now, wall_ms, out, |decider, context| match event {
                Event::Appended { ticket, answer } => {
                    decider.on_append_response(context, ticket, answer)
                }
                Event::Replied(reply) => decider.on_worker_reply(context, *reply),
                Event::Advised { ticket, answer } => {
                    decider.on_advice_response(context, ticket, answer.as_ref());
                }
                _ => {}
            }),
        }
    }

    /// Runs a part of the decider, if this host decides.
    fn with_decider(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        effects: &mut Vec<Effect>,
        act: impl FnOnce(&mut Decider, &mut Context<'_>),
    ) {
        let Role::Deciding(decider) = &mut self.role else {
            return;
        };
        let mut context = Context {
            now,
            wall_ms,
            options: &self.options,
            declaration: &self.directory,
            zones_out: &self.zones_out,
            cell_state: &mut self.ledger,
            effects,
        };
        act(decider, &mut context);
        decider.relay_calls(&mut context);
        let token = decider.token();
        let verdicts = decider.take_local_outcomes();
        let deposed = decider.deposed();
        for (ticket, verdict) in verdicts {
            if let Some(answer) = self.calls.on_verdict(now, ticket, token, verdict) {
                effects.push(Effect::Answer { ticket, answer });
            }
        }
        if let Some(reason) = deposed {
            self.step_down(now, reason, effects);
        }
    }

    fn advance(&mut self, now: time::Duration, wall_ms: u64, out: &mut Vec<Effect>) {
        self.choose_what_to_follow(now);
        self.claim_if_due(now, out);
        self.with_decider(now, wall_ms, out, |decider, context| decider.advance(context));
        let timeout = self.options.log_timeout;
        if let Some(read) = self.operators.poll(now, &self.options) {
            out.push(Effect::Read { topic: Topic::Operators, read, timeout });
        }
        if self.is_decider() {
            if let Some(read) = self.workers.poll(now, &self.options) {
                out.push(Effect::Read { topic: Topic::Workers, read, timeout });
            }
            self.announce(now, out);
        } else if self.is_observing {
            if let Some(read) = self.deciders.poll(now, &self.options) {
                out.push(Effect::Read { topic: Topic::Deciders, read, timeout });
            }
        } else {
            self.cell.set_gap(self.follow_gap(now));
            if let Some(read) = self.cell.poll(now, &self.options) {
                out.push(Effect::Read { topic: Topic::Cell, read, timeout });
            }
        }
        self.connect(now, out);
        if self.repeat_calls_at.is_some_and(|at| now >= at) {
            self.repeat_calls_at = None;
            self.calls.repeat_all();
        }
        self.pass_calls(now, wall_ms, out);
        self.answer_overdue_reads(now, out);
        let has_decider = self.has_decider();
        let is_cut_off = self.is_cut_off(now);
        for (ticket, answer) in self.calls.give_up(now, has_decider, is_cut_off, &self.options) {
            out.push(Effect::Answer { ticket, answer });
        }
        let is_ready = self.may_take_callers(now);
        if is_ready != self.is_ready {
            self.is_ready = is_ready;
            tracing::info!(is_ready, is_decider = self.is_decider(), "readiness changed");
            out.push(Effect::Ready(is_ready));
        }
    }

    fn on_cell(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        answer: ReadAnswer<Record>,
        out: &mut Vec<Effect>,
    ) {
        if self.is_decider() {
            // Only an append of unknown fate makes a decider read its own log.
            self.with_decider(now, wall_ms, out, |decider, context| match &answer {
                ReadAnswer::Stretch(stretch) => {
                    decider.on_append_check(context, Some(&stretch.records));
                }
                _ => decider.on_append_check(context, None),
            });
            return;
        }
        let Some(learned) = taken(&mut self.cell, Topic::Cell, now, answer, &self.options) else {
            return;
        };
        if learned.is_restart {
            self.ledger = Ledger::default();
            self.heard_at = now;
        }
        if !learned.records.is_empty() {
            self.heard_at = now;
        }
        for (offset, record) in &learned.records {
            self.ledger.fold(*offset, record);
        }
        if learned.is_at_tail {
            self.begin_if_claimed(now, wall_ms, out);
        }
    }

    fn on_operators(&mut self, now: time::Duration, answer: ReadAnswer<OperatorRecord>) {
        let Some(learned) =
            taken(&mut self.operators, Topic::Operators, now, answer, &self.options)
        else {
            return;
        };
        if learned.is_restart {
            self.zones_out.clear();
        }
        for (offset, record) in learned.records {
            match record {
                OperatorRecord::Directory(directory) => {
                    if directory.version > self.directory.version {
                        tracing::info!(version = directory.version, offset, "declaration in force");
                        self.directory = directory;
                    }
                }
                OperatorRecord::ZoneOut { zone, is_out } => {
                    tracing::info!(%zone, is_out, offset, "zone changed");
                    if is_out {
                        self.zones_out.insert(zone);
                    } else {
                        self.zones_out.remove(&zone);
                    }
                }
                OperatorRecord::Other => {}
            }
        }
    }

    fn on_workers(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        answer: ReadAnswer<WorkerRecord>,
        out: &mut Vec<Effect>,
    ) {
        let learned = taken(&mut self.workers, Topic::Workers, now, answer, &self.options);
        if let Some(learned) = learned {
            self.with_decider(now, wall_ms, out, |decider, context| {
                decider.on_worker_records(context, learned);
            });
        }
    }

    fn ticket(&mut self) -> ids::Ticket {
        self.next_ticket += 1;
        self.next_ticket
    }
}

/// Gives an answer of the log to its follower.
fn taken<T>(
    follower: &mut Follower<T>,
    topic: Topic,
    now: time::Duration,
    answer: ReadAnswer<T>,
    options: &Options,
) -> Option<Learned<T>> {
    match answer {
        ReadAnswer::Page(page) => follower.on_page(topic, page),
        ReadAnswer::Stretch(stretch) => follower.on_stretch(topic, now, stretch),
        ReadAnswer::Failed(error) => {
            follower.on_failed(topic, now, error, options);
            if error == ReadError::Trimmed {
                tracing::debug!(%topic, "beginning anew");
            }
            None
        }
    }
}

/// The records of a claim.
fn claim_records(me: &Member, sequence: ids::Ticket) -> sync::Arc<Vec<Record>> {
    let batch = Batch { incarnation: me.incarnation, sequence };
    sync::Arc::new(vec![Record::batch(&batch), Record::claim(&me.to_claim(false))])
}
