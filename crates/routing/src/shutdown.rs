//! Decides which requests a VM still accepts during a graceful shutdown.
//!
//! Guards against rolling restarts in which generations outlast the VM's grace period. A generation
//! that might be cut off is rejected while another VM can still serve it from the start. The
//! decision uses the maximum output length, because callers' estimates are often far off, and a
//! retry at another VM costs a caller only a fifth of a second.

use crate::table::RouteKind;

/// Upper estimate of the time to the first token of a generation, in milliseconds.
const MAX_FIRST_TOKEN_MS: u64 = 2_000;
/// Upper estimate of the time per token on a heavily loaded engine, in milliseconds.
const MAX_MS_PER_TOKEN: u64 = 15;
/// Upper estimate of the duration of a plain request, in milliseconds. Most plain requests take a
/// tenth of this time.
const MAX_PLAIN_REQUEST_MS: u64 = 1_000;

/// Reports whether a request may start on a VM that shuts down in `remaining_ms` milliseconds.
pub fn may_start(kind: RouteKind, max_output_tokens: u64, remaining_ms: u64) -> bool {
    let duration_ms = match kind {
        RouteKind::Generation { .. } => MAX_FIRST_TOKEN_MS + MAX_MS_PER_TOKEN * max_output_tokens,
        RouteKind::Idempotent | RouteKind::NonIdempotent => MAX_PLAIN_REQUEST_MS,
    };
    duration_ms <= remaining_ms
}
