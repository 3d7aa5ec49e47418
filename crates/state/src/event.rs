//! Inputs of the reducer.

use std::sync;
use std::time;

use pier_core::{body, caller, ids, task, wire};

use crate::message;

/// An input of the reducer.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed. It comes at least every 50 ms.
    Tick,
    /// Something came from the log.
    Log(LogEvent),
    /// The host list was read; none if it could not be read.
    HostList(Option<wire::HostList>),
    /// A message came from a peer.
    Peer {
        /// The sender.
        from: ids::HostId,
        /// The sender's process.
        incarnation: ids::Incarnation,
        /// The message.
        message: message::Message,
    },
    /// Something came from a caller.
    Caller(CallerEvent),
    /// Something came from an operator.
    Operator(OperatorEvent),
    /// Something came from a worker.
    Worker(WorkerEvent),
    /// The process was told to shut down.
    Shutdown,
}

/// Something that came from the log.
#[derive(Debug, Clone)]
pub enum LogEvent {
    /// A read has succeeded.
    Read {
        /// The ticket of the effect.
        ticket: ids::Ticket,
        /// What was read.
        page: wire::LogPage,
    },
    /// A read has failed.
    ReadFailed {
        /// The ticket of the effect.
        ticket: ids::Ticket,
    },
    /// An append has succeeded.
    Appended {
        /// The ticket of the effect.
        ticket: ids::Ticket,
        /// The position of the record.
        offset: ids::Offset,
    },
    /// An append has failed.
    AppendFailed {
        /// The ticket of the effect.
        ticket: ids::Ticket,
        /// Whether the record is certainly not in the log.
        certain: bool,
    },
}

/// A request of a caller for an answer.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The queue.
    pub queue: ids::QueueId,
    /// The key that came with the request.
    pub key: Option<sync::Arc<str>>,
    /// The idempotency key that came with the request.
    pub idempotency_key: Option<sync::Arc<str>>,
    /// Whether the request may run again after an attempt with an unknown end.
    pub repeatable: bool,
    /// Until when the caller waits; none for the queue's own bound.
    pub deadline: Option<time::Duration>,
    /// The body.
    pub body: body::Body,
}

/// Something that came from a caller.
#[derive(Debug, Clone)]
pub enum CallerEvent {
    /// A request for an answer.
    Request {
        /// The number of the request in this process.
        ticket: ids::Ticket,
        /// The request.
        request: CallerRequest,
    },
    /// The caller of a request has gone.
    Gone {
        /// The number of the request.
        ticket: ids::Ticket,
    },
    /// A job was submitted.
    SubmitJob {
        /// The number of the request.
        ticket: ids::Ticket,
        /// The key that came with the request.
        key: Option<sync::Arc<str>>,
        /// The idempotency key; the job's id is derived from it if there is one.
        idempotency_key: Option<sync::Arc<str>>,
        /// The job.
        request: caller::JobRequest,
        /// The wall clock in milliseconds since the Unix epoch.
        wall_ms: u64,
    },
    /// The status of a job was asked for.
    QueryJob {
        /// The number of the request.
        ticket: ids::Ticket,
        /// The key that came with the request.
        key: Option<sync::Arc<str>>,
        /// The job.
        job: ids::JobId,
    },
    /// A job was cancelled.
    CancelJob {
        /// The number of the request.
        ticket: ids::Ticket,
        /// The key that came with the request.
        key: Option<sync::Arc<str>>,
        /// The job.
        job: ids::JobId,
    },
}

/// Something that came from an operator. The runtime has checked the operator's token.
#[derive(Debug, Clone)]
pub struct OperatorEvent {
    /// The number of the request in this process.
    pub ticket: ids::Ticket,
    /// What is asked.
    pub request: OperatorRequest,
}

/// What an operator asks.
#[derive(Debug, Clone)]
pub enum OperatorRequest {
    /// The declaration and its version.
    Show,
    /// To apply a declaration.
    Apply {
        /// The version from which the change was made.
        base_version: ids::Version,
        /// Who makes the change.
        author: sync::Arc<str>,
        /// The wall clock in milliseconds since the Unix epoch.
        wall_ms: u64,
        /// The declaration.
        text: sync::Arc<str>,
    },
    /// To begin anew with a declaration, because the history of the cell is lost.
    Restart {
        /// Who makes the change.
        author: sync::Arc<str>,
        /// The wall clock in milliseconds since the Unix epoch.
        wall_ms: u64,
        /// The declaration.
        text: sync::Arc<str>,
    },
    /// The state of the host and what it knows of the cell.
    Status,
    /// The audit trail.
    Audit,
    /// Why a task waits, where it runs, what was tried.
    Explain {
        /// The task or the job.
        task: ids::TaskId,
    },
}

/// Something that came from a worker.
#[derive(Debug, Clone)]
pub enum WorkerEvent {
    /// A task of kind `run` has started.
    Started {
        /// The worker.
        worker: ids::WorkerId,
        /// The task.
        task: ids::TaskId,
        /// The number of the attempt.
        attempt: ids::Attempt,
    },
    /// A task of kind `answer` has ended.
    Answered {
        /// The worker.
        worker: ids::WorkerId,
        /// The task.
        task: ids::TaskId,
        /// The number of the attempt.
        attempt: ids::Attempt,
        /// The end.
        end: task::TaskEnd,
    },
    /// The start was certainly not carried out.
    NotStarted {
        /// The worker.
        worker: ids::WorkerId,
        /// The task.
        task: ids::TaskId,
        /// The number of the attempt.
        attempt: ids::Attempt,
        /// Why.
        reason: NotStarted,
    },
    /// Nobody knows whether the start was carried out, or how it ended.
    StartUnknown {
        /// The worker.
        worker: ids::WorkerId,
        /// The task.
        task: ids::TaskId,
        /// The number of the attempt.
        attempt: ids::Attempt,
    },
    /// The worker was fenced and has listed its tasks.
    Fenced {
        /// The worker.
        worker: ids::WorkerId,
        /// The token of the fence.
        token: task::FencingToken,
        /// The worker's tasks.
        tasks: wire::WorkerTasks,
    },
    /// The worker could not be fenced.
    FenceFailed {
        /// The worker.
        worker: ids::WorkerId,
        /// The token of the fence.
        token: task::FencingToken,
        /// Whether the worker has seen a larger token.
        stale: bool,
    },
    /// Leases were renewed.
    Renewed {
        /// The worker.
        worker: ids::WorkerId,
        /// When the renewal was sent.
        sent_at: time::Duration,
        /// The worker's answer.
        answer: wire::LeasesRenewed,
    },
    /// A request to make a task yield has succeeded or failed.
    Yielded {
        /// The worker.
        worker: ids::WorkerId,
        /// The task.
        task: ids::TaskId,
        /// The number of the attempt.
        attempt: ids::Attempt,
        /// What was asked.
        how: task::PreemptionMode,
        /// Whether the worker has confirmed it. A confirmed stop or checkpoint means that the
        /// attempt has ended.
        confirmed: bool,
    },
    /// The worker has reported. The report lags.
    Report {
        /// The worker.
        worker: ids::WorkerId,
        /// When the report was asked for.
        asked_at: time::Duration,
        /// The report.
        report: wire::WorkerReport,
    },
    /// The worker could not be reached for a renewal or a report.
    Unreachable {
        /// The worker.
        worker: ids::WorkerId,
    },
}

/// Why a start was certainly not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum NotStarted {
    /// The worker refused it.
    #[display("refused: {_0}")]
    Refused(wire::WorkerRefusalKind),
    /// No connection to the worker could be made.
    #[display("no connection")]
    NoConnection,
    /// The time in which it could be sent had passed.
    #[display("expired")]
    Expired,
}
