//! Types that describe the runs of a generation, their backups and their outcomes.

use super::MAX_BUFFERED_BYTES;
use super::unread::UnreadSignals;
use crate::call::{Call, EndedBy, SendOptions};
use crate::context::{Context, LoadGuard};
use crate::endpoint_access::PermitWait;
use crate::events::{Event, EventError, EventReader, EventSequence};
use crate::reply::{QueuedChunk, Reply, StreamCompletion};
use bytes::Bytes;
use gypsumchute_exchange::{Connection, ExchangeError, ResponseStream};
use gypsumchute_platform::endpoints::{CopyError, KvCopy};
use gypsumchute_platform::{KvSource, ResponseKind};
use gypsumchute_routing::continuity::Interruption;
use gypsumchute_routing::stream_versions::ServiceVersion;
use gypsumchute_units::{EndpointId, Refusal};
use http::response::Parts;
use log::info;
use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Timeout for asking an engine to free a copy, in milliseconds.
const FREE_COPY_TIMEOUT_MS: u64 = 1_000;

/// Size of the unread events up to which a stream does not draw on the memory that all streams share,
/// in bytes: some seconds of a stream of small events.
const FREE_STREAM_BYTES: u32 = 4 << 10;

/// Sends the response head and the events to the caller.
pub(super) struct ResponseSender {
    /// Channel for the response head, or for a complete reply in place of a stream. `None` once
    /// used.
    pub(super) head: Option<oneshot::Sender<Result<Parts, Reply>>>,
    /// Channel for the complete events of the body.
    pub(super) events: mpsc::Sender<QueuedChunk>,
    /// Whether the stream is complete once its events are read. It is aborted otherwise.
    pub(super) completion: StreamCompletion,
    /// Room for events that the caller has not read, in bytes.
    pub(super) buffer: Arc<Semaphore>,
    /// Room for the unread events of all streams, in bytes.
    pub(super) shared_buffer: Arc<Semaphore>,
}

impl ResponseSender {
    /// Queues an event for the caller, and waits for room if the caller reads slowly. Returns false
    /// if the caller has disconnected.
    pub(super) async fn send_event(&self, bytes: Bytes) -> bool {
        let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        let room = tokio::select! {
            room = self.buffer.clone().acquire_many_owned(length) => room,
            () = self.events.closed() => return false,
        };
        let Ok(permit) = room else { return false };
        let shared_permit = tokio::select! {
            shared_permit = self.shared_room(length) => shared_permit,
            () = self.events.closed() => return false,
        };
        self.events.send(QueuedChunk { bytes, permit, shared_permit }).await.is_ok()
    }

    /// Takes room for an event of `length` bytes from the memory that all streams share. Returns `None`
    /// as soon as the stream has so little unread that it needs none.
    async fn shared_room(&self, length: u32) -> Option<OwnedSemaphorePermit> {
        // What the event itself occupies is taken from the stream's buffer already.
        let own_bytes = (MAX_BUFFERED_BYTES as u32).saturating_sub(length.max(FREE_STREAM_BYTES));
        tokio::select! {
            biased;
            drained = self.buffer.acquire_many(own_bytes) => drained.ok().and(None),
            shared = self.shared_buffer.clone().acquire_many_owned(length) => shared.ok(),
        }
    }
}

/// A run's KV cache at another engine, from which the generation can resume: the backup that the
/// engine of the run maintains during the run, or a copy that was created by an explicit request
/// before the engine terminates.
pub(super) struct Backup {
    /// Engine that holds or receives the copy.
    pub(super) endpoint: EndpointId,
    /// Address of `endpoint`.
    pub(super) address: SocketAddr,
    /// Service and software version of `endpoint` when it was chosen: those of the run.
    pub(super) version: ServiceVersion,
    /// Where the engine reads the copy from when it resumes the generation.
    pub(super) source: KvSource,
    /// Engine at `source`.
    pub(super) source_endpoint: EndpointId,
    /// Accounts for the memory that the copy occupies.
    pub(super) load_guard: LoadGuard,
    /// Gives access to the engines, for freeing the copy.
    pub(super) context: Rc<Context>,
}

impl Backup {
    /// Reports whether the copy was created by an explicit request. An explicit copy occupies
    /// memory until it is used or freed. Its source is the engine that it was made from, whereas a
    /// backup is read at the engine that stores it.
    fn is_explicit_copy(&self) -> bool {
        self.source.address != self.address
    }

    /// Frees the copy, which was not used, if it was created by an explicit request.
    pub(super) fn free(self) {
        if !self.is_explicit_copy() {
            return;
        }
        spawn_local(async move {
            let _load_guard = self.load_guard;
            let copy = KvCopy { handle: self.source.name };
            free_copy(&self.context, &self.source_endpoint, self.source.address, copy).await;
        });
    }
}

/// Frees `copy`, which was made from the engine `endpoint` at `source` and is not needed.
pub(super) async fn free_copy(
    context: &Context,
    endpoint: &EndpointId,
    source: SocketAddr,
    copy: KvCopy,
) {
    let result = match context.acquire_control(endpoint) {
        Some(permit) => {
            let freed = permit.free_kv_copy(context, source, &copy, FREE_COPY_TIMEOUT_MS).await;
            freed.map_err(|err| err.to_string())
        }
        None => Err("the engine takes no requests now".to_owned()),
    };
    if let Err(error) = result {
        info!(endpoint = endpoint.as_str(), error;
            "KV copy could not be freed; the engine frees it after a timeout");
    }
}

/// Beginning of a response, or why there is none.
pub(super) type SendResult = Result<(EventStream, ResponseKind), ExchangeError>;

/// A run whose request is about to be sent.
pub(super) struct PreparedRun {
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) version: ServiceVersion,
    pub(super) load_guard: LoadGuard,
    /// Backup that the engine is asked to maintain.
    pub(super) backup: Option<Backup>,
    /// Copy that the run continues from.
    pub(super) copy: Option<Backup>,
    /// Id of the last event that the caller has received.
    pub(super) after_event: Option<u64>,
}

impl PreparedRun {
    /// Sends the request and waits for the beginning of the response.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Call::send`] does.
    pub(super) async fn send(&self, call: &Call, connection: Connection) -> SendResult {
        let options = SendOptions {
            backup_at: self.backup.as_ref().map(|backup| backup.address),
            source: self.copy.as_ref().map(|copy| &copy.source),
            last_event: self.after_event,
        };
        let (response, kind) = call.send(connection, &self.endpoint, options).await?;
        Ok((EventStream::new(response), kind))
    }
}

/// An active run of a generation at an engine.
pub(super) struct Run {
    /// Engine that runs the generation.
    pub(super) endpoint: EndpointId,
    /// Address of `endpoint`.
    pub(super) address: SocketAddr,
    /// Service and software version of `endpoint`.
    pub(super) version: ServiceVersion,
    /// Whether an earlier run began the stream.
    pub(super) continues_stream: bool,
    /// Whether another VM relays the run, and has moved it away from `endpoint`.
    pub(super) is_at_peer: bool,
    /// Event stream.
    pub(super) stream: EventStream,
    /// Backup that the generation can resume from.
    pub(super) backup: Option<Backup>,
    /// When the last event arrived, or the response head if no event has arrived yet.
    pub(super) last_event_at: Instant,
    /// What the stream brought while another run was to take the place of this one.
    pub(super) unread: UnreadSignals,
    /// Attempts to replace the run since its last event.
    pub(super) silence: Silence,
    /// Whether the announced termination of the engine has already been acted on.
    pub(super) termination_handled: bool,
    /// Whether this VM or a peer may have asked the engine to stop the run. The stream then ends before
    /// it is complete.
    pub(super) may_be_stopped: bool,
    /// Accounts for the load of the run.
    pub(super) load_guard: LoadGuard,
}

/// What the stream of a run brings next.
pub(super) enum RunSignal {
    /// A complete event.
    Event(Event),
    /// The end of the stream, which may not be complete.
    Ended,
    /// The connection broke, or the engine sent something invalid.
    Failed(RunFailure),
}

/// The event stream of a run.
pub(super) struct EventStream {
    /// Response whose body is the event stream.
    pub(super) response: ResponseStream,
    /// Splits the response body into events.
    events: EventReader,
}

impl EventStream {
    /// Reads the body of `response`.
    pub(super) fn new(response: ResponseStream) -> Self {
        EventStream { response, events: EventReader::default() }
    }

    /// Waits for the next event or the end of the stream. No bytes are lost if this is cancelled.
    pub(super) async fn next_signal(&mut self) -> RunSignal {
        loop {
            match self.events.next_event() {
                Ok(Some(event)) => return RunSignal::Event(event),
                Ok(None) => {}
                Err(err) => return RunSignal::Failed(err.into()),
            }
            match self.response.next_chunk().await {
                Ok(Some(chunk)) => self.events.push(&chunk),
                Ok(None) => return RunSignal::Ended,
                Err(err) => return RunSignal::Failed(err.into()),
            }
        }
    }
}

impl Run {
    /// Waits for the next event or the end of the stream. No bytes are lost if this is cancelled.
    pub(super) async fn next_signal(&mut self) -> RunSignal {
        self.stream.next_signal().await
    }

    /// Returns `signal`, or a failure in place of the end of a stream that will not be complete once
    /// what is unread was delivered. See [`Self::check_end`]. The failure of a run that may have been
    /// stopped is not its engine's.
    pub(super) fn checked(
        &self,
        signal: RunSignal,
        sequence: &EventSequence,
        delivered_events: u64,
    ) -> RunSignal {
        let check_end = || {
            let mut sequence = EventSequence::resume_after(sequence.last_id());
            let unread_events = self.unread.advance(&mut sequence)?;
            self.check_end(&sequence, delivered_events + unread_events)
        };
        match signal {
            RunSignal::Ended => match check_end() {
                Ok(()) => RunSignal::Ended,
                Err(failure) => RunSignal::Failed(failure),
            },
            RunSignal::Failed(RunFailure::Disconnected(cause)) if self.may_be_stopped => {
                RunSignal::Failed(RunFailure::Stopped(cause))
            }
            RunSignal::Event(_) | RunSignal::Failed(_) => signal,
        }
    }

    /// Returns who relays the stream to this VM.
    pub(super) fn relayed_by(&self) -> EndedBy {
        if self.is_at_peer { EndedBy::Peer } else { EndedBy::Endpoint }
    }

    /// Checks whether the stream, which has ended, is complete. The caller has received the events of
    /// `sequence`, which are `delivered_events` since the request arrived.
    ///
    /// # Errors
    ///
    /// Returns the failure that the end of the stream shows.
    fn check_end(&self, sequence: &EventSequence, delivered_events: u64) -> Result<(), RunFailure> {
        if self.may_be_stopped && self.stream.response.ends_with_connection() {
            return Err(RunFailure::Stopped("stream ended and may have been stopped".to_owned()));
        }
        // A stream without framing ends so if the connection breaks.
        if self.stream.events.has_partial_event() {
            return Err(RunFailure::Disconnected("stream ended within an event".to_owned()));
        }
        if !sequence.is_reached_by(self.stream.events.last_id()) {
            return Err(RunFailure::InvalidResponse("stream ended too early".to_owned()));
        }
        if delivered_events == 0 {
            return Err(RunFailure::Disconnected("stream ended without an event".to_owned()));
        }
        Ok(())
    }
}

/// Attempts to replace a run that is silent.
#[derive(Debug, Default)]
pub(super) struct Silence {
    /// When another engine is looked for at the earliest. `None` before the first attempt.
    pub(super) next_search_at: Option<Instant>,
    /// Whether the silence was recorded against the engine.
    pub(super) is_recorded: bool,
    /// Whether the engine that holds the backup did not start a run.
    pub(super) is_backup_refused: bool,
    /// Engines that did not start a run in place of this one.
    pub(super) turned_away: BTreeSet<EndpointId>,
    /// Engines that accepted a connection and did not report their state.
    pub(super) unresponsive: BTreeSet<EndpointId>,
}

/// Where a run takes its state from.
pub(super) enum StartFrom {
    /// Prefill: a newly chosen engine processes the prompt.
    Prompt,
    /// The engine that holds the backup resumes from the copied KV cache, once it may be sent to.
    Backup(Box<Backup>, PermitWait),
}

/// Result of starting a run.
pub(super) enum StartOutcome {
    /// The engine accepted the request and streams events.
    Running(Box<Run>),
    /// The engine rejected the request without running it. Contains the copy that the run was to
    /// continue from, if there was one: the engine may still hold it, or receive it later.
    NotRun(Option<Backup>),
    /// The engine may have started the run but sent no usable response; contains the backup, if the
    /// request asked for one.
    Lost(Option<Backup>),
    /// No engine was available.
    Refused(Refusal),
    /// The engine responded with an error, which is forwarded to the caller.
    Failed(Reply),
    /// Another VM serves the generation, and this is the beginning of its reply.
    Forwarded(Reply),
    /// The generation was handed to another VM, which sent no reply. It may have run.
    ForwardLost,
}

/// Why a run ended without its complete stream.
pub(super) enum RunFailure {
    /// The connection broke, as it does when the engine crashes.
    Disconnected(String),
    /// The engine sent something invalid, so it is still running.
    InvalidResponse(String),
    /// The connection ended, and this VM or a peer may have asked the engine to stop the run.
    Stopped(String),
}

impl RunFailure {
    /// Returns the error message.
    pub(super) fn cause(&self) -> &str {
        match self {
            RunFailure::Disconnected(cause)
            | RunFailure::InvalidResponse(cause)
            | RunFailure::Stopped(cause) => cause,
        }
    }
}

impl From<ExchangeError> for RunFailure {
    fn from(err: ExchangeError) -> Self {
        match err.is_disconnect() {
            true => RunFailure::Disconnected(err.to_string()),
            false => RunFailure::InvalidResponse(err.to_string()),
        }
    }
}

impl From<EventError> for RunFailure {
    fn from(err: EventError) -> Self {
        RunFailure::InvalidResponse(err.to_string())
    }
}

/// Why a generation ended.
pub(super) enum GenerationEnd {
    /// The stream reached its end.
    Complete,
    /// The caller closed the connection.
    CallerDisconnected,
    /// The deadline expired.
    TimedOut,
    /// This VM is about to exit.
    ShutDown,
    /// No engine could run or resume the generation.
    Refused(Refusal),
    /// An engine's error response is forwarded to the caller.
    Failed(Reply),
    /// Another VM serves the generation, and this is the beginning of its reply.
    Forwarded(Reply),
}

/// Why a run that was lost was not followed by another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum NoRecovery {
    /// The software version that began the stream is not certain.
    VersionUncertain,
    /// The run has no backup, and the request may not run again.
    NotRepeatable,
    /// As many endpoints as the route allows may have run the request.
    EndpointsUsed,
    /// No retry is left in the budget.
    RetryBudgetSpent,
}

/// Why the events of a run are no longer relayed.
pub(super) enum RelayEnd {
    /// The stream reached its end.
    Complete,
    /// The run was lost; contains the backup, if one is still usable.
    Lost(Interruption, Option<Backup>),
    /// The engine that was to continue the generation responded with an error.
    Failed(Reply),
}

/// A copy of a run's KV cache that is in progress, with the engine that receives it.
pub(super) type PendingCopy =
    Pin<Box<dyn Future<Output = (CopyTarget, Result<KvCopy, CopyError>)>>>;

/// Engine that receives a copy of a run's KV cache.
pub(super) struct CopyTarget {
    /// Engine that receives the copy.
    pub(super) endpoint: EndpointId,
    /// Address of `endpoint`.
    pub(super) address: SocketAddr,
    /// Service and software version of `endpoint`.
    pub(super) version: ServiceVersion,
    /// Accounts for the memory that the copy will occupy.
    pub(super) load_guard: LoadGuard,
}
