//! The view of the cell that the control state maintains and the work state reads.

use std::collections;
use std::sync;
use std::time;

use pier_core::{ids, rendezvous, resources, task, wire};
use serde::{Deserialize, Serialize};

use crate::{message, options, record};

/// A worker as this host knows it.
#[derive(Debug, Clone)]
pub struct WorkerInfo {
    /// The worker's entry in the host list.
    pub entry: wire::HostEntry,
    /// Whether the worker gets no new work because it is leaving, is no longer in the host list, or
    /// its availability zone is out of service.
    pub closed: bool,
    /// The owner of the worker in the current epoch.
    pub owner: Option<ids::HostId>,
    /// The fencing token for requests to the worker; none unless this host owns the worker and has
    /// taken it over.
    pub token: Option<task::FencingToken>,
}

/// The load and team usage that a host reports to its peers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    pub load: HostLoad,
    /// The usage of each team on the host's workers, in ascending order of team.
    pub teams: Vec<TeamUsage>,
}

/// The capacity of a host's workers that accept work, and the tasks that wait for it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostLoad {
    /// The total resources of these workers.
    #[serde(with = "resources::positional")]
    pub total: resources::Resources,
    /// The free resources of these workers.
    #[serde(with = "resources::positional")]
    pub free: resources::Resources,
    /// For each resource, the largest amount that is free on one worker.
    #[serde(with = "resources::positional")]
    pub largest_free: resources::Resources,
    /// The number of tasks that wait at the host.
    pub waiting: u64,
    /// How long the oldest of these tasks has waited.
    pub oldest_wait_ms: u64,
}

/// The usage of a team on the workers of a host. Serialized as the list of its fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "TeamUsageFields", from = "TeamUsageFields")]
pub struct TeamUsage {
    pub team: ids::TeamId,
    /// The resources that the team's tasks occupy.
    pub used: resources::Resources,
    /// The decayed usage: the integral of the dominant share in parts per million of the cell,
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

/// The basis of a host's authority to start work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Authority {
    /// The host's view of the log is fresh.
    #[display("fresh")]
    Fresh,
    /// No live member can reach the log.
    #[display("outage")]
    Outage,
    /// There is no basis, and the host must not start work.
    #[display("none")]
    None,
}

/// A peer as this host knows it.
#[derive(Debug, Clone)]
pub struct PeerInfo {
    pub member: record::Member,
    /// When a message from the peer last arrived; none if never.
    pub heard_at: Option<time::Duration>,
    /// The peer's last summary.
    pub summary: Summary,
    /// When the load in the summary last arrived; none if never.
    pub load_at: Option<time::Duration>,
    /// Whether the peer is shutting down.
    pub leaving: bool,
}

impl PeerInfo {
    /// Creates the entry of a peer from which no message has arrived.
    pub fn new(member: record::Member) -> Self {
        let summary = Summary::default();
        Self { member, heard_at: None, summary, load_at: None, leaving: false }
    }
}

/// The cell as this host sees it.
#[derive(Debug, Clone)]
pub struct Cluster {
    /// The identity of this host.
    pub identity: options::HostIdentity,
    /// The current epoch of the cell's membership.
    pub epoch: ids::Epoch,
    /// Whether this process is a member of the current epoch.
    pub is_member: bool,
    /// The hosts of the members in ascending order.
    pub member_hosts: Vec<ids::HostId>,
    /// The other members, and other hosts from which messages arrived recently: hosts that are not
    /// members yet or no longer. `member_hosts` lists the members.
    pub peers: collections::BTreeMap<ids::HostId, PeerInfo>,
    /// The workers of the host list and of the current epoch.
    pub workers: collections::BTreeMap<ids::WorkerId, WorkerInfo>,
    /// The total resources of the workers that are not closed.
    pub cell_total: resources::Resources,
    /// The version of the declaration in force.
    pub version: ids::Version,
    pub declaration: sync::Arc<pier_decl::Declaration>,
    /// The jobs in the folded log.
    pub jobs: collections::BTreeMap<ids::JobId, record::JobFold>,
    /// The basis of this host's authority to start work.
    pub authority: Authority,
    /// The time at which the authority ends.
    pub authority_until: time::Duration,
    /// Whether this host cannot reach the log.
    pub log_unreachable: bool,
    /// Whether the takeovers of the workers newly assigned to this host are finished.
    pub settled: bool,
    /// The total resources of the workers whose takeover is held up although their earlier owners
    /// can no longer start tasks there. This bounds what the tasks that still run there use. None
    /// if there is no such bound yet.
    pub uncertain_usage: Option<resources::Resources>,
    /// Whether this host is shutting down.
    pub leaving: bool,
}

impl Cluster {
    /// Creates the view of a process that has just started and knows nothing of the cell.
    pub fn new(identity: options::HostIdentity) -> Self {
        Self {
            identity,
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
            log_unreachable: true,
            settled: false,
            uncertain_usage: None,
            leaving: false,
        }
    }

    /// The upper bound of what tasks use on workers whose takeover is not finished; none if there
    /// is no bound yet.
    pub fn unsettled_usage(&self) -> Option<resources::Resources> {
        if self.settled { Some(resources::Resources::ZERO) } else { self.uncertain_usage }
    }

    /// Whether this host may start work at `now`.
    pub fn may_start(&self, now: time::Duration) -> bool {
        self.is_member && self.authority != Authority::None && now < self.authority_until
    }

    /// The member that is the home of `key`: the first one in rendezvous order. None if there are
    /// no members.
    pub fn home_of(&self, key: &str) -> Option<&ids::HostId> {
        rendezvous::ranked(key, &self.member_hosts).into_iter().next()
    }

    /// Whether this host is the home of `key`.
    pub fn is_home_of(&self, key: &str) -> bool {
        self.is_member && self.home_of(key) == Some(&self.identity.host)
    }

    /// Returns the effect that sends a message to a peer; none if the peer is not known.
    pub fn send(&self, to: &ids::HostId, message: message::Message) -> Option<crate::Effect> {
        let peer = self.peers.get(to)?;
        Some(crate::Effect::SendPeer {
            to: to.clone(),
            address: peer.member.peer_address.clone(),
            incarnation: self.identity.incarnation,
            message,
        })
    }
}

/// The information from which a new owner of a worker rebuilds its tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TakeoverBasis {
    /// The list that the worker returned when it was fenced, or its first report after the wait for
    /// a takeover.
    Listed(wire::WorkerTasks),
    /// The tasks that the previous owner handed over, and the worker's list.
    HandedOver {
        handoff: message::HandoffBody,
        /// The list that the worker returned when it was fenced.
        listed: wire::WorkerTasks,
    },
}

/// A change of the cell that the work state must apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A new version of the declaration is in force.
    Declaration,
    /// A new epoch started.
    Epoch {
        /// The hosts whose member process of the previous epoch is not a member of the new one. A
        /// host that is now a member with another process is included.
        removed: Vec<ids::HostId>,
    },
    /// This host took over a worker; `WorkerInfo::token` is set.
    WorkerGained { worker: ids::WorkerId, basis: TakeoverBasis },
    /// This host no longer owns a worker and must hand over its tasks. `WorkerInfo::token` is none
    /// from now on.
    WorkerLost {
        worker: ids::WorkerId,
        /// The new owner, if the worker can be handed over.
        to: Option<ids::HostId>,
    },
    /// A worker became closed or open.
    WorkerStatus { worker: ids::WorkerId },
    /// A job in the folded log is new or has changed.
    Job { job: ids::JobId },
    /// This host is no longer a member and must drop all state that it holds as a member.
    Expelled,
}
