//! A customer's rate and burst over all VMs together, with real processes and real clocks.

use crate::support::{
    Fleet, base_files, call_app, customer, customers_file, endpoint, endpoints_file, start_service,
};
use attohttpc::Method;
use gypsumchute::util::ports::free_address;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const KEY: &str = "key-of-flottbad";
const ZONES: [&str; 4] = ["north", "north", "south", "south"];
const RATE_PER_S: f64 = 20.0;
const BURST: u64 = 10;

fn start() -> (Fleet, crate::support::Process) {
    let address = free_address().unwrap();
    let service = start_service(address, json!({}));
    let mut files = base_files(&ZONES);
    files.extend([
        customers_file(&[customer("flottbad", KEY, RATE_PER_S, BURST)]),
        endpoints_file(&[endpoint("service-1", "north", address, &["bookings"])]),
    ]);
    (Fleet::start(&ZONES, files), service)
}

#[test]
fn no_more_than_rate_and_burst_through_kills_and_freezes() {
    let (mut fleet, _service) = start();
    let stop = Arc::new(AtomicBool::new(false));
    let admitted = Arc::new(AtomicU64::new(0));
    let began = Instant::now();
    let callers: Vec<_> = (0..8)
        .map(|number| {
            let (at, stop, admitted) = (fleet.at(number % 4), stop.clone(), admitted.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let answer = call_app(Method::GET, at, KEY, "/apps/bookings/x", "", "");
                    if answer.is_some_and(|answer| answer.status == 200) {
                        admitted.fetch_add(1, Ordering::Relaxed);
                    }
                    thread::sleep(Duration::from_millis(10));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let before = admitted.load(Ordering::Relaxed);
    for vm in 0..4 {
        fleet.vms[vm].control.freeze();
        thread::sleep(Duration::from_millis(2_500));
        fleet.vms[vm].control.thaw();
        let plan = fleet.vms[vm].plan.clone();
        fleet.vms[vm].control.kill();
        fleet.vms[vm].control = fleet.start_control(&plan);
        thread::sleep(Duration::from_millis(500));
    }
    thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    let all = admitted.load(Ordering::Relaxed);
    let allowed = BURST as f64 + RATE_PER_S * began.elapsed().as_secs_f64();
    assert!(all as f64 <= allowed, "{all} admitted of {allowed:.0} allowed");
    assert!(before >= 40, "only {before} admitted in three healthy seconds");
    assert!(all >= before + 60, "only {} admitted since the first fault", all - before);
}

#[test]
fn a_customer_inside_its_rate_is_not_refused_while_the_fleet_is_rolled() {
    let (mut fleet, _service) = start();
    let mut refused = Vec::new();
    let mut sent = 0;
    for vm in [0, 2, 1, 3] {
        fleet.vms[vm].entry.terminate();
        fleet.vms[vm].control.terminate();
        let plan = fleet.vms[vm].plan.clone();
        let others: Vec<usize> = (0..4).filter(|other| *other != vm).collect();
        let mut send = |fleet: &Fleet, for_ms: u64| {
            let until = Instant::now() + Duration::from_millis(for_ms);
            while Instant::now() < until {
                let at = fleet.at(others[sent % others.len()]);
                let answer = call_app(Method::GET, at, KEY, "/apps/bookings/x", "", "").unwrap();
                sent += 1;
                if answer.status != 200 {
                    refused.push(format!("{sent}: {}", answer.code()));
                }
                thread::sleep(Duration::from_millis(90));
            }
        };
        send(&fleet, 4_000);
        fleet.vms[vm].entry.kill();
        fleet.vms[vm].control.kill();
        fleet.vms[vm].control = fleet.start_control(&plan);
        fleet.vms[vm].entry = fleet.start_entry(&plan);
        send(&fleet, 7_000);
    }
    assert!(refused.is_empty(), "{} of {sent} refused: {refused:?}", refused.len());
}
