//! Load generators for a cell, and the outcomes of their requests.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use persimmonpier::core::caller;

use super::call::{Call, CallOutcome, request};
use super::declaration::KEY;

/// A finished attempt of a request.
#[derive(Debug, Clone)]
pub struct FinishedCall {
    /// The index of the address in [`LoadOptions::targets`].
    pub target: usize,
    /// The name of the request. Its retries have the same name.
    pub request: String,
    pub sent_at: time::Instant,
    pub ended_at: time::Instant,
    pub outcome: CallOutcome,
}

/// The callers of a load generator and their requests.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    pub targets: Vec<net::SocketAddr>,
    pub callers: usize,
    pub run_ms: u64,
    /// Whether requests carry an idempotency key and are sent again to another host when their
    /// connection closes without an answer.
    pub retries: bool,
}

#[derive(Default)]
struct Shared {
    stopped: atomic::AtomicBool,
    finished: sync::Mutex<Vec<FinishedCall>>,
}

/// Callers that each send one request after the other, to the targets in round-robin order.
pub struct LoadGenerator {
    shared: sync::Arc<Shared>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl LoadGenerator {
    pub fn start(options: &LoadOptions) -> Self {
        let shared = sync::Arc::new(Shared::default());
        let mut threads = Vec::new();
        for caller in 0..options.callers {
            let (shared, options) = (sync::Arc::clone(&shared), options.clone());
            threads.push(thread::spawn(move || run_caller(&shared, &options, caller)));
        }
        Self { shared, threads }
    }

    /// Stops the callers, waits for their open requests and returns all finished attempts.
    pub fn stop(mut self) -> Vec<FinishedCall> {
        self.shared.stopped.store(true, atomic::Ordering::Release);
        for thread in self.threads.drain(..) {
            thread.join().expect("the caller does not panic");
        }
        let finished = self.shared.finished.lock().expect("no holder of the lock panics").clone();
        for call in &finished {
            assert!(!matches!(call.outcome, CallOutcome::InvalidAnswer(_)), "{call:?}");
        }
        finished
    }
}

impl Drop for LoadGenerator {
    fn drop(&mut self) {
        self.shared.stopped.store(true, atomic::Ordering::Release);
    }
}

/// Sends a request from a new caller at each interval, to the targets in round-robin order, and
/// returns the finished requests. A request that hangs does not delay the following ones.
pub fn send_probes(
    targets: &[net::SocketAddr],
    interval: time::Duration,
    count: usize,
    run_ms: u64,
) -> Vec<FinishedCall> {
    let mut callers = Vec::new();
    for number in 0..count {
        let (target, request_name) = (number % targets.len(), format!("probe-{number}"));
        let address = targets[target];
        callers.push(thread::spawn(move || {
            let sent_at = time::Instant::now();
            let call = Call { run_ms, nonce: &request_name, ..Call::default() };
            let outcome = request(address, &call);
            FinishedCall {
                target,
                request: request_name,
                sent_at,
                ended_at: time::Instant::now(),
                outcome,
            }
        }));
        thread::sleep(interval);
    }
    let mut finished = Vec::new();
    for caller in callers {
        finished.push(caller.join().expect("the caller does not panic"));
    }
    finished
}

fn run_caller(shared: &Shared, options: &LoadOptions, caller: usize) {
    let mut target = caller;
    for number in 0_u64.. {
        if shared.stopped.load(atomic::Ordering::Acquire) {
            return;
        }
        let nonce = format!("{caller}-{number}");
        let idempotency_key = options.retries.then_some(nonce.as_str());
        let call = Call { run_ms: options.run_ms, nonce: &nonce, idempotency_key, key: KEY };
        for _ in 0..options.targets.len() {
            target = (target + 1) % options.targets.len();
            let sent_at = time::Instant::now();
            let outcome = request(options.targets[target], &call);
            let has_no_answer =
                matches!(outcome, CallOutcome::NotConnected | CallOutcome::ConnectionLost(_));
            let ended_at = time::Instant::now();
            let finished =
                FinishedCall { target, request: nonce.clone(), sent_at, ended_at, outcome };
            shared.finished.lock().expect("no holder of the lock panics").push(finished);
            if !has_no_answer || !options.retries {
                break;
            }
        }
        thread::sleep(time::Duration::from_millis(2));
    }
}

/// The number of requests that were answered in an interval, by all targets or by one.
pub fn count_answered(
    finished: &[FinishedCall],
    from: time::Instant,
    to: time::Instant,
    target: Option<usize>,
) -> usize {
    let mut count = 0;
    for call in finished {
        let has_target = target.is_none_or(|target| call.target == target);
        if has_target
            && call.ended_at >= from
            && call.ended_at < to
            && call.outcome == CallOutcome::Answered
        {
            count += 1;
        }
    }
    count
}

/// The numbers of distinct requests by their outcome over all attempts.
#[derive(Debug, Default)]
pub struct Outcomes {
    pub answered: u64,
    /// Requests of which every attempt certainly did not run.
    pub not_run: u64,
    pub unknown: u64,
    /// The number of refused attempts by kind and outcome.
    pub refusals: collections::BTreeMap<String, u64>,
}

impl Outcomes {
    pub fn count(finished: &[FinishedCall]) -> Self {
        let mut outcomes = Self::default();
        let mut requests: collections::BTreeMap<&str, Vec<&CallOutcome>> =
            collections::BTreeMap::new();
        for call in finished {
            requests.entry(&call.request).or_default().push(&call.outcome);
            if let CallOutcome::Refused(_, body) = &call.outcome {
                let refusal: caller::Refusal = serde_json::from_str(body).expect("a refusal");
                let kind = format!("{} {}", refusal.kind, refusal.outcome);
                *outcomes.refusals.entry(kind).or_default() += 1;
            }
        }
        for attempts in requests.values() {
            if attempts.iter().any(|outcome| **outcome == CallOutcome::Answered) {
                outcomes.answered += 1;
            } else if attempts
                .iter()
                .all(|outcome| outcome.is_not_run() || **outcome == CallOutcome::NotConnected)
            {
                outcomes.not_run += 1;
            } else {
                outcomes.unknown += 1;
            }
        }
        outcomes
    }
}
