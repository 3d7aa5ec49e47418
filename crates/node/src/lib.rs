//! The event loop of a host and the connections between hosts.
//!
//! The crate makes no scheduling decisions: it passes events to [`pier_cell::host::Host`], forwards
//! the resulting effects and transports messages between hosts. Calls to the log and to workers and
//! responses to callers are made by implementations of [`engine::EffectExecutor`].

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod call_queue;
pub mod clock;
pub mod engine;
pub mod metrics;
pub mod peers;
