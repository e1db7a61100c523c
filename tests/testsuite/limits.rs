//! Tests of a customer's rate limit, which holds for all VMs together, with real processes and real
//! clocks.

use crate::support::{
    Fleet, base_config_files, call_app, customer_config, customers_file, endpoint_config,
    endpoints_file, start_service,
};
use attohttpc::Method;
use gypsumchute::util::ports::free_address;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const API_KEY: &str = "key-of-flottbad";
const VM_ZONES: [&str; 4] = ["north", "north", "south", "south"];
/// Rate of the customer, in requests per second over all VMs.
const RATE_PER_S: f64 = 20.0;
/// Number of requests that the customer may send at once.
const BURST: u64 = 10;

/// Starts a fleet with one service and one customer.
fn start_fleet() -> (Fleet, crate::support::Process) {
    let address = free_address().unwrap();
    let service = start_service(address, json!({}));
    let mut files = base_config_files(&VM_ZONES);
    files.extend([
        customers_file(&[customer_config("flottbad", API_KEY, RATE_PER_S, BURST)]),
        endpoints_file(&[endpoint_config("service-1", "north", address, &["bookings"])]),
    ]);
    (Fleet::start(&VM_ZONES, files), service)
}

#[test]
fn admissions_stay_within_rate_and_burst_while_processes_are_killed_and_suspended() {
    let (mut fleet, _service) = start_fleet();
    let stop = Arc::new(AtomicBool::new(false));
    let admitted = Arc::new(AtomicU64::new(0));
    let started_at = Instant::now();
    let callers: Vec<_> = (0..8)
        .map(|index| {
            let (address, stop, admitted) =
                (fleet.caller_address(index % 4), stop.clone(), admitted.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let response =
                        call_app(Method::GET, address, API_KEY, "/apps/bookings/x", "", "");
                    if response.is_some_and(|response| response.status == 200) {
                        admitted.fetch_add(1, Ordering::Relaxed);
                    }
                    thread::sleep(Duration::from_millis(10));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let before_faults = admitted.load(Ordering::Relaxed);
    for vm in 0..4 {
        // Longer than the term of a share lease, 2 s, so that the leases expire in the meantime.
        fleet.vms[vm].control.suspend();
        thread::sleep(Duration::from_millis(2_500));
        fleet.vms[vm].control.resume();
        let plan = fleet.vms[vm].plan.clone();
        fleet.vms[vm].control.kill();
        fleet.vms[vm].control = fleet.start_control(&plan);
        thread::sleep(Duration::from_millis(500));
    }
    thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    let total = admitted.load(Ordering::Relaxed);
    let allowed = BURST as f64 + RATE_PER_S * started_at.elapsed().as_secs_f64();
    assert!(total as f64 <= allowed, "{total} requests admitted, {allowed:.0} allowed");
    assert!(
        before_faults >= 40,
        "only {before_faults} requests admitted in the 3 seconds before the first fault"
    );
    assert!(
        total >= before_faults + 60,
        "only {} requests admitted since the first fault",
        total - before_faults
    );
}

#[test]
fn a_customer_inside_its_rate_is_not_refused_while_the_fleet_is_rolled() {
    let (mut fleet, _service) = start_fleet();
    let mut rejected = Vec::new();
    let mut sent = 0;
    for vm in [0, 2, 1, 3] {
        fleet.vms[vm].entry.terminate();
        fleet.vms[vm].control.terminate();
        let plan = fleet.vms[vm].plan.clone();
        let others: Vec<usize> = (0..4).filter(|other| *other != vm).collect();
        let mut send_requests = |fleet: &Fleet, duration_ms: u64| {
            let deadline = Instant::now() + Duration::from_millis(duration_ms);
            while Instant::now() < deadline {
                let address = fleet.caller_address(others[sent % others.len()]);
                let response =
                    call_app(Method::GET, address, API_KEY, "/apps/bookings/x", "", "").unwrap();
                sent += 1;
                if response.status != 200 {
                    rejected.push(format!("{sent}: {}", response.error_code()));
                }
                thread::sleep(Duration::from_millis(90));
            }
        };
        send_requests(&fleet, 4_000);
        fleet.vms[vm].entry.kill();
        fleet.vms[vm].control.kill();
        fleet.vms[vm].control = fleet.start_control(&plan);
        fleet.vms[vm].entry = fleet.start_entry(&plan);
        send_requests(&fleet, 7_000);
    }
    assert!(rejected.is_empty(), "{} of {sent} requests rejected: {rejected:?}", rejected.len());
}
