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
use crate::{call, connection, limits, metrics, options, pending, response, table};

const LISTEN_BACKLOG: u32 = 1_024;
/// Connections above the bound that are answered at the same time; more are closed unanswered.
const MAX_DISMISSALS: usize = 256;
/// The pause after a failed accept, which usually means that no file descriptor is free.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);
const CLOSED_POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// How far a shutdown has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
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
    gate: sync::Arc<limits::Limiter>,
    table: sync::Arc<table::ConnectionTable>,
    tickets: sync::Arc<pending::PendingRequests<effect::CallerAnswer>>,
    stage: watch::Sender<ShutdownStage>,
    ready: atomic::AtomicBool,
}

/// A clock that can be shown in debug output.
pub trait DebugClock: clock::Clock + std::fmt::Debug {}

impl<T: clock::Clock + std::fmt::Debug> DebugClock for T {}

/// The callers' interface of a host. Copies share it.
#[derive(Debug, Clone)]
pub struct CallerServer {
    shared: sync::Arc<Shared>,
    address: net::SocketAddr,
}

impl CallerServer {
    /// Listens on `address` and serves callers on the current tokio runtime. Requests go to
    /// `events`; their answers come back through [`CallerServer::answer`].
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
            gate: sync::Arc::new(limits::Limiter::new(sync::Arc::clone(&options))),
            table: sync::Arc::new(table::ConnectionTable::new(options.max_connections)),
            tickets: sync::Arc::default(),
            stage: watch::Sender::new(ShutdownStage::Open),
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
        self.advance(ShutdownStage::Draining);
    }

    /// Refuses new connections and closes idle ones. Open requests finish.
    pub fn close(&self) {
        self.advance(ShutdownStage::Closing);
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

    fn advance(&self, to: ShutdownStage) {
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
            _ = stage.wait_for(|stage| *stage == ShutdownStage::Closing) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Without the option a small answer may wait for the acknowledgement of the last one.
        let _ = stream.set_nodelay(true);
        if let Some(entry) = shared.table.admit() {
            tokio::spawn(handle_connection(sync::Arc::clone(&shared), entry, stream));
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
                    .with_retry_after(limits::RETRY_AFTER_MS);
            connection::refuse(stream, &refusal, limit).await;
            drop(permit);
        });
    }
}

async fn handle_connection(
    shared: sync::Arc<Shared>,
    entry: table::Entry,
    stream: tokio::net::TcpStream,
) {
    let session = connection::Session::new(sync::Arc::clone(&shared.options), entry);
    let stage = shared.stage.subscribe();
    let end = connection::serve(sync::Arc::clone(&shared), session, stream, stage).await;
    if end == connection::CloseReason::TimedOut {
        shared.metrics.count_timed_out_connection();
    }
}

/// Serves one request.
pub async fn handle_request(
    shared: &Shared,
    session: &connection::Session,
    request: hyper::Request<Incoming>,
) -> response::Response {
    session.begin();
    let began = time::Instant::now();
    let (head, mut body) = request.into_parts();
    let answered = match call::route(&head) {
        Ok(call) => match respond(shared, session, &head, &mut body, call).await {
            Ok(answered) => answered,
            Err(refusal) => response::from_refusal(&refusal),
        },
        Err(unrouted) => response::from_route_error(unrouted),
    };
    shared.metrics.observe_answer(answered.status(), began.elapsed());
    let body_is_unread = !body.is_end_stream();
    session.end(body_is_unread);
    let closes = body_is_unread || *shared.stage.borrow() != ShutdownStage::Open;
    if closes { response::with_connection_close(answered) } else { answered }
}

async fn respond(
    shared: &Shared,
    session: &connection::Session,
    head: &http::request::Parts,
    body: &mut Incoming,
    call: call::Call,
) -> std::result::Result<response::Response, Refusal> {
    match call {
        call::Call::Health => return Ok(response::text(StatusCode::OK, "ok\n")),
        call::Call::Ready => return Ok(ready(shared)),
        call::Call::Metrics => return Ok(metrics_text(shared)),
        _ => {}
    }
    if *shared.stage.borrow() == ShutdownStage::Closing {
        let detail = "the host is shutting down";
        return Err(Refusal::not_run(RefusalKind::ShuttingDown, detail)
            .with_retry_after(limits::RETRY_AFTER_MS));
    }
    let received_at = shared.clock.now();
    let terms = call::parse_headers(&head.headers, &shared.options)?;
    let payer = terms.limit_key();
    session.count_for_key(&shared.gate, payer)?;
    let mut pass = shared.gate.acquire_request(payer)?;
    let bytes = read_body(body, &mut pass, &shared.options).await?;
    let deadline = terms.deadline.map(|wait| received_at + wait);
    if deadline.is_some_and(|deadline| deadline <= shared.clock.now()) {
        let detail = "the deadline passed while the body was read";
        return Err(Refusal::not_run(RefusalKind::DeadlinePassed, detail));
    }
    let (ticket, receiver) = shared.tickets.register();
    let built = to_event(shared, ticket, call, terms, deadline, bytes);
    let (event, accepted) = built.inspect_err(|_| {
        shared.tickets.remove(ticket);
    })?;
    let waiting = Waiting { shared, ticket };
    if let Err(error) = shared.events.try_send(event::Event::Caller(event)) {
        shared.tickets.remove(ticket);
        return Err(not_sent(&error));
    }
    let limit = match deadline {
        Some(deadline) => deadline.saturating_sub(shared.clock.now()) + shared.options.answer_grace,
        None => shared.options.answer_timeout,
    };
    let answered = wait(receiver, limit).await;
    drop(waiting);
    Ok(response::from_answer(answered, accepted))
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
        if !self.shared.tickets.remove(self.ticket) {
            return;
        }
        let gone = event::Event::Caller(event::CallerEvent::Gone { ticket: self.ticket });
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
                .with_retry_after(limits::RETRY_AFTER_MS)
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
    terms: call::RequestHeaders,
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
                request: call::parse_job(&bytes, &shared.options)?,
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
    pass: &mut limits::RequestPermit,
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
            pass.reserve_body(data.len())?;
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

fn ready(shared: &Shared) -> response::Response {
    if *shared.stage.borrow() != ShutdownStage::Open {
        return response::text(StatusCode::SERVICE_UNAVAILABLE, "shutting down\n");
    }
    if !shared.ready.load(atomic::Ordering::Acquire) {
        let text = "not yet a member with authority to start work\n";
        return response::text(StatusCode::SERVICE_UNAVAILABLE, text);
    }
    response::text(StatusCode::OK, "ready\n")
}

fn metrics_text(shared: &Shared) -> response::Response {
    match shared.metrics.to_text(shared.table.open(), shared.gate.requests()) {
        Ok(text) => response::metrics(text),
        Err(error) => {
            tracing::error!(%error, "the metrics cannot be written");
            response::text(StatusCode::INTERNAL_SERVER_ERROR, "the metrics cannot be written\n")
        }
    }
}
