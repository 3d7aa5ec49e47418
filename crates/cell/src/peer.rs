//! Messages between hosts. Each host connects to the decider, and both ends send on that
//! connection.

use std::sync;

use pier_core::ids;
use serde::{Deserialize, Serialize};

use crate::effect::WorkerCall;
use crate::event::WorkerReply;
use crate::job::{JobSpec, JobState, Requester, StepIndex};

/// The least processor share, in thousandths of a core, of a host that follows the cell's log and
/// relays worker calls. Smaller hosts only forward callers' requests: they are slow to apply the
/// log and to relay workers' responses.
pub const MIN_FULL_HOST_CORE_PERMILLE: u32 = 250;

/// A host's description of itself, sent when it connects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// The host.
    pub host: ids::HostId,
    /// The incarnation of the host's process.
    pub incarnation: ids::Incarnation,
    /// The host's availability zone.
    pub zone: ids::ZoneId,
    /// The part of a processor core that the host may use, in thousandths.
    pub core_permille: u32,
}

/// A message between two hosts. Any message may be lost when its connection breaks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The first message on a connection; identifies the sender.
    Hello(PeerInfo),
    /// Keeps the connection alive.
    Alive,
    /// The decider cannot reach the log.
    #[serde(rename = "LogLost")]
    LogUnreachable {
        /// The decider's fencing token.
        token: u64,
    },
    /// The sender is not the decider; requests that are forwarded to it have no effect.
    NotDeciding {
        /// The fencing token of the sender's latest term as decider.
        token: u64,
    },
    /// A caller submits a job.
    Submit {
        /// Identifies the request in the response.
        ticket: ids::Ticket,
        /// The fencing token of the decider that the request is for, see [`Message::addressee`].
        #[serde(default)]
        token: u64,
        /// The submitted job.
        spec: sync::Arc<JobSpec>,
    },
    /// A caller cancels a job.
    Cancel {
        /// Identifies the request in the response.
        ticket: ids::Ticket,
        /// The fencing token of the decider that the request is for, see [`Message::addressee`].
        #[serde(default)]
        token: u64,
        /// The job.
        job: ids::JobId,
        /// Who the request comes from; none from hosts that do not state it yet.
        #[serde(default)]
        requester: Option<Requester>,
    },
    /// A caller requests a job's state.
    Show {
        /// Identifies the request in the response.
        ticket: ids::Ticket,
        /// The fencing token of the decider that the request is for, see [`Message::addressee`].
        #[serde(default)]
        token: u64,
        /// The job.
        job: ids::JobId,
        /// Who the request comes from; none from hosts that do not state it yet.
        #[serde(default)]
        requester: Option<Requester>,
    },
    /// A caller requests the number of jobs of a queue that have not begun.
    CountPending {
        /// Identifies the request in the response.
        ticket: ids::Ticket,
        /// The fencing token of the decider that the request is for, see [`Message::addressee`].
        #[serde(default)]
        token: u64,
        /// The queue.
        queue: ids::QueueId,
    },
    /// The decider's response to a forwarded request.
    #[serde(rename = "Verdict")]
    Outcome {
        /// Identifies the request.
        ticket: ids::Ticket,
        /// The decider's fencing token.
        token: u64,
        /// The outcome.
        #[serde(rename = "verdict")]
        outcome: RequestOutcome,
    },
    /// The decider has the receiver call a worker.
    Call(Box<WorkerCall>),
    /// The worker's response to such a call.
    Reply(Box<WorkerReply>),
    /// The decider has the receiver send a request to the adviser.
    AskAdviser {
        /// The request.
        #[serde(rename = "question")]
        request: AdviceRequest,
    },
    /// The adviser's response to such a request.
    Advice {
        /// Identifies the request.
        ticket: ids::Ticket,
        /// The advice; none if the adviser did not respond.
        #[serde(rename = "answer")]
        advice: Option<Advice>,
    },
}

impl Message {
    /// The fencing token of the decider that a caller's request is for. A process may decide several
    /// times, and a request that was sent to an earlier term may have been sent to another decider
    /// since. None for other messages, and for requests of hosts that do not state it yet.
    pub fn addressee(&self) -> Option<u64> {
        match self {
            Self::Submit { token, .. }
            | Self::Cancel { token, .. }
            | Self::Show { token, .. }
            | Self::CountPending { token, .. } => Some(*token).filter(|token| *token > 0),
            _ => None,
        }
    }
}

/// The outcome of a caller's request, as the decider reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// The change is in the log.
    Stored,
    /// No job has this id.
    Unknown,
    /// The job's state, as far as it is in the log.
    State(JobState),
    /// The number of jobs of the queue that have not begun.
    Pending(usize),
    /// The request was rejected and has no effect.
    Rejected {
        /// Why.
        reason: String,
        /// After which delay the caller may retry.
        retry_after_ms: u64,
    },
}

/// A request to the adviser: which of the workers may run a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceRequest {
    /// Identifies the request in the response.
    pub ticket: ids::Ticket,
    /// The job.
    pub job: ids::JobId,
    /// The step.
    pub step: StepIndex,
    /// The candidate workers.
    pub workers: Vec<ids::WorkerId>,
    /// The response timeout.
    pub timeout_ms: u64,
}

/// The adviser's response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// The workers that may run the step, each with its ticket.
    pub eligible: Vec<(ids::WorkerId, String)>,
    /// How long the tickets are valid.
    pub valid_ms: u64,
}
