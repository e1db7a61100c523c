//! The control process, which runs once on each VM. It passes events to the decision state machine
//! ([`gypsumchute_decide::Node`]) and executes the actions that the state machine returns.
//!
//! One thread makes all decisions, in the order in which events arrive ([`process`]). The other
//! threads only perform I/O: [`peers`] exchanges datagrams, the configuration and the VM list with
//! other VMs, [`entries`] exchanges messages with the entry process, [`platform`] reads the
//! platform API, [`endpoints`] polls load reports and sends orders to endpoints, and [`ops`] serves
//! operators.

pub mod config_store;
pub mod endpoints;
pub mod entries;
pub mod http;
pub mod ops;
pub mod peers;
pub mod platform;
pub mod process;

pub use process::{ControlHandle, start};
