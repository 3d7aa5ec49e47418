//! Explains the state of jobs and their tasks to operators.

use pier_core::{ids, resources, task};

use super::{job, split_task};
use crate::report;

impl super::Jobs {
    /// The team of a waiting job or task that this host owns, and the resources that a task needs.
    pub(in crate::work) fn waiting_need(
        &self,
        task: &ids::TaskId,
    ) -> Option<(&ids::TeamId, resources::Resources)> {
        if let Some(job) = self.owned.get(task) {
            return job.waiting_need(None);
        }
        let (id, index) = split_task(task)?;
        self.owned.get(&id)?.waiting_need(Some(index))
    }
}

impl job::Job {
    /// Explains the state of the job.
    pub(super) fn explain(&self) -> report::Explanation {
        let status = self.status();
        let state = format!(
            "{}, {} of {} tasks done, {} running, {} looking for a worker",
            status.phase, status.done, status.tasks, self.running, self.queued
        );
        report::Explanation {
            task: self.id.clone(),
            state: state.into(),
            worker: None,
            waits_for: status.reason.map(|reason| reason.kind),
            limit: None,
            tried: self.history(),
            ask_address: None,
        }
    }

    /// The team of the job and the resources that one of its tasks needs, if the task with the given
    /// index, or any task if no index is given, has no worker yet.
    pub(super) fn waiting_need(
        &self,
        index: Option<u32>,
    ) -> Option<(&ids::TeamId, resources::Resources)> {
        let waits = match index {
            None => self.ending.is_none() && self.has_waiting(),
            Some(index) => !self.done.contains(index) && !self.runs_or_stops(index),
        };
        waits.then_some((&self.spec.team, self.spec.resources))
    }

    fn has_waiting(&self) -> bool {
        let done = usize::try_from(self.done.len()).unwrap_or(usize::MAX);
        let tasks = usize::try_from(self.spec.tasks).unwrap_or(usize::MAX);
        done.saturating_add(self.running) < tasks
    }

    /// Whether a task has an attempt that runs on a worker or is being stopped.
    fn runs_or_stops(&self, index: u32) -> bool {
        let active = self.tasks.get(&index).and_then(|task| task.active.as_ref());
        active.is_some_and(|active| {
            active.cancelled || matches!(active.stage, job::Stage::Running(_))
        })
    }

    /// Explains the state of a task. `index` must be below the number of tasks.
    pub(super) fn explain_task(&self, index: u32) -> report::Explanation {
        let id = self.task_id(index);
        let mut worker = None;
        let task = self.tasks.get(&index);
        let active = task.and_then(|task| task.active.as_ref());
        let state = match active {
            _ if self.done.contains(index) => "done",
            Some(active) if active.cancelled => "being stopped",
            Some(active) => match &active.stage {
                job::Stage::Queued => "looking for a worker",
                job::Stage::Reserved => "capacity is reserved",
                job::Stage::Running(on) => {
                    worker = Some(on.clone());
                    "running"
                }
            },
            None if self.recovering => "waiting for the reports of the worker owners",
            None if task.is_some() => "waiting to be tried again",
            None if self.spec.class == task::Class::Gang => {
                "waiting for capacity for the whole gang"
            }
            None => "waiting for earlier tasks of the job",
        };
        let mut tried = self.history();
        tried.retain(|line| line.starts_with(&format!("task {index} ")));
        let waiting = active.is_none() && !self.done.contains(index);
        let waits_for = self.last_refusal.as_ref().filter(|_| waiting);
        report::Explanation {
            task: id,
            state: state.into(),
            worker,
            waits_for: waits_for.map(|refusal| refusal.kind),
            limit: None,
            tried,
            ask_address: None,
        }
    }
}
