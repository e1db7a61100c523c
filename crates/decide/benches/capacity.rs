//! What control costs a VM, as the fleet grows: messages, bytes, processor time and memory of the
//! decisions, in virtual time. Prints a table; `docs/CAPACITY.md` works with its slopes.
//!
//! Load is that of the planned size: 16 requests a second at each VM, from 360 customers of whom
//! a few send most, 24 endpoints a VM, 16 zones.

#[path = "../tests/testsuite/world.rs"]
#[allow(dead_code, reason = "the tests use what this bench does not")]
mod world;

use gypsumchute_config::FleetConfig;
use rand::RngExt;
use std::collections::BTreeMap;
use std::fs;
use std::time::{Duration, Instant};
use world::{World, config};

const CUSTOMERS: usize = 360;
const ZONES: usize = 16;
const ENDPOINTS_PER_VM: usize = 24;
const REQUESTS_PER_VM_S: u64 = 16;
const WARM_UP_MS: u64 = 9_000;
const MEASURED_MS: u64 = 10_000;
const MIB: f64 = 1_048_576.0;

fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = statm.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0.0);
    pages * 4_096.0
}

/// A customer for a request: a few send most.
fn customer(world: &mut World) -> String {
    let spread: f64 = world.rng.random();
    let number = (spread.powi(4) * CUSTOMERS as f64) as usize;
    format!("c-{number}")
}

struct Row {
    vms: usize,
    messages_per_s: f64,
    bytes_per_s: f64,
    core_percent: f64,
    mib: f64,
}

fn measure(vms: usize, loaded: bool) -> Row {
    let names: Vec<String> = (0..ZONES).map(|zone| format!("z-{zone:02}")).collect();
    let zones: Vec<&str> = (0..vms).map(|vm| names[vm % ZONES].as_str()).collect();
    let customers: Vec<String> = (0..CUSTOMERS).map(|number| format!("c-{number}")).collect();
    let customers: Vec<(&str, f64, u64)> =
        customers.iter().map(|name| (name.as_str(), 300.0, 60)).collect();
    let per_zone = vms * ENDPOINTS_PER_VM / ZONES;
    let config = config(1, &zones, &customers, per_zone, 2);
    let before = resident_bytes();
    let mut world = World::new(1, &zones, config);
    world.run_ms = 300;
    world.run(WARM_UP_MS);
    let (messages, bytes) = (world.messages, world.bytes);
    world.busy = Duration::ZERO;
    let until_ms = world.now_ms + MEASURED_MS;
    while world.now_ms < until_ms {
        let due = if loaded { vms as u64 * REQUESTS_PER_VM_S / 100 } else { 0 };
        for _ in 0..due {
            let vm = world.rng.random_range(0..vms);
            let name = customer(&mut world);
            world.request(vm, &name);
        }
        world.run(10);
    }
    let seconds = MEASURED_MS as f64 / 1_000.0;
    let each = vms as f64;
    Row {
        vms,
        messages_per_s: (world.messages - messages) as f64 / seconds / each,
        bytes_per_s: (world.bytes - bytes) as f64 / seconds / each,
        core_percent: world.busy.as_secs_f64() / seconds / each * 100.0,
        mib: (resident_bytes() - before) / MIB / each,
    }
}

/// Time and memory for one version of the configuration, raw values and the checked whole, each
/// endpoint a file of its own.
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
