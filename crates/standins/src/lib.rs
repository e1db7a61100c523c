//! Stand-ins (fake servers) for the systems that gypsumchute depends on, used by tests, benchmarks
//! and embedded fleets.
//!
//! [`platform`] publishes the configuration and the list of VMs. [`engine`] generates tokens with
//! continuous batching. [`service`] counts how often each request runs. [`proxy`] forwards traffic
//! between two processes and injects faults. Each of these is also available as a binary.
//! [`damaged_chunks`] answers with bodies whose framing is damaged.

pub mod damaged_chunks;
pub mod engine;
pub mod platform;
pub mod proxy;
pub mod server;
pub mod service;
