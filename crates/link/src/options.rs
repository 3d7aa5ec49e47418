//! Options of the links and their defaults.

use std::sync;
use std::time;

use pier_core::ids;

/// The HTTP header with the id of the host that makes a call.
pub const HOST_HEADER: &str = "pier-host";

/// Options of all links of a host.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// How this host identifies itself.
    pub identity: Identity,
    /// Options of the log client.
    pub log: LogOptions,
    /// Options of the host list client.
    pub host_list: HostListOptions,
    /// Options of the worker client.
    pub worker: WorkerOptions,
    /// Options of the links to peers.
    pub peer: PeerOptions,
}

/// How a host identifies itself in its calls to others.
#[derive(Clone)]
pub struct Identity {
    /// The host's id.
    pub host: ids::HostId,
    /// The secret that all hosts of the cell share.
    pub cell_token: sync::Arc<str>,
}

impl Default for Identity {
    fn default() -> Self {
        Self { host: "".into(), cell_token: "".into() }
    }
}

impl std::fmt::Debug for Identity {
    /// Omits the token, so that it is not logged.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Identity").field("host", &self.host).finish_non_exhaustive()
    }
}

/// Options of the log client.
#[derive(Debug, Clone)]
pub struct LogOptions {
    /// The base URL of the log, `http://ip:port`.
    pub base_url: sync::Arc<str>,
    /// The maximum duration of a call, rounded up to whole seconds.
    pub timeout: time::Duration,
    /// The maximum size of a response in bytes.
    pub max_answer_bytes: usize,
    /// The maximum size of a record in bytes.
    pub max_record_bytes: usize,
    /// The maximum number of reads, and of appends, that wait for their thread.
    pub queue_limit: usize,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            base_url: "http://127.0.0.1:7400".into(),
            timeout: time::Duration::from_secs(2),
            max_answer_bytes: 64 << 20,
            max_record_bytes: 16 << 20,
            queue_limit: 64,
        }
    }
}

/// Options of the host list client.
#[derive(Debug, Clone)]
pub struct HostListOptions {
    /// The base URL of the host list, `http://ip:port`.
    pub base_url: sync::Arc<str>,
    /// The maximum duration of a call, rounded up to whole seconds.
    pub timeout: time::Duration,
    /// The interval between the starts of two reads.
    pub poll_interval: time::Duration,
    /// The maximum size of a response in bytes.
    pub max_answer_bytes: usize,
}

impl Default for HostListOptions {
    fn default() -> Self {
        Self {
            base_url: "http://127.0.0.1:7401".into(),
            timeout: time::Duration::from_secs(2),
            poll_interval: time::Duration::from_millis(500),
            max_answer_bytes: 4 << 20,
        }
    }
}

/// Options of the worker client.
#[derive(Debug, Clone)]
pub struct WorkerOptions {
    /// The maximum time to establish a connection.
    pub connect_timeout: time::Duration,
    /// The maximum duration of a call that does not wait for the end of a task.
    pub timeout: time::Duration,
    /// The time by which the timeout of a call that waits for the end of a task exceeds the lease.
    pub answer_grace: time::Duration,
    /// The maximum size of a response in bytes.
    pub max_answer_bytes: usize,
    /// The maximum number of starts in flight. A start over the limit is not sent.
    pub max_starts: usize,
    /// The maximum number of idle connections to an address.
    pub max_idle_connections: usize,
    /// The time after which an idle connection is closed.
    pub idle_timeout: time::Duration,
}

impl Default for WorkerOptions {
    fn default() -> Self {
        Self {
            connect_timeout: time::Duration::from_secs(1),
            timeout: time::Duration::from_secs(2),
            answer_grace: time::Duration::from_secs(1),
            max_answer_bytes: 32 << 20,
            max_starts: 8_192,
            max_idle_connections: 64,
            idle_timeout: time::Duration::from_secs(30),
        }
    }
}

/// Options of the links to peers.
#[derive(Debug, Clone)]
pub struct PeerOptions {
    /// The maximum time to establish a connection.
    pub connect_timeout: time::Duration,
    /// The maximum time until a message is acknowledged. If it passes, the host reconnects.
    pub receipt_timeout: time::Duration,
    /// The maximum number of messages that wait to be sent to a peer. Above it, the oldest message
    /// is dropped.
    pub queue_limit: usize,
    /// The maximum size in bytes of a request to a server and of its response. A message of more
    /// than half of it is dropped.
    pub max_message_bytes: usize,
    /// The maximum number of messages in a batch.
    pub batch_limit: usize,
    /// The maximum number of unacknowledged batches. When it is reached, sending waits.
    pub batches_in_flight: usize,
    /// The first delay before a reconnect. It doubles after each failure.
    pub backoff_min: time::Duration,
    /// The maximum delay before a reconnect.
    pub backoff_max: time::Duration,
    /// The time without a message after which the connection to a peer is closed.
    pub idle_timeout: time::Duration,
    /// The maximum number of connections of a server.
    pub max_connections: u32,
}

impl Default for PeerOptions {
    fn default() -> Self {
        Self {
            connect_timeout: time::Duration::from_secs(1),
            receipt_timeout: time::Duration::from_secs(2),
            queue_limit: 4_096,
            max_message_bytes: 16 << 20,
            batch_limit: 64,
            batches_in_flight: 16,
            backoff_min: time::Duration::from_millis(50),
            backoff_max: time::Duration::from_secs(1),
            idle_timeout: time::Duration::from_secs(60),
            max_connections: 256,
        }
    }
}
