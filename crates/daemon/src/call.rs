//! A caller's request from admission until an endpoint has answered it.

use crate::context::Context;
use crate::forwarding::Origin;
use crate::possible_runs::PossibleRuns;
use crate::reply::{self, Reply};
use bytes::Bytes;
use gypsumchute_exchange::{Connection, ExchangeError, ResponseStream};
use gypsumchute_platform::{
    EndpointSigns, ForwardedHeaders, KvSource, RequestHead, ResponseKind, classify_response,
    endpoints,
};
use gypsumchute_routing::admission::retry_after_ms;
use gypsumchute_routing::load::Load;
use gypsumchute_routing::poison_segments::SuspectRun;
use gypsumchute_routing::shutdown::{PendingRequest, may_start};
use gypsumchute_routing::silent_runs::SilentRun;
use gypsumchute_routing::stream_versions::ServiceVersion;
use gypsumchute_routing::{Customer, Priority, Route, RouteKind, Service, ServiceFeatures};
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{
    BootMs, EndpointId, Fingerprint, Refusal, RefusalReason, RequestId, SegmentId, SoftwareVersion,
    ZoneId,
};
use http::{HeaderMap, Method, Uri};
use log::info;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Factor applied to the estimate of the output length that the caller gives, as a safety margin.
const OUTPUT_ESTIMATE_MARGIN: f64 = 1.25;
/// Fraction of the maximum output length that is expected if the caller gives no estimate.
const DEFAULT_OUTPUT_FRACTION: f64 = 0.5;
/// Retry delay for callers that another VM can serve immediately, in milliseconds.
const DRAIN_RETRY_AFTER_MS: u64 = 200;

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
    /// Features that are used for the service.
    pub features: ServiceFeatures,
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
    /// Who sent the request to this VM.
    pub origin: Origin,
    /// Endpoints that may have run the request.
    pub possible_runs: PossibleRuns,
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

    /// Returns the software version of `endpoint` for log lines, or `-` if it is not known.
    pub fn software_version(&self, endpoint: &EndpointId) -> String {
        self.context.with(|state| {
            let entry = state.endpoints.get(endpoint).map(|endpoint| &endpoint.entry);
            let version = entry.and_then(|entry| entry.version.as_ref());
            version.map_or("-", SoftwareVersion::as_str).to_owned()
        })
    }

    /// Returns the priority of the customer if one is configured, and the priority of the route
    /// otherwise.
    pub fn priority(&self) -> Priority {
        let customer_priority = self.customer.as_ref().and_then(|customer| customer.priority);
        customer_priority.unwrap_or(self.route.priority)
    }

    /// Sends the request to the service of `version`, if the route allows that service. A route with
    /// several services may have begun a stream at another one than was chosen now.
    pub fn switch_service(&mut self, version: ServiceVersion) {
        let service = self.context.with(|state| {
            let service = state.endpoints.service_of(version)?;
            let is_allowed = self.route.services.iter().any(|weighted| weighted.service == service);
            let services = &state.table.as_ref()?.services;
            is_allowed.then(|| services.get(&service).cloned()).flatten()
        });
        if let Some(service) = service {
            self.features = self.context.service_features(&service.id);
            self.service = service;
        }
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

    /// Builds the refusal for a request that has not run, with a time after which the caller may
    /// retry.
    pub fn retryable_refusal(&self, reason: RefusalReason, typical_wait_ms: u64) -> Refusal {
        let after_ms = retry_after_ms(self.remaining_ms(), typical_wait_ms, self.random_value);
        Refusal::not_run_retry_after(reason, after_ms)
    }

    /// Returns the refusal if this VM shuts down and might cut the request. Checked whenever the request
    /// may begin: it may have waited since it was admitted.
    pub fn shutdown_refusal(&self) -> Option<Refusal> {
        let shutdown = self.context.shutdown.course()?;
        let request = PendingRequest {
            route: &self.route,
            service: &self.service,
            max_output_tokens: self.caller.max_output_tokens,
            deadline_ms: self.deadline_ms,
        };
        let refusal = || self.retryable_refusal(RefusalReason::Draining, DRAIN_RETRY_AFTER_MS);
        (!may_start(boot_now(), shutdown, request)).then(refusal)
    }

    /// Counts `refusal` in the metrics and builds the reply for it, with the verdict that is true of
    /// this request.
    pub fn refuse(&self, refusal: Refusal) -> Reply {
        let refusal = self.possible_runs.correct(refusal);
        self.context.metrics.count_refusal(refusal.reason.into(), refusal.verdict.into());
        reply::refusal_reply(refusal)
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

    /// Sends the request on `connection` and waits for the response head. The send counts as a possible
    /// run, unless the endpoint responds that it did not run the request.
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
        let started_wall_ms = self.context.endpoint_start_ms(endpoint);
        let possible_run = self.possible_runs.begin(1);
        let response = connection.send(request).await?;
        let request_id = self.caller.request_id.as_ref();
        let kind = classify_response(response.head.status, &response.head.headers, request_id);
        if matches!(kind, ResponseKind::NotRun | ResponseKind::WrongEndpoint) {
            possible_run.disprove();
        }
        if !matches!(kind, ResponseKind::Foreign | ResponseKind::WrongEndpoint) {
            let signs = EndpointSigns::of_response(response.head.status, &response.head.headers);
            self.context.record_endpoint_limit(endpoint, signs.limit);
            self.context.record_rejection_limit(endpoint, signs.max_rejections_per_s);
            if kind == ResponseKind::NotRun {
                self.context.record_rejection(endpoint, self.random_value);
            }
            self.context.record_endpoint_signs(endpoint, started_wall_ms, signs);
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

    /// Logs and counts the end of the request.
    pub fn log_completion(&self, end: RequestEnd<'_>) {
        let RequestEnd { outcome, status, ended_by, cause, endpoint, tries, events, silent_ms } =
            end;
        let elapsed_ms = boot_now().since(self.arrived_ms);
        // The end of the response that the peer sends is counted instead.
        if outcome != "forwarded" {
            self.context.metrics.count_request_end(ended_by.into(), outcome);
        }
        info!(
            request = self.id(),
            fingerprint:% = self.fingerprint,
            route = self.route.id.as_str(),
            customer = self.customer.as_ref().map_or("-", |customer| customer.id.as_str()),
            endpoint = endpoint.map_or("-", EndpointId::as_str),
            outcome,
            status,
            ended_by:% = ended_by,
            cause,
            events,
            silent_ms:? = silent_ms,
            tries,
            possible_runs = self.possible_runs.endpoints(),
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

/// Who ended a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EndedBy {
    /// The endpoint, with a complete answer, an error or a broken connection.
    Endpoint,
    /// The caller closed the connection, or the connection to it broke.
    Caller,
    /// This VM refused the request or gave a run up.
    Vm,
    /// The peer VM that serves the request.
    Peer,
    /// The deadline expired.
    Deadline,
    /// This VM is about to exit.
    Shutdown,
}

/// How a request ended, for log lines and metrics.
#[derive(Debug, Clone, Copy)]
pub struct RequestEnd<'a> {
    /// What the caller got.
    pub outcome: &'static str,
    /// Status of the reply, or 0 if there is none.
    pub status: u16,
    /// Who ended the request.
    pub ended_by: EndedBy,
    /// Failure or refusal that ended it, or `-`.
    pub cause: &'a str,
    /// Endpoint that the request was last sent to.
    pub endpoint: Option<&'a EndpointId>,
    /// Number of times the request was sent to an endpoint.
    pub tries: u32,
    /// Number of events that the caller was sent.
    pub events: u64,
    /// Time since the last sign of life of the run, in milliseconds. `None` if there is no run.
    pub silent_ms: Option<u64>,
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
