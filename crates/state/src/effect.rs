//! Outputs of the reducer.

use std::sync;
use std::time;

use pier_core::{caller, ids, task, wire};

use crate::{message, report};

/// An output of the reducer, to be carried out by the runtime.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Read the `control` stream.
    ReadLog {
        /// The number that the resulting event carries.
        ticket: ids::Ticket,
        /// The position of the first record.
        from: ids::Offset,
        /// The largest number of records.
        max_records: u32,
    },
    /// Append a record to the `control` stream.
    Append {
        /// The number that the resulting event carries.
        ticket: ids::Ticket,
        /// The record.
        bytes: sync::Arc<[u8]>,
    },
    /// Send a message to a peer.
    SendPeer {
        /// The receiver.
        to: ids::HostId,
        /// The receiver's address (`ip:port`).
        address: sync::Arc<str>,
        /// The sender's incarnation. A process that was removed from the members draws a new one.
        incarnation: ids::Incarnation,
        /// The message.
        message: message::Message,
    },
    /// Answer a caller.
    AnswerCaller {
        /// The number of the request.
        ticket: ids::Ticket,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Answer an operator.
    AnswerOperator {
        /// The number of the request.
        ticket: ids::Ticket,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// Start a task on a worker.
    WorkerStart {
        /// The worker.
        worker: ids::WorkerId,
        /// The base of the worker's address.
        address: sync::Arc<str>,
        /// The latest time at which the request may be sent.
        not_after: time::Duration,
        /// The request.
        start: sync::Arc<wire::StartTask>,
    },
    /// Renew leases on a worker.
    WorkerRenew {
        /// The worker.
        worker: ids::WorkerId,
        /// The base of the worker's address.
        address: sync::Arc<str>,
        /// The request.
        renew: wire::RenewLeases,
    },
    /// Make a task on a worker yield.
    WorkerYield {
        /// The worker.
        worker: ids::WorkerId,
        /// The base of the worker's address.
        address: sync::Arc<str>,
        /// The fencing token of the worker's owner.
        token: task::FencingToken,
        /// The task.
        task: ids::TaskId,
        /// The number of the attempt.
        attempt: ids::Attempt,
        /// How the task yields.
        how: task::PreemptionMode,
    },
    /// Fence a worker and list its tasks.
    WorkerFence {
        /// The worker.
        worker: ids::WorkerId,
        /// The base of the worker's address.
        address: sync::Arc<str>,
        /// The fencing token.
        token: task::FencingToken,
    },
    /// Ask a worker for its report.
    WorkerReport {
        /// The worker.
        worker: ids::WorkerId,
        /// The base of the worker's address.
        address: sync::Arc<str>,
    },
    /// Write a line to the log of the process.
    Log(Notice),
    /// End the process; everything is handed over.
    Exit,
}

/// What a caller is answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The worker's whole answer.
    Task {
        /// The task that ran.
        task: ids::TaskId,
        /// The end of the task.
        end: task::TaskEnd,
    },
    /// The state of a job.
    Job(caller::JobStatus),
    /// A refusal.
    Refused(caller::Refusal),
}

/// What an operator is answered.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorAnswer {
    /// The declaration.
    Declaration {
        /// The version.
        version: ids::Version,
        /// The text.
        text: sync::Arc<str>,
    },
    /// The declaration was accepted.
    Applied {
        /// The new version.
        version: ids::Version,
        /// What changed, a line each.
        changes: Vec<String>,
    },
    /// Somebody else has changed the declaration in the meantime.
    Conflict(Box<report::Conflict>),
    /// The state of the host.
    Status(Box<report::Status>),
    /// The audit trail, oldest first.
    Audit(Vec<crate::record::AuditRecord>),
    /// What is known of a task.
    Explanation(Box<report::Explanation>),
    /// A refusal.
    Refused(caller::Refusal),
}

/// An event worth a line in the log of the process.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum Notice {
    /// A new epoch was folded.
    #[display("epoch {epoch} with {members} members began")]
    EpochBegan {
        /// The epoch.
        epoch: ids::Epoch,
        /// The number of members.
        members: usize,
    },
    /// A declaration was folded.
    #[display("declaration {version} by {author} is in force")]
    DeclarationInForce {
        /// The version.
        version: ids::Version,
        /// Who made the change.
        author: sync::Arc<str>,
    },
    /// Authority to start work has changed.
    #[display("authority to start work is now {authority}")]
    AuthorityChanged {
        /// What gives authority.
        authority: crate::cluster::Authority,
    },
    /// A worker was taken over.
    #[display("took over worker {worker}")]
    WorkerTakenOver {
        /// The worker.
        worker: ids::WorkerId,
    },
    /// A worker was given up.
    #[display("gave up worker {worker}")]
    WorkerGivenUp {
        /// The worker.
        worker: ids::WorkerId,
    },
    /// The log can or cannot be reached.
    #[display("the log is {}", if *away { "away" } else { "back" })]
    LogReach {
        /// Whether it cannot be reached.
        away: bool,
    },
    /// A record of the log cannot be read and is skipped.
    #[display("record {offset} of the log cannot be read and is skipped")]
    BadRecord {
        /// The position of the record.
        offset: ids::Offset,
    },
    /// Records of the log are past its retention, and neither a snapshot nor a peer replaces them.
    #[display("the log begins at {earliest}; no snapshot or peer has the state before it")]
    HistoryLost {
        /// The position of the oldest record that is kept.
        earliest: ids::Offset,
    },
    /// The history of the log was lost, and an operator has begun a new one.
    #[display("the history begins anew at {offset} with version {version}")]
    HistoryRestarted {
        /// The position of the record.
        offset: ids::Offset,
        /// The version of the declaration with which the cell begins.
        version: ids::Version,
    },
    /// This process is no longer a member although it did not leave, and joins anew.
    #[display("epoch {epoch} is without this host; it joins anew")]
    Expelled {
        /// The epoch.
        epoch: ids::Epoch,
    },
    /// A worker could not be fenced several times.
    #[display("worker {worker} cannot be fenced{}", if *stale { ": it has seen a larger token" } else { "" })]
    FenceFails {
        /// The worker.
        worker: ids::WorkerId,
        /// Whether the worker has seen a larger token.
        stale: bool,
    },
    /// A worker was put on back-off because starts on it failed.
    #[display("worker {worker} backs off after {failures} failures")]
    WorkerBacksOff {
        /// The worker.
        worker: ids::WorkerId,
        /// The number of failures in a row.
        failures: u32,
    },
    /// The tasks of a queue have used more than their declared size for long.
    #[display("tasks of team {team} in queue {queue} use {use_percent}% of their declared size")]
    QueueOverSize {
        /// The team.
        team: ids::TeamId,
        /// The queue.
        queue: ids::QueueId,
        /// The mean use in the dimension that is exceeded most, in percent of the declared size.
        use_percent: u64,
    },
    /// An invariant would have been broken; the step was not taken.
    #[display("invariant: {error}")]
    Invariant {
        /// What would have been broken.
        error: crate::Error,
    },
}
