//! A generation at a model engine: begun once, read token by token, resumed on the same generation
//! whenever the connection breaks or falls silent, never mixed with another one.

use crate::backend::{Connection, ExchangeError, PendingResponse, RequestHead, Response, connect};
use gypsumchute_units::BootMs;
use gypsumchute_units::time::boot_now;
use serde::Deserialize;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Longest wait for a connection to an endpoint.
pub const CONNECT_TIMEOUT_MS: u64 = 500;
/// Read timeout: how often a waiting reader looks up.
pub const READ_TIMEOUT_MS: u64 = 250;
/// Silence after which a connection counts as dead; engines send a line at least every 250 ms.
const SILENCE_MS: u64 = 1_000;
/// How long a broken generation is tried to be resumed.
const RESUME_MS: u64 = 4_000;
/// Refused connections in a row after which the engine counts as down.
const REFUSALS_MAX: u32 = 3;
/// Wait between two tries to resume.
const RESUME_PAUSE_MS: u64 = 50;
/// Longest wait for an engine to take a cancellation.
const CANCEL_MS: u64 = 1_000;
/// Header in which an engine names the customer of a generation.
const CUSTOMER_HEADER: &str = "X-Customer";

#[derive(Debug, Deserialize)]
struct Line {
    #[serde(default)]
    generation: String,
    index: Option<u64>,
    #[serde(default)]
    text: String,
    #[serde(default)]
    done: bool,
    tokens: Option<u64>,
}

/// Why a generation could not be begun.
#[derive(Debug)]
pub enum StartError {
    /// Nothing was sent.
    NotSent,
    /// The engine refused it with this status, and does not run it.
    Rejected(u16),
}

/// What comes of a generation.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The next token.
    Token(String),
    /// Nothing new at the moment.
    Idle,
    /// It is whole.
    Completed,
    /// The engine does not know it (any more), or went down.
    Lost,
    /// The engine could not be reached for too long.
    Unreachable,
    /// It belongs to another customer.
    WrongCustomer,
}

/// A generation being read.
pub struct GenerationReader {
    address: SocketAddr,
    generation: String,
    customer: String,
    /// Index of the next token.
    pub next: u64,
    pending: Option<PendingResponse>,
    stream: Option<Response>,
    line: Vec<u8>,
    heard_ms: BootMs,
    broken_ms: Option<BootMs>,
    refusals: u32,
}

/// Sends a generation to an engine, provided the permit is still good once it is connected.
///
/// # Errors
///
/// It certainly does not run there.
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

/// Reads a generation that was begun before, from `next` on.
pub fn resume(
    address: SocketAddr,
    generation: &str,
    customer: &str,
    next: u64,
) -> GenerationReader {
    GenerationReader::new(address, generation, customer, next)
}

/// Ends a generation early; `if_unread` leaves it to others who read it. True if it has ended.
pub fn cancel(address: SocketAddr, generation: &str, if_unread: bool) -> bool {
    let target = format!("/v1/generations/{generation}?if_unread={if_unread}");
    let asked = connect(address, CONNECT_TIMEOUT_MS, CANCEL_MS)
        .and_then(|connection| connection.send(&RequestHead::new("DELETE", target), b""));
    let Ok(mut pending) = asked else { return false };
    loop {
        match pending.read_head() {
            Ok(None) => continue,
            Ok(Some(answer)) => return matches!(answer.status, 200 | 404),
            Err(_) => return false,
        }
    }
}

impl GenerationReader {
    fn new(address: SocketAddr, generation: &str, customer: &str, next: u64) -> Self {
        GenerationReader {
            address,
            generation: generation.to_owned(),
            customer: customer.to_owned(),
            next,
            pending: None,
            stream: None,
            line: Vec::new(),
            heard_ms: boot_now(),
            broken_ms: None,
            refusals: 0,
        }
    }

    /// Waits a little for the answer to the first request, to learn whether it is refused.
    fn await_head(&mut self) -> Result<(), StartError> {
        while let Some(pending) = &mut self.pending {
            match pending.read_head() {
                Ok(Some(answer)) if answer.status == 200 => {
                    self.take_stream(answer);
                }
                Ok(Some(answer)) => return Err(StartError::Rejected(answer.status)),
                Ok(None) => {}
                Err(ExchangeError::ReadTimeout) if boot_now().since(self.heard_ms) < SILENCE_MS => {
                }
                Err(_) => self.pending = None,
            }
        }
        Ok(())
    }

    fn take_stream(&mut self, answer: Response) {
        self.pending = None;
        self.stream = Some(answer);
        self.line.clear();
        self.heard_ms = boot_now();
    }

    /// Stops reading, so that this is no reader any more.
    pub fn close(&mut self) {
        self.stream = None;
        self.pending = None;
    }

    /// The next thing that comes of the generation; returns after a short wait at the latest.
    pub fn read(&mut self) -> ReadOutcome {
        match self.stream.take() {
            None => self.reconnect(),
            Some(mut stream) => match self.next_line(&mut stream) {
                Ok(Some(line)) => self.take_line(stream, &line),
                Ok(None) => ReadOutcome::Idle,
                Err(ExchangeError::ReadTimeout) => {
                    if boot_now().since(self.heard_ms) < SILENCE_MS {
                        self.stream = Some(stream);
                    }
                    ReadOutcome::Idle
                }
                Err(_) => ReadOutcome::Idle,
            },
        }
    }

    /// The next line of the stream; `None` at its end.
    fn next_line(&mut self, stream: &mut Response) -> Result<Option<Vec<u8>>, ExchangeError> {
        loop {
            if let Some(end) = self.line.iter().position(|byte| *byte == b'\n') {
                let rest = self.line.split_off(end + 1);
                return Ok(Some(std::mem::replace(&mut self.line, rest)));
            }
            match stream.next_data()? {
                Some(piece) => self.line.extend(piece),
                None => return Ok(None),
            }
        }
    }

    /// Checks a line against the generation and the index that are due.
    fn take_line(&mut self, stream: Response, line: &[u8]) -> ReadOutcome {
        self.heard_ms = boot_now();
        let Ok(line) = serde_json::from_slice::<Line>(line) else { return ReadOutcome::Idle };
        let ours = line.generation == self.generation;
        match line.index {
            Some(index) if ours && index == self.next => {
                self.stream = Some(stream);
                self.next += 1;
                self.broken_ms = None;
                self.refusals = 0;
                ReadOutcome::Token(line.text)
            }
            Some(index) if ours && index > self.next => ReadOutcome::Idle,
            None if ours && line.done => match line.tokens == Some(self.next) {
                true => ReadOutcome::Completed,
                false => ReadOutcome::Idle,
            },
            _ => {
                self.stream = Some(stream);
                ReadOutcome::Idle
            }
        }
    }

    fn reconnect(&mut self) -> ReadOutcome {
        let broken_ms = *self.broken_ms.get_or_insert_with(boot_now);
        if boot_now().since(broken_ms) > RESUME_MS {
            return ReadOutcome::Unreachable;
        }
        match self.ask_again() {
            Ok(answer) if answer.status == 404 => ReadOutcome::Lost,
            Ok(answer) if answer.status == 200 => {
                let customer = answer.header(CUSTOMER_HEADER).unwrap_or_default();
                if customer != self.customer {
                    return ReadOutcome::WrongCustomer;
                }
                self.take_stream(answer);
                ReadOutcome::Idle
            }
            Ok(_) => ReadOutcome::Idle,
            Err(err) => {
                let refused = err.kind() == io::ErrorKind::ConnectionRefused;
                self.refusals = if refused { self.refusals + 1 } else { 0 };
                if self.refusals >= REFUSALS_MAX {
                    return ReadOutcome::Lost;
                }
                thread::sleep(Duration::from_millis(RESUME_PAUSE_MS));
                ReadOutcome::Idle
            }
        }
    }

    fn ask_again(&self) -> io::Result<Response> {
        let target = format!("/v1/generations/{}?from={}", self.generation, self.next);
        let connection: Connection = connect(self.address, CONNECT_TIMEOUT_MS, SILENCE_MS)?;
        let mut pending = connection.send(&RequestHead::new("GET", target), b"")?;
        loop {
            match pending.read_head() {
                Ok(Some(answer)) => return Ok(answer),
                Ok(None) => {}
                Err(ExchangeError::Io(err)) => return Err(err),
                Err(_) => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }
}
