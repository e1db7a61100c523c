//! Keeps what endpoints take: the rates of those that are cold or have named a limit, and the pauses that
//! they have asked this VM for.

use crate::context::{Context, State};
use gypsumchute_platform::{EndpointSigns, NamedPause};
use gypsumchute_routing::brittle_endpoints::BrittleEndpoint;
use gypsumchute_routing::endpoint_rate::EndpointRate;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, EndpointId, RequestRate};
use log::info;
use rand::RngExt;

impl Context {
    /// Reports whether `endpoint` wants nothing from this VM now.
    pub fn has_pause(&self, endpoint: &EndpointId) -> bool {
        self.with(|state| state.pause_ms(boot_now(), endpoint)).is_some()
    }

    /// Returns the start time of `endpoint` that is known now, to which an answer to a request sent
    /// now belongs.
    pub fn endpoint_start_ms(&self, endpoint: &EndpointId) -> Option<u64> {
        self.with(|state| state.endpoints.started_wall_ms(endpoint))
    }

    /// Records a termination notice and a pause that an answer of the endpoint that started at
    /// `started_wall_ms` names.
    pub fn record_endpoint_signs(
        &self,
        endpoint: &EndpointId,
        started_wall_ms: Option<u64>,
        signs: EndpointSigns,
    ) {
        if signs.is_leaving {
            self.metrics.count_endpoint_sign("leaving");
            self.record_termination_notice(endpoint, started_wall_ms);
        }
        match signs.pause {
            NamedPause::None => {}
            NamedPause::Invalid => self.metrics.count_endpoint_sign("invalid_pause"),
            NamedPause::For { pause_ms, is_reduced } => {
                let sign = if is_reduced { "reduced_pause" } else { "pause" };
                self.metrics.count_endpoint_sign(sign);
                info!(endpoint = endpoint.as_str(), pause_ms, is_reduced;
                    "endpoint wants nothing from this VM for a while");
                let until_ms = boot_now() + pause_ms;
                self.with(|state| {
                    state.endpoint_pauses.record(endpoint, started_wall_ms, until_ms)
                });
            }
        }
    }

    /// Records how many rejections `endpoint` said in an answer that it bears, or that it said nothing.
    pub fn record_rejection_limit(&self, endpoint: &EndpointId, max_per_s: Option<u32>) {
        let now = boot_now();
        if self.with(|state| state.rejection_limits.on_answer(now, endpoint, max_per_s)) {
            info!(endpoint = endpoint.as_str(), max_rejections_per_s:? = max_per_s;
                "endpoint changed the rejections that it bears");
            self.announce_soon(endpoint);
        }
    }

    /// Records that `endpoint` turned a request away.
    pub fn record_rejection(&self, endpoint: &EndpointId, random_value: u64) {
        let now = boot_now();
        let is_brittle = self.with(|state| {
            let Some(brittle) = state.brittle(endpoint) else { return false };
            let own_requests = state.loads.local_load(endpoint).requests;
            state.brittle_backoffs.on_rejected(now, endpoint, brittle, own_requests, random_value);
            true
        });
        if is_brittle {
            self.recent_rejections.borrow_mut().insert(endpoint.clone());
            self.queue_note(endpoint);
        }
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
    /// Returns the time for which `endpoint` wants nothing from this VM, in milliseconds, if it has
    /// asked for a pause.
    pub fn pause_ms(&self, now: BootMs, endpoint: &EndpointId) -> Option<u64> {
        let started_wall_ms = self.endpoints.started_wall_ms(endpoint);
        self.endpoint_pauses.wait_ms(now, endpoint, started_wall_ms)
    }

    /// Records that `endpoint` turned a request of another VM away.
    pub fn on_peer_rejected(&mut self, now: BootMs, endpoint: &EndpointId) {
        if let Some(brittle) = self.brittle(endpoint) {
            let random_value = self.rng.random();
            self.brittle_backoffs.on_peer_rejected(now, endpoint, brittle, random_value);
        }
    }

    /// Returns the share of this VM at `endpoint`, if the endpoint is brittle.
    pub fn brittle(&self, endpoint: &EndpointId) -> Option<BrittleEndpoint> {
        let max_rejections_per_s = self.rejection_limits.get(endpoint)?.rate?;
        let slots = self.endpoints.get(endpoint)?.entry.slots;
        let vms = self.members.known_vms().len();
        Some(BrittleEndpoint { max_rejections_per_s, slots, vms })
    }

    /// Returns the rate that `endpoint` takes because of a limit that it has named.
    pub fn named_rate(&self, now: BootMs, endpoint: &EndpointId) -> Option<EndpointRate> {
        let limit = self.endpoint_limits.get(endpoint)?;
        EndpointRate::named(now, limit)
    }

    /// Returns the rate that `endpoint` takes, if it has named a limit or is cold. A cold endpoint
    /// takes `cold_per_s` requests a second; 0 means any number.
    pub fn endpoint_rate(
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
}
