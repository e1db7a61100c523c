//! Tests of the request path through separate entry, control, engine and service processes.

use crate::support::{
    EventStream, Fleet, base_config_files, call_app, customer_config, customers_file,
    endpoint_config, endpoints_file, event_tokens, get_standin_json, is_complete,
    request_completion, run_counts, start_engine, start_service,
};
use attohttpc::Method;
use gypsumchute::util::ports::free_address;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const API_KEY: &str = "key-of-lens-trust";
const OTHER_API_KEY: &str = "key-of-flottbad";
const VM_ZONES: [&str; 2] = ["north", "south"];

/// A fleet with two engines and one service.
struct Setup {
    fleet: Fleet,
    engines: Vec<SocketAddr>,
    service: SocketAddr,
    /// Engine and service processes, which run until this is dropped.
    _processes: Vec<crate::support::Process>,
}

/// Starts a fleet with two customers, two engines and one service.
fn start() -> Setup {
    let engines = [free_address().unwrap(), free_address().unwrap()];
    let service = free_address().unwrap();
    let processes = vec![
        start_engine(engines[0], json!({ "step_ms": 20 })),
        start_engine(engines[1], json!({ "step_ms": 20 })),
        start_service(service, json!({})),
    ];
    let mut files: BTreeMap<String, String> = base_config_files(&VM_ZONES);
    let customers = [
        customer_config("lens-trust", API_KEY, 100.0, 100),
        customer_config("flottbad", OTHER_API_KEY, 100.0, 100),
    ];
    files.extend([
        customers_file(&customers),
        endpoints_file(&[
            endpoint_config("engine-1", "north", engines[0], &["survey"]),
            endpoint_config("engine-2", "south", engines[1], &["survey"]),
            endpoint_config("service-1", "north", service, &["bookings", "weather"]),
        ]),
    ]);
    let fleet = Fleet::start(&VM_ZONES, files);
    Setup { fleet, engines: engines.to_vec(), service, _processes: processes }
}

#[test]
fn a_stream_and_a_booking_succeed_across_separate_processes() {
    let setup = start();
    let mut stream = EventStream::open(
        setup.fleet.caller_address(0),
        API_KEY,
        "survey",
        "The lens at Hoburg. <len=20>",
    )
    .unwrap();
    let events = stream.read_all();
    assert!(is_complete(&events), "{events:?}");
    assert_eq!(event_tokens(&events).len(), 20);
    let ids: Vec<&str> = events.iter().map(|event| event.id.rsplit(':').next().unwrap()).collect();
    assert_eq!(&ids[..3], ["0", "1", "2"]);

    let first = events[0].received_at;
    let last = events[19].received_at;
    let spread = last - first;
    assert!(
        spread > Duration::from_millis(200),
        "20 tokens arrived within {spread:?}, so the stream was buffered"
    );

    let path = "/apps/bookings/rafts";
    let response =
        call_app(Method::POST, setup.fleet.caller_address(1), OTHER_API_KEY, path, "b-1", "raft 7")
            .unwrap();
    assert_eq!((response.status, &response.body["runs"]), (200, &json!(1)));
    assert_eq!(run_counts(setup.service), BTreeMap::from([("b-1".to_owned(), 1)]));

    for (address, path) in
        [(setup.engines[0], "/-/seen"), (setup.engines[1], "/-/seen"), (setup.service, "/-/seen")]
    {
        let requests = get_standin_json(address, path).to_string();
        assert!(
            !requests.contains(API_KEY) && !requests.contains(OTHER_API_KEY),
            "an endpoint received an API key"
        );
    }
}

#[test]
fn rejections_have_a_status_an_error_code_and_a_verdict() {
    let setup = start();
    let address = setup.fleet.caller_address(0);
    let mut lines = Vec::new();
    let mut record = |name: &str, response: Option<crate::support::Response>| {
        let response = response.unwrap();
        lines.push(format!(
            "{name}: {} {} {}",
            response.status,
            response.error_code(),
            response.verdict()
        ));
    };
    record("no key", request_completion(address, "", "survey", "x"));
    record("unknown key", request_completion(address, "nobody's", "survey", "x"));
    record("no such route", request_completion(address, API_KEY, "nowhere", "x"));
    record("app route as model", request_completion(address, API_KEY, "bookings", "x"));
    let large_prompt = "x".repeat(2 << 20);
    record("too large", request_completion(address, API_KEY, "survey", &large_prompt));
    record("no app route", call_app(Method::GET, address, API_KEY, "/apps/none/x", "", ""));
    record("open route", call_app(Method::GET, address, "", "/apps/weather/today", "", ""));
    record("no such path", call_app(Method::GET, address, API_KEY, "/else", "", ""));
    let unknown_generation = EventStream::resume(address, API_KEY, "engine-1~00", "");
    record("no such generation", unknown_generation.err().flatten());
    let crafted_generation = EventStream::resume(address, API_KEY, "engine-1~../../-/seen", "");
    record("crafted generation", crafted_generation.err().flatten());
    insta::assert_snapshot!(lines.join("\n"), @"
    no key: 401 unknown_key not_run
    unknown key: 401 unknown_key not_run
    no such route: 404 no_such_route not_run
    app route as model: 404 no_such_route not_run
    too large: 413 body_too_large not_run
    no app route: 404 no_such_route not_run
    open route: 200  
    no such path: 404 no_such_route not_run
    no such generation: 404 no_such_generation not_run
    crafted generation: 404 no_such_generation not_run
    ");
}

#[test]
fn malformed_and_incomplete_requests_are_rejected() {
    let setup = start();
    let address = setup.fleet.caller_address(0);
    let send_raw = |text: &str| {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response);
        String::from_utf8_lossy(&response).lines().next().unwrap_or("closed").to_owned()
    };
    let close_header = "Connection: close\r\n";
    let lines = [
        send_raw("nonsense\r\n\r\n"),
        send_raw("POST /v1/completions HTTP/1.1\r\nHost: x"),
        send_raw(&format!(
            "POST /v1/completions HTTP/1.1\r\n{close_header}Content-Length: 2\r\n\r\n{{}}"
        )),
        send_raw(&format!(
            "POST /v1/completions HTTP/1.1\r\n{close_header}Content-Length: 90\r\n\r\n{{"
        )),
        send_raw(&format!(
            "POST /v1/completions HTTP/1.1\r\n{close_header}Content-Length: 99999999\r\n\r\n"
        )),
    ];
    insta::assert_snapshot!(lines.join("\n"), @"
    HTTP/1.1 400 Bad Request
    HTTP/1.1 408 Request Timeout
    HTTP/1.1 400 Bad Request
    HTTP/1.1 400 Bad Request
    HTTP/1.1 413 Content Too Large
    ");
    let response = request_completion(address, API_KEY, "survey", "still serving").unwrap();
    assert_eq!(response.status, 200);
}

#[test]
fn requests_succeed_after_an_idle_period() {
    let setup = start();
    std::thread::sleep(Duration::from_secs(6));
    let response =
        request_completion(setup.fleet.caller_address(0), API_KEY, "survey", "after a quiet time")
            .unwrap();
    assert_eq!(response.status, 200);
}
