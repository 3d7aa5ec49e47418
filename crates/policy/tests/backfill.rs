//! Backfill: small tasks on the worker that is reserved for a large one.

mod support;

use std::time;

use pier_policy::{Decision, PendingTask, RunningTask, View, Worker};

use support::{
    NOW, add_running, batch, batch_running, decide, fair, secs, starts, two_teams, worker,
};

/// A worker that runs a task of 8 cores, which is expected to end in `ends` seconds.
fn busy(ends: Option<u64>) -> Worker {
    let mut worker = worker("w");
    let ends = ends.map(|seconds| NOW + secs(seconds));
    add_running(&mut worker, RunningTask { ends, ..batch_running("running", 8) });
    worker
}

/// Guards against capacity that stays idle although a small task would free it before the large one
/// could start, and against a small task that delays the large one.
#[test]
fn a_small_task_that_ends_in_time_starts_on_the_reserved_worker() {
    // Label, expected end of the running task and run time of the small task in seconds, whether
    // the small task starts.
    let rows = [
        ("ends in time", Some(100), 60, true),
        ("ends just in time, but the estimate may be wrong", Some(100), 90, false),
        ("ends too late", Some(100), 200, false),
        ("its run time is not known", Some(100), 0, false),
        ("the end of the running task is not known", None, 10, false),
        ("the running task has run beyond its expected end", Some(0), 10, false),
    ];
    for (name, ends, estimate, expected) in rows {
        let mut policy = fair();
        let large = PendingTask { arrived: NOW - secs(60), ..batch("large", "blue", 16) };
        let small = PendingTask { run_estimate: secs(estimate), ..batch("small", "green", 1) };
        let workers = [busy(ends)];
        decide(policy.as_mut(), std::slice::from_ref(&large), &workers, &two_teams());
        let tasks = [large, small];
        let decisions = decide(policy.as_mut(), &tasks, &workers, &two_teams());
        assert_eq!(!starts(&decisions, &tasks, &workers).is_empty(), expected, "{name}");
    }
}

/// The result of a simulation of one worker.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Outcome {
    large_started_s: u64,
    /// The number of small tasks that started before the large one, and the sum of their waiting
    /// times.
    small_started: u64,
    small_waited_s: u64,
    /// The core seconds that were used before the large task started.
    used_core_s: u64,
}

/// Simulates one worker on which 8 cores are in use for 100 s, while a task of 16 cores waits and a
/// task of 2 cores for 20 s arrives every 5 s. The actual run time of a task is `actual_percent` of
/// its estimate.
fn simulate(ends_known: bool, actual_percent: u64) -> Outcome {
    let mut policy = fair();
    let mut outcome = Outcome::default();
    let mut running = vec![(100 * actual_percent / 100, 100, "first".to_owned(), 8)];
    let mut waiting: Vec<(u64, PendingTask)> =
        vec![(0, PendingTask { arrived: NOW, ..batch("large", "blue", 16) })];
    for at in 0..600 {
        running.retain(|(ends, ..)| *ends > at);
        if at % 5 == 0 {
            let task = batch(&format!("small{at}"), "green", 2);
            waiting.push((
                at,
                PendingTask { arrived: NOW + secs(at), run_estimate: secs(20), ..task },
            ));
        }
        let mut simulated_worker = worker("w");
        for (_, expected, name, cores) in &running {
            let ends = ends_known.then(|| NOW + secs(*expected));
            add_running(&mut simulated_worker, RunningTask { ends, ..batch_running(name, *cores) });
        }
        outcome.used_core_s += running.iter().map(|(.., cores)| cores).sum::<u64>();
        let tasks: Vec<PendingTask> = waiting.iter().map(|(_, task)| task.clone()).collect();
        let view = View {
            now: NOW + secs(at),
            pending: &support::backlog(&tasks),
            cell_total: simulated_worker.total,
            workers: std::slice::from_ref(&simulated_worker),
            teams: &two_teams(),
        };
        let mut started = Vec::new();
        for decision in policy.decide(&view) {
            if let Decision::Start { pending, .. } = decision {
                started.push(pending);
            }
        }
        started.sort_unstable();
        for index in started.into_iter().rev() {
            let (arrived, task) = waiting.remove(index);
            if &*task.task == "large" {
                outcome.large_started_s = at;
                return outcome;
            }
            let actual = 20 * actual_percent / 100;
            running.push((at + actual, at + 20, task.task.to_string(), 2));
            outcome.small_started += 1;
            outcome.small_waited_s += at - arrived;
        }
    }
    panic!("the large task did not start: {outcome:?}");
}

/// Guards against a reserved worker that stays half idle, and against a large task that waits
/// longer because of backfill. Prints the figures that `docs/policy.md` quotes.
#[test]
fn backfill_uses_the_reserved_worker_and_does_not_delay_the_large_task() {
    for actual_percent in [50, 100, 150] {
        let without = simulate(false, actual_percent);
        let with = simulate(true, actual_percent);
        println!("run times {actual_percent}% of the estimate: without {without:?}, with {with:?}");
        assert!(with.small_started > without.small_started, "{with:?} {without:?}");
        assert!(with.used_core_s > without.used_core_s, "{with:?} {without:?}");
        // Correct estimates do not delay the large task. Wrong ones delay it by at most the run
        // time of a small task: the worker becomes free early, or the small task ends late.
        let delay = if actual_percent == 100 { 0 } else { 20 * actual_percent / 100 };
        assert!(with.large_started_s <= without.large_started_s + delay, "{with:?} {without:?}");
    }
}

/// Guards against a small task that uses the reserved worker although another one has enough free
/// resources.
#[test]
fn other_workers_are_preferred_to_the_reserved_one() {
    let mut policy = fair();
    let large = PendingTask { arrived: NOW - secs(60), ..batch("large", "blue", 16) };
    let small =
        PendingTask { run_estimate: time::Duration::from_secs(1), ..batch("s", "green", 1) };
    let reserved = busy(Some(100));
    let mut other = worker("v");
    add_running(&mut other, batch_running("other", 9));
    let workers = [other, reserved];
    decide(policy.as_mut(), std::slice::from_ref(&large), &workers, &two_teams());
    let tasks = [large, small];
    let decisions = decide(policy.as_mut(), &tasks, &workers, &two_teams());
    assert_eq!(starts(&decisions, &tasks, &workers), [("s".to_owned(), "v".to_owned())]);
}
