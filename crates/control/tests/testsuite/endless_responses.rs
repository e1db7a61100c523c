//! Endpoints that send bytes without end in place of a report.

use gypsumchute_control::endpoints::{EndpointClient, HttpEndpointClient};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that may be taken of one response: the limit for a report and the buffers of the connection.
const MAX_TAKEN_BYTES: u64 = 8 << 20;
/// Bytes after which an endpoint stops, so that a test that fails does not need all memory.
const MAX_SENT_BYTES: u64 = 100 << 20;

/// Starts an endpoint that sends `first`, and then `repeated` without end. Returns its address and the
/// number of bytes that it could send.
fn start_endless(first: &'static str, repeated: &'static str) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("local address");
    let taken = Arc::new(AtomicU64::new(0));
    let counter = taken.clone();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection");
        let mut request = [0; 16];
        let mut sent = stream.read(&mut request).and_then(|_| stream.write(first.as_bytes()));
        let block = repeated.repeat(65_536 / repeated.len());
        while let Ok(count) = sent
            && counter.fetch_add(count as u64, Ordering::Relaxed) < MAX_SENT_BYTES
        {
            sent = stream.write(block.as_bytes());
        }
    });
    (address, taken)
}

/// Guards against a report without end that the control process keeps as a whole.
#[test]
fn a_report_without_an_end_is_an_error() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
    let responses = [
        ("HTTP/1.1 200 OK\r\nX-Filler: ", "x"),
        ("HTTP/1.1 200 OK\r\n", "X-Filler: y\r\n"),
        (HEAD, " "),
        ("HTTP/1.1 200 OK\r\n\r\n{\"running\":1,\"text\":\"", "x"),
    ];
    for (first, repeated) in responses {
        let (address, taken) = start_endless(first, repeated);
        let started = Instant::now();
        assert!(HttpEndpointClient.get_load(address).is_err(), "{first:?}");
        let elapsed = started.elapsed();
        assert!(elapsed < Duration::from_secs(2), "{first:?}: ended after {elapsed:?}");
        let taken = taken.load(Ordering::Relaxed);
        assert!(taken < MAX_TAKEN_BYTES, "{first:?}: {taken} bytes");
    }
}
