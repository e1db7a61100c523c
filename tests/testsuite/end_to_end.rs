//! The whole path through separate processes.

use crate::support::{
    Fleet, Stream, base_files, call_app, complete, customer, customers_file, endpoint,
    endpoints_file, is_whole, runs, standin_page, start_engine, start_service, tokens_of,
};
use attohttpc::Method;
use gypsumchute::util::ports::free_address;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const KEY: &str = "key-of-lens-trust";
const OTHER_KEY: &str = "key-of-flottbad";
const ZONES: [&str; 2] = ["north", "south"];

struct Set {
    fleet: Fleet,
    engines: Vec<SocketAddr>,
    service: SocketAddr,
    _processes: Vec<crate::support::Process>,
}

fn start() -> Set {
    let engines = [free_address().unwrap(), free_address().unwrap()];
    let service = free_address().unwrap();
    let processes = vec![
        start_engine(engines[0], json!({ "step_ms": 20 })),
        start_engine(engines[1], json!({ "step_ms": 20 })),
        start_service(service, json!({})),
    ];
    let mut files: BTreeMap<String, String> = base_files(&ZONES);
    let customers =
        [customer("lens-trust", KEY, 100.0, 100), customer("flottbad", OTHER_KEY, 100.0, 100)];
    files.extend([
        customers_file(&customers),
        endpoints_file(&[
            endpoint("engine-1", "north", engines[0], &["survey"]),
            endpoint("engine-2", "south", engines[1], &["survey"]),
            endpoint("service-1", "north", service, &["bookings", "weather"]),
        ]),
    ]);
    let fleet = Fleet::start(&ZONES, files);
    Set { fleet, engines: engines.to_vec(), service, _processes: processes }
}

#[test]
fn a_stream_and_a_booking_go_through_separate_processes() {
    let set = start();
    let mut stream =
        Stream::open(set.fleet.at(0), KEY, "survey", "The lens at Hoburg. <len=20>").unwrap();
    let events = stream.read_all();
    assert!(is_whole(&events), "{events:?}");
    assert_eq!(tokens_of(&events).len(), 20);
    let ids: Vec<&str> = events.iter().map(|e| e.id.rsplit(':').next().unwrap()).collect();
    assert_eq!(&ids[..3], ["0", "1", "2"]);

    let first = events[0].at;
    let last = events[19].at;
    let spread = last - first;
    assert!(spread > Duration::from_millis(200), "tokens were held back: {spread:?}");

    let path = "/apps/bookings/rafts";
    let booked = call_app(Method::POST, set.fleet.at(1), OTHER_KEY, path, "b-1", "raft 7").unwrap();
    assert_eq!((booked.status, &booked.body["runs"]), (200, &json!(1)));
    assert_eq!(runs(set.service), BTreeMap::from([("b-1".to_owned(), 1)]));

    for (address, page) in
        [(set.engines[0], "/-/seen"), (set.engines[1], "/-/seen"), (set.service, "/-/seen")]
    {
        let seen = standin_page(address, page).to_string();
        assert!(!seen.contains(KEY) && !seen.contains(OTHER_KEY), "an endpoint saw a key");
    }
}

#[test]
fn refusals_have_status_code_verdict_and_time_to_come_back() {
    let set = start();
    let at = set.fleet.at(0);
    let mut lines = Vec::new();
    let mut note = |name: &str, answer: Option<crate::support::Answer>| {
        let answer = answer.unwrap();
        lines.push(format!("{name}: {} {} {}", answer.status, answer.code(), answer.verdict()));
    };
    note("no key", complete(at, "", "survey", "x"));
    note("unknown key", complete(at, "nobody's", "survey", "x"));
    note("no such route", complete(at, KEY, "nowhere", "x"));
    note("app route as model", complete(at, KEY, "bookings", "x"));
    let large = "x".repeat(2 << 20);
    note("too large", complete(at, KEY, "survey", &large));
    note("no app route", call_app(Method::GET, at, KEY, "/apps/none/x", "", ""));
    note("open route", call_app(Method::GET, at, "", "/apps/weather/today", "", ""));
    note("no such path", call_app(Method::GET, at, KEY, "/else", "", ""));
    let resumed = Stream::resume(at, KEY, "engine-1~00", "");
    note("no such generation", resumed.err().flatten());
    let crafted = Stream::resume(at, KEY, "engine-1~../../-/seen", "");
    note("crafted generation", crafted.err().flatten());
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
fn malformed_and_half_sent_requests_are_bounded() {
    let set = start();
    let at = set.fleet.at(0);
    let tell = |text: &str| {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).lines().next().unwrap_or("closed").to_owned()
    };
    let close = "Connection: close\r\n";
    let lines = [
        tell("nonsense\r\n\r\n"),
        tell("POST /v1/completions HTTP/1.1\r\nHost: x"),
        tell(&format!("POST /v1/completions HTTP/1.1\r\n{close}Content-Length: 2\r\n\r\n{{}}")),
        tell(&format!("POST /v1/completions HTTP/1.1\r\n{close}Content-Length: 90\r\n\r\n{{")),
        tell(&format!("POST /v1/completions HTTP/1.1\r\n{close}Content-Length: 99999999\r\n\r\n")),
    ];
    insta::assert_snapshot!(lines.join("\n"), @"
    HTTP/1.1 400 Bad Request
    HTTP/1.1 408 Request Timeout
    HTTP/1.1 400 Bad Request
    HTTP/1.1 400 Bad Request
    HTTP/1.1 413 Content Too Large
    ");
    let served = complete(at, KEY, "survey", "still serving").unwrap();
    assert_eq!(served.status, 200);
}

#[test]
fn callers_are_taken_after_a_quiet_time() {
    let set = start();
    std::thread::sleep(Duration::from_secs(6));
    let served = complete(set.fleet.at(0), KEY, "survey", "after a quiet time").unwrap();
    assert_eq!(served.status, 200);
}
