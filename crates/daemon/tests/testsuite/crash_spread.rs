//! How crash reports spread over a fleet, in virtual time: the daemon's decisions on a simulated
//! network that loses datagrams.

use gypsumchute_daemon::context::CRASH_RETENTION_MS;
use gypsumchute_fleet::members::HeartbeatSender;
use gypsumchute_fleet::{Membership, PeerAddress};
use gypsumchute_routing::crash_reports::{Audience, CrashReport, CrashReports};
use gypsumchute_routing::poison::PoisonTracker;
use gypsumchute_units::{BootMs, Fingerprint};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

const START: BootMs = BootMs(1_000_000);
const STEP_MS: u64 = 20;
const POISON: Fingerprint = Fingerprint(7);
/// Number of crashes after which the request is refused.
const MAX_CRASHES: usize = 3;
/// Time until each VM of a fleet has heard of the others, in milliseconds.
const DISCOVERY_MS: u64 = 10_000;

/// State of one VM that takes part in the spreading of crash reports.
struct Vm {
    members: Membership,
    poison: PoisonTracker,
    reports: CrashReports,
    next_heartbeat_ms: BootMs,
}

/// Simulated fleet whose VMs exchange heartbeats.
struct SimulatedFleet {
    vms: BTreeMap<SocketAddrV4, Vm>,
    now: BootMs,
    rng: StdRng,
    /// Fraction of the datagrams that are lost.
    loss: f64,
    /// VMs that neither send nor receive.
    cut_off: BTreeSet<SocketAddrV4>,
    /// VMs that receive nothing, although what they send arrives.
    deaf: BTreeSet<SocketAddrV4>,
    /// Number of crash reports sent.
    reports_sent: usize,
}

/// Returns the identity and address of the VM with this number.
fn peer(vm: usize, zones: usize) -> PeerAddress {
    PeerAddress {
        vm: format!("vm-{vm:03}").parse().expect("valid id"),
        zone: format!("zone-{}", vm % zones).parse().expect("valid id"),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, (vm / 250) as u8, vm as u8), 7_200),
    }
}

impl SimulatedFleet {
    /// Creates a fleet and runs it until the VMs have heard of each other.
    fn start(vms: usize, zones: usize, loss: f64) -> Self {
        let seeds: Vec<_> = (0..3).map(|vm| peer(vm, zones).address).collect();
        let vms = (0..vms).map(|vm| {
            let me = peer(vm, zones);
            let state = Vm {
                members: Membership::new(START, me.clone(), seeds.clone()),
                poison: PoisonTracker::new(MAX_CRASHES),
                reports: CrashReports::default(),
                next_heartbeat_ms: START,
            };
            (me.address, state)
        });
        let mut fleet = SimulatedFleet {
            vms: vms.collect(),
            now: START,
            rng: StdRng::seed_from_u64(7),
            loss,
            cut_off: BTreeSet::new(),
            deaf: BTreeSet::new(),
            reports_sent: 0,
        };
        fleet.run(DISCOVERY_MS);
        fleet
    }

    /// Advances the time and delivers the heartbeats that become due.
    fn run(&mut self, for_ms: u64) {
        let end = self.now + for_ms;
        while self.now < end {
            self.now = self.now + STEP_MS;
            for address in self.vms.keys().copied().collect::<Vec<_>>() {
                if self.vms[&address].next_heartbeat_ms <= self.now {
                    self.send_heartbeat(address, None);
                }
            }
        }
    }

    /// Sends a heartbeat of the VM at `from`: to its contacts, or as a reply to one VM.
    fn send_heartbeat(&mut self, from: SocketAddrV4, reply_to: Option<SocketAddrV4>) {
        let (now, loss) = (self.now, self.loss);
        let sender = self.vms.get_mut(&from).expect("known VM");
        let (audience, count) = match reply_to {
            Some(_) => (Audience::Newcomer, 48),
            None => (Audience::Contacts, sender.members.members_per_heartbeat()),
        };
        let targets = match reply_to {
            Some(target) => vec![target],
            None => {
                let targets = sender.members.next_heartbeat_targets(now);
                sender.next_heartbeat_ms = now + sender.members.heartbeat_interval_ms();
                targets
            }
        };
        let named = sender.members.sample_members(now, count, &mut self.rng);
        let reports = sender.reports.next_reports(now, &sender.poison, audience);
        let me = sender.members.local_vm().clone();
        for target in targets {
            self.reports_sent += reports.crashes.len();
            let is_lost = self.rng.random_bool(loss) || !self.is_delivered(from, target);
            if is_lost {
                continue;
            }
            let receiver = self.vms.get_mut(&target).expect("known VM");
            let heartbeat =
                HeartbeatSender { peer: me.clone(), reads_platform: false, store_revision: 1 };
            let is_new = receiver.members.on_heartbeat(now, heartbeat);
            named.iter().for_each(|peer| receiver.members.on_mentioned(now, peer.clone()));
            let is_gateway = receiver.members.is_gateway(now);
            for report in reports.crashes.iter().cloned() {
                receiver.reports.record(now, &mut receiver.poison, report, is_gateway);
            }
            for poison in &reports.poison_requests {
                receiver.poison.refuse(now, *poison);
            }
            if is_new {
                self.send_heartbeat(target, Some(me.address));
            }
        }
    }

    /// Reports whether a datagram crosses the partitions.
    fn is_delivered(&self, from: SocketAddrV4, to: SocketAddrV4) -> bool {
        self.cut_off.contains(&from) == self.cut_off.contains(&to) && !self.deaf.contains(&to)
    }

    /// Lets an endpoint crash under the poison request of the VM with this number.
    fn crash(&mut self, vm: usize, zones: usize, number: u64) {
        let endpoint = format!("engine-{number}").parse().expect("valid id");
        let crash =
            CrashReport { fingerprint: POISON, endpoint, number, keep_ms: CRASH_RETENTION_MS };
        let vm = self.vms.get_mut(&peer(vm, zones).address).expect("known VM");
        vm.reports.record(self.now, &mut vm.poison, crash, true);
    }

    /// Returns the number of VMs that would still send the poison request.
    fn accepting_vms(&self) -> usize {
        let accepts = |vm: &&Vm| vm.poison.refused_for_ms(self.now, POISON).is_none();
        self.vms.values().filter(accepts).count()
    }
}

/// Guards against crash reports that stay in the zone in which the crash was observed.
#[test]
fn crashes_seen_in_different_zones_are_counted_together_within_three_seconds() {
    for (vms, zones) in [(7, 4), (18, 3), (86, 5), (90, 4), (420, 16)] {
        let mut fleet = SimulatedFleet::start(vms, zones, 0.03);
        // The last three VMs are in different zones and are no gateways.
        (0..3).for_each(|n| fleet.crash(vms - 1 - n, zones, n as u64));
        fleet.run(3_000);
        let accepting = fleet.accepting_vms();
        assert_eq!(accepting, 0, "{accepting} of {vms} VMs in {zones} zones still send it");
    }
}

/// Guards against VMs that miss the reports of the crashes and never learn of them.
#[test]
fn a_vm_that_missed_the_crashes_refuses_the_request_within_three_seconds_of_its_return() {
    for (vms, zones) in [(7, 4), (86, 5)] {
        let zone_of_last: BTreeSet<_> =
            (0..vms).filter(|vm| vm % zones == (vms - 1) % zones).collect();
        let addresses = |vms: &BTreeSet<usize>| -> BTreeSet<_> {
            vms.iter().map(|vm| peer(*vm, zones).address).collect()
        };
        let last = addresses(&BTreeSet::from([vms - 1]));
        let none = BTreeSet::new();
        let faults = [
            ("VM cut off", last.clone(), none.clone()),
            ("zone cut off", addresses(&zone_of_last), none.clone()),
            ("VM that receives nothing", none.clone(), last),
            ("zone that receives nothing", none, addresses(&zone_of_last)),
        ];
        for (fault, cut_off, deaf) in faults {
            let mut fleet = SimulatedFleet::start(vms, zones, 0.03);
            (fleet.cut_off, fleet.deaf) = (cut_off, deaf);
            (0..3).for_each(|number| fleet.crash(0, zones, number));
            fleet.run(6_000);
            (fleet.cut_off, fleet.deaf) = Default::default();
            fleet.run(3_000);
            let accepting = fleet.accepting_vms();
            assert_eq!(accepting, 0, "{fault}: {accepting} of {vms} VMs still send it");
        }
    }
}

/// Guards against a request whose caller returns so rarely that its crashes never add up, or that
/// is sent again as soon as its refusal ends.
#[test]
fn a_poison_request_that_returns_every_two_minutes_is_stopped() {
    const RETURN_MS: u64 = 120_000;
    let mut fleet = SimulatedFleet::start(7, 4, 0.03);
    let mut crashes = 0;
    for n in 0..5 {
        let vm = n as usize % 7;
        let address = peer(vm, 4).address;
        if fleet.vms[&address].poison.refused_for_ms(fleet.now, POISON).is_none() {
            fleet.crash(vm, 4, n);
            crashes += 1;
        }
        fleet.run(RETURN_MS);
    }
    assert_eq!(crashes, 3);
}
