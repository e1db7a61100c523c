//! Waiting for capacity in services with delay-tolerant generations: how long a request waits, when
//! it is refused, and when room can be expected.
//!
//! Guards against urgent generations that wait behind those that can give way, and against requests
//! that wait although no room will come in time. The order itself is kept by
//! [`AdmissionQueue`](crate::admission::AdmissionQueue). See `docs/design/queue-order.md`.

use crate::features::ServiceFeatures;
use crate::headroom::PREFILL_TOKENS_PER_MS;
use crate::placement::CapacityShortage;
use crate::table::{Route, RouteKind};
use gypsumchute_units::{BootMs, CustomerId};
use std::collections::{BTreeMap, VecDeque};

/// Fraction of the time from a request's arrival to its deadline after which a late generation no
/// longer waits. The rest is left for its output: in the known deployments outputs take up to two
/// thirds of the response timeout.
const MAX_LATE_WAIT_DEADLINE_FRACTION: f64 = 0.25;
/// Time in which placements are counted to forecast when room is expected, in milliseconds. A VM
/// places about one generation a second, so a shorter window often sees none.
const FORECAST_WINDOW_MS: u64 = 4_000;
/// Minimum time over which a rate is computed, in milliseconds, so that the first placement after a
/// start does not look like a high rate.
const MIN_RATE_PERIOD_MS: u64 = 1_000;
/// Factor by which a forecast may be wrong. About four placements fall into the window, and the 95 %
/// confidence interval of a rate that four events show reaches up to 2.6 times the rate.
const FORECAST_ERROR_FACTOR: u64 = 3;
/// Time after which recent work of a customer counts half, in milliseconds: several times the target
/// of delay-tolerant generations, so that a burst is remembered while its requests wait.
const WORK_HALF_LIFE_MS: f64 = 10_000.0;
/// Recent work below which a customer is forgotten, in tokens. A generation needs at least this much.
const MIN_REMEMBERED_WORK_TOKENS: f64 = 100.0;

/// How long a request may wait for capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitTimes {
    /// Arrival of the request.
    pub arrived_ms: BootMs,
    /// Latest start that meets the latency target.
    pub latest_start_ms: BootMs,
    /// End of the wait. It is after `latest_start_ms` if a late response is still of use.
    pub give_up_ms: BootMs,
}

/// Returns how long a request of `route` with a prompt of `prompt_tokens` may wait.
///
/// The latest start is the latency target less the expected time for the prompt, but at most half of
/// the time to the deadline. A delay-tolerant generation that can't be resumed may wait longer, up to
/// a quarter of the time to its deadline: its caller has time, and has nothing else to do than to send
/// it again, behind all others.
pub fn wait_times(
    route: &Route,
    features: ServiceFeatures,
    arrived_ms: BootMs,
    deadline_ms: BootMs,
    prompt_tokens: u64,
) -> WaitTimes {
    let prefill_ms = prompt_tokens / PREFILL_TOKENS_PER_MS;
    let total_ms = arrived_ms.until(deadline_ms);
    let start_ms = route.latency_target_ms.saturating_sub(prefill_ms).min(total_ms / 2);
    let may_be_late = route.kind == RouteKind::Generation { resumable: false }
        && features.is_delay_tolerant(route.latency_target_ms);
    let give_up_ms = match may_be_late {
        true => start_ms.max((total_ms as f64 * MAX_LATE_WAIT_DEADLINE_FRACTION) as u64),
        false => start_ms,
    };
    WaitTimes {
        arrived_ms,
        latest_start_ms: arrived_ms + start_ms,
        give_up_ms: arrived_ms + give_up_ms,
    }
}

/// Whether a request that found no capacity waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitDecision {
    /// It waits, and is decided on again at this time at the latest.
    Wait {
        /// End of the wait, or the time at which the decision may change.
        until_ms: BootMs,
    },
    /// It is refused now.
    Refuse,
}

/// When room is expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedRoom {
    /// Time until room is expected, in milliseconds.
    pub ms: u64,
    /// Whether room may come much sooner: requests were placed lately without a wait, so that the
    /// arrivals limited the rate of placements, not the room.
    pub is_upper_bound: bool,
}

/// Decides whether a request that lacks `shortage` waits. A `shortage` of `None` means that it waits
/// for its turn. `expected` states when room is expected, if that is known.
///
/// - A request whose wait has ended is refused.
/// - It is refused at once if room is expected only after the end of its wait, also if the forecast is
///   wrong by `FORECAST_ERROR_FACTOR`.
/// - A late one is refused if it has waited for the whole window of the forecast, and no request of
///   this VM got room in that time.
///
/// The last two apply only if memory or slots are used up. A request that is held back for urgent ones
/// is tried with the full limits later.
pub fn decide_wait(
    now: BootMs,
    times: WaitTimes,
    shortage: Option<CapacityShortage>,
    expected: Option<ExpectedRoom>,
) -> WaitDecision {
    let is_full = matches!(shortage, Some(CapacityShortage::Memory | CapacityShortage::Slots));
    let is_late = now >= times.latest_start_ms;
    let window_end_ms = times.arrived_ms + FORECAST_WINDOW_MS;
    let comes_too_late = match expected {
        Some(expected) if expected.is_upper_bound && !is_late => false,
        Some(expected) => now + expected.ms / FORECAST_ERROR_FACTOR > times.give_up_ms,
        None => is_late && now >= window_end_ms,
    };
    match is_late {
        _ if now >= times.give_up_ms || (is_full && comes_too_late) => WaitDecision::Refuse,
        true if now < window_end_ms => {
            WaitDecision::Wait { until_ms: times.give_up_ms.min(window_end_ms) }
        }
        true => WaitDecision::Wait { until_ms: times.give_up_ms },
        false => WaitDecision::Wait { until_ms: times.latest_start_ms },
    }
}

/// A request of this VM that got room.
#[derive(Debug, Clone, Copy)]
struct RecentPlacement {
    placed_ms: BootMs,
    /// Engine memory that the request needs.
    tokens: u64,
    has_waited: bool,
}

/// Room that the requests of this VM got lately in one service, from which the next room is forecast.
///
/// Placements count rather than runs that end: the room of a run that ends may go to another VM.
#[derive(Debug, Default)]
pub struct RoomForecast {
    /// Placements in the window, oldest first.
    recent: VecDeque<RecentPlacement>,
    first_placement_ms: Option<BootMs>,
    shortage: Option<CapacityShortage>,
}

impl RoomForecast {
    /// Records that a request that needs `tokens` of engine memory was placed, and whether it had to
    /// wait.
    pub fn on_placed(&mut self, now: BootMs, tokens: u64, has_waited: bool) {
        self.first_placement_ms.get_or_insert(now);
        self.recent.push_back(RecentPlacement { placed_ms: now, tokens, has_waited });
        while let Some(oldest) = self.recent.front()
            && now.since(oldest.placed_ms) >= FORECAST_WINDOW_MS
        {
            self.recent.pop_front();
        }
    }

    /// Records what the request that was next in the queue lacked.
    pub fn on_shortage(&mut self, shortage: Option<CapacityShortage>) {
        self.shortage = shortage;
    }

    /// Returns what the request that was next in the queue lacked.
    pub fn shortage(&self) -> Option<CapacityShortage> {
        self.shortage
    }

    /// Returns when room for `tokens` is expected. `None` if no request was placed within the window.
    pub fn expected_room(&self, now: BootMs, tokens: u64) -> Option<ExpectedRoom> {
        let is_recent =
            |placed: &&RecentPlacement| now.since(placed.placed_ms) < FORECAST_WINDOW_MS;
        let placed_tokens: u64 = self.recent.iter().filter(is_recent).map(|p| p.tokens).sum();
        let observed_ms = now.since(self.first_placement_ms?);
        let period_ms = observed_ms.clamp(MIN_RATE_PERIOD_MS, FORECAST_WINDOW_MS);
        let ms = tokens.saturating_mul(period_ms).checked_div(placed_tokens)?;
        let is_upper_bound = self.recent.iter().filter(is_recent).any(|p| !p.has_waited);
        Some(ExpectedRoom { ms, is_upper_bound })
    }

    /// Returns the typical wait for `tokens`, in milliseconds, from which the retry time of a refused
    /// request follows. If nothing is known, that is `latency_target_ms`, or the length of the window
    /// if that is longer and no room has come for so long.
    pub fn typical_wait_ms(&self, now: BootMs, tokens: u64, latency_target_ms: u64) -> u64 {
        let silent_ms = self.first_placement_ms.map_or(0, |_| FORECAST_WINDOW_MS);
        let expected = self.expected_room(now, tokens);
        expected.map_or(latency_target_ms.max(silent_ms), |expected| expected.ms)
    }
}

/// Work that this VM has placed lately for each customer, in tokens, weighted by age.
#[derive(Debug, Default)]
pub struct RecentWork {
    /// `None` stands for all callers without a known key.
    tokens: BTreeMap<Option<CustomerId>, f64>,
    weighted_at_ms: BootMs,
}

impl RecentWork {
    /// Records that a request of `customer` that needs `tokens` of engine memory was placed.
    pub fn on_placed(&mut self, now: BootMs, customer: &Option<CustomerId>, tokens: u64) {
        let halvings = now.since(self.weighted_at_ms) as f64 / WORK_HALF_LIFE_MS;
        let weight = 0.5f64.powf(halvings);
        self.weighted_at_ms = self.weighted_at_ms.max(now);
        self.tokens.values_mut().for_each(|work| *work *= weight);
        *self.tokens.entry(customer.clone()).or_default() += tokens as f64;
        self.tokens.retain(|_, work| *work >= MIN_REMEMBERED_WORK_TOKENS);
    }

    /// Returns the work of `customer`, in whole tokens. Only the order of the customers matters, which
    /// ageing does not change.
    pub fn of(&self, customer: &Option<CustomerId>) -> u64 {
        self.tokens.get(customer).copied().unwrap_or_default() as u64
    }
}
