//! Error type of the operators' tool.

use std::path;

use derive_more::{Display, Error};
use persimmonpier::core::caller::{self, Outcome};
use persimmonpier::{decl, link};

/// Why a command did not succeed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// A file cannot be read.
    #[display("{}: cannot be read: {source}", file.display())]
    Unreadable {
        /// The file.
        file: path::PathBuf,
        /// What the operating system reported.
        source: std::io::Error,
    },
    /// A file is larger than the limit.
    #[display("{}: more than {limit_bytes} bytes", file.display())]
    TooLarge {
        /// The file.
        file: path::PathBuf,
        /// The largest size.
        limit_bytes: usize,
    },
    /// The token file has no token.
    #[display("{}: one line with the operator token is needed", file.display())]
    NoToken {
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
    /// The declaration in force on the host cannot be read by this version of the tool.
    #[display("the declaration in force, version {version}, cannot be read: {first}")]
    BadDeclarationInForce {
        /// The version.
        version: u64,
        /// The first error.
        #[error(not(source))]
        first: String,
    },
    /// The host has refused the request or did not answer.
    #[display("{source}")]
    Call {
        /// What happened.
        source: link::Error,
        /// Whether the request could change something.
        changes: bool,
    },
    /// The runtime for calls cannot be started.
    #[display("cannot start: {_0}")]
    Start(#[error(source)] std::io::Error),
}

/// What the exit code of the process says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitKind {
    /// Done, or no difference.
    Done,
    /// The declaration has errors.
    BadDeclaration,
    /// Wrong arguments, or a file that cannot be read.
    Usage,
    /// Another operator has changed the declaration in the meantime.
    Conflict,
    /// The host has refused the request.
    Refused,
    /// There was no answer, and certainly nothing has changed.
    NoAnswer,
    /// There was no answer, and the outcome is unknown.
    Unknown,
    /// There are differences.
    Differs,
}

impl ExitKind {
    /// The exit code.
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
    /// What the exit code says.
    pub fn exit_kind(&self) -> ExitKind {
        match self {
            Self::Unreadable { .. } | Self::TooLarge { .. } | Self::NoToken { .. } => {
                ExitKind::Usage
            }
            Self::BadDeclaration { .. } | Self::BadDeclarationInForce { .. } => {
                ExitKind::BadDeclaration
            }
            Self::Start(_) => ExitKind::NoAnswer,
            Self::Call { source: link::Error::Refused { refusal }, changes } => {
                of_refusal(refusal, *changes)
            }
            Self::Call { source, changes: true } if !source.was_not_executed() => ExitKind::Unknown,
            Self::Call { .. } => ExitKind::NoAnswer,
        }
    }
}

fn of_refusal(refusal: &caller::Refusal, changes: bool) -> ExitKind {
    match refusal.outcome {
        Outcome::NotRun => ExitKind::Refused,
        Outcome::Ran | Outcome::Unknown if changes => ExitKind::Unknown,
        Outcome::Ran | Outcome::Unknown => ExitKind::NoAnswer,
    }
}

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
