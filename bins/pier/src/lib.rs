//! The callers' tool: calls, jobs and load.
//!
//! It speaks the callers' HTTP interface and holds no rules of the scheduler. The load generator
//! checks answers with the code of the stand-in's workers.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod arguments;
pub mod call;
pub mod client;
pub mod errors;
pub mod job;
pub mod load;

pub use errors::{Error, Result};

/// The exit codes of the program.
pub mod exit {
    /// Everything succeeded.
    pub const OK: u8 = 0;
    /// The arguments or a file are wrong, or output could not be written.
    pub const USAGE: u8 = 1;
    /// The request was refused and certainly not run.
    pub const NOT_RUN: u8 = 2;
    /// The request ran and failed, or the job failed or was cancelled.
    pub const FAILED: u8 = 3;
    /// Nobody knows whether the request ran.
    pub const UNKNOWN: u8 = 4;
    /// The load ran and found wrong answers or a broken guarantee.
    pub const CHECK_FAILED: u8 = 5;

    /// The table for the help text.
    pub const HELP: &str = "Exit codes: 0 success; 1 wrong arguments or files; 2 refused and not \
        run; 3 ran and failed; 4 outcome unknown; 5 the load found wrong answers or a broken \
        guarantee.";
}
