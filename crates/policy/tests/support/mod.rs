//! Builders of views, and helpers that extract decisions.

#![allow(dead_code, reason = "each test file uses a part of the module")]

use std::time;

use pier_core::{resources, task};
use pier_policy::{Backlog, Decision, PendingTask, Policy, RunningTask, Team, View, Worker};

pub const NOW: time::Duration = time::Duration::from_secs(10_000);

pub fn secs(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

/// Resources with a number of whole cores, 4,000 MB of memory per core, and one slot.
pub fn cores(cores: u64) -> resources::Resources {
    resources::Resources {
        cpu_milli: cores * 1_000,
        memory_mb: cores * 4_000,
        accelerators: 0,
        slots: 1,
        connections: 0,
    }
}

/// An empty worker with 16 cores and 8 slots.
pub fn worker(name: &str) -> Worker {
    let total = resources::Resources { slots: 8, connections: 64, ..cores(16) };
    Worker {
        worker: name.into(),
        availability_zone: "z1".into(),
        rack: "r1".into(),
        total,
        free: total,
        schedulable: true,
        failures: 0,
        running: Vec::new(),
    }
}

/// An empty worker in an availability zone and a rack.
pub fn worker_in(name: &str, zone: &str, rack: &str) -> Worker {
    Worker { availability_zone: zone.into(), rack: rack.into(), ..worker(name) }
}

/// A worker that runs a batch task of team `blue` for each number of cores in `tasks`.
pub fn busy_worker(name: &str, tasks: &[u64]) -> Worker {
    let mut worker = worker(name);
    for (index, size) in tasks.iter().enumerate() {
        add_running(&mut worker, batch_running(&format!("{name}-task{index}"), *size));
    }
    worker
}

/// Adds a running task to a worker and reduces the free resources.
pub fn add_running(worker: &mut Worker, running: RunningTask) {
    worker.free = worker.free.minus(&running.resources);
    worker.running.push(running);
}

pub fn batch_running(name: &str, size: u64) -> RunningTask {
    RunningTask {
        task: name.into(),
        job: Some("job".into()),
        team: "blue".into(),
        class: task::Class::Batch,
        resources: cores(size),
        started: NOW - secs(1_000),
        ends: None,
        checkpoint_interval: time::Duration::ZERO,
        repeatable: true,
        preemption_requested: false,
    }
}

pub fn pending(name: &str, team: &str, class: task::Class, size: u64) -> PendingTask {
    PendingTask {
        task: name.into(),
        job: (class != task::Class::Urgent).then(|| "job".into()),
        team: team.into(),
        class,
        resources: cores(size),
        arrived: NOW - secs(1),
        start_by: None,
        deadline: None,
        run_estimate: time::Duration::ZERO,
    }
}

pub fn batch(name: &str, team: &str, size: u64) -> PendingTask {
    pending(name, team, task::Class::Batch, size)
}

pub fn urgent(name: &str, team: &str, size: u64) -> PendingTask {
    let start_by = Some(NOW + secs(2));
    PendingTask { start_by, ..pending(name, team, task::Class::Urgent, size) }
}

pub fn team(name: &str, share: u32, decayed_ppm: u64) -> Team {
    Team {
        team: name.into(),
        share,
        used: resources::Resources::ZERO,
        decayed_ppm,
        headroom: resources::Resources::MAX,
    }
}

/// Two teams with equal shares and no usage.
pub fn two_teams() -> Vec<Team> {
    vec![team("blue", 1, 0), team("green", 1, 0)]
}

/// A backlog of tasks in order of arrival. The slot of each task is its index in `pending`.
pub fn backlog(pending: &[PendingTask]) -> Backlog {
    let mut backlog = Backlog::default();
    for (index, task) in pending.iter().enumerate() {
        assert_eq!(backlog.push(task.clone()), index);
    }
    backlog
}

/// The decisions of a policy for a view at the time [`NOW`].
pub fn decide(
    policy: &mut dyn Policy,
    pending: &[PendingTask],
    workers: &[Worker],
    teams: &[Team],
) -> Vec<Decision> {
    let mut cell_total = resources::Resources::ZERO;
    for worker in workers {
        cell_total = cell_total.plus(&worker.total);
    }
    let pending = &backlog(pending);
    policy.decide(&View { now: NOW, pending, workers, teams, cell_total })
}

pub fn fair() -> Box<dyn Policy> {
    pier_policy::by_name("fair").expect("the policy is registered")
}

/// The started tasks and their workers, in order.
pub fn starts(
    decisions: &[Decision],
    pending: &[PendingTask],
    workers: &[Worker],
) -> Vec<(String, String)> {
    let mut starts = Vec::new();
    for decision in decisions {
        if let Decision::Start { pending: task, worker } = decision {
            let task = pending[*task].task.to_string();
            starts.push((task, workers[*worker].worker.to_string()));
        }
    }
    starts
}

/// The preempted tasks and the modes of their preemption, in order.
pub fn preemptions(
    decisions: &[Decision],
    workers: &[Worker],
) -> Vec<(String, task::PreemptionMode)> {
    let mut preemptions = Vec::new();
    for decision in decisions {
        if let Decision::Preempt { worker, running, mode } = decision {
            preemptions.push((workers[*worker].running[*running].task.to_string(), *mode));
        }
    }
    preemptions
}
