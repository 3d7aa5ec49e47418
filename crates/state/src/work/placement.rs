//! The commands of jobs and requests to place attempts, and the events of these attempts.

use std::time;

use pier_core::{caller, ids, task};

/// A task to be placed on a worker of the cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    pub spec: task::TaskSpec,
    pub attempt: ids::Attempt,
    /// The time by which the attempt must have started; none for no bound.
    pub start_by: Option<time::Duration>,
    /// The time by which the task should have ended; none for no deadline.
    pub deadline: Option<time::Duration>,
    /// Whether to only reserve capacity until the attempt is committed.
    pub reserve: bool,
}

/// Identifies an attempt of a task.
pub type AttemptId = (ids::TaskId, ids::Attempt);

/// An attempt that a worker owner still tracks and that the new owner of its job takes over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Adoption {
    pub attempt: AttemptId,
    /// The owner of the worker.
    pub owner: ids::HostId,
    pub worker: ids::WorkerId,
}

/// What jobs ask of placement in one step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Commands {
    /// Attempts to place.
    pub place: Vec<Placement>,
    /// Attempts with reserved capacity to start.
    pub commit: Vec<AttemptId>,
    /// Attempts that are no longer wanted.
    pub cancel: Vec<AttemptId>,
    /// Running attempts that a new owner of the job keeps.
    pub adopt: Vec<Adoption>,
}

/// An event of an attempt. `NotRun` and `Ended` are final.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEvent {
    /// Capacity is reserved.
    Reserved,
    /// The attempt runs.
    Started { worker: ids::WorkerId },
    /// The attempt has not run and never will.
    NotRun { refusal: caller::Refusal },
    /// The attempt has certainly ended.
    Ended {
        /// How the task ended; none if that is not known.
        end: Option<task::TaskEnd>,
        /// The worker, if it is known.
        worker: Option<ids::WorkerId>,
    },
}
