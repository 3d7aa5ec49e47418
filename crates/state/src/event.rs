//! The input events of the reducer.

use std::sync;
use std::time;

use pier_core::{body, caller, ids, task, wire};

use crate::message;

/// An input event of the reducer.
#[derive(Debug, Clone)]
pub enum Event {
    /// The periodic tick, sent at least every 50 ms.
    Tick,
    /// The result of a log operation.
    Log(LogEvent),
    /// The result of a read of the host list; none if the read failed.
    HostList(Option<wire::HostList>),
    /// A message from a peer.
    Peer {
        from: ids::HostId,
        /// The incarnation of the sending process.
        incarnation: ids::Incarnation,
        message: message::Message,
    },
    /// An event from a caller.
    Caller(CallerEvent),
    /// A request from an operator.
    Operator(OperatorEvent),
    /// An event from a worker.
    Worker(WorkerEvent),
    /// The process was told to shut down.
    Shutdown,
}

/// The result of a log operation.
#[derive(Debug, Clone)]
pub enum LogEvent {
    /// A read succeeded.
    Read {
        /// The ticket of the effect that requested the operation.
        ticket: ids::Ticket,
        /// The records that were read.
        page: wire::LogPage,
    },
    /// A read failed.
    ReadFailed {
        /// The ticket of the effect that requested the operation.
        ticket: ids::Ticket,
    },
    /// An append succeeded.
    Appended {
        /// The ticket of the effect that requested the operation.
        ticket: ids::Ticket,
        /// The offset of the appended record.
        offset: ids::Offset,
    },
    /// An append failed.
    AppendFailed {
        /// The ticket of the effect that requested the operation.
        ticket: ids::Ticket,
        /// Whether it is certain that the record is not in the log.
        certain: bool,
    },
}

/// A request whose caller waits for the answer of the task.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    pub queue: ids::QueueId,
    /// The API key of the caller.
    pub key: Option<sync::Arc<str>>,
    pub idempotency_key: Option<sync::Arc<str>>,
    /// Whether the request may run again after an attempt with an unknown outcome.
    pub repeatable: bool,
    /// The time until which the caller waits; none for the limit of the queue.
    pub deadline: Option<time::Duration>,
    pub body: body::Body,
}

/// An event from a caller.
#[derive(Debug, Clone)]
pub enum CallerEvent {
    /// A request whose caller waits for the answer.
    Request {
        /// Identifies the request in this process; the answer carries it.
        ticket: ids::Ticket,
        request: CallerRequest,
    },
    /// The caller of a request disconnected before its answer.
    Disconnected { ticket: ids::Ticket },
    /// A caller submits a job.
    SubmitJob {
        ticket: ids::Ticket,
        /// The API key of the caller.
        key: Option<sync::Arc<str>>,
        /// If set, the id of the job is derived from this key.
        idempotency_key: Option<sync::Arc<str>>,
        request: caller::JobRequest,
        /// The wall clock in milliseconds since the Unix epoch.
        wall_ms: u64,
    },
    /// A caller asks for the status of a job.
    QueryJob {
        ticket: ids::Ticket,
        /// The API key of the caller.
        key: Option<sync::Arc<str>>,
        job: ids::JobId,
    },
    /// A caller cancels a job.
    CancelJob {
        ticket: ids::Ticket,
        /// The API key of the caller.
        key: Option<sync::Arc<str>>,
        job: ids::JobId,
    },
}

/// A request from an operator whose token the runtime has verified.
#[derive(Debug, Clone)]
pub struct OperatorEvent {
    /// Identifies the request in this process; the answer carries it.
    pub ticket: ids::Ticket,
    pub request: OperatorRequest,
}

/// The request of an operator.
#[derive(Debug, Clone)]
pub enum OperatorRequest {
    /// Return the declaration and its version.
    Show,
    /// Apply a declaration.
    Apply {
        /// The version on which the change is based.
        base_version: ids::Version,
        /// The operator who makes the change.
        author: sync::Arc<str>,
        /// The wall clock in milliseconds since the Unix epoch.
        wall_ms: u64,
        /// The text of the declaration.
        text: sync::Arc<str>,
    },
    /// Restart the cell with a declaration, because the history of the log is lost.
    Restart {
        /// The operator who makes the change.
        author: sync::Arc<str>,
        /// The wall clock in milliseconds since the Unix epoch.
        wall_ms: u64,
        /// The text of the declaration.
        text: sync::Arc<str>,
    },
    /// Return the state of the host and its view of the cell.
    Status,
    /// Return the audit trail.
    Audit,
    /// Explain why a task waits, where it runs and what has been tried.
    Explain {
        /// The id of a task or a job.
        task: ids::TaskId,
    },
}

/// An event from a worker.
#[derive(Debug, Clone)]
pub enum WorkerEvent {
    /// A task of kind `run` started.
    Started { worker: ids::WorkerId, task: ids::TaskId, attempt: ids::Attempt },
    /// A task of kind `answer` ended.
    Answered { worker: ids::WorkerId, task: ids::TaskId, attempt: ids::Attempt, end: task::TaskEnd },
    /// The start was certainly not executed.
    NotStarted {
        worker: ids::WorkerId,
        task: ids::TaskId,
        attempt: ids::Attempt,
        reason: NotStarted,
    },
    /// It is unknown whether the start was executed, or how the task ended.
    StartUnknown { worker: ids::WorkerId, task: ids::TaskId, attempt: ids::Attempt },
    /// The worker accepted the fencing token and returned the list of its tasks.
    Fenced {
        worker: ids::WorkerId,
        /// The token of the fencing request.
        token: task::FencingToken,
        tasks: wire::WorkerTasks,
    },
    /// Fencing the worker failed.
    FenceFailed {
        worker: ids::WorkerId,
        /// The token of the fencing request.
        token: task::FencingToken,
        /// Whether the worker has already seen a larger token.
        stale: bool,
    },
    /// The worker answered a lease renewal.
    Renewed {
        worker: ids::WorkerId,
        /// When the renewal was sent.
        sent_at: time::Duration,
        answer: wire::LeasesRenewed,
    },
    /// The result of a request to preempt a task.
    PreemptionReply {
        worker: ids::WorkerId,
        task: ids::TaskId,
        attempt: ids::Attempt,
        /// The requested kind of preemption.
        mode: task::PreemptionMode,
        /// Whether the worker confirmed it. A confirmed stop or checkpoint means that the attempt
        /// has ended.
        confirmed: bool,
    },
    /// A report of the worker, which can be out of date.
    Report {
        worker: ids::WorkerId,
        /// When the report was requested.
        asked_at: time::Duration,
        report: wire::WorkerReport,
    },
    /// A lease renewal or a report request did not reach the worker.
    Unreachable { worker: ids::WorkerId },
}

/// Why a start was certainly not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum NotStarted {
    /// The worker refused the start.
    #[display("refused: {_0}")]
    Refused(wire::WorkerRefusalKind),
    /// The connection to the worker failed.
    #[display("no connection")]
    NoConnection,
    /// The start could not be sent before it expired.
    #[display("expired")]
    Expired,
}
