//! The callers' port: takes each request, reads it within bounds, and hands it on by its path.

use crate::application::{self, Call};
use crate::callers_http::{self, BodyError, Limits, Request};
use crate::generation;
use crate::link::ControlLink;
use crate::request_history::{RecordHandle, RequestHistory};
use crate::responses;
use crate::resume;
use gypsumchute_config::EntrySettings;
use gypsumchute_telemetry::Metrics;
use gypsumchute_units::{Refusal, RefusalReason};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Largest body while no configuration names one, in bytes.
const DEFAULT_BODY_BYTES: u64 = 1 << 20;
const BACKLOG: i32 = 1_024;
/// Open connections for each request that may be in progress.
const CONNECTIONS_PER_REQUEST: usize = 4;
/// Caller timeouts that a connection may rest between two requests.
const IDLE_TIMEOUTS: u32 = 6;
/// Caller timeouts that the whole body of a request may take.
const BODY_TIMEOUTS: u32 = 3;

/// What all requests of this process share.
pub struct EntryState {
    /// The process's settings.
    pub settings: EntrySettings,
    /// The connection to the control process.
    pub link: ControlLink,
    /// The last requests.
    pub request_history: RequestHistory,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Whether the process shuts down.
    pub draining: AtomicBool,
    /// Requests in progress.
    pub in_flight: AtomicUsize,
    number: AtomicU64,
}

/// A request as it arrived.
pub struct RequestContext {
    /// Its place in the ledger, with its id.
    pub record: RecordHandle,
    /// The caller's key, empty for none.
    pub api_key: String,
    /// The caller's idempotency key, empty for none.
    pub idempotency_key: String,
    /// Where the caller wants to go on.
    pub last_event_id: Option<String>,
    arrived_at: Instant,
}

impl RequestContext {
    /// Milliseconds since it arrived.
    pub fn elapsed_ms(&self) -> f64 {
        self.arrived_at.elapsed().as_secs_f64() * 1_000.0
    }
}

impl EntryState {
    /// What the requests of a process with these settings share.
    pub fn new(settings: EntrySettings) -> Self {
        EntryState {
            link: ControlLink::start(settings.control),
            request_history: RequestHistory::default(),
            metrics: Metrics::new(),
            draining: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            number: AtomicU64::new(1),
            settings,
        }
    }

    /// 128 random bits.
    pub fn random_id(&self) -> u128 {
        rand::random()
    }

    /// Whether the platform's balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        let readiness = self.link.readiness();
        let draining = self.draining.load(Ordering::Relaxed) || readiness.draining;
        self.link.is_connected() && readiness.ready && !draining
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, refusal: &Refusal) {
        self.metrics.count_refusal(refusal.reason.into(), refusal.verdict.into());
    }

    /// Gives a request its final answer.
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
        log::info!(request = id, reason; "refused");
        responses::refuse(request, refusal, detail, id);
        self.metrics.record_request(context.elapsed_ms(), "refused");
    }

    fn arrive(&self, request: &Request<'_>, route: &str) -> RequestContext {
        let number = self.number.fetch_add(1, Ordering::Relaxed);
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

    /// Reads a body within the bounds for size and time.
    fn read_body(&self, request: &mut Request<'_>) -> Result<Vec<u8>, RefusalReason> {
        let most = match self.link.readiness().max_body_bytes {
            0 => DEFAULT_BODY_BYTES,
            bytes => bytes,
        };
        let timeout = Duration::from_millis(self.settings.caller_timeout_ms);
        let body = request.read_body(most, Instant::now() + timeout * BODY_TIMEOUTS);
        body.map_err(|err| match err {
            BodyError::TooLarge => RefusalReason::BodyTooLarge,
            BodyError::Invalid => RefusalReason::Malformed,
        })
    }

    fn serve(&self, mut request: Request<'_>) {
        let url = request.target.clone();
        let path = url.split('?').next().unwrap_or_default();
        let route = route_of(path);
        let context = self.arrive(&request, &route);
        if self.draining.load(Ordering::Relaxed) {
            request.close_after();
            let refusal = Refusal::not_run_until(RefusalReason::Draining, 100);
            return self.refuse(&context, request, &refusal, "");
        }
        if self.in_flight.load(Ordering::Relaxed) > self.settings.max_requests {
            let refusal = Refusal::not_run_until(RefusalReason::Overloaded, 1_000);
            return self.refuse(&context, request, &refusal, "");
        }
        let body = match self.read_body(&mut request) {
            Ok(body) => body,
            Err(reason) => {
                return self.refuse(&context, request, &Refusal::not_run(reason), "");
            }
        };
        let method = request.method.clone();
        let resumed = path.strip_prefix("/v1/completions/").map(str::to_owned);
        match (method.as_str(), path, resumed) {
            ("POST", "/v1/completions", _) => generation::serve(self, context, request, &body),
            ("GET", _, Some(generation)) => resume::serve(self, context, request, &generation),
            (_, path, _) if path.starts_with("/apps/") => {
                let call = call_of(&request, &method, &url, route);
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

fn route_of(path: &str) -> String {
    let app = path.strip_prefix("/apps/").and_then(|rest| rest.split('/').next());
    app.unwrap_or("-").to_owned()
}

fn call_of(request: &Request<'_>, method: &str, url: &str, route: String) -> Call {
    let rest = url.strip_prefix("/apps/").and_then(|rest| rest.strip_prefix(route.as_str()));
    let target = match rest.unwrap_or_default() {
        rest if rest.starts_with('/') => rest.to_owned(),
        rest => format!("/{rest}"),
    };
    Call { route, target, method: method.to_owned(), headers: request.headers.clone() }
}

/// Listens at `address`, with keep-alive probes for callers that vanish.
///
/// # Errors
///
/// The address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_keepalive(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Serves callers until the process ends.
///
/// # Errors
///
/// The address can't be bound.
pub fn start(entry: Arc<EntryState>, stopped: Arc<AtomicBool>) -> io::Result<()> {
    let listener = listen(entry.settings.listen)?;
    let silence = Duration::from_millis(entry.settings.caller_timeout_ms);
    let bounds = Limits {
        connections: entry.settings.max_requests * CONNECTIONS_PER_REQUEST,
        silence,
        idle: silence * IDLE_TIMEOUTS,
    };
    callers_http::serve(listener, bounds, stopped, move |request| {
        entry.in_flight.fetch_add(1, Ordering::Relaxed);
        let guard = InFlightGuard(&entry.in_flight);
        entry.serve(request);
        drop(guard);
    });
    Ok(())
}

/// Counts a request as ended, also where its thread panics.
struct InFlightGuard<'a>(&'a AtomicUsize);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
