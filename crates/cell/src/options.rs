//! Times and limits of a host.

use std::time;

/// Times and limits of a host. The defaults suit a cell whose hosts are a few milliseconds apart.
#[derive(Debug, Clone)]
pub struct Options {
    /// The longest lease that workers give; they shorten what is longer.
    pub longest_lease: time::Duration,
    /// How long runs go on without contact to the decider. It covers a change of the decider and
    /// bounds how long work on an unreachable worker stays unresolved.
    pub lease: time::Duration,
    /// How long a key that was revoked may still be accepted.
    pub revocation_bound: time::Duration,
    /// How long ended jobs are remembered.
    pub remember_ended: time::Duration,
    /// The pause between a follower's reads of the cell's log if it is among the first to claim the
    /// decider's place, or has no decider.
    pub follow_gap: time::Duration,
    /// The same for the other followers. It bounds how stale the numbers of waiting jobs are that
    /// they tell, and how often they call the log; the decider tells them of jobs that have ended.
    pub slow_follow_gap: time::Duration,
    /// The pause between reads of the workers' list, which changes with every worker's report.
    pub list_gap: time::Duration,
    /// How long a read waits for a record.
    pub read_wait: time::Duration,
    /// How long the answer to a call of the log may take.
    pub log_timeout: time::Duration,
    /// The pause after a call of the log that failed.
    pub log_retry: time::Duration,
    /// The shortest time between two appends. Changes within it share an append.
    pub append_gap: time::Duration,
    /// The longest time between two appends. Others take a decider that is silent for longer than
    /// `silence` as gone.
    pub heartbeat: time::Duration,
    /// How long the log is without a record before another host claims the decider's place although
    /// the decider's connection is alive: the log may only be slow.
    pub silence: time::Duration,
    /// The same when the decider's connection has broken too.
    pub silence_disconnected: time::Duration,
    /// How long an append fails before the decider says that it does not reach the log.
    pub log_loss: time::Duration,
    /// The same for an append that has not failed: a slow log takes half a second.
    pub log_slowness: time::Duration,
    /// How much later each further host claims, so that they seldom race.
    pub claim_stagger: time::Duration,
    /// How much later this host claims than a host of the usual size: deciding takes processor time
    /// in proportion to the cell's starts.
    pub claim_handicap: time::Duration,
    /// How long leases are extended after the last append, so that an outage of the log ends no
    /// work. A new decider counts on it for workers that it cannot reach.
    pub extend_without_log: time::Duration,
    /// How long the answer to an order may take.
    pub order_timeout: time::Duration,
    /// How old a decision may be when its order is sent. A process that was paused sends none.
    pub order_age: time::Duration,
    /// How long a worker waits for an end before it answers a look.
    pub look_wait: time::Duration,
    /// The pause after a look that failed.
    pub look_retry: time::Duration,
    /// How long a caller waits when it names no time.
    pub caller_patience: time::Duration,
    /// How much earlier than the caller's own limit the answer is given.
    pub answer_margin: time::Duration,
    /// When a rejected caller may come back if nothing better is known.
    pub retry_after: time::Duration,
    /// The most jobs that may wait; further ones are rejected.
    pub most_waiting: usize,
    /// The most workers that the decider calls itself. In a larger cell the other hosts make its
    /// calls.
    pub most_own_workers: usize,
    /// How many times as long tasks take away from their data or, for gangs, on several racks.
    pub remote_factor: f64,
}

impl Default for Options {
    fn default() -> Self {
        let millis = time::Duration::from_millis;
        Self {
            longest_lease: millis(10_000),
            lease: millis(6_000),
            revocation_bound: millis(5_000),
            remember_ended: millis(120_000),
            follow_gap: millis(150),
            slow_follow_gap: millis(700),
            list_gap: millis(200),
            read_wait: millis(1_000),
            log_timeout: millis(1_500),
            log_retry: millis(100),
            append_gap: millis(25),
            heartbeat: millis(300),
            silence: millis(2_000),
            silence_disconnected: millis(500),
            log_loss: millis(250),
            log_slowness: millis(1_000),
            claim_stagger: millis(40),
            claim_handicap: time::Duration::ZERO,
            extend_without_log: millis(6_000),
            order_timeout: millis(700),
            order_age: millis(1_000),
            look_wait: millis(1_500),
            look_retry: millis(250),
            caller_patience: millis(3_000),
            answer_margin: millis(200),
            retry_after: millis(1_000),
            most_waiting: 2_000,
            most_own_workers: 100,
            remote_factor: 3.0,
        }
    }
}

impl Options {
    /// How old the last sight of the operators' records may be for calls with keys to be served:
    /// three fifths of the revocation bound leave the rest for what is already under way.
    pub fn key_freshness(&self) -> time::Duration {
        self.revocation_bound * 3 / 5
    }
}
