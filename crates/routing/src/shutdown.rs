//! Decides which requests a VM still begins during a graceful shutdown.
//!
//! Guards against planned stops that cut requests. A request that might be cut is rejected while
//! another VM can still serve it from the start: a retry there costs its caller a fifth of a second. A
//! request that certainly ends before the VM exits, by its own deadline at the latest, is served at any
//! time. Any other is begun only early in the shutdown, and only if it ends in time even at the pace that
//! its route allows; the maximum output length counts, because callers' estimates are often far off.

use crate::table::{Route, RouteKind, Service};
use gypsumchute_units::BootMs;

/// Time after the beginning of the shutdown in which requests may start that need not end by their own
/// deadline, in milliseconds. By then, two health checks of the load balancer have failed, which it sends
/// once a second, and only callers that keep connections open still come.
const EARLY_MS: u64 = 2_500;
/// Lower bound of the estimated duration of a plain request, in milliseconds. Most plain requests take
/// a tenth of this time.
const MIN_PLAIN_REQUEST_MS: u64 = 1_000;

/// Course of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// When it began.
    pub started_ms: BootMs,
    /// When requests that are still in flight are answered, shortly before the process exits.
    pub last_answers_ms: BootMs,
}

/// A request that may start during a shutdown.
#[derive(Debug, Clone, Copy)]
pub struct PendingRequest<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// Service that runs the request.
    pub service: &'a Service,
    /// Maximum length of the output, in tokens, if the caller states one.
    pub max_output_tokens: Option<u64>,
    /// When the request ends at the latest.
    pub deadline_ms: BootMs,
}

impl PendingRequest<'_> {
    /// Returns the longest time that the request takes if it is not late, in milliseconds. `None` if it
    /// has no bound.
    fn longest_duration_ms(&self) -> Option<u64> {
        let Route { latency_target_ms, inter_event_target_ms, .. } = *self.route;
        match (self.route.kind, self.service.engine) {
            (RouteKind::Idempotent | RouteKind::NonIdempotent, _) => {
                Some(latency_target_ms.max(MIN_PLAIN_REQUEST_MS))
            }
            (RouteKind::Generation { .. }, Some(engine)) if inter_event_target_ms > 0 => {
                let events =
                    self.max_output_tokens?.div_ceil(engine.tokens_per_event.max(1).into());
                Some(latency_target_ms.saturating_add(events.saturating_mul(inter_event_target_ms)))
            }
            (RouteKind::Generation { .. }, _) => None,
        }
    }
}

/// Reports whether `request` may start at `now` on a VM that shuts down.
pub fn may_start(now: BootMs, shutdown: Shutdown, request: PendingRequest<'_>) -> bool {
    let left_ms = now.until(shutdown.last_answers_ms);
    let is_early = now.since(shutdown.started_ms) < EARLY_MS;
    let ends_in_time = || request.longest_duration_ms().is_some_and(|longest| longest <= left_ms);
    request.deadline_ms <= shutdown.last_answers_ms || is_early && ends_in_time()
}
