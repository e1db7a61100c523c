//! API keys of callers. A configuration contains only salted hashes of the keys.

use quick_error::quick_error;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

/// Length of a SHA-256 digest, in bytes.
const HASH_BYTES: usize = 32;
/// Number of hexadecimal digits in the abbreviated form of a hash, which identifies it in listings.
const SHORT_HASH_CHARS: usize = 8;

quick_error! {
    /// Error returned when a string is not a key hash.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum KeyHashError {
        /// The string does not consist of 64 hexadecimal digits.
        InvalidFormat {
            display(
                "a key hash must have 64 hexadecimal digits; create one with `gypsumchute hash-key`"
            )
        }
    }
}

/// SHA-256 hash of the fleet's salt and an API key.
///
/// The debug output shows only the first digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr)]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Returns the hash of `key` with `salt`.
    ///
    /// The length of the salt is hashed too, so that different splits of the same bytes differ.
    pub fn of(salt: &str, key: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update((salt.len() as u64).to_le_bytes());
        hasher.update(salt.as_bytes());
        hasher.update(key.as_bytes());
        KeyHash(hasher.finalize().into())
    }

    /// Returns the first digits of the hash, for listings.
    pub fn abbreviated(&self) -> String {
        self.to_string()[..SHORT_HASH_CHARS].to_owned()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.abbreviated())
    }
}

impl FromStr for KeyHash {
    type Err = KeyHashError;

    fn from_str(text: &str) -> Result<Self, KeyHashError> {
        if text.len() != 2 * HASH_BYTES || !text.is_ascii() {
            return Err(KeyHashError::InvalidFormat);
        }
        let mut bytes = [0; HASH_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| KeyHashError::InvalidFormat)?;
        }
        Ok(KeyHash(bytes))
    }
}
