//! The order in which waiting requests get room: the customer that was served least goes first,
//! and of its requests the one that is likely to be the shortest.

use gypsumchute_units::{BootMs, CustomerId, RouteId, VmId};
use std::collections::BTreeMap;

/// Longest queue at one owner.
pub(super) const MAX_QUEUE: usize = 512;
/// Expected tokens that a request may wait away per millisecond, so that long ones also get a turn.
const AGING_TOKENS_PER_MS: f64 = 0.2;

/// A request that waits for room.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    pub(super) from: VmId,
    pub(super) from_incarnation: u64,
    pub(super) ask_id: u64,
    pub(super) customer: CustomerId,
    pub(super) route: RouteId,
    pub(super) prompt_tokens: u32,
    pub(super) max_tokens: u32,
    pub(super) prefix_hash: u64,
    pub(super) exclude: Vec<String>,
    pub(super) suspect: bool,
    pub(super) expected_tokens: f64,
    pub(super) since_ms: BootMs,
    pub(super) came_ms: BootMs,
    pub(super) until_ms: BootMs,
}

/// Waiting requests, and what each customer was served.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    pub(super) waiting: Vec<Waiting>,
    served: BTreeMap<CustomerId, f64>,
}

impl FairQueue {
    /// Sorts by whom to serve first. `weight_of` is a customer's fair share against others.
    pub(super) fn sort(&mut self, now: BootMs, weight_of: impl Fn(&CustomerId) -> f64) {
        let served = &self.served;
        let rank = |waiting: &Waiting| {
            let work = served.get(&waiting.customer).copied().unwrap_or(0.0);
            let aged = now.since(waiting.since_ms) as f64 * AGING_TOKENS_PER_MS;
            (work / weight_of(&waiting.customer), waiting.expected_tokens - aged)
        };
        self.waiting.sort_by(|a, b| {
            let (work_a, length_a) = rank(a);
            let (work_b, length_b) = rank(b);
            work_a.total_cmp(&work_b).then(length_a.total_cmp(&length_b))
        });
    }

    /// Charges a customer for work, in tokens; negative to correct an earlier charge. A customer
    /// that was away starts level with the one that was served least.
    pub(super) fn charge(&mut self, customer: &CustomerId, tokens: f64) {
        let least = self
            .waiting
            .iter()
            .filter(|waiting| waiting.customer != *customer)
            .filter_map(|waiting| self.served.get(&waiting.customer))
            .copied()
            .fold(f64::INFINITY, f64::min);
        let floor = if least.is_finite() { least } else { 0.0 };
        let served = self.served.entry(customer.clone()).or_insert(floor);
        if tokens > 0.0 {
            *served = served.max(floor);
        }
        *served += tokens;
    }
}
