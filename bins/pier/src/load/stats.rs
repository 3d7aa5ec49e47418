//! Collection of the results.

use std::collections;
use std::time;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

const MIN_TRACKED_US: u64 = 1;
const MAX_TRACKED_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MILLI: u64 = 1_000;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer to the request came.
    Answered,
    /// The request ran and failed.
    Failed(String),
    /// The request was refused and not run.
    NotRun(String),
    /// The outcome is unknown.
    Unknown(String),
    /// An answer came that is damaged or belongs to another request.
    Wrong(String),
}

/// A result.
#[derive(Debug, Clone)]
pub struct RequestResult {
    /// The class under which it is listed.
    pub class: String,
    /// The team under which it is listed.
    pub team: String,
    /// The planned arrival, from the start of the load.
    pub arrival: time::Duration,
    /// From the planned arrival until the request was sent.
    pub send_delay: time::Duration,
    /// From the planned arrival to the end, without the run time.
    pub wait: time::Duration,
    /// Whether the answer came before the deadline; none without a deadline.
    pub met_deadline: Option<bool>,
    /// The end.
    pub outcome: RequestOutcome,
}

/// Quantiles of a time in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// The number of values.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th percentile.
    pub p999_ms: f64,
    /// The largest value.
    pub max_ms: f64,
}

/// A histogram of times.
#[derive(Debug, Clone)]
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        let bounds = Histogram::new_with_bounds(MIN_TRACKED_US, MAX_TRACKED_US, SIGNIFICANT_DIGITS);
        Self(bounds.expect("the bounds are valid"))
    }
}

impl LatencyHistogram {
    /// Adds a time.
    pub fn record(&mut self, time: time::Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros);
    }

    /// The value at a quantile from 0 to 1, in milliseconds.
    pub fn value_at_ms(&self, quantile: f64) -> f64 {
        micros_to_ms(self.0.value_at_quantile(quantile))
    }

    /// The usual quantiles.
    pub fn to_quantiles(&self) -> Quantiles {
        if self.0.is_empty() {
            return Quantiles::default();
        }
        Quantiles {
            count: self.0.len(),
            p50_ms: self.value_at_ms(0.5),
            p99_ms: self.value_at_ms(0.99),
            p999_ms: self.value_at_ms(0.999),
            max_ms: micros_to_ms(self.0.max()),
        }
    }
}

/// What happened to the requests that arrived in one second.
#[derive(Debug, Clone, Default)]
pub struct SecondStats {
    /// The number of requests.
    pub sent: u64,
    /// The number of answers.
    pub answered: u64,
    /// The number of refusals.
    pub not_run: u64,
    /// The number of unknown outcomes.
    pub unknown: u64,
    /// The longest wait of an answer.
    pub longest_wait: time::Duration,
}

/// Numbers of ends.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests that ended.
    pub total: u64,
    /// Whole answers.
    pub answered: u64,
    /// Requests that ran and failed, by reason.
    pub failed: collections::BTreeMap<String, u64>,
    /// Requests that were refused and not run, by reason.
    pub not_run: collections::BTreeMap<String, u64>,
    /// Requests with an unknown outcome, by reason.
    pub unknown: collections::BTreeMap<String, u64>,
    /// Damaged or foreign answers, by fault.
    pub wrong: collections::BTreeMap<String, u64>,
}

impl RequestCounts {
    fn record(&mut self, outcome: &RequestOutcome) {
        self.total += 1;
        let (counts, reason) = match outcome {
            RequestOutcome::Answered => {
                self.answered += 1;
                return;
            }
            RequestOutcome::Failed(reason) => (&mut self.failed, reason),
            RequestOutcome::NotRun(reason) => (&mut self.not_run, reason),
            RequestOutcome::Unknown(reason) => (&mut self.unknown, reason),
            RequestOutcome::Wrong(reason) => (&mut self.wrong, reason),
        };
        *counts.entry(reason.clone()).or_default() += 1;
    }
}

/// How many requests or jobs with a deadline ended before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeadlineCounts {
    /// Those that were answered or done before their deadline.
    pub met: u64,
    /// All others: late, refused, failed or unfinished.
    pub missed: u64,
}

impl DeadlineCounts {
    /// Counts one.
    pub fn record(&mut self, is_met: bool) {
        self.met += u64::from(is_met);
        self.missed += u64::from(!is_met);
    }
}

/// All results.
#[derive(Debug, Clone, Default)]
pub struct LoadStats {
    /// The ends of all requests.
    pub counts: RequestCounts,
    /// The ends by team.
    pub counts_by_team: collections::BTreeMap<String, RequestCounts>,
    /// The waiting times of answered requests by class.
    pub waits: collections::BTreeMap<String, LatencyHistogram>,
    /// The waiting times of answered requests by team.
    pub waits_by_team: collections::BTreeMap<String, LatencyHistogram>,
    /// The deadlines of requests by class.
    pub deadlines: collections::BTreeMap<String, DeadlineCounts>,
    /// By how much the load generator was behind its plan.
    pub send_delays: LatencyHistogram,
    /// The seconds of the load.
    pub seconds: Vec<SecondStats>,
}

impl LoadStats {
    /// Adds a result.
    pub fn record(&mut self, result: &RequestResult) {
        self.counts.record(&result.outcome);
        self.counts_by_team.entry(result.team.clone()).or_default().record(&result.outcome);
        self.send_delays.record(result.send_delay);
        if let Some(met_deadline) = result.met_deadline {
            self.deadlines.entry(result.class.clone()).or_default().record(met_deadline);
        }
        let index = usize::try_from(result.arrival.as_secs()).unwrap_or(usize::MAX);
        if self.seconds.len() <= index {
            self.seconds.resize_with(index + 1, SecondStats::default);
        }
        let second = &mut self.seconds[index];
        second.sent += 1;
        match result.outcome {
            RequestOutcome::Answered => {
                second.answered += 1;
                second.longest_wait = second.longest_wait.max(result.wait);
                self.waits.entry(result.class.clone()).or_default().record(result.wait);
                self.waits_by_team.entry(result.team.clone()).or_default().record(result.wait);
            }
            RequestOutcome::NotRun(_) => second.not_run += 1,
            RequestOutcome::Unknown(_) => second.unknown += 1,
            RequestOutcome::Failed(_) | RequestOutcome::Wrong(_) => {}
        }
    }
}

fn micros_to_ms(micros: u64) -> f64 {
    let whole = u32::try_from(micros / MICROS_PER_MILLI).unwrap_or(u32::MAX);
    let rest = u32::try_from(micros % MICROS_PER_MILLI).unwrap_or(0);
    f64::from(whole) + f64::from(rest) / 1_000.0
}
