//! Types of the caller interface: outcomes, refusals, job requests and job status.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{ids, resources};

/// Whether a request that got no response from a worker was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request was not executed and will not be.
    #[display("not_run")]
    NotRun,
    /// The request was executed.
    #[display("ran")]
    Ran,
    /// The request may have been executed.
    #[display("unknown")]
    Unknown,
}

/// The reason for a refusal, as a machine-readable code.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The queue is not declared.
    #[display("unknown_queue")]
    UnknownQueue,
    /// The queue accepts another class of work.
    #[display("wrong_class")]
    WrongClass,
    /// The request carries no API key.
    #[display("no_key")]
    NoKey,
    /// The API key is unknown or revoked.
    #[display("bad_key")]
    BadKey,
    /// The API key belongs to a team that may not use the queue.
    #[display("wrong_team")]
    WrongTeam,
    /// The body exceeds the size limit.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The body was truncated or arrived too slowly.
    #[display("body_incomplete")]
    BodyIncomplete,
    /// A header or the body is malformed.
    #[display("bad_request")]
    BadRequest,
    /// The deadline passed before the work could start.
    #[display("deadline_passed")]
    DeadlinePassed,
    /// The task exceeds the total capacity of every worker of the cell.
    #[display("never_fits")]
    NeverFits,
    /// One task needs more than the team's resource limit.
    #[display("over_limit")]
    OverLimit,
    /// No capacity becomes free before the deadline.
    #[display("no_room")]
    NoRoom,
    /// The queue or the connection table of the host is full.
    #[display("overloaded")]
    Overloaded,
    /// The host may not start work now because its view of the cell is out of date.
    #[display("no_authority")]
    NoAuthority,
    /// The host is shutting down.
    #[display("shutting_down")]
    ShuttingDown,
    /// The worker, or the host that owns it, was lost.
    #[display("worker_lost")]
    WorkerLost,
    /// The task failed on every attempt.
    #[display("attempts_exhausted")]
    AttemptsExhausted,
    /// The caller cancelled the work.
    #[display("cancelled")]
    Cancelled,
    /// A request with the same idempotency key is running, or its outcome is unknown.
    #[display("duplicate")]
    Duplicate,
    /// The log or a sufficient number of peers did not store the job in time.
    #[display("not_stored")]
    NotStored,
    /// No job has this id.
    #[display("unknown_job")]
    UnknownJob,
    /// Another operator changed the declaration since it was read.
    #[display("conflict")]
    Conflict,
    /// The declaration is invalid.
    #[display("bad_declaration")]
    BadDeclaration,
    /// Neither the log nor any host holds the state of the cell any more.
    #[display("history_lost")]
    HistoryLost,
    /// The operator token is invalid.
    #[display("bad_operator")]
    BadOperator,
}

/// A refusal as callers and operators receive it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    #[serde(rename = "error")]
    pub kind: RefusalKind,
    /// An explanation for people.
    pub detail: String,
    /// Whether the request was executed.
    pub outcome: Outcome,
    /// The delay in milliseconds after which a retry is useful; `None` if a retry is useless.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that certainly was not executed. Unless
    /// [`Refusal::with_retry_after`] is applied, an unchanged retry is useless.
    pub fn not_run(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into(), outcome: Outcome::NotRun, retry_after_ms: None }
    }

    /// Creates a refusal of a request that may have been executed.
    pub fn unknown(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into(), outcome: Outcome::Unknown, retry_after_ms: None }
    }

    /// Sets the delay before a retry, in milliseconds.
    pub fn with_retry_after(self, retry_after_ms: u64) -> Self {
        Self { retry_after_ms: Some(retry_after_ms), ..self }
    }
}

/// A job as a caller submits it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// The queue to which the job is submitted.
    pub queue: ids::QueueId,
    /// The number of tasks.
    pub tasks: u32,
    /// The resources that each task occupies while it runs.
    pub resources: resources::Resources,
    /// The declared run time of a task in milliseconds; zero if unknown.
    #[serde(default)]
    pub run_estimate_ms: u64,
    /// The time from submission to the deadline in milliseconds; `None` for no deadline.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// The interval between checkpoints in milliseconds; zero if a task cannot checkpoint.
    #[serde(default)]
    pub checkpoint_interval_ms: u64,
    /// Whether a task may run again after an attempt whose outcome is unknown.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// The input of each task.
    #[serde(default)]
    pub payload: String,
}

fn default_repeatable() -> bool {
    true
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// No task has started yet.
    #[display("waiting")]
    Waiting,
    /// At least one task has started.
    #[display("running")]
    Running,
    /// Every task succeeded.
    #[display("done")]
    Done,
    /// The job ended with a task that did not succeed.
    #[display("failed")]
    Failed,
    /// The job was cancelled.
    #[display("cancelled")]
    Cancelled,
}

/// The state of a job as callers receive it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    pub job: ids::JobId,
    pub phase: JobPhase,
    /// The number of tasks.
    pub tasks: u32,
    /// The number of tasks that succeeded.
    pub done: u32,
    /// The number of running tasks.
    pub running: u32,
    /// Why the job is waiting or has failed; `None` in any other phase.
    pub reason: Option<Refusal>,
}
