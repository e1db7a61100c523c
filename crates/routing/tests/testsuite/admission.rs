//! Tests the order of the admission queue and the retry times of rejected callers.

use gypsumchute_routing::Priority;
use gypsumchute_routing::admission::{WaitingRoom, return_after_ms};

#[test]
fn urgent_requests_go_first_and_small_requests_pass_large_ones() {
    let mut queue = WaitingRoom::default();
    let large = queue.enter(Priority(1), 4_000);
    let second_large = queue.enter(Priority(1), 4_000);
    let small = queue.enter(Priority(1), 500);
    let urgent = queue.enter(Priority(0), 4_000);
    assert!(queue.may_try(urgent));
    assert!(
        queue.may_try(small),
        "a small request does not wait for the memory of a large request"
    );
    assert!(!queue.may_try(large));
    queue.leave(urgent);
    assert!(queue.may_try(large));
    assert!(!queue.may_try(second_large));
    queue.leave(large);
    queue.leave(second_large);
    queue.leave(small);
    assert!(queue.is_empty());
}

#[test]
fn retry_times_are_spread_and_within_the_remaining_time() {
    let times: Vec<u64> = (0..50).map(|draw| return_after_ms(6_000, 1_500, draw * 97)).collect();
    assert!(times.iter().all(|ms| (750..=1_500).contains(ms)), "{times:?}");
    let distinct: std::collections::BTreeSet<_> = times.iter().collect();
    assert!(distinct.len() > 40, "retry times must be spread");
    assert!(
        return_after_ms(1_000, 5_000, 3) <= 300,
        "the retry time is at most a third of the remaining time"
    );
}
