//! VMs find each other, and in each zone somebody reads the platform.

use gypsumchute_fleet::members::Heard;
use gypsumchute_fleet::{Members, PeerAddress};
use gypsumchute_units::{BootMs, VmId, ZoneId};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

const STEP_MS: u64 = 100;
const START: BootMs = BootMs(1_000_000);

fn peer(vm: usize, zones: usize) -> PeerAddress {
    let zone: ZoneId = format!("zone-{}", vm % zones).parse().expect("an id");
    let ip = Ipv4Addr::new(10, 0, (vm / 250) as u8, (vm % 250) as u8 + 1);
    let vm: VmId = format!("vm-{vm:03}").parse().expect("an id");
    PeerAddress { vm, zone, address: SocketAddrV4::new(ip, 7_200) }
}

/// VMs whose heartbeats arrive at once, unless a cut or a death keeps them away.
struct Net {
    vms: BTreeMap<SocketAddrV4, Members>,
    next_ms: BTreeMap<SocketAddrV4, u64>,
    reads: BTreeSet<SocketAddrV4>,
    dead: BTreeSet<SocketAddrV4>,
    cut_zone: Option<ZoneId>,
    now: BootMs,
    rng: StdRng,
    datagrams: u64,
}

impl Net {
    fn of(count: usize, zones: usize) -> Self {
        let seeds: Vec<_> = (0..3).map(|vm| peer(vm, zones).address).collect();
        let vms = (0..count).map(|vm| {
            let me = peer(vm, zones);
            (me.address, Members::new(START, me, seeds.clone()))
        });
        Net {
            vms: vms.collect(),
            next_ms: BTreeMap::new(),
            reads: BTreeSet::new(),
            dead: BTreeSet::new(),
            cut_zone: None,
            now: START,
            rng: StdRng::seed_from_u64(7),
            datagrams: 0,
        }
    }

    fn passes(&self, from: &PeerAddress, to: &PeerAddress) -> bool {
        let in_cut = |peer: &PeerAddress| Some(&peer.zone) == self.cut_zone.as_ref();
        !self.dead.contains(&to.address) && in_cut(from) == in_cut(to)
    }

    fn send(&mut self, from: &PeerAddress, targets: &[SocketAddrV4], named: &[PeerAddress]) {
        let sender = self.vms.get_mut(&from.address).expect("a VM");
        let reads_platform = sender.should_read(self.now);
        for target in targets {
            self.datagrams += 1;
            let Some(to) = self.vms.get(target).map(|vm| vm.me().clone()) else { continue };
            if !self.passes(from, &to) {
                continue;
            }
            let heard = Heard { peer: from.clone(), reads_platform, store_revision: 1 };
            let (now, receiver) = (self.now, self.vms.get_mut(target).expect("a VM"));
            let is_new = receiver.on_heartbeat(now, heard);
            named.iter().for_each(|peer| receiver.on_named(now, peer.clone()));
            if is_new {
                let members = receiver.some_members(now, 48, &mut self.rng);
                self.send(&to, &[from.address], &members);
            }
        }
    }

    fn run(&mut self, for_ms: u64) {
        let end = self.now + for_ms;
        while self.now < end {
            self.now = self.now + STEP_MS;
            for address in self.vms.keys().copied().collect::<Vec<_>>() {
                let due = self.next_ms.get(&address).copied().unwrap_or(0);
                // What a VM's first read brought is told at once.
                let tells = self.starts_to_read(address);
                if self.dead.contains(&address) || due > self.now.0 && !tells {
                    continue;
                }
                let vm = self.vms.get_mut(&address).expect("a VM");
                vm.expire(self.now);
                let targets = vm.next_targets(self.now);
                let count = vm.members_per_heartbeat();
                let named = vm.some_members(self.now, count, &mut self.rng);
                let (me, next) = (vm.me().clone(), self.now.0 + vm.heartbeat_ms());
                self.next_ms.insert(address, next);
                self.send(&me, &targets, &named);
            }
        }
    }

    fn starts_to_read(&mut self, address: SocketAddrV4) -> bool {
        match self.vms.get_mut(&address).is_some_and(|vm| vm.should_read(self.now)) {
            true => self.reads.insert(address),
            false => {
                self.reads.remove(&address);
                false
            }
        }
    }

    /// Live VMs that read the platform, by zone.
    fn readers(&mut self) -> BTreeMap<String, usize> {
        let mut readers: BTreeMap<String, usize> = BTreeMap::new();
        let alive = self.vms.iter_mut().filter(|(address, _)| !self.dead.contains(address));
        for (_, vm) in alive {
            let reads = vm.should_read(self.now);
            let count = readers.entry(vm.me().zone.to_string()).or_default();
            *count += usize::from(reads);
        }
        readers
    }
}

#[test]
fn vms_that_know_three_seeds_find_each_other_within_seconds() {
    for (count, zones) in [(7, 4), (90, 4)] {
        let mut net = Net::of(count, zones);
        net.run(5_000);
        for vm in net.vms.values() {
            let zone = &vm.me().zone;
            let of_zone = (0..count).map(|vm| peer(vm, zones)).filter(|peer| peer.zone == *zone);
            for peer in of_zone.filter(|peer| peer.vm != vm.me().vm) {
                let heard = vm.is_alive(net.now, &peer.vm);
                assert!(heard, "{count} VMs: {} has not heard {}", vm.me().vm, peer.vm);
            }
        }
    }
}

#[test]
fn one_vm_a_zone_reads_and_another_takes_its_place_within_two_seconds() {
    let mut net = Net::of(12, 4);
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
    // A tenth of the calls of a fleet in which each of 90 VMs reads twice a second.
    const MAX_READERS: usize = 18;
    let mut net = Net::of(90, 4);
    let mut most: usize = 0;
    for _ in 0..30 {
        net.run(STEP_MS);
        most = most.max(net.readers().values().sum());
    }
    assert!(most <= MAX_READERS, "{most} VMs read at once");
    let readers = net.readers();
    assert!(readers.values().all(|count| *count == 1), "{readers:?}");
}

#[test]
fn a_zone_that_is_cut_off_keeps_a_reader_and_comes_back() {
    let mut net = Net::of(9, 3);
    net.run(5_000);
    net.cut_zone = Some(peer(1, 3).zone);
    net.run(1_600);
    let silent = net.vms[&peer(0, 3).address].silent_zones(net.now);
    assert_eq!(silent, [peer(1, 3).zone].into());
    net.run(4_400);
    let readers = net.readers();
    assert!(readers.values().all(|count| *count >= 1), "{readers:?}");
    net.cut_zone = None;
    net.run(3_000);
    let vm = &net.vms[&peer(0, 3).address];
    assert!(vm.silent_zones(net.now).is_empty());
    assert!((1..9).all(|other| vm.is_alive(net.now, &peer(other, 3).vm)));
}

#[test]
fn silent_vms_count_for_a_minute_where_limits_are_divided() {
    let mut net = Net::of(5, 1);
    net.run(3_000);
    let first = peer(0, 1).address;
    net.dead.extend((1..5).map(|vm| peer(vm, 1).address));
    net.run(30_000);
    assert_eq!(net.vms[&first].all_vms().len(), 5);
    net.run(40_000);
    assert_eq!(net.vms[&first].all_vms().len(), 1);
}

#[test]
fn heartbeats_of_a_vm_do_not_grow_with_the_fleet() {
    let per_vm_s = |count: usize, zones: usize| {
        let mut net = Net::of(count, zones);
        net.run(6_000);
        net.datagrams = 0;
        net.run(10_000);
        net.datagrams as f64 / 10.0 / count as f64
    };
    let (small, large) = (per_vm_s(52, 2), per_vm_s(416, 16));
    assert!(large < small * 1.5, "{small:.1} a second with 2 zones of 26, {large:.1} with 16");
}

#[test]
fn vms_that_lack_changes_ask_different_vms_that_know_them() {
    let mut net = Net::of(20, 2);
    net.run(3_000);
    let me = peer(0, 2);
    let vm = net.vms.get_mut(&me.address).expect("a VM");
    let knows =
        |number: usize| Heard { peer: peer(number, 2), reads_platform: false, store_revision: 7 };
    // VMs of the own zone have even numbers.
    for number in [1, 3, 4, 6, 8] {
        vm.on_heartbeat(net.now, knows(number));
    }
    let mut asked = BTreeSet::new();
    for _ in 0..40 {
        let found = vm.ahead_of(net.now, 3, &mut net.rng).expect("a VM that knows more");
        asked.insert(found.vm.to_string());
    }
    assert_eq!(asked, ["vm-004", "vm-006", "vm-008"].map(str::to_owned).into());
    assert_eq!(vm.ahead_of(net.now, 7, &mut net.rng), None);
}
