//! The order in which calls to one worker use its connections.
//!
//! A worker accepts a fixed number of connections from all hosts together and may keep those of a
//! host that has lost power. Each host therefore uses few connections to a worker, and calls wait
//! for one of them.

use std::collections::BTreeMap;

/// The kind of a call to a worker, the most urgent first.
///
/// A stop frees resources or ends a run that must not go on. A poll extends the leases of all runs
/// of the worker. A start that waits delays only itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallKind {
    /// A stop of a run.
    Stop,
    /// A poll.
    Poll,
    /// A start of a run.
    Start,
}

/// The connections of a host to one worker and the calls that wait for them. A connection is held
/// by one call at a time.
#[derive(Debug)]
pub struct CallQueue<Connection, Waiter> {
    idle: Vec<Connection>,
    waiting: BTreeMap<(CallKind, u64), Waiter>,
    next_number: u64,
}

impl<Connection, Waiter> CallQueue<Connection, Waiter> {
    /// Creates the queue for these connections.
    pub fn new(connections: Vec<Connection>) -> Self {
        Self { idle: connections, waiting: BTreeMap::new(), next_number: 0 }
    }

    /// Takes an idle connection, the one that was returned last. None if all are held by calls; the
    /// call then has to wait.
    pub fn take(&mut self) -> Option<Connection> {
        self.idle.pop()
    }

    /// Adds a waiting call.
    pub fn wait(&mut self, kind: CallKind, waiter: Waiter) {
        self.next_number += 1;
        self.waiting.insert((kind, self.next_number), waiter);
    }

    /// Returns a connection. The most urgent waiting call, if any, is to get it; among calls of a
    /// kind the one that has waited longest.
    pub fn put_back(&mut self, connection: Connection) -> Option<(Connection, Waiter)> {
        let Some((_, waiter)) = self.waiting.pop_first() else {
            self.idle.push(connection);
            return None;
        };
        Some((connection, waiter))
    }

    /// The connections that no call holds.
    pub fn idle_mut(&mut self) -> &mut [Connection] {
        &mut self.idle
    }
}
