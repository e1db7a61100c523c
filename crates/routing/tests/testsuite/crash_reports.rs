//! Tests that heartbeats report crashes and refusals within limits, and that none is forgotten.

use crate::support::{NOW, endpoint_id};
use gypsumchute_routing::crash_reports::{
    Audience, CrashReport, CrashReports, REPORT_MS, Suspects,
};
use gypsumchute_routing::poison::{PoisonRequest, PoisonTracker};
use gypsumchute_routing::poison_segments::SuspectRun;
use gypsumchute_units::Fingerprint;
use std::collections::BTreeSet;

const KEEP_MS: u64 = 60_000;
const HEARTBEAT_MS: u64 = 300;

fn crash(number: u64) -> CrashReport {
    CrashReport {
        run: SuspectRun { request: Fingerprint(number), segments: Vec::new(), answer_began: false },
        endpoint: endpoint_id(&format!("engine-{number}")),
        number,
        keep_ms: KEEP_MS,
    }
}

/// Returns an empty record that refuses a request after three crashes.
fn suspects() -> Suspects {
    Suspects { requests: PoisonTracker::new(3), ..Suspects::default() }
}

/// Guards against a burst of crashes in which the oldest crowd out the newest.
#[test]
fn every_crash_of_a_burst_is_reported_and_no_heartbeat_is_large() {
    let (mut reports, mut suspects) = (CrashReports::default(), suspects());
    for number in 0..100 {
        assert!(reports.record(NOW, &mut suspects, crash(number), true).is_new);
    }
    let mut reported = BTreeSet::new();
    for heartbeat in 0..REPORT_MS / HEARTBEAT_MS {
        let now = NOW + heartbeat * HEARTBEAT_MS;
        let next = reports.next_reports(now, &suspects, Audience::Contacts);
        assert!(next.crashes.len() <= 24, "{} crashes in a heartbeat", next.crashes.len());
        reported.extend(next.crashes.into_iter().map(|crash| crash.number));
    }
    assert_eq!(reported.len(), 100);
    assert_eq!(reports.take_dropped(), 0);
}

#[test]
fn crashes_that_no_heartbeat_had_room_for_are_counted() {
    let (mut reports, mut suspects) = (CrashReports::default(), suspects());
    for number in 0..100 {
        reports.record(NOW, &mut suspects, crash(number), true);
    }
    reports.next_reports(NOW, &suspects, Audience::Contacts);
    let after = reports.next_reports(NOW + REPORT_MS + 1, &suspects, Audience::Contacts);
    assert!(after.crashes.is_empty());
    assert_eq!(reports.take_dropped(), 76);
}

#[test]
fn a_crash_that_a_peer_reported_is_passed_on_only_by_a_gateway() {
    for is_gateway in [false, true] {
        let (mut reports, mut suspects) = (CrashReports::default(), suspects());
        assert!(reports.record(NOW, &mut suspects, crash(1), is_gateway).is_new);
        let repeated = reports.record(NOW, &mut suspects, crash(1), is_gateway);
        assert!(!repeated.is_new, "known by now");
        let next = reports.next_reports(NOW + HEARTBEAT_MS, &suspects, Audience::Contacts);
        let expected = CrashReport { keep_ms: KEEP_MS - HEARTBEAT_MS, ..crash(1) };
        assert_eq!(next.crashes, if is_gateway { vec![expected] } else { vec![] });
    }
}

/// Guards against refusals that are crowded out by others and reach no VM that starts later.
#[test]
fn all_refusals_in_force_are_repeated_in_turn() {
    const REFUSALS: u64 = 100;
    let (mut reports, mut suspects) = (CrashReports::default(), suspects());
    for number in 0..REFUSALS {
        let fingerprint = Fingerprint(number);
        suspects.requests.refuse(NOW, PoisonRequest { fingerprint, refused_for_ms: KEEP_MS });
    }
    let mut repeated = BTreeSet::new();
    for heartbeat in 0..10_000 / HEARTBEAT_MS {
        let now = NOW + REPORT_MS + 1 + heartbeat * HEARTBEAT_MS;
        let next = reports.next_reports(now, &suspects, Audience::Contacts);
        assert!(next.poison_requests.len() <= 32, "{} refusals", next.poison_requests.len());
        repeated.extend(next.poison_requests.into_iter().map(|poison| poison.fingerprint));
    }
    assert_eq!(repeated.len() as u64, REFUSALS);
}

#[test]
fn a_newcomer_receives_refusals_at_once() {
    let (mut reports, mut suspects) = (CrashReports::default(), suspects());
    let poison = PoisonRequest { fingerprint: Fingerprint(7), refused_for_ms: KEEP_MS };
    suspects.requests.refuse(NOW, poison);
    let now = NOW + 10_000;
    reports.next_reports(now, &suspects, Audience::Contacts);
    let next = |reports: &mut CrashReports, audience| {
        reports.next_reports(now + 1, &suspects, audience).poison_requests.len()
    };
    assert_eq!(next(&mut reports, Audience::Contacts), 0);
    assert_eq!(next(&mut reports, Audience::Newcomer), 1);
}
