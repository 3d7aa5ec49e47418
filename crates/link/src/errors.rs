//! Error type of the link crate.

use derive_more::{Display, Error};
use pier_core::caller;

/// A failed call to an external system or a host, or a failure to serve calls.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// No connection could be established, so nothing was sent.
    #[display("no connection to {address}: {detail}")]
    NoConnection {
        /// The address that was called.
        address: String,
        /// The cause.
        detail: String,
    },
    /// The connection failed or the call timed out after the request may have been sent.
    #[display("the call to {address} was interrupted: {detail}")]
    Interrupted {
        /// The address that was called.
        address: String,
        /// The cause.
        detail: String,
    },
    /// The response has an unexpected HTTP status.
    #[display("{address} responded with status {status}")]
    Status {
        /// The address that was called.
        address: String,
        /// The HTTP status.
        status: u16,
    },
    /// The response is larger than the limit.
    #[display("the response of {address} is larger than {limit_bytes} bytes")]
    ResponseTooLarge {
        /// The address that was called.
        address: String,
        /// The maximum size.
        limit_bytes: usize,
    },
    /// The response cannot be parsed or is not the expected one.
    #[display("invalid response of {address}: {detail}")]
    InvalidResponse {
        /// The address that was called.
        address: String,
        /// Why it is invalid.
        detail: String,
    },
    /// A request is larger than the limit and was not sent.
    #[display("the request has {size_bytes} bytes; the maximum is {limit_bytes}")]
    RequestTooLarge {
        /// The size of the request.
        size_bytes: usize,
        /// The maximum size.
        limit_bytes: usize,
    },
    /// A server cannot listen on its address.
    #[display("cannot listen on {address}: {detail}")]
    Listen {
        /// The address.
        address: String,
        /// The cause.
        detail: String,
    },
    /// A thread cannot be started.
    #[display("cannot start thread {name}: {detail}")]
    Thread {
        /// The name of the thread.
        name: &'static str,
        /// The cause.
        detail: String,
    },
    /// An RPC method was registered twice.
    #[display("method {name} is already registered")]
    DuplicateMethod {
        /// The name of the method.
        name: &'static str,
    },
    /// The host refused the operator's request.
    #[display("refused: {} ({})", refusal.kind, refusal.detail)]
    Refused {
        /// The refusal.
        #[error(not(source))]
        refusal: Box<caller::Refusal>,
    },
}

impl Error {
    /// Whether the request was certainly not executed. This holds if nothing was sent, if the host
    /// refused the request, and for client error statuses (4xx) and 503, which the log returns in
    /// an outage.
    pub fn was_not_executed(&self) -> bool {
        match self {
            Self::NoConnection { .. } | Self::RequestTooLarge { .. } | Self::Refused { .. } => true,
            Self::Status { status, .. } => *status == 503 || (400..500).contains(status),
            _ => false,
        }
    }
}

/// The result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
