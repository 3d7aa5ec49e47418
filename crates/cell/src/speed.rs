//! Estimates how fast workers are from the run times of their tasks.
//!
//! Workers of a cell may differ in speed, become slow, or stall while they appear healthy. Steps
//! with little time are placed by these estimates. A single run time says little, because estimates
//! of run times are off by a factor that differs by queue. It is therefore compared with the usual
//! ratio of run time to estimate in the queue, and has less weight the more this ratio varies.

use std::time;

use pier_core::ids;
use pier_core::map::Map;
use pier_load::run_times::RunTimes;

/// The time constant with which run times decay in a worker's long-term speed.
const LONG_TERM_DECAY: time::Duration = time::Duration::from_secs(15);
/// The time constant with which run times decay in a worker's short-term speed, which is used if
/// the worker is currently very slow: workers become slow and recover within seconds.
const SHORT_TERM_DECAY: time::Duration = time::Duration::from_secs(3);
/// The assumed prior standard deviation of the logarithm of worker speeds.
const PRIOR_DEVIATION: f64 = 0.2;
/// The initial variance of the logarithm of a queue's ratio of run time to estimate.
const INITIAL_VARIANCE: f64 = 0.5;
/// The minimum variance, so that a single run time never decides alone.
const MIN_VARIANCE: f64 = 0.04;
/// The number of run times after which the older ones of a queue decay.
const QUEUE_WINDOW_RUNS: f64 = 200.0;
/// The maximum factor by which a single run time may deviate; larger deviations are clamped.
const MAX_DEVIATION_FACTOR: f64 = 8.0;
/// The slowdown of a worker whose tasks are stalled, until they make progress.
const STALLED_SLOWDOWN: f64 = 1_000.0;
/// How long a worker counts as stalled after the last sign of a stall.
const STALL_VALIDITY: time::Duration = time::Duration::from_secs(4);

/// Speed classes of workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpeedClass {
    /// As fast as most workers.
    Normal,
    /// About a third slower.
    Slow,
    /// Much slower.
    VerySlow,
}

impl SpeedClass {
    const SLOW_FROM: f64 = 1.07;
    const VERY_SLOW_FROM: f64 = 1.6;

    /// The class of a worker with this slowdown.
    pub fn of(slowdown: f64) -> Self {
        if slowdown < Self::SLOW_FROM {
            Self::Normal
        } else if slowdown < Self::VERY_SLOW_FROM {
            Self::Slow
        } else {
            Self::VerySlow
        }
    }
}

/// The distribution of the ratio of run time to estimate in a queue, in logarithms.
#[derive(Debug, Clone, Copy)]
struct QueueRunTimes {
    count: f64,
    mean: f64,
    variance: f64,
}

impl Default for QueueRunTimes {
    fn default() -> Self {
        Self { count: 0.0, mean: 0.0, variance: INITIAL_VARIANCE }
    }
}

impl QueueRunTimes {
    fn add(&mut self, log_ratio: f64) {
        self.count = (self.count + 1.0).min(QUEUE_WINDOW_RUNS);
        let share = 1.0 / self.count;
        let deviation = log_ratio - self.mean;
        self.mean += deviation * share;
        // The initial variance has the weight of the first few run times.
        let share = 1.0 / (self.count + 4.0);
        self.variance += (deviation * deviation - self.variance) * share;
    }
}

/// A decaying weighted sum of the deviations of a worker's run times.
#[derive(Debug, Clone, Copy, Default)]
struct DecayedMean {
    weight: f64,
    sum: f64,
}

impl DecayedMean {
    fn decayed(self, passed: time::Duration, time_constant: time::Duration) -> Self {
        let factor = (-passed.as_secs_f64() / time_constant.as_secs_f64()).exp();
        Self { weight: self.weight * factor, sum: self.sum * factor }
    }

    fn add(&mut self, weight: f64, deviation: f64) {
        self.weight += weight;
        self.sum += weight * deviation;
    }

    fn slowdown(self) -> f64 {
        let prior_weight = 1.0 / (PRIOR_DEVIATION * PRIOR_DEVIATION);
        (self.sum / (self.weight + prior_weight)).exp()
    }
}

/// The estimated speed of a worker.
#[derive(Debug, Clone, Copy, Default)]
struct WorkerSpeed {
    long_term: DecayedMean,
    short_term: DecayedMean,
    updated_at: time::Duration,
    stalled_at: Option<time::Duration>,
}

impl WorkerSpeed {
    fn decayed(self, now: time::Duration) -> Self {
        let passed = now.saturating_sub(self.updated_at);
        Self {
            long_term: self.long_term.decayed(passed, LONG_TERM_DECAY),
            short_term: self.short_term.decayed(passed, SHORT_TERM_DECAY),
            updated_at: now,
            stalled_at: self.stalled_at,
        }
    }
}

/// What run times are compared with.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RunTimeModel {
    /// The mean ratio of run time to estimate in the queue. Used while no part of load control is
    /// in use.
    #[default]
    MeanRatio,
    /// The run time as a function of the estimate, see [`RunTimes`].
    Learned,
}

/// The estimated speeds of all workers.
#[derive(Debug, Default)]
pub struct WorkerSpeeds {
    model: RunTimeModel,
    queues: Map<ids::QueueId, QueueRunTimes>,
    run_times: RunTimes,
    workers: Map<ids::WorkerId, WorkerSpeed>,
}

impl WorkerSpeeds {
    /// Creates the speeds with run times that were learned before.
    pub fn new(model: RunTimeModel, run_times: RunTimes) -> Self {
        Self { model, run_times, ..Self::default() }
    }

    /// Changes what run times are compared with.
    pub fn set_model(&mut self, model: RunTimeModel) {
        self.model = model;
    }

    /// The learned run times.
    pub fn run_times(&self) -> &RunTimes {
        &self.run_times
    }

    /// Records the run time of a gang. It says nothing about single workers.
    pub fn record_gang_run_time(
        &mut self,
        queue: &ids::QueueId,
        took: time::Duration,
        estimate: time::Duration,
    ) {
        if self.model == RunTimeModel::Learned {
            self.run_times.record(queue, estimate, took);
        }
    }

    /// Records that a task of the queue ran for `took` with an estimate of `estimate`.
    pub fn record_run_time(
        &mut self,
        now: time::Duration,
        queue: &ids::QueueId,
        worker: &ids::WorkerId,
        took: time::Duration,
        estimate: time::Duration,
    ) {
        let Some(log_ratio) = log_ratio(took, estimate) else {
            return;
        };
        let run_times = self.queues.entry(ids::QueueId::clone(queue)).or_default();
        let (mut deviation, mut variance) = (log_ratio - run_times.mean, run_times.variance);
        run_times.add(log_ratio);
        if self.model == RunTimeModel::Learned {
            (deviation, variance) = self.run_times.deviation(queue, estimate, took);
            self.run_times.record(queue, estimate, took);
        }
        let speed = self.workers.entry(ids::WorkerId::clone(worker)).or_default();
        *speed = speed.decayed(now);
        speed.stalled_at = None;
        let deviation = deviation.clamp(-MAX_DEVIATION_FACTOR.ln(), MAX_DEVIATION_FACTOR.ln());
        let weight = 1.0 / variance.max(MIN_VARIANCE);
        speed.long_term.add(weight, deviation);
        speed.short_term.add(weight, deviation);
    }

    /// Records that a task is stalled on the worker.
    pub fn mark_stalled(&mut self, now: time::Duration, worker: &ids::WorkerId) {
        self.workers.entry(ids::WorkerId::clone(worker)).or_default().stalled_at = Some(now);
    }

    /// Records that a task on the worker makes progress.
    pub fn clear_stall(&mut self, worker: &str) {
        if let Some(speed) = self.workers.get_mut(worker) {
            speed.stalled_at = None;
        }
    }

    /// The factor by which tasks run longer on the worker than usual.
    pub fn slowdown(&self, now: time::Duration, worker: &str) -> f64 {
        let Some(speed) = self.workers.get(worker) else {
            return 1.0;
        };
        if speed.stalled_at.is_some_and(|at| now < at.saturating_add(STALL_VALIDITY)) {
            return STALLED_SLOWDOWN;
        }
        let speed = speed.decayed(now);
        let recent = speed.short_term.slowdown();
        if SpeedClass::of(recent) == SpeedClass::VerySlow {
            recent
        } else {
            speed.long_term.slowdown()
        }
    }

    /// The expected run time of a task of the queue with an estimate of `estimate`.
    pub fn expected(&self, queue: &str, estimate: time::Duration) -> time::Duration {
        if self.model == RunTimeModel::Learned {
            return self.run_times.expected(queue, estimate);
        }
        let mean = self.queues.get(queue).map_or(0.0, |run_times| run_times.mean);
        let seconds = estimate.as_secs_f64() * mean.exp();
        time::Duration::try_from_secs_f64(seconds).unwrap_or(estimate)
    }

    /// Removes a worker that has left or has a new incarnation.
    pub fn forget(&mut self, worker: &str) {
        self.workers.remove(worker);
    }
}

fn log_ratio(took: time::Duration, estimate: time::Duration) -> Option<f64> {
    let ratio = took.as_secs_f64() / estimate.as_secs_f64();
    (ratio.is_finite() && ratio > 0.0).then(|| ratio.ln())
}
