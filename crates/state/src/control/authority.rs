//! Authority to start work: rules (a) and (b) of section 5.2 of the design.
//!
//! By rule (a) a member has authority while its view of the log is at most `authority_ttl` old. By
//! rule (b) it has authority during an outage of the log, while a majority of the epoch's members,
//! itself included, confirms that they cannot reach the log, have the same epoch and have no
//! undecided proposal, and each member that does not confirm has ended or has announced that it
//! leaves.

use std::time;

use pier_core::ids;

use super::Control;
use crate::{Effect, cluster, effect, message, outbox, record};

/// The number of answers of one peer that are kept until the own fold has reached their offsets.
const MAX_PEER_FRESHNESS: usize = 4;

/// A peer's answer to a heartbeat that counts for rule (b): the peer cannot reach the log and has
/// no undecided proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct OutageAnswer {
    /// When this host sent the heartbeat that the peer answered.
    sent_at: time::Duration,
    epoch: ids::Epoch,
    fold_offset: ids::Offset,
}

impl OutageAnswer {
    /// The answer; none if the peer reaches the log or has an undecided proposal.
    pub(super) fn from_vitals(
        sent_at: time::Duration,
        vitals: &message::HeartbeatBody,
    ) -> Option<Self> {
        if !vitals.log_unreachable || vitals.undecided {
            return None;
        }
        Some(Self { sent_at, epoch: vitals.epoch, fold_offset: vitals.fold_offset })
    }
}

/// The time as of which this host's view of the log is complete once its fold has reached the
/// offset of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PeerFreshness {
    as_of: time::Duration,
    fold_offset: ids::Offset,
}

impl PeerFreshness {
    /// Adds the freshness that follows from a peer's answer to the heartbeat sent at `sent_at`. The
    /// peer reports the age of its view when it answers. Counting that age back from the earlier
    /// send time of the heartbeat makes the view no younger than it is.
    pub(super) fn push(
        kept: &mut Vec<Self>,
        sent_at: time::Duration,
        vitals: &message::HeartbeatBody,
    ) {
        let Some(age_ms) = vitals.log_age_ms else {
            return;
        };
        // The age is rounded down to milliseconds, so zero may stand for almost a whole one.
        let age = time::Duration::from_millis(age_ms.saturating_add(1));
        let Some(as_of) = sent_at.checked_sub(age) else {
            return;
        };
        kept.push(Self { as_of, fold_offset: vitals.fold_offset });
        let excess = kept.len().saturating_sub(MAX_PEER_FRESHNESS);
        kept.drain(..excess);
    }
}

impl Control {
    /// The time as of which this host's view of the log is complete; none if it never was.
    pub(super) fn freshness(&self) -> Option<time::Duration> {
        let offset = self.fold.offset();
        let mut as_of = self.reader.tail_at();
        for peer in self.peers.values() {
            for freshness in &peer.freshness {
                if freshness.fold_offset <= offset {
                    as_of = as_of.max(Some(freshness.as_of));
                }
            }
        }
        as_of
    }

    /// When authority by rule (a) ends; zero if this host never had a complete view of the log.
    pub(super) fn fresh_until(&self) -> time::Duration {
        match self.freshness() {
            Some(as_of) => as_of + self.options.authority_ttl,
            None => time::Duration::ZERO,
        }
    }

    /// When authority by rule (b) ends; zero if it does not hold.
    fn outage_until(&self, now: time::Duration) -> time::Duration {
        let members = &self.fold.state().epoch_record.members;
        if !self.cluster.log_unreachable || self.appender.is_undecided() {
            return time::Duration::ZERO;
        }
        let mut answered = 1;
        let mut until = now + self.options.authority_ttl;
        for member in members {
            if member.host == self.cluster.identity.host {
                continue;
            }
            let answered_at = self.outage_answer(member);
            let valid_until = answered_at.map(|sent_at| sent_at + self.options.authority_ttl);
            if let Some(valid_until) = valid_until.filter(|valid_until| now < *valid_until) {
                answered += 1;
                until = until.min(valid_until);
                continue;
            }
            if !self.is_answer_optional(now, member) {
                return time::Duration::ZERO;
            }
        }
        if answered * 2 <= members.len() {
            return time::Duration::ZERO;
        }
        until
    }

    /// The send time of the heartbeat that the member answered last, if its answer counts for rule
    /// (b).
    fn outage_answer(&self, member: &record::Member) -> Option<time::Duration> {
        let peer = self.peers.get(&member.host).filter(|peer| peer.matches(member))?;
        let answer = peer.outage_answer?;
        // A peer that has folded more records may know of a change that this host must not miss.
        let same_epoch = answer.epoch == self.fold.state().epoch;
        let caught_up = answer.fold_offset <= self.fold.offset();
        if same_epoch && caught_up { Some(answer.sent_at) } else { None }
    }

    /// Whether rule (b) holds without an answer of the member.
    fn is_answer_optional(&self, now: time::Duration, member: &record::Member) -> bool {
        if self.is_dead(now, member) {
            return true;
        }
        // A leaving host neither proposes epochs nor takes workers over. When it falls silent
        // without having seen a newer epoch, it has exited or can do no harm.
        let Some(peer) = self.peers.get(&member.host).filter(|peer| peer.matches(member)) else {
            return false;
        };
        let same_epoch = peer.epoch == self.fold.state().epoch;
        peer.leaving && same_epoch && !peer.undecided && self.suspects(now, &member.host)
    }

    /// Whether a member's process has certainly ended: its host is gone from the host list and
    /// silent, or another process answers at the same address.
    pub(super) fn is_dead(&self, now: time::Duration, member: &record::Member) -> bool {
        let me = &self.cluster.identity;
        if member.host == me.host {
            return member.incarnation != me.incarnation && member.peer_address == me.peer_address;
        }
        if let Some(peer) = self.peers.get(&member.host)
            && self.heard_recently(now, &member.host)
        {
            return !peer.matches(member) && peer.member.peer_address == member.peer_address;
        }
        let lag = self.options.host_list_lag;
        let since = self.known_since.get(&member.host).copied().unwrap_or(now);
        self.hosts.is_gone(now, &member.host, since, lag)
    }

    /// Updates the authority of this host as of `now`.
    pub(super) fn update_authority(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        self.update_log_reachability(now, out);
        let mut authority = cluster::Authority::None;
        let mut until = time::Duration::ZERO;
        if self.cluster.is_member {
            let fresh_until = self.fresh_until();
            let outage_until = self.outage_until(now);
            if fresh_until > now {
                authority = cluster::Authority::Fresh;
            } else if outage_until > now {
                authority = cluster::Authority::Outage;
            }
            until = fresh_until.max(outage_until);
        }
        self.cluster.authority_until = until;
        if authority == self.cluster.authority {
            return;
        }
        self.cluster.authority = authority;
        out.push(Effect::Log(effect::Notice::AuthorityChanged { authority }));
    }

    fn update_log_reachability(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        // Reads that take longer than half of `authority_ttl` cannot keep the view fresh.
        let unreachable = self.reader.is_unreachable(now, self.options.authority_ttl / 2);
        if unreachable == self.cluster.log_unreachable {
            return;
        }
        self.cluster.log_unreachable = unreachable;
        out.push(Effect::Log(effect::Notice::LogReachability { unreachable }));
    }
}
