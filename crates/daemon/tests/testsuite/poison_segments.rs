//! Poison segments: prompts that share one segment crash every engine, and no two are alike. Sound
//! requests share the customer and the other segments.

use crate::support::{
    API_KEY, Daemon, configuration, eventually, generation_request, register_endpoint,
};
use gypsumchute_platform_standin::{
    Behaviour, CRASHING_SEGMENT, CallerRequest, Endpoint, SharedEndpointState, Store,
};
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Number of crashes after which a poison segment must become known.
const MAX_CRASHES: usize = 5;
/// Number of poison requests that may reach engines once the segment must be known.
const MAX_LATE_ARRIVALS: usize = 3;
/// Time after the last allowed crash within which all VMs must know the segment.
const SPREAD_TIME: Duration = Duration::from_secs(3);
/// Number of engines.
const ENGINES: usize = 8;

/// How long the callers of sound requests stay.
#[derive(Debug, Clone, Copy)]
enum Patience {
    /// They read the whole answer.
    ReadsAnswers,
    /// They leave when the answer begins, so that no segment is known to be sound.
    LeavesAtOnce,
}

/// A sound request and when it was sent.
struct SoundRequest {
    sent_at: Instant,
    status: u16,
    body: String,
}

/// Two VMs and engines that are replaced when they crash.
struct Fleet {
    store: Store,
    endpoint_state: SharedEndpointState,
    daemons: Vec<Daemon>,
    engines: Mutex<Vec<Endpoint>>,
    sound: Mutex<Vec<SoundRequest>>,
    stopped: AtomicBool,
}

impl Fleet {
    fn start() -> Self {
        let store = Store::start();
        store.configure(&configuration(7, &[API_KEY]));
        let endpoint_state = SharedEndpointState::default();
        let engines: Vec<_> =
            (0..ENGINES).map(|n| start_engine(&store, &endpoint_state, n)).collect();
        let first = Daemon::start(store.address(), "vm-1", "a", &[]);
        let second = Daemon::start(store.address(), "vm-2", "a", &[first.settings.peers_listen]);
        let daemons = vec![first, second];
        daemons.iter().for_each(|daemon| daemon.wait_ready(true));
        eventually("heartbeats", || {
            let exchanged = |d: &Daemon| d.metrics().contains("gypsumchute_peer_messages_total");
            daemons.iter().all(exchanged)
        });
        Fleet {
            store,
            endpoint_state,
            daemons,
            engines: Mutex::new(engines),
            sound: Mutex::default(),
            stopped: AtomicBool::new(false),
        }
    }

    /// Replaces each engine that has crashed by a new one, until the fleet is stopped.
    fn replace_crashed_engines(&self) {
        let mut replaced = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            for (id, _) in self.endpoint_state.crashes().into_iter().skip(replaced) {
                self.store.unregister(&id);
                let engine = start_engine(&self.store, &self.endpoint_state, ENGINES + replaced);
                let mut engines = self.engines.lock().expect("engines");
                engines.retain(|engine| engine.id != id);
                engines.push(engine);
                replaced += 1;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sends sound requests one after the other, until the fleet is stopped.
    fn send_sound_requests(&self, caller: usize, patience: Patience) {
        let mut n = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            let id = format!("sound-{caller}-{n}");
            let request = prompt(&id, &format!("d0c{:05}", n % 7));
            let sent_at = Instant::now();
            let response = request.send(self.daemons[n % 2].address());
            let status = response.status;
            let body = match patience {
                Patience::ReadsAnswers => response.read_to_end().body,
                Patience::LeavesAtOnce => String::new(),
            };
            self.sound.lock().expect("requests").push(SoundRequest { sent_at, status, body });
            thread::sleep(Duration::from_millis(50));
            n += 1;
        }
    }

    /// Sends poison requests to both VMs for `duration`, each different from all others.
    fn send_poison_requests(&self, duration: Duration) {
        let started = Instant::now();
        thread::scope(|scope| {
            for n in 0.. {
                if started.elapsed() > duration {
                    break;
                }
                let daemon = &self.daemons[n % 2];
                scope.spawn(move || {
                    let request = prompt(&format!("poison-{n}"), CRASHING_SEGMENT);
                    drop(request.try_send(daemon.address()));
                });
                thread::sleep(Duration::from_millis(150));
            }
        });
    }

    /// Returns how many poison requests reached engines after all VMs must know the segment.
    fn late_arrivals(&self) -> usize {
        let crashes = self.endpoint_state.crashes();
        let Some((_, fifth_at)) = crashes.get(MAX_CRASHES - 1) else { return 0 };
        let known_at = *fifth_at + SPREAD_TIME;
        let arrivals = self.endpoint_state.received_requests();
        let poison = arrivals.iter().filter(|a| a.has_crashing_segment());
        poison.filter(|a| a.received_at > known_at).count()
    }

    /// Returns the share of the sound requests sent within `period` that were served.
    fn served_share(&self, period: Range<Instant>) -> f64 {
        let sound = self.sound.lock().expect("requests");
        let sent: Vec<_> = sound.iter().filter(|r| period.contains(&r.sent_at)).collect();
        assert!(sent.len() >= 20, "{} sound requests are too few", sent.len());
        let mut failures: Vec<_> = sent.iter().filter(|r| r.status != 200).collect();
        failures.truncate(3);
        failures.iter().for_each(|r| println!("sound request failed: {} {}", r.status, r.body));
        sent.iter().filter(|r| r.status == 200).count() as f64 / sent.len() as f64
    }
}

fn start_engine(store: &Store, endpoint_state: &SharedEndpointState, n: usize) -> Endpoint {
    let streams = Behaviour::Streams { events: 5, event_interval_ms: 20 };
    let engine = Endpoint::start(endpoint_state, &format!("engine-{n}"), streams);
    register_endpoint(store, &engine, "engines", "a", "ready");
    engine
}

/// Returns a request whose prompt shares its first segment with all others, and its second segment
/// with some.
fn prompt(id: &str, second_segment: &str) -> CallerRequest {
    let segments = format!("5c1e07a2:800,{second_segment}:100,{id}:100");
    generation_request("briefs", id).header("X-Prefix-Hash", &segments).body(id)
}

/// Sends sound requests and then poison requests beside them, and checks how many of both reach
/// engines and are answered.
fn assert_only_poison_requests_are_refused(patience: Patience) {
    let fleet = Fleet::start();
    let fleet_started = Instant::now();
    let mut poison_started = fleet_started;
    thread::scope(|scope| {
        scope.spawn(|| fleet.replace_crashed_engines());
        for caller in 0..4 {
            let fleet = &fleet;
            scope.spawn(move || fleet.send_sound_requests(caller, patience));
        }
        thread::sleep(Duration::from_secs(1));
        poison_started = Instant::now();
        fleet.send_poison_requests(Duration::from_secs(9));
        fleet.stopped.store(true, Ordering::Relaxed);
    });
    let crashes = fleet.endpoint_state.crashes();
    let late = fleet.late_arrivals();
    assert!(late <= MAX_LATE_ARRIVALS, "{} crashes, {late} late arrivals", crashes.len());
    let last_allowed = crashes.iter().take(MAX_CRASHES).next_back().map_or(poison_started, |c| c.1);
    let before = fleet.served_share(fleet_started..poison_started);
    let after = fleet.served_share(last_allowed + 2 * SPREAD_TIME..Instant::now());
    assert!(after >= before / 2.0, "served {before:.2}, then {after:.2} of the sound requests");
}

/// Guards against requests that share a poison segment and nothing else, each of which crashes
/// engines because only whole requests are recognised.
#[test]
fn a_poison_segment_is_refused_and_sound_requests_with_the_other_segments_are_served() {
    assert_only_poison_requests_are_refused(Patience::ReadsAnswers);
}

/// Guards against a refusal of the first segment, which all requests share, where no answer shows that
/// it is sound.
#[test]
fn a_poison_segment_is_told_from_those_of_requests_whose_callers_leave() {
    assert_only_poison_requests_are_refused(Patience::LeavesAtOnce);
}
