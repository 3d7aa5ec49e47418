//! Admission control of the decider. Its pure decisions are tested in crates/load/tests/admission.rs.

mod fixture;
mod sim;

use pier_cell::decider::Decider;
use pier_cell::effect::CallerResponse;
use pier_cell::options::{LoadOptions, Options};
use pier_cell::peer::RequestOutcome;
use pier_cell::progress::Phase;

use fixture::{Fixture, queue, single_step, term};
use sim::{Sim, step};

const ADMISSION: LoadOptions =
    LoadOptions { admission: true, shares: false, gangs: false, reclaim: false };

/// Submits a job. Returns the reason and the retry delay if it is rejected.
fn submit(fixture: &mut Fixture, id: &str, estimate_ms: u64) -> Option<(String, u64)> {
    let mut steps = single_step(1, false);
    steps[0].estimate_ms = estimate_ms;
    fixture.submit_as(id, steps);
    let mut outcomes = Vec::new();
    fixture.with_decider(|decider, _| outcomes = decider.take_local_outcomes());
    match outcomes.pop() {
        Some((_, RequestOutcome::Rejected { reason, retry_after_ms })) => {
            Some((reason, retry_after_ms))
        }
        _ => None,
    }
}

/// Guards against rejected jobs that run, and against callers that lose their place and their first
/// submission. Without admission control callers may return at any time and have no place.
#[test]
fn a_rejected_job_waits_for_its_caller_and_then_goes_first() {
    for load in [ADMISSION, LoadOptions::default()] {
        let mut fixture = Fixture::new(queue(None));
        (fixture.options.load, fixture.options.max_waiting_jobs) = (load, 1);
        let first_wall_ms = fixture.wall_ms;
        assert_eq!(None, submit(&mut fixture, "accepted", 100));
        let rejected = Some(("too many jobs are waiting".to_owned(), 1_000));
        assert_eq!(rejected, submit(&mut fixture, "returns", 10_000));
        assert_eq!(None, submit(&mut fixture, "accepted", 100), "the job is known");
        let mut report = None;
        fixture.with_decider(|decider, _| report = Some(decider.take_load_report()));
        let rejections = report.expect("a report").rejections;
        assert_eq!(vec![("too many jobs are waiting", "queue".into())], rejections);

        fixture.options.max_waiting_jobs = 10;
        if load.admission {
            assert_eq!(rejected, submit(&mut fixture, "returns", 10_000), "it is early");
            fixture.now += std::time::Duration::from_secs(1);
            fixture.wall_ms += 1_000;
            assert!(!fixture.cell_state.live.contains_key("returns"));
        }
        // Its latest start is before that of the job that returns.
        assert_eq!(None, submit(&mut fixture, "newcomer", 0));
        assert_eq!(None, submit(&mut fixture, "returns", 10_000));
        assert_eq!(first_wall_ms, fixture.cell_state.live["returns"].accepted_wall_ms);
        let effects = fixture.advance(30);
        fixture.complete_appends(&effects);
        fixture.list_workers(&["worker"]);
        let phase = &fixture.cell_state.live["returns"].progress.steps[0][0].phase;
        assert_eq!(load.admission, matches!(phase, Phase::Assigned { .. }), "{phase:?}");
    }
}

/// Guards against jobs that are kept out by others than those within shares. Of the jobs of an
/// earlier decider it is not known whether they are.
#[test]
fn the_limit_counts_only_jobs_within_shares() {
    for (load, accepted) in [(ADMISSION, 2), (LoadOptions::default(), 0)] {
        let mut fixture = Fixture::new(queue(None));
        (fixture.options.load, fixture.options.max_waiting_jobs) = (load, 2);
        let is_accepted = |id: &&&str| submit(&mut fixture, id, 100).is_none();
        assert_eq!(2, ["a", "b", "c"].iter().filter(is_accepted).count());
        fixture.with_decider(|decider, context| {
            *decider = Decider::new(context, term(2, 8, 100, context.now));
        });
        let is_accepted = |id: &&&str| submit(&mut fixture, id, 100).is_none();
        assert_eq!(accepted, ["d", "e", "f"].iter().filter(is_accepted).count());
    }
}

/// Guards against a caller that hears that its job does not run while it runs: a job that was
/// accepted through one host is submitted again through the others while new jobs are rejected.
#[test]
fn a_job_accepted_through_another_host_is_never_rejected() {
    let options = Options { max_waiting_jobs: 1, load: ADMISSION, ..Options::default() };
    let mut sim = Sim::with_options(1, 4, 2, options);
    sim.run_ms = 5_000;
    sim.run_for(2_000);
    let through = (sim.decider().expect("a decider") + 1) % 4;
    sim.submit(through, "job", "batch", vec![step(1, 1)]);
    sim.run_for(10);
    assert!(sim.observed.responses.is_empty(), "the host responds before it fails");
    sim.kill_host(through);
    for round in 0..10 {
        for host in (0..4).filter(|host| *host != through) {
            sim.submit(host, &format!("new{round}{host}"), "batch", vec![step(1, 1)]);
            sim.submit(host, "job", "batch", vec![step(1, 1)]);
        }
        sim.run_for(100);
        assert_eq!(Some(&CallerResponse::Accepted), sim.observed.responses.get("job"));
    }
    assert!(!sim.observed.rejected.contains("job"));
    assert!(sim.observed.rejected.len() > 20, "the cell is not full");
    sim.start_host(through);
    sim.run_for(20_000);
    sim::invariants::check_invariants(&sim);
}
