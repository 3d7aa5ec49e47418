//! Client of the workers.

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
use pier_core::task::{FencingToken, PreemptionMode, TaskEnd};
use pier_core::{clock, ids, wire};
use pier_state::event::{NotStarted, WorkerEvent};
use serde::Serialize;

use crate::{Error, Result, options, traffic};

const OK: u16 = 200;
const CONFLICT: u16 = 409;

/// An asynchronous client of all workers. Its calls use pooled connections and return within the
/// timeouts of [`options::WorkerOptions`]. Each method returns the event that reports the result.
#[derive(Clone)]
pub struct WorkerClient {
    host: ids::HostId,
    options: options::WorkerOptions,
    clock: sync::Arc<dyn clock::Clock>,
    http: legacy::Client<legacy::connect::HttpConnector, ExpiringBody>,
    traffic: sync::Arc<traffic::Traffic>,
}

/// The outcome of a call.
enum CallOutcome {
    /// The worker responded with status 200.
    Response(Bytes),
    /// The worker refused the request with a typed refusal.
    Refused(wire::WorkerRefusalKind),
    /// The request was not sent because it had expired.
    Expired,
    /// The call failed.
    Failed(Error),
}

impl WorkerClient {
    /// Creates a client that identifies itself as `host`. It must be used within a tokio runtime.
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

    /// Starts a task, unless the clock is past `not_after` when the request is about to be written.
    ///
    /// The event is [`WorkerEvent::NotStarted`] only if the worker refused the request, no
    /// connection could be established or the request had expired. Any other failure is
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
            CallOutcome::Response(answer) => answer,
            CallOutcome::Refused(kind) => {
                let reason = NotStarted::Refused(kind);
                return WorkerEvent::NotStarted { worker, task, attempt, reason };
            }
            CallOutcome::Expired => {
                let reason = NotStarted::Expired;
                return WorkerEvent::NotStarted { worker, task, attempt, reason };
            }
            CallOutcome::Failed(Error::NoConnection { .. }) => {
                let reason = NotStarted::NoConnection;
                return WorkerEvent::NotStarted { worker, task, attempt, reason };
            }
            CallOutcome::Failed(error) => {
                tracing::debug!(%worker, %task, %error, "the outcome of a start is unknown");
                return WorkerEvent::StartUnknown { worker, task, attempt };
            }
        };
        match parse_start_response(&url, start, &answer) {
            Ok(Some(end)) => WorkerEvent::Answered { worker, task, attempt, end },
            Ok(None) => WorkerEvent::Started { worker, task, attempt },
            Err(error) => {
                tracing::warn!(%worker, %task, %error, "the response to a start is invalid");
                WorkerEvent::StartUnknown { worker, task, attempt }
            }
        }
    }

    /// Fences a worker and lists its tasks.
    pub async fn fence(
        &self,
        worker: ids::WorkerId,
        address: &str,
        token: FencingToken,
    ) -> WorkerEvent {
        let url = format!("{address}/fence");
        let request = wire::Fence { token };
        let stale = match self.post(&url, &request, None, self.options.timeout).await {
            CallOutcome::Response(answer) => match parse::<wire::WorkerTasks>(&url, &answer) {
                Ok(tasks) => return WorkerEvent::Fenced { worker, token, tasks },
                Err(_) => false,
            },
            CallOutcome::Refused(kind) => kind == wire::WorkerRefusalKind::StaleToken,
            CallOutcome::Expired | CallOutcome::Failed(_) => false,
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
        let outcome = self.post(&url, renew, None, self.options.timeout).await;
        match outcome {
            CallOutcome::Response(answer) => match parse(&url, &answer) {
                Ok(answer) => WorkerEvent::Renewed { worker, sent_at, answer },
                Err(_) => WorkerEvent::Unreachable { worker },
            },
            _ => WorkerEvent::Unreachable { worker },
        }
    }

    /// Preempts a task: checkpoints, throttles or stops it, as `mode` says.
    pub async fn preempt(
        &self,
        worker: ids::WorkerId,
        address: &str,
        token: FencingToken,
        (task, attempt): (ids::TaskId, ids::Attempt),
        mode: PreemptionMode,
    ) -> WorkerEvent {
        let url = format!("{address}/tasks/{}/{attempt}/{mode}", encode_segment(&task));
        let request = wire::Fence { token };
        let outcome = self.post(&url, &request, None, self.options.timeout).await;
        let confirmed = matches!(outcome, CallOutcome::Response(_));
        WorkerEvent::PreemptionReply { worker, task, attempt, mode, confirmed }
    }

    /// Requests the report of a worker.
    pub async fn report(&self, worker: ids::WorkerId, address: &str) -> WorkerEvent {
        let url = format!("{address}/report");
        let asked_at = self.clock.now();
        let body = ExpiringBody::without_expiry(Bytes::new());
        let outcome = self.call(http::Method::GET, &url, body, self.options.timeout).await;
        let CallOutcome::Response(answer) = outcome else {
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
    ) -> CallOutcome {
        let bytes = match serde_json::to_vec(request) {
            Ok(bytes) => Bytes::from(bytes),
            Err(error) => return CallOutcome::Failed(no_connection(url, &error)),
        };
        let body = match not_after {
            Some(not_after) => {
                ExpiringBody::with_expiry(bytes, not_after, sync::Arc::clone(&self.clock))
            }
            None => ExpiringBody::without_expiry(bytes),
        };
        self.call(http::Method::POST, url, body, timeout).await
    }

    async fn call(
        &self,
        method: http::Method,
        url: &str,
        body: ExpiringBody,
        timeout: time::Duration,
    ) -> CallOutcome {
        let expired = sync::Arc::clone(&body.expired);
        let link = if body.expiry.is_some() {
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
            Err(error) => return CallOutcome::Failed(no_connection(url, &error)),
        };
        let result = tokio::time::timeout(timeout, self.exchange(url, request, link)).await;
        // If the body expired, the worker never received the complete request, so it cannot have
        // acted on it.
        if expired.load(atomic::Ordering::Acquire) {
            return CallOutcome::Expired;
        }
        match result {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(error)) => CallOutcome::Failed(error),
            Err(_) => CallOutcome::Failed(interrupted(url, "the call timed out")),
        }
    }

    async fn exchange(
        &self,
        url: &str,
        request: http::Request<ExpiringBody>,
        link: traffic::LinkKind,
    ) -> Result<CallOutcome> {
        let response = self.http.request(request).await.map_err(|error| {
            if error.is_connect() { no_connection(url, &error) } else { interrupted(url, &error) }
        })?;
        let status = response.status().as_u16();
        let limit_bytes = self.options.max_answer_bytes;
        let body = http_body_util::Limited::new(response.into_body(), limit_bytes);
        let answer = match body.collect().await {
            Ok(collected) => collected.to_bytes(),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                return Err(Error::ResponseTooLarge { address: url.to_owned(), limit_bytes });
            }
            Err(error) => return Err(interrupted(url, &error)),
        };
        self.traffic.count_received(link, answer.len());
        match status {
            OK => Ok(CallOutcome::Response(answer)),
            CONFLICT => {
                let refusal: wire::WorkerRefusal = parse(url, &answer)?;
                Ok(CallOutcome::Refused(refusal.error))
            }
            status => Err(Error::Status { address: url.to_owned(), status }),
        }
    }
}

/// Parses the response to a start. Returns the end of the task for a start of kind `answer`. A
/// response for another task or attempt is an error, because it belongs to another request.
fn parse_start_response(
    url: &str,
    start: &wire::StartTask,
    answer: &[u8],
) -> Result<Option<TaskEnd>> {
    let (task, attempt, end) = match start.kind {
        wire::StartKind::Answer => {
            let answer: wire::TaskAnswer = parse(url, answer)?;
            let end = TaskEnd { kind: answer.outcome, body: answer.body };
            (answer.task, answer.attempt, Some(end))
        }
        wire::StartKind::Run => {
            let answer: wire::TaskStarted = parse(url, answer)?;
            if !answer.started {
                return Err(invalid_response(url, "`started` is false"));
            }
            (answer.task, answer.attempt, None)
        }
    };
    if task != start.task || attempt != start.attempt {
        return Err(invalid_response(
            url,
            &format!("it belongs to attempt {attempt} of task {task}"),
        ));
    }
    Ok(end)
}

fn parse<T: serde::de::DeserializeOwned>(url: &str, answer: &[u8]) -> Result<T> {
    serde_json::from_slice(answer).map_err(|error| invalid_response(url, &error.to_string()))
}

fn invalid_response(url: &str, detail: &str) -> Error {
    Error::InvalidResponse { address: url.to_owned(), detail: detail.to_owned() }
}

fn no_connection(url: &str, error: &impl std::fmt::Display) -> Error {
    Error::NoConnection { address: url.to_owned(), detail: error.to_string() }
}

fn interrupted(url: &str, error: &(impl std::fmt::Display + ?Sized)) -> Error {
    Error::Interrupted { address: url.to_owned(), detail: error.to_string() }
}

/// Percent-encodes a text for use as one segment of a path: every byte except ASCII letters,
/// digits, `-`, `_` and `.`. This is needed because the id of a job's task contains a slash.
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

/// A request had expired when it was about to be written.
#[derive(Debug, Clone, Copy, derive_more::Display, derive_more::Error)]
#[display("the request expired before it was sent")]
struct Expired;

/// A body of known size that is passed to the connection in one piece, or fails if it has expired.
/// The expiry is checked when hyper polls the body to write it, after the connection was
/// established or taken from the pool, so that there is no wait between the check and the write.
struct ExpiringBody {
    bytes: Option<Bytes>,
    expiry: Option<(time::Duration, sync::Arc<dyn clock::Clock>)>,
    expired: sync::Arc<atomic::AtomicBool>,
}

impl ExpiringBody {
    fn without_expiry(bytes: Bytes) -> Self {
        let bytes = if bytes.is_empty() { None } else { Some(bytes) };
        Self { bytes, expiry: None, expired: sync::Arc::default() }
    }

    fn with_expiry(
        bytes: Bytes,
        not_after: time::Duration,
        clock: sync::Arc<dyn clock::Clock>,
    ) -> Self {
        Self { expiry: Some((not_after, clock)), ..Self::without_expiry(bytes) }
    }
}

impl body::Body for ExpiringBody {
    type Data = Bytes;
    type Error = Expired;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<Option<std::result::Result<body::Frame<Bytes>, Expired>>> {
        let this = self.get_mut();
        let Some(bytes) = this.bytes.take() else {
            return task::Poll::Ready(None);
        };
        if let Some((not_after, clock)) = &this.expiry
            && clock.now() > *not_after
        {
            this.expired.store(true, atomic::Ordering::Release);
            return task::Poll::Ready(Some(Err(Expired)));
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
