//! Decides how a generation recovers when the endpoint shuts down, fails or stops responding.
//!
//! Guards against the loss of generations on engines that are reclaimed two seconds after their
//! termination notice, while a generation runs for ten seconds. A generation resumes from a backup
//! of the KV cache while a backup exists, restarts only if the route allows a restart, and never
//! runs on two endpoints at the same time.

use crate::table::RouteKind;

/// Reason why a generation cannot stay on the current endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Loss {
    /// The endpoint announced a shutdown and still works.
    Leaving,
    /// The connection broke, or the endpoint sent a malformed response.
    Broken,
    /// The endpoint sent no event before the timeout.
    Silent,
}

/// State of a generation at the time of the interruption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunState {
    /// Type of the route.
    pub kind: RouteKind,
    /// Whether at least one event has reached the caller.
    pub delivered: bool,
    /// Estimated number of tokens still to be generated.
    pub left_tokens: u64,
    /// Whether another endpoint in service holds a backup that has not been used yet.
    pub has_backup: bool,
    /// Whether the engine can copy the KV cache of a running generation.
    pub copies_runs: bool,
    /// Number of endpoints that have run the request so far.
    pub endpoints_used: u32,
    /// Maximum number of endpoints that may run the request.
    pub max_endpoints: u32,
    /// Number of endpoints that failed while they ran the request.
    pub breaks: u32,
}

/// Next step of an interrupted generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Next {
    /// Resume on the endpoint that holds the backup, from the backup.
    FromBackup,
    /// Copy the KV cache to another endpoint and resume on that endpoint.
    Move,
    /// Restart on another endpoint, which prefills the prompt again and continues at the next
    /// event.
    Anew,
    /// Stay on the current endpoint for as long as the endpoint runs.
    Stay,
    /// End the generation with an error.
    GiveUp,
}

/// Number of endpoint failures after which the request is considered the likely cause.
pub const MAX_ENDPOINT_FAILURES: u32 = 3;

/// Maximum number of remaining tokens at which a generation stays on an engine that is about to
/// shut down. The generation finishes before the engine does, and the engine's network link stays
/// free for generations with more tokens left. Applies only to generations that may be restarted if
/// the estimate is wrong.
const MAX_TOKENS_TO_STAY: u64 = 64;

/// Decides the next step of a generation after an interruption.
pub fn next_step(loss: Loss, run: RunState) -> Next {
    let resumable = matches!(run.kind, RouteKind::Generation { resumable: true });
    let may_restart = resumable && run.endpoints_used < run.max_endpoints;
    match loss {
        _ if run.breaks >= MAX_ENDPOINT_FAILURES => Next::GiveUp,
        Loss::Leaving if may_restart && run.left_tokens <= MAX_TOKENS_TO_STAY => Next::Stay,
        _ if run.has_backup => Next::FromBackup,
        Loss::Leaving if run.copies_runs && run.delivered => Next::Move,
        Loss::Leaving => Next::Stay,
        Loss::Broken | Loss::Silent if may_restart => Next::Anew,
        Loss::Silent => Next::Stay,
        Loss::Broken => Next::GiveUp,
    }
}
