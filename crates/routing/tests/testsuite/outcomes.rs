//! Tests that suspicion grows with failures and decays with time and successes.

use crate::support::{NOW, endpoint_id};
use gypsumchute_routing::outcomes::{Outcome, Outcomes, Suspicion};

#[test]
fn suspicion_grows_decays_and_is_bounded() {
    let mut outcomes = Outcomes::default();
    let endpoint = endpoint_id("e1");
    let mut levels = Vec::new();
    for (elapsed_ms, outcome) in [
        (0, Outcome::Broken),
        (0, Outcome::Silent),
        (2_500, Outcome::Answered),
        (2_500, Outcome::Error),
        (2_500, Outcome::Answered),
    ] {
        outcomes.observe(NOW + elapsed_ms, &endpoint, outcome);
        levels.push(format!("{:.2}", outcomes.suspicion(NOW + elapsed_ms, &endpoint)));
    }
    assert_eq!(levels, ["1.00", "2.50", "0.75", "1.00", "0.60"]);
    for _ in 0..20 {
        outcomes.observe(NOW, &endpoint, Outcome::Broken);
    }
    assert!(outcomes.suspicion(NOW, &endpoint) <= 4.0);
    assert!(outcomes.suspicion(NOW + 20_000, &endpoint) < 0.05);
}

#[test]
fn consecutive_errors_weigh_more_than_errors_among_successes() {
    let (mut consecutive, mut interleaved) = (Outcomes::default(), Outcomes::default());
    let endpoint = endpoint_id("e1");
    for _ in 0..3 {
        consecutive.observe(NOW, &endpoint, Outcome::Error);
        interleaved.observe(NOW, &endpoint, Outcome::Error);
        for _ in 0..6 {
            interleaved.observe(NOW, &endpoint, Outcome::Answered);
        }
    }
    assert!((consecutive.suspicion(NOW, &endpoint) - 1.75).abs() < 0.01);
    assert!(interleaved.suspicion(NOW, &endpoint) < 0.05);
    let mut engine = Outcomes::default();
    engine.observe(NOW, &endpoint, Outcome::EngineError);
    assert!(engine.suspicion(NOW, &endpoint) >= 1.0, "a single engine error is a full failure");
}

#[test]
fn reports_from_other_zones_count_only_errors_of_the_endpoint_itself() {
    let endpoint = endpoint_id("e1");
    let connection_failures = Suspicion { level: 3.0, failures: 3.0, own_faults: 0.0 };
    let mut far = Outcomes::default();
    far.hear(NOW, endpoint.clone(), connection_failures, false);
    assert_eq!(far.suspicion(NOW, &endpoint), 0.0);
    let mut near = Outcomes::default();
    near.hear(NOW, endpoint.clone(), connection_failures, true);
    assert!((near.suspicion(NOW, &endpoint) - 2.7).abs() < 0.01);
    near.observe(NOW, &endpoint, Outcome::Answered);
    assert!(near.suspicion(NOW, &endpoint) < 1.7, "a local success reduces the suspicion");
    assert_eq!(near.own_at(NOW, &endpoint), Suspicion::default(), "peer reports are not forwarded");
    let endpoint_errors = Suspicion { level: 3.0, failures: 3.0, own_faults: 1.0 };
    far.hear(NOW, endpoint.clone(), endpoint_errors, false);
    assert!((far.suspicion(NOW, &endpoint) - 0.9).abs() < 0.01);
    assert!(far.suspicion(NOW + 20_000, &endpoint) < 0.05);
}

#[test]
fn repeated_errors_are_reported_but_a_single_error_of_a_service_is_not() {
    let mut outcomes = Outcomes::default();
    let endpoint = endpoint_id("e1");
    assert!(!outcomes.observe(NOW, &endpoint, Outcome::Error));
    assert_eq!(outcomes.told(NOW).count(), 0);
    assert!(outcomes.observe(NOW, &endpoint, Outcome::Error));
    assert_eq!(outcomes.told(NOW).collect::<Vec<_>>(), [&endpoint]);
    outcomes.expire(NOW + 20_000);
    assert_eq!(outcomes.told(NOW).count(), 0);
}

#[test]
fn an_overloaded_endpoint_is_not_reported() {
    let mut outcomes = Outcomes::default();
    let endpoint = endpoint_id("e1");
    for outcome in [Outcome::Silent, Outcome::Rejected, Outcome::Silent] {
        assert!(!outcomes.observe(NOW, &endpoint, outcome));
    }
    assert!(outcomes.suspicion(NOW, &endpoint) > 3.0, "this VM avoids the endpoint");
    assert_eq!(outcomes.told(NOW).count(), 0);
    let mut other = Outcomes::default();
    other.hear(NOW, endpoint.clone(), outcomes.own_at(NOW, &endpoint), true);
    assert_eq!(other.suspicion(NOW, &endpoint), 0.0);
}
