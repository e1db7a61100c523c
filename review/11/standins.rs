//! Small stand-ins of the platform's store, of model engines and of callers, a launcher for daemons
//! and a record of what happened. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HOST: &str = "models.example";
pub const KEY: &str = "key-of-acme";

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Returns the wall clock, in milliseconds.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Whether the disruption of the case happens: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Ends the script as one that could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2);
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    /// Creates the record at `path`.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|err| cannot_run(&err.to_string()));
        Record(Arc::new((Instant::now(), Mutex::new(file))))
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.0.0.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let at = self.now_ms();
        let mut file = self.0.1.lock().unwrap();
        let _ = writeln!(file, "{:>3}.{:03} {text}", at / 1000, at % 1000);
    }
}

// ---------------------------------------------------------------------------------------- HTTP

/// A request or response as it was read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message. Returns `None` if the connection ends before.
pub fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Message> {
    let mut buffer = [0u8; 4096];
    loop {
        if let Some(end) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).into_owned();
            rest.drain(..end + 4);
            let mut lines = head.split("\r\n");
            let first_line = lines.next().unwrap_or("").to_owned();
            let headers = lines.filter_map(|line| line.split_once(':'));
            let headers = headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
            return Some(Message { first_line, headers: headers.collect(), body: Vec::new() });
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => rest.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Reads a request with its body, which has a length.
pub fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Message> {
    let mut message = read_head(stream, rest)?;
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    let mut buffer = [0u8; 4096];
    while rest.len() < length {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => rest.extend_from_slice(&buffer[..count]),
        }
    }
    message.body = rest.drain(..length).collect();
    Some(message)
}

/// Reports whether the other side has closed the connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0u8; 1];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(err) => err.kind() != std::io::ErrorKind::WouldBlock,
    }
}

fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) {
    let text = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    let _ = stream.write_all(text.as_bytes());
}

// --------------------------------------------------------------------------------------- store

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    history: Vec<(u64, String, Option<String>)>,
}

/// Stand-in of the platform's store: listing and watching.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let state = StoreState { revision: 100, ..StoreState::default() };
        let store = Store { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value.to_owned()));
    }

    pub fn delete(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => drop(state.items.insert(key.to_owned(), (revision, value.clone()))),
            None => drop(state.items.remove(key)),
        }
        state.history.push((revision, key.to_owned(), value));
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut rest = Vec::new();
        let Some(request) = read_request(&mut stream, &mut rest) else { return };
        let path = request.path().to_owned();
        let query = |name: &str| {
            let query = path.split_once('?').map_or("", |(_, query)| query);
            let found =
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
            found.unwrap_or("").replace("%2F", "/")
        };
        let body = if path.starts_with("/api/kv-range") {
            let state = self.state.0.lock().unwrap();
            let (prefix, after) = (query("pathPrefix"), query("after"));
            let items = state.items.iter();
            let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
            let entries =
                items.map(|(key, (revision, value))| item_json(key, *revision, Some(value)));
            let entries: Vec<String> = entries.collect();
            format!(
                "{{\"entries\":[{}],\"truncated\":false,\"at\":{}}}",
                entries.join(","),
                state.revision
            )
        } else {
            let after: u64 = query("after").parse().unwrap_or(0);
            let wait_ms: u64 = query("waitMs").parse().unwrap_or(0);
            let deadline = Instant::now() + Duration::from_millis(wait_ms);
            let mut state = self.state.0.lock().unwrap();
            while state.revision <= after && Instant::now() < deadline {
                let left = deadline.saturating_duration_since(Instant::now());
                state = self.state.1.wait_timeout(state, left).unwrap().0;
            }
            let changes = state.history.iter().filter(|(revision, _, _)| *revision > after);
            let events =
                changes.map(|(revision, key, value)| item_json(key, *revision, value.as_ref()));
            let events: Vec<String> = events.collect();
            format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision)
        };
        let headers = "Content-Type: application/json\r\nStore-Era: 0\r\n";
        respond(&mut stream, "200 OK", headers, &body);
    }
}

fn item_json(key: &str, revision: u64, value: Option<&String>) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().enumerate().fold(0u32, |w, (i, b)| w | u32::from(*b) << (16 - 8 * i));
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(word >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// Returns a configuration: `surveys` are streams that may run once, `briefs` are streams that may be
/// resumed, `orders` are unsafe.
pub fn configuration(version: u64, has_backups: bool) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, timeout_ms: u64| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"type\":\"{kind}\",\
             \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":1500,\"targetGapMs\":180,\"priority\":1,\
             \"backend\":\"{service}\",\"maxAttempts\":{attempts},\"public\":false,\
             \"streamResume\":{},\"sessionAffinity\":{}}}",
            name == "briefs",
            kind == "streaming"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{}],\
         \"backends\":[{{\"name\":\"engines\",\"healthPath\":\"/healthz\",\"maxConnections\":300,\
         \"warmupS\":1.0,\"warmupPerS\":20.0,\"runtime\":{{\"slots\":32,\"kvCapacity\":34582,\"stride\":4,\
         \"moves\":true,\"backups\":{has_backups}}}}},\
         {{\"name\":\"books\",\"healthPath\":\"/healthz\",\"maxConnections\":100,\"warmupS\":0.0,\
         \"warmupPerS\":0.0}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"acme\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        route("surveys", "streaming", "engines", 1, 39_000),
        route("briefs", "streaming", "engines", 2, 39_000),
        route("orders", "unsafe", "books", 1, 2_500),
    )
}

// -------------------------------------------------------------------------------------- engine

/// One run of a request at an engine.
#[derive(Debug, Clone)]
pub struct RunInfo {
    pub request: String,
    pub engine: String,
    pub version: String,
    /// First event that the run made.
    pub first_event: u64,
    pub began_ms: u64,
    /// When the last event was made.
    pub last_work_ms: u64,
    /// Number of the last event that was made.
    pub last_event: u64,
    /// Whether a copy with `last` has stopped it.
    pub is_stopped: bool,
    pub has_ended: bool,
    /// Whether the run goes on from the memory of an earlier one.
    pub from_memory: bool,
}

#[derive(Default)]
struct EnginesState {
    runs: Vec<RunInfo>,
    /// Copies of memory: engine that holds them and the value of `Kv-From` that names them.
    copies: Vec<(SocketAddr, String)>,
    handles: u64,
}

/// What all engines of a case share.
#[derive(Clone)]
pub struct Engines {
    state: Arc<Mutex<EnginesState>>,
    pub record: Record,
}

impl Engines {
    pub fn new(record: &Record) -> Self {
        Engines { state: Arc::default(), record: record.clone() }
    }

    /// Returns all runs so far, oldest first.
    pub fn runs(&self) -> Vec<RunInfo> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Returns the runs of one request.
    pub fn runs_of(&self, request: &str) -> Vec<RunInfo> {
        self.runs().into_iter().filter(|run| run.request == request).collect()
    }
}

/// How an engine behaves.
#[derive(Clone)]
pub struct Behaviour {
    pub events: u64,
    pub interval_ms: u64,
    /// Answers have neither a length nor chunks and end with their connection.
    pub is_unframed: bool,
    /// A run ends when its connection closes.
    pub drops_on_close: bool,
}

/// A model engine.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    pub behaviour: Arc<Mutex<Behaviour>>,
    engines: Engines,
    incarnation: Arc<Mutex<Incarnation>>,
    sequence: Arc<AtomicU64>,
}

#[derive(Clone)]
struct Incarnation {
    version: String,
    born_ms: u64,
    /// Set when the process has died.
    is_dead: Arc<AtomicBool>,
    silent_until: Option<Instant>,
}

impl Engine {
    pub fn start(
        engines: &Engines,
        id: &str,
        zone: &str,
        version: &str,
        behaviour: Behaviour,
    ) -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let incarnation = Incarnation {
            version: version.to_owned(),
            born_ms: wall_ms(),
            is_dead: Arc::default(),
            silent_until: None,
        };
        let engine = Engine {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap(),
            behaviour: Arc::new(Mutex::new(behaviour)),
            engines: engines.clone(),
            incarnation: Arc::new(Mutex::new(incarnation)),
            sequence: Arc::default(),
        };
        engine.listen(listener);
        engine
    }

    fn listen(&self, listener: TcpListener) {
        let (engine, incarnation) = (self.clone(), self.incarnation.lock().unwrap().clone());
        let _ = listener.set_nonblocking(true);
        thread::spawn(move || {
            while !incarnation.is_dead.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let (engine, incarnation) = (engine.clone(), incarnation.clone());
                        thread::spawn(move || engine.serve(stream, incarnation));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
    }

    /// Ends the process of the engine: its port has no listener and its connections break.
    pub fn crash(&self) {
        self.engines.record.line(&format!("engine {} ends", self.id));
        self.incarnation.lock().unwrap().is_dead.store(true, Ordering::Relaxed);
        sleep_ms(30);
    }

    /// Makes the engine silent for a while: it accepts connections and says nothing.
    pub fn fall_silent(&self, ms: u64) {
        self.engines.record.line(&format!("engine {} falls silent for {ms} ms", self.id));
        self.incarnation.lock().unwrap().silent_until =
            Some(Instant::now() + Duration::from_millis(ms));
    }

    /// Writes the entry of the engine to the store.
    pub fn register(&self, store: &Store, state: &str) {
        self.register_with(store, state, 32, 0);
    }

    /// Writes the entry of the engine with this number of slots and the time for which it is still cold.
    pub fn register_with(&self, store: &Store, state: &str, slots: u32, warmup_left_ms: u64) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let incarnation = self.incarnation.lock().unwrap().clone();
        store.put(
            &format!("servers/{}", self.id),
            &format!(
                "{{\"backend\":\"engines\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
                 \"slots\":{slots},\"state\":\"{state}\",\"warmupLeftMs\":{warmup_left_ms},\"sequence\":{sequence},\"born\":{}}}",
                self.address, self.zone, incarnation.version, incarnation.born_ms
            ),
        );
        self.engines.record.line(&format!(
            "engine {} is registered as {state}, version {}",
            self.id, incarnation.version
        ));
    }

    /// Waits until the engine is no longer silent. Returns false if it has died.
    fn awake(&self, incarnation: &Incarnation) -> bool {
        loop {
            if incarnation.is_dead.load(Ordering::Relaxed) {
                return false;
            }
            let until = self.incarnation.lock().unwrap().silent_until;
            match until {
                Some(until) if until > Instant::now() => sleep_ms(5),
                _ => return true,
            }
        }
    }

    fn serve(&self, mut stream: TcpStream, incarnation: Incarnation) {
        let mut rest = Vec::new();
        let Some(request) = read_request(&mut stream, &mut rest) else { return };
        if !self.awake(&incarnation) {
            return;
        }
        let path = request.path();
        if path == "/api/report" {
            let body = format!(
                "{{\"phase\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"sequence\":1,\"queued\":0,\"active\":1,\"kvUsed\":1000,\
                 \"kvTotal\":34000,\"handles\":0,\"born\":{}}}",
                incarnation.born_ms
            );
            respond(&mut stream, "200 OK", "Content-Type: application/json\r\n", &body);
        } else if path == "/api/kv-move" {
            self.move_memory(&mut stream, &request);
        } else if path.starts_with("/api/") || path == "/healthz" {
            let headers = format!("X-Replica-Id: {}\r\n", self.id);
            respond(&mut stream, "200 OK", &headers, "{}");
        } else {
            self.run(stream, &request, &incarnation);
        }
    }

    /// Copies the memory of a run to another engine, and stops the run first if `last` is set.
    fn move_memory(&self, stream: &mut TcpStream, request: &Message) {
        let text = String::from_utf8_lossy(&request.body).replace(' ', "");
        let field = |name: &str| {
            let start = text.find(&format!("\"{name}\":\""))? + name.len() + 4;
            Some(text[start..].split('"').next()?.to_owned())
        };
        let (id, to) = (field("id").unwrap_or_default(), field("to").unwrap_or_default());
        let last = text.contains("\"last\":true");
        let (made, handle) = {
            let mut state = self.engines.state.lock().unwrap();
            state.handles += 1;
            let handle = format!("h{}", state.handles);
            let run = state.runs.iter_mut().rev();
            let mut run = run.filter(|run| run.request == id && run.engine == self.id);
            match run.next().filter(|run| !run.has_ended) {
                Some(run) => {
                    run.is_stopped |= last;
                    (Some(run.last_event), handle)
                }
                None => (None, handle),
            }
        };
        self.engines.record.line(&format!(
            "engine {}: kv-move of {id} to {to}, last {last}, events made {made:?}",
            self.id
        ));
        let Some(made) = made else {
            respond(stream, "404 Not Found", "Content-Type: application/json\r\n", "{}");
            return;
        };
        // The memory of some thousand tokens takes some ten milliseconds on the link.
        sleep_ms(25);
        if let Ok(to) = to.parse() {
            let mut state = self.engines.state.lock().unwrap();
            state.copies.push((to, format!("{}/{handle}", self.address)));
        }
        let body = format!("{{\"handle\":\"{handle}\",\"created\":{made}}}");
        respond(stream, "200 OK", "Content-Type: application/json\r\n", &body);
    }

    /// Runs a request: a stream of events.
    fn run(&self, mut stream: TcpStream, request: &Message, incarnation: &Incarnation) {
        let id = request.header("x-attempt-id").to_owned();
        let expected = request.header("x-expect-replica");
        let echo = format!("X-Attempt-Id: {id}\r\n");
        if !expected.is_empty() && expected != self.id {
            let headers = format!("{echo}X-Not-Executed: 1\r\n");
            respond(&mut stream, "421 Misdirected Request", &headers, "");
            return;
        }
        let behaviour = self.behaviour.lock().unwrap().clone();
        let source = request.header("kv-from").to_owned();
        let first_event = request.header("last-event-id").parse::<u64>().unwrap_or(0) + 1;
        let index = {
            let mut state = self.engines.state.lock().unwrap();
            let found =
                state.copies.iter().position(|(at, name)| *at == self.address && *name == source);
            match found {
                Some(found) => drop(state.copies.remove(found)),
                None if source.is_empty() => {}
                None => {
                    drop(state);
                    let headers = format!("{echo}X-Not-Executed: 1\r\n");
                    respond(&mut stream, "503 Service Unavailable", &headers, "");
                    return;
                }
            }
            if let Ok(backup) = request.header("x-kv-backup").parse::<SocketAddr>() {
                state.copies.push((backup, format!("{backup}/{id}")));
            }
            let now_ms = self.engines.record.now_ms();
            state.runs.push(RunInfo {
                request: id.clone(),
                engine: self.id.clone(),
                version: incarnation.version.clone(),
                first_event,
                began_ms: now_ms,
                last_work_ms: now_ms,
                last_event: first_event - 1,
                is_stopped: false,
                has_ended: false,
                from_memory: !source.is_empty(),
            });
            state.runs.len() - 1
        };
        self.engines.record.line(&format!(
            "engine {} (version {}) runs {id} from event {first_event}{}",
            self.id,
            incarnation.version,
            if source.is_empty() { String::new() } else { format!(", from memory {source}") }
        ));
        let framing = match behaviour.is_unframed {
            true => "Connection: close\r\n",
            false => "Transfer-Encoding: chunked\r\n",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Response-Signature: signed-by-{}\r\n\
             Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n{framing}\r\n",
            self.id
        );
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        let why = self.write_events(&mut stream, &behaviour, incarnation, index, &mut is_open);
        {
            let mut state = self.engines.state.lock().unwrap();
            state.runs[index].has_ended = true;
        }
        let last_event = self.engines.runs()[index].last_event;
        self.engines
            .record
            .line(&format!("engine {}: run of {id} ends after event {last_event}: {why}", self.id));
        if why == "complete" && !behaviour.is_unframed && is_open {
            let _ = stream.write_all(b"0\r\n\r\n");
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Makes the events of a run. Returns why it ends.
    fn write_events(
        &self,
        stream: &mut TcpStream,
        behaviour: &Behaviour,
        incarnation: &Incarnation,
        index: usize,
        is_open: &mut bool,
    ) -> &'static str {
        loop {
            let wake = Instant::now() + Duration::from_millis(behaviour.interval_ms);
            loop {
                if !self.awake(incarnation) {
                    return "the engine has ended";
                }
                if self.engines.state.lock().unwrap().runs[index].is_stopped {
                    return "stopped by kv-move";
                }
                if *is_open && is_closed(stream) {
                    *is_open = false;
                    let id = self.engines.runs()[index].request.clone();
                    self.engines.record.line(&format!(
                        "engine {}: the connection of {id} is closed{}",
                        self.id,
                        if behaviour.drops_on_close { "" } else { "; its run goes on" }
                    ));
                }
                if !*is_open && behaviour.drops_on_close {
                    return "its connection is closed";
                }
                match wake.saturating_duration_since(Instant::now()) {
                    left if left.is_zero() => break,
                    left => thread::sleep(left.min(Duration::from_millis(5))),
                }
            }
            let event = {
                let mut state = self.engines.state.lock().unwrap();
                let run = &mut state.runs[index];
                run.last_event += 1;
                run.last_work_ms = self.engines.record.now_ms();
                run.last_event
            };
            let version = &incarnation.version;
            let text = format!("id: {event}\ndata: token {event} of version {version}\n\n");
            let bytes = match behaviour.is_unframed {
                true => text,
                false => format!("{:x}\r\n{text}\r\n", text.len()),
            };
            if *is_open {
                let _ = stream.write_all(bytes.as_bytes());
            }
            if event >= behaviour.events {
                return "complete";
            }
        }
    }
}

// ------------------------------------------------------------------------------------- daemons

/// A daemon process, which is killed on drop.
pub struct Daemon {
    pub vm: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    child: Child,
    record: Record,
}

/// Ports of all daemons of a case, which differ by IP address.
pub struct Ports {
    ports: [u16; 4],
}

impl Ports {
    /// Finds free ports.
    pub fn find() -> Self {
        let listeners = [(); 4].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
        Ports { ports: listeners.map(|listener| listener.local_addr().unwrap().port()) }
    }
}

impl Daemon {
    /// Starts daemon `number` with the settings of the template in `deploy/daemon.json`.
    pub fn start(
        record: &Record,
        ports: &Ports,
        folder: &Path,
        store: &Store,
        number: u8,
        zone: &str,
        seeds: &[u8],
    ) -> Self {
        let ip = |number: u8| format!("127.0.31.{}", 10 + number);
        let [callers, readiness, metrics, peers] = ports.ports;
        let own = ip(number);
        let vm = format!("edge-{zone}-{number}");
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{}:{peers}\"", ip(*seed))).collect();
        let text = format!(
            "{{ \"vm\": \"{vm}\", \"zone\": \"{zone}\",\n\
             \"zone_regions\": {{ \"a\": \"r\", \"b\": \"r\" }},\n\
             \"callers_listen\": \"{own}:{callers}\", \"readiness_listen\": \"{own}:{readiness}\",\n\
             \"metrics_listen\": \"{own}:{metrics}\", \"peers_listen\": \"{own}:{peers}\",\n\
             \"seeds\": [{}],\n\"configuration\": {{ \"store\": \"{}\" }},\n\
             \"shutdown_grace_s\": 8, \"retry_ratio\": 0.2, \"retry_fixed\": 54, \"retry_window_s\": 10,\n\
             \"memory_mb\": 110, \"max_descriptors\": 4100 }}\n",
            seeds.join(", "),
            store.address
        );
        let settings = folder.join(format!("{vm}.json"));
        fs::write(&settings, text).unwrap_or_else(|err| cannot_run(&err.to_string()));
        let child = Daemon::spawn(&settings);
        record.line(&format!("daemon {vm} starts"));
        Daemon {
            callers: format!("{own}:{callers}").parse().unwrap(),
            readiness: format!("{own}:{readiness}").parse().unwrap(),
            vm,
            settings,
            child,
            record: record.clone(),
        }
    }

    /// Runs the command of the deploy file, which finds its settings through the environment.
    fn spawn(settings: &Path) -> Child {
        let program = std::env::var("DAEMON").unwrap_or("target/release/gypsumchute-daemon".into());
        let logs = match std::env::var("LOGS") {
            Ok(folder) => {
                let name = settings.file_stem().unwrap().to_string_lossy().into_owned();
                let path = Path::new(&folder).join(format!("{name}.log"));
                File::options().create(true).append(true).open(path).unwrap().into()
            }
            Err(_) => Stdio::null(),
        };
        let command = Command::new(program)
            .env("GYPSUMCHUTE_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(logs)
            .stderr(Stdio::inherit())
            .spawn();
        command.unwrap_or_else(|err| cannot_run(&format!("daemon: {err}")))
    }

    /// Waits until the daemon is ready.
    pub fn wait_ready(&self) {
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(20) {
            let request = format!("GET /api/readyz HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
            let response = TcpStream::connect(self.readiness).ok().and_then(|mut stream| {
                stream.write_all(request.as_bytes()).ok()?;
                read_head(&mut stream, &mut Vec::new())
            });
            if response.is_some_and(|response| response.status() == 200) {
                return;
            }
            sleep_ms(50);
        }
        cannot_run(&format!("daemon {} does not get ready", self.vm));
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        self.record.line(&format!("daemon {} is killed", self.vm));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.record.line(&format!("daemon {} gets SIGTERM", self.vm));
        let _ = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status();
    }

    /// Reports whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ------------------------------------------------------------------------------------- callers

/// A stream that a caller receives.
pub struct CallerStream {
    stream: TcpStream,
    rest: Vec<u8>,
    pub head: Message,
    /// Bytes of the body so far, without the chunks' sizes.
    pub body: Vec<u8>,
    /// Whether the last chunk was received.
    pub is_complete: bool,
}

/// Request of a caller on `route`, with a prompt and at most `max_output` tokens.
pub fn stream_request(
    route: &str,
    id: &str,
    max_output: u64,
    deadline_ms: u64,
    more: &str,
) -> String {
    let body = "{\"prompt\":\"a condition survey\"}";
    let mut text =
        format!("POST /{route}/write HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n");
    let _ = write!(
        text,
        "X-Model: m\r\nX-Token-Usage: 300,{max_output}\r\nX-Length-Hint: {max_output}\r\n\
         X-Prefix-Hash: 5c1e07a2:80,{id}:220\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         Authorization: Bearer {KEY}\r\nContent-Type: application/json\r\n{more}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    text
}

impl CallerStream {
    /// Sends `request` on a new connection and reads the head of the response.
    pub fn open(daemon: SocketAddr, request: &str) -> Option<Self> {
        let mut stream = TcpStream::connect_timeout(&daemon, Duration::from_secs(1)).ok()?;
        let _ = stream.set_read_timeout(Some(Duration::from_secs(40)));
        stream.write_all(request.as_bytes()).ok()?;
        let mut rest = Vec::new();
        let head = read_head(&mut stream, &mut rest)?;
        let mut opened = CallerStream { stream, rest, head, body: Vec::new(), is_complete: false };
        let length = opened.head.header("content-length").parse::<usize>();
        if let Ok(length) = length {
            while opened.rest.len() < length && opened.fill() {}
            opened.is_complete = opened.rest.len() >= length;
            opened.body = std::mem::take(&mut opened.rest);
        }
        Some(opened)
    }

    fn fill(&mut self) -> bool {
        let mut buffer = [0u8; 4096];
        match self.stream.read(&mut buffer) {
            Ok(0) | Err(_) => false,
            Ok(count) => {
                self.rest.extend_from_slice(&buffer[..count]);
                true
            }
        }
    }

    /// Reads the next chunk. Returns false at the end of the response, whole or not.
    pub fn next_chunk(&mut self) -> bool {
        loop {
            if self.is_complete {
                return false;
            }
            let line = self.rest.windows(2).position(|window| window == b"\r\n");
            let size = line.and_then(|end| {
                let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                Some((end + 2, usize::from_str_radix(text.trim(), 16).ok()?))
            });
            if let Some((start, size)) = size
                && self.rest.len() >= start + size + 2
            {
                self.body.extend_from_slice(&self.rest[start..start + size]);
                self.rest.drain(..start + size + 2);
                self.is_complete = size == 0;
                return size > 0;
            }
            if !self.fill() {
                return false;
            }
        }
    }

    /// Reads until the body holds `events` events, or to the end.
    pub fn read_events(&mut self, events: usize) {
        while self.events().len() < events && self.next_chunk() {}
    }

    /// Returns the events of the body: their ids and their data.
    pub fn events(&self) -> Vec<(u64, String)> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let blocks = text.split("\n\n").filter_map(|block| {
            let mut lines = block.lines();
            let id = lines.find_map(|line| line.strip_prefix("id: ")?.parse().ok())?;
            let data = block.lines().find_map(|line| line.strip_prefix("data: "))?;
            Some((id, data.to_owned()))
        });
        blocks.collect()
    }
}

/// Returns a folder for the settings files of a case, which is removed on drop.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create() -> Self {
        let name = format!("gypsumchute-case-{}-{}", std::process::id(), wall_ms());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap_or_else(|err| cannot_run(&err.to_string()));
        TemporaryFolder(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
