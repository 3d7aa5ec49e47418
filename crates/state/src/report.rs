//! What operators are shown.

use std::sync;
use std::time;

use pier_core::{caller, ids, resources, task};
use serde::{Deserialize, Serialize};

use crate::{cluster, record};

/// The two changes of a conflict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The version that is in force.
    pub version: ids::Version,
    /// The changes of the other operators since the base version.
    pub theirs: Vec<record::AuditRecord>,
    /// The changes that were refused, against the version in force, a line each.
    pub ours: Vec<String>,
}

/// The state of a host and what it knows of the cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The host.
    pub host: ids::HostId,
    /// The epoch.
    pub epoch: ids::Epoch,
    /// Whether the host is a member of the epoch.
    pub is_member: bool,
    /// The version of the declaration in force on the host.
    pub version: ids::Version,
    /// The position after the last record that the host has folded.
    pub fold_offset: ids::Offset,
    /// What gives the host authority to start work.
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
    /// The teams.
    pub teams: Vec<TeamStatus>,
    /// What the host has learnt of the tasks of each team and queue.
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
    /// The host.
    pub host: ids::HostId,
    /// The host's availability zone.
    pub availability_zone: ids::ZoneId,
    /// The milliseconds since the host was heard; none if never.
    pub heard_ms_ago: Option<u64>,
    /// The number of workers that the host owns by the epoch.
    pub workers: u64,
}

/// A worker that the host owns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// The worker.
    pub worker: ids::WorkerId,
    /// The worker's availability zone.
    pub availability_zone: ids::ZoneId,
    /// Whether the host has taken the worker over.
    pub taken_over: bool,
    /// Whether the worker takes no new work.
    pub closed: bool,
    /// The number of failures in a row.
    pub failures: u32,
    /// What the worker has.
    pub total: resources::Resources,
    /// What is free.
    pub free: resources::Resources,
    /// The number of tasks that hold room.
    pub tasks: u64,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// The team.
    pub team: ids::TeamId,
    /// What the team uses on this host's workers.
    pub used_here: resources::Resources,
    /// What this host holds of the team's limit.
    pub held_here: resources::Resources,
    /// What the team uses in the whole cell, as far as this host knows.
    pub used: resources::Resources,
    /// The limit; none if there is none.
    pub limit: Option<resources::Resources>,
}

/// What a host has learnt of the tasks of one team and queue on its workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// The team.
    pub team: ids::TeamId,
    /// The queue.
    pub queue: ids::QueueId,
    /// The number of runs that ended as done.
    pub runs: u64,
    /// The mean run time in milliseconds, in which late runs weigh most.
    pub run_mean_ms: u64,
    /// The mean distance of a run time from the mean, in milliseconds.
    pub run_deviation_ms: u64,
    /// The number of reports of what a task uses.
    pub uses: u64,
    /// The mean use in the dimension that is used most, in percent of the declared size.
    pub use_percent: u64,
}

/// What is known of a task or job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The task or job that was asked for.
    pub task: ids::TaskId,
    /// Where it stands, in a few words.
    pub state: sync::Arc<str>,
    /// The worker on which it runs.
    pub worker: Option<ids::WorkerId>,
    /// Why it waits, if no limit is the cause.
    pub waits_for: Option<caller::RefusalKind>,
    /// The limit of the team, if the task waits because of it.
    #[serde(default)]
    pub limit: Option<Box<LimitCause>>,
    /// What was tried, oldest first, a line each.
    pub tried: Vec<String>,
    /// The address (`ip:port`) of the host that knows more: the owner of the job, or the entry host
    /// of the request. None if that is the host that answers.
    #[serde(default, rename = "ask", skip_serializing_if = "Option::is_none")]
    pub ask_address: Option<sync::Arc<str>>,
}

/// A limit that keeps a task from starting.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitCause {
    /// The team.
    pub team: ids::TeamId,
    /// The team's limit.
    pub limit: resources::Resources,
    /// What the team uses in the whole cell, as far as the host knows.
    pub used: resources::Resources,
    /// What this host holds of the limit.
    pub held_here: resources::Resources,
    /// What the task needs.
    pub needed: resources::Resources,
}

/// How long a task waited for its start at the owner of its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// The kind of work.
    pub class: task::Class,
    /// The time from the task's arrival at the owner to the decision to start it.
    pub waited: time::Duration,
}

/// Counters of a host since its process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests of callers.
    pub requests: u64,
    /// Requests that got a worker's answer.
    pub answered: u64,
    /// Requests that were refused and not run.
    pub refused_not_run: u64,
    /// Requests with an unknown outcome.
    pub unknown: u64,
    /// Tasks that were started on workers.
    pub starts: u64,
    /// Tasks that were made to yield.
    #[serde(rename = "yields")]
    pub preemptions: u64,
    /// Places that were tried again at another owner.
    pub place_retries: u64,
    /// Records that were appended.
    pub appends: u64,
    /// Epochs that were folded.
    pub epochs: u64,
    /// Workers that were taken over.
    pub takeovers: u64,
    /// Invariants that would have been broken.
    pub invariant_violations: u64,
}
