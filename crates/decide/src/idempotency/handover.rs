//! Copies of records: to the witness of a claim, and to new owners when the view changes.

use super::keeper::{Rank, send_granted};
use super::{COPY_BYTES, CopyOut, Idempotency, due, resource, state_rank};
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
    pub(super) fn copy_to(
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

    pub(super) fn send_copy(
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

    /// Whether every other member of the acting view has passed on what it held.
    pub(super) fn has_all(&self, ctx: &Context<'_>) -> bool {
        let Some(view) = ctx.members.active_view(ctx.now) else { return false };
        let mut others = view.members().filter(|vm| **vm != ctx.me.vm);
        others.all(|vm| {
            let formation = (view.id(), ctx.members.previous_active_view(vm));
            self.handed_over.get(vm) == Some(&formation)
        })
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
    pub(super) fn merge(&mut self, ctx: &Context<'_>, record: &KeyRecord) {
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
    pub(super) fn hand_over(&mut self, ctx: &mut Context<'_>) {
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
            chunks.last_mut().expect("begins with one").push(record);
        }
        let previous_active = ctx.members.previous_active_view(&ctx.me.vm);
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

    pub(super) fn resend_copies(&mut self, ctx: &mut Context<'_>) {
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
}
