//! How often a daemon reads the store.

use gypsumchute_daemon::store_reader::{ReadRateLimiter, backoff_ms};
use gypsumchute_units::BootMs;

#[test]
fn a_change_after_a_quiet_time_is_read_at_once_and_a_stream_of_changes_in_few_calls() {
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
fn a_store_that_is_away_is_asked_no_more_often_by_many_vms_than_by_two() {
    let per_s = |vms: usize| vms as f64 * 1_000.0 / backoff_ms(20, vms) as f64;
    assert!((per_s(2) - 3.3).abs() < 0.1);
    for vms in [3, 5, 9] {
        assert!(per_s(vms) <= per_s(2) + 0.1, "{vms} VMs ask {:.1} times a second", per_s(vms));
    }
    // One VM of a large zone must not wait too long by itself.
    assert_eq!(backoff_ms(20, 26), 3_000);
    assert!(backoff_ms(0, 26) <= 60, "the first failure may be an accident");
}
