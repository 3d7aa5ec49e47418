//! Carries out the effects of the control state.

use std::sync;
use std::thread;
use std::time;

use pier_core::{clock, ids};
use pier_state::event::{LogEvent, NotStarted, WorkerEvent};
use pier_state::{Effect, Event, record};
use tokio::runtime;

use crate::{Error, Result, host_list, log, options, peer, traffic, worker};

const STOP_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

struct ReadJob {
    ticket: ids::Ticket,
    from: ids::Offset,
    max_records: u32,
}

struct AppendJob {
    ticket: ids::Ticket,
    bytes: sync::Arc<[u8]>,
}

/// Carries out effects without ever blocking its caller and sends their results as events.
///
/// The log is read by one thread, appended to by another, and the host list is polled by a third.
/// Calls to workers and peers run on a tokio runtime. The threads end after the executor was
/// dropped, at the latest when their current call ends.
pub struct Executor {
    reads: flume::Sender<ReadJob>,
    appends: flume::Sender<AppendJob>,
    peers: peer::PeerLinks,
    workers: worker::WorkerClient,
    start_permits: sync::Arc<tokio::sync::Semaphore>,
    runtime: runtime::Handle,
    events: flume::Sender<Event>,
    /// The host list thread ends when this is dropped.
    _running: sync::Arc<()>,
}

/// Starts the threads of an executor. Calls to workers and peers run on `runtime`. `events` should
/// be unbounded or large: a background thread waits while it is full. The bytes of all links are
/// counted in `traffic`.
///
/// # Errors
/// [`Error::Thread`] if a thread cannot be started.
pub fn spawn(
    options: options::Options,
    clock: sync::Arc<dyn clock::Clock>,
    events: flume::Sender<Event>,
    runtime: runtime::Handle,
    traffic: &sync::Arc<traffic::Traffic>,
) -> Result<Executor> {
    let options::Options { identity, log, host_list, worker, peer } = options;
    let host = identity.host.clone();

    let (reads, read_jobs) = flume::bounded(log.queue_limit);
    let (appends, append_jobs) = flume::bounded(log.queue_limit);
    let client = log::LogClient::new(host.clone(), log).with_traffic(sync::Arc::clone(traffic));
    let reader = client.clone();
    let results = events.clone();
    spawn_thread("log-read", move || read_log(&reader, &read_jobs, &results))?;
    let results = events.clone();
    spawn_thread("log-append", move || append_to_log(&client, &append_jobs, &results))?;

    let running = sync::Arc::new(());
    let alive = sync::Arc::downgrade(&running);
    let interval = host_list.poll_interval;
    let mut client = host_list::HostListClient::new(host.clone(), host_list)
        .with_traffic(sync::Arc::clone(traffic));
    let results = events.clone();
    spawn_thread("host-list", move || poll_host_list(&mut client, interval, &alive, &results))?;

    let start_permits = sync::Arc::new(tokio::sync::Semaphore::new(worker.max_starts));
    let workers =
        worker::WorkerClient::new(host, worker, clock).with_traffic(sync::Arc::clone(traffic));
    let peers = peer::PeerLinks::new(identity, peer, runtime.clone())
        .with_traffic(sync::Arc::clone(traffic));
    Ok(Executor {
        reads,
        appends,
        peers,
        workers,
        start_permits,
        runtime,
        events,
        _running: running,
    })
}

impl Executor {
    /// Carries out an effect and returns at once. The effects that are not about the outside
    /// systems or peers ([`Effect::AnswerCaller`], [`Effect::AnswerOperator`], [`Effect::Log`]
    /// and [`Effect::Exit`]) are given back.
    pub fn execute(&self, effect: Effect) -> Option<Effect> {
        match effect {
            Effect::ReadLog { ticket, from, max_records } => {
                if self.reads.try_send(ReadJob { ticket, from, max_records }).is_err() {
                    self.report(Event::Log(LogEvent::ReadFailed { ticket }));
                }
            }
            Effect::Append { ticket, bytes } => {
                if self.appends.try_send(AppendJob { ticket, bytes }).is_err() {
                    self.report(Event::Log(LogEvent::AppendFailed { ticket, certain: true }));
                }
            }
            Effect::SendPeer { to, address, incarnation, message } => {
                self.peers.send(&to, &address, incarnation, message);
            }
            Effect::AnswerCaller { .. }
            | Effect::AnswerOperator { .. }
            | Effect::Log(_)
            | Effect::Exit => return Some(effect),
            effect => self.call_worker(effect),
        }
        None
    }

    fn call_worker(&self, effect: Effect) {
        let workers = self.workers.clone();
        match effect {
            Effect::WorkerStart { worker, address, not_after, start } => {
                let Ok(permit) = sync::Arc::clone(&self.start_permits).try_acquire_owned() else {
                    tracing::warn!(%worker, "too many starts in progress; a start is not sent");
                    let (task, attempt) = (start.task.clone(), start.attempt);
                    let reason = NotStarted::Expired;
                    let event = WorkerEvent::NotStarted { worker, task, attempt, reason };
                    return self.report(Event::Worker(event));
                };
                self.run(async move {
                    let event = workers.start(worker, &address, not_after, &start).await;
                    drop(permit);
                    event
                });
            }
            Effect::WorkerRenew { worker, address, renew } => {
                self.run(async move { workers.renew(worker, &address, &renew).await });
            }
            Effect::WorkerYield { worker, address, token, task, attempt, how } => {
                self.run(async move {
                    workers.preempt(worker, &address, token, (task, attempt), how).await
                });
            }
            Effect::WorkerFence { worker, address, token } => {
                self.run(async move { workers.fence(worker, &address, token).await });
            }
            Effect::WorkerReport { worker, address } => {
                self.run(async move { workers.report(worker, &address).await });
            }
            _ => {}
        }
    }

    /// Runs a call to a worker on the runtime and reports its result.
    fn run(&self, call: impl Future<Output = WorkerEvent> + Send + 'static) {
        let events = self.events.clone();
        self.runtime.spawn(async move {
            let event = call.await;
            // The receiver is gone only when the process ends.
            let _ = events.send_async(Event::Worker(event)).await;
        });
    }

    /// Reports a result from the caller's thread, which must not wait.
    fn report(&self, event: Event) {
        if self.events.is_full() {
            let events = self.events.clone();
            self.runtime.spawn(async move {
                let _ = events.send_async(event).await;
            });
            return;
        }
        let _ = self.events.try_send(event);
    }
}

fn read_log(
    client: &log::LogClient,
    jobs: &flume::Receiver<ReadJob>,
    events: &flume::Sender<Event>,
) {
    for job in jobs.iter() {
        let ticket = job.ticket;
        let event = match client.read(record::CONTROL_STREAM, job.from, job.max_records) {
            Ok(page) => LogEvent::Read { ticket, page },
            Err(error) => {
                tracing::debug!(%error, "the log cannot be read");
                LogEvent::ReadFailed { ticket }
            }
        };
        if events.send(Event::Log(event)).is_err() {
            return;
        }
    }
}

fn append_to_log(
    client: &log::LogClient,
    jobs: &flume::Receiver<AppendJob>,
    events: &flume::Sender<Event>,
) {
    for job in jobs.iter() {
        let ticket = job.ticket;
        let event = match client.append(record::CONTROL_STREAM, &job.bytes) {
            Ok(offset) => LogEvent::Appended { ticket, offset },
            Err(error) => {
                tracing::debug!(%error, "an append to the log failed");
                LogEvent::AppendFailed { ticket, certain: error.was_not_executed() }
            }
        };
        if events.send(Event::Log(event)).is_err() {
            return;
        }
    }
}

fn poll_host_list(
    client: &mut host_list::HostListClient,
    interval: time::Duration,
    alive: &sync::Weak<()>,
    events: &flume::Sender<Event>,
) {
    while alive.strong_count() > 0 {
        let began = time::Instant::now();
        let list = match client.read() {
            Ok(list) => Some(list),
            Err(error) => {
                tracing::debug!(%error, "the host list cannot be read");
                None
            }
        };
        if events.send(Event::HostList(list)).is_err() {
            return;
        }
        while began.elapsed() < interval && alive.strong_count() > 0 {
            let left = interval.saturating_sub(began.elapsed());
            thread::sleep(left.min(STOP_CHECK_INTERVAL));
        }
    }
}

fn spawn_thread(name: &'static str, body: impl FnOnce() + Send + 'static) -> Result<()> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(body)
        .map(|_| ())
        .map_err(|error| Error::Thread { name, detail: error.to_string() })
}
