//! Messages between hosts. A host connects to the decider, and both send on that connection.

use std::sync;

use pier_core::ids;
use serde::{Deserialize, Serialize};

use crate::effect::WorkerCall;
use crate::event::WorkerReply;
use crate::job::{JobSpec, JobState, StepIndex};

/// Hosts with less of a core, in thousandths, pass calls on and leave the rest to others: they are
/// slow to fold the log and to carry what workers answer.
pub const USUAL_CORE_PERMILLE: u32 = 250;

/// What a host says of itself when it connects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// The host.
    pub host: ids::HostId,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// The part of a processor core that it may use, in thousandths.
    pub core_permille: u32,
}

/// A message between two hosts. Each may be lost with its connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The first message of a connection: who connects.
    Hello(PeerInfo),
    /// The connection is alive.
    Alive,
    /// The decider does not reach the log.
    LogLost {
        /// Its fencing token.
        token: u64,
    },
    /// The sender does not decide: what was passed to it now has no effect.
    NotDeciding {
        /// The fencing token of its last time as decider.
        token: u64,
    },
    /// A job that a caller submitted.
    Submit {
        /// Names the call in the answer.
        ticket: ids::Ticket,
        /// What was submitted.
        spec: sync::Arc<JobSpec>,
    },
    /// A caller cancels a job.
    Cancel {
        /// Names the call in the answer.
        ticket: ids::Ticket,
        /// The job.
        job: ids::JobId,
    },
    /// A caller asks for a job's state.
    Show {
        /// Names the call in the answer.
        ticket: ids::Ticket,
        /// The job.
        job: ids::JobId,
    },
    /// A caller asks how many jobs of a queue have not begun.
    CountPending {
        /// Names the call in the answer.
        ticket: ids::Ticket,
        /// The queue.
        queue: ids::QueueId,
    },
    /// What became of a call.
    Verdict {
        /// The call that it answers.
        ticket: ids::Ticket,
        /// The fencing token of the decider that says so.
        token: u64,
        /// What became of it.
        verdict: Verdict,
    },
    /// The host is to call a worker.
    Call(Box<WorkerCall>),
    /// What the worker answered.
    Reply(Box<WorkerReply>),
    /// The host is to ask the adviser.
    AskAdviser {
        /// The question.
        question: Question,
    },
    /// What the adviser said.
    Advice {
        /// The question's ticket.
        ticket: ids::Ticket,
        /// The answer; none when none came.
        answer: Option<Advice>,
    },
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It is in the log.
    Stored,
    /// No such job is known.
    Unknown,
    /// The job's state as far as it is stored.
    State(JobState),
    /// So many jobs of the queue have not begun.
    Pending(usize),
    /// It was rejected and has no effect.
    Rejected {
        /// Why.
        reason: String,
        /// When the caller may come back.
        retry_after_ms: u64,
    },
}

/// A question to the adviser: which of the workers may run a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Names the question in the answer.
    pub ticket: ids::Ticket,
    /// The job.
    pub job: ids::JobId,
    /// The step.
    pub step: StepIndex,
    /// The workers in question.
    pub workers: Vec<ids::WorkerId>,
    /// How long the answer may take.
    pub timeout_ms: u64,
}

/// The adviser's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// The workers that may run the step, each with its ticket.
    pub eligible: Vec<(ids::WorkerId, String)>,
    /// How long the tickets are valid.
    pub valid_ms: u64,
}
