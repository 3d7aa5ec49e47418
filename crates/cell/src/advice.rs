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
pub const MOST_NAMED: usize = 50;
/// A ticket is not used when it is valid for less: the order still has to be recorded and sent.
pub const TICKET_MARGIN: time::Duration = time::Duration::from_millis(250);
/// The pause after a question without an answer.
const RETRY: time::Duration = time::Duration::from_millis(300);
/// The pause when there is nothing to ask about. It bounds the work for steps that wait for room.
const IDLE_PAUSE: time::Duration = time::Duration::from_millis(60);

/// Whether a question may name workers whose tickets have lapsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Renewal {
    /// Only workers that nothing is known of.
    No,
    /// Also those whose tickets run out within this time.
    Ahead(time::Duration),
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
    asked: Option<Vec<ids::WorkerId>>,
    retry_at: time::Duration,
}

impl StepAdvice {
    /// Whether a question is under way.
    pub fn is_asked(&self) -> bool {
        self.asked.is_some()
    }

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
        (ticket.valid_until > now.saturating_add(TICKET_MARGIN)).then_some(ticket)
    }

    /// Whether any ticket is valid long enough to be used.
    pub fn has_ticket(&self, now: time::Duration) -> bool {
        let usable_from = now.saturating_add(TICKET_MARGIN);
        self.eligible.values().any(|ticket| ticket.valid_until > usable_from)
    }

    /// The workers with tickets that are valid long enough to be used.
    pub fn ticketed(&self, now: time::Duration) -> impl Iterator<Item = &ids::WorkerId> {
        let usable_from = now.saturating_add(TICKET_MARGIN);
        self.eligible
            .iter()
            .filter(move |(_, ticket)| ticket.valid_until > usable_from)
            .map(|(worker, _)| worker)
    }

    /// Whether a question may be asked now.
    pub fn may_ask(&self, now: time::Duration) -> bool {
        self.asked.is_none() && now >= self.retry_at
    }

    /// Asks nothing for a moment.
    pub fn pause(&mut self, now: time::Duration) {
        self.retry_at = now.saturating_add(IDLE_PAUSE);
    }

    /// The workers to ask about, in the order of `candidates`: first those whose tickets are to be
    /// renewed, then those that nothing is known of.
    pub fn next_question(
        &self,
        now: time::Duration,
        renewal: Renewal,
        candidates: &[ids::WorkerId],
    ) -> Option<Vec<ids::WorkerId>> {
        if !self.may_ask(now) {
            return None;
        }
        let mut unknown = Vec::new();
        let mut renewable = Vec::new();
        for worker in candidates {
            if let Some(ticket) = self.eligible.get(worker) {
                if let Renewal::Ahead(ahead) = renewal
                    && ticket.valid_until <= now + TICKET_MARGIN + ahead
                {
                    renewable.push(ids::WorkerId::clone(worker));
                }
                continue;
            }
            if !self.ineligible.contains(worker) {
                unknown.push(ids::WorkerId::clone(worker));
            }
        }
        renewable.append(&mut unknown);
        renewable.truncate(MOST_NAMED);
        (!renewable.is_empty()).then_some(renewable)
    }

    /// Notes that the workers were asked about.
    pub fn note_asked(&mut self, workers: Vec<ids::WorkerId>) {
        self.asked = Some(workers);
    }

    /// Takes the answer.
    pub fn note_answer(&mut self, now: time::Duration, answer: Option<&Advice>) {
        let asked = self.asked.take().unwrap_or_default();
        let Some(answer) = answer else {
            self.retry_at = now.saturating_add(RETRY);
            return;
        };
        let valid_until = now.saturating_add(time::Duration::from_millis(answer.valid_ms));
        for worker in asked {
            match answer.eligible.iter().find(|(eligible, _)| *eligible == worker) {
                Some((_, text)) => {
                    let ticket = Ticket { text: text.clone(), valid_until };
                    self.eligible.insert(worker, ticket);
                }
                None => {
                    self.eligible.remove(&worker);
                    self.ineligible.insert(worker);
                }
            }
        }
    }

    /// Forgets the ticket of a worker that did not accept it.
    pub fn drop_ticket(&mut self, worker: &str) {
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
