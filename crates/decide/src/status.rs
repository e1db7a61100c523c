//! Snapshot of the state of a VM, as shown on its status page.

use gypsumchute_units::{CustomerId, EndpointId, VmId, ZoneId};
use serde::Serialize;
use std::collections::BTreeMap;

/// State of an endpoint that this VM owns.
#[derive(Debug, Clone, Serialize)]
pub struct EndpointStatus {
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Maximum number of requests in flight at present.
    pub limit: u32,
}

/// Share of the rate and burst of a customer that this VM holds.
#[derive(Debug, Clone, Serialize)]
pub struct CustomerStatus {
    /// Number of tokens in the bucket.
    pub level_tokens: f64,
    /// Maximum number of tokens in the bucket.
    pub capacity_tokens: f64,
    /// Refill rate of the bucket, in tokens per second.
    pub rate_per_s: f64,
}

/// Snapshot of the state of a VM.
#[derive(Debug, Clone, Serialize)]
pub struct NodeStatus {
    /// Name of the VM.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Incarnation of the control process.
    pub incarnation: u64,
    /// Whether the VM serves requests.
    pub ready: bool,
    /// Whether the VM is shutting down gracefully.
    pub draining: bool,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Time since the platform confirmed that version, in milliseconds.
    pub config_age_ms: u64,
    /// Version of the VM list in force.
    pub list_version: u64,
    /// Members of the active view of the zone; empty while no view is active.
    pub acting_members: Vec<VmId>,
    /// Number of pending requests.
    pub requests_waiting: usize,
    /// Number of requests that are running at endpoints.
    pub requests_running: usize,
    /// Endpoints that this VM owns.
    pub endpoints: BTreeMap<EndpointId, EndpointStatus>,
    /// Shares of this VM in the rate and burst of each customer.
    pub customers: BTreeMap<CustomerId, CustomerStatus>,
}
