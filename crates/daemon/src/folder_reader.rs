//! Reads the configuration from a folder of this VM, where no store publishes one.
//!
//! VMs hand configurations on to each other, so that one whose folder was changed first brings the
//! change to all; each of them takes the one with the largest number.

use crate::context::Context;
use crate::store_updates::{FOLDER_KEY, UpdateSource, apply_changes};
use gypsumchute_config::folder::read_folder;
use gypsumchute_config::{ConfigErrors, FleetConfig};
use gypsumchute_fleet::StoreItem;
use gypsumchute_units::time::boot_now;
use log::{info, warn};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How often the folder is looked at, in ms: changes are to be in force within seconds.
const POLL_INTERVAL_MS: u64 = 1_000;

type Files = BTreeMap<String, String>;

/// Reads for as long as the process lives.
pub async fn run(context: Rc<Context>, folder: PathBuf) {
    let mut last_files: Option<Files> = None;
    let mut last_error: Option<String> = None;
    loop {
        match read(&folder) {
            Ok((files, _)) if last_files.as_ref() == Some(&files) => mark_store_current(&context),
            Ok((files, version)) => {
                let in_force = context.with(|state| state.store_copy.revision());
                let changed = last_files.is_some();
                info!(folder:% = folder.display(), version, in_force, changed; "folder read");
                if version < in_force || changed && version == in_force {
                    warn!(folder:% = folder.display(), version, in_force;
                        "folder changes nothing: its `fleet.version` must be larger");
                }
                publish(&context, &files, version);
                last_files = Some(files);
                last_error = None;
            }
            Err(err) => {
                let error = err.to_string();
                if last_error.as_ref() != Some(&error) {
                    warn!(folder:% = folder.display(), error = error.as_str();
                        "folder refused; the configuration before it stays in force");
                }
                last_error = Some(error);
                context.with(|state| state.reads_store = false);
            }
        }
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

fn read(folder: &Path) -> Result<(Files, u64), ConfigErrors> {
    let files = read_folder(folder)?;
    let version = FleetConfig::from_folder_files(&files)?.version;
    Ok((files, version))
}

fn publish(context: &Rc<Context>, files: &Files, version: u64) {
    let value = match serde_json::to_vec(files) {
        Ok(value) => Some(value.into()),
        Err(err) => {
            warn!(version, error:% = err; "folder can't be handed on; it changes nothing");
            return;
        }
    };
    let item = StoreItem { key: FOLDER_KEY.to_owned(), revision: version, value };
    apply_changes(context, UpdateSource::Folder, version, vec![item]);
    mark_store_current(context);
}

fn mark_store_current(context: &Context) {
    context.with(|state| {
        state.reads_store = true;
        state.store_confirmed_ms = Some(boot_now());
    });
}
