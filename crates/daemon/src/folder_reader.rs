//! Reads the configuration from a local folder, for fleets without a store that publishes one.
//!
//! VMs exchange configurations with each other, so a change in the folder of one VM reaches all
//! VMs. Each VM applies the configuration with the largest version.

use crate::context::Context;
use crate::store_updates::{FOLDER_KEY, UpdateSource, apply_changes};
use gypsumchute_config::folder::read_folder;
use gypsumchute_config::{ConfigErrors, FleetConfig};
use gypsumchute_fleet::{StoreItem, StorePosition, WriterOrder};
use gypsumchute_units::time::boot_now;
use log::{info, warn};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval at which the folder is read, in milliseconds: changes must be in force within seconds.
const POLL_INTERVAL_MS: u64 = 1_000;

/// File names and contents of a configuration folder.
type Files = BTreeMap<String, String>;

/// Reads the folder repeatedly and publishes changes. Runs until the process exits.
pub async fn run(context: Rc<Context>, folder: PathBuf) {
    let mut last_files: Option<Files> = None;
    let mut last_error: Option<String> = None;
    // An earlier run of this task may have panicked.
    context.with(|state| state.reads_store = false);
    loop {
        match read(&folder) {
            Ok((files, _)) if last_files.as_ref() == Some(&files) => mark_store_current(&context),
            Ok((files, version)) => {
                let in_force = context.with(|state| state.store_copy.position().revision);
                let changed = last_files.is_some();
                info!(folder:% = folder.display(), version, in_force, changed;
                    "configuration folder read");
                if version < in_force || changed && version == in_force {
                    warn!(folder:% = folder.display(), version, in_force;
                        "folder not applied; increase `fleet.version` above the version in force");
                }
                publish(&context, &files, version);
                last_files = Some(files);
                last_error = None;
            }
            Err(err) => {
                let error = err.to_string();
                if last_error.as_ref() != Some(&error) {
                    warn!(folder:% = folder.display(), error = error.as_str();
                        "invalid configuration folder; the previous configuration stays in force");
                }
                last_error = Some(error);
                context.with(|state| state.reads_store = false);
            }
        }
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

/// Reads and validates the folder, and returns the files with their `fleet.version`.
fn read(folder: &Path) -> Result<(Files, u64), ConfigErrors> {
    let files = read_folder(folder)?;
    let version = FleetConfig::from_files_with_own_version(&files)?.version;
    Ok((files, version))
}

/// Applies the files as an update of the local store copy, from which peers fetch them.
fn publish(context: &Rc<Context>, files: &Files, version: u64) {
    let value = match serde_json::to_vec(files) {
        Ok(value) => Some(value.into()),
        Err(err) => {
            warn!(version, error:% = err;
                "failed to serialize configuration folder; nothing was applied");
            return;
        }
    };
    let position = StorePosition { era: 0, revision: version };
    let writer_order = WriterOrder::Unknown;
    let item = StoreItem { key: FOLDER_KEY.to_owned(), position, value, writer_order };
    apply_changes(context, UpdateSource::Folder, position, vec![item]);
    mark_store_current(context);
}

/// Records that the folder was read successfully.
fn mark_store_current(context: &Context) {
    context.with(|state| {
        state.reads_store = true;
        state.store_confirmed_ms = Some(boot_now());
    });
}
