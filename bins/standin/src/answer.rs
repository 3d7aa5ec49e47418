//! Payloads and answers of tasks. The stand-in's workers build answers; callers in tests and load
//! generators verify them.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

const DEFAULT_RUN_MS: u64 = 10;
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// What a payload asks of a worker. A payload that cannot be parsed runs 10 ms.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Payload {
    /// The run time in milliseconds.
    pub run_ms: u64,
    /// The size of the answer in bytes, at least the size of its other parts.
    pub answer_bytes: usize,
    /// Whether the task fails at its end.
    pub fail: bool,
    /// Any text that makes the payload unique.
    pub nonce: String,
}

impl Default for Payload {
    fn default() -> Self {
        Self { run_ms: DEFAULT_RUN_MS, answer_bytes: 0, fail: false, nonce: String::new() }
    }
}

impl Payload {
    /// Parses a payload; one of another form becomes the default.
    pub fn parse(bytes: &[u8]) -> Self {
        serde_json::from_slice(bytes).unwrap_or_default()
    }
}

/// The answer of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Answer {
    task: String,
    /// Checksum of the payload, which reveals an answer to another request.
    echo: String,
    /// Checksum of `task`, `echo` and `pad`, which reveals a changed answer.
    checksum: String,
    pad: String,
}

/// Error when verifying an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum VerifyError {
    /// The answer is truncated or changed.
    #[display("the answer is cut or changed")]
    Damaged,
    /// The answer belongs to another request.
    #[display("the answer belongs to another request")]
    OtherRequest,
}

/// Builds the answer to a payload, padded to the size that the payload asks for.
pub fn build(task: &str, payload_bytes: &[u8]) -> Vec<u8> {
    let size_bytes = Payload::parse(payload_bytes).answer_bytes.min(MAX_ANSWER_BYTES);
    let mut answer = Answer {
        task: task.to_owned(),
        echo: hex(checksum(&[payload_bytes])),
        checksum: hex(0),
        pad: String::new(),
    };
    let fixed_bytes = serialize(&answer).len();
    answer.pad = "x".repeat(size_bytes.saturating_sub(fixed_bytes));
    answer.checksum = hex(answer_checksum(&answer));
    serialize(&answer)
}

/// Checks that an answer is complete and belongs to the payload, and to the task if it is known.
///
/// # Errors
/// The answer is damaged or belongs to another request.
pub fn verify(
    body: &[u8],
    task: Option<&str>,
    payload_bytes: &[u8],
) -> std::result::Result<(), VerifyError> {
    let answer: Answer = serde_json::from_slice(body).map_err(|_| VerifyError::Damaged)?;
    if answer.checksum != hex(answer_checksum(&answer)) {
        return Err(VerifyError::Damaged);
    }
    if answer.echo != hex(checksum(&[payload_bytes])) {
        return Err(VerifyError::OtherRequest);
    }
    if task.is_some_and(|task| task != answer.task) {
        return Err(VerifyError::OtherRequest);
    }
    Ok(())
}

fn serialize(answer: &Answer) -> Vec<u8> {
    serde_json::to_vec(answer).expect("an answer of texts can be written")
}

fn answer_checksum(answer: &Answer) -> u64 {
    checksum(&[answer.task.as_bytes(), answer.echo.as_bytes(), answer.pad.as_bytes()])
}

/// 64-bit FNV-1a. It detects accidental damage, and answers are not forged here.
fn checksum(parts: &[&[u8]]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = OFFSET_BASIS;
    for part in parts {
        for byte in *part {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }
    hash
}

fn hex(hash: u64) -> String {
    format!("{hash:016x}")
}
