//! Where a request may have run, from which the verdict of each refusal is taken.
//!
//! A send counts from before its first byte is written, and is only discounted once there is proof
//! that it did not lead to a run. A task that is cancelled while it waits for a response therefore
//! leaves the send counted, whatever ended the wait.

use gypsumchute_units::Refusal;
use std::cell::Cell;

/// Number of endpoints that may have run a request.
#[derive(Debug, Default)]
pub struct PossibleRuns {
    endpoints: Cell<u32>,
}

impl PossibleRuns {
    /// Counts a send after which up to `endpoints` endpoints may run the request. It stays counted
    /// unless [`PossibleRun::disprove`] is called.
    pub fn begin(&self, endpoints: u32) -> PossibleRun<'_> {
        self.endpoints.set(self.endpoints.get() + endpoints);
        PossibleRun { runs: self, endpoints }
    }

    /// Returns the number of endpoints that may have run the request.
    pub fn endpoints(&self) -> u32 {
        self.endpoints.get()
    }

    /// Returns `refusal` with the verdict that is true of the request.
    pub fn correct(&self, refusal: Refusal) -> Refusal {
        refusal.corrected(self.endpoints() > 0)
    }
}

/// A send that may lead to runs.
#[derive(Debug)]
#[must_use]
pub struct PossibleRun<'a> {
    runs: &'a PossibleRuns,
    endpoints: u32,
}

impl PossibleRun<'_> {
    /// Discounts the send: it is certain that it led, and will lead, to no run.
    pub fn disprove(self) {
        self.runs.endpoints.set(self.runs.endpoints.get() - self.endpoints);
    }
}
