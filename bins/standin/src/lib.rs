//! Test stand-in for the platform: log, host list and workers in one process, with fault injection.
//!
//! It follows the platform's interfaces closely enough to test the system against them, enforces
//! the same rules as real workers, and counts what the system's guarantees can be checked against
//! from outside. It serves tests and demos only and simulates no hardware.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod answer;
pub mod audit;
pub mod errors;
pub mod faults;
pub mod settings;

mod control;
mod hosts;
mod http;
mod log;
mod platform;
mod relay;
mod tasks;
mod timer;
mod worker;

pub use errors::{Error, Result};
pub use platform::Standin;
pub use settings::Settings;
