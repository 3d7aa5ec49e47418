//! A connection of a caller and its timeouts.

use std::convert;
use std::future;
use std::io;
use std::pin;
use std::sync;
use std::task;
use std::time;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use pier_core::caller::{Refusal, RefusalKind};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net;
use tokio::sync::{oneshot, watch};

use crate::{limits, options, response, server, table};

const DISCARD_BUFFER_BYTES: usize = 4_096;

/// The phase that a connection is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No byte of the next request was received.
    Idle,
    /// The head of a request is being read.
    ReadingHead,
    /// A request is being served. Reading its body has its own timeout.
    Serving,
    /// The last response is written, and what the caller still sends is discarded.
    Lingering,
}

/// The state of a connection that its request handler and [`serve`] share.
#[derive(Debug, Clone)]
pub struct Session {
    shared: sync::Arc<sync::Mutex<State>>,
    options: sync::Arc<options::Options>,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    read_by: time::Instant,
    write_by: Option<time::Instant>,
    body_is_unread: bool,
    permit: Option<limits::ConnectionPermit>,
    entry: table::Entry,
    eviction: oneshot::Receiver<()>,
}

impl Session {
    /// Creates the session of a connection that was just accepted.
    pub fn new(options: sync::Arc<options::Options>, mut entry: table::Entry) -> Self {
        let eviction = entry.mark_idle();
        let state = State {
            phase: Phase::Idle,
            read_by: time::Instant::now() + options.header_timeout,
            write_by: None,
            body_is_unread: false,
            permit: None,
            entry,
            eviction,
        };
        Self { shared: sync::Arc::new(sync::Mutex::new(state)), options }
    }

    /// Records that the head of a request was read.
    pub fn record_head(&self) {
        let mut state = self.lock();
        state.phase = Phase::Serving;
        state.entry.mark_busy();
    }

    /// Records that the response to a request is ready. `body_is_unread` says that a part of the
    /// request was not read, so that the connection must close.
    pub fn record_response(&self, body_is_unread: bool) {
        let mut state = self.lock();
        state.phase = Phase::Idle;
        state.body_is_unread = body_is_unread;
        state.read_by = time::Instant::now() + self.options.idle_timeout;
        state.eviction = state.entry.mark_idle();
    }

    /// Counts the connection for `key`, in place of the key of its last request.
    ///
    /// # Errors
    /// A refusal if the key has too many connections.
    pub fn count_for_key(
        &self,
        limiter: &sync::Arc<limits::Limiter>,
        key: limits::LimitKey,
    ) -> std::result::Result<(), Refusal> {
        let mut state = self.lock();
        if state.permit.as_ref().is_some_and(|permit| permit.limit_key() == key) {
            return Ok(());
        }
        state.permit = None;
        state.permit = Some(limiter.acquire_connection(key)?);
        Ok(())
    }

    fn record_read(&self) {
        let mut state = self.lock();
        if state.phase != Phase::Idle {
            return;
        }
        state.phase = Phase::ReadingHead;
        state.read_by = time::Instant::now() + self.options.header_timeout;
        state.entry.mark_busy();
    }

    fn record_write(&self, stalled: bool) {
        let mut state = self.lock();
        if !stalled {
            state.write_by = None;
        } else if state.write_by.is_none() {
            state.write_by = Some(time::Instant::now() + self.options.write_timeout);
        }
    }

    /// Starts to discard what the caller still sends. Returns false if the request was read to its
    /// end, so that there is nothing to discard.
    fn start_lingering(&self) -> bool {
        let mut state = self.lock();
        if !state.body_is_unread {
            return false;
        }
        if state.phase != Phase::Lingering {
            state.phase = Phase::Lingering;
            state.read_by = time::Instant::now() + self.options.linger_timeout;
            state.entry.mark_busy();
        }
        true
    }

    fn deadline(&self) -> Option<time::Instant> {
        let state = self.lock();
        let read_by = (state.phase != Phase::Serving).then_some(state.read_by);
        match (read_by, state.write_by) {
            (Some(read_by), Some(write_by)) => Some(read_by.min(write_by)),
            (read_by, write_by) => read_by.or(write_by),
        }
    }

    fn phase(&self) -> Phase {
        self.lock().phase
    }

    /// Whether no request is open and every response is written.
    fn is_idle(&self) -> bool {
        let state = self.lock();
        state.phase == Phase::Idle && state.write_by.is_none()
    }

    fn poll_eviction(&self, context: &mut task::Context<'_>) -> bool {
        if !self.is_idle() {
            return false;
        }
        let mut state = self.lock();
        matches!(pin::Pin::new(&mut state.eviction).poll(context), task::Poll::Ready(Ok(())))
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.shared.lock().expect("no holder of the lock panics")
    }
}

/// A stream that records reads and writes in the session.
#[derive(Debug)]
struct MonitoredStream {
    stream: net::TcpStream,
    session: Session,
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.session.record_read();
        }
        polled
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write(context, bytes);
        self.session.record_write(polled.is_pending());
        polled
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.session.record_write(polled.is_pending());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    // Closing a socket with unread data resets the connection, and the caller may lose the
    // response. The rest of the request is therefore read and discarded for a limited time.
    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        task::ready!(pin::Pin::new(&mut self.stream).poll_shutdown(context))?;
        if !self.session.start_lingering() {
            return task::Poll::Ready(Ok(()));
        }
        let mut discard = [0; DISCARD_BUFFER_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut discard);
            task::ready!(pin::Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
            if buffer.filled().is_empty() || self.is_overdue() {
                return task::Poll::Ready(Ok(()));
            }
        }
    }
}

impl MonitoredStream {
    fn is_overdue(&self) -> bool {
        self.session.deadline().is_some_and(|deadline| deadline <= time::Instant::now())
    }
}

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The caller closed it, or it ended by the rules of the protocol.
    Ended,
    /// It exceeded a timeout: it was too slow, sent nothing or was idle.
    TimedOut,
    /// It was evicted to make room for another one, or the host shuts down.
    ClosedByHost,
}

/// Serves a connection until it ends.
pub async fn serve(
    shared: sync::Arc<server::Shared>,
    session: Session,
    stream: net::TcpStream,
    mut stage: watch::Receiver<server::ShutdownStage>,
) -> CloseReason {
    let options = sync::Arc::clone(&session.options);
    let io = TokioIo::new(MonitoredStream { stream, session: session.clone() });
    let handler = service::service_fn(|request: hyper::Request<Incoming>| {
        let shared = sync::Arc::clone(&shared);
        let session = session.clone();
        async move {
            Ok::<_, convert::Infallible>(server::handle_request(&shared, &session, request).await)
        }
    });
    let mut connection = http1::Builder::new()
        .max_buf_size(options.max_header_bytes)
        .max_headers(options.max_headers)
        .serve_connection(io, handler);
    let mut sleep = pin::pin!(tokio::time::sleep(options.header_timeout));
    let mut sleep_until = None;
    let mut closing = pin::pin!(stage.wait_for(|stage| *stage == server::ShutdownStage::Closing));
    let mut is_closing = false;

    let reason = future::poll_fn(|context| {
        if pin::Pin::new(&mut connection).poll(context).is_ready() {
            return task::Poll::Ready(CloseReason::Ended);
        }
        if session.poll_eviction(context) {
            return task::Poll::Ready(CloseReason::ClosedByHost);
        }
        if !is_closing && closing.as_mut().poll(context).is_ready() {
            is_closing = true;
            pin::Pin::new(&mut connection).graceful_shutdown();
            context.waker().wake_by_ref();
        }
        if is_closing && session.is_idle() {
            return task::Poll::Ready(CloseReason::ClosedByHost);
        }
        let Some(deadline) = session.deadline() else {
            return task::Poll::Pending;
        };
        if sleep_until != Some(deadline) {
            sleep_until = Some(deadline);
            sleep.as_mut().reset(deadline.into());
        }
        task::ready!(sleep.as_mut().poll(context));
        task::Poll::Ready(CloseReason::TimedOut)
    })
    .await;

    if reason == CloseReason::TimedOut && session.phase() == Phase::ReadingHead {
        let refusal = Refusal::not_run(
            RefusalKind::BodyIncomplete,
            "the request head was not received in time",
        );
        let stream = connection.into_parts().io.into_inner().stream;
        refuse(stream, &refusal, options.linger_timeout).await;
    }
    reason
}

/// Writes a refusal to a connection on which no request was read and closes it, both within
/// `limit`.
pub async fn refuse(mut stream: net::TcpStream, refusal: &Refusal, limit: time::Duration) {
    let send_refusal = async {
        stream.write_all(&response::refusal_bytes(refusal)).await?;
        stream.shutdown().await?;
        // On the heap, because an array would enlarge the future of every connection.
        let mut discard = vec![0; DISCARD_BUFFER_BYTES];
        while tokio::io::AsyncReadExt::read(&mut stream, &mut discard).await? > 0 {}
        Ok::<_, io::Error>(())
    };
    // The result is ignored: a caller that does not read the refusal in time loses it, and the
    // connection closes either way.
    let _ = tokio::time::timeout(limit, send_refusal).await;
}
