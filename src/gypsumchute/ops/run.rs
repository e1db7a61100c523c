//! Running one process of the system until it is told to end.

use crate::core::{OpError, OpResult};
use crate::util::signals;
use gypsumchute_config::settings::read_settings;
use gypsumchute_config::{ControlSettings, EntrySettings};
use gypsumchute_telemetry::logs;
use std::path::Path;

/// Runs an entry process.
///
/// # Errors
///
/// Its settings are wrong or its addresses in use.
pub fn entry(settings: &Path) -> OpResult<()> {
    logs::init();
    let parsed: EntrySettings = read_settings(settings)?;
    let vm = parsed.vm.clone();
    let handle = gypsumchute_entry::start(parsed).map_err(|err| {
        OpError::failed("entry process", err, "check the addresses in its settings")
    })?;
    log::info!(vm:% = vm; "entry process serves");
    signals::on_end(handle.drainer())?;
    handle.join();
    Ok(())
}

/// Runs a control process.
///
/// # Errors
///
/// Its settings are wrong or its addresses in use.
pub fn control(settings: &Path) -> OpResult<()> {
    logs::init();
    let parsed: ControlSettings = read_settings(settings)?;
    let vm = parsed.vm.clone();
    let handle = gypsumchute_control::start(parsed).map_err(|err| {
        OpError::failed("control process", err, "check the addresses in its settings")
    })?;
    log::info!(vm:% = vm; "control process decides");
    signals::on_end(handle.drainer())?;
    handle.join();
    Ok(())
}
