//! Options of the control state and their defaults.

use std::time;

use pier_core::{ids, keys};

/// The identity of this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostIdentity {
    pub host: ids::HostId,
    /// The random number that this process took when it started.
    pub incarnation: ids::Incarnation,
    pub availability_zone: ids::ZoneId,
    /// The address (`ip:port`) of the peer interface.
    pub peer_address: std::sync::Arc<str>,
}

/// Options of the control state.
#[derive(Debug, Clone)]
pub struct Options {
    /// The interval between heartbeats to each peer.
    pub heartbeat_interval: time::Duration,
    /// The interval between reads of the log.
    pub log_poll_interval: time::Duration,
    /// How long the host may start work after a read of the log or a peer's answer.
    pub authority_ttl: time::Duration,
    /// How long after the decision to start a task the start may still be sent.
    pub start_valid: time::Duration,
    /// The allowance for clock drift between hosts during a takeover.
    pub drift_margin: time::Duration,
    /// How long a member must be silent before another member proposes an epoch without it.
    pub suspect_after: time::Duration,
    /// The maximum lag of the platform's host list.
    pub host_list_lag: time::Duration,
    /// The maximum lag of a worker's report.
    pub report_lag: time::Duration,
    /// Whether workers refuse stale fencing tokens.
    pub worker_fencing: bool,
    /// The delay between the times at which successive hosts may propose an epoch.
    pub propose_step: time::Duration,
    /// How long an append may stay without a reply before its outcome counts as undecided and is
    /// looked up in the log.
    pub append_timeout: time::Duration,
    /// The minimum interval between two appends of this host.
    pub append_interval: time::Duration,
    /// The number of records between two snapshots.
    pub snapshot_every_records: u64,
    /// The age of the last snapshot at which a new one is written. It must be below the log's
    /// retention.
    pub snapshot_max_age: time::Duration,
    /// The lease of a job task on its worker.
    pub task_lease: time::Duration,
    /// The lease of an urgent request on its worker, which is also its maximum run time.
    pub request_lease: time::Duration,
    /// How long after the expiry of its lease an attempt counts as certainly ended.
    pub lease_margin: time::Duration,
    /// How long a reservation for a gang is valid.
    pub gang_reserve: time::Duration,
    /// How long an idempotency key is remembered.
    pub dedupe_window: time::Duration,
    /// The number of failed attempts of a task after which its job fails.
    pub max_attempts: ids::Attempt,
    /// How long a host that is shutting down waits for requests and handoffs to finish.
    pub drain_limit: time::Duration,
    /// The maximum number of requests that wait on this host.
    pub max_waiting: usize,
    /// Hashes of the operators' tokens.
    pub operator_tokens: Vec<keys::KeyHash>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            heartbeat_interval: time::Duration::from_millis(400),
            log_poll_interval: time::Duration::from_millis(250),
            authority_ttl: time::Duration::from_millis(2_500),
            start_valid: time::Duration::from_millis(500),
            drift_margin: time::Duration::from_millis(500),
            suspect_after: time::Duration::from_millis(2_000),
            host_list_lag: time::Duration::from_secs(10),
            report_lag: time::Duration::from_secs(2),
            worker_fencing: true,
            propose_step: time::Duration::from_millis(300),
            append_timeout: time::Duration::from_secs(2),
            append_interval: time::Duration::from_millis(20),
            snapshot_every_records: 1_000,
            snapshot_max_age: time::Duration::from_secs(600),
            task_lease: time::Duration::from_secs(30),
            request_lease: time::Duration::from_secs(60),
            lease_margin: time::Duration::from_secs(1),
            gang_reserve: time::Duration::from_secs(2),
            dedupe_window: time::Duration::from_secs(600),
            max_attempts: 5,
            drain_limit: time::Duration::from_secs(30),
            max_waiting: 10_000,
            operator_tokens: Vec::new(),
        }
    }
}

impl Options {
    /// How long a new owner waits before it takes over a worker without a handoff.
    pub fn takeover_wait(&self) -> time::Duration {
        self.authority_ttl + self.start_valid + self.drift_margin
    }
}
