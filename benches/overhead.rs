//! Benchmark of the overhead of the entry process: added latency per request and per token compared
//! with direct calls to the engine, and threads and memory per open stream.
//!
//! Direct requests and requests through the entry process alternate within one run.

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
    EventStream, Fleet, base_config_files, customer_config, customers_file, endpoint_config,
    endpoints_file, request, start_engine,
};

const API_KEY: &str = "bench-key";
/// Number of timed requests on each of the two paths.
const REQUESTS: usize = 60;
/// Tokens in each timed generation.
const TOKENS_PER_REQUEST: usize = 40;
/// Number of streams that are open at the same time when threads and memory are measured.
const OPEN_STREAMS: usize = 200;

/// Latency of one generation, in milliseconds from the start of the request.
struct Timing {
    first_token_ms: f64,
    total_ms: f64,
}

/// Times a generation requested from the engine directly.
fn time_direct(engine: SocketAddr, index: usize) -> Timing {
    let body = json!({
        "generation": format!("direct-{index}"), "prompt": format!("x <len={TOKENS_PER_REQUEST}>"),
        "max_tokens": 100,
    });
    let started_at = Instant::now();
    let builder = request(attohttpc::Method::POST, engine, "/v1/generate", "");
    let response = builder.text(body.to_string()).send().unwrap();
    let mut first_token_ms = 0.0;
    for line in BufReader::new(response.split().2).lines().map_while(Result::ok) {
        if first_token_ms == 0.0 && line.contains("\"index\"") {
            first_token_ms = started_at.elapsed().as_secs_f64() * 1_000.0;
        }
    }
    Timing { first_token_ms, total_ms: started_at.elapsed().as_secs_f64() * 1_000.0 }
}

/// Times a generation requested through the entry process.
fn time_through_entry(entry: SocketAddr) -> Timing {
    let started_at = Instant::now();
    let mut stream =
        EventStream::open(entry, API_KEY, "survey", &format!("x <len={TOKENS_PER_REQUEST}>"))
            .unwrap();
    stream.read(1);
    let first_token_ms = started_at.elapsed().as_secs_f64() * 1_000.0;
    stream.read_all();
    Timing { first_token_ms, total_ms: started_at.elapsed().as_secs_f64() * 1_000.0 }
}

/// Returns the median, or the upper one of the two middle values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Returns the number of threads of a process and its resident memory, in kilobytes.
fn process_usage(pid: u32) -> (f64, f64) {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let field = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<f64>().unwrap()
    };
    (field("Threads:"), field("VmRSS:"))
}

fn main() {
    let engine = free_address().unwrap();
    let _engine = start_engine(engine, json!({ "step_ms": 10, "batch_limit": 512 }));
    let mut files: BTreeMap<String, String> = base_config_files(&["north"]);
    let mut config = endpoint_config("engine-1", "north", engine, &["survey"]);
    config["warm_limit"] = json!(512);
    files.extend([
        customers_file(&[customer_config("lens-trust", API_KEY, 10_000.0, 10_000)]),
        endpoints_file(&[config]),
    ]);
    let fleet = Fleet::start(&["north"], files);
    let (mut direct_timings, mut entry_timings) = (Vec::new(), Vec::new());
    for index in 0..REQUESTS {
        direct_timings.push(time_direct(engine, index));
        entry_timings.push(time_through_entry(fleet.caller_address(0)));
    }
    let median_first_ms =
        |timings: &[Timing]| median(timings.iter().map(|timing| timing.first_token_ms).collect());
    let median_rest_ms = |timings: &[Timing]| {
        median(timings.iter().map(|timing| timing.total_ms - timing.first_token_ms).collect())
    };
    println!(
        "median of {REQUESTS} requests, {TOKENS_PER_REQUEST} tokens each, 10 ms per engine step"
    );
    println!(
        "time to first token: {:.2} ms direct, {:.2} ms through the entry process",
        median_first_ms(&direct_timings),
        median_first_ms(&entry_timings)
    );
    let added_us = (median_rest_ms(&entry_timings) - median_rest_ms(&direct_timings)) * 1_000.0
        / TOKENS_PER_REQUEST as f64;
    println!("added per token: {added_us:.1} us");

    let before =
        [process_usage(fleet.vms[0].entry.pid()), process_usage(fleet.vms[0].control.pid())];
    let streams: Vec<EventStream> = (0..OPEN_STREAMS)
        .map(|_| {
            EventStream::open(fleet.caller_address(0), API_KEY, "survey", "x <len=3000>").unwrap()
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let after =
        [process_usage(fleet.vms[0].entry.pid()), process_usage(fleet.vms[0].control.pid())];
    for (name, (before, after)) in ["entry", "control"].iter().zip(before.iter().zip(&after)) {
        println!(
            "{name}: {:.2} threads and {:.1} KB per stream; {:.0} threads, {:.0} KB before",
            (after.0 - before.0) / OPEN_STREAMS as f64,
            (after.1 - before.1) / OPEN_STREAMS as f64,
            before.0,
            before.1,
        );
    }
    drop(streams);
}
