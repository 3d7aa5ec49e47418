//! Helpers of the contract tests.

// Each test file uses only some of the helpers.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use pier_core::{clock, task, wire};
use pier_state::Event;

/// What a [`CannedServer`] does with a connection after it has read a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Sends these bytes and closes the connection.
    Bytes(Vec<u8>),
    /// Closes the connection without a response.
    Close,
    /// Keeps the connection open without a response.
    Hang,
}

/// A response with a body of its declared length and `Connection: close`, because the server reads
/// one request per connection. A client that kept such a connection in its pool could send the next
/// request on it before it notices that it was closed.
pub fn http(status: u16, body: &str) -> Reply {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} Status\r\nConnection: close\r\n");
    let text = format!("{head}Content-Length: {length}\r\n\r\n{body}");
    Reply::Bytes(text.into_bytes())
}

/// A response whose body is shorter than its declared length.
pub fn truncated(body: &str) -> Reply {
    let length = body.len() + 100;
    let text = format!("HTTP/1.1 200 Status\r\nContent-Length: {length}\r\n\r\n{body}");
    Reply::Bytes(text.into_bytes())
}

/// A server that gives every request the same reply.
pub struct CannedServer {
    pub address: net::SocketAddr,
    /// The number of requests that were received completely.
    pub whole_requests: sync::Arc<atomic::AtomicUsize>,
    stopped: sync::Arc<atomic::AtomicBool>,
}

impl CannedServer {
    pub fn start(reply: Reply) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let whole_requests = sync::Arc::new(atomic::AtomicUsize::new(0));
        let stopped = sync::Arc::new(atomic::AtomicBool::new(false));
        let (count, stop) = (sync::Arc::clone(&whole_requests), sync::Arc::clone(&stopped));
        thread::spawn(move || {
            let mut hanging = Vec::new();
            for stream in listener.incoming() {
                if stop.load(atomic::Ordering::Acquire) {
                    return;
                }
                let mut stream = stream.unwrap();
                if !read_request(&mut stream) {
                    continue;
                }
                count.fetch_add(1, atomic::Ordering::AcqRel);
                match &reply {
                    Reply::Bytes(bytes) => drop(stream.write_all(bytes)),
                    Reply::Close => {}
                    Reply::Hang => hanging.push(stream),
                }
            }
        });
        Self { address, whole_requests, stopped }
    }

    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for CannedServer {
    fn drop(&mut self) {
        self.stopped.store(true, atomic::Ordering::Release);
        drop(net::TcpStream::connect(self.address));
    }
}

/// Reads a request. Returns whether it was received completely.
fn read_request(stream: &mut net::TcpStream) -> bool {
    stream.set_read_timeout(Some(time::Duration::from_secs(2))).unwrap();
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
        if let Some(head_end) = text.find("\r\n\r\n") {
            let length = text.split("content-length: ").nth(1);
            let length = length.and_then(|rest| rest.split("\r\n").next());
            let length: usize = length.map_or(0, |digits| digits.parse().unwrap());
            if bytes.len() >= head_end + 4 + length {
                return true;
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return false,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

/// The URL of a port that refuses connections.
pub fn refusing_url() -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    format!("http://{address}")
}

/// A clock that advances only when it is set.
#[derive(Debug, Default)]
pub struct ManualClock {
    pub now_ms: atomic::AtomicU64,
}

impl clock::Clock for ManualClock {
    fn now(&self) -> time::Duration {
        time::Duration::from_millis(self.now_ms.load(atomic::Ordering::Acquire))
    }

    fn wall_ms(&self) -> u64 {
        1_700_000_000_000
    }
}

/// A stand-in with a group of workers named `w-1`, `w-2` and so on.
pub fn standin(workers: u32) -> standin::Standin {
    let text = format!(
        "{{
            address: '127.0.0.1:0', control_address: '127.0.0.1:0', report_lag_ms: 100,
            host_list_lag_ms: 100, log: {{ append_ms: 0 }},
            workers: [{{ prefix: 'w', count: {workers}, availability_zone: 'a',
                resources: {{ cpu_milli: 4000, slots: 4 }} }}],
        }}"
    );
    standin::Standin::start(standin::Settings::parse(&text).unwrap()).unwrap()
}

/// Injects faults into a stand-in.
pub fn put_faults(standin: &standin::Standin, faults: &str) {
    let url = format!("http://{}/control/faults", standin.control_address());
    let response = minreq::post(url).with_body(faults).with_timeout(5).send().unwrap();
    assert_eq!(response.status_code, 200, "{}", response.as_str().unwrap());
}

/// Reads the audit report of a stand-in.
pub fn audit(standin: &standin::Standin) -> standin::audit::Report {
    let url = format!("http://{}/control/audit?prefix=t", standin.control_address());
    let response = minreq::get(url).with_timeout(5).send().unwrap();
    serde_json::from_slice(response.as_bytes()).unwrap()
}

/// A request to start a task that uses one core and runs for `run_ms`.
pub fn start_request(task: &str, kind: wire::StartKind, run_ms: u64) -> wire::StartTask {
    let payload = format!("{{\"run_ms\":{run_ms},\"answer_bytes\":3000,\"nonce\":\"{task}\"}}");
    wire::StartTask {
        task: task.into(),
        attempt: 1,
        token: task::FencingToken { epoch: 1, handoff_seq: 0 },
        lease_ms: 1_000,
        resources: serde_json::from_str("{\"cpu_milli\":1000,\"slots\":1}").unwrap(),
        kind,
        labels: task::TaskLabels {
            job: None,
            team: "team".into(),
            queue: "queue".into(),
            class: task::Class::Urgent,
            repeatable: true,
        },
        payload: payload.as_str().into(),
    }
}

/// Waits for an event that `select` accepts. Other events are discarded.
pub fn wait_for<T>(
    events: &flume::Receiver<Event>,
    description: &str,
    mut select: impl FnMut(Event) -> Option<T>,
) -> T {
    let deadline = time::Instant::now() + time::Duration::from_secs(10);
    loop {
        let event = events.recv_deadline(deadline);
        let event = event.unwrap_or_else(|_| panic!("no event within 10 s: {description}"));
        if let Some(selected) = select(event) {
            return selected;
        }
    }
}
