//! The lender's side: parts cut for other VMs, renewed, recalled and taken back.

use super::account::PeerAsk;
use super::{Shares, limits_of, resource};
use crate::context::Context;
use crate::limits::{OWNER_ASK_WAIT_MS, RECALL_WAIT_MS, RETRY_AFTER_MAX_MS, SHARE_LEASE_MS};
use gypsumchute_proto::peer::peer_frame::Body;
use gypsumchute_proto::peer::{
    ShareAnswer, ShareAsk, ShareRecall, ShareRenew, ShareRenewed, ShareReturn,
};
use gypsumchute_units::{CustomerId, NanoTokens, RequestRate, VmId};

impl Shares {
    pub(super) fn recall(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        let Some(account) = self.accounts.get_mut(customer) else { return };
        account.next_recall_ms = ctx.now + account.recall_pause_ms(ctx.now);
        for (lease_id, holder) in account.recallable() {
            account.recalled.insert(lease_id);
            let recall = ShareRecall { customer: customer.to_string(), lease_id };
            ctx.send(&holder, Body::ShareRecall(recall));
        }
    }

    /// Answers a VM with what can be lent to it, be it less than it needs.
    pub(super) fn answer(&mut self, ctx: &mut Context<'_>, customer: &CustomerId, ask: &PeerAsk) {
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
    pub(super) fn return_to(
        &mut self,
        ctx: &mut Context<'_>,
        customer: &CustomerId,
        lender: &VmId,
    ) {
        let Some(account) = self.accounts.get_mut(customer) else { return };
        let of_lender = account.borrowed.iter_mut().filter(|((vm, _), _)| vm == lender);
        of_lender.for_each(|(_, part)| part.recalled = true);
        self.renew(ctx, customer);
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
