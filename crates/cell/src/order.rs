//! In which order waiting steps are placed.
//!
//! Answers a cell that is asked for more than it has, for seconds or for longer. Served oldest
//! first, every job would then wait until it is late. Instead, jobs that can still meet their
//! objective go first, then those that are late, then those that nobody counts on any more. What an
//! account submits beyond its weight comes after what the others submit.

use std::time;

use pier_core::clock;

use crate::declaration::{Account, Queue};
use crate::job::JobSpec;
use crate::place::Leeway;

/// An answer after so many times the objective is worth nothing to its caller.
const WORTHLESS_AFTER: u32 = 3;
/// The part of the objective, in percent, that is kept for the way of the orders and answers and for
/// estimates that are too short.
const MARGIN_PERCENT: u32 = 8;
/// Workers that take less than so many times as long as usual are good enough for any step: what is
/// learned of speeds is rough.
const LEAST_TOLERANCE: f64 = 1.6;
/// A step whose tasks may take so many times as long as usual leaves fast workers to others.
const SPARING_TOLERANCE: f64 = 2.0;
/// An account may submit so many seconds' worth of its weight at once.
const SHARE_BURST_S: f64 = 2.0;

/// What the job's submitter can still expect. Earlier kinds go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It can end within its objective.
    InTime,
    /// It can end late.
    Late,
    /// It can end late, and its account has submitted more than its share.
    BeyondShare,
    /// It is too late to be of use; it runs when there is room.
    Overdue,
}

/// The place of a waiting step. Smaller ones go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// What its submitter can still expect.
    pub standing: Standing,
    /// The queue's priority; zero is the most urgent.
    pub priority: u32,
    /// Milliseconds since the Unix epoch by which the rest must start to end within the objective.
    pub start_by_ms: u64,
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
    let margin = objective * MARGIN_PERCENT / 100;
    let latest = |total: time::Duration| {
        let ahead = total.saturating_sub(remaining).saturating_sub(margin);
        accepted_wall_ms.saturating_add(clock::millis(ahead))
    };
    let start_by_ms = latest(objective);
    let standing = if wall_ms > latest(objective * WORTHLESS_AFTER) {
        Standing::Overdue
    } else if is_beyond_share {
        Standing::BeyondShare
    } else if wall_ms > start_by_ms {
        Standing::Late
    } else {
        Standing::InTime
    };
    Rank { standing, priority: queue.priority, start_by_ms }
}

/// How much time the step has, from its rank. `remaining` is the longest chain that is left from the
/// step on, `remote_slowdown` how many times as long tasks take away from their data.
pub fn leeway(rank: Rank, wall_ms: u64, remaining: time::Duration, remote_slowdown: f64) -> Leeway {
    let any = Leeway { spares_fast: true, split_slowness: remote_slowdown, ..Leeway::ANY };
    match rank.standing {
        Standing::InTime => {}
        Standing::Late | Standing::BeyondShare => {
            return Leeway { worst_slowness: f64::from(WORTHLESS_AFTER), ..any };
        }
        Standing::Overdue => return any,
    }
    let spare = time::Duration::from_millis(rank.start_by_ms.saturating_sub(wall_ms));
    let tolerance = 1.0 + spare.as_secs_f64() / remaining.as_secs_f64();
    if !tolerance.is_finite() {
        return any;
    }
    Leeway {
        worst_slowness: tolerance.max(LEAST_TOLERANCE),
        spares_fast: tolerance >= SPARING_TOLERANCE,
        split_slowness: remote_slowdown,
    }
}

/// By when the job is to end, counted from its submission.
pub fn objective(queue: &Queue, spec: &JobSpec) -> time::Duration {
    let slack = queue.slack_factor.max(1.0);
    let stretched = spec.longest_chain().as_secs_f64() * slack;
    let stretched = time::Duration::try_from_secs_f64(stretched).unwrap_or(time::Duration::MAX);
    let advice = queue.advice.map_or(time::Duration::ZERO, |terms| terms.base);
    let steps = u32::try_from(spec.steps.len()).unwrap_or(u32::MAX);
    stretched.saturating_add(queue.target_latency).saturating_add(advice.saturating_mul(steps))
}

/// How much of its share an account has used lately: its weight is the jobs that it may submit in a
/// second.
#[derive(Debug, Clone, Copy, Default)]
pub struct ShareUse {
    used: f64,
    at: time::Duration,
}

impl ShareUse {
    /// Counts a submission. Returns whether it is beyond the account's share.
    pub fn count(&mut self, now: time::Duration, account: &Account) -> bool {
        let rate = f64::from(account.weight.max(1));
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        self.used = (self.used - passed * rate).max(0.0);
        if self.used + 1.0 > rate * SHARE_BURST_S {
            return true;
        }
        self.used += 1.0;
        false
    }
}
