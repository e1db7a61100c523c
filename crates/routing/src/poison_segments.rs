//! Detection of poison segments: parts of a prompt that crash each engine which begins to write an
//! answer on them, whatever else the prompt contains.
//!
//! Load pattern: requests with the same poison segment arrive at all VMs, no two of them alike.
//! Sound requests share the customer and the other segments, run beside them and end with the same
//! crashes.
//!
//! When an engine crashes, the shared segments of the runs there become suspects. A run narrows the
//! search: an engine crashes as it begins to write, so a run that has been writing for a while did
//! not cause the crash, and a run that still waits for its answer is a weak suspect. A segment is
//! sound if an answer on it was completed or went on; only crashes after that count against it.
//!
//! The crashes of a segment that is refused are explained and count against nothing else. Of two
//! segments that explain the same crashes, the deeper one is refused first: prompts share their
//! beginnings, and the other requests with the same beginning are sound. The reports of the runs on
//! an engine come one after the other and some are lost, so a segment is spared while a deeper one
//! explains half of its crashes, and the choice is revised if another one turns out to explain more.
//! A segment that was sound lately does neither.

use crate::poison::{CompletedRequest, PoisonRequest};
use gypsumchute_units::{BootMs, Fingerprint};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Time after the first event of a run from which the run has not caused a crash, in milliseconds.
pub const BEGINNING_MS: u64 = 1_000;
/// Number of crashes as an answer began after which a segment is refused.
const MAX_CRASHES: usize = 3;
/// Number of crashes, of any kind, after which a segment is refused. Also the number of crashes as
/// an answer began for a segment that was sound before.
const MAX_DOUBTFUL_CRASHES: usize = 5;
/// Time between two crashes below which they may have a common cause other than a request, in
/// milliseconds.
const MIN_CRASH_GAP_MS: u64 = 100;
/// Minimum number of crashes that two segments have in common if one explains those of the other.
const MIN_COMMON_CRASHES: usize = 2;
/// Minimum number of different requests that a segment must have crashed engines with. The cause of
/// crashes under a single request is the request.
const MIN_REQUESTS: usize = 2;
/// Time for which a crash counts against a segment, and for which a segment is refused, in
/// milliseconds.
const RETENTION_MS: u64 = 600_000;
/// Time for which a segment is known to have been sound, in milliseconds.
const SOUND_MS: u64 = 60_000;
/// Maximum number of crashes that are remembered. A decision needs a few of them, and each report
/// goes through all.
const MAX_CRASH_RECORDS: usize = 64;
/// Maximum number of segments that are known to be sound.
const MAX_SOUND_SEGMENTS: usize = 4_096;
/// Maximum number of segments that are refused.
pub const MAX_REFUSED_SEGMENTS: usize = 1_024;

/// A run that may have crashed its endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectRun {
    /// Request that ran.
    pub request: Fingerprint,
    /// Shared segments of the prompt, in order, without those that did not cause the crash.
    pub segments: Vec<Fingerprint>,
    /// Whether the endpoint had begun to answer.
    pub answer_began: bool,
}

/// A crash and the segments that may have caused it.
#[derive(Debug)]
struct SuspectedCrash {
    /// When this VM first learned of the crash.
    seen_ms: BootMs,
    suspects: BTreeMap<Fingerprint, Suspect>,
}

/// A segment that may have caused a crash.
#[derive(Debug, Default)]
struct Suspect {
    /// Position in the prompt.
    depth: usize,
    /// Whether the engine had begun an answer on the segment.
    answer_began: bool,
    /// Requests with the segment that ran on the engine.
    requests: BTreeSet<Fingerprint>,
}

/// What speaks against a segment.
#[derive(Debug, Default)]
struct Evidence {
    depth: usize,
    /// Crashes as an answer on the segment began.
    at_beginning: CrashCount,
    /// Crashes of any kind.
    in_all: CrashCount,
    requests: BTreeSet<Fingerprint>,
}

/// Counts crashes in the order of time. Several engines that are lost at once, as in a power
/// failure, count as one.
#[derive(Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct CrashCount {
    count: usize,
    last_ms: Option<BootMs>,
}

impl CrashCount {
    fn add(&mut self, seen_ms: BootMs) {
        if self.last_ms.is_none_or(|last_ms| seen_ms.since(last_ms) >= MIN_CRASH_GAP_MS) {
            self.count += 1;
            self.last_ms = Some(seen_ms);
        }
    }
}

impl Evidence {
    /// Reports whether the segment is refused. `was_sound` tells whether it was sound before the
    /// crashes.
    fn is_sufficient(&self, was_sound: bool) -> bool {
        let at_beginning = match was_sound {
            true => self.at_beginning.count >= MAX_DOUBTFUL_CRASHES,
            false => self.at_beginning.count >= MAX_CRASHES,
        };
        let in_all = !was_sound && self.in_all.count >= MAX_DOUBTFUL_CRASHES;
        self.requests.len() >= MIN_REQUESTS && (at_beginning || in_all)
    }
}

/// Crashes that a segment may have caused.
#[derive(Debug, Default)]
struct CrashSet {
    /// Position of the segment in the prompt.
    depth: usize,
    /// Numbers of the crashes.
    crashes: BTreeSet<u64>,
    requests: BTreeSet<Fingerprint>,
}

impl CrashSet {
    /// Reports whether this segment is deeper in the prompt than the other one and explains half of
    /// its crashes.
    fn may_explain_above(&self, other: &CrashSet) -> bool {
        let common = self.crashes.intersection(&other.crashes).count();
        self.depth > other.depth
            && common >= MIN_COMMON_CRASHES
            && 2 * common >= other.crashes.len()
    }

    /// Reports whether this segment is the more likely cause of the crashes of the other one, which
    /// is refused.
    fn explains_better_than(&self, other: &CrashSet) -> bool {
        // With fewer crashes, this VM may know too little of what a peer has refused.
        let is_known = other.crashes.len() >= MAX_CRASHES && self.crashes.len() >= MAX_CRASHES;
        let explains_more = self.depth == other.depth
            && self.crashes.len() > other.crashes.len()
            && self.crashes.is_superset(&other.crashes);
        is_known
            && self.requests.len() >= MIN_REQUESTS
            && (explains_more || self.may_explain_above(other))
    }
}

/// A segment that is refused.
#[derive(Debug, Clone, Copy)]
struct RefusedSegment {
    since_ms: BootMs,
    until_ms: BootMs,
}

/// Segments of prompts, by what is known of them.
#[derive(Debug, Default)]
pub struct SegmentTracker {
    /// Crashes by number.
    crashes: BTreeMap<u64, SuspectedCrash>,
    /// When each segment was last known to be sound.
    sound: BTreeMap<Fingerprint, BootMs>,
    refused: BTreeMap<Fingerprint, RefusedSegment>,
}

impl SegmentTracker {
    /// Records a run on an engine at the crash with this number. Returns the segment that is refused from now on, if
    /// the crash gives one away.
    pub fn record_run(
        &mut self,
        now: BootMs,
        number: u64,
        run: &SuspectRun,
    ) -> Option<Fingerprint> {
        if run.segments.is_empty() {
            return None;
        }
        self.make_room(now);
        let crash = self
            .crashes
            .entry(number)
            .or_insert_with(|| SuspectedCrash { seen_ms: now, suspects: BTreeMap::new() });
        for (depth, segment) in run.segments.iter().enumerate() {
            let suspect = crash.suspects.entry(*segment).or_default();
            suspect.depth = suspect.depth.max(depth);
            suspect.answer_began |= run.answer_began;
            suspect.requests.insert(run.request);
        }
        let cause = self.revise_refusals(now).or_else(|| self.find_cause(now, &run.segments))?;
        let poison = PoisonRequest { fingerprint: cause, refused_for_ms: RETENTION_MS };
        self.refuse(now, poison).then_some(cause)
    }

    /// Ends the refusal of a segment if another one explains its crashes better, and returns the
    /// other one.
    fn revise_refusals(&mut self, now: BootMs) -> Option<Fingerprint> {
        if self.refused.is_empty() {
            return None;
        }
        let crash_sets = self.crash_sets(|suspect| suspect.answer_began);
        let (wrong, cause) = self.refused.keys().find_map(|refused| {
            let known = crash_sets.get(refused)?;
            let better = crash_sets.iter().filter(|(segment, other)| {
                self.refusal(now, **segment).is_none()
                    && self.sound_since(now, **segment).is_none()
                    && other.explains_better_than(known)
            });
            let best = better.max_by_key(|(_, other)| (other.crashes.len(), other.depth));
            best.map(|(cause, _)| (*refused, *cause))
        })?;
        self.refused.remove(&wrong);
        self.set_sound(now, wrong, now);
        Some(cause)
    }

    /// Returns the crashes of each segment after it was last sound, as far as `counts` accepts the
    /// suspect.
    fn crash_sets(&self, counts: impl Fn(&Suspect) -> bool) -> BTreeMap<Fingerprint, CrashSet> {
        let mut sets: BTreeMap<Fingerprint, CrashSet> = BTreeMap::new();
        for (number, crash) in &self.crashes {
            for (segment, suspect) in crash.suspects.iter().filter(|(_, suspect)| counts(suspect)) {
                if self.sound.get(segment).is_none_or(|sound_ms| *sound_ms < crash.seen_ms) {
                    let set = sets.entry(*segment).or_default();
                    set.depth = set.depth.max(suspect.depth);
                    set.crashes.insert(*number);
                    set.requests.extend(&suspect.requests);
                }
            }
        }
        sets
    }

    /// Returns the one of these segments that explains crashes best, if the evidence against it is
    /// sufficient.
    fn find_cause(&self, now: BootMs, segments: &[Fingerprint]) -> Option<Fingerprint> {
        let sufficient = segments.iter().filter_map(|segment| {
            let was_sound = self.sound_since(now, *segment).is_some();
            let evidence = self.evidence(now, *segment);
            evidence.is_sufficient(was_sound).then_some((*segment, was_sound, evidence))
        });
        let sufficient: Vec<_> = sufficient.collect();
        if sufficient.is_empty() {
            return None;
        }
        let crash_sets = self.crash_sets(|_| true);
        // A segment that was sound lately is unlikely to be the cause, so it spares no other.
        let spares = |segment: &Fingerprint, known: &CrashSet, was_sound: bool| {
            let is_likely = was_sound || self.sound_since(now, *segment).is_none();
            is_likely && crash_sets.get(segment).is_some_and(|set| set.may_explain_above(known))
        };
        let candidates = sufficient.into_iter().filter(|(segment, was_sound, _)| {
            let known = crash_sets.get(segment);
            let mut others = crash_sets.keys();
            known.is_some_and(|known| !others.any(|other| spares(other, known, *was_sound)))
        });
        let best = candidates.max_by_key(|(_, was_sound, evidence)| {
            let Evidence { at_beginning, in_all, depth, .. } = evidence;
            (Reverse(*was_sound), at_beginning.count, in_all.count, *depth)
        });
        best.map(|(segment, ..)| segment)
    }

    /// Returns what speaks against the segment: the crashes that nothing explains and after which it
    /// was not sound.
    fn evidence(&self, now: BootMs, segment: Fingerprint) -> Evidence {
        let sound_ms = self.sound.get(&segment);
        let crashes = self.crashes.iter().filter_map(|(number, crash)| {
            let suspect = crash.suspects.get(&segment)?;
            let was_sound_later = sound_ms.is_some_and(|sound_ms| *sound_ms >= crash.seen_ms);
            let counts = !was_sound_later && !self.is_explained(now, *number);
            counts.then_some((crash.seen_ms, suspect))
        });
        let mut crashes: Vec<_> = crashes.collect();
        crashes.sort_by_key(|(seen_ms, _)| *seen_ms);
        let mut evidence = Evidence::default();
        for (seen_ms, suspect) in crashes {
            evidence.depth = evidence.depth.max(suspect.depth);
            evidence.in_all.add(seen_ms);
            if suspect.answer_began {
                evidence.at_beginning.add(seen_ms);
            }
            evidence.requests.extend(&suspect.requests);
        }
        evidence
    }

    /// Reports whether a refused segment has caused the crash with this number.
    pub fn is_explained(&self, now: BootMs, number: u64) -> bool {
        let crash = self.crashes.get(&number);
        crash.is_some_and(|crash| {
            crash.suspects.keys().any(|segment| self.refusal(now, *segment).is_some())
        })
    }

    /// Returns the numbers of the crashes that refused segments have caused.
    pub fn explained_crashes(&self, now: BootMs) -> BTreeSet<u64> {
        self.crashes.keys().copied().filter(|number| self.is_explained(now, *number)).collect()
    }

    /// Refuses a segment. Returns whether it was not refused before. A segment that was sound after
    /// the crashes that this VM knows of is not refused.
    pub fn refuse(&mut self, now: BootMs, poison: PoisonRequest) -> bool {
        let segment = poison.fingerprint;
        if self.refusal(now, segment).is_some() || self.is_defended(now, segment) {
            return false;
        }
        if self.refused.len() >= MAX_REFUSED_SEGMENTS {
            self.refused.retain(|_, refusal| refusal.until_ms > now);
            let oldest = self.refused.iter().min_by_key(|(_, refusal)| refusal.until_ms);
            if let Some(segment) = oldest.map(|(segment, _)| *segment) {
                self.refused.remove(&segment);
            }
        }
        let until_ms = now + poison.refused_for_ms.min(RETENTION_MS);
        self.refused.insert(segment, RefusedSegment { since_ms: now, until_ms });
        true
    }

    /// Reports whether the segment was sound lately and few crashes since then speak against it.
    fn is_defended(&self, now: BootMs, segment: Fingerprint) -> bool {
        self.sound_since(now, segment).is_some() && !self.evidence(now, segment).is_sufficient(true)
    }

    /// Records that answers on these segments were completed or went on.
    pub fn on_sound(&mut self, now: BootMs, segments: &[Fingerprint]) {
        for segment in segments {
            self.set_sound(now, *segment, now);
        }
    }

    /// Records what a peer knows of a segment that is sound. Returns whether the segment is
    /// therefore no longer refused.
    pub fn on_sound_at_peer(&mut self, now: BootMs, sound: CompletedRequest) -> bool {
        let CompletedRequest { fingerprint: segment, valid_for_ms } = sound;
        let age_ms = SOUND_MS.saturating_sub(valid_for_ms);
        let sound_ms = BootMs(now.0.saturating_sub(age_ms));
        let was_refused = self.refusal(now, segment).is_some();
        self.set_sound(now, segment, sound_ms);
        was_refused && self.refusal(now, segment).is_none()
    }

    /// Records that the segment was sound at `sound_ms`, and ends its refusal if that is newer.
    fn set_sound(&mut self, now: BootMs, segment: Fingerprint, sound_ms: BootMs) {
        if self.sound.len() >= MAX_SOUND_SEGMENTS && !self.sound.contains_key(&segment) {
            let oldest = self.sound.iter().min_by_key(|(_, sound_ms)| **sound_ms);
            if let Some(segment) = oldest.map(|(segment, _)| *segment) {
                self.sound.remove(&segment);
            }
        }
        let known = self.sound.entry(segment).or_insert(sound_ms);
        *known = sound_ms.max(*known);
        if self.refused.contains_key(&segment) && self.is_defended(now, segment) {
            self.refused.remove(&segment);
        }
    }

    /// Returns when the segment was last sound, unless that is too long ago.
    fn sound_since(&self, now: BootMs, segment: Fingerprint) -> Option<BootMs> {
        self.sound.get(&segment).copied().filter(|sound_ms| now.since(*sound_ms) < SOUND_MS)
    }

    /// Returns the refusal of the segment that is in force.
    fn refusal(&self, now: BootMs, segment: Fingerprint) -> Option<&RefusedSegment> {
        self.refused.get(&segment).filter(|refusal| refusal.until_ms > now)
    }

    /// Returns how long requests with these segments are still refused, in milliseconds, or `None`
    /// if none of the segments is refused.
    pub fn refused_for_ms(&self, now: BootMs, segments: &[Fingerprint]) -> Option<u64> {
        let refusals = segments.iter().filter_map(|segment| self.refusal(now, *segment));
        refusals.map(|refusal| now.until(refusal.until_ms)).max()
    }

    /// Returns the segments that are refused, by fingerprint, with the time since when.
    pub fn refused_segments(&self, now: BootMs) -> impl Iterator<Item = (PoisonRequest, BootMs)> {
        let refused = self.refused.iter().filter(move |(_, refusal)| refusal.until_ms > now);
        refused.map(move |(segment, refusal)| {
            let refused_for_ms = now.until(refusal.until_ms);
            (PoisonRequest { fingerprint: *segment, refused_for_ms }, refusal.since_ms)
        })
    }

    /// Returns the suspects that are known to be sound, by fingerprint, with the time since when, so
    /// that peers don't refuse them.
    pub fn sound_suspects(&self, now: BootMs) -> impl Iterator<Item = (CompletedRequest, BootMs)> {
        let recent = self.crashes.values().filter(|crash| now.since(crash.seen_ms) < SOUND_MS);
        let suspects: BTreeSet<_> = recent.flat_map(|crash| crash.suspects.keys()).collect();
        suspects.into_iter().filter_map(move |segment| {
            let sound_ms = self.sound_since(now, *segment)?;
            let valid_for_ms = SOUND_MS.saturating_sub(now.since(sound_ms));
            let fact = CompletedRequest { fingerprint: *segment, valid_for_ms };
            self.is_defended(now, *segment).then_some((fact, sound_ms))
        })
    }

    /// Drops crashes that are too old to count, and the oldest one if there are too many.
    fn make_room(&mut self, now: BootMs) {
        self.crashes.retain(|_, crash| now.since(crash.seen_ms) < RETENTION_MS);
        if self.crashes.len() >= MAX_CRASH_RECORDS {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.seen_ms);
            if let Some(number) = oldest.map(|(number, _)| *number) {
                self.crashes.remove(&number);
            }
        }
    }
}
