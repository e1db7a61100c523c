//! Endpoints that turn requests away and say for how long they want nothing from this VM.

use crate::support::{API_KEY, Daemon, configured_store, generation_request, register_endpoint};
use gypsumchute_platform_standin::{
    Behaviour, CallerRequest, CompleteResponse, Endpoint, SharedEndpointState, Store,
};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A store, replicas of one service in zone `a` and one daemon.
struct Fleet {
    state: SharedEndpointState,
    replicas: Vec<Endpoint>,
    daemon: Daemon,
    _store: Store,
}

impl Fleet {
    fn start(service: &str, behaviour: Behaviour, count: usize) -> Self {
        let (store, state) = (configured_store(), SharedEndpointState::default());
        let start = |n| Endpoint::start(&state, &format!("replica-{n}"), behaviour);
        let replicas: Vec<_> = (1..=count).map(start).collect();
        replicas.iter().for_each(|r| register_endpoint(&store, r, service, "a", "ready"));
        let daemon = Daemon::start(store.address(), "vm-1", "a", &[]);
        daemon.wait_ready(true);
        Fleet { state, replicas, daemon, _store: store }
    }

    fn send_order(&self, id: &str) -> CompleteResponse {
        let request = CallerRequest::new("POST /orders/x", id, API_KEY);
        request.body(&format!("order {id}")).send_and_read(self.daemon.address())
    }

    /// Returns when the requests to `endpoint` arrived.
    fn arrivals(&self, endpoint: &str) -> Vec<Instant> {
        let received = self.state.received_requests();
        let here = received.iter().filter(|request| request.endpoint == endpoint);
        here.map(|request| request.received_at).collect()
    }
}

#[test]
fn an_endpoint_that_names_a_pause_gets_nothing_until_its_end() {
    let fleet = Fleet::start("books", Behaviour::Succeeds, 2);
    fleet.replicas[0].set_retry_after(Some("1.5"));
    let started = Instant::now();
    let mut served = 0;
    let mut sent = 0;
    while started.elapsed() < Duration::from_millis(2_500) {
        sent += 1;
        served += usize::from(fleet.send_order(&format!("r{sent}")).status == 200);
        sleep(Duration::from_millis(20));
    }
    assert_eq!(served, sent, "the other endpoint has room");
    let arrivals = fleet.arrivals("replica-1");
    let pauses: Vec<_> = arrivals.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(!pauses.is_empty(), "the endpoint was not used again after its pause");
    let shortest = pauses.iter().min().expect("checked above");
    assert!(*shortest >= Duration::from_millis(1_490), "{pauses:?}");
}

#[test]
fn what_only_paused_endpoints_could_serve_is_refused_at_once() {
    let fleet = Fleet::start("books", Behaviour::Succeeds, 1);
    fleet.replicas[0].set_retry_after(Some("5"));
    for n in 0..5 {
        let started = Instant::now();
        let reply = fleet.send_order(&format!("r{n}"));
        assert_eq!(reply.status, 503);
        assert!(reply.body.contains("not_run"), "{}", reply.body);
        assert!(reply.headers.contains_key("retry-after"));
        assert!(started.elapsed() < Duration::from_millis(150), "{:?}", started.elapsed());
    }
    assert_eq!(fleet.arrivals("replica-1").len(), 1);
}

#[test]
fn a_request_waits_for_the_end_of_a_short_pause() {
    let fleet = Fleet::start("books", Behaviour::Succeeds, 1);
    fleet.replicas[0].set_retry_after(Some("0.15"));
    let reply = std::thread::scope(|scope| {
        let reply = scope.spawn(|| fleet.send_order("r1"));
        while fleet.arrivals("replica-1").is_empty() {
            sleep(Duration::from_millis(2));
        }
        fleet.replicas[0].set_retry_after(None);
        reply.join().expect("response")
    });
    assert_eq!(reply.status, 200);
    let arrivals = fleet.arrivals("replica-1");
    assert_eq!(arrivals.len(), 2);
    assert!(arrivals[1] - arrivals[0] >= Duration::from_millis(145));
}

#[test]
fn a_generation_goes_to_another_engine_during_a_pause() {
    let stream = Behaviour::Streams { events: 3, event_interval_ms: 5 };
    let fleet = Fleet::start("engines", stream, 2);
    fleet.replicas[0].set_retry_after(Some("30"));
    for n in 0..12 {
        let id = format!("r{n}");
        let reply = generation_request("surveys", &id).send_and_read(fleet.daemon.address());
        assert_eq!((reply.status, reply.complete), (200, true));
    }
    assert!(fleet.arrivals("replica-1").len() <= 1);
}

/// An endpoint that asks for a pause is not at fault.
#[test]
fn an_endpoint_is_as_good_as_before_after_its_pause() {
    let fleet = Fleet::start("books", Behaviour::Succeeds, 2);
    let shares: Vec<_> = (0..5).map(|pause| share_after_pause(&fleet, pause)).collect();
    let share: usize = shares.iter().sum();
    assert!((30..=70).contains(&share), "{share} of 100 requests: {shares:?}");
}

/// Has the first endpoint ask for a pause. Returns how many of the 20 requests after it arrive there.
fn share_after_pause(fleet: &Fleet, pause: usize) -> usize {
    let arrivals = || fleet.arrivals("replica-1").len();
    fleet.replicas[0].set_retry_after(Some("0.4"));
    let before_pause = arrivals();
    let mut sent = 0;
    while arrivals() == before_pause {
        sent += 1;
        fleet.send_order(&format!("before-{pause}-{sent}"));
    }
    fleet.replicas[0].set_retry_after(None);
    sleep(Duration::from_millis(450));
    let after_pause = arrivals();
    (0..20).for_each(|n| drop(fleet.send_order(&format!("after-{pause}-{n}"))));
    arrivals() - after_pause
}

#[test]
fn a_pause_that_cannot_be_read_is_ignored() {
    let fleet = Fleet::start("books", Behaviour::Succeeds, 1);
    for value in ["-1", "soon", "Wed, 21 Oct 2015 07:28:00 GMT", "1e999", "NaN"] {
        fleet.replicas[0].set_retry_after(Some(value));
        let before = fleet.arrivals("replica-1").len();
        fleet.send_order("turned-away");
        assert!(fleet.arrivals("replica-1").len() > before, "{value:?} was taken for a pause");
    }
    fleet.replicas[0].set_retry_after(None);
    assert_eq!(fleet.send_order("served").status, 200);
    let counted = fleet.daemon.metrics();
    assert!(counted.contains("sign=\"invalid_pause\""), "{counted}");
}
