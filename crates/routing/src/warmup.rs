//! This VM's part of what a cold endpoint bears.
//!
//! Answers the pattern "endpoints come back cold and every VM sends to them at once": a cold
//! endpoint takes a rate that is divided over VMs without asking anybody. In a large fleet only
//! the VMs that rank first for an endpoint send to it while it is cold.

use gypsumchute_units::rendezvous::ranked;
use gypsumchute_units::{BootMs, EndpointId, VmId};
use std::collections::BTreeMap;

/// Requests a second that a VM needs as its part; it bounds how many VMs share a cold endpoint.
const MIN_PART_PER_S: f64 = 2.0;

#[derive(Debug)]
struct Bucket {
    level: f64,
    as_of_ms: BootMs,
}

/// Buckets of the cold endpoints, one request deep.
#[derive(Debug, Default)]
pub struct Warmups {
    buckets: BTreeMap<EndpointId, Bucket>,
}

impl Warmups {
    /// Takes the right to send one request to the cold `endpoint`, which bears `cold_per_s` from
    /// all `vms` together.
    pub fn take(
        &mut self,
        now: BootMs,
        endpoint: &EndpointId,
        cold_per_s: f64,
        me: &VmId,
        vms: &[VmId],
    ) -> bool {
        let sharers = ((cold_per_s / MIN_PART_PER_S) as usize).clamp(1, vms.len().max(1));
        if !ranked(endpoint.as_str(), vms.iter()).into_iter().take(sharers).any(|vm| vm == me) {
            return false;
        }
        let rate_per_ms = cold_per_s / sharers as f64 / 1_000.0;
        let bucket = self
            .buckets
            .entry(endpoint.clone())
            .or_insert_with(|| Bucket { level: 1.0, as_of_ms: now });
        let minted = now.since(bucket.as_of_ms) as f64 * rate_per_ms;
        bucket.level = (bucket.level + minted).min(1.0);
        bucket.as_of_ms = now;
        let may_send = bucket.level >= 1.0;
        if may_send {
            bucket.level -= 1.0;
        }
        may_send
    }

    /// Forgets endpoints that are cold no more.
    pub fn retain(&mut self, is_cold: impl Fn(&EndpointId) -> bool) {
        self.buckets.retain(|endpoint, _| is_cold(endpoint));
    }
}
