//! Clients of the external systems (log, host list, workers), messaging between hosts, and the RPC
//! interface for operators.
//!
//! The crate executes the effects of the control state and converts their results to events. It
//! makes no decisions about the cell: it reports what is certain about each call and leaves the
//! conclusions to the reducer.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod errors;
pub mod executor;
pub mod host_list;
pub mod log;
pub mod operator;
pub mod options;
pub mod peer;
pub mod server;
pub mod traffic;
pub mod worker;

mod http_call;
mod queue;

pub use errors::{Error, Result};
pub use executor::Executor;
pub use options::Options;
pub use traffic::Traffic;
