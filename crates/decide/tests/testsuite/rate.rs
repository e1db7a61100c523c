//! Tests of the rate and burst of a customer over the whole fleet, compared with a single token
//! bucket.

use crate::naive::ReferenceBucket;
use crate::world::{Charge, Outcome, Simulation, config, seeds};
use gypsumchute_units::RefusalReason;
use rand::RngExt;
use std::collections::BTreeSet;

const ZONES: [&str; 6] = ["a", "a", "b", "b", "c", "c"];
/// Tolerance for floating-point errors of the reference bucket, in tokens. Differences between
/// clocks are accounted for in the rate of that bucket: clocks run up to 5 in 1,000 faster or
/// slower than virtual time, rounded to whole milliseconds.
const LEVEL_TOLERANCE: f64 = 1e-6;

/// Returns the lowest level of a reference bucket that is charged with all requests that the fleet
/// admitted. Clocks of the fleet run up to 5 in 1,000 faster than virtual time, so the bucket
/// refills at the higher rate.
fn lowest_level(charges: &[Charge], customer: &str, rate_per_s: f64, burst: f64) -> f64 {
    let mut bucket = ReferenceBucket::new(rate_per_s * 1.005, burst);
    let own = charges.iter().filter(|charge| charge.customer.as_str() == customer);
    own.map(|charge| bucket.charge(charge)).fold(burst, f64::min)
}

/// Asserts that the fleet admitted no more requests than rate and burst of the customer allow.
fn assert_within_limit(sim: &Simulation, seed: u64, customer: &str, rate_per_s: f64, burst: f64) {
    let lowest = lowest_level(&sim.charges, customer, rate_per_s, burst);
    assert!(
        lowest >= -LEVEL_TOLERANCE,
        "seed {seed}: {customer} was over its limit by {}",
        -lowest
    );
}

/// Sends requests at a rate of `per_s` for `for_ms` milliseconds, each to the VM that `pick`
/// returns. Returns the arrival time and number of each request.
fn offer(
    sim: &mut Simulation,
    customer: &str,
    per_s: f64,
    for_ms: u64,
    mut pick: impl FnMut(&mut Simulation) -> usize,
) -> Vec<(u64, u64)> {
    let mut offered = Vec::new();
    let until_ms = sim.now_ms + for_ms;
    let mut due = sim.now_ms as f64;
    while sim.now_ms < until_ms {
        while due <= sim.now_ms as f64 {
            let vm = pick(sim);
            offered.push((sim.now_ms, sim.request(vm, customer)));
            due += 1_000.0 / per_s;
        }
        sim.run(1);
    }
    sim.run(1_500);
    offered
}

/// Returns the number of admitted requests.
fn admitted_count(sim: &Simulation, offered: &[(u64, u64)]) -> usize {
    let granted =
        |(_, id): &&(u64, u64)| matches!(sim.outcomes.get(id), Some(Outcome::Granted { .. }));
    offered.iter().filter(granted).count()
}

/// Returns the number of requests that were refused because of the rate although the reference
/// bucket held a token when they arrived. The bucket is charged with all requests that the fleet
/// admitted, and refills at the rate of the slowest clock.
fn wrongful_refusals(
    sim: &Simulation,
    offered: &[(u64, u64)],
    customer: &str,
    rate: f64,
    burst: f64,
) -> usize {
    offered
        .iter()
        .filter(|(arrived_ms, request)| {
            let Some(Outcome::Refused { refusal, .. }) = sim.outcomes.get(request) else {
                return false;
            };
            let reasons = [RefusalReason::OverRate, RefusalReason::ShareUnavailable];
            let mut bucket = ReferenceBucket::new(rate * 0.995, burst);
            let own = sim.charges.iter().filter(|charge| charge.customer.as_str() == customer);
            for charge in own.take_while(|charge| charge.at_ms <= *arrived_ms) {
                bucket.charge(charge);
            }
            reasons.contains(&refusal.reason) && bucket.level(*arrived_ms) >= 1.0
        })
        .count()
}

fn ready_simulation(seed: u64, customers: &[(&str, f64, u64)]) -> Simulation {
    let mut sim = Simulation::new(seed, &ZONES, config(1, &ZONES, customers, 2, 4));
    sim.run(9_000);
    sim
}

#[test]
fn a_customer_at_one_vm_gets_its_whole_rate() {
    for burst in [1, 5, 50] {
        let mut sim = ready_simulation(1, &[("big", 40.0, burst)]);
        let offered = offer(&mut sim, "big", 36.0, 10_000, |_| 3);
        let admitted = admitted_count(&sim, &offered);
        assert_eq!(
            wrongful_refusals(&sim, &offered, "big", 40.0, burst as f64),
            0,
            "burst {burst}"
        );
        assert!(
            admitted >= offered.len() * 99 / 100,
            "burst {burst}: {admitted} of {}",
            offered.len()
        );
    }
}

/// Asserts that no request is wrongly refused if each one goes to a random VM, at three quarters of
/// the rate of the customer.
fn assert_no_wrongful_refusals_at_random_vms(burst: u64) {
    let mut sim = ready_simulation(2, &[("big", 40.0, burst)]);
    let offered = offer(&mut sim, "big", 30.0, 10_000, |sim| {
        let vms = sim.vm_count();
        sim.rng.random_range(0..vms)
    });
    let admitted = admitted_count(&sim, &offered);
    let refused_wrongly = wrongful_refusals(&sim, &offered, "big", 40.0, burst as f64);
    assert_within_limit(&sim, 2, "big", 40.0, burst as f64);
    assert_eq!(refused_wrongly, 0, "burst {burst}: {admitted} of {} admitted", offered.len());
}

#[test]
fn a_customer_that_jumps_from_vm_to_vm_gets_its_whole_rate() {
    assert_no_wrongful_refusals_at_random_vms(5);
    assert_no_wrongful_refusals_at_random_vms(50);
}

#[test]
fn a_customer_with_a_burst_of_one_that_jumps_gets_its_whole_rate() {
    assert_no_wrongful_refusals_at_random_vms(1);
}

#[test]
fn a_customer_at_five_times_its_rate_gets_its_rate_and_no_more() {
    let mut sim = ready_simulation(3, &[("big", 20.0, 10), ("small", 5.0, 5)]);
    let offered = offer(&mut sim, "big", 100.0, 10_000, |sim| {
        let vms = sim.vm_count();
        sim.rng.random_range(0..vms)
    });
    assert_within_limit(&sim, 3, "big", 20.0, 10.0);
    let admitted = admitted_count(&sim, &offered);
    assert!((195..=215).contains(&admitted), "{admitted} admitted of 210 allowed");
}

/// Runs a fleet under load from two customers, with random faults derived from the seed.
fn run_with_faults(seed: u64) -> Simulation {
    let mut sim = Simulation::new(
        seed,
        &ZONES,
        config(1, &ZONES, &[("big", 30.0, 3), ("small", 4.0, 1)], 1, 4),
    );
    sim.run(first_fault_ms(seed));
    for _ in 0..6 {
        let vms = sim.vm_count();
        let vm = sim.rng.random_range(0..vms);
        match sim.rng.random_range(0..10) {
            8 => sim.drain(vm),
            0 => {
                let zone = sim.zone_of(vm);
                let group: BTreeSet<usize> =
                    (0..vms).filter(|other| sim.zone_of(*other) == zone).collect();
                sim.partition(&group);
            }
            1 => {
                let group = (0..vms).filter(|_| sim.rng.random_bool(0.5)).collect();
                sim.partition(&group);
            }
            2 => sim.partition(&BTreeSet::new()),
            3 => {
                let for_ms = sim.rng.random_range(300..6_000);
                sim.freeze(vm, for_ms);
            }
            4 => sim.kill(vm),
            5 => sim.start(vm, false),
            6 => (0..vms).for_each(|vm| sim.start(vm, false)),
            7 => sim.loss_percent = sim.rng.random_range(0..30),
            _ => sim.delay_ms = sim.rng.random_range(1..300),
        }
        let busy_vm = sim.rng.random_range(0..vms);
        let for_ms = sim.rng.random_range(200..2_500);
        for _ in 0..for_ms / 10 {
            let vm = if sim.rng.random_bool(0.5) { busy_vm } else { sim.rng.random_range(0..vms) };
            sim.request(vm, "big");
            if sim.rng.random_bool(0.2) {
                sim.request(vm, "small");
            }
            sim.run(10);
        }
    }
    sim
}

/// Returns the time before the first fault. With every third seed, faults begin while the VMs are
/// still starting.
fn first_fault_ms(seed: u64) -> u64 {
    if seed.is_multiple_of(3) { 500 } else { 8_000 }
}

#[test]
fn no_schedule_of_faults_admits_more_than_rate_and_burst() {
    for seed in seeds(150) {
        let sim = run_with_faults(seed);
        assert_within_limit(&sim, seed, "big", 30.0, 3.0);
        assert_within_limit(&sim, seed, "small", 4.0, 1.0);
    }
}

#[test]
fn random_arrivals_within_the_rate_are_never_wrongly_refused() {
    let zones = ["a", "b", "c", "d", "a", "b", "c", "d", "a"];
    let (mut refused, mut total) = (0, 0);
    for seed in seeds(6) {
        let customers = [("big", 20.0, 30), ("small", 5.0, 15)];
        let mut sim = Simulation::new(seed, &zones, config(1, &zones, &customers, 2, 4));
        sim.run(9_000);
        let until_ms = sim.now_ms + 40_000;
        let (mut big, mut small) = (Vec::new(), Vec::new());
        while sim.now_ms < until_ms {
            for (name, per_ms, offered) in
                [("big", 0.0155, &mut big), ("small", 0.0038, &mut small)]
            {
                if sim.rng.random_bool(per_ms) {
                    let vm = sim.rng.random_range(0..zones.len());
                    offered.push((sim.now_ms, sim.request(vm, name)));
                }
            }
            sim.run(1);
        }
        sim.run(1_500);
        refused += wrongful_refusals(&sim, &big, "big", 20.0, 30.0);
        refused += wrongful_refusals(&sim, &small, "small", 5.0, 15.0);
        total += big.len() + small.len();
    }
    assert_eq!(refused, 0, "of {total}");
}
