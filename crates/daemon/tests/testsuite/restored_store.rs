//! A store that is restored from an older backup: what it acknowledged since is lost, revisions are
//! assigned again, and operators and endpoints write again what they wrote.

use crate::support::{API_KEY, Daemon, configuration, configured_store, register_endpoint};
use gypsumchute_platform_standin::{
    Behaviour, CallerRequest, Endpoint, SharedEndpointState, Store, StoreMode,
};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time within which an acknowledged change must be in force on all VMs.
const APPLY_LIMIT: Duration = Duration::from_millis(2_000);

/// Two VMs, of which only the first reads the store, and two endpoints of the service `books`.
struct Fleet {
    store: Store,
    endpoint_state: SharedEndpointState,
    endpoints: [Endpoint; 2],
    daemons: Vec<Daemon>,
    /// Store that rejects all calls of the second VM.
    _unavailable_store: Store,
}

impl Fleet {
    fn start() -> Self {
        let (store, unavailable_store) = (configured_store(), Store::start());
        unavailable_store.set_mode(StoreMode::RejectsCalls);
        let endpoint_state = SharedEndpointState::default();
        let endpoints = ["book-1", "book-2"]
            .map(|id| Endpoint::start(&endpoint_state, id, Behaviour::Succeeds));
        for endpoint in &endpoints {
            register_endpoint(&store, endpoint, "books", "a", "ready");
        }
        let first = Daemon::start(store.address(), "vm-1", "a", &[]);
        let seeds = [first.settings.peers_listen];
        let second = Daemon::start(unavailable_store.address(), "vm-2", "a", &seeds);
        let daemons = vec![first, second];
        daemons.iter().for_each(|daemon| daemon.wait_ready(true));
        Fleet { store, endpoint_state, endpoints, daemons, _unavailable_store: unavailable_store }
    }

    /// Starts one more VM that reads the store.
    fn add_vm(&mut self) {
        let seeds = [self.daemons[0].settings.peers_listen];
        let daemon = Daemon::start(self.store.address(), "vm-3", "a", &seeds);
        daemon.wait_ready(true);
        self.daemons.push(daemon);
    }

    /// Restores the store as of `revision` while no call succeeds, and runs `write_again` before
    /// the first one does.
    fn restore(&self, revision: u64, write_again: impl FnOnce(&Self)) {
        self.store.set_mode(StoreMode::RejectsCalls);
        sleep(Duration::from_millis(300));
        self.store.restore(revision);
        write_again(self);
        self.store.set_mode(StoreMode::Available);
    }

    fn register(&self, endpoint: usize, state: &str) {
        register_endpoint(&self.store, &self.endpoints[endpoint], "books", "a", state);
    }

    /// Returns the statuses that all VMs answer to a request with `key`.
    fn statuses(&self, key: &str) -> Vec<u16> {
        self.daemons.iter().map(|daemon| read(daemon, key)).collect()
    }

    /// Asserts that all VMs answer `key` with `status` within [`APPLY_LIMIT`].
    fn assert_all_answer(&self, key: &str, status: u16) {
        let expected = vec![status; self.daemons.len()];
        let started = Instant::now();
        let mut seen = self.statuses(key);
        while seen != expected && started.elapsed() < APPLY_LIMIT {
            sleep(Duration::from_millis(20));
            seen = self.statuses(key);
        }
        assert_eq!(seen, expected, "key {key}");
    }

    /// Returns the endpoints that run `count` requests sent now to each VM.
    fn endpoints_in_use(&self, count: usize) -> Vec<String> {
        let seen = self.endpoint_state.received_requests().len();
        for daemon in &self.daemons {
            (0..count).for_each(|_| assert_ne!(read(daemon, API_KEY), 401));
        }
        let requests = self.endpoint_state.received_requests();
        let mut used: Vec<_> = requests[seen..].iter().map(|r| r.endpoint.clone()).collect();
        used.sort();
        used.dedup();
        used
    }
}

/// Sends a read request with `key` and returns the status of the response.
fn read(daemon: &Daemon, key: &str) -> u16 {
    CallerRequest::new("GET /reads/x", "r", key).send_and_read(daemon.address()).status
}

/// Guards against a configuration that is never in force because its revision was assigned before
/// to another one.
#[test]
fn a_configuration_written_after_the_store_was_restored_is_in_force_on_all_vms() {
    let fleet = Fleet::start();
    let backup = fleet.store.revision();
    fleet.store.configure(&configuration(9, &[API_KEY]));
    sleep(Duration::from_millis(300));
    fleet.restore(backup, |_| {});
    sleep(Duration::from_millis(500));
    fleet.store.configure(&configuration(12, &["later-key"]));
    fleet.assert_all_answer("later-key", 200);
    fleet.assert_all_answer(API_KEY, 401);
}

/// Guards against changes that no watch returns: the new history has already passed the revision
/// that the VMs know when they ask again, so that nothing is answered 410.
#[test]
fn changes_of_a_history_that_has_already_passed_the_known_revision_are_in_force() {
    let fleet = Fleet::start();
    let backup = fleet.store.revision();
    fleet.store.set_zone_drained("other", true);
    sleep(Duration::from_millis(300));
    fleet.restore(backup, |fleet| {
        fleet.store.configure(&configuration(12, &["later-key"]));
        fleet.store.set_zone_drained("other", true);
        fleet.store.set_zone_drained("another", true);
    });
    fleet.assert_all_answer("later-key", 200);
    fleet.assert_all_answer(API_KEY, 401);
}

/// Guards against a VM that starts after the restore and takes the older configuration from the
/// store although other VMs know the newer one.
#[test]
fn a_configuration_that_the_store_lost_stays_in_force_also_on_a_vm_that_starts_afterwards() {
    let mut fleet = Fleet::start();
    let backup = fleet.store.revision();
    fleet.store.configure(&configuration(9, &["later-key"]));
    fleet.assert_all_answer("later-key", 200);
    fleet.restore(backup, |_| {});
    fleet.add_vm();
    fleet.assert_all_answer("later-key", 200);
    fleet.assert_all_answer(API_KEY, 401);
}

/// Guards against requests to an endpoint whose leaving notice, or whose removal, the store lost.
#[test]
fn an_endpoint_that_left_is_not_brought_back_by_a_restored_store() {
    let mut fleet = Fleet::start();
    let backup = fleet.store.revision();
    fleet.register(0, "draining");
    sleep(Duration::from_millis(300));
    fleet.restore(backup, |_| {});
    sleep(Duration::from_millis(500));
    assert_eq!(fleet.endpoints_in_use(6), ["book-2"]);
    fleet.register(0, "draining");
    fleet.store.unregister("book-1");
    sleep(Duration::from_millis(300));
    fleet.restore(backup, |_| {});
    fleet.add_vm();
    sleep(Duration::from_millis(500));
    assert_eq!(fleet.endpoints_in_use(6), ["book-2"]);
}

/// Guards against tombstones that refuse an endpoint which registers again after the restore.
#[test]
fn an_endpoint_that_registers_again_after_the_restore_is_used() {
    let fleet = Fleet::start();
    let backup = fleet.store.revision();
    fleet.store.unregister("book-1");
    sleep(Duration::from_millis(300));
    fleet.restore(backup, |_| {});
    sleep(Duration::from_millis(300));
    fleet.register(0, "ready");
    sleep(Duration::from_millis(500));
    assert_eq!(fleet.endpoints_in_use(12), ["book-1", "book-2"]);
}

/// Guards against refusals while endpoints that registered in the lost seconds are not yet
/// registered again, and against their use once they had the time to.
#[test]
fn endpoints_that_the_store_lost_serve_until_they_had_time_to_register_again() {
    let fleet = Fleet::start();
    let backup = fleet.store.revision();
    let late = Endpoint::start(&fleet.endpoint_state, "book-3", Behaviour::Succeeds);
    register_endpoint(&fleet.store, &late, "books", "a", "ready");
    (0..2).for_each(|index| fleet.store.unregister(&fleet.endpoints[index].id));
    sleep(Duration::from_millis(300));
    assert_eq!(fleet.endpoints_in_use(4), ["book-3"]);
    fleet.restore(backup, |_| {});
    sleep(Duration::from_millis(1_700));
    assert_eq!(fleet.statuses(API_KEY), [200, 200]);
    assert_eq!(fleet.endpoints_in_use(4), ["book-3"]);
    sleep(Duration::from_millis(2_500));
    assert_eq!(fleet.statuses(API_KEY), [503, 503]);
}

/// Guards against requests to a zone that the operators took out of service in the lost seconds.
#[test]
fn a_zone_taken_out_of_service_stays_out_until_the_operators_have_written_it_again() {
    let mut fleet = Fleet::start();
    let backup = fleet.store.revision();
    fleet.store.set_zone_drained("a", true);
    fleet.assert_all_answer(API_KEY, 503);
    fleet.restore(backup, |_| {});
    fleet.add_vm();
    sleep(Duration::from_millis(1_000));
    assert_eq!(fleet.statuses(API_KEY), [503, 503, 503]);
    fleet.store.set_zone_drained("a", true);
    sleep(Duration::from_millis(3_500));
    assert_eq!(fleet.statuses(API_KEY), [503, 503, 503]);
    fleet.store.set_zone_drained("a", false);
    fleet.assert_all_answer(API_KEY, 200);
}

/// Guards against a zone that stays out of service for good because the store lost the marker.
#[test]
fn a_zone_whose_marker_is_not_written_again_is_back_in_service() {
    let fleet = Fleet::start();
    let backup = fleet.store.revision();
    fleet.store.set_zone_drained("a", true);
    fleet.assert_all_answer(API_KEY, 503);
    fleet.restore(backup, |_| {});
    sleep(Duration::from_millis(3_500));
    fleet.assert_all_answer(API_KEY, 200);
}

/// Guards against a restore that goes unnoticed because the one before was not seen either.
#[test]
fn two_restores_in_a_row_keep_what_is_in_force_and_take_what_is_new() {
    let fleet = Fleet::start();
    let backup = fleet.store.revision();
    fleet.store.configure(&configuration(9, &["later-key"]));
    fleet.assert_all_answer("later-key", 200);
    fleet.restore(backup, |fleet| {
        fleet.store.configure(&configuration(10, &["later-key"]));
        fleet.store.restore(backup);
    });
    sleep(Duration::from_millis(300));
    assert_eq!(fleet.statuses(API_KEY), [401, 401]);
    fleet.restore(backup, |_| {});
    fleet.store.configure(&configuration(12, &["last-key"]));
    fleet.assert_all_answer("last-key", 200);
}

/// Guards against keys that are dropped too early because an earlier restore set the time.
#[test]
fn what_a_second_restore_loses_has_its_own_time_to_be_written_again() {
    let fleet = Fleet::start();
    let backup = fleet.store.revision();
    fleet.store.set_zone_drained("other", true);
    sleep(Duration::from_millis(300));
    fleet.restore(backup, |_| {});
    sleep(Duration::from_millis(1_200));
    fleet.store.set_zone_drained("a", true);
    fleet.assert_all_answer(API_KEY, 503);
    fleet.restore(backup, |_| {});
    sleep(Duration::from_millis(1_600));
    assert_eq!(fleet.statuses(API_KEY), [503, 503]);
    sleep(Duration::from_millis(1_900));
    fleet.assert_all_answer(API_KEY, 200);
}
