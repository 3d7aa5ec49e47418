//! Client of workers.

use std::pin::Pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;
use hyper_util::client::legacy;
use hyper_util::rt;
use pier_core::task::{TaskEnd, Token, Yield};
use pier_core::{clock, ids, wire};
use pier_state::event::{NotStarted, WorkerEvent};
use serde::Serialize;

use crate::{Error, Result, options, traffic};

const OK: u16 = 200;
const CONFLICT: u16 = 409;

/// An asynchronous client of all workers. Its calls use pooled connections and end within the
/// times of [`options::WorkerOptions`]. Each method returns the event that reports the result.
#[derive(Clone)]
pub struct WorkerClient {
    host: ids::HostId,
    options: options::WorkerOptions,
    clock: sync::Arc<dyn clock::Clock>,
    http: legacy::Client<legacy::connect::HttpConnector, GatedBody>,
    traffic: sync::Arc<traffic::Traffic>,
}

/// How a call ended.
enum Reply {
    /// The worker answered with status 200.
    Answer(Bytes),
    /// The worker refused the request by a typed refusal.
    Refused(wire::WorkerRefusalKind),
    /// The request was not sent because its time had passed.
    Expired,
    /// The call failed.
    Failed(Error),
}

impl WorkerClient {
    /// A client that calls in the name of `host`. It must be used within a tokio runtime.
    pub fn new(
        host: ids::HostId,
        options: options::WorkerOptions,
        clock: sync::Arc<dyn clock::Clock>,
    ) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(options.connect_timeout));
        let http = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .pool_idle_timeout(options.idle_timeout)
            .pool_max_idle_per_host(options.max_idle_connections)
            .build(connector);
        Self { host, options, clock, http, traffic: sync::Arc::default() }
    }

    /// Counts the bytes of all calls in `traffic`.
    pub fn with_traffic(mut self, traffic: sync::Arc<traffic::Traffic>) -> Self {
        self.traffic = traffic;
        self
    }

    /// Starts a task unless the clock is past `not_after` when the request is to be written.
    ///
    /// The event is [`WorkerEvent::NotStarted`] only if the worker refused the request, no
    /// connection could be made, or the request was not written in time; any other failure is
    /// [`WorkerEvent::StartUnknown`].
    pub async fn start(
        &self,
        worker: ids::WorkerId,
        address: &str,
        not_after: time::Duration,
        start: &wire::StartTask,
    ) -> WorkerEvent {
        let (task, attempt) = (start.task.clone(), start.attempt);
        let timeout = match start.kind {
            wire::StartKind::Answer => {
                time::Duration::from_millis(start.lease_ms) + self.options.answer_grace
            }
            wire::StartKind::Run => self.options.timeout,
        };
        let url = format!("{address}/tasks");
        let answer = match self.post(&url, start, Some(not_after), timeout).await {
            Reply::Answer(answer) => answer,
            Reply::Refused(kind) => {
                let reason = NotStarted::Refused(kind);
                return WorkerEvent::NotStarted { worker, task, attempt, reason };
            }
            Reply::Expired => {
                let reason = NotStarted::Expired;
                return WorkerEvent::NotStarted { worker, task, attempt, reason };
            }
            Reply::Failed(Error::NoConnection { .. }) => {
                let reason = NotStarted::NoConnection;
                return WorkerEvent::NotStarted { worker, task, attempt, reason };
            }
            Reply::Failed(error) => {
                tracing::debug!(%worker, %task, %error, "the end of a start is unknown");
                return WorkerEvent::StartUnknown { worker, task, attempt };
            }
        };
        match read_start_answer(&url, start, &answer) {
            Ok(Some(end)) => WorkerEvent::Answered { worker, task, attempt, end },
            Ok(None) => WorkerEvent::Started { worker, task, attempt },
            Err(error) => {
                tracing::warn!(%worker, %task, %error, "the answer to a start cannot be used");
                WorkerEvent::StartUnknown { worker, task, attempt }
            }
        }
    }

    /// Fences a worker and lists its tasks.
    pub async fn fence(&self, worker: ids::WorkerId, address: &str, token: Token) -> WorkerEvent {
        let url = format!("{address}/fence");
        let request = wire::Fence { token };
        let stale = match self.post(&url, &request, None, self.options.timeout).await {
            Reply::Answer(answer) => match parse::<wire::WorkerTasks>(&url, &answer) {
                Ok(tasks) => return WorkerEvent::Fenced { worker, token, tasks },
                Err(_) => false,
            },
            Reply::Refused(kind) => kind == wire::WorkerRefusalKind::StaleToken,
            Reply::Expired | Reply::Failed(_) => false,
        };
        WorkerEvent::FenceFailed { worker, token, stale }
    }

    /// Renews leases on a worker.
    pub async fn renew(
        &self,
        worker: ids::WorkerId,
        address: &str,
        renew: &wire::RenewLeases,
    ) -> WorkerEvent {
        let url = format!("{address}/leases");
        let sent_at = self.clock.now();
        let reply = self.post(&url, renew, None, self.options.timeout).await;
        match reply {
            Reply::Answer(answer) => match parse(&url, &answer) {
                Ok(answer) => WorkerEvent::Renewed { worker, sent_at, answer },
                Err(_) => WorkerEvent::Unreachable { worker },
            },
            _ => WorkerEvent::Unreachable { worker },
        }
    }

    /// Makes a task yield.
    pub async fn preempt(
        &self,
        worker: ids::WorkerId,
        address: &str,
        token: Token,
        (task, attempt): (ids::TaskId, ids::Attempt),
        how: Yield,
    ) -> WorkerEvent {
        let url = format!("{address}/tasks/{}/{attempt}/{how}", encode_segment(&task));
        let request = wire::Fence { token };
        let reply = self.post(&url, &request, None, self.options.timeout).await;
        let confirmed = matches!(reply, Reply::Answer(_));
        WorkerEvent::Yielded { worker, task, attempt, how, confirmed }
    }

    /// Asks a worker for its report.
    pub async fn report(&self, worker: ids::WorkerId, address: &str) -> WorkerEvent {
        let url = format!("{address}/report");
        let asked_at = self.clock.now();
        let body = GatedBody::open(Bytes::new());
        let reply = self.call(http::Method::GET, &url, body, self.options.timeout).await;
        let Reply::Answer(answer) = reply else {
            return WorkerEvent::Unreachable { worker };
        };
        match parse(&url, &answer) {
            Ok(report) => WorkerEvent::Report { worker, asked_at, report },
            Err(_) => WorkerEvent::Unreachable { worker },
        }
    }

    async fn post(
        &self,
        url: &str,
        request: &impl Serialize,
        not_after: Option<time::Duration>,
        timeout: time::Duration,
    ) -> Reply {
        let bytes = match serde_json::to_vec(request) {
            Ok(bytes) => Bytes::from(bytes),
            Err(error) => return Reply::Failed(no_connection(url, &error)),
        };
        let body = match not_after {
            Some(not_after) => GatedBody::until(bytes, not_after, sync::Arc::clone(&self.clock)),
            None => GatedBody::open(bytes),
        };
        self.call(http::Method::POST, url, body, timeout).await
    }

    async fn call(
        &self,
        method: http::Method,
        url: &str,
        body: GatedBody,
        timeout: time::Duration,
    ) -> Reply {
        let expired = sync::Arc::clone(&body.expired);
        let link = if body.gate.is_some() {
            traffic::LinkKind::Starts
        } else {
            traffic::LinkKind::Workers
        };
        self.traffic.count_sent(link, body.bytes.as_ref().map_or(0, Bytes::len));
        let request = http::Request::builder()
            .method(method)
            .uri(url)
            .header(options::HOST_HEADER, &*self.host)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(body);
        let request = match request {
            Ok(request) => request,
            Err(error) => return Reply::Failed(no_connection(url, &error)),
        };
        let result = tokio::time::timeout(timeout, self.exchange(url, request, link)).await;
        // A body that stopped at its gate never reached the worker as a whole, so that the worker
        // cannot have acted on the request.
        if expired.load(atomic::Ordering::Acquire) {
            return Reply::Expired;
        }
        match result {
            Ok(Ok(reply)) => reply,
            Ok(Err(error)) => Reply::Failed(error),
            Err(_) => Reply::Failed(broken_off(url, "no answer in time")),
        }
    }

    async fn exchange(
        &self,
        url: &str,
        request: http::Request<GatedBody>,
        link: traffic::LinkKind,
    ) -> Result<Reply> {
        let response = self.http.request(request).await.map_err(|error| {
            if error.is_connect() { no_connection(url, &error) } else { broken_off(url, &error) }
        })?;
        let status = response.status().as_u16();
        let limit_bytes = self.options.max_answer_bytes;
        let body = http_body_util::Limited::new(response.into_body(), limit_bytes);
        let answer = match body.collect().await {
            Ok(collected) => collected.to_bytes(),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                return Err(Error::ResponseTooLarge { address: url.to_owned(), limit_bytes });
            }
            Err(error) => return Err(broken_off(url, &error)),
        };
        self.traffic.count_received(link, answer.len());
        match status {
            OK => Ok(Reply::Answer(answer)),
            CONFLICT => {
                let refusal: wire::WorkerRefusal = parse(url, &answer)?;
                Ok(Reply::Refused(refusal.error))
            }
            status => Err(Error::Status { address: url.to_owned(), status }),
        }
    }
}

/// Reads the answer to a start. Returns the end of a task of kind `answer`. An answer that names
/// another task or attempt is an error: it belongs to another request.
fn read_start_answer(url: &str, start: &wire::StartTask, answer: &[u8]) -> Result<Option<TaskEnd>> {
    let (task, attempt, end) = match start.kind {
        wire::StartKind::Answer => {
            let answer: wire::TaskAnswer = parse(url, answer)?;
            let end = TaskEnd { kind: answer.outcome, body: answer.body };
            (answer.task, answer.attempt, Some(end))
        }
        wire::StartKind::Run => {
            let answer: wire::TaskStarted = parse(url, answer)?;
            if !answer.started {
                return Err(bad_answer(url, "`started` is false"));
            }
            (answer.task, answer.attempt, None)
        }
    };
    if task != start.task || attempt != start.attempt {
        return Err(bad_answer(url, &format!("it is for attempt {attempt} of task {task}")));
    }
    Ok(end)
}

fn parse<T: serde::de::DeserializeOwned>(url: &str, answer: &[u8]) -> Result<T> {
    serde_json::from_slice(answer).map_err(|error| bad_answer(url, &error.to_string()))
}

fn bad_answer(url: &str, detail: &str) -> Error {
    Error::InvalidResponse { address: url.to_owned(), detail: detail.to_owned() }
}

fn no_connection(url: &str, error: &impl std::fmt::Display) -> Error {
    Error::NoConnection { address: url.to_owned(), detail: error.to_string() }
}

fn broken_off(url: &str, error: &(impl std::fmt::Display + ?Sized)) -> Error {
    Error::Interrupted { address: url.to_owned(), detail: error.to_string() }
}

/// Encodes a text for use as one segment of a path: all bytes but letters, digits, `-`, `_` and
/// `.` become `%` and two hexadecimal digits. The id of a job's task contains a slash.
pub fn encode_segment(text: &str) -> String {
    const HEX: &[u8; 16] = b"0123456789ABCDEF";
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.') {
            encoded.push(char::from(byte));
            continue;
        }
        encoded.push('%');
        encoded.push(char::from(HEX[usize::from(byte >> 4)]));
        encoded.push(char::from(HEX[usize::from(byte & 15)]));
    }
    encoded
}

/// The time of a request had passed when it was to be written.
#[derive(Debug, Clone, Copy, derive_more::Display, derive_more::Error)]
#[display("the time in which the request could be sent has passed")]
struct GateClosed;

/// A body of known size that is handed to the connection in one piece, or not at all after a
/// time. The check is made when hyper takes the body to write it, after the connection was made
/// or taken from the pool: there is no wait between the check and the write.
struct GatedBody {
    bytes: Option<Bytes>,
    gate: Option<(time::Duration, sync::Arc<dyn clock::Clock>)>,
    expired: sync::Arc<atomic::AtomicBool>,
}

impl GatedBody {
    fn open(bytes: Bytes) -> Self {
        let bytes = if bytes.is_empty() { None } else { Some(bytes) };
        Self { bytes, gate: None, expired: sync::Arc::default() }
    }

    fn until(bytes: Bytes, not_after: time::Duration, clock: sync::Arc<dyn clock::Clock>) -> Self {
        Self { gate: Some((not_after, clock)), ..Self::open(bytes) }
    }
}

impl body::Body for GatedBody {
    type Data = Bytes;
    type Error = GateClosed;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<Option<std::result::Result<body::Frame<Bytes>, GateClosed>>> {
        let this = self.get_mut();
        let Some(bytes) = this.bytes.take() else {
            return task::Poll::Ready(None);
        };
        if let Some((not_after, clock)) = &this.gate
            && clock.now() > *not_after
        {
            this.expired.store(true, atomic::Ordering::Release);
            return task::Poll::Ready(Some(Err(GateClosed)));
        }
        task::Poll::Ready(Some(Ok(body::Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> body::SizeHint {
        let size = self.bytes.as_ref().map_or(0, Bytes::len);
        body::SizeHint::with_exact(u64::try_from(size).unwrap_or(u64::MAX))
    }
}
