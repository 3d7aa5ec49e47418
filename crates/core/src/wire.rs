//! Wire types of the platform: log, host list and workers.

use std::sync;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{body, ids, resources, task};

/// The answer of the log to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The position of the new record.
    pub offset: ids::Offset,
}

/// A record of the log as it is read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The position of the record.
    pub offset: ids::Offset,
    /// The age of the record in milliseconds.
    pub age_ms: u64,
    /// The record's bytes in base64.
    pub data: String,
}

/// The answer of the log to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The position of the oldest record that is kept.
    pub earliest: ids::Offset,
    /// The position that the next append will get.
    pub next: ids::Offset,
    /// Records in ascending order of position.
    pub records: Vec<LogRecord>,
}

/// What a host of the host list is.
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

/// Whether a host of the host list stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host stays.
    #[display("live")]
    Live,
    /// The host leaves soon and must get no new work.
    #[display("leaving")]
    Leaving,
}

/// A host of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The host's id.
    pub id: ids::HostId,
    /// What the host is.
    pub role: HostRole,
    /// Whether the host stays.
    pub state: HostState,
    /// The availability zone in which the host stands.
    pub availability_zone: ids::ZoneId,
    /// The rack in which the host stands.
    pub rack: ids::RackId,
    /// The address: `ip:port` of the peer interface for an entry host, the base of the HTTP
    /// address (`http://ip:port/path`) for a worker.
    pub address: sync::Arc<str>,
    /// What a worker has; zero for an entry host.
    #[serde(default)]
    pub resources: resources::Resources,
}

/// The host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The age of the list in milliseconds, as the platform states it.
    pub age_ms: u64,
    /// The hosts.
    pub hosts: Vec<HostEntry>,
}

/// How a worker runs a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartKind {
    /// The call is held until the task ends and returns its answer.
    #[display("answer")]
    Answer,
    /// The call returns when the task has started.
    #[display("run")]
    Run,
}

/// A request to a worker to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// The task's id.
    pub task: ids::TaskId,
    /// The number of the attempt.
    pub attempt: ids::Attempt,
    /// The fencing token of the worker's owner.
    pub token: task::FencingToken,
    /// After how many milliseconds without renewal the worker stops the task.
    pub lease_ms: u64,
    /// What the task holds.
    pub resources: resources::Resources,
    /// How the task is run.
    pub kind: StartKind,
    /// What the worker keeps with the task and returns in its lists.
    pub labels: task::TaskLabels,
    /// The task's input.
    pub payload: body::Body,
}

/// The answer of a worker to a start of kind [`StartKind::Answer`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskAnswer {
    /// The task's id, as it was in the request.
    pub task: ids::TaskId,
    /// The number of the attempt, as it was in the request.
    pub attempt: ids::Attempt,
    /// How the attempt ended.
    pub outcome: task::EndKind,
    /// The whole answer.
    pub body: body::Body,
}

/// The answer of a worker to a start of kind [`StartKind::Run`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStarted {
    /// The task's id, as it was in the request.
    pub task: ids::TaskId,
    /// The number of the attempt, as it was in the request.
    pub attempt: ids::Attempt,
    /// Always true.
    pub started: bool,
}

/// Why a worker refused a request. It comes with HTTP status 409.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerRefusalKind {
    /// The token is smaller than the largest that the worker has seen.
    #[display("stale_token")]
    StaleToken,
    /// The worker does not have what the task needs.
    #[display("no_room")]
    NoRoom,
    /// The same attempt of the task is running or has ended.
    #[display("duplicate")]
    Duplicate,
    /// The worker is leaving.
    #[display("leaving")]
    Leaving,
    /// The worker does not know the task.
    #[display("unknown_task")]
    UnknownTask,
}

/// The refusal of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRefusal {
    /// Why it refused.
    pub error: WorkerRefusalKind,
}

/// A request to a worker to refuse smaller tokens from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The token.
    pub token: task::FencingToken,
}

/// A task that a worker runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The task's id.
    pub task: ids::TaskId,
    /// The number of the attempt.
    pub attempt: ids::Attempt,
    /// What the start request said that the task holds.
    pub resources: resources::Resources,
    /// The labels of the start request.
    pub labels: task::TaskLabels,
    /// What the task really uses.
    pub resources_used: resources::Resources,
    /// The milliseconds until the lease lapses.
    pub lease_left_ms: u64,
}

/// A task attempt that ended on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    /// The task's id.
    pub task: ids::TaskId,
    /// The number of the attempt.
    pub attempt: ids::Attempt,
    /// How it ended.
    pub outcome: task::EndKind,
}

/// What a worker runs and what has ended there.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTasks {
    /// The running tasks.
    pub running: Vec<RunningTask>,
    /// The attempts that ended in the last minutes.
    pub ended: Vec<EndedTask>,
}

/// The report of a worker. It lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The age of the report in milliseconds.
    pub as_of_age_ms: u64,
    /// What the worker has.
    pub resources: resources::Resources,
    /// What ran and ended at that time.
    #[serde(flatten)]
    pub tasks: WorkerTasks,
}

/// The renewal of one task's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRenewal {
    /// The task's id.
    pub task: ids::TaskId,
    /// The number of the attempt.
    pub attempt: ids::Attempt,
    /// The milliseconds from receipt until the lease lapses.
    pub lease_ms: u64,
}

/// A request to a worker to renew leases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewLeases {
    /// The fencing token of the worker's owner.
    pub token: task::FencingToken,
    /// The renewals.
    pub tasks: Vec<LeaseRenewal>,
}

/// The answer of a worker to a renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeasesRenewed {
    /// The attempts that run and were renewed.
    pub renewed: Vec<(ids::TaskId, ids::Attempt)>,
    /// The attempts that have ended, and how. Unlike the ends of a report these do not lag.
    #[serde(default)]
    pub ended: Vec<EndedTask>,
    /// The attempts that the worker does not know.
    pub missing: Vec<(ids::TaskId, ids::Attempt)>,
}
