//! Daemons on threads of this test process, with a store and endpoints beside them.

use gypsumchute_config::{ConfigurationSource, DaemonSettings};
use gypsumchute_daemon::process::run_until;
pub use gypsumchute_platform_standin::fixtures::{KEY, configuration, generation, register};
use gypsumchute_platform_standin::{Caller, Endpoint, Mode, Store, World};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Longest time that a test waits for something to come true.
const PATIENCE: Duration = Duration::from_secs(10);

/// A daemon on a thread.
pub struct Daemon {
    pub settings: DaemonSettings,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon called `vm` in `zone`.
    pub fn start(store: SocketAddr, vm: &str, zone: &str, seeds: &[SocketAddrV4]) -> Self {
        Daemon::start_with(ConfigurationSource::Store(store), vm, zone, seeds)
    }

    /// Starts a daemon that takes its configuration from `configuration`.
    pub fn start_with(
        configuration: ConfigurationSource,
        vm: &str,
        zone: &str,
        seeds: &[SocketAddrV4],
    ) -> Self {
        let settings = DaemonSettings {
            vm: vm.parse().expect("an id"),
            zone: zone.parse().expect("an id"),
            zone_regions: BTreeMap::new(),
            callers_listen: free_address().into(),
            readiness_listen: free_address().into(),
            metrics_listen: free_address().into(),
            // All daemons use the same port, so that each needs an IP number of its own.
            peers_listen: SocketAddrV4::new(next_ip(vm), peers_port()),
            seeds: seeds.to_vec(),
            configuration,
            shutdown_grace_s: 8.0,
            retry_ratio: 0.2,
            retry_fixed: 50.0,
            retry_window_s: 10.0,
        };
        let (stop, stopped) = oneshot::channel::<()>();
        let own = settings.clone();
        let thread = thread::spawn(move || {
            run_until(own, async { drop(stopped.await) }).expect("a daemon that starts");
        });
        Daemon { settings, stop: Some(stop), thread: Some(thread) }
    }

    /// Where callers reach it.
    pub fn address(&self) -> SocketAddr {
        self.settings.callers_listen
    }

    /// Tells it to shut down.
    pub fn stop(&mut self) {
        drop(self.stop.take());
    }

    /// Waits until it says whether it is ready.
    pub fn wait_ready(&self, ready: bool) {
        let status = if ready { 200 } else { 503 };
        let address = self.settings.readiness_listen;
        eventually("readiness", || {
            let listens = std::net::TcpStream::connect(address).is_ok();
            listens && Caller::readiness().call(address).status == status
        });
    }

    /// Its metrics, as text.
    pub fn metrics(&self) -> String {
        Caller::new("GET /metrics", "m", "").call(self.settings.metrics_listen).body
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.stop();
        // A thread that is still shutting down ends with the test process.
        drop(self.thread.take());
    }
}

fn free_address() -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let port = listener.local_addr().expect("an address").port();
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

/// One port for the daemons of all tests of this process: IP numbers tell them apart.
fn peers_port() -> u16 {
    use std::sync::OnceLock;
    static PORT: OnceLock<u16> = OnceLock::new();
    *PORT.get_or_init(|| free_address().port())
}

fn next_ip(_vm: &str) -> Ipv4Addr {
    use std::sync::atomic::{AtomicU8, Ordering};
    static NEXT: AtomicU8 = AtomicU8::new(10);
    Ipv4Addr::new(127, 0, 7, NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Waits until `holds`.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < PATIENCE, "{what} did not come true in {PATIENCE:?}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// A store with a configuration.
pub fn store() -> Store {
    let store = Store::start();
    store.configure(&configuration(7, &[KEY]));
    store
}

/// What a stream of `events` events looks like when it is whole.
pub fn whole_stream(events: u64) -> String {
    (1..=events).map(|id| format!("id: {id}\ndata: token {id}\n\n")).collect()
}

/// A store, a world for its endpoints, and one daemon in zone `a`.
pub struct Set {
    pub store: Store,
    pub world: World,
    pub daemon: Daemon,
}

impl Set {
    /// Starts them; `endpoints` are registered before the daemon is ready.
    pub fn start(
        make: impl FnOnce(&World) -> Vec<(Endpoint, &'static str, &'static str)>,
    ) -> (Self, Vec<Endpoint>) {
        let (store, world) = (store(), World::default());
        let made = make(&world);
        for (endpoint, service, zone) in &made {
            register(&store, endpoint, service, zone, "ready");
        }
        let daemon = Daemon::start(store.address(), "vm-1", "a", &[]);
        daemon.wait_ready(true);
        let endpoints = made.into_iter().map(|(endpoint, _, _)| endpoint).collect();
        (Set { store, world, daemon }, endpoints)
    }

    /// The endpoint that ran `request_id` last.
    pub fn ran_at(&self, request_id: &str) -> String {
        let arrivals = self.world.arrivals();
        let mut runs = arrivals.iter().rev().filter(|a| a.ran);
        let found = runs.find(|arrival| arrival.request_id() == request_id);
        found.map(|arrival| arrival.endpoint.clone()).unwrap_or_default()
    }

    /// Turns the store's answers on or off.
    pub fn store_mode(&self, mode: Mode) {
        self.store.set_mode(mode);
    }
}
