//! How fast workers are, learned from the run times of their tasks.
//!
//! Answers a cell whose workers differ, turn slow or stand still while they look healthy: steps
//! with little time are placed by what is learned here. A run time says little by itself, because
//! estimates are deviation by a factor that differs by queue, so it counts by how far it is from what the
//! queue's tasks usually take, and the less the more those spread.

use std::time;

use pier_core::ids;
use pier_core::map::Map;

/// How long a run time counts towards a worker's usual speed, as a time constant.
const LONG_TERM_DECAY: time::Duration = time::Duration::from_secs(15);
/// The same towards its recent speed, which counts if the worker is much slower than run_times:
/// workers turn slow and recover within seconds.
const SHORT_TERM_DECAY: time::Duration = time::Duration::from_secs(3);
/// The spread of speeds that is assumed before anything is known, as a standard deviation of the
/// logarithm.
const PRIOR_DEVIATION: f64 = 0.2;
/// The spread of a queue's run times against its estimates before any has ended.
const INITIAL_VARIANCE: f64 = 0.5;
/// The least variance: one run time never decides alone.
const MIN_VARIANCE: f64 = 0.04;
/// From so many run times on, a queue's older ones fade.
const QUEUE_WINDOW_RUNS: f64 = 200.0;
/// The most that one run time counts, as a factor.
const MAX_DEVIATION_FACTOR: f64 = 8.0;
/// A worker whose tasks stand still counts as that slow until they move.
const STALLED_SLOWDOWN: f64 = 1_000.0;
/// How long a worker counts as stalled after the last sign of it.
const STALL_VALIDITY: time::Duration = time::Duration::from_secs(4);

/// Classes of speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpeedClass {
    /// As fast as most.
    Normal,
    /// Slower by about a third.
    Slow,
    /// Much slower.
    VerySlow,
}

impl SpeedClass {
    const SLOW_FROM: f64 = 1.07;
    const VERY_SLOW_FROM: f64 = 1.6;

    /// The speed_class of a worker on which tasks take so many times as long as run_times.
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

/// The usual run times of a queue against its estimates, as logarithms.
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
        // The assumed variance counts as much as the first run times do.
        let share = 1.0 / (self.count + 4.0);
        self.variance += (deviation * deviation - self.variance) * share;
    }
}

/// The weighted sum of how far a worker's run times were off.
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

/// What is known of a worker.
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

/// The speeds of workers.
#[derive(Debug, Default)]
pub struct WorkerSpeeds {
    queues: Map<ids::QueueId, QueueRunTimes>,
    workers: Map<ids::WorkerId, WorkerSpeed>,
}

impl WorkerSpeeds {
    /// Notes that a task of the queue took `took` where it was estimated to take `estimate`.
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
        let (mean, variance) = (run_times.mean, run_times.variance);
        run_times.add(log_ratio);
        let speed = self.workers.entry(ids::WorkerId::clone(worker)).or_default();
        *speed = speed.decayed(now);
        speed.stalled_at = None;
        let deviation =
            (log_ratio - mean).clamp(-MAX_DEVIATION_FACTOR.ln(), MAX_DEVIATION_FACTOR.ln());
        let weight = 1.0 / variance.max(MIN_VARIANCE);
        speed.long_term.add(weight, deviation);
        speed.short_term.add(weight, deviation);
    }

    /// Notes that a task has stood still on the worker.
    pub fn mark_stalled(&mut self, now: time::Duration, worker: &ids::WorkerId) {
        self.workers.entry(ids::WorkerId::clone(worker)).or_default().stalled_at = Some(now);
    }

    /// Notes that a task on the worker goes on.
    pub fn clear_stall(&mut self, worker: &str) {
        if let Some(speed) = self.workers.get_mut(worker) {
            speed.stalled_at = None;
        }
    }

    /// How many times as long as usual tasks take on the worker.
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

    /// How long a task of the queue usually takes where it was estimated to take `estimate`.
    pub fn expected(&self, queue: &str, estimate: time::Duration) -> time::Duration {
        let mean = self.queues.get(queue).map_or(0.0, |run_times| run_times.mean);
        let seconds = estimate.as_secs_f64() * mean.exp();
        time::Duration::try_from_secs_f64(seconds).unwrap_or(estimate)
    }

    /// Forgets a worker that is gone or has begun another incarnation.
    pub fn forget(&mut self, worker: &str) {
        self.workers.remove(worker);
    }
}

fn log_ratio(took: time::Duration, estimate: time::Duration) -> Option<f64> {
    let ratio = took.as_secs_f64() / estimate.as_secs_f64();
    (ratio.is_finite() && ratio > 0.0).then(|| ratio.ln())
}
