//! Detection of poison requests, which crash the endpoints that run them.
//!
//! A request is identified by a hash of its route and body. When an endpoint crashes, every request
//! that was running on the endpoint becomes a suspect. Suspects run on different endpoints, so that
//! the next crash shows which of them is the cause. After several crashes the request is rejected
//! by all VMs, which learn of each crash immediately.

use gypsumchute_units::{BootMs, EndpointId};
use std::collections::BTreeMap;

/// Default number of crashes after which a request is rejected.
pub const DEFAULT_MAX_CRASHES: usize = 2;

/// Crashes attributed to one request, by the crash's number.
#[derive(Debug)]
struct CrashRecord {
    crashes: BTreeMap<u64, EndpointId>,
    expires_ms: BootMs,
}

/// Crashes of endpoints, by the request that may have caused them.
#[derive(Debug)]
pub struct PoisonTracker {
    max_crashes: usize,
    records: BTreeMap<u64, CrashRecord>,
}

impl Default for PoisonTracker {
    fn default() -> Self {
        PoisonTracker::new(DEFAULT_MAX_CRASHES)
    }
}

impl PoisonTracker {
    /// Creates a tracker that rejects a request after `max_crashes` crashes.
    pub fn new(max_crashes: usize) -> Self {
        PoisonTracker { max_crashes, records: BTreeMap::new() }
    }

    /// Records crashes of endpoints that ran the request. Each crash has a unique number, so that a
    /// crash reported twice counts once. Returns whether any crash is new.
    pub fn record_crashes(
        &mut self,
        now: BootMs,
        fingerprint: u64,
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
    pub fn is_suspect(&self, now: BootMs, fingerprint: u64) -> bool {
        self.record(now, fingerprint).is_some()
    }

    /// Returns how long the request remains rejected, in milliseconds, or `None` if the request is
    /// not rejected.
    pub fn refused_for_ms(&self, now: BootMs, fingerprint: u64) -> Option<u64> {
        let record = self.record(now, fingerprint)?;
        (record.crashes.len() >= self.max_crashes).then(|| now.until(record.expires_ms))
    }

    /// Returns the known crashes of the request and how long the record is kept, in milliseconds.
    pub fn crashes(&self, now: BootMs, fingerprint: u64) -> (BTreeMap<u64, EndpointId>, u64) {
        let record = self.record(now, fingerprint);
        record.map(|r| (r.crashes.clone(), now.until(r.expires_ms))).unwrap_or_default()
    }

    fn record(&self, now: BootMs, fingerprint: u64) -> Option<&CrashRecord> {
        self.records.get(&fingerprint).filter(|record| record.expires_ms > now)
    }

    /// Drops expired records.
    pub fn expire(&mut self, now: BootMs) {
        self.records.retain(|_, record| record.expires_ms > now);
    }
}
