//! Each customer's rate and burst, divided between VMs so that the parts never exceed the whole.
//!
//! Every availability zone has a fixed fraction of each customer's limits, its base; the zone's
//! owner of the customer holds it. Parts of it are lent to the VMs where the customer's traffic
//! is, under leases that count from when the borrower asked, so that it stops before the lender
//! takes the part back. An owner that lacks tokens recalls what it lent and asks the owners in
//! other zones. Tokens travel only with the capacity to hold them. Therefore, at every instant,
//! all capacities together are at most the burst, all rates together at most the rate, and what
//! is admitted in any window `w` is at most `burst + rate * w`. A lost message loses a part until
//! its lease ends; it never doubles one.
//!
//! A new owner uses the base only after every lease of a former one has ended. A VM that is cut
//! off keeps its zone's base and nothing else.

mod account;
mod borrowing;
mod fraction;
mod lending;

use self::account::{Account, Base, Gather, Stage, Waiter};
use self::fraction::ZoneFraction;
use crate::bucket::{Bucket, Piece};
use crate::context::Context;
use crate::event::RequestKey;
use crate::limits::{RATE_WAIT_MS, SHARE_LEASE_MS, SILENT_PAUSE_MS, SUSPENDED_MAX_MS};
use crate::membership::{Activity, Succession};
use gypsumchute_config::Customer;
use gypsumchute_units::{BootMs, CustomerId, NanoTokens, RequestRate, VmId, ZoneId};
use std::collections::{BTreeMap, VecDeque};

/// Searches for tokens after a first one in vain: parts may have been on their way.
const SEARCHES_AGAIN: u32 = 2;

/// What became of a request that waited for its customer's rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ShareOutcome {
    /// A token was spent for it.
    Admitted(RequestKey),
    /// The customer is over its rate; a token is there after `retry_after_ms`.
    OverRate {
        /// Which request.
        key: RequestKey,
        /// When to come back.
        retry_after_ms: u64,
    },
    /// Nobody who can be reached has a part of the customer's rate at the moment.
    Unavailable(RequestKey),
}

/// A question to another VM that has not been answered yet.
#[derive(Debug)]
struct AskOut {
    customer: CustomerId,
    to: VmId,
    sent_ms: BootMs,
    redirected: bool,
}

/// All customers' accounts at this VM.
#[derive(Debug)]
pub(crate) struct Shares {
    accounts: BTreeMap<CustomerId, Account>,
    asks_out: BTreeMap<u64, AskOut>,
    silent_until_ms: BTreeMap<VmId, BootMs>,
    fraction: ZoneFraction,
    next_id: u64,
    fresh_fleet: bool,
    no_former_owner: bool,
    outcomes: Vec<ShareOutcome>,
}

fn resource(customer: &CustomerId) -> String {
    format!("share/{customer}")
}

fn limits_of<'a>(context: &Context<'a>, customer: &CustomerId) -> Option<&'a Customer> {
    context.config.customers.get(customer)
}

impl Shares {
    pub(crate) fn new(incarnation: u64, fresh_fleet: bool) -> Self {
        Shares {
            accounts: BTreeMap::new(),
            asks_out: BTreeMap::new(),
            silent_until_ms: BTreeMap::new(),
            fraction: ZoneFraction::default(),
            next_id: incarnation,
            fresh_fleet,
            no_former_owner: false,
            outcomes: Vec::new(),
        }
    }

    /// What was decided since the last call.
    pub(crate) fn take_outcomes(&mut self) -> Vec<ShareOutcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// Asks for a token for a request.
    pub(crate) fn request(
        &mut self,
        ctx: &mut Context<'_>,
        customer: &CustomerId,
        key: RequestKey,
    ) {
        let give_up_ms = ctx.now + RATE_WAIT_MS;
        let account = self.account(ctx, customer);
        account.waiters.push_back(Waiter { key, give_up_ms, searches_left: SEARCHES_AGAIN });
        account.used_ms = ctx.now;
        self.pump(ctx, customer);
    }

    /// Forgets a request that waits.
    pub(crate) fn cancel(&mut self, customer: &CustomerId, key: RequestKey) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.waiters.retain(|waiter| waiter.key != key);
        }
    }

    /// Gives a token back for a request that was not run.
    pub(crate) fn refund(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.settle(ctx.now);
            account.bucket.add(NanoTokens::ONE_REQUEST);
        }
    }

    /// What the customer's account holds here, for status pages: level, capacity, rate.
    pub(crate) fn holding(&self, customer: &CustomerId) -> (NanoTokens, NanoTokens, RequestRate) {
        let bucket = self.accounts.get(customer).map_or(Bucket::default(), |a| a.bucket);
        (bucket.level(), bucket.piece().capacity, bucket.piece().rate)
    }

    fn account(&mut self, ctx: &Context<'_>, customer: &CustomerId) -> &mut Account {
        let from_ms = self.base_from_ms(ctx.members.active_since_ms());
        let piece = self.base_piece(ctx, customer);
        let account =
            self.accounts.entry(customer.clone()).or_insert_with(|| Account::new(ctx.now));
        account.settle(ctx.now);
        if account.base == Base::None && ctx.members.owns(ctx.now, &resource(customer)) {
            account.base = Base::Pending { from_ms };
        }
        account.begin_base(ctx.now, piece);
        account
    }

    /// This zone's part of a customer's limits under the configuration in force.
    fn base_piece(&self, ctx: &Context<'_>, customer: &CustomerId) -> Piece {
        limits_of(ctx, customer)
            .map(|limits| self.fraction.piece(limits.rate_per_s, limits.burst))
            .unwrap_or_default()
    }

    /// When an owner that began to act at `active_ms` may use its base: once every lease of a
    /// former owner has ended; in the first view of a fresh fleet there was none.
    fn base_from_ms(&self, active_ms: BootMs) -> BootMs {
        match self.no_former_owner {
            true => BootMs(0),
            false => active_ms + SHARE_LEASE_MS,
        }
    }

    /// When bases that this VM began to own at `now` may be used.
    pub(crate) fn usable_from_ms(&self, now: BootMs) -> BootMs {
        self.base_from_ms(now)
    }

    /// Whether the zone's fraction of all limits is in force.
    pub(crate) fn is_settled(&self) -> bool {
        self.fraction.is_settled()
    }

    /// This VM began to act under a view, or may not act any more.
    pub(crate) fn on_activity(&mut self, ctx: &mut Context<'_>, activity: Activity) {
        let now = ctx.now;
        let direct = activity == Activity::Began(Succession::Direct);
        self.no_former_owner = self.fresh_fleet && activity == Activity::Began(Succession::First);
        let from_ms = self.base_from_ms(now);
        for (customer, account) in &mut self.accounts {
            let owns = ctx.members.owns(now, &resource(customer));
            account.base = match (activity, account.base) {
                (Activity::Ended, Base::InForce { piece }) => {
                    Base::Suspended { piece, since_ms: now }
                }
                (Activity::Ended, Base::Pending { .. }) => Base::None,
                (Activity::Ended, base) => base,
                (Activity::Began(_), Base::Suspended { piece, .. }) if owns && direct => {
                    Base::InForce { piece }
                }
                (Activity::Began(_), _) if owns => Base::Pending { from_ms },
                (Activity::Began(_), _) => Base::None,
            };
            account.resize(now);
        }
    }

    /// Another configuration is in force.
    pub(crate) fn on_config(&mut self, ctx: &mut Context<'_>) {
        self.fraction.on_config(ctx, self.fresh_fleet);
        self.rebase(ctx);
    }

    /// A version that another zone has in force at all its VMs.
    pub(crate) fn on_zone_version(&mut self, zone: ZoneId, version: u64) {
        self.fraction.on_zone_version(zone, version);
    }

    fn rebase(&mut self, ctx: &Context<'_>) {
        let customers: Vec<CustomerId> = self.accounts.keys().cloned().collect();
        for customer in customers {
            let target = self.base_piece(ctx, &customer);
            let Some(account) = self.accounts.get_mut(&customer) else { continue };
            account.base = match account.base {
                Base::InForce { .. } => Base::InForce { piece: target },
                Base::Suspended { since_ms, .. } => Base::Suspended { piece: target, since_ms },
                other => other,
            };
            account.resize(ctx.now);
        }
    }

    /// Time has passed.
    pub(crate) fn on_tick(&mut self, ctx: &mut Context<'_>) {
        if self.fraction.on_tick(ctx) {
            self.rebase(ctx);
        }
        let now = ctx.now;
        self.silent_until_ms.retain(|_, until_ms| *until_ms > now);
        self.asks_out.retain(|_, ask| now.since(ask.sent_ms) < SHARE_LEASE_MS);
        let customers: Vec<CustomerId> = self.accounts.keys().cloned().collect();
        for customer in customers {
            self.tend(ctx, &customer);
            self.pump(ctx, &customer);
        }
        self.accounts.retain(|_, account| !account.is_idle(now));
    }

    /// Lets a pending base begin and a suspended one end, and renews what is in use.
    fn tend(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        let now = ctx.now;
        let piece = self.base_piece(ctx, customer);
        let Some(account) = self.accounts.get_mut(customer) else { return };
        account.settle(now);
        account.demand.retain(|_, at| now.since(*at) < SHARE_LEASE_MS);
        account.begin_base(now, piece);
        match account.base {
            Base::Suspended { since_ms, .. } if now.since(since_ms) > SUSPENDED_MAX_MS => {
                account.base = Base::None;
                account.resize(now);
            }
            _ => {}
        }
        self.renew(ctx, customer);
    }

    /// Gives everything borrowed back, for a VM that leaves.
    pub(crate) fn return_all(&mut self, ctx: &mut Context<'_>) {
        for account in self.accounts.values_mut() {
            account.borrowed.values_mut().for_each(|part| part.recalled = true);
        }
        let customers: Vec<CustomerId> = self.accounts.keys().cloned().collect();
        customers.iter().for_each(|customer| self.renew(ctx, customer));
    }

    /// Serves whoever can be served and looks for more tokens for the others.
    fn pump(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        self.account(ctx, customer);
        self.serve(ctx, customer);
        let account = self.accounts.get_mut(customer).expect("made above");
        if account.waiters.is_empty() && account.deep_asks.is_empty() {
            account.gather = None;
            return;
        }
        let ended = match &account.gather {
            None if ctx.now < account.dry_until_ms => return self.give_up(ctx, customer),
            None => return self.start_gather(ctx, customer),
            Some(Gather { stage: Stage::Recall { until_ms }, .. }) => {
                account.recalled.is_empty() || ctx.now >= *until_ms
            }
            Some(Gather { stage: Stage::Ask { until_ms, to, .. }, .. }) => {
                let late = ctx.now >= *until_ms;
                if late {
                    self.silent_until_ms.insert(to.clone(), ctx.now + SILENT_PAUSE_MS);
                }
                late
            }
        };
        if ended {
            self.advance(ctx, customer);
        }
    }

    /// Spends and lends what is there, first to the VMs that asked first.
    fn serve(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        let Some(account) = self.accounts.get_mut(customer) else { return };
        account.settle(ctx.now);
        if !account.may_spend() {
            return;
        }
        let now = ctx.now;
        let recalled_all = account.recalled.is_empty();
        let mut ready = Vec::new();
        for asks in [&mut account.shallow_asks, &mut account.deep_asks] {
            let mut kept = VecDeque::new();
            for ask in asks.drain(..) {
                match account.bucket.level() >= ask.need || now >= ask.answer_by_ms {
                    true => ready.push(ask),
                    false => kept.push_back(ask),
                }
            }
            *asks = kept;
        }
        if recalled_all {
            ready.extend(account.shallow_asks.drain(..));
        }
        for ask in ready {
            self.answer(ctx, customer, &ask);
        }
        let account = self.accounts.get_mut(customer).expect("served above");
        while let Some(waiter) = account.waiters.front() {
            if !account.bucket.take(NanoTokens::ONE_REQUEST) {
                break;
            }
            account.used_ms = now;
            self.outcomes.push(ShareOutcome::Admitted(waiter.key));
            account.waiters.pop_front();
        }
    }
}
