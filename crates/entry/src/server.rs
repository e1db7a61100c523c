//! Serves the port for callers: reads each request within the limits and dispatches it by its path.

use crate::application::{self, Call};
use crate::generation;
use crate::link::ControlLink;
use crate::request_history::{RecordHandle, RequestHistory};
use crate::responses;
use crate::resume;
use gypsumchute_config::EntrySettings;
use gypsumchute_exchange::BufferBudget;
use gypsumchute_serving::byte_budget::ByteBudget;
use gypsumchute_serving::connections::Connections;
use gypsumchute_serving::http::{self, BodyError, Limits, Request};
use gypsumchute_telemetry::Metrics;
use gypsumchute_units::{Refusal, RefusalReason};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Maximum size of a request body before a configuration sets one, in bytes.
const DEFAULT_MAX_BODY_BYTES: u64 = 1 << 20;
/// Memory for large responses that are buffered at once, in bytes. The smallest VMs have 88 MB.
const RESPONSE_BUFFER_BYTES: usize = 16 << 20;
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1_024;
/// Number of open connections allowed for each request that may be in flight.
const CONNECTIONS_PER_REQUEST: usize = 4;
/// Maximum number of open connections of callers. On the smallest VM, 1,500 are ordinary, and 4,100
/// descriptors are shared by both processes.
const MAX_CALLER_CONNECTIONS: usize = 1_800;
/// Memory for request heads and bodies that are being read or served, in bytes. Half of it is for
/// those up to 16 KiB and holds 1,024 requests, the default of `max_requests`, of 12 KiB each. It
/// leaves most of the 88 MB of the smallest VM to the threads of connections and to responses.
const REQUEST_BYTES: usize = 24 << 20;
/// Idle timeout of a connection between two requests, as a multiple of the caller timeout.
const IDLE_TIMEOUT_FACTOR: u32 = 6;
/// Time limit for reading a complete request body, as a multiple of the caller timeout.
const BODY_TIMEOUT_FACTOR: u32 = 3;

/// State shared by all requests of the entry process.
pub struct EntryState {
    /// Settings of the process.
    pub settings: EntrySettings,
    /// Connection to the control process.
    pub link: ControlLink,
    /// Steps of recent requests.
    pub request_history: RequestHistory,
    /// Memory for responses that are buffered as a whole.
    pub response_buffers: BufferBudget,
    /// Memory for the heads and bodies of requests.
    pub request_bytes: ByteBudget,
    /// Open connections of callers.
    pub connections: Connections,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Whether the process is shutting down gracefully.
    pub draining: AtomicBool,
    /// Number of requests in flight.
    pub in_flight: AtomicUsize,
    /// Number of those whose body is still being read.
    reading: AtomicUsize,
    /// Number of the next request, which becomes part of the request id.
    next_request_number: AtomicU64,
}

/// State of one request from its arrival to its response.
pub struct RequestContext {
    /// Handle to the record of the request in the request history.
    pub record: RecordHandle,
    /// API key from the `Authorization` header, or empty.
    pub api_key: String,
    /// Idempotency key of the request, or empty.
    pub idempotency_key: String,
    /// Value of the `Last-Event-ID` header, which is the last event that the caller received.
    pub last_event_id: Option<String>,
    /// Time at which the request arrived.
    arrived_at: Instant,
}

impl RequestContext {
    /// Returns the time since the request arrived, in milliseconds.
    pub fn elapsed_ms(&self) -> f64 {
        self.arrived_at.elapsed().as_secs_f64() * 1_000.0
    }
}

impl EntryState {
    /// Returns the state of a process with these settings, and starts connecting to the control
    /// process.
    pub fn new(settings: EntrySettings) -> Self {
        let max_connections = settings.max_requests * CONNECTIONS_PER_REQUEST;
        EntryState {
            request_bytes: ByteBudget::new(REQUEST_BYTES),
            connections: Connections::new(max_connections.min(MAX_CALLER_CONNECTIONS), false),
            link: ControlLink::start(settings.control),
            request_history: RequestHistory::default(),
            response_buffers: BufferBudget::new(RESPONSE_BUFFER_BYTES),
            metrics: Metrics::new(),
            draining: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            reading: AtomicUsize::new(0),
            next_request_number: AtomicU64::new(1),
            settings,
        }
    }

    /// Returns a random id of 128 bits.
    pub fn random_id(&self) -> u128 {
        rand::random()
    }

    /// Reports whether the load balancer of the platform may send callers to this VM.
    pub fn is_ready(&self) -> bool {
        let readiness = self.link.readiness();
        let draining = self.draining.load(Ordering::Relaxed) || readiness.draining;
        self.link.is_connected() && readiness.ready && !draining
    }

    /// Counts a refusal in the metrics.
    pub fn count_refusal(&self, refusal: &Refusal) {
        self.metrics.count_refusal(refusal.reason.into(), refusal.verdict.into());
    }

    /// Refuses a request, and records the refusal in the history, the metrics and the log.
    pub fn refuse(
        &self,
        context: &RequestContext,
        request: Request<'_>,
        refusal: &Refusal,
        detail: &str,
    ) {
        context.record.add_refusal(refusal);
        self.count_refusal(refusal);
        let reason: &'static str = refusal.reason.into();
        let id = context.record.request_id.as_str();
        log::info!(request = id, reason; "request refused");
        responses::refuse(request, refusal, detail, id);
        self.metrics.record_request_latency(context.elapsed_ms(), "refused");
    }

    /// Opens a record for a request and returns the context of the request.
    fn new_context(&self, request: &Request<'_>, route: &str) -> RequestContext {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        let random = rand::random::<u32>();
        let id = format!("{}-{number}-{random:08x}", self.settings.vm);
        let header = |name: &str| request.header(name).unwrap_or_default().to_owned();
        let authorization = header("Authorization");
        let bearer = authorization
            .split_once(' ')
            .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("Bearer"));
        RequestContext {
            record: self.request_history.start_record(&id, route),
            api_key: bearer.map(|(_, key)| key.trim().to_owned()).unwrap_or_default(),
            idempotency_key: header("Idempotency-Key"),
            last_event_id: request.header("Last-Event-ID").map(str::to_owned),
            arrived_at: Instant::now(),
        }
    }

    /// Reports whether more requests than allowed are in flight. Requests whose body is incomplete do
    /// not count: callers that send slowly would otherwise keep out all others.
    fn has_too_many_requests(&self) -> bool {
        let reading = self.reading.load(Ordering::Relaxed);
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        in_flight.saturating_sub(reading) > self.settings.max_requests
    }

    /// Reads the request body within the limits on size and time.
    fn read_body(&self, request: &mut Request<'_>) -> Result<Vec<u8>, RefusalReason> {
        if self.has_too_many_requests() {
            return Err(RefusalReason::Overloaded);
        }
        let max_bytes = match self.link.readiness().max_body_bytes {
            0 => DEFAULT_MAX_BODY_BYTES,
            bytes => bytes,
        };
        let timeout = Duration::from_millis(self.settings.caller_timeout_ms);
        self.reading.fetch_add(1, Ordering::Relaxed);
        let guard = InFlightGuard(&self.reading);
        let body = request.read_body(max_bytes, Instant::now() + timeout * BODY_TIMEOUT_FACTOR);
        drop(guard);
        body.map_err(|err| match err {
            BodyError::TooLarge => RefusalReason::BodyTooLarge,
            BodyError::Invalid => RefusalReason::Malformed,
            BodyError::NoRoom => RefusalReason::Overloaded,
        })
    }

    /// Serves one request: refuses it while shutting down or overloaded, and otherwise reads the
    /// body and dispatches the request.
    fn serve(&self, mut request: Request<'_>) {
        let url = request.target.clone();
        let path = url.split('?').next().unwrap_or_default();
        let route = route_from_path(path);
        let context = self.new_context(&request, &route);
        if self.draining.load(Ordering::Relaxed) {
            request.close_after_response();
            let refusal = Refusal::not_run_retry_after(RefusalReason::Draining, 100);
            return self.refuse(&context, request, &refusal, "");
        }
        let body = match self.read_body(&mut request) {
            Ok(body) if !self.has_too_many_requests() => body,
            Ok(_) => {
                let refusal = Refusal::not_run_retry_after(RefusalReason::Overloaded, 1_000);
                return self.refuse(&context, request, &refusal, "");
            }
            Err(RefusalReason::Overloaded) => {
                let refusal = Refusal::not_run_retry_after(RefusalReason::Overloaded, 1_000);
                return self.refuse(&context, request, &refusal, "");
            }
            Err(reason) => {
                return self.refuse(&context, request, &Refusal::not_run(reason), "");
            }
        };
        let method = request.method.clone();
        let resumed_generation = path.strip_prefix("/v1/completions/").map(str::to_owned);
        match (method.as_str(), path, resumed_generation) {
            ("POST", "/v1/completions", _) => generation::serve(self, context, request, &body),
            ("GET", _, Some(generation)) => resume::serve(self, context, request, &generation),
            (_, path, _) if path.starts_with("/apps/") => {
                let call = build_call(&request, &method, &url, route);
                application::serve(self, context, request, &call, &body);
            }
            _ => {
                let refusal = Refusal::not_run(RefusalReason::NoSuchRoute);
                let detail = "use POST /v1/completions, GET /v1/completions/{id} or /apps/{route}/";
                self.refuse(&context, request, &refusal, detail);
            }
        }
    }
}

/// Returns the route that a path under `/apps/` names, or `-` for any other path.
fn route_from_path(path: &str) -> String {
    let route = path.strip_prefix("/apps/").and_then(|rest| rest.split('/').next());
    route.unwrap_or("-").to_owned()
}

/// Returns the call to a plain service that a request under `/apps/{route}` makes.
fn build_call(request: &Request<'_>, method: &str, url: &str, route: String) -> Call {
    let rest = url.strip_prefix("/apps/").and_then(|rest| rest.strip_prefix(route.as_str()));
    let target = match rest.unwrap_or_default() {
        rest if rest.starts_with('/') => rest.to_owned(),
        rest => format!("/{rest}"),
    };
    Call { route, target, method: method.to_owned(), headers: request.headers.clone() }
}

/// Listens at `address`. TCP keep-alive probes detect callers that disappeared.
///
/// # Errors
///
/// The address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_keepalive(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// Starts serving callers, until `stopped` is set.
///
/// # Errors
///
/// The address cannot be bound.
pub fn start(entry: Arc<EntryState>, stopped: Arc<AtomicBool>) -> io::Result<()> {
    let listener = listen(entry.settings.listen)?;
    let io_timeout = Duration::from_millis(entry.settings.caller_timeout_ms);
    let limits = Limits {
        connections: entry.connections.clone(),
        request_bytes: entry.request_bytes.clone(),
        io_timeout,
        idle_timeout: io_timeout * IDLE_TIMEOUT_FACTOR,
    };
    http::serve(listener, limits, stopped, move |request| {
        entry.in_flight.fetch_add(1, Ordering::Relaxed);
        let guard = InFlightGuard(&entry.in_flight);
        entry.serve(request);
        drop(guard);
    })
}

/// Counts a request as ended when dropped, also if the thread of the request panics.
struct InFlightGuard<'a>(&'a AtomicUsize);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
