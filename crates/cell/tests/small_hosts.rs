//! Hosts with a small share of a processor core, which do not follow the log.

mod sim;

use pier_cell::job::JobState;

use sim::callers::submit_load;
use sim::hosts::with_small_hosts;
use sim::invariants::{check_invariants, first_start_after};
use sim::step;

/// Guards against small hosts that are overloaded by the log of a large cell, and against jobs that
/// they do not forward or report on.
#[test]
fn small_hosts_do_not_read_the_log() {
    let mut sim = with_small_hosts(21, 6, 2);
    sim.run_for(2_000);
    assert!(sim.decider().is_some_and(|decider| decider < 2));
    sim.observed.cell_reads_by_host.clear();
    let mut count = 0;
    submit_load(&mut sim, 4, &mut count);
    sim.run_for(6_000);
    assert_eq!(sim.observed.accepted.len(), count);
    for small in 2..6 {
        assert_eq!(sim.observed.cell_reads_by_host.get(&small), None, "host {small} read the log");
        let shown = sim.show(small, &format!("{count:016x}"), "urgent");
        assert_eq!(shown, Some(pier_cell::effect::CallerResponse::State(JobState::Completed)));
    }
    check_invariants(&sim);
}

/// Guards against small hosts that do not find a new decider, or find it only by reading the log.
#[test]
fn small_hosts_follow_a_change_of_the_decider() {
    let mut sim = with_small_hosts(22, 6, 2);
    sim.run_for(2_000);
    let decider = sim.decider().expect("a decider");
    sim.kill_host(decider);
    sim.run_for(1_500);
    sim.observed.cell_reads_by_host.clear();
    for small in 2..6 {
        sim.submit(small, &format!("after{small:011}"), "urgent", vec![step(1, 1)]);
    }
    sim.run_for(500);
    assert_eq!(sim.observed.accepted.len(), 4, "{:?}", sim.observed.responses);
    sim.start_host(decider);
    sim.run_for(6_000);
    for small in 2..6 {
        assert_eq!(sim.observed.cell_reads_by_host.get(&small), None, "host {small} read the log");
    }
    check_invariants(&sim);
}

/// Guards against a cell without a decider because only small hosts are left.
#[test]
fn a_small_host_becomes_decider_when_no_larger_one_is_left() {
    let mut sim = with_small_hosts(23, 5, 2);
    sim.run_for(2_000);
    let mut count = 0;
    submit_load(&mut sim, 2, &mut count);
    sim.kill_host(0);
    sim.kill_host(1);
    sim.run_for(5_000);
    assert!(sim.decider().is_some_and(|decider| decider >= 2));
    sim.submit(3, "after", "urgent", vec![step(1, 1)]);
    sim.run_for(2_500);
    assert_eq!(sim.stored_state("after"), Some(JobState::Completed));
    sim.start_host(0);
    sim.run_for(10_000);
    check_invariants(&sim);
}

/// Guards against a cell with only small hosts in which each waits for a larger one.
#[test]
fn a_cell_of_small_hosts_follows_its_log() {
    let mut sim = with_small_hosts(24, 5, 0);
    sim.run_for(5_000);
    let mut count = 0;
    submit_load(&mut sim, 2, &mut count);
    let decider = sim.decider().expect("a decider");
    sim.kill_host(decider);
    let at_ms = sim.now_ms;
    let after_ms = first_start_after(&mut sim, decider, at_ms);
    assert!(after_ms <= 2_000, "first start after {after_ms} ms");
    sim.start_host(decider);
    sim.run_for(10_000);
    check_invariants(&sim);
}
