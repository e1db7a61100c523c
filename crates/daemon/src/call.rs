//! A caller's request from admission until an endpoint has answered it.

use crate::context::{Context, LoadGuard, RateExhausted};
use bytes::Bytes;
use gypsumchute_exchange::{Connection, ExchangeError, ResponseStream, TcpTimeouts};
use gypsumchute_platform::{
    ForwardedHeaders, KvSource, RequestHead, ResponseKind, classify_response, endpoints,
};
use gypsumchute_routing::admission::{QueuePosition, max_queue_wait_ms, retry_after_ms};
use gypsumchute_routing::load::Load;
use gypsumchute_routing::outcomes::RequestOutcome;
use gypsumchute_routing::placement::{Placement, PlacementRequest, choose_endpoint};
use gypsumchute_routing::poison_segments::SuspectRun;
use gypsumchute_routing::silent_runs::SilentRun;
use gypsumchute_routing::{Customer, Priority, Route, RouteKind, Service};
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{
    BootMs, EndpointId, Fingerprint, Refusal, RefusalReason, RequestId, SegmentId, ZoneId,
};
use http::{HeaderMap, Method, Uri};
use log::info;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Timeout for connecting to an endpoint, in milliseconds. A connection normally takes a few
/// milliseconds, but TCP retransmits a lost packet only after 1 s, so another endpoint is tried
/// before that.
const CONNECT_TIMEOUT_MS: u64 = 150;
/// Number of failed connection attempts after which a request is refused.
const MAX_CONNECT_FAILURES: u32 = 4;
/// Factor applied to the estimate of the output length that the caller gives, as a safety margin.
const OUTPUT_ESTIMATE_MARGIN: f64 = 1.25;
/// Fraction of the maximum output length that is expected if the caller gives no estimate.
const DEFAULT_OUTPUT_FRACTION: f64 = 0.5;

/// A request whose body was read completely and that was admitted.
pub struct Call {
    /// Context shared by all tasks of the daemon.
    pub context: Rc<Context>,
    /// Values parsed from the request headers.
    pub caller: RequestHead,
    /// HTTP method.
    pub method: Method,
    /// Path and query of the request.
    pub uri: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Route that matches the request.
    pub route: Route,
    /// Service that the request is sent to.
    pub service: Service,
    /// Zones whose endpoints may serve the request; an empty set allows all zones.
    pub zones: BTreeSet<ZoneId>,
    /// Customer that the API key belongs to, if the request carried a known key.
    pub customer: Option<Customer>,
    /// When the request head was read.
    pub arrived_ms: BootMs,
    /// Deadline for the response: the caller's or the route's, whichever is earlier.
    pub deadline_ms: BootMs,
    /// Hash of path, customer and body, which identifies retries of the same request.
    pub fingerprint: Fingerprint,
    /// Hashes of the shared segments of the prompt, in order.
    pub segments: Vec<Fingerprint>,
    /// Uniformly distributed random number that spreads requests over equally good choices.
    pub random_value: u64,
}

/// An open connection to the endpoint that was chosen for a request. The request is sent on it
/// once.
pub struct EndpointConnection {
    /// Endpoint that was chosen.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Open connection to the endpoint.
    pub connection: Connection,
    /// Accounts for the load of the request at the endpoint.
    pub load_guard: LoadGuard,
}

/// Result of an attempt to place a request without waiting.
enum PlaceAttempt {
    /// This endpoint has capacity and takes the request now.
    Endpoint(EndpointId),
    /// All suitable endpoints are full or cold, or requests ahead in the queue take precedence.
    AtCapacity,
    /// There is no suitable endpoint.
    NoEndpoint,
    /// All suitable endpoints have named limits, which are used up.
    RateLimited {
        /// Time until one of them takes a request from this VM, in milliseconds; `u64::MAX` if none
        /// does.
        wait_ms: u64,
        /// Time after which a caller may find room at some VM, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Endpoints that were passed over because of the rate that they take.
#[derive(Default)]
struct LimitedEndpoints {
    /// Whether one of them is cold and has named no limit.
    any_cold: bool,
    wait_ms: Option<u64>,
    interval_ms: Option<u64>,
}

impl LimitedEndpoints {
    /// Adds an endpoint that was passed over.
    fn add(&mut self, exhausted: RateExhausted) {
        self.any_cold |= !exhausted.is_named;
        let shorter = |known: Option<u64>, ms: u64| Some(known.map_or(ms, |known| known.min(ms)));
        if let Some(wait_ms) = exhausted.wait_ms {
            self.wait_ms = shorter(self.wait_ms, wait_ms);
        }
        self.interval_ms = shorter(self.interval_ms, exhausted.rate.interval_ms());
    }

    /// Returns the outcome if no endpoint is left besides these.
    fn outcome(&self) -> PlaceAttempt {
        match self.interval_ms {
            Some(interval_ms) if !self.any_cold => PlaceAttempt::RateLimited {
                wait_ms: self.wait_ms.unwrap_or(u64::MAX),
                retry_after_ms: self.wait_ms.unwrap_or(interval_ms),
            },
            _ => PlaceAttempt::AtCapacity,
        }
    }
}

/// A request's place in the admission queue, which is released on drop.
struct QueueEntry {
    context: Rc<Context>,
    position: QueuePosition,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.context.with(|state| state.admission_queue.remove(self.position));
        self.context.notify_changed();
    }
}

impl Call {
    /// Returns the request id for log lines, or `-` if the caller sent none.
    pub fn id(&self) -> &str {
        self.caller.request_id.as_ref().map_or("-", RequestId::as_str)
    }

    /// Returns the time until the deadline, in milliseconds.
    pub fn remaining_ms(&self) -> u64 {
        boot_now().until(self.deadline_ms)
    }

    /// Returns the priority of the customer if one is configured, and the priority of the route
    /// otherwise.
    pub fn priority(&self) -> Priority {
        let customer_priority = self.customer.as_ref().and_then(|customer| customer.priority);
        customer_priority.unwrap_or(self.route.priority)
    }

    /// Returns the load that the request adds to an endpoint once the prompt is processed.
    pub fn load(&self) -> Load {
        let tokens = match self.service.engine {
            Some(_) => self.caller.prompt_tokens + self.expected_output_tokens(),
            None => 0,
        };
        Load { requests: 1, reserved_tokens: tokens, backup_tokens: 0, pending_prefill_tokens: 0 }
    }

    /// Returns the load that the request adds to an engine that has not processed the prompt yet.
    pub fn load_before_prefill(&self) -> Load {
        let prefill_tokens = match self.service.engine {
            Some(_) => self.caller.prompt_tokens,
            None => 0,
        };
        Load { pending_prefill_tokens: prefill_tokens, ..self.load() }
    }

    /// Returns the expected number of output tokens.
    pub fn expected_output_tokens(&self) -> u64 {
        let max_tokens = self.caller.max_output_tokens.unwrap_or_default();
        let estimate = self.caller.expected_output_tokens;
        let expected = match estimate {
            Some(tokens) => tokens as f64 * OUTPUT_ESTIMATE_MARGIN,
            None => max_tokens as f64 * DEFAULT_OUTPUT_FRACTION,
        };
        (expected as u64).min(max_tokens)
    }

    /// Returns the maximum number of output tokens as stated by the caller, or the caller's
    /// estimate if there is no stated maximum.
    pub fn max_output_tokens(&self) -> u64 {
        let max_tokens = self.caller.max_output_tokens;
        max_tokens.or(self.caller.expected_output_tokens).unwrap_or_default()
    }

    /// Builds the refusal for a request that has not run, with a time after which the caller may
    /// retry.
    pub fn retryable_refusal(&self, reason: RefusalReason, typical_wait_ms: u64) -> Refusal {
        let after_ms = retry_after_ms(self.remaining_ms(), typical_wait_ms, self.random_value);
        Refusal::not_run_retry_after(reason, after_ms)
    }

    /// Returns the refusal if this is a poison request. Checked before each send, because the
    /// endpoints may have crashed while this request was waiting or running elsewhere.
    pub fn poison_refusal(&self) -> Option<Refusal> {
        let now = boot_now();
        let refused_for_ms = self
            .context
            .with(|state| state.suspects.refused_for_ms(now, self.fingerprint, &self.segments))?;
        Some(Refusal::not_run_retry_after(RefusalReason::PoisonRequest, refused_for_ms))
    }

    /// Chooses an endpoint with capacity and connects to it. If all endpoints are full, waits in
    /// the admission queue for at most [`max_queue_wait_ms`], which leaves the endpoint enough time
    /// for the response.
    ///
    /// # Errors
    ///
    /// Returns the refusal if no endpoint could be reached. Nothing was sent.
    pub async fn place_and_connect(
        &self,
        excluded: &BTreeSet<EndpointId>,
    ) -> Result<EndpointConnection, Refusal> {
        let mut excluded = excluded.clone();
        let mut failures = 0;
        loop {
            let (endpoint, address) = self.wait_for_capacity(&excluded).await?;
            self.log_placement(&endpoint);
            let load_guard = self.context.reserve_load(&endpoint, self.load_before_prefill());
            let limit_ms = CONNECT_TIMEOUT_MS.min(self.remaining_ms());
            match Connection::open(address, limit_ms, TcpTimeouts::Long).await {
                // The endpoint may have gone out of service while the connection was being opened.
                Ok(_)
                    if !self.context.with(|state| state.endpoints.accepts_requests(&endpoint)) =>
                {
                    excluded.insert(endpoint);
                }
                Ok(connection) => {
                    if let Some(refusal) = self.poison_refusal() {
                        return Err(refusal);
                    }
                    return Ok(EndpointConnection { endpoint, address, connection, load_guard });
                }
                Err(err) => {
                    self.context.record_outcome(&endpoint, RequestOutcome::TransportError);
                    self.context.metrics.count_retry("no_connection");
                    info!(request = self.id(), endpoint = endpoint.as_str(), error:% = err;
                        "could not connect to endpoint");
                    excluded.insert(endpoint);
                    failures += 1;
                }
            }
            if failures >= MAX_CONNECT_FAILURES || self.remaining_ms() == 0 {
                return Err(
                    self.retryable_refusal(RefusalReason::NoEndpoint, self.route.latency_target_ms)
                );
            }
        }
    }

    /// Waits in the admission queue until an endpoint has capacity, and returns the endpoint and
    /// the address it listens on.
    async fn wait_for_capacity(
        &self,
        excluded: &BTreeSet<EndpointId>,
    ) -> Result<(EndpointId, SocketAddr), Refusal> {
        let mut changes = self.context.changes();
        let max_wait_ms = max_queue_wait_ms(&self.route, self.remaining_ms());
        let queue_deadline_ms = self.arrived_ms + max_wait_ms;
        let priority = self.priority();
        let tokens = self.load().reserved_tokens;
        let position = self.context.with(|state| state.admission_queue.enqueue(priority, tokens));
        let _queue_entry = QueueEntry { context: self.context.clone(), position };
        loop {
            if let Some(refusal) = self.poison_refusal() {
                return Err(refusal);
            }
            let left_ms = boot_now().until(queue_deadline_ms);
            let (reason, wait_ms) = match self.try_place(position, excluded) {
                PlaceAttempt::Endpoint(endpoint) => {
                    let found = self.context.with(|state| {
                        state.endpoints.get(&endpoint).map(|found| found.entry.address)
                    });
                    match found {
                        Some(address) => return Ok((endpoint, address)),
                        None => (RefusalReason::NoEndpoint, left_ms),
                    }
                }
                PlaceAttempt::AtCapacity => (RefusalReason::NoRoom, left_ms),
                PlaceAttempt::NoEndpoint => (RefusalReason::NoEndpoint, left_ms),
                PlaceAttempt::RateLimited { wait_ms, .. } if wait_ms < left_ms => {
                    (RefusalReason::NoRoom, wait_ms)
                }
                // No endpoint takes the request in time, so waiting would be in vain.
                PlaceAttempt::RateLimited { retry_after_ms, .. } => {
                    return Err(self.retryable_refusal(RefusalReason::NoRoom, retry_after_ms));
                }
            };
            if left_ms == 0 {
                return Err(self.retryable_refusal(reason, self.route.latency_target_ms));
            }
            // Both outcomes are handled by the next iteration, which checks the placement and the
            // deadline.
            let wait = timeout(Duration::from_millis(wait_ms), changes.changed());
            drop(wait.await);
        }
    }

    /// Chooses an endpoint without waiting. Endpoints that take no more requests now, because they
    /// are cold or have named a limit, are passed over.
    fn try_place(&self, position: QueuePosition, excluded: &BTreeSet<EndpointId>) -> PlaceAttempt {
        let now = boot_now();
        let mut excluded = excluded.clone();
        let mut limits = LimitedEndpoints::default();
        self.context.with(|state| {
            if !state.admission_queue.may_attempt_placement(position) {
                return PlaceAttempt::AtCapacity;
            }
            loop {
                let demand = PlacementRequest {
                    service: &self.service,
                    load: self.load(),
                    excluded_endpoints: &excluded,
                    allowed_zones: &self.zones,
                    random_value: self.random_value,
                };
                let endpoint =
                    match choose_endpoint(now, state.fleet(&self.context.settings), demand) {
                        Placement::Endpoint(endpoint) => endpoint,
                        Placement::AtCapacity => return PlaceAttempt::AtCapacity,
                        Placement::NoEndpoint if excluded.is_empty() => {
                            return PlaceAttempt::NoEndpoint;
                        }
                        Placement::NoEndpoint => return limits.outcome(),
                    };
                let cold_per_s = self.service.cold_start_rate_per_s;
                let vm = &self.context.settings.vm;
                match state.acquire_endpoint(now, &endpoint, cold_per_s, vm) {
                    Ok(()) => return PlaceAttempt::Endpoint(endpoint),
                    Err(exhausted) => limits.add(exhausted),
                }
                excluded.insert(endpoint);
            }
        })
    }

    /// Logs the values that led to the choice of `endpoint`.
    fn log_placement(&self, endpoint: &EndpointId) {
        let now = boot_now();
        let (load, suspicion, revision) = self.context.with(|state| {
            let suspicion = state.outcomes.suspicion(now, endpoint);
            (state.loads.total(endpoint), suspicion, state.store_copy.revision())
        });
        info!(
            request = self.id(),
            fingerprint:% = self.fingerprint,
            endpoint = endpoint.as_str(),
            waited_ms = now.since(self.arrived_ms),
            needs_tokens = self.load().reserved_tokens,
            requests_there = load.requests,
            memory_tokens_there = load.memory_tokens(),
            unread_tokens_there = load.pending_prefill_tokens,
            suspicion,
            store_revision = revision;
            "request placed"
        );
    }

    /// Sends the request on `connection` and waits for the response head.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed or the response is invalid. The endpoint may have
    /// received the request.
    pub async fn send(
        &self,
        connection: Connection,
        endpoint: &EndpointId,
        options: SendOptions<'_>,
    ) -> Result<(ResponseStream, ResponseKind), ExchangeError> {
        let forwarding = ForwardedHeaders {
            endpoint,
            customer: self.customer.as_ref().map(|customer| &customer.id),
            remaining_ms: self.remaining_ms(),
            priority: self.service.engine.map(|_| self.priority()),
            kv_backup_address: options.backup_at,
            kv_source: options.source,
            last_event_id: options.last_event,
        };
        let request = endpoints::build_forwarded_request(
            &self.method,
            &self.uri,
            &self.headers,
            self.body.clone(),
            forwarding,
        );
        let response = connection.send(request).await?;
        let request_id = self.caller.request_id.as_ref();
        let kind = classify_response(response.head.status, &response.head.headers, request_id);
        if !matches!(kind, ResponseKind::Foreign | ResponseKind::WrongEndpoint) {
            let limit = endpoints::named_limit(&response.head.headers);
            self.context.record_endpoint_limit(endpoint, limit);
        }
        Ok((response, kind))
    }

    /// Reports whether the request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.route.kind {
            RouteKind::Idempotent | RouteKind::Generation { resumable: true } => true,
            RouteKind::NonIdempotent | RouteKind::Generation { resumable: false } => false,
        }
    }

    /// Records that `endpoint` crashed during this run. `cause` is the failure that the crash is
    /// inferred from.
    pub fn record_crash(&self, endpoint: &EndpointId, run: SuspectRun, cause: &str) {
        let (answer_began, is_suspect) = (run.answer_began, !run.segments.is_empty());
        let crashes = self.context.record_crash(run, endpoint);
        info!(request = self.id(), fingerprint:% = self.fingerprint, endpoint = endpoint.as_str(),
            segments = self.shared_segments_text(), answer_began, segments_suspect = is_suspect,
            cause, crashes;
            "endpoint crash held against request");
    }

    /// Returns the ids of the prompt segments that other requests may share, for log lines.
    fn shared_segments_text(&self) -> String {
        let ids = self.caller.shared_segments.iter().map(SegmentId::as_str);
        ids.collect::<Vec<_>>().join(",")
    }

    /// Records that an endpoint has completed this request, which is therefore not poison.
    pub fn record_completed(&self) {
        let now = boot_now();
        self.context.with(|state| state.suspects.requests.on_completed(now, self.fingerprint));
    }

    /// Records that an answer on the segments of this prompt was completed or went on.
    pub fn record_sound_segments(&self) {
        self.context.with(|state| state.suspects.segments.on_sound(boot_now(), &self.segments));
    }

    /// Returns a run of this request whose answer has not begun.
    pub fn unanswered_run(&self) -> SuspectRun {
        let (request, segments) = (self.fingerprint, self.segments.clone());
        SuspectRun { request, segments, answer_began: false }
    }

    /// Records that a run at `endpoint` ended without a response, the last sign of life of which was
    /// at `silent_since_ms`. The endpoint may have crashed.
    pub fn record_silent_run(
        &self,
        endpoint: &EndpointId,
        run: SuspectRun,
        silent_since_ms: BootMs,
    ) {
        let silent = SilentRun { run: run.clone(), endpoint: endpoint.clone(), silent_since_ms };
        if self.context.record_silent_run(silent) {
            self.record_crash(endpoint, run, "unregistered without notice, then no response");
        }
    }

    /// Logs the outcome of the request.
    pub fn log_completion(
        &self,
        outcome: &str,
        status: u16,
        endpoint: Option<&EndpointId>,
        tries: u32,
    ) {
        let elapsed_ms = boot_now().since(self.arrived_ms);
        info!(
            request = self.id(),
            fingerprint:% = self.fingerprint,
            route = self.route.id.as_str(),
            customer = self.customer.as_ref().map_or("-", |customer| customer.id.as_str()),
            endpoint = endpoint.map_or("-", EndpointId::as_str),
            outcome,
            status,
            tries,
            elapsed_ms,
            prompt_tokens = self.caller.prompt_tokens;
            "request ended"
        );
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.context.notify_changed();
    }
}

/// Options that differ between the attempts of one request.
#[derive(Debug, Clone, Copy, Default)]
pub struct SendOptions<'a> {
    /// Address of the engine that keeps a backup of the run's KV cache.
    pub backup_at: Option<SocketAddr>,
    /// Copy of the KV cache that the run resumes from.
    pub source: Option<&'a KvSource>,
    /// Id of the last event that the caller has received.
    pub last_event: Option<u64>,
}
