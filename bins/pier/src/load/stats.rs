//! Statistics of the results of requests.

use std::collections;
use std::time;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

const MIN_TRACKED_US: u64 = 1;
const MAX_TRACKED_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MILLI: u64 = 1_000;

/// The outcome of a request; the text is the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete and correct answer was received.
    Answered,
    /// The request ran and failed.
    Failed(String),
    /// The request was refused and not run.
    NotRun(String),
    /// It is unknown whether the request ran.
    Unknown(String),
    /// The answer is damaged or belongs to another request.
    Wrong(String),
}

/// The result of one request.
#[derive(Debug, Clone)]
pub struct RequestResult {
    /// The class under which the result is reported.
    pub class: String,
    /// The team under which the result is reported.
    pub team: String,
    /// The time of the planned arrival, from the start of the load.
    pub arrival: time::Duration,
    /// The time from the planned arrival until the request was sent.
    pub send_delay: time::Duration,
    /// The time from the planned arrival to the outcome, minus the run time.
    pub wait: time::Duration,
    /// Whether the answer arrived by the deadline; none without a deadline.
    pub met_deadline: Option<bool>,
    /// The outcome.
    pub outcome: RequestOutcome,
}

/// Quantiles of a distribution of times, in milliseconds.
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

/// A histogram of durations.
#[derive(Debug, Clone)]
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        let bounds = Histogram::new_with_bounds(MIN_TRACKED_US, MAX_TRACKED_US, SIGNIFICANT_DIGITS);
        Self(bounds.expect("the bounds are valid"))
    }
}

impl LatencyHistogram {
    /// Records a duration.
    pub fn record(&mut self, time: time::Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros);
    }

    /// Returns the value at a quantile from 0 to 1, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        micros_to_ms(self.0.value_at_quantile(quantile))
    }

    /// Returns the reported quantiles.
    pub fn to_quantiles(&self) -> Quantiles {
        if self.0.is_empty() {
            return Quantiles::default();
        }
        Quantiles {
            count: self.0.len(),
            p50_ms: self.quantile_ms(0.5),
            p99_ms: self.quantile_ms(0.99),
            p999_ms: self.quantile_ms(0.999),
            max_ms: micros_to_ms(self.0.max()),
        }
    }
}

/// The outcomes of the requests that were planned to arrive in one second.
#[derive(Debug, Clone, Default)]
pub struct SecondStats {
    /// The number of requests sent.
    pub sent: u64,
    /// The number of correct answers.
    pub answered: u64,
    /// The number of requests that were refused and not run.
    pub not_run: u64,
    /// The number of unknown outcomes.
    pub unknown: u64,
    /// The longest waiting time of an answered request.
    pub longest_wait: time::Duration,
}

/// Counts of requests by outcome.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// All requests.
    pub total: u64,
    /// Requests with a complete and correct answer.
    pub answered: u64,
    /// Requests that ran and failed, by reason.
    pub failed: collections::BTreeMap<String, u64>,
    /// Requests that were refused and not run, by reason.
    pub not_run: collections::BTreeMap<String, u64>,
    /// Requests with an unknown outcome, by reason.
    pub unknown: collections::BTreeMap<String, u64>,
    /// Requests whose answer is damaged or belongs to another request, by fault.
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

/// The numbers of requests or jobs that met and missed their deadlines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeadlineCounts {
    /// Those that were answered or done by their deadline.
    pub met: u64,
    /// All others: late, refused, failed, cancelled or unfinished.
    pub missed: u64,
}

impl DeadlineCounts {
    /// Counts one deadline.
    pub fn record(&mut self, is_met: bool) {
        self.met += u64::from(is_met);
        self.missed += u64::from(!is_met);
    }
}

/// The statistics of all requests of a load.
#[derive(Debug, Clone, Default)]
pub struct LoadStats {
    /// The counts of all requests by outcome.
    pub counts: RequestCounts,
    /// The counts by team.
    pub counts_by_team: collections::BTreeMap<String, RequestCounts>,
    /// The waiting times of answered requests by class.
    pub waits: collections::BTreeMap<String, LatencyHistogram>,
    /// The waiting times of answered requests by team.
    pub waits_by_team: collections::BTreeMap<String, LatencyHistogram>,
    /// The met and missed deadlines of requests by class.
    pub deadlines: collections::BTreeMap<String, DeadlineCounts>,
    /// The delays between the planned arrivals and the sending of the requests.
    pub send_delays: LatencyHistogram,
    /// The outcomes by second of planned arrival.
    pub seconds: Vec<SecondStats>,
}

impl LoadStats {
    /// Records the result of a request.
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
