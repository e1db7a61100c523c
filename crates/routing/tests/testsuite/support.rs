//! Fixtures: endpoints, loads, services and a fleet state.

use gypsumchute_routing::load::{Load, Loads};
use gypsumchute_routing::outcomes::Outcomes;
use gypsumchute_routing::placement::{Demand, Fleet};
use gypsumchute_routing::{EndpointEntry, Endpoints, EngineShape, Service};
use gypsumchute_units::{BootMs, EndpointId, ZoneId};
use std::collections::BTreeSet;
use std::net::SocketAddr;

pub const NOW: BootMs = BootMs(100_000);
pub const MEMORY_TOKENS: u64 = 30_000;

pub fn endpoint_id(name: &str) -> EndpointId {
    name.parse().expect("valid id")
}

pub fn entry(name: &str, zone: &str) -> EndpointEntry {
    EndpointEntry {
        id: endpoint_id(name),
        service: "engines".parse().expect("valid id"),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: zone.parse().expect("valid id"),
        slots: 8,
        leaving: false,
        warmup_left_ms: 0,
        started_wall_ms: None,
    }
}

pub fn engine_service() -> Service {
    Service {
        id: "engines".parse().expect("valid id"),
        cold_per_s: 20.0,
        engine: Some(EngineShape {
            memory_tokens: MEMORY_TOKENS,
            tokens_per_event: 4,
            copies_runs: true,
            keeps_backups: true,
        }),
    }
}

pub fn plain_service() -> Service {
    Service { engine: None, ..engine_service() }
}

pub fn generation_load(tokens: u64) -> Load {
    Load { requests: 1, tokens, ..Load::default() }
}

/// Fleet state as known to a VM in zone `a`.
pub struct FleetState {
    pub endpoints: Endpoints,
    pub loads: Loads,
    pub outcomes: Outcomes,
    pub home: ZoneId,
    pub avoid: BTreeSet<EndpointId>,
    pub zones: BTreeSet<ZoneId>,
    pub sees_all_zones: bool,
    pub silent_zones: BTreeSet<ZoneId>,
    pub heard_late: BTreeSet<EndpointId>,
}

impl FleetState {
    /// Creates a state with the given endpoints, each by id and zone.
    pub fn with_endpoints(endpoints: &[(&str, &str)]) -> Self {
        let mut state = FleetState {
            endpoints: Endpoints::default(),
            loads: Loads::default(),
            outcomes: Outcomes::default(),
            home: "a".parse().expect("valid id"),
            avoid: BTreeSet::new(),
            zones: BTreeSet::new(),
            sees_all_zones: true,
            silent_zones: BTreeSet::new(),
            heard_late: BTreeSet::new(),
        };
        for (name, zone) in endpoints {
            state.endpoints.upsert(NOW, entry(name, zone));
        }
        state
    }

    pub fn fleet(&self) -> Fleet<'_> {
        Fleet {
            endpoints: &self.endpoints,
            loads: &self.loads,
            outcomes: &self.outcomes,
            home: &self.home,
            sees_all_zones: self.sees_all_zones,
            silent_zones: &self.silent_zones,
            heard_late: &self.heard_late,
        }
    }

    pub fn demand<'a>(&'a self, service: &'a Service, load: Load, draw: u64) -> Demand<'a> {
        Demand { service, load, avoid: &self.avoid, zones: &self.zones, draw }
    }
}
