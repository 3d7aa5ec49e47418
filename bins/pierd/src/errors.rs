//! Error types of the daemon.

use std::path;

use derive_more::{Display, Error, From};
use persimmonpier::{front, link};

/// A failure to start the daemon.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The settings file is invalid.
    #[display("{_0}")]
    Settings(#[error(source)] InvalidSettings),
    /// The caller interface cannot be started.
    #[display("cannot start the caller interface: {_0}")]
    Front(#[error(source)] front::Error),
    /// The links to external systems and peers or the RPC server cannot be started.
    #[display("cannot start the links: {_0}")]
    Link(#[error(source)] link::Error),
    /// The operating system failed to create a thread, a runtime or a signal handler.
    #[display("operating system error: {_0}")]
    System(#[error(source)] std::io::Error),
    /// The peer and operator interfaces define a method of the same name.
    #[display("the peer and operator interfaces define a method of the same name: {_0}")]
    Methods(#[error(source)] jsonrpsee::core::RegisterMethodError),
}

/// All errors of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct InvalidSettings {
    /// The settings file.
    pub file: path::PathBuf,
    /// The errors in the order in which they were found.
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

/// An error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SettingError {
    /// The file cannot be read.
    #[display("the file cannot be read: {reason}")]
    Unreadable {
        /// The error of the operating system.
        reason: String,
    },
    /// The file is larger than the limit.
    #[display("the file has {found_bytes} bytes; at most {limit_bytes} are allowed")]
    TooLarge {
        /// The size of the file in bytes.
        found_bytes: u64,
        /// The largest allowed size in bytes.
        limit_bytes: u64,
    },
    /// The file is not JSON with comments.
    #[display("the file is not JSON with comments: {reason}")]
    Malformed {
        /// The error of the parser, with line and column.
        reason: String,
    },
    /// A required key is missing.
    #[display("{key}: missing; allowed is {allowed}")]
    Missing {
        /// The key.
        key: String,
        /// A description of the allowed values.
        allowed: String,
    },
    /// A value has the wrong type or is out of range.
    #[display("{key}: found {found}; allowed is {allowed}")]
    Invalid {
        /// The key.
        key: String,
        /// The value in the file.
        found: String,
        /// A description of the allowed values.
        allowed: String,
    },
    /// No setting has this key.
    #[display("{key}: unknown key; allowed in this place are {allowed}")]
    UnknownKey {
        /// The key.
        key: String,
        /// The keys that exist in the same section.
        allowed: String,
    },
    /// Two values violate a constraint between their settings.
    #[display("{key}: found {found}; it must be {relation} {other_key}, which is {other_found}")]
    Inconsistent {
        /// The key.
        key: &'static str,
        /// The value of the key.
        found: u64,
        /// The required relation of the value to the other one.
        relation: &'static str,
        /// The other key.
        other_key: &'static str,
        /// The value of the other key.
        other_found: u64,
    },
}

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
