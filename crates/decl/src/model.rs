//! The data model of a declaration.

use std::sync;

use derive_more::Display;
use pier_core::{body, ids, keys, resources, task};
use serde::{Deserialize, Serialize};

/// The complete declaration of a cell. It is applied atomically.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Declaration {
    /// The name of the cell.
    pub cell: sync::Arc<str>,
    /// The scheduling policy.
    pub policy: PolicyDecl,
    /// The availability zones. An unlisted zone is in service.
    pub availability_zones: Vec<ZoneDecl>,
    pub teams: Vec<TeamDecl>,
    pub queues: Vec<QueueDecl>,
    pub services: Vec<ServiceDecl>,
    /// The batch and gang jobs, each of which runs once.
    pub jobs: Vec<JobDecl>,
}

impl Declaration {
    /// Returns the team with this name; `None` if it is not declared.
    pub fn team(&self, name: &str) -> Option<&TeamDecl> {
        self.teams.iter().find(|team| &*team.name == name)
    }

    /// Returns the queue with this name; `None` if it is not declared.
    pub fn queue(&self, name: &str) -> Option<&QueueDecl> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }

    /// Whether the availability zone accepts work, as an undeclared zone does.
    pub fn is_zone_in_service(&self, name: &str) -> bool {
        let zone = self.availability_zones.iter().find(|zone| &*zone.name == name);
        zone.is_none_or(|zone| zone.status == ZoneStatus::In)
    }
}

/// The scheduling policy of a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicyDecl {
    /// The name of a registered policy.
    pub name: sync::Arc<str>,
    /// The weight of waiting time against fairness between teams, in percent.
    pub waiting_weight_percent: u32,
    /// The half-life of the decaying usage that is compared with the shares, in milliseconds.
    pub share_half_life_ms: u64,
}

impl Default for PolicyDecl {
    fn default() -> Self {
        Self { name: "fair".into(), waiting_weight_percent: 50, share_half_life_ms: 300_000 }
    }
}

/// Whether an availability zone accepts work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneStatus {
    /// The zone accepts work.
    #[default]
    #[display("in")]
    In,
    /// The zone is drained and gets no new work.
    #[display("out")]
    Out,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneDecl {
    pub name: ids::ZoneId,
    #[serde(default)]
    pub status: ZoneStatus,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamDecl {
    pub name: ids::TeamId,
    /// The weight of the team in the division of a full cell.
    pub share: u32,
    /// The maximum resources of all running tasks of the team in the whole cell; `None` for no
    /// limit. An omitted dimension is zero, so a limit must include every dimension that the team
    /// uses.
    #[serde(default)]
    pub limit: Option<resources::Resources>,
    /// The API keys of the team. Removing a key from the list revokes it.
    #[serde(default)]
    pub keys: Vec<KeyDecl>,
}

/// An API key of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyDecl {
    /// The public id of the key.
    pub id: ids::KeyId,
    /// The SHA-256 hash of the key in hexadecimal digits.
    pub sha256: keys::KeyHash,
}

/// A queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueDecl {
    pub name: ids::QueueId,
    /// The class of work that the queue accepts.
    pub class: task::Class,
    /// The teams that may use the queue. An empty list allows every team.
    #[serde(default)]
    pub teams: Vec<ids::TeamId>,
    /// The team that requests without an API key are charged to; `None` if the queue requires a
    /// key.
    #[serde(default)]
    pub open_for: Option<ids::TeamId>,
    /// The resources that a request of the queue occupies while it runs.
    pub resources: resources::Resources,
    /// The maximum time that a request may wait for its start, in milliseconds.
    #[serde(default = "default_max_wait_ms")]
    pub max_wait_ms: u64,
    /// The expected run time of a request in milliseconds; zero if unknown.
    #[serde(default)]
    pub run_estimate_ms: u64,
    /// The maximum number of requests of the queue that wait on one host.
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

/// The failure domains over which the tasks of a service are spread.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    /// Availability zones first, then racks.
    #[default]
    #[display("availability_zone")]
    AvailabilityZone,
    /// Racks only.
    #[display("rack")]
    Rack,
}

/// A service that is kept running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDecl {
    pub name: ids::JobId,
    /// The team that the service is charged to.
    pub team: ids::TeamId,
    /// The number of tasks that are kept running.
    pub replicas: u32,
    /// The resources that each task occupies.
    pub resources: resources::Resources,
    /// The failure domains over which the tasks are spread.
    #[serde(default)]
    pub spread: Spread,
    /// The input of each task.
    #[serde(default)]
    pub payload: String,
}

impl ServiceDecl {
    /// Returns the input of each task as bytes.
    pub fn to_payload(&self) -> body::Body {
        body::Body::from(self.payload.as_str())
    }
}

/// A batch or gang job that runs once after it has been declared.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobDecl {
    /// The name of the job. A job whose name has already run does not run again.
    pub name: ids::JobId,
    /// The team that the job is charged to.
    pub team: ids::TeamId,
    /// The job as a caller would submit it.
    pub job: pier_core::caller::JobRequest,
}
