//! What callers are answered, over real sockets.

mod support;

use std::io::Write;
use std::thread;

use pier_core::caller::{Outcome, RefusalKind};
use pier_front::{Options, status};
use support::{Bench, Response, request};

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

/// Guards against a bad input that is answered without its type, or that harms later requests.
#[test]
fn bad_inputs_get_their_typed_refusal() {
    let bench = Bench::start(Options { max_body_bytes: 1_000, ..Options::default() });
    for case in cases() {
        let response = bench.ask(&case.request);
        assert_eq!(response.status, case.status, "{}: {response:?}", case.name);
        let refusal = response.refusal();
        assert_eq!(refusal.kind, case.kind, "{}", case.name);
        assert_eq!(refusal.outcome, case.outcome, "{}", case.name);
        assert!(!refusal.detail.is_empty(), "{}", case.name);
    }
    assert_eq!(bench.ask(&request("quote", "", "x")).status, 200);
    assert_eq!(bench.front.requests(), 0, "every request is counted off");
    assert!(bench.gone.is_empty(), "no caller had gone");
}

/// Guards against a refusal type that has no row in the table of statuses or on the page.
#[test]
fn every_refusal_type_has_a_status() {
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
        let kind: RefusalKind = serde_json::from_value(name.into()).expect("a type of refusal");
        let status = status::for_refusal(kind).as_u16();
        assert_ne!(status, 500, "{name}");
        let page = include_str!("../../../docs/callers.md");
        let in_table = page.contains(&format!("| `{name}` | {status} |"));
        let in_text = page.contains(&format!("`{name}` ({status})"));
        assert!(in_table || in_text, "docs/callers.md lacks {name} with status {status}");
    }
}

/// Guards against a retry advice that is rounded down or missing.
#[test]
fn retry_after_is_in_whole_seconds_rounded_up() {
    let bench = Bench::start(Options::default());
    let response = bench.ask(&request("full", "", "x"));
    assert_eq!(response.header("retry-after"), Some("2"));
    assert_eq!(response.refusal().retry_after_ms, Some(1_001));
}

/// Guards against an answer that is altered or loses the id of its task.
#[test]
fn an_answer_is_the_plain_bytes_of_the_worker() {
    let bench = Bench::start(Options::default());
    let headers = "pier-deadline-ms: 5000\r\nidempotency-key: order-1\r\npier-repeatable: yes\r\n";
    let response = bench.ask(&request("quote", headers, "10 lamps"));
    assert_eq!(response.status, 200);
    assert_eq!(response.header("pier-task"), Some("task-7"));
    assert_eq!(response.body, b"answer to 10 lamps");
    let seen = bench.seen.recv().expect("the request");
    assert!(seen.repeatable);
    assert!(seen.deadline.is_some());
    assert_eq!(seen.idempotency_key.as_deref(), Some("order-1"));
    assert_eq!(seen.key.as_deref(), Some(support::KEY));
}

/// Guards against a request that may run twice though its caller did not allow it, and against one
/// that is given up although its caller did not ask for that.
#[test]
fn only_a_marked_request_is_not_repeatable() {
    for (headers, repeatable) in
        [("", true), ("pier-repeatable: yes\r\n", true), ("pier-repeatable: no\r\n", false)]
    {
        let bench = Bench::start(Options::default());
        assert_eq!(bench.ask(&request("quote", headers, "x")).status, 200);
        assert_eq!(bench.seen.recv().expect("the request").repeatable, repeatable, "{headers}");
    }
}

/// Guards against answers that reach the wrong caller when they come out of order.
#[test]
fn answers_out_of_order_reach_their_own_callers() {
    let bench = Bench::start(Options::default());
    thread::scope(|scope| {
        for caller in 0..20 {
            let bench = &bench;
            scope.spawn(move || {
                let mut stream = bench.connect();
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

/// Guards against job calls that are routed to the wrong event or get the wrong status.
#[test]
fn jobs_are_submitted_asked_for_and_cancelled() {
    let bench = Bench::start(Options::default());
    let submitted = bench.ask(&job(r#"{"queue":"b","tasks":3,"resources":{"slots":1}}"#));
    assert_eq!(submitted.status, 202);
    let status: pier_core::caller::JobStatus =
        serde_json::from_slice(&submitted.body).expect("a job status");
    assert_eq!((&*status.job, status.tasks), ("job-1", 3));
    for method in ["GET", "DELETE"] {
        let response = bench.ask(&format!("{method} /v1/jobs/job-1 HTTP/1.1\r\nhost: p\r\n\r\n"));
        assert_eq!(response.status, 200, "{method}");
    }
}

/// Guards against probes that say ready too early or during a shutdown.
#[test]
fn readiness_follows_authority_and_shutdown() {
    let bench = Bench::start(Options::default());
    let probe = |path: &str| bench.ask(&format!("GET {path} HTTP/1.1\r\nhost: p\r\n\r\n")).status;
    assert_eq!((probe("/healthz"), probe("/readyz")), (200, 503));
    bench.front.set_ready();
    assert_eq!((probe("/healthz"), probe("/readyz")), (200, 200));
    bench.front.drain();
    assert_eq!((probe("/healthz"), probe("/readyz")), (200, 503));
    assert_eq!(bench.ask(&request("quote", "", "x")).status, 200, "still served while draining");
}

/// Guards against metrics that lack a name that operators rely on.
#[test]
fn metrics_show_connections_and_the_process() {
    let bench = Bench::start(Options::default());
    assert_eq!(bench.ask(&request("quote", "", "x")).status, 200);
    let response = bench.ask("GET /metrics HTTP/1.1\r\nhost: p\r\n\r\n");
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

/// Guards against a metric that the page for operators does not explain.
#[test]
fn the_page_for_operators_has_every_metric() {
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
