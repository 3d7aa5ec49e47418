//! The server of the callers' interface.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use pier_core::caller::{Refusal, RefusalKind};
use pier_core::{body, clock, ids};
use pier_state::{effect, event};
use tokio::sync::{Semaphore, oneshot, watch};

use crate::errors::{Error, Result};
use crate::{answer, call, connection, gate, metrics, options, table, tickets};

const LISTEN_BACKLOG: u32 = 1_024;
/// Connections above the bound that are answered at the same time; more are closed unanswered.
const MAX_DISMISSALS: usize = 256;
/// The pause after a failed accept, which usually means that no file descriptor is free.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);
const CLOSED_POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// How far a shutdown has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Connections are served.
    Open,
    /// `/readyz` fails; connections are still served.
    Draining,
    /// New connections are refused, idle ones are closed, and open requests finish.
    Closing,
}

/// What all connections share.
#[derive(Debug)]
pub struct Shared {
    options: sync::Arc<options::Options>,
    clock: sync::Arc<dyn DebugClock>,
    events: flume::Sender<event::Event>,
    metrics: metrics::Metrics,
    gate: sync::Arc<gate::Gate>,
    table: sync::Arc<table::Table>,
    tickets: sync::Arc<tickets::Tickets<effect::CallerAnswer>>,
    stage: watch::Sender<Stage>,
    ready: atomic::AtomicBool,
}

/// A clock that can be shown in debug output.
pub trait DebugClock: clock::Clock + std::fmt::Debug {}

impl<T: clock::Clock + std::fmt::Debug> DebugClock for T {}

/// The callers' interface of a host. Copies share it.
#[derive(Debug, Clone)]
pub struct Front {
    shared: sync::Arc<Shared>,
    address: net::SocketAddr,
}

impl Front {
    /// Listens on `address` and serves callers on the current tokio runtime. Requests go to
    /// `events`; their answers come back through [`Front::answer`].
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub fn spawn(
        address: net::SocketAddr,
        options: options::Options,
        clock: sync::Arc<dyn DebugClock>,
        events: flume::Sender<event::Event>,
        metrics: metrics::Metrics,
    ) -> Result<Self> {
        let listener = listen(address).map_err(|source| Error::Listen { address, source })?;
        let address = listener.local_addr().map_err(|source| Error::Listen { address, source })?;
        let options = sync::Arc::new(options);
        let shared = sync::Arc::new(Shared {
            gate: sync::Arc::new(gate::Gate::new(sync::Arc::clone(&options))),
            table: sync::Arc::new(table::Table::new(options.max_connections)),
            tickets: sync::Arc::default(),
            stage: watch::Sender::new(Stage::Open),
            ready: atomic::AtomicBool::new(false),
            options,
            clock,
            events,
            metrics,
        });
        tokio::spawn(accept(sync::Arc::clone(&shared), listener));
        Ok(Self { shared, address })
    }

    /// The address that is listened on.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Delivers the answer to a request. An answer for a caller that has gone is dropped.
    pub fn answer(&self, ticket: ids::Ticket, answer: effect::CallerAnswer) {
        if !self.shared.tickets.answer(ticket, answer) {
            self.shared.metrics.count_late_answer();
        }
    }

    /// Lets `/readyz` succeed until the shutdown begins.
    pub fn set_ready(&self) {
        self.shared.ready.store(true, atomic::Ordering::Release);
    }

    /// Begins a shutdown: `/readyz` fails from now on.
    pub fn drain(&self) {
        self.advance(Stage::Draining);
    }

    /// Refuses new connections and closes idle ones. Open requests finish.
    pub fn close(&self) {
        self.advance(Stage::Closing);
    }

    /// Waits until no connection is open.
    pub async fn closed(&self) {
        while self.shared.table.open() > 0 {
            tokio::time::sleep(CLOSED_POLL_INTERVAL).await;
        }
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.table.open()
    }

    /// The number of requests that are read, wait or run.
    pub fn requests(&self) -> usize {
        self.shared.gate.requests()
    }

    fn advance(&self, to: Stage) {
        self.shared.stage.send_if_modified(|stage| {
            let later = *stage < to;
            *stage = to.max(*stage);
            later
        });
    }
}

fn listen(address: net::SocketAddr) -> std::io::Result<tokio::net::TcpListener> {
    let socket = match address {
        net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

async fn accept(shared: sync::Arc<Shared>, listener: tokio::net::TcpListener) {
    let dismissals = sync::Arc::new(Semaphore::new(MAX_DISMISSALS));
    let mut stage = shared.stage.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| *stage == Stage::Closing) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Without the option a small answer may wait for the acknowledgement of the last one.
        let _ = stream.set_nodelay(true);
        if let Some(entry) = shared.table.admit() {
            tokio::spawn(attend(sync::Arc::clone(&shared), entry, stream));
            continue;
        }
        shared.metrics.count_refused_connection();
        let Ok(permit) = sync::Arc::clone(&dismissals).try_acquire_owned() else {
            continue;
        };
        let limit = shared.options.linger_timeout;
        tokio::spawn(async move {
            let refusal =
                Refusal::not_run(RefusalKind::Overloaded, "the host has too many connections")
                    .with_retry_after(gate::RETRY_AFTER_MS);
            connection::dismiss(stream, &refusal, limit).await;
            drop(permit);
        });
    }
}

async fn attend(shared: sync::Arc<Shared>, entry: table::Entry, stream: tokio::net::TcpStream) {
    let session = connection::Session::new(sync::Arc::clone(&shared.options), entry);
    let stage = shared.stage.subscribe();
    let end = connection::drive(sync::Arc::clone(&shared), session, stream, stage).await;
    if end == connection::End::Cut {
        shared.metrics.count_cut_connection();
    }
}

/// Serves one request.
pub async fn serve(
    shared: &Shared,
    session: &connection::Session,
    request: hyper::Request<Incoming>,
) -> answer::Answer {
    session.begin();
    let began = time::Instant::now();
    let (head, mut body) = request.into_parts();
    let answered = match call::route(&head) {
        Ok(call) => match respond(shared, session, &head, &mut body, call).await {
            Ok(answered) => answered,
            Err(refusal) => answer::refused(&refusal),
        },
        Err(unrouted) => answer::unrouted(unrouted),
    };
    shared.metrics.observe_answer(answered.status(), began.elapsed());
    let body_is_unread = !body.is_end_stream();
    session.end(body_is_unread);
    let closes = body_is_unread || *shared.stage.borrow() != Stage::Open;
    if closes { answer::closing(answered) } else { answered }
}

async fn respond(
    shared: &Shared,
    session: &connection::Session,
    head: &http::request::Parts,
    body: &mut Incoming,
    call: call::Call,
) -> std::result::Result<answer::Answer, Refusal> {
    match call {
        call::Call::Health => return Ok(answer::text(StatusCode::OK, "ok\n")),
        call::Call::Ready => return Ok(ready(shared)),
        call::Call::Metrics => return Ok(metrics_text(shared)),
        _ => {}
    }
    if *shared.stage.borrow() == Stage::Closing {
        let detail = "the host is shutting down";
        return Err(Refusal::not_run(RefusalKind::ShuttingDown, detail)
            .with_retry_after(gate::RETRY_AFTER_MS));
    }
    let received_at = shared.clock.now();
    let terms = call::terms(&head.headers, &shared.options)?;
    let payer = terms.payer();
    session.sit(&shared.gate, payer)?;
    let mut pass = shared.gate.enter(payer)?;
    let bytes = read_body(body, &mut pass, &shared.options).await?;
    let deadline = terms.deadline.map(|wait| received_at + wait);
    if deadline.is_some_and(|deadline| deadline <= shared.clock.now()) {
        let detail = "the deadline passed while the body was read";
        return Err(Refusal::not_run(RefusalKind::DeadlinePassed, detail));
    }
    let (ticket, receiver) = shared.tickets.open();
    let built = to_event(shared, ticket, call, terms, deadline, bytes);
    let (event, accepted) = built.inspect_err(|_| {
        shared.tickets.forget(ticket);
    })?;
    let waiting = Waiting { shared, ticket };
    if let Err(error) = shared.events.try_send(event::Event::Caller(event)) {
        shared.tickets.forget(ticket);
        return Err(not_sent(&error));
    }
    let limit = match deadline {
        Some(deadline) => deadline.saturating_sub(shared.clock.now()) + shared.options.answer_grace,
        None => shared.options.answer_timeout,
    };
    let answered = wait(receiver, limit).await;
    drop(waiting);
    Ok(answer::of(answered, accepted))
}

async fn wait(
    receiver: oneshot::Receiver<effect::CallerAnswer>,
    limit: time::Duration,
) -> effect::CallerAnswer {
    match tokio::time::timeout(limit, receiver).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) | Err(_) => {
            let detail = "the host does not know the end of the request in time";
            effect::CallerAnswer::Refused(Refusal::unknown(RefusalKind::WorkerLost, detail))
        }
    }
}

/// A request that waits for its answer. The control thread is told when the caller goes first.
struct Waiting<'a> {
    shared: &'a Shared,
    ticket: ids::Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.shared.tickets.forget(self.ticket) {
            return;
        }
        let gone = event::Event::Caller(event::CallerEvent::Disconnected { ticket: self.ticket });
        let Err(flume::TrySendError::Full(gone)) = self.shared.events.try_send(gone) else {
            return;
        };
        // The message must not be lost, and the drop must not wait until there is room for it.
        let events = self.shared.events.clone();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { events.send_async(gone).await });
        }
    }
}

fn not_sent(error: &flume::TrySendError<event::Event>) -> Refusal {
    match error {
        flume::TrySendError::Full(_) => {
            Refusal::not_run(RefusalKind::Overloaded, "too many events wait on the host")
                .with_retry_after(gate::RETRY_AFTER_MS)
        }
        flume::TrySendError::Disconnected(_) => {
            Refusal::not_run(RefusalKind::ShuttingDown, "the host is shutting down")
        }
    }
}

fn to_event(
    shared: &Shared,
    ticket: ids::Ticket,
    call: call::Call,
    terms: call::Terms,
    deadline: Option<time::Duration>,
    bytes: Vec<u8>,
) -> std::result::Result<(event::CallerEvent, StatusCode), Refusal> {
    let key = terms.key;
    match call {
        call::Call::Task { queue } => {
            let request = event::CallerRequest {
                queue,
                key,
                idempotency_key: terms.idempotency_key,
                repeatable: terms.repeatable,
                deadline,
                body: body::Body::from(bytes),
            };
            Ok((event::CallerEvent::Request { ticket, request }, StatusCode::OK))
        }
        call::Call::SubmitJob => {
            let event = event::CallerEvent::SubmitJob {
                ticket,
                key,
                idempotency_key: terms.idempotency_key,
                request: call::job(&bytes, &shared.options)?,
                wall_ms: shared.clock.wall_ms(),
            };
            Ok((event, StatusCode::ACCEPTED))
        }
        call::Call::QueryJob { job } => {
            Ok((event::CallerEvent::QueryJob { ticket, key, job }, StatusCode::OK))
        }
        call::Call::CancelJob { job } => {
            Ok((event::CallerEvent::CancelJob { ticket, key, job }, StatusCode::OK))
        }
        call::Call::Health | call::Call::Ready | call::Call::Metrics => {
            Err(Refusal::not_run(RefusalKind::BadRequest, "the path is for probes"))
        }
    }
}

async fn read_body(
    body: &mut Incoming,
    pass: &mut gate::Pass,
    options: &options::Options,
) -> std::result::Result<Vec<u8>, Refusal> {
    let limit = options.max_body_bytes;
    let too_large = || {
        let detail = format!("the body has more than {limit} bytes");
        Refusal::not_run(RefusalKind::BodyTooLarge, detail)
    };
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(too_large());
    }
    let incomplete = |detail: &str| Refusal::not_run(RefusalKind::BodyIncomplete, detail);
    let mut bytes = Vec::new();
    let read = async {
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Err(incomplete("the body ended early"));
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if bytes.len() + data.len() > limit {
                return Err(too_large());
            }
            pass.hold(data.len())?;
            bytes.extend_from_slice(&data);
        }
        Ok(())
    };
    match tokio::time::timeout(options.body_timeout, read).await {
        Ok(result) => result?,
        Err(_) => return Err(incomplete("the body came too slowly")),
    }
    Ok(bytes)
}

fn ready(shared: &Shared) -> answer::Answer {
    if *shared.stage.borrow() != Stage::Open {
        return answer::text(StatusCode::SERVICE_UNAVAILABLE, "shutting down\n");
    }
    if !shared.ready.load(atomic::Ordering::Acquire) {
        let text = "not yet a member with authority to start work\n";
        return answer::text(StatusCode::SERVICE_UNAVAILABLE, text);
    }
    answer::text(StatusCode::OK, "ready\n")
}

fn metrics_text(shared: &Shared) -> answer::Answer {
    match shared.metrics.to_text(shared.table.open(), shared.gate.requests()) {
        Ok(text) => answer::metrics(text),
        Err(error) => {
            tracing::error!(%error, "the metrics cannot be written");
            answer::text(StatusCode::INTERNAL_SERVER_ERROR, "the metrics cannot be written\n")
        }
    }
}
