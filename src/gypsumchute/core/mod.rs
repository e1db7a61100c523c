//! Types that operations share.

pub mod error;
pub mod plan;

pub use error::{OpError, OpResult};
pub use plan::{FleetPlan, VmPlan};
