//! The table of open connections.

use std::collections;
use std::sync;
use std::sync::atomic;

use tokio::sync::oneshot;

/// The open connections of the host, with the idle ones in the order in which they became idle.
#[derive(Debug)]
pub struct ConnectionTable {
    limit: usize,
    open: atomic::AtomicUsize,
    next: atomic::AtomicU64,
    idle: sync::Mutex<collections::BTreeMap<u64, oneshot::Sender<()>>>,
}

impl ConnectionTable {
    /// A table with room for `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: atomic::AtomicUsize::new(0),
            next: atomic::AtomicU64::new(0),
            idle: sync::Mutex::default(),
        }
    }

    /// Counts a connection until the entry is dropped. When the table is full, the connection
    /// that has been idle the longest is told to close and its place is taken. None if the table
    /// is full and no connection is idle.
    pub fn admit(self: &sync::Arc<Self>) -> Option<Entry> {
        let open = self.open.fetch_add(1, atomic::Ordering::AcqRel);
        let entry = Entry { table: sync::Arc::clone(self), idle: None };
        if open < self.limit || self.evict() {
            return Some(entry);
        }
        None
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(atomic::Ordering::Acquire)
    }

    fn evict(&self) -> bool {
        loop {
            let Some((_, closer)) = self.lock().pop_first() else {
                return false;
            };
            // A receiver that is gone belongs to a connection that is closing already.
            if closer.send(()).is_ok() {
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
    idle: Option<u64>,
}

impl Entry {
    /// Marks the connection as idle. The receiver gets a message when the connection must close.
    pub fn rest(&mut self) -> oneshot::Receiver<()> {
        self.wake();
        let number = self.table.next.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.table.lock().insert(number, sender);
        self.idle = Some(number);
        receiver
    }

    /// Marks the connection as busy.
    pub fn wake(&mut self) {
        let Some(number) = self.idle.take() else {
            return;
        };
        self.table.lock().remove(&number);
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.wake();
        self.table.open.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}
