//! Limits the time of a whole exchange on a stream, which a timeout of each read does not.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A stream whose reads and writes fail once the deadline has passed.
#[derive(Debug)]
pub struct DeadlineStream<'s> {
    stream: &'s TcpStream,
    deadline: Option<Instant>,
}

impl<'s> DeadlineStream<'s> {
    /// Limits the time of all reads and writes together to `timeout` from now.
    pub fn new(stream: &'s TcpStream, timeout: Duration) -> Self {
        DeadlineStream { stream, deadline: Some(Instant::now() + timeout) }
    }

    /// Removes the deadline. Later reads and writes have no time limit.
    pub fn remove_deadline(&mut self) {
        self.deadline = None;
    }

    /// Returns the time until the deadline, if there is one.
    fn remaining(&self) -> io::Result<Option<Duration>> {
        let Some(deadline) = self.deadline else { return Ok(None) };
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() { Err(ErrorKind::TimedOut.into()) } else { Ok(Some(remaining)) }
    }
}

impl Read for DeadlineStream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.set_read_timeout(self.remaining()?)?;
        self.stream.read(buffer)
    }
}

impl Write for DeadlineStream<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.set_write_timeout(self.remaining()?)?;
        self.stream.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stream.flush()
    }
}
