//! That all VMs together stay within the retry budget while they discover each other, in virtual
//! time.

use crate::simulated_fleet::{START, STEP_MS, SimulatedFleet};
use gypsumchute_routing::budget::{KnownFleet, RetryAllowance, RetryBudget};
use gypsumchute_units::BootMs;
use std::collections::BTreeMap;

const ALLOWANCE: RetryAllowance =
    RetryAllowance { retries_per_request: 0.2, fixed_retries: 212.0, window_ms: 10_000 };
/// Time between two requests to each VM, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 300;

/// Returns how many of `times` lie in the window that ends at `end`.
fn in_window(times: &[BootMs], end: BootMs) -> usize {
    let is_in = |time: &&BootMs| **time <= end && end.since(**time) < ALLOWANCE.window_ms;
    times.iter().filter(is_in).count()
}

/// Guards against VMs that take a larger part of the budget than is theirs, because they have not
/// heard of the others yet.
#[test]
fn a_fleet_that_starts_while_all_requests_fail_stays_within_the_budget() {
    for (vms, zones) in [(7, 4), (18, 3), (86, 5), (90, 4)] {
        let service = "books".parse().expect("valid id");
        let mut fleet = SimulatedFleet::new(vms, zones, 0.03);
        let mut budgets: BTreeMap<_, _> =
            fleet.vms.keys().map(|address| (*address, RetryBudget::default())).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        while fleet.now.since(START) < 25_000 {
            fleet.run(STEP_MS);
            let now = fleet.now;
            for (address, budget) in &mut budgets {
                if now.since(START).is_multiple_of(REQUEST_INTERVAL_MS) {
                    budget.count_request(now, &service);
                    requests.push(now);
                }
                let members = &fleet.vms[address].members;
                let known = KnownFleet {
                    vms: members.known_vms().len(),
                    since_ms: members.discovered_ms(),
                };
                while budget.try_take_retry(now, &service, ALLOWANCE, known) {
                    retries.push(now);
                }
            }
            let allowed = 0.2 * in_window(&requests, now) as f64 + ALLOWANCE.fixed_retries;
            let taken = in_window(&retries, now);
            assert!(
                taken as f64 <= allowed,
                "{vms} VMs: {taken} retries, {allowed} allowed, {} ms after the start",
                now.since(START)
            );
        }
        // Most of the budget is usable once the VMs know each other.
        let allowed = 0.2 * in_window(&requests, fleet.now) as f64 + ALLOWANCE.fixed_retries;
        let taken = in_window(&retries, fleet.now) as f64;
        assert!(taken > 0.6 * allowed, "{vms} VMs: {taken} retries of {allowed}");
    }
}
