//! Times and limits of a host.

use std::time;

/// Times and limits of a host. The defaults suit a cell whose hosts are a few milliseconds apart.
#[derive(Debug, Clone)]
pub struct Options {
    /// The longest lease that workers give; they shorten what is longer.
    pub max_lease: time::Duration,
    /// How long runs go on without contact to the decider. It covers a change of the decider and
    /// bounds how long work on an unreachable worker stays unresolved.
    pub lease: time::Duration,
    /// How long a key that was revoked may still be accepted.
    pub revocation_bound: time::Duration,
    /// How long ended jobs are remembered.
    pub ended_job_retention: time::Duration,
    /// The pause between a follower's reads of the cell's log if it is among the first to claim the
    /// decider's place, or has no decider.
    pub follow_interval: time::Duration,
    /// The same for the other followers. It bounds how stale the numbers of waiting jobs are that
    /// they tell, and how often they call the log; the decider tells them of jobs that have ended.
    pub slow_follow_interval: time::Duration,
    /// The pause between reads of the workers' list, which changes with every worker's report.
    pub worker_list_interval: time::Duration,
    /// How long a read waits for a record.
    pub read_wait: time::Duration,
    /// How long the answer to a call of the log may take.
    pub log_timeout: time::Duration,
    /// The pause after a call of the log that failed.
    pub log_retry_delay: time::Duration,
    /// The shortest time between two appends. Changes within it share an append.
    pub min_append_interval: time::Duration,
    /// The longest time between two appends. Others take a decider that is silent for longer than
    /// `claim_timeout` as gone.
    pub heartbeat_interval: time::Duration,
    /// How long the log is without a record before another host claims the decider's place although
    /// the decider's connection is alive: the log may only be slow.
    pub claim_timeout: time::Duration,
    /// The same when the decider's connection has broken too.
    pub disconnected_claim_timeout: time::Duration,
    /// How long an append fails before the decider says that it does not reach the log.
    pub log_failure_timeout: time::Duration,
    /// The same for an append that has not failed: a slow log takes half a second.
    pub log_stall_timeout: time::Duration,
    /// How much later each further host claims, so that they seldom race.
    pub claim_stagger: time::Duration,
    /// How much later this host claims than a host of the usual size: deciding takes processor time
    /// in proportion to the cell's starts.
    pub extra_claim_delay: time::Duration,
    /// How long leases are extended after the last append, so that an outage of the log ends no
    /// work. A new decider counts on it for workers that it cannot reach.
    pub lease_extension_without_log: time::Duration,
    /// How long the answer to an order may take.
    pub worker_call_timeout: time::Duration,
    /// How old a decision may be when its order is sent. A process that was paused sends none.
    pub max_decision_age: time::Duration,
    /// How long a worker waits for an end before it answers a look.
    pub poll_wait: time::Duration,
    /// The pause after a look that failed.
    pub poll_retry_delay: time::Duration,
    /// How long a caller waits when it names no time.
    pub default_caller_timeout: time::Duration,
    /// How much earlier than the caller's own limit the answer is given.
    pub response_margin: time::Duration,
    /// When a rejected caller may come back if nothing better is known.
    pub retry_after: time::Duration,
    /// The most jobs that may wait; further ones are rejected.
    pub max_waiting_jobs: usize,
    /// The most workers that the decider calls itself. In a larger cell the other hosts make its
    /// calls.
    pub max_direct_workers: usize,
    /// How many times as long tasks take away from their data or, for gangs, on several racks.
    pub remote_slowdown: f64,
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
            retry_after: millis(1_000),
            max_waiting_jobs: 2_000,
            max_direct_workers: 100,
            remote_slowdown: 3.0,
        }
    }
}

impl Options {
    /// How old the last sight of the operators' records may be for calls with keys to be served:
    /// three fifths of the revocation bound leave the rest for what is already under way.
    pub fn max_key_view_age(&self) -> time::Duration {
        self.revocation_bound * 3 / 5
    }
}
