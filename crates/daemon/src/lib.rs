//! The daemon, which runs once per VM and routes callers' requests to endpoints.
//!
//! It performs the I/O, and applies the decisions of `gypsumchute-routing` based on the state in
//! `gypsumchute-fleet`. All tasks run on a single thread and share a [`context::Context`].
//!
//! - [`ingress`] accepts callers' connections and admits their requests; a [`call`] is one admitted
//!   request, and [`placing`] chooses its endpoint;
//! - [`plain`] and [`generation`] send requests to endpoints, relay their responses ([`reply`]) and
//!   split streams into [`events`]; [`possible_runs`] knows whether a request may have run;
//! - [`forwarding`] hands requests to other VMs while this VM reaches no endpoint;
//! - [`store_updates`] applies configuration and registry changes, which come from
//!   [`store_reader`], from [`folder_reader`] or, through [`peer_sync`], from peers;
//! - [`crashes`] records which requests may have crashed endpoints; [`endpoint_rates`] keeps the rates
//!   that endpoints take, and [`endpoint_access`] is the only way to them, with a permit for each request;
//! - [`engine_reports`] polls engines for termination notices while the registry is stale;
//! - [`gossip`] and [`crash_gossip`] exchange load, membership and crashes with peers;
//!   [`maintenance`] discards expired state;
//! - [`stream_gossip`] tells peers at which software version a stream began, and asks them when a
//!   caller resumes it, [`record_passing`] tells VMs that join later; [`registry_check`] reads what this VM may have missed before that;
//! - [`status_server`] serves readiness and metrics, [`process`] starts and stops the daemon
//!   ([`shutdown`]), [`reload`] applies changed settings, and [`supervision`] catches panics.

pub mod call;
pub mod caller_input;
pub mod caller_limits;
mod caller_stream;
pub mod context;
pub mod crash_gossip;
pub mod crashes;
pub mod endpoint_access;
pub mod endpoint_rates;
pub mod engine_reports;
pub mod events;
pub mod folder_reader;
pub mod forwarding;
pub mod generation;
pub mod gossip;
pub mod ingress;
pub mod maintenance;
pub mod peer_sync;
pub mod placing;
pub mod plain;
pub mod possible_runs;
pub mod process;
mod queueing;
pub mod record_passing;
pub mod registry_check;
pub mod reload;
pub mod reply;
pub mod shutdown;
pub mod status_server;
pub mod store_reader;
pub mod store_updates;
pub mod stream_gossip;
pub mod supervision;
