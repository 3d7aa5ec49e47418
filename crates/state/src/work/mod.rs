//! The work state: requests, jobs, tasks on this host's workers, team limits and idempotency keys.

pub mod jobs;
pub mod placement;
pub mod queue_stats;

mod callers;
mod closed;
mod dedupe;
mod fallback;
mod homes;
mod leases;
mod ledger;
mod limits;
mod origin;
mod owner;
mod requests;
mod step;
mod takeover;
mod usage;

use std::time;

use pier_core::{caller, clock, ids};

use crate::{cluster, event, message, options, outbox, report};

/// The state of all work on this host.
#[derive(Debug)]
pub struct Work {
    options: options::Options,
    ledger: ledger::Ledger,
    limits: limits::Limits,
    usage: usage::Usage,
    owner: owner::Owner,
    leases: leases::Leases,
    origin: origin::Origin,
    dedupe: dedupe::Dedupe,
    requests: requests::Requests,
    jobs: jobs::Jobs,
    shutting_down: bool,
}

/// An input of the work state.
#[derive(Debug, Clone)]
pub enum WorkEvent {
    /// Time has passed.
    Tick,
    /// A message from a peer other than a control message.
    Peer {
        from: ids::HostId,
        /// The incarnation of the sending process.
        incarnation: ids::Incarnation,
        message: message::Message,
    },
    /// An event from a caller.
    Caller(event::CallerEvent),
    /// An event from a worker.
    Worker(event::WorkerEvent),
    /// An operator asks why a task waits.
    Explain {
        /// The id under which the operator's request is answered.
        ticket: ids::Ticket,
        /// The task or job.
        task: ids::TaskId,
    },
    /// The process was told to shut down.
    Shutdown,
}

impl Work {
    /// Creates the state for a process that has just started. `seed` seeds its random numbers.
    pub fn new(_identity: &options::HostIdentity, options: options::Options, seed: u64) -> Self {
        Self {
            ledger: ledger::Ledger::default(),
            limits: limits::Limits::default(),
            usage: usage::Usage::default(),
            owner: owner::Owner::new(options.clone()),
            leases: leases::Leases::new(options.clone()),
            origin: origin::Origin::new(options.clone(), seed),
            dedupe: dedupe::Dedupe::new(options.clone()),
            requests: requests::Requests::new(options.clone()),
            jobs: jobs::Jobs::new(options.clone()),
            shutting_down: false,
            options,
        }
    }

    /// Applies an event and pushes the resulting effects to `out`.
    pub fn handle(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        event: WorkEvent,
        out: &mut outbox::Outbox,
    ) {
        let mut step = step::Step::new(now, cluster, out, self.shutting_down);
        match event {
            WorkEvent::Tick => self.tick(&mut step),
            WorkEvent::Peer { from, incarnation, message } => {
                self.on_message(&mut step, &from, incarnation, message);
            }
            WorkEvent::Caller(event) => self.on_caller(&mut step, event),
            WorkEvent::Worker(event) => self.on_worker(&mut step, event),
            WorkEvent::Explain { ticket, task } => self.explain(&mut step, ticket, task),
            WorkEvent::Shutdown => {
                self.shutting_down = true;
                step.leaving = true;
                let kind = caller::RefusalKind::ShuttingDown;
                self.owner.refuse_all(&mut step, &mut self.ledger, kind);
            }
        }
        self.run_pending(&mut step);
    }

    /// Applies a change of the cell. For [`cluster::Change::WorkerLost`] use [`Work::release`],
    /// which returns what the new owner needs.
    pub fn on_change(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        change: &cluster::Change,
        out: &mut outbox::Outbox,
    ) {
        let mut step = step::Step::new(now, cluster, out, self.shutting_down);
        let step = &mut step;
        match change {
            cluster::Change::Epoch { removed } => {
                self.origin.on_epoch(step, removed);
                self.owner.on_epoch(step);
                self.leases.on_epoch(step, &mut self.ledger);
                self.limits.on_declaration(step, &self.ledger);
                self.limits.on_epoch(step);
                self.dedupe.on_epoch(step, removed);
            }
            cluster::Change::WorkerGained { worker, basis } => self.take_over(step, worker, basis),
            cluster::Change::WorkerLost { worker, .. } => {
                self.release_worker(step, worker);
            }
            cluster::Change::Expelled => self.on_expelled(step),
            cluster::Change::Declaration => self.limits.on_declaration(step, &self.ledger),
            cluster::Change::WorkerStatus { .. } | cluster::Change::Job { .. } => {}
        }
        let commands = self.jobs.on_change(now, cluster, change, step.out);
        self.execute_for_jobs(step, commands);
        self.owner.refresh(step, &mut self.ledger);
        self.owner.request_decision();
        self.run_pending(step);
    }

    /// Releases a worker and returns the tasks and quota that its new owner needs.
    pub fn release(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        worker: &ids::WorkerId,
        out: &mut outbox::Outbox,
    ) -> message::HandoffBody {
        let mut step = step::Step::new(now, cluster, out, self.shutting_down);
        let body = self.release_worker(&mut step, worker);
        self.run_pending(&mut step);
        body
    }

    /// The free capacity and team usage that this host reports to its peers.
    pub fn summary(&self, now: time::Duration, cluster: &cluster::Cluster) -> cluster::Summary {
        let mut load = cluster::HostLoad {
            waiting: u64::try_from(self.owner.waiting()).unwrap_or(u64::MAX),
            oldest_wait_ms: clock::millis(self.owner.oldest_wait(now)),
            ..cluster::HostLoad::default()
        };
        let may_start = cluster.may_start(now) && !cluster.leaving && !self.shutting_down;
        for worker in self.ledger.views() {
            if !worker.schedulable || !may_start {
                continue;
            }
            load.total = load.total.plus(&worker.total);
            if worker.failures > 0 {
                // The owner probes this worker with one task of its own; peers could send more than
                // one.
                continue;
            }
            load.free = load.free.plus(&worker.free);
            load.largest_free = load.largest_free.max(&worker.free);
        }
        cluster::Summary { load, teams: self.usage.local_usage(&self.ledger) }
    }

    /// Whether no caller waits for an answer here and every end has been acknowledged.
    pub fn is_drained(&self) -> bool {
        self.requests.is_drained()
            && self.dedupe.is_drained()
            && self.owner.is_drained()
            && self.jobs.is_drained()
    }

    /// Adds the work state to a status report.
    pub fn fill_status(
        &self,
        _now: time::Duration,
        cluster: &cluster::Cluster,
        status: &mut report::Status,
    ) {
        status.requests = u64::try_from(self.requests.open()).unwrap_or(u64::MAX);
        status.waiting = u64::try_from(self.owner.waiting()).unwrap_or(u64::MAX);
        status.jobs = self.jobs.unfinished(cluster);
        self.fill_workers(cluster, status);
        status.queues = self.owner.queue_stats.statuses();
        for declared in &cluster.declaration.teams {
            let team = &declared.name;
            status.teams.push(report::TeamStatus {
                team: team.clone(),
                used_here: self.ledger.team_used(team),
                held_here: self.limits.held(team),
                used: self.usage.used(team, &self.ledger),
                limit: declared.limit,
            });
        }
    }

    fn fill_workers(&self, cluster: &cluster::Cluster, status: &mut report::Status) {
        for (worker, info) in &cluster.workers {
            if info.owner.as_ref() != Some(&cluster.identity.host) && info.token.is_none() {
                continue;
            }
            let total = info.entry.resources;
            let own = self.ledger.workers().get(worker);
            let used = own.map(|own| own.used).unwrap_or_default();
            status.workers.push(report::WorkerStatus {
                worker: worker.clone(),
                availability_zone: info.entry.availability_zone.clone(),
                taken_over: info.token.is_some(),
                closed: info.closed,
                failures: own.map(ledger::OwnWorker::failures).unwrap_or_default(),
                total,
                free: total.minus(&used),
                tasks: own.map_or(0, |own| u64::try_from(own.entries.len()).unwrap_or(u64::MAX)),
            });
        }
    }

    /// Adds the counters of the work state.
    pub fn add_counters(&self, counters: &mut report::Counters) {
        let requests = &self.requests.counters;
        let owner = &self.owner.counters;
        counters.requests += requests.requests;
        counters.answered += requests.answered;
        counters.refused_not_run += requests.refused_not_run;
        counters.unknown += requests.unknown;
        counters.place_retries += requests.place_retries;
        counters.starts += owner.starts;
        counters.preemptions += owner.preemptions;
        counters.invariant_violations += owner.invariant_violations + self.limits.violations();
    }

    /// Takes the queue waits of tasks that started here since the last call.
    pub fn take_waits(&mut self) -> Vec<report::Wait> {
        self.owner.take_waits()
    }

    fn tick(&mut self, step: &mut step::Step<'_>) {
        self.usage.tick(step.now, step.cluster, &self.ledger);
        self.owner.refresh(step, &mut self.ledger);
        self.leases.tick(step, &mut self.ledger, &mut self.owner);
        self.owner.tick(step, &mut self.ledger);
        for (id, how) in self.limits.tasks_over_target(&self.ledger) {
            self.owner.preempt(step, &mut self.ledger, &id, how);
        }
        self.limits.sync(step, &self.ledger, &self.owner, true);
        self.origin.tick(step);
        self.dedupe.tick(step);
        let commands = self.requests.tick(step);
        self.execute_for_requests(step, commands);
        let commands = self.jobs.tick(step.now, step.cluster, step.out);
        self.execute_for_jobs(step, commands);
    }

    fn on_message(
        &mut self,
        step: &mut step::Step<'_>,
        from: &ids::HostId,
        incarnation: ids::Incarnation,
        message: message::Message,
    ) {
        match message {
            message::Message::Place(message) => {
                self.on_place_message(step, from, incarnation, message);
            }
            message::Message::Job(message) => {
                self.jobs.on_message(step.now, step.cluster, from, message, step.out);
            }
            message::Message::Limit(message) => {
                if self.limits.on_message(step, from, incarnation, message) {
                    self.owner.request_immediate_decision();
                }
            }
            message::Message::Dedupe(message) => self.dedupe.on_message(step, from, message),
            message::Message::Control(_) => {}
        }
    }

    fn on_place_message(
        &mut self,
        step: &mut step::Step<'_>,
        from: &ids::HostId,
        incarnation: ids::Incarnation,
        message: message::PlaceMessage,
    ) {
        match message {
            message::PlaceMessage::Place {
                spec,
                attempt,
                wait_ms,
                deadline_ms,
                reserve,
                to_incarnation,
            } => {
                if to_incarnation != step.cluster.identity.incarnation {
                    return;
                }
                let later = |ms| step.now.saturating_add(time::Duration::from_millis(ms));
                let arrival = owner::Arrival {
                    origin: from.clone(),
                    spec,
                    attempt,
                    start_by: (wait_ms != u64::MAX).then(|| later(wait_ms)),
                    deadline: deadline_ms.map(later),
                    reserve,
                };
                self.owner.place(step, &self.ledger, arrival);
            }
            message::PlaceMessage::Commit { task, attempt } => {
                let mut state = owner::DecisionState {
                    ledger: &mut self.ledger,
                    limits: &mut self.limits,
                    usage: &self.usage,
                };
                self.owner.commit(step, &mut state, from, (task, attempt));
            }
            message::PlaceMessage::Cancel { task, attempt } => {
                self.owner.cancel(step, &mut self.ledger, from, (task, attempt));
            }
            message::PlaceMessage::EndedAck { task, attempt } => {
                self.owner.on_ended_ack(step, from, (task, attempt));
            }
            message::PlaceMessage::Keep { tasks, list } => {
                self.leases.on_keep(step, &mut self.ledger, &self.owner, from, tasks, list);
            }
            message::PlaceMessage::Held { epoch, settled, tasks } => {
                let whole = settled && epoch == step.cluster.epoch;
                self.origin.on_held(step, from, incarnation, whole, &tasks);
                let commands =
                    self.jobs.on_held(step.now, step.cluster, from, whole, &tasks, step.out);
                for id in &commands.cancel {
                    self.origin.cancel_at(step, from, id);
                }
                self.execute_for_jobs(step, commands);
            }
            message::PlaceMessage::Ended { task, attempt, end, worker } => {
                self.origin.on_ended(step, from, (task, attempt), end, worker);
            }
            message => self.origin.on_message(step, from, incarnation, message),
        }
    }

    fn on_worker(&mut self, step: &mut step::Step<'_>, event: event::WorkerEvent) {
        self.leases.on_worker(step, &mut self.ledger, &mut self.owner, &event);
        self.owner.on_worker(step, &mut self.ledger, event);
    }

    /// Executes the commands of requests.
    fn execute_for_requests(&mut self, step: &mut step::Step<'_>, commands: requests::Commands) {
        for command in commands.place {
            self.place(step, command.placement, &command.avoid);
        }
        for id in commands.cancel {
            self.origin.cancel(step, &id);
        }
        for (key, task) in commands.ask {
            self.dedupe.ask(step, key, task);
        }
        for (key, task, end) in commands.report {
            self.dedupe.report(step, key, task, end);
        }
    }

    /// Executes the commands of jobs.
    fn execute_for_jobs(&mut self, step: &mut step::Step<'_>, commands: placement::Commands) {
        for adoption in commands.adopt {
            self.origin.adopt(step, adoption);
        }
        for id in commands.cancel {
            self.origin.cancel(step, &id);
        }
        for id in commands.commit {
            self.origin.commit(step, &id);
        }
        for placement in commands.place {
            self.place(step, placement, &[]);
        }
    }

    fn place(
        &mut self,
        step: &mut step::Step<'_>,
        placement: placement::Placement,
        avoid: &[ids::HostId],
    ) {
        let here = origin::LocalOwner {
            ledger: &self.ledger,
            waiting: u64::try_from(self.owner.waiting()).unwrap_or(u64::MAX),
            oldest_wait_ms: clock::millis(self.owner.oldest_wait(step.now)),
        };
        self.origin.place(step, &here, placement, avoid);
    }

    /// Handles this host's messages to itself and dispatches attempt updates until none are left or
    /// the limit of this step is reached.
    fn run_pending(&mut self, step: &mut step::Step<'_>) {
        loop {
            self.drain_messages(step);
            let mut state = owner::DecisionState {
                ledger: &mut self.ledger,
                limits: &mut self.limits,
                usage: &self.usage,
            };
            self.owner.decide(step, &mut state);
            self.limits.sync(step, &self.ledger, &self.owner, false);
            let has_updates = step.updates_left > 0 && !self.origin.updates.is_empty();
            if step.local_messages.is_empty() && !has_updates {
                break;
            }
        }
    }

    fn drain_messages(&mut self, step: &mut step::Step<'_>) {
        let me = step.me().clone();
        let incarnation = step.cluster.identity.incarnation;
        loop {
            if let Some(message) = step.local_messages.pop_front() {
                self.on_message(step, &me, incarnation, message);
                continue;
            }
            if let Some(asked) = self.dedupe.next_verdict() {
                let commands = self.requests.on_verdict(step, &asked.task, asked.verdict);
                self.execute_for_requests(step, commands);
                continue;
            }
            if step.updates_left == 0 {
                break;
            }
            let Some(update) = self.origin.updates.pop_front() else {
                break;
            };
            step.updates_left -= 1;
            self.dispatch_update(step, update);
        }
    }

    /// Passes an attempt update to the request or job that the attempt belongs to.
    fn dispatch_update(&mut self, step: &mut step::Step<'_>, update: origin::AttemptUpdate) {
        let origin::AttemptUpdate { id, owner, kind } = update;
        if self.requests.contains(&id.0) {
            let commands = self.requests.on_attempt_update(step, &id, owner, kind);
            self.execute_for_requests(step, commands);
            return;
        }
        if origin::job_of(&id.0).is_none() {
            return;
        }
        if let origin::UpdateKind::Event(event) = kind {
            let commands = self.jobs.on_attempt_event(step.now, step.cluster, &id, event, step.out);
            self.execute_for_jobs(step, commands);
        }
    }
}
