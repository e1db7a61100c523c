//! Tests of endpoints that may receive few or no requests: an endpoint in cold start stays within
//! its concurrency limit, and a leaving endpoint or a zone out of service receives no new requests.

use crate::support::{
    Fleet, base_config_files, call_app, customer_config, customers_file, endpoint_config,
    endpoints_file, get_standin_json, request, start_service,
};
use attohttpc::Method;
use gypsumchute::util::ports::free_address;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const API_KEY: &str = "key-of-flottbad";
const VM_ZONES: [&str; 4] = ["north", "north", "south", "south"];
/// Maximum time until a published change stops new requests to an endpoint.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);

/// Starts 12 callers spread over all VMs. Each sends the next request as soon as the last one has
/// ended, until `stop` is set, and returns the number of requests per outcome.
fn start_callers(
    fleet: &Fleet,
    stop: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<BTreeMap<String, u64>>> {
    (0..12)
        .map(|index| {
            let address = fleet.caller_address(index % VM_ZONES.len());
            let stop = stop.clone();
            thread::spawn(move || {
                let mut outcomes = BTreeMap::new();
                while !stop.load(Ordering::Relaxed) {
                    let response =
                        call_app(Method::GET, address, API_KEY, "/apps/bookings/x", "", "");
                    let outcome = match response {
                        Some(response) if response.status == 200 => "200".to_owned(),
                        Some(response) => response.error_code().to_owned(),
                        None => "no response".to_owned(),
                    };
                    *outcomes.entry(outcome).or_default() += 1;
                }
                outcomes
            })
        })
        .collect()
}

/// Joins the callers and adds up the number of requests per outcome.
fn join_outcomes(threads: Vec<thread::JoinHandle<BTreeMap<String, u64>>>) -> BTreeMap<String, u64> {
    let mut totals = BTreeMap::new();
    for outcomes in threads {
        for (outcome, count) in outcomes.join().unwrap() {
            *totals.entry(outcome).or_default() += count;
        }
    }
    totals
}

/// Returns the configuration with one service for each address, zone and state in `services`.
fn config_files(services: &[(SocketAddr, &str, &str)]) -> BTreeMap<String, String> {
    let endpoints: Vec<Value> = services
        .iter()
        .enumerate()
        .map(|(index, (address, zone, state))| {
            let mut config = endpoint_config(&format!("s-{index}"), zone, *address, &["bookings"]);
            config["cold_limit"] = json!(2);
            config["state"] = json!(state);
            config
        })
        .collect();
    let mut config_files = base_config_files(&VM_ZONES);
    config_files.extend([
        customers_file(&[customer_config("flottbad", API_KEY, 10_000.0, 10_000)]),
        endpoints_file(&endpoints),
    ]);
    config_files
}

#[test]
fn a_cold_endpoint_stays_within_its_concurrency_limit_across_all_vms() {
    let address = free_address().unwrap();
    let spec = json!({ "answer_ms": 50, "cold_ms": 3_600_000, "cold_limit": 2 });
    let _service = start_service(address, spec);
    let mut fleet = Fleet::start(&VM_ZONES, config_files(&[(address, "north", "active")]));
    let stop = Arc::new(AtomicBool::new(false));
    let threads = start_callers(&fleet, &stop);
    thread::sleep(Duration::from_secs(2));
    // Either VM of the endpoint's zone may own the endpoint, so the control processes of both are
    // killed and restarted, one after the other.
    for vm in [0, 1] {
        let plan = fleet.vms[vm].plan.clone();
        fleet.vms[vm].control.kill();
        thread::sleep(Duration::from_millis(500));
        fleet.vms[vm].control = fleet.start_control(&plan);
        thread::sleep(Duration::from_secs(6));
    }
    // A control process is suspended for longer than its leases, so they expire before it resumes.
    fleet.vms[0].control.suspend();
    thread::sleep(Duration::from_secs(5));
    fleet.vms[0].control.resume();
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    let outcomes = join_outcomes(threads);
    let peak = get_standin_json(address, "/-/cold_peak");
    assert!(peak.as_u64() <= Some(2), "{peak} concurrent requests, 2 allowed: {outcomes:?}");
    assert!(outcomes["200"] > 50, "{outcomes:?}");
}

#[test]
fn a_warm_endpoint_that_turns_cold_stays_within_its_concurrency_limit() {
    let address = free_address().unwrap();
    let _service = start_service(address, json!({ "answer_ms": 40, "cold_limit": 2 }));
    let fleet = Fleet::start(&VM_ZONES, config_files(&[(address, "north", "active")]));
    let stop = Arc::new(AtomicBool::new(false));
    let threads = start_callers(&fleet, &stop);
    thread::sleep(Duration::from_secs(2));
    request(Method::POST, address, "/-/cold?ms=60000", "").send().unwrap();
    thread::sleep(Duration::from_secs(1));
    // Requests that were in flight when the endpoint turned cold have ended: the peak counts from
    // here.
    request(Method::POST, address, "/-/cold_peak_reset", "").send().unwrap();
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    let outcomes = join_outcomes(threads);
    let peak = get_standin_json(address, "/-/cold_peak");
    assert!(peak.as_u64() <= Some(2), "{peak} concurrent requests, 2 allowed: {outcomes:?}");
}

#[test]
fn a_zone_out_of_service_and_a_leaving_endpoint_receive_no_new_requests() {
    let (north, south, leaving) =
        (free_address().unwrap(), free_address().unwrap(), free_address().unwrap());
    let _services =
        [north, south, leaving].map(|address| start_service(address, json!({ "answer_ms": 20 })));
    let services =
        [(north, "north", "active"), (south, "south", "active"), (leaving, "south", "active")];
    let fleet = Fleet::start(&VM_ZONES, config_files(&services));
    let stop = Arc::new(AtomicBool::new(false));
    let threads = start_callers(&fleet, &stop);
    thread::sleep(Duration::from_secs(2));
    let requests_received =
        |address| get_standin_json(address, "/-/seen").as_array().map_or(0, Vec::len);
    assert!(requests_received(north) > 0 && requests_received(south) > 0);

    let mut changed_files =
        config_files(&[services[0], services[1], (leaving, "south", "leaving")]);
    let zones = json!({ "zones": [{ "id": "north", "state": "out" }, { "id": "south" }] });
    changed_files.insert("10-zones.json".to_owned(), zones.to_string());
    fleet.publish(changed_files);
    thread::sleep(PROPAGATION_LIMIT);
    let before = (requests_received(north), requests_received(leaving), requests_received(south));
    thread::sleep(Duration::from_secs(2));
    let after = (requests_received(north), requests_received(leaving), requests_received(south));
    assert_eq!(
        (before.0, before.1),
        (after.0, after.1),
        "new requests after {PROPAGATION_LIMIT:?}"
    );
    assert!(after.2 > before.2, "the active endpoint receives no requests");

    fleet.publish(config_files(&services));
    thread::sleep(PROPAGATION_LIMIT);
    let after_return = requests_received(north);
    stop.store(true, Ordering::Relaxed);
    let outcomes = join_outcomes(threads);
    assert!(after_return > after.0, "the zone receives no requests after its return: {outcomes:?}");
    let failed: u64 =
        outcomes.iter().filter(|(outcome, _)| *outcome != "200").map(|(_, count)| count).sum();
    assert_eq!(
        failed, 0,
        "requests failed while the zone was out of service or returned: {outcomes:?}"
    );
}
