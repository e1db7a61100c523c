//! Server whose responses have bodies in chunks, with one wrong byte in their framing.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// Chunks of the body: lines that would be valid headers, so that they may pass for trailers. No size
/// that differs in one digit ends where another chunk ends.
const CHUNKS: [&str; 4] =
    ["id: 1\ndata: abc\n\n", "id: 2\ndata: d\r\n\r\n", "x: yyyyyyyyy\r\n", "id: 3\ndata: end\n\n"];

/// Returns the body without its framing.
pub fn whole_body() -> Vec<u8> {
    CHUNKS.concat().into_bytes()
}

/// A body in chunks with one wrong byte.
#[derive(Debug, Clone)]
pub struct DamagedBody {
    /// What is wrong, for messages of tests.
    pub damage: String,
    encoded: Vec<u8>,
}

/// Returns the body with each byte of its framing replaced by each value, the right one included.
pub fn damaged_bodies() -> Vec<DamagedBody> {
    let mut encoded = Vec::new();
    let mut framing = Vec::new();
    for chunk in CHUNKS {
        // Two digits also where one would do, so that each may become zero.
        let size = format!("{:02x}\r\n", chunk.len());
        framing.extend(encoded.len()..encoded.len() + size.len());
        encoded.extend_from_slice(format!("{size}{chunk}\r\n").as_bytes());
        framing.extend(encoded.len() - 2..encoded.len());
    }
    encoded.extend_from_slice(b"0\r\n\r\n");
    framing.extend(encoded.len() - 5..encoded.len());
    let damage = |position: usize, byte: u8| {
        let mut damaged = encoded.clone();
        damaged[position] = byte;
        DamagedBody { damage: format!("byte {byte:#x} at {position}"), encoded: damaged }
    };
    let all_values = |position: usize| (0..=u8::MAX).map(move |byte| (position, byte));
    framing
        .into_iter()
        .flat_map(all_values)
        .map(|(position, byte)| damage(position, byte))
        .collect()
}

/// Starts a server that answers one request a connection, each with the next one of `bodies`.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn serve(bodies: Vec<DamagedBody>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for (body, stream) in bodies.iter().zip(listener.incoming()) {
            // The client closes the connection at the first error.
            let _ = stream.and_then(|stream| respond(stream, &body.encoded));
        }
    });
    Ok(address)
}

/// Reads the head of a request and sends the response.
fn respond(mut stream: TcpStream, body: &[u8]) -> io::Result<()> {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        request.extend(byte);
    }
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(&[&head[..], body].concat())
}
