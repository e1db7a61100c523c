//! Rate limits on requests to an endpoint, from all VMs together.
//!
//! Load pattern: an endpoint restarts cold, or names a limit because it is in need, and every VM
//! sends to it at once. The rate is divided over the VMs without coordination: only those that rank
//! highest for the endpoint by rendezvous hashing send to it, each with an equal part of the rate
//! and a burst of one request.

use crate::endpoint_limits::NamedLimit;
use gypsumchute_units::rendezvous::rank_candidates;
use gypsumchute_units::{BootMs, EndpointId, VmId};
use std::collections::BTreeMap;

/// Minimum part of a cold endpoint's rate per VM, in requests per second. The bursts of all senders
/// together are then at most half of what the endpoint takes in a second.
const MIN_COLD_PART_PER_S: f64 = 2.0;
/// Minimum part of a named limit per VM, in requests per second. The bursts of all senders together
/// are then at most half of what the endpoint takes in the 4 s over which the limit is measured.
const MIN_LIMIT_PART_PER_S: f64 = 0.5;
/// Lower bound of the rate at which a limited endpoint is used, in requests per second: an answer is
/// needed to learn that the limit has ended.
const MIN_RATE_PER_S: f64 = 0.1;
/// Time without an answer from a limited endpoint after which one more VM sends to it, in
/// milliseconds: the others may have no requests for it.
const QUIET_MS: u64 = 10_000;

/// Rate at which an endpoint takes requests from all VMs together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointRate {
    /// Requests per second.
    per_s: f64,
    /// Number of VMs that share the rate.
    senders: usize,
}

impl EndpointRate {
    /// Returns the rate of an endpoint during its cold start, which takes `per_s` requests a second.
    pub fn cold(per_s: f64) -> Self {
        EndpointRate { per_s, senders: senders(per_s, MIN_COLD_PART_PER_S) }
    }

    /// Returns the rate of an endpoint that has named a limit, or `None` if the limit has ended.
    pub fn named(now: BootMs, limit: NamedLimit) -> Option<Self> {
        let per_s = limit.rate?.micro_per_s() as f64 / 1e6;
        let quiet_senders = now.since(limit.named_ms) / QUIET_MS;
        let senders = senders(per_s, MIN_LIMIT_PART_PER_S) + quiet_senders as usize;
        Some(EndpointRate { per_s: per_s.max(MIN_RATE_PER_S), senders })
    }

    /// Returns the stricter of the two rates.
    pub fn stricter(self, other: Self) -> Self {
        if other.per_s < self.per_s { other } else { self }
    }

    /// Returns the time in which the endpoint takes one request, in milliseconds.
    pub fn interval_ms(self) -> u64 {
        (1_000.0 / self.per_s) as u64
    }
}

/// Returns the number of VMs that share a rate.
fn senders(per_s: f64, min_part_per_s: f64) -> usize {
    ((per_s / min_part_per_s) as usize).max(1)
}

/// Whether this VM may send a request to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendPermission {
    /// The request may be sent now.
    Granted,
    /// This VM may send a request later.
    Later {
        /// Time until then, in milliseconds.
        wait_ms: u64,
    },
    /// Other VMs use the whole rate.
    OtherVms,
}

/// Token bucket of one endpoint, as of its last refill.
#[derive(Debug)]
struct TokenBucket {
    level: f64,
    refilled_ms: BootMs,
}

/// Token buckets of the endpoints with a rate. Each bucket holds at most one request.
#[derive(Debug, Default)]
pub struct EndpointRateLimiter {
    buckets: BTreeMap<EndpointId, TokenBucket>,
}

impl EndpointRateLimiter {
    /// Takes permission for this VM (`local_vm`) to send one request to `endpoint`, which takes
    /// requests from all `vms` at `rate`.
    pub fn try_acquire(
        &mut self,
        now: BootMs,
        endpoint: &EndpointId,
        rate: EndpointRate,
        local_vm: &VmId,
        vms: &[VmId],
    ) -> SendPermission {
        let senders = rate.senders.clamp(1, vms.len().max(1));
        if !rank_candidates(endpoint.as_str(), vms.iter())
            .into_iter()
            .take(senders)
            .any(|vm| vm == local_vm)
        {
            return SendPermission::OtherVms;
        }
        let rate_per_ms = rate.per_s / senders as f64 / 1_000.0;
        let bucket = self
            .buckets
            .entry(endpoint.clone())
            .or_insert_with(|| TokenBucket { level: 1.0, refilled_ms: now });
        let refill = now.since(bucket.refilled_ms) as f64 * rate_per_ms;
        bucket.level = (bucket.level + refill).min(1.0);
        bucket.refilled_ms = now;
        if bucket.level < 1.0 {
            let wait_ms = ((1.0 - bucket.level) / rate_per_ms).ceil() as u64;
            return SendPermission::Later { wait_ms };
        }
        bucket.level -= 1.0;
        SendPermission::Granted
    }

    /// Drops the buckets of endpoints without a rate.
    pub fn retain(&mut self, has_rate: impl Fn(&EndpointId) -> bool) {
        self.buckets.retain(|endpoint, _| has_rate(endpoint));
    }
}
