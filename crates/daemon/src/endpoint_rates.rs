//! Applies the rates that endpoints take, because they are cold or have named a limit.

use crate::context::{Context, State};
use gypsumchute_routing::endpoint_rate::{EndpointRate, SendPermission};
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, EndpointId, RequestRate, VmId};
use log::info;

/// Rate of an endpoint that this VM may not send to now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateExhausted {
    /// Whether the endpoint has named a limit.
    pub is_named: bool,
    /// Time after which this VM may send a request, in milliseconds; `None` if other VMs use the
    /// whole rate.
    pub wait_ms: Option<u64>,
    /// Rate that the endpoint takes from all VMs together.
    pub rate: EndpointRate,
}

impl Context {
    /// Takes permission to send a request other than a new one to `endpoint`, which may have named a
    /// limit.
    pub fn may_send_to(&self, endpoint: &EndpointId) -> bool {
        let now = boot_now();
        let permission = self.with(|state| {
            let rate = state.named_rate(now, endpoint)?;
            Some(state.acquire_rate(now, endpoint, rate, &self.settings.vm))
        });
        permission.is_none_or(|permission| permission == SendPermission::Granted)
    }

    /// Records the request rate limit that `endpoint` named in an answer, or that it named none.
    pub fn record_endpoint_limit(&self, endpoint: &EndpointId, rate: Option<RequestRate>) {
        let now = boot_now();
        if self.with(|state| state.endpoint_limits.on_answer(now, endpoint, rate)) {
            info!(endpoint = endpoint.as_str(), per_s:% = rate.unwrap_or_default(),
                limited = rate.is_some();
                "endpoint changed its request rate limit");
            self.announce_soon(endpoint);
        }
    }
}

impl State {
    /// Returns the rate that `endpoint` takes because of a limit that it has named.
    fn named_rate(&self, now: BootMs, endpoint: &EndpointId) -> Option<EndpointRate> {
        let limit = self.endpoint_limits.get(endpoint)?;
        EndpointRate::named(now, limit)
    }

    /// Returns the rate that `endpoint` takes, if it has named a limit or is cold. A cold endpoint
    /// takes `cold_per_s` requests a second; 0 means any number.
    fn endpoint_rate(
        &self,
        now: BootMs,
        endpoint: &EndpointId,
        cold_per_s: f64,
    ) -> Option<EndpointRate> {
        let found = self.endpoints.get(endpoint);
        let is_cold = found.is_some_and(|found| found.cold_until_ms > now);
        let cold = (is_cold && cold_per_s > 0.0).then(|| EndpointRate::cold(cold_per_s));
        match (cold, self.named_rate(now, endpoint)) {
            (Some(cold), Some(named)) => Some(cold.stricter(named)),
            (cold, named) => cold.or(named),
        }
    }

    /// Takes permission to send one request to `endpoint`, which takes requests at `rate`.
    fn acquire_rate(
        &mut self,
        now: BootMs,
        endpoint: &EndpointId,
        rate: EndpointRate,
        local_vm: &VmId,
    ) -> SendPermission {
        let vms = self.members.known_vms();
        self.rate_limiter.try_acquire(now, endpoint, rate, local_vm, &vms)
    }

    /// Takes permission to send one new request to `endpoint`. Returns what the endpoint takes, if
    /// this VM may not send now.
    pub fn acquire_endpoint(
        &mut self,
        now: BootMs,
        endpoint: &EndpointId,
        cold_per_s: f64,
        local_vm: &VmId,
    ) -> Result<(), RateExhausted> {
        let Some(rate) = self.endpoint_rate(now, endpoint, cold_per_s) else { return Ok(()) };
        let is_named = self.named_rate(now, endpoint).is_some();
        match self.acquire_rate(now, endpoint, rate, local_vm) {
            SendPermission::Granted => Ok(()),
            SendPermission::Later { wait_ms } => {
                Err(RateExhausted { is_named, wait_ms: Some(wait_ms), rate })
            }
            SendPermission::OtherVms => Err(RateExhausted { is_named, wait_ms: None, rate }),
        }
    }
}
