//! The workers of the simulated cell and the calls to them.

use std::time;

use pier_cell::effect::{StartRequest, WorkerCall, WorkerOperation};
use pier_cell::event::{Event, PollResponse, RejectReason, StartResponse, WorkerResponse};
use pier_cell::job::Label;
use pier_cell::run::EndKind;
use pier_cell::worker::WorkerInfo;
use pier_core::resources::Resources;
use rand::Rng;

use crate::sim::waits::is_of_kind;
use crate::sim::worker::SimWorker;
use crate::sim::worker_links::Link;
use crate::sim::worker_polls::HeldPoll;
use crate::sim::{NETWORK_DELAY_MS, Scheduled, Sim, cores};

/// The interval at which a worker that has restarted reports itself, in milliseconds.
const WORKER_REPORT_INTERVAL_MS: u64 = 1_500;

impl Sim {
    pub fn add_worker(&mut self, id: &str, zone: &str) {
        let worker = SimWorker::new(id, self.now_ms, zone, cores(16));
        self.list_worker(&worker, false);
        self.workers.insert(id.to_owned(), worker);
    }

    pub(super) fn list_worker(&mut self, worker: &SimWorker, is_draining: bool) {
        self.worker_list.push(&worker.id, Some(entry(worker, is_draining)));
    }

    /// Crashes a worker: it loses its state and is removed from the worker list.
    pub fn crash_worker(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_up = false;
            worker.running.clear();
        }
        self.worker_list.push(id, None);
    }

    /// Restarts a crashed worker under the same id.
    pub fn revive_worker(&mut self, id: &str) {
        let zone = self.workers[id].zone.clone();
        self.add_worker(id, &zone);
    }

    /// Restarts a worker under its id, with a gap in which it is down. The worker list shows its
    /// earlier incarnation once more, and the new one when the worker reports.
    pub fn restart_worker(&mut self, id: &str, down_ms: u64, report_after_ms: u64) {
        let (labels, capacity) = (self.workers[id].labels.clone(), self.workers[id].capacity);
        self.replace_worker(id, labels, capacity, down_ms, report_after_ms);
    }

    /// Restarts a worker under its id as one of this kind.
    pub fn restart_worker_as(&mut self, id: &str, kind: &str, capacity: Resources) {
        let down_ms = self.rng.random_range(40..400);
        let report_after_ms = self.rng.random_range(1..1_500);
        self.replace_worker(id, labels(kind), capacity, down_ms, report_after_ms);
    }

    /// Gives a worker that has not been used yet its kind.
    pub fn relabel_worker(&mut self, id: &str, kind: &str, capacity: Resources) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.labels = labels(kind);
            worker.capacity = capacity;
            let entry = entry(worker, false);
            self.worker_list.push(id, Some(entry));
        }
    }

    fn replace_worker(
        &mut self,
        id: &str,
        labels: Vec<Label>,
        capacity: Resources,
        down_ms: u64,
        report_after_ms: u64,
    ) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_up = false;
            worker.running.clear();
        }
        let earlier = entry(&self.workers[id], false);
        self.run_for(down_ms);
        let zone = self.workers[id].zone.clone();
        let incarnation = self.now_ms;
        let mut worker = SimWorker::new(id, incarnation, &zone, capacity);
        worker.labels = labels;
        self.workers.insert(id.to_owned(), worker);
        let shown_after_ms = self.rng.random_range(0..report_after_ms);
        self.push(
            shown_after_ms,
            Scheduled::Entry { id: id.to_owned(), entry: Some(Box::new(earlier)) },
        );
        self.push(report_after_ms, Scheduled::Report { id: id.to_owned(), incarnation });
    }

    /// Writes an entry of another writer under a worker's id, with this incarnation or, with none,
    /// one that cannot be decoded. The worker's next report replaces it.
    pub fn write_foreign_entry(&mut self, id: &str, foreign: Option<u64>, replaced_after_ms: u64) {
        let worker = &self.workers[id];
        let incarnation = worker.incarnation;
        let entry =
            foreign.map(|foreign| WorkerInfo { incarnation: foreign, ..entry(worker, false) });
        self.worker_list.push(id, entry);
        self.push(replaced_after_ms, Scheduled::Report { id: id.to_owned(), incarnation });
    }

    /// Lets a worker report itself to the worker list, now and at regular intervals, as long as it is
    /// up in this incarnation.
    pub(super) fn report(&mut self, id: &str, incarnation: u64) {
        let worker = &self.workers[id];
        if worker.is_up && worker.incarnation == incarnation {
            if worker.leaving.is_some() {
                self.list_as_leaving(id);
            } else {
                self.worker_list.push(id, Some(entry(worker, false)));
            }
            let again = Scheduled::Report { id: id.to_owned(), incarnation };
            self.push(WORKER_REPORT_INTERVAL_MS, again);
        }
    }

    /// Lists a worker that has announced that it leaves, with the time that is left.
    pub(super) fn list_as_leaving(&mut self, id: &str) {
        let worker = &self.workers[id];
        let Some(leaving) = worker.leaving else {
            return;
        };
        let remaining_ms = leaving.leaves_at_ms.saturating_sub(self.now_ms);
        let remaining = Some(time::Duration::from_millis(remaining_ms));
        let entry = WorkerInfo { remaining, ..entry(worker, true) };
        self.worker_list.push(id, Some(entry));
    }

    pub(super) fn call_worker(&mut self, host: usize, call: WorkerCall) {
        let WorkerCall { target, timeout_ms, operation } = call;
        let (worker, token) = (target.worker.clone(), target.token);
        let call = target.clone();
        if self.unreachable_pairs.contains(&(host, worker.to_string())) {
            let response = no_response(&operation);
            let reply = Box::new(target.to_reply(response));
            self.send_event(host, timeout_ms, Event::WorkerReply(reply));
            return;
        }
        *self.observed.worker_calls_by_host.entry(host).or_default() += 1;
        match self.link_to(host, &target, timeout_ms) {
            Link::Open => {}
            Link::Dead(after) => {
                let reply = Box::new(target.to_reply(no_response(&operation)));
                self.send_event(host, after, Event::WorkerReply(reply));
                return;
            }
            Link::OtherIncarnation => {
                let response = self.response_of_other_incarnation(&worker, token, operation);
                let reply = Box::new(target.to_reply(response));
                self.send_event(host, 2, Event::WorkerReply(reply));
                return;
            }
        }
        let lost = self.is_response_lost(host, &worker).then(|| no_response(&operation));
        let (after, response) = match operation {
            WorkerOperation::Start(request) => {
                let (task, number) = (request.task.clone(), request.number);
                let is_late = self.rng.random_range(0..100) < self.delayed_starts_percent;
                if is_late {
                    let after = self.rng.random_range(2_000..8_000);
                    let incarnation =
                        self.workers.get(&*worker).map_or(0, |worker| worker.incarnation);
                    let request = Box::new(request);
                    self.push(after, Scheduled::DelayedStart { incarnation, target, request });
                    let response = StartResponse::NoAnswer;
                    (timeout_ms, WorkerResponse::Start { task, number, response })
                } else {
                    let starts = self.observed.starts;
                    let response = self.start(&worker, token, &request);
                    if self.observed.starts > starts {
                        self.check_not_cancelled(&task);
                    }
                    let is_lost = response == StartResponse::NoAnswer;
                    let after = if is_lost { timeout_ms } else { self.delay(NETWORK_DELAY_MS) };
                    (after, WorkerResponse::Start { task, number, response })
                }
            }
            WorkerOperation::Stop { task, number } => {
                let is_acknowledged = match self.reachable_worker(&worker) {
                    Some(worker) => worker.stop(token, &task, number),
                    None => false,
                };
                let after = if is_acknowledged { 2 } else { timeout_ms };
                (after, WorkerResponse::Stop { task, number, is_acknowledged })
            }
            WorkerOperation::Poll { sent_at, ends_stored, lease_until_ms, wait_ms } => {
                let now_ms = self.now_ms;
                let is_refusing = self.refusing_workers.contains(&*worker);
                let response = match self.reachable_worker(&worker).filter(|_| !is_refusing) {
                    Some(worker) => worker.poll(now_ms, token, ends_stored, lease_until_ms),
                    None => PollResponse::NoAnswer,
                };
                let is_quiet = matches!(
                    &response,
                    PollResponse::Report { ended, .. } if ended.is_empty()
                );
                if is_quiet && wait_ms > 0 {
                    self.hold_poll(HeldPoll {
                        host,
                        process_number: self.hosts[host].process_number,
                        incarnation: self.workers[&*worker].incarnation,
                        target,
                        sent_at,
                        until_ms: now_ms + wait_ms,
                        timeout_ms,
                    });
                    return;
                }
                let after = match response {
                    PollResponse::NoAnswer if is_refusing => 2,
                    PollResponse::NoAnswer => timeout_ms + wait_ms,
                    _ => 2,
                };
                (after, WorkerResponse::Poll { sent_at, response })
            }
        };
        let (after, response) = match lost {
            Some(no_response) => (2, no_response),
            None => (after, response),
        };
        let reply = Box::new(call.to_reply(response));
        self.send_event(host, after, Event::WorkerReply(reply));
    }

    /// The response of a worker that is another incarnation than the one that the call is for. The
    /// call itself is not sent; a poll gets the report that shows the incarnation.
    fn response_of_other_incarnation(
        &mut self,
        id: &str,
        token: u64,
        operation: WorkerOperation,
    ) -> WorkerResponse {
        let now_ms = self.now_ms;
        match operation {
            WorkerOperation::Start(request) => WorkerResponse::Start {
                task: request.task,
                number: request.number,
                response: StartResponse::Rejected { reason: RejectReason::OtherIncarnation },
            },
            WorkerOperation::Stop { task, number } => {
                WorkerResponse::Stop { task, number, is_acknowledged: false }
            }
            WorkerOperation::Poll { sent_at, .. } => {
                let is_refusing = self.refusing_workers.contains(id);
                let response = match self.reachable_worker(id).filter(|_| !is_refusing) {
                    Some(worker) => worker.poll(now_ms, token, 0, None),
                    None => PollResponse::NoAnswer,
                };
                WorkerResponse::Poll { sent_at, response }
            }
        }
    }

    pub(super) fn reachable_worker(&mut self, id: &str) -> Option<&mut SimWorker> {
        if self.unreachable_workers.contains(id) {
            return None;
        }
        self.workers.get_mut(id).filter(|worker| worker.is_up)
    }

    pub(super) fn start(&mut self, id: &str, token: u64, request: &StartRequest) -> StartResponse {
        let now_ms = self.now_ms;
        let run_ms = self.rng.random_range(self.run_ms / 2..self.run_ms * 3 / 2);
        let is_failing = self.rng.random_range(0..100) < self.failed_runs_percent;
        let kind = if is_failing { EndKind::Failed } else { EndKind::Done };
        if self.refusing_workers.contains(id) {
            return StartResponse::Rejected { reason: RejectReason::Refused };
        }
        let Some(spec) = self.specs.get(&*request.task.job).cloned() else {
            self.observed
                .violations
                .push(format!("started {:?}, which nobody submitted", request.task));
            return StartResponse::NoAnswer;
        };
        let step = &spec.steps[request.task.step];
        let (need, is_gang) = (step.need, step.gang);
        let run_ms = if self.runs_as_estimated { step.estimate_ms } else { run_ms };
        let is_failing = self.failing_workers.contains(id) && self.rng.random_range(0..3) == 0;
        let kind = if is_failing { EndKind::Failed } else { kind };
        let Some(worker) = self.reachable_worker(id) else {
            return StartResponse::NoAnswer;
        };
        let was_running = worker.running.contains_key(&request.task);
        let response = worker.start(
            now_ms,
            token,
            &request.task,
            request.number,
            request.lease_until_ms,
            run_ms,
            kind,
            need,
        );
        if !was_running && matches!(response, StartResponse::Started { .. }) {
            let is_over_capacity = !worker.used().fits_in(&worker.capacity);
            let is_wrong_kind = !is_of_kind(worker, step);
            let id = id.to_owned();
            self.record_start(&id, &request.task, is_over_capacity);
            if is_wrong_kind {
                let broken = format!("{now_ms} ms: {:?} started on a wrong kind", request.task);
                self.observed.violations.push(broken);
            }
            self.check_limit(&request.task.job);
            if is_gang {
                self.add_gang_member(&request.task, request.number);
            }
        }
        response
    }

    pub(super) fn advance_workers(&mut self) {
        let now_ms = self.now_ms;
        let mut released = Vec::new();
        let mut alone = Vec::new();
        for worker in self.workers.values_mut() {
            worker.advance(now_ms);
            for (task, need) in worker.released.drain(..) {
                released.push((worker.id.clone(), task, need));
            }
            alone.append(&mut worker.alone);
            for (task, number) in worker.failed.drain(..) {
                self.observed.failed_runs.entry(task).or_default().insert(number);
            }
            for (task, done_at_ms) in worker.acknowledged.drain(..) {
                let started_at_ms = self.observed.last_start_ms.get(&task).copied().unwrap_or(0);
                if started_at_ms > done_at_ms {
                    let broken = format!("{started_at_ms} ms: {task:?} started after done");
                    self.observed.violations.push(broken);
                }
                self.observed.done.insert(task);
            }
        }
        self.advance_gangs();
        for task in alone {
            self.record_member_alone(&task);
        }
        for (worker, task, need) in released {
            self.record_run_end(&worker, &task.job, need);
        }
    }
}

fn labels(kind: &str) -> Vec<Label> {
    vec![kind.into(), "rack".into()]
}

/// The entry of a worker in the worker list.
fn entry(worker: &SimWorker, is_draining: bool) -> WorkerInfo {
    WorkerInfo {
        id: worker.id.as_str().into(),
        address: worker.id.as_str().into(),
        service: "pool".into(),
        zone: worker.zone.as_str().into(),
        incarnation: worker.incarnation,
        labels: worker.labels.clone(),
        capacity: worker.capacity,
        is_draining,
        remaining: None,
    }
}

pub(super) fn no_response(operation: &WorkerOperation) -> WorkerResponse {
    match operation {
        WorkerOperation::Start(request) => WorkerResponse::Start {
            task: request.task.clone(),
            number: request.number,
            response: StartResponse::NoAnswer,
        },
        WorkerOperation::Stop { task, number } => {
            WorkerResponse::Stop { task: task.clone(), number: *number, is_acknowledged: false }
        }
        WorkerOperation::Poll { sent_at, .. } => {
            WorkerResponse::Poll { sent_at: *sent_at, response: PollResponse::NoAnswer }
        }
    }
}
