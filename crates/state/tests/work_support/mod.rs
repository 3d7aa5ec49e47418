//! A simulated cell of several hosts and workers in virtual time, for tests of the work state.

// Each test file uses a different part of this module.
#![allow(dead_code)]

mod declared;
mod effects;
mod jobs;
mod readings;
mod worker;

use std::collections;
use std::sync;
use std::time;

#[allow(unused_imports, reason = "every test file uses another part of this module")]
pub use declared::{declaration, request};
pub use worker::{Mode, SimWorker};

use pier_core::{body, ids, map, resources, task, wire};
use pier_state::effect::CallerAnswer;
use pier_state::event::{CallerEvent, CallerRequest, WorkerEvent};
use pier_state::message::{Message, PlaceMessage};
use pier_state::work::{Work, WorkEvent};
use pier_state::{Options, cluster, effect, options, outbox, record, report};
use rand::rngs;
use rand::{Rng, SeedableRng};

/// The virtual time of one step.
pub const STEP: time::Duration = time::Duration::from_millis(10);
/// Each team and its API key.
pub const KEYS: [(&str, &str); 2] = [("red", "key-red"), ("blue", "key-blue")];

pub fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// The resources of `slots` slots, with one CPU core each.
pub fn amount(slots: u64) -> resources::Resources {
    resources::Resources { cpu_milli: slots * 1_000, slots, ..resources::Resources::ZERO }
}

#[derive(Debug)]
pub struct Host {
    pub work: Work,
    pub cluster: cluster::Cluster,
    /// Whether the host is up. A host that is down handles no events.
    pub is_up: bool,
    /// Whether the test itself acts as this host. Messages to such a host are kept in `inbox`.
    pub is_scripted: bool,
    pub inbox: Vec<PlaceMessage>,
}

#[derive(Debug)]
enum ScheduledEvent {
    Message { from: usize, incarnation: u64, to: usize, message: Message },
    Worker { host: usize, event: WorkerEvent },
}

/// The percentages of messages between hosts that the network drops, duplicates and delays.
#[derive(Debug, Clone, Copy, Default)]
pub struct Network {
    pub lost_percent: u32,
    pub repeated_percent: u32,
    pub delayed_percent: u32,
}

#[derive(Debug)]
pub struct Cell {
    pub now: time::Duration,
    pub hosts: Vec<Host>,
    pub workers: collections::BTreeMap<ids::WorkerId, SimWorker>,
    pub network: Network,
    /// How long requests and job tasks run.
    pub task_duration: time::Duration,
    /// The answers to callers, by host and ticket.
    pub answers: collections::BTreeMap<(usize, ids::Ticket), Vec<CallerAnswer>>,
    /// How often each attempt was started.
    pub start_counts: collections::BTreeMap<(ids::TaskId, ids::Attempt), u32>,
    /// How often tasks with each body were started.
    pub run_counts: map::Map<body::Body, u32>,
    pub stopped: Vec<(ids::TaskId, ids::Attempt)>,
    pub explanations: Vec<report::Explanation>,
    /// Whether workers answer report requests.
    pub sends_reports: bool,
    pub notices: Vec<effect::Notice>,
    scheduled: collections::BTreeMap<(time::Duration, u64), ScheduledEvent>,
    next_seq: u64,
    next_ticket: ids::Ticket,
    options: Options,
    rng: rngs::StdRng,
}

/// Adds ranges to sorted ranges with gaps between them.
fn merge(ranges: &mut Vec<record::TaskRange>, more: &[record::TaskRange]) {
    ranges.extend_from_slice(more);
    ranges.sort();
    let mut merged: Vec<record::TaskRange> = Vec::new();
    for range in ranges.iter() {
        match merged.last_mut() {
            Some(last) if range.first <= last.end => last.end = last.end.max(range.end),
            _ => merged.push(*range),
        }
    }
    *ranges = merged;
}

fn host_name(index: usize) -> ids::HostId {
    format!("host-{index}").into()
}

impl Cell {
    /// A cell of `hosts` hosts with `workers` workers of `slots` slots each.
    pub fn new(hosts: usize, workers: usize, slots: u64) -> Self {
        Self::with_options(hosts, workers, slots, Options::default())
    }

    pub fn with_options(hosts: usize, workers: usize, slots: u64, options: Options) -> Self {
        let mut cell = Self {
            now: ms(1_000),
            hosts: Vec::new(),
            workers: collections::BTreeMap::new(),
            network: Network::default(),
            task_duration: ms(100),
            answers: collections::BTreeMap::new(),
            start_counts: collections::BTreeMap::new(),
            run_counts: map::Map::default(),
            stopped: Vec::new(),
            explanations: Vec::new(),
            sends_reports: false,
            notices: Vec::new(),
            scheduled: collections::BTreeMap::new(),
            next_seq: 0,
            next_ticket: 0,
            options: options.clone(),
            rng: rngs::StdRng::seed_from_u64(1),
        };
        for index in 0..hosts {
            let me = options::HostIdentity {
                host: host_name(index),
                incarnation: 1,
                availability_zone: format!("zone-{index}").into(),
                peer_address: format!("127.0.0.1:{index}").into(),
            };
            let seed = u64::try_from(index).expect("few hosts");
            let work = Work::new(&me, options.clone(), seed);
            let mut cluster = cluster::Cluster::new(me);
            cluster.epoch = 1;
            cluster.is_member = true;
            cluster.settled = true;
            cluster.log_unreachable = false;
            cluster.authority = cluster::Authority::Fresh;
            cluster.version = 1;
            cluster.declaration = sync::Arc::new(declaration([None, None]));
            cell.hosts.push(Host {
                work,
                cluster,
                is_up: true,
                is_scripted: false,
                inbox: Vec::new(),
            });
        }
        let all: Vec<usize> = (0..hosts).collect();
        for index in 0..hosts {
            cell.hosts[index].cluster.member_hosts = all.iter().map(|i| host_name(*i)).collect();
            for peer in 0..hosts {
                if peer != index {
                    let info = cell.peer_info(peer);
                    cell.hosts[index].cluster.peers.insert(host_name(peer), info);
                }
            }
        }
        for index in 0..hosts {
            cell.change(index, cluster::Change::Declaration);
            cell.change(index, cluster::Change::Epoch { removed: Vec::new() });
        }
        for index in 0..workers {
            cell.add_worker(index, index % hosts, slots);
        }
        cell.refresh();
        cell
    }

    fn peer_info(&self, index: usize) -> cluster::PeerInfo {
        let me = &self.hosts[index].cluster.identity;
        cluster::PeerInfo {
            member: record::Member {
                host: me.host.clone(),
                incarnation: me.incarnation,
                availability_zone: me.availability_zone.clone(),
                peer_address: me.peer_address.clone(),
            },
            heard_at: Some(self.now),
            summary: cluster::Summary::default(),
            load_at: Some(self.now),
            leaving: false,
        }
    }

    pub fn add_worker(&mut self, index: usize, owner: usize, slots: u64) {
        let id: ids::WorkerId = format!("worker-{index:03}").into();
        let entry = wire::HostEntry {
            id: id.clone(),
            role: wire::HostRole::Worker,
            state: wire::HostState::Live,
            availability_zone: format!("zone-{}", index % 4).into(),
            rack: format!("rack-{}", index / 6).into(),
            address: format!("http://127.0.0.1:{index}").into(),
            resources: amount(slots),
        };
        let token = task::FencingToken { epoch: 1, handoff_seq: 0 };
        let worker = SimWorker {
            id: id.clone(),
            total: amount(slots),
            owner,
            mode: Mode::Healthy,
            running: collections::BTreeMap::new(),
            ended: Vec::new(),
            token,
            use_percent: 100,
        };
        self.workers.insert(id.clone(), worker);
        for (host, info) in self.hosts.iter_mut().enumerate() {
            let worker = cluster::WorkerInfo {
                entry: entry.clone(),
                closed: false,
                owner: Some(host_name(owner)),
                token: (host == owner).then_some(token),
            };
            info.cluster.cell_total = info.cluster.cell_total.plus(&amount(slots));
            info.cluster.workers.insert(id.clone(), worker);
        }
        let basis = cluster::TakeoverBasis::Listed(wire::WorkerTasks::default());
        self.change(owner, cluster::Change::WorkerGained { worker: id, basis });
    }

    /// Makes `to` the owner of `worker` in the view of every host, without an event for the work
    /// states.
    pub fn assign(&mut self, worker: &ids::WorkerId, to: usize, token: task::FencingToken) {
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let info = host.cluster.workers.get_mut(worker).expect("known worker");
            info.owner = Some(host_name(to));
            info.token = (index == to).then_some(token);
        }
        let sim = self.workers.get_mut(worker).expect("known worker");
        sim.owner = to;
        sim.token = token;
    }

    /// Renews authority and distributes summaries, as heartbeats do.
    pub fn refresh(&mut self) {
        for host in &mut self.hosts {
            if host.cluster.authority != cluster::Authority::None {
                host.cluster.authority_until = self.now + ms(2_500);
            }
        }
        let mut summaries = Vec::new();
        for host in &self.hosts {
            summaries.push(host.work.summary(self.now, &host.cluster));
        }
        let is_up: Vec<bool> = self.hosts.iter().map(|host| host.is_up).collect();
        for host in &mut self.hosts {
            for (index, summary) in summaries.iter().enumerate() {
                if !is_up[index] {
                    continue;
                }
                if let Some(peer) = host.cluster.peers.get_mut(&host_name(index)) {
                    peer.summary = summary.clone();
                    peer.heard_at = Some(self.now);
                    peer.load_at = Some(self.now);
                }
            }
        }
    }

    pub fn host_id(&self, index: usize) -> ids::HostId {
        host_name(index)
    }

    /// Sets the limits of the teams on every host.
    pub fn declare(&mut self, limits: [Option<resources::Resources>; 2]) {
        for index in 0..self.hosts.len() {
            self.declare_on(index, limits);
        }
    }

    pub fn declare_on(&mut self, index: usize, limits: [Option<resources::Resources>; 2]) {
        let cluster = &mut self.hosts[index].cluster;
        cluster.version += 1;
        cluster.declaration = sync::Arc::new(declaration(limits));
        self.change(index, cluster::Change::Declaration);
    }

    /// Starts an epoch without `removed` on all other hosts. The workers of the removed hosts are
    /// assigned to `successor`, which must still take them over.
    pub fn new_epoch(&mut self, removed: &[usize], successor: usize) {
        let mut inherited = Vec::new();
        for worker in self.workers.values() {
            if removed.contains(&worker.owner) {
                inherited.push(worker.id.clone());
            }
        }
        for worker in &inherited {
            for host in &mut self.hosts {
                let info = host.cluster.workers.get_mut(worker).expect("known worker");
                info.owner = Some(host_name(successor));
                info.token = None;
            }
        }
        self.hosts[successor].cluster.settled = inherited.is_empty();
        let removed_hosts: Vec<ids::HostId> =
            removed.iter().map(|index| host_name(*index)).collect();
        for index in 0..self.hosts.len() {
            let cluster = &mut self.hosts[index].cluster;
            cluster.epoch += 1;
            cluster.member_hosts.retain(|host| !removed_hosts.contains(host));
            cluster.peers.retain(|host, _| !removed_hosts.contains(host));
            if removed.contains(&index) {
                cluster.is_member = false;
                self.change(index, cluster::Change::Expelled);
                continue;
            }
            self.change(index, cluster::Change::Epoch { removed: removed_hosts.clone() });
        }
    }

    pub fn change(&mut self, index: usize, change: cluster::Change) {
        let mut out = outbox::Outbox::default();
        let host = &mut self.hosts[index];
        if !host.is_up {
            return;
        }
        host.work.on_change(self.now, &host.cluster, &change, &mut out);
        self.execute(index, out);
    }

    /// Hands over a worker from its owner to another host.
    pub fn hand_over(&mut self, worker: &ids::WorkerId, to: usize) {
        let from = self.workers[worker].owner;
        self.hosts[from].cluster.workers.get_mut(worker).expect("known worker").token = None;
        let mut out = outbox::Outbox::default();
        let host = &mut self.hosts[from];
        let handoff = host.work.release(self.now, &host.cluster, worker, &mut out);
        self.execute(from, out);
        let last = self.workers[worker].token;
        let token = task::FencingToken { epoch: last.epoch, handoff_seq: last.handoff_seq + 1 };
        self.assign(worker, to, token);
        let listed = self.workers[worker].tasks(self.now);
        let basis = cluster::TakeoverBasis::HandedOver { handoff, listed };
        self.change(to, cluster::Change::WorkerGained { worker: worker.clone(), basis });
    }

    /// Lets another host take over a worker from the worker's own list.
    pub fn take_over(&mut self, worker: &ids::WorkerId, to: usize) {
        let token = task::FencingToken { epoch: self.hosts[to].cluster.epoch, handoff_seq: 0 };
        self.assign(worker, to, token);
        let listed = self.workers[worker].tasks(self.now);
        let me = host_name(to);
        let cluster = &mut self.hosts[to].cluster;
        let mut owned = cluster.workers.values().filter(|info| info.owner.as_ref() == Some(&me));
        let settled = owned.all(|info| info.token.is_some());
        cluster.settled = settled;
        let basis = cluster::TakeoverBasis::Listed(listed);
        self.change(to, cluster::Change::WorkerGained { worker: worker.clone(), basis });
    }

    pub fn handle(&mut self, index: usize, event: WorkEvent) {
        let mut out = outbox::Outbox::default();
        let host = &mut self.hosts[index];
        if host.is_scripted
            && let WorkEvent::Peer { message: Message::Place(message), .. } = &event
        {
            host.inbox.push(message.clone());
        }
        if !host.is_up || host.is_scripted {
            return;
        }
        host.work.handle(self.now, &host.cluster, event, &mut out);
        self.execute(index, out);
    }

    /// Sends a request to a host and returns its ticket.
    pub fn send_request(&mut self, index: usize, request: CallerRequest) -> ids::Ticket {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.handle(index, WorkEvent::Caller(CallerEvent::Request { ticket, request }));
        ticket
    }

    /// Delivers a message from `from` to a host immediately.
    pub fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let incarnation = self.hosts[from].cluster.identity.incarnation;
        self.handle(to, WorkEvent::Peer { from: host_name(from), incarnation, message });
    }

    fn schedule(&mut self, delay: time::Duration, scheduled: ScheduledEvent) {
        self.next_seq += 1;
        self.scheduled.insert((self.now + delay, self.next_seq), scheduled);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Applies an entry about a job on every host, as if read from the log.
    fn fold(&mut self, entry: &record::Entry) {
        let id = match entry {
            record::Entry::JobProgress { job, .. } | record::Entry::JobEnded { job, .. } => job,
            _ => return,
        };
        for index in 0..self.hosts.len() {
            let Some(fold) = self.hosts[index].cluster.jobs.get_mut(id) else {
                continue;
            };
            match entry {
                record::Entry::JobProgress { done, .. } => merge(&mut fold.done, done),
                record::Entry::JobEnded { phase, .. } => fold.phase = Some(*phase),
                _ => {}
            }
            self.change(index, cluster::Change::Job { job: id.clone() });
        }
    }

    /// Advances the time by one step.
    pub fn step(&mut self) {
        self.now += STEP;
        self.end_tasks();
        while let Some(entry) = self.scheduled.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            match entry.remove() {
                ScheduledEvent::Message { from, incarnation, to, message } => {
                    let from = host_name(from);
                    self.handle(to, WorkEvent::Peer { from, incarnation, message });
                }
                ScheduledEvent::Worker { host, event } => {
                    self.handle(host, WorkEvent::Worker(event))
                }
            }
        }
        let elapsed_ms = self.now.as_millis();
        if elapsed_ms.is_multiple_of(50) {
            for index in 0..self.hosts.len() {
                self.handle(index, WorkEvent::Tick);
            }
        }
        if elapsed_ms.is_multiple_of(250) {
            self.refresh();
        }
        if elapsed_ms.is_multiple_of(2_000) {
            let workers: Vec<ids::WorkerId> = self.workers.keys().cloned().collect();
            for worker in workers {
                if self.workers[&worker].mode != Mode::Unreachable {
                    self.report(&worker);
                }
            }
        }
    }

    pub fn run(&mut self, duration: time::Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.step();
        }
    }
}
