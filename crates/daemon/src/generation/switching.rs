//! Starts a run at another engine in the place of one that is still there.
//!
//! Once the request was sent, two runs may be at work. What the earlier one brings is kept unread, so that
//! the caller receives the events of one run only. The first event of the other run ends the earlier
//! one, and a rejection or a failure leaves it as it was. If there is neither in time, the other engine's run is given
//! up, unless the earlier one counts as stalled: a request that is not rejected at once has usually been
//! accepted.

use super::Generation;
use super::run::{
    Backup, EventStream, PreparedRun, RelayEnd, Run, RunFailure, RunSignal, SendResult,
    StartOutcome,
};
use super::trace::RunTrace;
use crate::call::EndedBy;
use crate::placing::EndpointConnection;
use gypsumchute_exchange::Connection;
use gypsumchute_platform::ResponseKind;
use gypsumchute_routing::continuity::Interruption;
use log::info;
use std::future::pending;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Maximum wait for the first event of the other run while the earlier run is active, in milliseconds.
/// Two runs of one generation must not be active at once for 400 ms, and this limit ends one of them
/// well before that.
const CUTOVER_TIMEOUT_MS: u64 = 250;
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
                self.give_up_unanswered(prepared);
                None
            }
        };
        let trace = self.kept_trace.take().unwrap_or_default();
        match (outcome, earlier) {
            (Some(StartOutcome::Running(run)), EarlierRun::Kept(earlier)) => {
                Switch::Done { run, earlier: Some((earlier, trace)) }
            }
            (Some(StartOutcome::Running(run)), _) => Switch::Done { run, earlier: None },
            (outcome, EarlierRun::Kept(run)) => {
                self.trace = trace;
                let (not_started, copy) = match outcome {
                    None => (NotStarted::Unanswered, None),
                    Some(StartOutcome::NotRun(copy)) if is_from_copy => {
                        (NotStarted::CopyMissing, copy)
                    }
                    Some(_) => (NotStarted::TurnedAway, None),
                };
                Switch::Kept { run, not_started, copy }
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
        let cutover = cutover_due();
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
                () = cutover.as_mut() => {
                    if !run.unread.is_empty() || Instant::now() < stalled_at {
                        return (OtherAnswer::default(), EarlierRun::Kept(run));
                    }
                    break EarlierRun::GivenUp;
                }
            }
        };
        drop(run);
        if let Some(mut trace) = self.kept_trace.take() {
            match &earlier {
                EarlierRun::Failed(failure, EndedBy::Endpoint) => {
                    trace.record_failure(&self.call, failure);
                }
                EarlierRun::GivenUp => trace.record_silent(&self.call),
                EarlierRun::Failed(..) | EarlierRun::Kept(_) => {}
            }
        }
        let sent = match other {
            Some(stream) => Ok((stream, ResponseKind::Success)),
            None => sending.await,
        };
        (OtherAnswer { sent: Some(sent), first: None }, earlier)
    }

    /// Records that the run of `prepared`, whose engine has not answered, is given up. Its connection is
    /// closed, which ends it at the engine.
    fn give_up_unanswered(&mut self, prepared: PreparedRun) {
        info!(request = self.call.id(), endpoint = prepared.endpoint.as_str(),
            silent_ms:? = self.trace.silent_ms(), events = self.delivered_events;
            "engine has not answered; the earlier run is kept");
        self.trace.record_silent(&self.call);
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

/// Completes when one of two runs must end.
async fn cutover_due() {
    sleep(Duration::from_millis(CUTOVER_TIMEOUT_MS)).await;
    sleep(Duration::from_millis(READ_GRACE_MS)).await;
}
