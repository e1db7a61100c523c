//! `hash-key`: computes the salted hash that represents an API key in the configuration.

use gypsumchute_config::KeyHash;

/// Returns the hash of `key`, without surrounding whitespace, salted with the fleet's `salt`.
pub fn hash_key(salt: &str, key: &str) -> String {
    KeyHash::of(salt, key.trim()).to_string()
}
