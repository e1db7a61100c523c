//! Relays the events of a run, and moves the run to another engine if the current engine is
//! terminated or stalls.

use super::Generation;
use super::ending::UnendedRun;
use super::handover::Handovers;
use super::migration::Migration;
use super::run::{RelayEnd, Run, RunFailure, RunSignal};
use crate::call::EndedBy;
use gypsumchute_routing::continuity::Interruption;
use gypsumchute_routing::outcomes::RequestOutcome;
use gypsumchute_units::EndpointId;
use log::info;
use std::future::pending;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Once an event has been forwarded to the caller, a run counts as stalled after this many times
/// the inter-event target of the route without an event.
pub(super) const STALL_PAUSE_FACTOR: u64 = 4;
/// Until the first event has been forwarded to the caller, a run counts as stalled after the
/// latency target of the route plus this time, in milliseconds.
const FIRST_EVENT_GRACE_MS: u64 = 700;

impl Generation {
    /// Forwards events to the caller until the run completes or is lost.
    pub(super) async fn relay_events(&mut self, mut run: Run) -> RelayEnd {
        let mut registry_changes = self.call.context.registry_changes();
        let mut migration = Migration::default();
        let mut handovers = Handovers::default();
        loop {
            while let Some(signal) = run.unread.pop() {
                if let Some(end) = self.on_signal(&mut run, signal).await {
                    return self.on_relay_end(run, end);
                }
            }
            let handover_deadline = self.handover_deadline(&run, &handovers);
            let stall_deadline = match handover_deadline {
                Some(_) if self.is_cut_off() => None,
                _ => self.stall_deadline(&run),
            };
            tokio::select! {
                signal = run.next_signal() => {
                    if let Some(end) = self.on_signal(&mut run, signal).await {
                        return self.on_relay_end(run, end);
                    }
                }
                // The termination check below runs again.
                _ = registry_changes.changed(), if !run.termination_handled => {}
                finished = migration.finished() => {
                    match self.on_migration_step(Box::new(run), &migration, finished).await {
                        Ok(next_run) => run = *next_run,
                        Err(relay_end) => return relay_end,
                    }
                    if !run.unread.is_empty() {
                        continue;
                    }
                }
                () = sleep_until_deadline(handover_deadline) => {
                    handovers.defer();
                    if self.is_cut_off() {
                        run = self.hand_over_run(run, &mut handovers).await;
                        if run.is_at_peer {
                            migration.cancel();
                        }
                    }
                }
                () = sleep_until_deadline(stall_deadline) => {
                    // The backup may have gone out of service in the meantime.
                    if self.stall_deadline(&run).is_none() {
                        continue;
                    }
                    let silent = run.endpoint.clone();
                    match self.replace_silent_run(Box::new(run)).await {
                        Ok(next_run) => run = *next_run,
                        Err(relay_end) => return relay_end,
                    }
                    if run.endpoint != silent {
                        migration.cancel();
                    } else if !run.unread.is_empty() {
                        continue;
                    }
                }
            }
            if !run.termination_handled && migration.is_idle() && self.is_terminating(&run.endpoint)
            {
                self.begin_migration(&mut run, &mut migration);
            }
        }
    }

    /// Handles what the stream of `run` has brought. Returns how the run ended, if it did.
    async fn on_signal(&mut self, run: &mut Run, signal: RunSignal) -> Option<RelayEnd> {
        let failure = match run.checked(signal, &self.sequence, self.delivered_events) {
            RunSignal::Event(event) => self.deliver_event(run, event).await.err()?,
            RunSignal::Ended => {
                self.on_completed(run);
                return Some(RelayEnd::Complete);
            }
            RunSignal::Failed(failure) => failure,
        };
        self.on_stream_failed(&run.endpoint, run.is_at_peer, &failure);
        let backup = run.backup.take().filter(|_| !run.is_at_peer);
        Some(RelayEnd::Lost(Interruption::Disconnected, backup))
    }

    /// Leaves `run`, whose events are no longer relayed, unless its stream is complete. Its engine may go
    /// on with it although the connection broke.
    fn on_relay_end(&mut self, run: Run, end: RelayEnd) -> RelayEnd {
        if let RelayEnd::Lost(..) = end
            && let Some(run) = UnendedRun::close(run)
        {
            self.leave_run(run);
        }
        end
    }

    /// Records that `run` has delivered its complete stream.
    fn on_completed(&mut self, run: &mut Run) {
        self.trace.alive_ms = None;
        self.call.record_completed();
        if !run.stream.response.ends_with_connection() {
            self.call.record_sound_segments();
        }
        if !run.is_at_peer {
            self.call.context.record_outcome(&run.endpoint, RequestOutcome::Success);
        }
        if let Some(backup) = run.backup.take() {
            backup.free();
        }
    }

    /// Logs that the stream of a run at `endpoint` failed.
    pub(super) fn log_stream_failure(&self, endpoint: &EndpointId, failure: &RunFailure) {
        info!(request = self.call.id(), endpoint = endpoint.as_str(),
            error = failure.cause(), events = self.delivered_events;
            "engine stream failed");
    }

    /// Records that the stream of a run at `endpoint` failed, which a peer VM relays if `is_at_peer`.
    pub(super) fn on_stream_failed(
        &mut self,
        endpoint: &EndpointId,
        is_at_peer: bool,
        failure: &RunFailure,
    ) {
        self.log_stream_failure(endpoint, failure);
        match is_at_peer {
            true => self.count_failed_run(endpoint, EndedBy::Peer, failure),
            false => self.on_run_failed(endpoint, failure),
        }
    }

    /// Returns when another engine is to take the run over because it is silent, or `None` if the
    /// generation could neither resume from a backup nor restart: the run is then kept however long it
    /// pauses.
    fn stall_deadline(&self, run: &Run) -> Option<Instant> {
        self.choose_replacement(self.may_ask_backup(run))?;
        let stalled_at = self.stalled_at(run);
        Some(run.silence.next_search_at.map_or(stalled_at, |at| at.max(stalled_at)))
    }

    /// Returns when the run counts as stalled if it brings no event by then.
    pub(super) fn stalled_at(&self, run: &Run) -> Instant {
        let limit_ms = match self.delivered_events {
            0 => self.call.route.latency_target_ms.saturating_add(FIRST_EVENT_GRACE_MS),
            _ => self.call.route.inter_event_target_ms.saturating_mul(STALL_PAUSE_FACTOR),
        };
        run.last_event_at + Duration::from_millis(limit_ms)
    }
}

/// Sleeps until `deadline`; never returns if there is none.
async fn sleep_until_deadline(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => pending().await,
    }
}
