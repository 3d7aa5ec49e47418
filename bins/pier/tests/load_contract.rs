//! The load generator: its plan, its checks of answers and its report.

mod support;

use std::time;

use pier::load;
use pier::load::arrivals;
use support::{FakeHost, refusal};

fn profile(text: &str) -> load::Profile {
    load::Profile::parse("profile", text).unwrap()
}

/// Guards against a plan that differs between runs with the same profile, which would make
/// measurements incomparable.
#[test]
fn plan_is_deterministic_for_a_profile() {
    let text = |seed: u32, second_rate: u32| {
        format!(
            "{{ hosts: ['h'], duration_ms: 10000, seed: {seed}, streams: [
                {{ team: 'a', queue: 'q', rate_per_s: 100, run_ms: [5, 50],
                   burst: {{ every_ms: 2500, count: 10 }} }},
                {{ team: 'b', queue: 'q', rate_per_s: {second_rate}, from_ms: 5000 }},
            ] }}"
        )
    };
    let plan = arrivals::plan(&profile(&text(1, 10)));
    assert_eq!(plan, arrivals::plan(&profile(&text(1, 10))));
    assert_ne!(plan, arrivals::plan(&profile(&text(2, 10))));
    let arrivals_of_stream = |plan: &[arrivals::Arrival], wanted: usize| {
        let mut selected = plan.to_vec();
        selected.retain(|arrival| {
            matches!(arrival.kind, arrivals::ArrivalKind::Request { stream, .. } if stream == wanted)
        });
        selected
    };
    // A change to one stream does not affect the other one.
    let other = arrivals::plan(&profile(&text(1, 20)));
    assert_eq!(arrivals_of_stream(&plan, 0), arrivals_of_stream(&other, 0));
    // On average 1,000 Poisson arrivals, plus 40 in bursts; five standard deviations are 158.
    let count = arrivals_of_stream(&plan, 0).len();
    assert!((882..=1_198).contains(&count), "{count}");
    let first = arrivals_of_stream(&plan, 1)[0].at;
    assert!(first >= time::Duration::from_secs(5), "{first:?}");
    assert!(plan.is_sorted_by_key(|arrival| arrival.at));
}

/// Guards against a profile that sends an unbounded number of requests or causes a division by
/// zero.
#[test]
fn invalid_profiles_are_rejected() {
    let stream = |field: &str| {
        format!(
            "{{ hosts: ['h'], duration_ms: 1000,
                streams: [{{ team: 'a', queue: 'q', {field} }}] }}"
        )
    };
    let cases = [
        "{ hosts: [], duration_ms: 1 }".to_owned(),
        "{ hosts: ['h'], duration_ms: 1, threads: 0 }".to_owned(),
        "{ hosts: ['h'], duration_ms: 1, threads: 100000 }".to_owned(),
        "{ hosts: ['h'], duration_ms: 1, unknown: 1 }".to_owned(),
        stream("rate_per_s: -1"),
        stream("rate_per_s: 1e9"),
        stream("rate_per_s: 1, run_ms: [5, 4]"),
        stream("rate_per_s: 1, burst: { every_ms: 0, count: 1 }"),
    ];
    for text in cases {
        assert!(load::Profile::parse("profile", &text).is_err(), "{text}");
    }
    let good = stream("rate_per_s: 1, run_ms: [4, 5]");
    assert!(load::Profile::parse("profile", &good).is_ok(), "{good}");
}

/// Guards against wrong answers that are counted as correct, and requests that are counted twice or
/// not at all.
#[test]
fn every_request_has_one_outcome() {
    let host = FakeHost::start(|request| {
        let answer = standin::answer::build("t", &request.body);
        let task = Some("t".to_owned());
        match request.number % 8 {
            0 => Some((200, task, answer[..answer.len() - 1].to_vec())),
            1 => Some((200, task, standin::answer::build("t", b"another request"))),
            2 => Some((200, Some("another task".to_owned()), answer)),
            3 => Some((503, None, refusal("no_room", "not_run"))),
            4 => Some((502, task, refusal("attempts_exhausted", "ran"))),
            5 => Some((504, None, refusal("worker_lost", "unknown"))),
            6 => None,
            _ => Some((200, task, answer)),
        }
    });
    let text = format!(
        "{{ hosts: ['{}', '{}'], duration_ms: 1000, threads: 16, streams: [
            {{ team: 'a', key: 'secret', queue: 'q', rate_per_s: 0, answer_bytes: 500,
               run_ms: [0, 0], burst: {{ every_ms: 250, count: 20 }} }} ] }}",
        host.address,
        support::closed_address()
    );
    let profile = profile(&text);
    let result = load::run(&profile).unwrap();
    let requests = &result.summary.requests;
    assert_eq!((requests.total, requests.answered), (80, 10), "{requests:?}");
    assert_eq!(requests.wrong["the answer is cut or changed"], 10);
    assert_eq!(requests.wrong["the answer belongs to another request"], 20);
    assert_eq!(requests.not_run["no_room"], 10);
    assert_eq!(requests.failed["attempts_exhausted"], 10);
    assert_eq!(requests.unknown["worker_lost"], 10);
    assert_eq!(requests.unknown["connection_lost"], 10);
    assert_eq!(result.summary.wait["urgent"].count, 10);
    assert!(!result.summary.passes_checks());

    let page = load::html::page(&profile, &result).unwrap();
    assert!(page.matches("<svg").count() >= 3 && page.ends_with("</html>\n"));
    for outside in ["secret", "src=", "href="] {
        assert!(!page.contains(outside), "the page contains {outside}");
    }
}

/// Guards against waiting times that omit the time before a request was sent.
#[test]
fn waiting_time_is_measured_from_the_planned_arrival() {
    let host = FakeHost::start(|request| {
        std::thread::sleep(time::Duration::from_millis(60));
        Some((200, Some("t".to_owned()), standin::answer::build("t", &request.body)))
    });
    let text = format!(
        "{{ hosts: ['{}'], duration_ms: 100, threads: 1, streams: [
            {{ team: 'a', queue: 'q', rate_per_s: 0, run_ms: [0, 0],
               burst: {{ every_ms: 1000, count: 5 }} }} ] }}",
        host.address
    );
    let result = load::run(&profile(&text)).unwrap();
    let wait = result.summary.wait["urgent"];
    // The one thread sends the fifth request after the four before it, 60 ms each.
    assert!(wait.max_ms >= 290.0, "{wait:?}");
    assert!(result.summary.send_delay.max_ms >= 230.0, "{:?}", result.summary.send_delay);
}

/// Guards against an accepted job that the hosts no longer know and that is not reported as lost
/// (P12).
#[test]
fn lost_jobs_are_reported() {
    let host = FakeHost::start(|request| {
        let (job, phase) = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/jobs") => {
                let key = request.header("Idempotency-Key").unwrap();
                (format!("j-{}", &key[key.len() - 1..]), "waiting")
            }
            ("GET", "/v1/jobs/j-0") => ("j-0".to_owned(), "done"),
            ("GET", "/v1/jobs/j-1") => ("j-1".to_owned(), "running"),
            ("DELETE", "/v1/jobs/j-3") => ("j-3".to_owned(), "cancelled"),
            ("GET", "/v1/jobs/j-3") => ("j-3".to_owned(), "running"),
            _ => return Some((404, None, refusal("unknown_job", "not_run"))),
        };
        let body = format!(
            "{{\"job\":\"{job}\",\"phase\":\"{phase}\",\"tasks\":1,\"done\":0,\"running\":0,\"reason\":null}}"
        );
        Some((200, None, body.into_bytes()))
    });
    let request = "{ queue: 'q', tasks: 1, resources: { slots: 1 } }";
    let text = format!(
        "{{ hosts: ['{}'], duration_ms: 100, wait_for_jobs_ms: 1000, jobs: [
            {{ team: 'a', every_ms: 10, count: 3, request: {request} }},
            {{ team: 'a', at_ms: 40, cancel_after_ms: 100, request: {request} }} ] }}",
        host.address
    );
    let result = load::run(&profile(&text)).unwrap();
    let jobs = &result.summary.jobs;
    let counts = (jobs.accepted, jobs.done, jobs.cancelled, jobs.unfinished, jobs.lost);
    assert_eq!(counts, (4, 1, 1, 2, 1), "{jobs:?}");
    assert!(!result.summary.passes_checks());
}

/// Guards against a distance that is not zero for usage proportional to the shares, or not one for
/// usage by teams without a share alone.
#[test]
fn share_distance_is_half_the_sum_of_the_differences() {
    let cases: [(&[(f64, f64)], f64); 6] = [
        (&[(1.0, 1.0), (1.0, 1.0)], 0.0),
        (&[(30.0, 3.0), (10.0, 1.0)], 0.0),
        (&[(1.0, 0.0), (0.0, 1.0)], 1.0),
        (&[(1.0, 1.0), (0.0, 1.0)], 0.5),
        (&[(0.0, 1.0), (0.0, 1.0)], 0.0),
        (&[], 0.0),
    ];
    for (used_and_weight, expected) in cases {
        let distance = load::shares::distance(used_and_weight);
        assert!((distance - expected).abs() < 1e-9, "{used_and_weight:?}: {distance}");
    }
}

/// Guards against a distance that counts shares left unused by teams without waiting work against
/// the policy.
#[test]
fn teams_without_waiting_work_are_entitled_to_what_they_use() {
    let team = |used: f64, weight: f64, has_waiting_work| load::shares::TeamUsage {
        used,
        weight,
        has_waiting_work,
    };
    let cases: [(&[load::shares::TeamUsage], f64); 6] = [
        (&[team(50.0, 1.0, true), team(50.0, 1.0, true)], 0.0),
        // The second team has no waiting work, so the first one is entitled to the rest.
        (&[team(90.0, 1.0, true), team(10.0, 1.0, false)], 0.0),
        (&[team(90.0, 1.0, true), team(10.0, 1.0, true)], 0.4),
        // What the third team leaves unused is divided among the others by weight: 60 and 30.
        (&[team(45.0, 2.0, true), team(45.0, 1.0, true), team(10.0, 3.0, false)], 0.15),
        // A team without waiting work that uses more than its part is still over its entitlement.
        (&[team(20.0, 1.0, true), team(80.0, 1.0, false)], 0.3),
        (&[team(0.0, 1.0, true)], 0.0),
    ];
    for (teams, expected) in cases {
        let distance = load::shares::entitlement_distance(teams);
        assert!((distance - expected).abs() < 1e-9, "{teams:?}: {distance}");
    }
}

/// Guards against means that weight all samples equally instead of by time, and a cell that counts
/// as long full although it was not full in between.
#[test]
fn means_are_weighted_by_time_and_full_time_restarts() {
    let sample = |at_ms, packing, distance| load::cell_stats::CellSample {
        at_ms,
        packing,
        share_distance: distance,
        entitlement_distance: distance / 2.0,
        hosts: 1,
    };
    let samples = [
        sample(0, 1.0, 0.5),
        sample(3_000, 0.5, 0.9),
        sample(4_000, 1.0, 0.4),
        sample(5_000, 1.0, 0.3),
        sample(6_000, 1.0, 0.2),
    ];
    let means = load::cell_stats::time_weighted_means(&samples, time::Duration::from_secs(2))
        .expect("samples");
    // The cell is full for 3 s, half full for 1 s, and full for 3 s.
    assert!((means.packing - 6.5 / 7.0).abs() < 1e-9, "{means:?}");
    assert_eq!(means.long_full_ms, 1_000);
    assert_eq!(means.share_distance_long_full, Some(0.2));
    assert_eq!(means.entitlement_distance_long_full, Some(0.1));
    assert!(load::cell_stats::time_weighted_means(&[], time::Duration::ZERO).is_none());
}
