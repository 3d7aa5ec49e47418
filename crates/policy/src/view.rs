//! What a policy sees and what it returns.

use std::time;

use pier_core::{caller, ids, resources, task};

use crate::backlog;

/// A task that waits for a start.
#[derive(Debug, Clone)]
pub struct PendingTask {
    /// The task's id.
    pub task: ids::TaskId,
    /// The job that the task belongs to.
    pub job: Option<ids::JobId>,
    /// The team that pays for the task.
    pub team: ids::TeamId,
    /// The kind of work.
    pub class: task::Class,
    /// What the task needs.
    pub resources: resources::Resources,
    /// When the task arrived.
    pub arrived: time::Duration,
    /// Until when the task must have started; none for no bound.
    pub start_by: Option<time::Duration>,
    /// Until when the task should have ended; none for no deadline.
    pub deadline: Option<time::Duration>,
    /// The expected run time; zero when unknown.
    pub run_estimate: time::Duration,
}

/// A task that runs on a worker.
#[derive(Debug, Clone)]
pub struct RunningTask {
    /// The task's id.
    pub task: ids::TaskId,
    /// The job that the task belongs to.
    pub job: Option<ids::JobId>,
    /// The team that pays for the task.
    pub team: ids::TeamId,
    /// The kind of work.
    pub class: task::Class,
    /// What the task holds.
    pub resources: resources::Resources,
    /// When the task started, as far as this host knows.
    pub started: time::Duration,
    /// When the task is expected to end; none when unknown. The task may run on beyond it.
    pub ends: Option<time::Duration>,
    /// The interval between checkpoints; zero when the task cannot checkpoint.
    pub checkpoint_interval: time::Duration,
    /// Whether the task may run again. One that may not would be lost if it yielded.
    pub repeatable: bool,
    /// Whether the task has already been asked to yield.
    pub preemption_requested: bool,
}

/// A worker that the host owns.
#[derive(Debug, Clone)]
pub struct Worker {
    /// The worker's id.
    pub worker: ids::WorkerId,
    /// The availability zone in which the worker stands.
    pub availability_zone: ids::ZoneId,
    /// The rack in which the worker stands.
    pub rack: ids::RackId,
    /// What the worker has.
    pub total: resources::Resources,
    /// What is free. Tasks whose end is not certain are not free.
    pub free: resources::Resources,
    /// Whether the worker may get work now: in service, not leaving, taken over, not backing off.
    pub schedulable: bool,
    /// The number of starts in a row that failed, while the worker is on trial; zero otherwise. A
    /// worker on trial gets one task in a decision, and is not schedulable while that one proves it.
    /// Older tasks on it prove nothing, so they do not keep it from being tried.
    pub failures: u32,
    /// The tasks that run on the worker.
    pub running: Vec<RunningTask>,
}

/// A team as the host sees it.
#[derive(Debug, Clone)]
pub struct Team {
    /// The team's name.
    pub team: ids::TeamId,
    /// The team's weight when the cell is full.
    pub share: u32,
    /// What the team uses in the whole cell, as far as the host knows.
    pub used: resources::Resources,
    /// The decayed usage of the team's dominant resource, in parts per million of the cell.
    pub decayed_ppm: u64,
    /// What this host may still start for the team under the team's limit.
    pub headroom: resources::Resources,
}

/// What a policy sees.
#[derive(Debug, Clone)]
pub struct View<'a> {
    /// The time since the process started.
    pub now: time::Duration,
    /// The pending tasks.
    pub pending: &'a backlog::Backlog,
    /// The workers that the host owns, in ascending order of id.
    pub workers: &'a [Worker],
    /// The teams in ascending order of name.
    pub teams: &'a [Team],
    /// What all workers of the cell have.
    pub cell_total: resources::Resources,
}

/// A decision of a policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Start a pending task on a worker that has room for it.
    Start {
        /// The slot of the task in `View::pending`.
        pending: usize,
        /// The index of the worker in `View::workers`.
        worker: usize,
    },
    /// Make a running task yield so that a pending task can start later.
    Preempt {
        /// The index of the worker in `View::workers`.
        worker: usize,
        /// The index of the task in `Worker::running`.
        running: usize,
        /// How the task yields.
        mode: task::PreemptionMode,
    },
    /// Refuse a pending task, because it cannot start in time.
    Refuse {
        /// The slot of the task in `View::pending`.
        pending: usize,
        /// The type of the refusal.
        kind: caller::RefusalKind,
    },
}

/// What operators and the host set for a policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Weight of waiting time against share fairness, in percent. More than 100 counts as 100.
    pub waiting_weight_percent: u32,
    /// What feeds the random numbers of a policy that draws some.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { waiting_weight_percent: 50, seed: 0 }
    }
}

/// A way to decide what starts next.
pub trait Policy: Send {
    /// The name under which a declaration chooses the policy.
    fn name(&self) -> &'static str;

    /// Takes changed settings. A policy that has none ignores them.
    fn configure(&mut self, _settings: &Settings) {}

    /// The decisions for the present view, in the order in which they are to be carried out. A
    /// pending task that no decision names keeps waiting.
    fn decide(&mut self, view: &View<'_>) -> Vec<Decision>;
}
