//! Server for the few clients that ask for health checks, metrics and status pages.

use crate::byte_budget::ByteBudget;
use crate::connections::Connections;
use crate::http::{self, Limits, Request};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// Maximum number of open connections. Balancers, collectors of metrics and operators use a few
/// each. Beyond the limit, the oldest connection is closed, because all requests may be repeated.
const MAX_CONNECTIONS: usize = 64;
/// Memory for request heads, in bytes. Half of it is for heads up to 16 KiB and holds 8 KiB for each
/// connection; ordinary heads have about 200 bytes. Bodies are not read.
const REQUEST_BYTES: usize = 1 << 20;
/// Maximum time without progress while reading a request or writing a response, in milliseconds.
/// Health checks expect a response within a second.
const IO_TIMEOUT_MS: u64 = 5_000;
/// Maximum time between two requests on a connection, in milliseconds. Metrics are usually collected
/// every 15 s, checks are more frequent.
const IDLE_TIMEOUT_MS: u64 = 60_000;

/// A page for operators.
#[derive(Debug)]
pub struct Page {
    /// HTTP status.
    pub status: u16,
    content_type: &'static str,
    body: String,
}

impl Page {
    /// Returns a page of plain text.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        Page { status, content_type: "text/plain; charset=utf-8", body: text.into() }
    }

    /// Returns a page of JSON with status 200.
    pub fn json(json: String) -> Self {
        Page { status: 200, content_type: "application/json; charset=utf-8", body: json }
    }
}

/// Starts serving pages at `address` on threads of its own, until `stopped` is set. `page` gets the
/// method and the path of a request, without the query string.
///
/// # Errors
///
/// The address can't be bound.
pub fn serve<H>(address: SocketAddr, stopped: Arc<AtomicBool>, page: H) -> io::Result<()>
where
    H: Fn(&str, &str) -> Page + Send + Sync + 'static,
{
    let limits = Limits {
        connections: Connections::new(MAX_CONNECTIONS, true),
        request_bytes: ByteBudget::new(REQUEST_BYTES),
        io_timeout: Duration::from_millis(IO_TIMEOUT_MS),
        idle_timeout: Duration::from_millis(IDLE_TIMEOUT_MS),
    };
    http::serve(TcpListener::bind(address)?, limits, stopped, move |request: Request<'_>| {
        let path = request.target.split('?').next().unwrap_or_default();
        let page = page(&request.method, path);
        let headers = [("Content-Type".to_owned(), page.content_type.to_owned())];
        let _ = request.respond(page.status, &headers, page.body.as_bytes());
    })
}
