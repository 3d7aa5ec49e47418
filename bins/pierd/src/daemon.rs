//! Starts and ends the parts of an entry host.

use std::sync;
use std::thread;
use std::time;

use persimmonpier::core::{clock, ids};
use persimmonpier::state::{Event, State};
use persimmonpier::{front, link};
use tokio::runtime;

use crate::errors::Result;
use crate::{Settings, control, operators};

/// The time for which answers that are ready are still written after the state is drained.
const LAST_ANSWERS_LIMIT: time::Duration = time::Duration::from_secs(2);
/// The time that threads of the runtime have to end.
const RUNTIME_LIMIT: time::Duration = time::Duration::from_secs(1);

/// How a daemon ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Every request has ended and everything is handed over.
    Drained,
    /// The limit of the shutdown or a second signal came first.
    CutShort,
    /// The control thread has ended without being asked to.
    Failed,
}

/// A running entry host.
#[derive(Debug)]
pub struct Daemon {
    settings: Settings,
    runtime: runtime::Runtime,
    front: front::CallerServer,
    rpc: link::server::RpcServer,
    events: flume::Sender<Event>,
    exits: flume::Receiver<()>,
    control: thread::JoinHandle<()>,
}

impl Daemon {
    /// Starts all parts. It serves when this returns, although it is not ready yet.
    ///
    /// # Errors
    /// An address that cannot be listened on, or a thread that cannot be started.
    pub fn start(settings: Settings) -> Result<Self> {
        let incarnation: ids::Incarnation = rand::random();
        let clock = sync::Arc::new(clock::SystemClock::start());
        let metrics = front::Metrics::new();
        let (events, incoming) = flume::bounded(settings.event_queue);
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(settings.runtime_threads)
            .thread_name("traffic")
            .enable_all()
            .build()?;

        let _entered = runtime.enter();
        let links = settings.to_link_options();
        let traffic = sync::Arc::new(link::Traffic::default());
        let tokens = settings.state.operator_tokens.clone();
        let operators = sync::Arc::new(operators::Operators::new(tokens, events.clone()));
        let mut methods = link::peer::module(&links.identity, events.clone(), traffic.clone())?;
        let handler = sync::Arc::clone(&operators);
        let timeout = settings.operator_timeout;
        methods.merge(link::operator::module(handler, clock.clone(), timeout)?)?;
        let listen = settings.peer_listen_address;
        let server = link::server::RpcServer::start(listen, &links.peer, methods);
        let rpc = runtime.block_on(server)?;
        let front = front::CallerServer::spawn(
            settings.caller_address,
            settings.callers.clone(),
            clock.clone(),
            events.clone(),
            metrics.clone(),
        )?;
        let handle = runtime.handle().clone();
        let executor =
            link::executor::spawn(links, clock.clone(), events.clone(), handle, &traffic)?;

        let state =
            State::new(settings.to_me(incarnation), settings.to_state_options(), rand::random());
        let (exit_sender, exits) = flume::bounded(1);
        let control = control::Control {
            state,
            clock,
            events: incoming,
            executor,
            front: front.clone(),
            operators,
            metrics,
            traffic,
            tick_interval: settings.tick_interval,
            exits: exit_sender,
        };
        let control =
            thread::Builder::new().name("control".to_owned()).spawn(move || control.run())?;
        tracing::info!(
            host = %settings.host,
            availability_zone = %settings.availability_zone,
            callers = %settings.caller_address,
            peers = %settings.peer_address,
            incarnation,
            "the host has started"
        );
        drop(_entered);
        Ok(Self { settings, runtime, front, rpc, events, exits, control })
    }

    /// The callers' interface.
    pub fn front(&self) -> &front::CallerServer {
        &self.front
    }

    /// Serves until a message comes from `signals`, then shuts down. A second message ends the
    /// process at once.
    pub fn run(self, signals: &flume::Receiver<i32>) -> Verdict {
        let asked = flume::Selector::new()
            .recv(signals, |signal| signal.is_ok())
            .recv(&self.exits, |_| false)
            .wait();
        if !asked {
            tracing::error!("the control thread has ended without being asked to");
            return Verdict::Failed;
        }
        let verdict = self.shut_down(signals);
        tracing::info!(?verdict, "the host ends");
        verdict
    }

    // The order of the steps keeps requests from being refused: the load balancer first sees that
    // the host is not ready, then no new connections are taken, then workers are handed over.
    fn shut_down(self, signals: &flume::Receiver<i32>) -> Verdict {
        let ends_by = time::Instant::now() + self.settings.state.drain_limit;
        tracing::info!("the host shuts down and still serves new connections");
        self.front.drain();
        if signals.recv_timeout(self.settings.callers.drain_grace).is_ok() {
            return Verdict::CutShort;
        }
        self.front.close();
        if self.events.send(Event::Shutdown).is_err() {
            return Verdict::Failed;
        }
        tracing::info!("the host refuses new connections and hands its work over");
        let left = ends_by.saturating_duration_since(time::Instant::now());
        let verdict = flume::Selector::new()
            .recv(&self.exits, |exit| match exit {
                Ok(()) => Verdict::Drained,
                Err(_) => Verdict::Failed,
            })
            .recv(signals, |_| Verdict::CutShort)
            .wait_timeout(left)
            .unwrap_or(Verdict::CutShort);
        if verdict != Verdict::Drained {
            return verdict;
        }
        if self.control.join().is_err() {
            return Verdict::Failed;
        }
        let front = self.front;
        let rpc = self.rpc;
        self.runtime.block_on(async move {
            let closed = async {
                front.closed().await;
                rpc.stop().await;
            };
            if tokio::time::timeout(LAST_ANSWERS_LIMIT, closed).await.is_err() {
                tracing::warn!("connections were still open at the end");
            }
        });
        self.runtime.shutdown_timeout(RUNTIME_LIMIT);
        Verdict::Drained
    }
}
