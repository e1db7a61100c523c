//! Streams that go on at a cold engine. Load: all streams of an engine move at once, and the engine that
//! they move to takes only some requests in a second while it is cold.

use crate::support::{TestEnv, complete_stream, eventually};
use gypsumchute_platform_standin::{Behaviour, CallerRequest, Endpoint, ReceivedRequest};
use serde_json::json;
use std::thread::{self, JoinHandle, sleep};
use std::time::Duration;

const API_KEY: &str = crate::support::API_KEY;
/// Streams at the engine that is left.
const STREAMS: usize = 37;
/// Events of each stream.
const EVENTS: u64 = 150;
/// Requests that a cold engine may get in a second: `warmupPerS` x 1.5 + 5.
const MAX_REQUESTS_IN_SECOND: usize = 35;
const STREAM: Behaviour = Behaviour::Streams { events: EVENTS, event_interval_ms: 30 };

/// Registers `engine` with room for all streams, as cold for `cold_ms`.
fn register(env: &TestEnv, engine: &Endpoint, zone: &str, state: &str, cold_ms: u64) {
    let mut entry = engine.registry_entry("engines", zone, state);
    (entry["slots"], entry["warmupLeftMs"]) = (json!(128), json!(cold_ms));
    env.store.put(&format!("servers/{}", engine.id), &entry);
}

/// Begins the streams, which may run once. Each thread returns whether its stream was whole.
fn begin_streams(env: &TestEnv) -> Vec<JoinHandle<bool>> {
    let begin = |n| {
        let request = CallerRequest::new("POST /surveys/write", &format!("r{n}"), API_KEY)
            .timeout_ms(15_000)
            .header("X-Model", "m")
            .header("X-Token-Usage", "20,150")
            .header("X-Length-Hint", "100")
            .header("X-Prefix-Hash", "5c1e07a2:10,91bd3f06:10")
            .body(&format!("prompt {n}"));
        let stream = request.send(env.daemon.address());
        thread::spawn(move || {
            let reply = stream.read_to_end();
            (reply.complete, reply.body) == (true, complete_stream(EVENTS))
        })
    };
    (0..STREAMS).map(begin).collect()
}

/// Asserts that all streams are whole, and that `engine` never got more requests in a second than a cold
/// one may.
fn assert_whole_and_paced(env: &TestEnv, streams: Vec<JoinHandle<bool>>, engine: &str) {
    let whole = streams.into_iter().filter_map(|stream| stream.join().ok()).filter(|w| *w).count();
    let received = env.endpoint_state.received_requests();
    let arrivals: Vec<&ReceivedRequest> =
        received.iter().filter(|request| request.endpoint == engine).collect();
    let in_second = |first: &ReceivedRequest| {
        let since =
            |other: &ReceivedRequest| other.received_at.checked_duration_since(first.received_at);
        let is_within = |other: &&&ReceivedRequest| {
            since(other).is_some_and(|elapsed| elapsed < Duration::from_secs(1))
        };
        arrivals.iter().filter(is_within).count()
    };
    let most = arrivals.iter().map(|first| in_second(first)).max().unwrap_or(0);
    assert!(most <= MAX_REQUESTS_IN_SECOND, "{most} requests in a second, {whole} streams whole");
    assert_eq!(whole, STREAMS, "whole streams; {most} requests in a second at most");
}

/// Starts a daemon with one engine that runs all streams.
fn start() -> (TestEnv, Endpoint) {
    let (env, mut engines) =
        TestEnv::start(|state| vec![(Endpoint::start(state, "engine-1", STREAM), "engines", "a")]);
    let engine = engines.remove(0);
    register(&env, &engine, "a", "ready", 0);
    sleep(Duration::from_millis(300));
    (env, engine)
}

/// Guards against a release in which the streams of the old engine overrun the new one.
#[test]
fn streams_of_a_leaving_engine_do_not_overrun_a_cold_one() {
    let (env, leaving) = start();
    let streams = begin_streams(&env);
    let cold = Endpoint::start(&env.endpoint_state, "engine-2", STREAM);
    register(&env, &cold, "a", "ready", 4_000);
    sleep(Duration::from_millis(200));
    register(&env, &leaving, "a", "draining", 0);
    eventually("the streams to move", || {
        let moved = env.endpoint_state.received_requests();
        moved.iter().filter(|request| request.endpoint == cold.id).count() >= STREAMS
    });
    assert_whole_and_paced(&env, streams, "engine-2");
}

/// Guards against a lost engine whose streams overrun the engine that holds their backups.
#[test]
fn streams_of_a_lost_engine_do_not_overrun_a_cold_one_that_holds_their_backups() {
    let (env, mut lost) = start();
    let cold = Endpoint::start(&env.endpoint_state, "engine-2", STREAM);
    // It is cold and in another zone, so that the streams begin at the first engine.
    register(&env, &cold, "b", "ready", 4_000);
    sleep(Duration::from_millis(200));
    let streams = begin_streams(&env);
    let first: Vec<_> = env.endpoint_state.received_requests();
    assert!(first.iter().all(|request| request.endpoint == lost.id), "{}", first.len());
    sleep(Duration::from_millis(300));
    lost.kill();
    assert_whole_and_paced(&env, streams, "engine-2");
}
