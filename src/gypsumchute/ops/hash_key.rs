//! `hash-key`: the salted hash under which a caller's key stands in the configuration.

use gypsumchute_config::KeyHash;

/// The hash of `key` under the fleet's `salt`.
pub fn hash_key(salt: &str, key: &str) -> String {
    KeyHash::of(salt, key.trim()).to_string()
}
