//! A fake host with the HTTP interface for callers.

// Each test file uses only some of the helpers.
#![allow(dead_code)]

use std::io::Write;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

/// A response of the fake host: the status, the value of the task header and the body.
pub type Response = (u16, Option<String>, Vec<u8>);

type Handler = dyn Fn(&Request) -> Option<Response> + Send + Sync;

/// A request received by the fake host.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub number: usize,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// A host that responds with the result of a handler function. If the handler returns `None`, the
/// host closes the connection without a response.
pub struct FakeHost {
    pub address: net::SocketAddr,
    server: sync::Arc<tiny_http::Server>,
    stopped: sync::Arc<atomic::AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl FakeHost {
    pub fn start(handler: impl Fn(&Request) -> Option<Response> + Send + Sync + 'static) -> Self {
        let server = sync::Arc::new(tiny_http::Server::http("127.0.0.1:0").unwrap());
        let address = server.server_addr().to_ip().unwrap();
        let stopped = sync::Arc::new(atomic::AtomicBool::new(false));
        let handler: sync::Arc<Handler> = sync::Arc::new(handler);
        let count = sync::Arc::new(atomic::AtomicUsize::new(0));
        let mut threads = Vec::new();
        for _ in 0..8 {
            let (server, stopped) = (sync::Arc::clone(&server), sync::Arc::clone(&stopped));
            let (handler, count) = (sync::Arc::clone(&handler), sync::Arc::clone(&count));
            threads.push(thread::spawn(move || serve(&server, &stopped, &count, &*handler)));
        }
        Self { address, server, stopped, threads }
    }
}

impl Drop for FakeHost {
    fn drop(&mut self) {
        self.stopped.store(true, atomic::Ordering::Release);
        for _ in &self.threads {
            self.server.unblock();
        }
        for thread in self.threads.drain(..) {
            thread.join().unwrap();
        }
    }
}

fn serve(
    server: &tiny_http::Server,
    stopped: &atomic::AtomicBool,
    count: &atomic::AtomicUsize,
    handler: &Handler,
) {
    while !stopped.load(atomic::Ordering::Acquire) {
        let wait = time::Duration::from_millis(50);
        let Ok(Some(mut request)) = server.recv_timeout(wait) else {
            continue;
        };
        let mut body = Vec::new();
        request.as_reader().read_to_end(&mut body).unwrap();
        let mut headers = Vec::new();
        for header in request.headers() {
            headers.push((header.field.to_string(), header.value.to_string()));
        }
        let received = Request {
            method: request.method().to_string(),
            path: request.url().to_owned(),
            headers,
            body,
            number: count.fetch_add(1, atomic::Ordering::AcqRel),
        };
        let response = handler(&received);
        let mut writer = request.into_writer();
        let Some((status, task, body)) = response else {
            continue;
        };
        let task = task.map_or(String::new(), |task| format!("Pier-Task: {task}\r\n"));
        let length = body.len();
        let head = format!("HTTP/1.1 {status} Status\r\n{task}Content-Length: {length}\r\n\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&body);
        drop(writer.write_all(&bytes));
        drop(writer.flush());
    }
}

/// Returns an address that refuses connections.
pub fn closed_address() -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

/// Returns the body of a refusal.
pub fn refusal(kind: &str, outcome: &str) -> Vec<u8> {
    format!(
        "{{\"error\":\"{kind}\",\"detail\":\"why\",\"outcome\":\"{outcome}\",\"retry_after_ms\":null}}"
    )
    .into_bytes()
}
