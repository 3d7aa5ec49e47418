//! The reducers of several hosts, driven by a virtual clock, with fakes of everything outside.

mod calls;
pub mod checks;
mod faults;
mod framing;
pub mod load;
#[allow(dead_code, reason = "only the capacity measurement reads the meter")]
pub mod meter;
mod platform;
pub mod scenario;
pub mod worker;

use std::collections;
use std::sync;
use std::time;

use pier_core::{body, ids, resources, task, wire};
use pier_state::{Effect, Event, Options, State, cluster, effect, event, options};
use rand::{Rng, SeedableRng, rngs};

pub type Attempt = (ids::TaskId, ids::Attempt);

const TICK: time::Duration = time::Duration::from_millis(50);
const HOST_LIST_POLL: time::Duration = time::Duration::from_millis(1_000);
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
const REPORT_LAG: time::Duration = time::Duration::from_millis(1_500);
const MAX_DRIFT_PPM: i64 = 200;
/// One in this many messages to peers is encoded and decoded.
const ROUND_TRIP_EVERY: u64 = 8;

/// A host and its current process.
pub struct Host {
    pub id: ids::HostId,
    pub zone: ids::ZoneId,
    pub address: sync::Arc<str>,
    pub state: Option<State>,
    pub incarnation: ids::Incarnation,
    started: time::Duration,
    drift_ppm: i64,
    paused_until: Option<time::Duration>,
    backlog: Vec<Event>,
    pub draining: bool,
    max_version: ids::Version,
}

/// A call of a host to a worker.
#[derive(Debug, Clone)]
enum WorkerCall {
    Start(sync::Arc<wire::StartTask>),
    Renew(wire::RenewLeases, time::Duration),
    Preempt(task::FencingToken, Attempt, task::PreemptionMode),
    Fence(task::FencingToken),
    Report(time::Duration),
}

#[derive(Debug, Clone)]
enum LogCall {
    Read { ticket: ids::Ticket, from: u64, max: u32 },
    Append { ticket: ids::Ticket, bytes: sync::Arc<[u8]> },
}

/// A scheduled event.
#[derive(Debug, Clone)]
enum Delivery {
    Tick { host: usize, incarnation: u64 },
    PollHosts { host: usize, incarnation: u64 },
    ToHost { host: usize, incarnation: u64, event: Box<Event> },
    AtWorker { host: usize, incarnation: u64, worker: ids::WorkerId, call: WorkerCall, late: bool },
    AtLog { host: usize, incarnation: u64, call: LogCall },
    WorkerAdvance { worker: ids::WorkerId },
    Start { host: usize },
    Resume { host: usize },
    Fault { index: usize },
    FaultEnd { index: usize },
    Load,
    ChangeDeclaration,
}

/// A call of kind `answer` that a host holds open.
struct OpenCall {
    host: usize,
    incarnation: u64,
}

/// A cell under test.
pub struct Cell {
    pub scenario: scenario::Scenario,
    pub now: time::Duration,
    pub rng: rngs::StdRng,
    pub hosts: Vec<Host>,
    pub workers: collections::BTreeMap<ids::WorkerId, worker::Worker>,
    pub checks: checks::Checks,
    pub load: load::Load,
    pub meter: Option<meter::Meter>,
    log: platform::Log,
    host_list: platform::HostList,
    network: faults::Network,
    queue: collections::BTreeMap<(time::Duration, u64), Delivery>,
    next_seq: u64,
    open_calls: collections::BTreeMap<(ids::WorkerId, Attempt), OpenCall>,
}

impl Cell {
    pub fn new(scenario: scenario::Scenario) -> Self {
        Self::with_profile(scenario, load::Profile::default())
    }

    /// A cell with another load than that of the random tests.
    pub fn with_profile(scenario: scenario::Scenario, profile: load::Profile) -> Self {
        let mut cell = Self {
            now: time::Duration::ZERO,
            rng: rngs::StdRng::seed_from_u64(scenario.seed),
            hosts: Vec::new(),
            workers: collections::BTreeMap::new(),
            checks: checks::Checks::default(),
            load: load::Load::new(profile),
            meter: None,
            log: platform::Log::default(),
            host_list: platform::HostList::default(),
            network: faults::Network::default(),
            queue: collections::BTreeMap::new(),
            next_seq: 0,
            open_calls: collections::BTreeMap::new(),
            scenario,
        };
        for index in 0..cell.scenario.workers {
            let id: ids::WorkerId = format!("w{index}").into();
            let entry = wire::HostEntry {
                id: id.clone(),
                role: wire::HostRole::Worker,
                state: wire::HostState::Live,
                availability_zone: zone(index),
                rack: format!("r{}", index / cell.load.profile.workers_per_rack).into(),
                address: format!("http://{id}").into(),
                resources: worker_size(),
            };
            cell.workers.insert(id, worker::Worker::new(entry));
        }
        for index in 0..cell.scenario.hosts {
            cell.hosts.push(Host {
                id: format!("h{index}").into(),
                zone: zone(index),
                address: format!("10.0.0.{index}:1").into(),
                state: None,
                incarnation: 0,
                started: time::Duration::ZERO,
                drift_ppm: 0,
                paused_until: None,
                backlog: Vec::new(),
                draining: false,
                max_version: 0,
            });
            cell.start_host(index);
        }
        for index in 0..cell.scenario.faults.len() {
            let at = time::Duration::from_millis(cell.scenario.faults[index].at_ms);
            cell.schedule_at(at, Delivery::Fault { index });
        }
        cell.schedule_at(time::Duration::from_millis(500), Delivery::ChangeDeclaration);
        cell.schedule_at(time::Duration::from_millis(4_000), Delivery::Load);
        cell
    }

    /// Runs until `end` or until a check fails.
    pub fn run_until(&mut self, end: time::Duration) {
        while self.checks.violations.is_empty() {
            let Some(entry) = self.queue.first_entry() else {
                break;
            };
            if entry.key().0 > end {
                break;
            }
            let ((at, _), delivery) = entry.remove_entry();
            self.now = at;
            self.deliver(delivery);
        }
        self.now = self.now.max(end);
    }

    fn schedule_at(&mut self, at: time::Duration, delivery: Delivery) {
        self.next_seq += 1;
        self.queue.insert((at, self.next_seq), delivery);
    }

    fn schedule_in(&mut self, delay: time::Duration, delivery: Delivery) {
        self.schedule_at(self.now + delay, delivery);
    }

    fn delay(&mut self) -> time::Duration {
        let max_delay_us = if self.network.degraded { 400_000 } else { 5_000 };
        time::Duration::from_micros(self.rng.random_range(300..max_delay_us))
    }

    fn start_host(&mut self, index: usize) {
        let incarnation = self.rng.random_range(1..u64::MAX / 2);
        let seed = self.rng.random();
        let drift_ppm = self.rng.random_range(-MAX_DRIFT_PPM..=MAX_DRIFT_PPM);
        let now = self.now;
        let host = &mut self.hosts[index];
        let me = options::HostIdentity {
            host: host.id.clone(),
            incarnation,
            availability_zone: host.zone.clone(),
            peer_address: host.address.clone(),
        };
        host.state = Some(State::new(me, cell_options(&self.load.profile), seed));
        host.incarnation = incarnation;
        host.started = now;
        host.drift_ppm = drift_ppm;
        host.paused_until = None;
        host.backlog.clear();
        host.draining = false;
        host.max_version = 0;
        self.record_hosts();
        let first_tick = time::Duration::from_micros(self.rng.random_range(0..50_000));
        self.schedule_in(first_tick, Delivery::Tick { host: index, incarnation });
        self.schedule_in(first_tick, Delivery::PollHosts { host: index, incarnation });
    }

    fn stop_host(&mut self, index: usize) {
        self.hosts[index].state = None;
        self.hosts[index].backlog.clear();
        self.record_hosts();
    }

    fn record_hosts(&mut self) {
        let mut entries = Vec::new();
        for host in &self.hosts {
            if host.state.is_none() {
                continue;
            }
            let state =
                if host.draining { wire::HostState::Leaving } else { wire::HostState::Live };
            entries.push(wire::HostEntry {
                id: host.id.clone(),
                role: wire::HostRole::Entry,
                state,
                availability_zone: host.zone.clone(),
                rack: "r".into(),
                address: host.address.clone(),
                resources: resources::Resources::ZERO,
            });
        }
        for worker in self.workers.values() {
            entries.push(worker.entry.clone());
        }
        self.host_list.record(self.now, entries);
    }

    /// The time of a host's own clock, which drifts.
    fn host_now(&self, index: usize) -> time::Duration {
        let host = &self.hosts[index];
        let elapsed = self.now.saturating_sub(host.started);
        let ppm = u32::try_from(1_000_000 + host.drift_ppm).expect("the drift is small");
        elapsed * ppm / 1_000_000
    }

    fn is_current(&self, host: usize, incarnation: u64) -> bool {
        self.hosts[host].incarnation == incarnation && self.hosts[host].state.is_some()
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Tick { host, incarnation } => {
                if !self.is_current(host, incarnation) {
                    return;
                }
                if self.hosts[host].paused_until.is_none() {
                    self.apply(host, Event::Tick);
                    self.check_host(host);
                }
                self.schedule_in(TICK, Delivery::Tick { host, incarnation });
            }
            Delivery::PollHosts { host, incarnation } => {
                if !self.is_current(host, incarnation) {
                    return;
                }
                let list = self.host_list.read(self.now, faults::HOST_LIST_LAG);
                self.record_leaving_workers(host, list.as_ref());
                let event = Event::HostList(list);
                if let Some(meter) = &mut self.meter {
                    meter.count_answer(&event);
                }
                self.apply_or_buffer(host, event);
                self.schedule_in(HOST_LIST_POLL, Delivery::PollHosts { host, incarnation });
            }
            Delivery::ToHost { host, incarnation, event } => {
                if self.is_current(host, incarnation) {
                    if let Some(meter) = &mut self.meter {
                        meter.count_answer(&event);
                    }
                    self.apply_or_buffer(host, *event);
                }
            }
            Delivery::AtWorker { host, incarnation, worker, call, late } => {
                self.handle_worker_call(host, incarnation, &worker, call, late);
            }
            Delivery::AtLog { host, incarnation, call } => {
                self.handle_log_call(host, incarnation, call)
            }
            Delivery::WorkerAdvance { worker } => self.advance_worker(&worker),
            Delivery::Start { host } => {
                if self.hosts[host].state.is_none() {
                    self.start_host(host);
                }
            }
            Delivery::Resume { host } => self.resume(host),
            Delivery::Fault { index } => self.begin_fault(index),
            Delivery::FaultEnd { index } => self.end_fault(index),
            Delivery::Load => self.generate_load(),
            Delivery::ChangeDeclaration => self.send_declaration_changes(),
        }
    }

    fn record_leaving_workers(&mut self, host: usize, list: Option<&wire::HostList>) {
        for entry in list.map(|list| list.hosts.as_slice()).unwrap_or_default() {
            if entry.role == wire::HostRole::Worker && entry.state == wire::HostState::Leaving {
                let seen = self.checks.leaving.entry((host, entry.id.clone()));
                seen.or_insert(self.now);
            }
        }
    }

    fn check_host(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let Some(state) = &host.state else {
            return;
        };
        let version = state.cluster().version;
        if version < host.max_version {
            let text = format!("P11: host {} went back to version {version}", host.id);
            self.checks.violations.push(text);
        }
        host.max_version = host.max_version.max(version);
        let violations = state.counters().invariant_violations;
        if violations > 0 {
            let text = format!("host {} counted {violations} broken invariants", host.id);
            self.checks.violations.push(text);
        }
        for (job, fold) in &state.cluster().jobs {
            if let Some(phase) = fold.phase {
                self.load.ended.insert(job.clone(), phase);
            }
        }
    }

    fn resume(&mut self, index: usize) {
        self.hosts[index].paused_until = None;
        for event in std::mem::take(&mut self.hosts[index].backlog) {
            self.apply(index, event);
        }
    }

    fn apply_or_buffer(&mut self, index: usize, event: Event) {
        if self.hosts[index].paused_until.is_some() {
            self.hosts[index].backlog.push(event);
            return;
        }
        self.apply(index, event);
    }

    fn apply(&mut self, index: usize, event: Event) {
        let now = self.host_now(index);
        let Some(state) = &mut self.hosts[index].state else {
            return;
        };
        let effects = match &mut self.meter {
            Some(meter) => meter.apply(index, state, now, event),
            None => state.apply(now, event),
        };
        for effect in effects {
            self.execute(index, effect);
        }
    }

    fn send_to_host(&mut self, host: usize, incarnation: u64, event: Event) {
        let delay = self.delay();
        self.schedule_in(delay, Delivery::ToHost { host, incarnation, event: Box::new(event) });
    }

    fn execute(&mut self, index: usize, effect: Effect) {
        let incarnation = self.hosts[index].incarnation;
        match effect {
            Effect::ReadLog { ticket, from, max_records } => {
                let call = LogCall::Read { ticket, from, max: max_records };
                let delay = self.delay();
                self.schedule_in(delay, Delivery::AtLog { host: index, incarnation, call });
            }
            Effect::Append { ticket, bytes } => {
                let call = LogCall::Append { ticket, bytes };
                let delay = self.delay();
                self.schedule_in(delay, Delivery::AtLog { host: index, incarnation, call });
            }
            Effect::SendPeer { to, incarnation, message, .. } => {
                self.send_peer(index, &to, incarnation, message);
            }
            Effect::AnswerCaller { ticket, answer } => self.on_answer(index, ticket, answer),
            Effect::AnswerOperator { ticket, answer } => self.on_operator(ticket, answer),
            Effect::WorkerStart { worker, not_after, start, .. } => {
                if self.host_now(index) > not_after {
                    let event = event::WorkerEvent::NotStarted {
                        worker,
                        task: start.task.clone(),
                        attempt: start.attempt,
                        reason: event::NotStarted::Expired,
                    };
                    self.send_to_host(index, incarnation, Event::Worker(event));
                    return;
                }
                self.call_worker(index, worker, WorkerCall::Start(start));
            }
            Effect::WorkerRenew { worker, renew, .. } => {
                let sent_at = self.host_now(index);
                self.call_worker(index, worker, WorkerCall::Renew(renew, sent_at));
            }
            Effect::WorkerPreempt { worker, token, task, attempt, mode: how, .. } => {
                self.call_worker(index, worker, WorkerCall::Preempt(token, (task, attempt), how));
            }
            Effect::WorkerFence { worker, token, .. } => {
                self.call_worker(index, worker, WorkerCall::Fence(token));
            }
            Effect::WorkerReport { worker, .. } => {
                let asked_at = self.host_now(index);
                self.call_worker(index, worker, WorkerCall::Report(asked_at));
            }
            Effect::Log(effect::Notice::Invariant { error }) => {
                self.checks.violations.push(format!("host {}: {error}", self.hosts[index].id));
            }
            Effect::Log(notice) => {
                if std::env::var_os("PIER_TRACE").is_some() {
                    let at_ms = self.now.as_millis();
                    println!("{at_ms:>7} {}: {notice}", self.hosts[index].id);
                }
            }
            Effect::Exit => self.on_exit(index),
        }
    }

    fn on_exit(&mut self, index: usize) {
        self.stop_host(index);
        self.schedule_in(time::Duration::from_secs(3), Delivery::Start { host: index });
    }

    fn send_peer(
        &mut self,
        from: usize,
        to: &ids::HostId,
        sender: ids::Incarnation,
        message: pier_state::message::Message,
    ) {
        let Some(target) = self.hosts.iter().position(|host| host.id == *to) else {
            return;
        };
        let cut = self.network.cuts(&self.hosts[from], &self.hosts[target]);
        let lost = self.rng.random_range(0..100) < self.network.loss_percent;
        if cut || lost || self.hosts[target].state.is_none() {
            return;
        }
        if self.next_seq.is_multiple_of(ROUND_TRIP_EVERY) {
            assert_eq!(round_trip(&message), message, "a message changes when it is encoded");
        }
        let copies =
            if self.network.degraded && self.rng.random_range(0..100) < 10 { 2 } else { 1 };
        for _ in 0..copies {
            let event = Event::Peer {
                from: self.hosts[from].id.clone(),
                incarnation: sender,
                message: message.clone(),
            };
            let incarnation = self.hosts[target].incarnation;
            self.send_to_host(target, incarnation, event);
        }
    }

    fn call_worker(&mut self, host: usize, worker: ids::WorkerId, call: WorkerCall) {
        let delay = self.delay();
        let incarnation = self.hosts[host].incarnation;
        let delivery = Delivery::AtWorker { host, incarnation, worker, call, late: false };
        self.schedule_in(delay, delivery);
    }

    /// The hosts that do not run, are no members, or lack authority; none in a healthy cell.
    pub fn unhealthy_hosts(&self) -> Vec<String> {
        let mut unhealthy = Vec::new();
        for host in &self.hosts {
            let Some(state) = &host.state else {
                unhealthy.push(format!("{} does not run", host.id));
                continue;
            };
            let cluster = state.cluster();
            if !cluster.is_member || cluster.authority == cluster::Authority::None {
                let (member, authority) = (cluster.is_member, cluster.authority);
                unhealthy.push(format!("{}: member {member}, authority {authority}", host.id));
            }
        }
        unhealthy
    }
}

/// A message as the receiver decodes it. Guards against a field that is left out or written in
/// another form and does not come back.
fn round_trip(message: &pier_state::message::Message) -> pier_state::message::Message {
    let bytes = serde_json::to_vec(message).expect("a message can be written");
    serde_json::from_slice(&bytes).expect("a written message can be read")
}

pub fn zone(index: usize) -> ids::ZoneId {
    format!("z{}", index % scenario::ZONES).into()
}

pub fn worker_size() -> resources::Resources {
    resources::Resources {
        cpu_milli: 8_000,
        memory_mb: 16_000,
        accelerators: 0,
        slots: 8,
        connections: 16,
    }
}

fn cell_options(profile: &load::Profile) -> Options {
    Options { task_lease: profile.task_lease, ..Options::default() }
}

/// A payload that runs for `run_ms` and is unique by `number`.
pub fn payload(number: u64, run_ms: u64) -> body::Body {
    body::Body::from(format!("{number} {run_ms}").as_str())
}
