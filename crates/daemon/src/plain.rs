//! Requests to plain services, which are answered by one complete response.

use crate::call::{Call, EndedBy, RequestEnd, SendOptions};
use crate::forwarding::Placed;
use crate::placing::EndpointConnection;
use crate::reply::{Reply, ReplyBody, refusal_reason};
use bytes::Bytes;
use gypsumchute_exchange::{ExchangeError, ResponseStream};
use gypsumchute_platform::{ResponseKind, classify_response, endpoints};
use gypsumchute_routing::RouteKind;
use gypsumchute_routing::outcomes::RequestOutcome;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, EndpointId, Refusal, RefusalReason};
use http::Response;
use log::info;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum size of a plain service's response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Number of attempts, whatever their outcome, after which a request is refused if the endpoint of
/// the last attempt rejected the request.
const MAX_REJECTIONS: u32 = 3;
/// An idempotent request is retried at another endpoint after this many times the target latency of
/// the route without a complete response.
const ATTEMPT_TIMEOUT_FACTOR: u64 = 2;
/// Lower bound of the timeout of one attempt, in milliseconds.
const MIN_ATTEMPT_TIMEOUT_MS: u64 = 250;

/// Result of sending a request to one endpoint.
enum SendOutcome {
    /// The endpoint returned a complete response that can be forwarded to the caller.
    Answered(Reply),
    /// The endpoint returned an error. An idempotent request may succeed at another endpoint.
    Failed(Reply),
    /// The endpoint did not run the request.
    NotRun,
    /// The endpoint may have run the request, but returned no usable response.
    Lost(RefusalReason),
}

/// Sends `call` to an endpoint, with retries where allowed, and returns the reply for the caller.
pub async fn handle(call: &Call) -> Reply {
    let mut request = PlainRequest {
        call,
        excluded: BTreeSet::new(),
        attempts: 0,
        last_endpoint: None,
        in_flight: None,
        is_forwarded: false,
        is_answered: false,
    };
    let reply = tokio::select! {
        reply = request.run() => Some(reply),
        () = call.context.shutdown.last_answers_due() => None,
    };
    let is_cut_short = reply.is_none();
    let reply = reply.unwrap_or_else(|| request.refuse_at_shutdown());
    request.is_answered = true;
    let outcome = if reply.status().is_success() { "answered" } else { "failed" };
    let reason = refusal_reason(reply.headers());
    let ended_by = match reason {
        _ if is_cut_short => EndedBy::Shutdown,
        _ if request.is_forwarded => EndedBy::Peer,
        Some(RefusalReason::EndpointTimeout) => EndedBy::Deadline,
        Some(RefusalReason::EndpointLost | RefusalReason::EndpointProtocol) => EndedBy::Endpoint,
        Some(_) => EndedBy::Vm,
        None => EndedBy::Endpoint,
    };
    request.log_completion(outcome, reply.status().as_u16(), ended_by, reason);
    reply
}

/// State of one request across all attempts.
struct PlainRequest<'a> {
    /// Request that is served.
    call: &'a Call,
    /// Endpoints that are not used again for this request.
    excluded: BTreeSet<EndpointId>,
    /// Number of times the request was sent to an endpoint.
    attempts: u32,
    /// Endpoint that the request was last sent to.
    last_endpoint: Option<EndpointId>,
    /// Endpoint that has not responded yet, and when the request was sent.
    in_flight: Option<(EndpointId, BootMs)>,
    /// Whether a peer VM took the request.
    is_forwarded: bool,
    /// Whether the request has its final reply.
    is_answered: bool,
}

/// A request that is dropped without a reply was cancelled because the caller disconnected.
impl Drop for PlainRequest<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        if let Some((endpoint, sent_ms)) = &self.in_flight {
            self.call.record_silent_run(endpoint, self.call.unanswered_run(), *sent_ms);
        }
        self.log_completion("caller_left", 0, EndedBy::Caller, None);
    }
}

impl PlainRequest<'_> {
    /// Logs the outcome of the request.
    fn log_completion(
        &self,
        outcome: &'static str,
        status: u16,
        ended_by: EndedBy,
        reason: Option<RefusalReason>,
    ) {
        self.call.log_completion(RequestEnd {
            outcome,
            status,
            ended_by,
            cause: reason.map_or("-", Into::into),
            endpoint: self.last_endpoint.as_ref(),
            tries: self.attempts,
            events: 0,
            silent_ms: self.in_flight.as_ref().map(|(_, sent_ms)| boot_now().since(*sent_ms)),
        });
    }

    /// Sends the request until it is answered or no further attempt is allowed.
    async fn run(&mut self) -> Reply {
        let mut failure: Option<Reply> = None;
        loop {
            let earlier_runs = self.call.possible_runs.endpoints();
            let endpoints_left = self.call.route.max_endpoints.saturating_sub(earlier_runs);
            let placed =
                match self.call.place_or_forward(&self.excluded, None, endpoints_left).await {
                    Ok(Placed::Direct(placed)) => placed,
                    Ok(Placed::Forwarded(reply)) => {
                        self.is_forwarded = true;
                        return self.on_forwarded(reply, earlier_runs, failure);
                    }
                    Ok(Placed::ForwardLost) => {
                        self.is_forwarded = true;
                        return self.refuse_may_have_run(RefusalReason::EndpointLost);
                    }
                    Err(refusal) => {
                        return failure.unwrap_or_else(|| self.refuse_exhausted(refusal));
                    }
                };
            let endpoint = placed.endpoint.clone();
            self.last_endpoint = Some(endpoint.clone());
            let sent = self.send(placed).await;
            // An endpoint that asked for a pause is passed over until its end.
            if !self.call.context.has_pause(&endpoint) {
                self.excluded.insert(endpoint);
            }
            let retry_reason = match sent {
                SendOutcome::Answered(reply) => {
                    self.call.record_completed();
                    return reply;
                }
                SendOutcome::Failed(reply) if !self.may_retry() => return reply,
                SendOutcome::Failed(reply) => {
                    failure = Some(reply);
                    "endpoint_error"
                }
                SendOutcome::NotRun if self.attempts < MAX_REJECTIONS => "not_run",
                SendOutcome::NotRun => {
                    let typical_ms = self.call.route.latency_target_ms;
                    let refusal = self.call.retryable_refusal(RefusalReason::NoRoom, typical_ms);
                    return failure.unwrap_or_else(|| self.refuse_exhausted(refusal));
                }
                SendOutcome::Lost(reason) if !self.may_retry() => {
                    return self.refuse_may_have_run(reason);
                }
                SendOutcome::Lost(reason) => reason.into(),
            };
            if !self.call.context.take_retry(&self.call.service.id, retry_reason) {
                let refusal = self.call.retryable_refusal(RefusalReason::NoRoom, 1_000);
                return failure.unwrap_or_else(|| self.refuse_exhausted(refusal));
            }
            info!(request = self.call.id(),
                endpoint = self.last_endpoint.as_ref().map_or("-", EndpointId::as_str),
                reason = retry_reason, left_ms = self.call.remaining_ms();
                "retrying request at another endpoint");
        }
    }

    /// Returns the reply for the caller to a request that another VM has served. That VM does not know
    /// of the `earlier_runs`, so that its refusal does not tell whether the request has run.
    fn on_forwarded(&self, reply: Reply, earlier_runs: u32, failure: Option<Reply>) -> Reply {
        let request_id = self.call.caller.request_id.as_ref();
        let answer = classify_response(reply.status(), reply.headers(), request_id);
        match answer {
            ResponseKind::Success | ResponseKind::Failure => reply,
            _ if earlier_runs == 0 => reply,
            _ => failure.unwrap_or_else(|| self.refuse_may_have_run(RefusalReason::EndpointLost)),
        }
    }

    /// Reports whether the request may run again at another endpoint.
    fn may_retry(&self) -> bool {
        let repeatable = self.call.route.kind == RouteKind::Idempotent;
        repeatable
            && self.call.possible_runs.endpoints() < self.call.route.max_endpoints
            && self.call.remaining_ms() > 0
    }

    /// Returns the timeout of this attempt, in milliseconds: all of the remaining time if the
    /// request may not run at another endpoint.
    fn attempt_timeout_ms(&self) -> u64 {
        let left_ms = self.call.remaining_ms();
        let may_try_another =
            self.call.possible_runs.endpoints() + 1 < self.call.route.max_endpoints;
        match self.call.route.kind == RouteKind::Idempotent && may_try_another {
            true => left_ms.min(
                (self.call.route.latency_target_ms * ATTEMPT_TIMEOUT_FACTOR)
                    .max(MIN_ATTEMPT_TIMEOUT_MS),
            ),
            false => left_ms,
        }
    }

    /// Sends the request on an open connection and classifies the result.
    async fn send(&mut self, placed: EndpointConnection) -> SendOutcome {
        self.attempts += 1;
        let limit = Duration::from_millis(self.attempt_timeout_ms());
        let EndpointConnection { endpoint, connection, load_guard, .. } = placed;
        let sent_ms = boot_now();
        self.in_flight = Some((endpoint.clone(), sent_ms));
        let exchange = async {
            let sent = self.call.send(connection, &endpoint, SendOptions::default());
            let (mut response, kind) = sent.await?;
            let budget = &self.call.context.response_buffers;
            let body = response.read_body(MAX_RESPONSE_BYTES, budget).await;
            Ok::<_, ExchangeError>((response, kind, body))
        };
        let result = timeout(limit, exchange).await;
        self.in_flight = None;
        drop(load_guard);
        let (sent, outcome, cause) = match &result {
            Err(_) => (
                SendOutcome::Lost(RefusalReason::EndpointTimeout),
                RequestOutcome::Timeout,
                "timeout".to_owned(),
            ),
            Ok(Err(err)) | Ok(Ok((_, _, Err(err)))) => (
                SendOutcome::Lost(RefusalReason::EndpointLost),
                RequestOutcome::TransportError,
                err.to_string(),
            ),
            Ok(Ok((response, kind, Ok(body)))) => {
                let (sent, outcome) = classify(response, *kind, body);
                (sent, outcome, format!("{kind:?}"))
            }
        };
        if matches!(sent, SendOutcome::Lost(_) | SendOutcome::NotRun) {
            info!(request = self.call.id(), fingerprint:% = self.call.fingerprint,
                endpoint = endpoint.as_str(), cause = cause.as_str();
                "endpoint gave no usable response");
        }
        if let Ok(Err(err)) | Ok(Ok((_, _, Err(err)))) = &result
            && err.is_disconnect()
        {
            self.call.record_crash(&endpoint, self.call.unanswered_run(), &cause);
        }
        if result.is_err() {
            self.call.record_silent_run(&endpoint, self.call.unanswered_run(), sent_ms);
        }
        let asks_for_pause =
            matches!(sent, SendOutcome::NotRun) && self.call.context.has_pause(&endpoint);
        if !asks_for_pause {
            self.call.context.record_outcome(&endpoint, outcome);
        }
        sent
    }

    /// Refuses a request for which no endpoint is left. The reply carries `refusal` only if no
    /// endpoint can have run the request.
    fn refuse_exhausted(&self, refusal: Refusal) -> Reply {
        match (self.call.possible_runs.endpoints(), refusal.reason) {
            (0, _) => self.call.refuse(refusal),
            (_, RefusalReason::PoisonRequest) => self.refuse_may_have_run(refusal.reason),
            _ => self.refuse_may_have_run(RefusalReason::EndpointLost),
        }
    }

    /// Refuses a request that is still in flight when the process exits.
    fn refuse_at_shutdown(&self) -> Reply {
        match self.call.possible_runs.endpoints() {
            0 => self.call.refuse(self.call.retryable_refusal(RefusalReason::Draining, 0)),
            _ => self.refuse_may_have_run(RefusalReason::EndpointTimeout),
        }
    }

    /// Refuses a request that an endpoint may have run.
    fn refuse_may_have_run(&self, reason: RefusalReason) -> Reply {
        self.call.refuse(Refusal::may_have_run(reason))
    }
}

/// Converts an endpoint's response into the result for the request and the outcome for the
/// endpoint.
fn classify(
    response: &ResponseStream,
    kind: ResponseKind,
    body: &Bytes,
) -> (SendOutcome, RequestOutcome) {
    match kind {
        ResponseKind::Success => (
            SendOutcome::Answered(forward_response(response, body.clone())),
            RequestOutcome::Success,
        ),
        ResponseKind::Failure => (
            SendOutcome::Failed(forward_response(response, body.clone())),
            RequestOutcome::ServiceError,
        ),
        ResponseKind::NotRun => (SendOutcome::NotRun, RequestOutcome::Rejected),
        ResponseKind::WrongEndpoint => (SendOutcome::NotRun, RequestOutcome::TransportError),
        ResponseKind::Foreign => {
            (SendOutcome::Lost(RefusalReason::EndpointProtocol), RequestOutcome::TransportError)
        }
    }
}

/// Returns the endpoint's response with the original status, end-to-end headers and body.
pub fn forward_response(response: &ResponseStream, body: Bytes) -> Reply {
    let mut reply = Response::new(ReplyBody::Full(Some(body)));
    *reply.status_mut() = response.head.status;
    *reply.headers_mut() = endpoints::response_headers(&response.head.headers);
    reply
}
