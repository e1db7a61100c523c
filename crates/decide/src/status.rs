//! A picture of a VM's state for operators, as its status page shows it.

use gypsumchute_units::{CustomerId, EndpointId, VmId, ZoneId};
use serde::Serialize;
use std::collections::BTreeMap;

/// What an owner knows of an endpoint, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct EndpointStatus {
    /// Requests there.
    pub in_flight: u32,
    /// The most it may have at the moment.
    pub limit: u32,
}

/// What a VM holds of a customer's rate and burst, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct CustomerStatus {
    /// Tokens in hand.
    pub level_tokens: f64,
    /// The most tokens that it may hold.
    pub capacity_tokens: f64,
    /// What it mints.
    pub rate_per_s: f64,
}

/// A picture of a VM's state for operators.
#[derive(Debug, Clone, Serialize)]
pub struct NodeStatus {
    /// The VM.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The start of its control process.
    pub incarnation: u64,
    /// Whether it serves.
    pub ready: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// The configuration in force.
    pub config_version: u64,
    /// How long ago the platform confirmed that version.
    pub config_age_ms: u64,
    /// The VM list in force.
    pub list_version: u64,
    /// The VMs that act together in the zone; none while no view is agreed on.
    pub acting_members: Vec<VmId>,
    /// Requests that wait.
    pub requests_waiting: usize,
    /// Requests at endpoints.
    pub requests_running: usize,
    /// Endpoints that this VM owns.
    pub endpoints: BTreeMap<EndpointId, EndpointStatus>,
    /// What it holds of each customer's rate and burst.
    pub customers: BTreeMap<CustomerId, CustomerStatus>,
}
