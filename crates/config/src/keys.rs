//! Caller keys: only their salted hashes stand in a configuration.

use quick_error::quick_error;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

const HASH_BYTES: usize = 32;
/// Characters of a hash that are enough to recognize it in a listing.
const SHORT_CHARS: usize = 8;

quick_error! {
    /// Why a text is not a key hash.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum KeyHashError {
        /// Not 64 hexadecimal digits.
        Form {
            display("a key hash is 64 hexadecimal digits; `gypsumchute hash-key` prints one")
        }
    }
}

/// SHA-256 over the fleet's salt and a caller's key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr)]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// The hash of `key` under `salt`.
    pub fn of(salt: &str, key: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update((salt.len() as u64).to_le_bytes());
        hasher.update(salt.as_bytes());
        hasher.update(key.as_bytes());
        KeyHash(hasher.finalize().into())
    }

    /// The first digits, for listings.
    pub fn short(&self) -> String {
        self.to_string()[..SHORT_CHARS].to_owned()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.short())
    }
}

impl FromStr for KeyHash {
    type Err = KeyHashError;

    fn from_str(text: &str) -> Result<Self, KeyHashError> {
        if text.len() != 2 * HASH_BYTES || !text.is_ascii() {
            return Err(KeyHashError::Form);
        }
        let mut bytes = [0; HASH_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| KeyHashError::Form)?;
        }
        Ok(KeyHash(bytes))
    }
}
