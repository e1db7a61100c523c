//! Places requests: chooses an endpoint with capacity and connects to it, or waits for one.

use crate::call::Call;
use crate::context::LoadGuard;
use crate::endpoint_access::{RateExhausted, RequestPermit};
use gypsumchute_exchange::Connection;
use gypsumchute_routing::admission::QueuePosition;
use gypsumchute_routing::headroom::capacity_limits;
use gypsumchute_routing::placement::{
    Placement, PlacementRequest, choose_endpoint, has_permitted_endpoint,
};
use gypsumchute_routing::stream_versions::ServiceVersion;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{EndpointId, Refusal, RefusalReason};
use log::info;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Timeout for connecting to an endpoint, in milliseconds. A connection normally takes a few
/// milliseconds, but TCP retransmits a lost packet only after 1 s, so another endpoint is tried
/// before that.
pub(crate) const CONNECT_TIMEOUT_MS: u64 = 150;
/// Number of failed connection attempts after which a request is refused.
const MAX_CONNECT_FAILURES: u32 = 4;
/// The same where another VM is asked to serve the request as well.
const MAX_CONNECT_FAILURES_WITH_PEERS: u32 = 2;

/// Whether a request is placed although this VM may have lost its links to the endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkUse {
    /// The request is not placed once the links seem to be lost: another VM may serve it.
    UnlessLost,
    /// Other VMs were asked before, or another VM asked this one.
    AfterOffers,
    /// There is no alternative to this VM's links.
    Always,
}

impl LinkUse {
    /// Returns the number of failed connection attempts after which the request is given up.
    fn max_connect_failures(self) -> u32 {
        match self {
            LinkUse::UnlessLost | LinkUse::AfterOffers => MAX_CONNECT_FAILURES_WITH_PEERS,
            LinkUse::Always => MAX_CONNECT_FAILURES,
        }
    }
}

/// Whether a request waits in the admission queue if all endpoints are full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueUse {
    /// It waits for room.
    Wait,
    /// It is placed at once or not at all. A run that goes on while another endpoint is looked for can't
    /// use the room that those behind it in the queue could use.
    TryOnce,
}

/// Why no connection to an endpoint was opened. Nothing was sent.
pub struct Unplaced {
    /// Refusal for the caller.
    pub refusal: Refusal,
    /// Whether connections failed, so that a VM with other links may serve the request.
    pub links_failed: bool,
}

impl From<Refusal> for Unplaced {
    fn from(refusal: Refusal) -> Self {
        Unplaced { refusal, links_failed: false }
    }
}

/// An open connection to the endpoint that was chosen for a request. The request is sent on it
/// once.
pub struct EndpointConnection {
    /// Endpoint that was chosen.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Service and software version of the endpoint when it was chosen.
    pub version: ServiceVersion,
    /// Open connection to the endpoint.
    pub connection: Connection,
    /// Accounts for the load of the request at the endpoint.
    pub load_guard: LoadGuard,
}

/// An endpoint that was chosen for a request.
struct ChosenEndpoint {
    permit: RequestPermit,
    address: SocketAddr,
    version: ServiceVersion,
}

/// Result of an attempt to place a request without waiting.
enum PlaceAttempt {
    /// This endpoint has capacity and takes the request now.
    Endpoint(RequestPermit),
    /// All suitable endpoints are full or cold, or requests ahead in the queue take precedence.
    AtCapacity,
    /// There is no suitable endpoint.
    NoEndpoint,
    /// All suitable endpoints have named limits, which are used up.
    RateLimited {
        /// Time until one of them takes a request from this VM, in milliseconds; `u64::MAX` if none
        /// does.
        wait_ms: u64,
        /// Time after which a caller may find room at some VM, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Endpoints that were passed over because of the rate that they take or a pause.
#[derive(Default)]
struct LimitedEndpoints {
    /// Whether one of them is cold and has named no limit.
    any_cold: bool,
    wait_ms: Option<u64>,
    interval_ms: Option<u64>,
}

impl LimitedEndpoints {
    /// Adds an endpoint that was passed over.
    fn add(&mut self, exhausted: RateExhausted) {
        self.any_cold |= !exhausted.is_named;
        let shorter = |known: Option<u64>, ms: u64| Some(known.map_or(ms, |known| known.min(ms)));
        if let Some(wait_ms) = exhausted.wait_ms {
            self.wait_ms = shorter(self.wait_ms, wait_ms);
        }
        self.interval_ms = shorter(self.interval_ms, exhausted.interval_ms);
    }

    /// Returns the outcome if no endpoint is left besides these.
    fn outcome(&self) -> PlaceAttempt {
        match self.interval_ms {
            Some(interval_ms) if !self.any_cold => PlaceAttempt::RateLimited {
                wait_ms: self.wait_ms.unwrap_or(u64::MAX),
                retry_after_ms: self.wait_ms.unwrap_or(interval_ms),
            },
            _ => PlaceAttempt::AtCapacity,
        }
    }
}

impl Call {
    /// Chooses an endpoint with capacity and connects to it. If all endpoints are full, waits in
    /// the admission queue as `queue` says, see [`Call::enqueue`]. A request that is bound to a software
    /// `version` does not wait if no endpoint of that version is in service.
    ///
    /// # Errors
    ///
    /// Returns the refusal if no endpoint could be reached. Nothing was sent. Endpoints to which
    /// connections failed are added to `excluded`.
    pub async fn place_and_connect(
        &self,
        excluded: &mut BTreeSet<EndpointId>,
        version: Option<ServiceVersion>,
        links: LinkUse,
        queue: QueueUse,
    ) -> Result<EndpointConnection, Unplaced> {
        let mut failures = 0;
        loop {
            if links == LinkUse::UnlessLost && self.context.is_cut_off(&self.service.id) {
                return Err(self.unreachable());
            }
            let chosen = match self.wait_for_capacity(excluded, version, queue).await {
                Ok(chosen) => chosen,
                Err(refusal) => return Err(Unplaced { refusal, links_failed: failures > 0 }),
            };
            let ChosenEndpoint { permit, address, version } = chosen;
            let endpoint = permit.endpoint().clone();
            self.log_placement(&endpoint);
            let load_guard = self.context.reserve_load(&endpoint, self.load_before_prefill());
            let limit_ms = CONNECT_TIMEOUT_MS.min(self.remaining_ms());
            match permit.connect(&self.context, address, limit_ms).await {
                // The endpoint may have gone out of service while the connection was being opened.
                Ok(_)
                    if !self.context.with(|state| state.endpoints.accepts_requests(&endpoint)) =>
                {
                    excluded.insert(endpoint);
                }
                Ok(connection) => {
                    self.context.record_connected(&self.service.id);
                    if let Some(refusal) = self.poison_refusal() {
                        return Err(refusal.into());
                    }
                    return Ok(EndpointConnection {
                        endpoint,
                        address,
                        version,
                        connection,
                        load_guard,
                    });
                }
                Err(err) => {
                    self.context.record_connect_failed(&self.service.id, &endpoint);
                    self.context.metrics.count_retry("no_connection");
                    info!(request = self.id(), endpoint = endpoint.as_str(), error:% = err;
                        "could not connect to endpoint");
                    excluded.insert(endpoint);
                    failures += 1;
                }
            }
            if failures >= links.max_connect_failures() || self.remaining_ms() == 0 {
                return Err(self.unreachable());
            }
        }
    }

    /// Returns the refusal of a request for which connections failed.
    fn unreachable(&self) -> Unplaced {
        let typical_wait_ms = self.route.latency_target_ms;
        let refusal = self.retryable_refusal(RefusalReason::NoReachableEndpoint, typical_wait_ms);
        Unplaced { refusal, links_failed: true }
    }

    /// Waits in the admission queue until an endpoint has capacity, and returns the endpoint.
    async fn wait_for_capacity(
        &self,
        excluded: &BTreeSet<EndpointId>,
        version: Option<ServiceVersion>,
        queue: QueueUse,
    ) -> Result<ChosenEndpoint, Refusal> {
        let mut changes = self.context.changes();
        let mut entry = self.enqueue(queue, version);
        loop {
            if let Some(refusal) = self.poison_refusal().or_else(|| self.begin_refusal(version)) {
                return Err(refusal);
            }
            if version.is_some() && !self.has_endpoint_of(excluded, version) {
                let typical_wait_ms = self.route.latency_target_ms;
                return Err(self.retryable_refusal(RefusalReason::NoEndpoint, typical_wait_ms));
            }
            let left_ms = entry.left_ms();
            let (reason, wait_ms) = match self.try_place(entry.position, excluded, version) {
                PlaceAttempt::Endpoint(permit) => {
                    let found = self.context.with(|state| {
                        let found = state.endpoints.get(permit.endpoint())?;
                        Some((found.entry.address, found.service_version))
                    });
                    match found {
                        Some((address, version)) => {
                            entry.record_placed();
                            return Ok(ChosenEndpoint { permit, address, version });
                        }
                        None => (RefusalReason::NoEndpoint, left_ms),
                    }
                }
                PlaceAttempt::AtCapacity => {
                    (RefusalReason::NoRoom, self.wait_for_room(&mut entry, excluded, version)?)
                }
                PlaceAttempt::NoEndpoint => (RefusalReason::NoEndpoint, left_ms),
                PlaceAttempt::RateLimited { wait_ms, .. } if wait_ms < left_ms => {
                    (RefusalReason::NoRoom, wait_ms)
                }
                // No endpoint takes the request in time, so waiting would be in vain.
                PlaceAttempt::RateLimited { retry_after_ms, .. } => {
                    return Err(self.retryable_refusal(RefusalReason::NoRoom, retry_after_ms));
                }
            };
            if left_ms == 0 && wait_ms == 0 {
                return Err(self.retryable_refusal(reason, self.route.latency_target_ms));
            }
            let wait_ms = entry.ms_until_other_limits(wait_ms);
            // Both outcomes are handled by the next iteration, which checks the placement and the
            // deadline.
            let wait = timeout(Duration::from_millis(wait_ms), changes.changed());
            drop(wait.await);
        }
    }

    /// Returns the refusal if this VM shuts down and might cut the request. A stream that is bound to a
    /// software `version` has begun, and goes on in any case.
    fn begin_refusal(&self, version: Option<ServiceVersion>) -> Option<Refusal> {
        match version {
            Some(_) => None,
            None => self.shutdown_refusal(),
        }
    }

    /// Returns the requirements that this request places on an endpoint.
    pub(crate) fn placement_request<'a>(
        &'a self,
        excluded_endpoints: &'a BTreeSet<EndpointId>,
        version: Option<ServiceVersion>,
    ) -> PlacementRequest<'a> {
        let waited_ms = boot_now().since(self.arrived_ms);
        let limits = capacity_limits(&self.route, self.features, waited_ms, version.is_some());
        PlacementRequest {
            service: &self.service,
            load: self.load_before_prefill(),
            excluded_endpoints,
            allowed_zones: &self.zones,
            limits,
            version,
            random_value: self.random_value,
        }
    }

    /// Reports whether any endpoint of `version` besides the excluded ones is in service.
    fn has_endpoint_of(
        &self,
        excluded: &BTreeSet<EndpointId>,
        version: Option<ServiceVersion>,
    ) -> bool {
        let demand = self.placement_request(excluded, version);
        self.context
            .with(|state| has_permitted_endpoint(state.fleet(&self.context.settings), demand))
    }

    /// Chooses an endpoint without waiting. Endpoints that take no more requests now, because they
    /// are cold or have named a limit, are passed over.
    fn try_place(
        &self,
        position: QueuePosition,
        excluded: &BTreeSet<EndpointId>,
        version: Option<ServiceVersion>,
    ) -> PlaceAttempt {
        let now = boot_now();
        let mut excluded = excluded.clone();
        let mut limits = LimitedEndpoints::default();
        self.context.with(|state| {
            state.admission_queue.advance(now);
            if !state.admission_queue.may_attempt_placement(position) {
                return PlaceAttempt::AtCapacity;
            }
            loop {
                let demand = self.placement_request(&excluded, version);
                let endpoint =
                    match choose_endpoint(now, state.fleet(&self.context.settings), demand) {
                        Placement::Endpoint(endpoint) => endpoint,
                        Placement::AtCapacity => return PlaceAttempt::AtCapacity,
                        Placement::NoEndpoint if excluded.is_empty() => {
                            return PlaceAttempt::NoEndpoint;
                        }
                        Placement::NoEndpoint => return limits.outcome(),
                    };
                let vm = &self.context.settings.vm;
                match state.acquire_endpoint(now, &endpoint, &self.service, vm) {
                    Ok(permit) => return PlaceAttempt::Endpoint(permit),
                    Err(exhausted) => limits.add(exhausted),
                }
                excluded.insert(endpoint);
            }
        })
    }

    /// Logs the values that led to the choice of `endpoint`.
    fn log_placement(&self, endpoint: &EndpointId) {
        let now = boot_now();
        let (load, suspicion, position) = self.context.with(|state| {
            let suspicion = state.outcomes.suspicion(now, endpoint);
            (state.loads.total(endpoint), suspicion, state.store_copy.position())
        });
        info!(
            request = self.id(),
            fingerprint:% = self.fingerprint,
            endpoint = endpoint.as_str(),
            waited_ms = now.since(self.arrived_ms),
            needs_tokens = self.load().reserved_tokens,
            requests_there = load.requests,
            memory_tokens_there = load.memory_tokens(),
            unread_tokens_there = load.pending_prefill_tokens,
            suspicion,
            store_position:% = position;
            "request placed"
        );
    }
}
