//! A token bucket whose capacity and rate are parts of a customer's, and may change.

use gypsumchute_units::{BootMs, NanoTokens, RequestRate};

/// A part of a customer's rate and burst, as it is lent and returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Piece {
    /// The most that the part may hold.
    pub capacity: NanoTokens,
    /// What it mints.
    pub rate: RequestRate,
}

/// A bucket: never above its capacity, minting at its rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Bucket {
    piece: Piece,
    level: NanoTokens,
    settled_ms: BootMs,
}

impl Bucket {
    /// An empty bucket at `now`.
    pub fn empty(now: BootMs) -> Self {
        Bucket { piece: Piece::default(), level: NanoTokens::ZERO, settled_ms: now }
    }

    /// Mints what is due up to `now`.
    pub fn settle(&mut self, now: BootMs) {
        let minted = self.piece.rate.minted(now.since(self.settled_ms));
        let level = self.level.0.saturating_add(minted.0);
        self.level = NanoTokens(level.min(self.piece.capacity.0));
        self.settled_ms = self.settled_ms.max(now);
    }

    /// Changes capacity and rate from `now` on; what no longer fits is lost.
    pub fn resize(&mut self, now: BootMs, piece: Piece) {
        self.settle(now);
        self.piece = piece;
        self.level = self.level.min(piece.capacity);
    }

    /// Adds tokens that came with a part; what does not fit is lost.
    pub fn add(&mut self, amount: NanoTokens) {
        let level = self.level.0.saturating_add(amount.0);
        self.level = NanoTokens(level.min(self.piece.capacity.0));
    }

    /// Takes `amount` if it is there.
    pub fn take(&mut self, amount: NanoTokens) -> bool {
        let enough = self.level >= amount;
        if enough {
            self.level -= amount;
        }
        enough
    }

    /// What it holds.
    pub fn level(&self) -> NanoTokens {
        self.level
    }

    /// Its capacity and rate.
    pub fn piece(&self) -> Piece {
        self.piece
    }
}
