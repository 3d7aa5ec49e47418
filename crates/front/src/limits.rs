//! Limits on open requests, request bodies and connections, for the host and for each API key.

use std::sync;

use pier_core::caller::{Refusal, RefusalKind};
use pier_core::{keys, map};

use crate::options;

/// The retry delay that is sent to callers when a limit is reached, in milliseconds.
pub const RETRY_AFTER_MS: u64 = 1_000;

/// The hash of the API key that a request counts for. `None` stands for all requests without a key.
pub type LimitKey = Option<keys::KeyHash>;

/// Counts open requests, body bytes and connections, and enforces their limits.
#[derive(Debug)]
pub struct Limiter {
    options: sync::Arc<options::Options>,
    usage: sync::Mutex<Usage>,
}

#[derive(Debug, Default)]
struct Usage {
    requests: usize,
    bytes: usize,
    by_key: map::Map<LimitKey, KeyUsage>,
}

#[derive(Debug, Default)]
struct KeyUsage {
    requests: usize,
    bytes: usize,
    connections: usize,
}

impl KeyUsage {
    fn is_unused(&self) -> bool {
        self.requests == 0 && self.bytes == 0 && self.connections == 0
    }
}

impl Limiter {
    /// Creates a limiter with nothing in use.
    pub fn new(options: sync::Arc<options::Options>) -> Self {
        Self { options, usage: sync::Mutex::default() }
    }

    /// Counts a request as open until the permit is dropped.
    ///
    /// # Errors
    /// A refusal if the host or the key has too many open requests.
    pub fn acquire_request(
        self: &sync::Arc<Self>,
        key: LimitKey,
    ) -> Result<RequestPermit, Refusal> {
        let mut usage = self.lock();
        if usage.requests >= self.options.max_requests {
            return Err(overloaded("the host has too many open requests"));
        }
        let key_usage = usage.by_key.entry(key).or_default();
        if key_usage.requests >= self.options.max_requests_per_key {
            return Err(overloaded("the key has too many open requests on this host"));
        }
        key_usage.requests += 1;
        usage.requests += 1;
        Ok(RequestPermit { limiter: sync::Arc::clone(self), key, bytes: 0 })
    }

    /// Counts a connection for a key until the permit is dropped.
    ///
    /// # Errors
    /// A refusal if the key has too many connections.
    pub fn acquire_connection(
        self: &sync::Arc<Self>,
        key: LimitKey,
    ) -> Result<ConnectionPermit, Refusal> {
        let mut usage = self.lock();
        let key_usage = usage.by_key.entry(key).or_default();
        if key_usage.connections >= self.options.max_connections_per_key {
            return Err(overloaded("the key has too many open connections to this host"));
        }
        key_usage.connections += 1;
        Ok(ConnectionPermit { limiter: sync::Arc::clone(self), key })
    }

    /// The number of open requests.
    pub fn requests(&self) -> usize {
        self.lock().requests
    }

    fn update(&self, key: LimitKey, update: impl FnOnce(&mut usize, &mut usize, &mut KeyUsage)) {
        let mut usage = self.lock();
        let Usage { requests, bytes, by_key } = &mut *usage;
        let Some(key_usage) = by_key.get_mut(&key) else {
            return;
        };
        update(requests, bytes, key_usage);
        if key_usage.is_unused() {
            by_key.remove(&key);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Usage> {
        self.usage.lock().expect("no holder of the lock panics")
    }
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
pub struct RequestPermit {
    limiter: sync::Arc<Limiter>,
    key: LimitKey,
    bytes: usize,
}

impl RequestPermit {
    /// Counts bytes of the request's body until the permit is dropped.
    ///
    /// # Errors
    /// A refusal if the bodies of all open requests, or those of the key, take too much memory.
    pub fn reserve_body(&mut self, bytes: usize) -> Result<(), Refusal> {
        let mut usage = self.limiter.lock();
        if usage.bytes + bytes > self.limiter.options.max_bodies_bytes {
            return Err(overloaded("the bodies of open requests take too much memory"));
        }
        let key_usage = usage.by_key.entry(self.key).or_default();
        if key_usage.bytes + bytes > self.limiter.options.max_bodies_per_key_bytes {
            return Err(overloaded("the bodies of the key's open requests take too much memory"));
        }
        key_usage.bytes += bytes;
        usage.bytes += bytes;
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        let body_bytes = self.bytes;
        self.limiter.update(self.key, |requests, bytes, key_usage| {
            *requests -= 1;
            *bytes -= body_bytes;
            key_usage.requests -= 1;
            key_usage.bytes -= body_bytes;
        });
    }
}

/// Counts a connection for a key until it is dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    limiter: sync::Arc<Limiter>,
    key: LimitKey,
}

impl ConnectionPermit {
    /// The key that the connection counts for.
    pub fn limit_key(&self) -> LimitKey {
        self.key
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.limiter.update(self.key, |_, _, key_usage| key_usage.connections -= 1);
    }
}

fn overloaded(detail: &str) -> Refusal {
    Refusal::not_run(RefusalKind::Overloaded, detail).with_retry_after(RETRY_AFTER_MS)
}
