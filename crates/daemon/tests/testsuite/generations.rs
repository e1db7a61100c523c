//! Recovery of generations: each event reaches the caller exactly once, even if engines fail.

use crate::support::{TestEnv, complete_stream, eventually, generation_request, register_endpoint};
use gypsumchute_platform_standin::{Behaviour, Endpoint, SharedEndpointState, StoreMode};

/// Maximum time for which two runs of a generation may overlap, in milliseconds. The runs use
/// connections to different engines, so the end of one and the start of the other are not ordered.
const MAX_OVERLAP_MS: u128 = 400;
/// Behaviour of an engine that streams 40 events, one every 10 ms.
const STREAM: Behaviour = Behaviour::Streams { events: 40, event_interval_ms: 10 };

/// Starts two engines that stream [`STREAM`].
fn two_engines(
    endpoint_state: &SharedEndpointState,
) -> Vec<(Endpoint, &'static str, &'static str)> {
    ["engine-1", "engine-2"]
        .map(|id| (Endpoint::start(endpoint_state, id, STREAM), "engines", "a"))
        .into()
}

/// Kills the engine that runs the request `request_id`.
fn kill_running_engine(env: &TestEnv, engines: &mut [Endpoint], request_id: &str) {
    let running_engine = env.last_run_endpoint(request_id);
    let engine = engines.iter_mut().find(|engine| engine.id == running_engine);
    engine.expect("running engine").kill();
}

#[test]
fn a_stream_is_forwarded_unchanged() {
    let (env, _engines) = TestEnv::start(two_engines);
    let reply = generation_request("surveys", "r1").send_and_read(env.daemon.address());
    assert_eq!((reply.status, reply.complete), (200, true));
    assert_eq!(reply.body, complete_stream(40));
    let arrivals = env.endpoint_state.received_requests();
    let arrival = &arrivals[0];
    assert_eq!(arrival.request_line, "POST /surveys/write");
    assert_eq!(arrival.customer(), "acme");
    assert!(!arrival.has_api_key());
    assert_eq!(arrival.token_usage(), "1000,400");
    assert_eq!(arrival.expected_endpoint(), arrival.endpoint);
    assert_eq!(reply.headers["x-response-signature"], format!("signed-by-{}", arrival.endpoint));
}

#[test]
fn a_stream_resumes_from_its_backup_when_its_engine_crashes() {
    let (env, mut engines) = TestEnv::start(two_engines);
    let mut stream = generation_request("surveys", "r1").send(env.daemon.address());
    let first = stream.next_chunk().expect("open stream").expect("next event");
    let running_engine = env.last_run_endpoint("r1");
    kill_running_engine(&env, &mut engines, "r1");
    let signature = stream.headers["x-response-signature"].clone();
    let reply = stream.read_to_end();
    assert!(reply.complete);
    assert_eq!(first + &reply.body, complete_stream(40));
    assert_eq!(signature, format!("signed-by-{running_engine}"));
    assert_ne!(env.last_run_endpoint("r1"), running_engine);
}

#[test]
fn a_stream_that_cannot_be_recovered_is_aborted() {
    let (env, mut engines) = TestEnv::start(two_engines);
    let mut stream = generation_request("surveys", "r1").send(env.daemon.address());
    stream.next_chunk().expect("open stream");
    env.endpoint_state.delete_kv_copies();
    kill_running_engine(&env, &mut engines, "r1");
    let reply = stream.read_to_end();
    assert!(!reply.complete, "a stream that lost its engine must not look complete");
    let runs =
        env.endpoint_state.received_requests().iter().filter(|arrival| arrival.executed).count();
    assert_eq!(runs, 1);
}

#[test]
fn a_resumable_stream_without_a_backup_restarts_at_the_next_event() {
    let (env, mut engines) = TestEnv::start(two_engines);
    let mut stream = generation_request("briefs", "r1").send(env.daemon.address());
    let first = stream.next_chunk().expect("open stream").expect("next event");
    env.endpoint_state.delete_kv_copies();
    kill_running_engine(&env, &mut engines, "r1");
    let reply = stream.read_to_end();
    assert!(reply.complete);
    assert_eq!(first + &reply.body, complete_stream(40));
}

#[test]
fn a_stream_moves_off_a_terminating_engine() {
    let (env, engines) = TestEnv::start(two_engines);
    let mut stream = generation_request("surveys", "r1").send(env.daemon.address());
    let first = stream.next_chunk().expect("open stream").expect("next event");
    let running_engine = env.last_run_endpoint("r1");
    let terminating =
        engines.iter().find(|engine| engine.id == running_engine).expect("running engine");
    register_endpoint(&env.store, terminating, "engines", "a", "draining");
    eventually("the run to move", || env.last_run_endpoint("r1") != running_engine);
    let reply = stream.read_to_end();
    assert!(reply.complete);
    assert_eq!(first + &reply.body, complete_stream(40));
    assert!(env.endpoint_state.longest_overlap_ms("r1") < MAX_OVERLAP_MS);
}

#[test]
fn a_stream_without_a_backup_is_copied_before_its_engine_terminates() {
    let (env, engines) = TestEnv::start(|endpoint_state| {
        vec![(Endpoint::start(endpoint_state, "engine-1", STREAM), "engines", "a")]
    });
    let mut stream = generation_request("surveys", "r1").send(env.daemon.address());
    let first = stream.next_chunk().expect("open stream").expect("next event");
    let other = Endpoint::start(&env.endpoint_state, "engine-2", STREAM);
    register_endpoint(&env.store, &other, "engines", "a", "ready");
    register_endpoint(&env.store, &engines[0], "engines", "a", "draining");
    let reply = stream.read_to_end();
    assert!(reply.complete);
    assert_eq!(first + &reply.body, complete_stream(40));
    assert_eq!(env.last_run_endpoint("r1"), "engine-2");
}

#[test]
fn a_run_is_cancelled_when_the_caller_disconnects() {
    let (env, _engines) = TestEnv::start(two_engines);
    let mut stream = generation_request("surveys", "r1").send(env.daemon.address());
    stream.next_chunk().expect("open stream");
    assert_eq!(env.endpoint_state.active_executions("r1"), 1);
    drop(stream);
    eventually("the run to end", || env.endpoint_state.active_executions("r1") == 0);
}

#[test]
fn an_engine_that_fails_to_resume_a_run_is_not_tried_again() {
    let (env, engines) = TestEnv::start(two_engines);
    engines
        .iter()
        .for_each(|e| e.set_behaviour(Behaviour::Streams { events: 60, event_interval_ms: 20 }));
    let mut streams: Vec<_> = (0..6)
        .map(|n| {
            let mut stream =
                generation_request("surveys", &format!("r{n}")).send(env.daemon.address());
            let first = stream.next_chunk().expect("open stream").expect("next event");
            (stream, first)
        })
        .collect();
    // An engine that fails all requests has the lowest load and stays the first choice.
    let failing = Endpoint::start(&env.endpoint_state, "engine-3", Behaviour::FailsAfterExecution);
    register_endpoint(&env.store, &failing, "engines", "a", "ready");
    // Without a backup, the KV cache of a run is copied to another engine.
    env.endpoint_state.delete_kv_copies();
    let running_engine = env.last_run_endpoint("r0");
    let terminating = engines.iter().find(|e| e.id == running_engine).expect("running engine");
    register_endpoint(&env.store, terminating, "engines", "a", "draining");
    let (stream, first) = streams.remove(0);
    let reply = stream.read_to_end();
    assert_eq!((reply.complete, first + &reply.body), (true, complete_stream(60)));
    let arrivals = env.endpoint_state.received_requests();
    let attempts = arrivals.iter().filter(|a| a.executed && a.endpoint == failing.id);
    assert!(
        attempts.filter(|a| a.request_id() == "r0").count() <= 1,
        "the failing engine was tried again"
    );
}

#[test]
fn a_stalled_stream_resumes_from_its_backup() {
    let (env, engines) = TestEnv::start(two_engines);
    engines
        .iter()
        .for_each(|engine| engine.set_behaviour(Behaviour::StreamsWithPause { pause_ms: 4_000 }));
    let mut stream = generation_request("surveys", "r1").send(env.daemon.address());
    let first = stream.next_chunk().expect("open stream").expect("next event");
    engines.iter().for_each(|engine| {
        engine.set_behaviour(Behaviour::Streams { events: 20, event_interval_ms: 10 })
    });
    let started = std::time::Instant::now();
    let reply = stream.read_to_end();
    assert!(started.elapsed().as_millis() < 2_000);
    assert_eq!((reply.complete, first + &reply.body), (true, complete_stream(20)));
    assert!(
        env.endpoint_state.longest_overlap_ms("r1") < MAX_OVERLAP_MS,
        "the stalled run must end at once"
    );
}

#[test]
fn a_stalled_stream_stays_when_its_backup_is_unregistered() {
    let (env, engines) = TestEnv::start(two_engines);
    engines
        .iter()
        .for_each(|engine| engine.set_behaviour(Behaviour::StreamsWithPause { pause_ms: 1_500 }));
    let mut stream = generation_request("surveys", "r1").send(env.daemon.address());
    let first = stream.next_chunk().expect("open stream").expect("next event");
    let running_engine = env.last_run_endpoint("r1");
    let other = engines.iter().find(|engine| engine.id != running_engine).expect("another engine");
    env.store.unregister(&other.id);
    let reply = stream.read_to_end();
    assert_eq!((reply.complete, first + &reply.body), (true, complete_stream(20)));
    assert_eq!(env.last_run_endpoint("r1"), running_engine);
}

#[test]
fn a_stalled_stream_stays_when_its_backup_is_unreachable() {
    let (env, mut engines) = TestEnv::start(two_engines);
    engines
        .iter()
        .for_each(|engine| engine.set_behaviour(Behaviour::StreamsWithPause { pause_ms: 1_500 }));
    let mut stream = generation_request("surveys", "r1").send(env.daemon.address());
    let first = stream.next_chunk().expect("open stream").expect("next event");
    let running_engine = env.last_run_endpoint("r1");
    // The registry entry stays, as it does in a network partition of the zone.
    engines.iter_mut().filter(|engine| engine.id != running_engine).for_each(Endpoint::kill);
    let reply = stream.read_to_end();
    assert_eq!((reply.complete, first + &reply.body), (true, complete_stream(20)));
    assert_eq!(env.last_run_endpoint("r1"), running_engine);
}

#[test]
fn a_stream_moves_off_a_terminating_engine_while_the_store_hangs() {
    let (env, engines) = TestEnv::start(two_engines);
    let slow = Behaviour::Streams { events: 60, event_interval_ms: 100 };
    engines.iter().for_each(|engine| engine.set_behaviour(slow));
    let caller = generation_request("surveys", "r1").timeout_ms(20000);
    let mut stream = caller.send(env.daemon.address());
    stream.next_chunk().expect("open stream").expect("next event");
    let running_engine = env.last_run_endpoint("r1");
    env.store_mode(StoreMode::Unresponsive);
    let outage_start = std::time::Instant::now();
    env.endpoint_state.announce_termination(&running_engine);
    eventually("the run to move", || env.last_run_endpoint("r1") != running_engine);
    assert!(
        outage_start.elapsed().as_millis() < 1_500,
        "engines are terminated 1.5 s after their notice"
    );
}

#[test]
fn a_stream_stays_at_a_draining_engine_while_the_store_is_unavailable() {
    let (env, engines) = TestEnv::start(two_engines);
    let slow = Behaviour::Streams { events: 30, event_interval_ms: 50 };
    engines.iter().for_each(|engine| engine.set_behaviour(slow));
    let mut stream = generation_request("surveys", "r1").send(env.daemon.address());
    let first = stream.next_chunk().expect("open stream").expect("next event");
    let running_engine = env.last_run_endpoint("r1");
    env.store_mode(StoreMode::RejectsCalls);
    env.endpoint_state.set_report(&running_engine, serde_json::json!({ "state": "draining" }));
    let reply = stream.read_to_end();
    assert!(env.endpoint_state.report_request_count() > 0, "the engine was not polled");
    assert_eq!((reply.complete, first + &reply.body), (true, complete_stream(30)));
    assert_eq!(
        env.last_run_endpoint("r1"),
        running_engine,
        "a draining engine keeps serving until the store is available"
    );
}

#[test]
fn a_stream_moves_off_an_engine_that_reports_its_termination_while_the_store_is_unavailable() {
    let (env, engines) = TestEnv::start(two_engines);
    let slow = Behaviour::Streams { events: 60, event_interval_ms: 100 };
    engines.iter().for_each(|engine| engine.set_behaviour(slow));
    let caller = generation_request("surveys", "r1").timeout_ms(20000);
    let mut stream = caller.send(env.daemon.address());
    let first = stream.next_chunk().expect("open stream").expect("next event");
    let running_engine = env.last_run_endpoint("r1");
    assert_eq!(
        env.endpoint_state.report_request_count(),
        0,
        "no engine is polled while the registry is fresh"
    );
    env.store_mode(StoreMode::RejectsCalls);
    let outage_start = std::time::Instant::now();
    env.endpoint_state.announce_termination(&running_engine);
    eventually("the run to move", || env.last_run_endpoint("r1") != running_engine);
    assert!(
        outage_start.elapsed().as_millis() < 1_500,
        "engines are terminated 1.5 s after their notice"
    );
    let reply = stream.read_to_end();
    assert_eq!((reply.complete, first + &reply.body), (true, complete_stream(60)));
}

#[test]
fn a_generation_without_a_response_is_refused_as_may_have_run() {
    let (env, engines) = TestEnv::start(two_engines);
    engines.iter().for_each(|engine| engine.set_behaviour(Behaviour::Hangs));
    let caller = generation_request("surveys", "r1").timeout_ms(600);
    let reply = caller.send_and_read(env.daemon.address());
    assert_eq!((reply.status, env.endpoint_state.received_requests().len()), (504, 1));
    assert!(reply.body.contains("may_have_run"), "{}", reply.body);
}

/// Guards against a second run of a request whose engine may have run it before the answer was lost.
/// A run that has written nothing has left nothing to go on from.
#[test]
fn a_stream_whose_answer_was_lost_is_not_run_again() {
    let (env, engines) = TestEnv::start(two_engines);
    engines.iter().for_each(|engine| engine.set_behaviour(Behaviour::DropsConnection));
    let reply = generation_request("surveys", "r1").send_and_read(env.daemon.address());
    assert_eq!(reply.status, 502);
    assert!(reply.body.contains("may_have_run"), "{}", reply.body);
    assert_eq!(env.endpoint_state.received_requests().len(), 1);
}

#[test]
fn a_resumable_stream_whose_answer_was_lost_begins_anew() {
    let (env, engines) = TestEnv::start(two_engines);
    engines.iter().for_each(|engine| engine.set_behaviour(Behaviour::DropsConnection));
    let reply = generation_request("briefs", "r1").send_and_read(env.daemon.address());
    assert_eq!(reply.status, 502);
    let runs = env.endpoint_state.received_requests();
    assert_eq!(runs.len(), 2, "the route allows two endpoints");
    assert!(runs.iter().all(|run| !run.resumes_from_kv()), "there is nothing to go on from");
}
