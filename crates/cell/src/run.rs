//! Runs of tasks that the decider has requested and that may be alive.

use std::time;

use pier_core::ids;
use pier_core::resources::Resources;
use serde::{Deserialize, Serialize};

use crate::job::{AccountId, RunNumber};
use crate::worker::WorkerIncarnation;

/// The phase of a run, from the start request to the acknowledged stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPhase {
    /// The start request is sent once its record is stored in the log.
    Recording,
    /// The start request was sent and has no response yet.
    Sent,
    /// An earlier decider requested the run, or the response to the start request was lost. The
    /// next poll of the worker shows whether the run exists.
    Unknown {
        /// Only polls that were sent after this time are conclusive.
        since: time::Duration,
        /// An earlier decider requested the run. A worker that has responded to the current decider
        /// rejects start requests of earlier ones.
        is_fenced: bool,
    },
    /// The worker has started the run. Polls that were sent after `since` must list it.
    Running {
        /// When the worker's response arrived.
        since: time::Duration,
    },
    /// The run is being stopped and the worker has not acknowledged the stop.
    Stopping {
        /// How many stop requests were sent.
        attempts: u32,
        /// When the next one is due.
        due_at: time::Duration,
    },
    /// The worker has acknowledged the stop.
    Stopped {
        /// When the acknowledgement arrived.
        since: time::Duration,
    },
}

/// A run that may be alive. Its resources count as used until it is certain that it is not alive.
#[derive(Debug, Clone, PartialEq)]
pub struct Run {
    /// The worker that was asked to run it.
    pub worker: ids::WorkerId,
    /// The incarnation of the worker.
    pub incarnation: WorkerIncarnation,
    /// The number of the run.
    pub number: RunNumber,
    /// The phase of the run.
    pub phase: RunPhase,
    /// The resources that the run uses on the worker.
    pub need: Resources,
    /// The account whose limit the run counts against.
    pub account: Option<AccountId>,
    /// Whether this incarnation of the worker certainly has taken the start request: a poll has
    /// listed the run, or the response showed the clock of this incarnation. Before that, the request
    /// may have reached another one, because both can have the same id and address.
    pub is_confirmed: bool,
    /// When the decider placed the run.
    pub decided_at: time::Duration,
    /// Whether the run resumed from a checkpoint. It then takes less than the whole run time of the
    /// task.
    pub is_resumed: bool,
    /// The expected run time of the task.
    pub expected_run_time: time::Duration,
    /// The completed percentage at the last change that a poll has shown, and the time of that
    /// poll.
    pub progress: Option<(u8, time::Duration)>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
pub enum EndKind {
    /// The task completed.
    #[display("done")]
    Done,
    /// The task or its worker failed.
    #[display("failed")]
    Failed,
    /// The run was stopped on request.
    #[display("stopped")]
    Stopped,
    /// The lease ended: the worker had no contact with a decider for too long.
    #[display("lapsed")]
    Lapsed,
    /// Another member of the gang ended.
    #[display("broken")]
    Broken,
    /// The other members of the gang did not start.
    #[display("alone")]
    Alone,
}
