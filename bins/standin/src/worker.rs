//! One worker: what it has, runs and remembers.

use std::collections;
use std::time;

use pier_core::{body, clock, ids, resources, task, wire};

use crate::{answer, http};

/// The number of reports that are kept to answer with a lag.
const KEPT_REPORTS: usize = 3;
/// How much longer a throttled task takes.
const THROTTLE_FACTOR: u32 = 4;

/// An attempt to run a task.
pub(crate) type Key = (ids::TaskId, ids::Attempt);

/// A client that waits for the end of a task.
pub(crate) struct Waiter {
    /// The host that the client names; empty if it names none.
    pub host: String,
    pub responder: http::Responder,
}

/// A task that runs.
pub(crate) struct Running {
    pub resources: resources::Resources,
    pub labels: task::TaskLabels,
    pub payload: body::Body,
    pub started_at: time::Instant,
    pub lease_until: time::Instant,
    /// The client that waits for the end.
    pub waiter: Option<Waiter>,
    fail: bool,
    /// The run time that was left at `since`, if the task ran at full speed.
    left: time::Duration,
    since: time::Instant,
    slow_factor: u32,
}

impl Running {
    pub fn new(
        now: time::Instant,
        start: &wire::StartTask,
        progress: time::Duration,
        waiter: Option<Waiter>,
        fail_at_once: bool,
    ) -> Self {
        let payload = answer::Payload::parse(start.payload.as_bytes());
        let run = time::Duration::from_millis(payload.run_ms).saturating_sub(progress);
        Self {
            resources: start.resources,
            labels: start.labels.clone(),
            payload: start.payload.clone(),
            started_at: now,
            lease_until: now + time::Duration::from_millis(start.lease_ms),
            waiter,
            fail: payload.fail || fail_at_once,
            left: if fail_at_once { time::Duration::ZERO } else { run },
            since: now,
            slow_factor: 1,
        }
    }

    /// When the task ends if nothing changes.
    pub fn ends_at(&self) -> time::Instant {
        self.since + self.left * self.slow_factor
    }

    /// Makes the rest of the task slower.
    pub fn throttle(&mut self, now: time::Instant) {
        self.left = self.left.saturating_sub(self.done_since(now));
        self.since = now;
        self.slow_factor = THROTTLE_FACTOR;
    }

    /// The part of the run time that was done since the start or the last change of speed.
    pub fn done_since(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.since) / self.slow_factor
    }

    /// How the task has ended at `now`; none if it goes on.
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
    at: time::Instant,
    tasks: wire::WorkerTasks,
}

/// A worker.
pub(crate) struct Worker {
    pub id: ids::WorkerId,
    pub zone: ids::ZoneId,
    pub total: resources::Resources,
    pub used: resources::Resources,
    pub largest_used: resources::Resources,
    pub starts: u64,
    pub leaving: bool,
    pub token: task::FencingToken,
    pub running: collections::BTreeMap<Key, Running>,
    /// An answer that waits to be exchanged with the next one.
    pub swapped: Option<(http::Responder, Vec<u8>)>,
    ended: collections::BTreeMap<Key, task::EndKind>,
    ended_order: collections::VecDeque<(time::Instant, Key)>,
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
            swapped: None,
            ended: collections::BTreeMap::new(),
            ended_order: collections::VecDeque::new(),
            reports: collections::VecDeque::new(),
        }
    }

    /// Takes note of a token.
    ///
    /// # Errors
    /// A refusal if a larger one was seen before.
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

    /// Why a start is refused; none if it can be carried out.
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

    /// Adds a task.
    pub fn add(&mut self, key: Key, running: Running) {
        self.used = self.used.plus(&running.resources);
        self.largest_used = self.largest_used.max(&self.used);
        self.starts += 1;
        self.running.insert(key, running);
    }

    /// Removes a task that has ended.
    pub fn remove(&mut self, now: time::Instant, key: &Key, end: task::EndKind) -> Option<Running> {
        let running = self.running.remove(key)?;
        self.used = self.used.minus(&running.resources);
        self.ended.insert(key.clone(), end);
        self.ended_order.push_back((now, key.clone()));
        Some(running)
    }

    /// How an attempt has ended; none if it has not or is forgotten.
    pub fn ended_as(&self, key: &Key) -> Option<task::EndKind> {
        self.ended.get(key).copied()
    }

    /// Forgets ends that are older than `keep`.
    pub fn forget_ended(&mut self, now: time::Instant, keep: time::Duration) {
        while let Some((ended_at, key)) = self.ended_order.front() {
            if now.saturating_duration_since(*ended_at) <= keep {
                return;
            }
            self.ended.remove(key);
            self.ended_order.pop_front();
        }
    }

    /// What runs and has ended.
    pub fn to_tasks(&self, now: time::Instant) -> wire::WorkerTasks {
        let mut tasks = wire::WorkerTasks::default();
        for ((task, attempt), running) in &self.running {
            let lease_left = running.lease_until.saturating_duration_since(now);
            tasks.running.push(wire::RunningTask {
                task: task.clone(),
                attempt: *attempt,
                resources: running.resources,
                labels: running.labels.clone(),
                resources_used: running.resources,
                lease_left_ms: clock::millis(lease_left),
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

    /// Takes a report that is answered later.
    pub fn take_report(&mut self, now: time::Instant) {
        let tasks = self.to_tasks(now);
        self.reports.push_back(Report { at: now, tasks });
        if self.reports.len() > KEPT_REPORTS {
            self.reports.pop_front();
        }
    }

    /// The newest report that is at least `lag` old, or else the oldest.
    pub fn report(
        &self,
        now: time::Instant,
        lag: time::Duration,
        reported_percent: u64,
    ) -> wire::WorkerReport {
        let mut chosen = self.reports.front();
        for report in &self.reports {
            if now.saturating_duration_since(report.at) >= lag {
                chosen = Some(report);
            }
        }
        let resources = self.total.scaled(reported_percent, 100);
        let Some(report) = chosen else {
            return wire::WorkerReport { as_of_age_ms: 0, resources, tasks: self.to_tasks(now) };
        };
        let age = now.saturating_duration_since(report.at);
        let as_of_age_ms = clock::millis(age);
        wire::WorkerReport { as_of_age_ms, resources, tasks: report.tasks.clone() }
    }
}
