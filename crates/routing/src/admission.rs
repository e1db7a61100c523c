//! Admission control: how long requests queue for capacity, in which order they are admitted, and
//! when rejected callers may retry.
//!
//! Guards against generations that arrive faster than the engines can hold them in memory. A
//! generation that would start too late to have its full value is rejected immediately, with a
//! retry time by which the generations ahead of it have ended. Retry times are spread so that
//! rejected callers do not all return together.

use crate::placement::CapacityShortage;
use crate::queueing::{RecentWork, RoomForecast};
use crate::table::{Priority, Route, RouteKind};
use gypsumchute_units::{BootMs, CustomerId, ServiceId};
use std::collections::BTreeMap;

/// Maximum fraction of the route's latency target that a generation may spend in the queue. The
/// rest is left for the endpoint to start the response.
const MAX_QUEUE_WAIT_FRACTION: f64 = 0.6;
/// Maximum retry time as a fraction of the request's remaining time, so that callers wait for less
/// than a third of that time.
const MAX_RETRY_FRACTION: f64 = 0.3;
/// Minimum retry time before randomization, in milliseconds.
const MIN_RETRY_MS: u64 = 200;
/// Latest start times that differ by less than this count as equal, in milliseconds. Prefilling one
/// prompt takes about as long, so a smaller difference decides nothing.
const START_STEP_MS: u64 = 500;

/// Returns how long a request may queue for capacity, in milliseconds, given the time until the
/// caller's deadline. A generation may use part of the latency target but at most half of the
/// remaining time, and a plain request a quarter of the remaining time.
pub fn max_queue_wait_ms(route: &Route, remaining_ms: u64) -> u64 {
    let target_wait_ms = (route.latency_target_ms as f64 * MAX_QUEUE_WAIT_FRACTION) as u64;
    match route.kind {
        RouteKind::Generation { .. } => target_wait_ms.min(remaining_ms / 2),
        RouteKind::Idempotent | RouteKind::NonIdempotent => remaining_ms / 4,
    }
}

/// Returns when a rejected caller may retry, in milliseconds: a time between half and all of the
/// typical wait, which is limited by the caller's remaining time. `random_value` must be uniformly
/// distributed over requests.
pub fn retry_after_ms(remaining_ms: u64, typical_wait_ms: u64, random_value: u64) -> u64 {
    let max_retry_ms = (remaining_ms as f64 * MAX_RETRY_FRACTION) as u64;
    let retry_ms = typical_wait_ms.clamp(MIN_RETRY_MS, max_retry_ms.max(MIN_RETRY_MS));
    retry_ms / 2 + random_value % (retry_ms / 2 + 1)
}

/// Queue of requests that wait for capacity.
///
/// Requests that were added by [`Self::enqueue`] are ordered by priority and then by age. Those of a
/// service with patient queueing, added by [`Self::enqueue_patient`], compete only with each other.
/// They are ordered by priority, latest start time, recent work of the customer, and age; those whose
/// latest start has passed are last.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    /// Waiting requests by sequence number.
    queued: BTreeMap<u64, Queued>,
    next_sequence: u64,
    /// Time that the order applies to.
    now: BootMs,
    recent_work: RecentWork,
    forecasts: BTreeMap<ServiceId, RoomForecast>,
}

/// Position of a request in the [`AdmissionQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuePosition {
    sequence: u64,
}

/// A request that waits for capacity of a service with patient queueing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PatientRequest {
    /// Service that the request is for.
    pub service: ServiceId,
    /// Customer that sent it, if known.
    pub customer: Option<CustomerId>,
    /// Latest start that meets the latency target.
    pub latest_start_ms: BootMs,
    /// Time until which the headroom holds the request back, if it does. Until then, urgent requests
    /// behind it need not wait for it.
    pub held_back_until_ms: Option<BootMs>,
}

/// A waiting request.
#[derive(Debug)]
struct Queued {
    priority: Priority,
    /// Engine memory that the request needs, in tokens.
    tokens: u64,
    /// Set if the service uses patient queueing.
    patient: Option<PatientRequest>,
    /// Whether the request was not placed at once.
    has_waited: bool,
}

impl Queued {
    /// Returns the service within which the request competes.
    fn group(&self) -> Option<&ServiceId> {
        self.patient.as_ref().map(|patient| &patient.service)
    }

    /// Reports whether the headroom may hold the request back at `now`.
    fn is_held_back(&self, now: BootMs) -> bool {
        let until_ms = self.patient.as_ref().and_then(|patient| patient.held_back_until_ms);
        until_ms.is_some_and(|until_ms| now < until_ms)
    }
}

impl AdmissionQueue {
    /// Adds a request that needs `tokens` of engine memory.
    pub fn enqueue(&mut self, priority: Priority, tokens: u64) -> QueuePosition {
        self.insert(Queued { priority, tokens, patient: None, has_waited: false })
    }

    /// Adds a request that needs `tokens` of engine memory to the requests of a service with patient
    /// queueing.
    pub fn enqueue_patient(
        &mut self,
        priority: Priority,
        tokens: u64,
        request: PatientRequest,
    ) -> QueuePosition {
        self.insert(Queued { priority, tokens, patient: Some(request), has_waited: false })
    }

    fn insert(&mut self, queued: Queued) -> QueuePosition {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.queued.insert(sequence, queued);
        QueuePosition { sequence }
    }

    /// Removes a request from the queue.
    pub fn remove(&mut self, position: QueuePosition) {
        self.queued.remove(&position.sequence);
    }

    /// Sets the time that the order applies to.
    pub fn advance(&mut self, now: BootMs) {
        self.now = self.now.max(now);
    }

    /// Records that the request at `position` was placed. The forecasts and the recent work of the
    /// customers follow from it.
    pub fn record_placed(&mut self, position: QueuePosition) {
        let Some(queued) = self.queued.get(&position.sequence) else { return };
        let Some(patient) = &queued.patient else { return };
        let (now, tokens) = (self.now, queued.tokens);
        self.recent_work.on_placed(now, &patient.customer, tokens);
        let forecast = self.forecasts.entry(patient.service.clone()).or_default();
        forecast.on_placed(now, tokens, queued.has_waited);
    }

    /// Records that the request at `position` waits.
    pub fn record_waiting(&mut self, position: QueuePosition) {
        if let Some(queued) = self.queued.get_mut(&position.sequence) {
            queued.has_waited = true;
        }
    }

    /// Records what the request at `position` lacks, which was tried; `None` if it only waits for an
    /// endpoint that limits its rate.
    pub fn record_shortage(&mut self, position: QueuePosition, shortage: Option<CapacityShortage>) {
        let queued = self.queued.get(&position.sequence);
        if let Some(service) = queued.and_then(Queued::group).cloned() {
            self.forecasts.entry(service).or_default().on_shortage(shortage);
        }
    }

    /// Reports whether a request may attempt placement now: no request ahead of it in the queue
    /// needs as much memory or less. A request that needs much memory therefore does not block
    /// requests that need little, and one that the headroom holds back does not block urgent ones.
    pub fn may_attempt_placement(&self, position: QueuePosition) -> bool {
        let needed_tokens = self.queued.get(&position.sequence).map(|queued| queued.tokens);
        let needed_tokens = needed_tokens.unwrap_or_default();
        !self.ahead_of(position).any(|ahead| ahead.tokens <= needed_tokens)
    }

    /// Returns the engine memory that the request at `position` and those ahead of it need, in tokens.
    pub fn tokens_up_to(&self, position: QueuePosition) -> u64 {
        let own = self.queued.get(&position.sequence).map_or(0, |queued| queued.tokens);
        own + self.ahead_of(position).map(|ahead| ahead.tokens).sum::<u64>()
    }

    /// Returns the forecast of room for the service of the request at `position`. `None` if the service
    /// does not use patient queueing, or none of its requests was placed or has waited yet.
    pub fn forecast(&self, position: QueuePosition) -> Option<&RoomForecast> {
        let queued = self.queued.get(&position.sequence)?;
        self.forecasts.get(queued.group()?)
    }

    /// Returns the requests that precede the one at `position`.
    fn ahead_of(&self, position: QueuePosition) -> impl Iterator<Item = &Queued> {
        let own = self.queued.get(&position.sequence);
        let own = own.map(|own| (own, self.order_key(position.sequence, own)));
        self.queued.iter().filter_map(move |(sequence, other)| {
            let (own, own_key) = own?;
            let passes = other.is_held_back(self.now) && !own.is_held_back(self.now);
            let is_ahead = other.group() == own.group()
                && !passes
                && self.order_key(*sequence, other) < own_key;
            is_ahead.then_some(other)
        })
    }

    /// Returns the key by which the requests of a group are ordered.
    fn order_key(&self, sequence: u64, queued: &Queued) -> (bool, Priority, u64, u64, u64) {
        let Some(patient) = &queued.patient else {
            return (false, queued.priority, 0, 0, sequence);
        };
        let is_late = self.now >= patient.latest_start_ms;
        let start_step = patient.latest_start_ms.0 / START_STEP_MS;
        let work = self.recent_work.of(&patient.customer);
        (is_late, queued.priority, start_step, work, sequence)
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Reports whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}
