//! Reads generations from model engines.
//!
//! A generation is started once and read token by token. If the connection breaks or falls silent,
//! the reader resumes the same generation at the next token. Tokens of different generations are
//! never mixed.

use crate::backend::{Connection, ExchangeError, PendingResponse, RequestHead, Response, connect};
use gypsumchute_units::BootMs;
use gypsumchute_units::time::boot_now;
use serde::Deserialize;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Timeout for connecting to an endpoint, in milliseconds.
pub const CONNECT_TIMEOUT_MS: u64 = 500;
/// Read timeout of a connection to an endpoint, in milliseconds. A waiting reader checks for
/// cancellation and deadlines at this interval.
pub const READ_TIMEOUT_MS: u64 = 250;
/// Time without data after which a connection counts as broken, in milliseconds. Engines send a
/// line at least every 250 ms.
const STREAM_SILENCE_TIMEOUT_MS: u64 = 1_000;
/// Time after the loss of a connection during which the reader tries to resume the generation, in
/// milliseconds.
const RESUME_TIMEOUT_MS: u64 = 4_000;
/// Number of consecutive refused connections after which the engine counts as down.
const MAX_REFUSED_CONNECTIONS: u32 = 3;
/// Delay between two attempts to resume, in milliseconds.
const RESUME_RETRY_DELAY_MS: u64 = 50;
/// Maximum size of a line of the stream of an engine, in bytes. A line holds one token.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Read timeout for the response to a cancellation, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 1_000;
/// Response header with the customer of a generation.
const CUSTOMER_HEADER: &str = "X-Customer";

/// One line of the stream of an engine: a token, the end of the generation or a keepalive.
#[derive(Debug, Deserialize)]
struct StreamLine {
    #[serde(default)]
    generation: String,
    index: Option<u64>,
    #[serde(default)]
    text: String,
    #[serde(default)]
    done: bool,
    tokens: Option<u64>,
}

/// Reason why a generation was not started.
#[derive(Debug)]
pub enum StartError {
    /// No byte of the request was sent.
    NotSent,
    /// The engine rejected the request with this status and does not run the generation.
    Rejected(u16),
}

/// Result of one read from a generation.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Text of the next token.
    Token(String),
    /// No new token yet. The reader may be about to reconnect.
    Idle,
    /// All tokens have been read.
    Completed,
    /// The engine is down or no longer has the generation.
    Lost,
    /// The generation could not be resumed within the time limit.
    Unreachable,
    /// The generation belongs to another customer.
    WrongCustomer,
}

/// A reader of one generation, which reconnects when the connection breaks.
pub struct GenerationReader {
    address: SocketAddr,
    generation: String,
    customer: String,
    /// Index of the next token to read.
    pub next_index: u64,
    /// Request whose response head has not arrived.
    pending: Option<PendingResponse>,
    /// Response that streams the lines of the generation.
    stream: Option<Response>,
    /// Bytes that have been received but not yet parsed.
    line_buffer: Vec<u8>,
    /// Time at which the latest line or response head was received.
    last_received_ms: BootMs,
    /// Time at which the reader started to reconnect. Reset to `None` when the next token arrives.
    disconnected_ms: Option<BootMs>,
    /// Number of consecutive refused connections.
    refused_connections: u32,
}

/// Starts a generation at an engine. Nothing is sent if the permit, which is valid until
/// `use_until_ms`, has expired by the time the connection is established. If the connection breaks
/// during or after sending, the engine may have received the request, so the returned reader tries
/// to resume the generation.
///
/// # Errors
///
/// The generation certainly does not run at this engine.
pub fn start(
    address: SocketAddr,
    use_until_ms: BootMs,
    generation: &str,
    customer: &str,
    body: &[u8],
) -> Result<GenerationReader, StartError> {
    let timeout_ms = boot_now().until(use_until_ms).min(CONNECT_TIMEOUT_MS);
    let connection =
        connect(address, timeout_ms, READ_TIMEOUT_MS).map_err(|_| StartError::NotSent)?;
    if boot_now() >= use_until_ms {
        return Err(StartError::NotSent);
    }
    let mut head = RequestHead::new("POST", "/v1/generate".to_owned());
    head.headers.push(("Content-Type".to_owned(), "application/json".to_owned()));
    let mut reader = GenerationReader::new(address, generation, customer, 0);
    reader.pending = connection.send(&head, body).ok();
    reader.await_head()?;
    Ok(reader)
}

/// Returns a reader that resumes a running generation at `next_index`. The first read connects.
pub fn resume(
    address: SocketAddr,
    generation: &str,
    customer: &str,
    next_index: u64,
) -> GenerationReader {
    GenerationReader::new(address, generation, customer, next_index)
}

/// Cancels a generation at the engine. With `if_unread`, the engine keeps running a generation that
/// still has a reader. Returns whether the generation has certainly ended.
pub fn cancel(address: SocketAddr, generation: &str, if_unread: bool) -> bool {
    let target = format!("/v1/generations/{generation}?if_unread={if_unread}");
    let sent = connect(address, CONNECT_TIMEOUT_MS, CANCEL_TIMEOUT_MS)
        .and_then(|connection| connection.send(&RequestHead::new("DELETE", target), b""));
    let Ok(mut pending) = sent else { return false };
    loop {
        match pending.read_head() {
            Ok(None) => continue,
            Ok(Some(response)) => return matches!(response.status, 200 | 404),
            Err(_) => return false,
        }
    }
}

impl GenerationReader {
    fn new(address: SocketAddr, generation: &str, customer: &str, next_index: u64) -> Self {
        GenerationReader {
            address,
            generation: generation.to_owned(),
            customer: customer.to_owned(),
            next_index,
            pending: None,
            stream: None,
            line_buffer: Vec::new(),
            last_received_ms: boot_now(),
            disconnected_ms: None,
            refused_connections: 0,
        }
    }

    /// Waits for the response head, to detect a rejected request. Returns after a read error or
    /// after [`STREAM_SILENCE_TIMEOUT_MS`] without data; reading then starts with a reconnect.
    fn await_head(&mut self) -> Result<(), StartError> {
        while let Some(pending) = &mut self.pending {
            match pending.read_head() {
                Ok(Some(response)) if response.status == 200 => {
                    self.set_stream(response);
                }
                Ok(Some(response)) => return Err(StartError::Rejected(response.status)),
                Ok(None) => {}
                Err(ExchangeError::ReadTimeout)
                    if boot_now().since(self.last_received_ms) < STREAM_SILENCE_TIMEOUT_MS => {}
                Err(_) => self.pending = None,
            }
        }
        Ok(())
    }

    /// Continues reading from the stream of `response`.
    fn set_stream(&mut self, response: Response) {
        self.pending = None;
        self.stream = Some(response);
        self.line_buffer.clear();
        self.last_received_ms = boot_now();
    }

    /// Closes the connection, so that the engine no longer counts this reader.
    pub fn close(&mut self) {
        self.stream = None;
        self.pending = None;
    }

    /// Returns the next token or the state of the generation. Blocks for about one read timeout or
    /// one attempt to reconnect if no token is available.
    pub fn read(&mut self) -> ReadOutcome {
        match self.stream.take() {
            None => self.reconnect(),
            Some(mut stream) => match self.next_line(&mut stream) {
                Ok(Some(line)) => self.handle_line(stream, &line),
                Ok(None) => ReadOutcome::Idle,
                Err(ExchangeError::ReadTimeout) => {
                    if boot_now().since(self.last_received_ms) < STREAM_SILENCE_TIMEOUT_MS {
                        self.stream = Some(stream);
                    }
                    ReadOutcome::Idle
                }
                Err(ExchangeError::Protocol(_)) => {
                    thread::sleep(Duration::from_millis(RESUME_RETRY_DELAY_MS));
                    ReadOutcome::Idle
                }
                Err(ExchangeError::Io(_)) => ReadOutcome::Idle,
            },
        }
    }

    /// Returns the next line of the stream, or `None` at the end of the stream.
    fn next_line(&mut self, stream: &mut Response) -> Result<Option<Vec<u8>>, ExchangeError> {
        loop {
            if let Some(end) = self.line_buffer.iter().position(|byte| *byte == b'\n') {
                let rest = self.line_buffer.split_off(end + 1);
                return Ok(Some(std::mem::replace(&mut self.line_buffer, rest)));
            }
            match stream.next_data()? {
                Some(_) if self.line_buffer.len() > MAX_LINE_BYTES => {
                    return Err(ExchangeError::Protocol("line is too long"));
                }
                Some(data) => self.line_buffer.extend(data),
                None => return Ok(None),
            }
        }
    }

    /// Checks a line against the generation and the next index. After a gap or an unexpected end
    /// the stream is dropped, so that the next read reconnects. Lines of other generations and
    /// tokens that were already read are skipped.
    fn handle_line(&mut self, stream: Response, line: &[u8]) -> ReadOutcome {
        self.last_received_ms = boot_now();
        let Ok(line) = serde_json::from_slice::<StreamLine>(line) else { return ReadOutcome::Idle };
        let same_generation = line.generation == self.generation;
        match line.index {
            Some(index) if same_generation && index == self.next_index => {
                self.stream = Some(stream);
                self.next_index += 1;
                self.disconnected_ms = None;
                self.refused_connections = 0;
                ReadOutcome::Token(line.text)
            }
            Some(index) if same_generation && index > self.next_index => ReadOutcome::Idle,
            None if same_generation && line.done => match line.tokens == Some(self.next_index) {
                true => ReadOutcome::Completed,
                false => ReadOutcome::Idle,
            },
            _ => {
                self.stream = Some(stream);
                ReadOutcome::Idle
            }
        }
    }

    /// Makes one attempt to resume the generation at the next index.
    fn reconnect(&mut self) -> ReadOutcome {
        let disconnected_ms = *self.disconnected_ms.get_or_insert_with(boot_now);
        if boot_now().since(disconnected_ms) > RESUME_TIMEOUT_MS {
            return ReadOutcome::Unreachable;
        }
        match self.request_resume() {
            Ok(response) if response.status == 404 => ReadOutcome::Lost,
            Ok(response) if response.status == 200 => {
                let customer = response.header(CUSTOMER_HEADER).unwrap_or_default();
                if customer != self.customer {
                    return ReadOutcome::WrongCustomer;
                }
                self.set_stream(response);
                ReadOutcome::Idle
            }
            Ok(_) => ReadOutcome::Idle,
            Err(err) => {
                let refused = err.kind() == io::ErrorKind::ConnectionRefused;
                self.refused_connections = if refused { self.refused_connections + 1 } else { 0 };
                if self.refused_connections >= MAX_REFUSED_CONNECTIONS {
                    return ReadOutcome::Lost;
                }
                thread::sleep(Duration::from_millis(RESUME_RETRY_DELAY_MS));
                ReadOutcome::Idle
            }
        }
    }

    /// Requests the generation from the next index on and waits for the response head.
    fn request_resume(&self) -> io::Result<Response> {
        let target = format!("/v1/generations/{}?from={}", self.generation, self.next_index);
        let connection: Connection =
            connect(self.address, CONNECT_TIMEOUT_MS, STREAM_SILENCE_TIMEOUT_MS)?;
        let mut pending = connection.send(&RequestHead::new("GET", target), b"")?;
        loop {
            match pending.read_head() {
                Ok(Some(response)) => return Ok(response),
                Ok(None) => {}
                Err(ExchangeError::Io(err)) => return Err(err),
                Err(_) => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }
}
