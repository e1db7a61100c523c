//! Ids, units, clocks and verdicts that every other crate of the workspace shares.
//!
//! Nothing here does I/O except [`time::boot_now`], which reads the kernel's boot clock.

pub mod ids;
pub mod rate;
pub mod refusal;
pub mod rendezvous;
pub mod time;

pub use ids::{
    CustomerId, EndpointId, KeyId, RegionId, RequestId, RouteId, ServiceId, VmId, ZoneId,
};
pub use rate::{NanoTokens, RequestRate};
pub use refusal::{Refusal, RefusalReason, Verdict};
pub use time::BootMs;
