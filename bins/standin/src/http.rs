//! HTTP requests and responses on top of `tiny_http`.

use std::io;
use std::io::{Read, Write};

use serde::Serialize;

const MAX_BODY_BYTES: u64 = 64 << 20;
const HOST_HEADER: &str = "Pier-Host";
const IF_NONE_MATCH_HEADER: &str = "If-None-Match";

pub(crate) const OK: u16 = 200;
pub(crate) const NOT_MODIFIED: u16 = 304;
pub(crate) const BAD_REQUEST: u16 = 400;
pub(crate) const NOT_FOUND: u16 = 404;
pub(crate) const CONFLICT: u16 = 409;
pub(crate) const UNAVAILABLE: u16 = 503;

/// A request that was read completely.
pub(crate) struct Call {
    pub method: tiny_http::Method,
    /// The percent-decoded segments of the path.
    pub path: Vec<String>,
    /// The query, still encoded.
    pub query: String,
    /// The entry host that the client names in the `Pier-Host` header; empty if it names none.
    pub host: String,
    /// The entity tag in the `If-None-Match` header; empty if there is none.
    pub if_none_match: String,
    pub body: Vec<u8>,
    pub responder: Responder,
}

impl Call {
    /// Reads a request. Returns `None` if its body cannot be read.
    pub fn read(mut request: tiny_http::Request) -> Option<Self> {
        let mut body = Vec::new();
        request.as_reader().take(MAX_BODY_BYTES).read_to_end(&mut body).ok()?;
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let mut host = String::new();
        let mut if_none_match = String::new();
        for header in request.headers() {
            if header.field.equiv(HOST_HEADER) {
                host = header.value.as_str().to_owned();
            }
            if header.field.equiv(IF_NONE_MATCH_HEADER) {
                if_none_match = header.value.as_str().to_owned();
            }
        }
        Some(Self {
            method: request.method().clone(),
            path: path.split('/').filter(|part| !part.is_empty()).map(percent_decode).collect(),
            query: query.to_owned(),
            host,
            if_none_match,
            body,
            responder: Responder { writer: request.into_writer() },
        })
    }

    /// The decoded value of a query parameter.
    pub fn query_parameter(&self, name: &str) -> Option<String> {
        for pair in self.query.split('&') {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            if key == name {
                return Some(percent_decode(value));
            }
        }
        None
    }
}

/// Sends the response to one request.
pub(crate) struct Responder {
    writer: Box<dyn Write + Send>,
}

impl Responder {
    /// Sends a JSON response.
    pub fn send(self, status: u16, answer: &impl Serialize) {
        let body = serde_json::to_vec(answer).expect("answers can be written as JSON");
        self.send_raw(&response(status, &body));
    }

    /// Sends bytes unchanged. A single write avoids a delay between the segments of a response.
    pub fn send_raw(mut self, bytes: &[u8]) {
        let result: io::Result<()> =
            self.writer.write_all(bytes).and_then(|()| self.writer.flush());
        if let Err(error) = result {
            tracing::debug!(%error, "cannot send a response");
        }
    }

    /// Sends no response. The connection closes if the client has asked for that.
    pub fn drop_request(self) {
        drop(self);
    }
}

/// Builds the bytes of a JSON response.
pub(crate) fn response(status: u16, body: &[u8]) -> Vec<u8> {
    response_with_length(status, body, body.len())
}

/// Builds a JSON response with the given `Content-Length`, which may be wrong.
pub(crate) fn response_with_length(status: u16, body: &[u8], length: usize) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Builds the response to a conditional request. Without a body it is 304: the client's copy is
/// current.
pub(crate) fn tagged_response(tag: &str, age_s: u64, body: Option<&[u8]>) -> Vec<u8> {
    let (status, body) = body.map_or((NOT_MODIFIED, &[][..]), |body| (OK, body));
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nETag: {tag}\r\n\
         Age: {age_s}\r\nContent-Length: {length}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Builds a response that breaks off in the middle of its body. The connection cannot be closed
/// from here, so a malformed chunk makes the client notice at once.
pub(crate) fn cut_response(body: &[u8]) -> Vec<u8> {
    let half = &body[..body.len() / 2];
    let head = "HTTP/1.1 200 Status\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut bytes = format!("{head}{:x}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(half);
    // The rest of the chunk is filler, and the line break that must end the chunk is missing.
    bytes.extend_from_slice(&vec![b'?'; body.len() - half.len()]);
    bytes.extend_from_slice(b"cut");
    bytes
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let digits = tail.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let value = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (first, value) {
            (b'%', Some(value)) => {
                bytes.push(value);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
