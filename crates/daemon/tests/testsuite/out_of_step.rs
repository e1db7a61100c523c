//! A VM that is out of step for a few seconds while endpoints of a new software version join: it must
//! not take its old picture for the present one when callers take up streams there.

use crate::support::{Daemon, configured_store, eventually, generation_request, register_endpoint};
use gypsumchute_platform_standin::{Behaviour, Endpoint, SharedEndpointState, Store, StoreMode};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time for which only one version must have been seen to be taken for the only one, and a margin.
const ONE_VERSION_TIME: Duration = Duration::from_millis(10_600);
const BRIEF: Behaviour = Behaviour::Streams { events: 8, event_interval_ms: 20 };
const STREAMS: usize = 6;

/// Engines of version `v1` that two stores list, of which each VM reads its own. Engines of `v2`
/// join later, and the second store doesn't show them.
struct Release {
    state: SharedEndpointState,
    store: Store,
    late_store: Store,
    old: Vec<Endpoint>,
    new: Vec<Endpoint>,
}

impl Release {
    fn start() -> Self {
        let (store, late_store) = (configured_store(), configured_store());
        let state = SharedEndpointState::default();
        let start = |prefix: &str, version: &str| -> Vec<Endpoint> {
            let ids = (0..2).map(|n| format!("{prefix}-{n}"));
            ids.map(|id| Endpoint::start(&state, &id, BRIEF).with_version(version)).collect()
        };
        let (old, new) = (start("old", "v1"), start("new", "v2"));
        for engine in &old {
            register_endpoint(&store, engine, "engines", "a", "ready");
            register_endpoint(&late_store, engine, "engines", "a", "ready");
        }
        Release { state, store, late_store, old, new }
    }

    /// Registers the engines of `v2` in the first store, whose readers use only those from then on.
    fn release(&self) {
        self.new.iter().for_each(|e| register_endpoint(&self.store, e, "engines", "a", "ready"));
        self.old.iter().for_each(|e| register_endpoint(&self.store, e, "engines", "a", "draining"));
    }

    /// Begins streams at engines of `v2` through `daemon`, and breaks them off.
    fn begin_streams(&self, daemon: &Daemon) {
        for n in 0..STREAMS {
            let id = format!("first-{n}");
            let mut stream = generation_request("briefs", &id).send(daemon.address());
            stream.next_chunk().expect("open stream").expect("first event");
            assert_eq!(self.engines_of(&id)[0].split('-').next(), Some("new"));
        }
    }

    /// Returns the engines that ran the request `id`.
    fn engines_of(&self, id: &str) -> Vec<String> {
        let received = self.state.received_requests();
        let runs = received.iter().filter(|r| r.executed && r.request_id() == id);
        runs.map(|run| run.endpoint.clone()).collect()
    }

    /// Takes the streams up at `daemon`. Returns how many went on, and fails if one of them went on
    /// at an engine of `v1` or if a refused one ran.
    fn take_up_all(&self, daemon: &Daemon) -> usize {
        let mut went_on = 0;
        for n in 0..STREAMS {
            let (first, again) = (format!("first-{n}"), format!("again-{n}"));
            let request = generation_request("briefs", &again);
            let request = request.header("Resumes", &first).header("Last-Event-Id", "1");
            let reply = request.send(daemon.address()).read_to_end();
            let runs = self.engines_of(&again);
            assert!(runs.iter().all(|id| id.starts_with("new")), "{first} went on at {runs:?}");
            match reply.status {
                200 => went_on += 1,
                503 => assert_eq!(runs.len(), 0, "{}", reply.body),
                status => panic!("status {status}: {}", reply.body),
            }
        }
        went_on
    }
}

#[test]
fn a_vm_cut_off_from_peers_and_store_does_not_take_its_only_version_for_the_streams() {
    let release = Release::start();
    let daemon = Daemon::start(release.store.address(), "vm-1", "a", &[]);
    let out_of_step = Daemon::start(release.late_store.address(), "vm-2", "a", &[]);
    daemon.wait_ready(true);
    out_of_step.wait_ready(true);
    sleep(ONE_VERSION_TIME);
    release.late_store.set_mode(StoreMode::Unresponsive);
    release.release();
    sleep(Duration::from_millis(200));
    release.begin_streams(&daemon);
    assert_eq!(release.take_up_all(&out_of_step), 0, "nobody could tell it the version");
    // It is in touch again: the store shows both versions, and the streams stay unknown there.
    release
        .new
        .iter()
        .for_each(|e| register_endpoint(&release.late_store, e, "engines", "a", "ready"));
    release.late_store.set_mode(StoreMode::Available);
    sleep(Duration::from_millis(1_500));
    release.take_up_all(&out_of_step);
}

#[test]
fn a_vm_cut_off_from_the_store_only_asks_its_peers() {
    let release = Release::start();
    let daemon = Daemon::start(release.store.address(), "vm-1", "a", &[]);
    daemon.wait_ready(true);
    let seeds = [daemon.settings.peers_listen];
    let out_of_step = Daemon::start(release.late_store.address(), "vm-2", "a", &seeds);
    out_of_step.wait_ready(true);
    sleep(ONE_VERSION_TIME);
    release.late_store.set_mode(StoreMode::Unresponsive);
    release.release();
    sleep(Duration::from_millis(200));
    release.begin_streams(&daemon);
    assert_eq!(release.take_up_all(&out_of_step), STREAMS, "its peer has the records");
}

/// The reader's watch brings changes late, as after a while in which the VM stood still: the change
/// is there to be read, but has not been read.
#[test]
fn a_vm_that_has_not_read_the_latest_changes_reads_them_before_it_trusts_its_picture() {
    let release = Release::start();
    let daemon = Daemon::start(release.store.address(), "vm-1", "a", &[]);
    let late = Daemon::start(release.late_store.address(), "vm-2", "a", &[]);
    daemon.wait_ready(true);
    late.wait_ready(true);
    sleep(ONE_VERSION_TIME);
    release.release();
    sleep(Duration::from_millis(200));
    release.begin_streams(&daemon);
    // The second VM learns of the engines in the same moment in which the callers arrive.
    for engine in &release.new {
        register_endpoint(&release.late_store, engine, "engines", "a", "ready");
    }
    release.take_up_all(&late);
}

/// What is certain is served: the only version, confirmed by the store, is that of the stream.
#[test]
fn an_unknown_stream_goes_on_at_the_only_version_once_the_store_has_confirmed_it() {
    let release = Release::start();
    let daemon = Daemon::start(release.store.address(), "vm-1", "a", &[]);
    daemon.wait_ready(true);
    sleep(ONE_VERSION_TIME);
    let sent_at = Instant::now();
    let request = generation_request("briefs", "again");
    let request = request.header("Resumes", "unknown").header("Last-Event-Id", "1");
    let mut stream = request.send(daemon.address());
    assert_eq!(stream.status, 200);
    stream.next_chunk().expect("open stream").expect("first event");
    assert!(sent_at.elapsed() < Duration::from_millis(300), "{:?}", sent_at.elapsed());
    eventually("the run at an engine of v1", || release.engines_of("again")[0].starts_with("old"));
}

/// An engine starts again under its id with another version of its software, and the registry has
/// not said so yet when a stream begins there.
#[test]
fn a_stream_of_an_engine_that_changed_its_version_unseen_does_not_go_on_at_the_former_one() {
    let (store, state) = (configured_store(), SharedEndpointState::default());
    let slow = Behaviour::Streams { events: 80, event_interval_ms: 25 };
    let mut changed = Endpoint::start(&state, "changed", slow).with_version("v2");
    // The entry of its former start.
    let mut former = changed.registry_entry("engines", "a", "ready");
    former["version"] = "v1".into();
    former["born"] = 1_000.into();
    store.put("servers/changed", &former);
    let first = Daemon::start(store.address(), "vm-1", "a", &[]);
    first.wait_ready(true);
    let second = Daemon::start(store.address(), "vm-2", "a", &[first.settings.peers_listen]);
    second.wait_ready(true);
    let mut stream = generation_request("briefs", "first").send(first.address());
    stream.next_chunk().expect("open stream").expect("first event");
    let old = Endpoint::start(&state, "old", slow).with_version("v1");
    register_endpoint(&store, &old, "engines", "a", "ready");
    register_endpoint(&store, &changed, "engines", "a", "ready");
    sleep(Duration::from_millis(400));
    changed.kill();
    assert!(!stream.read_to_end().complete, "no engine of its version is left");
    let again = generation_request("briefs", "again");
    let again = again.header("Resumes", "first").header("Last-Event-Id", "1");
    let reply = again.send(second.address()).read_to_end();
    assert_eq!(reply.status, 503, "{}", reply.body);
    let received = state.received_requests();
    let runs: Vec<_> = received.iter().filter(|r| r.executed && r.endpoint == "old").collect();
    assert!(runs.is_empty(), "the stream went on at the former version");
}
