//! Borrower side of customer shares: searches for tokens that this VM lacks, and the leases that it
//! borrows from other VMs.

use super::account::{
    BorrowedShare, LenderKind, PendingAsk, PendingRequest, SearchStage, TokenSearch,
};
use super::{OutstandingAsk, RateShares, TokenOutcome, limits_of, resource_name};
use crate::bucket::RateShare;
use crate::context::Context;
use crate::limits::{
    MAX_EXHAUSTED_MS, MAX_RETRY_AFTER_MS, MAX_SHARE_IDLE_MS, MIN_SEARCH_INTERVAL_MS,
    OTHER_ZONE_ASK_TIMEOUT_MS, OWNER_ASK_TIMEOUT_MS, RECALL_TIMEOUT_MS, SHARE_LEASE_MS,
    holder_lease_ms,
};
use gypsumchute_proto::peer::peer_frame::Body;
use gypsumchute_proto::peer::{
    ShareAnswer, ShareAsk, ShareRecall, ShareRenew, ShareRenewed, ShareReturn,
};
use gypsumchute_units::rendezvous;
use gypsumchute_units::{BootMs, CustomerId, NanoTokens, RequestRate, VmId, ZoneId};
use std::collections::VecDeque;

impl RateShares {
    /// Renews borrowed leases that are due for renewal. Returns idle and recalled ones as soon as
    /// the lent leases stay covered without them.
    pub(super) fn renew_leases(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        let now = ctx.now;
        let Some(account) = self.accounts.get_mut(customer) else { return };
        let idle = now.since(account.last_used_ms) > MAX_SHARE_IDLE_MS && account.lent.is_empty();
        let due: Vec<(VmId, u64)> = account
            .borrowed
            .iter()
            .filter(|(_, lease)| lease.renew_at_ms <= now || idle || lease.return_due)
            .map(|(id, _)| id.clone())
            .collect();
        for lease_key in due {
            let lease = account.borrowed[&lease_key].clone();
            match (idle || lease.return_due, account.can_return(&lease)) {
                (true, true) => {
                    let level = account.return_lease(now, &lease_key);
                    send_share_return(ctx, customer, &lease_key, level);
                }
                (true, false) => {}
                (false, _) => {
                    let renew_at_ms = now + SHARE_LEASE_MS / 4;
                    account.borrowed.get_mut(&lease_key).expect("listed above").renew_at_ms =
                        renew_at_ms;
                    let renew = ShareRenew {
                        customer: customer.to_string(),
                        lease_id: lease_key.1,
                        sent_ms: now.0,
                    };
                    ctx.send(&lease.lender, Body::ShareRenew(renew));
                }
            }
        }
    }

    /// Starts a search for tokens, unless the last search or recall was too recent.
    pub(super) fn start_search(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        let now = ctx.now;
        let zones_left = zones_to_ask(ctx);
        let Some(account) = self.accounts.get_mut(customer) else { return };
        let recallable = !account.recallable_leases().is_empty();
        if recallable && now < account.next_recall_ms || now < account.next_search_ms {
            return;
        }
        account.next_search_ms = now + MIN_SEARCH_INTERVAL_MS;
        let deadline_ms = if recallable { now + RECALL_TIMEOUT_MS } else { now };
        account.search =
            Some(TokenSearch { stage: SearchStage::Recall { deadline_ms }, zones_left });
        match recallable {
            true => self.recall_leases(ctx, customer),
            false => self.ask_next_lender(ctx, customer),
        }
    }

    /// Asks the next VM that may have tokens: first the customer's owner in this zone, which asks
    /// the other zones itself. If this VM is the owner or no owner responds, asks one VM in each
    /// other zone in turn. Ends the search if no VM is left to ask.
    pub(super) fn ask_next_lender(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        let now = ctx.now;
        let resource = resource_name(customer);
        let owner = ctx.membership.owner(now, &resource).cloned();
        let Some(account) = self.accounts.get_mut(customer) else { return };
        let Some(search) = &mut account.search else { return };
        let unresponsive = |vm: &VmId| self.backoff_until_ms.contains_key(vm);
        let asked_owner = match &search.stage {
            SearchStage::Ask { lender_kind, .. } => *lender_kind == LenderKind::ZoneOwner,
            SearchStage::Recall { .. } => false,
        };
        let next = match owner {
            Some(owner) if owner != ctx.identity.vm && !asked_owner && !unresponsive(&owner) => {
                Some((owner, LenderKind::ZoneOwner))
            }
            Some(owner) if owner != ctx.identity.vm && asked_owner && !unresponsive(&owner) => None,
            _ => loop {
                let Some(zone) = search.zones_left.pop_front() else { break None };
                let vms =
                    ctx.vm_list.in_zone(&zone).filter(|(vm, r)| !r.leaving && !unresponsive(vm));
                if let Some(vm) = rendezvous::owner(&resource, vms.map(|(vm, _)| vm)) {
                    break Some((vm.clone(), LenderKind::OtherZone(zone)));
                }
            },
        };
        match next {
            Some((vm, lender_kind)) => self.send_ask(ctx, customer, vm, lender_kind, false),
            None => self.end_search(ctx, customer),
        }
    }

    /// Sends a `ShareAsk` for the tokens that the bucket lacks to serve the pending requests (at
    /// most 8 of them) or the largest pending ask, whichever is more.
    pub(super) fn send_ask(
        &mut self,
        ctx: &mut Context<'_>,
        customer: &CustomerId,
        to: VmId,
        lender_kind: LenderKind,
        redirected: bool,
    ) {
        let ask_id = self.next_id;
        self.next_id += 1;
        let Some(account) = self.accounts.get_mut(customer) else { return };
        let Some(search) = &mut account.search else { return };
        let wait_ms = match lender_kind {
            LenderKind::ZoneOwner => OWNER_ASK_TIMEOUT_MS,
            LenderKind::OtherZone(_) => OTHER_ZONE_ASK_TIMEOUT_MS,
        };
        let wanted = account.pending_requests.len() as u64;
        let wanted = NanoTokens::for_requests(wanted.clamp(1, 8));
        let asked = account.full_search_asks.iter().map(|ask| ask.need).max().unwrap_or_default();
        let need = wanted.max(asked).saturating_sub(account.bucket.level());
        let from_owner = lender_kind != LenderKind::ZoneOwner;
        search.stage = SearchStage::Ask {
            ask_id,
            to: to.clone(),
            deadline_ms: ctx.now + wait_ms,
            lender_kind,
        };
        let outstanding = OutstandingAsk {
            customer: customer.clone(),
            to: to.clone(),
            sent_ms: ctx.now,
            redirected,
        };
        self.outstanding_asks.insert(ask_id, outstanding);
        let ask = ShareAsk {
            ask_id,
            customer: customer.to_string(),
            need_nano: need.0.max(1),
            from_owner,
        };
        ctx.send(&to, Body::ShareAsk(ask));
    }

    /// Ends a search: refuses pending requests with a retry delay, except those that may wait
    /// longer, and answers pending asks with what is available.
    pub(super) fn end_search(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        let rate = limits_of(ctx, customer).map_or(RequestRate::default(), |c| c.rate_per_s);
        let Some(account) = self.accounts.get_mut(customer) else { return };
        let now = ctx.now;
        let suspended = !account.may_spend();
        let refilling = now < account.refilling_until_ms;
        // Before `exhausted_until_ms`, requests are refused without a search.
        let searched = now >= account.exhausted_until_ms;
        let should_keep = |pending: &mut PendingRequest| {
            let search_again = searched && pending.searches_left > 0;
            pending.searches_left -= u32::from(search_again);
            (suspended || refilling || search_again) && now < pending.deadline_ms
        };
        let asks: Vec<PendingAsk> = account.full_search_asks.drain(..).collect();
        let (mut kept, mut refused) = (VecDeque::new(), VecDeque::new());
        for mut pending in account.pending_requests.drain(..) {
            match should_keep(&mut pending) {
                true => kept.push_back(pending),
                false => refused.push_back(pending),
            }
        }
        account.pending_requests = kept;
        account.search = None;
        if searched && !refused.is_empty() {
            account.refused_while_exhausted = 0;
            let missing = NanoTokens::ONE_REQUEST.saturating_sub(account.bucket.level());
            let exhausted_ms =
                rate.ms_to_accrue(missing).unwrap_or(MAX_EXHAUSTED_MS).min(MAX_EXHAUSTED_MS);
            account.exhausted_until_ms = now + if suspended { 0 } else { exhausted_ms };
        }
        let no_recent_answer = now.since(account.last_answer_ms) > SHARE_LEASE_MS;
        let nothing_held = account.bucket.share().capacity == NanoTokens::ZERO;
        for pending in refused {
            if nothing_held && no_recent_answer && account.lent.is_empty() {
                self.outcomes.push(TokenOutcome::Unavailable(pending.key));
                continue;
            }
            account.refused_while_exhausted += 1;
            let wanted = NanoTokens::for_requests(account.refused_while_exhausted);
            let missing = wanted.saturating_sub(account.bucket.level());
            let retry_after_ms = rate.ms_to_accrue(missing).unwrap_or(MAX_RETRY_AFTER_MS);
            let retry_after_ms = retry_after_ms.clamp(1, MAX_RETRY_AFTER_MS);
            self.outcomes.push(TokenOutcome::OverRate { key: pending.key, retry_after_ms });
        }
        for ask in asks {
            self.answer_ask(ctx, customer, &ask);
        }
    }

    /// Handles the answer to a `ShareAsk`: adds the granted lease to the account and continues the
    /// search if tokens are still missing.
    pub(crate) fn on_answer(&mut self, ctx: &mut Context<'_>, from: &VmId, answer: &ShareAnswer) {
        let Ok(customer) = answer.customer.parse::<CustomerId>() else { return };
        let lease_key = (from.clone(), answer.lease_id);
        let Some(outstanding) = self
            .outstanding_asks
            .remove(&answer.ask_id)
            .filter(|outstanding| outstanding.to == *from)
        else {
            return self.return_late_share(ctx, &customer, &lease_key, answer);
        };
        let expires_ms = outstanding.sent_ms + holder_lease_ms(answer.lease_ms);
        let account = self.account_mut(ctx, &customer);
        account.last_answer_ms = ctx.now;
        account.refilling_until_ms = account.refilling_until_ms.max(ctx.now + answer.short_ms);
        if answer.lease_id != 0 && expires_ms > ctx.now {
            let share = RateShare {
                capacity: NanoTokens(answer.capacity_nano),
                rate: RequestRate::from_micro_per_s(answer.rate_micro_per_s),
            };
            let lease = BorrowedShare {
                lender: from.clone(),
                share,
                expires_ms,
                renew_at_ms: outstanding.sent_ms + answer.lease_ms / 2,
                return_due: false,
            };
            account.borrowed.insert(lease_key, lease);
            account.resize_bucket(ctx.now);
            account.bucket.add(NanoTokens(answer.level_nano));
        }
        let pending_kind = match &account.search {
            Some(TokenSearch { stage: SearchStage::Ask { ask_id, lender_kind, .. }, .. }) => {
                (*ask_id == answer.ask_id).then(|| lender_kind.clone())
            }
            _ => None,
        };
        self.serve_pending(ctx, &outstanding.customer);
        let Some(lender_kind) = pending_kind else { return };
        match answer.owner_vm.parse::<VmId>() {
            Ok(owner) if !outstanding.redirected && !ctx.is_this_vm(&owner) => {
                self.send_ask(ctx, &customer, owner, lender_kind, true);
            }
            _ => self.continue_search(ctx, &customer),
        }
    }

    /// Asks the next VM if a request or ask is still pending; otherwise ends the search.
    pub(super) fn continue_search(&mut self, ctx: &mut Context<'_>, customer: &CustomerId) {
        let Some(account) = self.accounts.get_mut(customer) else { return };
        match account.pending_requests.is_empty() && account.full_search_asks.is_empty() {
            true => account.search = None,
            false => self.ask_next_lender(ctx, customer),
        }
    }

    /// Returns the lease of an answer that matches no outstanding ask, unless the lease is already
    /// held.
    pub(super) fn return_late_share(
        &mut self,
        ctx: &mut Context<'_>,
        customer: &CustomerId,
        lease_key: &(VmId, u64),
        answer: &ShareAnswer,
    ) {
        let known = self.accounts.get(customer).is_some_and(|a| a.borrowed.contains_key(lease_key));
        if answer.lease_id != 0 && !known {
            send_share_return(ctx, customer, lease_key, NanoTokens(answer.level_nano));
        }
    }

    /// Extends a borrowed lease that the lender has renewed.
    pub(crate) fn on_renewed(
        &mut self,
        ctx: &mut Context<'_>,
        from: &VmId,
        renewed: &ShareRenewed,
    ) {
        let Ok(customer) = renewed.customer.parse::<CustomerId>() else { return };
        let Some(account) = self.accounts.get_mut(&customer) else { return };
        account.advance_to(ctx.now);
        let Some(lease) = account.borrowed.get_mut(&(from.clone(), renewed.lease_id)) else {
            return;
        };
        let sent_ms = BootMs(renewed.sent_ms);
        lease.expires_ms = lease.expires_ms.max(sent_ms + holder_lease_ms(renewed.lease_ms));
        lease.renew_at_ms = sent_ms + renewed.lease_ms / 2;
    }

    /// Handles a lender's recall: returns the lease if the lent leases stay covered without it, and
    /// recalls the lent leases.
    pub(crate) fn on_recall(&mut self, ctx: &mut Context<'_>, from: &VmId, recall: &ShareRecall) {
        let Ok(customer) = recall.customer.parse::<CustomerId>() else { return };
        let lease_key = (from.clone(), recall.lease_id);
        let Some(account) = self.accounts.get_mut(&customer) else { return };
        account.advance_to(ctx.now);
        let Some(lease) = account.borrowed.get_mut(&lease_key) else { return };
        lease.return_due = true;
        let recall_borrowers = !account.lent.is_empty() && ctx.now >= account.next_recall_ms;
        self.renew_leases(ctx, &customer);
        if recall_borrowers {
            self.recall_leases(ctx, &customer);
        }
    }
}

/// Returns the other zones that have VMs that are not leaving. The order rotates over time so that
/// searches start at different zones.
fn zones_to_ask(ctx: &Context<'_>) -> VecDeque<ZoneId> {
    let has_vms = |zone: &ZoneId| ctx.vm_list.in_zone(zone).any(|(_, vm)| !vm.leaving);
    let others = ctx.config.zones.keys().filter(|zone| **zone != ctx.identity.zone);
    let mut zones: VecDeque<ZoneId> = others.filter(|zone| has_vms(zone)).cloned().collect();
    let first = (ctx.now.0 / SHARE_LEASE_MS) as usize;
    if !zones.is_empty() {
        let offset = first % zones.len();
        zones.rotate_left(offset);
    }
    zones
}

/// Sends a lease back to the lender, with the tokens left in it.
fn send_share_return(
    ctx: &mut Context<'_>,
    customer: &CustomerId,
    lease_key: &(VmId, u64),
    level: NanoTokens,
) {
    let share_return =
        ShareReturn { customer: customer.to_string(), lease_id: lease_key.1, level_nano: level.0 };
    ctx.send(&lease_key.0, Body::ShareReturn(share_return));
}
