//! Starts a run at another engine in the place of one that is still there.
//!
//! Once the request was sent, two runs may be at work. What the earlier one brings is kept unread, so that
//! the caller receives the events of one run only. The first event of the other run ends the earlier
//! one, and a rejection or a failure leaves it as it was. If there is neither in time, one of the two has to
//! end, and closing a connection ends a run only if the close arrives. So the other engine is asked for a
//! sign of life:
//!
//! - If it answers, it is only slow. Its run is given up, unless the earlier one counts as stalled: a
//!   request that is not rejected at once has usually been accepted.
//! - If it does not, nothing can end its run. The earlier run, which brought events until now, is stopped
//!   in its place, and the other engine is waited for. The KV cache of the stopped run is kept at a third
//!   engine if one has room: the generation resumes there if the other engine rejects the request, breaks
//!   the connection or stays out of reach until the stream counts as stalled.

use super::Generation;
use super::ending::{EndingRun, UnendedRun};
use super::replacement::responds;
use super::run::{
    Backup, EventStream, PreparedRun, RelayEnd, Run, RunFailure, RunSignal, SendResult,
    StartOutcome,
};
use super::stopping::{KeptCopy, RunAtEngine, StopOutcome};
use super::trace::RunTrace;
use crate::call::EndedBy;
use crate::context::Context;
use crate::placing::EndpointConnection;
use gypsumchute_exchange::Connection;
use gypsumchute_platform::ResponseKind;
use gypsumchute_routing::continuity::Interruption;
use gypsumchute_units::EndpointId;
use log::info;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Maximum wait for the first event of the other run before its engine is asked for a sign of life, in
/// milliseconds. Two runs of one generation must not be active at once for 400 ms: this, the time for
/// the answer and the time to stop the earlier run end one of them before that.
const CUTOVER_TIMEOUT_MS: u64 = 250;
/// Time within which the other engine must give a sign of life, in milliseconds: a connection and a
/// short answer.
const REACH_TIMEOUT_MS: u64 = 70;
/// Time within which the engine of the earlier run must stop it before its connection is closed, in
/// milliseconds.
const STOP_TIMEOUT_MS: u64 = 40;
/// Time for reading what has arrived before a run is replaced or given up, in milliseconds.
pub(super) const READ_GRACE_MS: u64 = 10;

/// How an attempt to start a run in the place of another one ended.
pub(super) enum Switch {
    /// The other engine has started `run`.
    Done {
        /// Run at the other engine.
        run: Box<Run>,
        /// The earlier run, if it was still there.
        earlier: Option<(Box<Run>, RunTrace)>,
    },
    /// The earlier run goes on.
    Kept {
        run: Box<Run>,
        not_started: NotStarted,
        /// Copy that the other engine may still hold, or receive later.
        copy: Option<Backup>,
    },
    /// No run is left.
    Lost(RelayEnd),
}

/// Why the other engine did not start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotStarted {
    /// It had not answered when one of the two runs had to end.
    Unanswered,
    /// It does not hold the copy, but may run the request from the prompt.
    CopyMissing,
    /// It turned the request away, or its run failed.
    TurnedAway,
}

/// What became of the earlier run while the other engine was to start.
enum EarlierRun {
    /// It is still there.
    Kept(Box<Run>),
    /// Its stream failed: at a peer VM that relayed it, or at its engine.
    Failed(RunFailure, EndedBy),
    /// It was given up because it is stalled and the other engine has not answered yet.
    GivenUp,
    /// It was stopped because the other engine, which may run the request, was out of reach.
    Stopped(KeptCopy),
}

/// What the request to the other engine has brought.
#[derive(Default)]
struct OtherAnswer {
    /// Beginning of the response; `None` if the other run is given up.
    sent: Option<SendResult>,
    /// What its stream brought first, if that was waited for.
    first: Option<RunSignal>,
}

impl Generation {
    /// Starts a run at `placed` in the place of `run`. It continues from `copy`, or from the prompt.
    pub(super) async fn switch_run(
        &mut self,
        run: Box<Run>,
        placed: EndpointConnection,
        copy: Option<Backup>,
    ) -> Switch {
        let earlier_endpoint = run.endpoint.clone();
        // The other run's backup must not be at the engine of the earlier one.
        self.excluded.insert(earlier_endpoint.clone());
        let other_endpoint = placed.endpoint.clone();
        let is_from_copy = copy.is_some();
        self.kept_trace = Some(self.trace.clone());
        let (connection, prepared) = self.prepare_run(placed, copy);
        let (answer, earlier) = self.send_beside(run, &prepared, connection).await;
        if let EarlierRun::Failed(failure, at) = &earlier {
            self.log_stream_failure(&earlier_endpoint, failure);
            self.count_failed_run(&earlier_endpoint, *at, failure);
        }
        let outcome = match answer.sent {
            Some(sent) => {
                let outcome = self.on_sent(prepared, sent).await;
                Some(self.on_first_signal(outcome, answer.first))
            }
            None => {
                self.give_up_unanswered(prepared, matches!(earlier, EarlierRun::Kept(_)));
                None
            }
        };
        let trace = self.kept_trace.take().unwrap_or_default();
        match (outcome, earlier) {
            (Some(StartOutcome::Running(run)), EarlierRun::Kept(earlier)) => {
                Switch::Done { run, earlier: Some((earlier, trace)) }
            }
            (Some(StartOutcome::Running(run)), EarlierRun::Stopped(copy)) => {
                copy.free();
                self.end_left_runs(run.address);
                Switch::Done { run, earlier: None }
            }
            (Some(StartOutcome::Running(run)), _) => Switch::Done { run, earlier: None },
            (outcome, EarlierRun::Kept(run)) => {
                self.trace = trace;
                self.end_left_runs(run.address);
                let (not_started, copy) = match outcome {
                    None => (NotStarted::Unanswered, None),
                    Some(StartOutcome::NotRun(copy)) if is_from_copy => {
                        (NotStarted::CopyMissing, copy)
                    }
                    Some(_) => (NotStarted::TurnedAway, None),
                };
                Switch::Kept { run, not_started, copy }
            }
            (outcome, EarlierRun::Stopped(copy)) => {
                self.resume_stopped_run(outcome, copy, other_endpoint, trace).await
            }
            (Some(StartOutcome::Lost(backup)), _) => {
                Switch::Lost(RelayEnd::Lost(Interruption::Disconnected, backup))
            }
            (Some(StartOutcome::Failed(reply)), _) => Switch::Lost(RelayEnd::Failed(reply)),
            (_, EarlierRun::GivenUp) => Switch::Lost(RelayEnd::Lost(Interruption::Stalled, None)),
            (_, EarlierRun::Failed(..)) => {
                Switch::Lost(RelayEnd::Lost(Interruption::Disconnected, None))
            }
        }
    }

    /// Has the generation resume from `copy` of the run that was stopped, of which `trace` tells, since
    /// the other engine has not started a run. Without a copy, the failure of the other run decides what
    /// follows.
    async fn resume_stopped_run(
        &mut self,
        outcome: Option<StartOutcome>,
        copy: KeptCopy,
        other: EndpointId,
        trace: RunTrace,
    ) -> Switch {
        let interruption = match outcome {
            Some(_) => Interruption::Disconnected,
            None => Interruption::Stalled,
        };
        let lost = match (copy.into_copy().await, outcome) {
            (Some(copy), _) => {
                self.excluded.insert(other);
                self.trace = trace;
                RelayEnd::Lost(interruption, Some(copy))
            }
            (None, Some(StartOutcome::Lost(backup))) => RelayEnd::Lost(interruption, backup),
            (None, Some(StartOutcome::Failed(reply))) => RelayEnd::Failed(reply),
            (None, _) => RelayEnd::Lost(interruption, None),
        };
        Switch::Lost(lost)
    }

    /// Adds what the stream of a run that has started at the other engine brought first. A stream that
    /// fails before its first event has not started.
    fn on_first_signal(&mut self, outcome: StartOutcome, first: Option<RunSignal>) -> StartOutcome {
        let (mut run, first) = match (outcome, first) {
            (StartOutcome::Running(run), Some(first)) => (run, first),
            (outcome, _) => return outcome,
        };
        match run.checked(first, &self.sequence, self.delivered_events) {
            RunSignal::Failed(failure) => {
                self.on_stream_failed(&run.endpoint, false, &failure);
                self.unended_runs.extend(UnendedRun::close(*run));
                StartOutcome::Lost(None)
            }
            signal @ (RunSignal::Event(_) | RunSignal::Ended) => {
                run.unread.push(signal);
                StartOutcome::Running(run)
            }
        }
    }

    /// Sends the request of `prepared` while `run` is kept, and returns what became of both. While `run`
    /// is there, the answer includes the first signal of the other run.
    async fn send_beside(
        &mut self,
        mut run: Box<Run>,
        prepared: &PreparedRun,
        connection: Connection,
    ) -> (OtherAnswer, EarlierRun) {
        let stalled_at = self.stalled_at(&run);
        let sending = prepared.send(&self.call, connection);
        let has_reports = self.call.service.engine.is_some();
        let (context, other_engine) = (self.call.context.clone(), prepared.endpoint.clone());
        let cutover = cutover_due(context, other_engine, prepared.address, has_reports);
        tokio::pin!(sending, cutover);
        let mut other: Option<EventStream> = None;
        let earlier = loop {
            tokio::select! {
                biased;
                signal = run.next_signal(), if run.unread.has_room() => {
                    match run.checked(signal, &self.sequence, self.delivered_events) {
                        RunSignal::Failed(failure) => {
                            break EarlierRun::Failed(failure, run.relayed_by());
                        }
                        signal @ RunSignal::Event(_) => run.unread.push(signal),
                        RunSignal::Ended => {
                            run.unread.push(RunSignal::Ended);
                            return (OtherAnswer::default(), EarlierRun::Kept(run));
                        }
                    }
                }
                sent = sending.as_mut(), if other.is_none() => match sent {
                    Ok((stream, ResponseKind::Success)) => other = Some(stream),
                    sent => {
                        let answer = OtherAnswer { sent: Some(sent), first: None };
                        return (answer, EarlierRun::Kept(run));
                    }
                },
                first = first_signal(&mut other) => {
                    let sent = other.map(|stream| Ok((stream, ResponseKind::Success)));
                    return (OtherAnswer { sent, first: Some(first) }, EarlierRun::Kept(run));
                }
                is_reached = cutover.as_mut() => {
                    let is_stalled = run.unread.is_empty() && Instant::now() >= stalled_at;
                    match (is_stalled, is_reached) {
                        (true, _) => break EarlierRun::GivenUp,
                        (false, true) => return (OtherAnswer::default(), EarlierRun::Kept(run)),
                        (false, false) => {}
                    }
                    match self.stop_earlier_run(&mut run, &prepared.endpoint).await {
                        Some(copy) => break EarlierRun::Stopped(copy),
                        None => return (OtherAnswer::default(), EarlierRun::Kept(run)),
                    }
                }
            }
        };
        let left = UnendedRun::close(*run);
        if let EarlierRun::Stopped(copy) = earlier {
            // It has ended as it was told to, which holds nothing against its engine.
            if let Some(trace) = &mut self.kept_trace {
                trace.alive_ms = None;
            }
            let (answer, copy) = wait_for_other(sending, other, copy, stalled_at).await;
            self.unended_runs.extend(left.filter(|_| !copy.is_made()));
            return (answer, EarlierRun::Stopped(copy));
        }
        let ending = left.and_then(|left| EndingRun::begin(&self.call, left, prepared.address));
        self.ending_runs.extend(ending);
        if let Some(mut trace) = self.kept_trace.take() {
            match &earlier {
                EarlierRun::Failed(failure, EndedBy::Endpoint) => {
                    trace.record_failure(&self.call, failure);
                }
                EarlierRun::GivenUp => trace.record_silent(&self.call),
                EarlierRun::Failed(..) | EarlierRun::Kept(_) | EarlierRun::Stopped(_) => {}
            }
        }
        let sent = match other {
            Some(stream) => Ok((stream, ResponseKind::Success)),
            None => sending.await,
        };
        (OtherAnswer { sent: Some(sent), first: None }, earlier)
    }

    /// Stops the earlier `run`, because `other` may run the request and is out of reach. Returns the copy
    /// of its KV cache, or `None` if its stream is complete or will be. The run ends for certain once its
    /// connection is closed, whether or not its engine has stopped it by then.
    ///
    /// The end of a stream that has no framing proves nothing from now on, unless the engine answers that
    /// the run had ended before.
    async fn stop_earlier_run(&self, run: &mut Run, other: &EndpointId) -> Option<KeptCopy> {
        let (endpoint, address, version) = (&run.endpoint, run.address, run.version);
        let at_engine = RunAtEngine { endpoint, address, version };
        let stopping =
            if run.is_at_peer { None } else { self.stop_and_copy(at_engine, Some(other)) };
        info!(request = self.call.id(), endpoint = endpoint.as_str(), other = other.as_str(),
            events = self.delivered_events, keeps_copy = stopping.is_some();
            "other engine has not answered and is out of reach; the earlier run is stopped");
        let Some(stopping) = stopping else {
            return Some(KeptCopy::Settled(StopOutcome::Unknown));
        };
        run.may_be_stopped = true;
        let mut copy = KeptCopy::Pending(stopping);
        let deadline = Instant::now() + Duration::from_millis(STOP_TIMEOUT_MS);
        let mut has_ended = false;
        while !copy.is_settled() {
            tokio::select! {
                biased;
                signal = run.next_signal(), if !has_ended && run.unread.has_room() => {
                    has_ended = matches!(signal, RunSignal::Ended);
                    match run.checked(signal, &self.sequence, self.delivered_events) {
                        signal @ RunSignal::Event(_) => run.unread.push(signal),
                        RunSignal::Ended => {
                            run.unread.push(RunSignal::Ended);
                            return None;
                        }
                        RunSignal::Failed(_) if has_ended => {}
                        RunSignal::Failed(_) => return Some(copy),
                    }
                }
                () = copy.settled() => {}
                () = sleep_until(deadline) => return Some(copy),
            }
        }
        if !copy.has_ended_before() {
            return Some(copy);
        }
        run.may_be_stopped = false;
        if has_ended {
            run.unread.push(RunSignal::Ended);
        }
        None
    }

    /// Records that the run of `prepared`, whose engine has not answered, is given up. Its connection is
    /// closed.
    fn give_up_unanswered(&mut self, prepared: PreparedRun, is_earlier_kept: bool) {
        info!(request = self.call.id(), endpoint = prepared.endpoint.as_str(),
            silent_ms:? = self.trace.silent_ms(), events = self.delivered_events, is_earlier_kept;
            "engine has not answered; its run is given up");
        self.trace.record_silent(&self.call);
        let left = UnendedRun::new(prepared.endpoint, prepared.address, false);
        self.leave_run(left.release());
        if let Some(copy) = prepared.copy {
            copy.free();
        }
    }
}

/// Waits for what `stream` brings first; never returns if there is none.
async fn first_signal(stream: &mut Option<EventStream>) -> RunSignal {
    match stream {
        Some(stream) => stream.next_signal().await,
        None => pending().await,
    }
}

/// Waits until the other engine has answered. Once `copy` of the stopped run is made, that is at most
/// until `stalled_at`.
async fn wait_for_other(
    mut sending: Pin<&mut impl Future<Output = SendResult>>,
    mut other: Option<EventStream>,
    mut copy: KeptCopy,
    stalled_at: Instant,
) -> (OtherAnswer, KeptCopy) {
    loop {
        tokio::select! {
            biased;
            sent = sending.as_mut(), if other.is_none() => match sent {
                Ok((stream, ResponseKind::Success)) => other = Some(stream),
                sent => return (OtherAnswer { sent: Some(sent), first: None }, copy),
            },
            first = first_signal(&mut other) => {
                let sent = other.map(|stream| Ok((stream, ResponseKind::Success)));
                return (OtherAnswer { sent, first: Some(first) }, copy);
            }
            () = copy.settled() => {}
            () = sleep_until(stalled_at), if copy.is_made() => {
                return (OtherAnswer::default(), copy);
            }
        }
    }
}

/// Completes when one of two runs must end, and returns whether the other engine, `endpoint` at `address`,
/// is within reach. An engine that has reports of its state is asked for one; a connection alone may only show that
/// something in between accepts it.
async fn cutover_due(
    context: Rc<Context>,
    endpoint: EndpointId,
    address: SocketAddr,
    has_reports: bool,
) -> bool {
    sleep(Duration::from_millis(CUTOVER_TIMEOUT_MS)).await;
    let is_reached = match has_reports {
        true => responds(&context, &endpoint, address, REACH_TIMEOUT_MS).await,
        false => context.access.is_reachable(address, REACH_TIMEOUT_MS).await,
    };
    // If this process was suspended, what has arrived meanwhile is read first.
    sleep(Duration::from_millis(READ_GRACE_MS)).await;
    is_reached
}
