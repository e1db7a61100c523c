//! A daemon that is told to end cuts nothing.

use crate::support::{Set, generation, whole_stream};
use gypsumchute_platform_standin::{Behaviour, Endpoint};

#[test]
fn a_stream_that_outlasts_the_balancer_is_not_cut() {
    const EVENTS: u64 = 60;
    let (mut set, _engines) = Set::start(|world| {
        let behaviour = Behaviour::Streams { events: EVENTS, pace_ms: 100 };
        vec![(Endpoint::start(world, "engine-1", behaviour), "engines", "a")]
    });
    let caller = generation("surveys", "r1").header("X-Deadline-Ms", "20000");
    let mut stream = caller.open(set.daemon.address());
    let first = stream.next_chunk().expect("a stream").expect("an event");
    set.daemon.stop();
    set.daemon.wait_ready(false);
    let reply = stream.finish();
    assert!(reply.whole, "the stream ended after {} bytes", reply.body.len());
    assert_eq!(first + &reply.body, whole_stream(EVENTS));
}
