//! What the control part of the state knows about the cell, for the work part to read.

use std::collections;
use std::sync;
use std::time;

use pier_core::{ids, rendezvous, resources, task, wire};
use serde::{Deserialize, Serialize};

use crate::{message, options, record};

/// A worker as this host knows it.
#[derive(Debug, Clone)]
pub struct WorkerInfo {
    /// The entry of the host list.
    pub entry: wire::HostEntry,
    /// Whether the worker or its zone must get no new work: it is leaving, gone from the host
    /// list, or its zone is out of service.
    pub closed: bool,
    /// The owner of the worker in the current epoch.
    pub owner: Option<ids::HostId>,
    /// The fencing token with which this host may act on the worker; none unless this host owns
    /// the worker and has taken it over.
    pub token: Option<task::FencingToken>,
}

/// What a host tells its peers about its workers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    /// What the workers have free.
    pub room: Room,
    /// What each team uses on the workers, in ascending order of team.
    pub teams: Vec<TeamUsage>,
}

/// What a host's workers that take work have free, and what waits for it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// What all the workers have.
    #[serde(with = "resources::positional")]
    pub total: resources::Resources,
    /// What is free on all the workers.
    #[serde(with = "resources::positional")]
    pub free: resources::Resources,
    /// The largest free amount on one worker, in each dimension.
    #[serde(with = "resources::positional")]
    pub largest_free: resources::Resources,
    /// The number of tasks that wait at the host.
    pub waiting: u64,
    /// The oldest wait in milliseconds.
    pub oldest_wait_ms: u64,
}

/// What a team uses on the workers of a host. In a message it is the list of its fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "TeamUsageFields", from = "TeamUsageFields")]
pub struct TeamUsage {
    /// The team.
    pub team: ids::TeamId,
    /// What its tasks hold.
    pub used: resources::Resources,
    /// Its decayed usage: the integral of the dominant share in parts per million of the cell,
    /// divided by the half-life.
    pub decayed_ppm: u64,
}

type TeamUsageFields = (ids::TeamId, [u64; resources::DIMENSIONS], u64);

impl From<TeamUsage> for TeamUsageFields {
    fn from(usage: TeamUsage) -> Self {
        (usage.team, usage.used.to_array(), usage.decayed_ppm)
    }
}

impl From<TeamUsageFields> for TeamUsage {
    fn from((team, used, decayed_ppm): TeamUsageFields) -> Self {
        Self { team, used: resources::Resources::from_array(used), decayed_ppm }
    }
}

/// What gives a host authority to start work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Authority {
    /// Its view of the log is fresh.
    #[display("fresh")]
    Fresh,
    /// The log is away for every member that lives.
    #[display("outage")]
    Outage,
    /// Nothing; it must not start work.
    #[display("none")]
    None,
}

/// A peer as this host knows it.
#[derive(Debug, Clone)]
pub struct PeerInfo {
    /// The member record of the peer.
    pub member: record::Member,
    /// When the peer was last heard; none if never.
    pub heard_at: Option<time::Duration>,
    /// The peer's last summary.
    pub summary: Summary,
    /// When the room in the summary came; none if never.
    pub room_at: Option<time::Duration>,
    /// Whether the peer is shutting down.
    pub leaving: bool,
}

impl PeerInfo {
    /// A peer that was never heard.
    pub fn new(member: record::Member) -> Self {
        let summary = Summary::default();
        Self { member, heard_at: None, summary, room_at: None, leaving: false }
    }
}

/// What the control part of the state knows about the cell.
#[derive(Debug, Clone)]
pub struct Cluster {
    /// This host.
    pub me: options::Me,
    /// The current epoch.
    pub epoch: ids::Epoch,
    /// Whether this process is a member of the current epoch.
    pub is_member: bool,
    /// The hosts of the members in ascending order.
    pub member_hosts: Vec<ids::HostId>,
    /// The other hosts that this host knows: the members, and hosts that were heard lately and
    /// are no members yet or no longer. `member_hosts` says which are members.
    pub peers: collections::BTreeMap<ids::HostId, PeerInfo>,
    /// The workers of the host list and of the current epoch.
    pub workers: collections::BTreeMap<ids::WorkerId, WorkerInfo>,
    /// The sum of what all workers have that are not closed.
    pub cell_total: resources::Resources,
    /// The version of the declaration.
    pub version: ids::Version,
    /// The declaration.
    pub declaration: sync::Arc<pier_decl::Declaration>,
    /// The jobs of the fold.
    pub jobs: collections::BTreeMap<ids::JobId, record::JobFold>,
    /// What gives this host authority.
    pub authority: Authority,
    /// Until when the authority lasts.
    pub authority_until: time::Duration,
    /// Whether the log cannot be reached by this host.
    pub log_away: bool,
    /// Whether the takeovers of this host's newly assigned workers are finished.
    pub settled: bool,
    /// The room of the workers whose takeover is held up, while no earlier owner can start anything
    /// on them any more: tasks that still run there use this much at the most. None while that is
    /// not known.
    pub doubt: Option<resources::Resources>,
    /// Whether this host is shutting down.
    pub leaving: bool,
}

impl Cluster {
    /// A cluster of which nothing is known yet.
    pub fn new(me: options::Me) -> Self {
        Self {
            me,
            epoch: 0,
            is_member: false,
            member_hosts: Vec::new(),
            peers: collections::BTreeMap::new(),
            workers: collections::BTreeMap::new(),
            cell_total: resources::Resources::ZERO,
            version: 0,
            declaration: sync::Arc::default(),
            jobs: collections::BTreeMap::new(),
            authority: Authority::None,
            authority_until: time::Duration::ZERO,
            log_away: true,
            settled: false,
            doubt: None,
            leaving: false,
        }
    }

    /// What tasks may use on workers whose takeover is not finished; none while that has no bound.
    pub fn unfinished_room(&self) -> Option<resources::Resources> {
        if self.settled { Some(resources::Resources::ZERO) } else { self.doubt }
    }

    /// Whether this host may start work at `now`.
    pub fn may_start(&self, now: time::Duration) -> bool {
        self.is_member && self.authority != Authority::None && now < self.authority_until
    }

    /// The member that is the home of `key`: the first in rendezvous order. None without members.
    pub fn home_of(&self, key: &str) -> Option<&ids::HostId> {
        rendezvous::ranked(key, &self.member_hosts).into_iter().next()
    }

    /// Whether this host is the home of `key`.
    pub fn is_home_of(&self, key: &str) -> bool {
        self.is_member && self.home_of(key) == Some(&self.me.host)
    }

    /// The effect that sends a message to a host; none if its address is not known.
    pub fn send(&self, to: &ids::HostId, message: message::Message) -> Option<crate::Effect> {
        let peer = self.peers.get(to)?;
        Some(crate::Effect::SendPeer {
            to: to.clone(),
            address: peer.member.peer_address.clone(),
            incarnation: self.me.incarnation,
            message,
        })
    }
}

/// What a worker's new owner starts from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TakeoverBasis {
    /// The list that the worker gave when it was fenced, or the first report after the wait.
    Listed(wire::WorkerTasks),
    /// The ledger that the last owner handed over, and the worker's list.
    Handed {
        /// What the last owner handed over.
        handoff: message::HandoffBody,
        /// The list that the worker gave when it was fenced.
        listed: wire::WorkerTasks,
    },
}

/// A change of the cell that the work part of the state must act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The declaration has a new version.
    Declaration,
    /// A new epoch has begun.
    Epoch {
        /// The hosts of the members of the last epoch that are not members of the new one. A host
        /// that is a member with another process is among them.
        removed: Vec<ids::HostId>,
    },
    /// This host has taken a worker over; `WorkerInfo::token` is set.
    WorkerGained {
        /// The worker.
        worker: ids::WorkerId,
        /// What the new owner starts from.
        basis: TakeoverBasis,
    },
    /// This host no longer owns a worker and has to hand its ledger over. `WorkerInfo::token` is
    /// none from now on.
    WorkerLost {
        /// The worker.
        worker: ids::WorkerId,
        /// The new owner, if it can be handed over.
        to: Option<ids::HostId>,
    },
    /// A worker was closed or opened.
    WorkerStatus {
        /// The worker.
        worker: ids::WorkerId,
    },
    /// The fold has a new or changed job.
    Job {
        /// The job.
        job: ids::JobId,
    },
    /// This host is no longer a member and must drop all that it holds as one.
    Expelled,
}
