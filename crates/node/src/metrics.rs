//! Counters and histograms of a host.

use std::io;
use std::sync::atomic;
use std::time;

use pier_cell::load_report::LoadReport;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// The upper bound of the first bucket of a time histogram, in seconds.
const FIRST_BUCKET_S: f64 = 0.000_5;
/// The number of buckets of a time histogram. Each bound is twice the previous one, up to 16 s.
const BUCKET_COUNT: u16 = 16;

type Labels = Vec<(String, String)>;

/// The metrics of a host.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    load: LoadMetrics,
    events: Counter,
    step_times: Histogram,
    calls: Family<Labels, Counter>,
    call_times: Family<Labels, Histogram>,
    answers: Family<Labels, Counter>,
    is_decider: Gauge<i64, atomic::AtomicI64>,
    worker_connections: Gauge<i64, atomic::AtomicI64>,
    worker_connections_opened: Counter,
    worker_connect_failures: Family<Labels, Counter>,
}

/// Metrics of the decider's decisions under load.
#[derive(Debug)]
struct LoadMetrics {
    rejections: Family<Labels, Counter>,
    forecast_errors: Family<Labels, Histogram, fn() -> Histogram>,
    share_ppm: Family<Labels, Gauge>,
    gangs: Family<Labels, Gauge>,
    gang_ends: Family<Labels, Counter>,
    preempted: Family<Labels, Counter>,
    preempted_core_s: Family<Labels, Counter<f64, atomic::AtomicU64>>,
    adviser_busy_hosts: Gauge,
}

impl LoadMetrics {
    fn register(registry: &mut Registry) -> Self {
        let new_histogram: fn() -> Histogram = time_histogram;
        let metrics = Self {
            rejections: Family::default(),
            forecast_errors: Family::new_with_constructor(new_histogram),
            share_ppm: Family::default(),
            gangs: Family::default(),
            gang_ends: Family::default(),
            preempted: Family::default(),
            preempted_core_s: Family::default(),
            adviser_busy_hosts: Gauge::default(),
        };
        registry.register(
            "rejections",
            "Rejected submissions by reason and queue",
            metrics.rejections.clone(),
        );
        registry.register_with_unit(
            "forecast_error",
            "Absolute difference between the first start of a job and its forecast",
            Unit::Seconds,
            metrics.forecast_errors.clone(),
        );
        registry.register(
            "share_ppm",
            "Entitled and used shares of the capacity by account",
            metrics.share_ppm.clone(),
        );
        registry.register("gangs", "Gangs that wait, by state", metrics.gangs.clone());
        registry.register(
            "gang_ends",
            "Runs of gangs that ended before they were done, by cause",
            metrics.gang_ends.clone(),
        );
        registry.register("reclaimed", "Preempted runs by cause", metrics.preempted.clone());
        registry.register(
            "reclaimed_core_seconds",
            "Work lost by preemption, by cause",
            metrics.preempted_core_s.clone(),
        );
        registry.register(
            "adviser_busy_hosts",
            "Hosts with an open advice request",
            metrics.adviser_busy_hosts.clone(),
        );
        metrics
    }

    fn record(&self, report: &LoadReport) {
        let label = |name: &str, value: &str| (name.to_owned(), value.to_owned());
        for (reason, queue) in &report.rejections {
            let labels = vec![label("reason", reason), label("queue", queue)];
            self.rejections.get_or_create(&labels).inc();
        }
        for (queue, error) in &report.forecast_errors {
            let labels = vec![label("queue", queue)];
            self.forecast_errors.get_or_create(&labels).observe(error.as_secs_f64());
        }
        for cause in &report.gang_ends {
            self.gang_ends.get_or_create(&vec![label("cause", cause)]).inc();
        }
        for preempted in &report.preempted {
            let labels = vec![label("cause", &preempted.cause.to_string())];
            self.preempted.get_or_create(&labels).inc();
            self.preempted_core_s.get_or_create(&labels).inc_by(preempted.lost_core_s);
        }
        let Some(levels) = &report.levels else {
            return;
        };
        let gauge = |amount: usize| i64::try_from(amount).unwrap_or(i64::MAX);
        self.adviser_busy_hosts.set(gauge(levels.busy_adviser_hosts));
        for (state, count) in
            [("waiting", levels.waiting_gangs), ("reserving", levels.reserving_gangs)]
        {
            self.gangs.get_or_create(&vec![label("state", state)]).set(gauge(count));
        }
        // Accounts that are not listed any more have no share.
        self.share_ppm.clear();
        for share in &levels.shares {
            for (kind, ppm) in [("entitled", share.entitled_ppm), ("used", share.used_ppm)] {
                let labels = vec![label("account", &share.account), label("kind", kind)];
                let ppm = i64::try_from(ppm).unwrap_or(i64::MAX);
                self.share_ppm.get_or_create(&labels).set(ppm);
            }
        }
    }
}

fn time_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT))
}

/// An open connection to a worker, counted until this is dropped.
#[derive(Debug)]
pub struct OpenWorkerConnection(Gauge<i64, atomic::AtomicI64>);

impl Drop for OpenWorkerConnection {
    fn drop(&mut self) {
        self.0.dec();
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("pier");
        let events = Counter::default();
        registry.register("events", "Events that the host has taken", events.clone());
        let step_times = time_histogram();
        registry.register_with_unit("step", "Time per event", Unit::Seconds, step_times.clone());
        let calls = Family::<Labels, Counter>::default();
        registry.register("outside_calls", "Calls of outside systems by result", calls.clone());
        let call_times = Family::<Labels, Histogram>::new_with_constructor(time_histogram);
        registry.register_with_unit(
            "outside_call",
            "Time until an outside system has answered",
            Unit::Seconds,
            call_times.clone(),
        );
        let answers = Family::<Labels, Counter>::default();
        registry.register("answers", "Answers to callers by status", answers.clone());
        let is_decider = Gauge::default();
        registry.register("is_decider", "Whether the host decides", is_decider.clone());
        let worker_connections = Gauge::default();
        registry.register(
            "worker_connections",
            "Open connections to workers",
            worker_connections.clone(),
        );
        let worker_connections_opened = Counter::default();
        registry.register(
            "worker_connections_opened",
            "Connections to workers that were opened",
            worker_connections_opened.clone(),
        );
        let worker_connect_failures = Family::<Labels, Counter>::default();
        registry.register(
            "worker_connect_failures",
            "Failed attempts to connect to a worker by cause",
            worker_connect_failures.clone(),
        );
        let load = LoadMetrics::register(&mut registry);
        Self {
            registry,
            load,
            events,
            step_times,
            calls,
            call_times,
            answers,
            is_decider,
            worker_connections,
            worker_connections_opened,
            worker_connect_failures,
        }
    }
}

impl Metrics {
    /// Records an event, the time that the host took for it and whether the host is the decider.
    pub fn record_step(&self, took: time::Duration, is_decider: bool) {
        self.events.inc();
        self.step_times.observe(took.as_secs_f64());
        self.is_decider.set(i64::from(is_decider));
    }

    /// Records what the decider reports of its decisions under load.
    pub fn record_load(&self, report: &LoadReport) {
        self.load.record(report);
    }

    /// Records the result and the duration of a call to an external system.
    pub fn record_call(&self, system: &str, result: &str, took: time::Duration) {
        let system = ("system".to_owned(), system.to_owned());
        self.call_times.get_or_create(&vec![system.clone()]).observe(took.as_secs_f64());
        self.calls.get_or_create(&vec![system, ("result".to_owned(), result.to_owned())]).inc();
    }

    /// Counts a connection to a worker.
    pub fn count_worker_connection(&self) -> OpenWorkerConnection {
        self.worker_connections_opened.inc();
        self.worker_connections.inc();
        OpenWorkerConnection(self.worker_connections.clone())
    }

    /// Counts a failed attempt to connect to a worker.
    pub fn record_worker_connect_failure(&self, cause: io::ErrorKind) {
        let labels = vec![("cause".to_owned(), cause.to_string())];
        self.worker_connect_failures.get_or_create(&labels).inc();
    }

    /// Counts a response to a caller by its HTTP status.
    pub fn record_response(&self, status: u16) {
        self.answers.get_or_create(&vec![("status".to_owned(), status.to_string())]).inc();
    }

    /// Encodes all metrics as text.
    pub fn to_text(&self) -> String {
        let mut encoded = String::new();
        if let Err(error) = text::encode(&mut encoded, &self.registry) {
            tracing::error!(%error, "cannot encode the metrics");
        }
        encoded
    }
}
