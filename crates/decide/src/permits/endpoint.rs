//! The owner's state of one endpoint: permits in force, the last load report and the free capacity.

use crate::event::LoadReport;
use crate::lengths::OutputLengths;
use crate::limits::{MAX_LOAD_REPORT_AGE_MS, MAX_WARM_AGE_MS, PERMIT_VALIDITY_MS};
use gypsumchute_config::Endpoint;
use gypsumchute_units::{BootMs, CustomerId, RouteId, VmId};
use std::collections::BTreeMap;

/// Points at which memory demand is forecast, in output tokens that each running generation
/// produces from now on.
const FORECAST_POINTS_TOKENS: [f64; 10] =
    [0.0, 16.0, 32.0, 64.0, 128.0, 256.0, 512.0, 1_024.0, 2_048.0, 4_096.0];
/// A forecast point is skipped if the probability that the new generation still runs there is less
/// than this.
const MIN_RUNNING_PROBABILITY: f64 = 0.05;
/// Safety margin of memory forecasts, in standard deviations above the mean demand.
const MEMORY_MARGIN_DEVIATIONS: f64 = 1.5;
/// Maximum fraction of an engine's memory that forecasts may fill.
const MAX_MEMORY_FRACTION: f64 = 0.92;
/// Assumed time per output token before any output was observed, in milliseconds.
const DEFAULT_MS_PER_TOKEN: f64 = 30.0;
/// Weight of a new observation in the moving average of the time per output token.
const MS_PER_TOKEN_SMOOTHING: f64 = 0.2;
/// Time for which an endpoint must report fewer requests than there are permits in force before the
/// excess permits are dropped, in milliseconds.
const EXCESS_PERMIT_GRACE_MS: u64 = 3_000;

/// Memory demand of one generation at an engine, in tokens.
struct MemoryDemand<'a> {
    /// Output-length statistics of the route, if any.
    lengths: Option<&'a OutputLengths>,
    prompt_tokens: f64,
    max_tokens: f64,
    /// Output tokens produced so far.
    produced_tokens: f64,
}

impl MemoryDemand<'_> {
    /// Returns the probability that the generation still runs after `ahead` more output tokens.
    fn running_probability(&self, ahead: f64) -> f64 {
        let length = self.produced_tokens + ahead;
        match length > self.max_tokens {
            true => 0.0,
            false => self
                .lengths
                .map_or(1.0, |l| l.probability_of_reaching(length, self.produced_tokens)),
        }
    }

    /// Returns the mean and variance of the memory that the generation holds after `ahead` more
    /// output tokens.
    fn forecast(&self, ahead: f64) -> (f64, f64) {
        let probability = self.running_probability(ahead);
        let held = self.prompt_tokens + self.produced_tokens + ahead;
        (probability * held, probability * (1.0 - probability) * held * held)
    }
}

/// Reports whether `report` must include a request whose permit was granted or lost at `since_ms`,
/// unless the request has ended. The request may arrive at the endpoint up to
/// [`PERMIT_VALIDITY_MS`] after that time.
fn must_be_reported(since_ms: BootMs, report: &LoadReport) -> bool {
    since_ms + PERMIT_VALIDITY_MS <= report.taken_ms
}

/// A permit in force: the right of `holder` to run one request at the endpoint.
#[derive(Debug, Clone)]
pub(super) struct Permit {
    pub(super) holder: VmId,
    pub(super) holder_incarnation: u64,
    pub(super) ask_id: u64,
    pub(super) customer: CustomerId,
    pub(super) route: RouteId,
    pub(super) granted_ms: BootMs,
    pub(super) prompt_tokens: u32,
    pub(super) max_tokens: u32,
    /// Whether the request is suspected of having crashed an endpoint.
    pub(super) suspect: bool,
    /// Work charged to the customer when the permit was granted, in output tokens.
    pub(super) charged_tokens: f64,
}

/// State of an endpoint that this VM owns.
#[derive(Debug)]
pub(super) struct OwnedEndpoint {
    /// Time from which a load report must include all requests admitted by a former owner.
    baseline_from_ms: BootMs,
    /// Whether a load report taken since `baseline_from_ms` has arrived. Until then, the endpoint
    /// receives no requests.
    has_baseline: bool,
    /// Requests that may run at the endpoint without a permit in force, as the times at which each
    /// lost its permit. Requests admitted by a former owner have time 0.
    untracked: Vec<BootMs>,
    report: Option<LoadReport>,
    /// Time since which the endpoint has reported fewer requests than there are permits in force.
    excess_since_ms: Option<BootMs>,
    /// Moving average of the time per output token.
    ms_per_token: f64,
    /// Permits in force, by permit id.
    pub(super) permits: BTreeMap<u64, Permit>,
}

impl OwnedEndpoint {
    /// Creates the state of an endpoint owned since `since_ms`. With `had_owner`, permits of a
    /// former owner may be used for [`PERMIT_VALIDITY_MS`] after that; their requests are counted
    /// from the first load report taken later.
    pub(super) fn new(since_ms: BootMs, had_owner: bool) -> Self {
        let wait_ms = if had_owner { PERMIT_VALIDITY_MS } else { 0 };
        OwnedEndpoint {
            baseline_from_ms: since_ms + wait_ms,
            has_baseline: false,
            untracked: Vec::new(),
            report: None,
            excess_since_ms: None,
            ms_per_token: DEFAULT_MS_PER_TOKEN,
            permits: BTreeMap::new(),
        }
    }

    /// Handles a load report, or `None` if the endpoint is unreachable.
    pub(super) fn on_report(&mut self, now: BootMs, report: Option<LoadReport>) {
        let Some(report) = report else {
            self.report = None;
            return;
        };
        if !self.has_baseline && report.taken_ms >= self.baseline_from_ms {
            self.has_baseline = true;
            self.untracked = vec![BootMs(0); report.in_flight as usize];
        }
        let newer = self.report.is_none_or(|last| report.taken_ms > last.taken_ms);
        self.report = Some(report);
        if newer && self.has_baseline {
            self.drop_ended_untracked(report);
            self.drop_excess_permits(now, report);
        }
    }

    /// Drops untracked requests beyond the number of requests that the endpoint reports.
    fn drop_ended_untracked(&mut self, report: LoadReport) {
        let (mut expected, recent): (Vec<BootMs>, Vec<BootMs>) =
            self.untracked.drain(..).partition(|since_ms| must_be_reported(*since_ms, &report));
        expected.truncate(report.in_flight as usize);
        expected.extend(recent);
        self.untracked = expected;
    }

    /// Drops the permits in excess of the reported requests, if the excess has lasted for
    /// [`EXCESS_PERMIT_GRACE_MS`]: the holders of these permits have terminated.
    fn drop_excess_permits(&mut self, now: BootMs, report: LoadReport) {
        let expected = self.permits.iter().filter(|(_, p)| must_be_reported(p.granted_ms, &report));
        let expected: Vec<u64> = expected.map(|(id, _)| *id).collect();
        let excess = expected.len().saturating_sub(report.in_flight as usize);
        if excess == 0 {
            self.excess_since_ms = None;
            return;
        }
        let since_ms = *self.excess_since_ms.get_or_insert(now);
        if now.since(since_ms) >= EXCESS_PERMIT_GRACE_MS {
            expected.iter().take(excess).for_each(|id| {
                self.permits.remove(id);
            });
            self.excess_since_ms = None;
        }
    }

    /// Removes and returns the permit of a request that has ended. If it is unknown whether the
    /// endpoint has `stopped` running the request, the request counts as untracked.
    pub(super) fn end(
        &mut self,
        now: BootMs,
        id: u64,
        stopped: bool,
        tokens: u32,
    ) -> Option<Permit> {
        let permit = self.permits.remove(&id)?;
        if !stopped {
            self.untracked.push(now);
        }
        if tokens > 0 && stopped {
            let observed = now.since(permit.granted_ms) as f64 / f64::from(tokens);
            self.ms_per_token += (observed - self.ms_per_token) * MS_PER_TOKEN_SMOOTHING;
        }
        Some(permit)
    }

    /// Removes the permits held by incarnations of `holder` other than `incarnation`. Their
    /// requests count as untracked.
    pub(super) fn remove_permits_of(
        &mut self,
        now: BootMs,
        holder: &VmId,
        incarnation: Option<u64>,
    ) {
        let is_orphaned = |permit: &Permit| {
            permit.holder == *holder && Some(permit.holder_incarnation) != incarnation
        };
        let before = self.permits.len();
        self.permits.retain(|_, permit| !is_orphaned(permit));
        let removed = before - self.permits.len();
        self.untracked.extend(std::iter::repeat_n(now, removed));
    }

    /// Returns an upper bound of the number of requests at the endpoint: the smaller one of two
    /// bounds. The first is the number of permits and untracked requests; the second is the number
    /// of requests in the last report plus those that may have arrived since.
    pub(super) fn in_flight(&self) -> u32 {
        let by_permits = self.permits.len() + self.untracked.len();
        let by_report = self.report.map_or(by_permits, |report| {
            let recent_permits =
                self.permits.values().filter(|p| !must_be_reported(p.granted_ms, &report)).count();
            let recent_untracked =
                self.untracked.iter().filter(|at| !must_be_reported(**at, &report)).count();
            report.in_flight as usize + recent_permits + recent_untracked
        });
        by_permits.min(by_report) as u32
    }

    /// Reports whether a recent load report shows that the endpoint is not in cold start.
    pub(super) fn is_warm(&self, now: BootMs) -> bool {
        self.report
            .is_some_and(|report| !report.cold && now.since(report.taken_ms) < MAX_WARM_AGE_MS)
    }

    /// Returns the hash of the model that the endpoint reports as loaded.
    pub(super) fn loaded_hash(&self) -> Option<u64> {
        self.report.map(|report| report.loaded_hash)
    }

    /// Returns the maximum number of requests allowed at the endpoint now; 0 without a baseline or
    /// a recent load report.
    pub(super) fn limit(&self, now: BootMs, spec: &Endpoint) -> u32 {
        let Some(report) = self.report else { return 0 };
        match self.has_baseline && now.since(report.taken_ms) < MAX_LOAD_REPORT_AGE_MS {
            true if self.is_warm(now) => spec.warm_limit,
            true => spec.cold_limit.min(report.cold_limit.unwrap_or(u32::MAX)),
            false => 0,
        }
    }

    /// Returns the number of further requests that the limit allows.
    pub(super) fn free_slots(&self, now: BootMs, spec: &Endpoint) -> u32 {
        self.limit(now, spec).saturating_sub(self.in_flight())
    }

    /// Reports whether a request suspected of crashing an endpoint runs here already.
    pub(super) fn has_suspect(&self) -> bool {
        self.permits.values().any(|permit| permit.suspect)
    }

    /// Returns the estimated number of output tokens that a running request has produced so far.
    fn estimated_output(&self, now: BootMs, permit: &Permit) -> f64 {
        let produced = now.since(permit.granted_ms) as f64 / self.ms_per_token;
        produced.min(f64::from(permit.max_tokens))
    }

    /// Reports whether the forecast memory demand of all generations at the endpoint plus the
    /// candidate (route, prompt tokens, maximum output tokens) fits for as long as the candidate is
    /// likely to run. Later points are skipped, so a short generation does not wait because of
    /// demand after its end. An endpoint without requests or without a memory limit always fits.
    pub(super) fn memory_fits(
        &self,
        now: BootMs,
        spec: &Endpoint,
        lengths: &BTreeMap<RouteId, OutputLengths>,
        candidate: (&RouteId, u32, u32),
    ) -> bool {
        if spec.memory_tokens == 0 {
            return true;
        }
        let room = spec.memory_tokens as f64 * MAX_MEMORY_FRACTION - self.untracked_tokens();
        let (route, prompt, max) = candidate;
        let permits = self.permits.values();
        let running = permits.map(|p| MemoryDemand {
            lengths: lengths.get(&p.route),
            prompt_tokens: f64::from(p.prompt_tokens),
            max_tokens: f64::from(p.max_tokens),
            produced_tokens: self.estimated_output(now, p),
        });
        let candidate = MemoryDemand {
            lengths: lengths.get(route),
            prompt_tokens: f64::from(prompt),
            max_tokens: f64::from(max),
            produced_tokens: 0.0,
        };
        let ends_before =
            |ahead: f64| candidate.running_probability(ahead) < MIN_RUNNING_PROBABILITY;
        let horizons =
            FORECAST_POINTS_TOKENS.iter().filter(|ahead| **ahead == 0.0 || !ends_before(**ahead));
        let horizons: Vec<f64> = horizons.copied().collect();
        let all: Vec<MemoryDemand> = running.chain([candidate]).collect();
        let fits = |ahead: &f64| {
            let (mean, variance) = all
                .iter()
                .map(|demand| demand.forecast(*ahead))
                .fold((0.0, 0.0), |(mean, variance), (m, v)| (mean + m, variance + v));
            mean + variance.sqrt() * MEMORY_MARGIN_DEVIATIONS <= room
        };
        self.in_flight() == 0 || horizons.iter().all(fits)
    }

    /// Returns the estimated memory of the untracked requests, in tokens.
    fn untracked_tokens(&self) -> f64 {
        let Some(report) = self.report.filter(|report| report.in_flight > 0) else { return 0.0 };
        let tokens_per_request = report.used_tokens as f64 / f64::from(report.in_flight);
        tokens_per_request * self.untracked.len() as f64
    }

    /// Returns the expected time until the first of the running requests ends, in milliseconds.
    pub(super) fn expected_end_ms(
        &self,
        now: BootMs,
        lengths: &BTreeMap<RouteId, OutputLengths>,
    ) -> u64 {
        let remaining = |permit: &Permit| {
            let produced = self.estimated_output(now, permit);
            let max = f64::from(permit.max_tokens);
            lengths.get(&permit.route).map_or(max, |l| l.expected_remaining(produced, max))
        };
        let shortest = self.permits.values().map(remaining).fold(f64::INFINITY, f64::min);
        match shortest.is_finite() {
            true => (shortest * self.ms_per_token) as u64,
            false => 0,
        }
    }
}
