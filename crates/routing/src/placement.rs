//! Which endpoint gets a request, and which one keeps a copy of a generation's memory.
//!
//! Answers the patterns "many VMs choose before they hear of each other", "several long prompts meet at one engine", "long generations of unknown length fill an engine's memory in the middle
//! of their output" and "a zone's link to the others breaks": memory is counted as it will be
//! needed at the end, and a request stays in its own zone while that has room.

use crate::endpoints::{Endpoint, Endpoints};
use crate::load::{Load, Loads};
use crate::outcomes::Outcomes;
use crate::table::{EngineShape, RouteKind, Service};
use gypsumchute_units::{BootMs, EndpointId, ZoneId};
use std::collections::BTreeSet;

/// Part of an engine's memory that may be promised to runs. Forecasts err to both sides; beyond
/// it runs start to throw each other out.
const FILL: f64 = 0.92;
/// Part of an engine's memory up to which backups of runs elsewhere are taken in. Fuller engines
/// need it for runs: a backup that pushes a run out costs more than the few runs that it saves.
const BACKUP_FILL: f64 = 0.45;
/// Mean part of all engines' memory up to which there are backups. Beyond it the empty engines are
/// those that the next runs need.
const BACKUP_MEAN: f64 = 0.35;
/// Outputs from here on are long: they take a second and more.
const LONG_OUTPUT_TOKENS: u64 = 128;
/// Cost of leaving the own zone, as a part of an endpoint's load.
const OTHER_ZONE_COST: f64 = 0.20;
/// Cost of an endpoint whose load is heard late: about that of a prompt that may have come since.
const HEARD_LATE_COST: f64 = 0.6;
/// Cost of a zone that seems cut off: its endpoints come after all others.
const SILENT_ZONE_COST: f64 = 4.0;
/// Cost of prompts that an engine has yet to read, against that of memory that is taken: a prompt
/// delays those that come after it at once, memory only once it is full.
const UNREAD_COST: f64 = 2.0;
/// Cost of one fresh failure, as a part of an endpoint's load.
const SUSPICION_COST: f64 = 0.8;
/// Cost of a cold endpoint, as a part of its load.
const COLD_COST: f64 = 0.3;
/// Largest cost by which requests that are alike are spread.
const SPREAD: f64 = 0.02;
/// Requests that may wait at a plain service, as a multiple of those it works on.
const SERVICE_QUEUE: u32 = 2;

/// What has to be known to place a request.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// Endpoints in service.
    pub endpoints: &'a Endpoints,
    /// What runs there.
    pub loads: &'a Loads,
    /// How they behaved.
    pub outcomes: &'a Outcomes,
    /// The zone of this VM.
    pub home: &'a ZoneId,
    /// Whether the loads tell what VMs of other zones sent. In a large fleet they don't.
    pub sees_all_zones: bool,
    /// Zones that this VM seems to be cut off from.
    pub silent_zones: &'a BTreeSet<ZoneId>,
    /// Endpoints whose load this VM hears of with some delay only; others send there first.
    pub heard_late: &'a BTreeSet<EndpointId>,
}

impl Fleet<'_> {
    /// Whether all that runs at `endpoint` is known.
    fn sees(&self, endpoint: &Endpoint) -> bool {
        self.sees_all_zones || endpoint.entry.zone == *self.home
    }
}

/// A request that looks for an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// The service it is for.
    pub service: &'a Service,
    /// What it will need.
    pub load: Load,
    /// Endpoints that it must not go to.
    pub avoid: &'a BTreeSet<EndpointId>,
    /// Zones in which it may run; none named means all.
    pub zones: &'a BTreeSet<ZoneId>,
    /// A number that differs between requests, to spread those that are alike.
    pub draw: u64,
}

impl Demand<'_> {
    /// Whether it may go to `endpoint` at all.
    fn allows(&self, endpoint: &Endpoint) -> bool {
        let zone_fits = self.zones.is_empty() || self.zones.contains(&endpoint.entry.zone);
        zone_fits && !self.avoid.contains(&endpoint.entry.id)
    }
}

/// Where a request may go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// To this endpoint.
    At(EndpointId),
    /// All endpoints are full; one may become free.
    Full,
    /// No endpoint of the service is in service.
    Nowhere,
}

/// Chooses an endpoint.
pub fn place(now: BootMs, fleet: Fleet<'_>, demand: Demand<'_>) -> Placement {
    let candidates = fleet.endpoints.candidates(&demand.service.id);
    let open: Vec<_> = candidates.into_iter().filter(|e| demand.allows(e)).collect();
    if open.is_empty() {
        return Placement::Nowhere;
    }
    let unseen = unseen_load(fleet, demand, &open);
    let fitting = open.into_iter().filter(|endpoint| fits(fleet, demand, endpoint));
    let costs = fitting.map(|endpoint| {
        let unseen = if fleet.sees(endpoint) { 0.0 } else { unseen };
        (unseen + cost(now, fleet, demand, endpoint), endpoint)
    });
    match costs.min_by(|a, b| a.0.total_cmp(&b.0)) {
        Some((_, endpoint)) => Placement::At(endpoint.entry.id.clone()),
        None => Placement::Full,
    }
}

/// Whether a generation is worth a backup: one that may run anew elsewhere and is short is served
/// as well without, and leaves the memory to those that would be lost.
pub fn deserves_backup(kind: RouteKind, expected_output_tokens: u64) -> bool {
    match kind {
        RouteKind::Generation { resumable: false } => true,
        RouteKind::Generation { resumable: true } => expected_output_tokens >= LONG_OUTPUT_TOKENS,
        RouteKind::Idempotent | RouteKind::NonIdempotent => false,
    }
}

/// Chooses an engine that takes a run in from `run_at`, which leaves: one of its zone if any has
/// room, since copies between zones take twice the time on a link that all of its runs need.
pub fn place_copy(
    now: BootMs,
    fleet: Fleet<'_>,
    demand: Demand<'_>,
    run_at: &EndpointId,
) -> Placement {
    let Some(run_zone) = fleet.endpoints.get(run_at).map(|endpoint| &endpoint.entry.zone) else {
        return place(now, fleet, demand);
    };
    let elsewhere = fleet.endpoints.iter().filter(|e| e.entry.zone != *run_zone);
    let elsewhere = elsewhere.map(|endpoint| endpoint.entry.id.clone());
    let avoid: BTreeSet<_> = demand.avoid.iter().cloned().chain(elsewhere).collect();
    let near = Fleet { home: run_zone, ..fleet };
    match place(now, near, Demand { avoid: &avoid, ..demand }) {
        Placement::At(endpoint) => Placement::At(endpoint),
        Placement::Full | Placement::Nowhere => place(now, near, demand),
    }
}

/// Chooses an engine that keeps a backup of a run at `run_at`, if one has memory to spare.
pub fn place_backup(
    now: BootMs,
    fleet: Fleet<'_>,
    demand: Demand<'_>,
    run_at: &EndpointId,
) -> Option<EndpointId> {
    let shape = demand.service.engine.filter(|shape| shape.keeps_backups)?;
    let candidates = fleet.endpoints.candidates(&demand.service.id);
    if mean_memory_part(fleet, shape, &candidates) > BACKUP_MEAN {
        return None;
    }
    let run_zone = fleet.endpoints.get(run_at).map(|endpoint| &endpoint.entry.zone);
    let spare = |endpoint: &&Endpoint| {
        let after = fleet.loads.at(&endpoint.entry.id).memory_tokens() + demand.load.tokens;
        let fresh = fleet.outcomes.suspicion(now, &endpoint.entry.id) < 0.5;
        fresh && after as f64 <= shape.memory_tokens as f64 * BACKUP_FILL
    };
    let others = candidates
        .into_iter()
        .filter(|endpoint| endpoint.entry.id != *run_at)
        .filter(|endpoint| fleet.sees(endpoint))
        .filter(|endpoint| !fleet.silent_zones.contains(&endpoint.entry.zone))
        .filter(|endpoint| demand.allows(endpoint));
    let costs = others.filter(spare).map(|endpoint| {
        let zone_cost = match Some(&endpoint.entry.zone) == run_zone {
            true => 0.0,
            false => OTHER_ZONE_COST,
        };
        let memory = memory_part(shape, fleet.loads.at(&endpoint.entry.id));
        (memory + zone_cost + spread(demand.draw, &endpoint.entry.id), endpoint)
    });
    let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, endpoint)| endpoint.entry.id.clone())
}

fn fits(fleet: Fleet<'_>, demand: Demand<'_>, endpoint: &Endpoint) -> bool {
    let mut load = fleet.loads.at(&endpoint.entry.id);
    load += demand.load;
    match demand.service.engine {
        Some(shape) => load.requests <= endpoint.entry.slots && memory_part(shape, load) <= FILL,
        None => load.requests <= endpoint.entry.slots * SERVICE_QUEUE,
    }
}

/// What endpoints are taken to carry that this VM can't see: as much as those of its own zone do
/// on average.
fn unseen_load(fleet: Fleet<'_>, demand: Demand<'_>, candidates: &[&Endpoint]) -> f64 {
    let home = candidates.iter().filter(|endpoint| endpoint.entry.zone == *fleet.home);
    let loads: Vec<f64> = home.map(|endpoint| load_part(fleet, demand, endpoint)).collect();
    loads.iter().sum::<f64>() / loads.len().max(1) as f64
}

/// The part of an endpoint that is taken.
fn load_part(fleet: Fleet<'_>, demand: Demand<'_>, endpoint: &Endpoint) -> f64 {
    let load = fleet.loads.at(&endpoint.entry.id);
    let slots = f64::from(load.requests) / f64::from(endpoint.entry.slots.max(1));
    let Some(shape) = demand.service.engine else { return slots };
    let unread = load.unread_tokens as f64 / shape.memory_tokens.max(1) as f64;
    slots.max(memory_part(shape, load)) + UNREAD_COST * unread
}

fn cost(now: BootMs, fleet: Fleet<'_>, demand: Demand<'_>, endpoint: &Endpoint) -> f64 {
    let id = &endpoint.entry.id;
    let full = load_part(fleet, demand, endpoint);
    let zone_cost = match endpoint.entry.zone == *fleet.home {
        true => 0.0,
        false => OTHER_ZONE_COST,
    };
    let silent_cost = match fleet.silent_zones.contains(&endpoint.entry.zone) {
        true => SILENT_ZONE_COST,
        false => 0.0,
    };
    let late_cost = match fleet.heard_late.contains(id) {
        true => HEARD_LATE_COST,
        false => 0.0,
    };
    let cold_cost = match endpoint.cold_until_ms > now {
        true => COLD_COST,
        false => 0.0,
    };
    let suspicion = SUSPICION_COST * fleet.outcomes.suspicion(now, id);
    full + zone_cost + late_cost + silent_cost + cold_cost + suspicion + spread(demand.draw, id)
}

/// The mean part of memory that is taken at the endpoints whose load is seen.
fn mean_memory_part(fleet: Fleet<'_>, shape: EngineShape, candidates: &[&Endpoint]) -> f64 {
    let seen = candidates.iter().filter(|endpoint| fleet.sees(endpoint));
    let parts = seen.map(|endpoint| memory_part(shape, fleet.loads.at(&endpoint.entry.id)));
    let parts: Vec<f64> = parts.collect();
    parts.iter().sum::<f64>() / parts.len().max(1) as f64
}

fn memory_part(shape: EngineShape, load: Load) -> f64 {
    load.memory_tokens() as f64 / shape.memory_tokens.max(1) as f64
}

/// A small cost that differs by request and endpoint.
fn spread(draw: u64, id: &EndpointId) -> f64 {
    let mixed = id
        .as_str()
        .bytes()
        .fold(draw, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3));
    (mixed >> 40) as f64 / (1u64 << 24) as f64 * SPREAD
}
