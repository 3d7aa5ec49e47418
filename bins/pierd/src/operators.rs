//! Forwards operator requests to the control thread.

use std::sync;

use persimmonpier::core::caller::{Refusal, RefusalKind};
use persimmonpier::core::{ids, keys};
use persimmonpier::front::pending;
use persimmonpier::link::operator;
use persimmonpier::state::effect::OperatorAnswer;
use persimmonpier::state::event::{Event, OperatorEvent, OperatorRequest};
use tokio::sync::oneshot;

/// Authenticates operators and forwards their requests to the control thread.
#[derive(Debug)]
pub struct OperatorHandler {
    token_hashes: Vec<keys::KeyHash>,
    pending_requests: pending::PendingRequests<OperatorAnswer>,
    events: flume::Sender<Event>,
}

impl OperatorHandler {
    /// A handler that accepts the operator tokens with these hashes.
    pub fn new(token_hashes: Vec<keys::KeyHash>, events: flume::Sender<Event>) -> Self {
        Self { token_hashes, pending_requests: pending::PendingRequests::default(), events }
    }

    /// Delivers the answer to a request. The answer is dropped if the request is no longer pending.
    pub fn answer(&self, ticket: ids::Ticket, answer: OperatorAnswer) {
        if !self.pending_requests.answer(ticket, answer) {
            tracing::debug!(
                ticket,
                "dropped the answer to an operator request that is no longer pending"
            );
        }
    }
}

impl operator::Handler for OperatorHandler {
    fn is_operator(&self, token: &str) -> bool {
        let hash = keys::KeyHash::of(token);
        let mut is_known = false;
        // All hashes are compared, so that the time taken does not reveal which one matches.
        for candidate in &self.token_hashes {
            is_known |= candidate.constant_time_eq(&hash);
        }
        is_known
    }

    fn handle(&self, request: OperatorRequest) -> oneshot::Receiver<OperatorAnswer> {
        let (ticket, receiver) = self.pending_requests.register();
        let event = Event::Operator(OperatorEvent { ticket, request });
        if self.events.try_send(event).is_err() {
            let refusal = Refusal::not_run(
                RefusalKind::Overloaded,
                "the event queue of the host is full, or the host is shutting down",
            );
            self.pending_requests.answer(ticket, OperatorAnswer::Refused(refusal));
        }
        receiver
    }
}

/// An operator handler that the RPC server and the control thread share.
pub type SharedOperatorHandler = sync::Arc<OperatorHandler>;
