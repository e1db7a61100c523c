//! Tests of what a VM knows of the limits that endpoints name.

use crate::support::{NOW, endpoint_id};
use gypsumchute_routing::endpoint_limits::{EndpointLimits, NamedLimit};
use gypsumchute_units::RequestRate;

const RATE: RequestRate = RequestRate::from_micro_per_s(1_800_000);

#[test]
fn a_limit_is_in_force_until_an_answer_names_none() {
    let (mut limits, endpoint) = (EndpointLimits::default(), endpoint_id("e1"));
    assert!(!limits.on_answer(NOW, &endpoint, None), "it never had one");
    assert!(limits.on_answer(NOW, &endpoint, Some(RATE)));
    assert!(!limits.on_answer(NOW + 1, &endpoint, Some(RATE)), "unchanged");
    limits.expire(NOW + 3_600_000, |_| true);
    assert_eq!(limits.get(&endpoint).and_then(|limit| limit.rate), Some(RATE));
    assert!(limits.on_answer(NOW + 3_600_000, &endpoint, None));
    assert_eq!(limits.get(&endpoint).and_then(|limit| limit.rate), None);
}

#[test]
fn a_limit_ends_with_its_endpoint() {
    let (mut limits, endpoint) = (EndpointLimits::default(), endpoint_id("e1"));
    limits.on_answer(NOW, &endpoint, Some(RATE));
    limits.expire(NOW, |_| false);
    assert_eq!(limits.get(&endpoint), None);
}

/// Guards against an older report of a peer that replaces what an answer said, or the other way round.
#[test]
fn the_newest_of_what_peers_report_counts() {
    let (mut limits, endpoint) = (EndpointLimits::default(), endpoint_id("e1"));
    let limited = NamedLimit { rate: Some(RATE), named_ms: NOW };
    assert!(limits.on_peer_report(&endpoint, limited));
    assert!(!limits.on_peer_report(&endpoint, limited), "known by now");
    let ended = NamedLimit { rate: None, named_ms: NOW + 50 };
    assert!(limits.on_peer_report(&endpoint, ended));
    assert!(!limits.on_peer_report(&endpoint, limited), "older");
    assert_eq!(limits.get(&endpoint), Some(ended));
}

/// Guards against VMs that renew a limit for each other by the time that their messages take.
#[test]
fn a_report_that_two_vms_repeat_to_each_other_stays_as_old_as_it_is() {
    let (mut limits, endpoint) = (EndpointLimits::default(), endpoint_id("e1"));
    limits.on_peer_report(&endpoint, NamedLimit { rate: Some(RATE), named_ms: NOW });
    for delay_ms in 1..100 {
        let echo = NamedLimit { rate: Some(RATE), named_ms: NOW + delay_ms };
        assert!(!limits.on_peer_report(&endpoint, echo));
    }
    assert_eq!(limits.get(&endpoint).map(|limit| limit.named_ms), Some(NOW));
}
