//! HTTP/1.1 client for endpoints. Connecting, writing the request and reading the response are
//! separate functions, so that the permit can be checked once the connection is open, and each
//! error shows whether a byte of the request may have reached the endpoint.
//!
//! `attohttpc` writes as soon as it has connected and does not report how much it wrote. Requests
//! for which it must be known whether the endpoint may have run them therefore use this client,
//! which parses responses with `httparse`. A connection serves one request.

use quick_error::quick_error;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum size of the line with the size of a chunk, in bytes.
const MAX_CHUNK_HEADER_BYTES: usize = 4 << 10;
/// Time within which a response head must be complete after its first byte, in milliseconds. TCP
/// retransmits a lost packet after 1 s.
const HEAD_TIMEOUT_MS: u64 = 1_200;
/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 100;
/// End of a line in a head and of a chunk.
const LINE_END: &[u8] = b"\r\n";
/// Size of the buffer for one read from a socket, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;

quick_error! {
    /// Reason why an exchange with an endpoint failed.
    #[derive(Debug)]
    pub enum ExchangeError {
        /// The connection failed or was closed before the response was complete.
        Io(err: io::Error) {
            from()
            display("connection to the endpoint failed: {}", err)
        }
        /// The response is not valid HTTP or exceeds a limit.
        Protocol(detail: &'static str) {
            display("invalid response from the endpoint: {}", detail)
        }
        /// No data arrived within the read timeout. Reading may continue.
        ReadTimeout {
            display("read from the endpoint timed out")
        }
    }
}

/// A connection to an endpoint on which nothing has been written yet.
pub struct Connection {
    stream: TcpStream,
}

/// Head of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// HTTP method.
    pub method: String,
    /// Path with the query string.
    pub target: String,
    /// Headers other than `Host`, `Content-Length` and `Connection`, which are added when the
    /// request is sent.
    pub headers: Vec<(String, String)>,
}

impl RequestHead {
    /// Returns a request head without headers.
    pub fn new(method: &str, target: String) -> Self {
        RequestHead { method: method.to_owned(), target, headers: Vec::new() }
    }
}

/// Opens a connection to an endpoint within `timeout_ms`. Each read times out after
/// `read_timeout_ms`, and each write after `timeout_ms` or one second, whichever is longer.
///
/// # Errors
///
/// The endpoint refused the connection or did not respond within `timeout_ms`. Nothing was sent.
pub fn connect(
    address: SocketAddr,
    timeout_ms: u64,
    read_timeout_ms: u64,
) -> io::Result<Connection> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(timeout_ms.max(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(read_timeout_ms)))?;
    stream.set_write_timeout(Some(Duration::from_millis(timeout_ms.max(1_000))))?;
    Ok(Connection { stream })
}

impl Connection {
    /// Writes a request.
    ///
    /// # Errors
    ///
    /// The connection failed. Part of the request or all of it may have been sent.
    pub fn send(mut self, head: &RequestHead, body: &[u8]) -> io::Result<PendingResponse> {
        let peer = self.stream.peer_addr()?;
        let mut text = format!("{} {} HTTP/1.1\r\nHost: {peer}\r\n", head.method, head.target);
        for (name, value) in &head.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)?;
        Ok(PendingResponse { stream: self.stream, buffer: Vec::new(), first_byte_at: None })
    }
}

/// A request that was sent and whose response head has not arrived completely.
pub struct PendingResponse {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// When the first byte of the head arrived.
    first_byte_at: Option<Instant>,
}

/// How the end of a response body is detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// Number of bytes of the body that remain.
    Length(u64),
    /// Number of bytes that remain in the current chunk, and whether the next chunk is the first
    /// one.
    Chunked { remaining_in_chunk: u64, first: bool },
    /// The body ends when the endpoint closes the connection.
    UntilClose,
    /// The body has been read or the response has none.
    Ended,
}

/// A response whose head has been read.
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Headers as received.
    pub headers: Vec<(String, String)>,
    stream: TcpStream,
    buffer: Vec<u8>,
    framing: Framing,
}

/// Reads available bytes into `buffer` and returns their number, or 0 at the end of the stream.
fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<usize, ExchangeError> {
    let mut read_buffer = [0; READ_BUFFER_BYTES];
    match stream.read(&mut read_buffer) {
        Ok(count) => {
            buffer.extend_from_slice(&read_buffer[..count]);
            Ok(count)
        }
        Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            Err(ExchangeError::ReadTimeout)
        }
        Err(err) if err.kind() == ErrorKind::Interrupted => Err(ExchangeError::ReadTimeout),
        Err(err) => Err(ExchangeError::Io(err)),
    }
}

/// Returns the error for a connection that was closed before the response was complete.
fn unexpected_eof() -> ExchangeError {
    ExchangeError::Io(io::Error::from(ErrorKind::UnexpectedEof))
}

impl PendingResponse {
    /// Reads more of the response head. Returns `None` while the head is incomplete.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::ReadTimeout`] after each read timeout, after which the caller of this
    /// function decides whether to continue.
    pub fn read_head(&mut self) -> Result<Option<Response>, ExchangeError> {
        if let Some(response) = self.parse_head()? {
            return Ok(Some(response));
        }
        let read = read_more(&mut self.stream, &mut self.buffer);
        if !self.buffer.is_empty() {
            let first_byte_at = *self.first_byte_at.get_or_insert_with(Instant::now);
            if first_byte_at.elapsed() > Duration::from_millis(HEAD_TIMEOUT_MS) {
                return Err(ExchangeError::Protocol("response head is incomplete for too long"));
            }
        }
        match read? {
            0 => Err(unexpected_eof()),
            _ => self.parse_head(),
        }
    }

    /// Parses the response head, if all of it has been received.
    fn parse_head(&mut self) -> Result<Option<Response>, ExchangeError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(&self.buffer);
        let parsed = parsed.map_err(|_| ExchangeError::Protocol("malformed response head"))?;
        let httparse::Status::Complete(length) = parsed else {
            return match self.buffer.len() > MAX_HEAD_BYTES {
                true => Err(ExchangeError::Protocol("response head is too large")),
                false => Ok(None),
            };
        };
        let status = response.code.unwrap_or(0);
        let headers: Vec<(String, String)> = response
            .headers
            .iter()
            .map(|h| (h.name.to_owned(), String::from_utf8_lossy(h.value).into_owned()))
            .collect();
        let framing = framing_of(status, &headers)?;
        let stream = self.stream.try_clone()?;
        let buffer = self.buffer.split_off(length);
        Ok(Some(Response { status, headers, stream, buffer, framing }))
    }
}

/// Determines from the status and the headers how the end of the body is detected.
fn framing_of(status: u16, headers: &[(String, String)]) -> Result<Framing, ExchangeError> {
    let header_value = |name: &str| {
        headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    };
    match (status, header_value("Transfer-Encoding"), header_value("Content-Length")) {
        (204 | 304, _, _) => Ok(Framing::Ended),
        (_, Some(coding), _) if coding.eq_ignore_ascii_case("chunked") => {
            Ok(Framing::Chunked { remaining_in_chunk: 0, first: true })
        }
        (_, Some(_), _) => Err(ExchangeError::Protocol("unsupported transfer encoding")),
        (_, None, Some(length)) => match length.parse() {
            Ok(0) => Ok(Framing::Ended),
            Ok(length) => Ok(Framing::Length(length)),
            Err(_) => Err(ExchangeError::Protocol("Content-Length is not a number")),
        },
        (_, None, None) => Ok(Framing::UntilClose),
    }
}

impl Response {
    /// Returns the value of a header. Names are compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the next part of the body as soon as it arrives, or `None` at the end of a complete
    /// body.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::ReadTimeout`] after each read timeout. Any other error means that the body
    /// is incomplete.
    pub fn next_data(&mut self) -> Result<Option<Vec<u8>>, ExchangeError> {
        loop {
            if let Some(data) = self.take_buffered()? {
                return Ok(Some(data));
            }
            if self.framing == Framing::Ended {
                return Ok(None);
            }
            if read_more(&mut self.stream, &mut self.buffer)? == 0 {
                return match self.framing {
                    Framing::UntilClose => {
                        self.framing = Framing::Ended;
                        Ok(None)
                    }
                    _ => Err(unexpected_eof()),
                };
            }
        }
    }

    /// Returns body data that has already been received, or `None` if more must be read first.
    fn take_buffered(&mut self) -> Result<Option<Vec<u8>>, ExchangeError> {
        match self.framing {
            Framing::Ended => Ok(None),
            _ if self.buffer.is_empty() => Ok(None),
            Framing::UntilClose => Ok(Some(std::mem::take(&mut self.buffer))),
            Framing::Length(remaining) => {
                let data = self.take_up_to(remaining);
                self.framing = match remaining - data.len() as u64 {
                    0 => Framing::Ended,
                    remaining => Framing::Length(remaining),
                };
                Ok(Some(data))
            }
            Framing::Chunked { remaining_in_chunk: 0, first } => self.read_chunk_header(first),
            Framing::Chunked { remaining_in_chunk, .. } => {
                let data = self.take_up_to(remaining_in_chunk);
                let remaining_in_chunk = remaining_in_chunk - data.len() as u64;
                self.framing = Framing::Chunked { remaining_in_chunk, first: false };
                Ok(Some(data))
            }
        }
    }

    /// Reads the size line of a chunk, and before it the line end of the previous chunk. Returns
    /// data of the chunk that has already been received.
    ///
    /// Trailers are an error: the rest of a body looks like them if a chunk size is damaged.
    fn read_chunk_header(&mut self, first: bool) -> Result<Option<Vec<u8>>, ExchangeError> {
        let line_end = if first { &b""[..] } else { LINE_END };
        let Some(rest) = self.buffer.get(line_end.len()..) else { return Ok(None) };
        if !self.buffer.starts_with(line_end)
            || rest.first().is_some_and(|b| !b.is_ascii_hexdigit())
        {
            return Err(ExchangeError::Protocol("malformed chunk"));
        }
        match httparse::parse_chunk_size(rest) {
            Err(_) => Err(ExchangeError::Protocol("malformed chunk size")),
            Ok(httparse::Status::Partial) if rest.len() > MAX_CHUNK_HEADER_BYTES => {
                Err(ExchangeError::Protocol("chunk size is too long"))
            }
            Ok(httparse::Status::Partial) => Ok(None),
            Ok(httparse::Status::Complete((length, 0))) => match &rest[length..] {
                end if end.starts_with(LINE_END) => {
                    self.framing = Framing::Ended;
                    Ok(None)
                }
                end if LINE_END.starts_with(end) => Ok(None),
                _ => Err(ExchangeError::Protocol("unexpected trailers")),
            },
            Ok(httparse::Status::Complete((length, size))) => {
                self.buffer.drain(..line_end.len() + length);
                self.framing = Framing::Chunked { remaining_in_chunk: size, first: false };
                match self.buffer.is_empty() {
                    true => Ok(None),
                    false => self.take_buffered(),
                }
            }
        }
    }

    /// Removes and returns at most `max_bytes` from the start of the buffer.
    fn take_up_to(&mut self, max_bytes: u64) -> Vec<u8> {
        let count = (self.buffer.len() as u64).min(max_bytes) as usize;
        let rest = self.buffer.split_off(count);
        std::mem::replace(&mut self.buffer, rest)
    }
}
