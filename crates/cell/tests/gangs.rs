//! Gangs that gather room on full workers, and advice for them and for the steps beside them.

mod sim;

use std::time;

use pier_cell::declaration::{AdviserTiming, Declaration};
use pier_cell::job::{JobState, Step};
use pier_cell::options::{LoadOptions, Options};
use pier_core::resources::Resources;

use sim::invariants::check_invariants;
use sim::{Sim, step};

/// A cell whose gangs reserve amounts.
fn cell(hosts: usize, workers: usize) -> Sim {
    let load = LoadOptions { gangs: true, ..LoadOptions::default() };
    let mut sim = Sim::with_options(5, hosts, workers, Options { load, ..Options::default() });
    sim.failed_runs_percent = 0;
    sim.runs_as_estimated = true;
    sim.run_for(2_500);
    sim
}

/// Lets an adviser decide which workers may run the steps of both queues.
fn declare_adviser(sim: &mut Sim) {
    let mut queues = vec![sim::queue("wide", 1, 20), sim::queue("batch", 2, 3)];
    for (queue, (base_ms, per_worker_us)) in queues.iter_mut().zip([(442, 6_400), (156, 2_300)]) {
        queue.advice = Some(AdviserTiming {
            base: time::Duration::from_millis(base_ms),
            per_worker: time::Duration::from_micros(per_worker_us),
            validity: time::Duration::from_millis(1_500),
        });
    }
    sim.eligible_percent = [("wide".to_owned(), 25), ("batch".to_owned(), 45)].into();
    let accounts = vec![sim::account("team", "key", Resources::MAX)];
    sim.declare(Declaration::new(2, queues, accounts, 100_000));
    sim.run_for(1_000);
}

fn gang(tasks: usize, need: u64, estimate_ms: u64) -> Vec<Step> {
    vec![Step { gang: true, estimate_ms, ..step(tasks, need) }]
}

fn count_completed(sim: &Sim, prefix: &str, count: usize) -> usize {
    let state = sim.stored_cell_state();
    let is_done =
        |id: &usize| state.job_state(&format!("{prefix}{id}")) == Some(JobState::Completed);
    (0..count).filter(is_done).count()
}

/// Guards against wide gangs that never start because small steps of the same priority use whatever
/// becomes free, and because gangs with earlier latest starts take what others have gathered.
#[test]
fn gangs_start_under_a_stream_of_small_steps() {
    let mut sim = cell(4, 24);
    let mut ended_after_ms = None;
    for index in 0..300 {
        sim.submit(index % 4, &format!("small{index}"), "batch", vec![step(6, 3)]);
        if index >= 50 && index % 10 == 0 {
            let id = format!("narrow{index}");
            sim.submit(index % 4, &id, "batch", gang(12, 6, 600));
        }
        if index == 100 {
            sim.submit(0, "gang0", "batch", gang(40, 6, 3_000));
        }
        sim.run_for(40);
        if ended_after_ms.is_none() && count_completed(&sim, "gang", 1) == 1 {
            ended_after_ms = Some((index - 100) * 40);
        }
    }
    assert!(ended_after_ms.is_some_and(|ms| ms < 4_800), "{ended_after_ms:?}");
    sim.run_for(30_000);
    check_invariants(&sim);
}

/// Guards against batch steps that get no advice although workers are free, because gangs that
/// cannot start keep all hosts busy.
#[test]
fn batch_steps_get_advice_beside_waiting_gangs() {
    let mut sim = cell(8, 60);
    declare_adviser(&mut sim);
    // Nearly half of each worker stays free, which is too little for a member of a gang.
    let filling = vec![Step { estimate_ms: 30_000, spread_limit: Some(1), ..step(60, 9) }];
    sim.submit(0, "filling", "batch", filling);
    sim.run_for(3_500);
    for index in 0..100 {
        sim.submit(index % 8, &format!("gang{index}"), "wide", gang(20, 9, 4_000));
    }
    sim.run_for(1_500);
    for index in 0..12 {
        sim.submit(index % 8, &format!("batch{index}"), "batch", vec![step(8, 3)]);
    }
    sim.run_for(3_500);
    let completed = count_completed(&sim, "batch", 12);
    assert_eq!(completed, 12, "batch steps completed within 3.5 s");
}

/// Guards against a wide gang whose first tickets have expired when the last ones arrive: its calls
/// are made at the same moment.
#[test]
fn the_tickets_of_a_wide_gang_are_valid_together() {
    let mut sim = cell(8, 300);
    declare_adviser(&mut sim);
    sim.observed.advice_calls.clear();
    sim.submit(0, "gang0", "wide", gang(120, 8, 1_000));
    sim.run_for(3_500);
    let calls = &sim.observed.advice_calls;
    assert!(calls.len() >= 3, "{calls:?}");
    assert!(calls.iter().all(|call| call.at_ms <= calls[0].at_ms + 5), "{calls:?}");
    assert_eq!(count_completed(&sim, "gang", 1), 1);
}

/// Guards against gangs that are broken again and again: 6% of the workers fail a third of what they
/// start.
#[test]
fn gangs_avoid_workers_that_fail() {
    let mut sim = cell(8, 150);
    for index in 0..9 {
        sim.failing_workers.insert(format!("w{}", index * 16));
    }
    let mut count = 0;
    for index in 0..60 {
        let tasks = [20, 40, 120][index % 3];
        let mut steps = gang(tasks, 3, 1_000);
        steps[0].spread_limit = Some(1);
        sim.submit(index % 8, &format!("gang{index}"), "batch", steps);
        count += 1;
        sim.run_for(200);
    }
    sim.run_for(6_000);
    let broken = sim.observed.failed_runs.len();
    let completed = count_completed(&sim, "gang", count);
    assert!(broken <= 35, "{broken} failed runs of {count} gangs");
    assert!(completed >= 57, "{completed} of {count} gangs completed");
    check_invariants(&sim);
}

/// Guards against reserved capacity that is idle although short steps could use it, and against long
/// steps that delay the gang.
#[test]
fn only_steps_that_end_before_the_gang_starts_use_its_capacity() {
    let mut sim = cell(3, 1);
    let lasting = |tasks, need, estimate_ms| vec![Step { estimate_ms, ..step(tasks, need) }];
    sim.submit(0, "busy", "batch", lasting(1, 10, 3_000));
    sim.run_for(300);
    sim.submit(0, "gang0", "batch", gang(2, 8, 500));
    sim.run_for(300);
    sim.submit(0, "long", "batch", lasting(1, 4, 5_000));
    sim.submit(0, "short", "batch", lasting(1, 4, 500));
    sim.run_for(1_200);
    assert_eq!(sim.stored_state("short"), Some(JobState::Completed));
    sim.run_for(2_700);
    assert_eq!(count_completed(&sim, "gang", 1), 1);
}
