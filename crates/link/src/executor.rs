//! Executes the effects of the control state.

use std::sync;
use std::thread;
use std::time;

use pier_core::{clock, ids};
use pier_state::event::{LogEvent, NotStarted, WorkerEvent};
use pier_state::{Effect, Event, record};
use tokio::runtime;

use crate::{Error, Result, host_list, log, options, peer, traffic, worker};

const STOP_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// A read that waits for the thread that reads the log.
struct LogRead {
    ticket: ids::Ticket,
    from: ids::Offset,
    max_records: u32,
}

/// An append that waits for the thread that appends to the log.
struct LogAppend {
    ticket: ids::Ticket,
    bytes: sync::Arc<[u8]>,
}

/// Executes effects without blocking the calling thread and sends their results as events.
///
/// One thread reads the log, a second appends to it and a third polls the host list. Calls to
/// workers and peers run on a tokio runtime. The threads end after the executor is dropped, at the
/// latest when their current call returns.
pub struct Executor {
    reads: flume::Sender<LogRead>,
    appends: flume::Sender<LogAppend>,
    peers: peer::PeerLinks,
    workers: worker::WorkerClient,
    start_permits: sync::Arc<tokio::sync::Semaphore>,
    runtime: runtime::Handle,
    events: flume::Sender<Event>,
    /// The thread that polls the host list ends when this is dropped.
    _alive: sync::Arc<()>,
}

/// Starts an executor with its threads. Calls to workers and peers run on `runtime`. `events`
/// should be unbounded or large, because the threads block while it is full. The bytes of all links
/// are counted in `traffic`.
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

    let (reads, queued_reads) = flume::bounded(log.queue_limit);
    let (appends, queued_appends) = flume::bounded(log.queue_limit);
    let client = log::LogClient::new(host.clone(), log).with_traffic(sync::Arc::clone(traffic));
    let reader = client.clone();
    let results = events.clone();
    spawn_thread("log-read", move || read_log(&reader, &queued_reads, &results))?;
    let results = events.clone();
    spawn_thread("log-append", move || append_to_log(&client, &queued_appends, &results))?;

    let alive = sync::Arc::new(());
    let executor_alive = sync::Arc::downgrade(&alive);
    let interval = host_list.poll_interval;
    let mut client = host_list::HostListClient::new(host.clone(), host_list)
        .with_traffic(sync::Arc::clone(traffic));
    let results = events.clone();
    spawn_thread("host-list", move || {
        poll_host_list(&mut client, interval, &executor_alive, &results)
    })?;

    let start_permits = sync::Arc::new(tokio::sync::Semaphore::new(worker.max_starts));
    let workers =
        worker::WorkerClient::new(host, worker, clock).with_traffic(sync::Arc::clone(traffic));
    let peers = peer::PeerLinks::new(identity, peer, runtime.clone())
        .with_traffic(sync::Arc::clone(traffic));
    Ok(Executor { reads, appends, peers, workers, start_permits, runtime, events, _alive: alive })
}

impl Executor {
    /// Starts to execute an effect and returns immediately. Effects that concern neither external
    /// systems nor peers ([`Effect::AnswerCaller`], [`Effect::AnswerOperator`], [`Effect::Log`] and
    /// [`Effect::Exit`]) are returned to the caller.
    pub fn execute(&self, effect: Effect) -> Option<Effect> {
        match effect {
            Effect::ReadLog { ticket, from, max_records } => {
                if self.reads.try_send(LogRead { ticket, from, max_records }).is_err() {
                    self.send_event(Event::Log(LogEvent::ReadFailed { ticket }));
                }
            }
            Effect::Append { ticket, bytes } => {
                if self.appends.try_send(LogAppend { ticket, bytes }).is_err() {
                    self.send_event(Event::Log(LogEvent::AppendFailed { ticket, certain: true }));
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
                    tracing::warn!(%worker, "too many starts in flight; a start is not sent");
                    let (task, attempt) = (start.task.clone(), start.attempt);
                    let reason = NotStarted::Expired;
                    let event = WorkerEvent::NotStarted { worker, task, attempt, reason };
                    return self.send_event(Event::Worker(event));
                };
                self.spawn_worker_call(async move {
                    let event = workers.start(worker, &address, not_after, &start).await;
                    drop(permit);
                    event
                });
            }
            Effect::WorkerRenew { worker, address, renew } => {
                self.spawn_worker_call(
                    async move { workers.renew(worker, &address, &renew).await },
                );
            }
            Effect::WorkerPreempt { worker, address, token, task, attempt, mode } => {
                self.spawn_worker_call(async move {
                    workers.preempt(worker, &address, token, (task, attempt), mode).await
                });
            }
            Effect::WorkerFence { worker, address, token } => {
                self.spawn_worker_call(async move { workers.fence(worker, &address, token).await });
            }
            Effect::WorkerReport { worker, address } => {
                self.spawn_worker_call(async move { workers.report(worker, &address).await });
            }
            _ => {}
        }
    }

    /// Runs a call to a worker on the runtime and sends its result as an event.
    fn spawn_worker_call(&self, call: impl Future<Output = WorkerEvent> + Send + 'static) {
        let events = self.events.clone();
        self.runtime.spawn(async move {
            let event = call.await;
            // The receiver is dropped only when the process exits.
            let _ = events.send_async(Event::Worker(event)).await;
        });
    }

    /// Sends an event from the calling thread, which must not block.
    fn send_event(&self, event: Event) {
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
    reads: &flume::Receiver<LogRead>,
    events: &flume::Sender<Event>,
) {
    for read in reads.iter() {
        let ticket = read.ticket;
        let event = match client.read(record::CONTROL_STREAM, read.from, read.max_records) {
            Ok(page) => LogEvent::Read { ticket, page },
            Err(error) => {
                tracing::debug!(%error, "reading the log failed");
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
    appends: &flume::Receiver<LogAppend>,
    events: &flume::Sender<Event>,
) {
    for append in appends.iter() {
        let ticket = append.ticket;
        let event = match client.append(record::CONTROL_STREAM, &append.bytes) {
            Ok(offset) => LogEvent::Appended { ticket, offset },
            Err(error) => {
                tracing::debug!(%error, "appending to the log failed");
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
    executor_alive: &sync::Weak<()>,
    events: &flume::Sender<Event>,
) {
    while executor_alive.strong_count() > 0 {
        let started_at = time::Instant::now();
        let list = match client.read() {
            Ok(list) => Some(list),
            Err(error) => {
                tracing::debug!(%error, "reading the host list failed");
                None
            }
        };
        if events.send(Event::HostList(list)).is_err() {
            return;
        }
        while started_at.elapsed() < interval && executor_alive.strong_count() > 0 {
            let remaining = interval.saturating_sub(started_at.elapsed());
            thread::sleep(remaining.min(STOP_POLL_INTERVAL));
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
