//! Rate limit and backoff of store reads.

use gypsumchute_daemon::store_reader::{ReadRateLimiter, backoff_ms};
use gypsumchute_units::BootMs;

#[test]
fn reads_burst_after_a_quiet_period_and_are_rate_limited_afterwards() {
    let mut now = BootMs(10_000);
    let mut rate_limiter = ReadRateLimiter::new(now);
    let first: Vec<u64> = (0..4).map(|_| rate_limiter.next_delay_ms(now)).collect();
    assert_eq!(first, [0, 0, 0, 0]);
    let mut reads = 0;
    while now < BootMs(20_000) {
        let next_delay_ms = rate_limiter.next_delay_ms(now);
        assert!(next_delay_ms <= 400);
        now = now + next_delay_ms.max(20);
        reads += 1;
    }
    assert!((20..=30).contains(&reads), "{reads} reads in 10 s");
    assert_eq!(rate_limiter.next_delay_ms(now + 2_000), 0);
}

#[test]
fn many_vms_retry_an_unavailable_store_no_more_often_than_two() {
    let requests_per_s = |vms: usize| vms as f64 * 1_000.0 / backoff_ms(20, vms) as f64;
    assert!((requests_per_s(2) - 3.3).abs() < 0.1);
    for vms in [3, 5, 9] {
        assert!(
            requests_per_s(vms) <= requests_per_s(2) + 0.1,
            "{vms} VMs send {:.1} requests per second",
            requests_per_s(vms)
        );
    }
    // The backoff of a single VM in a large zone must stay limited.
    assert_eq!(backoff_ms(20, 26), 3_000);
    assert!(backoff_ms(0, 26) <= 60, "the first failure may be transient");
}
