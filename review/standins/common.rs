//! Parts that all cases share: a stand-in of the platform's store, plain HTTP for stand-ins of
//! replicas and clients, and the daemons as processes. Uses the standard library only.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval between two registry entries of a replica, in milliseconds (`heartbeatMs`).
pub const HEARTBEAT_MS: u64 = 1_200;
/// API key of the only tenant.
pub const KEY: &str = "key-of-acme";
/// Host of all routes.
pub const HOST: &str = "models.example";

// ---------------------------------------------------------------------------------------------
// Record and run

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());
/// Folder of the settings and logs of the daemons.
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Milliseconds since the start of the case.
pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until the given time since the start of the case.
pub fn sleep_until(at_ms: u64) {
    sleep_ms(at_ms.saturating_sub(now_ms()));
}

/// Writes one line to `record.txt`.
pub fn record(line: impl AsRef<str>) {
    if let Some(file) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:>8} ms  {}", now_ms(), line.as_ref());
    }
}

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

/// Whether the disruption is played (`TROUBLE=0` leaves it out).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Runs a case and ends all processes that it started. The first argument is the case's folder.
pub fn run_case(case: impl FnOnce() -> Verdict + std::panic::UnwindSafe) -> ! {
    now_ms();
    let folder = PathBuf::from(std::env::args().nth(1).expect("usage: CASE FOLDER"));
    let file = File::create(folder.join("record.txt")).expect("record.txt can't be written");
    let _ = RECORD.set(Mutex::new(file));
    record(format!("case begins, trouble: {}", has_trouble()));
    // The whole case ends in time whatever happens.
    thread::spawn(|| {
        sleep_ms(115_000);
        record("the case took too long");
        end_children();
        std::process::exit(2);
    });
    let verdict = std::panic::catch_unwind(case)
        .unwrap_or_else(|_| Verdict::CouldNotRun("the case panicked".to_owned()));
    end_children();
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "THE RULE WAS BROKEN".to_owned()),
        Verdict::CouldNotRun(why) => (2, format!("the case couldn't run: {why}")),
    };
    record(&text);
    println!("{text}");
    std::process::exit(code);
}

/// Ends all processes that the case has started, and removes its temporary folder.
fn end_children() {
    for (_, child) in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = FOLDER.get().filter(|_| std::env::var_os("KEEP_LOGS").is_none()) {
        let _ = std::fs::remove_dir_all(folder);
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// A request or a response, as read from a connection.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Headers, with names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body arrived to its end.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        pair.map(percent_decode)
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads first line and headers.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut message = Message { first_line: line.trim_end().to_owned(), ..Message::default() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    Ok(message)
}

/// Reads the body. A body with neither length nor chunks is empty in a request, and ends with the
/// connection in a response.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message, is_response: bool) {
    let chunked = message.header("transfer-encoding").eq_ignore_ascii_case("chunked");
    let length = message.header("content-length").parse::<usize>().ok();
    message.is_whole = match (chunked, length) {
        (true, _) => loop {
            match read_chunk(reader) {
                Ok(Some(chunk)) => message.body.extend(chunk),
                Ok(None) => break true,
                Err(_) => break false,
            }
        },
        (false, Some(length)) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body).is_ok()
        }
        (false, None) if is_response => reader.read_to_end(&mut message.body).is_ok(),
        (false, None) => true,
    };
}

/// Reads one chunk, or `None` at the end of the body.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let mut size = String::new();
    reader.read_line(&mut size)?;
    let size = usize::from_str_radix(size.trim(), 16)
        .map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// An HTTP server with a thread for each connection. It can be stopped as abruptly as a process
/// that is killed: the listener and all connections are closed.
pub struct Server {
    pub address: SocketAddrV4,
    is_up: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts the server. `handle` answers one request on the stream, and returns whether the
    /// connection stays open.
    pub fn start<H>(address: SocketAddrV4, handle: H) -> io::Result<Server>
    where
        H: Fn(Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        let SocketAddr::V4(address) = listener.local_addr()? else { unreachable!() };
        listener.set_nonblocking(true)?;
        let is_up = Arc::new(AtomicBool::new(true));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let server = Server { address, is_up: is_up.clone(), open: open.clone() };
        let handle = Arc::new(handle);
        thread::spawn(move || {
            while is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let mut kept = open.lock().unwrap();
                        kept.retain(|stream| stream.peer_addr().is_ok());
                        if let Ok(copy) = stream.try_clone() {
                            kept.push(copy);
                        }
                        drop(kept);
                        let handle = handle.clone();
                        thread::spawn(move || serve_connection(stream, &*handle));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
        Ok(server)
    }

    /// Closes the listener and all connections.
    pub fn kill(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        sleep_ms(5);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve_connection(stream: TcpStream, handle: &dyn Fn(Message, &mut TcpStream) -> bool) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(mut request) = read_head(&mut reader) {
        read_body(&mut reader, &mut request, false);
        if !request.is_whole || !handle(request, &mut writer) {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}

/// Writes a complete response.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Reports whether the peer has closed the connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let closed = match stream.peek(&mut byte) {
        Ok(count) => count == 0,
        Err(err) => err.kind() != io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

/// Text of a client's request.
pub fn request_text(line: &str, attempt: &str, headers: &[(&str, String)], body: &str) -> String {
    let mut text = format!(
        "{line} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nAuthorization: Bearer {KEY}\r\n"
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !line.starts_with("GET") {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text + "\r\n" + body
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddrV4) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address.into(), Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(45)))?;
        Ok(Client { reader: BufReader::new(stream) })
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.reader.get_mut().write_all(text.as_bytes())
    }

    /// Reads a whole response. Its body may have been cut off.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut response = read_head(&mut self.reader)?;
        read_body(&mut self.reader, &mut response, true);
        Ok(response)
    }

    pub fn exchange(&mut self, text: &str) -> io::Result<Message> {
        self.send(text)?;
        self.read()
    }
}

// ---------------------------------------------------------------------------------------------
// Store

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    history: Vec<(u64, String, Option<Vec<u8>>)>,
}

/// Stand-in of the platform's store: listing and watching.
pub struct Store {
    contents: Arc<(Mutex<Contents>, Condvar)>,
    server: Server,
    /// While set, the store accepts connections and answers nothing.
    is_silent: Arc<AtomicBool>,
}

impl Store {
    pub fn start(address: SocketAddrV4) -> io::Result<Arc<Store>> {
        let contents: Arc<(Mutex<Contents>, Condvar)> = Arc::default();
        contents.0.lock().unwrap().revision = 100;
        let (shared, is_silent) = (contents.clone(), Arc::new(AtomicBool::new(false)));
        let silent = is_silent.clone();
        let server = Server::start(address, move |request, stream| {
            let body = answer_store_call(&shared, &request);
            if silent.load(Ordering::SeqCst) {
                // What was asked is never answered.
                while !is_closed(stream) {
                    sleep_ms(20);
                }
                return false;
            }
            let headers = [
                ("Content-Type", "application/json".to_owned()),
                ("Store-Era", "1".to_owned()),
            ];
            respond(stream, "200 OK", &headers, body.as_bytes()).is_ok()
        })?;
        Ok(Arc::new(Store { contents, server, is_silent }))
    }

    /// Makes the store fall silent, or answer again.
    pub fn set_silent(&self, is_silent: bool) {
        record(format!("the store is silent: {is_silent}"));
        self.is_silent.store(is_silent, Ordering::SeqCst);
    }

    pub fn is_silent(&self) -> bool {
        self.is_silent.load(Ordering::SeqCst)
    }

    pub fn address(&self) -> SocketAddrV4 {
        self.server.address
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut contents = self.contents.0.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        contents.items.insert(key.to_owned(), (revision, value.as_bytes().to_vec()));
        contents.history.push((revision, key.to_owned(), Some(value.as_bytes().to_vec())));
        self.contents.1.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut contents = self.contents.0.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        contents.items.remove(key);
        contents.history.push((revision, key.to_owned(), None));
        self.contents.1.notify_all();
    }
}

fn answer_store_call(shared: &(Mutex<Contents>, Condvar), request: &Message) -> String {
    let prefix = request.query("pathPrefix").unwrap_or_default();
    if request.target().starts_with("/api/kv-range") {
        let after = request.query("after").unwrap_or_default();
        let contents = shared.0.lock().unwrap();
        let matching = contents.items.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
        let entries: Vec<_> = matching.map(|(k, (r, v))| item_json(*r, k, Some(v))).collect();
        return format!(
            "{{\"entries\":[{}],\"truncated\":false,\"at\":{}}}",
            entries.join(","),
            contents.revision
        );
    }
    let after: u64 = request.query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
    let wait_ms: u64 = request.query("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let mut contents = shared.0.lock().unwrap();
    loop {
        let changes = contents.history.iter().filter(|(r, k, _)| *r > after && k.starts_with(&prefix));
        let events: Vec<_> = changes.map(|(r, k, v)| item_json(*r, k, v.as_deref())).collect();
        let left = deadline.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            return format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), contents.revision);
        }
        contents = shared.1.wait_timeout(contents, left).unwrap().0;
    }
}

fn item_json(revision: u64, key: &str, value: Option<&[u8]>) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}",
            base64(value)
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let word = (u32::from(group[0]) << 16)
            | (u32::from(*group.get(1).unwrap_or(&0)) << 8)
            | u32::from(*group.get(2).unwrap_or(&0));
        for digit in 0..4 {
            match digit <= group.len() {
                true => out.push(char::from(DIGITS[(word >> (18 - 6 * digit)) as usize & 63])),
                false => out.push('='),
            }
        }
    }
    out
}

// ---------------------------------------------------------------------------------------------
// Registry

/// Registry entry of a replica, written again every heartbeat until it is taken back.
pub struct Registration {
    store: Arc<Store>,
    key: String,
    is_alive: Arc<AtomicBool>,
    /// While set, the replica does not reach the store, which removes the entry after three
    /// heartbeats.
    pub cut: Arc<AtomicBool>,
}

impl Registration {
    /// Registers a replica of the software version `v1`.
    pub fn start<W>(
        store: &Arc<Store>,
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddrV4,
        slots: u32,
        warmup_left_ms: W,
    ) -> Registration
    where
        W: Fn() -> u64 + Send + 'static,
    {
        let version = "v1";
        Self::start_version(store, id, service, zone, address, slots, version, warmup_left_ms)
    }

    /// Registers a replica. `warmup_left_ms` tells how much longer it stays cold.
    #[allow(clippy::too_many_arguments)]
    pub fn start_version<W>(
        store: &Arc<Store>,
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddrV4,
        slots: u32,
        version: &str,
        warmup_left_ms: W,
    ) -> Registration
    where
        W: Fn() -> u64 + Send + 'static,
    {
        let version = version.to_owned();
        let (key, is_alive) = (format!("servers/{id}"), Arc::new(AtomicBool::new(true)));
        let cut: Arc<AtomicBool> = Arc::default();
        let registration = Registration {
            store: store.clone(),
            key: key.clone(),
            is_alive: is_alive.clone(),
            cut: cut.clone(),
        };
        let lapsing = (store.clone(), key.clone());
        let born = unix_ms();
        let (store, service, zone) = (store.clone(), service.to_owned(), zone.to_owned());
        let sequence = AtomicU64::new(0);
        let write = move || {
            if store.is_silent() {
                return;
            }
            let sequence = sequence.fetch_add(1, Ordering::SeqCst);
            store.put(
                &key,
                &format!(
                    "{{\"backend\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\"slots\":{slots},\"state\":\"ready\",\"warmupLeftMs\":{},\"phase\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\"born\":{born}}}",
                    warmup_left_ms()
                ),
            );
        };
        write();
        thread::spawn(move || {
            let (mut written_ms, mut has_lapsed) = (now_ms(), false);
            loop {
                sleep_ms(20);
                let silent_ms = now_ms() - written_ms;
                if !is_alive.load(Ordering::SeqCst) {
                    break;
                }
                match cut.load(Ordering::SeqCst) {
                    false if silent_ms >= HEARTBEAT_MS => {
                        write();
                        (written_ms, has_lapsed) = (now_ms(), false);
                    }
                    true if silent_ms >= 3 * HEARTBEAT_MS && !has_lapsed => {
                        record(format!("the store removes {}", lapsing.1));
                        lapsing.0.delete(&lapsing.1);
                        has_lapsed = true;
                    }
                    _ => {}
                }
            }
        });
        registration
    }

    /// The replica has ended and starts again under its id before its entry is removed.
    pub fn end_before_restart(&self) {
        self.is_alive.store(false, Ordering::SeqCst);
    }

    /// The replica has ended and writes no more. The store removes the entry after three
    /// heartbeats.
    pub fn fall_silent(&self) {
        self.is_alive.store(false, Ordering::SeqCst);
        let (store, key) = (self.store.clone(), self.key.clone());
        thread::spawn(move || {
            sleep_ms(3 * HEARTBEAT_MS);
            store.delete(&key);
        });
    }
}

// ---------------------------------------------------------------------------------------------
// Daemons

/// Addresses of one machine and settings of its daemon.
#[derive(Debug, Clone)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub callers: SocketAddrV4,
    pub readiness: SocketAddrV4,
    metrics: SocketAddrV4,
    peers: SocketAddrV4,
}

/// A small fleet: each machine has a loopback address of its own.
pub struct Fleet {
    pub machines: Vec<Machine>,
    folder: PathBuf,
    pub grace_s: f64,
}

/// Returns an address of this run on which a stand-in may listen. Ports are chosen by the system.
pub fn standin_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, network(), 1, 1), 0)
}

/// Second byte of the loopback addresses of this run.
fn network() -> u8 {
    (std::process::id() % 200) as u8 + 20
}

impl Fleet {
    /// Chooses the addresses of machines with the given names and zones.
    pub fn new(machines: &[(&str, &str)]) -> Fleet {
        let ip = |index: usize| Ipv4Addr::new(127, network(), 0, index as u8 + 1);
        // The port for peers is the same on all machines.
        let is_free = |port: u16| {
            (0..machines.len()).all(|index| {
                TcpListener::bind((ip(index), port)).is_ok()
                    && UdpSocket::bind((ip(index), port)).is_ok()
            })
        };
        let first_port = 20_000 + (std::process::id() % 10_000) as u16;
        let peers_port = (first_port..).find(|port| is_free(*port)).expect("no free port");
        let machines = machines.iter().enumerate().map(|(index, (name, zone))| {
            let free = || {
                let listener = TcpListener::bind((ip(index), 0)).expect("no free port");
                match listener.local_addr() {
                    Ok(SocketAddr::V4(address)) => address,
                    _ => unreachable!(),
                }
            };
            Machine {
                name: (*name).to_owned(),
                zone: (*zone).to_owned(),
                ip: ip(index),
                callers: free(),
                readiness: free(),
                metrics: free(),
                peers: SocketAddrV4::new(ip(index), peers_port),
            }
        });
        let machines = machines.collect();
        let folder = std::env::temp_dir().join(format!("gypsumchute-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("no temporary folder");
        let _ = FOLDER.set(folder.clone());
        Fleet { machines, folder, grace_s: 8.0 }
    }

    pub fn machine(&self, name: &str) -> &Machine {
        self.machines.iter().find(|machine| machine.name == name).expect("no such machine")
    }

    /// Starts the daemon of a machine with the command of the deploy file, in the repository's root.
    /// The settings are those of `deploy/daemon.json`, filled in. `seeds` are names of machines.
    pub fn start(&self, name: &str, seeds: &[&str], store: SocketAddrV4) {
        let machine = self.machine(name);
        let Machine { zone, callers, readiness, metrics, peers, .. } = machine;
        let seeds: Vec<_> =
            seeds.iter().map(|seed| format!("\"{}:8748\"", self.machine(seed).ip)).collect();
        let zones: std::collections::BTreeSet<_> = self.machines.iter().map(|m| &m.zone).collect();
        let zones: Vec<_> = zones.iter().map(|zone| format!("\"{zone}\": \"region-1\"")).collect();
        let settings = format!(
            "{{\n  \"vm\": \"{name}\",\n  \"zone\": \"{zone}\",\n  \"zone_regions\": {{{}}},\n  \"callers_listen\": \"{callers}\",\n  \"readiness_listen\": \"{readiness}\",\n  \"metrics_listen\": \"{metrics}\",\n  \"peers_listen\": \"{peers}\",\n  \"seeds\": [{}],\n  \"configuration\": {{ \"store\": \"{store}\" }},\n  \"shutdown_grace_s\": {},\n  \"retry_ratio\": 0.2,\n  \"retry_fixed\": 54,\n  \"retry_window_s\": 10\n}}\n",
            zones.join(", "),
            seeds.join(", "),
            self.grace_s
        );
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings).expect("settings can't be written");
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("no log file");
        let mut command = Command::new("target/release/gypsumchute-daemon");
        command.env_clear().env("GYPSUMCHUTE_CONFIG", &path);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stderr(log.try_clone().unwrap()).stdout(log);
        let child = command.spawn().expect("the daemon can't be started; was it built?");
        record(format!("daemon of {name} starts in zone {zone}, pid {}", child.id()));
        CHILDREN.lock().unwrap().push((name.to_owned(), child));
    }

    /// Sends a signal to the daemon of a machine.
    pub fn signal(&self, name: &str, signal: &str) {
        let children = CHILDREN.lock().unwrap();
        let child = children.iter().rev().find(|(other, _)| other == name).map(|(_, child)| child);
        let pid = child.expect("no such daemon").id().to_string();
        record(format!("SIG{signal} to the daemon of {name}"));
        let _ = Command::new("sh").args(["-c", &format!("kill -{signal} {pid}")]).status();
    }

    /// Waits until the latest daemon of a machine has ended. Returns whether it has in time.
    pub fn await_exit(&self, name: &str, timeout_ms: u64) -> bool {
        let deadline_ms = now_ms() + timeout_ms;
        while now_ms() < deadline_ms {
            let mut children = CHILDREN.lock().unwrap();
            let child = children.iter_mut().rev().find(|(other, _)| other == name);
            if child.is_some_and(|(_, child)| matches!(child.try_wait(), Ok(Some(_)))) {
                record(format!("the daemon of {name} has ended"));
                return true;
            }
            drop(children);
            sleep_ms(20);
        }
        false
    }

    /// Waits until the daemons say that they are ready. Returns whether all are in time.
    pub fn await_ready(&self, names: &[&str], timeout_ms: u64) -> bool {
        let deadline_ms = now_ms() + timeout_ms;
        names.iter().all(|name| {
            loop {
                if self.is_ready(name) {
                    break true;
                }
                if now_ms() > deadline_ms {
                    break false;
                }
                sleep_ms(50);
            }
        })
    }

    pub fn is_ready(&self, name: &str) -> bool {
        let text = format!("GET /api/readyz HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
        let answer = Client::connect(self.machine(name).readiness).and_then(|mut c| c.exchange(&text));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Copies the lines of a daemon's log that hold `text` to the record.
    pub fn record_log(&self, name: &str, text: &str) {
        let log = std::fs::read_to_string(self.folder.join(format!("{name}.log")));
        for line in log.unwrap_or_default().lines().filter(|line| line.contains(text)) {
            record(format!("log of {name}: {line}"));
        }
    }
}

/// A configuration with one host, one tenant and the given routes and services (JSON objects).
pub fn configuration(version: u64, routes: &[String], services: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"backends\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"acme\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// A route `/NAME/` of the configuration.
pub fn route(
    name: &str,
    kind: &str,
    service: &str,
    timeout_ms: u64,
    target_ms: u64,
    max_attempts: u32,
) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"type\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":{target_ms},\"priority\":1,\"backend\":\"{service}\",\"maxAttempts\":{max_attempts},\"public\":false,\"streamResume\":false,\"targetGapMs\":180}}"
    )
}

/// A route of streams that may be resumed.
pub fn resumable_route(name: &str, service: &str, timeout_ms: u64, target_ms: u64) -> String {
    route(name, "streaming", service, timeout_ms, target_ms, 2)
        .replace("\"streamResume\":false", "\"streamResume\":true")
}

/// A plain service of the configuration.
pub fn plain_service(name: &str, warmup_s: f64, warmup_per_s: f64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":{warmup_s},\"warmupPerS\":{warmup_per_s}}}"
    )
}

/// A service of model engines, as on the sheet of the small installations.
pub fn engine_service(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConnections\":432,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":1.0,\"warmupPerS\":21.0,\"runtime\":{{\"slots\":64,\"kvCapacity\":34582,\"kvTokenBytes\":18432,\"linkMbps\":2700.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}"
    )
}

// ---------------------------------------------------------------------------------------------
// Replicas

/// A run at a replica.
#[derive(Debug, Clone)]
pub struct RunRecord {
    pub replica: String,
    pub attempt: String,
    pub at_ms: u64,
    pub target: String,
}

/// Runs of all replicas, oldest first.
pub type Runs = Arc<Mutex<Vec<RunRecord>>>;

/// Rejects a request that expects another replica. Returns whether it did.
pub fn reject_misdirected(id: &str, request: &Message, stream: &mut TcpStream) -> bool {
    let expected = request.header("x-expect-replica");
    if expected.is_empty() || expected == id {
        return false;
    }
    record(format!("{id} answers 421: the request expects {expected}"));
    let _ = respond(stream, "421 Misdirected Request", &[("X-Replica-Id", id.to_owned())], b"");
    true
}

/// Answers calls other than requests: status checks and reports. Returns whether it was one.
pub fn answer_own_call(id: &str, request: &Message, stream: &mut TcpStream) -> bool {
    match request.target() {
        "/healthz" => {
            let _ = respond(stream, "200 OK", &[("X-Replica-Id", id.to_owned())], b"");
            true
        }
        "/api/report" => {
            let body = b"{\"phase\":\"unified\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"sequence\":1,\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":34582,\"handles\":0}";
            let headers = [("Content-Type", "application/json".to_owned())];
            let _ = respond(stream, "200 OK", &headers, body);
            true
        }
        target if target.starts_with("/api/") => {
            let _ = respond(stream, "404 Not Found", &[], b"{}");
            true
        }
        _ => false,
    }
}

/// Headers of a replica's answer to a request that it has run.
pub fn proof(id: &str, request: &Message) -> Vec<(&'static str, String)> {
    let attempt = request.header("x-attempt-id").to_owned();
    let signature = format!("{id}.{attempt}");
    vec![("X-Attempt-Id", attempt), ("X-Response-Signature", signature)]
}

/// Streams `events` events of four tokens each in chunks, the first after `first_ms`. Stops if the
/// channel closes. Returns the number of events that were sent, and whether the stream is whole.
pub fn stream_events(
    stream: &mut TcpStream,
    id: &str,
    request: &Message,
    events: u64,
    first_ms: u64,
    gap_ms: u64,
) -> (u64, bool) {
    let first: u64 = request.header("last-event-id").parse::<u64>().map_or(1, |last| last + 1);
    sleep_ms(first_ms);
    let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Weight-Versions: 1\r\n".to_owned();
    for (name, value) in proof(id, request) {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if stream.write_all(format!("{head}\r\n").as_bytes()).is_err() {
        return (0, false);
    }
    for event in first..=events {
        if event > first {
            sleep_ms(gap_ms);
        }
        let text = format!("id: {event}\ndata: tok tok tok tok\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if is_closed(stream) || stream.write_all(chunk.as_bytes()).is_err() {
            return (event - first, false);
        }
    }
    let whole = stream.write_all(b"0\r\n\r\n").is_ok();
    (events + 1 - first, whole)
}
