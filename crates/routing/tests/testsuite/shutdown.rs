//! What still begins on a VM that shuts down.

use gypsumchute_routing::RouteKind;
use gypsumchute_routing::shutdown::may_begin;

#[test]
fn only_what_ends_in_time_begins() {
    let generation = RouteKind::Generation { resumable: false };
    let begins = |tokens, left_ms| may_begin(generation, tokens, left_ms);
    assert!(!begins(900, 7_600), "a long generation is served whole by another VM");
    assert!(begins(20, 7_600));
    assert!(!begins(20, 2_000));
    assert!(may_begin(RouteKind::NonIdempotent, 0, 3_000));
    assert!(!may_begin(RouteKind::Idempotent, 0, 500));
}
