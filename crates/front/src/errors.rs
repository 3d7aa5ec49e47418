//! Error type of the callers' HTTP interface.

use std::net;

use derive_more::{Display, Error};

/// A failure of the interface itself. Failed requests are answered with a refusal instead.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The server cannot listen on the address.
    #[display("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The metrics cannot be encoded as text.
    #[display("cannot encode the metrics: {source}")]
    Metrics {
        /// The error of the encoder.
        source: std::fmt::Error,
    },
    /// The resource usage of this process cannot be read.
    #[display("cannot read {path}")]
    Process {
        /// The file that cannot be read or parsed.
        path: &'static str,
    },
}

/// The result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
