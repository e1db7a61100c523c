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

mod claims;
mod handover;
mod keeper;

use crate::context::Context;
use crate::event::{KeptAnswer, RequestKey};
use crate::limits::CLAIM_WAIT_MS;
use crate::membership::Activity;
use crate::view::{NO_VIEW, ViewId};
use gypsumchute_proto::peer::{KeyCopy, KeyRecord, KeyState};
use gypsumchute_units::rendezvous;
use gypsumchute_units::{BootMs, Refusal, RefusalReason, VmId, ZoneId};
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

    /// This VM began to act: what it holds is passed on anew.
    pub(crate) fn on_activity(&mut self, activity: Activity) {
        if matches!(activity, Activity::Began(_)) {
            self.sent_view = NO_VIEW;
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

    /// Outcomes not yet acknowledged.
    pub(crate) fn unsettled(&self) -> usize {
        self.outcomes_out.len()
    }
}

fn due<T>(map: &BTreeMap<u64, T>, is_due: impl Fn(&T) -> bool) -> Vec<u64> {
    map.iter().filter(|(_, item)| is_due(item)).map(|(id, _)| *id).collect()
}
