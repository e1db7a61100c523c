//! The daemon: one process a VM that takes callers' requests to endpoints.
//!
//! It moves bytes and carries out what `gypsumchute-routing` decides on what
//! `gypsumchute-fleet` knows. Everything runs on one thread; tasks share a [`context::Context`].
//!
//! - [`front`] takes callers' connections, [`call`] is one request of theirs;
//! - [`plain`] and [`generation`] take it to endpoints;
//! - [`knowledge`] takes in what the platform published, which [`store_reader`] reads and
//!   [`pulls`] passes on between VMs, and what [`notices`] hears from endpoints themselves;
//! - [`gossip`] tells other VMs what runs where; [`upkeep`] forgets what is old;
//! - [`http_service`] shows readiness and metrics, [`process`] starts and ends it all,
//!   [`reload`] takes in changed settings.

pub mod call;
pub mod context;
pub mod events;
pub mod folder_reader;
pub mod front;
pub mod generation;
pub mod gossip;
pub mod http_service;
pub mod knowledge;
pub mod notices;
pub mod plain;
pub mod process;
pub mod pulls;
pub mod reload;
pub mod reply;
pub mod store_reader;
pub mod upkeep;
