//! Membership: what the next epoch should contain, and which host proposes it when.

use std::collections;
use std::time;

use pier_core::{ids, rendezvous, wire};
use rand::Rng;

use super::{Control, assign, peers};
use crate::record;

/// How long a change is held back, so that changes that come together make one epoch.
const SETTLE_DELAY: time::Duration = time::Duration::from_millis(200);
/// The same for the first epoch, whose members have yet to hear from each other.
const FIRST_SETTLE_DELAY: time::Duration = time::Duration::from_millis(600);
/// How long a worker is missing from the host list before it loses its owner. It is longer than the
/// lag of the list and the leases of the tasks on the worker.
const FORGET_WORKER_AFTER: time::Duration = time::Duration::from_secs(120);

/// For how many lags of the host list the members must be silent before a host that is no member
/// proposes although the list still shows some of them.
const MIN_SILENCE_LAGS: u32 = 3;

/// The interval between comparisons of the workers with the owners when neither has changed.
const COMPARE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The state of proposing epochs.
#[derive(Debug, Default)]
pub(super) struct Proposals {
    /// Since when the wanted members or workers differ from those of the current epoch.
    wanted_since: Option<time::Duration>,
    /// When the workers of the host list are next compared with the owners; none for at once.
    compare_at: Option<time::Duration>,
    workers_changed: bool,
}

impl Proposals {
    /// Restarts the settle delay.
    fn reset(&mut self) {
        self.wanted_since = None;
    }

    /// Compares the workers again after a new epoch or host list. A new epoch also restarts the
    /// settle delay.
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
        // A proposal that is based on an epoch which a peer has already left would be void.
        if self.is_behind(now) {
            self.reader.schedule_now(now);
            return;
        }
        let members = self.wanted_members(now);
        let workers_changed = self.workers_changed(now);
        let changed = workers_changed || members != self.fold.state().epoch_record.members;
        let Some(rank) = self.proposer_rank(now, &members).filter(|_| changed) else {
            self.proposals.reset();
            return;
        };
        let since = *self.proposals.wanted_since.get_or_insert(now);
        let is_first = self.fold.state().epoch_record.members.is_empty();
        let settle = if is_first { FIRST_SETTLE_DELAY } else { SETTLE_DELAY };
        if !fresh || now.saturating_sub(since) < settle + self.options.propose_step * rank {
            return;
        }
        let proposal = self.proposal(now, members);
        self.appender.push(record::Entry::Epoch(proposal));
    }

    /// Whether this host may propose at all: it is a member, or there is no epoch yet, or no member
    /// is heard and either all have ended, those missing from the host list for longer than its
    /// lag, or at least half have ended and this host has listened for `MIN_SILENCE_LAGS` lags.
    fn may_propose(&self, now: time::Duration) -> bool {
        if self.cluster.is_member {
            return true;
        }
        if self.fold.state().epoch_record.members.is_empty() {
            return self.hosts.has_list();
        }
        let mut dead = 0;
        let mut long_gone = 0;
        let members = &self.fold.state().epoch_record.members;
        let lag = self.options.host_list_lag;
        for member in members {
            let is_same_process =
                self.peers.get(&member.host).is_some_and(|peer| peer.matches(member));
            if is_same_process && self.heard_recently(now, &member.host) {
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
        dead * 2 >= members.len() && self.has_listened_for(now, lag * MIN_SILENCE_LAGS)
    }

    /// Whether a peer that was heard recently has folded a later epoch.
    fn is_behind(&self, now: time::Duration) -> bool {
        let epoch = self.fold.state().epoch;
        self.peers.iter().any(|(host, peer)| peer.epoch > epoch && self.heard_recently(now, host))
    }

    /// Whether this host has listened for at least `span` in the current epoch.
    fn has_listened_for(&self, now: time::Duration, span: time::Duration) -> bool {
        now.saturating_sub(self.listening_since.max(self.epoch_folded_at)) >= span
    }

    /// The rank of this host among the eligible proposers; none if it is not eligible.
    fn proposer_rank(&self, now: time::Duration, members: &[record::Member]) -> Option<u32> {
        let key = self.fold.state().epoch.to_string();
        let mut hosts = Vec::new();
        for member in members {
            let is_eligible = !self.cluster.is_member
                || self.cluster.member_hosts.contains(&member.host)
                    && (member.host == self.cluster.identity.host
                        || self.heard_recently(now, &member.host));
            if is_eligible {
                hosts.push(member.host.clone());
            }
        }
        let ranked = rendezvous::ranked(&key, &hosts);
        let rank = ranked.iter().position(|host| **host == self.cluster.identity.host)?;
        u32::try_from(rank).ok()
    }

    /// The members that the next epoch should have, in ascending order of host.
    fn wanted_members(&self, now: time::Duration) -> Vec<record::Member> {
        let mut wanted = collections::BTreeMap::new();
        for member in &self.fold.state().epoch_record.members {
            let mut member = member.clone();
            if member.host == self.cluster.identity.host {
                member = self.own_member();
            } else if !self.may_stay(now, &member) {
                continue;
            }
            if let Some(peer) = self.peers.get(&member.host)
                && !peer.matches(&member)
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

    /// Whether another member stays in the next epoch: it is not leaving, and at least half of the
    /// live members hear it.
    fn may_stay(&self, now: time::Duration, member: &record::Member) -> bool {
        if let Some(peer) = self.peers.get(&member.host)
            && peer.matches(member)
            && peer.leaving
        {
            return false;
        }
        if !self.cluster.is_member {
            let is_same_process =
                self.peers.get(&member.host).is_some_and(|peer| peer.matches(member));
            return is_same_process && self.heard_recently(now, &member.host);
        }
        let (not_heard, voters) = self.votes(now, &member.host);
        not_heard * 2 <= voters
    }

    /// Whether a host that is no member, or a new process of a member, may become a member: at
    /// least half of the live members hear it, it has folded the current epoch, and it is not
    /// leaving.
    fn may_join(&self, now: time::Duration, peer: &peers::Peer) -> bool {
        let host = &peer.member.host;
        if peer.leaving || !self.heard_recently(now, host) || peer.epoch != self.fold.state().epoch
        {
            return false;
        }
        let listed = self.hosts.entry_hosts().get(host);
        if listed.is_some_and(|entry| entry.state == wire::HostState::Leaving) {
            return false;
        }
        let (not_heard, voters) = self.votes(now, host);
        not_heard * 2 <= voters
    }

    /// Returns how many of the live members have not heard from `host`, and the number of live
    /// members. The host itself does not count.
    fn votes(&self, now: time::Duration, host: &ids::HostId) -> (usize, usize) {
        let mut voters = 1;
        let mut not_heard = usize::from(self.suspects(now, host));
        for member in &self.fold.state().epoch_record.members {
            let Some(peer) = self.peers.get(&member.host).filter(|peer| peer.matches(member))
            else {
                continue;
            };
            if member.host == *host || !self.heard_recently(now, &member.host) {
                continue;
            }
            voters += 1;
            not_heard += usize::from(peer.heard.binary_search(host).is_err());
        }
        (not_heard, voters)
    }

    /// Whether the workers with owners differ from those that should have one. They are compared
    /// when either may have changed, and at `COMPARE_INTERVAL` because missing workers are dropped
    /// after a time.
    fn workers_changed(&mut self, now: time::Duration) -> bool {
        if self.proposals.compare_at.is_none_or(|at| now >= at) {
            self.hosts.drop_missing_workers(now, FORGET_WORKER_AFTER);
            self.proposals.workers_changed = self.compare_workers();
            self.proposals.compare_at = Some(now + COMPARE_INTERVAL);
        }
        self.proposals.workers_changed
    }

    fn compare_workers(&self) -> bool {
        if !self.hosts.has_list() {
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

    /// Whether a worker that has an owner has been missing from the host list for
    /// `FORGET_WORKER_AFTER`. For a worker that this process never saw in the list the time counts
    /// from the first list.
    fn is_forgotten(&self, worker: &str) -> bool {
        self.hosts.worker(worker).is_none()
            && self.hosts.has_lists_for(self.last_tick, FORGET_WORKER_AFTER)
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

    /// The owners that the workers get with the wanted members.
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
                loads.push(worker_load(worker, Some(entry)));
            }
        }
        for worker in current.keys() {
            if !self.hosts.workers().contains_key(worker) && !self.is_forgotten(worker) {
                loads.push(worker_load(worker, self.hosts.worker(worker)));
            }
        }
        assign::owners(&candidates, &loads, &current)
    }

    /// The owners by the record of the current epoch, corrected by the handoffs since.
    fn current_owners(
        &self,
        now: time::Duration,
    ) -> collections::BTreeMap<ids::WorkerId, ids::HostId> {
        let mut owners = self.fold.state().epoch_record.owners.clone();
        let mut tokens = collections::BTreeMap::new();
        let me = &self.cluster.identity.host;
        for (worker, token) in self.workers_held_by_handoff() {
            tokens.insert(worker, (token, me));
        }
        for (host, peer) in &self.peers {
            if !self.heard_recently(now, host) || !self.cluster.member_hosts.contains(host) {
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
            // Without a handoff within the epoch, the record names the owner of the worker.
            let handed = token.epoch == self.fold.state().epoch && token.handoff_seq > 0;
            if handed && owners.contains_key(&worker) {
                owners.insert(worker, host.clone());
            }
        }
        owners
    }

    /// The hosts to which this host hands its workers when it leaves without a new epoch: the same
    /// assignment over the other members that are alive and not leaving.
    pub(super) fn leaving_receivers(
        &self,
        now: time::Duration,
    ) -> collections::BTreeMap<ids::WorkerId, ids::HostId> {
        let mut members = Vec::new();
        for member in &self.fold.state().epoch_record.members {
            let Some(peer) = self.peers.get(&member.host).filter(|peer| peer.matches(member))
            else {
                continue;
            };
            if self.heard_recently(now, &member.host) && !peer.leaving {
                members.push(member.clone());
            }
        }
        self.wanted_owners(now, &members)
    }
}

fn worker_load(worker: &ids::WorkerId, entry: Option<&wire::HostEntry>) -> assign::WorkerLoad {
    assign::WorkerLoad {
        worker: worker.clone(),
        availability_zone: entry.map(|entry| entry.availability_zone.clone()).unwrap_or_default(),
        units: entry.map_or(1, |entry| assign::load_units(&entry.resources)),
    }
}
