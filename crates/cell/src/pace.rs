//! How fast workers are, learned from the run times of their tasks.
//!
//! Answers a cell whose workers differ, turn slow or stand still while they look healthy: steps
//! with little time are placed by what is learned here. A run time says little by itself, because
//! estimates are off by a factor that differs by queue, so it counts by how far it is from what the
//! queue's tasks usually take, and the less the more those spread.

use std::time;

use pier_core::ids;
use pier_core::map::Map;

/// How long a run time counts towards a worker's usual speed, as a time constant.
const LONG_MEMORY: time::Duration = time::Duration::from_secs(15);
/// The same towards its present speed, which counts if the worker is much slower than usual:
/// workers turn slow and recover within seconds.
const SHORT_MEMORY: time::Duration = time::Duration::from_secs(3);
/// The spread of speeds that is assumed before anything is known, as a standard deviation of the
/// logarithm.
const PRIOR_DEVIATION: f64 = 0.2;
/// The spread of a queue's run times against its estimates before any has ended.
const FIRST_VARIANCE: f64 = 0.5;
/// The least variance: one run time never decides alone.
const LEAST_VARIANCE: f64 = 0.04;
/// From so many run times on, a queue's older ones fade.
const QUEUE_WINDOW: f64 = 200.0;
/// The most that one run time counts, as a factor.
const MOST_FACTOR: f64 = 8.0;
/// A worker whose tasks stand still counts as that slow until they move.
const STALLED_SLOWNESS: f64 = 1_000.0;
/// How long a worker counts as stalled after the last sign of it.
const STALL_MEMORY: time::Duration = time::Duration::from_secs(4);

/// Classes of speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Band {
    /// As fast as most.
    Usual,
    /// Slower by about a third.
    Slow,
    /// Much slower.
    VerySlow,
}

impl Band {
    const SLOW_FROM: f64 = 1.07;
    const VERY_SLOW_FROM: f64 = 1.6;

    /// The band of a worker on which tasks take so many times as long as usual.
    pub fn of(slowness: f64) -> Self {
        if slowness < Self::SLOW_FROM {
            Self::Usual
        } else if slowness < Self::VERY_SLOW_FROM {
            Self::Slow
        } else {
            Self::VerySlow
        }
    }
}

/// The usual run times of a queue against its estimates, as logarithms.
#[derive(Debug, Clone, Copy)]
struct Usual {
    count: f64,
    mean: f64,
    variance: f64,
}

impl Default for Usual {
    fn default() -> Self {
        Self { count: 0.0, mean: 0.0, variance: FIRST_VARIANCE }
    }
}

impl Usual {
    fn add(&mut self, log_ratio: f64) {
        self.count = (self.count + 1.0).min(QUEUE_WINDOW);
        let share = 1.0 / self.count;
        let off = log_ratio - self.mean;
        self.mean += off * share;
        // The assumed variance counts as much as the first run times do.
        let share = 1.0 / (self.count + 4.0);
        self.variance += (off * off - self.variance) * share;
    }
}

/// The weighted sum of how far a worker's run times were off.
#[derive(Debug, Clone, Copy, Default)]
struct Evidence {
    weight: f64,
    sum: f64,
}

impl Evidence {
    fn faded(self, passed: time::Duration, memory: time::Duration) -> Self {
        let kept = (-passed.as_secs_f64() / memory.as_secs_f64()).exp();
        Self { weight: self.weight * kept, sum: self.sum * kept }
    }

    fn add(&mut self, weight: f64, off: f64) {
        self.weight += weight;
        self.sum += weight * off;
    }

    fn slowness(self) -> f64 {
        let prior_weight = 1.0 / (PRIOR_DEVIATION * PRIOR_DEVIATION);
        (self.sum / (self.weight + prior_weight)).exp()
    }
}

/// What is known of a worker.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    long: Evidence,
    short: Evidence,
    at: time::Duration,
    stalled_at: Option<time::Duration>,
}

impl Known {
    fn faded(self, now: time::Duration) -> Self {
        let passed = now.saturating_sub(self.at);
        Self {
            long: self.long.faded(passed, LONG_MEMORY),
            short: self.short.faded(passed, SHORT_MEMORY),
            at: now,
            stalled_at: self.stalled_at,
        }
    }
}

/// The speeds of workers.
#[derive(Debug, Default)]
pub struct Paces {
    queues: Map<ids::QueueId, Usual>,
    workers: Map<ids::WorkerId, Known>,
}

impl Paces {
    /// Notes that a task of the queue took `took` where it was estimated to take `estimate`.
    pub fn note_done(
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
        let usual = self.queues.entry(ids::QueueId::clone(queue)).or_default();
        let (mean, variance) = (usual.mean, usual.variance);
        usual.add(log_ratio);
        let known = self.workers.entry(ids::WorkerId::clone(worker)).or_default();
        *known = known.faded(now);
        known.stalled_at = None;
        let off = (log_ratio - mean).clamp(-MOST_FACTOR.ln(), MOST_FACTOR.ln());
        let weight = 1.0 / variance.max(LEAST_VARIANCE);
        known.long.add(weight, off);
        known.short.add(weight, off);
    }

    /// Notes that a task has stood still on the worker.
    pub fn note_stalled(&mut self, now: time::Duration, worker: &ids::WorkerId) {
        self.workers.entry(ids::WorkerId::clone(worker)).or_default().stalled_at = Some(now);
    }

    /// Notes that a task on the worker goes on.
    pub fn note_moving(&mut self, worker: &str) {
        if let Some(known) = self.workers.get_mut(worker) {
            known.stalled_at = None;
        }
    }

    /// How many times as long as usual tasks take on the worker.
    pub fn slowness(&self, now: time::Duration, worker: &str) -> f64 {
        let Some(known) = self.workers.get(worker) else {
            return 1.0;
        };
        if known.stalled_at.is_some_and(|at| now < at.saturating_add(STALL_MEMORY)) {
            return STALLED_SLOWNESS;
        }
        let known = known.faded(now);
        let present = known.short.slowness();
        if Band::of(present) == Band::VerySlow { present } else { known.long.slowness() }
    }

    /// How long a task of the queue usually takes where it was estimated to take `estimate`.
    pub fn expected(&self, queue: &str, estimate: time::Duration) -> time::Duration {
        let mean = self.queues.get(queue).map_or(0.0, |usual| usual.mean);
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
