//! Faults that are injected in overlapping series: signals and restarts of daemons, endpoints and
//! connections that fail, and changes that operators make.

use super::{ProxiedEndpoint, SharedState, Soak, api_key_of};
use gypsumchute_platform_standin::fixtures::configuration;
use gypsumchute_platform_standin::{Behaviour, StoreMode};
use gypsumchute_standins::proxy::Fault;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time that a daemon takes to exit after SIGTERM: its grace period of 3 s and a second.
const EXIT_LIMIT: Duration = Duration::from_secs(4);
/// Maximum number of changes that the store loses when it is restored.
const MAX_LOST_CHANGES: u64 = 30;
/// Kind of endpoint fault that lets an endpoint drain, which is no reason to cut a stream.
const DRAINING: u32 = 4;
/// Maximum number of daemons that one series of signals affects.
const MAX_SERIES: usize = 4;

/// Time in which a daemon did not run normally.
pub struct Impairment {
    pub daemon: usize,
    pub from: Instant,
    pub until: Instant,
    /// Whether the process was killed, or suspended for a while, so that its requests may be lost.
    pub is_unplanned: bool,
}

/// Time in which an endpoint or its connections failed.
pub struct EndpointFault {
    pub endpoint: String,
    pub from: Instant,
    pub until: Instant,
}

/// Returns a random time up to `max_ms`.
pub fn random_time(rng: &mut StdRng, max_ms: u64) -> Duration {
    Duration::from_millis(rng.random_range(0..max_ms))
}

impl Soak {
    /// Sends signals to daemons and restarts them until the soak stops. Several threads do so at
    /// once; a daemon receives the series of one at a time.
    pub fn inject_signals(&self, shared: &SharedState, thread: u64) {
        let mut rng = StdRng::seed_from_u64(shared.seed * 1_000 + 500 + thread);
        while !shared.stop.load(Ordering::Relaxed) {
            let series = rng.random_range(1..=MAX_SERIES.min(self.daemons.len()));
            for _ in 0..series {
                let daemon = rng.random_range(0..self.daemons.len());
                self.signal(shared, &mut rng, daemon);
                thread::sleep(random_time(&mut rng, 200));
            }
            thread::sleep(random_time(&mut rng, 1_500));
        }
    }

    /// Sends a random series of signals to one daemon, unless another thread does so already.
    fn signal(&self, shared: &SharedState, rng: &mut StdRng, daemon: usize) {
        let Ok(mut target) = self.daemons[daemon].try_lock() else { return };
        let from = Instant::now();
        let is_unplanned = match rng.random_range(0..6) {
            0 => {
                target.process.suspend();
                thread::sleep(random_time(rng, 2_500));
                target.process.resume();
                true
            }
            1 => {
                target.process.kill();
                thread::sleep(random_time(rng, 600));
                target.restart();
                true
            }
            2 => {
                target.process.terminate();
                let exited = target.process.exits_within(EXIT_LIMIT);
                assert!(exited, "seed {}: vm-{daemon} did not exit after SIGTERM", shared.seed);
                target.restart();
                false
            }
            3 => {
                target.process.terminate();
                thread::sleep(random_time(rng, 1_000));
                target.process.suspend();
                thread::sleep(random_time(rng, 500));
                target.process.kill();
                target.restart();
                true
            }
            4 => {
                target.process.reload();
                thread::sleep(random_time(rng, 50));
                target.process.reload();
                false
            }
            _ => {
                self.stores[daemon].set_fault(*store_faults().choose(rng).expect("faults"));
                thread::sleep(random_time(rng, 2_500));
                self.stores[daemon].set_fault(Fault::NoFault);
                return;
            }
        };
        let until = Instant::now();
        shared.log_impairment(Impairment { daemon, from, until, is_unplanned });
    }

    /// Lets endpoints and their connections fail until the soak stops.
    pub fn inject_endpoint_faults(&self, shared: &SharedState, thread: u64) {
        let mut rng = StdRng::seed_from_u64(shared.seed * 1_000 + 600 + thread);
        while !shared.stop.load(Ordering::Relaxed) {
            let proxied = self.endpoints.choose(&mut rng).expect("endpoints");
            let duration = Duration::from_millis(rng.random_range(100..1_200));
            let from = Instant::now();
            let kind = rng.random_range(0..=DRAINING);
            match kind {
                0 => {
                    let behaviours = [
                        Behaviour::DropsConnection,
                        Behaviour::FailsAfterExecution,
                        Behaviour::Rejects,
                        Behaviour::Hangs,
                        Behaviour::MismatchesRequestId,
                        Behaviour::TruncatesBody,
                    ];
                    let behaviour = *behaviours.choose(&mut rng).expect("behaviours");
                    proxied.endpoint.set_behaviour(behaviour);
                    thread::sleep(duration);
                    proxied.endpoint.set_behaviour(proxied.healthy_behaviour);
                }
                1 => {
                    let faults = [
                        Fault::CloseConnections,
                        Fault::Stall,
                        Fault::StallExisting,
                        Fault::StallResponses,
                        Fault::CloseOnResponse,
                    ];
                    proxied.proxy.set_fault(*faults.choose(&mut rng).expect("faults"));
                    thread::sleep(duration);
                    proxied.proxy.set_fault(Fault::NoFault);
                }
                2 => {
                    let pause_s = rng.random_range(0.1..1.5);
                    proxied.endpoint.set_retry_after(Some(&format!("{pause_s:.2}")));
                    thread::sleep(duration);
                    proxied.endpoint.set_retry_after(None);
                }
                3 => {
                    // The registry says that the endpoint is ready all the time.
                    proxied.endpoint.set_leaving(true);
                    thread::sleep(duration);
                    proxied.endpoint.start_again();
                    self.register(proxied, "ready");
                }
                DRAINING.. => {
                    self.register(proxied, "draining");
                    thread::sleep(duration);
                    self.register(proxied, "ready");
                }
            }
            if kind != DRAINING {
                let (endpoint, until) = (proxied.endpoint.id.clone(), Instant::now());
                let fault = EndpointFault { endpoint, from, until };
                shared.endpoint_faults.lock().expect("log").push(fault);
            }
            thread::sleep(random_time(&mut rng, 500));
        }
    }

    /// Makes the changes of operators, in quick succession and while the store fails, until the
    /// soak stops.
    pub fn inject_changes(&self, shared: &SharedState) {
        let mut rng = StdRng::seed_from_u64(shared.seed * 1_000 + 700);
        while !shared.stop.load(Ordering::Relaxed) {
            match rng.random_range(0..5) {
                0 => {
                    let modes = [
                        StoreMode::RejectsCalls,
                        StoreMode::ResetsConnections,
                        StoreMode::Unresponsive,
                    ];
                    self.store.set_mode(*modes.choose(&mut rng).expect("modes"));
                    thread::sleep(random_time(&mut rng, 2_400));
                    self.store.set_mode(StoreMode::Available);
                }
                1 => {
                    self.store.set_zone_drained("b", true);
                    thread::sleep(random_time(&mut rng, 1_200));
                    self.store.set_zone_drained("b", false);
                }
                2 => self.restore_store(shared, &mut rng),
                _ => {
                    for _ in 0..rng.random_range(1..3) {
                        let version = shared.version.load(Ordering::Relaxed) + 1;
                        self.publish(version);
                        shared.version.store(version, Ordering::Relaxed);
                        thread::sleep(random_time(&mut rng, 300));
                    }
                }
            }
            thread::sleep(random_time(&mut rng, 800));
        }
    }

    /// Restores the store from a backup, once or twice. Operators and endpoints then write again what
    /// was lost.
    fn restore_store(&self, shared: &SharedState, rng: &mut StdRng) {
        for _ in 0..rng.random_range(1..=2) {
            self.store.set_mode(StoreMode::RejectsCalls);
            thread::sleep(random_time(rng, 600));
            let lost = rng.random_range(1..=MAX_LOST_CHANGES);
            let backup = self.store.revision().saturating_sub(lost);
            self.store.restore(backup.max(self.first_revision));
            self.store.set_mode(StoreMode::Available);
            thread::sleep(random_time(rng, 500));
        }
        let version = shared.version.load(Ordering::Relaxed);
        self.publish(version);
        self.store.set_zone_drained("b", false);
        self.endpoints.iter().for_each(|proxied| self.register(proxied, "ready"));
    }

    /// Publishes a configuration that accepts the keys of `version` and of the one before it.
    pub fn publish(&self, version: u64) {
        let keys = [api_key_of(version - 1), api_key_of(version)];
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        self.store.configure(&configuration(version, &keys));
    }

    /// Writes the registration of an endpoint to the store, with the address of the proxy.
    pub fn register(&self, proxied: &ProxiedEndpoint, state: &str) {
        let mut entry = proxied.endpoint.registry_entry(proxied.service, proxied.zone, state);
        entry["address"] = proxied.proxy.address().to_string().into();
        self.store.put(&format!("servers/{}", proxied.endpoint.id), &entry);
    }
}

/// Returns faults of the connection between a daemon and the store.
fn store_faults() -> [Fault; 4] {
    [Fault::CloseConnections, Fault::Stall, Fault::StallExisting, Fault::StallResponses]
}
