//! State that VMs share: configuration, load and termination notices reach all VMs, including those
//! that cannot read the store.

use crate::support::{
    API_KEY, Daemon, complete_stream, configuration, configured_store, eventually,
    generation_request, register_endpoint,
};
use gypsumchute_platform_standin::{
    Behaviour, CallerRequest, Endpoint, SharedEndpointState, Store, StoreMode,
};
use std::time::{Duration, Instant};

/// Sends a read request and returns the status of the response.
fn read(daemon: &Daemon, key: &str) -> u16 {
    CallerRequest::new("GET /reads/x", "r", key).send_and_read(daemon.address()).status
}

/// Starts two VMs in one zone and a service. The store of the second VM rejects all requests.
/// Returns the two stores, the VMs and the service.
fn one_vm_with_and_one_without_store_access() -> (Store, Store, Vec<Daemon>, Endpoint) {
    let (store, unavailable_store) = (configured_store(), Store::start());
    unavailable_store.set_mode(StoreMode::RejectsCalls);
    let service = Endpoint::start(&SharedEndpointState::default(), "book-1", Behaviour::Succeeds);
    register_endpoint(&store, &service, "books", "a", "ready");
    let first = Daemon::start(store.address(), "vm-1", "a", &[]);
    let seeds = [first.settings.peers_listen];
    let second = Daemon::start(unavailable_store.address(), "vm-2", "a", &seeds);
    first.wait_ready(true);
    second.wait_ready(true);
    (store, unavailable_store, vec![first, second], service)
}

/// Two VMs in one zone that know each other, and two engines.
struct TwoVms {
    store: Store,
    endpoint_state: SharedEndpointState,
    daemons: [Daemon; 2],
    _engines: [Endpoint; 2],
}

/// Starts [`TwoVms`] with engines that show the given behaviour.
fn two_vms_and_two_engines(behaviour: Behaviour) -> TwoVms {
    let (store, endpoint_state) = (configured_store(), SharedEndpointState::default());
    let engines =
        ["engine-1", "engine-2"].map(|id| Endpoint::start(&endpoint_state, id, behaviour));
    engines.iter().for_each(|engine| register_endpoint(&store, engine, "engines", "a", "ready"));
    let first = Daemon::start(store.address(), "vm-1", "a", &[]);
    let second = Daemon::start(store.address(), "vm-2", "a", &[first.settings.peers_listen]);
    first.wait_ready(true);
    second.wait_ready(true);
    eventually("heartbeats", || first.metrics().contains("gypsumchute_peer_messages_total"));
    std::thread::sleep(Duration::from_millis(500));
    TwoVms { store, endpoint_state, daemons: [first, second], _engines: engines }
}

#[test]
fn a_vm_without_store_access_gets_changes_from_peers() {
    let (store, _unavailable_store, daemons, _service) = one_vm_with_and_one_without_store_access();
    assert_eq!(read(&daemons[1], API_KEY), 200);
    store.configure(&configuration(9, &["another-key"]));
    let started = Instant::now();
    for daemon in &daemons {
        eventually("the key to be withdrawn", || read(daemon, API_KEY) == 401);
        assert_eq!(read(daemon, "another-key"), 200);
    }
    assert!(started.elapsed() < Duration::from_millis(1_500), "{:?}", started.elapsed());
    store.set_zone_drained("a", true);
    eventually("the zone to be out of service", || read(&daemons[1], "another-key") == 503);
    store.set_zone_drained("a", false);
    eventually("the zone to be back in service", || read(&daemons[1], "another-key") == 200);
}

#[test]
fn a_vm_without_store_access_moves_runs_off_an_unregistered_engine() {
    let (store, endpoint_state) = (configured_store(), SharedEndpointState::default());
    let slow = Behaviour::Streams { events: 60, event_interval_ms: 50 };
    let engines = ["engine-1", "engine-2"].map(|id| Endpoint::start(&endpoint_state, id, slow));
    engines.iter().for_each(|engine| register_endpoint(&store, engine, "engines", "a", "ready"));
    let first = Daemon::start(store.address(), "vm-1", "a", &[]);
    first.wait_ready(true);
    let unavailable_store = Store::start();
    unavailable_store.set_mode(StoreMode::RejectsCalls);
    // This VM ranks before the other one, so it stays a reader and keeps retrying.
    let second =
        Daemon::start(unavailable_store.address(), "vm-0", "a", &[first.settings.peers_listen]);
    second.wait_ready(true);
    std::thread::sleep(Duration::from_millis(1_500));
    let mut stream = generation_request("surveys", "r1").send(second.address());
    let first_event = stream.next_chunk().expect("open stream").expect("next event");
    let at = |index: usize| endpoint_state.received_requests()[index].endpoint.clone();
    store.unregister(&at(0));
    let unregistered_at = Instant::now();
    eventually("the run to move", || endpoint_state.received_requests().len() == 2);
    assert!(
        unregistered_at.elapsed() < Duration::from_millis(1_000),
        "the engine is terminated soon afterwards"
    );
    assert_ne!(at(0), at(1));
    let reply = stream.read_to_end();
    assert_eq!((reply.complete, first_event + &reply.body), (true, complete_stream(60)));
}

#[test]
fn older_and_invalid_configurations_are_ignored() {
    let (store, _unavailable_store, daemons, _service) = one_vm_with_and_one_without_store_access();
    store.configure(&configuration(6, &["older-key"]));
    store.configure(&"not a configuration".into());
    store.set_zone_drained("b", true);
    std::thread::sleep(Duration::from_millis(500));
    for daemon in &daemons {
        assert_eq!((read(daemon, API_KEY), read(daemon, "older-key")), (200, 401));
    }
}

#[test]
fn unknown_keys_are_refused_temporarily_while_the_store_is_unavailable() {
    let (store, _unavailable_store, daemons, _service) = one_vm_with_and_one_without_store_access();
    assert_eq!(read(&daemons[0], "new-key"), 401);
    store.set_mode(StoreMode::Unresponsive);
    for daemon in &daemons {
        eventually("a temporary refusal", || read(daemon, "new-key") == 503);
        assert_eq!(read(daemon, API_KEY), 200, "known keys are still accepted");
    }
    store.set_mode(StoreMode::Available);
    eventually("a final refusal", || read(&daemons[1], "new-key") == 401);
}

#[test]
fn a_vm_without_a_configuration_is_not_ready_and_refuses_requests_as_not_run() {
    let unavailable_store = Store::start();
    unavailable_store.set_mode(StoreMode::ResetsConnections);
    let daemon = Daemon::start(unavailable_store.address(), "vm-1", "a", &[]);
    daemon.wait_ready(false);
    let reply = CallerRequest::new("GET /reads/x", "r", API_KEY).send_and_read(daemon.address());
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"));
    assert!(reply.body.contains("no_configuration"), "{}", reply.body);
}

#[test]
fn two_vms_choose_different_engines_for_concurrent_requests() {
    let slow = Behaviour::Streams { events: 20, event_interval_ms: 30 };
    let env = two_vms_and_two_engines(slow);
    let (endpoint_state, [first, second]) = (&env.endpoint_state, &env.daemons);
    for round in 0..3 {
        let ids = [format!("a{round}"), format!("b{round}")];
        let one = generation_request("surveys", &ids[0]).send(first.address());
        let other = generation_request("surveys", &ids[1]).send(second.address());
        assert_eq!(one.read_to_end().body, complete_stream(20));
        assert_eq!(other.read_to_end().body, complete_stream(20));
        let arrivals = endpoint_state.received_requests();
        let at = |id: &String| {
            let found = arrivals.iter().find(|a| a.request_id() == id);
            found.expect("request reached an engine").endpoint.clone()
        };
        assert_ne!(at(&ids[0]), at(&ids[1]), "round {round}");
    }
}

#[test]
fn termination_notices_are_announced_to_peers() {
    let slow = Behaviour::Streams { events: 60, event_interval_ms: 50 };
    let env = two_vms_and_two_engines(slow);
    let (endpoint_state, [first, second]) = (&env.endpoint_state, &env.daemons);
    let mut stream = generation_request("surveys", "r1").send(first.address());
    stream.next_chunk().expect("open stream").expect("next event");
    let terminating = endpoint_state.received_requests()[0].endpoint.clone();
    env.store.set_mode(StoreMode::RejectsCalls);
    endpoint_state.announce_termination(&terminating);
    eventually("the run to move", || endpoint_state.received_requests().len() == 2);
    // The second VM has no load at that engine, so it does not poll the engine.
    std::thread::sleep(Duration::from_millis(100));
    for n in 0..4 {
        let mut other = generation_request("surveys", &format!("s{n}")).send(second.address());
        other.next_chunk().expect("open stream").expect("next event");
    }
    let arrivals = endpoint_state.received_requests();
    assert!(arrivals[2..].iter().all(|arrival| arrival.endpoint != terminating));
}

#[test]
fn refusals_and_retries_are_counted_by_reason() {
    let (_store, _unavailable_store, daemons, service) = one_vm_with_and_one_without_store_access();
    assert_eq!(read(&daemons[0], "wrong"), 401);
    service.set_behaviour(Behaviour::Rejects);
    assert_eq!(read(&daemons[0], API_KEY), 503);
    let metrics = daemons[0].metrics();
    let count = |name: &str| metrics.lines().filter(|line| line.starts_with(name)).count();
    assert_eq!(count(r#"gypsumchute_refusals_total{reason="unknown_key",verdict="not_run"} 1"#), 1);
    assert_eq!(count(r#"gypsumchute_retries_total{reason="not_run"}"#), 1, "{metrics}");
    assert!(count("gypsumchute_request_ms_bucket") > 0);
}

#[test]
fn heartbeats_continue_after_a_burst_of_changes() {
    let (_store, _unavailable_store, daemons, service) = one_vm_with_and_one_without_store_access();
    service.set_behaviour(Behaviour::DropsConnection);
    // Each lost order is announced to the other VM immediately.
    for order in 0..150 {
        let caller = CallerRequest::new("POST /orders/new", &format!("r{order}"), API_KEY);
        caller.body(&format!("order {order}")).send_and_read(daemons[0].address());
    }
    std::thread::sleep(Duration::from_millis(300));
    let sent = |daemon: &Daemon| {
        let metrics = daemon.metrics();
        let line = metrics.lines().find_map(|l| l.strip_prefix("gypsumchute_peer_messages_total "));
        line.and_then(|count| count.parse::<u64>().ok()).unwrap_or(0)
    };
    let before = sent(&daemons[0]);
    std::thread::sleep(Duration::from_millis(2_000));
    let heartbeats = sent(&daemons[0]) - before;
    assert!(heartbeats >= 5, "{heartbeats} heartbeats in 2 s, expected one every 300 ms");
}

#[test]
fn arbitrary_datagrams_are_ignored() {
    let (_store, _unavailable_store, daemons, _service) =
        one_vm_with_and_one_without_store_access();
    let peers = daemons[0].settings.peers_listen;
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("bind a socket");
    let mut state = 0x9e37_79b9_7f4a_7c15u64;
    for length in (0..400).chain([1_400, 7_000, 9_000]) {
        let bytes: Vec<u8> = (0..length)
            .map(|_| {
                state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                (state >> 56) as u8
            })
            .collect();
        socket.send_to(&bytes, peers).expect("send a datagram");
    }
    // A connection that sends an invalid frame is closed or times out; other requests are served
    // in the meantime.
    let mut stream = std::net::TcpStream::connect(peers).expect("connect to the daemon");
    std::io::Write::write_all(&mut stream, &[0xff; 64]).expect("write bytes");
    assert_eq!(read(&daemons[0], API_KEY), 200);
    daemons[0].wait_ready(true);
}
