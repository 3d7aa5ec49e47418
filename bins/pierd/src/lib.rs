//! The daemon of an entry host: its settings, its control thread and the wiring of its parts.
//!
//! The decisions are in `pier-state`, the outside systems in `pier-link` and the callers'
//! interface in `pier-front`. This crate only connects them.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod control;
pub mod daemon;
pub mod errors;
pub mod operators;
pub mod settings;

pub use daemon::{Daemon, ExitReason};
pub use errors::{Error, Result};
pub use settings::Settings;
