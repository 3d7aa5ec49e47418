//! The run of a load.

use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use persimmonpier::core::caller;

use crate::load::{arrivals, fleet, jobs, profile, stats, summary};
use crate::{Error, Result, call, client};

/// The stack of a sending thread, which holds one request and its answer.
const STACK_BYTES: usize = 512 << 10;
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_secs(2);
const STOP_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// What a load has led to.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// All results of requests.
    pub collected: stats::Collected,
    /// What the hosts said of themselves, sampled over time.
    pub fleet: Vec<fleet::Sample>,
    /// The numbers for the report.
    pub summary: summary::Summary,
}

/// What the threads of a load share.
struct Shared {
    profile: profile::Profile,
    targets: Vec<client::Target>,
    jobs: jobs::Jobs,
    began: time::Instant,
    sent: atomic::AtomicU64,
    ended: atomic::AtomicU64,
    answered: atomic::AtomicU64,
    all_sent: atomic::AtomicBool,
    finished: atomic::AtomicBool,
}

/// Runs a load to its end.
///
/// # Errors
/// [`Error::Thread`] if a thread cannot be started.
pub fn run(profile: &profile::Profile) -> Result<Outcome> {
    let plan = arrivals::plan(profile);
    let timeout = time::Duration::from_millis(profile.timeout_ms);
    let mut targets = Vec::new();
    for host in &profile.hosts {
        targets.push(client::Target { host: host.clone(), key: None, timeout });
    }
    let usage_before = fleet::usage(&profile.hosts);
    let shared = sync::Arc::new(Shared {
        profile: profile.clone(),
        targets,
        jobs: jobs::Jobs::default(),
        began: time::Instant::now(),
        sent: atomic::AtomicU64::new(0),
        ended: atomic::AtomicU64::new(0),
        answered: atomic::AtomicU64::new(0),
        all_sent: atomic::AtomicBool::new(false),
        finished: atomic::AtomicBool::new(false),
    });

    // The threads: senders, one collector, one that follows the jobs, one that samples the hosts,
    // one that prints progress.
    let (arrive, arrived) = flume::unbounded::<(usize, arrivals::Arrival)>();
    let (report, reported) = flume::unbounded();
    let mut senders = Vec::new();
    for _ in 0..profile.threads.min(plan.len()) {
        let (shared, arrived, report) =
            (sync::Arc::clone(&shared), arrived.clone(), report.clone());
        senders.push(spawn(move || shared.send_all(&arrived, &report))?);
    }
    drop(report);
    let own = sync::Arc::clone(&shared);
    let follower = spawn(move || {
        let limit = time::Duration::from_millis(own.profile.wait_for_jobs_ms);
        own.jobs.follow(&own.targets, || own.all_sent.load(atomic::Ordering::Acquire), limit);
    })?;
    let collector = spawn(move || {
        let mut collected = stats::Collected::default();
        for sample in reported.iter() {
            collected.add(&sample);
        }
        collected
    })?;
    let own = sync::Arc::clone(&shared);
    let sampler = spawn(move || {
        let waiting = || own.jobs.waiting_teams();
        fleet::sample(&own.profile, own.began, waiting, || own.is_finished())
    })?;
    let own = sync::Arc::clone(&shared);
    let progress = spawn(move || own.print_progress())?;

    // The arrivals, each at its time.
    for (number, arrival) in plan.iter().enumerate() {
        let due = shared.began + arrival.at;
        thread::sleep(due.saturating_duration_since(time::Instant::now()));
        // The senders live until the channel is closed.
        let _ = arrive.send((number, *arrival));
    }
    drop(arrive);
    for sender in senders {
        join(sender)?;
    }
    shared.all_sent.store(true, atomic::Ordering::Release);
    join(follower)?;
    shared.finished.store(true, atomic::Ordering::Release);
    let collected = join(collector)?;
    let samples = join(sampler)?;
    join(progress)?;

    let elapsed = shared.began.elapsed();
    let usage = fleet::usage_between(&usage_before, &fleet::usage(&profile.hosts), elapsed);
    let audit = profile.standin_control.as_deref().and_then(fleet::audit);
    let jobs = shared.jobs.to_counts();
    let full_after = time::Duration::from_millis(profile.full_after_ms);
    let cell = fleet::means(&samples, full_after);
    let summary = summary::Summary::new(elapsed, &collected, jobs, cell, usage, audit);
    Ok(Outcome { collected, fleet: samples, summary })
}

impl Shared {
    fn is_finished(&self) -> bool {
        self.finished.load(atomic::Ordering::Acquire)
    }

    fn send_all(
        &self,
        arrived: &flume::Receiver<(usize, arrivals::Arrival)>,
        report: &flume::Sender<stats::Sample>,
    ) {
        for (number, arrival) in arrived.iter() {
            self.sent.fetch_add(1, atomic::Ordering::Relaxed);
            match arrival.what {
                arrivals::What::Request { stream, run_ms, fail } => {
                    let stream = &self.profile.streams[stream];
                    let sample = self.send(number, arrival.at, stream, run_ms, fail);
                    if sample.end == stats::End::Answered {
                        self.answered.fetch_add(1, atomic::Ordering::Relaxed);
                    }
                    // The collector lives until the last sender has gone.
                    let _ = report.send(sample);
                }
                arrivals::What::Job { plan } => {
                    let unique = format!("load-{}-{number}", self.profile.seed);
                    let mut targets = self.targets.clone();
                    let first = number % targets.len();
                    targets.rotate_left(first);
                    self.jobs.submit(&targets, &self.profile.jobs[plan], &unique);
                }
            }
            self.ended.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }

    fn send(
        &self,
        number: usize,
        at: time::Duration,
        stream: &profile::Stream,
        run_ms: u64,
        fail: bool,
    ) -> stats::Sample {
        let behind = self.began.elapsed().saturating_sub(at);
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
        let end = self.end_of(number, stream, &call);
        let run = time::Duration::from_millis(run_ms);
        let took = self.began.elapsed().saturating_sub(at);
        let in_time = stream.deadline_ms.map(|deadline_ms| {
            end == stats::End::Answered && took <= time::Duration::from_millis(deadline_ms)
        });
        stats::Sample {
            class: stream.class.clone(),
            team: stream.team.clone(),
            at,
            behind,
            wait: took.saturating_sub(run),
            in_time,
            end,
        }
    }

    /// Sends a request to a host, and to the next one while nobody listens, as a load balancer
    /// does.
    fn end_of(&self, number: usize, stream: &profile::Stream, call: &call::Call) -> stats::End {
        let count = self.targets.len();
        for attempt in 0..count {
            let target = &self.targets[(number + attempt) % count];
            let target = client::Target { key: stream.key.clone(), ..target.clone() };
            match call::send(&target, call) {
                Ok(reply) => {
                    return match standin::answer::verify(&reply.body, reply.task(), &call.body) {
                        Ok(()) => stats::End::Answered,
                        Err(fault) => stats::End::Wrong(fault.to_string()),
                    };
                }
                Err(Error::NotSent { .. }) => {}
                Err(Error::Refused { refusal }) => {
                    let reason = refusal.kind.to_string();
                    return match refusal.outcome {
                        caller::Outcome::NotRun => stats::End::NotRun(reason),
                        caller::Outcome::Ran => stats::End::Failed(reason),
                        caller::Outcome::Unknown => stats::End::Unknown(reason),
                    };
                }
                Err(_) => return stats::End::Unknown("connection_lost".to_owned()),
            }
        }
        stats::End::NotRun("no_connection".to_owned())
    }

    fn print_progress(&self) {
        let mut next = self.began + PROGRESS_INTERVAL;
        while !self.is_finished() {
            thread::sleep(STOP_CHECK_INTERVAL);
            if time::Instant::now() < next {
                continue;
            }
            next += PROGRESS_INTERVAL;
            let sent = self.sent.load(atomic::Ordering::Relaxed);
            let ended = self.ended.load(atomic::Ordering::Relaxed);
            let answered = self.answered.load(atomic::Ordering::Relaxed);
            let (open, done) = self.jobs.progress();
            eprintln!(
                "{} s: {sent} sent, {answered} answered, {} in progress; jobs: {done} done, {open} open",
                self.began.elapsed().as_secs(),
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
    thread.join().map_err(|_| Error::Thread { detail: "a thread has panicked".to_owned() })
}
