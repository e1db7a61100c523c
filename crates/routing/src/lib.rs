//! Routing decisions: where a request runs, whether it queues, and how it recovers when the
//! endpoint is lost.
//!
//! Every decision is a deterministic function of the caller's arguments and the recorded state. The
//! crate uses no sockets, clocks, threads or implicit randomness. The daemon supplies events and
//! carries out the decisions; tests run the crate in virtual time.

pub mod admission;
pub mod brittle_endpoints;
pub mod budget;
pub mod compile;
pub mod continuity;
pub mod crash_reports;
pub mod endpoint_limits;
pub mod endpoint_links;
pub mod endpoint_pauses;
pub mod endpoint_rate;
pub mod endpoints;
pub mod features;
pub mod headroom;
pub mod leaving_notices;
pub mod load;
pub mod outcomes;
pub mod placement;
pub mod poison;
pub mod poison_segments;
pub mod queueing;
pub mod shutdown;
pub mod silent_runs;
pub mod stream_versions;
pub mod table;

pub use endpoints::{EndpointEntry, EndpointState, EndpointTable};
pub use features::{Feature, ServiceFeatures};
pub use table::{
    ConfigVersion, Customer, EngineProperties, IngressLimits, Priority, Route, RouteKind,
    RoutingTable, Service, WeightedService,
};
