//! The decider's view of a worker.

use std::collections::BTreeSet;
use std::sync;
use std::time;

use pier_core::ids;
use pier_core::resources::Resources;

use crate::declaration::ServiceId;
use crate::job::{Label, TaskRef};
use crate::options::Options;

/// The incarnation of a worker: the time of its start in milliseconds since the Unix epoch.
pub type WorkerIncarnation = u64;

/// The description that a worker gives of itself, as found in the platform's worker list.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerInfo {
    /// The worker's id.
    pub id: ids::WorkerId,
    /// The address at which the worker accepts calls.
    pub address: sync::Arc<str>,
    /// The service, a pool of workers, that it belongs to.
    pub service: ServiceId,
    /// The availability zone.
    pub zone: ids::ZoneId,
    /// The incarnation that is in the list.
    pub incarnation: WorkerIncarnation,
    /// The labels. The last one is the rack.
    pub labels: Vec<Label>,
    /// The total resources.
    pub capacity: Resources,
    /// Whether the worker is draining: it will leave and accepts no new work.
    pub is_draining: bool,
    /// The minimum time for which a draining worker stays.
    pub remaining: Option<time::Duration>,
}

impl WorkerInfo {
    /// The placeholder for a worker that has not described itself.
    pub fn unknown(
        id: &ids::WorkerId,
        incarnation: WorkerIncarnation,
        address: sync::Arc<str>,
    ) -> Self {
        Self {
            id: ids::WorkerId::clone(id),
            address,
            service: "".into(),
            zone: "".into(),
            incarnation,
            labels: Vec::new(),
            capacity: Resources::ZERO,
            is_draining: false,
            remaining: None,
        }
    }
}

/// The slowest rate of a worker's monotonic clock relative to true time, in percent.
const MIN_CLOCK_RATE_PERCENT: u32 = 98;
/// The imprecision of the comparison of two clocks.
const CLOCK_MARGIN: time::Duration = time::Duration::from_millis(100);
/// Added to the end of a lease because timers may fire late.
const LEASE_TIMER_MARGIN: time::Duration = time::Duration::from_millis(100);
/// How long task failures count against a worker.
const FAILURE_WINDOW: time::Duration = time::Duration::from_secs(6);
/// A worker gets no work after this many recent failures without a success in between. A single
/// failure is usually caused by the task itself.
const AVOID_AFTER_FAILURES: u32 = 2;

/// A worker with its runs and the state of the decider's calls to it.
#[derive(Debug)]
pub struct Worker {
    /// The description of the known incarnation, from the worker list, or a placeholder.
    pub info: WorkerInfo,
    /// Whether the known incarnation has described itself. Until then it gets no work: it may be of
    /// another kind than the earlier one.
    pub is_described: bool,
    /// The description of another incarnation, until the worker itself tells which one it is in.
    other_description: Option<WorkerInfo>,
    /// Whether the worker is in the platform's worker list.
    pub is_listed: bool,
    /// Whether another worker has reported from its address since, so that it is certainly gone.
    pub is_replaced: bool,
    /// The resources that its runs use, including runs that are only requested and runs that are
    /// being stopped.
    pub used: Resources,
    /// The tasks that have a run on this worker.
    pub runs: BTreeSet<TaskRef>,
    /// When the poll that has no response yet was sent.
    pub poll_sent_at: Option<time::Duration>,
    /// When the last poll was sent.
    pub last_poll_at: time::Duration,
    /// When the poll was sent whose report was handled last.
    pub last_report_of: Option<time::Duration>,
    /// The earliest time for the next poll.
    pub next_poll_at: time::Duration,
    /// Whether the known incarnation of the worker has responded to this decider. From then on it
    /// rejects requests of all earlier deciders. False as well while the incarnation is in doubt.
    pub has_answered: bool,
    /// The sequence number of the last run end that is stored in the log.
    pub ends_stored: u64,
    /// The sequence number of the last run end that was received.
    pub ends_received: u64,
    /// The number of failed polls since the last response.
    pub failed_polls: u32,
    /// The host that relays the calls. None if it is not chosen yet or if the decider calls the
    /// worker itself.
    pub relay: Option<ids::HostId>,
    /// How many times another relay has been chosen because calls had failed.
    pub relay_failures: u32,
    /// When the last report was handled.
    pub reported_at: Option<time::Duration>,
    /// When all leases on this worker that the decider knows of have ended, unless it sends more.
    pub leases_end_at: time::Duration,
    /// The same if the worker is in another incarnation than the known one. Its clock is another, and
    /// it may have taken the end of a lease for the latest one that it grants.
    pub longest_leases_end_at: time::Duration,
    /// Whether its last report lists runs that the cell state does not have. They use resources that
    /// are not counted, and are being stopped.
    pub has_unknown_runs: bool,
    clock: Option<(time::Duration, u64)>,
    recent_failures: u32,
    last_failure_at: time::Duration,
}

impl Worker {
    /// Creates the view of a worker that appeared in the worker list or in the log. Leases that an
    /// earlier decider gave end by `leases_end_at`.
    pub fn new(info: WorkerInfo, is_listed: bool, leases_end_at: time::Duration) -> Self {
        Self {
            info,
            is_described: is_listed,
            other_description: None,
            is_replaced: false,
            is_listed,
            used: Resources::ZERO,
            runs: BTreeSet::new(),
            poll_sent_at: None,
            last_poll_at: time::Duration::ZERO,
            last_report_of: None,
            next_poll_at: time::Duration::ZERO,
            has_answered: false,
            ends_stored: 0,
            ends_received: 0,
            failed_polls: 0,
            relay: None,
            relay_failures: 0,
            reported_at: None,
            leases_end_at,
            longest_leases_end_at: leases_end_at,
            has_unknown_runs: false,
            clock: None,
            recent_failures: 0,
            last_failure_at: time::Duration::ZERO,
        }
    }

    /// Whether new work may be sent to the worker.
    pub fn accepts_work(&self, now: time::Duration) -> bool {
        self.is_usable()
            && !self.awaits_response()
            && !self.has_unknown_runs
            && !self.is_avoided(now)
    }

    /// Whether the worker is to be used, now or when it responds and is not avoided any more.
    pub fn is_usable(&self) -> bool {
        self.is_listed && self.is_described && !self.is_replaced && !self.info.is_draining
    }

    /// The incarnation that calls are meant for. None while the known one is in doubt.
    pub fn addressed_incarnation(&self) -> Option<WorkerIncarnation> {
        self.other_description.is_none().then_some(self.info.incarnation)
    }

    /// Whether the worker gets no work until it responds to a poll.
    pub fn awaits_response(&self) -> bool {
        !self.has_answered || self.failed_polls > 0
    }

    /// Whether the worker is polled: its leases must be extended and ends collected, or only a
    /// response can show that it works.
    pub fn needs_polls(&self) -> bool {
        let is_needed = self.is_listed && (self.awaits_response() || self.has_unknown_runs);
        !self.is_replaced && (!self.runs.is_empty() || is_needed)
    }

    /// Whether a run has failed on the worker recently.
    pub fn has_failed_recently(&self, now: time::Duration) -> bool {
        !self.last_failure_at.is_zero() && now < self.last_failure_at.saturating_add(FAILURE_WINDOW)
    }

    /// Whether the worker is avoided because its recent tasks failed.
    pub fn is_avoided(&self, now: time::Duration) -> bool {
        self.recent_failures >= AVOID_AFTER_FAILURES
            && now < self.last_failure_at.saturating_add(FAILURE_WINDOW)
    }

    /// The resources that are not in use.
    pub fn free(&self) -> Resources {
        self.info.capacity.minus(&self.used)
    }

    /// The name of its rack, which is the last label.
    pub fn rack(&self) -> Option<&Label> {
        self.info.labels.last()
    }

    /// Records when the leases that earlier deciders have given end, if that is known to be sooner.
    /// Leases of the current decider follow a report.
    pub fn shorten_inherited_leases(&mut self, leases_end_at: time::Duration) {
        if self.reported_at.is_none() {
            self.leases_end_at = self.leases_end_at.min(leases_end_at);
            self.longest_leases_end_at = self.longest_leases_end_at.min(leases_end_at);
        }
    }

    /// Records the worker's clock from a response.
    pub fn record_clock(&mut self, now: time::Duration, clock_ms: u64) {
        self.clock = Some((now, clock_ms));
    }

    /// Whether a response with this clock is certainly of the known incarnation. A worker that has
    /// restarted since it sent its last report shows a shorter time than has passed since the poll.
    pub fn is_of_known_incarnation(&self, now: time::Duration, clock_ms: u64) -> bool {
        let clock = time::Duration::from_millis(clock_ms);
        self.last_report_of
            .is_some_and(|sent_at| clock > now.saturating_sub(sent_at) + CLOCK_MARGIN)
    }

    /// The end of the lease, on the worker's clock, for a request that is sent now. None before the
    /// clock is known.
    pub fn lease_until_ms(&mut self, now: time::Duration, options: &Options) -> Option<u64> {
        let (noted_at, clock_ms) = self.clock?;
        let lease = options.lease.min(options.max_lease);
        let since_noted = now.saturating_sub(noted_at);
        let until_ms = clock_ms
            .saturating_add(pier_core::clock::millis(since_noted))
            .saturating_add(pier_core::clock::millis(lease));
        // The worker's clock may run slow, so the time from the recorded clock value to the end of
        // the lease may be longer in true time.
        let ahead = since_noted.saturating_add(lease);
        let ends_at = noted_at
            .saturating_add(ahead * 100 / MIN_CLOCK_RATE_PERCENT)
            .saturating_add(LEASE_TIMER_MARGIN);
        self.leases_end_at = self.leases_end_at.max(ends_at);
        let longest_ends_at = now
            .saturating_add(options.worker_call_timeout)
            .saturating_add(options.max_lease * 100 / MIN_CLOCK_RATE_PERCENT)
            .saturating_add(LEASE_TIMER_MARGIN);
        self.longest_leases_end_at = self.longest_leases_end_at.max(longest_ends_at);
        Some(until_ms)
    }

    /// Records that a task completed.
    pub fn record_success(&mut self) {
        self.recent_failures = 0;
    }

    /// Records that a task failed.
    pub fn record_failure(&mut self, now: time::Duration) {
        if now >= self.last_failure_at.saturating_add(FAILURE_WINDOW) {
            self.recent_failures = 0;
        }
        self.recent_failures = self.recent_failures.saturating_add(1);
        self.last_failure_at = now;
    }

    /// Takes over the known incarnation's description from the worker list.
    pub fn describe(&mut self, info: WorkerInfo) {
        self.is_replaced = self.is_replaced && info.address == self.info.address;
        self.info = info;
        self.is_described = true;
        self.other_description = None;
    }

    /// Handles a description from the worker list that names another incarnation than the known
    /// one. The record may be old or from another writer, so that only the worker itself can tell
    /// which incarnation it is in: it gets no work until it has reported.
    pub fn doubt_incarnation(&mut self, info: WorkerInfo) {
        self.is_replaced = false;
        let is_later = info.incarnation > self.info.incarnation;
        if is_later || self.info.address.is_empty() {
            self.info.address = sync::Arc::clone(&info.address);
        }
        self.other_description = Some(info);
        self.has_answered = false;
        // A poll that was sent before may have gone to an incarnation that has ended.
        self.poll_sent_at = None;
        self.next_poll_at = time::Duration::ZERO;
    }

    /// Handles a report of the known incarnation.
    pub fn confirm_incarnation(&mut self) {
        self.other_description = None;
    }

    /// Resets the view for a new incarnation of the worker, which the worker itself has reported.
    /// Whatever ran in the previous one is gone, and nothing that was known of it holds for the new
    /// one.
    pub fn begin_incarnation(&mut self, incarnation: WorkerIncarnation) {
        let description =
            self.other_description.take().filter(|info| info.incarnation == incarnation);
        self.is_described = description.is_some();
        self.info = description.unwrap_or_else(|| {
            let address = sync::Arc::clone(&self.info.address);
            WorkerInfo::unknown(&self.info.id, incarnation, address)
        });
        self.has_answered = false;
        self.has_unknown_runs = false;
        self.poll_sent_at = None;
        self.ends_stored = 0;
        self.ends_received = 0;
        self.failed_polls = 0;
        // Calls that were meant for the earlier incarnation may have reached this one.
        self.leases_end_at = self.leases_end_at.max(self.longest_leases_end_at);
        self.clock = None;
        self.recent_failures = 0;
        self.next_poll_at = time::Duration::ZERO;
    }
}
