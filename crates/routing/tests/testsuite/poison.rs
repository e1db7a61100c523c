//! Tests that poison requests are counted and refused, on one VM and between two.

use crate::support::{NOW, endpoint_id};
use gypsumchute_routing::poison::{CompletedRequest, MAX_RECORDS, PoisonRequest, PoisonTracker};
use gypsumchute_units::{BootMs, Fingerprint};

const POISON: Fingerprint = Fingerprint(7);
const KEEP_MS: u64 = 60_000;

/// Returns a tracker that refuses the poison request after two crashes at `NOW`.
fn refusing_tracker() -> PoisonTracker {
    let mut tracker = PoisonTracker::new(2);
    let crashes = [(1, endpoint_id("engine-1")), (2, endpoint_id("engine-2"))];
    tracker.record_crashes(NOW, POISON, crashes, KEEP_MS);
    tracker
}

#[test]
fn a_crash_that_is_reported_twice_counts_once() {
    let mut tracker = PoisonTracker::new(2);
    for _ in 0..2 {
        tracker.record_crashes(NOW, POISON, [(1, endpoint_id("engine-1"))], KEEP_MS);
    }
    assert_eq!(tracker.crash_count(NOW, POISON), 1);
    assert_eq!(tracker.refused_for_ms(NOW, POISON), None);
    tracker.record_crashes(NOW, POISON, [(2, endpoint_id("engine-1"))], KEEP_MS);
    assert_eq!(tracker.refused_for_ms(NOW, POISON), Some(KEEP_MS));
}

/// Guards against VMs that extend a refusal for each other by the time that their messages take.
#[test]
fn a_refusal_that_two_vms_repeat_to_each_other_ends() {
    const HEARTBEAT_MS: u64 = 300;
    const MESSAGE_MS: u64 = 50;
    let (mut sender, mut receiver) = (refusing_tracker(), PoisonTracker::new(2));
    let mut now = NOW;
    while let Some(refused_for_ms) = sender.refused_for_ms(now, POISON) {
        assert!(now.since(NOW) <= KEEP_MS + 2 * MESSAGE_MS, "still refused at {now}");
        let poison = PoisonRequest { fingerprint: POISON, refused_for_ms };
        receiver.refuse(now + MESSAGE_MS, poison);
        std::mem::swap(&mut sender, &mut receiver);
        now = now + HEARTBEAT_MS;
    }
}

#[test]
fn crashes_from_before_the_expiry_of_a_record_do_not_count_after_it() {
    let mut tracker = refusing_tracker();
    let later = NOW + KEEP_MS;
    assert_eq!(tracker.refused_for_ms(later, POISON), None);
    tracker.record_crashes(later, POISON, [(3, endpoint_id("engine-3"))], KEEP_MS);
    assert_eq!(tracker.crash_count(later, POISON), 1);
}

/// Guards against a popular request that is refused after one crash, which several VMs observed.
#[test]
fn vms_derive_the_same_number_for_the_same_crash() {
    let (endpoint, other) = (endpoint_id("engine-1"), endpoint_id("engine-2"));
    let trackers = [PoisonTracker::new(3), PoisonTracker::new(3)];
    let [first, second] =
        trackers.each_ref().map(|t| t.crash_number(NOW, POISON, &endpoint, Some(5)));
    assert_eq!(first, second);
    assert_ne!(first, trackers[0].crash_number(NOW, POISON, &other, Some(5)));
    assert_ne!(first, trackers[0].crash_number(NOW, POISON, &endpoint, Some(6)), "a new start");
}

#[test]
fn an_endpoint_that_crashes_again_after_a_while_counts_again() {
    let endpoint = endpoint_id("engine-1");
    let mut tracker = PoisonTracker::new(3);
    for (after_ms, count) in [(0, 1), (1_000, 1), (10_000, 2), (20_000, 3)] {
        let now = NOW + after_ms;
        // The registry may still show the start before the last crash.
        let number = tracker.crash_number(now, POISON, &endpoint, Some(5));
        tracker.record_crashes(now, POISON, [(number, endpoint.clone())], KEEP_MS);
        assert_eq!(tracker.crash_count(now, POISON), count, "after {after_ms} ms");
    }
}

/// Records a crash of `endpoint` with this number.
fn crash(tracker: &mut PoisonTracker, now: BootMs, number: u64) {
    tracker.record_crashes(now, POISON, [(number, endpoint_id("engine-1"))], KEEP_MS);
}

#[test]
fn only_crashes_after_the_last_completion_count() {
    let mut tracker = refusing_tracker();
    tracker.on_completed(NOW, POISON);
    assert_eq!(tracker.refused_for_ms(NOW, POISON), None);
    // Reports of the crashes before the completion may still arrive.
    crash(&mut tracker, NOW, 1);
    assert_eq!(tracker.crash_count(NOW, POISON), 0);
    for number in 3..5 {
        crash(&mut tracker, NOW + 30_000, number);
    }
    assert_eq!(tracker.refused_for_ms(NOW + 59_000, POISON), None);
    assert!(tracker.refused_for_ms(NOW + 61_000, POISON).is_some(), "not completed for 60 s");
}

#[test]
fn a_completion_through_one_vm_ends_the_refusal_of_another() {
    let (mut serving, mut idle) = (refusing_tracker(), refusing_tracker());
    serving.on_completed(NOW, POISON);
    let reported: Vec<_> = serving.completed_requests(NOW).map(|(item, _)| item).collect();
    let expected = CompletedRequest { fingerprint: POISON, valid_for_ms: 60_000 };
    assert_eq!(reported, [expected]);
    assert!(idle.on_completed_by_peer(NOW, expected));
    assert!(!idle.on_completed_by_peer(NOW, expected), "known by now");
    assert_eq!(idle.refused_for_ms(NOW, POISON), None);
    let refused = PoisonRequest { fingerprint: POISON, refused_for_ms: KEEP_MS };
    assert!(!idle.refuse(NOW, refused), "a peer that has not heard of the completion");
    // A VM that knows no crash has nothing to remember.
    assert!(!PoisonTracker::new(2).on_completed_by_peer(NOW, expected));
}

/// Guards against VMs that extend a completion for each other by the time that their messages take.
#[test]
fn a_completion_that_two_vms_repeat_to_each_other_ends() {
    const HEARTBEAT_MS: u64 = 300;
    const MESSAGE_MS: u64 = 50;
    let (mut sender, mut receiver) = (refusing_tracker(), refusing_tracker());
    sender.on_completed(NOW, POISON);
    let mut now = NOW;
    loop {
        let completed = sender.completed_requests(now).map(|(item, _)| item).next();
        let Some(completed) = completed else { break };
        assert!(now.since(NOW) <= 60_000 + 2 * MESSAGE_MS, "still in force at {now}");
        receiver.on_completed_by_peer(now + MESSAGE_MS, completed);
        std::mem::swap(&mut sender, &mut receiver);
        now = now + HEARTBEAT_MS;
    }
}

/// Guards against crashes of many requests that use up the memory of a VM.
#[test]
fn the_number_of_records_is_limited_and_refusals_are_kept_longest() {
    let mut tracker = refusing_tracker();
    for n in 0..10_000 {
        let crash = [(n, endpoint_id("engine-1"))];
        tracker.record_crashes(NOW + 1 + n, Fingerprint(1_000 + n), crash, KEEP_MS);
    }
    assert_eq!(tracker.len(), MAX_RECORDS);
    assert!(tracker.refused_for_ms(NOW + 10_000, POISON).is_some());
    let newest = Fingerprint(1_000 + 9_999);
    assert_eq!(tracker.crash_count(NOW + 10_000, newest), 1);
}
