//! Moves a run to another engine through another VM, after this VM has lost its links to the engines
//! while the run goes on at one of them.
//!
//! The peer has the engine stop the run, copies its memory to another engine and continues it there,
//! after the last event that the caller has. Until its first event arrives, the run is kept: its
//! events arrive late if the links come back.

use super::Generation;
use super::relay::STALL_PAUSE_FACTOR;
use super::run::{EventStream, Run, Silence, StartFrom, StartOutcome};
use super::stopping::{RunAtEngine, StopOutcome};
use super::unread::UnreadSignals;
use crate::events::EventSequence;
use crate::forwarding::{ContinuedRun, Handover, Origin};
use crate::placing::CONNECT_TIMEOUT_MS;
use gypsumchute_units::{EndpointId, Refusal, RefusalReason};
use log::info;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of attempts to hand a run over.
const MAX_HANDOVERS: u32 = 3;
/// Interval between checks whether a silent run must be handed over, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 250;
/// Timeout for the first event of a run that was handed over, in milliseconds.
const HANDOVER_TIMEOUT_MS: u64 = 5_000;

/// Attempts to hand a run over.
#[derive(Debug, Default)]
pub(super) struct Handovers {
    attempts: u32,
    next_check_at: Option<Instant>,
}

impl Handovers {
    /// Puts off the next check.
    pub(super) fn defer(&mut self) {
        self.next_check_at = Some(Instant::now() + Duration::from_millis(CHECK_INTERVAL_MS));
    }
}

impl Generation {
    /// Reports whether this VM has lost its links to the engines.
    pub(super) fn is_cut_off(&self) -> bool {
        self.call.context.is_cut_off(&self.call.service.id)
    }

    /// Returns when to check whether the run must be handed over, or `None` if it can't be.
    pub(super) fn handover_deadline(&self, run: &Run, handovers: &Handovers) -> Option<Instant> {
        let may_hand_over = self.call.origin == Origin::Caller
            && !run.is_at_peer
            && self.delivered_events > 0
            && handovers.attempts < MAX_HANDOVERS
            && self.call.service.engine.is_some_and(|engine| engine.supports_kv_copy);
        let limit_ms = self.call.route.inter_event_target_ms.saturating_mul(STALL_PAUSE_FACTOR);
        let silent_at = run.last_event_at + Duration::from_millis(limit_ms);
        let deadline = handovers.next_check_at.map_or(silent_at, |at| at.max(silent_at));
        may_hand_over.then_some(deadline)
    }

    /// Has a peer continue the run. Returns the run as the peer relays it, or the same run if that
    /// failed. If the peer may be continuing it all the same, the run is left without its backup: a stream
    /// that the peer has stopped must not go on at a third engine. Nor does its end show that it is complete.
    pub(super) async fn hand_over_run(&mut self, mut run: Run, handovers: &mut Handovers) -> Run {
        handovers.attempts += 1;
        let (Some(version), Some(last_event_id)) = (self.version, self.sequence.last_id()) else {
            return run;
        };
        let endpoint = run.endpoint.clone();
        let continued =
            ContinuedRun { endpoint, version, last_event_id, events: self.delivered_events };
        let limit = Duration::from_millis(HANDOVER_TIMEOUT_MS);
        let (response, may_continue) = match self.call.continue_at_peer(&continued, limit).await {
            Handover::Continued(response) => (Some(response), true),
            Handover::NotTaken => (None, false),
            Handover::Unknown => (None, true),
        };
        if may_continue {
            self.forget_left_runs();
        }
        let Some(response) = response else {
            info!(request = self.call.id(), endpoint = run.endpoint.as_str(),
                events = self.delivered_events, may_continue;
                "no peer VM is known to continue the run; it stays at its engine");
            run.may_be_stopped |= may_continue;
            if may_continue && let Some(backup) = run.backup.take() {
                backup.free();
            }
            return run;
        };
        Run {
            is_at_peer: true,
            stream: EventStream::new(response),
            backup: None,
            last_event_at: Instant::now(),
            unread: UnreadSignals::default(),
            silence: Silence::default(),
            termination_handled: true,
            may_be_stopped: false,
            ..run
        }
    }

    /// Takes over a run that another VM has lost its links to: moves it to another engine and
    /// continues it there.
    pub(super) async fn take_over_run(&mut self, run: ContinuedRun) -> StartOutcome {
        self.sequence = EventSequence::resume_after(Some(run.last_event_id));
        self.delivered_events = run.events;
        // The run at the engine counts, whatever follows.
        let _ = self.call.possible_runs.begin(1);
        self.version = Some(run.version);
        self.call.switch_service(run.version);
        self.excluded.insert(run.endpoint.clone());
        let refuse = |reason| StartOutcome::Refused(Refusal::may_have_run(reason));
        if !self.can_reach(&run.endpoint).await {
            return refuse(RefusalReason::NoReachableEndpoint);
        }
        let lost = || refuse(RefusalReason::EndpointLost);
        let Some(address) = self.address_at_version(&run.endpoint, run.version) else {
            return lost();
        };
        let stopping = RunAtEngine { endpoint: &run.endpoint, address, version: run.version };
        let Some(stopping) = self.stop_and_copy(stopping, None) else { return lost() };
        let StopOutcome::Stopped(backup) = stopping.await else { return lost() };
        match self.start_run(StartFrom::Backup(Box::new(backup), self.wait_without_run())).await {
            // The run was stopped and can't begin anew.
            StartOutcome::NotRun(_) => lost(),
            outcome => outcome,
        }
    }

    /// Reports whether a connection to `endpoint` can be established. A peer may have accepted the run
    /// although it has lost its links as well.
    async fn can_reach(&self, endpoint: &EndpointId) -> bool {
        let context = &self.call.context;
        let found =
            context.with(|state| state.endpoints.get(endpoint).map(|found| found.entry.address));
        let Some(address) = found else { return false };
        let service = &self.call.service.id;
        let is_reachable = context.access.is_reachable(address, CONNECT_TIMEOUT_MS).await;
        match is_reachable {
            true => context.record_connected(service),
            false => context.record_connect_failed(service, endpoint),
        }
        is_reachable
    }
}
