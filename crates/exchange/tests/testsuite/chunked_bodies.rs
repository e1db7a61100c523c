//! Bodies in chunks whose framing is damaged.

use bytes::Bytes;
use gypsumchute_exchange::{Connection, TcpDialer, TcpTimeouts};
use http::Request;
use http_body_util::Full;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

/// Timeout for connecting to the server, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Chunks of the body: lines that would be valid headers, so that they may pass for trailers. No size that
/// differs in one digit ends where another chunk ends.
const CHUNKS: [&str; 4] =
    ["id: 1\ndata: abc\n\n", "id: 2\ndata: d\r\n\r\n", "x: yyyyyyyyy\r\n", "id: 3\ndata: end\n\n"];

/// Starts a server that answers each request with the next one of `bodies`, in chunks.
fn start_server(bodies: Vec<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("local address");
    thread::spawn(move || {
        for body in bodies {
            let (mut stream, _) = listener.accept().expect("connection");
            let mut request = Vec::new();
            while !request.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).expect("request");
                request.extend(byte);
            }
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            // The client closes the connection at the first error.
            let _ = stream.write_all(&[&head[..], &body].concat());
        }
    });
    address
}

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
async fn a_body_with_a_wrong_byte_in_a_chunk_size_is_not_complete_without_its_rest() {
    let mut encoded = Vec::new();
    let mut size_positions = Vec::new();
    for chunk in CHUNKS {
        // The size has two digits in each chunk.
        let size = format!("{:02x}\r\n", chunk.len());
        size_positions.extend(encoded.len()..encoded.len() + size.len());
        encoded.extend_from_slice(format!("{size}{chunk}\r\n").as_bytes());
    }
    encoded.extend_from_slice(b"0\r\n\r\n");
    let whole = CHUNKS.concat().into_bytes();
    let damaged: Vec<(usize, u8)> = size_positions
        .into_iter()
        .flat_map(|position| (0..=u8::MAX).map(move |byte| (position, byte)))
        .collect();
    let bodies = damaged.iter().map(|(position, byte)| {
        let mut body = encoded.clone();
        body[*position] = *byte;
        body
    });
    let address = start_server(bodies.collect());
    for (position, byte) in damaged {
        let body = read_body(address).await;
        assert!(
            body.as_ref().is_none_or(|body| *body == whole),
            "byte {byte:#x} at {position}: {:?}",
            body.map(|body| String::from_utf8_lossy(&body).into_owned())
        );
    }
}
