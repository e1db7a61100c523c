//! Replaces a run whose engine has fallen silent.
//!
//! A sound engine may be silent for a while and then go on. The run is therefore kept until an engine
//! with room has accepted a connection and responds, and the retry budget has granted a retry. Whatever is missing,
//! the run stays and another engine is looked for later. An event of the silent run ends the search.

use super::Generation;
use super::ending::UnendedRun;
use super::run::{Backup, RelayEnd, Run};
use super::switching::{NotStarted, READ_GRACE_MS, Switch};
use super::trace::RunTrace;
use crate::context::Context;
use crate::endpoint_access::PermitWait;
use crate::placing::{EndpointConnection, LinkUse, QueueUse};
use gypsumchute_platform::endpoints::ReportError;
use gypsumchute_routing::continuity::{Interruption, RecoveryAction, choose_recovery};
use gypsumchute_routing::outcomes::RequestOutcome;
use gypsumchute_units::EndpointId;
use log::info;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time between two searches for an engine that takes a silent run over, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 250;
/// Maximum duration of one search, in milliseconds.
const MAX_SEARCH_MS: u64 = 500;
/// Time within which an engine that is to take a run over reports its state, in milliseconds. Engines
/// need no slot for that.
const RESPONSE_TIMEOUT_MS: u64 = 200;

/// Why a silent run stays at its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum KeptBecause {
    /// Its stream went on or ended.
    SignOfLife,
    /// No other engine has room, is reachable, responds and may be sent to.
    NoEngine,
    /// No retry is left in the budget.
    RetryBudgetSpent,
    /// The other engine did not start a run.
    NotStarted,
}

impl Generation {
    /// Returns how another engine would take a silent run over, or `None` if none can.
    pub(super) fn choose_replacement(&self, has_backup: bool) -> Option<RecoveryAction> {
        if !self.has_certain_version() {
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
        if run.silence.next_search_at.is_some() {
            self.record_silence(&mut run);
        }
        let may_ask_backup = self.may_ask_backup(&run);
        let Some(next) = self.choose_replacement(may_ask_backup) else {
            return Ok(self.keep_silent_run(run, KeptBecause::NoEngine));
        };
        let service = &self.call.service.id;
        let needs_retry = next == RecoveryAction::Restart;
        // Without a retry, an engine's room would be taken in vain.
        if needs_retry && !self.call.context.has_retry(service) {
            return Ok(self.keep_silent_run(run, KeptBecause::RetryBudgetSpent));
        }
        let mut excluded = self.excluded.clone();
        excluded.extend(run.silence.turned_away.iter().chain([&run.endpoint]).cloned());
        let mut unresponsive = std::mem::take(&mut run.silence.unresponsive);
        let known_unresponsive = unresponsive.len();
        let backup = run.backup.as_ref().filter(|_| may_ask_backup);
        let found = tokio::select! {
            biased;
            signal = run.stream.next_signal() => {
                run.unread.push(signal);
                return Ok(self.keep_silent_run(run, KeptBecause::SignOfLife));
            }
            found = self.connect_replacement(excluded, backup, &mut unresponsive) => found,
            () = sleep(Duration::from_millis(MAX_SEARCH_MS)) => None,
        };
        // With no other engine left, those that did not respond are tried again.
        if found.is_none() && unresponsive.len() == known_unresponsive {
            unresponsive.clear();
        }
        run.silence.unresponsive = unresponsive;
        // If this process was suspended, what has arrived meanwhile is read first.
        if let Ok(signal) = timeout(Duration::from_millis(READ_GRACE_MS), run.next_signal()).await {
            run.unread.push(signal);
            return Ok(self.keep_silent_run(run, KeptBecause::SignOfLife));
        }
        self.record_silence(&mut run);
        let Some(placed) = found else {
            return Ok(self.keep_silent_run(run, KeptBecause::NoEngine));
        };
        if needs_retry && !self.call.context.take_retry(service, Interruption::Stalled.into()) {
            return Ok(self.keep_silent_run(run, KeptBecause::RetryBudgetSpent));
        }
        self.log_recovery(Interruption::Stalled, next);
        let copy = if may_ask_backup { run.backup.take() } else { None };
        self.take_over_silent_run(run, placed, copy).await
    }

    /// Reports whether the engine that holds the backup of `run` is asked to take the run over: it is
    /// asked once for each silence.
    pub(super) fn may_ask_backup(&self, run: &Run) -> bool {
        let backup = run.backup.as_ref();
        !run.silence.is_backup_refused && backup.is_some_and(|backup| self.is_usable(backup))
    }

    /// Records once that the engine of `run` is silent.
    fn record_silence(&self, run: &mut Run) {
        if !run.silence.is_recorded {
            run.silence.is_recorded = true;
            self.call.context.record_outcome(&run.endpoint, RequestOutcome::Timeout);
        }
    }

    /// Connects to an engine that can continue a silent run: that of `backup`, or any one that is not
    /// excluded if there is no backup. Returns `None` if there is none, or if the engine that was found
    /// does not respond: it is added to `unresponsive`, and the next search passes over it.
    async fn connect_replacement(
        &self,
        mut excluded: BTreeSet<EndpointId>,
        backup: Option<&Backup>,
        unresponsive: &mut BTreeSet<EndpointId>,
    ) -> Option<EndpointConnection> {
        let placed = match backup {
            Some(backup) => {
                let until = Instant::now() + Duration::from_millis(MAX_SEARCH_MS);
                let wait = PermitWait { until, has_alternative: true };
                self.connect_to_backup(backup, wait).await.ok()
            }
            None => {
                excluded.extend(unresponsive.iter().cloned());
                let placing = self.call.place_and_connect(
                    &mut excluded,
                    self.version,
                    LinkUse::Always,
                    QueueUse::TryOnce,
                );
                placing.await.ok()
            }
        }?;
        if !self.is_responsive(&placed.endpoint, placed.address).await {
            unresponsive.insert(placed.endpoint);
            return None;
        }
        Some(placed)
    }

    /// Reports whether `endpoint`, which is at `address`, responds at present: it may accept connections although
    /// it is as silent as the one that it is to relieve.
    async fn is_responsive(&self, endpoint: &EndpointId, address: SocketAddr) -> bool {
        if self.call.service.engine.is_none() {
            return true;
        }
        responds(&self.call.context, endpoint, address, RESPONSE_TIMEOUT_MS).await
    }

    /// Starts a run at `placed` in the place of the silent `run`, from `copy` or from the prompt.
    async fn take_over_silent_run(
        &mut self,
        run: Box<Run>,
        placed: EndpointConnection,
        copy: Option<Backup>,
    ) -> Result<Box<Run>, RelayEnd> {
        let other = placed.endpoint.clone();
        let excluded_before = self.excluded.clone();
        match self.switch_run(run, placed, copy).await {
            Switch::Done { run, earlier } => {
                if let Some((silent, trace)) = earlier {
                    self.end_replaced_run(*silent, trace, &excluded_before, run.address);
                }
                self.call.context.metrics.count_silent_run("replaced");
                Ok(run)
            }
            Switch::Kept { mut run, not_started, copy } => {
                self.excluded = excluded_before;
                self.exclude_ending_runs();
                if copy.is_some() {
                    run.silence.is_backup_refused = true;
                    run.backup = copy;
                }
                if not_started == NotStarted::TurnedAway {
                    run.silence.turned_away.insert(other);
                }
                let because = match not_started {
                    NotStarted::Unanswered => KeptBecause::SignOfLife,
                    NotStarted::CopyMissing | NotStarted::TurnedAway => KeptBecause::NotStarted,
                };
                Ok(self.keep_silent_run(run, because))
            }
            Switch::Lost(relay_end) => Err(relay_end),
        }
    }

    /// Ends `run`, in place of which another one has started at the engine at `next`.
    fn end_replaced_run(
        &mut self,
        run: Run,
        mut trace: RunTrace,
        excluded_before: &BTreeSet<EndpointId>,
        next: SocketAddr,
    ) {
        let is_silent = run.unread.is_empty();
        let is_released = !is_silent && !excluded_before.contains(&run.endpoint);
        if is_silent {
            trace.record_silent(&self.call);
        }
        match UnendedRun::close(run) {
            Some(run) if is_released => self.leave_run(run.release()),
            Some(run) => self.leave_run(run),
            None => {}
        }
        self.end_left_runs(next);
    }

    /// Returns the silent `run` as the run that the generation continues with.
    fn keep_silent_run(&self, mut run: Box<Run>, because: KeptBecause) -> Box<Run> {
        info!(request = self.call.id(), endpoint = run.endpoint.as_str(), because:% = because,
            silent_ms = run.last_event_at.elapsed().as_millis() as u64,
            events = self.delivered_events, left_ms = self.call.remaining_ms();
            "silent run stays at its engine");
        self.call.context.metrics.count_silent_run(because.into());
        run.silence.next_search_at =
            Some(Instant::now() + Duration::from_millis(SEARCH_INTERVAL_MS));
        run
    }
}

/// Reports whether `endpoint`, which is at `address`, answers a request for its state within `timeout_ms`,
/// on a connection of its own. An engine that may not be asked now only has to accept the connection.
pub(super) async fn responds(
    context: &Context,
    endpoint: &EndpointId,
    address: SocketAddr,
    timeout_ms: u64,
) -> bool {
    let Some(permit) = context.acquire_control(endpoint) else {
        return context.access.is_reachable(address, timeout_ms).await;
    };
    let report = permit.read_report(context, address, timeout_ms).await;
    !matches!(report, Err(ReportError::Exchange(_)))
}
