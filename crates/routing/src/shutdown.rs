//! What a VM that shuts down still begins.
//!
//! Answers the pattern "VMs are rolled while generations outlast their grace period": one that
//! might be cut at its end is refused while another VM can still serve it from the start. What
//! counts is its longest output: callers' estimates are often far off, and returning to another VM
//! costs a caller a fifth of a second.

use crate::table::RouteKind;

/// Time that a generation may take until its first token, in ms.
const FIRST_TOKEN_MS: u64 = 2_000;
/// Time that a token may take on a crowded engine, in ms.
const TOKEN_MS: u64 = 15;
/// Time that a plain request may take, in ms. Most take a tenth.
const PLAIN_MS: u64 = 1_000;

/// Whether a request may begin on a VM that ends in `left_ms`.
pub fn may_begin(kind: RouteKind, longest_output_tokens: u64, left_ms: u64) -> bool {
    let takes_ms = match kind {
        RouteKind::Generation { .. } => FIRST_TOKEN_MS + TOKEN_MS * longest_output_tokens,
        RouteKind::Idempotent | RouteKind::NonIdempotent => PLAIN_MS,
    };
    takes_ms <= left_ms
}
