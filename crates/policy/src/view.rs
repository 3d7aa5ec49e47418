//! Input and output types of a policy.

use std::time;

use pier_core::{caller, ids, resources, task};

use crate::backlog;

/// A task that waits to be started.
#[derive(Debug, Clone)]
pub struct PendingTask {
    pub task: ids::TaskId,
    /// The job that the task belongs to; `None` for an urgent request.
    pub job: Option<ids::JobId>,
    /// The team that the task is charged to.
    pub team: ids::TeamId,
    pub class: task::Class,
    /// The resources that the task needs.
    pub resources: resources::Resources,
    pub arrived: time::Duration,
    /// The latest time at which the task may start; `None` for no limit.
    pub start_by: Option<time::Duration>,
    /// The time by which the task should end; `None` for no deadline.
    pub deadline: Option<time::Duration>,
    /// The expected run time; zero if unknown.
    pub run_estimate: time::Duration,
}

/// A task that runs on a worker.
#[derive(Debug, Clone)]
pub struct RunningTask {
    pub task: ids::TaskId,
    /// The job that the task belongs to; `None` for an urgent request.
    pub job: Option<ids::JobId>,
    /// The team that the task is charged to.
    pub team: ids::TeamId,
    pub class: task::Class,
    /// The resources that the task occupies.
    pub resources: resources::Resources,
    /// When the task started, as far as this host knows.
    pub started: time::Duration,
    /// When the task is expected to end; `None` if unknown. The task may run longer.
    pub ends: Option<time::Duration>,
    /// The interval between checkpoints; zero if the task cannot checkpoint.
    pub checkpoint_interval: time::Duration,
    /// Whether the task may run again. Preemption would lose a task that may not.
    pub repeatable: bool,
    /// Whether preemption of the task has already been requested.
    pub preemption_requested: bool,
}

/// A worker that the host owns.
#[derive(Debug, Clone)]
pub struct Worker {
    pub worker: ids::WorkerId,
    /// The availability zone in which the worker is located.
    pub availability_zone: ids::ZoneId,
    /// The rack in which the worker is located.
    pub rack: ids::RackId,
    /// The total resources of the worker.
    pub total: resources::Resources,
    /// The free resources. Those of a task whose end is not confirmed are not free.
    pub free: resources::Resources,
    /// Whether the worker may get new tasks now: it is in service, not draining, taken over by this
    /// host and not in a retry delay.
    pub schedulable: bool,
    /// The number of consecutive failed starts while the worker is on probation; zero otherwise. A
    /// worker on probation gets one task per decision and is not schedulable until the result of
    /// that start is known. Tasks that started earlier say nothing about new starts, so they do not
    /// prevent such a trial start.
    pub failures: u32,
    pub running: Vec<RunningTask>,
}

/// The share, usage and limit of a team as the host knows them.
#[derive(Debug, Clone)]
pub struct Team {
    pub team: ids::TeamId,
    /// The weight of the team in the division of a full cell.
    pub share: u32,
    /// The resources that the team uses in the whole cell, as far as the host knows.
    pub used: resources::Resources,
    /// The exponentially decayed usage of the team's dominant resource, in parts per million of the
    /// cell.
    pub decayed_ppm: u64,
    /// The resources that this host may still allocate to the team within the team's limit.
    pub headroom: resources::Resources,
}

/// The input of a policy.
#[derive(Debug, Clone)]
pub struct View<'a> {
    /// The time since the process started.
    pub now: time::Duration,
    pub pending: &'a backlog::Backlog,
    /// The workers that the host owns, in ascending order of id.
    pub workers: &'a [Worker],
    /// The teams in ascending order of name.
    pub teams: &'a [Team],
    /// The total resources of all workers of the cell.
    pub cell_total: resources::Resources,
}

/// A decision of a policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Start a pending task on a worker with enough free resources.
    Start {
        /// The slot of the task in `View::pending`.
        pending: usize,
        /// The index of the worker in `View::workers`.
        worker: usize,
    },
    /// Preempt a running task so that a pending task can start later.
    Preempt {
        /// The index of the worker in `View::workers`.
        worker: usize,
        /// The index of the task in `Worker::running`.
        running: usize,
        mode: task::PreemptionMode,
    },
    /// Refuse a pending task because it cannot start in time.
    Refuse {
        /// The slot of the task in `View::pending`.
        pending: usize,
        /// The reason for the refusal.
        kind: caller::RefusalKind,
    },
}

/// The settings of a policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The weight of waiting time against fairness between teams, in percent. Values above 100
    /// count as 100.
    pub waiting_weight_percent: u32,
    /// The seed of the random number generator of a policy that uses one.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { waiting_weight_percent: 50, seed: 0 }
    }
}

/// A scheduling policy.
pub trait Policy: Send {
    /// The name by which a declaration selects the policy.
    fn name(&self) -> &'static str;

    /// Applies changed settings. The default implementation ignores them.
    fn configure(&mut self, _settings: &Settings) {}

    /// Returns the decisions for the given view, in the order in which they must be carried out. A
    /// pending task without a decision keeps waiting.
    fn decide(&mut self, view: &View<'_>) -> Vec<Decision>;
}
