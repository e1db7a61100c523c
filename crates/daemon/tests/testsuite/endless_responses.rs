//! Endpoints that send bytes without end which are no response, in the head or in the body, until
//! the daemon closes the connection. Callers get the answer of another endpoint, or an error soon.

use crate::support::{
    API_KEY, TestEnv, complete_stream, eventually, generation_request, register_endpoint,
};
use gypsumchute_platform_standin::{
    Behaviour, CallerRequest, CompleteResponse, Endpoint, OpenResponse, RawEndpoint, RawResponse,
};
use std::thread;
use std::time::{Duration, Instant};

/// Head of a response to request `r` that is valid so far.
const VALID_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\nX-Response-Signature: s\r\n";

/// Returns a response that repeats `repeated` after `first`, with a pause before each repetition.
fn endless(first: &str, repeated: impl Into<Vec<u8>>, pause_ms: u64) -> RawResponse {
    let pause = Duration::from_millis(pause_ms);
    RawResponse { first: first.as_bytes().to_vec(), repeated: repeated.into(), pause }
}

/// Returns a chunk of the chunked encoding with this content.
fn chunk(content: &str) -> String {
    format!("{:x}\r\n{content}\r\n", content.len())
}

/// Returns a response whose chunked body repeats `content`.
fn endless_chunks(content: &str, pause_ms: u64) -> RawResponse {
    let head = format!("{VALID_HEAD}Transfer-Encoding: chunked\r\n\r\n");
    endless(&head, chunk(content), pause_ms)
}

/// Responses whose head has no end, by what is wrong with it.
fn endless_heads() -> Vec<(&'static str, RawResponse)> {
    let filler = "x".repeat(1_024);
    vec![
        ("headers", endless(VALID_HEAD, format!("X-Filler: {filler}\r\n"), 0)),
        ("one header", endless(&format!("{VALID_HEAD}X-Filler: "), filler.clone(), 0)),
        ("status line", endless("HTTP/1.1 200 ", filler, 0)),
        ("no HTTP", endless("", vec![0u8; 1_024], 0)),
        ("slow headers", endless(VALID_HEAD, "X: y\r\n", 50)),
        ("informational responses", endless("", "HTTP/1.1 100 Continue\r\n\r\n", 0)),
        ("early hints", endless("", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", 0)),
    ]
}

/// Responses whose body has no end.
fn endless_bodies() -> Vec<(&'static str, RawResponse)> {
    let filler = "x".repeat(1_024);
    vec![
        ("chunks", endless_chunks(&filler, 0)),
        ("slow chunks", endless_chunks("x", 50)),
        ("no length", endless(&format!("{VALID_HEAD}\r\n"), filler.clone(), 0)),
        (
            "one chunk",
            endless(
                &format!("{VALID_HEAD}Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n"),
                filler.clone(),
                0,
            ),
        ),
        (
            "chunk extension",
            endless(&format!("{VALID_HEAD}Transfer-Encoding: chunked\r\n\r\n5;a="), filler, 0),
        ),
        (
            "trailers",
            endless(
                &format!("{VALID_HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n"),
                "X-Trailer: y\r\n",
                0,
            ),
        ),
    ]
}

/// Starts a daemon with an endless endpoint in its own zone and a healthy one in another zone,
/// which is used only if the first one fails.
fn start(service: &'static str, response: RawResponse) -> (TestEnv, RawEndpoint, Vec<Endpoint>) {
    let (env, endpoints) = TestEnv::start(|endpoint_state| {
        let behaviour = match service {
            "books" => Behaviour::Succeeds,
            _ => Behaviour::Streams { events: 5, event_interval_ms: 5 },
        };
        vec![(Endpoint::start(endpoint_state, "healthy", behaviour), service, "b")]
    });
    let raw = RawEndpoint::start("endless", response);
    env.store.put("servers/endless", &raw.registry_entry(service, "a"));
    (env, raw, endpoints)
}

/// Response to a request that the endless endpoint has received.
struct Outcome {
    reply: CompleteResponse,
    elapsed: Duration,
    /// Number of times that the healthy endpoint received the request.
    healthy_runs: usize,
}

/// Sends `request` until the endless endpoint receives it, and returns the outcome of that attempt.
fn send_to_endless(env: &TestEnv, raw: &RawEndpoint, request: &CallerRequest) -> Outcome {
    let mut outcome = None;
    eventually("the endless endpoint to be used", || {
        let runs_before = env.endpoint_state.received_requests().len();
        let sent_at = Instant::now();
        let reply = request.send_and_read(env.daemon.address());
        let healthy_runs = env.endpoint_state.received_requests().len() - runs_before;
        outcome = Some(Outcome { reply, elapsed: sent_at.elapsed(), healthy_runs });
        raw.request_count() > 0
    });
    outcome.expect("an attempt")
}

/// Checks that the daemon has closed its connections to the endless endpoint.
fn check_closed(what: &str, raw: &RawEndpoint) {
    eventually(&format!("{what}: closed connections"), || raw.open_connections() == 0);
}

#[test]
fn a_read_is_answered_by_another_endpoint() {
    for (what, response) in endless_heads().into_iter().chain(endless_bodies()) {
        let (env, raw, _endpoints) = start("books", response);
        let request = CallerRequest::new("GET /reads/x", "r", API_KEY);
        let Outcome { reply, elapsed, .. } = send_to_endless(&env, &raw, &request);
        assert_eq!(reply.status, 200, "{what}: {}", reply.body);
        assert_eq!(reply.body, "answer of healthy", "{what}");
        assert!(elapsed < Duration::from_secs(1), "{what}: answered after {elapsed:?}");
        check_closed(what, &raw);
    }
}

#[test]
fn an_order_ends_as_one_that_may_have_run_by_the_timeout_of_its_route() {
    for (what, response) in endless_heads().into_iter().chain(endless_bodies()) {
        let (env, raw, _endpoints) = start("books", response);
        let request = CallerRequest::new("POST /orders/new", "r", API_KEY).body("an order");
        let Outcome { reply, elapsed, healthy_runs } = send_to_endless(&env, &raw, &request);
        assert!([502, 504].contains(&reply.status), "{what}: {} {}", reply.status, reply.body);
        assert!(reply.body.contains("may_have_run"), "{what}: {}", reply.body);
        assert!(elapsed < Duration::from_millis(1_300), "{what}: ended after {elapsed:?}");
        assert_eq!(raw.request_count(), 1, "{what}");
        assert_eq!(healthy_runs, 0, "{what}");
        check_closed(what, &raw);
    }
}

/// Streams that go on without end and without the next event.
fn endless_streams() -> Vec<(&'static str, RawResponse)> {
    let mut streams = endless_bodies();
    streams.extend([
        ("event without an end", endless_chunks("id: 1\ndata: x", 0)),
        ("comments", endless_chunks(": still here\n\n", 5)),
        ("blank lines", endless_chunks("\n\n", 5)),
        ("events without an id", endless_chunks("data: nothing\n\n", 5)),
        ("events with a text as id", endless_chunks("id: one\ndata: nothing\n\n", 5)),
    ]);
    streams
}

#[test]
fn a_generation_that_may_be_repeated_is_completed_by_another_engine() {
    for (what, response) in endless_heads().into_iter().chain(endless_streams()) {
        let (env, raw, _endpoints) = start("engines", response);
        let request = generation_request("briefs", "r");
        let Outcome { reply, elapsed, .. } = send_to_endless(&env, &raw, &request);
        assert_eq!(reply.status, 200, "{what}: {}", reply.body);
        assert_eq!(reply.body, complete_stream(5), "{what}");
        assert!(reply.complete, "{what}");
        // The latency target of the route is 400 ms, and a run may be late by 700 ms.
        assert!(elapsed < Duration::from_millis(2_000), "{what}: answered after {elapsed:?}");
        check_closed(what, &raw);
    }
}

#[test]
fn a_generation_that_may_not_be_repeated_forwards_nothing_that_is_no_event() {
    for (what, response) in endless_heads().into_iter().chain(endless_streams()) {
        let (env, raw, _endpoints) = start("engines", response);
        let request = generation_request("surveys", "r").timeout_ms(2_000);
        let Outcome { reply, elapsed, .. } = send_to_endless(&env, &raw, &request);
        let is_error = [502, 504].contains(&reply.status) && reply.body.contains("may_have_run");
        let is_cut = reply.status == 200 && reply.body.is_empty() && !reply.complete;
        assert!(is_error || is_cut, "{what}: {} {:?}", reply.status, reply.body);
        assert!(elapsed < Duration::from_millis(2_300), "{what}: ended after {elapsed:?}");
        check_closed(what, &raw);
    }
}

/// Guards against an engine that repeats an event without end, so that its run never stalls.
#[test]
fn an_engine_that_repeats_its_last_event_has_stalled() {
    let first = format!(
        "{VALID_HEAD}Transfer-Encoding: chunked\r\n\r\n{}",
        chunk("id: 1\ndata: token 1\n\n")
    );
    let response = endless(&first, chunk("id: 1\ndata: token 1\n\n"), 5);
    let (env, raw, _endpoints) = start("engines", response);
    let request = generation_request("briefs", "r");
    let Outcome { reply, elapsed, .. } = send_to_endless(&env, &raw, &request);
    assert_eq!((reply.status, reply.body), (200, complete_stream(5)));
    // Four times the longest pause between events that the route allows, which is 150 ms.
    assert!(elapsed < Duration::from_millis(1_500), "answered after {elapsed:?}");
    check_closed("repeated event", &raw);
}

/// Guards against an engine that never ends the body of an error.
#[test]
fn an_engine_error_with_an_endless_body_ends_the_run() {
    let error_head = "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: r\r\n\
                      X-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (what, pause_ms) in [("fast", 0), ("slow", 50)] {
        let response = || endless(error_head, chunk("an error"), pause_ms);
        let (env, raw, _endpoints) = start("engines", response());
        let request = generation_request("briefs", "r");
        let Outcome { reply, elapsed, .. } = send_to_endless(&env, &raw, &request);
        assert_eq!((reply.status, reply.body), (200, complete_stream(5)), "{what}");
        assert!(elapsed < Duration::from_secs(1), "{what}: answered after {elapsed:?}");
        check_closed(what, &raw);

        let (env, raw, _endpoints) = start("engines", response());
        let request = generation_request("surveys", "r");
        let Outcome { reply, elapsed, .. } = send_to_endless(&env, &raw, &request);
        assert_eq!(reply.status, 502, "{what}: {}", reply.body);
        assert!(reply.body.contains("may_have_run"), "{what}: {}", reply.body);
        assert!(elapsed < Duration::from_secs(2), "{what}: ended after {elapsed:?}");
        check_closed(what, &raw);
    }
}

/// Guards against a VM on which the requests of other callers fail or wait, while endpoints send without
/// end.
#[test]
fn the_requests_of_others_are_served_while_endpoints_send_without_end() {
    for (what, response) in endless_heads().into_iter().chain(endless_streams()) {
        let (env, raw, _endpoints) = start("engines", response);
        let book = Endpoint::start(&env.endpoint_state, "book", Behaviour::Succeeds);
        register_endpoint(&env.store, &book, "books", "a", "ready");
        let surveys = generation_request("surveys", "r").timeout_ms(2_000);
        send_to_endless(&env, &raw, &surveys);
        let address = env.daemon.address();
        let endless: Vec<_> = (0..16)
            .map(|_| {
                let survey = surveys.clone();
                thread::spawn(move || drop(survey.try_send(address).map(OpenResponse::read_to_end)))
            })
            .collect();
        for n in 0..20 {
            let order = CallerRequest::new("POST /orders/x", &format!("order-{n}"), API_KEY);
            let sent_at = Instant::now();
            let reply = order.body("an order").send_and_read(address);
            assert_eq!(reply.status, 200, "{what}: {}", reply.body);
            let elapsed = sent_at.elapsed();
            assert!(elapsed < Duration::from_millis(500), "{what}: answered after {elapsed:?}");
        }
        endless.into_iter().for_each(|caller| caller.join().expect("caller"));
        check_closed(what, &raw);
    }
}
