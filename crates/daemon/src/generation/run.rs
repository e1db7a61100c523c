//! What a generation is made of: runs, their backups, and what becomes of them.

use crate::context::LoadGuard;
use crate::events::EventReader;
use crate::reply::{Reply, StreamAborted};
use bytes::Bytes;
use gypsumchute_exchange::Answer;
use gypsumchute_platform::RunSource;
use gypsumchute_platform::endpoints::{CopyError, RunCopy};
use gypsumchute_routing::continuity::Loss;
use gypsumchute_units::{EndpointId, Refusal};
use http::response::Parts;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// The way to the caller.
pub(super) struct ResponseSender {
    pub(super) head: Option<oneshot::Sender<Result<Parts, Reply>>>,
    pub(super) events: mpsc::Sender<Result<Bytes, StreamAborted>>,
}

/// A copy of a run's memory from which it can go on.
pub(super) struct Backup {
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) source: RunSource,
    /// Counts the memory that the copy takes.
    pub(super) load_guard: LoadGuard,
}

impl Backup {
    /// Whether it was made on order and takes memory until it is used or freed.
    pub(super) fn is_explicit_copy(&self) -> bool {
        self.source.address != self.address
    }
}

/// A run at an engine.
pub(super) struct Run {
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) answer: Answer,
    pub(super) events: EventReader,
    pub(super) backup: Option<Backup>,
    pub(super) last_event_at: Instant,
    pub(super) termination_handled: bool,
    pub(super) load_guard: LoadGuard,
}

/// How to begin or go on.
pub(super) enum StartFrom {
    /// At an engine with room, reading the prompt.
    Prompt,
    /// At the engine that holds a copy.
    Backup(Backup),
}

/// What came of a [`StartFrom`].
pub(super) enum StartOutcome {
    Running(Box<Run>),
    /// The engine turned it down.
    NotRun,
    /// It may have begun there.
    Lost(Option<Backup>),
    /// It looked for an engine in vain.
    Refused(Refusal),
    /// The engine answered with a failure of its own.
    Failed(Reply),
}

/// How a generation ended.
pub(super) enum GenerationEnd {
    Complete,
    CallerDisconnected,
    TimedOut,
    Refused(Refusal),
    Failed(Reply),
}

/// Why a run is not pumped any further.
pub(super) enum RelayEnd {
    Complete,
    Lost(Loss, Option<Backup>),
}

pub(super) type PendingCopy =
    Pin<Box<dyn Future<Output = (CopyTarget, Result<RunCopy, CopyError>)>>>;

/// The engine that takes a run in.
pub(super) struct CopyTarget {
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) load_guard: LoadGuard,
}
