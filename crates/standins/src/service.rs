//! Stand-in for a plain service: it counts how often each request ran, and is slow when asked.

use crate::server::{Running, answer, body_text, header, path_and_query, query_number, serve};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use tiny_http::{Method, Request};

/// What kind of service it is.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSpec {
    /// How long each call takes.
    pub answer_ms: u64,
    /// How long it is in cold start.
    pub cold_ms: u64,
    /// Calls that it bears in cold start.
    pub cold_limit: u32,
}

struct State {
    runs: BTreeMap<String, u64>,
    running: u32,
    cold_until: Instant,
    cold_peak: u32,
    seen: Vec<String>,
}

struct Shared {
    spec: ServiceSpec,
    state: Mutex<State>,
}

/// A running service; it ends when this is dropped.
pub struct Service {
    shared: Arc<Shared>,
    server: Running,
}

impl Service {
    /// Starts at `address`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn start(address: SocketAddr, spec: ServiceSpec) -> io::Result<Self> {
        let state = State {
            runs: BTreeMap::new(),
            running: 0,
            cold_until: Instant::now() + Duration::from_millis(spec.cold_ms),
            cold_peak: 0,
            seen: Vec::new(),
        };
        let shared = Arc::new(Shared { spec, state: Mutex::new(state) });
        let handler = shared.clone();
        let server = serve(address, move |request| handler.handle(request))?;
        Ok(Service { shared, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// How often each request ran.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.shared.lock().runs.clone()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, mut request: Request) {
        let (path, query) = path_and_query(&request);
        match path.as_str() {
            "/-/load" => {
                let state = self.lock();
                let json = serde_json::json!({
                    "running": state.running,
                    "cold": Instant::now() < state.cold_until,
                    "cold_limit": self.spec.cold_limit.max(1),
                    "age_ms": 0,
                });
                drop(state);
                answer(request, 200, json.to_string());
            }
            "/-/runs" => {
                let json = serde_json::json!(self.lock().runs);
                answer(request, 200, json.to_string());
            }
            "/-/seen" => {
                let json = serde_json::json!(self.lock().seen);
                answer(request, 200, json.to_string());
            }
            "/-/cold_peak" => {
                let peak = self.lock().cold_peak;
                answer(request, 200, peak.to_string());
            }
            "/-/cold_peak_reset" => {
                let mut state = self.lock();
                state.cold_peak = state.running;
                drop(state);
                answer(request, 200, "{}".to_owned());
            }
            "/-/cold" => {
                let cold_ms = query_number(&query, "ms").unwrap_or(0);
                self.lock().cold_until = Instant::now() + Duration::from_millis(cold_ms);
                answer(request, 200, "{}".to_owned());
            }
            _ => {
                let body = body_text(&mut request);
                self.work(request, &path, &query, &body);
            }
        }
    }

    /// Runs a call: what changes something is counted before the answer goes out.
    fn work(&self, request: Request, path: &str, query: &str, body: &str) {
        let key = header(&request, "Idempotency-Key").unwrap_or_else(|| body.to_owned());
        let changes = !matches!(request.method(), Method::Get | Method::Head);
        let mut state = self.lock();
        state.running += 1;
        let headers: Vec<String> = request.headers().iter().map(|h| h.to_string()).collect();
        state.seen.push(format!("{} {path} {} {body}", request.method(), headers.join("; ")));
        if Instant::now() < state.cold_until {
            state.cold_peak = state.cold_peak.max(state.running);
        }
        let runs = match changes {
            true => {
                let runs = state.runs.entry(key.clone()).or_default();
                *runs += 1;
                *runs
            }
            false => 0,
        };
        drop(state);
        let answer_ms = query_number(query, "delay_ms").unwrap_or(self.spec.answer_ms);
        thread::sleep(Duration::from_millis(answer_ms));
        self.lock().running -= 1;
        let json = serde_json::json!({ "path": path, "key": key, "runs": runs, "echo": body });
        answer(request, 200, json.to_string());
    }
}
