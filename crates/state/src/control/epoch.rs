//! Membership: what the next epoch should be, and who proposes it when.

use std::collections;
use std::time;

use pier_core::{ids, rendezvous, wire};
use rand::Rng;

use super::{Control, assign, peers};
use crate::record;

/// How long a change is held back, so that changes that come together make one epoch.
const SETTLE: time::Duration = time::Duration::from_millis(200);
/// The same for the first epoch, whose members have yet to hear each other.
const FIRST_SETTLE: time::Duration = time::Duration::from_millis(600);
/// How long a worker is missing from the host list before it loses its owner. It is longer than
/// the lag of the list and the leases of the tasks on the worker.
const FORGET_WORKER: time::Duration = time::Duration::from_secs(120);

/// For how many lags of the host list the members must be silent before a host that is no member
/// proposes although the list still shows some of them.
const SILENT_LAGS: u32 = 3;

/// The interval between comparisons of the workers with the owners when neither has changed.
const COMPARE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The state of proposing.
#[derive(Debug, Default)]
pub(super) struct Proposals {
    /// Since when the wanted membership differs from the current one.
    wanted_since: Option<time::Duration>,
    /// When the workers of the host list are next compared with the owners; none for now.
    compare_at: Option<time::Duration>,
    workers_changed: bool,
}

impl Proposals {
    /// Starts over when nothing is wanted.
    fn reset(&mut self) {
        self.wanted_since = None;
    }

    /// Starts over after a new epoch or host list.
    pub(super) fn renew(&mut self, epoch_began: bool) {
        self.compare_at = None;
        if epoch_began {
            self.reset();
        }
    }
}

impl Control {
    /// Proposes an epoch if one is needed and it is this host's turn.
    pub(super) fn propose(&mut self, now: time::Duration) {
        let fresh = self.fresh_until() > now && !self.reader.is_failing();
        if self.cluster.leaving || !fresh {
            self.appender.withdraw_proposals(false);
        }
        if self.cluster.leaving || !self.may_propose(now) {
            self.proposals.reset();
            return;
        }
        if self.appender.has_proposal() {
            return;
        }
        // A proposal from an epoch that a peer has left would be void.
        if self.is_behind(now) {
            self.reader.hurry(now);
            return;
        }
        let members = self.wanted_members(now);
        let workers_changed = self.workers_changed(now);
        let changed = workers_changed || members != self.fold.state().epoch_record.members;
        let Some(turn) = self.turn(now, &members).filter(|_| changed) else {
            self.proposals.reset();
            return;
        };
        let since = *self.proposals.wanted_since.get_or_insert(now);
        let is_first = self.fold.state().epoch_record.members.is_empty();
        let settle = if is_first { FIRST_SETTLE } else { SETTLE };
        if !fresh || now.saturating_sub(since) < settle + self.options.propose_step * turn {
            return;
        }
        let proposal = self.proposal(now, members);
        self.appender.push(record::Entry::Epoch(proposal));
    }

    /// Whether this host may propose at all: it is a member, or there is no epoch yet, or all
    /// members are gone for longer than the host list lags.
    fn may_propose(&self, now: time::Duration) -> bool {
        if self.cluster.is_member {
            return true;
        }
        if self.fold.state().epoch_record.members.is_empty() {
            return self.hosts.is_known();
        }
        let mut dead = 0;
        let mut long_gone = 0;
        let members = &self.fold.state().epoch_record.members;
        let lag = self.options.host_list_lag;
        for member in members {
            let is_process = self.peers.get(&member.host).is_some_and(|peer| peer.is(member));
            if is_process && self.hears(now, &member.host) {
                return false;
            }
            if !self.is_dead(now, member) {
                continue;
            }
            dead += 1;
            let since = self.known_since.get(&member.host).copied().unwrap_or(now);
            let listed = self.hosts.entry_hosts().contains_key(&member.host);
            if listed || self.hosts.is_long_gone(now, &member.host, since, lag) {
                long_gone += 1;
            }
        }
        if long_gone == members.len() {
            return true;
        }
        // A member whose host stays listed although no process runs there must not block the cell
        // for ever. With half of the members dead the rest cannot have authority by rule (b).
        dead * 2 >= members.len() && self.is_silent_since(now, lag * SILENT_LAGS)
    }

    /// Whether a peer that was heard lately has folded a later epoch.
    fn is_behind(&self, now: time::Duration) -> bool {
        let epoch = self.fold.state().epoch;
        self.peers.iter().any(|(host, peer)| peer.epoch > epoch && self.hears(now, host))
    }

    /// Whether this host has listened for at least `span` in the current epoch.
    fn is_silent_since(&self, now: time::Duration, span: time::Duration) -> bool {
        now.saturating_sub(self.listening_since.max(self.epoch_folded_at)) >= span
    }

    /// The position of this host in the order of proposers; none if it is not among them.
    fn turn(&self, now: time::Duration, members: &[record::Member]) -> Option<u32> {
        let key = self.fold.state().epoch.to_string();
        let mut hosts = Vec::new();
        for member in members {
            let may = !self.cluster.is_member
                || self.cluster.member_hosts.contains(&member.host)
                    && (member.host == self.cluster.identity.host || self.hears(now, &member.host));
            if may {
                hosts.push(member.host.clone());
            }
        }
        let ranked = rendezvous::ranked(&key, &hosts);
        let place = ranked.iter().position(|host| **host == self.cluster.identity.host)?;
        u32::try_from(place).ok()
    }

    /// The members that the next epoch should have, in ascending order of host.
    fn wanted_members(&self, now: time::Duration) -> Vec<record::Member> {
        let mut wanted = collections::BTreeMap::new();
        for member in &self.fold.state().epoch_record.members {
            let mut member = member.clone();
            if member.host == self.cluster.identity.host {
                member = self.own_member();
            } else if !self.stays(now, &member) {
                continue;
            }
            if let Some(peer) = self.peers.get(&member.host)
                && !peer.is(&member)
                && self.may_join(now, peer)
            {
                member = peer.member.clone();
            }
            wanted.insert(member.host.clone(), member);
        }
        for (host, peer) in &self.peers {
            if !wanted.contains_key(host) && self.may_join(now, peer) {
                wanted.insert(host.clone(), peer.member.clone());
            }
        }
        if !self.cluster.is_member {
            wanted.insert(self.cluster.identity.host.clone(), self.own_member());
        }
        wanted.into_values().collect()
    }

    /// Whether another member stays: it does not leave, and most live members hear it.
    fn stays(&self, now: time::Duration, member: &record::Member) -> bool {
        if let Some(peer) = self.peers.get(&member.host)
            && peer.is(member)
            && peer.leaving
        {
            return false;
        }
        if !self.cluster.is_member {
            let is_process = self.peers.get(&member.host).is_some_and(|peer| peer.is(member));
            return is_process && self.hears(now, &member.host);
        }
        let (missing, voters) = self.votes(now, &member.host);
        missing * 2 <= voters
    }

    /// Whether a host that is no member, or a new process of a member, may become a member: it is
    /// heard by most live members, has folded the current epoch, and does not leave.
    fn may_join(&self, now: time::Duration, peer: &peers::Peer) -> bool {
        let host = &peer.member.host;
        if peer.leaving || !self.hears(now, host) || peer.epoch != self.fold.state().epoch {
            return false;
        }
        let listed = self.hosts.entry_hosts().get(host);
        if listed.is_some_and(|entry| entry.state == wire::HostState::Leaving) {
            return false;
        }
        let (missing, voters) = self.votes(now, host);
        missing * 2 <= voters
    }

    /// How many of the live members have not heard `host`, and the number of live members. The
    /// host itself does not count.
    fn votes(&self, now: time::Duration, host: &ids::HostId) -> (usize, usize) {
        let mut voters = 1;
        let mut missing = usize::from(self.misses(now, host));
        for member in &self.fold.state().epoch_record.members {
            let Some(peer) = self.peers.get(&member.host).filter(|peer| peer.is(member)) else {
                continue;
            };
            if member.host == *host || !self.hears(now, &member.host) {
                continue;
            }
            voters += 1;
            missing += usize::from(peer.heard.binary_search(host).is_err());
        }
        (missing, voters)
    }

    /// Whether the workers with owners differ from those that should have one. They are compared
    /// when either may have changed, and now and then because workers are forgotten in time.
    fn workers_changed(&mut self, now: time::Duration) -> bool {
        if self.proposals.compare_at.is_none_or(|at| now >= at) {
            self.hosts.forget_workers(now, FORGET_WORKER);
            self.proposals.workers_changed = self.compare_workers();
            self.proposals.compare_at = Some(now + COMPARE_INTERVAL);
        }
        self.proposals.workers_changed
    }

    fn compare_workers(&self) -> bool {
        if !self.hosts.is_known() {
            return false;
        }
        let owners = &self.fold.state().epoch_record.owners;
        for (worker, entry) in self.hosts.workers() {
            if entry.state == wire::HostState::Live && !owners.contains_key(worker) {
                return true;
            }
        }
        owners.keys().any(|worker| self.is_forgotten(worker))
    }

    /// Whether a worker that has an owner is missing from the host list for long. A worker that
    /// this process never saw in the list counts from when the list was first received.
    fn is_forgotten(&self, worker: &str) -> bool {
        self.hosts.worker(worker).is_none() && self.hosts.is_settled(self.last_tick, FORGET_WORKER)
    }

    fn proposal(
        &mut self,
        now: time::Duration,
        members: Vec<record::Member>,
    ) -> record::EpochRecord {
        let owners = self.wanted_owners(now, &members);
        record::EpochRecord {
            base_epoch: self.fold.state().epoch,
            members,
            owners,
            proposer: self.cluster.identity.host.clone(),
            proposal_id: self.random.random(),
        }
    }

    /// The owners of the workers under the wanted members.
    fn wanted_owners(
        &self,
        now: time::Duration,
        members: &[record::Member],
    ) -> collections::BTreeMap<ids::WorkerId, ids::HostId> {
        let mut candidates = Vec::with_capacity(members.len());
        for member in members {
            candidates.push(assign::Candidate {
                host: member.host.clone(),
                availability_zone: member.availability_zone.clone(),
            });
        }
        let current = self.current_owners(now);
        let mut loads = Vec::new();
        for (worker, entry) in self.hosts.workers() {
            if entry.state == wire::HostState::Live || current.contains_key(worker) {
                loads.push(load_of(worker, Some(entry)));
            }
        }
        for worker in current.keys() {
            if !self.hosts.workers().contains_key(worker) && !self.is_forgotten(worker) {
                loads.push(load_of(worker, self.hosts.worker(worker)));
            }
        }
        assign::owners(&candidates, &loads, &current)
    }

    /// The owners by the current epoch, and those to which workers were handed over since.
    fn current_owners(
        &self,
        now: time::Duration,
    ) -> collections::BTreeMap<ids::WorkerId, ids::HostId> {
        let mut owners = self.fold.state().epoch_record.owners.clone();
        let mut tokens = collections::BTreeMap::new();
        let me = &self.cluster.identity.host;
        for (worker, token) in self.handed_workers() {
            tokens.insert(worker, (token, me));
        }
        for (host, peer) in &self.peers {
            if !self.hears(now, host) || !self.cluster.member_hosts.contains(host) {
                continue;
            }
            for (worker, token) in &peer.owned {
                let held = tokens.get(worker).map(|(token, _)| *token);
                if held.is_none_or(|held| *token > held) {
                    tokens.insert(worker.clone(), (*token, host));
                }
            }
        }
        for (worker, (token, host)) in tokens {
            // Without a handoff within the epoch, the record says who owns the worker.
            let handed = token.epoch == self.fold.state().epoch && token.handoff_seq > 0;
            if handed && owners.contains_key(&worker) {
                owners.insert(worker, host.clone());
            }
        }
        owners
    }

    /// To whom this host hands its workers when it leaves without a new epoch: the same
    /// assignment over the other members that live and stay.
    pub(super) fn leaving_receivers(
        &self,
        now: time::Duration,
    ) -> collections::BTreeMap<ids::WorkerId, ids::HostId> {
        let mut members = Vec::new();
        for member in &self.fold.state().epoch_record.members {
            let Some(peer) = self.peers.get(&member.host).filter(|peer| peer.is(member)) else {
                continue;
            };
            if self.hears(now, &member.host) && !peer.leaving {
                members.push(member.clone());
            }
        }
        self.wanted_owners(now, &members)
    }
}

fn load_of(worker: &ids::WorkerId, entry: Option<&wire::HostEntry>) -> assign::Load {
    assign::Load {
        worker: worker.clone(),
        availability_zone: entry.map(|entry| entry.availability_zone.clone()).unwrap_or_default(),
        units: entry.map_or(1, |entry| assign::units(&entry.resources)),
    }
}
