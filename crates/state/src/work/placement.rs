//! What jobs and requests ask of placement, and what placement tells them.

use std::time;

use pier_core::{caller, ids, task};

/// A task that is to be placed on some worker of the cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The task.
    pub spec: task::TaskSpec,
    /// The number of the attempt.
    pub attempt: ids::Attempt,
    /// Until when the attempt must have started; none for no bound.
    pub start_by: Option<time::Duration>,
    /// Until when the task should have ended; none for no deadline.
    pub deadline: Option<time::Duration>,
    /// Whether room is only reserved until the attempt is committed.
    pub reserve: bool,
}

/// An attempt of a task.
pub type AttemptId = (ids::TaskId, ids::Attempt);

/// An attempt that an owner of workers still counts, and that its job takes over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Adoption {
    /// The attempt.
    pub attempt: AttemptId,
    /// The owner of the worker.
    pub owner: ids::HostId,
    /// The worker.
    pub worker: ids::WorkerId,
}

/// What jobs ask of placement in one step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Commands {
    /// Attempts to place.
    pub place: Vec<Placement>,
    /// Reserved attempts to start.
    pub commit: Vec<AttemptId>,
    /// Attempts that are no longer wanted.
    pub cancel: Vec<AttemptId>,
    /// Running attempts that a new owner of the job keeps.
    pub adopt: Vec<Adoption>,
}

/// What placement tells of an attempt. `NotRun` and `Ended` are the last it tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEvent {
    /// Room is reserved.
    Reserved,
    /// The attempt runs.
    Started {
        /// The worker.
        worker: ids::WorkerId,
    },
    /// The attempt has not run and never will.
    NotRun {
        /// Why.
        refusal: caller::Refusal,
    },
    /// The attempt has certainly ended.
    Ended {
        /// The end; none if it ended but nobody knows how.
        end: Option<task::TaskEnd>,
        /// The worker, if it is known.
        worker: Option<ids::WorkerId>,
    },
}
