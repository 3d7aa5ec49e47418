//! The parts of a declaration.

use std::sync;

use derive_more::Display;
use pier_core::{body, ids, keys, resources, task};
use serde::{Deserialize, Serialize};

/// All that operators declare for a cell. It is applied as a whole.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Declaration {
    /// The name of the cell.
    pub cell: sync::Arc<str>,
    /// How the cell decides what starts next.
    pub policy: PolicyDecl,
    /// The availability zones. A zone that is not listed is in service.
    pub availability_zones: Vec<ZoneDecl>,
    /// The teams.
    pub teams: Vec<TeamDecl>,
    /// The queues.
    pub queues: Vec<QueueDecl>,
    /// The services that are kept running.
    pub services: Vec<ServiceDecl>,
    /// Batch and gang jobs that run once.
    pub jobs: Vec<JobDecl>,
}

impl Declaration {
    /// The team with this name; none if it is not declared.
    pub fn team(&self, name: &str) -> Option<&TeamDecl> {
        self.teams.iter().find(|team| &*team.name == name)
    }

    /// The queue with this name; none if it is not declared.
    pub fn queue(&self, name: &str) -> Option<&QueueDecl> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }

    /// Whether the availability zone takes work. A zone that is not declared does.
    pub fn is_zone_in_service(&self, name: &str) -> bool {
        let zone = self.availability_zones.iter().find(|zone| &*zone.name == name);
        zone.is_none_or(|zone| zone.status == ZoneStatus::In)
    }
}

/// How a cell decides what starts next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicyDecl {
    /// The name of a registered policy.
    pub name: sync::Arc<str>,
    /// Weight of waiting time against share fairness, in percent.
    pub waiting_weight_percent: u32,
    /// Half-life of the usage that counts for shares, in milliseconds.
    pub share_half_life_ms: u64,
}

impl Default for PolicyDecl {
    fn default() -> Self {
        Self { name: "fair".into(), waiting_weight_percent: 50, share_half_life_ms: 300_000 }
    }
}

/// Whether an availability zone takes work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneStatus {
    /// The zone takes work.
    #[default]
    #[display("in")]
    In,
    /// The zone is emptied and gets no new work.
    #[display("out")]
    Out,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneDecl {
    /// The zone's name.
    pub name: ids::ZoneId,
    /// Whether the zone takes work.
    #[serde(default)]
    pub status: ZoneStatus,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamDecl {
    /// The team's name.
    pub name: ids::TeamId,
    /// The team's weight when the cell is full.
    pub share: u32,
    /// The most that the team may have running in the whole cell; none for no limit. A dimension
    /// that is left out is zero, so a limit names every dimension that the team uses.
    #[serde(default)]
    pub limit: Option<resources::Resources>,
    /// The team's keys. A key that is taken off the list is withdrawn.
    #[serde(default)]
    pub keys: Vec<KeyDecl>,
}

/// A key of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyDecl {
    /// The key's public id.
    pub id: ids::KeyId,
    /// The SHA-256 hash of the key in hexadecimal digits.
    pub sha256: keys::KeyHash,
}

/// A queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueDecl {
    /// The queue's name.
    pub name: ids::QueueId,
    /// The kind of work that the queue takes.
    pub class: task::Class,
    /// The teams that may use the queue. An empty list means every team.
    #[serde(default)]
    pub teams: Vec<ids::TeamId>,
    /// The team that pays for requests without a key; none if the queue needs a key.
    #[serde(default)]
    pub open_for: Option<ids::TeamId>,
    /// What a request of the queue holds while it runs.
    pub resources: resources::Resources,
    /// How long a request may wait for its start, in milliseconds.
    #[serde(default = "default_max_wait_ms")]
    pub max_wait_ms: u64,
    /// The expected run time of a request in milliseconds; zero when unknown.
    #[serde(default)]
    pub run_estimate_ms: u64,
    /// How many requests of the queue may wait on one host.
    #[serde(default = "default_backlog")]
    pub backlog: u32,
}

impl QueueDecl {
    /// Whether the team may use the queue.
    pub fn allows_team(&self, team: &ids::TeamId) -> bool {
        self.teams.is_empty() || self.teams.contains(team)
    }
}

fn default_max_wait_ms() -> u64 {
    2_800
}

fn default_backlog() -> u32 {
    1_000
}

/// The kind of place over which the tasks of a service are spread.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    /// Over availability zones first, then racks.
    #[default]
    #[display("availability_zone")]
    AvailabilityZone,
    /// Over racks.
    #[display("rack")]
    Rack,
}

/// A service that is kept running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDecl {
    /// The service's name.
    pub name: ids::JobId,
    /// The team that pays for the service.
    pub team: ids::TeamId,
    /// The number of tasks that are kept running.
    pub replicas: u32,
    /// What each task holds.
    pub resources: resources::Resources,
    /// Over what the tasks are spread.
    #[serde(default)]
    pub spread: Spread,
    /// What each task gets as its input.
    #[serde(default)]
    pub payload: String,
}

impl ServiceDecl {
    /// The input of each task as bytes.
    pub fn to_payload(&self) -> body::Body {
        body::Body::from(self.payload.as_str())
    }
}

/// A batch or gang job that runs once after it was declared.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobDecl {
    /// The job's name. A name that has run once does not run again.
    pub name: ids::JobId,
    /// The team that pays for the job.
    pub team: ids::TeamId,
    /// The job itself.
    pub job: pier_core::caller::JobRequest,
}
