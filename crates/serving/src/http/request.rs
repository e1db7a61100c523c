//! A request whose head has been read, and the response to it.

use super::connection::{BODY_READ_BYTES, Connection, find_header};
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Unit of the limit on unread request bodies, in bytes. A body of up to 64 times this size (16
/// MiB) is read and discarded before the response is sent.
const DISCARD_LIMIT_UNIT_BYTES: u64 = 256 << 10;
/// Maximum time without progress while an unread body is discarded, in milliseconds.
const DISCARD_STALL_MS: u64 = 200;
/// Maximum time for discarding an unread body, in milliseconds. Clients that send a byte at a time
/// would otherwise hold the connection without a bound.
const DISCARD_TIMEOUT_MS: u64 = 2_000;
/// Maximum size of the line that starts a chunk, in bytes. Extensions of a chunk have no use here.
const MAX_CHUNK_LINE_BYTES: usize = 1 << 10;
/// Size of one read while the line that starts a chunk is incomplete, in bytes.
const CHUNK_LINE_READ_BYTES: usize = 1 << 10;

/// How the end of a request body is detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
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
    pub(super) framing: Framing,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(super) expects_continue: bool,
    /// Whether the complete body has been read.
    pub(super) body_read: bool,
    pub(super) connection: &'c mut Connection,
}

/// Reason why a request body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The body is malformed or incomplete, or did not arrive in time.
    Invalid,
    /// Too many bytes of requests are held at once.
    NoRoom,
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
    /// The body is larger than `max_bytes`, is malformed or incomplete, did not arrive in time, or
    /// has no room in the budget for requests.
    /// The connection is closed after the response.
    pub fn read_body(&mut self, max_bytes: u64, deadline: Instant) -> Result<Vec<u8>, BodyError> {
        let body = self.read_framed_body(max_bytes, deadline);
        self.body_read = body.is_ok();
        if self.body_read {
            self.connection.slot.set_busy(true);
        }
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
            (&*self.connection.stream)
                .write_all(interim_response)
                .map_err(|_| BodyError::Invalid)?;
        }
        match self.framing {
            Framing::Length(length) => self.take_exact(length as usize, 0, deadline),
            Framing::Chunked => self.read_chunks(max_bytes, deadline),
        }
    }

    /// Removes `count` bytes from the buffer, after reading until the buffer holds them. `held_bytes`
    /// of the body are held outside the buffer.
    fn take_exact(
        &mut self,
        count: usize,
        held_bytes: usize,
        deadline: Instant,
    ) -> Result<Vec<u8>, BodyError> {
        while self.connection.buffer.len() < count {
            let missing = count - self.connection.buffer.len();
            self.read_more(missing.min(BODY_READ_BYTES), held_bytes, deadline)?;
        }
        let rest = self.connection.buffer.split_off(count);
        Ok(std::mem::replace(&mut self.connection.buffer, rest))
    }

    /// Reads at most `max_bytes` into the buffer, unless the deadline has passed.
    fn read_more(
        &mut self,
        max_bytes: usize,
        held_bytes: usize,
        deadline: Instant,
    ) -> Result<(), BodyError> {
        if Instant::now() >= deadline {
            return Err(BodyError::Invalid);
        }
        match self.connection.read_bytes(max_bytes, held_bytes) {
            Ok(true) => Ok(()),
            Err(err) if err.kind() == ErrorKind::OutOfMemory => Err(BodyError::NoRoom),
            Ok(false) | Err(_) => Err(BodyError::Invalid),
        }
    }

    /// Reads a chunked body. Trailers are rejected.
    fn read_chunks(&mut self, max_bytes: u64, deadline: Instant) -> Result<Vec<u8>, BodyError> {
        let mut body = Vec::new();
        loop {
            let (header_length, size) = match httparse::parse_chunk_size(&self.connection.buffer) {
                Ok(httparse::Status::Complete(found)) => found,
                Ok(httparse::Status::Partial) => {
                    if self.connection.buffer.len() > MAX_CHUNK_LINE_BYTES {
                        return Err(BodyError::Invalid);
                    }
                    self.read_more(CHUNK_LINE_READ_BYTES, body.capacity(), deadline)?;
                    continue;
                }
                Err(_) => return Err(BodyError::Invalid),
            };
            if size.saturating_add(body.len() as u64) > max_bytes {
                return Err(BodyError::TooLarge);
            }
            self.connection.buffer.drain(..header_length);
            let chunk = self.take_exact(size as usize, body.capacity(), deadline)?;
            self.append_chunk(&mut body, &chunk)?;
            let line_end = self.take_exact(2, body.capacity(), deadline)?;
            match (line_end.as_slice(), size) {
                (b"\r\n", 0) => return Ok(body),
                (b"\r\n", _) => {}
                _ => return Err(BodyError::Invalid),
            }
        }
    }

    /// Appends a chunk to the body, if there is memory for it.
    fn append_chunk(&mut self, body: &mut Vec<u8>, chunk: &[u8]) -> Result<(), BodyError> {
        let length = body.len() + chunk.len();
        if length > body.capacity() {
            let capacity = length.max(body.len() * 2);
            if !self.connection.memory.resize(capacity + self.connection.buffer.capacity()) {
                return Err(BodyError::NoRoom);
            }
            body.reserve_exact(capacity - body.len());
        }
        body.extend_from_slice(chunk);
        Ok(())
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
        let timeout = Some(Duration::from_millis(DISCARD_STALL_MS));
        let deadline = Instant::now() + Duration::from_millis(DISCARD_TIMEOUT_MS);
        if body_bytes > DISCARD_LIMIT_UNIT_BYTES * 64
            || self.connection.stream.set_read_timeout(timeout).is_err()
        {
            return;
        }
        // Returns the memory of the body before waiting for the rest of it.
        self.connection.buffer = Vec::new();
        let _ = self.connection.memory.resize(0);
        while discarded < body_bytes
            && Instant::now() < deadline
            && self.connection.read_bytes(BODY_READ_BYTES, 0).unwrap_or(false)
        {
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
        let sent = (&*self.connection.stream).write_all(&bytes);
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
        let stream = self.connection.stream.clone();
        (&*stream).write_all(head.as_bytes())?;
        Ok(ChunkWriter { stream })
    }
}

/// Sends the chunks of a streamed response.
pub struct ChunkWriter {
    stream: Arc<TcpStream>,
}

impl ChunkWriter {
    /// Sends one chunk.
    ///
    /// # Errors
    ///
    /// The caller disconnected, or left earlier chunks unread for longer than the write timeout.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        (&*self.stream).write_all(chunk.as_bytes())
    }

    /// Sends the end of the response.
    ///
    /// # Errors
    ///
    /// The caller disconnected.
    pub fn end(self) -> io::Result<()> {
        (&*self.stream).write_all(b"0\r\n\r\n")
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
