//! Small tasks on the worker that is kept for a large one.

mod support;

use std::time;

use pier_policy::{Decision, PendingTask, RunningTask, View, Worker};

use support::{NOW, batch, batch_running, decide, fair, run, secs, starts, two_teams, worker};

/// A worker on which a task of 8 cores runs that is expected to end in some seconds.
fn busy(ends: Option<u64>) -> Worker {
    let mut worker = worker("w");
    let ends = ends.map(|seconds| NOW + secs(seconds));
    run(&mut worker, RunningTask { ends, ..batch_running("running", 8) });
    worker
}

/// Guards against room that stays empty although a small task would leave it before the large one
/// could start, and against a large task that a small one sets back.
#[test]
fn a_small_task_that_ends_in_time_starts_on_the_kept_worker() {
    // When the running task is expected to end, the run time of the small task, and whether it
    // starts.
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

/// What a simulated worker did.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Outcome {
    large_started_s: u64,
    /// The small tasks that started before the large one, and the sum of their waits.
    small_started: u64,
    small_waited_s: u64,
    /// Core seconds that were in use before the large task started.
    used_core_s: u64,
}

/// Runs one worker on which 8 cores are in use for 100 s, while a task of 16 cores waits and a task
/// of 2 cores for 20 s arrives every 5 s. The run times of tasks are their estimates times
/// `real_percent`.
fn simulate(ends_known: bool, real_percent: u64) -> Outcome {
    let mut policy = fair();
    let mut outcome = Outcome::default();
    let mut running = vec![(100 * real_percent / 100, 100, "first".to_owned(), 8)];
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
        let mut node = worker("w");
        for (_, expected, name, cores) in &running {
            let ends = ends_known.then(|| NOW + secs(*expected));
            run(&mut node, RunningTask { ends, ..batch_running(name, *cores) });
        }
        outcome.used_core_s += running.iter().map(|(.., cores)| cores).sum::<u64>();
        let tasks: Vec<PendingTask> = waiting.iter().map(|(_, task)| task.clone()).collect();
        let view = View {
            now: NOW + secs(at),
            pending: &support::backlog(&tasks),
            cell_total: node.total,
            workers: std::slice::from_ref(&node),
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
            let real = 20 * real_percent / 100;
            running.push((at + real, at + 20, task.task.to_string(), 2));
            outcome.small_started += 1;
            outcome.small_waited_s += at - arrived;
        }
    }
    panic!("the large task did not start: {outcome:?}");
}

/// Guards against a kept worker that stands half empty, and against a large task that waits longer
/// for it. Prints what `docs/policy.md` says of it.
#[test]
fn backfill_uses_the_kept_worker_and_does_not_delay_the_large_task() {
    for real_percent in [50, 100, 150] {
        let without = simulate(false, real_percent);
        let with = simulate(true, real_percent);
        println!("run times {real_percent}% of the estimate: without {without:?}, with {with:?}");
        assert!(with.small_started > without.small_started, "{with:?} {without:?}");
        assert!(with.used_core_s > without.used_core_s, "{with:?} {without:?}");
        // Estimates that hold cost the large task nothing. Wrong ones cost it at most the run of a
        // small task: the worker becomes free early, or the small task ends late.
        let delay = if real_percent == 100 { 0 } else { 20 * real_percent / 100 };
        assert!(with.large_started_s <= without.large_started_s + delay, "{with:?} {without:?}");
    }
}

/// Guards against a small task that takes room of the kept worker although another one has room.
#[test]
fn other_workers_go_before_the_kept_one() {
    let mut policy = fair();
    let large = PendingTask { arrived: NOW - secs(60), ..batch("large", "blue", 16) };
    let small =
        PendingTask { run_estimate: time::Duration::from_secs(1), ..batch("s", "green", 1) };
    let kept = busy(Some(100));
    let mut other = worker("v");
    run(&mut other, batch_running("other", 9));
    let workers = [other, kept];
    decide(policy.as_mut(), std::slice::from_ref(&large), &workers, &two_teams());
    let tasks = [large, small];
    let decisions = decide(policy.as_mut(), &tasks, &workers, &two_teams());
    assert_eq!(starts(&decisions, &tasks, &workers), [("s".to_owned(), "v".to_owned())]);
}
