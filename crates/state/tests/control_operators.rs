//! Changes of the declaration by operators.

mod control_sim;

use control_sim::{Cell, ms};
use pier_core::caller::{Outcome, RefusalKind};
use pier_state::effect::OperatorAnswer;
use pier_state::event::OperatorRequest;

const A: &str = r#"{ "cell": "a" }"#;
const B: &str = r#"{ "cell": "b" }"#;

/// Guards against two concurrent changes of operators that overwrite each other.
#[test]
fn the_first_of_two_racing_changes_wins_and_the_other_is_told_of_both() {
    let mut cell = Cell::formed(2, 4);
    cell.apply_declaration("h0", 1, 0, A);
    cell.apply_declaration("h1", 1, 0, B);
    cell.run(ms(1_000));
    let (won, lost) = match cell.answer("h0", 1) {
        Some(OperatorAnswer::Applied { .. }) => ("h0", "h1"),
        _ => ("h1", "h0"),
    };
    let Some(OperatorAnswer::Applied { version: 1, changes }) = cell.answer(won, 1) else {
        panic!("{won} got {:?}", cell.answer(won, 1));
    };
    let Some(OperatorAnswer::Conflict(conflict)) = cell.answer(lost, 1) else {
        panic!("{lost} got {:?}", cell.answer(lost, 1));
    };
    assert_eq!(conflict.version, 1);
    assert_eq!(conflict.theirs.len(), 1);
    assert_eq!((&*conflict.theirs[0].author, &conflict.theirs[0].changes), (won, changes));
    assert!(!conflict.ours.is_empty());
    assert_eq!(cell.state("h0").cluster().declaration, cell.state("h1").cluster().declaration);
}

/// Guards against a late change that is based on an old version.
#[test]
fn a_change_from_an_old_version_is_refused() {
    let mut cell = Cell::formed(2, 4);
    cell.apply_declaration("h0", 1, 0, A);
    cell.run(ms(1_000));
    cell.apply_declaration("h1", 2, 0, B);
    assert!(matches!(cell.answer("h1", 2), Some(OperatorAnswer::Conflict(_))));
    cell.send_operator_request("h1", 3, OperatorRequest::Show);
    let Some(OperatorAnswer::Declaration { version: 1, text }) = cell.answer("h1", 3) else {
        panic!("{:?}", cell.answer("h1", 3));
    };
    assert_eq!(&**text, A);
}

/// Guards against an answer that follows from a failed append although the fold has the change.
#[test]
fn a_change_whose_reply_is_lost_is_answered_from_the_fold() {
    let mut cell = Cell::formed(2, 4);
    cell.log.lose_next_reply.insert("h0".to_owned());
    cell.apply_declaration("h0", 1, 0, A);
    cell.run(ms(1_500));
    assert!(matches!(cell.answer("h0", 1), Some(OperatorAnswer::Applied { version: 1, .. })));
    assert_eq!(cell.state("h1").cluster().version, 1);
}

/// Guards against a change that is reported as not made although it may be in the log, and against
/// one that waits for ever.
#[test]
fn a_change_in_an_outage_is_refused_in_time() {
    let mut cell = Cell::formed(2, 4);
    cell.log.unreachable_from.insert("*".to_owned());
    // The first host has not noticed the outage yet, so the append may have taken effect.
    cell.apply_declaration("h0", 1, 0, A);
    cell.run(ms(2_000));
    cell.apply_declaration("h1", 1, 0, B);
    cell.run(ms(6_000));
    for (host, outcome) in [("h0", Outcome::Unknown), ("h1", Outcome::NotRun)] {
        let Some(OperatorAnswer::Refused(refusal)) = cell.answer(host, 1) else {
            panic!("{host} got {:?}", cell.answer(host, 1));
        };
        assert_eq!((refusal.kind, refusal.outcome), (RefusalKind::NotStored, outcome));
    }
    cell.log.unreachable_from.clear();
    cell.run(ms(3_000));
    assert_eq!(cell.state("h1").cluster().version, 0);
}

/// Guards against a declaration with errors that reaches the log.
#[test]
fn a_declaration_with_errors_is_refused_at_once() {
    let mut cell = Cell::formed(2, 4);
    let before = cell.log.appends;
    cell.apply_declaration("h0", 1, 0, "{ nonsense");
    let Some(OperatorAnswer::Refused(refusal)) = cell.answer("h0", 1) else {
        panic!("{:?}", cell.answer("h0", 1));
    };
    assert_eq!(refusal.kind, RefusalKind::BadDeclaration);
    assert_eq!(cell.log.appends, before);
}

/// Guards against an audit trail that does not name who changed what from which version.
#[test]
fn the_audit_trail_names_author_version_and_changes() {
    let mut cell = Cell::formed(2, 4);
    cell.apply_declaration("h0", 1, 0, A);
    cell.run(ms(1_000));
    cell.apply_declaration("h1", 2, 1, B);
    cell.run(ms(1_000));
    cell.send_operator_request("h0", 3, OperatorRequest::Audit);
    let Some(OperatorAnswer::Audit(audit)) = cell.answer("h0", 3) else {
        panic!("{:?}", cell.answer("h0", 3));
    };
    let named: Vec<_> =
        audit.iter().map(|record| (record.base_version, record.version, &*record.author)).collect();
    assert_eq!(named, [(0, 1, "h0"), (1, 2, "h1")]);
    assert!(audit.iter().all(|record| !record.changes.is_empty()));
}

/// Guards against workers of a zone that stay open after operators took it out of service.
#[test]
fn a_zone_out_of_service_closes_its_workers() {
    let mut cell = Cell::formed(2, 4);
    let text = r#"{ "cell": "a", "availability_zones": [{ "name": "z1", "status": "out" }] }"#;
    cell.apply_declaration("h0", 1, 0, text);
    cell.run(ms(1_000));
    for host in ["h0", "h1"] {
        for (worker, info) in &cell.state(host).cluster().workers {
            assert_eq!(info.closed, &*info.entry.availability_zone == "z1", "{worker}");
        }
    }
}

/// Guards against a worker that still gets work after the host list shows it as leaving (P9).
#[test]
fn a_leaving_worker_is_closed() {
    let mut cell = Cell::formed(2, 4);
    let worker = cell.workers.keys().next().cloned().expect("a worker");
    for entry in &mut cell.host_list {
        if *entry.id == *worker {
            entry.state = pier_core::wire::HostState::Leaving;
        }
    }
    cell.run(ms(3_000));
    for host in ["h0", "h1"] {
        for (id, info) in &cell.state(host).cluster().workers {
            assert_eq!(info.closed, **id == *worker, "{id} at {host}");
        }
    }
}
