//! Local copy of the data that the platform published, kept by revision.
//!
//! Each key keeps its newest revision, so that changes may arrive in any order and from any peer: a
//! stale peer cannot restore an older value. Deleted keys keep their revision as well.

use bytes::Bytes;
use std::collections::BTreeMap;

/// Maximum number of deleted keys that are remembered. A VM that has missed more deletions than
/// these receives a snapshot.
const MAX_DELETED_KEYS: usize = 4_096;

/// State of one key as of a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// Name of the key.
    pub key: String,
    /// Revision that wrote or deleted the key.
    pub revision: u64,
    /// Value of the key, or `None` if the key was deleted.
    pub value: Option<Bytes>,
}

/// Data that a stale VM needs to catch up: a snapshot or an incremental update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreUpdate {
    /// Revision up to which the receiver knows all changes once it has applied the update.
    pub revision: u64,
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
    /// Revision up to which every change is known.
    complete_through: u64,
    /// Revision up to which deleted keys may have been dropped. A VM that knows only older
    /// revisions needs a snapshot.
    deletions_dropped_through: u64,
}

impl StoreReplica {
    /// Returns the revision up to which every change is known, or 0 before the first complete read.
    pub fn revision(&self) -> u64 {
        self.complete_through
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

    /// Applies changes after which everything up to `revision` is known. Returns the keys that
    /// changed in this copy.
    pub fn apply(&mut self, revision: u64, changes: Vec<StoreItem>) -> Vec<String> {
        let changed = changes.into_iter().filter_map(|item| self.put_if_newer(item)).collect();
        self.complete_through = self.complete_through.max(revision);
        self.drop_old_deletions();
        changed
    }

    /// Applies a full listing of the store that began at `revision`. A key that is missing from the
    /// listing was deleted, unless this copy has the key at a later revision. Returns the keys that
    /// changed in this copy.
    pub fn apply_listing(&mut self, revision: u64, listing: Vec<StoreItem>) -> Vec<String> {
        let listed: std::collections::BTreeSet<_> =
            listing.iter().map(|item| item.key.clone()).collect();
        let missing = self.items.values().filter(|item| {
            item.value.is_some() && item.revision <= revision && !listed.contains(&item.key)
        });
        let deletions: Vec<_> = missing
            .map(|item| StoreItem { key: item.key.clone(), revision, value: None })
            .collect();
        let mut changed = self.apply(revision, listing);
        changed.extend(deletions.into_iter().filter_map(|item| self.put_if_newer(item)));
        changed
    }

    /// Returns the update for a VM that knows all changes up to `after`.
    pub fn update_since(&self, after: u64) -> StoreUpdate {
        let is_snapshot = after < self.deletions_dropped_through || after == 0;
        let is_needed = |item: &&StoreItem| match is_snapshot {
            true => item.value.is_some(),
            false => item.revision > after,
        };
        let items = self.items.values().filter(is_needed).cloned().collect();
        StoreUpdate { revision: self.complete_through, is_snapshot, items }
    }

    /// Stores the item if it is newer than the known revision. Returns the key if the item was
    /// stored.
    fn put_if_newer(&mut self, item: StoreItem) -> Option<String> {
        let known = self.items.get(&item.key);
        if known.is_some_and(|known| known.revision >= item.revision) {
            return None;
        }
        let key = item.key.clone();
        self.items.insert(key.clone(), item);
        Some(key)
    }

    /// Drops the older half of the deleted keys if there are more than [`MAX_DELETED_KEYS`].
    fn drop_old_deletions(&mut self) {
        let deleted = self.items.values().filter(|item| item.value.is_none());
        let mut revisions: Vec<u64> = deleted.map(|item| item.revision).collect();
        if revisions.len() <= MAX_DELETED_KEYS {
            return;
        }
        revisions.sort_unstable();
        let cutoff = revisions[revisions.len() / 2];
        self.items.retain(|_, item| item.value.is_some() || item.revision > cutoff);
        self.deletions_dropped_through = self.deletions_dropped_through.max(cutoff);
    }
}
