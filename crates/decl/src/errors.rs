//! Error types of the declaration crate.

use std::fmt;

use derive_more::{Display, Error as DeriveError};
use pier_core::task;

use crate::locate;

/// A position in the text of a declaration. Lines and columns start at one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("line {line}, column {column}")]
pub struct Position {
    pub line: usize,
    /// The column in characters.
    pub column: usize,
}

impl From<json5::Position> for Position {
    fn from(position: json5::Position) -> Self {
        Self { line: position.line + 1, column: position.column + 1 }
    }
}

/// Why a value of the right type is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Problem {
    /// A name is empty, too long or contains a character that is not allowed.
    #[display("a name must have 1 to {max} characters from a-z, A-Z, 0-9, '-', '_' and '.'")]
    InvalidName {
        /// The maximum number of characters.
        max: usize,
    },
    /// A list contains the same name twice.
    #[display("the name is already used in this list")]
    DuplicateName,
    /// A key is declared twice.
    #[display("the key already belongs to a team")]
    DuplicateKey,
    /// The team is not declared.
    #[display("the team is not declared")]
    UnknownTeam,
    /// The queue is not declared.
    #[display("the queue is not declared")]
    UnknownQueue,
    /// The queue does not accept jobs.
    #[display("the queue accepts {class} work, not jobs")]
    WrongClass {
        /// The class that the queue accepts.
        class: task::Class,
    },
    /// The team may not use the queue.
    #[display("the team may not use this queue")]
    QueueNotForTeam,
    /// A number is outside its range.
    #[display("the value is {found}; it must be from {min} to {max}")]
    OutOfRange {
        /// The declared value.
        found: u64,
        /// The smallest allowed value.
        min: u64,
        /// The largest allowed value.
        max: u64,
    },
    /// All resources of a task are zero.
    #[display("the resources are all zero")]
    NoResources,
    /// One task needs more than the resource limit of its team.
    #[display("one task needs more than the limit of its team")]
    OverLimit,
    /// No policy is registered under the name.
    #[display("no policy has this name")]
    UnknownPolicy,
}

/// An error in a declaration.
#[derive(Debug, Clone, PartialEq, Eq, Display, DeriveError)]
pub enum Error {
    /// The text exceeds the size limit.
    #[display("the declaration has {size_bytes} bytes; at most {limit_bytes} are allowed")]
    TooLarge { size_bytes: usize, limit_bytes: usize },
    /// The text is not valid JSON5, or a key is unknown or a type is wrong.
    #[display("{}{}", PositionPrefix(*position), message)]
    Syntax {
        /// The position, if the parser reports one.
        position: Option<Position>,
        /// The message of the parser.
        message: SyntaxMessage,
    },
    /// A value has the right type but is invalid.
    #[display("{}{path}: {problem}", PositionPrefix(*position))]
    Invalid {
        /// The position, if the value was found in the text.
        position: Option<Position>,
        /// The path of the value in the declaration.
        path: locate::Path,
        /// Why the value is invalid.
        problem: Problem,
    },
}

/// The message of the JSON5 parser, without the position.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct SyntaxMessage(String);

impl From<json5::Error> for Error {
    fn from(error: json5::Error) -> Self {
        let text = error.to_string();
        let suffix = error.position().map(|position| format!(" at {position}"));
        let message = suffix.and_then(|suffix| text.strip_suffix(&suffix).map(str::to_owned));
        Self::Syntax {
            position: error.position().map(Position::from),
            message: SyntaxMessage(message.unwrap_or(text)),
        }
    }
}

struct PositionPrefix(Option<Position>);

impl fmt::Display for PositionPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(position) => write!(f, "{position}: "),
            None => Ok(()),
        }
    }
}

pub type Result<T> = std::result::Result<T, Error>;
