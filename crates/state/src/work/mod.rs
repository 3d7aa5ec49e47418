//! Requests, jobs, tasks on own workers, limits of teams, and idempotency keys.

pub mod jobs;
pub mod learned;
pub mod placement;

mod callers;
mod dedupe;
mod fallback;
mod homes;
mod leases;
mod ledger;
mod limits;
mod memory;
mod owner;
mod placing;
mod requests;
mod step;
mod takeover;
mod usage;

use std::time;

use pier_core::{caller, clock, ids};

use crate::{cluster, event, message, options, outbox, report};

/// The work part of the state.
#[derive(Debug)]
pub struct Work {
    options: options::Options,
    ledger: ledger::Ledger,
    limits: limits::Limits,
    usage: usage::Usage,
    owner: owner::Owner,
    leases: leases::Leases,
    placing: placing::Placing,
    dedupe: dedupe::Dedupe,
    requests: requests::Requests,
    jobs: jobs::Jobs,
    shutting_down: bool,
}

/// An input of the work part.
#[derive(Debug, Clone)]
pub enum WorkEvent {
    /// Time has passed.
    Tick,
    /// A message came from a peer. It is never a control message.
    Peer {
        /// The sender.
        from: ids::HostId,
        /// The sender's process.
        incarnation: ids::Incarnation,
        /// The message.
        message: message::Message,
    },
    /// Something came from a caller.
    Caller(event::CallerEvent),
    /// Something came from a worker.
    Worker(event::WorkerEvent),
    /// An operator asks why a task waits.
    Explain {
        /// The number of the request.
        ticket: ids::Ticket,
        /// The task or job.
        task: ids::TaskId,
    },
    /// The process was told to shut down.
    Shutdown,
}

impl Work {
    /// The work part of a process that has just started. `seed` feeds its random numbers.
    pub fn new(_me: &options::Me, options: options::Options, seed: u64) -> Self {
        Self {
            ledger: ledger::Ledger::default(),
            limits: limits::Limits::default(),
            usage: usage::Usage::default(),
            owner: owner::Owner::new(options.clone()),
            leases: leases::Leases::new(options.clone()),
            placing: placing::Placing::new(options.clone(), seed),
            dedupe: dedupe::Dedupe::new(options.clone()),
            requests: requests::Requests::new(options.clone()),
            jobs: jobs::Jobs::new(options.clone()),
            shutting_down: false,
            options,
        }
    }

    /// Handles an event.
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
        self.settle(&mut step);
    }

    /// Acts on a change of the cell other than [`cluster::Change::WorkerLost`].
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
                self.placing.on_epoch(step, removed);
                self.owner.on_epoch(step);
                self.leases.on_epoch(step, &mut self.ledger);
                self.limits.on_declaration(step, &self.ledger);
                self.limits.on_epoch(step);
                self.dedupe.on_epoch(step, removed);
            }
            cluster::Change::WorkerGained { worker, basis } => self.gain(step, worker, basis),
            cluster::Change::WorkerLost { worker, .. } => {
                self.give_up(step, worker);
            }
            cluster::Change::Expelled => self.expel(step),
            cluster::Change::Declaration => self.limits.on_declaration(step, &self.ledger),
            cluster::Change::WorkerStatus { .. } | cluster::Change::Job { .. } => {}
        }
        let orders = self.jobs.on_change(now, cluster, change, step.out);
        self.carry_out(step, orders);
        self.owner.refresh(step, &mut self.ledger);
        self.owner.wake();
        self.settle(step);
    }

    /// Gives up a worker and returns what its new owner needs.
    pub fn release(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        worker: &ids::WorkerId,
        out: &mut outbox::Outbox,
    ) -> message::HandoffBody {
        let mut step = step::Step::new(now, cluster, out, self.shutting_down);
        let body = self.give_up(&mut step, worker);
        self.settle(&mut step);
        body
    }

    /// What peers are told about this host's workers.
    pub fn summary(&self, now: time::Duration, cluster: &cluster::Cluster) -> cluster::Summary {
        let mut room = cluster::Room {
            waiting: u64::try_from(self.owner.waiting()).unwrap_or(u64::MAX),
            oldest_wait_ms: clock::millis(self.owner.oldest_wait(now)),
            ..cluster::Room::default()
        };
        let may_start = cluster.may_start(now) && !cluster.leaving && !self.shutting_down;
        for worker in self.ledger.views() {
            if !worker.schedulable || !may_start {
                continue;
            }
            room.total = room.total.plus(&worker.total);
            if worker.failures > 0 {
                // Its owner tries it with its own tasks; a peer could send it more than one.
                continue;
            }
            room.free = room.free.plus(&worker.free);
            room.largest_free = room.largest_free.max(&worker.free);
        }
        cluster::Summary { room, teams: self.usage.here(&self.ledger) }
    }

    /// Whether no request of a caller is open here and no end is unacknowledged.
    pub fn is_drained(&self) -> bool {
        self.requests.is_drained()
            && self.dedupe.is_drained()
            && self.owner.is_drained()
            && self.jobs.is_drained()
    }

    /// Fills in the work part of a status.
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
        status.queues = self.owner.learned.statuses();
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
            if info.owner.as_ref() != Some(&cluster.me.host) && info.token.is_none() {
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

    /// Adds the counters of the work part.
    pub fn add_counters(&self, counters: &mut report::Counters) {
        let requests = &self.requests.counters;
        let owner = &self.owner.counters;
        counters.requests += requests.requests;
        counters.answered += requests.answered;
        counters.refused_not_run += requests.refused_not_run;
        counters.unknown += requests.unknown;
        counters.place_retries += requests.place_retries;
        counters.starts += owner.starts;
        counters.yields += owner.yields;
        counters.invariant_violations += owner.invariant_violations + self.limits.violations();
    }

    /// The waits of tasks that were started here since the last call.
    pub fn take_waits(&mut self) -> Vec<report::Wait> {
        self.owner.take_waits()
    }

    fn tick(&mut self, step: &mut step::Step<'_>) {
        self.usage.tick(step.now, step.cluster, &self.ledger);
        self.owner.refresh(step, &mut self.ledger);
        self.leases.tick(step, &mut self.ledger, &mut self.owner);
        self.owner.tick(step, &mut self.ledger);
        for (id, how) in self.limits.over_target(&self.ledger) {
            self.owner.make_yield(step, &mut self.ledger, &id, how);
        }
        self.limits.sync(step, &self.ledger, &self.owner, true);
        self.placing.tick(step);
        self.dedupe.tick(step);
        let wishes = self.requests.tick(step);
        self.grant(step, wishes);
        let orders = self.jobs.tick(step.now, step.cluster, step.out);
        self.carry_out(step, orders);
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
                    self.owner.hurry();
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
                if to_incarnation != step.cluster.me.incarnation {
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
                let mut books = owner::Books {
                    ledger: &mut self.ledger,
                    limits: &mut self.limits,
                    usage: &self.usage,
                };
                self.owner.commit(step, &mut books, from, (task, attempt));
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
                self.placing.on_held(step, from, incarnation, whole, &tasks);
                let orders =
                    self.jobs.on_held(step.now, step.cluster, from, whole, &tasks, step.out);
                for id in &orders.cancel {
                    self.placing.cancel_at(step, from, id);
                }
                self.carry_out(step, orders);
            }
            message::PlaceMessage::Ended { task, attempt, end, worker } => {
                self.placing.on_ended(step, from, (task, attempt), end, worker);
            }
            message => self.placing.on_message(step, from, incarnation, message),
        }
    }

    fn on_worker(&mut self, step: &mut step::Step<'_>, event: event::WorkerEvent) {
        self.leases.on_worker(step, &mut self.ledger, &mut self.owner, &event);
        self.owner.on_worker(step, &mut self.ledger, event);
    }

    /// Carries out what requests ask.
    fn grant(&mut self, step: &mut step::Step<'_>, wishes: requests::Wishes) {
        for wish in wishes.place {
            self.place(step, wish.placement, &wish.avoid);
        }
        for id in wishes.cancel {
            self.placing.cancel(step, &id);
        }
        for (key, task) in wishes.ask {
            self.dedupe.ask(step, key, task);
        }
        for (key, task, end) in wishes.report {
            self.dedupe.report(step, key, task, end);
        }
    }

    /// Carries out what jobs ask.
    fn carry_out(&mut self, step: &mut step::Step<'_>, orders: placement::Orders) {
        for adoption in orders.adopt {
            self.placing.adopt(step, adoption);
        }
        for id in orders.cancel {
            self.placing.cancel(step, &id);
        }
        for id in orders.commit {
            self.placing.commit(step, &id);
        }
        for placement in orders.place {
            self.place(step, placement, &[]);
        }
    }

    fn place(
        &mut self,
        step: &mut step::Step<'_>,
        placement: placement::Placement,
        avoid: &[ids::HostId],
    ) {
        let here = placing::Here {
            ledger: &self.ledger,
            waiting: u64::try_from(self.owner.waiting()).unwrap_or(u64::MAX),
            oldest_wait_ms: clock::millis(self.owner.oldest_wait(step.now)),
        };
        self.placing.place(step, &here, placement, avoid);
    }

    /// Handles this host's messages to itself and passes news on until nothing is left to do.
    fn settle(&mut self, step: &mut step::Step<'_>) {
        loop {
            self.drain(step);
            let mut books = owner::Books {
                ledger: &mut self.ledger,
                limits: &mut self.limits,
                usage: &self.usage,
            };
            self.owner.decide(step, &mut books);
            self.limits.sync(step, &self.ledger, &self.owner, false);
            let news = step.news_left > 0 && !self.placing.told.is_empty();
            if step.local.is_empty() && !news {
                break;
            }
        }
    }

    fn drain(&mut self, step: &mut step::Step<'_>) {
        let me = step.me().clone();
        let incarnation = step.cluster.me.incarnation;
        loop {
            if let Some(message) = step.local.pop_front() {
                self.on_message(step, &me, incarnation, message);
                continue;
            }
            if let Some(asked) = self.dedupe.next_answer() {
                let wishes = self.requests.on_verdict(step, &asked.task, asked.verdict);
                self.grant(step, wishes);
                continue;
            }
            if step.news_left == 0 {
                break;
            }
            let Some(news) = self.placing.told.pop_front() else {
                break;
            };
            step.news_left -= 1;
            self.pass_on(step, news);
        }
    }

    /// Tells a request or a job what became of an attempt.
    fn pass_on(&mut self, step: &mut step::Step<'_>, news: placing::News) {
        let placing::News { id, owner, told } = news;
        if self.requests.has(&id.0) {
            let wishes = self.requests.on_told(step, &id, owner, told);
            self.grant(step, wishes);
            return;
        }
        if placing::job_of(&id.0).is_none() {
            return;
        }
        if let placing::Told::Placed(placed) = told {
            let orders = self.jobs.on_placed(step.now, step.cluster, &id, placed, step.out);
            self.carry_out(step, orders);
        }
    }
}
