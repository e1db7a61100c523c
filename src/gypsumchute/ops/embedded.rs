//! Runs a fleet inside one process on loopback: the stand-ins, and the entry and control processes
//! as libraries.

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

/// Maximum time until all VMs become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Engine to start in an embedded fleet.
#[derive(Debug, Clone)]
pub struct EngineSetup {
    /// Endpoint id.
    pub id: String,
    /// Availability zone.
    pub zone: ZoneId,
    /// Configuration of the stand-in.
    pub spec: EngineSpec,
    /// Ids of the routes that the endpoint serves.
    pub routes: Vec<String>,
    /// Maximum number of concurrent requests after the cold start.
    pub warm_limit: u32,
}

/// Service to start in an embedded fleet.
#[derive(Debug, Clone)]
pub struct ServiceSetup {
    /// Endpoint id.
    pub id: String,
    /// Availability zone.
    pub zone: ZoneId,
    /// Configuration of the stand-in.
    pub spec: ServiceSpec,
    /// Ids of the routes that the endpoint serves.
    pub routes: Vec<String>,
}

/// Composition of an embedded fleet.
#[derive(Debug, Clone, Default)]
pub struct FleetSetup {
    /// Availability zones.
    pub zones: Vec<ZoneId>,
    /// Number of VMs, which are assigned to the zones round-robin.
    pub vm_count: usize,
    /// Engines to start.
    pub engines: Vec<EngineSetup>,
    /// Services to start.
    pub services: Vec<ServiceSetup>,
    /// Contents of further configuration files (customers and routes), by file name.
    pub files: BTreeMap<String, String>,
}

/// Running embedded fleet. Dropping the value stops the fleet.
pub struct EmbeddedFleet {
    /// Platform stand-in, for publishing configuration changes.
    pub platform: Platform,
    /// Identities and addresses of the VMs.
    pub plan: FleetPlan,
    /// Engines by endpoint id.
    pub engines: BTreeMap<String, Engine>,
    /// Services by endpoint id.
    pub services: BTreeMap<String, Service>,
    /// Handles to the control processes, in the order of the VMs.
    control_handles: Vec<ControlHandle>,
    /// Handles to the entry processes, in the order of the VMs.
    entry_handles: Vec<EntryHandle>,
}

/// Returns an error of the embedded fleet that advises the user to free some ports.
fn start_failed(err: impl ToString) -> OpError {
    OpError::failed("embedded fleet", err.to_string(), "free some ports and try again")
}

/// Returns the contents of the configuration file that lists `zones`. The zones in `out_zones` are
/// marked as out of service.
pub fn zones_file(zones: &[ZoneId], out_zones: &[&ZoneId]) -> String {
    let zones: Vec<_> = zones
        .iter()
        .map(|zone| {
            let state = if out_zones.contains(&zone) { "out" } else { "in" };
            json!({ "id": zone, "state": state })
        })
        .collect();
    json!({ "zones": zones }).to_string()
}

impl EmbeddedFleet {
    /// Starts the stand-ins and the VMs, and waits until all VMs are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a port is in use, the configuration is invalid, or a VM does not become
    /// ready in time.
    pub fn start(setup: FleetSetup) -> OpResult<Self> {
        let platform = Platform::start(free_address()?)?;
        let plan = FleetPlan::new(&setup.zones, setup.vm_count)?;
        let mut endpoints = Vec::new();
        let mut engines = BTreeMap::new();
        for engine in setup.engines {
            let running = Engine::start(free_address()?, engine.spec, CrashMode::DiscardState)?;
            endpoints.push(json!({
                "id": engine.id,
                "zone": engine.zone,
                "address": running.address(),
                "routes": engine.routes,
                "warm_limit": engine.warm_limit,
                "cold_limit": engine.spec.cold_start_limit,
                "memory_tokens": engine.spec.kv_cache_tokens,
            }));
            engines.insert(engine.id, running);
        }
        let mut services = BTreeMap::new();
        for service in setup.services {
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
        let mut files = setup.files;
        files.insert("10-zones.json".to_owned(), zones_file(&setup.zones, &[]));
        files.insert("90-endpoints.json".to_owned(), json!({ "endpoints": endpoints }).to_string());
        gypsumchute_config::FleetConfig::from_files(1, &files)?;
        platform.publish(files, Vec::new());
        platform.publish_vm_list(plan.listed_vms());
        let mut fleet = EmbeddedFleet {
            platform,
            plan,
            engines,
            services,
            control_handles: Vec::new(),
            entry_handles: Vec::new(),
        };
        for vm in fleet.plan.vms.clone() {
            fleet.start_vm(&vm)?;
        }
        fleet.wait_ready()?;
        Ok(fleet)
    }

    /// Starts the control process and the entry process of a VM.
    fn start_vm(&mut self, vm: &VmPlan) -> OpResult<()> {
        let settings = vm.control_settings(self.platform.address(), true);
        self.control_handles.push(gypsumchute_control::start(settings).map_err(start_failed)?);
        self.entry_handles
            .push(gypsumchute_entry::start(vm.entry_settings()).map_err(start_failed)?);
        Ok(())
    }

    /// Waits until all entry processes are ready.
    fn wait_ready(&self) -> OpResult<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.entry_handles.iter().all(EntryHandle::is_ready) {
            if Instant::now() > deadline {
                return Err(start_failed("not all VMs became ready before the timeout"));
            }
            thread::sleep(READY_POLL_INTERVAL);
        }
        Ok(())
    }

    /// Returns the addresses at which the VMs accept client requests.
    pub fn frontend_addresses(&self) -> Vec<SocketAddr> {
        self.plan.vms.iter().map(|vm| vm.frontend_address).collect()
    }

    /// Stops all entry processes, then all control processes.
    pub fn stop(self) {
        self.entry_handles.into_iter().for_each(EntryHandle::stop);
        self.control_handles.into_iter().for_each(ControlHandle::stop);
    }
}
