//! Wire types of the platform interfaces: log, host list and workers.

use std::sync;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{body, ids, resources, task};

/// The response of the log to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The offset of the new record.
    pub offset: ids::Offset,
}

/// A record as the log returns it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    pub offset: ids::Offset,
    /// The age of the record in milliseconds.
    pub age_ms: u64,
    /// The bytes of the record as base64.
    pub data: String,
}

/// The response of the log to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The offset of the oldest retained record.
    pub earliest: ids::Offset,
    /// The offset of the next appended record.
    pub next: ids::Offset,
    /// Records in ascending order of offset.
    pub records: Vec<LogRecord>,
}

/// The role of a host in the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// An entry host, which runs `pierd`.
    #[display("entry")]
    Entry,
    /// A worker, which runs tasks.
    #[display("worker")]
    Worker,
}

/// The lifecycle state of a host in the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is in service.
    #[display("live")]
    Live,
    /// The host is draining: it leaves soon and must get no new work.
    #[display("leaving")]
    Leaving,
}

/// An entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    pub id: ids::HostId,
    pub role: HostRole,
    pub state: HostState,
    /// The availability zone in which the host is located.
    pub availability_zone: ids::ZoneId,
    /// The rack in which the host is located.
    pub rack: ids::RackId,
    /// `ip:port` of the peer interface for an entry host, the base URL (`http://ip:port/path`) for
    /// a worker.
    pub address: sync::Arc<str>,
    /// The total resources of a worker; zero for an entry host.
    #[serde(default)]
    pub resources: resources::Resources,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The age of the list in milliseconds, as the platform reports it.
    pub age_ms: u64,
    pub hosts: Vec<HostEntry>,
}

/// How a worker runs a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartKind {
    /// The call blocks until the task ends and returns its response.
    #[display("answer")]
    Answer,
    /// The call returns as soon as the task has started.
    #[display("run")]
    Run,
}

/// A request to a worker to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    pub task: ids::TaskId,
    pub attempt: ids::Attempt,
    /// The fencing token of the worker's owner.
    pub token: task::FencingToken,
    /// The duration of the lease in milliseconds. The worker stops the task if the lease is not
    /// renewed within this time.
    pub lease_ms: u64,
    /// The resources that the task occupies.
    pub resources: resources::Resources,
    pub kind: StartKind,
    /// Metadata that the worker stores with the task and returns in its task lists.
    pub labels: task::TaskLabels,
    /// The input of the task.
    pub payload: body::Body,
}

/// The response of a worker to a start of kind [`StartKind::Answer`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskAnswer {
    /// The task id of the request.
    pub task: ids::TaskId,
    /// The attempt number of the request.
    pub attempt: ids::Attempt,
    /// How the attempt ended.
    pub outcome: task::EndKind,
    /// The complete response.
    pub body: body::Body,
}

/// The response of a worker to a start of kind [`StartKind::Run`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStarted {
    /// The task id of the request.
    pub task: ids::TaskId,
    /// The attempt number of the request.
    pub attempt: ids::Attempt,
    /// Always true.
    pub started: bool,
}

/// Why a worker refused a request. The HTTP status of the response is 409.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerRefusalKind {
    /// The fencing token is smaller than the largest that the worker has seen.
    #[display("stale_token")]
    StaleToken,
    /// The free resources of the worker do not suffice for the task.
    #[display("no_room")]
    NoRoom,
    /// The same attempt of the task is running or has ended.
    #[display("duplicate")]
    Duplicate,
    /// The worker is draining.
    #[display("leaving")]
    Leaving,
    /// The worker does not know the task.
    #[display("unknown_task")]
    UnknownTask,
}

/// The refusal of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRefusal {
    /// The reason for the refusal.
    pub error: WorkerRefusalKind,
}

/// A request to a worker to refuse smaller fencing tokens from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    pub token: task::FencingToken,
}

/// A running task in the task list of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    pub task: ids::TaskId,
    pub attempt: ids::Attempt,
    /// The resources that the start request reserved for the task.
    pub resources: resources::Resources,
    /// The labels of the start request.
    pub labels: task::TaskLabels,
    /// The resources that the task actually uses.
    pub resources_used: resources::Resources,
    /// The remaining time of the lease in milliseconds.
    pub lease_left_ms: u64,
}

/// An attempt that ended on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    pub task: ids::TaskId,
    pub attempt: ids::Attempt,
    pub outcome: task::EndKind,
}

/// The running tasks and the recently ended attempts of a worker.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTasks {
    pub running: Vec<RunningTask>,
    /// The attempts that ended in the last minutes.
    pub ended: Vec<EndedTask>,
}

/// A status report of a worker. It is out of date by its age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The age of the report in milliseconds.
    pub as_of_age_ms: u64,
    /// The total resources of the worker.
    pub resources: resources::Resources,
    /// The tasks of the worker at the time of the report.
    #[serde(flatten)]
    pub tasks: WorkerTasks,
}

/// The renewal of one task's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRenewal {
    pub task: ids::TaskId,
    pub attempt: ids::Attempt,
    /// The time from receipt of the renewal to the expiry of the lease, in milliseconds.
    pub lease_ms: u64,
}

/// A request to a worker to renew leases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewLeases {
    /// The fencing token of the worker's owner.
    pub token: task::FencingToken,
    pub tasks: Vec<LeaseRenewal>,
}

/// The response of a worker to a renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeasesRenewed {
    /// The running attempts whose leases were renewed.
    pub renewed: Vec<(ids::TaskId, ids::Attempt)>,
    /// The attempts that have ended, and how. Unlike those of a report, they are up to date.
    #[serde(default)]
    pub ended: Vec<EndedTask>,
    /// The attempts that the worker does not know.
    pub missing: Vec<(ids::TaskId, ids::Attempt)>,
}
