//! One worker: its capacity, running tasks, ended attempts and delayed reports.

use std::collections;
use std::time;

use pier_core::{body, clock, ids, resources, task, wire};

use crate::{answer, http};

/// The number of recorded reports, from which lagging ones are served.
const MAX_REPORTS: usize = 3;
/// The factor by which throttling lengthens the remaining run time.
const THROTTLE_FACTOR: u32 = 4;

/// Identifies an attempt to run a task.
pub(crate) type AttemptKey = (ids::TaskId, ids::Attempt);

/// A client that waits for the answer of a task.
pub(crate) struct Waiter {
    /// The entry host that the client names; empty if it names none.
    pub host: String,
    pub responder: http::Responder,
}

/// A running attempt.
pub(crate) struct Running {
    pub resources: resources::Resources,
    pub labels: task::TaskLabels,
    pub payload: body::Body,
    pub started_at: time::Instant,
    pub lease_until: time::Instant,
    /// The client that waits for the answer.
    pub waiter: Option<Waiter>,
    fail: bool,
    /// The remaining run time at `speed_set_at`, at full speed.
    remaining: time::Duration,
    /// The time of the start or of the last change of speed.
    speed_set_at: time::Instant,
    slow_factor: u32,
}

impl Running {
    pub fn new(
        now: time::Instant,
        start: &wire::StartTask,
        progress: time::Duration,
        waiter: Option<Waiter>,
        fail_immediately: bool,
    ) -> Self {
        let payload = answer::Payload::parse(start.payload.as_bytes());
        let run_time = time::Duration::from_millis(payload.run_ms).saturating_sub(progress);
        Self {
            resources: start.resources,
            labels: start.labels.clone(),
            payload: start.payload.clone(),
            started_at: now,
            lease_until: now + time::Duration::from_millis(start.lease_ms),
            waiter,
            fail: payload.fail || fail_immediately,
            remaining: if fail_immediately { time::Duration::ZERO } else { run_time },
            speed_set_at: now,
            slow_factor: 1,
        }
    }

    /// When the task ends at its present speed.
    pub fn ends_at(&self) -> time::Instant {
        self.speed_set_at + self.remaining * self.slow_factor
    }

    /// Slows down the rest of the task.
    pub fn throttle(&mut self, now: time::Instant) {
        self.remaining = self.remaining.saturating_sub(self.progress_at(now));
        self.speed_set_at = now;
        self.slow_factor = THROTTLE_FACTOR;
    }

    /// The run time completed since the start or the last change of speed, at full speed.
    pub fn progress_at(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.speed_set_at) / self.slow_factor
    }

    /// How the task has ended at `now`; none if it is still running.
    pub fn end_at(&self, now: time::Instant) -> Option<task::EndKind> {
        let ends_at = self.ends_at();
        if self.lease_until <= now && self.lease_until < ends_at {
            return Some(task::EndKind::Lapsed);
        }
        if ends_at > now {
            return None;
        }
        Some(if self.fail { task::EndKind::Failed } else { task::EndKind::Done })
    }
}

struct Report {
    recorded_at: time::Instant,
    tasks: wire::WorkerTasks,
}

/// A simulated worker.
pub(crate) struct Worker {
    pub id: ids::WorkerId,
    pub zone: ids::ZoneId,
    pub total: resources::Resources,
    pub used: resources::Resources,
    pub largest_used: resources::Resources,
    pub starts: u64,
    pub leaving: bool,
    pub token: task::FencingToken,
    pub running: collections::BTreeMap<AttemptKey, Running>,
    /// An answer that is held back to be swapped with the next one.
    pub answer_to_swap: Option<(http::Responder, Vec<u8>)>,
    ended: collections::BTreeMap<AttemptKey, task::EndKind>,
    ended_order: collections::VecDeque<(time::Instant, AttemptKey)>,
    reports: collections::VecDeque<Report>,
}

impl Worker {
    pub fn new(entry: &wire::HostEntry) -> Self {
        Self {
            id: entry.id.clone(),
            zone: entry.availability_zone.clone(),
            total: entry.resources,
            used: resources::Resources::ZERO,
            largest_used: resources::Resources::ZERO,
            starts: 0,
            leaving: false,
            token: task::FencingToken::default(),
            running: collections::BTreeMap::new(),
            answer_to_swap: None,
            ended: collections::BTreeMap::new(),
            ended_order: collections::VecDeque::new(),
            reports: collections::VecDeque::new(),
        }
    }

    /// Checks a fencing token and remembers it.
    ///
    /// # Errors
    /// [`wire::WorkerRefusalKind::StaleToken`] if a larger token was seen before.
    pub fn check_token(
        &mut self,
        token: task::FencingToken,
    ) -> std::result::Result<(), wire::WorkerRefusalKind> {
        if token < self.token {
            return Err(wire::WorkerRefusalKind::StaleToken);
        }
        self.token = token;
        Ok(())
    }

    /// Why the worker refuses a start; none if it accepts it. Remembers the start's token.
    pub fn refusal_of(&mut self, start: &wire::StartTask) -> Option<wire::WorkerRefusalKind> {
        if let Err(kind) = self.check_token(start.token) {
            return Some(kind);
        }
        let key = (start.task.clone(), start.attempt);
        if self.running.contains_key(&key) || self.ended.contains_key(&key) {
            return Some(wire::WorkerRefusalKind::Duplicate);
        }
        if self.leaving {
            return Some(wire::WorkerRefusalKind::Leaving);
        }
        if !self.used.plus(&start.resources).fits_in(&self.total) {
            return Some(wire::WorkerRefusalKind::NoRoom);
        }
        None
    }

    /// Adds a running attempt.
    pub fn add(&mut self, key: AttemptKey, running: Running) {
        self.used = self.used.plus(&running.resources);
        self.largest_used = self.largest_used.max(&self.used);
        self.starts += 1;
        self.running.insert(key, running);
    }

    /// Removes an attempt that has ended and remembers its end.
    pub fn remove(
        &mut self,
        now: time::Instant,
        key: &AttemptKey,
        end: task::EndKind,
    ) -> Option<Running> {
        let running = self.running.remove(key)?;
        self.used = self.used.minus(&running.resources);
        self.ended.insert(key.clone(), end);
        self.ended_order.push_back((now, key.clone()));
        Some(running)
    }

    /// How an attempt has ended; none if it has not or its end was discarded.
    pub fn end_of(&self, key: &AttemptKey) -> Option<task::EndKind> {
        self.ended.get(key).copied()
    }

    /// Discards ends that are older than `keep`.
    pub fn discard_ended(&mut self, now: time::Instant, keep: time::Duration) {
        while let Some((ended_at, key)) = self.ended_order.front() {
            if now.saturating_duration_since(*ended_at) <= keep {
                return;
            }
            self.ended.remove(key);
            self.ended_order.pop_front();
        }
    }

    /// The running and ended attempts.
    pub fn to_tasks(&self, now: time::Instant) -> wire::WorkerTasks {
        let mut tasks = wire::WorkerTasks::default();
        for ((task, attempt), running) in &self.running {
            let remaining_lease = running.lease_until.saturating_duration_since(now);
            tasks.running.push(wire::RunningTask {
                task: task.clone(),
                attempt: *attempt,
                resources: running.resources,
                labels: running.labels.clone(),
                resources_used: running.resources,
                lease_left_ms: clock::millis(remaining_lease),
            });
        }
        for ((task, attempt), outcome) in &self.ended {
            tasks.ended.push(wire::EndedTask {
                task: task.clone(),
                attempt: *attempt,
                outcome: *outcome,
            });
        }
        tasks
    }

    /// Records a report to be served with a lag.
    pub fn record_report(&mut self, now: time::Instant) {
        let tasks = self.to_tasks(now);
        self.reports.push_back(Report { recorded_at: now, tasks });
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
    }

    /// The newest report that is at least `lag` old, or else the oldest one. Without any, the
    /// present state.
    pub fn report(
        &self,
        now: time::Instant,
        lag: time::Duration,
        reported_percent: u64,
    ) -> wire::WorkerReport {
        let mut chosen = self.reports.front();
        for report in &self.reports {
            if now.saturating_duration_since(report.recorded_at) >= lag {
                chosen = Some(report);
            }
        }
        let resources = self.total.scaled(reported_percent, 100);
        let Some(report) = chosen else {
            return wire::WorkerReport { as_of_age_ms: 0, resources, tasks: self.to_tasks(now) };
        };
        let age = now.saturating_duration_since(report.recorded_at);
        let as_of_age_ms = clock::millis(age);
        wire::WorkerReport { as_of_age_ms, resources, tasks: report.tasks.clone() }
    }
}
