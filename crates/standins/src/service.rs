//! Stand-in for a plain service. The service counts how often each request ran, answers after a
//! configurable delay and simulates cold starts.

use crate::server::{
    ServerHandle, header_value, path_and_query, query_param_u64, read_body, respond_json, serve,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use tiny_http::{Method, Request};

/// Configuration of a stand-in service.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSpec {
    /// Processing time of each request, in milliseconds; overridden by the query parameter
    /// `delay_ms`.
    #[serde(rename = "answer_ms")]
    pub processing_ms: u64,
    /// Duration of the cold start, in milliseconds.
    #[serde(rename = "cold_ms")]
    pub cold_start_ms: u64,
    /// Maximum number of requests in flight during cold start, as stated in load reports; 0 counts
    /// as 1. The service does not enforce the limit.
    #[serde(rename = "cold_limit")]
    pub cold_start_limit: u32,
}

struct ServiceState {
    /// Number of runs of each mutating request, by `Idempotency-Key` or, without that header, by
    /// body.
    run_counts: BTreeMap<String, u64>,
    /// Number of requests in flight.
    in_flight: u32,
    /// End of the cold start.
    cold_start_until: Instant,
    /// Highest number of requests in flight during cold start since the service started or the
    /// peak was reset.
    cold_start_peak: u32,
    /// Method, path, headers and body of each request received.
    recorded_requests: Vec<String>,
}

struct Shared {
    spec: ServiceSpec,
    state: Mutex<ServiceState>,
}

/// Running service. Dropping the value stops the service.
pub struct Service {
    shared: Arc<Shared>,
    server: ServerHandle,
}

impl Service {
    /// Starts a service that listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr, spec: ServiceSpec) -> io::Result<Self> {
        let state = ServiceState {
            run_counts: BTreeMap::new(),
            in_flight: 0,
            cold_start_until: Instant::now() + Duration::from_millis(spec.cold_start_ms),
            cold_start_peak: 0,
            recorded_requests: Vec::new(),
        };
        let shared = Arc::new(Shared { spec, state: Mutex::new(state) });
        let handler = shared.clone();
        let server = serve(address, move |request| handler.handle_request(request))?;
        Ok(Service { shared, server })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the number of runs of each mutating request, by idempotency key or body.
    pub fn run_counts(&self) -> BTreeMap<String, u64> {
        self.shared.lock().run_counts.clone()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle_request(&self, mut request: Request) {
        let (path, query) = path_and_query(&request);
        match path.as_str() {
            "/-/load" => {
                let state = self.lock();
                let json = serde_json::json!({
                    "running": state.in_flight,
                    "cold": Instant::now() < state.cold_start_until,
                    "cold_limit": self.spec.cold_start_limit.max(1),
                    "age_ms": 0,
                });
                drop(state);
                respond_json(request, 200, json.to_string());
            }
            "/-/runs" => {
                let json = serde_json::json!(self.lock().run_counts);
                respond_json(request, 200, json.to_string());
            }
            "/-/seen" => {
                let json = serde_json::json!(self.lock().recorded_requests);
                respond_json(request, 200, json.to_string());
            }
            "/-/cold_peak" => {
                let peak = self.lock().cold_start_peak;
                respond_json(request, 200, peak.to_string());
            }
            "/-/cold_peak_reset" => {
                let mut state = self.lock();
                state.cold_start_peak = state.in_flight;
                drop(state);
                respond_json(request, 200, "{}".to_owned());
            }
            "/-/cold" => {
                let cold_start_ms = query_param_u64(&query, "ms").unwrap_or(0);
                self.lock().cold_start_until =
                    Instant::now() + Duration::from_millis(cold_start_ms);
                respond_json(request, 200, "{}".to_owned());
            }
            _ => {
                let body = read_body(&mut request);
                self.run_request(request, &path, &query, &body);
            }
        }
    }

    /// Runs a request and answers after the processing time. Requests other than GET and HEAD are
    /// counted as runs, before the response is sent.
    fn run_request(&self, request: Request, path: &str, query: &str, body: &str) {
        let key = header_value(&request, "Idempotency-Key").unwrap_or_else(|| body.to_owned());
        let is_mutating = !matches!(request.method(), Method::Get | Method::Head);
        let mut state = self.lock();
        state.in_flight += 1;
        let headers: Vec<String> = request.headers().iter().map(|h| h.to_string()).collect();
        state.recorded_requests.push(format!(
            "{} {path} {} {body}",
            request.method(),
            headers.join("; ")
        ));
        if Instant::now() < state.cold_start_until {
            state.cold_start_peak = state.cold_start_peak.max(state.in_flight);
        }
        let runs = match is_mutating {
            true => {
                let runs = state.run_counts.entry(key.clone()).or_default();
                *runs += 1;
                *runs
            }
            false => 0,
        };
        drop(state);
        let delay_ms = query_param_u64(query, "delay_ms").unwrap_or(self.spec.processing_ms);
        thread::sleep(Duration::from_millis(delay_ms));
        self.lock().in_flight -= 1;
        let json = serde_json::json!({ "path": path, "key": key, "runs": runs, "echo": body });
        respond_json(request, 200, json.to_string());
    }
}
