//! Moves a run off an engine that is about to be terminated.
//!
//! The run goes on and its events are delivered while its KV cache is copied and the connection to the
//! engine that holds the copy is opened. It ends once that engine has answered.

use super::Generation;
use super::backup::PendingConnection;
use super::ending::UnendedRun;
use super::run::{Backup, CopyTarget, PendingCopy, RelayEnd, Run};
use super::stopping::MoveTarget;
use super::switching::{NotStarted, Switch};
use crate::endpoint_access::PermitWait;
use crate::placing::EndpointConnection;
use gypsumchute_platform::KvSource;
use gypsumchute_platform::endpoints::{CopyError, KvCopy};
use gypsumchute_routing::continuity::{Interruption, RecoveryAction, choose_recovery};
use log::info;
use std::future::pending;
use std::pin::Pin;
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep};

/// Timeout for copying the KV cache of a run to another engine, in milliseconds. Engines are
/// terminated within seconds of their notice.
pub(super) const COPY_TIMEOUT_MS: u64 = 4_000;
/// Maximum number of engines that are tried as targets for a copy of a run; after that, the run
/// stays at the current engine. Several attempts take little time, because engines without room
/// usually reject the request within milliseconds.
const MAX_COPY_ATTEMPTS: u32 = 8;

/// Time for which a run waits for the permit to go on at the engine that holds its backup before another
/// engine is looked for, in milliseconds.
const PERMIT_WAIT_MS: u64 = 500;

/// The move of a run off a leaving engine.
#[derive(Default)]
pub(super) struct Migration {
    step: Step,
    copy_attempts: u32,
}

/// What is under way.
#[derive(Default)]
enum Step {
    #[default]
    None,
    /// The KV cache is copied to another engine.
    Copying(PendingCopy),
    /// A connection to the engine that holds the backup is opened.
    Connecting(PendingConnection),
    /// The engines with room take no more streams now, and are looked at again later.
    Waiting(Pin<Box<Sleep>>),
}

/// Result of a step.
pub(super) enum FinishedStep {
    /// A copy was made, or failed.
    Copied(CopyTarget, Result<KvCopy, CopyError>),
    /// The connection to the engine that holds the backup is open, or could not be opened.
    Connected(Option<EndpointConnection>),
    /// A target is to be looked for again.
    Waited,
}

impl Migration {
    /// Reports whether nothing is under way.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.step, Step::None)
    }

    /// Gives up what is under way.
    pub(super) fn cancel(&mut self) {
        self.step = Step::None;
    }

    /// Waits for the result of the step that is under way; never returns if there is none.
    pub(super) async fn finished(&mut self) -> FinishedStep {
        let finished = match &mut self.step {
            Step::None => pending().await,
            Step::Copying(copy) => {
                let (target, result) = copy.await;
                FinishedStep::Copied(target, result)
            }
            Step::Connecting(connection) => FinishedStep::Connected(connection.await),
            Step::Waiting(wait) => {
                wait.await;
                FinishedStep::Waited
            }
        };
        self.step = Step::None;
        finished
    }

    /// Reports whether another copy may be made.
    fn may_copy(&self) -> bool {
        self.copy_attempts < MAX_COPY_ATTEMPTS
    }
}

impl Generation {
    /// Begins to move `run`, whose engine is about to be terminated, if it is to move.
    pub(super) fn begin_migration(&self, run: &mut Run, migration: &mut Migration) {
        run.termination_handled = true;
        run.backup = run.backup.take().filter(|backup| self.is_usable(backup));
        let has_backup = run.backup.is_some();
        let next = choose_recovery(Interruption::Terminating, self.run_state(has_backup));
        self.log_recovery(Interruption::Terminating, next);
        migration.step = match (next, &run.backup) {
            (RecoveryAction::ResumeFromBackup, Some(backup)) => {
                let until = Instant::now() + Duration::from_millis(PERMIT_WAIT_MS);
                let wait = PermitWait { until, has_alternative: true };
                match self.start_connecting(backup, wait) {
                    Ok(connection) => Step::Connecting(connection),
                    Err(_) => {
                        retry_without_backup(run);
                        Step::None
                    }
                }
            }
            (RecoveryAction::Migrate, _) if migration.may_copy() => {
                let step = self.start_copy(run);
                migration.copy_attempts += u32::from(!matches!(step, Step::Waiting(_)));
                step
            }
            _ => Step::None,
        };
    }

    /// Handles the result of a step of the move of `run`. Returns the run that the generation continues
    /// with.
    ///
    /// # Errors
    ///
    /// Returns how the relaying ended if no run is left.
    pub(super) async fn on_migration_step(
        &mut self,
        mut run: Box<Run>,
        migration: &Migration,
        finished: FinishedStep,
    ) -> Result<Box<Run>, RelayEnd> {
        match finished {
            FinishedStep::Copied(target, result) => {
                self.on_copy_finished(&mut run, target, result);
                // After a failed copy, the next engine is tried if attempts are left.
                run.termination_handled &= !migration.may_copy();
                Ok(run)
            }
            FinishedStep::Waited => {
                run.termination_handled = false;
                Ok(run)
            }
            FinishedStep::Connected(placed) => {
                let backup = run.backup.take().filter(|backup| self.is_usable(backup));
                match (placed, backup) {
                    (Some(placed), Some(backup)) if placed.endpoint == backup.endpoint => {
                        self.move_run(run, placed, backup).await
                    }
                    (_, backup) => {
                        if let Some(backup) = backup {
                            backup.free();
                        }
                        retry_without_backup(&mut run);
                        Ok(run)
                    }
                }
            }
        }
    }

    /// Resumes `run` from `backup` at `placed`. If the engine does not start a run, `run` goes on, and
    /// its KV cache can be copied to another one.
    async fn move_run(
        &mut self,
        run: Box<Run>,
        placed: EndpointConnection,
        backup: Backup,
    ) -> Result<Box<Run>, RelayEnd> {
        let other = placed.endpoint.clone();
        match self.switch_run(run, placed, Some(backup)).await {
            Switch::Done { run, earlier } => {
                if let Some((earlier, _)) = earlier
                    && let Some(left) = UnendedRun::close(*earlier)
                {
                    self.leave_run(left);
                    self.end_left_runs(run.address);
                }
                Ok(run)
            }
            Switch::Kept { mut run, not_started, .. } => {
                if not_started == NotStarted::Unanswered {
                    self.excluded.insert(other);
                }
                retry_without_backup(&mut run);
                Ok(run)
            }
            Switch::Lost(relay_end) => Err(relay_end),
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
                let context = self.call.context.clone();
                let source_endpoint = run.endpoint.clone();
                run.backup = Some(Backup {
                    endpoint,
                    address,
                    version,
                    source,
                    source_endpoint,
                    load_guard,
                    context,
                });
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

    /// Starts copying the KV cache of the run to another engine. Nothing is started if no engine has
    /// room, or if the caller sent no request id (which names the run at the engine).
    fn start_copy(&self, run: &Run) -> Step {
        let context = self.call.context.clone();
        let Some(request_id) = self.call.caller.request_id.clone() else { return Step::None };
        let excluded = self.excluded.clone();
        let endpoint = match self.choose_move_target(&run.endpoint, run.version, excluded) {
            MoveTarget::Engine(endpoint) => endpoint,
            MoveTarget::Later { wait_ms, .. } => {
                return Step::Waiting(Box::pin(sleep(Duration::from_millis(wait_ms))));
            }
            MoveTarget::None => return Step::None,
        };
        let address = context.with(|state| state.endpoints.get(&endpoint).map(|e| e.entry.address));
        let permit = context.acquire_control(&run.endpoint);
        let (Some(address), Some(permit)) = (address, permit) else { return Step::None };
        let load_guard = context.reserve_load(&endpoint, self.backup_load());
        let version = run.version;
        let target = CopyTarget { endpoint, address, version, load_guard };
        let (source, source_address) = (run.endpoint.clone(), run.address);
        Step::Copying(Box::pin(async move {
            let source_start = context.endpoint_start_ms(&source);
            let (from, to) = (source_address, target.address);
            let copying =
                permit.copy_kv_cache(&context, from, to, &request_id, false, COPY_TIMEOUT_MS);
            let (result, signs) = copying.await;
            context.record_endpoint_signs(&source, source_start, signs);
            (target, result)
        }))
    }
}

/// Lets another way to move `run` be looked for, since its backup can't be used.
fn retry_without_backup(run: &mut Run) {
    run.backup = None;
    run.termination_handled = false;
}
