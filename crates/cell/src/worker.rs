//! What the decider knows of a worker.

use std::collections::BTreeSet;
use std::sync;
use std::time;

use pier_core::ids;
use pier_core::resources::Resources;

use crate::directory::ServiceId;
use crate::job::{Label, TaskRef};
use crate::options::Options;

/// The incarnation of a worker: the Unix millisecond of its start.
pub type WorkerIncarnation = u64;

/// A worker's own description, as the platform's list has it.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerInfo {
    /// The id.
    pub id: ids::WorkerId,
    /// Where it takes calls.
    pub address: sync::Arc<str>,
    /// The pool that it belongs to.
    pub service: ServiceId,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Its incarnation.
    pub incarnation: WorkerIncarnation,
    /// Its labels, the rack among them.
    pub labels: Vec<Label>,
    /// What it has.
    pub capacity: Resources,
    /// It is about to leave and takes no more work.
    pub is_draining: bool,
    /// The least time that a draining worker stays.
    pub remaining: Option<time::Duration>,
}

/// Slowest rate of a worker's steady clock against true time, in percent.
const MIN_CLOCK_RATE_PERCENT: u32 = 98;
/// Added to a lease's end for the delay of timers.
const LEASE_TIMER_MARGIN: time::Duration = time::Duration::from_millis(100);
/// How long failures of tasks count against a worker.
const FAILURE_WINDOW: time::Duration = time::Duration::from_secs(6);
/// From so many recent failures without a success in between, a worker gets no work. One failure is
/// usually the task's own.
const AVOID_AFTER_FAILURES: u32 = 2;

/// A worker and the calls that are under way.
#[derive(Debug)]
pub struct Worker {
    /// Its description.
    pub info: WorkerInfo,
    /// Whether the platform's list has it.
    pub is_listed: bool,
    /// What its runs take, including those that were ordered and those that are being stopped.
    pub used: Resources,
    /// The tasks with a run on it.
    pub runs: BTreeSet<TaskRef>,
    /// When a look was sent that has not been answered.
    pub poll_sent_at: Option<time::Duration>,
    /// When the last look was sent.
    pub last_poll_at: time::Duration,
    /// When the next look may be sent.
    pub next_poll_at: time::Duration,
    /// Whether it has answered this decider, after which it refuses all earlier ones.
    pub has_answered: bool,
    /// The number of the last end that is in the log.
    pub ends_stored: u64,
    /// The number of the last end that was read.
    pub ends_read: u64,
    /// Looks that failed since the last answer.
    pub failed_polls: u32,
    /// The host that makes the calls; none while it is not chosen or where the decider makes them.
    pub relay: Option<ids::HostId>,
    /// How often another host has been chosen because calls had failed.
    pub relay_failures: u32,
    /// By when all that this decider knows of has lost its lease, if nothing more is sent.
    pub leases_end_at: time::Duration,
    clock: Option<(time::Duration, u64)>,
    recent_failures: u32,
    last_failure_at: time::Duration,
}

impl Worker {
    /// A worker that was just listed, or that the log names. Leases of an earlier decider last
    /// until `leases_end_at` at most.
    pub fn new(info: WorkerInfo, is_listed: bool, leases_end_at: time::Duration) -> Self {
        Self {
            info,
            is_listed,
            used: Resources::ZERO,
            runs: BTreeSet::new(),
            poll_sent_at: None,
            last_poll_at: time::Duration::ZERO,
            next_poll_at: time::Duration::ZERO,
            has_answered: false,
            ends_stored: 0,
            ends_read: 0,
            failed_polls: 0,
            relay: None,
            relay_failures: 0,
            leases_end_at,
            clock: None,
            recent_failures: 0,
            last_failure_at: time::Duration::ZERO,
        }
    }

    /// Whether new work may be sent to it.
    pub fn accepts_work(&self, now: time::Duration) -> bool {
        self.is_listed
            && self.has_answered
            && !self.info.is_draining
            && self.failed_polls == 0
            && !self.is_avoided(now)
    }

    /// Whether recent tasks all failed on it.
    pub fn is_avoided(&self, now: time::Duration) -> bool {
        self.recent_failures >= AVOID_AFTER_FAILURES
            && now < self.last_failure_at.saturating_add(FAILURE_WINDOW)
    }

    /// What is left of its capacity.
    pub fn free(&self) -> Resources {
        self.info.capacity.minus(&self.used)
    }

    /// The name of its rack: the last label.
    pub fn rack(&self) -> Option<&Label> {
        self.info.labels.last()
    }

    /// Notes its clock as an answer gave it.
    pub fn record_clock(&mut self, now: time::Duration, clock_ms: u64) {
        self.clock = Some((now, clock_ms));
    }

    /// The lease's end on the worker's clock for an order that is sent now; none before the clock is
    /// known.
    pub fn lease_until_ms(&mut self, now: time::Duration, options: &Options) -> Option<u64> {
        let (noted_at, clock_ms) = self.clock?;
        let lease = options.lease.min(options.longest_lease);
        let since_noted = now.saturating_sub(noted_at);
        let until_ms = clock_ms
            .saturating_add(pier_core::clock::millis(since_noted))
            .saturating_add(pier_core::clock::millis(lease));
        // The worker may be slow: the time from the noted clock to the end takes longer there.
        let ahead = since_noted.saturating_add(lease);
        let ends_at = noted_at
            .saturating_add(ahead * 100 / MIN_CLOCK_RATE_PERCENT)
            .saturating_add(LEASE_TIMER_MARGIN);
        self.leases_end_at = self.leases_end_at.max(ends_at);
        Some(until_ms)
    }

    /// Notes a task that ended as done.
    pub fn record_success(&mut self) {
        self.recent_failures = 0;
    }

    /// Notes a task that ended as failed.
    pub fn record_failure(&mut self, now: time::Duration) {
        if now >= self.last_failure_at.saturating_add(FAILURE_WINDOW) {
            self.recent_failures = 0;
        }
        self.recent_failures = self.recent_failures.saturating_add(1);
        self.last_failure_at = now;
    }

    /// Starts a new incarnation: whatever ran before is gone.
    pub fn begin_incarnation(&mut self, info: WorkerInfo) {
        self.info = info;
        self.has_answered = false;
        self.ends_stored = 0;
        self.ends_read = 0;
        self.failed_polls = 0;
        self.clock = None;
        self.recent_failures = 0;
        self.next_poll_at = time::Duration::ZERO;
    }
}
