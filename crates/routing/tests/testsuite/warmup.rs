//! Tests that all VMs together stay within the rate limit of a cold endpoint.

use crate::support::{NOW, endpoint_id};
use gypsumchute_routing::warmup::ColdStartLimiter;
use gypsumchute_units::VmId;

/// Returns the maximum number of requests in any second from `count` VMs that send whenever they
/// are allowed to.
fn max_requests_per_s(count: usize, cold_per_s: f64) -> usize {
    let vms: Vec<VmId> = (0..count).map(|n| format!("vm-{n}").parse().expect("valid id")).collect();
    let mut warmups: Vec<ColdStartLimiter> =
        vms.iter().map(|_| ColdStartLimiter::default()).collect();
    let endpoint = endpoint_id("e1");
    let mut sent = Vec::new();
    for ms in 0..4_000u64 {
        for (vm, warmup) in vms.iter().zip(&mut warmups) {
            if warmup.try_acquire(NOW + ms, &endpoint, cold_per_s, vm, &vms) {
                sent.push(ms);
            }
        }
    }
    let within = |start: u64| sent.iter().filter(|ms| (start..start + 1_000).contains(*ms)).count();
    (0..3_000).step_by(50).map(within).max().unwrap_or(0)
}

#[test]
fn all_vms_together_stay_under_the_limit() {
    for count in [1, 7, 9, 90] {
        let max_sent = max_requests_per_s(count, 20.0);
        assert!(max_sent as f64 <= 20.0 * 1.5 + 5.0, "{count} VMs sent {max_sent} in a second");
        assert!(max_sent >= 15, "{count} VMs sent only {max_sent} in a second");
    }
}
