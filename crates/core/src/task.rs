//! Tasks: specification, fencing token, end and preemption.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{body, ids, resources};

/// The class of work that a queue accepts.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// An interactive request whose caller waits for the response.
    #[display("urgent")]
    Urgent,
    /// A task of a service, which is kept running.
    #[display("service")]
    Service,
    /// A task of a job that runs to completion, possibly with a deadline.
    #[display("batch")]
    Batch,
    /// A task of a job whose tasks must all start together (gang scheduling).
    #[display("gang")]
    Gang,
}

/// The fencing token of a request to a worker. A worker rejects a token that is smaller than the
/// largest it has seen.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct FencingToken {
    /// The epoch in which the owner of the worker issued the request.
    pub epoch: ids::Epoch,
    /// The number of handoffs of the worker within that epoch.
    pub handoff_seq: u64,
}

/// Metadata that a worker stores with a task, so that a new owner of the worker can account for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskLabels {
    /// The job that the task belongs to; `None` for an urgent request.
    pub job: Option<ids::JobId>,
    /// The team whose limit and share the task is charged to.
    pub team: ids::TeamId,
    /// The queue to which the task was submitted.
    pub queue: ids::QueueId,
    pub class: Class,
    /// Whether the task may run again after an attempt whose outcome is unknown.
    pub repeatable: bool,
}

/// A task to be placed on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    pub task: ids::TaskId,
    /// The job that the task belongs to; `None` for an urgent request.
    pub job: Option<ids::JobId>,
    /// The team whose limit and share the task is charged to.
    pub team: ids::TeamId,
    /// The queue to which the task was submitted.
    pub queue: ids::QueueId,
    pub class: Class,
    /// The resources that the task occupies while it runs.
    pub resources: resources::Resources,
    /// Whether the task may run again after an attempt whose outcome is unknown.
    pub repeatable: bool,
    /// The declared run time in milliseconds; zero if unknown.
    pub run_estimate_ms: u64,
    /// The interval between checkpoints in milliseconds; zero if the task cannot checkpoint.
    pub checkpoint_interval_ms: u64,
    /// The input of the task.
    pub payload: body::Body,
}

impl TaskSpec {
    /// Returns the labels that the worker stores with the task.
    pub fn to_labels(&self) -> TaskLabels {
        TaskLabels {
            job: self.job.clone(),
            team: self.team.clone(),
            queue: self.queue.clone(),
            class: self.class,
            repeatable: self.repeatable,
        }
    }
}

/// How an attempt to run a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndKind {
    /// The task ran to completion.
    #[display("done")]
    Done,
    /// The task ran and reported a failure.
    #[display("failed")]
    Failed,
    /// The task was checkpointed and can resume on another worker.
    #[display("checkpointed")]
    Checkpointed,
    /// The task was stopped on request.
    #[display("stopped")]
    Stopped,
    /// The lease of the task expired and the worker stopped it.
    #[display("lapsed")]
    Lapsed,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEnd {
    pub kind: EndKind,
    /// The complete response of the worker; empty for tasks of jobs.
    pub body: body::Body,
}

/// How a running task is preempted, that is, made to yield its resources to other work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PreemptionMode {
    /// The task saves its progress and ends.
    #[display("checkpoint")]
    Checkpoint,
    /// The task continues with a fraction of its processor time.
    #[display("throttle")]
    Throttle,
    /// The task ends immediately and loses its progress.
    #[display("stop")]
    Stop,
}
