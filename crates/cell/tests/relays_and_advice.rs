//! Hosts that relay the decider's worker calls and advice requests, and limits of accounts.

mod sim;

use pier_cell::job::JobState;

use sim::callers::submit_load;
use sim::invariants::check_invariants;
use sim::{Sim, step};

/// Guards against a new decider that sends all advice requests itself: hosts that restart together
/// connect to the decider's address before its new process has claimed the role.
#[test]
fn all_hosts_send_advice_requests_after_a_common_restart() {
    let mut sim = Sim::new(3, 5, 8);
    let mut declaration = sim.declaration.clone();
    for queue in &mut declaration.queues {
        queue.advice = Some(pier_cell::declaration::AdviserTiming {
            base: std::time::Duration::from_millis(100),
            per_worker: std::time::Duration::from_millis(1),
            validity: std::time::Duration::from_millis(1_500),
        });
    }
    declaration.version = 2;
    sim.advice_ms = 400;
    sim.declare(declaration);
    sim.run_for(2_000);
    let mut count = 0;
    submit_load(&mut sim, 2, &mut count);
    for index in 0..sim.hosts.len() {
        sim.kill_host(index);
    }
    sim.run_for(500);
    sim.observed.advice_requests_by_host.clear();
    for index in 0..sim.hosts.len() {
        sim.start_host(index);
    }
    sim.run_for(2_000);
    submit_load(&mut sim, 4, &mut count);
    let senders = sim.observed.advice_requests_by_host.len();
    assert!(senders >= 4, "only {senders} of 5 hosts sent advice requests");
    sim.run_for(10_000);
    check_invariants(&sim);
}

/// Guards against a gang that never starts because smaller jobs of its own account keep using up
/// the account's limit.
#[test]
fn a_gang_starts_although_smaller_jobs_compete_for_its_accounts_limit() {
    let mut sim = Sim::new(14, 3, 8);
    let mut declaration = sim.declaration.clone();
    declaration.version = 2;
    declaration.accounts[0].cap = sim::cores(16);
    sim.declare(declaration);
    sim.run_for(2_000);
    let submit = |sim: &mut Sim, index: usize| {
        sim.submit(index % 3, &format!("small{index:011}"), "batch", vec![step(1, 2)]);
        sim.run_for(60);
    };
    // The account's small jobs need more than its limit all the time.
    for index in 0..60 {
        submit(&mut sim, index);
    }
    let mut gang = step(6, 2);
    gang.gang = true;
    sim.submit(0, "gang", "batch", vec![gang]);
    for index in 60..160 {
        submit(&mut sim, index);
    }
    assert_eq!(sim.stored_state("gang"), Some(JobState::Completed));
    sim.run_for(20_000);
    check_invariants(&sim);
}

/// Guards against a decider that is overloaded by worker calls in a large cell, and against one
/// that makes none while no other host is connected.
#[test]
fn other_hosts_make_the_worker_calls_of_a_large_cell() {
    let mut sim = Sim::new(11, 4, 8);
    sim.run_for(2_000);
    let decider = sim.decider().expect("a decider");
    sim.observed.worker_calls_by_host.clear();
    let mut count = 0;
    submit_load(&mut sim, 4, &mut count);
    let relays = sim.observed.worker_calls_by_host.keys().filter(|host| **host != decider).count();
    // At least one in each zone.
    assert!(relays >= 2, "{:?}", sim.observed.worker_calls_by_host);
    assert_eq!(sim.observed.worker_calls_by_host.get(&decider), None);
    for index in 0..sim.hosts.len() {
        if index != decider {
            sim.kill_host(index);
        }
    }
    let before = sim.observed.starts;
    sim.submit(decider, "alone", "urgent", vec![step(1, 1)]);
    sim.run_for(3_000);
    assert!(sim.observed.starts > before);
    check_invariants(&sim);
}

/// Guards against tasks that wait for worker calls of a host that was killed or cannot reach a
/// worker.
#[test]
fn worker_calls_of_a_failed_host_move_to_another_host() {
    let mut sim = Sim::new(12, 4, 8);
    sim.run_for(2_000);
    let decider = sim.decider().expect("a decider");
    let mut count = 0;
    submit_load(&mut sim, 2, &mut count);
    let others: Vec<usize> = (0..sim.hosts.len()).filter(|host| *host != decider).collect();
    sim.kill_host(others[0]);
    for worker in 0..8 {
        sim.unreachable_pairs.insert((others[1], format!("w{worker}")));
    }
    sim.run_for(1_500);
    let started_at_ms = sim.now_ms;
    sim.submit(decider, "after", "urgent", vec![step(8, 8)]);
    sim.run_for(2_500);
    assert_eq!(sim.stored_state("after"), Some(JobState::Completed), "from {started_at_ms} ms");
    sim.start_host(others[0]);
    sim.run_for(10_000);
    check_invariants(&sim);
}
