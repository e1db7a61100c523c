//! One HTTP/1.1 request on a connection of its own, and how far it came.
//!
//! A connection serves one request and is closed after it. So no answer that comes late or twice
//! can meet another request, no idle connection can have gone silent unnoticed, and closing the
//! connection stops the endpoint's work. It costs one round trip within an availability zone.

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_TYPE, HOST};
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Probes without an answer that end a connection.
const PROBES: u32 = 2;

/// How long the other end of a connection may be silent before it is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Patience {
    /// Where another way can be tried: longer than a lost packet takes, well below every bound
    /// that counts in seconds.
    Short,
    /// Where nothing else is left, and what was sent is kept by the network: longer than a zone is
    /// cut off for, as long as callers wait for a stream that pauses.
    Long,
}

impl Patience {
    /// Time after which unacknowledged bytes end a connection, in ms.
    fn unacknowledged_ms(self) -> u64 {
        match self {
            Patience::Short => 2_500,
            Patience::Long => 12_000,
        }
    }

    /// Idle time before a connection is probed, and between probes, in ms.
    fn probe_ms(self) -> u64 {
        match self {
            Patience::Short => 1_000,
            Patience::Long => 4_000,
        }
    }
}

quick_error! {
    /// How an exchange failed.
    #[derive(Debug)]
    pub enum ExchangeError {
        /// No connection came about: nothing was sent.
        NoConnection(err: io::Error) {
            display("no connection: {}", err)
        }
        /// Some of the request may have arrived; the answer is lost, broken or no answer.
        Lost(err: hyper::Error) {
            from()
            display("the connection failed: {}", err)
        }
        /// It is no proper request: nothing was sent.
        Request(err: http::Error) {
            from()
            display("no proper request: {}", err)
        }
        /// The time for it is over.
        TimedOut {
            display("no answer in time")
        }
        /// The answer's body is larger than allowed.
        TooLarge(limit_bytes: usize) {
            display("the answer has more than {} bytes", limit_bytes)
        }
    }
}

/// An open connection on which nothing was sent yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
}

/// An answer whose body is still to come. Dropping it closes the connection.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: http::response::Parts,
    body: Incoming,
    _driver: Driver,
}

/// The task that moves a connection's bytes; ends with its owner.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Makes both sides notice a connection that has gone silent.
///
/// # Errors
///
/// The socket's own.
pub fn bound_silence(stream: &TcpStream, patience: Patience) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probe = Duration::from_millis(patience.probe_ms());
    let keepalive = TcpKeepalive::new().with_time(probe).with_interval(probe).with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(patience.unacknowledged_ms())))
}

impl Connection {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NoConnection`] if that fails or takes longer than `limit_ms`.
    pub async fn open(
        address: SocketAddr,
        limit_ms: u64,
        patience: Patience,
    ) -> Result<Self, ExchangeError> {
        let connecting = timeout(Duration::from_millis(limit_ms), TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(connected) => connected.map_err(ExchangeError::NoConnection)?,
            Err(_) => return Err(ExchangeError::NoConnection(io::ErrorKind::TimedOut.into())),
        };
        bound_silence(&stream, patience).map_err(ExchangeError::NoConnection)?;
        Ok(Connection { stream })
    }

    /// Sends `request` and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::Lost`]: the request may have arrived.
    pub async fn send(self, request: Request<Full<Bytes>>) -> Result<Answer, ExchangeError> {
        let (mut sender, connection) = http1::handshake(TokioIo::new(self.stream)).await?;
        // A connection's failure also fails the request on it, which reports it.
        let driver = Driver(tokio::spawn(async move { drop(connection.await) }));
        let response = sender.send_request(request).await?;
        let (head, body) = Response::into_parts(response);
        Ok(Answer { head, body, _driver: driver })
    }
}

impl Answer {
    /// The next piece of the body; `None` at its proper end.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::Lost`] if the body broke off.
    pub async fn next_piece(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            let Some(frame) = self.body.frame().await else { return Ok(None) };
            match frame?.into_data() {
                Ok(piece) if piece.is_empty() => {}
                Ok(piece) => return Ok(Some(piece)),
                // Trailers carry nothing that is passed on.
                Err(_) => {}
            }
        }
    }

    /// The whole body.
    ///
    /// # Errors
    ///
    /// It broke off, or has more than `limit_bytes`.
    pub async fn read_all(&mut self, limit_bytes: usize) -> Result<Bytes, ExchangeError> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.next_piece().await? {
            if whole.len() + piece.len() > limit_bytes {
                return Err(ExchangeError::TooLarge(limit_bytes));
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }
}

/// A request of the system's own to `address`.
///
/// # Errors
///
/// `path` can't stand in a request.
pub fn own_request(
    method: Method,
    path: &str,
    address: SocketAddr,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, ExchangeError> {
    let host = address.to_string();
    let request = Request::builder().method(method).uri(path).header(HOST, host);
    Ok(request.header(CONTENT_TYPE, "application/json").body(Full::new(body))?)
}

/// Sends `request` to `address` and reads the whole answer, all within `limit_ms`.
///
/// # Errors
///
/// Any [`ExchangeError`].
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit_ms: u64,
    limit_bytes: usize,
) -> Result<(http::response::Parts, Bytes), ExchangeError> {
    let exchange = async {
        let connection = Connection::open(address, limit_ms, Patience::Short).await?;
        let mut answer = connection.send(request).await?;
        let body = answer.read_all(limit_bytes).await?;
        Ok((answer.head, body))
    };
    match timeout(Duration::from_millis(limit_ms), exchange).await {
        Ok(result) => result,
        Err(_) => Err(ExchangeError::TimedOut),
    }
}
