//! Metrics of a host in the OpenMetrics text format.

use std::sync;
use std::sync::atomic;
use std::time;

use pier_core::task;
use pier_state::{cluster, report};
use prometheus_client::encoding::{self, EncodeLabelSet};
use prometheus_client::metrics::{counter, family, gauge, histogram};
use prometheus_client::registry;

use crate::errors::{Error, Result};
use crate::process;

type IntCounter = counter::Counter<u64, atomic::AtomicU64>;
type IntGauge = gauge::Gauge<i64, atomic::AtomicI64>;
type SecondsGauge = gauge::Gauge<f64, atomic::AtomicU64>;

/// Buckets of wait and response times in seconds. 2.8 s is the target for starts of urgent tasks.
const WAIT_BUCKETS_SECONDS: [f64; 12] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5, 1.0, 2.8, 10.0, 60.0];
/// Buckets of control step times in seconds. 1 ms is the target at the 99th percentile.
const STEP_BUCKETS_SECONDS: [f64; 9] =
    [0.000_01, 0.000_05, 0.000_1, 0.000_25, 0.000_5, 0.001, 0.005, 0.02, 0.1];

/// The classes whose series exist from the start, so that a missing series means a missing host.
const CLASSES: [task::Class; 4] =
    [task::Class::Urgent, task::Class::Service, task::Class::Batch, task::Class::Gang];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabel {
    class: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabel {
    status: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LinkLabel {
    link: String,
    direction: &'static str,
}

/// The metrics that the control thread reads from its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlMetrics {
    /// The counters of the state.
    pub counters: report::Counters,
    /// The basis of the authority to start work.
    pub authority: cluster::Authority,
    /// The current epoch.
    pub epoch: u64,
    /// The version of the current declaration.
    pub version: u64,
    /// The time since the last successful read of the log, or `None` if there was none.
    pub log_age: Option<time::Duration>,
    /// The number of events in the queue of the control thread.
    pub queued_events: usize,
}

/// The metrics of a host. Clones share the values.
#[derive(Debug, Clone)]
pub struct Metrics {
    shared: sync::Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    registry: registry::Registry,
    state: StateMetrics,
    task_waits: family::Family<ClassLabel, histogram::Histogram, fn() -> histogram::Histogram>,
    response_times: histogram::Histogram,
    statuses: family::Family<StatusLabel, IntCounter>,
    steps: histogram::Histogram,
    link_bytes: family::Family<LinkLabel, IntCounter>,
    connections: IntGauge,
    refused_connections: IntCounter,
    timed_out_connections: IntCounter,
    late_answers: IntCounter,
    requests: IntGauge,
    memory: IntGauge,
    threads: IntGauge,
    cpu: SecondsGauge,
}

#[derive(Debug, Default)]
struct StateMetrics {
    requests: IntCounter,
    answered: IntCounter,
    refused_not_run: IntCounter,
    unknown: IntCounter,
    starts: IntCounter,
    preemptions: IntCounter,
    place_retries: IntCounter,
    appends: IntCounter,
    epochs: IntCounter,
    takeovers: IntCounter,
    invariant_violations: IntCounter,
    authority: IntGauge,
    epoch: IntGauge,
    version: IntGauge,
    log_age: SecondsGauge,
    queued_events: IntGauge,
}

impl StateMetrics {
    fn register(&self, registry: &mut registry::Registry) {
        let counters = [
            ("state_requests", "Requests of callers that the control thread took", &self.requests),
            ("state_answered", "Requests that got the answer of a worker", &self.answered),
            ("state_refused_not_run", "Requests refused and not run", &self.refused_not_run),
            ("state_unknown", "Requests with an unknown outcome", &self.unknown),
            ("task_starts", "Tasks started on workers", &self.starts),
            ("task_yields", "Tasks made to yield", &self.preemptions),
            ("place_retries", "Placements tried again at another owner", &self.place_retries),
            ("log_appends", "Records appended to the log", &self.appends),
            ("epochs_folded", "Epochs folded", &self.epochs),
            ("worker_takeovers", "Workers taken over", &self.takeovers),
            (
                "invariant_violations",
                "Steps not taken because they would have broken an invariant",
                &self.invariant_violations,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register(
            "authority",
            "What gives authority to start work: 0 none, 1 fresh log, 2 outage rule",
            self.authority.clone(),
        );
        registry.register("epoch", "Current epoch of the membership", self.epoch.clone());
        registry.register("declaration_version", "Declaration in force", self.version.clone());
        registry.register_with_unit(
            "log_age",
            "Time since the last successful read of the log; -1 before the first",
            registry::Unit::Seconds,
            self.log_age.clone(),
        );
        registry.register(
            "queued_events",
            "Events that wait for the control thread",
            self.queued_events.clone(),
        );
    }

    fn set(&self, values: &ControlMetrics) {
        let counters = &values.counters;
        let pairs = [
            (&self.requests, counters.requests),
            (&self.answered, counters.answered),
            (&self.refused_not_run, counters.refused_not_run),
            (&self.unknown, counters.unknown),
            (&self.starts, counters.starts),
            (&self.preemptions, counters.preemptions),
            (&self.place_retries, counters.place_retries),
            (&self.appends, counters.appends),
            (&self.epochs, counters.epochs),
            (&self.takeovers, counters.takeovers),
            (&self.invariant_violations, counters.invariant_violations),
        ];
        for (metric, value) in pairs {
            metric.inner().store(value, atomic::Ordering::Relaxed);
        }
        let authority = match values.authority {
            cluster::Authority::None => 0,
            cluster::Authority::Fresh => 1,
            cluster::Authority::Outage => 2,
        };
        self.authority.set(authority);
        self.epoch.set(to_gauge_value(values.epoch));
        self.version.set(to_gauge_value(values.version));
        self.log_age.set(values.log_age.map_or(-1.0, |age| age.as_secs_f64()));
        self.queued_events.set(to_gauge_value(values.queued_events));
    }
}

impl Metrics {
    /// Creates metrics with all values zero.
    pub fn new() -> Self {
        let mut registry = registry::Registry::with_prefix("pier");
        let state = StateMetrics::default();
        state.register(&mut registry);
        let task_waits: family::Family<
            ClassLabel,
            histogram::Histogram,
            fn() -> histogram::Histogram,
        > = family::Family::new_with_constructor(wait_histogram);
        for class in CLASSES {
            let _ = task_waits.get_or_create(&ClassLabel { class: class.to_string() });
        }
        let response_times = wait_histogram();
        let steps = histogram::Histogram::new(STEP_BUCKETS_SECONDS);
        let seconds = registry::Unit::Seconds;
        registry.register_with_unit(
            "task_wait",
            "Time from the arrival of a task at the owner of a worker to its start, by class",
            seconds.clone(),
            task_waits.clone(),
        );
        registry.register_with_unit(
            "caller_answer",
            "Time from the head of a caller's request to its answer",
            seconds.clone(),
            response_times.clone(),
        );
        registry.register_with_unit(
            "control_step",
            "Time that the control thread took for one event",
            seconds.clone(),
            steps.clone(),
        );
        let statuses = family::Family::<StatusLabel, IntCounter>::default();
        registry.register("caller_responses", "Responses to callers by status", statuses.clone());
        let link_bytes = family::Family::<LinkLabel, IntCounter>::default();
        registry.register_with_unit(
            "link",
            "Bodies of messages, requests and answers, by the kind of process at the other end",
            registry::Unit::Bytes,
            link_bytes.clone(),
        );
        let connections =
            register_gauge(&mut registry, "caller_connections", "Open connections of callers");
        let requests =
            register_gauge(&mut registry, "caller_requests_in_flight", "Open caller requests");
        let refused_connections = register_counter(
            &mut registry,
            "caller_connections_refused",
            "Connections refused because the table was full",
        );
        let timed_out_connections = register_counter(
            &mut registry,
            "caller_connections_cut",
            "Connections closed because they were too slow, silent or idle",
        );
        let late_answers =
            register_counter(&mut registry, "late_answers", "Answers for callers that had gone");
        let memory = IntGauge::default();
        registry.register_with_unit(
            "process_memory",
            "Resident memory of the process",
            registry::Unit::Bytes,
            memory.clone(),
        );
        let threads = register_gauge(&mut registry, "process_threads", "Threads of the process");
        let cpu = SecondsGauge::default();
        registry.register_with_unit(
            "process_cpu",
            "Processor time of the process since its start",
            seconds,
            cpu.clone(),
        );
        let shared = Shared {
            registry,
            state,
            task_waits,
            response_times,
            statuses,
            steps,
            link_bytes,
            connections,
            refused_connections,
            timed_out_connections,
            late_answers,
            requests,
            memory,
            threads,
            cpu,
        };
        Self { shared: sync::Arc::new(shared) }
    }

    /// Sets the metrics that the control thread reads from its state.
    pub fn set_control_metrics(&self, values: &ControlMetrics) {
        self.shared.state.set(values);
    }

    /// Sets the number of bytes that a kind of link has carried since the process started.
    pub fn set_link_bytes(&self, link: &str, sent: u64, received: u64) {
        for (direction, value) in [("sent", sent), ("received", received)] {
            let label = LinkLabel { link: link.to_owned(), direction };
            let counter = self.shared.link_bytes.get_or_create(&label);
            counter.inner().store(value, atomic::Ordering::Relaxed);
        }
    }

    /// Records the time that the control thread took for one event.
    pub fn observe_step(&self, took: time::Duration) {
        self.shared.steps.observe(took.as_secs_f64());
    }

    /// Records the time that a task of `class` waited for its start.
    pub fn observe_wait(&self, class: task::Class, waited: time::Duration) {
        let label = ClassLabel { class: class.to_string() };
        self.shared.task_waits.get_or_create(&label).observe(waited.as_secs_f64());
    }

    /// Records the status of a response and the time from the head of its request.
    pub fn observe_response(&self, status: http::StatusCode, took: time::Duration) {
        let label = StatusLabel { status: u32::from(status.as_u16()) };
        self.shared.statuses.get_or_create(&label).inc();
        self.shared.response_times.observe(took.as_secs_f64());
    }

    /// Counts a connection that was refused.
    pub fn count_refused_connection(&self) {
        self.shared.refused_connections.inc();
    }

    /// Counts a connection that was closed because it was too slow, sent nothing or was idle.
    pub fn count_timed_out_connection(&self) {
        self.shared.timed_out_connections.inc();
    }

    /// Counts an answer whose caller no longer waited for it.
    pub fn count_late_answer(&self) {
        self.shared.late_answers.inc();
    }

    /// Encodes the metrics as text, with the given numbers of open connections and requests.
    ///
    /// # Errors
    /// [`Error::Metrics`] if the encoder fails.
    pub fn to_text(&self, connections: usize, requests: usize) -> Result<String> {
        self.shared.connections.set(to_gauge_value(connections));
        self.shared.requests.set(to_gauge_value(requests));
        if let Ok(usage) = process::usage() {
            self.shared.memory.set(to_gauge_value(usage.memory_bytes));
            self.shared.threads.set(to_gauge_value(usage.threads));
            self.shared.cpu.set(usage.cpu.as_secs_f64());
        }
        let mut text = String::new();
        encoding::text::encode(&mut text, &self.shared.registry)
            .map_err(|source| Error::Metrics { source })?;
        Ok(text)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn wait_histogram() -> histogram::Histogram {
    histogram::Histogram::new(WAIT_BUCKETS_SECONDS)
}

fn register_gauge(registry: &mut registry::Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::default();
    registry.register(name, help, gauge.clone());
    gauge
}

fn register_counter(registry: &mut registry::Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::default();
    registry.register(name, help, counter.clone());
    counter
}

fn to_gauge_value(value: impl TryInto<i64>) -> i64 {
    value.try_into().unwrap_or(i64::MAX)
}
