//! Blocking client of the HTTP interface for callers.

use std::collections;
use std::io;
use std::io::Read;
use std::time;

use persimmonpier::core::caller;
use serde::de;

use crate::{Error, Result};

/// The response header with the id of the task that produced the answer.
pub const TASK_HEADER: &str = "pier-task";

const MAX_BODY_BYTES: u64 = 64 << 20;
const MAX_HEADER_BYTES: usize = 64 << 10;
const MAX_STATUS_LINE_BYTES: usize = 1 << 10;
/// The reason phrase that minreq fills in when the connection closes before a status line arrives.
const NO_STATUS_LINE_PHRASE: &str = "Server did not provide a status line";

/// A host and the API key to call it with.
#[derive(Debug, Clone)]
pub struct Target {
    /// The address (`ip:port`) of the host's interface for callers.
    pub host: String,
    /// The API key of the caller's team.
    pub key: Option<String>,
    /// The timeout of a call, rounded up to whole seconds.
    pub timeout: time::Duration,
}

/// An HTTP response with a status from 200 to 299.
#[derive(Debug, Clone)]
pub struct Response {
    /// The headers, keyed by lower-case name.
    pub headers: collections::HashMap<String, String>,
    /// The response body.
    pub body: Vec<u8>,
}

impl Response {
    /// The id of the task that ran, if the response names it.
    pub fn task(&self) -> Option<&str> {
        self.headers.get(TASK_HEADER).map(String::as_str)
    }
}

/// Sends a request to `path` of a host.
///
/// # Errors
/// [`Error::Refused`] if the host refused the request, [`Error::NotSent`] if the host refused the
/// connection, and [`Error::UnknownOutcome`] for everything else.
pub fn send(
    target: &Target,
    method: minreq::Method,
    path: &str,
    headers: &[(&str, String)],
    body: Vec<u8>,
) -> Result<Response> {
    let mut request = minreq::Request::new(method, format!("http://{}{path}", target.host))
        .with_header("Connection", "close")
        .with_timeout(round_up_to_seconds(target.timeout))
        .with_follow_redirects(false)
        .with_max_headers_size(MAX_HEADER_BYTES)
        .with_max_status_line_length(MAX_STATUS_LINE_BYTES);
    if let Some(key) = &target.key {
        request = request.with_header("Authorization", format!("Bearer {key}"));
    }
    for (name, value) in headers {
        request = request.with_header(*name, value.as_str());
    }
    if !body.is_empty() {
        request = request.with_body(body);
    }
    let unknown = |detail: String| Error::UnknownOutcome { host: target.host.clone(), detail };
    let response = match request.send_lazy() {
        Ok(response) => response,
        Err(minreq::Error::IoError(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            let detail = error.to_string();
            return Err(Error::NotSent { host: target.host.clone(), detail });
        }
        Err(error) => return Err(unknown(error.to_string())),
    };
    if response.headers.is_empty() || response.reason_phrase == NO_STATUS_LINE_PHRASE {
        return Err(unknown("the connection was closed before the response arrived".to_owned()));
    }
    let status = response.status_code;
    let headers = response.headers.clone();
    let mut body = Vec::new();
    let read = Read::take(response, MAX_BODY_BYTES).read_to_end(&mut body);
    read.map_err(|error| unknown(error.to_string()))?;
    let declared: Option<usize> = headers.get("content-length").and_then(|text| text.parse().ok());
    if declared.is_some_and(|length| length != body.len()) {
        return Err(unknown(
            "the body does not have the length given by Content-Length".to_owned(),
        ));
    }
    if (200..300).contains(&status) {
        return Ok(Response { headers, body });
    }
    match serde_json::from_slice::<caller::Refusal>(&body) {
        Ok(refusal) => Err(Error::Refused { refusal: Box::new(refusal) }),
        Err(_) => Err(unknown(format!("HTTP status {status} without a parsable refusal"))),
    }
}

/// Parses a response body as JSON.
///
/// # Errors
/// [`Error::UnknownOutcome`] if the body is not a valid `T`.
pub fn parse_json<T: de::DeserializeOwned>(target: &Target, response: &Response) -> Result<T> {
    serde_json::from_slice(&response.body).map_err(|error| Error::UnknownOutcome {
        host: target.host.clone(),
        detail: error.to_string(),
    })
}

fn round_up_to_seconds(timeout: time::Duration) -> u64 {
    timeout.as_secs().saturating_add(u64::from(timeout.subsec_nanos() > 0)).max(1)
}
