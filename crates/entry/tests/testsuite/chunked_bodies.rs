//! Responses of endpoints in chunks whose framing is damaged.

use gypsumchute_entry::backend::{RequestHead, connect};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

/// Timeout for connecting to the endpoint and for each read, in milliseconds.
const TIMEOUT_MS: u64 = 1_000;
/// Chunks of the body. No size that differs in one digit ends where another chunk ends.
const CHUNKS: [&str; 4] =
    ["id: 1\ndata: abc\n\n", "id: 2\ndata: d\r\n\r\n", "x: yyyyyyyyy\r\n", "id: 3\ndata: end\n\n"];

/// Starts an endpoint that answers each request with the next one of `bodies`, in chunks.
fn start_endpoint(bodies: Vec<Vec<u8>>) -> SocketAddr {
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
fn read_body(address: SocketAddr) -> Option<Vec<u8>> {
    let connection = connect(address, TIMEOUT_MS, TIMEOUT_MS).expect("endpoint listens");
    let head = RequestHead::new("GET", "/".to_owned());
    let mut pending = connection.send(&head, b"").expect("request is sent");
    let mut response = loop {
        if let Some(response) = pending.read_head().expect("valid head") {
            break response;
        }
    };
    let mut body = Vec::new();
    loop {
        match response.next_data() {
            Ok(Some(data)) => body.extend(data),
            Ok(None) => return Some(body),
            Err(_) => return None,
        }
    }
}

/// Guards against a body that counts as complete although one wrong byte in the framing has hidden its
/// rest.
#[test]
fn a_body_with_a_wrong_byte_in_its_framing_is_not_complete_without_its_rest() {
    let mut encoded = Vec::new();
    let mut framing = Vec::new();
    for chunk in CHUNKS {
        // The size has two digits in each chunk.
        let size = format!("{:02x}\r\n", chunk.len());
        framing.extend(encoded.len()..encoded.len() + size.len());
        encoded.extend_from_slice(format!("{size}{chunk}\r\n").as_bytes());
        framing.extend(encoded.len() - 2..encoded.len());
    }
    encoded.extend_from_slice(b"0\r\n\r\n");
    framing.extend(encoded.len() - 5..encoded.len());
    let whole = CHUNKS.concat().into_bytes();
    let damaged: Vec<(usize, u8)> = framing
        .into_iter()
        .flat_map(|position| (0..=u8::MAX).map(move |byte| (position, byte)))
        .collect();
    let bodies = damaged.iter().map(|(position, byte)| {
        let mut body = encoded.clone();
        body[*position] = *byte;
        body
    });
    let address = start_endpoint(bodies.collect());
    for (position, byte) in damaged {
        let body = read_body(address);
        assert!(
            body.as_ref().is_none_or(|body| *body == whole),
            "byte {byte:#x} at {position}: {:?}",
            body.map(|body| String::from_utf8_lossy(&body).into_owned())
        );
    }
}
