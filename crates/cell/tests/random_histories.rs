//! Simulations of whole cells with series of faults of workers, of the worker list, of declarations
//! and of hosts that restart at once, in cells with much and with little work.

mod sim;

use pier_cell::declaration::Declaration;
use pier_cell::job::JobState;
use rand::Rng;

use sim::callers::submit_jobs;
use sim::invariants::{check_attempts, check_invariants};
use sim::seeds::run_seeds;
use sim::{Sim, step};

/// The number of kinds of faults in [`inject`].
const FAULT_KINDS: u32 = 6;
/// Faults of one kind in a series.
const SERIES_LENGTH: u32 = 24;
/// The attempts that the queues of the simulation declare.
const MAX_ATTEMPTS: usize = 3;
const WORKERS: usize = 8;

/// Guards against tasks that are lost, fail too early or run twice in series of one fault, or of
/// several in turn, with failing tasks.
///
/// `PIER_CELL_SEEDS=FIRST..END` selects other seeds, and `PIER_CELL_TRACE` prints the hosts' logs.
#[test]
fn guarantees_hold_in_random_histories() {
    run_seeds(|seed| {
        let mut sim = Sim::new(seed, 4, WORKERS);
        sim.failed_runs_percent = sim.rng.random_range(0..40);
        sim.run_ms = sim.rng.random_range(200..2_000);
        sim.run_for(2_000);
        let series_kind = sim.rng.random_range(0..2 * FAULT_KINDS);
        // With little work most workers have no run.
        let jobs_per_s = if sim.rng.random_range(0..2) == 0 { 2 } else { 12 };
        let mut count = 0;
        for _ in 0..SERIES_LENGTH {
            let kind = if series_kind < FAULT_KINDS {
                series_kind
            } else {
                sim.rng.random_range(0..FAULT_KINDS)
            };
            submit_jobs(&mut sim, 500, jobs_per_s, &mut count);
            inject(&mut sim, kind, &mut count);
        }
        sim.refusing_workers.clear();
        sim.append_response_ms = 0;
        declare(&mut sim, &["urgent", "batch"], "key");
        sim.failed_runs_percent = 0;
        sim.run_for(4_000);
        // The members of a gang need all workers at the same time.
        let mut last = step(WORKERS, 9);
        last.gang = true;
        sim.submit(0, "last", "urgent", vec![last]);
        sim.run_for(40_000);
        assert!(sim.observed.accepted.contains("last"), "{:?}", sim.observed.responses["last"]);
        assert_eq!(sim.stored_state("last"), Some(JobState::Completed), "a worker is not used");
        check_invariants(&sim);
        check_attempts(&sim, MAX_ATTEMPTS);
    });
}

fn inject(sim: &mut Sim, kind: u32, count: &mut usize) {
    let worker = format!("w{}", sim.rng.random_range(0..WORKERS));
    match kind {
        // A worker starts again under its id at once.
        0 => {
            let down_ms = sim.rng.random_range(40..400);
            let report_after_ms = sim.rng.random_range(1..1_500);
            sim.restart_worker(&worker, down_ms, report_after_ms);
        }
        // Another writer leaves an entry under a worker's id.
        1 => {
            let foreign = match sim.rng.random_range(0..3) {
                0 => None,
                1 => Some(0),
                _ => Some(u64::MAX),
            };
            let replaced_after_ms = sim.rng.random_range(1..1_500);
            sim.write_foreign_entry(&worker, foreign, replaced_after_ms);
        }
        // Workers refuse starts and polls for a while.
        2 => {
            if !sim.refusing_workers.remove(&worker) {
                sim.refusing_workers.insert(worker);
            }
        }
        // A queue is not declared for a moment.
        3 => {
            let queue = if sim.rng.random_range(0..2) == 0 { "urgent" } else { "batch" };
            declare(sim, &[queue], "key");
            submit_jobs(sim, 800, 4, count);
            declare(sim, &["urgent", "batch"], "key");
        }
        // The callers' key is withdrawn for a moment.
        4 => {
            declare(sim, &["urgent", "batch"], "other key");
            submit_jobs(sim, 500, 4, count);
            declare(sim, &["urgent", "batch"], "key");
        }
        // A host that has served few requests is killed and starts again, while the store is slow.
        _ => {
            let host = sim.rng.random_range(0..sim.hosts.len());
            sim.append_response_ms = sim.rng.random_range(0..300);
            for index in 0..4 {
                sim.cancel(host, &format!("none{index}"), "urgent");
            }
            let pause = sim.rng.random_range(1..60);
            sim.run_for(pause);
            sim.kill_host(host);
            sim.start_host(host);
            sim.run_for(100);
            for _ in 0..4 {
                *count += 1;
                sim.submit(host, &format!("{count:016x}"), "urgent", vec![step(1, 1)]);
            }
        }
    }
}

/// Declares these of the simulation's queues, and the callers' key.
fn declare(sim: &mut Sim, queues: &[&str], key: &str) {
    let current = &sim.declaration;
    let mut accounts = current.accounts.clone();
    accounts[0].keys = vec![key.into()];
    let mut declared = vec![sim::queue("urgent", 0, 3), sim::queue("batch", 1, 3)];
    declared.retain(|queue| queues.contains(&&*queue.name));
    let max_body_bytes = current.max_body_bytes;
    let version = current.version + 1;
    sim.declare(Declaration::new(version, declared, accounts, max_body_bytes));
}
