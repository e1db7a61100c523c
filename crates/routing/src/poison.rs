//! Detection of poison requests, which crash the endpoints that run them.
//!
//! A request is identified by its fingerprint, a hash of the route and the body. When an endpoint
//! crashes, every request that was running on the endpoint becomes a suspect. Suspects run on
//! different endpoints, so that the next crash shows which of them is the cause. After a maximum
//! number of crashes, the request is refused by all VMs, which learn of each crash immediately.

use gypsumchute_units::{BootMs, EndpointId, Fingerprint};
use std::collections::BTreeMap;

/// Default number of crashes after which a request is refused.
pub const DEFAULT_MAX_CRASHES: usize = 2;

/// Crashes that one request may have caused.
#[derive(Debug)]
struct CrashRecord {
    /// Endpoint that crashed, by the number of the crash.
    crashes: BTreeMap<u64, EndpointId>,
    expires_ms: BootMs,
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
        let record = self
            .records
            .entry(fingerprint)
            .or_insert_with(|| CrashRecord { crashes: BTreeMap::new(), expires_ms: now });
        record.expires_ms = record.expires_ms.max(now + keep_ms);
        let previous_count = record.crashes.len();
        record.crashes.extend(crashes);
        record.crashes.len() > previous_count
    }

    /// Reports whether an endpoint crashed recently while it ran the request.
    pub fn is_suspect(&self, now: BootMs, fingerprint: Fingerprint) -> bool {
        self.record(now, fingerprint).is_some()
    }

    /// Returns how long the request remains refused, in milliseconds, or `None` if the request is
    /// not refused.
    pub fn refused_for_ms(&self, now: BootMs, fingerprint: Fingerprint) -> Option<u64> {
        let record = self.record(now, fingerprint)?;
        (record.crashes.len() >= self.max_crashes).then(|| now.until(record.expires_ms))
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
        Some((record.crashes.get(&number)?, now.until(record.expires_ms)))
    }

    /// Returns the known crashes of the request by number, and how much longer the record is kept,
    /// in milliseconds.
    pub fn crashes(
        &self,
        now: BootMs,
        fingerprint: Fingerprint,
    ) -> (BTreeMap<u64, EndpointId>, u64) {
        let record = self.record(now, fingerprint);
        record.map(|r| (r.crashes.clone(), now.until(r.expires_ms))).unwrap_or_default()
    }

    /// Returns the record of the request, unless the record has expired.
    fn record(&self, now: BootMs, fingerprint: Fingerprint) -> Option<&CrashRecord> {
        self.records.get(&fingerprint).filter(|record| record.expires_ms > now)
    }

    /// Drops expired records.
    pub fn expire(&mut self, now: BootMs) {
        self.records.retain(|_, record| record.expires_ms > now);
    }
}
