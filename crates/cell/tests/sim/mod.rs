//! A single-threaded simulation of hosts, a store and workers, with seeded faults and checks of the
//! cell's guarantees.

#![allow(dead_code, reason = "each test uses only a part of the simulation")]

pub mod callers;
pub mod gangs;
pub mod hosts;
pub mod invariants;
pub mod load;
pub mod reads;
pub mod seeds;
pub mod store;
pub mod waits;
pub mod worker;
pub mod worker_calls;
pub mod worker_links;
pub mod worker_polls;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{self, Hash, Hasher};
use std::sync;
use std::time;

use pier_cell::declaration::{Account, Declaration, Queue};
use pier_cell::effect::{CallerResponse, Effect, StartRequest, Target};
use pier_cell::event::{AppendResponse, Event, OperatorRecord};
use pier_cell::host::Host;
use pier_cell::job::{JobSpec, Step};
use pier_cell::options::Options;
use pier_cell::peer::{Advice, AdviceRequest};
use pier_cell::worker::WorkerInfo;
use pier_core::ids;
use pier_core::resources::Resources;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use gangs::GangRounds;
use hosts::SimHost;
use invariants::{AdviceCall, Observations};
use load::Caller;
use reads::WaitingRead;
use waits::Waits;
use worker::SimWorker;
use worker_links::WorkerLinks;
use worker_polls::HeldPoll;

/// The wall clock at the start of a simulation.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// The longest key of a record: its length is stored in one byte.
const MAX_KEY_BYTES: usize = 255;
/// The delay of the transport before it connects again, in milliseconds.
const RECONNECT_DELAY_MS: u64 = 150;
/// The age of a message at which its receiver closes the connection, in milliseconds.
const MAX_MESSAGE_AGE_MS: u64 = 1_000;
/// The delay after which a host knows that the store has refused its call, in milliseconds.
const REFUSAL_MS: u64 = 5;
/// One-way network delays, in milliseconds.
const NETWORK_DELAY_MS: std::ops::Range<u64> = 1..3;

/// A caller's request: the host's process, and the ticket that it has there.
type RequestKey = (u64, ids::Ticket);

enum Scheduled {
    /// The delivery of an event to a host's process.
    Event { host: usize, process_number: u64, sent_at_ms: u64, event: Box<Event> },
    /// The execution of an effect.
    Effect { host: usize, process_number: u64, effect: Box<Effect> },
    /// The transport's attempt to connect a host again.
    Reconnect { host: usize, process_number: u64, to: usize },
    /// A worker's report to the worker list, if it is still in the same incarnation.
    Report { id: String, incarnation: u64 },
    /// An entry of the worker list, or one that cannot be decoded.
    Entry { id: String, entry: Option<Box<WorkerInfo>> },
    /// A delayed start, which has an effect if the worker is still in the same incarnation.
    DelayedStart { incarnation: u64, target: Target, request: Box<StartRequest> },
    /// The next submission of a job that was rejected.
    SubmitAgain { id: String },
    /// The end of the time that a worker has announced, if it is still in the same incarnation.
    Leave { id: String, incarnation: u64 },
}

/// A cell in simulated time.
pub struct Sim {
    pub now_ms: u64,
    pub rng: StdRng,
    pub hosts: Vec<SimHost>,
    pub workers: BTreeMap<String, SimWorker>,
    /// Workers that refuse starts and polls although they run.
    pub refusing_workers: BTreeSet<String>,
    /// The percentage of runs that fail.
    pub failed_runs_percent: u32,
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
    /// The percentage of calls of workers that are carried out and whose response is lost at once.
    pub lost_worker_responses_percent: u32,
    pub run_ms: u64,
    pub advice_ms: u64,
    /// The percentage of workers that are eligible for a step, by queue. The adviser then takes the
    /// time that the declaration states.
    pub eligible_percent: BTreeMap<String, u64>,
    /// Whether tasks run for as long as estimated.
    pub runs_as_estimated: bool,
    /// Workers on which a third of the runs fail.
    pub failing_workers: BTreeSet<String>,
    pub observed: Observations,
    /// The real time that each step of a decider took.
    pub step_durations: Vec<time::Duration>,
    pub declaration: Declaration,
    /// The accounts as last declared, also removed ones.
    last_accounts: BTreeMap<String, Account>,
    /// The API key of the callers' requests.
    pub caller_key: Option<String>,
    /// Whether callers submit rejected jobs again when they were told to.
    pub are_rejected_jobs_retried: bool,
    /// Checks of how long tasks and gangs wait.
    pub waits: Waits,
    specs: BTreeMap<String, sync::Arc<JobSpec>>,
    /// The accounts whose keys the submissions of the jobs carried.
    account_of: BTreeMap<String, Option<String>>,
    callers: BTreeMap<String, Caller>,
    worker_links: WorkerLinks,
    held_polls: Vec<HeldPoll>,
    gangs: GangRounds,
    queue: BTreeMap<(u64, u64), Scheduled>,
    next_due: u64,
    next_process: u64,
    pending_submissions: BTreeMap<RequestKey, String>,
    pending_cancels: BTreeMap<RequestKey, String>,
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
            refusing_workers: BTreeSet::new(),
            failed_runs_percent: 2,
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
            lost_worker_responses_percent: 0,
            run_ms: 800,
            advice_ms: 10,
            eligible_percent: BTreeMap::new(),
            runs_as_estimated: false,
            failing_workers: BTreeSet::new(),
            observed: Observations::default(),
            step_durations: Vec::new(),
            declaration: declaration.clone(),
            last_accounts: BTreeMap::new(),
            caller_key: Some("key".to_owned()),
            are_rejected_jobs_retried: false,
            waits: Waits::default(),
            specs: BTreeMap::new(),
            account_of: BTreeMap::new(),
            callers: BTreeMap::new(),
            worker_links: WorkerLinks::default(),
            held_polls: Vec::new(),
            gangs: GangRounds::default(),
            queue: BTreeMap::new(),
            next_due: 0,
            next_process: 0,
            pending_submissions: BTreeMap::new(),
            pending_cancels: BTreeMap::new(),
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
                is_turned_away: false,
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
        self.restart_waits();
        for account in &declaration.accounts {
            self.last_accounts.insert(account.name.to_string(), account.clone());
        }
        self.declaration = declaration.clone();
        let record = OperatorRecord::Declaration(sync::Arc::new(declaration));
        self.operators.push("config", Some(record));
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
        let (sent_at_ms, event) = (self.now_ms, Box::new(event));
        self.push(after_ms, Scheduled::Event { host, process_number, sent_at_ms, event });
    }

    fn delay(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.rng.random_range(range)
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
        self.advance_held_polls();
        self.check_waits();
        self.complete_waiting_reads();
        while let Some((&key, _)) = self.queue.range(..=(self.now_ms, u64::MAX)).next() {
            let Some(due) = self.queue.remove(&key) else {
                break;
            };
            match due {
                Scheduled::Event { host, process_number, sent_at_ms, event } => {
                    self.deliver(host, process_number, sent_at_ms, *event)
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
                Scheduled::Report { id, incarnation } => self.report(&id, incarnation),
                Scheduled::SubmitAgain { id } => self.submit_again(&id),
                Scheduled::Leave { id, incarnation } => self.leave(&id, incarnation),
                Scheduled::Entry { id, entry } => {
                    self.worker_list.push(&id, entry.map(|entry| *entry));
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

    fn deliver(&mut self, host: usize, process_number: u64, sent_at_ms: u64, event: Event) {
        if self.hosts[host].process_number != process_number || self.hosts[host].process.is_none() {
            return;
        }
        let paused_until_ms = self.hosts[host].paused_until_ms;
        if paused_until_ms > self.now_ms {
            let (after_ms, event) = (paused_until_ms - self.now_ms, Box::new(event));
            self.push(after_ms, Scheduled::Event { host, process_number, sent_at_ms, event });
            return;
        }
        if let Event::PeerMessage { from, .. } = &event
            && self.now_ms > sent_at_ms + MAX_MESSAGE_AGE_MS
        {
            let from = ids::HostId::clone(from);
            self.close_unread_connection(host, &from);
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
        let is_finished = process.is_finished(now);
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
        if is_finished {
            self.end_process(index);
        }
    }

    /// The eligible workers among the named ones with their tickets, and how long the adviser takes.
    fn advise(&mut self, request: &AdviceRequest) -> (Vec<(ids::WorkerId, String)>, u64) {
        let spec = &self.specs[&*request.job];
        let mut call = AdviceCall {
            job: request.job.to_string(),
            is_gang: spec.steps[request.step].gang,
            at_ms: self.now_ms,
            named: request.workers.len(),
            took_ms: self.advice_ms,
        };
        let percent = self.eligible_percent.get(&*spec.queue);
        let mut eligible = Vec::new();
        for worker in &request.workers {
            let is_eligible = match percent {
                // Two of every three workers may run any step.
                None => worker.as_bytes().last().is_some_and(|digit| digit % 3 != 0),
                Some(percent) => {
                    let mut hasher = hash::DefaultHasher::new();
                    (&*request.job, request.step, &**worker).hash(&mut hasher);
                    hasher.finish() % 100 < *percent
                }
            };
            if is_eligible {
                eligible.push((worker.clone(), "ticket".to_owned()));
            }
        }
        let queue = self.declaration.queue(&spec.queue);
        if let (Some(terms), true) = (queue.and_then(|queue| queue.advice), percent.is_some()) {
            let named = u32::try_from(call.named).expect("few workers");
            let took = terms.base + terms.per_worker * named;
            call.took_ms = u64::try_from(took.as_millis()).expect("a short time");
        }
        let after = call.took_ms;
        self.observed.advice_calls.push(call);
        (eligible, after)
    }

    fn perform(&mut self, host: usize, process_number: u64, effect: Effect) {
        if self.hosts[host].process_number != process_number {
            return;
        }
        match effect {
            Effect::Read { ticket, topic, read, timeout } => {
                self.read(host, ticket, topic, read, timeout)
            }
            Effect::Append { ticket, .. }
                if self.hosts[host].is_refused_by_store || self.hosts[host].is_turned_away =>
            {
                let response = AppendResponse::Refused;
                self.send_event(host, REFUSAL_MS, Event::Appended { ticket, response });
            }
            Effect::Announce { ticket, .. } if self.hosts[host].is_turned_away => {
                self.send_event(host, REFUSAL_MS, Event::Announced { ticket, is_stored: false });
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
            Effect::Announce { ticket, record, timeout } => {
                let is_stored = !self.is_store_down && !self.hosts[host].is_store_unreachable;
                if is_stored {
                    self.deciders.push(&record.key, record.value);
                }
                let millis = u64::try_from(timeout.as_millis()).unwrap_or_default();
                let after = if is_stored { self.delay(self.store_ms.clone()) } else { millis };
                self.send_event(host, after, Event::Announced { ticket, is_stored });
            }
            Effect::CallWorker(call) => self.call_worker(host, *call),
            Effect::RequestAdvice(request) => {
                *self.observed.advice_requests_by_host.entry(host).or_default() += 1;
                let (eligible, after) = self.advise(&request);
                let advice = Some(Advice { eligible, valid_ms: 1_500 });
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
}

/// A step with `tasks` tasks that need this many cores each.
pub fn step(tasks: usize, need: u64) -> Step {
    Step { tasks, need: cores(need), estimate_ms: 800, ..Step::default() }
}
