//! Workers that are silent for a while, and what operators and workers withdrew before all hosts
//! restart.

mod sim;

use pier_cell::effect::CallerResponse;
use pier_cell::event::OperatorRecord;
use pier_cell::job::JobState;
use sim::{Sim, step};

/// A lease of 6 s on a clock that is 2% slow, a poll that was in progress when the worker went down,
/// and a second for the decision and the start.
const MAX_RESTART_MS: u64 = 6_200 + 2_200 + 1_000;

/// A cell that runs 16 tasks of a job for ten seconds each.
fn cell_with_long_runs(seed: u64) -> Sim {
    let mut sim = Sim::new(seed, 4, 8);
    // A run that fails is started again.
    sim.failed_runs_percent = 0;
    sim.run_ms = 10_000;
    sim.run_for(2_000);
    sim.submit(0, "job", "batch", vec![step(16, 8)]);
    sim.run_for(500);
    assert_eq!(sim.observed.starts, 16);
    sim
}

fn worker_ids() -> Vec<String> {
    (0..8).map(|index| format!("w{index}")).collect()
}

/// Guards against runs that are started again, or given up, because their workers cannot be
/// reached for less than a lease.
#[test]
fn runs_of_silent_workers_are_not_started_again() {
    for seed in 0..5 {
        let mut sim = cell_with_long_runs(seed);
        sim.unreachable_workers.extend(worker_ids());
        sim.run_for(3_000);
        sim.unreachable_workers.clear();
        sim.run_for(1_000);
        assert_eq!(sim.observed.starts, 16, "seed {seed}: no run is started again");
        sim.run_for(25_000);
        assert_eq!(sim.stored_state("job"), Some(JobState::Completed), "seed {seed}");
        assert_eq!(sim.observed.violations, Vec::<String>::new());
    }
}

/// Guards against a second run while the first is alive: a worker that stays silent keeps its runs
/// until its leases have ended by its own clock.
#[test]
fn runs_of_lost_workers_are_started_again_after_their_leases() {
    for seed in 0..5 {
        let mut sim = cell_with_long_runs(seed);
        sim.unreachable_workers.extend(worker_ids().into_iter().take(4));
        sim.run_for(40_000);
        assert!(sim.observed.starts > 16, "seed {seed}: the runs are started elsewhere");
        assert_eq!(sim.observed.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(sim.stored_state("job"), Some(JobState::Completed), "seed {seed}");
    }
}

/// Guards against runs that are lost because entries of workers lapse while the store is away, and
/// come back when it does. The workers themselves run on.
#[test]
fn runs_of_workers_whose_entries_lapse_are_not_started_again() {
    for seed in 0..5 {
        let mut sim = cell_with_long_runs(seed);
        let entries: Vec<_> = worker_ids()
            .into_iter()
            .map(|id| {
                let page =
                    sim.worker_list.page(None, |key, entry| (key.to_owned(), entry.cloned()));
                let found = page.items.into_iter().find(|(_, (key, _))| *key == id);
                found.expect("a worker").1
            })
            .collect();
        sim.is_store_down = true;
        for (id, _) in &entries {
            sim.worker_list.push(id, None);
        }
        sim.run_for(3_000);
        sim.is_store_down = false;
        sim.run_for(2_000);
        for (id, entry) in entries {
            sim.worker_list.push(&id, entry);
        }
        sim.run_for(1_000);
        assert_eq!(sim.observed.starts, 16, "seed {seed}: no run is started again");
        sim.run_for(25_000);
        assert_eq!(sim.stored_state("job"), Some(JobState::Completed), "seed {seed}");
        assert_eq!(sim.observed.violations, Vec::<String>::new());
    }
}

/// Guards against a withdrawn key, a removed queue, an evacuated zone, a worker that has left or a
/// cancelled job that is in use again after all hosts have restarted. The store has no history any
/// more, only the newest records, and gives no answer at first.
#[test]
fn what_was_withdrawn_stays_so_after_a_restart_of_all_hosts() {
    for seed in 0..5 {
        let mut sim = Sim::new(seed, 4, 8);
        sim.run_for(2_000);
        sim.run_ms = 4_000;
        sim.submit(0, "cancelled", "batch", vec![step(1, 1); 3]);
        sim.run_for(300);
        let cancelled = sim.cancel_for(0, "cancelled", "batch", 300);
        assert_eq!(cancelled, Some(CallerResponse::Cancelled));
        let mut declaration = sim.declaration.clone();
        let mut accounts = declaration.accounts.clone();
        accounts[0].keys = vec!["new key".into()];
        declaration.queues.retain(|queue| &*queue.name != "batch");
        declaration = pier_cell::declaration::Declaration::new(
            2,
            declaration.queues,
            accounts,
            declaration.max_body_bytes,
        );
        sim.declare(declaration);
        let north = OperatorRecord::ZoneEvacuation { zone: "north".into(), is_evacuated: true };
        sim.operators.push("evacuate/north", Some(north));
        sim.worker_list.push("w1", None);
        sim.run_for(1_000);
        for host in 0..4 {
            sim.kill_host(host);
        }
        sim.operators.trim();
        sim.worker_list.trim();
        sim.cell.trim();
        sim.is_store_down = true;
        for host in 0..4 {
            sim.start_host(host);
        }
        let starts_before = sim.observed.starts;
        for moment in 0..30 {
            sim.is_store_down = moment < 5;
            // The simulation's callers use the withdrawn key.
            sim.submit(moment % 4, &format!("late{moment}"), "urgent", vec![step(1, 1)]);
            sim.run_for(200);
        }
        assert_eq!(sim.observed.starts, starts_before, "seed {seed}: nothing is started");
        for moment in 10..30 {
            let response = &sim.observed.responses[&format!("late{moment}")];
            assert_eq!(*response, CallerResponse::UnknownKey, "seed {seed}");
        }
        assert_eq!(sim.stored_state("cancelled"), Some(JobState::Cancelled), "seed {seed}");
        // With a valid key, work goes to the workers that are left.
        let mut accounts = sim.declaration.accounts.clone();
        accounts[0].keys = vec!["key".into()];
        let queues = sim.declaration.queues.clone();
        sim.declare(pier_cell::declaration::Declaration::new(3, queues, accounts, 100_000));
        sim.run_for(1_000);
        sim.submit(0, "valid", "urgent", vec![step(20, 1)]);
        sim.submit(0, "removed", "batch", vec![step(1, 1)]);
        sim.run_for(600);
        assert!(sim.observed.accepted.contains("valid"), "seed {seed}");
        assert_eq!(sim.observed.responses["removed"], CallerResponse::UnknownQueue);
        assert!(sim.observed.starts > starts_before, "seed {seed}");
        for worker in sim.workers.values() {
            let is_withdrawn = worker.zone == "north" || worker.id == "w1";
            assert!(!is_withdrawn || worker.running.is_empty(), "seed {seed}: {}", worker.id);
        }
        assert_eq!(sim.observed.violations, Vec::<String>::new());
    }
}

/// Guards against a host that starts again at once and gives its callers the answers to requests of
/// its earlier process: submissions would be denied or confirmed that the decider has not seen.
#[test]
fn a_restarted_host_does_not_use_answers_to_its_earlier_process() {
    for seed in 0..20 {
        let mut sim = Sim::new(seed, 4, 8);
        sim.run_for(2_000);
        let decider = sim.decider().expect("a decider");
        let host = (decider + 1) % 4;
        // The decider denies a job with its next append, which takes its time.
        sim.append_response_ms = 240;
        for index in 0..10 {
            sim.cancel(host, &format!("none{index}"), "urgent");
        }
        sim.run_for(30);
        sim.kill_host(host);
        sim.start_host(host);
        sim.run_for(100);
        for index in 0..10 {
            sim.submit(host, &format!("job{index}"), "urgent", vec![step(1, 1)]);
        }
        sim.run_for(4_000);
        for index in 0..10 {
            let id = format!("job{index}");
            let response = sim.observed.responses.get(&id);
            assert_eq!(response, Some(&CallerResponse::Accepted), "seed {seed}: {id}");
            assert_eq!(sim.stored_state(&id), Some(JobState::Completed), "seed {seed}: {id}");
        }
        assert_eq!(sim.observed.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against hosts that wait for a decider whose process has ended, because its host has
/// started again and is connected. The new process cannot reach the store.
#[test]
fn a_restarted_host_is_not_taken_for_the_decider_that_it_was() {
    for seed in 0..20 {
        let mut sim = Sim::new(seed, 4, 8);
        sim.run_for(2_000);
        let decider = sim.decider().expect("a decider");
        sim.hosts[decider].is_store_unreachable = true;
        sim.kill_host(decider);
        sim.start_host(decider);
        // The same bound as for a decider that is killed and does not start again.
        sim.run_for(1_500);
        let successor = sim.logged_decider();
        assert!(successor.is_some_and(|host| host != decider), "seed {seed}: {successor:?}");
    }
}

/// Guards against tasks that wait for longer than the leases of their runs: their workers went down
/// just after they had started the runs, before a poll listed them (review/9, LOST).
#[test]
fn runs_of_workers_that_go_down_after_a_start_are_started_again_after_their_leases() {
    for seed in 0..5 {
        let mut sim = Sim::new(seed, 4, 8);
        sim.failed_runs_percent = 0;
        sim.run_ms = 3_000;
        sim.run_for(2_000);
        // All workers report once more, some time after their start.
        sim.submit(0, "first", "batch", vec![step(16, 8)]);
        sim.run_for(8_000);
        assert_eq!(sim.observed.starts, 16, "seed {seed}");
        sim.submit(0, "second", "batch", vec![step(16, 8)]);
        while sim.observed.starts < 32 {
            sim.run_for(1);
        }
        let down_at_ms = sim.now_ms;
        sim.unreachable_workers.extend(worker_ids().into_iter().take(4));
        while sim.observed.starts < 40 {
            sim.run_for(1);
            let silent_ms = sim.now_ms - down_at_ms;
            assert!(silent_ms < MAX_RESTART_MS, "seed {seed}: {} starts", sim.observed.starts);
        }
        assert_eq!(sim.observed.violations, Vec::<String>::new(), "seed {seed}");
    }
}
