//! A cell of several hosts and workers in virtual time, for tests of the work part.

// Every test file uses another part of this module.
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

/// The step of virtual time.
pub const STEP: time::Duration = time::Duration::from_millis(10);
/// The key of the team of the same name.
pub const KEYS: [(&str, &str); 2] = [("red", "key-red"), ("blue", "key-blue")];

pub fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// An amount of processor time and as many slots.
pub fn amount(slots: u64) -> resources::Resources {
    resources::Resources { cpu_milli: slots * 1_000, slots, ..resources::Resources::ZERO }
}

#[derive(Debug)]
pub struct Host {
    pub work: Work,
    pub cluster: cluster::Cluster,
    /// A host that is down handles nothing.
    pub up: bool,
    /// The test itself plays this host: messages to it are kept.
    pub puppet: bool,
    pub inbox: Vec<PlaceMessage>,
}

#[derive(Debug)]
enum Due {
    Message { from: usize, incarnation: u64, to: usize, message: Message },
    Worker { host: usize, event: WorkerEvent },
}

/// What the network does to messages between hosts, in percent.
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
    pub run_for: time::Duration,
    /// The answers of callers, by host and ticket.
    pub answers: collections::BTreeMap<(usize, ids::Ticket), Vec<CallerAnswer>>,
    /// The tasks of requests by body, and how often each attempt was carried out.
    pub carried_out: collections::BTreeMap<(ids::TaskId, ids::Attempt), u32>,
    /// The bodies of the tasks that were carried out.
    pub bodies_run: map::Map<body::Body, u32>,
    pub stopped: Vec<(ids::TaskId, ids::Attempt)>,
    pub explanations: Vec<report::Explanation>,
    /// Whether workers answer questions for a report.
    pub answers_reports: bool,
    pub notices: Vec<effect::Notice>,
    due: collections::BTreeMap<(time::Duration, u64), Due>,
    next_seq: u64,
    next_ticket: ids::Ticket,
    options: Options,
    rng: rngs::StdRng,
}

/// Adds ranges to sorted ranges that do not touch.
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
            run_for: ms(100),
            answers: collections::BTreeMap::new(),
            carried_out: collections::BTreeMap::new(),
            bodies_run: map::Map::default(),
            stopped: Vec::new(),
            explanations: Vec::new(),
            answers_reports: false,
            notices: Vec::new(),
            due: collections::BTreeMap::new(),
            next_seq: 0,
            next_ticket: 0,
            options: options.clone(),
            rng: rngs::StdRng::seed_from_u64(1),
        };
        for index in 0..hosts {
            let me = options::Me {
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
            cluster.log_away = false;
            cluster.authority = cluster::Authority::Fresh;
            cluster.version = 1;
            cluster.declaration = sync::Arc::new(declaration([None, None]));
            cell.hosts.push(Host { work, cluster, up: true, puppet: false, inbox: Vec::new() });
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
        let me = &self.hosts[index].cluster.me;
        cluster::PeerInfo {
            member: record::Member {
                host: me.host.clone(),
                incarnation: me.incarnation,
                availability_zone: me.availability_zone.clone(),
                peer_address: me.peer_address.clone(),
            },
            heard_at: Some(self.now),
            summary: cluster::Summary::default(),
            room_at: Some(self.now),
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
            mode: Mode::Works,
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

    /// Makes `worker` owned by `to` in the view of every host, without telling the work parts.
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

    /// Refreshes authority and summaries, as heartbeats do.
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
        let up: Vec<bool> = self.hosts.iter().map(|host| host.up).collect();
        for host in &mut self.hosts {
            for (index, summary) in summaries.iter().enumerate() {
                if !up[index] {
                    continue;
                }
                if let Some(peer) = host.cluster.peers.get_mut(&host_name(index)) {
                    peer.summary = summary.clone();
                    peer.heard_at = Some(self.now);
                    peer.room_at = Some(self.now);
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

    /// Begins an epoch without `removed` on every host that stays. The workers of the hosts that
    /// are removed go to `heir`, which still has to take them over.
    pub fn new_epoch(&mut self, removed: &[usize], heir: usize) {
        let mut inherited = Vec::new();
        for worker in self.workers.values() {
            if removed.contains(&worker.owner) {
                inherited.push(worker.id.clone());
            }
        }
        for worker in &inherited {
            for host in &mut self.hosts {
                let info = host.cluster.workers.get_mut(worker).expect("known worker");
                info.owner = Some(host_name(heir));
                info.token = None;
            }
        }
        self.hosts[heir].cluster.settled = inherited.is_empty();
        let gone: Vec<ids::HostId> = removed.iter().map(|index| host_name(*index)).collect();
        for index in 0..self.hosts.len() {
            let cluster = &mut self.hosts[index].cluster;
            cluster.epoch += 1;
            cluster.member_hosts.retain(|host| !gone.contains(host));
            cluster.peers.retain(|host, _| !gone.contains(host));
            if removed.contains(&index) {
                cluster.is_member = false;
                self.change(index, cluster::Change::Expelled);
                continue;
            }
            self.change(index, cluster::Change::Epoch { removed: gone.clone() });
        }
    }

    pub fn change(&mut self, index: usize, change: cluster::Change) {
        let mut out = outbox::Outbox::default();
        let host = &mut self.hosts[index];
        if !host.up {
            return;
        }
        host.work.on_change(self.now, &host.cluster, &change, &mut out);
        self.carry_out(index, out);
    }

    /// Hands a worker from its owner to another host.
    pub fn hand_over(&mut self, worker: &ids::WorkerId, to: usize) {
        let from = self.workers[worker].owner;
        self.hosts[from].cluster.workers.get_mut(worker).expect("known worker").token = None;
        let mut out = outbox::Outbox::default();
        let host = &mut self.hosts[from];
        let handoff = host.work.release(self.now, &host.cluster, worker, &mut out);
        self.carry_out(from, out);
        let last = self.workers[worker].token;
        let token = task::FencingToken { epoch: last.epoch, handoff_seq: last.handoff_seq + 1 };
        self.assign(worker, to, token);
        let listed = self.workers[worker].tasks(self.now);
        let basis = cluster::TakeoverBasis::Handed { handoff, listed };
        self.change(to, cluster::Change::WorkerGained { worker: worker.clone(), basis });
    }

    /// Has a worker taken over by another host from the worker's own list.
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
        if host.puppet
            && let WorkEvent::Peer { message: Message::Place(message), .. } = &event
        {
            host.inbox.push(message.clone());
        }
        if !host.up || host.puppet {
            return;
        }
        host.work.handle(self.now, &host.cluster, event, &mut out);
        self.carry_out(index, out);
    }

    /// Sends a request to a host and returns its ticket.
    pub fn ask(&mut self, index: usize, request: CallerRequest) -> ids::Ticket {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.handle(index, WorkEvent::Caller(CallerEvent::Request { ticket, request }));
        ticket
    }

    /// Hands a message of `from` to a host at once.
    pub fn tell(&mut self, from: usize, to: usize, message: Message) {
        let incarnation = self.hosts[from].cluster.me.incarnation;
        self.handle(to, WorkEvent::Peer { from: host_name(from), incarnation, message });
    }

    fn schedule(&mut self, delay: time::Duration, due: Due) {
        self.next_seq += 1;
        self.due.insert((self.now + delay, self.next_seq), due);
    }

    fn roll(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Folds an entry about a job on every host, as the log does.
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

    /// Lets one step of time pass.
    pub fn step(&mut self) {
        self.now += STEP;
        self.end_tasks();
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            match entry.remove() {
                Due::Message { from, incarnation, to, message } => {
                    let from = host_name(from);
                    self.handle(to, WorkEvent::Peer { from, incarnation, message });
                }
                Due::Worker { host, event } => self.handle(host, WorkEvent::Worker(event)),
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
