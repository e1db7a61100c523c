//! Suspicion grows with failures and fades with time and successes.

use crate::support::{NOW, endpoint_id};
use gypsumchute_routing::outcomes::{Outcome, Outcomes, Suspicion};

#[test]
fn suspicion_grows_fades_and_is_bounded() {
    let mut outcomes = Outcomes::default();
    let endpoint = endpoint_id("e1");
    let mut levels = Vec::new();
    for (later_ms, outcome) in [
        (0, Outcome::Broken),
        (0, Outcome::Silent),
        (2_500, Outcome::Answered),
        (2_500, Outcome::Error),
        (2_500, Outcome::Answered),
    ] {
        outcomes.observe(NOW + later_ms, &endpoint, outcome);
        levels.push(format!("{:.2}", outcomes.suspicion(NOW + later_ms, &endpoint)));
    }
    assert_eq!(levels, ["1.00", "2.50", "0.75", "1.00", "0.60"]);
    for _ in 0..20 {
        outcomes.observe(NOW, &endpoint, Outcome::Broken);
    }
    assert!(outcomes.suspicion(NOW, &endpoint) <= 4.0);
    assert!(outcomes.suspicion(NOW + 20_000, &endpoint) < 0.05);
}

#[test]
fn errors_in_a_row_weigh_more_than_as_many_among_successes() {
    let (mut fails, mut varies) = (Outcomes::default(), Outcomes::default());
    let endpoint = endpoint_id("e1");
    for _ in 0..3 {
        fails.observe(NOW, &endpoint, Outcome::Error);
        varies.observe(NOW, &endpoint, Outcome::Error);
        for _ in 0..6 {
            varies.observe(NOW, &endpoint, Outcome::Answered);
        }
    }
    assert!((fails.suspicion(NOW, &endpoint) - 1.75).abs() < 0.01);
    assert!(varies.suspicion(NOW, &endpoint) < 0.05);
    let mut engine = Outcomes::default();
    engine.observe(NOW, &endpoint, Outcome::EngineError);
    assert!(engine.suspicion(NOW, &endpoint) >= 1.0, "engines have no errors by nature");
}

#[test]
fn what_another_zone_tells_counts_only_where_the_endpoint_itself_failed() {
    let endpoint = endpoint_id("e1");
    let cut_off = Suspicion { level: 3.0, failures: 3.0, own_faults: 0.0 };
    let mut far = Outcomes::default();
    far.hear(NOW, endpoint.clone(), cut_off, false);
    assert_eq!(far.suspicion(NOW, &endpoint), 0.0);
    let mut near = Outcomes::default();
    near.hear(NOW, endpoint.clone(), cut_off, true);
    assert!((near.suspicion(NOW, &endpoint) - 2.7).abs() < 0.01);
    near.observe(NOW, &endpoint, Outcome::Answered);
    assert!(near.suspicion(NOW, &endpoint) < 1.7, "an own success eases it");
    assert_eq!(near.own_at(NOW, &endpoint), Suspicion::default(), "hearsay is not handed on");
    let errs = Suspicion { level: 3.0, failures: 3.0, own_faults: 1.0 };
    far.hear(NOW, endpoint.clone(), errs, false);
    assert!((far.suspicion(NOW, &endpoint) - 0.9).abs() < 0.01);
    assert!(far.suspicion(NOW + 20_000, &endpoint) < 0.05);
}

#[test]
fn a_failure_that_matters_is_told_and_a_single_error_of_a_service_is_not() {
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
fn a_crowded_endpoint_is_not_told_of() {
    let mut outcomes = Outcomes::default();
    let endpoint = endpoint_id("e1");
    for outcome in [Outcome::Silent, Outcome::Rejected, Outcome::Silent] {
        assert!(!outcomes.observe(NOW, &endpoint, outcome));
    }
    assert!(outcomes.suspicion(NOW, &endpoint) > 3.0, "this VM keeps away");
    assert_eq!(outcomes.told(NOW).count(), 0);
    let mut other = Outcomes::default();
    other.hear(NOW, endpoint.clone(), outcomes.own_at(NOW, &endpoint), true);
    assert_eq!(other.suspicion(NOW, &endpoint), 0.0);
}
