//! `show`: what a folder merges to, with every default, and keys only by the start of their hash.

use crate::core::OpResult;
use crate::ops::check::load;
use serde_json::{Value, json};
use std::path::Path;

/// The merged configuration as JSON.
///
/// # Errors
///
/// As [`load`].
pub fn show(folder: &Path) -> OpResult<String> {
    let config = load(folder)?;
    let mut shown = json!(config);
    for (hash, holder) in &config.keys {
        let keys = &mut shown["customers"][holder.customer.as_str()]["keys"];
        let Some(keys) = keys.as_array_mut() else { continue };
        let named = |key: &&mut Value| key["id"] == json!(holder.key);
        if let Some(key) = keys.iter_mut().find(named) {
            key["sha256"] = json!(format!("{}…", hash.short()));
        }
    }
    shown["fleet"]["key_salt"] = json!("hidden");
    Ok(format!("{shown:#}"))
}
