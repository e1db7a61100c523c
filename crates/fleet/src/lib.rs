//! What the VMs know together: who they are, and what the platform published.
//!
//! State machines without I/O. [`members`] keeps the list of VMs, which the platform doesn't give,
//! and decides who reads the platform. [`store_copy`] holds what was read, in an order that never
//! goes back, whoever it was learnt from.

pub mod members;
pub mod store_copy;

pub use gypsumchute_proto::fleet as messages;
pub use members::{Members, PeerAddress};
pub use store_copy::{StoreCopy, StoreItem};
