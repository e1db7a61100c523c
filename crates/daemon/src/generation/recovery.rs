//! Chooses what follows a run that was lost or rejected.

use super::Generation;
use super::run::{Backup, NoRecovery, StartFrom};
use super::trace::RunProgress;
use gypsumchute_routing::continuity::{
    GenerationState, Interruption, RecoveryAction, choose_recovery,
};
use gypsumchute_units::{EndpointId, Refusal, RefusalReason};
use log::info;

/// Number of engine rejections after which a generation is refused.
const MAX_REJECTIONS: u32 = 3;

impl Generation {
    /// Returns how to retry after an engine rejected the request without running it, or the refusal
    /// if no retry is left.
    pub(super) fn after_rejection(&mut self) -> Result<StartFrom, Refusal> {
        self.rejections += 1;
        let service = &self.call.service.id;
        let may_retry =
            self.rejections < MAX_REJECTIONS && self.call.context.take_retry(service, "not_run");
        match (may_retry, self.call.possible_runs.endpoints()) {
            (true, _) => Ok(StartFrom::Prompt),
            (false, 0) => Err(self
                .call
                .retryable_refusal(RefusalReason::NoRoom, self.call.route.latency_target_ms)),
            (false, _) => Err(Refusal::may_have_run(RefusalReason::EndpointLost)),
        }
    }

    /// Returns how to recover a lost run, or the refusal if no recovery is possible.
    pub(super) fn after_loss(
        &mut self,
        interruption: Interruption,
        backup: Option<Backup>,
    ) -> Result<StartFrom, Refusal> {
        let backup = backup.filter(|backup| self.is_usable(backup));
        let next = match self.has_certain_version() {
            true => choose_recovery(interruption, self.run_state(backup.is_some())),
            false => RecoveryAction::Fail,
        };
        self.log_recovery(interruption, next);
        let no_recovery = match (next, backup) {
            (RecoveryAction::ResumeFromBackup, Some(backup)) => {
                return Ok(StartFrom::Backup(Box::new(backup), self.wait_without_run()));
            }
            (RecoveryAction::Restart, _) => {
                if self.call.context.take_retry(&self.call.service.id, interruption.into()) {
                    return Ok(StartFrom::Prompt);
                }
                NoRecovery::RetryBudgetSpent
            }
            _ if !self.has_certain_version() => NoRecovery::VersionUncertain,
            _ if self.call.is_repeatable() => NoRecovery::EndpointsUsed,
            _ => NoRecovery::NotRepeatable,
        };
        self.no_recovery = Some(no_recovery);
        Err(Refusal::may_have_run(RefusalReason::EndpointLost))
    }

    /// Returns the state that [`choose_recovery`] bases the decision on.
    pub(super) fn run_state(&self, has_backup: bool) -> GenerationState {
        GenerationState {
            kind: self.call.route.kind,
            event_delivered: self.delivered_events > 0,
            answer_began: self.trace.progress != RunProgress::Waiting,
            remaining_tokens: self.remaining_tokens(),
            has_backup,
            supports_kv_copy: self
                .call
                .service
                .engine
                .is_some_and(|engine| engine.supports_kv_copy),
            endpoints_used: self.call.possible_runs.endpoints(),
            max_endpoints: self.call.route.max_endpoints,
            failed_endpoints: self.failed_runs,
        }
    }

    /// Returns the number of tokens that are expected but not yet delivered.
    fn remaining_tokens(&self) -> u64 {
        let tokens_per_event = self.call.service.engine.map_or(1, |engine| engine.tokens_per_event);
        let generated = self.delivered_events * u64::from(tokens_per_event);
        self.call.expected_output_tokens().saturating_sub(generated)
    }

    /// Logs how the generation recovers from `interruption`.
    pub(super) fn log_recovery(&self, interruption: Interruption, next: RecoveryAction) {
        info!(
            request = self.call.id(),
            endpoint = self.trace.endpoint.as_ref().map_or("-", EndpointId::as_str),
            loss:% = interruption,
            next:% = next,
            events = self.delivered_events,
            breaks = self.failed_runs,
            silent_ms:? = self.trace.silent_ms(),
            left_ms = self.call.remaining_ms();
            "run was lost or must move; recovery chosen"
        );
    }
}
