//! A front with a small control thread that answers by the name of the queue.

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

/// The key that the control thread knows.
pub const KEY: &str = "team-a-key";
/// The time after which a test gives up on an answer.
pub const PATIENCE: time::Duration = time::Duration::from_secs(10);

/// The number of requests that are answered in reverse order.
const SHUFFLE_GROUP: usize = 7;
const SHUFFLE_SILENCE: time::Duration = time::Duration::from_millis(5);

/// A front and its control thread.
pub struct Bench {
    pub front: CallerServer,
    pub gone: flume::Receiver<u64>,
    pub seen: flume::Receiver<CallerRequest>,
    pub runtime: tokio::runtime::Runtime,
}

impl Bench {
    pub fn start(options: Options) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime");
        let (events, incoming) = flume::unbounded();
        let address = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let clock = sync::Arc::new(clock::SystemClock::start());
        let front = {
            let _entered = runtime.enter();
            CallerServer::spawn(address, options, clock, events, Metrics::new())
                .expect("a free port")
        };
        let (gone_sender, gone) = flume::unbounded();
        let (seen_sender, seen) = flume::unbounded();
        let answering = front.clone();
        thread::spawn(move || control(&answering, &incoming, &gone_sender, &seen_sender));
        Self { front, gone, seen, runtime }
    }

    pub fn connect(&self) -> net::TcpStream {
        let stream = net::TcpStream::connect(self.front.address()).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        stream
    }

    /// Sends the text on a new connection and reads one response.
    pub fn ask(&self, text: &str) -> Response {
        let mut stream = self.connect();
        stream.write_all(text.as_bytes()).expect("the request is sent");
        Response::read(&mut stream).expect("a response")
    }
}

/// A response of the front.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Response {
    /// Reads a response. None if the connection ends before its head does.
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

/// A request for an answer, with further header lines.
pub fn request(queue: &str, headers: &str, body: &str) -> String {
    format!(
        "POST /v1/queues/{queue}/tasks HTTP/1.1\r\nhost: pier\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
}

/// Waits until `holds` or the patience ends.
pub fn eventually(mut holds: impl FnMut() -> bool) -> bool {
    let end = time::Instant::now() + PATIENCE;
    while time::Instant::now() < end {
        if holds() {
            return true;
        }
        thread::sleep(time::Duration::from_millis(5));
    }
    false
}

fn control(
    front: &CallerServer,
    incoming: &flume::Receiver<Event>,
    gone: &flume::Sender<u64>,
    seen: &flume::Sender<CallerRequest>,
) {
    let mut held = Vec::new();
    let mut shuffled: Vec<(u64, CallerRequest)> = Vec::new();
    loop {
        // Requests of the queue `shuffle` are answered in groups, the latest first. A group ends
        // when it is full or nothing has come for a while, so that none waits for a partner.
        let next = match incoming.recv_timeout(SHUFFLE_SILENCE) {
            Ok(event) => Some(event),
            Err(flume::RecvTimeoutError::Timeout) => None,
            Err(flume::RecvTimeoutError::Disconnected) => return,
        };
        if next.is_none() || shuffled.len() >= SHUFFLE_GROUP {
            for (ticket, request) in shuffled.drain(..).rev() {
                front.answer(ticket, answer(&request));
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
                let _ = seen.send(request.clone());
                match &*request.queue {
                    "hold" => continue,
                    "shuffle" => shuffled.push((ticket, request)),
                    // Answers pairs of requests, the later one first.
                    "swap" => {
                        held.push((ticket, request));
                        if held.len() == 2 {
                            for (ticket, request) in held.drain(..).rev() {
                                front.answer(ticket, answer(&request));
                            }
                        }
                    }
                    _ => front.answer(ticket, answer(&request)),
                }
            }
            CallerEvent::Gone { ticket } => {
                let _ = gone.send(ticket);
            }
            CallerEvent::SubmitJob { ticket, request, .. } => {
                front.answer(ticket, CallerAnswer::Job(job("job-1", request.tasks)));
            }
            CallerEvent::QueryJob { ticket, job: id, .. }
            | CallerEvent::CancelJob { ticket, job: id, .. } => {
                let answer = if &*id == "job-1" {
                    CallerAnswer::Job(job(&id, 1))
                } else {
                    CallerAnswer::Refused(Refusal::not_run(RefusalKind::UnknownJob, "no such job"))
                };
                front.answer(ticket, answer);
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
