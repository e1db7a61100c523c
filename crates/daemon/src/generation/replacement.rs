//! Replaces a run whose engine has fallen silent.
//!
//! A sound engine may be silent for a while and then go on. The run is therefore kept until nothing
//! stands in the way of another one: an engine with room has accepted a connection, and the retry
//! budget has a retry left. Whatever is missing, the run stays and another engine is looked for later.
//! An event of the silent run ends the search.

use super::Generation;
use super::relay::CUTOVER_TIMEOUT_MS;
use super::run::{Backup, RelayEnd, Run, RunFailure, RunSignal, StartOutcome};
use crate::placing::{EndpointConnection, LinkUse};
use gypsumchute_routing::continuity::{Interruption, RecoveryAction, choose_recovery};
use gypsumchute_routing::outcomes::RequestOutcome;
use gypsumchute_units::EndpointId;
use log::info;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between two searches for an engine that takes a silent run over, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 250;
/// Maximum duration of one search, in milliseconds.
const MAX_SEARCH_MS: u64 = 1_000;
/// Time for reading what has arrived before a silent run is given up, in milliseconds.
const READ_GRACE_MS: u64 = 10;
/// Number of engines that turned a generation away after which no other engine is looked for.
const MAX_REPLACEMENT_REJECTIONS: u32 = 3;

/// Why a silent run stays at its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum KeptBecause {
    /// Its stream went on or ended.
    SignOfLife,
    /// No other engine has room, is reachable and may be sent to.
    NoEngine,
    /// No retry is left in the budget.
    RetryBudgetSpent,
    /// The other engine did not start a run.
    NotStarted,
}

impl Generation {
    /// Returns how another engine would take a silent run over, or `None` if none can.
    pub(super) fn choose_replacement(&self, has_backup: bool) -> Option<RecoveryAction> {
        if !self.has_certain_version() || self.rejections >= MAX_REPLACEMENT_REJECTIONS {
            return None;
        }
        match choose_recovery(Interruption::Stalled, self.run_state(has_backup)) {
            next @ (RecoveryAction::ResumeFromBackup | RecoveryAction::Restart) => Some(next),
            RecoveryAction::Migrate | RecoveryAction::KeepRunning | RecoveryAction::Fail => None,
        }
    }

    /// Has another engine take the silent `run` over. Returns the run that the generation continues
    /// with: that at the other engine, or the same one if it went on or no engine takes it over.
    ///
    /// # Errors
    ///
    /// Returns how the relaying ended if the silent run was given up and the other one was lost.
    pub(super) async fn replace_silent_run(
        &mut self,
        mut run: Box<Run>,
    ) -> Result<Box<Run>, RelayEnd> {
        let backup = run.backup.take().filter(|backup| self.is_usable(backup));
        let Some(next) = self.choose_replacement(backup.is_some()) else {
            return Ok(self.keep_silent_run(run, backup, KeptBecause::NoEngine));
        };
        let service = &self.call.service.id;
        let needs_retry = next == RecoveryAction::Restart;
        // Without a retry, an engine's room would be taken in vain.
        if needs_retry && !self.call.context.has_retry(service) {
            return Ok(self.keep_silent_run(run, backup, KeptBecause::RetryBudgetSpent));
        }
        let silent = run.endpoint.clone();
        let found = tokio::select! {
            biased;
            signal = run.next_signal() => {
                run.unread = Some(signal);
                return Ok(self.keep_silent_run(run, backup, KeptBecause::SignOfLife));
            }
            found = self.connect_replacement(&silent, backup.as_ref()) => found,
            () = sleep(Duration::from_millis(MAX_SEARCH_MS)) => None,
        };
        if run.next_search_at.is_none() {
            self.call.context.record_outcome(&silent, RequestOutcome::Timeout);
        }
        let Some(connection) = found else {
            return Ok(self.keep_silent_run(run, backup, KeptBecause::NoEngine));
        };
        if needs_retry && !self.call.context.take_retry(service, Interruption::Stalled.into()) {
            return Ok(self.keep_silent_run(run, backup, KeptBecause::RetryBudgetSpent));
        }
        self.log_recovery(Interruption::Stalled, next);
        self.switch_run(run, connection, backup).await
    }

    /// Connects to an engine that can continue the run at `silent`: that of `backup`, or any other one
    /// if there is no backup. Returns `None` if there is none.
    async fn connect_replacement(
        &self,
        silent: &EndpointId,
        backup: Option<&Backup>,
    ) -> Option<EndpointConnection> {
        match backup {
            Some(backup) => self.connect_to_backup(backup).await.ok(),
            None => {
                let mut excluded = self.excluded.clone();
                excluded.insert(silent.clone());
                let placing =
                    self.call.place_and_connect(&mut excluded, self.version, LinkUse::Always);
                placing.await.ok()
            }
        }
    }

    /// Starts a run on `connection`, which continues from `copy` or from the prompt. The silent `run`
    /// is kept until the other engine answers, but no longer than `CUTOVER_TIMEOUT_MS`: the other
    /// engine may have begun although its answer is lost.
    async fn switch_run(
        &mut self,
        mut run: Box<Run>,
        connection: EndpointConnection,
        copy: Option<Backup>,
    ) -> Result<Box<Run>, RelayEnd> {
        let mut trace = self.trace.clone();
        let (silent, is_at_peer) = (run.endpoint.clone(), run.is_at_peer);
        let (outcome, end) = {
            let mut start = Box::pin(self.start_run_at(connection, copy));
            tokio::select! {
                biased;
                signal = run.next_signal() => match signal {
                    RunSignal::Failed(failure) => {
                        drop(run);
                        (Some(start.await), SilentRunEnd::Failed(failure))
                    }
                    RunSignal::Event(_) | RunSignal::Ended => {
                        run.unread = Some(signal);
                        (None, SilentRunEnd::Kept(run))
                    }
                },
                outcome = start.as_mut() => (Some(outcome), SilentRunEnd::Kept(run)),
                () = cutover_due() => {
                    drop(run);
                    (Some(start.await), SilentRunEnd::GivenUp)
                }
            }
        };
        let is_running = matches!(outcome, Some(StartOutcome::Running(_)));
        match end {
            SilentRunEnd::Kept(run) if !is_running => {
                self.trace = trace;
                let because = match outcome {
                    None => KeptBecause::SignOfLife,
                    Some(_) => KeptBecause::NotStarted,
                };
                self.rejections += u32::from(matches!(outcome, Some(StartOutcome::NotRun)));
                return Ok(self.keep_silent_run(run, None, because));
            }
            SilentRunEnd::Kept(_) | SilentRunEnd::GivenUp => {
                std::mem::swap(&mut self.trace, &mut trace);
                self.record_silent_run();
                self.excluded.insert(silent);
                self.trace = trace;
            }
            SilentRunEnd::Failed(failure) => {
                std::mem::swap(&mut self.trace, &mut trace);
                self.on_stream_failed(&silent, is_at_peer, &failure);
                self.trace = trace;
            }
        }
        self.call.context.metrics.count_silent_run("replaced");
        match outcome {
            Some(StartOutcome::Running(next_run)) => Ok(next_run),
            Some(StartOutcome::Lost(backup)) => {
                Err(RelayEnd::Lost(Interruption::Disconnected, backup))
            }
            Some(StartOutcome::Failed(reply)) => Err(RelayEnd::Failed(reply)),
            _ => Err(RelayEnd::Lost(Interruption::Stalled, None)),
        }
    }

    /// Returns the silent `run`, with its `backup`, as the run that the generation continues with.
    fn keep_silent_run(
        &self,
        mut run: Box<Run>,
        backup: Option<Backup>,
        because: KeptBecause,
    ) -> Box<Run> {
        info!(request = self.call.id(), endpoint = run.endpoint.as_str(), because:% = because,
            silent_ms = run.last_event_at.elapsed().as_millis() as u64,
            events = self.delivered_events, left_ms = self.call.remaining_ms();
            "silent run stays at its engine");
        self.call.context.metrics.count_silent_run(because.into());
        run.backup = backup;
        run.next_search_at = Some(Instant::now() + Duration::from_millis(SEARCH_INTERVAL_MS));
        run
    }
}

/// What became of the silent run while the other engine was to start.
enum SilentRunEnd {
    /// It is still there.
    Kept(Box<Run>),
    /// Its stream failed.
    Failed(RunFailure),
    /// It was given up because the other engine has accepted the request and not answered yet.
    GivenUp,
}

/// Completes when the silent run must end.
async fn cutover_due() {
    sleep(Duration::from_millis(CUTOVER_TIMEOUT_MS)).await;
    // If this process was suspended meanwhile, the events that arrived are read first.
    sleep(Duration::from_millis(READ_GRACE_MS)).await;
}
