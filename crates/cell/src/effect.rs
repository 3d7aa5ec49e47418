//! Outputs of a host's state machine: the input and output that its caller is to perform.

use std::sync;
use std::time;

use pier_core::ids;
use serde::{Deserialize, Serialize};

use crate::event::{PollResponse, StartResponse, WorkerReply, WorkerResponse};
use crate::follower::{Read, Topic};
use crate::job::{JobState, RunNumber, TaskRef};
use crate::options::Options;
use crate::peer::{AdviceRequest, Message};
use crate::record::Record;
use crate::worker::WorkerIncarnation;

/// The destination of a worker call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The worker.
    pub worker: ids::WorkerId,
    /// The incarnation that the call is meant for, as far as the decider knows. None from hosts that
    /// do not state it yet.
    #[serde(default, rename = "life")]
    pub incarnation: Option<WorkerIncarnation>,
    /// The address at which the worker accepts calls.
    pub address: sync::Arc<str>,
    /// The decider's fencing token.
    pub token: u64,
}

impl Target {
    /// Creates the reply to a call of this target.
    pub fn to_reply(&self, response: WorkerResponse) -> WorkerReply {
        WorkerReply {
            worker: ids::WorkerId::clone(&self.worker),
            incarnation: self.incarnation,
            token: self.token,
            response,
        }
    }
}

/// A request to start a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// The task.
    pub task: TaskRef,
    /// The run's number.
    pub number: RunNumber,
    /// The payload that the submitter gave.
    pub payload: sync::Arc<str>,
    /// When the lease expires, by the worker's clock.
    pub lease_until_ms: u64,
    /// The checkpoint from which the task resumes.
    pub checkpoint: Option<String>,
    /// The adviser's ticket.
    pub ticket: Option<String>,
}

/// A call to a worker, made by the decider itself or by another host on its behalf.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCall {
    /// The destination.
    pub target: Target,
    /// The response timeout, not counting the time for which the worker may hold a poll open.
    pub timeout_ms: u64,
    /// The requested operation.
    #[serde(rename = "ask")]
    pub operation: WorkerOperation,
}

impl WorkerCall {
    /// The reply to a call whose outcome is unknown.
    pub fn to_unanswered(&self) -> WorkerReply {
        let response = match &self.operation {
            WorkerOperation::Start(request) => WorkerResponse::Start {
                task: request.task.clone(),
                number: request.number,
                response: StartResponse::NoAnswer,
            },
            WorkerOperation::Stop { task, number } => {
                WorkerResponse::Stop { task: task.clone(), number: *number, is_acknowledged: false }
            }
            WorkerOperation::Poll { sent_at, .. } => {
                WorkerResponse::Poll { sent_at: *sent_at, response: PollResponse::NoAnswer }
            }
        };
        self.target.to_reply(response)
    }
}

/// The operation that a worker call requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerOperation {
    /// Starts a run.
    Start(StartRequest),
    /// Stops a run.
    Stop {
        /// The task.
        task: TaskRef,
        /// The run's number.
        number: RunNumber,
    },
    /// Extends the leases of the worker's runs and returns which runs are running and which have
    /// ended.
    #[serde(rename = "Look")]
    Poll {
        /// When the decider issued the poll; repeated in the reply.
        sent_at: time::Duration,
        /// Acknowledges the ends up to this sequence number: they are in the log.
        ends_stored: u64,
        /// When the leases expire, by the worker's clock; none leaves them unchanged.
        lease_until_ms: Option<u64>,
        /// How long the worker may wait for an end before it responds.
        wait_ms: u64,
    },
}

/// The response to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerResponse {
    /// The job is stored.
    Accepted,
    /// The cancellation is stored.
    Cancelled,
    /// A job's state.
    State(JobState),
    /// The number of jobs of the queue that have not begun.
    Pending(usize),
    /// No queue matches the request's host name and path.
    UnknownQueue,
    /// No job has this id.
    UnknownJob,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The request is malformed.
    Invalid(String),
    /// The request was rejected and has no effect.
    Rejected {
        /// Why.
        reason: String,
        /// After which delay the caller may retry.
        retry_after: time::Duration,
    },
    /// It is unknown whether the request took effect.
    OutcomeUnknown,
}

/// An output of a host's state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Reads a topic.
    Read {
        /// Identifies the read in the response.
        ticket: ids::Ticket,
        /// The topic.
        topic: Topic,
        /// What to read.
        read: Read,
        /// The response timeout.
        timeout: time::Duration,
    },
    /// Appends to the cell's log if the log ends at `at`.
    Append {
        /// Identifies the append in the response.
        ticket: ids::Ticket,
        /// The expected end of the log.
        at: ids::Offset,
        /// The records.
        records: sync::Arc<Vec<Record>>,
        /// The response timeout.
        timeout: time::Duration,
    },
    /// Appends to the topic of decider announcements.
    Announce {
        /// Identifies the announcement in the response.
        ticket: ids::Ticket,
        /// The announcement.
        record: Record,
        /// The response timeout.
        timeout: time::Duration,
    },
    /// Calls a worker.
    CallWorker(Box<WorkerCall>),
    /// Sends a request to the adviser.
    RequestAdvice(AdviceRequest),
    /// Keeps a connection to the decider at this address and closes one to any other host. None
    /// keeps no connection.
    Connect {
        /// The decider's host and address.
        decider: Option<(ids::HostId, sync::Arc<str>)>,
    },
    /// Sends a message to a connected host.
    Send {
        /// The host.
        to: ids::HostId,
        /// The message.
        message: Message,
    },
    /// Responds to a caller.
    Respond {
        /// Identifies the request.
        ticket: ids::Ticket,
        /// The response.
        response: CallerResponse,
    },
    /// Reports to the load balancer whether the host accepts connections.
    SetReady(bool),
}

impl Effect {
    /// Creates a worker call with the timeout from `options`.
    pub fn call(target: Target, operation: WorkerOperation, options: &Options) -> Self {
        let timeout_ms = pier_core::clock::millis(options.worker_call_timeout);
        Self::CallWorker(Box::new(WorkerCall { target, timeout_ms, operation }))
    }
}
