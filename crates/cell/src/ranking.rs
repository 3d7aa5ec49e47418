//! The order in which waiting steps are placed.
//!
//! This covers overload that lasts for seconds or longer. If the oldest step were always placed
//! first, every job would wait until it is late. Instead, jobs that can still meet their objective
//! are placed first, then late jobs, then jobs whose result is probably of no use any more. Jobs
//! that an account submits beyond its weight come after late jobs of other accounts.

use std::time;

use pier_core::clock;

use crate::declaration::{Account, Queue};
use crate::job::JobSpec;
use crate::place::SpeedTolerance;

/// The longest objective that is told apart. It keeps arithmetic on estimates, which callers choose
/// freely, within the range of [`time::Duration`].
const MAX_OBJECTIVE: time::Duration = time::Duration::from_secs(100 * 365 * 24 * 60 * 60);
/// A result that takes longer than this multiple of the objective is worthless to the caller.
pub(crate) const EXPIRED_AFTER_OBJECTIVES: u32 = pier_load::admission::USEFUL_OBJECTIVES;
/// The part of the objective, in percent, that is set aside for the latency of requests and
/// responses and for run time estimates that are too short.
const DEADLINE_MARGIN_PERCENT: u32 = 8;
/// The smallest slowdown limit of a step that is on time. Workers below it are fast enough for any
/// step, because learned speeds are only approximate.
const MIN_SLOWDOWN_LIMIT: f64 = 1.6;
/// A step that tolerates at least this slowdown leaves fast workers to other steps.
const AVOID_FAST_SLOWDOWN_LIMIT: f64 = 2.0;
/// The maximum burst of submissions of an account, in seconds of its weight.
const SUBMISSION_BURST_SECONDS: f64 = 2.0;

/// Whether the job can still meet its objective. Lower values are placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineStatus {
    /// The job can finish within its objective.
    OnTime,
    /// The job will finish late.
    Late,
    /// The job may finish late because its account has more than its share.
    BeyondShare,
    /// The job is too late to be useful. It runs when resources are free.
    Expired,
}

/// [`Rank::promised_ms`] of a job that was not rejected before.
pub const NOT_PROMISED: u64 = u64::MAX;

/// The rank of a waiting step. Lower ranks are placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the job can still meet its objective.
    pub deadline_status: DeadlineStatus,
    /// The priority of the queue. Zero is the most urgent.
    pub priority: u32,
    /// When the caller was to submit the job again, in milliseconds since the start of the process,
    /// if the job was rejected before. [`NOT_PROMISED`] for new jobs, which come after these.
    pub promised_ms: u64,
    /// The latest start time of the remaining work, in milliseconds since the Unix epoch, for the
    /// job to finish within its objective.
    pub latest_start_ms: u64,
}

/// The rank of a step of a job. `remaining` is the critical path of the job from this step on.
pub fn rank(
    queue: &Queue,
    spec: &JobSpec,
    accepted_wall_ms: u64,
    wall_ms: u64,
    remaining: time::Duration,
    is_beyond_share: bool,
) -> Rank {
    let objective = objective(queue, spec);
    let margin = objective * DEADLINE_MARGIN_PERCENT / 100;
    let latest_start = |total: time::Duration| {
        let latest = total.saturating_sub(remaining).saturating_sub(margin);
        accepted_wall_ms.saturating_add(clock::millis(latest))
    };
    let latest_start_ms = latest_start(objective);
    let deadline_status = if wall_ms > latest_start(objective * EXPIRED_AFTER_OBJECTIVES) {
        DeadlineStatus::Expired
    } else if is_beyond_share {
        DeadlineStatus::BeyondShare
    } else if wall_ms > latest_start_ms {
        DeadlineStatus::Late
    } else {
        DeadlineStatus::OnTime
    };
    Rank { deadline_status, priority: queue.priority, promised_ms: NOT_PROMISED, latest_start_ms }
}

/// The time from the submission of the job after which its result is of no use any more.
pub fn expires_after(queue: &Queue, spec: &JobSpec) -> time::Duration {
    objective(queue, spec).saturating_mul(EXPIRED_AFTER_OBJECTIVES)
}

/// The slowdown that the step tolerates, derived from its rank. `remaining` is the critical path of
/// the job from this step on, `remote_slowdown` the slowdown of tasks on another rack than their
/// data.
pub fn speed_tolerance(
    rank: Rank,
    wall_ms: u64,
    remaining: time::Duration,
    remote_slowdown: f64,
) -> SpeedTolerance {
    let tolerant = SpeedTolerance {
        avoids_fast_workers: true,
        cross_rack_slowdown: remote_slowdown,
        ..SpeedTolerance::ANY
    };
    match rank.deadline_status {
        DeadlineStatus::OnTime => {}
        DeadlineStatus::Late | DeadlineStatus::BeyondShare => {
            return SpeedTolerance {
                max_slowdown: f64::from(EXPIRED_AFTER_OBJECTIVES),
                ..tolerant
            };
        }
        DeadlineStatus::Expired => return tolerant,
    }
    let spare = time::Duration::from_millis(rank.latest_start_ms.saturating_sub(wall_ms));
    let tolerance = 1.0 + spare.as_secs_f64() / remaining.as_secs_f64();
    if !tolerance.is_finite() {
        return tolerant;
    }
    SpeedTolerance {
        max_slowdown: tolerance.max(MIN_SLOWDOWN_LIMIT),
        avoids_fast_workers: tolerance >= AVOID_FAST_SLOWDOWN_LIMIT,
        cross_rack_slowdown: remote_slowdown,
    }
}

/// The target time from the submission of the job to its end.
pub fn objective(queue: &Queue, spec: &JobSpec) -> time::Duration {
    let slack = queue.slack_factor.max(1.0);
    let scaled = spec.critical_path().as_secs_f64() * slack;
    let scaled = time::Duration::try_from_secs_f64(scaled).unwrap_or(time::Duration::MAX);
    let advice = queue.advice.map_or(time::Duration::ZERO, |terms| terms.base);
    let steps = u32::try_from(spec.steps.len()).unwrap_or(u32::MAX);
    scaled
        .saturating_add(queue.target_latency)
        .saturating_add(advice.saturating_mul(steps))
        .min(MAX_OBJECTIVE)
}

/// A leaky bucket that measures an account's submissions against its share. The weight of the
/// account is the number of jobs that it may submit per second.
#[derive(Debug, Clone, Copy, Default)]
pub struct SubmissionBucket {
    level: f64,
    updated_at: time::Duration,
}

impl SubmissionBucket {
    /// Records a submission. Returns whether it exceeds the account's share.
    pub fn record_submission(&mut self, now: time::Duration, account: &Account) -> bool {
        let rate = f64::from(account.weight.max(1));
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.level = (self.level - passed * rate).max(0.0);
        if self.level + 1.0 > rate * SUBMISSION_BURST_SECONDS {
            return true;
        }
        self.level += 1.0;
        false
    }
}
