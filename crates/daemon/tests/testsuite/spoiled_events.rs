//! Streams with a wrong byte: callers receive them whole, from another engine if need be, or can tell
//! that something is missing.

use crate::links::Cut;
use crate::support::{TestEnv, complete_stream, eventually, generation_request};
use crate::zoned_fleet::ZonedFleet;
use gypsumchute_platform_standin::{
    Behaviour, CompleteResponse, Endpoint, RawEndpoint, RawResponse,
};
use std::thread;
use std::time::Duration;

/// Number of events of a sound stream.
const EVENTS: u64 = 4;

/// Returns a response to the request `r` whose stream has these events, in chunks.
fn response(events: &[String]) -> RawResponse {
    let mut text = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\nX-Response-Signature: s\r\n\
        Transfer-Encoding: chunked\r\n\r\n"
        .to_owned();
    for event in events {
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    text.push_str("0\r\n\r\n");
    RawResponse { first: text.into_bytes(), ..RawResponse::default() }
}

/// Returns streams of which the event `spoiled` is damaged in several ways.
fn damaged_streams(spoiled: u64) -> Vec<Vec<String>> {
    let sound = |id: u64| format!("id: {id}\ndata: token {id}\n\n");
    let damage: [fn(u64) -> String; 6] = [
        |id| format!("iD: {id}\ndata: token {id}\n\n"),
        |id| format!("id: x{id}\ndata: token {id}\n\n"),
        |id| format!("id: {}\ndata: token {id}\n\n", id + 1),
        |id| format!("id: {}\ndata: token {id}\n\n", id - 1),
        |id| format!("id: {id}\nid: {id}\ndata: token {id}\n\n"),
        |id| format!("event: error\ndata: token {id}\n\n"),
    ];
    let stream = |damage: &fn(u64) -> String| {
        let event = |id| if id == spoiled { damage(id) } else { sound(id) };
        (1..=EVENTS).map(event).collect()
    };
    damage.iter().map(stream).collect()
}

/// Asserts that the reply is the whole stream or can't be taken for one.
fn assert_not_short(reply: &CompleteResponse, what: &str) {
    let looks_complete = reply.status == 200 && reply.complete;
    assert!(!looks_complete || reply.body == complete_stream(EVENTS), "{what}: {}", reply.body);
}

/// Guards against a stream that is passed on as complete without the event that has a wrong byte.
#[test]
fn a_stream_is_not_passed_on_as_complete_without_a_spoiled_event() {
    for spoiled in 1..=EVENTS {
        for (n, events) in damaged_streams(spoiled).into_iter().enumerate() {
            // A wrong id of the last event, or of the first, is noticed by the ids beside it.
            let (env, _) = TestEnv::start(|_| vec![]);
            let raw = RawEndpoint::start("raw", response(&events));
            env.store.put("servers/raw", &raw.registry_entry("engines", "a"));
            let what = format!("event {spoiled}, damage {n}");
            eventually("the engine to be used", || {
                let reply = generation_request("surveys", "r").send_and_read(env.daemon.address());
                assert_not_short(&reply, &what);
                assert!(!(reply.status == 200 && reply.complete), "{what}: {}", reply.body);
                raw.request_count() > 0
            });
        }
    }
}

/// Guards against a stream that could be completed and is broken off instead.
#[test]
fn a_stream_that_may_be_repeated_goes_on_at_another_engine_after_a_spoiled_event() {
    for spoiled in [1, 2, EVENTS] {
        let events = damaged_streams(spoiled).swap_remove(0);
        let (env, _endpoints) = TestEnv::start(|state| {
            let sound = Behaviour::Streams { events: EVENTS, event_interval_ms: 5 };
            vec![(Endpoint::start(state, "sound", sound), "engines", "b")]
        });
        let raw = RawEndpoint::start("raw", response(&events));
        env.store.put("servers/raw", &raw.registry_entry("engines", "a"));
        eventually("the engine to be used", || {
            let reply = generation_request("briefs", "r").send_and_read(env.daemon.address());
            let whole = (200, true, complete_stream(EVENTS));
            assert_eq!((reply.status, reply.complete, reply.body), whole, "event {spoiled}");
            raw.request_count() > 0
        });
    }
}

/// Guards against the same loss on the way through another VM.
#[test]
fn a_stream_of_another_vm_is_not_passed_on_as_complete_without_a_spoiled_event() {
    for spoiled in [1, EVENTS] {
        let events = damaged_streams(spoiled).swap_remove(0);
        let fleet = ZonedFleet::start(&["a", "b"]);
        for endpoint in &fleet.endpoints {
            fleet.store.delete(&format!("servers/{}", endpoint.id));
        }
        let raw = RawEndpoint::start("raw", response(&events));
        fleet.store.put("servers/raw", &raw.registry_entry("engines", "b"));
        fleet.links[0].cut(Cut::RefusesNew);
        eventually("the engine to be used", || {
            let survey = generation_request("surveys", "r");
            let reply = survey.send_and_read(fleet.daemons[0].address());
            assert!(!(reply.status == 200 && reply.complete), "event {spoiled}: {}", reply.body);
            raw.request_count() > 0
        });
    }
}

/// Guards against a run that counts as complete although it ended before the events that the caller has.
#[test]
fn a_run_that_ends_before_the_events_of_the_caller_is_not_complete() {
    let slow = Behaviour::Streams { events: 200, event_interval_ms: 20 };
    let (env, mut engines) =
        TestEnv::start(|state| vec![(Endpoint::start(state, "first", slow), "engines", "a")]);
    let mut stream = generation_request("briefs", "r").send(env.daemon.address());
    let mut received = String::new();
    while received.matches("data:").count() < 3 {
        received.push_str(&stream.next_chunk().expect("open stream").expect("an event"));
    }
    let raw = RawEndpoint::start("raw", response(&["id: 1\ndata: token 1\n\n".to_owned()]));
    env.store.put("servers/raw", &raw.registry_entry("engines", "a"));
    thread::sleep(Duration::from_millis(300));
    engines[0].kill();
    let rest = stream.read_to_end();
    assert_eq!(raw.request_count(), 1, "the stream went on at the other engine");
    assert!(!rest.complete, "the stream looks complete after {}", rest.body);
}
