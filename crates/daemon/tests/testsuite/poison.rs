//! A request that brings down each endpoint that runs it is stopped after three, at all VMs.

use crate::support::{Daemon, KEY, configuration, eventually, register};
use gypsumchute_platform_standin::{Behaviour, Caller, Endpoint, Reply, Store, World};
use std::time::{Duration, Instant};

/// Two VMs of a zone before six endpoints.
fn start(world: &World) -> (Store, Vec<Endpoint>, Vec<Daemon>) {
    let store = Store::start();
    store.configure(&configuration(7, &[KEY]));
    let start = |n| Endpoint::start(world, &format!("book-{n}"), Behaviour::Answers);
    let books: Vec<_> = (0..6).map(start).collect();
    books.iter().for_each(|book| register(&store, book, "books", "a", "ready"));
    let first = Daemon::start(store.address(), "vm-1", "a", &[]);
    let second = Daemon::start(store.address(), "vm-2", "a", &[first.settings.peers_listen]);
    first.wait_ready(true);
    second.wait_ready(true);
    eventually("membership", || {
        first.metrics().contains("gypsumchute_peer_messages_total")
            && second.metrics().contains("gypsumchute_peer_messages_total")
    });
    std::thread::sleep(Duration::from_millis(500));
    (store, books, vec![first, second])
}

fn read(daemon: &Daemon, body: &str) -> Reply {
    Caller::new("POST /reads/x", "r", KEY).body(body).call(daemon.address())
}

#[test]
fn a_request_that_brings_endpoints_down_is_stopped_everywhere_after_three() {
    let world = World::default();
    let (_store, books, daemons) = start(&world);
    books.iter().for_each(|book| book.set(Behaviour::Loses));
    assert_eq!(read(&daemons[0], "poison").status, 502);
    assert_eq!(world.arrivals().len(), 2, "the route allows two endpoints");
    // The other VM has heard of both: it takes one more endpoint at most.
    std::thread::sleep(Duration::from_millis(700));
    read(&daemons[1], "poison");
    std::thread::sleep(Duration::from_millis(700));
    let taken = world.arrivals().len();
    assert!(taken <= 4, "{taken} endpoints");
    for daemon in [&daemons[0], &daemons[1], &daemons[0]] {
        let asked = Instant::now();
        let refused = read(daemon, "poison");
        assert_eq!(refused.status, 503, "{}", refused.body);
        assert!(refused.body.contains("poison_request"), "{}", refused.body);
        assert!(refused.body.contains("not_run"), "{}", refused.body);
        assert!(refused.headers.contains_key("retry-after"));
        assert!(asked.elapsed() < Duration::from_millis(500), "its answer was held back");
    }
    assert_eq!(world.arrivals().len(), taken, "it reached an endpoint again");
    books.iter().for_each(|book| book.set(Behaviour::Answers));
    for daemon in &daemons {
        assert_eq!(read(daemon, "an innocent one").status, 200);
    }
}
