//! Accepts caller connections and decides whether to admit a request before an endpoint is chosen.

use crate::call::Call;
use crate::caller_limits::{OpenConnection, RequestGuard};
use crate::caller_stream::CallerStream;
use crate::context::Context;
use crate::forwarding::Origin;
use crate::possible_runs::PossibleRuns;
use crate::reply::{self, CountedBody, Reply};
use crate::supervision::{TaskPanicked, catch_panic};
use crate::{generation, plain};
use bytes::Bytes;
use gypsumchute_exchange::{
    BodyBuffer, BudgetExceeded, BufferBudget, TcpTimeouts, set_tcp_timeouts,
};
use gypsumchute_platform::RequestHead;
use gypsumchute_routing::{Customer, IngressLimits, Route, RouteKind, RoutingTable, Service};
use gypsumchute_units::rendezvous::hash64;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, Fingerprint, Refusal, RefusalReason, RequestId, SegmentId};
use http::header::{CONNECTION, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderValue, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{info, warn};
use rand::RngExt;
use std::cell::RefCell;
use std::convert::Infallible;
use std::error::Error;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Limits on caller requests that apply until a configuration sets others.
const DEFAULT_LIMITS: IngressLimits = IngressLimits {
    max_head_bytes: 16 << 10,
    max_body_bytes: 4 << 20,
    head_timeout_ms: 10_000,
    idle_timeout_ms: 30_000,
};
/// Minimum buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Room in a request head for what a forwarding VM adds, in bytes.
const PEER_HEAD_BYTES: usize = 1 << 10;
/// Timeout for receiving a request body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;
/// Delay after a failed `accept`, in milliseconds.
const ACCEPT_RETRY_DELAY_MS: u64 = 20;
/// Time after SIGTERM for which idle connections stay open, in milliseconds. By then, the load
/// balancer has removed this VM, and callers have had time to reuse the connection once more.
const CLOSE_IDLE_AFTER_MS: u64 = 3_500;
/// Retry delay for callers if there is no better estimate, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 500;

/// Accepts caller connections. Runs until the process exits.
pub async fn serve(context: Rc<Context>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(connection) = context.limits.open_connection() {
                    spawn_local(serve_connection(context.clone(), stream, Rc::new(connection)));
                }
            }
            Err(err) => {
                warn!(error:% = err; "failed to accept a caller connection");
                sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            }
        }
    }
}

/// Serves the requests of one caller connection until it is closed or shut down.
async fn serve_connection(
    context: Rc<Context>,
    stream: TcpStream,
    open_connection: Rc<OpenConnection>,
) {
    let _connection_guard = context.track_connection();
    if let Err(err) = set_tcp_timeouts(&stream, TcpTimeouts::Long) {
        warn!(error:% = err; "failed to configure a caller connection");
        return;
    }
    let limits = context.with(|state| ingress_limits(state.table.as_deref()));
    let last_request = RefCell::new(String::new());
    let stream = CallerStream::new(stream, &context.limits, Some(open_connection.clone()));
    let input = stream.input();
    let handler = service_fn(|request: Request<Incoming>| {
        let context = context.clone();
        let request_guard = open_connection.begin_request();
        let (input, in_progress) = (input.clone(), input.begin(&request));
        let caller = RequestHead::from_headers(request.headers());
        *last_request.borrow_mut() =
            caller.request_id.map_or_else(String::new, |id| id.to_string());
        // hyper keeps room for the future as long as the connection is open. The future has 21 KB, so it
        // is allocated apart.
        Box::pin(async move {
            let has_room = request_guard.is_some();
            let reply = handle_request(context.clone(), request, Origin::Caller, has_room).await;
            let (mut head, body) = reply.into_parts();
            // A request that was received behind this one still needs its own answer.
            if context.shutdown.has_begun() && !input.has_more() {
                head.headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            let body = CountedBody::new(body, request_guard, in_progress);
            Ok::<_, Infallible>(Response::from_parts(head, body))
        })
    });
    // hyper starts the header timer when the connection becomes idle, so this timeout limits both.
    let idle = Duration::from_millis(limits.idle_timeout_ms.max(limits.head_timeout_ms));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream.clone()), handler);
    let ended = {
        tokio::pin!(connection);
        // Callers reuse connections for a while: the next request is answered with
        // `Connection: close`.
        let close_due = async {
            context.shutdown.begun().await;
            sleep(Duration::from_millis(CLOSE_IDLE_AFTER_MS)).await;
            input.idle().await;
        };
        tokio::select! {
            ended = connection.as_mut() => ended,
            () = open_connection.close_due() => return,
            () = close_due => {
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    ended = connection.as_mut() => ended,
                    () = open_connection.close_due() => return,
                }
            }
        }
    };
    let is_whole = ended.is_ok();
    log_connection_end(ended, &last_request);
    if is_whole {
        tokio::select! {
            () = stream.linger() => {}
            () = open_connection.close_due() => {}
        }
    }
}

/// Logs the failure of a caller's connection that was not caused by the response itself. The caller
/// is gone, so that the error can't be reported to it.
fn log_connection_end(ended: hyper::Result<()>, last_request: &RefCell<String>) {
    match ended {
        Ok(()) => {}
        // The stream was aborted, or the connection was idle for too long.
        Err(err) if err.is_user() || err.is_timeout() => {}
        Err(err) => {
            let cause = err.source().map_or("-".to_owned(), ToString::to_string);
            info!(last_request = last_request.borrow().as_str(), error:% = err, cause;
                "caller connection failed");
        }
    }
}

/// Serves one request that another VM forwards on `stream`.
///
/// The request counts as in progress until its response is sent.
pub async fn serve_forwarded(
    context: Rc<Context>,
    stream: TcpStream,
    origin: Origin,
    _request: RequestGuard,
) {
    let _connection_guard = context.track_connection();
    if let Err(err) = set_tcp_timeouts(&stream, TcpTimeouts::Long) {
        warn!(error:% = err; "failed to configure a connection of a peer VM");
        return;
    }
    let limits = context.with(|state| ingress_limits(state.table.as_deref()));
    let stream = CallerStream::new(stream, &context.limits, None);
    let handler = service_fn(move |request| {
        let (context, origin) = (context.clone(), origin.clone());
        Box::pin(async move {
            Ok::<_, Infallible>(handle_request(context, request, origin, true).await)
        })
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES).saturating_add(PEER_HEAD_BYTES))
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), handler);
    // If the connection fails, the peer is gone and the error cannot be reported to it.
    drop(connection.await);
}

/// Returns the limits of the configuration, or the defaults if it sets none.
fn ingress_limits(table: Option<&RoutingTable>) -> IngressLimits {
    table.and_then(|table| table.ingress_limits).unwrap_or(DEFAULT_LIMITS)
}

/// Handles one request. `has_room` tells whether the limit on requests in progress allows it. If the
/// caller disconnects, this future is dropped, which cancels the work at the endpoint.
async fn handle_request(
    context: Rc<Context>,
    request: Request<Incoming>,
    origin: Origin,
    has_room: bool,
) -> Reply {
    let request_id = RequestHead::from_headers(request.headers()).request_id;
    let answering = answer_request(context.clone(), request, origin, has_room);
    match catch_panic(&context.metrics, "request", answering).await {
        Ok(reply) => reply,
        Err(TaskPanicked) => {
            context.log_panicked_request(request_id.as_ref().map_or("-", RequestId::as_str));
            let mut reply = context.panicked_reply();
            // The request body may not have been read.
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            reply
        }
    }
}

/// Answers one request like [`handle_request`], which guards it against panics.
async fn answer_request(
    context: Rc<Context>,
    request: Request<Incoming>,
    origin: Origin,
    has_room: bool,
) -> Reply {
    let arrived_ms = boot_now();
    let (head, body) = request.into_parts();
    // hyper follows the chunked encoding and hides a Content-Length header next to it. The two can
    // disagree on where the next request starts (request smuggling), so no further request is
    // accepted on this connection.
    let is_chunked = head.headers.contains_key(TRANSFER_ENCODING);
    let mut reply = match admit(&context, arrived_ms, head, body, origin, has_room).await {
        Ok(call) => match call.route.kind {
            RouteKind::Generation { .. } => generation::handle(call).await,
            RouteKind::Idempotent | RouteKind::NonIdempotent => plain::handle(&call).await,
        },
        Err(rejected) => rejected.into_reply(&context),
    };
    if is_chunked {
        reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    context.metrics.record_request_latency(
        boot_now().since(arrived_ms) as f64,
        if reply.status().is_success() { "success" } else { "failure" },
    );
    reply
}

/// A request that was refused before an endpoint was chosen.
struct RejectedRequest {
    /// Refusal sent to the caller.
    refusal: Refusal,
    /// Request id for the log line, or `-` if there is none.
    request_id: String,
    /// Fingerprint of the request, if the body was read and decided the refusal.
    fingerprint: Option<Fingerprint>,
    /// Whether to close the connection, because the end of the request body is unknown.
    close_connection: bool,
}

impl RejectedRequest {
    /// Logs and counts the refusal and builds the reply for it.
    fn into_reply(self, context: &Context) -> Reply {
        let Refusal { reason, verdict, retry_after_ms } = self.refusal;
        context.metrics.count_refusal(reason.into(), verdict.into());
        let version = context.with(|state| state.table.as_ref().map_or(0, |t| t.version.0));
        let store_position = context.with(|state| state.store_copy.position());
        let fingerprint = self.fingerprint.map_or("-".to_owned(), |hash| hash.to_string());
        info!(request = self.request_id.as_str(), fingerprint, reason:% = reason, verdict:% = verdict,
            retry_after_ms:? = retry_after_ms, version, store_position:% = store_position;
            "request refused");
        let mut reply = reply::refusal_reply(self.refusal);
        if self.close_connection {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }
}

/// Reads a request and checks the route, the API key, the body and the limits. Returns the call if
/// the request is admitted.
async fn admit(
    context: &Rc<Context>,
    arrived_ms: BootMs,
    head: Parts,
    body: Incoming,
    origin: Origin,
    has_room: bool,
) -> Result<Call, RejectedRequest> {
    let caller = RequestHead::from_headers(&head.headers);
    let request_id = caller.request_id.as_ref().map_or("-", |id| id.as_str()).to_owned();
    let reject = |refusal: Refusal| RejectedRequest {
        refusal,
        request_id: request_id.clone(),
        fingerprint: None,
        close_connection: false,
    };
    let close = |refusal| RejectedRequest {
        refusal,
        request_id: request_id.clone(),
        fingerprint: None,
        close_connection: true,
    };
    if !has_room {
        let reason = RefusalReason::Overloaded;
        return Err(close(Refusal::not_run_retry_after(reason, DEFAULT_RETRY_AFTER_MS)));
    }
    let table = context.with(|state| state.table.clone());
    let Some(table) = table else {
        let refusal =
            Refusal::not_run_retry_after(RefusalReason::NoConfiguration, DEFAULT_RETRY_AFTER_MS);
        return Err(reject(refusal));
    };
    let random_value = context.with(|state| state.rng.random::<u64>());
    let (mut route, service) =
        resolve_route(context, &table, &head, random_value).map_err(reject)?;
    if let Origin::Peer(offer) = &origin {
        route.max_endpoints = route.max_endpoints.min(offer.max_endpoints);
    }
    let customer = authenticate(context, &table, &route, &caller).map_err(reject)?;
    let limits = ingress_limits(Some(&table));
    let reading = read_body(body, limits.max_body_bytes, &context.limits.request_buffers);
    let body = match timeout(Duration::from_millis(BODY_TIMEOUT_MS), reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(refusal)) => return Err(close(refusal)),
        Err(_) => return Err(close(Refusal::not_run(RefusalReason::Malformed))),
    };
    let fingerprint = fingerprint(head.uri.path(), customer.as_ref(), &body);
    let now = boot_now();
    let segments: Vec<_> = caller.shared_segments.iter().map(segment_fingerprint).collect();
    let refused_for_ms =
        context.with(|state| state.suspects.refused_for_ms(now, fingerprint, &segments));
    if let Some(after_ms) = refused_for_ms {
        let refusal = Refusal::not_run_retry_after(RefusalReason::PoisonRequest, after_ms);
        return Err(RejectedRequest { fingerprint: Some(fingerprint), ..reject(refusal) });
    }
    let zone_regions = match table.zone_regions.is_empty() {
        true => &context.settings.zone_regions,
        false => &table.zone_regions,
    };
    let timeout_ms = caller.timeout_ms.unwrap_or(route.response_timeout_ms);
    let call = Call {
        context: context.clone(),
        caller,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        deadline_ms: arrived_ms + timeout_ms.min(route.response_timeout_ms),
        zones: route.allowed_zones(zone_regions),
        route,
        features: context.service_features(&service.id),
        service,
        customer,
        arrived_ms,
        fingerprint,
        segments,
        random_value,
        origin,
        possible_runs: PossibleRuns::default(),
    };
    if let Some(refusal) = call.shutdown_refusal() {
        return Err(reject(refusal));
    }
    // The VM that forwards a request has counted it.
    if call.origin == Origin::Caller {
        context.with(|state| state.retries.count_request(now, &call.service.id));
    }
    Ok(call)
}

/// Builds the refusal for an unknown route or API key. If this VM may have missed a configuration
/// change, the refusal is temporary, because the route or key may exist by now.
fn unknown_refusal(context: &Context, reason: RefusalReason) -> Refusal {
    match context.with(|state| state.config_is_fresh(boot_now())) {
        true => Refusal::not_run(reason),
        false => {
            Refusal::not_run_retry_after(RefusalReason::NoConfiguration, DEFAULT_RETRY_AFTER_MS)
        }
    }
}

/// Returns the route of the request and the service chosen for it.
fn resolve_route(
    context: &Context,
    table: &RoutingTable,
    head: &Parts,
    random_value: u64,
) -> Result<(Route, Service), Refusal> {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let route = table.route(host, head.uri.path());
    let route = route.ok_or_else(|| unknown_refusal(context, RefusalReason::NoSuchRoute))?;
    let service = route.choose_service(random_value).and_then(|id| table.services.get(id));
    let service = service.ok_or_else(|| {
        Refusal::not_run_retry_after(RefusalReason::NoEndpoint, DEFAULT_RETRY_AFTER_MS)
    })?;
    Ok((route.clone(), service.clone()))
}

/// Returns the customer that the API key belongs to, or a refusal if the route requires a known
/// key.
fn authenticate(
    context: &Context,
    table: &RoutingTable,
    route: &Route,
    caller: &RequestHead,
) -> Result<Option<Customer>, Refusal> {
    let customer = caller.api_key.as_deref().and_then(|key| table.customer_of_key(key)).cloned();
    match customer {
        None if table.requires_api_key && !route.allows_anonymous => {
            Err(unknown_refusal(context, RefusalReason::UnknownKey))
        }
        customer => Ok(customer),
    }
}

/// Reads the request body, up to `limit_bytes`.
///
/// # Errors
///
/// Returns the refusal if the body is malformed or too large, or if `budget` has no room for it.
async fn read_body(
    mut body: Incoming,
    limit_bytes: usize,
    budget: &BufferBudget,
) -> Result<Bytes, Refusal> {
    let mut received = BodyBuffer::new(budget);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::not_run(RefusalReason::Malformed))?;
        // Trailers are ignored and are not forwarded.
        let chunk = frame.into_data().unwrap_or_default();
        if received.len() + chunk.len() > limit_bytes {
            return Err(Refusal::not_run(RefusalReason::BodyTooLarge));
        }
        received.push(&chunk).map_err(|BudgetExceeded::Exhausted| {
            Refusal::not_run_retry_after(RefusalReason::Overloaded, DEFAULT_RETRY_AFTER_MS)
        })?;
    }
    Ok(received.freeze())
}

/// Returns a hash of path, customer and body, which identifies retries of the same request.
fn fingerprint(path: &str, customer: Option<&Customer>, body: &Bytes) -> Fingerprint {
    let customer = customer.map_or("", |customer| customer.id.as_str());
    Fingerprint(hash64(&[path.as_bytes(), customer.as_bytes(), body]))
}

/// Returns a hash of the segment's id, which identifies the segment in messages between VMs.
fn segment_fingerprint(segment: &SegmentId) -> Fingerprint {
    Fingerprint(hash64(&[b"prompt segment", segment.as_str().as_bytes()]))
}
