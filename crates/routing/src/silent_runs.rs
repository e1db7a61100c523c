//! Infers that an endpoint crashed although it never closed its connections.
//!
//! Load pattern: a poison request stops the machine of each endpoint that runs it. Callers see a
//! timeout and send it again.
//!
//! A run that ends without a response may be slow, or its endpoint may be gone. The registry tells:
//! the entry of an endpoint that has crashed expires or is replaced by that of a new start. A run
//! is therefore remembered for a few seconds after it ended, and an endpoint that vanished for as
//! long.

use crate::poison_segments::SuspectRun;
use gypsumchute_units::{BootMs, EndpointId};
use std::collections::{BTreeMap, VecDeque};

/// Time between the end of a run and the change of the registry in which the two belong together,
/// in milliseconds. An entry expires 4 s after the last heartbeat of its endpoint, and a connection
/// without any sign of life is closed 12 s after it fell silent.
const WINDOW_MS: u64 = 15_000;
/// Time without an event or response after which a run counts as silent, in milliseconds.
pub const MIN_SILENCE_MS: u64 = 500;
/// Maximum number of runs that are remembered; the oldest is dropped.
const MAX_RUNS: usize = 1_024;

/// A run that ended without a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SilentRun {
    /// Request that ran.
    pub run: SuspectRun,
    /// Endpoint that did not respond.
    pub endpoint: EndpointId,
    /// Time of the last sign of life of the run.
    pub silent_since_ms: BootMs,
}

/// Runs that ended without a response, and endpoints that vanished without notice.
#[derive(Debug, Default)]
pub struct SilentRuns {
    /// Runs and when they ended, oldest first.
    ended: VecDeque<(BootMs, SilentRun)>,
    vanished: BTreeMap<EndpointId, BootMs>,
}

impl SilentRuns {
    /// Records a run that ended without a response. Returns whether its endpoint crashed, as far
    /// as known by now.
    pub fn on_run_ended(&mut self, now: BootMs, run: SilentRun) -> bool {
        self.expire(now);
        if now.since(run.silent_since_ms) < MIN_SILENCE_MS {
            return false;
        }
        if self.vanished.contains_key(&run.endpoint) {
            return true;
        }
        if self.ended.len() == MAX_RUNS {
            self.ended.pop_front();
        }
        self.ended.push_back((now, run));
        false
    }

    /// Records that an endpoint vanished from the registry, or started anew, without a termination
    /// notice. Returns the requests that ran on it without a response.
    pub fn on_endpoint_vanished(&mut self, now: BootMs, endpoint: &EndpointId) -> Vec<SuspectRun> {
        self.expire(now);
        self.vanished.insert(endpoint.clone(), now);
        let (crashed, others): (VecDeque<_>, VecDeque<_>) =
            self.ended.drain(..).partition(|(_, run)| run.endpoint == *endpoint);
        self.ended = others;
        crashed.into_iter().map(|(_, silent)| silent.run).collect()
    }

    /// Forgets runs and endpoints that are too old to belong together with later events.
    pub fn expire(&mut self, now: BootMs) {
        let is_recent = |then: &BootMs| now.since(*then) <= WINDOW_MS;
        while self.ended.front().is_some_and(|(ended_ms, _)| !is_recent(ended_ms)) {
            self.ended.pop_front();
        }
        self.vanished.retain(|_, vanished_ms| is_recent(vanished_ms));
    }
}
