//! A token bucket for a share of a customer's rate and burst, which can be resized.

use gypsumchute_units::{BootMs, NanoTokens, RequestRate};

/// A share of a customer's rate and burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RateShare {
    /// Maximum number of tokens: the share of the customer's burst.
    pub capacity: NanoTokens,
    /// Refill rate.
    pub rate: RequestRate,
}

/// A token bucket: refilled at the rate of its share, up to the capacity of its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Bucket {
    share: RateShare,
    level: NanoTokens,
    refilled_ms: BootMs,
}

impl Bucket {
    /// Creates an empty bucket without capacity or rate.
    pub fn empty(now: BootMs) -> Self {
        Bucket { share: RateShare::default(), level: NanoTokens::ZERO, refilled_ms: now }
    }

    /// Adds the tokens accrued up to `now`.
    pub fn refill(&mut self, now: BootMs) {
        let accrued = self.share.rate.tokens_accrued(now.since(self.refilled_ms));
        let level = self.level.0.saturating_add(accrued.0);
        self.level = NanoTokens(level.min(self.share.capacity.0));
        self.refilled_ms = self.refilled_ms.max(now);
    }

    /// Sets capacity and rate from `now` on. Tokens above the new capacity are dropped.
    pub fn resize(&mut self, now: BootMs, share: RateShare) {
        self.refill(now);
        self.share = share;
        self.level = self.level.min(share.capacity);
    }

    /// Adds tokens that moved with a share or are refunded. Tokens above the capacity are dropped.
    pub fn add(&mut self, amount: NanoTokens) {
        let level = self.level.0.saturating_add(amount.0);
        self.level = NanoTokens(level.min(self.share.capacity.0));
    }

    /// Takes `amount` tokens if the bucket holds that many, and reports whether it did.
    pub fn try_take(&mut self, amount: NanoTokens) -> bool {
        let enough = self.level >= amount;
        if enough {
            self.level -= amount;
        }
        enough
    }

    /// Returns the number of tokens in the bucket.
    pub fn level(&self) -> NanoTokens {
        self.level
    }

    /// Returns the bucket's capacity and rate.
    pub fn share(&self) -> RateShare {
        self.share
    }
}
