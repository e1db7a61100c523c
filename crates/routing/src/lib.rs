//! Where a request goes, whether it waits, and what becomes of it when its endpoint is lost.
//!
//! Every decision is a function of what was passed in: no sockets, clocks, threads or ambient
//! randomness. The daemon feeds it what it hears and carries out what it decides; tests drive it
//! in virtual time.

pub mod admission;
pub mod budget;
pub mod compile;
pub mod continuity;
pub mod endpoints;
pub mod load;
pub mod outcomes;
pub mod placement;
pub mod poison;
pub mod shutdown;
pub mod table;
pub mod warmup;

pub use endpoints::{EndpointEntry, EndpointState, Endpoints};
pub use table::{
    ConfigVersion, Customer, EngineShape, IngressLimits, Priority, Route, RouteKind, RoutingTable,
    Service, WeightedService,
};
