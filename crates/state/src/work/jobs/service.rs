//! Declared services.

use std::time;

use super::job;

impl job::Job {
    /// Whether the job is a service that was removed from the declaration and has no active
    /// attempts.
    pub(super) fn is_removed_service(&self) -> bool {
        self.is_service() && self.spec.tasks == 0 && self.active_count() == 0
    }

    /// Replaces the tasks of a service whose declaration has changed. Running tasks are replaced one
    /// at a time, and only while all others run.
    pub(super) fn replace_outdated(&mut self, step: &mut job::Step<'_>) {
        if !self.is_service() {
            return;
        }
        let mut outdated = None;
        let mut running: u32 = 0;
        let mut unwanted = Vec::new();
        for (index, task) in &self.tasks {
            let Some(active) = task.active.as_ref().filter(|active| !active.cancelled) else {
                continue;
            };
            let runs = matches!(active.stage, job::Stage::Running(_));
            let current = active.generation == self.generation;
            if *index >= self.spec.tasks || !(runs || current) {
                unwanted.push(*index);
                continue;
            }
            running += u32::from(runs);
            if !current {
                outdated = outdated.or(Some(*index));
            }
        }
        for index in unwanted {
            self.cancel_task(index, step.commands);
        }
        if let Some(index) = outdated
            && running == self.spec.tasks
        {
            self.cancel_task(index, step.commands);
        }
    }

    /// Applies a changed declaration of a service.
    pub(super) fn update_spec(&mut self, spec: job::Spec, now: time::Duration) {
        if spec == self.spec {
            return;
        }
        let scaled = job::Spec { tasks: spec.tasks, ..self.spec.clone() };
        if scaled != spec {
            self.generation += 1;
        }
        self.spec = spec;
        // Tasks that were removed by scaling down and are added again must be queued again.
        let mut returning = Vec::new();
        for (index, task) in &self.tasks {
            if task.active.is_none() && *index < self.spec.tasks {
                returning.push((*index, task.not_before));
            }
        }
        for (index, not_before) in returning {
            self.wait_until(index, not_before.max(now));
        }
    }
}
