//! A copy of what the platform published, kept by revision.
//!
//! Each key keeps its newest revision, so that events may arrive in any order and from anybody: a
//! peer that lags can't bring an older value back. Deleted keys keep their revision as well.

use bytes::Bytes;
use std::collections::BTreeMap;

/// Deleted keys that are remembered. A VM that lags by more than these gets the whole copy.
const MAX_DELETED: usize = 4_096;

/// One key as it was at a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// The key.
    pub key: String,
    /// The revision that wrote or deleted it.
    pub revision: u64,
    /// Its value; none if it was deleted.
    pub value: Option<Bytes>,
}

/// What a VM that lags is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// The revision through which it is complete.
    pub revision: u64,
    /// Whether the items are all there are.
    pub whole: bool,
    /// The items.
    pub items: Vec<StoreItem>,
}

/// The copy.
#[derive(Debug, Default)]
pub struct StoreCopy {
    items: BTreeMap<String, StoreItem>,
    complete_through: u64,
    deleted_forgotten_through: u64,
}

impl StoreCopy {
    /// The revision through which every change is known; 0 before the first complete read.
    pub fn revision(&self) -> u64 {
        self.complete_through
    }

    /// The value of `key`.
    pub fn get(&self, key: &str) -> Option<&StoreItem> {
        self.items.get(key).filter(|item| item.value.is_some())
    }

    /// All keys that begin with `prefix` and have a value.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a StoreItem> {
        self.items
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .filter_map(|(_, item)| item.value.is_some().then_some(item))
    }

    /// Takes in changes after which everything through `revision` is known. Returns the keys that
    /// changed here.
    pub fn apply(&mut self, revision: u64, changes: Vec<StoreItem>) -> Vec<String> {
        let changed = changes.into_iter().filter_map(|item| self.put(item)).collect();
        self.complete_through = self.complete_through.max(revision);
        self.forget_deleted();
        changed
    }

    /// Takes in a listing that began at `revision`: keys that it lacks were deleted. Returns the
    /// keys that changed here.
    pub fn replace(&mut self, revision: u64, listing: Vec<StoreItem>) -> Vec<String> {
        let listed: std::collections::BTreeSet<_> =
            listing.iter().map(|item| item.key.clone()).collect();
        let missing = self.items.values().filter(|item| {
            item.value.is_some() && item.revision <= revision && !listed.contains(&item.key)
        });
        let gone: Vec<_> = missing
            .map(|item| StoreItem { key: item.key.clone(), revision, value: None })
            .collect();
        let mut changed = self.apply(revision, listing);
        changed.extend(gone.into_iter().filter_map(|item| self.put(item)));
        changed
    }

    /// What a VM needs that is complete through `after`.
    pub fn delta(&self, after: u64) -> Delta {
        let whole = after < self.deleted_forgotten_through || after == 0;
        let wanted = |item: &&StoreItem| match whole {
            true => item.value.is_some(),
            false => item.revision > after,
        };
        let items = self.items.values().filter(wanted).cloned().collect();
        Delta { revision: self.complete_through, whole, items }
    }

    fn put(&mut self, item: StoreItem) -> Option<String> {
        let known = self.items.get(&item.key);
        if known.is_some_and(|known| known.revision >= item.revision) {
            return None;
        }
        let key = item.key.clone();
        self.items.insert(key.clone(), item);
        Some(key)
    }

    fn forget_deleted(&mut self) {
        let deleted = self.items.values().filter(|item| item.value.is_none());
        let mut revisions: Vec<u64> = deleted.map(|item| item.revision).collect();
        if revisions.len() <= MAX_DELETED {
            return;
        }
        revisions.sort_unstable();
        let through = revisions[revisions.len() / 2];
        self.items.retain(|_, item| item.value.is_some() || item.revision > through);
        self.deleted_forgotten_through = self.deleted_forgotten_through.max(through);
    }
}
