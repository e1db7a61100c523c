//! Callers that send their next request before they have read the answer to the first one.

use crate::support::{Daemon, configured_store};
use gypsumchute_platform_standin::fixtures::API_KEY;
use gypsumchute_platform_standin::{RawEndpoint, RawResponse};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Size of an answer, which is larger than the receive buffer of the caller's connection, in bytes.
const ANSWER_BYTES: usize = 1 << 20;
/// Number of bytes that the caller reads in a millisecond, fewer than the daemon sends.
const READ_BYTES: usize = 16 << 10;
/// Number of bytes that a caller can send before it notices that the connection is closed. The buffers of
/// both sides hold some of them.
const MAX_SENT_BYTES: usize = 16 << 20;
/// A request with its body in chunks, which is answered with `Connection: close`.
const CHUNKED_BODY: &str = "Transfer-Encoding: chunked\r\n\r\n8\r\na prompt\r\n0\r\n\r\n";

/// Guards against LOST: the end of an answer that is lost since the connection is closed, and thereby
/// reset, while bytes of the caller's next request are unread.
#[test]
fn an_answer_before_the_connection_closes_is_whole_though_the_next_request_came_early() {
    let store = configured_store();
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Signature: s\r\n\
         Content-Length: {ANSWER_BYTES}\r\n\r\n"
    );
    let first = [head.into_bytes(), vec![b'x'; ANSWER_BYTES]].concat();
    let book = RawEndpoint::start("book-1", RawResponse { first, ..RawResponse::default() });
    store.put(&format!("servers/{}", book.id), &book.registry_entry("books", "a"));
    let daemon = Daemon::start(store.address(), "vm-1", "a", &[]);
    daemon.wait_ready(true);
    let mut caller = TcpStream::connect(daemon.address()).expect("the daemon listens");
    caller.set_read_timeout(Some(Duration::from_secs(5))).expect("a timeout");
    let request = format!(
        "POST /reads/x HTTP/1.1\r\nHost: models.example\r\nX-Attempt-Id: r1\r\n\
         Authorization: Bearer {API_KEY}\r\n{CHUNKED_BODY}"
    );
    caller.write_all(request.as_bytes()).expect("the request is sent");
    for part in ["GET /reads/x HTTP/1.1\r\n", "Host: models.example\r\n\r\n"] {
        thread::sleep(Duration::from_millis(100));
        // Fails if the connection was reset, which the missing bytes show.
        drop(caller.write_all(part.as_bytes()));
    }
    let mut reply = Vec::new();
    let mut part = [0; READ_BYTES];
    let end = loop {
        thread::sleep(Duration::from_millis(1));
        match caller.read(&mut part) {
            Ok(count) if count > 0 => reply.extend_from_slice(&part[..count]),
            end => break end,
        }
    };
    let body = reply.windows(4).position(|window| window == b"\r\n\r\n").map(|at| at + 4);
    let body_bytes = reply.len() - body.expect("the end of the head");
    assert!(reply.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&reply));
    assert_eq!(body_bytes, ANSWER_BYTES, "{end:?}");
}

/// Guards against a caller that sends without end after the answer and thereby takes the processor from
/// other requests.
#[test]
fn a_caller_that_sends_without_end_is_not_read_for_long() {
    let store = configured_store();
    let daemon = Daemon::start(store.address(), "vm-1", "a", &[]);
    daemon.wait_ready(true);
    let mut caller = TcpStream::connect(daemon.address()).expect("the daemon listens");
    let request = format!(
        "POST /reads/x HTTP/1.1\r\nHost: models.example\r\nX-Attempt-Id: r1\r\n\
         Authorization: Bearer {API_KEY}\r\nContent-Length: 100000000000\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).expect("the request is sent");
    let part = vec![b'x'; 64 << 10];
    let mut sent_bytes = 0;
    while let Ok(count) = caller.write(&part) {
        sent_bytes += count;
        assert!(sent_bytes < MAX_SENT_BYTES, "the daemon still reads");
    }
}

/// Guards against a request that is read and dropped because it crosses the close of an idle connection:
/// its caller can't tell that it has not run.
#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_not_read() {
    let store = configured_store();
    let book = RawEndpoint::start("book-1", RawResponse::default());
    store.put(&format!("servers/{}", book.id), &book.registry_entry("books", "a"));
    let mut daemon = Daemon::start(store.address(), "vm-1", "a", &[]);
    daemon.wait_ready(true);
    let mut caller = TcpStream::connect(daemon.address()).expect("the daemon listens");
    let request = "GET /nowhere HTTP/1.1\r\nHost: models.example\r\nX-Attempt-Id: r1\r\n\r\n";
    caller.write_all(request.as_bytes()).expect("the request is sent");
    let mut part = [0; READ_BYTES];
    assert!(caller.read(&mut part).expect("an answer") > 0);
    daemon.stop();
    assert_eq!(caller.read(&mut part).expect("the end of the connection"), 0);
    caller.write_all(request.as_bytes()).expect("the daemon has closed its side only");
    thread::sleep(Duration::from_millis(100));
    // A connection that is closed with unread bytes is reset.
    let end = caller.write_all(request.as_bytes());
    assert!(end.is_err(), "the request was read");
}
