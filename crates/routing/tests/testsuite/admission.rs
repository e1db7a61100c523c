//! Tests the order of the admission queue and the retry times of rejected callers.

use gypsumchute_routing::Priority;
use gypsumchute_routing::admission::{AdmissionQueue, retry_after_ms};

#[test]
fn urgent_requests_go_first_and_small_requests_pass_large_ones() {
    let mut queue = AdmissionQueue::default();
    let large = queue.enqueue(Priority(1), 4_000);
    let second_large = queue.enqueue(Priority(1), 4_000);
    let small = queue.enqueue(Priority(1), 500);
    let urgent = queue.enqueue(Priority(0), 4_000);
    assert!(queue.may_attempt_placement(urgent));
    assert!(
        queue.may_attempt_placement(small),
        "a small request does not wait for the memory of a large request"
    );
    assert!(!queue.may_attempt_placement(large));
    queue.remove(urgent);
    assert!(queue.may_attempt_placement(large));
    assert!(!queue.may_attempt_placement(second_large));
    queue.remove(large);
    queue.remove(second_large);
    queue.remove(small);
    assert!(queue.is_empty());
}

#[test]
fn retry_times_are_spread_and_within_the_remaining_time() {
    let times: Vec<u64> =
        (0..50).map(|random_value| retry_after_ms(6_000, 1_500, random_value * 97)).collect();
    assert!(times.iter().all(|ms| (750..=1_500).contains(ms)), "{times:?}");
    let distinct: std::collections::BTreeSet<_> = times.iter().collect();
    assert!(distinct.len() > 40, "retry times must be spread");
    assert!(
        retry_after_ms(1_000, 5_000, 3) <= 300,
        "the retry time is at most a third of the remaining time"
    );
}
