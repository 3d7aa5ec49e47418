//! A bounded queue that drops its oldest entry when full.

use std::collections;
use std::sync;

use tokio::sync::Notify;

/// A queue with many producers and a single consumer. Pushing never blocks.
#[derive(Debug)]
pub(crate) struct DropOldestQueue<T> {
    entries: sync::Mutex<collections::VecDeque<T>>,
    limit: usize,
    pushed: Notify,
}

impl<T> DropOldestQueue<T> {
    /// Creates an empty queue for at most `limit` entries; a limit of zero counts as one.
    pub fn new(limit: usize) -> Self {
        let entries = sync::Mutex::new(collections::VecDeque::new());
        Self { entries, limit: limit.max(1), pushed: Notify::new() }
    }

    /// Adds an entry. If the queue is full, its oldest entry is removed and returned.
    pub fn push(&self, entry: T) -> Option<T> {
        let mut entries = self.lock();
        let dropped = if entries.len() >= self.limit { entries.pop_front() } else { None };
        entries.push_back(entry);
        drop(entries);
        self.pushed.notify_one();
        dropped
    }

    /// Removes and returns the oldest entry, if there is one.
    pub fn try_pop(&self) -> Option<T> {
        self.lock().pop_front()
    }

    /// Removes and returns the oldest entry, waiting until there is one. Only one task may wait.
    pub async fn pop(&self) -> T {
        loop {
            if let Some(entry) = self.try_pop() {
                return entry;
            }
            self.pushed.notified().await;
        }
    }

    /// Whether the queue has no entries.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::VecDeque<T>> {
        self.entries.lock().expect("no holder of the lock panics")
    }
}
