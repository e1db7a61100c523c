//! Chooses what a VM tells its peers about crashes of endpoints and poison requests, so that all
//! VMs count the crashes of a request together and refuse it together.
//!
//! Load pattern: callers send a poison request again and again, each time to another VM, in any
//! zone. No VM observes more than one or two of its crashes.
//!
//! A VM reports a crash that it observed to the peers it exchanges heartbeats with. In a large
//! fleet these are the VMs of its own zone, so the gateways, which exchange heartbeats with other
//! zones, pass on what they learn. A report is repeated for a few heartbeats, because datagrams may
//! be lost. The number of reports in a heartbeat is limited, so that the failure of many endpoints
//! at once does not flood the fleet.
//!
//! Every VM repeats the requests that it refuses, first in each heartbeat and then at an interval,
//! for as long as it refuses them. A VM that starts, wakes or is reconnected after the crashes
//! learns of the refusal from any peer. It repeats the requests that endpoints have completed in
//! the same way.

use crate::poison::{CompletedRequest, PoisonRequest, PoisonTracker};
use gypsumchute_units::{BootMs, EndpointId, Fingerprint};
use std::collections::VecDeque;

/// Time for which a crash, a new refusal or a new completion is repeated in each heartbeat, in
/// milliseconds: the duration of several heartbeats.
pub const REPORT_MS: u64 = 2_500;
/// Interval at which all refusals and completions are repeated, in milliseconds. All VMs must know
/// a refusal within 3 s once they can reach each other.
const REPEAT_INTERVAL_MS: u64 = 2_000;
/// Maximum number of crashes in a heartbeat. With about 40 bytes each, they fit into a datagram
/// next to the loads of the busiest VM.
const MAX_CRASHES_PER_HEARTBEAT: usize = 24;
/// Maximum number of refusals, and of completions, in a heartbeat, of about 15 bytes each.
const MAX_REPEATED_PER_HEARTBEAT: usize = 32;

/// A crash of an endpoint, as VMs report it to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Request that ran on the endpoint.
    pub fingerprint: Fingerprint,
    /// Endpoint that crashed.
    pub endpoint: EndpointId,
    /// Identifies the crash, so that repeated reports are counted once.
    pub number: u64,
    /// Time for which the crash still counts against the request, in milliseconds.
    pub keep_ms: u64,
}

/// Receivers of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// The peers that this VM exchanges heartbeats with.
    Contacts,
    /// A single VM that was unknown or silent until now.
    Newcomer,
}

/// What a heartbeat tells about crashes.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct HeartbeatReports {
    /// Crashes of endpoints.
    pub crashes: Vec<CrashReport>,
    /// Requests that this VM refuses.
    pub poison_requests: Vec<PoisonRequest>,
    /// Requests that this VM does not refuse, because endpoints have completed them.
    pub completed_requests: Vec<CompletedRequest>,
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

/// The crashes and refusals that a VM reports to its peers.
#[derive(Debug, Default)]
pub struct CrashReports {
    /// Crashes to report, oldest first.
    recent: VecDeque<RecentCrash>,
    /// Number of crashes that were never reported, because the heartbeats were full.
    dropped: u64,
    refusals: RepeatedState,
    completions: RepeatedState,
}

/// Decides when to repeat facts that stay in force for a while, each about one request.
#[derive(Debug, Default)]
struct RepeatedState {
    /// When all facts are repeated next; `None` until the first heartbeat.
    repeat_ms: Option<BootMs>,
    /// Request that was repeated last; the next repetition continues behind it.
    last: Option<Fingerprint>,
}

impl RepeatedState {
    /// Returns the facts that are new, and at each interval the next ones of all facts. A newcomer
    /// receives old ones in any case. `facts` are ordered by fingerprint and state since when this
    /// VM knows them.
    fn due<T>(
        &mut self,
        now: BootMs,
        audience: Audience,
        facts: impl Iterator<Item = (Fingerprint, BootMs, T)>,
    ) -> Vec<T> {
        let is_new = |since_ms: BootMs| now.since(since_ms) <= REPORT_MS;
        let (new, old): (Vec<_>, Vec<_>) = facts.partition(|(_, since_ms, _)| is_new(*since_ms));
        let repeats_all = self.repeat_ms.is_none_or(|due_ms| due_ms <= now);
        let old = match audience {
            Audience::Newcomer => old,
            Audience::Contacts if repeats_all => {
                self.repeat_ms = Some(now + REPEAT_INTERVAL_MS);
                let (next, first): (Vec<_>, Vec<_>) =
                    old.into_iter().partition(|(request, ..)| Some(*request) > self.last);
                let room = MAX_REPEATED_PER_HEARTBEAT.saturating_sub(new.len());
                let old: Vec<_> = next.into_iter().chain(first).take(room).collect();
                self.last = old.last().map(|(request, ..)| *request);
                old
            }
            Audience::Contacts => Vec::new(),
        };
        let due = new.into_iter().chain(old).take(MAX_REPEATED_PER_HEARTBEAT);
        due.map(|(_, _, fact)| fact).collect()
    }
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

    /// Returns what the next heartbeat to `audience` reports.
    pub fn next_reports(
        &mut self,
        now: BootMs,
        tracker: &PoisonTracker,
        audience: Audience,
    ) -> HeartbeatReports {
        self.drop_expired(now);
        let crashes = self.due_crashes(now, tracker, audience);
        let refused = tracker.refused_requests(now);
        let refused = refused.map(|(poison, since_ms)| (poison.fingerprint, since_ms, poison));
        let completed = tracker.completed_requests(now);
        let completed = completed.map(|(item, since_ms)| (item.fingerprint, since_ms, item));
        HeartbeatReports {
            crashes,
            poison_requests: self.refusals.due(now, audience, refused),
            completed_requests: self.completions.due(now, audience, completed),
        }
    }

    /// Returns the crashes that were reported least often so far, up to a limit.
    fn due_crashes(
        &mut self,
        now: BootMs,
        tracker: &PoisonTracker,
        audience: Audience,
    ) -> Vec<CrashReport> {
        let mut due: Vec<&mut RecentCrash> = self.recent.iter_mut().collect();
        due.sort_by_key(|crash| crash.times_reported);
        due.truncate(MAX_CRASHES_PER_HEARTBEAT);
        let reports = due.into_iter().filter_map(|crash| {
            crash.times_reported += u32::from(audience == Audience::Contacts);
            let RecentCrash { fingerprint, number, .. } = *crash;
            let (endpoint, keep_ms) = tracker.crash(now, fingerprint, number)?;
            Some(CrashReport { fingerprint, endpoint: endpoint.clone(), number, keep_ms })
        });
        reports.collect()
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
