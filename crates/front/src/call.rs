//! What callers ask, read from the head of a request.

use std::sync;
use std::time;

use http::{HeaderMap, HeaderName, Method, header, request};
use pier_core::caller::{self, Refusal, RefusalKind};
use pier_core::{ids, keys};

use crate::{limits, options};

/// The header that makes repeats of a request safe.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The header with the time that the caller waits, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("pier-deadline-ms");
/// The header that says whether a request may run more than once.
pub const REPEATABLE: HeaderName = HeaderName::from_static("pier-repeatable");
/// The header of an answer with the id of the task.
pub const TASK: HeaderName = HeaderName::from_static("pier-task");

const QUEUES_PREFIX: &str = "/v1/queues/";
const TASKS_SUFFIX: &str = "/tasks";
const JOBS_PATH: &str = "/v1/jobs";
const JOBS_PREFIX: &str = "/v1/jobs/";
const MAX_NAME_BYTES: usize = 256;
const MAX_KEY_BYTES: usize = 512;
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// What a caller asks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// To run a task and return its answer.
    Task {
        /// The queue.
        queue: ids::QueueId,
    },
    /// To accept a job.
    SubmitJob,
    /// The state of a job.
    QueryJob {
        /// The job.
        job: ids::JobId,
    },
    /// To cancel a job.
    CancelJob {
        /// The job.
        job: ids::JobId,
    },
    /// Whether the process runs.
    Health,
    /// Whether the host takes requests.
    Ready,
    /// The metrics of the process.
    Metrics,
}

/// A path or method that the interface does not have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// No such path.
    UnknownPath,
    /// The path exists for the methods in the text.
    MethodNotAllowed(&'static str),
}

/// The headers of a request that have a meaning here.
#[derive(Debug, Clone, Default)]
pub struct RequestHeaders {
    /// The key.
    pub key: Option<sync::Arc<str>>,
    /// The idempotency key.
    pub idempotency_key: Option<sync::Arc<str>>,
    /// Whether the request may run more than once. Not, when the header is missing.
    pub repeatable: bool,
    /// The time that the caller waits.
    pub deadline: Option<time::Duration>,
}

impl RequestHeaders {
    /// Who the request counts for.
    pub fn limit_key(&self) -> limits::LimitKey {
        self.key.as_ref().map(|key| keys::KeyHash::of(key))
    }
}

/// Finds out what is asked.
///
/// # Errors
/// A path or a method that the interface does not have.
pub fn route(head: &request::Parts) -> Result<Call, RouteError> {
    let path = head.uri.path();
    let get = head.method == Method::GET || head.method == Method::HEAD;
    let probe = match path {
        "/healthz" => Some(Call::Health),
        "/readyz" => Some(Call::Ready),
        "/metrics" => Some(Call::Metrics),
        _ => None,
    };
    if let Some(call) = probe {
        return if get { Ok(call) } else { Err(RouteError::MethodNotAllowed("GET, HEAD")) };
    }
    if path == JOBS_PATH {
        let post = head.method == Method::POST;
        return if post { Ok(Call::SubmitJob) } else { Err(RouteError::MethodNotAllowed("POST")) };
    }
    if let Some(job) = path.strip_prefix(JOBS_PREFIX).filter(|job| is_name(job)) {
        return match head.method {
            Method::GET => Ok(Call::QueryJob { job: job.into() }),
            Method::DELETE => Ok(Call::CancelJob { job: job.into() }),
            _ => Err(RouteError::MethodNotAllowed("GET, DELETE")),
        };
    }
    let queue = path.strip_prefix(QUEUES_PREFIX).and_then(|rest| rest.strip_suffix(TASKS_SUFFIX));
    if let Some(queue) = queue.filter(|queue| is_name(queue)) {
        let post = head.method == Method::POST;
        return if post {
            Ok(Call::Task { queue: queue.into() })
        } else {
            Err(RouteError::MethodNotAllowed("POST"))
        };
    }
    Err(RouteError::UnknownPath)
}

/// Reads the headers that have a meaning.
///
/// # Errors
/// A refusal that names the header and what is allowed.
pub fn parse_headers(
    headers: &HeaderMap,
    options: &options::Options,
) -> Result<RequestHeaders, Refusal> {
    Ok(RequestHeaders {
        key: key(headers)?,
        idempotency_key: idempotency_key(headers)?,
        repeatable: repeatable(headers)?,
        deadline: deadline(headers, options)?,
    })
}

/// Reads a job from the body of a request.
///
/// # Errors
/// A refusal that names the place in the body and what is allowed.
pub fn parse_job(body: &[u8], options: &options::Options) -> Result<caller::JobRequest, Refusal> {
    let request: caller::JobRequest =
        serde_json::from_slice(body).map_err(|error| bad(format!("the job: {error}")))?;
    if !is_name(&request.queue) {
        return Err(bad(
            "queue: a name of 1 to 256 letters, digits, '.', '_', ':' or '-' is needed",
        ));
    }
    if request.tasks == 0 || request.tasks > options.max_job_tasks {
        return Err(bad(format!(
            "tasks: found {}, allowed are 1 to {}",
            request.tasks, options.max_job_tasks
        )));
    }
    if request.resources.is_zero() {
        return Err(bad("resources: a task must hold something"));
    }
    if request.deadline_ms == Some(0) {
        return Err(Refusal::not_run(
            RefusalKind::DeadlinePassed,
            "deadline_ms: found 0, the deadline has passed",
        ));
    }
    Ok(request)
}

fn key(headers: &HeaderMap) -> Result<Option<sync::Arc<str>>, Refusal> {
    const ALLOWED: &str = "Authorization: 'Bearer KEY' with a key of 1 to 512 characters is needed";
    let Some(value) = single(headers, &header::AUTHORIZATION)? else {
        return Ok(None);
    };
    let Some((scheme, key)) = value.split_once(' ') else {
        return Err(bad(ALLOWED));
    };
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(bad(ALLOWED));
    }
    Ok(Some(key.into()))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<sync::Arc<str>>, Refusal> {
    let Some(value) = single(headers, &IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(bad("Idempotency-Key: 1 to 256 characters are needed"));
    }
    Ok(Some(value.into()))
}

fn repeatable(headers: &HeaderMap) -> Result<bool, Refusal> {
    match single(headers, &REPEATABLE)? {
        None | Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(_) => Err(bad("Pier-Repeatable: 'yes' or 'no' is needed")),
    }
}

fn deadline(
    headers: &HeaderMap,
    options: &options::Options,
) -> Result<Option<time::Duration>, Refusal> {
    let Some(value) = single(headers, &DEADLINE_MS)? else {
        return Ok(None);
    };
    let largest_ms = pier_core::clock::millis(options.max_deadline);
    let allowed =
        || bad(format!("Pier-Deadline-Ms: a whole number from 1 to {largest_ms} is needed"));
    let wait_ms: i64 = value.parse().map_err(|_| allowed())?;
    if wait_ms <= 0 {
        let detail = format!("Pier-Deadline-Ms: found {wait_ms}, the deadline has passed");
        return Err(Refusal::not_run(RefusalKind::DeadlinePassed, detail));
    }
    let wait = time::Duration::from_millis(wait_ms.unsigned_abs());
    if wait > options.max_deadline {
        return Err(allowed());
    }
    Ok(Some(wait))
}

fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad(format!("{name}: the header is there more than once")));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(bad(format!("{name}: only visible ASCII characters are allowed"))),
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._:-".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

fn bad(detail: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalKind::BadRequest, detail)
}
