//! Tests of poison requests: a request that crashes every endpoint on which it runs is rejected
//! after two crashes.

use crate::support::{
    Fleet, Process, base_config_files, customer_config, customers_file, endpoint_config,
    endpoints_file, request_completion, start_engine,
};
use gypsumchute::util::ports::free_address;
use serde_json::json;
use std::time::{Duration, Instant};

const API_KEY: &str = "key-of-lens-trust";
const VM_ZONES: [&str; 3] = ["north", "north", "south"];

/// Starts three VMs and five engines.
fn start() -> (Fleet, Vec<Process>) {
    let addresses: Vec<_> = (0..5).map(|_| free_address().unwrap()).collect();
    let engines: Vec<_> =
        addresses.iter().map(|address| start_engine(*address, json!({ "step_ms": 10 }))).collect();
    let endpoints: Vec<_> = addresses
        .iter()
        .enumerate()
        .map(|(index, address)| {
            let zone = if index < 3 { "north" } else { "south" };
            endpoint_config(&format!("engine-{index}"), zone, *address, &["survey"])
        })
        .collect();
    let mut files = base_config_files(&VM_ZONES);
    files.extend([
        customers_file(&[customer_config("lens-trust", API_KEY, 100.0, 100)]),
        endpoints_file(&endpoints),
    ]);
    (Fleet::start(&VM_ZONES, files), engines)
}

/// Returns the number of engines that still run.
fn running_count(engines: &mut [Process]) -> usize {
    engines.iter_mut().filter_map(|e| (!e.exits_within(Duration::ZERO)).then_some(())).count()
}

#[test]
fn a_poison_request_is_rejected_after_it_crashed_two_endpoints() {
    let (fleet, mut engines) = start();
    let poison = "This one <poison>";
    let first = request_completion(fleet.caller_address(0), API_KEY, "survey", poison).unwrap();
    assert_eq!(first.error_code(), "poison_request", "{first:?}");
    for vm in [0, 1, 2, 1, 2] {
        let sent_at = Instant::now();
        let retried =
            request_completion(fleet.caller_address(vm), API_KEY, "survey", poison).unwrap();
        assert_eq!((retried.status, retried.error_code()), (503, "poison_request"), "{retried:?}");
        assert!(retried.headers.contains_key("retry-after"));
        assert!(
            sent_at.elapsed() < Duration::from_millis(500),
            "the rejection of a known poison request took 500 ms or more"
        );
    }
    assert_eq!(running_count(&mut engines), 3, "engines of 5 that still run");
    for vm in [0, 1, 2] {
        let response =
            request_completion(fleet.caller_address(vm), API_KEY, "survey", "A good one").unwrap();
        assert_eq!(response.status, 200, "{response:?}");
    }
}

/// Guards against a VM that restarts after the crashes were reported and never learns of them.
#[test]
fn a_vm_that_restarts_later_rejects_a_known_poison_request() {
    let (mut fleet, mut engines) = start();
    let poison = "This one <poison>";
    let send = |fleet: &Fleet, vm: usize| {
        request_completion(fleet.caller_address(vm), API_KEY, "survey", poison).unwrap()
    };
    assert_eq!(send(&fleet, 0).error_code(), "poison_request");
    let plan = fleet.vms[2].plan.clone();
    fleet.vms[2].control.kill();
    fleet.vms[2].control = fleet.start_control(&plan);
    fleet.wait_ready();
    std::thread::sleep(Duration::from_secs(2));
    let retried = send(&fleet, 2);
    assert_eq!((retried.status, retried.error_code()), (503, "poison_request"), "{retried:?}");
    assert_eq!(running_count(&mut engines), 3, "engines of 5 that still run");
}
