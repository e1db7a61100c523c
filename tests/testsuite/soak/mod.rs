//! Soak test: random faults against real daemons under the requests of concurrent callers.
//!
//! Faults come in series that overlap:
//!
//! - Daemons are killed, suspended, terminated, told to reload, and restarted, several at once.
//! - The store rejects calls, resets connections or stops responding, for all daemons or for one.
//! - Endpoints fail, drain and return, say in answers that they are leaving and start again, and ask
//!   for pauses, behind proxies that close connections, stall connections and
//!   stall responses.
//! - The store is restored from an older backup, and what it lost is written again.
//! - A zone goes out of service and returns, and new configuration versions are published.
//!
//! Before these faults come quiet phases: daemons are suspended for a moment, and sound engines fall
//! silent for a moment, alone or all at once. All of them go on, and nothing else fails.
//!
//! Callers keep using their connections until the daemon closes them, resume streams that broke off,
//! and send poison requests that crash the endpoints. After the last fault, the test compares the responses with the requests
//! that reached endpoints:
//!
//! - A complete stream has every event exactly once and in order, and an incomplete stream is a
//!   prefix of it.
//! - A stream that began in a quiet phase is complete, unless its deadline passed. At other times, one
//!   that began is incomplete only if a daemon was killed or suspended, or one of its engines failed.
//! - A request that must run at most once ran at most once, and a request reported as not run did
//!   not run. A request that ran is answered, unless its daemon was killed or suspended.
//! - A stream goes on only at the software version that began it, also when its caller resumes it.
//! - A poison request is stopped after three crashes, by all daemons.
//! - Every daemon serves requests again under the newest configuration.
//!
//! `GYPSUMCHUTE_SOAK_SEEDS=1-50` selects the seeds 1 to 50, and `GYPSUMCHUTE_SOAK_VMS=60` the number
//! of daemons. The default is [`REGRESSION_SEEDS`] and [`DEFAULT_SEEDS`].

mod callers;
mod checks;
mod faults;
mod quiet;

use self::callers::{Load, RequestRecord, send_requests};
use self::checks::{History, check_quiet_streams};
use self::faults::{EndpointFault, Impairment};
use self::quiet::QuietPhase;
use crate::daemons::{DaemonFleet, DaemonProcess};
use crate::support::wait_until;
use gypsumchute::util::ports::free_address;
use gypsumchute_platform_standin::fixtures::configuration;
use gypsumchute_platform_standin::{
    Behaviour, CallerRequest, Endpoint, SharedEndpointState, Store,
};
use gypsumchute_standins::proxy::Proxy;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Seeds and numbers of daemons that have failed before and run by default, each with a comment on
/// the cause.
const REGRESSION_SEEDS: [(u64, usize); 0] = [];
/// Seeds and numbers of daemons that run by default. More than 16 daemons do not all exchange
/// heartbeats with each other.
const DEFAULT_SEEDS: [(u64, usize); 3] = [(1, 3), (2, 3), (3, 20)];
/// Time during which faults are injected, for each seed.
const FAULT_DURATION: Duration = Duration::from_secs(10);
/// Maximum time until every daemon serves requests again after the last fault. It covers a daemon
/// restart and the timeout of stalled connections.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Number of events in a complete stream.
const STREAM_EVENTS: u64 = 30;
/// Behaviour of a healthy engine.
const ENGINE_BEHAVIOUR: Behaviour =
    Behaviour::Streams { events: STREAM_EVENTS, event_interval_ms: 12 };
/// Number of concurrent callers.
const CALLER_COUNT: u64 = 8;
/// Number of threads that send signals to daemons.
const SIGNAL_THREADS: u64 = 3;
/// Number of threads that let endpoints fail.
const ENDPOINT_FAULT_THREADS: u64 = 2;
/// Zones of the daemons and of the endpoints, in turn.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Software versions of the endpoints. Each zone has one endpoint of each.
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Number of endpoints of each service.
const ENDPOINT_COUNT: usize = 6;

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
    store: Store,
    /// The store as seen by each daemon.
    stores: Vec<Proxy>,
    /// State that the endpoints share, with the requests that reached them.
    endpoint_state: SharedEndpointState,
    endpoints: Vec<ProxiedEndpoint>,
    daemons: Vec<Mutex<DaemonProcess>>,
    /// Revision of the store once the first configuration and all endpoints are in it.
    first_revision: u64,
    _settings_dir: TempDir,
}

/// What the threads of a soak share.
struct SharedState {
    seed: u64,
    /// Addresses of the daemons for callers.
    addresses: Vec<SocketAddr>,
    /// Newest configuration version.
    version: AtomicU64,
    stop: AtomicBool,
    impairments: Mutex<Vec<Impairment>>,
    endpoint_faults: Mutex<Vec<EndpointFault>>,
}

impl SharedState {
    /// Records that a daemon did not run normally for a while.
    fn log_impairment(&self, impairment: Impairment) {
        self.impairments.lock().expect("log").push(impairment);
    }
}

/// Returns the API key that configuration `version` introduces. The next version still contains the
/// key, and the one after it does not.
fn api_key_of(version: u64) -> String {
    format!("key-{version}")
}

impl Soak {
    /// Starts the store, endpoints and daemons, and waits until every daemon is ready.
    fn start(seed: u64, daemon_count: usize) -> Self {
        let (store, endpoint_state) = (Store::start(), SharedEndpointState::default());
        let start_endpoint = |index: usize, service, healthy_behaviour| {
            let id = format!("{service}-{index}");
            let version = VERSIONS[index / ZONES.len() % VERSIONS.len()];
            let endpoint =
                Endpoint::start(&endpoint_state, &id, healthy_behaviour).with_version(version);
            let proxy = Proxy::start(free_address().unwrap(), endpoint.address()).unwrap();
            endpoint.set_proxy_address(proxy.address());
            let zone = ZONES[index % ZONES.len()];
            ProxiedEndpoint { endpoint, proxy, service, zone, healthy_behaviour }
        };
        let indexes = 0..ENDPOINT_COUNT;
        let engines =
            indexes.clone().map(|index| start_endpoint(index, "engines", ENGINE_BEHAVIOUR));
        let books = indexes.map(|index| start_endpoint(index, "books", Behaviour::Succeeds));
        let endpoints: Vec<ProxiedEndpoint> = engines.chain(books).collect();
        store.configure(&configuration(1, &[&api_key_of(1)]));
        let proxy_store = |_| Proxy::start(free_address().unwrap(), store.address()).unwrap();
        let stores: Vec<Proxy> = (0..daemon_count).map(proxy_store).collect();
        let zones: Vec<_> = (0..daemon_count).map(|index| ZONES[index % ZONES.len()]).collect();
        // Seeds that run at the same time use different subnets.
        let subnet = (seed % 200) as u8 + 1;
        let DaemonFleet { daemons, settings_dir } =
            DaemonFleet::start_with(|index| stores[index].address(), subnet, &zones);
        let mut soak = Soak {
            store,
            stores,
            endpoint_state,
            endpoints,
            daemons: daemons.into_iter().map(Mutex::new).collect(),
            first_revision: 0,
            _settings_dir: settings_dir,
        };
        soak.endpoints.iter().for_each(|proxied| soak.register(proxied, "ready"));
        soak.first_revision = soak.store.revision();
        assert!(soak.all_ready(), "seed {seed}: daemons not ready after the start");
        soak
    }

    /// Returns the software version of each endpoint.
    fn endpoint_versions(&self) -> BTreeMap<&str, &str> {
        let endpoints = self.endpoints.iter().map(|proxied| &proxied.endpoint);
        endpoints.map(|endpoint| (endpoint.id.as_str(), endpoint.version())).collect()
    }

    /// Waits until every daemon is ready, and returns false if one is not ready in time.
    fn all_ready(&self) -> bool {
        let is_ready = |daemon: &Mutex<DaemonProcess>| daemon.lock().expect("daemon").is_ready();
        wait_until(RECOVERY_LIMIT, || self.daemons.iter().all(is_ready))
    }

    /// Injects faults while callers send requests, and returns the records of all callers.
    fn run_with_faults(&self, shared: &SharedState) -> Vec<RequestRecord> {
        thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLER_COUNT)
                .map(|caller| scope.spawn(move || send_requests(shared, caller, Load::Mixed)))
                .collect();
            let signals = (0..SIGNAL_THREADS)
                .map(|thread| scope.spawn(move || self.inject_signals(shared, thread)));
            let endpoint_faults = (0..ENDPOINT_FAULT_THREADS)
                .map(|thread| scope.spawn(move || self.inject_endpoint_faults(shared, thread)));
            let mut injectors: Vec<_> = signals.chain(endpoint_faults).collect();
            injectors.push(scope.spawn(move || self.inject_changes(shared)));
            thread::sleep(FAULT_DURATION);
            shared.stop.store(true, Ordering::Relaxed);
            injectors.into_iter().for_each(|injector| injector.join().expect("fault injector"));
            callers.into_iter().flat_map(|caller| caller.join().expect("caller")).collect()
        })
    }

    /// Checks that every daemon serves requests under the newest configuration: the daemon accepts
    /// the newest key and rejects the key that was withdrawn last.
    fn check_recovery(&self, shared: &SharedState) {
        let seed = shared.seed;
        assert!(self.all_ready(), "seed {seed}: daemons not ready after the faults");
        for (index, address) in shared.addresses.iter().enumerate() {
            let status = |api_key: &str| {
                let response =
                    CallerRequest::new("GET /reads/x", "last", api_key).try_send(*address);
                response.map_or(0, |response| response.status)
            };
            let version = shared.version.load(Ordering::Relaxed);
            let newest = api_key_of(version);
            let withdrawn = version.checked_sub(2).map(api_key_of).unwrap_or_default();
            let recovered =
                wait_until(RECOVERY_LIMIT, || status(&newest) == 200 && status(&withdrawn) == 401);
            assert!(
                recovered,
                "seed {seed}, vm-{index}: status {} with the newest key, {} with a withdrawn one",
                status(&newest),
                status(&withdrawn)
            );
        }
    }
}

/// Returns the seeds that the environment selects with the number of daemons, or the default seeds.
fn seeds() -> Vec<(u64, usize)> {
    let daemons = std::env::var("GYPSUMCHUTE_SOAK_VMS").ok().map(|text| text.parse().unwrap());
    let Ok(range) = std::env::var("GYPSUMCHUTE_SOAK_SEEDS") else {
        return REGRESSION_SEEDS.into_iter().chain(DEFAULT_SEEDS).collect();
    };
    let (first, last) = range.split_once('-').unwrap_or((&range, &range));
    let seeds = first.parse().unwrap()..=last.parse().unwrap();
    // Every third seed runs a fleet that is too large for a full mesh.
    let daemons_of = |seed: u64| daemons.unwrap_or(if seed.is_multiple_of(3) { 20 } else { 3 });
    seeds.map(|seed| (seed, daemons_of(seed))).collect()
}

#[test]
fn guarantees_hold_under_random_faults() {
    for (seed, daemon_count) in seeds() {
        let started_at = Instant::now();
        let soak = Soak::start(seed, daemon_count);
        let addresses =
            soak.daemons.iter().map(|daemon| daemon.lock().expect("daemon").callers()).collect();
        let shared = SharedState {
            seed,
            addresses,
            version: AtomicU64::new(1),
            stop: AtomicBool::new(false),
            impairments: Mutex::default(),
            endpoint_faults: Mutex::default(),
        };
        let mut records = Vec::new();
        for phase in [QuietPhase::SuspendedDaemons, QuietPhase::SilentEngines] {
            let quiet_records = soak.run_quiet_phase(&shared, phase);
            check_quiet_streams(seed, phase, &quiet_records);
            records.extend(quiet_records);
        }
        records.extend(soak.run_with_faults(&shared));
        soak.check_recovery(&shared);
        let history = History {
            seed,
            records: &records,
            arrivals: soak.endpoint_state.received_requests(),
            impairments: shared.impairments.into_inner().expect("log"),
            endpoint_faults: shared.endpoint_faults.into_inner().expect("log"),
            daemon_count,
        };
        history.check_responses();
        history.check_cut_streams();
        history.check_poison();
        history.check_versions(&soak.endpoint_versions());
        let succeeded = records.iter().filter(|record| {
            record.response.as_ref().is_some_and(|response| response.status == 200)
        });
        println!(
            "seed {seed}, {daemon_count} daemons: {} requests, {} succeeded, {:?}",
            records.len(),
            succeeded.count(),
            started_at.elapsed()
        );
    }
}
