//! Client side of idempotency keys: claims for requests of this VM and reports of their outcomes.

use super::{
    ClaimOutcome, Idempotency, MAX_KEPT_ANSWER_BYTES, PendingOutcome, due, home_zone, resource,
};
use crate::context::Context;
use crate::event::{RequestKey, StoredAnswer};
use crate::limits::{CLAIM_RESEND_MS, KEY_OUTCOME_TIMEOUT_MS, KEY_RESEND_MS};
use gypsumchute_proto::peer::peer_frame::Body;
use gypsumchute_proto::peer::{
    KeyClaim, KeyClaimAnswer, KeyOutcome, KeyOutcomeAck, KeyRecord, KeyState,
};
use gypsumchute_units::rendezvous;
use gypsumchute_units::{Refusal, RefusalReason, Verdict, VmId};

impl Idempotency {
    /// Abandons the claim of a request that ended before the claim was answered. If the claim is
    /// granted later, it is released.
    pub(crate) fn cancel(&mut self, ctx: &Context<'_>, key: RequestKey) {
        let ids: Vec<u64> = due(&self.claims, |claim| claim.key == key);
        ids.into_iter().for_each(|id| self.abandon(ctx, id));
    }

    /// Removes a claim, but remembers it so that a late grant can be released.
    pub(super) fn abandon(&mut self, ctx: &Context<'_>, id: u64) {
        if let Some(claim) = self.claims.remove(&id) {
            self.abandoned.insert(id, (claim.scope, ctx.now + KEY_OUTCOME_TIMEOUT_MS));
        }
    }

    /// Returns the VM to contact about a key. In the zone of this VM that is the owner of the key;
    /// in another zone the ranked VMs are tried in turn, because the active view is not known.
    pub(super) fn likely_owner(&self, ctx: &Context<'_>, scope: &str) -> Option<VmId> {
        let zone = home_zone(ctx, scope)?;
        let resource = resource(scope);
        if *zone == ctx.identity.zone {
            return ctx.membership.owner(ctx.now, &resource).cloned();
        }
        let vms = ctx.vm_list.in_zone(zone).filter(|(_, record)| !record.leaving);
        let ranked = rendezvous::rank_candidates(&resource, vms.map(|(vm, _)| vm));
        let rotation = (ctx.now.0 / (2 * CLAIM_RESEND_MS)) as usize;
        ranked.get(rotation % ranked.len().max(1)).map(|vm| (*vm).clone())
    }

    /// Sends a claim to the owner of the key or to the most likely owner.
    pub(super) fn send_claim(&mut self, ctx: &mut Context<'_>, id: u64) {
        let Some(claim) = self.claims.get(&id) else { return };
        let target = claim.target.clone().or_else(|| self.likely_owner(ctx, &claim.scope));
        let Some(claim) = self.claims.get_mut(&id) else { return };
        claim.resend_ms = ctx.now + CLAIM_RESEND_MS;
        let message = KeyClaim {
            ask_id: id,
            scope: claim.scope.clone(),
            body_hash: claim.body_hash,
            run_ms: claim.run_ms,
        };
        claim.target = None;
        if let Some(target) = target {
            ctx.send(&target, Body::KeyClaim(message));
        }
    }

    /// Handles the answer to a claim of this VM.
    pub(crate) fn on_answer(
        &mut self,
        ctx: &mut Context<'_>,
        from: &VmId,
        answer: &KeyClaimAnswer,
    ) {
        if answer.state() == KeyState::NotOwner {
            if let Some(claim) = self.claims.get_mut(&answer.ask_id) {
                claim.target = answer.owner_vm.parse().ok().filter(|owner| owner != from);
                self.send_claim(ctx, answer.ask_id);
            }
            return;
        }
        let Some(claim) = self.claims.remove(&answer.ask_id) else {
            let abandoned = self.abandoned.remove(&answer.ask_id);
            if let (KeyState::Granted, Some((scope, _))) = (answer.state(), abandoned) {
                self.report(ctx, answer.ask_id, scope, None, true);
            }
            return;
        };
        let key = claim.key;
        let outcome = match answer.state() {
            KeyState::Granted => ClaimOutcome::Claimed(key),
            KeyState::Done if answer.status != 0 => {
                let kept = StoredAnswer {
                    status: answer.status,
                    content_type: answer.content_type.clone(),
                    body: answer.answer.clone(),
                    is_complete: true,
                };
                ClaimOutcome::Replay(key, kept)
            }
            KeyState::Running => may_have_run(key, RefusalReason::KeyInUse, Some(1_000)),
            KeyState::BodyDiffers => {
                ClaimOutcome::Refused(key, Refusal::not_run(RefusalReason::KeyReused))
            }
            _ => may_have_run(key, RefusalReason::AlreadyRan, None),
        };
        self.outcomes.push(outcome);
    }

    /// Reports the outcome of a request to the owner of its key. The report is sent again until
    /// the owner acknowledges it.
    pub(crate) fn report(
        &mut self,
        ctx: &mut Context<'_>,
        claim_id: u64,
        scope: String,
        answer: Option<StoredAnswer>,
        not_run: bool,
    ) {
        let state = match (&answer, not_run) {
            (_, true) => KeyState::Released,
            (Some(_), false) => KeyState::Done,
            (None, false) => KeyState::MayHaveRun,
        };
        let mut record = KeyRecord {
            scope: scope.clone(),
            state: state as i32,
            claim_id,
            runner_vm: ctx.identity.vm.to_string(),
            runner_incarnation: ctx.identity.incarnation,
            ..KeyRecord::default()
        };
        if let Some(answer) =
            answer.filter(|a| a.is_complete && a.body.len() <= MAX_KEPT_ANSWER_BYTES)
        {
            record.status = answer.status;
            record.content_type = answer.content_type;
            record.answer = answer.body;
        }
        let pending = PendingOutcome {
            scope,
            record,
            target: None,
            resend_ms: ctx.now,
            until_ms: ctx.now + KEY_OUTCOME_TIMEOUT_MS,
        };
        self.pending_outcomes.insert(claim_id, pending);
        self.send_outcome(ctx, claim_id);
    }

    /// Sends a pending outcome to the owner of the key or to the most likely owner.
    pub(super) fn send_outcome(&mut self, ctx: &mut Context<'_>, claim_id: u64) {
        let Some(pending) = self.pending_outcomes.get(&claim_id) else { return };
        let target = pending.target.clone().or_else(|| self.likely_owner(ctx, &pending.scope));
        let Some(pending) = self.pending_outcomes.get_mut(&claim_id) else { return };
        pending.resend_ms = ctx.now + KEY_RESEND_MS;
        pending.target = None;
        let outcome =
            KeyOutcome { scope: pending.scope.clone(), record: Some(pending.record.clone()) };
        if let Some(target) = target {
            ctx.send(&target, Body::KeyOutcome(outcome));
        }
    }

    /// Handles an acknowledgement of an outcome. If the sender does not own the key, the
    /// acknowledgement names the owner and the outcome is sent there.
    pub(crate) fn on_outcome_ack(&mut self, ctx: &mut Context<'_>, ack: &KeyOutcomeAck) {
        match ack.owner_vm.parse::<VmId>() {
            Ok(owner) => {
                if let Some(pending) = self.pending_outcomes.get_mut(&ack.claim_id) {
                    pending.target = Some(owner);
                    self.send_outcome(ctx, ack.claim_id);
                }
            }
            Err(_) => {
                self.pending_outcomes.remove(&ack.claim_id);
            }
        }
    }
}

/// Returns a refusal that says that the request may have run.
fn may_have_run(
    key: RequestKey,
    reason: RefusalReason,
    retry_after_ms: Option<u64>,
) -> ClaimOutcome {
    ClaimOutcome::Refused(key, Refusal { reason, verdict: Verdict::MayHaveRun, retry_after_ms })
}
