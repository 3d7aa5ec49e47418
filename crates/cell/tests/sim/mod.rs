//! A single-threaded simulation of hosts, a store and workers, with seeded faults and checks of the
//! cell's guarantees.

#![allow(dead_code, reason = "each test uses only a part of the simulation")]

pub mod store;
pub mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::sync;
use std::time;

use pier_cell::declaration::{Account, Declaration, Queue};
use pier_cell::effect::{
    CallerResponse, Effect, StartRequest, Target, WorkerCall, WorkerOperation,
};
use pier_cell::event::{
    AppendResponse, CallerRequest, Event, Operation, OperatorRecord, PollResponse, ReadResponse,
    StartResponse, WorkerRecord, WorkerReply, WorkerResponse,
};
use pier_cell::follower::{Read, ReadError, Topic};
use pier_cell::host::{Host, HostIdentity};
use pier_cell::job::{JobSpec, JobState, Step, TaskRef};
use pier_cell::options::Options;
use pier_cell::peer::{Advice, Message, PeerInfo};
use pier_cell::run::EndKind;
use pier_cell::worker::WorkerInfo;
use pier_core::ids;
use pier_core::resources::Resources;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use store::cell_record;
use worker::SimWorker;

/// The wall clock at the start of a simulation.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// The longest key of a record: its length is stored in one byte.
const MAX_KEY_BYTES: usize = 255;
/// The delay of the transport before it connects again, in milliseconds.
const RECONNECT_DELAY_MS: u64 = 150;
/// One-way network delays, in milliseconds.
const NETWORK_DELAY_MS: std::ops::Range<u64> = 1..3;

/// A host's process and the faults that are injected into it.
pub struct SimHost {
    pub name: String,
    pub process: Option<Host>,
    pub process_number: u64,
    /// The process is paused until then.
    pub paused_until_ms: u64,
    pub is_store_unreachable: bool,
    /// The store refuses the host's appends at once.
    pub is_refused_by_store: bool,
    pub connected_to: Option<usize>,
    /// The host to which the transport keeps a connection.
    connection_target: Option<usize>,
    pub core_permille: u32,
    /// Issues the tickets of the callers' requests to the process.
    tickets: ids::TicketSequence,
    wake_at_ms: u64,
}

/// A caller's request: the host's process, and the ticket that it has there.
type RequestKey = (u64, ids::Ticket);

/// A read that waits for a new record.
struct WaitingRead {
    host: usize,
    process_number: u64,
    topic: Topic,
    offset: u64,
    until_ms: u64,
}

enum Scheduled {
    /// The delivery of an event to a host's process.
    Event { host: usize, process_number: u64, event: Box<Event> },
    /// The execution of an effect.
    Effect { host: usize, process_number: u64, effect: Box<Effect> },
    /// The transport's attempt to connect a host again.
    Reconnect { host: usize, process_number: u64, to: usize },
    /// A delayed start, which has an effect if the worker is still in the same incarnation.
    DelayedStart { incarnation: u64, target: Target, request: Box<StartRequest> },
}

/// The violations of the cell's guarantees, the responses to callers, and counts of calls.
#[derive(Debug, Default)]
pub struct Observations {
    pub violations: Vec<String>,
    pub accepted: BTreeSet<String>,
    pub rejected: BTreeSet<String>,
    pub unknown_outcomes: BTreeSet<String>,
    pub responses: BTreeMap<String, CallerResponse>,
    pub starts: u64,
    pub start_times_ms: Vec<u64>,
    pub claims: u64,
    pub advice_requests_by_host: BTreeMap<usize, u64>,
    pub worker_calls_by_host: BTreeMap<usize, u64>,
    pub cell_reads_by_host: BTreeMap<usize, u64>,
    /// The number of messages between hosts.
    pub messages: u64,
    last_start_ms: BTreeMap<TaskRef, u64>,
    done: BTreeSet<TaskRef>,
}

/// A cell in simulated time.
pub struct Sim {
    pub now_ms: u64,
    pub rng: StdRng,
    pub hosts: Vec<SimHost>,
    pub workers: BTreeMap<String, SimWorker>,
    /// Workers that no host can reach.
    pub unreachable_workers: BTreeSet<String>,
    /// Pairs of a host and a worker that cannot reach each other.
    pub unreachable_pairs: BTreeSet<(usize, String)>,
    /// The options of hosts that are started.
    pub options: Options,
    pub cell: store::Topic<Vec<u8>>,
    pub deciders: store::Topic<Vec<u8>>,
    pub operators: store::Topic<OperatorRecord>,
    pub worker_list: store::Topic<WorkerInfo>,
    pub is_store_down: bool,
    /// Added to the delay of the response to an append.
    pub append_response_ms: u64,
    /// The one-way delays to the store, in milliseconds.
    pub store_ms: std::ops::Range<u64>,
    /// The percentage of appends whose response is lost.
    pub lost_appends_percent: u32,
    /// The percentage of starts that get no response and are carried out seconds later.
    pub delayed_starts_percent: u32,
    pub run_ms: u64,
    pub advice_ms: u64,
    pub observed: Observations,
    /// The real time that each step of a decider took.
    pub step_durations: Vec<time::Duration>,
    pub declaration: Declaration,
    specs: BTreeMap<String, sync::Arc<JobSpec>>,
    queue: BTreeMap<(u64, u64), Scheduled>,
    next_due: u64,
    next_process: u64,
    pending_submissions: BTreeMap<RequestKey, String>,
    query_responses: BTreeMap<RequestKey, CallerResponse>,
    waiting_reads: Vec<WaitingRead>,
}

pub fn cores(count: u64) -> Resources {
    Resources { cpu_milli: count * 1_000, memory_mb: count * 1_000, ..Resources::ZERO }
}

pub fn queue(name: &str, priority: u32, attempts: u32) -> Queue {
    Queue {
        name: name.into(),
        host: "cell.example".into(),
        path_prefix: format!("/{name}/").into(),
        service: "pool".into(),
        priority,
        max_attempts: attempts,
        slack_factor: 2.0,
        target_latency: time::Duration::from_secs(1),
        advice: None,
        is_public: false,
    }
}

pub fn account(name: &str, key: &str, cap: Resources) -> Account {
    Account { name: name.into(), keys: vec![key.into()], weight: 1, cap }
}

impl Sim {
    pub fn new(seed: u64, hosts: usize, workers: usize) -> Self {
        Self::with_options(seed, hosts, workers, Options::default())
    }

    pub fn with_options(seed: u64, hosts: usize, workers: usize, options: Options) -> Self {
        let unlimited = account("team", "key", Resources::MAX);
        let queues = vec![queue("urgent", 0, 3), queue("batch", 1, 3)];
        let declaration = Declaration::new(1, queues, vec![unlimited], 100_000);
        let mut sim = Self {
            now_ms: 0,
            rng: StdRng::seed_from_u64(seed),
            hosts: Vec::new(),
            workers: BTreeMap::new(),
            unreachable_workers: BTreeSet::new(),
            unreachable_pairs: BTreeSet::new(),
            options,
            cell: store::Topic::new(),
            deciders: store::Topic::new(),
            operators: store::Topic::new(),
            worker_list: store::Topic::new(),
            is_store_down: false,
            append_response_ms: 0,
            store_ms: 2..8,
            lost_appends_percent: 0,
            delayed_starts_percent: 0,
            run_ms: 800,
            advice_ms: 10,
            observed: Observations::default(),
            step_durations: Vec::new(),
            declaration: declaration.clone(),
            specs: BTreeMap::new(),
            queue: BTreeMap::new(),
            next_due: 0,
            next_process: 0,
            pending_submissions: BTreeMap::new(),
            query_responses: BTreeMap::new(),
            waiting_reads: Vec::new(),
        };
        sim.declare(declaration);
        for index in 0..workers {
            sim.add_worker(&format!("w{index}"), if index % 2 == 0 { "north" } else { "south" });
        }
        for index in 0..hosts {
            sim.hosts.push(SimHost {
                name: format!("h{index}"),
                process: None,
                process_number: 0,
                paused_until_ms: 0,
                is_store_unreachable: false,
                is_refused_by_store: false,
                connected_to: None,
                connection_target: None,
                core_permille: 250,
                tickets: ids::TicketSequence::new(0),
                wake_at_ms: 0,
            });
            sim.start_host(index);
        }
        sim
    }

    pub fn declare(&mut self, declaration: Declaration) {
        self.declaration = declaration.clone();
        let record = OperatorRecord::Declaration(sync::Arc::new(declaration));
        self.operators.push("config", Some(record));
    }

    pub fn add_worker(&mut self, id: &str, zone: &str) {
        let worker = SimWorker::new(id, self.now_ms, zone, cores(16));
        self.list_worker(&worker, false);
        self.workers.insert(id.to_owned(), worker);
    }

    fn list_worker(&mut self, worker: &SimWorker, is_draining: bool) {
        let entry = WorkerInfo {
            id: worker.id.as_str().into(),
            address: worker.id.as_str().into(),
            service: "pool".into(),
            zone: worker.zone.as_str().into(),
            incarnation: worker.incarnation,
            labels: vec!["kind".into(), "rack".into()],
            capacity: worker.capacity,
            is_draining,
            remaining: None,
        };
        self.worker_list.push(&worker.id, Some(entry));
    }

    /// Crashes a worker: it loses its state and is removed from the worker list.
    pub fn crash_worker(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_up = false;
            worker.running.clear();
        }
        self.worker_list.push(id, None);
    }

    /// Restarts a crashed worker under the same id.
    pub fn revive_worker(&mut self, id: &str) {
        let zone = self.workers[id].zone.clone();
        self.add_worker(id, &zone);
    }

    pub fn start_host(&mut self, index: usize) {
        self.next_process += 1;
        let identity = HostIdentity {
            host: self.hosts[index].name.as_str().into(),
            address: index.to_string().into(),
            incarnation: incarnation(self.next_process),
            core_permille: self.hosts[index].core_permille,
        };
        let host = &mut self.hosts[index];
        host.tickets = ids::TicketSequence::new(identity.incarnation);
        host.process = Some(Host::new(identity, self.options.clone()));
        host.process_number = self.next_process;
        host.wake_at_ms = self.now_ms;
        host.connected_to = None;
        host.connection_target = None;
    }

    pub fn kill_host(&mut self, index: usize) {
        self.hosts[index].process = None;
        self.hosts[index].connected_to = None;
        for other in 0..self.hosts.len() {
            if self.hosts[other].connected_to == Some(index) {
                self.break_connection(other);
            }
        }
        for other in 0..self.hosts.len() {
            let disconnected =
                Event::PeerDisconnected { host: self.hosts[index].name.as_str().into() };
            self.send_event(other, 1, disconnected);
        }
    }

    /// Breaks the host's connection to the decider. The host reconnects after a delay.
    pub fn break_connection(&mut self, index: usize) {
        if let Some(to) = self.hosts[index].connected_to {
            self.disconnect(index);
            self.reconnect_later(index, to);
        }
    }

    fn reconnect_later(&mut self, host: usize, to: usize) {
        let process_number = self.hosts[host].process_number;
        self.push(RECONNECT_DELAY_MS, Scheduled::Reconnect { host, process_number, to });
    }

    fn disconnect(&mut self, index: usize) {
        if let Some(other) = self.hosts[index].connected_to.take() {
            let disconnected =
                Event::PeerDisconnected { host: self.hosts[other].name.as_str().into() };
            self.send_event(index, 1, disconnected);
            let disconnected =
                Event::PeerDisconnected { host: self.hosts[index].name.as_str().into() };
            self.send_event(other, 1, disconnected);
        }
    }

    pub fn decider(&self) -> Option<usize> {
        self.hosts.iter().position(|host| host.process.as_ref().is_some_and(Host::is_decider))
    }

    fn push(&mut self, after_ms: u64, due: Scheduled) {
        self.next_due += 1;
        self.queue.insert((self.now_ms + after_ms, self.next_due), due);
    }

    fn send_event(&mut self, host: usize, after_ms: u64, event: Event) {
        let process_number = self.hosts[host].process_number;
        self.push(after_ms, Scheduled::Event { host, process_number, event: Box::new(event) });
    }

    fn delay(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    /// Sends a caller's request to a host's process.
    fn request(&mut self, host: usize, queue: &str, id: &str, operation: Operation) -> RequestKey {
        let request = CallerRequest {
            host: "cell.example".to_owned(),
            path: format!("/{queue}/{id}"),
            key: Some("key".to_owned()),
            timeout: None,
            operation,
        };
        let ticket = self.hosts[host].tickets.issue();
        let key = (self.hosts[host].process_number, ticket);
        self.send_event(host, 1, Event::CallerRequest { ticket, request: Box::new(request) });
        key
    }

    /// Submits a job at a host.
    pub fn submit(&mut self, host: usize, id: &str, queue: &str, steps: Vec<Step>) {
        let spec = JobSpec {
            id: id.into(),
            queue: queue.into(),
            account: None,
            payload: "text".into(),
            steps,
        };
        self.specs.insert(id.to_owned(), sync::Arc::new(spec.clone()));
        let key = self.request(host, queue, id, Operation::Submit(Ok(Box::new(spec))));
        self.pending_submissions.insert(key, id.to_owned());
    }

    /// Returns a host's response to a query for a job's state.
    pub fn show(&mut self, host: usize, id: &str, queue: &str) -> Option<CallerResponse> {
        let key = self.request(host, queue, id, Operation::Show);
        self.run_for(10);
        self.query_responses.remove(&key)
    }

    pub fn cancel(&mut self, host: usize, id: &str, queue: &str) {
        self.request(host, queue, id, Operation::Cancel);
    }

    /// Cancels a job and returns the response that arrives within this time.
    pub fn cancel_for(
        &mut self,
        host: usize,
        id: &str,
        queue: &str,
        millis: u64,
    ) -> Option<CallerResponse> {
        let key = self.request(host, queue, id, Operation::Cancel);
        self.run_for(millis);
        self.query_responses.remove(&key)
    }

    /// Returns the host that the newest claim in the log names.
    pub fn logged_decider(&self) -> Option<usize> {
        let claim = self.stored_cell_state().decider?.claim;
        self.hosts.iter().position(|host| *host.name == *claim.host)
    }

    /// Returns a job's state according to the newest records of the log.
    pub fn stored_state(&self, id: &str) -> Option<JobState> {
        self.stored_cell_state().job_state(id)
    }

    fn stored_cell_state(&self) -> pier_cell::cell_state::CellState {
        let mut cell_state = pier_cell::cell_state::CellState::default();
        let mut after: Option<String> = None;
        loop {
            let page = self.cell.page(after.as_deref(), cell_record);
            for (offset, record) in &page.items {
                cell_state.apply(*offset, record);
            }
            match page.next_after {
                Some(next) => after = Some(next),
                None => return cell_state,
            }
        }
    }

    /// Runs the simulation for this time.
    pub fn run_for(&mut self, millis: u64) {
        let until_ms = self.now_ms + millis;
        while self.now_ms < until_ms {
            self.step();
            self.now_ms += 1;
        }
    }

    fn step(&mut self) {
        self.advance_workers();
        self.complete_waiting_reads();
        while let Some((&key, _)) = self.queue.range(..=(self.now_ms, u64::MAX)).next() {
            let Some(due) = self.queue.remove(&key) else {
                break;
            };
            match due {
                Scheduled::Event { host, process_number, event } => {
                    self.deliver(host, process_number, *event)
                }
                Scheduled::Effect { host, process_number, effect } => {
                    self.perform(host, process_number, *effect)
                }
                Scheduled::Reconnect { host, process_number, to } => {
                    let state = &self.hosts[host];
                    if state.process_number == process_number && state.connection_target == Some(to)
                    {
                        self.open_connection(host, to);
                    }
                }
                Scheduled::DelayedStart { incarnation, target, request } => {
                    if self
                        .workers
                        .get(&*target.worker)
                        .is_some_and(|worker| worker.incarnation == incarnation)
                    {
                        self.start(&target.worker, target.token, &request);
                    }
                }
            }
        }
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            if host.process.is_some()
                && host.wake_at_ms <= self.now_ms
                && host.paused_until_ms <= self.now_ms
            {
                self.apply(index, Event::Tick);
            }
        }
    }

    fn deliver(&mut self, host: usize, process_number: u64, event: Event) {
        if self.hosts[host].process_number != process_number || self.hosts[host].process.is_none() {
            return;
        }
        let paused_until_ms = self.hosts[host].paused_until_ms;
        if paused_until_ms > self.now_ms {
            let after = paused_until_ms - self.now_ms;
            self.push(after, Scheduled::Event { host, process_number, event: Box::new(event) });
            return;
        }
        self.apply(host, event);
    }

    fn apply(&mut self, index: usize, event: Event) {
        let now = time::Duration::from_millis(self.now_ms);
        let host = &mut self.hosts[index];
        let Some(process) = &mut host.process else {
            return;
        };
        let span = tracing::info_span!("host", host = %host.name, at_ms = self.now_ms);
        let began = time::Instant::now();
        let effects = span.in_scope(|| process.apply(now, EPOCH_MS + self.now_ms, event));
        if process.is_decider() {
            self.step_durations.push(began.elapsed());
        }
        let sleep = process.time_until_due(now).max(time::Duration::from_millis(1));
        host.wake_at_ms = self.now_ms + u64::try_from(sleep.as_millis()).unwrap_or(1).max(1);
        let process_number = host.process_number;
        for effect in effects {
            let range = match &effect {
                Effect::Read { .. } | Effect::Append { .. } => self.store_ms.clone(),
                _ => NETWORK_DELAY_MS,
            };
            let after = self.delay(range);
            self.push(
                after,
                Scheduled::Effect { host: index, process_number, effect: Box::new(effect) },
            );
        }
    }

    fn check_sizes(&mut self, records: &[pier_cell::record::Record]) {
        let mut bytes = 0;
        for record in records {
            bytes += 4 + record.stored_bytes();
            let is_too_long = record.stored_bytes() > self.options.max_record_bytes;
            if is_too_long || record.key.len() > MAX_KEY_BYTES {
                self.observed
                    .violations
                    .push(format!("the record of {:.80} is too long", record.key));
            }
        }
        if bytes > self.options.max_append_bytes {
            self.observed.violations.push(format!("an append of {bytes} bytes"));
        }
    }

    fn perform(&mut self, host: usize, process_number: u64, effect: Effect) {
        if self.hosts[host].process_number != process_number {
            return;
        }
        match effect {
            Effect::Read { topic, read, timeout } => self.read(host, topic, read, timeout),
            Effect::Append { ticket, .. } if self.hosts[host].is_refused_by_store => {
                let response = AppendResponse::Refused;
                self.send_event(host, 5, Event::Appended { ticket, response });
            }
            Effect::Append { ticket, at, records, timeout } => {
                if self.is_store_down || self.hosts[host].is_store_unreachable {
                    let after = u64::try_from(timeout.as_millis()).unwrap_or_default();
                    let response = AppendResponse::NoAnswer;
                    self.send_event(host, after, Event::Appended { ticket, response });
                    return;
                }
                self.check_sizes(&records);
                if records.iter().any(|record| record.key == "decider") {
                    self.observed.claims += 1;
                }
                let response = self.cell.append(at, &records);
                let is_lost = self.rng.random_range(0..100) < self.lost_appends_percent;
                if is_lost {
                    let response = AppendResponse::NoAnswer;
                    self.send_event(host, 1_000, Event::Appended { ticket, response });
                } else {
                    let after = self.delay(self.store_ms.clone()) + self.append_response_ms;
                    self.send_event(host, after, Event::Appended { ticket, response });
                }
            }
            Effect::Announce { record, timeout } => {
                let is_stored = !self.is_store_down && !self.hosts[host].is_store_unreachable;
                if is_stored {
                    self.deciders.push(&record.key, record.value);
                }
                let millis = u64::try_from(timeout.as_millis()).unwrap_or_default();
                let after = if is_stored { self.delay(self.store_ms.clone()) } else { millis };
                self.send_event(host, after, Event::Announced { is_stored });
            }
            Effect::CallWorker(call) => self.call_worker(host, *call),
            Effect::RequestAdvice(request) => {
                *self.observed.advice_requests_by_host.entry(host).or_default() += 1;
                let mut eligible = Vec::new();
                for worker in &request.workers {
                    // Two of every three workers may run any step.
                    if worker.as_bytes().last().is_some_and(|digit| digit % 3 != 0) {
                        eligible.push((worker.clone(), "ticket".to_owned()));
                    }
                }
                let advice = Some(Advice { eligible, valid_ms: 1_500 });
                let after = self.advice_ms;
                self.send_event(
                    host,
                    after,
                    Event::AdviceResponse { ticket: request.ticket, advice },
                );
            }
            Effect::Connect { decider } => self.connect(host, decider),
            Effect::Send { to, message } => self.send(host, &to, message),
            Effect::Respond { ticket, response } => {
                self.record_response((process_number, ticket), &response);
            }
            Effect::SetReady(_) => {}
        }
    }

    fn call_worker(&mut self, host: usize, call: WorkerCall) {
        let WorkerCall { target, timeout_ms, operation } = call;
        let (worker, token) = (target.worker.clone(), target.token);
        if self.unreachable_pairs.contains(&(host, worker.to_string())) {
            let response = no_response(&operation);
            let reply = Box::new(WorkerReply { worker, token, response });
            self.send_event(host, timeout_ms, Event::WorkerReply(reply));
            return;
        }
        let (after, response) = match operation {
            WorkerOperation::Start(request) => {
                let (task, number) = (request.task.clone(), request.number);
                let is_late = self.rng.random_range(0..100) < self.delayed_starts_percent;
                if is_late {
                    let after = self.rng.random_range(2_000..8_000);
                    let incarnation =
                        self.workers.get(&*worker).map_or(0, |worker| worker.incarnation);
                    let request = Box::new(request);
                    self.push(after, Scheduled::DelayedStart { incarnation, target, request });
                    let response = StartResponse::NoAnswer;
                    (timeout_ms, WorkerResponse::Start { task, number, response })
                } else {
                    let response = self.start(&worker, token, &request);
                    let is_lost = response == StartResponse::NoAnswer;
                    let after = if is_lost { timeout_ms } else { self.delay(NETWORK_DELAY_MS) };
                    (after, WorkerResponse::Start { task, number, response })
                }
            }
            WorkerOperation::Stop { task, number } => {
                let is_acknowledged = match self.reachable_worker(&worker) {
                    Some(worker) => worker.stop(token, &task, number),
                    None => false,
                };
                let after = if is_acknowledged { 2 } else { timeout_ms };
                (after, WorkerResponse::Stop { task, number, is_acknowledged })
            }
            WorkerOperation::Poll { sent_at, ends_stored, lease_until_ms, wait_ms } => {
                let now_ms = self.now_ms;
                let response = match self.reachable_worker(&worker) {
                    Some(worker) => worker.poll(now_ms, token, ends_stored, lease_until_ms),
                    None => PollResponse::NoAnswer,
                };
                let is_quiet = matches!(
                    &response,
                    PollResponse::Report { ended, .. } if ended.is_empty()
                );
                let after = match response {
                    PollResponse::NoAnswer => timeout_ms,
                    // A fixed short wait, in place of one until the next end.
                    _ if is_quiet && wait_ms > 0 => 20,
                    _ => 2,
                };
                (after, WorkerResponse::Poll { sent_at, response })
            }
        };
        let reply = Box::new(WorkerReply { worker, token, response });
        self.observed.worker_calls_by_host.entry(host).and_modify(|calls| *calls += 1).or_insert(1);
        self.send_event(host, after, Event::WorkerReply(reply));
    }

    fn reachable_worker(&mut self, id: &str) -> Option<&mut SimWorker> {
        if self.unreachable_workers.contains(id) {
            return None;
        }
        self.workers.get_mut(id).filter(|worker| worker.is_up)
    }

    fn start(&mut self, id: &str, token: u64, request: &StartRequest) -> StartResponse {
        let now_ms = self.now_ms;
        let run_ms = self.rng.random_range(self.run_ms / 2..self.run_ms * 3 / 2);
        let kind = if self.rng.random_range(0..100) < 2 { EndKind::Failed } else { EndKind::Done };
        let Some(spec) = self.specs.get(&*request.task.job).cloned() else {
            self.observed
                .violations
                .push(format!("started {:?}, which nobody submitted", request.task));
            return StartResponse::NoAnswer;
        };
        let need = spec.steps[request.task.step].need;
        let Some(worker) = self.reachable_worker(id) else {
            return StartResponse::NoAnswer;
        };
        let was_running = worker.running.contains_key(&request.task);
        let response = worker.start(
            now_ms,
            token,
            &request.task,
            request.number,
            request.lease_until_ms,
            run_ms,
            kind,
            need,
        );
        if !was_running && matches!(response, StartResponse::Started { .. }) {
            let is_over_capacity = !worker.used().fits_in(&worker.capacity);
            let id = id.to_owned();
            self.record_start(&id, &request.task, is_over_capacity);
        }
        response
    }

    fn record_start(&mut self, id: &str, task: &TaskRef, is_over_capacity: bool) {
        self.observed.starts += 1;
        self.observed.start_times_ms.push(self.now_ms);
        self.observed.last_start_ms.insert(task.clone(), self.now_ms);
        if is_over_capacity {
            self.observed.violations.push(format!("{} ms: {id} is over its capacity", self.now_ms));
        }
        if self.observed.done.contains(task) {
            self.observed
                .violations
                .push(format!("{} ms: {task:?} started after done", self.now_ms));
        }
        let is_running_elsewhere = self
            .workers
            .values()
            .filter(|worker| worker.is_up && worker.id != id)
            .any(|worker| worker.running.contains_key(task));
        if is_running_elsewhere {
            self.observed.violations.push(format!("{} ms: {task:?} runs twice", self.now_ms));
        }
    }

    fn advance_workers(&mut self) {
        let now_ms = self.now_ms;
        for worker in self.workers.values_mut() {
            worker.advance(now_ms);
            for (task, done_at_ms) in worker.acknowledged.drain(..) {
                let started_at_ms = self.observed.last_start_ms.get(&task).copied().unwrap_or(0);
                if started_at_ms > done_at_ms {
                    let broken = format!("{started_at_ms} ms: {task:?} started after done");
                    self.observed.violations.push(broken);
                }
                self.observed.done.insert(task);
            }
        }
    }

    fn connect(&mut self, host: usize, decider: Option<(ids::HostId, sync::Arc<str>)>) {
        self.disconnect(host);
        let to = decider.and_then(|(_, address)| address.parse::<usize>().ok());
        self.hosts[host].connection_target = to;
        if let Some(to) = to {
            self.open_connection(host, to);
        }
    }

    fn open_connection(&mut self, host: usize, to: usize) {
        if self.hosts[host].connected_to.is_some() {
            return;
        }
        if self.hosts[to].process.is_none() {
            self.reconnect_later(host, to);
            return;
        }
        self.hosts[host].connected_to = Some(to);
        for (a, b) in [(host, to), (to, host)] {
            let from: ids::HostId = self.hosts[b].name.as_str().into();
            let zone = if b % 2 == 0 { "north" } else { "south" };
            let core_permille = self.hosts[b].core_permille;
            let incarnation = incarnation(self.hosts[b].process_number);
            let info =
                PeerInfo { host: from.clone(), incarnation, zone: zone.into(), core_permille };
            let message = Message::Hello(info);
            self.send_event(a, 2, Event::PeerMessage { from, message });
        }
    }

    fn send(&mut self, host: usize, to: &str, message: Message) {
        let Some(index) = self.hosts.iter().position(|other| other.name == to) else {
            return;
        };
        let is_connected = self.hosts[host].connected_to == Some(index)
            || self.hosts[index].connected_to == Some(host);
        if is_connected {
            self.observed.messages += 1;
            let from = self.hosts[host].name.as_str().into();
            self.send_event(index, 1, Event::PeerMessage { from, message });
        }
    }

    fn record_response(&mut self, key: RequestKey, response: &CallerResponse) {
        let Some(id) = self.pending_submissions.remove(&key) else {
            self.query_responses.insert(key, response.clone());
            return;
        };
        self.observed.responses.insert(id.clone(), response.clone());
        let outcomes = match response {
            CallerResponse::Accepted => &mut self.observed.accepted,
            CallerResponse::OutcomeUnknown => &mut self.observed.unknown_outcomes,
            _ => &mut self.observed.rejected,
        };
        outcomes.insert(id);
    }

    fn read(&mut self, host: usize, topic: Topic, read: Read, timeout: time::Duration) {
        if topic == Topic::Cell {
            *self.observed.cell_reads_by_host.entry(host).or_default() += 1;
        }
        if self.is_store_down || self.hosts[host].is_store_unreachable {
            let after = u64::try_from(timeout.as_millis()).unwrap_or_default();
            let event = match topic {
                Topic::Cell => Event::CellRead(ReadResponse::Failed(ReadError::NoAnswer)),
                Topic::Deciders => Event::DecidersRead(ReadResponse::Failed(ReadError::NoAnswer)),
                Topic::Operators => Event::OperatorsRead(ReadResponse::Failed(ReadError::NoAnswer)),
                Topic::Workers => Event::WorkersRead(ReadResponse::Failed(ReadError::NoAnswer)),
            };
            self.send_event(host, after, event);
            return;
        }
        match read {
            Read::Newest { after } => {
                let after = after.as_deref();
                let event = match topic {
                    Topic::Cell => {
                        Event::CellRead(ReadResponse::Page(self.cell.page(after, cell_record)))
                    }
                    Topic::Deciders => Event::DecidersRead(ReadResponse::Page(
                        self.deciders.page(after, cell_record),
                    )),
                    Topic::Operators => Event::OperatorsRead(ReadResponse::Page(
                        self.operators.page(after, |_, value| operator_record(value)),
                    )),
                    Topic::Workers => Event::WorkersRead(ReadResponse::Page(
                        self.worker_list.page(after, worker_record),
                    )),
                };
                let delay = self.delay(self.store_ms.clone());
                self.send_event(host, delay, event);
            }
            Read::From { offset, wait } => {
                let until_ms = self.now_ms + u64::try_from(wait.as_millis()).unwrap_or_default();
                let process_number = self.hosts[host].process_number;
                self.waiting_reads.push(WaitingRead {
                    host,
                    process_number,
                    topic,
                    offset,
                    until_ms,
                });
            }
        }
    }

    fn complete_waiting_reads(&mut self) {
        let mut index = 0;
        while index < self.waiting_reads.len() {
            let waiting = &self.waiting_reads[index];
            let end = match waiting.topic {
                Topic::Cell => self.cell.end(),
                Topic::Deciders => self.deciders.end(),
                Topic::Operators => self.operators.end(),
                Topic::Workers => self.worker_list.end(),
            };
            let is_due = self.now_ms >= waiting.until_ms || end > waiting.offset;
            if !is_due && !self.is_store_down {
                index += 1;
                continue;
            }
            let waiting = self.waiting_reads.swap_remove(index);
            if self.hosts[waiting.host].process_number != waiting.process_number {
                continue;
            }
            let is_lost = self.is_store_down || self.hosts[waiting.host].is_store_unreachable;
            let from = waiting.offset;
            let event = match waiting.topic {
                Topic::Cell => {
                    Event::CellRead(read_response(is_lost, self.cell.slice(from, cell_record)))
                }
                Topic::Deciders => Event::DecidersRead(read_response(
                    is_lost,
                    self.deciders.slice(from, cell_record),
                )),
                Topic::Operators => Event::OperatorsRead(read_response(
                    is_lost,
                    self.operators.slice(from, |_, value| operator_record(value)),
                )),
                Topic::Workers => Event::WorkersRead(read_response(
                    is_lost,
                    self.worker_list.slice(from, worker_record),
                )),
            };
            let delay = if is_lost { 300 } else { self.delay(self.store_ms.clone()) };
            self.send_event(waiting.host, delay, event);
        }
    }
}

/// The incarnation of the process with this number. Those of successive processes are far apart, as
/// random ones are.
fn incarnation(process_number: u64) -> ids::Incarnation {
    process_number.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn no_response(operation: &WorkerOperation) -> WorkerResponse {
    match operation {
        WorkerOperation::Start(request) => WorkerResponse::Start {
            task: request.task.clone(),
            number: request.number,
            response: StartResponse::NoAnswer,
        },
        WorkerOperation::Stop { task, number } => {
            WorkerResponse::Stop { task: task.clone(), number: *number, is_acknowledged: false }
        }
        WorkerOperation::Poll { sent_at, .. } => {
            WorkerResponse::Poll { sent_at: *sent_at, response: PollResponse::NoAnswer }
        }
    }
}

fn read_response<T>(
    is_lost: bool,
    slice: Result<pier_cell::follower::LogSlice<T>, ReadError>,
) -> ReadResponse<T> {
    match slice {
        _ if is_lost => ReadResponse::Failed(ReadError::NoAnswer),
        Ok(slice) => ReadResponse::LogSlice(slice),
        Err(error) => ReadResponse::Failed(error),
    }
}

fn operator_record(value: Option<&OperatorRecord>) -> OperatorRecord {
    value.cloned().unwrap_or(OperatorRecord::Other)
}

fn worker_record(key: &str, value: Option<&WorkerInfo>) -> WorkerRecord {
    WorkerRecord { id: key.into(), entry: value.cloned() }
}

/// A step with `tasks` tasks that need this many cores each.
pub fn step(tasks: usize, need: u64) -> Step {
    Step { tasks, need: cores(need), estimate_ms: 800, ..Step::default() }
}
