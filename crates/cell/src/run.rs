//! The runs of tasks that the decider has ordered and that may be alive.

use std::time;

use pier_core::ids;
use pier_core::resources::Resources;
use serde::{Deserialize, Serialize};

use crate::job::{AccountId, RunNumber};
use crate::worker::WorkerIncarnation;

/// How far the order of a run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPhase {
    /// The order waits for its record in the log.
    Recording,
    /// The order was sent and is not answered.
    Sent,
    /// An earlier decider ordered it, or the answer was lost: the next look tells.
    Unknown {
        /// Looks sent from then on tell.
        since: time::Duration,
        /// An earlier decider ordered it: a worker that has answered this one refuses that order.
        is_fenced: bool,
    },
    /// The worker has it. Looks that were sent after `since` must list it.
    Running {
        /// When the worker's answer came.
        since: time::Duration,
    },
    /// It is to be stopped; the stop is not acknowledged.
    Stopping {
        /// When the stop was last sent.
        sent_at: Option<time::Duration>,
    },
    /// The worker has acknowledged the stop.
    Stopped {
        /// When the acknowledgement came.
        since: time::Duration,
    },
}

/// A run that may be alive. It takes room until it is certain that it is not.
#[derive(Debug, Clone, PartialEq)]
pub struct Run {
    /// The worker that was ordered to run it.
    pub worker: ids::WorkerId,
    /// The worker's incarnation.
    pub incarnation: WorkerIncarnation,
    /// The number of the start.
    pub number: RunNumber,
    /// How far its order has come.
    pub phase: RunPhase,
    /// What it takes of the worker.
    pub need: Resources,
    /// Whose limit it counts against.
    pub account: Option<AccountId>,
    /// A look has shown it in its worker's incarnation. Until then an order may have reached another
    /// incarnation of the worker, because both can have one id and one address.
    pub is_confirmed: bool,
    /// When it was decided.
    pub decided_at: time::Duration,
    /// Whether it continued from a checkpoint, so that it takes less than its task's whole time.
    pub is_resumed: bool,
    /// The percentage that was done when a look last saw it move, and the time of that look.
    pub progress: Option<(u8, time::Duration)>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
pub enum EndKind {
    /// The task is done.
    #[display("done")]
    Done,
    /// The task or its worker failed.
    #[display("failed")]
    Failed,
    /// It was told to stop.
    #[display("stopped")]
    Stopped,
    /// Its worker heard from no decider for too long.
    #[display("lapsed")]
    Lapsed,
    /// Another member of its gang ended.
    #[display("broken")]
    Broken,
    /// The other members of its gang did not come.
    #[display("alone")]
    Alone,
}
