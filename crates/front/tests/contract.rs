//! Responses to callers, over real sockets.

mod support;

use std::io::Write;
use std::thread;

use pier_core::caller::{Outcome, RefusalKind};
use pier_front::{Options, status};
use support::{Fixture, Response, request};

struct Case {
    name: &'static str,
    request: String,
    status: u16,
    kind: RefusalKind,
    outcome: Outcome,
}

fn case(
    name: &'static str,
    request: String,
    status: u16,
    kind: RefusalKind,
    outcome: Outcome,
) -> Case {
    Case { name, request, status, kind, outcome }
}

fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: p\r\ncontent-length: {length}\r\n{headers}\r\n{body}")
}

fn keyed(key: &str) -> String {
    post("/v1/queues/quote/tasks", &format!("authorization: Bearer {key}\r\n"), "x")
}

fn job(text: &str) -> String {
    post("/v1/jobs", "authorization: Bearer team-a-key\r\n", text)
}

fn cases() -> Vec<Case> {
    use Outcome::{NotRun, Ran, Unknown};
    use RefusalKind::{
        AttemptsExhausted, BadKey, BadRequest, BodyTooLarge, DeadlinePassed, NoKey, NoRoom,
        UnknownJob, UnknownQueue, WorkerLost, WrongTeam,
    };
    let quote = |headers: &str| request("quote", headers, "x");
    let path = "/v1/queues/quote/tasks";
    vec![
        case("unknown queue", request("nowhere", "", "x"), 404, UnknownQueue, NotRun),
        case("no key", post(path, "", "x"), 401, NoKey, NotRun),
        case("withdrawn key", keyed("withdrawn"), 401, BadKey, NotRun),
        case("key of another team", keyed("team-b-key"), 403, WrongTeam, NotRun),
        case("empty key", keyed(""), 400, BadRequest, NotRun),
        case("long key", keyed(&"k".repeat(513)), 400, BadRequest, NotRun),
        case(
            "other scheme",
            post(path, "authorization: Basic eDp5\r\n", "x"),
            400,
            BadRequest,
            NotRun,
        ),
        case("two keys", quote("authorization: Bearer other\r\n"), 400, BadRequest, NotRun),
        case("deadline is no number", quote("pier-deadline-ms: soon\r\n"), 400, BadRequest, NotRun),
        case("deadline is a fraction", quote("pier-deadline-ms: 1.5\r\n"), 400, BadRequest, NotRun),
        case(
            "deadline is huge",
            quote("pier-deadline-ms: 99999999999999999999\r\n"),
            400,
            BadRequest,
            NotRun,
        ),
        case(
            "deadline over the limit",
            quote("pier-deadline-ms: 86400001\r\n"),
            400,
            BadRequest,
            NotRun,
        ),
        case("deadline is now", quote("pier-deadline-ms: 0\r\n"), 504, DeadlinePassed, NotRun),
        case(
            "deadline in the past",
            quote("pier-deadline-ms: -5\r\n"),
            504,
            DeadlinePassed,
            NotRun,
        ),
        case(
            "repeatable is no answer",
            quote("pier-repeatable: maybe\r\n"),
            400,
            BadRequest,
            NotRun,
        ),
        case("empty idempotency key", quote("idempotency-key: \r\n"), 400, BadRequest, NotRun),
        case("header outside ASCII", quote("idempotency-key: \u{e9}\r\n"), 400, BadRequest, NotRun),
        case(
            "body over the limit",
            request("quote", "", &"x".repeat(2_000)),
            413,
            BodyTooLarge,
            NotRun,
        ),
        case("no room", request("full", "", "x"), 503, NoRoom, NotRun),
        case("task failed", request("failed", "", "x"), 502, AttemptsExhausted, Ran),
        case("task checkpointed", request("checkpointed", "", "x"), 502, WorkerLost, Ran),
        case("task stopped", request("stopped", "", "x"), 502, WorkerLost, Ran),
        case("task lapsed", request("lapsed", "", "x"), 502, WorkerLost, Unknown),
        case("worker lost", request("lost", "", "x"), 502, WorkerLost, Unknown),
        case("job is no JSON", job("{"), 400, BadRequest, NotRun),
        case(
            "job with unknown field",
            job(r#"{"queue":"b","tasks":1,"resources":{"slots":1},"color":1}"#),
            400,
            BadRequest,
            NotRun,
        ),
        case(
            "job without tasks",
            job(r#"{"queue":"b","tasks":0,"resources":{"slots":1}}"#),
            400,
            BadRequest,
            NotRun,
        ),
        case(
            "job with negative tasks",
            job(r#"{"queue":"b","tasks":-1,"resources":{"slots":1}}"#),
            400,
            BadRequest,
            NotRun,
        ),
        case(
            "job with too many tasks",
            job(r#"{"queue":"b","tasks":100001,"resources":{"slots":1}}"#),
            400,
            BadRequest,
            NotRun,
        ),
        case(
            "job that holds nothing",
            job(r#"{"queue":"b","tasks":1,"resources":{}}"#),
            400,
            BadRequest,
            NotRun,
        ),
        case(
            "job with passed deadline",
            job(r#"{"queue":"b","tasks":1,"resources":{"slots":1},"deadline_ms":0}"#),
            504,
            DeadlinePassed,
            NotRun,
        ),
        case(
            "job with a bad queue",
            job(r#"{"queue":"b b","tasks":1,"resources":{"slots":1}}"#),
            400,
            BadRequest,
            NotRun,
        ),
        case(
            "unknown job",
            "GET /v1/jobs/job-9 HTTP/1.1\r\nhost: p\r\n\r\n".to_owned(),
            404,
            UnknownJob,
            NotRun,
        ),
        case(
            "no such path",
            "GET /v2 HTTP/1.1\r\nhost: p\r\n\r\n".to_owned(),
            404,
            BadRequest,
            NotRun,
        ),
        case("bad name in path", post("/v1/queues/a%20b/tasks", "", "x"), 404, BadRequest, NotRun),
        case(
            "wrong method",
            "GET /v1/jobs HTTP/1.1\r\nhost: p\r\n\r\n".to_owned(),
            405,
            BadRequest,
            NotRun,
        ),
    ]
}

/// Guards against invalid input that is answered with a wrong refusal kind or that affects later
/// requests.
#[test]
fn invalid_input_gets_a_typed_refusal() {
    let fixture = Fixture::start(Options { max_body_bytes: 1_000, ..Options::default() });
    for case in cases() {
        let response = fixture.send(&case.request);
        assert_eq!(response.status, case.status, "{}: {response:?}", case.name);
        let refusal = response.refusal();
        assert_eq!(refusal.kind, case.kind, "{}", case.name);
        assert_eq!(refusal.outcome, case.outcome, "{}", case.name);
        assert!(!refusal.detail.is_empty(), "{}", case.name);
    }
    assert_eq!(fixture.send(&request("quote", "", "x")).status, 200);
    assert_eq!(fixture.server.requests(), 0, "no request is counted as open");
    assert!(fixture.disconnected.is_empty(), "no caller has disconnected");
}

/// Guards against a refusal kind without a row in the table of statuses or on the page for callers.
#[test]
fn every_refusal_kind_has_a_status() {
    for name in [
        "unknown_queue",
        "wrong_class",
        "no_key",
        "bad_key",
        "wrong_team",
        "body_too_large",
        "body_incomplete",
        "bad_request",
        "deadline_passed",
        "never_fits",
        "over_limit",
        "no_room",
        "overloaded",
        "no_authority",
        "shutting_down",
        "worker_lost",
        "attempts_exhausted",
        "cancelled",
        "duplicate",
        "not_stored",
        "unknown_job",
        "conflict",
        "bad_declaration",
        "bad_operator",
    ] {
        let kind: RefusalKind = serde_json::from_value(name.into()).expect("a refusal kind");
        let status = status::for_refusal(kind).as_u16();
        assert_ne!(status, 500, "{name}");
        let page = include_str!("../../../docs/callers.md");
        let in_table = page.contains(&format!("| `{name}` | {status} |"));
        let in_text = page.contains(&format!("`{name}` ({status})"));
        assert!(in_table || in_text, "docs/callers.md lacks {name} with status {status}");
    }
}

/// Guards against a `Retry-After` header that is rounded down or missing.
#[test]
fn retry_after_is_in_whole_seconds_rounded_up() {
    let fixture = Fixture::start(Options::default());
    let response = fixture.send(&request("full", "", "x"));
    assert_eq!(response.header("retry-after"), Some("2"));
    assert_eq!(response.refusal().retry_after_ms, Some(1_001));
}

/// Guards against a response that alters the worker's answer or lacks the id of its task.
#[test]
fn a_response_is_the_unchanged_answer_of_the_worker() {
    let fixture = Fixture::start(Options::default());
    let headers = "pier-deadline-ms: 5000\r\nidempotency-key: order-1\r\npier-repeatable: yes\r\n";
    let response = fixture.send(&request("quote", headers, "10 lamps"));
    assert_eq!(response.status, 200);
    assert_eq!(response.header("pier-task"), Some("task-7"));
    assert_eq!(response.body, b"answer to 10 lamps");
    let seen = fixture.received.recv().expect("the request");
    assert!(seen.repeatable);
    assert!(seen.deadline.is_some());
    assert_eq!(seen.idempotency_key.as_deref(), Some("order-1"));
    assert_eq!(seen.key.as_deref(), Some(support::KEY));
}

/// Guards against a request that may run twice although its caller did not allow it, and against
/// one that is not retried although its caller did not forbid that.
#[test]
fn requests_are_repeatable_unless_marked_otherwise() {
    for (headers, repeatable) in
        [("", true), ("pier-repeatable: yes\r\n", true), ("pier-repeatable: no\r\n", false)]
    {
        let fixture = Fixture::start(Options::default());
        assert_eq!(fixture.send(&request("quote", headers, "x")).status, 200);
        assert_eq!(
            fixture.received.recv().expect("the request").repeatable,
            repeatable,
            "{headers}"
        );
    }
}

/// Guards against answers that reach the wrong caller when they arrive out of order.
#[test]
fn answers_out_of_order_reach_their_own_callers() {
    let fixture = Fixture::start(Options::default());
    thread::scope(|scope| {
        for caller in 0..20 {
            let fixture = &fixture;
            scope.spawn(move || {
                let mut stream = fixture.connect();
                for turn in 0..10 {
                    let body = format!("caller {caller} turn {turn}");
                    let text = request("shuffle", "", &body);
                    stream.write_all(text.as_bytes()).expect("the request is sent");
                    let response = Response::read(&mut stream).expect("a response");
                    assert_eq!(response.status, 200);
                    assert_eq!(response.body, format!("answer to {body}").into_bytes());
                }
            });
        }
    });
}

/// Guards against job requests that are routed to the wrong event or get the wrong status.
#[test]
fn jobs_are_submitted_queried_and_cancelled() {
    let fixture = Fixture::start(Options::default());
    let submitted = fixture.send(&job(r#"{"queue":"b","tasks":3,"resources":{"slots":1}}"#));
    assert_eq!(submitted.status, 202);
    let status: pier_core::caller::JobStatus =
        serde_json::from_slice(&submitted.body).expect("a job status");
    assert_eq!((&*status.job, status.tasks), ("job-1", 3));
    for method in ["GET", "DELETE"] {
        let response =
            fixture.send(&format!("{method} /v1/jobs/job-1 HTTP/1.1\r\nhost: p\r\n\r\n"));
        assert_eq!(response.status, 200, "{method}");
    }
}

/// Guards against a readiness probe that succeeds without authority or during a shutdown.
#[test]
fn readiness_follows_authority_and_shutdown() {
    let fixture = Fixture::start(Options::default());
    let probe =
        |path: &str| fixture.send(&format!("GET {path} HTTP/1.1\r\nhost: p\r\n\r\n")).status;
    assert_eq!((probe("/healthz"), probe("/readyz")), (200, 503));
    fixture.server.set_ready();
    assert_eq!((probe("/healthz"), probe("/readyz")), (200, 200));
    fixture.server.drain();
    assert_eq!((probe("/healthz"), probe("/readyz")), (200, 503));
    assert_eq!(fixture.send(&request("quote", "", "x")).status, 200, "still served while draining");
}

/// Guards against a missing metric that operators rely on.
#[test]
fn metrics_show_connections_and_the_process() {
    let fixture = Fixture::start(Options::default());
    assert_eq!(fixture.send(&request("quote", "", "x")).status, 200);
    let response = fixture.send("GET /metrics HTTP/1.1\r\nhost: p\r\n\r\n");
    let text = String::from_utf8(response.body).expect("text");
    for name in [
        "pier_caller_connections",
        "pier_caller_requests_in_flight",
        "pier_process_memory_bytes",
        "pier_process_cpu_seconds",
        "pier_control_step_seconds",
        "pier_task_wait_seconds",
        "pier_log_age_seconds",
        "pier_authority",
        "pier_epoch",
        "pier_declaration_version",
        "pier_caller_responses_total{status=\"200\"} 1",
    ] {
        assert!(text.contains(name), "{name} is missing in:\n{text}");
    }
}

/// Guards against a metric that the page for operators does not document.
#[test]
fn the_page_for_operators_documents_every_metric() {
    let page = include_str!("../../../docs/operators.md");
    let text = pier_front::Metrics::new().to_text(0, 0).expect("the metrics");
    for line in text.lines() {
        let Some(name) = line.strip_prefix("# HELP ").and_then(|rest| rest.split(' ').next())
        else {
            continue;
        };
        let known = page.contains(&format!("| `{name}` |"))
            || page.contains(&format!("| `{name}_total` |"));
        assert!(known, "docs/operators.md lacks {name}");
    }
}
