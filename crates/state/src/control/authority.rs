//! Authority to start work: rules (a) and (b) of section 5.2 of the design.

use std::time;

use pier_core::ids;

use super::Control;
use crate::{Effect, cluster, effect, message, outbox, record};

/// The number of answers of one peer that are kept until the own fold has caught up.
const FRESH_KEPT: usize = 4;

/// A peer's answer that it has the same epoch, that its log is away, and that no proposal of its
/// is undecided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct OutageAnswer {
    /// When the heartbeat was sent that the peer has answered.
    sent_at: time::Duration,
    epoch: ids::Epoch,
    fold_offset: ids::Offset,
}

impl OutageAnswer {
    /// The answer; none if the peer does not give it.
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

/// How fresh this host's view is once its fold has reached a peer's offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PeerFreshness {
    as_of: time::Duration,
    fold_offset: ids::Offset,
}

impl PeerFreshness {
    /// Adds what a peer's answer to the heartbeat sent at `sent_at` shows. The peer's view is as
    /// old as it says, counted back from the own send time, because the peer answered later.
    pub(super) fn note(
        kept: &mut Vec<Self>,
        sent_at: time::Duration,
        vitals: &message::HeartbeatBody,
    ) {
        let Some(age_ms) = vitals.log_age_ms else {
            return;
        };
        // An age of zero would stand for up to a millisecond.
        let age = time::Duration::from_millis(age_ms.saturating_add(1));
        let Some(as_of) = sent_at.checked_sub(age) else {
            return;
        };
        kept.push(Self { as_of, fold_offset: vitals.fold_offset });
        let excess = kept.len().saturating_sub(FRESH_KEPT);
        kept.drain(..excess);
    }
}

impl Control {
    /// The time as of which this host's view of the log is complete; none if it never was.
    pub(super) fn freshness(&self) -> Option<time::Duration> {
        let offset = self.fold.offset();
        let mut as_of = self.reader.tail_at();
        for peer in self.peers.values() {
            for fresh in &peer.fresh {
                if fresh.fold_offset <= offset {
                    as_of = as_of.max(Some(fresh.as_of));
                }
            }
        }
        as_of
    }

    /// Until when rule (a) holds.
    pub(super) fn fresh_until(&self) -> time::Duration {
        match self.freshness() {
            Some(as_of) => as_of + self.options.authority_ttl,
            None => time::Duration::ZERO,
        }
    }

    /// Until when rule (b) holds. Zero if it does not.
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
            if !self.is_excused(now, member) {
                return time::Duration::ZERO;
            }
        }
        if answered * 2 <= members.len() {
            return time::Duration::ZERO;
        }
        until
    }

    /// When the heartbeat was sent to which a member gave the last answer that counts.
    fn outage_answer(&self, member: &record::Member) -> Option<time::Duration> {
        let peer = self.peers.get(&member.host).filter(|peer| peer.is(member))?;
        let answer = peer.answer?;
        // A peer that has folded more may know of a change that this host must not miss.
        let same = answer.epoch == self.fold.state().epoch;
        let caught_up = answer.fold_offset <= self.fold.offset();
        if same && caught_up { Some(answer.sent_at) } else { None }
    }

    /// Whether rule (b) does not need the member's answer.
    fn is_excused(&self, now: time::Duration, member: &record::Member) -> bool {
        if self.is_dead(now, member) {
            return true;
        }
        // A leaving host proposes nothing and takes over nothing from then on. When it falls silent
        // without having seen a newer epoch, it has exited or is no danger.
        let Some(peer) = self.peers.get(&member.host).filter(|peer| peer.is(member)) else {
            return false;
        };
        let same = peer.epoch == self.fold.state().epoch;
        peer.leaving && same && !peer.undecided && self.misses(now, &member.host)
    }

    /// Whether a member's process has certainly ended: the host list shows its host as gone and
    /// nothing is heard of it, or another process answers at the same address.
    pub(super) fn is_dead(&self, now: time::Duration, member: &record::Member) -> bool {
        let me = &self.cluster.identity;
        if member.host == me.host {
            return member.incarnation != me.incarnation && member.peer_address == me.peer_address;
        }
        if let Some(peer) = self.peers.get(&member.host)
            && self.hears(now, &member.host)
        {
            return !peer.is(member) && peer.member.peer_address == member.peer_address;
        }
        let lag = self.options.host_list_lag;
        let since = self.known_since.get(&member.host).copied().unwrap_or(now);
        self.hosts.is_gone(now, &member.host, since, lag)
    }

    /// Sets the authority of this host as of `now`.
    pub(super) fn update_authority(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        self.update_reach(now, out);
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

    fn update_reach(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        // A log whose reads take longer than this cannot keep the view fresh.
        let away = self.reader.is_away(now, self.options.authority_ttl / 2);
        if away == self.cluster.log_unreachable {
            return;
        }
        self.cluster.log_unreachable = away;
        out.push(Effect::Log(effect::Notice::LogReachability { unreachable: away }));
    }
}
