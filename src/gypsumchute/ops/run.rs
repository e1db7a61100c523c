//! Runs an entry or control process until the process receives a termination signal.

use crate::core::{OpError, OpResult};
use crate::util::signals;
use gypsumchute_config::settings::read_settings;
use gypsumchute_config::{ControlSettings, EntrySettings};
use gypsumchute_telemetry::logs;
use std::path::Path;

/// Runs an entry process, which serves client requests.
///
/// # Errors
///
/// Returns an error if the settings are unreadable or invalid, an address is in use, or the handler
/// for termination signals cannot be registered.
pub fn entry(settings: &Path) -> OpResult<()> {
    logs::init_stderr();
    let parsed: EntrySettings = read_settings(settings)?;
    let vm = parsed.vm.clone();
    let handle = gypsumchute_entry::start(parsed).map_err(|err| {
        OpError::failed("entry process", err, "check the addresses in the settings file")
    })?;
    log::info!(vm:% = vm; "entry process started");
    signals::on_termination_signal(handle.drain_trigger())?;
    handle.join();
    Ok(())
}

/// Runs a control process, which makes the scheduling decisions of a VM.
///
/// # Errors
///
/// Returns an error if the settings are unreadable or invalid, an address is in use, or the handler
/// for termination signals cannot be registered.
pub fn control(settings: &Path) -> OpResult<()> {
    logs::init_stderr();
    let parsed: ControlSettings = read_settings(settings)?;
    let vm = parsed.vm.clone();
    let handle = gypsumchute_control::start(parsed).map_err(|err| {
        OpError::failed("control process", err, "check the addresses in the settings file")
    })?;
    log::info!(vm:% = vm; "control process started");
    signals::on_termination_signal(handle.drain_trigger())?;
    handle.join();
    Ok(())
}
