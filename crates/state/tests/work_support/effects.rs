//! Executes the effects of the simulated hosts.

use std::time;

use pier_core::{ids, task, wire};
use pier_state::event::{NotStarted, WorkerEvent};
use pier_state::message::Message;
use pier_state::work::WorkEvent;
use pier_state::{Effect, effect, outbox};
use rand::Rng;

use super::worker::{Mode, RunningTask};
use super::{Cell, ScheduledEvent, ms};

impl Cell {
    pub(super) fn execute(&mut self, index: usize, out: outbox::Outbox) {
        for entry in &out.entries {
            self.fold(entry);
        }
        for effect in out.effects {
            match effect {
                Effect::SendPeer { to, message, .. } => self.send(index, &to, message),
                Effect::AnswerCaller { ticket, answer } => {
                    self.answers.entry((index, ticket)).or_default().push(answer);
                }
                Effect::AnswerOperator {
                    answer: effect::OperatorAnswer::Explanation(explanation),
                    ..
                } => self.explanations.push(*explanation),
                Effect::Log(notice) => self.notices.push(notice),
                Effect::WorkerStart { worker, start, .. } => self.start(index, &worker, &start),
                Effect::WorkerRenew { worker, renew, .. } => self.renew(index, &worker, renew),
                Effect::WorkerReport { worker, .. } if self.sends_reports => {
                    let event = self.report_of(&worker);
                    self.schedule(ms(2), ScheduledEvent::Worker { host: index, event });
                }
                Effect::WorkerPreempt { worker, task, attempt, mode: how, .. } => {
                    self.preempt(index, worker, task, attempt, how);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &ids::HostId, message: Message) {
        let found = self.hosts.iter().position(|host| host.cluster.identity.host == *to);
        let Some(to) = found else {
            return;
        };
        let incarnation = self.hosts[from].cluster.identity.incarnation;
        let copies = if self.chance(self.network.repeated_percent) { 2 } else { 1 };
        for _ in 0..copies {
            if self.chance(self.network.lost_percent) {
                continue;
            }
            let delayed = self.chance(self.network.delayed_percent);
            let delay = if delayed { ms(self.rng.random_range(10..1_500)) } else { ms(2) };
            let message = message.clone();
            self.schedule(delay, ScheduledEvent::Message { from, incarnation, to, message });
        }
    }

    fn start(&mut self, host: usize, worker: &ids::WorkerId, start: &wire::StartTask) {
        let id = (start.task.clone(), start.attempt);
        let (task, attempt) = id.clone();
        let now = self.now;
        let task_duration = self.task_duration;
        let sim = self.workers.get_mut(worker).expect("known worker");
        let worker = worker.clone();
        let reason = match sim.mode {
            Mode::Refuses => Some(NotStarted::Refused(wire::WorkerRefusalKind::Leaving)),
            Mode::Unreachable => Some(NotStarted::NoConnection),
            _ if start.token < sim.token => {
                Some(NotStarted::Refused(wire::WorkerRefusalKind::StaleToken))
            }
            _ => None,
        };
        if let Some(reason) = reason {
            let event = WorkerEvent::NotStarted { worker, task, attempt, reason };
            self.schedule(ms(2), ScheduledEvent::Worker { host, event });
            return;
        }
        let running = RunningTask {
            task: start.clone(),
            ends_at: now + task_duration,
            lease_until: now + ms(start.lease_ms),
            owner: host,
        };
        sim.running.insert(id.clone(), running);
        assert!(sim.used().fits_in(&sim.total), "worker {worker} got more than it has");
        *self.start_counts.entry(id).or_default() += 1;
        *self.run_counts.entry(start.payload.clone()).or_default() += 1;
        if sim.mode == Mode::LosesAnswers {
            let event = WorkerEvent::StartUnknown { worker, task, attempt };
            self.schedule(ms(50), ScheduledEvent::Worker { host, event });
        } else if start.kind == wire::StartKind::Run {
            let event = WorkerEvent::Started { worker, task, attempt };
            self.schedule(ms(2), ScheduledEvent::Worker { host, event });
        }
    }

    fn renew(&mut self, host: usize, worker: &ids::WorkerId, renew: wire::RenewLeases) {
        let now = self.now;
        let sim = self.workers.get_mut(worker).expect("known worker");
        let worker = worker.clone();
        if sim.mode == Mode::Unreachable || renew.token < sim.token {
            self.schedule(
                ms(2),
                ScheduledEvent::Worker { host, event: WorkerEvent::Unreachable { worker } },
            );
            return;
        }
        let mut answer =
            wire::LeasesRenewed { renewed: Vec::new(), ended: Vec::new(), missing: Vec::new() };
        for renewal in renew.tasks {
            let id = (renewal.task, renewal.attempt);
            match sim.running.get_mut(&id) {
                Some(running) => {
                    running.lease_until = now + ms(renewal.lease_ms);
                    answer.renewed.push(id);
                }
                None => answer.missing.push(id),
            }
        }
        let event = WorkerEvent::Renewed { worker, sent_at: now, answer };
        self.schedule(ms(2), ScheduledEvent::Worker { host, event });
    }

    fn preempt(
        &mut self,
        host: usize,
        worker: ids::WorkerId,
        task: ids::TaskId,
        attempt: ids::Attempt,
        how: task::PreemptionMode,
    ) {
        let sim = self.workers.get_mut(&worker).expect("known worker");
        let id = (task.clone(), attempt);
        if how != task::PreemptionMode::Throttle && sim.running.remove(&id).is_some() {
            let outcome = task::EndKind::Stopped;
            sim.ended.push(wire::EndedTask { task: task.clone(), attempt, outcome });
            self.stopped.push(id);
        }
        let event =
            WorkerEvent::PreemptionReply { worker, task, attempt, mode: how, confirmed: true };
        self.schedule(ms(2), ScheduledEvent::Worker { host, event });
    }

    /// Delivers a report of a worker to its owner.
    pub fn report(&mut self, worker: &ids::WorkerId) {
        let event = self.report_of(worker);
        self.handle(self.workers[worker].owner, WorkEvent::Worker(event));
    }

    /// The current report of a worker.
    fn report_of(&self, worker: &ids::WorkerId) -> WorkerEvent {
        let sim = &self.workers[worker];
        let report = wire::WorkerReport {
            as_of_age_ms: 0,
            resources: sim.total,
            tasks: sim.tasks(self.now),
        };
        WorkerEvent::Report { worker: worker.clone(), asked_at: self.now, report }
    }

    pub(super) fn end_tasks(&mut self) {
        let now = self.now;
        let mut events = Vec::new();
        for sim in self.workers.values_mut() {
            let mut finished = Vec::new();
            for (id, running) in &sim.running {
                if running.ends_at <= now || running.lease_until <= now {
                    finished.push(id.clone());
                }
            }
            for id in finished {
                let running = sim.running.remove(&id).expect("it was there");
                let lapsed = running.lease_until <= now;
                let outcome = if lapsed { task::EndKind::Lapsed } else { task::EndKind::Done };
                let (task, attempt) = id;
                sim.ended.push(wire::EndedTask { task: task.clone(), attempt, outcome });
                if running.task.kind != wire::StartKind::Answer || sim.mode == Mode::LosesAnswers {
                    continue;
                }
                let end = task::TaskEnd { kind: outcome, body: running.task.payload.clone() };
                let worker = sim.id.clone();
                let event = WorkerEvent::Answered { worker, task, attempt, end };
                let copies = if sim.mode == Mode::AnswersTwice { 2 } else { 1 };
                for _ in 0..copies {
                    events.push((running.owner, event.clone()));
                }
            }
        }
        for (host, event) in events {
            self.schedule(time::Duration::ZERO, ScheduledEvent::Worker { host, event });
        }
    }
}
