//! Bodies in chunks whose framing is damaged.

use bytes::Bytes;
use gypsumchute_exchange::{Connection, TcpDialer, TcpTimeouts};
use gypsumchute_standins::damaged_chunks::{damaged_bodies, serve, whole_body};
use http::Request;
use http_body_util::Full;
use std::net::SocketAddr;

/// Timeout for connecting to the server, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Returns the body, or `None` if it is not complete.
async fn read_body(address: SocketAddr) -> Option<Vec<u8>> {
    let connection =
        Connection::open(&TcpDialer, address, CONNECT_TIMEOUT_MS, TcpTimeouts::Short).await;
    let request = Request::builder().uri("/").header("host", "x").body(Full::<Bytes>::default());
    let sent = connection.expect("server listens").send(request.expect("valid request"));
    let mut response = sent.await.expect("valid head");
    let mut body = Vec::new();
    loop {
        match response.next_chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => return Some(body),
            Err(_) => return None,
        }
    }
}

/// Guards against a body that counts as complete although one wrong byte in the size of a chunk has
/// made the rest of the body pass for trailers.
#[tokio::test(flavor = "current_thread")]
async fn a_body_with_a_wrong_byte_in_its_framing_is_not_complete_without_its_rest() {
    let damaged = damaged_bodies();
    let address = serve(damaged.clone()).expect("free port");
    for damaged in damaged {
        let body = read_body(address).await;
        let is_whole = body.as_ref().is_none_or(|body| *body == whole_body());
        let text = body.map(|body| String::from_utf8_lossy(&body).into_owned());
        assert!(is_whole, "{}: {text:?}", damaged.damage);
    }
}
