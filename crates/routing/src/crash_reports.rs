//! Chooses the crashes that a VM reports to its peers, so that all VMs count the crashes of a
//! request together.
//!
//! Load pattern: callers send a poison request again and again, each time to another VM, in any
//! zone. No VM observes more than one or two of its crashes.
//!
//! A VM reports a crash that it observed to the peers it exchanges heartbeats with. In a large
//! fleet these are the VMs of its own zone, so the gateways, which exchange heartbeats with other
//! zones, pass on what they learn. A report is repeated for a few heartbeats, because datagrams may
//! be lost. The number of reports in a heartbeat is limited, so that the failure of many endpoints
//! at once does not flood the fleet.

use crate::poison::PoisonTracker;
use gypsumchute_units::{BootMs, EndpointId, Fingerprint};
use std::collections::VecDeque;

/// Time for which a crash is repeated in heartbeats, in milliseconds: the duration of several
/// heartbeats.
pub const REPORT_MS: u64 = 2_500;
/// Maximum number of crashes in a heartbeat. With about 40 bytes each, they fit into a datagram
/// next to the loads of the busiest VM.
const MAX_REPORTS_PER_HEARTBEAT: usize = 24;

/// A crash of an endpoint, as VMs report it to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Request that ran on the endpoint.
    pub fingerprint: Fingerprint,
    /// Endpoint that crashed.
    pub endpoint: EndpointId,
    /// Random number that identifies the crash, so that repeated reports are counted once.
    pub number: u64,
    /// Time for which the crash still counts against the request, in milliseconds.
    pub keep_ms: u64,
}

/// A crash that is being reported.
#[derive(Debug)]
struct RecentCrash {
    fingerprint: Fingerprint,
    number: u64,
    /// When this VM observed the crash or learned of it.
    learned_ms: BootMs,
    /// Number of heartbeats that reported the crash.
    times_reported: u32,
}

/// The crashes that a VM is reporting to its peers.
#[derive(Debug, Default)]
pub struct CrashReports {
    /// Crashes to report, oldest first.
    recent: VecDeque<RecentCrash>,
    /// Number of crashes that were never reported, because the heartbeats were full.
    dropped: u64,
}

impl CrashReports {
    /// Records a crash that this VM observed or that a peer reported, and reports it to peers if
    /// `report_on` is set. Returns whether the crash is new to this VM.
    pub fn record(
        &mut self,
        now: BootMs,
        tracker: &mut PoisonTracker,
        crash: CrashReport,
        report_on: bool,
    ) -> bool {
        let CrashReport { fingerprint, endpoint, number, keep_ms } = crash;
        let is_new = tracker.record_crashes(now, fingerprint, [(number, endpoint)], keep_ms);
        if is_new && report_on {
            let crash = RecentCrash { fingerprint, number, learned_ms: now, times_reported: 0 };
            self.recent.push_back(crash);
        }
        is_new
    }

    /// Returns the crashes that the next heartbeat reports: those that were reported least often
    /// so far, up to a limit. Crashes that `tracker` no longer holds are left out.
    pub fn next_reports(&mut self, now: BootMs, tracker: &PoisonTracker) -> Vec<CrashReport> {
        self.drop_expired(now);
        let mut due: Vec<&mut RecentCrash> = self.recent.iter_mut().collect();
        due.sort_by_key(|crash| crash.times_reported);
        due.truncate(MAX_REPORTS_PER_HEARTBEAT);
        due.into_iter()
            .filter_map(|crash| {
                crash.times_reported += 1;
                let RecentCrash { fingerprint, number, .. } = *crash;
                let (endpoint, keep_ms) = tracker.crash(now, fingerprint, number)?;
                Some(CrashReport { fingerprint, endpoint: endpoint.clone(), number, keep_ms })
            })
            .collect()
    }

    /// Returns the number of crashes that were never reported, and resets it.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Drops the crashes that have been reported for long enough.
    fn drop_expired(&mut self, now: BootMs) {
        while self.recent.front().is_some_and(|crash| now.since(crash.learned_ms) > REPORT_MS) {
            let expired = self.recent.pop_front();
            self.dropped += u64::from(expired.is_some_and(|crash| crash.times_reported == 0));
        }
    }
}
