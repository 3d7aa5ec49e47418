//! Command-line tool for callers: sends requests, manages jobs and generates load.
//!
//! It is a client of the HTTP interface for callers and implements no scheduling rules. The load
//! generator verifies answers with the code that the stand-in's workers build them with.

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
    /// The command succeeded.
    pub const OK: u8 = 0;
    /// The arguments or a file are invalid, or the output could not be written.
    pub const USAGE: u8 = 1;
    /// The request was refused and was certainly not run.
    pub const NOT_RUN: u8 = 2;
    /// The request ran and failed, or the job failed or was cancelled.
    pub const FAILED: u8 = 3;
    /// It is unknown whether the request ran.
    pub const UNKNOWN: u8 = 4;
    /// The load ran and found wrong answers, lost jobs or a violated guarantee.
    pub const CHECK_FAILED: u8 = 5;

    /// The exit codes as shown in the help text.
    pub const HELP: &str = "Exit codes: 0 success; 1 invalid arguments or files; 2 refused and not \
        run; 3 ran and failed; 4 outcome unknown; 5 the load found wrong answers, lost jobs or a \
        violated guarantee.";
}
