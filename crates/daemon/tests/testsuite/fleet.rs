//! What VMs know together: changes reach all of them, whoever the store serves.

use crate::support::{
    Daemon, KEY, configuration, eventually, generation, register, store, whole_stream,
};
use gypsumchute_platform_standin::{Behaviour, Caller, Endpoint, Mode, Store, World};
use std::time::{Duration, Instant};

fn read(daemon: &Daemon, key: &str) -> u16 {
    Caller::new("GET /reads/x", "r", key).call(daemon.address()).status
}

/// Two VMs of a zone, the second of which has a store that is away; and a service.
fn one_served_and_one_turned_away() -> (Store, Store, Vec<Daemon>, Endpoint) {
    let (served, away) = (store(), Store::start());
    away.set_mode(Mode::Busy);
    let service = Endpoint::start(&World::default(), "book-1", Behaviour::Answers);
    register(&served, &service, "books", "a", "ready");
    let first = Daemon::start(served.address(), "vm-1", "a", &[]);
    let seeds = [first.settings.peers_listen];
    let second = Daemon::start(away.address(), "vm-2", "a", &seeds);
    first.wait_ready(true);
    second.wait_ready(true);
    (served, away, vec![first, second], service)
}

/// Two VMs of a zone that have heard of each other, before two engines.
struct TwoVms {
    served: Store,
    world: World,
    daemons: [Daemon; 2],
    _engines: [Endpoint; 2],
}

fn two_vms_before_two_engines(behaviour: Behaviour) -> TwoVms {
    let (served, world) = (store(), World::default());
    let engines = ["engine-1", "engine-2"].map(|id| Endpoint::start(&world, id, behaviour));
    engines.iter().for_each(|engine| register(&served, engine, "engines", "a", "ready"));
    let first = Daemon::start(served.address(), "vm-1", "a", &[]);
    let second = Daemon::start(served.address(), "vm-2", "a", &[first.settings.peers_listen]);
    first.wait_ready(true);
    second.wait_ready(true);
    eventually("membership", || first.metrics().contains("gypsumchute_peer_messages_total"));
    std::thread::sleep(Duration::from_millis(500));
    TwoVms { served, world, daemons: [first, second], _engines: engines }
}

#[test]
fn a_vm_that_the_store_turns_away_hears_of_changes_from_others() {
    let (served, _away, daemons, _service) = one_served_and_one_turned_away();
    assert_eq!(read(&daemons[1], KEY), 200);
    served.configure(&configuration(9, &["another-key"]));
    let begun = Instant::now();
    for daemon in &daemons {
        eventually("the withdrawal", || read(daemon, KEY) == 401);
        assert_eq!(read(daemon, "another-key"), 200);
    }
    assert!(begun.elapsed() < Duration::from_millis(1_500), "{:?}", begun.elapsed());
    served.set_zone_out("a", true);
    eventually("the zone to be out", || read(&daemons[1], "another-key") == 503);
    served.set_zone_out("a", false);
    eventually("the zone to be back", || read(&daemons[1], "another-key") == 200);
}

#[test]
fn a_vm_that_the_store_turns_away_leaves_an_engine_whose_entry_vanished() {
    let (served, world) = (store(), World::default());
    let slow = Behaviour::Streams { events: 60, pace_ms: 50 };
    let engines = ["engine-1", "engine-2"].map(|id| Endpoint::start(&world, id, slow));
    engines.iter().for_each(|engine| register(&served, engine, "engines", "a", "ready"));
    let first = Daemon::start(served.address(), "vm-1", "a", &[]);
    first.wait_ready(true);
    let away = Store::start();
    away.set_mode(Mode::Busy);
    // It ranks before the other one, so that it goes on trying to read.
    let turned_away = Daemon::start(away.address(), "vm-0", "a", &[first.settings.peers_listen]);
    turned_away.wait_ready(true);
    std::thread::sleep(Duration::from_millis(1_500));
    let mut stream = generation("surveys", "r1").open(turned_away.address());
    let begun = stream.next_chunk().expect("a stream").expect("an event");
    let at = |index: usize| world.arrivals()[index].endpoint.clone();
    served.unregister(&at(0));
    let vanished = Instant::now();
    eventually("the move", || world.arrivals().len() == 2);
    assert!(vanished.elapsed() < Duration::from_millis(1_000), "it ends soon after");
    assert_ne!(at(0), at(1));
    let reply = stream.finish();
    assert_eq!((reply.whole, begun + &reply.body), (true, whole_stream(60)));
}

#[test]
fn an_older_configuration_and_a_broken_one_change_nothing() {
    let (served, _away, daemons, _service) = one_served_and_one_turned_away();
    served.configure(&configuration(6, &["older-key"]));
    served.configure(&"not a configuration".into());
    served.set_zone_out("b", true);
    std::thread::sleep(Duration::from_millis(500));
    for daemon in &daemons {
        assert_eq!((read(daemon, KEY), read(daemon, "older-key")), (200, 401));
    }
}

#[test]
fn a_vm_without_word_from_the_store_does_not_call_a_key_wrong() {
    let (served, _away, daemons, _service) = one_served_and_one_turned_away();
    assert_eq!(read(&daemons[0], "new-key"), 401);
    served.set_mode(Mode::Silent);
    for daemon in &daemons {
        eventually("doubt", || read(daemon, "new-key") == 503);
        assert_eq!(read(daemon, KEY), 200, "it serves what it knows");
    }
    served.set_mode(Mode::Up);
    eventually("trust", || read(&daemons[1], "new-key") == 401);
}

#[test]
fn a_vm_that_knows_no_configuration_is_not_ready_and_promises_that_nothing_ran() {
    let away = Store::start();
    away.set_mode(Mode::Reset);
    let daemon = Daemon::start(away.address(), "vm-1", "a", &[]);
    daemon.wait_ready(false);
    let reply = Caller::new("GET /reads/x", "r", KEY).call(daemon.address());
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"));
    assert!(reply.body.contains("no_configuration"), "{}", reply.body);
}

#[test]
fn two_vms_do_not_choose_the_same_engine_at_once() {
    let slow = Behaviour::Streams { events: 20, pace_ms: 30 };
    let set = two_vms_before_two_engines(slow);
    let (world, [first, second]) = (&set.world, &set.daemons);
    for round in 0..3 {
        let ids = [format!("a{round}"), format!("b{round}")];
        let one = generation("surveys", &ids[0]).open(first.address());
        let other = generation("surveys", &ids[1]).open(second.address());
        assert_eq!(one.finish().body, whole_stream(20));
        assert_eq!(other.finish().body, whole_stream(20));
        let arrivals = world.arrivals();
        let at = |id: &String| {
            let found = arrivals.iter().find(|a| a.request_id() == id);
            found.expect("an arrival").endpoint.clone()
        };
        assert_ne!(at(&ids[0]), at(&ids[1]), "round {round}");
    }
}

#[test]
fn what_an_engine_tells_one_vm_is_known_to_the_others() {
    let slow = Behaviour::Streams { events: 60, pace_ms: 50 };
    let set = two_vms_before_two_engines(slow);
    let (world, [first, second]) = (&set.world, &set.daemons);
    let mut stream = generation("surveys", "r1").open(first.address());
    stream.next_chunk().expect("a stream").expect("an event");
    let leaves = world.arrivals()[0].endpoint.clone();
    set.served.set_mode(Mode::Busy);
    world.announce_end(&leaves);
    eventually("the move", || world.arrivals().len() == 2);
    // The second VM has nothing there, so that it asks nobody.
    std::thread::sleep(Duration::from_millis(100));
    for n in 0..4 {
        let mut other = generation("surveys", &format!("s{n}")).open(second.address());
        other.next_chunk().expect("a stream").expect("an event");
    }
    let arrivals = world.arrivals();
    assert!(arrivals[2..].iter().all(|arrival| arrival.endpoint != leaves));
}

#[test]
fn refusals_and_retries_are_counted_by_reason() {
    let (_served, _away, daemons, service) = one_served_and_one_turned_away();
    assert_eq!(read(&daemons[0], "wrong"), 401);
    service.set(Behaviour::Rejects);
    assert_eq!(read(&daemons[0], KEY), 503);
    let metrics = daemons[0].metrics();
    let count = |name: &str| metrics.lines().filter(|line| line.starts_with(name)).count();
    assert_eq!(count(r#"gypsumchute_refusals_total{reason="unknown_key",verdict="not_run"} 1"#), 1);
    assert_eq!(count(r#"gypsumchute_retries_total{reason="not_run"}"#), 1, "{metrics}");
    assert!(count("gypsumchute_request_ms_bucket") > 0);
}

#[test]
fn a_burst_of_changes_does_not_silence_the_heartbeats_after_it() {
    let (_served, _away, daemons, service) = one_served_and_one_turned_away();
    service.set(Behaviour::Loses);
    // Each order that is lost is told to the other VM at once.
    for order in 0..150 {
        let caller = Caller::new("POST /orders/new", &format!("r{order}"), KEY);
        caller.body(&format!("order {order}")).call(daemons[0].address());
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
    assert!(heartbeats >= 5, "{heartbeats} heartbeats in 2 s, one each 300 ms is due");
}

#[test]
fn datagrams_of_any_bytes_change_nothing() {
    let (_served, _away, daemons, _service) = one_served_and_one_turned_away();
    let peers = daemons[0].settings.peers_listen;
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let mut state = 0x9e37_79b9_7f4a_7c15u64;
    for length in (0..400).chain([1_400, 7_000, 9_000]) {
        let bytes: Vec<u8> = (0..length)
            .map(|_| {
                state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                (state >> 56) as u8
            })
            .collect();
        socket.send_to(&bytes, peers).expect("a datagram that leaves");
    }
    // A connection that sends no proper frame is closed or times out; others are served meanwhile.
    let mut stream = std::net::TcpStream::connect(peers).expect("a daemon that listens");
    std::io::Write::write_all(&mut stream, &[0xff; 64]).expect("bytes that leave");
    assert_eq!(read(&daemons[0], KEY), 200);
    daemons[0].wait_ready(true);
}
