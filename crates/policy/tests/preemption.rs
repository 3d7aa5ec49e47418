//! What yields to urgent work.

mod support;

use std::time;

use pier_core::task;
use pier_policy::{PendingTask, RunningTask, Team, Worker};

use support::{
    NOW, batch, batch_running, busy_worker, cores, decide, fair, run, secs, starts, team,
    two_teams, urgent, worker, yields,
};

/// A batch task that started some seconds ago and checkpoints at an interval in seconds.
fn running(name: &str, size: u64, started: u64, interval: u64) -> RunningTask {
    RunningTask {
        started: NOW - secs(started),
        checkpoint_interval: secs(interval),
        ..batch_running(name, size)
    }
}

fn full(name: &str, tasks: Vec<RunningTask>) -> Worker {
    let mut worker = worker(name);
    for task in tasks {
        run(&mut worker, task);
    }
    worker
}

/// Guards against lost work that was not needed: the wrong victims, or too many.
#[test]
fn the_victims_lose_the_least_work() {
    use task::PreemptionMode::{Checkpoint, Stop};
    let yields_now = RunningTask { preemption_requested: true, ..running("y", 16, 1_000, 0) };
    let service = RunningTask { class: task::Class::Service, ..running("s", 16, 1_000, 0) };
    let gang = RunningTask { class: task::Class::Gang, ..running("s", 16, 1_000, 0) };
    let once = RunningTask { repeatable: false, ..running("o", 16, 1_000, 60) };
    let green = |name| RunningTask { team: "green".into(), ..running(name, 16, 30, 0) };
    let blue = |name| running(name, 16, 30, 0);
    type Row = (&'static str, u64, Vec<Worker>, Vec<(&'static str, task::PreemptionMode)>);
    let rows: [Row; 10] = [
        (
            "least time since the last checkpoint",
            8,
            vec![full("a", vec![running("a", 8, 599, 60), running("b", 8, 605, 60)])],
            vec![("b", Checkpoint)],
        ),
        (
            "a young task without checkpoints",
            8,
            vec![full("a", vec![running("a", 8, 599, 60), running("b", 8, 2, 0)])],
            vec![("b", Stop)],
        ),
        (
            "the smallest that is enough",
            4,
            vec![full("a", vec![running("a", 8, 30, 0), running("b", 5, 30, 0)])],
            vec![("b", Stop)],
        ),
        (
            "the team most over its share",
            16,
            vec![full("a", vec![blue("a")]), full("b", vec![green("b")])],
            vec![("b", Stop)],
        ),
        (
            "one large task rather than two small ones",
            16,
            vec![
                full("a", vec![running("a", 8, 30, 0), running("b", 8, 30, 0)]),
                full("b", vec![running("c", 16, 300, 0)]),
            ],
            vec![("c", Stop)],
        ),
        (
            "no more than are needed together",
            14,
            vec![full(
                "a",
                vec![running("a", 2, 1, 0), running("b", 8, 2, 0), running("c", 6, 3, 0)],
            )],
            vec![("c", Stop), ("b", Stop)],
        ),
        ("not again while a victim yields", 16, vec![full("a", vec![yields_now])], vec![]),
        ("services do not yield", 16, vec![full("a", vec![service])], vec![]),
        ("work that may not run again does not yield", 16, vec![full("a", vec![once])], vec![]),
        ("gangs do not yield", 16, vec![full("a", vec![gang])], vec![]),
    ];
    for (name, size, workers, expected) in rows {
        let teams = [team("blue", 2, 400_000), team("green", 1, 400_000)];
        let tasks = [urgent("urgent", "blue", size)];
        let decisions = decide(fair().as_mut(), &tasks, &workers, &teams);
        let mut found = yields(&decisions, &workers);
        found.sort_by(|a, b| a.0.cmp(&b.0));
        let mut wanted: Vec<(String, task::PreemptionMode)> = Vec::new();
        for (task, how) in expected {
            wanted.push((task.to_owned(), how));
        }
        wanted.sort_by(|a, b| a.0.cmp(&b.0));
        assert_eq!(found, wanted, "{name}");
        assert!(starts(&decisions, &tasks, &workers).is_empty(), "{name}");
    }
}

/// Guards against victims although there is room, or although they could not help.
#[test]
fn nothing_yields_without_need() {
    let closed = Worker { schedulable: false, ..busy_worker("w", &[16]) };
    let soon = PendingTask {
        start_by: Some(NOW + time::Duration::from_millis(50)),
        ..urgent("u", "blue", 1)
    };
    let rows = [
        ("there is room", urgent("u", "blue", 1), vec![busy_worker("a", &[16]), worker("b")]),
        ("only batch work waits", batch("b", "blue", 1), vec![busy_worker("a", &[16])]),
        ("the worker is closed", urgent("u", "blue", 1), vec![closed]),
        ("there is no time", soon, vec![busy_worker("a", &[16])]),
    ];
    for (name, task, workers) in rows {
        let decisions = decide(fair().as_mut(), &[task], &workers, &two_teams());
        assert!(yields(&decisions, &workers).is_empty(), "{name}");
    }
    let at_limit = Team { headroom: cores(0), ..team("blue", 1, 0) };
    let workers = [busy_worker("a", &[16])];
    let decisions = decide(fair().as_mut(), &[urgent("u", "blue", 1)], &workers, &[at_limit]);
    assert!(decisions.is_empty(), "the team is at its limit");
}

/// Guards against one victim for each of several urgent tasks that fit into the room of one.
#[test]
fn urgent_tasks_share_the_room_of_a_victim() {
    let workers = [busy_worker("a", &[8, 8])];
    // The number of urgent tasks of two cores, and of the victims.
    for (count, victims) in [(1, 1), (4, 1), (5, 2), (8, 2), (20, 2)] {
        let mut tasks = Vec::new();
        for index in 0..count {
            tasks.push(urgent(&format!("u{index}"), "blue", 2));
        }
        let decisions = decide(fair().as_mut(), &tasks, &workers, &two_teams());
        assert_eq!(yields(&decisions, &workers).len(), victims, "{count} urgent tasks");
    }
}

/// Guards against a victim that is asked in every decision although it does not yield.
#[test]
fn a_task_that_does_not_yield_is_left_alone() {
    let mut policy = fair();
    let workers =
        [full("a", vec![running("a", 16, 1, 0)]), full("b", vec![running("b", 16, 9, 0)])];
    let tasks = [urgent("u", "blue", 1)];
    let mut asked = Vec::new();
    for _ in 0..3 {
        let decisions = decide(policy.as_mut(), &tasks, &workers, &two_teams());
        asked.extend(yields(&decisions, &workers));
    }
    let names: Vec<&str> = asked.iter().map(|(task, _)| task.as_str()).collect();
    assert_eq!(names, ["a", "b"]);
}
