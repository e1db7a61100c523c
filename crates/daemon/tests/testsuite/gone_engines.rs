//! Streams whose engine is gone for good while other engines have room.

use crate::links::{Cut, Links};
use crate::support::{
    Daemon, complete_stream, configured_store, generation_request, register_endpoint,
};
use gypsumchute_config::ConfigSource;
use gypsumchute_platform_standin::{Behaviour, Endpoint, SharedEndpointState, Store};
use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant};

/// Number of streams. Half of the places of the engines are taken.
const STREAM_COUNT: usize = 24;
/// Number of engines, of which the first one goes.
const ENGINE_COUNT: usize = 6;
/// Number of events of a stream.
const EVENT_COUNT: u64 = 20;
/// Time for which a run may be silent, four times the target for the time between events.
const STALL_LIMIT_MS: u128 = 600;
/// Time for which a silent run is kept while another engine has not answered, and time for reading
/// what has arrived by then.
const CUTOVER_MS: u128 = 260;
/// Time for connections, for the first event of the other run and for a busy machine.
const SLACK_MS: u128 = 140;

/// How an engine goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    /// It accepts connections and requests, and each of its streams hangs after ten events.
    Hangs,
    /// Nothing passes between it and the VM any more.
    Dark,
    /// Its connections are reset, and new ones are refused.
    Killed,
}

/// A stream as its caller saw it.
#[derive(Debug)]
struct SeenStream {
    request_id: String,
    body: String,
    /// Longest time between two events, in milliseconds.
    longest_gap_ms: u128,
}

/// Engines behind links that can be cut, and one VM.
struct Installation {
    state: SharedEndpointState,
    daemon: Daemon,
    links: Links,
    engines: Vec<Endpoint>,
    _store: Store,
}

impl Installation {
    fn start() -> Self {
        let (store, state) = (configured_store(), SharedEndpointState::default());
        let streams = Behaviour::Streams { events: EVENT_COUNT, event_interval_ms: 60 };
        let start = |n| Endpoint::start(&state, &format!("engine-{n}"), streams);
        let engines: Vec<_> = (0..ENGINE_COUNT).map(start).collect();
        for engine in &engines {
            register_endpoint(&store, engine, "engines", "a", "ready");
        }
        let links = Links::with_proxies();
        let source = ConfigSource::Store(store.address());
        let daemon = Daemon::start_behind(&links, source, "vm-1", "a", &[]);
        daemon.wait_ready(true);
        Installation { state, daemon, links, engines, _store: store }
    }

    /// Plays streams on `route`. The first engine goes once all of them have begun.
    fn lose_first_engine(&self, route: &str, loss: Loss) -> Vec<SeenStream> {
        let gone = &self.engines[0];
        if loss == Loss::Hangs {
            gone.set_behaviour(Behaviour::StreamsWithPause { pause_ms: 60_000 });
        }
        let begun = Barrier::new(STREAM_COUNT + 1);
        thread::scope(|scope| {
            let begun = &begun;
            let watch = |n| scope.spawn(move || self.watch_stream(route, n, begun));
            let callers: Vec<_> = (0..STREAM_COUNT).map(watch).collect();
            begun.wait();
            match loss {
                Loss::Hangs => {}
                Loss::Dark => self.links.cut_to([gone.address()], Cut::Silent),
                Loss::Killed => self.links.cut_to([gone.address()], Cut::Reset),
            }
            callers.into_iter().map(|caller| caller.join().expect("caller")).collect()
        })
    }

    /// Sends a request and reads its stream to the end. Waits at `begun` after the first event.
    fn watch_stream(&self, route: &str, n: usize, begun: &Barrier) -> SeenStream {
        let request_id = format!("{route}-{n}");
        let request = generation_request(route, &request_id).output_tokens(100, 80);
        let mut stream = request.send(self.daemon.address());
        let mut body = stream.next_chunk().expect("open stream").expect("first event");
        let mut last_event_at = Instant::now();
        begun.wait();
        let mut longest_gap = Duration::ZERO;
        while let Ok(Some(chunk)) = stream.next_chunk() {
            longest_gap = longest_gap.max(last_event_at.elapsed());
            last_event_at = Instant::now();
            body += &chunk;
        }
        SeenStream { request_id, body, longest_gap_ms: longest_gap.as_millis() }
    }

    /// Reports whether the first run of the request was at the first engine.
    fn began_at_first_engine(&self, request_id: &str) -> bool {
        let arrivals = self.state.received_requests();
        let first = arrivals.iter().find(|a| a.executed && a.request_id() == request_id);
        first.is_some_and(|arrival| arrival.endpoint == self.engines[0].id)
    }
}

/// Loses the first of the engines under streams of each route, and asserts that all streams complete
/// and that no event is more than `max_gap_ms` later than the one before.
fn assert_streams_go_on(loss: Loss, max_gap_ms: u128) {
    for route in ["briefs", "surveys"] {
        let installation = Installation::start();
        let streams = installation.lose_first_engine(route, loss);
        let moved = streams.iter().filter(|s| installation.began_at_first_engine(&s.request_id));
        let mut gaps_ms: Vec<_> = moved.map(|stream| stream.longest_gap_ms).collect();
        gaps_ms.sort_unstable();
        println!("{loss:?}, {route}: pauses of the streams that moved, in ms: {gaps_ms:?}");
        assert!(!gaps_ms.is_empty(), "{loss:?}, {route}: no stream was at the engine");
        let expected = complete_stream(EVENT_COUNT);
        let cut: Vec<_> = streams.iter().filter(|s| s.body != expected).collect();
        assert!(cut.is_empty(), "{loss:?}: {} of {}: {cut:?}", cut.len(), streams.len());
        for SeenStream { request_id, longest_gap_ms, .. } in &streams {
            let paused = format!("{loss:?}: {request_id} paused for {longest_gap_ms} ms");
            assert!(*longest_gap_ms <= max_gap_ms, "{paused}");
        }
    }
}

/// Guards against streams that wait longer than the stall limit for an engine that hangs for good.
#[test]
fn streams_leave_an_engine_that_hangs_within_the_stall_limit() {
    assert_streams_go_on(Loss::Hangs, STALL_LIMIT_MS + CUTOVER_MS + SLACK_MS);
}

/// Guards against streams that wait longer than the stall limit for an engine that can't be reached.
#[test]
fn streams_leave_an_engine_that_is_dark_within_the_stall_limit() {
    assert_streams_go_on(Loss::Dark, STALL_LIMIT_MS + CUTOVER_MS + SLACK_MS);
}

/// Guards against streams that wait for an engine whose connections were reset.
#[test]
fn streams_leave_an_engine_that_is_killed_at_once() {
    assert_streams_go_on(Loss::Killed, CUTOVER_MS + SLACK_MS);
}
