//! Tests of the stand-in itself, since its bugs would hide or fake faults of the system.

use std::io::{Read, Write};
use std::net;
use std::thread;
use std::time;

use pier_core::wire;
use standin::{Settings, Standin, answer, audit, faults};

const SETTINGS: &str = "{
    // Two zones with three workers each; two workers per rack.
    address: '127.0.0.1:0', control_address: '127.0.0.1:0', report_lag_ms: 100,
    host_list_lag_ms: 0, log: { append_ms: 0, retention_records: 3 },
    entry_hosts: [{ id: 'h1', availability_zone: 'a', peer_address: '127.0.0.1:1' }],
    workers: [
        { prefix: 'wa', count: 3, availability_zone: 'a', rack_size: 2,
          resources: { cpu_milli: 2000, slots: 2 } },
        { prefix: 'wb', count: 3, availability_zone: 'b', rack_size: 2,
          resources: { cpu_milli: 2000, slots: 2 } },
    ],
}";

fn start() -> Standin {
    Standin::start(Settings::parse(SETTINGS).unwrap()).unwrap()
}

fn call(method: minreq::Method, url: String, body: &str) -> (i32, String) {
    let request = minreq::Request::new(method, url).with_body(body).with_timeout(5);
    let response = request.with_header("Pier-Host", "h1").send().unwrap();
    (response.status_code, response.as_str().unwrap().to_owned())
}

fn control(standin: &Standin, method: minreq::Method, path: &str, body: &str) -> String {
    let url = format!("http://{}/control/{path}", standin.control_address());
    let (status, text) = call(method, url, body);
    assert_eq!(status, 200, "{text}");
    text
}

fn report(standin: &Standin) -> audit::Report {
    let text = control(standin, minreq::Method::Get, "audit?prefix=t", "");
    serde_json::from_str(&text).unwrap()
}

fn hosts(standin: &Standin) -> Vec<wire::HostEntry> {
    let url = format!("http://{}/hosts", standin.address());
    let (status, text) = call(minreq::Method::Get, url, "");
    assert_eq!(status, 200, "{text}");
    serde_json::from_str::<wire::HostList>(&text).unwrap().hosts
}

fn start_task(standin: &Standin, worker: &str, task: &str, extra: &str) -> (i32, String) {
    let url = format!("http://{}/workers/{worker}/tasks", standin.address());
    let labels =
        "{\"job\":null,\"team\":\"t1\",\"queue\":\"q\",\"class\":\"batch\",\"repeatable\":false}";
    let body = format!(
        "{{\"task\":\"{task}\",\"attempt\":1,\"token\":{{\"epoch\":1,\"handoff_seq\":0}},\
         \"resources\":{{\"cpu_milli\":1000,\"slots\":1}},\"kind\":\"run\",\"labels\":{labels},{extra}}}"
    );
    call(minreq::Method::Post, url, &body)
}

/// A lease and a payload of `{"run_ms":60000}`.
const LONG: &str = "\"lease_ms\":60000,\"payload\":\"eyJydW5fbXMiOjYwMDAwfQ==\"";
/// A payload that is not JSON, which runs 10 ms.
const SHORT: &str = "\"lease_ms\":60000,\"payload\":\"YWJj\"";
/// A payload of `{"run_ms":1500}`, long enough to occupy a worker until the next request.
const MEDIUM: &str = "\"lease_ms\":60000,\"payload\":\"eyJydW5fbXMiOjE1MDB9\"";

/// Guards against settings that are missing from the host list.
#[test]
fn host_list_follows_the_settings() {
    let standin = start();
    let hosts = hosts(&standin);
    assert_eq!(hosts.len(), 7);
    let entry = hosts.iter().find(|host| &*host.id == "h1").unwrap();
    assert_eq!((entry.role, &*entry.address), (wire::HostRole::Entry, "127.0.0.1:1"));
    let worker = hosts.iter().find(|host| &*host.id == "wb-3").unwrap();
    assert_eq!((&*worker.availability_zone, &*worker.rack), ("b", "wb-rack-2"));
    assert_eq!(worker.resources.cpu_milli, 2_000);
    assert_eq!(*worker.address, *format!("http://{}/workers/wb-3", standin.address()));
    assert!(Settings::parse("{ unknown: 1 }").is_err());
}

/// Guards against host list faults that do not apply, or that stay after they were cleared.
#[test]
fn host_list_faults_apply_and_clear() {
    let standin = start();
    let entry = "{\"id\":\"ghost\",\"role\":\"entry\",\"state\":\"live\",\
        \"availability_zone\":\"a\",\"rack\":\"\",\"address\":\"127.0.0.1:2\"}";
    let faults = format!(
        "{{\"host_list\":{{\"add\":[{entry}],\"remove\":[\"h1\"],\"leaving\":[\"wa-1\"]}}}}"
    );
    control(&standin, minreq::Method::Post, "faults", &faults);
    let changed = hosts(&standin);
    assert!(changed.iter().any(|host| &*host.id == "ghost"));
    assert!(!changed.iter().any(|host| &*host.id == "h1"));
    let leaving = changed.iter().find(|host| &*host.id == "wa-1").unwrap();
    assert_eq!(leaving.state, wire::HostState::Leaving);
    control(&standin, minreq::Method::Delete, "faults", "");
    assert_eq!(hosts(&standin).len(), 7);
    assert!(hosts(&standin).iter().all(|host| host.state == wire::HostState::Live));
}

/// Waits until `done` runs have ended as done.
fn wait_for_done(standin: &Standin, done: u64) {
    let until = time::Instant::now() + time::Duration::from_secs(20);
    while report(standin).done < done {
        assert!(time::Instant::now() < until, "{done} runs are not done");
        thread::sleep(time::Duration::from_millis(10));
    }
}

/// Guards against an audit that misses violations: overlapping runs, second runs of tasks that are
/// not repeatable, and tasks that are done twice.
#[test]
fn audit_finds_broken_guarantees() {
    let standin = start();
    assert_eq!(start_task(&standin, "wa-1", "t1", LONG).0, 200);
    assert_eq!(start_task(&standin, "wa-1", "t2", MEDIUM).0, 200);
    assert_eq!(start_task(&standin, "wa-1", "t3", LONG).0, 409);
    let before = report(&standin);
    assert_eq!((before.overlapped.count, before.not_repeatable_run_again.count), (0, 0));
    assert_eq!(before.workers["wa-1"].largest_used.cpu_milli, 2_000);
    assert_eq!(before.refusals["no_room"], 1);

    // The same task on another worker, while it runs and after it has ended.
    wait_for_done(&standin, 1);
    assert_eq!(start_task(&standin, "wb-1", "t1", LONG).0, 200);
    assert_eq!(start_task(&standin, "wb-1", "t2", MEDIUM).0, 200);
    wait_for_done(&standin, 2);
    let after = report(&standin);
    assert_eq!(after.overlapped.first, ["t1".into()]);
    assert_eq!(after.not_repeatable_run_again.count, 2);
    assert_eq!(after.done_again.first, ["t2".into()]);
    assert_eq!((after.tasks, after.runs, after.done), (2, 4, 2));
    assert_eq!(after.teams["t1"].largest_used.cpu_milli, 3_000);
    assert_eq!(after.teams["t1"].used.cpu_milli, 2_000);
    let selected = after.selected["t2"];
    assert_eq!((selected.runs, selected.done, selected.overlapped), (2, 2, false));
    assert!(after.over_committed_workers.is_empty());
}

/// Guards against uncounted starts in a zone that is out of service or on a leaving worker.
#[test]
fn marks_count_later_starts() {
    let standin = start();
    let mark = "{\"name\":\"zone b out\",\"availability_zone\":\"b\"}";
    control(&standin, minreq::Method::Post, "marks", mark);
    control(&standin, minreq::Method::Post, "faults", "{\"host_list\":{\"leaving\":[\"wa-2\"]}}");
    assert_eq!(start_task(&standin, "wa-1", "t1", SHORT).0, 200);
    assert_eq!(start_task(&standin, "wb-1", "t2", SHORT).0, 200);
    let (status, refusal) = start_task(&standin, "wa-2", "t3", SHORT);
    assert_eq!((status, refusal.as_str()), (409, "{\"error\":\"leaving\"}"));
    let marks = report(&standin).marks;
    let numbers: Vec<_> =
        marks.iter().map(|mark| (mark.name.as_str(), mark.accepted, mark.refused)).collect();
    assert_eq!(numbers, [("zone b out", 1, 0), ("leaving wa-2", 0, 1)]);
    // A second patch keeps the marks of the first. A worker that no longer leaves loses its mark.
    control(&standin, minreq::Method::Post, "faults", "{\"log\":{\"outage\":true}}");
    assert_eq!(report(&standin).marks.len(), 2);
    control(&standin, minreq::Method::Delete, "faults", "");
    control(&standin, minreq::Method::Delete, "marks?name=zone%20b%20out", "");
    assert!(report(&standin).marks.is_empty());
}

/// Guards against a log that renumbers records or keeps more than the retention allows.
#[test]
fn log_keeps_offsets_over_retention() {
    let standin = start();
    let url = format!("http://{}/streams/control/records", standin.address());
    for offset in 0..5 {
        let (status, text) = call(minreq::Method::Post, url.clone(), "record");
        assert_eq!((status, text), (200, format!("{{\"offset\":{offset}}}")));
    }
    let (_, text) = call(minreq::Method::Get, format!("{url}?from=0&max=2"), "");
    let page: wire::LogPage = serde_json::from_str(&text).unwrap();
    let offsets: Vec<_> = page.records.iter().map(|record| record.offset).collect();
    assert_eq!((page.earliest, page.next, offsets), (2, 5, vec![2, 3]));
    let other = format!("http://{}/streams/other/records?from=0&max=2", standin.address());
    let (_, text) = call(minreq::Method::Get, other, "");
    assert_eq!(text, "{\"earliest\":0,\"next\":0,\"records\":[]}");
}

/// Guards against an invalid patch that is applied in part or silently ignored.
#[test]
fn faults_are_merged_and_checked() {
    let mut faults = faults::Faults::default();
    let patches = [
        ("{\"log\":{\"slow_ms\":5}}", true),
        ("{\"log\":{\"outage\":true}}", true),
        ("{\"workers\":{\"w\":{\"fail_all\":true}}}", true),
        ("{\"log\":{\"slow\":5}}", false),
        ("{\"log\":{\"slow_ms\":\"5\"}}", false),
        ("{\"log\":{\"slow_ms\":null}}", true),
    ];
    for (patch, is_valid) in patches {
        let patched = faults.patched(serde_json::from_str(patch).unwrap());
        assert_eq!(patched.is_ok(), is_valid, "{patch}");
        faults = patched.unwrap_or(faults);
    }
    assert!(faults.log.outage && faults.log.slow_ms == 0 && faults.of_worker("w").fail_all);
    assert!(!faults.of_worker("x").fail_all);
}

/// Guards against a cut-off host whose calls still have an effect on workers, and against other
/// hosts that are cut off with it.
#[test]
fn cut_off_host_has_no_effect() {
    let standin = start();
    control(
        &standin,
        minreq::Method::Post,
        "faults",
        "{\"cut_off\":{\"h1\":{\"host_list\":true,\"workers\":true}}}",
    );
    let url = |path: &str| format!("http://{}/{path}", standin.address());
    let request = minreq::post(url("workers/wa-1/tasks")).with_body("{}").with_timeout(1);
    assert!(request.with_header("Pier-Host", "h1").send().is_err());
    let request = minreq::get(url("hosts")).with_timeout(1);
    assert_eq!(request.with_header("Pier-Host", "h2").send().unwrap().status_code, 200);
    assert_eq!(report(&standin).runs, 0);
}

/// Guards against open connections that delay other clients: the stand-in must answer new clients
/// at once, however many connections are open.
#[test]
fn open_connections_do_not_delay_others() {
    let standin = start();
    let mut open = Vec::new();
    for _ in 0..60 {
        let mut stream = net::TcpStream::connect(standin.address()).unwrap();
        stream.write_all(b"GET /hosts HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        open.push(stream);
    }
    for stream in &mut open {
        stream.set_read_timeout(Some(time::Duration::from_secs(3))).unwrap();
        let mut byte = [0; 1];
        stream.read_exact(&mut byte).unwrap();
    }
}

/// Guards against a verification that accepts a damaged answer or one to another request.
#[test]
fn damaged_and_foreign_answers_are_rejected() {
    let payload = b"{\"run_ms\":1,\"answer_bytes\":400,\"nonce\":\"n\"}";
    let whole = answer::build("t1", payload);
    assert_eq!(whole.len(), 400);
    assert_eq!(answer::verify(&whole, Some("t1"), payload), Ok(()));
    assert_eq!(answer::verify(&whole, None, payload), Ok(()));
    let other = Err(answer::VerifyError::OtherRequest);
    assert_eq!(answer::verify(&whole, Some("t2"), payload), other);
    assert_eq!(answer::verify(&whole, Some("t1"), b"another payload"), other);
    for cut in 0..whole.len() {
        let result = answer::verify(&whole[..cut], Some("t1"), payload);
        assert_eq!(result, Err(answer::VerifyError::Damaged), "cut at {cut}");
    }
    for index in 0..whole.len() {
        let mut changed = whole.clone();
        changed[index] ^= 1;
        assert!(answer::verify(&changed, Some("t1"), payload).is_err(), "byte {index}");
    }
}
