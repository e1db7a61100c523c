//! Decides at which software version a caller may resume an interrupted stream.
//!
//! Endpoints of several software versions may serve one service side by side, and what two versions
//! write does not fit together. A stream may go on only at the version that began it, but the caller
//! may resume it at any VM, also when the VM that served it is gone.
//!
//! Answers two load patterns: callers that resume many streams at once after VMs were lost, and
//! releases during which versions come and go within the life of a stream. What is not known for
//! certain is never guessed.

use crate::endpoints::{EndpointEntry, EndpointTable};
use gypsumchute_units::rendezvous::hash64;
use gypsumchute_units::{BootMs, CustomerId, Fingerprint, RequestId, ServiceId, SoftwareVersion};
use std::collections::BTreeMap;

/// Time for which a stream may be resumed after its first event, as a multiple of the timeout of its
/// route. The response may last for one timeout, and the caller's retry may wait after that.
const RESUME_PERIOD_TIMEOUTS: u64 = 2;
/// Maximum number of streams whose version is remembered. Their records take about 1 MB.
const MAX_STREAMS: usize = 16_384;
/// Maximum interval between two observations of the endpoints, in milliseconds. A VM that was
/// suspended for longer may have missed a version.
const MAX_OBSERVATION_GAP_MS: u64 = 1_000;

/// Identifies a stream in messages: a hash of its customer and of the caller's attempt that brought
/// the first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamKey(pub Fingerprint);

impl StreamKey {
    /// Returns the key of the stream whose first event `request` brought to `customer`.
    pub fn new(customer: Option<&CustomerId>, request: &RequestId) -> Self {
        let customer = customer.map_or("", CustomerId::as_str);
        StreamKey(Fingerprint(hash64(&["stream", customer, request.as_str()])))
    }
}

/// Identifies a service and a version of its software in messages, as a hash of both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceVersion(pub Fingerprint);

impl ServiceVersion {
    /// Returns the version of the software at the endpoint of `entry`.
    pub fn of(entry: &EndpointEntry) -> Self {
        let version = entry.version.as_ref().map_or("", SoftwareVersion::as_str);
        ServiceVersion(Fingerprint(hash64(&["software", entry.service.as_str(), version])))
    }
}

/// Returns the time for which the version of a stream must be known, in milliseconds.
pub fn resume_period_ms(route_timeout_ms: u64) -> u64 {
    route_timeout_ms.saturating_mul(RESUME_PERIOD_TIMEOUTS)
}

/// Time for which a software version that is no longer in service is remembered, in milliseconds.
/// Streams that may be resumed for longer are never known by their only version.
const VERSION_MEMORY_MS: u64 = 3_600_000;

/// Version of a stream that has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamVersion {
    /// The stream.
    pub stream: StreamKey,
    /// Version that brought the first event.
    pub version: ServiceVersion,
    /// Time until which the version is remembered.
    pub until_ms: BootMs,
}

/// The record of a stream, as it is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamRecord {
    /// Version of the stream.
    pub begun: StreamVersion,
    /// Whether this VM serves the stream, or has served it.
    pub is_served_here: bool,
    /// When this VM recorded the version.
    recorded_ms: BootMs,
}

/// Versions of the streams that have begun, and of the endpoints that were seen.
#[derive(Debug, Default)]
pub struct StreamVersions {
    streams: BTreeMap<StreamKey, StreamRecord>,
    /// Since when all versions in service have been seen.
    observing_since_ms: Option<BootMs>,
    last_observation_ms: BootMs,
    /// When each version was last seen in service.
    last_seen_ms: BTreeMap<(ServiceId, ServiceVersion), BootMs>,
}

impl StreamVersions {
    /// Records at which version a stream began that this VM serves.
    pub fn record_own(&mut self, now: BootMs, begun: StreamVersion) {
        self.insert(StreamRecord { begun, is_served_here: true, recorded_ms: now });
    }

    /// Records at which version a stream began according to a peer. The version that was announced last
    /// counts: a VM corrects the version of a stream if its engine turns out to have another one, and
    /// others may pass on what they learned before.
    pub fn record_of_peer(&mut self, now: BootMs, begun: StreamVersion) {
        let known = self.streams.get(&begun.stream);
        let is_newest = known.is_none_or(|known| known.begun.until_ms < begun.until_ms);
        if is_newest {
            let is_served_here = known.is_some_and(|known| known.is_served_here);
            self.insert(StreamRecord { begun, is_served_here, recorded_ms: now });
        }
    }

    fn insert(&mut self, record: StreamRecord) {
        let stream = record.begun.stream;
        if self.streams.len() >= MAX_STREAMS && !self.streams.contains_key(&stream) {
            let first_to_expire = self.streams.values().min_by_key(|known| known.begun.until_ms);
            if let Some(stream) = first_to_expire.map(|known| known.begun.stream) {
                self.streams.remove(&stream);
            }
        }
        self.streams.insert(stream, record);
    }

    /// Returns the version of a stream that may still be resumed, if it is known here.
    pub fn get(&self, now: BootMs, stream: StreamKey) -> Option<StreamVersion> {
        let known = self.streams.get(&stream).map(|known| known.begun);
        known.filter(|begun| begun.until_ms > now)
    }

    /// Returns the records of streams that may still be resumed, as far as they were recorded at
    /// `since_ms` or later.
    pub fn records_since(
        &self,
        now: BootMs,
        since_ms: BootMs,
    ) -> impl Iterator<Item = &StreamRecord> {
        let records = self.streams.values();
        records.filter(move |known| known.begun.until_ms > now && known.recorded_ms >= since_ms)
    }

    /// Records the versions that are in service. `is_current` tells whether this VM learns of new
    /// endpoints; the observation begins anew after a time in which it did not.
    pub fn observe(&mut self, now: BootMs, endpoints: &EndpointTable, is_current: bool) {
        let has_gap = now.since(self.last_observation_ms) > MAX_OBSERVATION_GAP_MS;
        self.last_observation_ms = now;
        match self.observing_since_ms {
            _ if !is_current => self.observing_since_ms = None,
            Some(_) if !has_gap => {}
            _ => self.observing_since_ms = Some(now),
        }
        self.see(now, endpoints);
    }

    /// Records the versions that are in service, between two observations.
    pub fn see(&mut self, now: BootMs, endpoints: &EndpointTable) {
        for seen in endpoints.versions() {
            match self.last_seen_ms.get_mut(seen) {
                Some(last_seen_ms) => *last_seen_ms = now,
                None => drop(self.last_seen_ms.insert(seen.clone(), now)),
            }
        }
    }

    /// Returns the version of `service` if no other one was in service in the last `period_ms`. A
    /// stream that began in this time then began at that version.
    pub fn sole_version(
        &self,
        now: BootMs,
        service: &ServiceId,
        period_ms: u64,
    ) -> Option<ServiceVersion> {
        let has_gap = now.since(self.last_observation_ms) > MAX_OBSERVATION_GAP_MS;
        let since_ms = self.observing_since_ms.filter(|_| !has_gap)?;
        if now.since(since_ms) < period_ms || period_ms > VERSION_MEMORY_MS {
            return None;
        }
        let recent = self.last_seen_ms.iter().filter(|((seen_service, _), seen_ms)| {
            seen_service == service && now.since(**seen_ms) <= period_ms
        });
        let mut versions = recent.map(|((_, version), _)| *version);
        versions.next().filter(|_| versions.next().is_none())
    }

    /// Discards streams that can no longer be resumed, and versions that left service long ago.
    pub fn expire(&mut self, now: BootMs) {
        self.streams.retain(|_, known| known.begun.until_ms > now);
        self.last_seen_ms.retain(|_, seen_ms| now.since(*seen_ms) <= VERSION_MEMORY_MS);
    }
}
