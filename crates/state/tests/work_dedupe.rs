//! Idempotency keys across several hosts.

mod work_support;

use pier_core::caller;
use pier_state::effect::CallerAnswer;
use pier_state::event::CallerRequest;

use work_support::{Cell, Mode, Network, ms, request};

fn keyed(key: &str, body: &str) -> CallerRequest {
    CallerRequest { idempotency_key: Some(key.into()), ..request("open", body) }
}

fn is_done(cell: &Cell, host: usize, ticket: u64, body: &str) -> bool {
    match cell.answer(host, ticket) {
        Some(CallerAnswer::Task { end, .. }) => end.body == body.into(),
        _ => false,
    }
}

fn is_duplicate(cell: &Cell, host: usize, ticket: u64) -> bool {
    match cell.answer(host, ticket) {
        Some(CallerAnswer::Refused(refusal)) => {
            refusal.kind == caller::RefusalKind::Duplicate
                && refusal.outcome == caller::Outcome::Unknown
        }
        _ => false,
    }
}

/// Guards against a second run of a request that is sent again with its idempotency key, at any
/// host and on any network, and against an answer that differs from the first one.
#[test]
fn a_key_runs_once_and_its_answer_is_repeated() {
    let networks = [
        Network::default(),
        Network { lost_percent: 20, repeated_percent: 20, delayed_percent: 20 },
    ];
    for network in networks {
        let mut cell = Cell::new(4, 4, 8);
        cell.network = network;
        for number in 0..20 {
            let key = format!("key {number}");
            let first = cell.send_request(number % 4, keyed(&key, &format!("first {number}")));
            let second =
                cell.send_request((number + 1) % 4, keyed(&key, &format!("second {number}")));
            cell.run(ms(4_000));
            let third =
                cell.send_request((number + 2) % 4, keyed(&key, &format!("third {number}")));
            cell.run(ms(4_000));
            let mut runs = 0;
            for name in ["first", "second", "third"] {
                let body = format!("{name} {number}");
                runs += cell.run_counts.get(&body.as_str().into()).copied().unwrap_or(0);
            }
            assert!(runs <= 1, "key {number} ran {runs} times");
            for (host, ticket) in [(number, first), (number + 1, second), (number + 2, third)] {
                assert!(cell.answer(host % 4, ticket).is_some());
            }
        }
    }
}

/// Guards against a caller that gets no answer when it repeats a request that has ended.
#[test]
fn the_answer_of_an_ended_request_is_given_again() {
    let mut cell = Cell::new(3, 3, 8);
    cell.run(ms(1_000));
    let first = cell.send_request(0, keyed("key", "first"));
    cell.run(ms(50));
    let early = cell.send_request(1, keyed("key", "early"));
    cell.run(ms(1_000));
    let late = cell.send_request(2, keyed("key", "late"));
    cell.run(ms(1_000));
    assert!(is_done(&cell, 0, first, "first"));
    assert!(is_duplicate(&cell, 1, early));
    assert!(is_done(&cell, 2, late, "first"));
    // The same key of another team is a different key.
    let other = CallerRequest {
        key: Some("key-blue".into()),
        idempotency_key: Some("key".into()),
        ..request("keyed", "blue")
    };
    let blue = cell.send_request(0, other);
    cell.run(ms(1_000));
    assert!(is_done(&cell, 0, blue, "blue"));
}

/// Guards against a key that cannot be used again although its request certainly did not run.
#[test]
fn a_key_is_free_again_when_its_request_was_not_run() {
    let mut cell = Cell::new(3, 1, 1);
    let worker = cell.workers.keys().next().expect("a worker").clone();
    cell.workers.get_mut(&worker).expect("a worker").mode = Mode::Refuses;
    let refused = cell.send_request(1, keyed("key", "refused"));
    cell.run(ms(4_000));
    match cell.answer(1, refused) {
        Some(CallerAnswer::Refused(refusal)) => {
            assert_eq!(refusal.outcome, caller::Outcome::NotRun);
        }
        other => panic!("a refusal was expected, not {other:?}"),
    }
    cell.workers.get_mut(&worker).expect("a worker").mode = Mode::Healthy;
    cell.run(ms(2_000));
    let again = cell.send_request(2, keyed("key", "again"));
    cell.run(ms(3_000));
    assert!(is_done(&cell, 2, again, "again"));
}

/// Guards against a second run after the home or the backup of a key was lost.
#[test]
fn a_key_survives_the_loss_of_each_host() {
    for removed in 0..4 {
        for (ended, body) in [(true, "ended"), (false, "running")] {
            let mut cell = Cell::new(4, 4, 8);
            cell.task_duration = if ended { ms(100) } else { ms(20_000) };
            cell.run(ms(1_000));
            let asker = (removed + 1) % 4;
            let first = cell.send_request(asker, keyed("key", body));
            cell.run(ms(1_000));
            cell.hosts[removed].is_up = false;
            cell.new_epoch(&[removed], asker);
            let other = (removed + 2) % 4;
            let second = cell.send_request(other, keyed("key", "second"));
            cell.run(ms(3_000));
            assert_eq!(cell.run_counts.get(&"second".into()), None);
            if ended {
                assert!(is_done(&cell, asker, first, body));
                assert!(is_done(&cell, other, second, body));
            } else {
                assert!(is_duplicate(&cell, other, second));
            }
        }
    }
}

/// Guards against a second run after both holders of a key were lost, and against keys that cannot
/// be used although their holders are alive.
#[test]
fn keys_of_lost_holders_are_unknown() {
    let mut known = 0;
    let mut unknown = 0;
    for number in 0..12 {
        let key = format!("key {number}");
        let mut cell = Cell::new(4, 4, 8);
        cell.run(ms(1_000));
        let first = cell.send_request(0, keyed(&key, "first"));
        cell.run(ms(1_000));
        assert!(is_done(&cell, 0, first, "first"));
        cell.hosts[2].is_up = false;
        cell.hosts[3].is_up = false;
        cell.new_epoch(&[2, 3], 0);
        let second = cell.send_request(1, keyed(&key, "second"));
        cell.run(ms(4_000));
        assert_eq!(cell.run_counts.get(&"second".into()), None);
        if is_done(&cell, 1, second, "first") {
            known += 1;
        }
        if is_duplicate(&cell, 1, second) {
            unknown += 1;
        }
        let fresh = CallerRequest { repeatable: true, ..keyed(&format!("new {number}"), "fresh") };
        let fresh = cell.send_request(0, fresh);
        cell.run(ms(3_000));
        assert!(is_done(&cell, 0, fresh, "fresh"));
    }
    assert_eq!(known + unknown, 12);
    assert!(known > 0 && unknown > 0, "{known} keys known and {unknown} unknown");
}

/// Guards against a request that is answered twice or never when the home of its key is
/// unreachable.
#[test]
fn a_key_that_cannot_be_checked_is_not_run() {
    let mut cell = Cell::new(3, 3, 8);
    cell.run(ms(1_000));
    cell.network.lost_percent = 100;
    let mut tickets = Vec::new();
    for number in 0..10 {
        tickets.push(cell.send_request(0, keyed(&format!("key {number}"), &format!("{number}"))));
    }
    cell.run(ms(4_000));
    for ticket in tickets {
        match cell.answer(0, ticket) {
            Some(CallerAnswer::Refused(refusal)) => {
                assert_eq!(refusal.outcome, caller::Outcome::NotRun);
            }
            other => panic!("a refusal was expected, not {other:?}"),
        }
    }
    assert!(cell.run_counts.is_empty());
}

/// Guards against a new home that treats a key as unused while its entry is still being
/// transferred.
#[test]
fn a_new_home_waits_for_the_entries_of_earlier_holders() {
    for number in 0..36 {
        for removed in 0..3 {
            let other = (removed + 1 + number % 3) % 4;
            let key = format!("key {number}");
            let mut cell = Cell::new(4, 4, 8);
            // Three hosts share a zone, so that the new home is often not the previous backup.
            for index in 0..4 {
                let cluster = &mut cell.hosts[index].cluster;
                if index < 3 {
                    cluster.identity.availability_zone = "shared".into();
                }
                for host in ["host-0", "host-1", "host-2"] {
                    if let Some(peer) = cluster.peers.get_mut(host) {
                        peer.member.availability_zone = "shared".into();
                    }
                }
            }
            cell.run(ms(1_000));
            let first = cell.send_request(other, keyed(&key, "first"));
            cell.run(ms(1_000));
            assert!(is_done(&cell, other, first, "first"));
            cell.network.delayed_percent = 100;
            cell.hosts[removed].is_up = false;
            cell.new_epoch(&[removed], other);
            let second = cell.send_request(other, keyed(&key, "second"));
            cell.run(ms(6_000));
            assert_eq!(cell.run_counts.get(&"second".into()), None);
            assert!(cell.answer(other, second).is_some());
        }
    }
}
