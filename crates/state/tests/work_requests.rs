//! Urgent requests: validation, placement on own workers and at peers, answers.

mod work_support;

use pier_core::caller;
use pier_state::effect::CallerAnswer;
use pier_state::event::CallerRequest;

use work_support::{Cell, Mode, amount, ms, request};

fn refusal(cell: &Cell, host: usize, ticket: u64) -> caller::Refusal {
    match cell.answer(host, ticket) {
        Some(CallerAnswer::Refused(refusal)) => refusal.clone(),
        other => panic!("a refusal was expected, not {other:?}"),
    }
}

fn assert_done(cell: &Cell, host: usize, ticket: u64, body: &str) {
    match cell.answer(host, ticket) {
        Some(CallerAnswer::Task { end, .. }) => assert_eq!(end.body, body.into()),
        other => panic!("an answer was expected, not {other:?}"),
    }
}

/// Guards against an urgent request that waits for a tick although a worker has free capacity.
#[test]
fn a_request_starts_in_the_step_in_which_it_arrives() {
    let mut cell = Cell::new(1, 1, 4);
    cell.send_request(0, request("open", "a"));
    assert_eq!(cell.running(), 1);
}

/// Guards against answers that are sent to the wrong caller.
#[test]
fn every_caller_gets_its_own_answer() {
    for (hosts, workers) in [(1, 2), (3, 3)] {
        let mut cell = Cell::new(hosts, workers, 8);
        let mut tickets = Vec::new();
        for number in 0..20_usize {
            let host = number % hosts;
            let body = format!("body {number}");
            tickets.push((host, cell.send_request(host, request("open", &body)), body));
            cell.run(ms(10));
        }
        cell.run(ms(3_000));
        for (host, ticket, body) in tickets {
            assert_done(&cell, host, ticket, &body);
        }
    }
}

/// Guards against a host without workers that cannot serve callers.
#[test]
fn a_host_without_capacity_places_at_a_peer() {
    let mut cell = Cell::new(2, 1, 4);
    let ticket = cell.send_request(1, request("open", "a"));
    cell.run(ms(1_000));
    assert_done(&cell, 1, ticket, "a");
}

/// Guards against accepting work with a wrong or withdrawn key, or for a wrong queue.
#[test]
fn requests_that_may_not_run_are_refused_with_their_reason() {
    let keyed = |queue: &str, key: Option<&str>| CallerRequest {
        key: key.map(Into::into),
        ..request(queue, "x")
    };
    let passed = CallerRequest { deadline: Some(ms(10)), ..request("open", "x") };
    let cases = [
        (keyed("nowhere", None), caller::RefusalKind::UnknownQueue),
        (keyed("batch", Some("key-red")), caller::RefusalKind::WrongClass),
        (keyed("keyed", None), caller::RefusalKind::NoKey),
        (keyed("keyed", Some("withdrawn")), caller::RefusalKind::BadKey),
        (keyed("open", Some("withdrawn")), caller::RefusalKind::BadKey),
        (keyed("reds", Some("key-blue")), caller::RefusalKind::WrongTeam),
        (passed, caller::RefusalKind::DeadlinePassed),
    ];
    let mut cell = Cell::new(1, 1, 4);
    for (request, kind) in cases {
        let ticket = cell.send_request(0, request);
        let refusal = refusal(&cell, 0, ticket);
        assert_eq!(refusal.kind, kind);
        assert_eq!(refusal.outcome, caller::Outcome::NotRun);
    }
    assert_eq!(cell.running(), 0);
}

/// Guards against starts by a host whose view of the declaration is outdated.
#[test]
fn without_authority_nothing_starts() {
    let mut cell = Cell::new(1, 1, 4);
    cell.hosts[0].cluster.authority = pier_state::cluster::Authority::None;
    let ticket = cell.send_request(0, request("open", "a"));
    let refusal = refusal(&cell, 0, ticket);
    assert_eq!(refusal.kind, caller::RefusalKind::NoAuthority);
    assert!(refusal.retry_after_ms.is_some());
    assert_eq!(cell.running(), 0);
}

/// Guards against requests that wait without a limit when there is no free capacity.
#[test]
fn a_request_without_capacity_is_refused_after_its_maximum_wait() {
    let mut cell = Cell::new(1, 1, 1);
    cell.task_duration = ms(60_000);
    cell.send_request(0, request("open", "a"));
    let ticket = cell.send_request(0, request("open", "b"));
    cell.run(ms(2_700));
    assert!(cell.answer(0, ticket).is_none());
    cell.run(ms(300));
    let refusal = refusal(&cell, 0, ticket);
    assert_eq!(refusal.kind, caller::RefusalKind::NoRoom);
    assert_eq!(refusal.outcome, caller::Outcome::NotRun);
}

/// Guards against a worker that refuses all starts and makes every request fail.
#[test]
fn a_failing_worker_does_not_fail_requests_while_another_works() {
    for mode in [Mode::Refuses, Mode::Unreachable] {
        let mut cell = Cell::new(1, 2, 8);
        let bad = cell.workers.keys().next().expect("a worker").clone();
        cell.workers.get_mut(&bad).expect("a worker").mode = mode;
        let mut tickets = Vec::new();
        for number in 0..50 {
            tickets.push((cell.send_request(0, request("open", &format!("{number}"))), number));
            cell.run(ms(50));
        }
        cell.run(ms(1_000));
        for (ticket, number) in tickets {
            assert_done(&cell, 0, ticket, &format!("{number}"));
        }
        let status = cell.status(0);
        assert!(status.workers[0].failures > 0);
        assert!(cell.counters(0).place_retries < 20, "the worker was not backed off");
    }
}

/// Guards against `not_run` for a request whose start was executed, and against a second run.
#[test]
fn a_lost_answer_is_unknown_unless_the_request_is_repeatable() {
    let mut cell = Cell::new(1, 1, 8);
    let worker = cell.workers.keys().next().expect("a worker").clone();
    cell.workers.get_mut(&worker).expect("a worker").mode = Mode::LosesAnswers;
    let once = cell.send_request(0, request("open", "once"));
    let again =
        cell.send_request(0, CallerRequest { repeatable: true, ..request("open", "again") });
    cell.run(ms(200));
    assert_eq!(refusal(&cell, 0, once).outcome, caller::Outcome::Unknown);
    cell.workers.get_mut(&worker).expect("a worker").mode = Mode::Healthy;
    cell.run(ms(70_000));
    assert_done(&cell, 0, again, "again");
    assert_eq!(cell.run_counts.get(&"once".into()), Some(&1));
    assert_eq!(cell.run_counts.get(&"again".into()), Some(&2));
}

/// Guards against a caller that is answered twice because a worker sends its answer twice.
#[test]
fn a_duplicate_answer_is_ignored() {
    let mut cell = Cell::new(2, 1, 8);
    let worker = cell.workers.keys().next().expect("a worker").clone();
    cell.workers.get_mut(&worker).expect("a worker").mode = Mode::AnswersTwice;
    let local = cell.send_request(0, request("open", "near"));
    let remote = cell.send_request(1, request("open", "far"));
    cell.run(ms(1_000));
    assert_done(&cell, 0, local, "near");
    assert_done(&cell, 1, remote, "far");
    assert_eq!(cell.status(0).workers[0].free, amount(8));
}

/// Guards against requests that stay queued after their caller has disconnected, and against
/// interrupting running ones.
#[test]
fn unstarted_requests_are_cancelled_when_their_caller_disconnects() {
    let mut cell = Cell::new(2, 1, 1);
    cell.task_duration = ms(500);
    let running = cell.send_request(0, request("open", "running"));
    let mut waiting = Vec::new();
    for number in 0..200_usize {
        let host = number % 2;
        waiting.push((host, cell.send_request(host, request("open", "waiting"))));
    }
    cell.run(ms(50));
    for (host, ticket) in &waiting {
        let disconnected = pier_state::event::CallerEvent::Disconnected { ticket: *ticket };
        cell.handle(*host, pier_state::work::WorkEvent::Caller(disconnected));
    }
    cell.run(ms(2_000));
    assert_done(&cell, 0, running, "running");
    assert_eq!(cell.run_counts.get(&"waiting".into()), None);
    assert_eq!(cell.status(0).waiting, 0);
    assert!(cell.hosts[0].work.is_drained());
    assert!(cell.hosts[1].work.is_drained());
}
