//! Counters and histograms of a host.

use std::io;
use std::sync::atomic;
use std::time;

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
        let time_histogram =
            || Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT));
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
        Self {
            registry,
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
