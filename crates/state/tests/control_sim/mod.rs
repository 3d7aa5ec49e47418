//! A simulated cell with hosts, log, host list, workers and network, driven by virtual time.
#![allow(dead_code, reason = "every test file uses a part of the cell")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pier_core::body::Body;
use pier_core::resources::Resources;
use pier_core::task::FencingToken;
use pier_core::wire;
use pier_state::effect::{Notice, OperatorAnswer};
use pier_state::event::{LogEvent, OperatorEvent, OperatorRequest, WorkerEvent};
use pier_state::message::Message;
use pier_state::options::{HostIdentity, Options};
use pier_state::record::{Entry, Record};
use pier_state::{Effect, Event, State};

pub const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_TICK: u64 = 5;
/// The age of every worker report.
pub const REPORT_AGE: Duration = Duration::from_millis(700);
const NETWORK_DELAY: Duration = Duration::from_millis(2);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[derive(Default)]
pub struct Log {
    pub records: Vec<(Duration, Vec<u8>)>,
    pub earliest: u64,
    /// Hosts that cannot reach the log; `*` stands for all.
    pub unreachable_from: BTreeSet<String>,
    /// Hosts whose next append takes effect although they are told that it failed.
    pub lose_next_reply: BTreeSet<String>,
    pub appends: usize,
    /// How long the log takes to answer.
    pub delay: Duration,
}

impl Log {
    /// Drops the records that the last snapshot makes unnecessary.
    pub fn trim(&mut self) {
        for (_, bytes) in self.records.iter().rev() {
            let record: Record = serde_json::from_slice(bytes).expect("hosts append records");
            for entry in record.entries {
                if let Entry::Snapshot { as_of_offset, .. } = entry {
                    self.earliest = self.earliest.max(as_of_offset + 1);
                    return;
                }
            }
        }
    }

    fn is_unreachable(&self, host: &str) -> bool {
        self.unreachable_from.contains("*") || self.unreachable_from.contains(host)
    }
}

#[derive(Default)]
pub struct Worker {
    pub token: FencingToken,
    pub unreachable: bool,
    /// The time, host and token of each fence that was accepted.
    pub fences: Vec<(Duration, String, FencingToken)>,
}

#[derive(Default)]
pub struct Cell {
    pub now: Duration,
    pub options: Options,
    pub hosts: BTreeMap<String, State>,
    pub paused: BTreeSet<String>,
    pub exited: BTreeSet<String>,
    pub log: Log,
    pub host_list: Vec<wire::HostEntry>,
    pub host_list_frozen: bool,
    pub workers: BTreeMap<String, Worker>,
    /// Pairs of hosts, in ascending order, that cannot reach each other.
    pub cut_links: BTreeSet<(String, String)>,
    pub answers: BTreeMap<(String, u64), OperatorAnswer>,
    pub notices: Vec<(Duration, String, Notice)>,
    /// The bytes of all messages between hosts.
    pub sent_bytes: usize,
    pending: Vec<(Duration, u64, String, u64, Event)>,
    processes: BTreeMap<String, (u64, Duration)>,
    sequence: u64,
    steps: u64,
}

impl Cell {
    pub fn new(hosts: usize, workers: usize) -> Self {
        let mut cell = Self::empty(workers);
        for index in 0..hosts {
            cell.start(&format!("h{index}"));
        }
        cell
    }

    /// A cell that has formed and then ran for a while without events.
    pub fn formed(hosts: usize, workers: usize) -> Self {
        let mut cell = Self::new(hosts, workers);
        cell.form();
        cell
    }

    pub fn form(&mut self) {
        let formed = |cell: &Self| {
            cell.held_workers() == cell.workers.len()
                && cell.hosts.keys().all(|host| cell.may_start(host))
        };
        assert!(self.run_until(ms(6_000), formed).is_some(), "the cell does not form");
        self.run(ms(3_000));
    }

    pub fn empty(workers: usize) -> Self {
        let mut cell = Self::default();
        for index in 0..workers {
            cell.add_worker(&format!("w{index:03}"), index % 4);
        }
        cell
    }

    pub fn add_worker(&mut self, worker: &str, zone: usize) {
        let resources = Resources { cpu_milli: 16_000, memory_mb: 64_000, ..Resources::ZERO };
        self.host_list.push(host_entry(worker, wire::HostRole::Worker, zone, resources));
        self.workers.insert(worker.to_owned(), Worker::default());
    }

    /// Starts a process on a host, which is added to the host list if it is missing.
    pub fn start(&mut self, host: &str) {
        let zone = usize::from(host.bytes().last().unwrap_or(0)) % 4;
        if !self.host_list_frozen && !self.host_list.iter().any(|entry| &*entry.id == host) {
            self.host_list.push(host_entry(host, wire::HostRole::Entry, zone, Resources::ZERO));
        }
        self.sequence += 1;
        let incarnation = self.sequence;
        let me = HostIdentity {
            host: host.into(),
            incarnation,
            availability_zone: format!("z{zone}").into(),
            peer_address: format!("{host}:1").into(),
        };
        let state = State::new(me, self.options.clone(), incarnation);
        self.hosts.insert(host.to_owned(), state);
        self.processes.insert(host.to_owned(), (incarnation, self.now));
        self.exited.remove(host);
    }

    pub fn kill(&mut self, host: &str) {
        self.hosts.remove(host);
        self.processes.remove(host);
    }

    pub fn remove_from_host_list(&mut self, host: &str) {
        self.host_list.retain(|entry| &*entry.id != host);
    }

    pub fn isolate(&mut self, host: &str) {
        for other in self.hosts.keys() {
            if other != host {
                self.cut_links.insert(host_pair(host, other));
            }
        }
    }

    pub fn state(&self, host: &str) -> &State {
        &self.hosts[host]
    }

    pub fn may_start(&self, host: &str) -> bool {
        self.hosts.get(host).is_some_and(|state| state.cluster().may_start(self.local_time(host)))
    }

    pub fn epoch(&self, host: &str) -> u64 {
        self.state(host).cluster().epoch
    }

    /// The hosts that hold a fencing token for a worker.
    pub fn holders(&self, worker: &str) -> Vec<&str> {
        let mut holders = Vec::new();
        for (host, state) in &self.hosts {
            if state.cluster().workers.get(worker).is_some_and(|info| info.token.is_some()) {
                holders.push(host.as_str());
            }
        }
        holders
    }

    /// The number of workers that exactly one host holds.
    pub fn held_workers(&self) -> usize {
        self.workers.keys().filter(|worker| self.holders(worker).len() == 1).count()
    }

    pub fn held_by(&self, host: &str) -> usize {
        self.workers.keys().filter(|worker| self.holders(worker).contains(&host)).count()
    }

    pub fn send_operator_request(&mut self, host: &str, ticket: u64, request: OperatorRequest) {
        let event = Event::Operator(OperatorEvent { ticket, request });
        self.deliver(host, event);
    }

    pub fn apply_declaration(&mut self, host: &str, ticket: u64, base_version: u64, text: &str) {
        let author = host.into();
        let text = text.into();
        self.send_operator_request(
            host,
            ticket,
            OperatorRequest::Apply { base_version, author, wall_ms: 1, text },
        );
    }

    pub fn answer(&self, host: &str, ticket: u64) -> Option<&OperatorAnswer> {
        self.answers.get(&(host.to_owned(), ticket))
    }

    pub fn shut_down(&mut self, host: &str) {
        self.deliver(host, Event::Shutdown);
    }

    /// Runs until `done` or for `limit`. Returns how long it took, or nothing if `done` never held.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now < start + limit {
            if done(self) {
                return Some(self.now - start);
            }
            self.step();
        }
        None
    }

    pub fn run(&mut self, span: Duration) {
        self.run_until(span, |_| false);
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        self.deliver_due();
        if self.steps.is_multiple_of(STEPS_PER_TICK) {
            self.tick();
        }
        self.check_single_starter();
    }

    /// Checks that no two hosts, paused ones included, may start work on one worker.
    fn check_single_starter(&self) {
        for worker in self.workers.keys() {
            let mut starters = self.holders(worker);
            starters.retain(|host| self.may_start(host));
            assert!(starters.len() <= 1, "{starters:?} may start on {worker} at {:?}", self.now);
        }
    }

    fn deliver_due(&mut self) {
        self.pending.sort_by_key(|(at, order, ..)| (*at, *order));
        let due = self.pending.iter().take_while(|(at, ..)| *at <= self.now).count();
        let events: Vec<_> = self.pending.drain(..due).collect();
        for (_, order, host, incarnation, event) in events {
            if self.processes.get(&host).map(|process| process.0) != Some(incarnation) {
                continue;
            }
            if self.paused.contains(&host) {
                self.pending.push((self.now + STEP, order, host, incarnation, event));
                continue;
            }
            self.deliver(&host, event);
        }
    }

    fn tick(&mut self) {
        let hosts: Vec<String> = self.hosts.keys().cloned().collect();
        for host in hosts {
            if self.paused.contains(&host) || self.exited.contains(&host) {
                continue;
            }
            if self.steps.is_multiple_of(STEPS_PER_TICK * 20) || self.steps == STEPS_PER_TICK {
                let list = wire::HostList { age_ms: 0, hosts: self.host_list.clone() };
                self.deliver(&host, Event::HostList(Some(list)));
            }
            self.deliver(&host, Event::Tick);
        }
    }

    /// The host's local time, which counts from the start of its process.
    fn local_time(&self, host: &str) -> Duration {
        self.processes.get(host).map_or(self.now, |process| self.now - process.1)
    }

    pub fn deliver(&mut self, host: &str, event: Event) {
        let now = self.local_time(host);
        let Some(state) = self.hosts.get_mut(host) else {
            return;
        };
        for effect in state.apply(now, event) {
            self.execute(host, effect);
        }
    }

    fn deliver_later(&mut self, host: &str, event: Event) {
        self.deliver_after(NETWORK_DELAY, host, event);
    }

    fn deliver_after(&mut self, delay: Duration, host: &str, event: Event) {
        let Some((incarnation, _)) = self.processes.get(host).copied() else {
            return;
        };
        self.sequence += 1;
        let at = self.now + delay;
        self.pending.push((at, self.sequence, host.to_owned(), incarnation, event));
    }

    fn execute(&mut self, host: &str, effect: Effect) {
        match effect {
            Effect::ReadLog { ticket, from, max_records } => {
                let event = if self.log.is_unreachable(host) {
                    LogEvent::ReadFailed { ticket }
                } else {
                    LogEvent::Read { ticket, page: self.page(from, max_records) }
                };
                self.deliver_after(NETWORK_DELAY + self.log.delay, host, Event::Log(event));
            }
            Effect::Append { ticket, bytes } => {
                let event = if self.log.is_unreachable(host) {
                    LogEvent::AppendFailed { ticket, certain: false }
                } else {
                    self.log.appends += 1;
                    self.log.records.push((self.now, bytes.to_vec()));
                    let offset = self.log.records.len() as u64 - 1;
                    if self.log.lose_next_reply.remove(host) {
                        LogEvent::AppendFailed { ticket, certain: false }
                    } else {
                        LogEvent::Appended { ticket, offset }
                    }
                };
                self.deliver_after(NETWORK_DELAY + self.log.delay, host, Event::Log(event));
            }
            Effect::SendPeer { to, address, message, .. } => {
                assert_eq!(&*address, format!("{to}:1"));
                self.send(host, &to, message);
            }
            Effect::WorkerFence { worker, token, .. } => self.fence(host, worker, token),
            Effect::WorkerReport { worker, .. } if !self.options.worker_fencing => {
                let report = wire::WorkerReport {
                    as_of_age_ms: REPORT_AGE.as_millis() as u64,
                    resources: Resources::ZERO,
                    tasks: wire::WorkerTasks::default(),
                };
                let asked_at = self.local_time(host);
                self.deliver_later(
                    host,
                    Event::Worker(WorkerEvent::Report { worker, asked_at, report }),
                );
            }
            Effect::AnswerOperator { ticket, answer } => {
                let last = self.answers.insert((host.to_owned(), ticket), answer);
                assert!(last.is_none(), "ticket {ticket} of {host} was answered twice");
            }
            Effect::Log(notice) => self.notices.push((self.now, host.to_owned(), notice)),
            Effect::Exit => {
                self.exited.insert(host.to_owned());
            }
            _ => {}
        }
    }

    fn page(&self, from: u64, max_records: u32) -> wire::LogPage {
        let first = from.max(self.log.earliest) as usize;
        let mut records = Vec::new();
        for (index, (at, bytes)) in self.log.records.iter().enumerate().skip(first) {
            if records.len() >= max_records as usize {
                break;
            }
            let age_ms = (self.now - *at).as_millis() as u64;
            let data = String::from(Body::from(bytes.clone()));
            records.push(wire::LogRecord { offset: index as u64, age_ms, data });
        }
        let next = self.log.records.len() as u64;
        wire::LogPage { earliest: self.log.earliest, next, records }
    }

    fn send(&mut self, from: &str, to: &str, message: Message) {
        if self.cut_links.contains(&host_pair(from, to)) || self.exited.contains(to) {
            return;
        }
        // Messages are sent as JSON, so the tests cover that every type survives encoding.
        let json = serde_json::to_string(&message).expect("a message is JSON");
        self.sent_bytes += json.len();
        let message = serde_json::from_str(&json).expect("a message is read back");
        let incarnation = self.state(from).cluster().identity.incarnation;
        self.deliver_later(to, Event::Peer { from: from.into(), incarnation, message });
    }

    fn fence(&mut self, host: &str, worker: pier_core::ids::WorkerId, token: FencingToken) {
        let now = self.now;
        let Some(state) = self.workers.get_mut(&*worker) else {
            return;
        };
        let event = if state.unreachable || token < state.token {
            WorkerEvent::FenceFailed { worker, token, stale: !state.unreachable }
        } else {
            state.token = token;
            state.fences.push((now, host.to_owned(), token));
            WorkerEvent::Fenced { worker, token, tasks: wire::WorkerTasks::default() }
        };
        self.deliver_later(host, Event::Worker(event));
    }
}

fn host_entry(
    id: &str,
    role: wire::HostRole,
    zone: usize,
    resources: Resources,
) -> wire::HostEntry {
    wire::HostEntry {
        id: id.into(),
        role,
        state: wire::HostState::Live,
        availability_zone: format!("z{zone}").into(),
        rack: "r0".into(),
        address: format!("{id}:1").into(),
        resources,
    }
}

fn host_pair(a: &str, b: &str) -> (String, String) {
    if a < b { (a.to_owned(), b.to_owned()) } else { (b.to_owned(), a.to_owned()) }
}
