//! Decides how a generation recovers when the endpoint shuts down, fails or stops responding.
//!
//! Engines may be reclaimed two seconds after their termination notice, whereas a generation runs
//! for ten seconds. A generation resumes from a backup of the KV cache while a backup exists,
//! restarts only if the route allows a restart, and never runs on two endpoints at the same time.
//!
//! A run that is lost before its answer began may have run in full, if only the answer was lost. No
//! backup of it is used then: none can be known to exist, and another endpoint could run the request
//! a second time.

use crate::table::RouteKind;

/// Reason why a generation cannot stay on the current endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Interruption {
    /// The endpoint announced a shutdown and still works.
    #[strum(serialize = "leaving")]
    Terminating,
    /// The connection broke, or the endpoint sent a malformed response.
    #[strum(serialize = "broken")]
    Disconnected,
    /// The endpoint sent no event before the timeout.
    #[strum(serialize = "silent")]
    Stalled,
}

/// State of a generation at the time of the interruption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GenerationState {
    /// Type of the route.
    pub kind: RouteKind,
    /// Whether at least one event has reached the caller.
    pub event_delivered: bool,
    /// Whether the answer of the current run has begun.
    pub answer_began: bool,
    /// Estimated number of tokens still to be generated.
    pub remaining_tokens: u64,
    /// Whether another endpoint that accepts requests holds a backup that has not been used yet.
    pub has_backup: bool,
    /// Whether the engine can copy the KV cache of a running generation.
    pub supports_kv_copy: bool,
    /// Number of endpoints that have run the request so far.
    pub endpoints_used: u32,
    /// Maximum number of endpoints that may run the request.
    pub max_endpoints: u32,
    /// Number of endpoints that failed while they ran the request.
    pub failed_endpoints: u32,
}

/// Next step of an interrupted generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RecoveryAction {
    /// Resume on the endpoint that holds the backup, from the backup.
    #[strum(serialize = "from_backup")]
    ResumeFromBackup,
    /// Copy the KV cache to another endpoint and resume on that endpoint.
    #[strum(serialize = "move")]
    Migrate,
    /// Restart on another endpoint, which prefills the prompt again and continues at the next
    /// event.
    #[strum(serialize = "anew")]
    Restart,
    /// Stay on the current endpoint for as long as the endpoint runs.
    #[strum(serialize = "stay")]
    KeepRunning,
    /// End the generation with an error.
    #[strum(serialize = "give_up")]
    Fail,
}

/// Number of endpoint failures after which the request is considered the likely cause.
pub const MAX_ENDPOINT_FAILURES: u32 = 3;

/// Maximum number of remaining tokens at which a generation stays on an engine that is about to
/// shut down. The generation finishes before the engine does, and the engine's network link stays
/// free for generations with more tokens left. Applies only to generations that may be restarted if
/// the estimate is wrong.
const MAX_TOKENS_TO_STAY: u64 = 64;

/// Decides the next step of a generation after an interruption.
pub fn choose_recovery(interruption: Interruption, state: GenerationState) -> RecoveryAction {
    let resumable = matches!(state.kind, RouteKind::Generation { resumable: true });
    let may_restart = resumable && state.endpoints_used < state.max_endpoints;
    let has_backup = state.has_backup
        && match interruption {
            Interruption::Terminating => true,
            Interruption::Disconnected | Interruption::Stalled => state.answer_began,
        };
    match interruption {
        _ if state.failed_endpoints >= MAX_ENDPOINT_FAILURES => RecoveryAction::Fail,
        Interruption::Terminating
            if may_restart && state.remaining_tokens <= MAX_TOKENS_TO_STAY =>
        {
            RecoveryAction::KeepRunning
        }
        _ if has_backup => RecoveryAction::ResumeFromBackup,
        Interruption::Terminating if state.supports_kv_copy && state.event_delivered => {
            RecoveryAction::Migrate
        }
        Interruption::Terminating => RecoveryAction::KeepRunning,
        Interruption::Disconnected | Interruption::Stalled if may_restart => {
            RecoveryAction::Restart
        }
        Interruption::Stalled => RecoveryAction::KeepRunning,
        Interruption::Disconnected => RecoveryAction::Fail,
    }
}
