//! Which advice requests are made, and by how many hosts.

use std::time;

use pier_load::advice::{self, CallCost, EligibleShare, Hosts};

const COST: CallCost = CallCost {
    base: time::Duration::from_millis(442),
    per_worker: time::Duration::from_micros(6_400),
};

fn hosts(total: usize, busy: usize, busy_for_gangs: usize) -> Hosts {
    Hosts { total, busy, busy_for_gangs }
}

/// Guards against many calls that name few workers, whose fixed cost dominates.
#[test]
fn calls_are_few_and_name_many_workers() {
    assert_eq!(COST.min_named(), 69);
    assert_eq!(COST.of(100).as_millis(), 1_082);
    let fits = || std::iter::repeat_n(5, 350);
    assert_eq!(advice::workers_to_learn(1, 0, 0.5, fits(), COST), 69, "half of the cost");
    assert_eq!(advice::workers_to_learn(20, 0, 0.25, fits(), COST), 96);
    assert_eq!(advice::workers_to_learn(20, 60, 0.25, fits(), COST), 69);
    assert_eq!(advice::workers_to_learn(20, 120, 0.25, fits(), COST), 0, "enough is known");
    assert_eq!(advice::workers_to_learn(500, 0, 0.25, fits(), COST), 350);
    assert_eq!(advice::call_sizes(201, 10), [67, 67, 67]);
    assert_eq!(advice::call_sizes(350, 2), [100, 100]);
}

/// Guards against steps that get no advice because gangs use all hosts, and against the reverse, in
/// deployments of any size.
#[test]
fn a_quarter_of_the_hosts_is_left_for_steps_that_are_not_gangs() {
    assert_eq!(hosts(31, 23, 23).for_gangs(true), 0);
    assert_eq!(hosts(31, 23, 23).for_gangs(false), 8);
    assert_eq!(hosts(31, 23, 23).for_others(0), 8);
    for total in 2..40 {
        let others = total - hosts(total, 0, 0).max_for_gangs(true);
        assert!(others >= 1 && others < total, "{others} of {total}");
        // While a gang waits for hosts, others use no more than their quarter.
        assert_eq!(hosts(total, others, 0).for_others(total), 0);
        assert_eq!(hosts(total, total - others, total - others).for_others(total), others);
    }
    assert_eq!(hosts(1, 0, 0).for_gangs(true), 1);
    assert!(hosts(8, 4, 4).are_half_idle() && !hosts(8, 5, 5).are_half_idle());
}

/// Guards against shares that follow a single response, and that never follow.
#[test]
fn the_share_of_eligible_workers_is_learned() {
    let mut share = EligibleShare::default();
    assert!((share.share() - 0.5).abs() < 1e-9);
    share.record(20, 0);
    assert!((share.share() - 0.25).abs() < 1e-9);
    for _ in 0..200 {
        share.record(100, 25);
    }
    assert!((share.share() - 0.25).abs() < 0.01);
}
