//! One owner at a time: cold endpoints stay within their limits, idempotency keys run once, and
//! versions never go back, under schedules of faults.

use crate::world::{Fate, World, config, id, seeds};
use gypsumchute_units::EndpointId;
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};

const ZONES: [&str; 6] = ["a", "a", "a", "b", "b", "b"];
const COLD_LIMIT: u32 = 2;

fn world(seed: u64) -> World {
    let config = config(1, &ZONES, &[("big", 10_000.0, 10_000)], 2, COLD_LIMIT);
    let mut world = World::new(seed, &ZONES, config);
    world.cold = ["a-0", "a-1", "b-0", "b-1"].iter().map(|name| id(name)).collect();
    world.run_ms = 400;
    world.run(9_000);
    world
}

/// A random fault; `single_losses` leaves out those that lose two VMs' memories together.
fn disturb(world: &mut World, single_losses: bool) {
    let vms = world.vms();
    let vm = world.rng.random_range(0..vms);
    match world.rng.random_range(0..9) {
        7 => world.drain(vm),
        0 => {
            let group = (0..vms).filter(|_| world.rng.random_bool(0.5)).collect();
            world.split(&group);
        }
        1 => world.split(&BTreeSet::new()),
        2 => {
            let for_ms = world.rng.random_range(300..6_000);
            world.freeze(vm, for_ms);
        }
        3 if !single_losses => world.kill(vm),
        4 => {
            world.start(vm, false);
            if single_losses {
                world.split(&BTreeSet::new());
                world.loss_percent = 0;
                world.run(8_000);
            }
        }
        5 => world.loss_percent = world.rng.random_range(0..25),
        6 => world.delay_ms = world.rng.random_range(1..200),
        _ => {}
    }
}

#[test]
fn two_views_of_a_zone_never_act_at_once() {
    let (mut acted, mut looked) = (0, 0);
    for seed in seeds(40) {
        let mut world = world(seed);
        for _ in 0..10 {
            disturb(&mut world, false);
            for _ in 0..250 {
                world.run(10);
                for zone in ["a", "b"] {
                    let views = world.acting_views(&id(zone));
                    assert!(views.len() <= 1, "seed {seed}, {} ms: {views:?}", world.now_ms);
                    acted += views.len();
                    looked += 1;
                }
            }
        }
    }
    assert!(acted * 4 > looked, "zones acted only {acted} times of {looked}");
}

#[test]
fn cold_endpoints_stay_within_their_limits() {
    let mut granted = 0;
    for seed in seeds(80) {
        let mut world = world(seed);
        for _ in 0..8 {
            disturb(&mut world, false);
            for _ in 0..60 {
                let vms = world.vms();
                let vm = world.rng.random_range(0..vms);
                world.request(vm, "big");
                world.run(25);
            }
        }
        let limit = COLD_LIMIT as usize;
        let over: BTreeMap<&EndpointId, &usize> =
            world.peaks.iter().filter(|(_, peak)| **peak > limit).collect();
        assert!(over.is_empty(), "seed {seed}: {over:?} at once, of {limit} allowed");
        granted += world.fates.values().filter(|f| matches!(f, Fate::Granted { .. })).count();
    }
    assert!(
        granted as u64 > seeds(80).end * 50,
        "only {granted} requests were granted: the test shows little"
    );
}

#[test]
fn a_key_runs_once_whatever_single_vm_is_lost() {
    let mut granted = 0;
    for seed in seeds(80) {
        let mut world = world(seed);
        let mut sent: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for step in 0..8 {
            disturb(&mut world, true);
            for number in 0..10 {
                let vms = world.vms();
                let vm = world.rng.random_range(0..vms);
                let key = format!("key-{}", (step * 10 + number) / 4);
                let request = world.request_with(vm, "big", "POST", &key);
                sent.entry(key).or_default().push(request);
                let wait_ms = world.rng.random_range(1..300);
                world.run(wait_ms);
            }
        }
        for (key, requests) in &sent {
            let ran =
                |request: &&u64| matches!(world.fates.get(request), Some(Fate::Granted { .. }));
            let runs = requests.iter().filter(ran).count();
            assert!(runs <= 1, "seed {seed}: {key} ran {runs} times");
            granted += runs;
        }
    }
    assert!(granted as u64 > seeds(80).end * 5, "only {granted} keys ran: the test shows little");
}

#[test]
fn an_older_version_is_never_adopted() {
    let mut world = world(1);
    let newer = config(5, &ZONES, &[("big", 50.0, 5)], 2, COLD_LIMIT);
    let older = config(4, &ZONES, &[("big", 40.0, 4)], 2, COLD_LIMIT);
    world.publish(newer);
    world.run(1_000);
    world.publish(older);
    // At every moment: peers would soon heal a VM that went back.
    for _ in 0..200 {
        world.run(5);
        for vm in 0..world.vms() {
            assert_eq!(world.node(vm).config_version(), 5, "vm {vm} at {} ms", world.now_ms);
        }
    }
    // One that starts anew and reads only the older one is told better by the others.
    world.start(0, false);
    world.run(4_000);
    assert_eq!(world.node(0).config_version(), 5, "a restarted VM went back");
}

#[test]
fn a_zone_cut_off_from_the_platform_learns_from_its_peers_within_seconds() {
    let mut world = world(3);
    world.off_platform = (3..6).collect();
    world.publish(config(2, &ZONES, &[("big", 50.0, 5)], 2, COLD_LIMIT));
    world.run(7_000);
    for vm in 0..world.vms() {
        assert_eq!(world.node(vm).config_version(), 2, "vm {vm}");
    }
}

#[test]
fn a_cut_off_vm_stops_only_where_operators_want_it() {
    for (cut_off, serves) in [("serve", true), ("stop", false)] {
        let files = BTreeMap::from([(
            "a.json".to_owned(),
            format!(
                r#"{{ "fleet": {{ "cut_off": "{cut_off}", "cut_off_stop_ms": 10000 }},
                     "zones": [{{ "id": "a" }}, {{ "id": "b" }}] }}"#
            ),
        )]);
        let config = gypsumchute_config::FleetConfig::from_files(1, &files).unwrap();
        let mut world = World::new(7, &ZONES, std::sync::Arc::new(config));
        world.off_platform = (0..6).collect();
        world.run(9_000);
        assert!(world.node(0).is_ready());
        world.run(15_000);
        assert_eq!(world.node(0).is_ready(), serves, "{cut_off}");
    }
}
