//! Endpoints that say that they fall over when they have to turn too many requests away.

use crate::support::{API_KEY, Daemon, configured_store, register_endpoint};
use gypsumchute_platform_standin::{
    Behaviour, Brittleness, CallerRequest, Endpoint, SharedEndpointState, Store,
};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const VMS: usize = 5;
const REPLICAS: usize = 4;
/// Time after an endpoint first said that it is brittle until it has less room.
const GRACE: Duration = Duration::from_secs(3);
const WORK_MS: u64 = 60;

/// VMs of one zone and replicas of a plain service.
struct Fleet {
    replicas: Vec<Endpoint>,
    daemons: Vec<Daemon>,
    _store: Store,
}

impl Fleet {
    fn start() -> Self {
        let (store, state) = (configured_store(), SharedEndpointState::default());
        let start = |n| Endpoint::start(&state, &format!("book-{n}"), Behaviour::Succeeds);
        let replicas: Vec<_> = (0..REPLICAS).map(start).collect();
        replicas.iter().for_each(|book| register_endpoint(&store, book, "books", "a", "ready"));
        let mut daemons: Vec<Daemon> = Vec::new();
        for n in 0..VMS {
            let seeds: Vec<_> = daemons.iter().take(1).map(|d| d.settings.peers_listen).collect();
            daemons.push(Daemon::start(store.address(), &format!("vm-{n}"), "a", &seeds));
        }
        daemons.iter().for_each(|daemon| daemon.wait_ready(true));
        // The VMs hear of each other.
        thread::sleep(Duration::from_secs(1));
        Fleet { replicas, daemons, _store: store }
    }

    fn set_brittle(&self, brittleness: Option<Brittleness>) {
        self.replicas.iter().for_each(|replica| replica.set_brittle(brittleness));
    }

    fn falls(&self) -> u32 {
        self.replicas.iter().map(Endpoint::falls).sum()
    }

    /// Has `callers` callers send bookings one after the other for `duration`. Returns how many were
    /// served, and how many were not.
    fn send_for(&self, callers: usize, duration: Duration) -> (usize, usize) {
        let (served, failed) = (AtomicUsize::new(0), AtomicUsize::new(0));
        let until = Instant::now() + duration;
        thread::scope(|scope| {
            for caller in 0..callers {
                let (served, failed) = (&served, &failed);
                let address = self.daemons[caller % VMS].address();
                scope.spawn(move || {
                    for n in 0.. {
                        if Instant::now() >= until {
                            break;
                        }
                        let id = format!("r-{caller}-{n}");
                        let request = CallerRequest::new("POST /orders/x", &id, API_KEY);
                        let reply = request.body(&format!("order {id}")).send_and_read(address);
                        let count = if reply.status == 200 { served } else { failed };
                        count.fetch_add(1, Ordering::Relaxed);
                        if reply.status != 200 {
                            thread::sleep(Duration::from_millis(50));
                        }
                    }
                });
            }
        });
        (served.into_inner(), failed.into_inner())
    }
}

/// Guards against brittle endpoints that fall over because the VMs together send them more than they
/// have room for.
#[test]
fn brittle_endpoints_do_not_fall_over_under_load() {
    let fleet = Fleet::start();
    let brittle = Brittleness { max_rejections_per_s: 5, room: 64, work_ms: WORK_MS };
    fleet.set_brittle(Some(brittle));
    fleet.send_for(60, GRACE);
    fleet.set_brittle(Some(Brittleness { room: 8, ..brittle }));
    let lasts = Duration::from_secs(6);
    let (served, failed) = fleet.send_for(60, lasts);
    let falls = fleet.falls();
    assert!(falls <= 2, "{falls} falls; {served} served, {failed} not");
    // The replicas could serve 3,200 requests in this time.
    assert!(served >= 1_600, "{served} served, {failed} not");
}

/// Guards against brittle endpoints with less room than their slots being probed to death.
#[test]
fn brittle_endpoints_with_less_room_than_slots_do_not_fall_over() {
    let fleet = Fleet::start();
    let brittle = Brittleness { max_rejections_per_s: 3, room: 64, work_ms: WORK_MS };
    fleet.set_brittle(Some(brittle));
    fleet.send_for(40, GRACE);
    fleet.set_brittle(Some(Brittleness { room: 3, ..brittle }));
    let (served, failed) = fleet.send_for(40, Duration::from_secs(6));
    let falls = fleet.falls();
    assert!(falls <= 2, "{falls} falls; {served} served, {failed} not");
    // The replicas could serve 1,200 requests in this time.
    assert!(served >= 400, "{served} served, {failed} not");
}

/// Guards against limits that stay when the endpoints are no longer brittle.
#[test]
fn endpoints_that_are_no_longer_brittle_are_used_fully_again() {
    let fleet = Fleet::start();
    let brittle = Brittleness { max_rejections_per_s: 3, room: 3, work_ms: WORK_MS };
    fleet.set_brittle(Some(brittle));
    fleet.send_for(20, Duration::from_secs(2));
    fleet.set_brittle(None);
    fleet.send_for(20, Duration::from_secs(2));
    let (served, failed) = fleet.send_for(40, Duration::from_secs(1));
    assert_eq!(failed, 0, "{served} served");
}
