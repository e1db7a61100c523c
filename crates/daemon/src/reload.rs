//! Settings that change while the daemon runs.
//!
//! Only the seeds can change without a restart; a file that can't be read changes nothing.

use crate::context::Context;
use gypsumchute_config::{DaemonSettings, read_settings};
use log::{info, warn};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::time::sleep;

/// How often the file is looked at, since it may change without a signal, in ms.
const POLL_INTERVAL_MS: u64 = 5_000;

/// Looks for as long as the process lives.
pub async fn run(context: Rc<Context>, path: PathBuf, mut hangup: Signal) {
    let mut current = context.settings.clone();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(Duration::from_millis(POLL_INTERVAL_MS)) => false,
        };
        match read_settings::<DaemonSettings>(&path) {
            Ok(settings) if settings == current && !signalled => {}
            Ok(settings) => {
                info!(signalled, changed = settings != current, seeds:? = settings.seeds;
                    "settings reloaded; only seeds change without a restart");
                context.with(|state| state.members.set_seeds(settings.peer_seeds()));
                current = settings;
            }
            Err(err) => warn!(path:% = path.display(), error:% = err;
                "settings can't be read; those before stay in force"),
        }
    }
}
