//! Checks of the guarantees that are visible from outside the cell. A violation names its guarantee
//! by the number, such as P1.

use std::collections;
use std::time;

use pier_core::{body, caller, ids, resources, task, wire};
use pier_state::effect;

use super::Attempt;
use super::worker;

/// How long the old state may still be acted on after a change.
pub const WITHDRAWAL_BOUND: time::Duration = time::Duration::from_millis(3_000);
/// The longest network delay in the tests.
pub const NETWORK_DELAY: time::Duration = time::Duration::from_millis(20);

/// The sender of a start.
#[derive(Debug, Clone, Copy)]
pub struct Sender {
    pub host: usize,
    /// Whether the request was written before its sender was paused and delivered afterwards.
    pub late: bool,
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct Request {
    pub sent: time::Duration,
    pub payload: body::Body,
    pub repeatable: bool,
    pub key: std::sync::Arc<str>,
    pub idempotency_key: Option<std::sync::Arc<str>>,
    pub answer: Option<effect::CallerAnswer>,
}

/// The observations so far.
#[derive(Debug, Default)]
pub struct Checks {
    pub violations: Vec<String>,
    /// The running attempts of each task in the whole cell.
    running: collections::BTreeMap<ids::TaskId, collections::BTreeSet<(ids::WorkerId, u32)>>,
    /// How often each payload was started.
    pub starts: collections::BTreeMap<Vec<u8>, u32>,
    /// The values of each team's limit, and until when each was in force.
    pub limits: collections::BTreeMap<ids::TeamId, Vec<(time::Duration, resources::Resources)>>,
    /// When each zone was taken out of service.
    pub zones_out: collections::BTreeMap<ids::ZoneId, time::Duration>,
    /// When each API key was withdrawn.
    pub withdrawn: collections::BTreeMap<std::sync::Arc<str>, time::Duration>,
    /// When the host list first showed each worker as leaving to each host. A host cannot know
    /// earlier, for example while the list cannot be read.
    pub leaving: collections::BTreeMap<(usize, ids::WorkerId), time::Duration>,
    pub answered: u64,
    pub refused: u64,
    pub unknown: u64,
    pub total_starts: u64,
}

impl Checks {
    fn record_violation(&mut self, now: time::Duration, what: String) {
        self.violations.push(format!("at {} ms: {what}", now.as_millis()));
    }

    /// Checks the guarantees after a worker has accepted a start.
    pub fn on_started(
        &mut self,
        now: time::Duration,
        workers: &collections::BTreeMap<ids::WorkerId, worker::Worker>,
        worker: &ids::WorkerId,
        start: &wire::StartTask,
        sender: Sender,
    ) {
        self.total_starts += 1;
        let host = &workers[worker];
        if !host.used().fits_in(&host.entry.resources) {
            self.record_violation(now, format!("P1: worker {worker} was given more than it has"));
        }
        let running = self.running.entry(start.task.clone()).or_default();
        running.insert((worker.clone(), start.attempt));
        if running.len() > 1 {
            let places = format!("{running:?}");
            self.record_violation(now, format!("P2: task {} runs at {places}", start.task));
        }
        self.check_limit(now, workers, &start.labels.team);
        *self.starts.entry(start.payload.as_bytes().to_vec()).or_default() += 1;
        if sender.late {
            return;
        }
        let bound = WITHDRAWAL_BOUND + NETWORK_DELAY;
        let zone = &host.entry.availability_zone;
        if self.zones_out.get(zone).is_some_and(|out| now > *out + bound) {
            self.record_violation(now, format!("P5: task {} started in zone {zone}", start.task));
        }
        let seen_by_sender = self.leaving.get(&(sender.host, worker.clone()));
        if seen_by_sender.is_some_and(|since| now > *since + bound) {
            self.record_violation(
                now,
                format!("P9: leaving worker {worker} got task {}", start.task),
            );
        }
    }

    fn check_limit(
        &mut self,
        now: time::Duration,
        workers: &collections::BTreeMap<ids::WorkerId, worker::Worker>,
        team: &ids::TeamId,
    ) {
        let Some(limits) = self.limits.get(team) else {
            return;
        };
        let mut allowed = resources::Resources::ZERO;
        for (until, limit) in limits {
            if *until + WITHDRAWAL_BOUND + NETWORK_DELAY >= now {
                allowed = allowed.max(limit);
            }
        }
        let mut used = resources::Resources::ZERO;
        for worker in workers.values() {
            for run in worker.runs.values() {
                if run.start.labels.team == *team {
                    used = used.plus(&run.start.resources);
                }
            }
        }
        if !used.fits_in(&allowed) {
            let text = format!("P4: team {team} runs {used:?}, allowed {allowed:?}");
            self.record_violation(now, text);
        }
    }

    pub fn on_ended(&mut self, worker: &ids::WorkerId, attempt: &Attempt) {
        if let Some(running) = self.running.get_mut(&attempt.0) {
            running.remove(&(worker.clone(), attempt.1));
        }
    }

    /// Checks the answer to a request.
    pub fn on_answer(
        &mut self,
        now: time::Duration,
        request: &mut Request,
        answer: effect::CallerAnswer,
    ) {
        let payload = request.payload.as_bytes();
        let starts = self.starts.get(payload).copied().unwrap_or(0);
        if request.answer.is_some() {
            self.record_violation(now, "P6: a request was answered twice".to_owned());
        }
        match &answer {
            effect::CallerAnswer::Task { end, .. } => {
                self.answered += 1;
                if end.kind == task::EndKind::Done && end.body != request.payload {
                    self.record_violation(
                        now,
                        "P6: a caller got another request's answer".to_owned(),
                    );
                }
                let withdrawn = self.withdrawn.get(&request.key);
                if withdrawn.is_some_and(|at| request.sent > *at + WITHDRAWAL_BOUND) {
                    self.record_violation(now, format!("P3: withdrawn key {} worked", request.key));
                }
            }
            effect::CallerAnswer::Refused(refusal) => match refusal.outcome {
                caller::Outcome::NotRun => {
                    self.refused += 1;
                    // A request with an idempotency key shares its payload with its repeats, one of
                    // which may have run; the refusal is about this request alone.
                    if starts > 0 && request.idempotency_key.is_none() {
                        let kind = refusal.kind;
                        self.record_violation(
                            now,
                            format!("P7: not_run ({kind}) after {starts} starts"),
                        );
                    }
                }
                caller::Outcome::Ran | caller::Outcome::Unknown => self.unknown += 1,
            },
            effect::CallerAnswer::Job(_) => {}
        }
        request.answer = Some(answer);
    }

    /// Checks all requests at the end of a run.
    pub fn check_at_end(&mut self, now: time::Duration, requests: &[Request]) {
        let mut not_repeatable: collections::BTreeMap<Vec<u8>, &Request> =
            collections::BTreeMap::new();
        for request in requests {
            if !request.repeatable {
                not_repeatable.insert(request.payload.as_bytes().to_vec(), request);
            }
            let refused_as_not_run = matches!(
                &request.answer,
                Some(effect::CallerAnswer::Refused(refusal))
                    if refusal.outcome == caller::Outcome::NotRun
            );
            let starts = self.starts.get(request.payload.as_bytes()).copied().unwrap_or(0);
            if refused_as_not_run && starts > 0 && request.idempotency_key.is_none() {
                self.record_violation(now, "P7: a request refused as not_run ran later".to_owned());
            }
        }
        for (payload, _) in not_repeatable {
            let starts = self.starts.get(&payload).copied().unwrap_or(0);
            if starts > 1 {
                let text = String::from_utf8_lossy(&payload).into_owned();
                self.record_violation(
                    now,
                    format!("P8: not repeatable request ran {starts} times: {text}"),
                );
            }
        }
    }
}
