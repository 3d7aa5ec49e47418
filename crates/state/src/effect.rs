//! The effects that the reducer returns.

use std::sync;
use std::time;

use pier_core::{caller, ids, task, wire};

use crate::{message, report};

/// An effect that the reducer returns and the runtime executes.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Read the `control` stream.
    ReadLog {
        /// Identifies the operation; the resulting event carries it.
        ticket: ids::Ticket,
        /// The offset of the first record.
        from: ids::Offset,
        /// The maximum number of records.
        max_records: u32,
    },
    /// Append a record to the `control` stream.
    Append {
        /// Identifies the operation; the resulting event carries it.
        ticket: ids::Ticket,
        /// The encoded record.
        bytes: sync::Arc<[u8]>,
    },
    /// Send a message to a peer.
    SendPeer {
        to: ids::HostId,
        /// The receiver's address (`ip:port`).
        address: sync::Arc<str>,
        /// The sender's incarnation. A process that was removed from the members takes a new one.
        incarnation: ids::Incarnation,
        message: message::Message,
    },
    /// Answer a caller.
    AnswerCaller {
        /// Identifies the request.
        ticket: ids::Ticket,
        answer: CallerAnswer,
    },
    /// Answer an operator.
    AnswerOperator {
        /// Identifies the request.
        ticket: ids::Ticket,
        answer: OperatorAnswer,
    },
    /// Start a task on a worker.
    WorkerStart {
        worker: ids::WorkerId,
        /// The base URL of the worker.
        address: sync::Arc<str>,
        /// The latest time at which the request may be sent.
        not_after: time::Duration,
        start: sync::Arc<wire::StartTask>,
    },
    /// Renew leases on a worker.
    WorkerRenew {
        worker: ids::WorkerId,
        /// The base URL of the worker.
        address: sync::Arc<str>,
        renew: wire::RenewLeases,
    },
    /// Ask a worker to preempt a task.
    WorkerPreempt {
        worker: ids::WorkerId,
        /// The base URL of the worker.
        address: sync::Arc<str>,
        /// The fencing token of the worker's owner.
        token: task::FencingToken,
        task: ids::TaskId,
        attempt: ids::Attempt,
        mode: task::PreemptionMode,
    },
    /// Send a worker a new fencing token and request the list of its tasks.
    WorkerFence {
        worker: ids::WorkerId,
        /// The base URL of the worker.
        address: sync::Arc<str>,
        /// The fencing token.
        token: task::FencingToken,
    },
    /// Request a worker's report.
    WorkerReport {
        worker: ids::WorkerId,
        /// The base URL of the worker.
        address: sync::Arc<str>,
    },
    /// Write a line to the process log.
    Log(Notice),
    /// Exit the process; all its work has been handed over.
    Exit,
}

/// An answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The complete answer of the worker.
    Task {
        task: ids::TaskId,
        end: task::TaskEnd,
    },
    /// The status of a job.
    Job(caller::JobStatus),
    Refused(caller::Refusal),
}

/// An answer to an operator.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorAnswer {
    /// The declaration in force.
    Declaration {
        version: ids::Version,
        text: sync::Arc<str>,
    },
    /// The declaration was applied.
    Applied {
        /// The new version.
        version: ids::Version,
        /// The changes, one per line.
        changes: Vec<String>,
    },
    /// The declaration has changed since the base version of the request.
    Conflict(Box<report::Conflict>),
    Status(Box<report::Status>),
    /// The audit trail, oldest first.
    Audit(Vec<crate::record::AuditRecord>),
    /// The explanation of a task or job.
    Explanation(Box<report::Explanation>),
    Refused(caller::Refusal),
}

/// An event that is written to the process log.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum Notice {
    /// A new epoch was read from the log.
    #[display("epoch {epoch} started with {members} members")]
    EpochBegan {
        epoch: ids::Epoch,
        /// The number of members.
        members: usize,
    },
    /// A declaration was read from the log.
    #[display("declaration {version} by {author} is in force")]
    DeclarationInForce {
        version: ids::Version,
        /// The operator who made the change.
        author: sync::Arc<str>,
    },
    /// The basis of the authority to start work changed.
    #[display("authority to start work is now {authority}")]
    AuthorityChanged {
        /// The new basis of the authority.
        authority: crate::cluster::Authority,
    },
    /// A worker was taken over.
    #[display("took over worker {worker}")]
    WorkerTakenOver { worker: ids::WorkerId },
    /// A worker was released for another owner.
    #[display("released worker {worker}")]
    WorkerReleased { worker: ids::WorkerId },
    /// The log became unreachable or reachable.
    #[display("the log is {}", if *unreachable { "unreachable" } else { "reachable again" })]
    LogReachability { unreachable: bool },
    /// A record of the log cannot be decoded and is skipped.
    #[display("log record {offset} cannot be decoded; skipping it")]
    BadRecord { offset: ids::Offset },
    /// Records that this host needs are past the log's retention, and neither a snapshot nor a peer
    /// replaces them.
    #[display("the log starts at {earliest}; no snapshot or peer has the state before that offset")]
    HistoryLost {
        /// The offset of the oldest record in the log.
        earliest: ids::Offset,
    },
    /// The history of the log was lost, and an operator restarted it.
    #[display("the log history restarts at {offset} with declaration version {version}")]
    HistoryRestarted {
        /// The offset of the restart record.
        offset: ids::Offset,
        /// The version of the first declaration after the restart.
        version: ids::Version,
    },
    /// The epoch removed this process although it did not leave; it joins again.
    #[display("epoch {epoch} does not include this host; joining again")]
    Expelled { epoch: ids::Epoch },
    /// Fencing a worker failed several times.
    #[display("fencing worker {worker} fails{}", if *stale { ": it has seen a larger token" } else { "" })]
    FencingFailed {
        worker: ids::WorkerId,
        /// Whether the worker has already seen a larger token.
        stale: bool,
    },
    /// A worker gets no starts for a while because starts on it failed.
    #[display("worker {worker} is in backoff after {failures} consecutive failures")]
    WorkerInBackoff {
        worker: ids::WorkerId,
        /// The number of consecutive failures.
        failures: u32,
    },
    /// The tasks of a queue have used more than their declared size for a long time.
    #[display("tasks of team {team} in queue {queue} use {use_percent}% of their declared size")]
    QueueOverDeclaredSize {
        team: ids::TeamId,
        queue: ids::QueueId,
        /// The mean usage of the resource that is exceeded most, in percent of the declared size.
        use_percent: u64,
    },
    /// A step was skipped because it would have violated an invariant.
    #[display("invariant violation prevented: {error}")]
    Invariant {
        /// The invariant that would have been violated.
        error: crate::Error,
    },
}
