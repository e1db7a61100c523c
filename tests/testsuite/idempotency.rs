//! Tests of idempotency keys: a non-idempotent request runs at most once, and a request reported as
//! `not_run` has not run. The run counts of the service are the reference for both.

use crate::support::{
    Fleet, Process, Response, base_config_files, call_app, customer_config, customers_file,
    endpoint_config, endpoints_file, run_counts, start_service, wait_until,
};
use attohttpc::Method;
use gypsumchute::util::ports::free_address;
use gypsumchute_standins::proxy::{Fault, Proxy};
use serde_json::json;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

const API_KEY: &str = "key-of-flottbad";
const PATH: &str = "/apps/bookings/rafts";
const VM_ZONES: [&str; 3] = ["north", "north", "south"];

/// A fleet with one service and a proxy in front of the service.
struct Setup {
    fleet: Fleet,
    proxy: Proxy,
    /// Address of the service itself, behind the proxy.
    service_address: SocketAddr,
    service: Process,
}

/// Starts a fleet with one service, to which requests go through a proxy.
fn start() -> Setup {
    start_fleet(true)
}

/// Starts a fleet with one service. The endpoint has the address of a proxy if `through_proxy` is
/// true, and the address of the service otherwise.
fn start_fleet(through_proxy: bool) -> Setup {
    let service_address = free_address().unwrap();
    let service = start_service(service_address, json!({ "answer_ms": 300 }));
    let proxy = Proxy::start(free_address().unwrap(), service_address).unwrap();
    let endpoint_address = if through_proxy { proxy.address() } else { service_address };
    let mut files = base_config_files(&VM_ZONES);
    files.extend([
        customers_file(&[customer_config("flottbad", API_KEY, 1_000.0, 1_000)]),
        endpoints_file(&[endpoint_config("service-1", "north", endpoint_address, &["bookings"])]),
    ]);
    let fleet = Fleet::start(&VM_ZONES, files);
    Setup { fleet, proxy, service_address, service }
}

/// Sends a booking request to VM number `vm`.
fn post_booking(setup: &Setup, vm: usize, idempotency_key: &str, body: &str) -> Option<Response> {
    call_app(Method::POST, setup.fleet.caller_address(vm), API_KEY, PATH, idempotency_key, body)
}

/// Returns how many times the service ran the request with this idempotency key.
fn run_count(setup: &Setup, idempotency_key: &str) -> u64 {
    run_counts(setup.service_address).get(idempotency_key).copied().unwrap_or(0)
}

#[test]
fn a_booking_retried_at_another_vm_replays_the_first_response() {
    let setup = start();
    let first = post_booking(&setup, 0, "again", "raft 1").unwrap();
    assert_eq!((first.status, &first.body["runs"]), (200, &json!(1)));
    for vm in [0, 1, 2] {
        let retried = post_booking(&setup, vm, "again", "raft 1").unwrap();
        assert_eq!((retried.status, &retried.body), (200, &first.body), "vm {vm}");
    }
    let different = post_booking(&setup, 1, "again", "raft 2").unwrap();
    assert_eq!((different.status, different.error_code()), (422, "key_reused"));
    assert_eq!(run_count(&setup, "again"), 1);
}

#[test]
fn a_booking_whose_response_is_lost_reports_may_have_run_and_does_not_run_again() {
    let setup = start();
    // Load reports must pass the proxy: an endpoint without a load report receives no requests.
    setup.proxy.exempt_prefix("GET /-/load");
    setup.proxy.set_fault(Fault::CloseOnResponse);
    let cut = post_booking(&setup, 0, "cut", "raft").unwrap();
    assert_eq!((cut.status, cut.verdict()), (502, "may_have_run"), "{cut:?}");
    thread::sleep(Duration::from_millis(900));
    setup.proxy.set_fault(Fault::StallResponses);
    let silent = post_booking(&setup, 1, "silent", "raft").unwrap();
    assert_eq!((silent.status, silent.verdict()), (504, "may_have_run"), "{silent:?}");
    setup.proxy.set_fault(Fault::NoFault);
    for (vm, idempotency_key) in [(1, "cut"), (2, "cut"), (0, "silent"), (2, "silent")] {
        let retried = post_booking(&setup, vm, idempotency_key, "raft").unwrap();
        assert_eq!((retried.status, retried.verdict()), (409, "may_have_run"), "{retried:?}");
    }
    assert_eq!((run_count(&setup, "cut"), run_count(&setup, "silent")), (1, 1));
}

#[test]
fn a_booking_to_a_killed_service_reports_not_run_and_can_be_retried() {
    let mut setup = start_fleet(false);
    setup.service.kill();
    for vm in [0, 1, 2] {
        let rejected = post_booking(&setup, vm, "dead", "raft").unwrap();
        assert_eq!((rejected.status, rejected.verdict()), (503, "not_run"), "{rejected:?}");
        assert!(rejected.headers.contains_key("retry-after"), "{rejected:?}");
    }
    // The rejected requests must not occupy the key: a retry runs as soon as the service is back.
    setup.service = start_service(setup.service_address, json!({}));
    let succeeded = wait_until(Duration::from_secs(5), || {
        post_booking(&setup, 1, "dead", "raft").is_some_and(|response| response.status == 200)
    });
    assert!(succeeded, "no retry succeeded after the service was restarted");
    assert_eq!(run_count(&setup, "dead"), 1);
}

#[test]
fn a_booking_does_not_run_again_after_the_loss_of_one_vm() {
    let mut setup = start();
    // The VM that forwarded the booking is killed and restarted, and then a VM that may hold the
    // record of the booking.
    let first = post_booking(&setup, 0, "loss", "raft").unwrap();
    assert_eq!(first.status, 200);
    for lost in [0, 1] {
        setup.fleet.vms[lost].control.kill();
        setup.fleet.vms[lost].entry.kill();
        let plan = setup.fleet.vms[lost].plan.clone();
        setup.fleet.vms[lost].control = setup.fleet.start_control(&plan);
        setup.fleet.vms[lost].entry = setup.fleet.start_entry(&plan);
        setup.fleet.wait_ready();
        for vm in [0, 1, 2] {
            let retried = post_booking(&setup, vm, "loss", "raft").unwrap();
            assert!(retried.status != 200 || retried.body == first.body, "{retried:?}");
        }
    }
    assert_eq!(run_count(&setup, "loss"), 1);
}

#[test]
fn a_booking_does_not_run_again_after_its_entry_process_is_killed_mid_request() {
    let mut setup = start();
    let address = setup.fleet.caller_address(0);
    let path = format!("{PATH}?delay_ms=1500");
    let first = path.clone();
    let caller =
        thread::spawn(move || call_app(Method::POST, address, API_KEY, &first, "midway", "raft"));
    thread::sleep(Duration::from_millis(700));
    setup.fleet.vms[0].entry.kill();
    assert!(
        caller.join().unwrap().is_none(),
        "the caller received a response from a killed process"
    );
    for vm in [1, 2, 1, 2] {
        let address = setup.fleet.caller_address(vm);
        let retried = call_app(Method::POST, address, API_KEY, &path, "midway", "raft").unwrap();
        assert_eq!((retried.status, retried.verdict()), (409, "may_have_run"), "{retried:?}");
        thread::sleep(Duration::from_millis(800));
    }
    assert_eq!(run_count(&setup, "midway"), 1);
}

#[test]
fn concurrent_duplicates_of_a_booking_run_once() {
    let setup = start();
    let callers: Vec<_> = (0..9)
        .map(|index| {
            let address = setup.fleet.caller_address(index % 3);
            thread::spawn(move || {
                call_app(Method::POST, address, API_KEY, PATH, "many", "raft").unwrap()
            })
        })
        .collect();
    let responses: Vec<Response> =
        callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    let succeeded = responses.iter().filter(|response| response.status == 200).count();
    assert!(succeeded >= 1, "{responses:?}");
    assert_eq!(run_count(&setup, "many"), 1);
}
