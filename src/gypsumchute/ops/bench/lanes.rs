//! The ways that the same load takes: through the system, and past it by two simple policies.

use crate::core::OpResult;
use crate::ops::bench::client::{Sample, through_entry, to_engine, to_service};
use crate::ops::bench::scenario::{
    APP_ROUTE, Arrival, Ask, LONG_ROUTE, SHORT_ROUTE, Scenario, Variant,
};
use crate::ops::embedded::{EmbeddedFleet, EngineWish, FleetWish, ServiceWish, zones_file};
use crate::util::ports::free_address;
use gypsumchute_standins::engine::{CrashMode, Engine};
use gypsumchute_standins::service::{Service, ServiceSpec};
use gypsumchute_units::ZoneId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use strum::Display;

/// Requests that an engine takes at once in the system's configuration.
const WARM_LIMIT: u32 = 16;

/// Which way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum LaneKind {
    /// Through entry VMs.
    Project,
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the fewest requests under way.
    LeastOutstanding,
}

/// Something that happens to the endpoints during a run.
#[derive(Debug, Clone)]
pub struct LaneEvent {
    /// When, from the start.
    pub at_ms: u64,
    /// Whether the first zone is out from then on.
    pub zone_out: bool,
}

struct Backends {
    engines: Vec<(Engine, ZoneId, AtomicUsize)>,
    services: Vec<(Service, ZoneId)>,
    first_zone_out: AtomicBool,
}

enum Way {
    Project(Box<EmbeddedFleet>),
    Direct(Backends),
}

/// A way with its own engines and services.
pub struct Lane {
    /// Which way.
    pub kind: LaneKind,
    way: Way,
    zones: Vec<ZoneId>,
    keys: Vec<String>,
    turn: AtomicU64,
}

impl Lane {
    /// Starts its engines and services, and the fleet before them.
    ///
    /// # Errors
    ///
    /// Ports are taken, or the fleet does not become ready.
    pub fn start(kind: LaneKind, scenario: &Scenario) -> OpResult<Self> {
        let way = match kind {
            LaneKind::Project => Way::Project(Box::new(start_fleet(scenario)?)),
            LaneKind::RoundRobin | LaneKind::LeastOutstanding => {
                Way::Direct(start_backends(scenario)?)
            }
        };
        Ok(Lane {
            kind,
            way,
            zones: scenario.zones.clone(),
            keys: (0..scenario.customers.len()).map(|number| scenario.key(number)).collect(),
            turn: AtomicU64::new(0),
        })
    }

    /// Sends one request.
    pub fn serve(&self, arrival: &Arrival) -> Sample {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        match &self.way {
            Way::Project(fleet) => {
                let callers = fleet.callers();
                let address = callers[turn as usize % callers.len()];
                through_entry(address, &self.keys[arrival.customer], arrival)
            }
            Way::Direct(backends) => match arrival.ask {
                Ask::Check => to_service(backends.service(turn, &self.zones[0]), arrival),
                Ask::Generation { .. } => {
                    let pick = backends.engine(self.kind, turn, &self.zones[0]);
                    let (engine, _, outstanding) = &backends.engines[pick];
                    outstanding.fetch_add(1, Ordering::Relaxed);
                    let sample = to_engine(engine.address(), turn, arrival);
                    outstanding.fetch_sub(1, Ordering::Relaxed);
                    sample
                }
            },
        }
    }

    /// What happens during a run, the latest first.
    pub fn events(&self, variant: Variant, seconds: u64) -> Vec<LaneEvent> {
        match variant {
            Variant::ZoneOut => vec![
                LaneEvent { at_ms: seconds * 650, zone_out: false },
                LaneEvent { at_ms: seconds * 300, zone_out: true },
            ],
            _ => Vec::new(),
        }
    }

    /// Lets something happen.
    pub fn happen(&self, event: &LaneEvent) {
        match &self.way {
            Way::Project(fleet) => {
                let out: Vec<&ZoneId> =
                    self.zones.iter().take(usize::from(event.zone_out)).collect();
                let file = ("10-zones.json".to_owned(), zones_file(&self.zones, &out));
                fleet.platform.publish(BTreeMap::from([file]), Vec::new());
            }
            Way::Direct(backends) => {
                backends.first_zone_out.store(event.zone_out, Ordering::Relaxed);
            }
        }
    }

    /// Generations thrown out of engines' memory.
    pub fn preemptions(&self) -> u64 {
        let counts = |engine: &Engine| engine.counters().preemptions;
        match &self.way {
            Way::Project(fleet) => fleet.engines.values().map(counts).sum(),
            Way::Direct(backends) => backends.engines.iter().map(|(e, _, _)| counts(e)).sum(),
        }
    }

    /// Ends everything.
    pub fn stop(self) {
        if let Way::Project(fleet) = self.way {
            fleet.stop();
        }
    }
}

impl Backends {
    fn engine(&self, kind: LaneKind, turn: u64, first_zone: &ZoneId) -> usize {
        let out = self.first_zone_out.load(Ordering::Relaxed);
        let usable: Vec<usize> = (0..self.engines.len())
            .filter(|index| !(out && self.engines[*index].1 == *first_zone))
            .collect();
        let outstanding = |index: &usize| self.engines[*index].2.load(Ordering::Relaxed);
        match kind {
            LaneKind::LeastOutstanding => {
                usable.iter().copied().min_by_key(outstanding).unwrap_or(0)
            }
            LaneKind::RoundRobin | LaneKind::Project => usable[turn as usize % usable.len()],
        }
    }

    fn service(&self, turn: u64, first_zone: &ZoneId) -> SocketAddr {
        let out = self.first_zone_out.load(Ordering::Relaxed);
        let usable: Vec<&Service> = self
            .services
            .iter()
            .filter(|(_, zone)| !(out && zone == first_zone))
            .map(|(service, _)| service)
            .collect();
        usable[turn as usize % usable.len()].address()
    }
}

fn start_fleet(scenario: &Scenario) -> OpResult<EmbeddedFleet> {
    let zone = |number: usize| scenario.zones[number % scenario.zones.len()].clone();
    let engines = (0..scenario.engines).map(|number| EngineWish {
        id: format!("engine-{number}"),
        zone: zone(number),
        spec: scenario.engine_spec(number),
        routes: vec![LONG_ROUTE.to_owned(), SHORT_ROUTE.to_owned()],
        warm_limit: WARM_LIMIT,
    });
    let services = (0..scenario.services).map(|number| ServiceWish {
        id: format!("service-{number}"),
        zone: zone(number),
        spec: ServiceSpec::default(),
        routes: vec![APP_ROUTE.to_owned()],
    });
    EmbeddedFleet::start(FleetWish {
        zones: scenario.zones.clone(),
        vms: scenario.vms,
        engines: engines.collect(),
        services: services.collect(),
        files: scenario.files(),
    })
}

fn start_backends(scenario: &Scenario) -> OpResult<Backends> {
    let zone = |number: usize| scenario.zones[number % scenario.zones.len()].clone();
    let mut engines = Vec::new();
    for number in 0..scenario.engines {
        let spec = scenario.engine_spec(number);
        let engine = Engine::start(free_address()?, spec, CrashMode::DiscardState)?;
        engines.push((engine, zone(number), AtomicUsize::new(0)));
    }
    let mut services = Vec::new();
    for number in 0..scenario.services {
        services.push((Service::start(free_address()?, ServiceSpec::default())?, zone(number)));
    }
    Ok(Backends { engines, services, first_zone_out: AtomicBool::new(false) })
}
