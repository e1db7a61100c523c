//! Numbers from callers and operators that are larger than any real one.

use crate::support::{TestEnv, generation_request};
use gypsumchute_platform_standin::{Behaviour, Endpoint};

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
