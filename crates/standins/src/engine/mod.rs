//! Stand-in for a model engine. Generations are streamed as JSON lines, can be resumed from any
//! token index and can be cancelled. The engine also simulates delayed load reports, cold starts,
//! orders to load a model version, and crashes caused by poison requests.
//!
//! Control processes call `GET /-/load` and `POST /-/orders`. The other paths under `/-/` are for
//! tests.

mod batch;

pub use self::batch::{EngineCounters, EngineSpec, GenerateRequest, token_text};

use self::batch::Batch;
use crate::server::{
    ChunkedResponse, ServerHandle, path_and_query, query_param, query_param_u64, read_body,
    respond_json, serve,
};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::process;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use tiny_http::{Method, Request};

/// Maximum time without a line in a stream, in milliseconds. A keep-alive line is sent when no
/// token is due, so that a reader can tell a slow generation from a dead connection.
const KEEPALIVE_INTERVAL_MS: u64 = 250;
/// Maximum number of requests recorded for `GET /-/seen`; the oldest record is dropped first.
const MAX_RECORDED_REQUESTS: usize = 2_000;
/// Text in a prompt that makes the engine crash.
const POISON_MARKER: &str = "<poison>";
/// Exit status of an engine process that crashed on a poison prompt.
const CRASH_EXIT_STATUS: i32 = 70;

/// How the engine simulates a crash when it receives a poison prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashMode {
    /// Exits the process.
    ExitProcess,
    /// Discards all generations, which breaks their streams, and continues with an empty batch in
    /// cold start. For engines embedded in another process, such as a test.
    DiscardState,
}

/// Body of `GET /-/load`; the age and the loaded model version are added when it is sent.
#[derive(Debug, Clone, Copy, Serialize)]
struct LoadReport {
    /// Number of requests that are in the batch or waiting to be admitted to it.
    #[serde(rename = "running")]
    in_flight: u32,
    /// Tokens of KV cache in use.
    used_tokens: u64,
    /// Size of the KV cache, in tokens.
    #[serde(rename = "memory_tokens")]
    kv_cache_tokens: u64,
    /// Whether the engine is in cold start.
    #[serde(rename = "cold")]
    is_cold: bool,
    /// Maximum number of requests in flight during cold start.
    #[serde(rename = "cold_limit")]
    cold_start_limit: u32,
}

struct EngineState {
    batch: Batch,
    /// Load reports and the times at which they were taken, oldest first. The first one is served.
    load_reports: VecDeque<(Instant, LoadReport)>,
    recorded_requests: VecDeque<String>,
    loaded_model_version: String,
    /// Number of the last accepted order.
    last_order_number: u64,
    /// Number and model version of each order received, and whether the order was accepted.
    order_log: Vec<(u64, String, bool)>,
}

/// State shared by the HTTP handlers and the step loop.
struct Shared {
    state: Mutex<EngineState>,
    /// Notified after each step of the batch.
    step_finished: Condvar,
    crash_mode: CrashMode,
    stop_requested: AtomicBool,
}

/// Running engine. Dropping the value stops the engine.
pub struct Engine {
    shared: Arc<Shared>,
    server: ServerHandle,
}

/// Body of `POST /-/orders`: an order to load a model version.
#[derive(Debug, Deserialize)]
struct LoadModelOrder {
    /// Fencing number: the version of the configuration that requires the model version. An order
    /// with a lower number than the last accepted one is outdated.
    number: u64,
    model_version: String,
}

impl Engine {
    /// Starts an engine that listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr, spec: EngineSpec, crash_mode: CrashMode) -> io::Result<Self> {
        let state = EngineState {
            batch: Batch::new(spec),
            load_reports: VecDeque::new(),
            recorded_requests: VecDeque::new(),
            loaded_model_version: String::new(),
            last_order_number: 0,
            order_log: Vec::new(),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            step_finished: Condvar::new(),
            crash_mode,
            stop_requested: AtomicBool::new(false),
        });
        let handler = shared.clone();
        let server = serve(address, move |request| handler.handle_request(request))?;
        let step_loop = shared.clone();
        thread::spawn(move || step_loop.run_steps(Duration::from_millis(spec.step_ms)));
        Ok(Engine { shared, server })
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the event counters since the engine started or last crashed.
    pub fn counters(&self) -> EngineCounters {
        self.shared.lock().batch.counters
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.shared.stop_requested.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs one step of the batch every `step`, and takes a load report after it, until the engine
    /// is stopped.
    fn run_steps(&self, step: Duration) {
        let mut next = Instant::now() + step;
        while !self.stop_requested.load(Ordering::Relaxed) {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            next = (next + step).max(Instant::now());
            let mut state = self.lock();
            state.batch.step();
            state.add_load_report();
            self.step_finished.notify_all();
        }
    }

    fn handle_request(&self, mut request: Request) {
        let (path, query) = path_and_query(&request);
        let body = read_body(&mut request);
        self.lock().record_request(&request, &body);
        let id = path.strip_prefix("/v1/generations/").map(str::to_owned);
        match (request.method(), path.as_str(), id) {
            (Method::Post, "/v1/generate", _) => self.generate(request, &body),
            (Method::Get, _, Some(id)) => {
                let from = query_param_u64(&query, "from").unwrap_or(0) as usize;
                self.stream_generation(request, &id, from);
            }
            (Method::Delete, _, Some(id)) => {
                let only_if_unread = query_param(&query, "if_unread") == Some("true");
                let (status, json) = self.cancel(&id, only_if_unread);
                respond_json(request, status, json.to_owned());
            }
            (Method::Get, "/-/load", _) => {
                let json = self.lock().delayed_load_report();
                respond_json(request, 200, json.to_string());
            }
            (Method::Post, "/-/orders", _) => {
                let (status, json) = self.apply_order(&body);
                respond_json(request, status, json);
            }
            (Method::Get, "/-/orders", _) => {
                let json = serde_json::json!(self.lock().order_log);
                respond_json(request, 200, json.to_string());
            }
            (Method::Get, "/-/seen", _) => {
                let json = serde_json::json!(self.lock().recorded_requests);
                respond_json(request, 200, json.to_string());
            }
            (Method::Get, "/-/counts", _) => {
                let json = serde_json::json!(self.lock().batch.counters);
                respond_json(request, 200, json.to_string());
            }
            (Method::Post, "/-/cold", _) => {
                let cold_start_ms = query_param_u64(&query, "ms").unwrap_or(0);
                let mut state = self.lock();
                state.batch.cold_start_until =
                    Instant::now() + Duration::from_millis(cold_start_ms);
                drop(state);
                respond_json(request, 200, "{}".to_owned());
            }
            _ => respond_json(request, 404, "{}".to_owned()),
        }
    }

    fn generate(&self, request: Request, body: &str) {
        let Ok(body) = serde_json::from_str::<GenerateRequest>(body) else {
            return respond_json(request, 400, r#"{"error":"malformed"}"#.to_owned());
        };
        if body.prompt.contains(POISON_MARKER) {
            return self.crash();
        }
        if !self.lock().batch.enqueue(&body) {
            return respond_json(request, 409, r#"{"error":"this generation exists"}"#.to_owned());
        }
        self.stream_generation(request, &body.generation, 0);
    }

    /// Simulates a crash as configured by [`CrashMode`].
    fn crash(&self) {
        match self.crash_mode {
            CrashMode::ExitProcess => process::exit(CRASH_EXIT_STATUS),
            CrashMode::DiscardState => {
                let mut state = self.lock();
                let spec = state.batch.spec;
                state.batch = Batch::new(spec);
            }
        }
    }

    /// Cancels a generation, and returns the status code and the JSON body of the response. With
    /// `only_if_unread`, a generation that still has readers is not cancelled.
    fn cancel(&self, id: &str, only_if_unread: bool) -> (u16, &'static str) {
        let mut state = self.lock();
        match state.batch.generations.get(id) {
            None => (404, r#"{"error":"no such generation"}"#),
            Some(generation) if only_if_unread && generation.readers > 0 => {
                (409, r#"{"error":"others read it"}"#)
            }
            Some(_) => {
                state.batch.cancel(id);
                (200, "{}")
            }
        }
    }

    /// Applies an order to load a model version unless a newer order was accepted before. Returns
    /// the status code and the JSON body of the response.
    fn apply_order(&self, body: &str) -> (u16, String) {
        let Ok(order) = serde_json::from_str::<LoadModelOrder>(body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.lock();
        let is_outdated =
            state.batch.spec.rejects_outdated_orders && order.number < state.last_order_number;
        state.order_log.push((order.number, order.model_version.clone(), !is_outdated));
        if is_outdated {
            return (409, r#"{"error":"an older order"}"#.to_owned());
        }
        state.last_order_number = order.number;
        state.loaded_model_version = order.model_version;
        (200, "{}".to_owned())
    }

    /// Streams the tokens of a generation from index `from` on, until the generation ends or the
    /// client disconnects.
    fn stream_generation(&self, request: Request, id: &str, from: usize) {
        let customer = match self.lock().batch.generations.get_mut(id) {
            Some(generation) => {
                generation.readers += 1;
                generation.customer.clone()
            }
            None => {
                return respond_json(request, 404, r#"{"error":"no such generation"}"#.to_owned());
            }
        };
        let headers = [("Content-Type", "application/x-ndjson"), ("X-Customer", &customer)];
        if let Ok(mut stream) = ChunkedResponse::start(request, &headers) {
            let completed = self.send_tokens(&mut stream, id, from).is_ok();
            if completed {
                let _ = stream.finish();
            }
        }
        if let Some(generation) = self.lock().batch.generations.get_mut(id) {
            generation.readers = generation.readers.saturating_sub(1);
        }
    }

    /// Sends token lines from index `from` on, keep-alive lines while no token is due, and a final
    /// line with the token count. Fails if the client disconnects or a simulated crash discards the
    /// generation.
    fn send_tokens(&self, stream: &mut ChunkedResponse, id: &str, from: usize) -> io::Result<()> {
        let mut next = from;
        loop {
            let (new_tokens, done) =
                self.wait_for_tokens(id, next).ok_or(io::ErrorKind::NotFound)?;
            for text in &new_tokens {
                let line = serde_json::json!({ "generation": id, "index": next, "text": text });
                stream.send_chunk(&format!("{line}\n"))?;
                next += 1;
            }
            match (new_tokens.is_empty(), done) {
                (_, true) => {
                    let line =
                        serde_json::json!({ "generation": id, "done": true, "tokens": next });
                    return stream.send_chunk(&format!("{line}\n"));
                }
                (true, false) => stream.send_chunk("{\"beat\":true}\n")?,
                (false, false) => {}
            }
        }
    }

    /// Waits until the generation has tokens from index `next` on, has ended, or a keep-alive line
    /// is due. Returns these tokens and whether the generation has ended, or `None` if the
    /// generation does not exist.
    fn wait_for_tokens(&self, id: &str, next: usize) -> Option<(Vec<String>, bool)> {
        let deadline = Instant::now() + Duration::from_millis(KEEPALIVE_INTERVAL_MS);
        let mut state = self.lock();
        loop {
            let generation = state.batch.generations.get(id)?;
            let new_tokens: Vec<String> = generation.tokens.iter().skip(next).cloned().collect();
            if !new_tokens.is_empty() || generation.done || Instant::now() >= deadline {
                return Some((new_tokens, generation.done));
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            let waited = self.step_finished.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl EngineState {
    /// Records a request for `GET /-/seen`. Requests to control paths (`/-/`) are not recorded.
    fn record_request(&mut self, request: &Request, body: &str) {
        if request.url().starts_with("/-/") {
            return;
        }
        let headers: Vec<String> = request.headers().iter().map(|h| h.to_string()).collect();
        let line = format!("{} {} {} {body}", request.method(), request.url(), headers.join("; "));
        self.recorded_requests.push_back(line);
        if self.recorded_requests.len() > MAX_RECORDED_REQUESTS {
            self.recorded_requests.pop_front();
        }
    }

    /// Adds a load report and drops the outdated ones, so that the first one left is the newest
    /// report that is at least as old as the configured delay, or the first report of all while
    /// none is that old.
    fn add_load_report(&mut self) {
        let load = LoadReport {
            in_flight: self.batch.in_flight(),
            used_tokens: self.batch.used_tokens(),
            kv_cache_tokens: self.batch.spec.kv_cache_tokens,
            is_cold: self.batch.is_cold(),
            cold_start_limit: self.batch.spec.cold_start_limit,
        };
        let lag = Duration::from_millis(self.batch.spec.load_report_delay_ms);
        self.load_reports.push_back((Instant::now(), load));
        while self.load_reports.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            self.load_reports.pop_front();
        }
    }

    /// Returns the newest load report that is at least as old as the configured delay, with its age
    /// and the loaded model version. Until a report is that old, returns the first one, and before
    /// the first step a report of an idle engine in cold start.
    fn delayed_load_report(&self) -> serde_json::Value {
        let Some((at, load)) = self.load_reports.front() else {
            return serde_json::json!({ "running": 0, "cold": true, "age_ms": 0 });
        };
        let mut json = serde_json::json!(load);
        json["age_ms"] = serde_json::json!(at.elapsed().as_millis() as u64);
        json["loaded"] = serde_json::json!(self.loaded_model_version);
        json
    }
}
