//! What the adviser has said of a step, and what it is to be asked next.
//!
//! Answers the load of queues whose policy lets only some workers run a step. Which workers may run
//! it does not change, but a ticket is valid for a short time only, so steps that wait ask again,
//! for workers that are known to be eligible.

use std::collections::{BTreeMap, BTreeSet};
use std::time;

use pier_core::ids;

use crate::peer::Advice;

/// The most workers in a question; the adviser takes 100, and each costs time.
pub const MAX_WORKERS_PER_REQUEST: usize = 50;
/// A ticket is not used when it is valid for less: the order still has to be recorded and sent.
pub const MIN_TICKET_VALIDITY: time::Duration = time::Duration::from_millis(250);
/// The pause after a question without an response.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(300);
/// The pause when there is nothing to ask about. It bounds the work for steps that wait for room.
const IDLE_DELAY: time::Duration = time::Duration::from_millis(60);

/// Whether a question may name workers whose tickets have lapsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketRenewal {
    /// Only workers that nothing is known of.
    None,
    /// Also those whose tickets run out within this time.
    ExpiringWithin(time::Duration),
}

/// A ticket for a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// What an order carries.
    pub text: String,
    /// When the adviser's validity ends, counted from the answer's arrival.
    pub valid_until: time::Duration,
}

/// What is known for a step.
#[derive(Debug, Default)]
pub struct StepAdvice {
    eligible: BTreeMap<ids::WorkerId, Ticket>,
    ineligible: BTreeSet<ids::WorkerId>,
    requested: BTreeSet<ids::WorkerId>,
    open_requests: usize,
    next_request_at: time::Duration,
}

impl StepAdvice {
    /// Whether the worker is known to be eligible, whatever the age of its ticket.
    pub fn is_eligible(&self, worker: &str) -> bool {
        self.eligible.contains_key(worker)
    }

    /// The workers that are known to be eligible.
    pub fn eligible(&self) -> impl Iterator<Item = &ids::WorkerId> {
        self.eligible.keys()
    }

    /// A ticket that is valid long enough to be used.
    pub fn ticket(&self, now: time::Duration, worker: &str) -> Option<&Ticket> {
        let ticket = self.eligible.get(worker)?;
        (ticket.valid_until > now.saturating_add(MIN_TICKET_VALIDITY)).then_some(ticket)
    }

    /// Whether any ticket is valid long enough to be used.
    pub fn has_ticket(&self, now: time::Duration) -> bool {
        let usable_from = now.saturating_add(MIN_TICKET_VALIDITY);
        self.eligible.values().any(|ticket| ticket.valid_until > usable_from)
    }

    /// The workers with tickets that are valid long enough to be used.
    pub fn workers_with_ticket(&self, now: time::Duration) -> impl Iterator<Item = &ids::WorkerId> {
        let usable_from = now.saturating_add(MIN_TICKET_VALIDITY);
        self.eligible
            .iter()
            .filter(move |(_, ticket)| ticket.valid_until > usable_from)
            .map(|(worker, _)| worker)
    }

    /// How many questions are under way.
    pub fn open_requests(&self) -> usize {
        self.open_requests
    }

    /// Whether a question may be asked now.
    pub fn may_request(&self, now: time::Duration) -> bool {
        now >= self.next_request_at
    }

    /// Asks nothing for a moment.
    pub fn delay_next_request(&mut self, now: time::Duration) {
        self.next_request_at = now.saturating_add(IDLE_DELAY);
    }

    /// Whether nothing is known of the worker and no question about it is under way.
    pub fn is_unknown(&self, worker: &str) -> bool {
        !self.eligible.contains_key(worker)
            && !self.ineligible.contains(worker)
            && !self.requested.contains(worker)
    }

    /// Those of the workers whose tickets are to be renewed, as many as a question may name.
    pub fn expiring(
        &self,
        now: time::Duration,
        renewal: TicketRenewal,
        workers: &[ids::WorkerId],
    ) -> Vec<ids::WorkerId> {
        let mut expiring = Vec::new();
        let TicketRenewal::ExpiringWithin(ahead) = renewal else {
            return expiring;
        };
        for worker in workers {
            let is_expiring = self
                .eligible
                .get(worker)
                .is_some_and(|ticket| ticket.valid_until <= now + MIN_TICKET_VALIDITY + ahead);
            if is_expiring
                && expiring.len() < MAX_WORKERS_PER_REQUEST
                && !self.requested.contains(worker)
            {
                expiring.push(ids::WorkerId::clone(worker));
            }
        }
        expiring
    }

    /// Notes that a question about the workers is under way.
    pub fn record_request(&mut self, workers: &[ids::WorkerId]) {
        self.open_requests += 1;
        self.requested.extend(workers.iter().cloned());
    }

    /// Takes the answer to a question about the workers; none when none came.
    pub fn record_response(
        &mut self,
        now: time::Duration,
        requested: &[ids::WorkerId],
        response: Option<&Advice>,
    ) {
        self.open_requests = self.open_requests.saturating_sub(1);
        for worker in requested {
            self.requested.remove(worker);
        }
        let Some(response) = response else {
            self.next_request_at = now.saturating_add(RETRY_DELAY);
            return;
        };
        let valid_until = now.saturating_add(time::Duration::from_millis(response.valid_ms));
        for worker in requested {
            self.eligible.remove(worker);
            self.ineligible.insert(ids::WorkerId::clone(worker));
        }
        for (worker, text) in &response.eligible {
            if self.ineligible.remove(worker) {
                let ticket = Ticket { text: text.clone(), valid_until };
                self.eligible.insert(ids::WorkerId::clone(worker), ticket);
            }
        }
    }

    /// Forgets the ticket of a worker that did not accept it.
    pub fn invalidate_ticket(&mut self, worker: &str) {
        if let Some(ticket) = self.eligible.get_mut(worker) {
            ticket.valid_until = time::Duration::ZERO;
        }
    }

    /// Forgets what is known of a worker that has begun another incarnation.
    pub fn forget(&mut self, worker: &str) {
        self.eligible.remove(worker);
        self.ineligible.remove(worker);
    }
}
