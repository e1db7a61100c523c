//! Graceful shutdown: requests in flight complete.

use crate::support::{TestEnv, complete_stream, eventually, generation_request};
use gypsumchute_platform_standin::{Behaviour, Endpoint};
use std::thread;

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
    let long = generation_request("surveys", "r1").output_tokens(2_000, 900);
    let refused = long.send_and_read(env.daemon.address());
    assert_eq!(refused.status, 503);
    let retry_after_s: f64 = refused.headers["retry-after"].parse().expect("numeric header");
    assert!(retry_after_s <= 0.2);
    // Estimates are often far off, so a request with a large token limit is refused as well.
    let underestimated = generation_request("surveys", "r2").output_tokens(2_000, 20);
    assert_eq!(underestimated.send_and_read(env.daemon.address()).status, 503);
    let short = generation_request("surveys", "r3").output_tokens(300, 20);
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
