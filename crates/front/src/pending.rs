//! Requests that wait for an answer, by ticket.

use std::sync;
use std::sync::atomic;

use pier_core::{ids, map};
use tokio::sync::oneshot;

/// The requests that wait for an answer from the control thread.
#[derive(Debug)]
pub struct PendingRequests<A> {
    next_ticket: atomic::AtomicU64,
    senders: sync::Mutex<Senders<A>>,
}

type Senders<A> = map::Map<ids::Ticket, oneshot::Sender<A>>;

impl<A> Default for PendingRequests<A> {
    fn default() -> Self {
        Self { next_ticket: atomic::AtomicU64::new(0), senders: sync::Mutex::default() }
    }
}

impl<A> PendingRequests<A> {
    /// Registers a request and returns its ticket and the receiver of its answer.
    pub fn register(&self) -> (ids::Ticket, oneshot::Receiver<A>) {
        let ticket = self.next_ticket.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(ticket, sender);
        (ticket, receiver)
    }

    /// Delivers an answer. Returns false if the request no longer waits for it.
    pub fn answer(&self, ticket: ids::Ticket, answer: A) -> bool {
        let Some(sender) = self.lock().remove(&ticket) else {
            return false;
        };
        sender.send(answer).is_ok()
    }

    /// Removes a request. Returns false if it was already answered or removed.
    pub fn remove(&self, ticket: ids::Ticket) -> bool {
        self.lock().remove(&ticket).is_some()
    }

    /// Removes all requests. Their receivers learn that no answer comes.
    pub fn clear(&self) {
        self.lock().clear();
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> sync::MutexGuard<'_, Senders<A>> {
        self.senders.lock().expect("no holder of the lock panics")
    }
}
