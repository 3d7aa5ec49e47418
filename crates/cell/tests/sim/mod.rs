//! Hosts, a store and workers in one thread, with seeded faults and checks of the promises.

#![allow(dead_code, reason = "each test uses a part of the simulation")]

pub mod store;
pub mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::sync;
use std::time;

use pier_cell::directory::{Account, Directory, Queue};
use pier_cell::effect::{Answer, Effect, StartOrder, Target, WorkerAsk, WorkerCall};
use pier_cell::event::{
    AppendAnswer, Ask, Call, Event, LookAnswer, OperatorRecord, ReadAnswer, StartAnswer,
    WorkerAnswer, WorkerRecord, WorkerReply,
};
use pier_cell::follow::{Read, ReadError, Topic};
use pier_cell::host::{Host, Member};
use pier_cell::job::{JobSpec, JobState, Step, TaskRef};
use pier_cell::options::Options;
use pier_cell::peer::{Advice, Message, PeerInfo};
use pier_cell::run::EndKind;
use pier_cell::worker::WorkerInfo;
use pier_core::resources::Resources;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use store::cell_record;
use worker::SimWorker;

/// The wall clock at the start of a simulation.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// Times of one way, in milliseconds.
const NEAR_MS: std::ops::Range<u64> = 1..3;

/// A host's process and what is done to it.
pub struct SimHost {
    pub name: String,
    pub process: Option<Host>,
    pub number: u64,
    /// Nothing reaches it or leaves it until then.
    pub paused_until_ms: u64,
    pub is_cut_from_store: bool,
    /// The store refuses its appends at once.
    pub is_refused_by_store: bool,
    pub connected_to: Option<usize>,
    pub core_permille: u32,
    wake_at_ms: u64,
}

/// A pending read that waits for a record.
struct WaitingRead {
    host: usize,
    number: u64,
    topic: Topic,
    offset: u64,
    until_ms: u64,
}

enum Due {
    /// An event reaches a host's process.
    Event { host: usize, number: u64, event: Box<Event> },
    /// An effect reaches what it is for.
    Effect { host: usize, number: u64, effect: Box<Effect> },
    /// An order is carried out late, if its worker lives on.
    LateStart { life: u64, target: Target, order: Box<StartOrder> },
}

/// The promises that were broken, and what callers were told.
#[derive(Debug, Default)]
pub struct Seen {
    pub broken: Vec<String>,
    pub accepted: BTreeSet<String>,
    pub rejected: BTreeSet<String>,
    pub unsure: BTreeSet<String>,
    pub answers: BTreeMap<String, Answer>,
    pub starts: u64,
    pub start_times_ms: Vec<u64>,
    pub claims: u64,
    pub questions_by_host: BTreeMap<usize, u64>,
    pub calls_by_host: BTreeMap<usize, u64>,
    pub cell_reads_by_host: BTreeMap<usize, u64>,
    /// Messages between hosts.
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
    /// Workers that no host reaches.
    pub cut_workers: BTreeSet<String>,
    /// Hosts and workers that do not reach each other.
    pub cut_workers_of: BTreeSet<(usize, String)>,
    /// The times and limits of hosts that start.
    pub options: Options,
    pub cell: store::Topic<Vec<u8>>,
    pub deciders: store::Topic<Vec<u8>>,
    pub operators: store::Topic<OperatorRecord>,
    pub listed: store::Topic<WorkerInfo>,
    pub is_store_down: bool,
    /// Added to the time until an append is answered.
    pub append_answer_ms: u64,
    /// The time of one way to the store.
    pub store_ms: std::ops::Range<u64>,
    /// The part of appends whose answer is lost, in percent.
    pub lost_appends_percent: u32,
    /// The part of orders that get no answer and are carried out seconds later, in percent.
    pub late_orders_percent: u32,
    pub run_ms: u64,
    pub advice_ms: u64,
    pub seen: Seen,
    /// The real time that each step of a deciding host took.
    pub step_costs: Vec<time::Duration>,
    pub directory: Directory,
    specs: BTreeMap<String, sync::Arc<JobSpec>>,
    queue: BTreeMap<(u64, u64), Due>,
    next_due: u64,
    next_process: u64,
    next_ticket: u64,
    open_calls: BTreeMap<u64, String>,
    shown: BTreeMap<u64, Answer>,
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
        is_open: false,
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
        let directory = Directory::new(1, queues, vec![unlimited], 100_000);
        let mut sim = Self {
            now_ms: 0,
            rng: StdRng::seed_from_u64(seed),
            hosts: Vec::new(),
            workers: BTreeMap::new(),
            cut_workers: BTreeSet::new(),
            cut_workers_of: BTreeSet::new(),
            options,
            cell: store::Topic::new(),
            deciders: store::Topic::new(),
            operators: store::Topic::new(),
            listed: store::Topic::new(),
            is_store_down: false,
            append_answer_ms: 0,
            store_ms: 2..8,
            lost_appends_percent: 0,
            late_orders_percent: 0,
            run_ms: 800,
            advice_ms: 10,
            seen: Seen::default(),
            step_costs: Vec::new(),
            directory: directory.clone(),
            specs: BTreeMap::new(),
            queue: BTreeMap::new(),
            next_due: 0,
            next_process: 0,
            next_ticket: 0,
            open_calls: BTreeMap::new(),
            shown: BTreeMap::new(),
            waiting_reads: Vec::new(),
        };
        sim.declare(directory);
        for index in 0..workers {
            sim.add_worker(&format!("w{index}"), if index % 2 == 0 { "north" } else { "south" });
        }
        for index in 0..hosts {
            sim.hosts.push(SimHost {
                name: format!("h{index}"),
                process: None,
                number: 0,
                paused_until_ms: 0,
                is_cut_from_store: false,
                is_refused_by_store: false,
                connected_to: None,
                core_permille: 250,
                wake_at_ms: 0,
            });
            sim.start_host(index);
        }
        sim
    }

    pub fn declare(&mut self, directory: Directory) {
        self.directory = directory.clone();
        let record = OperatorRecord::Directory(sync::Arc::new(directory));
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
            incarnation: worker.life,
            labels: vec!["kind".into(), "rack".into()],
            capacity: worker.capacity,
            is_draining,
            remaining: None,
        };
        self.listed.push(&worker.id, Some(entry));
    }

    /// A worker crashes: it forgets everything and is no longer listed.
    pub fn crash_worker(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_up = false;
            worker.running.clear();
        }
        self.listed.push(id, None);
    }

    /// A crashed worker starts again under its id.
    pub fn revive_worker(&mut self, id: &str) {
        let zone = self.workers[id].zone.clone();
        self.add_worker(id, &zone);
    }

    pub fn start_host(&mut self, index: usize) {
        self.next_process += 1;
        let me = Member {
            host: self.hosts[index].name.as_str().into(),
            address: index.to_string().into(),
            incarnation: self.next_process,
            core_permille: self.hosts[index].core_permille,
        };
        let host = &mut self.hosts[index];
        host.process = Some(Host::new(me, self.options.clone()));
        host.number = self.next_process;
        host.wake_at_ms = self.now_ms;
        host.connected_to = None;
    }

    pub fn kill_host(&mut self, index: usize) {
        self.hosts[index].process = None;
        self.hosts[index].connected_to = None;
        for other in 0..self.hosts.len() {
            if self.hosts[other].connected_to == Some(index) {
                self.disconnect(other);
            }
        }
        for other in 0..self.hosts.len() {
            let gone = Event::PeerGone { host: self.hosts[index].name.as_str().into() };
            self.send_event(other, 1, gone);
        }
    }

    /// Breaks the host's connection to the decider. It connects again.
    pub fn break_connection(&mut self, index: usize) {
        let Some(to) = self.hosts[index].connected_to else {
            return;
        };
        self.disconnect(index);
        let number = self.hosts[index].number;
        let decider = Some((self.hosts[to].name.as_str().into(), to.to_string().into()));
        let effect = Box::new(Effect::Connect { decider });
        self.push(150, Due::Effect { host: index, number, effect });
    }

    fn disconnect(&mut self, index: usize) {
        if let Some(other) = self.hosts[index].connected_to.take() {
            let gone = Event::PeerGone { host: self.hosts[other].name.as_str().into() };
            self.send_event(index, 1, gone);
            let gone = Event::PeerGone { host: self.hosts[index].name.as_str().into() };
            self.send_event(other, 1, gone);
        }
    }

    pub fn decider(&self) -> Option<usize> {
        self.hosts.iter().position(|host| host.process.as_ref().is_some_and(Host::is_decider))
    }

    fn push(&mut self, after_ms: u64, due: Due) {
        self.next_due += 1;
        self.queue.insert((self.now_ms + after_ms, self.next_due), due);
    }

    fn send_event(&mut self, host: usize, after_ms: u64, event: Event) {
        let number = self.hosts[host].number;
        self.push(after_ms, Due::Event { host, number, event: Box::new(event) });
    }

    fn delay(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    /// Submits a job with tasks of one size at a host.
    pub fn submit(&mut self, host: usize, id: &str, queue: &str, steps: Vec<Step>) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let spec = JobSpec {
            id: id.into(),
            queue: queue.into(),
            account: None,
            payload: "text".into(),
            steps,
        };
        self.specs.insert(id.to_owned(), sync::Arc::new(spec.clone()));
        self.open_calls.insert(ticket, id.to_owned());
        let call = Call {
            host: "cell.example".to_owned(),
            path: format!("/{queue}/{id}"),
            key: Some("key".to_owned()),
            patience: None,
            ask: Ask::Submit(Ok(Box::new(spec))),
        };
        self.send_event(host, 1, Event::Called { ticket, call: Box::new(call) });
    }

    /// What a host tells of a job.
    pub fn show(&mut self, host: usize, id: &str, queue: &str) -> Option<Answer> {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let call = Call {
            host: "cell.example".to_owned(),
            path: format!("/{queue}/{id}"),
            key: Some("key".to_owned()),
            patience: None,
            ask: Ask::Show,
        };
        self.send_event(host, 1, Event::Called { ticket, call: Box::new(call) });
        self.run_for(10);
        self.shown.remove(&ticket)
    }

    pub fn cancel(&mut self, host: usize, id: &str, queue: &str) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let call = Call {
            host: "cell.example".to_owned(),
            path: format!("/{queue}/{id}"),
            key: Some("key".to_owned()),
            patience: None,
            ask: Ask::Cancel,
        };
        self.send_event(host, 1, Event::Called { ticket, call: Box::new(call) });
    }

    /// Cancels a job and returns what the caller hears within so long.
    pub fn cancel_for(
        &mut self,
        host: usize,
        id: &str,
        queue: &str,
        millis: u64,
    ) -> Option<Answer> {
        self.cancel(host, id, queue);
        let ticket = self.next_ticket;
        self.run_for(millis);
        self.shown.remove(&ticket)
    }

    /// The host that the newest claim in the log names.
    pub fn claimant(&self) -> Option<usize> {
        let claim = self.stored_ledger().decider?.claim;
        self.hosts.iter().position(|host| *host.name == *claim.host)
    }

    /// The state of a job as the log's newest records give it.
    pub fn stored_state(&self, id: &str) -> Option<JobState> {
        self.stored_ledger().state_of(id)
    }

    fn stored_ledger(&self) -> pier_cell::ledger::Ledger {
        let mut ledger = pier_cell::ledger::Ledger::default();
        let mut after: Option<String> = None;
        loop {
            let page = self.cell.page(after.as_deref(), cell_record);
            for (offset, record) in &page.items {
                ledger.fold(*offset, record);
            }
            match page.next_after {
                Some(next) => after = Some(next),
                None => return ledger,
            }
        }
    }

    /// Runs for so long.
    pub fn run_for(&mut self, millis: u64) {
        let until_ms = self.now_ms + millis;
        while self.now_ms < until_ms {
            self.step();
            self.now_ms += 1;
        }
    }

    fn step(&mut self) {
        self.pass_worker_time();
        self.answer_waiting_reads();
        while let Some((&key, _)) = self.queue.range(..=(self.now_ms, u64::MAX)).next() {
            let Some(due) = self.queue.remove(&key) else {
                break;
            };
            match due {
                Due::Event { host, number, event } => self.take_event(host, number, *event),
                Due::Effect { host, number, effect } => self.carry_out(host, number, *effect),
                Due::LateStart { life, target, order } => {
                    if self.workers.get(&*target.worker).is_some_and(|worker| worker.life == life) {
                        self.start(&target.worker, target.token, &order);
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

    fn take_event(&mut self, host: usize, number: u64, event: Event) {
        if self.hosts[host].number != number || self.hosts[host].process.is_none() {
            return;
        }
        let paused_until_ms = self.hosts[host].paused_until_ms;
        if paused_until_ms > self.now_ms {
            let after = paused_until_ms - self.now_ms;
            self.push(after, Due::Event { host, number, event: Box::new(event) });
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
            self.step_costs.push(began.elapsed());
        }
        let sleep = process.sleep(now).max(time::Duration::from_millis(1));
        host.wake_at_ms = self.now_ms + u64::try_from(sleep.as_millis()).unwrap_or(1).max(1);
        let number = host.number;
        for effect in effects {
            let range = match &effect {
                Effect::Read { .. } | Effect::Append { .. } => self.store_ms.clone(),
                _ => NEAR_MS,
            };
            let after = self.delay(range);
            self.push(after, Due::Effect { host: index, number, effect: Box::new(effect) });
        }
    }

    fn carry_out(&mut self, host: usize, number: u64, effect: Effect) {
        if self.hosts[host].number != number {
            return;
        }
        match effect {
            Effect::Read { topic, read, timeout } => self.read(host, topic, read, timeout),
            Effect::Append { ticket, .. } if self.hosts[host].is_refused_by_store => {
                let answer = AppendAnswer::Refused;
                self.send_event(host, 5, Event::Appended { ticket, answer });
            }
            Effect::Append { ticket, at, records, timeout } => {
                if self.is_store_down || self.hosts[host].is_cut_from_store {
                    let after = u64::try_from(timeout.as_millis()).unwrap_or_default();
                    let answer = AppendAnswer::NoAnswer;
                    self.send_event(host, after, Event::Appended { ticket, answer });
                    return;
                }
                if records.iter().any(|record| record.key == "decider") {
                    self.seen.claims += 1;
                }
                let answer = self.cell.append(at, &records);
                let is_lost = self.rng.random_range(0..100) < self.lost_appends_percent;
                if is_lost {
                    let answer = AppendAnswer::NoAnswer;
                    self.send_event(host, 1_000, Event::Appended { ticket, answer });
                } else {
                    let after = self.delay(self.store_ms.clone()) + self.append_answer_ms;
                    self.send_event(host, after, Event::Appended { ticket, answer });
                }
            }
            Effect::Announce { record, timeout } => {
                let is_stored = !self.is_store_down && !self.hosts[host].is_cut_from_store;
                if is_stored {
                    self.deciders.push(&record.key, record.value);
                }
                let millis = u64::try_from(timeout.as_millis()).unwrap_or_default();
                let after = if is_stored { self.delay(self.store_ms.clone()) } else { millis };
                self.send_event(host, after, Event::Announced { is_stored });
            }
            Effect::Call(call) => self.call_worker(host, *call),
            Effect::Advise(question) => {
                *self.seen.questions_by_host.entry(host).or_default() += 1;
                let mut eligible = Vec::new();
                for worker in &question.workers {
                    // Two of three workers may run any step.
                    if worker.as_bytes().last().is_some_and(|digit| digit % 3 != 0) {
                        eligible.push((worker.clone(), "ticket".to_owned()));
                    }
                }
                let answer = Some(Advice { eligible, valid_ms: 1_500 });
                let after = self.advice_ms;
                self.send_event(host, after, Event::Advised { ticket: question.ticket, answer });
            }
            Effect::Connect { decider } => self.connect(host, decider),
            Effect::Send { to, message } => self.send(host, &to, message),
            Effect::Answer { ticket, answer } => self.note_answer(ticket, &answer),
            Effect::Ready(_) => {}
        }
    }

    fn call_worker(&mut self, host: usize, call: WorkerCall) {
        let WorkerCall { target, timeout_ms, ask } = call;
        let (worker, token) = (target.worker.clone(), target.token);
        if self.cut_workers_of.contains(&(host, worker.to_string())) {
            let answer = unanswered(&ask);
            let reply = Box::new(WorkerReply { worker, token, answer });
            self.send_event(host, timeout_ms, Event::Replied(reply));
            return;
        }
        let (after, answer) = match ask {
            WorkerAsk::Start(order) => {
                let (task, number) = (order.task.clone(), order.number);
                let is_late = self.rng.random_range(0..100) < self.late_orders_percent;
                if is_late {
                    let after = self.rng.random_range(2_000..8_000);
                    let life = self.workers.get(&*worker).map_or(0, |worker| worker.life);
                    let order = Box::new(order);
                    self.push(after, Due::LateStart { life, target, order });
                    let answer = StartAnswer::NoAnswer;
                    (timeout_ms, WorkerAnswer::Start { task, number, answer })
                } else {
                    let answer = self.start(&worker, token, &order);
                    let is_lost = answer == StartAnswer::NoAnswer;
                    let after = if is_lost { timeout_ms } else { self.delay(NEAR_MS) };
                    (after, WorkerAnswer::Start { task, number, answer })
                }
            }
            WorkerAsk::Stop { task, number } => {
                let is_acknowledged = match self.reached(&worker) {
                    Some(worker) => worker.stop(token, &task, number),
                    None => false,
                };
                let after = if is_acknowledged { 2 } else { timeout_ms };
                (after, WorkerAnswer::Stop { task, number, is_acknowledged })
            }
            WorkerAsk::Look { sent_at, ends_stored, lease_until_ms, wait_ms } => {
                let now_ms = self.now_ms;
                let answer = match self.reached(&worker) {
                    Some(worker) => worker.look(now_ms, token, ends_stored, lease_until_ms),
                    None => LookAnswer::NoAnswer,
                };
                let is_quiet = matches!(
                    &answer,
                    LookAnswer::Report { ended, .. } if ended.is_empty()
                );
                let after = match answer {
                    LookAnswer::NoAnswer => timeout_ms,
                    // A short wait stands for one that ends with the next end.
                    _ if is_quiet && wait_ms > 0 => 20,
                    _ => 2,
                };
                (after, WorkerAnswer::Look { sent_at, answer })
            }
        };
        let reply = Box::new(WorkerReply { worker, token, answer });
        self.seen.calls_by_host.entry(host).and_modify(|calls| *calls += 1).or_insert(1);
        self.send_event(host, after, Event::Replied(reply));
    }

    fn reached(&mut self, id: &str) -> Option<&mut SimWorker> {
        if self.cut_workers.contains(id) {
            return None;
        }
        self.workers.get_mut(id).filter(|worker| worker.is_up)
    }

    fn start(&mut self, id: &str, token: u64, order: &StartOrder) -> StartAnswer {
        let now_ms = self.now_ms;
        let run_ms = self.rng.random_range(self.run_ms / 2..self.run_ms * 3 / 2);
        let kind = if self.rng.random_range(0..100) < 2 { EndKind::Failed } else { EndKind::Done };
        let Some(spec) = self.specs.get(&*order.task.job).cloned() else {
            self.seen.broken.push(format!("started {:?}, which nobody submitted", order.task));
            return StartAnswer::NoAnswer;
        };
        let need = spec.steps[order.task.step].need;
        let Some(worker) = self.reached(id) else {
            return StartAnswer::NoAnswer;
        };
        let had = worker.running.contains_key(&order.task);
        let answer = worker.start(
            now_ms,
            token,
            &order.task,
            order.number,
            order.lease_until_ms,
            run_ms,
            kind,
            need,
        );
        if !had && matches!(answer, StartAnswer::Started { .. }) {
            let is_over = !worker.used().fits_in(&worker.capacity);
            let id = id.to_owned();
            self.note_start(&id, &order.task, is_over);
        }
        answer
    }

    fn note_start(&mut self, id: &str, task: &TaskRef, is_over: bool) {
        self.seen.starts += 1;
        self.seen.start_times_ms.push(self.now_ms);
        self.seen.last_start_ms.insert(task.clone(), self.now_ms);
        if is_over {
            self.seen.broken.push(format!("{} ms: {id} is over its capacity", self.now_ms));
        }
        if self.seen.done.contains(task) {
            self.seen.broken.push(format!("{} ms: {task:?} started after done", self.now_ms));
        }
        let elsewhere = self
            .workers
            .values()
            .filter(|worker| worker.is_up && worker.id != id)
            .any(|worker| worker.running.contains_key(task));
        if elsewhere {
            self.seen.broken.push(format!("{} ms: {task:?} runs twice", self.now_ms));
        }
    }

    fn pass_worker_time(&mut self) {
        let now_ms = self.now_ms;
        for worker in self.workers.values_mut() {
            worker.pass_time(now_ms);
            for (task, done_at_ms) in worker.noted.drain(..) {
                let started_at_ms = self.seen.last_start_ms.get(&task).copied().unwrap_or(0);
                if started_at_ms > done_at_ms {
                    let broken = format!("{started_at_ms} ms: {task:?} started after done");
                    self.seen.broken.push(broken);
                }
                self.seen.done.insert(task);
            }
        }
    }

    fn connect(&mut self, host: usize, decider: Option<(pier_core::ids::HostId, sync::Arc<str>)>) {
        self.disconnect(host);
        let Some((_, address)) = decider else {
            return;
        };
        let Ok(to) = address.parse::<usize>() else {
            return;
        };
        if self.hosts[to].process.is_none() {
            // The connection is tried again, as the transport does.
            let number = self.hosts[host].number;
            let decider = Some((self.hosts[to].name.as_str().into(), address));
            let effect = Box::new(Effect::Connect { decider });
            self.push(150, Due::Effect { host, number, effect });
            return;
        }
        self.hosts[host].connected_to = Some(to);
        for (a, b) in [(host, to), (to, host)] {
            let from: pier_core::ids::HostId = self.hosts[b].name.as_str().into();
            let zone = if b % 2 == 0 { "north" } else { "south" };
            let core_permille = self.hosts[b].core_permille;
            let info = PeerInfo { host: from.clone(), zone: zone.into(), core_permille };
            let message = Message::Hello(info);
            self.send_event(a, 2, Event::Peer { from, message });
        }
    }

    fn send(&mut self, host: usize, to: &str, message: Message) {
        let Some(index) = self.hosts.iter().position(|other| other.name == to) else {
            return;
        };
        let is_linked = self.hosts[host].connected_to == Some(index)
            || self.hosts[index].connected_to == Some(host);
        if is_linked {
            self.seen.messages += 1;
            let from = self.hosts[host].name.as_str().into();
            self.send_event(index, 1, Event::Peer { from, message });
        }
    }

    fn note_answer(&mut self, ticket: u64, answer: &Answer) {
        let Some(id) = self.open_calls.remove(&ticket) else {
            self.shown.insert(ticket, answer.clone());
            return;
        };
        self.seen.answers.insert(id.clone(), answer.clone());
        let told = match answer {
            Answer::Accepted => &mut self.seen.accepted,
            Answer::Unsure => &mut self.seen.unsure,
            _ => &mut self.seen.rejected,
        };
        told.insert(id);
    }

    fn read(&mut self, host: usize, topic: Topic, read: Read, timeout: time::Duration) {
        if topic == Topic::Cell {
            *self.seen.cell_reads_by_host.entry(host).or_default() += 1;
        }
        if self.is_store_down || self.hosts[host].is_cut_from_store {
            let after = u64::try_from(timeout.as_millis()).unwrap_or_default();
            let event = match topic {
                Topic::Cell => Event::Cell(ReadAnswer::Failed(ReadError::NoAnswer)),
                Topic::Deciders => Event::Deciders(ReadAnswer::Failed(ReadError::NoAnswer)),
                Topic::Operators => Event::Operators(ReadAnswer::Failed(ReadError::NoAnswer)),
                Topic::Workers => Event::Workers(ReadAnswer::Failed(ReadError::NoAnswer)),
            };
            self.send_event(host, after, event);
            return;
        }
        match read {
            Read::Newest { after } => {
                let after = after.as_deref();
                let event = match topic {
                    Topic::Cell => {
                        Event::Cell(ReadAnswer::Page(self.cell.page(after, cell_record)))
                    }
                    Topic::Deciders => {
                        Event::Deciders(ReadAnswer::Page(self.deciders.page(after, cell_record)))
                    }
                    Topic::Operators => Event::Operators(ReadAnswer::Page(
                        self.operators.page(after, |_, value| operator_record(value)),
                    )),
                    Topic::Workers => {
                        Event::Workers(ReadAnswer::Page(self.listed.page(after, worker_record)))
                    }
                };
                let delay = self.delay(self.store_ms.clone());
                self.send_event(host, delay, event);
            }
            Read::From { offset, wait } => {
                let until_ms = self.now_ms + u64::try_from(wait.as_millis()).unwrap_or_default();
                let number = self.hosts[host].number;
                self.waiting_reads.push(WaitingRead { host, number, topic, offset, until_ms });
            }
        }
    }

    fn answer_waiting_reads(&mut self) {
        let mut index = 0;
        while index < self.waiting_reads.len() {
            let waiting = &self.waiting_reads[index];
            let end = match waiting.topic {
                Topic::Cell => self.cell.end(),
                Topic::Deciders => self.deciders.end(),
                Topic::Operators => self.operators.end(),
                Topic::Workers => self.listed.end(),
            };
            let is_due = self.now_ms >= waiting.until_ms || end > waiting.offset;
            if !is_due && !self.is_store_down {
                index += 1;
                continue;
            }
            let waiting = self.waiting_reads.swap_remove(index);
            if self.hosts[waiting.host].number != waiting.number {
                continue;
            }
            let is_lost = self.is_store_down || self.hosts[waiting.host].is_cut_from_store;
            let from = waiting.offset;
            let event = match waiting.topic {
                Topic::Cell => Event::Cell(answer(is_lost, self.cell.stretch(from, cell_record))),
                Topic::Deciders => {
                    Event::Deciders(answer(is_lost, self.deciders.stretch(from, cell_record)))
                }
                Topic::Operators => Event::Operators(answer(
                    is_lost,
                    self.operators.stretch(from, |_, value| operator_record(value)),
                )),
                Topic::Workers => {
                    Event::Workers(answer(is_lost, self.listed.stretch(from, worker_record)))
                }
            };
            let delay = if is_lost { 300 } else { self.delay(self.store_ms.clone()) };
            self.send_event(waiting.host, delay, event);
        }
    }
}

fn unanswered(ask: &WorkerAsk) -> WorkerAnswer {
    match ask {
        WorkerAsk::Start(order) => WorkerAnswer::Start {
            task: order.task.clone(),
            number: order.number,
            answer: StartAnswer::NoAnswer,
        },
        WorkerAsk::Stop { task, number } => {
            WorkerAnswer::Stop { task: task.clone(), number: *number, is_acknowledged: false }
        }
        WorkerAsk::Look { sent_at, .. } => {
            WorkerAnswer::Look { sent_at: *sent_at, answer: LookAnswer::NoAnswer }
        }
    }
}

fn answer<T>(
    is_lost: bool,
    stretch: Result<pier_cell::follow::Stretch<T>, ReadError>,
) -> ReadAnswer<T> {
    match stretch {
        _ if is_lost => ReadAnswer::Failed(ReadError::NoAnswer),
        Ok(stretch) => ReadAnswer::Stretch(stretch),
        Err(error) => ReadAnswer::Failed(error),
    }
}

fn operator_record(value: Option<&OperatorRecord>) -> OperatorRecord {
    value.cloned().unwrap_or(OperatorRecord::Other)
}

fn worker_record(key: &str, value: Option<&WorkerInfo>) -> WorkerRecord {
    WorkerRecord { id: key.into(), entry: value.cloned() }
}

/// A step of `tasks` tasks of so many cores.
pub fn step(tasks: usize, need: u64) -> Step {
    Step { tasks, need: cores(need), estimate_ms: 800, ..Step::default() }
}
