//! Answers of faulty endpoints: an earlier refusal once more, an error in place of the rest of a
//! stream, a head that breaks off.

use crate::support::{
    API_KEY, Daemon, TestEnv, complete_stream, configured_store, eventually, generation_request,
    register_endpoint,
};
use gypsumchute_platform_standin::{
    Behaviour, CallerRequest, Endpoint, RawEndpoint, RawResponse, SharedEndpointState,
};

/// Starts an endpoint of `service` that answers each request with `first` and closes the connection,
/// and a sound endpoint of the other service.
fn start(service: &'static str, first: &str) -> (TestEnv, RawEndpoint) {
    let (env, _) = TestEnv::start(|endpoint_state| {
        let other = if service == "books" { "engines" } else { "books" };
        vec![(Endpoint::start(endpoint_state, "other", Behaviour::Succeeds), other, "a")]
    });
    let first = first.as_bytes().to_vec();
    let raw = RawEndpoint::start("raw", RawResponse { first, ..RawResponse::default() });
    env.store.put("servers/raw", &raw.registry_entry(service, "a"));
    eventually("the endpoint to be known", || {
        env.daemon.metrics();
        CallerRequest::new("POST /orders/x", "first", API_KEY).send_and_read(env.daemon.address());
        generation_request("surveys", "first").send_and_read(env.daemon.address());
        raw.request_count() > 0
    });
    (env, raw)
}

/// Guards against a refusal of another request that makes a request count as not run.
#[test]
fn an_earlier_refusal_does_not_tell_that_this_request_was_not_run() {
    let refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: earlier\r\nX-Not-Executed: 1\r\n\
        Content-Length: 0\r\n\r\n";
    let answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Signature: s\r\n\
        Content-Length: 2\r\n\r\nok";
    for service in ["books", "engines"] {
        let (env, raw) = start(service, &format!("{refusal}{answer}"));
        let before = raw.request_count();
        let reply = match service {
            "books" => CallerRequest::new("POST /orders/x", "r1", API_KEY)
                .send_and_read(env.daemon.address()),
            _ => generation_request("surveys", "r1").send_and_read(env.daemon.address()),
        };
        assert_eq!(reply.status, 502, "{service}: {}", reply.body);
        assert!(reply.body.contains("may_have_run"), "{service}: {}", reply.body);
        assert_eq!(raw.request_count() - before, 1, "{service}: the request was sent once");
    }
}

/// Guards against a head that breaks off and reaches the caller as an empty or short answer.
#[test]
fn an_answer_whose_head_breaks_off_is_no_answer() {
    let heads = [
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Sig",
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Signature: s\r\n",
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Signature: s\r\nContent-Length: 2\r\n",
        "HTTP/1.1 2",
    ];
    for service in ["books", "engines"] {
        for head in heads {
            let (env, raw) = start(service, head);
            let reply = match service {
                "books" => CallerRequest::new("POST /orders/x", "r1", API_KEY)
                    .send_and_read(env.daemon.address()),
                _ => generation_request("surveys", "r1").send_and_read(env.daemon.address()),
            };
            assert_eq!(reply.status, 502, "{service}, {head:?}: {}", reply.body);
            assert!(raw.request_count() > 0);
        }
    }
}

/// Guards against an engine's error, or its head, in the middle of a stream that another engine began,
/// and against such a stream that looks complete.
#[test]
fn an_error_of_the_next_engine_ends_the_stream_visibly() {
    for next in [Behaviour::FailsAfterExecution, Behaviour::DropsConnection, Behaviour::Rejects] {
        let (store, state) = (configured_store(), SharedEndpointState::default());
        let slow = Behaviour::Streams { events: 200, event_interval_ms: 20 };
        let mut first = Endpoint::start(&state, "first", slow);
        register_endpoint(&store, &first, "engines", "a", "ready");
        let daemon = Daemon::start(store.address(), "vm-1", "a", &[]);
        daemon.wait_ready(true);
        // The second engine receives the backup of the stream, but doesn't go on with it.
        let second = Endpoint::start(&state, "second", slow);
        register_endpoint(&store, &second, "engines", "a", "ready");
        std::thread::sleep(std::time::Duration::from_millis(300));
        let stream_on_first = (0..20).find_map(|n| {
            let id = format!("r{n}");
            let mut stream = generation_request("surveys", &id).send(daemon.address());
            let events = stream.next_chunk().expect("open stream").expect("first event");
            let received = state.received_requests();
            let run = received.iter().rev().find(|r| r.executed && r.request_id() == id);
            let is_on_first = run.is_some_and(|run| run.endpoint == "first");
            is_on_first.then_some((stream, events))
        });
        let (stream, mut events) = stream_on_first.expect("a stream at the first engine");
        second.set_behaviour(next);
        first.kill();
        let rest = stream.read_to_end();
        events.push_str(&rest.body);
        assert!(!rest.complete, "{next:?}: the stream looks complete");
        assert!(complete_stream(200).starts_with(&events), "{next:?}: {events}");
    }
}
