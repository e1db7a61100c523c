//! One customer's rate and burst as one VM holds them: what is its own, borrowed and lent.

use crate::bucket::{Bucket, Piece};
use crate::event::RequestKey;
use crate::limits::{
    GATHER_PAUSE_MS, RECALL_PAUSE_MS, SHARE_DEMAND_MS, SHARE_LEASE_MIN_MS, SHARE_LEASE_MS,
};

use gypsumchute_units::{BootMs, NanoTokens, RequestRate, VmId, ZoneId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Tokens that make a part worth keeping where it is.
const FEW_TOKENS: u64 = 2;

/// Longest time for which a bucket counts as filling.
const SHORT_MAX_MS: u64 = 3_000;

/// Names a lease at its lender.
pub(super) type LeaseId = u64;

/// The zone's own part of the customer's limits, which the owner in the zone holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Base {
    /// This VM does not own it.
    None,
    /// It may be used from this time on, when all leases of a former owner have ended.
    Pending { from_ms: BootMs },
    /// In use.
    InForce { piece: Piece },
    /// This VM does not act at the moment; nothing may be spent.
    Suspended { piece: Piece, since_ms: BootMs },
}

impl Base {
    fn piece(self) -> Piece {
        match self {
            Base::InForce { piece } | Base::Suspended { piece, .. } => piece,
            Base::None | Base::Pending { .. } => Piece::default(),
        }
    }
}

/// A part lent to another VM.
#[derive(Debug, Clone)]
pub(super) struct Lent {
    pub(super) to: VmId,
    pub(super) piece: Piece,
    pub(super) until_ms: BootMs,
}

/// A part borrowed from another VM.
#[derive(Debug, Clone)]
pub(super) struct Borrowed {
    pub(super) from: VmId,
    pub(super) piece: Piece,
    pub(super) until_ms: BootMs,
    pub(super) renew_ms: BootMs,
    pub(super) recalled: bool,
}

/// A question of another VM that waits for parts to come in.
#[derive(Debug, Clone)]
pub(super) struct PeerAsk {
    pub(super) from: VmId,
    pub(super) ask_id: u64,
    pub(super) need: NanoTokens,
    pub(super) answer_by_ms: BootMs,
}

/// A request of this VM that waits for a token.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiter {
    pub(super) key: RequestKey,
    pub(super) give_up_ms: BootMs,
    /// Searches that may still be made for it after one in vain.
    pub(super) searches_left: u32,
}

/// How far gathering has come.
#[derive(Debug, Clone)]
pub(super) enum Stage {
    /// Own borrowers were asked to return what they hold.
    Recall { until_ms: BootMs },
    /// Another VM was asked.
    Ask { ask_id: u64, to: VmId, until_ms: BootMs, upstream: Upstream },
}

/// Whom a VM asks for parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Upstream {
    /// The owner in its own zone, which gathers from the other zones itself.
    Owner,
    /// The owner in another zone.
    Zone(ZoneId),
}

/// The search for tokens that this VM lacks.
#[derive(Debug, Clone)]
pub(super) struct Gather {
    pub(super) stage: Stage,
    pub(super) zones_left: VecDeque<ZoneId>,
}

/// The customer's account at this VM.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) bucket: Bucket,
    pub(super) base: Base,
    pub(super) lent: BTreeMap<LeaseId, Lent>,
    pub(super) borrowed: BTreeMap<(VmId, LeaseId), Borrowed>,
    pub(super) waiters: VecDeque<Waiter>,
    pub(super) deep_asks: VecDeque<PeerAsk>,
    pub(super) shallow_asks: VecDeque<PeerAsk>,
    pub(super) gather: Option<Gather>,
    pub(super) recalled: BTreeSet<LeaseId>,
    pub(super) next_recall_ms: BootMs,
    pub(super) next_gather_ms: BootMs,
    pub(super) dry_until_ms: BootMs,
    pub(super) refused_while_dry: u64,
    /// Until when the bucket is emptier than its customer's past would have left it.
    pub(super) short_until_ms: BootMs,
    /// When another VM last answered a question about this customer.
    pub(super) answered_ms: BootMs,
    pub(super) used_ms: BootMs,
    pub(super) demand: BTreeMap<VmId, BootMs>,
}

impl Account {
    pub(super) fn new(now: BootMs) -> Self {
        Account {
            bucket: Bucket::empty(now),
            base: Base::None,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            waiters: VecDeque::new(),
            deep_asks: VecDeque::new(),
            shallow_asks: VecDeque::new(),
            gather: None,
            recalled: BTreeSet::new(),
            next_recall_ms: now,
            next_gather_ms: now,
            dry_until_ms: now,
            refused_while_dry: 0,
            short_until_ms: BootMs(0),
            answered_ms: BootMs(0),
            used_ms: BootMs(0),
            demand: BTreeMap::new(),
        }
    }

    /// Whether nothing would be lost by forgetting this account.
    pub(super) fn is_idle(&self, now: BootMs) -> bool {
        let owned = matches!(self.base, Base::InForce { .. } | Base::Suspended { .. });
        !owned
            && self.lent.is_empty()
            && self.borrowed.is_empty()
            && self.waiters.is_empty()
            && self.deep_asks.is_empty()
            && self.shallow_asks.is_empty()
            && now.since(self.used_ms) > SHARE_LEASE_MS
    }

    fn held(&self) -> (i128, i128) {
        let own = self.base.piece();
        let mut capacity = i128::from(own.capacity.0);
        let mut rate = i128::from(own.rate.micro_per_s());
        for part in self.borrowed.values() {
            capacity += i128::from(part.piece.capacity.0);
            rate += i128::from(part.piece.rate.micro_per_s());
        }
        for part in self.lent.values() {
            capacity -= i128::from(part.piece.capacity.0);
            rate -= i128::from(part.piece.rate.micro_per_s());
        }
        (capacity, rate)
    }

    /// Whether all that is lent is covered by what is owned and borrowed.
    pub(super) fn is_covered(&self) -> bool {
        let (capacity, rate) = self.held();
        capacity >= 0 && rate >= 0
    }

    /// Brings the bucket's capacity and rate in line with the parts held.
    pub(super) fn resize(&mut self, now: BootMs) {
        let (capacity, rate) = self.held();
        let piece = Piece {
            capacity: NanoTokens(u64::try_from(capacity).unwrap_or(0)),
            rate: RequestRate::from_micro_per_s(u64::try_from(rate).unwrap_or(0)),
        };
        self.bucket.resize(now, piece);
    }

    /// Mints up to `now` and drops what has run out, on either side. A borrowed part mints only
    /// up to its end, also where its end is noticed late.
    pub(super) fn settle(&mut self, now: BootMs) {
        let mut ended: Vec<(BootMs, (VmId, LeaseId))> = self
            .borrowed
            .iter()
            .filter(|(_, part)| part.until_ms <= now)
            .map(|(id, part)| (part.until_ms, id.clone()))
            .collect();
        ended.sort();
        for (until_ms, id) in ended {
            self.borrowed.remove(&id);
            self.resize(until_ms);
        }
        let lent_before = self.lent.len();
        self.lent.retain(|_, part| part.until_ms > now);
        if lent_before != self.lent.len() {
            self.resize(now);
        }
        self.bucket.settle(now);
        let lent = &self.lent;
        self.recalled.retain(|id| lent.contains_key(id));
    }

    /// Lets a pending base begin once its time has come. An account on which nothing else was done
    /// holds what the base has minted since then.
    pub(super) fn begin_base(&mut self, now: BootMs, piece: Piece) {
        match self.base {
            Base::Pending { from_ms } if now >= from_ms => {
                self.base = Base::InForce { piece };
                if self.lent.is_empty() && self.borrowed.is_empty() {
                    self.bucket = Bucket::empty(from_ms);
                    self.resize(from_ms);
                }
                self.resize(now);
                let fill_ms = piece.rate.ms_to_mint(piece.capacity).unwrap_or(SHORT_MAX_MS);
                let began_ms = if from_ms == BootMs(0) { from_ms } else { now };
                self.short_until_ms = began_ms + fill_ms.min(SHORT_MAX_MS);
            }
            _ => {}
        }
    }

    /// How long to wait between two recalls. Where each user's part holds a few tokens, they
    /// gather there by themselves; where it holds hardly one, tokens have to follow each request.
    pub(super) fn recall_pause_ms(&self, now: BootMs) -> u64 {
        let fair = NanoTokens(self.pool().capacity.0 / self.users(now));
        match fair < NanoTokens::requests(FEW_TOKENS) {
            true => GATHER_PAUSE_MS,
            false => RECALL_PAUSE_MS,
        }
    }

    /// Leases of VMs that do not themselves wait for an answer of this one.
    pub(super) fn recallable(&self) -> Vec<(LeaseId, VmId)> {
        let asks = self.deep_asks.iter().chain(&self.shallow_asks);
        let asking: BTreeSet<&VmId> = asks.map(|ask| &ask.from).collect();
        let lent = self.lent.iter().filter(|(_, lent)| !asking.contains(&lent.to));
        lent.map(|(id, lent)| (*id, lent.to.clone())).collect()
    }

    /// Whether tokens may be spent or lent now.
    pub(super) fn may_spend(&self) -> bool {
        !matches!(self.base, Base::Suspended { .. })
    }

    /// Everything that this account may divide: its base and what it borrowed.
    pub(super) fn pool(&self) -> Piece {
        let own = self.base.piece();
        let borrowed = self.borrowed.values().map(|part| part.piece);
        borrowed.fold(own, |sum, piece| Piece {
            capacity: sum.capacity + piece.capacity,
            rate: RequestRate::from_micro_per_s(sum.rate.micro_per_s() + piece.rate.micro_per_s()),
        })
    }

    /// VMs that asked or admitted lately, this one included, at least one.
    fn users(&self, now: BootMs) -> u64 {
        let lately = |at: BootMs| at.0 > 0 && now.since(at) < SHARE_DEMAND_MS;
        let others = self.demand.values().filter(|at| lately(**at)).count() as u64;
        let own = u64::from(lately(self.used_ms));
        (others + own).max(1)
    }

    /// The longest lease that may be lent: within every borrowed part's own.
    fn lease_ms(&self, now: BootMs) -> u64 {
        let parts = self.borrowed.values();
        let shortest = parts.map(|part| now.until(part.until_ms)).min();
        shortest.unwrap_or(SHARE_LEASE_MS).min(SHARE_LEASE_MS)
    }

    /// Cuts a part for a VM that needs `need`; `None` where there is nothing to lend.
    pub(super) fn cut(
        &mut self,
        now: BootMs,
        to: &VmId,
        need: NanoTokens,
    ) -> Option<(Lent, NanoTokens)> {
        self.demand.insert(to.clone(), now);
        let lease_ms = self.lease_ms(now);
        let free = self.bucket.piece();
        if !self.may_spend() || lease_ms < SHARE_LEASE_MIN_MS || free.capacity == NanoTokens::ZERO {
            return None;
        }
        let users = self.users(now);
        let pool = self.pool();
        let lent_to = |value: fn(&Piece) -> u64| -> u64 {
            self.lent.values().filter(|part| part.to == *to).map(|part| value(&part.piece)).sum()
        };
        let fair_capacity = (pool.capacity.0 / users).saturating_sub(lent_to(|p| p.capacity.0));
        let capacity = NanoTokens(fair_capacity.max(need.0).min(free.capacity.0));
        let fair_rate =
            (pool.rate.micro_per_s() / users).saturating_sub(lent_to(|p| p.rate.micro_per_s()));
        let rate = match capacity == free.capacity {
            true => free.rate.micro_per_s(),
            false => fair_rate.min(free.rate.micro_per_s()),
        };
        let have = self.bucket.level();
        let fair_level = NanoTokens(have.0 / users).max(need).min(have).min(capacity);
        let must_go = have.saturating_sub(free.capacity - capacity);
        let level = fair_level.max(must_go);
        let piece = Piece { capacity, rate: RequestRate::from_micro_per_s(rate) };
        self.bucket.take(level);
        Some((Lent { to: to.clone(), piece, until_ms: now + lease_ms }, level))
    }

    /// Whether a borrowed part can go back without leaving a lent one uncovered.
    pub(super) fn can_give_back(&self, part: &Borrowed) -> bool {
        let (capacity, rate) = self.held();
        capacity >= i128::from(part.piece.capacity.0)
            && rate >= i128::from(part.piece.rate.micro_per_s())
    }

    /// Takes a borrowed part out and returns the tokens that go back with it.
    pub(super) fn give_back(&mut self, now: BootMs, id: &(VmId, LeaseId)) -> NanoTokens {
        let Some(part) = self.borrowed.remove(id) else { return NanoTokens::ZERO };
        self.bucket.settle(now);
        let level = self.bucket.level().min(part.piece.capacity);
        self.bucket.take(level);
        self.resize(now);
        level
    }
}
