//! Replication of records: to the replica of a key, and to new owners and replicas when the view
//! changes.

use super::owner::{Role, send_granted};
use super::{COPY_BYTES, Idempotency, PendingCopy, due, resource, state_rank};
use crate::context::Context;
use crate::limits::KEY_RESEND_MS;
use crate::view::{NO_VIEW, ViewId};
use gypsumchute_proto::Message;
use gypsumchute_proto::peer::peer_frame::Body;
use gypsumchute_proto::peer::{KeyCopy, KeyCopyAck, KeyRecord, KeyState};
use gypsumchute_units::VmId;
use gypsumchute_units::rendezvous;
use std::collections::BTreeMap;

impl Idempotency {
    /// Sends records to one member and resends them until they are acknowledged. The claim in
    /// `waiting_claim` is granted on acknowledgement.
    pub(super) fn replicate(
        &mut self,
        ctx: &mut Context<'_>,
        to: VmId,
        records: Vec<KeyRecord>,
        waiting_claim: Option<(VmId, u64)>,
    ) {
        let copy_id = self.new_id();
        let copy = KeyCopy { copy_id, records, ..KeyCopy::default() };
        self.send_copy(ctx, to, copy, waiting_claim);
    }

    /// Sends a copy and stores it for resending.
    pub(super) fn send_copy(
        &mut self,
        ctx: &mut Context<'_>,
        to: VmId,
        copy: KeyCopy,
        waiting_claim: Option<(VmId, u64)>,
    ) {
        ctx.send(&to, Body::KeyCopy(copy.clone()));
        let resend_ms = ctx.now + KEY_RESEND_MS;
        self.pending_copies
            .insert(copy.copy_id, PendingCopy { to, copy, resend_ms, waiting_claim });
    }

    /// Reports whether every other member of the active view has sent all its records to this VM.
    pub(super) fn has_all_handovers(&self, ctx: &Context<'_>) -> bool {
        let Some(view) = ctx.membership.active_view(ctx.now) else { return false };
        let mut others = view.members().filter(|vm| **vm != ctx.identity.vm);
        others.all(|vm| {
            let activation = (view.id(), ctx.membership.previous_active_view(vm));
            self.completed_handovers.get(vm) == Some(&activation)
        })
    }

    /// Handles a copy of records from another member. A record of the stored claim, or any record
    /// from the current owner, replaces the stored one unless its state has a lower precedence. A
    /// record of another claim from a handover is merged. Handovers name their view; copies from
    /// the owner to the replica have [`NO_VIEW`].
    pub(crate) fn on_copy(&mut self, ctx: &mut Context<'_>, from: &VmId, copy: &KeyCopy) {
        for record in &copy.records {
            let is_same_claim = self.records.get(&record.scope).is_some_and(|stored| {
                stored.record.claim_id == record.claim_id
                    && stored.record.runner_vm == record.runner_vm
            });
            match record.state() {
                KeyState::Released if is_same_claim => {
                    self.records.remove(&record.scope);
                }
                KeyState::Released => {}
                _ if is_same_claim || copy.view == NO_VIEW => self.store(ctx, record.clone()),
                _ => self.merge(ctx, record),
            }
        }
        if copy.last {
            self.completed_handovers.insert(from.clone(), (copy.view, copy.previous_active));
        }
        ctx.send(from, Body::KeyCopyAck(KeyCopyAck { copy_id: copy.copy_id }));
    }

    /// Merges a record from a previous owner or replica. If two different claims of one key are
    /// known, one of them was released and the notice was lost. Which one is unknown, so the key
    /// is marked as "may have run" and no request runs again under it.
    pub(super) fn merge(&mut self, ctx: &Context<'_>, record: &KeyRecord) {
        match self.records.get_mut(&record.scope) {
            None => self.store(ctx, record.clone()),
            Some(stored)
                if state_rank(stored.record.state()) >= state_rank(KeyState::MayHaveRun) => {}
            Some(_) if record.state() == KeyState::Done => self.store(ctx, record.clone()),
            Some(stored) => stored.record.set_state(KeyState::MayHaveRun),
        }
    }

    /// Handles the acknowledgement of a copy: grants the claim that waits for it, if this VM still
    /// owns the key.
    pub(crate) fn on_copy_ack(&mut self, ctx: &mut Context<'_>, ack: &KeyCopyAck) {
        let Some(copy) = self.pending_copies.remove(&ack.copy_id) else { return };
        if let Some((claimer, ask_id)) = copy.waiting_claim {
            let still_owner =
                copy.copy.records.first().is_some_and(|record| {
                    matches!(self.role_for_key(ctx, &record.scope), Role::Owner)
                });
            if still_owner {
                send_granted(ctx, &claimer, ask_id);
            }
        }
    }

    /// Sends the records of this VM to the owners and replicas of a newly active view. Every other
    /// member receives at least one copy, which may be empty, so that it can tell when it has all
    /// records.
    pub(super) fn hand_over(&mut self, ctx: &mut Context<'_>) {
        let Some(view) = ctx.membership.active_view(ctx.now) else { return };
        if view.id() == self.handed_over_view {
            return;
        }
        self.handed_over_view = view.id();
        self.pending_copies.clear();
        let others: Vec<VmId> =
            view.members().filter(|vm| **vm != ctx.identity.vm).cloned().collect();
        let mut batches: BTreeMap<VmId, Vec<KeyRecord>> =
            others.into_iter().map(|vm| (vm, Vec::new())).collect();
        for stored in self.records.values() {
            let holders =
                rendezvous::rank_candidates(&resource(&stored.record.scope), view.members());
            for holder in holders.into_iter().take(2) {
                if let Some(batch) = batches.get_mut(holder) {
                    let keep_ms = ctx.now.until(stored.expires_ms);
                    let run_ms = ctx.now.until(stored.run_until_ms);
                    batch.push(KeyRecord { keep_ms, run_ms, ..stored.record.clone() });
                }
            }
        }
        let view_id = view.id();
        for (to, records) in batches {
            self.send_batches(ctx, &to, view_id, records);
        }
    }

    /// Sends records to one member in copies of at most [`COPY_BYTES`]. The last copy is marked,
    /// so that the receiver can tell when it has all of them.
    pub(super) fn send_batches(
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
            chunks.last_mut().expect("`chunks` is never empty").push(record);
        }
        let previous_active = ctx.membership.previous_active_view(&ctx.identity.vm);
        // The last copy is sent once the others are acknowledged, by `resend_copies`.
        let count = chunks.len();
        for (index, records) in chunks.into_iter().enumerate() {
            let copy_id = self.new_id();
            let last = index + 1 == count;
            let copy = KeyCopy { copy_id, view, last, records, previous_active };
            match last && count > 1 {
                true => {
                    let resend_ms = ctx.now + KEY_RESEND_MS;
                    let pending =
                        PendingCopy { to: to.clone(), copy, resend_ms, waiting_claim: None };
                    self.pending_copies.insert(copy_id, pending);
                }
                false => self.send_copy(ctx, to.clone(), copy, None),
            }
        }
    }

    /// Resends copies that are due and drops copies to VMs that are no longer members. The last
    /// copy of a handover is held back until the earlier ones are acknowledged.
    pub(super) fn resend_copies(&mut self, ctx: &mut Context<'_>) {
        let members = ctx.membership.other_members();
        self.pending_copies.retain(|_, copy| members.contains(&copy.to));
        for id in due(&self.pending_copies, |copy| ctx.now >= copy.resend_ms) {
            let copy = &self.pending_copies[&id];
            let has_earlier_copies = self.pending_copies.range(..id).any(|(_, other)| {
                other.to == copy.to && other.copy.view == copy.copy.view && copy.copy.last
            });
            let (to, message) = (copy.to.clone(), copy.copy.clone());
            if let Some(copy) = self.pending_copies.get_mut(&id) {
                copy.resend_ms = ctx.now + KEY_RESEND_MS;
            }
            if !has_earlier_copies {
                ctx.send(&to, Body::KeyCopy(message));
            }
        }
    }
}
