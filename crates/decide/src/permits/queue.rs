//! Fair queue of permit requests: the customer that was served least in proportion to its weight
//! goes first, and among the requests of one customer the one with the shortest expected output.

use gypsumchute_units::{BootMs, CustomerId, RouteId, VmId};
use std::collections::BTreeMap;

/// Maximum number of permit requests queued at one owner.
pub(super) const MAX_QUEUE_LENGTH: usize = 512;
/// Expected output tokens by which a queued request moves forward per millisecond of waiting, so
/// that requests with long outputs are not starved.
const AGING_TOKENS_PER_MS: f64 = 0.2;

/// A permit request that waits for capacity.
#[derive(Debug, Clone)]
pub(super) struct QueuedAsk {
    pub(super) from: VmId,
    pub(super) from_incarnation: u64,
    pub(super) ask_id: u64,
    pub(super) customer: CustomerId,
    pub(super) route: RouteId,
    pub(super) prompt_tokens: u32,
    pub(super) max_tokens: u32,
    pub(super) prefix_hash: u64,
    /// Endpoints that must not be chosen.
    pub(super) exclude: Vec<String>,
    /// Whether the request is suspected of having crashed an endpoint.
    pub(super) suspect: bool,
    /// Expected output length, in tokens.
    pub(super) expected_tokens: f64,
    /// Time since which the request has waited for capacity, here and at other owners.
    pub(super) waiting_since_ms: BootMs,
    pub(super) received_ms: BootMs,
    /// Time at which the request is refused.
    pub(super) deadline_ms: BootMs,
}

/// The queued permit requests and the work charged to each customer.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    pub(super) asks: Vec<QueuedAsk>,
    /// Work charged to each customer, in output tokens.
    served_tokens: BTreeMap<CustomerId, f64>,
}

impl FairQueue {
    /// Sorts the queue by the order in which to serve it. `weight_of` returns a customer's weight
    /// against other customers.
    pub(super) fn sort(&mut self, now: BootMs, weight_of: impl Fn(&CustomerId) -> f64) {
        let served_tokens = &self.served_tokens;
        let rank = |queued: &QueuedAsk| {
            let work = served_tokens.get(&queued.customer).copied().unwrap_or(0.0);
            let aged = now.since(queued.waiting_since_ms) as f64 * AGING_TOKENS_PER_MS;
            (work / weight_of(&queued.customer), queued.expected_tokens - aged)
        };
        self.asks.sort_by(|a, b| {
            let (work_a, length_a) = rank(a);
            let (work_b, length_b) = rank(b);
            work_a.total_cmp(&work_b).then(length_a.total_cmp(&length_b))
        });
    }

    /// Charges a customer for work in output tokens; a negative value corrects an earlier charge. A
    /// customer that had no requests for a while starts at the lowest value of the other customers
    /// in the queue, so that idle time does not count as credit.
    pub(super) fn charge(&mut self, customer: &CustomerId, tokens: f64) {
        let least = self
            .asks
            .iter()
            .filter(|queued| queued.customer != *customer)
            .filter_map(|queued| self.served_tokens.get(&queued.customer))
            .copied()
            .fold(f64::INFINITY, f64::min);
        let floor = if least.is_finite() { least } else { 0.0 };
        let served = self.served_tokens.entry(customer.clone()).or_insert(floor);
        if tokens > 0.0 {
            *served = served.max(floor);
        }
        *served += tokens;
    }
}
