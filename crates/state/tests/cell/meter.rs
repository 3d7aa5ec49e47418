//! Measures the cost of the reducers: the time by kind of event, and the bytes sent.

use std::collections;
use std::time;

use pier_core::{body, ids, task, wire};
use pier_state::{Effect, Event, State, event, message};

use super::framing;

/// The cost of one kind of event.
#[derive(Debug, Default, Clone, Copy)]
pub struct Cost {
    pub count: u64,
    pub total: time::Duration,
    pub longest: time::Duration,
}

/// The cost of one kind of traffic.
#[derive(Debug, Default, Clone, Copy)]
pub struct Traffic {
    pub count: u64,
    /// The bytes of the bodies; for calls without a body an estimate of the header.
    pub bytes: u64,
    /// The bytes of the bodies with what the connections add to them.
    pub wire_bytes: u64,
}

impl Traffic {
    pub fn add(&mut self, other: &Self) {
        self.count += other.count;
        self.bytes += other.bytes;
        self.wire_bytes += other.wire_bytes;
    }
}

/// The measurements over all hosts.
#[derive(Debug, Default)]
pub struct Meter {
    pub steps: collections::BTreeMap<&'static str, Cost>,
    pub sent: collections::BTreeMap<&'static str, Traffic>,
    durations: Vec<time::Duration>,
}

impl Meter {
    pub fn apply(
        &mut self,
        _host: usize,
        state: &mut State,
        now: time::Duration,
        event: Event,
    ) -> Vec<Effect> {
        let kind = event_kind(&event);
        let started = time::Instant::now();
        let effects = state.apply(now, event);
        let elapsed = started.elapsed();
        let cost = self.steps.entry(kind).or_default();
        cost.count += 1;
        cost.total += elapsed;
        cost.longest = cost.longest.max(elapsed);
        self.durations.push(elapsed);
        for effect in &effects {
            self.count(effect);
        }
        effects
    }

    fn count(&mut self, effect: &Effect) {
        match effect {
            Effect::SendPeer { message, .. } => {
                let bytes = json_len(message);
                self.record(message_kind(message), bytes, bytes + framing::PEER_MESSAGE_BYTES);
            }
            Effect::Append { bytes, .. } => {
                self.record("append", bytes.len(), bytes.len() + framing::LOG_APPEND_BYTES);
            }
            Effect::ReadLog { .. } => {
                self.record("read log", HEADER_BYTES, framing::LOG_READ_BYTES);
            }
            Effect::WorkerStart { start, .. } => {
                let bytes = json_len(&**start).saturating_sub(start.payload.len());
                self.record_call("worker start", bytes, bytes);
            }
            Effect::WorkerRenew { renew, .. } => {
                let bytes = json_len(renew);
                self.record_call("worker renew", bytes, bytes);
            }
            Effect::WorkerPreempt { token, .. } => {
                let body = json_len(&wire::Fence { token: *token });
                self.record_call("worker yield", HEADER_BYTES, body);
            }
            Effect::WorkerFence { token, .. } => {
                let body = json_len(&wire::Fence { token: *token });
                self.record_call("worker fence", HEADER_BYTES, body);
            }
            Effect::WorkerReport { .. } => self.record_call("worker report", HEADER_BYTES, 0),
            _ => {}
        }
    }

    /// Counts the bytes of an answer of a worker or the log.
    pub fn count_answer(&mut self, event: &Event) {
        let (kind, bytes) = match event {
            Event::Worker(event::WorkerEvent::Report { report, .. }) => {
                ("answer: report", json_len(report))
            }
            Event::Worker(event::WorkerEvent::Renewed { answer, .. }) => {
                ("answer: renewal", json_len(answer))
            }
            Event::Worker(event::WorkerEvent::Fenced { tasks, .. }) => {
                ("answer: fence", json_len(tasks))
            }
            Event::Worker(event::WorkerEvent::Started { task, attempt, .. }) => {
                let (task, attempt) = (task.clone(), *attempt);
                ("answer: start", json_len(&wire::TaskStarted { task, attempt, started: true }))
            }
            Event::Worker(event::WorkerEvent::Answered { task, attempt, end, .. }) => {
                ("answer: start", answer_len(task, *attempt, end))
            }
            Event::Log(event::LogEvent::Read { page, .. }) => ("answer: log", json_len(page)),
            // The list is read by a conditional request, and it does not change.
            Event::HostList(Some(_)) => {
                self.record("host list", 2 * HEADER_BYTES, framing::HOST_LIST_BYTES);
                return;
            }
            _ => return,
        };
        self.record(kind, bytes, bytes);
    }

    /// Counts a call to a worker.
    fn record_call(&mut self, kind: &'static str, bytes: usize, body: usize) {
        self.record(kind, bytes, body + framing::WORKER_CALL_BYTES);
    }

    fn record(&mut self, kind: &'static str, bytes: usize, wire_bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let wire_bytes = u64::try_from(wire_bytes).unwrap_or(u64::MAX);
        self.sent.entry(kind).or_default().add(&Traffic { count: 1, bytes, wire_bytes });
    }

    /// The traffic of all kinds together.
    pub fn total_sent(&self) -> Traffic {
        let mut total = Traffic::default();
        for traffic in self.sent.values() {
            total.add(traffic);
        }
        total
    }

    /// The duration below which `per_mille` of all steps stay.
    pub fn percentile(&mut self, per_mille: usize) -> time::Duration {
        self.durations.sort();
        let index = self.durations.len().saturating_sub(1) * per_mille / 1_000;
        self.durations.get(index).copied().unwrap_or_default()
    }

    pub fn total(&self) -> time::Duration {
        self.steps.values().map(|cost| cost.total).sum()
    }
}

/// An estimate of the bytes of a request line and its headers.
const HEADER_BYTES: usize = 150;

fn json_len<T: serde::Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}

/// The bytes of a worker's answer to a request without the payload.
fn answer_len(task: &ids::TaskId, attempt: ids::Attempt, end: &task::TaskEnd) -> usize {
    let (task, body) = (task.clone(), body::Body::default());
    json_len(&wire::TaskAnswer { task, attempt, outcome: end.kind, body })
}

fn event_kind(event: &Event) -> &'static str {
    match event {
        Event::Tick => "tick",
        Event::Log(_) => "log",
        Event::HostList(_) => "host list",
        Event::Peer { message, .. } => message_kind(message),
        Event::Caller(_) => "caller",
        Event::Operator(_) => "operator",
        Event::Worker(event::WorkerEvent::Report { .. }) => "worker report",
        Event::Worker(_) => "worker",
        Event::Shutdown => "shutdown",
    }
}

fn message_kind(message: &message::Message) -> &'static str {
    match message {
        message::Message::Control(message::ControlMessage::Heartbeat { .. }) => "heartbeat",
        message::Message::Control(message::ControlMessage::HeartbeatReply { .. }) => {
            "heartbeat reply"
        }
        message::Message::Control(_) => "control",
        message::Message::Place(message::PlaceMessage::Keep { .. }) => "keep",
        message::Message::Place(message::PlaceMessage::Held { .. }) => "held",
        message::Message::Place(_) => "place",
        message::Message::Limit(_) => "limit",
        message::Message::Job(_) => "job",
        message::Message::Dedupe(_) => "dedupe",
    }
}
