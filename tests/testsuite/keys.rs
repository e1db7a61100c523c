//! Tests of API keys: a withdrawn key is rejected on every VM within seconds, and no endpoint
//! receives a key.

use crate::support::{
    EventStream, Fleet, base_config_files, call_app, customer_config, customers_file,
    endpoint_config, endpoints_file, get_standin_json, request, request_completion, start_engine,
    start_service, wait_until,
};
use attohttpc::Method;
use gypsumchute::util::ports::free_address;
use gypsumchute_standins::platform::PlatformFaults;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const API_KEY: &str = "key-to-withdraw";
const OTHER_API_KEY: &str = "key-that-stays";
const VM_ZONES: [&str; 2] = ["north", "north"];
/// Maximum time until a change takes effect on every VM. The guarantees that hold "within seconds"
/// share this limit, except the rollout of a configuration version, which may take 7 seconds.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);

#[test]
fn a_withdrawn_key_is_rejected_for_requests_streams_resumes_and_open_connections() {
    let (engine, service) = (free_address().unwrap(), free_address().unwrap());
    let _engine = start_engine(engine, json!({ "step_ms": 20 }));
    let _service = start_service(service, json!({}));
    let mut files = base_config_files(&VM_ZONES);
    let other_customer = customer_config("flottbad", OTHER_API_KEY, 100.0, 100);
    files.extend([
        customers_file(&[
            customer_config("lens-trust", API_KEY, 100.0, 100),
            other_customer.clone(),
        ]),
        endpoints_file(&[
            endpoint_config("engine-1", "north", engine, &["survey"]),
            endpoint_config("service-1", "north", service, &["bookings", "weather"]),
        ]),
    ]);
    let mut fleet = Fleet::start(&VM_ZONES, files);

    let mut stream = EventStream::open(
        fleet.caller_address(0),
        API_KEY,
        "survey",
        "A very long survey. <len=3000>",
    )
    .unwrap();
    let first = stream.read(5);
    let generation = first[0].id.rsplit_once(':').unwrap().0.to_owned();
    let mut connection = TcpStream::connect(fleet.caller_address(1)).unwrap();
    connection.set_read_timeout(Some(PROPAGATION_LIMIT)).unwrap();
    let raw_request = format!(
        "GET /apps/bookings/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {API_KEY}\r\n\r\n"
    );
    let mut buffer = [0; 4096];
    connection.write_all(raw_request.as_bytes()).unwrap();
    let count = connection.read(&mut buffer).unwrap();
    assert!(buffer[..count].starts_with(b"HTTP/1.1 200"));

    let withdrawn_at = Instant::now();
    let version = fleet.publish(BTreeMap::from([customers_file(&[other_customer])]));
    let rest = stream.read_all();
    let last_data = &rest.last().unwrap().data;
    assert!(last_data.contains("key_withdrawn"), "{last_data}");
    assert!(
        withdrawn_at.elapsed() < PROPAGATION_LIMIT,
        "the stream ended after {:?}",
        withdrawn_at.elapsed()
    );
    assert!(fleet.wait_for_version(version, PROPAGATION_LIMIT));

    connection.write_all(raw_request.as_bytes()).unwrap();
    let count = connection.read(&mut buffer).unwrap();
    assert!(
        buffer[..count].starts_with(b"HTTP/1.1 401"),
        "the open connection still accepts the withdrawn key"
    );
    for vm in [0, 1] {
        assert_eq!(
            request_completion(fleet.caller_address(vm), API_KEY, "survey", "x").unwrap().status,
            401
        );
        let resumed =
            EventStream::resume(fleet.caller_address(vm), API_KEY, &generation, "").err().flatten();
        assert_eq!(resumed.unwrap().status, 401);
    }
    assert_eq!(
        request_completion(fleet.caller_address(0), OTHER_API_KEY, "survey", "x").unwrap().status,
        200
    );
    let open_route_response =
        call_app(Method::GET, fleet.caller_address(0), "", "/apps/weather/now", "", "").unwrap();
    assert_eq!(open_route_response.status, 200);

    // The platform returns the first version, in which the key is valid. A control process that
    // restarts now must take the newer version from its peer.
    let stale_platform = PlatformFaults { stuck_at_version: Some(1), ..PlatformFaults::default() };
    fleet.platform.set_faults(stale_platform);
    let plan = fleet.vms[0].plan.clone();
    fleet.vms[0].control.kill();
    fleet.vms[0].control = fleet.start_control(&plan);
    let mut accepted_again = false;
    wait_until(Duration::from_secs(12), || {
        let response = request_completion(plan.frontend_address, API_KEY, "survey", "x").unwrap();
        accepted_again |= response.status == 200;
        response.status == 401
    });
    assert!(!accepted_again, "the withdrawn key was accepted after a restart");
    assert_eq!(
        request_completion(plan.frontend_address, API_KEY, "survey", "x").unwrap().status,
        401
    );

    for (address, path) in [(engine, "/-/seen"), (service, "/-/seen")] {
        let requests = get_standin_json(address, path).to_string();
        assert!(
            !requests.contains(API_KEY) && !requests.contains(OTHER_API_KEY),
            "an endpoint received an API key"
        );
    }
    let status_request = request(Method::GET, fleet.vms[1].plan.control_ops_address, "/status", "");
    assert!(!status_request.send().unwrap().text().unwrap().contains(OTHER_API_KEY));
}
