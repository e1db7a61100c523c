//! What the owner of an endpoint knows of it, and how much more it may send there.

use crate::event::LoadReport;
use crate::lengths::Lengths;
use crate::limits::{PERMIT_USE_MS, REPORT_LOST_MS, WARM_EVIDENCE_MS};
use gypsumchute_config::Endpoint;
use gypsumchute_units::{BootMs, CustomerId, RouteId, VmId};
use std::collections::BTreeMap;

/// Points ahead, in tokens of each running output, at which memory need is forecast.
const HORIZON_TOKENS: [f64; 10] =
    [0.0, 16.0, 32.0, 64.0, 128.0, 256.0, 512.0, 1_024.0, 2_048.0, 4_096.0];
/// Chance of still running below which a request adds nothing to the need at a point ahead.
const GONE_CHANCE: f64 = 0.05;
/// Standard deviations above the mean need that forecasts allow for.
const CAUTION: f64 = 1.5;
/// Part of an engine's memory that forecasts may fill.
const MEMORY_FILL: f64 = 0.92;
/// Time for a token before any output was seen.
const DEFAULT_MS_PER_TOKEN: f64 = 30.0;
/// Weight of a new observation in the moving average of time per token.
const MS_PER_TOKEN_GAIN: f64 = 0.2;
/// How long an endpoint must report fewer requests than were permitted before permits are dropped.
const SURPLUS_WAIT_MS: u64 = 3_000;

/// What one generation may need of an engine's memory.
struct Need<'a> {
    lengths: Option<&'a Lengths>,
    prompt: f64,
    max: f64,
    produced: f64,
}

impl Need<'_> {
    /// The chance that it still runs once running outputs have `ahead` more tokens.
    fn alive(&self, ahead: f64) -> f64 {
        let length = self.produced + ahead;
        match length > self.max {
            true => 0.0,
            false => self.lengths.map_or(1.0, |l| l.reaches(length, self.produced)),
        }
    }

    /// Mean and variance of the memory that it holds once running outputs have `ahead` more tokens.
    fn at(&self, ahead: f64) -> (f64, f64) {
        let alive = self.alive(ahead);
        let held = self.prompt + self.produced + ahead;
        (alive * held, alive * (1.0 - alive) * held * held)
    }
}

/// Whether a request that may arrive for [`PERMIT_USE_MS`] from `since_ms` is in a report, unless
/// it has ended.
fn surely_shown(since_ms: BootMs, report: &LoadReport) -> bool {
    since_ms + PERMIT_USE_MS <= report.taken_ms
}

/// A permit in force.
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
    pub(super) suspect: bool,
    pub(super) charged: f64,
}

/// An endpoint that this VM owns.
#[derive(Debug)]
pub(super) struct OwnedEndpoint {
    usable_from_ms: BootMs,
    counted: bool,
    /// Requests that may run there without a permit: when each became one.
    unseen: Vec<BootMs>,
    report: Option<LoadReport>,
    surplus_since_ms: Option<BootMs>,
    ms_per_token: f64,
    pub(super) permits: BTreeMap<u64, Permit>,
}

impl OwnedEndpoint {
    /// Owned since `since_ms`. Permits of a former owner may be used for a time after that, and
    /// what they started is counted from the first load report taken later.
    pub(super) fn new(since_ms: BootMs, had_owner: bool) -> Self {
        let wait_ms = if had_owner { PERMIT_USE_MS } else { 0 };
        OwnedEndpoint {
            usable_from_ms: since_ms + wait_ms,
            counted: false,
            unseen: Vec::new(),
            report: None,
            surplus_since_ms: None,
            ms_per_token: DEFAULT_MS_PER_TOKEN,
            permits: BTreeMap::new(),
        }
    }

    /// Takes in a load report, or word that the endpoint can't be reached.
    pub(super) fn on_report(&mut self, now: BootMs, report: Option<LoadReport>) {
        let Some(report) = report else {
            self.report = None;
            return;
        };
        if !self.counted && report.taken_ms >= self.usable_from_ms {
            self.counted = true;
            self.unseen = vec![BootMs(0); report.running as usize];
        }
        let newer = self.report.is_none_or(|last| report.taken_ms > last.taken_ms);
        self.report = Some(report);
        if newer && self.counted {
            self.forget_ended(report);
            self.drop_surplus(now, report);
        }
    }

    /// Of the requests that it can't see, at most as many run as the endpoint shows.
    fn forget_ended(&mut self, report: LoadReport) {
        let (mut settled, late): (Vec<BootMs>, Vec<BootMs>) =
            self.unseen.drain(..).partition(|since_ms| surely_shown(*since_ms, &report));
        settled.truncate(report.running as usize);
        settled.extend(late);
        self.unseen = settled;
    }

    /// Drops permits that the endpoint has shown to be gone for a while: their holders are.
    fn drop_surplus(&mut self, now: BootMs, report: LoadReport) {
        let arrived = self.permits.iter().filter(|(_, p)| surely_shown(p.granted_ms, &report));
        let arrived: Vec<u64> = arrived.map(|(id, _)| *id).collect();
        let surplus = arrived.len().saturating_sub(report.running as usize);
        if surplus == 0 {
            self.surplus_since_ms = None;
            return;
        }
        let since_ms = *self.surplus_since_ms.get_or_insert(now);
        if now.since(since_ms) >= SURPLUS_WAIT_MS {
            arrived.iter().take(surplus).for_each(|id| {
                self.permits.remove(id);
            });
            self.surplus_since_ms = None;
        }
    }

    /// A request ended, or nobody knows whether it did.
    pub(super) fn end(
        &mut self,
        now: BootMs,
        id: u64,
        stopped: bool,
        tokens: u32,
    ) -> Option<Permit> {
        let permit = self.permits.remove(&id)?;
        if !stopped {
            self.unseen.push(now);
        }
        if tokens > 0 && stopped {
            let seen = now.since(permit.granted_ms) as f64 / f64::from(tokens);
            self.ms_per_token += (seen - self.ms_per_token) * MS_PER_TOKEN_GAIN;
        }
        Some(permit)
    }

    /// Takes out the permits of a process that is gone; what they started counts as unseen.
    pub(super) fn orphan(&mut self, now: BootMs, holder: &VmId, incarnation: Option<u64>) {
        let gone = |permit: &Permit| {
            permit.holder == *holder && Some(permit.holder_incarnation) != incarnation
        };
        let before = self.permits.len();
        self.permits.retain(|_, permit| !gone(permit));
        let gone = before - self.permits.len();
        self.unseen.extend(std::iter::repeat_n(now, gone));
    }

    /// The most requests that may be there. Two bounds hold: those with permits and those that it
    /// can't see; and those that the endpoint showed and what may have arrived since.
    pub(super) fn in_flight(&self) -> u32 {
        let known = self.permits.len() + self.unseen.len();
        let shown = self.report.map_or(known, |report| {
            let late_permits =
                self.permits.values().filter(|p| !surely_shown(p.granted_ms, &report)).count();
            let late_unseen = self.unseen.iter().filter(|at| !surely_shown(**at, &report)).count();
            report.running as usize + late_permits + late_unseen
        });
        known.min(shown) as u32
    }

    /// Whether recent evidence says that the endpoint is warm.
    pub(super) fn is_warm(&self, now: BootMs) -> bool {
        self.report
            .is_some_and(|report| !report.cold && now.since(report.taken_ms) < WARM_EVIDENCE_MS)
    }

    /// What the endpoint reports to have loaded, by hash.
    pub(super) fn loaded_hash(&self) -> Option<u64> {
        self.report.map(|report| report.loaded_hash)
    }

    /// The most requests that it may have now.
    pub(super) fn limit(&self, now: BootMs, spec: &Endpoint) -> u32 {
        let Some(report) = self.report else { return 0 };
        match self.counted && now.since(report.taken_ms) < REPORT_LOST_MS {
            true if self.is_warm(now) => spec.warm_limit,
            true => spec.cold_limit.min(report.cold_limit.unwrap_or(u32::MAX)),
            false => 0,
        }
    }

    /// Free places by number.
    pub(super) fn free(&self, now: BootMs, spec: &Endpoint) -> u32 {
        self.limit(now, spec).saturating_sub(self.in_flight())
    }

    /// Whether a request that was near a crash runs there already.
    pub(super) fn has_suspect(&self) -> bool {
        self.permits.values().any(|permit| permit.suspect)
    }

    fn produced(&self, now: BootMs, permit: &Permit) -> f64 {
        let produced = now.since(permit.granted_ms) as f64 / self.ms_per_token;
        produced.min(f64::from(permit.max_tokens))
    }

    /// Whether the memory that all its generations are going to need, with one more, fits for as
    /// long as that one is likely to run: a short one need not wait for what comes after its end.
    pub(super) fn memory_fits(
        &self,
        now: BootMs,
        spec: &Endpoint,
        lengths: &BTreeMap<RouteId, Lengths>,
        candidate: (&RouteId, u32, u32),
    ) -> bool {
        if spec.memory_tokens == 0 {
            return true;
        }
        let room = spec.memory_tokens as f64 * MEMORY_FILL - self.unseen_tokens();
        let (route, prompt, max) = candidate;
        let running = self.permits.values();
        let running = running.map(|p| Need {
            lengths: lengths.get(&p.route),
            prompt: f64::from(p.prompt_tokens),
            max: f64::from(p.max_tokens),
            produced: self.produced(now, p),
        });
        let candidate = Need {
            lengths: lengths.get(route),
            prompt: f64::from(prompt),
            max: f64::from(max),
            produced: 0.0,
        };
        let ends_before = |ahead: f64| candidate.alive(ahead) < GONE_CHANCE;
        let horizons =
            HORIZON_TOKENS.iter().filter(|ahead| **ahead == 0.0 || !ends_before(**ahead));
        let horizons: Vec<f64> = horizons.copied().collect();
        let all: Vec<Need> = running.chain([candidate]).collect();
        let fits = |ahead: &f64| {
            let (mean, variance) = all
                .iter()
                .map(|need| need.at(*ahead))
                .fold((0.0, 0.0), |(mean, variance), (m, v)| (mean + m, variance + v));
            mean + variance.sqrt() * CAUTION <= room
        };
        self.in_flight() == 0 || horizons.iter().all(fits)
    }

    fn unseen_tokens(&self) -> f64 {
        let Some(report) = self.report.filter(|report| report.running > 0) else { return 0.0 };
        let each = report.used_tokens as f64 / f64::from(report.running);
        each * self.unseen.len() as f64
    }

    /// How long until one of its requests is likely to end.
    pub(super) fn next_end_ms(&self, now: BootMs, lengths: &BTreeMap<RouteId, Lengths>) -> u64 {
        let remaining = |permit: &Permit| {
            let produced = self.produced(now, permit);
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
