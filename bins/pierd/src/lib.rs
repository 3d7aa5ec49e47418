//! The daemon of an entry host: its settings, its control thread and the setup of its components.
//!
//! `pier-state` makes the decisions, `pier-link` calls the external systems and peers, and
//! `pier-front` serves callers. This crate only connects them.

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
