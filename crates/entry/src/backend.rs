//! HTTP/1.1 towards endpoints, connection by connection, in steps: connect, then check that the
//! permit is still good, then write. Each error says whether a byte may have reached the endpoint.
//!
//! `attohttpc` writes as soon as it has connected and does not tell how far it came, so requests
//! that carry a verdict are parsed with `httparse` here instead. A connection serves one request.

use quick_error::quick_error;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
const MAX_HEADERS: usize = 100;
const READ_BYTES: usize = 16 << 10;

quick_error! {
    /// Why an exchange with an endpoint failed.
    #[derive(Debug)]
    pub enum ExchangeError {
        /// The connection failed or ended early.
        Io(err: io::Error) {
            from()
            display("the connection failed: {}", err)
        }
        /// The answer breaks the protocol.
        Protocol(what: &'static str) {
            display("the endpoint's answer breaks the protocol: {}", what)
        }
        /// Nothing came within the read timeout; reading may go on.
        ReadTimeout {
            display("nothing came for a while")
        }
    }
}

/// A connection on which nothing has been written.
pub struct Connection {
    stream: TcpStream,
}

/// The head of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Path with query.
    pub target: String,
    /// Headers besides `Host`, `Content-Length` and `Connection`.
    pub headers: Vec<(String, String)>,
}

impl RequestHead {
    /// A request without headers of its own.
    pub fn new(method: &str, target: String) -> Self {
        RequestHead { method: method.to_owned(), target, headers: Vec::new() }
    }
}

/// Connects; an error means that nothing was sent.
///
/// # Errors
///
/// The endpoint refused, or did not answer within `timeout_ms`.
pub fn connect(address: SocketAddr, timeout_ms: u64, read_ms: u64) -> io::Result<Connection> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(timeout_ms.max(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(read_ms)))?;
    stream.set_write_timeout(Some(Duration::from_millis(timeout_ms.max(1_000))))?;
    Ok(Connection { stream })
}

impl Connection {
    /// Writes a request. After an error some of it may have been sent.
    ///
    /// # Errors
    ///
    /// The connection failed.
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
        Ok(PendingResponse { stream: self.stream, buffer: Vec::new() })
    }
}

/// A request whose answer has not begun.
pub struct PendingResponse {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// How the end of a body is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length(u64),
    Chunked { left_in_chunk: u64, first: bool },
    UntilClose,
    Ended,
}

/// An answer whose head has arrived.
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers as they came.
    pub headers: Vec<(String, String)>,
    stream: TcpStream,
    buffer: Vec<u8>,
    framing: Framing,
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<usize, ExchangeError> {
    let mut chunk = [0; READ_BYTES];
    match stream.read(&mut chunk) {
        Ok(count) => {
            buffer.extend_from_slice(&chunk[..count]);
            Ok(count)
        }
        Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            Err(ExchangeError::ReadTimeout)
        }
        Err(err) if err.kind() == ErrorKind::Interrupted => Err(ExchangeError::ReadTimeout),
        Err(err) => Err(ExchangeError::Io(err)),
    }
}

fn ended_early() -> ExchangeError {
    ExchangeError::Io(io::Error::from(ErrorKind::UnexpectedEof))
}

impl PendingResponse {
    /// Waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::Quiet`] after each read timeout: the caller decides whether to go on.
    pub fn read_head(&mut self) -> Result<Option<Response>, ExchangeError> {
        if let Some(answer) = self.parse()? {
            return Ok(Some(answer));
        }
        match read_more(&mut self.stream, &mut self.buffer)? {
            0 => Err(ended_early()),
            _ => self.parse(),
        }
    }

    fn parse(&mut self) -> Result<Option<Response>, ExchangeError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(&self.buffer);
        let parsed = parsed.map_err(|_| ExchangeError::Protocol("its head can't be parsed"))?;
        let httparse::Status::Complete(length) = parsed else {
            return match self.buffer.len() > MAX_HEAD_BYTES {
                true => Err(ExchangeError::Protocol("its head is too large")),
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

fn framing_of(status: u16, headers: &[(String, String)]) -> Result<Framing, ExchangeError> {
    let find = |name: &str| {
        headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    };
    match (status, find("Transfer-Encoding"), find("Content-Length")) {
        (204 | 304, _, _) => Ok(Framing::Ended),
        (_, Some(coding), _) if coding.eq_ignore_ascii_case("chunked") => {
            Ok(Framing::Chunked { left_in_chunk: 0, first: true })
        }
        (_, Some(_), _) => Err(ExchangeError::Protocol("its transfer encoding is unknown")),
        (_, None, Some(length)) => match length.parse() {
            Ok(0) => Ok(Framing::Ended),
            Ok(length) => Ok(Framing::Length(length)),
            Err(_) => Err(ExchangeError::Protocol("its length is no number")),
        },
        (_, None, None) => Ok(Framing::UntilClose),
    }
}

impl Response {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The next piece of the body; `None` at its proper end.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::Quiet`] after each read timeout; any other error means that the body is
    /// not whole.
    pub fn next_data(&mut self) -> Result<Option<Vec<u8>>, ExchangeError> {
        loop {
            if let Some(piece) = self.take_buffered()? {
                return Ok(Some(piece));
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
                    _ => Err(ended_early()),
                };
            }
        }
    }

    fn take_buffered(&mut self) -> Result<Option<Vec<u8>>, ExchangeError> {
        match self.framing {
            Framing::Ended => Ok(None),
            _ if self.buffer.is_empty() => Ok(None),
            Framing::UntilClose => Ok(Some(std::mem::take(&mut self.buffer))),
            Framing::Length(left) => {
                let piece = self.take(left);
                self.framing = match left - piece.len() as u64 {
                    0 => Framing::Ended,
                    left => Framing::Length(left),
                };
                Ok(Some(piece))
            }
            Framing::Chunked { left_in_chunk: 0, first } => self.next_chunk(first),
            Framing::Chunked { left_in_chunk, .. } => {
                let piece = self.take(left_in_chunk);
                let left_in_chunk = left_in_chunk - piece.len() as u64;
                self.framing = Framing::Chunked { left_in_chunk, first: false };
                Ok(Some(piece))
            }
        }
    }

    /// Reads a chunk's size line, with the line end of the chunk before it.
    fn next_chunk(&mut self, first: bool) -> Result<Option<Vec<u8>>, ExchangeError> {
        let skip = if first { 0 } else { 2 };
        let Some(rest) = self.buffer.get(skip..) else { return Ok(None) };
        match httparse::parse_chunk_size(rest) {
            Err(_) => Err(ExchangeError::Protocol("its chunk size can't be parsed")),
            Ok(httparse::Status::Partial) => Ok(None),
            Ok(httparse::Status::Complete((_, 0))) => {
                self.framing = Framing::Ended;
                Ok(None)
            }
            Ok(httparse::Status::Complete((length, size))) => {
                self.buffer.drain(..skip + length);
                self.framing = Framing::Chunked { left_in_chunk: size, first: false };
                match self.buffer.is_empty() {
                    true => Ok(None),
                    false => self.take_buffered(),
                }
            }
        }
    }

    fn take(&mut self, most: u64) -> Vec<u8> {
        let count = (self.buffer.len() as u64).min(most) as usize;
        let rest = self.buffer.split_off(count);
        std::mem::replace(&mut self.buffer, rest)
    }
}
