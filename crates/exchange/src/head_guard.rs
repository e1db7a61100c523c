//! Limits on the head of a response.
//!
//! A faulty server may send header lines or informational responses without end. The parser of
//! hyper accepts informational responses without a limit, and one connection that always has data
//! to parse delays all others on the thread. A stream therefore fails once it has received too many
//! bytes before the final head is complete, and reports its first byte, so that the rest of the
//! head can be awaited for a limited time.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Maximum number of bytes that a server may send up to the end of the response head. Heads have a
/// few hundred bytes; the rest is room for the beginning of the body that arrives with the head.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of bytes that one read takes. hyper doubles its buffer, up to 64 KB, once a
/// read fills the initial 8 KB, and three such buffers per connection would be held for each caller
/// that does not read.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// Progress of a response head, shared by the stream that receives it and the task that awaits it.
#[derive(Debug, Default)]
pub(crate) struct HeadProgress {
    /// Signals the first byte.
    pub(crate) started: Notify,
    /// Whether the head is complete, after which the size is no longer limited.
    pub(crate) complete: AtomicBool,
}

/// A TCP stream that limits the size of the response head.
#[derive(Debug)]
pub(crate) struct HeadGuard {
    stream: TcpStream,
    progress: Arc<HeadProgress>,
    received_bytes: usize,
}

impl HeadGuard {
    /// Wraps a stream on which nothing has been received yet.
    pub(crate) fn new(stream: TcpStream, progress: Arc<HeadProgress>) -> Self {
        HeadGuard { stream, progress, received_bytes: 0 }
    }

    /// Counts received bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is too large.
    fn on_received(&mut self, bytes: usize) -> io::Result<()> {
        if self.progress.complete.load(Ordering::Relaxed) {
            return Ok(());
        }
        if self.received_bytes == 0 && bytes > 0 {
            self.progress.started.notify_one();
        }
        self.received_bytes += bytes;
        match self.received_bytes > MAX_HEAD_BYTES {
            true => {
                let message = format!("response head exceeds {MAX_HEAD_BYTES} bytes");
                Err(io::Error::new(io::ErrorKind::InvalidData, message))
            }
            false => Ok(()),
        }
    }
}

impl AsyncRead for HeadGuard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length = buffer.remaining().min(MAX_READ_BYTES);
        let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let result = Pin::new(&mut self.stream).poll_read(cx, &mut limited);
        let received = limited.filled().len();
        if let Poll::Ready(Ok(())) = &result {
            buffer.advance(received);
            self.on_received(received)?;
        }
        result
    }
}

impl AsyncWrite for HeadGuard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
