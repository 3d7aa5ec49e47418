//! The jobs state of one host with a fixed cell, a simple log and a virtual clock.

#![allow(dead_code, reason = "each test file uses a part of the fixture")]

use std::collections;
use std::time;

use pier_core::{body, caller, ids, rendezvous, resources, task, wire};
use pier_state::work::{jobs, placement};
use pier_state::{Effect, cluster, effect, message, options, outbox, record};

pub const TEAM: &str = "blue";
pub const ONE_MS: time::Duration = time::Duration::from_millis(1);

/// A job id whose home among `members` is `home`.
pub fn job_with_home(home: &str, members: &[&str]) -> String {
    for number in 0..1_000 {
        let id = format!("job{number}");
        if *rendezvous::ranked(&id, members)[0] == home {
            return id;
        }
    }
    panic!("no id of a thousand has its home at {home}");
}

/// The host under test, `h1`, in zone `z1`, with peers `h2` in `z2` and `h3` in `z3`.
pub struct Fixture {
    pub now: time::Duration,
    pub options: options::Options,
    pub cluster: cluster::Cluster,
    pub jobs: jobs::Jobs,
    /// The commands that the test has not taken yet.
    pub commands: placement::Commands,
    /// Every attempt that was placed.
    pub placed: Vec<placement::Placement>,
    /// Entries that were appended to the log and not folded yet.
    pub entries: Vec<record::Entry>,
    pub effects: Vec<Effect>,
    pub next_ticket: ids::Ticket,
}

pub fn secs(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

pub fn host(name: &str) -> ids::HostId {
    name.into()
}

pub fn small() -> resources::Resources {
    resources::Resources { cpu_milli: 1_000, memory_mb: 1_000, slots: 1, ..Default::default() }
}

pub fn request(tasks: u32) -> caller::JobRequest {
    caller::JobRequest {
        queue: "queue".into(),
        tasks,
        resources: small(),
        run_estimate_ms: 1_000,
        deadline_ms: None,
        checkpoint_interval_ms: 0,
        repeatable: true,
        payload: "input".into(),
    }
}

pub fn not_repeatable(tasks: u32) -> caller::JobRequest {
    caller::JobRequest { repeatable: false, ..request(tasks) }
}

pub fn end(kind: task::EndKind) -> placement::AttemptEvent {
    let end = task::TaskEnd { kind, body: body::Body::default() };
    placement::AttemptEvent::Ended { end: Some(end), worker: Some("w1".into()) }
}

pub fn unknown_end() -> placement::AttemptEvent {
    placement::AttemptEvent::Ended { end: None, worker: None }
}

pub fn started() -> placement::AttemptEvent {
    placement::AttemptEvent::Started { worker: "w1".into() }
}

pub fn not_run() -> placement::AttemptEvent {
    let refusal = caller::Refusal::not_run(caller::RefusalKind::NoRoom, "no room");
    placement::AttemptEvent::NotRun { refusal }
}

fn worker(name: &str) -> cluster::WorkerInfo {
    let entry = wire::HostEntry {
        id: name.into(),
        role: wire::HostRole::Worker,
        state: wire::HostState::Live,
        availability_zone: "z1".into(),
        rack: "r1".into(),
        address: "http://127.0.0.1:1".into(),
        resources: resources::Resources {
            cpu_milli: 16_000,
            memory_mb: 64_000,
            accelerators: 0,
            slots: 8,
            connections: 64,
        },
    };
    cluster::WorkerInfo { entry, closed: false, owner: Some(host("h1")), token: None }
}

fn peer(name: &str, zone: &str) -> cluster::PeerInfo {
    cluster::PeerInfo {
        member: record::Member {
            host: name.into(),
            incarnation: 1,
            availability_zone: zone.into(),
            peer_address: "127.0.0.1:2".into(),
        },
        heard_at: Some(time::Duration::MAX / 2),
        summary: cluster::Summary::default(),
        load_at: None,
        leaving: false,
    }
}

impl Fixture {
    /// A host in epoch 1 that is the only member and has the complete list of attempts.
    pub fn single_member() -> Self {
        let mut fixture = Self::before_reports(&["h1"]);
        fixture.report_all_attempts("h1", &[]);
        fixture
    }

    /// A host in epoch 1 with these members, none of which has reported its attempts.
    pub fn before_reports(members: &[&str]) -> Self {
        Self::before_reports_as("h1", members)
    }

    /// The same for a host with another name.
    pub fn before_reports_as(me: &str, members: &[&str]) -> Self {
        let me = options::HostIdentity {
            host: host(me),
            incarnation: 1,
            availability_zone: "z1".into(),
            peer_address: "127.0.0.1:1".into(),
        };
        let options = options::Options::default();
        let mut cluster = cluster::Cluster::new(me);
        cluster.is_member = true;
        cluster.authority = cluster::Authority::Fresh;
        cluster.authority_until = time::Duration::MAX;
        cluster.log_unreachable = false;
        cluster.settled = true;
        for name in ["w1", "w2"] {
            cluster.workers.insert(name.into(), worker(name));
        }
        for (name, zone) in [("h2", "z2"), ("h3", "z3")] {
            cluster.peers.insert(host(name), peer(name, zone));
        }
        let mut fixture = Self {
            now: secs(100),
            jobs: jobs::Jobs::new(options.clone()),
            options,
            cluster,
            commands: placement::Commands::default(),
            placed: Vec::new(),
            entries: Vec::new(),
            effects: Vec::new(),
            next_ticket: 1,
        };
        fixture.epoch(1, members);
        fixture
    }

    /// Changes the declaration.
    pub fn declare(&mut self, declaration: pier_decl::Declaration) {
        self.cluster.version += 1;
        self.cluster.declaration = std::sync::Arc::new(declaration);
        self.change(cluster::Change::Declaration);
        self.advance(secs(1));
    }

    /// Starts an epoch.
    pub fn epoch(&mut self, epoch: ids::Epoch, members: &[&str]) {
        self.cluster.epoch = epoch;
        self.cluster.member_hosts = members.iter().map(|name| host(name)).collect();
        self.cluster.is_member = members.contains(&self.cluster.identity.host.as_ref());
        self.change(cluster::Change::Epoch { removed: Vec::new() });
    }

    pub fn change(&mut self, change: cluster::Change) {
        let mut out = outbox::Outbox::default();
        let commands = self.jobs.on_change(self.now, &self.cluster, &change, &mut out);
        self.collect_output(out, commands);
    }

    fn collect_output(&mut self, out: outbox::Outbox, commands: placement::Commands) {
        self.entries.extend(out.entries);
        self.effects.extend(out.effects);
        self.placed.extend(commands.place.iter().cloned());
        self.commands.place.extend(commands.place);
        self.commands.commit.extend(commands.commit);
        self.commands.cancel.extend(commands.cancel);
        self.commands.adopt.extend(commands.adopt);
    }

    /// Submits a job and returns its ticket.
    pub fn submit(
        &mut self,
        job: &str,
        class: task::Class,
        request: caller::JobRequest,
    ) -> ids::Ticket {
        let ticket = self.ticket();
        let submission = jobs::Submission {
            ticket,
            job: job.into(),
            team: TEAM.into(),
            class,
            request,
            wall_ms: 1,
        };
        let mut out = outbox::Outbox::default();
        self.jobs.submit(self.now, &self.cluster, submission, &mut out);
        self.collect_output(out, placement::Commands::default());
        ticket
    }

    pub fn ticket(&mut self) -> ids::Ticket {
        self.next_ticket += 1;
        self.next_ticket
    }

    pub fn cancel(&mut self, job: &str, team: &str) -> ids::Ticket {
        let ticket = self.ticket();
        let mut out = outbox::Outbox::default();
        self.jobs.cancel(self.now, &self.cluster, ticket, &team.into(), job.into(), &mut out);
        self.collect_output(out, placement::Commands::default());
        ticket
    }

    pub fn query(&mut self, job: &str, team: &str) -> ids::Ticket {
        let ticket = self.ticket();
        let mut out = outbox::Outbox::default();
        self.jobs.query(self.now, &self.cluster, ticket, &team.into(), job.into(), &mut out);
        self.collect_output(out, placement::Commands::default());
        ticket
    }

    pub fn message(&mut self, from: &str, message: message::JobMessage) {
        let mut out = outbox::Outbox::default();
        self.jobs.on_message(self.now, &self.cluster, &host(from), message, &mut out);
        self.collect_output(out, placement::Commands::default());
    }

    /// Advances the time in steps of 50 ms.
    pub fn advance(&mut self, duration: time::Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now = (self.now + time::Duration::from_millis(50)).min(until);
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        let mut out = outbox::Outbox::default();
        let commands = self.jobs.tick(self.now, &self.cluster, &mut out);
        self.collect_output(out, commands);
    }

    /// Delivers the complete list of attempts that a member tracks.
    pub fn report_all_attempts(&mut self, owner: &str, tasks: &[(&str, ids::Attempt)]) {
        self.report_attempts(owner, true, tasks);
    }

    /// Delivers a list of attempts that a member tracks.
    pub fn report_attempts(
        &mut self,
        owner: &str,
        is_complete: bool,
        tasks: &[(&str, ids::Attempt)],
    ) {
        let mut list = Vec::new();
        for (task, attempt) in tasks {
            list.push((ids::TaskId::from(*task), *attempt, ids::WorkerId::from("w1")));
        }
        let mut out = outbox::Outbox::default();
        let commands =
            self.jobs.on_held(self.now, &self.cluster, &host(owner), is_complete, &list, &mut out);
        self.collect_output(out, commands);
    }

    /// Delivers an event of an attempt.
    pub fn on_attempt_event(
        &mut self,
        attempt: &placement::AttemptId,
        placed: placement::AttemptEvent,
    ) {
        let mut out = outbox::Outbox::default();
        let commands =
            self.jobs.on_attempt_event(self.now, &self.cluster, attempt, placed, &mut out);
        self.collect_output(out, commands);
    }

    /// Takes the attempts that were placed since the last call.
    pub fn take_placed(&mut self) -> Vec<placement::AttemptId> {
        let mut attempts = Vec::new();
        for placement in std::mem::take(&mut self.commands.place) {
            attempts.push((placement.spec.task, placement.attempt));
        }
        attempts
    }

    pub fn take_cancelled(&mut self) -> Vec<placement::AttemptId> {
        std::mem::take(&mut self.commands.cancel)
    }

    /// The answers to a ticket so far.
    pub fn answers(&self, ticket: ids::Ticket) -> Vec<effect::CallerAnswer> {
        let mut answers = Vec::new();
        for effect in &self.effects {
            if let Effect::AnswerCaller { ticket: of, answer } = effect
                && *of == ticket
            {
                answers.push(answer.clone());
            }
        }
        answers
    }

    /// The only answer to a ticket, which must be a status.
    pub fn status(&self, ticket: ids::Ticket) -> caller::JobStatus {
        let answers = self.answers(ticket);
        let [effect::CallerAnswer::Job(status)] = answers.as_slice() else {
            panic!("expected one status, got {answers:?}");
        };
        status.clone()
    }

    /// The only answer to a ticket, which must be a refusal.
    pub fn refusal(&self, ticket: ids::Ticket) -> caller::Refusal {
        let answers = self.answers(ticket);
        let [effect::CallerAnswer::Refused(refusal)] = answers.as_slice() else {
            panic!("expected one refusal, got {answers:?}");
        };
        refusal.clone()
    }

    /// The job messages that were sent, with their receivers.
    pub fn sent(&self) -> Vec<(ids::HostId, message::JobMessage)> {
        let mut sent = Vec::new();
        for effect in &self.effects {
            if let Effect::SendPeer { to, message: message::Message::Job(message), .. } = effect {
                sent.push((to.clone(), message.clone()));
            }
        }
        sent
    }

    /// Folds the appended entries until no more are appended.
    pub fn fold(&mut self) {
        while !self.entries.is_empty() {
            self.fold_once();
        }
    }

    /// Folds the entries appended so far.
    pub fn fold_once(&mut self) {
        for entry in std::mem::take(&mut self.entries) {
            self.fold_one(entry);
        }
    }

    /// Folds one entry of the log.
    pub fn fold_one(&mut self, entry: record::Entry) {
        if let Some(job) = fold_entry(&mut self.cluster.jobs, entry) {
            self.change(cluster::Change::Job { job });
        }
    }

    /// The job in the folded log.
    pub fn folded(&self, job: &str) -> &record::JobFold {
        self.cluster.jobs.get(&ids::JobId::from(job)).expect("the job is in the fold")
    }
}

fn fold_entry(
    jobs: &mut collections::BTreeMap<ids::JobId, record::JobFold>,
    entry: record::Entry,
) -> Option<ids::JobId> {
    match entry {
        record::Entry::JobAccepted(record) => {
            let id = record.job.clone();
            jobs.entry(id.clone()).or_insert_with(|| record::JobFold {
                record,
                phase: None,
                reason: None,
                cancelled: false,
                done: Vec::new(),
                started: Vec::new(),
            });
            Some(id)
        }
        record::Entry::JobProgress { job, done } => {
            jobs.get_mut(&job)?.done.extend(done);
            merge(&mut jobs.get_mut(&job)?.done);
            Some(job)
        }
        record::Entry::JobAttempts { job, started } => {
            jobs.get_mut(&job)?.started.extend(started);
            merge(&mut jobs.get_mut(&job)?.started);
            Some(job)
        }
        record::Entry::JobEnded { job, phase, reason } => {
            let fold = jobs.get_mut(&job)?;
            fold.phase = fold.phase.or(Some(phase));
            fold.reason = fold.reason.clone().or(reason);
            Some(job)
        }
        record::Entry::JobCancelled { job } => {
            jobs.get_mut(&job)?.cancelled = true;
            Some(job)
        }
        _ => None,
    }
}

fn merge(ranges: &mut Vec<record::TaskRange>) {
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
