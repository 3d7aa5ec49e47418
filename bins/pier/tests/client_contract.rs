//! The client for callers: outcomes and exit codes, request headers, and jobs.

mod support;

use std::time;

use persimmonpier::core::caller;
use pier::{call, client, exit, job};
use support::{FakeHost, refusal};

fn target(host: String) -> client::Target {
    client::Target { host, key: Some("secret".to_owned()), timeout: time::Duration::from_secs(2) }
}

fn call_to(queue: &str) -> call::Call {
    call::Call {
        queue: queue.to_owned(),
        body: b"body".to_vec(),
        deadline_ms: Some(700),
        idempotency_key: Some("once".to_owned()),
        repeatable: false,
    }
}

/// Guards against an exit code that reports an unknown outcome as certain, or the reverse.
#[test]
fn exit_codes_follow_the_outcome() {
    let cases: [(&str, Option<support::Response>, u8); 8] = [
        ("not run", Some((503, None, refusal("no_room", "not_run"))), exit::NOT_RUN),
        ("ran", Some((502, None, refusal("attempts_exhausted", "ran"))), exit::FAILED),
        ("unknown", Some((504, None, refusal("worker_lost", "unknown"))), exit::UNKNOWN),
        ("refusal of unknown kind", Some((503, None, refusal("tired", "not_run"))), exit::UNKNOWN),
        ("no refusal", Some((500, None, b"oops".to_vec())), exit::UNKNOWN),
        ("redirect", Some((302, None, Vec::new())), exit::UNKNOWN),
        ("closed without an answer", None, exit::UNKNOWN),
        ("no such path", Some((404, None, refusal("bad_request", "not_run"))), exit::NOT_RUN),
    ];
    for (name, answer, expected) in cases {
        let host = FakeHost::start(move |_| answer.clone());
        let error = call::send(&target(host.address.to_string()), &call_to("q")).unwrap_err();
        assert_eq!(error.exit_code(), expected, "{name}: {error}");
    }
    let error = call::send(&target(support::closed_address()), &call_to("q")).unwrap_err();
    assert_eq!(error.exit_code(), exit::NOT_RUN, "{error}");
}

/// Guards against a missing request header, and a queue name that is encoded wrongly in the path.
#[test]
fn requests_carry_all_headers() {
    let host = FakeHost::start(|request| {
        let expected = [
            ("Authorization", "Bearer secret"),
            ("Pier-Deadline-Ms", "700"),
            ("Pier-Repeatable", "no"),
            ("Idempotency-Key", "once"),
        ];
        for (name, value) in expected {
            if request.header(name) != Some(value) {
                return Some((400, None, name.as_bytes().to_vec()));
            }
        }
        let body = format!("{} {}", request.method, request.path);
        Some((200, Some("t1".to_owned()), body.into_bytes()))
    });
    let response = call::send(&target(host.address.to_string()), &call_to("a b/c")).unwrap();
    assert_eq!(response.task(), Some("t1"));
    assert_eq!(String::from_utf8_lossy(&response.body), "POST /v1/queues/a%20b%2Fc/tasks");
}

/// Guards against a job state that is not passed on, and a failed job that is reported as a
/// success.
#[test]
fn jobs_are_submitted_polled_and_cancelled() {
    let host = FakeHost::start(|request| {
        let phase = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/jobs") => {
                let job: caller::JobRequest = serde_json::from_slice(&request.body).unwrap();
                assert_eq!(job.tasks, 2);
                "waiting"
            }
            ("GET", "/v1/jobs/j1") if request.number < 3 => "running",
            ("GET", "/v1/jobs/j1") => "failed",
            ("DELETE", "/v1/jobs/j1") => "cancelled",
            _ => return Some((404, None, refusal("unknown_job", "not_run"))),
        };
        let body = format!(
            "{{\"job\":\"j1\",\"phase\":\"{phase}\",\"tasks\":2,\"done\":1,\"running\":0,\"reason\":null}}"
        );
        Some((202, None, body.into_bytes()))
    });
    let target = target(host.address.to_string());
    let text = "{ queue: 'q', tasks: 2, resources: { slots: 1 }, /* comment */ }";
    let request = job::parse_request("file", text).unwrap();
    let status = job::submit(&target, &request, None).unwrap();
    assert_eq!((&*status.job, job::exit_code(&status)), ("j1", exit::OK));
    let status = job::wait(&target, "j1", time::Duration::from_secs(10)).unwrap();
    assert_eq!((status.phase, job::exit_code(&status)), (caller::JobPhase::Failed, exit::FAILED));
    let status = job::cancel(&target, "j1").unwrap();
    assert_eq!(status.phase, caller::JobPhase::Cancelled);
    let error = job::query(&target, "j2").unwrap_err();
    assert_eq!(error.exit_code(), exit::NOT_RUN);
    assert!(job::parse_request("file", "{ queue: 'q' }").is_err());
}
