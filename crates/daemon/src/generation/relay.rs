//! Relays the events of a run, and moves the run to another engine if the current engine is
//! terminated or stalls.

use super::Generation;
use super::handover::Handovers;
use super::run::{
    Backup, CopyTarget, PendingCopy, RelayEnd, Run, RunFailure, RunSignal, StartFrom, StartOutcome,
};
use crate::call::EndedBy;
use gypsumchute_platform::KvSource;
use gypsumchute_platform::endpoints::{CopyError, KvCopy, copy_kv_cache, free_kv_copy};
use gypsumchute_routing::continuity::{Interruption, RecoveryAction, choose_recovery};
use gypsumchute_routing::outcomes::RequestOutcome;
use gypsumchute_routing::placement::{Placement, choose_migration_target};
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{EndpointId, RequestId};
use log::info;
use std::future::pending;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout};

/// Maximum wait for the backup engine to resume a run while the old run is still active, in
/// milliseconds. Two runs of one generation must not be active at once for 400 ms, and this limit
/// ends the old run well before that.
pub(super) const CUTOVER_TIMEOUT_MS: u64 = 250;
/// Timeout for copying the KV cache of a run to another engine, in milliseconds. Engines are
/// terminated within seconds of their notice.
pub(super) const COPY_TIMEOUT_MS: u64 = 4_000;
/// Once an event has been forwarded to the caller, a run counts as stalled after this many times
/// the inter-event target of the route without an event.
pub(super) const STALL_PAUSE_FACTOR: u64 = 4;
/// Until the first event has been forwarded to the caller, a run counts as stalled after the
/// latency target of the route plus this time, in milliseconds.
const FIRST_EVENT_GRACE_MS: u64 = 700;
/// Maximum number of engines that are tried as targets for a copy of a run; after that, the run
/// stays at the current engine. Several attempts take little time, because engines without room
/// usually reject the request within milliseconds.
const MAX_COPY_ATTEMPTS: u32 = 8;
/// Timeout for asking an engine to free a copy, in milliseconds.
const FREE_COPY_TIMEOUT_MS: u64 = 1_000;

impl Generation {
    /// Forwards events to the caller until the run completes or is lost.
    pub(super) async fn relay_events(&mut self, mut run: Run) -> RelayEnd {
        let mut registry_changes = self.call.context.registry_changes();
        let mut pending_copy: Option<PendingCopy> = None;
        let mut copy_attempts = 0;
        let mut handovers = Handovers::default();
        loop {
            if let Some(signal) = run.unread.take()
                && let Some(end) = self.on_signal(&mut run, signal).await
            {
                return end;
            }
            let handover_deadline = self.handover_deadline(&run, &handovers);
            let stall_deadline = match handover_deadline {
                Some(_) if self.is_cut_off() => None,
                _ => self.stall_deadline(&run),
            };
            tokio::select! {
                signal = run.next_signal() => {
                    if let Some(end) = self.on_signal(&mut run, signal).await {
                        return end;
                    }
                }
                // The termination check below runs again.
                _ = registry_changes.changed(), if !run.termination_handled => {}
                (target, result) = copy_finished(&mut pending_copy) => {
                    pending_copy = None;
                    self.on_copy_finished(&mut run, target, result);
                    // After a failed copy, the next engine is tried if attempts are left.
                    run.termination_handled &= copy_attempts >= MAX_COPY_ATTEMPTS;
                }
                () = sleep_until_deadline(handover_deadline) => {
                    handovers.defer();
                    if self.is_cut_off() {
                        run = self.hand_over_run(run, &mut handovers).await;
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
                        pending_copy = None;
                    } else if run.unread.is_some() {
                        continue;
                    }
                }
            }
            if run.termination_handled
                || !self.is_terminating(&run.endpoint)
                || pending_copy.is_some()
            {
                continue;
            }
            run.termination_handled = true;
            let backup = run.backup.take().filter(|backup| self.is_usable(backup));
            let next = choose_recovery(Interruption::Terminating, self.run_state(backup.is_some()));
            self.log_recovery(Interruption::Terminating, next);
            match (next, backup) {
                (RecoveryAction::ResumeFromBackup, Some(backup)) => {
                    match self.cut_over(run, backup).await {
                        Ok(next_run) => run = *next_run,
                        Err(relay_end) => return relay_end,
                    }
                }
                (RecoveryAction::Migrate, _) if copy_attempts < MAX_COPY_ATTEMPTS => {
                    copy_attempts += 1;
                    pending_copy = self.start_copy(&run);
                }
                _ => {}
            }
        }
    }

    /// Handles what the stream of `run` has brought. Returns how the run ended, if it did.
    async fn on_signal(&mut self, run: &mut Run, signal: RunSignal) -> Option<RelayEnd> {
        let failure = match signal {
            RunSignal::Event(event) => self.deliver_event(run, event).await.err()?,
            RunSignal::Ended => match run.check_end(&self.sequence, self.delivered_events) {
                Ok(()) => {
                    self.on_completed(run);
                    return Some(RelayEnd::Complete);
                }
                Err(failure) => failure,
            },
            RunSignal::Failed(failure) => failure,
        };
        self.on_stream_failed(&run.endpoint, run.is_at_peer, &failure);
        let backup = run.backup.take().filter(|_| !run.is_at_peer);
        Some(RelayEnd::Lost(Interruption::Disconnected, backup))
    }

    /// Records that `run` has delivered its complete stream.
    fn on_completed(&mut self, run: &mut Run) {
        self.trace.alive_ms = None;
        self.call.record_completed();
        if !run.response.ends_with_connection() {
            self.call.record_sound_segments();
        }
        if !run.is_at_peer {
            self.call.context.record_outcome(&run.endpoint, RequestOutcome::Success);
        }
        free_unused_copy(run.backup.take());
    }

    /// Logs that the stream of a run at `endpoint` failed.
    pub(super) fn log_stream_failure(&self, endpoint: &EndpointId, failure: &RunFailure) {
        info!(request = self.call.id(), endpoint = endpoint.as_str(),
            error = failure.cause(), events = self.delivered_events;
            "engine stream failed");
    }

    /// Records that the stream of a run at `endpoint` failed, which a peer VM relays if `is_at_peer`.
    fn on_stream_failed(&mut self, endpoint: &EndpointId, is_at_peer: bool, failure: &RunFailure) {
        self.log_stream_failure(endpoint, failure);
        match is_at_peer {
            true => self.count_failed_run(endpoint, EndedBy::Peer, failure),
            false => self.on_run_failed(endpoint, failure),
        }
    }

    /// Stores a finished copy as the backup of the run, or excludes the engine that failed to
    /// receive the copy.
    fn on_copy_finished(
        &mut self,
        run: &mut Run,
        target: CopyTarget,
        result: Result<KvCopy, CopyError>,
    ) {
        match result {
            Ok(copy) => {
                let source = KvSource { address: run.address, name: copy.handle };
                let CopyTarget { endpoint, address, version, load_guard } = target;
                run.backup =
                    Some(Backup { endpoint, address, version, source, _load_guard: load_guard });
                run.termination_handled = false;
            }
            Err(error) => {
                info!(request = self.call.id(), endpoint = run.endpoint.as_str(),
                    to = target.endpoint.as_str(), error:% = error;
                    "run could not be copied to another engine");
                self.excluded.insert(target.endpoint);
            }
        }
    }

    /// Resumes the run from `backup`. The old run is kept until the new one has started, but no
    /// longer than `CUTOVER_TIMEOUT_MS`, so that the two runs do not overlap for too long.
    async fn cut_over(&mut self, run: Run, backup: Backup) -> Result<Box<Run>, RelayEnd> {
        let trace = self.trace.clone();
        let (outcome, old_run) = {
            let mut start = Box::pin(self.start_run(StartFrom::Backup(backup)));
            match timeout(Duration::from_millis(CUTOVER_TIMEOUT_MS), start.as_mut()).await {
                Ok(outcome) => (outcome, Some(run)),
                Err(_) => {
                    drop(run);
                    (start.await, None)
                }
            }
        };
        match (outcome, old_run) {
            (StartOutcome::Running(next_run), _) => Ok(next_run),
            // The run stays at the current engine, and the KV cache can still be copied.
            (_, Some(mut run)) => {
                run.termination_handled = false;
                self.trace = trace;
                Ok(Box::new(run))
            }
            (StartOutcome::Lost(backup), None) => {
                Err(RelayEnd::Lost(Interruption::Disconnected, backup))
            }
            (_, None) => Err(RelayEnd::Lost(Interruption::Disconnected, None)),
        }
    }

    /// Starts copying the KV cache of the run to another engine. Returns `None` if no engine has
    /// room, or if the caller sent no request id (which names the run at the engine).
    fn start_copy(&self, run: &Run) -> Option<PendingCopy> {
        let context = &self.call.context;
        let request_id: RequestId = self.call.caller.request_id.clone()?;
        let placement = context.with(|state| {
            let fleet = state.fleet(&context.settings);
            let demand = self.call.placement_request(&self.excluded, Some(run.version));
            choose_migration_target(boot_now(), fleet, demand, &run.endpoint)
        });
        let Placement::Endpoint(endpoint) = placement else { return None };
        if !context.may_send_to(&run.endpoint) {
            return None;
        }
        let address =
            context.with(|state| state.endpoints.get(&endpoint).map(|e| e.entry.address))?;
        let load_guard = context.reserve_load(&endpoint, self.backup_load());
        let version = run.version;
        let target = CopyTarget { endpoint, address, version, load_guard };
        let (source, source_address) = (run.endpoint.clone(), run.address);
        let context = context.clone();
        Some(Box::pin(async move {
            let source_start = context.endpoint_start_ms(&source);
            let (result, signs) =
                copy_kv_cache(source_address, target.address, &request_id, false, COPY_TIMEOUT_MS)
                    .await;
            context.record_endpoint_signs(&source, source_start, signs);
            (target, result)
        }))
    }

    /// Returns when another engine is to take the run over because it is silent, or `None` if the
    /// generation could neither resume from a backup nor restart: the run is then kept however long it
    /// pauses.
    fn stall_deadline(&self, run: &Run) -> Option<Instant> {
        let backup = run.backup.as_ref();
        let has_backup = backup.is_some_and(|backup| self.is_usable(backup));
        let limit_ms = match (self.choose_replacement(has_backup)?, self.delivered_events) {
            (_, 0) => self.call.route.latency_target_ms + FIRST_EVENT_GRACE_MS,
            _ => self.call.route.inter_event_target_ms * STALL_PAUSE_FACTOR,
        };
        let stalled_at = run.last_event_at + Duration::from_millis(limit_ms);
        Some(run.silence.next_search_at.map_or(stalled_at, |at| at.max(stalled_at)))
    }
}

/// Waits for the pending copy; never returns if no copy is pending.
async fn copy_finished(
    pending_copy: &mut Option<PendingCopy>,
) -> (CopyTarget, Result<KvCopy, CopyError>) {
    match pending_copy {
        Some(copy) => copy.await,
        None => pending().await,
    }
}

/// Sleeps until `deadline`; never returns if there is none.
async fn sleep_until_deadline(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => pending().await,
    }
}

/// Frees the copy of a completed run if it was created by an explicit request.
fn free_unused_copy(backup: Option<Backup>) {
    let Some(backup) = backup.filter(Backup::is_explicit_copy) else { return };
    spawn_local(async move {
        let copy = KvCopy { handle: backup.source.name.clone() };
        if let Err(err) = free_kv_copy(backup.source.address, &copy, FREE_COPY_TIMEOUT_MS).await {
            info!(endpoint = backup.endpoint.as_str(), error:% = err;
                "KV copy could not be freed; the engine frees it after a timeout");
        }
    });
}
