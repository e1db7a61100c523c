//! Keys and values of the platform's store, and which of two values of a key is in force.
//!
//! Within one era of the store, the revision decides. When the store is restored from an older
//! backup, a new era begins: revisions are assigned again, and an item of the new era may be older
//! than one that is already known. The order that the writer of the key gives its own values then
//! decides, so that a restore takes back nothing that VMs have already acted on.

use bytes::Bytes;
use std::cmp::Ordering;
use std::fmt;

/// Position in the history of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition {
    /// Number of times that the store has been restored from a backup.
    pub era: u64,
    /// Number of the change within the era. A new era assigns some revisions again.
    pub revision: u64,
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}

/// Order that the writer of a key gives its own values. It holds over all eras of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriterOrder {
    /// The value names no order.
    #[default]
    Unknown,
    /// Version of a configuration. An older version never replaces a newer one.
    Version(u64),
    /// Registry entry of an endpoint. The order decides between items of different eras only.
    Incarnation {
        /// Start time of the endpoint by its own wall clock, in milliseconds; 0 if not reported.
        started_wall_ms: u64,
        /// Number of the entry, counted by the endpoint since its start.
        sequence: u64,
    },
}

/// State of one key as of a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// Name of the key.
    pub key: String,
    /// Position that wrote or deleted the key, or the last one at which the store had an older
    /// value than this one.
    pub position: StorePosition,
    /// Value of the key, or `None` if the key was deleted.
    pub value: Option<Bytes>,
    /// Order of the value, or of the value that was deleted.
    pub writer_order: WriterOrder,
}

impl StoreItem {
    /// Replaces this item by `incoming` if that is newer. Returns whether the value changed.
    pub(crate) fn merge(&mut self, incoming: StoreItem) -> bool {
        let position = self.position.max(incoming.position);
        if !incoming.is_newer_than(self) {
            self.position = position;
            return false;
        }
        let changed = incoming.value != self.value;
        let writer_order = match incoming.value {
            Some(_) => incoming.writer_order,
            None => self.writer_order.max(incoming.writer_order),
        };
        *self = StoreItem { position, writer_order, ..incoming };
        changed
    }

    fn is_newer_than(&self, known: &StoreItem) -> bool {
        let is_other_era = self.position.era != known.position.era;
        let by_position = self.position.cmp(&known.position);
        let order = match (self.writer_order, known.writer_order) {
            (WriterOrder::Version(new), WriterOrder::Version(old)) if new != old => new.cmp(&old),
            (WriterOrder::Incarnation { .. }, WriterOrder::Incarnation { .. })
                if is_other_era || by_position == Ordering::Equal =>
            {
                self.cmp_by_writer(known).then(by_position)
            }
            _ => by_position,
        };
        order == Ordering::Greater
    }

    /// Compares by the writer's order. A key is deleted after its last value was written.
    fn cmp_by_writer(&self, known: &StoreItem) -> Ordering {
        let by_deletion = self.value.is_none().cmp(&known.value.is_none());
        self.writer_order.cmp(&known.writer_order).then(by_deletion)
    }
}
