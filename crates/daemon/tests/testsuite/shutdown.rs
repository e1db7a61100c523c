//! Graceful shutdown: requests in flight complete.

use crate::support::{
    API_KEY, TestEnv, complete_stream, configuration, eventually, generation_request,
};
use gypsumchute_platform_standin::{Behaviour, CallerRequest, CompleteResponse, Endpoint};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn a_stream_longer_than_the_minimum_drain_time_completes() {
    const EVENTS: u64 = 60;
    let (mut env, _engines) = TestEnv::start(|endpoint_state| {
        let behaviour = Behaviour::Streams { events: EVENTS, event_interval_ms: 100 };
        vec![(Endpoint::start(endpoint_state, "engine-1", behaviour), "engines", "a")]
    });
    let caller = generation_request("surveys", "r1").timeout_ms(20000);
    let mut stream = caller.send(env.daemon.address());
    let first = stream.next_chunk().expect("open stream").expect("next event");
    env.daemon.stop();
    env.daemon.wait_ready(false);
    let reply = stream.read_to_end();
    assert!(reply.complete, "the stream ended after {} bytes", reply.body.len());
    assert_eq!(first + &reply.body, complete_stream(EVENTS));
}

#[test]
fn generations_too_long_for_the_grace_period_are_refused() {
    let (mut env, _engines) = TestEnv::start(|endpoint_state| {
        let behaviour = Behaviour::Streams { events: 3, event_interval_ms: 10 };
        vec![(Endpoint::start(endpoint_state, "engine-1", behaviour), "engines", "a")]
    });
    env.daemon.stop();
    env.daemon.wait_ready(false);
    // Callers wait for longer than the grace period.
    let request = |id| generation_request("surveys", id).timeout_ms(20_000);
    let long = request("r1").output_tokens(2_000, 900);
    let refused = long.send_and_read(env.daemon.address());
    assert_eq!(refused.status, 503);
    let retry_after_s: f64 = refused.headers["retry-after"].parse().expect("numeric header");
    assert!(retry_after_s <= 0.2);
    // Estimates are often far off, so a request with a large token limit is refused as well.
    let underestimated = request("r2").output_tokens(2_000, 20);
    assert_eq!(underestimated.send_and_read(env.daemon.address()).status, 503);
    // 300 tokens are 75 events, for which the route allows 150 ms each.
    let slow = request("r3").output_tokens(300, 20);
    assert_eq!(slow.send_and_read(env.daemon.address()).status, 503);
    let short = request("r4").output_tokens(100, 20);
    assert_eq!(short.send_and_read(env.daemon.address()).status, 200);
    assert_eq!(env.endpoint_state.received_requests().len(), 1);
}

/// Guards against callers whose connection is closed without an answer, because the endpoint of
/// their request does not respond before the daemon exits.
#[test]
fn a_request_without_a_response_is_answered_before_the_daemon_exits() {
    let (mut env, _engines) = TestEnv::start(|endpoint_state| {
        vec![(Endpoint::start(endpoint_state, "engine-1", Behaviour::Hangs), "engines", "a")]
    });
    let request = generation_request("surveys", "r1").timeout_ms(20_000);
    let address = env.daemon.address();
    let caller = thread::spawn(move || request.try_send(address).map(|r| r.read_to_end()));
    eventually("the request to run", || env.endpoint_state.active_executions("r1") == 1);
    env.daemon.stop();
    let reply = caller.join().expect("caller").expect("a final answer");
    assert_eq!(reply.status, 504, "{}", reply.body);
    assert!(reply.body.contains("may_have_run"), "{}", reply.body);
}

fn assert_refused(reply: &CompleteResponse) {
    assert_eq!(reply.status, 503, "{}", reply.body);
    assert!(reply.body.contains("not_run"), "{}", reply.body);
    let retry_after_s: f64 = reply.headers["retry-after"].parse().expect("numeric header");
    assert!(retry_after_s <= 0.2);
}

/// Guards against requests that are accepted late in the grace period and cut at its end, although
/// another VM could serve them whole.
#[test]
fn late_requests_that_may_outlast_the_grace_period_are_refused() {
    let (mut env, _endpoints) = TestEnv::start(|endpoint_state| {
        // Each event of four tokens takes less time than the route allows.
        let behaviour = Behaviour::Streams { events: 36, event_interval_ms: 140 };
        let engine = Endpoint::start(endpoint_state, "engine-1", behaviour);
        let book = Endpoint::start(endpoint_state, "book-1", Behaviour::Hangs);
        vec![(engine, "engines", "a"), (book, "books", "a")]
    });
    let mut configuration = configuration(8, &[API_KEY]);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = 20_000.into();
    }
    env.store.configure(&configuration);
    thread::sleep(Duration::from_millis(500));
    let address = env.daemon.address();
    env.daemon.stop();
    let stopped = Instant::now();
    env.daemon.wait_ready(false);
    thread::sleep(Duration::from_millis(3_100).saturating_sub(stopped.elapsed()));
    let requests = [
        generation_request("surveys", "survey").output_tokens(144, 20),
        generation_request("briefs", "brief").output_tokens(144, 20),
        generation_request("surveys", "unknown-length").header("X-Token-Usage", "1000"),
        CallerRequest::new("POST /orders/x", "order", API_KEY).body("an order"),
        CallerRequest::new("GET /reads/x", "read", API_KEY),
    ];
    let callers = requests
        .map(|request| thread::spawn(move || request.timeout_ms(20_000).send_and_read(address)));
    for caller in callers {
        assert_refused(&caller.join().expect("caller"));
    }
    assert_eq!(env.endpoint_state.received_requests().len(), 0);
    // A request that ends by its own deadline before the VM exits is served.
    let hasty = generation_request("surveys", "hasty").timeout_ms(2_000);
    assert_eq!(hasty.send(address).status, 200);
}

/// Guards against requests that wait for capacity when the shutdown begins, and are sent when too little
/// of the grace period is left.
#[test]
fn a_request_that_waits_is_not_sent_late_in_the_grace_period() {
    let (mut env, _engines) = TestEnv::start(|endpoint_state| {
        let behaviour = Behaviour::Streams { events: 60, event_interval_ms: 100 };
        vec![(Endpoint::start(endpoint_state, "engine-1", behaviour), "engines", "a")]
    });
    let mut configuration = configuration(8, &[API_KEY]);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["targetLatencyMs"] = 10_000.into();
    }
    env.store.configure(&configuration);
    thread::sleep(Duration::from_millis(500));
    let address = env.daemon.address();
    // These requests take all slots of the engine until 4 s after the shutdown has begun.
    let ahead: Vec<_> = (0..8)
        .map(|n| {
            generation_request("surveys", &format!("ahead-{n}")).timeout_ms(20_000).send(address)
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    let waiting = generation_request("surveys", "waiting").timeout_ms(20_000);
    let waiting = thread::spawn(move || waiting.send_and_read(address));
    thread::sleep(Duration::from_millis(500));
    assert_eq!(env.endpoint_state.received_requests().len(), 8, "a request waits");
    env.daemon.stop();
    assert_refused(&waiting.join().expect("caller"));
    for stream in ahead {
        assert!(stream.read_to_end().complete);
    }
    assert_eq!(env.endpoint_state.received_requests().len(), 8);
}
