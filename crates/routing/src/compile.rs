//! Converts a configuration in this project's own format into a routing table and endpoint entries.

use crate::endpoints::EndpointEntry;
use crate::table::{
    ConfigVersion, Customer, EngineShape, IngressLimits, Priority, Route, RouteKind, RoutingTable,
    Service, WeightedService,
};
use gypsumchute_config::{
    CallerLimits, Carries, Endpoint, EndpointState, FleetConfig, PathRoute, ZoneState, schema,
};
use gypsumchute_units::ZoneId;
use std::collections::BTreeSet;

/// The parts of a configuration that the daemon uses for routing.
#[derive(Debug, Clone, Default)]
pub struct CompiledConfig {
    /// Routes by host and path, services and API keys.
    pub table: RoutingTable,
    /// Endpoints of services. Endpoints of model and application routes are omitted.
    pub endpoints: Vec<EndpointEntry>,
    /// Drained zones, whose endpoints receive no new requests.
    pub zones_out: BTreeSet<ZoneId>,
}

/// Converts a validated configuration into the form used to match requests.
pub fn compile(config: &FleetConfig) -> CompiledConfig {
    let mut table = RoutingTable::default();
    table.version = ConfigVersion(config.version);
    table.limits = Some(compile_limits(&config.fleet.callers));
    table.needs_key = true;
    table.key_salt = config.fleet.key_salt.clone();
    for service in config.services.values() {
        table.services.insert(service.id.clone(), compile_service(service));
    }
    for route in config.path_routes.values() {
        table.add_route(&route.host, &route.path_prefix, compile_route(route));
    }
    for (hash, holder) in &config.keys {
        let customer = config.customers.get(&holder.customer);
        let priority = customer.and_then(|customer| customer.priority).map(Priority);
        table.add_key(*hash, Customer { id: holder.customer.clone(), priority });
    }
    for zone in config.zones.values() {
        if let Some(region) = &zone.region {
            table.zone_regions.insert(zone.id.clone(), region.clone());
        }
    }
    let drained_zones = config.zones.values().filter(|zone| zone.state == ZoneState::Out);
    CompiledConfig {
        table,
        endpoints: config.endpoints.values().filter_map(compile_endpoint).collect(),
        zones_out: drained_zones.map(|zone| zone.id.clone()).collect(),
    }
}

fn compile_limits(callers: &CallerLimits) -> IngressLimits {
    IngressLimits {
        head_bytes: callers.max_head_bytes,
        body_bytes: callers.max_body_bytes,
        head_timeout_ms: callers.head_timeout_ms,
        idle_timeout_ms: callers.idle_timeout_ms,
    }
}

fn compile_service(service: &schema::Service) -> Service {
    let engine = service.engine.map(|engine| EngineShape {
        memory_tokens: engine.memory_tokens,
        tokens_per_event: engine.tokens_per_event,
        copies_runs: engine.copies_runs,
        keeps_backups: engine.keeps_backups,
    });
    Service { id: service.id.clone(), cold_per_s: service.cold_per_s, engine }
}

fn compile_route(route: &PathRoute) -> Route {
    let weighted = route.services.iter();
    let services = weighted
        .map(|entry| WeightedService { service: entry.service.clone(), weight: entry.weight });
    Route {
        id: route.id.clone(),
        kind: match route.carries {
            Carries::Idempotent => RouteKind::Idempotent,
            Carries::NonIdempotent => RouteKind::NonIdempotent,
            Carries::Generations => RouteKind::Generation { resumable: false },
            Carries::ResumableGenerations => RouteKind::Generation { resumable: true },
        },
        answer_timeout_ms: route.answer_timeout_ms,
        target_ms: route.target_ms,
        pause_target_ms: route.pause_target_ms,
        priority: Priority(route.priority),
        max_endpoints: route.max_endpoints,
        open: route.open,
        services: services.collect(),
        regions: route.regions.iter().cloned().collect(),
    }
}

/// Converts an endpoint. Returns `None` if the endpoint belongs to no service.
fn compile_endpoint(endpoint: &Endpoint) -> Option<EndpointEntry> {
    Some(EndpointEntry {
        id: endpoint.id.clone(),
        service: endpoint.service.clone()?,
        address: endpoint.address,
        zone: endpoint.zone.clone(),
        slots: endpoint.warm_limit,
        leaving: endpoint.state == EndpointState::Leaving,
        // A configuration folder does not contain the start time of an endpoint.
        warmup_left_ms: 0,
        started_wall_ms: None,
    })
}
