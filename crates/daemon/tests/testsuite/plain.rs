//! Requests to plain services: each runs no more often than the route allows, and the response
//! tells the caller whether the request may have run.

use crate::support::{API_KEY, TestEnv, eventually};
use gypsumchute_platform_standin::{Behaviour, CallerRequest, Endpoint, SharedEndpointState};

/// Returns a function that starts two endpoints with the given behaviours.
fn services(
    behaviours: [Behaviour; 2],
) -> impl FnOnce(&SharedEndpointState) -> Vec<(Endpoint, &'static str, &'static str)> {
    move |endpoint_state| {
        let first = Endpoint::start(endpoint_state, "book-1", behaviours[0]);
        let second = Endpoint::start(endpoint_state, "book-2", behaviours[1]);
        vec![(first, "books", "a"), (second, "books", "a")]
    }
}

/// Returns how many requests endpoints have run.
fn runs(env: &TestEnv) -> usize {
    env.endpoint_state.received_requests().iter().filter(|arrival| arrival.executed).count()
}

/// Returns a request to an idempotent route.
fn read(request_id: &str) -> CallerRequest {
    CallerRequest::new("GET /reads/week?day=3", request_id, API_KEY)
}

/// Returns a request to a non-idempotent route.
fn order(request_id: &str) -> CallerRequest {
    CallerRequest::new("POST /orders/new", request_id, API_KEY).body("an order")
}

#[test]
fn the_response_to_an_order_is_forwarded_unchanged() {
    let (env, _endpoints) = TestEnv::start(services([Behaviour::Succeeds; 2]));
    let reply = order("r1").send_and_read(env.daemon.address());
    let arrival = &env.endpoint_state.received_requests()[0];
    assert_eq!((reply.status, reply.complete), (200, true));
    assert_eq!(reply.body, format!("answer of {}", arrival.endpoint));
    assert_eq!(arrival.body, "an order");
    assert!(arrival.remaining_ms().expect("numeric header") <= 1_000);
}

#[test]
fn an_order_that_may_have_run_is_not_retried() {
    for behaviour in
        [Behaviour::DropsConnection, Behaviour::TruncatesBody, Behaviour::MismatchesRequestId]
    {
        let (env, _endpoints) = TestEnv::start(services([behaviour; 2]));
        let reply = order("r1").send_and_read(env.daemon.address());
        assert_eq!(reply.status, 502, "{behaviour:?}");
        assert_eq!(runs(&env), 1, "{behaviour:?}");
    }
}

#[test]
fn an_order_rejected_by_all_endpoints_is_refused_as_not_run() {
    let (env, _endpoints) = TestEnv::start(services([Behaviour::Rejects; 2]));
    let reply = order("r1").send_and_read(env.daemon.address());
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(runs(&env), 0);
}

#[test]
fn an_order_rejected_by_one_endpoint_runs_at_the_other() {
    let (env, endpoints) = TestEnv::start(services([Behaviour::Rejects, Behaviour::Rejects]));
    endpoints[1].set_behaviour(Behaviour::Succeeds);
    let reply = order("r1").send_and_read(env.daemon.address());
    assert_eq!((reply.status, runs(&env)), (200, 1));
}

#[test]
fn a_failed_read_is_retried_at_another_endpoint() {
    for behaviour in [
        Behaviour::DropsConnection,
        Behaviour::TruncatesBody,
        Behaviour::MismatchesRequestId,
        Behaviour::FailsAfterExecution,
    ] {
        let (env, _endpoints) = TestEnv::start(services([behaviour, Behaviour::Succeeds]));
        for request in 0..4 {
            let reply = read(&format!("r{request}")).send_and_read(env.daemon.address());
            assert_eq!((reply.status, reply.complete), (200, true), "{behaviour:?}");
        }
    }
}

#[test]
fn an_order_without_a_response_fails_at_the_route_timeout() {
    let (env, _endpoints) = TestEnv::start(services([Behaviour::Hangs; 2]));
    let started = std::time::Instant::now();
    let reply = order("r1").send_and_read(env.daemon.address());
    let elapsed_ms = started.elapsed().as_millis();
    assert_eq!(reply.status, 504);
    assert!((900..1_500).contains(&elapsed_ms), "answered after {elapsed_ms} ms");
    assert_eq!(runs(&env), 1);
    eventually("the run to end", || env.endpoint_state.active_executions("r1") == 0);
}

#[test]
fn reserved_headers_from_callers_are_removed() {
    let (env, _endpoints) = TestEnv::start(services([Behaviour::Succeeds; 2]));
    let caller = read("r1").forge_system_headers();
    assert_eq!(caller.send_and_read(env.daemon.address()).status, 200);
    let arrivals = env.endpoint_state.received_requests();
    let arrival = &arrivals[0];
    assert_eq!(arrival.customer(), "acme");
    assert_eq!(arrival.request_line, "GET /reads/week?day=3");
    assert!(arrival.leaked_headers().is_empty(), "{:?}", arrival.leaked_headers());
}

#[test]
fn a_smuggled_request_closes_the_connection() {
    let (env, _endpoints) = TestEnv::start(services([Behaviour::Succeeds; 2]));
    let smuggler = order("r1")
        .header("Content-Length", "5")
        .header("Transfer-Encoding", "chunked")
        .body("0\r\n\r\nGET /reads/x HTTP/1.1\r\nHost: models.example\r\n\r\n");
    let reply = smuggler.send_and_read(env.daemon.address());
    assert_eq!(reply.headers["connection"], "close");
    let lines: Vec<_> = env
        .endpoint_state
        .received_requests()
        .into_iter()
        .map(|arrival| arrival.request_line)
        .collect();
    assert_eq!(lines, ["POST /orders/new"]);
}

#[test]
fn unknown_keys_and_routes_get_distinct_statuses() {
    let (env, _endpoints) = TestEnv::start(services([Behaviour::Succeeds; 2]));
    let address = env.daemon.address();
    assert_eq!(
        CallerRequest::new("GET /reads/x", "r1", "another-key").send_and_read(address).status,
        401
    );
    assert_eq!(
        CallerRequest::new("GET /elsewhere/x", "r2", API_KEY).send_and_read(address).status,
        404
    );
    assert_eq!(CallerRequest::new("GET /reads", "r3", API_KEY).send_and_read(address).status, 404);
    let large = "x".repeat(100_001);
    assert_eq!(order("r4").body(&large).send_and_read(address).status, 413);
    assert_eq!(runs(&env), 0);
}

#[test]
fn a_lost_read_without_another_endpoint_is_refused_as_may_have_run() {
    let (env, endpoints) = TestEnv::start(services([Behaviour::DropsConnection; 2]));
    env.store.unregister(&endpoints[1].id);
    eventually("one endpoint to remain", || {
        let reply = read("r1").send_and_read(env.daemon.address());
        let is_only_endpoint = env
            .endpoint_state
            .received_requests()
            .iter()
            .rev()
            .take(2)
            .all(|a| a.endpoint == "book-1");
        assert_eq!(reply.status, 502, "{}", reply.body);
        is_only_endpoint
    });
}
