//! The running stand-in: its state, its threads and the dispatch of requests.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use pier_core::{ids, wire};
use rand::{Rng, SeedableRng, rngs};

use crate::{
    Error, Result, audit, control, faults, hosts, http, log, relay, settings, tasks, timer, worker,
};

/// The interval between the connections of [`Shared::keep_accepting`].
const WAKE_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// The time after which a request that is left unanswered is dropped.
const UNANSWERED_LIMIT: time::Duration = time::Duration::from_secs(120);
const STOP_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
const DEFAULT_MAX_RECORDS: usize = 1_000;

/// The state of the platform. One lock guards all of it, which keeps counters over all workers
/// consistent.
pub(crate) struct State {
    pub log: log::Log,
    pub hosts: hosts::Hosts,
    pub workers: collections::BTreeMap<ids::WorkerId, worker::Worker>,
    pub faults: faults::Faults,
    pub audit: audit::Audit,
    /// The run time that checkpointed tasks have completed. Any worker can resume from it.
    pub progress: collections::BTreeMap<ids::TaskId, time::Duration>,
    pub rng: rngs::StdRng,
    unanswered: collections::VecDeque<(time::Instant, http::Responder)>,
}

impl State {
    /// Leaves a request unanswered, with its connection open, for [`UNANSWERED_LIMIT`].
    pub fn leave_unanswered(&mut self, now: time::Instant, responder: http::Responder) {
        self.unanswered.push_back((now, responder));
    }
}

/// State that the threads of the stand-in share.
pub(crate) struct Shared {
    pub settings: settings::Settings,
    pub timer: timer::Timer,
    state: sync::Mutex<State>,
    stopped: atomic::AtomicBool,
}

/// A running stand-in. It stops when it is dropped.
pub struct Standin {
    shared: sync::Arc<Shared>,
    servers: Vec<sync::Arc<tiny_http::Server>>,
    threads: Vec<thread::JoinHandle<()>>,
    address: net::SocketAddr,
    control_address: net::SocketAddr,
}

impl Standin {
    /// Starts the servers. Port 0 selects any free port.
    ///
    /// # Errors
    /// [`Error::Listen`] or [`Error::Thread`].
    pub fn start(settings: settings::Settings) -> Result<Self> {
        let (platform, address) = listen(&settings.address)?;
        let (control, control_address) = listen(&settings.control_address)?;
        let now = time::Instant::now();
        let entries = settings.to_hosts(&address.to_string());
        let mut workers = collections::BTreeMap::new();
        for entry in &entries {
            if entry.role == wire::HostRole::Worker {
                workers.insert(entry.id.clone(), worker::Worker::new(entry));
            }
        }
        let lag = time::Duration::from_millis(settings.host_list_lag_ms);
        let state = State {
            log: log::Log::new(settings.log.clone()),
            hosts: hosts::Hosts::new(now, entries, lag),
            workers,
            faults: faults::Faults::default(),
            audit: audit::Audit::default(),
            progress: collections::BTreeMap::new(),
            rng: rngs::StdRng::seed_from_u64(settings.seed),
            unanswered: collections::VecDeque::new(),
        };
        let threads = settings.threads.max(1);
        let shared = sync::Arc::new(Shared {
            settings,
            timer: timer::Timer::default(),
            state: sync::Mutex::new(state),
            stopped: atomic::AtomicBool::new(false),
        });
        let mut standin = Self {
            shared: sync::Arc::clone(&shared),
            servers: vec![sync::Arc::clone(&platform), sync::Arc::clone(&control)],
            threads: Vec::new(),
            address,
            control_address,
        };
        for _ in 0..threads {
            let (shared, server) = (sync::Arc::clone(&shared), sync::Arc::clone(&platform));
            standin.spawn(move || shared.serve(&server, dispatch))?;
        }
        let thread_shared = sync::Arc::clone(&shared);
        standin.spawn(move || thread_shared.serve(&control, control::handle))?;
        let thread_shared = sync::Arc::clone(&shared);
        standin.spawn(move || thread_shared.timer.run())?;
        let thread_shared = sync::Arc::clone(&shared);
        standin.spawn(move || thread_shared.keep_accepting(&[address, control_address]))?;
        for host in shared.settings.entry_hosts.clone() {
            let Some(relay) = relay::Relay::bind(&shared, &host)? else {
                continue;
            };
            standin.spawn(move || relay.run())?;
        }
        schedule_maintenance(&shared);
        Ok(standin)
    }

    /// The address of log, host list and workers.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// The address of the control port.
    pub fn control_address(&self) -> net::SocketAddr {
        self.control_address
    }

    fn spawn(&mut self, body: impl FnOnce() + Send + 'static) -> Result<()> {
        let thread = thread::Builder::new()
            .spawn(body)
            .map_err(|error| Error::Thread { detail: error.to_string() })?;
        self.threads.push(thread);
        Ok(())
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.shared.stopped.store(true, atomic::Ordering::Release);
        self.shared.timer.stop();
        for server in &self.servers {
            server.unblock();
        }
        for thread in self.threads.drain(..) {
            // A thread that panicked has ended as well.
            let _ = thread.join();
        }
    }
}

impl Shared {
    pub fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    pub fn is_stopped(&self) -> bool {
        self.stopped.load(atomic::Ordering::Acquire)
    }

    fn serve(
        self: &sync::Arc<Self>,
        server: &tiny_http::Server,
        handle: fn(&sync::Arc<Self>, http::Call),
    ) {
        while !self.is_stopped() {
            let Ok(Some(request)) = server.recv_timeout(STOP_CHECK_INTERVAL) else {
                continue;
            };
            if let Some(call) = http::Call::read(request) {
                handle(self, call);
            }
        }
    }

    /// Opens connections at short intervals. If two connections arrive at once while a single
    /// thread of `tiny_http` is idle, one may be queued behind the other, which stays open. Each
    /// further connection wakes or spawns a thread that serves the queued one.
    fn keep_accepting(&self, addresses: &[net::SocketAddr]) {
        while !self.is_stopped() {
            for address in addresses {
                drop(net::TcpStream::connect(address));
            }
            thread::sleep(WAKE_INTERVAL);
        }
    }
}

fn listen(address: &str) -> Result<(sync::Arc<tiny_http::Server>, net::SocketAddr)> {
    let failed = |detail: String| Error::Listen { address: address.to_owned(), detail };
    let listener = net::TcpListener::bind(address).map_err(|error| failed(error.to_string()))?;
    let local = listener.local_addr().map_err(|error| failed(error.to_string()))?;
    let server = tiny_http::Server::from_listener(listener, None)
        .map_err(|error| failed(error.to_string()))?;
    Ok((sync::Arc::new(server), local))
}

/// Periodically records the workers' reports, discards old ends of attempts and drops requests
/// that were left unanswered for too long.
fn schedule_maintenance(shared: &sync::Arc<Shared>) {
    let interval = time::Duration::from_millis(shared.settings.report_lag_ms.max(20) / 2);
    let keep = time::Duration::from_millis(shared.settings.remember_ended_ms);
    let action_shared = sync::Arc::clone(shared);
    shared.timer.run_at(time::Instant::now() + interval, move || {
        let now = time::Instant::now();
        let mut state = action_shared.lock();
        for worker in state.workers.values_mut() {
            worker.discard_ended(now, keep);
            worker.record_report(now);
        }
        let mut expired = Vec::new();
        while let Some((since, _)) = state.unanswered.front() {
            if now.saturating_duration_since(*since) < UNANSWERED_LIMIT {
                break;
            }
            expired.extend(state.unanswered.pop_front());
        }
        drop(state);
        for (_, responder) in expired {
            responder.drop_request();
        }
        if !action_shared.is_stopped() {
            schedule_maintenance(&action_shared);
        }
    });
}

fn dispatch(shared: &sync::Arc<Shared>, call: http::Call) {
    let first = call.path.first().map(String::as_str);
    match first {
        Some("streams") => handle_log(shared, call),
        Some("hosts") => handle_hosts(shared, call),
        Some("workers") => tasks::handle(shared, call),
        _ => call.responder.send(http::NOT_FOUND, &"no such path"),
    }
}

fn handle_log(shared: &sync::Arc<Shared>, call: http::Call) {
    let [_, stream, records] = call.path.as_slice() else {
        return call.responder.send(http::NOT_FOUND, &"no such path");
    };
    if records != "records" {
        return call.responder.send(http::NOT_FOUND, &"no such path");
    }
    let now = time::Instant::now();
    let mut guard = shared.lock();
    let state = &mut *guard;
    let log_faults = state.faults.log.clone();
    let mut delay = time::Duration::from_millis(log_faults.slow_ms);
    let is_cut = state.faults.is_cut(shared.settings.zone_of(&call.host), None);
    if is_cut || state.faults.of_host(&call.host).log {
        drop(guard);
        return call.responder.drop_request();
    }
    let (status, body) = match call.method {
        _ if log_faults.outage => (http::UNAVAILABLE, b"\"outage\"".to_vec()),
        tiny_http::Method::Post => {
            let appended = state.log.append(now, stream, call.body);
            delay += time::Duration::from_millis(shared.settings.log.append_ms);
            if should_drop_reply(state) {
                drop(guard);
                return call.responder.drop_request();
            }
            (http::OK, to_json(&appended))
        }
        tiny_http::Method::Get => {
            let from = parse_or(call.query_parameter("from"), 0);
            let max = parse_or(call.query_parameter("max"), DEFAULT_MAX_RECORDS);
            (http::OK, to_json(&state.log.read(now, stream, from, max)))
        }
        _ => (http::BAD_REQUEST, b"\"no such method\"".to_vec()),
    };
    drop(guard);
    send_after(shared, delay, call.responder, http::response(status, &body));
}

/// Decides whether the reply to an append is dropped, and counts down `lose_next_replies`.
fn should_drop_reply(state: &mut State) -> bool {
    let log_faults = &mut state.faults.log;
    if log_faults.lose_next_replies > 0 {
        log_faults.lose_next_replies -= 1;
        return true;
    }
    let percent = log_faults.lose_replies_percent;
    percent > 0.0 && state.rng.random_range(0.0..100.0) < percent
}

fn handle_hosts(shared: &sync::Arc<Shared>, call: http::Call) {
    let now = time::Instant::now();
    let state = shared.lock();
    let is_cut = state.faults.is_cut(shared.settings.zone_of(&call.host), None);
    if is_cut || state.faults.of_host(&call.host).host_list {
        drop(state);
        return call.responder.drop_request();
    }
    if state.faults.host_list.outage {
        drop(state);
        return call.responder.send(http::UNAVAILABLE, &"outage");
    }
    let (tag, list) = state.hosts.read(now, &state.faults.host_list);
    drop(state);
    let age_s = list.age_ms.div_ceil(1_000);
    let body = (call.if_none_match != tag).then(|| to_json(&list));
    call.responder.send_raw(&http::tagged_response(&tag, age_s, body.as_deref()));
}

/// Sends a response after a delay.
pub(crate) fn send_after(
    shared: &sync::Arc<Shared>,
    delay: time::Duration,
    responder: http::Responder,
    response: Vec<u8>,
) {
    if delay.is_zero() {
        return responder.send_raw(&response);
    }
    shared.timer.run_at(time::Instant::now() + delay, move || responder.send_raw(&response));
}

pub(crate) fn to_json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("answers can be written as JSON")
}

fn parse_or<T: std::str::FromStr>(text: Option<String>, default: T) -> T {
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}
