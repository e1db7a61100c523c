//! Targets of the load: an embedded fleet, and two baselines that send requests directly to engines
//! and services with a simple load balancing policy.

use crate::core::OpResult;
use crate::ops::bench::client::{Sample, send_to_engine, send_to_entry, send_to_service};
use crate::ops::bench::scenario::{
    APP_ROUTE, Arrival, LONG_ROUTE, Operation, SHORT_ROUTE, Scenario, Variant,
};
use crate::ops::embedded::{EmbeddedFleet, EngineSetup, FleetSetup, ServiceSetup, zones_file};
use crate::util::ports::free_address;
use gypsumchute_standins::engine::{CrashMode, Engine};
use gypsumchute_standins::service::{Service, ServiceSpec};
use gypsumchute_units::ZoneId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use strum::Display;

/// Maximum number of concurrent requests per engine after the cold start, in the configuration of
/// the fleet.
const ENGINE_WARM_LIMIT: u32 = 16;

/// Kind of target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum TargetKind {
    /// Embedded gypsumchute fleet; requests are sent to the entry processes.
    #[strum(serialize = "project")]
    Gypsumchute,
    /// Baseline that sends requests to the engines in turn.
    RoundRobin,
    /// Baseline that sends each request to the engine with the fewest requests in flight.
    LeastOutstanding,
}

/// Change of the state of the first availability zone during a run.
#[derive(Debug, Clone)]
pub struct ZoneEvent {
    /// Time since the start of the run, in milliseconds.
    pub at_ms: u64,
    /// Whether the first zone is out of service from then on.
    pub first_zone_out: bool,
}

/// Engines and services that receive requests directly.
struct Baseline {
    /// Engines with their zone and number of requests in flight.
    engines: Vec<(Engine, ZoneId, AtomicUsize)>,
    /// Services with their zone.
    services: Vec<(Service, ZoneId)>,
    /// Whether the first zone is out of service.
    first_zone_out: AtomicBool,
}

/// Processes of a target.
enum Deployment {
    Fleet(Box<EmbeddedFleet>),
    Baseline(Baseline),
}

/// Target of the load, with engines and services of its own.
pub struct Target {
    /// Kind of target.
    pub kind: TargetKind,
    deployment: Deployment,
    zones: Vec<ZoneId>,
    /// API keys by customer number.
    keys: Vec<String>,
    /// Number of the next request, for round-robin selection.
    next_request: AtomicU64,
}

impl Target {
    /// Starts the engines and services, and for the embedded fleet also the VMs.
    ///
    /// # Errors
    ///
    /// Returns an error if a port is in use or the fleet does not become ready.
    pub fn start(kind: TargetKind, scenario: &Scenario) -> OpResult<Self> {
        let deployment = match kind {
            TargetKind::Gypsumchute => Deployment::Fleet(Box::new(start_fleet(scenario)?)),
            TargetKind::RoundRobin | TargetKind::LeastOutstanding => {
                Deployment::Baseline(start_baseline(scenario)?)
            }
        };
        Ok(Target {
            kind,
            deployment,
            zones: scenario.zones.clone(),
            keys: (0..scenario.customers.len()).map(|number| scenario.key(number)).collect(),
            next_request: AtomicU64::new(0),
        })
    }

    /// Sends one request and waits for the response to end.
    pub fn send(&self, arrival: &Arrival) -> Sample {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        match &self.deployment {
            Deployment::Fleet(fleet) => {
                let addresses = fleet.frontend_addresses();
                let address = addresses[number as usize % addresses.len()];
                send_to_entry(address, &self.keys[arrival.customer], arrival)
            }
            Deployment::Baseline(baseline) => match arrival.operation {
                Operation::AvailabilityCheck => {
                    send_to_service(baseline.select_service(number, &self.zones[0]), arrival)
                }
                Operation::Generation { .. } => {
                    let index = baseline.select_engine(self.kind, number, &self.zones[0]);
                    let (engine, _, in_flight) = &baseline.engines[index];
                    in_flight.fetch_add(1, Ordering::Relaxed);
                    let sample = send_to_engine(engine.address(), number, arrival);
                    in_flight.fetch_sub(1, Ordering::Relaxed);
                    sample
                }
            },
        }
    }

    /// Returns the zone events of a run of `seconds` seconds, latest first, so that the next event
    /// can be popped.
    ///
    /// [`Variant::ZoneOut`] takes the first zone out of service after 30 % of the run and puts it
    /// back after 65 %. The other variants have no events.
    pub fn zone_events(&self, variant: Variant, seconds: u64) -> Vec<ZoneEvent> {
        match variant {
            Variant::ZoneOut => vec![
                ZoneEvent { at_ms: seconds * 650, first_zone_out: false },
                ZoneEvent { at_ms: seconds * 300, first_zone_out: true },
            ],
            _ => Vec::new(),
        }
    }

    /// Applies a zone event. The fleet gets a configuration change; a baseline stops or resumes
    /// sending requests to the zone.
    pub fn apply(&self, event: &ZoneEvent) {
        match &self.deployment {
            Deployment::Fleet(fleet) => {
                let zones_out: Vec<&ZoneId> =
                    self.zones.iter().take(usize::from(event.first_zone_out)).collect();
                let file = ("10-zones.json".to_owned(), zones_file(&self.zones, &zones_out));
                fleet.platform.publish(BTreeMap::from([file]), Vec::new());
            }
            Deployment::Baseline(baseline) => {
                baseline.first_zone_out.store(event.first_zone_out, Ordering::Relaxed);
            }
        }
    }

    /// Returns the number of preemptions of all engines.
    pub fn preemptions(&self) -> u64 {
        let preemptions = |engine: &Engine| engine.counters().preemptions;
        match &self.deployment {
            Deployment::Fleet(fleet) => fleet.engines.values().map(preemptions).sum(),
            Deployment::Baseline(baseline) => {
                baseline.engines.iter().map(|(e, _, _)| preemptions(e)).sum()
            }
        }
    }

    /// Stops the fleet, or the engines and services of a baseline.
    pub fn stop(self) {
        if let Deployment::Fleet(fleet) = self.deployment {
            fleet.stop();
        }
    }
}

impl Baseline {
    /// Returns the index of the engine that the policy selects.
    fn select_engine(&self, kind: TargetKind, request_number: u64, first_zone: &ZoneId) -> usize {
        let is_out = self.first_zone_out.load(Ordering::Relaxed);
        let available: Vec<usize> = (0..self.engines.len())
            .filter(|index| !(is_out && self.engines[*index].1 == *first_zone))
            .collect();
        let in_flight = |index: &usize| self.engines[*index].2.load(Ordering::Relaxed);
        match kind {
            TargetKind::LeastOutstanding => {
                available.iter().copied().min_by_key(in_flight).unwrap_or(0)
            }
            TargetKind::RoundRobin | TargetKind::Gypsumchute => {
                available[request_number as usize % available.len()]
            }
        }
    }

    /// Returns the address of the service that is next in turn.
    fn select_service(&self, request_number: u64, first_zone: &ZoneId) -> SocketAddr {
        let is_out = self.first_zone_out.load(Ordering::Relaxed);
        let available: Vec<&Service> = self
            .services
            .iter()
            .filter(|(_, zone)| !(is_out && zone == first_zone))
            .map(|(service, _)| service)
            .collect();
        available[request_number as usize % available.len()].address()
    }
}

/// Starts an embedded fleet with the engines, services and configuration of the scenario.
fn start_fleet(scenario: &Scenario) -> OpResult<EmbeddedFleet> {
    let zone = |number: usize| scenario.zones[number % scenario.zones.len()].clone();
    let engines = (0..scenario.engine_count).map(|number| EngineSetup {
        id: format!("engine-{number}"),
        zone: zone(number),
        spec: scenario.engine_spec(number),
        routes: vec![LONG_ROUTE.to_owned(), SHORT_ROUTE.to_owned()],
        warm_limit: ENGINE_WARM_LIMIT,
    });
    let services = (0..scenario.service_count).map(|number| ServiceSetup {
        id: format!("service-{number}"),
        zone: zone(number),
        spec: ServiceSpec::default(),
        routes: vec![APP_ROUTE.to_owned()],
    });
    EmbeddedFleet::start(FleetSetup {
        zones: scenario.zones.clone(),
        vm_count: scenario.vm_count,
        engines: engines.collect(),
        services: services.collect(),
        files: scenario.files(),
    })
}

/// Starts the engines and services of the scenario without a fleet.
fn start_baseline(scenario: &Scenario) -> OpResult<Baseline> {
    let zone = |number: usize| scenario.zones[number % scenario.zones.len()].clone();
    let mut engines = Vec::new();
    for number in 0..scenario.engine_count {
        let spec = scenario.engine_spec(number);
        let engine = Engine::start(free_address()?, spec, CrashMode::DiscardState)?;
        engines.push((engine, zone(number), AtomicUsize::new(0)));
    }
    let mut services = Vec::new();
    for number in 0..scenario.service_count {
        services.push((Service::start(free_address()?, ServiceSpec::default())?, zone(number)));
    }
    Ok(Baseline { engines, services, first_zone_out: AtomicBool::new(false) })
}
