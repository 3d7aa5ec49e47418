//! Accepts or rejects submissions by the forecast of when they would end. See
//! docs/design/admission.md.

use std::collections::{BTreeMap, BTreeSet};
use std::time;

use pier_core::clock;
use pier_core::ids;
use pier_core::map::Map;
use pier_core::resources::Resources;
use pier_load::admission::{Admission, Decision, ForecastTimes, JobKey, Submission};

use crate::decider::{Context, Decider};
use crate::declaration::Queue;
use crate::job::{AccountId, JobSpec};
use crate::ranking;

/// The shortest time between two log lines about rejections of the same queue and account.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// A whole, in parts per million.
const PPM: u32 = 1_000_000;

/// What the decider remembers for admission. It is not stored: the next decider begins without it.
#[derive(Debug, Default)]
pub(super) struct JobAdmission {
    decisions: Admission,
    /// Jobs that this decider accepted within their accounts' shares and that have not ended.
    within_share: BTreeSet<ids::JobId>,
    /// For accepted jobs that were rejected before: the promised time at which they were to return,
    /// in milliseconds since the start of the process.
    promised_ms: BTreeMap<ids::JobId, u64>,
    log_limits: Map<(ids::QueueId, Option<AccountId>), LogLimit>,
}

/// Limits the log lines about rejections of a queue and account.
#[derive(Debug)]
struct LogLimit {
    logged_at: time::Duration,
    /// Rejections without a line since then.
    suppressed: u64,
}

impl JobAdmission {
    /// The time that the job's caller was promised, see [`ranking::Rank::promised_ms`].
    pub(super) fn promised_ms(&self, job: &ids::JobId) -> u64 {
        self.promised_ms.get(job).copied().unwrap_or(ranking::NOT_PROMISED)
    }

    /// Removes a job that has ended.
    pub(super) fn forget(&mut self, job: &ids::JobId) {
        self.within_share.remove(job);
        self.promised_ms.remove(job);
    }

    /// Counts a rejection against the limit of log lines. Returns the number of rejections without
    /// a line if this one is to be logged.
    fn take_suppressed(&mut self, now: time::Duration, spec: &JobSpec) -> Option<u64> {
        let key = (ids::QueueId::clone(&spec.queue), spec.account.clone());
        let Some(limit) = self.log_limits.get_mut(&key) else {
            self.log_limits.insert(key, LogLimit { logged_at: now, suppressed: 0 });
            return Some(0);
        };
        if now < limit.logged_at.saturating_add(LOG_INTERVAL) {
            limit.suppressed = limit.suppressed.saturating_add(1);
            return None;
        }
        limit.logged_at = now;
        Some(std::mem::take(&mut limit.suppressed))
    }
}

impl Decider {
    /// Accepts a job that has not been accepted before, or returns the reason to reject it and the
    /// retry delay. Returns the wall clock time from which the job's deadlines count. With
    /// admission control switched off every job is accepted.
    pub(super) fn admit(
        &mut self,
        context: &Context<'_>,
        spec: &JobSpec,
    ) -> Result<u64, (&'static str, time::Duration)> {
        if !context.options.load.admission {
            return Ok(context.wall_ms);
        }
        let Some(queue) = context.declaration.queue(&spec.queue) else {
            return Ok(context.wall_ms);
        };
        let is_within_share = self.is_within_share(context, spec);
        // The excess of other accounts must not keep out work that is within its account's share.
        let waiting = if is_within_share {
            self.admission.within_share.len()
        } else {
            context.cell_state.live.len()
        };
        let forecast = self
            .forecast_job(context, spec, is_within_share)
            .map(|forecast| ForecastTimes { start: forecast.start, end: forecast.end });
        let submission = Submission {
            now: context.now,
            objective: ranking::objective(queue, spec),
            forecast,
            is_below_job_limit: waiting < context.options.max_waiting_jobs,
            work: self.work_of(queue, spec),
            default_retry_delay: context.options.retry_after,
        };
        let key = JobKey { job: ids::JobId::clone(&spec.id), account: spec.account.clone() };
        match self.admission.decisions.decide(&key, &spec.queue, &submission) {
            Decision::Accept { first_submitted, promised } => {
                if is_within_share {
                    self.admission.within_share.insert(ids::JobId::clone(&spec.id));
                }
                if let Some(promised) = promised {
                    let promised_ms = clock::millis(promised);
                    self.admission.promised_ms.insert(ids::JobId::clone(&spec.id), promised_ms);
                }
                let elapsed = context.now.saturating_sub(first_submitted);
                Ok(context.wall_ms.saturating_sub(clock::millis(elapsed)))
            }
            Decision::Reject { reason, retry_after, first_submitted } => {
                if let Some(suppressed) = self.admission.take_suppressed(context.now, spec) {
                    let until_ms =
                        |at: time::Duration| clock::millis(at.saturating_sub(context.now));
                    let elapsed = context.now.saturating_sub(first_submitted);
                    tracing::info!(queue = %spec.queue, account = spec.account.as_deref(),
                        reason = reason.as_str(), is_within_share, waiting, suppressed,
                        start_in_ms = forecast.map(|forecast| until_ms(forecast.start)),
                        end_in_ms = forecast.map(|forecast| until_ms(forecast.end)),
                        objective_ms = clock::millis(submission.objective),
                        first_submitted_ms_ago = clock::millis(elapsed),
                        retry_after_ms = clock::millis(retry_after),
                        "submissions are rejected by admission control");
                }
                Err((reason.as_str(), retry_after))
            }
        }
    }

    /// How long the job would take if it had the whole capacity of the queue's service to itself.
    fn work_of(&self, queue: &Queue, spec: &JobSpec) -> time::Duration {
        let mut capacity = Resources::ZERO;
        for worker in self.workers.values() {
            if worker.is_listed && worker.info.service == queue.service {
                capacity = capacity.plus(&worker.info.capacity);
            }
        }
        let mut work = time::Duration::ZERO;
        for step in &spec.steps {
            let tasks = u64::try_from(step.tasks).unwrap_or(u64::MAX);
            let share_ppm = step.need.dominant_share_ppm(&capacity).saturating_mul(tasks);
            let share_ppm = u32::try_from(share_ppm).unwrap_or(u32::MAX);
            work = work.saturating_add(step.estimate().saturating_mul(share_ppm) / PPM);
        }
        work
    }
}
