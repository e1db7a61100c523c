//! Headroom for urgent generations: how far a generation may fill an engine.
//!
//! Guards against urgent generations that wait behind the long prompts of delay-tolerant ones. An
//! engine prefills its prompts one after the other, so a generation that arrives next waits for all
//! prompt tokens that are pending there. Many VMs send to the same engines, and no VM sees what the
//! others are about to send. A delay-tolerant generation therefore leaves every engine in a state in
//! which an urgent generation from any VM still meets its latency target.

use crate::features::ServiceFeatures;
use crate::table::{Route, RouteKind};

/// Prompt tokens that an engine prefills per millisecond while it produces tokens for a full batch.
/// Calculated for engines that prefill 14 tokens a millisecond alone: a decode step of a full batch of
/// 24 takes 10 ms, and 112 prompt tokens are prefilled between two steps.
pub const PREFILL_TOKENS_PER_MS: u64 = 6;
/// Maximum fraction of an engine's memory that running generations may reserve. Estimates err in
/// both directions; above this fraction, engines start to preempt generations.
const MAX_MEMORY_FRACTION: f64 = 0.92;
/// The same for delay-tolerant generations. The difference, 2,100 tokens of 30,000, is about one
/// urgent generation (a prompt of 2,200 tokens).
const MAX_MEMORY_FRACTION_WITH_HEADROOM: f64 = 0.85;
/// Maximum fraction of an engine's slots that delay-tolerant generations may use: 7 of 8.
const MAX_SLOT_FRACTION_WITH_HEADROOM: f64 = 0.9;
/// Fraction of a generation's latency target within which an engine must be able to prefill its
/// prompt and those ahead of it. The rest covers the connection, the first decode step, and prompts
/// that other VMs have sent and this VM does not know of yet.
const MAX_PREFILL_TARGET_FRACTION: f64 = 0.8;
/// Fraction of the shortest latency target that the prompts of delay-tolerant generations may take
/// up at an engine. The other half is left for the prompt of one urgent generation (2,200 tokens
/// take 370 ms) at an engine that is slower than the others by a factor of 1.3.
const HEADROOM_PREFILL_TARGET_FRACTION: f64 = 0.5;
/// Fraction of its latency target after which a waiting generation is no longer held back by the
/// headroom, so that urgent generations can't keep it waiting until it is late.
const MAX_HEADROOM_WAIT_FRACTION: f64 = 0.5;

/// What happens at an engine where the pending prefill would exceed the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PrefillLimit {
    /// The pending prefill is not limited.
    Unlimited,
    /// The engine is used only if no permitted engine with enough memory and slots has less pending
    /// prefill.
    Preferred {
        /// Limit in prompt tokens, including those of the request.
        max_pending_tokens: u64,
    },
    /// The engine is not used, unless it has no pending prefill at all.
    Required {
        /// Limit in prompt tokens, including those of the request.
        max_pending_tokens: u64,
    },
}

impl PrefillLimit {
    /// Reports whether an engine with `pending_tokens` of pending prefill may prefill
    /// `prompt_tokens` more. Any prompt fits an engine without pending prefill.
    pub fn allows(self, pending_tokens: u64, prompt_tokens: u64) -> bool {
        match self {
            PrefillLimit::Unlimited => true,
            PrefillLimit::Preferred { max_pending_tokens }
            | PrefillLimit::Required { max_pending_tokens } => {
                pending_tokens == 0
                    || pending_tokens.saturating_add(prompt_tokens) <= max_pending_tokens
            }
        }
    }
}

/// How far a request may fill an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityLimits {
    /// Maximum fraction of the engine's memory in use, including the request.
    pub max_memory_fraction: f64,
    /// Maximum fraction of the engine's slots in use, including the request.
    pub max_slot_fraction: f64,
    /// Limit of the engine's pending prefill.
    pub prefill: PrefillLimit,
}

impl Default for CapacityLimits {
    /// Returns the limits without the feature [`PatientQueueing`](crate::Feature::PatientQueueing).
    fn default() -> Self {
        CapacityLimits {
            max_memory_fraction: MAX_MEMORY_FRACTION,
            max_slot_fraction: 1.0,
            prefill: PrefillLimit::Unlimited,
        }
    }
}

impl CapacityLimits {
    /// Returns the number of requests that an engine with `slots` may have. At least one is allowed
    /// if the engine has a slot.
    pub fn max_requests(&self, slots: u32) -> u32 {
        let max_requests = (f64::from(slots) * self.max_slot_fraction) as u32;
        max_requests.max(1).min(slots)
    }
}

/// Returns the limits for a request of `route` that has waited for `waited_ms`.
///
/// The limits of a generation that has begun before (`has_begun`) are the default ones: its caller
/// waits for the next event, which the latency target does not cover.
pub fn capacity_limits(
    route: &Route,
    features: ServiceFeatures,
    waited_ms: u64,
    has_begun: bool,
) -> CapacityLimits {
    let is_generation = matches!(route.kind, RouteKind::Generation { .. });
    let is_limited = features.patient_queueing && is_generation && !has_begun;
    if !is_limited || features.shortest_target_ms == 0 {
        return CapacityLimits::default();
    }
    let is_delay_tolerant = features.is_delay_tolerant(route.latency_target_ms);
    let held_back_ms = max_headroom_wait_ms(route, features).unwrap_or_default();
    if waited_ms < held_back_ms {
        return CapacityLimits {
            max_memory_fraction: MAX_MEMORY_FRACTION_WITH_HEADROOM,
            max_slot_fraction: MAX_SLOT_FRACTION_WITH_HEADROOM,
            prefill: PrefillLimit::Required {
                max_pending_tokens: prefilled_tokens(
                    features.shortest_target_ms,
                    HEADROOM_PREFILL_TARGET_FRACTION,
                ),
            },
        };
    }
    // A delay-tolerant generation that is no longer held back still prefers engines where an urgent
    // one could start in time.
    let target_ms = match is_delay_tolerant {
        true => features.shortest_target_ms,
        false => route.latency_target_ms,
    };
    let max_pending_tokens = prefilled_tokens(target_ms, MAX_PREFILL_TARGET_FRACTION);
    CapacityLimits {
        prefill: PrefillLimit::Preferred { max_pending_tokens },
        ..CapacityLimits::default()
    }
}

/// Returns how long the headroom may hold back a request of `route`, in milliseconds since its
/// arrival. `None` if it does not hold the request back at all.
pub fn max_headroom_wait_ms(route: &Route, features: ServiceFeatures) -> Option<u64> {
    let is_held_back = features.patient_queueing
        && features.shortest_target_ms > 0
        && matches!(route.kind, RouteKind::Generation { .. })
        && features.is_delay_tolerant(route.latency_target_ms);
    is_held_back.then(|| target_fraction(route.latency_target_ms, MAX_HEADROOM_WAIT_FRACTION))
}

/// Returns `fraction` of a latency target, in milliseconds.
fn target_fraction(latency_target_ms: u64, fraction: f64) -> u64 {
    (latency_target_ms as f64 * fraction) as u64
}

/// Returns how many prompt tokens an engine prefills in `fraction` of a latency target.
fn prefilled_tokens(latency_target_ms: u64, fraction: f64) -> u64 {
    target_fraction(latency_target_ms, fraction).saturating_mul(PREFILL_TOKENS_PER_MS)
}
