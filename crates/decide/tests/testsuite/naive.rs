//! Reference model of rate limiting, which the tests compare with the fleet.

use crate::world::Charge;

/// A single token bucket for the whole fleet.
pub struct ReferenceBucket {
    rate_per_ms: f64,
    burst: f64,
    level: f64,
    refilled_ms: u64,
}

impl ReferenceBucket {
    pub fn new(rate_per_s: f64, burst: f64) -> Self {
        ReferenceBucket { rate_per_ms: rate_per_s / 1_000.0, burst, level: burst, refilled_ms: 0 }
    }

    /// Adds the tokens for the time since the last call.
    fn refill(&mut self, now_ms: u64) {
        let refilled = (now_ms - self.refilled_ms) as f64 * self.rate_per_ms;
        self.level = (self.level + refilled).min(self.burst);
        self.refilled_ms = now_ms;
    }

    /// Returns the number of tokens in the bucket.
    pub fn level(&mut self, now_ms: u64) -> f64 {
        self.refill(now_ms);
        self.level
    }

    /// Applies a charge or a refund; returns the number of tokens left, which is negative if the
    /// fleet has admitted too many requests.
    pub fn charge(&mut self, charge: &Charge) -> f64 {
        self.refill(charge.at_ms);
        self.level += if charge.is_refund { 1.0 } else { -1.0 };
        self.level = self.level.min(self.burst);
        self.level
    }
}
