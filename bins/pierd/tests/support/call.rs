//! Sends single requests as a caller.

use std::io::{Read, Write};
use std::net;
use std::time;

use persimmonpier::core::caller;

use super::declaration::KEY;

/// The timeout of a call.
pub const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// A request to the urgent queue.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    pub key: &'a str,
    pub run_ms: u64,
    pub nonce: &'a str,
    pub idempotency_key: Option<&'a str>,
}

impl Default for Call<'_> {
    fn default() -> Self {
        Self { key: KEY, run_ms: 10, nonce: "", idempotency_key: None }
    }
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete answer that belongs to the request.
    Answered,
    /// An answer that is corrupt or belongs to another request.
    InvalidAnswer(String),
    /// A refusal with this HTTP status and body.
    Refused(u16, String),
    /// The connection was not established.
    NotConnected,
    /// The connection closed without a complete answer.
    ConnectionLost(String),
}

impl CallOutcome {
    /// The refusal. None if the request was not refused.
    pub fn refusal(&self) -> Option<caller::Refusal> {
        let Self::Refused(_, body) = self else {
            return None;
        };
        Some(serde_json::from_str(body).expect("a refusal"))
    }

    pub fn is_not_run(&self) -> bool {
        self.refusal().is_some_and(|refusal| refusal.outcome == caller::Outcome::NotRun)
    }
}

pub fn request(address: net::SocketAddr, call: &Call<'_>) -> CallOutcome {
    let Ok(mut stream) = net::TcpStream::connect(address) else {
        return CallOutcome::NotConnected;
    };
    let payload = format!(r#"{{"run_ms":{},"nonce":"{}"}}"#, call.run_ms, call.nonce);
    let mut key_header = String::new();
    if let Some(key) = call.idempotency_key {
        key_header = format!("idempotency-key: {key}\r\n");
    }
    let text = format!(
        "POST /v1/queues/quote/tasks HTTP/1.1\r\nhost: p\r\nconnection: close\r\n\
         authorization: Bearer {}\r\n{key_header}content-length: {}\r\n\r\n{payload}",
        call.key,
        payload.len()
    );
    match exchange(&mut stream, &text) {
        Ok(answer) => to_outcome(&answer, &payload),
        Err(error) => CallOutcome::ConnectionLost(error.to_string()),
    }
}

fn exchange(stream: &mut net::TcpStream, text: &str) -> std::io::Result<String> {
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    stream.write_all(text.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

fn to_outcome(answer: &str, payload: &str) -> CallOutcome {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return CallOutcome::ConnectionLost(
            "the connection closed before the end of the answer's header".to_owned(),
        );
    };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    if status != 200 {
        return CallOutcome::Refused(status, body.to_owned());
    }
    let task = head.lines().find_map(|line| line.strip_prefix("pier-task: "));
    match standin::answer::verify(body.as_bytes(), task, payload.as_bytes()) {
        Ok(()) => CallOutcome::Answered,
        Err(error) => CallOutcome::InvalidAnswer(format!("{error}: {answer}")),
    }
}
