//! One connection of a caller, with its time bounds.

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

const DISCARD_BYTES: usize = 4_096;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No byte of the next request has come.
    Idle,
    /// The head of a request is being read.
    Head,
    /// A request is served. Reading its body has a bound of its own.
    Serving,
    /// The last answer is written, and what the caller still sends is thrown away.
    Lingering,
}

/// The state of a connection that its request handler and its driver share.
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
    seat: Option<limits::ConnectionPermit>,
    entry: table::Entry,
    closer: oneshot::Receiver<()>,
}

impl Session {
    /// A connection that was just accepted.
    pub fn new(options: sync::Arc<options::Options>, mut entry: table::Entry) -> Self {
        let closer = entry.rest();
        let state = State {
            phase: Phase::Idle,
            read_by: time::Instant::now() + options.header_timeout,
            write_by: None,
            body_is_unread: false,
            seat: None,
            entry,
            closer,
        };
        Self { shared: sync::Arc::new(sync::Mutex::new(state)), options }
    }

    /// Marks that the head of a request was read.
    pub fn begin(&self) {
        let mut state = self.lock();
        state.phase = Phase::Serving;
        state.entry.wake();
    }

    /// Marks that the answer of a request is ready. `body_is_unread` says that a part of the
    /// request was not read, so that the connection closes.
    pub fn end(&self, body_is_unread: bool) {
        let mut state = self.lock();
        state.phase = Phase::Idle;
        state.body_is_unread = body_is_unread;
        state.read_by = time::Instant::now() + self.options.idle_timeout;
        state.closer = state.entry.rest();
    }

    /// Counts the connection for `payer`.
    ///
    /// # Errors
    /// A refusal if the payer has too many connections.
    pub fn count_for_key(
        &self,
        gate: &sync::Arc<limits::Limiter>,
        payer: limits::LimitKey,
    ) -> std::result::Result<(), Refusal> {
        let mut state = self.lock();
        if state.seat.as_ref().is_some_and(|seat| seat.limit_key() == payer) {
            return Ok(());
        }
        state.seat = None;
        state.seat = Some(gate.acquire_connection(payer)?);
        Ok(())
    }

    fn note_read(&self) {
        let mut state = self.lock();
        if state.phase != Phase::Idle {
            return;
        }
        state.phase = Phase::Head;
        state.read_by = time::Instant::now() + self.options.header_timeout;
        state.entry.wake();
    }

    fn note_write(&self, stalled: bool) {
        let mut state = self.lock();
        if !stalled {
            state.write_by = None;
        } else if state.write_by.is_none() {
            state.write_by = Some(time::Instant::now() + self.options.write_timeout);
        }
    }

    /// Begins to throw away what the caller still sends. False if everything was read.
    fn linger(&self) -> bool {
        let mut state = self.lock();
        if !state.body_is_unread {
            return false;
        }
        if state.phase != Phase::Lingering {
            state.phase = Phase::Lingering;
            state.read_by = time::Instant::now() + self.options.linger_timeout;
            state.entry.wake();
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

    /// Whether no request is open and every answer is written.
    fn is_at_rest(&self) -> bool {
        let state = self.lock();
        state.phase == Phase::Idle && state.write_by.is_none()
    }

    fn poll_closer(&self, context: &mut task::Context<'_>) -> bool {
        if !self.is_at_rest() {
            return false;
        }
        let mut state = self.lock();
        matches!(pin::Pin::new(&mut state.closer).poll(context), task::Poll::Ready(Ok(())))
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.shared.lock().expect("no holder of the lock panics")
    }
}

/// A stream that notes progress in the session.
#[derive(Debug)]
struct Watched {
    stream: net::TcpStream,
    session: Session,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.session.note_read();
        }
        polled
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write(context, bytes);
        self.session.note_write(polled.is_pending());
        polled
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.session.note_write(polled.is_pending());
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

    // A socket that is closed while bytes of the caller are unread resets the connection, and the
    // caller may lose the answer. So the rest is read and thrown away for a bounded time.
    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        task::ready!(pin::Pin::new(&mut self.stream).poll_shutdown(context))?;
        if !self.session.linger() {
            return task::Poll::Ready(Ok(()));
        }
        let mut discard = [0; DISCARD_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut discard);
            task::ready!(pin::Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
            if buffer.filled().is_empty() || self.is_overdue() {
                return task::Poll::Ready(Ok(()));
            }
        }
    }
}

impl Watched {
    fn is_overdue(&self) -> bool {
        self.session.deadline().is_some_and(|deadline| deadline <= time::Instant::now())
    }
}

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The caller or the protocol ended it.
    Ended,
    /// It was too slow, silent or idle.
    TimedOut,
    /// The table needed its place or the host shuts down.
    ClosedByHost,
}

/// Serves a connection to its end.
pub async fn serve(
    shared: sync::Arc<server::Shared>,
    session: Session,
    stream: net::TcpStream,
    mut stage: watch::Receiver<server::ShutdownStage>,
) -> CloseReason {
    let options = sync::Arc::clone(&session.options);
    let io = TokioIo::new(Watched { stream, session: session.clone() });
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
    let mut armed = None;
    let mut closing = pin::pin!(stage.wait_for(|stage| *stage == server::ShutdownStage::Closing));
    let mut is_closing = false;

    let end = future::poll_fn(|context| {
        if pin::Pin::new(&mut connection).poll(context).is_ready() {
            return task::Poll::Ready(CloseReason::Ended);
        }
        if session.poll_closer(context) {
            return task::Poll::Ready(CloseReason::ClosedByHost);
        }
        if !is_closing && closing.as_mut().poll(context).is_ready() {
            is_closing = true;
            pin::Pin::new(&mut connection).graceful_shutdown();
            context.waker().wake_by_ref();
        }
        if is_closing && session.is_at_rest() {
            return task::Poll::Ready(CloseReason::ClosedByHost);
        }
        let Some(deadline) = session.deadline() else {
            return task::Poll::Pending;
        };
        if armed != Some(deadline) {
            armed = Some(deadline);
            sleep.as_mut().reset(deadline.into());
        }
        task::ready!(sleep.as_mut().poll(context));
        task::Poll::Ready(CloseReason::TimedOut)
    })
    .await;

    if end == CloseReason::TimedOut && session.phase() == Phase::Head {
        let refusal = Refusal::not_run(
            RefusalKind::BodyIncomplete,
            "the head of the request came too slowly",
        );
        let stream = connection.into_parts().io.into_inner().stream;
        refuse(stream, &refusal, options.linger_timeout).await;
    }
    end
}

/// Writes a refusal to a connection on which no request was read and closes it, all within
/// `limit`.
pub async fn refuse(mut stream: net::TcpStream, refusal: &Refusal, limit: time::Duration) {
    let farewell = async {
        stream.write_all(&response::refusal_bytes(refusal)).await?;
        stream.shutdown().await?;
        // On the heap, since an array would be a part of the future of every connection.
        let mut discard = vec![0; DISCARD_BYTES];
        while tokio::io::AsyncReadExt::read(&mut stream, &mut discard).await? > 0 {}
        Ok::<_, io::Error>(())
    };
    // A caller that does not take the refusal loses it; the connection closes either way.
    let _ = tokio::time::timeout(limit, farewell).await;
}
