//! The simulated workers.

use std::collections;
use std::time;

use pier_core::{ids, resources, task, wire};

/// The behaviour of a worker when it receives a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Healthy,
    /// Refuses starts.
    Refuses,
    /// Cannot be connected to.
    Unreachable,
    /// Executes starts, but its answers are lost.
    LosesAnswers,
    /// Sends every answer twice.
    AnswersTwice,
}

#[derive(Debug, Clone)]
pub struct RunningTask {
    pub task: wire::StartTask,
    pub ends_at: time::Duration,
    pub lease_until: time::Duration,
    pub owner: usize,
}

#[derive(Debug)]
pub struct SimWorker {
    pub id: ids::WorkerId,
    pub total: resources::Resources,
    pub owner: usize,
    pub mode: Mode,
    pub running: collections::BTreeMap<(ids::TaskId, ids::Attempt), RunningTask>,
    pub ended: Vec<wire::EndedTask>,
    pub token: task::FencingToken,
    /// The actual usage of the tasks, in percent of their declared size.
    pub use_percent: u64,
}

impl SimWorker {
    pub(super) fn used(&self) -> resources::Resources {
        let mut used = resources::Resources::ZERO;
        for running in self.running.values() {
            used = used.plus(&running.task.resources);
        }
        used
    }

    pub fn tasks(&self, now: time::Duration) -> wire::WorkerTasks {
        let mut tasks = wire::WorkerTasks { running: Vec::new(), ended: self.ended.clone() };
        for ((task, attempt), running) in &self.running {
            tasks.running.push(wire::RunningTask {
                task: task.clone(),
                attempt: *attempt,
                resources: running.task.resources,
                labels: running.task.labels.clone(),
                resources_used: running.task.resources.scaled(self.use_percent, 100),
                lease_left_ms: pier_core::clock::millis(running.lease_until.saturating_sub(now)),
            });
        }
        tasks
    }
}
