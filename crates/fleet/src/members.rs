//! Membership of the fleet, learned by gossip, and the choice of the VMs that read from the
//! platform.
//!
//! No registry lists the VMs. Each VM starts with a few seed addresses, some of which may be gone,
//! and each heartbeat names a few members that its sender knows. In a small fleet, all VMs exchange
//! heartbeats with each other (full mesh). In a large fleet, a VM exchanges heartbeats with the VMs
//! of its zone, and two gateway VMs per zone exchange heartbeats with the gateways of the other
//! zones. A VM's traffic therefore grows with the size of the zone and not with the size of the
//! fleet.

mod forwarding;
mod stream_records;

use crate::store_copy::CopyProgress;
use gypsumchute_units::rendezvous::rank_candidates;
use gypsumchute_units::{BootMs, EndpointId, ServiceId, VmId, ZoneId};
use rand::Rng;
use rand::seq::IteratorRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddrV4};

/// Maximum number of VMs in a full mesh, in which all VMs exchange heartbeats with each other.
const FULL_MESH_VMS: usize = 16;
/// Number of VMs per zone that exchange heartbeats with other zones in a large fleet.
const GATEWAYS_PER_ZONE: usize = 2;
/// Number of VMs that prefer an endpoint in a large fleet. It is large enough for each VM to know
/// the load of several endpoints, and small enough that load updates among these VMs cost less than
/// load updates to the whole zone.
const VMS_PER_ENDPOINT: usize = 8;
/// Number of VMs in another zone that receive a message to be relayed in that zone. One of them may
/// be gone.
const RELAYS_PER_ZONE: usize = 2;
/// Time after the last heartbeat or mention of a VM for which the VM is used as a relay, in
/// milliseconds. Each live VM is named by others every few seconds.
const RELAY_TTL_MS: u64 = 15_000;
/// Number of VMs per zone that read from the platform. VMs also receive updates from the readers of
/// other zones, and a VM that receives heartbeats from no reader in the zone becomes a reader.
const READERS_PER_ZONE: usize = 1;
/// Time without a reader in the zone after which a VM that does not rank first becomes a reader, in
/// milliseconds. It is about two heartbeat intervals. At the minimum heartbeat interval, the
/// detection of a lost reader and this time together take less than 2 s.
const READER_GRACE_MS: u64 = 700;
/// Time for which a starting VM waits for replies from the seeds before it may read, in
/// milliseconds. The VMs of a fleet start within 0.3 s of each other.
const SEED_WAIT_MS: u64 = 350;
/// Time between the first heartbeat received and the first read, in milliseconds. The VMs named in
/// that heartbeat can send their own heartbeats in this time: it is the heartbeat interval of a VM
/// without peers.
const DISCOVERY_WAIT_MS: u64 = 100;
/// Time between the first heartbeat received and the first read in a large fleet, in milliseconds.
/// The members of a large fleet are named over several heartbeats.
const LARGE_FLEET_DISCOVERY_WAIT_MS: u64 = 350;
/// Minimum interval between heartbeats, in milliseconds.
pub const MIN_HEARTBEAT_MS: u64 = 300;
/// Interval between heartbeats of a VM that has no live peers, in milliseconds. Most of these
/// heartbeats go only to the seeds.
const NO_PEERS_HEARTBEAT_MS: u64 = 100;
/// Time for which a VM says in heartbeats that it has started, in milliseconds: several heartbeats, also
/// to VMs that it discovers late.
const STARTING_MS: u64 = 2_000;
/// Maximum interval between heartbeats, in milliseconds. Changes must reach all VMs within 2 s.
const MAX_HEARTBEAT_MS: u64 = 600;
/// Estimated size of a heartbeat, in bytes.
const HEARTBEAT_BYTES: u64 = 110;
/// Target rate of the control traffic that a VM sends, in bytes per second. The heartbeat interval
/// is lengthened up to [`MAX_HEARTBEAT_MS`] to stay below this rate.
const TARGET_CONTROL_BYTES_PER_S: u64 = 2_000;
/// Number of consecutive missed heartbeats after which a VM is considered silent.
const MISSED_HEARTBEATS: u64 = 3;
/// Time for which a silent VM is remembered and counted in the division of limits, in milliseconds.
const SILENT_MEMBER_TTL_MS: u64 = 60_000;
/// Interval at which heartbeats also go to silent VMs, as a number of heartbeats.
const SILENT_HEARTBEAT_STRIDE: u64 = 4;
/// Number of members named in a heartbeat.
const MEMBERS_PER_HEARTBEAT: usize = 3;
/// Number of members named in the reply to a VM that joins.
pub const MEMBERS_PER_JOIN_REPLY: usize = 48;

/// Identity and address of a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// Id of the VM.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Address on which the VM receives messages from other VMs.
    pub address: SocketAddrV4,
}

/// A member of the fleet, as last reported by its own heartbeat or named by other VMs.
#[derive(Debug)]
struct Member {
    peer: PeerAddress,
    /// Time at which the last heartbeat from the member arrived. `None` if the member is only known
    /// from other VMs.
    last_heartbeat_ms: Option<BootMs>,
    /// Time at which another VM first named the member, or of the last heartbeat from the member.
    discovered_ms: BootMs,
    /// Time of the last heartbeat from the member or of the last mention by another VM.
    last_mention_ms: BootMs,
    reads_platform: bool,
    store_progress: CopyProgress,
    cut_off_services: BTreeSet<ServiceId>,
}

/// VMs that prefer an endpoint over others and immediately send each other updates of their load on
/// this endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreferredSenders {
    /// Whether this VM is one of them.
    pub includes_local_vm: bool,
    /// Addresses of the other VMs.
    pub others: Vec<SocketAddrV4>,
}

/// Information about the sender of a heartbeat.
#[derive(Debug, Clone)]
pub struct HeartbeatSender {
    /// Identity and address of the sender.
    pub peer: PeerAddress,
    /// Whether the sender reads from the platform and the reads succeed.
    pub reads_platform: bool,
    /// How much of the store's history the sender holds.
    pub store_progress: CopyProgress,
    /// Services whose endpoints the sender has lost its links to.
    pub cut_off_services: BTreeSet<ServiceId>,
}

/// Members of the fleet known to this VM.
#[derive(Debug)]
pub struct Membership {
    /// Identity and address of this VM.
    me: PeerAddress,
    seeds: Vec<SocketAddrV4>,
    members: BTreeMap<VmId, Member>,
    /// Interval until the next heartbeat, in milliseconds.
    heartbeat_ms: u64,
    heartbeat_count: u64,
    /// Time of the last heartbeat from another reader in the local zone, or the start time of this
    /// VM.
    last_reader_ms: BootMs,
    started_ms: BootMs,
    /// Time of the first heartbeat from any other VM.
    first_heartbeat_ms: Option<BootMs>,
}

impl Membership {
    /// Creates the membership list of a VM that starts at `now` with only the seeds known.
    pub fn new(now: BootMs, me: PeerAddress, seeds: Vec<SocketAddrV4>) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != me.address).collect();
        Membership {
            me,
            seeds,
            members: BTreeMap::new(),
            heartbeat_ms: MIN_HEARTBEAT_MS,
            heartbeat_count: 0,
            last_reader_ms: now,
            started_ms: now,
            first_heartbeat_ms: None,
        }
    }

    /// Returns the identity and address of this VM.
    pub fn local_vm(&self) -> &PeerAddress {
        &self.me
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds.into_iter().filter(|seed| *seed != self.me.address).collect();
    }

    /// Processes a heartbeat. Returns whether the sender was silent or unknown before.
    pub fn on_heartbeat(&mut self, now: BootMs, sender: HeartbeatSender) -> bool {
        if sender.peer.vm == self.me.vm {
            return false;
        }
        let was_alive = self.is_alive(now, &sender.peer.vm);
        self.first_heartbeat_ms.get_or_insert(now);
        let member = Member {
            peer: sender.peer.clone(),
            last_heartbeat_ms: Some(now),
            discovered_ms: now,
            last_mention_ms: now,
            reads_platform: sender.reads_platform,
            store_progress: sender.store_progress,
            cut_off_services: sender.cut_off_services,
        };
        self.members.insert(sender.peer.vm, member);
        !was_alive
    }

    /// Records a member that another VM named. The address of a known member changes only if no
    /// heartbeat from the member arrived within a quarter of `SILENT_MEMBER_TTL_MS`.
    pub fn on_mentioned(&mut self, now: BootMs, peer: PeerAddress) {
        if peer.vm == self.me.vm {
            return;
        }
        let member = self.members.entry(peer.vm.clone()).or_insert_with(|| Member {
            peer: peer.clone(),
            last_heartbeat_ms: None,
            discovered_ms: now,
            last_mention_ms: now,
            reads_platform: false,
            store_progress: CopyProgress::default(),
            cut_off_services: BTreeSet::new(),
        });
        member.last_mention_ms = now;
        let is_silent =
            member.last_heartbeat_ms.is_none_or(|last| now.since(last) > SILENT_MEMBER_TTL_MS / 4);
        if is_silent {
            member.peer = peer;
        }
    }

    /// Removes a VM that announced its shutdown.
    pub fn on_shutdown(&mut self, vm: &VmId) {
        self.members.remove(vm);
    }

    /// Removes VMs that have been silent for `SILENT_MEMBER_TTL_MS`.
    pub fn expire(&mut self, now: BootMs) {
        self.members.retain(|_, member| {
            now.since(member.last_heartbeat_ms.unwrap_or(member.discovered_ms))
                < SILENT_MEMBER_TTL_MS
        });
    }

    /// Returns the interval until the next heartbeat, in milliseconds. The interval grows with the
    /// number of recipients.
    pub fn heartbeat_interval_ms(&self) -> u64 {
        self.heartbeat_ms
    }

    /// Reports whether a heartbeat from `vm` arrived within the last `MISSED_HEARTBEATS` intervals.
    pub fn is_alive(&self, now: BootMs, vm: &VmId) -> bool {
        let last_heartbeat_ms = self.members.get(vm).and_then(|member| member.last_heartbeat_ms);
        last_heartbeat_ms.is_some_and(|last| {
            now.since(last) < self.heartbeat_ms.max(MIN_HEARTBEAT_MS) * MISSED_HEARTBEATS
        })
    }

    /// Reports whether any other VM is alive.
    pub fn has_live_peers(&self, now: BootMs) -> bool {
        self.members.keys().any(|vm| self.is_alive(now, vm))
    }

    /// Returns all VMs that limits are divided over: this VM and every VM heard from or discovered
    /// within the last minute.
    pub fn known_vms(&self) -> Vec<VmId> {
        self.members.keys().cloned().chain([self.me.vm.clone()]).collect()
    }

    /// Reports whether this VM has started lately, so that it lacks what others were told before.
    pub fn is_starting(&self, now: BootMs) -> bool {
        now.since(self.started_ms) < STARTING_MS
    }

    /// Returns when this VM first heard from another one, or `None` if it has not yet. A VM without
    /// seeds looks for no others, and has known that since its start.
    pub fn discovered_ms(&self) -> Option<BootMs> {
        match self.seeds.is_empty() {
            true => Some(BootMs(0)),
            false => self.first_heartbeat_ms,
        }
    }

    /// Returns the addresses of the recipients of the next heartbeat, and updates the heartbeat
    /// interval.
    pub fn next_heartbeat_targets(&mut self, now: BootMs) -> Vec<SocketAddrV4> {
        self.heartbeat_count += 1;
        let all_due = self.heartbeat_count.is_multiple_of(SILENT_HEARTBEAT_STRIDE);
        let contacts = self.contacts(now);
        let bytes = contacts.len() as u64 * HEARTBEAT_BYTES;
        let heartbeat_ms =
            (bytes * 1_000 / TARGET_CONTROL_BYTES_PER_S).clamp(MIN_HEARTBEAT_MS, MAX_HEARTBEAT_MS);
        let due = contacts
            .into_iter()
            .filter(|vm| all_due || self.is_alive(now, vm) || self.was_recently_named(now, vm));
        let mut targets: BTreeSet<_> = due.map(|vm| self.members[vm].peer.address).collect();
        let has_no_peers = !self.has_live_peers(now);
        if has_no_peers || all_due {
            let known: BTreeSet<_> = self.members.values().map(|m| m.peer.address).collect();
            targets.extend(self.seeds.iter().filter(|seed| has_no_peers || !known.contains(seed)));
        }
        self.heartbeat_ms = if has_no_peers { NO_PEERS_HEARTBEAT_MS } else { heartbeat_ms };
        targets.into_iter().collect()
    }

    /// Returns up to `count` live members, chosen at random, for a heartbeat.
    pub fn sample_members(
        &self,
        now: BootMs,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<PeerAddress> {
        let alive = self.members.values().filter(|member| self.is_alive(now, &member.peer.vm));
        alive.map(|member| member.peer.clone()).sample(rng, count)
    }

    /// Returns the number of members that a heartbeat names.
    pub fn members_per_heartbeat(&self) -> usize {
        MEMBERS_PER_HEARTBEAT
    }

    /// Reports whether this VM should read from the platform: this VM ranks first in the local
    /// zone, or no other VM of the zone has read for [`READER_GRACE_MS`]. A starting VM first waits
    /// to discover other VMs.
    pub fn should_read_platform(&mut self, now: BootMs) -> bool {
        let mut readers = self.in_zone(&self.me.zone).filter(|member| member.reads_platform);
        let has_reader = readers.any(|member| self.is_alive(now, &member.peer.vm));
        drop(readers);
        if has_reader {
            self.last_reader_ms = now;
        }
        let has_waited = now.since(self.last_reader_ms) >= READER_GRACE_MS;
        has_waited || self.has_discovered_peers(now) && self.rank_in_zone(now) < READERS_PER_ZONE
    }

    /// Reports whether this VM has waited long enough to discover other VMs, if any exist.
    fn has_discovered_peers(&self, now: BootMs) -> bool {
        let discovery_wait_ms =
            if self.is_full_mesh() { DISCOVERY_WAIT_MS } else { LARGE_FLEET_DISCOVERY_WAIT_MS };
        match self.first_heartbeat_ms {
            Some(first_heartbeat_ms) => now.since(first_heartbeat_ms) >= discovery_wait_ms,
            None => self.seeds.is_empty() || now.since(self.started_ms) >= SEED_WAIT_MS,
        }
    }

    /// Returns the VMs that prefer `endpoint`, an endpoint of the local zone: all VMs in a small
    /// fleet, and `VMS_PER_ENDPOINT` VMs of the zone in a large fleet.
    pub fn preferred_senders(&self, now: BootMs, endpoint: &EndpointId) -> PreferredSenders {
        let alive = self.members.values().filter(|m| self.is_alive(now, &m.peer.vm));
        if self.is_full_mesh() {
            let others = alive.map(|member| member.peer.address).collect();
            return PreferredSenders { includes_local_vm: true, others };
        }
        let in_zone = alive.filter(|member| member.peer.zone == self.me.zone);
        let vms: Vec<&VmId> = in_zone.map(|member| &member.peer.vm).chain([&self.me.vm]).collect();
        let preferred =
            rank_candidates(endpoint.as_str(), vms.into_iter()).into_iter().take(VMS_PER_ENDPOINT);
        let (local, others): (Vec<_>, Vec<_>) = preferred.partition(|vm| **vm == self.me.vm);
        let others = others.into_iter().map(|vm| self.members[vm].peer.address).collect();
        PreferredSenders { includes_local_vm: !local.is_empty(), others }
    }

    /// Returns the addresses of VMs in another `zone` that relay messages to the VMs of that zone.
    pub fn relay_addresses(&self, now: BootMs, zone: &ZoneId) -> Vec<SocketAddrV4> {
        let known = self.in_zone(zone).filter(|m| now.since(m.last_mention_ms) < RELAY_TTL_MS);
        known.map(|member| member.peer.address).take(RELAYS_PER_ZONE).collect()
    }

    /// Reports whether another VM that is known has this IP address.
    pub fn has_member_at(&self, ip: IpAddr) -> bool {
        self.members.values().any(|member| IpAddr::V4(*member.peer.address.ip()) == ip)
    }

    /// Returns the zones from which this VM received heartbeats before, but in which all VMs are
    /// now silent. This VM is probably partitioned from the endpoints in these zones as well.
    pub fn unreachable_zones(&self, now: BootMs) -> BTreeSet<ZoneId> {
        let mut has_live_vm: BTreeMap<&ZoneId, bool> = BTreeMap::new();
        for member in self.members.values().filter(|member| member.last_heartbeat_ms.is_some()) {
            let is_live = has_live_vm.entry(&member.peer.zone).or_default();
            *is_live |= self.is_alive(now, &member.peer.vm);
        }
        let silent =
            has_live_vm.into_iter().filter(|(zone, is_live)| !is_live && **zone != self.me.zone);
        silent.map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns the zone of `vm`, if known.
    pub fn zone_of(&self, vm: &VmId) -> Option<&ZoneId> {
        self.members.get(vm).map(|member| &member.peer.zone)
    }

    /// Reports whether the last heartbeat of `vm` stated that `vm` reads from the platform.
    pub fn reads_platform(&self, vm: &VmId) -> bool {
        self.members.get(vm).is_some_and(|member| member.reads_platform)
    }

    /// Reports whether any other live VM reads from the platform.
    pub fn has_reader(&self, now: BootMs) -> bool {
        let mut readers = self.members.values().filter(|member| member.reads_platform);
        readers.any(|member| self.is_alive(now, &member.peer.vm))
    }

    /// Returns a live VM that holds changes of the store which a copy with `progress` lacks, from the
    /// local zone if possible. The VM is chosen at random: when a whole fleet starts, a fixed choice
    /// would send every VM to the same peer, and all of them would have to wait.
    pub fn peer_ahead_of(
        &self,
        now: BootMs,
        progress: CopyProgress,
        rng: &mut impl Rng,
    ) -> Option<PeerAddress> {
        let alive = self.members.values().filter(|member| self.is_alive(now, &member.peer.vm));
        let ahead = alive.filter(|member| progress.is_behind(&member.store_progress));
        let (same_zone, other_zones): (Vec<_>, Vec<_>) =
            ahead.partition(|member| member.peer.zone == self.me.zone);
        let choices = if same_zone.is_empty() { other_zones } else { same_zone };
        choices.into_iter().choose(rng).map(|member| member.peer.clone())
    }

    /// Returns the number of live VMs in the local zone, including this VM.
    pub fn live_vms_in_zone(&self, now: BootMs) -> usize {
        let others = self.in_zone(&self.me.zone).map(|member| &member.peer.vm);
        1 + others.filter(|vm| self.is_alive(now, vm)).count()
    }

    /// Returns the members in `zone`, without this VM.
    fn in_zone<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a Member> {
        self.members.values().filter(move |member| member.peer.zone == *zone)
    }

    /// Returns the number of VMs in the local zone that rank before this VM. A VM that was named
    /// recently counts until it has had time to send a heartbeat.
    fn rank_in_zone(&self, now: BootMs) -> usize {
        let ranked_before = self.in_zone(&self.me.zone).map(|member| &member.peer.vm);
        let ranked_before = ranked_before.filter(|vm| **vm < self.me.vm);
        ranked_before
            .filter(|vm| self.is_alive(now, vm) || self.was_recently_named(now, vm))
            .count()
    }

    /// Reports whether other VMs named `vm` so recently that a heartbeat from `vm` may not have
    /// arrived yet.
    fn was_recently_named(&self, now: BootMs, vm: &VmId) -> bool {
        self.members.get(vm).is_some_and(|member| {
            member.last_heartbeat_ms.is_none() && now.since(member.discovered_ms) < READER_GRACE_MS
        })
    }

    /// Reports whether the fleet is small enough for a full mesh.
    pub fn is_full_mesh(&self) -> bool {
        self.members.len() < FULL_MESH_VMS
    }

    /// Returns the VMs that this VM exchanges heartbeats with.
    ///
    /// In a large fleet, these are all VMs of the local zone and, if this VM is a gateway, the
    /// gateways of the other zones. The gateways of a zone are the VMs with the lowest ids among
    /// those that sent a heartbeat recently. VMs with lower ids from which no heartbeat arrived
    /// recently are included as well.
    fn contacts(&self, now: BootMs) -> Vec<&VmId> {
        if self.is_full_mesh() {
            return self.members.keys().collect();
        }
        let own_zone = self.in_zone(&self.me.zone).map(|member| &member.peer.vm);
        let mut contacts: Vec<_> = own_zone.collect();
        if self.is_gateway(now) {
            let mut per_zone: BTreeMap<&ZoneId, usize> = BTreeMap::new();
            for member in self.members.values().filter(|m| m.peer.zone != self.me.zone) {
                let gateways = per_zone.entry(&member.peer.zone).or_default();
                if *gateways < GATEWAYS_PER_ZONE {
                    *gateways += usize::from(was_heard(now, member));
                    contacts.push(&member.peer.vm);
                }
            }
        }
        contacts
    }

    /// Reports whether this VM is a gateway of its zone in a large fleet.
    pub fn is_gateway(&self, now: BootMs) -> bool {
        let ranked_before = self.in_zone(&self.me.zone).filter(|m| m.peer.vm < self.me.vm);
        let ranked_before = ranked_before.filter(|member| was_heard(now, member)).count();
        !self.is_full_mesh() && ranked_before < GATEWAYS_PER_ZONE
    }
}

/// Reports whether a heartbeat from `member` arrived recently enough for `member` to be a gateway.
fn was_heard(now: BootMs, member: &Member) -> bool {
    member
        .last_heartbeat_ms
        .is_some_and(|last| now.since(last) < MAX_HEARTBEAT_MS * MISSED_HEARTBEATS)
}
