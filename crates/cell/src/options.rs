//! Intervals, timeouts and limits of a host.

use std::time;

/// Intervals, timeouts and limits of a host. The defaults are for hosts with a few milliseconds of
/// network latency between them.
#[derive(Debug, Clone)]
pub struct Options {
    /// The longest lease that workers grant; they shorten longer ones.
    pub max_lease: time::Duration,
    /// The lease of a run: how long it continues without contact to the decider. It covers a change
    /// of the decider and bounds how long the state of runs on an unreachable worker stays unknown.
    pub lease: time::Duration,
    /// How long a revoked API key may still be accepted.
    pub revocation_bound: time::Duration,
    /// How long ended jobs are retained.
    pub ended_job_retention: time::Duration,
    /// The interval between reads of the cell's log on a host that is among the first to claim the
    /// decider role or that has no decider.
    pub follow_interval: time::Duration,
    /// The same for other hosts. It bounds how stale their counts of waiting jobs are and how often
    /// they read the log; the decider notifies them of jobs that have ended.
    pub slow_follow_interval: time::Duration,
    /// The interval between reads of the worker list, which changes with every worker's report.
    pub worker_list_interval: time::Duration,
    /// How long a read may wait for new records.
    pub read_wait: time::Duration,
    /// The response timeout of a call to the log.
    pub log_timeout: time::Duration,
    /// The response timeout of a call to the log after one that failed. During an outage calls get no
    /// response even when it has ended meanwhile, so that long timeouts would prolong it.
    pub log_probe_timeout: time::Duration,
    /// The time in which every host notices that an outage of the log has ended.
    pub log_recovery_time: time::Duration,
    /// The delay before a failed call to the log is retried.
    pub log_retry_delay: time::Duration,
    /// The shortest time between two appends. Changes within this time share an append.
    pub min_append_interval: time::Duration,
    /// The longest time between two appends. Other hosts take over from a decider that appends
    /// nothing for longer than `claim_timeout`.
    pub heartbeat_interval: time::Duration,
    /// How long the log must be without a new record before another host claims the decider role
    /// while its connection to the decider is alive: the log may only be slow.
    pub claim_timeout: time::Duration,
    /// The same when the connection to the decider has broken as well.
    pub disconnected_claim_timeout: time::Duration,
    /// How long an append must fail before the decider reports the log as unreachable.
    pub log_failure_timeout: time::Duration,
    /// The same for an append that has not failed, only not completed: a slow log takes half a
    /// second.
    pub log_stall_timeout: time::Duration,
    /// The delay between the claims of successive hosts, so that they seldom race.
    pub claim_stagger: time::Duration,
    /// How much later this host claims than a host of the usual size: deciding takes processor time
    /// in proportion to the cell's starts.
    pub extra_claim_delay: time::Duration,
    /// How long leases are extended after the last append, so that an outage of the log ends no
    /// runs. A new decider relies on this limit for workers that it cannot reach.
    pub lease_extension_without_log: time::Duration,
    /// The response timeout of a worker call, not counting `poll_wait`.
    pub worker_call_timeout: time::Duration,
    /// The greatest age of a decision at which its worker call is still sent. A process that was
    /// paused sends none.
    pub max_decision_age: time::Duration,
    /// How long a worker holds a poll open while it waits for the end of a run.
    pub poll_wait: time::Duration,
    /// The delay before a failed poll is retried.
    pub poll_retry_delay: time::Duration,
    /// The timeout of a caller's request that does not state one.
    pub default_caller_timeout: time::Duration,
    /// How long before the caller's timeout the response is sent.
    pub response_margin: time::Duration,
    /// How long after the start of a shutdown every caller has a response and the process ends.
    pub shutdown_timeout: time::Duration,
    /// The default retry delay for callers whose request is rejected.
    pub retry_after: time::Duration,
    /// The greatest number of waiting jobs; further submissions are rejected.
    pub max_waiting_jobs: usize,
    /// The longest record that the log takes.
    pub max_record_bytes: usize,
    /// The greatest total length of the records of one append.
    pub max_append_bytes: usize,
    /// The factor by which tasks run longer away from their data or, for gangs, across several
    /// racks.
    pub remote_slowdown: f64,
    /// Which parts of load control are in use.
    pub load: LoadOptions,
}

/// Which parts of load control are in use. Without a part the decider behaves as if it did not
/// exist. See docs/design/hard-load.md.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadOptions {
    /// Submissions that cannot end in time are rejected by forecast.
    pub admission: bool,
    /// The capacity is divided by the accounts' weights while the workers are full.
    pub shares: bool,
    /// Gangs reserve capacity by plans, and advice requests are divided among steps.
    pub gangs: bool,
    /// Runs are preempted for work that would otherwise miss its objective.
    pub reclaim: bool,
}

impl LoadOptions {
    /// All parts.
    pub const ALL: Self = Self { admission: true, shares: true, gangs: true, reclaim: true };

    /// Whether any part is in use. Run times are then learned and starts are forecast.
    pub fn is_any(&self) -> bool {
        self.admission || self.shares || self.gangs || self.reclaim
    }
}

impl Default for Options {
    fn default() -> Self {
        let millis = time::Duration::from_millis;
        Self {
            max_lease: millis(10_000),
            lease: millis(6_000),
            revocation_bound: millis(5_000),
            ended_job_retention: millis(120_000),
            follow_interval: millis(150),
            slow_follow_interval: millis(700),
            worker_list_interval: millis(200),
            read_wait: millis(1_000),
            log_timeout: millis(1_500),
            log_probe_timeout: millis(700),
            log_recovery_time: millis(900),
            log_retry_delay: millis(100),
            min_append_interval: millis(25),
            heartbeat_interval: millis(300),
            claim_timeout: millis(2_000),
            disconnected_claim_timeout: millis(500),
            log_failure_timeout: millis(250),
            log_stall_timeout: millis(1_000),
            claim_stagger: millis(40),
            extra_claim_delay: time::Duration::ZERO,
            lease_extension_without_log: millis(6_000),
            worker_call_timeout: millis(700),
            max_decision_age: millis(1_000),
            poll_wait: millis(1_500),
            poll_retry_delay: millis(250),
            default_caller_timeout: millis(3_000),
            response_margin: millis(200),
            shutdown_timeout: millis(5_500),
            retry_after: millis(1_000),
            max_waiting_jobs: 2_000,
            max_record_bytes: 262_144,
            max_append_bytes: 2_097_152,
            remote_slowdown: 3.0,
            load: LoadOptions::default(),
        }
    }
}

impl Options {
    /// The greatest age of the operators' records at which requests with API keys are served: three
    /// fifths of the revocation bound. The rest is for requests that are already in progress.
    pub fn max_declaration_age(&self) -> time::Duration {
        self.revocation_bound * 3 / 5
    }
}
