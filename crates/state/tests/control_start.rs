//! The first start of a cell.

mod control_sim;

use control_sim::{Cell, ms};
use pier_state::effect::OperatorAnswer;

/// Guards against a cell that needs an operator or a second host to start.
#[test]
fn a_single_host_forms_an_epoch_and_applies_a_declaration() {
    let mut cell = Cell::new(1, 4);
    let took = cell.run_until(ms(3_000), |cell| cell.held_workers() == 4 && cell.may_start("h0"));
    assert!(took.is_some());
    assert!(cell.state("h0").cluster().settled);
    cell.apply_declaration("h0", 1, 0, r#"{ "cell": "a" }"#);
    cell.run(ms(1_000));
    assert!(matches!(cell.answer("h0", 1), Some(OperatorAnswer::Applied { version: 1, .. })));
    assert_eq!(cell.state("h0").cluster().version, 1);
}

/// Guards against hosts that race for the first epoch and end up with different ones, and against
/// one epoch for each host.
#[test]
fn three_hosts_form_one_epoch_and_share_the_workers() {
    let mut cell = Cell::new(3, 24);
    let done = |cell: &Cell| {
        cell.held_workers() == 24 && ["h0", "h1", "h2"].iter().all(|host| cell.may_start(host))
    };
    assert!(cell.run_until(ms(5_000), done).is_some());
    for host in ["h0", "h1", "h2"] {
        assert_eq!(cell.epoch(host), 1);
        let held = cell.held_by(host);
        assert!((1..=10).contains(&held), "{host} holds {held} of 24 workers");
    }
}

/// Guards against heartbeats that cost more than the 21 KB/s that a host may use for control.
#[test]
fn the_messages_of_an_idle_cell_stay_within_their_bandwidth() {
    let mut cell = Cell::new(8, 570);
    assert!(cell.run_until(ms(6_000), |cell| cell.held_workers() == 570).is_some());
    cell.run(ms(1_000));
    let before = cell.sent_bytes;
    cell.run(ms(4_000));
    let bytes_per_host_and_second = (cell.sent_bytes - before) / 8 / 4;
    assert!(bytes_per_host_and_second <= 21_000, "{bytes_per_host_and_second} B/s");
}
