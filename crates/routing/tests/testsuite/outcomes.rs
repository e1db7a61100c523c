//! Tests that suspicion grows with failures and decays with time and successes.

use crate::support::{NOW, endpoint_id};
use gypsumchute_routing::outcomes::{OutlierDetector, RequestOutcome, Suspicion};

#[test]
fn suspicion_grows_decays_and_is_bounded() {
    let mut outcomes = OutlierDetector::default();
    let endpoint = endpoint_id("e1");
    let mut levels = Vec::new();
    for (elapsed_ms, outcome) in [
        (0, RequestOutcome::TransportError),
        (0, RequestOutcome::Timeout),
        (2_500, RequestOutcome::Success),
        (2_500, RequestOutcome::ServiceError),
        (2_500, RequestOutcome::Success),
    ] {
        outcomes.record_outcome(NOW + elapsed_ms, &endpoint, outcome);
        levels.push(format!("{:.2}", outcomes.suspicion(NOW + elapsed_ms, &endpoint)));
    }
    assert_eq!(levels, ["1.00", "2.50", "0.75", "1.00", "0.60"]);
    for _ in 0..20 {
        outcomes.record_outcome(NOW, &endpoint, RequestOutcome::TransportError);
    }
    assert!(outcomes.suspicion(NOW, &endpoint) <= 4.0);
    assert!(outcomes.suspicion(NOW + 20_000, &endpoint) < 0.05);
}

#[test]
fn consecutive_errors_weigh_more_than_errors_among_successes() {
    let (mut consecutive, mut interleaved) =
        (OutlierDetector::default(), OutlierDetector::default());
    let endpoint = endpoint_id("e1");
    for _ in 0..3 {
        consecutive.record_outcome(NOW, &endpoint, RequestOutcome::ServiceError);
        interleaved.record_outcome(NOW, &endpoint, RequestOutcome::ServiceError);
        for _ in 0..6 {
            interleaved.record_outcome(NOW, &endpoint, RequestOutcome::Success);
        }
    }
    assert!((consecutive.suspicion(NOW, &endpoint) - 1.75).abs() < 0.01);
    assert!(interleaved.suspicion(NOW, &endpoint) < 0.05);
    let mut engine = OutlierDetector::default();
    engine.record_outcome(NOW, &endpoint, RequestOutcome::EngineError);
    assert!(engine.suspicion(NOW, &endpoint) >= 1.0, "a single engine error is a full failure");
}

#[test]
fn reports_from_other_zones_count_only_errors_of_the_endpoint_itself() {
    let endpoint = endpoint_id("e1");
    let connection_failures =
        Suspicion { total: 3.0, unexplained_failures: 3.0, endpoint_errors: 0.0 };
    let mut far = OutlierDetector::default();
    far.record_peer_report(NOW, endpoint.clone(), connection_failures, false);
    assert_eq!(far.suspicion(NOW, &endpoint), 0.0);
    let mut near = OutlierDetector::default();
    near.record_peer_report(NOW, endpoint.clone(), connection_failures, true);
    assert!((near.suspicion(NOW, &endpoint) - 2.7).abs() < 0.01);
    near.record_outcome(NOW, &endpoint, RequestOutcome::Success);
    assert!(near.suspicion(NOW, &endpoint) < 1.7, "a local success reduces the suspicion");
    assert_eq!(
        near.local_suspicion(NOW, &endpoint),
        Suspicion::default(),
        "peer reports are not forwarded"
    );
    let endpoint_errors = Suspicion { total: 3.0, unexplained_failures: 3.0, endpoint_errors: 1.0 };
    far.record_peer_report(NOW, endpoint.clone(), endpoint_errors, false);
    assert!((far.suspicion(NOW, &endpoint) - 0.9).abs() < 0.01);
    assert!(far.suspicion(NOW + 20_000, &endpoint) < 0.05);
}

#[test]
fn repeated_errors_are_reported_but_a_single_error_of_a_service_is_not() {
    let mut outcomes = OutlierDetector::default();
    let endpoint = endpoint_id("e1");
    assert!(!outcomes.record_outcome(NOW, &endpoint, RequestOutcome::ServiceError));
    assert_eq!(outcomes.endpoints_to_report(NOW).count(), 0);
    assert!(outcomes.record_outcome(NOW, &endpoint, RequestOutcome::ServiceError));
    assert_eq!(outcomes.endpoints_to_report(NOW).collect::<Vec<_>>(), [&endpoint]);
    outcomes.expire(NOW + 20_000);
    assert_eq!(outcomes.endpoints_to_report(NOW).count(), 0);
}

#[test]
fn an_overloaded_endpoint_is_not_reported() {
    let mut outcomes = OutlierDetector::default();
    let endpoint = endpoint_id("e1");
    for outcome in [RequestOutcome::Timeout, RequestOutcome::Rejected, RequestOutcome::Timeout] {
        assert!(!outcomes.record_outcome(NOW, &endpoint, outcome));
    }
    assert!(outcomes.suspicion(NOW, &endpoint) > 3.0, "this VM avoids the endpoint");
    assert_eq!(outcomes.endpoints_to_report(NOW).count(), 0);
    let mut other = OutlierDetector::default();
    other.record_peer_report(NOW, endpoint.clone(), outcomes.local_suspicion(NOW, &endpoint), true);
    assert_eq!(other.suspicion(NOW, &endpoint), 0.0);
}
