//! Tests that a run without a response and an endpoint that vanished are found to belong together,
//! in either order, and only then.

use crate::support::{NOW, endpoint_id};
use gypsumchute_routing::poison_segments::SuspectRun;
use gypsumchute_routing::silent_runs::{SilentRun, SilentRuns};
use gypsumchute_units::{BootMs, Fingerprint};

/// Returns a run that has been silent since `silent_since_ms`.
fn suspect_run() -> SuspectRun {
    SuspectRun { request: Fingerprint(7), segments: Vec::new(), answer_began: false }
}

fn run(endpoint: &str, silent_since_ms: BootMs) -> SilentRun {
    SilentRun { run: suspect_run(), endpoint: endpoint_id(endpoint), silent_since_ms }
}

#[test]
fn a_run_that_ended_before_its_endpoint_vanished_is_found_once() {
    let mut runs = SilentRuns::default();
    assert!(!runs.on_run_ended(NOW + 800, run("engine-1", NOW)));
    assert!(!runs.on_run_ended(NOW + 800, run("engine-2", NOW)));
    let vanished =
        |runs: &mut SilentRuns| runs.on_endpoint_vanished(NOW + 4_000, &endpoint_id("engine-1"));
    assert_eq!(vanished(&mut runs), [suspect_run()]);
    assert_eq!(vanished(&mut runs), []);
}

#[test]
fn a_run_that_ends_after_its_endpoint_vanished_is_found() {
    let mut runs = SilentRuns::default();
    runs.on_endpoint_vanished(NOW + 4_000, &endpoint_id("engine-1"));
    assert!(runs.on_run_ended(NOW + 7_000, run("engine-1", NOW)));
    assert!(!runs.on_run_ended(NOW + 7_000, run("engine-2", NOW)));
}

/// Guards against runs that are cut off while they make progress, because their caller left or
/// their engine ended as planned.
#[test]
fn a_run_with_a_recent_sign_of_life_is_not_silent() {
    let mut runs = SilentRuns::default();
    assert!(!runs.on_run_ended(NOW + 100, run("engine-1", NOW)));
    assert_eq!(runs.on_endpoint_vanished(NOW + 200, &endpoint_id("engine-1")), []);
    assert!(!runs.on_run_ended(NOW + 300, run("engine-1", NOW)));
}

#[test]
fn events_far_apart_do_not_belong_together() {
    let mut runs = SilentRuns::default();
    assert!(!runs.on_run_ended(NOW + 800, run("engine-1", NOW)));
    runs.on_endpoint_vanished(NOW, &endpoint_id("engine-2"));
    let later = NOW + 20_000;
    assert_eq!(runs.on_endpoint_vanished(later, &endpoint_id("engine-1")), []);
    assert!(!runs.on_run_ended(later, run("engine-2", NOW)));
}
