//! Blocking HTTP calls with limits on time and response size.

use std::io;
use std::io::Read;
use std::time;

use crate::{Error, Result, options};

const MAX_HEADER_BYTES: usize = 16 << 10;
const MAX_STATUS_LINE_BYTES: usize = 1 << 10;
const OK: i32 = 200;
const NOT_MODIFIED: i32 = 304;
const NOT_MODIFIED_STATUS: u16 = 304;
const NO_STATUS_LINE: &str = "Server did not provide a status line";

/// Limits of a call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// The maximum duration of the call, rounded up to whole seconds.
    pub timeout: time::Duration,
    /// The maximum size of the response body in bytes.
    pub max_answer_bytes: usize,
}

/// A response with status 200, or 304 to a conditional request.
#[derive(Debug)]
pub(crate) struct Response {
    /// Whether the status is 304: the version that the client has is current.
    pub not_modified: bool,
    /// The entity tag of the response.
    pub etag: Option<String>,
    /// The `Age` header in seconds; zero if there is none.
    pub age_s: u64,
    /// The body.
    pub body: Vec<u8>,
}

/// Sends a request and returns the body of the response, which must have status 200.
///
/// # Errors
/// Any other status, and any failure of the connection.
pub(crate) fn call(
    request: minreq::Request,
    host: &str,
    url: &str,
    limits: Limits,
) -> Result<Vec<u8>> {
    let response = exchange(request, host, url, limits)?;
    if response.not_modified {
        return Err(Error::Status { address: url.to_owned(), status: NOT_MODIFIED_STATUS });
    }
    Ok(response.body)
}

/// Sends a request and returns the response, which must have status 200 or 304.
///
/// Each call uses its own connection, so that a late response cannot be mistaken for that of
/// another call.
pub(crate) fn exchange(
    request: minreq::Request,
    host: &str,
    url: &str,
    limits: Limits,
) -> Result<Response> {
    let request = request
        .with_header(options::HOST_HEADER, host)
        .with_header("Connection", "close")
        .with_timeout(round_up_to_seconds(limits.timeout))
        .with_follow_redirects(false)
        .with_max_headers_size(MAX_HEADER_BYTES)
        .with_max_status_line_length(MAX_STATUS_LINE_BYTES);
    let response = request.send_lazy().map_err(|error| to_error(url, &error))?;
    // minreq itself makes up a response with status 503 if the connection is closed before a whole
    // status line is received. Such a response has this phrase and, if nothing was received, no
    // headers.
    if response.headers.is_empty() || response.reason_phrase == NO_STATUS_LINE {
        let detail = "the connection was closed before the response was received".to_owned();
        return Err(Error::Interrupted { address: url.to_owned(), detail });
    }
    let not_modified = response.status_code == NOT_MODIFIED;
    if response.status_code != OK && !not_modified {
        let status = u16::try_from(response.status_code).unwrap_or(0);
        return Err(Error::Status { address: url.to_owned(), status });
    }
    let etag = response.headers.get("etag").cloned();
    let age = response.headers.get("age").and_then(|text| text.parse().ok());
    let declared_bytes = response.headers.get("content-length").cloned();
    let too_large = || Error::ResponseTooLarge {
        address: url.to_owned(),
        limit_bytes: limits.max_answer_bytes,
    };
    let declared_bytes = declared_bytes.and_then(|text| text.parse::<usize>().ok());
    if declared_bytes.is_some_and(|size| size > limits.max_answer_bytes) {
        return Err(too_large());
    }
    let limit = u64::try_from(limits.max_answer_bytes).unwrap_or(u64::MAX);
    let mut body = Vec::new();
    let read = Read::take(response, limit.saturating_add(1)).read_to_end(&mut body);
    read.map_err(|error| Error::Interrupted {
        address: url.to_owned(),
        detail: error.to_string(),
    })?;
    if body.len() > limits.max_answer_bytes {
        return Err(too_large());
    }
    if declared_bytes.is_some_and(|size| size != body.len()) {
        let detail = "the body is shorter than its declared length".to_owned();
        return Err(Error::Interrupted { address: url.to_owned(), detail });
    }
    Ok(Response { not_modified, etag, age_s: age.unwrap_or(0), body })
}

/// Parses a JSON response.
pub(crate) fn parse<T: serde::de::DeserializeOwned>(url: &str, body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::InvalidResponse {
        address: url.to_owned(),
        detail: error.to_string(),
    })
}

fn to_error(url: &str, error: &minreq::Error) -> Error {
    let address = url.to_owned();
    let detail = error.to_string();
    // Only a refused connection proves that nothing was sent. Any other error may have occurred
    // while connecting or later.
    let minreq::Error::IoError(cause) = error else {
        return Error::Interrupted { address, detail };
    };
    if cause.kind() == io::ErrorKind::ConnectionRefused {
        return Error::NoConnection { address, detail };
    }
    Error::Interrupted { address, detail }
}

fn round_up_to_seconds(timeout: time::Duration) -> u64 {
    let round_up = u64::from(timeout.subsec_nanos() > 0);
    timeout.as_secs().saturating_add(round_up).max(1)
}
