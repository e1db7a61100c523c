//! Idempotency keys: a request that names one runs at most once.
//!
//! Each key has a home zone, which depends on the configuration alone, and in it an owner and a
//! witness, the first two members of the acting view in rank. The owner lets a request go only
//! after the witness holds a copy of the claim. When the view changes, every member passes on
//! what it holds, and a new owner decides nothing until it has heard from all of them. So a claim
//! is forgotten before its time only when owner and witness are lost together.
//!
//! A claim whose outcome nobody reports is never taken back: after the time that the request may
//! take, its key answers "may have run".

use crate::context::Context;
use crate::event::{KeptAnswer, RequestKey};
use crate::limits::{CLAIM_RESEND_MS, CLAIM_WAIT_MS, KEY_OUTCOME_MS, KEY_RESEND_MS};
use crate::membership::{Activity, NO_VIEW, ViewId};
use crate::rendezvous;
use gypsumchute_proto::Message;
use gypsumchute_proto::peer::peer_frame::Body;
use gypsumchute_proto::peer::{
    KeyClaim, KeyClaimAnswer, KeyCopy, KeyCopyAck, KeyOutcome, KeyOutcomeAck, KeyRecord, KeyState,
};
use gypsumchute_units::{BootMs, Refusal, RefusalReason, Verdict, VmId, ZoneId};
use std::collections::BTreeMap;

/// Largest answer that is kept with a key, in bytes.
pub const MAX_KEPT_ANSWER_BYTES: usize = 8_192;
/// Bytes of records in one datagram.
const COPY_BYTES: usize = 32_768;

/// What became of a claim.
#[derive(Debug, Clone)]
pub(crate) enum ClaimOutcome {
    /// The key is this request's.
    Claimed(RequestKey),
    /// An earlier request with the key ran, and this is its answer.
    Replay(RequestKey, KeptAnswer),
    /// The request may not run.
    Refused(RequestKey, Refusal),
}

#[derive(Debug)]
struct Claim {
    key: RequestKey,
    scope: String,
    body_hash: u64,
    run_ms: u64,
    target: Option<VmId>,
    resend_ms: BootMs,
    until_ms: BootMs,
}

#[derive(Debug)]
struct PendingOutcome {
    scope: String,
    record: KeyRecord,
    target: Option<VmId>,
    resend_ms: BootMs,
    until_ms: BootMs,
}

#[derive(Debug, Clone)]
struct Held {
    record: KeyRecord,
    forget_ms: BootMs,
    run_until_ms: BootMs,
}

/// A copy on its way to another member, and the claim that waits for it.
#[derive(Debug)]
struct CopyOut {
    to: VmId,
    copy: KeyCopy,
    resend_ms: BootMs,
    answer_to: Option<(VmId, u64)>,
}

/// Keys that this VM claims, owns or witnesses.
#[derive(Debug, Default)]
pub(crate) struct Idempotency {
    held: BTreeMap<String, Held>,
    claims: BTreeMap<u64, Claim>,
    outcomes_out: BTreeMap<u64, PendingOutcome>,
    copies_out: BTreeMap<u64, CopyOut>,
    abandoned: BTreeMap<u64, (String, BootMs)>,
    /// The formation of a view for which each member has passed on what it held.
    handed_over: BTreeMap<VmId, (ViewId, ViewId)>,
    sent_view: ViewId,
    next_id: u64,
    decided: Vec<ClaimOutcome>,
}

fn resource(scope: &str) -> String {
    format!("key/{scope}")
}

/// The zone whose VMs keep a key.
fn home_zone<'a>(ctx: &Context<'a>, scope: &str) -> Option<&'a ZoneId> {
    rendezvous::owner(&resource(scope), ctx.config.zones.keys())
}

fn state_rank(state: KeyState) -> u8 {
    match state {
        KeyState::Done => 3,
        KeyState::MayHaveRun => 2,
        _ => 1,
    }
}

impl Idempotency {
    pub(crate) fn new(incarnation: u64) -> Self {
        Idempotency { next_id: incarnation, ..Idempotency::default() }
    }

    fn id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// What was decided since the last call.
    pub(crate) fn take_outcomes(&mut self) -> Vec<ClaimOutcome> {
        std::mem::take(&mut self.decided)
    }

    /// Claims a key for a request; returns the number of the claim.
    pub(crate) fn claim(
        &mut self,
        ctx: &mut Context<'_>,
        key: RequestKey,
        scope: String,
        body_hash: u64,
        run_ms: u64,
    ) -> u64 {
        let id = self.id();
        let claim = Claim {
            key,
            scope,
            body_hash,
            run_ms,
            target: None,
            resend_ms: ctx.now,
            until_ms: ctx.now + CLAIM_WAIT_MS,
        };
        self.claims.insert(id, claim);
        self.send_claim(ctx, id);
        id
    }

    /// Forgets a claim whose caller is gone. If it is granted all the same, it is released.
    pub(crate) fn cancel(&mut self, ctx: &Context<'_>, key: RequestKey) {
        let ids: Vec<u64> = due(&self.claims, |claim| claim.key == key);
        ids.into_iter().for_each(|id| self.abandon(ctx, id));
    }

    fn abandon(&mut self, ctx: &Context<'_>, id: u64) {
        if let Some(claim) = self.claims.remove(&id) {
            self.abandoned.insert(id, (claim.scope, ctx.now + KEY_OUTCOME_MS));
        }
    }

    /// This VM began to act: what it holds is passed on anew.
    pub(crate) fn on_activity(&mut self, activity: Activity) {
        if matches!(activity, Activity::Began(_)) {
            self.sent_view = NO_VIEW;
        }
    }

    /// Whom to ask about a key: its owner where this VM can tell, else its best guess.
    fn guess(&self, ctx: &Context<'_>, scope: &str) -> Option<VmId> {
        let zone = home_zone(ctx, scope)?;
        let resource = resource(scope);
        if *zone == ctx.me.zone {
            return ctx.members.owner(ctx.now, &resource).cloned();
        }
        let vms = ctx.list.of_zone(zone).filter(|(_, record)| !record.leaving);
        let ranked = rendezvous::ranked(&resource, vms.map(|(vm, _)| vm));
        let turn = (ctx.now.0 / (2 * CLAIM_RESEND_MS)) as usize;
        ranked.get(turn % ranked.len().max(1)).map(|vm| (*vm).clone())
    }

    fn send_claim(&mut self, ctx: &mut Context<'_>, id: u64) {
        let Some(claim) = self.claims.get(&id) else { return };
        let target = claim.target.clone().or_else(|| self.guess(ctx, &claim.scope));
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

    fn grant(
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

    fn store(&mut self, ctx: &Context<'_>, record: KeyRecord) {
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

    fn witness(&self, ctx: &Context<'_>, scope: &str) -> Option<VmId> {
        let view = ctx.members.active_view(ctx.now)?;
        let ranked = rendezvous::ranked(&resource(scope), view.members());
        ranked.get(1).map(|vm| (*vm).clone())
    }

    fn copy_to(
        &mut self,
        ctx: &mut Context<'_>,
        to: VmId,
        records: Vec<KeyRecord>,
        answer_to: Option<(VmId, u64)>,
    ) {
        let copy_id = self.id();
        let copy = KeyCopy { copy_id, records, ..KeyCopy::default() };
        self.send_copy(ctx, to, copy, answer_to);
    }

    fn send_copy(
        &mut self,
        ctx: &mut Context<'_>,
        to: VmId,
        copy: KeyCopy,
        answer_to: Option<(VmId, u64)>,
    ) {
        ctx.send(&to, Body::KeyCopy(copy.clone()));
        let resend_ms = ctx.now + KEY_RESEND_MS;
        self.copies_out.insert(copy.copy_id, CopyOut { to, copy, resend_ms, answer_to });
    }

    /// What this VM is to a key of its own zone.
    fn rank_here(&self, ctx: &Context<'_>, scope: &str) -> Rank {
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

    /// Whether every other member of the acting view has passed on what it held.
    fn has_all(&self, ctx: &Context<'_>) -> bool {
        let Some(view) = ctx.members.active_view(ctx.now) else { return false };
        let mut others = view.members().filter(|vm| **vm != ctx.me.vm);
        others.all(|vm| {
            let formation = (view.id(), ctx.members.previous_active(vm));
            self.handed_over.get(vm) == Some(&formation)
        })
    }

    /// An owner answers a claim of this VM.
    pub(crate) fn on_claim_answer(
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
        let decided = match answer.state() {
            KeyState::Granted => ClaimOutcome::Claimed(key),
            KeyState::Done if answer.status != 0 => {
                let kept = KeptAnswer {
                    status: answer.status,
                    content_type: answer.content_type.clone(),
                    body: answer.answer.clone(),
                    whole: true,
                };
                ClaimOutcome::Replay(key, kept)
            }
            KeyState::Running => refused(key, RefusalReason::KeyInUse, Some(1_000)),
            KeyState::BodyDiffers => {
                ClaimOutcome::Refused(key, Refusal::not_run(RefusalReason::KeyReused))
            }
            _ => refused(key, RefusalReason::AlreadyRan, None),
        };
        self.decided.push(decided);
    }

    /// Reports the outcome of a request that a claim of this VM was for.
    pub(crate) fn report(
        &mut self,
        ctx: &mut Context<'_>,
        claim_id: u64,
        scope: String,
        answer: Option<KeptAnswer>,
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
            runner_vm: ctx.me.vm.to_string(),
            runner_incarnation: ctx.me.incarnation,
            ..KeyRecord::default()
        };
        if let Some(answer) = answer.filter(|a| a.whole && a.body.len() <= MAX_KEPT_ANSWER_BYTES) {
            record.status = answer.status;
            record.content_type = answer.content_type;
            record.answer = answer.body;
        }
        let pending = PendingOutcome {
            scope,
            record,
            target: None,
            resend_ms: ctx.now,
            until_ms: ctx.now + KEY_OUTCOME_MS,
        };
        self.outcomes_out.insert(claim_id, pending);
        self.send_outcome(ctx, claim_id);
    }

    fn send_outcome(&mut self, ctx: &mut Context<'_>, claim_id: u64) {
        let Some(pending) = self.outcomes_out.get(&claim_id) else { return };
        let target = pending.target.clone().or_else(|| self.guess(ctx, &pending.scope));
        let Some(pending) = self.outcomes_out.get_mut(&claim_id) else { return };
        pending.resend_ms = ctx.now + KEY_RESEND_MS;
        pending.target = None;
        let outcome =
            KeyOutcome { scope: pending.scope.clone(), record: Some(pending.record.clone()) };
        if let Some(target) = target {
            ctx.send(&target, Body::KeyOutcome(outcome));
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

    /// An owner took in an outcome, or names the VM that owns the key.
    pub(crate) fn on_outcome_ack(&mut self, ctx: &mut Context<'_>, ack: &KeyOutcomeAck) {
        match ack.owner_vm.parse::<VmId>() {
            Ok(owner) => {
                if let Some(pending) = self.outcomes_out.get_mut(&ack.claim_id) {
                    pending.target = Some(owner);
                    self.send_outcome(ctx, ack.claim_id);
                }
            }
            Err(_) => {
                self.outcomes_out.remove(&ack.claim_id);
            }
        }
    }

    /// Another member passes records on.
    pub(crate) fn on_copy(&mut self, ctx: &mut Context<'_>, from: &VmId, copy: &KeyCopy) {
        for record in &copy.records {
            let same = self.held.get(&record.scope).is_some_and(|held| {
                held.record.claim_id == record.claim_id && held.record.runner_vm == record.runner_vm
            });
            match record.state() {
                KeyState::Released if same => {
                    self.held.remove(&record.scope);
                }
                KeyState::Released => {}
                _ if same || copy.view == NO_VIEW => self.store(ctx, record.clone()),
                _ => self.merge(ctx, record),
            }
        }
        if copy.last {
            self.handed_over.insert(from.clone(), (copy.view, copy.previous_active));
        }
        ctx.send(from, Body::KeyCopyAck(KeyCopyAck { copy_id: copy.copy_id }));
    }

    /// Takes in a record of a former owner or witness. Where two claims of one key are known, one
    /// was released and the notice lost; nobody can tell which, so neither is run again.
    fn merge(&mut self, ctx: &Context<'_>, record: &KeyRecord) {
        match self.held.get_mut(&record.scope) {
            None => self.store(ctx, record.clone()),
            Some(held) if state_rank(held.record.state()) >= state_rank(KeyState::MayHaveRun) => {}
            Some(_) if record.state() == KeyState::Done => self.store(ctx, record.clone()),
            Some(held) => held.record.set_state(KeyState::MayHaveRun),
        }
    }

    /// Another member holds a copy.
    pub(crate) fn on_copy_ack(&mut self, ctx: &mut Context<'_>, ack: &KeyCopyAck) {
        let Some(copy) = self.copies_out.remove(&ack.copy_id) else { return };
        if let Some((asker, ask_id)) = copy.answer_to {
            let still_owner =
                copy.copy.records.first().is_some_and(|record| {
                    matches!(self.rank_here(ctx, &record.scope), Rank::Owner)
                });
            if still_owner {
                send_granted(ctx, &asker, ask_id);
            }
        }
    }

    /// Passes on what this VM holds when it comes to support another view.
    fn hand_over(&mut self, ctx: &mut Context<'_>) {
        let Some(view) = ctx.members.active_view(ctx.now) else { return };
        if view.id() == self.sent_view {
            return;
        }
        self.sent_view = view.id();
        self.copies_out.clear();
        let others: Vec<VmId> = view.members().filter(|vm| **vm != ctx.me.vm).cloned().collect();
        let mut batches: BTreeMap<VmId, Vec<KeyRecord>> =
            others.into_iter().map(|vm| (vm, Vec::new())).collect();
        for held in self.held.values() {
            let keepers = rendezvous::ranked(&resource(&held.record.scope), view.members());
            for keeper in keepers.into_iter().take(2) {
                if let Some(batch) = batches.get_mut(keeper) {
                    let keep_ms = ctx.now.until(held.forget_ms);
                    let run_ms = ctx.now.until(held.run_until_ms);
                    batch.push(KeyRecord { keep_ms, run_ms, ..held.record.clone() });
                }
            }
        }
        let view_id = view.id();
        for (to, records) in batches {
            self.send_batches(ctx, &to, view_id, records);
        }
    }

    fn send_batches(
        &mut self,
        ctx: &mut Context<'_>,
        to: &VmId,
        view: ViewId,
        records: Vec<KeyRecord>,
    ) {
        let mut chunks: Vec<Vec<KeyRecord>> = vec![Vec::new()];
        let mut bytes = 0;
        for record in records {
            bytes += record.encoded_len();
            if bytes > COPY_BYTES {
                bytes = record.encoded_len();
                chunks.push(Vec::new());
            }
            chunks.last_mut().expect("begins with one").push(record);
        }
        let previous_active = ctx.members.previous_active(&ctx.me.vm);
        // The last one follows once the others are acknowledged, see `on_tick`.
        let count = chunks.len();
        for (index, records) in chunks.into_iter().enumerate() {
            let copy_id = self.id();
            let last = index + 1 == count;
            let copy = KeyCopy { copy_id, view, last, records, previous_active };
            match last && count > 1 {
                true => {
                    let resend_ms = ctx.now + KEY_RESEND_MS;
                    let out = CopyOut { to: to.clone(), copy, resend_ms, answer_to: None };
                    self.copies_out.insert(copy_id, out);
                }
                false => self.send_copy(ctx, to.clone(), copy, None),
            }
        }
    }

    /// Time has passed.
    pub(crate) fn on_tick(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.now;
        self.hand_over(ctx);
        self.held.retain(|_, held| held.forget_ms > now);
        self.abandoned.retain(|_, (_, until_ms)| *until_ms > now);
        for id in due(&self.claims, |claim| now >= claim.resend_ms) {
            let late = self.claims.get(&id).filter(|claim| now >= claim.until_ms);
            match late.map(|claim| claim.key) {
                Some(key) => {
                    self.abandon(ctx, id);
                    let reason = RefusalReason::KeyOwnerUnavailable;
                    let refusal = Refusal::not_run_until(reason, 1_000);
                    self.decided.push(ClaimOutcome::Refused(key, refusal));
                }
                None => self.send_claim(ctx, id),
            }
        }
        for id in due(&self.outcomes_out, |pending| now >= pending.resend_ms) {
            self.send_outcome(ctx, id);
        }
        self.outcomes_out.retain(|_, pending| pending.until_ms > now);
        self.resend_copies(ctx);
    }

    fn resend_copies(&mut self, ctx: &mut Context<'_>) {
        let members = ctx.members.other_members();
        self.copies_out.retain(|_, copy| members.contains(&copy.to));
        for id in due(&self.copies_out, |copy| ctx.now >= copy.resend_ms) {
            let copy = &self.copies_out[&id];
            let earlier = self.copies_out.range(..id).any(|(_, other)| {
                other.to == copy.to && other.copy.view == copy.copy.view && copy.copy.last
            });
            let (to, message) = (copy.to.clone(), copy.copy.clone());
            if let Some(copy) = self.copies_out.get_mut(&id) {
                copy.resend_ms = ctx.now + KEY_RESEND_MS;
            }
            if !earlier {
                ctx.send(&to, Body::KeyCopy(message));
            }
        }
    }

    /// Outcomes not yet acknowledged.
    pub(crate) fn unsettled(&self) -> usize {
        self.outcomes_out.len()
    }
}

enum Rank {
    Owner,
    Other(VmId),
    Unknown,
}

fn due<T>(map: &BTreeMap<u64, T>, is_due: impl Fn(&T) -> bool) -> Vec<u64> {
    map.iter().filter(|(_, item)| is_due(item)).map(|(id, _)| *id).collect()
}

fn refused(key: RequestKey, reason: RefusalReason, retry_after_ms: Option<u64>) -> ClaimOutcome {
    ClaimOutcome::Refused(key, Refusal { reason, verdict: Verdict::MayHaveRun, retry_after_ms })
}

fn send_granted(ctx: &mut Context<'_>, to: &VmId, ask_id: u64) {
    let state = KeyState::Granted as i32;
    let answer = KeyClaimAnswer { ask_id, state, ..KeyClaimAnswer::default() };
    ctx.send(to, Body::KeyClaimAnswer(answer));
}
