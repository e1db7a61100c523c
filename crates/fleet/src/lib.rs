//! State that the VMs of the fleet share: the membership, and the data that the platform published.
//!
//! The modules are state machines without I/O. [`members`] maintains the list of VMs, which the
//! platform does not provide, and decides which VMs read from the platform. [`store_copy`] holds
//! the data that was read, so that updates from any peer never replace a newer value;
//! [`store_item`] decides which value is newer.

pub mod members;
pub mod store_copy;
pub mod store_item;

pub use gypsumchute_proto::fleet as messages;
pub use members::{Membership, PeerAddress};
pub use store_copy::{CopyProgress, StoreReplica};
pub use store_item::{StoreItem, StorePosition, WriterOrder};
