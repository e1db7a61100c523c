//! Tests which endpoints receive new requests.

use crate::support::{NOW, endpoint_id, entry};
use gypsumchute_routing::stream_versions::ServiceVersion;
use gypsumchute_routing::{EndpointEntry, EndpointTable};

fn candidate_ids(endpoints: &EndpointTable) -> Vec<String> {
    let service = "engines".parse().expect("valid id");
    endpoints.candidates(&service, None).iter().map(|e| e.entry.id.to_string()).collect()
}

#[test]
fn terminating_endpoints_and_drained_zones_get_no_requests() {
    let mut endpoints = EndpointTable::default();
    endpoints.upsert(NOW, entry("e1", "a"));
    endpoints.upsert(NOW, entry("e2", "b"));
    endpoints.upsert(NOW, EndpointEntry { terminating: true, ..entry("e3", "a") });
    assert_eq!(candidate_ids(&endpoints), ["e1", "e2"]);
    endpoints.set_drained_zones(["b".parse().expect("valid id")].into());
    assert_eq!(candidate_ids(&endpoints), ["e1"]);
    assert!(!endpoints.accepts_requests(&endpoint_id("e2")));
    endpoints.set_drained_zones([].into());
    assert_eq!(candidate_ids(&endpoints), ["e1", "e2"]);
}

#[test]
fn entries_that_expire_in_a_registry_outage_are_used_only_if_none_is_ready() {
    let mut endpoints = EndpointTable::default();
    endpoints.upsert(NOW, entry("e1", "a"));
    endpoints.upsert(NOW, entry("e2", "a"));
    endpoints.remove(NOW, &endpoint_id("e1"), true);
    assert_eq!(candidate_ids(&endpoints), ["e2"]);
    endpoints.remove(NOW, &endpoint_id("e2"), true);
    assert_eq!(candidate_ids(&endpoints), ["e1", "e2"]);
    endpoints.upsert(NOW + 500, entry("e2", "a"));
    assert_eq!(candidate_ids(&endpoints), ["e2"]);
    assert_eq!(endpoints.expire(NOW + 2_000), [endpoint_id("e1")]);
}

#[test]
fn an_entry_that_vanishes_without_a_registry_outage_is_removed_at_once() {
    let mut endpoints = EndpointTable::default();
    endpoints.upsert(NOW, entry("e1", "a"));
    endpoints.remove(NOW, &endpoint_id("e1"), false);
    assert!(candidate_ids(&endpoints).is_empty());
}

#[test]
fn a_new_start_under_the_same_id_is_told_from_a_changed_entry() {
    let mut endpoints = EndpointTable::default();
    let started = |started_wall_ms| EndpointEntry { started_wall_ms, ..entry("engine-1", "a") };
    assert!(!endpoints.is_new_start(&started(Some(1))), "unknown endpoint");
    endpoints.upsert(NOW, started(Some(1)));
    assert!(!endpoints.is_new_start(&started(Some(1))));
    assert!(endpoints.is_new_start(&started(Some(2))));
}

/// The registered versions are counted, so that a large registry need not be searched for them.
#[test]
fn the_registered_versions_follow_every_change() {
    let mut endpoints = EndpointTable::default();
    let of_version =
        |id: &str, version: &str| EndpointEntry { version: version.parse().ok(), ..entry(id, "a") };
    let service = entry("e", "a").service;
    let versions = |endpoints: &EndpointTable| endpoints.versions_of(&service).len();
    for (id, version) in [("e1", "v1"), ("e2", "v1"), ("e3", "v2")] {
        endpoints.upsert(NOW, of_version(id, version));
    }
    assert_eq!(versions(&endpoints), 2);
    endpoints.upsert(NOW, of_version("e3", "v1"));
    assert_eq!(versions(&endpoints), 1);
    endpoints.remove(NOW, &endpoint_id("e1"), false);
    endpoints.remove(NOW, &endpoint_id("e3"), true);
    assert_eq!(versions(&endpoints), 1);
    endpoints.remove(NOW, &endpoint_id("e2"), false);
    assert_eq!(endpoints.expire(NOW + 60_000), [endpoint_id("e3")]);
    assert_eq!(versions(&endpoints), 0);
    assert_eq!(endpoints.service_of(ServiceVersion::of(&of_version("e1", "v1"))), None);
}
