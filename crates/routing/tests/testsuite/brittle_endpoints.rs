//! Backoff at endpoints that bear only a few rejections.

use gypsumchute_routing::brittle_endpoints::{BrittleAdmission, BrittleBackoffs, BrittleEndpoint};
use gypsumchute_units::{BootMs, EndpointId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const WINDOW_MS: u64 = 1_000;
const STEP_MS: u64 = 5;

fn endpoint() -> EndpointId {
    "book-1".parse().expect("valid id")
}

#[test]
fn a_vm_keeps_to_its_part_of_the_slots() {
    let backoffs = BrittleBackoffs::default();
    let brittle = |slots, vms| BrittleEndpoint { max_rejections_per_s: 5, slots, vms };
    let admits = |endpoint_state, own_requests| {
        let admission = backoffs.admission(BootMs(0), &endpoint(), endpoint_state, own_requests);
        admission == BrittleAdmission::Granted
    };
    assert_eq!([8, 9].map(|own| admits(brittle(64, 7), own)), [true, false]);
    assert_eq!([0, 1].map(|own| admits(brittle(6, 195), own)), [true, false]);
    assert_eq!([0, 1].map(|own| admits(brittle(0, 0), own)), [true, false]);
}

/// VMs that always have a request for the endpoint, which has no room for any, do not cause more
/// rejections in a second than it bears.
#[test]
fn rejections_of_all_vms_together_stay_below_the_limit() {
    for (vms, max_rejections_per_s) in [(1, 1), (7, 2), (7, 5), (9, 4), (30, 20)] {
        let mut rng = StdRng::seed_from_u64(vms as u64);
        let mut fleet: Vec<_> = (0..vms).map(|_| BrittleBackoffs::default()).collect();
        let brittle = BrittleEndpoint { max_rejections_per_s, slots: 6, vms };
        let mut rejections = Vec::new();
        for now in (0..60_000).step_by(STEP_MS as usize).map(BootMs) {
            for sender in 0..vms {
                let admission = fleet[sender].admission(now, &endpoint(), brittle, 0);
                if admission != BrittleAdmission::Granted {
                    continue;
                }
                rejections.push(now);
                for (vm, backoffs) in fleet.iter_mut().enumerate() {
                    let random_value = rng.random();
                    match vm == sender {
                        true => backoffs.on_rejected(now, &endpoint(), brittle, 1, random_value),
                        false => {
                            backoffs.on_peer_rejected(now, &endpoint(), brittle, random_value);
                        }
                    }
                }
            }
        }
        let in_window = |start: &BootMs| {
            rejections.iter().filter(|at| **at >= *start && at.since(*start) < WINDOW_MS).count()
        };
        let most = rejections.iter().map(in_window).max().expect("the endpoint is tried again");
        assert!(most <= max_rejections_per_s as usize, "{vms} VMs: {most} in a second");
    }
}

#[test]
fn the_share_grows_back_and_ends_with_the_need() {
    let mut backoffs = BrittleBackoffs::default();
    let brittle = BrittleEndpoint { max_rejections_per_s: 100, slots: 64, vms: 8 };
    backoffs.on_rejected(BootMs(0), &endpoint(), brittle, 8, 0);
    let admission = |backoffs: &BrittleBackoffs, now: u64, own| {
        backoffs.admission(BootMs(now), &endpoint(), brittle, own)
    };
    assert_eq!(admission(&backoffs, 400, 0), BrittleAdmission::Closed { wait_ms: 600 });
    assert_eq!(admission(&backoffs, 1_000, 3), BrittleAdmission::Granted);
    assert_eq!(admission(&backoffs, 1_000, 4), BrittleAdmission::Full);
    assert_eq!(admission(&backoffs, 9_000, 7), BrittleAdmission::Granted);
    assert_eq!(admission(&backoffs, 9_000, 8), BrittleAdmission::Full);
    backoffs.retain(|_| false);
    assert_eq!(admission(&backoffs, 400, 7), BrittleAdmission::Granted);
}
