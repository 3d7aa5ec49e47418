//! Placement: the worker on which a task starts.

mod support;

use pier_core::{resources, task};
use pier_policy::{Decision, PendingTask, RunningTask, Worker};

use support::{
    NOW, add_running, batch, batch_running, busy_worker, cores, decide, fair, pending, secs,
    starts, two_teams, urgent, worker, worker_in,
};

/// The worker on which a task starts; `None` if it does not start.
fn worker_for(task: PendingTask, workers: &[Worker]) -> Option<String> {
    let tasks = [task];
    let decisions = decide(fair().as_mut(), &tasks, workers, &two_teams());
    starts(&decisions, &tasks, workers).pop().map(|(_, worker)| worker)
}

fn with_accelerators(name: &str) -> Worker {
    let mut worker = worker(name);
    worker.total.accelerators = 4;
    worker.free.accelerators = 4;
    worker
}

/// Guards against fragmentation of large free capacity by small tasks, and against accelerators
/// that they block.
#[test]
fn tasks_start_on_the_best_fit() {
    let accelerated = PendingTask {
        resources: resources::Resources { accelerators: 2, ..cores(1) },
        ..batch("t", "blue", 1)
    };
    let rows: [(&str, PendingTask, Vec<Worker>, Option<&str>); 6] = [
        (
            "the fullest worker with enough free resources",
            batch("t", "blue", 4),
            vec![busy_worker("a", &[4]), busy_worker("b", &[10]), busy_worker("c", &[14])],
            Some("b"),
        ),
        ("the first of equals", batch("t", "blue", 4), vec![worker("a"), worker("b")], Some("a")),
        (
            "not on accelerators",
            batch("t", "blue", 1),
            vec![with_accelerators("a"), worker("b")],
            Some("b"),
        ),
        (
            "on accelerators if the task fits nowhere else",
            batch("t", "blue", 4),
            vec![with_accelerators("a"), busy_worker("b", &[14])],
            Some("a"),
        ),
        ("accelerators", accelerated, vec![worker("a"), with_accelerators("b")], Some("b")),
        ("fits nowhere", batch("t", "blue", 4), vec![busy_worker("a", &[14])], None),
    ];
    for (name, task, workers, expected) in rows {
        assert_eq!(worker_for(task, &workers).as_deref(), expected, "{name}");
    }
}

/// Guards against starts on unschedulable workers, against more than one start on a failing worker,
/// and against a failing worker that is never tried again because a service runs there.
#[test]
fn unschedulable_and_failing_workers() {
    let unschedulable = Worker { schedulable: false, ..worker("w") };
    let failing = Worker { failures: 3, ..worker("w") };
    let failing_and_busy = Worker { failures: 3, ..busy_worker("w", &[1]) };
    let rows = [
        ("unschedulable", unschedulable, 0),
        ("failing", failing, 1),
        ("failing and busy", failing_and_busy, 1),
    ];
    for (name, worker, expected) in rows {
        let mut tasks = Vec::new();
        for index in 0..4 {
            tasks.push(batch(&format!("b{index}"), "blue", 1));
            tasks.push(urgent(&format!("u{index}"), "blue", 1));
        }
        let workers = [worker];
        let decisions = decide(fair().as_mut(), &tasks, &workers, &two_teams());
        assert_eq!(starts(&decisions, &tasks, &workers).len(), expected, "{name}");
    }
}

/// Guards against a service that loses all its tasks with one zone or one rack.
#[test]
fn services_are_spread_over_zones_then_racks() {
    let workers = [
        worker_in("w1", "z1", "r1"),
        worker_in("w2", "z1", "r1"),
        worker_in("w3", "z1", "r2"),
        worker_in("w4", "z2", "r1"),
    ];
    let mut tasks = Vec::new();
    for index in 0..6 {
        tasks.push(pending(&format!("job/{index}"), "blue", task::Class::Service, 1));
    }
    let decisions = decide(fair().as_mut(), &tasks, &workers, &two_teams());
    let mut used = Vec::new();
    for (_, worker) in starts(&decisions, &tasks, &workers) {
        used.push(worker);
    }
    // Round robin over zones; within the first zone over its racks, then over its workers.
    assert_eq!(used, ["w1", "w4", "w3", "w4", "w2", "w4"]);
    // Running tasks count, too.
    let mut workers = workers;
    let service = RunningTask { class: task::Class::Service, ..batch_running("job/9", 1) };
    add_running(&mut workers[0], service);
    assert_eq!(worker_for(tasks[0].clone(), &workers).as_deref(), Some("w4"));
}

/// Guards against a large task that small ones starve, and against a reserved worker that stays
/// idle where a small task would not delay the large one.
#[test]
fn a_worker_is_reserved_for_a_large_task_that_waits() {
    let connections = resources::Resources { connections: 1, ..resources::Resources::ZERO };
    // Label, waiting time of the large task in seconds, demand of the small one, whether the small
    // one starts.
    let rows = [
        ("waits briefly", 1, cores(1), true),
        ("waits long", 60, cores(1), false),
        ("waits long, small task needs another resource", 60, connections, true),
    ];
    for (name, waited, demand, expected) in rows {
        let mut policy = fair();
        let arrived = NOW - secs(waited);
        let large = PendingTask { arrived, ..batch("large", "blue", 16) };
        let small = PendingTask { resources: demand, ..batch("small", "green", 1) };
        let workers = [busy_worker("w", &[4])];
        // In the first decision the large task does not fit, so the worker is reserved.
        decide(policy.as_mut(), std::slice::from_ref(&large), &workers, &two_teams());
        let tasks = [large, small];
        let decisions = decide(policy.as_mut(), &tasks, &workers, &two_teams());
        let small_starts = !starts(&decisions, &tasks, &workers).is_empty();
        assert_eq!(small_starts, expected, "{name}");
        // A reservation never delays urgent work.
        let tasks = [tasks[0].clone(), urgent("urgent", "green", 1)];
        let decisions = decide(policy.as_mut(), &tasks, &workers, &two_teams());
        assert_eq!(starts(&decisions, &tasks, &workers).len(), 1, "{name}");
    }
}

/// Guards against a reservation that outlives its large task, which has started or been removed.
#[test]
fn a_reservation_ends_with_its_task() {
    let mut policy = fair();
    let large = PendingTask { arrived: NOW - secs(60), ..batch("large", "blue", 16) };
    let workers = [busy_worker("w", &[4])];
    decide(policy.as_mut(), std::slice::from_ref(&large), &workers, &two_teams());
    let small = [batch("small", "green", 1)];
    let decisions = decide(policy.as_mut(), &small, &workers, &two_teams());
    assert_eq!(decisions.len(), 1, "the large task has gone");
    decide(policy.as_mut(), std::slice::from_ref(&large), &workers, &two_teams());
    let empty = [worker("w")];
    let tasks = [large, small[0].clone()];
    let decisions = decide(policy.as_mut(), &tasks, &empty, &two_teams());
    assert!(matches!(decisions[0], Decision::Start { pending: 0, worker: 0 }), "{decisions:?}");
}
