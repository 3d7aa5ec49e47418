//! Reports for operators: status, explanations, conflicts and counters.

use std::sync;
use std::time;

use pier_core::{caller, ids, resources, task};
use serde::{Deserialize, Serialize};

use crate::{cluster, record};

/// A conflict between a change of the declaration and changes that were applied since its base
/// version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The version in force.
    pub version: ids::Version,
    /// The changes of other operators since the base version.
    pub theirs: Vec<record::AuditRecord>,
    /// The differences between the refused declaration and the version in force, one per line.
    pub ours: Vec<String>,
}

/// The state of a host and its view of the cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub host: ids::HostId,
    /// The current epoch on the host.
    pub epoch: ids::Epoch,
    /// Whether the host is a member of the epoch.
    pub is_member: bool,
    /// The version of the declaration in force on the host.
    pub version: ids::Version,
    /// The offset after the last record that the host has folded.
    pub fold_offset: ids::Offset,
    /// The basis of the host's authority to start work.
    pub authority: cluster::Authority,
    /// The milliseconds until the authority ends.
    pub authority_left_ms: u64,
    /// Whether the host cannot reach the log.
    #[serde(rename = "log_away")]
    pub log_unreachable: bool,
    /// Whether the host is shutting down.
    pub leaving: bool,
    /// The members of the epoch.
    pub members: Vec<MemberStatus>,
    /// The workers that the host owns.
    pub workers: Vec<WorkerStatus>,
    pub teams: Vec<TeamStatus>,
    /// The run time and usage statistics of the tasks of each team and queue.
    #[serde(default)]
    pub queues: Vec<QueueStatus>,
    /// The number of requests that wait or run for callers of this host.
    pub requests: u64,
    /// The number of tasks that wait at this host for a worker.
    pub waiting: u64,
    /// The number of unfinished jobs that this host owns.
    pub jobs: u64,
}

/// A member of the epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub host: ids::HostId,
    pub availability_zone: ids::ZoneId,
    /// The milliseconds since a message from the host last arrived; none if never.
    pub heard_ms_ago: Option<u64>,
    /// The number of workers that the epoch assigns to the host.
    pub workers: u64,
}

/// A worker that the host owns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    pub worker: ids::WorkerId,
    pub availability_zone: ids::ZoneId,
    /// Whether the host has taken the worker over.
    pub taken_over: bool,
    /// Whether the worker accepts no new work.
    pub closed: bool,
    /// The number of consecutive failures.
    pub failures: u32,
    /// The total resources of the worker.
    pub total: resources::Resources,
    /// The free resources of the worker.
    pub free: resources::Resources,
    /// The number of tasks that occupy capacity.
    pub tasks: u64,
}

/// The usage and limit of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    pub team: ids::TeamId,
    /// The team's usage on this host's workers.
    pub used_here: resources::Resources,
    /// The part of the team's limit that this host holds as quota.
    pub held_here: resources::Resources,
    /// The team's usage in the whole cell, as far as this host knows.
    pub used: resources::Resources,
    /// The team's limit; none if it is unlimited.
    pub limit: Option<resources::Resources>,
}

/// The run time and usage statistics of the tasks of one team and queue on a host's workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    pub team: ids::TeamId,
    pub queue: ids::QueueId,
    /// The number of runs that ended as done.
    pub runs: u64,
    /// The mean run time, in which recent runs have the largest weight.
    pub run_mean_ms: u64,
    /// The mean absolute deviation of the run time from the mean.
    pub run_deviation_ms: u64,
    /// The number of usage reports.
    pub uses: u64,
    /// The mean usage of the resource that is used most, in percent of the declared size.
    pub use_percent: u64,
}

/// The explanation of the state of a task or job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The task or job in question.
    pub task: ids::TaskId,
    /// The state in a few words.
    pub state: sync::Arc<str>,
    /// The worker on which it runs.
    pub worker: Option<ids::WorkerId>,
    /// Why it waits, unless the limit of the team is the cause.
    pub waits_for: Option<caller::RefusalKind>,
    /// The limit of the team, if the task waits because of it.
    #[serde(default)]
    pub limit: Option<Box<LimitCause>>,
    /// The attempts so far, oldest first, one per line.
    pub tried: Vec<String>,
    /// The address (`ip:port`) of the host that knows more: the owner of the job, or the host that
    /// received the request. None if that is the host that answers.
    #[serde(default, rename = "ask", skip_serializing_if = "Option::is_none")]
    pub ask_address: Option<sync::Arc<str>>,
}

/// The team limit that keeps a task from starting.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitCause {
    pub team: ids::TeamId,
    pub limit: resources::Resources,
    /// The team's usage in the whole cell, as far as this host knows.
    pub used: resources::Resources,
    /// The part of the limit that this host holds as quota.
    pub held_here: resources::Resources,
    /// The resources that the task needs.
    pub needed: resources::Resources,
}

/// The queue wait of a task at the owner of its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    pub class: task::Class,
    /// The time from the task's arrival at the owner to the decision to start it.
    pub waited: time::Duration,
}

/// Counters of a host since its process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests from callers.
    pub requests: u64,
    /// Requests that were answered by a worker.
    pub answered: u64,
    /// Requests that were refused and did not run.
    pub refused_not_run: u64,
    /// Requests with an unknown outcome.
    pub unknown: u64,
    /// Tasks that were started on workers.
    pub starts: u64,
    /// Task preemptions.
    #[serde(rename = "yields")]
    pub preemptions: u64,
    /// Placements that were retried at another owner.
    pub place_retries: u64,
    /// Records appended to the log.
    pub appends: u64,
    /// Epochs read from the log.
    pub epochs: u64,
    /// Workers taken over.
    pub takeovers: u64,
    /// Steps that were skipped because they would have violated an invariant.
    pub invariant_violations: u64,
}
