//! Small pages for machines: readiness for the platform, metrics for operators.

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

/// Longest time for a request head, and for which a connection stays open unused, in ms.
const HEADER_TIMEOUT_MS: u64 = 10_000;
/// Pause after a connection could not be accepted, in ms.
const ACCEPT_PAUSE_MS: u64 = 20;

/// A page: its path, and what it shows.
pub type Page = Rc<dyn Fn() -> (StatusCode, String)>;

/// Serves one page for as long as the process lives.
pub async fn serve(listener: TcpListener, path: &'static str, page: Page) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!(error:% = err, path; "a connection could not be accepted");
                sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                continue;
            }
        };
        let page = page.clone();
        let handler = service_fn(move |request: Request<Incoming>| {
            let page = page.clone();
            async move { Ok::<_, Infallible>(handle_request(&request, path, &page)) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(HEADER_TIMEOUT_MS))
            .serve_connection(TokioIo::new(stream), handler);
        // A connection that fails has lost its reader: nobody is left to tell.
        spawn_local(async move { drop(connection.await) });
    }
}

fn handle_request(request: &Request<Incoming>, path: &str, page: &Page) -> Reply {
    if request.uri().path() != path {
        return full_reply(StatusCode::NOT_FOUND, Bytes::from("no such page\n"));
    }
    let (status, text) = page();
    full_reply(status, Bytes::from(text))
}
