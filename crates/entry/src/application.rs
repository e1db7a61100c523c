//! Serves calls to plain services at `/apps/{route}/...`.
//!
//! A call is retried only if the route and the method allow it, or if no byte of the call was sent.
//! The response is passed to the caller only after all of it has arrived, so that a failed attempt
//! can still be retried.

use crate::backend::{ExchangeError, PendingResponse, RequestHead, Response, connect};
use crate::engine::{CONNECT_TIMEOUT_MS, READ_TIMEOUT_MS};
use crate::link::{ControlEvent, ControlSession};
use crate::request_history::shorten_route;
use crate::responses::{self, refusal_from_event};
use crate::server::{EntryState, RequestContext};
use bytes::Bytes;
use gypsumchute_decide::idempotency::MAX_KEPT_ANSWER_BYTES;
use gypsumchute_exchange::{BodyBuffer, BufferBudget};
use gypsumchute_proto::local::{Admit, Finished, Granted, Replay, RequestKind};
use gypsumchute_serving::http::Request;
use gypsumchute_units::rendezvous::hash64;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, Refusal, RefusalReason, Verdict};
use std::net::SocketAddr;

/// Maximum size of a response body that is passed to the caller, in bytes. A larger response counts
/// as a failed attempt.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Fraction of the remaining time that one attempt of a repeatable call may take, as a divisor. The
/// rest is left for further attempts.
const ATTEMPT_TIMEOUT_DIVISOR: u64 = 3;
/// Headers that are removed from requests and responses: hop-by-hop headers, headers that are set
/// anew for each connection, and headers that carry credentials.
const DROPPED_HEADERS: [&str; 12] = [
    "authorization",
    "proxy-authorization",
    "proxy-authenticate",
    "connection",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect",
];

/// One call to a plain service, as it is sent to an endpoint.
pub struct Call {
    /// Name of the route, from the path.
    pub route: String,
    /// Rest of the path after the route, with the query string.
    pub target: String,
    /// HTTP method.
    pub method: String,
    /// Headers of the caller's request.
    pub headers: Vec<(String, String)>,
}

/// Outcome of one attempt to call an endpoint.
enum Outcome {
    /// The endpoint sent a complete response.
    Completed(BufferedResponse),
    /// No byte of the call was sent.
    NotSent,
    /// The attempt failed, and the endpoint may have run the call.
    Failed(RefusalReason),
    /// The control process cancelled the request, and the endpoint may have run the call.
    Cancelled(RefusalReason),
}

/// A response that has been read completely.
struct BufferedResponse {
    status: u16,
    headers: Vec<(String, String)>,
    body: Bytes,
}

/// Reports whether a header is not forwarded.
fn is_dropped(name: &str) -> bool {
    DROPPED_HEADERS.iter().any(|dropped| name.eq_ignore_ascii_case(dropped))
}

/// Serves one call: requests admission, calls the granted endpoint, and retries where allowed.
pub fn serve(
    entry: &EntryState,
    context: RequestContext,
    request: Request<'_>,
    call: &Call,
    body: &[u8],
) {
    let record = &context.record;
    let session = entry.link.request_admission(admit_message(&context, call, body));
    loop {
        let granted = match session.wait_for_decision() {
            ControlEvent::Granted(granted) => granted,
            ControlEvent::Replay(replay) => {
                session.finish(Finished { stopped: true, ..Finished::default() });
                record.add_step("replayed the stored response of the idempotency key");
                return send_replay(entry, &context, request, replay);
            }
            other => {
                let refusal = session.correct(refusal_from_event(&other));
                let not_run = refusal.verdict == Verdict::NotRun;
                let stopped = matches!(other, ControlEvent::Refused(_));
                session.finish(Finished { not_run, stopped, ..Finished::default() });
                return entry.refuse(&context, request, &refusal, "");
            }
        };
        record.set_customer(&granted.customer);
        record.add_step(format!("granted endpoint {}", granted.endpoint));
        let budget = &entry.response_buffers;
        match call_endpoint(&context, &granted, call, body, &session, budget) {
            Outcome::NotSent => {
                record.add_step("not sent: connection failed or permit expired");
                session.request_retry(false, true);
            }
            Outcome::Failed(reason)
                if granted.repeatable && boot_now().0 < granted.answer_by_ms =>
            {
                record.add_step(format!("{reason}: retrying at another endpoint"));
                session.request_retry(false, false);
            }
            Outcome::Failed(reason) => {
                session.finish(Finished::default());
                let refusal = Refusal::may_have_run(reason);
                return entry.refuse(&context, request, &refusal, "");
            }
            Outcome::Cancelled(reason) => {
                session.finish(Finished::default());
                let refusal = Refusal::may_have_run(reason);
                return entry.refuse(&context, request, &refusal, "");
            }
            Outcome::Completed(response) => {
                session.finish(finished_message(&response));
                record.add_step(format!("endpoint responded with status {}", response.status));
                let BufferedResponse { status, headers, body } = response;
                let id = &record.request_id;
                let _ = responses::respond(request, status, &headers, &body, id);
                entry.metrics.record_request_latency(context.elapsed_ms(), "ok");
                return;
            }
        }
    }
}

/// Returns the message that requests admission of a call. A call is counted as one prompt token
/// and one output token.
fn admit_message(context: &RequestContext, call: &Call, body: &[u8]) -> Admit {
    let text = String::from_utf8_lossy(body);
    Admit {
        key: context.api_key.clone(),
        route: shorten_route(&call.route).to_owned(),
        kind: RequestKind::Application as i32,
        method: call.method.clone(),
        prompt_tokens: 1,
        max_tokens: 1,
        fingerprint: hash64(&["call", &call.route, &call.method, &call.target, &text]),
        idempotency_key: context.idempotency_key.clone(),
        body_bytes: body.len() as u64,
        ..Admit::default()
    }
}

/// Returns the message that reports a complete response. A response of at most
/// [`MAX_KEPT_ANSWER_BYTES`] is included, to be replayed for the same idempotency key.
fn finished_message(response: &BufferedResponse) -> Finished {
    let is_stored = response.body.len() <= MAX_KEPT_ANSWER_BYTES;
    let content_type = response
        .headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("Content-Type"))
        .map(|(_, value)| value.clone());
    Finished {
        stopped: true,
        status: u32::from(response.status),
        content_type: content_type.unwrap_or_default(),
        answer: if is_stored { response.body.to_vec() } else { Vec::new() },
        whole_answer: is_stored,
        ..Finished::default()
    }
}

/// Sends the stored response of an earlier request with the same idempotency key.
fn send_replay(entry: &EntryState, context: &RequestContext, request: Request<'_>, replay: Replay) {
    let headers = [
        ("Content-Type".to_owned(), replay.content_type),
        ("Idempotent-Replayed".to_owned(), "true".to_owned()),
    ];
    let id = &context.record.request_id;
    let _ = responses::respond(request, replay.status as u16, &headers, &replay.answer, id);
    entry.metrics.record_request_latency(context.elapsed_ms(), "replayed");
}

/// Makes one attempt to call the granted endpoint.
fn call_endpoint(
    context: &RequestContext,
    granted: &Granted,
    call: &Call,
    body: &[u8],
    session: &ControlSession,
    budget: &BufferBudget,
) -> Outcome {
    let Ok(address) = granted.address.parse::<SocketAddr>() else { return Outcome::NotSent };
    let use_until_ms = BootMs(granted.use_until_ms);
    let answer_by_ms = attempt_deadline(granted);
    let timeout_ms = boot_now().until(use_until_ms).min(CONNECT_TIMEOUT_MS);
    let Ok(conn) = connect(address, timeout_ms, READ_TIMEOUT_MS) else { return Outcome::NotSent };
    let mut head = RequestHead::new(&call.method, call.target.clone());
    // Drops every header that contains the API key, because endpoints must not see the key.
    let forwarded = call.headers.iter().filter(|(name, value)| {
        !is_dropped(name) && (context.api_key.is_empty() || !value.contains(&context.api_key))
    });
    head.headers.extend(forwarded.cloned());
    head.headers.push(("X-Customer".to_owned(), granted.customer.clone()));
    head.headers.push((responses::REQUEST_ID_HEADER.to_owned(), context.record.request_id.clone()));
    // The permit may have expired while the connection was established.
    if boot_now() >= use_until_ms {
        return Outcome::NotSent;
    }
    let Ok(mut pending) = conn.send(&head, body) else {
        return Outcome::Failed(RefusalReason::EndpointLost);
    };
    let response = await_head(&mut pending, answer_by_ms, session);
    match response.and_then(|response| read_body(response, answer_by_ms, session, budget)) {
        Ok(response) => Outcome::Completed(response),
        Err(RefusalReason::KeyWithdrawn) => Outcome::Cancelled(RefusalReason::KeyWithdrawn),
        Err(reason) => Outcome::Failed(reason),
    }
}

/// Returns the time by which the endpoint must have responded to this attempt.
fn attempt_deadline(granted: &Granted) -> BootMs {
    let last_ms = BootMs(granted.answer_by_ms);
    match granted.repeatable {
        true => boot_now() + boot_now().until(last_ms) / ATTEMPT_TIMEOUT_DIVISOR,
        false => last_ms,
    }
}

/// Returns the reason to stop waiting for a response, if the control process cancelled the request
/// or the deadline passed.
fn interruption(answer_by_ms: BootMs, session: &ControlSession) -> Option<RefusalReason> {
    match session.stop_requested() {
        Some(_) => Some(RefusalReason::KeyWithdrawn),
        None if boot_now() >= answer_by_ms => Some(RefusalReason::EndpointTimeout),
        None => None,
    }
}

/// Returns the refusal reason for a failed exchange.
fn refusal_reason(err: &ExchangeError) -> RefusalReason {
    match err {
        ExchangeError::Protocol(_) => RefusalReason::EndpointProtocol,
        ExchangeError::Io(_) | ExchangeError::ReadTimeout => RefusalReason::EndpointLost,
    }
}

/// Waits for the response head until the deadline passes or the request is cancelled.
fn await_head(
    pending: &mut PendingResponse,
    answer_by_ms: BootMs,
    session: &ControlSession,
) -> Result<Response, RefusalReason> {
    loop {
        match pending.read_head() {
            Ok(Some(response)) => return Ok(response),
            Ok(None) | Err(ExchangeError::ReadTimeout) => {}
            Err(err) => return Err(refusal_reason(&err)),
        }
        if let Some(reason) = interruption(answer_by_ms, session) {
            return Err(reason);
        }
    }
}

/// Reads the response body until the deadline passes, the request is cancelled, or `budget` has no room
/// for the body.
fn read_body(
    mut response: Response,
    answer_by_ms: BootMs,
    session: &ControlSession,
    budget: &BufferBudget,
) -> Result<BufferedResponse, RefusalReason> {
    let mut body = BodyBuffer::new(budget);
    loop {
        match response.next_data() {
            Ok(Some(data)) => body.push(&data).map_err(|_| RefusalReason::Overloaded)?,
            Ok(None) => break,
            Err(ExchangeError::ReadTimeout) => {}
            Err(err) => return Err(refusal_reason(&err)),
        }
        if body.len() > MAX_RESPONSE_BYTES {
            return Err(RefusalReason::EndpointProtocol);
        }
        if let Some(reason) = interruption(answer_by_ms, session) {
            return Err(reason);
        }
    }
    let headers = response.headers.iter().filter(|(name, _)| !is_dropped(name)).cloned().collect();
    Ok(BufferedResponse { status: response.status, headers, body: body.freeze() })
}
