//! Responses that have neither a length nor chunks and end with their connection.

use crate::support::{
    API_KEY, TestEnv, complete_stream, eventually, generation_request, register_endpoint,
};
use gypsumchute_platform_standin::{Behaviour, CallerRequest, Endpoint, RawEndpoint, RawResponse};

/// Head of a response without length and chunks to the request `r`.
const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\nX-Response-Signature: s\r\n\r\n";

/// Starts an endpoint of `service` that sends [`HEAD`] and `body` and closes the connection.
fn start(service: &'static str, body: &str) -> (TestEnv, RawEndpoint) {
    let (env, _) = TestEnv::start(|endpoint_state| {
        let other = if service == "books" { "engines" } else { "books" };
        vec![(Endpoint::start(endpoint_state, "other", Behaviour::Succeeds), other, "a")]
    });
    let first = format!("{HEAD}{body}").into_bytes();
    let raw = RawEndpoint::start("raw", RawResponse { first, ..RawResponse::default() });
    env.store.put("servers/raw", &raw.registry_entry(service, "a"));
    (env, raw)
}

#[test]
fn a_stream_that_ends_with_its_connection_is_complete() {
    let (env, _raw) = start("engines", &complete_stream(3));
    eventually("the stream", || {
        let reply = generation_request("surveys", "r").send_and_read(env.daemon.address());
        (reply.status, reply.complete, reply.body) == (200, true, complete_stream(3))
    });
}

#[test]
fn an_answer_that_ends_with_its_connection_is_complete() {
    let (env, _raw) = start("books", "an answer");
    eventually("the answer", || {
        let request = CallerRequest::new("POST /orders/x", "r", API_KEY);
        let reply = request.send_and_read(env.daemon.address());
        (reply.status, reply.complete, reply.body.as_str()) == (200, true, "an answer")
    });
}

/// Guards against a stream that looks complete although its engine has broken off.
#[test]
fn a_stream_that_ends_inside_an_event_has_been_broken_off() {
    let (env, raw) = start("engines", &format!("{}id: 4\ndata: tok", complete_stream(3)));
    eventually("the engine to be used", || {
        let reply = generation_request("surveys", "r").send_and_read(env.daemon.address());
        assert!(!(reply.status == 200 && reply.complete), "{}", reply.body);
        raw.request_count() > 0
    });
    eventually("the crash to be counted", || {
        env.daemon.metrics().contains("gypsumchute_endpoint_crashes_total{source=\"local\"}")
    });
}

/// Guards against an engine that ends as it begins to answer, and whose request counts as completed.
#[test]
fn a_stream_without_any_event_has_been_broken_off() {
    let (env, raw) = start("engines", "");
    eventually("the engine to be used", || {
        let reply = generation_request("briefs", "r").send_and_read(env.daemon.address());
        assert_ne!(reply.status, 200, "{}", reply.body);
        raw.request_count() > 0
    });
    eventually("the crash to be counted", || {
        env.daemon.metrics().contains("gypsumchute_endpoint_crashes_total{source=\"local\"}")
    });
    // Another engine answers the same request.
    let streams = Behaviour::Streams { events: 3, event_interval_ms: 10 };
    let engine = Endpoint::start(&env.endpoint_state, "engine", streams);
    register_endpoint(&env.store, &engine, "engines", "a", "ready");
    eventually("a stream from the other engine", || {
        let reply = generation_request("briefs", "r").send_and_read(env.daemon.address());
        reply.status == 200 && reply.complete && reply.body == complete_stream(3)
    });
}
