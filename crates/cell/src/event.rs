//! Inputs of a host's state machine.

use std::sync;
use std::time;

use pier_core::ids;
use serde::{Deserialize, Serialize};

use crate::declaration::Declaration;
use crate::follower::{LogSlice, Page, ReadError};
use crate::job::{JobSpec, RunNumber, TaskRef};
use crate::peer::{Advice, Message};
use crate::record::Record;
use crate::run::EndKind;
use crate::worker::{WorkerIncarnation, WorkerInfo};

/// The content of a record in the operators' topic.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRecord {
    /// A version of the operators' declaration.
    Declaration(sync::Arc<Declaration>),
    /// An operator's request to evacuate a zone, or its withdrawal.
    ZoneEvacuation {
        /// The zone.
        zone: ids::ZoneId,
        /// Whether the request is in force, so that the zone gets no work.
        is_evacuated: bool,
    },
    /// A record that cannot be decoded or that does not concern the cell.
    Other,
}

/// The content of a record in the workers' topic.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerRecord {
    /// The worker.
    pub id: ids::WorkerId,
    /// The worker's description; none if the worker has left or its record cannot be decoded.
    pub entry: Option<WorkerInfo>,
}

/// The result of a read from the log.
#[derive(Debug)]
pub enum ReadResponse<T> {
    /// A page of the newest record of each key.
    Page(Page<T>),
    /// Consecutive records of the log.
    LogSlice(LogSlice<T>),
    /// The read failed.
    Failed(ReadError),
}

/// The result of an append to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResponse {
    /// The records are stored.
    Stored {
        /// The offset after the last of them.
        end: ids::Offset,
    },
    /// The log does not end at the expected offset, so nothing was stored.
    Conflict,
    /// The log refused the append, which has no effect.
    Refused,
    /// The outcome is unknown: the append may have been stored, or may be stored later.
    NoAnswer,
}

/// A request from a caller.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRequest {
    /// The host name that the caller addressed.
    pub host: String,
    /// The path, without the query string.
    pub path: String,
    /// The caller's API key.
    pub key: Option<String>,
    /// How long the caller waits for the response.
    pub timeout: Option<time::Duration>,
    /// The requested operation.
    pub operation: Operation,
}

/// The operation that a caller requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Operation {
    /// Submits a job. The host fills in the job's id, queue and account.
    Submit(Result<Box<JobSpec>, InvalidJob>),
    /// Returns a job's state or, for a path without a job id, the number of jobs of the queue that
    /// have not begun.
    Show,
    /// Cancels a job.
    Cancel,
}

/// A submission that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{reason}")]
pub struct InvalidJob {
    /// Why it cannot be decoded.
    pub reason: String,
}

/// A worker's response to a start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartResponse {
    /// The worker has the run.
    Started {
        /// The worker's clock.
        clock_ms: u64,
    },
    /// The worker rejected the start, which has no effect.
    Rejected {
        /// Why.
        reason: RejectReason,
    },
    /// The outcome is unknown: the worker may have started the run, or may start it later.
    NoAnswer,
}

/// Why a worker rejected a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
pub enum RejectReason {
    /// The worker has received a higher fencing token, from a later decider.
    #[display("fenced")]
    Fenced,
    /// The run's number is not above that of a run that has ended.
    #[display("stale run")]
    StaleRun,
    /// The lease had already expired.
    #[display("late")]
    Late,
    /// The worker's free resources do not suffice.
    #[display("no room")]
    NoRoom,
    /// The adviser's ticket is not valid.
    #[display("ticket not valid")]
    Ticket,
    /// The call was addressed to another worker or to another incarnation.
    #[serde(rename = "OtherLife")]
    #[display("another incarnation")]
    OtherIncarnation,
    /// The worker is unhealthy or does not accept the call.
    #[display("refused")]
    Refused,
}

/// A run that a worker reports as running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedRun {
    /// The task.
    pub task: TaskRef,
    /// The run's number.
    pub number: RunNumber,
    /// The newest checkpoint.
    pub checkpoint: Option<String>,
    /// The share of the work that is done, if the worker reports it.
    pub percent: Option<u8>,
}

/// The end of a run, as a worker reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEnd {
    /// The sequence number of the end in the worker's incarnation.
    pub sequence: u64,
    /// The task; none if its name was not given by a cell.
    pub task: Option<TaskRef>,
    /// The run's number.
    pub number: RunNumber,
    /// How the run ended; none for a kind that this version does not know.
    pub kind: Option<EndKind>,
    /// The newest checkpoint.
    pub checkpoint: Option<String>,
}

/// A worker's response to a poll.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollResponse {
    /// The worker's runs and the ends that are not yet acknowledged.
    Report {
        /// The worker's clock.
        clock_ms: u64,
        /// The worker's incarnation, if it reports it.
        #[serde(rename = "life")]
        incarnation: Option<WorkerIncarnation>,
        /// The running runs.
        running: Vec<ListedRun>,
        /// The ended runs.
        ended: Vec<ListedEnd>,
        /// Whether entries of the report could not be decoded, so that a run that it does not
        /// contain may be alive.
        #[serde(default)]
        is_incomplete: bool,
    },
    /// The worker has received a higher fencing token, from a later decider.
    Fenced,
    /// No response, or one that does not report the worker's runs.
    NoAnswer,
}

/// The response to a call of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReply {
    /// The worker.
    pub worker: ids::WorkerId,
    /// The incarnation that the call was meant for, see [`Target::incarnation`].
    ///
    /// [`Target::incarnation`]: crate::effect::Target::incarnation
    #[serde(default, rename = "life")]
    pub incarnation: Option<WorkerIncarnation>,
    /// The fencing token of the call.
    pub token: u64,
    /// The response.
    #[serde(rename = "answer")]
    pub response: WorkerResponse,
}

/// A worker's response, by operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerResponse {
    /// The response to a start.
    Start {
        /// The task.
        task: TaskRef,
        /// The run's number.
        number: RunNumber,
        /// The response.
        #[serde(rename = "answer")]
        response: StartResponse,
    },
    /// The response to a stop.
    Stop {
        /// The task.
        task: TaskRef,
        /// The run's number.
        number: RunNumber,
        /// Whether the worker acknowledged the stop.
        is_acknowledged: bool,
    },
    /// The response to a poll.
    #[serde(rename = "Look")]
    Poll {
        /// When the decider issued the poll.
        sent_at: time::Duration,
        /// The response.
        #[serde(rename = "answer")]
        response: PollResponse,
    },
}

/// An input of a host's state machine.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The result of a read from the cell's log.
    CellRead {
        /// Identifies the read.
        ticket: ids::Ticket,
        /// The result.
        response: ReadResponse<Record>,
    },
    /// The result of a read from the topic of decider announcements.
    DecidersRead {
        /// Identifies the read.
        ticket: ids::Ticket,
        /// The result.
        response: ReadResponse<Record>,
    },
    /// The result of this host's announcement.
    Announced {
        /// Identifies the announcement.
        ticket: ids::Ticket,
        /// Whether the announcement is known to be stored.
        is_stored: bool,
    },
    /// The result of a read from the operators' topic.
    OperatorsRead {
        /// Identifies the read.
        ticket: ids::Ticket,
        /// The result.
        response: ReadResponse<OperatorRecord>,
    },
    /// The result of a read from the workers' topic.
    WorkersRead {
        /// Identifies the read.
        ticket: ids::Ticket,
        /// The result.
        response: ReadResponse<WorkerRecord>,
    },
    /// The result of an append to the cell's log.
    Appended {
        /// Identifies the append.
        ticket: ids::Ticket,
        /// The result.
        response: AppendResponse,
    },
    /// A caller's request.
    CallerRequest {
        /// Identifies the request in the response.
        ticket: ids::Ticket,
        /// The request.
        request: Box<CallerRequest>,
    },
    /// The response to a worker call that this host made, or its timeout.
    WorkerReply(Box<WorkerReply>),
    /// The adviser's response to this host, or its timeout.
    AdviceResponse {
        /// Identifies the request.
        ticket: ids::Ticket,
        /// The advice; none if the adviser did not respond.
        advice: Option<Advice>,
    },
    /// A message from another host.
    PeerMessage {
        /// The sender.
        from: ids::HostId,
        /// The message.
        message: Message,
    },
    /// The connection to another host was closed.
    PeerDisconnected {
        /// The host.
        host: ids::HostId,
    },
    /// The process is to shut down.
    Shutdown,
}
