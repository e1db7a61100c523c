//! Who waits for room, for how long, and when those who are refused may return.
//!
//! Answers the pattern "more generations arrive than engines have memory": one that would begin
//! too late to be of full use is refused at once, with a time to return at which those before it
//! have ended, spread so that not all return together.

use crate::table::{Priority, Route, RouteKind};
use std::collections::BTreeMap;

/// Part of a route's target that a request may wait for room. The rest is left for the endpoint
/// to begin.
const WAIT_PART_OF_TARGET: f64 = 0.6;
/// Part of the time left that a caller waits at most before it returns; callers stay away no
/// longer than a third of it.
const RETURN_PART_OF_LEFT: f64 = 0.3;
/// Shortest time to return, in ms.
const MIN_RETURN_MS: u64 = 200;

/// How long a request may wait for room, in ms.
pub fn patience_ms(route: &Route, left_ms: u64) -> u64 {
    let target_part = (route.target_ms as f64 * WAIT_PART_OF_TARGET) as u64;
    match route.kind {
        RouteKind::Generation { .. } => target_part.min(left_ms / 2),
        RouteKind::Idempotent | RouteKind::NonIdempotent => left_ms / 4,
    }
}

/// When a refused caller may return, in ms: between half and all of what it has time for, by a
/// `draw` that is spread evenly over requests.
pub fn return_after_ms(left_ms: u64, typical_wait_ms: u64, draw: u64) -> u64 {
    let longest = (left_ms as f64 * RETURN_PART_OF_LEFT) as u64;
    let wanted = typical_wait_ms.clamp(MIN_RETURN_MS, longest.max(MIN_RETURN_MS));
    wanted / 2 + draw % (wanted / 2 + 1)
}

/// Who waits for room, the most urgent and then the oldest first.
#[derive(Debug, Default)]
pub struct WaitingRoom {
    waiting: BTreeMap<(Priority, u64), u64>,
    next_ticket: u64,
}

/// A place in the [`WaitingRoom`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    key: (Priority, u64),
}

impl WaitingRoom {
    /// Takes a place for a request that needs `tokens` of memory.
    pub fn enter(&mut self, priority: Priority, tokens: u64) -> Ticket {
        let key = (priority, self.next_ticket);
        self.next_ticket += 1;
        self.waiting.insert(key, tokens);
        Ticket { key }
    }

    /// Gives the place up.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket.key);
    }

    /// Whether nobody more urgent or older waits who needs no more memory: one that waits for
    /// much doesn't hold up those that need little.
    pub fn may_try(&self, ticket: Ticket) -> bool {
        let own = self.waiting.get(&ticket.key).copied().unwrap_or_default();
        !self.waiting.range(..ticket.key).any(|(_, tokens)| *tokens <= own)
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
