//! One request of a caller.

use std::io::{Read, Write};
use std::net;
use std::time;

use persimmonpier::core::caller;

use super::declaration::KEY;

/// The time after which a caller gives up.
pub const CALL_LIMIT: time::Duration = time::Duration::from_secs(30);

/// A request of the queue.
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
pub enum End {
    /// With a whole answer of its own.
    Answered,
    /// With an answer that is damaged or belongs to another request.
    Wrong(String),
    /// With a refusal: its HTTP status and body.
    Refused(u16, String),
    /// The connection was not made.
    NotConnected,
    /// The connection ended without an answer.
    Broken(String),
}

impl End {
    /// The refusal; none if the request ended in another way.
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

pub fn request(address: net::SocketAddr, call: &Call<'_>) -> End {
    let Ok(mut stream) = net::TcpStream::connect(address) else {
        return End::NotConnected;
    };
    let payload = format!(r#"{{"run_ms":{},"nonce":"{}"}}"#, call.run_ms, call.nonce);
    let mut repeats = String::new();
    if let Some(key) = call.idempotency_key {
        repeats = format!("idempotency-key: {key}\r\n");
    }
    let text = format!(
        "POST /v1/queues/quote/tasks HTTP/1.1\r\nhost: p\r\nconnection: close\r\n\
         authorization: Bearer {}\r\n{repeats}content-length: {}\r\n\r\n{payload}",
        call.key,
        payload.len()
    );
    match exchange(&mut stream, &text) {
        Ok(answer) => to_end(&answer, &payload),
        Err(error) => End::Broken(error.to_string()),
    }
}

fn exchange(stream: &mut net::TcpStream, text: &str) -> std::io::Result<String> {
    stream.set_read_timeout(Some(CALL_LIMIT))?;
    stream.write_all(text.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

fn to_end(answer: &str, payload: &str) -> End {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return End::Broken("the connection ended before the head of the answer".to_owned());
    };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    if status != 200 {
        return End::Refused(status, body.to_owned());
    }
    let task = head.lines().find_map(|line| line.strip_prefix("pier-task: "));
    match standin::answer::verify(body.as_bytes(), task, payload.as_bytes()) {
        Ok(()) => End::Answered,
        Err(fault) => End::Wrong(format!("{fault}: {answer}")),
    }
}
