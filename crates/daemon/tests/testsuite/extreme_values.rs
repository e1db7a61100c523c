//! Numbers from callers and operators that are larger than any real one.

use crate::links::Cut;
use crate::support::{API_KEY, TestEnv, configuration, eventually, generation_request};
use crate::zoned_fleet::ZonedFleet;
use gypsumchute_platform_standin::{Behaviour, CallerRequest, Endpoint};
use serde_json::json;

/// Guards against sums of token counts that overflow, by which a prompt beyond all bounds would seem to
/// need no memory.
#[test]
fn a_prompt_that_no_engine_can_hold_is_refused() {
    let stream = Behaviour::Streams { events: 5, event_interval_ms: 1 };
    let (env, _engines) =
        TestEnv::start(|state| vec![(Endpoint::start(state, "engine-1", stream), "engines", "a")]);
    for usage in [format!("{0},{0}", u64::MAX), format!("{},400", u64::MAX - 100)] {
        let request = generation_request("surveys", "r1").header("X-Token-Usage", &usage);
        let reply = request.timeout_ms(1_000).send_and_read(env.daemon.address());
        assert_eq!((reply.status, env.endpoint_state.received_requests().len()), (503, 0));
    }
}

/// Guards against times that overflow, by which a route without a target for its latency would take each
/// endpoint for late, and against requests that panic for it.
#[test]
fn a_route_without_a_bound_on_its_times_is_served() {
    let stream = Behaviour::Streams { events: 5, event_interval_ms: 1 };
    let (env, _endpoints) = TestEnv::start(|state| {
        vec![
            (Endpoint::start(state, "engine-1", stream), "engines", "a"),
            (Endpoint::start(state, "book-1", Behaviour::Succeeds), "books", "a"),
        ]
    });
    let mut unbounded = configuration(8, &[API_KEY]);
    for route in unbounded["routes"].as_array_mut().expect("routes") {
        for field in ["targetLatencyMs", "targetGapMs", "timeoutMs"] {
            route[field] = json!(1e300);
        }
        let name = route["name"].as_str().expect("a name").to_owned();
        route["pathPrefix"] = json!(format!("/new-{name}/"));
    }
    env.store.configure(&unbounded);
    let address = env.daemon.address();
    let read = CallerRequest::new("GET /new-reads/x", "r1", API_KEY);
    eventually("the configuration", || read.send_and_read(address).status != 404);
    assert_eq!(read.send_and_read(address).status, 200);
    let reply = generation_request("new-briefs", "r2").send_and_read(address);
    assert_eq!((reply.status, reply.complete), (200, true));
}

/// Guards against a limit on heads that overflows once the room for what a VM adds is counted, by which
/// no VM could serve requests for another one.
#[test]
fn requests_are_forwarded_without_a_bound_on_heads() {
    let fleet = ZonedFleet::start(&["a", "b"]);
    let mut unbounded = configuration(8, &[API_KEY]);
    unbounded["limits"]["maxHeaderBytes"] = json!(usize::MAX);
    unbounded["routes"][2]["pathPrefix"] = json!("/new-orders/");
    fleet.store.configure(&unbounded);
    let order = |vm: usize, id: &str| {
        let request = CallerRequest::new("POST /new-orders/x", id, API_KEY).body("order");
        request.send_and_read(fleet.daemons[vm].address()).status
    };
    eventually("the configuration", || [0, 1].iter().all(|vm| order(*vm, "probe") == 200));
    fleet.links[0].cut(Cut::RefusesNew);
    for n in 0..4 {
        assert_eq!(order(0, &format!("order-{n}")), 200, "order {n}");
    }
}
