//! Identifier, rate, time and refusal types that every other crate of the workspace shares.
//!
//! The crate does no I/O. The only system calls are clock reads in [`time::boot_now`] and
//! [`time::unix_time_micros`].

pub mod ids;
pub mod rate;
pub mod refusal;
pub mod rendezvous;
pub mod time;

pub use ids::{
    CustomerId, EndpointId, Fingerprint, KeyId, RegionId, RequestId, RouteId, SegmentId, ServiceId,
    SoftwareVersion, VmId, ZoneId,
};
pub use rate::{NanoTokens, RequestRate};
pub use refusal::{Refusal, RefusalReason, Verdict, promises_not_run};
pub use time::BootMs;
