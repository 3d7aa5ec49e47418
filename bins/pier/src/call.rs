//! The `call` command: one request and its answer.

use std::time;

use base64::Engine;
use base64::engine::general_purpose;
use persimmonpier::link::worker;
use serde::Serialize;

use crate::{Result, client};

/// The minimum time between the deadline of a call and its timeout, in which the response can
/// still arrive.
const RESPONSE_GRACE: time::Duration = time::Duration::from_secs(5);

/// A request to a queue.
#[derive(Debug, Clone)]
pub struct Call {
    /// The name of the queue.
    pub queue: String,
    /// The request body.
    pub body: Vec<u8>,
    /// The time to the deadline in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// Whether the request may run again after an attempt with an unknown outcome.
    pub repeatable: bool,
}

/// The output of `pier call --json`.
#[derive(Debug, Serialize)]
pub struct CallOutput<'a> {
    /// The task that ran.
    pub task: Option<&'a str>,
    /// The size of the answer in bytes.
    pub body_bytes: usize,
    /// The answer in base64.
    pub body_base64: String,
}

/// Sends a call and waits for the answer.
///
/// # Errors
/// Returns the errors of [`client::send`].
pub fn send(target: &client::Target, call: &Call) -> Result<client::Response> {
    let mut target = target.clone();
    let mut headers =
        vec![("Pier-Repeatable", if call.repeatable { "yes" } else { "no" }.to_owned())];
    if let Some(deadline_ms) = call.deadline_ms {
        headers.push(("Pier-Deadline-Ms", deadline_ms.to_string()));
        let deadline = time::Duration::from_millis(deadline_ms);
        target.timeout = target.timeout.max(deadline + RESPONSE_GRACE);
    }
    if let Some(key) = &call.idempotency_key {
        headers.push(("Idempotency-Key", key.clone()));
    }
    let path = format!("/v1/queues/{}/tasks", worker::encode_segment(&call.queue));
    client::send(&target, minreq::Method::Post, &path, &headers, call.body.clone())
}

/// Converts a response to the output of `pier call --json`.
pub fn to_output(response: &client::Response) -> CallOutput<'_> {
    CallOutput {
        task: response.task(),
        body_bytes: response.body.len(),
        body_base64: general_purpose::STANDARD.encode(&response.body),
    }
}
