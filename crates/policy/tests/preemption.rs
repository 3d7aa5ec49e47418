//! Preemption of batch tasks by urgent tasks.

mod support;

use std::time;

use pier_core::task;
use pier_policy::{PendingTask, RunningTask, Team, Worker};

use support::{
    NOW, add_running, batch, batch_running, busy_worker, cores, decide, fair, preemptions, secs,
    starts, team, two_teams, urgent, worker,
};

/// A batch task that started `started` seconds ago and checkpoints every `interval` seconds; zero
/// for none.
fn running(name: &str, size: u64, started: u64, interval: u64) -> RunningTask {
    RunningTask {
        started: NOW - secs(started),
        checkpoint_interval: secs(interval),
        ..batch_running(name, size)
    }
}

fn worker_running(name: &str, tasks: Vec<RunningTask>) -> Worker {
    let mut worker = worker(name);
    for task in tasks {
        add_running(&mut worker, task);
    }
    worker
}

/// Guards against needlessly lost work: the wrong victims, or too many.
#[test]
fn the_victims_lose_the_least_work() {
    use task::PreemptionMode::{Checkpoint, Stop};
    let already_preempted =
        RunningTask { preemption_requested: true, ..running("y", 16, 1_000, 0) };
    let service = RunningTask { class: task::Class::Service, ..running("s", 16, 1_000, 0) };
    let gang = RunningTask { class: task::Class::Gang, ..running("s", 16, 1_000, 0) };
    let not_repeatable = RunningTask { repeatable: false, ..running("o", 16, 1_000, 60) };
    let green = |name| RunningTask { team: "green".into(), ..running(name, 16, 30, 0) };
    let blue = |name| running(name, 16, 30, 0);
    type Row = (&'static str, u64, Vec<Worker>, Vec<(&'static str, task::PreemptionMode)>);
    let rows: [Row; 10] = [
        (
            "least time since the last checkpoint",
            8,
            vec![worker_running("a", vec![running("a", 8, 599, 60), running("b", 8, 605, 60)])],
            vec![("b", Checkpoint)],
        ),
        (
            "a young task without checkpoints",
            8,
            vec![worker_running("a", vec![running("a", 8, 599, 60), running("b", 8, 2, 0)])],
            vec![("b", Stop)],
        ),
        (
            "the smallest that suffices",
            4,
            vec![worker_running("a", vec![running("a", 8, 30, 0), running("b", 5, 30, 0)])],
            vec![("b", Stop)],
        ),
        (
            "the team most over its share",
            16,
            vec![worker_running("a", vec![blue("a")]), worker_running("b", vec![green("b")])],
            vec![("b", Stop)],
        ),
        (
            "one large task rather than two small ones",
            16,
            vec![
                worker_running("a", vec![running("a", 8, 30, 0), running("b", 8, 30, 0)]),
                worker_running("b", vec![running("c", 16, 300, 0)]),
            ],
            vec![("c", Stop)],
        ),
        (
            "no more than are needed together",
            14,
            vec![worker_running(
                "a",
                vec![running("a", 2, 1, 0), running("b", 8, 2, 0), running("c", 6, 3, 0)],
            )],
            vec![("c", Stop), ("b", Stop)],
        ),
        (
            "no second victim while a preemption is in progress",
            16,
            vec![worker_running("a", vec![already_preempted])],
            vec![],
        ),
        ("services are not preempted", 16, vec![worker_running("a", vec![service])], vec![]),
        (
            "tasks that are not repeatable are not preempted",
            16,
            vec![worker_running("a", vec![not_repeatable])],
            vec![],
        ),
        ("gangs are not preempted", 16, vec![worker_running("a", vec![gang])], vec![]),
    ];
    for (name, size, workers, expected) in rows {
        let teams = [team("blue", 2, 400_000), team("green", 1, 400_000)];
        let tasks = [urgent("urgent", "blue", size)];
        let decisions = decide(fair().as_mut(), &tasks, &workers, &teams);
        let mut found = preemptions(&decisions, &workers);
        found.sort_by(|a, b| a.0.cmp(&b.0));
        let mut expected_preemptions: Vec<(String, task::PreemptionMode)> = Vec::new();
        for (task, mode) in expected {
            expected_preemptions.push((task.to_owned(), mode));
        }
        expected_preemptions.sort_by(|a, b| a.0.cmp(&b.0));
        assert_eq!(found, expected_preemptions, "{name}");
        assert!(starts(&decisions, &tasks, &workers).is_empty(), "{name}");
    }
}

/// Guards against preemption although the task fits without it, or although preemption cannot help.
#[test]
fn nothing_is_preempted_without_need() {
    let unschedulable = Worker { schedulable: false, ..busy_worker("w", &[16]) };
    let starts_too_soon = PendingTask {
        start_by: Some(NOW + time::Duration::from_millis(50)),
        ..urgent("u", "blue", 1)
    };
    let rows = [
        (
            "another worker has enough free resources",
            urgent("u", "blue", 1),
            vec![busy_worker("a", &[16]), worker("b")],
        ),
        ("only batch work waits", batch("b", "blue", 1), vec![busy_worker("a", &[16])]),
        ("the worker is not schedulable", urgent("u", "blue", 1), vec![unschedulable]),
        (
            "the task must start before a preemption can end",
            starts_too_soon,
            vec![busy_worker("a", &[16])],
        ),
    ];
    for (name, task, workers) in rows {
        let decisions = decide(fair().as_mut(), &[task], &workers, &two_teams());
        assert!(preemptions(&decisions, &workers).is_empty(), "{name}");
    }
    let at_limit = Team { headroom: cores(0), ..team("blue", 1, 0) };
    let workers = [busy_worker("a", &[16])];
    let decisions = decide(fair().as_mut(), &[urgent("u", "blue", 1)], &workers, &[at_limit]);
    assert!(decisions.is_empty(), "the team is at its limit");
}

/// Guards against one victim for each of several urgent tasks that all fit in the capacity of one.
#[test]
fn urgent_tasks_share_the_capacity_of_a_victim() {
    let workers = [busy_worker("a", &[8, 8])];
    // The number of urgent tasks of two cores, and the number of victims.
    for (count, victims) in [(1, 1), (4, 1), (5, 2), (8, 2), (20, 2)] {
        let mut tasks = Vec::new();
        for index in 0..count {
            tasks.push(urgent(&format!("u{index}"), "blue", 2));
        }
        let decisions = decide(fair().as_mut(), &tasks, &workers, &two_teams());
        assert_eq!(preemptions(&decisions, &workers).len(), victims, "{count} urgent tasks");
    }
}

/// Guards against a victim that is preempted in every decision although it does not end.
#[test]
fn preemption_of_the_same_task_is_not_repeated_at_once() {
    let mut policy = fair();
    let workers = [
        worker_running("a", vec![running("a", 16, 1, 0)]),
        worker_running("b", vec![running("b", 16, 9, 0)]),
    ];
    let tasks = [urgent("u", "blue", 1)];
    let mut preempted = Vec::new();
    for _ in 0..3 {
        let decisions = decide(policy.as_mut(), &tasks, &workers, &two_teams());
        preempted.extend(preemptions(&decisions, &workers));
    }
    let names: Vec<&str> = preempted.iter().map(|(task, _)| task.as_str()).collect();
    assert_eq!(names, ["a", "b"]);
}
