//! Stand-ins for the scripts of the second review: the platform's store, replicas, requesters, and a
//! small deployment of daemons that run as separate processes. Standard library only.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time after which a script is given up.
const MAX_TIME: Duration = Duration::from_secs(110);
/// Time of the heartbeats of replicas, in milliseconds.
pub const HEARTBEAT_MS: u64 = 1_200;
/// Time for which an engine keeps an unused copy, in milliseconds (`handleS`).
pub const HANDLE_MS: u64 = 5_000;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn started() -> Instant {
    static STARTED: OnceLock<Instant> = OnceLock::new();
    *STARTED.get_or_init(Instant::now)
}

/// Milliseconds since the start of the script.
pub fn now_ms() -> u64 {
    started().elapsed().as_millis() as u64
}

/// Lines of `record.txt`.
#[derive(Clone, Default)]
pub struct Record(Arc<Mutex<Vec<String>>>);

impl Record {
    pub fn add(&self, line: impl AsRef<str>) {
        lock(&self.0).push(format!("{:>7} ms  {}", now_ms(), line.as_ref()));
    }

    pub fn write(&self, folder: &Path) {
        let text = lock(&self.0).join("\n") + "\n";
        if let Err(err) = fs::write(folder.join("record.txt"), text) {
            eprintln!("cannot write record.txt: {err}");
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(*chunk.get(index).unwrap_or(&0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// Head and body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads from a connection with a buffer for what follows a message.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 << 10];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Ok(())
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads a head.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let mut message = Message { line: self.take_line()?, ..Message::default() };
        loop {
            let line = self.take_line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads a head and the body that its length tells.
    pub fn read_sized(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        message.body = self.take(length.unwrap_or(0))?;
        Ok(message)
    }

    /// Reads a chunk of a body, which is empty at its end.
    fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.take_line()?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let chunk = self.take(size)?;
        self.take_line()?;
        Ok(chunk)
    }

    /// Reads the rest of the body of `head` and calls `on_bytes` for each part. The body is whole if
    /// this returns without an error.
    pub fn read_body(
        &mut self,
        head: &Message,
        mut on_bytes: impl FnMut(&[u8]) -> bool,
    ) -> io::Result<()> {
        if head.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() || !on_bytes(&chunk) {
                    return Ok(());
                }
            }
        }
        if let Some(length) = head.header("content-length").and_then(|text| text.parse().ok()) {
            let body = self.take(length)?;
            on_bytes(&body);
            return Ok(());
        }
        loop {
            let bytes = std::mem::take(&mut self.buffer);
            if !bytes.is_empty() && !on_bytes(&bytes) {
                return Ok(());
            }
            match self.fill() {
                Ok(()) => {}
                Err(err) if err.kind() == io::ErrorKind::UnexpectedEof => return Ok(()),
                Err(err) => return Err(err),
            }
        }
    }
}

/// Reports whether the other side has closed `stream`, without reading anything.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(err) => err.kind() != io::ErrorKind::WouldBlock,
    }
}

fn respond(stream: &mut TcpStream, status: &str, headers: &[(&str, &str)], body: &[u8]) {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let _ = stream.write_all(&[head.as_bytes(), body].concat());
}

/// A listener whose connections can all be broken at once.
struct Server {
    stop: Arc<AtomicBool>,
    open: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

impl Server {
    fn start(
        address: SocketAddr,
        serve: impl Fn(TcpStream, &AtomicBool) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let deadline = Instant::now() + Duration::from_secs(3);
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(err) if Instant::now() > deadline => return Err(err),
                Err(_) => sleep_ms(5),
            }
        };
        listener.set_nonblocking(true)?;
        let (stop, open) =
            (Arc::new(AtomicBool::new(false)), Arc::<Mutex<HashMap<_, _>>>::default());
        let server = Server { stop: stop.clone(), open: open.clone() };
        let serve = Arc::new(serve);
        thread::spawn(move || {
            let mut next_id = 0;
            while !stop.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_micros(500));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let id = next_id;
                next_id += 1;
                if let Ok(copy) = stream.try_clone() {
                    lock(&open).insert(id, copy);
                }
                let (serve, stop, open) = (serve.clone(), stop.clone(), open.clone());
                let _ = thread::Builder::new().stack_size(256 << 10).spawn(move || {
                    serve(stream, &stop);
                    lock(&open).remove(&id);
                });
            }
        });
        Ok(server)
    }

    /// Closes the listener and breaks all connections.
    fn kill(&self) {
        self.stop.store(true, Ordering::SeqCst);
        for (_, stream) in lock(&self.open).drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    /// Accepts connections and answers nothing.
    Silent,
}

struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

struct StoreState {
    mode: StoreMode,
    revision: u64,
    items: BTreeMap<String, Item>,
    log: Vec<(u64, String, Option<Vec<u8>>)>,
    /// When each replica last wrote.
    beats: BTreeMap<String, Instant>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

fn json_item(key: &str, value: &[u8], revision: u64, created: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}",
        base64(value)
    )
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let state = StoreState {
            mode: StoreMode::Up,
            revision: 10,
            items: BTreeMap::new(),
            log: Vec::new(),
            beats: BTreeMap::new(),
        };
        let store = Store { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let served = store.clone();
        let server = Server::start(address, move |stream, _| served.serve(stream))?;
        std::mem::forget(server);
        let sweeper = store.clone();
        thread::spawn(move || {
            loop {
                sleep_ms(100);
                sweeper.expire();
            }
        });
        Ok(store)
    }

    pub fn set_mode(&self, mode: StoreMode) {
        let mut state = lock(&self.state.0);
        state.mode = mode;
        // Leases don't run out while the store is away.
        let now = Instant::now();
        state.beats.values_mut().for_each(|beat| *beat = now);
        self.state.1.notify_all();
    }

    /// Writes an item. Returns the time of the acknowledgement, or `None` while the store is away.
    pub fn put(&self, key: &str, value: &str) -> Option<u64> {
        let mut state = lock(&self.state.0);
        if state.mode != StoreMode::Up {
            return None;
        }
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let value = value.as_bytes().to_vec();
        state.log.push((revision, key.to_owned(), Some(value.clone())));
        state.items.insert(key.to_owned(), Item { value, revision, created });
        self.state.1.notify_all();
        Some(now_ms())
    }

    pub fn delete(&self, key: &str) {
        let mut state = lock(&self.state.0);
        state.beats.remove(key);
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.log.push((revision, key.to_owned(), None));
            self.state.1.notify_all();
        }
    }

    /// Writes the entry of a replica if it changed. Returns whether the store took the heartbeat.
    fn beat(&self, key: &str, value: &str, is_change: bool) -> bool {
        {
            let mut state = lock(&self.state.0);
            if state.mode != StoreMode::Up {
                return false;
            }
            state.beats.insert(key.to_owned(), Instant::now());
            if !is_change && state.items.contains_key(key) {
                return true;
            }
        }
        self.put(key, value).is_some()
    }

    /// Removes the entries of replicas that have been silent for three heartbeats.
    fn expire(&self) {
        let limit = Duration::from_millis(3 * HEARTBEAT_MS);
        let silent: Vec<String> = {
            let state = lock(&self.state.0);
            if state.mode != StoreMode::Up {
                return;
            }
            let silent = state.beats.iter().filter(|(_, beat)| beat.elapsed() > limit);
            silent.map(|(key, _)| key.clone()).collect()
        };
        silent.iter().for_each(|key| self.delete(key));
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(request) = reader.read_sized() {
            let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
            let query: BTreeMap<&str, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name, percent_decode(value)))
                .collect();
            let Some((status, body)) = self.answer(path, &query, &writer) else { return };
            let json = [("Content-Type", "application/json")];
            respond(&mut writer, status, &json, body.as_bytes());
        }
    }

    /// Returns the answer to a call, or `None` if there is none.
    fn answer(
        &self,
        path: &str,
        query: &BTreeMap<&str, String>,
        stream: &TcpStream,
    ) -> Option<(&'static str, String)> {
        let text = |name: &str| query.get(name).map_or("", String::as_str);
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
        let prefix = text("pathPrefix");
        let mut state = lock(&self.state.0);
        loop {
            if state.mode == StoreMode::Silent {
                // The connection stays silent for good.
                drop(state);
                while !is_closed(stream) {
                    sleep_ms(20);
                }
                return None;
            }
            match path {
                "/api/kv-key" => {
                    let key = text("key");
                    return Some(match state.items.get(key) {
                        Some(item) => {
                            ("200 OK", json_item(key, &item.value, item.revision, item.created))
                        }
                        None => ("404 Not Found", "{}".to_owned()),
                    });
                }
                "/api/kv-range" => {
                    let after = text("after");
                    let items = state.items.iter();
                    let items = items.filter(|(key, _)| {
                        key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
                    });
                    let entries: Vec<String> = items
                        .map(|(key, item)| json_item(key, &item.value, item.revision, item.created))
                        .collect();
                    let body = format!(
                        "{{\"entries\":[{}],\"truncated\":false,\"at\":{}}}",
                        entries.join(","),
                        state.revision
                    );
                    return Some(("200 OK", body));
                }
                "/api/kv-watch" => {
                    let after = number("after");
                    let log = state.log.iter();
                    let events = log
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
                    let events: Vec<String> = events
                        .map(|(revision, key, value)| match value {
                            Some(value) => json_item(key, value, *revision, *revision),
                            None => format!(
                                "{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"
                            ),
                        })
                        .collect();
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let events = events.join(",");
                        let at = state.revision;
                        return Some(("200 OK", format!("{{\"events\":[{events}],\"at\":{at}}}")));
                    }
                    let waited = self.state.1.wait_timeout(state, left);
                    state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
                }
                _ => return Some(("404 Not Found", "{}".to_owned())),
            }
        }
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let hex = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.filter(|_| first == b'%').and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

// ---------------------------------------------------------------------------------------------
// Replicas

/// What a replica does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Works for a time and answers with a body.
    Plain { work_ms: u64 },
    /// Streams one event for each 4 tokens of the maximum output.
    Stream { first_ms: u64, event_ms: u64 },
}

/// A request that reached a replica.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at_ms: u64,
    pub replica: String,
    /// Software version of the replica.
    pub version: String,
    pub attempt: String,
    pub method: String,
    pub target: String,
    pub deadline_ms: Option<u64>,
    /// Whether the replica ran the request.
    pub ran: bool,
    /// Whether the request goes on from a copy.
    pub from_copy: bool,
    /// When the work ended, if it has.
    pub ended_ms: Option<u64>,
    /// How the work ended.
    pub end: &'static str,
}

/// Arrivals and copies at all replicas.
#[derive(Clone, Default)]
pub struct Floor {
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Backups and copies by holder and name; when the last part arrived.
    copies: Arc<Mutex<HashMap<(SocketAddr, String), Instant>>>,
    next_handle: Arc<AtomicU64>,
    record: Record,
}

impl Floor {
    pub fn new(record: &Record) -> Self {
        Floor { record: record.clone(), ..Floor::default() }
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }

    fn add(&self, arrival: Arrival) -> usize {
        let Arrival { replica, version, attempt, method, target, ran, from_copy, .. } = &arrival;
        self.record.add(format!(
            "replica {replica} ({version}): {method} {target} attempt {attempt}, {}{}",
            if *ran { "runs" } else { "not run" },
            if *from_copy { ", from a copy" } else { "" }
        ));
        let mut arrivals = lock(&self.arrivals);
        arrivals.push(arrival);
        arrivals.len() - 1
    }

    fn end(&self, index: usize, end: &'static str) {
        let mut arrivals = lock(&self.arrivals);
        let arrival = &mut arrivals[index];
        arrival.ended_ms = Some(now_ms());
        arrival.end = end;
        self.record.add(format!(
            "replica {}: the work on attempt {} ends: {end}",
            arrival.replica, arrival.attempt
        ));
    }
}

/// How replicas of a service start.
#[derive(Clone)]
pub struct ReplicaKind {
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub work: Work,
    /// Time for which a replica is cold, in milliseconds.
    pub cold_ms: u64,
    /// Requests in one second at which a cold replica falls over.
    pub cold_crash_per_s: usize,
}

/// One start of a replica.
struct Incarnation {
    id: String,
    version: String,
    address: SocketAddr,
    born: u64,
    kind: ReplicaKind,
    sequence: AtomicU64,
    cold_until: Arc<Mutex<Option<Instant>>>,
    /// When requests ran in the last second, while the replica is cold.
    cold_runs: Mutex<Vec<Instant>>,
    crashed: Arc<AtomicBool>,
    leaving: Arc<AtomicBool>,
    running: AtomicU64,
    alive: Arc<AtomicBool>,
    runs: Mutex<BTreeMap<String, u64>>,
    stopped: Mutex<BTreeSet<String>>,
    floor: Floor,
}

/// A replica, which can be killed and started again under its id.
pub struct Replica {
    pub id: String,
    /// Address in the registry.
    pub address: SocketAddr,
    /// Address on which the replica listens, which differs behind a proxy.
    pub listen: SocketAddr,
    leaving: Arc<AtomicBool>,
    cold_until: Arc<Mutex<Option<Instant>>>,
    crashed: Arc<AtomicBool>,
    kind: ReplicaKind,
    store: Store,
    floor: Floor,
    current: Mutex<Option<(Server, Arc<AtomicBool>)>>,
}

impl Replica {
    pub fn new(
        id: &str,
        address: SocketAddr,
        kind: &ReplicaKind,
        store: &Store,
        floor: &Floor,
    ) -> Self {
        Replica {
            id: id.to_owned(),
            address,
            listen: address,
            leaving: Arc::default(),
            cold_until: Arc::default(),
            crashed: Arc::default(),
            kind: kind.clone(),
            store: store.clone(),
            floor: floor.clone(),
            current: Mutex::new(None),
        }
    }

    /// Starts the replica with this software version. It registers at once, and writes each heartbeat
    /// afterwards, as far as the store takes it. `is_cold` tells whether it is cold for a while.
    pub fn start(&self, version: &str, is_cold: bool) -> io::Result<()> {
        let alive = Arc::new(AtomicBool::new(true));
        *lock(&self.cold_until) = None;
        self.crashed.store(false, Ordering::SeqCst);
        if is_cold {
            self.turn_cold();
        }
        let incarnation = Arc::new(Incarnation {
            id: self.id.clone(),
            version: version.to_owned(),
            address: self.address,
            born: unix_ms(),
            kind: self.kind.clone(),
            sequence: AtomicU64::new(0),
            cold_until: self.cold_until.clone(),
            cold_runs: Mutex::default(),
            crashed: self.crashed.clone(),
            leaving: self.leaving.clone(),
            running: AtomicU64::new(0),
            alive: alive.clone(),
            runs: Mutex::default(),
            stopped: Mutex::default(),
            floor: self.floor.clone(),
        });
        let served = incarnation.clone();
        let server = Server::start(self.listen, move |stream, _| served.serve(stream))?;
        self.floor.record.add(format!("replica {} starts, version {version}", self.id));
        *lock(&self.current) = Some((server, alive.clone()));
        let (store, key) = (self.store.clone(), format!("servers/{}", self.id));
        thread::spawn(move || {
            let (mut written, mut beaten) = (None, Instant::now());
            while alive.load(Ordering::SeqCst) {
                let cold_ms = incarnation.cold_left_ms();
                let entry = incarnation.entry(cold_ms);
                let state = (cold_ms > 0, incarnation.leaving.load(Ordering::SeqCst));
                let is_change = written != Some(state);
                if (is_change || beaten.elapsed() >= Duration::from_millis(HEARTBEAT_MS))
                    && store.beat(&key, &entry, is_change)
                {
                    (written, beaten) = (Some(state), Instant::now());
                }
                sleep_ms(20);
            }
        });
        Ok(())
    }

    /// The replica becomes cold.
    pub fn turn_cold(&self) {
        self.floor.record.add(format!("replica {} is cold", self.id));
        *lock(&self.cold_until) = Some(Instant::now() + Duration::from_millis(self.kind.cold_ms));
    }

    /// Reports whether the replica has fallen over, because it got too many requests while it was cold.
    pub fn has_crashed(&self) -> bool {
        self.crashed.load(Ordering::SeqCst)
    }

    /// Reports `draining`; the replica serves on.
    pub fn leave(&self) {
        self.floor.record.add(format!("replica {} reports draining", self.id));
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Kills the replica: its connections break, and it holds nothing any more.
    pub fn kill(&self) {
        if let Some((server, alive)) = lock(&self.current).take() {
            self.floor.record.add(format!("replica {} is killed", self.id));
            alive.store(false, Ordering::SeqCst);
            server.kill();
            lock(&self.floor.copies).retain(|(holder, _), _| *holder != self.address);
        }
    }
}

impl Incarnation {
    fn cold_left_ms(&self) -> u64 {
        let until =
            lock(&self.cold_until).map(|until| until.saturating_duration_since(Instant::now()));
        until.map_or(0, |left| left.as_millis() as u64)
    }

    fn entry(&self, cold_ms: u64) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let ReplicaKind { service, zone, slots, .. } = &self.kind;
        let state = if self.leaving.load(Ordering::SeqCst) { "draining" } else { "ready" };
        format!(
            "{{\"backend\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"{}\",\
             \"slots\":{slots},\"state\":\"{state}\",\"warmupLeftMs\":{cold_ms},\"phase\":\"unified\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\
             \"born\":{}}}",
            self.address, self.version, self.born
        )
    }

    fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
        let mut reader = Reader::new(stream);
        while let Ok(request) = reader.read_sized() {
            if !self.is_alive() {
                return;
            }
            let goes_on = match (request.method(), request.target()) {
                ("GET", "/api/report") => self.report(&mut writer),
                ("GET", "/healthz") => self.health(&mut writer),
                ("POST", "/api/kv-move") => self.move_copy(&mut writer, &request),
                ("DELETE", target) if target.starts_with("/api/kv-handle/") => {
                    respond(&mut writer, "200 OK", &[], b"{}");
                    true
                }
                _ => self.run(&mut writer, &request),
            };
            if !goes_on || !self.is_alive() {
                return;
            }
        }
    }

    fn report(&self, writer: &mut TcpStream) -> bool {
        let body = format!(
            "{{\"phase\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"sequence\":0,\"queued\":0,\"active\":{},\"kvUsed\":0,\"kvTotal\":34582,\
             \"handles\":0,\"state\":\"ready\",\"born\":{},\"runs\":[]}}",
            self.running.load(Ordering::SeqCst),
            self.born
        );
        respond(writer, "200 OK", &[("Content-Type", "application/json")], body.as_bytes());
        true
    }

    fn health(&self, writer: &mut TcpStream) -> bool {
        let cold_ms = self.cold_left_ms().to_string();
        let headers = [("X-Replica-Id", self.id.as_str()), ("X-Warmup-Ms", cold_ms.as_str())];
        respond(writer, "200 OK", &headers, b"");
        true
    }

    /// Copies the memory of a run to another replica.
    fn move_copy(&self, writer: &mut TcpStream, request: &Message) -> bool {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let field = |name: &str| {
            let rest = body.split(&format!("\"{name}\":\"")).nth(1)?;
            rest.split('"').next().map(str::to_owned)
        };
        let (id, to) = (field("id").unwrap_or_default(), field("to"));
        let events = lock(&self.runs).get(&id).copied();
        match (events, to.and_then(|to| to.parse::<SocketAddr>().ok())) {
            (Some(events), Some(to)) => {
                if body.contains("\"last\":true") {
                    lock(&self.stopped).insert(id);
                }
                let handle = format!("h{}", self.floor.next_handle.fetch_add(1, Ordering::SeqCst));
                let name = format!("{}/{handle}", self.address);
                lock(&self.floor.copies).insert((to, name), Instant::now());
                let body = format!("{{\"handle\":\"{handle}\",\"created\":{events}}}");
                respond(writer, "200 OK", &[], body.as_bytes());
            }
            _ => respond(writer, "404 Not Found", &[], b"{}"),
        }
        true
    }

    /// Takes the copy that the request names. Returns whether there is one.
    fn take_copy(&self, source: &str) -> bool {
        let own = format!("{}/", self.address);
        let name = source.strip_prefix(&own).unwrap_or(source).to_owned();
        let copy = lock(&self.floor.copies).remove(&(self.address, name));
        copy.is_some_and(|since| since.elapsed() < Duration::from_millis(HANDLE_MS))
    }

    fn run(&self, writer: &mut TcpStream, request: &Message) -> bool {
        let attempt = request.header("x-attempt-id").unwrap_or("-").to_owned();
        let expected = request.header("x-expect-replica");
        let source = request.header("kv-from");
        let deadline_ms = request.header("x-deadline-ms").and_then(|text| text.parse().ok());
        let mut arrival = Arrival {
            at_ms: now_ms(),
            replica: self.id.clone(),
            version: self.version.clone(),
            attempt: attempt.clone(),
            method: request.method().to_owned(),
            target: request.target().to_owned(),
            deadline_ms,
            ran: true,
            from_copy: source.is_some(),
            ended_ms: None,
            end: "",
        };
        let echo = [("X-Attempt-Id", attempt.as_str())];
        if expected.is_some_and(|expected| expected != self.id) {
            arrival.ran = false;
            self.floor.add(arrival);
            let headers = [echo[0], ("X-Replica-Id", self.id.as_str())];
            respond(writer, "421 Misdirected Request", &headers, b"");
            return true;
        }
        let is_full = self.running.load(Ordering::SeqCst) >= u64::from(self.kind.slots) * 4;
        let lacks_copy = source.is_some_and(|source| !self.take_copy(source));
        if is_full || lacks_copy {
            arrival.ran = false;
            self.floor.add(arrival);
            let headers = [echo[0], ("X-Not-Executed", "1")];
            respond(writer, "503 Service Unavailable", &headers, b"");
            return true;
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let index = self.floor.add(arrival);
        self.count_cold_run();
        let end = match self.kind.work {
            Work::Plain { work_ms } => self.run_plain(writer, &attempt, work_ms),
            Work::Stream { first_ms, event_ms } => {
                lock(&self.runs).insert(attempt.clone(), 0);
                let end = self.run_stream(writer, request, &attempt, first_ms, event_ms);
                lock(&self.runs).remove(&attempt);
                end
            }
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.floor.end(index, end);
        end == "answered"
    }

    /// Counts a run, and falls over if there are too many while the replica is cold.
    fn count_cold_run(&self) {
        if self.cold_left_ms() == 0 {
            return;
        }
        let mut runs = lock(&self.cold_runs);
        runs.retain(|at| at.elapsed() < Duration::from_secs(1));
        runs.push(Instant::now());
        if runs.len() >= self.kind.cold_crash_per_s && !self.crashed.swap(true, Ordering::SeqCst) {
            self.floor
                .record
                .add(format!("replica {} falls over: cold, and too many requests", self.id));
            self.alive.store(false, Ordering::SeqCst);
        }
    }

    /// Works for a while. Returns why the work ends early, if it does.
    fn work(&self, writer: &TcpStream, ms: u64) -> Option<&'static str> {
        let until = Instant::now() + Duration::from_millis(ms);
        loop {
            if !self.is_alive() {
                return Some("replica killed");
            }
            if is_closed(writer) {
                return Some("channel closed");
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            thread::sleep(left.min(Duration::from_millis(10)));
        }
    }

    fn run_plain(&self, writer: &mut TcpStream, attempt: &str, work_ms: u64) -> &'static str {
        if let Some(end) = self.work(writer, work_ms) {
            return end;
        }
        let signature = format!("sig.{}.{attempt}", self.id);
        let headers = [("X-Attempt-Id", attempt), ("X-Response-Signature", signature.as_str())];
        respond(writer, "200 OK", &headers, format!("answer to {attempt}\n").as_bytes());
        "answered"
    }

    fn run_stream(
        &self,
        writer: &mut TcpStream,
        request: &Message,
        attempt: &str,
        first_ms: u64,
        event_ms: u64,
    ) -> &'static str {
        let usage = request.header("x-token-usage").unwrap_or_default();
        let tokens = usage.split(',').nth(1).and_then(|text| text.parse().ok()).unwrap_or(4);
        let events = u64::max(tokens / 4, 1);
        let last = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let backup = request.header("x-kv-backup").and_then(|text| text.parse().ok());
        let backup: Option<(SocketAddr, String)> =
            backup.map(|holder| (holder, attempt.to_owned()));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Attempt-Id: {attempt}\r\nX-Response-Signature: sig.{}.{attempt}\r\n\
             X-Weight-Versions: 1\r\n\r\n",
            self.id
        );
        if let Some(end) = self.work(writer, first_ms) {
            return end;
        }
        if writer.write_all(head.as_bytes()).is_err() {
            return "channel closed";
        }
        for event in last + 1..=events {
            if event > last + 1
                && let Some(end) = self.work(writer, event_ms)
            {
                return end;
            }
            if lock(&self.stopped).contains(attempt) {
                let _ = writer.shutdown(Shutdown::Both);
                return "stopped by a move";
            }
            lock(&self.runs).insert(attempt.to_owned(), event);
            let text = format!("id: {event}\ndata: {} {}\n\n", self.version, self.id);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if writer.write_all(chunk.as_bytes()).is_err() {
                return "channel closed";
            }
            if let Some(backup) = &backup {
                lock(&self.floor.copies).insert(backup.clone(), Instant::now());
            }
        }
        if writer.write_all(b"0\r\n\r\n").is_err() {
            return "channel closed";
        }
        if let Some(backup) = &backup {
            lock(&self.floor.copies).remove(backup);
        }
        "answered"
    }
}

// ---------------------------------------------------------------------------------------------
// A proxy that partitions

/// A proxy in front of a replica. While it is cut, nothing passes in either direction, and neither side
/// learns that the other one has closed.
#[derive(Clone)]
pub struct Proxy {
    cut: Arc<AtomicBool>,
    /// Beginning of the requests after the first of which the proxy cuts itself.
    cut_after: Arc<Mutex<Option<Vec<u8>>>>,
    record: Record,
}

impl Proxy {
    pub fn start(address: SocketAddr, target: SocketAddr, record: &Record) -> io::Result<Self> {
        let proxy =
            Proxy { cut: Arc::default(), cut_after: Arc::default(), record: record.clone() };
        let served = proxy.clone();
        let server = Server::start(address, move |client, _| {
            served.wait_whole();
            let Ok(replica) = TcpStream::connect(target) else { return };
            let _ = replica.set_nodelay(true);
            let (Ok(from), Ok(to)) = (replica.try_clone(), client.try_clone()) else { return };
            let back = served.clone();
            let pump = thread::spawn(move || back.pump(from, to, false));
            served.pump(client, replica, true);
            let _ = pump.join();
        })?;
        std::mem::forget(server);
        Ok(proxy)
    }

    /// Cuts the proxy 20 ms after a request that begins like this has passed.
    pub fn cut_after(&self, beginning: &str) {
        *lock(&self.cut_after) = Some(beginning.as_bytes().to_vec());
    }

    pub fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    pub fn heal(&self) {
        self.record.add("the links to the replica behind the proxy are back");
        self.cut.store(false, Ordering::SeqCst);
    }

    fn wait_whole(&self) {
        while self.is_cut() {
            sleep_ms(5);
        }
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, is_request: bool) {
        let mut bytes = [0; 16 << 10];
        loop {
            let count = from.read(&mut bytes).unwrap_or(0);
            self.wait_whole();
            if count == 0 || to.write_all(&bytes[..count]).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            let mut cut_after = lock(&self.cut_after);
            if is_request && cut_after.as_ref().is_some_and(|text| bytes[..count].starts_with(text))
            {
                *cut_after = None;
                let proxy = self.clone();
                thread::spawn(move || {
                    sleep_ms(20);
                    proxy.cut.store(true, Ordering::SeqCst);
                    proxy.record.add("the links to the replica behind the proxy are cut");
                });
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Requesters

/// What a requester got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// Status, or 0 if there was no answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub complete: bool,
    pub error: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns id and data of the whole events.
    pub fn events(&self) -> Vec<(u64, String)> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
        let field = |event: &str, name: &str| {
            let line = event.lines().find_map(|line| line.strip_prefix(name).map(str::trim));
            line.unwrap_or_default().to_owned()
        };
        let events = whole.split("\n\n").filter(|event| !event.trim().is_empty());
        events
            .map(|event| (field(event, "id:").parse().unwrap_or(0), field(event, "data:")))
            .collect()
    }
}

/// Text of a request.
pub fn request_text(
    method: &str,
    path: &str,
    attempt: &str,
    deadline_ms: u64,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n"
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if method != "GET" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    [head.as_bytes(), body].concat()
}

/// Connects like a requester: a new channel may take one second.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Reads an answer. `on_body` is called with the body so far, and ends the reading by `false`.
pub fn read_answer(
    reader: &mut Reader,
    deadline_ms: u64,
    mut on_body: impl FnMut(&[u8]) -> bool,
) -> Answer {
    let mut answer = Answer::default();
    let _ = reader.stream.set_read_timeout(Some(Duration::from_millis(deadline_ms.max(1))));
    let read = (|| -> io::Result<bool> {
        let head = reader.read_head()?;
        answer.status = head.status();
        answer.headers = head.headers.clone();
        let mut goes_on = true;
        reader.read_body(&head, |bytes| {
            answer.body.extend_from_slice(bytes);
            goes_on = on_body(&answer.body);
            goes_on
        })?;
        Ok(goes_on)
    })();
    match read {
        Ok(complete) => answer.complete = complete,
        Err(err) => answer.error = err.kind().to_string(),
    }
    answer
}

/// Sends a request on a new channel and reads the answer.
pub fn ask(address: SocketAddr, request: &[u8], deadline_ms: u64) -> Answer {
    ask_until(address, request, deadline_ms, |_| true)
}

/// Sends a request like [`ask`], and closes the channel once `on_body` returns `false`.
pub fn ask_until(
    address: SocketAddr,
    request: &[u8],
    deadline_ms: u64,
    on_body: impl FnMut(&[u8]) -> bool,
) -> Answer {
    let failed = |err: io::Error| Answer { error: err.kind().to_string(), ..Answer::default() };
    let mut stream = match connect(address) {
        Ok(stream) => stream,
        Err(err) => return failed(err),
    };
    if let Err(err) = stream.write_all(request) {
        return failed(err);
    }
    read_answer(&mut Reader::new(stream), deadline_ms, on_body)
}

// ---------------------------------------------------------------------------------------------
// A small deployment

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// A route of the configuration.
pub struct RouteText<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub max_attempts: u32,
    pub resume: bool,
}

/// Returns a configuration like that of Blue Mountain Lens Trust: engines `lensmodel` and the
/// application `lensbook`.
pub fn configuration(version: u64, routes: &[RouteText<'_>], warmup_per_s: f64) -> String {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(number, route)| {
            let RouteText { prefix, kind, service, timeout_ms, target_ms, max_attempts, resume } =
                route;
            format!(
                "{{\"name\":\"r-{number}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
                 \"type\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":{target_ms},\
                 \"priority\":1,\"backend\":\"{service}\",\"maxAttempts\":{max_attempts},\
                 \"public\":false,\"sessionAffinity\":true,\"streamResume\":{resume},\
                 \"targetGapMs\":180}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"backends\":[\
         {{\"name\":\"lensmodel\",\"healthPath\":\"/healthz\",\"maxConnections\":432,\
         \"protocol\":\"h1\",\"tls\":false,\"warmupS\":1.0,\"warmupPerS\":21.0,\
         \"runtime\":{{\"slots\":64,\"kvCapacity\":34582,\"kvTokenBytes\":18432,\
         \"linkMbps\":2700.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\
         \"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"lensbook\",\"healthPath\":\"/healthz\",\"maxConnections\":100,\
         \"protocol\":\"h1\",\"tls\":false,\"warmupS\":1.0,\"warmupPerS\":{warmup_per_s}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// Ports of the daemons, which are the same on all VMs.
#[derive(Clone, Copy)]
struct Ports {
    callers: u16,
    readiness: u16,
    control: u16,
    peers: u16,
    metrics: u16,
}

/// A daemon that runs as a process of its own.
pub struct Daemon {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    ports: Ports,
    child: Mutex<Option<Child>>,
    record: Record,
}

impl Daemon {
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), self.ports.callers)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&self) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/gypsumchute-daemon")
            .env("GYPSUMCHUTE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.add(format!("daemon {} starts", self.name));
        lock(processes()).insert(child.id());
        *lock(&self.child) = Some(child);
        Ok(())
    }

    fn signal(&self, signal: &str) {
        if let Some(child) = &*lock(&self.child) {
            self.record.add(format!("daemon {} gets {signal}", self.name));
            let _ =
                Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    /// Stops the process as planned.
    pub fn term(&self) {
        self.signal("TERM");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = lock(&self.child).take() {
            self.record.add(format!("daemon {} is killed", self.name));
            let _ = child.kill();
            let _ = child.wait();
            lock(processes()).remove(&child.id());
        }
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(IpAddr::V4(self.ip), self.ports.readiness);
        let request = format!("GET /api/readyz HTTP/1.1\r\nHost: {address}\r\n\r\n");
        ask(address, request.as_bytes(), 1_000).status == 200
    }

    pub fn wait_ready(&self, limit_ms: u64) -> bool {
        let until = now_ms() + limit_ms;
        while now_ms() < until {
            if self.is_ready() {
                return true;
            }
            sleep_ms(20);
        }
        false
    }
}

/// Store, daemons and what replicas share.
pub struct Deployment {
    pub store: Store,
    pub daemons: Vec<Daemon>,
    pub floor: Floor,
    pub record: Record,
    network: [u8; 2],
    folder: PathBuf,
    next_replica: AtomicU64,
}

fn free_port(ips: &[Ipv4Addr], used: &mut BTreeSet<u16>) -> io::Result<u16> {
    for _ in 0..200 {
        let port = TcpListener::bind((ips[0], 0))?.local_addr()?.port();
        let is_free = |ip: &Ipv4Addr| {
            TcpListener::bind((*ip, port)).is_ok() && std::net::UdpSocket::bind((*ip, port)).is_ok()
        };
        if !used.contains(&port) && ips.iter().all(is_free) {
            used.insert(port);
            return Ok(port);
        }
    }
    Err(io::Error::other("no free port"))
}

impl Deployment {
    /// Starts a store with this configuration, and `zones.len()` daemons, which are not started yet.
    pub fn new(configuration: &str, zones: &[&str], record: &Record) -> io::Result<Self> {
        let process = std::process::id();
        let network = [64 + (process / 250 % 120) as u8, 1 + (process % 250) as u8];
        let ip = |last: u8| Ipv4Addr::new(127, network[0], network[1], last);
        let ips: Vec<_> = (0..zones.len()).map(|number| ip(10 + number as u8)).collect();
        let mut used = BTreeSet::new();
        let mut port = || free_port(&ips, &mut used);
        let ports = Ports {
            callers: port()?,
            readiness: port()?,
            control: port()?,
            peers: port()?,
            metrics: port()?,
        };
        let store_port = TcpListener::bind((ip(2), 0))?.local_addr()?.port();
        let store = Store::start(SocketAddr::new(IpAddr::V4(ip(2)), store_port))?;
        store.put("op/config", configuration);
        let folder = std::env::temp_dir().join(format!("gypsumchute-review-2-{process}"));
        fs::create_dir_all(&folder)?;
        let template = fs::read_to_string("deploy/daemon.json")?;
        let quoted = |text: String| format!("\"{text}\"");
        let regions: Vec<_> = zones.iter().map(|zone| format!("\"{zone}\":\"jm-south\"")).collect();
        let seeds: Vec<_> =
            ips.iter().take(3).map(|ip| quoted(format!("{ip}:{}", ports.control))).collect();
        let mut daemons = Vec::new();
        for (number, zone) in zones.iter().enumerate() {
            let (ip, name) = (ips[number], format!("edge-{zone}-{}", number + 1));
            let at = |port: u16| quoted(format!("{ip}:{port}"));
            let values = [
                ("{{nodeName|json}}", quoted(name.clone())),
                ("{{zone|json}}", quoted((*zone).to_owned())),
                ("{{zones|json}}", format!("{{{}}}", regions.join(","))),
                ("{{bindAddresses.frontend|json}}", at(ports.callers)),
                ("{{bindAddresses.readiness|json}}", at(ports.readiness)),
                ("{{ip}}:9464", format!("{ip}:{}", ports.metrics)),
                ("{{ip}}", ip.to_string()),
                ("{{portRange.0}}", ports.peers.to_string()),
                ("{{#seedNodes}}{{.|json}}{{,}}{{/seedNodes}}", seeds.join(",")),
                ("{{provider.address|json}}", quoted(store.address.to_string())),
                ("{{bounds.gracePeriodS}}", "8".to_owned()),
                ("{{bounds.retryBudgetRatio}}", "0.2".to_owned()),
                ("{{bounds.budgetSlack}}", "54".to_owned()),
                ("{{bounds.retryWindowS}}", "10".to_owned()),
                ("{{limits.memoryMb}}", "110".to_owned()),
                ("{{limits.maxFds}}", "4100".to_owned()),
            ];
            let text = values
                .iter()
                .fold(template.clone(), |text, (name, value)| text.replace(name, value));
            if text.contains("{{") {
                return Err(io::Error::other("the template of the settings has an unknown field"));
            }
            let settings = folder.join(format!("{name}.json"));
            fs::write(&settings, text)?;
            let log = folder.join(format!("{name}.log"));
            let (child, record) = (Mutex::new(None), record.clone());
            daemons.push(Daemon { name, ip, settings, log, ports, child, record });
        }
        Ok(Deployment {
            store,
            daemons,
            floor: Floor::new(record),
            record: record.clone(),
            network,
            folder,
            next_replica: AtomicU64::new(0),
        })
    }

    /// Creates a replica, which is not started yet.
    pub fn replica(&self, id: &str, kind: &ReplicaKind) -> io::Result<Replica> {
        let number = self.next_replica.fetch_add(1, Ordering::SeqCst) as u8;
        let ip = Ipv4Addr::new(127, self.network[0], self.network[1], 100 + number);
        let port = TcpListener::bind((ip, 0))?.local_addr()?.port();
        let address = SocketAddr::new(IpAddr::V4(ip), port);
        Ok(Replica::new(id, address, kind, &self.store, &self.floor))
    }

    /// Creates a replica behind a proxy, which is started.
    pub fn replica_behind_proxy(
        &self,
        id: &str,
        kind: &ReplicaKind,
    ) -> io::Result<(Replica, Proxy)> {
        let mut replica = self.replica(id, kind)?;
        let port = TcpListener::bind((replica.address.ip(), 0))?.local_addr()?.port();
        replica.listen = SocketAddr::new(replica.address.ip(), port);
        let proxy = Proxy::start(replica.address, replica.listen, &self.record)?;
        Ok((replica, proxy))
    }

    /// Starts all daemons and waits until they are ready and know each other.
    pub fn start_daemons(&self) -> io::Result<bool> {
        for daemon in &self.daemons {
            daemon.start()?;
        }
        let ready = self.daemons.iter().all(|daemon| daemon.wait_ready(10_000));
        Ok(ready)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.daemons.iter().for_each(Daemon::kill);
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => eprintln!("logs are in {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

/// Whether the disruption is made.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Processes that the script has started and that have not ended.
fn processes() -> &'static Mutex<BTreeSet<u32>> {
    static PROCESSES: OnceLock<Mutex<BTreeSet<u32>>> = OnceLock::new();
    PROCESSES.get_or_init(Mutex::default)
}

/// Ends all processes that the script has started.
fn end_processes() {
    for id in std::mem::take(&mut *lock(processes())) {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
}

/// Result of a script.
pub enum Outcome {
    Held,
    Broken,
}

/// Runs a script and ends the process with its exit code: 0 if the rule held, 1 if it was broken, 2 if
/// the script couldn't run.
pub fn run_case(case: impl FnOnce(&Record) -> io::Result<Outcome>) -> ! {
    started();
    let folder = std::env::args().nth(1).map_or_else(|| PathBuf::from("."), PathBuf::from);
    let record = Record::default();
    record.add(format!("TROUBLE={}", u8::from(has_trouble())));
    let (late, late_folder) = (record.clone(), folder.clone());
    thread::spawn(move || {
        thread::sleep(MAX_TIME);
        end_processes();
        late.add("the case couldn't run: it took too long");
        late.write(&late_folder);
        std::process::exit(2);
    });
    let ran = catch_unwind(AssertUnwindSafe(|| case(&record)));
    let code = match ran.unwrap_or_else(|_| Err(io::Error::other("the script panicked"))) {
        Ok(Outcome::Held) => {
            record.add("the rule held");
            0
        }
        Ok(Outcome::Broken) => {
            record.add("the rule was broken");
            1
        }
        Err(err) => {
            record.add(format!("the case couldn't run: {err}"));
            2
        }
    };
    end_processes();
    record.write(&folder);
    std::process::exit(code);
}
