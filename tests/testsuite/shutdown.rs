//! A graceful shutdown cuts no request.

use crate::support::{
    Fleet, Stream, base_files, complete, customer, customers_file, endpoint, endpoints_file,
    is_ready, is_whole, start_engine, tokens_of, wait_until,
};
use gypsumchute::util::ports::free_address;
use serde_json::json;
use std::thread;
use std::time::Duration;

const KEY: &str = "key-of-lens-trust";
const ZONES: [&str; 3] = ["north", "north", "north"];

#[test]
fn a_draining_vm_finishes_its_streams_and_hands_over() {
    let engine = free_address().unwrap();
    let _engine = start_engine(engine, json!({ "step_ms": 20 }));
    let mut files = base_files(&ZONES);
    files.extend([
        customers_file(&[customer("lens-trust", KEY, 20.0, 5)]),
        endpoints_file(&[endpoint("engine-1", "north", engine, &["survey"])]),
    ]);
    let mut fleet = Fleet::start(&ZONES, files);
    let at = fleet.at(0);
    let caller = thread::spawn(move || {
        let mut stream = Stream::open(at, KEY, "survey", "A long survey. <len=250>").unwrap();
        stream.read_all()
    });
    thread::sleep(Duration::from_millis(600));
    fleet.vms[0].entry.terminate();
    fleet.vms[0].control.terminate();
    let ops = fleet.vms[0].plan.entry_ops;
    assert!(wait_until(Duration::from_secs(2), || !is_ready(ops)), "it still takes callers");
    let refused = complete(at, KEY, "survey", "too late").unwrap();
    assert_eq!((refused.status, refused.code(), refused.verdict()), (503, "draining", "not_run"));

    // The others take over what it owned, without a pause that a caller would notice.
    for number in 0..30 {
        let served = complete(fleet.at(1 + number % 2), KEY, "survey", "Short <len=2>").unwrap();
        assert_eq!(served.status, 200, "request {number}: {served:?}");
        thread::sleep(Duration::from_millis(100));
    }
    let events = caller.join().unwrap();
    assert!(is_whole(&events) && tokens_of(&events).len() == 250, "a stream was cut");
    assert!(fleet.vms[0].entry.ends_within(Duration::from_secs(5)), "the entry process stays");
    assert!(fleet.vms[0].control.ends_within(Duration::from_secs(8)), "the control process stays");
}
