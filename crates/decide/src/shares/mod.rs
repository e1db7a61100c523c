//! Distributed rate limiting: divides each customer's rate and burst between VMs so that the sum
//! of all shares never exceeds the customer's limits.
//!
//! Every availability zone has a fixed fraction of each customer's limits, the base share, held by
//! the customer's owner in the zone. The owner lends parts of the base share to the VMs that
//! receive the customer's requests. The borrower counts a lease from the time at which it asked,
//! so it stops using the lease before the lender takes the share back. An owner that lacks tokens
//! recalls its leases and asks the owners in other zones. Tokens move only together with the
//! capacity to hold them. Therefore, at every instant, the sum of all capacities is at most the
//! burst and the sum of all rates is at most the rate, and the requests admitted in any window `w`
//! are at most `burst + rate * w`. A lost message makes a share unusable until its lease expires;
//! it never duplicates a share.
//!
//! A new owner uses the base share only after every lease granted by a former owner has expired. A
//! VM that is cut off from the other zones can use only the base share of its own zone.

mod account;
mod borrowing;
mod fraction;
mod lending;

use self::account::{Account, BaseState, PendingRequest, SearchStage, TokenSearch};
use self::fraction::ZoneFraction;
use crate::bucket::{Bucket, RateShare};
use crate::context::Context;
use crate::event::RequestKey;
use crate::limits::{MAX_RATE_WAIT_MS, MAX_SUSPENDED_MS, SHARE_LEASE_MS, UNRESPONSIVE_BACKOFF_MS};
use crate::membership::{Activity, Succession};
use gypsumchute_config::Customer;
use gypsumchute_units::{BootMs, CustomerId, NanoTokens, RequestRate, VmId, ZoneId};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of repeated searches per request after an unsuccessful one: leases may have been
/// in transit between VMs during the first search.
const MAX_REPEAT_SEARCHES: u32 = 2;

/// Result of a request for a token of its customer's rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TokenOutcome {
    /// A token was spent for the request.
    Admitted(RequestKey),
    /// The customer is over its rate.
    OverRate {
        /// The refused request.
        key: RequestKey,
        /// Time until a token is expected to be available, in milliseconds.
        retry_after_ms: u64,
    },
    /// No reachable VM holds a share of the customer's rate.
    Unavailable(RequestKey),
}

/// A `ShareAsk` to another VM that has not been answered yet.
#[derive(Debug)]
struct OutstandingAsk {
    customer: CustomerId,
    to: VmId,
    sent_ms: BootMs,
    /// Whether another VM named `to` as the owner; a second redirect is not followed.
    redirected: bool,
}

/// Rate-limit accounts of all customers at this VM.
#[derive(Debug)]
pub(crate) struct RateShares {
    accounts: BTreeMap<CustomerId, Account>,
    /// Asks without an answer, by ask id.
    outstanding_asks: BTreeMap<u64, OutstandingAsk>,
    /// VMs that did not answer in time, which are not asked until this time.
    backoff_until_ms: BTreeMap<VmId, BootMs>,
    zone_fraction: ZoneFraction,
    /// Next ask id or lease id. Starts at the incarnation, so that ids of earlier processes are not
    /// reused.
    next_id: u64,
    /// Whether no process of an earlier fleet is alive.
    fresh_fleet: bool,
    /// Whether the active view is the first one of a fresh fleet, so that no former owner can have
    /// granted leases.
    no_former_owner: bool,
    outcomes: Vec<TokenOutcome>,
}

/// Returns the name under which a customer's owner is chosen by rendezvous hashing.
fn resource_name(customer: &CustomerId) -> String {
    format!("share/{customer}")
}

fn limits_of<'a>(context: &Context<'a>, customer: &CustomerId) -> Option<&'a Customer> {
    context.config.customers.get(customer)
}

impl RateShares {
    pub(crate) fn new(incarnation: u64, fresh_fleet: bool) -> Self {
        RateShares {
            accounts: BTreeMap::new(),
            outstanding_asks: BTreeMap::new(),
            backoff_until_ms: BTreeMap::new(),
            zone_fraction: ZoneFraction::default(),
            next_id: incarnation,
            fresh_fleet,
            no_former_owner: false,
            outcomes: Vec::new(),
        }
    }

    /// Returns the outcomes decided since the last call.
    pub(crate) fn take_outcomes(&mut self) -> Vec<TokenOutcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// Requests a token; the result arrives through [`RateShares::take_outcomes`].
    pub(crate) fn request_token(
        &mut self,
        ctx: &mut Context<'_>,
        customer: &CustomerId,
        key: RequestKey,
    ) {
        let deadline_ms = ctx.now + MAX_RATE_WAIT_MS;
        let account = self.account_mut(ctx, customer);
        account.pending_requests.push_back(PendingRequest {
            key,
            deadline_ms,
            searches_left: MAX_REPEAT_SEARCHES,
        });
        account.last_used_ms = ctx.now;
        self.process_pending(ctx, customer);
    }

    /// Cancels a pending request for a token.
    pub(crate) fn cancel_token_request(&mut self, customer: &CustomerId, key: RequestKey) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.pending_requests.retain(|pending| pending.key != key);
        }
    }

    /// Refunds the token of a request that was not run.
    pub(crate) fn refund_token(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.advance_to(ctx.now);
            account.bucket.add(NanoTokens::ONE_REQUEST);
        }
    }

    /// Returns the level, capacity and rate of the customer's bucket at this VM, for status pages.
    pub(crate) fn bucket_status(
        &self,
        customer: &CustomerId,
    ) -> (NanoTokens, NanoTokens, RequestRate) {
        let bucket = self.accounts.get(customer).map_or(Bucket::default(), |a| a.bucket);
        (bucket.level(), bucket.share().capacity, bucket.share().rate)
    }

    /// Returns the customer's account, brought up to `ctx.now`; creates it if missing.
    fn account_mut(&mut self, ctx: &Context<'_>, customer: &CustomerId) -> &mut Account {
        let from_ms = self.base_usable_from_ms(ctx.membership.active_since_ms());
        let share = self.base_share(ctx, customer);
        let account =
            self.accounts.entry(customer.clone()).or_insert_with(|| Account::new(ctx.now));
        account.advance_to(ctx.now);
        if account.base == BaseState::None && ctx.membership.owns(ctx.now, &resource_name(customer))
        {
            account.base = BaseState::Pending { from_ms };
        }
        account.activate_base(ctx.now, share);
        account
    }

    /// Returns this zone's share of a customer's limits under the configuration in force.
    fn base_share(&self, ctx: &Context<'_>, customer: &CustomerId) -> RateShare {
        limits_of(ctx, customer)
            .map(|limits| self.zone_fraction.share_of(limits.rate_per_s, limits.burst))
            .unwrap_or_default()
    }

    /// Returns the time from which an owner whose view became active at `active_ms` may use its
    /// base shares: after every lease granted by a former owner has expired, or at once in the
    /// first view of a fresh fleet, which has no former owner.
    fn base_usable_from_ms(&self, active_ms: BootMs) -> BootMs {
        match self.no_former_owner {
            true => BootMs(0),
            false => active_ms + SHARE_LEASE_MS,
        }
    }

    /// Returns the time from which this VM may use the base shares that it became the owner of at
    /// `now`.
    pub(crate) fn base_shares_usable_from_ms(&self, now: BootMs) -> BootMs {
        self.base_usable_from_ms(now)
    }

    /// Reports whether the zone's fraction of all limits is in force, with no increase pending.
    pub(crate) fn has_settled_fraction(&self) -> bool {
        self.zone_fraction.is_settled()
    }

    /// Updates the state of all base shares after this VM's view became active or inactive.
    pub(crate) fn on_activity(&mut self, ctx: &mut Context<'_>, activity: Activity) {
        let now = ctx.now;
        let direct_succession = activity == Activity::Began(Succession::Direct);
        self.no_former_owner = self.fresh_fleet && activity == Activity::Began(Succession::First);
        let from_ms = self.base_usable_from_ms(now);
        for (customer, account) in &mut self.accounts {
            let owns = ctx.membership.owns(now, &resource_name(customer));
            account.base = match (activity, account.base) {
                (Activity::Ended, BaseState::InForce { share }) => {
                    BaseState::Suspended { share, since_ms: now }
                }
                (Activity::Ended, BaseState::Pending { .. }) => BaseState::None,
                (Activity::Ended, base) => base,
                (Activity::Began(_), BaseState::Suspended { share, .. })
                    if owns && direct_succession =>
                {
                    BaseState::InForce { share }
                }
                (Activity::Began(_), _) if owns => BaseState::Pending { from_ms },
                (Activity::Began(_), _) => BaseState::None,
            };
            account.resize_bucket(now);
        }
    }

    /// Applies a new configuration.
    pub(crate) fn on_config(&mut self, ctx: &mut Context<'_>) {
        self.zone_fraction.on_config(ctx, self.fresh_fleet);
        self.update_base_shares(ctx);
    }

    /// Records the lowest configuration version in force at the VMs of another zone.
    pub(crate) fn on_zone_version(&mut self, zone: ZoneId, version: u64) {
        self.zone_fraction.on_zone_version(zone, version);
    }

    /// Resizes the base shares in force or suspended, after a change of the configuration or of the
    /// zone's fraction.
    fn update_base_shares(&mut self, ctx: &Context<'_>) {
        let customers: Vec<CustomerId> = self.accounts.keys().cloned().collect();
        for customer in customers {
            let share = self.base_share(ctx, &customer);
            let Some(account) = self.accounts.get_mut(&customer) else { continue };
            account.base = match account.base {
                BaseState::InForce { .. } => BaseState::InForce { share },
                BaseState::Suspended { since_ms, .. } => BaseState::Suspended { share, since_ms },
                other => other,
            };
            account.resize_bucket(ctx.now);
        }
    }

    /// Handles timeouts, renewals and expired state.
    pub(crate) fn on_tick(&mut self, ctx: &mut Context<'_>) {
        if self.zone_fraction.on_tick(ctx) {
            self.update_base_shares(ctx);
        }
        let now = ctx.now;
        self.backoff_until_ms.retain(|_, until_ms| *until_ms > now);
        self.outstanding_asks.retain(|_, ask| now.since(ask.sent_ms) < SHARE_LEASE_MS);
        let customers: Vec<CustomerId> = self.accounts.keys().cloned().collect();
        for customer in customers {
            self.maintain(ctx, &customer);
            self.process_pending(ctx, &customer);
        }
        self.accounts.retain(|_, account| !account.is_idle(now));
    }

    /// Puts a pending base share in force, drops one that was suspended for too long, and renews
    /// borrowed leases.
    fn maintain(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        let now = ctx.now;
        let share = self.base_share(ctx, customer);
        let Some(account) = self.accounts.get_mut(customer) else { return };
        account.advance_to(now);
        account.last_demand_ms.retain(|_, at| now.since(*at) < SHARE_LEASE_MS);
        account.activate_base(now, share);
        match account.base {
            BaseState::Suspended { since_ms, .. } if now.since(since_ms) > MAX_SUSPENDED_MS => {
                account.base = BaseState::None;
                account.resize_bucket(now);
            }
            _ => {}
        }
        self.renew_leases(ctx, customer);
    }

    /// Returns all borrowed leases, for a graceful shutdown.
    pub(crate) fn return_borrowed_leases(&mut self, ctx: &mut Context<'_>) {
        for account in self.accounts.values_mut() {
            account.borrowed.values_mut().for_each(|lease| lease.return_due = true);
        }
        let customers: Vec<CustomerId> = self.accounts.keys().cloned().collect();
        customers.iter().for_each(|customer| self.renew_leases(ctx, customer));
    }

    /// Serves the pending requests and asks that the bucket covers, and starts or continues the
    /// search for tokens for the others.
    fn process_pending(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        self.account_mut(ctx, customer);
        self.serve_pending(ctx, customer);
        let account = self.accounts.get_mut(customer).expect("made above");
        if account.pending_requests.is_empty() && account.full_search_asks.is_empty() {
            account.search = None;
            return;
        }
        let step_ended = match &account.search {
            None if ctx.now < account.exhausted_until_ms => return self.end_search(ctx, customer),
            None => return self.start_search(ctx, customer),
            Some(TokenSearch { stage: SearchStage::Recall { deadline_ms }, .. }) => {
                account.pending_recalls.is_empty() || ctx.now >= *deadline_ms
            }
            Some(TokenSearch { stage: SearchStage::Ask { deadline_ms, to, .. }, .. }) => {
                let timed_out = ctx.now >= *deadline_ms;
                if timed_out {
                    self.backoff_until_ms.insert(to.clone(), ctx.now + UNRESPONSIVE_BACKOFF_MS);
                }
                timed_out
            }
        };
        if step_ended {
            self.ask_next_lender(ctx, customer);
        }
    }

    /// Spends and lends available tokens: asks of other VMs, in order of arrival, come before
    /// requests of this VM.
    fn serve_pending(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        let Some(account) = self.accounts.get_mut(customer) else { return };
        account.advance_to(ctx.now);
        if !account.may_spend() {
            return;
        }
        let now = ctx.now;
        let all_recalls_done = account.pending_recalls.is_empty();
        let mut ready = Vec::new();
        for asks in [&mut account.recall_only_asks, &mut account.full_search_asks] {
            let mut remaining = VecDeque::new();
            for ask in asks.drain(..) {
                match account.bucket.level() >= ask.need || now >= ask.answer_by_ms {
                    true => ready.push(ask),
                    false => remaining.push_back(ask),
                }
            }
            *asks = remaining;
        }
        if all_recalls_done {
            ready.extend(account.recall_only_asks.drain(..));
        }
        for ask in ready {
            self.answer_ask(ctx, customer, &ask);
        }
        let account = self.accounts.get_mut(customer).expect("served above");
        while let Some(pending) = account.pending_requests.front() {
            if !account.bucket.try_take(NanoTokens::ONE_REQUEST) {
                break;
            }
            account.last_used_ms = now;
            self.outcomes.push(TokenOutcome::Admitted(pending.key));
            account.pending_requests.pop_front();
        }
    }
}
