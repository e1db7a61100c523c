//! Every decision of the system, as state machines without I/O.
//!
//! [`Node`] is what one VM decides: the control process feeds it [`Event`]s with the time at which
//! they happened and carries out the [`Action`]s that it returns. There are no sockets, threads,
//! clocks or ambient randomness inside; the time and the seed come in, so a failing case is a seed
//! and a list of events.
//!
//! How the parts act together:
//!
//! - [`membership`] agrees with the VMs of the same availability zone on a view, under leases, so
//!   that each resource of the zone has at most one owner at any time ([`gypsumchute_units::rendezvous`]);
//! - [`shares`] moves parts of each customer's rate and burst between VMs ([`bucket`]);
//! - [`permits`] gives the right to send a request to an owned endpoint, [`placement`] asks for it;
//! - [`idempotency`] keeps the keys of requests that must not run twice;
//! - [`gypsumchute_routing::poison`] remembers requests that brought endpoints down;
//! - [`adoption`] decides which version of the configuration and of the VM list is in force;
//! - [`admission`] leads each request through all of them.
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
//! assert!(!node.is_ready(), "a VM without a configuration serves nothing");
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
    Action, AdmitRequest, CallerKey, Counter, Event, FinishedRequest, Grant, KeptAnswer,
    LoadReport, Order, RequestKey, RequestKind, RetryReason, RetryRequest,
};
pub use node::Node;
pub use permits::model_hash;
pub use status::NodeStatus;
pub use vm_list::{VmList, VmRecord};

use gypsumchute_units::{VmId, ZoneId};

/// Who this VM is, for as long as its control process lives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The VM.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Larger at each start of the process; messages of a former incarnation don't count.
    pub incarnation: u64,
}
