//! The command line tool for operators. It checks, compares and applies declarations and shows the
//! state of hosts.
//!
//! It reads files and calls one host; `explain` may call a second one. It keeps no state and makes
//! no decisions for the cell.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod arguments;
pub mod commands;
pub mod errors;
pub mod output;

mod tables;

pub use errors::{Error, Result};
