//! Small stand-ins for what surrounds the system, for demonstration, tests and measurements.
//!
//! [`platform`] publishes configuration and the list of VMs, [`engine`] generates tokens in a
//! continuous batch, [`service`] counts how often each request runs, and [`proxy`] stands between
//! two of the processes and injects faults. Each also has a binary of its own.

pub mod engine;
pub mod platform;
pub mod proxy;
pub mod server;
pub mod service;
