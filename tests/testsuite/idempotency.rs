//! Non-idempotent calls run at most once, and "not run" is true. The service's own count of runs
//! is the judge.

use crate::support::{
    Answer, Fleet, Process, base_files, call_app, customer, customers_file, endpoint,
    endpoints_file, runs, start_service, wait_until,
};
use attohttpc::Method;
use gypsumchute::util::ports::free_address;
use gypsumchute_standins::proxy::{Fault, Proxy};
use serde_json::json;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

const KEY: &str = "key-of-flottbad";
const PATH: &str = "/apps/bookings/rafts";
const ZONES: [&str; 3] = ["north", "north", "south"];

struct Set {
    fleet: Fleet,
    proxy: Proxy,
    service_address: SocketAddr,
    service: Process,
}

/// A service that the VMs reach through a proxy.
fn start() -> Set {
    start_with(true)
}

fn start_with(through_proxy: bool) -> Set {
    let service_address = free_address().unwrap();
    let service = start_service(service_address, json!({ "answer_ms": 300 }));
    let proxy = Proxy::start(free_address().unwrap(), service_address).unwrap();
    let reached = if through_proxy { proxy.address() } else { service_address };
    let mut files = base_files(&ZONES);
    files.extend([
        customers_file(&[customer("flottbad", KEY, 1_000.0, 1_000)]),
        endpoints_file(&[endpoint("service-1", "north", reached, &["bookings"])]),
    ]);
    let fleet = Fleet::start(&ZONES, files);
    Set { fleet, proxy, service_address, service }
}

fn book(set: &Set, vm: usize, key: &str, body: &str) -> Option<Answer> {
    call_app(Method::POST, set.fleet.at(vm), KEY, PATH, key, body)
}

fn runs_of(set: &Set, key: &str) -> u64 {
    runs(set.service_address).get(key).copied().unwrap_or(0)
}

#[test]
fn a_booking_sent_again_to_another_vm_is_answered_from_the_first_run() {
    let set = start();
    let first = book(&set, 0, "again", "raft 1").unwrap();
    assert_eq!((first.status, &first.body["runs"]), (200, &json!(1)));
    for vm in [0, 1, 2] {
        let again = book(&set, vm, "again", "raft 1").unwrap();
        assert_eq!((again.status, &again.body), (200, &first.body), "vm {vm}");
    }
    let other = book(&set, 1, "again", "raft 2").unwrap();
    assert_eq!((other.status, other.code()), (422, "key_reused"));
    assert_eq!(runs_of(&set, "again"), 1);
}

#[test]
fn a_booking_whose_answer_is_lost_may_have_run_and_does_not_run_again() {
    let set = start();
    // An endpoint whose load can't be read gets nothing: only bookings are to be lost.
    set.proxy.spare("GET /-/load");
    set.proxy.fault(Fault::CutAnswers);
    let cut = book(&set, 0, "cut", "raft").unwrap();
    assert_eq!((cut.status, cut.verdict()), (502, "may_have_run"), "{cut:?}");
    thread::sleep(Duration::from_millis(900));
    set.proxy.fault(Fault::LoseAnswers);
    let silent = book(&set, 1, "silent", "raft").unwrap();
    assert_eq!((silent.status, silent.verdict()), (504, "may_have_run"), "{silent:?}");
    set.proxy.fault(Fault::Pass);
    for (vm, key) in [(1, "cut"), (2, "cut"), (0, "silent"), (2, "silent")] {
        let again = book(&set, vm, key, "raft").unwrap();
        assert_eq!((again.status, again.verdict()), (409, "may_have_run"), "{again:?}");
    }
    assert_eq!((runs_of(&set, "cut"), runs_of(&set, "silent")), (1, 1));
}

#[test]
fn a_booking_to_a_dead_service_is_truly_not_run() {
    let mut set = start_with(false);
    set.service.kill();
    for vm in [0, 1, 2] {
        let refused = book(&set, vm, "dead", "raft").unwrap();
        assert_eq!((refused.status, refused.verdict()), (503, "not_run"), "{refused:?}");
        assert!(refused.headers.contains_key("retry-after"), "{refused:?}");
    }
    // Nothing ran and nothing is held against the key: it runs once the service is back.
    set.service = start_service(set.service_address, json!({}));
    let booked = wait_until(Duration::from_secs(5), || {
        book(&set, 1, "dead", "raft").is_some_and(|answer| answer.status == 200)
    });
    assert!(booked, "the key stayed taken");
    assert_eq!(runs_of(&set, "dead"), 1);
}

#[test]
fn a_booking_survives_neither_twice_the_loss_of_any_one_vm() {
    let mut set = start();
    // The VM that ran the booking dies, then one that may keep its record: each is started anew.
    let first = book(&set, 0, "loss", "raft").unwrap();
    assert_eq!(first.status, 200);
    for lost in [0, 1] {
        set.fleet.vms[lost].control.kill();
        set.fleet.vms[lost].entry.kill();
        let plan = set.fleet.vms[lost].plan.clone();
        set.fleet.vms[lost].control = set.fleet.start_control(&plan);
        set.fleet.vms[lost].entry = set.fleet.start_entry(&plan);
        set.fleet.wait_ready();
        for vm in [0, 1, 2] {
            let again = book(&set, vm, "loss", "raft").unwrap();
            assert!(again.status != 200 || again.body == first.body, "{again:?}");
        }
    }
    assert_eq!(runs_of(&set, "loss"), 1);
}

#[test]
fn an_entry_that_dies_mid_request_leaves_a_key_that_never_runs_again() {
    let mut set = start();
    let at = set.fleet.at(0);
    let path = format!("{PATH}?delay_ms=1500");
    let first = path.clone();
    let caller = thread::spawn(move || call_app(Method::POST, at, KEY, &first, "midway", "raft"));
    thread::sleep(Duration::from_millis(700));
    set.fleet.vms[0].entry.kill();
    assert!(caller.join().unwrap().is_none(), "the caller got an answer from a dead process");
    for vm in [1, 2, 1, 2] {
        let at = set.fleet.at(vm);
        let again = call_app(Method::POST, at, KEY, &path, "midway", "raft").unwrap();
        assert_eq!((again.status, again.verdict()), (409, "may_have_run"), "{again:?}");
        thread::sleep(Duration::from_millis(800));
    }
    assert_eq!(runs_of(&set, "midway"), 1);
}

#[test]
fn concurrent_copies_of_a_booking_run_once() {
    let set = start();
    let callers: Vec<_> = (0..9)
        .map(|number| {
            let at = set.fleet.at(number % 3);
            thread::spawn(move || call_app(Method::POST, at, KEY, PATH, "many", "raft").unwrap())
        })
        .collect();
    let answers: Vec<Answer> = callers.into_iter().map(|c| c.join().unwrap()).collect();
    let good = answers.iter().filter(|answer| answer.status == 200).count();
    assert!(good >= 1, "{answers:?}");
    assert_eq!(runs_of(&set, "many"), 1);
}
