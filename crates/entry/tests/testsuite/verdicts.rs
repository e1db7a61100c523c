//! What callers are told of requests that an endpoint may have run.

use crate::support::{Control, start_entry};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Starts an endpoint that reads the beginning of each request and closes the connection. Returns its
/// address and the number of requests.
fn start_crashing_endpoint() -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("local address");
    let received = Arc::new(AtomicU64::new(0));
    let counter = received.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut first_bytes = [0; 16];
            if stream.read_exact(&mut first_bytes).is_ok() && !first_bytes.starts_with(b"GET") {
                counter.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    (address, received)
}

/// Sends a request to an entry process whose endpoint crashes and whose control process ends then.
/// Returns the response.
fn send_request(request_line: &str, body: &str) -> String {
    let (endpoint, received) = start_crashing_endpoint();
    let (entry, callers) = start_entry(Control::EndsAtRetry(endpoint));
    let mut caller = TcpStream::connect(callers).expect("entry process listens");
    let head = format!(
        "{request_line} HTTP/1.1\r\nHost: vm\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    caller.write_all((head + body).as_bytes()).expect("write");
    let mut response = String::new();
    caller.read_to_string(&mut response).expect("response");
    assert_eq!(received.load(Ordering::Relaxed), 1, "the endpoint received the request once");
    entry.stop();
    response
}

/// Guards against a caller who is told that a call has not run, because no control process answers its
/// retry.
#[test]
fn a_call_whose_retry_gets_no_decision_may_have_run() {
    let response = send_request("POST /apps/books/orders", "an order");
    assert!(response.contains("may_have_run"), "{response}");
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
}

/// Guards against the same answer to a generation.
#[test]
fn a_generation_whose_retry_gets_no_decision_may_have_run() {
    let body = r#"{ "model": "m", "prompt": "a prompt", "max_tokens": 8, "stream": true }"#;
    let response = send_request("POST /v1/completions", body);
    assert!(response.contains("may_have_run"), "{response}");
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
}
