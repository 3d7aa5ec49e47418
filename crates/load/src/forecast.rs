//! Forecasts when a waiting step could start.

use std::time;

use pier_core::resources::Resources;

/// The workers of a service as one pool.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    /// The total resources of the workers that accept work.
    pub capacity: Resources,
    /// The part of it that is free.
    pub free: Resources,
    /// The expected ends of runs, with the resources that they free, in any order.
    pub ends: Vec<(time::Duration, Resources)>,
}

/// A step that waits for room.
#[derive(Debug, Clone)]
pub struct WaitingWork {
    /// The resources that each task needs.
    pub need: Resources,
    /// The number of tasks that wait.
    pub tasks: usize,
    /// Whether all tasks have to start together.
    pub is_gang: bool,
    /// The expected run time of a task.
    pub run_time: time::Duration,
}

/// The forecast of one scheduling pass.
#[derive(Debug, Clone, Default)]
pub struct Forecast {
    now: time::Duration,
}

impl Forecast {
    /// Forecasts the starts of `waiting`, which is in order of rank.
    pub fn new(now: time::Duration, _pool: &Pool, _waiting: &[WaitingWork]) -> Self {
        Self { now }
    }

    /// When the work could start if it ranked behind the first `position` waiting steps.
    pub fn start_after(&self, _position: usize, _work: &WaitingWork) -> time::Duration {
        self.now
    }
}
