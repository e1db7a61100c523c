//! Tests that the retry budget holds for the whole fleet without coordination between VMs.

use crate::support::NOW;
use gypsumchute_routing::budget::{KnownFleet, RetryAllowance, RetryBudget};
use gypsumchute_units::BootMs;

const ALLOWANCE: RetryAllowance =
    RetryAllowance { retries_per_request: 0.2, fixed_retries: 54.0, window_ms: 10_000 };

/// Returns a fleet of `vms` VMs that have known each other for long.
fn known_fleet(vms: usize) -> KnownFleet {
    KnownFleet { vms, since_ms: Some(BootMs(0)) }
}

#[test]
fn all_vms_together_stay_within_the_budget_in_every_window() {
    const VMS: usize = 7;
    let service = "books".parse().expect("valid id");
    let mut budgets: Vec<RetryBudget> = (0..VMS).map(|_| RetryBudget::default()).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for step in 0..4_000u64 {
        let now = NOW + step * 10;
        let budget = &mut budgets[step as usize % VMS];
        budget.count_request(now, &service);
        requests.push(now);
        for _ in 0..3 {
            if budget.try_take_retry(now, &service, ALLOWANCE, known_fleet(VMS)) {
                retries.push(now);
            }
        }
    }
    let within = |times: &[BootMs], end: BootMs| {
        times.iter().filter(|time| **time <= end && end.since(**time) < 10_000).count() as f64
    };
    for end in (0..40).map(|second| NOW + second * 1_000) {
        let allowed = 0.2 * within(&requests, end) + 54.0;
        assert!(
            within(&retries, end) <= allowed,
            "too many retries in the window that ends at {end}"
        );
    }
    assert!(retries.len() > 300, "most of the budget must be usable: {} retries", retries.len());
}

#[test]
fn services_do_not_share_a_budget() {
    let (books, engines) =
        ("books".parse().expect("valid id"), "engines".parse().expect("valid id"));
    let mut budget = RetryBudget::default();
    let allowance = RetryAllowance { fixed_retries: 2.0, ..ALLOWANCE };
    assert!(budget.try_take_retry(NOW, &books, allowance, known_fleet(1)));
    assert!(!budget.try_take_retry(NOW, &books, allowance, known_fleet(1)));
    assert!(budget.try_take_retry(NOW, &engines, allowance, known_fleet(1)));
}

/// Guards against retries that are forgotten because their requests arrived before the window.
#[test]
fn retries_in_the_window_count_although_no_request_arrived_in_it() {
    let service = "engines".parse().expect("valid id");
    let mut budget = RetryBudget::default();
    let allowance = RetryAllowance { fixed_retries: 2.0, ..ALLOWANCE };
    budget.count_request(NOW, &service);
    let retried_ms = NOW + 9_900;
    assert!(budget.try_take_retry(retried_ms, &service, allowance, known_fleet(1)));
    budget.expire(NOW + 10_200, allowance.window_ms);
    assert!(!budget.try_take_retry(NOW + 10_300, &service, allowance, known_fleet(1)));
    let after_window_ms = retried_ms + allowance.window_ms + 1;
    assert!(budget.try_take_retry(after_window_ms, &service, allowance, known_fleet(1)));
}
