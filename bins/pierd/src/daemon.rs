//! Starts and shuts down the components of an entry host.

use std::sync;
use std::thread;
use std::time;

use persimmonpier::core::{clock, ids};
use persimmonpier::state::{Event, State};
use persimmonpier::{front, link};
use tokio::runtime;

use crate::errors::Result;
use crate::{Settings, control, operators};

/// How long answers that are ready may still be written after the control state has drained.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// The same for the answers to requests that are given up when the time limit has passed.
const GIVE_UP_FLUSH_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// How long to wait for the threads of the runtime to exit.
const RUNTIME_SHUTDOWN_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Why the daemon exits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// All requests have ended and all work is handed over.
    Drained,
    /// The time limit of the shutdown expired, or a second signal was received.
    CutShort,
    /// The daemon failed to start, or the control thread exited unexpectedly.
    Failed,
}

/// A running entry host.
#[derive(Debug)]
pub struct Daemon {
    settings: Settings,
    runtime: runtime::Runtime,
    caller_server: front::CallerServer,
    rpc_server: link::server::RpcServer,
    events: flume::Sender<Event>,
    exit_receiver: flume::Receiver<()>,
    control_thread: thread::JoinHandle<()>,
}

impl Daemon {
    /// Starts all components. Connections are accepted when this returns, but the host reports
    /// itself as ready only once it may start work.
    ///
    /// # Errors
    /// An address cannot be bound, or a thread cannot be started.
    pub fn start(settings: Settings) -> Result<Self> {
        let incarnation: ids::Incarnation = rand::random();
        let clock = sync::Arc::new(clock::SystemClock::start());
        let metrics = front::Metrics::new();
        let (events, event_receiver) = flume::bounded(settings.event_queue);
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(settings.runtime_threads)
            .thread_name("traffic")
            .enable_all()
            .build()?;

        let _runtime_guard = runtime.enter();
        let links = settings.to_link_options();
        let traffic = sync::Arc::new(link::Traffic::default());
        let token_hashes = settings.state.operator_tokens.clone();
        let operators =
            sync::Arc::new(operators::OperatorHandler::new(token_hashes, events.clone()));
        let mut methods = link::peer::module(&links.identity, events.clone(), traffic.clone())?;
        let handler = sync::Arc::clone(&operators);
        let timeout = settings.operator_timeout;
        methods.merge(link::operator::module(handler, clock.clone(), timeout)?)?;
        let listen_address = settings.peer_listen_address;
        let server = link::server::RpcServer::start(listen_address, &links.peer, methods);
        let rpc_server = runtime.block_on(server)?;
        let caller_server = front::CallerServer::spawn(
            settings.caller_address,
            settings.callers.clone(),
            clock.clone(),
            events.clone(),
            metrics.clone(),
        )?;
        let handle = runtime.handle().clone();
        let executor =
            link::executor::spawn(links, clock.clone(), events.clone(), handle, &traffic)?;

        let state = State::new(
            settings.to_identity(incarnation),
            settings.to_state_options(),
            rand::random(),
        );
        let (exit_sender, exit_receiver) = flume::bounded(1);
        let control_loop = control::ControlLoop {
            state,
            clock,
            events: event_receiver,
            executor,
            caller_server: caller_server.clone(),
            operators,
            metrics,
            traffic,
            tick_interval: settings.tick_interval,
            exit_sender,
        };
        let control_thread =
            thread::Builder::new().name("control".to_owned()).spawn(move || control_loop.run())?;
        tracing::info!(
            host = %settings.host,
            availability_zone = %settings.availability_zone,
            callers = %settings.caller_address,
            peers = %settings.peer_address,
            incarnation,
            "host started"
        );
        drop(_runtime_guard);
        Ok(Self {
            settings,
            runtime,
            caller_server,
            rpc_server,
            events,
            exit_receiver,
            control_thread,
        })
    }

    /// The server of the caller interface.
    pub fn caller_server(&self) -> &front::CallerServer {
        &self.caller_server
    }

    /// Serves until a signal is received, then shuts down gracefully. A second signal ends the
    /// process at once.
    pub fn run(self, signals: &flume::Receiver<i32>) -> ExitReason {
        let signal_received = flume::Selector::new()
            .recv(signals, |signal| signal.is_ok())
            .recv(&self.exit_receiver, |_| false)
            .wait();
        if !signal_received {
            tracing::error!("the control thread exited unexpectedly");
            return ExitReason::Failed;
        }
        let reason = self.shut_down(signals);
        tracing::info!(verdict = ?reason, "host exits");
        reason
    }

    // The order of the steps avoids refused requests: load balancers first see that the host is
    // not ready, then new connections are refused, then workers are handed over.
    fn shut_down(self, signals: &flume::Receiver<i32>) -> ExitReason {
        let time_limit = self.settings.state.drain_limit.saturating_sub(GIVE_UP_FLUSH_TIMEOUT);
        let deadline = time::Instant::now() + time_limit;
        tracing::info!("shutdown started; new connections are still served");
        self.caller_server.drain();
        if signals.recv_timeout(self.settings.callers.drain_grace).is_ok() {
            return ExitReason::CutShort;
        }
        self.caller_server.close();
        if self.events.send(Event::Shutdown).is_err() {
            return ExitReason::Failed;
        }
        tracing::info!("refusing new connections and handing work over");
        let remaining = deadline.saturating_duration_since(time::Instant::now());
        let ended = flume::Selector::new()
            .recv(&self.exit_receiver, |exit| match exit {
                Ok(()) => ExitReason::Drained,
                Err(_) => ExitReason::Failed,
            })
            .recv(signals, |_| ExitReason::CutShort)
            .wait_timeout(remaining);
        let Ok(reason) = ended else {
            self.give_up_requests();
            return ExitReason::CutShort;
        };
        if reason != ExitReason::Drained {
            return reason;
        }
        if self.control_thread.join().is_err() {
            return ExitReason::Failed;
        }
        let caller_server = self.caller_server;
        let rpc_server = self.rpc_server;
        self.runtime.block_on(async move {
            let closed = async {
                caller_server.closed().await;
                rpc_server.stop().await;
            };
            if tokio::time::timeout(FLUSH_TIMEOUT, closed).await.is_err() {
                tracing::warn!("closing connections that are still open after the flush timeout");
            }
        });
        self.runtime.shutdown_timeout(RUNTIME_SHUTDOWN_TIMEOUT);
        ExitReason::Drained
    }

    /// Answers the requests that are still open when the time limit of the shutdown has passed.
    fn give_up_requests(&self) {
        let requests = self.caller_server.requests();
        tracing::warn!(requests, "the time limit of the shutdown has passed; giving up requests");
        self.caller_server.give_up_requests();
        self.runtime.block_on(async {
            let closed = self.caller_server.closed();
            if tokio::time::timeout(GIVE_UP_FLUSH_TIMEOUT, closed).await.is_err() {
                tracing::warn!("closing connections that are still open after the flush timeout");
            }
        });
    }
}
