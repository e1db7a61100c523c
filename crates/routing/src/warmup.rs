//! Rate limits on requests to endpoints during their cold start.
//!
//! Guards against endpoints that restart cold and receive traffic from every VM at once. The rate
//! that a cold endpoint sustains is divided over the VMs without coordination. In a large fleet,
//! only the VMs that rank highest for an endpoint by rendezvous hashing send to the endpoint while
//! it is cold.

use gypsumchute_units::rendezvous::rank_candidates;
use gypsumchute_units::{BootMs, EndpointId, VmId};
use std::collections::BTreeMap;

/// Minimum useful rate per VM, in requests per second. It limits the number of VMs that share a
/// cold endpoint.
const MIN_VM_RATE_PER_S: f64 = 2.0;

/// Token bucket of one endpoint, as of its last refill.
#[derive(Debug)]
struct TokenBucket {
    level: f64,
    refilled_ms: BootMs,
}

/// Token buckets of the cold endpoints. Each bucket holds at most one request.
#[derive(Debug, Default)]
pub struct ColdStartLimiter {
    buckets: BTreeMap<EndpointId, TokenBucket>,
}

impl ColdStartLimiter {
    /// Takes permission to send one request to the cold `endpoint`, which sustains `cold_per_s`
    /// requests per second from all `vms` together. Returns whether this VM (`local_vm`) may send.
    pub fn try_acquire(
        &mut self,
        now: BootMs,
        endpoint: &EndpointId,
        cold_per_s: f64,
        local_vm: &VmId,
        vms: &[VmId],
    ) -> bool {
        let senders = ((cold_per_s / MIN_VM_RATE_PER_S) as usize).clamp(1, vms.len().max(1));
        if !rank_candidates(endpoint.as_str(), vms.iter())
            .into_iter()
            .take(senders)
            .any(|vm| vm == local_vm)
        {
            return false;
        }
        let rate_per_ms = cold_per_s / senders as f64 / 1_000.0;
        let bucket = self
            .buckets
            .entry(endpoint.clone())
            .or_insert_with(|| TokenBucket { level: 1.0, refilled_ms: now });
        let refill = now.since(bucket.refilled_ms) as f64 * rate_per_ms;
        bucket.level = (bucket.level + refill).min(1.0);
        bucket.refilled_ms = now;
        let may_send = bucket.level >= 1.0;
        if may_send {
            bucket.level -= 1.0;
        }
        may_send
    }

    /// Drops the buckets of endpoints that are no longer cold.
    pub fn retain(&mut self, is_cold: impl Fn(&EndpointId) -> bool) {
        self.buckets.retain(|endpoint, _| is_cold(endpoint));
    }
}
