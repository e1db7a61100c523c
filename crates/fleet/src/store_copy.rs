//! Local copy of the data that the platform published.
//!
//! Changes may arrive in any order and from any peer: for each key, the newest item is kept, and a
//! stale peer cannot restore an older value. Deleted keys are remembered as well.
//!
//! A store that was restored from a backup begins a new era. Keys that it lost keep their values
//! until their writers had time to write them again; see [`StoreReplica::drop_lost_keys`].

use crate::store_item::{StoreItem, StorePosition, WriterOrder};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of deleted keys that are remembered. A VM that has missed more deletions than
/// these receives a snapshot.
const MAX_DELETED_KEYS: usize = 4_096;

/// How much of the store's history a copy holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CopyProgress {
    /// Position up to which every change is known; zero before the first complete read.
    pub position: StorePosition,
    /// Newest position of an earlier era up to which changes are part of the copy. The store itself
    /// may have lost some of these changes.
    pub merged: StorePosition,
}

impl CopyProgress {
    /// Reports whether a copy with the progress `other` holds changes that this one lacks.
    pub fn is_behind(&self, other: &CopyProgress) -> bool {
        let is_same_era = self.position.era == other.position.era;
        self.position < other.position || is_same_era && self.merged < other.merged
    }
}

/// Data that a stale VM needs to catch up: a snapshot or an incremental update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreUpdate {
    /// Progress of the receiver once it has applied the update.
    pub progress: CopyProgress,
    /// Whether `items` is a snapshot of all keys that have a value.
    pub is_snapshot: bool,
    /// Keys to apply.
    pub items: Vec<StoreItem>,
}

/// Local copy of the platform's store.
#[derive(Debug, Default)]
pub struct StoreReplica {
    /// Items by key, including remembered deleted keys.
    items: BTreeMap<String, StoreItem>,
    progress: CopyProgress,
    /// Position up to which deleted keys may have been dropped, or may never have been known. A VM
    /// that knows only older positions needs a snapshot.
    deletions_dropped_through: StorePosition,
}

impl StoreReplica {
    /// Returns the position up to which every change is known, or zero before the first complete
    /// read.
    pub fn position(&self) -> StorePosition {
        self.progress.position
    }

    /// Returns how much of the store's history this copy holds.
    pub fn progress(&self) -> CopyProgress {
        self.progress
    }

    /// Returns the item of `key`, or `None` if the key is deleted or unknown.
    pub fn get(&self, key: &str) -> Option<&StoreItem> {
        self.items.get(key).filter(|item| item.value.is_some())
    }

    /// Returns all items whose key begins with `prefix` and that have a value.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a StoreItem> {
        self.items
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .filter_map(|(_, item)| item.value.is_some().then_some(item))
    }

    /// Applies changes after which everything up to `position` is known. Returns the keys whose
    /// value changed in this copy.
    pub fn apply(&mut self, position: StorePosition, changes: Vec<StoreItem>) -> Vec<String> {
        let changed = changes.into_iter().filter_map(|item| self.merge(item)).collect();
        self.advance(position);
        self.drop_old_deletions();
        changed
    }

    /// Applies a full listing of the store that began at `position`. A key that is missing from the
    /// listing was deleted, unless this copy has the key at a later position, or from an earlier
    /// era. Returns the keys whose value changed in this copy.
    pub fn apply_listing(
        &mut self,
        position: StorePosition,
        listing: Vec<StoreItem>,
    ) -> Vec<String> {
        let listed: BTreeSet<_> = listing.iter().map(|item| item.key.clone()).collect();
        if position > self.progress.position {
            // Keys that this copy never had may have been deleted in between.
            self.deletions_dropped_through = self.deletions_dropped_through.max(position);
        }
        let mut changed = self.apply(position, listing);
        let missing = self.items.values_mut().filter(|item| !listed.contains(&item.key));
        for item in missing.filter(|item| item.position <= position) {
            match item.value {
                // The listing confirms the deletion.
                None => item.position = position,
                Some(_) if item.position.era == position.era => {
                    item.position = position;
                    item.value = None;
                    changed.push(item.key.clone());
                }
                Some(_) => {}
            }
        }
        changed
    }

    /// Records that this copy contains the changes of earlier eras up to `merged`, which a peer had
    /// merged into its copy.
    pub fn record_merged(&mut self, merged: StorePosition) {
        self.progress.merged = self.progress.merged.max(merged);
    }

    /// Reports whether the store has lost keys that this copy still holds, in a restore.
    pub fn has_lost_keys(&self) -> bool {
        self.items.values().any(|item| self.is_lost(item))
    }

    /// Deletes the keys that the store has lost in a restore and that were not written again.
    /// Returns their names. The configuration is kept: it is always written again.
    pub fn drop_lost_keys(&mut self) -> Vec<String> {
        let lost = self.items.values().filter(|item| self.is_lost(item));
        let lost: Vec<_> = lost.map(|item| item.key.clone()).collect();
        let position = self.progress.position;
        for key in &lost {
            if let Some(item) = self.items.get_mut(key) {
                item.position = position;
                item.value = None;
            }
        }
        lost
    }

    /// Reports whether `item` has a value of an earlier era that the store does not have.
    fn is_lost(&self, item: &StoreItem) -> bool {
        let is_configuration = matches!(item.writer_order, WriterOrder::Version(_));
        item.value.is_some() && !is_configuration && item.position.era < self.progress.position.era
    }

    /// Returns the update for a VM with the given progress.
    pub fn update_since(&self, receiver: CopyProgress) -> StoreUpdate {
        let after = receiver.position;
        let is_snapshot = after.era != self.progress.position.era
            || after < self.deletions_dropped_through
            || after.revision == 0
            || receiver.merged < self.progress.merged;
        let is_needed = |item: &&StoreItem| match is_snapshot {
            true => item.value.is_some(),
            false => item.position > after,
        };
        let items = self.items.values().filter(is_needed).cloned().collect();
        StoreUpdate { progress: self.progress, is_snapshot, items }
    }

    /// Records that every change up to `position` is known.
    fn advance(&mut self, position: StorePosition) {
        let previous = self.progress.position;
        if position.era > previous.era && previous.revision > 0 {
            self.record_merged(previous);
        }
        self.progress.position = previous.max(position);
    }

    /// Merges `item` into the copy. Returns the key if its value changed.
    fn merge(&mut self, item: StoreItem) -> Option<String> {
        let key = item.key.clone();
        let changed = match self.items.get_mut(&key) {
            Some(known) => known.merge(item),
            None => {
                self.items.insert(key.clone(), item);
                true
            }
        };
        changed.then_some(key)
    }

    /// Drops the older half of the deleted keys if there are more than [`MAX_DELETED_KEYS`].
    fn drop_old_deletions(&mut self) {
        let deleted = self.items.values().filter(|item| item.value.is_none());
        let mut positions: Vec<_> = deleted.map(|item| item.position).collect();
        if positions.len() <= MAX_DELETED_KEYS {
            return;
        }
        positions.sort_unstable();
        let cutoff = positions[positions.len() / 2];
        self.items.retain(|_, item| item.value.is_some() || item.position > cutoff);
        self.deletions_dropped_through = self.deletions_dropped_through.max(cutoff);
    }
}
