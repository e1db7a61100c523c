//! Tests that all VMs together stay within the rate that an endpoint takes.

use crate::support::{NOW, endpoint_id};
use gypsumchute_routing::endpoint_limits::NamedLimit;
use gypsumchute_routing::endpoint_rate::{EndpointRate, EndpointRateLimiter, SendPermission};
use gypsumchute_units::{RequestRate, VmId};

/// Returns the maximum number of requests in any `window_ms` milliseconds from `count` VMs that send
/// whenever they are allowed to.
fn max_requests(count: usize, rate: EndpointRate, window_ms: u64) -> usize {
    let vms: Vec<VmId> = (0..count).map(|n| format!("vm-{n}").parse().expect("valid id")).collect();
    let mut limiters: Vec<_> = vms.iter().map(|_| EndpointRateLimiter::default()).collect();
    let endpoint = endpoint_id("e1");
    // Which VMs send does not change, and ranking them takes most of the time.
    let mut is_sender = vec![true; count];
    let mut sent = Vec::new();
    for ms in 0..4 * window_ms {
        for n in (0..count).filter(|n| is_sender[*n]).collect::<Vec<_>>() {
            match limiters[n].try_acquire(NOW + ms, &endpoint, rate, &vms[n], &vms) {
                SendPermission::Granted => sent.push(ms),
                SendPermission::Later { .. } => {}
                SendPermission::OtherVms => is_sender[n] = false,
            }
        }
    }
    let within =
        |start: u64| sent.iter().filter(|ms| (start..start + window_ms).contains(*ms)).count();
    (0..3 * window_ms).step_by(50).map(within).max().unwrap_or(0)
}

fn named(per_s: f64, age_ms: u64) -> EndpointRate {
    let rate = RequestRate::from_micro_per_s((per_s * 1e6) as u64);
    let limit = NamedLimit { rate: Some(rate), named_ms: NOW };
    EndpointRate::named(NOW + age_ms, limit).expect("limited")
}

#[test]
fn all_vms_together_stay_under_the_limit() {
    for count in [1, 7, 9, 90] {
        let max_sent = max_requests(count, EndpointRate::cold(20.0), 1_000);
        assert!(max_sent as f64 <= 20.0 * 1.5 + 5.0, "{count} VMs sent {max_sent} in a second");
        assert!(max_sent >= 15, "{count} VMs sent only {max_sent} in a second");
    }
}

/// Guards against VMs that each allow themselves a burst or the whole limit.
#[test]
fn all_vms_together_keep_a_named_limit_and_use_it() {
    for count in [1, 7, 9, 90] {
        for per_s in [0.3, 1.0, 1.8, 5.0, 40.0] {
            let max_sent = max_requests(count, named(per_s, 0), 4_000);
            let allowed = 1.5 * per_s * 4.0 + 5.0;
            assert!(max_sent as f64 <= allowed, "{count} VMs sent {max_sent} in 4 s at {per_s}/s");
            assert!(
                max_sent as f64 >= per_s * 4.0 - 1.0,
                "{count} VMs sent only {max_sent} in 4 s"
            );
        }
    }
}

#[test]
fn a_limit_that_no_answer_has_confirmed_for_long_is_tried_by_more_vms() {
    assert_eq!(max_requests(90, named(0.0, 0), 1_000), 1);
    assert_eq!(max_requests(90, named(0.0, 30_000), 1_000), 4);
}

#[test]
fn a_vm_is_told_how_long_to_wait() {
    let vms = ["vm-0".parse().expect("valid id")];
    let (mut limiter, endpoint) = (EndpointRateLimiter::default(), endpoint_id("e1"));
    let mut acquire =
        |ms: u64| limiter.try_acquire(NOW + ms, &endpoint, named(0.5, 0), &vms[0], &vms);
    assert_eq!(acquire(0), SendPermission::Granted);
    assert_eq!(acquire(500), SendPermission::Later { wait_ms: 1_500 });
    assert_eq!(acquire(2_000), SendPermission::Granted);
}
