//! Who decides: claiming the decider's place, and leaving it.
//!
//! A claim is an append at the end of the log that the host has folded. Of several only one lands,
//! and appends of the decider before it fail from then on, so a wrong suspicion costs a change of
//! the decider and nothing else.

use std::sync;
use std::time;

use pier_core::{ids, rendezvous};

use crate::decider::Context;
use crate::decider::Decider;
use crate::effect::Effect;
use crate::event::AppendAnswer;
use crate::host::{Host, Role, claim_records};
use crate::peer::Message;

/// Over how many steps of the stagger the hosts spread.
const CLAIM_RANKS: u64 = 8;
/// Hosts of so many of these steps read the log often.
const FIRST_RANKS: u32 = 4;
/// How long the decider's word that it does not reach the log counts. It repeats it.
const LOG_LOST_VALIDITY: time::Duration = time::Duration::from_millis(900);
/// How fresh the view of the log must be for a claim: older reads say little about its end.
const CLAIM_FRESHNESS: time::Duration = time::Duration::from_millis(700);

impl Host {
    /// Whether a decider can be reached: this host or a connected one.
    pub(super) fn has_decider(&self) -> bool {
        self.is_decider() || self.decider_token().is_some()
    }

    /// The fencing token of the connected decider.
    pub(super) fn decider_token(&self) -> Option<u64> {
        let placed = self.ledger.decider.as_ref()?;
        if placed.claim.is_released || placed.token == self.deposed_token {
            return None;
        }
        (self.connected_to.as_ref() == Some(&placed.claim.host)).then_some(placed.token)
    }

    /// How long the log must be silent before this host claims.
    fn silence_before_claim(&self, now: time::Duration) -> time::Duration {
        let Some(placed) = &self.ledger.decider else {
            return self.claim_delay(0);
        };
        let delay = self.claim_delay(placed.token);
        if placed.claim.is_released {
            return delay;
        }
        // Another process of this host: it is certainly gone.
        if placed.claim.host == self.me.host {
            return time::Duration::ZERO;
        }
        // The decider's own word counts only for a host that does reach the log.
        if !self.cell.is_failing() && self.has_decider_lost_log(now) {
            return delay;
        }
        if self.connected_to.as_ref() == Some(&placed.claim.host) {
            self.options.silence.saturating_add(delay)
        } else {
            self.options.silence_disconnected.saturating_add(delay)
        }
    }

    /// Whether the decider has lately said that it does not reach the log.
    pub(super) fn has_decider_lost_log(&self, now: time::Duration) -> bool {
        let Some((token, at)) = self.log_lost else {
            return false;
        };
        self.ledger.decider.as_ref().is_some_and(|placed| placed.token == token)
            && now < at.saturating_add(LOG_LOST_VALIDITY)
    }

    /// The host's place in the order of claims, which differs from claim to claim.
    fn claim_delay(&self, token: u64) -> time::Duration {
        let rank = rendezvous::weight(&token.to_string(), &self.me.host) % CLAIM_RANKS;
        let stagger = self.options.claim_stagger * u32::try_from(rank).unwrap_or_default();
        stagger.saturating_add(self.options.claim_handicap)
    }

    /// How often this host reads the log: those that would claim first must know of its silence.
    pub(super) fn follow_gap(&self, now: time::Duration) -> time::Duration {
        let is_first = self.claim_delay(self.decider_token().unwrap_or_default())
            < self.options.claim_stagger * FIRST_RANKS;
        if is_first || !self.has_decider() || self.has_decider_lost_log(now) {
            self.options.follow_gap
        } else {
            self.options.slow_follow_gap
        }
    }

    /// Claims the decider's place when the log has been silent for long enough.
    pub(super) fn claim_if_due(&mut self, now: time::Duration, out: &mut Vec<Effect>) {
        if !matches!(self.role, Role::Following) || self.is_stopping {
            return;
        }
        // Without a declaration nothing can be decided.
        if self.directory.version == 0 {
            return;
        }
        let (Some(at), Some(as_of)) = (self.cell.next_offset(), self.cell.as_of()) else {
            return;
        };
        // The log has gone on there; a read will tell how.
        if self.missed_at == Some(at) {
            return;
        }
        let silence = self.silence_before_claim(now);
        let is_silent = now >= self.heard_at.saturating_add(silence);
        if !is_silent || now > as_of.saturating_add(CLAIM_FRESHNESS.max(self.options.read_wait * 2))
        {
            return;
        }
        let ticket = self.ticket();
        let predecessor = self.ledger.decider.as_ref().map(|placed| &*placed.claim.host);
        let silent_ms = pier_core::clock::millis(now.saturating_sub(self.heard_at));
        tracing::warn!(
            at,
            silent_ms,
            predecessor,
            is_connected = self.connected_to.is_some(),
            "claiming the decider's place"
        );
        self.role = Role::Claiming { ticket, at };
        out.push(Effect::Append {
            ticket,
            at,
            records: claim_records(&self.me, ticket),
            timeout: self.options.log_timeout,
        });
    }

    /// Takes the answer to the append of a claim.
    pub(super) fn on_claim_answered(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        ticket: ids::Ticket,
        answer: AppendAnswer,
        out: &mut Vec<Effect>,
    ) {
        let Role::Claiming { ticket: expected, at } = self.role else {
            return;
        };
        if ticket != expected {
            return;
        }
        self.role = Role::Following;
        match answer {
            AppendAnswer::Stored { end } => {
                let mut offset = at;
                for record in claim_records(&self.me, ticket).iter() {
                    self.ledger.fold(offset, record);
                    offset = offset.saturating_add(1);
                }
                self.begin(now, wall_ms, end, out);
            }
            AppendAnswer::Moved => {
                tracing::info!(at, "another host was first to claim");
                self.missed_at = Some(at);
            }
            AppendAnswer::Refused | AppendAnswer::NoAnswer => {
                // A claim that lands later is seen in the log.
                tracing::warn!(?answer, "the claim was not stored");
                self.heard_at = now;
            }
        }
    }

    /// Begins to decide if the log's end names this process, because a claim without an answer has
    /// landed.
    pub(super) fn begin_if_claimed(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let is_mine = self.ledger.decider.as_ref().is_some_and(|placed| {
            placed.claim.incarnation == self.me.incarnation && !placed.claim.is_released
        });
        let Some(end) = self.cell.next_offset() else {
            return;
        };
        // What this process had decided under an earlier claim is forgotten; it claims anew.
        let is_new =
            self.ledger.decider.as_ref().is_some_and(|placed| placed.token > self.last_token);
        if is_mine && is_new && !self.is_decider() && !self.is_stopping {
            self.begin(now, wall_ms, end, out);
        }
    }

    fn begin(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        end: ids::Offset,
        effects: &mut Vec<Effect>,
    ) {
        let Some(token) = self.ledger.decider.as_ref().map(|placed| placed.token) else {
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
        let mut decider = Decider::new(&mut context, self.me.incarnation, token, end);
        // Hosts may have connected before the claim, to an earlier process of this host.
        for info in self.peers.values() {
            decider.on_peer_connected(&mut context, info);
        }
        self.last_token = token;
        self.log_lost = None;
        self.role = Role::Deciding(Box::new(decider));
        self.announce_at = Some(now);
        self.workers.restart(now);
        self.connected_to = None;
    }

    /// Another host decides. What was not stored is forgotten; the log tells what is.
    pub(super) fn step_down(
        &mut self,
        now: time::Duration,
        reason: &'static str,
        out: &mut Vec<Effect>,
    ) {
        tracing::warn!(reason, "stepping down");
        for host in self.peers.keys() {
            let message = Message::NotDeciding { token: self.last_token };
            out.push(Effect::Send { to: ids::HostId::clone(host), message });
        }
        self.role = Role::Following;
        self.cell.restart(now);
        self.ledger = crate::ledger::Ledger::default();
        self.heard_at = now;
        self.disconnected_at = now;
        self.calls.repeat_all();
    }

    /// Keeps the connection to the decider that the log names.
    pub(super) fn connect(&mut self, now: time::Duration, out: &mut Vec<Effect>) {
        let mut wanted = None;
        if !self.is_decider()
            && let Some(placed) = &self.ledger.decider
            && placed.claim.host != self.me.host
            && !placed.claim.is_released
        {
            let claim = &placed.claim;
            wanted = Some((ids::HostId::clone(&claim.host), sync::Arc::clone(&claim.address)));
        }
        if wanted == self.wanted_connection {
            return;
        }
        self.connected_to = None;
        self.disconnected_at = now;
        self.wanted_connection.clone_from(&wanted);
        out.push(Effect::Connect { decider: wanted });
    }

    /// Another host's connection is gone.
    pub(super) fn on_peer_gone(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        host: &ids::HostId,
        out: &mut Vec<Effect>,
    ) {
        if self.connected_to.as_ref() == Some(host) {
            tracing::warn!(decider = %host, "connection to the decider lost");
            self.cell.hasten(now);
            self.connected_to = None;
            self.disconnected_at = now;
            self.calls.repeat_all();
        }
        self.peers.remove(host);
        self.with_decider(now, wall_ms, out, |decider, context| {
            decider.on_peer_disconnected(context, host);
        });
    }

    /// Takes no new callers, and leaves the decider's place to another host.
    pub(super) fn on_shutdown(&mut self) {
        tracing::info!(is_decider = self.is_decider(), "host stops");
        self.is_stopping = true;
        let release = self.me.to_claim(true);
        if let Role::Deciding(decider) = &mut self.role {
            decider.release(release);
        }
    }
}
