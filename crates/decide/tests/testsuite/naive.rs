//! The naive version that the fleet is compared with.

use crate::world::Charge;

/// One bucket for the whole fleet, as a single process would keep it.
pub struct NaiveBucket {
    rate_per_ms: f64,
    burst: f64,
    level: f64,
    at_ms: u64,
}

impl NaiveBucket {
    pub fn new(rate_per_s: f64, burst: f64) -> Self {
        NaiveBucket { rate_per_ms: rate_per_s / 1_000.0, burst, level: burst, at_ms: 0 }
    }

    fn settle(&mut self, now_ms: u64) {
        let minted = (now_ms - self.at_ms) as f64 * self.rate_per_ms;
        self.level = (self.level + minted).min(self.burst);
        self.at_ms = now_ms;
    }

    /// What it holds.
    pub fn level(&mut self, now_ms: u64) -> f64 {
        self.settle(now_ms);
        self.level
    }

    /// Charges one request; what is left, negative where it admits too much.
    pub fn charge(&mut self, charge: &Charge) -> f64 {
        self.settle(charge.at_ms);
        self.level += if charge.refund { 1.0 } else { -1.0 };
        self.level = self.level.min(self.burst);
        self.level
    }
}
