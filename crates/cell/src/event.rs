//! What happens to a host.

use std::sync;
use std::time;

use pier_core::ids;
use serde::{Deserialize, Serialize};

use crate::directory::Directory;
use crate::follow::{Page, ReadError, Stretch};
use crate::job::{JobSpec, RunNumber, TaskRef};
use crate::peer::{Advice, Message};
use crate::record::Record;
use crate::run::EndKind;
use crate::worker::{WorkerIncarnation, WorkerInfo};

/// What an operator's record says.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRecord {
    /// The newest declaration.
    Directory(sync::Arc<Directory>),
    /// Whether a zone is to get no work.
    ZoneOut {
        /// The zone.
        zone: ids::ZoneId,
        /// Whether the request stands.
        is_out: bool,
    },
    /// A record that cannot be read or that says nothing of concern.
    Other,
}

/// What a worker's record says; none when the worker is no longer listed.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerRecord {
    /// The worker.
    pub id: ids::WorkerId,
    /// Its description; none when it has left or when its record cannot be used.
    pub entry: Option<WorkerInfo>,
}

/// The answer of the log to a read.
#[derive(Debug)]
pub enum ReadAnswer<T> {
    /// A page of newest records.
    Page(Page<T>),
    /// A stretch of the log.
    Stretch(Stretch<T>),
    /// The call failed.
    Failed(ReadError),
}

/// The answer of the log to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendAnswer {
    /// The records are stored up to this end.
    Stored {
        /// The offset after the last of them.
        end: ids::Offset,
    },
    /// The log does not end where it was expected to.
    Moved,
    /// Nothing was done.
    Refused,
    /// It may have been done, or may be done later.
    NoAnswer,
}

/// A caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// The host name that the caller addressed.
    pub host: String,
    /// The path, without a query.
    pub path: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub patience: Option<time::Duration>,
    /// What it asks for.
    pub ask: Ask,
}

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Ask {
    /// To take a job. The queue and the account are filled in by the host.
    Submit(Result<Box<JobSpec>, InvalidJob>),
    /// To tell a job's state, or how many jobs of a queue wait.
    Show,
    /// To cancel a job.
    Cancel,
}

/// A submission that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{reason}")]
pub struct InvalidJob {
    /// What is wrong.
    pub reason: String,
}

/// The answer of a worker to a start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartAnswer {
    /// The run is there.
    Started {
        /// The worker's clock.
        clock_ms: u64,
    },
    /// The worker has done nothing.
    Rejected {
        /// Why.
        reason: RejectReason,
    },
    /// The order may be carried out, also later.
    NoAnswer,
}

/// Why a worker rejected an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
pub enum RejectReason {
    /// It has heard from a later decider.
    #[display("fenced")]
    Fenced,
    /// The run's number is not above one that has ended.
    #[display("stale run")]
    StaleRun,
    /// The lease was over.
    #[display("late")]
    Late,
    /// There is no room.
    #[display("no room")]
    NoRoom,
    /// The adviser's ticket is not valid.
    #[display("ticket not valid")]
    Ticket,
    /// The worker is another one, or in another incarnation.
    #[display("another incarnation")]
    OtherLife,
    /// The worker is unwell or does not take the order.
    #[display("refused")]
    Refused,
}

/// A run that a worker lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedRun {
    /// The task; none when its name is not one of ours.
    pub task: TaskRef,
    /// The start's number.
    pub number: RunNumber,
    /// The newest checkpoint.
    pub checkpoint: Option<String>,
    /// How much of it is done, where the worker says so.
    pub percent: Option<u8>,
}

/// An end that a worker lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEnd {
    /// The end's number in the worker's incarnation.
    pub sequence: u64,
    /// The task; none when its name is not one of ours.
    pub task: Option<TaskRef>,
    /// The start's number.
    pub number: RunNumber,
    /// How it ended; none when this version does not know the word.
    pub kind: Option<EndKind>,
    /// The newest checkpoint.
    pub checkpoint: Option<String>,
}

/// The answer of a worker to a look.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LookAnswer {
    /// What it runs and what has ended.
    Report {
        /// The worker's clock.
        clock_ms: u64,
        /// Its incarnation, where it says so.
        life: Option<WorkerIncarnation>,
        /// What runs.
        running: Vec<ListedRun>,
        /// What has ended.
        ended: Vec<ListedEnd>,
    },
    /// It has heard from a later decider.
    Fenced,
    /// No answer, or one that says nothing of its runs.
    NoAnswer,
}

/// The answer to a call of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReply {
    /// The worker.
    pub worker: ids::WorkerId,
    /// The fencing token that the call carried.
    pub token: u64,
    /// The answer.
    pub answer: WorkerAnswer,
}

/// What a worker answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerAnswer {
    /// To a start.
    Start {
        /// The task.
        task: TaskRef,
        /// The start's number.
        number: RunNumber,
        /// The answer.
        answer: StartAnswer,
    },
    /// To a stop.
    Stop {
        /// The task.
        task: TaskRef,
        /// The start's number.
        number: RunNumber,
        /// Whether the worker acknowledged it.
        is_acknowledged: bool,
    },
    /// To a look.
    Look {
        /// When the look was decided.
        sent_at: time::Duration,
        /// The answer.
        answer: LookAnswer,
    },
}

/// Something that happens to a host.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The log answered a read of the cell's log.
    Cell(ReadAnswer<Record>),
    /// The log answered a read of the announcements of deciders.
    Deciders(ReadAnswer<Record>),
    /// The log answered an announcement of this host.
    Announced {
        /// Whether it is certain that it was stored.
        is_stored: bool,
    },
    /// The log answered a read of the operators' records.
    Operators(ReadAnswer<OperatorRecord>),
    /// The log answered a read of the workers' records.
    Workers(ReadAnswer<WorkerRecord>),
    /// The log answered an append.
    Appended {
        /// Which append.
        ticket: ids::Ticket,
        /// The answer.
        answer: AppendAnswer,
    },
    /// A caller's request.
    Called {
        /// Names the call in the answer.
        ticket: ids::Ticket,
        /// The request.
        call: Box<Call>,
    },
    /// A worker answered a call of this host, or did not.
    Replied(Box<WorkerReply>),
    /// The adviser answered this host, or did not.
    Advised {
        /// The question.
        ticket: ids::Ticket,
        /// The answer.
        answer: Option<Advice>,
    },
    /// Another host sent a message.
    Peer {
        /// The host.
        from: ids::HostId,
        /// The message.
        message: Message,
    },
    /// The connection with another host is gone.
    PeerGone {
        /// The host.
        host: ids::HostId,
    },
    /// The process is to end.
    Shutdown,
}
