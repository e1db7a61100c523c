//! `check`: merges a folder and says what is wrong with it.

use crate::core::OpResult;
use gypsumchute_config::FleetConfig;
use gypsumchute_config::folder::read_folder;
use std::path::Path;

/// The configuration that a folder merges to.
///
/// # Errors
///
/// Everything that is wrong with it, each with file, line, column and what to write instead.
pub fn load(folder: &Path) -> OpResult<FleetConfig> {
    let files = read_folder(folder)?;
    Ok(FleetConfig::from_files(0, &files)?)
}

/// A line on what a good folder holds.
///
/// # Errors
///
/// As [`load`].
pub fn check(folder: &Path) -> OpResult<String> {
    let config = load(folder)?;
    Ok(format!(
        "good: {} zones, {} customers, {} keys, {} routes, {} endpoints",
        config.zones.len(),
        config.customers.len(),
        config.keys.len(),
        config.routes.len(),
        config.endpoints.len(),
    ))
}
