//! Contract tests of the worker client, against a server with canned replies and the stand-in.

mod support;

use std::sync;
use std::sync::atomic;
use std::time;

use pier_core::task::{EndKind, FencingToken, PreemptionMode};
use pier_core::{clock, wire};
use pier_link::{options, worker};
use pier_state::event::WorkerEvent;
use support::{Reply, http, truncated};

const NO_EXPIRY: time::Duration = time::Duration::MAX;

fn client(clock: sync::Arc<dyn clock::Clock>) -> worker::WorkerClient {
    let options = options::WorkerOptions {
        timeout: time::Duration::from_millis(500),
        answer_grace: time::Duration::from_millis(200),
        max_answer_bytes: 10_000,
        ..options::WorkerOptions::default()
    };
    worker::WorkerClient::new("h1".into(), options, clock)
}

fn system_client() -> worker::WorkerClient {
    client(sync::Arc::new(clock::SystemClock::start()))
}

/// A short description of an event about a start.
fn describe(event: &WorkerEvent) -> String {
    match event {
        WorkerEvent::Started { .. } => "started".to_owned(),
        WorkerEvent::Answered { end, .. } => format!("answered {}", end.kind),
        WorkerEvent::NotStarted { reason, .. } => format!("not started, {reason}"),
        WorkerEvent::StartUnknown { .. } => "unknown".to_owned(),
        other => format!("{other:?}"),
    }
}

fn address(standin: &standin::Standin, worker: &str) -> String {
    format!("http://{}/workers/{worker}", standin.address())
}

/// Guards against `not_run` for a start that may have run (P7), and against an answer that belongs
/// to another request (P6).
#[tokio::test]
async fn start_reports_only_what_is_certain() {
    let answer = |task: &str, attempt: u32| {
        let body = "\"outcome\":\"done\",\"body\":\"aGk=\"";
        http(200, &format!("{{\"task\":\"{task}\",\"attempt\":{attempt},{body}}}"))
    };
    let refused = |kind: &str| http(409, &format!("{{\"error\":\"{kind}\"}}"));
    let large = format!("{{\"task\":\"{}\"}}", "x".repeat(20_000));
    let cases: [(&str, Option<Reply>, &str); 16] = [
        ("answered", Some(answer("t1", 1)), "answered done"),
        ("answer for another task", Some(answer("t2", 1)), "unknown"),
        ("answer for another attempt", Some(answer("t1", 2)), "unknown"),
        ("connection refused", None, "not started, no connection"),
        ("stale token", Some(refused("stale_token")), "not started, refused: stale_token"),
        ("no room", Some(refused("no_room")), "not started, refused: no_room"),
        ("duplicate", Some(refused("duplicate")), "not started, refused: duplicate"),
        ("leaving", Some(refused("leaving")), "not started, refused: leaving"),
        ("unknown refusal", Some(refused("sleepy")), "unknown"),
        ("untyped refusal", Some(http(409, "no")), "unknown"),
        ("internal error", Some(http(500, "")), "unknown"),
        ("outage", Some(http(503, "")), "unknown"),
        ("closed without reply", Some(Reply::Close), "unknown"),
        ("no reply in time", Some(Reply::Hang), "unknown"),
        ("reply is truncated", Some(truncated("{\"task\":\"t1\",\"attempt\":1")), "unknown"),
        ("reply is too large", Some(http(200, &large)), "unknown"),
    ];
    for (name, reply, expected) in cases {
        let server = reply.map(support::CannedServer::start);
        let url = server.as_ref().map_or_else(support::refusing_url, support::CannedServer::url);
        let start = support::start_request("t1", wire::StartKind::Answer, 10);
        let event = system_client().start("w-1".into(), &url, NO_EXPIRY, &start).await;
        assert_eq!(describe(&event), expected, "{name}");
    }
}

/// Guards against a response to a start of kind `answer` that is accepted for a start of kind
/// `run`.
#[tokio::test]
async fn a_start_of_kind_run_requires_its_own_response() {
    let cases = [
        ("{\"task\":\"t1\",\"attempt\":1,\"started\":true}", "started"),
        ("{\"task\":\"t1\",\"attempt\":1,\"started\":false}", "unknown"),
        ("{\"task\":\"t9\",\"attempt\":1,\"started\":true}", "unknown"),
        ("{\"task\":\"t1\",\"attempt\":1,\"outcome\":\"done\",\"body\":\"\"}", "unknown"),
    ];
    for (body, expected) in cases {
        let server = support::CannedServer::start(http(200, body));
        let start = support::start_request("t1", wire::StartKind::Run, 10);
        let event = system_client().start("w-1".into(), &server.url(), NO_EXPIRY, &start).await;
        assert_eq!(describe(&event), expected, "{body}");
    }
}

/// Guards against a start that is sent after it expired, for example by a host that was paused
/// (P2).
#[tokio::test]
async fn a_start_is_not_sent_after_it_expired() {
    let body = "{\"task\":\"t1\",\"attempt\":1,\"started\":true}";
    let server = support::CannedServer::start(http(200, body));
    let clock = sync::Arc::new(support::ManualClock::default());
    let client = client(sync::Arc::clone(&clock) as sync::Arc<dyn clock::Clock>);
    let start = support::start_request("t1", wire::StartKind::Run, 10);
    let not_after = time::Duration::from_millis(100);
    for (now_ms, expected, requests) in
        [(99, "started", 1), (100, "started", 2), (101, "not started, expired", 2)]
    {
        clock.now_ms.store(now_ms, atomic::Ordering::Release);
        let event = client.start("w-1".into(), &server.url(), not_after, &start).await;
        assert_eq!(describe(&event), expected, "at {now_ms} ms");
        let received = server.whole_requests.load(atomic::Ordering::Acquire);
        assert_eq!(received, requests, "at {now_ms} ms");
    }
}

/// Guards against a worker fault that leads to a wrong answer or to a wrong `not_run`.
#[tokio::test]
async fn worker_faults_never_lead_to_a_wrong_result() {
    let cases = [
        ("{}", "answered done"),
        ("{\"slow_ms\":100}", "answered done"),
        ("{\"fail_all\":true}", "answered failed"),
        ("{\"cut_answers\":true}", "unknown"),
        ("{\"wrong_length\":true}", "unknown"),
        ("{\"black_hole\":true}", "unknown"),
        ("{\"unreachable\":true}", "unknown"),
        ("{\"answer_twice\":true}", "answered done"),
    ];
    for (fault, expected) in cases {
        let standin = support::standin(1);
        support::put_faults(&standin, &format!("{{\"workers\":{{\"w-1\":{fault}}}}}"));
        let start = support::start_request("t1", wire::StartKind::Answer, 50);
        let url = address(&standin, "w-1");
        let event = system_client().start("w-1".into(), &url, NO_EXPIRY, &start).await;
        assert_eq!(describe(&event), expected, "{fault}");
        if let WorkerEvent::Answered { end, .. } = event
            && end.kind == EndKind::Done
        {
            let payload = start.payload.as_bytes();
            standin::answer::verify(end.body.as_bytes(), Some("t1"), payload).unwrap();
            assert_eq!(end.body.len(), 3_000);
        }
        let runs = u64::from(!fault.contains("unreachable"));
        assert_eq!(support::audit(&standin).runs, runs, "{fault}");
    }
}

/// Guards against answers that reach another request of the same connection pool (P6).
#[tokio::test]
async fn swapped_and_repeated_answers_do_not_reach_other_requests() {
    let standin = support::standin(2);
    let client = system_client();
    let faults = "{\"workers\":{\"w-1\":{\"answer_twice\":true},\"w-2\":{\"swap_answers\":true}}}";
    support::put_faults(&standin, faults);
    for round in 0..20 {
        for worker in ["w-1", "w-2"] {
            let url = address(&standin, worker);
            let mut calls = tokio::task::JoinSet::new();
            for number in 0..2 {
                let (client, url) = (client.clone(), url.clone());
                let task = format!("t-{worker}-{round}-{number}");
                calls.spawn(async move {
                    let start = support::start_request(&task, wire::StartKind::Answer, 5);
                    let event = client.start("w".into(), &url, NO_EXPIRY, &start).await;
                    (start, event)
                });
            }
            while let Some(result) = calls.join_next().await {
                let (start, event) = result.unwrap();
                match event {
                    WorkerEvent::Answered { end, .. } => {
                        let payload = start.payload.as_bytes();
                        standin::answer::verify(end.body.as_bytes(), Some(&start.task), payload)
                            .unwrap();
                    }
                    WorkerEvent::StartUnknown { .. } => {}
                    other => panic!("{other:?}"),
                }
            }
        }
    }
}

/// Guards against a stand-in that is more lenient than a real worker about resources, fencing
/// tokens, repeated starts, leases and preemption.
#[tokio::test]
async fn the_stand_in_enforces_what_workers_enforce() {
    let standin = support::standin(1);
    let url = address(&standin, "w-1");
    let client = system_client();
    let run = |task: &str, run_ms: u64| support::start_request(task, wire::StartKind::Run, run_ms);
    let send = async |start: wire::StartTask| {
        describe(&client.start("w-1".into(), &url, NO_EXPIRY, &start).await)
    };

    // Resources: four tasks with one core each use all cores of the worker.
    for number in 0..4 {
        assert_eq!(send(run(&format!("t{number}"), 60_000)).await, "started");
    }
    assert_eq!(send(run("t4", 10)).await, "not started, refused: no_room");
    assert_eq!(send(run("t0", 10)).await, "not started, refused: duplicate");

    // A stop frees resources; the ended attempt cannot be started again.
    let token = FencingToken { epoch: 1, handoff_seq: 0 };
    let stop =
        client.preempt("w-1".into(), &url, token, ("t0".into(), 1), PreemptionMode::Stop).await;
    assert!(matches!(stop, WorkerEvent::PreemptionReply { confirmed: true, .. }), "{stop:?}");
    assert_eq!(send(run("t0", 10)).await, "not started, refused: duplicate");
    assert_eq!(send(run("t4", 60_000)).await, "started");

    // Fencing lists the tasks and makes smaller tokens stale.
    let newer = FencingToken { epoch: 2, handoff_seq: 0 };
    let fenced = client.fence("w-1".into(), &url, newer).await;
    let WorkerEvent::Fenced { tasks, .. } = fenced else { panic!("{fenced:?}") };
    assert_eq!((tasks.running.len(), tasks.ended.len()), (4, 1));
    assert_eq!(send(run("t5", 10)).await, "not started, refused: stale_token");
    let late = client.fence("w-1".into(), &url, token).await;
    assert!(matches!(late, WorkerEvent::FenceFailed { stale: true, .. }), "{late:?}");
    let stop =
        client.preempt("w-1".into(), &url, token, ("t1".into(), 1), PreemptionMode::Stop).await;
    assert!(matches!(stop, WorkerEvent::PreemptionReply { confirmed: false, .. }), "{stop:?}");

    // Leases: only the renewed task still runs after the leases of the others have lapsed.
    let renewal = wire::LeaseRenewal { task: "t1".into(), attempt: 1, lease_ms: 60_000 };
    let other = wire::LeaseRenewal { task: "t9".into(), attempt: 1, lease_ms: 60_000 };
    let renew = wire::RenewLeases { token: newer, tasks: vec![renewal, other] };
    let renewed = client.renew("w-1".into(), &url, &renew).await;
    let WorkerEvent::Renewed { answer, .. } = renewed else { panic!("{renewed:?}") };
    assert_eq!(answer.renewed, [("t1".into(), 1)]);
    assert_eq!(answer.missing, [("t9".into(), 1)]);
    tokio::time::sleep(time::Duration::from_millis(1_300)).await;
    let report = client.report("w-1".into(), &url).await;
    let WorkerEvent::Report { report, .. } = report else { panic!("{report:?}") };
    assert!(report.as_of_age_ms > 0, "the report does not lag");
    let running: Vec<_> = report.tasks.running.iter().map(|task| &*task.task).collect();
    assert_eq!(running, ["t1"]);

    let audit = support::audit(&standin);
    assert!(audit.over_committed_workers.is_empty());
    assert_eq!(audit.ends["lapsed"], 3);
}

/// Guards against a checkpoint without effect: the next attempt must take less time. The id of the
/// task contains a slash, like those of tasks of jobs, and must reach the worker unchanged.
#[tokio::test]
async fn a_checkpoint_keeps_progress() {
    let standin = support::standin(1);
    let url = address(&standin, "w-1");
    let client = system_client();
    let first = support::start_request("t/0", wire::StartKind::Run, 800);
    client.start("w-1".into(), &url, NO_EXPIRY, &first).await;
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let key = ("t/0".into(), 1);
    let event =
        client.preempt("w-1".into(), &url, first.token, key, PreemptionMode::Checkpoint).await;
    assert!(matches!(event, WorkerEvent::PreemptionReply { confirmed: true, .. }), "{event:?}");

    let started_at = time::Instant::now();
    let mut second = support::start_request("t/0", wire::StartKind::Answer, 800);
    second.attempt = 2;
    let event = client.start("w-1".into(), &url, NO_EXPIRY, &second).await;
    assert_eq!(describe(&event), "answered done");
    assert!(started_at.elapsed() < time::Duration::from_millis(700), "{:?}", started_at.elapsed());
}

/// Guards against a throttle that ends a running task or does not slow it down.
#[tokio::test]
async fn a_throttle_slows_the_rest_of_a_task_down() {
    let standin = support::standin(1);
    let url = address(&standin, "w-1");
    let client = system_client();
    let start = support::start_request("t1", wire::StartKind::Answer, 200);
    let started_at = time::Instant::now();
    let call = client.start("w-1".into(), &url, NO_EXPIRY, &start);
    let throttle = async {
        tokio::time::sleep(time::Duration::from_millis(50)).await;
        let key = ("t1".into(), 1);
        client.preempt("w-1".into(), &url, start.token, key, PreemptionMode::Throttle).await
    };
    let (event, _) = tokio::join!(call, throttle);
    assert_eq!(describe(&event), "answered done");
    assert!(started_at.elapsed() > time::Duration::from_millis(500), "{:?}", started_at.elapsed());
}
