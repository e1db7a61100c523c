//! Tests that a stream goes on only at the software version that began it, and that the version is
//! never guessed.

use crate::support::{FleetState, NOW, endpoint_id, engine_service, entry, generation_load};
use gypsumchute_routing::placement::{
    Placement, PlacementRequest, choose_backup_engine, choose_endpoint, choose_migration_target,
    has_permitted_endpoint, likely_backup_engines,
};
use gypsumchute_routing::stream_versions::{
    ServiceVersion, StreamKey, StreamVersion, StreamVersions, resume_period_ms,
};
use gypsumchute_routing::{EndpointEntry, EndpointTable, Service};
use gypsumchute_units::{BootMs, CustomerId, Fingerprint, RequestId, ServiceId};

/// Interval between observations of the endpoints.
const STEP_MS: u64 = 50;
/// Time for which streams may be resumed in these tests.
const PERIOD_MS: u64 = 10_000;

fn versioned(name: &str, version: &str) -> EndpointEntry {
    EndpointEntry { version: version.parse().ok(), ..entry(name, "a") }
}

fn service_id() -> ServiceId {
    engine_service().id
}

/// Endpoints `e0`, `e2`, ... of version `v1` and `e1`, `e3`, ... of version `v2`.
fn two_versions(count: usize) -> FleetState {
    let mut state = FleetState::with_endpoints(&[]);
    for number in 0..count {
        let version = ["v1", "v2"][number % 2];
        state.endpoints.upsert(NOW, versioned(&format!("e{number}"), version));
    }
    state
}

fn version(name: &str) -> ServiceVersion {
    ServiceVersion::of(&versioned("e", name))
}

fn bound<'a>(state: &'a FleetState, service: &'a Service, name: &str) -> PlacementRequest<'a> {
    PlacementRequest {
        version: Some(version(name)),
        ..state.request(service, generation_load(3_000), 5)
    }
}

/// Observes `endpoints` every `STEP_MS` from `from` to `until`.
fn observe(versions: &mut StreamVersions, endpoints: &EndpointTable, from: BootMs, until: BootMs) {
    let mut now = from;
    while now <= until {
        versions.observe(now, endpoints, true);
        now = now + STEP_MS;
    }
}

#[test]
fn all_choices_keep_to_the_version() {
    let state = two_versions(8);
    let service = engine_service();
    let is_v2 = |id: &str| id[1..].parse::<usize>().expect("number") % 2 == 1;
    let request = bound(&state, &service, "v2");
    let Placement::Endpoint(placed) = choose_endpoint(NOW, state.fleet(), request) else {
        panic!("no endpoint");
    };
    assert!(is_v2(placed.as_str()), "{placed}");
    let current = endpoint_id("e1");
    let target = choose_migration_target(NOW, state.fleet(), request, &current);
    assert!(matches!(&target, Placement::Endpoint(id) if is_v2(id.as_str())), "{target:?}");
    for stream in 0..20 {
        let stream = StreamKey(Fingerprint(stream * 7_919));
        for resumable in [None, Some(stream)] {
            let backup = choose_backup_engine(NOW, state.fleet(), request, &current, resumable);
            let backup = backup.expect("a backup engine");
            assert!(is_v2(backup.as_str()) && backup != current, "{backup}");
        }
    }
}

#[test]
fn a_version_without_endpoints_is_told_from_one_that_is_full() {
    let mut state = two_versions(2);
    let service = engine_service();
    assert!(has_permitted_endpoint(state.fleet(), bound(&state, &service, "v1")));
    assert!(!has_permitted_endpoint(state.fleet(), bound(&state, &service, "v3")));
    state.loads.add_local(&endpoint_id("e0"), generation_load(29_000));
    let request = bound(&state, &service, "v1");
    assert!(has_permitted_endpoint(state.fleet(), request));
    assert_eq!(choose_endpoint(NOW, state.fleet(), request), Placement::AtCapacity);
    state.excluded_endpoints.insert(endpoint_id("e0"));
    assert!(!has_permitted_endpoint(state.fleet(), bound(&state, &service, "v1")));
}

/// A VM that knows only the stream's id finds the engine of its backup among the likely ones.
#[test]
fn the_backup_of_a_resumable_stream_is_found_without_its_vm() {
    let state = two_versions(18);
    let service = engine_service();
    let request = bound(&state, &service, "v1");
    for number in 0..100 {
        let stream = StreamKey(Fingerprint(number * 104_729));
        let current = endpoint_id("e4");
        let backup = choose_backup_engine(NOW, state.fleet(), request, &current, Some(stream));
        let likely = likely_backup_engines(state.fleet(), request, stream, 2);
        assert!(likely.contains(&backup.expect("a backup engine")), "stream {number}");
    }
}

#[test]
fn streams_of_different_customers_and_services_differ() {
    let request: RequestId = "r1".parse().expect("valid id");
    let customers: [CustomerId; 2] = ["acme", "other"].map(|id| id.parse().expect("valid id"));
    let [acme, other] = customers.each_ref().map(|id| StreamKey::new(Some(id), &request));
    assert_ne!(acme, other);
    assert_ne!(acme, StreamKey::new(None, &request));
    let elsewhere =
        EndpointEntry { service: "books".parse().expect("valid id"), ..versioned("e", "v1") };
    assert_ne!(ServiceVersion::of(&elsewhere), version("v1"));
    assert_ne!(version("v1"), version("v2"));
}

#[test]
fn records_last_for_the_time_in_which_a_stream_may_be_resumed() {
    let mut versions = StreamVersions::default();
    let stream = StreamKey(Fingerprint(7));
    let until_ms = NOW + resume_period_ms(5_000);
    versions.record_own(NOW, StreamVersion { stream, version: version("v1"), until_ms });
    assert_eq!(versions.get(NOW + 9_999, stream).map(|known| known.version), Some(version("v1")));
    assert_eq!(versions.get(NOW + 10_000, stream), None);
    assert_eq!(versions.get(NOW, StreamKey(Fingerprint(8))), None);
}

/// Guards against an old record that replaces the corrected version of a stream, because a VM passes on
/// what it learned before the correction.
#[test]
fn the_version_that_was_announced_last_counts() {
    let stream = StreamKey(Fingerprint(7));
    let announced =
        |name, until| StreamVersion { stream, version: version(name), until_ms: NOW + until };
    let (first, corrected) = (announced("v1", 10_000), announced("v2", 10_500));
    for order in [[first, corrected], [corrected, first]] {
        let mut versions = StreamVersions::default();
        order.into_iter().for_each(|begun| versions.record_of_peer(NOW, begun));
        assert_eq!(versions.get(NOW, stream), Some(corrected));
    }
    let mut versions = StreamVersions::default();
    versions.record_own(NOW, corrected);
    versions.record_of_peer(NOW, first);
    assert_eq!(versions.get(NOW, stream), Some(corrected));
}

#[test]
fn records_are_passed_on_as_long_as_the_stream_may_be_resumed() {
    let mut versions = StreamVersions::default();
    for number in 0..4 {
        let stream = StreamKey(Fingerprint(number));
        let begun = StreamVersion { stream, version: version("v1"), until_ms: NOW + 1_000 };
        match number % 2 {
            0 => versions.record_own(NOW + number, begun),
            _ => versions.record_of_peer(NOW + number, begun),
        }
    }
    let records = |now, since| {
        let records = versions.records_since(now, since);
        records.map(|known| (known.begun.stream.0.0, known.is_served_here)).collect::<Vec<_>>()
    };
    let all = vec![(0, true), (1, false), (2, true), (3, false)];
    assert_eq!(records(NOW + 999, BootMs::default()), all);
    assert_eq!(records(NOW + 999, NOW + 2), all[2..]);
    assert_eq!(records(NOW + 1_000, BootMs::default()), []);
}

/// Load pattern: every stream of a busy fleet is announced to a VM that can't hold them all.
#[test]
fn records_are_bounded_and_the_first_to_expire_goes_first() {
    let mut versions = StreamVersions::default();
    for number in 0..20_000 {
        let stream = StreamKey(Fingerprint(number));
        let until_ms = NOW + 1_000 + number;
        versions.record_own(NOW, StreamVersion { stream, version: version("v1"), until_ms });
    }
    assert_eq!(versions.get(NOW, StreamKey(Fingerprint(0))), None);
    assert!(versions.get(NOW, StreamKey(Fingerprint(19_999))).is_some());
}

#[test]
fn the_only_version_is_known_once_it_was_seen_alone_for_long_enough() {
    let mut versions = StreamVersions::default();
    let state = two_versions(1);
    observe(&mut versions, &state.endpoints, NOW, NOW + PERIOD_MS);
    let sole = |at: BootMs| versions.sole_version(at, &service_id(), PERIOD_MS);
    assert_eq!(sole(NOW + (PERIOD_MS - 1)), None);
    assert_eq!(sole(NOW + PERIOD_MS), Some(version("v1")));
    // The VM was suspended and may have missed a version.
    assert_eq!(sole(NOW + PERIOD_MS + 2_000), None);
}

#[test]
fn a_version_that_has_left_counts_until_its_streams_have_ended() {
    let mut versions = StreamVersions::default();
    let mut state = two_versions(2);
    let left = NOW + 2 * PERIOD_MS;
    observe(&mut versions, &state.endpoints, NOW, left);
    state.endpoints.remove(left, &endpoint_id("e1"), false);
    observe(&mut versions, &state.endpoints, left + STEP_MS, left + 2 * PERIOD_MS);
    let sole = |at: BootMs| versions.sole_version(at, &service_id(), PERIOD_MS);
    assert_eq!(sole(left + PERIOD_MS), None);
    assert_eq!(sole(left + PERIOD_MS + STEP_MS), Some(version("v1")));
}

#[test]
fn a_vm_that_did_not_learn_of_new_endpoints_starts_over() {
    let mut versions = StreamVersions::default();
    let state = two_versions(1);
    let blind = NOW + 2 * PERIOD_MS;
    observe(&mut versions, &state.endpoints, NOW, blind);
    versions.observe(blind + STEP_MS, &state.endpoints, false);
    observe(&mut versions, &state.endpoints, blind + 2 * STEP_MS, blind + 3 * PERIOD_MS);
    let sole = |at: BootMs| versions.sole_version(at, &service_id(), PERIOD_MS);
    assert_eq!(sole(blind + PERIOD_MS), None);
    assert_eq!(sole(blind + PERIOD_MS + 2 * STEP_MS), Some(version("v1")));
}

/// Guards against refusals while the registry is away: the entries of a version may merely have
/// lapsed, and the entries of another version are no substitute.
#[test]
fn unconfirmed_endpoints_of_the_version_count_if_none_of_it_is_ready() {
    let mut state = two_versions(4);
    let service = engine_service();
    for id in ["e0", "e2"] {
        state.endpoints.remove(NOW, &endpoint_id(id), true);
    }
    let placed = choose_endpoint(NOW, state.fleet(), bound(&state, &service, "v1"));
    assert!(matches!(&placed, Placement::Endpoint(id) if ["e0", "e2"].contains(&id.as_str())));
    let unbound = state.request(&service, generation_load(3_000), 5);
    let placed = choose_endpoint(NOW, state.fleet(), unbound);
    assert!(matches!(&placed, Placement::Endpoint(id) if ["e1", "e3"].contains(&id.as_str())));
}

#[test]
fn a_period_longer_than_versions_are_remembered_is_never_certain() {
    let mut versions = StreamVersions::default();
    let state = two_versions(1);
    let day_ms = 24 * 3_600_000;
    let mut now = NOW;
    while now < NOW + day_ms {
        versions.observe(now, &state.endpoints, true);
        versions.expire(now);
        now = now + 1_000;
    }
    assert_eq!(versions.sole_version(now, &service_id(), day_ms / 2), None);
    assert_eq!(versions.sole_version(now, &service_id(), PERIOD_MS), Some(version("v1")));
}
