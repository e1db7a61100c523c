//! Idempotent requests whose endpoint answers later than the timeout of an attempt, as a sound one
//! may, and streams that wait for an engine.

use crate::support::{
    API_KEY, TestEnv, complete_stream, eventually, generation_request, register_endpoint,
};
use gypsumchute_platform_standin::fixtures::configuration;
use gypsumchute_platform_standin::{
    Behaviour, Brittleness, CallerRequest, CompleteResponse, Endpoint, OpenResponse,
};
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

/// Target latency of the route, in milliseconds. An attempt times out after twice this time.
const TARGET_MS: u64 = 200;
/// Time after which the slow endpoint answers, in milliseconds.
const SLOW_MS: u64 = 1_200;

/// An endpoint that answers each request after `work_ms`.
fn slow(work_ms: u64) -> Option<Brittleness> {
    Some(Brittleness { max_rejections_per_s: 1_000, room: 100, work_ms })
}

/// Starts `count` endpoints behind the idempotent route `lookups`, with a retry budget of
/// `fixed_retries`.
fn lookups(count: usize, fixed_retries: f64) -> (TestEnv, Vec<Endpoint>) {
    let (env, endpoints) = TestEnv::start_with_settings(
        |settings| (settings.retry_ratio, settings.retry_fixed) = (0.0, fixed_retries),
        |state| {
            let start = |n| Endpoint::start(state, &format!("book-{n}"), Behaviour::Succeeds);
            (0..count).map(|n| (start(n), "books", "a")).collect()
        },
    );
    let mut changed = configuration(8, &[API_KEY]);
    let mut route = changed["routes"][3].clone();
    route["name"] = json!("lookups");
    route["pathPrefix"] = json!("/lookups/");
    route["timeoutMs"] = json!(5_000);
    route["targetLatencyMs"] = json!(TARGET_MS);
    changed["routes"].as_array_mut().expect("routes").push(route);
    env.store.configure(&changed);
    eventually("the route", || lookup("r0").send_and_read(env.daemon.address()).status == 200);
    (env, endpoints)
}

/// Returns a request to the route `lookups`.
fn lookup(request_id: &str) -> CallerRequest {
    CallerRequest::new("GET /lookups/x", request_id, API_KEY)
}

/// Sends a request to an endpoint that answers after `first_ms`. Once it has arrived there, the other
/// endpoints answer after `other_ms`, if given, and behave as `other`. Returns the reply, the first
/// endpoint and the time to the reply.
fn lookup_beside(
    env: &TestEnv,
    endpoints: &[Endpoint],
    first_ms: u64,
    other: Behaviour,
    other_ms: Option<u64>,
) -> (CompleteResponse, String, Duration) {
    endpoints.iter().for_each(|endpoint| endpoint.set_brittle(slow(first_ms)));
    let started = Instant::now();
    thread::scope(|scope| {
        let reply = scope.spawn(|| lookup("r1").send_and_read(env.daemon.address()));
        eventually("the first send", || !env.last_run_endpoint("r1").is_empty());
        let first = env.last_run_endpoint("r1");
        for endpoint in endpoints.iter().filter(|endpoint| endpoint.id != first) {
            endpoint.set_behaviour(other);
            endpoint.set_brittle(other_ms.and_then(slow));
        }
        let reply = reply.join().expect("caller");
        (reply, first, started.elapsed())
    })
}

/// Guards against an attempt being given up although no other endpoint is in service.
#[test]
fn a_slow_lone_endpoint_answers_a_lookup() {
    let (env, endpoints) = lookups(1, 50.0);
    let (reply, first, _) = lookup_beside(&env, &endpoints, SLOW_MS, Behaviour::Succeeds, None);
    assert_eq!((reply.status, reply.body), (200, format!("answer of {first}")));
}

/// Guards against an attempt being given up although no retry is left.
#[test]
fn a_slow_endpoint_answers_a_lookup_if_no_retry_is_left() {
    let (env, endpoints) = lookups(2, 0.0);
    let (reply, first, _) = lookup_beside(&env, &endpoints, SLOW_MS, Behaviour::Succeeds, None);
    assert_eq!((reply.status, reply.body), (200, format!("answer of {first}")));
    let arrivals = env.endpoint_state.received_requests();
    assert_eq!(arrivals.iter().filter(|arrival| arrival.request_id() == "r1").count(), 1);
}

/// Guards against an attempt being given up for an endpoint that turns the request away, fails it or
/// is slower.
#[test]
fn a_slow_endpoint_answers_a_lookup_if_no_other_one_does() {
    for (other, other_ms) in [
        (Behaviour::Rejects, None),
        (Behaviour::DropsConnection, None),
        (Behaviour::FailsAfterExecution, None),
        (Behaviour::Succeeds, Some(10_000)),
    ] {
        let (env, endpoints) = lookups(2, 50.0);
        let (reply, first, _) = lookup_beside(&env, &endpoints, SLOW_MS, other, other_ms);
        assert_eq!((reply.status, reply.body), (200, format!("answer of {first}")), "{other:?}");
    }
}

/// Guards against lookups that wait for a slow endpoint although another one answers.
#[test]
fn another_endpoint_answers_a_lookup_whose_endpoint_hangs() {
    let (env, endpoints) = lookups(2, 50.0);
    let (reply, first, elapsed) =
        lookup_beside(&env, &endpoints, 60_000, Behaviour::Succeeds, None);
    assert_eq!(reply.status, 200);
    assert_ne!(reply.body, format!("answer of {first}"));
    assert!(elapsed < Duration::from_millis(1_500), "{elapsed:?}");
}

/// Guards against streams being cut because the queue's deadline counts from their arrival, although
/// an engine has room a moment later.
#[test]
fn a_stream_that_lost_its_engine_waits_for_another_one() {
    let stream = Behaviour::Streams { events: 100, event_interval_ms: 20 };
    let (env, mut engines) = TestEnv::start(|state| {
        let start = |id| (Endpoint::start(state, id, stream), "engines", "a");
        vec![start("engine-1"), start("engine-2")]
    });
    let address = env.daemon.address();
    let short = |id: &str| generation_request("briefs", id).output_tokens(100, 80);
    let rejection = || {
        let arrivals = env.endpoint_state.received_requests();
        arrivals.iter().find(|a| a.endpoint == "engine-2").map(|a| a.received_at)
    };
    engines[1].set_retry_after(Some("1"));
    for n in 0..20 {
        if rejection().is_some() {
            break;
        }
        drop(short(&format!("w{n}")).send(address));
    }
    let paused_at = rejection().expect("engine-2 was asked");
    engines[1].set_retry_after(None);
    let mut open = short("r1").send(address);
    let first = open.next_chunk().expect("open stream").expect("next event");
    assert_eq!(env.last_run_endpoint("r1"), "engine-1");
    let lost_at = paused_at + Duration::from_millis(850);
    thread::sleep(lost_at.saturating_duration_since(Instant::now()));
    engines[0].kill();
    let reply = open.read_to_end();
    assert_eq!((reply.complete, first + &reply.body), (true, complete_stream(100)));
    assert_eq!(env.last_run_endpoint("r1"), "engine-2");
}

/// Starts a stream at an engine of zone `b`, after those of zone `a` have turned it away, and returns it
/// with its first event.
fn stream_turned_away_by(count: usize) -> (TestEnv, Vec<Endpoint>, OpenResponse, String) {
    let (env, engines) = TestEnv::start(|state| {
        let full = |n| Endpoint::start(state, &format!("full-{n}"), Behaviour::Rejects);
        let stream = Behaviour::Streams { events: 40, event_interval_ms: 20 };
        let sound = (Endpoint::start(state, "sound", stream), "engines", "b");
        (0..count).map(|n| (full(n), "engines", "a")).chain([sound]).collect()
    });
    let request = generation_request("briefs", "r1").output_tokens(100, 80);
    let mut open = request.send(env.daemon.address());
    let first = open.next_chunk().expect("open stream").expect("next event");
    let arrivals = env.endpoint_state.received_requests();
    assert_eq!(arrivals.iter().filter(|arrival| !arrival.executed).count(), count);
    (env, engines, open, first)
}

/// Guards against a stream being cut by one rejection because others had turned it away at its beginning.
#[test]
fn a_stream_that_lost_its_engine_survives_a_rejection() {
    let (env, mut engines, open, first) = stream_turned_away_by(2);
    let full = Endpoint::start(&env.endpoint_state, "full", Behaviour::Rejects);
    register_endpoint(&env.store, &full, "engines", "a", "ready");
    let stream = Behaviour::Streams { events: 40, event_interval_ms: 20 };
    let other = Endpoint::start(&env.endpoint_state, "other", stream);
    register_endpoint(&env.store, &other, "engines", "b", "ready");
    thread::sleep(Duration::from_millis(200));
    engines[2].kill();
    let reply = open.read_to_end();
    assert_eq!((reply.complete, first + &reply.body), (true, complete_stream(40)));
}

/// Guards against a stream being cut because the engines that had no room at its beginning are passed over
/// for as long as it lasts.
#[test]
fn a_stream_that_lost_its_engine_goes_on_at_one_that_had_no_room_before() {
    let (_env, mut engines, open, first) = stream_turned_away_by(1);
    engines[0].set_behaviour(Behaviour::Streams { events: 40, event_interval_ms: 20 });
    engines[1].kill();
    let reply = open.read_to_end();
    assert_eq!((reply.complete, first + &reply.body), (true, complete_stream(40)));
}
