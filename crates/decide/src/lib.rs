//! Decision logic of the control process, as state machines without I/O.
//!
//! [`Node`] is the state machine of one VM. The control process passes [`Event`]s with their times
//! to it and carries out the [`Action`]s that it returns. The crate uses no sockets, threads,
//! clocks or global random numbers: time and random seed are inputs, so a seed and a list of
//! events reproduce a failure.
//!
//! Responsibilities of the modules:
//!
//! - [`membership`] agrees with the VMs of the same availability zone on a view, under leases, so
//!   that each resource of the zone has at most one owner at any time ([`gypsumchute_units::rendezvous`]);
//! - [`shares`] distributes the rate and burst of each customer over the VMs ([`bucket`]);
//! - [`permits`] grants permission to send a request to an owned endpoint, [`placement`] requests
//!   it;
//! - [`idempotency`] records the idempotency keys of requests that must run at most once;
//! - [`gypsumchute_routing::poison`] tracks requests that crashed endpoints;
//! - [`adoption`] decides which version of the configuration and of the VM list is in force;
//! - [`admission`] authorizes requests and holds their state.
//!
//! ```
//! use gypsumchute_decide::{Event, Identity, Node};
//! use gypsumchute_units::BootMs;
//!
//! let identity = Identity {
//!     vm: "vm-1".parse().unwrap(),
//!     zone: "umea-b".parse().unwrap(),
//!     incarnation: 1,
//! };
//! let mut node = Node::new(identity, BootMs(0), 42, true);
//! node.handle(BootMs(10), Event::Tick);
//! assert!(!node.is_ready(), "a VM without a configuration is not ready");
//! ```

pub mod admission;
pub mod adoption;
pub mod bucket;
mod context;
pub mod event;
pub mod idempotency;
pub mod lengths;
pub mod limits;
pub mod membership;
pub mod node;
pub mod permits;
mod pipeline;
pub mod placement;
pub mod shares;
pub mod status;
pub mod view;
pub mod vm_list;

pub use event::{
    Action, AdmitRequest, ApiKey, Counter, Event, FinishedRequest, Grant, LoadReport, ModelOrder,
    RequestKey, RequestKind, RetryReason, RetryRequest, StoredAnswer,
};
pub use node::Node;
pub use permits::model_hash;
pub use status::NodeStatus;
pub use vm_list::{VmList, VmRecord};

use gypsumchute_units::{VmId, ZoneId};

/// Identity of a control process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Name of the VM on which the process runs.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Number that increases with each start of the process on the VM. Messages of an earlier
    /// incarnation are ignored. Ids of leases, permits, claims and asks start at the incarnation,
    /// so it must increase by more than the number of ids that a process assigns.
    pub incarnation: u64,
}
