//! Limits that endpoints name themselves: on the requests a second that they take, or on the requests
//! a second that they can turn away.
//!
//! Load pattern: an endpoint in need names in its answers a limit for all VMs together, and stops
//! naming it when the need is over. A VM learns of both from the answers that it receives and from
//! its peers; what is newer counts.

use gypsumchute_units::{BootMs, EndpointId, RequestRate};
use std::collections::BTreeMap;

/// Time by which what a peer reports must be newer to replace the same limit, in milliseconds.
/// Smaller differences come from the time that messages take.
const MIN_NEWER_MS: u64 = 1_000;
/// Time for which the end of a limit is remembered, in milliseconds.
const END_RETENTION_MS: u64 = 10_000;

/// What an answer of an endpoint said of its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamedLimit<T = RequestRate> {
    /// Limit for all VMs together; `None` if there is none.
    pub rate: Option<T>,
    /// When the answer arrived.
    pub named_ms: BootMs,
}

/// Limits by endpoint, with those that have ended a short time ago.
#[derive(Debug)]
pub struct EndpointLimits<T = RequestRate> {
    limits: BTreeMap<EndpointId, NamedLimit<T>>,
}

impl<T> Default for EndpointLimits<T> {
    fn default() -> Self {
        EndpointLimits { limits: BTreeMap::new() }
    }
}

impl<T: Copy + Eq> EndpointLimits<T> {
    /// Records an answer of `endpoint` that named this limit, or none. Returns whether that is a
    /// change.
    pub fn on_answer(&mut self, now: BootMs, endpoint: &EndpointId, rate: Option<T>) -> bool {
        let known = self.limits.get(endpoint).and_then(|limit| limit.rate);
        if rate.is_some() || known.is_some() {
            self.limits.insert(endpoint.clone(), NamedLimit { rate, named_ms: now });
        }
        rate != known
    }

    /// Records what an answer told a peer. Returns whether that is a change.
    pub fn on_peer_report(&mut self, endpoint: &EndpointId, reported: NamedLimit<T>) -> bool {
        let known = self.limits.get(endpoint);
        let is_newer = known.is_none_or(|known| match known.rate == reported.rate {
            true => reported.named_ms > known.named_ms + MIN_NEWER_MS,
            false => reported.named_ms > known.named_ms,
        });
        if !is_newer {
            return false;
        }
        let is_change = known.and_then(|known| known.rate) != reported.rate;
        self.limits.insert(endpoint.clone(), reported);
        is_change
    }

    /// Returns what is known of the limit of `endpoint`, if it has or had one.
    pub fn get(&self, endpoint: &EndpointId) -> Option<NamedLimit<T>> {
        self.limits.get(endpoint).copied()
    }

    /// Returns the endpoints that have a limit, or had one a short time ago.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.limits.keys()
    }

    /// Drops limits that ended some time ago, and those of endpoints that are gone.
    pub fn expire(&mut self, now: BootMs, is_known: impl Fn(&EndpointId) -> bool) {
        self.limits.retain(|endpoint, limit| {
            let is_recent = now.since(limit.named_ms) <= END_RETENTION_MS;
            is_known(endpoint) && (limit.rate.is_some() || is_recent)
        });
    }
}
