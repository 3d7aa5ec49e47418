//! Contract tests of the executor against the stand-in: each effect leads to the event that reports
//! its result.

mod support;

use std::sync;
use std::time;

use pier_core::{clock, task, wire};
use pier_link::traffic::LinkKind;
use pier_link::{executor, options, traffic};
use pier_state::event::{LogEvent, WorkerEvent};
use pier_state::{Effect, Event};

fn spawn(
    base_url: &str,
    runtime: &tokio::runtime::Runtime,
    traffic: &sync::Arc<traffic::Traffic>,
) -> (executor::Executor, flume::Receiver<Event>) {
    let (sender, events) = flume::unbounded();
    let mut options = options::Options::default();
    options.identity.host = "h1".into();
    options.log.base_url = base_url.into();
    options.host_list.base_url = base_url.into();
    options.host_list.poll_interval = time::Duration::from_millis(50);
    options.worker.max_starts = 1;
    let clock = sync::Arc::new(clock::SystemClock::start());
    let executor =
        executor::spawn(options, clock, sender, runtime.handle().clone(), traffic).unwrap();
    (executor, events)
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap()
}

/// Guards against an effect that is executed without an event or sent to the wrong system.
#[test]
fn every_effect_leads_to_its_event() {
    let standin = support::standin(2);
    let runtime = runtime();
    let traffic = sync::Arc::default();
    let base_url = format!("http://{}", standin.address());
    let (executor, events) = spawn(&base_url, &runtime, &traffic);
    let worker: pier_core::ids::WorkerId = "w-1".into();
    let address: sync::Arc<str> = format!("http://{}/workers/w-1", standin.address()).into();
    let token = task::FencingToken { epoch: 1, handoff_seq: 0 };
    let not_after = time::Duration::from_secs(1_000);

    let list = support::wait_for(&events, "host list", |event| match event {
        Event::HostList(list) => list,
        _ => None,
    });
    assert_eq!(list.hosts.len(), 2);

    executor.execute(Effect::Append { ticket: 1, bytes: b"record".as_slice().into() });
    let appended = support::wait_for(&events, "append", |event| match event {
        Event::Log(LogEvent::Appended { ticket, offset }) => Some((ticket, offset)),
        _ => None,
    });
    assert_eq!(appended, (1, 0));

    executor.execute(Effect::ReadLog { ticket: 2, from: 0, max_records: 10 });
    let read = support::wait_for(&events, "read", |event| match event {
        Event::Log(LogEvent::Read { ticket, page }) => Some((ticket, page.next)),
        _ => None,
    });
    assert_eq!(read, (2, 1));

    let start = sync::Arc::new(support::start_request("t1", wire::StartKind::Answer, 300));
    let start_effect = |start: &sync::Arc<wire::StartTask>| Effect::WorkerStart {
        worker: worker.clone(),
        address: sync::Arc::clone(&address),
        not_after,
        start: sync::Arc::clone(start),
    };
    executor.execute(start_effect(&start));
    // At most one start may be in flight, so the second one is certainly not sent.
    let second = sync::Arc::new(support::start_request("t2", wire::StartKind::Answer, 10));
    executor.execute(start_effect(&second));
    let task = support::wait_for(&events, "second start", |event| match event {
        Event::Worker(WorkerEvent::NotStarted { task, .. }) => Some(task),
        _ => None,
    });
    assert_eq!(&*task, "t2");
    let task = support::wait_for(&events, "answer", |event| match event {
        Event::Worker(WorkerEvent::Answered { task, .. }) => Some(task),
        _ => None,
    });
    assert_eq!(&*task, "t1");

    executor.execute(Effect::WorkerFence {
        worker: worker.clone(),
        address: sync::Arc::clone(&address),
        token,
    });
    let ended = support::wait_for(&events, "fence", |event| match event {
        Event::Worker(WorkerEvent::Fenced { tasks, .. }) => Some(tasks.ended.len()),
        _ => None,
    });
    assert_eq!(ended, 1);
    executor.execute(Effect::WorkerRenew {
        worker: worker.clone(),
        address: sync::Arc::clone(&address),
        renew: wire::RenewLeases { token, tasks: Vec::new() },
    });
    support::wait_for(&events, "renewal", |event| match event {
        Event::Worker(WorkerEvent::Renewed { .. }) => Some(()),
        _ => None,
    });
    executor.execute(Effect::WorkerPreempt {
        worker: worker.clone(),
        address: sync::Arc::clone(&address),
        token,
        task: "t1".into(),
        attempt: 1,
        mode: task::PreemptionMode::Stop,
    });
    let confirmed = support::wait_for(&events, "yield", |event| match event {
        Event::Worker(WorkerEvent::PreemptionReply { confirmed, .. }) => Some(confirmed),
        _ => None,
    });
    assert!(!confirmed);
    executor.execute(Effect::WorkerReport { worker, address });
    support::wait_for(&events, "report", |event| match event {
        Event::Worker(WorkerEvent::Report { .. }) => Some(()),
        _ => None,
    });
    assert!(matches!(executor.execute(Effect::Exit), Some(Effect::Exit)));

    // Guards against calls that are missing from the traffic counts of the host.
    for link in [LinkKind::Starts, LinkKind::Workers, LinkKind::Log] {
        let bytes = traffic.bytes(link);
        assert!(bytes.sent > 0 && bytes.received > 0, "{link}: {bytes:?}");
    }
    assert!(traffic.bytes(LinkKind::HostList).received > 0);
    assert_eq!(traffic.bytes(LinkKind::Peers), traffic::ByteCounts::default());
}

/// Guards against a control thread that blocks on an external system that does not respond.
#[test]
fn execute_never_blocks() {
    let server = support::CannedServer::start(support::Reply::Hang);
    let runtime = runtime();
    let (executor, events) = spawn(&server.url(), &runtime, &sync::Arc::default());
    let started_at = time::Instant::now();
    for ticket in 0..200 {
        executor.execute(Effect::ReadLog { ticket, from: 0, max_records: 10 });
        let bytes = b"record".as_slice().into();
        executor.execute(Effect::Append { ticket, bytes });
    }
    assert!(started_at.elapsed() < time::Duration::from_millis(200), "{:?}", started_at.elapsed());
    // Appends that do not fit into the queue are reported as failed immediately.
    let not_appended = support::wait_for(&events, "refused append", |event| match event {
        Event::Log(LogEvent::AppendFailed { certain, .. }) => Some(certain),
        _ => None,
    });
    assert!(not_appended);
}
