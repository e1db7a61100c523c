//! `show`: prints the merged configuration of a folder with all defaults filled in. API key hashes
//! are shortened and the salt is hidden.

use crate::core::OpResult;
use crate::ops::check::load_folder;
use serde_json::{Value, json};
use std::path::Path;

/// Returns the merged configuration as JSON, without the salt and with shortened key hashes.
///
/// # Errors
///
/// Returns the errors of [`load_folder`].
pub fn show(folder: &Path) -> OpResult<String> {
    let config = load_folder(folder)?;
    let mut output = json!(config);
    for (hash, key_owner) in &config.key_owners {
        let keys = &mut output["customers"][key_owner.customer.as_str()]["keys"];
        let Some(keys) = keys.as_array_mut() else { continue };
        let is_same_key = |key: &&mut Value| key["id"] == json!(key_owner.key);
        if let Some(key) = keys.iter_mut().find(is_same_key) {
            key["sha256"] = json!(format!("{}…", hash.abbreviated()));
        }
    }
    output["fleet"]["key_salt"] = json!("hidden");
    Ok(format!("{output:#}"))
}
