//! Tests of workers whose responses to polls are missing: they get no work, and work again once
//! they respond.

mod fixture;

use std::time;

use pier_cell::event::{PollResponse, RejectReason, StartResponse};
use pier_cell::job::TaskRef;

use fixture::{Fixture, count_starts, polls_of, queue, single_step};

/// The longest delay between two polls of a worker that does not respond, with its spread, and one
/// pass more.
const MAX_POLL_DELAY: time::Duration = time::Duration::from_millis(1_450);

/// Starts the run of a job on the only worker, which rejects the start and fails the poll that the
/// start made due, so that it has no run and a failed poll.
fn fixture_with_missed_poll() -> (Fixture, TaskRef) {
    let mut fixture = Fixture::new(queue(None));
    fixture.list_workers(&["w0"]);
    let task = fixture.submit(single_step(1, false));
    let effects = fixture.advance(30);
    let mut sent = fixture.complete_appends(&effects);
    assert_eq!(count_starts(&sent), 1);
    sent.extend(effects);
    sent.extend(fixture.advance(0));
    let polls = polls_of(&sent);
    assert_eq!(polls.len(), 1);
    fixture.with_decider(|decider, context| {
        let rejected = StartResponse::Rejected { reason: RejectReason::Refused };
        decider.on_start_response(context, &task, 1, rejected);
        decider.on_poll_response(context, &"w0".into(), polls[0], PollResponse::NoAnswer);
    });
    (fixture, task)
}

/// Guards against a worker that is never used again after a missed poll, because it has no run and
/// only a response could show that it works again. The job that only it can run would wait for ever.
#[test]
fn a_worker_without_runs_is_polled_until_it_responds_again() {
    let (mut fixture, _) = fixture_with_missed_poll();
    let mut misses = 0;
    let mut last_poll_at = fixture.now;
    while misses < 6 {
        let effects = fixture.advance(50);
        fixture.complete_appends(&effects);
        assert!(fixture.now <= last_poll_at + MAX_POLL_DELAY, "no poll after {misses} misses");
        for sent_at in polls_of(&effects) {
            misses += 1;
            last_poll_at = fixture.now;
            fixture.with_decider(|decider, context| {
                decider.on_poll_response(context, &"w0".into(), sent_at, PollResponse::NoAnswer);
            });
        }
    }
    assert_eq!(fixture.start_count, 1, "no start is sent to a worker that does not respond");
    for _ in 0..60 {
        let effects = fixture.advance(50);
        fixture.complete_appends(&effects);
        for sent_at in polls_of(&effects) {
            fixture.report_poll("w0", sent_at, Vec::new(), Vec::new());
        }
    }
    assert_eq!(fixture.start_count, 2, "the job starts once the worker responds");
}

/// Guards against polls of idle workers without end: each one is a call that the worker has to
/// serve.
#[test]
fn a_worker_that_responds_and_has_no_runs_is_not_polled() {
    let mut fixture = Fixture::new(queue(None));
    fixture.list_workers(&["w0"]);
    for _ in 0..100 {
        let effects = fixture.advance(50);
        fixture.complete_appends(&effects);
        assert_eq!(polls_of(&effects), Vec::new());
    }
}
