//! Election of the decider: claiming the decider role and giving it up.
//!
//! A claim is an append at the end of the log, as far as the host has applied it. Of several claims
//! only one is stored, and from then on the previous decider's appends fail. A wrongly suspected
//! failure therefore costs a change of the decider and nothing else.

use std::sync;
use std::time;

use pier_core::{ids, rendezvous};

use crate::decider::{Context, Decider, Predecessor, Term};
use crate::effect::Effect;
use crate::event::AppendResponse;
use crate::host::{Host, Role, claim_records};
use crate::peer::Message;
use crate::record::Claim;

/// The number of steps of `claim_stagger` over which the hosts' claims are spread.
const CLAIM_RANKS: u64 = 8;
/// Hosts in the first of these steps, up to this number, read the log more often.
const FIRST_RANKS: u32 = 4;
/// How long the decider's report that it cannot reach the log is valid. The decider repeats it.
const LOG_UNREACHABLE_VALIDITY: time::Duration = time::Duration::from_millis(900);
/// The greatest age of the state of the log at which a host claims: older reads say little about
/// the log's end.
const MAX_CLAIM_VIEW_AGE: time::Duration = time::Duration::from_millis(700);

impl Host {
    /// Whether this host or a connected one is the decider.
    pub(super) fn has_decider(&self) -> bool {
        self.is_decider() || self.decider_token().is_some()
    }

    /// The fencing token of the connected decider.
    pub(super) fn decider_token(&self) -> Option<u64> {
        let logged = self.cell_state.decider.as_ref()?;
        if logged.claim.is_released || logged.token == self.deposed_token {
            return None;
        }
        self.is_connected_to(&logged.claim).then_some(logged.token)
    }

    /// Whether the host is connected to the process that made the claim. A process that has started
    /// since on the same host is not the decider.
    fn is_connected_to(&self, claim: &Claim) -> bool {
        self.connected_to.as_ref() == Some(&claim.host)
            && self.peers.get(&claim.host).is_some_and(|peer| peer.incarnation == claim.incarnation)
    }

    /// How long the log must have no new record before this host claims the decider role.
    fn claim_timeout(&self, now: time::Duration) -> time::Duration {
        let Some(logged) = &self.cell_state.decider else {
            return self.claim_delay(0);
        };
        let delay = self.claim_delay(logged.token);
        if logged.claim.is_released {
            return delay;
        }
        // The decider was an earlier process of this host, which has certainly ended.
        if logged.claim.host == self.identity.host {
            return time::Duration::ZERO;
        }
        // The decider's report counts only on a host that can reach the log. After an outage for all
        // hosts, the decider gets the time to reach it again.
        let recovery_ends_at = self
            .cell
            .recovered_at()
            .map_or(now, |at| at.saturating_add(self.options.log_recovery_time));
        if !self.cell.is_failing()
            && now >= recovery_ends_at
            && self.has_decider_reported_log_unreachable(now)
        {
            return delay;
        }
        if self.is_connected_to(&logged.claim) {
            self.options.claim_timeout.saturating_add(delay)
        } else {
            self.options.disconnected_claim_timeout.saturating_add(delay)
        }
    }

    /// Whether the decider has recently reported that it cannot reach the log.
    pub(super) fn has_decider_reported_log_unreachable(&self, now: time::Duration) -> bool {
        let Some((token, at)) = self.log_unreachable else {
            return false;
        };
        self.cell_state.decider.as_ref().is_some_and(|logged| logged.token == token)
            && now < at.saturating_add(LOG_UNREACHABLE_VALIDITY)
    }

    /// This host's delay in the order of claims, which differs from claim to claim.
    fn claim_delay(&self, token: u64) -> time::Duration {
        let rank = rendezvous::weight(&token.to_string(), &self.identity.host) % CLAIM_RANKS;
        let stagger = self.options.claim_stagger * u32::try_from(rank).unwrap_or_default();
        stagger.saturating_add(self.options.extra_claim_delay)
    }

    /// The interval at which this host reads the log. The hosts that would claim first use the
    /// short one, because they must notice that the log has no new records.
    pub(super) fn follow_interval(&self, now: time::Duration) -> time::Duration {
        let is_first = self.claim_delay(self.decider_token().unwrap_or_default())
            < self.options.claim_stagger * FIRST_RANKS;
        if is_first || !self.has_decider() || self.has_decider_reported_log_unreachable(now) {
            self.options.follow_interval
        } else {
            self.options.slow_follow_interval
        }
    }

    /// Claims the decider role when the log has had no new record for long enough.
    pub(super) fn claim_if_due(&mut self, now: time::Duration, effects: &mut Vec<Effect>) {
        if !matches!(self.role, Role::Following) || self.is_shutting_down() {
            return;
        }
        // A decider needs a declaration.
        if self.declaration.version == 0 {
            return;
        }
        let (Some(at), Some(as_of)) = (self.cell.next_offset(), self.cell.as_of()) else {
            return;
        };
        // The log has continued at this offset; wait until a read returns the new records.
        if self.conflict_at == Some(at) {
            return;
        }
        let timeout = self.claim_timeout(now);
        // Nobody could append while the log was unavailable.
        let silent_since = self.last_record_at.max(self.cell.recovered_at().unwrap_or_default());
        let is_silent = now >= silent_since.saturating_add(timeout);
        if !is_silent
            || now > as_of.saturating_add(MAX_CLAIM_VIEW_AGE.max(self.options.read_wait * 2))
        {
            return;
        }
        let ticket = self.tickets.issue();
        let predecessor = self.cell_state.decider.as_ref().map(|logged| &*logged.claim.host);
        let silent_ms = pier_core::clock::millis(now.saturating_sub(self.last_record_at));
        tracing::warn!(
            at,
            silent_ms,
            predecessor,
            is_connected = self.connected_to.is_some(),
            "claiming the decider role"
        );
        self.role = Role::Claiming { ticket, at, sent_at: now };
        effects.push(Effect::Append {
            ticket,
            at,
            records: claim_records(&self.identity, ticket),
            timeout: self.options.log_timeout,
        });
    }

    /// Handles the result of the append of a claim.
    pub(super) fn on_claim_appended(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        ticket: ids::Ticket,
        response: AppendResponse,
        effects: &mut Vec<Effect>,
    ) {
        let Role::Claiming { ticket: expected, at, sent_at } = self.role else {
            return;
        };
        if ticket != expected {
            return;
        }
        self.role = Role::Following;
        match response {
            AppendResponse::Stored { end } => {
                let mut offset = at;
                for record in claim_records(&self.identity, ticket).iter() {
                    self.cell_state.apply(offset, record);
                    offset = offset.saturating_add(1);
                }
                self.start_deciding(now, wall_ms, end, sent_at, effects);
            }
            AppendResponse::Conflict => {
                tracing::info!(at, "the log has changed; the claim was not stored");
                self.conflict_at = Some(at);
            }
            AppendResponse::Refused | AppendResponse::NoAnswer => {
                // If the claim is stored later, it appears in the log.
                tracing::warn!(answer = ?response, "the claim failed or got no response");
                self.last_record_at = now;
            }
        }
    }

    /// Starts the decider if the log names this process, because a claim without a response was
    /// stored.
    pub(super) fn start_deciding_if_claimed(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let is_own_claim = self.cell_state.decider.as_ref().is_some_and(|logged| {
            logged.claim.incarnation == self.identity.incarnation && !logged.claim.is_released
        });
        let Some(end) = self.cell.next_offset() else {
            return;
        };
        // The state that belonged to an earlier claim of this process is discarded, so only a later
        // claim counts.
        let is_new =
            self.cell_state.decider.as_ref().is_some_and(|logged| logged.token > self.last_token);
        if is_own_claim && is_new && !self.is_decider() && !self.is_shutting_down() {
            let confirmed_at = self.cell.as_of().unwrap_or_default();
            self.start_deciding(now, wall_ms, end, confirmed_at, effects);
        }
    }

    /// Records the decider that the log names, if it is another process than this one.
    pub(super) fn note_predecessor(&mut self, now: time::Duration) {
        let Some(logged) = &self.cell_state.decider else {
            return;
        };
        let claim = &logged.claim;
        let is_known = self.predecessor.as_ref().is_some_and(|predecessor| {
            predecessor.host == claim.host && predecessor.incarnation == claim.incarnation
        });
        if claim.incarnation != self.identity.incarnation && !is_known {
            self.predecessor = Some(Predecessor {
                host: ids::HostId::clone(&claim.host),
                incarnation: claim.incarnation,
                claim_read_at: now,
            });
        }
    }

    fn start_deciding(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        end: ids::Offset,
        confirmed_at: time::Duration,
        effects: &mut Vec<Effect>,
    ) {
        let Some(token) = self.cell_state.decider.as_ref().map(|logged| logged.token) else {
            return;
        };
        // Accepted jobs may be of queues and accounts that were removed while there was no decider.
        self.decider_declaration = self.declaration.with_removed(&self.cell_state.terms);
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
        let term = Term {
            incarnation: self.identity.incarnation,
            token,
            end,
            confirmed_at,
            earlier_records_read_at: self.last_record_at,
            predecessor: self.predecessor.clone(),
        };
        let mut decider = Decider::new(&mut context, term);
        // Hosts may have connected before the claim, because an earlier process of this host was
        // the decider.
        for info in self.peers.values() {
            decider.on_peer_connected(&mut context, info);
        }
        self.last_token = token;
        self.log_unreachable = None;
        self.role = Role::Deciding(Box::new(decider));
        self.announce_at = now;
        self.announcement = None;
        self.workers.reset(now);
        self.connected_to = None;
    }

    /// Stops deciding because another host is the decider. Changes that were not stored are
    /// discarded; the state is read from the log again.
    pub(super) fn step_down(
        &mut self,
        now: time::Duration,
        reason: &'static str,
        effects: &mut Vec<Effect>,
    ) {
        tracing::warn!(reason, "stepping down as decider");
        for host in self.peers.keys() {
            let message = Message::NotDeciding { token: self.last_token };
            effects.push(Effect::Send { to: ids::HostId::clone(host), message });
        }
        self.role = Role::Following;
        self.cell.reset(now);
        self.cell_state = crate::cell_state::CellState::default();
        self.last_record_at = now;
        self.disconnected_at = now;
        self.requests.forward_again();
    }

    /// Requests a connection to the decider that the log names, if that has changed.
    pub(super) fn connect(&mut self, now: time::Duration, effects: &mut Vec<Effect>) {
        let mut target = None;
        if !self.is_decider()
            && let Some(logged) = &self.cell_state.decider
            && logged.claim.host != self.identity.host
            && !logged.claim.is_released
        {
            let claim = &logged.claim;
            target = Some((ids::HostId::clone(&claim.host), sync::Arc::clone(&claim.address)));
        }
        if target == self.connection_target {
            return;
        }
        self.connected_to = None;
        self.disconnected_at = now;
        self.connection_target.clone_from(&target);
        effects.push(Effect::Connect { decider: target });
    }

    /// Handles the loss of a connection to another host.
    pub(super) fn on_peer_disconnected(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        host: &ids::HostId,
        effects: &mut Vec<Effect>,
    ) {
        if self.connected_to.as_ref() == Some(host) {
            tracing::warn!(decider = %host, "connection to the decider lost");
            self.cell.read_now(now);
            self.connected_to = None;
            self.disconnected_at = now;
            self.requests.forward_again();
        }
        self.peers.remove(host);
        self.with_decider(now, wall_ms, effects, |decider, context| {
            decider.on_peer_disconnected(context, host);
        });
    }
}
