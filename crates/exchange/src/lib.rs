//! HTTP/1.1 client that uses a new connection for each request and reports on failure whether the
//! request may have reached the server.
//!
//! A connection serves one request and is then closed. A late or duplicate response therefore
//! cannot be taken for the response to another request, no idle connection can fail unnoticed, and
//! closing the connection stops the endpoint's work on the request. The cost is one additional
//! round trip within an availability zone per request.

mod body_buffer;
mod head_guard;

pub use self::body_buffer::{BodyBuffer, BudgetExceeded, BufferBudget, BytesLeft};
use self::head_guard::{HeadGuard, HeadProgress};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, TRAILER, TRANSFER_ENCODING};
use http::{Method, Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::{SockRef, TcpKeepalive};
use std::error::Error;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Time within which a response head must be complete after its first byte, in milliseconds. TCP
/// retransmits a lost packet after 1 s.
const HEAD_TIMEOUT_MS: u64 = 1_200;

/// Maximum size of the buffer into which hyper reads a response, in bytes.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// TCP timeouts after which a connection to an unresponsive remote host is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TcpTimeouts {
    /// For connections with an alternative, such as another peer VM. Longer than the retransmission
    /// of a lost packet takes, and well below all deadlines of several seconds.
    Short,
    /// For connections without an alternative. The network delivers the sent data once a partition
    /// heals, so this timeout is longer than a zone stays partitioned, and as long as callers wait
    /// for a stream that pauses.
    Long,
}

impl TcpTimeouts {
    /// Returns the time after which a connection to an unresponsive host is closed, in milliseconds.
    /// It also decides when unanswered keepalive probes give up, whatever their number.
    fn user_timeout_ms(self) -> u64 {
        match self {
            TcpTimeouts::Short => 2_500,
            TcpTimeouts::Long => 12_000,
        }
    }

    /// Returns the idle time before the first keepalive probe, which is also the interval between
    /// probes, in milliseconds.
    fn keepalive_interval_ms(self) -> u64 {
        match self {
            TcpTimeouts::Short => 1_000,
            TcpTimeouts::Long => 4_000,
        }
    }
}

quick_error! {
    /// Reason why a request or the response failed.
    #[derive(Debug)]
    pub enum ExchangeError {
        /// The connection was not established. Nothing was sent.
        ConnectFailed(err: io::Error) {
            display("failed to connect: {}", err)
        }
        /// The connection failed, or the response is not valid HTTP. The server may have received
        /// the request or a part of it.
        ConnectionLost(err: hyper::Error) {
            from()
            display("connection failed: {}", err)
        }
        /// The request is invalid. Nothing was sent.
        InvalidRequest(err: http::Error) {
            from()
            display("invalid request: {}", err)
        }
        /// The rest of the response head did not follow its first byte in time.
        HeadTimedOut {
            display("response head incomplete {} ms after its first byte", HEAD_TIMEOUT_MS)
        }
        /// Trailers follow the body that the head did not announce. The rest of a body looks like
        /// trailers if the size of one of its chunks is damaged.
        UnannouncedTrailers {
            display("response body is followed by trailers that were not announced")
        }
        /// The timeout of the whole exchange expired.
        TimedOut {
            display("no complete response before the timeout")
        }
        /// The response body is large, and so are too many others.
        BudgetExceeded(err: BudgetExceeded) {
            from()
            display("{}", err)
        }
        /// The response body is larger than the allowed maximum.
        BodyTooLarge(max_bytes: usize) {
            display("response body exceeds the maximum of {} bytes", max_bytes)
        }
    }
}

impl ExchangeError {
    /// Reports whether the connection broke after the request was sent, as it does when the server
    /// crashes. A server that sent something invalid is still running.
    pub fn is_disconnect(&self) -> bool {
        match self {
            ExchangeError::ConnectionLost(err) => !err.is_parse() && !is_invalid_data(err),
            ExchangeError::ConnectFailed(_)
            | ExchangeError::InvalidRequest(_)
            | ExchangeError::HeadTimedOut
            | ExchangeError::UnannouncedTrailers
            | ExchangeError::BudgetExceeded(_)
            | ExchangeError::TimedOut
            | ExchangeError::BodyTooLarge(_) => false,
        }
    }
}

/// Waits until the response head has been incomplete for too long since its first byte. A server
/// may take any time before that.
async fn head_overdue(progress: &HeadProgress) {
    progress.started.notified().await;
    sleep(Duration::from_millis(HEAD_TIMEOUT_MS)).await;
}

/// Reports whether the response head is too large or the framing of the body is invalid.
fn is_invalid_data(err: &hyper::Error) -> bool {
    let cause = err.source().and_then(|source| source.downcast_ref::<io::Error>());
    cause.is_some_and(|cause| {
        matches!(cause.kind(), io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData)
    })
}

/// A TCP connection that is being established.
pub type Dialing = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// Opens TCP connections to endpoints.
pub trait Dial {
    /// Connects to `address`.
    fn dial(&self, address: SocketAddr) -> Dialing;
}

/// Opens connections over the network of the VM.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpDialer;

impl Dial for TcpDialer {
    fn dial(&self, address: SocketAddr) -> Dialing {
        Box::pin(TcpStream::connect(address))
    }
}

/// An open connection on which no request has been sent yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
}

/// A response whose body is being received. Dropping the response closes the connection.
#[derive(Debug)]
pub struct ResponseStream {
    /// Status and headers.
    pub head: http::response::Parts,
    body: Incoming,
    _connection_task: ConnectionTask,
}

/// Task that performs the I/O of a connection. The task is aborted on drop.
#[derive(Debug)]
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Enables TCP keepalive and a TCP user timeout, so that an unresponsive remote host is detected
/// both while the connection is idle and while sent data is unacknowledged. Also disables Nagle's
/// algorithm.
///
/// # Errors
///
/// Returns an error if a socket option cannot be set.
pub fn set_tcp_timeouts(stream: &TcpStream, timeouts: TcpTimeouts) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let interval = Duration::from_millis(timeouts.keepalive_interval_ms());
    let keepalive = TcpKeepalive::new().with_time(interval).with_interval(interval);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(timeouts.user_timeout_ms())))
}

impl From<TcpStream> for Connection {
    fn from(stream: TcpStream) -> Self {
        Connection { stream }
    }
}

impl Connection {
    /// Connects to `address` through `dialer`.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::ConnectFailed`] if the connection fails or is not established
    /// within `timeout_ms`.
    pub async fn open(
        dialer: &dyn Dial,
        address: SocketAddr,
        timeout_ms: u64,
        timeouts: TcpTimeouts,
    ) -> Result<Self, ExchangeError> {
        let connecting = timeout(Duration::from_millis(timeout_ms), dialer.dial(address));
        let stream = match connecting.await {
            Ok(connected) => connected.map_err(ExchangeError::ConnectFailed)?,
            Err(_) => return Err(ExchangeError::ConnectFailed(io::ErrorKind::TimedOut.into())),
        };
        set_tcp_timeouts(&stream, timeouts).map_err(ExchangeError::ConnectFailed)?;
        Ok(Connection { stream })
    }

    /// Sends `request` and waits for the status and headers of the response.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::ConnectionLost`] if no valid response arrived, and
    /// [`ExchangeError::HeadTimedOut`] if only the beginning of one did. The server may have
    /// received the request.
    pub async fn send(
        self,
        request: Request<Full<Bytes>>,
    ) -> Result<ResponseStream, ExchangeError> {
        let progress = Arc::new(HeadProgress::default());
        let stream = HeadGuard::new(self.stream, progress.clone());
        let handshake =
            http1::Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(TokioIo::new(stream));
        let (mut sender, connection) = handshake.await?;
        // A failure of the connection is ignored here, since `send_request` or the body returns it.
        let connection_task = ConnectionTask(tokio::spawn(async move { drop(connection.await) }));
        let response = tokio::select! {
            biased;
            response = sender.send_request(request) => response?,
            () = head_overdue(&progress) => return Err(ExchangeError::HeadTimedOut),
        };
        progress.complete.store(true, Ordering::Relaxed);
        let (head, body) = Response::into_parts(response);
        Ok(ResponseStream { head, body, _connection_task: connection_task })
    }
}

impl ResponseStream {
    /// Reports whether the body has neither a length nor chunks and ends with the connection, so that
    /// its end does not show whether it is complete.
    pub fn ends_with_connection(&self) -> bool {
        let headers = &self.head.headers;
        !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
    }

    /// Polls the next frame of the body, as in [`Body::poll_frame`].
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::ConnectionLost`] if the connection failed before the end of the
    /// body, and [`ExchangeError::UnannouncedTrailers`] if the body may not be complete.
    pub fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ExchangeError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        Poll::Ready(frame.map(|frame| match frame {
            Ok(frame) if frame.is_trailers() && !self.head.headers.contains_key(TRAILER) => {
                Err(ExchangeError::UnannouncedTrailers)
            }
            frame => Ok(frame?),
        }))
    }

    /// Returns the bounds of the length of the rest of the body.
    pub fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    /// Returns the next non-empty chunk of the body, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Self::poll_frame`] does.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            let Some(frame) = poll_fn(|cx| self.poll_frame(cx)).await else { return Ok(None) };
            match frame?.into_data() {
                Ok(chunk) if chunk.is_empty() => {}
                Ok(chunk) => return Ok(Some(chunk)),
                // Trailers are ignored, since they are not forwarded.
                Err(_) => {}
            }
        }
    }

    /// Reads the body to the end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed before the end of the body, if the body is larger
    /// than `max_bytes`, or if `budget` has no room for it.
    pub async fn read_body(
        &mut self,
        max_bytes: usize,
        budget: &BufferBudget,
    ) -> Result<Bytes, ExchangeError> {
        let mut body = BodyBuffer::new(budget);
        while let Some(chunk) = self.next_chunk().await? {
            if body.len() + chunk.len() > max_bytes {
                return Err(ExchangeError::BodyTooLarge(max_bytes));
            }
            body.push(&chunk)?;
        }
        Ok(body.freeze())
    }
}

/// Builds a request from the system itself to `address`, with content type `application/json`.
///
/// # Errors
///
/// Returns [`ExchangeError::InvalidRequest`] if `path` is not a valid request target.
pub fn json_request(
    method: Method,
    path: &str,
    address: SocketAddr,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, ExchangeError> {
    let host = address.to_string();
    let request = Request::builder().method(method).uri(path).header(HOST, host);
    Ok(request.header(CONTENT_TYPE, "application/json").body(Full::new(body))?)
}

/// Sends `request` to `address` on a new connection through `dialer`, and reads the complete response.
///
/// `timeout_ms` covers the whole exchange. `max_bytes` limits the size of the response body.
///
/// # Errors
///
/// Returns an error if the exchange fails or times out, or if the body is too large.
pub async fn call(
    dialer: &dyn Dial,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout_ms: u64,
    max_bytes: usize,
) -> Result<(http::response::Parts, Bytes), ExchangeError> {
    let exchange = async {
        let connection = Connection::open(dialer, address, timeout_ms, TcpTimeouts::Short).await?;
        let mut response = connection.send(request).await?;
        // The size is bounded by `max_bytes`, and the system makes few such calls at a time.
        let body = response.read_body(max_bytes, &BufferBudget::new(2 * max_bytes)).await?;
        Ok((response.head, body))
    };
    match timeout(Duration::from_millis(timeout_ms), exchange).await {
        Ok(result) => result,
        Err(_) => Err(ExchangeError::TimedOut),
    }
}
