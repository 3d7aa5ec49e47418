//! Error type of the tool.

use derive_more::{Display, Error};
use persimmonpier::core::caller;

use crate::exit;

/// The failure of a command.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// A file or standard input could not be read, or a file could not be written.
    #[display("{path}: {detail}")]
    File {
        /// The path of the file; `-` for standard input.
        path: String,
        /// The error of the operating system.
        detail: String,
    },
    /// The content of a file is invalid.
    #[display("{path} is invalid: {detail}")]
    InvalidFile {
        /// The path of the file; `-` for standard input.
        path: String,
        /// The first mistake in the file.
        detail: String,
    },
    /// The host refused the request.
    #[display("{} ({}): {}", refusal.kind, refusal.outcome, refusal.detail)]
    Refused {
        /// The refusal.
        #[error(not(source))]
        refusal: Box<caller::Refusal>,
    },
    /// The host refused the connection, so the request was not sent.
    #[display("cannot connect to {host}; the request was not run: {detail}")]
    NotSent {
        /// The host's address.
        host: String,
        /// The error of the operating system.
        detail: String,
    },
    /// The connection failed, the response could not be parsed, or a job did not end in time.
    #[display("outcome unknown, host {host}: {detail}")]
    UnknownOutcome {
        /// The host's address.
        host: String,
        /// What went wrong.
        detail: String,
    },
    /// A thread could not be started or panicked.
    #[display("cannot run a thread: {detail}")]
    Thread {
        /// The error of the operating system, or that the thread panicked.
        detail: String,
    },
    /// A plot of the report could not be drawn.
    #[display("cannot draw a plot: {detail}")]
    Plot {
        /// The error of the plotting library.
        detail: String,
    },
}

impl Error {
    /// The exit code for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { refusal } => match refusal.outcome {
                caller::Outcome::NotRun => exit::NOT_RUN,
                caller::Outcome::Ran => exit::FAILED,
                caller::Outcome::Unknown => exit::UNKNOWN,
            },
            Self::NotSent { .. } => exit::NOT_RUN,
            Self::UnknownOutcome { .. } => exit::UNKNOWN,
            _ => exit::USAGE,
        }
    }

    /// Converts the error to a refusal for JSON output; none if the error concerns no request.
    pub fn to_refusal(&self) -> Option<caller::Refusal> {
        match self {
            Self::Refused { refusal } => Some((**refusal).clone()),
            Self::NotSent { .. } => {
                let kind = caller::RefusalKind::Overloaded;
                Some(caller::Refusal::not_run(kind, self.to_string()))
            }
            Self::UnknownOutcome { .. } => {
                let kind = caller::RefusalKind::WorkerLost;
                Some(caller::Refusal::unknown(kind, self.to_string()))
            }
            _ => None,
        }
    }
}

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;
