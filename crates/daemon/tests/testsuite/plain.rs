//! Requests to plain services run as often as they may, and callers learn what is true.

use crate::support::{KEY, Set, eventually};
use gypsumchute_platform_standin::{Behaviour, Caller, Endpoint, World};

fn services(
    behaviours: [Behaviour; 2],
) -> impl FnOnce(&World) -> Vec<(Endpoint, &'static str, &'static str)> {
    move |world| {
        let first = Endpoint::start(world, "book-1", behaviours[0]);
        let second = Endpoint::start(world, "book-2", behaviours[1]);
        vec![(first, "books", "a"), (second, "books", "a")]
    }
}

fn runs(set: &Set) -> usize {
    set.world.arrivals().iter().filter(|arrival| arrival.ran).count()
}

fn read(request_id: &str) -> Caller {
    Caller::new("GET /reads/week?day=3", request_id, KEY)
}

fn order(request_id: &str) -> Caller {
    Caller::new("POST /orders/new", request_id, KEY).body("an order")
}

#[test]
fn an_order_is_answered_as_the_endpoint_answered_it() {
    let (set, _endpoints) = Set::start(services([Behaviour::Answers; 2]));
    let reply = order("r1").call(set.daemon.address());
    let arrival = &set.world.arrivals()[0];
    assert_eq!((reply.status, reply.whole), (200, true));
    assert_eq!(reply.body, format!("answer of {}", arrival.endpoint));
    assert_eq!(arrival.body, "an order");
    assert!(arrival.left_ms().expect("a number") <= 1_000);
}

#[test]
fn an_order_that_may_have_run_is_not_sent_again() {
    for behaviour in [Behaviour::Loses, Behaviour::Truncates, Behaviour::Crosses] {
        let (set, _endpoints) = Set::start(services([behaviour; 2]));
        let reply = order("r1").call(set.daemon.address());
        assert_eq!(reply.status, 502, "{behaviour:?}");
        assert_eq!(runs(&set), 1, "{behaviour:?}");
    }
}

#[test]
fn an_order_that_was_turned_down_everywhere_gets_the_promise_that_it_has_not_run() {
    let (set, _endpoints) = Set::start(services([Behaviour::Rejects; 2]));
    let reply = order("r1").call(set.daemon.address());
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(runs(&set), 0);
}

#[test]
fn an_order_that_one_endpoint_turns_down_runs_at_the_other() {
    let (set, endpoints) = Set::start(services([Behaviour::Rejects, Behaviour::Rejects]));
    endpoints[1].set(Behaviour::Answers);
    let reply = order("r1").call(set.daemon.address());
    assert_eq!((reply.status, runs(&set)), (200, 1));
}

#[test]
fn a_read_that_is_lost_is_answered_by_another_endpoint() {
    for behaviour in [Behaviour::Loses, Behaviour::Truncates, Behaviour::Crosses, Behaviour::Fails]
    {
        let (set, _endpoints) = Set::start(services([behaviour, Behaviour::Answers]));
        for request in 0..4 {
            let reply = read(&format!("r{request}")).call(set.daemon.address());
            assert_eq!((reply.status, reply.whole), (200, true), "{behaviour:?}");
        }
    }
}

#[test]
fn an_order_without_an_answer_gets_one_at_the_routes_timeout() {
    let (set, _endpoints) = Set::start(services([Behaviour::Hangs; 2]));
    let begun = std::time::Instant::now();
    let reply = order("r1").call(set.daemon.address());
    let elapsed_ms = begun.elapsed().as_millis();
    assert_eq!(reply.status, 504);
    assert!((900..1_500).contains(&elapsed_ms), "answered after {elapsed_ms} ms");
    assert_eq!(runs(&set), 1);
    eventually("the end of its work", || set.world.at_work("r1") == 0);
}

#[test]
fn what_only_the_system_may_set_is_not_taken_from_callers() {
    let (set, _endpoints) = Set::start(services([Behaviour::Answers; 2]));
    let caller = read("r1").forge_system_headers();
    assert_eq!(caller.call(set.daemon.address()).status, 200);
    let arrivals = set.world.arrivals();
    let arrival = &arrivals[0];
    assert_eq!(arrival.customer(), "acme");
    assert_eq!(arrival.line, "GET /reads/week?day=3");
    assert!(arrival.forbidden_headers().is_empty(), "{:?}", arrival.forbidden_headers());
}

#[test]
fn a_request_that_hides_another_one_ends_its_connection() {
    let (set, _endpoints) = Set::start(services([Behaviour::Answers; 2]));
    let smuggler = order("r1")
        .header("Content-Length", "5")
        .header("Transfer-Encoding", "chunked")
        .body("0\r\n\r\nGET /reads/x HTTP/1.1\r\nHost: models.example\r\n\r\n");
    let reply = smuggler.call(set.daemon.address());
    assert_eq!(reply.headers["connection"], "close");
    let lines: Vec<_> = set.world.arrivals().into_iter().map(|arrival| arrival.line).collect();
    assert_eq!(lines, ["POST /orders/new"]);
}

#[test]
fn wrong_keys_and_routes_are_told_apart() {
    let (set, _endpoints) = Set::start(services([Behaviour::Answers; 2]));
    let address = set.daemon.address();
    assert_eq!(Caller::new("GET /reads/x", "r1", "another-key").call(address).status, 401);
    assert_eq!(Caller::new("GET /elsewhere/x", "r2", KEY).call(address).status, 404);
    assert_eq!(Caller::new("GET /reads", "r3", KEY).call(address).status, 404);
    let large = "x".repeat(100_001);
    assert_eq!(order("r4").body(&large).call(address).status, 413);
    assert_eq!(runs(&set), 0);
}

#[test]
fn a_read_that_was_lost_is_not_said_not_to_have_run_when_nothing_else_is_left() {
    let (set, endpoints) = Set::start(services([Behaviour::Loses; 2]));
    set.store.unregister(&endpoints[1].id);
    eventually("one endpoint to be left", || {
        let reply = read("r1").call(set.daemon.address());
        let alone = set.world.arrivals().iter().rev().take(2).all(|a| a.endpoint == "book-1");
        assert_eq!(reply.status, 502, "{}", reply.body);
        alone
    });
}
