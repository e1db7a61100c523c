//! Tests of streams under faults: every token reaches the caller exactly once and in order, and all
//! tokens come from a single generation.

use crate::support::{
    EventStream, Fleet, Process, base_config_files, customer_config, customers_file,
    endpoint_config, endpoints_file, event_tokens, is_complete, request_completion, start_engine,
};
use gypsumchute::util::ports::free_address;
use gypsumchute_standins::engine::token_text;
use gypsumchute_standins::proxy::{Fault, Proxy};
use serde_json::json;
use std::thread;
use std::time::Duration;

const API_KEY: &str = "key-of-lens-trust";
const OTHER_API_KEY: &str = "key-of-flottbad";
const VM_ZONES: [&str; 2] = ["north", "north"];

/// A fleet with engines that the VMs reach through proxies.
struct Setup {
    fleet: Fleet,
    /// Proxy of the engine with the same index.
    proxies: Vec<Proxy>,
    engines: Vec<Process>,
}

/// Starts a fleet with `count` engines, each behind a proxy.
fn start(count: usize, spec: serde_json::Value) -> Setup {
    let mut proxies = Vec::new();
    let mut engines = Vec::new();
    let mut endpoints = Vec::new();
    for index in 0..count {
        let address = free_address().unwrap();
        engines.push(start_engine(address, spec.clone()));
        let proxy = Proxy::start(free_address().unwrap(), address).unwrap();
        let id = format!("engine-{index}");
        endpoints.push(endpoint_config(&id, "north", proxy.address(), &["survey"]));
        proxies.push(proxy);
    }
    let mut files = base_config_files(&VM_ZONES);
    let customers = [
        customer_config("lens-trust", API_KEY, 100.0, 100),
        customer_config("flottbad", OTHER_API_KEY, 100.0, 100),
    ];
    files.extend([customers_file(&customers), endpoints_file(&endpoints)]);
    Setup { fleet: Fleet::start(&VM_ZONES, files), proxies, engines }
}

/// Returns the first `count` tokens that a stand-in engine produces for this generation.
fn expected_tokens(generation: &str, count: usize) -> Vec<String> {
    (0..count).map(|index| token_text(generation, index)).collect()
}

/// Returns the generation ID in an event ID of the form `GENERATION:INDEX`.
fn generation_of(event_id: &str) -> String {
    event_id.rsplit_once(':').unwrap().0.to_owned()
}

#[test]
fn a_stream_survives_closed_and_silent_connections_to_the_engine() {
    let setup = start(1, json!({ "step_ms": 20 }));
    let mut stream = EventStream::open(
        setup.fleet.caller_address(0),
        API_KEY,
        "survey",
        "A long survey. <len=150>",
    )
    .unwrap();
    let mut events = stream.read(10);
    setup.proxies[0].set_fault(Fault::CloseConnections);
    thread::sleep(Duration::from_millis(100));
    setup.proxies[0].set_fault(Fault::NoFault);
    events.extend(stream.read(30));
    setup.proxies[0].set_fault(Fault::StallExisting);
    thread::sleep(Duration::from_millis(100));
    setup.proxies[0].set_fault(Fault::NoFault);
    events.extend(stream.read_all());
    let generation = generation_of(&events[0].id);
    assert!(is_complete(&events));
    assert_eq!(event_tokens(&events), expected_tokens(&generation, 150));
}

#[test]
fn a_stream_resumes_through_another_vm_for_its_own_customer_only() {
    let mut setup = start(1, json!({ "step_ms": 20 }));
    let mut stream = EventStream::open(
        setup.fleet.caller_address(0),
        API_KEY,
        "survey",
        "A long survey. <len=100>",
    )
    .unwrap();
    let first = stream.read(20);
    setup.fleet.vms[0].entry.kill();
    let last = first.last().unwrap().id.clone();
    let generation = generation_of(&last);

    let rejected_resume =
        EventStream::resume(setup.fleet.caller_address(1), OTHER_API_KEY, &generation, &last);
    let rejected = rejected_resume.err().flatten().unwrap();
    assert_eq!((rejected.status, rejected.error_code()), (404, "no_such_generation"));

    let mut rest =
        EventStream::resume(setup.fleet.caller_address(1), API_KEY, &generation, &last).unwrap();
    let second = rest.read_all();
    assert!(is_complete(&second));
    let mut tokens = event_tokens(&first);
    tokens.extend(event_tokens(&second));
    assert_eq!(tokens, expected_tokens(&generation, 100));
}

#[test]
fn a_request_moves_to_another_engine_if_its_engine_is_lost_before_the_first_token() {
    let mut setup = start(2, json!({ "step_ms": 20, "prefill_tokens_per_step": 1 }));
    let address = setup.fleet.caller_address(0);
    let prompt = format!("{} <len=30>", "long ".repeat(60));
    let caller = thread::spawn(move || {
        let mut stream = EventStream::open(address, API_KEY, "survey", &prompt).unwrap();
        stream.read_all()
    });
    thread::sleep(Duration::from_millis(600));
    let busy_engine = (0..2).find(|engine| {
        let url = format!("http://{}/-/load", setup.proxies[*engine].address());
        let load = attohttpc::get(url).send().unwrap().text().unwrap();
        !load.contains("\"running\":0")
    });
    setup.engines[busy_engine.expect("one engine runs the request")].kill();
    let events = caller.join().unwrap();
    assert!(is_complete(&events), "{events:?}");
    let generation = generation_of(&events[0].id);
    assert_eq!(event_tokens(&events), expected_tokens(&generation, 30));
}

#[test]
fn a_stream_ends_with_the_token_count_if_its_engine_is_lost_after_the_first_token() {
    let mut setup = start(1, json!({ "step_ms": 20 }));
    let mut stream = EventStream::open(
        setup.fleet.caller_address(0),
        API_KEY,
        "survey",
        "A long survey. <len=500>",
    )
    .unwrap();
    let first = stream.read(15);
    setup.engines[0].kill();
    let rest = stream.read_all();
    let last = rest.last().unwrap();
    let error: serde_json::Value = serde_json::from_str(&last.data).unwrap();
    assert_eq!(error["error"]["code"], "endpoint_lost", "{error}");
    assert_eq!(error["error"]["verdict"], "may_have_run");
    let count = first.len() + rest.len() - 1;
    assert_eq!(error["error"]["tokens_sent"], count);
    let mut tokens = event_tokens(&first);
    tokens.extend(event_tokens(&rest));
    assert_eq!(tokens, expected_tokens(&generation_of(&first[0].id), count));
}

#[test]
fn preempted_generations_lose_no_tokens() {
    // The four generations need more than 360 tokens of KV cache together, so some are preempted.
    let spec = json!({ "step_ms": 5, "memory_tokens": 220 });
    let setup = start(1, spec);
    let callers: Vec<_> = (0..4)
        .map(|index| {
            let address = setup.fleet.caller_address(index % 2);
            thread::spawn(move || {
                let prompt = format!("Survey {index} <len=90>");
                let mut stream = EventStream::open(address, API_KEY, "survey", &prompt).unwrap();
                stream.read_all()
            })
        })
        .collect();
    for caller in callers {
        let events = caller.join().unwrap();
        assert!(is_complete(&events));
        assert_eq!(event_tokens(&events), expected_tokens(&generation_of(&events[0].id), 90));
    }
}

#[test]
fn a_non_streaming_response_has_one_generation_after_a_connection_failure() {
    let setup = start(1, json!({ "step_ms": 10 }));
    let address = setup.fleet.caller_address(1);
    let caller = thread::spawn(move || {
        request_completion(address, API_KEY, "survey", "A whole one <len=100>").unwrap()
    });
    thread::sleep(Duration::from_millis(400));
    setup.proxies[0].set_fault(Fault::CloseConnections);
    thread::sleep(Duration::from_millis(50));
    setup.proxies[0].set_fault(Fault::NoFault);
    let response = caller.join().unwrap();
    assert_eq!(response.status, 200, "{response:?}");
    let generation = response.body["id"].as_str().unwrap();
    let text = response.body["choices"][0]["text"].as_str().unwrap();
    assert_eq!(text, expected_tokens(generation, 100).concat());
}
