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
use crate::poison_segments::{SegmentTracker, SuspectRun};
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
    /// Run that may have caused the crash.
    pub run: SuspectRun,
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
    /// Segments of prompts that this VM refuses.
    pub poison_segments: Vec<PoisonRequest>,
    /// Segments of prompts that this VM does not refuse, because answers on them were completed.
    pub sound_segments: Vec<CompletedRequest>,
}

/// What is known of requests and of segments of prompts that may crash endpoints.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Requests.
    pub requests: PoisonTracker,
    /// Segments of prompts.
    pub segments: SegmentTracker,
}

impl Suspects {
    /// Refuses a segment that a peer refuses. Returns whether it was not refused before.
    pub fn refuse_segment(&mut self, now: BootMs, poison: PoisonRequest) -> bool {
        let is_new = self.segments.refuse(now, poison);
        if is_new {
            self.requests.disregard(&self.segments.explained_crashes(now));
        }
        is_new
    }

    /// Returns how long a request with this fingerprint and these segments remains refused, in
    /// milliseconds, or `None` if it is not refused.
    pub fn refused_for_ms(
        &self,
        now: BootMs,
        request: Fingerprint,
        segments: &[Fingerprint],
    ) -> Option<u64> {
        let by_segment = self.segments.refused_for_ms(now, segments);
        by_segment.or_else(|| self.requests.refused_for_ms(now, request))
    }
}

/// Result of recording a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordedCrash {
    /// Whether the crash is new to this VM.
    pub is_new: bool,
    /// Segment that is refused from now on, because the crash gave it away.
    pub poison_segment: Option<Fingerprint>,
}

/// A crash that is being reported.
#[derive(Debug)]
struct RecentCrash {
    report: CrashReport,
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
    segment_refusals: RepeatedState,
    sound_segments: RepeatedState,
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
    /// `report_on` is set.
    ///
    /// A crash that a poison segment has caused does not count against the requests that ran there.
    pub fn record(
        &mut self,
        now: BootMs,
        suspects: &mut Suspects,
        crash: CrashReport,
        report_on: bool,
    ) -> RecordedCrash {
        let CrashReport { run, endpoint, number, keep_ms } = &crash;
        let Suspects { requests, segments } = suspects;
        let crashes = [(*number, endpoint.clone())];
        let is_new = requests.record_crashes(now, run.request, crashes, *keep_ms);
        if !is_new {
            return RecordedCrash { is_new, poison_segment: None };
        }
        let poison_segment = segments.record_run(now, *number, run);
        requests.disregard(&segments.explained_crashes(now));
        if report_on {
            let crash = RecentCrash { report: crash, learned_ms: now, times_reported: 0 };
            self.recent.push_back(crash);
        }
        RecordedCrash { is_new, poison_segment }
    }

    /// Returns what the next heartbeat to `audience` reports.
    pub fn next_reports(
        &mut self,
        now: BootMs,
        suspects: &Suspects,
        audience: Audience,
    ) -> HeartbeatReports {
        let Suspects { requests, segments } = suspects;
        self.drop_expired(now);
        let poison = |(item, since_ms): (PoisonRequest, _)| (item.fingerprint, since_ms, item);
        let sound = |(item, since_ms): (CompletedRequest, _)| (item.fingerprint, since_ms, item);
        let refused = requests.refused_requests(now).map(poison);
        let completed = requests.completed_requests(now).map(sound);
        let refused_segments = segments.refused_segments(now).map(poison);
        let sound_segments = segments.sound_suspects(now).map(sound);
        HeartbeatReports {
            crashes: self.due_crashes(now, suspects, audience),
            poison_requests: self.refusals.due(now, audience, refused),
            completed_requests: self.completions.due(now, audience, completed),
            poison_segments: self.segment_refusals.due(now, audience, refused_segments),
            sound_segments: self.sound_segments.due(now, audience, sound_segments),
        }
    }

    /// Returns the crashes that were reported least often so far, up to a limit.
    fn due_crashes(
        &mut self,
        now: BootMs,
        suspects: &Suspects,
        audience: Audience,
    ) -> Vec<CrashReport> {
        let Suspects { requests, segments } = suspects;
        let mut due: Vec<&mut RecentCrash> = self.recent.iter_mut().collect();
        due.sort_by_key(|crash| crash.times_reported);
        due.truncate(MAX_CRASHES_PER_HEARTBEAT);
        let reports = due.into_iter().filter_map(|crash| {
            crash.times_reported += u32::from(audience == Audience::Contacts);
            let RecentCrash { report, learned_ms, .. } = crash;
            let counts = requests.crash(now, report.run.request, report.number).is_some();
            let keep_ms = report.keep_ms.saturating_sub(now.since(*learned_ms));
            // The peers learn from an explained crash what else it does not count against.
            (counts || segments.is_explained(now, report.number))
                .then(|| CrashReport { keep_ms, ..report.clone() })
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
