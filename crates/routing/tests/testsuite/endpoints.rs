//! Which endpoints get work.

use crate::support::{NOW, endpoint_id, entry};
use gypsumchute_routing::{EndpointEntry, Endpoints};

fn names(endpoints: &Endpoints) -> Vec<String> {
    let service = "engines".parse().expect("an id");
    endpoints.candidates(&service).iter().map(|e| e.entry.id.to_string()).collect()
}

#[test]
fn leaving_endpoints_and_zones_that_are_out_get_nothing() {
    let mut endpoints = Endpoints::default();
    endpoints.upsert(NOW, entry("e1", "a"));
    endpoints.upsert(NOW, entry("e2", "b"));
    endpoints.upsert(NOW, EndpointEntry { leaving: true, ..entry("e3", "a") });
    assert_eq!(names(&endpoints), ["e1", "e2"]);
    endpoints.set_zones_out(["b".parse().expect("an id")].into());
    assert_eq!(names(&endpoints), ["e1"]);
    assert!(!endpoints.takes_work(&endpoint_id("e2")));
    endpoints.set_zones_out([].into());
    assert_eq!(names(&endpoints), ["e1", "e2"]);
}

#[test]
fn entries_that_lapse_with_the_store_are_used_only_where_nothing_else_is_left() {
    let mut endpoints = Endpoints::default();
    endpoints.upsert(NOW, entry("e1", "a"));
    endpoints.upsert(NOW, entry("e2", "a"));
    endpoints.remove(NOW, &endpoint_id("e1"), true);
    assert_eq!(names(&endpoints), ["e2"]);
    endpoints.remove(NOW, &endpoint_id("e2"), true);
    assert_eq!(names(&endpoints), ["e1", "e2"]);
    endpoints.upsert(NOW + 500, entry("e2", "a"));
    assert_eq!(names(&endpoints), ["e2"]);
    assert_eq!(endpoints.expire(NOW + 2_000), [endpoint_id("e1")]);
}

#[test]
fn an_entry_that_vanishes_while_the_store_is_well_is_gone_at_once() {
    let mut endpoints = Endpoints::default();
    endpoints.upsert(NOW, entry("e1", "a"));
    endpoints.remove(NOW, &endpoint_id("e1"), false);
    assert!(names(&endpoints).is_empty());
}
