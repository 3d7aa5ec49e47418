//! Passes operators' requests to the control thread.

use std::sync;

use persimmonpier::core::caller::{Refusal, RefusalKind};
use persimmonpier::core::{ids, keys};
use persimmonpier::front::pending;
use persimmonpier::link::operator;
use persimmonpier::state::effect::OperatorAnswer;
use persimmonpier::state::event::{Event, OperatorEvent, OperatorRequest};
use tokio::sync::oneshot;

/// Checks operators' tokens and passes requests on.
#[derive(Debug)]
pub struct Operators {
    tokens: Vec<keys::KeyHash>,
    tickets: pending::PendingRequests<OperatorAnswer>,
    events: flume::Sender<Event>,
}

impl Operators {
    /// A handler that knows the hashes of the operators' tokens.
    pub fn new(tokens: Vec<keys::KeyHash>, events: flume::Sender<Event>) -> Self {
        Self { tokens, tickets: pending::PendingRequests::default(), events }
    }

    /// Delivers the answer to a request. An answer that nobody waits for any more is dropped.
    pub fn answer(&self, ticket: ids::Ticket, answer: OperatorAnswer) {
        if !self.tickets.answer(ticket, answer) {
            tracing::debug!(ticket, "an answer to an operator came too late");
        }
    }
}

impl operator::Handler for Operators {
    fn is_operator(&self, token: &str) -> bool {
        let hash = keys::KeyHash::of(token);
        let mut known = false;
        // All hashes are compared, so that the time does not tell which one is equal.
        for candidate in &self.tokens {
            known |= candidate.constant_time_eq(&hash);
        }
        known
    }

    fn handle(&self, request: OperatorRequest) -> oneshot::Receiver<OperatorAnswer> {
        let (ticket, receiver) = self.tickets.register();
        let event = Event::Operator(OperatorEvent { ticket, request });
        if self.events.try_send(event).is_err() {
            let refusal = Refusal::not_run(
                RefusalKind::Overloaded,
                "too many events wait on the host, or it is shutting down",
            );
            self.tickets.answer(ticket, OperatorAnswer::Refused(refusal));
        }
        receiver
    }
}

/// The operators' requests as the RPC module takes them.
pub type SharedOperators = sync::Arc<Operators>;
