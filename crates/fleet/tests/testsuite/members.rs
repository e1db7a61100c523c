//! Tests that VMs discover each other and that each zone has a VM that reads from the platform.

use gypsumchute_fleet::members::HeartbeatSender;
use gypsumchute_fleet::{CopyProgress, Membership, PeerAddress, StorePosition};
use gypsumchute_units::{BootMs, ServiceId, VmId, ZoneId};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

const STEP_MS: u64 = 100;
const START: BootMs = BootMs(1_000_000);

/// Returns the identity and address of the VM with this number.
fn peer(vm: usize, zones: usize) -> PeerAddress {
    let zone: ZoneId = format!("zone-{}", vm % zones).parse().expect("valid id");
    let ip = Ipv4Addr::new(10, 0, (vm / 250) as u8, (vm % 250) as u8 + 1);
    let vm: VmId = format!("vm-{vm:03}").parse().expect("valid id");
    PeerAddress { vm, zone, address: SocketAddrV4::new(ip, 7_200) }
}

/// Returns the progress of a copy that is complete up to `revision` of `era`.
fn progress(era: u64, revision: u64) -> CopyProgress {
    CopyProgress { position: StorePosition { era, revision }, ..CopyProgress::default() }
}

/// Simulated network of VMs that delivers heartbeats immediately, except to dead VMs and across a
/// partition.
struct SimulatedNetwork {
    vms: BTreeMap<SocketAddrV4, Membership>,
    next_heartbeat_ms: BTreeMap<SocketAddrV4, u64>,
    current_readers: BTreeSet<SocketAddrV4>,
    dead: BTreeSet<SocketAddrV4>,
    partitioned_zone: Option<ZoneId>,
    now: BootMs,
    rng: StdRng,
    datagrams: u64,
}

impl SimulatedNetwork {
    /// Creates `count` VMs in `zones` zones. The first three VMs are the seeds.
    fn new(count: usize, zones: usize) -> Self {
        let seeds: Vec<_> = (0..3).map(|vm| peer(vm, zones).address).collect();
        let vms = (0..count).map(|vm| {
            let me = peer(vm, zones);
            (me.address, Membership::new(START, me, seeds.clone()))
        });
        SimulatedNetwork {
            vms: vms.collect(),
            next_heartbeat_ms: BTreeMap::new(),
            current_readers: BTreeSet::new(),
            dead: BTreeSet::new(),
            partitioned_zone: None,
            now: START,
            rng: StdRng::seed_from_u64(7),
            datagrams: 0,
        }
    }

    /// Reports whether a heartbeat reaches the receiver.
    fn is_delivered(&self, from: &PeerAddress, to: &PeerAddress) -> bool {
        let is_partitioned =
            |peer: &PeerAddress| Some(&peer.zone) == self.partitioned_zone.as_ref();
        !self.dead.contains(&to.address) && is_partitioned(from) == is_partitioned(to)
    }

    /// Delivers a heartbeat to `targets`. A receiver that did not know the sender replies at once.
    fn send(&mut self, from: &PeerAddress, targets: &[SocketAddrV4], named: &[PeerAddress]) {
        let sender = self.vms.get_mut(&from.address).expect("known VM");
        let reads_platform = sender.should_read_platform(self.now);
        for target in targets {
            self.datagrams += 1;
            let Some(to) = self.vms.get(target).map(|vm| vm.local_vm().clone()) else { continue };
            if !self.is_delivered(from, &to) {
                continue;
            }
            let heartbeat = HeartbeatSender {
                peer: from.clone(),
                reads_platform,
                store_progress: progress(0, 1),
                cut_off_services: BTreeSet::new(),
            };
            let (now, receiver) = (self.now, self.vms.get_mut(target).expect("known VM"));
            let is_new = receiver.on_heartbeat(now, heartbeat);
            named.iter().for_each(|peer| receiver.on_mentioned(now, peer.clone()));
            if is_new {
                let members = receiver.sample_members(now, 48, &mut self.rng);
                self.send(&to, &[from.address], &members);
            }
        }
    }

    /// Advances the virtual time by `for_ms` milliseconds and sends the heartbeats that are due.
    fn run(&mut self, for_ms: u64) {
        let end = self.now + for_ms;
        while self.now < end {
            self.now = self.now + STEP_MS;
            for address in self.vms.keys().copied().collect::<Vec<_>>() {
                let due = self.next_heartbeat_ms.get(&address).copied().unwrap_or(0);
                // A VM that becomes a reader sends a heartbeat immediately.
                let sends_early = self.becomes_reader(address);
                if self.dead.contains(&address) || due > self.now.0 && !sends_early {
                    continue;
                }
                let vm = self.vms.get_mut(&address).expect("known VM");
                vm.expire(self.now);
                let targets = vm.next_heartbeat_targets(self.now);
                let count = vm.members_per_heartbeat();
                let named = vm.sample_members(self.now, count, &mut self.rng);
                let (me, next) = (vm.local_vm().clone(), self.now.0 + vm.heartbeat_interval_ms());
                self.next_heartbeat_ms.insert(address, next);
                self.send(&me, &targets, &named);
            }
        }
    }

    /// Updates whether the VM reads from the platform. Returns whether the VM has just become a
    /// reader.
    fn becomes_reader(&mut self, address: SocketAddrV4) -> bool {
        match self.vms.get_mut(&address).is_some_and(|vm| vm.should_read_platform(self.now)) {
            true => self.current_readers.insert(address),
            false => {
                self.current_readers.remove(&address);
                false
            }
        }
    }

    /// Returns the number of live VMs that read from the platform, by zone.
    fn readers(&mut self) -> BTreeMap<String, usize> {
        let mut readers: BTreeMap<String, usize> = BTreeMap::new();
        let alive = self.vms.iter_mut().filter(|(address, _)| !self.dead.contains(address));
        for (_, vm) in alive {
            let is_reader = vm.should_read_platform(self.now);
            let count = readers.entry(vm.local_vm().zone.to_string()).or_default();
            *count += usize::from(is_reader);
        }
        readers
    }
}

#[test]
fn vms_with_three_seeds_discover_each_other_within_seconds() {
    for (count, zones) in [(7, 4), (90, 4)] {
        let mut net = SimulatedNetwork::new(count, zones);
        net.run(5_000);
        for vm in net.vms.values() {
            let zone = &vm.local_vm().zone;
            let of_zone = (0..count).map(|vm| peer(vm, zones)).filter(|peer| peer.zone == *zone);
            for peer in of_zone.filter(|peer| peer.vm != vm.local_vm().vm) {
                let is_alive = vm.is_alive(net.now, &peer.vm);
                assert!(
                    is_alive,
                    "{count} VMs: {} has received no heartbeat from {}",
                    vm.local_vm().vm,
                    peer.vm
                );
            }
        }
    }
}

#[test]
fn one_vm_per_zone_reads_and_is_replaced_within_two_seconds() {
    let mut net = SimulatedNetwork::new(12, 4);
    net.run(5_000);
    let readers = net.readers();
    assert!(readers.values().all(|count| *count == 1), "{readers:?}");
    net.dead.insert(peer(0, 4).address);
    net.run(2_000);
    let readers = net.readers();
    assert!(readers.values().all(|count| *count >= 1), "{readers:?}");
}

#[test]
fn few_vms_read_while_a_fleet_starts() {
    // A tenth of the read rate of a fleet in which each of 90 VMs reads twice per second.
    const MAX_READERS: usize = 18;
    let mut net = SimulatedNetwork::new(90, 4);
    let mut max_readers: usize = 0;
    for _ in 0..30 {
        net.run(STEP_MS);
        max_readers = max_readers.max(net.readers().values().sum());
    }
    assert!(max_readers <= MAX_READERS, "{max_readers} VMs read at the same time");
    let readers = net.readers();
    assert!(readers.values().all(|count| *count == 1), "{readers:?}");
}

#[test]
fn a_partitioned_zone_keeps_a_reader_and_rejoins() {
    let mut net = SimulatedNetwork::new(9, 3);
    net.run(5_000);
    net.partitioned_zone = Some(peer(1, 3).zone);
    net.run(1_600);
    let silent = net.vms[&peer(0, 3).address].unreachable_zones(net.now);
    assert_eq!(silent, [peer(1, 3).zone].into());
    net.run(4_400);
    let readers = net.readers();
    assert!(readers.values().all(|count| *count >= 1), "{readers:?}");
    net.partitioned_zone = None;
    net.run(3_000);
    let vm = &net.vms[&peer(0, 3).address];
    assert!(vm.unreachable_zones(net.now).is_empty());
    assert!((1..9).all(|other| vm.is_alive(net.now, &peer(other, 3).vm)));
}

#[test]
fn silent_vms_count_in_divided_limits_for_a_minute() {
    let mut net = SimulatedNetwork::new(5, 1);
    net.run(3_000);
    let first = peer(0, 1).address;
    net.dead.extend((1..5).map(|vm| peer(vm, 1).address));
    net.run(30_000);
    assert_eq!(net.vms[&first].known_vms().len(), 5);
    net.run(40_000);
    assert_eq!(net.vms[&first].known_vms().len(), 1);
}

#[test]
fn heartbeat_rate_per_vm_does_not_grow_with_the_fleet() {
    let datagrams_per_vm_s = |count: usize, zones: usize| {
        let mut net = SimulatedNetwork::new(count, zones);
        net.run(6_000);
        net.datagrams = 0;
        net.run(10_000);
        net.datagrams as f64 / 10.0 / count as f64
    };
    let (small, large) = (datagrams_per_vm_s(52, 2), datagrams_per_vm_s(416, 16));
    assert!(
        large < small * 1.5,
        "{small:.1} datagrams per VM and second with 2 zones of 26 VMs, {large:.1} with 16 zones"
    );
}

#[test]
fn stale_vms_fetch_changes_from_different_peers() {
    let mut net = SimulatedNetwork::new(20, 2);
    net.run(3_000);
    let me = peer(0, 2);
    let vm = net.vms.get_mut(&me.address).expect("known VM");
    let fresh_heartbeat = |number: usize| HeartbeatSender {
        peer: peer(number, 2),
        reads_platform: false,
        store_progress: progress(0, 7),
        cut_off_services: BTreeSet::new(),
    };
    // VMs of the local zone have even numbers.
    for number in [1, 3, 4, 6, 8] {
        vm.on_heartbeat(net.now, fresh_heartbeat(number));
    }
    let mut chosen = BTreeSet::new();
    for _ in 0..40 {
        let peer_ahead = vm
            .peer_ahead_of(net.now, progress(0, 3), &mut net.rng)
            .expect("a VM ahead of revision 3");
        chosen.insert(peer_ahead.vm.to_string());
    }
    assert_eq!(chosen, ["vm-004", "vm-006", "vm-008"].map(str::to_owned).into());
    assert_eq!(vm.peer_ahead_of(net.now, progress(0, 7), &mut net.rng), None);
}

/// Guards against a VM that knows a lost history and looks ahead of those that know the new one.
#[test]
fn a_vm_of_a_newer_era_is_ahead_of_one_with_a_higher_revision() {
    let mut net = SimulatedNetwork::new(4, 2);
    net.run(3_000);
    let vm = net.vms.get_mut(&peer(0, 2).address).expect("known VM");
    let mut ahead_of = |own: CopyProgress, others: CopyProgress| {
        let sender = HeartbeatSender {
            peer: peer(2, 2),
            reads_platform: true,
            store_progress: others,
            cut_off_services: BTreeSet::new(),
        };
        vm.on_heartbeat(net.now, sender);
        vm.peer_ahead_of(net.now, own, &mut net.rng).is_some()
    };
    let merged =
        |own: CopyProgress| CopyProgress { merged: StorePosition { era: 1, revision: 60 }, ..own };
    assert!(ahead_of(progress(1, 60), progress(2, 17)));
    assert!(!ahead_of(progress(2, 17), progress(1, 60)));
    // The other VM still holds what the store has lost.
    assert!(ahead_of(progress(2, 17), merged(progress(2, 17))));
    assert!(!ahead_of(merged(progress(2, 17)), progress(2, 17)));
    assert!(!ahead_of(merged(progress(2, 17)), merged(progress(2, 17))));
}

/// Guards against records of streams that a VM can't find: the VM that began the stream is gone, and
/// the caller resumes the stream in the same zone or in another one.
#[test]
fn the_record_of_a_stream_is_found_after_its_vm_was_lost() {
    let mut net = SimulatedNetwork::new(90, 4);
    net.run(12_000);
    let server = peer(6, 4);
    let (same_zone, other_zone) = (peer(10, 4), peer(11, 4));
    let keys: Vec<String> = (0..200).map(|key| format!("stream-{key}")).collect();
    let holders: Vec<_> = keys
        .iter()
        .map(|key| net.vms[&server.address].stream_record_addresses(net.now, key))
        .collect();
    net.dead.insert(server.address);
    for wait_ms in [0, 3_000] {
        net.run(wait_ms);
        for (key, holders) in keys.iter().zip(&holders) {
            assert_eq!(holders.len(), 2);
            let holds = |asked: &[SocketAddrV4]| holders.iter().any(|vm| asked.contains(vm));
            let asked = net.vms[&same_zone.address].stream_query_addresses(net.now, key);
            assert!(holds(&asked) || holders.contains(&same_zone.address), "{key} in the zone");
            let relays = net.vms[&other_zone.address].stream_relay_addresses(net.now);
            let relays = relays.iter().filter(|relay| !net.dead.contains(relay));
            let is_found = relays.clone().any(|relay| {
                holds(&net.vms[relay].stream_query_addresses(net.now, key))
                    || holders.contains(relay)
            });
            assert!(is_found, "{key} from another zone, over {:?}", relays.collect::<Vec<_>>());
        }
    }
}

/// Guards against VMs that restart and lack the records of streams that began before: in a large fleet
/// the other VM that keeps a record, and the one that serves the stream, send it to them; in a small one
/// two others do.
#[test]
fn a_vm_that_joins_is_sent_the_records_that_it_should_keep() {
    for (count, zones, most) in [(90, 4, 2), (7, 4, 3), (2, 1, 1)] {
        let mut net = SimulatedNetwork::new(count, zones);
        net.run(12_000);
        let server = peer(zones, zones);
        let server = if count > zones { server } else { peer(0, zones) };
        for key in (0..60).map(|key| format!("stream-{key}")) {
            let keepers = net.vms[&server.address].stream_record_addresses(net.now, &key);
            for newcomer in (0..count).map(|number| peer(number, zones)) {
                let passes_on = |address: &SocketAddrV4, is_served_here| {
                    let vm = &net.vms[address];
                    *address != newcomer.address
                        && vm.should_pass_on_record(net.now, &key, &newcomer, is_served_here)
                };
                let by_keepers = keepers.iter().filter(|keeper| passes_on(keeper, false)).count();
                let senders = by_keepers + usize::from(passes_on(&server.address, true));
                match keepers.contains(&newcomer.address) {
                    true => assert!((1..=most).contains(&senders), "{count} VMs: {senders}"),
                    false if newcomer.address == server.address => {}
                    false => assert!(!passes_on(&server.address, true), "{count} VMs"),
                }
            }
        }
    }
}

/// Guards against a zone whose VMs are all cut off from the endpoints and find no other VM.
#[test]
fn vms_of_other_zones_are_asked_where_the_own_zone_is_cut_off() {
    let books: ServiceId = "books".parse().expect("valid id");
    for (count, zones) in [(8, 4), (90, 4), (416, 16)] {
        let mut net = SimulatedNetwork::new(count, zones);
        net.run(12_000);
        let me = peer(zones, zones);
        let targets = |net: &mut SimulatedNetwork, service: &ServiceId, allowed: &[&str]| {
            let allowed = allowed.iter().map(|zone| zone.parse().expect("valid id")).collect();
            let vm = &net.vms[&me.address];
            let targets = vm.forwarding_targets(net.now, service, &allowed, &mut net.rng);
            targets.into_iter().map(|peer| peer.zone.to_string()).collect::<Vec<_>>()
        };
        let own_zone = me.zone.to_string();
        let near = targets(&mut net, &books, &[]);
        assert_eq!(near[0], own_zone, "the own zone comes first");
        assert_ne!(*near.last().expect("targets"), own_zone);
        for number in (0..count).step_by(zones) {
            let heartbeat = HeartbeatSender {
                peer: peer(number, zones),
                reads_platform: false,
                store_progress: progress(0, 1),
                cut_off_services: BTreeSet::from([books.clone()]),
            };
            let now = net.now;
            net.vms.get_mut(&me.address).expect("known VM").on_heartbeat(now, heartbeat);
        }
        let far = targets(&mut net, &books, &[]);
        assert!(!far.is_empty() && !far.contains(&own_zone), "{count} VMs: {far:?}");
        let other_service = targets(&mut net, &"engines".parse().expect("valid id"), &[]);
        assert_eq!(other_service[0], own_zone);
        let allowed_zone = peer(1, zones).zone.to_string();
        let allowed = targets(&mut net, &books, &[&allowed_zone]);
        assert!(!allowed.is_empty() && allowed.iter().all(|zone| *zone == allowed_zone));
        assert!(targets(&mut net, &books, &["nowhere"]).is_empty());
    }
}
