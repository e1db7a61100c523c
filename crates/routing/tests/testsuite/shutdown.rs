//! Tests which requests a VM accepts during a graceful shutdown.

use gypsumchute_routing::RouteKind;
use gypsumchute_routing::shutdown::may_start;

#[test]
fn only_requests_that_end_in_time_may_start() {
    let generation = RouteKind::Generation { resumable: false };
    let generation_may_start = |tokens, left_ms| may_start(generation, tokens, left_ms);
    assert!(!generation_may_start(900, 7_600), "another VM can serve a long generation to the end");
    assert!(generation_may_start(20, 7_600));
    assert!(!generation_may_start(20, 2_000));
    assert!(may_start(RouteKind::NonIdempotent, 0, 3_000));
    assert!(!may_start(RouteKind::Idempotent, 0, 500));
}
