//! Admission control of the decider. Its pure decisions are tested in crates/load/tests/admission.rs.

mod fixture;
mod sim;

use std::sync;

use pier_cell::cell_state::LiveJob;
use pier_cell::decider::RequestOrigin;
use pier_cell::effect::{CallerResponse, WorkerOperation};
use pier_cell::follower::FollowerUpdate;
use pier_cell::job::{JobSpec, Step};
use pier_cell::options::{LoadOptions, Options};
use pier_cell::peer::RequestOutcome;
use pier_cell::progress::{Phase, Progress};
use pier_core::ids;

use fixture::{Fixture, cores, queue, worker_call};
use sim::invariants::check_invariants;
use sim::{Sim, step};

const ADMISSION: LoadOptions =
    LoadOptions { admission: true, shares: false, gangs: false, reclaim: false };

/// A decider with a limit of waiting jobs, before it has read the worker list.
fn full_cell(max_waiting_jobs: usize, load: LoadOptions) -> Fixture {
    let mut fixture = Fixture::new(queue(None));
    fixture.options.max_waiting_jobs = max_waiting_jobs;
    fixture.options.load = load;
    fixture
}

fn spec(id: &str, estimate_ms: u64) -> sync::Arc<JobSpec> {
    let steps = vec![Step { tasks: 1, need: cores(4), estimate_ms, ..Step::default() }];
    sync::Arc::new(JobSpec {
        id: id.into(),
        queue: "queue".into(),
        account: Some("team".into()),
        payload: "text".into(),
        steps,
    })
}

/// Submits a job. Returns the reason and the retry delay if it is rejected.
fn submit(fixture: &mut Fixture, id: &str, estimate_ms: u64) -> Option<(String, u64)> {
    let mut outcomes = Vec::new();
    let spec = spec(id, estimate_ms);
    fixture.with_decider(|decider, context| {
        decider.on_submit(context, RequestOrigin::Local(1), spec);
        outcomes = decider.take_local_outcomes();
    });
    match outcomes.pop() {
        Some((_, RequestOutcome::Rejected { reason, retry_after_ms })) => {
            Some((reason, retry_after_ms))
        }
        _ => None,
    }
}

/// Lets time pass. Appends are stored, and workers report no runs.
fn settle(fixture: &mut Fixture, millis: u64) {
    fixture.wall_ms += millis;
    let effects = fixture.advance(millis);
    for effect in &effects {
        if let Some((target, WorkerOperation::Poll { sent_at, .. })) = worker_call(effect) {
            fixture.report_poll(&target.worker, *sent_at, Vec::new(), Vec::new());
        }
    }
    fixture.complete_appends(&effects);
}

/// Guards against rejected jobs that run, against repeated submissions that are rejected although
/// the job is accepted, and against callers that lose their place and their first submission.
#[test]
fn a_rejected_job_waits_for_its_caller_and_then_goes_first() {
    let mut fixture = full_cell(1, ADMISSION);
    assert_eq!(None, submit(&mut fixture, "accepted", 100));
    let first_wall_ms = fixture.wall_ms;
    let (reason, retry_after_ms) =
        submit(&mut fixture, "returns", 10_000).expect("the cell is full");
    assert_eq!(("too many jobs are waiting", 1_000), (reason.as_str(), retry_after_ms));
    assert_eq!(None, submit(&mut fixture, "accepted", 100), "the job is known");
    settle(&mut fixture, 30);

    fixture.options.max_waiting_jobs = 10;
    let (reason, _) = submit(&mut fixture, "returns", 10_000).expect("it is early");
    assert_eq!("the job was rejected and has returned too early", reason);
    settle(&mut fixture, 1_000);
    assert!(!fixture.cell_state.live.contains_key("returns"), "nobody submitted it again");
    // Its latest start is before that of the job that returns.
    assert_eq!(None, submit(&mut fixture, "newcomer", 0));
    assert_eq!(None, submit(&mut fixture, "returns", 10_000));
    assert_eq!(first_wall_ms, fixture.cell_state.live["returns"].accepted_wall_ms);
    settle(&mut fixture, 30);
    let records = vec![(0, fixture::record("worker"))];
    let learned = FollowerUpdate { is_reset: true, records, is_caught_up: true };
    fixture.with_decider(|decider, _| decider.on_worker_records(learned));
    settle(&mut fixture, 30);
    settle(&mut fixture, 30);
    for (id, has_started) in [("accepted", false), ("newcomer", false), ("returns", true)] {
        let phase = &fixture.cell_state.live[id].progress.steps[0][0].phase;
        assert_eq!(has_started, matches!(phase, Phase::Assigned { .. }), "{id}: {phase:?}");
    }
}

/// Guards against jobs that are kept out by other jobs than those within their accounts' shares:
/// of jobs from an earlier decider it is not known whether they are within shares.
#[test]
fn the_limit_counts_only_jobs_within_shares() {
    for (load, is_accepted) in [(ADMISSION, true), (LoadOptions::default(), false)] {
        let mut fixture = full_cell(2, load);
        for index in 0..3 {
            let spec = spec(&format!("inherited{index}"), 100);
            let progress = Progress::new(&spec);
            let id = ids::JobId::clone(&spec.id);
            let job = LiveJob { accepted_wall_ms: fixture.wall_ms, spec, progress };
            fixture.cell_state.live.insert(id, job);
        }
        assert_eq!(is_accepted, submit(&mut fixture, "first", 100).is_none());
        assert_eq!(is_accepted, submit(&mut fixture, "second", 100).is_none());
        assert!(submit(&mut fixture, "third", 100).is_some());
    }
}

/// Guards against a change for deployments without admission control: a rejected caller may return
/// at any time and has no place.
#[test]
fn without_admission_control_rejections_are_not_remembered() {
    let mut fixture = full_cell(1, LoadOptions::default());
    assert_eq!(None, submit(&mut fixture, "accepted", 100));
    let rejected = submit(&mut fixture, "returns", 100);
    assert_eq!(Some(("too many jobs are waiting".to_owned(), 1_000)), rejected);
    fixture.options.max_waiting_jobs = 10;
    fixture.wall_ms += 30;
    assert_eq!(None, submit(&mut fixture, "returns", 100));
    assert_eq!(fixture.wall_ms, fixture.cell_state.live["returns"].accepted_wall_ms);
}

/// Guards against rejections that no metric shows.
#[test]
fn rejections_are_reported() {
    let mut fixture = full_cell(1, ADMISSION);
    submit(&mut fixture, "accepted", 100);
    submit(&mut fixture, "rejected", 100);
    let mut rejections = Vec::new();
    fixture.with_decider(|decider, _| rejections = decider.take_load_report().rejections);
    assert_eq!(vec![("too many jobs are waiting", ids::QueueId::from("queue"))], rejections);
}

/// Guards against a caller that hears that its job does not run while it runs: a job that was
/// accepted through one host is submitted again through the others while new jobs are rejected.
#[test]
fn a_job_accepted_through_another_host_is_never_rejected() {
    let options = Options { max_waiting_jobs: 2, load: ADMISSION, ..Options::default() };
    let mut sim = Sim::with_options(1, 4, 2, options);
    sim.run_ms = 5_000;
    sim.run_for(2_000);
    let decider = sim.decider().expect("a decider");
    let through = (decider + 1) % 4;
    sim.submit(through, "first", "batch", vec![step(1, 1)]);
    sim.submit(through, "second", "batch", vec![step(1, 1)]);
    sim.run_for(2);
    sim.kill_host(through);
    for round in 0..10 {
        for host in (0..4).filter(|host| *host != through) {
            sim.submit(host, &format!("new{round}{host}"), "batch", vec![step(1, 1)]);
            sim.submit(host, "second", "batch", vec![step(1, 1)]);
        }
        sim.run_for(100);
        assert_eq!(Some(&CallerResponse::Accepted), sim.observed.responses.get("second"));
    }
    assert!(sim.observed.rejected.iter().all(|id| id.starts_with("new")));
    assert!(sim.observed.rejected.len() > 20, "the cell is not full");
    sim.start_host(through);
    sim.run_for(20_000);
    check_invariants(&sim);
}
