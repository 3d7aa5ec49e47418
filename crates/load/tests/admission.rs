//! Admission control: who is rejected, when callers return, and what a full cell serves.

use std::collections::{BTreeMap, BTreeSet};
use std::time;

use pier_load::admission::{
    Admission, Decision, ForecastTimes, JobKey, RejectionReason, Submission,
};

fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn key(job: &str) -> JobKey {
    JobKey { job: job.into(), account: Some("team".into()) }
}

/// A submission with an objective of 2 s whose job takes 1 s from `start_ms` on.
fn submission(now_ms: u64, start_ms: u64) -> Submission {
    Submission {
        now: millis(now_ms),
        objective: millis(2_000),
        forecast: Some(ForecastTimes { start: millis(start_ms), end: millis(start_ms + 1_000) }),
        is_below_job_limit: true,
        work: millis(100),
        default_retry_delay: millis(1_000),
    }
}

fn decide(admission: &mut Admission, job: &str, submission: &Submission) -> Decision {
    admission.decide(&key(job), &"queue".into(), submission)
}

fn rejection(decision: Decision) -> (RejectionReason, u64) {
    let Decision::Reject { reason, retry_after, .. } = decision else {
        panic!("the job was accepted");
    };
    assert_eq!(0, retry_after.subsec_nanos(), "Retry-After is in whole seconds");
    (reason, retry_after.as_secs())
}

/// Guards against jobs that are rejected although they can end in time for their callers, and
/// against jobs that are accepted although their results are of no use any more.
#[test]
fn only_a_job_that_ends_after_three_objectives_is_rejected() {
    let mut admission = Admission::new();
    let late = decide(&mut admission, "late", &submission(0, 5_000));
    assert_eq!(Decision::Accept { first_submitted: millis(0), promised: None }, late);
    let (reason, retry_s) = rejection(decide(&mut admission, "useless", &submission(0, 5_001)));
    assert_eq!(RejectionReason::CannotEndInTime, reason);
    assert!((1..=5).contains(&retry_s), "a retry after {retry_s} s is of no use");
    let mut without_forecast = submission(0, 0);
    without_forecast.forecast = None;
    let accepted = decide(&mut admission, "unknown", &without_forecast);
    assert_eq!(Decision::Accept { first_submitted: millis(0), promised: None }, accepted);
    without_forecast.is_below_job_limit = false;
    let (reason, _) = rejection(decide(&mut admission, "limit", &without_forecast));
    assert_eq!(RejectionReason::TooManyJobs, reason);
}

/// Guards against callers that are rejected together and return together, and against callers that
/// lose their place to those who were rejected after them.
#[test]
fn callers_that_are_rejected_together_return_spread_and_in_order() {
    let mut admission = Admission::new();
    let mut delays_s = BTreeSet::new();
    for index in 0..20 {
        let (_, delay_s) =
            rejection(decide(&mut admission, &format!("job{index}"), &submission(0, 20_000)));
        delays_s.insert(delay_s);
    }
    assert_eq!(BTreeSet::from([3, 4, 5]), delays_s);
    let mut last = millis(0);
    for index in 0..20 {
        let returned = decide(&mut admission, &format!("job{index}"), &submission(5_000, 5_000));
        let Decision::Accept { first_submitted, promised: Some(promised) } = returned else {
            panic!("the caller has no place: {returned:?}");
        };
        assert_eq!(millis(0), first_submitted);
        assert!(promised > last, "job{index} was promised the time of an earlier caller");
        last = promised;
    }
}

/// Guards against a job that runs after its caller was told that it does not: an earlier attempt of
/// the caller may be under way when a later one is rejected.
#[test]
fn an_attempt_before_the_promised_time_is_rejected() {
    let mut admission = Admission::new();
    rejection(decide(&mut admission, "job", &submission(0, 20_000)));
    let (reason, retry_s) = rejection(decide(&mut admission, "job", &submission(500, 500)));
    assert_eq!((RejectionReason::ReturnedEarly, 2), (reason, retry_s));
    let other = JobKey { job: "job".into(), account: Some("other".into()) };
    let of_another = admission.decide(&other, &"queue".into(), &submission(500, 500));
    assert_eq!(Decision::Accept { first_submitted: millis(500), promised: None }, of_another);
}

/// Guards against callers that retry although nothing is gained by it, and against a job that is
/// rejected for ever after a first attempt that was too late.
#[test]
fn a_job_without_a_useful_retry_returns_after_the_backlog_as_a_new_one() {
    let mut admission = Admission::new();
    rejection(decide(&mut admission, "job", &submission(0, 20_000)));
    let again = decide(&mut admission, "job", &submission(5_500, 20_000));
    assert_eq!((RejectionReason::NeverInTime, 15), rejection(again));
    let early = decide(&mut admission, "job", &submission(6_000, 6_000));
    assert_eq!(RejectionReason::ReturnedEarly, rejection(early).0);
    let later = decide(&mut admission, "job", &submission(20_500, 20_500));
    assert_eq!(Decision::Accept { first_submitted: millis(20_500), promised: None }, later);
}

/// Guards against memory that grows with the number of rejected jobs.
#[test]
fn the_oldest_rejections_are_forgotten_first() {
    let mut admission = Admission::new();
    for index in 0..4_097 {
        rejection(decide(&mut admission, &format!("job{index}"), &submission(0, 20_000)));
    }
    assert_eq!(4_096, admission.remembered());
    let first = decide(&mut admission, "job0", &submission(4_000, 4_000));
    assert_eq!(Decision::Accept { first_submitted: millis(4_000), promised: None }, first);
    let second = decide(&mut admission, "job1", &submission(5_000, 5_000));
    assert!(matches!(second, Decision::Accept { promised: Some(_), .. }), "{second:?}");
}

const SERVERS: usize = 100;
const RUN_MS: u64 = 1_000;
const USEFUL_MS: u64 = 6_000;
const LOADED_MS: u64 = 20_000;

/// Serves jobs of one task in the order of promised times and first submissions, with as many new
/// jobs as can be served and `excess` more in the first second. The line does not rank expired jobs
/// last as the decider does, so that admission control alone keeps them from being served. Returns the number of jobs that end while their results are of use.
fn served(excess: u64, is_admission_on: bool) -> u64 {
    let mut admission = Admission::new();
    let mut arrivals: BTreeMap<u64, Vec<String>> = BTreeMap::new();
    for index in 0..LOADED_MS / 10 {
        arrivals.entry(index * 10).or_default().push(format!("usual{index}"));
    }
    for index in 0..excess {
        arrivals.entry(index * 1_000 / excess).or_default().push(format!("excess{index}"));
    }
    let mut waiting: BTreeSet<(u64, u64, String)> = BTreeSet::new();
    let mut running: Vec<u64> = Vec::new();
    let mut served = 0;
    while let Some((now_ms, jobs)) = arrivals.pop_first() {
        running.retain(|ends_ms| *ends_ms > now_ms);
        for job in jobs {
            let backlog = u64::try_from(waiting.len() + running.len()).expect("few jobs");
            let start_ms = now_ms + (backlog * RUN_MS / SERVERS as u64).saturating_sub(RUN_MS);
            let mut request = submission(now_ms, start_ms);
            request.work = millis(RUN_MS / SERVERS as u64);
            if !is_admission_on {
                request.forecast = None;
            }
            match decide(&mut admission, &job, &request) {
                Decision::Accept { first_submitted, promised } => {
                    let promised = promised.map_or(u64::MAX, |at| at.as_millis() as u64);
                    waiting.insert((promised, first_submitted.as_millis() as u64, job));
                }
                Decision::Reject { reason: RejectionReason::NeverInTime, .. } => {}
                Decision::Reject { retry_after, .. } => {
                    let retry_ms = now_ms + retry_after.as_millis() as u64;
                    arrivals.entry(retry_ms).or_default().push(job);
                }
            }
        }
        while running.len() < SERVERS
            && let Some((_, first_ms, _)) = waiting.pop_first()
        {
            running.push(now_ms + RUN_MS);
            served += u64::from(now_ms + RUN_MS <= first_ms + USEFUL_MS && now_ms < LOADED_MS);
        }
    }
    served
}

/// Guards against excess that takes the capacity from work that can still be in time.
#[test]
fn excess_does_not_reduce_what_is_served() {
    let at_full_load = served(0, true);
    for excess in [2_000, 10_000] {
        let (with, without) = (served(excess, true), served(excess, false));
        println!("full load {at_full_load}, {excess} more: {with}, without admission {without}");
        assert!(with * 10 >= at_full_load * 9, "{with} of {at_full_load} jobs were served");
        assert!(without * 10 < at_full_load * 9, "the load is too small for this test: {without}");
    }
}
