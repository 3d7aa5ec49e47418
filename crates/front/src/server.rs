//! The HTTP server for callers.

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
/// The maximum number of connections over the limit that are sent a refusal at the same time.
/// Further ones are closed without a response.
const MAX_CONCURRENT_REFUSALS: usize = 256;
/// The delay after a failed accept, which usually means that no file descriptor is free.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);
const CLOSED_POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// How far the shutdown of a host has progressed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    /// Connections are served; no shutdown has begun.
    Open,
    /// `/readyz` fails; new connections are still served.
    Draining,
    /// New connections are refused, idle ones are closed, and open requests finish.
    Closing,
}

/// The state that all connections share.
#[derive(Debug)]
pub struct Shared {
    options: sync::Arc<options::Options>,
    clock: sync::Arc<dyn DebugClock>,
    events: flume::Sender<event::Event>,
    metrics: metrics::Metrics,
    limiter: sync::Arc<limits::Limiter>,
    table: sync::Arc<table::ConnectionTable>,
    pending: sync::Arc<pending::PendingRequests<effect::CallerAnswer>>,
    stage: watch::Sender<ShutdownStage>,
    ready: atomic::AtomicBool,
}

/// A clock that implements [`Debug`](std::fmt::Debug).
pub trait DebugClock: clock::Clock + std::fmt::Debug {}

impl<T: clock::Clock + std::fmt::Debug> DebugClock for T {}

/// The HTTP server of a host for callers. Clones refer to the same server.
#[derive(Debug, Clone)]
pub struct CallerServer {
    shared: sync::Arc<Shared>,
    address: net::SocketAddr,
}

impl CallerServer {
    /// Listens on `address` and serves callers on the current tokio runtime. Requests go to
    /// `events`; their answers are delivered with [`CallerServer::answer`].
    ///
    /// # Errors
    /// [`Error::Listen`] if the server cannot listen on the address.
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
            limiter: sync::Arc::new(limits::Limiter::new(sync::Arc::clone(&options))),
            table: sync::Arc::new(table::ConnectionTable::new(options.max_connections)),
            pending: sync::Arc::default(),
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

    /// The address that the server listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Delivers the answer to a request. It is dropped if the caller has disconnected.
    pub fn answer(&self, ticket: ids::Ticket, answer: effect::CallerAnswer) {
        if !self.shared.pending.answer(ticket, answer) {
            self.shared.metrics.count_late_answer();
        }
    }

    /// Makes `/readyz` succeed until a shutdown begins.
    pub fn set_ready(&self) {
        self.shared.ready.store(true, atomic::Ordering::Release);
    }

    /// Begins a shutdown: `/readyz` fails from now on, connections are still served.
    pub fn drain(&self) {
        self.advance_stage(ShutdownStage::Draining);
    }

    /// Refuses new connections and closes idle ones. Open requests are completed.
    pub fn close(&self) {
        self.advance_stage(ShutdownStage::Closing);
    }

    /// Answers all requests that wait: their outcomes are unknown. For a shutdown whose time limit
    /// has passed.
    pub fn give_up_requests(&self) {
        self.shared.pending.clear();
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

    /// The number of open requests: those that are being read, wait or run.
    pub fn requests(&self) -> usize {
        self.shared.limiter.requests()
    }

    fn advance_stage(&self, to: ShutdownStage) {
        self.shared.stage.send_if_modified(|stage| {
            let changed = *stage < to;
            *stage = to.max(*stage);
            changed
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
    let refusal_permits = sync::Arc::new(Semaphore::new(MAX_CONCURRENT_REFUSALS));
    let mut stage = shared.stage.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| *stage == ShutdownStage::Closing) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Without TCP_NODELAY a small response may be held back until the previous one is
        // acknowledged.
        let _ = stream.set_nodelay(true);
        if let Some(entry) = shared.table.admit() {
            tokio::spawn(handle_connection(sync::Arc::clone(&shared), entry, stream));
            continue;
        }
        shared.metrics.count_refused_connection();
        let Ok(permit) = sync::Arc::clone(&refusal_permits).try_acquire_owned() else {
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
    let reason = connection::serve(sync::Arc::clone(&shared), session, stream, stage).await;
    if reason == connection::CloseReason::TimedOut {
        shared.metrics.count_timed_out_connection();
    }
}

/// Handles one request and returns its response.
pub async fn handle_request(
    shared: &Shared,
    session: &connection::Session,
    request: hyper::Request<Incoming>,
) -> response::Response {
    session.record_head();
    let started_at = time::Instant::now();
    let (head, mut body) = request.into_parts();
    let response = match call::route(&head) {
        Ok(call) => match respond(shared, session, &head, &mut body, call).await {
            Ok(response) => response,
            Err(refusal) => response::from_refusal(&refusal),
        },
        Err(error) => response::from_route_error(error),
    };
    shared.metrics.observe_response(response.status(), started_at.elapsed());
    let body_is_unread = !body.is_end_stream();
    session.record_response(body_is_unread);
    let must_close = body_is_unread || *shared.stage.borrow() != ShutdownStage::Open;
    if must_close { response::with_connection_close(response) } else { response }
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
        call::Call::Ready => return Ok(readiness(shared)),
        call::Call::Metrics => return Ok(metrics(shared)),
        _ => {}
    }
    if *shared.stage.borrow() == ShutdownStage::Closing {
        let detail = "the host is shutting down";
        return Err(Refusal::not_run(RefusalKind::ShuttingDown, detail)
            .with_retry_after(limits::RETRY_AFTER_MS));
    }
    let received_at = shared.clock.now();
    let headers = call::parse_headers(&head.headers, &shared.options)?;
    let key = headers.limit_key();
    session.count_for_key(&shared.limiter, key)?;
    let mut permit = shared.limiter.acquire_request(key)?;
    let bytes = read_body(body, &mut permit, &shared.options).await?;
    let deadline = headers.deadline.map(|wait| received_at + wait);
    if deadline.is_some_and(|deadline| deadline <= shared.clock.now()) {
        let detail = "the deadline passed while the body was being received";
        return Err(Refusal::not_run(RefusalKind::DeadlinePassed, detail));
    }
    let (ticket, receiver) = shared.pending.register();
    let converted = to_event(shared, ticket, call, headers, deadline, bytes);
    let (event, job_status_code) = converted.inspect_err(|_| {
        shared.pending.remove(ticket);
    })?;
    let waiting = WaitingRequest { shared, ticket };
    if let Err(error) = shared.events.try_send(event::Event::Caller(event)) {
        shared.pending.remove(ticket);
        return Err(refusal_for_send_error(&error));
    }
    let limit = match deadline {
        Some(deadline) => deadline.saturating_sub(shared.clock.now()) + shared.options.answer_grace,
        None => shared.options.answer_timeout,
    };
    let answer = wait_for_answer(receiver, limit).await;
    drop(waiting);
    Ok(response::from_answer(answer, job_status_code))
}

async fn wait_for_answer(
    receiver: oneshot::Receiver<effect::CallerAnswer>,
    limit: time::Duration,
) -> effect::CallerAnswer {
    match tokio::time::timeout(limit, receiver).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) | Err(_) => {
            let detail = "no result was received in time; the outcome is unknown";
            effect::CallerAnswer::Refused(Refusal::unknown(RefusalKind::WorkerLost, detail))
        }
    }
}

/// A request that waits for its answer. When it is dropped without one, because the caller has
/// disconnected or the wait has timed out, the control thread is notified.
struct WaitingRequest<'a> {
    shared: &'a Shared,
    ticket: ids::Ticket,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        if !self.shared.pending.remove(self.ticket) {
            return;
        }
        let event = event::Event::Caller(event::CallerEvent::Disconnected { ticket: self.ticket });
        let Err(flume::TrySendError::Full(event)) = self.shared.events.try_send(event) else {
            return;
        };
        // The queue is full. The event must not be lost and `drop` must not block, so a task sends
        // it as soon as the queue has room.
        let events = self.shared.events.clone();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { events.send_async(event).await });
        }
    }
}

fn refusal_for_send_error(error: &flume::TrySendError<event::Event>) -> Refusal {
    match error {
        flume::TrySendError::Full(_) => {
            Refusal::not_run(RefusalKind::Overloaded, "the event queue of the host is full")
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
    headers: call::RequestHeaders,
    deadline: Option<time::Duration>,
    bytes: Vec<u8>,
) -> std::result::Result<(event::CallerEvent, StatusCode), Refusal> {
    let key = headers.key;
    match call {
        call::Call::Task { queue } => {
            let request = event::CallerRequest {
                queue,
                key,
                idempotency_key: headers.idempotency_key,
                repeatable: headers.repeatable,
                deadline,
                body: body::Body::from(bytes),
            };
            Ok((event::CallerEvent::Request { ticket, request }, StatusCode::OK))
        }
        call::Call::SubmitJob => {
            let event = event::CallerEvent::SubmitJob {
                ticket,
                key,
                idempotency_key: headers.idempotency_key,
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
        call::Call::Health | call::Call::Ready | call::Call::Metrics => Err(Refusal::not_run(
            RefusalKind::BadRequest,
            "the path is not an operation on tasks or jobs",
        )),
    }
}

async fn read_body(
    body: &mut Incoming,
    permit: &mut limits::RequestPermit,
    options: &options::Options,
) -> std::result::Result<Vec<u8>, Refusal> {
    let limit = options.max_body_bytes;
    let too_large = || {
        let detail = format!("the body has more than {limit} bytes");
        Refusal::not_run(RefusalKind::BodyTooLarge, detail)
    };
    let declared_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if declared_bytes > limit {
        return Err(too_large());
    }
    let incomplete = |detail: &str| Refusal::not_run(RefusalKind::BodyIncomplete, detail);
    let mut bytes = Vec::new();
    let read = async {
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Err(incomplete("the body ended before it was complete"));
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if bytes.len() + data.len() > limit {
                return Err(too_large());
            }
            permit.reserve_body(data.len())?;
            bytes.extend_from_slice(&data);
        }
        Ok(())
    };
    match tokio::time::timeout(options.body_timeout, read).await {
        Ok(result) => result?,
        Err(_) => return Err(incomplete("the body was not received in time")),
    }
    Ok(bytes)
}

fn readiness(shared: &Shared) -> response::Response {
    if *shared.stage.borrow() != ShutdownStage::Open {
        return response::text(StatusCode::SERVICE_UNAVAILABLE, "shutting down\n");
    }
    if !shared.ready.load(atomic::Ordering::Acquire) {
        let text = "not yet a member with authority to start work\n";
        return response::text(StatusCode::SERVICE_UNAVAILABLE, text);
    }
    response::text(StatusCode::OK, "ready\n")
}

fn metrics(shared: &Shared) -> response::Response {
    match shared.metrics.to_text(shared.table.open(), shared.limiter.requests()) {
        Ok(text) => response::metrics(text),
        Err(error) => {
            tracing::error!(%error, "cannot encode the metrics");
            response::text(StatusCode::INTERNAL_SERVER_ERROR, "the metrics cannot be encoded\n")
        }
    }
}
