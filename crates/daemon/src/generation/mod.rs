//! Token-generation requests: relays an engine's event stream and recovers from the loss of an
//! engine.
//!
//! A run is the execution of a generation at one engine. If an engine is lost or about to be
//! terminated, another run at a different engine continues the generation: from a copy of the KV
//! cache, or from the prompt if the route allows a restart.
//!
//! Each generation has its own task, which is cancelled when the caller disconnects. The caller
//! receives a single stream with the response headers of the first run, regardless of how many runs
//! the generation needs.

mod backup;
mod end;
mod ending;
mod handover;
mod migration;
mod recovery;
mod relay;
mod replacement;
mod resume;
mod run;
mod stopping;
mod switching;
mod trace;
mod unread;

use self::ending::{EndingRun, UnendedRun};
use self::run::{
    Backup, GenerationEnd, NoRecovery, PreparedRun, RelayEnd, ResponseSender, Run, RunFailure,
    SendResult, Silence, StartFrom, StartOutcome,
};
use self::trace::{RunProgress, RunTrace};
use self::unread::UnreadSignals;
use crate::call::{Call, EndedBy};
use crate::events::{Event, EventAction, EventSequence};
use crate::forwarding::{Origin, Placed};
use crate::placing::EndpointConnection;
use crate::plain::forward_response;
use crate::reply::{Reply, ReplyBody, StreamBody, StreamCompletion};
use crate::supervision::catch_panic;
use gypsumchute_exchange::Connection;
use gypsumchute_platform::{ResponseKind, endpoints};
use gypsumchute_routing::continuity::Interruption;
use gypsumchute_routing::outcomes::RequestOutcome;
use gypsumchute_routing::stream_versions::ServiceVersion;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, EndpointId, Refusal, RefusalReason, RequestId};
use http::Response;
use log::info;
use std::collections::BTreeSet;
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Maximum number of events buffered for a caller that reads slowly.
const MAX_BUFFERED_EVENTS: usize = 256;
/// Maximum size of the events that are buffered for a caller that reads slowly, in bytes. It is
/// larger than any event.
const MAX_BUFFERED_BYTES: usize = 128 << 10;
/// Maximum size of an engine's error body that is forwarded to the caller, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 1 << 20;
/// Time within which an engine's error body must arrive after its head, in milliseconds. TCP
/// retransmits a lost packet after 1 s.
const ERROR_BODY_TIMEOUT_MS: u64 = 1_200;

/// Starts a generation task for `call` and returns the response once the head is known. The body is
/// streamed afterwards.
pub async fn handle(call: Call) -> Reply {
    let (head, head_rx) = oneshot::channel();
    let (events, events_rx) = mpsc::channel(MAX_BUFFERED_EVENTS);
    let buffer = Arc::new(Semaphore::new(MAX_BUFFERED_BYTES));
    let completion = StreamCompletion::default();
    let body = StreamBody::new(events_rx, completion.clone());
    let context = call.context.clone();
    let shared_buffer = context.limits.stream_buffers.clone();
    let response_sender =
        ResponseSender { head: Some(head), events, completion, buffer, shared_buffer };
    spawn_local(run_to_end(call, response_sender));
    match head_rx.await {
        Ok(Ok(head)) => Response::from_parts(head, ReplyBody::Stream(body)),
        Ok(Err(reply)) => reply,
        Err(_) => context.panicked_reply(),
    }
}

/// Runs a generation. A stream that has begun is aborted if the generation panics.
async fn run_to_end(call: Call, response_sender: ResponseSender) {
    let (context, request_id) = (call.context.clone(), call.id().to_owned());
    let generation = Generation::new(call, response_sender).run();
    if catch_panic(&context.metrics, "generation", generation).await.is_err() {
        context.log_panicked_request(&request_id);
    }
}

/// State of one generation across all runs.
struct Generation {
    /// Request that is served.
    call: Call,
    /// Channels to the caller.
    response_sender: ResponseSender,
    /// Checks the event ids that are forwarded to the caller.
    sequence: EventSequence,
    /// Number of events forwarded to the caller.
    delivered_events: u64,
    /// Endpoints that are not used again for this generation.
    excluded: BTreeSet<EndpointId>,
    /// Those among them that have rejected the request since the last event, and may have room later.
    turned_away: BTreeSet<EndpointId>,
    /// Number of times the request was sent to an engine.
    attempts: u32,
    /// Number of runs that ended in a connection failure or an invalid response.
    failed_runs: u32,
    /// Number of engines that rejected the request without running it since the last event.
    rejections: u32,
    /// The run that the request was last sent for.
    trace: RunTrace,
    /// A run that is kept while the request is sent for another one.
    kept_trace: Option<RunTrace>,
    /// Last failure of a run since the last event, and whose failure it was, for log lines.
    last_failure: Option<(EndedBy, String)>,
    /// Why the last run that was lost was not followed by another one.
    no_recovery: Option<NoRecovery>,
    /// Software version that began the stream, at which alone it may go on. `None` until the first
    /// event.
    version: Option<ServiceVersion>,
    /// Runs that are to end once another one begins.
    unended_runs: Vec<UnendedRun>,
    /// Runs whose engines are asked to stop them.
    ending_runs: Vec<EndingRun>,
}

impl Generation {
    /// Creates a generation that has not been sent to an engine yet.
    fn new(call: Call, response_sender: ResponseSender) -> Self {
        Generation {
            sequence: EventSequence::resume_after(call.caller.last_event_id),
            call,
            response_sender,
            delivered_events: 0,
            excluded: BTreeSet::new(),
            turned_away: BTreeSet::new(),
            attempts: 0,
            failed_runs: 0,
            rejections: 0,
            trace: RunTrace::default(),
            kept_trace: None,
            last_failure: None,
            no_recovery: None,
            version: None,
            unended_runs: Vec::new(),
            ending_runs: Vec::new(),
        }
    }

    /// Drives the generation until it completes, the caller disconnects or the deadline expires.
    async fn run(mut self) {
        let events = self.response_sender.events.clone();
        let context = self.call.context.clone();
        let left = Duration::from_millis(self.call.remaining_ms());
        let end = tokio::select! {
            end = self.run_to_completion() => end,
            () = events.closed() => GenerationEnd::CallerDisconnected,
            () = sleep(left) => GenerationEnd::TimedOut,
            () = context.shutdown.last_answers_due() => GenerationEnd::ShutDown,
        };
        if let (GenerationEnd::CallerDisconnected, Origin::Peer(_)) = (&end, &self.call.origin) {
            self.end_runs_for_peer();
        }
        let mut kept_trace = self.kept_trace.take();
        let silent_ms = kept_trace.as_ref().unwrap_or(&self.trace).silent_ms();
        if let GenerationEnd::CallerDisconnected
        | GenerationEnd::TimedOut
        | GenerationEnd::ShutDown = end
        {
            let traces = kept_trace.iter_mut().chain([&mut self.trace]);
            traces.for_each(|trace| trace.record_silent(&self.call));
        }
        self.finish(end, silent_ms);
    }

    /// Starts runs until one completes or no recovery is possible.
    async fn run_to_completion(&mut self) -> GenerationEnd {
        let mut from_backup = false;
        let continued_run = match &self.call.origin {
            Origin::Peer(offer) => offer.continued_run.clone(),
            Origin::Caller => None,
        };
        let mut start = match (continued_run, self.call.caller.last_event_id) {
            (Some(run), _) => self.take_over_run(run).await,
            (None, Some(_)) => self.take_up_stream().await,
            (None, None) => self.start_run(StartFrom::Prompt).await,
        };
        loop {
            let next_start = match start {
                StartOutcome::Running(run) => match self.relay_events(*run).await {
                    RelayEnd::Complete => return GenerationEnd::Complete,
                    RelayEnd::Lost(interruption, backup) => self.after_loss(interruption, backup),
                    RelayEnd::Failed(reply) => return GenerationEnd::Failed(reply),
                },
                StartOutcome::Lost(backup) => self.after_loss(Interruption::Disconnected, backup),
                StartOutcome::NotRun(_) if from_backup => {
                    self.after_loss(Interruption::Disconnected, None)
                }
                StartOutcome::NotRun(_) => self.after_rejection(),
                StartOutcome::Refused(refusal) => return GenerationEnd::Refused(refusal),
                StartOutcome::Failed(reply) => return GenerationEnd::Failed(reply),
                StartOutcome::Forwarded(reply) => return GenerationEnd::Forwarded(reply),
                StartOutcome::ForwardLost => {
                    self.last_failure = Some((EndedBy::Peer, "no reply".to_owned()));
                    return GenerationEnd::Refused(Refusal::may_have_run(
                        RefusalReason::EndpointLost,
                    ));
                }
            };
            let start_from = match next_start {
                Ok(start_from) => start_from,
                Err(refusal) => return GenerationEnd::Refused(refusal),
            };
            from_backup = matches!(start_from, StartFrom::Backup(..));
            start = self.start_run(start_from).await;
        }
    }

    /// Reports whether `endpoint` has a termination notice or is no longer registered.
    fn is_terminating(&self, endpoint: &EndpointId) -> bool {
        self.call.context.with(|state| state.endpoints.is_terminating_or_gone(endpoint))
    }

    /// Takes up a stream that another run began, here or at another VM: this one may have lost its
    /// links to the engines that can tell where the stream may go on.
    async fn take_up_stream(&mut self) -> StartOutcome {
        if self.call.origin == Origin::Caller && self.is_cut_off() {
            match self.call.forward(self.call.route.max_endpoints).await {
                Some(Placed::Forwarded(reply)) => return StartOutcome::Forwarded(reply),
                Some(Placed::ForwardLost) => return StartOutcome::ForwardLost,
                Some(Placed::Direct(_)) | None => {}
            }
        }
        self.start_resumed_stream().await
    }

    /// Connects to an endpoint. While nothing was sent, another VM may serve the whole generation
    /// instead.
    async fn place(&self) -> Result<Placed, Refusal> {
        let max_endpoints = match self.call.possible_runs.endpoints() {
            0 => self.call.route.max_endpoints,
            _ => 0,
        };
        self.call.place_or_forward(&self.excluded, self.version, max_endpoints).await
    }

    /// Starts a run from the prompt, or resumes the generation from a backup.
    async fn start_run(&mut self, start_from: StartFrom) -> StartOutcome {
        match start_from {
            StartFrom::Prompt => match self.place().await {
                Ok(Placed::Direct(placed)) => self.start_run_at(placed, None).await,
                Ok(Placed::Forwarded(reply)) => StartOutcome::Forwarded(reply),
                Ok(Placed::ForwardLost) => StartOutcome::ForwardLost,
                Err(refusal) => StartOutcome::Refused(refusal),
            },
            StartFrom::Backup(backup, wait) => match self.connect_to_backup(&backup, wait).await {
                Ok(placed) => self.start_run_at(placed, Some(*backup)).await,
                Err(None) => StartOutcome::NotRun(Some(*backup)),
                Err(Some(refusal)) => StartOutcome::Refused(refusal),
            },
        }
    }

    /// Sends the request on an open connection. The run begins from the prompt, or from `copy`, which
    /// the engine holds.
    async fn start_run_at(
        &mut self,
        placed: EndpointConnection,
        copy: Option<Backup>,
    ) -> StartOutcome {
        let (connection, prepared) = self.prepare_run(placed, copy);
        let sent = prepared.send(&self.call, connection).await;
        self.on_sent(prepared, sent).await
    }

    /// Prepares the run that begins once the request is sent on the connection, which is returned.
    fn prepare_run(
        &mut self,
        placed: EndpointConnection,
        copy: Option<Backup>,
    ) -> (Connection, PreparedRun) {
        let backup = self.reserve_backup(&placed.endpoint, placed.version);
        let EndpointConnection { endpoint, address, version, connection, load_guard } = placed;
        self.end_left_runs(address);
        self.attempts += 1;
        self.trace = RunTrace {
            endpoint: Some(endpoint.clone()),
            alive_ms: Some(boot_now()),
            progress: RunProgress::Waiting,
        };
        let after_event = self.sequence.last_id();
        let prepared =
            PreparedRun { endpoint, address, version, load_guard, backup, copy, after_event };
        (connection, prepared)
    }

    /// Handles the beginning of the response to the request of `prepared`.
    async fn on_sent(&mut self, prepared: PreparedRun, sent: SendResult) -> StartOutcome {
        let PreparedRun { endpoint, address, version, load_guard, backup, copy, .. } = prepared;
        let is_from_copy = copy.is_some();
        let (mut stream, kind) = match sent {
            Ok(sent) => sent,
            Err(err) => {
                info!(request = self.call.id(), endpoint = endpoint.as_str(), error:% = err;
                    "engine sent no response");
                self.on_run_failed(&endpoint, &err.into());
                self.leave_run(UnendedRun::new(endpoint, address, false));
                return StartOutcome::Lost(backup);
            }
        };
        info!(request = self.call.id(), endpoint = endpoint.as_str(),
            version = self.call.software_version(&endpoint),
            resumes = self.call.caller.resumed_request_id.as_ref().map_or("-", RequestId::as_str),
            status = stream.response.head.status.as_u16(),
            answer:? = kind, backup = backup.as_ref().map_or("-", |b| b.endpoint.as_str()),
            from_copy = is_from_copy, after_event:? = self.sequence.last_id(),
            tokens = self.call.load().reserved_tokens,
            elapsed_ms = boot_now().since(self.call.arrived_ms);
            "engine answered");
        match kind {
            ResponseKind::Success => self.trace.progress = RunProgress::Began,
            _ => self.trace.alive_ms = None,
        }
        // The load of the run counts instead of that of the copy, unless the copy is left.
        let copy = copy.filter(|_| kind == ResponseKind::NotRun);
        match kind {
            ResponseKind::Success => StartOutcome::Running(Box::new(Run {
                endpoint,
                address,
                version,
                continues_stream: self.version.is_some(),
                is_at_peer: false,
                stream,
                backup,
                last_event_at: Instant::now(),
                unread: UnreadSignals::default(),
                silence: Silence::default(),
                termination_handled: false,
                may_be_stopped: false,
                load_guard,
            })),
            // The engine does not hold this backup, but can still run the generation from the
            // prompt.
            ResponseKind::NotRun if is_from_copy => StartOutcome::NotRun(copy),
            ResponseKind::NotRun | ResponseKind::WrongEndpoint => {
                // An endpoint that asked for a pause is not at fault, and is passed over until its end.
                if !self.call.context.has_pause(&endpoint) {
                    self.call.context.record_outcome(&endpoint, RequestOutcome::Rejected);
                    let is_new = self.excluded.insert(endpoint.clone());
                    if is_new && kind == ResponseKind::NotRun {
                        self.turned_away.insert(endpoint);
                    }
                }
                StartOutcome::NotRun(None)
            }
            ResponseKind::Failure => {
                self.call.context.record_outcome(&endpoint, RequestOutcome::EngineError);
                // If the run is still active at the old engine, its next copy must go to another
                // engine than this one.
                self.excluded.insert(endpoint);
                let used = self.call.possible_runs.endpoints();
                if self.call.is_repeatable() && used < self.call.route.max_endpoints {
                    return StartOutcome::Lost(None);
                }
                let budget = &self.call.context.limits.response_buffers;
                let reading = stream.response.read_body(MAX_ERROR_BODY_BYTES, budget);
                match timeout(Duration::from_millis(ERROR_BODY_TIMEOUT_MS), reading).await {
                    Ok(Ok(body)) => StartOutcome::Failed(forward_response(&stream.response, body)),
                    Ok(Err(_)) | Err(_) => StartOutcome::Lost(None),
                }
            }
            ResponseKind::Foreign => {
                self.on_run_failed(
                    &endpoint,
                    &RunFailure::InvalidResponse("response cannot be attributed".to_owned()),
                );
                self.leave_run(UnendedRun::new(endpoint, address, false));
                StartOutcome::Lost(backup)
            }
        }
    }

    /// Records a connection failure or an invalid response of `endpoint`.
    fn on_run_failed(&mut self, endpoint: &EndpointId, failure: &RunFailure) {
        self.count_failed_run(endpoint, EndedBy::Endpoint, failure);
        self.trace.record_failure(&self.call, failure);
    }

    /// Counts a run at `endpoint` that failed there, or at the peer VM that relays it. A run that may have
    /// been stopped has not failed.
    fn count_failed_run(&mut self, endpoint: &EndpointId, at: EndedBy, failure: &RunFailure) {
        if let RunFailure::Stopped(cause) = failure {
            self.last_failure = Some((EndedBy::Vm, cause.clone()));
            return;
        }
        self.failed_runs += 1;
        self.last_failure = Some((at, failure.cause().to_owned()));
        if at == EndedBy::Endpoint {
            self.call.context.record_outcome(endpoint, RequestOutcome::TransportError);
            self.excluded.insert(endpoint.clone());
            self.turned_away.remove(endpoint);
        }
    }

    /// Forwards an event of `run` to the caller. Returns an error if the event does not follow the
    /// previous one.
    async fn deliver_event(&mut self, run: &mut Run, event: Event) -> Result<(), RunFailure> {
        match self.sequence.advance(event.id)? {
            EventAction::Skip => return Ok(()),
            EventAction::Forward => {}
        }
        run.last_event_at = Instant::now();
        run.silence = Silence::default();
        self.last_failure = None;
        self.rejections = 0;
        for endpoint in std::mem::take(&mut self.turned_away) {
            self.excluded.remove(&endpoint);
        }
        self.release_ended_runs();
        self.record_progress(boot_now());
        run.load_guard.release_prefill_load();
        self.correct_version(run)?;
        self.bind_begun_stream(run.version);
        self.send_response_head(run);
        self.delivered_events += 1;
        if !self.response_sender.send_event(event.bytes).await {
            // The caller has disconnected, so this task is about to be cancelled.
            pending::<()>().await;
        }
        Ok(())
    }

    /// Records that an event arrived.
    fn record_progress(&mut self, now: BootMs) {
        self.trace.alive_ms = Some(now);
        if self.trace.progress.has_gone_on(now) {
            self.call.record_sound_segments();
        }
        if let RunProgress::Waiting | RunProgress::Began = self.trace.progress {
            self.trace.progress = RunProgress::Writing { since_ms: now };
        }
    }

    /// Sends the response head to the caller if it was not sent yet.
    fn send_response_head(&mut self, run: &Run) {
        let Some(head) = self.response_sender.head.take() else { return };
        let elapsed_ms = boot_now().since(self.call.arrived_ms);
        self.call.context.metrics.record_first_token_latency(elapsed_ms as f64);
        let mut parts = Response::new(()).into_parts().0;
        parts.status = run.stream.response.head.status;
        parts.headers = endpoints::response_headers(&run.stream.response.head.headers);
        // The send fails only if the caller has disconnected.
        drop(head.send(Ok(parts)));
    }
}
