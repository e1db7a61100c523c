//! Endpoints that send bytes without end which are no response. The entry process ends the exchange
//! soon, and keeps few of the bytes.

use crate::support::{Control, start_entry};
use gypsumchute_entry::backend::{ExchangeError, RequestHead, connect};
use gypsumchute_entry::engine::{self, ReadOutcome};
use gypsumchute_units::time::boot_now;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

/// Head of a response in chunks.
const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nX-Customer: acme\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Bytes that may be taken of one response without end: the limit for a line or a head, what is read at
/// once, and the buffers of the connection.
const MAX_TAKEN_BYTES: u64 = 8 << 20;

/// Bytes after which an endpoint stops, so that a test that fails does not need all memory.
const MAX_SENT_BYTES: u64 = 100 << 20;

/// Starts an endpoint that sends `first`, and then `repeated` without end, with a pause before each
/// repetition. Returns its address and the most bytes that it could send on one connection.
fn start_endless(
    first: String,
    repeated: Vec<u8>,
    pause: Duration,
) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("local address");
    let taken = Arc::new(AtomicU64::new(0));
    let most = taken.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (first, repeated, most) = (first.clone(), repeated.clone(), most.clone());
            thread::spawn(move || {
                let mut request = [0; 16];
                let mut sent =
                    stream.read(&mut request).and_then(|_| stream.write(first.as_bytes()));
                let mut total = 0;
                while let Ok(count) = sent
                    && total < MAX_SENT_BYTES
                {
                    total += count as u64;
                    most.fetch_max(total, Ordering::Relaxed);
                    thread::sleep(pause);
                    sent = stream.write(&repeated);
                }
            });
        }
    });
    (address, taken)
}

/// Waits until `act` has ended on a thread of its own, and panics after `limit`.
fn ends_within<T: Send + 'static>(limit: Duration, act: impl FnOnce() -> T + Send + 'static) -> T {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || drop(sender.send(act())));
    receiver.recv_timeout(limit).expect("the exchange ends in time")
}

/// Guards against an engine whose line never ends, and which the entry process reads and keeps for good.
#[test]
fn a_line_of_an_engine_without_an_end_is_given_up() {
    let line = format!("{CHUNKED_HEAD}fffffffffff\r\n{{\"generation\":\"g\",\"text\":\"");
    let (address, taken) = start_endless(line, vec![b'x'; 65_536], Duration::ZERO);
    let end = ends_within(Duration::from_secs(8), move || {
        let started = engine::start(address, boot_now() + 1_000, "g", "acme", b"{}");
        let Ok(mut reader) = started else { panic!("the engine answers") };
        loop {
            match reader.read() {
                ReadOutcome::Idle => {}
                end => return end,
            }
        }
    });
    assert_eq!(end, ReadOutcome::Unreachable);
    let taken = taken.load(Ordering::Relaxed);
    assert!(taken < MAX_TAKEN_BYTES, "{taken} bytes");
}

/// Guards against a head that trickles in for hours.
#[test]
fn a_head_of_an_engine_without_an_end_is_given_up() {
    const LIMIT: Duration = Duration::from_millis(2_500);
    let head = "HTTP/1.1 200 OK\r\nX-Filler: ".to_owned();
    let (address, _) = start_endless(head, b"x".to_vec(), Duration::from_millis(50));
    ends_within(LIMIT, move || {
        drop(engine::start(address, boot_now() + 1_000, "g", "acme", b"{}"))
    });
    assert!(!ends_within(LIMIT, move || engine::cancel(address, "g", false)));
    ends_within(LIMIT, move || engine::resume(address, "g", "acme", 0).read());
}

/// Guards against framing that the entry process keeps without a limit.
#[test]
fn a_chunk_size_without_an_end_is_an_error() {
    for framing in ["5;extension=", "5 "] {
        let filler = if framing.ends_with('=') { b'x' } else { b' ' };
        let first = format!("{CHUNKED_HEAD}{framing}");
        let (address, taken) = start_endless(first, vec![filler; 65_536], Duration::ZERO);
        let connection = connect(address, 1_000, 250).expect("endpoint listens");
        let head = RequestHead::new("GET", "/".to_owned());
        let mut pending = connection.send(&head, b"").expect("request is sent");
        let mut response = loop {
            if let Some(response) = pending.read_head().expect("valid head") {
                break response;
            }
        };
        let started = Instant::now();
        let end = loop {
            match response.next_data() {
                Err(ExchangeError::ReadTimeout) | Ok(Some(_)) => {}
                end => break end.map(|_| ()),
            }
            assert!(started.elapsed() < Duration::from_secs(2), "{framing}: still being read");
        };
        assert!(matches!(end, Err(ExchangeError::Protocol(_))), "{framing}: {end:?}");
        let taken = taken.load(Ordering::Relaxed);
        assert!(taken < MAX_TAKEN_BYTES, "{framing}: {taken} bytes");
    }
}

/// Guards against many bodies without end, which together need more memory than a VM has.
#[test]
fn bodies_without_an_end_share_a_limited_memory() {
    const CALLS: usize = 8;
    /// Less than a third of the smallest VM.
    const MAX_KEPT_BYTES: u64 = 28 << 20;
    let first = format!("{CHUNKED_HEAD}fffffffffff\r\n");
    let (endpoint, taken) = start_endless(first, vec![b'x'; 65_536], Duration::ZERO);
    let (entry, callers) = start_entry(Control::GrantsOnce(endpoint));
    let calls: Vec<_> = (0..CALLS)
        .map(|_| {
            thread::spawn(move || {
                let mut caller = TcpStream::connect(callers).expect("entry process listens");
                let request = "POST /apps/books/orders HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\
                    Content-Length: 0\r\n\r\n";
                caller.write_all(request.as_bytes()).expect("write");
                let mut response = String::new();
                caller.read_to_string(&mut response).expect("response");
                response
            })
        })
        .collect();
    for call in calls {
        let response = call.join().expect("caller");
        assert!(response.contains("may_have_run"), "{response}");
    }
    let largest = taken.load(Ordering::Relaxed);
    assert!(largest < MAX_KEPT_BYTES, "{largest} bytes");
    entry.stop();
}
