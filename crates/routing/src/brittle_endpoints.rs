//! Keeps endpoints from falling over that bear only a few rejections.
//!
//! Load pattern: an endpoint says that it falls over when it has to turn more than so many requests
//! away in a second, counted over all VMs, and lets fewer requests wait than before. No VM knows how
//! much room there is, and what the others send is known late. Each VM therefore keeps to its part of
//! the endpoint's slots, and after a rejection sends nothing for so long that the rejections of all
//! VMs together stay below the limit. The others are told at once and wait as well, so that one of
//! them comes back at a time.

use gypsumchute_units::{BootMs, EndpointId};
use std::collections::BTreeMap;

/// Fraction of the rejections that an endpoint bears which all VMs together may cause.
const REJECTIONS_FRACTION: f64 = 0.6;
/// Bounds of the time for which a VM sends nothing after a rejection, in milliseconds.
const MIN_CLOSED_MS: f64 = 1_000.0;
const MAX_CLOSED_MS: f64 = 10_000.0;
/// Time without a rejection after which a VM may have one more request at the endpoint, in
/// milliseconds.
const GROWTH_MS: u64 = 1_000;

/// A brittle endpoint and its share among the VMs.
#[derive(Debug, Clone, Copy)]
pub struct BrittleEndpoint {
    /// Requests that the endpoint may turn away in a second.
    pub max_rejections_per_s: u32,
    /// Requests that the endpoint runs at once.
    pub slots: u32,
    /// VMs that may send to the endpoint.
    pub vms: usize,
}

impl BrittleEndpoint {
    /// Returns the number of requests that one VM may have at the endpoint.
    fn share(self) -> u32 {
        (self.slots / u32::try_from(self.vms.max(1)).unwrap_or(u32::MAX)).max(1)
    }

    /// Returns the time for which a VM sends nothing after a rejection, in milliseconds.
    fn closed_ms(self) -> u64 {
        let rejections_per_s = f64::from(self.max_rejections_per_s) * REJECTIONS_FRACTION;
        let closed_ms = self.vms as f64 / rejections_per_s * 1_000.0;
        closed_ms.clamp(MIN_CLOSED_MS, MAX_CLOSED_MS) as u64
    }

    /// Returns the time in which one rejection is allowed to all VMs together, in milliseconds.
    fn spacing_ms(self) -> u64 {
        let rejections_per_s = f64::from(self.max_rejections_per_s) * REJECTIONS_FRACTION;
        (1_000.0 / rejections_per_s).min(MAX_CLOSED_MS) as u64
    }
}

/// Whether this VM may send a request to a brittle endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrittleAdmission {
    /// The request may be sent.
    Granted,
    /// This VM has as many requests there as it may.
    Full,
    /// The endpoint has turned a request away.
    Closed {
        /// Time until this VM may send again, in milliseconds.
        wait_ms: u64,
    },
}

/// What this VM does at one brittle endpoint since a rejection.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    until_ms: BootMs,
    /// Requests that this VM may have there after that.
    window: u32,
}

/// Backoff of this VM at brittle endpoints.
#[derive(Debug, Default)]
pub struct BrittleBackoffs {
    by_id: BTreeMap<EndpointId, Backoff>,
}

impl BrittleBackoffs {
    /// Returns whether this VM may send a request to `id`, where it has `own_requests`.
    pub fn admission(
        &self,
        now: BootMs,
        id: &EndpointId,
        endpoint: BrittleEndpoint,
        own_requests: u32,
    ) -> BrittleAdmission {
        let share = endpoint.share();
        let limit = match self.by_id.get(id) {
            Some(backoff) if backoff.until_ms > now => {
                return BrittleAdmission::Closed { wait_ms: now.until(backoff.until_ms) };
            }
            Some(backoff) => {
                let grown = now.since(backoff.until_ms) / GROWTH_MS;
                share.min(backoff.window.saturating_add(u32::try_from(grown).unwrap_or(u32::MAX)))
            }
            None => share,
        };
        match own_requests < limit {
            true => BrittleAdmission::Granted,
            false => BrittleAdmission::Full,
        }
    }

    /// Records that `id` turned a request away while this VM had `own_requests` there. `random_value`
    /// spreads the VMs, so that they do not come back together.
    pub fn on_rejected(
        &mut self,
        now: BootMs,
        id: &EndpointId,
        endpoint: BrittleEndpoint,
        own_requests: u32,
        random_value: u64,
    ) {
        let closed_ms = endpoint.closed_ms();
        let spread_ms = random_value % (closed_ms / 2).max(1);
        let until_ms = now + (closed_ms + spread_ms);
        let window = (own_requests.min(endpoint.share()) / 2).max(1);
        self.by_id.insert(id.clone(), Backoff { until_ms, window });
    }

    /// Records that `id` turned a request of another VM away. This VM waits as long as the limit allows
    /// no other rejection, and comes back at a random time after that.
    pub fn on_peer_rejected(
        &mut self,
        now: BootMs,
        id: &EndpointId,
        endpoint: BrittleEndpoint,
        random_value: u64,
    ) {
        let spacing_ms = endpoint.spacing_ms();
        let others = u64::try_from(endpoint.vms.saturating_sub(1)).unwrap_or(u64::MAX);
        let spread_ms = spacing_ms.saturating_mul(others).clamp(1, MAX_CLOSED_MS as u64);
        let until_ms = now + (spacing_ms + random_value % spread_ms);
        let known = self.by_id.get(id).filter(|known| known.until_ms > now);
        let backoff = match known {
            Some(known) => Backoff { until_ms: known.until_ms.max(now + spacing_ms), ..*known },
            None => Backoff { until_ms, window: endpoint.share() },
        };
        self.by_id.insert(id.clone(), backoff);
    }

    /// Drops what is known of endpoints that are not brittle.
    pub fn retain(&mut self, is_brittle: impl Fn(&EndpointId) -> bool) {
        self.by_id.retain(|id, _| is_brittle(id));
    }
}
