//! Who waits and when those who are refused return.

use gypsumchute_routing::Priority;
use gypsumchute_routing::admission::{WaitingRoom, return_after_ms};

#[test]
fn the_urgent_go_first_and_small_ones_pass_those_that_need_much() {
    let mut room = WaitingRoom::default();
    let long = room.enter(Priority(1), 4_000);
    let later = room.enter(Priority(1), 4_000);
    let short = room.enter(Priority(1), 500);
    let urgent = room.enter(Priority(0), 4_000);
    assert!(room.may_try(urgent));
    assert!(room.may_try(short), "a short one need not wait for the memory of a long one");
    assert!(!room.may_try(long));
    room.leave(urgent);
    assert!(room.may_try(long));
    assert!(!room.may_try(later));
    room.leave(long);
    room.leave(later);
    room.leave(short);
    assert!(room.is_empty());
}

#[test]
fn refused_callers_return_spread_and_within_the_time_they_have() {
    let times: Vec<u64> = (0..50).map(|draw| return_after_ms(6_000, 1_500, draw * 97)).collect();
    assert!(times.iter().all(|ms| (750..=1_500).contains(ms)), "{times:?}");
    let distinct: std::collections::BTreeSet<_> = times.iter().collect();
    assert!(distinct.len() > 40, "callers must not return together");
    assert!(return_after_ms(1_000, 5_000, 3) <= 300, "no caller waits over a third of its time");
}
