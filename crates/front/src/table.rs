//! The table of open connections.

use std::collections;
use std::sync;
use std::sync::atomic;

use tokio::sync::oneshot;

/// Counts the open connections of the host and keeps the idle ones in the order in which they
/// became idle.
#[derive(Debug)]
pub struct ConnectionTable {
    limit: usize,
    open: atomic::AtomicUsize,
    next_idle_seq: atomic::AtomicU64,
    idle: sync::Mutex<collections::BTreeMap<u64, oneshot::Sender<()>>>,
}

impl ConnectionTable {
    /// Creates a table for at most `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: atomic::AtomicUsize::new(0),
            next_idle_seq: atomic::AtomicU64::new(0),
            idle: sync::Mutex::default(),
        }
    }

    /// Counts a connection as open until the entry is dropped. When the table is full, the
    /// connection that has been idle the longest is evicted. Returns `None` if the table is full
    /// and no connection is idle.
    pub fn admit(self: &sync::Arc<Self>) -> Option<Entry> {
        let open = self.open.fetch_add(1, atomic::Ordering::AcqRel);
        let entry = Entry { table: sync::Arc::clone(self), idle_seq: None };
        if open < self.limit || self.evict_longest_idle() {
            return Some(entry);
        }
        None
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(atomic::Ordering::Acquire)
    }

    fn evict_longest_idle(&self) -> bool {
        loop {
            let Some((_, evict_sender)) = self.lock().pop_first() else {
                return false;
            };
            // Sending fails if the receiver was dropped, which means that the connection is
            // already closing.
            if evict_sender.send(()).is_ok() {
                return true;
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<u64, oneshot::Sender<()>>> {
        self.idle.lock().expect("no holder of the lock panics")
    }
}

/// An open connection in the table.
#[derive(Debug)]
pub struct Entry {
    table: sync::Arc<ConnectionTable>,
    idle_seq: Option<u64>,
}

impl Entry {
    /// Marks the connection as idle. The receiver gets a message when the connection is evicted.
    pub fn mark_idle(&mut self) -> oneshot::Receiver<()> {
        self.mark_busy();
        let seq = self.table.next_idle_seq.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.table.lock().insert(seq, sender);
        self.idle_seq = Some(seq);
        receiver
    }

    /// Marks the connection as busy.
    pub fn mark_busy(&mut self) {
        let Some(seq) = self.idle_seq.take() else {
            return;
        };
        self.table.lock().remove(&seq);
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.mark_busy();
        self.table.open.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}
