//! Calls that wait for the decider's verdict.

use std::time;

use pier_cell::effect::CallerResponse;
use pier_cell::options::Options;
use pier_cell::peer::RequestOutcome;
use pier_cell::requests::{DeciderRequest, PendingRequests};

fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn cancel() -> DeciderRequest {
    DeciderRequest::Cancel("job".into())
}

/// Guards against a host that never sleeps: a call that was passed to a decider which is gone stays
/// open until its outcome is known or its caller's time is over.
#[test]
fn an_open_call_keeps_no_host_awake() {
    let options = Options::default();
    let mut calls = PendingRequests::default();
    calls.add(millis(0), 1, cancel(), Some(millis(3_000)), &options);
    assert_eq!(calls.pass_to(7).len(), 1);
    let now = millis(1_500);
    assert!(calls.give_up(now, false, false, &options).is_empty());
    assert!(calls.due_at(now, false) > now);
    let given_up = calls.give_up(millis(2_900), false, false, &options);
    assert_eq!(given_up, vec![(1, CallerResponse::OutcomeUnknown)]);
}

/// Guards against a rejection by a decider that was replaced: its successor may have the job.
#[test]
fn only_the_last_deciders_rejection_counts() {
    let options = Options::default();
    let mut calls = PendingRequests::default();
    calls.add(millis(0), 1, cancel(), None, &options);
    calls.pass_to(7);
    calls.pass_to(9);
    let rejected = RequestOutcome::Rejected { reason: "full".to_owned(), retry_after_ms: 1_000 };
    assert_eq!(calls.on_verdict(millis(10), 1, 7, rejected.clone()), None);
    assert!(matches!(
        calls.on_verdict(millis(11), 1, 9, rejected),
        Some(CallerResponse::Rejected { .. })
    ));
    assert!(calls.is_empty());
}

/// Guards against a caller with little time that is answered without a try.
#[test]
fn a_caller_with_little_time_gets_most_of_it() {
    let options = Options::default();
    let mut calls = PendingRequests::default();
    calls.add(millis(0), 1, cancel(), Some(millis(160)), &options);
    calls.pass_to(7);
    assert!(calls.give_up(millis(100), true, false, &options).is_empty());
    assert_eq!(calls.give_up(millis(125), true, false, &options).len(), 1);
}
