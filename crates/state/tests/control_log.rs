//! The log: repeated, lost, damaged and old records.

mod control_sim;

use control_sim::{Cell, ms};
use pier_core::caller::{Outcome, RefusalKind};
use pier_state::effect::{Notice, OperatorAnswer};
use pier_state::event::OperatorRequest;

fn declaration(cell: &str) -> String {
    format!(r#"{{ "cell": "{cell}" }}"#)
}

/// Guards against a new host that cannot start when the oldest records are past the log's
/// retention, and against a declaration that reverts on it.
#[test]
fn a_new_host_starts_from_a_snapshot() {
    let mut cell = Cell::empty(12);
    cell.options.snapshot_every_records = 10;
    for host in ["h0", "h1", "h2"] {
        cell.start(host);
    }
    cell.form();
    for version in 0..25 {
        cell.apply_declaration("h1", version, version, &declaration(&format!("c{version}")));
        cell.run(ms(500));
    }
    cell.log.earliest = cell.log.records.len() as u64 - 14;
    cell.start("h7");
    let joined = |cell: &Cell| cell.may_start("h7") && cell.epoch("h7") == cell.epoch("h0");
    assert!(cell.run_until(ms(10_000), joined).is_some());
    let cluster = cell.state("h7").cluster();
    assert_eq!((cluster.version, &*cluster.declaration.cell), (25, "c24"));
}

/// Guards against a log without any snapshot while hosts run, because the last one was dropped or
/// none was written.
#[test]
fn a_snapshot_is_written_again_before_the_last_one_is_gone() {
    let mut cell = Cell::formed(3, 12);
    cell.apply_declaration("h1", 1, 0, &declaration("a"));
    cell.run(ms(1_000));
    cell.log.earliest = cell.log.records.len() as u64;
    cell.run(ms(2_000));
    for host in ["h0", "h1", "h2"] {
        cell.kill(host);
    }
    cell.start("h5");
    cell.run(ms(3_000));
    assert_eq!(cell.state("h5").cluster().version, 1);
    assert_eq!(cell.epoch("h5"), 1);
}

/// Guards against a host that mistakes an empty history for a first start when records are past
/// retention and nobody has the state: it would start again at epoch 1 with old fencing tokens.
#[test]
fn a_lost_history_is_not_a_first_start() {
    let mut cell = Cell::formed(3, 12);
    for host in ["h0", "h1", "h2"] {
        cell.kill(host);
        cell.remove_from_host_list(host);
    }
    cell.log.earliest = cell.log.records.len() as u64;
    cell.start("h5");
    cell.run(ms(60_000));
    assert_eq!(cell.epoch("h5"), 0);
    let lost = |notice: &Notice| matches!(notice, Notice::HistoryLost { .. });
    assert!(cell.notices.iter().any(|(_, _, notice)| lost(notice)));
}

/// Guards against a host that follows its peers, falls behind the records that they keep, and then
/// gets neither the fold nor the records.
#[test]
fn a_new_host_without_the_log_takes_the_fold_of_a_peer() {
    let mut cell = Cell::formed(3, 12);
    cell.apply_declaration("h1", 1, 0, &declaration("a"));
    cell.run(ms(1_000));
    cell.log.unreachable_from.insert("*".to_owned());
    cell.start("h6");
    cell.run(ms(5_000));
    assert_eq!(cell.state("h6").cluster().version, 1);
    assert_eq!(cell.epoch("h6"), 1);
    assert!(!cell.may_start("h6"), "it is no member");
}

/// Guards against repeated appends that are folded twice.
#[test]
fn repeated_records_change_nothing() {
    let mut cell = Cell::formed(3, 12);
    cell.apply_declaration("h1", 1, 0, &declaration("a"));
    cell.run(ms(500));
    let copies = cell.log.records.clone();
    cell.log.records.extend(copies);
    cell.run(ms(5_000));
    for host in ["h0", "h1", "h2"] {
        assert_eq!((cell.epoch(host), cell.state(host).cluster().version), (1, 1));
    }
    assert_eq!(cell.held_workers(), 12);
}

/// Guards against a damaged record that stops folding or crashes the host.
#[test]
fn unreadable_records_are_skipped() {
    let mut cell = Cell::formed(3, 12);
    for bytes in [&b""[..], b"{", b"\xff\xfe", b"[1,2]", br#"{"host":"h0","entries":1}"#] {
        cell.log.records.push((cell.now, bytes.to_vec()));
    }
    cell.apply_declaration("h1", 1, 0, &declaration("a"));
    cell.run(ms(1_000));
    for host in ["h0", "h1", "h2"] {
        assert_eq!(cell.state(host).cluster().version, 1);
    }
    let bad = |notice: &Notice| matches!(notice, Notice::BadRecord { .. });
    assert_eq!(cell.notices.iter().filter(|(_, _, notice)| bad(notice)).count(), 15);
}

/// Guards against two hosts that cannot hear each other and form two first epochs.
#[test]
fn two_hosts_race_for_the_first_epoch() {
    let mut cell = Cell::new(2, 8);
    cell.isolate("h0");
    cell.run(ms(4_000));
    assert_eq!((cell.epoch("h0"), cell.epoch("h1")), (1, 1));
    assert_eq!(cell.held_workers(), 8);
    assert_ne!(cell.may_start("h0"), cell.may_start("h1"));
    cell.cut_links.clear();
    let both =
        |cell: &Cell| cell.may_start("h0") && cell.may_start("h1") && cell.held_workers() == 8;
    assert!(cell.run_until(ms(10_000), both).is_some());
}

/// Guards against an idle cell that continues to append: only changes belong in the log.
#[test]
fn an_idle_cell_appends_nothing() {
    let mut cell = Cell::formed(3, 12);
    let before = cell.log.appends;
    cell.run(ms(60_000));
    assert_eq!(cell.log.appends, before);
}

/// A cell whose hosts are gone and whose log has dropped everything, with two new hosts.
fn cell_with_lost_history() -> Cell {
    let mut cell = Cell::formed(3, 12);
    cell.apply_declaration("h1", 1, 0, &declaration("a"));
    cell.run(ms(1_000));
    for host in ["h0", "h1", "h2"] {
        cell.kill(host);
        cell.remove_from_host_list(host);
    }
    cell.log.earliest = cell.log.records.len() as u64;
    cell.start("h5");
    cell.start("h6");
    cell.run(ms(5_000));
    cell
}

fn restart(cell: &mut Cell, host: &str, ticket: u64, name: &str) {
    let (author, text) = (host.into(), declaration(name).into());
    cell.send_operator_request(host, ticket, OperatorRequest::Restart { author, wall_ms: 1, text });
}

/// Guards against a cell that no operator can recover after its history was lost, and against
/// numbers of epochs and versions that restart below those of earlier processes.
#[test]
fn an_operator_restarts_a_lost_history() {
    let mut cell = cell_with_lost_history();
    cell.apply_declaration("h5", 1, 0, &declaration("b"));
    let Some(OperatorAnswer::Refused(refusal)) = cell.answer("h5", 1) else {
        panic!("{:?}", cell.answer("h5", 1));
    };
    assert_eq!((refusal.kind, refusal.outcome), (RefusalKind::HistoryLost, Outcome::NotRun));

    restart(&mut cell, "h5", 2, "b");
    let formed =
        |cell: &Cell| cell.held_workers() == 12 && cell.may_start("h5") && cell.may_start("h6");
    assert!(cell.run_until(ms(20_000), formed).is_some());
    let Some(OperatorAnswer::Applied { version, changes }) = cell.answer("h5", 2) else {
        panic!("{:?}", cell.answer("h5", 2));
    };
    assert!(*version > 1, "the lost history had version 1");
    assert!(changes[0].contains("lost"), "{changes:?}");
    assert!(cell.epoch("h5") > 1 && cell.epoch("h5") == cell.epoch("h6"));

    // After the restart the log and its snapshots keep the state again.
    let (version, base) = (*version, cell.log.records.len() as u64);
    cell.apply_declaration("h6", 3, version, &declaration("c"));
    cell.run(ms(2_000));
    cell.log.earliest = base;
    cell.run(ms(5_000));
    cell.start("h7");
    assert!(cell.run_until(ms(10_000), |cell| cell.may_start("h7")).is_some());
    let cluster = cell.state("h7").cluster();
    assert_eq!((cluster.version, &*cluster.declaration.cell), (version + 1, "c"));
}

/// Guards against two operators who each restart the history.
#[test]
fn one_of_two_restarts_wins() {
    let mut cell = cell_with_lost_history();
    restart(&mut cell, "h5", 1, "b");
    restart(&mut cell, "h6", 1, "c");
    cell.run(ms(10_000));
    let won = |host| matches!(cell.answer(host, 1), Some(OperatorAnswer::Applied { .. }));
    let lost = |host| matches!(cell.answer(host, 1), Some(OperatorAnswer::Conflict(_)));
    let answers = (cell.answer("h5", 1), cell.answer("h6", 1));
    assert!(won("h5") && lost("h6") || won("h6") && lost("h5"), "{answers:?}");
    let declared = |host| cell.state(host).cluster().declaration.clone();
    assert_eq!(declared("h5"), declared("h6"));
    let expected = if won("h5") { "b" } else { "c" };
    assert_eq!(&*declared("h5").cell, expected);
}

/// Guards against a restart that discards a history which the log or a peer still has.
#[test]
fn a_history_that_is_not_lost_is_kept() {
    let mut cell = Cell::formed(3, 12);
    restart(&mut cell, "h0", 1, "b");
    let Some(OperatorAnswer::Refused(refusal)) = cell.answer("h0", 1) else {
        panic!("{:?}", cell.answer("h0", 1));
    };
    assert_eq!((refusal.kind, refusal.outcome), (RefusalKind::Conflict, Outcome::NotRun));
}

/// Guards against a restart whose writer has not searched all records before it: hosts that search
/// from another position would find another restart.
#[test]
fn a_restart_with_a_wrong_offset_is_ignored() {
    let mut cell = cell_with_lost_history();
    let next_offset = cell.log.records.len();
    // The record names an offset before its own, then one that another record has taken, then its
    // own.
    for (searched_to, other_records, takes_effect) in
        [(next_offset - 1, 0, false), (next_offset + 1, 1, false), (next_offset + 3, 0, true)]
    {
        let record = format!(
            r#"{{"host":"h9","incarnation":9,"seq":1,"entries":[{{"type":"restart",
                "searched_to":{searched_to},"declaration":{{"base_version":0,"author":"x",
                "wall_ms":1,"change_id":1,"text":"{{ \"cell\": \"x\" }}"}}}}]}}"#
        );
        for _ in 0..other_records {
            cell.log.records.push((cell.now, b"{}".to_vec()));
        }
        cell.log.records.push((cell.now, record.into_bytes()));
        cell.run(ms(6_000));
        assert_eq!(
            cell.may_start("h5"),
            takes_effect,
            "searched to {searched_to} of {next_offset}"
        );
    }
}
