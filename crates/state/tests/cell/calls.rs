//! How the workers and the log handle the calls of hosts.

use std::time;

use pier_core::{ids, wire};
use pier_state::{Event, event};
use rand::Rng;

use super::{
    CALL_TIMEOUT, Cell, Delivery, LogCall, OpenCall, REPORT_LAG, WorkerCall, checks, load, worker,
};

impl Cell {
    pub(super) fn handle_worker_call(
        &mut self,
        host: usize,
        incarnation: u64,
        id: &ids::WorkerId,
        call: WorkerCall,
        late: bool,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let cut = self.network.cuts_worker(&self.hosts[host], &worker.entry.availability_zone);
        if cut || worker.unreachable {
            let event = unreachable_event(id, call);
            let delivery = Delivery::ToHost { host, incarnation, event: Box::new(event) };
            self.schedule_in(CALL_TIMEOUT, delivery);
            return;
        }
        let now = self.now;
        let silent = worker.silent;
        let event = match call {
            WorkerCall::Start(start) => {
                let run_time = load::run_time(&start.payload);
                match worker.start(now, &start, run_time) {
                    Ok(()) => {
                        let attempt = (start.task.clone(), start.attempt);
                        let run = &worker.runs[&attempt];
                        let due = run.ends_at.min(run.lease_until);
                        let sender = checks::Sender { host, late };
                        self.checks.on_started(now, &self.workers, id, &start, sender);
                        self.schedule_at(due, Delivery::WorkerAdvance { worker: id.clone() });
                        if start.kind == wire::StartKind::Answer {
                            let open = OpenCall { host, incarnation };
                            self.open_calls.insert((id.clone(), attempt), open);
                            return;
                        }
                        event::WorkerEvent::Started {
                            worker: id.clone(),
                            task: start.task.clone(),
                            attempt: start.attempt,
                        }
                    }
                    Err(kind) => event::WorkerEvent::NotStarted {
                        worker: id.clone(),
                        task: start.task.clone(),
                        attempt: start.attempt,
                        reason: event::NotStarted::Refused(kind),
                    },
                }
            }
            WorkerCall::Renew(renew, sent_at) => match worker.renew(now, &renew) {
                Ok(answer) => event::WorkerEvent::Renewed { worker: id.clone(), sent_at, answer },
                Err(_) => event::WorkerEvent::Unreachable { worker: id.clone() },
            },
            WorkerCall::Preempt(token, attempt, how) => {
                let result = worker.preempt(now, token, &attempt, how);
                if let Ok(Some(finished)) = &result {
                    self.finish(id, finished.clone());
                }
                let confirmed = result.is_ok();
                let (task, attempt) = attempt;
                let worker = id.clone();
                event::WorkerEvent::PreemptionReply { worker, task, attempt, mode: how, confirmed }
            }
            WorkerCall::Fence(token) => match worker.fence(now, token) {
                Ok(tasks) => event::WorkerEvent::Fenced { worker: id.clone(), token, tasks },
                Err(_) => {
                    event::WorkerEvent::FenceFailed { worker: id.clone(), token, stale: true }
                }
            },
            WorkerCall::Report(asked_at) => {
                let report = worker.report(now, REPORT_LAG);
                event::WorkerEvent::Report { worker: id.clone(), asked_at, report }
            }
        };
        if silent {
            // The worker has acted, but the host gets no answer until its call times out.
            let event = Event::Worker(lost_answer_event(id, event));
            let delivery = Delivery::ToHost { host, incarnation, event: Box::new(event) };
            self.schedule_in(CALL_TIMEOUT, delivery);
            return;
        }
        self.send_to_host(host, incarnation, Event::Worker(event));
    }

    pub(super) fn advance_worker(&mut self, id: &ids::WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let finished = worker.advance(self.now);
        let mut next: Option<time::Duration> = None;
        for run in worker.runs.values() {
            let due =
                run.ends_at.min(run.lease_until).max(self.now + time::Duration::from_millis(1));
            next = Some(next.map_or(due, |next| next.min(due)));
        }
        if let Some(due) = next {
            self.schedule_at(due, Delivery::WorkerAdvance { worker: id.clone() });
        }
        for finished in finished {
            self.finish(id, finished);
        }
    }

    fn finish(&mut self, id: &ids::WorkerId, finished: worker::Finished) {
        self.checks.on_ended(id, &finished.attempt);
        if finished.kind != wire::StartKind::Answer {
            return;
        }
        let key = (id.clone(), finished.attempt.clone());
        let Some(open) = self.open_calls.remove(&key) else {
            return;
        };
        let (task, attempt) = finished.attempt;
        let worker = id.clone();
        let host = &self.hosts[open.host];
        let cut = self.network.cuts_worker(host, &self.workers[id].entry.availability_zone);
        let lost = cut || self.workers[id].silent || self.workers[id].unreachable;
        let event = if lost {
            event::WorkerEvent::StartUnknown { worker, task, attempt }
        } else {
            event::WorkerEvent::Answered { worker, task, attempt, end: finished.end }
        };
        self.send_to_host(open.host, open.incarnation, Event::Worker(event));
    }

    pub(super) fn handle_log_call(&mut self, host: usize, incarnation: u64, call: LogCall) {
        let cut = self.log.outage || self.network.cuts_log(&self.hosts[host]);
        let now = self.now;
        let event = match call {
            LogCall::Read { ticket, .. } if cut => event::LogEvent::ReadFailed { ticket },
            LogCall::Append { ticket, .. } if cut => {
                let certain = self.rng.random();
                event::LogEvent::AppendFailed { ticket, certain }
            }
            LogCall::Read { ticket, from, max } => {
                let page = self.log.read(now, from, max);
                event::LogEvent::Read { ticket, page }
            }
            LogCall::Append { ticket, bytes } => {
                let offset = self.log.append(now, &bytes);
                if self.log.loses_replies && self.rng.random() {
                    event::LogEvent::AppendFailed { ticket, certain: false }
                } else {
                    event::LogEvent::Appended { ticket, offset }
                }
            }
        };
        self.send_to_host(host, incarnation, Event::Log(event));
    }
}

fn unreachable_event(id: &ids::WorkerId, call: WorkerCall) -> Event {
    let worker = id.clone();
    let event = match call {
        WorkerCall::Start(start) => event::WorkerEvent::NotStarted {
            worker,
            task: start.task.clone(),
            attempt: start.attempt,
            reason: event::NotStarted::NoConnection,
        },
        WorkerCall::Renew(..) | WorkerCall::Report(_) => event::WorkerEvent::Unreachable { worker },
        WorkerCall::Preempt(_, (task, attempt), how) => event::WorkerEvent::PreemptionReply {
            worker,
            task,
            attempt,
            mode: how,
            confirmed: false,
        },
        WorkerCall::Fence(token) => event::WorkerEvent::FenceFailed { worker, token, stale: false },
    };
    Event::Worker(event)
}

fn lost_answer_event(id: &ids::WorkerId, event: event::WorkerEvent) -> event::WorkerEvent {
    let worker = id.clone();
    match event {
        event::WorkerEvent::Started { task, attempt, .. }
        | event::WorkerEvent::NotStarted { task, attempt, .. } => {
            event::WorkerEvent::StartUnknown { worker, task, attempt }
        }
        event::WorkerEvent::PreemptionReply { task, attempt, mode: how, .. } => {
            event::WorkerEvent::PreemptionReply {
                worker,
                task,
                attempt,
                mode: how,
                confirmed: false,
            }
        }
        event::WorkerEvent::Fenced { token, .. } => {
            event::WorkerEvent::FenceFailed { worker, token, stale: false }
        }
        _ => event::WorkerEvent::Unreachable { worker },
    }
}
