//! A whole fleet in one process on loopback: stand-ins, entry and control processes' libraries.

use crate::core::{FleetPlan, OpError, OpResult, VmPlan};
use crate::util::ports::free_address;
use gypsumchute_control::ControlHandle;
use gypsumchute_entry::EntryHandle;
use gypsumchute_standins::engine::{CrashMode, Engine, EngineSpec};
use gypsumchute_standins::platform::Platform;
use gypsumchute_standins::service::{Service, ServiceSpec};
use gypsumchute_units::ZoneId;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const READY_WAIT: Duration = Duration::from_secs(15);
const POLL: Duration = Duration::from_millis(20);

/// An engine to start.
#[derive(Debug, Clone)]
pub struct EngineWish {
    /// Its endpoint id.
    pub id: String,
    /// Its zone.
    pub zone: ZoneId,
    /// What kind it is.
    pub spec: EngineSpec,
    /// The routes it serves.
    pub routes: Vec<String>,
    /// Requests it bears at once when warm.
    pub warm_limit: u32,
}

/// A service to start.
#[derive(Debug, Clone)]
pub struct ServiceWish {
    /// Its endpoint id.
    pub id: String,
    /// Its zone.
    pub zone: ZoneId,
    /// What kind it is.
    pub spec: ServiceSpec,
    /// The routes it serves.
    pub routes: Vec<String>,
}

/// What an embedded fleet consists of.
#[derive(Debug, Clone, Default)]
pub struct FleetWish {
    /// Availability zones.
    pub zones: Vec<ZoneId>,
    /// VMs, dealt out to the zones in turn.
    pub vms: usize,
    /// Engines.
    pub engines: Vec<EngineWish>,
    /// Services.
    pub services: Vec<ServiceWish>,
    /// Further configuration files: customers and routes.
    pub files: BTreeMap<String, String>,
}

/// A running fleet; it ends when this is dropped.
pub struct EmbeddedFleet {
    /// The platform.
    pub platform: Platform,
    /// Its VMs.
    pub plan: FleetPlan,
    /// Its engines, by endpoint id.
    pub engines: BTreeMap<String, Engine>,
    /// Its services, by endpoint id.
    pub services: BTreeMap<String, Service>,
    controls: Vec<ControlHandle>,
    entries: Vec<EntryHandle>,
}

fn start_failed(err: impl ToString) -> OpError {
    OpError::failed("embedded fleet", err.to_string(), "free some ports and try again")
}

/// The configuration file of the zones.
pub fn zones_file(zones: &[ZoneId], out: &[&ZoneId]) -> String {
    let zones: Vec<_> = zones
        .iter()
        .map(|zone| {
            let state = if out.contains(&zone) { "out" } else { "in" };
            json!({ "id": zone, "state": state })
        })
        .collect();
    json!({ "zones": zones }).to_string()
}

impl EmbeddedFleet {
    /// Starts everything and waits until all VMs serve.
    ///
    /// # Errors
    ///
    /// Ports are taken, the configuration is wrong, or the fleet does not become ready.
    pub fn start(wish: FleetWish) -> OpResult<Self> {
        let platform = Platform::start(free_address()?)?;
        let plan = FleetPlan::new(&wish.zones, wish.vms)?;
        let mut endpoints = Vec::new();
        let mut engines = BTreeMap::new();
        for engine in wish.engines {
            let running = Engine::start(free_address()?, engine.spec, CrashMode::DiscardState)?;
            endpoints.push(json!({
                "id": engine.id,
                "zone": engine.zone,
                "address": running.address(),
                "routes": engine.routes,
                "warm_limit": engine.warm_limit,
                "cold_limit": engine.spec.cold_limit,
                "memory_tokens": engine.spec.memory_tokens,
            }));
            engines.insert(engine.id, running);
        }
        let mut services = BTreeMap::new();
        for service in wish.services {
            let running = Service::start(free_address()?, service.spec)?;
            endpoints.push(json!({
                "id": service.id,
                "zone": service.zone,
                "address": running.address(),
                "routes": service.routes,
                "warm_limit": 64,
            }));
            services.insert(service.id, running);
        }
        let mut files = wish.files;
        files.insert("10-zones.json".to_owned(), zones_file(&wish.zones, &[]));
        files.insert("90-endpoints.json".to_owned(), json!({ "endpoints": endpoints }).to_string());
        gypsumchute_config::FleetConfig::from_files(1, &files)?;
        platform.publish(files, Vec::new());
        platform.list(plan.listed());
        let mut fleet = EmbeddedFleet {
            platform,
            plan,
            engines,
            services,
            controls: Vec::new(),
            entries: Vec::new(),
        };
        for vm in fleet.plan.vms.clone() {
            fleet.start_vm(&vm)?;
        }
        fleet.wait_ready()?;
        Ok(fleet)
    }

    fn start_vm(&mut self, vm: &VmPlan) -> OpResult<()> {
        let settings = vm.control_settings(self.platform.address(), true);
        self.controls.push(gypsumchute_control::start(settings).map_err(start_failed)?);
        self.entries.push(gypsumchute_entry::start(vm.entry_settings()).map_err(start_failed)?);
        Ok(())
    }

    fn wait_ready(&self) -> OpResult<()> {
        let until = Instant::now() + READY_WAIT;
        while !self.entries.iter().all(EntryHandle::is_ready) {
            if Instant::now() > until {
                return Err(start_failed("not every VM became ready in time"));
            }
            thread::sleep(POLL);
        }
        Ok(())
    }

    /// Where callers reach the VMs.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.plan.vms.iter().map(|vm| vm.listen).collect()
    }

    /// Ends everything.
    pub fn stop(self) {
        self.entries.into_iter().for_each(EntryHandle::stop);
        self.controls.into_iter().for_each(ControlHandle::stop);
    }
}
