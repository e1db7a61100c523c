//! A client's connection, which is closed without losing the end of the last answer, and which fails if
//! the client does not read for too long.
//!
//! If a socket is closed while received bytes are unread, the kernel resets the connection and drops
//! what it has not delivered yet.

use crate::caller_input::CallerInput;
use crate::caller_limits::{CallerLimits, ClosedFor, OpenConnection};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep, timeout_at};

/// Maximum time for which a connection stays open after the end of its last answer, in milliseconds.
const MAX_LINGER_MS: u64 = 2_000;
/// Size of the buffer for bytes that are discarded.
const DISCARD_BUFFER_BYTES: usize = 512;
/// Maximum number of bytes that are discarded. A caller that sends more than its next requests is not
/// waited for.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Maximum number of bytes that one read takes. hyper doubles its buffer once a read fills the initial
/// 8 KB, and does not shrink it while the connection is idle.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// A connection that outlives the server that reads and writes it.
#[derive(Debug, Clone)]
pub struct CallerStream {
    stream: Rc<RefCell<TcpStream>>,
    limits: Rc<CallerLimits>,
    /// The caller's connection, which counts what is received without a request in progress.
    connection: Option<Rc<OpenConnection>>,
    /// Counts what is received.
    input: Rc<CallerInput>,
    /// Completes when a write that waits for the client has waited for too long.
    stalled: Rc<RefCell<Option<Pin<Box<Sleep>>>>>,
    /// When the server last wrote.
    written_at: Rc<Cell<Instant>>,
}

impl CallerStream {
    /// Shares `stream`, which is counted as `connection` if a caller has opened it.
    pub fn new(
        stream: TcpStream,
        limits: &Rc<CallerLimits>,
        connection: Option<Rc<OpenConnection>>,
    ) -> Self {
        CallerStream {
            stream: Rc::new(RefCell::new(stream)),
            limits: limits.clone(),
            connection,
            input: Rc::default(),
            stalled: Rc::default(),
            written_at: Rc::new(Cell::new(Instant::now())),
        }
    }

    /// Returns what counts the bytes that are received.
    pub fn input(&self) -> Rc<CallerInput> {
        self.input.clone()
    }

    /// Passes on the result of a write.
    ///
    /// # Errors
    ///
    /// Returns an error if the client has taken nothing for too long.
    fn check_progress(
        &self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let mut stalled = self.stalled.borrow_mut();
        if written.is_ready() {
            *stalled = None;
            return written;
        }
        let limit = self.limits.stall_limit;
        let is_over = stalled.get_or_insert_with(|| Box::pin(sleep(limit))).as_mut().poll(cx);
        if is_over.is_pending() {
            return Poll::Pending;
        }
        self.limits.log_closed(ClosedFor::Stalled);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Reads and discards what the caller still sends, until it closes the connection. The server must
    /// have shut its side down. A connection that was idle is closed at once: a request that crosses the
    /// close stays unread, so that its caller may send it again.
    pub async fn linger(mut self) {
        let until = self.written_at.get() + Duration::from_millis(MAX_LINGER_MS);
        if until <= Instant::now() {
            return;
        }
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        let mut left_bytes = MAX_DISCARDED_BYTES;
        let reading = async {
            while let Ok(count) = self.read(&mut buffer).await
                && count > 0
                && left_bytes > count
            {
                left_bytes -= count;
            }
        };
        drop(timeout_at(until, reading).await);
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length = buf.remaining().min(MAX_READ_BYTES);
        let mut limited = ReadBuf::new(buf.initialize_unfilled_to(length));
        let result = Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, &mut limited);
        let received = limited.filled().len();
        buf.advance(received);
        self.input.on_received(received);
        if let Some(connection) = &self.connection {
            connection.on_received(received);
        }
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.written_at.set(Instant::now());
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, bytes);
        self.check_progress(cx, written)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.written_at.set(Instant::now());
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(cx, bytes);
        self.check_progress(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }
}
