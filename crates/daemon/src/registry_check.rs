//! Checks with the store whether this VM has missed a change.

use crate::context::Context;
use crate::store_updates::{UpdateSource, apply_changes};
use gypsumchute_config::ConfigSource;
use gypsumchute_platform::items::ALL_KEYS_PREFIX;
use gypsumchute_platform::{Changes, StoreClient};
use log::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Time for which a change that is about to be written may be waited for, in milliseconds. The store
/// answers at once if there is a change that this VM does not know.
const WATCH_WAIT_MS: u64 = 1;
/// Timeout of the check, in milliseconds: many times what an answer takes, and short for a caller
/// that waits for it.
const CHECK_TIMEOUT_MS: u64 = 300;

/// Reads the changes that this VM has not read yet, so that it knows all that was written before the
/// call. Returns false if the store doesn't answer, or if it answers that more is missing than the
/// changes. A configuration folder has nothing that this VM could have missed.
pub async fn read_missed_changes(context: &Rc<Context>) -> bool {
    let ConfigSource::Store(address) = context.settings.configuration else { return true };
    let known = context.with(|state| state.store_copy.position());
    let store = StoreClient::new(address);
    let watch = store.watch(ALL_KEYS_PREFIX, known.revision, WATCH_WAIT_MS);
    match timeout(Duration::from_millis(CHECK_TIMEOUT_MS), watch).await {
        Ok(Ok(Changes { position, items, .. })) if position.era == known.era => {
            if !items.is_empty() {
                info!(known:% = known, position:% = position, changes = items.len();
                    "registry was behind the store");
            }
            apply_changes(context, UpdateSource::Store, position, items);
            true
        }
        Ok(Ok(_)) | Ok(Err(_)) | Err(_) => {
            info!(known:% = known; "store did not confirm the registry");
            false
        }
    }
}
