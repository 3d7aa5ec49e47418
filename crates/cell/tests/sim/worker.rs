//! An in-memory worker that follows the worker protocol: fencing, leases, run numbers and ends.

use std::collections::BTreeMap;

use pier_cell::event::{ListedEnd, ListedRun, PollResponse, RejectReason, StartResponse};
use pier_cell::job::{Label, RunNumber, TaskRef};
use pier_cell::run::EndKind;
use pier_core::resources::Resources;

use crate::sim::load::Leaving;

/// The longest lease that a worker grants, in milliseconds.
const MAX_LEASE_MS: u64 = 10_000;

/// A run on a worker.
#[derive(Debug, Clone)]
pub struct Running {
    pub number: RunNumber,
    pub ends_at_ms: u64,
    pub kind: EndKind,
    pub need: Resources,
    /// For a member of a gang: until when it waits for the others.
    pub waits_until_ms: Option<u64>,
}

/// One incarnation of a worker.
#[derive(Debug)]
pub struct SimWorker {
    pub id: String,
    pub incarnation: u64,
    pub zone: String,
    pub capacity: Resources,
    /// The worker's kind and its rack.
    pub labels: Vec<Label>,
    pub is_up: bool,
    /// What the worker has announced, if it is to leave.
    pub leaving: Option<Leaving>,
    pub fencing_token: u64,
    pub lease_until_ms: u64,
    pub running: BTreeMap<TaskRef, Running>,
    pub ended: Vec<ListedEnd>,
    done_at_ms: BTreeMap<u64, u64>,
    lapsed_at_ms: u64,
    /// The task and the resources of runs that have ended, until the simulation has taken them.
    pub released: Vec<(TaskRef, Resources)>,
    /// Members of gangs that have waited for the others in vain, until the simulation has taken them.
    pub alone: Vec<TaskRef>,
    /// The task and the number of runs that failed, until the simulation has taken them.
    pub failed: Vec<(TaskRef, RunNumber)>,
    /// The task and the end time of runs that completed and whose end was acknowledged.
    pub acknowledged: Vec<(TaskRef, u64)>,
    /// The highest run number of each task that has ended or was stopped; no run up to it may
    /// start.
    closed_runs: BTreeMap<TaskRef, RunNumber>,
    sequence: u64,
}

impl SimWorker {
    pub fn new(id: &str, incarnation: u64, zone: &str, capacity: Resources) -> Self {
        Self {
            id: id.to_owned(),
            incarnation,
            zone: zone.to_owned(),
            capacity,
            labels: vec!["kind".into(), "rack".into()],
            is_up: true,
            leaving: None,
            fencing_token: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            done_at_ms: BTreeMap::new(),
            lapsed_at_ms: 0,
            released: Vec::new(),
            alone: Vec::new(),
            failed: Vec::new(),
            acknowledged: Vec::new(),
            closed_runs: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// The worker's clock, which counts from its start.
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.incarnation)
    }

    pub fn used(&self) -> Resources {
        let mut used = Resources::ZERO;
        for run in self.running.values() {
            used = used.plus(&run.need);
        }
        used
    }

    /// Extends the lease. A longer one than the longest that is granted is shortened to that.
    fn extend_lease(&mut self, now_ms: u64, until_ms: u64) {
        let longest_until_ms = self.clock_ms(now_ms) + MAX_LEASE_MS;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(longest_until_ms));
    }

    fn end(&mut self, task: &TaskRef, kind: EndKind) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.released.push((task.clone(), run.need));
        if kind == EndKind::Failed {
            self.failed.push((task.clone(), run.number));
        }
        self.sequence += 1;
        let closed_run = self.closed_runs.entry(task.clone()).or_default();
        *closed_run = (*closed_run).max(run.number);
        self.ended.push(ListedEnd {
            sequence: self.sequence,
            task: Some(task.clone()),
            number: run.number,
            kind: Some(kind),
            checkpoint: None,
        });
    }

    /// Ends the runs that have completed or whose lease has lapsed.
    pub fn advance(&mut self, now_ms: u64) {
        if !self.is_up {
            return;
        }
        let lapsed = self.clock_ms(now_ms) > self.lease_until_ms;
        if lapsed {
            self.lapsed_at_ms = now_ms;
        }
        let tasks: Vec<TaskRef> = self.running.keys().cloned().collect();
        for task in tasks {
            let run = &self.running[&task];
            if now_ms >= run.ends_at_ms {
                let kind = run.kind;
                self.end(&task, kind);
                if kind == EndKind::Done {
                    self.done_at_ms.insert(self.sequence, now_ms);
                }
            } else if lapsed {
                self.end(&task, EndKind::Lapsed);
            } else if run.waits_until_ms.is_some_and(|until_ms| now_ms >= until_ms) {
                self.end(&task, EndKind::Alone);
                self.alone.push(task);
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of a start")]
    pub fn start(
        &mut self,
        now_ms: u64,
        token: u64,
        task: &TaskRef,
        number: RunNumber,
        lease_until_ms: u64,
        run_ms: u64,
        kind: EndKind,
        need: Resources,
    ) -> StartResponse {
        let clock_ms = self.clock_ms(now_ms);
        let rejected = |reason| StartResponse::Rejected { reason };
        if token < self.fencing_token {
            return rejected(RejectReason::Fenced);
        }
        self.fencing_token = token;
        self.extend_lease(now_ms, lease_until_ms);
        if self.running.get(task).is_some_and(|run| run.number == number) {
            return StartResponse::Started { clock_ms };
        }
        if self.closed_runs.get(task).is_some_and(|closed_run| number <= *closed_run) {
            return rejected(RejectReason::StaleRun);
        }
        if clock_ms > lease_until_ms {
            return rejected(RejectReason::Late);
        }
        let run = Running { number, ends_at_ms: now_ms + run_ms, kind, need, waits_until_ms: None };
        self.running.insert(task.clone(), run);
        StartResponse::Started { clock_ms }
    }

    pub fn stop(&mut self, token: u64, task: &TaskRef, number: RunNumber) -> bool {
        if token < self.fencing_token {
            return false;
        }
        self.fencing_token = token;
        let closed_run = self.closed_runs.entry(task.clone()).or_default();
        *closed_run = (*closed_run).max(number);
        if self.running.get(task).is_some_and(|run| run.number <= number) {
            self.end(task, EndKind::Stopped);
        }
        true
    }

    pub fn poll(
        &mut self,
        now_ms: u64,
        token: u64,
        ends_stored: u64,
        lease_until_ms: Option<u64>,
    ) -> PollResponse {
        if token < self.fencing_token {
            return PollResponse::Fenced;
        }
        self.fencing_token = token;
        if let Some(until_ms) = lease_until_ms {
            self.extend_lease(now_ms, until_ms);
        }
        let acknowledged_end = ends_stored;
        for end in &self.ended {
            let done_at_ms = self.done_at_ms.get(&end.sequence).copied();
            let (Some(done_at_ms), Some(task)) = (done_at_ms, &end.task) else {
                continue;
            };
            // An end before the last lapse of the lease does not count.
            if end.sequence <= acknowledged_end && self.lapsed_at_ms < done_at_ms {
                self.acknowledged.push((task.clone(), done_at_ms));
            }
        }
        self.ended.retain(|end| end.sequence > acknowledged_end);
        self.report(now_ms)
    }

    /// What runs, and the ends that are not acknowledged.
    pub fn report(&self, now_ms: u64) -> PollResponse {
        let mut running = Vec::new();
        for (task, run) in &self.running {
            running.push(ListedRun {
                task: task.clone(),
                number: run.number,
                checkpoint: None,
                percent: None,
            });
        }
        PollResponse::Report {
            is_incomplete: false,
            clock_ms: self.clock_ms(now_ms),
            incarnation: Some(self.incarnation),
            running,
            ended: self.ended.clone(),
        }
    }
}
