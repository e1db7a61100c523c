//! The owner's side: which keys are taken, and what their requests came to.

use super::{Held, Idempotency, home_zone, resource, state_rank};
use crate::context::Context;
use gypsumchute_proto::peer::peer_frame::Body;
use gypsumchute_proto::peer::{
    KeyClaim, KeyClaimAnswer, KeyOutcome, KeyOutcomeAck, KeyRecord, KeyState,
};
use gypsumchute_units::VmId;
use gypsumchute_units::rendezvous;

impl Idempotency {
    /// Another VM, or this one, claims a key.
    pub(crate) fn on_claim(
        &mut self,
        ctx: &mut Context<'_>,
        from: &VmId,
        from_incarnation: u64,
        claim: &KeyClaim,
    ) {
        let mut answer = KeyClaimAnswer { ask_id: claim.ask_id, ..KeyClaimAnswer::default() };
        match self.rank_here(ctx, &claim.scope) {
            Rank::Owner => {}
            Rank::Other(owner) => {
                answer.state = KeyState::NotOwner as i32;
                answer.owner_vm = owner.to_string();
                return ctx.send(from, Body::KeyClaimAnswer(answer));
            }
            Rank::Unknown => return,
        }
        let now = ctx.now;
        let held = self.held.get(&claim.scope).filter(|held| held.forget_ms > now);
        let Some(held) = held else {
            return self.grant(ctx, from, from_incarnation, claim);
        };
        let record = &held.record;
        let same = record.runner_vm == from.as_str() && record.claim_id == claim.ask_id;
        if same && record.state() == KeyState::Running {
            let copying = self.copies_out.values().any(|copy| {
                copy.answer_to.as_ref().is_some_and(|(vm, id)| vm == from && *id == claim.ask_id)
            });
            if !copying {
                answer.state = KeyState::Granted as i32;
                ctx.send(from, Body::KeyClaimAnswer(answer));
            }
            return;
        }
        let state = match record.state() {
            _ if record.body_hash != claim.body_hash => KeyState::BodyDiffers,
            KeyState::Running if held.run_until_ms <= now => KeyState::MayHaveRun,
            state => state,
        };
        answer.state = state as i32;
        answer.status = record.status;
        answer.content_type = record.content_type.clone();
        answer.answer = record.answer.clone();
        ctx.send(from, Body::KeyClaimAnswer(answer));
    }

    pub(super) fn grant(
        &mut self,
        ctx: &mut Context<'_>,
        from: &VmId,
        from_incarnation: u64,
        claim: &KeyClaim,
    ) {
        let record = KeyRecord {
            scope: claim.scope.clone(),
            body_hash: claim.body_hash,
            state: KeyState::Running as i32,
            keep_ms: ctx.config.fleet.idempotency_keep_ms + claim.run_ms,
            runner_vm: from.to_string(),
            runner_incarnation: from_incarnation,
            claim_id: claim.ask_id,
            run_ms: claim.run_ms,
            ..KeyRecord::default()
        };
        self.store(ctx, record.clone());
        let answer_to = (from.clone(), claim.ask_id);
        match self.witness(ctx, &claim.scope) {
            Some(witness) => self.copy_to(ctx, witness, vec![record], Some(answer_to)),
            None => send_granted(ctx, from, claim.ask_id),
        }
    }

    pub(super) fn store(&mut self, ctx: &Context<'_>, record: KeyRecord) {
        let forget_ms = ctx.now + record.keep_ms;
        let run_until_ms = ctx.now + record.run_ms;
        let known = self.held.get(&record.scope);
        let older = known.is_some_and(|held| {
            held.record.claim_id == record.claim_id
                && state_rank(held.record.state()) > state_rank(record.state())
        });
        if !older {
            let held = Held { record, forget_ms, run_until_ms };
            self.held.insert(held.record.scope.clone(), held);
        }
    }

    pub(super) fn witness(&self, ctx: &Context<'_>, scope: &str) -> Option<VmId> {
        let view = ctx.members.active_view(ctx.now)?;
        let ranked = rendezvous::ranked(&resource(scope), view.members());
        ranked.get(1).map(|vm| (*vm).clone())
    }

    /// What this VM is to a key of its own zone.
    pub(super) fn rank_here(&self, ctx: &Context<'_>, scope: &str) -> Rank {
        let here = home_zone(ctx, scope) == Some(&ctx.me.zone);
        let Some(view) = ctx.members.active_view(ctx.now).filter(|_| here) else {
            return Rank::Unknown;
        };
        match rendezvous::owner(&resource(scope), view.members()) {
            Some(owner) if *owner != ctx.me.vm => Rank::Other(owner.clone()),
            Some(_) if self.has_all(ctx) => Rank::Owner,
            _ => Rank::Unknown,
        }
    }

    /// A runner reports an outcome to this VM, which owns the key.
    pub(crate) fn on_outcome(&mut self, ctx: &mut Context<'_>, from: &VmId, outcome: &KeyOutcome) {
        let Some(reported) = &outcome.record else { return };
        let mut ack = KeyOutcomeAck {
            scope: outcome.scope.clone(),
            claim_id: reported.claim_id,
            owner_vm: String::new(),
        };
        match self.rank_here(ctx, &outcome.scope) {
            Rank::Owner => {}
            Rank::Other(owner) => {
                ack.owner_vm = owner.to_string();
                return ctx.send(from, Body::KeyOutcomeAck(ack));
            }
            Rank::Unknown => return,
        }
        ctx.send(from, Body::KeyOutcomeAck(ack));
        let Some(held) = self.held.get(&outcome.scope) else { return };
        let ours = held.record.claim_id == reported.claim_id
            && held.record.runner_vm == reported.runner_vm;
        if !ours || held.record.state() == KeyState::Done {
            return;
        }
        let record = KeyRecord {
            state: reported.state,
            status: reported.status,
            content_type: reported.content_type.clone(),
            answer: reported.answer.clone(),
            ..held.record.clone()
        };
        match reported.state() {
            KeyState::Released => {
                self.held.remove(&outcome.scope);
            }
            _ => self.store(ctx, record.clone()),
        }
        if let Some(witness) = self.witness(ctx, &outcome.scope) {
            self.copy_to(ctx, witness, vec![record], None);
        }
    }
}

pub(super) fn send_granted(ctx: &mut Context<'_>, to: &VmId, ask_id: u64) {
    let state = KeyState::Granted as i32;
    let answer = KeyClaimAnswer { ask_id, state, ..KeyClaimAnswer::default() };
    ctx.send(to, Body::KeyClaimAnswer(answer));
}

/// What this VM is to a key.
pub(super) enum Rank {
    Owner,
    Other(VmId),
    Unknown,
}
