//! Membership of an availability zone: which VMs act together, agreed under leases.
//!
//! A [`View`] is a set of VMs with their incarnations. Each VM supports at most one view at a time
//! and renews its support with every heartbeat. Support is a promise to support no other view for
//! the duration of a lease ([`view_lease_ms`]). A view is active on a VM only while the VM holds
//! the support of every member. The VM counts the lease of a supporter from the time at which it
//! sent the heartbeat that the supporter echoes, so it stops acting before the promise of the
//! supporter ends.
//!
//! A VM supports another view only after every member of the old view has acknowledged a
//! heartbeat without support for that view or has restarted, or after the promise has expired. So
//! two views that are active at the same time have no member in common. Because each of them
//! contains a majority of the listed VMs of the zone, at most one view is active.
//!
//! The owner of a resource of the zone is the highest-ranked member of the active view
//! ([`gypsumchute_units::rendezvous`]).

use crate::Identity;
use crate::limits::{
    DELISTED_VM_GRACE_MS, MIN_HEARTBEAT_INTERVAL_MS, SUSPECT_AFTER_HEARTBEATS,
    heartbeat_interval_ms, holder_lease_ms, view_lease_ms,
};
use crate::view::{NO_VIEW, View, ViewId};
use crate::vm_list::VmList;
use gypsumchute_proto::peer::{Heartbeat, RouteRoom};
use gypsumchute_units::rendezvous;
use gypsumchute_units::{BootMs, VmId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// State of another VM of the zone, from the last heartbeat that this VM received from it.
#[derive(Debug, Clone, Default)]
struct Peer {
    incarnation: u64,
    /// Timestamp of the last heartbeat, on the clock of the peer.
    sent_ms: u64,
    /// Time at which the last heartbeat arrived.
    seen_ms: BootMs,
    /// Timestamp of the last heartbeat of this VM that the peer has acknowledged.
    echo_ms: BootMs,
    /// View that the peer supports.
    supports: ViewId,
    /// View that the peer would like to form.
    wants: ViewId,
    /// View under which the peer was active before the one that it supports.
    previous_active_view: ViewId,
    /// Time until which this VM holds the support of the peer for the current view.
    support_until_ms: BootMs,
    /// Whether the peer is draining (shutting down gracefully).
    draining: bool,
    /// Whether the peer is still bound by promises of an earlier incarnation.
    joining: bool,
    /// Configuration version in force at the peer.
    adopted_version: u64,
    /// Free slots by route hash at the endpoints that the peer owns.
    free_slots: BTreeMap<u32, u32>,
}

/// The view that this VM supports.
#[derive(Debug, Clone)]
enum Support {
    /// The VM supports no view until its promises to the members of `old_view` have ended.
    /// Heartbeats with a timestamp of at least `withdrawn_ms` carry no support for `old_view`.
    Waiting { old_view: View, withdrawn_ms: BootMs, promised_until_ms: BootMs },
    /// The VM supports `view` in heartbeats with a timestamp of at least `since_ms`.
    Supporting { view: View, since_ms: BootMs },
}

/// State of the membership protocol of one availability zone on one VM.
#[derive(Debug)]
pub struct Membership {
    identity: Identity,
    started_ms: BootMs,
    peers: BTreeMap<VmId, Peer>,
    support: Support,
    /// VMs that count towards a majority, each with the time until which it counts.
    listed: BTreeMap<VmId, BootMs>,
    draining: bool,
    /// Timestamp of the last heartbeats. Each round has a larger timestamp than the one before.
    last_timestamp_ms: BootMs,
    /// Time of the last heartbeats that carried support for a view.
    last_support_ms: BootMs,
    next_heartbeat_ms: BootMs,
    /// Time of the last heartbeats.
    last_heartbeat_ms: BootMs,
    was_active: bool,
    /// View that was active on this VM before `activation.view`.
    previous_active_view: ViewId,
    activation: Activation,
    active_since_ms: BootMs,
    /// Free slots by route hash at the endpoints that this VM owns.
    own_free_slots: BTreeMap<u32, u32>,
}

/// A change in whether this VM may act for its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// A view became active: the VM may act.
    Began(Succession),
    /// No view is active any more: the VM must not act.
    Ended,
}

/// The view that was last active on this VM, and the previous views of the other members at that
/// time. Two activations of one view differ in the previous views.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Activation {
    view: ViewId,
    previous_views: BTreeMap<VmId, ViewId>,
}

/// How the current view follows the one that was active before on this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Succession {
    /// No member has been active under any view before.
    First,
    /// No other view can have been active since this VM was last active, so the state of the VM
    /// is still valid.
    Direct,
    /// Another view may have been active in between, so the state of the VM may be stale.
    Interrupted,
}

impl Membership {
    /// Returns the state of a VM that starts at `now`. Unless `fresh_fleet` is set, the VM supports
    /// no view until promises of an earlier incarnation have expired.
    pub fn new(identity: Identity, now: BootMs, fresh_fleet: bool) -> Self {
        let promised_until_ms = if fresh_fleet { now } else { now + view_lease_ms(1) };
        Membership {
            identity,
            started_ms: now,
            peers: BTreeMap::new(),
            support: Support::Waiting {
                old_view: View::default(),
                withdrawn_ms: now,
                promised_until_ms,
            },
            listed: BTreeMap::new(),
            draining: false,
            last_timestamp_ms: now,
            last_support_ms: now,
            next_heartbeat_ms: now,
            last_heartbeat_ms: BootMs(0),
            was_active: false,
            previous_active_view: NO_VIEW,
            activation: Activation::default(),
            active_since_ms: now,
            own_free_slots: BTreeMap::new(),
        }
    }

    /// Applies a VM list of the platform. VMs of this zone in the list count towards a majority
    /// from now on; a VM that is about to be terminated and already drains is not added. VMs that
    /// are no longer in the list still count for [`DELISTED_VM_GRACE_MS`].
    pub fn on_list(&mut self, now: BootMs, list: &VmList) {
        let zone = self.identity.zone.clone();
        for (vm, record) in list.in_zone(&zone) {
            if !record.leaving || !self.peers.get(vm).is_some_and(|peer| peer.draining) {
                self.listed.insert(vm.clone(), BootMs(u64::MAX));
            }
        }
        for (vm, until_ms) in &mut self.listed {
            let is_listed = list.vms.get(vm).is_some_and(|record| record.zone == zone);
            if !is_listed {
                *until_ms = (*until_ms).min(now + DELISTED_VM_GRACE_MS);
            }
        }
    }

    /// Starts a graceful shutdown: this VM supports no view from now on and owns no resource.
    pub fn start_draining(&mut self, now: BootMs) {
        self.draining = true;
        self.next_heartbeat_ms = now;
    }

    /// Reports whether this VM is shutting down gracefully.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Applies a heartbeat if it is newer than the last one of the sender; returns whether it is.
    pub fn on_heartbeat(
        &mut self,
        now: BootMs,
        from: &VmId,
        incarnation: u64,
        heartbeat: &Heartbeat,
    ) -> bool {
        let (view, since_ms) = match &self.support {
            Support::Supporting { view, since_ms } => (view.clone(), *since_ms),
            Support::Waiting { .. } => (View::default(), now),
        };
        let peer = self.peers.entry(from.clone()).or_default();
        if incarnation < peer.incarnation {
            return false;
        }
        if incarnation > peer.incarnation {
            *peer = Peer { incarnation, ..Peer::default() };
        }
        if heartbeat.sent_ms <= peer.sent_ms {
            return false;
        }
        let has_changed = (peer.supports, peer.wants, peer.draining)
            != (heartbeat.supports, heartbeat.wants, heartbeat.retired);
        peer.sent_ms = heartbeat.sent_ms;
        peer.seen_ms = now;
        peer.supports = heartbeat.supports;
        peer.wants = heartbeat.wants;
        peer.draining = heartbeat.retired;
        peer.joining = heartbeat.joining;
        peer.previous_active_view = heartbeat.previous_active;
        peer.adopted_version = heartbeat.adopted_version;
        peer.free_slots = heartbeat.rooms.iter().map(|room| (room.route_hash, room.free)).collect();
        if heartbeat.echo_incarnation == self.identity.incarnation {
            peer.echo_ms = BootMs(heartbeat.echo_ms);
        }
        let is_member = view.members.get(from) == Some(&incarnation);
        let supports = is_member && heartbeat.supports == view.id && peer.echo_ms >= since_ms;
        peer.support_until_ms = match supports {
            true => peer.echo_ms + holder_lease_ms(view.lease_ms()),
            false => BootMs(0),
        };
        if has_changed {
            self.next_heartbeat_ms = now;
        }
        true
    }

    /// Withdraws the support for a view that no longer matches the live VMs, and supports the
    /// matching view once all earlier promises have ended.
    pub fn on_tick(&mut self, now: BootMs) {
        self.listed.retain(|_, until_ms| *until_ms > now);
        let desired_members = self.desired_members(now);
        match &self.support {
            Support::Supporting { view, .. }
                if view.members != desired_members || !self.is_majority(&view.members, true) =>
            {
                let promised_until_ms = self.last_support_ms + view.lease_ms();
                let withdrawn_ms = self.last_timestamp_ms + 1;
                self.support =
                    Support::Waiting { old_view: view.clone(), withdrawn_ms, promised_until_ms };
                self.next_heartbeat_ms = now;
            }
            _ => {}
        }
        let promises_ended = match &self.support {
            Support::Waiting { old_view, withdrawn_ms, promised_until_ms } => {
                now >= *promised_until_ms || self.all_acknowledged(old_view, *withdrawn_ms)
            }
            Support::Supporting { .. } => false,
        };
        if promises_ended && !self.draining && self.is_majority(&desired_members, false) {
            let since_ms = self.last_timestamp_ms + 1;
            self.support = Support::Supporting { view: View::new(desired_members), since_ms };
            self.next_heartbeat_ms = now;
        }
    }

    /// Updates whether this VM may act; returns the change since the last call, if any.
    pub fn update_activity(&mut self, now: BootMs) -> Option<Activity> {
        let active = self.is_active(now);
        let before = std::mem::replace(&mut self.was_active, active);
        match (before, active) {
            (false, true) => self.record_activation(now).map(Activity::Began),
            (true, false) => Some(Activity::Ended),
            _ => None,
        }
    }

    /// Records that the supported view is now active, and returns how the view follows the one
    /// that was active before.
    fn record_activation(&mut self, now: BootMs) -> Option<Succession> {
        let view = self.view()?.clone();
        let previous_views: BTreeMap<VmId, ViewId> = view
            .members()
            .filter_map(|vm| Some((vm.clone(), self.peers.get(vm)?.previous_active_view)))
            .collect();
        let last = self.activation.view;
        let unchanged = last == view.id && previous_views == self.activation.previous_views;
        let all_previous_are =
            |known: ViewId| previous_views.values().all(|id| [NO_VIEW, known].contains(id));
        let succession = match last {
            NO_VIEW if all_previous_are(NO_VIEW) => Succession::First,
            NO_VIEW => Succession::Interrupted,
            last if last == view.id && unchanged => Succession::Direct,
            last if last != view.id && all_previous_are(last) => Succession::Direct,
            _ => Succession::Interrupted,
        };
        if last != view.id {
            self.previous_active_view = last;
        }
        self.activation = Activation { view: view.id, previous_views };
        self.active_since_ms = now;
        Some(succession)
    }

    /// Reports whether every other member of `view` has acknowledged a heartbeat with a timestamp
    /// of at least `withdrawn_ms` or has restarted. An empty `view` stands for the unknown view of
    /// an earlier incarnation, so the result is false.
    fn all_acknowledged(&self, view: &View, withdrawn_ms: BootMs) -> bool {
        let is_unknown_view = view.members.is_empty();
        !is_unknown_view
            && view.members.iter().filter(|(vm, _)| **vm != self.identity.vm).all(|(vm, known)| {
                self.peers
                    .get(vm)
                    .is_some_and(|peer| peer.incarnation > *known || peer.echo_ms >= withdrawn_ms)
            })
    }

    /// Returns the members of the view that this VM would like to form, with their incarnations:
    /// the listed VMs that are live, not draining and not joining, and this VM itself if it is
    /// listed and not draining.
    fn desired_members(&self, now: BootMs) -> BTreeMap<VmId, u64> {
        let timeout_ms = SUSPECT_AFTER_HEARTBEATS * self.heartbeat_interval_ms();
        let live =
            |peer: &Peer| now.since(peer.seen_ms) < timeout_ms && !peer.draining && !peer.joining;
        let mut members: BTreeMap<VmId, u64> = self
            .peers
            .iter()
            .filter(|(vm, peer)| self.listed.contains_key(*vm) && live(peer))
            .map(|(vm, peer)| (vm.clone(), peer.incarnation))
            .collect();
        if !self.draining && self.listed.contains_key(&self.identity.vm) {
            members.insert(self.identity.vm.clone(), self.identity.incarnation);
        }
        members
    }

    /// Reports whether `members` contains this VM and a majority of the listed VMs of the zone; on
    /// a tie, the half with the lowest VM name is the majority. Draining VMs are not counted.
    ///
    /// A joining VM is counted when a new view is formed, but not for a view that this VM already
    /// supports (`continuing`): it supports no other view, so its start must not end this one.
    fn is_majority(&self, members: &BTreeMap<VmId, u64>, continuing: bool) -> bool {
        if !members.contains_key(&self.identity.vm) {
            return false;
        }
        let is_excluded = |peer: &Peer| peer.draining || peer.joining && continuing;
        let excluded = |vm: &VmId| self.peers.get(vm).is_some_and(is_excluded);
        let counted: BTreeSet<&VmId> = self.listed.keys().filter(|vm| !excluded(vm)).collect();
        let present = counted.iter().filter(|vm| members.contains_key(**vm)).count();
        match (2 * present).cmp(&counted.len()) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Less => false,
            std::cmp::Ordering::Equal => {
                counted.first().is_some_and(|lowest| members.contains_key(*lowest))
            }
        }
    }

    /// Returns the heartbeat interval for the current size of the zone.
    pub fn heartbeat_interval_ms(&self) -> u64 {
        heartbeat_interval_ms(self.listed.len())
    }

    /// Reports whether heartbeats are due.
    pub fn heartbeats_due(&self, now: BootMs) -> bool {
        now >= self.next_heartbeat_ms && now >= self.last_heartbeat_ms + MIN_HEARTBEAT_INTERVAL_MS
    }

    /// Returns the heartbeats to send at `now`, one for each other listed VM of the zone, and
    /// schedules the next ones.
    pub fn take_heartbeats(
        &mut self,
        now: BootMs,
        free_slots: &[RouteRoom],
        adopted_version: u64,
    ) -> Vec<(VmId, Heartbeat)> {
        let sent_ms = BootMs(now.0.max(self.last_timestamp_ms.0 + 1));
        self.last_timestamp_ms = sent_ms;
        self.last_heartbeat_ms = now;
        self.next_heartbeat_ms = now + self.heartbeat_interval_ms();
        let supports = match (&self.support, self.draining) {
            (Support::Supporting { view, .. }, false) => view.id,
            _ => NO_VIEW,
        };
        if supports != NO_VIEW {
            self.last_support_ms = now;
        }
        let wants = View::new(self.desired_members(now)).id;
        let previous_active = self.previous_active_for(supports);
        let joining = self.is_joining(now);
        let others = self.listed.keys().filter(|vm| **vm != self.identity.vm);
        others
            .map(|vm| {
                let known = self.peers.get(vm);
                let heartbeat = Heartbeat {
                    sent_ms: sent_ms.0,
                    echo_ms: known.map_or(0, |peer| peer.sent_ms),
                    echo_incarnation: known.map_or(0, |peer| peer.incarnation),
                    supports,
                    wants,
                    previous_active,
                    retired: self.draining,
                    joining,
                    rooms: free_slots.to_vec(),
                    adopted_version,
                };
                (vm.clone(), heartbeat)
            })
            .collect()
    }

    /// Returns the last view that was active on this VM, other than `supports`.
    fn previous_active_for(&self, supports: ViewId) -> ViewId {
        match self.activation.view {
            last if last != supports => last,
            _ => self.previous_active_view,
        }
    }

    /// Returns the view that this VM supports, active or not; `None` while it drains.
    fn view(&self) -> Option<&View> {
        match &self.support {
            Support::Supporting { view, .. } if !self.draining => Some(view),
            _ => None,
        }
    }

    /// Reports whether promises of an earlier incarnation of this VM may still be valid.
    fn is_joining(&self, now: BootMs) -> bool {
        match &self.support {
            Support::Waiting { old_view, promised_until_ms, .. } => {
                old_view.members.is_empty() && now < *promised_until_ms
            }
            Support::Supporting { .. } => false,
        }
    }

    /// Reports whether a view is active on this VM at `now`, so that the VM may act for its zone.
    pub fn is_active(&self, now: BootMs) -> bool {
        self.active_view(now).is_some()
    }

    /// Returns the view that is active on this VM at `now`.
    pub fn active_view(&self, now: BootMs) -> Option<&View> {
        let view = self.view()?;
        let mut others = view.members().filter(|vm| **vm != self.identity.vm);
        let supported =
            |vm: &VmId| self.peers.get(vm).is_some_and(|peer| peer.support_until_ms > now);
        others.all(supported).then_some(view)
    }

    /// Returns the time at which the current view became active.
    pub fn active_since_ms(&self) -> BootMs {
        self.active_since_ms
    }

    /// Returns the time at which the process of this VM started.
    pub fn started_ms(&self) -> BootMs {
        self.started_ms
    }

    /// Returns the owner of `resource` in this zone; `None` while no view is active on this VM.
    pub fn owner(&self, now: BootMs, resource: &str) -> Option<&VmId> {
        rendezvous::owner(resource, self.active_view(now)?.members())
    }

    /// Reports whether this VM owns `resource` of its zone at `now`.
    pub fn owns(&self, now: BootMs, resource: &str) -> bool {
        self.owner(now, resource) == Some(&self.identity.vm)
    }

    /// Returns the other members of the view that this VM supports, active or not.
    pub fn other_members(&self) -> Vec<VmId> {
        let view = self.view().into_iter().flat_map(View::members);
        view.filter(|vm| **vm != self.identity.vm).cloned().collect()
    }

    /// Returns the live VMs of this zone, including this VM: those that sent a heartbeat recently
    /// and are not draining. The VMs that read the platform are chosen among them.
    pub fn live_vms(&self, now: BootMs) -> Vec<&VmId> {
        let timeout_ms = SUSPECT_AFTER_HEARTBEATS * self.heartbeat_interval_ms();
        let live_peers = self.peers.iter().filter(|(_, peer)| {
            now.since(peer.seen_ms) < timeout_ms && peer.seen_ms.0 > 0 && !peer.draining
        });
        live_peers.map(|(vm, _)| vm).chain([&self.identity.vm]).collect()
    }

    /// Returns the incarnation of `vm`; `None` if no heartbeat of it has arrived.
    pub fn incarnation(&self, vm: &VmId) -> Option<u64> {
        self.peers.get(vm).map(|peer| peer.incarnation)
    }

    /// Returns the view that was active on `vm` before the one that it supports, from the last
    /// heartbeat of `vm`.
    pub fn previous_active_view(&self, vm: &VmId) -> ViewId {
        match *vm == self.identity.vm {
            true => self.previous_active_for(self.view().map_or(NO_VIEW, View::id)),
            false => self.peers.get(vm).map_or(NO_VIEW, |peer| peer.previous_active_view),
        }
    }

    /// Sets the free slots at the endpoints that this VM owns.
    pub fn set_own_free_slots(&mut self, free_slots: &[RouteRoom]) {
        self.own_free_slots = free_slots.iter().map(|room| (room.route_hash, room.free)).collect();
    }

    /// Returns the free slots for a route at each member that owns endpoints of the route: the
    /// current number for this VM, the number in the last heartbeat for the others.
    pub fn free_slots(&self, route_hash: u32) -> Vec<(VmId, u32)> {
        let members = self.view().into_iter().flat_map(View::members);
        members
            .filter_map(|vm| {
                let free_slots = match *vm == self.identity.vm {
                    true => &self.own_free_slots,
                    false => &self.peers.get(vm)?.free_slots,
                };
                Some((vm.clone(), *free_slots.get(&route_hash)?))
            })
            .collect()
    }

    /// Returns the lowest configuration version in force at the live VMs of the zone; `own` is the
    /// version in force at this VM.
    pub fn lowest_config_version(&self, now: BootMs, own: u64) -> u64 {
        let live = self.live_vms(now);
        let versions = live.iter().filter_map(|vm| self.peers.get(*vm));
        versions.map(|peer| peer.adopted_version).chain([own]).min().unwrap_or(own)
    }

    /// Returns the availability zone of this VM.
    pub fn zone(&self) -> &ZoneId {
        &self.identity.zone
    }
}
