//! What callers are told while the decider changes and hosts lose the store.

mod sim;

use pier_cell::job::JobState;

use sim::callers::submit_load;
use sim::invariants::check_invariants;
use sim::{Sim, step};

/// Guards against late reports of a job's end: callers query any host, and every host reports the
/// end as soon as it is stored, without waiting for its next read of the log.
#[test]
fn every_host_reports_a_jobs_end_at_once() {
    for offset in 0..3 {
        check_end_is_reported(offset);
    }
}

fn check_end_is_reported(offset: usize) {
    let mut sim = Sim::new(6, 3, 8);
    sim.run_for(2_000);
    let decider = sim.decider().expect("a decider");
    let host = (decider + offset) % 3;
    sim.submit((decider + 1) % 3, "00000000000000aa", "urgent", vec![step(1, 1)]);
    while sim.stored_state("00000000000000aa") != Some(JobState::Completed) {
        sim.run_for(1);
        // From now on the host can learn of the end only from the decider's message.
        if host != decider && sim.stored_state("00000000000000aa").is_some() {
            sim.hosts[host].is_store_unreachable = true;
        }
    }
    sim.run_for(15);
    let shown = sim.show(host, "00000000000000aa", "urgent");
    assert_eq!(shown, Some(pier_cell::effect::CallerResponse::State(JobState::Completed)));
}

fn retry_after_ms(sim: &Sim, id: &str) -> Option<u128> {
    match sim.observed.responses.get(id) {
        Some(pier_cell::effect::CallerResponse::Rejected { retry_after, .. }) => {
            Some(retry_after.as_millis())
        }
        _ => None,
    }
}

/// Guards against callers that retry at an isolated host, or that use up their attempts during an
/// outage that affects all hosts.
#[test]
fn the_retry_delay_of_a_rejection_depends_on_whether_other_hosts_serve() {
    let mut sim = Sim::new(7, 4, 8);
    sim.run_for(2_000);
    let host = (sim.decider().expect("a decider") + 1) % 4;
    sim.hosts[host].is_store_unreachable = true;
    sim.run_for(6_000);
    sim.submit(host, "00000000000000c1", "urgent", vec![step(1, 1)]);
    sim.run_for(100);
    assert_eq!(retry_after_ms(&sim, "00000000000000c1"), Some(0), "others serve");
    sim.hosts[host].is_store_unreachable = false;
    sim.run_for(3_000);
    sim.is_store_down = true;
    sim.run_for(6_000);
    sim.submit(host, "00000000000000c2", "urgent", vec![step(1, 1)]);
    sim.run_for(100);
    assert_eq!(retry_after_ms(&sim, "00000000000000c2"), Some(1_000), "no host serves");
}

/// Guards against callers that wait for a decider that was replaced: a host that lost the store
/// together with the decider is still connected to it (seen in the Hladik scenario scale-2).
#[test]
fn a_replaced_decider_does_not_keep_callers_waiting() {
    let mut sim = Sim::new(8, 5, 8);
    // The tasks are long, so that the decider polls the workers and learns of its successor from
    // them.
    sim.run_ms = 6_000;
    sim.run_for(2_000);
    let mut count = 0;
    submit_load(&mut sim, 1, &mut count);
    let decider = sim.decider().expect("a decider");
    let host = (decider + 1) % 5;
    sim.hosts[decider].is_store_unreachable = true;
    sim.hosts[host].is_store_unreachable = true;
    // The host's declaration is still recent enough for it to accept requests.
    sim.run_for(1_700);
    sim.submit(host, "00000000000000d1", "urgent", vec![step(1, 1)]);
    sim.run_for(1_300);
    assert!(sim.observed.responses.contains_key("00000000000000d1"), "no response after 1.3 s");
    sim.hosts[decider].is_store_unreachable = false;
    sim.hosts[host].is_store_unreachable = false;
    sim.run_for(20_000);
    check_invariants(&sim);
}

/// Guards against a caller whose running job is reported as unknown: a decider that was replaced
/// and has not noticed it yet does not know the job (seen in the Kuiseb scenario store-and-decider,
/// seed 173352165450).
#[test]
fn a_replaced_decider_does_not_report_a_job_as_unknown() {
    let mut sim = Sim::new(16, 5, 8);
    sim.run_for(2_000);
    let old = sim.decider().expect("a decider");
    let isolated = (old + 1) % 5;
    sim.hosts[old].is_store_unreachable = true;
    sim.hosts[isolated].is_store_unreachable = true;
    sim.run_for(1_600);
    sim.submit((old + 2) % 5, "job", "urgent", vec![step(1, 1)]);
    sim.run_for(60);
    assert!(sim.observed.accepted.contains("job"), "the new decider has accepted it");
    let response = sim.cancel_for(isolated, "job", "urgent", 300);
    assert_ne!(response, Some(pier_cell::effect::CallerResponse::UnknownJob));
    let shown = sim.show(isolated, "job", "urgent");
    assert_ne!(shown, Some(pier_cell::effect::CallerResponse::UnknownJob));
    // The cancellation would be carried out if its host could forward it within the caller's time.
    sim.run_for(3_000);
    sim.hosts[old].is_store_unreachable = false;
    sim.hosts[isolated].is_store_unreachable = false;
    sim.run_for(10_000);
    check_invariants(&sim);
}

/// Guards against requests that multiply between two hosts: a host that does not know yet that it
/// is the decider returns each request, which must not make the sender forward all others again at
/// once.
#[test]
fn requests_do_not_multiply_between_hosts() {
    let mut sim = Sim::new(9, 4, 8);
    sim.run_for(2_000);
    let decider = sim.decider().expect("a decider");
    sim.kill_host(decider);
    sim.lost_appends_percent = 100;
    let claims = sim.observed.claims;
    while sim.observed.claims == claims {
        sim.run_for(1);
    }
    // The claim is stored, but its host does not receive the result.
    let logged_decider = sim.logged_decider().expect("a claim");
    sim.hosts[logged_decider].is_store_unreachable = true;
    for call in 0..60 {
        let host = (logged_decider + 1 + call % 3) % 4;
        sim.submit(host, &format!("{call:016x}"), "urgent", vec![step(1, 1)]);
    }
    sim.observed.messages = 0;
    sim.run_for(560);
    // Each request is forwarded and returned every 40 ms, for half a second at most.
    assert!(sim.observed.messages <= 60 * 2 * 14, "{} messages", sim.observed.messages);
    sim.hosts[logged_decider].is_store_unreachable = false;
    sim.lost_appends_percent = 0;
    sim.start_host(decider);
    sim.run_for(10_000);
    check_invariants(&sim);
}

/// Guards against requests that wait in vain, and against a host that is unready for long: it reads
/// a claim from the log before the claiming host has the store's response, and so forwards too
/// early.
#[test]
fn requests_that_reach_a_decider_before_its_claim_completes_are_forwarded_again() {
    let mut sim = Sim::new(9, 4, 8);
    sim.run_for(2_000);
    let decider = sim.decider().expect("a decider");
    sim.kill_host(decider);
    // Appends complete slowly while reads are fast.
    sim.append_response_ms = 400;
    for millis in 0..200 {
        sim.run_for(10);
        let host = (decider + 1 + millis % 3) % 4;
        sim.submit(host, &format!("{millis:016x}"), "urgent", vec![step(1, 1)]);
    }
    sim.append_response_ms = 0;
    sim.run_for(6_000);
    assert_eq!(
        sim.observed.unknown_outcomes.len(),
        0,
        "requests without an outcome: {:?}",
        sim.observed.unknown_outcomes
    );
    check_invariants(&sim);
}
