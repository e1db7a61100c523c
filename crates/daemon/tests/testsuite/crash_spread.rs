//! How crash reports and refusals spread over a fleet, in virtual time.

use crate::simulated_fleet::{POISON, SimulatedFleet, peer};
use std::collections::BTreeSet;

/// Guards against crash reports that stay in the zone in which the crash was observed.
#[test]
fn crashes_seen_in_different_zones_are_counted_together_within_three_seconds() {
    for (vms, zones) in [(7, 4), (18, 3), (86, 5), (90, 4), (420, 16)] {
        let mut fleet = SimulatedFleet::start(vms, zones, 0.03);
        // The last three VMs are in different zones and are no gateways.
        (0..3).for_each(|n| fleet.crash(vms - 1 - n, zones, n as u64));
        fleet.run(3_000);
        let accepting = fleet.accepting_vms();
        assert_eq!(accepting, 0, "{accepting} of {vms} VMs in {zones} zones still send it");
    }
}

/// Guards against a segment whose crashes are seen in different zones and reach the other VMs several
/// in one heartbeat.
#[test]
fn a_poison_segment_is_refused_by_all_vms_within_three_seconds_of_the_fifth_crash() {
    for (vms, zones) in [(7, 4), (18, 3), (86, 5), (90, 4), (420, 16)] {
        let mut fleet = SimulatedFleet::start(vms, zones, 0.03);
        for n in 0..5 {
            fleet.run(120);
            fleet.crash_under_segment(vms - 1 - n % vms, zones, n as u64);
        }
        fleet.run(3_000);
        let accepting = fleet.vms_accepting_segment();
        assert_eq!(accepting, 0, "{accepting} of {vms} VMs in {zones} zones still send it");
    }
}

/// Guards against VMs that miss the reports of the crashes and never learn of them.
#[test]
fn a_vm_that_missed_the_crashes_refuses_the_request_within_three_seconds_of_its_return() {
    for (vms, zones) in [(7, 4), (86, 5)] {
        let zone_of_last: BTreeSet<_> =
            (0..vms).filter(|vm| vm % zones == (vms - 1) % zones).collect();
        let addresses = |vms: &BTreeSet<usize>| -> BTreeSet<_> {
            vms.iter().map(|vm| peer(*vm, zones).address).collect()
        };
        let last = addresses(&BTreeSet::from([vms - 1]));
        let none = BTreeSet::new();
        let faults = [
            ("VM cut off", last.clone(), none.clone()),
            ("zone cut off", addresses(&zone_of_last), none.clone()),
            ("VM that receives nothing", none.clone(), last),
            ("zone that receives nothing", none, addresses(&zone_of_last)),
        ];
        for (fault, cut_off, deaf) in faults {
            let mut fleet = SimulatedFleet::start(vms, zones, 0.03);
            (fleet.cut_off, fleet.deaf) = (cut_off, deaf);
            (0..3).for_each(|number| fleet.crash(0, zones, number));
            fleet.run(6_000);
            (fleet.cut_off, fleet.deaf) = Default::default();
            fleet.run(3_000);
            let accepting = fleet.accepting_vms();
            assert_eq!(accepting, 0, "{fault}: {accepting} of {vms} VMs still send it");
        }
    }
}

/// Guards against a request whose caller returns so rarely that its crashes never add up, or that
/// is sent again as soon as its refusal ends.
#[test]
fn a_poison_request_that_returns_every_two_minutes_is_stopped() {
    const RETURN_MS: u64 = 120_000;
    let mut fleet = SimulatedFleet::start(7, 4, 0.03);
    let mut crashes = 0;
    for n in 0..5 {
        let vm = n as usize % 7;
        let address = peer(vm, 4).address;
        if fleet.vms[&address].suspects.requests.refused_for_ms(fleet.now, POISON).is_none() {
            fleet.crash(vm, 4, n);
            crashes += 1;
        }
        fleet.run(RETURN_MS);
    }
    assert_eq!(crashes, 3);
}
