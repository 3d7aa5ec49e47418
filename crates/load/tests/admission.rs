//! Admission control: who is rejected, when callers return, and what a full cell serves.

use std::collections::{BTreeMap, BTreeSet};
use std::time;

use pier_load::admission::{Admission, Decision, ForecastTimes, JobKey, Submission};

const SERVERS: u64 = 100;
const USEFUL_MS: u64 = 6_000;
const LOADED_MS: u64 = 20_000;

/// Submits a job with an objective of 2 s that would run for 1 s from `start_ms` on. Returns when it
/// was first submitted and the promised time, or the reason to reject it and the retry delay in
/// seconds.
fn submit(
    admission: &mut Admission,
    job: &str,
    now_ms: u64,
    start_ms: u64,
) -> Result<(u64, Option<u64>), (&'static str, u64)> {
    let millis = time::Duration::from_millis;
    let submission = Submission {
        now: millis(now_ms),
        objective: millis(USEFUL_MS / 3),
        forecast: Some(ForecastTimes { start: millis(start_ms), end: millis(start_ms + 1_000) }),
        is_below_job_limit: true,
        work: millis(100),
        default_retry_delay: millis(1_000),
    };
    let (account, id) = job.split_once('/').unwrap_or(("team", job));
    let key = JobKey { job: id.into(), account: Some(account.into()) };
    let to_millis = |at: time::Duration| u64::try_from(at.as_millis()).expect("a short time");
    match admission.decide(&key, &"queue".into(), &submission) {
        Decision::Accept { first_submitted, promised } => {
            Ok((to_millis(first_submitted), promised.map(to_millis)))
        }
        Decision::Reject { reason, retry_after, .. } => {
            Err((reason.as_str(), to_millis(retry_after) / 1_000))
        }
    }
}

/// Guards against callers that are rejected together and return together, against a promised time
/// that is of no use, and against a job that runs after its rejection because an earlier attempt of
/// the caller arrives late. The id alone gives another account no place.
#[test]
fn callers_that_are_rejected_together_return_spread_and_in_order() {
    let mut admission = Admission::default();
    assert_eq!(Ok((0, None)), submit(&mut admission, "late", 0, 5_000));
    let mut delays_s = BTreeSet::new();
    for job in 10..30 {
        let rejected = submit(&mut admission, &job.to_string(), 0, 5_001);
        let (reason, retry_s) = rejected.expect_err("its result is of no use");
        assert_eq!("the job cannot end in time", reason);
        delays_s.insert(retry_s);
        assert!(submit(&mut admission, &job.to_string(), 2_000, 2_000).is_err(), "it is early");
    }
    assert_eq!(BTreeSet::from([3, 4, 5]), delays_s);
    assert_eq!(Ok((5_000, None)), submit(&mut admission, "other/10", 5_000, 5_000));
    let mut places = Vec::new();
    for job in 10..30 {
        places.push(submit(&mut admission, &job.to_string(), 5_000, 5_000));
    }
    assert!(places.iter().all(|place| matches!(place, Ok((0, Some(_))))), "{places:?}");
    assert!(places.is_sorted_by(|a, b| a < b), "{places:?}");
}

/// Guards against a job that is rejected for ever after a first attempt that was too late.
#[test]
fn a_job_without_a_useful_retry_returns_after_the_backlog_as_a_new_one() {
    let mut admission = Admission::default();
    assert!(submit(&mut admission, "job", 0, 20_000).is_err());
    let never = submit(&mut admission, "job", 5_500, 20_000);
    assert_eq!(Err(("the job cannot end in time, also not later", 15)), never);
    assert_eq!(Ok((20_500, None)), submit(&mut admission, "job", 20_500, 20_500));
}

/// Guards against retries that come too late because their delays are rounded up.
#[test]
fn a_retry_delay_in_whole_seconds_ends_while_a_retry_is_of_use() {
    let mut admission = Admission::default();
    for now_ms in [0, 3_450] {
        for job in 10..20 {
            let rejected = submit(&mut admission, &job.to_string(), now_ms, 20_000);
            let (_, retry_s) = rejected.expect_err("the cell is full");
            assert!(now_ms + retry_s * 1_000 <= USEFUL_MS - 1_000, "{retry_s} s at {now_ms} ms");
        }
    }
}

/// Guards against memory that grows with the number of rejected jobs.
#[test]
fn the_oldest_rejections_are_forgotten_first() {
    let mut admission = Admission::default();
    for job in 0..4_097 {
        assert!(submit(&mut admission, &job.to_string(), 0, 20_000).is_err());
    }
    assert_eq!(Ok((5_000, None)), submit(&mut admission, "0", 5_000, 5_000));
    assert!(matches!(submit(&mut admission, "1", 5_000, 5_000), Ok((0, Some(_)))));
}

/// Serves jobs of 1 s in the order of promised times and first submissions, with as many new jobs as
/// can be served and `excess` more in the first second. The line does not rank expired jobs last as
/// the decider does, so that admission control alone keeps them from being served. Returns the
/// number of jobs that end while their results are of use.
fn served(excess: u64, is_admission_on: bool) -> u64 {
    let mut admission = Admission::default();
    let mut arrivals: BTreeMap<u64, Vec<String>> = BTreeMap::new();
    for index in 0..LOADED_MS / 10 {
        arrivals.entry(index * 10).or_default().push(format!("usual{index}"));
    }
    for index in 0..excess {
        arrivals.entry(index * 1_000 / excess).or_default().push(format!("excess{index}"));
    }
    let mut waiting: BTreeSet<(u64, u64, String)> = BTreeSet::new();
    let (mut running, mut served) = (Vec::new(), 0);
    while let Some((now_ms, jobs)) = arrivals.pop_first() {
        running.retain(|ends_ms| *ends_ms > now_ms);
        for job in jobs {
            let backlog = u64::try_from(waiting.len() + running.len()).expect("few jobs");
            let wait_ms = (backlog * 1_000 / SERVERS).saturating_sub(1_000);
            let start_ms = if is_admission_on { now_ms + wait_ms } else { now_ms };
            match submit(&mut admission, &job, now_ms, start_ms) {
                Ok((first_ms, promised_ms)) => {
                    waiting.insert((promised_ms.unwrap_or(u64::MAX), first_ms, job));
                }
                Err((reason, _)) if reason.ends_with("also not later") => {}
                Err((_, retry_s)) => {
                    arrivals.entry(now_ms + retry_s * 1_000).or_default().push(job);
                }
            }
        }
        while running.len() < 100
            && let Some((_, first_ms, _)) = waiting.pop_first()
        {
            running.push(now_ms + 1_000);
            served += u64::from(now_ms + 1_000 <= first_ms + USEFUL_MS && now_ms < LOADED_MS);
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
