//! Moves of streams off leaving engines, where the engine of the backup does not answer at once.

use crate::links::{Cut, Links};
use crate::support::{
    Daemon, TestEnv, complete_stream, configured_store, eventually, generation_request,
    register_endpoint,
};
use gypsumchute_config::ConfigSource;
use gypsumchute_platform_standin::{
    Behaviour, CompleteResponse, Endpoint, OpenResponse, SharedEndpointState, StreamConnections,
};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Maximum time for which two runs of a generation may overlap, in milliseconds.
const MAX_OVERLAP_MS: u128 = 400;
/// Number of events of a stream of [`STREAM`] and of [`Behaviour::StreamsLate`].
const EVENT_COUNT: u64 = 60;
/// Behaviour of an engine that streams for 1.2 s.
const STREAM: Behaviour = Behaviour::Streams { events: EVENT_COUNT, event_interval_ms: 20 };
/// Behaviour of an engine that streams for 2.4 s.
const LONG_STREAM: Behaviour = Behaviour::Streams { events: EVENT_COUNT, event_interval_ms: 40 };
/// Behaviour of an engine that answers after a run that waits for it must have been given up.
const TOO_LATE: Behaviour = Behaviour::StreamsLate { answer_ms: 300 };

/// Connections of streams that end with them.
const UNFRAMED: StreamConnections =
    StreamConnections { is_unframed: true, outlives_connection: false, denies_runs: false };

/// A stream whose engine is leaving and whose backup is at another engine.
struct LeavingStream {
    env: TestEnv,
    engines: Vec<Endpoint>,
    leaving: usize,
    other: usize,
    body: String,
    stream: OpenResponse,
}

impl LeavingStream {
    /// Starts two engines that behave as `first`, and a stream that begins at one of them.
    fn begin(first: Behaviour) -> Self {
        LeavingStream::begin_behind(&Links::default(), first)
    }

    /// Does the same at a VM that reaches the engines over `links`.
    fn begin_behind(links: &Links, first: Behaviour) -> Self {
        LeavingStream::begin_with(links, first, StreamConnections::default())
    }

    /// Does the same with engines that go on with a stream after its connection was closed.
    fn begin_outliving(links: &Links, first: Behaviour) -> Self {
        let connections =
            StreamConnections { outlives_connection: true, ..StreamConnections::default() };
        LeavingStream::begin_with(links, first, connections)
    }

    /// Does the same with streams that end with their connection.
    fn begin_unframed(links: &Links, first: Behaviour) -> Self {
        LeavingStream::begin_with(links, first, UNFRAMED)
    }

    fn begin_with(links: &Links, first: Behaviour, connections: StreamConnections) -> Self {
        let (env, engines) = TestEnv::start_behind(links, |state| {
            let start = |id| {
                let engine = Endpoint::start(state, id, first);
                engine.set_stream_connections(connections);
                (engine, "engines", "a")
            };
            ["engine-1", "engine-2"].map(start).into()
        });
        let caller = generation_request("surveys", "r1").timeout_ms(5_000);
        let mut stream = caller.send(env.daemon.address());
        let body = stream.next_chunk().expect("open stream").expect("next event");
        let leaving = usize::from(env.last_run_endpoint("r1") != engines[0].id);
        LeavingStream { env, engines, leaving, other: 1 - leaving, body, stream }
    }

    /// Announces the end of the engine of the stream. The other one behaves as `other` from now on.
    fn announce(&self, other: Behaviour) {
        self.engines[self.other].set_behaviour(other);
        register_endpoint(&self.env.store, &self.engines[self.leaving], "engines", "a", "draining");
    }

    /// Reads until the event `id` has arrived.
    fn read_until(&mut self, id: u64) {
        while !self.body.contains(&format!("id: {id}\n")) {
            self.body += &self.stream.next_chunk().expect("open stream").expect("next event");
        }
    }

    /// Waits until the engine of the backup has been asked to go on with the stream.
    fn wait_for_resumption(&self) {
        eventually("the other engine to be asked", || {
            self.env.last_run_endpoint("r1") == self.other_id()
        });
    }

    /// Asserts that two runs are at work for no longer than they may from now on, and not at once later.
    fn assert_no_long_overlap(&self) {
        sleep(Duration::from_millis(MAX_OVERLAP_MS as u64));
        assert_eq!(self.env.endpoint_state.active_executions("r1"), 1, "active runs");
    }

    fn other_id(&self) -> String {
        self.engines[self.other].id.clone()
    }

    /// Asserts that the stream completes, and that its runs do not overlap for too long. Returns the
    /// environment and the engines.
    fn assert_completes(self, events: u64) -> (TestEnv, Vec<Endpoint>) {
        let LeavingStream { env, engines, body, stream, .. } = self;
        let reply: CompleteResponse = stream.read_to_end();
        assert_eq!((reply.complete, body + &reply.body), (true, complete_stream(events)));
        eventually("all runs to end", || env.endpoint_state.active_executions("r1") == 0);
        let overlap_ms = env.endpoint_state.longest_overlap_ms("r1");
        assert!(overlap_ms < MAX_OVERLAP_MS, "runs overlap for {overlap_ms} ms");
        (env, engines)
    }
}

/// Guards against a sound run being given up for one that begins too late, and against both at work.
#[test]
fn a_stream_stays_at_its_leaving_engine_if_the_next_one_answers_too_late() {
    let mut stream = LeavingStream::begin(STREAM);
    stream.announce(TOO_LATE);
    stream.wait_for_resumption();
    let asked = Instant::now();
    let is_cancelled = || stream.env.endpoint_state.active_executions("r1") == 1;
    eventually("the run at the other engine to be cancelled", is_cancelled);
    assert!(asked.elapsed().as_millis() < MAX_OVERLAP_MS, "{:?}", asked.elapsed());
    let other = stream.other;
    stream.engines[other].kill();
    stream.assert_completes(EVENT_COUNT);
}

/// Guards against a stream that waits for the end of its engine after one engine has not answered.
#[test]
fn a_stream_moves_to_a_third_engine_if_that_of_its_backup_does_not_answer() {
    let mut stream = LeavingStream::begin(Behaviour::Streams { events: 60, event_interval_ms: 40 });
    let third = Endpoint::start(&stream.env.endpoint_state, "engine-3", STREAM);
    register_endpoint(&stream.env.store, &third, "engines", "a", "ready");
    stream.announce(Behaviour::Hangs);
    eventually("the run to move", || stream.env.last_run_endpoint("r1") == third.id);
    stream.read_until(45);
    let leaving = stream.leaving;
    stream.engines[leaving].kill();
    let (env, _) = stream.assert_completes(EVENT_COUNT);
    let runs = env.endpoint_state.received_requests().iter().filter(|run| run.executed).count();
    assert_eq!(runs, 3, "the engine that does not answer is asked once");
}

/// Guards against the other run being given up although it is the only one left.
#[test]
fn a_stream_goes_on_at_the_next_engine_if_its_own_ends_before_the_answer() {
    let mut stream = LeavingStream::begin(STREAM);
    stream.announce(TOO_LATE);
    stream.wait_for_resumption();
    sleep(Duration::from_millis(100));
    let leaving = stream.leaving;
    stream.engines[leaving].kill();
    let other = stream.other_id();
    let (env, _) = stream.assert_completes(EVENT_COUNT);
    assert_eq!(env.last_run_endpoint("r1"), other);
}

/// Guards against an end behind unread events being taken for a loss.
#[test]
fn a_stream_that_ends_before_the_next_engine_answers_is_complete() {
    let mut stream = LeavingStream::begin(Behaviour::Streams { events: 20, event_interval_ms: 20 });
    stream.read_until(12);
    stream.announce(Behaviour::Hangs);
    let (env, _) = stream.assert_completes(20);
    let runs = env.endpoint_state.received_requests().iter().filter(|run| run.executed).count();
    assert_eq!(runs, 2);
}

/// Guards against a move that never happens because the run at the leaving engine goes on.
#[test]
fn a_stream_moves_to_an_engine_that_answers_after_a_while() {
    let stream = LeavingStream::begin(STREAM);
    stream.announce(Behaviour::StreamsLate { answer_ms: 150 });
    let other = stream.other_id();
    let (env, _) = stream.assert_completes(EVENT_COUNT);
    assert_eq!(env.last_run_endpoint("r1"), other);
}

/// Guards against a run being given up that is silent for less time than stalled ones are.
#[test]
fn a_stream_that_pauses_at_its_leaving_engine_is_kept_if_the_next_one_does_not_answer() {
    let mut stream = LeavingStream::begin(Behaviour::StreamsWithPause { pause_ms: 450 });
    stream.read_until(10);
    stream.announce(Behaviour::Hangs);
    stream.assert_completes(20);
}

/// Guards against two runs at work: the close of a connection does not end a run if the link is gone.
#[test]
fn a_run_ends_once_the_one_that_may_replace_it_is_out_of_reach() {
    let links = Links::with_proxies();
    let mut stream = LeavingStream::begin_behind(&links, LONG_STREAM);
    stream.read_until(5);
    stream.announce(Behaviour::StreamsLate { answer_ms: 100 });
    stream.wait_for_resumption();
    links.cut_to([stream.engines[stream.other].address()], Cut::Silent);
    stream.assert_no_long_overlap();
    sleep(Duration::from_millis(800));
    links.restore();
    let other = stream.other_id();
    let (env, _) = stream.assert_completes(EVENT_COUNT);
    assert_eq!(env.last_run_endpoint("r1"), other, "the run that could not be ended goes on");
}

/// Guards against a stream that is lost with the engine that does not answer although a third one
/// could go on with it.
#[test]
fn a_stream_goes_on_at_a_third_engine_while_that_of_its_backup_is_out_of_reach() {
    let links = Links::with_proxies();
    let mut stream = LeavingStream::begin_behind(&links, LONG_STREAM);
    let third = Endpoint::start(&stream.env.endpoint_state, "engine-3", STREAM);
    register_endpoint(&stream.env.store, &third, "engines", "a", "ready");
    stream.read_until(5);
    stream.announce(Behaviour::Hangs);
    stream.wait_for_resumption();
    links.cut_to([stream.engines[stream.other].address()], Cut::Silent);
    stream.assert_no_long_overlap();
    let leaving = stream.leaving;
    stream.engines[leaving].kill();
    stream.read_until(EVENT_COUNT);
    assert_eq!(stream.env.last_run_endpoint("r1"), third.id);
    links.restore();
    let LeavingStream { body, stream, .. } = stream;
    let reply = stream.read_to_end();
    assert_eq!((reply.complete, body + &reply.body), (true, complete_stream(EVENT_COUNT)));
}

/// Guards against a sound run being ended because the other engine, which is reached, is slow.
#[test]
fn a_run_goes_on_if_the_engine_that_may_replace_it_is_slow_and_within_reach() {
    let links = Links::with_proxies();
    let mut stream = LeavingStream::begin_behind(&links, LONG_STREAM);
    stream.read_until(5);
    stream.announce(Behaviour::Hangs);
    stream.wait_for_resumption();
    stream.assert_no_long_overlap();
    let before = stream.body.len();
    stream.read_until(40);
    assert!(stream.body.len() > before);
    let leaving = stream.engines[stream.leaving].id.clone();
    let active = stream.env.endpoint_state.active_executions("r1");
    assert_eq!((stream.env.last_run_endpoint("r1"), active), (stream.other_id(), 1), "{leaving}");
    stream.assert_completes(EVENT_COUNT);
}

/// Guards against events that wait for a connection to another engine.
#[test]
fn events_are_delivered_while_the_next_engine_is_not_reached() {
    let (store, state, links) =
        (configured_store(), SharedEndpointState::default(), Links::default());
    let engines = ["engine-1", "engine-2"].map(|id| Endpoint::start(&state, id, STREAM));
    engines.iter().for_each(|engine| register_endpoint(&store, engine, "engines", "a", "ready"));
    let source = ConfigSource::Store(store.address());
    let daemon = Daemon::start_behind(&links, source, "vm-1", "a", &[]);
    daemon.wait_ready(true);
    let mut stream = generation_request("surveys", "r1").send(daemon.address());
    let mut body = stream.next_chunk().expect("open stream").expect("next event");
    let running = state.received_requests()[0].endpoint.clone();
    let (leaving, other) = match engines[0].id == running {
        true => (&engines[0], &engines[1]),
        false => (&engines[1], &engines[0]),
    };
    links.cut_to([other.address()], Cut::Silent);
    register_endpoint(&store, leaving, "engines", "a", "draining");
    let (mut longest_gap, mut last_event_at) = (Duration::ZERO, Instant::now());
    while let Ok(Some(chunk)) = stream.next_chunk() {
        longest_gap = longest_gap.max(last_event_at.elapsed());
        last_event_at = Instant::now();
        body += &chunk;
    }
    assert_eq!(body, complete_stream(EVENT_COUNT));
    assert!(longest_gap < Duration::from_millis(150), "{longest_gap:?}");
}

/// Guards against a run without a backup at an engine that ends sooner than the run.
#[test]
fn a_stream_that_stays_at_its_leaving_engine_keeps_its_backup() {
    let (env, mut engines) = TestEnv::start_with_settings(
        |settings| (settings.retry_ratio, settings.retry_fixed) = (0.0, 0.0),
        |state| {
            let start = |id| (Endpoint::start(state, id, STREAM), "engines", "a");
            ["engine-1", "engine-2"].map(start).into()
        },
    );
    let caller = generation_request("briefs", "r1").output_tokens(200, 200);
    let mut stream = caller.send(env.daemon.address());
    let mut body = String::new();
    let mut read_until = |id: u64| {
        while !body.contains(&format!("id: {id}\n")) {
            body += &stream.next_chunk().expect("open stream").expect("next event");
        }
    };
    // So few tokens are left that the run stays.
    read_until(40);
    let running = env.last_run_endpoint("r1");
    let leaving = engines.iter_mut().find(|engine| engine.id == running).expect("running engine");
    register_endpoint(&env.store, leaving, "engines", "a", "draining");
    read_until(50);
    assert_eq!(env.last_run_endpoint("r1"), running);
    leaving.kill();
    let reply = stream.read_to_end();
    assert_eq!((reply.complete, body + &reply.body), (true, complete_stream(EVENT_COUNT)));
}

/// Guards against the end of a stream that this VM has had stopped being taken for its regular end.
#[test]
fn a_stream_that_was_stopped_and_ends_with_its_connection_is_not_complete() {
    let links = Links::with_proxies();
    let mut stream = LeavingStream::begin_unframed(&links, STREAM);
    let third = Endpoint::start(&stream.env.endpoint_state, "engine-3", STREAM);
    register_endpoint(&stream.env.store, &third, "engines", "a", "ready");
    stream.read_until(5);
    stream.announce(Behaviour::Hangs);
    stream.wait_for_resumption();
    links.cut_to([stream.engines[stream.other].address()], Cut::Silent);
    stream.assert_no_long_overlap();
    let reply = stream.stream.read_to_end();
    assert_eq!((reply.complete, stream.body + &reply.body), (true, complete_stream(EVENT_COUNT)));
    assert_eq!(stream.env.last_run_endpoint("r1"), third.id);
}

/// Guards against a stream being cut that had ended by itself before its engine was asked to stop it.
#[test]
fn a_stream_whose_engine_had_completed_it_before_it_was_to_stop_is_complete() {
    let links = Links::with_proxies();
    let mut stream = LeavingStream::begin_unframed(&links, LONG_STREAM);
    let third = Endpoint::start(&stream.env.endpoint_state, "engine-3", STREAM);
    register_endpoint(&stream.env.store, &third, "engines", "a", "ready");
    stream.read_until(5);
    let leaving = &stream.engines[stream.leaving];
    leaving.set_stream_connections(StreamConnections { denies_runs: true, ..UNFRAMED });
    stream.announce(Behaviour::Hangs);
    stream.wait_for_resumption();
    links.cut_to([stream.engines[stream.other].address()], Cut::Silent);
    let reply = stream.stream.read_to_end();
    assert_eq!((reply.complete, stream.body + &reply.body), (true, complete_stream(EVENT_COUNT)));
}

/// Guards against a run that goes on at the engine that it has moved away from, whose connection is closed.
#[test]
fn a_run_that_moves_ends_at_an_engine_that_outlives_its_connection() {
    let mut stream = LeavingStream::begin_outliving(&Links::default(), LONG_STREAM);
    stream.read_until(5);
    stream.announce(LONG_STREAM);
    let other = stream.other_id();
    let (env, _) = stream.assert_completes(EVENT_COUNT);
    assert_eq!(env.last_run_endpoint("r1"), other);
}

/// Guards against a silent run that goes on later, beside the one that has taken its place.
#[test]
fn a_silent_run_that_is_replaced_ends_at_an_engine_that_outlives_its_connection() {
    let pause = Behaviour::StreamsWithPause { pause_ms: 4_000 };
    let stream = LeavingStream::begin_outliving(&Links::default(), pause);
    stream.engines[stream.other].set_behaviour(LONG_STREAM);
    let other = stream.other_id();
    let (env, _) = stream.assert_completes(EVENT_COUNT);
    assert_eq!(env.last_run_endpoint("r1"), other);
}

/// Guards against a run that goes on after its connection broke, beside the one that resumes its stream.
#[test]
fn a_run_whose_connection_broke_ends_at_an_engine_that_outlives_its_connection() {
    let links = Links::with_proxies();
    let mut stream = LeavingStream::begin_outliving(&links, LONG_STREAM);
    stream.read_until(5);
    links.cut_to([stream.engines[stream.leaving].address()], Cut::Reset);
    links.restore();
    let other = stream.other_id();
    let (env, _) = stream.assert_completes(EVENT_COUNT);
    assert_eq!(env.last_run_endpoint("r1"), other);
}
