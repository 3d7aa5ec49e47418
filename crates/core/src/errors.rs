//! Error type of the core crate.

use derive_more::{Display, Error};

/// A failure to parse a value that comes from another process or a person.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// A key hash is not 64 hexadecimal digits.
    #[display("a key hash must be 64 digits 0-9a-f; found {length} characters or an invalid digit")]
    InvalidKeyHash {
        /// The length of the text in bytes, which is the number of characters for ASCII.
        length: usize,
    },
    /// A text is not valid base64.
    #[display("the text is not valid base64")]
    InvalidBase64,
}

pub type Result<T> = std::result::Result<T, Error>;
