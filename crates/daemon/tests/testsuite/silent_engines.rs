//! Streams whose engine falls silent for a while and then goes on, as a sound engine may.

use crate::links::start_proxy;
use crate::support::{TestEnv, complete_stream, eventually, generation_request, register_endpoint};
use gypsumchute_platform_standin::{Behaviour, CallerRequest, CompleteResponse, Endpoint};
use gypsumchute_standins::proxy::Fault;
use std::thread;
use std::time::{Duration, Instant};

/// Time for which engines fall silent, in milliseconds. A run counts as stalled after 600 ms, four
/// times the target for the time between events.
const SILENCE_MS: u64 = 1_200;
/// An engine that sends ten events, falls silent, and sends ten more.
const PAUSES: Behaviour = Behaviour::StreamsWithPause { pause_ms: SILENCE_MS };
/// Maximum time for which two runs of a generation may overlap, in milliseconds.
const MAX_OVERLAP_MS: u128 = 400;

/// Starts `count` engines that fall silent in the middle of each stream.
fn pausing_engines(count: usize) -> (TestEnv, Vec<Endpoint>) {
    TestEnv::start(|state| {
        let start = |n| Endpoint::start(state, &format!("engine-{n}"), PAUSES);
        (0..count).map(|n| (start(n), "engines", "a")).collect()
    })
}

/// Returns a request on `route` that is so short that it has no backup if it may run again.
fn short_request(route: &str, request_id: &str) -> CallerRequest {
    generation_request(route, request_id).output_tokens(100, 80)
}

/// Starts two engines, and a stream on `route` that has begun at one of them. That engine falls silent
/// for `pause_ms`; the other one behaves as `other` from now on. Returns the stream as it ends.
fn stream_beside(
    route: &str,
    pause_ms: u64,
    other: Behaviour,
) -> (TestEnv, Vec<Endpoint>, String, CompleteResponse) {
    let (env, engines) = pausing_engines(2);
    let pauses = Behaviour::StreamsWithPause { pause_ms };
    engines.iter().for_each(|engine| engine.set_behaviour(pauses));
    let mut stream = short_request(route, "r1").send(env.daemon.address());
    let first = stream.next_chunk().expect("open stream").expect("next event");
    let silent = env.last_run_endpoint("r1");
    let others = engines.iter().filter(|engine| engine.id != silent);
    others.for_each(|engine| engine.set_behaviour(other));
    let mut reply = stream.read_to_end();
    reply.body = first + &reply.body;
    (env, engines, silent, reply)
}

/// Guards against LOST: streams that are cut because their engines are silent for a second, while no
/// other engine has room for all of them.
#[test]
fn streams_survive_the_silence_of_all_engines() {
    for (engine_count, stream_count) in [(1, 1), (2, 24), (3, 35)] {
        let (env, _engines) = pausing_engines(engine_count);
        let address = env.daemon.address();
        let send = |n: usize| short_request("briefs", &format!("r{n}")).try_send(address);
        let callers: Vec<_> = (0..stream_count)
            .map(|n| {
                let sent = send(n);
                thread::spawn(move || sent.map(|stream| (stream.status, stream.read_to_end())))
            })
            .collect();
        let ends: Vec<_> =
            callers.into_iter().map(|caller| caller.join().expect("caller")).collect();
        let begun = ends.iter().flatten().filter(|(status, _)| *status == 200);
        let replies: Vec<_> = begun.map(|(_, reply)| reply).collect();
        let cut = replies.iter().filter(|reply| !reply.complete).count();
        assert_eq!(cut, 0, "of {} streams that began at {engine_count} engines", replies.len());
        let expected = complete_stream(20);
        assert!(replies.iter().all(|reply| reply.body == expected));
        for n in 0..stream_count {
            let overlap_ms = env.endpoint_state.longest_overlap_ms(&format!("r{n}"));
            assert!(overlap_ms < MAX_OVERLAP_MS, "runs of r{n} overlap for {overlap_ms} ms");
        }
    }
}

/// Guards against a silent run being given up for an engine that turns the request away.
#[test]
fn a_silent_stream_goes_on_if_no_other_engine_takes_it() {
    let (env, _engines, silent, reply) = stream_beside("briefs", SILENCE_MS, Behaviour::Rejects);
    assert_eq!((reply.complete, reply.body), (true, complete_stream(20)));
    assert_eq!(env.last_run_endpoint("r1"), silent);
}

/// Guards against a silent run being given up although no retry is left.
#[test]
fn a_silent_stream_goes_on_if_no_retry_is_left() {
    let (env, _engines) = TestEnv::start_with_settings(
        |settings| (settings.retry_ratio, settings.retry_fixed) = (0.0, 0.0),
        |state| {
            let start = |id| (Endpoint::start(state, id, PAUSES), "engines", "a");
            vec![start("engine-1"), start("engine-2")]
        },
    );
    let reply = short_request("briefs", "r1").send_and_read(env.daemon.address());
    assert_eq!((reply.complete, reply.body), (true, complete_stream(20)));
    assert_eq!(env.endpoint_state.received_requests().len(), 1);
}

/// Guards against a run being given up that goes on before the run that was to replace it has begun.
#[test]
fn a_silent_stream_goes_on_at_its_engine_if_that_is_the_first_to_answer() {
    for route in ["briefs", "surveys"] {
        let (env, _engines, _, reply) = stream_beside(route, 700, Behaviour::Hangs);
        assert_eq!((reply.complete, reply.body), (true, complete_stream(20)), "{route}");
        eventually("the other run to end", || env.endpoint_state.active_executions("r1") == 0);
        assert!(env.endpoint_state.longest_overlap_ms("r1") < MAX_OVERLAP_MS);
    }
}

/// Guards against streams that wait for an engine that hangs, although another engine has room.
#[test]
fn a_stream_leaves_an_engine_that_stays_silent() {
    for route in ["briefs", "surveys"] {
        let started = Instant::now();
        let other = Behaviour::Streams { events: 20, event_interval_ms: 10 };
        let (env, _engines, silent, reply) = stream_beside(route, 60_000, other);
        assert_eq!((reply.complete, reply.body), (true, complete_stream(20)), "{route}");
        assert_ne!(env.last_run_endpoint("r1"), silent);
        assert!(started.elapsed() < Duration::from_millis(2_000), "{:?}", started.elapsed());
        assert!(env.endpoint_state.longest_overlap_ms("r1") < MAX_OVERLAP_MS);
    }
}

/// Guards against a silence that was no loss costing the stream its way out of a later one: the engine
/// that had no room at that time.
#[test]
fn an_engine_that_turned_a_silent_stream_away_takes_it_over_later() {
    let (env, mut engines) = pausing_engines(2);
    let mut stream = short_request("briefs", "r1").send(env.daemon.address());
    let mut body = stream.next_chunk().expect("open stream").expect("next event");
    let silent = env.last_run_endpoint("r1");
    let (silent, other): (Vec<_>, Vec<_>) =
        engines.iter_mut().partition(|engine| engine.id == silent);
    other[0].set_behaviour(Behaviour::Rejects);
    while !body.contains("id: 11\n") {
        body += &stream.next_chunk().expect("open stream").expect("next event");
    }
    other[0].set_behaviour(Behaviour::Streams { events: 20, event_interval_ms: 10 });
    silent.into_iter().for_each(Endpoint::kill);
    let reply = stream.read_to_end();
    assert_eq!((reply.complete, body + &reply.body), (true, complete_stream(20)));
    let arrivals = env.endpoint_state.received_requests();
    let rejections = arrivals.iter().filter(|arrival| !arrival.executed).count();
    assert_eq!(rejections, 1, "the other engine is asked once while the run is silent");
}

/// Guards against two runs at work after both engines have answered.
#[test]
fn a_silent_stream_that_goes_on_ends_once_another_engine_has_answered() {
    let (env, engines) = pausing_engines(2);
    // The other engine begins to answer 200 ms after the request was sent, 800 ms after the last event.
    let pauses = Behaviour::StreamsWithPause { pause_ms: 700 };
    engines.iter().for_each(|engine| engine.set_behaviour(pauses));
    let mut stream = short_request("briefs", "r1").send(env.daemon.address());
    let first = stream.next_chunk().expect("open stream").expect("next event");
    let silent = env.last_run_endpoint("r1");
    let others = engines.iter().filter(|engine| engine.id != silent);
    others.for_each(|engine| {
        engine.set_behaviour(Behaviour::Streams { events: 20, event_interval_ms: 50 });
    });
    let reply = stream.read_to_end();
    assert_eq!((reply.complete, first + &reply.body), (true, complete_stream(20)));
    assert_ne!(env.last_run_endpoint("r1"), silent);
    assert!(env.endpoint_state.longest_overlap_ms("r1") < MAX_OVERLAP_MS);
}

/// Guards against a silent run being given up for an engine that accepts connections, is as silent, and
/// turns the run away once it goes on.
#[test]
fn a_silent_stream_stays_if_the_other_engine_is_as_silent() {
    for route in ["briefs", "surveys"] {
        let (env, _) = TestEnv::start(|_| Vec::new());
        let behaviour = Behaviour::Streams { events: 20, event_interval_ms: 20 };
        let engines = ["engine-1", "engine-2"].map(|id| {
            let engine = Endpoint::start(&env.endpoint_state, id, behaviour);
            let proxy = start_proxy(engine.address());
            engine.set_proxy_address(proxy.address());
            let mut entry = engine.registry_entry("engines", "a", "ready");
            entry["address"] = proxy.address().to_string().into();
            env.store.put(&format!("servers/{id}"), &entry);
            (engine, proxy)
        });
        let mut stream = None;
        eventually("the engines to be used", || {
            let reply = short_request(route, "r1").send(env.daemon.address());
            stream = (reply.status == 200).then_some(reply);
            stream.is_some()
        });
        let mut stream = stream.expect("a stream");
        let first = stream.next_chunk().expect("open stream").expect("next event");
        let running = env.last_run_endpoint("r1");
        env.endpoint_state.delete_kv_copies();
        let others = engines.iter().filter(|(engine, _)| engine.id != running);
        others.for_each(|(engine, _)| engine.set_behaviour(Behaviour::Rejects));
        engines.iter().for_each(|(_, proxy)| proxy.set_fault(Fault::Stall));
        thread::sleep(Duration::from_millis(SILENCE_MS));
        engines.iter().for_each(|(_, proxy)| proxy.set_fault(Fault::NoFault));
        let reply = stream.read_to_end();
        assert_eq!((reply.complete, first + &reply.body), (true, complete_stream(20)), "{route}");
        assert_eq!(env.last_run_endpoint("r1"), running, "{route}");
    }
}

/// Guards against a silent stream that waits for an engine that is as silent, although a third one
/// would take it over.
#[test]
fn a_silent_stream_passes_over_an_engine_that_is_as_silent() {
    let pauses = Behaviour::StreamsWithPause { pause_ms: 60_000 };
    let (env, _engines) =
        TestEnv::start(|state| vec![(Endpoint::start(state, "engine-1", pauses), "engines", "a")]);
    let mut stream = short_request("briefs", "r1").send(env.daemon.address());
    let first = stream.next_chunk().expect("open stream").expect("next event");
    let started = Instant::now();
    // Engines of the VM's own zone are preferred.
    let streams = Behaviour::Streams { events: 20, event_interval_ms: 10 };
    let silent = Endpoint::start(&env.endpoint_state, "engine-2", streams);
    let proxy = start_proxy(silent.address());
    proxy.set_fault(Fault::Stall);
    silent.set_proxy_address(proxy.address());
    let mut entry = silent.registry_entry("engines", "a", "ready");
    entry["address"] = proxy.address().to_string().into();
    env.store.put("servers/engine-2", &entry);
    let sound = Endpoint::start(&env.endpoint_state, "engine-3", streams);
    register_endpoint(&env.store, &sound, "engines", "b", "ready");
    let reply = stream.read_to_end();
    assert_eq!((reply.complete, first + &reply.body), (true, complete_stream(20)));
    assert_eq!(env.last_run_endpoint("r1"), "engine-3");
    assert!(started.elapsed() < Duration::from_millis(2_500), "{:?}", started.elapsed());
}

/// Guards against a silence that was no loss costing the stream its backup, whose engine had no room at
/// that time.
#[test]
fn a_backup_that_was_turned_away_once_is_used_after_a_loss() {
    let (env, mut engines) = pausing_engines(2);
    let mut stream = generation_request("surveys", "r1").send(env.daemon.address());
    let mut body = stream.next_chunk().expect("open stream").expect("next event");
    let silent = env.last_run_endpoint("r1");
    let (silent, other): (Vec<_>, Vec<_>) =
        engines.iter_mut().partition(|engine| engine.id == silent);
    other[0].set_behaviour(Behaviour::Rejects);
    while !body.contains("id: 11\n") {
        body += &stream.next_chunk().expect("open stream").expect("next event");
    }
    other[0].set_behaviour(Behaviour::Streams { events: 20, event_interval_ms: 10 });
    silent.into_iter().for_each(Endpoint::kill);
    let reply = stream.read_to_end();
    assert_eq!((reply.complete, body + &reply.body), (true, complete_stream(20)));
}

/// Guards against requests that wait in the queue behind the search of a silent stream, which can't use
/// the room that they could.
#[test]
fn the_search_of_a_silent_stream_delays_no_other_request() {
    let pauses = Behaviour::StreamsWithPause { pause_ms: 60_000 };
    let (env, engines) =
        TestEnv::start(|state| vec![(Endpoint::start(state, "engine-1", pauses), "engines", "a")]);
    let address = env.daemon.address();
    let mut silent = short_request("briefs", "r1").timeout_ms(5_000).send(address);
    drop(silent.next_chunk());
    engines[0].set_behaviour(Behaviour::Streams { events: 20, event_interval_ms: 1 });
    // Another engine, whose only slot is taken.
    let slow = Behaviour::Streams { events: 200, event_interval_ms: 100 };
    let full = Endpoint::start(&env.endpoint_state, "engine-2", slow);
    let mut entry = full.registry_entry("engines", "a", "ready");
    entry["slots"] = 1.into();
    env.store.put("servers/engine-2", &entry);
    let mut open = Vec::new();
    eventually("the other engine to be full", || {
        let id = format!("f{}", open.len());
        open.push(short_request("briefs", &id).send(address));
        env.last_run_endpoint(&id) == "engine-2"
    });
    let times_ms: Vec<_> = (0..40)
        .map(|n| {
            let started = Instant::now();
            let reply = short_request("briefs", &format!("n{n}")).send_and_read(address);
            (reply.status, started.elapsed().as_millis())
        })
        .collect();
    let delayed = times_ms.iter().filter(|(status, ms)| *status != 200 || *ms > 150).count();
    assert_eq!(delayed, 0, "{times_ms:?}");
}

/// Guards against a silent run being given up for an engine that accepts the request and then sends no
/// event, while the run goes on a moment later.
#[test]
fn a_silent_stream_goes_on_at_its_engine_if_that_sends_the_first_event() {
    for route in ["briefs", "surveys"] {
        let other = Behaviour::Streams { events: 20, event_interval_ms: 60_000 };
        let (env, _engines, _, reply) = stream_beside(route, 700, other);
        assert_eq!((reply.complete, reply.body), (true, complete_stream(20)), "{route}");
        eventually("the other run to end", || env.endpoint_state.active_executions("r1") == 0);
        assert!(env.endpoint_state.longest_overlap_ms("r1") < MAX_OVERLAP_MS);
    }
}
