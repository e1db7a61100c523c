//! Measures the cost of the control process per VM as the fleet grows: messages, bytes, processor
//! time and memory of the decision logic, in virtual time. Prints a table; `docs/CAPACITY.md`
//! uses its slopes.
//!
//! The load is that of the planned fleet: 16 requests per second and 24 endpoints per VM, 16 zones
//! and 360 customers, a few of which send most of the requests.

#[path = "../tests/testsuite/world.rs"]
#[allow(dead_code, reason = "the tests use what this bench does not")]
mod world;

use gypsumchute_config::FleetConfig;
use rand::RngExt;
use std::collections::BTreeMap;
use std::fs;
use std::time::{Duration, Instant};
use world::{Simulation, config};

const CUSTOMERS: usize = 360;
const ZONES: usize = 16;
const ENDPOINTS_PER_VM: usize = 24;
/// Requests per second and VM under load.
const REQUESTS_PER_VM_S: u64 = 16;
/// Virtual time before the measurement, in milliseconds.
const WARM_UP_MS: u64 = 9_000;
/// Virtual time of the measurement, in milliseconds.
const MEASURED_MS: u64 = 10_000;
const MIB: f64 = 1_048_576.0;

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = statm.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0.0);
    pages * 4_096.0
}

/// Returns a random customer. A few customers are returned most of the time.
fn random_customer(sim: &mut Simulation) -> String {
    let spread: f64 = sim.rng.random();
    let number = (spread.powi(4) * CUSTOMERS as f64) as usize;
    format!("c-{number}")
}

/// Measured cost per VM.
struct Row {
    vms: usize,
    messages_per_s: f64,
    bytes_per_s: f64,
    core_percent: f64,
    mib: f64,
}

/// Measures a fleet of `vms` VMs, idle or under load.
fn measure(vms: usize, loaded: bool) -> Row {
    let names: Vec<String> = (0..ZONES).map(|zone| format!("z-{zone:02}")).collect();
    let zones: Vec<&str> = (0..vms).map(|vm| names[vm % ZONES].as_str()).collect();
    let customers: Vec<String> = (0..CUSTOMERS).map(|number| format!("c-{number}")).collect();
    let customers: Vec<(&str, f64, u64)> =
        customers.iter().map(|name| (name.as_str(), 300.0, 60)).collect();
    let endpoints_per_zone = vms * ENDPOINTS_PER_VM / ZONES;
    let config = config(1, &zones, &customers, endpoints_per_zone, 2);
    let before = resident_bytes();
    let mut sim = Simulation::new(1, &zones, config);
    sim.request_duration_ms = 300;
    sim.run(WARM_UP_MS);
    let (messages, bytes) = (sim.messages, sim.bytes);
    sim.decision_time = Duration::ZERO;
    let until_ms = sim.now_ms + MEASURED_MS;
    while sim.now_ms < until_ms {
        let request_count = if loaded { vms as u64 * REQUESTS_PER_VM_S / 100 } else { 0 };
        for _ in 0..request_count {
            let vm = sim.rng.random_range(0..vms);
            let name = random_customer(&mut sim);
            sim.request(vm, &name);
        }
        sim.run(10);
    }
    let seconds = MEASURED_MS as f64 / 1_000.0;
    let vm_count = vms as f64;
    Row {
        vms,
        messages_per_s: (sim.messages - messages) as f64 / seconds / vm_count,
        bytes_per_s: (sim.bytes - bytes) as f64 / seconds / vm_count,
        core_percent: sim.decision_time.as_secs_f64() / seconds / vm_count * 100.0,
        mib: (resident_bytes() - before) / MIB / vm_count,
    }
}

/// Measures the time (in milliseconds) and the memory (in MiB) for checking one version of the
/// configuration. The memory includes the files, of which each endpoint has one, and the checked
/// configuration.
fn measure_configuration(endpoints: usize) -> (f64, f64) {
    let before = resident_bytes();
    let mut files = BTreeMap::from([(
        "00.json".to_owned(),
        r#"{ "zones": [{ "id": "z" }], "app_routes": [{ "id": "app" }] }"#.to_owned(),
    )]);
    for number in 0..endpoints {
        let address = format!("10.{}.{}.{}:80", number / 62_500, number / 250 % 250, number % 250);
        let text = format!(
            r#"{{ "endpoints": [{{ "id": "engine-{number:05}", "zone": "z",
            "address": "{address}", "routes": ["app"], "warm_limit": 16, "memory_tokens": 100000 }}] }}"#
        );
        files.insert(format!("90-engine-{number:05}.json"), text);
    }
    let began = Instant::now();
    let config = FleetConfig::from_files(1, &files).expect("a good configuration");
    let elapsed_ms = began.elapsed().as_secs_f64() * 1_000.0;
    let mib = (resident_bytes() - before) / MIB;
    assert_eq!(config.endpoints.len(), endpoints);
    (elapsed_ms, mib)
}

fn main() {
    println!("endpoints  check ms  MiB   (one version)");
    for endpoints in [1_000, 3_000, 10_000] {
        let (ms, mib) = measure_configuration(endpoints);
        println!("{endpoints:<9} {ms:>9.0} {mib:>6.1}");
    }
    if std::env::args().any(|arg| arg == "configuration") {
        return;
    }
    println!("VMs  load     messages/s  bytes/s  core %  MiB   (per VM)");
    for loaded in [false, true] {
        for vms in [32, 96, 416] {
            let row = measure(vms, loaded);
            let load = if loaded { "16 req/s" } else { "idle" };
            println!(
                "{:<4} {load:<9} {:>9.1} {:>8.0} {:>7.2} {:>5.2}",
                row.vms, row.messages_per_s, row.bytes_per_s, row.core_percent, row.mib
            );
        }
    }
}
