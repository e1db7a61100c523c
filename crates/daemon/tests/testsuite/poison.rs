//! Poison requests: a request that crashes every endpoint is refused on all VMs after three
//! crashes.

use crate::support::{
    API_KEY, Daemon, TestEnv, configuration, eventually, generation_request, register_endpoint,
};
use gypsumchute_fleet::messages::{Datagram, EndpointLoad, Heartbeat, PoisonRequest, datagram};
use gypsumchute_platform_standin::{
    Behaviour, CallerRequest, CompleteResponse, Endpoint, RawEndpoint, RawResponse,
    SharedEndpointState, Store,
};
use gypsumchute_units::rendezvous::hash64;
use prost::Message;
use std::net::UdpSocket;
use std::thread;
use std::time::{Duration, Instant};

/// Starts two VMs in one zone and six endpoints.
fn start(endpoint_state: &SharedEndpointState) -> (Store, Vec<Endpoint>, Vec<Daemon>) {
    let store = Store::start();
    store.configure(&configuration(7, &[API_KEY]));
    let start = |n| Endpoint::start(endpoint_state, &format!("book-{n}"), Behaviour::Succeeds);
    let books: Vec<_> = (0..6).map(start).collect();
    books.iter().for_each(|book| register_endpoint(&store, book, "books", "a", "ready"));
    let first = Daemon::start(store.address(), "vm-1", "a", &[]);
    let second = Daemon::start(store.address(), "vm-2", "a", &[first.settings.peers_listen]);
    first.wait_ready(true);
    second.wait_ready(true);
    eventually("heartbeats", || {
        first.metrics().contains("gypsumchute_peer_messages_total")
            && second.metrics().contains("gypsumchute_peer_messages_total")
    });
    thread::sleep(Duration::from_millis(500));
    (store, books, vec![first, second])
}

/// Sends a read request with the given body.
fn read(daemon: &Daemon, body: &str) -> CompleteResponse {
    CallerRequest::new("POST /reads/x", "r", API_KEY).body(body).send_and_read(daemon.address())
}

/// Reports whether `daemon` has counted this number of crashes that it observed (`local`) or that
/// peers reported (`peer`).
fn counted_crashes(daemon: &Daemon, source: &str, count: u64) -> bool {
    let line = format!("gypsumchute_endpoint_crashes_total{{source=\"{source}\"}} {count}\n");
    daemon.metrics().contains(&line)
}

#[test]
fn a_poison_request_is_refused_on_all_vms_after_three_crashes() {
    let endpoint_state = SharedEndpointState::default();
    let (_store, books, daemons) = start(&endpoint_state);
    books.iter().for_each(|book| book.set_behaviour(Behaviour::DropsConnection));
    assert_eq!(read(&daemons[0], "poison").status, 502);
    assert_eq!(endpoint_state.received_requests().len(), 2, "the route allows two endpoints");
    // The other VM knows of both crashes and uses at most one more endpoint.
    thread::sleep(Duration::from_millis(700));
    assert!(counted_crashes(&daemons[0], "local", 2), "{}", daemons[0].metrics());
    assert!(counted_crashes(&daemons[1], "peer", 2), "{}", daemons[1].metrics());
    read(&daemons[1], "poison");
    thread::sleep(Duration::from_millis(700));
    let used_endpoints = endpoint_state.received_requests().len();
    assert!(used_endpoints <= 4, "{used_endpoints} endpoints were used");
    for daemon in [&daemons[0], &daemons[1], &daemons[0]] {
        let sent_at = Instant::now();
        let refused = read(daemon, "poison");
        assert_eq!(refused.status, 503, "{}", refused.body);
        assert!(refused.body.contains("poison_request"), "{}", refused.body);
        assert!(refused.body.contains("not_run"), "{}", refused.body);
        assert!(refused.headers.contains_key("retry-after"));
        assert!(sent_at.elapsed() < Duration::from_millis(500), "the refusal was delayed");
    }
    assert_eq!(
        endpoint_state.received_requests().len(),
        used_endpoints,
        "the request reached an endpoint again"
    );
    books.iter().for_each(|book| book.set_behaviour(Behaviour::Succeeds));
    for daemon in &daemons {
        assert_eq!(read(daemon, "harmless").status, 200);
    }
}

/// Number of endpoints that a poison request may reach once the fleet has had time to learn of the
/// third crash.
const MAX_LATE_ARRIVALS: usize = 3;
/// Time in which a crash becomes known to all VMs that can reach each other.
const SPREAD_TIME: Duration = Duration::from_secs(3);

/// Sends the poison request to `daemon` until it is refused without being sent. Returns how many
/// endpoints it reached in total.
fn send_until_refused(daemon: &Daemon, endpoint_state: &SharedEndpointState) -> usize {
    for _ in 0..4 {
        if read(daemon, "poison").body.contains("poison_request") {
            return endpoint_state.received_requests().len();
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("the request was not refused after {:?}", endpoint_state.received_requests().len());
}

/// Guards against crash reports that stay in the zone in which the crash was observed.
#[test]
fn a_poison_request_is_refused_in_every_zone_of_a_large_fleet() {
    const ZONES: [&str; 3] = ["a", "b", "c"];
    const VMS_PER_ZONE: usize = 6;
    let (store, endpoint_state) = (Store::start(), SharedEndpointState::default());
    store.configure(&configuration(7, &[API_KEY]));
    let mut books = Vec::new();
    for (zone, n) in ZONES.iter().flat_map(|zone| (0..5).map(move |n| (zone, n))) {
        let id = format!("book-{zone}-{n}");
        let book = Endpoint::start(&endpoint_state, &id, Behaviour::DropsConnection);
        register_endpoint(&store, &book, "books", zone, "ready");
        books.push(book);
    }
    let mut daemons: Vec<Daemon> = Vec::new();
    for n in 0..ZONES.len() * VMS_PER_ZONE {
        let seeds: Vec<_> = daemons.iter().take(3).map(|d| d.settings.peers_listen).collect();
        let zone = ZONES[n % ZONES.len()];
        daemons.push(Daemon::start(store.address(), &format!("vm-{n:02}"), zone, &seeds));
    }
    daemons.iter().for_each(|daemon| daemon.wait_ready(true));
    // The VMs hear of each other, and each zone chooses its gateways.
    thread::sleep(SPREAD_TIME);
    let crashed = send_until_refused(&daemons[0], &endpoint_state);
    thread::sleep(SPREAD_TIME);
    daemons.iter().for_each(|daemon| drop(read(daemon, "poison")));
    let late = endpoint_state.received_requests().len() - crashed;
    assert!(late <= MAX_LATE_ARRIVALS, "{crashed} crashes, then {late} endpoints reached later");
}

/// Guards against a VM that starts after the crashes were reported and never learns of them.
#[test]
fn a_vm_that_starts_later_refuses_a_known_poison_request() {
    let endpoint_state = SharedEndpointState::default();
    let (store, books, daemons) = start(&endpoint_state);
    books.iter().for_each(|book| book.set_behaviour(Behaviour::DropsConnection));
    let crashed = send_until_refused(&daemons[0], &endpoint_state);
    thread::sleep(SPREAD_TIME);
    let seeds = [daemons[0].settings.peers_listen];
    let late = Daemon::start(store.address(), "vm-3", "a", &seeds);
    late.wait_ready(true);
    thread::sleep(SPREAD_TIME);
    let refused = read(&late, "poison");
    assert!(refused.body.contains("poison_request"), "{} {}", refused.status, refused.body);
    assert_eq!(endpoint_state.received_requests().len(), crashed);
}

/// Tells `daemon` in a heartbeat that another VM refuses the request with this path and body.
fn report_refusal(daemon: &Daemon, path: &str, body: &str) {
    report_refusal_with_loads(daemon, path, body, 0);
}

/// Tells `daemon` of a refusal in the heartbeat of a VM that uses `endpoint_count` endpoints.
fn report_refusal_with_loads(daemon: &Daemon, path: &str, body: &str, endpoint_count: u32) {
    let fingerprint = hash64(&[path.as_bytes(), b"acme", body.as_bytes()]);
    let load = |n| EndpointLoad {
        endpoint: format!("i-{n:010x}"),
        requests: 3,
        tokens: 12_345,
        ..EndpointLoad::default()
    };
    let heartbeat = Heartbeat {
        vm: "vm-9".to_owned(),
        zone: "a".to_owned(),
        loads: (0..endpoint_count).map(load).collect(),
        poison_requests: vec![PoisonRequest { fingerprint, refused_for_ms: 60_000 }],
        ..Heartbeat::default()
    };
    let datagram = Datagram { body: Some(datagram::Body::Heartbeat(heartbeat)) };
    let socket = UdpSocket::bind("127.0.0.1:0").expect("free port");
    socket.send_to(&datagram.encode_to_vec(), daemon.settings.peers_listen).expect("sent");
}

/// Sends `request` on a thread of its own and returns the response with the time that it took.
fn send_in_background(
    daemon: &Daemon,
    request: CallerRequest,
) -> thread::JoinHandle<(CompleteResponse, Duration)> {
    let address = daemon.address();
    thread::spawn(move || {
        let sent_at = Instant::now();
        (request.send_and_read(address), sent_at.elapsed())
    })
}

/// Guards against a request that is retried after it has become known as a poison request.
#[test]
fn a_request_that_becomes_known_as_poison_is_not_retried() {
    let (env, _endpoints) = TestEnv::start(|endpoint_state| {
        ["book-1", "book-2"]
            .map(|id| (Endpoint::start(endpoint_state, id, Behaviour::Hangs), "books", "a"))
            .into()
    });
    let request = CallerRequest::new("POST /reads/x", "r", API_KEY).body("poison");
    let caller = send_in_background(&env.daemon, request);
    let runs = || env.endpoint_state.received_requests().len();
    eventually("the first attempt", || runs() == 1);
    report_refusal(&env.daemon, "/reads/x", "poison");
    let (reply, _) = caller.join().expect("response");
    assert_eq!(reply.status, 502, "{}", reply.body);
    assert!(reply.body.contains("poison_request"), "{}", reply.body);
    assert!(reply.body.contains("may_have_run"), "{}", reply.body);
    assert_eq!(runs(), 1, "the request was sent to another endpoint");
}

/// Guards against a request that waits for capacity and is sent although it has become known as a
/// poison request.
#[test]
fn a_queued_request_that_becomes_known_as_poison_is_refused_at_once() {
    // Output that fills most of the memory of the only engine.
    let generation = |id: &str| generation_request("surveys", id).output_tokens(20_000, 20_000);
    let (env, _endpoints) = TestEnv::start(|endpoint_state| {
        vec![(Endpoint::start(endpoint_state, "engine-1", Behaviour::Hangs), "engines", "a")]
    });
    let _running = send_in_background(&env.daemon, generation("running"));
    let runs = || env.endpoint_state.received_requests().len();
    eventually("the engine to be full", || runs() == 1);
    let caller = send_in_background(&env.daemon, generation("queued").body("poison"));
    thread::sleep(Duration::from_millis(50));
    report_refusal(&env.daemon, "/surveys/write", "poison");
    let (reply, elapsed) = caller.join().expect("response");
    assert_eq!(reply.status, 503, "{}", reply.body);
    assert!(reply.body.contains("poison_request"), "{}", reply.body);
    assert!(reply.body.contains("not_run"), "{}", reply.body);
    assert!(elapsed < Duration::from_millis(200), "refused after {elapsed:?}");
    assert_eq!(runs(), 1);
}

/// Guards against innocent requests that are refused as poison, because endpoints that answered
/// them wrongly were counted as crashed.
#[test]
fn an_endpoint_that_answers_wrongly_did_not_crash() {
    let raw_responses = [
        "not HTTP\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\nX-Response-Signature: s\r\n\
         Transfer-Encoding: chunked\r\n\r\nnot a chunk\r\n",
    ];
    let raw = |(n, response): (usize, &str)| {
        let first = response.as_bytes().to_vec();
        RawEndpoint::start(&format!("raw-{n}"), RawResponse { first, ..RawResponse::default() })
    };
    let raw_endpoints: Vec<_> = raw_responses.into_iter().enumerate().map(raw).collect();
    let (env, endpoints) = TestEnv::start(|endpoint_state| {
        ["book-1", "book-2"]
            .map(|id| Endpoint::start(endpoint_state, id, Behaviour::MismatchesRequestId))
            .map(|endpoint| (endpoint, "books", "a"))
            .into()
    });
    // An entry whose address now belongs to another endpoint, which answers 421.
    let reused = endpoints[0].registry_entry("books", "a", "ready");
    env.store.put("servers/book-gone", &reused);
    for raw in &raw_endpoints {
        env.store.put(&format!("servers/{}", raw.id), &raw.registry_entry("books", "a"));
    }
    let used = || {
        let raw_used = raw_endpoints.iter().filter(|raw| raw.request_count() > 0).count();
        let arrivals = env.endpoint_state.received_requests();
        let misdirected = arrivals.iter().any(|a| a.expected_endpoint() == "book-gone");
        raw_used + usize::from(misdirected)
    };
    eventually("all endpoints to answer wrongly", || {
        let reply = read(&env.daemon, "innocent");
        assert!(!reply.body.contains("poison_request"), "{}", reply.body);
        used() == 3
    });
    raw_endpoints.iter().for_each(|raw| env.store.unregister(&raw.id));
    endpoints.iter().for_each(|endpoint| endpoint.set_behaviour(Behaviour::Succeeds));
    eventually("an answer", || read(&env.daemon, "innocent").status == 200);
}

/// Guards against crashes that don't count because the zone of the engine is out of service.
#[test]
fn an_engine_that_crashes_in_a_drained_zone_counts() {
    let (env, mut engines) = TestEnv::start(|endpoint_state| {
        let slow = Behaviour::Streams { events: 200, event_interval_ms: 50 };
        let book = Endpoint::start(endpoint_state, "book-1", Behaviour::Succeeds);
        let engine = Endpoint::start(endpoint_state, "engine-1", slow);
        vec![(engine, "engines", "b"), (book, "books", "b")]
    });
    let mut stream = generation_request("surveys", "r").send(env.daemon.address());
    assert!(stream.next_chunk().expect("first event").is_some());
    env.store.set_zone_drained("b", true);
    eventually("the zone to be out of service", || read(&env.daemon, "x").status == 503);
    engines[0].kill();
    eventually("the crash to be counted", || counted_crashes(&env.daemon, "local", 1));
}

/// Guards against crashes that don't count because the endpoint never closed its connections.
#[test]
fn an_endpoint_that_falls_silent_and_vanishes_has_crashed() {
    let (env, _endpoints) = TestEnv::start(|endpoint_state| {
        let book = Endpoint::start(endpoint_state, "book-1", Behaviour::Hangs);
        let engine = Endpoint::start(endpoint_state, "engine-1", Behaviour::Hangs);
        vec![(engine, "engines", "a"), (book, "books", "a")]
    });
    let crashes = |count| counted_crashes(&env.daemon, "local", count);
    // A plain request whose attempt times out before the entry expires.
    assert_eq!(read(&env.daemon, "poison").status, 502);
    env.store.unregister("book-1");
    eventually("the first crash to be counted", || crashes(1));
    // A generation whose caller leaves after the entry has expired.
    let caller = generation_request("surveys", "r").send_only(env.daemon.address());
    eventually("the generation to run", || env.endpoint_state.active_executions("r") == 1);
    thread::sleep(Duration::from_secs(1));
    env.store.unregister("engine-1");
    thread::sleep(Duration::from_millis(300));
    drop(caller);
    eventually("the second crash to be counted", || crashes(2));
}

/// Guards against slow endpoints that are taken for crashed ones.
#[test]
fn an_endpoint_that_is_slow_or_leaves_as_announced_has_not_crashed() {
    let (env, endpoints) = TestEnv::start(|endpoint_state| {
        ["book-1", "book-2"]
            .map(|id| (Endpoint::start(endpoint_state, id, Behaviour::Hangs), "books", "a"))
            .into()
    });
    assert_eq!(read(&env.daemon, "slow").status, 504);
    assert_eq!(env.endpoint_state.received_requests().len(), 2);
    register_endpoint(&env.store, &endpoints[0], "books", "a", "draining");
    thread::sleep(Duration::from_millis(300));
    env.store.unregister("book-1");
    thread::sleep(Duration::from_millis(700));
    assert!(!env.daemon.metrics().contains("gypsumchute_endpoint_crashes_total"));
}

/// Guards against a popular request that is refused as poison after the crash of one endpoint, at
/// which several copies of it were running.
#[test]
fn the_crash_of_an_endpoint_counts_once_however_many_copies_ran_there() {
    let (env, mut endpoints) = TestEnv::start(|endpoint_state| {
        vec![(Endpoint::start(endpoint_state, "book-1", Behaviour::Hangs), "books", "a")]
    });
    let request =
        |n| CallerRequest::new("POST /orders/x", &format!("r{n}"), API_KEY).body("popular");
    let callers: Vec<_> = (0..5).map(|n| send_in_background(&env.daemon, request(n))).collect();
    eventually("all copies to run", || env.endpoint_state.received_requests().len() == 5);
    endpoints[0].kill();
    for caller in callers {
        assert_eq!(caller.join().expect("response").0.status, 502);
    }
    let next = request(5).send_and_read(env.daemon.address());
    assert!(!next.body.contains("poison_request"), "{}", next.body);
}

/// Guards against a popular request that is refused as poison although endpoints complete it.
#[test]
fn a_request_that_endpoints_complete_is_not_poison() {
    let endpoint_state = SharedEndpointState::default();
    let (_store, books, daemons) = start(&endpoint_state);
    books.iter().for_each(|book| book.set_behaviour(Behaviour::DropsConnection));
    read(&daemons[0], "popular");
    books.iter().for_each(|book| book.set_behaviour(Behaviour::Succeeds));
    assert_eq!(read(&daemons[0], "popular").status, 200);
    books.iter().for_each(|book| book.set_behaviour(Behaviour::DropsConnection));
    let lost = read(&daemons[0], "popular");
    assert_eq!(lost.status, 502, "{}", lost.body);
    books.iter().for_each(|book| book.set_behaviour(Behaviour::Succeeds));
    // Also through a VM that has only heard of the crashes.
    thread::sleep(SPREAD_TIME);
    for daemon in &daemons {
        let served = read(daemon, "popular");
        assert_eq!(served.status, 200, "{}", served.body);
    }
}

/// Guards against a busy VM whose heartbeats are cut off by the receiver and lost.
#[test]
fn the_heartbeat_of_a_vm_that_uses_many_endpoints_is_received() {
    let (env, _endpoints) = TestEnv::start(|endpoint_state| {
        vec![(Endpoint::start(endpoint_state, "book-1", Behaviour::Succeeds), "books", "a")]
    });
    report_refusal_with_loads(&env.daemon, "/reads/x", "poison", 600);
    eventually("the refusal", || read(&env.daemon, "poison").body.contains("poison_request"));
}
