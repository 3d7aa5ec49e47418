//! Changes of the decider, and outages of the log: how soon work starts again.

mod sim;

use sim::callers::submit_load;
use sim::hosts::SimHost;
use sim::invariants::{check_invariants, first_start_after};
use sim::{Sim, step};

/// Guards against a long time without starts after the decider's process was killed, and against
/// the loss or a second run of what it had decided.
#[test]
fn starts_resume_within_two_seconds_after_the_decider_is_killed() {
    let mut sim = Sim::new(2, 5, 8);
    sim.run_for(2_000);
    let mut count = 0;
    submit_load(&mut sim, 3, &mut count);
    let decider = sim.decider().expect("a decider");
    let killed_at_ms = sim.now_ms;
    sim.kill_host(decider);
    for index in 0..sim.hosts.len() {
        if index != decider {
            let id = format!("after{index:011}");
            sim.submit(index, &id, "urgent", vec![step(1, 1)]);
        }
    }
    sim.run_for(2_000);
    let first = sim.observed.start_times_ms.iter().find(|at| **at > killed_at_ms + 100);
    assert!(first.is_some_and(|at| *at <= killed_at_ms + 2_000), "first start at {first:?}");
    sim.start_host(decider);
    sim.run_for(10_000);
    check_invariants(&sim);
}

/// Injects a fault of the decider in ten cells, and checks that starts resume within `bound_ms`.
fn check_starts_during_decider_fault(bound_ms: u64, set: impl Fn(&mut SimHost, bool)) {
    for seed in 0..10 {
        let mut sim = Sim::new(seed, 5, 8);
        sim.run_for(2_000);
        let mut count = 0;
        submit_load(&mut sim, 2, &mut count);
        let decider = sim.decider().expect("a decider");
        set(&mut sim.hosts[decider], true);
        let at_ms = sim.now_ms;
        let after_ms = first_start_after(&mut sim, decider, at_ms);
        assert!(after_ms <= bound_ms, "seed {seed}: first start after {after_ms} ms");
        set(&mut sim.hosts[decider], false);
        sim.run_for(10_000);
        check_invariants(&sim);
    }
}

/// Guards against a long time without starts when the store refuses only the decider's appends: the
/// other hosts act on the decider's own report.
#[test]
fn starts_resume_at_once_when_the_store_refuses_the_decider() {
    check_starts_during_decider_fault(650, |host, is_on| host.is_refused_by_store = is_on);
}

/// Guards against a long time without starts when only the decider cannot reach the store.
#[test]
fn starts_resume_within_two_seconds_when_the_decider_cannot_reach_the_store() {
    check_starts_during_decider_fault(2_000, |host, is_on| host.is_store_unreachable = is_on);
}

/// Guards against a decider that is paused and resumes: its earlier decisions must neither be
/// carried out late nor prevent other starts.
#[test]
fn starts_resume_within_three_seconds_when_the_decider_is_paused() {
    for seed in 0..10 {
        let mut sim = Sim::new(seed, 5, 8);
        sim.run_for(2_000);
        let mut count = 0;
        submit_load(&mut sim, 2, &mut count);
        let decider = sim.decider().expect("a decider");
        let at_ms = sim.now_ms;
        sim.hosts[decider].paused_until_ms = at_ms + 4_000;
        let after_ms = first_start_after(&mut sim, decider, at_ms);
        assert!(after_ms <= 3_000, "seed {seed}: first start after {after_ms} ms");
        sim.run_for(12_000);
        check_invariants(&sim);
    }
}

/// Guards against hosts that mistake a slow store for a failed decider and claim its role
/// repeatedly (an incident at Kuiseb had up to 150 claims per second).
#[test]
fn a_slow_store_does_not_change_the_decider() {
    let mut sim = Sim::new(5, 5, 8);
    sim.run_for(2_000);
    let mut count = 0;
    submit_load(&mut sim, 2, &mut count);
    let decider = sim.decider();
    sim.observed.claims = 0;
    sim.store_ms = 180..260;
    submit_load(&mut sim, 5, &mut count);
    assert_eq!(sim.decider(), decider);
    assert!(sim.observed.claims <= 2, "{} claims", sim.observed.claims);
    sim.store_ms = 2..8;
    sim.run_for(8_000);
    check_invariants(&sim);
}

/// Guards against an outage of the log that lasts longer for the cell than for the log: calls that
/// got no response were waited for, and the decider was replaced although it had just reached the
/// log again (seen in the scenario trouble-3 of the large Hladik site).
#[test]
fn the_cell_resumes_soon_after_an_outage_of_the_log() {
    for seed in 0..10 {
        let mut sim = Sim::new(seed, 5, 8);
        sim.run_for(3_000);
        let decider = sim.decider().expect("a decider");
        sim.is_store_down = true;
        sim.run_for(4_000 + seed * 130);
        sim.is_store_down = false;
        let up_at_ms = sim.now_ms;
        sim.run_for(1_000);
        for host in 0..5 {
            sim.submit(host, &format!("job{host}"), "urgent", vec![step(1, 1)]);
        }
        sim.run_for(200);
        assert_eq!(sim.observed.accepted.len(), 5, "seed {seed}: {:?}", sim.observed.responses);
        assert!(sim.observed.start_times_ms.iter().any(|at| *at > up_at_ms), "seed {seed}");
        assert_eq!(sim.decider(), Some(decider), "seed {seed}: the decider stays");
        sim.run_for(5_000);
        check_invariants(&sim);
    }
}
