//! Test environment: daemons on threads of the test process, with a stand-in store and stand-in
//! endpoints.

use crate::links::Links;
use gypsumchute_config::{ConfigSource, DaemonSettings, FeatureSettings};
use gypsumchute_daemon::process::run_with_dialer;
pub use gypsumchute_platform_standin::fixtures::{
    API_KEY, configuration, generation_request, register_endpoint,
};
use gypsumchute_platform_standin::{
    CallerRequest, Endpoint, SharedEndpointState, Store, StoreMode,
};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::rc::Rc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Number of subnets of the loopback network that the daemons of a process take their IP addresses
/// from, and number of daemons in each.
const SUBNETS: u16 = 8;
const DAEMONS_PER_SUBNET: u16 = 240;
/// Maximum time that [`eventually`] waits for a condition.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// A daemon that runs on a thread of the test process.
pub struct Daemon {
    pub settings: DaemonSettings,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon with the VM name `vm` in `zone`, which reads the store at `store`.
    pub fn start(store: SocketAddr, vm: &str, zone: &str, seeds: &[SocketAddrV4]) -> Self {
        Daemon::start_with(ConfigSource::Store(store), vm, zone, seeds)
    }

    /// Starts a daemon that reads the given configuration source.
    pub fn start_with(
        configuration: ConfigSource,
        vm: &str,
        zone: &str,
        seeds: &[SocketAddrV4],
    ) -> Self {
        Daemon::start_behind(&Links::default(), configuration, vm, zone, seeds)
    }

    /// Starts a daemon that reaches endpoints over `links`.
    pub fn start_behind(
        links: &Links,
        configuration: ConfigSource,
        vm: &str,
        zone: &str,
        seeds: &[SocketAddrV4],
    ) -> Self {
        Daemon::start_tuned(links, configuration, vm, zone, seeds, |_| {})
    }

    /// Starts a daemon whose settings `tune` changes.
    fn start_tuned(
        links: &Links,
        configuration: ConfigSource,
        vm: &str,
        zone: &str,
        seeds: &[SocketAddrV4],
        tune: impl FnOnce(&mut DaemonSettings),
    ) -> Self {
        let ip = next_ip();
        let [callers, readiness, metrics, peers] = ports().map(|port| SocketAddrV4::new(ip, port));
        let mut settings = DaemonSettings {
            vm: vm.parse().expect("valid id"),
            zone: zone.parse().expect("valid id"),
            zone_regions: BTreeMap::new(),
            callers_listen: callers.into(),
            readiness_listen: readiness.into(),
            metrics_listen: metrics.into(),
            peers_listen: peers,
            seeds: seeds.to_vec(),
            configuration,
            shutdown_grace_s: 8.0,
            retry_ratio: 0.2,
            retry_fixed: 50.0,
            retry_window_s: 10.0,
            features: FeatureSettings::default(),
            memory_mb: 88,
            max_descriptors: 4_100,
            caller_stall_s: 30.0,
        };
        tune(&mut settings);
        let (stop, stopped) = oneshot::channel::<()>();
        let (daemon_settings, links) = (settings.clone(), links.clone());
        let thread = thread::spawn(move || {
            let stop = async { drop(stopped.await) };
            run_with_dialer(daemon_settings, Rc::new(links), stop).expect("daemon starts");
        });
        Daemon { settings, stop: Some(stop), thread: Some(thread) }
    }

    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.settings.callers_listen
    }

    /// Starts the graceful shutdown.
    pub fn stop(&mut self) {
        drop(self.stop.take());
    }

    /// Stops the daemon and waits until it has ended.
    pub fn stop_and_wait(mut self) {
        self.stop();
        let thread = self.thread.take().expect("the daemon runs");
        thread.join().expect("the daemon ends without a panic");
    }

    /// Waits until the readiness page reports the given status.
    pub fn wait_ready(&self, ready: bool) {
        let status = if ready { 200 } else { 503 };
        let address = self.settings.readiness_listen;
        eventually("the readiness status", || {
            let listens = std::net::TcpStream::connect(address).is_ok();
            listens && CallerRequest::readiness_check().send_and_read(address).status == status
        });
    }

    /// Returns the metrics page.
    pub fn metrics(&self) -> String {
        CallerRequest::new("GET /metrics", "m", "").send_and_read(self.settings.metrics_listen).body
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.stop();
        // The thread may still be shutting down; it ends with the test process at the latest.
        drop(self.thread.take());
    }
}

/// Returns the ports for callers, readiness, metrics and peers, which all daemons of this process
/// share: they differ by IP address. No outgoing connection uses these IP addresses, so that none
/// can take a port before a daemon listens on it.
fn ports() -> [u16; 4] {
    use std::sync::OnceLock;
    static PORTS: OnceLock<[u16; 4]> = OnceLock::new();
    *PORTS.get_or_init(|| {
        let listeners = [(); 4].map(|()| TcpListener::bind("127.0.0.1:0").expect("free port"));
        listeners.map(|listener| listener.local_addr().expect("local address").port())
    })
}

/// Returns a loopback IP address that no other daemon of this process uses.
fn next_ip() -> Ipv4Addr {
    use std::sync::atomic::{AtomicU16, Ordering};
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let [subnet, last_byte] = [number / DAEMONS_PER_SUBNET, number % DAEMONS_PER_SUBNET];
    assert!(subnet < SUBNETS, "the tests of this process use too many daemons");
    Ipv4Addr::new(127, 0, 7 + subnet as u8, 10 + last_byte as u8)
}

/// Waits until `holds` returns true, and panics after [`MAX_WAIT`].
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < MAX_WAIT, "timed out after {MAX_WAIT:?} waiting for {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Starts a store that publishes a configuration.
pub fn configured_store() -> Store {
    let store = Store::start();
    store.configure(&configuration(7, &[API_KEY]));
    store
}

/// Returns the complete body of a stream with `events` events.
pub fn complete_stream(events: u64) -> String {
    (1..=events).map(|id| format!("id: {id}\ndata: token {id}\n\n")).collect()
}

/// A store, a set of endpoints and one daemon in zone `a`.
pub struct TestEnv {
    pub store: Store,
    pub endpoint_state: SharedEndpointState,
    pub daemon: Daemon,
}

impl TestEnv {
    /// Starts the environment. The endpoints are registered before the daemon is ready.
    pub fn start(
        make: impl FnOnce(&SharedEndpointState) -> Vec<(Endpoint, &'static str, &'static str)>,
    ) -> (Self, Vec<Endpoint>) {
        TestEnv::start_with_settings(|_| {}, make)
    }

    /// Starts the environment with a daemon whose settings `tune` changes.
    pub fn start_with_settings(
        tune: impl FnOnce(&mut DaemonSettings),
        make: impl FnOnce(&SharedEndpointState) -> Vec<(Endpoint, &'static str, &'static str)>,
    ) -> (Self, Vec<Endpoint>) {
        TestEnv::start_tuned(&Links::default(), tune, make)
    }

    /// Starts the environment with a daemon that reaches the endpoints over `links`.
    pub fn start_behind(
        links: &Links,
        make: impl FnOnce(&SharedEndpointState) -> Vec<(Endpoint, &'static str, &'static str)>,
    ) -> (Self, Vec<Endpoint>) {
        TestEnv::start_tuned(links, |_| {}, make)
    }

    fn start_tuned(
        links: &Links,
        tune: impl FnOnce(&mut DaemonSettings),
        make: impl FnOnce(&SharedEndpointState) -> Vec<(Endpoint, &'static str, &'static str)>,
    ) -> (Self, Vec<Endpoint>) {
        let (store, endpoint_state) = (configured_store(), SharedEndpointState::default());
        let started = make(&endpoint_state);
        for (endpoint, service, zone) in &started {
            register_endpoint(&store, endpoint, service, zone, "ready");
        }
        let source = ConfigSource::Store(store.address());
        let daemon = Daemon::start_tuned(links, source, "vm-1", "a", &[], tune);
        daemon.wait_ready(true);
        let endpoints = started.into_iter().map(|(endpoint, _, _)| endpoint).collect();
        (TestEnv { store, endpoint_state, daemon }, endpoints)
    }

    /// Returns the endpoint that ran the request `request_id` last, or an empty string.
    pub fn last_run_endpoint(&self, request_id: &str) -> String {
        let arrivals = self.endpoint_state.received_requests();
        let mut runs = arrivals.iter().rev().filter(|a| a.executed);
        let found = runs.find(|arrival| arrival.request_id() == request_id);
        found.map(|arrival| arrival.endpoint.clone()).unwrap_or_default()
    }

    /// Sets how the store responds.
    pub fn store_mode(&self, mode: StoreMode) {
        self.store.set_mode(mode);
    }
}
