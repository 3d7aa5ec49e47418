//! Execution of a load.

use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use persimmonpier::core::caller;

use crate::load::{arrivals, cell_stats, jobs, profile, stats, summary};
use crate::{Error, Result, call, client};

/// The stack size of the threads of a load. A sending thread holds one request and its answer.
const STACK_BYTES: usize = 512 << 10;
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_secs(2);
const STOP_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The results of a load.
#[derive(Debug, Clone)]
pub struct LoadResult {
    /// Statistics of all requests.
    pub stats: stats::LoadStats,
    /// Samples of the state of the cell over time, as reported by the hosts.
    pub cell_samples: Vec<cell_stats::CellSample>,
    /// The figures for the report.
    pub summary: summary::Summary,
}

/// State shared by the threads of a load.
struct LoadContext {
    profile: profile::Profile,
    targets: Vec<client::Target>,
    jobs: jobs::JobTracker,
    started_at: time::Instant,
    sent: atomic::AtomicU64,
    ended: atomic::AtomicU64,
    answered: atomic::AtomicU64,
    all_sent: atomic::AtomicBool,
    finished: atomic::AtomicBool,
}

/// Runs a load to its end.
///
/// # Errors
/// [`Error::Thread`] if a thread could not be started or panicked.
pub fn run(profile: &profile::Profile) -> Result<LoadResult> {
    let plan = arrivals::plan(profile);
    let timeout = time::Duration::from_millis(profile.timeout_ms);
    let mut targets = Vec::new();
    for host in &profile.hosts {
        targets.push(client::Target { host: host.clone(), key: None, timeout });
    }
    let metrics_before = cell_stats::fetch_metrics(&profile.hosts);
    let context = sync::Arc::new(LoadContext {
        profile: profile.clone(),
        targets,
        jobs: jobs::JobTracker::default(),
        started_at: time::Instant::now(),
        sent: atomic::AtomicU64::new(0),
        ended: atomic::AtomicU64::new(0),
        answered: atomic::AtomicU64::new(0),
        all_sent: atomic::AtomicBool::new(false),
        finished: atomic::AtomicBool::new(false),
    });

    // The load has threads that send requests, and one thread each to collect the results, to poll
    // the jobs, to sample the hosts and to print progress.
    let (arrival_sender, arrival_receiver) = flume::unbounded::<(usize, arrivals::Arrival)>();
    let (result_sender, result_receiver) = flume::unbounded();
    let mut request_threads = Vec::new();
    for _ in 0..profile.threads.min(plan.len()) {
        let (context, arrival_receiver, result_sender) =
            (sync::Arc::clone(&context), arrival_receiver.clone(), result_sender.clone());
        request_threads.push(spawn(move || context.send_all(&arrival_receiver, &result_sender))?);
    }
    drop(result_sender);
    let poller_context = sync::Arc::clone(&context);
    let job_poller = spawn(move || {
        let limit = time::Duration::from_millis(poller_context.profile.wait_for_jobs_ms);
        poller_context.jobs.poll_until_finished(
            &poller_context.targets,
            || poller_context.all_sent.load(atomic::Ordering::Acquire),
            limit,
        );
    })?;
    let collector = spawn(move || {
        let mut load_stats = stats::LoadStats::default();
        for result in result_receiver.iter() {
            load_stats.record(&result);
        }
        load_stats
    })?;
    let sampler_context = sync::Arc::clone(&context);
    let sampler = spawn(move || {
        let waiting_teams = || sampler_context.jobs.waiting_teams();
        cell_stats::sample_until(
            &sampler_context.profile,
            sampler_context.started_at,
            waiting_teams,
            || sampler_context.is_finished(),
        )
    })?;
    let progress_context = sync::Arc::clone(&context);
    let progress = spawn(move || progress_context.print_progress())?;

    // Releases each arrival at its planned time.
    for (number, arrival) in plan.iter().enumerate() {
        let due = context.started_at + arrival.at;
        thread::sleep(due.saturating_duration_since(time::Instant::now()));
        // The request threads keep the channel open until its sender is dropped.
        let _ = arrival_sender.send((number, *arrival));
    }
    drop(arrival_sender);
    for request_thread in request_threads {
        join(request_thread)?;
    }
    context.all_sent.store(true, atomic::Ordering::Release);
    join(job_poller)?;
    context.finished.store(true, atomic::Ordering::Release);
    let load_stats = join(collector)?;
    let cell_samples = join(sampler)?;
    join(progress)?;

    let elapsed = context.started_at.elapsed();
    let usage = cell_stats::usage_between(
        &metrics_before,
        &cell_stats::fetch_metrics(&profile.hosts),
        elapsed,
    );
    let audit = profile.standin_control.as_deref().and_then(cell_stats::fetch_audit);
    let jobs = context.jobs.to_counts();
    let full_after = time::Duration::from_millis(profile.full_after_ms);
    let cell = cell_stats::time_weighted_means(&cell_samples, full_after);
    let summary = summary::Summary::new(elapsed, &load_stats, jobs, cell, usage, audit);
    Ok(LoadResult { stats: load_stats, cell_samples, summary })
}

impl LoadContext {
    fn is_finished(&self) -> bool {
        self.finished.load(atomic::Ordering::Acquire)
    }

    fn send_all(
        &self,
        arrival_receiver: &flume::Receiver<(usize, arrivals::Arrival)>,
        result_sender: &flume::Sender<stats::RequestResult>,
    ) {
        for (number, arrival) in arrival_receiver.iter() {
            self.sent.fetch_add(1, atomic::Ordering::Relaxed);
            match arrival.kind {
                arrivals::ArrivalKind::Request { stream, run_ms, fail } => {
                    let stream = &self.profile.streams[stream];
                    let result = self.send_request(number, arrival.at, stream, run_ms, fail);
                    if result.outcome == stats::RequestOutcome::Answered {
                        self.answered.fetch_add(1, atomic::Ordering::Relaxed);
                    }
                    // The collector runs until the last sender of the channel is dropped.
                    let _ = result_sender.send(result);
                }
                arrivals::ArrivalKind::Job { series } => {
                    let idempotency_key = format!("load-{}-{number}", self.profile.seed);
                    let mut targets = self.targets.clone();
                    let first = number % targets.len();
                    targets.rotate_left(first);
                    self.jobs.submit(&targets, &self.profile.jobs[series], &idempotency_key);
                }
            }
            self.ended.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }

    fn send_request(
        &self,
        number: usize,
        at: time::Duration,
        stream: &profile::Stream,
        run_ms: u64,
        fail: bool,
    ) -> stats::RequestResult {
        let send_delay = self.started_at.elapsed().saturating_sub(at);
        let nonce = format!("{}-{number}", self.profile.seed);
        let payload =
            standin::answer::Payload { run_ms, answer_bytes: stream.answer_bytes, fail, nonce };
        let body = serde_json::to_vec(&payload).expect("a payload can be written as JSON");
        let call = call::Call {
            queue: stream.queue.clone(),
            body,
            deadline_ms: stream.deadline_ms,
            idempotency_key: stream.idempotent.then(|| payload.nonce.clone()),
            repeatable: stream.repeatable,
        };
        let outcome = self.send_with_failover(number, stream, &call);
        let run = time::Duration::from_millis(run_ms);
        let elapsed = self.started_at.elapsed().saturating_sub(at);
        let met_deadline = stream.deadline_ms.map(|deadline_ms| {
            outcome == stats::RequestOutcome::Answered
                && elapsed <= time::Duration::from_millis(deadline_ms)
        });
        stats::RequestResult {
            class: stream.class.clone(),
            team: stream.team.clone(),
            arrival: at,
            send_delay,
            wait: elapsed.saturating_sub(run),
            met_deadline,
            outcome,
        }
    }

    /// Sends a request to a host. If that host refuses the connection, the request goes to the next
    /// one, as with a load balancer.
    fn send_with_failover(
        &self,
        number: usize,
        stream: &profile::Stream,
        call: &call::Call,
    ) -> stats::RequestOutcome {
        let count = self.targets.len();
        for attempt in 0..count {
            let target = &self.targets[(number + attempt) % count];
            let target = client::Target { key: stream.key.clone(), ..target.clone() };
            match call::send(&target, call) {
                Ok(response) => {
                    return match standin::answer::verify(
                        &response.body,
                        response.task(),
                        &call.body,
                    ) {
                        Ok(()) => stats::RequestOutcome::Answered,
                        Err(fault) => stats::RequestOutcome::Wrong(fault.to_string()),
                    };
                }
                Err(Error::NotSent { .. }) => {}
                Err(Error::Refused { refusal }) => {
                    let reason = refusal.kind.to_string();
                    return match refusal.outcome {
                        caller::Outcome::NotRun => stats::RequestOutcome::NotRun(reason),
                        caller::Outcome::Ran => stats::RequestOutcome::Failed(reason),
                        caller::Outcome::Unknown => stats::RequestOutcome::Unknown(reason),
                    };
                }
                Err(_) => return stats::RequestOutcome::Unknown("connection_lost".to_owned()),
            }
        }
        stats::RequestOutcome::NotRun("no_connection".to_owned())
    }

    fn print_progress(&self) {
        let mut next_at = self.started_at + PROGRESS_INTERVAL;
        while !self.is_finished() {
            thread::sleep(STOP_CHECK_INTERVAL);
            if time::Instant::now() < next_at {
                continue;
            }
            next_at += PROGRESS_INTERVAL;
            let sent = self.sent.load(atomic::Ordering::Relaxed);
            let ended = self.ended.load(atomic::Ordering::Relaxed);
            let answered = self.answered.load(atomic::Ordering::Relaxed);
            let (unfinished, done) = self.jobs.progress();
            eprintln!(
                "{} s: {sent} sent, {answered} answered, {} in progress; jobs: {done} done, {unfinished} unfinished",
                self.started_at.elapsed().as_secs(),
                sent.saturating_sub(ended),
            );
        }
    }
}

fn spawn<T: Send + 'static>(
    body: impl FnOnce() -> T + Send + 'static,
) -> Result<thread::JoinHandle<T>> {
    thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(body)
        .map_err(|error| Error::Thread { detail: error.to_string() })
}

fn join<T>(thread: thread::JoinHandle<T>) -> Result<T> {
    thread.join().map_err(|_| Error::Thread { detail: "the thread panicked".to_owned() })
}
