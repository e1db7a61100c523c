//! Reloads the settings file while the daemon runs.
//!
//! Only the seeds can change without a restart. A file that cannot be read changes nothing.

use crate::context::Context;
use gypsumchute_config::{DaemonSettings, read_settings};
use log::{info, warn};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::time::sleep;

/// Interval at which the file is checked, in milliseconds, since it may change without a SIGHUP.
const POLL_INTERVAL_MS: u64 = 5_000;

/// Reloads the file on SIGHUP and at regular intervals. Runs until the process exits.
pub async fn run(context: Rc<Context>, path: &Path, hangup: &mut Signal) {
    let mut current = context.settings.clone();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(Duration::from_millis(POLL_INTERVAL_MS)) => false,
        };
        match read_settings::<DaemonSettings>(path) {
            Ok(settings) if settings == current && !signalled => {}
            Ok(settings) => {
                info!(signalled, changed = settings != current, seeds:? = settings.seeds;
                    "settings reloaded; only changes of the seeds take effect without a restart");
                context.with(|state| state.members.set_seeds(settings.seed_addresses()));
                current = settings;
            }
            Err(err) => warn!(path:% = path.display(), error:% = err;
                "failed to read settings; the previous settings stay in force"),
        }
    }
}
