//! The VMs of the fleet, learnt from each other, and who of them reads the platform.
//!
//! Nothing lists the VMs: each begins with a few seeds that may be gone, and heartbeats carry some
//! of the members that the sender knows. All VMs of a small fleet keep in touch with each other.
//! In a large one a VM keeps in touch with its zone, and two gateways a zone with those of the
//! other zones, so that a VM's traffic grows with its zone and not with the fleet.

use gypsumchute_units::rendezvous::ranked;
use gypsumchute_units::{BootMs, EndpointId, VmId, ZoneId};
use rand::Rng;
use rand::seq::IteratorRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// Up to this many VMs all keep in touch with all.
const FULL_MESH_VMS: usize = 16;
/// VMs of each zone that speak to other zones, in a larger fleet.
const GATEWAYS_PER_ZONE: usize = 2;
/// VMs that share an endpoint in a larger fleet: enough for each VM to have a choice of endpoints
/// whose load it knows, few enough that telling each other costs less than telling the zone.
const SHARERS: usize = 8;
/// VMs of another zone that are sent what is to be handed on there: one may be gone.
const RELAYS: usize = 2;
/// How long a VM that others name counts where something is to be handed on. Each is named every
/// few seconds.
const NAMED_LATELY_MS: u64 = 15_000;
/// VMs of each zone that read the platform. The other zones' readers are heard as well, and a VM
/// that hears of no reader in its zone reads itself.
const READERS_PER_ZONE: usize = 1;
/// How long a VM that does not rank first waits for a reader of its zone before it reads itself:
/// two heartbeats, and less than what is left of 2 s once a reader was missed.
const READER_GRACE_MS: u64 = 700;
/// How long a VM that starts waits for its seeds before it may read, in ms: a fleet's VMs start
/// within 0.3 s of each other.
const ALONE_MS: u64 = 350;
/// How long a VM that heard of others waits for those that they name: a heartbeat of a VM alone.
const NAMED_MS: u64 = 100;
/// The same in a large fleet, whose members are named over several heartbeats.
const MANY_NAMED_MS: u64 = 350;
/// Shortest time between two heartbeats.
pub const MIN_HEARTBEAT_MS: u64 = 300;
/// Time between two heartbeats of a VM that has heard nobody yet. They go to its seeds only.
const ALONE_HEARTBEAT_MS: u64 = 100;
/// Longest time between two heartbeats: what a VM learns must be known within 2 s.
const MAX_HEARTBEAT_MS: u64 = 600;
/// Estimated size of a heartbeat, in bytes.
const HEARTBEAT_BYTES: u64 = 110;
/// What a VM may send for control, in bytes a second.
const CONTROL_BYTES_PER_S: u64 = 2_000;
/// Heartbeats in a row that are missed by a VM that is taken for silent.
const MISSED_HEARTBEATS: u64 = 3;
/// How long a silent VM is remembered and counts where limits are divided.
const REMEMBER_MS: u64 = 60_000;
/// A silent VM is tried with each of so many heartbeats.
const TRY_SILENT_EVERY: u64 = 4;
/// Members that a heartbeat names.
const MEMBERS_PER_HEARTBEAT: usize = 3;
/// Members that the answer to a joining VM names.
pub const MEMBERS_PER_ANSWER: usize = 48;

/// Where a VM is heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// The VM.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it listens for other VMs.
    pub address: SocketAddrV4,
}

#[derive(Debug)]
struct Member {
    peer: PeerAddress,
    /// When a heartbeat of its own came; none if only others told of it.
    heard_ms: Option<BootMs>,
    learnt_ms: BootMs,
    /// When it was last heard of.
    known_ms: BootMs,
    reads_platform: bool,
    store_revision: u64,
}

/// The VMs that share an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sharers {
    /// Whether this VM is one of them.
    pub includes_me: bool,
    /// Where the others are heard.
    pub others: Vec<SocketAddrV4>,
}

/// What a heartbeat says of its sender.
#[derive(Debug, Clone)]
pub struct Heard {
    /// Who.
    pub peer: PeerAddress,
    /// Whether it reads the platform itself and its reads succeed.
    pub reads_platform: bool,
    /// The revision through which it knows all changes.
    pub store_revision: u64,
}

/// The members that this VM knows.
#[derive(Debug)]
pub struct Members {
    me: PeerAddress,
    seeds: Vec<SocketAddrV4>,
    members: BTreeMap<VmId, Member>,
    heartbeat_ms: u64,
    beats: u64,
    /// When another reader of the own zone was last heard; at the start, when this VM started.
    reader_heard_ms: BootMs,
    started_ms: BootMs,
    /// When the first other VM was heard.
    company_ms: Option<BootMs>,
}

impl Members {
    /// Knows nobody but the seeds at `now`, when it starts.
    pub fn new(now: BootMs, me: PeerAddress, seeds: Vec<SocketAddrV4>) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != me.address).collect();
        Members {
            me,
            seeds,
            members: BTreeMap::new(),
            heartbeat_ms: MIN_HEARTBEAT_MS,
            beats: 0,
            reader_heard_ms: now,
            started_ms: now,
            company_ms: None,
        }
    }

    /// This VM.
    pub fn me(&self) -> &PeerAddress {
        &self.me
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds.into_iter().filter(|seed| *seed != self.me.address).collect();
    }

    /// Takes in a heartbeat; returns whether its sender was silent or unknown before.
    pub fn on_heartbeat(&mut self, now: BootMs, heard: Heard) -> bool {
        if heard.peer.vm == self.me.vm {
            return false;
        }
        let was_alive = self.is_alive(now, &heard.peer.vm);
        self.company_ms.get_or_insert(now);
        let member = Member {
            peer: heard.peer.clone(),
            heard_ms: Some(now),
            learnt_ms: now,
            known_ms: now,
            reads_platform: heard.reads_platform,
            store_revision: heard.store_revision,
        };
        self.members.insert(heard.peer.vm, member);
        !was_alive
    }

    /// Takes in a member that another VM named.
    pub fn on_named(&mut self, now: BootMs, peer: PeerAddress) {
        if peer.vm == self.me.vm {
            return;
        }
        let member = self.members.entry(peer.vm.clone()).or_insert_with(|| Member {
            peer: peer.clone(),
            heard_ms: None,
            learnt_ms: now,
            known_ms: now,
            reads_platform: false,
            store_revision: 0,
        });
        member.known_ms = now;
        let silent = member.heard_ms.is_none_or(|heard| now.since(heard) > REMEMBER_MS / 4);
        if silent {
            member.peer = peer;
        }
    }

    /// Takes in that a VM shuts down.
    pub fn on_leaving(&mut self, vm: &VmId) {
        self.members.remove(vm);
    }

    /// Forgets VMs that have been silent for long.
    pub fn expire(&mut self, now: BootMs) {
        self.members.retain(|_, member| {
            now.since(member.heard_ms.unwrap_or(member.learnt_ms)) < REMEMBER_MS
        });
    }

    /// Time between two heartbeats: longer where there are many to send to.
    pub fn heartbeat_ms(&self) -> u64 {
        self.heartbeat_ms
    }

    /// Whether `vm` was heard lately.
    pub fn is_alive(&self, now: BootMs, vm: &VmId) -> bool {
        let heard_ms = self.members.get(vm).and_then(|member| member.heard_ms);
        heard_ms.is_some_and(|heard| {
            now.since(heard) < self.heartbeat_ms.max(MIN_HEARTBEAT_MS) * MISSED_HEARTBEATS
        })
    }

    /// Whether any other VM was heard lately.
    pub fn has_company(&self, now: BootMs) -> bool {
        self.members.keys().any(|vm| self.is_alive(now, vm))
    }

    /// All VMs that limits are divided over: those heard of in the last minute, and this one.
    pub fn all_vms(&self) -> Vec<VmId> {
        self.members.keys().cloned().chain([self.me.vm.clone()]).collect()
    }

    /// Whom the next heartbeat goes to.
    pub fn next_targets(&mut self, now: BootMs) -> Vec<SocketAddrV4> {
        self.beats += 1;
        let try_silent = self.beats.is_multiple_of(TRY_SILENT_EVERY);
        let contacts = self.contacts(now);
        let bytes = contacts.len() as u64 * HEARTBEAT_BYTES;
        let heartbeat_ms =
            (bytes * 1_000 / CONTROL_BYTES_PER_S).clamp(MIN_HEARTBEAT_MS, MAX_HEARTBEAT_MS);
        let due = contacts
            .into_iter()
            .filter(|vm| try_silent || self.is_alive(now, vm) || self.was_just_named(now, vm));
        let mut targets: BTreeSet<_> = due.map(|vm| self.members[vm].peer.address).collect();
        let alone = !self.has_company(now);
        if alone || try_silent {
            let known: BTreeSet<_> = self.members.values().map(|m| m.peer.address).collect();
            targets.extend(self.seeds.iter().filter(|seed| alone || !known.contains(seed)));
        }
        self.heartbeat_ms = if alone { ALONE_HEARTBEAT_MS } else { heartbeat_ms };
        targets.into_iter().collect()
    }

    /// Some members, for a heartbeat.
    pub fn some_members(&self, now: BootMs, count: usize, rng: &mut impl Rng) -> Vec<PeerAddress> {
        let alive = self.members.values().filter(|member| self.is_alive(now, &member.peer.vm));
        alive.map(|member| member.peer.clone()).sample(rng, count)
    }

    /// How many members a heartbeat names.
    pub fn members_per_heartbeat(&self) -> usize {
        MEMBERS_PER_HEARTBEAT
    }

    /// Whether this VM reads the platform: it ranks first in its zone, or nobody else there has
    /// read it for [`READER_GRACE_MS`]. One that starts first learns who else there is.
    pub fn should_read(&mut self, now: BootMs) -> bool {
        let mut readers = self.in_zone(&self.me.zone).filter(|member| member.reads_platform);
        let has_reader = readers.any(|member| self.is_alive(now, &member.peer.vm));
        drop(readers);
        if has_reader {
            self.reader_heard_ms = now;
        }
        let has_waited = now.since(self.reader_heard_ms) >= READER_GRACE_MS;
        has_waited || self.knows_others(now) && self.rank_in_zone(now) < READERS_PER_ZONE
    }

    /// Whether this VM had the time to learn of the others, if there are any.
    fn knows_others(&self, now: BootMs) -> bool {
        let named_ms = if self.is_full_mesh() { NAMED_MS } else { MANY_NAMED_MS };
        match self.company_ms {
            Some(company_ms) => now.since(company_ms) >= named_ms,
            None => self.seeds.is_empty() || now.since(self.started_ms) >= ALONE_MS,
        }
    }

    /// Who sends to `endpoint` of the own zone before it sends to others: all VMs of a small fleet,
    /// a few of a zone's VMs in a large one. They tell each other at once what they send there.
    pub fn sharers(&self, now: BootMs, endpoint: &EndpointId) -> Sharers {
        let alive = self.members.values().filter(|m| self.is_alive(now, &m.peer.vm));
        if self.is_full_mesh() {
            let others = alive.map(|member| member.peer.address).collect();
            return Sharers { includes_me: true, others };
        }
        let in_zone = alive.filter(|member| member.peer.zone == self.me.zone);
        let vms: Vec<&VmId> = in_zone.map(|member| &member.peer.vm).chain([&self.me.vm]).collect();
        let first = ranked(endpoint.as_str(), vms.into_iter()).into_iter().take(SHARERS);
        let (own, others): (Vec<_>, Vec<_>) = first.partition(|vm| **vm == self.me.vm);
        let others = others.into_iter().map(|vm| self.members[vm].peer.address).collect();
        Sharers { includes_me: !own.is_empty(), others }
    }

    /// Where VMs of another `zone` are heard that hand on what the VMs there should know.
    pub fn relays(&self, now: BootMs, zone: &ZoneId) -> Vec<SocketAddrV4> {
        let known = self.in_zone(zone).filter(|m| now.since(m.known_ms) < NAMED_LATELY_MS);
        known.map(|member| member.peer.address).take(RELAYS).collect()
    }

    /// Zones whose VMs all fell silent although this VM keeps in touch with them: it is likely to
    /// be cut off from their endpoints as well.
    pub fn silent_zones(&self, now: BootMs) -> BTreeSet<ZoneId> {
        let mut heard: BTreeMap<&ZoneId, bool> = BTreeMap::new();
        for member in self.members.values().filter(|member| member.heard_ms.is_some()) {
            let zone = heard.entry(&member.peer.zone).or_default();
            *zone |= self.is_alive(now, &member.peer.vm);
        }
        let silent = heard.into_iter().filter(|(zone, heard)| !heard && **zone != self.me.zone);
        silent.map(|(zone, _)| zone.clone()).collect()
    }

    /// The zone of `vm`, if it is known.
    pub fn zone_of(&self, vm: &VmId) -> Option<&ZoneId> {
        self.members.get(vm).map(|member| &member.peer.zone)
    }

    /// Whether `vm` reads the platform itself, as it last said.
    pub fn reads_platform(&self, vm: &VmId) -> bool {
        self.members.get(vm).is_some_and(|member| member.reads_platform)
    }

    /// Whether a live VM reads the platform itself.
    pub fn has_reader(&self, now: BootMs) -> bool {
        let mut readers = self.members.values().filter(|member| member.reads_platform);
        readers.any(|member| self.is_alive(now, &member.peer.vm))
    }

    /// A live VM that knows more than `revision`, one of the own zone if there is any. Any of them
    /// will do: where a whole fleet starts, all would ask the first one that knows, and wait.
    pub fn ahead_of(&self, now: BootMs, revision: u64, rng: &mut impl Rng) -> Option<PeerAddress> {
        let alive = self.members.values().filter(|member| self.is_alive(now, &member.peer.vm));
        let ahead = alive.filter(|member| member.store_revision > revision);
        let (near, far): (Vec<_>, Vec<_>) =
            ahead.partition(|member| member.peer.zone == self.me.zone);
        let any = if near.is_empty() { far } else { near };
        any.into_iter().choose(rng).map(|member| member.peer.clone())
    }

    /// Live VMs of the own zone, this one included.
    pub fn vms_in_zone(&self, now: BootMs) -> usize {
        let others = self.in_zone(&self.me.zone).map(|member| &member.peer.vm);
        1 + others.filter(|vm| self.is_alive(now, vm)).count()
    }

    fn in_zone<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a Member> {
        self.members.values().filter(move |member| member.peer.zone == *zone)
    }

    /// VMs of the own zone that come before this one. One that was just named counts until it had
    /// the time to be heard.
    fn rank_in_zone(&self, now: BootMs) -> usize {
        let before_me = self.in_zone(&self.me.zone).map(|member| &member.peer.vm);
        let before_me = before_me.filter(|vm| **vm < self.me.vm);
        before_me.filter(|vm| self.is_alive(now, vm) || self.was_just_named(now, vm)).count()
    }

    /// Whether others told of `vm` too short a time ago for it to be heard.
    fn was_just_named(&self, now: BootMs, vm: &VmId) -> bool {
        self.members.get(vm).is_some_and(|member| {
            member.heard_ms.is_none() && now.since(member.learnt_ms) < READER_GRACE_MS
        })
    }

    /// Whether all VMs keep in touch with all.
    pub fn is_full_mesh(&self) -> bool {
        self.members.len() < FULL_MESH_VMS
    }

    /// The VMs that this one keeps in touch with.
    fn contacts(&self, now: BootMs) -> Vec<&VmId> {
        if self.is_full_mesh() {
            return self.members.keys().collect();
        }
        let heard = |vm: &VmId| {
            let heard_ms = self.members[vm].heard_ms;
            heard_ms.is_some_and(|heard| now.since(heard) < MAX_HEARTBEAT_MS * MISSED_HEARTBEATS)
        };
        let own_zone = self.in_zone(&self.me.zone).map(|member| &member.peer.vm);
        let mut contacts: Vec<_> = own_zone.collect();
        let before_me = contacts.iter().filter(|vm| ***vm < self.me.vm && heard(vm)).count();
        if before_me < GATEWAYS_PER_ZONE {
            let mut per_zone: BTreeMap<&ZoneId, usize> = BTreeMap::new();
            for member in self.members.values().filter(|m| m.peer.zone != self.me.zone) {
                let gateways = per_zone.entry(&member.peer.zone).or_default();
                if *gateways < GATEWAYS_PER_ZONE {
                    *gateways += usize::from(heard(&member.peer.vm));
                    contacts.push(&member.peer.vm);
                }
            }
        }
        contacts
    }
}
