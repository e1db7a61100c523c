//! Lender side of customer shares: leases granted to other VMs, renewed, recalled and returned.

use super::account::PendingAsk;
use super::{RateShares, limits_of, resource_name};
use crate::context::Context;
use crate::limits::{MAX_RETRY_AFTER_MS, OWNER_ASK_TIMEOUT_MS, RECALL_TIMEOUT_MS, SHARE_LEASE_MS};
use gypsumchute_proto::peer::peer_frame::Body;
use gypsumchute_proto::peer::{
    ShareAnswer, ShareAsk, ShareRecall, ShareRenew, ShareRenewed, ShareReturn,
};
use gypsumchute_units::{CustomerId, NanoTokens, RequestRate, VmId};

impl RateShares {
    /// Sends a recall for every lease whose borrower has no ask pending at this VM.
    pub(super) fn recall_leases(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        let Some(account) = self.accounts.get_mut(customer) else { return };
        account.next_recall_ms = ctx.now + account.recall_interval_ms(ctx.now);
        for (lease_id, holder) in account.recallable_leases() {
            account.pending_recalls.insert(lease_id);
            let recall = ShareRecall { customer: customer.to_string(), lease_id };
            ctx.send(&holder, Body::ShareRecall(recall));
        }
    }

    /// Answers an ask with a lease, which may cover less than the need, or without a lease if
    /// nothing can be lent.
    pub(super) fn answer_ask(
        &mut self,
        ctx: &mut Context<'_>,
        customer: &CustomerId,
        ask: &PendingAsk,
    ) {
        let lease_id = self.next_id;
        self.next_id += 1;
        let total_rate = limits_of(ctx, customer).map_or(RequestRate::default(), |c| c.rate_per_s);
        let Some(account) = self.accounts.get_mut(customer) else { return };
        account.advance_to(ctx.now);
        let mut answer = ShareAnswer {
            ask_id: ask.ask_id,
            customer: customer.to_string(),
            ..ShareAnswer::default()
        };
        if let Some((lent, level)) = account.lend(ctx.now, &ask.from, ask.need) {
            answer.lease_id = lease_id;
            answer.capacity_nano = lent.share.capacity.0;
            answer.rate_micro_per_s = lent.share.rate.micro_per_s();
            answer.level_nano = level.0;
            answer.lease_ms = ctx.now.until(lent.expires_ms);
            account.lent.insert(lease_id, lent);
            account.resize_bucket(ctx.now);
        }
        let missing = ask.need.saturating_sub(NanoTokens(answer.level_nano));
        answer.short_ms = ctx.now.until(account.refilling_until_ms);
        answer.retry_after_ms = total_rate.ms_to_accrue(missing).unwrap_or(MAX_RETRY_AFTER_MS);
        ctx.send(&ask.from, Body::ShareAnswer(answer));
    }

    /// Handles a `ShareAsk`: redirects the asking VM to the customer's owner if that is another VM;
    /// otherwise answers at once or after a recall or search.
    pub(crate) fn on_ask(&mut self, ctx: &mut Context<'_>, from: &VmId, ask: &ShareAsk) {
        let Ok(customer) = ask.customer.parse::<CustomerId>() else { return };
        let owner = ctx.membership.owner(ctx.now, &resource_name(&customer)).cloned();
        if let Some(owner) = owner.filter(|owner| *owner != ctx.identity.vm) {
            let answer = ShareAnswer {
                ask_id: ask.ask_id,
                customer: ask.customer.clone(),
                owner_vm: owner.to_string(),
                ..ShareAnswer::default()
            };
            return ctx.send(from, Body::ShareAnswer(answer));
        }
        self.return_leases_to(ctx, &customer, from);
        let need = NanoTokens(ask.need_nano);
        // The answer must arrive before the asking VM stops waiting for it.
        let wait_ms = if ask.from_owner { RECALL_TIMEOUT_MS } else { OWNER_ASK_TIMEOUT_MS * 3 / 4 };
        let answer_by_ms = ctx.now + wait_ms;
        let pending_ask = PendingAsk { from: from.clone(), ask_id: ask.ask_id, need, answer_by_ms };
        let now = ctx.now;
        let account = self.account_mut(ctx, &customer);
        account.last_demand_ms.insert(from.clone(), now);
        let enough = account.may_spend() && account.bucket.level() >= need;
        let has_other_borrowers = account.recallable_leases().iter().any(|(_, vm)| vm != from);
        let may_recall = has_other_borrowers && now >= account.next_recall_ms;
        match ask.from_owner {
            true if enough || !may_recall => self.answer_ask(ctx, &customer, &pending_ask),
            true => {
                account.recall_only_asks.push_back(pending_ask);
                self.recall_leases(ctx, &customer);
            }
            false => {
                account.full_search_asks.push_back(pending_ask);
                self.process_pending(ctx, &customer);
            }
        }
    }

    /// Returns leases borrowed from a VM that now asks for tokens itself, instead of lending the
    /// same capacity back to it.
    pub(super) fn return_leases_to(
        &mut self,
        ctx: &mut Context<'_>,
        customer: &CustomerId,
        lender: &VmId,
    ) {
        let Some(account) = self.accounts.get_mut(customer) else { return };
        let leases = account.borrowed.iter_mut().filter(|((vm, _), _)| vm == lender);
        leases.for_each(|(_, lease)| lease.return_due = true);
        self.renew_leases(ctx, customer);
    }

    /// Renews a lease for a borrower if the lent leases are covered. The lease does not outlast the
    /// borrowed leases that back it.
    pub(crate) fn on_renew(&mut self, ctx: &mut Context<'_>, from: &VmId, renew: &ShareRenew) {
        let Ok(customer) = renew.customer.parse::<CustomerId>() else { return };
        let Some(account) = self.accounts.get_mut(&customer) else { return };
        account.advance_to(ctx.now);
        let shortest = account.borrowed.values().map(|lease| ctx.now.until(lease.expires_ms)).min();
        let lease_ms = shortest.unwrap_or(SHARE_LEASE_MS).min(SHARE_LEASE_MS);
        let covered = account.is_covered() && account.may_spend();
        account.last_demand_ms.insert(from.clone(), ctx.now);
        let Some(lent) = account.lent.get_mut(&renew.lease_id) else { return };
        if lent.borrower != *from || !covered {
            return;
        }
        lent.expires_ms = lent.expires_ms.max(ctx.now + lease_ms);
        let renewed = ShareRenewed {
            customer: renew.customer.clone(),
            lease_id: renew.lease_id,
            sent_ms: renew.sent_ms,
            lease_ms,
        };
        ctx.send(from, Body::ShareRenewed(renewed));
    }

    /// Takes back a lease that a borrower returns, with the tokens left in it.
    pub(crate) fn on_return(&mut self, ctx: &mut Context<'_>, from: &VmId, returned: &ShareReturn) {
        let Ok(customer) = returned.customer.parse::<CustomerId>() else { return };
        let Some(account) = self.accounts.get_mut(&customer) else { return };
        account.advance_to(ctx.now);
        let is_borrower =
            account.lent.get(&returned.lease_id).is_some_and(|lent| lent.borrower == *from);
        if !is_borrower {
            return;
        }
        account.lent.remove(&returned.lease_id);
        account.resize_bucket(ctx.now);
        account.bucket.add(NanoTokens(returned.level_nano));
        self.renew_leases(ctx, &customer);
        self.process_pending(ctx, &customer);
    }
}
