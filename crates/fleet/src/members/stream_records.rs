//! Which VMs keep the records of streams, and are asked for them.
//!
//! In a small fleet, all VMs keep all records. In a large one, the VMs of the zone that rank first for
//! the stream keep its record.

use super::{Membership, PeerAddress};
use gypsumchute_units::rendezvous::rank_candidates;
use gypsumchute_units::{BootMs, VmId, ZoneId};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// Number of VMs of the zone that keep a record of a stream in a large fleet, besides the VM that
/// serves the stream. One of them may be lost together with that VM.
const STREAM_RECORD_VMS: usize = 2;
/// Number of VMs of a zone that are asked for the record of a stream in a large fleet. It exceeds
/// [`STREAM_RECORD_VMS`], because VMs may have been lost or found since the record was sent.
const STREAM_QUERY_VMS: usize = 4;

impl Membership {
    /// Returns the addresses of the VMs that keep the record of the stream `key`: all live VMs in a
    /// small fleet, and some VMs of the local zone in a large one.
    pub fn stream_record_addresses(&self, now: BootMs, key: &str) -> Vec<SocketAddrV4> {
        self.ranked_for_stream(now, key, STREAM_RECORD_VMS)
    }

    /// Returns the addresses of the VMs that may have kept the record of the stream `key` if a VM of
    /// the local zone sent it.
    pub fn stream_query_addresses(&self, now: BootMs, key: &str) -> Vec<SocketAddrV4> {
        self.ranked_for_stream(now, key, STREAM_QUERY_VMS)
    }

    /// Returns the addresses of VMs that relay queries to the VMs of the other zones. Empty in a
    /// small fleet, in which all VMs keep all records.
    pub fn stream_relay_addresses(&self, now: BootMs) -> Vec<SocketAddrV4> {
        if self.is_full_mesh() {
            return Vec::new();
        }
        let zones: BTreeSet<&ZoneId> = self.members.values().map(|m| &m.peer.zone).collect();
        let others = zones.into_iter().filter(|zone| **zone != self.me.zone);
        others.flat_map(|zone| self.relay_addresses(now, zone)).collect()
    }

    /// Reports whether this VM sends the record of the stream `key` to `newcomer`, a VM that may have
    /// missed it: the newcomer keeps such records, and this VM serves the stream (`is_served_here`) or
    /// ranks first among the others that keep it.
    pub fn should_pass_on_record(
        &self,
        now: BootMs,
        key: &str,
        newcomer: &PeerAddress,
        is_served_here: bool,
    ) -> bool {
        if !self.stream_record_addresses(now, key).contains(&newcomer.address) {
            return false;
        }
        let keepers = self.record_keepers(now).filter(|vm| **vm != newcomer.vm);
        let ranked = rank_candidates(key, keepers.chain([&self.me.vm]));
        is_served_here || ranked.iter().take(STREAM_RECORD_VMS).any(|vm| **vm == self.me.vm)
    }

    /// Returns the addresses of the other live VMs of the local zone that rank first for `key`, or
    /// of all other live VMs in a small fleet.
    fn ranked_for_stream(&self, now: BootMs, key: &str, count: usize) -> Vec<SocketAddrV4> {
        let keepers = self.record_keepers(now);
        let (chosen, count): (Vec<&VmId>, usize) = match self.is_full_mesh() {
            true => (keepers.collect(), usize::MAX),
            false => (rank_candidates(key, keepers), count),
        };
        chosen.into_iter().take(count).map(|vm| self.members[vm].peer.address).collect()
    }

    /// Returns the other VMs that may keep records of this VM's streams.
    fn record_keepers(&self, now: BootMs) -> impl Iterator<Item = &VmId> {
        let alive = self.members.values().filter(move |m| self.is_alive(now, &m.peer.vm));
        let near = alive.filter(|m| self.is_full_mesh() || m.peer.zone == self.me.zone);
        near.map(|member| &member.peer.vm)
    }
}
