//! The control process: one on each VM, it carries events to the decisions and their actions out.
//!
//! All decisions are taken by one thread ([`process`]), in the order in which events arrive. The
//! other threads only move bytes: [`peers`] datagrams and transfers between VMs, [`entries`] the
//! connection to the entry process, [`platform`] the platform's service, [`endpoints`] load
//! reports and orders, [`ops`] the operators' port.

pub mod config_store;
pub mod endpoints;
pub mod entries;
pub mod http;
pub mod ops;
pub mod peers;
pub mod platform;
pub mod process;

pub use process::{ControlHandle, start};
