//! A withdrawn key stops working within seconds, everywhere, and no endpoint sees a key.

use crate::support::{
    Fleet, Stream, base_files, call_app, complete, customer, customers_file, endpoint,
    endpoints_file, request, standin_page, start_engine, start_service, wait_until,
};
use attohttpc::Method;
use gypsumchute::util::ports::free_address;
use gypsumchute_standins::platform::PlatformFaults;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const KEY: &str = "key-to-withdraw";
const OTHER_KEY: &str = "key-that-stays";
const ZONES: [&str; 2] = ["north", "north"];
/// "Within seconds", chosen once for all promises but the configuration's own seven.
const SECONDS: Duration = Duration::from_secs(5);

#[test]
fn a_withdrawn_key_stops_new_requests_streams_resumes_and_open_connections() {
    let (engine, service) = (free_address().unwrap(), free_address().unwrap());
    let _engine = start_engine(engine, json!({ "step_ms": 20 }));
    let _service = start_service(service, json!({}));
    let mut files = base_files(&ZONES);
    let other = customer("flottbad", OTHER_KEY, 100.0, 100);
    files.extend([
        customers_file(&[customer("lens-trust", KEY, 100.0, 100), other.clone()]),
        endpoints_file(&[
            endpoint("engine-1", "north", engine, &["survey"]),
            endpoint("service-1", "north", service, &["bookings", "weather"]),
        ]),
    ]);
    let mut fleet = Fleet::start(&ZONES, files);

    let mut stream =
        Stream::open(fleet.at(0), KEY, "survey", "A very long survey. <len=3000>").unwrap();
    let first = stream.read(5);
    let generation = first[0].id.rsplit_once(':').unwrap().0.to_owned();
    let mut kept = TcpStream::connect(fleet.at(1)).unwrap();
    kept.set_read_timeout(Some(SECONDS)).unwrap();
    let call =
        format!("GET /apps/bookings/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n\r\n");
    let mut answer = [0; 4096];
    kept.write_all(call.as_bytes()).unwrap();
    let count = kept.read(&mut answer).unwrap();
    assert!(answer[..count].starts_with(b"HTTP/1.1 200"));

    let withdrawn = Instant::now();
    let version = fleet.publish(BTreeMap::from([customers_file(&[other])]));
    let rest = stream.read_all();
    let told = &rest.last().unwrap().data;
    assert!(told.contains("key_withdrawn"), "{told}");
    assert!(withdrawn.elapsed() < SECONDS, "the stream went on for {:?}", withdrawn.elapsed());
    assert!(fleet.wait_version(version, SECONDS));

    kept.write_all(call.as_bytes()).unwrap();
    let count = kept.read(&mut answer).unwrap();
    assert!(answer[..count].starts_with(b"HTTP/1.1 401"), "an open connection still works");
    for vm in [0, 1] {
        assert_eq!(complete(fleet.at(vm), KEY, "survey", "x").unwrap().status, 401);
        let resumed = Stream::resume(fleet.at(vm), KEY, &generation, "").err().flatten();
        assert_eq!(resumed.unwrap().status, 401);
    }
    assert_eq!(complete(fleet.at(0), OTHER_KEY, "survey", "x").unwrap().status, 200);
    let open = call_app(Method::GET, fleet.at(0), "", "/apps/weather/now", "", "").unwrap();
    assert_eq!(open.status, 200);

    // A process that starts anew while the platform is behind learns better from its peer.
    let stuck = PlatformFaults { stuck_at_version: Some(1), ..PlatformFaults::default() };
    fleet.platform.fault(stuck);
    let plan = fleet.vms[0].plan.clone();
    fleet.vms[0].control.kill();
    fleet.vms[0].control = fleet.start_control(&plan);
    let mut seen_good = false;
    wait_until(Duration::from_secs(12), || {
        let answer = complete(plan.listen, KEY, "survey", "x").unwrap();
        seen_good |= answer.status == 200;
        answer.status == 401
    });
    assert!(!seen_good, "the withdrawn key came back");
    assert_eq!(complete(plan.listen, KEY, "survey", "x").unwrap().status, 401);

    for (address, page) in [(engine, "/-/seen"), (service, "/-/seen")] {
        let seen = standin_page(address, page).to_string();
        assert!(!seen.contains(KEY) && !seen.contains(OTHER_KEY), "an endpoint saw a key");
    }
    let hidden = request(Method::GET, fleet.vms[1].plan.control_ops, "/status", "");
    assert!(!hidden.send().unwrap().text().unwrap().contains(OTHER_KEY));
}
