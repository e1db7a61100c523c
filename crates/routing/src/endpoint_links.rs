//! Detects that this VM has lost its network links to the endpoints.
//!
//! A connection that fails has two possible causes: the endpoint is gone, or the VM's own links are.
//! The VM that meets the failure can tell them apart only by its other connections. Connections to
//! several endpoints that fail in a row, with none established in between, mean that the links are
//! lost. A connection that is established afterwards shows that the links work, and the failures
//! before it are then the endpoints' own.

use gypsumchute_units::{BootMs, EndpointId};
use std::collections::BTreeMap;

/// Number of endpoints to which connections must fail in a row for the links to count as lost.
const MIN_FAILED_ENDPOINTS: usize = 3;
/// Lower bound of that number in a fleet with fewer endpoints: one endpoint may simply be gone.
const MIN_FAILED_ENDPOINTS_SMALL: usize = 2;
/// Time for which a failed connection counts, in milliseconds.
const FAILURE_TTL_MS: u64 = 3_000;

/// Outcomes of this VM's latest connections to endpoints.
#[derive(Debug, Default)]
pub struct EndpointLinks {
    /// Endpoints to which connections failed since the last one that was established, and when.
    failed: BTreeMap<EndpointId, BootMs>,
    is_cut_off: bool,
}

impl EndpointLinks {
    /// Reports whether this VM has lost its links to the endpoints.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Records that a connection to an endpoint failed, out of `in_service` endpoints.
    pub fn on_connect_failed(
        &mut self,
        now: BootMs,
        endpoint: &EndpointId,
        in_service: usize,
    ) -> ConnectFailure {
        self.failed.retain(|_, failed_ms| now.since(*failed_ms) < FAILURE_TTL_MS);
        self.failed.insert(endpoint.clone(), now);
        let needed = in_service.clamp(MIN_FAILED_ENDPOINTS_SMALL, MIN_FAILED_ENDPOINTS);
        match (self.is_cut_off, self.failed.len() >= needed) {
            (true, _) => ConnectFailure::LinksStillLost,
            (false, false) => ConnectFailure::Unexplained,
            (false, true) => {
                self.is_cut_off = true;
                ConnectFailure::LinksLost { failed: self.failed.keys().cloned().collect() }
            }
        }
    }

    /// Records that a connection to an endpoint was established.
    pub fn on_connected(&mut self, now: BootMs) -> LinksWork {
        let were_lost = std::mem::take(&mut self.is_cut_off);
        let mut failed = std::mem::take(&mut self.failed);
        failed.retain(|_, failed_ms| now.since(*failed_ms) < FAILURE_TTL_MS);
        let unreachable = match were_lost {
            true => Vec::new(),
            false => failed.into_keys().collect(),
        };
        LinksWork { were_lost, unreachable }
    }
}

/// What a failed connection shows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The endpoint or this VM's links may be at fault.
    Unexplained,
    /// The links count as lost from now on.
    LinksLost {
        /// Endpoints whose connections failed because of that.
        failed: Vec<EndpointId>,
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
