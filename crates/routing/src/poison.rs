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

use gypsumchute_units::rendezvous::hash64;
use gypsumchute_units::{BootMs, EndpointId, Fingerprint};
use std::collections::BTreeMap;

/// Default number of crashes after which a request is refused.
pub const DEFAULT_MAX_CRASHES: usize = 2;

/// Minimum time between two crashes of an endpoint, in milliseconds. A crashed endpoint takes some
/// seconds to start again, so failures that are closer together belong to one crash.
const MIN_RESTART_MS: u64 = 3_000;

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
    /// When the request was found to be poison, or a peer said so.
    refused_since_ms: Option<BootMs>,
    expires_ms: BootMs,
}

/// A request that all VMs refuse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoisonRequest {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Time for which the request is still refused, in milliseconds.
    pub refused_for_ms: u64,
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
            record.crashes.entry(number).or_insert(Crash { endpoint, seen_ms: now });
        }
        if record.crashes.len() >= max_crashes {
            record.refused_since_ms.get_or_insert(now);
        }
        record.crashes.len() > previous_count
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
        if record.refused_since_ms.is_some() {
            return false;
        }
        record.refused_since_ms = Some(now);
        record.expires_ms = record.expires_ms.max(now + poison.refused_for_ms);
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
        record.refused_since_ms.map(|_| now.until(record.expires_ms))
    }

    /// Returns the requests that are refused, by fingerprint, with the time since when.
    pub fn refused_requests(&self, now: BootMs) -> impl Iterator<Item = (PoisonRequest, BootMs)> {
        self.records.iter().filter_map(move |(fingerprint, record)| {
            let since_ms = record.refused_since_ms.filter(|_| record.expires_ms > now)?;
            let refused_for_ms = now.until(record.expires_ms);
            Some((PoisonRequest { fingerprint: *fingerprint, refused_for_ms }, since_ms))
        })
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
        }
        self.records.entry(fingerprint).or_insert_with(|| CrashRecord {
            crashes: BTreeMap::new(),
            refused_since_ms: None,
            expires_ms: now,
        })
    }

    /// Drops expired records.
    pub fn expire(&mut self, now: BootMs) {
        self.records.retain(|_, record| record.expires_ms > now);
    }
}
