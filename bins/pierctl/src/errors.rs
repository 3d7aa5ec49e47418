//! Error type and exit codes of the tool.

use std::path;

use derive_more::{Display, Error};
use persimmonpier::core::caller::{self, Outcome};
use persimmonpier::{decl, link};

/// A failure of a command.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// A file cannot be read.
    #[display("{}: cannot be read: {source}", file.display())]
    Unreadable {
        /// The file.
        file: path::PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A file is larger than the limit.
    #[display("{}: more than {limit_bytes} bytes", file.display())]
    TooLarge {
        /// The file.
        file: path::PathBuf,
        /// The largest allowed size in bytes.
        limit_bytes: usize,
    },
    /// The token file does not hold exactly one token.
    #[display("{}: one line with the operator token is needed", file.display())]
    InvalidTokenFile {
        /// The file.
        file: path::PathBuf,
    },
    /// The declaration has errors.
    #[display("{}: the declaration has {} errors", file.display(), errors.len())]
    BadDeclaration {
        /// The file.
        file: path::PathBuf,
        /// The errors.
        #[error(not(source))]
        errors: Vec<decl::Error>,
    },
    /// This version of the tool cannot parse the declaration in force on the host.
    #[display("the declaration in force, version {version}, cannot be parsed: {first_error}")]
    BadDeclarationInForce {
        /// The version of the declaration.
        version: u64,
        /// The first error of the parser.
        #[error(not(source))]
        first_error: String,
    },
    /// The host refused the request or did not answer.
    #[display("{source}")]
    Call {
        /// The error of the call.
        source: link::Error,
        /// Whether the request may change the cell.
        may_change_cell: bool,
    },
    /// The asynchronous runtime for calls cannot be started.
    #[display("cannot start the asynchronous runtime: {_0}")]
    Runtime(#[error(source)] std::io::Error),
}

/// The outcome of a command, as the exit code of the process reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done, or no difference.
    Done,
    /// The declaration has errors.
    BadDeclaration,
    /// Invalid arguments, or a file that cannot be read.
    Usage,
    /// Another operator has changed the declaration since the base version.
    Conflict,
    /// The host refused the request.
    Refused,
    /// There was no answer, and certainly nothing has changed.
    NoAnswer,
    /// There was no answer, and the outcome is unknown.
    Unknown,
    /// The declarations differ.
    Differs,
}

impl ExitStatus {
    pub fn to_code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::BadDeclaration => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Refused => 4,
            Self::NoAnswer => 5,
            Self::Unknown => 6,
            Self::Differs => 7,
        }
    }
}

impl Error {
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Unreadable { .. } | Self::TooLarge { .. } | Self::InvalidTokenFile { .. } => {
                ExitStatus::Usage
            }
            Self::BadDeclaration { .. } | Self::BadDeclarationInForce { .. } => {
                ExitStatus::BadDeclaration
            }
            Self::Runtime(_) => ExitStatus::NoAnswer,
            Self::Call { source: link::Error::Refused { refusal }, may_change_cell } => {
                refusal_status(refusal, *may_change_cell)
            }
            Self::Call { source, may_change_cell: true } if !source.was_not_executed() => {
                ExitStatus::Unknown
            }
            Self::Call { .. } => ExitStatus::NoAnswer,
        }
    }
}

fn refusal_status(refusal: &caller::Refusal, may_change_cell: bool) -> ExitStatus {
    match refusal.outcome {
        Outcome::NotRun => ExitStatus::Refused,
        Outcome::Ran | Outcome::Unknown if may_change_cell => ExitStatus::Unknown,
        Outcome::Ran | Outcome::Unknown => ExitStatus::NoAnswer,
    }
}

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
