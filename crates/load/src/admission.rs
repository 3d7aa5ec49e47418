//! Decides which submissions are accepted, and when callers that are sent away may come back.
//!
//! A job is rejected if its result would be of no use by the time it is complete, or if too many
//! jobs wait. Work that is accepted beyond that takes capacity from work that can still be in time.

use std::collections::BTreeMap;
use std::sync;
use std::time;

use pier_core::ids;
use pier_core::map::Map;

/// A result that takes longer than this multiple of the objective is of no use to the caller.
pub const USEFUL_OBJECTIVES: u32 = 3;
/// The number of rejected jobs that are remembered.
const MAX_REJECTED_JOBS: usize = 4_096;
/// `Retry-After` is in whole seconds, so no delay is shorter.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);
/// The shortest distance between the promised times of two callers. It keeps the retries of very
/// small jobs apart.
const MIN_RETRY_STEP: time::Duration = time::Duration::from_millis(1);

/// Identifies a job across submissions. The account is part of it, so that a job id that another
/// account chose gives no advantage.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobKey {
    /// The job id that the caller chose.
    pub job: ids::JobId,
    /// The account that submits the job; none on an open queue.
    pub account: Option<sync::Arc<str>>,
}

/// When a job would start and end if it was accepted now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForecastTimes {
    /// The first start.
    pub start: time::Duration,
    /// The end of the last step.
    pub end: time::Duration,
}

/// What a decision on a submission depends on. Times count from the start of the process.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The current time.
    pub now: time::Duration,
    /// The time from the first submission to the end of the job that the caller needs.
    pub objective: time::Duration,
    /// The forecast for the job, if there is one.
    pub forecast: Option<ForecastTimes>,
    /// Whether fewer jobs wait than the limit that applies to the job.
    pub is_below_job_limit: bool,
    /// How long the job would take if it had the whole capacity to itself. Retries are spread by
    /// this.
    pub work: time::Duration,
    /// The retry delay for a job without a forecast.
    pub default_retry_delay: time::Duration,
}

/// Why a submission is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionReason {
    /// The result would come too late to be of use.
    CannotEndInTime,
    /// The same, and no retry is of use either.
    NeverInTime,
    /// The limit of waiting jobs is reached.
    TooManyJobs,
}

impl RejectionReason {
    /// The reason as callers and log readers see it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::CannotEndInTime => "the job cannot end in time",
            Self::NeverInTime => "the job cannot end in time, also not later",
            Self::TooManyJobs => "too many jobs are waiting",
        }
    }
}

/// The decision on a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The job is accepted.
    Accept {
        /// When the caller first submitted the job, as far as it is known.
        first_submitted: time::Duration,
        /// The promised time at which the caller has returned, if it was rejected before.
        promised: Option<time::Duration>,
    },
    /// The job is rejected.
    Reject {
        /// Why.
        reason: RejectionReason,
        /// After which delay a retry may succeed, in whole seconds.
        retry_after: time::Duration,
        /// When the caller first submitted the job, as far as it is known.
        first_submitted: time::Duration,
    },
}

/// A rejected job.
#[derive(Debug, Clone, Copy)]
struct RejectedJob {
    /// None if no retry within the job's useful time was possible: the next submission counts as the
    /// first one.
    first_submitted: Option<time::Duration>,
    /// The time at which the caller was told to return.
    promised: time::Duration,
    reason: RejectionReason,
    /// The position in the order of rejections.
    sequence: u64,
}

/// The rejected jobs that are remembered, up to [`MAX_REJECTED_JOBS`]. The job whose last rejection
/// is the oldest is evicted first.
#[derive(Debug, Default)]
struct RejectedJobs {
    jobs: BTreeMap<JobKey, RejectedJob>,
    order: BTreeMap<u64, JobKey>,
    next_sequence: u64,
}

impl RejectedJobs {
    /// Adds a job, or replaces its earlier rejection.
    fn insert(
        &mut self,
        key: &JobKey,
        reason: RejectionReason,
        first_submitted: Option<time::Duration>,
        promised: time::Duration,
    ) {
        self.remove(key);
        let sequence = self.next_sequence;
        self.next_sequence = self.next_sequence.saturating_add(1);
        self.order.insert(sequence, key.clone());
        let job = RejectedJob { first_submitted, promised, reason, sequence };
        self.jobs.insert(key.clone(), job);
        if self.jobs.len() > MAX_REJECTED_JOBS
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.jobs.remove(&oldest);
        }
    }

    fn remove(&mut self, key: &JobKey) {
        if let Some(job) = self.jobs.remove(key) {
            self.order.remove(&job.sequence);
        }
    }
}

/// Decides on submissions and remembers the rejected ones.
#[derive(Debug, Default)]
pub struct Admission {
    rejected: RejectedJobs,
    /// For each queue, the promised time of the last rejected job plus the job's work.
    next_retry: Map<ids::QueueId, time::Duration>,
}

impl Admission {
    /// Decides on a submission of a job that has not been accepted before.
    pub fn decide(
        &mut self,
        key: &JobKey,
        queue: &ids::QueueId,
        submission: &Submission,
    ) -> Decision {
        let now = submission.now;
        let earlier = self.rejected.jobs.get(key).copied();
        let first_submitted = earlier.and_then(|job| job.first_submitted).unwrap_or(now);
        if let Some(job) = earlier
            && now < job.promised
        {
            // An earlier attempt may arrive after a later one that was rejected. If it was accepted,
            // a job would run that the caller was told is rejected.
            let retry_after = whole_seconds(job.promised.saturating_sub(now));
            return Decision::Reject { reason: job.reason, retry_after, first_submitted };
        }
        let useful_until =
            first_submitted.saturating_add(submission.objective.saturating_mul(USEFUL_OBJECTIVES));
        let is_useful = submission.forecast.is_none_or(|forecast| forecast.end <= useful_until);
        if is_useful && submission.is_below_job_limit {
            self.rejected.remove(key);
            let returned = earlier.filter(|job| job.first_submitted.is_some());
            return Decision::Accept {
                first_submitted,
                promised: returned.map(|job| job.promised),
            };
        }
        let reason =
            if is_useful { RejectionReason::TooManyJobs } else { RejectionReason::CannotEndInTime };
        let fallback = now.saturating_add(submission.default_retry_delay);
        let (start, takes) = match submission.forecast {
            Some(forecast) => (forecast.start, forecast.end.saturating_sub(forecast.start)),
            None => (fallback, time::Duration::ZERO),
        };
        let last_useful_start = useful_until.saturating_sub(takes);
        if last_useful_start <= now {
            // Once the backlog is served, the submission counts as a new one.
            let latest = start.saturating_add(start.saturating_sub(now));
            let retry_at = self.choose_retry(queue, submission.work, start, latest);
            let reason = RejectionReason::NeverInTime;
            self.rejected.insert(key, reason, None, retry_at);
            let retry_after = whole_seconds(retry_at.saturating_sub(now));
            return Decision::Reject { reason, retry_after, first_submitted };
        }
        // `Retry-After` is rounded up to whole seconds and should not exceed the useful time by that.
        let useful_for = last_useful_start.saturating_sub(now);
        let whole = time::Duration::from_secs(useful_for.as_secs());
        let latest_delay = if whole.is_zero() { useful_for } else { whole };
        let latest = now.saturating_add(latest_delay);
        // Capacity for the job becomes free from its forecast start on. If that is too late, the
        // job can be in time only if the backlog shrinks faster than forecast. It is then to return
        // in the later half of the time in which a retry is of use.
        let earliest = start.min(latest.saturating_sub(latest_delay / 2));
        let promised = self.choose_retry(queue, submission.work, earliest, latest);
        self.rejected.insert(key, reason, Some(first_submitted), promised);
        let retry_after = whole_seconds(promised.saturating_sub(now));
        Decision::Reject { reason, retry_after, first_submitted }
    }

    /// Chooses the next retry time of the queue from `earliest` to `latest`. Each one follows the
    /// one before by the work of that job. After `latest` they begin at `earliest` again.
    fn choose_retry(
        &mut self,
        queue: &ids::QueueId,
        work: time::Duration,
        earliest: time::Duration,
        latest: time::Duration,
    ) -> time::Duration {
        let next = self.next_retry.entry(ids::QueueId::clone(queue)).or_default();
        let retry_at = if (earliest..=latest).contains(next) { *next } else { earliest };
        *next = retry_at.saturating_add(work.max(MIN_RETRY_STEP));
        retry_at
    }
}

/// Rounds up to whole seconds, to at least [`MIN_RETRY_DELAY`].
fn whole_seconds(delay: time::Duration) -> time::Duration {
    let has_fraction = u64::from(delay.subsec_nanos() > 0);
    time::Duration::from_secs(delay.as_secs().saturating_add(has_fraction)).max(MIN_RETRY_DELAY)
}
