//! Options of the callers' HTTP interface and their defaults.

use std::time;

/// Limits and timeouts of the callers' HTTP interface.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The maximum number of open connections. Above it, the connection that has been idle the
    /// longest is closed; if none is idle, the new connection is answered with 503 and closed.
    pub max_connections: usize,
    /// The maximum number of open connections whose last request carried the same API key.
    pub max_connections_per_key: usize,
    /// The maximum number of open requests: those that are being read, wait or run.
    pub max_requests: usize,
    /// The maximum number of open requests with the same API key. Requests without a key count as
    /// one key.
    pub max_requests_per_key: usize,
    /// The maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// The maximum total size of the bodies of all open requests in bytes.
    pub max_bodies_bytes: usize,
    /// The maximum total size of the bodies of open requests with the same API key in bytes.
    pub max_bodies_per_key_bytes: usize,
    /// The maximum size of a request head in bytes; at least 8192.
    pub max_header_bytes: usize,
    /// The maximum number of headers of a request.
    pub max_headers: usize,
    /// The maximum time to receive a request head, from its first byte or, for the first request,
    /// from the accept of the connection.
    pub header_timeout: time::Duration,
    /// The maximum time to receive a request body, from the end of the head.
    pub body_timeout: time::Duration,
    /// The maximum idle time of a connection between two requests.
    pub idle_timeout: time::Duration,
    /// The maximum time for which a write may make no progress.
    pub write_timeout: time::Duration,
    /// The maximum time for which a connection is still read after its last response, so that the
    /// response reaches the caller.
    pub linger_timeout: time::Duration,
    /// The maximum deadline that a caller may set.
    pub max_deadline: time::Duration,
    /// The time past a request's deadline after which, without an answer from the control thread,
    /// the outcome is reported to the caller as unknown.
    pub answer_grace: time::Duration,
    /// The time after which a request without a deadline is reported to the caller as unknown.
    pub answer_timeout: time::Duration,
    /// The maximum number of tasks of a job.
    pub max_job_tasks: u32,
    /// The time for which new connections are still served after a shutdown has begun.
    pub drain_grace: time::Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_connections: 8_192,
            max_connections_per_key: 4_096,
            max_requests: 4_096,
            max_requests_per_key: 1_024,
            max_body_bytes: 1 << 20,
            max_bodies_bytes: 32 << 20,
            max_bodies_per_key_bytes: 16 << 20,
            max_header_bytes: 16 << 10,
            max_headers: 64,
            header_timeout: time::Duration::from_secs(5),
            body_timeout: time::Duration::from_secs(10),
            idle_timeout: time::Duration::from_secs(75),
            write_timeout: time::Duration::from_secs(10),
            linger_timeout: time::Duration::from_secs(1),
            max_deadline: time::Duration::from_secs(24 * 3_600),
            answer_grace: time::Duration::from_secs(5),
            answer_timeout: time::Duration::from_secs(120),
            max_job_tasks: 100_000,
            drain_grace: time::Duration::from_secs(3),
        }
    }
}
