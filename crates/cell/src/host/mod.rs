//! A host: it serves callers, follows the cell's log and decides when its claim stands.

use std::collections::{BTreeMap, BTreeSet};
use std::sync;
use std::time;

use pier_core::ids;

use crate::cell_state::CellState;
use crate::decider::{Context, Decider};
use crate::declaration::Declaration;
use crate::effect::Effect;
use crate::event::{Event, OperatorRecord, ReadResponse, WorkerRecord};
use crate::follower::{Follower, FollowerUpdate, ReadError, Topic};
use crate::options::Options;
use crate::peer::{Message, PeerInfo};
use crate::record::{BatchHeader, Claim, Record};
use crate::requests::PendingRequests;

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
const MAX_SLEEP: time::Duration = time::Duration::from_millis(200);

/// Who a host is.
#[derive(Debug, Clone)]
pub struct HostIdentity {
    /// Its id.
    pub host: ids::HostId,
    /// Where it takes connections of other hosts.
    pub address: sync::Arc<str>,
    /// Its process.
    pub incarnation: ids::Incarnation,
    /// The part of a processor core that it may use, in thousandths.
    pub core_permille: u32,
}

impl HostIdentity {
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
    me: HostIdentity,
    cell: Follower<Record>,
    operators: Follower<OperatorRecord>,
    workers: Follower<WorkerRecord>,
    ledger: CellState,
    directory: sync::Arc<Declaration>,
    zones_out: BTreeSet<ids::ZoneId>,
    role: Role,
    calls: PendingRequests,
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
    pub fn new(me: HostIdentity, options: Options) -> Self {
        tracing::info!(host = %me.host, address = %me.address, incarnation = me.incarnation,
            "host starts");
        Self {
            cell: Follower::new(options.follow_interval),
            operators: Follower::new(time::Duration::ZERO),
            workers: Follower::new(options.worker_list_interval),
            ledger: CellState::default(),
            directory: sync::Arc::default(),
            zones_out: BTreeSet::new(),
            role: Role::Following,
            calls: PendingRequests::default(),
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
        let is_news = !matches!(event, Event::Tick | Event::CellRead(_) | Event::OperatorsRead(_));
        self.take(now, wall_ms, event, &mut effects);
        if let Role::Deciding(decider) = &mut self.role
            && is_news
        {
            decider.note_news();
        }
        self.advance(now, wall_ms, &mut effects);
        effects
    }

    /// How long nothing is due if nothing happens.
    pub fn time_until_due(&self, now: time::Duration) -> time::Duration {
        let mut due_at = now.saturating_add(MAX_SLEEP);
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
            Event::CellRead(response) => self.on_cell(now, wall_ms, response, out),
            Event::DecidersRead(response) => self.on_deciders(now, response),
            Event::Announced { is_stored } => self.on_announced(now, is_stored),
            Event::OperatorsRead(response) => self.on_operators(now, response),
            Event::WorkersRead(response) => self.on_workers(now, wall_ms, response, out),
            Event::CallerRequest { ticket, request } => {
                self.on_call(now, wall_ms, ticket, *request, out)
            }
            Event::Shutdown => self.on_shutdown(),
            Event::PeerDisconnected { host } => self.on_peer_gone(now, wall_ms, &host, out),
            Event::PeerMessage { from, message } => self.on_peer(now, wall_ms, from, message, out),
            Event::Appended { ticket, response } if !self.is_decider() => {
                self.on_claim_answered(now, wall_ms, ticket, response, out);
            }
            Event::WorkerReply(reply) if !self.is_decider() => {
                // The decider had this host call the worker.
                if let Some(to) = self.connected_to.clone() {
                    out.push(Effect::Send { to, message: Message::Reply(reply) });
                }
            }
            Event::AdviceResponse { ticket, advice } if !self.is_decider() => {
                // The decider had this host ask.
                if let Some(to) = self.connected_to.clone() {
                    out.push(Effect::Send { to, message: Message::Advice { ticket, advice } });
                }
            }
            event => self.with_decider(now, wall_ms, out, |decider, context| match event {
                Event::Appended { ticket, response } => {
                    decider.on_appended(context, ticket, response)
                }
                Event::WorkerReply(reply) => decider.on_reply(context, *reply),
                Event::AdviceResponse { ticket, advice } => {
                    decider.on_advice(context, ticket, advice.as_ref());
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
            directory: &self.directory,
            zones_out: &self.zones_out,
            ledger: &mut self.ledger,
            effects,
        };
        act(decider, &mut context);
        decider.route_calls(&mut context);
        let token = decider.token();
        let verdicts = decider.take_local_verdicts();
        let deposed = decider.deposed();
        for (ticket, verdict) in verdicts {
            if let Some(response) = self.calls.on_verdict(now, ticket, token, verdict) {
                effects.push(Effect::Respond { ticket, response });
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
            self.cell.set_gap(self.follow_interval(now));
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
        for (ticket, response) in self.calls.give_up(now, has_decider, is_cut_off, &self.options) {
            out.push(Effect::Respond { ticket, response });
        }
        let is_ready = self.may_take_callers(now);
        if is_ready != self.is_ready {
            self.is_ready = is_ready;
            tracing::info!(is_ready, is_decider = self.is_decider(), "readiness changed");
            out.push(Effect::SetReady(is_ready));
        }
    }

    fn on_cell(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        response: ReadResponse<Record>,
        out: &mut Vec<Effect>,
    ) {
        if self.is_decider() {
            // Only an append of unknown fate makes a decider read its own log.
            self.with_decider(now, wall_ms, out, |decider, context| match &response {
                ReadResponse::LogSlice(stretch) => {
                    decider.on_resolved(context, Some(&stretch.records));
                }
                _ => decider.on_resolved(context, None),
            });
            return;
        }
        let Some(learned) = taken(&mut self.cell, Topic::Cell, now, response, &self.options) else {
            return;
        };
        if learned.is_reset {
            self.ledger = CellState::default();
            self.heard_at = now;
        }
        if !learned.records.is_empty() {
            self.heard_at = now;
        }
        for (offset, record) in &learned.records {
            self.ledger.apply(*offset, record);
        }
        if learned.is_caught_up {
            self.begin_if_claimed(now, wall_ms, out);
        }
    }

    fn on_operators(&mut self, now: time::Duration, response: ReadResponse<OperatorRecord>) {
        let Some(learned) =
            taken(&mut self.operators, Topic::Operators, now, response, &self.options)
        else {
            return;
        };
        if learned.is_reset {
            self.zones_out.clear();
        }
        for (offset, record) in learned.records {
            match record {
                OperatorRecord::Declaration(directory) => {
                    if directory.version > self.directory.version {
                        tracing::info!(version = directory.version, offset, "declaration in force");
                        self.directory = directory;
                    }
                }
                OperatorRecord::ZoneEvacuation { zone, is_evacuated } => {
                    tracing::info!(%zone, is_out = is_evacuated, offset, "zone changed");
                    if is_evacuated {
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
        response: ReadResponse<WorkerRecord>,
        out: &mut Vec<Effect>,
    ) {
        let learned = taken(&mut self.workers, Topic::Workers, now, response, &self.options);
        if let Some(learned) = learned {
            self.with_decider(now, wall_ms, out, |decider, context| {
                decider.on_workers(context, learned);
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
    response: ReadResponse<T>,
    options: &Options,
) -> Option<FollowerUpdate<T>> {
    match response {
        ReadResponse::Page(page) => follower.on_page(topic, page),
        ReadResponse::LogSlice(stretch) => follower.on_log_slice(topic, now, stretch),
        ReadResponse::Failed(error) => {
            follower.on_failed(topic, now, error, options);
            if error == ReadError::Trimmed {
                tracing::debug!(%topic, "beginning anew");
            }
            None
        }
    }
}

/// The records of a claim.
fn claim_records(me: &HostIdentity, sequence: ids::Ticket) -> sync::Arc<Vec<Record>> {
    let batch = BatchHeader { incarnation: me.incarnation, sequence };
    sync::Arc::new(vec![Record::batch_header(&batch), Record::claim(&me.to_claim(false))])
}
