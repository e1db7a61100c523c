//! Stand-ins (fake servers) for the systems that gypsumchute depends on, used by tests, benchmarks
//! and embedded fleets.
//!
//! [`platform`] publishes the configuration and the list of VMs. [`engine`] generates tokens with
//! continuous batching. [`service`] counts how often each request runs. [`proxy`] forwards traffic
//! between two processes and injects faults. Each stand-in is also available as a binary.

pub mod engine;
pub mod platform;
pub mod proxy;
pub mod server;
pub mod service;
