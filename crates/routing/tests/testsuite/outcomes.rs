//! Suspicion grows with failures and fades with time and successes.

use crate::support::{NOW, endpoint_id};
use gypsumchute_routing::outcomes::{Outcome, Outcomes};

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
    (0..20).for_each(|_| outcomes.observe(NOW, &endpoint, Outcome::Broken));
    assert!(outcomes.suspicion(NOW, &endpoint) <= 4.0);
    assert!(outcomes.suspicion(NOW + 20_000, &endpoint) < 0.05);
}
