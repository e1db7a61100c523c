//! Tests of the graceful shutdown of a VM: requests in flight are completed.

use crate::support::{
    EventStream, Fleet, base_config_files, customer_config, customers_file, endpoint_config,
    endpoints_file, event_tokens, is_complete, is_ready, request_completion, start_engine,
    wait_until,
};
use gypsumchute::util::ports::free_address;
use serde_json::json;
use std::thread;
use std::time::Duration;

const API_KEY: &str = "key-of-lens-trust";
const VM_ZONES: [&str; 3] = ["north", "north", "north"];

#[test]
fn a_draining_vm_completes_its_streams_and_the_others_take_over() {
    let engine = free_address().unwrap();
    let _engine = start_engine(engine, json!({ "step_ms": 20 }));
    let mut files = base_config_files(&VM_ZONES);
    files.extend([
        customers_file(&[customer_config("lens-trust", API_KEY, 20.0, 5)]),
        endpoints_file(&[endpoint_config("engine-1", "north", engine, &["survey"])]),
    ]);
    let mut fleet = Fleet::start(&VM_ZONES, files);
    let address = fleet.caller_address(0);
    let caller = thread::spawn(move || {
        let mut stream =
            EventStream::open(address, API_KEY, "survey", "A long survey. <len=250>").unwrap();
        stream.read_all()
    });
    thread::sleep(Duration::from_millis(600));
    fleet.vms[0].entry.terminate();
    fleet.vms[0].control.terminate();
    let ops_address = fleet.vms[0].plan.entry_ops_address;
    assert!(
        wait_until(Duration::from_secs(2), || !is_ready(ops_address)),
        "the draining VM still reports that it is ready"
    );
    let rejected = request_completion(address, API_KEY, "survey", "too late").unwrap();
    assert_eq!(
        (rejected.status, rejected.error_code(), rejected.verdict()),
        (503, "draining", "not_run")
    );

    // The other VMs take over what the draining VM owned, and meanwhile every request to them
    // succeeds.
    for number in 0..30 {
        let response = request_completion(
            fleet.caller_address(1 + number % 2),
            API_KEY,
            "survey",
            "Short <len=2>",
        )
        .unwrap();
        assert_eq!(response.status, 200, "request {number}: {response:?}");
        thread::sleep(Duration::from_millis(100));
    }
    let events = caller.join().unwrap();
    assert!(is_complete(&events) && event_tokens(&events).len() == 250, "the stream ended early");
    assert!(
        fleet.vms[0].entry.exits_within(Duration::from_secs(5)),
        "the entry process does not exit"
    );
    assert!(
        fleet.vms[0].control.exits_within(Duration::from_secs(8)),
        "the control process does not exit"
    );
}
