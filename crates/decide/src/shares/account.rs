//! Accounts for the share of one customer's rate and burst that this VM holds, including the
//! leases borrowed from and lent to other VMs.

use crate::bucket::{Bucket, RateShare};
use crate::event::RequestKey;
use crate::limits::{
    MIN_RECALL_INTERVAL_MS, MIN_SEARCH_INTERVAL_MS, MIN_SHARE_LEASE_MS, SHARE_DEMAND_WINDOW_MS,
    SHARE_LEASE_MS,
};

use gypsumchute_units::{BootMs, NanoTokens, RequestRate, VmId, ZoneId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Fair share per active VM, in tokens, below which leases are recalled at the shorter
/// [`MIN_SEARCH_INTERVAL_MS`] interval.
const SMALL_SHARE_TOKENS: u64 = 2;

/// Maximum time for which a bucket counts as refilling after a takeover, in milliseconds.
const MAX_REFILL_MS: u64 = 3_000;

/// Identifier of a lease, unique per lender.
pub(super) type LeaseId = u64;

/// State of the base share: the zone's fixed fraction of the customer's limits, which the
/// customer's owner in the zone holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BaseState {
    /// This VM does not own the base share.
    None,
    /// This VM owns the base share and may use it from `from_ms` on, after all leases granted by a
    /// former owner have expired.
    Pending { from_ms: BootMs },
    /// The base share backs the bucket and the leases lent.
    InForce { share: RateShare },
    /// This VM has had no active view since `since_ms`; no token may be spent or lent.
    Suspended { share: RateShare, since_ms: BootMs },
}

impl BaseState {
    /// Returns the share in force or suspended, or an empty share.
    fn share(self) -> RateShare {
        match self {
            BaseState::InForce { share } | BaseState::Suspended { share, .. } => share,
            BaseState::None | BaseState::Pending { .. } => RateShare::default(),
        }
    }
}

/// A lease on a part of this VM's share, granted to another VM.
#[derive(Debug, Clone)]
pub(super) struct LentShare {
    pub(super) borrower: VmId,
    pub(super) share: RateShare,
    pub(super) expires_ms: BootMs,
}

/// A lease on a part of another VM's share.
#[derive(Debug, Clone)]
pub(super) struct BorrowedShare {
    pub(super) lender: VmId,
    pub(super) share: RateShare,
    pub(super) expires_ms: BootMs,
    /// Time of the next `ShareRenew`.
    pub(super) renew_at_ms: BootMs,
    /// Whether the lease is to be returned as soon as the lent leases stay covered without it.
    pub(super) return_due: bool,
}

/// A `ShareAsk` of another VM that waits until tokens become available.
#[derive(Debug, Clone)]
pub(super) struct PendingAsk {
    pub(super) from: VmId,
    pub(super) ask_id: u64,
    pub(super) need: NanoTokens,
    pub(super) answer_by_ms: BootMs,
}

/// A request at this VM that waits for a token.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingRequest {
    pub(super) key: RequestKey,
    pub(super) deadline_ms: BootMs,
    /// Number of searches that may still be repeated for this request after an unsuccessful one.
    pub(super) searches_left: u32,
}

/// Current step of a search for tokens.
#[derive(Debug, Clone)]
pub(super) enum SearchStage {
    /// This VM has recalled its own leases and waits for the borrowers to return them.
    Recall { deadline_ms: BootMs },
    /// This VM has sent a `ShareAsk` to another VM and waits for the answer.
    Ask { ask_id: u64, to: VmId, deadline_ms: BootMs, lender_kind: LenderKind },
}

/// Role of the VM that a `ShareAsk` is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum LenderKind {
    /// The customer's owner in this VM's zone, which searches the other zones itself.
    ZoneOwner,
    /// The customer's owner in another zone.
    OtherZone(ZoneId),
}

/// A search for tokens that this VM lacks: first by recalling its own leases, then by asking other
/// VMs one after the other.
#[derive(Debug, Clone)]
pub(super) struct TokenSearch {
    pub(super) stage: SearchStage,
    pub(super) zones_left: VecDeque<ZoneId>,
}

/// State of one customer's rate limit at this VM.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) bucket: Bucket,
    pub(super) base: BaseState,
    pub(super) lent: BTreeMap<LeaseId, LentShare>,
    pub(super) borrowed: BTreeMap<(VmId, LeaseId), BorrowedShare>,
    pub(super) pending_requests: VecDeque<PendingRequest>,
    /// Asks from VMs in this zone, answered after a search that includes the other zones.
    pub(super) full_search_asks: VecDeque<PendingAsk>,
    /// Asks from other zones, answered after this VM has recalled its own leases.
    pub(super) recall_only_asks: VecDeque<PendingAsk>,
    pub(super) search: Option<TokenSearch>,
    /// Lent leases that were recalled and have not been returned.
    pub(super) pending_recalls: BTreeSet<LeaseId>,
    /// Earliest time of the next recall.
    pub(super) next_recall_ms: BootMs,
    /// Earliest time of the next search.
    pub(super) next_search_ms: BootMs,
    /// Time until which requests without a token are refused without a new search.
    pub(super) exhausted_until_ms: BootMs,
    /// Number of requests refused since `exhausted_until_ms` was last set; the retry delay grows
    /// with it.
    pub(super) refused_while_exhausted: u64,
    /// Time until which the bucket may be emptier than the customer's past requests justify,
    /// because this VM or a lender took over the customer with an empty bucket.
    pub(super) refilling_until_ms: BootMs,
    /// Time of the last `ShareAnswer` about this customer.
    pub(super) last_answer_ms: BootMs,
    /// Time at which a request of this VM last asked for a token or got one.
    pub(super) last_used_ms: BootMs,
    /// Time at which each other VM last asked for or renewed a lease.
    pub(super) last_demand_ms: BTreeMap<VmId, BootMs>,
}

impl Account {
    pub(super) fn new(now: BootMs) -> Self {
        Account {
            bucket: Bucket::empty(now),
            base: BaseState::None,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            pending_requests: VecDeque::new(),
            full_search_asks: VecDeque::new(),
            recall_only_asks: VecDeque::new(),
            search: None,
            pending_recalls: BTreeSet::new(),
            next_recall_ms: now,
            next_search_ms: now,
            exhausted_until_ms: now,
            refused_while_exhausted: 0,
            refilling_until_ms: BootMs(0),
            last_answer_ms: BootMs(0),
            last_used_ms: BootMs(0),
            last_demand_ms: BTreeMap::new(),
        }
    }

    /// Reports whether this account can be dropped without losing state.
    pub(super) fn is_idle(&self, now: BootMs) -> bool {
        let owned = matches!(self.base, BaseState::InForce { .. } | BaseState::Suspended { .. });
        !owned
            && self.lent.is_empty()
            && self.borrowed.is_empty()
            && self.pending_requests.is_empty()
            && self.full_search_asks.is_empty()
            && self.recall_only_asks.is_empty()
            && now.since(self.last_used_ms) > SHARE_LEASE_MS
    }

    /// Returns the capacity (in nano-tokens) and rate (in micro-requests per second) of the base
    /// share plus the borrowed leases minus the lent leases. Negative if more is lent than held.
    fn net_limits(&self) -> (i128, i128) {
        let base = self.base.share();
        let mut capacity = i128::from(base.capacity.0);
        let mut rate = i128::from(base.rate.micro_per_s());
        for lease in self.borrowed.values() {
            capacity += i128::from(lease.share.capacity.0);
            rate += i128::from(lease.share.rate.micro_per_s());
        }
        for lease in self.lent.values() {
            capacity -= i128::from(lease.share.capacity.0);
            rate -= i128::from(lease.share.rate.micro_per_s());
        }
        (capacity, rate)
    }

    /// Reports whether the base share and the borrowed leases cover all lent leases.
    pub(super) fn is_covered(&self) -> bool {
        let (capacity, rate) = self.net_limits();
        capacity >= 0 && rate >= 0
    }

    /// Sets the bucket's capacity and rate to what remains of the base share and the borrowed
    /// leases after the lent leases are subtracted.
    pub(super) fn resize_bucket(&mut self, now: BootMs) {
        let (capacity, rate) = self.net_limits();
        let share = RateShare {
            capacity: NanoTokens(u64::try_from(capacity).unwrap_or(0)),
            rate: RequestRate::from_micro_per_s(u64::try_from(rate).unwrap_or(0)),
        };
        self.bucket.resize(now, share);
    }

    /// Refills the bucket up to `now` and drops expired leases, both borrowed and lent. A borrowed
    /// lease refills the bucket only up to its expiry, even if the expiry is processed later.
    pub(super) fn advance_to(&mut self, now: BootMs) {
        let mut expired: Vec<(BootMs, (VmId, LeaseId))> = self
            .borrowed
            .iter()
            .filter(|(_, lease)| lease.expires_ms <= now)
            .map(|(id, lease)| (lease.expires_ms, id.clone()))
            .collect();
        expired.sort();
        for (expires_ms, id) in expired {
            self.borrowed.remove(&id);
            self.resize_bucket(expires_ms);
        }
        let lent_before = self.lent.len();
        self.lent.retain(|_, lease| lease.expires_ms > now);
        if lent_before != self.lent.len() {
            self.resize_bucket(now);
        }
        self.bucket.refill(now);
        let lent = &self.lent;
        self.pending_recalls.retain(|id| lent.contains_key(id));
    }

    /// Puts a pending base share in force once its start time has come. If no lease exists, the
    /// bucket is filled with the tokens accrued since that start time. The base share of a fresh
    /// fleet starts at time 0, so its tokens accrue and its refill period runs from then.
    pub(super) fn activate_base(&mut self, now: BootMs, share: RateShare) {
        match self.base {
            BaseState::Pending { from_ms } if now >= from_ms => {
                self.base = BaseState::InForce { share };
                if self.lent.is_empty() && self.borrowed.is_empty() {
                    self.bucket = Bucket::empty(from_ms);
                    self.resize_bucket(from_ms);
                }
                self.resize_bucket(now);
                let fill_ms = share.rate.ms_to_accrue(share.capacity).unwrap_or(MAX_REFILL_MS);
                let began_ms = if from_ms == BootMs(0) { from_ms } else { now };
                self.refilling_until_ms = began_ms + fill_ms.min(MAX_REFILL_MS);
            }
            _ => {}
        }
    }

    /// Returns the minimum interval between two recalls, in milliseconds. If the fair share per
    /// active VM holds a few tokens, tokens accrue where they are needed and recalls can be rare;
    /// if it holds hardly one, tokens have to be moved for each request.
    pub(super) fn recall_interval_ms(&self, now: BootMs) -> u64 {
        let fair_capacity = NanoTokens(self.total_share().capacity.0 / self.active_vms(now));
        match fair_capacity < NanoTokens::for_requests(SMALL_SHARE_TOKENS) {
            true => MIN_SEARCH_INTERVAL_MS,
            false => MIN_RECALL_INTERVAL_MS,
        }
    }

    /// Returns the lent leases, without those of borrowers whose own ask is pending at this VM.
    pub(super) fn recallable_leases(&self) -> Vec<(LeaseId, VmId)> {
        let asks = self.full_search_asks.iter().chain(&self.recall_only_asks);
        let asking: BTreeSet<&VmId> = asks.map(|ask| &ask.from).collect();
        let lent = self.lent.iter().filter(|(_, lent)| !asking.contains(&lent.borrower));
        lent.map(|(id, lent)| (*id, lent.borrower.clone())).collect()
    }

    /// Reports whether tokens may be spent or lent now.
    pub(super) fn may_spend(&self) -> bool {
        !matches!(self.base, BaseState::Suspended { .. })
    }

    /// Returns the sum of the base share and all borrowed leases.
    pub(super) fn total_share(&self) -> RateShare {
        let base = self.base.share();
        let borrowed = self.borrowed.values().map(|lease| lease.share);
        borrowed.fold(base, |sum, share| RateShare {
            capacity: sum.capacity + share.capacity,
            rate: RequestRate::from_micro_per_s(sum.rate.micro_per_s() + share.rate.micro_per_s()),
        })
    }

    /// Returns the number of VMs, including this one, that recently asked for tokens or admitted
    /// requests; at least 1.
    fn active_vms(&self, now: BootMs) -> u64 {
        let is_recent = |at: BootMs| at.0 > 0 && now.since(at) < SHARE_DEMAND_WINDOW_MS;
        let other_vms = self.last_demand_ms.values().filter(|at| is_recent(**at)).count() as u64;
        let this_vm = u64::from(is_recent(self.last_used_ms));
        (other_vms + this_vm).max(1)
    }

    /// Returns the longest duration for which a lease may be granted, in milliseconds: no borrowed
    /// lease may expire before a lease that it backs.
    fn max_lease_ms(&self, now: BootMs) -> u64 {
        let leases = self.borrowed.values();
        let shortest = leases.map(|lease| now.until(lease.expires_ms)).min();
        shortest.unwrap_or(SHARE_LEASE_MS).min(SHARE_LEASE_MS)
    }

    /// Grants `borrower`, which needs `need` tokens, a lease on its fair share or on what it needs,
    /// whichever is larger, as far as the free capacity allows. Returns the lease and the tokens
    /// that move with it, or `None` if nothing can be lent.
    pub(super) fn lend(
        &mut self,
        now: BootMs,
        borrower: &VmId,
        need: NanoTokens,
    ) -> Option<(LentShare, NanoTokens)> {
        self.last_demand_ms.insert(borrower.clone(), now);
        let lease_ms = self.max_lease_ms(now);
        let free = self.bucket.share();
        if !self.may_spend() || lease_ms < MIN_SHARE_LEASE_MS || free.capacity == NanoTokens::ZERO {
            return None;
        }
        let active_vms = self.active_vms(now);
        let total = self.total_share();
        let already_lent = |value: fn(&RateShare) -> u64| -> u64 {
            self.lent
                .values()
                .filter(|lease| lease.borrower == *borrower)
                .map(|lease| value(&lease.share))
                .sum()
        };
        let fair_capacity =
            (total.capacity.0 / active_vms).saturating_sub(already_lent(|p| p.capacity.0));
        let capacity = NanoTokens(fair_capacity.max(need.0).min(free.capacity.0));
        let fair_rate = (total.rate.micro_per_s() / active_vms)
            .saturating_sub(already_lent(|p| p.rate.micro_per_s()));
        // Once no capacity remains, this VM could not use the remaining rate.
        let rate = match capacity == free.capacity {
            true => free.rate.micro_per_s(),
            false => fair_rate.min(free.rate.micro_per_s()),
        };
        let bucket_level = self.bucket.level();
        let fair_level =
            NanoTokens(bucket_level.0 / active_vms).max(need).min(bucket_level).min(capacity);
        // Tokens above the capacity that remains would be lost, so they move with the lease.
        let overflow = bucket_level.saturating_sub(free.capacity - capacity);
        let level = fair_level.max(overflow);
        let share = RateShare { capacity, rate: RequestRate::from_micro_per_s(rate) };
        self.bucket.try_take(level);
        Some((LentShare { borrower: borrower.clone(), share, expires_ms: now + lease_ms }, level))
    }

    /// Reports whether a borrowed lease can be returned while the lent leases stay covered.
    pub(super) fn can_return(&self, lease: &BorrowedShare) -> bool {
        let (capacity, rate) = self.net_limits();
        capacity >= i128::from(lease.share.capacity.0)
            && rate >= i128::from(lease.share.rate.micro_per_s())
    }

    /// Removes a borrowed lease and returns the tokens to send back with it.
    pub(super) fn return_lease(&mut self, now: BootMs, lease_key: &(VmId, LeaseId)) -> NanoTokens {
        let Some(lease) = self.borrowed.remove(lease_key) else { return NanoTokens::ZERO };
        self.bucket.refill(now);
        let level = self.bucket.level().min(lease.share.capacity);
        self.bucket.try_take(level);
        self.resize_bucket(now);
        level
    }
}
