//! Endpoints that say in their answers that they are leaving.

use crate::support::{
    API_KEY, Daemon, TestEnv, complete_stream, configured_store, eventually, generation_request,
    register_endpoint,
};
use gypsumchute_platform_standin::{
    Behaviour, CallerRequest, CompleteResponse, Endpoint, SharedEndpointState, Store, StoreMode,
};
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Replicas of a plain service in zone `a`, registered as ready.
fn start_books(store: &Store, endpoint_state: &SharedEndpointState, count: usize) -> Vec<Endpoint> {
    let start = |n| Endpoint::start(endpoint_state, &format!("book-{n}"), Behaviour::Succeeds);
    let books: Vec<_> = (1..=count).map(start).collect();
    books.iter().for_each(|book| register_endpoint(store, book, "books", "a", "ready"));
    books
}

fn send_order(daemon: SocketAddr, id: &str) -> CompleteResponse {
    let request = CallerRequest::new("POST /orders/x", id, API_KEY);
    request.body(&format!("order {id}")).send_and_read(daemon)
}

/// Sends 20 orders one after the other and returns how many were served.
fn serve_orders(daemon: SocketAddr, name: &str) -> usize {
    let sent = (0..20).map(|n| send_order(daemon, &format!("{name}-{n}")));
    sent.filter(|reply| reply.status == 200).count()
}

/// Returns the number of requests that `endpoint` has received.
fn arrivals(endpoint_state: &SharedEndpointState, endpoint: &str) -> usize {
    endpoint_state.received_requests().iter().filter(|r| r.endpoint == endpoint).count()
}

/// Sends orders until `endpoint` has answered one, and returns the number that it received.
fn send_until_answered_by(
    daemon: SocketAddr,
    endpoint_state: &SharedEndpointState,
    endpoint: &str,
) -> usize {
    let mut sent = 0;
    eventually("an answer of the leaving endpoint", || {
        sent += 1;
        send_order(daemon, &format!("until-{sent}"));
        arrivals(endpoint_state, endpoint) > 0
    });
    arrivals(endpoint_state, endpoint)
}

#[test]
fn an_endpoint_that_says_it_is_leaving_gets_nothing_new_whatever_the_registry_says() {
    let (store, state) = (configured_store(), SharedEndpointState::default());
    let books = start_books(&store, &state, 2);
    let daemon = Daemon::start(store.address(), "vm-1", "a", &[]);
    daemon.wait_ready(true);
    books[0].set_leaving(true);
    let before = send_until_answered_by(daemon.address(), &state, "book-1");
    assert_eq!(serve_orders(daemon.address(), "a"), 20);
    // The entry changes and still says that the endpoint is ready.
    register_endpoint(&store, &books[0], "books", "a", "ready");
    sleep(Duration::from_millis(200));
    assert_eq!(serve_orders(daemon.address(), "b"), 20);
    store.set_mode(StoreMode::RejectsCalls);
    assert_eq!(serve_orders(daemon.address(), "c"), 20);
    assert_eq!(arrivals(&state, "book-1"), before, "a leaving endpoint got new requests");
}

#[test]
fn a_refusal_that_says_the_endpoint_is_leaving_counts() {
    let (store, state) = (configured_store(), SharedEndpointState::default());
    let books = start_books(&store, &state, 2);
    let daemon = Daemon::start(store.address(), "vm-1", "a", &[]);
    daemon.wait_ready(true);
    books[0].set_leaving(true);
    books[0].set_behaviour(Behaviour::Rejects);
    send_until_answered_by(daemon.address(), &state, "book-1");
    books[0].set_behaviour(Behaviour::Succeeds);
    let before = arrivals(&state, "book-1");
    assert_eq!(serve_orders(daemon.address(), "a"), 20);
    assert_eq!(arrivals(&state, "book-1"), before);
}

#[test]
fn other_vms_hear_that_an_endpoint_is_leaving() {
    let (store, state) = (configured_store(), SharedEndpointState::default());
    let books = start_books(&store, &state, 2);
    let first = Daemon::start(store.address(), "vm-1", "a", &[]);
    let second = Daemon::start(store.address(), "vm-2", "a", &[first.settings.peers_listen]);
    first.wait_ready(true);
    second.wait_ready(true);
    sleep(Duration::from_secs(1));
    books[0].set_leaving(true);
    let before = send_until_answered_by(first.address(), &state, "book-1");
    sleep(Duration::from_millis(300));
    assert_eq!(serve_orders(second.address(), "a"), 20);
    assert_eq!(arrivals(&state, "book-1"), before);
}

/// Guards against a notice that is told only to the VMs that live at that moment.
#[test]
fn a_vm_that_starts_later_hears_that_an_endpoint_is_leaving() {
    let (store, state) = (configured_store(), SharedEndpointState::default());
    let books = start_books(&store, &state, 2);
    let first = Daemon::start(store.address(), "vm-1", "a", &[]);
    first.wait_ready(true);
    books[0].set_leaving(true);
    let before = send_until_answered_by(first.address(), &state, "book-1");
    sleep(Duration::from_secs(4));
    let second = Daemon::start(store.address(), "vm-2", "a", &[first.settings.peers_listen]);
    second.wait_ready(true);
    sleep(Duration::from_millis(300));
    assert_eq!(serve_orders(second.address(), "a"), 20);
    assert_eq!(arrivals(&state, "book-1"), before);
    // The endpoint has started again.
    books[0].start_again();
    register_endpoint(&store, &books[0], "books", "a", "ready");
    let third = Daemon::start(store.address(), "vm-3", "a", &[first.settings.peers_listen]);
    third.wait_ready(true);
    eventually("a request at the endpoint that started again", || {
        send_order(third.address(), "again");
        arrivals(&state, "book-1") > before
    });
}

#[test]
fn an_endpoint_that_starts_again_is_used_again() {
    let (store, state) = (configured_store(), SharedEndpointState::default());
    let mut books = start_books(&store, &state, 2);
    let daemon = Daemon::start(store.address(), "vm-1", "a", &[]);
    daemon.wait_ready(true);
    books[0].set_leaving(true);
    send_until_answered_by(daemon.address(), &state, "book-1");
    books[0].kill();
    sleep(Duration::from_millis(5));
    let again = Endpoint::start(&state, "book-1", Behaviour::Succeeds);
    register_endpoint(&store, &again, "books", "a", "ready");
    let before = arrivals(&state, "book-1");
    eventually("a request at the endpoint that started again", || {
        send_order(daemon.address(), "again");
        arrivals(&state, "book-1") > before
    });
}

#[test]
fn what_only_a_leaving_endpoint_could_serve_is_refused_at_once() {
    let (store, state) = (configured_store(), SharedEndpointState::default());
    let books = start_books(&store, &state, 1);
    let daemon = Daemon::start(store.address(), "vm-1", "a", &[]);
    daemon.wait_ready(true);
    books[0].set_leaving(true);
    send_until_answered_by(daemon.address(), &state, "book-1");
    let before = arrivals(&state, "book-1");
    let reply = send_order(daemon.address(), "late");
    assert_eq!(reply.status, 503);
    assert!(reply.body.contains("not_run"), "{}", reply.body);
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(arrivals(&state, "book-1"), before);
}

/// A stream runs for longer than a leaving endpoint does, so its notice must start the move.
#[test]
fn a_stream_moves_off_an_engine_that_says_it_is_leaving() {
    let slow = Behaviour::Streams { events: 60, event_interval_ms: 50 };
    let (env, engines) = TestEnv::start(|state| {
        let start = |id| (Endpoint::start(state, id, slow), "engines", "a");
        ["engine-1", "engine-2"].map(start).into()
    });
    engines[0].set_leaving(true);
    // The second stream begins at the engine that has none.
    let streams =
        ["r1", "r2"].map(|id| (id, generation_request("surveys", id).send(env.daemon.address())));
    let mut moves = 0;
    for (id, stream) in streams {
        let reply = stream.read_to_end();
        assert_eq!((reply.status, reply.complete), (200, true));
        assert_eq!(reply.body, complete_stream(60));
        let runs = env.endpoint_state.received_requests();
        let runs: Vec<_> = runs.iter().filter(|run| run.request_id() == id).collect();
        let last = runs.last().expect("a run");
        assert_eq!(last.endpoint, "engine-2", "{id}");
        moves += u32::from(runs[0].endpoint == "engine-1");
    }
    assert_eq!(moves, 1, "a stream that begins at the leaving engine and moves");
    let before = arrivals(&env.endpoint_state, "engine-1");
    let started = Instant::now();
    generation_request("surveys", "after").send_and_read(env.daemon.address());
    assert!(started.elapsed() < Duration::from_secs(6));
    assert_eq!(arrivals(&env.endpoint_state, "engine-1"), before);
}

/// Without the store, VMs ask the engines of their streams. One that only drains serves on there, and
/// one that says in the headers of its report that it is leaving does not.
#[test]
fn a_report_that_says_the_engine_is_leaving_moves_its_streams() {
    let slow = Behaviour::Streams { events: 60, event_interval_ms: 100 };
    let (env, engines) = TestEnv::start(|state| {
        let start = |id| (Endpoint::start(state, id, slow), "engines", "a");
        ["engine-1", "engine-2"].map(start).into()
    });
    let caller = generation_request("surveys", "r1").timeout_ms(20_000);
    let mut stream = caller.send(env.daemon.address());
    let first = stream.next_chunk().expect("open stream").expect("next event");
    let running = env.last_run_endpoint("r1");
    env.store_mode(StoreMode::RejectsCalls);
    let engine = engines.iter().find(|engine| engine.id == running).expect("running engine");
    engine.set_leaving(true);
    eventually("the run to move", || env.last_run_endpoint("r1") != running);
    let reply = stream.read_to_end();
    assert_eq!((reply.complete, first + &reply.body), (true, complete_stream(60)));
}

/// Guards against a run that is given up for an engine that does not answer, while its own engine,
/// which is leaving, would have ended it in time.
#[test]
fn a_stream_of_a_leaving_engine_is_kept_if_the_next_engine_does_not_answer() {
    let stream = Behaviour::Streams { events: 60, event_interval_ms: 20 };
    let (env, engines) = TestEnv::start(|state| {
        let start = |id| (Endpoint::start(state, id, stream), "engines", "a");
        vec![start("engine-1"), start("engine-2")]
    });
    let caller = generation_request("surveys", "r1").timeout_ms(5_000);
    let mut open = caller.send(env.daemon.address());
    let first = open.next_chunk().expect("open stream").expect("next event");
    let leaving = env.last_run_endpoint("r1");
    for engine in &engines {
        match engine.id == leaving {
            true => register_endpoint(&env.store, engine, "engines", "a", "draining"),
            false => engine.set_behaviour(Behaviour::Hangs),
        }
    }
    let reply = open.read_to_end();
    assert_eq!((reply.complete, first + &reply.body), (true, complete_stream(60)));
}
