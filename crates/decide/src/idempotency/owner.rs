//! Server side of idempotency keys: the owner of a key grants claims and records outcomes.

use super::{Idempotency, StoredRecord, home_zone, resource, state_rank};
use crate::context::Context;
use gypsumchute_proto::peer::peer_frame::Body;
use gypsumchute_proto::peer::{
    KeyClaim, KeyClaimAnswer, KeyOutcome, KeyOutcomeAck, KeyRecord, KeyState,
};
use gypsumchute_units::VmId;
use gypsumchute_units::rendezvous;

impl Idempotency {
    /// Handles a claim of a key by another VM or by this one: grants it if the key has no record,
    /// repeats the grant if the claim was sent again, and otherwise answers with the state of the
    /// key. Without a known owner that has the records of all members, a claim is not answered.
    pub(crate) fn on_claim(
        &mut self,
        ctx: &mut Context<'_>,
        from: &VmId,
        from_incarnation: u64,
        claim: &KeyClaim,
    ) {
        let mut answer = KeyClaimAnswer { ask_id: claim.ask_id, ..KeyClaimAnswer::default() };
        match self.role_for_key(ctx, &claim.scope) {
            Role::Owner => {}
            Role::Other(owner) => {
                answer.state = KeyState::NotOwner as i32;
                answer.owner_vm = owner.to_string();
                return ctx.send(from, Body::KeyClaimAnswer(answer));
            }
            Role::Unknown => return,
        }
        let now = ctx.now;
        let stored = self.records.get(&claim.scope).filter(|stored| stored.expires_ms > now);
        let Some(stored) = stored else {
            return self.grant(ctx, from, from_incarnation, claim);
        };
        let record = &stored.record;
        let is_same_claim = record.runner_vm == from.as_str() && record.claim_id == claim.ask_id;
        if is_same_claim && record.state() == KeyState::Running {
            let copy_is_pending = self.pending_copies.values().any(|copy| {
                copy.waiting_claim
                    .as_ref()
                    .is_some_and(|(vm, id)| vm == from && *id == claim.ask_id)
            });
            if !copy_is_pending {
                answer.state = KeyState::Granted as i32;
                ctx.send(from, Body::KeyClaimAnswer(answer));
            }
            return;
        }
        let state = match record.state() {
            _ if record.body_hash != claim.body_hash => KeyState::BodyDiffers,
            KeyState::Running if stored.run_until_ms <= now => KeyState::MayHaveRun,
            state => state,
        };
        answer.state = state as i32;
        answer.status = record.status;
        answer.content_type = record.content_type.clone();
        answer.answer = record.answer.clone();
        ctx.send(from, Body::KeyClaimAnswer(answer));
    }

    /// Stores a claim and grants it, after the replica of the key has acknowledged a copy. In a
    /// view of one member the key has no replica, and the claim is granted at once.
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
        let waiting_claim = (from.clone(), claim.ask_id);
        match self.replica(ctx, &claim.scope) {
            Some(replica) => self.replicate(ctx, replica, vec![record], Some(waiting_claim)),
            None => send_granted(ctx, from, claim.ask_id),
        }
    }

    /// Stores a record, unless a later state of the same claim is already stored.
    pub(super) fn store(&mut self, ctx: &Context<'_>, record: KeyRecord) {
        let expires_ms = ctx.now + record.keep_ms;
        let run_until_ms = ctx.now + record.run_ms;
        let current = self.records.get(&record.scope);
        let is_stale = current.is_some_and(|stored| {
            stored.record.claim_id == record.claim_id
                && state_rank(stored.record.state()) > state_rank(record.state())
        });
        if !is_stale {
            let stored = StoredRecord { record, expires_ms, run_until_ms };
            self.records.insert(stored.record.scope.clone(), stored);
        }
    }

    /// Returns the replica of a key: the second-ranked member of the active view.
    pub(super) fn replica(&self, ctx: &Context<'_>, scope: &str) -> Option<VmId> {
        let view = ctx.membership.active_view(ctx.now)?;
        let ranked = rendezvous::rank_candidates(&resource(scope), view.members());
        ranked.get(1).map(|vm| (*vm).clone())
    }

    /// Returns the role of this VM for a key.
    pub(super) fn role_for_key(&self, ctx: &Context<'_>, scope: &str) -> Role {
        let is_home_zone = home_zone(ctx, scope) == Some(&ctx.identity.zone);
        let Some(view) = ctx.membership.active_view(ctx.now).filter(|_| is_home_zone) else {
            return Role::Unknown;
        };
        match rendezvous::owner(&resource(scope), view.members()) {
            Some(owner) if *owner != ctx.identity.vm => Role::Other(owner.clone()),
            Some(_) if self.has_all_handovers(ctx) => Role::Owner,
            _ => Role::Unknown,
        }
    }

    /// Handles the outcome of a request, reported by the VM that claimed the key: acknowledges the
    /// outcome, stores it (or removes the record of a request that did not run) and sends it to the
    /// replica.
    pub(crate) fn on_outcome(&mut self, ctx: &mut Context<'_>, from: &VmId, outcome: &KeyOutcome) {
        let Some(reported) = &outcome.record else { return };
        let mut ack = KeyOutcomeAck {
            scope: outcome.scope.clone(),
            claim_id: reported.claim_id,
            owner_vm: String::new(),
        };
        match self.role_for_key(ctx, &outcome.scope) {
            Role::Owner => {}
            Role::Other(owner) => {
                ack.owner_vm = owner.to_string();
                return ctx.send(from, Body::KeyOutcomeAck(ack));
            }
            Role::Unknown => return,
        }
        ctx.send(from, Body::KeyOutcomeAck(ack));
        let Some(stored) = self.records.get(&outcome.scope) else { return };
        let is_same_claim = stored.record.claim_id == reported.claim_id
            && stored.record.runner_vm == reported.runner_vm;
        if !is_same_claim || stored.record.state() == KeyState::Done {
            return;
        }
        let record = KeyRecord {
            state: reported.state,
            status: reported.status,
            content_type: reported.content_type.clone(),
            answer: reported.answer.clone(),
            ..stored.record.clone()
        };
        match reported.state() {
            KeyState::Released => {
                self.records.remove(&outcome.scope);
            }
            _ => self.store(ctx, record.clone()),
        }
        if let Some(replica) = self.replica(ctx, &outcome.scope) {
            self.replicate(ctx, replica, vec![record], None);
        }
    }
}

/// Answers a claim with a grant.
pub(super) fn send_granted(ctx: &mut Context<'_>, to: &VmId, ask_id: u64) {
    let state = KeyState::Granted as i32;
    let answer = KeyClaimAnswer { ask_id, state, ..KeyClaimAnswer::default() };
    ctx.send(to, Body::KeyClaimAnswer(answer));
}

/// Role of this VM for a key.
pub(super) enum Role {
    /// This VM owns the key and has the records of all members.
    Owner,
    /// The named VM owns the key.
    Other(VmId),
    /// The owner is unknown, or this VM owns the key and does not have all records yet.
    Unknown,
}
