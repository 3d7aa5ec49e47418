//! Requests of callers.

use std::sync;

use pier_cell::effect::CallerResponse;
use pier_cell::event::{CallerRequest, Event, Operation};
use pier_cell::job::{JobSpec, Step};
use rand::Rng;

use crate::sim::load::Caller;
use crate::sim::{RequestKey, Sim, step};

/// Jobs submitted per second.
const JOBS_PER_S: u64 = 12;

impl Sim {
    /// Sends a caller's request to a host's process.
    pub(super) fn request(
        &mut self,
        host: usize,
        queue: &str,
        id: &str,
        operation: Operation,
    ) -> RequestKey {
        let request = CallerRequest {
            host: "cell.example".to_owned(),
            path: format!("/{queue}/{id}"),
            key: self.caller_key.clone(),
            timeout: None,
            operation,
        };
        let ticket = self.hosts[host].tickets.issue();
        let key = (self.hosts[host].process_number, ticket);
        self.send_event(host, 1, Event::CallerRequest { ticket, request: Box::new(request) });
        key
    }

    /// Submits a job at a host.
    pub fn submit(&mut self, host: usize, id: &str, queue: &str, steps: Vec<Step>) {
        let spec = JobSpec {
            id: id.into(),
            queue: queue.into(),
            account: None,
            payload: "text".into(),
            steps,
        };
        self.specs.insert(id.to_owned(), sync::Arc::new(spec.clone()));
        let account =
            self.caller_key.as_ref().and_then(|key| self.declaration.account_for_key(key));
        let account = account.map(|account| account.name.to_string());
        self.account_of.insert(id.to_owned(), account);
        let caller = Caller { key: self.caller_key.clone(), first_submitted_ms: self.now_ms };
        self.callers.entry(id.to_owned()).or_insert(caller);
        *self.observed.submissions.entry(id.to_owned()).or_default() += 1;
        let key = self.request(host, queue, id, Operation::Submit(Ok(Box::new(spec))));
        self.pending_submissions.insert(key, id.to_owned());
    }

    /// Returns a host's response to a query for a job's state.
    pub fn show(&mut self, host: usize, id: &str, queue: &str) -> Option<CallerResponse> {
        self.show_for(host, id, queue, 10)
    }

    /// Queries a job's state and returns the response that arrives within this time.
    pub fn show_for(
        &mut self,
        host: usize,
        id: &str,
        queue: &str,
        millis: u64,
    ) -> Option<CallerResponse> {
        let key = self.request(host, queue, id, Operation::Show);
        self.response_within(key, millis)
    }

    pub fn cancel(&mut self, host: usize, id: &str, queue: &str) {
        self.send_cancel(host, id, queue);
    }

    fn send_cancel(&mut self, host: usize, id: &str, queue: &str) -> RequestKey {
        self.observed.cancelled.insert(id.to_owned());
        let key = self.request(host, queue, id, Operation::Cancel);
        self.pending_cancels.insert(key, id.to_owned());
        key
    }

    /// Cancels a job and returns the response that arrives within this time.
    pub fn cancel_for(
        &mut self,
        host: usize,
        id: &str,
        queue: &str,
        millis: u64,
    ) -> Option<CallerResponse> {
        let key = self.send_cancel(host, id, queue);
        self.response_within(key, millis)
    }

    fn response_within(&mut self, key: RequestKey, millis: u64) -> Option<CallerResponse> {
        self.run_for(millis);
        self.query_responses.remove(&key)
    }

    pub(super) fn record_response(&mut self, key: RequestKey, response: &CallerResponse) {
        if let Some(id) = self.pending_cancels.remove(&key)
            && matches!(response, CallerResponse::Cancelled | CallerResponse::UnknownJob)
        {
            self.observed.cancel_acknowledged_ms.entry(id).or_insert(self.now_ms);
        }
        let Some(id) = self.pending_submissions.remove(&key) else {
            self.query_responses.insert(key, response.clone());
            return;
        };
        self.observed.responses.insert(id.clone(), response.clone());
        if !matches!(response, CallerResponse::Accepted | CallerResponse::OutcomeUnknown) {
            *self.observed.rejections.entry(id.clone()).or_default() += 1;
            self.check_rejected_before_start(&id);
        }
        if let CallerResponse::Rejected { retry_after, .. } = response
            && self.are_rejected_jobs_retried
        {
            self.retry_later(&id, *retry_after);
        }
        let outcomes = match response {
            CallerResponse::Accepted => &mut self.observed.accepted,
            CallerResponse::OutcomeUnknown => &mut self.observed.unknown_outcomes,
            _ => &mut self.observed.rejected,
        };
        outcomes.insert(id);
    }
}

/// Submits random jobs for some seconds.
pub fn submit_load(sim: &mut Sim, seconds: u64, count: &mut usize) {
    submit_jobs(sim, seconds * 1_000, JOBS_PER_S, count);
}

/// Submits this many random jobs a second for some time.
pub fn submit_jobs(sim: &mut Sim, millis: u64, jobs_per_s: u64, count: &mut usize) {
    for _ in 0..millis * jobs_per_s / 1_000 {
        let host = sim.rng.random_range(0..sim.hosts.len());
        let tasks = sim.rng.random_range(1..4);
        let need = sim.rng.random_range(1..5);
        let mut steps = vec![step(tasks, need)];
        if sim.rng.random_range(0..4) == 0 {
            steps[0].gang = true;
        }
        if sim.rng.random_range(0..4) == 0 {
            let mut second = step(1, 1);
            second.after = vec![0];
            steps.push(second);
        }
        let queue = if sim.rng.random_range(0..2) == 0 { "urgent" } else { "batch" };
        *count += 1;
        sim.submit(host, &format!("{count:016x}"), queue, steps);
        sim.run_for(1_000 / jobs_per_s);
    }
}
