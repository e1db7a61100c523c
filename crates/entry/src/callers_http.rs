//! HTTP/1.1 towards callers: a thread a connection, every read and write bounded in time.
//!
//! Neither `rouille` nor `tiny_http` fits here. `rouille` holds a stream back until it ends, and
//! `tiny_http` bounds silent callers only by a timeout on its listening socket, which also ends
//! its accept loop at the first quiet spell. Heads are parsed by `httparse`.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
const MAX_HEADERS: usize = 100;
const READ_BYTES: usize = 16 << 10;
/// Largest rest of a body that is read only to keep the connection.
const MAX_SKIPPED_BYTES: u64 = 256 << 10;
const ACCEPT_PAUSE_MS: u64 = 20;

/// Bounds of a callers' port.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Connections open at once.
    pub connections: usize,
    /// Longest silence within a request, and longest time that an answer is left unread.
    pub silence: Duration,
    /// Longest time between two requests of a connection.
    pub idle: Duration,
}

/// One caller's connection.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    keep: bool,
}

/// How the end of a request body is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length(u64),
    Chunked,
}

/// A request whose body has not been read.
pub struct Request<'c> {
    /// Method.
    pub method: String,
    /// Path with query.
    pub target: String,
    /// Headers as they came.
    pub headers: Vec<(String, String)>,
    framing: Framing,
    expects_continue: bool,
    body_read: bool,
    connection: &'c mut Connection,
}

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// It is malformed, ended early or came too slowly.
    Invalid,
}

/// Accepts callers until `stopped`; `handle` serves one request.
pub fn serve<H>(listener: TcpListener, bounds: Limits, stopped: Arc<AtomicBool>, handle: H)
where
    H: Fn(Request<'_>) + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    let open = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(ACCEPT_PAUSE_MS));
                continue;
            };
            if open.fetch_add(1, Ordering::Relaxed) >= bounds.connections {
                open.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let (handle, open, stopped) = (handle.clone(), open.clone(), stopped.clone());
            let spawned = thread::Builder::new().spawn(move || {
                let guard = OpenGuard(&open);
                let _ = serve_connection(stream, bounds, &stopped, &*handle);
                drop(guard);
            });
            if let Err(err) = spawned {
                log::error!(error:% = err; "no thread for a caller");
            }
        }
    });
}

/// Counts a connection as closed, also where its thread panics.
struct OpenGuard<'a>(&'a AtomicUsize);

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn serve_connection(
    stream: TcpStream,
    bounds: Limits,
    stopped: &AtomicBool,
    handle: &impl Fn(Request<'_>),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(bounds.silence))?;
    let mut connection = Connection { stream, buffer: Vec::new(), keep: true };
    let mut wait = bounds.silence;
    while connection.keep && !stopped.load(Ordering::Relaxed) {
        match connection.read_head(wait, bounds.silence)? {
            HeadRead::Closed => break,
            HeadRead::Bad(status) => return connection.refuse(status),
            HeadRead::Head(head) => handle(head.into_request(&mut connection)),
        }
        wait = bounds.idle;
    }
    Ok(())
}

enum HeadRead {
    Head(Head),
    Closed,
    Bad(&'static str),
}

struct Head {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
    framing: Framing,
    expects_continue: bool,
}

impl Head {
    fn into_request(self, connection: &mut Connection) -> Request<'_> {
        Request {
            method: self.method,
            target: self.target,
            headers: self.headers,
            framing: self.framing,
            expects_continue: self.expects_continue,
            body_read: self.framing == Framing::Length(0),
            connection,
        }
    }
}

fn find<'h>(headers: &'h [(String, String)], name: &str) -> Option<&'h str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

impl Connection {
    /// Reads more bytes; false at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; READ_BYTES];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(count) => {
                    self.buffer.extend_from_slice(&chunk[..count]);
                    return Ok(count > 0);
                }
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) => return Err(err),
            }
        }
    }

    /// Reads a request's head. The whole head must come within `silence` of its first byte.
    fn read_head(&mut self, idle: Duration, silence: Duration) -> io::Result<HeadRead> {
        self.stream.set_read_timeout(Some(idle))?;
        let mut until = None;
        loop {
            match self.parse_head() {
                Ok(Some(head)) => {
                    self.stream.set_read_timeout(Some(silence))?;
                    return Ok(HeadRead::Head(head));
                }
                Ok(None) if self.buffer.len() > MAX_HEAD_BYTES => {
                    return Ok(HeadRead::Bad("431 Request Header Fields Too Large"));
                }
                Ok(None) => {}
                Err(status) => return Ok(HeadRead::Bad(status)),
            }
            let late = until.is_some_and(|until| Instant::now() >= until);
            let begun = !self.buffer.is_empty();
            match if late { Err(ErrorKind::TimedOut.into()) } else { self.fill() } {
                Ok(true) => {}
                Ok(false) => return Ok(HeadRead::Closed),
                Err(_) if begun => return Ok(HeadRead::Bad("408 Request Timeout")),
                Err(_) => return Ok(HeadRead::Closed),
            }
            if until.is_none() {
                until = Some(Instant::now() + silence);
                self.stream.set_read_timeout(Some(silence))?;
            }
        }
    }

    fn parse_head(&mut self) -> Result<Option<Head>, &'static str> {
        const BAD: &str = "400 Bad Request";
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let length = match parsed.parse(&self.buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(BAD),
        };
        let method = parsed.method.unwrap_or_default().to_owned();
        let target = parsed.path.unwrap_or_default().to_owned();
        let http_1_0 = parsed.version == Some(0);
        let headers: Vec<(String, String)> = parsed
            .headers
            .iter()
            .map(|h| (h.name.to_owned(), String::from_utf8_lossy(h.value).into_owned()))
            .collect();
        let framing = framing_of(&headers).ok_or(BAD)?;
        let connection = find(&headers, "Connection").unwrap_or_default();
        self.keep = !http_1_0 && !connection.eq_ignore_ascii_case("close");
        self.buffer.drain(..length);
        let expect = find(&headers, "Expect").unwrap_or_default();
        let expects_continue = expect.eq_ignore_ascii_case("100-continue");
        Ok(Some(Head { method, target, headers, framing, expects_continue }))
    }

    fn refuse(&mut self, status: &str) -> io::Result<()> {
        let text = r#"{"error":{"code":"malformed","message":"the request is malformed","verdict":"not_run","retry_after_ms":null}}"#;
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n{text}",
            text.len()
        );
        self.stream.write_all(head.as_bytes())?;
        self.stream.flush()
    }
}

/// How a body is framed; `None` where it can't be told for certain.
fn framing_of(headers: &[(String, String)]) -> Option<Framing> {
    let lengths: Vec<&str> = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("Content-Length"))
        .map(|(_, value)| value.trim())
        .collect();
    match (find(headers, "Transfer-Encoding"), lengths.as_slice()) {
        (Some(coding), []) if coding.eq_ignore_ascii_case("chunked") => Some(Framing::Chunked),
        (Some(_), _) => None,
        (None, []) => Some(Framing::Length(0)),
        (None, [length]) if length.bytes().all(|b| b.is_ascii_digit()) => {
            length.parse().ok().map(Framing::Length)
        }
        (None, _) => None,
    }
}

impl Request<'_> {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Where the caller's connection comes from, if it is still known.
    pub fn caller(&self) -> Option<SocketAddr> {
        self.connection.stream.peer_addr().ok()
    }

    /// Reads the body, of at most `most` bytes, until `until` at the latest.
    ///
    /// # Errors
    ///
    /// It is too large or broken; the connection ends after the answer.
    pub fn read_body(&mut self, most: u64, until: Instant) -> Result<Vec<u8>, BodyError> {
        let body = self.read_framed(most, until);
        self.body_read = body.is_ok();
        body
    }

    fn read_framed(&mut self, most: u64, until: Instant) -> Result<Vec<u8>, BodyError> {
        if matches!(self.framing, Framing::Length(length) if length > most) {
            return Err(BodyError::TooLarge);
        }
        if self.expects_continue {
            let go_on = b"HTTP/1.1 100 Continue\r\n\r\n";
            self.connection.stream.write_all(go_on).map_err(|_| BodyError::Invalid)?;
        }
        match self.framing {
            Framing::Length(length) => self.take(length as usize, until),
            Framing::Chunked => self.read_chunks(most, until),
        }
    }

    fn take(&mut self, count: usize, until: Instant) -> Result<Vec<u8>, BodyError> {
        while self.connection.buffer.len() < count {
            self.fill(until)?;
        }
        let rest = self.connection.buffer.split_off(count);
        Ok(std::mem::replace(&mut self.connection.buffer, rest))
    }

    fn fill(&mut self, until: Instant) -> Result<(), BodyError> {
        let in_time = Instant::now() < until;
        match in_time && self.connection.fill().unwrap_or(false) {
            true => Ok(()),
            false => Err(BodyError::Invalid),
        }
    }

    fn read_chunks(&mut self, most: u64, until: Instant) -> Result<Vec<u8>, BodyError> {
        let mut body = Vec::new();
        loop {
            let (line, size) = match httparse::parse_chunk_size(&self.connection.buffer) {
                Ok(httparse::Status::Complete(found)) => found,
                Ok(httparse::Status::Partial) => {
                    self.fill(until)?;
                    continue;
                }
                Err(_) => return Err(BodyError::Invalid),
            };
            if size.saturating_add(body.len() as u64) > most {
                return Err(BodyError::TooLarge);
            }
            self.connection.buffer.drain(..line);
            body.extend(self.take(size as usize, until)?);
            let end = self.take(2, until)?;
            match (end.as_slice(), size) {
                (b"\r\n", 0) => return Ok(body),
                (b"\r\n", _) => {}
                _ => return Err(BodyError::Invalid),
            }
        }
    }

    /// Ends the connection after the answer.
    pub fn close_after(&mut self) {
        self.connection.keep = false;
    }

    fn head_of(&mut self, status: u16, headers: &[(String, String)], framing: &str) -> String {
        if !self.body_read {
            self.skip_body();
        }
        let mut head = format!("HTTP/1.1 {status} {}\r\n", phrase(status));
        for (name, value) in headers.iter().filter(|(n, v)| is_clean(n) && is_clean(v)) {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        let connection = if self.connection.keep { "keep-alive" } else { "close" };
        head.push_str(&format!("{framing}\r\nConnection: {connection}\r\n\r\n"));
        head
    }

    /// Reads the rest of a body that nobody wants, if it is small, so that the caller reads the
    /// answer; ends the connection otherwise.
    fn skip_body(&mut self) {
        self.connection.keep = false;
        let left = match self.framing {
            Framing::Length(length) => length,
            Framing::Chunked => return,
        };
        let mut skipped = self.connection.buffer.len() as u64;
        let timeout = Some(Duration::from_millis(200));
        if left > MAX_SKIPPED_BYTES * 64
            || self.connection.stream.set_read_timeout(timeout).is_err()
        {
            return;
        }
        self.connection.buffer.clear();
        while skipped < left && self.connection.fill().unwrap_or(false) {
            skipped += self.connection.buffer.len() as u64;
            self.connection.buffer.clear();
        }
    }

    /// Answers with a whole body.
    ///
    /// # Errors
    ///
    /// The caller is gone.
    pub fn respond(
        mut self,
        status: u16,
        headers: &[(String, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let length = format!("Content-Length: {}", body.len());
        let mut bytes = self.head_of(status, headers, &length).into_bytes();
        if self.method != "HEAD" {
            bytes.extend_from_slice(body);
        }
        let stream = &mut self.connection.stream;
        let sent = stream.write_all(&bytes).and_then(|()| stream.flush());
        self.connection.keep &= sent.is_ok();
        sent
    }

    /// Begins an answer of pieces, each of which goes out at once.
    ///
    /// # Errors
    ///
    /// The caller is gone.
    pub fn stream(mut self, headers: &[(String, String)]) -> io::Result<ChunkWriter> {
        let head = self.head_of(200, headers, "Transfer-Encoding: chunked");
        // The stream ends with the connection, so that nothing of it can be taken for an answer
        // to a later request.
        self.connection.keep = false;
        let head = head.replace("Connection: keep-alive", "Connection: close");
        let mut stream = self.connection.stream.try_clone()?;
        stream.write_all(head.as_bytes())?;
        Ok(ChunkWriter { stream })
    }
}

/// Writes the pieces of an answer.
pub struct ChunkWriter {
    stream: TcpStream,
}

impl ChunkWriter {
    /// Sends one piece.
    ///
    /// # Errors
    ///
    /// The caller is gone, or has left earlier pieces unread for too long.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.stream.write_all(chunk.as_bytes())
    }

    /// Ends the answer.
    ///
    /// # Errors
    ///
    /// The caller is gone.
    pub fn end(mut self) -> io::Result<()> {
        self.stream.write_all(b"0\r\n\r\n")
    }
}

fn is_clean(text: &str) -> bool {
    !text.contains(['\r', '\n'])
}

fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        409 => "Conflict",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}
