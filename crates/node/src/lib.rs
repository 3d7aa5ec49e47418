//! The event loop of a host and the connections between hosts.
//!
//! The crate decides nothing: it feeds events to [`pier_cell::host::Host`], hands the effects on,
//! and carries messages between hosts. Calls of the log, of workers and of callers are behind the
//! trait [`engine::EffectExecutor`].

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod clock;
pub mod engine;
pub mod metrics;
pub mod peers;
