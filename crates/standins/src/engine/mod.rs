//! Stand-in for a model engine: generations as streams of lines, resumed from any index and
//! cancelled; load reports that lag; cold start; orders; a crash on a poison prompt.

mod batch;

pub use self::batch::{EngineCounts, EngineSpec, GenerateBody, token_text};

use self::batch::Batch;
use crate::server::{
    Running, Stream, answer, body_text, path_and_query, query_number, query_text, serve,
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

/// A line is sent at least this often, so that silence shows.
const BEAT_MS: u64 = 250;
/// Requests whose headers and bodies are remembered.
const SEEN_MAX: usize = 2_000;
const POISON_MARK: &str = "<poison>";
/// Exit status of an engine that a prompt brought down.
const CRASH_STATUS: i32 = 70;

/// What an engine does on a poison prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnPoison {
    /// Its process ends.
    Exit,
    /// It drops everything and answers no more, as a process that ended would, and comes back
    /// empty after a while: for engines embedded in a test's own process.
    Restart,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct Load {
    running: u32,
    used_tokens: u64,
    memory_tokens: u64,
    cold: bool,
    cold_limit: u32,
}

struct State {
    batch: Batch,
    reports: VecDeque<(Instant, Load)>,
    seen: VecDeque<String>,
    loaded: String,
    order_number: u64,
    order_log: Vec<(u64, String, bool)>,
}

struct Shared {
    state: Mutex<State>,
    stepped: Condvar,
    on_poison: OnPoison,
    stopped: AtomicBool,
}

/// A running engine; it ends when this is dropped.
pub struct Engine {
    shared: Arc<Shared>,
    server: Running,
}

#[derive(Debug, Deserialize)]
struct OrderBody {
    number: u64,
    model_version: String,
}

impl Engine {
    /// Starts at `address`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn start(address: SocketAddr, spec: EngineSpec, on_poison: OnPoison) -> io::Result<Self> {
        let state = State {
            batch: Batch::new(spec),
            reports: VecDeque::new(),
            seen: VecDeque::new(),
            loaded: String::new(),
            order_number: 0,
            order_log: Vec::new(),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            stepped: Condvar::new(),
            on_poison,
            stopped: AtomicBool::new(false),
        });
        let handler = shared.clone();
        let server = serve(address, move |request| handler.handle(request))?;
        let stepper = shared.clone();
        thread::spawn(move || stepper.step_on(Duration::from_millis(spec.step_ms)));
        Ok(Engine { shared, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// What was counted.
    pub fn counts(&self) -> EngineCounts {
        self.shared.lock().batch.counts
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn step_on(&self, step: Duration) {
        let mut next = Instant::now() + step;
        while !self.stopped.load(Ordering::Relaxed) {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            next = (next + step).max(Instant::now());
            let mut state = self.lock();
            state.batch.step();
            state.report();
            self.stepped.notify_all();
        }
    }

    fn handle(&self, mut request: Request) {
        let (path, query) = path_and_query(&request);
        let body = body_text(&mut request);
        self.lock().remember(&request, &body);
        let id = path.strip_prefix("/v1/generations/").map(str::to_owned);
        match (request.method(), path.as_str(), id) {
            (Method::Post, "/v1/generate", _) => self.generate(request, &body),
            (Method::Get, _, Some(id)) => {
                let from = query_number(&query, "from").unwrap_or(0) as usize;
                self.stream(request, &id, from);
            }
            (Method::Delete, _, Some(id)) => {
                let unread_only = query_text(&query, "if_unread") == Some("true");
                let (status, text) = self.cancel(&id, unread_only);
                answer(request, status, text.to_owned());
            }
            (Method::Get, "/-/load", _) => {
                let json = self.lock().load_report();
                answer(request, 200, json.to_string());
            }
            (Method::Post, "/-/orders", _) => {
                let (status, text) = self.order(&body);
                answer(request, status, text);
            }
            (Method::Get, "/-/orders", _) => {
                let json = serde_json::json!(self.lock().order_log);
                answer(request, 200, json.to_string());
            }
            (Method::Get, "/-/seen", _) => {
                let json = serde_json::json!(self.lock().seen);
                answer(request, 200, json.to_string());
            }
            (Method::Get, "/-/counts", _) => {
                let json = serde_json::json!(self.lock().batch.counts);
                answer(request, 200, json.to_string());
            }
            (Method::Post, "/-/cold", _) => {
                let cold_ms = query_number(&query, "ms").unwrap_or(0);
                let mut state = self.lock();
                state.batch.cold_until = Instant::now() + Duration::from_millis(cold_ms);
                drop(state);
                answer(request, 200, "{}".to_owned());
            }
            _ => answer(request, 404, "{}".to_owned()),
        }
    }

    fn generate(&self, request: Request, body: &str) {
        let Ok(body) = serde_json::from_str::<GenerateBody>(body) else {
            return answer(request, 400, r#"{"error":"malformed"}"#.to_owned());
        };
        if body.prompt.contains(POISON_MARK) {
            return self.crash();
        }
        if !self.lock().batch.begin(&body) {
            return answer(request, 409, r#"{"error":"this generation exists"}"#.to_owned());
        }
        self.stream(request, &body.generation, 0);
    }

    fn crash(&self) {
        match self.on_poison {
            OnPoison::Exit => process::exit(CRASH_STATUS),
            OnPoison::Restart => {
                let mut state = self.lock();
                let spec = state.batch.spec;
                state.batch = Batch::new(spec);
            }
        }
    }

    fn cancel(&self, id: &str, unread_only: bool) -> (u16, &'static str) {
        let mut state = self.lock();
        match state.batch.generations.get(id) {
            None => (404, r#"{"error":"no such generation"}"#),
            Some(generation) if unread_only && generation.readers > 0 => {
                (409, r#"{"error":"others read it"}"#)
            }
            Some(_) => {
                state.batch.cancel(id);
                (200, "{}")
            }
        }
    }

    fn order(&self, body: &str) -> (u16, String) {
        let Ok(order) = serde_json::from_str::<OrderBody>(body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.lock();
        let old = state.batch.spec.checks_order_number && order.number < state.order_number;
        state.order_log.push((order.number, order.model_version.clone(), !old));
        if old {
            return (409, r#"{"error":"an older order"}"#.to_owned());
        }
        state.order_number = order.number;
        state.loaded = order.model_version;
        (200, "{}".to_owned())
    }

    /// Streams a generation from an index on, until it ends or nobody reads any more.
    fn stream(&self, request: Request, id: &str, from: usize) {
        let customer = match self.lock().batch.generations.get_mut(id) {
            Some(generation) => {
                generation.readers += 1;
                generation.customer.clone()
            }
            None => {
                return answer(request, 404, r#"{"error":"no such generation"}"#.to_owned());
            }
        };
        let headers = [("Content-Type", "application/x-ndjson"), ("X-Customer", &customer)];
        if let Ok(mut stream) = Stream::begin(request, &headers) {
            let whole = self.pump(&mut stream, id, from).is_ok();
            if whole {
                let _ = stream.end();
            }
        }
        if let Some(generation) = self.lock().batch.generations.get_mut(id) {
            generation.readers = generation.readers.saturating_sub(1);
        }
    }

    fn pump(&self, stream: &mut Stream, id: &str, from: usize) -> io::Result<()> {
        let mut next = from;
        loop {
            let (fresh, done) = self.wait_for(id, next).ok_or(io::ErrorKind::NotFound)?;
            for text in &fresh {
                let line = serde_json::json!({ "generation": id, "index": next, "text": text });
                stream.send(&format!("{line}\n"))?;
                next += 1;
            }
            match (fresh.is_empty(), done) {
                (_, true) => {
                    let line =
                        serde_json::json!({ "generation": id, "done": true, "tokens": next });
                    return stream.send(&format!("{line}\n"));
                }
                (true, false) => stream.send("{\"beat\":true}\n")?,
                (false, false) => {}
            }
        }
    }

    /// Tokens from `next` on, once there are some or a beat is due, and whether it has ended.
    fn wait_for(&self, id: &str, next: usize) -> Option<(Vec<String>, bool)> {
        let until = Instant::now() + Duration::from_millis(BEAT_MS);
        let mut state = self.lock();
        loop {
            let generation = state.batch.generations.get(id)?;
            let fresh: Vec<String> = generation.tokens.iter().skip(next).cloned().collect();
            if !fresh.is_empty() || generation.done || Instant::now() >= until {
                return Some((fresh, generation.done));
            }
            let left = until.saturating_duration_since(Instant::now());
            let waited = self.stepped.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl State {
    fn remember(&mut self, request: &Request, body: &str) {
        if request.url().starts_with("/-/") {
            return;
        }
        let headers: Vec<String> = request.headers().iter().map(|h| h.to_string()).collect();
        let line = format!("{} {} {} {body}", request.method(), request.url(), headers.join("; "));
        self.seen.push_back(line);
        if self.seen.len() > SEEN_MAX {
            self.seen.pop_front();
        }
    }

    fn report(&mut self) {
        let load = Load {
            running: self.batch.in_flight(),
            used_tokens: self.batch.used_tokens(),
            memory_tokens: self.batch.spec.memory_tokens,
            cold: self.batch.is_cold(),
            cold_limit: self.batch.spec.cold_limit,
        };
        let lag = Duration::from_millis(self.batch.spec.report_lag_ms);
        self.reports.push_back((Instant::now(), load));
        while self.reports.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            self.reports.pop_front();
        }
    }

    fn load_report(&self) -> serde_json::Value {
        let Some((at, load)) = self.reports.front() else {
            return serde_json::json!({ "running": 0, "cold": true, "age_ms": 0 });
        };
        let mut json = serde_json::json!(load);
        json["age_ms"] = serde_json::json!(at.elapsed().as_millis() as u64);
        json["loaded"] = serde_json::json!(self.loaded);
        json
    }
}
