//! Requests of callers: submissions, cancellations and queries.

use std::sync;
use std::time;

use pier_core::ids;
use pier_core::resources::Resources;

use crate::cell_state::{CellState, LiveJob};
use crate::decider::{Context, Decider, RequestOrigin};
use crate::job::{self, JobSpec, JobState, Requester};
use crate::peer::RequestOutcome;
use crate::place;
use crate::progress::Progress;
use crate::record::Withdrawal;

/// Submissions are rejected if no append was stored for this long, so that callers do not wait
/// while the log is unavailable.
const MAX_LOG_SILENCE: time::Duration = time::Duration::from_millis(1_200);
/// The retry delay for jobs that are too large at present. Workers are added and replaced within
/// seconds.
const RETRY_AFTER_TOO_LARGE: time::Duration = time::Duration::from_secs(5);

impl Decider {
    /// Accepts or rejects a submission. The outcome of an accepted one is sent when it is stored.
    pub fn on_submit(
        &mut self,
        context: &mut Context<'_>,
        origin: RequestOrigin,
        spec: sync::Arc<JobSpec>,
    ) {
        let id = ids::JobId::clone(&spec.id);
        let is_known =
            context.cell_state.live.contains_key(&id) || context.cell_state.ended.contains_key(&id);
        let belongs_to_another = context.cell_state.belongs_to_another(&id, &spec.requester());
        if is_known && !belongs_to_another {
            self.reply_when_stored(context, &id, origin);
            return;
        }
        self.apply_declaration(context);
        let admitted = match self.reason_to_reject(context, &spec) {
            Some(rejection) => Err(rejection),
            None => self.admit(context, &spec),
        };
        let accepted_wall_ms = match admitted {
            Ok(accepted_wall_ms) => accepted_wall_ms,
            Err((reason, retry_after)) => {
                tracing::info!(job = %id, queue = %spec.queue, reason,
                    waiting = context.cell_state.live.len(),
                    "job rejected");
                self.load_report.rejections.push((reason, ids::QueueId::clone(&spec.queue)));
                let retry_after_ms = pier_core::clock::millis(retry_after);
                let outcome =
                    RequestOutcome::Rejected { reason: reason.to_owned(), retry_after_ms };
                self.reply(context, origin, outcome);
                return;
            }
        };
        let is_beyond_share = self.shares.record_submission(context, &spec);
        tracing::info!(job = %id, queue = %spec.queue, account = spec.account.as_deref(),
            is_beyond_share, steps = spec.steps.len(), version = context.declaration.version,
            "job accepted");
        // Other accounts may have cancelled the id.
        if context.cell_state.withdrawn.remove(&id).is_some() {
            self.withdrawn_order.retain(|(_, withdrawn)| *withdrawn != id);
        }
        self.remember_forecast(context, &spec, !is_beyond_share);
        let progress = Progress::new(&spec);
        let job = LiveJob { accepted_wall_ms, spec, progress };
        context.cell_state.live.insert(ids::JobId::clone(&id), job);
        self.newly_accepted.insert(ids::JobId::clone(&id));
        self.request_advice_on_submit(context, &id);
        self.dirty.insert(id);
        self.pending_replies.push((origin, RequestOutcome::Stored));
    }

    fn reason_to_reject(
        &self,
        context: &Context<'_>,
        spec: &JobSpec,
    ) -> Option<(&'static str, time::Duration)> {
        // The host that took the submission has checked this.
        if !job::is_valid_job_id(&spec.id) {
            return Some(("the job id is not valid", context.options.retry_after));
        }
        if context.cell_state.belongs_to_another(&spec.id, &spec.requester()) {
            let reason = "the job id belongs to another account";
            return Some((reason, context.options.ended_job_retention));
        }
        let withdrawal = context.cell_state.withdrawn.get(&spec.id);
        if withdrawal.is_some_and(|withdrawal| withdrawal.applies_to(spec.account.as_ref())) {
            return Some(("the job was cancelled", context.options.ended_job_retention));
        }
        if context.now > self.last_stored_at.saturating_add(MAX_LOG_SILENCE) {
            return Some(("the log is not available", context.options.retry_after));
        }
        // Admission control applies the limit by itself.
        if !context.options.load.admission
            && context.cell_state.live.len() >= context.options.max_waiting_jobs
        {
            return Some(("too many jobs are waiting", context.options.retry_after));
        }
        // The host that took the submission may have read another version of the declaration.
        let Some(queue) = context.declaration.declared_queue(&spec.queue) else {
            return Some(("the queue is not in the declaration", context.options.retry_after));
        };
        let mut account = None;
        if let Some(name) = &spec.account {
            account = context.declaration.declared_account(name);
            if account.is_none() {
                let reason = "the account is not in the declaration";
                return Some((reason, context.options.retry_after));
            }
        }
        if !self.has_worker_list {
            return None;
        }
        let mut largest = Resources::ZERO;
        for worker in self.workers.values() {
            if worker.is_listed && !worker.is_described {
                // It has restarted and may be of any size.
                largest = Resources::MAX;
            } else if worker.info.service == queue.service {
                largest = largest.max(&worker.info.capacity);
            }
        }
        if !spec.steps.iter().all(|step| step.need.fits_in(&largest)) {
            return Some(("no worker is large enough", RETRY_AFTER_TOO_LARGE));
        }
        let account = account?;
        let is_within_cap = spec.steps.iter().all(|step| {
            let at_once = if step.gang { step.tasks } else { 1 };
            place::fit_count(&step.need, &account.cap) >= at_once
        });
        (!is_within_cap).then_some(("a step exceeds the account's limit", RETRY_AFTER_TOO_LARGE))
    }

    /// Cancels a job. The outcome is sent when the cancellation is stored, also that of a job which
    /// is not known. To a requester of another account the job does not exist; none may access all
    /// jobs.
    pub fn on_cancel(
        &mut self,
        context: &mut Context<'_>,
        origin: RequestOrigin,
        id: &ids::JobId,
        requester: Option<&Requester>,
    ) {
        if requester.is_some_and(|requester| context.cell_state.belongs_to_another(id, requester)) {
            self.reply_unknown_job(origin);
            return;
        }
        if context.cell_state.live.contains_key(id) {
            self.set_final_state(context, id, JobState::Cancelled);
            self.reply_when_stored(context, id, origin);
            return;
        }
        if context.cell_state.ended.contains_key(id) {
            // The end of the job may be part of the append in flight.
            self.reply_when_stored(context, id, origin);
        } else {
            self.withdraw(context, id, requester);
            self.reply_unknown_job(origin);
        }
    }

    /// Keeps that a job which is not known was cancelled. Its submission may still be on its way, at
    /// a host that is paused or that has lost the decider.
    fn withdraw(
        &mut self,
        context: &mut Context<'_>,
        id: &ids::JobId,
        requester: Option<&Requester>,
    ) {
        if !job::is_valid_job_id(id) {
            return;
        }
        let withdrawal = context.cell_state.withdrawn.get_mut(id);
        let is_new = withdrawal.is_none();
        if let Some(withdrawal) = withdrawal {
            if !withdrawal.add(requester) {
                return;
            }
        } else {
            let withdrawal = Withdrawal::new(context.wall_ms, requester);
            context.cell_state.withdrawn.insert(ids::JobId::clone(id), withdrawal);
        }
        if is_new {
            self.withdrawn_order.push_back((context.now, ids::JobId::clone(id)));
        }
        tracing::info!(job = %id, account = requester.and_then(|by| by.account.as_deref()),
            "cancelled a job that has not been submitted");
        self.dirty.insert(ids::JobId::clone(id));
    }

    /// Responds that the job is unknown, once an append has confirmed that no other host is the
    /// decider. Another decider might have accepted the job.
    fn reply_unknown_job(&mut self, origin: RequestOrigin) {
        self.pending_replies.push((origin, RequestOutcome::Unknown));
    }

    /// Responds with the state of a job. To a requester of another account the job does not exist;
    /// none may access all jobs.
    pub fn on_show(
        &mut self,
        context: &mut Context<'_>,
        origin: RequestOrigin,
        id: &ids::JobId,
        requester: Option<&Requester>,
    ) {
        if requester.is_some_and(|requester| context.cell_state.belongs_to_another(id, requester)) {
            self.reply_unknown_job(origin);
            return;
        }
        match self.stored_state(context.cell_state, id) {
            Some(state) => self.reply(context, origin, RequestOutcome::State(state)),
            None => self.reply_unknown_job(origin),
        }
    }

    /// Responds with the number of jobs of a queue that have not started.
    pub fn on_count_pending(
        &mut self,
        context: &mut Context<'_>,
        origin: RequestOrigin,
        queue: &ids::QueueId,
    ) {
        let outcome = RequestOutcome::Pending(context.cell_state.pending_jobs(queue));
        self.reply(context, origin, outcome);
    }

    /// The state of a job as far as it is stored. A final state that is not stored yet is reported
    /// as running.
    pub fn stored_state(&self, cell_state: &CellState, id: &str) -> Option<JobState> {
        let state = cell_state.job_state(id)?;
        if state.is_final() && !self.is_stored(id) {
            return Some(JobState::Running);
        }
        Some(state)
    }

    fn reply_when_stored(
        &mut self,
        context: &mut Context<'_>,
        id: &ids::JobId,
        origin: RequestOrigin,
    ) {
        if self.dirty.contains(id) {
            self.pending_replies.push((origin, RequestOutcome::Stored));
            return;
        }
        if let Some(append) = &mut self.in_flight
            && append.jobs.contains(id)
        {
            append.replies.push((origin, RequestOutcome::Stored));
            return;
        }
        self.reply(context, origin, RequestOutcome::Stored);
    }
}
