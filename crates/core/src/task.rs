//! What a task is and how it ends.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{body, ids, resources};

/// The kind of work that a queue takes.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A request that is answered while its caller waits.
    #[display("urgent")]
    Urgent,
    /// A long-running task that is kept running.
    #[display("service")]
    Service,
    /// A task of a job that ends before a deadline.
    #[display("batch")]
    Batch,
    /// A task of a job whose tasks all start together.
    #[display("gang")]
    Gang,
}

/// The fencing token of a request to a worker. A worker refuses a token smaller than the largest
/// it has seen.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct FencingToken {
    /// The epoch in which the owner of the worker acts.
    pub epoch: ids::Epoch,
    /// The number of handoffs of the worker within that epoch.
    pub handoff_seq: u64,
}

/// What a worker keeps with a task, so that a new owner of the worker can account for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskLabels {
    /// The job that the task belongs to; none for an urgent request.
    pub job: Option<ids::JobId>,
    /// The team whose limit and share the task counts against.
    pub team: ids::TeamId,
    /// The queue through which the task came.
    pub queue: ids::QueueId,
    /// The kind of work.
    pub class: Class,
    /// Whether the task may run again after an attempt with an unknown end.
    pub repeatable: bool,
}

/// A task to be placed on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// The task's id.
    pub task: ids::TaskId,
    /// The job that the task belongs to; none for an urgent request.
    pub job: Option<ids::JobId>,
    /// The team whose limit and share the task counts against.
    pub team: ids::TeamId,
    /// The queue through which the task came.
    pub queue: ids::QueueId,
    /// The kind of work.
    pub class: Class,
    /// What the task holds while it runs.
    pub resources: resources::Resources,
    /// Whether the task may run again after an attempt with an unknown end.
    pub repeatable: bool,
    /// The declared run time in milliseconds; zero when unknown.
    pub run_estimate_ms: u64,
    /// The interval between checkpoints in milliseconds; zero when the task cannot checkpoint.
    pub checkpoint_interval_ms: u64,
    /// What the worker gets as its input.
    pub payload: body::Body,
}

impl TaskSpec {
    /// The labels that the worker keeps with the task.
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
    /// The task ran to its end.
    #[display("done")]
    Done,
    /// The task ran and reported a failure.
    #[display("failed")]
    Failed,
    /// The task was checkpointed and can go on elsewhere.
    #[display("checkpointed")]
    Checkpointed,
    /// The task was stopped on request.
    #[display("stopped")]
    Stopped,
    /// The lease of the task lapsed; the worker stopped it.
    #[display("lapsed")]
    Lapsed,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEnd {
    /// How it ended.
    pub kind: EndKind,
    /// The worker's whole answer; empty for job tasks.
    pub body: body::Body,
}

/// How a running task is made to yield.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PreemptionMode {
    /// The task saves its progress and ends.
    #[display("checkpoint")]
    Checkpoint,
    /// The task goes on at a fraction of its processor time.
    #[display("throttle")]
    Throttle,
    /// The task ends at once and its progress is lost.
    #[display("stop")]
    Stop,
}
