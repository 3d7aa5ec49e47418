//! Error type of the core crate.

use derive_more::{Display, Error};

/// A failure to read a value that another process or a person wrote.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// A key hash is not 64 hexadecimal digits.
    #[display("a key hash has {length} characters or a character outside 0-9a-f; 64 are needed")]
    InvalidKeyHash {
        /// Number of characters that were found.
        length: usize,
    },
    /// A text is not base64.
    #[display("the text is not base64")]
    InvalidBase64,
}

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
