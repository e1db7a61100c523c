//! Chooses the endpoint that serves a request and the engine that holds the KV cache backup of a
//! generation.
//!
//! Handles four load patterns:
//!
//! - Many VMs choose an endpoint before they receive each other's load reports.
//! - Several long prompts reach one engine at the same time.
//! - Long generations of unknown length fill an engine's memory while they produce output.
//! - A network partition separates one zone from the others.
//!
//! The load of a generation therefore includes the memory that it is expected to occupy at its end,
//! and requests stay in the local zone while that zone has capacity.

use crate::endpoints::{Endpoint, EndpointTable};
use crate::headroom::{CapacityLimits, PrefillLimit};
use crate::load::{Load, LoadTable};
use crate::outcomes::OutlierDetector;
use crate::stream_versions::{ServiceVersion, StreamKey};
use crate::table::{EngineProperties, RouteKind, Service};
use gypsumchute_units::rendezvous::rank_candidates;
use gypsumchute_units::{BootMs, EndpointId, ZoneId};
use std::collections::BTreeSet;
use strum::{Display, IntoStaticStr};

/// Maximum fraction of an engine's memory in use after it accepts a backup. A fuller engine needs
/// the memory for its own generations: a backup that causes a preemption costs more than the few
/// generations that backups save.
const MAX_BACKUP_MEMORY_FRACTION: f64 = 0.45;
/// Maximum mean fraction of memory in use, over all engines of the service, at which backups are
/// made. Above it, the engines with free memory are needed for the next generations.
const MAX_MEAN_MEMORY_FRACTION_FOR_BACKUPS: f64 = 0.35;
/// Minimum expected output at which a resumable generation gets a backup, in tokens. An output of
/// this length takes a second or more.
const LONG_OUTPUT_TOKENS: u64 = 128;
/// Cost of an endpoint outside the local zone, as a fraction of an endpoint's capacity.
const CROSS_ZONE_COST: f64 = 0.20;
/// Cost of an endpoint whose load this VM receives with a delay, as a fraction of the endpoint's
/// capacity. It roughly equals the load of one prompt that may have arrived since the last report.
const DELAYED_LOAD_COST: f64 = 0.6;
/// Cost of an endpoint in an unreachable zone, as a fraction of an endpoint's capacity. It exceeds
/// the other costs, so that these endpoints rank last.
const UNREACHABLE_ZONE_COST: f64 = 4.0;
/// Weight of the prefill tokens pending at an engine, relative to memory in use. A pending prefill
/// delays later requests at once, whereas memory in use delays them only when the memory is full.
const PENDING_PREFILL_WEIGHT: f64 = 2.0;
/// Cost per unit of suspicion, as a fraction of an endpoint's capacity. One recent failure is one
/// unit.
const SUSPICION_WEIGHT: f64 = 0.8;
/// Cost of an endpoint during the cold start, as a fraction of the endpoint's capacity.
const COLD_COST: f64 = 0.3;
/// Upper bound of the pseudorandom cost that spreads similar requests over similarly loaded
/// endpoints, as a fraction of an endpoint's capacity.
const MAX_TIE_BREAK_COST: f64 = 0.02;
/// Maximum number of requests in flight or queued at an endpoint of a plain service, as a multiple
/// of the endpoint's slots.
const MAX_REQUESTS_PER_SLOT: u32 = 2;

/// The fleet state that placement decisions are based on, as known to this VM.
#[derive(Debug, Clone, Copy)]
pub struct FleetView<'a> {
    /// All known endpoints.
    pub endpoints: &'a EndpointTable,
    /// Known load of each endpoint.
    pub loads: &'a LoadTable,
    /// Failure history of each endpoint.
    pub outcomes: &'a OutlierDetector,
    /// Zone of this VM.
    pub local_zone: &'a ZoneId,
    /// Whether `loads` is complete for endpoints in other zones. In a large fleet, `loads` lacks
    /// the requests that VMs of other zones send to those endpoints.
    pub has_all_zone_loads: bool,
    /// Zones that this VM appears to be partitioned from.
    pub unreachable_zones: &'a BTreeSet<ZoneId>,
    /// Endpoints whose load this VM receives with a delay, because this VM is not one of the
    /// preferred senders.
    pub delayed_load_endpoints: &'a BTreeSet<EndpointId>,
}

impl FleetView<'_> {
    /// Reports whether `loads` covers all requests in flight at `endpoint`.
    fn load_is_complete(&self, endpoint: &Endpoint) -> bool {
        self.has_all_zone_loads || endpoint.entry.zone == *self.local_zone
    }
}

/// A request to be placed on an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Service that the request is for.
    pub service: &'a Service,
    /// Load that the request adds to an endpoint.
    pub load: Load,
    /// Endpoints that the request must not be sent to.
    pub excluded_endpoints: &'a BTreeSet<EndpointId>,
    /// Zones in which the request may run. An empty set allows all zones.
    pub allowed_zones: &'a BTreeSet<ZoneId>,
    /// How far the request may fill an engine.
    pub limits: CapacityLimits,
    /// Software version that the request is bound to, if a part of its stream has been written.
    pub version: Option<ServiceVersion>,
    /// Random number of the request, which spreads similar requests over endpoints.
    pub random_value: u64,
}

impl PlacementRequest<'_> {
    /// Reports whether the request may be sent to `endpoint`, regardless of load and version.
    fn allows(&self, endpoint: &Endpoint) -> bool {
        let zone_fits =
            self.allowed_zones.is_empty() || self.allowed_zones.contains(&endpoint.entry.zone);
        zone_fits && !self.excluded_endpoints.contains(&endpoint.entry.id)
    }
}

/// Result of a placement decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// The request goes to this endpoint.
    Endpoint(EndpointId),
    /// All permitted endpoints are at capacity; the request may wait for one to free up.
    AtCapacity,
    /// No endpoint of the service both accepts new requests and is permitted for this request.
    NoEndpoint,
}

/// Capacity that a request lacks at the endpoints that come closest to having room for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CapacityShortage {
    /// Slots.
    Slots,
    /// Memory.
    Memory,
    /// Memory or slots, which are left for urgent generations.
    Headroom,
    /// Time for prefill: the prompts that are pending would delay an urgent generation.
    Prefill,
}

/// Returns what the request lacks. `None` if an endpoint has room for it.
pub fn capacity_shortage(
    fleet: FleetView<'_>,
    request: PlacementRequest<'_>,
) -> Option<CapacityShortage> {
    let candidates = fleet.endpoints.candidates(&request.service.id, request.version);
    let permitted: Vec<_> = candidates.into_iter().filter(|e| request.allows(e)).collect();
    if !fitting_endpoints(fleet, request, permitted.clone()).is_empty() {
        return None;
    }
    let full = PlacementRequest { limits: CapacityLimits::default(), ..request };
    let shortage = |endpoint: &Endpoint| {
        let requests = fleet.loads.total(&endpoint.entry.id).requests + request.load.requests;
        match requests <= full.limits.max_requests(endpoint.entry.slots) {
            _ if fits(fleet, request, endpoint) => CapacityShortage::Prefill,
            _ if fits(fleet, full, endpoint) => CapacityShortage::Headroom,
            true => CapacityShortage::Memory,
            false => CapacityShortage::Slots,
        }
    };
    let shortages = permitted.into_iter().map(shortage);
    Some(shortages.max().unwrap_or(CapacityShortage::Slots))
}

/// Reports whether any endpoint may serve the request, now or once it has room.
pub fn has_permitted_endpoint(fleet: FleetView<'_>, request: PlacementRequest<'_>) -> bool {
    let candidates = fleet.endpoints.candidates(&request.service.id, request.version);
    candidates.into_iter().any(|endpoint| request.allows(endpoint))
}

/// Chooses the endpoint with the lowest cost among those with enough capacity for the request.
pub fn choose_endpoint(
    now: BootMs,
    fleet: FleetView<'_>,
    request: PlacementRequest<'_>,
) -> Placement {
    let candidates = fleet.endpoints.candidates(&request.service.id, request.version);
    let permitted: Vec<_> = candidates.into_iter().filter(|e| request.allows(e)).collect();
    if permitted.is_empty() {
        return Placement::NoEndpoint;
    }
    let unreported = estimate_unreported_load(fleet, request, &permitted);
    let fitting = fitting_endpoints(fleet, request, permitted);
    let costs = fitting.into_iter().map(|endpoint| {
        let unreported = if fleet.load_is_complete(endpoint) { 0.0 } else { unreported };
        (unreported + cost(now, fleet, request, endpoint), endpoint)
    });
    match costs.min_by(|a, b| a.0.total_cmp(&b.0)) {
        Some((_, endpoint)) => Placement::Endpoint(endpoint.entry.id.clone()),
        None => Placement::AtCapacity,
    }
}

/// Reports whether a generation should have a KV cache backup. A short generation that may be
/// restarted elsewhere loses little without a backup, so the memory is left to generations that
/// could not be recovered otherwise.
pub fn needs_backup(kind: RouteKind, expected_output_tokens: u64) -> bool {
    match kind {
        RouteKind::Generation { resumable: false } => true,
        RouteKind::Generation { resumable: true } => expected_output_tokens >= LONG_OUTPUT_TOKENS,
        RouteKind::Idempotent | RouteKind::NonIdempotent => false,
    }
}

/// Chooses the engine that a generation migrates to when `current_engine` is about to shut down.
///
/// Engines in the zone of `current_engine` are preferred: a copy to another zone takes twice as
/// long, on a network link that all generations of `current_engine` share.
pub fn choose_migration_target(
    now: BootMs,
    fleet: FleetView<'_>,
    request: PlacementRequest<'_>,
    current_engine: &EndpointId,
) -> Placement {
    let Some(current_zone) =
        fleet.endpoints.get(current_engine).map(|endpoint| &endpoint.entry.zone)
    else {
        return choose_endpoint(now, fleet, request);
    };
    let other_zones = fleet.endpoints.iter().filter(|e| e.entry.zone != *current_zone);
    let other_zones = other_zones.map(|endpoint| endpoint.entry.id.clone());
    let avoid: BTreeSet<_> =
        request.excluded_endpoints.iter().cloned().chain(other_zones).collect();
    let current_zone_fleet = FleetView { local_zone: current_zone, ..fleet };
    match choose_endpoint(
        now,
        current_zone_fleet,
        PlacementRequest { excluded_endpoints: &avoid, ..request },
    ) {
        Placement::Endpoint(endpoint) => Placement::Endpoint(endpoint),
        Placement::AtCapacity | Placement::NoEndpoint => {
            choose_endpoint(now, current_zone_fleet, request)
        }
    }
}

/// Returns up to `count` engines that may hold the backup of `stream` if it ran at `request.version`,
/// the most likely one first.
pub fn likely_backup_engines(
    fleet: FleetView<'_>,
    request: PlacementRequest<'_>,
    stream: StreamKey,
    count: usize,
) -> Vec<EndpointId> {
    let candidates = fleet.endpoints.candidates(&request.service.id, request.version);
    let permitted = candidates.into_iter().filter(|endpoint| request.allows(endpoint));
    let known = permitted.filter(|endpoint| fleet.load_is_complete(endpoint));
    let ids: Vec<_> = known.map(|endpoint| &endpoint.entry.id).collect();
    let ranked = rank_candidates(&stream.0.to_string(), ids.into_iter());
    ranked.into_iter().take(count).cloned().collect()
}

/// Chooses the engine that will hold the backup of a generation running on `current_engine`.
///
/// If `resumable_stream` is set, the caller may resume the generation at a VM that knows nothing of
/// it. The engine is then chosen by rendezvous hashing among the suitable ones, so that such a VM
/// can find it, see [`likely_backup_engines`].
///
/// Returns `None` if the engines of the service do not support backups, if their mean memory in use
/// exceeds `MAX_MEAN_MEMORY_FRACTION_FOR_BACKUPS`, or if no suitable engine has enough spare
/// memory. A suitable engine is another engine that the request permits, in a reachable zone, with
/// a completely known load and with a suspicion below 0.5.
pub fn choose_backup_engine(
    now: BootMs,
    fleet: FleetView<'_>,
    request: PlacementRequest<'_>,
    current_engine: &EndpointId,
    resumable_stream: Option<StreamKey>,
) -> Option<EndpointId> {
    let engine = request.service.engine.filter(|engine| engine.supports_kv_backup)?;
    let all = fleet.endpoints.candidates(&request.service.id, None);
    if mean_memory_fraction(fleet, engine, &all) > MAX_MEAN_MEMORY_FRACTION_FOR_BACKUPS {
        return None;
    }
    let current_zone = fleet.endpoints.get(current_engine).map(|endpoint| &endpoint.entry.zone);
    let has_spare_memory = |endpoint: &&Endpoint| {
        let memory_after =
            fleet.loads.total(&endpoint.entry.id).memory_tokens() + request.load.reserved_tokens;
        let is_trusted = fleet.outcomes.suspicion(now, &endpoint.entry.id) < 0.5;
        is_trusted
            && memory_after as f64 <= engine.kv_cache_tokens as f64 * MAX_BACKUP_MEMORY_FRACTION
    };
    let candidates = fleet.endpoints.candidates(&request.service.id, request.version);
    let others = candidates
        .into_iter()
        .filter(|endpoint| endpoint.entry.id != *current_engine)
        .filter(|endpoint| fleet.load_is_complete(endpoint))
        .filter(|endpoint| !fleet.unreachable_zones.contains(&endpoint.entry.zone))
        .filter(|endpoint| request.allows(endpoint));
    let suitable = others.filter(has_spare_memory);
    if let Some(stream) = resumable_stream {
        let ids: Vec<_> = suitable.map(|endpoint| &endpoint.entry.id).collect();
        let ranked = rank_candidates(&stream.0.to_string(), ids.into_iter());
        return ranked.first().map(|id| (*id).clone());
    }
    let costs = suitable.map(|endpoint| {
        let zone_cost = match Some(&endpoint.entry.zone) == current_zone {
            true => 0.0,
            false => CROSS_ZONE_COST,
        };
        let memory_cost = memory_fraction(engine, fleet.loads.total(&endpoint.entry.id));
        (
            memory_cost + zone_cost + tie_break_cost(request.random_value, &endpoint.entry.id),
            endpoint,
        )
    });
    let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, endpoint)| endpoint.entry.id.clone())
}

/// Returns the endpoints of `permitted` that have enough capacity for the request.
fn fitting_endpoints<'a>(
    fleet: FleetView<'_>,
    request: PlacementRequest<'_>,
    permitted: Vec<&'a Endpoint>,
) -> Vec<&'a Endpoint> {
    let prefill = request.limits.prefill;
    let unreported = match prefill {
        PrefillLimit::Unlimited => 0,
        _ => estimate_unreported_prefill(fleet, &permitted),
    };
    let pending = |endpoint: &Endpoint| {
        let known = fleet.loads.total(&endpoint.entry.id).pending_prefill_tokens;
        known + if fleet.load_is_complete(endpoint) { 0 } else { unreported }
    };
    let fitting: Vec<_> =
        permitted.into_iter().filter(|endpoint| fits(fleet, request, endpoint)).collect();
    let prompt_tokens = request.load.pending_prefill_tokens;
    let within_limit = |endpoint: &&Endpoint| prefill.allows(pending(endpoint), prompt_tokens);
    let starting_in_time: Vec<_> = fitting.iter().copied().filter(within_limit).collect();
    match prefill {
        PrefillLimit::Preferred { .. } if starting_in_time.is_empty() => {
            let least = fitting.iter().map(|endpoint| pending(endpoint)).min().unwrap_or_default();
            fitting.into_iter().filter(|endpoint| pending(endpoint) == least).collect()
        }
        _ => starting_in_time,
    }
}

/// Reports whether `endpoint` has enough memory and slots for the request. The headroom does not apply
/// at an engine without requests, so that a large request is placed somewhere.
fn fits(fleet: FleetView<'_>, request: PlacementRequest<'_>, endpoint: &Endpoint) -> bool {
    let present = fleet.loads.total(&endpoint.entry.id);
    let mut load = present;
    load += request.load;
    let limits = match present.requests {
        0 => CapacityLimits::default(),
        _ => request.limits,
    };
    match request.service.engine {
        Some(engine) => {
            load.requests <= limits.max_requests(endpoint.entry.slots)
                && memory_fraction(engine, load) <= limits.max_memory_fraction
        }
        None => load.requests <= endpoint.entry.slots.saturating_mul(MAX_REQUESTS_PER_SLOT),
    }
}

/// Estimates the pending prefill of an endpoint that is missing from `fleet.loads`, in tokens: the
/// mean of the candidates in the local zone.
fn estimate_unreported_prefill(fleet: FleetView<'_>, candidates: &[&Endpoint]) -> u64 {
    let local = candidates.iter().filter(|endpoint| endpoint.entry.zone == *fleet.local_zone);
    let pending = local.map(|e| fleet.loads.total(&e.entry.id).pending_prefill_tokens);
    let pending: Vec<u64> = pending.collect();
    pending.iter().sum::<u64>() / pending.len().max(1) as u64
}

/// Estimates the load of an endpoint that is missing from `fleet.loads`, as a fraction of the
/// endpoint's capacity. The estimate is the mean load of the candidates in the local zone.
fn estimate_unreported_load(
    fleet: FleetView<'_>,
    request: PlacementRequest<'_>,
    candidates: &[&Endpoint],
) -> f64 {
    let local = candidates.iter().filter(|endpoint| endpoint.entry.zone == *fleet.local_zone);
    let loads: Vec<f64> = local.map(|endpoint| load_fraction(fleet, request, endpoint)).collect();
    loads.iter().sum::<f64>() / loads.len().max(1) as f64
}

/// Returns the load of an endpoint as a fraction of its capacity, including weighted pending
/// prefill.
fn load_fraction(fleet: FleetView<'_>, request: PlacementRequest<'_>, endpoint: &Endpoint) -> f64 {
    let load = fleet.loads.total(&endpoint.entry.id);
    let slots_used = f64::from(load.requests) / f64::from(endpoint.entry.slots.max(1));
    let Some(engine) = request.service.engine else { return slots_used };
    let prefill_fraction =
        load.pending_prefill_tokens as f64 / engine.kv_cache_tokens.max(1) as f64;
    slots_used.max(memory_fraction(engine, load)) + PENDING_PREFILL_WEIGHT * prefill_fraction
}

/// Returns the cost of placing the request on `endpoint`, as a fraction of the endpoint's capacity
/// and without the estimate of unreported load.
fn cost(
    now: BootMs,
    fleet: FleetView<'_>,
    request: PlacementRequest<'_>,
    endpoint: &Endpoint,
) -> f64 {
    let id = &endpoint.entry.id;
    let load_cost = load_fraction(fleet, request, endpoint);
    let zone_cost = match endpoint.entry.zone == *fleet.local_zone {
        true => 0.0,
        false => CROSS_ZONE_COST,
    };
    let partition_cost = match fleet.unreachable_zones.contains(&endpoint.entry.zone) {
        true => UNREACHABLE_ZONE_COST,
        false => 0.0,
    };
    let delay_cost = match fleet.delayed_load_endpoints.contains(id) {
        true => DELAYED_LOAD_COST,
        false => 0.0,
    };
    let cold_cost = match endpoint.cold_until_ms > now {
        true => COLD_COST,
        false => 0.0,
    };
    let suspicion_cost = SUSPICION_WEIGHT * fleet.outcomes.suspicion(now, id);
    load_cost
        + zone_cost
        + delay_cost
        + partition_cost
        + cold_cost
        + suspicion_cost
        + tie_break_cost(request.random_value, id)
}

/// Returns the mean fraction of memory in use, over the candidates whose load is fully known.
fn mean_memory_fraction(
    fleet: FleetView<'_>,
    engine: EngineProperties,
    candidates: &[&Endpoint],
) -> f64 {
    let fully_known = candidates.iter().filter(|endpoint| fleet.load_is_complete(endpoint));
    let fractions =
        fully_known.map(|endpoint| memory_fraction(engine, fleet.loads.total(&endpoint.entry.id)));
    let fractions: Vec<f64> = fractions.collect();
    fractions.iter().sum::<f64>() / fractions.len().max(1) as f64
}

/// Returns the engine memory that `load` occupies, as a fraction of the total.
fn memory_fraction(engine: EngineProperties, load: Load) -> f64 {
    load.memory_tokens() as f64 / engine.kv_cache_tokens.max(1) as f64
}

/// Returns a small cost derived by a hash from the request's random number and the endpoint id.
fn tie_break_cost(random_value: u64, id: &EndpointId) -> f64 {
    let mixed = id.as_str().bytes().fold(random_value, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    (mixed >> 40) as f64 / (1u64 << 24) as f64 * MAX_TIE_BREAK_COST
}
