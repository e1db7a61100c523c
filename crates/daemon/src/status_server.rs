//! HTTP server for single-page endpoints: readiness for the platform and metrics for operators.

use crate::caller_limits::{CallerLimits, ClosedFor, ConnectionSlots};
use crate::caller_stream::CallerStream;
use crate::reply::{Reply, full_reply};
use bytes::Bytes;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::warn;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Timeout for receiving a request head, which also limits idle connections, in milliseconds.
const HEADER_TIMEOUT_MS: u64 = 10_000;
/// Maximum size of a request head, in bytes: the minimum that hyper accepts.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Delay after a failed `accept`, in milliseconds.
const ACCEPT_RETRY_DELAY_MS: u64 = 20;

/// A page, as a function that returns the current status and body.
pub type Page = Rc<dyn Fn() -> (StatusCode, String)>;

/// Serves one page at `path`, on as many connections as `slots` has. Runs until the process exits.
pub async fn serve(
    listener: Rc<TcpListener>,
    path: &'static str,
    page: Page,
    limits: Rc<CallerLimits>,
    slots: impl Fn(&CallerLimits) -> &ConnectionSlots,
) {
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                warn!(error:% = err, path; "failed to accept a connection");
                sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
                continue;
            }
        };
        let Some(slot) = slots(&limits).take(address.ip()) else {
            limits.log_closed(ClosedFor::StatusConnections);
            continue;
        };
        let stream = CallerStream::new(stream, &limits, None);
        let page = page.clone();
        let handler = service_fn(move |request: Request<Incoming>| {
            let page = page.clone();
            async move { Ok::<_, Infallible>(handle_request(&request, path, &page)) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(HEADER_TIMEOUT_MS))
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), handler);
        // If the connection fails, the client is gone and the error cannot be reported to it.
        spawn_local(async move {
            drop(connection.await);
            drop(slot);
        });
    }
}

/// Returns the page, or 404 for any other path.
fn handle_request(request: &Request<Incoming>, path: &str, page: &Page) -> Reply {
    if request.uri().path() != path {
        return full_reply(StatusCode::NOT_FOUND, Bytes::from("no such page\n"));
    }
    let (status, text) = page();
    full_reply(status, Bytes::from(text))
}
