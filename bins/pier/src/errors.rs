//! Error type of the callers' tool.

use derive_more::{Display, Error};
use persimmonpier::core::caller;

use crate::exit;

/// A command that did not succeed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// A file or standard input cannot be read, or a file cannot be written.
    #[display("{path}: {detail}")]
    File {
        /// The path.
        path: String,
        /// What the system reported.
        detail: String,
    },
    /// A file has a wrong form.
    #[display("{path} cannot be used: {detail}")]
    InvalidFile {
        /// The path.
        path: String,
        /// What is wrong.
        detail: String,
    },
    /// The host refused the request.
    #[display("{} ({}): {}", refusal.kind, refusal.outcome, refusal.detail)]
    Refused {
        /// The refusal.
        #[error(not(source))]
        refusal: Box<caller::Refusal>,
    },
    /// No connection to the host could be made.
    #[display("no connection to {host}, the request was not run: {detail}")]
    NotSent {
        /// The host's address.
        host: String,
        /// What the system reported.
        detail: String,
    },
    /// The connection broke or the answer cannot be understood.
    #[display("the outcome is unknown, {host}: {detail}")]
    UnknownOutcome {
        /// The host's address.
        host: String,
        /// What is known.
        detail: String,
    },
    /// A thread cannot be started.
    #[display("cannot start a thread: {detail}")]
    Thread {
        /// What the system reported.
        detail: String,
    },
    /// A plot cannot be drawn.
    #[display("a plot cannot be drawn: {detail}")]
    Plot {
        /// What is wrong.
        detail: String,
    },
}

impl Error {
    /// The exit code of the program.
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

    /// The error as a refusal, for output in JSON.
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
