//! What the entry process adds: time a request and a token against calling the engine directly,
//! in turn in one run, and threads and memory that a waiting stream costs.

#[path = "../tests/testsuite/support.rs"]
#[allow(dead_code, reason = "the tests use what this bench does not")]
mod support;

use gypsumchute::util::ports::free_address;
use serde_json::json;
use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use support::{
    Fleet, Stream, base_files, customer, customers_file, endpoint, endpoints_file, request,
    start_engine,
};

const KEY: &str = "bench-key";
const ROUNDS: usize = 60;
const TOKENS: usize = 40;
const STREAMS: usize = 200;

struct Timing {
    first_ms: f64,
    whole_ms: f64,
}

fn direct(engine: SocketAddr, number: usize) -> Timing {
    let body = json!({
        "generation": format!("direct-{number}"), "prompt": format!("x <len={TOKENS}>"),
        "max_tokens": 100,
    });
    let began = Instant::now();
    let call = request(attohttpc::Method::POST, engine, "/v1/generate", "");
    let response = call.text(body.to_string()).send().unwrap();
    let mut first_ms = 0.0;
    for line in BufReader::new(response.split().2).lines().map_while(Result::ok) {
        if first_ms == 0.0 && line.contains("\"index\"") {
            first_ms = began.elapsed().as_secs_f64() * 1_000.0;
        }
    }
    Timing { first_ms, whole_ms: began.elapsed().as_secs_f64() * 1_000.0 }
}

fn through(entry: SocketAddr) -> Timing {
    let began = Instant::now();
    let mut stream = Stream::open(entry, KEY, "survey", &format!("x <len={TOKENS}>")).unwrap();
    stream.read(1);
    let first_ms = began.elapsed().as_secs_f64() * 1_000.0;
    stream.read_all();
    Timing { first_ms, whole_ms: began.elapsed().as_secs_f64() * 1_000.0 }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Threads and resident kilobytes of a process.
fn usage(id: u32) -> (f64, f64) {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let field = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<f64>().unwrap()
    };
    (field("Threads:"), field("VmRSS:"))
}

fn main() {
    let engine = free_address().unwrap();
    let _engine = start_engine(engine, json!({ "step_ms": 10, "batch_limit": 512 }));
    let mut files: BTreeMap<String, String> = base_files(&["north"]);
    let mut one = endpoint("engine-1", "north", engine, &["survey"]);
    one["warm_limit"] = json!(512);
    files.extend([
        customers_file(&[customer("lens-trust", KEY, 10_000.0, 10_000)]),
        endpoints_file(&[one]),
    ]);
    let fleet = Fleet::start(&["north"], files);
    let (mut past, mut via) = (Vec::new(), Vec::new());
    for number in 0..ROUNDS {
        past.push(direct(engine, number));
        via.push(through(fleet.at(0)));
    }
    let first = |all: &[Timing]| median(all.iter().map(|t| t.first_ms).collect());
    let rest = |all: &[Timing]| median(all.iter().map(|t| t.whole_ms - t.first_ms).collect());
    println!("median of {ROUNDS}, {TOKENS} tokens each, 10 ms a step");
    println!("first token  direct {:.2} ms, entry {:.2} ms", first(&past), first(&via));
    let added_us = (rest(&via) - rest(&past)) * 1_000.0 / TOKENS as f64;
    println!("added a token {added_us:.1} us");

    let before = [usage(fleet.vms[0].entry.id()), usage(fleet.vms[0].control.id())];
    let streams: Vec<Stream> = (0..STREAMS)
        .map(|_| Stream::open(fleet.at(0), KEY, "survey", "x <len=3000>").unwrap())
        .collect();
    thread::sleep(Duration::from_secs(1));
    let after = [usage(fleet.vms[0].entry.id()), usage(fleet.vms[0].control.id())];
    for (name, (before, after)) in ["entry", "control"].iter().zip(before.iter().zip(&after)) {
        println!(
            "{name}: {:.2} threads and {:.1} KB a stream; {:.0} threads, {:.0} KB before",
            (after.0 - before.0) / STREAMS as f64,
            (after.1 - before.1) / STREAMS as f64,
            before.0,
            before.1,
        );
    }
    drop(streams);
}
