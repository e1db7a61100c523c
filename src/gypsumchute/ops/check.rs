//! `check`: validates a folder of configuration files.

use crate::core::OpResult;
use gypsumchute_config::FleetConfig;
use gypsumchute_config::folder::read_folder;
use std::path::Path;

/// Reads, merges and validates the configuration files of a folder.
///
/// # Errors
///
/// Returns an error if the folder can't be read, or else all errors in the files, each with file,
/// line, column and a suggested correction.
pub fn load_folder(folder: &Path) -> OpResult<FleetConfig> {
    let files = read_folder(folder)?;
    Ok(FleetConfig::from_files(0, &files)?)
}

/// Validates a folder and returns a one-line summary of the merged configuration.
///
/// # Errors
///
/// Returns the errors of [`load_folder`].
pub fn check(folder: &Path) -> OpResult<String> {
    let config = load_folder(folder)?;
    Ok(format!(
        "good: {} zones, {} customers, {} keys, {} routes, {} endpoints",
        config.zones.len(),
        config.customers.len(),
        config.key_owners.len(),
        config.routes.len(),
        config.endpoints.len(),
    ))
}
