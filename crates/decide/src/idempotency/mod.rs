//! Idempotency keys: a request with a key runs at most once.
//!
//! Each key has a home zone, which depends on the configuration alone. In that zone the two
//! highest-ranked members of the active view are the owner and the replica of the key. The owner
//! grants a claim only after the replica holds a copy of it. When the view changes, every member
//! sends its records to the new owners and replicas, and a new owner answers no claim before it
//! has received the records of all members. So a claim is lost before it expires only if owner and
//! replica are lost together.
//!
//! A claim without a reported outcome is never released: once the maximum run time of the request
//! has passed, the key is answered with "may have run".

mod claims;
mod owner;
mod replication;

use crate::context::Context;
use crate::event::{RequestKey, StoredAnswer};
use crate::limits::CLAIM_TIMEOUT_MS;
use crate::membership::Activity;
use crate::view::{NO_VIEW, ViewId};
use gypsumchute_proto::peer::{KeyCopy, KeyRecord, KeyState};
use gypsumchute_units::rendezvous;
use gypsumchute_units::{BootMs, Refusal, RefusalReason, VmId, ZoneId};
use std::collections::BTreeMap;

/// Maximum size of an answer that is stored with its key, in bytes. After a larger answer, requests
/// with the same key are refused as already run.
pub const MAX_KEPT_ANSWER_BYTES: usize = 8_192;
/// Maximum size of the records in one datagram, in bytes.
const COPY_BYTES: usize = 32_768;

/// Outcome of a claim.
#[derive(Debug, Clone)]
pub(crate) enum ClaimOutcome {
    /// The claim was granted: the request may run.
    Claimed(RequestKey),
    /// An earlier request with the same key ran and has this answer.
    Replay(RequestKey, StoredAnswer),
    /// The claim was refused: the request must not run.
    Refused(RequestKey, Refusal),
}

/// A claim of this VM that has no answer yet.
#[derive(Debug)]
struct Claim {
    /// Request that needs the claim.
    key: RequestKey,
    /// Customer, route and idempotency key of the request.
    scope: String,
    /// Fingerprint of the request. A later request with the same scope and another fingerprint is
    /// refused.
    body_hash: u64,
    /// Maximum run time of the request, in milliseconds.
    run_ms: u64,
    /// Owner of the key, if another VM has named it.
    target: Option<VmId>,
    /// Time at which the claim is sent again.
    resend_ms: BootMs,
    /// Time at which the claim fails.
    until_ms: BootMs,
}

/// An outcome that the owner of the key has not acknowledged yet.
#[derive(Debug)]
struct PendingOutcome {
    scope: String,
    record: KeyRecord,
    /// Owner of the key, if another VM has named it.
    target: Option<VmId>,
    /// Time at which the outcome is sent again.
    resend_ms: BootMs,
    /// Time at which the outcome is dropped.
    until_ms: BootMs,
}

/// A record that this VM stores as the owner or the replica of a key.
#[derive(Debug, Clone)]
struct StoredRecord {
    record: KeyRecord,
    /// Time at which the record expires.
    expires_ms: BootMs,
    /// Time until which the request may be running.
    run_until_ms: BootMs,
}

/// A copy of records that another member has not acknowledged yet.
#[derive(Debug)]
struct PendingCopy {
    to: VmId,
    copy: KeyCopy,
    /// Time at which the copy is sent again.
    resend_ms: BootMs,
    /// Claiming VM and id of the claim to grant once the copy is acknowledged.
    waiting_claim: Option<(VmId, u64)>,
}

/// State of the idempotency keys that this VM claims, owns or replicates.
#[derive(Debug, Default)]
pub(crate) struct Idempotency {
    /// Records that this VM owns or replicates, by scope.
    records: BTreeMap<String, StoredRecord>,
    /// Unanswered claims, by claim id.
    claims: BTreeMap<u64, Claim>,
    /// Unacknowledged outcomes, by claim id.
    pending_outcomes: BTreeMap<u64, PendingOutcome>,
    /// Unacknowledged copies, by copy id.
    pending_copies: BTreeMap<u64, PendingCopy>,
    /// Abandoned claims that may still be granted, by claim id: scope, and time at which the entry
    /// expires.
    abandoned: BTreeMap<u64, (String, BootMs)>,
    /// Last activation (view and previous view) of each member for which the member has sent all
    /// records that concern this VM.
    completed_handovers: BTreeMap<VmId, (ViewId, ViewId)>,
    /// View to whose members this VM has sent its records; [`NO_VIEW`] if they must be sent again.
    handed_over_view: ViewId,
    /// Last id given to a claim or a copy.
    last_id: u64,
    /// Outcomes since the last call of [`Idempotency::take_outcomes`].
    outcomes: Vec<ClaimOutcome>,
}

/// Returns the resource name for which the VMs are ranked, to find the owner of a key.
fn resource(scope: &str) -> String {
    format!("key/{scope}")
}

/// Returns the zone whose VMs own and replicate a key.
fn home_zone<'a>(ctx: &Context<'a>, scope: &str) -> Option<&'a ZoneId> {
    rendezvous::owner(&resource(scope), ctx.config.zones.keys())
}

/// Returns the precedence of a state. The record of a claim never changes to a state of lower
/// precedence.
fn state_rank(state: KeyState) -> u8 {
    match state {
        KeyState::Done => 3,
        KeyState::MayHaveRun => 2,
        _ => 1,
    }
}

impl Idempotency {
    /// Returns the state without keys. Ids of claims and copies start at the incarnation, so that
    /// they are not reused after a restart.
    pub(crate) fn new(incarnation: u64) -> Self {
        Idempotency { last_id: incarnation, ..Idempotency::default() }
    }

    /// Returns a new id for a claim or a copy.
    fn new_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Returns the outcomes of claims since the last call.
    pub(crate) fn take_outcomes(&mut self) -> Vec<ClaimOutcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// Claims a key for a request; returns the id of the claim.
    pub(crate) fn claim(
        &mut self,
        ctx: &mut Context<'_>,
        key: RequestKey,
        scope: String,
        body_hash: u64,
        run_ms: u64,
    ) -> u64 {
        let id = self.new_id();
        let claim = Claim {
            key,
            scope,
            body_hash,
            run_ms,
            target: None,
            resend_ms: ctx.now,
            until_ms: ctx.now + CLAIM_TIMEOUT_MS,
        };
        self.claims.insert(id, claim);
        self.send_claim(ctx, id);
        id
    }

    /// Makes this VM send its records again when a view becomes active.
    pub(crate) fn on_activity(&mut self, activity: Activity) {
        if matches!(activity, Activity::Began(_)) {
            self.handed_over_view = NO_VIEW;
        }
    }

    /// Sends and resends what is due; drops what has expired.
    pub(crate) fn on_tick(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.now;
        self.hand_over(ctx);
        self.records.retain(|_, stored| stored.expires_ms > now);
        self.abandoned.retain(|_, (_, until_ms)| *until_ms > now);
        for id in due(&self.claims, |claim| now >= claim.resend_ms) {
            let expired = self.claims.get(&id).filter(|claim| now >= claim.until_ms);
            match expired.map(|claim| claim.key) {
                Some(key) => {
                    self.abandon(ctx, id);
                    let reason = RefusalReason::KeyOwnerUnavailable;
                    let refusal = Refusal::not_run_retry_after(reason, 1_000);
                    self.outcomes.push(ClaimOutcome::Refused(key, refusal));
                }
                None => self.send_claim(ctx, id),
            }
        }
        for id in due(&self.pending_outcomes, |pending| now >= pending.resend_ms) {
            self.send_outcome(ctx, id);
        }
        self.pending_outcomes.retain(|_, pending| pending.until_ms > now);
        self.resend_copies(ctx);
    }

    /// Returns the number of outcomes that are not acknowledged yet.
    pub(crate) fn pending_outcome_count(&self) -> usize {
        self.pending_outcomes.len()
    }
}

/// Returns the ids of the items for which `is_due` holds.
fn due<T>(map: &BTreeMap<u64, T>, is_due: impl Fn(&T) -> bool) -> Vec<u64> {
    map.iter().filter(|(_, item)| is_due(item)).map(|(id, _)| *id).collect()
}
