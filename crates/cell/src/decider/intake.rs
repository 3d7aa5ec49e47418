//! Submissions and cancellations.

use std::sync;
use std::time;

use pier_core::ids;
use pier_core::resources::Resources;

use crate::cell_state::{CellState, LiveJob};
use crate::decider::{Context, Decider, Origin};
use crate::job::{AccountId, JobSpec, JobState};
use crate::peer::RequestOutcome;
use crate::place;
use crate::progress::Progress;

/// Submissions are rejected when nothing was stored for so long: callers should not wait for a log
/// that is away.
const LOG_PATIENCE: time::Duration = time::Duration::from_millis(1_200);
/// When to come back if no worker is large enough: workers are added and replaced in seconds.
const RETRY_TOO_LARGE: time::Duration = time::Duration::from_secs(5);

impl Decider {
    /// Takes a submission. The verdict comes when it is stored.
    pub fn on_submit(
        &mut self,
        context: &mut Context<'_>,
        origin: Origin,
        spec: sync::Arc<JobSpec>,
    ) {
        let id = ids::JobId::clone(&spec.id);
        let is_known =
            context.ledger.live.contains_key(&id) || context.ledger.ended.contains_key(&id);
        if is_known {
            self.reply_when_stored(context, &id, origin);
            return;
        }
        if let Some((reason, retry_after)) = self.reason_to_reject(context, &spec) {
            tracing::info!(job = %id, queue = %spec.queue, reason, waiting = context.ledger.live.len(),
                "job rejected");
            let retry_after_ms = pier_core::clock::millis(retry_after);
            let verdict = RequestOutcome::Rejected { reason: reason.to_owned(), retry_after_ms };
            self.reply(context, origin, verdict);
            return;
        }
        let account = spec.account.as_ref().and_then(|name| context.directory.account(name));
        let is_beyond_share = account.is_some_and(|account| {
            let share_use = self.share_use.entry(AccountId::clone(&account.name)).or_default();
            share_use.count(context.now, account)
        });
        if is_beyond_share {
            self.beyond_share.insert(ids::JobId::clone(&id));
        }
        tracing::info!(job = %id, queue = %spec.queue, account = spec.account.as_deref(),
            is_beyond_share, steps = spec.steps.len(), version = context.directory.version, "job taken");
        let progress = Progress::new(&spec);
        let job = LiveJob { accepted_wall_ms: context.wall_ms, spec, progress };
        context.ledger.live.insert(ids::JobId::clone(&id), job);
        self.accepted.insert(ids::JobId::clone(&id));
        self.ask_early(context, &id);
        self.dirty.insert(id);
        self.replies.push((origin, RequestOutcome::Stored));
    }

    fn reason_to_reject(
        &self,
        context: &Context<'_>,
        spec: &JobSpec,
    ) -> Option<(&'static str, time::Duration)> {
        if context.now > self.last_stored_at.saturating_add(LOG_PATIENCE) {
            return Some(("the log is not available", context.options.retry_after));
        }
        if context.ledger.live.len() >= context.options.max_waiting_jobs {
            return Some(("too many jobs wait", context.options.retry_after));
        }
        if !self.has_worker_list {
            return None;
        }
        let service = context.directory.queue(&spec.queue).map(|queue| &queue.service);
        let mut largest = Resources::ZERO;
        for worker in self.workers.values() {
            if Some(&worker.entry.service) == service {
                largest = largest.max(&worker.entry.capacity);
            }
        }
        if !spec.steps.iter().all(|step| step.need.fits_in(&largest)) {
            return Some(("no worker is large enough", RETRY_TOO_LARGE));
        }
        let account = spec.account.as_ref().and_then(|name| context.directory.account(name))?;
        let is_within_cap = spec.steps.iter().all(|step| {
            let at_once = if step.gang { step.tasks } else { 1 };
            place::times(&step.need, &account.cap) >= at_once
        });
        (!is_within_cap).then_some(("the account's limit is too small", RETRY_TOO_LARGE))
    }

    /// Cancels a job. The verdict comes when that is stored.
    pub fn on_cancel(&mut self, context: &mut Context<'_>, origin: Origin, id: &ids::JobId) {
        if context.ledger.live.contains_key(id) {
            self.set_verdict(context, id, JobState::Cancelled);
            self.reply_when_stored(context, id, origin);
            return;
        }
        if context.ledger.ended.contains_key(id) {
            // Its end may be in an append that is under way.
            self.reply_when_stored(context, id, origin);
        } else {
            self.deny(origin);
        }
    }

    /// Says that there is no such job, once an append has shown that no other host decides: it may
    /// have taken the job.
    fn deny(&mut self, origin: Origin) {
        self.replies.push((origin, RequestOutcome::Unknown));
    }

    /// Tells a job's state.
    pub fn on_show(&mut self, context: &mut Context<'_>, origin: Origin, id: &ids::JobId) {
        match self.shown_state(context.ledger, id) {
            Some(state) => self.reply(context, origin, RequestOutcome::State(state)),
            None => self.deny(origin),
        }
    }

    /// Tells how many jobs of a queue have not begun.
    pub fn on_count_pending(
        &mut self,
        context: &mut Context<'_>,
        origin: Origin,
        queue: &ids::QueueId,
    ) {
        let verdict = RequestOutcome::Pending(context.ledger.pending_jobs(queue));
        self.reply(context, origin, verdict);
    }

    /// A job's state as far as it is stored.
    pub fn shown_state(&self, ledger: &CellState, id: &str) -> Option<JobState> {
        let state = ledger.job_state(id)?;
        if state.is_final() && !self.is_stored(id) {
            return Some(JobState::Running);
        }
        Some(state)
    }

    fn reply_when_stored(&mut self, context: &mut Context<'_>, id: &ids::JobId, origin: Origin) {
        if self.dirty.contains(id) {
            self.replies.push((origin, RequestOutcome::Stored));
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
