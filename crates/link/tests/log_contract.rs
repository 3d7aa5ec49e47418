//! Contract tests of the log client, against a server with canned replies and the stand-in.

mod support;

use std::time;

use base64::Engine;
use pier_link::{Error, log, options};
use support::{Reply, http, truncated};

fn client(base_url: &str) -> log::LogClient {
    let options = options::LogOptions {
        base_url: base_url.into(),
        timeout: time::Duration::from_millis(900),
        max_answer_bytes: 10_000,
        max_record_bytes: 1_000,
        ..options::LogOptions::default()
    };
    log::LogClient::new("h1".into(), options)
}

/// Guards against a record that is in the log although its append was reported as certainly
/// failed, and against an append without a valid response that is reported as done.
#[test]
fn append_reports_only_what_is_certain() {
    let huge = "HTTP/1.1 200 Status\r\nContent-Length: 99999999\r\n\r\n{";
    let garbage = "garbage\r\nContent-Length: 0\r\n\r\n";
    let cases: [(&str, Option<Reply>, Result<u64, bool>); 14] = [
        ("accepted", Some(http(200, "{\"offset\":7}")), Ok(7)),
        ("connection refused", None, Err(true)),
        ("outage", Some(http(503, "outage")), Err(true)),
        ("refused", Some(http(400, "bad")), Err(true)),
        ("internal error", Some(http(500, "oops")), Err(false)),
        ("redirect", Some(http(302, "")), Err(false)),
        ("closed without reply", Some(Reply::Close), Err(false)),
        ("no reply in time", Some(Reply::Hang), Err(false)),
        ("reply is truncated", Some(truncated("{\"offset\":7}")), Err(false)),
        ("reply is not JSON", Some(http(200, "7")), Err(false)),
        ("reply has no offset", Some(http(200, "{}")), Err(false)),
        ("reply is huge", Some(Reply::Bytes(huge.into())), Err(false)),
        ("reply has no status line", Some(Reply::Bytes(garbage.into())), Err(false)),
        ("status line is truncated", Some(Reply::Bytes("HTTP/1.1 50".into())), Err(false)),
    ];
    for (name, reply, expected) in cases {
        let server = reply.map(support::CannedServer::start);
        let url = server.as_ref().map_or_else(support::refusing_url, support::CannedServer::url);
        let started_at = time::Instant::now();
        let result = client(&url).append("control", b"record");
        assert_eq!(result.map_err(|error| error.was_not_executed()), expected, "{name}");
        assert!(started_at.elapsed() < time::Duration::from_secs(3), "{name} took too long");
    }
}

/// Guards against a record over the size limit that is sent anyway.
#[test]
fn append_rejects_a_too_large_record() {
    let server = support::CannedServer::start(http(200, "{\"offset\":7}"));
    let error = client(&server.url()).append("control", &[0; 1_001]).unwrap_err();
    assert_eq!(error, Error::RequestTooLarge { size_bytes: 1_001, limit_bytes: 1_000 });
    assert!(error.was_not_executed());
}

/// Guards against a page whose records are out of order or outside its range and so would be folded
/// at the wrong offset.
#[test]
fn read_validates_the_page() {
    let record = |offset: u64| format!("{{\"offset\":{offset},\"age_ms\":1,\"data\":\"aGk=\"}}");
    let page = |earliest: u64, next: u64, offsets: &[u64]| {
        let records: Vec<_> = offsets.iter().map(|offset| record(*offset)).collect();
        let records = records.join(",");
        http(200, &format!("{{\"earliest\":{earliest},\"next\":{next},\"records\":[{records}]}}"))
    };
    let cases: [(&str, Reply, Option<Vec<u64>>); 10] = [
        ("in order", page(0, 12, &[5, 6, 7]), Some(vec![5, 6, 7])),
        ("at the tail", page(0, 5, &[]), Some(vec![])),
        ("retention has passed", page(8, 10, &[8, 9]), Some(vec![8, 9])),
        ("gap", page(0, 10, &[5, 9]), Some(vec![5, 9])),
        ("before the requested offset", page(0, 10, &[4, 5]), None),
        ("repeated", page(0, 10, &[5, 5]), None),
        ("descending", page(0, 10, &[6, 5]), None),
        ("beyond the end", page(0, 6, &[5, 6]), None),
        ("before the earliest", page(7, 10, &[6]), None),
        ("truncated", truncated("{\"earliest\":0"), None),
    ];
    for (name, reply, expected) in cases {
        let server = support::CannedServer::start(reply);
        let result = client(&server.url()).read("control", 5, 10);
        let offsets = result.map(|page| {
            let offsets: Vec<_> = page.records.iter().map(|record| record.offset).collect();
            offsets
        });
        assert_eq!(offsets.ok(), expected, "{name}");
    }
}

/// Guards against a lost reply that is treated as a lost record: a later read must return the
/// record.
#[test]
fn lost_reply_leaves_the_record_in_the_log() {
    let standin = support::standin(1);
    let client = client(&format!("http://{}", standin.address()));
    assert_eq!(client.append("control", b"first"), Ok(0));
    support::put_faults(&standin, "{\"log\":{\"lose_next_replies\":1}}");
    let error = client.append("control", b"second").unwrap_err();
    assert!(!error.was_not_executed(), "{error}");
    assert_eq!(client.append("control", b"third"), Ok(2));
    let page = client.read("control", 1, 10).unwrap();
    let engine = base64::engine::general_purpose::STANDARD;
    assert_eq!(engine.decode(&page.records[0].data).unwrap(), b"second");
    assert_eq!(page.next, 3);
}

/// Guards against a disconnected host that still reaches the log, and against faults that persist
/// after they were cleared.
#[test]
fn faults_of_the_stand_in_can_be_set_and_cleared() {
    let standin = support::standin(1);
    let client = client(&format!("http://{}", standin.address()));
    let cases = [
        "{\"log\":{\"outage\":true}}",
        "{\"cut_off\":{\"h1\":{\"log\":true}}}",
        "{\"log\":{\"slow_ms\":1500}}",
    ];
    for faults in cases {
        support::put_faults(&standin, faults);
        assert!(client.read("control", 0, 1).is_err(), "{faults}");
        let url = format!("http://{}/control/faults", standin.control_address());
        assert_eq!(minreq::delete(url).with_timeout(5).send().unwrap().status_code, 200);
        assert!(client.read("control", 0, 1).is_ok(), "{faults}");
    }
}

/// Guards against retention that renumbers the remaining records.
#[test]
fn retention_drops_the_oldest_records() {
    let standin = support::standin(1);
    let client = client(&format!("http://{}", standin.address()));
    for offset in 0..5 {
        assert_eq!(client.append("control", b"record"), Ok(offset));
    }
    support::put_faults(&standin, "{\"log\":{\"keep_records\":2}}");
    let page = client.read("control", 0, 10).unwrap();
    let offsets: Vec<_> = page.records.iter().map(|record| record.offset).collect();
    assert_eq!((page.earliest, page.next, offsets), (3, 5, vec![3, 4]));
}
