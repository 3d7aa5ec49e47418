//! The adviser's responses for a step and the state of its advice requests.
//!
//! A queue may have a policy that lets only some workers run a step. Whether a worker is eligible
//! does not change, but its ticket is valid only for a short time, so steps that wait request
//! advice again for workers that are known to be eligible.

use std::collections::{BTreeMap, BTreeSet};
use std::time;

use pier_core::ids;

use crate::peer::Advice;

/// The maximum number of workers in an advice request. The adviser accepts 100, and each adds to
/// its response time.
pub const MAX_WORKERS_PER_REQUEST: usize = 50;
/// The minimum remaining validity of a ticket that is used, because the start request still has to
/// be recorded and sent.
pub const MIN_TICKET_VALIDITY: time::Duration = time::Duration::from_millis(250);
/// The delay after a request without a response.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(300);
/// The delay when there is nothing to request. It bounds the work for steps that wait for free
/// workers.
const IDLE_DELAY: time::Duration = time::Duration::from_millis(60);

/// Which tickets an advice request may renew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketRenewal {
    /// No tickets. The request names only workers of unknown eligibility.
    None,
    /// Tickets that expire within this time.
    ExpiringWithin(time::Duration),
}

/// The adviser's ticket for a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The text that the start request carries.
    pub text: String,
    /// The end of its validity, counted from the arrival of the response.
    pub valid_until: time::Duration,
}

/// What the adviser has said about a step.
#[derive(Debug, Default)]
pub struct StepAdvice {
    eligible: BTreeMap<ids::WorkerId, Ticket>,
    ineligible: BTreeSet<ids::WorkerId>,
    requested: BTreeSet<ids::WorkerId>,
    open_requests: usize,
    next_request_at: time::Duration,
}

impl StepAdvice {
    /// Whether the worker is known to be eligible, even if its ticket has expired.
    pub fn is_eligible(&self, worker: &str) -> bool {
        self.eligible.contains_key(worker)
    }

    /// The workers that are known to be eligible.
    pub fn eligible(&self) -> impl Iterator<Item = &ids::WorkerId> {
        self.eligible.keys()
    }

    /// The worker's ticket, if it is valid for long enough to be used.
    pub fn ticket(&self, now: time::Duration, worker: &str) -> Option<&Ticket> {
        let ticket = self.eligible.get(worker)?;
        (ticket.valid_until > now.saturating_add(MIN_TICKET_VALIDITY)).then_some(ticket)
    }

    /// Until when the worker's ticket can be used, or the one that is requested, which is expected to
    /// be usable until `requested_until`.
    pub fn usable_until(&self, worker: &str, requested_until: time::Duration) -> time::Duration {
        let Some(ticket) = self.eligible.get(worker) else {
            return time::Duration::ZERO;
        };
        let until = ticket.valid_until.saturating_sub(MIN_TICKET_VALIDITY);
        if self.requested.contains(worker) { until.max(requested_until) } else { until }
    }

    /// Whether an open request names the worker.
    pub fn is_requested(&self, worker: &str) -> bool {
        self.requested.contains(worker)
    }

    /// Whether the adviser has said whether the worker is eligible.
    pub fn is_known(&self, worker: &str) -> bool {
        self.eligible.contains_key(worker) || self.ineligible.contains(worker)
    }

    /// Whether any ticket is valid for long enough to be used.
    pub fn has_ticket(&self, now: time::Duration) -> bool {
        let usable_from = now.saturating_add(MIN_TICKET_VALIDITY);
        self.eligible.values().any(|ticket| ticket.valid_until > usable_from)
    }

    /// The workers with a ticket that is valid for long enough to be used.
    pub fn workers_with_ticket(&self, now: time::Duration) -> impl Iterator<Item = &ids::WorkerId> {
        let usable_from = now.saturating_add(MIN_TICKET_VALIDITY);
        self.eligible
            .iter()
            .filter(move |(_, ticket)| ticket.valid_until > usable_from)
            .map(|(worker, _)| worker)
    }

    /// The number of requests without a response yet.
    pub fn open_requests(&self) -> usize {
        self.open_requests
    }

    /// Whether a request may be sent now.
    pub fn may_request(&self, now: time::Duration) -> bool {
        now >= self.next_request_at
    }

    /// Delays the next request.
    pub fn delay_next_request(&mut self, now: time::Duration) {
        self.next_request_at = now.saturating_add(IDLE_DELAY);
    }

    /// Whether the worker's eligibility is unknown and no request names it.
    pub fn is_unknown(&self, worker: &str) -> bool {
        !self.eligible.contains_key(worker)
            && !self.ineligible.contains(worker)
            && !self.requested.contains(worker)
    }

    /// Those of `workers` whose tickets are to be renewed, at most as many as a request may name.
    pub fn expiring(
        &self,
        now: time::Duration,
        renewal: TicketRenewal,
        workers: &[ids::WorkerId],
    ) -> Vec<ids::WorkerId> {
        let mut expiring = Vec::new();
        let TicketRenewal::ExpiringWithin(remaining_validity) = renewal else {
            return expiring;
        };
        for worker in workers {
            let is_expiring = self.eligible.get(worker).is_some_and(|ticket| {
                let expires_by = now.saturating_add(MIN_TICKET_VALIDITY);
                ticket.valid_until <= expires_by.saturating_add(remaining_validity)
            });
            if is_expiring
                && expiring.len() < MAX_WORKERS_PER_REQUEST
                && !self.requested.contains(worker)
            {
                expiring.push(ids::WorkerId::clone(worker));
            }
        }
        expiring
    }

    /// Records that a request for these workers was sent.
    pub fn record_request(&mut self, workers: &[ids::WorkerId]) {
        self.open_requests += 1;
        self.requested.extend(workers.iter().cloned());
    }

    /// Records the response to a request for these workers, or none if there was no response.
    pub fn record_response(
        &mut self,
        now: time::Duration,
        requested: &[ids::WorkerId],
        response: Option<&Advice>,
    ) {
        self.open_requests = self.open_requests.saturating_sub(1);
        // The others have a new incarnation, which the response does not concern.
        let mut answered = Vec::with_capacity(requested.len());
        for worker in requested {
            if self.requested.remove(worker) {
                answered.push(worker);
            }
        }
        let Some(response) = response else {
            self.next_request_at = now.saturating_add(RETRY_DELAY);
            return;
        };
        let valid_until = now.saturating_add(time::Duration::from_millis(response.valid_ms));
        for worker in &answered {
            self.eligible.remove(*worker);
            self.ineligible.insert(ids::WorkerId::clone(worker));
        }
        for (worker, text) in &response.eligible {
            if answered.contains(&worker) && self.ineligible.remove(worker) {
                let ticket = Ticket { text: text.clone(), valid_until };
                self.eligible.insert(ids::WorkerId::clone(worker), ticket);
            }
        }
    }

    /// Invalidates the ticket of a worker that rejected it. The worker stays eligible.
    pub fn invalidate_ticket(&mut self, worker: &str) {
        if let Some(ticket) = self.eligible.get_mut(worker) {
            ticket.valid_until = time::Duration::ZERO;
        }
    }

    /// Forgets everything about a worker that has a new incarnation.
    pub fn forget(&mut self, worker: &str) {
        self.eligible.remove(worker);
        self.ineligible.remove(worker);
        self.requested.remove(worker);
    }
}
