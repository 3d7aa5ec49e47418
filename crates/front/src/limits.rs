//! Bounds on open requests and their bodies, for the host and for each key.

use std::sync;

use pier_core::caller::{Refusal, RefusalKind};
use pier_core::{keys, map};

use crate::options;

/// Advice to callers that met a bound of the host, in milliseconds.
pub const RETRY_AFTER_MS: u64 = 1_000;

/// Who a request counts for: the hash of its key; none for requests without a key.
pub type LimitKey = Option<keys::KeyHash>;

/// Counts of open requests, bodies and connections.
#[derive(Debug)]
pub struct Limiter {
    options: sync::Arc<options::Options>,
    used: sync::Mutex<Used>,
}

#[derive(Debug, Default)]
struct Used {
    requests: usize,
    bytes: usize,
    payers: map::Map<LimitKey, Share>,
}

#[derive(Debug, Default)]
struct Share {
    requests: usize,
    bytes: usize,
    connections: usize,
}

impl Share {
    fn is_unused(&self) -> bool {
        self.requests == 0 && self.bytes == 0 && self.connections == 0
    }
}

impl Limiter {
    /// A gate through which nothing has passed.
    pub fn new(options: sync::Arc<options::Options>) -> Self {
        Self { options, used: sync::Mutex::default() }
    }

    /// Counts a request until the pass is dropped.
    ///
    /// # Errors
    /// A refusal if the host or the key has too many open requests.
    pub fn acquire_request(
        self: &sync::Arc<Self>,
        payer: LimitKey,
    ) -> Result<RequestPermit, Refusal> {
        let mut used = self.lock();
        if used.requests >= self.options.max_requests {
            return Err(overloaded("the host has too many open requests"));
        }
        let share = used.payers.entry(payer).or_default();
        if share.requests >= self.options.max_requests_per_key {
            return Err(overloaded("the key has too many open requests on this host"));
        }
        share.requests += 1;
        used.requests += 1;
        Ok(RequestPermit { gate: sync::Arc::clone(self), payer, bytes: 0 })
    }

    /// Counts a connection for a key until the seat is dropped.
    ///
    /// # Errors
    /// A refusal if the key has too many connections.
    pub fn acquire_connection(
        self: &sync::Arc<Self>,
        payer: LimitKey,
    ) -> Result<ConnectionPermit, Refusal> {
        let mut used = self.lock();
        let share = used.payers.entry(payer).or_default();
        if share.connections >= self.options.max_connections_per_key {
            return Err(overloaded("the key has too many open connections to this host"));
        }
        share.connections += 1;
        Ok(ConnectionPermit { gate: sync::Arc::clone(self), payer })
    }

    /// The number of open requests.
    pub fn requests(&self) -> usize {
        self.lock().requests
    }

    fn change(&self, payer: LimitKey, change: impl FnOnce(&mut usize, &mut usize, &mut Share)) {
        let mut used = self.lock();
        let Used { requests, bytes, payers } = &mut *used;
        let Some(share) = payers.get_mut(&payer) else {
            return;
        };
        change(requests, bytes, share);
        if share.is_unused() {
            payers.remove(&payer);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Used> {
        self.used.lock().expect("no holder of the lock panics")
    }
}

/// A request that is counted as open.
#[derive(Debug)]
pub struct RequestPermit {
    gate: sync::Arc<Limiter>,
    payer: LimitKey,
    bytes: usize,
}

impl RequestPermit {
    /// Counts bytes of the body until the pass is dropped.
    ///
    /// # Errors
    /// A refusal if the bodies of the host or of the key take too much memory.
    pub fn reserve_body(&mut self, bytes: usize) -> Result<(), Refusal> {
        let mut used = self.gate.lock();
        if used.bytes + bytes > self.gate.options.max_bodies_bytes {
            return Err(overloaded("the bodies of open requests take too much memory"));
        }
        let share = used.payers.entry(self.payer).or_default();
        if share.bytes + bytes > self.gate.options.max_bodies_per_key_bytes {
            return Err(overloaded("the bodies of the key's open requests take too much memory"));
        }
        share.bytes += bytes;
        used.bytes += bytes;
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        let held = self.bytes;
        self.gate.change(self.payer, |requests, bytes, share| {
            *requests -= 1;
            *bytes -= held;
            share.requests -= 1;
            share.bytes -= held;
        });
    }
}

/// A connection that is counted for a key.
#[derive(Debug)]
pub struct ConnectionPermit {
    gate: sync::Arc<Limiter>,
    payer: LimitKey,
}

impl ConnectionPermit {
    /// The key for which the connection is counted.
    pub fn limit_key(&self) -> LimitKey {
        self.payer
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.gate.change(self.payer, |_, _, share| share.connections -= 1);
    }
}

fn overloaded(detail: &str) -> Refusal {
    Refusal::not_run(RefusalKind::Overloaded, detail).with_retry_after(RETRY_AFTER_MS)
}
