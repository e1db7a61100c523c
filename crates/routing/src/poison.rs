//! Requests that brought down the endpoints that ran them.
//!
//! A request is known by the hash of its route and body. After a crash it is a suspect, as is
//! every other request that ran at that endpoint; suspects run at different endpoints, so that of
//! several the next crash tells which one it was. After a few it is refused, here and
//! at all VMs, which hear of each crash at once.

use gypsumchute_units::{BootMs, EndpointId};
use std::collections::BTreeMap;

/// Endpoints that one request may bring down, unless the fleet's design says otherwise.
pub const MAX_CRASHES: usize = 2;

#[derive(Debug)]
struct Record {
    crashes: BTreeMap<u64, EndpointId>,
    until_ms: BootMs,
}

/// What is known of crashes.
#[derive(Debug)]
pub struct Poison {
    max_crashes: usize,
    records: BTreeMap<u64, Record>,
}

impl Default for Poison {
    fn default() -> Self {
        Poison::new(MAX_CRASHES)
    }
}

impl Poison {
    /// Refuses a request once it has brought down `max_crashes` endpoints.
    pub fn new(max_crashes: usize) -> Self {
        Poison { max_crashes, records: BTreeMap::new() }
    }

    /// Notes crashes, each under a number of its own; returns whether one of them is news.
    pub fn on_crashes(
        &mut self,
        now: BootMs,
        fingerprint: u64,
        crashes: impl IntoIterator<Item = (u64, EndpointId)>,
        keep_ms: u64,
    ) -> bool {
        let record = self
            .records
            .entry(fingerprint)
            .or_insert_with(|| Record { crashes: BTreeMap::new(), until_ms: now });
        record.until_ms = record.until_ms.max(now + keep_ms);
        let before = record.crashes.len();
        record.crashes.extend(crashes);
        record.crashes.len() > before
    }

    /// Whether the request brought an endpoint down lately.
    pub fn is_suspect(&self, now: BootMs, fingerprint: u64) -> bool {
        self.record(now, fingerprint).is_some()
    }

    /// How long the request stays refused, if it is.
    pub fn refused_for_ms(&self, now: BootMs, fingerprint: u64) -> Option<u64> {
        let record = self.record(now, fingerprint)?;
        (record.crashes.len() >= self.max_crashes).then(|| now.until(record.until_ms))
    }

    /// The crashes known of the request, and for how long they are remembered.
    pub fn crashes(&self, now: BootMs, fingerprint: u64) -> (BTreeMap<u64, EndpointId>, u64) {
        let known = self.record(now, fingerprint);
        known.map(|r| (r.crashes.clone(), now.until(r.until_ms))).unwrap_or_default()
    }

    fn record(&self, now: BootMs, fingerprint: u64) -> Option<&Record> {
        self.records.get(&fingerprint).filter(|record| record.until_ms > now)
    }

    /// Forgets what has run out.
    pub fn on_tick(&mut self, now: BootMs) {
        self.records.retain(|_, record| record.until_ms > now);
    }
}
