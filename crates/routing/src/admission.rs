//! Admission control: how long requests queue for capacity, in which order they are admitted, and
//! when rejected callers may retry.
//!
//! Guards against generations that arrive faster than the engines can hold them in memory. A
//! generation that would start too late to have its full value is rejected immediately, with a
//! retry time by which the generations ahead of it have ended. Retry times are spread so that
//! rejected callers do not all return together.

use crate::table::{Priority, Route, RouteKind};
use std::collections::BTreeMap;

/// Maximum fraction of the route's latency target that a generation may spend in the queue. The
/// rest is left for the endpoint to start the response.
const MAX_QUEUE_WAIT_FRACTION: f64 = 0.6;
/// Maximum retry time as a fraction of the request's remaining time, so that callers wait for less
/// than a third of that time.
const MAX_RETRY_FRACTION: f64 = 0.3;
/// Minimum retry time before randomization, in milliseconds.
const MIN_RETRY_MS: u64 = 200;

/// Returns how long a request may queue for capacity, in milliseconds, given the time until the
/// caller's deadline. A generation may use part of the latency target but at most half of the
/// remaining time, and a plain request a quarter of the remaining time.
pub fn max_queue_wait_ms(route: &Route, remaining_ms: u64) -> u64 {
    let target_wait_ms = (route.latency_target_ms as f64 * MAX_QUEUE_WAIT_FRACTION) as u64;
    match route.kind {
        RouteKind::Generation { .. } => target_wait_ms.min(remaining_ms / 2),
        RouteKind::Idempotent | RouteKind::NonIdempotent => remaining_ms / 4,
    }
}

/// Returns when a rejected caller may retry, in milliseconds: a time between half and all of the
/// typical wait, which is limited by the caller's remaining time. `random_value` must be uniformly
/// distributed over requests.
pub fn retry_after_ms(remaining_ms: u64, typical_wait_ms: u64, random_value: u64) -> u64 {
    let max_retry_ms = (remaining_ms as f64 * MAX_RETRY_FRACTION) as u64;
    let retry_ms = typical_wait_ms.clamp(MIN_RETRY_MS, max_retry_ms.max(MIN_RETRY_MS));
    retry_ms / 2 + random_value % (retry_ms / 2 + 1)
}

/// Queue of requests that wait for capacity, ordered by priority and then by age.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    /// Engine memory that each request needs, in tokens, by priority and sequence number.
    queued: BTreeMap<(Priority, u64), u64>,
    next_sequence: u64,
}

/// Position of a request in the [`AdmissionQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuePosition {
    key: (Priority, u64),
}

impl AdmissionQueue {
    /// Adds a request that needs `tokens` of engine memory.
    pub fn enqueue(&mut self, priority: Priority, tokens: u64) -> QueuePosition {
        let key = (priority, self.next_sequence);
        self.next_sequence += 1;
        self.queued.insert(key, tokens);
        QueuePosition { key }
    }

    /// Removes a request from the queue.
    pub fn remove(&mut self, position: QueuePosition) {
        self.queued.remove(&position.key);
    }

    /// Reports whether a request may attempt placement now: no request ahead of it in the queue
    /// needs as much memory or less. A request that needs much memory therefore does not block
    /// requests that need little.
    pub fn may_attempt_placement(&self, position: QueuePosition) -> bool {
        let needed_tokens = self.queued.get(&position.key).copied().unwrap_or_default();
        !self.queued.range(..position.key).any(|(_, tokens)| *tokens <= needed_tokens)
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Reports whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}
