//! Simulations of cells whose declaration changes while gangs and single tasks wait, and whose
//! workers come back as workers of another kind, and of cells that are too full.

mod sim;

use std::sync;

use pier_cell::declaration::{Account, Declaration};
use pier_cell::job::Step;
use pier_cell::options::{LoadOptions, Options};
use pier_core::resources::Resources;
use rand::Rng;

use sim::invariants::check_invariants;
use sim::seeds::{run_seeds, run_seeds_or};
use sim::{Sim, account, cores, step};

/// The number of kinds of changes and faults in [`inject_under_load`].
const LOAD_KINDS: u32 = 6;
/// The accounts of a cell that is too full, with their usual shares of the load.
const LOADED_ACCOUNTS: [(&str, &str, u32); 4] =
    [("one", "key 1", 1), ("two", "key 2", 2), ("four", "key 4", 4), ("eight", "key 8", 8)];
/// The seeds that are run without `PIER_CELL_SEEDS`. A seed takes longer than in the other test.
const LOAD_SEEDS: u64 = 4;
/// All leases have ended after this time, also those of an earlier decider (docs/cell.md, section 4).
const LEASES_END_MS: u64 = 13_000;
/// The load of one account during a burst, relative to its usual load.
const BURST_FACTOR: u32 = 8;

/// The number of kinds of changes and faults in [`inject`].
const KINDS: u32 = 7;
/// Changes and faults in a history.
const HISTORY_LENGTH: u32 = 5;
const WORKERS: usize = 6;
const ACCOUNTS: [(&str, &str); 2] = [("team", "key"), ("other", "other key")];
/// The labels of the two kinds of workers.
const KIND_LABELS: [&str; 2] = ["small", "big"];

/// Guards against work that waits although it fits, gangs that start in part, starts on workers of a
/// kind that the step cannot run on, and limits that are exceeded, while declarations and workers
/// change.
///
/// `PIER_CELL_SEEDS=FIRST..END` selects other seeds, and `PIER_CELL_TRACE` prints the hosts' logs.
#[test]
fn work_that_fits_is_started_while_declarations_and_workers_change() {
    run_seeds(|seed| {
        let mut sim = Sim::new(seed, 3, 0);
        for index in 0..WORKERS {
            let id = format!("w{index}");
            sim.add_worker(&id, "north");
            sim.relabel_worker(&id, KIND_LABELS[index % 2], capacity(index % 2));
        }
        sim.failed_runs_percent = 0;
        sim.run_ms = sim.rng.random_range(300..3_000);
        declare(&mut sim, [Resources::MAX; 2], [1; 2], true);
        sim.run_for(3_000);
        sim.waits.is_enabled = true;
        let mut count = 0;
        for _ in 0..HISTORY_LENGTH {
            submit(&mut sim, 2_000, &mut count);
            inject(&mut sim);
            submit(&mut sim, 1_000, &mut count);
            let quiet_ms = sim.rng.random_range(1_000..5_000);
            sim.run_for(quiet_ms);
        }
        sim.lost_worker_responses_percent = 0;
        // Every gang fits on the workers of one kind.
        for index in 0..WORKERS {
            sim.restart_worker_as(
                &format!("w{index}"),
                KIND_LABELS[index % 2],
                capacity(index % 2),
            );
        }
        declare(&mut sim, [Resources::MAX; 2], [1; 2], true);
        sim.run_for(60_000);
        check_invariants(&sim);
    });
}

/// Guards against rejected jobs that run, accepted jobs that are lost, work that waits although it
/// fits, gangs that start in part, starts on workers that leave and limits that are exceeded, while a
/// cell with all parts of load control gets more work than it can do.
#[test]
fn guarantees_hold_in_a_cell_that_is_too_full() {
    run_seeds_or(LOAD_SEEDS, |seed| {
        let mut options = Options { load: LoadOptions::ALL, ..Options::default() };
        // So low that jobs are rejected, also without a forecast.
        options.max_waiting_jobs = 20 + usize::try_from(seed % 5).unwrap_or_default() * 40;
        let mut sim = Sim::with_options(seed, 4, 0, options);
        for index in 0..WORKERS {
            let id = format!("w{index}");
            sim.add_worker(&id, "north");
            sim.relabel_worker(&id, KIND_LABELS[index % 2], capacity(index % 2));
        }
        // Workers with failed runs are avoided for a while, which the checks of waits do not follow.
        sim.failed_runs_percent = 0;
        sim.run_ms = sim.rng.random_range(300..1_500);
        sim.are_rejected_jobs_retried = true;
        declare_loaded(&mut sim, [Resources::MAX; 4]);
        sim.run_for(3_000);
        sim.waits.is_enabled = true;
        let mut count = 0;
        for _ in 0..HISTORY_LENGTH {
            let usual_percent = sim.rng.random_range(50..100);
            submit_load(&mut sim, 2_000, usual_percent, None, &mut count);
            let burst_percent = sim.rng.random_range(160..260);
            let busiest = Some(sim.rng.random_range(0..LOADED_ACCOUNTS.len()));
            submit_load(&mut sim, 1_000, burst_percent, busiest, &mut count);
            inject_under_load(&mut sim);
            submit_load(&mut sim, 1_000, burst_percent, busiest, &mut count);
            let quiet_ms = sim.rng.random_range(0..5_000);
            sim.run_for(quiet_ms);
        }
        for index in 0..WORKERS {
            let kind = index % 2;
            sim.restart_worker_as(&format!("w{index}"), KIND_LABELS[kind], capacity(kind));
        }
        declare_loaded(&mut sim, [Resources::MAX; 4]);
        sim.run_until_ended(60_000);
        sim.run_for(LEASES_END_MS);
        check_invariants(&sim);
    });
}

fn declare_loaded(sim: &mut Sim, caps: [Resources; 4]) {
    let mut accounts = Vec::new();
    for (index, (name, key, weight)) in LOADED_ACCOUNTS.iter().enumerate() {
        accounts.push(Account { weight: *weight, ..account(name, key, caps[index]) });
    }
    let queues = vec![sim::queue("urgent", 0, 3), sim::queue("batch", 1, 3)];
    let version = sim.declaration.version + 1;
    sim.declare(Declaration::new(version, queues, accounts, 100_000));
}

/// Submits this percentage of the workers' capacity for some time. One account may have a multiple
/// of its usual part of it.
fn submit_load(
    sim: &mut Sim,
    millis: u64,
    percent: u64,
    busiest: Option<usize>,
    count: &mut usize,
) {
    let mut turns = Vec::new();
    for (index, (.., weight)) in LOADED_ACCOUNTS.iter().enumerate() {
        let factor = if busiest == Some(index) { BURST_FACTOR } else { 1 };
        turns.extend((0..weight * factor).map(|_| index));
    }
    let mut capacity_milli = 0;
    for index in 0..WORKERS {
        capacity_milli += capacity(index % 2).cpu_milli;
    }
    let until_ms = sim.now_ms + millis;
    while sim.now_ms < until_ms {
        let steps = random_steps(sim);
        let (_, key, _) = LOADED_ACCOUNTS[turns[sim.rng.random_range(0..turns.len())]];
        sim.caller_key = Some(key.to_owned());
        let queue = if sim.rng.random_range(0..2) == 0 { "batch" } else { "urgent" };
        let host = sim.rng.random_range(0..sim.hosts.len());
        let mut work = 0;
        for step in &steps {
            let tasks = u64::try_from(step.tasks).unwrap_or_default();
            work += tasks * step.need.cpu_milli * sim.run_ms;
        }
        *count += 1;
        sim.submit(host, &format!("{count:016x}"), queue, steps);
        sim.run_for((work * 100 / (capacity_milli * percent)).max(1));
    }
}

/// A step of single tasks or a gang, perhaps with another step that waits for it.
fn random_steps(sim: &mut Sim) -> Vec<Step> {
    let mut first = step(sim.rng.random_range(1..4), sim.rng.random_range(1..5));
    if sim.rng.random_range(0..4) == 0 {
        first.gang = true;
        first.tasks = sim.rng.random_range(2..10);
    }
    if sim.rng.random_range(0..4) == 0 {
        first.required_label = Some(sync::Arc::from(KIND_LABELS[1]));
    }
    first.estimate_ms = sim.rng.random_range(sim.run_ms / 2..sim.run_ms * 2);
    let mut steps = vec![first];
    if sim.rng.random_range(0..4) == 0 {
        steps.push(Step { after: vec![0], ..step(1, 1) });
    }
    steps
}

fn inject_under_load(sim: &mut Sim) {
    let worker = format!("w{}", sim.rng.random_range(0..WORKERS));
    let kind = sim.rng.random_range(0..LOAD_KINDS);
    if matches!(kind, 0..=2) {
        let remaining_ms = sim.rng.random_range(300..5_000);
        sim.drain_worker(&worker, remaining_ms);
    }
    match kind {
        // A worker leaves with a notice, perhaps while the decider is killed.
        0 | 1 => {}
        2 | 3 => {
            let decider = sim.decider().unwrap_or(0);
            sim.kill_host(decider);
            let down_ms = sim.rng.random_range(50..1_500);
            sim.run_for(down_ms);
            sim.start_host(decider);
        }
        // The limit of one account is lowered.
        4 => {
            let mut caps = [Resources::MAX; 4];
            caps[sim.rng.random_range(0..4)] = cores(sim.rng.random_range(4..24));
            declare_loaded(sim, caps);
        }
        // A worker comes back, perhaps one that has left.
        _ => {
            let kind = sim.rng.random_range(0..2);
            sim.restart_worker_as(&worker, KIND_LABELS[kind], capacity(kind));
        }
    }
}

/// The capacity of workers of this kind.
fn capacity(kind: usize) -> Resources {
    cores([8, 16][kind])
}

fn declare(sim: &mut Sim, caps: [Resources; 2], weights: [u32; 2], is_whole: bool) {
    let mut accounts: Vec<Account> = Vec::new();
    for (index, (name, key)) in ACCOUNTS.iter().enumerate() {
        accounts.push(Account { weight: weights[index], ..account(name, key, caps[index]) });
    }
    let mut queues = vec![sim::queue("urgent", 0, 3)];
    if is_whole {
        queues.push(sim::queue("batch", 1, 3));
    } else {
        accounts.truncate(1);
    }
    let version = sim.declaration.version + 1;
    sim.declare(Declaration::new(version, queues, accounts, 100_000));
}

fn inject(sim: &mut Sim) {
    let worker = format!("w{}", sim.rng.random_range(0..WORKERS));
    let mut caps = [Resources::MAX; 2];
    match sim.rng.random_range(0..KINDS) {
        // One limit is lowered, perhaps below what a waiting gang needs.
        0 | 1 => {
            let lowered = sim.rng.random_range(0..2);
            caps[lowered] = cores(sim.rng.random_range(4..24));
            declare(sim, caps, [1; 2], true);
        }
        // The limits are raised, and the weights change.
        2 => {
            let weights = [sim.rng.random_range(1..20), sim.rng.random_range(1..20)];
            declare(sim, caps, weights, true);
        }
        // A queue and an account are removed.
        3 => declare(sim, caps, [1; 2], false),
        // A worker comes back, perhaps as one of the other kind.
        4 | 5 => {
            let kind = sim.rng.random_range(0..2);
            sim.restart_worker_as(&worker, KIND_LABELS[kind], capacity(kind));
        }
        // Connections to workers are reset after calls were carried out.
        _ => sim.lost_worker_responses_percent = sim.rng.random_range(0..15),
    }
}

/// Submits jobs of both accounts for some time.
fn submit(sim: &mut Sim, millis: u64, count: &mut usize) {
    let until_ms = sim.now_ms + millis;
    while sim.now_ms < until_ms {
        let mut only = step(sim.rng.random_range(1..3), sim.rng.random_range(1..5));
        if sim.rng.random_range(0..4) == 0 {
            only.gang = true;
            only.tasks = sim.rng.random_range(2..10);
        }
        if sim.rng.random_range(0..3) == 0 {
            only.required_label = Some(sync::Arc::from(KIND_LABELS[1]));
        }
        let (_, key) = ACCOUNTS[sim.rng.random_range(0..2)];
        sim.caller_key = Some(key.to_owned());
        let queue = if sim.rng.random_range(0..3) == 0 { "batch" } else { "urgent" };
        let host = sim.rng.random_range(0..sim.hosts.len());
        *count += 1;
        sim.submit(host, &format!("{count:016x}"), queue, vec![only]);
        let pause = sim.rng.random_range(20..200);
        sim.run_for(pause);
    }
}
