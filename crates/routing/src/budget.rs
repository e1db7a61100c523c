//! This VM's part of the retries that the whole fleet may make.
//!
//! Answers the pattern "endpoints fail and everybody sends again": all VMs together may repeat a
//! part of a service's requests plus a fixed number in each window. The fixed number is divided by
//! all VMs that are known, so that the sum holds without asking anybody.

use gypsumchute_units::{BootMs, ServiceId};
use std::collections::{BTreeMap, VecDeque};

/// Part of the allowance that is used: windows slide, and a VM may know fewer VMs than there are.
const SAFETY: f64 = 0.8;

/// How many retries the fleet may make.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond that in each window, over all VMs.
    pub fixed: f64,
    /// Length of the window, in ms.
    pub window_ms: u64,
}

#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<BootMs>,
    retries: VecDeque<BootMs>,
}

impl Window {
    fn forget_before(&mut self, start: BootMs) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| *time < start) {
                times.pop_front();
            }
        }
    }
}

/// Requests and retries of this VM, by service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    by_service: BTreeMap<ServiceId, Window>,
}

impl RetryBudget {
    /// Counts a request that came in for `service`.
    pub fn count_request(&mut self, now: BootMs, service: &ServiceId) {
        self.by_service.entry(service.clone()).or_default().requests.push_back(now);
    }

    /// Takes one retry for `service` if one is left for this VM among `vms`.
    pub fn take_retry(
        &mut self,
        now: BootMs,
        service: &ServiceId,
        allowance: RetryAllowance,
        vms: usize,
    ) -> bool {
        let window = self.by_service.entry(service.clone()).or_default();
        window.forget_before(BootMs(now.0.saturating_sub(allowance.window_ms)));
        let fixed = allowance.fixed / vms.max(1) as f64;
        let allowed = SAFETY * (allowance.ratio * window.requests.len() as f64 + fixed);
        let left = (window.retries.len() + 1) as f64 <= allowed;
        if left {
            window.retries.push_back(now);
        }
        left
    }

    /// Drops what is older than `window_ms`, so that a quiet service holds no memory.
    pub fn expire(&mut self, now: BootMs, window_ms: u64) {
        let start = BootMs(now.0.saturating_sub(window_ms));
        self.by_service.values_mut().for_each(|window| window.forget_before(start));
        self.by_service.retain(|_, window| !window.requests.is_empty());
    }
}
