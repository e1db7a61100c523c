//! Tests that the prompt segment which crashes engines is found and refused, and that the segments
//! of sound requests are not.

use crate::support::NOW;
use gypsumchute_routing::poison::{CompletedRequest, PoisonRequest};
use gypsumchute_routing::poison_segments::{MAX_REFUSED_SEGMENTS, SegmentTracker, SuspectRun};
use gypsumchute_units::{BootMs, Fingerprint};

/// First segment of all prompts.
const FIRST: Fingerprint = Fingerprint(1);
/// Segment that crashes engines.
const POISON: Fingerprint = Fingerprint(2);
/// Segment of some sound prompts.
const SOUND: Fingerprint = Fingerprint(3);
/// Time between two crashes, in milliseconds.
const GAP_MS: u64 = 300;

/// Returns a run of a request with these segments, as its answer began.
fn beginning(request: u64, segments: &[Fingerprint]) -> SuspectRun {
    SuspectRun { request: Fingerprint(request), segments: segments.into(), answer_began: true }
}

fn is_refused(tracker: &SegmentTracker, now: BootMs, segment: Fingerprint) -> bool {
    tracker.refused_for_ms(now, &[segment]).is_some()
}

/// Lets `count` engines crash under different requests with the poison segment, beside a sound
/// request that has just begun. Returns the time of the last crash.
fn crash(tracker: &mut SegmentTracker, start: BootMs, count: u64) -> BootMs {
    let crash_ms = |n| start + n * GAP_MS;
    for n in 0..count {
        let number = start.0 + n;
        tracker.record_run(crash_ms(n), number, &beginning(number, &[FIRST, POISON]));
        tracker.record_run(crash_ms(n), number, &beginning(1_000, &[FIRST, SOUND]));
    }
    crash_ms(count.saturating_sub(1))
}

#[test]
fn a_segment_that_crashed_three_engines_is_refused_and_the_others_are_not() {
    let mut tracker = SegmentTracker::default();
    tracker.on_sound(NOW, &[FIRST, SOUND]);
    let now = crash(&mut tracker, NOW + 1, 2);
    assert!(!is_refused(&tracker, now, POISON));
    let now = crash(&mut tracker, now + GAP_MS, 1);
    assert!(is_refused(&tracker, now, POISON));
    // Later crashes are explained by the segment, which other runs still carry for a moment.
    let now = crash(&mut tracker, now + GAP_MS, 20);
    assert!(!is_refused(&tracker, now, FIRST) && !is_refused(&tracker, now, SOUND));
}

/// Guards against a refusal of the first segment, which all requests of a route share, while
/// nothing is known to be sound yet.
#[test]
fn of_two_segments_of_the_same_crashes_the_deeper_one_is_refused() {
    let mut tracker = SegmentTracker::default();
    let now = crash(&mut tracker, NOW, 10);
    assert!(is_refused(&tracker, now, POISON));
    assert!(!is_refused(&tracker, now, FIRST));
}

/// Guards against a refusal of a segment of sound requests that stays in force, because their runs at
/// the crashed engines were reported before those of the poison requests.
#[test]
fn a_refusal_ends_once_another_segment_explains_the_crashes_better() {
    // The sound requests share the first segment only, or a deeper one as well.
    for (sound_segments, crashes) in [(1, 3), (2, 4)] {
        let (mut tracker, mut peer) = (SegmentTracker::default(), SegmentTracker::default());
        for n in 0..crashes {
            let now = NOW + n * GAP_MS;
            if !is_refused(&tracker, now, SOUND) {
                let segments = &[FIRST, SOUND][..sound_segments];
                tracker.record_run(now, n, &beginning(1_000 + n, segments));
            }
            for (poison, _) in tracker.refused_segments(now) {
                peer.refuse(now, poison);
            }
            tracker.record_run(now + 10, n, &beginning(n, &[FIRST, POISON]));
        }
        let now = NOW + crashes * GAP_MS;
        assert!(is_refused(&tracker, now, POISON));
        assert!(!is_refused(&tracker, now, FIRST) && !is_refused(&tracker, now, SOUND));
        for (sound, _) in tracker.sound_suspects(now) {
            peer.on_sound_at_peer(now, sound);
        }
        assert!(!is_refused(&peer, now, FIRST) && !is_refused(&peer, now, SOUND));
    }
}

/// Guards against a refusal of the first segment, because the report of one poison request is lost.
#[test]
fn a_segment_is_spared_while_a_deeper_one_explains_most_of_its_crashes() {
    let mut tracker = SegmentTracker::default();
    let now = crash(&mut tracker, NOW, 2);
    tracker.record_run(now + GAP_MS, 7, &beginning(2_000, &[FIRST]));
    assert!(!is_refused(&tracker, now + GAP_MS, FIRST));
    let now = crash(&mut tracker, now + 2 * GAP_MS, 1);
    assert!(is_refused(&tracker, now, POISON));
    assert!(!is_refused(&tracker, now, FIRST));
}

/// Guards against a poison segment that is spared, because popular sound prompts with a deeper segment
/// wait at every engine that crashes.
#[test]
fn a_segment_that_was_sound_lately_spares_no_other() {
    const DEEPER: Fingerprint = Fingerprint(4);
    let mut tracker = SegmentTracker::default();
    tracker.on_sound(NOW, &[FIRST, SOUND, DEEPER]);
    for n in 0..3 {
        let now = NOW + 1 + n * GAP_MS;
        for answer_began in [false, true] {
            let popular = beginning(1_000 + n, &[FIRST, SOUND, DEEPER]);
            tracker.record_run(now, n, &SuspectRun { answer_began, ..popular });
        }
        tracker.record_run(now, n, &beginning(n, &[FIRST, POISON]));
    }
    let now = NOW + 3 * GAP_MS;
    assert!(is_refused(&tracker, now, POISON));
    tracker.record_run(now, 3, &beginning(2_000, &[FIRST, SOUND, DEEPER]));
    assert!(is_refused(&tracker, now, POISON));
    assert!(!is_refused(&tracker, now, SOUND) && !is_refused(&tracker, now, DEEPER));
}

/// Guards against a poison segment at the beginning of the prompt that is never refused.
#[test]
fn the_first_segment_is_refused_if_the_deeper_ones_of_its_crashes_differ() {
    let mut tracker = SegmentTracker::default();
    for n in 0..3 {
        let run = beginning(n, &[FIRST, Fingerprint(100 + n)]);
        tracker.record_run(NOW + n * GAP_MS, n, &run);
    }
    assert!(is_refused(&tracker, NOW + 3 * GAP_MS, FIRST));
}

#[test]
fn a_segment_that_was_sound_before_is_refused_after_five_crashes() {
    let mut tracker = SegmentTracker::default();
    tracker.on_sound(NOW, &[FIRST, SOUND, POISON]);
    let mut now = crash(&mut tracker, NOW + 1, 4);
    assert!(!is_refused(&tracker, now, POISON));
    // Answers on the other segments still go on elsewhere.
    tracker.on_sound(now + 1, &[FIRST, SOUND]);
    now = crash(&mut tracker, now + GAP_MS, 1);
    assert!(is_refused(&tracker, now, POISON));
    assert!(!is_refused(&tracker, now, FIRST) && !is_refused(&tracker, now, SOUND));
}

/// Guards against engines that crash before they have sent a response head.
#[test]
fn a_segment_whose_answers_never_begin_is_refused_after_five_crashes() {
    let mut tracker = SegmentTracker::default();
    tracker.on_sound(NOW, &[FIRST]);
    for n in 0..5 {
        assert!(!is_refused(&tracker, NOW + n * GAP_MS, POISON), "after {n} crashes");
        let run = SuspectRun { answer_began: false, ..beginning(n, &[FIRST, POISON]) };
        tracker.record_run(NOW + 1 + n * GAP_MS, n, &run);
    }
    assert!(is_refused(&tracker, NOW + 5 * GAP_MS, POISON));
    assert!(!is_refused(&tracker, NOW + 5 * GAP_MS, FIRST));
}

/// Guards against a power failure that is taken for crashes under the segments in use.
#[test]
fn engines_that_are_lost_at_once_count_as_one_crash() {
    let mut tracker = SegmentTracker::default();
    for number in 0..30 {
        tracker.record_run(NOW + number, number, &beginning(number, &[FIRST, SOUND]));
    }
    assert!(!is_refused(&tracker, NOW + 30, FIRST) && !is_refused(&tracker, NOW + 30, SOUND));
}

/// Guards against the segments of a single poison request, which other requests share.
#[test]
fn the_segments_of_one_request_that_comes_again_are_not_refused() {
    let mut tracker = SegmentTracker::default();
    for n in 0..10 {
        tracker.record_run(NOW + n * GAP_MS, n, &beginning(7, &[FIRST, SOUND]));
    }
    let now = NOW + 10 * GAP_MS;
    assert!(!is_refused(&tracker, now, FIRST) && !is_refused(&tracker, now, SOUND));
}

#[test]
fn a_sound_answer_ends_a_refusal_here_and_at_peers() {
    let (mut wrong, mut serving) = (SegmentTracker::default(), SegmentTracker::default());
    let poison = PoisonRequest { fingerprint: SOUND, refused_for_ms: 600_000 };
    assert!(wrong.refuse(NOW, poison));
    let run = beginning(1, &[SOUND]);
    serving.record_run(NOW, 1, &run);
    serving.on_sound(NOW + 1, &[SOUND]);
    assert!(!serving.refuse(NOW + 2, poison), "it is known to be sound");
    let reported: Vec<_> = serving.sound_suspects(NOW + 2).map(|(item, _)| item).collect();
    assert_eq!(reported, [CompletedRequest { fingerprint: SOUND, valid_for_ms: 59_999 }]);
    assert!(wrong.on_sound_at_peer(NOW + 10, reported[0]));
    assert!(!is_refused(&wrong, NOW + 10, SOUND));
}

/// Guards against callers who push out a refusal with ever new segments.
#[test]
fn refusals_are_limited_in_number_and_time_and_survive_ever_new_suspects() {
    let mut tracker = SegmentTracker::default();
    let now = crash(&mut tracker, NOW, 3);
    for n in 0..10_000 {
        tracker.record_run(now, 1_000 + n, &beginning(n, &[Fingerprint(100 + n)]));
        tracker.on_sound(now, &[Fingerprint(100 + n)]);
    }
    assert!(is_refused(&tracker, now, POISON));
    for n in 0..2 * MAX_REFUSED_SEGMENTS as u64 {
        let poison = PoisonRequest { fingerprint: Fingerprint(50_000 + n), refused_for_ms: 1_000 };
        tracker.refuse(now, poison);
    }
    assert_eq!(tracker.refused_segments(now).count(), MAX_REFUSED_SEGMENTS);
    assert!(is_refused(&tracker, now, POISON), "the one that is refused longest");
    assert!(!is_refused(&tracker, now + 600_000, POISON));
}
