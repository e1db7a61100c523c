//! Who ended a request, as the metrics and the log tell it.

use crate::support::{TestEnv, eventually, generation_request};
use gypsumchute_platform_standin::{Behaviour, Endpoint};
use std::time::Duration;

/// An engine that streams an event every 20 ms.
const SLOW_STREAM: Behaviour = Behaviour::Streams { events: 200, event_interval_ms: 20 };

/// Starts one engine.
fn one_engine() -> (TestEnv, Vec<Endpoint>) {
    TestEnv::start(|state| vec![(Endpoint::start(state, "engine-1", SLOW_STREAM), "engines", "a")])
}

/// Asserts that one request ended as described, and that no other one ended.
fn assert_ended(env: &TestEnv, ended_by: &str, outcome: &str) {
    let expected = format!(
        "gypsumchute_request_ends_total{{ended_by=\"{ended_by}\",outcome=\"{outcome}\"}} 1"
    );
    eventually(&expected, || env.daemon.metrics().lines().any(|line| line == expected));
    let metrics = env.daemon.metrics();
    let ends = metrics.lines().filter(|line| line.starts_with("gypsumchute_request_ends_total"));
    assert_eq!(ends.count(), 1, "{metrics}");
}

/// Guards against streams of which no line tells whether the caller, the engine or the deadline ended
/// them.
#[test]
fn the_end_of_a_stream_names_who_ended_it() {
    let (env, _engines) = one_engine();
    let mut stream = generation_request("surveys", "r1").send(env.daemon.address());
    stream.next_chunk().expect("open stream");
    drop(stream);
    assert_ended(&env, "caller", "caller_left");

    let (env, mut engines) = one_engine();
    let mut stream = generation_request("surveys", "r1").send(env.daemon.address());
    stream.next_chunk().expect("open stream");
    engines[0].kill();
    assert!(!stream.read_to_end().complete);
    assert_ended(&env, "endpoint", "endpoint_lost");

    let (env, _engines) = one_engine();
    let caller = generation_request("surveys", "r1").timeout_ms(500);
    assert!(!caller.send_and_read(env.daemon.address()).complete);
    assert_ended(&env, "deadline", "timed_out");

    let (env, engines) = one_engine();
    engines[0].set_behaviour(Behaviour::Streams { events: 5, event_interval_ms: 1 });
    assert!(generation_request("surveys", "r1").send_and_read(env.daemon.address()).complete);
    assert_ended(&env, "endpoint", "answered");

    let (env, engines) = one_engine();
    env.store.unregister(&engines[0].id);
    std::thread::sleep(Duration::from_millis(300));
    let reply = generation_request("surveys", "r1").send_and_read(env.daemon.address());
    assert_eq!(reply.status, 503);
    assert_ended(&env, "vm", "no_endpoint");
}
