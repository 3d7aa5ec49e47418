//! The state machine of a host: it serves callers, follows the cell's log and is the decider while
//! its claim is in force.

use std::collections::{BTreeMap, BTreeSet};
use std::sync;
use std::time;

use pier_core::ids;

use crate::cell_state::CellState;
use crate::decider::{Context, Decider, Predecessor};
use crate::declaration::Declaration;
use crate::effect::Effect;
use crate::event::{Event, OperatorRecord, ReadResponse, WorkerRecord};
use crate::follower::{Follower, FollowerUpdate, ReadError, Topic};
use crate::load_report::LoadReport;
use crate::options::Options;
use crate::peer::{Message, PeerInfo};
use crate::record::{BatchHeader, Claim, Record};
use crate::requests::PendingRequests;

mod caller_requests;
mod claim;
mod observe;
mod peers;
mod shutdown;

/// How long the host accepts new callers after the connection to the decider was lost. A change of
/// the decider completes within this time.
const READY_WHILE_DISCONNECTED: time::Duration = time::Duration::from_millis(1_800);
/// A host without a decider counts as isolated when its state of the log is older than this.
const ISOLATED_AFTER: time::Duration = time::Duration::from_millis(2_000);
/// The greatest age of the state of the jobs at which the host reports that a job does not exist.
const MAX_STATE_AGE: time::Duration = time::Duration::from_millis(2_500);
/// The longest time between two ticks.
const MAX_SLEEP: time::Duration = time::Duration::from_millis(200);

/// The identity of a host's process, as its claims state it.
#[derive(Debug, Clone)]
pub struct HostIdentity {
    /// The host's id.
    pub host: ids::HostId,
    /// The address at which the host accepts connections from other hosts.
    pub address: sync::Arc<str>,
    /// The incarnation of the process.
    pub incarnation: ids::Incarnation,
    /// The part of a processor core that the host may use, in thousandths.
    pub core_permille: u32,
}

impl HostIdentity {
    /// Creates the claim of the decider role or, with `is_released`, the resignation from it.
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
    /// Another host is the decider, or none.
    Following,
    /// The append of this host's claim is in progress.
    Claiming {
        ticket: ids::Ticket,
        at: ids::Offset,
        sent_at: time::Duration,
    },
    Deciding(Box<Decider>),
}

/// The state of a host.
#[derive(Debug)]
pub struct Host {
    options: Options,
    identity: HostIdentity,
    cell: Follower<Record>,
    operators: Follower<OperatorRecord>,
    workers: Follower<WorkerRecord>,
    cell_state: CellState,
    /// The newest declaration that the host has read.
    declaration: sync::Arc<Declaration>,
    /// The same for the decider, with the terms of removed queues and accounts.
    decider_declaration: Declaration,
    evacuated_zones: BTreeSet<ids::ZoneId>,
    role: Role,
    requests: PendingRequests,
    /// Issues the tickets of the process's calls: reads, appends, announcements and requests for
    /// advice.
    tickets: ids::TicketSequence,
    /// When a record of the cell's log was last received. A restart of the follower, a failed claim
    /// and stepping down count as well.
    last_record_at: time::Duration,
    /// The last decider of another process whose claim this host has read.
    predecessor: Option<Predecessor>,
    /// The hosts that are connected to this one.
    peers: BTreeMap<ids::HostId, PeerInfo>,
    /// The decider to which this host is connected.
    connected_to: Option<ids::HostId>,
    /// The decider to which this host is to be connected, with its address.
    connection_target: Option<(ids::HostId, sync::Arc<str>)>,
    disconnected_at: time::Duration,
    /// The announcements of deciders, read by a host that does not follow the cell's log.
    deciders: Follower<Record>,
    /// Whether the host reads the announcements of deciders instead of the cell's log.
    is_observing: bool,
    /// When a decider was last connected, or when the host started.
    decider_seen_at: Option<time::Duration>,
    /// When this decider's next announcement is due.
    announce_at: time::Duration,
    /// The announcement of this decider that has no result yet.
    announcement: Option<ids::Ticket>,
    /// The token of the decider that reported the log as unreachable, and when it last did.
    log_unreachable: Option<(u64, time::Duration)>,
    /// When the requests that a host returned because it was not yet the decider are forwarded
    /// again.
    forward_again_at: Option<time::Duration>,
    /// The token of a decider that has reported that it is no longer the decider.
    deposed_token: u64,
    /// The offset at which a claim of this host conflicted, because the log continues there.
    conflict_at: Option<ids::Offset>,
    /// The fencing token of this host's latest term as decider.
    last_token: u64,
    is_ready: bool,
    shutdown_began_at: Option<time::Duration>,
}

impl Host {
    /// Creates the initial state of a host.
    pub fn new(identity: HostIdentity, options: Options) -> Self {
        tracing::info!(host = %identity.host, address = %identity.address,
            incarnation = identity.incarnation, "starting the host");
        Self {
            cell: Follower::new(options.follow_interval),
            operators: Follower::new(time::Duration::ZERO),
            workers: Follower::new(options.worker_list_interval),
            cell_state: CellState::default(),
            declaration: sync::Arc::default(),
            decider_declaration: Declaration::default(),
            evacuated_zones: BTreeSet::new(),
            role: Role::Following,
            requests: PendingRequests::default(),
            tickets: ids::TicketSequence::new(identity.incarnation),
            last_record_at: time::Duration::ZERO,
            predecessor: None,
            peers: BTreeMap::new(),
            connected_to: None,
            connection_target: None,
            disconnected_at: time::Duration::ZERO,
            log_unreachable: None,
            forward_again_at: None,
            deposed_token: 0,
            conflict_at: None,
            deciders: Follower::new(time::Duration::ZERO),
            is_observing: false,
            decider_seen_at: None,
            announce_at: time::Duration::ZERO,
            announcement: None,
            last_token: 0,
            is_ready: false,
            shutdown_began_at: None,
            options,
            identity,
        }
    }

    /// Whether this host is the decider.
    pub fn is_decider(&self) -> bool {
        matches!(self.role, Role::Deciding(_))
    }

    /// Takes the report of the decider's decisions under load since the last one. None if the host
    /// is not the decider.
    pub fn take_load_report(&mut self) -> Option<LoadReport> {
        match &mut self.role {
            Role::Deciding(decider) => Some(decider.take_load_report()),
            _ => None,
        }
    }

    /// The number of callers' requests that wait for a response.
    pub fn pending_requests(&self) -> usize {
        self.requests.len()
    }

    /// Replaces the options.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    /// Handles an event at `now` and returns the resulting effects.
    pub fn apply(&mut self, now: time::Duration, wall_ms: u64, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        let needs_scheduling =
            !matches!(event, Event::Tick | Event::CellRead { .. } | Event::OperatorsRead { .. });
        self.handle_event(now, wall_ms, event, &mut effects);
        if let Role::Deciding(decider) = &mut self.role
            && needs_scheduling
        {
            decider.request_scheduling();
        }
        self.advance(now, wall_ms, &mut effects);
        effects
    }

    /// The time until the next `Event::Tick` is due if no other event arrives before.
    pub fn time_until_due(&self, now: time::Duration) -> time::Duration {
        let mut due_at = now.saturating_add(MAX_SLEEP);
        due_at = due_at.min(self.requests.due_at(now, self.has_decider()));
        due_at = due_at.min(self.forward_again_at.unwrap_or(due_at));
        due_at = due_at.min(self.shutdown_due_at(now).unwrap_or(due_at));
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

    fn handle_event(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        event: Event,
        effects: &mut Vec<Effect>,
    ) {
        match event {
            Event::Tick => {}
            Event::CellRead { ticket, response } => {
                self.on_cell_read(now, wall_ms, ticket, response, effects)
            }
            Event::DecidersRead { ticket, response } => {
                self.on_deciders_read(now, ticket, response)
            }
            Event::Announced { ticket, is_stored } => self.on_announced(now, ticket, is_stored),
            Event::OperatorsRead { ticket, response } => {
                self.on_operators_read(now, ticket, response)
            }
            Event::WorkersRead { ticket, response } => {
                self.on_workers_read(now, wall_ms, ticket, response, effects)
            }
            Event::CallerRequest { ticket, request } => {
                self.on_caller_request(now, wall_ms, ticket, *request, effects)
            }
            Event::Shutdown => self.on_shutdown(now),
            Event::PeerDisconnected { host } => {
                self.on_peer_disconnected(now, wall_ms, &host, effects)
            }
            Event::PeerMessage { from, message } => {
                self.on_peer_message(now, wall_ms, from, message, effects)
            }
            Event::Appended { ticket, response } if !self.is_decider() => {
                self.on_claim_appended(now, wall_ms, ticket, response, effects);
            }
            Event::WorkerReply(reply) if !self.is_decider() => {
                // This host called the worker on the decider's behalf.
                if let Some(to) = self.connected_to.clone() {
                    effects.push(Effect::Send { to, message: Message::Reply(reply) });
                }
            }
            Event::AdviceResponse { ticket, advice } if !self.is_decider() => {
                // This host sent the request on the decider's behalf.
                if let Some(to) = self.connected_to.clone() {
                    effects.push(Effect::Send { to, message: Message::Advice { ticket, advice } });
                }
            }
            event => self.with_decider(now, wall_ms, effects, |decider, context| match event {
                Event::Appended { ticket, response } => {
                    decider.on_append_response(context, ticket, response)
                }
                Event::WorkerReply(reply) => decider.on_worker_reply(context, *reply),
                Event::AdviceResponse { ticket, advice } => {
                    decider.on_advice_response(context, ticket, advice.as_ref());
                }
                _ => {}
            }),
        }
    }

    /// Calls `act` with the decider, if this host is the decider, and applies the results.
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
            declaration: &self.decider_declaration,
            zones_out: &self.evacuated_zones,
            cell_state: &mut self.cell_state,
            tickets: &mut self.tickets,
            effects,
        };
        act(decider, &mut context);
        decider.relay_calls(&mut context);
        let outcomes = decider.take_local_outcomes();
        let deposed = decider.deposed();
        for (forward, outcome) in outcomes {
            if let Some((ticket, response)) = self.requests.on_outcome(now, forward, outcome) {
                effects.push(Effect::Respond { ticket, response });
            }
        }
        if let Some(reason) = deposed {
            self.step_down(now, reason, effects);
        }
    }

    fn advance(&mut self, now: time::Duration, wall_ms: u64, effects: &mut Vec<Effect>) {
        self.update_observing(now);
        self.claim_if_due(now, effects);
        self.with_decider(now, wall_ms, effects, |decider, context| decider.advance(context));
        if let Some((ticket, read)) = self.operators.poll(now, &self.options, &mut self.tickets) {
            let timeout = self.operators.read_timeout(&self.options);
            effects.push(Effect::Read { ticket, topic: Topic::Operators, read, timeout });
        }
        if self.is_decider() {
            if let Some((ticket, read)) = self.workers.poll(now, &self.options, &mut self.tickets) {
                let timeout = self.workers.read_timeout(&self.options);
                effects.push(Effect::Read { ticket, topic: Topic::Workers, read, timeout });
            }
            self.announce(now, effects);
        } else if self.is_observing {
            if let Some((ticket, read)) = self.deciders.poll(now, &self.options, &mut self.tickets)
            {
                let timeout = self.deciders.read_timeout(&self.options);
                effects.push(Effect::Read { ticket, topic: Topic::Deciders, read, timeout });
            }
        } else {
            self.cell.set_interval(self.follow_interval(now));
            if let Some((ticket, read)) = self.cell.poll(now, &self.options, &mut self.tickets) {
                let timeout = self.cell.read_timeout(&self.options);
                effects.push(Effect::Read { ticket, topic: Topic::Cell, read, timeout });
            }
        }
        self.connect(now, effects);
        if self.forward_again_at.is_some_and(|at| now >= at) {
            self.forward_again_at = None;
            self.requests.forward_again();
        }
        self.forward_requests(now, wall_ms, effects);
        self.serve_overdue_reads(now, effects);
        self.decline_on_shutdown(now, effects);
        let has_decider = self.has_decider();
        let is_isolated = self.is_isolated(now);
        for (ticket, response) in self.requests.expire(now, has_decider, is_isolated, &self.options)
        {
            effects.push(Effect::Respond { ticket, response });
        }
        let is_ready = self.is_ready_for_callers(now);
        if is_ready != self.is_ready {
            self.is_ready = is_ready;
            tracing::info!(is_ready, is_decider = self.is_decider(), "readiness changed");
            effects.push(Effect::SetReady(is_ready));
        }
    }

    fn on_cell_read(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        ticket: ids::Ticket,
        response: ReadResponse<Record>,
        effects: &mut Vec<Effect>,
    ) {
        if self.is_decider() {
            // A decider reads its own log only to find out whether an append was stored.
            let records = match &response {
                ReadResponse::LogSlice(slice) => Ok(slice.records.as_slice()),
                ReadResponse::Failed(error) => Err(*error),
                ReadResponse::Page(_) => return,
            };
            self.with_decider(now, wall_ms, effects, |decider, context| {
                decider.on_append_check(context, ticket, records);
            });
            return;
        }
        let Some(update) =
            on_read(&mut self.cell, Topic::Cell, ticket, now, response, &self.options)
        else {
            return;
        };
        if update.is_reset {
            self.cell_state = CellState::default();
            self.last_record_at = now;
        }
        if !update.records.is_empty() {
            self.last_record_at = now;
            // The decider reaches the log again. Otherwise it repeats its report.
            self.log_unreachable = None;
        }
        for (offset, record) in &update.records {
            self.cell_state.apply(*offset, record);
        }
        self.note_predecessor(now);
        if update.is_caught_up {
            self.start_deciding_if_claimed(now, wall_ms, effects);
        }
    }

    fn on_operators_read(
        &mut self,
        now: time::Duration,
        ticket: ids::Ticket,
        response: ReadResponse<OperatorRecord>,
    ) {
        let Some(update) =
            on_read(&mut self.operators, Topic::Operators, ticket, now, response, &self.options)
        else {
            return;
        };
        if update.is_reset {
            self.evacuated_zones.clear();
        }
        for (offset, record) in update.records {
            match record {
                OperatorRecord::Declaration(declaration) => {
                    if declaration.version > self.declaration.version {
                        tracing::info!(
                            version = declaration.version,
                            offset,
                            "applied the declaration"
                        );
                        self.decider_declaration = declaration.with_removed(&self.cell_state.terms);
                        self.declaration = declaration;
                    }
                }
                OperatorRecord::ZoneEvacuation { zone, is_evacuated } => {
                    tracing::info!(%zone, is_out = is_evacuated, offset, "zone evacuation changed");
                    if is_evacuated {
                        self.evacuated_zones.insert(zone);
                    } else {
                        self.evacuated_zones.remove(&zone);
                    }
                }
                OperatorRecord::Other => {}
            }
        }
    }

    fn on_workers_read(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        ticket: ids::Ticket,
        response: ReadResponse<WorkerRecord>,
        effects: &mut Vec<Effect>,
    ) {
        let update =
            on_read(&mut self.workers, Topic::Workers, ticket, now, response, &self.options);
        if let Some(update) = update {
            self.with_decider(now, wall_ms, effects, |decider, _| {
                decider.on_worker_records(update);
            });
        }
    }
}

/// Passes the result of a read to the follower of the topic.
fn on_read<T>(
    follower: &mut Follower<T>,
    topic: Topic,
    ticket: ids::Ticket,
    now: time::Duration,
    response: ReadResponse<T>,
    options: &Options,
) -> Option<FollowerUpdate<T>> {
    match response {
        ReadResponse::Page(page) => follower.on_page(topic, ticket, page),
        ReadResponse::LogSlice(slice) => follower.on_log_slice(topic, ticket, now, slice),
        ReadResponse::Failed(error) => {
            follower.on_failed(topic, ticket, now, error, options);
            if error == ReadError::Trimmed {
                tracing::debug!(%topic, "restarting from the newest records");
            }
            None
        }
    }
}

/// Returns the records that are appended to claim the decider role.
fn claim_records(identity: &HostIdentity, sequence: ids::Ticket) -> sync::Arc<Vec<Record>> {
    let header = BatchHeader { incarnation: identity.incarnation, sequence };
    sync::Arc::new(vec![Record::batch_header(&header), Record::claim(&identity.to_claim(false))])
}
