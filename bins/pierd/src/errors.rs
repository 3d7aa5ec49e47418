//! Error type of the daemon.

use std::path;

use derive_more::{Display, Error, From};
use persimmonpier::{front, link};

/// A failure to start the daemon.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The settings file is wrong.
    #[display("{_0}")]
    Settings(#[error(source)] InvalidSettings),
    /// The callers' interface cannot start.
    #[display("the callers' interface: {_0}")]
    Front(#[error(source)] front::Error),
    /// The links to the outside systems or the peers' interface cannot start.
    #[display("the links: {_0}")]
    Link(#[error(source)] link::Error),
    /// The operating system refused a thread, a runtime or a signal handler.
    #[display("the operating system: {_0}")]
    System(#[error(source)] std::io::Error),
    /// The peers' and the operators' interface have a method of the same name.
    #[display("two interfaces have a method of the same name: {_0}")]
    Methods(#[error(source)] jsonrpsee::core::RegisterMethodError),
}

/// All faults of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct InvalidSettings {
    /// The file.
    pub file: path::PathBuf,
    /// The faults, in the order in which they were found.
    pub errors: Vec<SettingError>,
}

impl std::fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{}: {error}", self.file.display())?;
        }
        Ok(())
    }
}

/// A fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SettingError {
    /// The file cannot be read.
    #[display("the file cannot be read: {reason}")]
    Unreadable {
        /// What the operating system reported.
        reason: String,
    },
    /// The file is larger than the limit.
    #[display("the file has {found_bytes} bytes; at most {limit_bytes} are allowed")]
    TooLarge {
        /// The size of the file.
        found_bytes: u64,
        /// The largest size.
        limit_bytes: u64,
    },
    /// The file is not JSON with comments.
    #[display("the file is not JSON with comments: {reason}")]
    Malformed {
        /// What the parser reported, with line and column.
        reason: String,
    },
    /// A key that must be there is missing.
    #[display("{key}: missing; needed is {allowed}")]
    Missing {
        /// The key.
        key: String,
        /// What is allowed.
        allowed: String,
    },
    /// A value is not allowed.
    #[display("{key}: found {found}; allowed is {allowed}")]
    Invalid {
        /// The key.
        key: String,
        /// What was found.
        found: String,
        /// What is allowed.
        allowed: String,
    },
    /// A key that does not exist.
    #[display("{key}: unknown key; allowed in this place are {allowed}")]
    UnknownKey {
        /// The key.
        key: String,
        /// The keys that exist.
        allowed: String,
    },
    /// Two values contradict each other.
    #[display("{key}: found {found}; it must be {relation} {other_key}, which is {other_found}")]
    Inconsistent {
        /// The key.
        key: &'static str,
        /// What was found.
        found: u64,
        /// How the first value must stand to the other.
        relation: &'static str,
        /// The other key.
        other_key: &'static str,
        /// The value of the other key.
        other_found: u64,
    },
}

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
