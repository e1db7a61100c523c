//! A caller's connection, which is closed without losing the end of the last answer.
//!
//! If a socket is closed while received bytes are unread, the kernel resets the connection and drops
//! what it has not delivered yet.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Maximum time for which a connection stays open after the end of its last answer, in milliseconds.
const MAX_LINGER_MS: u64 = 2_000;
/// Size of the buffer for bytes that are discarded.
const DISCARD_BUFFER_BYTES: usize = 512;
/// Maximum number of bytes that are discarded. A caller that sends more than its next requests is not
/// waited for.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// A connection that outlives the server that reads and writes it.
#[derive(Debug, Clone)]
pub struct CallerStream {
    stream: Rc<RefCell<TcpStream>>,
    /// When the server last wrote.
    written_at: Rc<Cell<Instant>>,
}

impl CallerStream {
    /// Shares `stream`.
    pub fn new(stream: TcpStream) -> Self {
        let stream = Rc::new(RefCell::new(stream));
        CallerStream { stream, written_at: Rc::new(Cell::new(Instant::now())) }
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
        Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.written_at.set(Instant::now());
        Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, bytes)
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
        Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }
}
