//! A fake worker that runs tasks under leases and follows the published protocol.

use std::collections;
use std::time;

use pier_core::{body, ids, resources, task, wire};

use super::Attempt;

const ENDED_RETENTION: time::Duration = time::Duration::from_secs(300);
const SNAPSHOT_RETENTION: time::Duration = time::Duration::from_secs(10);

/// A task that the worker runs.
#[derive(Debug, Clone)]
pub struct Run {
    pub start: wire::StartTask,
    pub ends_at: time::Duration,
    pub lease_until: time::Duration,
    pub fails: bool,
}

/// The end of a run, for the simulation to act on.
#[derive(Debug, Clone)]
pub struct Finished {
    pub attempt: Attempt,
    pub kind: wire::StartKind,
    pub end: task::TaskEnd,
}

#[derive(Debug)]
pub struct Worker {
    pub entry: wire::HostEntry,
    pub fails_all: bool,
    pub silent: bool,
    pub unreachable: bool,
    pub runs: collections::BTreeMap<Attempt, Run>,
    token: task::FencingToken,
    ended: collections::BTreeMap<Attempt, (time::Duration, task::EndKind)>,
    progress: collections::BTreeMap<ids::TaskId, time::Duration>,
    snapshots: Vec<(time::Duration, wire::WorkerTasks)>,
}

impl Worker {
    pub fn new(entry: wire::HostEntry) -> Self {
        Self {
            entry,
            fails_all: false,
            silent: false,
            unreachable: false,
            runs: collections::BTreeMap::new(),
            token: task::FencingToken::default(),
            ended: collections::BTreeMap::new(),
            progress: collections::BTreeMap::new(),
            snapshots: Vec::new(),
        }
    }

    /// The resources that the running tasks use.
    pub fn used(&self) -> resources::Resources {
        let mut used = resources::Resources::ZERO;
        for run in self.runs.values() {
            used = used.plus(&run.start.resources);
        }
        used
    }

    fn check_token(&mut self, token: task::FencingToken) -> Result<(), wire::WorkerRefusalKind> {
        if token < self.token {
            return Err(wire::WorkerRefusalKind::StaleToken);
        }
        self.token = token;
        Ok(())
    }

    /// Starts a task. The worker neither enforces its size nor refuses starts while it leaves, so
    /// that the checks detect an owner that requests too much.
    pub fn start(
        &mut self,
        now: time::Duration,
        start: &wire::StartTask,
        run_time: time::Duration,
    ) -> Result<(), wire::WorkerRefusalKind> {
        self.check_token(start.token)?;
        let attempt = (start.task.clone(), start.attempt);
        if self.runs.contains_key(&attempt) || self.ended.contains_key(&attempt) {
            return Err(wire::WorkerRefusalKind::Duplicate);
        }
        let done = self.progress.get(&start.task).copied().unwrap_or_default();
        let run = Run {
            start: start.clone(),
            ends_at: now + run_time.saturating_sub(done),
            lease_until: now + time::Duration::from_millis(start.lease_ms),
            fails: self.fails_all,
        };
        self.runs.insert(attempt, run);
        self.snapshot(now);
        Ok(())
    }

    /// Sets the token below which requests are refused, and lists the tasks.
    pub fn fence(
        &mut self,
        now: time::Duration,
        token: task::FencingToken,
    ) -> Result<wire::WorkerTasks, wire::WorkerRefusalKind> {
        self.check_token(token)?;
        Ok(self.tasks(now))
    }

    pub fn renew(
        &mut self,
        now: time::Duration,
        renew: &wire::RenewLeases,
    ) -> Result<wire::LeasesRenewed, wire::WorkerRefusalKind> {
        self.check_token(renew.token)?;
        let mut answer =
            wire::LeasesRenewed { renewed: Vec::new(), ended: Vec::new(), missing: Vec::new() };
        for lease in &renew.tasks {
            let attempt = (lease.task.clone(), lease.attempt);
            if let Some((_, outcome)) = self.ended.get(&attempt) {
                let (task, attempt) = attempt;
                answer.ended.push(wire::EndedTask { task, attempt, outcome: *outcome });
                continue;
            }
            let Some(run) = self.runs.get_mut(&attempt) else {
                answer.missing.push(attempt);
                continue;
            };
            run.lease_until = now + time::Duration::from_millis(lease.lease_ms);
            answer.renewed.push(attempt);
        }
        Ok(answer)
    }

    /// Preempts a task. Returns the end of a checkpointed or stopped task.
    pub fn preempt(
        &mut self,
        now: time::Duration,
        token: task::FencingToken,
        attempt: &Attempt,
        how: task::PreemptionMode,
    ) -> Result<Option<Finished>, wire::WorkerRefusalKind> {
        self.check_token(token)?;
        if self.ended.contains_key(attempt) {
            return Ok(None);
        }
        let Some(run) = self.runs.get_mut(attempt) else {
            return Err(wire::WorkerRefusalKind::UnknownTask);
        };
        let left = run.ends_at.saturating_sub(now);
        match how {
            task::PreemptionMode::Throttle => {
                run.ends_at = now + left * 4;
                Ok(None)
            }
            task::PreemptionMode::Checkpoint => {
                let done = self.progress.entry(attempt.0.clone()).or_default();
                *done += time::Duration::from_millis(50);
                Ok(self.finish(now, attempt, task::EndKind::Checkpointed))
            }
            task::PreemptionMode::Stop => Ok(self.finish(now, attempt, task::EndKind::Stopped)),
        }
    }

    /// Ends the tasks whose run time or lease is over.
    pub fn advance(&mut self, now: time::Duration) -> Vec<Finished> {
        let mut due = Vec::new();
        for (attempt, run) in &self.runs {
            if run.ends_at <= now && run.ends_at <= run.lease_until {
                let kind = if run.fails { task::EndKind::Failed } else { task::EndKind::Done };
                due.push((attempt.clone(), kind));
            } else if run.lease_until <= now {
                due.push((attempt.clone(), task::EndKind::Lapsed));
            }
        }
        let mut finished = Vec::new();
        for (attempt, kind) in due {
            finished.extend(self.finish(now, &attempt, kind));
        }
        self.ended.retain(|_, (at, _)| *at + ENDED_RETENTION > now);
        finished
    }

    fn finish(
        &mut self,
        now: time::Duration,
        attempt: &Attempt,
        kind: task::EndKind,
    ) -> Option<Finished> {
        let run = self.runs.remove(attempt)?;
        self.ended.insert(attempt.clone(), (now, kind));
        self.snapshot(now);
        let body = body::Body::from(run.start.payload.as_bytes().to_vec());
        Some(Finished {
            attempt: attempt.clone(),
            kind: run.start.kind,
            end: task::TaskEnd { kind, body },
        })
    }

    fn tasks(&self, now: time::Duration) -> wire::WorkerTasks {
        let mut tasks = wire::WorkerTasks::default();
        for ((task, attempt), run) in &self.runs {
            tasks.running.push(wire::RunningTask {
                task: task.clone(),
                attempt: *attempt,
                resources: run.start.resources,
                labels: run.start.labels.clone(),
                resources_used: run.start.resources,
                lease_left_ms: pier_core::clock::millis(run.lease_until.saturating_sub(now)),
            });
        }
        for ((task, attempt), (_, outcome)) in &self.ended {
            let (task, attempt, outcome) = (task.clone(), *attempt, *outcome);
            tasks.ended.push(wire::EndedTask { task, attempt, outcome });
        }
        tasks
    }

    fn snapshot(&mut self, now: time::Duration) {
        let tasks = self.tasks(now);
        self.snapshots.push((now, tasks));
        self.snapshots.retain(|(at, _)| *at + SNAPSHOT_RETENTION > now);
    }

    /// The report as of `lag` ago.
    pub fn report(&self, now: time::Duration, lag: time::Duration) -> wire::WorkerReport {
        let as_of = now.saturating_sub(lag);
        let latest = self.snapshots.iter().rev().find(|(at, _)| *at <= as_of);
        wire::WorkerReport {
            as_of_age_ms: pier_core::clock::millis(lag),
            resources: self.entry.resources,
            tasks: latest.map(|(_, tasks)| tasks.clone()).unwrap_or_default(),
        }
    }
}
