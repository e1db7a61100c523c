//! Endpoints that said themselves that they leave or want nothing for a while, against the registry's
//! late, repeated and returned entries.

use crate::support::{NOW, endpoint_id as id, entry};
use gypsumchute_routing::endpoint_pauses::EndpointPauses;
use gypsumchute_routing::{EndpointEntry, EndpointTable};

fn started(started_wall_ms: Option<u64>) -> EndpointEntry {
    EndpointEntry { started_wall_ms, ..entry("e1", "a") }
}

fn accepts(endpoints: &EndpointTable) -> bool {
    endpoints.accepts_requests(&id("e1"))
}

#[test]
fn a_notice_holds_against_later_entries_of_the_same_start() {
    let mut endpoints = EndpointTable::default();
    endpoints.upsert(NOW, started(Some(100)));
    assert!(endpoints.mark_terminating(NOW, &id("e1"), Some(100)));
    assert!(!endpoints.mark_terminating(NOW, &id("e1"), Some(100)), "known already");
    endpoints.upsert(NOW + 500, started(Some(100)));
    assert!(!accepts(&endpoints));
    // The entry lapses and returns, as after an outage or a restore of the store.
    endpoints.remove(NOW + 600, &id("e1"), false);
    endpoints.upsert(NOW + 90_000, started(Some(100)));
    assert!(!accepts(&endpoints));
    endpoints.upsert(NOW + 90_100, started(Some(200)));
    assert!(accepts(&endpoints), "the endpoint has started again");
}

#[test]
fn a_late_notice_of_an_earlier_start_does_not_concern_the_next() {
    let mut endpoints = EndpointTable::default();
    endpoints.upsert(NOW, started(Some(200)));
    assert!(!endpoints.mark_terminating(NOW, &id("e1"), Some(100)));
    assert!(accepts(&endpoints));
    endpoints.upsert(NOW + 1, started(Some(200)));
    assert!(accepts(&endpoints));
}

#[test]
fn a_notice_ahead_of_the_registry_holds_once_the_entry_arrives() {
    let mut endpoints = EndpointTable::default();
    endpoints.mark_terminating(NOW, &id("e1"), Some(200));
    endpoints.upsert(NOW + 1, started(Some(200)));
    assert!(!accepts(&endpoints));
    let mut endpoints = EndpointTable::default();
    endpoints.upsert(NOW, started(Some(100)));
    assert!(endpoints.mark_terminating(NOW, &id("e1"), Some(200)), "the earlier start is gone");
    endpoints.upsert(NOW + 1, started(Some(200)));
    assert!(!accepts(&endpoints));
}

#[test]
fn a_notice_without_a_start_ends_with_the_entry_or_after_a_minute() {
    let mut endpoints = EndpointTable::default();
    endpoints.upsert(NOW, started(None));
    endpoints.mark_terminating(NOW, &id("e1"), None);
    endpoints.upsert(NOW + 1, started(None));
    assert!(!accepts(&endpoints));
    endpoints.remove(NOW + 2, &id("e1"), true);
    endpoints.upsert(NOW + 3, started(None));
    assert!(!accepts(&endpoints), "the entry may only have lapsed");
    endpoints.remove(NOW + 4, &id("e1"), false);
    endpoints.upsert(NOW + 5, started(None));
    assert!(accepts(&endpoints));
    endpoints.mark_terminating(NOW + 6, &id("e1"), None);
    endpoints.expire(NOW + 60_000);
    assert!(!accepts(&endpoints));
    endpoints.expire(NOW + 60_007);
    assert!(accepts(&endpoints));
}

#[test]
fn a_pause_belongs_to_one_start_and_the_longest_counts() {
    let (mut pauses, e1) = (EndpointPauses::default(), id("e1"));
    assert_eq!(pauses.wait_ms(NOW, &e1, Some(1)), None);
    pauses.record(&e1, Some(1), NOW + 1_000);
    pauses.record(&e1, Some(1), NOW + 400);
    assert_eq!(pauses.wait_ms(NOW + 100, &e1, Some(1)), Some(900));
    assert_eq!(pauses.wait_ms(NOW + 100, &e1, Some(2)), None, "another start asked for nothing");
    assert_eq!(pauses.wait_ms(NOW + 1_000, &e1, Some(1)), None);
}
