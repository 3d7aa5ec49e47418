//! Blocking HTTP calls with bounded time and size.

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

/// Bounds of a call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bounds {
    /// The longest time of the call, rounded up to whole seconds.
    pub timeout: time::Duration,
    /// The largest answer in bytes.
    pub max_answer_bytes: usize,
}

/// An answer with status 200, or 304 to a conditional request.
#[derive(Debug)]
pub(crate) struct Reply {
    /// Whether the answer is 304: what the caller knows is current.
    pub not_modified: bool,
    /// The entity tag of the answer.
    pub etag: Option<String>,
    /// The `Age` header in seconds; zero without one.
    pub age_s: u64,
    /// The body.
    pub body: Vec<u8>,
}

/// Sends a request and returns the body of an answer with status 200.
///
/// # Errors
/// Any other status, and every failure of the connection.
pub(crate) fn call(
    request: minreq::Request,
    host: &str,
    url: &str,
    bounds: Bounds,
) -> Result<Vec<u8>> {
    let reply = exchange(request, host, url, bounds)?;
    if reply.not_modified {
        return Err(Error::Status { address: url.to_owned(), status: NOT_MODIFIED_STATUS });
    }
    Ok(reply.body)
}

/// Sends a request and returns an answer with status 200 or 304.
///
/// Each call uses a connection of its own, so that a lost reply cannot be taken for another call's.
pub(crate) fn exchange(
    request: minreq::Request,
    host: &str,
    url: &str,
    bounds: Bounds,
) -> Result<Reply> {
    let request = request
        .with_header(options::HOST_HEADER, host)
        .with_header("Connection", "close")
        .with_timeout(whole_seconds(bounds.timeout))
        .with_follow_redirects(false)
        .with_max_headers_size(MAX_HEADER_BYTES)
        .with_max_status_line_length(MAX_STATUS_LINE_BYTES);
    let response = request.send_lazy().map_err(|error| classify(url, &error))?;
    // minreq reports status 503 of its own making for a connection that was closed before a whole
    // status line came. Such an answer has this phrase and, if nothing came, no headers.
    if response.headers.is_empty() || response.reason_phrase == NO_STATUS_LINE {
        let detail = "the connection was closed before the answer came".to_owned();
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
        limit_bytes: bounds.max_answer_bytes,
    };
    let declared_bytes = declared_bytes.and_then(|text| text.parse::<usize>().ok());
    if declared_bytes.is_some_and(|size| size > bounds.max_answer_bytes) {
        return Err(too_large());
    }
    let limit = u64::try_from(bounds.max_answer_bytes).unwrap_or(u64::MAX);
    let mut body = Vec::new();
    let read = Read::take(response, limit.saturating_add(1)).read_to_end(&mut body);
    read.map_err(|error| Error::Interrupted {
        address: url.to_owned(),
        detail: error.to_string(),
    })?;
    if body.len() > bounds.max_answer_bytes {
        return Err(too_large());
    }
    if declared_bytes.is_some_and(|size| size != body.len()) {
        let detail = "the body is shorter than its declared size".to_owned();
        return Err(Error::Interrupted { address: url.to_owned(), detail });
    }
    Ok(Reply { not_modified, etag, age_s: age.unwrap_or(0), body })
}

/// Reads a JSON answer.
pub(crate) fn parse<T: serde::de::DeserializeOwned>(url: &str, body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::InvalidResponse {
        address: url.to_owned(),
        detail: error.to_string(),
    })
}

fn classify(url: &str, error: &minreq::Error) -> Error {
    let address = url.to_owned();
    let detail = error.to_string();
    // Only a refused connection proves that nothing was sent: an error of another kind may come
    // from the connection or from the exchange after it.
    let minreq::Error::IoError(cause) = error else {
        return Error::Interrupted { address, detail };
    };
    if cause.kind() == io::ErrorKind::ConnectionRefused {
        return Error::NoConnection { address, detail };
    }
    Error::Interrupted { address, detail }
}

fn whole_seconds(timeout: time::Duration) -> u64 {
    let extra = u64::from(timeout.subsec_nanos() > 0);
    timeout.as_secs().saturating_add(extra).max(1)
}
