//! Counters that show from outside whether the system keeps its guarantees.

use std::collections;
use std::time;

use pier_core::{clock, ids, resources, task, wire};
use serde::{Deserialize, Serialize};

/// The maximum number of tasks that a list in the report names.
const MAX_LISTED: usize = 100;
/// The maximum number of marks; the oldest is dropped for a new one.
const MAX_MARKS: usize = 1_000;
/// The target time within which a mark must take effect. Starts that are accepted later than this
/// after the mark count as late.
const MARK_EFFECT_TARGET: time::Duration = time::Duration::from_secs(3);

/// Counters of one task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCount {
    /// The number of runs. Runs differ in their attempt or their worker.
    pub runs: u32,
    /// The number of runs that are in progress.
    pub running: u32,
    /// The number of runs that ended as done.
    pub done: u32,
    /// Whether two runs were in progress at the same time.
    pub overlapped: bool,
    /// Whether the task may run again after an attempt with an unknown outcome.
    pub repeatable: bool,
}

/// The tasks that have some property: their number and the first of them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskList {
    /// The number of tasks.
    pub count: u64,
    /// The first of them, in the order of ids.
    pub first: Vec<ids::TaskId>,
}

/// Resource usage of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerUsage {
    /// The worker's capacity.
    pub total: resources::Resources,
    /// The resources that its tasks hold.
    pub used: resources::Resources,
    /// The largest amount of each resource that its tasks have held.
    pub largest_used: resources::Resources,
    /// The number of running tasks.
    pub running: u64,
    /// The number of accepted starts.
    pub starts: u64,
}

/// Resource usage of a team over all workers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// The resources that its tasks hold.
    pub used: resources::Resources,
    /// The largest amount of each resource that its tasks have held since the last reset.
    pub largest_used: resources::Resources,
    /// The processor time that its ended runs have held, in thousandths of a core times
    /// milliseconds.
    pub cpu_milli_ms: u64,
}

/// Counters of starts on workers that were marked to get none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarkCount {
    /// The name of the mark.
    pub name: String,
    /// The age of the mark in milliseconds.
    pub age_ms: u64,
    /// The number of accepted starts since the mark.
    pub accepted: u64,
    /// The number of accepted starts more than three seconds after the mark.
    pub accepted_late: u64,
    /// The time from the mark to the last accepted start in milliseconds.
    pub last_accepted_ms: Option<u64>,
    /// The number of starts that a leaving worker refused.
    pub refused: u64,
    /// The time from the mark to the last start that a leaving worker refused, in milliseconds.
    pub last_refused_ms: Option<u64>,
}

/// The response to `GET /control/audit`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The number of tasks that ran.
    pub tasks: u64,
    /// The number of runs.
    pub runs: u64,
    /// The number of runs that ended as done.
    pub done: u64,
    /// The tasks with more than one run.
    pub run_again: TaskList,
    /// The tasks with two runs at the same time.
    pub overlapped: TaskList,
    /// The tasks with more than one run that ended as done.
    pub done_again: TaskList,
    /// The tasks that are not repeatable and had more than one run.
    pub not_repeatable_run_again: TaskList,
    /// The workers whose tasks have held more than the worker's capacity.
    pub over_committed_workers: Vec<ids::WorkerId>,
    /// The number of refused starts by kind.
    pub refusals: collections::BTreeMap<String, u64>,
    /// The number of ended runs by kind of end.
    pub ends: collections::BTreeMap<String, u64>,
    /// Resource usage by worker.
    pub workers: collections::BTreeMap<ids::WorkerId, WorkerUsage>,
    /// Resource usage by team.
    pub teams: collections::BTreeMap<ids::TeamId, TeamUsage>,
    /// Counters by mark, oldest first.
    pub marks: Vec<MarkCount>,
    /// The tasks whose ids start with the prefix in the request.
    pub selected: collections::BTreeMap<ids::TaskId, TaskCount>,
}

/// A request to mark workers, which should get no starts from then on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MarkRequest {
    /// The name of the mark. An older mark of the same name is replaced.
    pub name: String,
    /// The availability zone whose workers are marked.
    pub availability_zone: Option<ids::ZoneId>,
    /// Workers that are marked by id.
    pub workers: Vec<ids::WorkerId>,
}

struct Mark {
    request: MarkRequest,
    marked_at: time::Instant,
    count: MarkCount,
}

/// The counters.
#[derive(Default)]
pub(crate) struct Audit {
    tasks: collections::BTreeMap<ids::TaskId, TaskCount>,
    teams: collections::BTreeMap<ids::TeamId, TeamUsage>,
    refusals: collections::BTreeMap<String, u64>,
    ends: collections::BTreeMap<String, u64>,
    marks: Vec<Mark>,
}

impl Audit {
    /// Counts an accepted start.
    pub fn record_start(&mut self, start: &wire::StartTask) {
        let count = self.tasks.entry(start.task.clone()).or_default();
        count.runs += 1;
        count.running += 1;
        count.repeatable = start.labels.repeatable;
        count.overlapped |= count.running > 1;
        let team = self.teams.entry(start.labels.team.clone()).or_default();
        team.used = team.used.plus(&start.resources);
        team.largest_used = team.largest_used.max(&team.used);
    }

    /// Counts the end of a run that held `resources` for `held`.
    pub fn record_end(
        &mut self,
        task: &ids::TaskId,
        team: &ids::TeamId,
        resources: &resources::Resources,
        held: time::Duration,
        end: task::EndKind,
    ) {
        let count = self.tasks.entry(task.clone()).or_default();
        count.running = count.running.saturating_sub(1);
        if end == task::EndKind::Done {
            count.done += 1;
        }
        *self.ends.entry(end.to_string()).or_default() += 1;
        let team = self.teams.entry(team.clone()).or_default();
        team.used = team.used.minus(resources);
        let cpu_milli_ms = resources.cpu_milli.saturating_mul(clock::millis(held));
        team.cpu_milli_ms = team.cpu_milli_ms.saturating_add(cpu_milli_ms);
    }

    /// Resets the largest amounts of teams to what their tasks hold now.
    pub fn reset_largest(&mut self) {
        for team in self.teams.values_mut() {
            team.largest_used = team.used;
        }
    }

    /// Counts a refused start.
    pub fn record_refusal(&mut self, kind: wire::WorkerRefusalKind) {
        *self.refusals.entry(kind.to_string()).or_default() += 1;
    }

    /// Adds a mark.
    pub fn mark(&mut self, now: time::Instant, request: MarkRequest) {
        self.marks.retain(|mark| mark.request.name != request.name);
        if self.marks.len() >= MAX_MARKS {
            self.marks.remove(0);
        }
        let count = MarkCount { name: request.name.clone(), ..MarkCount::default() };
        self.marks.push(Mark { request, marked_at: now, count });
    }

    /// Removes the mark of this name.
    pub fn unmark(&mut self, name: &str) {
        self.marks.retain(|mark| mark.request.name != name);
    }

    /// Counts an accepted or refused start in the marks that cover the worker.
    pub fn count_in_marks(
        &mut self,
        now: time::Instant,
        worker: &ids::WorkerId,
        zone: &ids::ZoneId,
        accepted: bool,
    ) {
        for mark in &mut self.marks {
            let is_in_zone = mark.request.availability_zone.as_ref() == Some(zone);
            if !is_in_zone && !mark.request.workers.contains(worker) {
                continue;
            }
            let age = now.saturating_duration_since(mark.marked_at);
            if !accepted {
                mark.count.refused += 1;
                mark.count.last_refused_ms = Some(clock::millis(age));
                continue;
            }
            mark.count.accepted += 1;
            mark.count.last_accepted_ms = Some(clock::millis(age));
            if age > MARK_EFFECT_TARGET {
                mark.count.accepted_late += 1;
            }
        }
    }

    /// Builds the report without the workers. `prefix` selects the tasks that are listed singly.
    pub fn to_report(&self, now: time::Instant, prefix: Option<&str>) -> Report {
        let mut report = Report {
            refusals: self.refusals.clone(),
            ends: self.ends.clone(),
            teams: self.teams.clone(),
            ..Report::default()
        };
        for (task, count) in &self.tasks {
            report.tasks += 1;
            report.runs += u64::from(count.runs);
            report.done += u64::from(count.done);
            report.run_again.add_if(count.runs > 1, task);
            report.overlapped.add_if(count.overlapped, task);
            report.done_again.add_if(count.done > 1, task);
            report.not_repeatable_run_again.add_if(!count.repeatable && count.runs > 1, task);
            if prefix.is_some_and(|prefix| task.starts_with(prefix)) {
                report.selected.insert(task.clone(), *count);
            }
        }
        for mark in &self.marks {
            let age_ms = clock::millis(now.saturating_duration_since(mark.marked_at));
            report.marks.push(MarkCount { age_ms, ..mark.count.clone() });
        }
        report
    }
}

impl TaskList {
    fn add_if(&mut self, has_property: bool, task: &ids::TaskId) {
        if !has_property {
            return;
        }
        self.count += 1;
        if self.first.len() < MAX_LISTED {
            self.first.push(task.clone());
        }
    }
}
