//! The borrower's side: the search for tokens that this VM lacks, and what it holds of others.

use super::account::{Borrowed, Gather, PeerAsk, Stage, Upstream, Waiter};
use super::{AskOut, ShareOutcome, Shares, limits_of, resource};
use crate::bucket::Piece;
use crate::context::Context;
use crate::limits::{
    DRY_MAX_MS, GATHER_PAUSE_MS, OWNER_ASK_WAIT_MS, RECALL_WAIT_MS, RETRY_AFTER_MAX_MS,
    SHARE_IDLE_MS, SHARE_LEASE_MS, ZONE_ASK_WAIT_MS, held_ms,
};
use gypsumchute_proto::peer::peer_frame::Body;
use gypsumchute_proto::peer::{
    ShareAnswer, ShareAsk, ShareRecall, ShareRenew, ShareRenewed, ShareReturn,
};
use gypsumchute_units::rendezvous;
use gypsumchute_units::{BootMs, CustomerId, NanoTokens, RequestRate, VmId, ZoneId};
use std::collections::VecDeque;

impl Shares {
    pub(super) fn renew(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
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

    pub(super) fn start_gather(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
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

    /// Asks the next VM that may have tokens, or ends the search.
    pub(super) fn advance(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
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

    pub(super) fn ask(
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
    pub(super) fn give_up(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
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

    pub(super) fn next_after_answer(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        let Some(account) = self.accounts.get_mut(customer) else { return };
        match account.waiters.is_empty() && account.deep_asks.is_empty() {
            true => account.gather = None,
            false => self.advance(ctx, customer),
        }
    }

    /// A part came that nobody waits for any more: it goes straight back.
    pub(super) fn decline(
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
