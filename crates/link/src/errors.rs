//! Error type of the link crate.

use derive_more::{Display, Error};
use pier_core::caller;

/// A call to an outside system that did not succeed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// No connection could be made, so that nothing was sent.
    #[display("no connection to {address}: {detail}")]
    NoConnection {
        /// The address that was called.
        address: String,
        /// What the system reported.
        detail: String,
    },
    /// The connection broke or the time was over after the request may have been sent.
    #[display("the call to {address} broke off: {detail}")]
    Interrupted {
        /// The address that was called.
        address: String,
        /// What the system reported.
        detail: String,
    },
    /// The system answered with an unexpected HTTP status.
    #[display("{address} answered with status {status}")]
    Status {
        /// The address that was called.
        address: String,
        /// The HTTP status.
        status: u16,
    },
    /// The answer is larger than the limit.
    #[display("the answer of {address} is larger than {limit_bytes} bytes")]
    ResponseTooLarge {
        /// The address that was called.
        address: String,
        /// The largest size that is allowed.
        limit_bytes: usize,
    },
    /// The answer cannot be read.
    #[display("the answer of {address} cannot be read: {detail}")]
    InvalidResponse {
        /// The address that was called.
        address: String,
        /// What is wrong with it.
        detail: String,
    },
    /// A request is larger than the limit and was not sent.
    #[display("the request has {size_bytes} bytes; at most {limit_bytes} are allowed")]
    RequestTooLarge {
        /// The size of the request.
        size_bytes: usize,
        /// The largest size that is allowed.
        limit_bytes: usize,
    },
    /// A server cannot listen on its address.
    #[display("cannot listen on {address}: {detail}")]
    Listen {
        /// The address.
        address: String,
        /// What the system reported.
        detail: String,
    },
    /// A thread cannot be started.
    #[display("cannot start thread {name}: {detail}")]
    Thread {
        /// The name of the thread.
        name: &'static str,
        /// What the system reported.
        detail: String,
    },
    /// A method was registered twice.
    #[display("method {name} is registered twice")]
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
    /// Whether the request was certainly not carried out. A refused connection and status 503,
    /// with which the log answers in an outage, are certain; so are the statuses that blame the
    /// request.
    pub fn was_not_executed(&self) -> bool {
        match self {
            Self::NoConnection { .. } | Self::RequestTooLarge { .. } | Self::Refused { .. } => true,
            Self::Status { status, .. } => *status == 503 || (400..500).contains(status),
            _ => false,
        }
    }
}

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
