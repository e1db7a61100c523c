//! Soak test: random faults against real daemons under the requests of concurrent callers.
//!
//! Faults:
//!
//! - Daemons are killed, suspended, or terminated, and restarted.
//! - The store rejects calls, resets connections or stops responding.
//! - Endpoints fail, drain and return, behind proxies that close connections, stall connections and
//!   stall responses.
//! - A zone goes out of service and returns, and new configuration versions are published.
//!
//! After the last fault, the test compares the responses with the requests that reached endpoints:
//!
//! - A complete stream has every event exactly once and in order, and an incomplete stream is a
//!   prefix of it.
//! - A request that must run at most once ran at most once, and a request reported as not run did
//!   not run.
//! - Every daemon serves requests again under the newest configuration.
//!
//! `GYPSUMCHUTE_SOAK_SEEDS=1-50` selects the seeds 1 to 50. The default is [`REGRESSION_SEEDS`] and
//! [`DEFAULT_SEEDS`].

use crate::daemons::{DaemonFleet, DaemonProcess};
use crate::support::wait_until;
use gypsumchute::util::ports::free_address;
use gypsumchute_platform_standin::fixtures::{configuration, generation_request};
use gypsumchute_platform_standin::{
    Behaviour, CallerRequest, CompleteResponse, Endpoint, SharedEndpointState, Store, StoreMode,
};
use gypsumchute_standins::proxy::{Fault, Proxy};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Seeds that have failed before and run by default, each with a comment on the cause.
const REGRESSION_SEEDS: [u64; 0] = [];
/// Seeds that run by default.
const DEFAULT_SEEDS: [u64; 2] = [1, 2];
/// Time during which faults are injected, for each seed.
const FAULT_DURATION: Duration = Duration::from_secs(8);
/// Maximum time until every daemon serves requests again after the last fault. It covers a daemon
/// restart and the timeout of stalled connections.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Number of events in a complete stream.
const STREAM_EVENTS: u64 = 30;
/// Behaviour of a healthy engine.
const ENGINE_BEHAVIOUR: Behaviour =
    Behaviour::Streams { events: STREAM_EVENTS, event_interval_ms: 12 };
/// Number of concurrent callers.
const CALLER_COUNT: u64 = 4;
/// Zone of the daemon and of the endpoints with the same index.
const ZONES: [&str; 3] = ["a", "a", "b"];

/// An endpoint behind a proxy.
struct ProxiedEndpoint {
    endpoint: Endpoint,
    proxy: Proxy,
    service: &'static str,
    zone: &'static str,
    /// Behaviour while no fault is injected.
    healthy_behaviour: Behaviour,
}

/// The daemons, endpoints and store of one seed.
struct Soak {
    seed: u64,
    rng: StdRng,
    store: Store,
    /// State that the endpoints share, with the requests that reached them.
    endpoint_state: SharedEndpointState,
    endpoints: Vec<ProxiedEndpoint>,
    fleet: DaemonFleet,
    /// Newest configuration version, shared with the callers.
    version: Arc<AtomicU64>,
}

/// A caller's request and the response to it.
struct RequestRecord {
    id: String,
    route: &'static str,
    /// `None` if no response headers arrived.
    response: Option<CompleteResponse>,
}

/// Returns the API key that configuration `version` introduces. The next version still contains the
/// key, and the one after it does not.
fn api_key_of(version: u64) -> String {
    format!("key-{version}")
}

impl Soak {
    /// Starts the store, endpoints and daemons, and waits until every daemon is ready.
    fn start(seed: u64) -> Self {
        let (store, endpoint_state) = (Store::start(), SharedEndpointState::default());
        let start_endpoint = |index: usize, service, healthy_behaviour| {
            let endpoint =
                Endpoint::start(&endpoint_state, &format!("{service}-{index}"), healthy_behaviour);
            let proxy = Proxy::start(free_address().unwrap(), endpoint.address()).unwrap();
            ProxiedEndpoint { endpoint, proxy, service, zone: ZONES[index], healthy_behaviour }
        };
        let engines = (0..3).map(|index| start_endpoint(index, "engines", ENGINE_BEHAVIOUR));
        let books = (0..3).map(|index| start_endpoint(index, "books", Behaviour::Succeeds));
        let endpoints: Vec<ProxiedEndpoint> = engines.chain(books).collect();
        store.configure(&configuration(1, &[&api_key_of(1)]));
        // Seeds that run at the same time use different subnets.
        let fleet = DaemonFleet::start(store.address(), (seed % 200) as u8 + 1, &ZONES);
        let rng = StdRng::seed_from_u64(seed);
        let soak = Soak {
            seed,
            rng,
            store,
            endpoint_state,
            endpoints,
            fleet,
            version: Arc::new(AtomicU64::new(1)),
        };
        soak.endpoints.iter().for_each(|proxied| soak.register(proxied, "ready"));
        assert!(soak.all_ready(), "seed {seed}: daemons not ready after the start");
        soak
    }

    /// Writes the registration of an endpoint to the store, with the address of the proxy.
    fn register(&self, proxied: &ProxiedEndpoint, state: &str) {
        let mut entry = proxied.endpoint.registry_entry(proxied.service, proxied.zone, state);
        entry["address"] = json!(proxied.proxy.address().to_string());
        self.store.put(&format!("servers/{}", proxied.endpoint.id), &entry);
    }

    /// Waits until every daemon is ready, and returns false if one is not ready in time.
    fn all_ready(&self) -> bool {
        wait_until(RECOVERY_LIMIT, || self.fleet.daemons.iter().all(DaemonProcess::is_ready))
    }

    /// Injects one random fault, and ends it after a random time.
    fn inject_fault(&mut self) {
        let duration = Duration::from_millis(self.rng.random_range(100..1_200));
        let daemon_index = self.rng.random_range(0..self.fleet.daemons.len());
        let endpoint_index = self.rng.random_range(0..self.endpoints.len());
        match self.rng.random_range(0..9) {
            0 => {
                self.fleet.daemons[daemon_index].process.suspend();
                thread::sleep(duration);
                self.fleet.daemons[daemon_index].process.resume();
            }
            1 => {
                self.fleet.daemons[daemon_index].process.kill();
                thread::sleep(duration / 2);
                self.fleet.daemons[daemon_index].restart();
            }
            2 => {
                self.fleet.daemons[daemon_index].process.terminate();
                let exited =
                    self.fleet.daemons[daemon_index].process.exits_within(Duration::from_secs(4));
                assert!(
                    exited,
                    "seed {}: a daemon did not exit within its shutdown grace period",
                    self.seed
                );
                self.fleet.daemons[daemon_index].restart();
            }
            3 => {
                let modes = [
                    StoreMode::RejectsCalls,
                    StoreMode::ResetsConnections,
                    StoreMode::Unresponsive,
                ];
                self.store.set_mode(*modes.choose(&mut self.rng).unwrap());
                thread::sleep(duration * 2);
                self.store.set_mode(StoreMode::Available);
            }
            4 => {
                let behaviours = [
                    Behaviour::DropsConnection,
                    Behaviour::FailsAfterExecution,
                    Behaviour::Rejects,
                    Behaviour::Hangs,
                    Behaviour::MismatchesRequestId,
                    Behaviour::TruncatesBody,
                ];
                self.endpoints[endpoint_index]
                    .endpoint
                    .set_behaviour(*behaviours.choose(&mut self.rng).unwrap());
                thread::sleep(duration);
                self.endpoints[endpoint_index]
                    .endpoint
                    .set_behaviour(self.endpoints[endpoint_index].healthy_behaviour);
            }
            5 => {
                let faults = [
                    Fault::CloseConnections,
                    Fault::Stall,
                    Fault::StallExisting,
                    Fault::StallResponses,
                    Fault::CloseOnResponse,
                ];
                self.endpoints[endpoint_index]
                    .proxy
                    .set_fault(*faults.choose(&mut self.rng).unwrap());
                thread::sleep(duration);
                self.endpoints[endpoint_index].proxy.set_fault(Fault::NoFault);
            }
            6 => {
                self.register(&self.endpoints[endpoint_index], "draining");
                thread::sleep(duration);
                self.register(&self.endpoints[endpoint_index], "ready");
            }
            7 => {
                self.store.set_zone_drained("b", true);
                thread::sleep(duration);
                self.store.set_zone_drained("b", false);
            }
            _ => {
                let version = self.version.load(Ordering::Relaxed) + 1;
                let keys = [api_key_of(version - 1), api_key_of(version)];
                let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
                self.store.configure(&configuration(version, &keys));
                self.version.store(version, Ordering::Relaxed);
            }
        }
    }

    /// Injects faults while callers send requests, and returns the records of all callers.
    fn run_with_faults(&mut self) -> Vec<RequestRecord> {
        let stop = Arc::new(AtomicBool::new(false));
        let addresses: Vec<_> = self.fleet.daemons.iter().map(DaemonProcess::callers).collect();
        let callers: Vec<_> = (0..CALLER_COUNT)
            .map(|caller| {
                let (stop, addresses) = (stop.clone(), addresses.clone());
                let version = self.version.clone();
                let rng = StdRng::seed_from_u64(self.seed * 100 + caller);
                thread::spawn(move || send_requests(rng, caller, &addresses, &version, &stop))
            })
            .collect();
        let deadline = Instant::now() + FAULT_DURATION;
        while Instant::now() < deadline {
            self.inject_fault();
            thread::sleep(Duration::from_millis(self.rng.random_range(0..300)));
        }
        stop.store(true, Ordering::Relaxed);
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    }

    /// Checks each response against the runs of the request at the endpoints.
    ///
    /// A fresh run starts the request from the beginning. A run that resumes a generation from a
    /// copy or backup of the KV cache continues an earlier run and does not count as another one.
    fn check_responses(&self, records: &[RequestRecord]) {
        let complete_stream: String =
            (1..=STREAM_EVENTS).map(|id| format!("id: {id}\ndata: token {id}\n\n")).collect();
        let received_requests = self.endpoint_state.received_requests();
        for RequestRecord { id, route, response } in records {
            let runs = received_requests
                .iter()
                .filter(|arrival| arrival.executed && arrival.request_id() == *id);
            let fresh_runs = runs.clone().filter(|arrival| !arrival.resumes_from_kv()).count();
            let context = format!("seed {}, {route} {id}: {response:?}", self.seed);
            // `reads` may be repeated, and another endpoint may resume the generations of `briefs`.
            let at_most_once = ["orders", "surveys"].contains(route);
            assert!(!at_most_once || fresh_runs <= 1, "started {fresh_runs} runs: {context}");
            let Some(response) = response else { continue };
            match response.status {
                200 if *route == "orders" || *route == "reads" => {
                    let mut possible_bodies =
                        runs.map(|arrival| format!("answer of {}", arrival.endpoint));
                    assert!(
                        !response.complete || possible_bodies.any(|body| body == response.body),
                        "body of another request: {context}"
                    );
                }
                200 if response.complete => assert_eq!(response.body, complete_stream, "{context}"),
                200 => assert!(
                    complete_stream.starts_with(&response.body),
                    "not a prefix of the complete stream: {context}"
                ),
                429 | 503 => assert_eq!(fresh_runs, 0, "ran, reported as not run: {context}"),
                _ => {}
            }
        }
    }

    /// Checks that every daemon serves requests under the newest configuration: the daemon accepts
    /// the newest key and rejects the key that was withdrawn last.
    fn check_recovery(&self) {
        assert!(self.all_ready(), "seed {}: daemons not ready after the faults", self.seed);
        for (index, daemon) in self.fleet.daemons.iter().enumerate() {
            let address = daemon.callers();
            let status = |api_key: &str| {
                let response =
                    CallerRequest::new("GET /reads/x", "last", api_key).try_send(address);
                response.map_or(0, |response| response.status)
            };
            let version = self.version.load(Ordering::Relaxed);
            let newest = api_key_of(version);
            let withdrawn = version.checked_sub(2).map(api_key_of).unwrap_or_default();
            let recovered =
                wait_until(RECOVERY_LIMIT, || status(&newest) == 200 && status(&withdrawn) == 401);
            assert!(
                recovered,
                "seed {}, vm-{index}: status {} with the newest key, {} with a withdrawn one",
                self.seed,
                status(&newest),
                status(&withdrawn)
            );
        }
    }
}

/// Sends random requests to random daemons until `stop` is set, and returns a record of each.
fn send_requests(
    mut rng: StdRng,
    caller: u64,
    addresses: &[SocketAddr],
    version: &AtomicU64,
    stop: &AtomicBool,
) -> Vec<RequestRecord> {
    let mut records = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("c{caller}-{}", records.len());
        let route = *["orders", "reads", "surveys", "briefs"].choose(&mut rng).unwrap();
        let request = match route {
            "orders" => CallerRequest::new("POST /orders/new", &id, "").body(&id),
            "reads" => CallerRequest::new("GET /reads/x", &id, ""),
            route => generation_request(route, &id),
        };
        // While version N rolls out, a daemon has version N or N-1 in force. Both versions accept
        // the key of N-1, and only version N accepts the key of N.
        let newest = version.load(Ordering::Relaxed);
        let api_key = api_key_of((newest - rng.random_range(0..2)).max(1));
        let request = request.header("Authorization", &format!("Bearer {api_key}"));
        let address = *addresses.choose(&mut rng).unwrap();
        let response = request.try_send(address).ok().map(|response| response.read_to_end());
        records.push(RequestRecord { id, route, response });
        thread::sleep(Duration::from_millis(rng.random_range(0..60)));
    }
    records
}

/// Returns the seeds that the environment variable selects, or the default seeds.
fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("GYPSUMCHUTE_SOAK_SEEDS") else {
        return REGRESSION_SEEDS.into_iter().chain(DEFAULT_SEEDS).collect();
    };
    let (first, last) = range.split_once('-').unwrap_or((&range, &range));
    (first.parse().unwrap()..=last.parse().unwrap()).collect()
}

#[test]
fn guarantees_hold_under_random_faults() {
    for seed in seeds() {
        let mut soak = Soak::start(seed);
        let records = soak.run_with_faults();
        soak.check_recovery();
        soak.check_responses(&records);
        let succeeded = records.iter().filter(|record| {
            record.response.as_ref().is_some_and(|response| response.status == 200)
        });
        println!("seed {seed}: {} requests sent, {} succeeded", records.len(), succeeded.count());
    }
}
