//! HTTP/1.1 server with one thread per connection, which reads one request at a time, and with a
//! time limit on every read and write.
//!
//! Neither `rouille` nor `tiny_http` fits here. Both read requests ahead of unread responses without
//! a bound, and limit neither connections nor the size of a head. `rouille` delays a streamed
//! response until the stream ends. `tiny_http` can time out silent clients only by a timeout on the
//! listening socket, which also ends the accept loop when no client connects for that time. Request
//! heads are parsed with `httparse`.

mod connection;
mod request;

pub use request::{BodyError, ChunkWriter, Request};

use crate::byte_budget::ByteBudget;
use crate::connections::{ConnectionSlot, Connections};
use connection::{Connection, HeadRead};
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Delay before accepting again after an error, in milliseconds.
const ACCEPT_RETRY_DELAY_MS: u64 = 20;
/// Interval at which the accepting thread checks for the end of the process, in milliseconds.
const STOP_CHECK_MS: u64 = 100;

/// Limits of a server.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Open connections.
    pub connections: Connections,
    /// Memory of heads and bodies, from their first byte until the response has been sent.
    pub request_bytes: ByteBudget,
    /// Maximum time without progress while reading a request or writing a response. Also the time
    /// limit for a complete request head.
    pub io_timeout: Duration,
    /// Maximum time between two requests on a connection.
    pub idle_timeout: Duration,
}

/// Accepts connections on a thread of its own until `stopped` is set. `handler` serves each
/// request.
///
/// # Errors
///
/// The listening socket does not accept a timeout.
pub fn serve<H>(
    listener: TcpListener,
    limits: Limits,
    stopped: Arc<AtomicBool>,
    handler: H,
) -> io::Result<()>
where
    H: Fn(Request<'_>) + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    SockRef::from(&listener).set_read_timeout(Some(Duration::from_millis(STOP_CHECK_MS)))?;
    thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(err) if err.kind() == ErrorKind::WouldBlock => continue,
                Err(_) => {
                    thread::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS));
                    continue;
                }
            };
            let Some(slot) = limits.connections.admit(stream) else { continue };
            let (handler, limits, stopped) = (handler.clone(), limits.clone(), stopped.clone());
            let spawned = thread::Builder::new().spawn(move || {
                let _ = serve_connection(slot, &limits, &stopped, &*handler);
            });
            if let Err(err) = spawned {
                log::error!(error:% = err; "failed to start a thread for a connection");
            }
        }
    });
    Ok(())
}

/// Serves the requests of one connection until the connection closes or `stopped` is set.
fn serve_connection(
    slot: ConnectionSlot,
    limits: &Limits,
    stopped: &AtomicBool,
    handler: &impl Fn(Request<'_>),
) -> io::Result<()> {
    let stream = slot.stream();
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(limits.io_timeout))?;
    let memory = limits.request_bytes.share();
    let mut connection = Connection { slot, stream, buffer: Vec::new(), keep_alive: true, memory };
    let mut head_timeout = limits.io_timeout;
    while connection.keep_alive && !stopped.load(Ordering::Relaxed) {
        match connection.read_head(head_timeout, limits.io_timeout)? {
            HeadRead::Closed => break,
            HeadRead::Invalid(status) => return connection.refuse(status),
            HeadRead::Complete(head) => {
                handler(head.into_request(&mut connection));
                connection.slot.set_busy(false);
            }
        }
        head_timeout = limits.idle_timeout;
    }
    Ok(())
}
