//! Heartbeats, and what this host knows about its peers.

use std::collections;
use std::time;

use pier_core::{clock, ids, task};

use super::{Control, authority, handoff, summary};
use crate::{Effect, cluster, message, outbox, record};

/// How long a silent host that is no member is remembered. The last epoch that it knew matters for
/// takeovers.
const FORGET_PEER_AFTER: time::Duration = time::Duration::from_secs(600);
/// The number of replaced processes of a host that are remembered to ignore their late messages.
const MAX_REPLACED_INCARNATIONS: usize = 8;

/// The state of a peer, from its messages.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) member: record::Member,
    pub(super) heard_at: time::Duration,
    pub(super) epoch: ids::Epoch,
    pub(super) fold_offset: ids::Offset,
    pub(super) heard: Vec<ids::HostId>,
    pub(super) owned: Vec<(ids::WorkerId, task::FencingToken)>,
    pub(super) leaving: bool,
    /// Whether its last message reported an undecided proposal of its own.
    pub(super) undecided: bool,
    /// The send time of the last heartbeat of this host that the peer has answered.
    pub(super) answered_sent_at: Option<time::Duration>,
    /// Its answer for rule (b) to that heartbeat.
    pub(super) outage_answer: Option<authority::OutageAnswer>,
    /// The freshness from its answers, which applies once the own fold has caught up with the peer.
    pub(super) freshness: Vec<authority::PeerFreshness>,
    last_sent_ms: u64,
    replaced_incarnations: Vec<ids::Incarnation>,
}

impl Peer {
    fn new(now: time::Duration, member: record::Member) -> Self {
        Self {
            member,
            heard_at: now,
            epoch: 0,
            fold_offset: 0,
            heard: Vec::new(),
            owned: Vec::new(),
            leaving: false,
            undecided: false,
            answered_sent_at: None,
            outage_answer: None,
            freshness: Vec::new(),
            last_sent_ms: 0,
            replaced_incarnations: Vec::new(),
        }
    }

    /// Whether the peer is this member and not another process of the same host.
    pub(super) fn matches(&self, member: &record::Member) -> bool {
        self.member.host == member.host && self.member.incarnation == member.incarnation
    }

    /// Takes over what the peer reports about itself. Its epoch and its offset never decrease, so
    /// an older message is recognised by them.
    fn update(
        &mut self,
        now: time::Duration,
        vitals: message::HeartbeatBody,
        info: &mut cluster::PeerInfo,
    ) {
        if (vitals.epoch, vitals.fold_offset) < (self.epoch, self.fold_offset) {
            return;
        }
        self.member.availability_zone = vitals.availability_zone;
        self.member.peer_address = vitals.peer_address;
        self.epoch = vitals.epoch;
        self.fold_offset = vitals.fold_offset;
        self.heard = vitals.heard;
        self.undecided = vitals.undecided;
        self.leaving |= vitals.leaving;
        self.owned = vitals.owned;
        info.leaving = self.leaving;
        if let Some(room) = vitals.load {
            info.summary.load = room;
            info.load_at = Some(now);
        }
        if let Some(teams) = vitals.teams {
            info.summary.teams = teams;
        }
    }
}

/// The state of sending heartbeats.
#[derive(Debug, Default)]
pub(super) struct Heartbeats {
    next_at: time::Duration,
    summary_schedule: summary::SummarySchedule,
    /// Whether a heartbeat has announced that this host leaves.
    announced_leaving: bool,
}

impl Heartbeats {
    /// Makes the next heartbeats due at once.
    pub(super) fn schedule_now(&mut self, now: time::Duration) {
        self.next_at = now;
    }

    /// Makes the next heartbeats due at once, with the whole summary.
    pub(super) fn send_full_now(&mut self, now: time::Duration) {
        self.schedule_now(now);
        self.summary_schedule.reset();
    }

    /// Whether the peers were told that this host leaves.
    pub(super) fn announced_leaving(&self) -> bool {
        self.announced_leaving
    }
}

impl Control {
    /// Whether this host has heard from `host` within `suspect_after`.
    pub(super) fn heard_recently(&self, now: time::Duration, host: &str) -> bool {
        match self.peers.get(host) {
            Some(peer) => now.saturating_sub(peer.heard_at) < self.options.suspect_after,
            None => false,
        }
    }

    /// Whether this host suspects `host`: it has listened for `suspect_after` and has not heard
    /// from it.
    pub(super) fn suspects(&self, now: time::Duration, host: &str) -> bool {
        let listened_long_enough =
            now.saturating_sub(self.listening_since) >= self.options.suspect_after;
        listened_long_enough && !self.heard_recently(now, host)
    }

    /// Sends heartbeats when they are due.
    pub(super) fn send_heartbeats(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        if now < self.heartbeats.next_at {
            return;
        }
        self.heartbeats.next_at = now + self.options.heartbeat_interval;
        self.heartbeats.announced_leaving = self.cluster.leaving;
        let mut vitals = self.vitals(now);
        let peers = u64::try_from(self.peers.len()).unwrap_or(u64::MAX);
        vitals.load = self.heartbeats.summary_schedule.capacity(now, &self.summary.load);
        vitals.teams = self.heartbeats.summary_schedule.teams(now, &self.summary.teams, peers);
        let sent_ms = clock::millis(now);
        for (to, address) in self.heartbeat_targets(now) {
            let vitals = Box::new(vitals.clone());
            let heartbeat = message::ControlMessage::Heartbeat { sent_ms, body: vitals };
            let message = message::Message::Control(heartbeat);
            let incarnation = self.cluster.identity.incarnation;
            out.push(Effect::SendPeer { to, address, incarnation, message });
        }
        let members: &[ids::HostId] = &self.cluster.member_hosts;
        self.peers.retain(|host, peer| {
            members.contains(host) || now.saturating_sub(peer.heard_at) < FORGET_PEER_AFTER
        });
        let peers = &self.peers;
        self.cluster.peers.retain(|host, _| members.contains(host) || peers.contains_key(host));
    }

    /// Updates the peers that the other parts see to the members of a new epoch.
    pub(super) fn refresh_peers(&mut self) {
        for member in &self.fold.state().epoch_record.members {
            if member.host == self.cluster.identity.host {
                continue;
            }
            let info = self
                .cluster
                .peers
                .entry(member.host.clone())
                .or_insert_with(|| cluster::PeerInfo::new(member.clone()));
            let peer = self.peers.get(&member.host);
            if peer.is_some_and(|peer| peer.replaced_incarnations.contains(&member.incarnation)) {
                continue;
            }
            if info.member != *member {
                *info = cluster::PeerInfo::new(member.clone());
            }
            if let Some(peer) = peer.filter(|peer| peer.matches(member)) {
                info.heard_at = Some(peer.heard_at);
                info.leaving = peer.leaving;
            }
        }
    }

    /// The entry hosts of the host list, the members, and the hosts that were heard recently, each
    /// with the address that is most likely current.
    fn heartbeat_targets(
        &self,
        now: time::Duration,
    ) -> collections::BTreeMap<ids::HostId, std::sync::Arc<str>> {
        let mut targets = collections::BTreeMap::new();
        for (host, entry) in self.hosts.entry_hosts() {
            targets.insert(host.clone(), entry.address.clone());
        }
        for member in &self.fold.state().epoch_record.members {
            targets.insert(member.host.clone(), member.peer_address.clone());
        }
        for (host, peer) in &self.peers {
            if self.heard_recently(now, host) {
                targets.insert(host.clone(), peer.member.peer_address.clone());
            }
        }
        targets.remove(&self.cluster.identity.host);
        targets
    }

    pub(super) fn vitals(&self, now: time::Duration) -> message::HeartbeatBody {
        let mut heard = Vec::new();
        for host in self.peers.keys() {
            if self.heard_recently(now, host) {
                heard.push(host.clone());
            }
        }
        // A member counts as heard while this host has not listened long enough to suspect it.
        for host in &self.cluster.member_hosts {
            if *host != self.cluster.identity.host
                && !self.heard_recently(now, host)
                && !self.suspects(now, host)
            {
                heard.push(host.clone());
            }
        }
        heard.sort_unstable();
        message::HeartbeatBody {
            availability_zone: self.cluster.identity.availability_zone.clone(),
            peer_address: self.cluster.identity.peer_address.clone(),
            epoch: self.fold.state().epoch,
            fold_offset: self.fold.offset(),
            log_age_ms: self.freshness().map(|as_of| clock::millis(now.saturating_sub(as_of))),
            log_unreachable: self.cluster.log_unreachable,
            undecided: self.appender.is_undecided(),
            heard,
            owned: self.workers_held_by_handoff(),
            leaving: self.cluster.leaving,
            load: None,
            teams: None,
        }
    }

    /// The member record of this process.
    pub(super) fn own_member(&self) -> record::Member {
        record::Member {
            host: self.cluster.identity.host.clone(),
            incarnation: self.cluster.identity.incarnation,
            availability_zone: self.cluster.identity.availability_zone.clone(),
            peer_address: self.cluster.identity.peer_address.clone(),
        }
    }

    pub(super) fn on_peer(
        &mut self,
        now: time::Duration,
        from: ids::HostId,
        incarnation: ids::Incarnation,
        message: message::ControlMessage,
        out: &mut outbox::Outbox,
    ) {
        if from == self.cluster.identity.host {
            return;
        }
        match message {
            message::ControlMessage::Heartbeat { sent_ms, body: vitals } => {
                let member = sender_member(&from, incarnation, &vitals);
                self.on_heartbeat(now, &member, sent_ms, *vitals, out);
            }
            message::ControlMessage::HeartbeatReply { echo_ms, body: vitals } => {
                let member = sender_member(&from, incarnation, &vitals);
                self.on_heartbeat_reply(now, &member, echo_ms, *vitals);
            }
            message::ControlMessage::FoldRequest => self.on_fold_request(&from, out),
            message::ControlMessage::FoldReply { fold_offset, fold } => {
                self.on_fold_reply(now, fold_offset, *fold, out);
            }
            message::ControlMessage::RecordsRequest { from: first } => {
                self.on_records_request(&from, first, out);
            }
            message::ControlMessage::RecordsReply { records } => {
                self.on_records_reply(now, records, out);
            }
            message::ControlMessage::Handoff { epoch, worker, token, body } => {
                let offer = handoff::Offer { epoch, worker, token, body };
                self.on_handoff(now, &from, offer, out);
            }
            message::ControlMessage::HandoffAck { epoch: _, worker, token } => {
                self.on_handoff_ack(&from, &worker, token);
            }
        }
    }

    fn on_heartbeat(
        &mut self,
        now: time::Duration,
        member: &record::Member,
        sent_ms: u64,
        vitals: message::HeartbeatBody,
        out: &mut outbox::Outbox,
    ) {
        // Only a host without a fresh view of the log of its own needs an answer.
        let max_age_ms = clock::millis(self.options.authority_ttl / 2);
        let stale = vitals.log_age_ms.is_none_or(|age_ms| age_ms > max_age_ms);
        let wants_reply = vitals.log_unreachable || stale;
        let Some((peer, info)) = self.record_contact(now, member) else {
            return;
        };
        if sent_ms >= peer.last_sent_ms {
            peer.last_sent_ms = sent_ms;
            peer.update(now, vitals, info);
        }
        if !wants_reply {
            return;
        }
        let vitals = Box::new(self.vitals(now));
        let reply = message::ControlMessage::HeartbeatReply { echo_ms: sent_ms, body: vitals };
        self.send_control(&member.host, reply, out);
    }

    fn on_heartbeat_reply(
        &mut self,
        now: time::Duration,
        member: &record::Member,
        echo_ms: u64,
        vitals: message::HeartbeatBody,
    ) {
        let sent_at = time::Duration::from_millis(echo_ms);
        if sent_at > now {
            return;
        }
        let Some((peer, info)) = self.record_contact(now, member) else {
            return;
        };
        if peer.answered_sent_at.is_some_and(|answered_sent_at| sent_at < answered_sent_at) {
            return;
        }
        peer.answered_sent_at = Some(sent_at);
        peer.outage_answer = authority::OutageAnswer::from_vitals(sent_at, &vitals);
        authority::PeerFreshness::push(&mut peer.freshness, sent_at, &vitals);
        peer.update(now, vitals, info);
    }

    /// Records a message from a peer and returns the entry of the peer; none if the message is not
    /// from the newest process of the host.
    fn record_contact(
        &mut self,
        now: time::Duration,
        member: &record::Member,
    ) -> Option<(&mut Peer, &mut cluster::PeerInfo)> {
        let host = &member.host;
        let peer = self.peers.entry(host.clone()).or_insert_with(|| Peer::new(now, member.clone()));
        if peer.replaced_incarnations.contains(&member.incarnation) {
            return None;
        }
        if peer.member.incarnation != member.incarnation {
            let mut replaced_incarnations = std::mem::take(&mut peer.replaced_incarnations);
            replaced_incarnations.push(peer.member.incarnation);
            let excess = replaced_incarnations.len().saturating_sub(MAX_REPLACED_INCARNATIONS);
            replaced_incarnations.drain(..excess);
            *peer = Peer::new(now, member.clone());
            peer.replaced_incarnations = replaced_incarnations;
        }
        peer.heard_at = now;
        self.known_since.entry(host.clone()).or_insert(now);
        let info = self
            .cluster
            .peers
            .entry(host.clone())
            .or_insert_with(|| cluster::PeerInfo::new(member.clone()));
        // The epoch may name a process that this one has replaced, or one that was not heard yet.
        if peer.replaced_incarnations.contains(&info.member.incarnation) {
            *info = cluster::PeerInfo::new(member.clone());
        }
        if info.member.incarnation == member.incarnation {
            info.heard_at = Some(now);
        }
        Some((peer, info))
    }

    /// The recently heard peer that has folded the most records, if that is more than this host
    /// has.
    pub(super) fn most_advanced_peer(&self, now: time::Duration) -> Option<ids::HostId> {
        let mut ahead: Option<(&ids::HostId, ids::Offset)> = None;
        for (host, peer) in &self.peers {
            if peer.fold_offset <= self.fold.offset() || !self.heard_recently(now, host) {
                continue;
            }
            if ahead.is_none_or(|(_, offset)| peer.fold_offset > offset) {
                ahead = Some((host, peer.fold_offset));
            }
        }
        ahead.map(|(host, _)| host.clone())
    }

    /// Sends a control message to a host, if its address is known.
    pub(super) fn send_control(
        &self,
        to: &ids::HostId,
        message: message::ControlMessage,
        out: &mut outbox::Outbox,
    ) {
        let heard = self.peers.get(to).map(|peer| &peer.member.peer_address);
        let members = &self.fold.state().epoch_record.members;
        let member = members.iter().find(|member| member.host == *to);
        let Some(address) = heard.or(member.map(|member| &member.peer_address)) else {
            return;
        };
        let message = message::Message::Control(message);
        let (to, address) = (to.clone(), address.clone());
        let incarnation = self.cluster.identity.incarnation;
        out.push(Effect::SendPeer { to, address, incarnation, message });
    }
}

/// The member record of the sender of a heartbeat.
fn sender_member(
    from: &ids::HostId,
    incarnation: ids::Incarnation,
    vitals: &message::HeartbeatBody,
) -> record::Member {
    record::Member {
        host: from.clone(),
        incarnation,
        availability_zone: vitals.availability_zone.clone(),
        peer_address: vitals.peer_address.clone(),
    }
}
