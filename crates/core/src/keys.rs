//! Hashes of the API keys of teams and of the tokens of operators.

use serde::{Deserialize, Serialize};
use sha2::Digest;
use subtle::ConstantTimeEq;

use crate::errors;

const HASH_BYTES: usize = 32;
const HEX_DIGITS_PER_BYTE: usize = 2;

/// The SHA-256 hash of a key. The key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Computes the hash of `key`.
    pub fn of(key: &str) -> Self {
        Self(sha2::Sha256::digest(key.as_bytes()).into())
    }

    /// Whether `key` has this hash. The hashes are compared in constant time.
    pub fn matches(&self, key: &str) -> bool {
        self.constant_time_eq(&Self::of(key))
    }

    /// Whether the hashes are equal. The time does not depend on where they differ.
    pub fn constant_time_eq(&self, other: &Self) -> bool {
        bool::from(self.0.ct_eq(&other.0))
    }

    /// Formats the hash as 64 lowercase hexadecimal digits.
    pub fn to_hex(&self) -> String {
        let mut text = String::with_capacity(HASH_BYTES * HEX_DIGITS_PER_BYTE);
        for byte in self.0 {
            text.push_str(&format!("{byte:02x}"));
        }
        text
    }
}

impl std::fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

impl TryFrom<String> for KeyHash {
    type Error = errors::Error;

    fn try_from(text: String) -> errors::Result<Self> {
        let error = errors::Error::InvalidKeyHash { length: text.len() };
        if text.len() != HASH_BYTES * HEX_DIGITS_PER_BYTE || !text.is_ascii() {
            return Err(error);
        }
        let mut hash = [0; HASH_BYTES];
        for (index, byte) in hash.iter_mut().enumerate() {
            let start = index * HEX_DIGITS_PER_BYTE;
            let digits = &text[start..start + HEX_DIGITS_PER_BYTE];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| error.clone())?;
        }
        Ok(Self(hash))
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hash.to_hex()
    }
}
