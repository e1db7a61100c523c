//! Types that several operations share: errors and the layout of a local fleet.

pub mod error;
pub mod plan;

pub use error::{OpError, OpResult};
pub use plan::{FleetPlan, VmPlan};
