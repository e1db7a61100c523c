//! Every token reaches the caller exactly once, in order, from a single generation.

use crate::support::{
    Fleet, Process, Stream, base_files, complete, customer, customers_file, endpoint,
    endpoints_file, is_whole, start_engine, tokens_of,
};
use gypsumchute::util::ports::free_address;
use gypsumchute_standins::engine::token_text;
use gypsumchute_standins::proxy::{Fault, Proxy};
use serde_json::json;
use std::thread;
use std::time::Duration;

const KEY: &str = "key-of-lens-trust";
const OTHER_KEY: &str = "key-of-flottbad";
const ZONES: [&str; 2] = ["north", "north"];

struct Set {
    fleet: Fleet,
    proxies: Vec<Proxy>,
    engines: Vec<Process>,
}

fn start(count: usize, spec: serde_json::Value) -> Set {
    let mut proxies = Vec::new();
    let mut engines = Vec::new();
    let mut endpoints = Vec::new();
    for number in 0..count {
        let address = free_address().unwrap();
        engines.push(start_engine(address, spec.clone()));
        let proxy = Proxy::start(free_address().unwrap(), address).unwrap();
        let id = format!("engine-{number}");
        endpoints.push(endpoint(&id, "north", proxy.address(), &["survey"]));
        proxies.push(proxy);
    }
    let mut files = base_files(&ZONES);
    let customers =
        [customer("lens-trust", KEY, 100.0, 100), customer("flottbad", OTHER_KEY, 100.0, 100)];
    files.extend([customers_file(&customers), endpoints_file(&endpoints)]);
    Set { fleet: Fleet::start(&ZONES, files), proxies, engines }
}

/// The tokens that a generation must have.
fn expected(generation: &str, count: usize) -> Vec<String> {
    (0..count).map(|index| token_text(generation, index)).collect()
}

fn generation_of(id: &str) -> String {
    id.rsplit_once(':').unwrap().0.to_owned()
}

#[test]
fn a_stream_survives_cuts_and_silence_towards_the_engine() {
    let set = start(1, json!({ "step_ms": 20 }));
    let mut stream =
        Stream::open(set.fleet.at(0), KEY, "survey", "A long survey. <len=150>").unwrap();
    let mut events = stream.read(10);
    set.proxies[0].fault(Fault::Cut);
    thread::sleep(Duration::from_millis(100));
    set.proxies[0].fault(Fault::Pass);
    events.extend(stream.read(30));
    set.proxies[0].fault(Fault::SilenceOld);
    thread::sleep(Duration::from_millis(100));
    set.proxies[0].fault(Fault::Pass);
    events.extend(stream.read_all());
    let generation = generation_of(&events[0].id);
    assert!(is_whole(&events));
    assert_eq!(tokens_of(&events), expected(&generation, 150));
}

#[test]
fn a_stream_is_resumed_through_another_vm_by_its_own_customer_only() {
    let mut set = start(1, json!({ "step_ms": 20 }));
    let mut stream =
        Stream::open(set.fleet.at(0), KEY, "survey", "A long survey. <len=100>").unwrap();
    let first = stream.read(20);
    set.fleet.vms[0].entry.kill();
    let last = first.last().unwrap().id.clone();
    let generation = generation_of(&last);

    let stolen = Stream::resume(set.fleet.at(1), OTHER_KEY, &generation, &last);
    let refused = stolen.err().flatten().unwrap();
    assert_eq!((refused.status, refused.code()), (404, "no_such_generation"));

    let mut rest = Stream::resume(set.fleet.at(1), KEY, &generation, &last).unwrap();
    let second = rest.read_all();
    assert!(is_whole(&second));
    let mut tokens = tokens_of(&first);
    tokens.extend(tokens_of(&second));
    assert_eq!(tokens, expected(&generation, 100));
}

#[test]
fn an_engine_lost_before_the_first_token_is_replaced() {
    let mut set = start(2, json!({ "step_ms": 20, "prefill_tokens_per_step": 1 }));
    let at = set.fleet.at(0);
    let prompt = format!("{} <len=30>", "long ".repeat(60));
    let caller = thread::spawn(move || {
        let mut stream = Stream::open(at, KEY, "survey", &prompt).unwrap();
        stream.read_all()
    });
    thread::sleep(Duration::from_millis(600));
    let busy = (0..2).find(|engine| {
        let page = format!("http://{}/-/load", set.proxies[*engine].address());
        let load = attohttpc::get(page).send().unwrap().text().unwrap();
        !load.contains("\"running\":0")
    });
    set.engines[busy.expect("one engine has the request")].kill();
    let events = caller.join().unwrap();
    assert!(is_whole(&events), "{events:?}");
    let generation = generation_of(&events[0].id);
    assert_eq!(tokens_of(&events), expected(&generation, 30));
}

#[test]
fn an_engine_lost_after_the_first_token_ends_the_stream_with_the_index_reached() {
    let mut set = start(1, json!({ "step_ms": 20 }));
    let mut stream =
        Stream::open(set.fleet.at(0), KEY, "survey", "A long survey. <len=500>").unwrap();
    let first = stream.read(15);
    set.engines[0].kill();
    let rest = stream.read_all();
    let last = rest.last().unwrap();
    let told: serde_json::Value = serde_json::from_str(&last.data).unwrap();
    assert_eq!(told["error"]["code"], "endpoint_lost", "{told}");
    assert_eq!(told["error"]["verdict"], "may_have_run");
    let count = first.len() + rest.len() - 1;
    assert_eq!(told["error"]["tokens_sent"], count);
    let mut tokens = tokens_of(&first);
    tokens.extend(tokens_of(&rest));
    assert_eq!(tokens, expected(&generation_of(&first[0].id), count));
}

#[test]
fn preempted_generations_stay_whole() {
    let spec = json!({ "step_ms": 5, "memory_tokens": 220 });
    let set = start(1, spec);
    let callers: Vec<_> = (0..4)
        .map(|number| {
            let at = set.fleet.at(number % 2);
            thread::spawn(move || {
                let prompt = format!("Survey {number} <len=90>");
                let mut stream = Stream::open(at, KEY, "survey", &prompt).unwrap();
                stream.read_all()
            })
        })
        .collect();
    for caller in callers {
        let events = caller.join().unwrap();
        assert!(is_whole(&events));
        assert_eq!(tokens_of(&events), expected(&generation_of(&events[0].id), 90));
    }
}

#[test]
fn a_whole_answer_is_of_one_generation_also_when_its_connection_breaks() {
    let set = start(1, json!({ "step_ms": 10 }));
    let at = set.fleet.at(1);
    let caller =
        thread::spawn(move || complete(at, KEY, "survey", "A whole one <len=100>").unwrap());
    thread::sleep(Duration::from_millis(400));
    set.proxies[0].fault(Fault::Cut);
    thread::sleep(Duration::from_millis(50));
    set.proxies[0].fault(Fault::Pass);
    let answer = caller.join().unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    let generation = answer.body["id"].as_str().unwrap();
    let text = answer.body["choices"][0]["text"].as_str().unwrap();
    assert_eq!(text, expected(generation, 100).concat());
}
