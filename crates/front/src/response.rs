//! Responses to callers.

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use http_body_util::Full;
use pier_core::caller::{JobStatus, Refusal, RefusalKind};
use pier_core::{ids, task};
use pier_state::effect;

use crate::{call, status};

/// An HTTP response to a caller.
pub type Response = http::Response<Full<Bytes>>;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const OCTET_STREAM: HeaderValue = HeaderValue::from_static("application/octet-stream");
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");
const METRICS: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");
const CLOSE: HeaderValue = HeaderValue::from_static("close");
const MILLIS_PER_SECOND: u64 = 1_000;

/// Builds the response for an answer of the control thread. `job_status_code` is the HTTP status
/// for an answer that carries the state of a job.
pub fn from_answer(answer: effect::CallerAnswer, job_status_code: StatusCode) -> Response {
    match answer {
        effect::CallerAnswer::Task { task, end } => from_task_end(&task, &end),
        effect::CallerAnswer::Job(status) => from_job_status(&status, job_status_code),
        effect::CallerAnswer::Refused(refusal) => from_refusal(&refusal),
    }
}

/// Builds the response for a refusal.
pub fn from_refusal(refusal: &Refusal) -> Response {
    from_refusal_with_status(status::for_refusal(refusal.kind), refusal)
}

/// Builds the response for a request that matches no route.
pub fn from_route_error(error: call::RouteError) -> Response {
    match error {
        call::RouteError::UnknownPath => {
            let refusal = Refusal::not_run(RefusalKind::BadRequest, "unknown path");
            from_refusal_with_status(StatusCode::NOT_FOUND, &refusal)
        }
        call::RouteError::MethodNotAllowed(allowed) => {
            let detail = format!("the path allows {allowed}");
            let refusal = Refusal::not_run(RefusalKind::BadRequest, detail);
            let mut response = from_refusal_with_status(StatusCode::METHOD_NOT_ALLOWED, &refusal);
            response.headers_mut().insert(header::ALLOW, HeaderValue::from_static(allowed));
            response
        }
    }
}

/// Builds a plain text response.
pub fn text(status: StatusCode, text: &'static str) -> Response {
    with_body(status, TEXT, Bytes::from_static(text.as_bytes()))
}

/// Builds the response that carries the metrics.
pub fn metrics(text: String) -> Response {
    with_body(StatusCode::OK, METRICS, Bytes::from(text))
}

/// Adds `Connection: close` to a response.
pub fn with_connection_close(mut response: Response) -> Response {
    response.headers_mut().insert(header::CONNECTION, CLOSE);
    response
}

/// Encodes the whole response for a refusal as bytes, for connections on which no request was read.
pub fn refusal_bytes(refusal: &Refusal) -> Vec<u8> {
    let status = status::for_refusal(refusal.kind);
    let body = to_json(refusal);
    let mut head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\n",
        body.len()
    );
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        head.push_str(&format!("retry-after: {}\r\n", to_whole_seconds(retry_after_ms)));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&body);
    bytes
}

fn from_task_end(task: &ids::TaskId, end: &task::TaskEnd) -> Response {
    let mut response = match status::refusal_for_end(end.kind) {
        Some(refusal) => from_refusal(&refusal),
        None => {
            with_body(StatusCode::OK, OCTET_STREAM, Bytes::copy_from_slice(end.body.as_bytes()))
        }
    };
    if let Ok(value) = HeaderValue::from_str(task) {
        response.headers_mut().insert(call::TASK, value);
    }
    response
}

fn from_job_status(job: &JobStatus, status: StatusCode) -> Response {
    with_body(status, JSON, Bytes::from(to_json(job)))
}

fn from_refusal_with_status(status: StatusCode, refusal: &Refusal) -> Response {
    let mut response = with_body(status, JSON, Bytes::from(to_json(refusal)));
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let value = HeaderValue::from(to_whole_seconds(retry_after_ms));
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    if status == StatusCode::UNAUTHORIZED {
        let value = HeaderValue::from_static("Bearer");
        response.headers_mut().insert(header::WWW_AUTHENTICATE, value);
    }
    response
}

fn with_body(status: StatusCode, content_type: HeaderValue, body: Bytes) -> Response {
    let mut response = http::Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

fn to_json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("refusals and job states have only string keys")
}

/// Rounds up to whole seconds, at least one.
fn to_whole_seconds(retry_after_ms: u64) -> u64 {
    retry_after_ms.div_ceil(MILLIS_PER_SECOND).max(1)
}
