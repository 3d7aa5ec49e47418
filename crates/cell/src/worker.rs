//! What the decider knows of a worker.

use std::collections::BTreeSet;
use std::sync;
use std::time;

use pier_core::ids;
use pier_core::resources::Resources;

use crate::declaration::ServiceId;
use crate::job::{Label, TaskRef};
use crate::options::Options;

/// The incarnation of a worker: the Unix millisecond of its start.
pub type Life = u64;

/// A worker's own description, as the platform's list has it.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The id.
    pub id: ids::WorkerId,
    /// Where it takes calls.
    pub address: sync::Arc<str>,
    /// The pool that it belongs to.
    pub service: ServiceId,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Its incarnation.
    pub life: Life,
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
const SLOWEST_CLOCK_PERCENT: u32 = 98;
/// Added to a lease's end for the delay of timers.
const LEASE_MARGIN: time::Duration = time::Duration::from_millis(100);
/// How long failures of tasks count against a worker.
const FAILURE_MEMORY: time::Duration = time::Duration::from_secs(6);
/// From so many recent failures without a success in between, a worker gets no work. One failure is
/// usually the task's own.
const FAILURES_TO_AVOID: u32 = 2;

/// A worker and the calls that are under way.
#[derive(Debug)]
pub struct Worker {
    /// Its description.
    pub entry: Entry,
    /// Whether the platform's list has it.
    pub is_listed: bool,
    /// What its runs take, including those that were ordered and those that are being stopped.
    pub used: Resources,
    /// The tasks with a run on it.
    pub runs: BTreeSet<TaskRef>,
    /// When a look was sent that has not been answered.
    pub look_sent_at: Option<time::Duration>,
    /// When the last look was sent.
    pub looked_at: time::Duration,
    /// When the next look may be sent.
    pub look_due_at: time::Duration,
    /// Whether it has answered this decider, after which it refuses all earlier ones.
    pub is_contacted: bool,
    /// The number of the last end that is in the log.
    pub ends_stored: u64,
    /// The number of the last end that was read.
    pub ends_read: u64,
    /// Looks that failed since the last answer.
    pub failed_looks: u32,
    /// The host that makes the calls; none while it is not chosen or where the decider makes them.
    pub carrier: Option<ids::HostId>,
    /// How often another host has been chosen because calls had failed.
    pub carrier_turn: u32,
    /// By when all that this decider knows of has lost its lease, if nothing more is sent.
    pub leases_end_at: time::Duration,
    clock: Option<(time::Duration, u64)>,
    recent_failures: u32,
    last_failure_at: time::Duration,
}

impl Worker {
    /// A worker that was just listed, or that the log names. Leases of an earlier decider last
    /// until `leases_end_at` at most.
    pub fn new(entry: Entry, is_listed: bool, leases_end_at: time::Duration) -> Self {
        Self {
            entry,
            is_listed,
            used: Resources::ZERO,
            runs: BTreeSet::new(),
            look_sent_at: None,
            looked_at: time::Duration::ZERO,
            look_due_at: time::Duration::ZERO,
            is_contacted: false,
            ends_stored: 0,
            ends_read: 0,
            failed_looks: 0,
            carrier: None,
            carrier_turn: 0,
            leases_end_at,
            clock: None,
            recent_failures: 0,
            last_failure_at: time::Duration::ZERO,
        }
    }

    /// Whether new work may be sent to it.
    pub fn takes_work(&self, now: time::Duration) -> bool {
        self.is_listed
            && self.is_contacted
            && !self.entry.is_draining
            && self.failed_looks == 0
            && !self.is_avoided(now)
    }

    /// Whether recent tasks all failed on it.
    pub fn is_avoided(&self, now: time::Duration) -> bool {
        self.recent_failures >= FAILURES_TO_AVOID
            && now < self.last_failure_at.saturating_add(FAILURE_MEMORY)
    }

    /// What is left of its capacity.
    pub fn free(&self) -> Resources {
        self.entry.capacity.minus(&self.used)
    }

    /// The name of its rack: the last label.
    pub fn rack(&self) -> Option<&Label> {
        self.entry.labels.last()
    }

    /// Notes its clock as an answer gave it.
    pub fn note_clock(&mut self, now: time::Duration, clock_ms: u64) {
        self.clock = Some((now, clock_ms));
    }

    /// The lease's end on the worker's clock for an order that is sent now; none before the clock is
    /// known.
    pub fn lease_until_ms(&mut self, now: time::Duration, options: &Options) -> Option<u64> {
        let (noted_at, clock_ms) = self.clock?;
        let lease = options.lease.min(options.max_lease);
        let since_noted = now.saturating_sub(noted_at);
        let until_ms = clock_ms
            .saturating_add(pier_core::clock::millis(since_noted))
            .saturating_add(pier_core::clock::millis(lease));
        // The worker may be slow: the time from the noted clock to the end takes longer there.
        let ahead = since_noted.saturating_add(lease);
        let ends_at = noted_at
            .saturating_add(ahead * 100 / SLOWEST_CLOCK_PERCENT)
            .saturating_add(LEASE_MARGIN);
        self.leases_end_at = self.leases_end_at.max(ends_at);
        Some(until_ms)
    }

    /// Notes a task that ended as done.
    pub fn note_success(&mut self) {
        self.recent_failures = 0;
    }

    /// Notes a task that ended as failed.
    pub fn note_failure(&mut self, now: time::Duration) {
        if now >= self.last_failure_at.saturating_add(FAILURE_MEMORY) {
            self.recent_failures = 0;
        }
        self.recent_failures = self.recent_failures.saturating_add(1);
        self.last_failure_at = now;
    }

    /// Starts a new incarnation: whatever ran before is gone.
    pub fn begin_life(&mut self, entry: Entry) {
        self.entry = entry;
        self.is_contacted = false;
        self.ends_stored = 0;
        self.ends_read = 0;
        self.failed_looks = 0;
        self.clock = None;
        self.recent_failures = 0;
        self.look_due_at = time::Duration::ZERO;
    }
}
