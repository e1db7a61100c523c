//! Requests to plain services, which are answered by one complete response.
//!
//! A sound endpoint may answer late. An idempotent request whose endpoint is late is therefore sent to
//! another one in addition, once that has accepted a connection and the retry budget has a retry left.
//! The first usable response counts; the other exchanges are dropped then, which ends their runs.

mod exchange;
mod search;

use self::exchange::{Exchange, SendOutcome, classify, next_end};
use crate::call::{Call, EndedBy, RequestEnd, SendOptions};
use crate::forwarding::Placed;
use crate::placing::EndpointConnection;
use crate::reply::{Reply, ReplyBody, refusal_reason};
use bytes::Bytes;
use gypsumchute_exchange::ResponseStream;
use gypsumchute_platform::{ResponseKind, classify_response, endpoints};
use gypsumchute_routing::RouteKind;
use gypsumchute_routing::outcomes::RequestOutcome;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{EndpointId, Refusal, RefusalReason};
use http::Response;
use log::info;
use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Maximum size of a plain service's response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Number of attempts, whatever their outcome, after which a request is refused if the endpoint of
/// the last attempt rejected the request.
const MAX_REJECTIONS: u32 = 3;
/// An idempotent request is sent to another endpoint as well after this many times the target latency
/// of the route without a complete response.
const ATTEMPT_TIMEOUT_FACTOR: u64 = 2;
/// Lower bound of the timeout of one attempt, in milliseconds.
const MIN_ATTEMPT_TIMEOUT_MS: u64 = 250;

/// What ends a wait for the exchanges.
enum Progress {
    /// The exchange of this index has ended.
    Ended(usize),
    /// A search for another endpoint is due.
    SearchDue,
    /// The deadline of the request is over.
    TimedOut,
}

/// Sends `call` to an endpoint, with retries where allowed, and returns the reply for the caller.
pub async fn handle(call: &Call) -> Reply {
    let mut request = PlainRequest {
        call,
        excluded: BTreeSet::new(),
        attempts: 0,
        last_endpoint: None,
        is_forwarded: false,
        exchanges: Vec::new(),
        search_at: None,
        has_retry: false,
        has_asked_peers: false,
        is_timed_out: false,
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
        Some(_) if request.is_timed_out => EndedBy::Deadline,
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
    /// Whether a peer VM took the request.
    is_forwarded: bool,
    /// Exchanges with endpoints that have not responded yet, oldest first.
    exchanges: Vec<Exchange<'a>>,
    /// When another endpoint is looked for besides those of the exchanges.
    search_at: Option<Instant>,
    /// Whether a retry was taken from the budget and not used yet.
    has_retry: bool,
    /// Whether peers were asked to serve the request while exchanges were under way.
    has_asked_peers: bool,
    /// Whether the deadline ended the exchanges.
    is_timed_out: bool,
    /// Whether the request has its final reply.
    is_answered: bool,
}

/// A request that is dropped without a reply was cancelled because the caller disconnected, unless a
/// panic drops it.
impl Drop for PlainRequest<'_> {
    fn drop(&mut self) {
        if self.is_answered || thread::panicking() {
            return;
        }
        self.record_silent_runs();
        self.log_completion("caller_left", 0, EndedBy::Caller, None);
    }
}

impl<'a> PlainRequest<'a> {
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
            silent_ms: self.exchanges.first().map(|oldest| boot_now().since(oldest.sent_ms)),
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
            self.begin(placed);
            let sent = match self.first_usable(&mut failure).await {
                Ok(sent) => sent,
                Err(reply) => return reply,
            };
            let retry_reason = match sent {
                SendOutcome::Answered(reply) => {
                    self.drop_exchanges();
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
                    return failure.unwrap_or_else(|| self.refuse_may_have_run(reason));
                }
                SendOutcome::Lost(reason) => reason.into(),
            };
            if !self.take_retry(retry_reason) {
                let refusal = self.call.retryable_refusal(RefusalReason::NoRoom, 1_000);
                return failure.unwrap_or_else(|| self.refuse_exhausted(refusal));
            }
            self.has_retry = false;
            self.log_retry(retry_reason);
        }
    }

    /// Takes a retry from the budget, unless one was taken and not used.
    fn take_retry(&mut self, reason: &'static str) -> bool {
        self.has_retry =
            self.has_retry || self.call.context.take_retry(&self.call.service.id, reason);
        self.has_retry
    }

    /// Logs that the request is sent again.
    fn log_retry(&self, reason: &'static str) {
        info!(request = self.call.id(),
            endpoint = self.last_endpoint.as_ref().map_or("-", EndpointId::as_str),
            reason, left_ms = self.call.remaining_ms(), under_way = self.exchanges.len();
            "retrying request at another endpoint");
    }

    /// Waits until an exchange brings a usable response or all of them have ended, and returns the
    /// outcome of the last one that ended. Sends the request to another endpoint as well if one is
    /// late.
    ///
    /// # Errors
    ///
    /// Returns the final reply if a peer has served the request in the meantime, or if it has become
    /// known as a poison request.
    async fn first_usable(&mut self, failure: &mut Option<Reply>) -> Result<SendOutcome, Reply> {
        loop {
            match self.progress().await {
                Progress::Ended(index) => {
                    let is_newest = index + 1 == self.exchanges.len();
                    let exchange = self.exchanges.remove(index);
                    self.last_endpoint = Some(exchange.endpoint.clone());
                    let sent = self.conclude(exchange);
                    let is_rejected = matches!(sent, SendOutcome::NotRun);
                    match sent {
                        sent if self.exchanges.is_empty() => return Ok(sent),
                        SendOutcome::Answered(reply) => return Ok(SendOutcome::Answered(reply)),
                        SendOutcome::Failed(reply) => *failure = Some(reply),
                        SendOutcome::NotRun | SendOutcome::Lost(_) => {}
                    }
                    if is_newest {
                        let may_search = !is_rejected || self.attempts < MAX_REJECTIONS;
                        self.search_at = may_search.then(Instant::now);
                    }
                }
                Progress::SearchDue => {
                    self.note_late_exchanges();
                    match self.call.poison_refusal() {
                        _ if !self.may_retry() => self.search_at = None,
                        None => self.search(failure).await?,
                        // The endpoint is late because the request has probably crashed it.
                        Some(refusal) => {
                            self.give_up_exchanges();
                            return Err(failure
                                .take()
                                .unwrap_or_else(|| self.refuse_exhausted(refusal)));
                        }
                    }
                }
                Progress::TimedOut => {
                    let was_late = self.exchanges.iter().any(|exchange| exchange.is_late);
                    self.is_timed_out = true;
                    self.give_up_exchanges();
                    return Ok(SendOutcome::Lost(match self.search_at {
                        // Another endpoint might have run the request, and none was found.
                        Some(_) if was_late => RefusalReason::EndpointLost,
                        Some(_) | None => RefusalReason::EndpointTimeout,
                    }));
                }
            }
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

    /// Returns when another endpoint is looked for besides that of the exchange that begins now, or
    /// `None` if the request may not run there.
    fn first_search_at(&self) -> Option<Instant> {
        let may_try_another =
            self.call.possible_runs.endpoints() + 1 < self.call.route.max_endpoints;
        let timeout_ms = self.call.route.latency_target_ms.saturating_mul(ATTEMPT_TIMEOUT_FACTOR);
        let timeout_ms = timeout_ms.max(MIN_ATTEMPT_TIMEOUT_MS);
        let is_idempotent = self.call.route.kind == RouteKind::Idempotent;
        (is_idempotent && may_try_another)
            .then(|| Instant::now() + Duration::from_millis(timeout_ms))
    }

    /// Begins an exchange on an open connection.
    fn begin(&mut self, placed: EndpointConnection) {
        self.attempts += 1;
        self.search_at = self.first_search_at();
        let EndpointConnection { endpoint, connection, load_guard, .. } = placed;
        self.last_endpoint = Some(endpoint.clone());
        let (call, sent_to) = (self.call, endpoint.clone());
        let response = Box::pin(async move {
            let sent = call.send(connection, &sent_to, SendOptions::default());
            let (mut response, kind) = sent.await?;
            let budget = &call.context.limits.response_buffers;
            let body = response.read_body(MAX_RESPONSE_BYTES, budget).await;
            Ok((response, kind, body))
        });
        let sent_ms = boot_now();
        self.exchanges.push(Exchange {
            endpoint,
            sent_ms,
            is_late: false,
            response,
            result: None,
            _load_guard: load_guard,
        });
    }

    /// Waits for the end of an exchange, the time of the next search or the deadline.
    async fn progress(&mut self) -> Progress {
        let left = Duration::from_millis(self.call.remaining_ms());
        let search_at = self.search_at;
        tokio::select! {
            biased;
            index = next_end(&mut self.exchanges) => Progress::Ended(index),
            () = sleep(left) => Progress::TimedOut,
            () = sleep_until(search_at.unwrap_or_else(Instant::now)), if search_at.is_some() => {
                Progress::SearchDue
            }
        }
    }

    /// Ends the exchanges as those of endpoints that gave no response.
    fn give_up_exchanges(&mut self) {
        for exchange in std::mem::take(&mut self.exchanges) {
            self.conclude(exchange);
        }
    }

    /// Ends the runs of the exchanges that are left, because the request has its reply.
    fn drop_exchanges(&mut self) {
        self.record_silent_runs();
        self.exchanges.clear();
    }

    /// Records that the runs of the exchanges end without a response.
    fn record_silent_runs(&self) {
        for exchange in &self.exchanges {
            let run = self.call.unanswered_run();
            self.call.record_silent_run(&exchange.endpoint, run, exchange.sent_ms);
        }
    }

    /// Classifies the result of an exchange that has ended or has no time left.
    fn conclude(&mut self, exchange: Exchange<'a>) -> SendOutcome {
        let Exchange { endpoint, sent_ms, is_late, result, .. } = exchange;
        let (sent, outcome, cause) = match &result {
            None => (
                SendOutcome::Lost(RefusalReason::EndpointTimeout),
                RequestOutcome::Timeout,
                "timeout".to_owned(),
            ),
            Some(Err(err) | Ok((_, _, Err(err)))) => (
                SendOutcome::Lost(RefusalReason::EndpointLost),
                RequestOutcome::TransportError,
                err.to_string(),
            ),
            Some(Ok((response, kind, Ok(body)))) => {
                let (sent, outcome) = classify(response, *kind, body);
                (sent, outcome, format!("{kind:?}"))
            }
        };
        if matches!(sent, SendOutcome::Lost(_) | SendOutcome::NotRun) {
            info!(request = self.call.id(), fingerprint:% = self.call.fingerprint,
                endpoint = endpoint.as_str(), cause = cause.as_str();
                "endpoint gave no usable response");
        }
        if let Some(Err(err) | Ok((_, _, Err(err)))) = &result
            && err.is_disconnect()
        {
            self.call.record_crash(&endpoint, self.call.unanswered_run(), &cause);
        }
        if result.is_none() {
            self.call.record_silent_run(&endpoint, self.call.unanswered_run(), sent_ms);
        }
        let asks_for_pause =
            matches!(sent, SendOutcome::NotRun) && self.call.context.has_pause(&endpoint);
        // That the endpoint is late was recorded when another one was looked for.
        let is_recorded = result.is_none() && is_late;
        if !asks_for_pause && !is_recorded {
            self.call.context.record_outcome(&endpoint, outcome);
        }
        // An endpoint that asked for a pause is passed over until its end.
        if !self.call.context.has_pause(&endpoint) {
            self.excluded.insert(endpoint);
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

/// Returns the endpoint's response with the original status, end-to-end headers and body.
pub fn forward_response(response: &ResponseStream, body: Bytes) -> Reply {
    let mut reply = Response::new(ReplyBody::Full(Some(body)));
    *reply.status_mut() = response.head.status;
    *reply.headers_mut() = endpoints::response_headers(&response.head.headers);
    reply
}
