//! Daemons that read the configuration from a folder in this project's own format.

use crate::support::{API_KEY, Daemon, complete_stream, eventually, generation_request};
use gypsumchute_config::{ConfigSource, KeyHash};
use gypsumchute_platform_standin::{Behaviour, CallerRequest, Endpoint, SharedEndpointState};
use serde_json::{Value, json};
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const SALT: &str = "salt";

/// Writes a configuration with one customer, a route of each kind and the given endpoints.
fn write_configuration(folder: &Path, version: u64, key: &str, endpoints: &[Value]) {
    let fleet = json!({ "fleet": { "version": version, "key_salt": SALT } });
    let customers = json!({ "customers": [{ "id": "acme", "rate_per_s": 100, "burst": 100,
        "keys": [{ "id": "first", "sha256": KeyHash::of(SALT, key) }] }] });
    let route = |id: &str, carries: &str, service: &str| {
        json!({ "id": id, "host": "models.example", "path_prefix": format!("/{id}/"),
            "carries": carries, "services": [{ "service": service }], "answer_timeout_ms": 5_000 })
    };
    let routes = json!({
        "services": [
            { "id": "engines", "engine": { "memory_tokens": 30_000, "copies_runs": true } },
            { "id": "books" },
        ],
        "routes": [
            route("surveys", "generations", "engines"),
            route("orders", "non_idempotent", "books"),
            route("reads", "idempotent", "books"),
        ],
    });
    let zones = json!({ "zones": [{ "id": "a" }, { "id": "b" }] });
    let files = [
        ("00-fleet", fleet),
        ("10-zones", zones),
        ("20-customers", customers),
        ("30-routes", routes),
        ("90-endpoints", json!({ "endpoints": endpoints })),
    ];
    for (name, text) in files {
        fs::write(folder.join(format!("{name}.json")), text.to_string()).expect("write a file");
    }
}

/// Returns the configuration entry of an endpoint.
fn entry(endpoint: &Endpoint, service: &str, state: &str) -> Value {
    json!({ "id": endpoint.id, "zone": "a", "address": endpoint.address(), "service": service,
        "state": state })
}

/// Starts a daemon that reads `folder`, and waits until it is ready.
fn daemon(folder: &TempDir, vm: &str, seeds: &[std::net::SocketAddrV4]) -> Daemon {
    let source = ConfigSource::Folder(folder.path().to_owned());
    let daemon = Daemon::start_with(source, vm, "a", seeds);
    daemon.wait_ready(true);
    daemon
}

/// Sends a read request and returns the status of the response.
fn read(daemon: &Daemon, key: &str) -> u16 {
    CallerRequest::new("GET /reads/x", "r", key).send_and_read(daemon.address()).status
}

#[test]
fn routes_and_keys_of_a_folder_are_applied() {
    let endpoint_state = SharedEndpointState::default();
    let engine = Endpoint::start(
        &endpoint_state,
        "e-1",
        Behaviour::Streams { events: 5, event_interval_ms: 5 },
    );
    let books = Endpoint::start(&endpoint_state, "b-1", Behaviour::Succeeds);
    let folder = TempDir::new().expect("create a folder");
    let endpoints = [entry(&engine, "engines", "active"), entry(&books, "books", "active")];
    write_configuration(folder.path(), 1, API_KEY, &endpoints);
    let daemon = daemon(&folder, "vm-1", &[]);
    let reply = generation_request("surveys", "r1").send(daemon.address()).read_to_end();
    assert_eq!((reply.complete, reply.body), (true, complete_stream(5)));
    let order = CallerRequest::new("POST /orders/new", "r2", API_KEY)
        .body("one")
        .send_and_read(daemon.address());
    assert_eq!((order.status, order.body.as_str()), (200, "answer of b-1"));
    assert!(endpoint_state.received_requests().iter().all(|arrival| arrival.customer() == "acme"));
    assert_eq!(read(&daemon, "wrong"), 401);
    let unknown_route =
        CallerRequest::new("GET /nowhere/x", "r3", API_KEY).send_and_read(daemon.address());
    assert_eq!(unknown_route.status, 404);
}

#[test]
fn the_newest_folder_version_is_in_force_on_all_vms() {
    let books = Endpoint::start(&SharedEndpointState::default(), "b-1", Behaviour::Succeeds);
    let folders =
        [TempDir::new().expect("create a folder"), TempDir::new().expect("create a folder")];
    for folder in &folders {
        write_configuration(folder.path(), 3, API_KEY, &[entry(&books, "books", "active")]);
    }
    let first = daemon(&folders[0], "vm-1", &[]);
    let second = daemon(&folders[1], "vm-2", &[first.settings.peers_listen]);
    assert_eq!((read(&first, API_KEY), read(&second, API_KEY)), (200, 200));
    write_configuration(folders[0].path(), 4, "new-key", &[entry(&books, "books", "active")]);
    let changed_at = Instant::now();
    for daemon in [&first, &second] {
        eventually("the update", || (read(daemon, "new-key"), read(daemon, API_KEY)) == (200, 401));
    }
    assert!(changed_at.elapsed() < Duration::from_secs(7));
    // Neither a smaller version nor an invalid file changes the configuration in force.
    write_configuration(folders[0].path(), 2, "old-key", &[entry(&books, "books", "active")]);
    fs::write(folders[1].path().join("40-broken.json"), "{ \"routes\": [ }").expect("write a file");
    std::thread::sleep(Duration::from_millis(2_500));
    for daemon in [&first, &second] {
        assert_eq!((read(daemon, "new-key"), read(daemon, "old-key")), (200, 401));
    }
}

#[test]
fn leaving_and_removed_endpoints_get_no_new_requests() {
    let endpoint_state = SharedEndpointState::default();
    let books =
        ["b-1", "b-2", "b-3"].map(|id| Endpoint::start(&endpoint_state, id, Behaviour::Succeeds));
    let folder = TempDir::new().expect("create a folder");
    let all = books.each_ref().map(|endpoint| entry(endpoint, "books", "active"));
    write_configuration(folder.path(), 1, API_KEY, &all);
    let daemon = daemon(&folder, "vm-1", &[]);
    assert_eq!(read(&daemon, API_KEY), 200);
    write_configuration(
        folder.path(),
        2,
        API_KEY,
        &[entry(&books[1], "books", "leaving"), all[2].clone()],
    );
    std::thread::sleep(Duration::from_millis(2_000));
    let before = endpoint_state.received_requests().len();
    (0..6).for_each(|_| assert_eq!(read(&daemon, API_KEY), 200));
    let arrivals = endpoint_state.received_requests();
    assert!(arrivals[before..].iter().all(|arrival| arrival.endpoint == "b-3"));
}
