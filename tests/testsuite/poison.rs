//! Tests of poison requests: a request that crashes every endpoint on which it runs is rejected
//! after two crashes.

use crate::support::{
    Fleet, base_config_files, customer_config, customers_file, endpoint_config, endpoints_file,
    request_completion, start_engine,
};
use gypsumchute::util::ports::free_address;
use serde_json::json;
use std::time::{Duration, Instant};

const API_KEY: &str = "key-of-lens-trust";
const VM_ZONES: [&str; 3] = ["north", "north", "south"];

#[test]
fn a_poison_request_is_rejected_after_it_crashed_two_endpoints() {
    let addresses: Vec<_> = (0..5).map(|_| free_address().unwrap()).collect();
    let mut engines: Vec<_> =
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
    let fleet = Fleet::start(&VM_ZONES, files);
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
    let running = engines
        .iter_mut()
        .filter_map(|engine| (!engine.exits_within(Duration::ZERO)).then_some(()));
    assert_eq!(running.count(), 3, "engines of 5 that still run");
    for vm in [0, 1, 2] {
        let response =
            request_completion(fleet.caller_address(vm), API_KEY, "survey", "A good one").unwrap();
        assert_eq!(response.status, 200, "{response:?}");
    }
}
