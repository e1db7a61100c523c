//! A request that brings down each endpoint that runs it is stopped after two.

use crate::support::{
    Fleet, base_files, complete, customer, customers_file, endpoint, endpoints_file, start_engine,
};
use gypsumchute::util::ports::free_address;
use serde_json::json;
use std::time::{Duration, Instant};

const KEY: &str = "key-of-lens-trust";
const ZONES: [&str; 3] = ["north", "north", "south"];

#[test]
fn a_poison_request_takes_two_endpoints_and_no_third() {
    let addresses: Vec<_> = (0..5).map(|_| free_address().unwrap()).collect();
    let mut engines: Vec<_> =
        addresses.iter().map(|address| start_engine(*address, json!({ "step_ms": 10 }))).collect();
    let endpoints: Vec<_> = addresses
        .iter()
        .enumerate()
        .map(|(number, address)| {
            let zone = if number < 3 { "north" } else { "south" };
            endpoint(&format!("engine-{number}"), zone, *address, &["survey"])
        })
        .collect();
    let mut files = base_files(&ZONES);
    files.extend([
        customers_file(&[customer("lens-trust", KEY, 100.0, 100)]),
        endpoints_file(&endpoints),
    ]);
    let fleet = Fleet::start(&ZONES, files);
    let poison = "This one <poison>";
    let first = complete(fleet.at(0), KEY, "survey", poison).unwrap();
    assert_eq!(first.code(), "poison_request", "{first:?}");
    for vm in [0, 1, 2, 1, 2] {
        let asked = Instant::now();
        let again = complete(fleet.at(vm), KEY, "survey", poison).unwrap();
        assert_eq!((again.status, again.code()), (503, "poison_request"), "{again:?}");
        assert!(again.headers.contains_key("retry-after"));
        assert!(asked.elapsed() < Duration::from_millis(500), "its final answer was held back");
    }
    let alive = engines.iter_mut().filter_map(|e| (!e.ends_within(Duration::ZERO)).then_some(()));
    assert_eq!(alive.count(), 3, "engines left of five");
    for vm in [0, 1, 2] {
        let other = complete(fleet.at(vm), KEY, "survey", "A good one").unwrap();
        assert_eq!(other.status, 200, "{other:?}");
    }
}
