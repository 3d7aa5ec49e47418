//! The overhead in bytes that the links add to the bodies of messages and calls, measured on real
//! connections. The benchmark of the control traffic (`crates/state/benches/capacity.rs`) adds it
//! to the bodies that it counts.

#[path = "../../state/tests/cell/framing.rs"]
mod framing;
mod support;

use std::io::{Read, Write};
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use pier_core::{clock, task, wire};
use pier_link::{host_list, log, options, peer, server, worker};
use pier_state::message;

const INCARNATION: u64 = 1_234_567_890_123_456_789;
const TOKEN: &str = "0123456789abcdef0123456789abcdef";
const ROUNDS: usize = 50;
/// The allowed difference between measured and expected overhead: ids, ports and lengths differ in
/// their numbers of digits.
const TOLERANCE_BYTES: usize = 8;

/// A TCP proxy to an address that counts the bytes of both directions.
struct CountingProxy {
    address: net::SocketAddr,
    bytes: sync::Arc<atomic::AtomicUsize>,
}

impl CountingProxy {
    fn start(target: net::SocketAddr) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let bytes = sync::Arc::new(atomic::AtomicUsize::new(0));
        let counter = sync::Arc::clone(&bytes);
        thread::spawn(move || {
            for client in listener.incoming() {
                let client = client.unwrap();
                let server = net::TcpStream::connect(target).unwrap();
                forward(client.try_clone().unwrap(), server.try_clone().unwrap(), &counter);
                forward(server, client, &counter);
            }
        });
        Self { address, bytes }
    }

    fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the count once no more bytes arrive.
    fn settled_bytes(&self) -> usize {
        let mut last = usize::MAX;
        for _ in 0..100 {
            let bytes = self.bytes.load(atomic::Ordering::Acquire);
            if bytes == last {
                return bytes;
            }
            last = bytes;
            thread::sleep(time::Duration::from_millis(100));
        }
        panic!("the connection still carries bytes");
    }
}

fn forward(
    mut from: net::TcpStream,
    mut to: net::TcpStream,
    counter: &sync::Arc<atomic::AtomicUsize>,
) {
    let counter = sync::Arc::clone(counter);
    thread::spawn(move || {
        let mut buffer = [0; 16_384];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                let _ = to.shutdown(net::Shutdown::Both);
                return;
            }
            counter.fetch_add(count, atomic::Ordering::AcqRel);
        }
    });
}

/// Compares a measured overhead with the one that the benchmark of the control traffic adds.
#[track_caller]
fn assert_overhead(measured: usize, expected: usize) {
    let difference = measured.abs_diff(expected);
    assert!(difference <= TOLERANCE_BYTES, "measured {measured} bytes, expected {expected}");
}

fn identity() -> options::Identity {
    options::Identity { host: "h1".into(), cell_token: TOKEN.into() }
}

fn json_len(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).unwrap().len()
}

/// Guards against a stated overhead of messages to peers that differs from the real encoding.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_message_has_the_stated_overhead() {
    let (sender, events) = flume::unbounded();
    let methods = peer::module(&identity(), sender, Default::default()).unwrap();
    let options = options::PeerOptions::default();
    let address = "127.0.0.1:0".parse().unwrap();
    let server = server::RpcServer::start(address, &options, methods).await.unwrap();
    let proxy = CountingProxy::start(server.local_address());
    let links = peer::PeerLinks::new(identity(), options, tokio::runtime::Handle::current());
    let job = "j".repeat(200);
    let query = message::JobMessage::Query { ticket: 1, job: job.as_str().into() };
    let message = message::Message::Job(query);
    let to = proxy.address.to_string().into();
    let mut before = 0;
    // The first round also establishes the connection, so it is not measured.
    for round in 0..=ROUNDS {
        links.send(&"h2".into(), &to, INCARNATION, message.clone());
        let event = tokio::time::timeout(time::Duration::from_secs(10), events.recv_async()).await;
        assert!(event.is_ok(), "a message did not arrive");
        if round == 0 {
            before = proxy.settled_bytes();
        }
    }
    let bytes_per_round = (proxy.settled_bytes() - before) / ROUNDS;
    assert_overhead(bytes_per_round - json_len(&message), framing::PEER_MESSAGE_BYTES);
}

/// Guards against a stated overhead of calls to workers that differs from real calls.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_call_has_the_stated_overhead() {
    let standin = support::standin(1);
    let proxy = CountingProxy::start(standin.address());
    let clock = sync::Arc::new(clock::SystemClock::start());
    let client = worker::WorkerClient::new("h1".into(), options::WorkerOptions::default(), clock);
    let address = format!("{}/workers/w-1", proxy.url());
    let mut tasks = Vec::new();
    for index in 0..6 {
        let task = format!("job-1/{index}").as_str().into();
        tasks.push(wire::LeaseRenewal { task, attempt: 1, lease_ms: 25_000 });
    }
    let renew = wire::RenewLeases { token: task::FencingToken { epoch: 1, handoff_seq: 0 }, tasks };
    let mut before = 0;
    let mut bodies = 0;
    for round in 0..=ROUNDS {
        let event = client.renew("w-1".into(), &address, &renew).await;
        let pier_state::event::WorkerEvent::Renewed { answer, .. } = event else {
            panic!("the worker did not respond");
        };
        bodies = json_len(&renew) + json_len(&answer);
        if round == 0 {
            before = proxy.settled_bytes();
        }
    }
    let bytes_per_round = (proxy.settled_bytes() - before) / ROUNDS;
    assert_overhead(bytes_per_round - bodies, framing::WORKER_CALL_BYTES);
}

/// Guards against stated overheads of the log and the host list that differ from real calls.
#[test]
fn log_and_host_list_calls_have_the_stated_overhead() {
    let standin = support::standin(1);
    let proxy = CountingProxy::start(standin.address());
    let base_url: sync::Arc<str> = proxy.url().as_str().into();
    let options = options::LogOptions { base_url: base_url.clone(), ..Default::default() };
    let client = log::LogClient::new("h1".into(), options);

    let before = proxy.settled_bytes();
    client.append("control", b"record").unwrap();
    assert_overhead(proxy.settled_bytes() - before - "record".len(), framing::LOG_APPEND_BYTES);

    let before = proxy.settled_bytes();
    let page = client.read("control", 1, 512).unwrap();
    let bytes = proxy.settled_bytes() - before;
    assert_overhead(bytes - json_len(&page), framing::LOG_READ_BYTES);

    let options = options::HostListOptions { base_url, ..Default::default() };
    let mut client = host_list::HostListClient::new("h1".into(), options);
    client.read().unwrap();
    let before = proxy.settled_bytes();
    client.read().unwrap();
    assert_overhead(proxy.settled_bytes() - before, framing::HOST_LIST_BYTES);
}
