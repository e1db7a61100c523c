//! Streams through a daemon that gets no processor time for a while, as a process.

use crate::daemons::DaemonFleet;
use crate::support::wait_until;
use gypsumchute_platform_standin::fixtures::{
    API_KEY, configuration, generation_request, register_endpoint,
};
use gypsumchute_platform_standin::{
    Behaviour, CompleteResponse, Endpoint, OpenResponse, SharedEndpointState, Store,
};
use std::thread;
use std::time::Duration;

/// Time until a started daemon is ready.
const START_LIMIT: Duration = Duration::from_secs(15);
/// Number of events of a stream, which lasts longer than the pause.
const STREAM_EVENTS: u64 = 50;
/// An engine that sends an event every 50 ms, without a pause of its own.
const ENGINE: Behaviour = Behaviour::Streams { events: STREAM_EVENTS, event_interval_ms: 50 };
/// Time for which the daemon is suspended. A run counts as stalled after 600 ms without an event.
const PAUSE: Duration = Duration::from_millis(1_000);
/// Number of streams.
const STREAM_COUNT: usize = 8;

/// A daemon with the streams that it was suspended in, and their engines.
struct PausedStreams {
    _store: Store,
    _fleet: DaemonFleet,
    state: SharedEndpointState,
    engines: Vec<Endpoint>,
    streams: Vec<(String, OpenResponse)>,
}

/// Begins streams that may run again, and suspends their daemon for a while. The engines go on.
fn paused_streams(subnet: u8) -> PausedStreams {
    let (store, state) = (Store::start(), SharedEndpointState::default());
    store.configure(&configuration(7, &[API_KEY]));
    let engines: Vec<_> =
        (1..=3).map(|n| Endpoint::start(&state, &format!("engine-{n}"), ENGINE)).collect();
    engines.iter().for_each(|engine| register_endpoint(&store, engine, "engines", "a", "ready"));
    let fleet = DaemonFleet::start(store.address(), subnet, &["a"]);
    let daemon = &fleet.daemons[0];
    assert!(wait_until(START_LIMIT, || daemon.is_ready()), "the daemon is not ready");
    let begin = |n: usize| {
        let request = generation_request("briefs", &format!("r{n}")).output_tokens(100, 80);
        let mut stream = request.send(daemon.callers());
        let first = stream.next_chunk().expect("open stream").expect("first event");
        (first, stream)
    };
    let streams = (0..STREAM_COUNT).map(begin).collect();
    daemon.process.suspend();
    thread::sleep(PAUSE);
    daemon.process.resume();
    PausedStreams { _store: store, _fleet: fleet, state, engines, streams }
}

/// Reads the streams to their end.
fn read_all(streams: Vec<(String, OpenResponse)>) -> Vec<CompleteResponse> {
    let read = |(first, stream): (String, OpenResponse)| {
        let mut reply = stream.read_to_end();
        reply.body = first + &reply.body;
        reply
    };
    streams.into_iter().map(read).collect()
}

/// Returns how many of the replies are whole streams.
fn whole_streams(replies: &[CompleteResponse]) -> usize {
    let expected: String =
        (1..=STREAM_EVENTS).map(|id| format!("id: {id}\ndata: token {id}\n\n")).collect();
    replies.iter().filter(|reply| reply.complete && reply.body == expected).count()
}

/// Guards against a pause of the daemon being taken for the silence of an engine, which costs a retry
/// and one of the endpoints that the route allows.
#[test]
fn a_pause_of_the_daemon_is_not_taken_for_the_silence_of_an_engine() {
    let paused = paused_streams(212);
    assert_eq!(whole_streams(&read_all(paused.streams)), STREAM_COUNT);
    let runs = paused.state.received_requests().iter().filter(|arrival| arrival.executed).count();
    assert_eq!(runs, STREAM_COUNT, "runs of {STREAM_COUNT} streams");
}

/// Guards against LOST: streams that can't go on after the loss of their engine, because a pause of the
/// daemon has used up the endpoints that the route allows.
#[test]
fn streams_survive_the_loss_of_an_engine_after_a_pause_of_the_daemon() {
    let mut paused = paused_streams(213);
    thread::sleep(Duration::from_millis(100));
    paused.engines[0].kill();
    assert_eq!(whole_streams(&read_all(paused.streams)), STREAM_COUNT);
}
