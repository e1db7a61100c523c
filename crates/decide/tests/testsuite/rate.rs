//! Rate and burst over the whole fleet, against one naive bucket.

use crate::naive::NaiveBucket;
use crate::world::{Charge, Fate, World, config, seeds};
use gypsumchute_units::RefusalReason;
use rand::RngExt;
use std::collections::BTreeSet;

const ZONES: [&str; 6] = ["a", "a", "b", "b", "c", "c"];
/// Clocks differ by up to 5 in 1,000, and times are whole milliseconds.
const ROUNDING: f64 = 1e-6;

/// The lowest level of a naive bucket that is charged with what the fleet admitted. The fleet's
/// clocks may run faster than real time by 5 in 1,000, so that is what the bucket mints.
fn lowest_level(charges: &[Charge], customer: &str, rate_per_s: f64, burst: f64) -> f64 {
    let mut bucket = NaiveBucket::new(rate_per_s * 1.005, burst);
    let own = charges.iter().filter(|charge| charge.customer.as_str() == customer);
    own.map(|charge| bucket.charge(charge)).fold(burst, f64::min)
}

fn assert_bounded(world: &World, seed: u64, customer: &str, rate_per_s: f64, burst: f64) {
    let lowest = lowest_level(&world.charges, customer, rate_per_s, burst);
    assert!(lowest >= -ROUNDING, "seed {seed}: {customer} was over its limit by {}", -lowest);
}

/// Offers requests at `per_s` for a while; `pick` chooses the VM of each.
fn offer(
    world: &mut World,
    customer: &str,
    per_s: f64,
    for_ms: u64,
    mut pick: impl FnMut(&mut World) -> usize,
) -> Vec<(u64, u64)> {
    let mut offered = Vec::new();
    let until_ms = world.now_ms + for_ms;
    let mut due = world.now_ms as f64;
    while world.now_ms < until_ms {
        while due <= world.now_ms as f64 {
            let vm = pick(world);
            offered.push((world.now_ms, world.request(vm, customer)));
            due += 1_000.0 / per_s;
        }
        world.run(1);
    }
    world.run(1_500);
    offered
}

fn admitted(world: &World, offered: &[(u64, u64)]) -> usize {
    let granted =
        |(_, request): &&(u64, u64)| matches!(world.fates.get(request), Some(Fate::Granted { .. }));
    offered.iter().filter(granted).count()
}

/// Requests that were refused for the rate although a single bucket, charged with what the fleet
/// admitted, held a token when they came.
fn wrongful(world: &World, offered: &[(u64, u64)], customer: &str, rate: f64, burst: f64) -> usize {
    offered
        .iter()
        .filter(|(came_ms, request)| {
            let Some(Fate::Refused { refusal, .. }) = world.fates.get(request) else {
                return false;
            };
            let reasons = [RefusalReason::OverRate, RefusalReason::ShareUnavailable];
            let mut bucket = NaiveBucket::new(rate * 0.995, burst);
            let own = world.charges.iter().filter(|charge| charge.customer.as_str() == customer);
            for charge in own.take_while(|charge| charge.at_ms <= *came_ms) {
                bucket.charge(charge);
            }
            reasons.contains(&refusal.reason) && bucket.level(*came_ms) >= 1.0
        })
        .count()
}

fn ready_world(seed: u64, customers: &[(&str, f64, u64)]) -> World {
    let mut world = World::new(seed, &ZONES, config(1, &ZONES, customers, 2, 4));
    world.run(9_000);
    world
}

#[test]
fn a_customer_at_one_vm_gets_its_whole_rate() {
    for burst in [1, 5, 50] {
        let mut world = ready_world(1, &[("big", 40.0, burst)]);
        let offered = offer(&mut world, "big", 36.0, 10_000, |_| 3);
        let got = admitted(&world, &offered);
        assert_eq!(wrongful(&world, &offered, "big", 40.0, burst as f64), 0, "burst {burst}");
        assert!(got >= offered.len() * 99 / 100, "burst {burst}: {got} of {}", offered.len());
    }
}

/// Requests that jump between VMs at three quarters of the rate are never refused wrongly.
fn assert_jumps_are_served(burst: u64) {
    let mut world = ready_world(2, &[("big", 40.0, burst)]);
    let offered = offer(&mut world, "big", 30.0, 10_000, |world| {
        let vms = world.vms();
        world.rng.random_range(0..vms)
    });
    let got = admitted(&world, &offered);
    let wrong = wrongful(&world, &offered, "big", 40.0, burst as f64);
    assert_bounded(&world, 2, "big", 40.0, burst as f64);
    assert_eq!(wrong, 0, "burst {burst}: {got} of {} admitted", offered.len());
}

#[test]
fn a_customer_that_jumps_from_vm_to_vm_gets_its_whole_rate() {
    assert_jumps_are_served(5);
    assert_jumps_are_served(50);
}

#[test]
fn a_customer_with_a_burst_of_one_that_jumps_gets_its_whole_rate() {
    assert_jumps_are_served(1);
}

#[test]
fn a_customer_at_five_times_its_rate_gets_its_rate_and_no_more() {
    let mut world = ready_world(3, &[("big", 20.0, 10), ("small", 5.0, 5)]);
    let offered = offer(&mut world, "big", 100.0, 10_000, |world| {
        let vms = world.vms();
        world.rng.random_range(0..vms)
    });
    assert_bounded(&world, 3, "big", 20.0, 10.0);
    let got = admitted(&world, &offered);
    assert!((195..=215).contains(&got), "{got} admitted of 210 allowed");
}

/// One schedule of faults, drawn from the seed, under load from two customers.
fn faulty_run(seed: u64) -> World {
    let mut world =
        World::new(seed, &ZONES, config(1, &ZONES, &[("big", 30.0, 3), ("small", 4.0, 1)], 1, 4));
    world.run(world_start_ms(seed));
    for _ in 0..6 {
        let vms = world.vms();
        let vm = world.rng.random_range(0..vms);
        match world.rng.random_range(0..10) {
            8 => world.drain(vm),
            0 => {
                let zone = world.zone_of(vm);
                let group: BTreeSet<usize> =
                    (0..vms).filter(|other| world.zone_of(*other) == zone).collect();
                world.split(&group);
            }
            1 => {
                let group = (0..vms).filter(|_| world.rng.random_bool(0.5)).collect();
                world.split(&group);
            }
            2 => world.split(&BTreeSet::new()),
            3 => {
                let for_ms = world.rng.random_range(300..6_000);
                world.freeze(vm, for_ms);
            }
            4 => world.kill(vm),
            5 => world.start(vm, false),
            6 => (0..vms).for_each(|vm| world.start(vm, false)),
            7 => world.loss_percent = world.rng.random_range(0..30),
            _ => world.delay_ms = world.rng.random_range(1..300),
        }
        let hot = world.rng.random_range(0..vms);
        let for_ms = world.rng.random_range(200..2_500);
        for _ in 0..for_ms / 10 {
            let vm = if world.rng.random_bool(0.5) { hot } else { world.rng.random_range(0..vms) };
            world.request(vm, "big");
            if world.rng.random_bool(0.2) {
                world.request(vm, "small");
            }
            world.run(10);
        }
    }
    world
}

fn world_start_ms(seed: u64) -> u64 {
    if seed.is_multiple_of(3) { 500 } else { 8_000 }
}

#[test]
fn no_schedule_of_faults_admits_more_than_rate_and_burst() {
    for seed in seeds(150) {
        let world = faulty_run(seed);
        assert_bounded(&world, seed, "big", 30.0, 3.0);
        assert_bounded(&world, seed, "small", 4.0, 1.0);
    }
}

#[test]
fn random_arrivals_inside_the_rate_are_hardly_ever_refused() {
    let zones = ["a", "b", "c", "d", "a", "b", "c", "d", "a"];
    let (mut refused, mut offered_in_all) = (0, 0);
    for seed in seeds(6) {
        let customers = [("big", 20.0, 30), ("small", 5.0, 15)];
        let mut world = World::new(seed, &zones, config(1, &zones, &customers, 2, 4));
        world.run(9_000);
        let until_ms = world.now_ms + 40_000;
        let (mut big, mut small) = (Vec::new(), Vec::new());
        while world.now_ms < until_ms {
            for (name, per_ms, offered) in
                [("big", 0.0155, &mut big), ("small", 0.0038, &mut small)]
            {
                if world.rng.random_bool(per_ms) {
                    let vm = world.rng.random_range(0..zones.len());
                    offered.push((world.now_ms, world.request(vm, name)));
                }
            }
            world.run(1);
        }
        world.run(1_500);
        refused += wrongful(&world, &big, "big", 20.0, 30.0);
        refused += wrongful(&world, &small, "small", 5.0, 15.0);
        offered_in_all += big.len() + small.len();
    }
    assert_eq!(refused, 0, "of {offered_in_all}");
}
