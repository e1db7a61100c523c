//! Endpoints in cold start never get more than they bear, leaving ones and zones taken out get
//! nothing new.

use crate::support::{
    Fleet, base_files, call_app, customer, customers_file, endpoint, endpoints_file, request,
    standin_page, start_service,
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

const KEY: &str = "key-of-flottbad";
const ZONES: [&str; 4] = ["north", "north", "south", "south"];
const SECONDS: Duration = Duration::from_secs(5);

/// Calls from all VMs, as fast as they are answered, until told to stop; the statuses seen.
fn load(fleet: &Fleet, stop: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<BTreeMap<String, u64>>> {
    (0..12)
        .map(|number| {
            let at = fleet.at(number % ZONES.len());
            let stop = stop.clone();
            thread::spawn(move || {
                let mut seen = BTreeMap::new();
                while !stop.load(Ordering::Relaxed) {
                    let answer = call_app(Method::GET, at, KEY, "/apps/bookings/x", "", "");
                    let outcome = match answer {
                        Some(answer) if answer.status == 200 => "200".to_owned(),
                        Some(answer) => answer.code().to_owned(),
                        None => "no answer".to_owned(),
                    };
                    *seen.entry(outcome).or_default() += 1;
                }
                seen
            })
        })
        .collect()
}

fn sum(threads: Vec<thread::JoinHandle<BTreeMap<String, u64>>>) -> BTreeMap<String, u64> {
    let mut all = BTreeMap::new();
    for seen in threads {
        for (outcome, count) in seen.join().unwrap() {
            *all.entry(outcome).or_default() += count;
        }
    }
    all
}

fn files(services: &[(SocketAddr, &str, &str)]) -> BTreeMap<String, String> {
    let endpoints: Vec<Value> = services
        .iter()
        .enumerate()
        .map(|(number, (address, zone, state))| {
            let mut one = endpoint(&format!("s-{number}"), zone, *address, &["bookings"]);
            one["cold_limit"] = json!(2);
            one["state"] = json!(state);
            one
        })
        .collect();
    let mut files = base_files(&ZONES);
    files.extend([
        customers_file(&[customer("flottbad", KEY, 10_000.0, 10_000)]),
        endpoints_file(&endpoints),
    ]);
    files
}

#[test]
fn a_cold_endpoint_never_gets_more_than_its_limit_over_all_vms() {
    let address = free_address().unwrap();
    let spec = json!({ "answer_ms": 50, "cold_ms": 3_600_000, "cold_limit": 2 });
    let _service = start_service(address, spec);
    let mut fleet = Fleet::start(&ZONES, files(&[(address, "north", "active")]));
    let stop = Arc::new(AtomicBool::new(false));
    let threads = load(&fleet, &stop);
    thread::sleep(Duration::from_secs(2));
    // The endpoint's owner may be either VM of its zone: each dies once and comes back.
    for vm in [0, 1] {
        let plan = fleet.vms[vm].plan.clone();
        fleet.vms[vm].control.kill();
        thread::sleep(Duration::from_millis(500));
        fleet.vms[vm].control = fleet.start_control(&plan);
        thread::sleep(Duration::from_secs(6));
    }
    // One freezes for longer than its leases and wakes late.
    fleet.vms[0].control.freeze();
    thread::sleep(Duration::from_secs(5));
    fleet.vms[0].control.thaw();
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    let seen = sum(threads);
    let peak = standin_page(address, "/-/cold_peak");
    assert!(peak.as_u64() <= Some(2), "{peak} at once, of 2 allowed; {seen:?}");
    assert!(seen["200"] > 50, "{seen:?}");
}

#[test]
fn a_warm_endpoint_that_turns_cold_gets_nothing_beyond_its_limit_any_more() {
    let address = free_address().unwrap();
    let _service = start_service(address, json!({ "answer_ms": 40, "cold_limit": 2 }));
    let fleet = Fleet::start(&ZONES, files(&[(address, "north", "active")]));
    let stop = Arc::new(AtomicBool::new(false));
    let threads = load(&fleet, &stop);
    thread::sleep(Duration::from_secs(2));
    request(Method::POST, address, "/-/cold?ms=60000", "").send().unwrap();
    thread::sleep(Duration::from_secs(1));
    // A fresh cold spell from here on: what was under way when it turned cold has ended.
    request(Method::POST, address, "/-/cold_peak_reset", "").send().unwrap();
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    let seen = sum(threads);
    let peak = standin_page(address, "/-/cold_peak");
    assert!(peak.as_u64() <= Some(2), "{peak} at once, of 2 allowed; {seen:?}");
}

#[test]
fn a_zone_taken_out_and_a_leaving_endpoint_get_nothing_new() {
    let (north, south, third) =
        (free_address().unwrap(), free_address().unwrap(), free_address().unwrap());
    let _services = [north, south, third].map(|a| start_service(a, json!({ "answer_ms": 20 })));
    let all = [(north, "north", "active"), (south, "south", "active"), (third, "south", "active")];
    let fleet = Fleet::start(&ZONES, files(&all));
    let stop = Arc::new(AtomicBool::new(false));
    let threads = load(&fleet, &stop);
    thread::sleep(Duration::from_secs(2));
    let seen_at = |address| standin_page(address, "/-/seen").as_array().map_or(0, Vec::len);
    assert!(seen_at(north) > 0 && seen_at(south) > 0);

    let mut changed = files(&[all[0], all[1], (third, "south", "leaving")]);
    let zones = json!({ "zones": [{ "id": "north", "state": "out" }, { "id": "south" }] });
    changed.insert("10-zones.json".to_owned(), zones.to_string());
    fleet.publish(changed);
    thread::sleep(SECONDS);
    let before = (seen_at(north), seen_at(third), seen_at(south));
    thread::sleep(Duration::from_secs(2));
    let after = (seen_at(north), seen_at(third), seen_at(south));
    assert_eq!((before.0, before.1), (after.0, after.1), "new work after five seconds");
    assert!(after.2 > before.2, "the other endpoint serves on");

    fleet.publish(files(&all));
    thread::sleep(SECONDS);
    let back = seen_at(north);
    stop.store(true, Ordering::Relaxed);
    let seen = sum(threads);
    assert!(back > after.0, "the zone does not come back: {seen:?}");
    let refused: u64 = seen.iter().filter(|(code, _)| *code != "200").map(|(_, n)| n).sum();
    assert_eq!(refused, 0, "refused while a zone left and came back: {seen:?}");
}
