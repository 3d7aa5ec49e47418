//! Error type of the stand-in.

use derive_more::{Display, Error};

/// A failure to start the stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The settings cannot be parsed.
    #[display("cannot parse the settings: {detail}")]
    InvalidSettings {
        /// The parse error.
        detail: String,
    },
    /// The stand-in cannot listen on an address.
    #[display("cannot listen on {address}: {detail}")]
    Listen {
        /// The listen address.
        address: String,
        /// The operating system's error.
        detail: String,
    },
    /// A thread cannot be started.
    #[display("cannot start a thread: {detail}")]
    Thread {
        /// The operating system's error.
        detail: String,
    },
}

/// Result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
