//! Detection of poison requests, which crash the endpoints that run them.
//!
//! A request is identified by its fingerprint, a hash of the route and the body. When an endpoint
//! crashes, every request that was running on the endpoint becomes a suspect. Suspects run on
//! different endpoints, so that the next crash shows which of them is the cause. After a maximum
//! number of crashes, the request is refused by all VMs.
//!
//! VMs report crashes to each other when they happen. A VM that is down or cut off at that time
//! misses the reports, so the refusal itself is part of the state that VMs keep repeating to each
//! other for as long as it is in force.
//!
//! A connection may also break because of the network. A request that many callers send is bound to
//! lose three connections some time, but endpoints complete it as well, which a poison request
//! never is. A completed request is therefore not refused for a while, and VMs tell each other.

use gypsumchute_units::rendezvous::hash64;
use gypsumchute_units::{BootMs, EndpointId, Fingerprint};
use std::collections::{BTreeMap, BTreeSet};

/// Default number of crashes after which a request is refused.
pub const DEFAULT_MAX_CRASHES: usize = 2;

/// Minimum time between two crashes of an endpoint, in milliseconds. A crashed endpoint takes some
/// seconds to start again, so failures that are closer together belong to one crash.
const MIN_RESTART_MS: u64 = 3_000;

/// Maximum number of requests with a record, which limits the memory if many endpoints fail.
pub const MAX_RECORDS: usize = 4_096;
/// Time for which a request is not refused after an endpoint has completed it, in milliseconds.
const COMPLETION_MS: u64 = 60_000;
/// Minimum extension of a completion that is taken over from a peer, in milliseconds. Smaller ones
/// come from the time that messages take.
const MIN_EXTENSION_MS: u64 = 1_000;

/// A crash of an endpoint.
#[derive(Debug)]
struct Crash {
    endpoint: EndpointId,
    /// When this VM first learned of the crash.
    seen_ms: BootMs,
}

/// Crashes that one request may have caused.
#[derive(Debug)]
struct CrashRecord {
    /// Crashes by number.
    crashes: BTreeMap<u64, Crash>,
    /// Numbers of the crashes before the last completion.
    disproved: BTreeSet<u64>,
    /// When the request was found to be poison, or a peer said so.
    refused_since_ms: Option<BootMs>,
    completion: Option<Completion>,
    expires_ms: BootMs,
}

/// The last time that an endpoint completed a request.
#[derive(Debug, Clone, Copy)]
struct Completion {
    /// When this VM learned of it.
    since_ms: BootMs,
    until_ms: BootMs,
}

impl CrashRecord {
    /// Returns the last completion, while it keeps the request from being refused.
    fn completion(&self, now: BootMs) -> Option<Completion> {
        self.completion.filter(|completion| completion.until_ms > now)
    }

    /// Discards the crashes so far, because an endpoint has completed the request.
    fn disprove(&mut self, now: BootMs, until_ms: BootMs) {
        self.disproved.extend(std::mem::take(&mut self.crashes).into_keys());
        self.refused_since_ms = None;
        self.completion = Some(Completion { since_ms: now, until_ms });
        self.expires_ms = self.expires_ms.max(until_ms);
    }
}

/// A request that all VMs refuse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoisonRequest {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Time for which the request is still refused, in milliseconds.
    pub refused_for_ms: u64,
}

/// A request that is not poison, because an endpoint has completed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompletedRequest {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Time for which the request is not refused, in milliseconds.
    pub valid_for_ms: u64,
}

/// Crashes of endpoints, by the request that may have caused them.
#[derive(Debug)]
pub struct PoisonTracker {
    max_crashes: usize,
    /// Records by the fingerprint of the request.
    records: BTreeMap<Fingerprint, CrashRecord>,
}

impl Default for PoisonTracker {
    fn default() -> Self {
        PoisonTracker::new(DEFAULT_MAX_CRASHES)
    }
}

impl PoisonTracker {
    /// Creates a tracker that refuses a request after `max_crashes` crashes.
    pub fn new(max_crashes: usize) -> Self {
        PoisonTracker { max_crashes, records: BTreeMap::new() }
    }

    /// Records crashes of endpoints that ran the request, and keeps the record for at least
    /// `keep_ms` milliseconds. Each crash has a unique number, so that a crash reported twice
    /// counts once. Returns whether any crash is new.
    pub fn record_crashes(
        &mut self,
        now: BootMs,
        fingerprint: Fingerprint,
        crashes: impl IntoIterator<Item = (u64, EndpointId)>,
        keep_ms: u64,
    ) -> bool {
        let max_crashes = self.max_crashes;
        let record = self.record_for_update(now, fingerprint);
        record.expires_ms = record.expires_ms.max(now + keep_ms);
        let previous_count = record.crashes.len();
        for (number, endpoint) in crashes {
            if !record.disproved.contains(&number) {
                record.crashes.entry(number).or_insert(Crash { endpoint, seen_ms: now });
            }
        }
        if record.crashes.len() >= max_crashes {
            record.refused_since_ms.get_or_insert(now);
        }
        record.crashes.len() > previous_count
    }

    /// Discards these crashes, because something else has caused them. The requests that are refused
    /// only because of them are accepted again.
    pub fn disregard(&mut self, numbers: &BTreeSet<u64>) {
        if numbers.is_empty() {
            return;
        }
        for record in self.records.values_mut() {
            let known = record.crashes.len();
            record.crashes.retain(|number, _| !numbers.contains(number));
            if record.crashes.len() == known {
                continue;
            }
            record.disproved.extend(numbers);
            if record.crashes.len() < self.max_crashes {
                record.refused_since_ms = None;
            }
        }
    }

    /// Returns the number of a crash that this VM observes at `endpoint`, which was started at
    /// `started_wall_ms`.
    ///
    /// Several copies of a request may run on one endpoint, through several VMs. All of them derive
    /// the same number for its crash, so that the crash counts once.
    pub fn crash_number(
        &self,
        now: BootMs,
        fingerprint: Fingerprint,
        endpoint: &EndpointId,
        started_wall_ms: Option<u64>,
    ) -> u64 {
        let record = self.record(now, fingerprint);
        let known = record.into_iter().flat_map(|record| &record.crashes);
        let known: Vec<_> = known.filter(|(_, crash)| crash.endpoint == *endpoint).collect();
        let same = known.iter().find(|(_, crash)| now.since(crash.seen_ms) < MIN_RESTART_MS);
        same.map_or_else(
            || {
                let started = started_wall_ms.unwrap_or_default().to_le_bytes();
                let earlier_crashes = (known.len() as u64).to_le_bytes();
                hash64(&[endpoint.as_str().as_bytes(), &started, &earlier_crashes])
            },
            |(number, _)| **number,
        )
    }

    /// Refuses a request that a peer refuses. Returns whether the request was not refused before.
    ///
    /// If it was, the time until which it is refused stays the same: otherwise, VMs would extend it
    /// for each other without end, by the time that their messages take.
    pub fn refuse(&mut self, now: BootMs, poison: PoisonRequest) -> bool {
        let record = self.record_for_update(now, poison.fingerprint);
        if record.refused_since_ms.is_some() || record.completion(now).is_some() {
            return false;
        }
        record.refused_since_ms = Some(now);
        record.expires_ms = record.expires_ms.max(now + poison.refused_for_ms);
        true
    }

    /// Records that an endpoint has completed the request.
    pub fn on_completed(&mut self, now: BootMs, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.disprove(now, now + COMPLETION_MS);
        }
    }

    /// Records that an endpoint has completed a request through a peer. Returns whether this is
    /// news to this VM.
    pub fn on_completed_by_peer(&mut self, now: BootMs, completed: CompletedRequest) -> bool {
        let Some(record) = self.records.get_mut(&completed.fingerprint) else { return false };
        let until_ms = now + completed.valid_for_ms.min(COMPLETION_MS);
        let known_until_ms = record.completion(now).map_or(now, |completion| completion.until_ms);
        if until_ms <= known_until_ms + MIN_EXTENSION_MS {
            return false;
        }
        record.disprove(now, until_ms);
        true
    }

    /// Reports whether an endpoint crashed recently while it ran the request.
    pub fn is_suspect(&self, now: BootMs, fingerprint: Fingerprint) -> bool {
        self.record(now, fingerprint).is_some()
    }

    /// Returns how long the request remains refused, in milliseconds, or `None` if the request is
    /// not refused.
    pub fn refused_for_ms(&self, now: BootMs, fingerprint: Fingerprint) -> Option<u64> {
        let record = self.record(now, fingerprint)?;
        record.refused_since_ms.filter(|_| record.completion(now).is_none())?;
        Some(now.until(record.expires_ms))
    }

    /// Returns the requests that are refused, by fingerprint, with the time since when.
    pub fn refused_requests(&self, now: BootMs) -> impl Iterator<Item = (PoisonRequest, BootMs)> {
        self.records.iter().filter_map(move |(fingerprint, record)| {
            let refused_for_ms = self.refused_for_ms(now, *fingerprint)?;
            let poison = PoisonRequest { fingerprint: *fingerprint, refused_for_ms };
            Some((poison, record.refused_since_ms?))
        })
    }

    /// Returns the completed requests that peers may refuse because of the crashes before, by
    /// fingerprint, with the time since when.
    pub fn completed_requests(
        &self,
        now: BootMs,
    ) -> impl Iterator<Item = (CompletedRequest, BootMs)> {
        // A peer may know of one crash more than this VM.
        let is_contested = |record: &CrashRecord| record.disproved.len() + 1 >= self.max_crashes;
        self.records.iter().filter(move |(_, record)| is_contested(record)).filter_map(
            move |(fingerprint, record)| {
                let Completion { since_ms, until_ms } = record.completion(now)?;
                let valid_for_ms = now.until(until_ms);
                Some((CompletedRequest { fingerprint: *fingerprint, valid_for_ms }, since_ms))
            },
        )
    }

    /// Returns the number of known crashes of the request.
    pub fn crash_count(&self, now: BootMs, fingerprint: Fingerprint) -> usize {
        self.record(now, fingerprint).map_or(0, |record| record.crashes.len())
    }

    /// Returns the endpoint of the crash with this number, and how much longer the crash counts
    /// against the request, in milliseconds.
    pub fn crash(
        &self,
        now: BootMs,
        fingerprint: Fingerprint,
        number: u64,
    ) -> Option<(&EndpointId, u64)> {
        let record = self.record(now, fingerprint)?;
        Some((&record.crashes.get(&number)?.endpoint, now.until(record.expires_ms)))
    }

    /// Returns the known crashes of the request by number, and how much longer the record is kept,
    /// in milliseconds.
    pub fn crashes(
        &self,
        now: BootMs,
        fingerprint: Fingerprint,
    ) -> (BTreeMap<u64, EndpointId>, u64) {
        let Some(record) = self.record(now, fingerprint) else { return Default::default() };
        let crashes = record.crashes.iter();
        let crashes = crashes.map(|(number, crash)| (*number, crash.endpoint.clone())).collect();
        (crashes, now.until(record.expires_ms))
    }

    /// Returns the record of the request, unless the record has expired.
    fn record(&self, now: BootMs, fingerprint: Fingerprint) -> Option<&CrashRecord> {
        self.records.get(&fingerprint).filter(|record| record.expires_ms > now)
    }

    /// Returns the record of the request, or a new one if there is none or it has expired.
    fn record_for_update(&mut self, now: BootMs, fingerprint: Fingerprint) -> &mut CrashRecord {
        if self.record(now, fingerprint).is_none() {
            self.records.remove(&fingerprint);
            self.make_room();
        }
        self.records.entry(fingerprint).or_insert_with(|| CrashRecord {
            crashes: BTreeMap::new(),
            disproved: BTreeSet::new(),
            refused_since_ms: None,
            completion: None,
            expires_ms: now,
        })
    }

    /// Drops a record if the maximum number is reached: one that is not refused, if any, and among
    /// these the one that expires first.
    fn make_room(&mut self) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let records = self.records.iter();
        let least = records.min_by_key(|(_, r)| (r.refused_since_ms.is_some(), r.expires_ms));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }

    /// Returns the number of requests with a record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Reports whether no request has a record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops expired records.
    pub fn expire(&mut self, now: BootMs) {
        self.records.retain(|_, record| record.expires_ms > now);
    }
}
