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
mod fraction;

use self::account::{Account, Base, Borrowed, Gather, PeerAsk, Stage, Upstream, Waiter};
use self::fraction::ZoneFraction;
use crate::bucket::{Bucket, Piece};
use crate::context::Context;
use crate::event::RequestKey;
use crate::limits::{
    DRY_MAX_MS, GATHER_PAUSE_MS, OWNER_ASK_WAIT_MS, RATE_WAIT_MS, RECALL_WAIT_MS,
    RETRY_AFTER_MAX_MS, SHARE_IDLE_MS, SHARE_LEASE_MS, SILENT_PAUSE_MS, SUSPENDED_MAX_MS,
    ZONE_ASK_WAIT_MS, held_ms,
};
use crate::membership::{Activity, Succession};
use crate::rendezvous;
use gypsumchute_config::Customer;
use gypsumchute_proto::peer::peer_frame::Body;
use gypsumchute_proto::peer::{
    ShareAnswer, ShareAsk, ShareRecall, ShareRenew, ShareRenewed, ShareReturn,
};
use gypsumchute_units::{BootMs, CustomerId, NanoTokens, RequestRate, VmId, ZoneId};
use std::collections::{BTreeMap, VecDeque};

/// Searches for tokens after a first one in vain: parts may have been on their way.
const SEARCHES_AGAIN: u32 = 1;

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

    fn renew(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        let now = ctx.now;
        let Some(account) = self.accounts.get_mut(customer) else { return };
        let idle = now.since(account.used_ms) > SHARE_IDLE_MS && account.lent.is_empty();
        let due: Vec<(VmId, u64)> = account
            .borrowed
            .iter()
            .filter(|(_, part)| part.renew_ms <= now || idle || part.recalled)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let part = account.borrowed[&id].clone();
            match (idle || part.recalled, account.can_give_back(&part)) {
                (true, true) => {
                    let level = account.give_back(now, &id);
                    send_return(ctx, customer, &id, level);
                }
                (true, false) => {}
                (false, _) => {
                    let renew_ms = now + SHARE_LEASE_MS / 4;
                    account.borrowed.get_mut(&id).expect("listed above").renew_ms = renew_ms;
                    let renew = ShareRenew {
                        customer: customer.to_string(),
                        lease_id: id.1,
                        sent_ms: now.0,
                    };
                    ctx.send(&part.from, Body::ShareRenew(renew));
                }
            }
        }
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

    /// Answers a VM with what can be lent to it, be it less than it needs.
    fn answer(&mut self, ctx: &mut Context<'_>, customer: &CustomerId, ask: &PeerAsk) {
        let lease_id = self.next_id;
        self.next_id += 1;
        let total_rate = limits_of(ctx, customer).map_or(RequestRate::default(), |c| c.rate_per_s);
        let Some(account) = self.accounts.get_mut(customer) else { return };
        account.settle(ctx.now);
        let mut answer = ShareAnswer {
            ask_id: ask.ask_id,
            customer: customer.to_string(),
            ..ShareAnswer::default()
        };
        if let Some((lent, level)) = account.cut(ctx.now, &ask.from, ask.need) {
            answer.lease_id = lease_id;
            answer.capacity_nano = lent.piece.capacity.0;
            answer.rate_micro_per_s = lent.piece.rate.micro_per_s();
            answer.level_nano = level.0;
            answer.lease_ms = ctx.now.until(lent.until_ms);
            account.lent.insert(lease_id, lent);
            account.resize(ctx.now);
        }
        let missing = ask.need.saturating_sub(NanoTokens(answer.level_nano));
        answer.short_ms = ctx.now.until(account.short_until_ms);
        answer.retry_after_ms = total_rate.ms_to_mint(missing).unwrap_or(RETRY_AFTER_MAX_MS);
        ctx.send(&ask.from, Body::ShareAnswer(answer));
    }

    fn start_gather(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        let now = ctx.now;
        let zones_left = zones_to_ask(ctx);
        let Some(account) = self.accounts.get_mut(customer) else { return };
        let recallable = !account.recallable().is_empty();
        if recallable && now < account.next_recall_ms || now < account.next_gather_ms {
            return;
        }
        account.next_gather_ms = now + GATHER_PAUSE_MS;
        let until_ms = if recallable { now + RECALL_WAIT_MS } else { now };
        account.gather = Some(Gather { stage: Stage::Recall { until_ms }, zones_left });
        match recallable {
            true => self.recall(ctx, customer),
            false => self.advance(ctx, customer),
        }
    }

    fn recall(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        let Some(account) = self.accounts.get_mut(customer) else { return };
        account.next_recall_ms = ctx.now + account.recall_pause_ms(ctx.now);
        for (lease_id, holder) in account.recallable() {
            account.recalled.insert(lease_id);
            let recall = ShareRecall { customer: customer.to_string(), lease_id };
            ctx.send(&holder, Body::ShareRecall(recall));
        }
    }

    /// Asks the next VM that may have tokens, or ends the search.
    fn advance(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        let now = ctx.now;
        let resource = resource(customer);
        let owner = ctx.members.owner(now, &resource).cloned();
        let Some(account) = self.accounts.get_mut(customer) else { return };
        let Some(gather) = &mut account.gather else { return };
        let silent = |vm: &VmId| self.silent_until_ms.contains_key(vm);
        let asked_owner = match &gather.stage {
            Stage::Ask { upstream, .. } => *upstream == Upstream::Owner,
            Stage::Recall { .. } => false,
        };
        let target = match owner {
            Some(owner) if owner != ctx.me.vm && !asked_owner && !silent(&owner) => {
                Some((owner, Upstream::Owner))
            }
            Some(owner) if owner != ctx.me.vm && asked_owner && !silent(&owner) => None,
            _ => loop {
                let Some(zone) = gather.zones_left.pop_front() else { break None };
                let vms = ctx.list.of_zone(&zone).filter(|(vm, r)| !r.leaving && !silent(vm));
                if let Some(vm) = rendezvous::owner(&resource, vms.map(|(vm, _)| vm)) {
                    break Some((vm.clone(), Upstream::Zone(zone)));
                }
            },
        };
        match target {
            Some((vm, upstream)) => self.ask(ctx, customer, vm, upstream, false),
            None => self.give_up(ctx, customer),
        }
    }

    fn ask(
        &mut self,
        ctx: &mut Context<'_>,
        customer: &CustomerId,
        to: VmId,
        upstream: Upstream,
        redirected: bool,
    ) {
        let ask_id = self.next_id;
        self.next_id += 1;
        let Some(account) = self.accounts.get_mut(customer) else { return };
        let Some(gather) = &mut account.gather else { return };
        let wait_ms = match upstream {
            Upstream::Owner => OWNER_ASK_WAIT_MS,
            Upstream::Zone(_) => ZONE_ASK_WAIT_MS,
        };
        let wanted = account.waiters.len() as u64;
        let wanted = NanoTokens::requests(wanted.clamp(1, 8));
        let asked = account.deep_asks.iter().map(|ask| ask.need).max().unwrap_or_default();
        let need = wanted.max(asked).saturating_sub(account.bucket.level());
        let from_owner = upstream != Upstream::Owner;
        gather.stage = Stage::Ask { ask_id, to: to.clone(), until_ms: ctx.now + wait_ms, upstream };
        let out =
            AskOut { customer: customer.clone(), to: to.clone(), sent_ms: ctx.now, redirected };
        self.asks_out.insert(ask_id, out);
        let ask = ShareAsk {
            ask_id,
            customer: customer.to_string(),
            need_nano: need.0.max(1),
            from_owner,
        };
        ctx.send(&to, Body::ShareAsk(ask));
    }

    /// The search has ended: whoever still waits is told when to come back.
    fn give_up(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        let rate = limits_of(ctx, customer).map_or(RequestRate::default(), |c| c.rate_per_s);
        let Some(account) = self.accounts.get_mut(customer) else { return };
        let now = ctx.now;
        let suspended = !account.may_spend();
        let filling = now < account.short_until_ms;
        let searched = now >= account.dry_until_ms;
        let keep = |waiter: &mut Waiter| {
            let again = searched && waiter.searches_left > 0;
            waiter.searches_left -= u32::from(again);
            (suspended || filling || again) && now < waiter.give_up_ms
        };
        let asks: Vec<PeerAsk> = account.deep_asks.drain(..).collect();
        let (mut kept, mut refused) = (VecDeque::new(), VecDeque::new());
        for mut waiter in account.waiters.drain(..) {
            match keep(&mut waiter) {
                true => kept.push_back(waiter),
                false => refused.push_back(waiter),
            }
        }
        account.waiters = kept;
        account.gather = None;
        if searched && !refused.is_empty() {
            account.refused_while_dry = 0;
            let missing = NanoTokens::ONE_REQUEST.saturating_sub(account.bucket.level());
            let dry_ms = rate.ms_to_mint(missing).unwrap_or(DRY_MAX_MS).min(DRY_MAX_MS);
            account.dry_until_ms = now + if suspended { 0 } else { dry_ms };
        }
        let nobody_answers = now.since(account.answered_ms) > SHARE_LEASE_MS;
        let nothing_held = account.bucket.piece().capacity == NanoTokens::ZERO;
        for waiter in refused {
            if nothing_held && nobody_answers && account.lent.is_empty() {
                self.outcomes.push(ShareOutcome::Unavailable(waiter.key));
                continue;
            }
            account.refused_while_dry += 1;
            let wanted = NanoTokens::requests(account.refused_while_dry);
            let missing = wanted.saturating_sub(account.bucket.level());
            let retry_after_ms = rate.ms_to_mint(missing).unwrap_or(RETRY_AFTER_MAX_MS);
            let retry_after_ms = retry_after_ms.clamp(1, RETRY_AFTER_MAX_MS);
            self.outcomes.push(ShareOutcome::OverRate { key: waiter.key, retry_after_ms });
        }
        for ask in asks {
            self.answer(ctx, customer, &ask);
        }
    }

    /// Another VM asks for a part.
    pub(crate) fn on_ask(&mut self, ctx: &mut Context<'_>, from: &VmId, ask: &ShareAsk) {
        let Ok(customer) = ask.customer.parse::<CustomerId>() else { return };
        let owner = ctx.members.owner(ctx.now, &resource(&customer)).cloned();
        if let Some(owner) = owner.filter(|owner| *owner != ctx.me.vm) {
            let answer = ShareAnswer {
                ask_id: ask.ask_id,
                customer: ask.customer.clone(),
                owner_vm: owner.to_string(),
                ..ShareAnswer::default()
            };
            return ctx.send(from, Body::ShareAnswer(answer));
        }
        self.return_to(ctx, &customer, from);
        let need = NanoTokens(ask.need_nano);
        let wait_ms = if ask.from_owner { RECALL_WAIT_MS } else { OWNER_ASK_WAIT_MS * 3 / 4 };
        let answer_by_ms = ctx.now + wait_ms;
        let waiting = PeerAsk { from: from.clone(), ask_id: ask.ask_id, need, answer_by_ms };
        let now = ctx.now;
        let account = self.account(ctx, &customer);
        account.demand.insert(from.clone(), now);
        let enough = account.may_spend() && account.bucket.level() >= need;
        let others_hold = account.recallable().iter().any(|(_, vm)| vm != from);
        let may_recall = others_hold && now >= account.next_recall_ms;
        match ask.from_owner {
            true if enough || !may_recall => self.answer(ctx, &customer, &waiting),
            true => {
                account.shallow_asks.push_back(waiting);
                self.recall(ctx, &customer);
            }
            false => {
                account.deep_asks.push_back(waiting);
                self.pump(ctx, &customer);
            }
        }
    }

    /// Gives back what was borrowed of a VM that now asks itself, rather than lend to it in turn.
    fn return_to(&mut self, ctx: &mut Context<'_>, customer: &CustomerId, lender: &VmId) {
        let Some(account) = self.accounts.get_mut(customer) else { return };
        let of_lender = account.borrowed.iter_mut().filter(|((vm, _), _)| vm == lender);
        of_lender.for_each(|(_, part)| part.recalled = true);
        self.renew(ctx, customer);
    }

    /// Another VM answers.
    pub(crate) fn on_answer(&mut self, ctx: &mut Context<'_>, from: &VmId, answer: &ShareAnswer) {
        let Ok(customer) = answer.customer.parse::<CustomerId>() else { return };
        let lease = (from.clone(), answer.lease_id);
        let Some(out) = self.asks_out.remove(&answer.ask_id).filter(|out| out.to == *from) else {
            return self.decline(ctx, &customer, &lease, answer);
        };
        let until_ms = out.sent_ms + held_ms(answer.lease_ms);
        let account = self.account(ctx, &customer);
        account.answered_ms = ctx.now;
        account.short_until_ms = account.short_until_ms.max(ctx.now + answer.short_ms);
        if answer.lease_id != 0 && until_ms > ctx.now {
            let piece = Piece {
                capacity: NanoTokens(answer.capacity_nano),
                rate: RequestRate::from_micro_per_s(answer.rate_micro_per_s),
            };
            let part = Borrowed {
                from: from.clone(),
                piece,
                until_ms,
                renew_ms: out.sent_ms + answer.lease_ms / 2,
                recalled: false,
            };
            account.borrowed.insert(lease, part);
            account.resize(ctx.now);
            account.bucket.add(NanoTokens(answer.level_nano));
        }
        let current = match &account.gather {
            Some(Gather { stage: Stage::Ask { ask_id, upstream, .. }, .. }) => {
                (*ask_id == answer.ask_id).then(|| upstream.clone())
            }
            _ => None,
        };
        self.serve(ctx, &out.customer);
        let Some(upstream) = current else { return };
        match answer.owner_vm.parse::<VmId>() {
            Ok(owner) if !out.redirected && !ctx.is_me(&owner) => {
                self.ask(ctx, &customer, owner, upstream, true);
            }
            _ => self.next_after_answer(ctx, &customer),
        }
    }

    fn next_after_answer(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        let Some(account) = self.accounts.get_mut(customer) else { return };
        match account.waiters.is_empty() && account.deep_asks.is_empty() {
            true => account.gather = None,
            false => self.advance(ctx, customer),
        }
    }

    /// A part came that nobody waits for any more: it goes straight back.
    fn decline(
        &mut self,
        ctx: &mut Context<'_>,
        customer: &CustomerId,
        lease: &(VmId, u64),
        answer: &ShareAnswer,
    ) {
        let held = self.accounts.get(customer).is_some_and(|a| a.borrowed.contains_key(lease));
        if answer.lease_id != 0 && !held {
            send_return(ctx, customer, lease, NanoTokens(answer.level_nano));
        }
    }

    /// A borrower wants to keep its part.
    pub(crate) fn on_renew(&mut self, ctx: &mut Context<'_>, from: &VmId, renew: &ShareRenew) {
        let Ok(customer) = renew.customer.parse::<CustomerId>() else { return };
        let Some(account) = self.accounts.get_mut(&customer) else { return };
        account.settle(ctx.now);
        let shortest = account.borrowed.values().map(|part| ctx.now.until(part.until_ms)).min();
        let lease_ms = shortest.unwrap_or(SHARE_LEASE_MS).min(SHARE_LEASE_MS);
        let covered = account.is_covered() && account.may_spend();
        account.demand.insert(from.clone(), ctx.now);
        let Some(lent) = account.lent.get_mut(&renew.lease_id) else { return };
        if lent.to != *from || !covered {
            return;
        }
        lent.until_ms = lent.until_ms.max(ctx.now + lease_ms);
        let renewed = ShareRenewed {
            customer: renew.customer.clone(),
            lease_id: renew.lease_id,
            sent_ms: renew.sent_ms,
            lease_ms,
        };
        ctx.send(from, Body::ShareRenewed(renewed));
    }

    /// A lender let a part be kept.
    pub(crate) fn on_renewed(
        &mut self,
        ctx: &mut Context<'_>,
        from: &VmId,
        renewed: &ShareRenewed,
    ) {
        let Ok(customer) = renewed.customer.parse::<CustomerId>() else { return };
        let Some(account) = self.accounts.get_mut(&customer) else { return };
        account.settle(ctx.now);
        let Some(part) = account.borrowed.get_mut(&(from.clone(), renewed.lease_id)) else {
            return;
        };
        let sent_ms = BootMs(renewed.sent_ms);
        part.until_ms = part.until_ms.max(sent_ms + held_ms(renewed.lease_ms));
        part.renew_ms = sent_ms + renewed.lease_ms / 2;
    }

    /// A lender wants a part back.
    pub(crate) fn on_recall(&mut self, ctx: &mut Context<'_>, from: &VmId, recall: &ShareRecall) {
        let Ok(customer) = recall.customer.parse::<CustomerId>() else { return };
        let id = (from.clone(), recall.lease_id);
        let Some(account) = self.accounts.get_mut(&customer) else { return };
        account.settle(ctx.now);
        let Some(part) = account.borrowed.get_mut(&id) else { return };
        part.recalled = true;
        let lent_on = !account.lent.is_empty() && ctx.now >= account.next_recall_ms;
        self.renew(ctx, &customer);
        if lent_on {
            self.recall(ctx, &customer);
        }
    }

    /// A borrower gives a part back.
    pub(crate) fn on_return(&mut self, ctx: &mut Context<'_>, from: &VmId, back: &ShareReturn) {
        let Ok(customer) = back.customer.parse::<CustomerId>() else { return };
        let Some(account) = self.accounts.get_mut(&customer) else { return };
        account.settle(ctx.now);
        let known = account.lent.get(&back.lease_id).is_some_and(|lent| lent.to == *from);
        if !known {
            return;
        }
        account.lent.remove(&back.lease_id);
        account.resize(ctx.now);
        account.bucket.add(NanoTokens(back.level_nano));
        self.renew(ctx, &customer);
        self.pump(ctx, &customer);
    }
}

/// The other zones that have VMs, each time beginning with another one.
fn zones_to_ask(ctx: &Context<'_>) -> VecDeque<ZoneId> {
    let has_vms = |zone: &ZoneId| ctx.list.of_zone(zone).any(|(_, vm)| !vm.leaving);
    let others = ctx.config.zones.keys().filter(|zone| **zone != ctx.me.zone);
    let mut zones: VecDeque<ZoneId> = others.filter(|zone| has_vms(zone)).cloned().collect();
    let first = (ctx.now.0 / SHARE_LEASE_MS) as usize;
    if !zones.is_empty() {
        let turns = first % zones.len();
        zones.rotate_left(turns);
    }
    zones
}

fn send_return(ctx: &mut Context<'_>, customer: &CustomerId, id: &(VmId, u64), level: NanoTokens) {
    let back = ShareReturn { customer: customer.to_string(), lease_id: id.1, level_nano: level.0 };
    ctx.send(&id.0, Body::ShareReturn(back));
}
