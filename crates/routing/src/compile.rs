//! Converts a configuration in this project's own format into a routing table and endpoint entries.

use crate::endpoints::EndpointEntry;
use crate::table::{
    ConfigVersion, Customer, EngineProperties, IngressLimits, Priority, Route, RouteKind,
    RoutingTable, Service, WeightedService,
};
use gypsumchute_config::{
    CallerLimits, Endpoint, EndpointState, FleetConfig, PathRoute, TrafficKind, ZoneState, schema,
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
    pub drained_zones: BTreeSet<ZoneId>,
}

/// Converts a validated configuration into the form used to match requests.
pub fn compile_config(config: &FleetConfig) -> CompiledConfig {
    let mut table = RoutingTable::default();
    table.version = ConfigVersion(config.version);
    table.ingress_limits = Some(compile_limits(&config.fleet.callers));
    table.requires_api_key = true;
    table.key_salt = config.fleet.key_salt.clone();
    for service in config.services.values() {
        table.services.insert(service.id.clone(), compile_service(service));
    }
    for route in config.path_routes.values() {
        table.add_route(&route.host, &route.path_prefix, compile_route(route));
    }
    for (hash, holder) in &config.key_owners {
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
        drained_zones: drained_zones.map(|zone| zone.id.clone()).collect(),
    }
}

fn compile_limits(callers: &CallerLimits) -> IngressLimits {
    IngressLimits {
        max_head_bytes: callers.max_head_bytes,
        max_body_bytes: callers.max_body_bytes,
        head_timeout_ms: callers.head_timeout_ms,
        idle_timeout_ms: callers.idle_timeout_ms,
    }
}

fn compile_service(service: &schema::Service) -> Service {
    let engine = service.engine.map(|engine| EngineProperties {
        kv_cache_tokens: engine.memory_tokens,
        tokens_per_event: engine.tokens_per_event,
        supports_kv_copy: engine.copies_runs,
        supports_kv_backup: engine.keeps_backups,
    });
    Service { id: service.id.clone(), cold_start_rate_per_s: service.cold_per_s, engine }
}

fn compile_route(route: &PathRoute) -> Route {
    let weighted = route.services.iter();
    let services = weighted
        .map(|entry| WeightedService { service: entry.service.clone(), weight: entry.weight });
    Route {
        id: route.id.clone(),
        kind: match route.carries {
            TrafficKind::Idempotent => RouteKind::Idempotent,
            TrafficKind::NonIdempotent => RouteKind::NonIdempotent,
            TrafficKind::Generations => RouteKind::Generation { resumable: false },
            TrafficKind::ResumableGenerations => RouteKind::Generation { resumable: true },
        },
        response_timeout_ms: route.answer_timeout_ms,
        latency_target_ms: route.target_ms,
        inter_event_target_ms: route.pause_target_ms,
        priority: Priority(route.priority),
        max_endpoints: route.max_endpoints,
        allows_anonymous: route.open,
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
        terminating: endpoint.state == EndpointState::Leaving,
        // A configuration folder does not contain the start time of an endpoint.
        warmup_remaining_ms: 0,
        started_wall_ms: None,
        version: None,
    })
}
