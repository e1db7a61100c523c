//! What is known of a run if it ends without a response, from which crashes of engines are inferred.

use super::run::RunFailure;
use crate::call::Call;
use gypsumchute_routing::poison_segments::{BEGINNING_MS, SuspectRun};
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, EndpointId};
use log::info;

/// A run, as far as its end without a response is concerned.
#[derive(Debug, Clone, Default)]
pub(super) struct RunTrace {
    /// Endpoint that the request was sent to.
    pub(super) endpoint: Option<EndpointId>,
    /// Last sign of life of the run: when the request was sent, or the last event arrived. `None` if
    /// there is no run.
    pub(super) alive_ms: Option<BootMs>,
    /// How far the run came.
    pub(super) progress: RunProgress,
}

/// How far a run came.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum RunProgress {
    /// The engine has not answered.
    #[default]
    Waiting,
    /// The response head has arrived.
    Began,
    /// Events arrive, the first of them at `since_ms`.
    Writing { since_ms: BootMs },
}

impl RunProgress {
    /// Reports whether the answer had gone on for a while at `alive_ms`.
    pub(super) fn has_gone_on(self, alive_ms: BootMs) -> bool {
        match self {
            RunProgress::Waiting | RunProgress::Began => false,
            RunProgress::Writing { since_ms } => alive_ms.since(since_ms) >= BEGINNING_MS,
        }
    }
}

impl RunTrace {
    /// Returns the time since the last sign of life, in milliseconds, if there is a run.
    pub(super) fn silent_ms(&self) -> Option<u64> {
        self.alive_ms.map(|alive_ms| boot_now().since(alive_ms))
    }

    /// Records that the run ends without a response, unless there was a sign of life just now.
    pub(super) fn record_silent(&mut self, call: &Call) {
        if let (Some(endpoint), Some(alive_ms)) = (&self.endpoint, self.alive_ms.take()) {
            call.record_silent_run(endpoint, self.suspect_run(call, alive_ms), alive_ms);
        }
    }

    /// Records that the run ended with `failure`, which may show a crash of its engine.
    pub(super) fn record_failure(&mut self, call: &Call, failure: &RunFailure) {
        let Some(endpoint) = &self.endpoint else { return };
        let alive_ms = self.alive_ms.take();
        let is_terminating =
            call.context.with(|state| state.endpoints.is_terminating_or_gone(endpoint));
        match failure {
            // An engine that sent a termination notice or was unregistered may end as planned.
            RunFailure::Disconnected(cause) if !is_terminating => {
                let run = self.suspect_run(call, alive_ms.unwrap_or(boot_now()));
                call.record_crash(endpoint, run, cause);
            }
            RunFailure::Stopped(_) => {}
            RunFailure::Disconnected(_) | RunFailure::InvalidResponse(_) => {
                if let (RunFailure::Disconnected(_), Some(alive_ms)) = (failure, alive_ms) {
                    call.record_silent_run(endpoint, self.suspect_run(call, alive_ms), alive_ms);
                }
                info!(request = call.id(), fingerprint:% = call.fingerprint,
                    endpoint = endpoint.as_str(), cause = failure.cause();
                    "failed run is not held against the request");
            }
        }
    }

    /// Describes the run, the last sign of life of which was at `alive_ms`.
    fn suspect_run(&self, call: &Call, alive_ms: BootMs) -> SuspectRun {
        let mut run = call.unanswered_run();
        run.answer_began = self.progress != RunProgress::Waiting;
        if self.progress.has_gone_on(alive_ms) {
            run.segments.clear();
        }
        run
    }
}
