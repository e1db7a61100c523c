//! Which VMs of this availability zone act together, agreed under leases.
//!
//! A [`View`] is a set of VMs with their incarnations. Each VM supports at most one view at a time
//! and renews its support with every heartbeat. A VM acts under a view only while it holds the
//! support of every member; it counts a lease from when it sent the heartbeat that the supporter
//! echoes, so it always stops before the supporter's promise ends. A VM moves its support to
//! another view only after every member of the old one has told that it heard of the move, or
//! has died, or after the promise has run out. So two views that act at the same time have no
//! member in common; and as each holds a majority of the zone's listed VMs, there are not two.
//!
//! The owner of a resource of the zone is the highest-ranked member of the acting view
//! ([`gypsumchute_units::rendezvous`]).

use crate::Identity;
use crate::limits::{
    BEAT_PAUSE_MS, LIST_GRACE_MS, SUSPECT_INTERVALS, heartbeat_ms, held_ms, view_lease_ms,
};
use crate::view::{NO_VIEW, View, ViewId};
use crate::vm_list::VmList;
use gypsumchute_proto::peer::{Heartbeat, RouteRoom};
use gypsumchute_units::rendezvous;
use gypsumchute_units::{BootMs, VmId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// What is known of another VM of the zone.
#[derive(Debug, Clone, Default)]
struct Peer {
    incarnation: u64,
    sent_ms: u64,
    heard_ms: BootMs,
    echo_ms: BootMs,
    supports: ViewId,
    wants: ViewId,
    previous_active: ViewId,
    support_until_ms: BootMs,
    retired: bool,
    joining: bool,
    adopted_version: u64,
    rooms: BTreeMap<u32, u32>,
}

/// The view that this VM supports.
#[derive(Debug, Clone)]
enum Support {
    /// None: promises to `old` have to end first.
    Waiting { old: View, left_ms: BootMs, promised_until_ms: BootMs },
    /// This one.
    Supporting { view: View, since_ms: BootMs },
}

/// The state of agreement within one availability zone, as one VM sees it.
#[derive(Debug)]
pub struct Membership {
    me: Identity,
    started_ms: BootMs,
    peers: BTreeMap<VmId, Peer>,
    support: Support,
    listed: BTreeMap<VmId, BootMs>,
    retired: bool,
    last_sent_ms: BootMs,
    last_support_ms: BootMs,
    next_beat_ms: BootMs,
    last_beat_ms: BootMs,
    was_active: bool,
    previous_active: ViewId,
    activation: Activation,
    active_since_ms: BootMs,
    own_rooms: BTreeMap<u32, u32>,
}

/// Whether this VM acts, where that has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// It began to act.
    Began(Succession),
    /// It may not act any more.
    Ended,
}

/// The circumstances under which a view last became active.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Activation {
    view: ViewId,
    previous: BTreeMap<VmId, ViewId>,
}

/// How the present view became active.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Succession {
    /// No member ever acted before.
    First,
    /// No other view can have acted since this VM last acted: what it knew still holds.
    Direct,
    /// Others may have acted in between.
    Interrupted,
}

impl Membership {
    /// A VM that starts at `now`. Unless `fresh_fleet`, promises of its former incarnation are
    /// waited out before it supports any view.
    pub fn new(me: Identity, now: BootMs, fresh_fleet: bool) -> Self {
        let promised_until_ms = if fresh_fleet { now } else { now + view_lease_ms(1) };
        Membership {
            me,
            started_ms: now,
            peers: BTreeMap::new(),
            support: Support::Waiting { old: View::default(), left_ms: now, promised_until_ms },
            listed: BTreeMap::new(),
            retired: false,
            last_sent_ms: now,
            last_support_ms: now,
            next_beat_ms: now,
            last_beat_ms: BootMs(0),
            was_active: false,
            previous_active: NO_VIEW,
            activation: Activation::default(),
            active_since_ms: now,
            own_rooms: BTreeMap::new(),
        }
    }

    /// Takes in the platform's list: the VMs of this zone that it names count from now on, and
    /// those that it no longer names for a grace time more.
    pub fn on_list(&mut self, now: BootMs, list: &VmList) {
        let zone = self.me.zone.clone();
        for (vm, record) in list.of_zone(&zone) {
            if !record.leaving || !self.peers.get(vm).is_some_and(|peer| peer.retired) {
                self.listed.insert(vm.clone(), BootMs(u64::MAX));
            }
        }
        for (vm, until_ms) in &mut self.listed {
            let named = list.vms.get(vm).is_some_and(|record| record.zone == zone);
            if !named {
                *until_ms = (*until_ms).min(now + LIST_GRACE_MS);
            }
        }
    }

    /// Starts a graceful exit: this VM supports no view any more and owns nothing.
    pub fn retire(&mut self, now: BootMs) {
        self.retired = true;
        self.next_beat_ms = now;
    }

    /// Whether this VM is on its way out.
    pub fn is_retired(&self) -> bool {
        self.retired
    }

    /// Takes in a heartbeat; returns whether it is new.
    pub fn on_heartbeat(
        &mut self,
        now: BootMs,
        from: &VmId,
        incarnation: u64,
        beat: &Heartbeat,
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
        if beat.sent_ms <= peer.sent_ms {
            return false;
        }
        let moved =
            (peer.supports, peer.wants, peer.retired) != (beat.supports, beat.wants, beat.retired);
        peer.sent_ms = beat.sent_ms;
        peer.heard_ms = now;
        peer.supports = beat.supports;
        peer.wants = beat.wants;
        peer.retired = beat.retired;
        peer.joining = beat.joining;
        peer.previous_active = beat.previous_active;
        peer.adopted_version = beat.adopted_version;
        peer.rooms = beat.rooms.iter().map(|room| (room.route_hash, room.free)).collect();
        if beat.echo_incarnation == self.me.incarnation {
            peer.echo_ms = BootMs(beat.echo_ms);
        }
        let member = view.members.get(from) == Some(&incarnation);
        let supports = member && beat.supports == view.id && peer.echo_ms >= since_ms;
        peer.support_until_ms = match supports {
            true => peer.echo_ms + held_ms(view.lease_ms()),
            false => BootMs(0),
        };
        if moved {
            self.next_beat_ms = now;
        }
        true
    }

    /// Moves support on where that is due.
    pub fn on_tick(&mut self, now: BootMs) {
        self.listed.retain(|_, until_ms| *until_ms > now);
        let wanted = self.wanted(now);
        match &self.support {
            Support::Supporting { view, .. }
                if view.members != wanted || !self.is_majority(&view.members, true) =>
            {
                let promised_until_ms = self.last_support_ms + view.lease_ms();
                let left_ms = self.last_sent_ms + 1;
                self.support = Support::Waiting { old: view.clone(), left_ms, promised_until_ms };
                self.next_beat_ms = now;
            }
            _ => {}
        }
        let released = match &self.support {
            Support::Waiting { old, left_ms, promised_until_ms } => {
                now >= *promised_until_ms || self.all_heard(old, *left_ms)
            }
            Support::Supporting { .. } => false,
        };
        if released && !self.retired && self.is_majority(&wanted, false) {
            let since_ms = self.last_sent_ms + 1;
            self.support = Support::Supporting { view: View::new(wanted), since_ms };
            self.next_beat_ms = now;
        }
    }

    /// Notes whether this VM acts now; returns what has changed since the last call.
    pub fn note_activity(&mut self, now: BootMs) -> Option<Activity> {
        let active = self.is_active(now);
        let before = std::mem::replace(&mut self.was_active, active);
        match (before, active) {
            (false, true) => self.begin(now).map(Activity::Began),
            (true, false) => Some(Activity::Ended),
            _ => None,
        }
    }

    fn begin(&mut self, now: BootMs) -> Option<Succession> {
        let view = self.view()?.clone();
        let previous: BTreeMap<VmId, ViewId> = view
            .members()
            .filter_map(|vm| Some((vm.clone(), self.peers.get(vm)?.previous_active)))
            .collect();
        let last = self.activation.view;
        let unchanged = last == view.id && previous == self.activation.previous;
        let only_knows = |known: ViewId| previous.values().all(|id| [NO_VIEW, known].contains(id));
        let succession = match last {
            NO_VIEW if only_knows(NO_VIEW) => Succession::First,
            NO_VIEW => Succession::Interrupted,
            last if last == view.id && unchanged => Succession::Direct,
            last if last != view.id && only_knows(last) => Succession::Direct,
            _ => Succession::Interrupted,
        };
        if last != view.id {
            self.previous_active = last;
        }
        self.activation = Activation { view: view.id, previous };
        self.active_since_ms = now;
        Some(succession)
    }

    fn all_heard(&self, old: &View, left_ms: BootMs) -> bool {
        let unknown_past = old.members.is_empty();
        !unknown_past
            && old.members.iter().filter(|(vm, _)| **vm != self.me.vm).all(|(vm, incarnation)| {
                self.peers
                    .get(vm)
                    .is_some_and(|peer| peer.incarnation > *incarnation || peer.echo_ms >= left_ms)
            })
    }

    fn wanted(&self, now: BootMs) -> BTreeMap<VmId, u64> {
        let suspect_ms = SUSPECT_INTERVALS * self.interval_ms();
        let live =
            |peer: &Peer| now.since(peer.heard_ms) < suspect_ms && !peer.retired && !peer.joining;
        let mut members: BTreeMap<VmId, u64> = self
            .peers
            .iter()
            .filter(|(vm, peer)| self.listed.contains_key(*vm) && live(peer))
            .map(|(vm, peer)| (vm.clone(), peer.incarnation))
            .collect();
        if !self.retired && self.listed.contains_key(&self.me.vm) {
            members.insert(self.me.vm.clone(), self.me.incarnation);
        }
        members
    }

    /// Whether `members` are a majority of the zone's listed VMs. A VM that is joining supports no
    /// other view, so it does not end one that acts (`continuing`); it counts where a view begins.
    fn is_majority(&self, members: &BTreeMap<VmId, u64>, continuing: bool) -> bool {
        if !members.contains_key(&self.me.vm) {
            return false;
        }
        let out = |peer: &Peer| peer.retired || peer.joining && continuing;
        let left_out = |vm: &VmId| self.peers.get(vm).is_some_and(out);
        let counted: BTreeSet<&VmId> = self.listed.keys().filter(|vm| !left_out(vm)).collect();
        let present = counted.iter().filter(|vm| members.contains_key(**vm)).count();
        match (2 * present).cmp(&counted.len()) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Less => false,
            std::cmp::Ordering::Equal => {
                counted.first().is_some_and(|lowest| members.contains_key(*lowest))
            }
        }
    }

    /// The heartbeat interval for the zone's present size.
    pub fn interval_ms(&self) -> u64 {
        heartbeat_ms(self.listed.len())
    }

    /// Whether heartbeats are due.
    pub fn beat_due(&self, now: BootMs) -> bool {
        now >= self.next_beat_ms && now >= self.last_beat_ms + BEAT_PAUSE_MS
    }

    /// The heartbeats to send at `now`, one to each listed VM of the zone.
    pub fn beats(
        &mut self,
        now: BootMs,
        rooms: &[RouteRoom],
        adopted_version: u64,
    ) -> Vec<(VmId, Heartbeat)> {
        let sent_ms = BootMs(now.0.max(self.last_sent_ms.0 + 1));
        self.last_sent_ms = sent_ms;
        self.last_beat_ms = now;
        self.next_beat_ms = now + self.interval_ms();
        let supports = match (&self.support, self.retired) {
            (Support::Supporting { view, .. }, false) => view.id,
            _ => NO_VIEW,
        };
        if supports != NO_VIEW {
            self.last_support_ms = now;
        }
        let wants = View::new(self.wanted(now)).id;
        let previous_active = self.previous_active_for(supports);
        let joining = self.is_joining(now);
        let others = self.listed.keys().filter(|vm| **vm != self.me.vm);
        others
            .map(|vm| {
                let known = self.peers.get(vm);
                let beat = Heartbeat {
                    sent_ms: sent_ms.0,
                    echo_ms: known.map_or(0, |peer| peer.sent_ms),
                    echo_incarnation: known.map_or(0, |peer| peer.incarnation),
                    supports,
                    wants,
                    previous_active,
                    retired: self.retired,
                    joining,
                    rooms: rooms.to_vec(),
                    adopted_version,
                };
                (vm.clone(), beat)
            })
            .collect()
    }

    fn previous_active_for(&self, supports: ViewId) -> ViewId {
        match self.activation.view {
            last if last != supports => last,
            _ => self.previous_active,
        }
    }

    fn view(&self) -> Option<&View> {
        match &self.support {
            Support::Supporting { view, .. } if !self.retired => Some(view),
            _ => None,
        }
    }

    /// Whether promises of a former incarnation may still hold.
    fn is_joining(&self, now: BootMs) -> bool {
        match &self.support {
            Support::Waiting { old, promised_until_ms, .. } => {
                old.members.is_empty() && now < *promised_until_ms
            }
            Support::Supporting { .. } => false,
        }
    }

    /// Whether this VM may act for its zone at `now`.
    pub fn is_active(&self, now: BootMs) -> bool {
        self.active_view(now).is_some()
    }

    /// The view under which this VM may act at `now`.
    pub fn active_view(&self, now: BootMs) -> Option<&View> {
        let view = self.view()?;
        let mut others = view.members().filter(|vm| **vm != self.me.vm);
        let supported =
            |vm: &VmId| self.peers.get(vm).is_some_and(|peer| peer.support_until_ms > now);
        others.all(supported).then_some(view)
    }

    /// When the present view became active.
    pub fn active_since_ms(&self) -> BootMs {
        self.active_since_ms
    }

    /// When this VM's process started.
    pub fn started_ms(&self) -> BootMs {
        self.started_ms
    }

    /// The owner of `resource` in this zone while this VM may act.
    pub fn owner(&self, now: BootMs, resource: &str) -> Option<&VmId> {
        rendezvous::owner(resource, self.active_view(now)?.members())
    }

    /// Whether this VM owns `resource` of its zone at `now`.
    pub fn owns(&self, now: BootMs, resource: &str) -> bool {
        self.owner(now, resource) == Some(&self.me.vm)
    }

    /// The members of the view that this VM supports, acting or not, without itself.
    pub fn other_members(&self) -> Vec<VmId> {
        let view = self.view().into_iter().flat_map(View::members);
        view.filter(|vm| **vm != self.me.vm).cloned().collect()
    }

    /// The VMs of this zone heard lately, itself included: those that share the reading.
    pub fn live(&self, now: BootMs) -> Vec<&VmId> {
        let suspect_ms = SUSPECT_INTERVALS * self.interval_ms();
        let heard = self.peers.iter().filter(|(_, peer)| {
            now.since(peer.heard_ms) < suspect_ms && peer.heard_ms.0 > 0 && !peer.retired
        });
        heard.map(|(vm, _)| vm).chain([&self.me.vm]).collect()
    }

    /// The incarnation of `vm`, if it has been heard.
    pub fn incarnation(&self, vm: &VmId) -> Option<u64> {
        self.peers.get(vm).map(|peer| peer.incarnation)
    }

    /// The view under which `vm` acted before the present one, by its last heartbeat.
    pub fn previous_active(&self, vm: &VmId) -> ViewId {
        match *vm == self.me.vm {
            true => self.previous_active_for(self.view().map_or(NO_VIEW, View::id)),
            false => self.peers.get(vm).map_or(NO_VIEW, |peer| peer.previous_active),
        }
    }

    /// Notes the free places at this VM's own endpoints.
    pub fn note_own_rooms(&mut self, rooms: &[RouteRoom]) {
        self.own_rooms = rooms.iter().map(|room| (room.route_hash, room.free)).collect();
    }

    /// Free places for a route at each member that owns endpoints for it: this VM's own as they
    /// are, the others' by their last heartbeats.
    pub fn rooms(&self, route_hash: u32) -> Vec<(VmId, u32)> {
        let members = self.view().into_iter().flat_map(View::members);
        members
            .filter_map(|vm| {
                let rooms = match *vm == self.me.vm {
                    true => &self.own_rooms,
                    false => &self.peers.get(vm)?.rooms,
                };
                Some((vm.clone(), *rooms.get(&route_hash)?))
            })
            .collect()
    }

    /// The lowest configuration version in force at the zone's live VMs, this one at `own`.
    pub fn zone_version(&self, now: BootMs, own: u64) -> u64 {
        let live = self.live(now);
        let versions = live.iter().filter_map(|vm| self.peers.get(*vm));
        versions.map(|peer| peer.adopted_version).chain([own]).min().unwrap_or(own)
    }

    /// This VM's availability zone.
    pub fn zone(&self) -> &ZoneId {
        &self.me.zone
    }
}
