//! What a host wants done.

use std::sync;
use std::time;

use pier_core::ids;
use serde::{Deserialize, Serialize};

use crate::follow::{Read, Topic};
use crate::job::{JobState, RunNumber, TaskRef};
use crate::options::Options;
use crate::peer::{Message, Question};
use crate::record::Record;

/// The worker that a call goes to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its id.
    pub worker: ids::WorkerId,
    /// Where it takes calls.
    pub address: sync::Arc<str>,
    /// The fencing token.
    pub token: u64,
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskRef,
    /// The start's number.
    pub number: RunNumber,
    /// The submitter's text.
    pub payload: sync::Arc<str>,
    /// The lease's end on the worker's clock.
    pub lease_until_ms: u64,
    /// Where the task continues.
    pub checkpoint: Option<String>,
    /// The adviser's ticket.
    pub ticket: Option<String>,
}

/// A call of a worker. The decider makes it itself or has another host make it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCall {
    /// The worker.
    pub target: Target,
    /// How long the answer may take, beyond the time that the worker may wait.
    pub timeout_ms: u64,
    /// What is asked.
    pub ask: WorkerAsk,
}

/// What a worker is asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerAsk {
    /// To start a run.
    Start(StartOrder),
    /// To stop a run.
    Stop {
        /// The task.
        task: TaskRef,
        /// The start's number.
        number: RunNumber,
    },
    /// To extend its leases and to tell what runs and what has ended.
    Look {
        /// When the look was decided; the answer repeats it.
        sent_at: time::Duration,
        /// Ends up to this number are in the log.
        ends_stored: u64,
        /// The lease's end on the worker's clock; none extends nothing.
        lease_until_ms: Option<u64>,
        /// How long the worker may wait for an end.
        wait_ms: u64,
    },
}

/// The answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The job is stored.
    Accepted,
    /// The cancellation is stored.
    Cancelled,
    /// A job's state.
    State(JobState),
    /// How many jobs of the queue have not begun.
    Pending(usize),
    /// There is no such queue.
    NoQueue,
    /// There is no such job.
    NoJob,
    /// The key is missing or not known.
    UnknownKey,
    /// The request cannot be understood.
    Invalid(String),
    /// The request was rejected and has no effect.
    Rejected {
        /// Why.
        reason: String,
        /// When to come back.
        retry_after: time::Duration,
    },
    /// It is not known whether the request took effect.
    Unsure,
}

/// Something that a host wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Read a topic.
    Read {
        /// The topic.
        topic: Topic,
        /// What to read.
        read: Read,
        /// How long the answer may take.
        timeout: time::Duration,
    },
    /// Append to the cell's log if it ends at `at`.
    Append {
        /// Names the append in the answer.
        ticket: ids::Ticket,
        /// Where the log must end.
        at: ids::Offset,
        /// The records.
        records: sync::Arc<Vec<Record>>,
        /// How long the answer may take.
        timeout: time::Duration,
    },
    /// Append to the topic of the deciders' announcements.
    Announce {
        /// The announcement.
        record: Record,
        /// How long the answer may take.
        timeout: time::Duration,
    },
    /// Call a worker.
    Call(Box<WorkerCall>),
    /// Ask the adviser.
    Advise(Question),
    /// Keep a connection to the decider at this address, and no other; none keeps no connection.
    Connect {
        /// The host and its address.
        decider: Option<(ids::HostId, sync::Arc<str>)>,
    },
    /// Send a message to a connected host.
    Send {
        /// The host.
        to: ids::HostId,
        /// The message.
        message: Message,
    },
    /// Answer a caller.
    Answer {
        /// The call.
        ticket: ids::Ticket,
        /// The answer.
        answer: Answer,
    },
    /// Tell the load balancer whether the host takes connections.
    Ready(bool),
}

impl Effect {
    /// A call of a worker.
    pub fn call(target: Target, ask: WorkerAsk, options: &Options) -> Self {
        let timeout_ms = pier_core::clock::millis(options.worker_call_timeout);
        Self::Call(Box::new(WorkerCall { target, timeout_ms, ask }))
    }
}
