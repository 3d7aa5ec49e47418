//! Contract tests of the host list client, against a server with canned replies and the stand-in.

mod support;

use std::thread;
use std::time;

use pier_core::wire;
use pier_link::{host_list, options};
use support::{Reply, http, truncated};

fn client(base_url: &str) -> host_list::HostListClient {
    let options = options::HostListOptions {
        base_url: base_url.into(),
        timeout: time::Duration::from_millis(900),
        max_answer_bytes: 10_000,
        ..options::HostListOptions::default()
    };
    host_list::HostListClient::new("h1".into(), options)
}

/// Guards against a damaged list that is accepted as an empty or shorter one, from which the
/// control state would conclude that hosts were removed.
#[test]
fn only_complete_lists_are_accepted() {
    let entry = "{\"id\":\"h2\",\"role\":\"entry\",\"state\":\"leaving\",\"availability_zone\":\"a\",\
        \"rack\":\"\",\"address\":\"127.0.0.1:1\"}";
    let list = format!("{{\"age_ms\":5,\"hosts\":[{entry}]}}");
    let huge = "HTTP/1.1 200 Status\r\nContent-Length: 99999999\r\n\r\n{";
    let cases: [(&str, Option<Reply>, Option<usize>); 10] = [
        ("one host", Some(http(200, &list)), Some(1)),
        ("no hosts", Some(http(200, "{\"age_ms\":5,\"hosts\":[]}")), Some(0)),
        ("connection refused", None, None),
        ("outage", Some(http(503, "")), None),
        ("empty response", Some(http(200, "")), None),
        ("no age", Some(http(200, "{\"hosts\":[]}")), None),
        ("unknown state", Some(http(200, &list.replace("leaving", "ill"))), None),
        ("truncated", Some(truncated(&list)), None),
        ("no response in time", Some(Reply::Hang), None),
        ("huge", Some(Reply::Bytes(huge.into())), None),
    ];
    for (name, reply, expected) in cases {
        let server = reply.map(support::CannedServer::start);
        let url = server.as_ref().map_or_else(support::refusing_url, support::CannedServer::url);
        let result = client(&url).read();
        assert_eq!(result.ok().map(|list| list.hosts.len()), expected, "{name}");
    }
}

/// Guards against a list that is sent again although it has not changed, and against a cached list
/// that hides a change.
#[test]
fn an_unchanged_list_is_not_sent_again() {
    let standin = support::standin(100);
    let url = format!("http://{}", standin.address());
    let options = options::HostListOptions { base_url: url.into(), ..Default::default() };
    let mut client = host_list::HostListClient::new("h1".into(), options);
    let initial = client.read().unwrap();
    assert_eq!(initial.hosts.len(), 100);
    // A response that carries the list would exceed this limit.
    client.set_max_answer_bytes(1_000);
    let cached = client.read().unwrap();
    assert_eq!(cached.hosts, initial.hosts);
    client.set_max_answer_bytes(1_000_000);
    support::put_faults(&standin, "{\"host_list\":{\"lag_ms\":0,\"remove\":[\"w-2\"]}}");
    assert_eq!(client.read().unwrap().hosts.len(), 99);
}

/// Guards against a stand-in whose list does not lag, which would hide faults of the system.
#[test]
fn the_list_of_the_stand_in_lags() {
    let standin = support::standin(3);
    let mut client = client(&format!("http://{}", standin.address()));
    support::put_faults(
        &standin,
        "{\"host_list\":{\"lag_ms\":400,\"leaving\":[\"w-1\"],\"remove\":[\"w-2\"]}}",
    );
    let before = client.read().unwrap();
    assert_eq!((before.age_ms, before.hosts.len()), (400, 3));
    thread::sleep(time::Duration::from_millis(450));
    let after = client.read().unwrap();
    let states: Vec<_> = after.hosts.iter().map(|host| (&*host.id, host.state)).collect();
    assert_eq!(states, [("w-1", wire::HostState::Leaving), ("w-3", wire::HostState::Live)]);
}
