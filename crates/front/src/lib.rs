//! The HTTP interface for callers, served by entry hosts.
//!
//! The crate reads requests under limits on connections and bodies, validates their syntax, passes
//! them to the control thread as events and writes the responses. It makes no decisions about API
//! keys, queues or placement, and starts no work.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod call;
pub mod connection;
pub mod errors;
pub mod limits;
pub mod metrics;
pub mod options;
pub mod pending;
pub mod process;
pub mod response;
pub mod server;
pub mod status;
pub mod table;

pub use errors::{Error, Result};
pub use metrics::Metrics;
pub use options::Options;
pub use server::CallerServer;
