//! Share of this VM in the fleet-wide retry budget.
//!
//! Guards against retry storms when endpoints fail. In each time window, all VMs together may retry
//! a fraction of a service's requests plus a fixed number. The fixed number is divided by the
//! number of known VMs, so that the limit on the total holds without coordination. A VM that starts
//! knows few others, so its part of the fixed number grows from zero while it discovers them.

use gypsumchute_units::{BootMs, ServiceId};
use std::collections::{BTreeMap, VecDeque};

/// Fraction of the allowance that is used. The margin covers sliding windows and VMs that are not
/// known to this VM yet.
const SAFETY_FACTOR: f64 = 0.8;

/// Time in which a VM that has heard of one other hears of most of them, in milliseconds.
const DISCOVERY_MS: u64 = 2_000;

/// What a VM knows of the fleet that shares the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownFleet {
    /// Number of VMs, including this one.
    pub vms: usize,
    /// When this VM first heard of another one; `None` if it has not yet. A VM that has no others
    /// to look for knows its fleet from the start.
    pub since_ms: Option<BootMs>,
}

impl KnownFleet {
    /// Returns this VM's part of what all VMs share.
    fn part(self, now: BootMs) -> f64 {
        let Some(since_ms) = self.since_ms else { return 0.0 };
        let discovered = now.since(since_ms).min(DISCOVERY_MS) as f64 / DISCOVERY_MS as f64;
        discovered / self.vms.max(1) as f64
    }
}

/// Fleet-wide limit on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Number of retries per request.
    pub retries_per_request: f64,
    /// Number of additional retries per window, over all VMs.
    pub fixed_retries: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

/// Times of the requests and retries of one service in the current window.
#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<BootMs>,
    retries: VecDeque<BootMs>,
}

impl Window {
    /// Drops the entries before `start`.
    fn drop_before(&mut self, start: BootMs) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| *time < start) {
                times.pop_front();
            }
        }
    }
}

/// Retry budget of this VM for each service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    by_service: BTreeMap<ServiceId, Window>,
}

impl RetryBudget {
    /// Counts a request for `service`.
    pub fn count_request(&mut self, now: BootMs, service: &ServiceId) {
        self.by_service.entry(service.clone()).or_default().requests.push_back(now);
    }

    /// Takes one retry from the budget for `service`. Returns whether a retry was left for this VM.
    pub fn try_take_retry(
        &mut self,
        now: BootMs,
        service: &ServiceId,
        allowance: RetryAllowance,
        fleet: KnownFleet,
    ) -> bool {
        let is_allowed = self.has_retry(now, service, allowance, fleet);
        if is_allowed {
            self.by_service.entry(service.clone()).or_default().retries.push_back(now);
        }
        is_allowed
    }

    /// Reports whether a retry is left for this VM in the budget for `service`.
    pub fn has_retry(
        &mut self,
        now: BootMs,
        service: &ServiceId,
        allowance: RetryAllowance,
        fleet: KnownFleet,
    ) -> bool {
        let window = self.by_service.entry(service.clone()).or_default();
        window.drop_before(BootMs(now.0.saturating_sub(allowance.window_ms)));
        let fixed = allowance.fixed_retries * fleet.part(now);
        let allowed =
            SAFETY_FACTOR * (allowance.retries_per_request * window.requests.len() as f64 + fixed);
        (window.retries.len() + 1) as f64 <= allowed
    }

    /// Drops entries older than `window_ms`, so that services without traffic use no memory.
    pub fn expire(&mut self, now: BootMs, window_ms: u64) {
        let start = BootMs(now.0.saturating_sub(window_ms));
        self.by_service.values_mut().for_each(|window| window.drop_before(start));
        self.by_service
            .retain(|_, window| !window.requests.is_empty() || !window.retries.is_empty());
    }
}
