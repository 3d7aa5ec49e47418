//! Learns how long tasks of a queue run, given the callers' estimates.
//!
//! Callers' estimates are off by up to 0.9 of the true value, and differently in each queue. The
//! logarithm of the run time is therefore taken as a linear function of the logarithm of the
//! estimate, which is learned from the last runs of the queue.

use std::collections::BTreeMap;
use std::time;

use pier_core::ids;
use pier_core::map::Map;

/// The number of runs after which the older ones of a queue decay.
const WINDOW_RUNS: f64 = 200.0;
/// The weight, in runs, of the assumption that the run time equals the estimate.
const PRIOR_RUNS: f64 = 8.0;
/// The variance of the logarithms of the estimates in the assumed runs.
const PRIOR_ESTIMATE_VARIANCE: f64 = 0.25;
/// The variance of the logarithm of run time to estimate before any run: estimates that are off by
/// 0.9 of the true value in both directions have this variance.
const INITIAL_VARIANCE: f64 = 0.5;
/// The weight of the initial variance, in runs.
const INITIAL_VARIANCE_RUNS: f64 = 4.0;
/// The greatest ratio of run time to estimate, in either direction, that a run counts with.
const MAX_RATIO: f64 = 100.0;
/// Estimates and run times below this are taken as this.
const MIN_RUN_TIME: time::Duration = time::Duration::from_millis(1);
/// A logistic distribution of this scale is within 0.01 of the normal distribution.
const LOGISTIC_SCALE: f64 = 1.702;

/// The number of values that describe the run times of a queue in a record.
pub const QUEUE_VALUES: usize = 6;

/// The learned run times of all queues.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    queues: Map<ids::QueueId, QueueRunTimes>,
}

impl RunTimes {
    /// Records that a task of the queue ran for `took` with an estimate of `estimate`. The run time
    /// of a gang counts from the start of its last member.
    pub fn record(&mut self, queue: &ids::QueueId, estimate: time::Duration, took: time::Duration) {
        let run_times = self.queues.entry(ids::QueueId::clone(queue)).or_default();
        run_times.add(log_seconds(estimate), log_seconds(took));
    }

    /// The median run time of a task of the queue with this estimate.
    pub fn expected(&self, queue: &str, estimate: time::Duration) -> time::Duration {
        self.quantile(queue, estimate, 0.5)
    }

    /// The run time that the fraction `q` of the tasks of the queue with this estimate does not
    /// exceed.
    pub fn quantile(&self, queue: &str, estimate: time::Duration, q: f64) -> time::Duration {
        let Some(run_times) = self.queues.get(queue) else {
            return if q == 0.5 { estimate } else { scaled(estimate, q, INITIAL_VARIANCE) };
        };
        let log_median = run_times.log_median(log_seconds(estimate));
        let median = time::Duration::try_from_secs_f64(log_median.exp()).unwrap_or(estimate);
        if q == 0.5 { median } else { scaled(median, q, run_times.variance()) }
    }

    /// By how much the logarithm of a run time deviates from what is usual, and the variance of
    /// these deviations in the queue.
    pub fn deviation(
        &self,
        queue: &str,
        estimate: time::Duration,
        took: time::Duration,
    ) -> (f64, f64) {
        let run_times = self.queues.get(queue).copied().unwrap_or_default();
        let deviation = log_seconds(took) - run_times.log_median(log_seconds(estimate));
        (deviation, run_times.variance())
    }

    /// The learned values of each queue, for a record: the number of runs that they stand for, at
    /// most the window, is the first one.
    pub fn to_values(&self) -> BTreeMap<ids::QueueId, [f32; QUEUE_VALUES]> {
        let mut values = BTreeMap::new();
        for (queue, run_times) in &self.queues {
            values.insert(ids::QueueId::clone(queue), run_times.to_values());
        }
        values
    }

    /// Restores learned values from a record. Values that no runs can yield are skipped.
    pub fn from_values(values: &BTreeMap<ids::QueueId, [f32; QUEUE_VALUES]>) -> Self {
        let mut queues = Map::default();
        for (queue, values) in values {
            if let Some(run_times) = QueueRunTimes::from_values(*values) {
                queues.insert(ids::QueueId::clone(queue), run_times);
            }
        }
        Self { queues }
    }
}

/// The run times of a queue. All values are of logarithms; a ratio is that of run time to estimate.
#[derive(Debug, Clone, Copy, Default)]
struct QueueRunTimes {
    count: f64,
    mean_estimate: f64,
    mean_ratio: f64,
    estimate_variance: f64,
    covariance: f64,
    ratio_variance: f64,
}

impl QueueRunTimes {
    fn add(&mut self, estimate: f64, took: f64) {
        self.count = (self.count + 1.0).min(WINDOW_RUNS);
        let share = 1.0 / self.count;
        let estimate_change = estimate - self.mean_estimate;
        let ratio = (took - estimate).clamp(-MAX_RATIO.ln(), MAX_RATIO.ln());
        let ratio_change = ratio - self.mean_ratio;
        self.mean_estimate += estimate_change * share;
        self.mean_ratio += ratio_change * share;
        let blend = |before: f64, product: f64| (1.0 - share) * (before + share * product);
        self.estimate_variance = blend(self.estimate_variance, estimate_change * estimate_change);
        self.covariance = blend(self.covariance, estimate_change * ratio_change);
        self.ratio_variance = blend(self.ratio_variance, ratio_change * ratio_change);
    }

    /// The change of the logarithm of the ratio with that of the estimate. Run times neither fall
    /// with the estimate nor grow faster than its square.
    fn ratio_slope(&self) -> f64 {
        let prior = PRIOR_RUNS * PRIOR_ESTIMATE_VARIANCE;
        let slope = self.count * self.covariance / (self.count * self.estimate_variance + prior);
        slope.clamp(-1.0, 1.0)
    }

    fn log_median(&self, estimate: f64) -> f64 {
        let level = self.mean_ratio * self.count / (self.count + PRIOR_RUNS);
        estimate + level + self.ratio_slope() * (estimate - self.mean_estimate)
    }

    /// The variance of the run times around their median for the estimate.
    fn variance(&self) -> f64 {
        let slope = self.ratio_slope();
        let unexplained = self.ratio_variance - 2.0 * slope * self.covariance
            + slope * slope * self.estimate_variance;
        let initial = INITIAL_VARIANCE * INITIAL_VARIANCE_RUNS;
        (unexplained.max(0.0) * self.count + initial) / (self.count + INITIAL_VARIANCE_RUNS)
    }

    #[expect(clippy::cast_possible_truncation, reason = "seven digits are enough for a record")]
    fn to_values(self) -> [f32; QUEUE_VALUES] {
        [
            self.count as f32,
            self.mean_estimate as f32,
            self.mean_ratio as f32,
            self.estimate_variance as f32,
            self.covariance as f32,
            self.ratio_variance as f32,
        ]
    }

    fn from_values(values: [f32; QUEUE_VALUES]) -> Option<Self> {
        let [count, mean_estimate, mean_ratio, estimate_variance, covariance, ratio_variance] =
            values.map(f64::from);
        let is_valid = values.iter().all(|value| value.is_finite())
            && (1.0..=WINDOW_RUNS).contains(&count)
            && mean_ratio.abs() <= MAX_RATIO.ln() + 0.001
            && estimate_variance >= 0.0
            && ratio_variance >= 0.0;
        is_valid.then_some(Self {
            count,
            mean_estimate,
            mean_ratio,
            estimate_variance,
            covariance,
            ratio_variance,
        })
    }
}

fn log_seconds(run_time: time::Duration) -> f64 {
    run_time.max(MIN_RUN_TIME).as_secs_f64().ln()
}

/// The quantile of run times with this median and variance of their logarithms.
fn scaled(median: time::Duration, q: f64, variance: f64) -> time::Duration {
    let q = q.clamp(0.001, 0.999);
    let deviations = (q / (1.0 - q)).ln() / LOGISTIC_SCALE;
    let seconds = median.as_secs_f64() * (deviations * variance.sqrt()).exp();
    time::Duration::try_from_secs_f64(seconds).unwrap_or(median)
}
