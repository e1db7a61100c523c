//! Passing a run's events on, and leaving its engine in time.

use super::Generation;
use super::run::{Attempt, Backup, CopyTarget, Copying, Pumped, Run, Step};
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
const OVERLAP_MS: u64 = 250;
/// Longest time in which a run's memory is copied, in ms: engines leave within seconds.
const COPY_MS: u64 = 4_000;
/// A stream that pauses so many times its route's longest good pause has lost its engine.
const SILENT_PAUSES: u64 = 4;
/// What is added to a route's target before an engine that has sent no event counts as silent.
const FIRST_EVENT_SLACK_MS: u64 = 700;
/// Engines that may be asked to take a run in before it stays where it is. Most that can't say so
/// within milliseconds.
const MAX_COPY_TRIES: u32 = 8;
/// Longest time for an engine to free a copy, in ms.
const FREE_MS: u64 = 1_000;

impl Generation {
    /// Passes events on until the run is complete or lost.
    pub(super) async fn pump(&mut self, mut run: Run) -> Pumped {
        let mut registry = self.call.context.registry_changes();
        let mut copying: Option<Copying> = None;
        let mut copy_tries = 0;
        loop {
            let silent_at = self.silent_at(&run);
            tokio::select! {
                piece = run.answer.next_piece() => {
                    let piece = piece.map_err(|err| err.to_string());
                    let delivered = match piece {
                        Ok(Some(piece)) => self.deliver(&mut run, &piece).await,
                        Ok(None) if run.events.has_rest() => Err("an event without its end".into()),
                        Ok(None) => {
                            self.call.context.observe(&run.endpoint, Outcome::Answered);
                            free_unused(run.backup.take());
                            return Pumped::Complete;
                        }
                        Err(err) => Err(err),
                    };
                    if let Err(error) = delivered {
                        info!(request = self.call.id(), endpoint = run.endpoint.as_str(),
                            error = error.as_str(), events = self.delivered; "stream broke off");
                        self.on_break(&run.endpoint);
                        return Pumped::Lost(Loss::Broken, run.backup);
                    }
                }
                _ = registry.changed(), if !run.noticed => {}
                (target, result) = in_progress(&mut copying) => {
                    copying = None;
                    self.on_copied(&mut run, target, result);
                    run.noticed &= copy_tries >= MAX_COPY_TRIES;
                }
                () = at(silent_at) => {
                    // The place to go on may have gone at the same moment.
                    if self.silent_at(&run).is_none() {
                        continue;
                    }
                    self.call.context.observe(&run.endpoint, Outcome::Silent);
                    self.avoid.insert(run.endpoint.clone());
                    match self.leave_silent(run).await {
                        Ok(next_run) => run = *next_run,
                        Err(pumped) => return pumped,
                    }
                }
            }
            if run.noticed || !self.is_leaving(&run.endpoint) || copying.is_some() {
                continue;
            }
            run.noticed = true;
            let backup = run.backup.take().filter(|backup| self.takes_work(&backup.endpoint));
            let next = next_step(Loss::Leaving, self.run_state(backup.is_some()));
            self.log_next(Loss::Leaving, next);
            match (next, backup) {
                (Next::FromBackup, Some(backup)) => match self.hand_over(run, backup).await {
                    Ok(next_run) => run = *next_run,
                    Err(pumped) => return pumped,
                },
                (Next::Move, _) if copy_tries < MAX_COPY_TRIES => {
                    copy_tries += 1;
                    copying = self.start_copy(&run);
                }
                _ => {}
            }
        }
    }

    /// Takes in that the run's memory was copied, or why not.
    fn on_copied(&mut self, run: &mut Run, target: CopyTarget, result: Result<RunCopy, CopyError>) {
        match result {
            Ok(copy) => {
                let source = RunSource { address: run.address, name: copy.handle };
                let CopyTarget { endpoint, address, occupied } = target;
                run.backup = Some(Backup { endpoint, address, source, occupied });
                run.noticed = false;
            }
            Err(error) => {
                info!(request = self.call.id(), endpoint = run.endpoint.as_str(),
                    to = target.endpoint.as_str(), error:% = error; "run was not copied");
                self.avoid.insert(target.endpoint);
            }
        }
    }

    /// Goes on from the backup of a run that fell silent. Where that can't be reached either, the
    /// run is kept: a cut may hold up what it makes, and lets it through later.
    async fn leave_silent(&mut self, mut run: Run) -> Result<Box<Run>, Pumped> {
        let backup = run.backup.take().filter(|backup| self.takes_work(&backup.endpoint));
        match backup {
            Some(backup) => {
                self.log_next(Loss::Silent, Next::FromBackup);
                self.hand_over(run, backup).await
            }
            None => Err(Pumped::Lost(Loss::Silent, None)),
        }
    }

    /// Goes on from `backup`. The old run is kept until the new one has begun, unless that takes
    /// so long that both might work.
    async fn hand_over(&mut self, run: Run, backup: Backup) -> Result<Box<Run>, Pumped> {
        let mut attempt = Box::pin(self.attempt(Step::FromBackup(backup)));
        let in_time = timeout(Duration::from_millis(OVERLAP_MS), attempt.as_mut()).await;
        let (attempt, old) = match in_time {
            Ok(attempt) => (attempt, Some(run)),
            Err(_) => {
                drop(run);
                (attempt.await, None)
            }
        };
        match (attempt, old) {
            (Attempt::Running(next_run), _) => Ok(next_run),
            // It goes on where it is; its memory may still be copied.
            (_, Some(mut run)) => {
                run.noticed = false;
                Ok(Box::new(run))
            }
            (Attempt::Lost(backup), None) => Err(Pumped::Lost(Loss::Broken, backup)),
            (_, None) => Err(Pumped::Lost(Loss::Broken, None)),
        }
    }

    fn start_copy(&self, run: &Run) -> Option<Copying> {
        let context = &self.call.context;
        let request_id: RequestId = self.call.caller.request_id.clone()?;
        let placement = context.with(|state| {
            let fleet = state.fleet(&context.settings);
            place_copy(boot_now(), fleet, self.demand(), &run.endpoint)
        });
        let Placement::At(endpoint) = placement else { return None };
        let address =
            context.with(|state| state.endpoints.get(&endpoint).map(|e| e.entry.address))?;
        let occupied = context.occupy(&endpoint, self.backup_load());
        let target = CopyTarget { endpoint, address, occupied };
        let from = run.address;
        Some(Box::pin(async move {
            let result = copy_run(from, target.address, &request_id, false, COPY_MS).await;
            (target, result)
        }))
    }

    /// When the run counts as silent, if it can go on elsewhere now.
    fn silent_at(&self, run: &Run) -> Option<Instant> {
        let backup = run.backup.as_ref();
        let has_backup = backup.is_some_and(|backup| self.takes_work(&backup.endpoint));
        let next = next_step(Loss::Silent, self.run_state(has_backup));
        let limit_ms = match (next, self.delivered) {
            (Next::Stay | Next::GiveUp | Next::Move, _) => return None,
            (_, 0) => self.call.route.target_ms + FIRST_EVENT_SLACK_MS,
            _ => self.call.route.pause_target_ms * SILENT_PAUSES,
        };
        Some(run.heard_at + Duration::from_millis(limit_ms))
    }
}

async fn in_progress(copying: &mut Option<Copying>) -> (CopyTarget, Result<RunCopy, CopyError>) {
    match copying {
        Some(copying) => copying.await,
        None => pending().await,
    }
}

async fn at(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => pending().await,
    }
}

/// Frees a copy that was made on order and that nobody needs any more.
fn free_unused(backup: Option<Backup>) {
    let Some(backup) = backup.filter(Backup::was_ordered) else { return };
    spawn_local(async move {
        let copy = RunCopy { handle: backup.source.name.clone() };
        if let Err(err) = free_copy(backup.source.address, &copy, FREE_MS).await {
            info!(endpoint = backup.endpoint.as_str(), error:% = err;
                "copy was not freed; it frees itself after a time");
        }
    });
}
