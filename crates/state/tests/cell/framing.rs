//! The bytes that a connection carries in addition to the bodies that the meter counts.
//!
//! The figures are those of whole exchanges, request and response together, without the headers of
//! TCP and IP. `crates/link/tests/wire_bytes.rs` measures each on a real connection and fails when
//! it differs from the figure here by more than a few bytes.

/// A message to a peer in a batch of its own: the frame, the JSON-RPC call, the envelope (a host id
/// of two letters, a cell token of 32) and the receipt.
pub const PEER_MESSAGE_BYTES: usize = 211;

/// A call to a worker with a body: the request line and the headers of the request and the
/// response.
pub const WORKER_CALL_BYTES: usize = 204;

/// A read of the log.
pub const LOG_READ_BYTES: usize = 188;

/// An append to the log and the position that the log answers.
pub const LOG_APPEND_BYTES: usize = 205;

/// A read of a host list that has not changed.
pub const HOST_LIST_BYTES: usize = 193;
