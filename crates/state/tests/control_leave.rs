//! Hosts that shut down or join, and new workers.

mod control_sim;

use control_sim::{Cell, ms};

const HOSTS: [&str; 3] = ["h0", "h1", "h2"];

/// Guards against a shutdown that leaves workers idle for the takeover wait.
#[test]
fn a_leaving_host_hands_its_workers_over_at_once() {
    let mut cell = Cell::formed(3, 18);
    cell.shut_down("h1");
    let left = |cell: &Cell| cell.exited.contains("h1");
    let took = cell.run_until(ms(3_000), left);
    assert!(took.is_some());
    assert_eq!(cell.held_by("h0") + cell.held_by("h2"), 18);
    cell.kill("h1");
    cell.run(ms(10_000));
    assert_eq!(cell.epoch("h0"), 2);
    assert_eq!(cell.held_workers(), 18);
}

/// Guards against a host that cannot leave, or whose workers stay idle, while the log is
/// unreachable, and against an exited host that then stops the others. The next epoch has to keep
/// the workers where they were handed over.
#[test]
fn a_host_leaves_while_the_log_is_unreachable() {
    let mut cell = Cell::formed(3, 18);
    cell.log.unreachable_from.insert("*".to_owned());
    cell.run(ms(4_000));
    cell.shut_down("h1");
    assert!(cell.run_until(ms(3_000), |cell| cell.exited.contains("h1")).is_some());
    assert_eq!(cell.held_by("h0") + cell.held_by("h2"), 18);
    cell.kill("h1");
    cell.run(ms(5_000));
    assert!(cell.may_start("h0") && cell.may_start("h2"));
    let owners_before: Vec<_> =
        cell.workers.keys().map(|worker| cell.holders(worker).join("")).collect();
    cell.log.unreachable_from.clear();
    assert!(cell.run_until(ms(5_000), |cell| cell.epoch("h2") == 2).is_some());
    cell.run(ms(1_000));
    let owners_after: Vec<_> =
        cell.workers.keys().map(|worker| cell.holders(worker).join("")).collect();
    assert_eq!(owners_before, owners_after);
}

/// Guards against the last host of a cell that waits for a receiver although there is none.
#[test]
fn the_last_host_leaves() {
    let mut cell = Cell::new(1, 3);
    assert!(cell.run_until(ms(5_000), |cell| cell.held_workers() == 3).is_some());
    cell.shut_down("h0");
    assert!(cell.run_until(ms(5_000), |cell| cell.exited.contains("h0")).is_some());
}

/// Guards against a rolling restart that leaves workers without an owner or takes more than two
/// epochs for each host, one to leave and one to join.
#[test]
fn a_rolling_restart_keeps_every_worker_owned() {
    let mut cell = Cell::formed(3, 18);
    for host in HOSTS {
        cell.shut_down(host);
        assert!(cell.run_until(ms(4_000), |cell| cell.exited.contains(host)).is_some());
        cell.kill(host);
        assert_eq!(cell.held_workers(), 18);
        cell.start(host);
        assert!(cell.run_until(ms(5_000), |cell| cell.may_start(host)).is_some());
    }
    cell.run(ms(8_000));
    assert_eq!(cell.held_workers(), 18);
    assert!(cell.epoch("h0") <= 7);
}

/// Guards against a new worker that gets no owner, and against one whose first owner waits as in a
/// takeover although nobody can have owned it.
#[test]
fn a_new_worker_is_taken_over_at_once() {
    let mut cell = Cell::formed(3, 18);
    cell.add_worker("w999", 1);
    let took = cell.run_until(ms(6_000), |cell| cell.holders("w999").len() == 1);
    assert!(took.is_some_and(|took| took < ms(2_500)), "{took:?}");
}

/// Guards against a planned move of workers to a new host that takes as long as a takeover.
#[test]
fn a_new_host_gets_its_workers_by_handoff() {
    let mut cell = Cell::new(1, 18);
    assert!(cell.run_until(ms(5_000), |cell| cell.held_workers() == 18).is_some());
    cell.start("h1");
    let shared = |cell: &Cell| cell.held_workers() == 18 && cell.held_by("h1") > 0;
    assert!(cell.run_until(ms(2_500), shared).is_some());
}
