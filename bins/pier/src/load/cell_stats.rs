//! The state of the cell and its processes, read from the hosts and the stand-in.

use std::collections;
use std::thread;
use std::time;

use persimmonpier::core::resources;
use persimmonpier::link::operator;
use persimmonpier::state::report;
use serde::{Deserialize, Serialize};

use crate::load::{profile, shares};

const SAMPLE_INTERVAL: time::Duration = time::Duration::from_secs(1);
const STOP_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);
const CALL_TIMEOUT_S: u64 = 2;
const PPM: f64 = 1_000_000.0;
/// The packing from which the cell counts as full.
const FULL_THRESHOLD: f64 = 0.9;

const CPU_METRIC: &str = "pier_process_cpu_seconds";
const MEMORY_METRIC: &str = "pier_process_memory_bytes";
const STEP_METRIC: &str = "pier_control_step_seconds_bucket{le=\"";

/// A sample of the state of the cell.
#[derive(Debug, Clone, Serialize)]
pub struct CellSample {
    /// The time of the sample, in milliseconds from the start of the load.
    pub at_ms: u64,
    /// The fraction in use of the workers' most used resource, from 0 to 1.
    pub packing: f64,
    /// The distance of the teams' usage from their shares, from 0 to 1.
    pub share_distance: f64,
    /// The distance of the teams' usage from what their shares and demand entitle them to, from
    /// 0 to 1.
    pub entitlement_distance: f64,
    /// The number of hosts that responded.
    pub hosts: usize,
}

/// Time-weighted means of the samples.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct CellMeans {
    /// The mean packing.
    pub packing: f64,
    /// The mean distance from the shares.
    pub share_distance: f64,
    /// The mean distance from the shares while the cell was full; none if it never was full.
    pub share_distance_full: Option<f64>,
    /// The time for which the cell was long full, in milliseconds. The cell is long full once it
    /// has been full for the profile's `full_after_ms`.
    pub long_full_ms: u64,
    /// The mean distance from the shares while the cell was long full; none if it never was.
    pub share_distance_long_full: Option<f64>,
    /// The mean distance from the entitlements while the cell was long full; none if it never was.
    pub entitlement_distance_long_full: Option<f64>,
}

/// Resource usage of the hosts' processes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ProcessUsage {
    /// The CPU usage of each host in percent of a core.
    pub cpu_percent: collections::BTreeMap<String, f64>,
    /// The resident memory of each host in bytes, at the end of the load.
    pub memory_bytes: collections::BTreeMap<String, f64>,
    /// An upper bound of the 99th percentile of the duration of control steps over all hosts, in
    /// milliseconds; none if there were no steps or the bound is infinite.
    pub control_step_p99_ms: Option<f64>,
}

/// The metrics of the hosts that responded, by host and metric name.
pub type Metrics = collections::BTreeMap<String, collections::BTreeMap<String, f64>>;

/// Samples the state of the cell through the interface for operators until `stop` returns `true`.
/// A profile without that interface gives no samples.
pub fn sample_until(
    profile: &profile::Profile,
    started_at: time::Instant,
    waiting_teams: impl Fn() -> collections::BTreeSet<String>,
    stop: impl Fn() -> bool,
) -> Vec<CellSample> {
    let mut samples = Vec::new();
    let Some(operator) = &profile.operator else {
        return samples;
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else {
        return samples;
    };
    while !stop() {
        let taken_at = time::Instant::now();
        let statuses = runtime.block_on(fetch_statuses(operator));
        if !statuses.is_empty() {
            samples.push(build_sample(
                &profile.team_weights,
                &waiting_teams(),
                started_at,
                &statuses,
            ));
        }
        while taken_at.elapsed() < SAMPLE_INTERVAL && !stop() {
            thread::sleep(STOP_CHECK_INTERVAL);
        }
    }
    samples
}

async fn fetch_statuses(operator: &profile::Operator) -> Vec<report::Status> {
    let mut calls = tokio::task::JoinSet::new();
    for host in &operator.hosts {
        let (host, token) = (host.clone(), operator.token.clone());
        calls.spawn(async move {
            operator::OperatorClient::new(&host, &token, CALL_TIMEOUT)?.status().await
        });
    }
    let mut statuses = Vec::new();
    while let Some(result) = calls.join_next().await {
        if let Ok(Ok(status)) = result {
            statuses.push(status);
        }
    }
    statuses
}

/// Combines the hosts' reports on their own workers into a sample.
fn build_sample(
    weights: &collections::BTreeMap<String, u32>,
    waiting_teams: &collections::BTreeSet<String>,
    started_at: time::Instant,
    statuses: &[report::Status],
) -> CellSample {
    let mut total = resources::Resources::ZERO;
    let mut free = resources::Resources::ZERO;
    let mut teams: collections::BTreeMap<&str, resources::Resources> = collections::BTreeMap::new();
    for status in statuses {
        for worker in &status.workers {
            total = total.plus(&worker.total);
            free = free.plus(&worker.free);
        }
        for team in &status.teams {
            let used = teams.entry(&team.team).or_default();
            *used = used.plus(&team.used_here);
        }
    }
    let mut used_and_weight = Vec::new();
    let mut team_usage = Vec::new();
    for (team, weight) in weights {
        let amount = teams.get(team.as_str()).copied().unwrap_or_default();
        let amount = ppm_to_f64(amount.dominant_share_ppm(&total));
        used_and_weight.push((amount, f64::from(*weight)));
        let has_waiting_work = waiting_teams.contains(team);
        team_usage.push(shares::TeamUsage {
            used: amount,
            weight: f64::from(*weight),
            has_waiting_work,
        });
    }
    CellSample {
        at_ms: u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX),
        packing: ppm_to_f64(total.minus(&free).dominant_share_ppm(&total)) / PPM,
        share_distance: shares::distance(&used_and_weight),
        entitlement_distance: shares::entitlement_distance(&team_usage),
        hosts: statuses.len(),
    }
}

/// Returns the means weighted by time; none without samples. A sample is weighted by the time to
/// the next one. The cell counts as long full once it has been full for `full_after`.
pub fn time_weighted_means(
    samples: &[CellSample],
    full_after: time::Duration,
) -> Option<CellMeans> {
    let full_after_ms = u64::try_from(full_after.as_millis()).unwrap_or(u64::MAX);
    let [mut packing, mut share, mut share_full, mut share_long, mut entitlement_long] =
        [WeightedMean::default(); 5];
    let mut full_since_ms = None;
    let mut long_full_ms = 0;
    for (index, sample) in samples.iter().enumerate() {
        let weight_ms = match samples.get(index + 1) {
            Some(next) => next.at_ms.saturating_sub(sample.at_ms),
            None => u64::try_from(SAMPLE_INTERVAL.as_millis()).unwrap_or(u64::MAX),
        };
        packing.add(sample.packing, weight_ms);
        share.add(sample.share_distance, weight_ms);
        if sample.packing < FULL_THRESHOLD {
            full_since_ms = None;
            continue;
        }
        share_full.add(sample.share_distance, weight_ms);
        let since_ms = *full_since_ms.get_or_insert(sample.at_ms);
        if sample.at_ms - since_ms >= full_after_ms {
            long_full_ms += weight_ms;
            share_long.add(sample.share_distance, weight_ms);
            entitlement_long.add(sample.entitlement_distance, weight_ms);
        }
    }
    Some(CellMeans {
        packing: packing.mean()?,
        share_distance: share.mean()?,
        share_distance_full: share_full.mean(),
        long_full_ms,
        share_distance_long_full: share_long.mean(),
        entitlement_distance_long_full: entitlement_long.mean(),
    })
}

/// An accumulator for a mean weighted by time.
#[derive(Debug, Clone, Copy, Default)]
struct WeightedMean {
    sum: f64,
    weight_ms: f64,
}

impl WeightedMean {
    fn add(&mut self, value: f64, weight_ms: u64) {
        // With a weight of zero, a mean of a single sample would be undefined.
        let weight_ms = f64::from(u32::try_from(weight_ms.max(1)).unwrap_or(u32::MAX));
        self.sum += value * weight_ms;
        self.weight_ms += weight_ms;
    }

    fn mean(&self) -> Option<f64> {
        (self.weight_ms > 0.0).then(|| self.sum / self.weight_ms)
    }
}

/// Fetches the metrics of all hosts. Hosts that do not respond are left out.
pub fn fetch_metrics(hosts: &[String]) -> Metrics {
    let mut metrics = Metrics::new();
    for host in hosts {
        let request = minreq::get(format!("http://{host}/metrics"))
            .with_header("Connection", "close")
            .with_timeout(CALL_TIMEOUT_S);
        let Ok(response) = request.send() else {
            continue;
        };
        if let Ok(text) = response.as_str() {
            metrics.insert(host.clone(), parse_metrics(text));
        }
    }
    metrics
}

/// Parses metrics in the Prometheus text format, with lines of the form `name{labels} value`.
fn parse_metrics(text: &str) -> collections::BTreeMap<String, f64> {
    let mut values = collections::BTreeMap::new();
    for line in text.lines() {
        if line.starts_with('#') {
            continue;
        }
        let Some((name, value)) = line.rsplit_once(' ') else {
            continue;
        };
        if let Ok(value) = value.parse() {
            values.insert(name.to_owned(), value);
        }
    }
    values
}

/// Returns the resource usage between two readings of the metrics; none if the second is empty.
pub fn usage_between(
    before: &Metrics,
    after: &Metrics,
    elapsed: time::Duration,
) -> Option<ProcessUsage> {
    if after.is_empty() {
        return None;
    }
    let mut usage = ProcessUsage::default();
    let mut step_counts: collections::BTreeMap<String, f64> = collections::BTreeMap::new();
    for (host, metrics) in after {
        let value_before = |name: &str| {
            let values = before.get(host);
            values.and_then(|values| values.get(name)).copied().unwrap_or(0.0)
        };
        if let Some(cpu) = metrics.get(CPU_METRIC) {
            let used = (cpu - value_before(CPU_METRIC)).max(0.0);
            usage.cpu_percent.insert(host.clone(), used / elapsed.as_secs_f64() * 100.0);
        }
        if let Some(memory) = metrics.get(MEMORY_METRIC) {
            usage.memory_bytes.insert(host.clone(), *memory);
        }
        for (name, count) in metrics {
            let Some(bound) = name.strip_prefix(STEP_METRIC) else {
                continue;
            };
            let bound = bound.trim_end_matches("\"}").to_owned();
            *step_counts.entry(bound).or_default() += (count - value_before(name)).max(0.0);
        }
    }
    usage.control_step_p99_ms = p99_bound_ms(&step_counts);
    Some(usage)
}

/// Returns the smallest bucket bound of a cumulative histogram that covers 99% of the values, in
/// milliseconds; the bounds themselves are in seconds.
fn p99_bound_ms(step_counts: &collections::BTreeMap<String, f64>) -> Option<f64> {
    let mut bounds = Vec::new();
    for (bound, count) in step_counts {
        let bound = if bound == "+Inf" { f64::INFINITY } else { bound.parse().ok()? };
        bounds.push((bound, *count));
    }
    bounds.sort_by(|left, right| left.0.total_cmp(&right.0));
    let total = bounds.last()?.1;
    if total <= 0.0 {
        return None;
    }
    for (bound, count) in bounds {
        if count >= total * 0.99 {
            return if bound.is_finite() { Some(bound * 1_000.0) } else { None };
        }
    }
    None
}

/// Fetches the audit of a stand-in; none if it does not respond.
pub fn fetch_audit(address: &str) -> Option<standin::audit::Report> {
    let response = minreq::get(format!("http://{address}/control/audit"))
        .with_header("Connection", "close")
        .with_timeout(CALL_TIMEOUT_S * 5)
        .send()
        .ok()?;
    serde_json::from_slice(response.as_bytes()).ok()
}

fn ppm_to_f64(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
