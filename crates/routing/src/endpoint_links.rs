//! Detects that this VM has lost its network links to the endpoints of a service.
//!
//! A connection that fails has two possible causes: the endpoint is gone, or the VM's own links are.
//! The VM that meets the failure can tell them apart only by its other connections. Connections to
//! several endpoints of a service that fail in a row, with none established in between, mean that the
//! links are lost. A connection that is established afterwards shows that the links work, and the
//! failures before it are then the endpoints' own.

use gypsumchute_units::{BootMs, EndpointId, ServiceId};
use std::collections::BTreeMap;

/// Number of endpoints to which connections must fail in a row for the links to count as lost.
const MIN_FAILED_ENDPOINTS: usize = 3;
/// Lower bound of that number for a service with fewer endpoints: one endpoint may simply be gone.
const MIN_FAILED_ENDPOINTS_SMALL: usize = 2;
/// Time for which a failed connection counts, in milliseconds.
const FAILURE_TTL_MS: u64 = 3_000;

/// Outcomes of this VM's latest connections to the endpoints of one service.
#[derive(Debug, Default)]
struct ServiceLinks {
    /// Endpoints to which connections failed since the last one that was established, and when.
    failed: BTreeMap<EndpointId, BootMs>,
    are_lost: bool,
}

/// Outcomes of this VM's latest connections to endpoints, by service.
#[derive(Debug, Default)]
pub struct EndpointLinks {
    by_service: BTreeMap<ServiceId, ServiceLinks>,
}

impl EndpointLinks {
    /// Reports whether this VM has lost its links to the endpoints of `service`.
    pub fn are_lost(&self, service: &ServiceId) -> bool {
        self.by_service.get(service).is_some_and(|links| links.are_lost)
    }

    /// Returns the services whose endpoints this VM has lost its links to.
    pub fn lost_services(&self) -> impl Iterator<Item = &ServiceId> {
        self.by_service.iter().filter(|(_, links)| links.are_lost).map(|(service, _)| service)
    }

    /// Records that a connection to an endpoint of `service`, which has `in_service` endpoints, failed.
    pub fn on_connect_failed(
        &mut self,
        now: BootMs,
        service: &ServiceId,
        endpoint: &EndpointId,
        in_service: usize,
    ) -> ConnectFailure {
        let links = self.by_service.entry(service.clone()).or_default();
        links.failed.retain(|_, failed_ms| now.since(*failed_ms) < FAILURE_TTL_MS);
        links.failed.insert(endpoint.clone(), now);
        let needed = in_service.clamp(MIN_FAILED_ENDPOINTS_SMALL, MIN_FAILED_ENDPOINTS);
        match (links.are_lost, links.failed.len() >= needed) {
            (true, _) => ConnectFailure::LinksStillLost,
            (false, false) => ConnectFailure::Unexplained,
            (false, true) => {
                links.are_lost = true;
                ConnectFailure::LinksLost { failed_endpoints: links.failed.len() }
            }
        }
    }

    /// Records that a connection to an endpoint of `service` was established.
    pub fn on_connected(&mut self, now: BootMs, service: &ServiceId) -> LinksWork {
        let mut links = self.by_service.remove(service).unwrap_or_default();
        links.failed.retain(|_, failed_ms| now.since(*failed_ms) < FAILURE_TTL_MS);
        let unreachable = match links.are_lost {
            true => Vec::new(),
            false => links.failed.into_keys().collect(),
        };
        LinksWork { were_lost: links.are_lost, unreachable }
    }

    /// Drops what is known of services without endpoints.
    pub fn retain(&mut self, has_endpoints: impl Fn(&ServiceId) -> bool) {
        self.by_service.retain(|service, _| has_endpoints(service));
    }
}

/// What a failed connection shows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The endpoint or this VM's links may be at fault.
    Unexplained,
    /// The links count as lost from now on.
    LinksLost {
        /// Number of endpoints whose connections failed.
        failed_endpoints: usize,
    },
    /// The links counted as lost before.
    LinksStillLost,
}

/// What an established connection shows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinksWork {
    /// Whether the links counted as lost before.
    pub were_lost: bool,
    /// Endpoints whose connections failed just before although the links worked.
    pub unreachable: Vec<EndpointId>,
}
