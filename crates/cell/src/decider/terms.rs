//! The terms of accepted jobs, which the log keeps while declarations change.

use pier_core::ids;

use crate::cell_state::CellState;
use crate::decider::{Context, Decider};
use crate::job::JobState;
use crate::record::Record;

impl Decider {
    /// Applies a declaration that has come into force: its terms go into the log with the next
    /// append, and jobs fail that have used up the attempts which it allows. They may have done so
    /// under an earlier decider.
    ///
    /// Must be called before a job is accepted under the declaration, so that the terms of the job
    /// are stored no later than the job.
    pub(super) fn apply_declaration(&mut self, context: &mut Context<'_>) {
        if self.applied_version == context.declaration.version {
            return;
        }
        self.applied_version = context.declaration.version;
        let CellState { terms, live, ended, .. } = context.cell_state;
        let mut removed_queue_jobs = 0;
        let mut unknown_queue_jobs = 0;
        for job in live.values() {
            if context.declaration.queue(&job.spec.queue).is_none() {
                unknown_queue_jobs += 1;
            } else if context.declaration.declared_queue(&job.spec.queue).is_none() {
                removed_queue_jobs += 1;
            }
        }
        let changed = terms.update(context.declaration, live, ended);
        tracing::info!(
            version = self.applied_version,
            changed = changed.len(),
            removed_queue_jobs,
            unknown_queue_jobs,
            "recording the terms of queues and accounts"
        );
        for record in changed {
            if record.is_storable(context.options.max_record_bytes) {
                self.changed_terms.push_back(record);
            } else {
                tracing::error!(
                    key = record.key,
                    bytes = record.stored_bytes(),
                    "terms are too long for the log; jobs wait if they are removed"
                );
            }
        }
        let jobs: Vec<ids::JobId> = context.cell_state.live.keys().cloned().collect();
        for job in jobs {
            self.fail_if_exhausted(context, &job);
        }
    }

    /// Fails the job if its attempts are used up. If the terms of its queue are not known, the job
    /// waits until the queue is declared again.
    pub(super) fn fail_if_exhausted(&mut self, context: &mut Context<'_>, id: &ids::JobId) {
        let Some(job) = context.cell_state.live.get(id) else {
            return;
        };
        let Some(queue) = context.declaration.queue(&job.spec.queue) else {
            return;
        };
        if job.progress.is_exhausted(queue.attempts()) {
            self.set_final_state(context, id, JobState::Failed);
        }
    }

    /// Adds changed terms to an append, up to a length. Returns their length.
    pub(super) fn push_changed_terms(
        &mut self,
        max_bytes: usize,
        records: &mut Vec<Record>,
    ) -> usize {
        let mut bytes = 0;
        while bytes < max_bytes
            && let Some(record) = self.changed_terms.pop_front()
        {
            bytes += record.stored_bytes();
            records.push(record);
        }
        bytes
    }
}
