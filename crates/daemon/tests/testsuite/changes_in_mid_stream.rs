//! Changes by operators while streams are under way.

use crate::support::{API_KEY, TestEnv, complete_stream, configuration, generation_request};
use gypsumchute_platform_standin::{Behaviour, CompleteResponse, Endpoint};
use serde_json::Value;
use std::thread;
use std::time::Duration;

/// Number of events of a stream, which lasts a second.
const STREAM_EVENTS: u64 = 50;
/// An engine that sends an event every 20 ms.
const ENGINE: Behaviour = Behaviour::Streams { events: STREAM_EVENTS, event_interval_ms: 20 };
/// Number of streams of each kind.
const STREAM_COUNT: usize = 4;
/// Routes of generations: one that may run again, and one that may not.
const ROUTES: [&str; 2] = ["briefs", "surveys"];

/// Returns a configuration without routes.
fn without_routes(version: u64) -> Value {
    let mut configuration = configuration(version, &[API_KEY]);
    configuration["routes"] = Value::Array(Vec::new());
    configuration
}

/// Begins streams, calls `change` every 50 ms until they end, and asserts that all of them are whole.
fn assert_streams_outlive(change: impl Fn(&TestEnv, u64)) {
    let (env, _engines) = TestEnv::start(|state| {
        let start = |n: usize| Endpoint::start(state, &format!("engine-{n}"), ENGINE);
        (0..4).map(|n| (start(n), "engines", ["a", "b"][n % 2])).collect()
    });
    let ids = (0..STREAM_COUNT).flat_map(|n| ROUTES.map(|route| (route, format!("{route}-{n}"))));
    let callers: Vec<_> = ids
        .map(|(route, id)| {
            let mut stream = generation_request(route, &id).send(env.daemon.address());
            let first = stream.next_chunk().expect("open stream").expect("first event");
            thread::spawn(move || (first, stream.read_to_end()))
        })
        .collect();
    let mut step = 0;
    while callers.iter().any(|caller| !caller.is_finished()) {
        change(&env, step);
        step += 1;
        thread::sleep(Duration::from_millis(50));
    }
    assert!(step > 5, "{step} changes");
    for caller in callers {
        let (first, CompleteResponse { body, complete, .. }) = caller.join().expect("caller");
        assert_eq!((complete, first + &body), (true, complete_stream(STREAM_EVENTS)));
    }
}

/// Guards against LOST: streams that are cut by a version which follows another one within
/// milliseconds, arrives before an older one, or arrives twice.
#[test]
fn streams_outlive_versions_that_overtake_each_other() {
    assert_streams_outlive(|env, step| {
        let version = 10 + 3 * step;
        for value in [
            without_routes(version),
            configuration(version + 2, &[API_KEY]),
            without_routes(version + 1),
            configuration(version + 2, &[API_KEY]),
        ] {
            env.store.configure(&value);
        }
    });
}

/// Guards against LOST: streams that are cut since their zone is taken out, or put back, together with
/// a new configuration.
#[test]
fn streams_outlive_a_zone_that_is_taken_out_with_a_new_configuration() {
    assert_streams_outlive(|env, step| {
        let zone = ["a", "b"][step as usize / 2 % 2];
        env.store.set_zone_drained(zone, step % 2 == 0);
        env.store.configure(&configuration(10 + step, &[API_KEY]));
    });
}
