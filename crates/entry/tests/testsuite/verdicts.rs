//! What callers are told of requests that an endpoint may have run.

use gypsumchute_config::EntrySettings;
use gypsumchute_entry::process;
use gypsumchute_proto::local::{Granted, ToControl, ToEntry, to_control, to_entry};
use gypsumchute_proto::{FrameReader, FrameWriter};
use gypsumchute_units::time::boot_now;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Time for which a permit, and the wait for a response, last in these tests, in milliseconds.
const PERMIT_MS: u64 = 5_000;

/// Returns an address of this host that is not in use.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    listener.local_addr().expect("local address")
}

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

/// Starts a control process that grants `endpoint` to each request, and ends once a request asks for
/// another endpoint. Returns its address.
fn start_control_that_ends_at_a_retry(endpoint: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("local address");
    thread::spawn(move || {
        let (stream, _) = listener.accept().expect("entry process");
        let mut reader = FrameReader::new(stream.try_clone().expect("clone"));
        let mut writer = FrameWriter::new(stream);
        while let Ok(message) = reader.read_message::<ToControl>() {
            let admit = match message.body {
                Some(to_control::Body::Admit(admit)) => admit,
                Some(to_control::Body::Retry(_)) => return,
                _ => continue,
            };
            let granted = Granted {
                request: admit.request,
                customer: "acme".to_owned(),
                endpoint: "endpoint-1".to_owned(),
                address: endpoint.to_string(),
                use_until_ms: boot_now().0 + PERMIT_MS,
                repeatable: true,
                answer_by_ms: boot_now().0 + PERMIT_MS,
                max_tokens: 8,
            };
            let message = ToEntry { body: Some(to_entry::Body::Granted(granted)) };
            writer.write_message(&message).expect("write");
        }
    });
    address
}

/// Sends a request to an entry process whose endpoint crashes and whose control process ends then.
/// Returns the response.
fn send_request(request_line: &str, body: &str) -> String {
    let (endpoint, received) = start_crashing_endpoint();
    let settings = EntrySettings {
        vm: "vm-1".parse().expect("valid id"),
        zone: "a".parse().expect("valid id"),
        listen: free_address(),
        ops_listen: free_address(),
        control: start_control_that_ends_at_a_retry(endpoint),
        max_requests: 8,
        caller_timeout_ms: 10_000,
        resume_grace_ms: 1_000,
    };
    let callers = settings.listen;
    let entry = process::start(settings).expect("entry process starts");
    thread::sleep(Duration::from_millis(200));
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
