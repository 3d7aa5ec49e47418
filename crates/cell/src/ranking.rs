//! In which order waiting steps are placed.
//!
//! Answers a cell that is asked for more than it has, for seconds or for longer. Served oldest
//! first, every job would then wait until it is late. Instead, jobs that can still meet their
//! objective go first, then those that are late, then those that nobody counts on any more. What an
//! account submits beyond its weight comes after what the others submit.

use std::time;

use pier_core::clock;

use crate::directory::{Account, Queue};
use crate::job::JobSpec;
use crate::place::SpeedTolerance;

/// An answer after so many times the objective is worth nothing to its caller.
const EXPIRED_AFTER_OBJECTIVES: u32 = 3;
/// The part of the objective, in percent, that is kept for the way of the orders and answers and for
/// estimates that are too short.
const DEADLINE_MARGIN_PERCENT: u32 = 8;
/// Workers that take less than so many times as long as usual are good enough for any step: what is
/// learned of speeds is rough.
const MIN_SLOWDOWN_LIMIT: f64 = 1.6;
/// A step whose tasks may take so many times as long as usual leaves fast workers to others.
const AVOID_FAST_SLOWDOWN_LIMIT: f64 = 2.0;
/// An account may submit so many seconds' worth of its weight at once.
const SUBMISSION_BURST_SECONDS: f64 = 2.0;

/// What the job's submitter can still expect. Earlier kinds go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineStatus {
    /// It can end within its objective.
    OnTime,
    /// It can end late.
    Late,
    /// It can end late, and its account has submitted more than its share.
    BeyondShare,
    /// It is too late to be of use; it runs when there is room.
    Expired,
}

/// The place of a waiting step. Smaller ones go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// What its submitter can still expect.
    pub deadline_status: DeadlineStatus,
    /// The queue's priority; zero is the most urgent.
    pub priority: u32,
    /// Milliseconds since the Unix epoch by which the rest must start to end within the objective.
    pub latest_start_ms: u64,
}

/// The rank of a job's step. `remaining` is the longest chain that is left from the step on.
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
        let ahead = total.saturating_sub(remaining).saturating_sub(margin);
        accepted_wall_ms.saturating_add(clock::millis(ahead))
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
    Rank { deadline_status, priority: queue.priority, latest_start_ms }
}

/// How much time the step has, from its rank. `remaining` is the longest chain that is left from the
/// step on, `remote_factor` how many times as long tasks take away from their data.
pub fn speed_tolerance(
    rank: Rank,
    wall_ms: u64,
    remaining: time::Duration,
    remote_factor: f64,
) -> SpeedTolerance {
    let any = SpeedTolerance {
        avoids_fast_workers: true,
        cross_rack_slowdown: remote_factor,
        ..SpeedTolerance::ANY
    };
    match rank.deadline_status {
        DeadlineStatus::OnTime => {}
        DeadlineStatus::Late | DeadlineStatus::BeyondShare => {
            return SpeedTolerance { max_slowdown: f64::from(EXPIRED_AFTER_OBJECTIVES), ..any };
        }
        DeadlineStatus::Expired => return any,
    }
    let spare = time::Duration::from_millis(rank.latest_start_ms.saturating_sub(wall_ms));
    let tolerance = 1.0 + spare.as_secs_f64() / remaining.as_secs_f64();
    if !tolerance.is_finite() {
        return any;
    }
    SpeedTolerance {
        max_slowdown: tolerance.max(MIN_SLOWDOWN_LIMIT),
        avoids_fast_workers: tolerance >= AVOID_FAST_SLOWDOWN_LIMIT,
        cross_rack_slowdown: remote_factor,
    }
}

/// By when the job is to end, counted from its submission.
pub fn objective(queue: &Queue, spec: &JobSpec) -> time::Duration {
    let slack = queue.slack_factor.max(1.0);
    let stretched = spec.critical_path().as_secs_f64() * slack;
    let stretched = time::Duration::try_from_secs_f64(stretched).unwrap_or(time::Duration::MAX);
    let advice = queue.advice.map_or(time::Duration::ZERO, |terms| terms.base);
    let steps = u32::try_from(spec.steps.len()).unwrap_or(u32::MAX);
    stretched.saturating_add(queue.target_latency).saturating_add(advice.saturating_mul(steps))
}

/// How much of its share an account has used lately: its weight is the jobs that it may submit in a
/// second.
#[derive(Debug, Clone, Copy, Default)]
pub struct SubmissionBucket {
    level: f64,
    updated_at: time::Duration,
}

impl SubmissionBucket {
    /// Counts a submission. Returns whether it is beyond the account's share.
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
