//! Quiet phases: daemons or engines pause and go on, while configurations are published in quick
//! succession. All of them are sound, so that no stream may be cut.

use super::callers::{Load, RequestRecord, send_requests};
use super::faults::random_time;
use super::{ProxiedEndpoint, STREAM_EVENTS, SharedState, Soak};
use gypsumchute_platform_standin::Behaviour;
use gypsumchute_standins::proxy::Fault;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{RngExt, SeedableRng};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Length of a quiet phase.
const PHASE_DURATION: Duration = Duration::from_millis(3_000);
/// Number of concurrent callers, which is more than the engines have slots.
const CALLER_COUNT: u64 = 64;
/// Behaviour of the engines. A stream is so slow that it meets a pause.
const ENGINE_BEHAVIOUR: Behaviour =
    Behaviour::Streams { events: STREAM_EVENTS, event_interval_ms: 30 };
/// Maximum number of daemons that are suspended at once.
const MAX_SUSPENDED: usize = 3;

/// What pauses and goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuietPhase {
    SuspendedDaemons,
    SilentEngines,
}

impl Soak {
    /// Lets daemons or engines pause while callers send requests, and returns the records of all
    /// callers.
    pub fn run_quiet_phase(&self, shared: &SharedState, phase: QuietPhase) -> Vec<RequestRecord> {
        let set_behaviour = |is_quiet: bool| {
            self.engines().for_each(|engine| {
                let behaviour = if is_quiet { ENGINE_BEHAVIOUR } else { engine.healthy_behaviour };
                engine.endpoint.set_behaviour(behaviour);
            });
        };
        set_behaviour(true);
        let first_caller = 100 * (1 + phase as u64);
        let records = thread::scope(|scope| {
            let callers: Vec<_> = (first_caller..first_caller + CALLER_COUNT)
                .map(|caller| scope.spawn(move || send_requests(shared, caller, Load::Streams)))
                .collect();
            let pauses = scope.spawn(move || match phase {
                QuietPhase::SuspendedDaemons => self.suspend_daemons(shared),
                QuietPhase::SilentEngines => self.silence_engines(shared),
            });
            let changes = scope.spawn(move || self.publish_in_quick_succession(shared, phase));
            thread::sleep(PHASE_DURATION);
            shared.stop.store(true, Ordering::Relaxed);
            pauses.join().expect("pauses");
            changes.join().expect("changes");
            callers.into_iter().flat_map(|caller| caller.join().expect("caller")).collect()
        });
        shared.stop.store(false, Ordering::Relaxed);
        set_behaviour(false);
        records
    }

    fn engines(&self) -> impl Iterator<Item = &ProxiedEndpoint> {
        self.endpoints.iter().filter(|proxied| proxied.service == "engines")
    }

    /// Lets one engine or all of them fall silent and go on, until the soak stops. What an engine
    /// sends meanwhile arrives once it goes on.
    fn silence_engines(&self, shared: &SharedState) {
        let mut rng = StdRng::seed_from_u64(shared.seed * 1_000 + 800);
        while !shared.stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(rng.random_range(200..500)));
            let silent: Vec<_> = match rng.random_bool(0.5) {
                true => self.engines().collect(),
                false => self.engines().choose(&mut rng).into_iter().collect(),
            };
            let fault = *[Fault::StallResponses, Fault::Stall].choose(&mut rng).expect("faults");
            silent.iter().for_each(|engine| engine.proxy.set_fault(fault));
            thread::sleep(Duration::from_millis(rng.random_range(600..1_300)));
            silent.iter().for_each(|engine| engine.proxy.set_fault(Fault::NoFault));
        }
    }

    /// Suspends daemons, several at once, and lets them go on, until the soak stops.
    fn suspend_daemons(&self, shared: &SharedState) {
        let mut rng = StdRng::seed_from_u64(shared.seed * 1_000 + 801);
        while !shared.stop.load(Ordering::Relaxed) {
            thread::sleep(random_time(&mut rng, 500));
            let count = rng.random_range(1..=MAX_SUSPENDED.min(self.daemons.len()));
            let suspended: Vec<_> = self.daemons.iter().sample(&mut rng, count);
            let daemons: Vec<_> =
                suspended.iter().map(|daemon| daemon.lock().expect("daemon")).collect();
            daemons.iter().for_each(|daemon| daemon.process.suspend());
            thread::sleep(Duration::from_millis(rng.random_range(300..1_000)));
            daemons.iter().for_each(|daemon| daemon.process.resume());
        }
    }

    /// Publishes configurations until the soak stops.
    fn publish_in_quick_succession(&self, shared: &SharedState, phase: QuietPhase) {
        let mut rng = StdRng::seed_from_u64(shared.seed * 1_000 + 810 + phase as u64);
        while !shared.stop.load(Ordering::Relaxed) {
            let version = shared.version.load(Ordering::Relaxed) + 1;
            self.publish(version);
            shared.version.store(version, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(rng.random_range(50..400)));
        }
    }
}
