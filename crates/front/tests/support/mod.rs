//! A caller server with a simulated control thread whose answers depend on the queue's name.

#![allow(dead_code, reason = "each test file uses a part of the support")]

use std::io::{Read, Write};
use std::net;
use std::sync;
use std::thread;
use std::time;

use pier_core::caller::{JobPhase, JobStatus, Refusal, RefusalKind};
use pier_core::{body, clock, task};
use pier_front::{CallerServer, Metrics, Options};
use pier_state::effect::CallerAnswer;
use pier_state::event::{CallerEvent, CallerRequest, Event};

/// An API key that the control thread accepts.
pub const KEY: &str = "team-a-key";
/// How long a test waits for a response or an event.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The number of requests of the queue `shuffle` that are answered in reverse order.
const SHUFFLE_GROUP: usize = 7;
/// The time without an event after which an incomplete group is answered.
const SHUFFLE_TIMEOUT: time::Duration = time::Duration::from_millis(5);

/// A caller server and its control thread.
pub struct Fixture {
    pub server: CallerServer,
    pub disconnected: flume::Receiver<u64>,
    pub received: flume::Receiver<CallerRequest>,
    pub runtime: tokio::runtime::Runtime,
}

impl Fixture {
    pub fn start(options: Options) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime");
        let (events, incoming) = flume::unbounded();
        let address = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let clock = sync::Arc::new(clock::SystemClock::start());
        let server = {
            let _entered = runtime.enter();
            CallerServer::spawn(address, options, clock, events, Metrics::new())
                .expect("a free port")
        };
        let (disconnected_sender, disconnected) = flume::unbounded();
        let (received_sender, received) = flume::unbounded();
        let control_server = server.clone();
        thread::spawn(move || {
            run_control_thread(&control_server, &incoming, &disconnected_sender, &received_sender)
        });
        Self { server, disconnected, received, runtime }
    }

    pub fn connect(&self) -> net::TcpStream {
        let stream = net::TcpStream::connect(self.server.address()).expect("a connection");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
        stream
    }

    /// Sends the text on a new connection and reads one response.
    pub fn send(&self, text: &str) -> Response {
        let mut stream = self.connect();
        stream.write_all(text.as_bytes()).expect("the request is sent");
        Response::read(&mut stream).expect("a response")
    }
}

/// An HTTP response of the server.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Response {
    /// Reads a response. Returns `None` if the connection ends within its head.
    pub fn read(stream: &mut net::TcpStream) -> Option<Self> {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            if !matches!(stream.read(&mut byte), Ok(1)) {
                return None;
            }
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).expect("the head is text").to_lowercase();
        let status = head.split(' ').nth(1).expect("a status").parse().expect("a number");
        let mut response = Self { status, head, body: Vec::new() };
        let length =
            response.header("content-length").map_or(0, |text| text.parse().expect("a number"));
        response.body = vec![0; length];
        stream.read_exact(&mut response.body).ok()?;
        Some(response)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        for line in self.head.lines() {
            if let Some((found, value)) = line.split_once(": ")
                && found == name
            {
                return Some(value);
            }
        }
        None
    }

    pub fn refusal(&self) -> Refusal {
        serde_json::from_slice(&self.body).expect("a refusal")
    }
}

/// A request to run a task, with additional header lines.
pub fn request(queue: &str, headers: &str, body: &str) -> String {
    format!(
        "POST /v1/queues/{queue}/tasks HTTP/1.1\r\nhost: pier\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
}

/// Waits until `condition` holds. Returns false if it does not hold within [`TIMEOUT`].
pub fn eventually(mut condition: impl FnMut() -> bool) -> bool {
    let end = time::Instant::now() + TIMEOUT;
    while time::Instant::now() < end {
        if condition() {
            return true;
        }
        thread::sleep(time::Duration::from_millis(5));
    }
    false
}

fn run_control_thread(
    server: &CallerServer,
    incoming: &flume::Receiver<Event>,
    disconnected: &flume::Sender<u64>,
    received: &flume::Sender<CallerRequest>,
) {
    let mut pair = Vec::new();
    let mut shuffled: Vec<(u64, CallerRequest)> = Vec::new();
    loop {
        // Requests of the queue `shuffle` are answered in groups, the latest first. A group is
        // answered when it is full or no event has arrived for a while, so that no request waits
        // for others that never arrive.
        let next = match incoming.recv_timeout(SHUFFLE_TIMEOUT) {
            Ok(event) => Some(event),
            Err(flume::RecvTimeoutError::Timeout) => None,
            Err(flume::RecvTimeoutError::Disconnected) => return,
        };
        if next.is_none() || shuffled.len() >= SHUFFLE_GROUP {
            for (ticket, request) in shuffled.drain(..).rev() {
                server.answer(ticket, answer(&request));
            }
        }
        let Some(event) = next else {
            continue;
        };
        let Event::Caller(event) = event else {
            continue;
        };
        match event {
            CallerEvent::Request { ticket, request } => {
                let _ = received.send(request.clone());
                match &*request.queue {
                    "hold" => continue,
                    "shuffle" => shuffled.push((ticket, request)),
                    // Requests are answered in pairs, the later one first.
                    "swap" => {
                        pair.push((ticket, request));
                        if pair.len() == 2 {
                            for (ticket, request) in pair.drain(..).rev() {
                                server.answer(ticket, answer(&request));
                            }
                        }
                    }
                    _ => server.answer(ticket, answer(&request)),
                }
            }
            CallerEvent::Disconnected { ticket } => {
                let _ = disconnected.send(ticket);
            }
            CallerEvent::SubmitJob { ticket, request, .. } => {
                server.answer(ticket, CallerAnswer::Job(job("job-1", request.tasks)));
            }
            CallerEvent::QueryJob { ticket, job: id, .. }
            | CallerEvent::CancelJob { ticket, job: id, .. } => {
                let answer = if &*id == "job-1" {
                    CallerAnswer::Job(job(&id, 1))
                } else {
                    CallerAnswer::Refused(Refusal::not_run(RefusalKind::UnknownJob, "no such job"))
                };
                server.answer(ticket, answer);
            }
        }
    }
}

fn job(id: &str, tasks: u32) -> JobStatus {
    let phase = JobPhase::Waiting;
    JobStatus { job: id.into(), phase, tasks, done: 0, running: 0, reason: None }
}

fn answer(request: &CallerRequest) -> CallerAnswer {
    let refuse = |kind, detail: &str| CallerAnswer::Refused(Refusal::not_run(kind, detail));
    let end = |kind| {
        let end = task::TaskEnd { kind, body: request.body.clone() };
        CallerAnswer::Task { task: "task-7".into(), end }
    };
    match request.key.as_deref() {
        None => return refuse(RefusalKind::NoKey, "a key is needed"),
        Some("withdrawn") => return refuse(RefusalKind::BadKey, "the key is withdrawn"),
        Some("team-b-key") => return refuse(RefusalKind::WrongTeam, "not for this team"),
        Some(_) => {}
    }
    match &*request.queue {
        "failed" => end(task::EndKind::Failed),
        "checkpointed" => end(task::EndKind::Checkpointed),
        "stopped" => end(task::EndKind::Stopped),
        "lapsed" => end(task::EndKind::Lapsed),
        "full" => CallerAnswer::Refused(
            Refusal::not_run(RefusalKind::NoRoom, "no room").with_retry_after(1_001),
        ),
        "lost" => CallerAnswer::Refused(Refusal::unknown(RefusalKind::WorkerLost, "worker lost")),
        "quote" | "swap" | "shuffle" => {
            let mut bytes = b"answer to ".to_vec();
            bytes.extend_from_slice(request.body.as_bytes());
            let end = task::TaskEnd { kind: task::EndKind::Done, body: body::Body::from(bytes) };
            CallerAnswer::Task { task: "task-7".into(), end }
        }
        _ => refuse(RefusalKind::UnknownQueue, "no such queue"),
    }
}
