//! The HTTP interface of an entry host for callers.
//!
//! The crate reads requests over bounded connections, checks their form, hands them to the control
//! thread as events and writes the answers. It decides nothing about keys, queues or placement,
//! and it starts no work.

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
