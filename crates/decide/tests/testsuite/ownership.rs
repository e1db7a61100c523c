//! Tests of ownership under random faults: a zone has at most one active view, cold endpoints stay
//! within their limits, requests with an idempotency key run at most once, and configuration
//! versions never decrease.

use crate::world::{Outcome, Simulation, config, parse_id, seeds};
use gypsumchute_units::EndpointId;
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};

const ZONES: [&str; 6] = ["a", "a", "a", "b", "b", "b"];
const COLD_LIMIT: u32 = 2;

/// Returns a fleet of two zones in which all endpoints are in cold start and all VMs serve.
fn new_simulation(seed: u64) -> Simulation {
    let config = config(1, &ZONES, &[("big", 10_000.0, 10_000)], 2, COLD_LIMIT);
    let mut sim = Simulation::new(seed, &ZONES, config);
    sim.cold = ["a-0", "a-1", "b-0", "b-1"].iter().map(|name| parse_id(name)).collect();
    sim.request_duration_ms = 400;
    sim.run(9_000);
    sim
}

/// Injects or removes a random fault. With `one_vm_at_a_time`, VMs do not crash, and after a restart
/// the fleet runs for 8 seconds without partitions and message loss, so that no two VMs lose their
/// state at the same time.
fn inject_fault(sim: &mut Simulation, one_vm_at_a_time: bool) {
    let vms = sim.vm_count();
    let vm = sim.rng.random_range(0..vms);
    match sim.rng.random_range(0..9) {
        7 => sim.drain(vm),
        0 => {
            let group = (0..vms).filter(|_| sim.rng.random_bool(0.5)).collect();
            sim.partition(&group);
        }
        1 => sim.partition(&BTreeSet::new()),
        2 => {
            let for_ms = sim.rng.random_range(300..6_000);
            sim.freeze(vm, for_ms);
        }
        3 if !one_vm_at_a_time => sim.kill(vm),
        4 => {
            sim.start(vm, false);
            if one_vm_at_a_time {
                sim.partition(&BTreeSet::new());
                sim.loss_percent = 0;
                sim.run(8_000);
            }
        }
        5 => sim.loss_percent = sim.rng.random_range(0..25),
        6 => sim.delay_ms = sim.rng.random_range(1..200),
        _ => {}
    }
}

/// Two active views in one zone would mean two owners of each resource.
#[test]
fn two_views_of_a_zone_are_never_active_at_once() {
    let (mut active_samples, mut samples) = (0, 0);
    for seed in seeds(40) {
        let mut sim = new_simulation(seed);
        for _ in 0..10 {
            inject_fault(&mut sim, false);
            for _ in 0..250 {
                sim.run(10);
                for zone in ["a", "b"] {
                    let views = sim.active_views(&parse_id(zone));
                    assert!(views.len() <= 1, "seed {seed}, {} ms: {views:?}", sim.now_ms);
                    active_samples += views.len();
                    samples += 1;
                }
            }
        }
    }
    assert!(
        active_samples * 4 > samples,
        "a view was active in only {active_samples} of {samples} samples"
    );
}

/// Two owners of an endpoint, or an owner without the permits that are in use, would exceed the
/// limit of concurrent requests in cold start.
#[test]
fn cold_endpoints_stay_within_their_limits() {
    let mut granted = 0;
    for seed in seeds(80) {
        let mut sim = new_simulation(seed);
        for _ in 0..8 {
            inject_fault(&mut sim, false);
            for _ in 0..60 {
                let vms = sim.vm_count();
                let vm = sim.rng.random_range(0..vms);
                sim.request(vm, "big");
                sim.run(25);
            }
        }
        let limit = COLD_LIMIT as usize;
        let exceeded: BTreeMap<&EndpointId, &usize> =
            sim.peak_in_flight.iter().filter(|(_, peak)| **peak > limit).collect();
        assert!(
            exceeded.is_empty(),
            "seed {seed}: {exceeded:?} concurrent requests, limit {limit}"
        );
        granted += sim
            .outcomes
            .values()
            .filter(|outcome| matches!(outcome, Outcome::Granted { .. }))
            .count();
    }
    assert!(
        granted as u64 > seeds(80).end * 50,
        "only {granted} requests were granted, too few for the test to be conclusive"
    );
}

/// Each key is sent four times. A claim that is lost with one VM would let a second request run.
#[test]
fn a_key_runs_at_most_once_when_any_single_vm_loses_its_state() {
    let mut granted = 0;
    for seed in seeds(80) {
        let mut sim = new_simulation(seed);
        let mut requests_by_key: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for step in 0..8 {
            inject_fault(&mut sim, true);
            for number in 0..10 {
                let vms = sim.vm_count();
                let vm = sim.rng.random_range(0..vms);
                let key = format!("key-{}", (step * 10 + number) / 4);
                let request = sim.request_with(vm, "big", "POST", &key);
                requests_by_key.entry(key).or_default().push(request);
                let wait_ms = sim.rng.random_range(1..300);
                sim.run(wait_ms);
            }
        }
        for (key, requests) in &requests_by_key {
            let ran =
                |request: &&u64| matches!(sim.outcomes.get(request), Some(Outcome::Granted { .. }));
            let runs = requests.iter().filter(ran).count();
            assert!(runs <= 1, "seed {seed}: {key} ran {runs} times");
            granted += runs;
        }
    }
    assert!(
        granted as u64 > seeds(80).end * 5,
        "only {granted} keys ran, too few for the test to be conclusive"
    );
}

#[test]
fn an_older_version_is_never_adopted() {
    let mut sim = new_simulation(1);
    let newer = config(5, &ZONES, &[("big", 50.0, 5)], 2, COLD_LIMIT);
    let older = config(4, &ZONES, &[("big", 40.0, 4)], 2, COLD_LIMIT);
    sim.publish(newer);
    sim.run(1_000);
    sim.publish(older);
    // Checked every 5 ms, because a VM that adopted an older version would soon fetch the newer one
    // from a peer.
    for _ in 0..200 {
        sim.run(5);
        for vm in 0..sim.vm_count() {
            assert_eq!(sim.node(vm).config_version(), 5, "vm {vm} at {} ms", sim.now_ms);
        }
    }
    // A restarted VM that reads the older version from the platform fetches the newer one from a
    // peer.
    sim.start(0, false);
    sim.run(4_000);
    assert_eq!(sim.node(0).config_version(), 5, "a restarted VM adopted an older version");
}

#[test]
fn a_zone_cut_off_from_the_platform_gets_versions_from_peers_within_seconds() {
    let mut sim = new_simulation(3);
    sim.without_platform = (3..6).collect();
    sim.publish(config(2, &ZONES, &[("big", 50.0, 5)], 2, COLD_LIMIT));
    sim.run(7_000);
    for vm in 0..sim.vm_count() {
        assert_eq!(sim.node(vm).config_version(), 2, "vm {vm}");
    }
}

#[test]
fn a_cut_off_vm_stops_serving_only_if_configured() {
    for (cut_off, serves) in [("serve", true), ("stop", false)] {
        let files = BTreeMap::from([(
            "a.json".to_owned(),
            format!(
                r#"{{ "fleet": {{ "cut_off": "{cut_off}", "cut_off_stop_ms": 10000 }},
                     "zones": [{{ "id": "a" }}, {{ "id": "b" }}] }}"#
            ),
        )]);
        let config = gypsumchute_config::FleetConfig::from_files(1, &files).unwrap();
        let mut sim = Simulation::new(7, &ZONES, std::sync::Arc::new(config));
        sim.without_platform = (0..6).collect();
        sim.run(9_000);
        assert!(sim.node(0).is_ready());
        sim.run(15_000);
        assert_eq!(sim.node(0).is_ready(), serves, "{cut_off}");
    }
}
