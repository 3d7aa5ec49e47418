//! Parsing of callers' requests: the route, the headers and the job in a body.

use std::sync;
use std::time;

use http::{HeaderMap, HeaderName, Method, header, request};
use pier_core::caller::{self, Refusal, RefusalKind};
use pier_core::{ids, keys};

use crate::{limits, options};

/// The request header with the idempotency key, with which a caller can safely repeat a request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The request header with the deadline: how long the caller waits, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("pier-deadline-ms");
/// The request header that says whether the task may run more than once.
pub const REPEATABLE: HeaderName = HeaderName::from_static("pier-repeatable");
/// The response header with the id of the task.
pub const TASK: HeaderName = HeaderName::from_static("pier-task");

const QUEUES_PREFIX: &str = "/v1/queues/";
const TASKS_SUFFIX: &str = "/tasks";
const JOBS_PATH: &str = "/v1/jobs";
const JOBS_PREFIX: &str = "/v1/jobs/";
const MAX_NAME_BYTES: usize = 256;
const MAX_KEY_BYTES: usize = 512;
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// The operation that a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Runs a task and returns its answer.
    Task {
        /// The queue of the task.
        queue: ids::QueueId,
    },
    /// Submits a job.
    SubmitJob,
    /// Reads the state of a job.
    QueryJob {
        /// The job.
        job: ids::JobId,
    },
    /// Cancels a job.
    CancelJob {
        /// The job.
        job: ids::JobId,
    },
    /// Liveness probe: whether the process runs.
    Health,
    /// Readiness probe: whether the host accepts requests.
    Ready,
    /// Reads the metrics of the process.
    Metrics,
}

/// A request that matches no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// No route has this path.
    UnknownPath,
    /// The path exists, but only for the given methods, in the syntax of the `Allow` header.
    MethodNotAllowed(&'static str),
}

/// The request headers that this interface evaluates.
#[derive(Debug, Clone, Default)]
pub struct RequestHeaders {
    /// The API key.
    pub key: Option<sync::Arc<str>>,
    /// The idempotency key.
    pub idempotency_key: Option<sync::Arc<str>>,
    /// Whether the task may run more than once. True if the header is missing.
    pub repeatable: bool,
    /// How long the caller waits.
    pub deadline: Option<time::Duration>,
}

impl RequestHeaders {
    /// The key that the request counts for.
    pub fn limit_key(&self) -> limits::LimitKey {
        self.key.as_ref().map(|key| keys::KeyHash::of(key))
    }
}

/// Finds the operation for the path and method of a request.
///
/// # Errors
/// [`RouteError`] if the path is unknown or does not support the method.
pub fn route(head: &request::Parts) -> Result<Call, RouteError> {
    let path = head.uri.path();
    let is_get = head.method == Method::GET || head.method == Method::HEAD;
    let probe = match path {
        "/healthz" => Some(Call::Health),
        "/readyz" => Some(Call::Ready),
        "/metrics" => Some(Call::Metrics),
        _ => None,
    };
    if let Some(call) = probe {
        return if is_get { Ok(call) } else { Err(RouteError::MethodNotAllowed("GET, HEAD")) };
    }
    if path == JOBS_PATH {
        let is_post = head.method == Method::POST;
        return if is_post {
            Ok(Call::SubmitJob)
        } else {
            Err(RouteError::MethodNotAllowed("POST"))
        };
    }
    if let Some(job) = path.strip_prefix(JOBS_PREFIX).filter(|job| is_valid_name(job)) {
        return match head.method {
            Method::GET => Ok(Call::QueryJob { job: job.into() }),
            Method::DELETE => Ok(Call::CancelJob { job: job.into() }),
            _ => Err(RouteError::MethodNotAllowed("GET, DELETE")),
        };
    }
    let queue = path.strip_prefix(QUEUES_PREFIX).and_then(|rest| rest.strip_suffix(TASKS_SUFFIX));
    if let Some(queue) = queue.filter(|queue| is_valid_name(queue)) {
        let is_post = head.method == Method::POST;
        return if is_post {
            Ok(Call::Task { queue: queue.into() })
        } else {
            Err(RouteError::MethodNotAllowed("POST"))
        };
    }
    Err(RouteError::UnknownPath)
}

/// Parses the request headers that this interface evaluates.
///
/// # Errors
/// A refusal that names the invalid header and the allowed values.
pub fn parse_headers(
    headers: &HeaderMap,
    options: &options::Options,
) -> Result<RequestHeaders, Refusal> {
    Ok(RequestHeaders {
        key: parse_key(headers)?,
        idempotency_key: parse_idempotency_key(headers)?,
        repeatable: parse_repeatable(headers)?,
        deadline: parse_deadline(headers, options)?,
    })
}

/// Parses a job from the body of a request.
///
/// # Errors
/// A refusal that names the invalid field and the allowed values.
pub fn parse_job(body: &[u8], options: &options::Options) -> Result<caller::JobRequest, Refusal> {
    let request: caller::JobRequest = serde_json::from_slice(body)
        .map_err(|error| bad_request(format!("invalid job: {error}")))?;
    if !is_valid_name(&request.queue) {
        return Err(bad_request(
            "queue: expected a name of 1 to 256 letters, digits, '.', '_', ':' or '-'",
        ));
    }
    if request.tasks == 0 || request.tasks > options.max_job_tasks {
        return Err(bad_request(format!(
            "tasks: found {}, expected 1 to {}",
            request.tasks, options.max_job_tasks
        )));
    }
    if request.resources.is_zero() {
        return Err(bad_request("resources: a task must request at least one resource"));
    }
    if request.deadline_ms == Some(0) {
        return Err(Refusal::not_run(
            RefusalKind::DeadlinePassed,
            "deadline_ms: found 0, the deadline has passed",
        ));
    }
    Ok(request)
}

fn parse_key(headers: &HeaderMap) -> Result<Option<sync::Arc<str>>, Refusal> {
    const EXPECTED: &str = "Authorization: expected 'Bearer KEY' with a key of 1 to 512 characters";
    let Some(value) = single_value(headers, &header::AUTHORIZATION)? else {
        return Ok(None);
    };
    let Some((scheme, key)) = value.split_once(' ') else {
        return Err(bad_request(EXPECTED));
    };
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(bad_request(EXPECTED));
    }
    Ok(Some(key.into()))
}

fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<sync::Arc<str>>, Refusal> {
    let Some(value) = single_value(headers, &IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(bad_request("Idempotency-Key: expected 1 to 256 characters"));
    }
    Ok(Some(value.into()))
}

fn parse_repeatable(headers: &HeaderMap) -> Result<bool, Refusal> {
    match single_value(headers, &REPEATABLE)? {
        None | Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(_) => Err(bad_request("Pier-Repeatable: expected 'yes' or 'no'")),
    }
}

fn parse_deadline(
    headers: &HeaderMap,
    options: &options::Options,
) -> Result<Option<time::Duration>, Refusal> {
    let Some(value) = single_value(headers, &DEADLINE_MS)? else {
        return Ok(None);
    };
    let max_ms = pier_core::clock::millis(options.max_deadline);
    let out_of_range =
        || bad_request(format!("Pier-Deadline-Ms: expected a whole number from 1 to {max_ms}"));
    let wait_ms: i64 = value.parse().map_err(|_| out_of_range())?;
    if wait_ms <= 0 {
        let detail = format!("Pier-Deadline-Ms: found {wait_ms}, the deadline has passed");
        return Err(Refusal::not_run(RefusalKind::DeadlinePassed, detail));
    }
    let wait = time::Duration::from_millis(wait_ms.unsigned_abs());
    if wait > options.max_deadline {
        return Err(out_of_range());
    }
    Ok(Some(wait))
}

fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_request(format!("{name}: the header occurs more than once")));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(bad_request(format!("{name}: only visible ASCII characters are allowed"))),
    }
}

fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._:-".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

fn bad_request(detail: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalKind::BadRequest, detail)
}
