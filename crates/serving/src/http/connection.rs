//! Reads request heads from a connection, within limits on size, time and memory.

use super::request::{Framing, Request};
use crate::byte_budget::ByteShare;
use crate::connections::ConnectionSlot;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 100;
/// Size of one read while a head is incomplete, in bytes. It is small because idle connections keep
/// a buffer of this size each.
const HEAD_READ_BYTES: usize = 1 << 10;
/// Size of one read while a body is incomplete, in bytes.
pub(super) const BODY_READ_BYTES: usize = 16 << 10;

/// Connection of one client.
pub(super) struct Connection {
    /// Place among the open connections. It is busy only while a complete request is served, so that
    /// connections with an incomplete body make room for new ones.
    pub slot: ConnectionSlot,
    pub stream: Arc<TcpStream>,
    /// Bytes that have been received but not yet used.
    pub buffer: Vec<u8>,
    /// Whether the connection stays open for another request.
    pub keep_alive: bool,
    /// Memory of the buffer and of the body that is being read or served.
    pub memory: ByteShare,
}

/// Result of reading a request head.
pub(super) enum HeadRead {
    Complete(RequestHead),
    /// The caller closed the connection or sent no request in time.
    Closed,
    /// The head was rejected with this status line.
    Invalid(&'static str),
}

/// A parsed request head.
pub(super) struct RequestHead {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
    framing: Framing,
    expects_continue: bool,
}

impl RequestHead {
    pub fn into_request(self, connection: &mut Connection) -> Request<'_> {
        if self.framing == Framing::Length(0) {
            connection.slot.set_busy(true);
        }
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
pub(super) fn find_header<'h>(headers: &'h [(String, String)], name: &str) -> Option<&'h str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

impl Connection {
    /// Reads at most `max_bytes` into the buffer, for a message of which `held_bytes` are held
    /// outside the buffer. Returns `false` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Reading failed, or there is no memory for more bytes ([`ErrorKind::OutOfMemory`]).
    pub fn read_bytes(&mut self, max_bytes: usize, held_bytes: usize) -> io::Result<bool> {
        let length = self.buffer.len();
        let needed = length + max_bytes;
        if self.buffer.capacity() < needed {
            // Growth by half keeps the number of copies small.
            let capacity = needed.max(length + length / 2);
            if !self.memory.resize(capacity + held_bytes) {
                return Err(ErrorKind::OutOfMemory.into());
            }
            self.buffer.reserve_exact(capacity - length);
        }
        self.buffer.resize(needed, 0);
        let read = loop {
            match (&*self.stream).read(&mut self.buffer[length..]) {
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                read => break read,
            }
        };
        self.buffer.truncate(length + read.as_ref().copied().unwrap_or(0));
        Ok(read? > 0)
    }

    /// Releases the memory of the previous request.
    fn release_memory(&mut self) {
        match self.buffer.is_empty() {
            true => self.buffer = Vec::new(),
            false => self.buffer.shrink_to_fit(),
        }
        // A smaller share has room unless small messages use up their part of the budget.
        let _ = self.memory.resize(self.buffer.capacity());
    }

    /// Reads a request head. Waits up to `idle_timeout` for the first byte. The complete head must
    /// arrive within `io_timeout` of the first byte.
    pub fn read_head(
        &mut self,
        idle_timeout: Duration,
        io_timeout: Duration,
    ) -> io::Result<HeadRead> {
        self.release_memory();
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
            let read = match timed_out {
                true => Err(ErrorKind::TimedOut.into()),
                false => self.read_bytes(HEAD_READ_BYTES, 0),
            };
            match read {
                Ok(true) => {}
                Err(err) if err.kind() == ErrorKind::OutOfMemory => {
                    return Ok(HeadRead::Invalid("503 Service Unavailable"));
                }
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
        if self.buffer.is_empty() {
            return Ok(None);
        }
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

    /// Rejects a request whose head is invalid or has no room.
    pub fn refuse(&mut self, status: &str) -> io::Result<()> {
        let (code, message, retry_after_ms) = match status.starts_with("503") {
            true => ("overloaded", "too many requests are being read", "1000"),
            false => ("malformed", "the request is malformed", "null"),
        };
        let text = format!(
            r#"{{"error":{{"code":"{code}","message":"{message}","verdict":"not_run","retry_after_ms":{retry_after_ms}}}}}"#
        );
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n{text}",
            text.len()
        );
        (&*self.stream).write_all(head.as_bytes())
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
