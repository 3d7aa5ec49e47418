//! Open requests by ticket.

use std::sync;
use std::sync::atomic;

use pier_core::{ids, map};
use tokio::sync::oneshot;

/// The requests that wait for an answer of the control thread.
#[derive(Debug)]
pub struct PendingRequests<A> {
    next: atomic::AtomicU64,
    waiting: sync::Mutex<Waiting<A>>,
}

type Waiting<A> = map::Map<ids::Ticket, oneshot::Sender<A>>;

impl<A> Default for PendingRequests<A> {
    fn default() -> Self {
        Self { next: atomic::AtomicU64::new(0), waiting: sync::Mutex::default() }
    }
}

impl<A> PendingRequests<A> {
    /// A new ticket and the end at which its answer arrives.
    pub fn register(&self) -> (ids::Ticket, oneshot::Receiver<A>) {
        let ticket = self.next.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(ticket, sender);
        (ticket, receiver)
    }

    /// Delivers an answer. False if nobody waits for it any more.
    pub fn answer(&self, ticket: ids::Ticket, answer: A) -> bool {
        let Some(sender) = self.lock().remove(&ticket) else {
            return false;
        };
        sender.send(answer).is_ok()
    }

    /// Forgets a ticket. False if it was answered or forgotten before.
    pub fn remove(&self, ticket: ids::Ticket) -> bool {
        self.lock().remove(&ticket).is_some()
    }

    /// The number of requests that wait.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> sync::MutexGuard<'_, Waiting<A>> {
        self.waiting.lock().expect("no holder of the lock panics")
    }
}
