//! Waiting for capacity: a request's place in the admission queue, and how long it keeps it.

use crate::call::Call;
use crate::context::Context;
use crate::placing::QueueUse;
use gypsumchute_routing::admission::{PatientRequest, QueuePosition, max_queue_wait_ms};
use gypsumchute_routing::headroom::max_headroom_wait_ms;
use gypsumchute_routing::placement::capacity_shortage;
use gypsumchute_routing::queueing::{WaitDecision, WaitTimes, decide_wait, wait_times};
use gypsumchute_routing::stream_versions::ServiceVersion;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, EndpointId, Refusal, RefusalReason};
use log::info;
use std::collections::BTreeSet;
use std::rc::Rc;

/// A request's place in the admission queue, which is released on drop.
pub(crate) struct QueueEntry {
    context: Rc<Context>,
    /// Place in the queue.
    pub position: QueuePosition,
    times: WaitTimes,
    /// When the headroom no longer holds the request back, if it does.
    held_back_until_ms: Option<BootMs>,
    /// Whether the forecast decides how long the request waits.
    uses_forecast: bool,
    /// What the last log line said that the request lacks.
    logged: Option<&'static str>,
    is_late: bool,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.context.with(|state| state.admission_queue.remove(self.position));
        self.context.notify_changed();
    }
}

impl QueueEntry {
    /// Returns the time for which the request may wait without being late, in milliseconds.
    pub fn left_ms(&self) -> u64 {
        boot_now().until(self.times.latest_start_ms)
    }

    /// Returns the time until the limits of the request change, in milliseconds, or `wait_ms` if that
    /// is shorter.
    pub fn ms_until_other_limits(&self, wait_ms: u64) -> u64 {
        let left_ms = self.held_back_until_ms.map(|until_ms| boot_now().until(until_ms));
        left_ms.filter(|left_ms| *left_ms > 0).map_or(wait_ms, |left_ms| left_ms.min(wait_ms))
    }

    /// Records that the request was placed.
    pub fn record_placed(&self) {
        self.context.with(|state| {
            state.admission_queue.advance(boot_now());
            state.admission_queue.record_placed(self.position);
        });
    }
}

impl Call {
    /// Adds the request to the admission queue. The wait counts from the arrival of the request, or from
    /// now if the request is bound to a software `version`: its stream has begun, so the arrival may be
    /// long ago.
    pub(crate) fn enqueue(&self, queue: QueueUse, version: Option<ServiceVersion>) -> QueueEntry {
        let now = boot_now();
        let max_wait_ms = max_queue_wait_ms(&self.route, self.remaining_ms());
        let deadline_ms = match (queue, version) {
            (QueueUse::TryOnce, _) => now,
            (QueueUse::Wait, Some(_)) => now + max_wait_ms,
            (QueueUse::Wait, None) => self.arrived_ms + max_wait_ms,
        };
        let mut times = WaitTimes {
            arrived_ms: self.arrived_ms,
            latest_start_ms: deadline_ms,
            give_up_ms: deadline_ms,
        };
        let is_patient = self.features.patient_queueing;
        let uses_forecast = is_patient && queue == QueueUse::Wait && version.is_none();
        if uses_forecast {
            let (arrived_ms, prompt_tokens) = (self.arrived_ms, self.caller.prompt_tokens);
            times =
                wait_times(&self.route, self.features, arrived_ms, self.deadline_ms, prompt_tokens);
        }
        let held_back_ms = max_headroom_wait_ms(&self.route, self.features);
        let held_back_until_ms =
            held_back_ms.filter(|_| version.is_none()).map(|ms| self.arrived_ms + ms);
        let (priority, tokens) = (self.priority(), self.load().reserved_tokens);
        let position = self.context.with(|state| match is_patient {
            false => state.admission_queue.enqueue(priority, tokens),
            true => {
                let request = PatientRequest {
                    service: self.service.id.clone(),
                    customer: self.customer.as_ref().map(|customer| customer.id.clone()),
                    latest_start_ms: times.latest_start_ms,
                    held_back_until_ms,
                };
                state.admission_queue.enqueue_patient(priority, tokens, request)
            }
        });
        QueueEntry {
            context: self.context.clone(),
            position,
            times,
            held_back_until_ms,
            uses_forecast,
            logged: None,
            is_late: false,
        }
    }

    /// Decides how long the request that found no room waits for a change, in milliseconds.
    ///
    /// # Errors
    ///
    /// Returns the refusal if no room is expected while an answer is of use.
    pub(crate) fn wait_for_room(
        &self,
        entry: &mut QueueEntry,
        excluded: &BTreeSet<EndpointId>,
        version: Option<ServiceVersion>,
    ) -> Result<u64, Refusal> {
        if !entry.uses_forecast {
            return Ok(entry.left_ms());
        }
        let now = boot_now();
        let demand = self.placement_request(excluded, version);
        let target_ms = self.route.latency_target_ms;
        let (shortage, tokens, expected, typical_wait_ms) = self.context.with(|state| {
            state.admission_queue.record_waiting(entry.position);
            // Only those that may be placed look for room: the others wait for the same.
            if state.admission_queue.may_attempt_placement(entry.position) {
                let shortage = capacity_shortage(state.fleet(&self.context.settings), demand);
                state.admission_queue.record_shortage(entry.position, shortage);
            }
            let queue = &state.admission_queue;
            let tokens = queue.tokens_up_to(entry.position);
            let forecast = queue.forecast(entry.position);
            (
                forecast.and_then(|forecast| forecast.shortage()),
                tokens,
                forecast.and_then(|forecast| forecast.expected_room(now, tokens)),
                forecast.map_or(target_ms, |f| f.typical_wait_ms(now, tokens, target_ms)),
            )
        });
        let lacks = shortage.map_or("turn", <&'static str>::from);
        let decision = decide_wait(now, entry.times, shortage, expected);
        let expected_ms = expected.map(|expected| expected.ms);
        let waited_ms = now.since(self.arrived_ms);
        let until_ms = match decision {
            WaitDecision::Wait { until_ms } => until_ms,
            WaitDecision::Refuse => {
                self.context.metrics.count_queue_decision("refused", lacks);
                info!(request = self.id(), lacks, tokens_ahead = tokens, expected_ms:?, waited_ms,
                    typical_wait_ms;
                    "no room for the request in time");
                return Err(self.retryable_refusal(RefusalReason::NoRoom, typical_wait_ms));
            }
        };
        let is_late = now >= entry.times.latest_start_ms;
        if is_late && !entry.is_late {
            // Requests that are not late go first from now on.
            entry.is_late = true;
            entry.logged = None;
            self.context.notify_changed();
        }
        if entry.logged != Some(lacks) {
            entry.logged = Some(lacks);
            self.context.metrics.count_queue_decision("waits", lacks);
            info!(request = self.id(), lacks, is_late, tokens_ahead = tokens, expected_ms:?,
                waited_ms, waits_ms = now.until(until_ms);
                "request waits for room");
        }
        Ok(now.until(until_ms))
    }
}
