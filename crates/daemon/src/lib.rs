//! The daemon: one process a VM that takes callers' requests to endpoints.
//!
//! It moves bytes and carries out what `gypsumchute-routing` decides on what
//! `gypsumchute-fleet` knows. Everything runs on one thread; tasks share a [`context::Context`].
//!
//! - [`ingress`] takes callers' connections, [`call`] is one request of theirs;
//! - [`plain`] and [`generation`] take it to endpoints;
//! - [`store_updates`] takes in what the platform published, which [`store_reader`] reads and
//!   [`peer_sync`] passes on between VMs, and what [`engine_reports`] hears from endpoints themselves;
//! - [`gossip`] tells other VMs what runs where; [`maintenance`] forgets what is old;
//! - [`status_server`] shows readiness and metrics, [`process`] starts and ends it all,
//!   [`reload`] takes in changed settings.

pub mod call;
pub mod context;
pub mod engine_reports;
pub mod events;
pub mod folder_reader;
pub mod generation;
pub mod gossip;
pub mod ingress;
pub mod maintenance;
pub mod peer_sync;
pub mod plain;
pub mod process;
pub mod reload;
pub mod reply;
pub mod status_server;
pub mod store_reader;
pub mod store_updates;
