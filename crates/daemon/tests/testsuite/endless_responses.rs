//! Endpoints that send bytes without end which are no response, in the head or in the body, until
//! the daemon closes the connection. Callers get the answer of another endpoint, or an error soon.

use crate::support::{API_KEY, TestEnv, eventually};
use gypsumchute_platform_standin::{
    Behaviour, CallerRequest, CompleteResponse, Endpoint, RawEndpoint, RawResponse,
};
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
        vec![(Endpoint::start(endpoint_state, "healthy", Behaviour::Succeeds), service, "b")]
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
