//! What callers are told of requests that this VM has handed to a peer VM.

use crate::faulty_peer::{FaultyPeer, PeerBehaviour};
use crate::links::Cut;
use crate::support::{API_KEY, configuration, eventually, generation_request};
use crate::zoned_fleet::ZonedFleet;
use gypsumchute_platform_standin::{Brittleness, CallerRequest, CompleteResponse};
use std::thread;
use std::time::{Duration, Instant};

/// Starts a VM without links to endpoints, whose only peer treats requests as told.
fn start_with_peer(behaviour: PeerBehaviour) -> (ZonedFleet, FaultyPeer) {
    let fleet = ZonedFleet::start(&["a"]);
    let peer = FaultyPeer::start(&fleet.daemons[0], "a", behaviour);
    thread::sleep(Duration::from_millis(500));
    fleet.links[0].cut(Cut::Silent);
    (fleet, peer)
}

/// A request of each kind that the caller gives a time limit.
fn requests(timeout_ms: u64) -> [CallerRequest; 4] {
    let order = CallerRequest::new("POST /orders/x", "order", API_KEY).body("an order");
    let read = CallerRequest::new("GET /reads/x", "read", API_KEY);
    let survey = generation_request("surveys", "survey");
    let brief = generation_request("briefs", "brief");
    [order, read, survey, brief].map(|request| request.timeout_ms(timeout_ms))
}

/// Raises the time limits of all routes.
fn allow_long_requests(fleet: &ZonedFleet) {
    let mut configuration = configuration(8, &[API_KEY]);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = 20_000.into();
    }
    fleet.store.configure(&configuration);
    thread::sleep(Duration::from_millis(500));
}

fn assert_may_have_run(reply: &CompleteResponse) {
    assert!([502, 504].contains(&reply.status), "{}: {}", reply.status, reply.body);
    assert!(reply.body.contains("may_have_run"), "{}", reply.body);
    assert_eq!(reply.headers.get("retry-after"), None);
}

fn assert_not_run(reply: &CompleteResponse) {
    assert_eq!(reply.status, 503, "{}", reply.body);
    assert!(reply.body.contains("not_run"), "{}", reply.body);
    assert!(reply.headers.contains_key("retry-after"), "{}", reply.body);
}

/// Guards against a promise that a request has not run, which a peer VM has received, because the
/// deadline ended the wait for the peer.
#[test]
fn a_request_without_a_response_from_a_peer_before_the_deadline_may_have_run() {
    let (fleet, peer) = start_with_peer(PeerBehaviour::Freezes);
    for request in requests(1_000) {
        let before = peer.received_requests();
        let reply = request.send_and_read(fleet.daemons[0].address());
        assert_eq!(peer.received_requests(), before + 1, "the request was sent once");
        assert_may_have_run(&reply);
    }
}

/// Guards against the same promise at the end of the grace period.
#[test]
fn a_request_without_a_response_from_a_peer_before_the_exit_may_have_run() {
    let (mut fleet, peer) = start_with_peer(PeerBehaviour::Freezes);
    allow_long_requests(&fleet);
    let address = fleet.daemons[0].address();
    let callers =
        requests(20_000).map(|request| thread::spawn(move || request.send_and_read(address)));
    eventually("the peer to receive the requests", || peer.received_requests() == 4);
    fleet.daemons[0].stop();
    for caller in callers {
        assert_may_have_run(&caller.join().expect("caller"));
    }
}

/// Guards against a caller that is kept from a retry although no peer VM received its request.
#[test]
fn a_request_that_no_peer_received_has_not_run() {
    for behaviour in [PeerBehaviour::Declines, PeerBehaviour::ClosesUnanswered] {
        let (fleet, peer) = start_with_peer(behaviour);
        for request in requests(1_000) {
            assert_not_run(&request.send_and_read(fleet.daemons[0].address()));
        }
        assert_eq!(peer.received_requests(), 0);
    }
}

/// Guards against a caller that is kept from a retry although the peer VM vouches that nothing ran.
#[test]
fn a_request_that_a_peer_refused_as_not_run_has_not_run() {
    const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nrefusal-reason: no_room\r\n\
        Retry-After: 0.2\r\nContent-Length: 7\r\n\r\nnot_run";
    let (fleet, _peer) = start_with_peer(PeerBehaviour::Replies(REFUSAL));
    for request in requests(1_000) {
        assert_not_run(&request.send_and_read(fleet.daemons[0].address()));
    }
}

/// Guards against CONFIG: a caller that is held past its deadline by a peer VM that freezes after the
/// beginning of its reply.
#[test]
fn a_reply_that_a_peer_does_not_finish_ends_at_the_deadline() {
    const BEGINNING: &str = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n\
        Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
        9\r\nid: 1\ndat\r\n";
    let (fleet, _peer) = start_with_peer(PeerBehaviour::FreezesAfter(BEGINNING));
    for request in requests(1_000) {
        let started = Instant::now();
        let reply = request.send_and_read(fleet.daemons[0].address());
        assert!(!reply.complete);
        assert!(started.elapsed() < Duration::from_millis(1_500), "{:?}", started.elapsed());
    }
}

/// Guards against LOST: an endpoint that is only late is given up for a peer VM whose response breaks off.
#[test]
fn a_late_endpoint_answers_if_the_response_of_a_peer_breaks_off() {
    const BEGINNING: &str = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n\
        Content-Length: 100\r\n\r\nthe beginning";
    let fleet = ZonedFleet::start(&["a"]);
    let peer = FaultyPeer::start(&fleet.daemons[0], "a", PeerBehaviour::Replies(BEGINNING));
    allow_long_requests(&fleet);
    let slow = Brittleness { max_rejections_per_s: 1_000, room: 100, work_ms: 1_500 };
    fleet.endpoints.iter().for_each(|endpoint| endpoint.set_brittle(Some(slow)));
    let address = fleet.daemons[0].address();
    let request = CallerRequest::new("GET /reads/x", "r1", API_KEY).timeout_ms(4_000);
    let caller = thread::spawn(move || request.send_and_read(address));
    eventually("the request at an endpoint", || fleet.runs("r1") == 1);
    fleet.links[0].cut(Cut::RefusesNew);
    let reply = caller.join().expect("caller");
    assert_eq!(peer.received_requests(), 1);
    assert_eq!((reply.status, reply.complete), (200, true), "{}", reply.body);
    assert!(reply.body.starts_with("answer of book-"), "{}", reply.body);
}
