//! Error types of the declaration crate.

use std::fmt;

use derive_more::{Display, Error as DeriveError};
use pier_core::task;

use crate::locate;

/// A place in the text of a declaration, counted from one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("line {line}, column {column}")]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

impl From<json5::Position> for Position {
    fn from(position: json5::Position) -> Self {
        Self { line: position.line + 1, column: position.column + 1 }
    }
}

/// What is wrong with a value that has the right form.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Problem {
    /// A name is empty, too long or has a character that is not allowed.
    #[display("a name has 1 to {max} characters from a-z, A-Z, 0-9, '-', '_' and '.'")]
    InvalidName {
        /// The largest number of characters.
        max: usize,
    },
    /// A name stands twice in one list.
    #[display("the name stands in this list already")]
    DuplicateName,
    /// A key stands twice.
    #[display("the key belongs to a team already")]
    DuplicateKey,
    /// A team is not declared.
    #[display("the team is not declared")]
    UnknownTeam,
    /// A queue is not declared.
    #[display("the queue is not declared")]
    UnknownQueue,
    /// The queue takes another class of work.
    #[display("the queue takes {class} work, not jobs")]
    WrongClass {
        /// The class that the queue takes.
        class: task::Class,
    },
    /// The queue is not for the team.
    #[display("the queue is not for this team")]
    QueueNotForTeam,
    /// A number is outside its range.
    #[display("the value is {found}; {least} to {most} is allowed")]
    OutOfRange {
        /// The value that was found.
        found: u64,
        /// The smallest value that is allowed.
        least: u64,
        /// The largest value that is allowed.
        most: u64,
    },
    /// A task needs nothing of any resource.
    #[display("the resources are all zero")]
    NoResources,
    /// One task needs more than the limit of its team.
    #[display("one task needs more than the limit of its team")]
    OverLimit,
    /// No policy has the name.
    #[display("no policy has this name")]
    UnknownPolicy,
}

/// A mistake in a declaration.
#[derive(Debug, Clone, PartialEq, Eq, Display, DeriveError)]
pub enum Error {
    /// The text is larger than the limit.
    #[display("the declaration has {size_bytes} bytes; at most {limit_bytes} are allowed")]
    TooLarge {
        /// The size of the text.
        size_bytes: usize,
        /// The largest size that is allowed.
        limit_bytes: usize,
    },
    /// The text is not JSON with comments, or a key or type is wrong.
    #[display("{}{}", At(*position), message)]
    Syntax {
        /// Where, if the reader of the text says so.
        position: Option<Position>,
        /// What the reader of the text says.
        message: SyntaxMessage,
    },
    /// A value has the right form but is wrong.
    #[display("{}{path}: {problem}", At(*position))]
    Invalid {
        /// Where.
        position: Option<Position>,
        /// The value's path in the declaration.
        path: locate::Path,
        /// What is wrong.
        problem: Problem,
    },
}

/// What the reader of the text says about a mistake.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct SyntaxMessage(String);

impl From<json5::Error> for Error {
    fn from(error: json5::Error) -> Self {
        let whole = error.to_string();
        let suffix = error.position().map(|position| format!(" at {position}"));
        let message = suffix.and_then(|suffix| whole.strip_suffix(&suffix).map(str::to_owned));
        Self::Syntax {
            position: error.position().map(Position::from),
            message: SyntaxMessage(message.unwrap_or(whole)),
        }
    }
}

struct At(Option<Position>);

impl fmt::Display for At {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(position) => write!(f, "{position}: "),
            None => Ok(()),
        }
    }
}

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
