//! Engines of two software versions serve side by side. What two versions write does not fit
//! together, so a stream may go on only at the version that began it: within one response, and when
//! the caller takes the stream up again at any VM.

use crate::support::{
    API_KEY, Daemon, configuration, configured_store, eventually, generation_request,
    register_endpoint,
};
use gypsumchute_platform_standin::{Behaviour, Endpoint, SharedEndpointState, Store};
use std::collections::{BTreeMap, BTreeSet};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Twice the timeout of the route `briefs`: for this long, a stream that began may be taken up.
const TAKE_UP_PERIOD: Duration = Duration::from_millis(10_000);
/// Timeout of routes whose streams may be taken up after a rolling restart, in milliseconds.
const ROLL_TIMEOUT_MS: u64 = 20_000;
/// Time until VMs that start have read the store and know each other.
const SETTLE_TIME: Duration = Duration::from_millis(600);

/// Engines of the versions `v1` and `v2`, alternately, and a store that lists them.
struct Engines {
    store: Store,
    endpoint_state: SharedEndpointState,
    engines: Vec<Endpoint>,
}

impl Engines {
    fn start(count: usize, behaviour: Behaviour) -> Self {
        let (store, endpoint_state) = (configured_store(), SharedEndpointState::default());
        let engines = (0..count).map(|number| {
            let version = ["v1", "v2"][number % 2];
            let id = format!("engine-{number}");
            Endpoint::start(&endpoint_state, &id, behaviour).with_version(version)
        });
        let engines: Vec<_> = engines.collect();
        for engine in &engines {
            register_endpoint(&store, engine, "engines", "a", "ready");
        }
        Engines { store, endpoint_state, engines }
    }

    /// Starts `count` VMs in one zone and waits until they know each other.
    fn start_vms(&self, count: usize, generation: &str) -> Vec<Daemon> {
        let mut daemons: Vec<Daemon> = Vec::new();
        for number in 0..count {
            let seeds: Vec<_> =
                daemons.first().map(|d| d.settings.peers_listen).into_iter().collect();
            let vm = format!("vm-{generation}{number}");
            daemons.push(Daemon::start(self.store.address(), &vm, "a", &seeds));
        }
        daemons.iter().for_each(|daemon| daemon.wait_ready(true));
        sleep(SETTLE_TIME);
        daemons
    }

    fn version_of(&self, engine: &str) -> &str {
        let found = self.engines.iter().find(|endpoint| endpoint.id == engine);
        found.expect("known engine").version()
    }

    /// Returns the versions of the engines that ran the request `id`, in order.
    fn versions_of_runs(&self, id: &str) -> Vec<&str> {
        let requests = self.endpoint_state.received_requests();
        let runs = requests.iter().filter(|r| r.executed && r.request_id() == id);
        runs.map(|run| self.version_of(&run.endpoint)).collect()
    }

    /// Announces that `engine` leaves.
    fn announce_leaving(&self, engine: &str) {
        let engine = self.engines.iter().find(|endpoint| endpoint.id == engine);
        register_endpoint(&self.store, engine.expect("known engine"), "engines", "a", "draining");
    }

    /// Removes all engines of `version` from the registry.
    fn unregister_version(&self, version: &str) {
        for engine in self.engines.iter().filter(|engine| engine.version() == version) {
            self.store.unregister(&engine.id);
        }
    }
}

/// Begins the stream `id` at `daemon`, and breaks it off after the first event.
fn begin_stream(daemon: &Daemon, id: &str) {
    let mut stream = generation_request("briefs", id).send(daemon.address());
    stream.next_chunk().expect("open stream").expect("first event");
}

/// How a caller's attempt to take up a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum TakeUp {
    /// The stream went on at the version that began it.
    SameVersion,
    /// The stream went on at another version.
    OtherVersion,
    /// The attempt was refused, and did not run.
    Refused,
}

/// Takes the stream `first_id` up again at `daemon` after its first event.
fn take_up(engines: &Engines, daemon: &Daemon, first_id: &str, id: &str) -> TakeUp {
    let request = generation_request("briefs", id);
    let request = request.header("Resumes", first_id).header("Last-Event-Id", "1");
    let sent_at = Instant::now();
    let reply = request.send(daemon.address()).read_to_end();
    let versions = engines.versions_of_runs(id);
    match reply.status {
        200 if versions[0] == engines.versions_of_runs(first_id)[0] => TakeUp::SameVersion,
        200 => TakeUp::OtherVersion,
        503 if versions.is_empty() => {
            assert!(sent_at.elapsed() < Duration::from_millis(700), "refused late");
            TakeUp::Refused
        }
        status => panic!("status {status}, runs at {versions:?}: {}", reply.body),
    }
}

/// Counts how the attempts to take up streams ended.
fn counted(ends: impl IntoIterator<Item = TakeUp>) -> BTreeMap<TakeUp, usize> {
    ends.into_iter().fold(BTreeMap::new(), |mut counts, end| {
        *counts.entry(end).or_default() += 1;
        counts
    })
}

const SLOW: Behaviour = Behaviour::Streams { events: 80, event_interval_ms: 25 };
const BRIEF: Behaviour = Behaviour::Streams { events: 8, event_interval_ms: 20 };

/// Guards against a copy, a backup or a restart at an engine of another version.
#[test]
fn a_stream_that_must_move_stays_at_the_version_that_began_it() {
    let engines = Engines::start(8, SLOW);
    let daemon = &engines.start_vms(1, "a")[0];
    let mut moved = 0;
    for (number, route) in ["surveys", "briefs", "surveys", "briefs"].into_iter().enumerate() {
        let id = format!("stream-{number}");
        let mut stream = generation_request(route, &id).send(daemon.address());
        stream.next_chunk().expect("open stream").expect("first event");
        let requests = engines.endpoint_state.received_requests();
        let first = requests.iter().rev().find(|r| r.request_id() == id).expect("a run");
        engines.announce_leaving(&first.endpoint);
        drop(stream.read_to_end());
        let versions = engines.versions_of_runs(&id);
        moved += usize::from(versions.len() > 1);
        assert_eq!(BTreeSet::from_iter(&versions).len(), 1, "{id}: {versions:?}");
    }
    assert!(moved >= 2, "{moved} streams moved");
}

/// Guards against a stream that goes on elsewhere after its version has left.
#[test]
fn a_stream_whose_version_has_left_is_not_joined_with_another() {
    let engines = Engines::start(2, SLOW);
    let daemon = &engines.start_vms(1, "a")[0];
    let mut stream = generation_request("surveys", "s").send(daemon.address());
    stream.next_chunk().expect("open stream").expect("first event");
    let version = engines.versions_of_runs("s")[0].to_owned();
    engines.unregister_version(&version);
    drop(stream.read_to_end());
    assert_eq!(engines.versions_of_runs("s"), [version]);
}

/// Guards against take-ups that go to any engine. The VM that began a stream is gone.
#[test]
fn a_stream_is_taken_up_at_its_version_on_another_vm() {
    let engines = Engines::start(6, BRIEF);
    let mut daemons = engines.start_vms(3, "a");
    (0..24).for_each(|n| begin_stream(&daemons[2], &format!("first-{n}")));
    let mut gone = daemons.pop().expect("a VM");
    gone.stop();
    drop(gone);
    let ends = (0..24)
        .map(|n| take_up(&engines, &daemons[n % 2], &format!("first-{n}"), &format!("second-{n}")));
    assert_eq!(counted(ends), [(TakeUp::SameVersion, 24)].into());
}

/// Guards against records of streams that only those VMs have which lived when the streams began: the
/// other VMs are replaced one after the other, then the VM that began them.
#[test]
fn streams_are_taken_up_after_a_rolling_restart() {
    let engines = Engines::start(6, BRIEF);
    let mut configuration = configuration(8, &[API_KEY]);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = ROLL_TIMEOUT_MS.into();
    }
    engines.store.configure(&configuration);
    let mut daemons = engines.start_vms(3, "a");
    let server = daemons.remove(0);
    for n in 0..24 {
        let mut stream = generation_request("briefs", &format!("first-{n}"))
            .timeout_ms(ROLL_TIMEOUT_MS)
            .send(server.address());
        stream.next_chunk().expect("open stream").expect("first event");
    }
    let mut seeds = vec![server.settings.peers_listen];
    let mut replacements = Vec::new();
    for (n, daemon) in daemons.into_iter().enumerate() {
        daemon.stop_and_wait();
        let replacement = Daemon::start(engines.store.address(), &format!("vm-b{n}"), "a", &seeds);
        replacement.wait_ready(true);
        sleep(SETTLE_TIME);
        seeds.push(replacement.settings.peers_listen);
        replacements.push(replacement);
    }
    server.stop_and_wait();
    engines.endpoint_state.delete_kv_copies();
    let ends = (0..24).map(|n| {
        take_up(&engines, &replacements[n % 2], &format!("first-{n}"), &format!("second-{n}"))
    });
    assert_eq!(counted(ends), [(TakeUp::SameVersion, 24)].into());
}

/// Guards against a second take-up that takes the version of the first one's attempt for unknown.
#[test]
fn a_stream_is_taken_up_more_than_once() {
    let engines = Engines::start(4, BRIEF);
    let daemons = engines.start_vms(2, "a");
    for number in 0..6 {
        let first = format!("first-{number}");
        begin_stream(&daemons[0], &first);
        for (round, daemon) in [&daemons[1], &daemons[0], &daemons[1]].into_iter().enumerate() {
            let id = format!("again-{number}-{round}");
            assert_eq!(take_up(&engines, daemon, &first, &id), TakeUp::SameVersion);
        }
    }
}

/// Guards against take-ups by a customer who guesses the id of another one's stream, and against
/// guesses for streams that no VM knows.
#[test]
fn a_stream_that_no_vm_knows_is_refused_at_once_while_two_versions_serve() {
    let engines = Engines::start(4, BRIEF);
    let daemons = engines.start_vms(2, "a");
    begin_stream(&daemons[0], "first");
    let request = generation_request("briefs", "second");
    let request = request.header("Resumes", "never-seen").header("Last-Event-Id", "1");
    let sent_at = Instant::now();
    let reply = request.send(daemons[1].address()).read_to_end();
    assert_eq!((reply.status, engines.versions_of_runs("second").len()), (503, 0));
    assert!(sent_at.elapsed() < Duration::from_millis(700), "{:?}", sent_at.elapsed());
    assert!(reply.body.contains("not_run"), "{}", reply.body);
    let without_name = generation_request("briefs", "third").header("Last-Event-Id", "1");
    assert_eq!(without_name.send(daemons[1].address()).read_to_end().status, 503);
}

/// Guards against joined streams after all VMs were replaced at once, while two versions serve.
/// Nothing of the system's outlives that, but engines hold backups of long streams: at least half of
/// these streams go on.
#[test]
fn no_stream_is_joined_from_two_versions_after_all_vms_were_replaced() {
    let engines = Engines::start(6, BRIEF);
    let daemons = engines.start_vms(3, "a");
    (0..12).for_each(|n| begin_stream(&daemons[n % 3], &format!("first-{n}")));
    drop(daemons);
    let daemons = engines.start_vms(3, "b");
    let ends = (0..12)
        .map(|n| take_up(&engines, &daemons[n % 3], &format!("first-{n}"), &format!("second-{n}")));
    let ends = counted(ends);
    assert_eq!(ends.get(&TakeUp::OtherVersion), None, "{ends:?}");
    assert!(ends.get(&TakeUp::SameVersion).is_some_and(|count| *count >= 6), "{ends:?}");
}

/// Guards against taking the one version that is left for the one that began a stream.
#[test]
fn no_stream_is_joined_after_all_vms_were_replaced_and_one_version_left() {
    let engines = Engines::start(6, BRIEF);
    let daemons = engines.start_vms(3, "a");
    (0..12).for_each(|n| begin_stream(&daemons[n % 3], &format!("first-{n}")));
    drop(daemons);
    engines.unregister_version("v1");
    let daemons = engines.start_vms(3, "b");
    let ends = (0..12)
        .map(|n| take_up(&engines, &daemons[n % 3], &format!("first-{n}"), &format!("second-{n}")));
    let ends = counted(ends);
    assert_eq!(ends.get(&TakeUp::OtherVersion), None, "{ends:?}");
}

/// Guards against refusals for good: once only one version has served for as long as a stream may
/// be taken up, a stream that no VM knows began at that version.
#[test]
fn an_unknown_stream_is_taken_up_once_only_one_version_has_served_for_long_enough() {
    let engines = Engines::start(4, BRIEF);
    engines.unregister_version("v2");
    let daemons = engines.start_vms(1, "a");
    begin_stream(&daemons[0], "first");
    drop(daemons);
    engines.endpoint_state.delete_kv_copies();
    let daemons = engines.start_vms(1, "b");
    assert_eq!(take_up(&engines, &daemons[0], "first", "early"), TakeUp::Refused);
    sleep(TAKE_UP_PERIOD);
    eventually("the stream to be taken up", || {
        take_up(&engines, &daemons[0], "first", "late") == TakeUp::SameVersion
    });
}
