//! How a generation goes on when its endpoint leaves, dies or falls silent.
//!
//! Answers the pattern "engines are reclaimed two seconds after their notice, and a generation
//! runs for ten": a run goes on from a copy of its memory while a copy exists, begins anew only
//! where that is allowed, and never runs at two endpoints at once.

use crate::table::RouteKind;

/// Why a generation can't stay where it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Loss {
    /// The endpoint announced that it leaves; it still works.
    Leaving,
    /// The connection broke, or the endpoint gave bytes that are no answer.
    Broken,
    /// No event for too long.
    Silent,
}

/// What is known of the generation at that moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunState {
    /// The route's kind.
    pub kind: RouteKind,
    /// Whether an event has reached the caller.
    pub delivered: bool,
    /// Tokens that are likely still to come.
    pub left_tokens: u64,
    /// Whether another endpoint in service holds a backup that was not used up.
    pub has_backup: bool,
    /// Whether the engine can copy a run's memory while it works.
    pub copies_runs: bool,
    /// Endpoints that have run the request so far.
    pub endpoints_used: u32,
    /// Endpoints that may run it.
    pub max_endpoints: u32,
    /// Endpoints that broke while they ran it.
    pub breaks: u32,
}

/// How the generation goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Next {
    /// At the endpoint that holds the backup, from its copy.
    FromBackup,
    /// At another endpoint, after a copy of its memory went there.
    Move,
    /// At another endpoint, which reads the prompt anew and goes on at the next event.
    Anew,
    /// Where it is, for as long as that lasts.
    Stay,
    /// Not at all.
    GiveUp,
}

/// Breaks after which a request counts as the likely cause.
pub const MAX_BREAKS: u32 = 3;

/// A run with at most so many tokens to come ends before its engine does, and leaves the engine's
/// link to those that have longer to go. Only where it may run anew if that turns out wrong.
const ENDS_SOON_TOKENS: u64 = 64;

/// Decides how a generation goes on.
pub fn next_step(loss: Loss, run: RunState) -> Next {
    let resumable = matches!(run.kind, RouteKind::Generation { resumable: true });
    let may_repeat = resumable && run.endpoints_used < run.max_endpoints;
    match loss {
        _ if run.breaks >= MAX_BREAKS => Next::GiveUp,
        Loss::Leaving if may_repeat && run.left_tokens <= ENDS_SOON_TOKENS => Next::Stay,
        _ if run.has_backup => Next::FromBackup,
        Loss::Leaving if run.copies_runs && run.delivered => Next::Move,
        Loss::Leaving => Next::Stay,
        Loss::Broken | Loss::Silent if may_repeat => Next::Anew,
        Loss::Silent => Next::Stay,
        Loss::Broken => Next::GiveUp,
    }
}
