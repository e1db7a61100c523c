//! HTTP/1.1 server for callers, with one thread per connection and a time limit on every read and
//! write.
//!
//! Neither `rouille` nor `tiny_http` fits here. `rouille` delays a streamed response until the
//! stream ends. `tiny_http` can time out silent callers only by a timeout on the listening
//! socket, which also ends the accept loop when no caller connects for that time. Request heads are
//! parsed with `httparse`.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 100;
/// Size of the buffer for one read from a socket, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Unit of the limit on unread request bodies, in bytes. A body of up to 64 times this size (16
/// MiB) is read and discarded before the response is sent.
const DISCARD_LIMIT_UNIT_BYTES: u64 = 256 << 10;
/// Delay before accepting again after an error, in milliseconds.
const ACCEPT_RETRY_DELAY_MS: u64 = 20;

/// Limits of the port for callers.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of open connections. Further connections are closed immediately.
    pub max_connections: usize,
    /// Maximum time without progress while reading a request or writing a response. Also the time
    /// limit for a complete request head.
    pub io_timeout: Duration,
    /// Maximum time between two requests on a connection.
    pub idle_timeout: Duration,
}

/// Connection of one caller.
pub struct Connection {
    stream: TcpStream,
    /// Bytes that have been received but not yet used.
    buffer: Vec<u8>,
    /// Whether the connection stays open for another request.
    keep_alive: bool,
}

/// How the end of a request body is detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// Size of the body in bytes.
    Length(u64),
    Chunked,
}

/// A request whose head has been read. The body is read by [`Request::read_body`].
pub struct Request<'c> {
    /// HTTP method.
    pub method: String,
    /// Path with the query string.
    pub target: String,
    /// Headers as received.
    pub headers: Vec<(String, String)>,
    framing: Framing,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    expects_continue: bool,
    /// Whether the complete body has been read.
    body_read: bool,
    connection: &'c mut Connection,
}

/// Reason why a request body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The body is malformed or incomplete, or did not arrive in time.
    Invalid,
}

/// Accepts connections on a thread of its own until `stopped` is set. `handler` serves each
/// request.
pub fn serve<H>(listener: TcpListener, limits: Limits, stopped: Arc<AtomicBool>, handler: H)
where
    H: Fn(Request<'_>) + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    let open_connections = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS));
                continue;
            };
            if open_connections.fetch_add(1, Ordering::Relaxed) >= limits.max_connections {
                open_connections.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let (handler, open_connections, stopped) =
                (handler.clone(), open_connections.clone(), stopped.clone());
            let spawned = thread::Builder::new().spawn(move || {
                let guard = ConnectionGuard(&open_connections);
                let _ = serve_connection(stream, limits, &stopped, &*handler);
                drop(guard);
            });
            if let Err(err) = spawned {
                log::error!(error:% = err; "failed to start a thread for a caller connection");
            }
        }
    });
}

/// Counts a connection as closed when dropped, also if the thread of the connection panics.
struct ConnectionGuard<'a>(&'a AtomicUsize);

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves the requests of one connection until the connection closes or `stopped` is set.
fn serve_connection(
    stream: TcpStream,
    limits: Limits,
    stopped: &AtomicBool,
    handler: &impl Fn(Request<'_>),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(limits.io_timeout))?;
    let mut connection = Connection { stream, buffer: Vec::new(), keep_alive: true };
    let mut head_timeout = limits.io_timeout;
    while connection.keep_alive && !stopped.load(Ordering::Relaxed) {
        match connection.read_head(head_timeout, limits.io_timeout)? {
            HeadRead::Closed => break,
            HeadRead::Invalid(status) => return connection.refuse(status),
            HeadRead::Complete(head) => handler(head.into_request(&mut connection)),
        }
        head_timeout = limits.idle_timeout;
    }
    Ok(())
}

/// Result of reading a request head.
enum HeadRead {
    Complete(RequestHead),
    /// The caller closed the connection or sent no request in time.
    Closed,
    /// The head was rejected with this status line.
    Invalid(&'static str),
}

/// A parsed request head.
struct RequestHead {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
    framing: Framing,
    expects_continue: bool,
}

impl RequestHead {
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

/// Returns the value of a header. Names are compared without regard to case.
fn find_header<'h>(headers: &'h [(String, String)], name: &str) -> Option<&'h str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

impl Connection {
    /// Reads more bytes into the buffer. Returns `false` at the end of the stream.
    fn read_more(&mut self) -> io::Result<bool> {
        let mut read_buffer = [0; READ_BUFFER_BYTES];
        loop {
            match self.stream.read(&mut read_buffer) {
                Ok(count) => {
                    self.buffer.extend_from_slice(&read_buffer[..count]);
                    return Ok(count > 0);
                }
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) => return Err(err),
            }
        }
    }

    /// Reads a request head. Waits up to `idle_timeout` for the first byte. The complete head must
    /// arrive within `io_timeout` of the first byte.
    fn read_head(&mut self, idle_timeout: Duration, io_timeout: Duration) -> io::Result<HeadRead> {
        self.stream.set_read_timeout(Some(idle_timeout))?;
        let mut deadline = None;
        loop {
            match self.parse_head() {
                Ok(Some(head)) => {
                    self.stream.set_read_timeout(Some(io_timeout))?;
                    return Ok(HeadRead::Complete(head));
                }
                Ok(None) if self.buffer.len() > MAX_HEAD_BYTES => {
                    return Ok(HeadRead::Invalid("431 Request Header Fields Too Large"));
                }
                Ok(None) => {}
                Err(status) => return Ok(HeadRead::Invalid(status)),
            }
            let timed_out = deadline.is_some_and(|deadline| Instant::now() >= deadline);
            let has_data = !self.buffer.is_empty();
            match if timed_out { Err(ErrorKind::TimedOut.into()) } else { self.read_more() } {
                Ok(true) => {}
                Ok(false) => return Ok(HeadRead::Closed),
                Err(_) if has_data => return Ok(HeadRead::Invalid("408 Request Timeout")),
                Err(_) => return Ok(HeadRead::Closed),
            }
            if deadline.is_none() {
                deadline = Some(Instant::now() + io_timeout);
                self.stream.set_read_timeout(Some(io_timeout))?;
            }
        }
    }

    /// Parses a request head from the buffer. Returns `None` while the head is incomplete, or the
    /// status line for an invalid head.
    fn parse_head(&mut self) -> Result<Option<RequestHead>, &'static str> {
        const BAD_REQUEST: &str = "400 Bad Request";
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let length = match parsed.parse(&self.buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(BAD_REQUEST),
        };
        let method = parsed.method.unwrap_or_default().to_owned();
        let target = parsed.path.unwrap_or_default().to_owned();
        let http_1_0 = parsed.version == Some(0);
        let headers: Vec<(String, String)> = parsed
            .headers
            .iter()
            .map(|h| (h.name.to_owned(), String::from_utf8_lossy(h.value).into_owned()))
            .collect();
        let framing = body_framing(&headers).ok_or(BAD_REQUEST)?;
        let connection = find_header(&headers, "Connection").unwrap_or_default();
        self.keep_alive = !http_1_0 && !connection.eq_ignore_ascii_case("close");
        self.buffer.drain(..length);
        let expect = find_header(&headers, "Expect").unwrap_or_default();
        let expects_continue = expect.eq_ignore_ascii_case("100-continue");
        Ok(Some(RequestHead { method, target, headers, framing, expects_continue }))
    }

    /// Rejects a request whose head is invalid.
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

/// Determines how the end of the body is detected. Returns `None` if the headers are ambiguous.
fn body_framing(headers: &[(String, String)]) -> Option<Framing> {
    let lengths: Vec<&str> = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("Content-Length"))
        .map(|(_, value)| value.trim())
        .collect();
    match (find_header(headers, "Transfer-Encoding"), lengths.as_slice()) {
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
    /// Returns the value of a header. Names are compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Returns the address of the caller, if the connection is still open.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.connection.stream.peer_addr().ok()
    }

    /// Reads the body. Reads at most `max_bytes`, and stops reading at `deadline`.
    ///
    /// # Errors
    ///
    /// The body is larger than `max_bytes`, is malformed or incomplete, or did not arrive in time.
    /// The connection is closed after the response.
    pub fn read_body(&mut self, max_bytes: u64, deadline: Instant) -> Result<Vec<u8>, BodyError> {
        let body = self.read_framed_body(max_bytes, deadline);
        self.body_read = body.is_ok();
        body
    }

    /// Reads the body according to its framing, after sending `100 Continue` if the caller waits
    /// for it.
    fn read_framed_body(
        &mut self,
        max_bytes: u64,
        deadline: Instant,
    ) -> Result<Vec<u8>, BodyError> {
        if matches!(self.framing, Framing::Length(length) if length > max_bytes) {
            return Err(BodyError::TooLarge);
        }
        if self.expects_continue {
            let interim_response = b"HTTP/1.1 100 Continue\r\n\r\n";
            self.connection.stream.write_all(interim_response).map_err(|_| BodyError::Invalid)?;
        }
        match self.framing {
            Framing::Length(length) => self.take_exact(length as usize, deadline),
            Framing::Chunked => self.read_chunks(max_bytes, deadline),
        }
    }

    /// Removes `count` bytes from the buffer, after reading until the buffer holds them.
    fn take_exact(&mut self, count: usize, deadline: Instant) -> Result<Vec<u8>, BodyError> {
        while self.connection.buffer.len() < count {
            self.read_more(deadline)?;
        }
        let rest = self.connection.buffer.split_off(count);
        Ok(std::mem::replace(&mut self.connection.buffer, rest))
    }

    /// Reads more bytes into the buffer, unless the deadline has passed.
    fn read_more(&mut self, deadline: Instant) -> Result<(), BodyError> {
        let in_time = Instant::now() < deadline;
        match in_time && self.connection.read_more().unwrap_or(false) {
            true => Ok(()),
            false => Err(BodyError::Invalid),
        }
    }

    /// Reads a chunked body. Trailers are rejected.
    fn read_chunks(&mut self, max_bytes: u64, deadline: Instant) -> Result<Vec<u8>, BodyError> {
        let mut body = Vec::new();
        loop {
            let (header_length, size) = match httparse::parse_chunk_size(&self.connection.buffer) {
                Ok(httparse::Status::Complete(found)) => found,
                Ok(httparse::Status::Partial) => {
                    self.read_more(deadline)?;
                    continue;
                }
                Err(_) => return Err(BodyError::Invalid),
            };
            if size.saturating_add(body.len() as u64) > max_bytes {
                return Err(BodyError::TooLarge);
            }
            self.connection.buffer.drain(..header_length);
            body.extend(self.take_exact(size as usize, deadline)?);
            let line_end = self.take_exact(2, deadline)?;
            match (line_end.as_slice(), size) {
                (b"\r\n", 0) => return Ok(body),
                (b"\r\n", _) => {}
                _ => return Err(BodyError::Invalid),
            }
        }
    }

    /// Closes the connection after the response.
    pub fn close_after_response(&mut self) {
        self.connection.keep_alive = false;
    }

    /// Returns the response head. Discards an unread request body first. Headers with line breaks
    /// are left out.
    fn prepare_head(&mut self, status: u16, headers: &[(String, String)], framing: &str) -> String {
        if !self.body_read {
            self.discard_body();
        }
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
        for (name, value) in
            headers.iter().filter(|(n, v)| has_no_line_break(n) && has_no_line_break(v))
        {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        let connection = if self.connection.keep_alive { "keep-alive" } else { "close" };
        head.push_str(&format!("{framing}\r\nConnection: {connection}\r\n\r\n"));
        head
    }

    /// Reads and discards an unread body of limited size, so that the caller can read the response
    /// before the connection closes. Chunked bodies are not read. The connection is closed after
    /// the response.
    fn discard_body(&mut self) {
        self.connection.keep_alive = false;
        let body_bytes = match self.framing {
            Framing::Length(length) => length,
            Framing::Chunked => return,
        };
        let mut discarded = self.connection.buffer.len() as u64;
        let timeout = Some(Duration::from_millis(200));
        if body_bytes > DISCARD_LIMIT_UNIT_BYTES * 64
            || self.connection.stream.set_read_timeout(timeout).is_err()
        {
            return;
        }
        self.connection.buffer.clear();
        while discarded < body_bytes && self.connection.read_more().unwrap_or(false) {
            discarded += self.connection.buffer.len() as u64;
            self.connection.buffer.clear();
        }
    }

    /// Sends a response with a complete body.
    ///
    /// # Errors
    ///
    /// The caller disconnected.
    pub fn respond(
        mut self,
        status: u16,
        headers: &[(String, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let length = format!("Content-Length: {}", body.len());
        let mut bytes = self.prepare_head(status, headers, &length).into_bytes();
        if self.method != "HEAD" {
            bytes.extend_from_slice(body);
        }
        let stream = &mut self.connection.stream;
        let sent = stream.write_all(&bytes).and_then(|()| stream.flush());
        self.connection.keep_alive &= sent.is_ok();
        sent
    }

    /// Starts a streamed response. Each chunk is sent immediately.
    ///
    /// # Errors
    ///
    /// The caller disconnected.
    pub fn start_stream(mut self, headers: &[(String, String)]) -> io::Result<ChunkWriter> {
        let head = self.prepare_head(200, headers, "Transfer-Encoding: chunked");
        // The connection closes at the end of the stream, so that no part of the stream can be
        // taken for the response to a later request.
        self.connection.keep_alive = false;
        let head = head.replace("Connection: keep-alive", "Connection: close");
        let mut stream = self.connection.stream.try_clone()?;
        stream.write_all(head.as_bytes())?;
        Ok(ChunkWriter { stream })
    }
}

/// Sends the chunks of a streamed response.
pub struct ChunkWriter {
    stream: TcpStream,
}

impl ChunkWriter {
    /// Sends one chunk.
    ///
    /// # Errors
    ///
    /// The caller disconnected, or left earlier chunks unread for longer than the write timeout.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.stream.write_all(chunk.as_bytes())
    }

    /// Sends the end of the response.
    ///
    /// # Errors
    ///
    /// The caller disconnected.
    pub fn end(mut self) -> io::Result<()> {
        self.stream.write_all(b"0\r\n\r\n")
    }
}

/// Reports whether a text is free of line breaks, which would end a header line.
fn has_no_line_break(text: &str) -> bool {
    !text.contains(['\r', '\n'])
}

/// Returns the reason phrase of a status code.
fn reason_phrase(status: u16) -> &'static str {
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
