//! Passing a run's events on, and leaving its engine in time.

use super::Generation;
use super::run::{Backup, CopyTarget, PendingCopy, RelayEnd, Run, StartFrom, StartOutcome};
use gypsumchute_platform::RunSource;
use gypsumchute_platform::endpoints::{CopyError, RunCopy, copy_run, free_copy};
use gypsumchute_routing::continuity::{Loss, Next, next_step};
use gypsumchute_routing::outcomes::Outcome;
use gypsumchute_routing::placement::{Placement, place_copy};
use gypsumchute_units::RequestId;
use gypsumchute_units::time::boot_now;
use log::info;
use std::future::pending;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout};

/// Longest wait for an engine to go on from a copy while the old run still works, in ms. Two runs
/// at once must end well before 400 ms.
const CUTOVER_TIMEOUT_MS: u64 = 250;
/// Longest time in which a run's memory is copied, in ms: engines leave within seconds.
const COPY_TIMEOUT_MS: u64 = 4_000;
/// A stream that pauses so many times its route's longest good pause has lost its engine.
const STALL_PAUSE_FACTOR: u64 = 4;
/// What is added to a route's target before an engine that has sent no event counts as silent.
const FIRST_EVENT_GRACE_MS: u64 = 700;
/// Engines that may be asked to take a run in before it stays where it is. Most that can't say so
/// within milliseconds.
const MAX_COPY_ATTEMPTS: u32 = 8;
/// Longest time for an engine to free a copy, in ms.
const FREE_COPY_TIMEOUT_MS: u64 = 1_000;

impl Generation {
    /// Passes events on until the run is complete or lost.
    pub(super) async fn relay_events(&mut self, mut run: Run) -> RelayEnd {
        let mut registry = self.call.context.registry_changes();
        let mut pending_copy: Option<PendingCopy> = None;
        let mut copy_attempts = 0;
        loop {
            let stall_deadline = self.stall_deadline(&run);
            tokio::select! {
                piece = run.answer.next_piece() => {
                    let piece = piece.map_err(|err| err.to_string());
                    let delivered = match piece {
                        Ok(Some(piece)) => self.deliver_events(&mut run, &piece).await,
                        Ok(None) if run.events.has_partial_event() => Err("an event without its end".into()),
                        Ok(None) => {
                            self.call.context.record_outcome(&run.endpoint, Outcome::Answered);
                            free_unused_copy(run.backup.take());
                            return RelayEnd::Complete;
                        }
                        Err(err) => Err(err),
                    };
                    if let Err(error) = delivered {
                        info!(request = self.call.id(), endpoint = run.endpoint.as_str(),
                            error = error.as_str(), events = self.delivered_events; "stream broke off");
                        self.on_run_failed(&run.endpoint);
                        return RelayEnd::Lost(Loss::Broken, run.backup);
                    }
                }
                _ = registry.changed(), if !run.termination_handled => {}
                (target, result) = copy_finished(&mut pending_copy) => {
                    pending_copy = None;
                    self.on_copy_finished(&mut run, target, result);
                    run.termination_handled &= copy_attempts >= MAX_COPY_ATTEMPTS;
                }
                () = sleep_until_deadline(stall_deadline) => {
                    // The place to go on may have gone at the same moment.
                    if self.stall_deadline(&run).is_none() {
                        continue;
                    }
                    self.call.context.record_outcome(&run.endpoint, Outcome::Silent);
                    self.excluded.insert(run.endpoint.clone());
                    match self.fail_over_stalled_run(run).await {
                        Ok(next_run) => run = *next_run,
                        Err(relay_end) => return relay_end,
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
            let backup = run.backup.take().filter(|backup| self.accepts_requests(&backup.endpoint));
            let next = next_step(Loss::Leaving, self.run_state(backup.is_some()));
            self.log_recovery(Loss::Leaving, next);
            match (next, backup) {
                (Next::FromBackup, Some(backup)) => match self.cut_over(run, backup).await {
                    Ok(next_run) => run = *next_run,
                    Err(relay_end) => return relay_end,
                },
                (Next::Move, _) if copy_attempts < MAX_COPY_ATTEMPTS => {
                    copy_attempts += 1;
                    pending_copy = self.start_copy(&run);
                }
                _ => {}
            }
        }
    }

    /// Takes in that the run's memory was copied, or why not.
    fn on_copy_finished(
        &mut self,
        run: &mut Run,
        target: CopyTarget,
        result: Result<RunCopy, CopyError>,
    ) {
        match result {
            Ok(copy) => {
                let source = RunSource { address: run.address, name: copy.handle };
                let CopyTarget { endpoint, address, load_guard } = target;
                run.backup = Some(Backup { endpoint, address, source, load_guard });
                run.termination_handled = false;
            }
            Err(error) => {
                info!(request = self.call.id(), endpoint = run.endpoint.as_str(),
                    to = target.endpoint.as_str(), error:% = error; "run was not copied");
                self.excluded.insert(target.endpoint);
            }
        }
    }

    /// Goes on from the backup of a run that fell silent. Where that can't be reached either, the
    /// run is kept: a cut may hold up what it makes, and lets it through later.
    async fn fail_over_stalled_run(&mut self, mut run: Run) -> Result<Box<Run>, RelayEnd> {
        let backup = run.backup.take().filter(|backup| self.accepts_requests(&backup.endpoint));
        match backup {
            Some(backup) => {
                self.log_recovery(Loss::Silent, Next::FromBackup);
                self.cut_over(run, backup).await
            }
            None => Err(RelayEnd::Lost(Loss::Silent, None)),
        }
    }

    /// Goes on from `backup`. The old run is kept until the new one has begun, unless that takes
    /// so long that both might work.
    async fn cut_over(&mut self, run: Run, backup: Backup) -> Result<Box<Run>, RelayEnd> {
        let mut start = Box::pin(self.start_run(StartFrom::Backup(backup)));
        let in_time = timeout(Duration::from_millis(CUTOVER_TIMEOUT_MS), start.as_mut()).await;
        let (start, old) = match in_time {
            Ok(start) => (start, Some(run)),
            Err(_) => {
                drop(run);
                (start.await, None)
            }
        };
        match (start, old) {
            (StartOutcome::Running(next_run), _) => Ok(next_run),
            // It goes on where it is; its memory may still be copied.
            (_, Some(mut run)) => {
                run.termination_handled = false;
                Ok(Box::new(run))
            }
            (StartOutcome::Lost(backup), None) => Err(RelayEnd::Lost(Loss::Broken, backup)),
            (_, None) => Err(RelayEnd::Lost(Loss::Broken, None)),
        }
    }

    fn start_copy(&self, run: &Run) -> Option<PendingCopy> {
        let context = &self.call.context;
        let request_id: RequestId = self.call.caller.request_id.clone()?;
        let placement = context.with(|state| {
            let fleet = state.fleet(&context.settings);
            place_copy(boot_now(), fleet, self.demand(), &run.endpoint)
        });
        let Placement::At(endpoint) = placement else { return None };
        let address =
            context.with(|state| state.endpoints.get(&endpoint).map(|e| e.entry.address))?;
        let load_guard = context.reserve_load(&endpoint, self.backup_load());
        let target = CopyTarget { endpoint, address, load_guard };
        let from = run.address;
        Some(Box::pin(async move {
            let result = copy_run(from, target.address, &request_id, false, COPY_TIMEOUT_MS).await;
            (target, result)
        }))
    }

    /// When the run counts as silent, if it can go on elsewhere now.
    fn stall_deadline(&self, run: &Run) -> Option<Instant> {
        let backup = run.backup.as_ref();
        let has_backup = backup.is_some_and(|backup| self.accepts_requests(&backup.endpoint));
        let next = next_step(Loss::Silent, self.run_state(has_backup));
        let limit_ms = match (next, self.delivered_events) {
            (Next::Stay | Next::GiveUp | Next::Move, _) => return None,
            (_, 0) => self.call.route.target_ms + FIRST_EVENT_GRACE_MS,
            _ => self.call.route.pause_target_ms * STALL_PAUSE_FACTOR,
        };
        Some(run.last_event_at + Duration::from_millis(limit_ms))
    }
}

async fn copy_finished(
    pending_copy: &mut Option<PendingCopy>,
) -> (CopyTarget, Result<RunCopy, CopyError>) {
    match pending_copy {
        Some(pending_copy) => pending_copy.await,
        None => pending().await,
    }
}

async fn sleep_until_deadline(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => pending().await,
    }
}

/// Frees a copy that was made on order and that nobody needs any more.
fn free_unused_copy(backup: Option<Backup>) {
    let Some(backup) = backup.filter(Backup::is_explicit_copy) else { return };
    spawn_local(async move {
        let copy = RunCopy { handle: backup.source.name.clone() };
        if let Err(err) = free_copy(backup.source.address, &copy, FREE_COPY_TIMEOUT_MS).await {
            info!(endpoint = backup.endpoint.as_str(), error:% = err;
                "copy was not freed; it frees itself after a time");
        }
    });
}
