//! Memory of the daemon under responses that are larger than it can hold at once.

use crate::daemons::DaemonFleet;
use crate::support::wait_until;
use gypsumchute_platform_standin::fixtures::{API_KEY, configuration};
use gypsumchute_platform_standin::{CallerRequest, RawEndpoint, RawResponse, Store};
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Memory of the smallest VM that the users have, in kilobytes.
const SMALLEST_VM_KB: u64 = 88 << 10;
/// Number of concurrent requests, half of those that a VM carries at the planned size.
const CONCURRENT_REQUESTS: usize = 80;
/// Time until a started daemon is ready.
const START_LIMIT: Duration = Duration::from_secs(15);

/// Starts a daemon in front of `endpoint`, sends concurrent requests, and returns the peak memory in
/// kilobytes.
fn peak_memory_kb(subnet: u8, service: &str, endpoint: RawResponse, path: &str) -> u64 {
    let store = Store::start();
    store.configure(&configuration(7, &[API_KEY]));
    let raw: Vec<_> =
        (0..10).map(|n| RawEndpoint::start(&format!("raw-{n}"), endpoint.clone())).collect();
    for raw in &raw {
        store.put(&format!("servers/{}", raw.id), &raw.registry_entry(service, "a"));
    }
    let fleet = DaemonFleet::start(store.address(), subnet, &["a"]);
    let daemon = &fleet.daemons[0];
    assert!(wait_until(START_LIMIT, || daemon.is_ready()), "the daemon is not ready");
    let address = daemon.callers();
    let callers: Vec<_> = (0..CONCURRENT_REQUESTS)
        .map(|_| {
            let request = CallerRequest::new(&format!("POST {path}"), "r", API_KEY)
                .header("X-Token-Usage", "100,100")
                .body("a request");
            thread::spawn(move || drop(request.try_send(address).map(|r| r.read_to_end())))
        })
        .collect();
    callers.into_iter().for_each(|caller| caller.join().expect("caller"));
    assert!(raw.iter().map(RawEndpoint::request_count).sum::<usize>() >= CONCURRENT_REQUESTS / 2);
    daemon.peak_memory_kb()
}

/// Returns a response whose body grows by 64 KB each 10 ms.
fn growing_body(content: &str) -> RawResponse {
    let head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\nX-Response-Signature: s\r\n\
                Transfer-Encoding: chunked\r\n\r\n";
    RawResponse {
        first: head.as_bytes().to_vec(),
        repeated: format!("10000\r\n{}\r\n", content.repeat(65_536 / content.len())).into_bytes(),
        pause: Duration::from_millis(10),
    }
}

/// Guards against many large responses at once, which would end the process.
#[test]
fn large_responses_of_services_fit_into_the_smallest_vm() {
    let peak_kb = peak_memory_kb(210, "books", growing_body("x"), "/orders/new");
    assert!(peak_kb < SMALLEST_VM_KB, "{peak_kb} KB");
}

/// Guards against many large events at once, which would end the process.
#[test]
fn large_events_of_engines_fit_into_the_smallest_vm() {
    let peak_kb = peak_memory_kb(211, "engines", growing_body("x"), "/surveys/write");
    assert!(peak_kb < SMALLEST_VM_KB, "{peak_kb} KB");
}

/// Guards against heads without end, which would end the process.
#[test]
fn endless_heads_fit_into_the_smallest_vm() {
    let head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\nX-Response-Signature: s\r\n";
    let endless = RawResponse {
        first: head.as_bytes().to_vec(),
        repeated: format!("X-Filler: {}\r\n", "x".repeat(4_000)).into_bytes(),
        pause: Duration::ZERO,
    };
    for (subnet, service, path) in
        [(215, "books", "/orders/new"), (216, "engines", "/surveys/write")]
    {
        let peak_kb = peak_memory_kb(subnet, service, endless.clone(), path);
        assert!(peak_kb < SMALLEST_VM_KB, "{service}: {peak_kb} KB");
    }
}

/// Guards against callers that don't read their streams, whose events would pile up.
#[test]
fn streams_that_nobody_reads_fit_into_the_smallest_vm() {
    let head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\nX-Response-Signature: s\r\n\
                Transfer-Encoding: chunked\r\n\r\n";
    let event = |id: u64| format!("id: {id}\ndata: {}\n\n", "x".repeat(60_000));
    let events = (1..=400).map(event).map(|event| format!("{:x}\r\n{event}\r\n", event.len()));
    let first = format!("{head}{}", events.collect::<String>());
    let engine = RawResponse {
        first: first.into_bytes(),
        repeated: b"1\r\n \r\n".to_vec(),
        pause: Duration::from_millis(100),
    };
    let store = Store::start();
    store.configure(&configuration(7, &[API_KEY]));
    let raw: Vec<_> =
        (0..10).map(|n| RawEndpoint::start(&format!("raw-{n}"), engine.clone())).collect();
    for raw in &raw {
        store.put(&format!("servers/{}", raw.id), &raw.registry_entry("engines", "a"));
    }
    let fleet = DaemonFleet::start(store.address(), 212, &["a"]);
    let daemon = &fleet.daemons[0];
    assert!(wait_until(START_LIMIT, || daemon.is_ready()), "the daemon is not ready");
    let callers: Vec<_> = (0..40)
        .map(|_| {
            let request = CallerRequest::new("POST /surveys/write", "r", API_KEY)
                .header("X-Token-Usage", "100,100")
                .timeout_ms(20_000)
                .body("a request");
            request.send_only(daemon.callers())
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let peak_kb = daemon.peak_memory_kb();
    assert!(raw.iter().map(RawEndpoint::request_count).sum::<usize>() >= 30);
    assert!(peak_kb < SMALLEST_VM_KB, "{peak_kb} KB");
    drop(callers);
}

/// Guards against many large requests at once, which would end the process.
#[test]
fn large_requests_of_callers_fit_into_the_smallest_vm() {
    let store = Store::start();
    let mut configuration = configuration(7, &[API_KEY]);
    configuration["limits"]["maxBodyBytes"] = (4 << 20).into();
    store.configure(&configuration);
    let fleet = DaemonFleet::start(store.address(), 213, &["a"]);
    let daemon = &fleet.daemons[0];
    assert!(wait_until(START_LIMIT, || daemon.is_ready()), "the daemon is not ready");
    let address = daemon.callers();
    let callers: Vec<_> = (0..CONCURRENT_REQUESTS)
        .map(|_| {
            thread::spawn(move || -> std::io::Result<()> {
                let mut stream = TcpStream::connect(address)?;
                let head = format!(
                    "POST /orders/new HTTP/1.1\r\nHost: models.example\r\nX-Attempt-Id: r\r\n\
                     Authorization: Bearer {API_KEY}\r\nContent-Length: {}\r\n\r\n",
                    4 << 20
                );
                stream.write_all(head.as_bytes())?;
                for _ in 0..60 {
                    stream.write_all(&[b'x'; 65_536])?;
                    thread::sleep(Duration::from_millis(10));
                }
                Ok(())
            })
        })
        .collect();
    // Callers that are refused find their connection closed.
    callers.into_iter().for_each(|caller| drop(caller.join().expect("caller")));
    let peak_kb = daemon.peak_memory_kb();
    assert!(peak_kb < SMALLEST_VM_KB, "{peak_kb} KB");
    let small = CallerRequest::new("GET /elsewhere/x", "r", API_KEY).send_and_read(address);
    assert_eq!(small.status, 404, "the daemon serves on");
}
