//! Callers that send their next request before they have read the answer to the first one.

use crate::support::{Daemon, TestEnv, configured_store};
use gypsumchute_platform_standin::fixtures::API_KEY;
use gypsumchute_platform_standin::{Behaviour, Endpoint, RawEndpoint, RawResponse};
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

/// Sends a generation to an engine that behaves as `behaviour` and an order behind it on one connection, in
/// one write or in two, and stops the daemon 200 ms later. Returns what the caller receives.
fn pipelined_answers(behaviour: Behaviour, in_one_write: bool) -> String {
    let (mut env, _engines) = TestEnv::start(|state| {
        let engine = Endpoint::start(state, "engine-1", behaviour);
        let book = Endpoint::start(state, "book-1", Behaviour::Succeeds);
        vec![(engine, "engines", "a"), (book, "books", "a")]
    });
    let mut caller = TcpStream::connect(env.daemon.address()).expect("the daemon listens");
    caller.set_read_timeout(Some(Duration::from_secs(9))).expect("a timeout");
    let request = |path: &str, id: &str, headers: &str| {
        format!(
            "POST {path} HTTP/1.1\r\nHost: models.example\r\nX-Attempt-Id: {id}\r\n\
             Authorization: Bearer {API_KEY}\r\n{headers}Content-Length: 4\r\n\r\nbody"
        )
    };
    let usage = "X-Model: m\r\nX-Token-Usage: 1000,400\r\n";
    let (first, second) = (request("/surveys/x", "r1", usage), request("/orders/x", "r2", ""));
    match in_one_write {
        true => caller.write_all((first + &second).as_bytes()).expect("both are sent"),
        false => {
            caller.write_all(first.as_bytes()).expect("the first is sent");
            thread::sleep(Duration::from_millis(20));
            caller.write_all(second.as_bytes()).expect("the second is sent");
        }
    }
    thread::sleep(Duration::from_millis(200));
    env.daemon.stop();
    let mut received = String::new();
    caller.read_to_string(&mut received).expect("the connection is closed without a reset");
    received
}

/// Guards against LOST: a request that was read behind another one and dropped at a planned stop, also
/// after the time at which idle connections are closed.
#[test]
fn a_request_that_was_sent_ahead_is_answered_at_a_planned_stop() {
    // The answer begins after the stop, or before it and lasts for longer than idle connections stay open.
    let begins_late = (Behaviour::StreamsLate { answer_ms: 500 }, 60);
    let lasts_long = (Behaviour::Streams { events: 200, event_interval_ms: 20 }, 200);
    let cases = [(begins_late, false), (begins_late, true), (lasts_long, false)];
    for ((behaviour, events), in_one_write) in cases {
        let received = pipelined_answers(behaviour, in_one_write);
        let answers: Vec<_> = received.split("HTTP/1.1 ").skip(1).collect();
        let label = format!("{behaviour:?}, in one write: {in_one_write}");
        assert_eq!(answers.len(), 2, "{label}: {received}");
        assert!(answers[0].starts_with("200"), "{label}: {}", answers[0]);
        assert!(answers[0].contains(&format!("id: {events}\n")), "{label}: {}", answers[0]);
        let second = answers[1].to_ascii_lowercase();
        assert!(second.starts_with("200") || second.starts_with("503"), "{label}: {second}");
        assert!(second.contains("connection: close"), "{label}: {second}");
    }
}
